//! What was said of late by what it was said about, so that a question that comes twice is answered once. Bounded in time and
//! in number; nothing is decided here.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Kept for this long: a note and its answer take a small part of it.
const LIFE_MS: f64 = 2000.0;
/// So many are kept at the most, the latest.
const MOST: usize = 4096;

/// The table.
pub(crate) struct RecentMap<K, V> {
    known: HashMap<K, V>,
    order: VecDeque<(f64, K)>,
}

impl<K, V> Default for RecentMap<K, V> {
    fn default() -> Self {
        RecentMap { known: HashMap::new(), order: VecDeque::new() }
    }
}

impl<K: Copy + Eq + Hash, V: Copy> RecentMap<K, V> {
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
    pub fn insert(&mut self, now: f64, key: K, said: V) {
        self.age(now);
        if self.known.insert(key, said).is_none() {
            self.order.push_back((now, key));
            self.age(now);
        }
    }
}

#[cfg(test)]
mod tests;
