//! What was said of late by what it was said about, so that a question that comes twice is answered once. Bounded in time and
//! in number; nothing is decided here.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Kept for this long: a note and its answer take a small part of it.
const LIFE_MS: f64 = 2000.0;
/// So many are kept at the most, the latest.
const MOST: usize = 4096;

/// The table.
pub(crate) struct Recent<K, V> {
    known: HashMap<K, V>,
    order: VecDeque<(f64, K)>,
}

impl<K, V> Default for Recent<K, V> {
    fn default() -> Self {
        Recent { known: HashMap::new(), order: VecDeque::new() }
    }
}

impl<K: Copy + Eq + Hash, V: Copy> Recent<K, V> {
    /// Forgets what is too old.
    fn age(&mut self, now: f64) {
        while self.order.front().is_some_and(|(at, _)| now - at > LIFE_MS) || self.order.len() > MOST {
            if let Some((_, key)) = self.order.pop_front() {
                self.known.remove(&key);
            }
        }
    }

    /// What was said of this, if that was of late.
    pub fn get(&mut self, now: f64, key: K) -> Option<V> {
        self.age(now);
        self.known.get(&key).copied()
    }

    /// Keeps what is said of this for the rest of its life, which begins with the first word on it.
    pub fn put(&mut self, now: f64, key: K, said: V) {
        self.age(now);
        if self.known.insert(key, said).is_none() {
            self.order.push_back((now, key));
            self.age(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// It gives the latest that was said within its life of the first, and never grows past its bound.
        #[test]
        fn the_latest_word_within_its_life(events in prop::collection::vec((0u8..20, 0.0..400.0f64, any::<bool>()), 0..300)) {
            let (mut recent, mut model, mut now) = (Recent::default(), HashMap::<u8, (f64, usize)>::new(), 0.0);
            for (k, (key, ms, put)) in events.into_iter().enumerate() {
                now += ms;
                model.retain(|_, (at, _)| now - *at <= LIFE_MS);
                if put {
                    recent.put(now, key, k);
                    model.entry(key).or_insert((now, k)).1 = k;
                }
                prop_assert_eq!(recent.get(now, key), model.get(&key).map(|(_, said)| *said));
            }
        }
    }

    #[test]
    fn a_flood_of_keys_stays_within_the_bound() {
        let mut recent = Recent::default();
        (0..100_000u32).for_each(|k| recent.put(f64::from(k) * 0.001, k, ()));
        assert_eq!((recent.known.len(), recent.order.len()), (MOST, MOST));
        assert_eq!((recent.get(100.0, 99_999), recent.get(100.0, 5)), (Some(()), None));
        assert_eq!(recent.get(5000.0, 99_999), None);
    }
}
