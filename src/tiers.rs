//! Priority tiers. Requests of about the same value (worth times price) are in one tier and are refused with
//! one probability; requests of lower tiers are refused first.

use crate::api::{Class, Plan};

/// A value below this fraction of the highest value in a tier starts the next tier.
const TIER_VALUE_RATIO: f64 = 0.7;

/// Returns the tier by class and plan, where tier 0 has the highest value, and the number of tiers (at least
/// 1).
pub(crate) fn tiers(classes: &[Class], plans: &[Plan]) -> (Vec<Vec<usize>>, usize) {
    let value = |c: &Class, p: &Plan| c.worth * p.price;
    let mut values: Vec<f64> = classes.iter().flat_map(|c| plans.iter().map(move |p| value(c, p))).collect();
    values.sort_by(|a, b| b.total_cmp(a));
    let mut tier_maxima: Vec<f64> = Vec::new();
    for v in values {
        if tier_maxima.last().is_none_or(|highest| v < TIER_VALUE_RATIO * highest) {
            tier_maxima.push(v);
        }
    }
    let tier = |v: f64| tier_maxima.iter().rposition(|highest| v <= *highest).unwrap_or(0);
    let tier_of = classes.iter().map(|c| plans.iter().map(|p| tier(value(c, p))).collect()).collect();
    (tier_of, tier_maxima.len().max(1))
}

#[cfg(test)]
mod tests;
