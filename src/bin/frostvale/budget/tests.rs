use super::*;

#[test]
fn holder_above_free_part_is_refused_when_budget_is_exceeded_and_drop_returns_its_bytes() {
    let budget = MemoryBudget::new(100);
    let (small, large) = (budget.new_share(), budget.new_share());
    assert!(large.update(90, 20));
    assert!(small.update(20, 20), "every holder may have the free part");
    assert!(!large.update(91, 20));
    drop(large);
    assert!(small.update(80, 20));
}
