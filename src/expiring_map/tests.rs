use super::*;
use proptest::prelude::*;

#[test]
fn all_that_is_idle_goes_within_two_rounds_and_never_much_at_once() {
    let mut map: ExpiringMap<bool> = ExpiringMap::default();
    for k in 0..100_000u64 {
        map.entry(k * 31, || k % 3 == 0);
    }
    let mut now = 0.0;
    while now < 12_000.0 {
        let before = map.len();
        map.evict_idle(now, 6000.0, |stays| *stays);
        assert!(before - map.len() <= PART);
        now += 1.0;
    }
    let all: usize = (0..map.parts.len()).filter_map(|k| map.chunk(k)).map(Iterator::count).sum();
    assert_eq!((map.len(), all), (33_334, 33_334));
    // What comes next takes the places that came free.
    let parts = map.parts.len();
    for k in 0..60_000u64 {
        map.entry(k * 31 + 1, || true);
    }
    assert_eq!(map.parts.len(), parts);
}

#[test]
fn a_few_are_swept_as_seldom_as_they_were() {
    let mut map: ExpiringMap<bool> = ExpiringMap::default();
    map.entry(7, || false);
    map.evict_idle(6000.0, 6000.0, |stays| *stays);
    assert_eq!(map.len(), 1);
    map.evict_idle(6001.0, 6000.0, |stays| *stays);
    assert_eq!(map.len(), 0);
}

proptest! {
    /// Whatever comes and goes, it holds what a plain map holds.
    #[test]
    fn it_is_a_map(events in prop::collection::vec((0u64..600, any::<u8>()), 0..2000)) {
        let (mut map, mut model) = (ExpiringMap::<u8>::default(), BTreeMap::new());
        for (k, (key, value)) in events.into_iter().enumerate() {
            if value % 7 == 0 {
                map.evict_idle(k as f64 * 100.0, 1.0, |it| it % 5 != 0);
                let swept: Vec<u64> = model.keys().copied().filter(|key| !map.contains_key(key)).collect();
                prop_assert!(swept.iter().all(|key| model[key] % 5 == 0));
                model.retain(|key, _| !swept.contains(key));
            } else {
                prop_assert_eq!(*map.entry(key, || value), *model.entry(key).or_insert(value));
            }
            prop_assert_eq!(map.len(), model.len());
        }
        prop_assert!(model.iter().all(|(key, value)| map.get(key) == Some(value)));
    }
}
