//! Recent requests by source, a client connection, and how refusals are shared fairly among sources.
//!
//! When a part of all requests has to be refused, each source may pass as many as any other one: sources that
//! send no more than that level are not refused anything, and those above it are refused what is beyond it
//! (max-min fairness). Equal sources are refused equally.
//!
//! Counting a request costs O(log n) with n sources, finding the level O(n log n) once in
//! [`LEVEL_INTERVAL_MS`].

use std::collections::BTreeMap;

/// Decay time of the count of a source's requests.
const DECAY_MS: f64 = 1000.0;
/// A source whose count has decayed below this is dropped.
const MIN_COUNT: f64 = 0.05;
/// Maximum number of sources that are counted apart. Further ones are counted together.
const MAX_SOURCES: usize = 1024;
/// The number under which further sources, and those that are not known, are counted.
const OTHER_SOURCES: u64 = 0;
/// Interval at which the counts are sorted anew.
const LEVEL_INTERVAL_MS: f64 = 100.0;

/// Decaying count of requests.
#[derive(Clone, Copy)]
struct Count {
    value: f64,
    at: f64,
}

impl Count {
    fn value(&self, now: f64) -> f64 {
        self.value * (-(now - self.at) / DECAY_MS).exp()
    }
}

/// What is known of the counts from one source on, in ascending order.
struct Rank {
    /// The sum of all counts, those above this source's taken as equal to it.
    capped_total: f64,
    /// The sum of the counts before this source's.
    sum_before: f64,
}

/// Recent requests by source.
#[derive(Default)]
pub(crate) struct SourceShares {
    counts: BTreeMap<u64, Count>,
    /// As of `sorted_at`, for each source in ascending order of its count.
    ranks: Vec<Rank>,
    total: f64,
    sorted_at: f64,
}

impl SourceShares {
    /// Counts a request of a source.
    pub fn record(&mut self, now: f64, source: u64) {
        if self.counts.len() >= MAX_SOURCES && now - self.sorted_at >= LEVEL_INTERVAL_MS {
            self.sort(now);
        }
        let source = self.counted_as(source);
        let count = self.counts.entry(source).or_insert(Count { value: 0.0, at: now });
        *count = Count { value: count.value(now) + 1.0, at: now };
    }

    /// The probability with which a request of this source is refused where `probability` of all requests have
    /// to be.
    pub fn refusal_probability(&mut self, now: f64, source: u64, probability: f64) -> f64 {
        if probability <= 0.0 || self.counts.len() <= 1 {
            return probability.max(0.0);
        }
        if now - self.sorted_at >= LEVEL_INTERVAL_MS || self.ranks.is_empty() {
            self.sort(now);
        }
        let own = self.counts.get(&self.counted_as(source)).map_or(0.0, |count| count.value(now));
        let level = self.fair_level((1.0 - probability) * self.total);
        if own > level { 1.0 - level / own } else { 0.0 }
    }

    fn counted_as(&self, source: u64) -> u64 {
        let is_apart = self.counts.len() < MAX_SOURCES || self.counts.contains_key(&source);
        if is_apart { source } else { OTHER_SOURCES }
    }

    /// Drops sources without recent requests and sorts the counts of the others.
    fn sort(&mut self, now: f64) {
        self.counts.retain(|_, count| count.value(now) >= MIN_COUNT);
        let mut values: Vec<f64> = self.counts.values().map(|count| count.value(now)).collect();
        values.sort_by(f64::total_cmp);
        let mut sum_before = 0.0;
        self.ranks.clear();
        for (index, value) in values.iter().enumerate() {
            let sources_from_here = (values.len() - index) as f64;
            self.ranks.push(Rank { capped_total: sum_before + value * sources_from_here, sum_before });
            sum_before += value;
        }
        self.total = sum_before;
        self.sorted_at = now;
    }

    /// The level at which `allowed` requests pass in all, if each source passes its own count or the level,
    /// whichever is less.
    fn fair_level(&self, allowed: f64) -> f64 {
        let first_above = self.ranks.partition_point(|rank| rank.capped_total <= allowed);
        let sources_above = (self.ranks.len() - first_above) as f64;
        let level = self.ranks.get(first_above).map(|rank| (allowed - rank.sum_before) / sources_above);
        level.unwrap_or(f64::INFINITY)
    }
}

#[cfg(test)]
mod tests;
