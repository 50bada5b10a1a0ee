//! Map of recent entries, bounded in age and number. Callers recognise repeated messages by it, so that a
//! request that arrives twice gets the same reply again.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// How long an entry is kept. A message between gatekeepers and its reply take a small fraction of it.
const ENTRY_TTL_MS: f64 = 2000.0;
/// Maximum number of entries; the oldest are evicted first.
const MAX_ENTRIES: usize = 4096;

/// Hash map that evicts its entries by age and number.
pub(crate) struct RecentMap<K, V> {
    entries: HashMap<K, V>,
    /// Keys with the time of their first insertion in ms, oldest first.
    order: VecDeque<(f64, K)>,
}

impl<K, V> Default for RecentMap<K, V> {
    fn default() -> Self {
        RecentMap { entries: HashMap::new(), order: VecDeque::new() }
    }
}

impl<K: Copy + Eq + Hash, V: Copy> RecentMap<K, V> {
    /// Evicts the entries that are too old or too many.
    fn evict_old(&mut self, now: f64) {
        while self.order.front().is_some_and(|(at, _)| now - at > ENTRY_TTL_MS)
            || self.order.len() > MAX_ENTRIES
        {
            if let Some((_, key)) = self.order.pop_front() {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the value of a key that has not expired.
    pub fn get(&mut self, now: f64, key: K) -> Option<V> {
        self.evict_old(now);
        self.entries.get(&key).copied()
    }

    /// Sets the value of a key. A later value of the same key does not prolong its lifetime, which begins
    /// with the first.
    pub fn insert(&mut self, now: f64, key: K, value: V) {
        self.evict_old(now);
        if self.entries.insert(key, value).is_none() {
            self.order.push_back((now, key));
            self.evict_old(now);
        }
    }
}

#[cfg(test)]
mod tests;
