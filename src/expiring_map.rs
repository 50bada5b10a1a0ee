//! Map with incremental eviction of idle entries. Entries are stored in chunks that are never moved, and one
//! call evicts entries of one chunk at most, so that no operation stalls the gatekeeper however many entries
//! there are. The caller decides which entries are idle.
//!
//! Keys are indexed by a B-tree and not by a hash map: its growth moves a few entries at a time instead of
//! all of them, and clients cannot slow it down by choosing names that collide.

use std::collections::BTreeMap;

/// Number of entries in a chunk, and so the maximum that one eviction step visits.
const CHUNK_LEN: usize = 256;
/// Key that marks a free slot.
const FREE_KEY: u64 = u64::MAX;

/// Map from 64-bit keys, which evicts idle entries chunk by chunk.
pub(crate) struct ExpiringMap<T> {
    /// Slot number by key: the index of the chunk times [`CHUNK_LEN`], plus the offset in it.
    index: BTreeMap<u64, u32>,
    chunks: Vec<Vec<(u64, T)>>,
    /// Numbers of the free slots.
    free_slots: Vec<u32>,
    /// When a chunk was last visited for eviction, in ms.
    evicted_at: f64,
    /// The chunk that is visited next.
    next_chunk: usize,
}

impl<T> Default for ExpiringMap<T> {
    fn default() -> Self {
        ExpiringMap {
            index: BTreeMap::new(),
            chunks: Vec::new(),
            free_slots: Vec::new(),
            evicted_at: 0.0,
            next_chunk: 0,
        }
    }
}

impl<T: Default> ExpiringMap<T> {
    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn contains_key(&self, key: &u64) -> bool {
        self.index.contains_key(key)
    }

    pub fn get(&self, key: &u64) -> Option<&T> {
        let slot = *self.index.get(key)? as usize;
        Some(&self.chunks[slot / CHUNK_LEN][slot % CHUNK_LEN].1)
    }

    pub fn get_mut(&mut self, key: &u64) -> Option<&mut T> {
        let slot = *self.index.get(key)? as usize;
        Some(&mut self.chunks[slot / CHUNK_LEN][slot % CHUNK_LEN].1)
    }

    /// Returns the value of a key, which is created by `create` if it is absent.
    pub fn entry(&mut self, key: u64, create: impl FnOnce() -> T) -> &mut T {
        let (chunks, free_slots) = (&mut self.chunks, &mut self.free_slots);
        let slot = *self.index.entry(key).or_insert_with(|| {
            let slot = free_slots.pop().unwrap_or_else(|| {
                if chunks.last().is_none_or(|chunk| chunk.len() == CHUNK_LEN) {
                    chunks.push(Vec::with_capacity(CHUNK_LEN));
                }
                let last = chunks.len() - 1;
                chunks[last].push((FREE_KEY, T::default()));
                (last * CHUNK_LEN + chunks[last].len() - 1) as u32
            });
            chunks[slot as usize / CHUNK_LEN][slot as usize % CHUNK_LEN] = (key, create());
            slot
        }) as usize;
        &mut self.chunks[slot / CHUNK_LEN][slot % CHUNK_LEN].1
    }

    /// Returns the entries of a chunk with their keys, or `None` past the last chunk.
    pub fn chunk(&self, number: usize) -> Option<impl Iterator<Item = (u64, &T)>> {
        let chunk = self.chunks.get(number)?;
        Some(chunk.iter().filter(|(key, _)| *key != FREE_KEY).map(|(key, value)| (*key, value)))
    }

    /// Visits the next chunk if it is due and evicts its entries for which `should_keep` is false. Every
    /// chunk is due about once in `round_ms`.
    pub fn evict_idle(&mut self, now: f64, round_ms: f64, should_keep: impl Fn(&T) -> bool) {
        if (now - self.evicted_at) * self.chunks.len() as f64 <= round_ms && now - self.evicted_at <= round_ms
        {
            return;
        }
        self.evict_next_chunk(now, should_keep);
    }

    /// Visits the next chunk and evicts its entries for which `should_keep` is false.
    pub fn evict_next_chunk(&mut self, now: f64, should_keep: impl Fn(&T) -> bool) {
        self.evicted_at = now;
        self.next_chunk = if self.next_chunk < self.chunks.len() { self.next_chunk } else { 0 };
        let Some(chunk) = self.chunks.get_mut(self.next_chunk) else { return };
        for (offset, entry) in
            chunk.iter_mut().enumerate().filter(|(_, (key, value))| *key != FREE_KEY && !should_keep(value))
        {
            self.index.remove(&entry.0);
            self.free_slots.push((self.next_chunk * CHUNK_LEN + offset) as u32);
            *entry = (FREE_KEY, T::default());
        }
        self.next_chunk += 1;
    }
}

#[cfg(test)]
mod tests;
