use super::*;

#[test]
fn who_holds_much_gives_way_and_gives_all_back() {
    let budget = Budget::new(100);
    let (small, large) = (budget.share(), budget.share());
    assert!(large.set(90, 20));
    assert!(small.set(20, 20), "a little is left to everyone");
    assert!(!large.set(91, 20));
    drop(large);
    assert!(small.set(80, 20));
}
