//! Tiers of worth: what is worth about alike is refused with one chance, what is worth less before it.

use crate::api::{Class, Plan};

/// Worth times price below this part of a tier's best begins the next tier.
const STEP: f64 = 0.7;

/// The tier of each class and plan, the worthiest 0, and how many there are.
pub(crate) fn tiers(classes: &[Class], plans: &[Plan]) -> (Vec<Vec<usize>>, usize) {
    let value = |c: &Class, p: &Plan| c.worth * p.price;
    let mut values: Vec<f64> = classes.iter().flat_map(|c| plans.iter().map(move |p| value(c, p))).collect();
    values.sort_by(|a, b| b.total_cmp(a));
    let mut tops: Vec<f64> = Vec::new();
    for v in values {
        if tops.last().is_none_or(|top| v < STEP * top) {
            tops.push(v);
        }
    }
    let tier = |v: f64| tops.iter().rposition(|top| v <= *top).unwrap_or(0);
    let of = classes.iter().map(|c| plans.iter().map(|p| tier(value(c, p))).collect()).collect();
    (of, tops.len().max(1))
}

#[cfg(test)]
mod tests;
