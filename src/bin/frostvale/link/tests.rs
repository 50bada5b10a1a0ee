use super::*;

#[test]
fn shop_sets_report_changes_and_stay_bounded() {
    let mut sets = RecentShopSets::default();
    let shop: Name = "00000000b4d65521".into();
    assert!(sets.record(&shop, (0, 2)));
    assert!(!sets.record(&shop, (0, 2)));
    assert!(sets.record(&shop, (1, 2)));
    for k in 0..3 * MAX_SETS_PER_GENERATION {
        sets.record(&format!("{k:016x}").as_str().into(), (0, 1));
    }
    assert!(sets.current.len() + sets.previous.len() <= 2 * MAX_SETS_PER_GENERATION);
}
