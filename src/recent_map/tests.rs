use super::*;
use proptest::prelude::*;

proptest! {
    /// `get` returns the last value inserted within the lifetime of a key, as a plain map with times does.
    #[test]
    fn get_returns_last_value_within_lifetime(
        events in prop::collection::vec((0u8..20, 0.0..400.0f64, any::<bool>()), 0..300),
    ) {
        let (mut recent, mut model, mut now) =
            (RecentMap::default(), HashMap::<u8, (f64, usize)>::new(), 0.0);
        for (k, (key, elapsed_ms, inserts)) in events.into_iter().enumerate() {
            now += elapsed_ms;
            model.retain(|_, (at, _)| now - *at <= ENTRY_TTL_MS);
            if inserts {
                recent.insert(now, key, k);
                model.entry(key).or_insert((now, k)).1 = k;
            }
            prop_assert_eq!(recent.get(now, key), model.get(&key).map(|(_, value)| *value));
        }
    }
}

#[test]
fn insert_keeps_at_most_max_entries() {
    let mut recent = RecentMap::default();
    (0..100_000u32).for_each(|k| recent.insert(f64::from(k) * 0.001, k, ()));
    assert_eq!((recent.entries.len(), recent.order.len()), (MAX_ENTRIES, MAX_ENTRIES));
    assert_eq!((recent.get(100.0, 99_999), recent.get(100.0, 5)), (Some(()), None));
    assert_eq!(recent.get(5000.0, 99_999), None);
}
