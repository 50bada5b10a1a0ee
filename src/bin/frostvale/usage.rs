//! Use by shop, plan and class, in numbered batches that stay here until an agent has kept them durably. Without an
//! agent they are merged: what is held grows with the shops, not with the time.

use frostvale::Name;
use frostvale_link::proto::{UseBatch, UseLine};
use std::collections::{HashMap, VecDeque};

/// Lines in a batch: a batch fits into a frame of the link.
const LINES: usize = 1500;
/// Batches that wait to be kept; past these use goes on adding up in the open one.
const WAITING: usize = 64;
/// Shops with use that is not in a batch yet; past these it is counted for all others together.
const SHOPS_MOST: usize = 200_000;
/// Who has what could not be told apart.
const OTHERS: &str = "others";

/// What happened to a request's units.
#[derive(Clone, Copy)]
pub enum UsageKind {
    /// They came whole to a worker, or were granted to a check.
    Passed,
    /// They were refused.
    Refused,
    /// Their answer was served.
    Served,
}

#[derive(Default, Clone, Copy)]
struct Sums {
    passed: u64,
    refused: u64,
    served: u64,
}

/// The use of this life.
pub struct Usage {
    open: HashMap<(Name, u32, u32), Sums>,
    from_ms: u64,
    seq: u64,
    waiting: VecDeque<UseBatch>,
    /// The plans' revision that the open use is decided under.
    revision: u64,
    /// The newest batch when it was last asked what is overdue.
    looked: u64,
    others: Name,
}

impl Usage {
    pub fn new(now_ms: u64) -> Usage {
        Usage {
            open: HashMap::new(),
            from_ms: now_ms,
            seq: 0,
            waiting: VecDeque::new(),
            revision: 0,
            looked: 0,
            others: OTHERS.into(),
        }
    }

    /// Counts a request's units.
    pub fn count(&mut self, shop: &Name, plan: usize, class: usize, units: f64, what: UsageKind) {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let full = self.open.len() >= SHOPS_MOST;
        let key = (shop.clone(), number(plan), number(class));
        let key =
            if full && !self.open.contains_key(&key) { (self.others.clone(), key.1, key.2) } else { key };
        let sums = self.open.entry(key).or_default();
        let milli = (units * 1000.0).round().max(0.0) as u64;
        match what {
            UsageKind::Passed => sums.passed += milli,
            UsageKind::Refused => sums.refused += milli,
            UsageKind::Served => sums.served += milli,
        }
    }

    /// Other plans are in effect from here on: what is open was decided under the former ones, and is closed as such.
    pub fn start_revision(&mut self, revision: u64, now_ms: u64) -> Vec<UseBatch> {
        let fresh = if self.open.is_empty() { Vec::new() } else { self.close_open(now_ms, false) };
        self.revision = revision;
        fresh
    }

    /// Closes what is open into batches; gives the new ones. `last`: this life ends, and nothing follows.
    pub fn close(&mut self, now_ms: u64, last: bool) -> Vec<UseBatch> {
        if !last && (self.open.is_empty() || self.waiting.len() >= WAITING) {
            return Vec::new();
        }
        self.close_open(now_ms, last)
    }

    fn close_open(&mut self, now_ms: u64, last: bool) -> Vec<UseBatch> {
        let mut fresh = Vec::new();
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
            let part: Vec<UseLine> = lines.by_ref().take(LINES).collect();
            let more = part.len() == LINES;
            if !part.is_empty() || last {
                self.seq += 1;
                let to_ms = now_ms.max(self.from_ms);
                let batch = UseBatch {
                    seq: self.seq,
                    from_ms: self.from_ms,
                    to_ms,
                    last: last && !more,
                    lines: part,
                    revision: self.revision,
                };
                self.waiting.push_back(batch.clone());
                fresh.push(batch);
            }
            if !more {
                break;
            }
        }
        self.from_ms = now_ms.max(self.from_ms);
        fresh
    }

    /// Batches that no agent has kept yet.
    pub fn pending(&self) -> impl Iterator<Item = &UseBatch> {
        self.waiting.iter()
    }

    /// The oldest batches that waited already when this was last asked, so many at the most.
    pub fn overdue(&mut self, most: usize) -> impl Iterator<Item = &UseBatch> {
        let before = std::mem::replace(&mut self.looked, self.seq);
        self.waiting.iter().take_while(move |batch| batch.seq <= before).take(most)
    }

    /// An agent has kept these.
    pub fn acknowledge(&mut self, numbers: &[u64]) {
        self.waiting.retain(|batch| !numbers.contains(&batch.seq));
    }

    /// The number of the last batch.
    pub fn last_seq(&self) -> u64 {
        self.seq
    }

    /// What waits to be kept, in thousandths of a unit: passed, refused, served.
    pub fn sums(&self) -> [u64; 3] {
        let lines = self.waiting.iter().flat_map(|batch| &batch.lines);
        lines.fold([0; 3], |[p, r, s], l| [p + l.passed_milli, r + l.refused_milli, s + l.served_milli])
    }

    /// From when to when what waits is, Unix time in ms.
    pub fn span(&self) -> (u64, u64) {
        let ends = self.waiting.front().zip(self.waiting.back());
        ends.map_or((self.from_ms, self.from_ms), |(first, last)| (first.from_ms, last.to_ms))
    }

    /// Whether all is kept.
    pub fn is_settled(&self) -> bool {
        self.open.is_empty() && self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
