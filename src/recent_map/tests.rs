use super::*;
use proptest::prelude::*;

proptest! {
    /// It gives the latest that was said within its life of the first, and never grows past its bound.
    #[test]
    fn the_latest_word_within_its_life(events in prop::collection::vec((0u8..20, 0.0..400.0f64, any::<bool>()), 0..300)) {
        let (mut recent, mut model, mut now) = (RecentMap::default(), HashMap::<u8, (f64, usize)>::new(), 0.0);
        for (k, (key, ms, put)) in events.into_iter().enumerate() {
            now += ms;
            model.retain(|_, (at, _)| now - *at <= LIFE_MS);
            if put {
                recent.insert(now, key, k);
                model.entry(key).or_insert((now, k)).1 = k;
            }
            prop_assert_eq!(recent.get(now, key), model.get(&key).map(|(_, said)| *said));
        }
    }
}

#[test]
fn a_flood_of_keys_stays_within_the_bound() {
    let mut recent = RecentMap::default();
    (0..100_000u32).for_each(|k| recent.insert(f64::from(k) * 0.001, k, ()));
    assert_eq!((recent.known.len(), recent.order.len()), (MOST, MOST));
    assert_eq!((recent.get(100.0, 99_999), recent.get(100.0, 5)), (Some(()), None));
    assert_eq!(recent.get(5000.0, 99_999), None);
}
