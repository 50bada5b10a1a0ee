//! The servers that are warming up, so that the fleet's mean warmth is known without a look at all servers.
//!
//! Warmth grows evenly with the time since a server's start, so a count and a sum of starts say all. A change costs O(log n),
//! a look O(1) and O(log n) for each server that has become warm since the last one.

use std::collections::{BTreeSet, HashMap};

const MICROS_PER_MS: f64 = 1000.0;

/// Servers that may be sent to and are not known to be warm, by when they started.
#[derive(Default)]
pub(crate) struct SlowStartServers {
    /// Start in microseconds, and number.
    by_start: BTreeSet<(i64, u32)>,
    starts: HashMap<u32, i64>,
    sum_us: i128,
}

/// How many servers are cold, and the sum of their warmth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdServers {
    pub count: f64,
    pub capacity_share: f64,
}

impl SlowStartServers {
    /// A server may be sent to. `since_ms` is when it started; 0 means long ago.
    pub fn insert(&mut self, number: u32, since_ms: f64) {
        self.remove(number);
        if since_ms > 0.0 {
            let start = (since_ms * MICROS_PER_MS) as i64;
            self.by_start.insert((start, number));
            self.starts.insert(number, start);
            self.sum_us += i128::from(start);
        }
    }

    /// A server is not to be sent to any more, or has become warm.
    pub fn remove(&mut self, number: u32) {
        if let Some(start) = self.starts.remove(&number) {
            self.by_start.remove(&(start, number));
            self.sum_us -= i128::from(start);
        }
    }

    /// The servers that are cold now, where a server begins with `cold_capacity_share` of its capacity and is warm after
    /// `warm_up_ms`.
    pub fn cold_servers(&mut self, now_ms: f64, cold_capacity_share: f64, warm_up_ms: f64) -> ColdServers {
        let now = (now_ms * MICROS_PER_MS) as i64;
        let within = (warm_up_ms * MICROS_PER_MS) as i64;
        while let Some((_, number)) =
            self.by_start.first().copied().filter(|(start, _)| now.saturating_sub(*start) >= within)
        {
            self.remove(number);
        }
        if cold_capacity_share >= 1.0 {
            return ColdServers { count: 0.0, capacity_share: 0.0 };
        }
        let count = self.starts.len() as f64;
        // A server that starts in the future by this clock is as cold as one that starts now.
        let ahead: i128 = self
            .by_start
            .range((now, u32::MAX)..)
            .map(|(start, _)| i128::from(*start) - i128::from(now))
            .sum();
        let ages = self.starts.len() as i128 * i128::from(now) - self.sum_us + ahead;
        let grown = if within > 0 { ages as f64 / within as f64 } else { 0.0 };
        ColdServers {
            count,
            capacity_share: cold_capacity_share * count + (1.0 - cold_capacity_share) * grown,
        }
    }
}

#[cfg(test)]
mod tests;
