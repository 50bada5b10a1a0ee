//! Usage by shop, plan and class, in numbered batches that are kept here until an agent has stored them
//! durably. Without an agent usage is merged into the open batch, so memory grows with the number of shops,
//! not with time.

use frostvale::Name;
use frostvale_link::proto::{UseBatch, UseLine};
use std::collections::{HashMap, VecDeque};

/// Lines in a batch: such a batch fits into one frame of the link.
const MAX_LINES_PER_BATCH: usize = 1500;
/// Closed batches that may wait for an acknowledgement; past this, usage accumulates in the open batch.
const MAX_PENDING_BATCHES: usize = 64;
/// Entries (shop, plan and class) of the open batch; past this, further shops are counted together.
const MAX_OPEN_ENTRIES: usize = 200_000;
/// The shop name of usage that is counted together.
const OTHER_SHOPS: &str = "others";

/// What happened to a request's units.
#[derive(Clone, Copy)]
pub enum UsageKind {
    /// They were sent whole to a worker, or granted to a check.
    Passed,
    /// They were refused.
    Refused,
    /// The request's answer was served.
    Served,
}

/// Thousandths of a unit.
#[derive(Default, Clone, Copy)]
struct UsageSums {
    passed: u64,
    refused: u64,
    served: u64,
}

/// The usage of this process: one open batch, and closed batches without an acknowledgement.
pub struct Usage {
    open: HashMap<(Name, u32, u32), UsageSums>,
    /// When the open batch began, Unix time in ms.
    from_ms: u64,
    /// The number of the last closed batch.
    seq: u64,
    pending: VecDeque<UseBatch>,
    /// The plans' revision that the open usage was decided under.
    revision: u64,
    /// The value of `seq` at the last call of [`Usage::overdue`].
    overdue_seq: u64,
    other_shops: Name,
}

impl Usage {
    /// Starts with no usage; the open batch begins at `now_ms`, Unix time in ms.
    pub fn new(now_ms: u64) -> Usage {
        Usage {
            open: HashMap::new(),
            from_ms: now_ms,
            seq: 0,
            pending: VecDeque::new(),
            revision: 0,
            overdue_seq: 0,
            other_shops: OTHER_SHOPS.into(),
        }
    }

    /// Adds a request's units to the open batch.
    pub fn count(&mut self, shop: &Name, plan: usize, class: usize, units: f64, kind: UsageKind) {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let is_full = self.open.len() >= MAX_OPEN_ENTRIES;
        let key = (shop.clone(), number(plan), number(class));
        let key = if is_full && !self.open.contains_key(&key) {
            (self.other_shops.clone(), key.1, key.2)
        } else {
            key
        };
        let sums = self.open.entry(key).or_default();
        let milli = (units * 1000.0).round().max(0.0) as u64;
        match kind {
            UsageKind::Passed => sums.passed += milli,
            UsageKind::Refused => sums.refused += milli,
            UsageKind::Served => sums.served += milli,
        }
    }

    /// Starts a new plans' revision: open usage was decided under the former one, so it is closed under that.
    /// Returns the closed batches.
    pub fn start_revision(&mut self, revision: u64, now_ms: u64) -> Vec<UseBatch> {
        let closed = if self.open.is_empty() { Vec::new() } else { self.close_open(now_ms, false) };
        self.revision = revision;
        closed
    }

    /// Closes the open usage and returns the new batches. `last`: the process stops, and no batch follows.
    pub fn close(&mut self, now_ms: u64, last: bool) -> Vec<UseBatch> {
        if !last && (self.open.is_empty() || self.pending.len() >= MAX_PENDING_BATCHES) {
            return Vec::new();
        }
        self.close_open(now_ms, last)
    }

    fn close_open(&mut self, now_ms: u64, last: bool) -> Vec<UseBatch> {
        let mut closed = Vec::new();
        let mut lines =
            std::mem::take(&mut self.open).into_iter().map(|((shop, plan, class), sums)| UseLine {
                shop: shop.to_string(),
                plan,
                class,
                passed_milli: sums.passed,
                refused_milli: sums.refused,
                served_milli: sums.served,
            });
        loop {
            let chunk: Vec<UseLine> = lines.by_ref().take(MAX_LINES_PER_BATCH).collect();
            let more = chunk.len() == MAX_LINES_PER_BATCH;
            if !chunk.is_empty() || last {
                self.seq += 1;
                let to_ms = now_ms.max(self.from_ms);
                let batch = UseBatch {
                    seq: self.seq,
                    from_ms: self.from_ms,
                    to_ms,
                    last: last && !more,
                    lines: chunk,
                    revision: self.revision,
                };
                self.pending.push_back(batch.clone());
                closed.push(batch);
            }
            if !more {
                break;
            }
        }
        self.from_ms = now_ms.max(self.from_ms);
        closed
    }

    /// Batches that no agent has acknowledged.
    pub fn pending(&self) -> impl Iterator<Item = &UseBatch> {
        self.pending.iter()
    }

    /// The oldest batches that were pending already at the previous call, at most `limit` of them.
    pub fn overdue(&mut self, limit: usize) -> impl Iterator<Item = &UseBatch> {
        let before = std::mem::replace(&mut self.overdue_seq, self.seq);
        self.pending.iter().take_while(move |batch| batch.seq <= before).take(limit)
    }

    /// Removes batches that an agent has stored.
    pub fn acknowledge(&mut self, seqs: &[u64]) {
        self.pending.retain(|batch| !seqs.contains(&batch.seq));
    }

    /// The number of the last batch.
    pub fn last_seq(&self) -> u64 {
        self.seq
    }

    /// The sums of the pending batches, in thousandths of a unit: passed, refused, served.
    pub fn sums(&self) -> [u64; 3] {
        let lines = self.pending.iter().flat_map(|batch| &batch.lines);
        lines.fold([0; 3], |[p, r, s], l| [p + l.passed_milli, r + l.refused_milli, s + l.served_milli])
    }

    /// The period of the pending batches: its start and end, Unix time in ms.
    pub fn span(&self) -> (u64, u64) {
        let ends = self.pending.front().zip(self.pending.back());
        ends.map_or((self.from_ms, self.from_ms), |(first, last)| (first.from_ms, last.to_ms))
    }

    /// Whether all usage is acknowledged.
    pub fn is_settled(&self) -> bool {
        self.open.is_empty() && self.pending.is_empty()
    }
}

#[cfg(test)]
mod tests;
