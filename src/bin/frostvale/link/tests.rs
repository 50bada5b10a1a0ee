use super::*;

#[test]
fn sets_are_told_when_they_change_and_bounded() {
    let mut sets = Sets::default();
    let shop: Name = "00000000b4d65521".into();
    assert!(sets.see(&shop, (0, 2)));
    assert!(!sets.see(&shop, (0, 2)));
    assert!(sets.see(&shop, (1, 2)));
    for k in 0..3 * SEEN_MOST {
        sets.see(&format!("{k:016x}").as_str().into(), (0, 1));
    }
    assert!(sets.young.len() + sets.old.len() <= 2 * SEEN_MOST);
}
