use super::*;

#[test]
fn tiers_group_similar_values_with_the_highest_first() {
    let class = |worth| Class { worth, ..Class::default() };
    let plan = |price| Plan { price, ..Plan::default() };
    let (tier_of, count) = tiers(&[class(1.0), class(3.0)], &[plan(1.0), plan(0.8), plan(0.3)]);
    // The values are 3, 2.4, 0.9 and 1, 0.8, 0.3; new tiers start below 2.1 and below 0.7.
    assert_eq!((tier_of, count), (vec![vec![1, 1, 2], vec![0, 0, 1]], 3));
    assert_eq!(tiers(&[], &[]).1, 1);
}
