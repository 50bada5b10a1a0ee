use super::*;

#[test]
fn ids_are_kept_for_the_retention_time() {
    let mut used = UsedIds::new(100 * ID_BYTES);
    used.insert(0.0, 1, false);
    used.insert(1.0, 2, true);
    used.insert(RETENTION_MS - 1.0, 3, true);
    assert!([1, 2, 3].iter().all(|id| used.contains(*id)));
    used.insert(RETENTION_MS + 2.0, 4, true);
    assert_eq!([1, 2, 3, 4].map(|id| used.contains(id)), [false, false, true, true]);
}

#[test]
fn full_set_drops_repeatable_ids_only_and_has_no_room_for_further_unrepeatable_ones() {
    let mut used = UsedIds::new(4 * ID_BYTES);
    (0..4).for_each(|id| used.insert(0.0, id, id % 2 == 0));
    used.insert(0.0, 4, false);
    used.insert(0.0, 5, false);
    assert_eq!([0, 1, 2, 3, 4, 5].map(|id| used.contains(id)), [false, true, false, true, true, true]);
    assert!(!used.has_room(0.0));
    used.insert(0.0, 6, true);
    assert!(!used.contains(6), "it would take the place of one that must not be dropped");
    used.insert(0.0, 7, false);
    assert!(used.contains(7), "a request that was in flight when the set became full");
    assert!(used.has_room(RETENTION_MS + 1.0));
}
