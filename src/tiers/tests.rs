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
