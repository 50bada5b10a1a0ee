use super::*;

#[test]
fn who_holds_much_gives_way_and_gives_all_back() {
    let budget = MemoryBudget::new(100);
    let (small, large) = (budget.new_share(), budget.new_share());
    assert!(large.update(90, 20));
    assert!(small.update(20, 20), "a little is left to everyone");
    assert!(!large.update(91, 20));
    drop(large);
    assert!(small.update(80, 20));
}
