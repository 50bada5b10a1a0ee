use super::*;
use proptest::prelude::*;

#[test]
fn evict_idle_removes_all_idle_entries_within_two_rounds_chunk_by_chunk() {
    let mut map: ExpiringMap<bool> = ExpiringMap::default();
    for k in 0..100_000u64 {
        map.entry(k * 31, || k % 3 == 0);
    }
    let mut now = 0.0;
    while now < 12_000.0 {
        let before = map.len();
        map.evict_idle(now, 6000.0, |keep| *keep);
        assert!(before - map.len() <= CHUNK_LEN);
        now += 1.0;
    }
    let total: usize = (0..map.chunks.len()).filter_map(|k| map.chunk(k)).map(Iterator::count).sum();
    assert_eq!((map.len(), total), (33_334, 33_334));
    // New entries reuse the freed slots.
    let chunks = map.chunks.len();
    for k in 0..60_000u64 {
        map.entry(k * 31 + 1, || true);
    }
    assert_eq!(map.chunks.len(), chunks);
}

#[test]
fn evict_idle_visits_a_single_chunk_once_per_round() {
    let mut map: ExpiringMap<bool> = ExpiringMap::default();
    map.entry(7, || false);
    map.evict_idle(6000.0, 6000.0, |keep| *keep);
    assert_eq!(map.len(), 1);
    map.evict_idle(6001.0, 6000.0, |keep| *keep);
    assert_eq!(map.len(), 0);
}

proptest! {
    /// After any sequence of insertions and evictions the map holds what a `BTreeMap` holds.
    #[test]
    fn entries_match_a_btree_map(events in prop::collection::vec((0u64..600, any::<u8>()), 0..2000)) {
        let (mut map, mut model) = (ExpiringMap::<u8>::default(), BTreeMap::new());
        for (k, (key, value)) in events.into_iter().enumerate() {
            if value % 7 == 0 {
                map.evict_idle(k as f64 * 100.0, 1.0, |entry| entry % 5 != 0);
                let evicted: Vec<u64> = model.keys().copied().filter(|key| !map.contains_key(key)).collect();
                prop_assert!(evicted.iter().all(|key| model[key] % 5 == 0));
                model.retain(|key, _| !evicted.contains(key));
            } else {
                prop_assert_eq!(*map.entry(key, || value), *model.entry(key).or_insert(value));
            }
            prop_assert_eq!(map.len(), model.len());
        }
        prop_assert!(model.iter().all(|(key, value)| map.get(key) == Some(value)));
    }
}
