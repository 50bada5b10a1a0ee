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
mod tests {
    use super::*;

    #[test]
    fn what_is_worth_about_alike_is_one_tier_and_the_worthiest_is_the_first() {
        let class = |worth| Class { worth, ..Class::default() };
        let plan = |price| Plan { price, ..Plan::default() };
        let (of, count) = tiers(&[class(1.0), class(3.0)], &[plan(1.0), plan(0.8), plan(0.3)]);
        // 3, 2.4, 0.9 and 1, 0.8, 0.3: steps below 2.1, below 0.7.
        assert_eq!((of, count), (vec![vec![1, 1, 2], vec![0, 0, 1]], 3));
        assert_eq!(tiers(&[], &[]).1, 1);
    }
}
