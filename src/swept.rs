//! A map whose idle entries are forgotten a few at a time, so that no sweep stops the gateway. What is idle is decided by
//! who asks.

use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};

/// So many entries are looked at in one go.
const PART: usize = 256;

/// The map.
pub(crate) struct Swept<T> {
    map: BTreeMap<u64, T>,
    /// When a part was last swept, and where the next one begins.
    at: f64,
    from: u64,
}

impl<T> Default for Swept<T> {
    fn default() -> Self {
        Swept { map: BTreeMap::new(), at: 0.0, from: 0 }
    }
}

impl<T> Deref for Swept<T> {
    type Target = BTreeMap<u64, T>;

    fn deref(&self) -> &Self::Target {
        &self.map
    }
}

impl<T> DerefMut for Swept<T> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.map
    }
}

impl<T> Swept<T> {
    /// Looks at the next part if its time has come, so that all are looked at about every `round` ms, and forgets
    /// what does not stay.
    pub fn sweep(&mut self, now: f64, round: f64, stays: impl Fn(&T) -> bool) {
        if (now - self.at) * self.map.len() as f64 <= round * PART as f64 && now - self.at <= round {
            return;
        }
        self.at = now;
        let part: Vec<(u64, bool)> =
            self.map.range(self.from..).take(PART).map(|(key, it)| (*key, stays(it))).collect();
        self.from = part.last().filter(|_| part.len() == PART).map_or(0, |(key, _)| key.wrapping_add(1));
        for (key, _) in part.iter().filter(|(_, stays)| !stays) {
            self.map.remove(key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_that_is_idle_goes_within_two_rounds_and_never_much_at_once() {
        let mut map: Swept<bool> = Swept::default();
        map.extend((0..100_000u64).map(|k| (k * 31, k % 3 == 0)));
        let mut now = 0.0;
        while now < 12_000.0 {
            let before = map.len();
            map.sweep(now, 6000.0, |stays| *stays);
            assert!(before - map.len() <= PART);
            now += 1.0;
        }
        assert!(map.values().all(|stays| *stays));
        assert_eq!(map.len(), 33_334);
    }

    #[test]
    fn a_few_are_swept_as_seldom_as_they_were() {
        let mut map: Swept<bool> = Swept::default();
        map.insert(7, false);
        map.sweep(6000.0, 6000.0, |stays| *stays);
        assert_eq!(map.len(), 1);
        map.sweep(6001.0, 6000.0, |stays| *stays);
        assert_eq!(map.len(), 0);
    }
}
