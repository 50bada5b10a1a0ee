//! A map whose entries stand side by side in parts that never move, and whose idle ones are forgotten a few at a time:
//! nothing that it does stops the gatekeeper, however many there are. What is idle is decided by who asks.
//!
//! An ordered index of keys beside it, not a hash: its growth moves a few entries at a time, and no choice of names by
//! a client makes it slow.

use std::collections::BTreeMap;

/// So many entries are looked at in one go, and stand in one part.
const PART: usize = 256;
/// No key: the entry is free.
const NONE: u64 = u64::MAX;

/// The map.
pub(crate) struct ExpiringMap<T> {
    index: BTreeMap<u64, u32>,
    parts: Vec<Vec<(u64, T)>>,
    free: Vec<u32>,
    /// When a part was last swept, and which is next.
    at: f64,
    next: usize,
}

impl<T> Default for ExpiringMap<T> {
    fn default() -> Self {
        ExpiringMap { index: BTreeMap::new(), parts: Vec::new(), free: Vec::new(), at: 0.0, next: 0 }
    }
}

impl<T: Default> ExpiringMap<T> {
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn contains_key(&self, key: &u64) -> bool {
        self.index.contains_key(key)
    }

    pub fn get(&self, key: &u64) -> Option<&T> {
        let place = *self.index.get(key)? as usize;
        Some(&self.parts[place / PART][place % PART].1)
    }

    pub fn get_mut(&mut self, key: &u64) -> Option<&mut T> {
        let place = *self.index.get(key)? as usize;
        Some(&mut self.parts[place / PART][place % PART].1)
    }

    /// The entry of a key, made if it is not there.
    pub fn entry(&mut self, key: u64, make: impl FnOnce() -> T) -> &mut T {
        let (parts, free) = (&mut self.parts, &mut self.free);
        let place = *self.index.entry(key).or_insert_with(|| {
            let place = free.pop().unwrap_or_else(|| {
                if parts.last().is_none_or(|part| part.len() == PART) {
                    parts.push(Vec::with_capacity(PART));
                }
                let last = parts.len() - 1;
                parts[last].push((NONE, T::default()));
                (last * PART + parts[last].len() - 1) as u32
            });
            parts[place as usize / PART][place as usize % PART] = (key, make());
            place
        }) as usize;
        &mut self.parts[place / PART][place % PART].1
    }

    /// Entries of one part, by its number, with their keys; none past the last part.
    pub fn chunk(&self, number: usize) -> Option<impl Iterator<Item = (u64, &T)>> {
        let part = self.parts.get(number)?;
        Some(part.iter().filter(|(key, _)| *key != NONE).map(|(key, it)| (*key, it)))
    }

    /// Looks at the next part if its time has come, so that all are looked at about every `round` ms, and forgets
    /// what does not stay.
    pub fn evict_idle(&mut self, now: f64, round: f64, stays: impl Fn(&T) -> bool) {
        if (now - self.at) * self.parts.len() as f64 <= round && now - self.at <= round {
            return;
        }
        self.at = now;
        self.next = if self.next < self.parts.len() { self.next } else { 0 };
        let Some(part) = self.parts.get_mut(self.next) else { return };
        for (k, entry) in part.iter_mut().enumerate().filter(|(_, (key, it))| *key != NONE && !stays(it)) {
            self.index.remove(&entry.0);
            self.free.push((self.next * PART + k) as u32);
            *entry = (NONE, T::default());
        }
        self.next += 1;
    }
}

#[cfg(test)]
mod tests;
