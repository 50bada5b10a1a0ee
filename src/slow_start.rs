//! The servers in their slow start, indexed so that the total capacity share of all of them is known without
//! a scan of all servers.
//!
//! A server's capacity share grows linearly with the time since its start, so the number of servers and the
//! sum of their start times determine the total. Insertion and removal cost O(log n). A query costs O(1),
//! plus O(log n) for each server that has become warm since the last query and O(1) for each whose start time
//! lies in the future.

use std::collections::{BTreeSet, HashMap};

const MICROS_PER_MS: f64 = 1000.0;

/// Servers that may receive requests and are not known to be warm, ordered by start time.
#[derive(Default)]
pub(crate) struct SlowStartServers {
    /// Start time in microseconds, and server number.
    by_start: BTreeSet<(i64, u32)>,
    /// Start time in microseconds by server number.
    starts: HashMap<u32, i64>,
    /// Sum of all start times in microseconds.
    start_sum_us: i128,
}

/// The number of cold servers, and the sum of their capacity shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdServers {
    pub count: f64,
    pub capacity_share: f64,
}

impl SlowStartServers {
    /// Adds a server that may receive requests. `started_at_ms` is its start time; 0 stands for a server that
    /// is already warm and is not added.
    pub fn insert(&mut self, number: u32, started_at_ms: f64) {
        self.remove(number);
        if started_at_ms > 0.0 {
            let start = (started_at_ms * MICROS_PER_MS) as i64;
            self.by_start.insert((start, number));
            self.starts.insert(number, start);
            self.start_sum_us += i128::from(start);
        }
    }

    /// Removes a server that has become warm or may not receive requests any more.
    pub fn remove(&mut self, number: u32) {
        if let Some(start) = self.starts.remove(&number) {
            self.by_start.remove(&(start, number));
            self.start_sum_us -= i128::from(start);
        }
    }

    /// Counts the servers that are cold now and removes those that are warm. A server starts with the
    /// fraction `cold_capacity_share` of its capacity and is warm after `warm_up_ms`.
    pub fn cold_servers(&mut self, now_ms: f64, cold_capacity_share: f64, warm_up_ms: f64) -> ColdServers {
        let now_us = (now_ms * MICROS_PER_MS) as i64;
        let warm_up_us = (warm_up_ms * MICROS_PER_MS) as i64;
        while let Some((_, number)) =
            self.by_start.first().copied().filter(|(start, _)| now_us.saturating_sub(*start) >= warm_up_us)
        {
            self.remove(number);
        }
        if cold_capacity_share >= 1.0 {
            return ColdServers { count: 0.0, capacity_share: 0.0 };
        }
        let count = self.starts.len() as f64;
        // A server whose start time lies in the future by this clock counts as one that starts now.
        let future_us: i128 = self
            .by_start
            .range((now_us, u32::MAX)..)
            .map(|(start, _)| i128::from(*start) - i128::from(now_us))
            .sum();
        let total_age_us = self.starts.len() as i128 * i128::from(now_us) - self.start_sum_us + future_us;
        let total_progress = if warm_up_us > 0 { total_age_us as f64 / warm_up_us as f64 } else { 0.0 };
        ColdServers {
            count,
            capacity_share: cold_capacity_share * count + (1.0 - cold_capacity_share) * total_progress,
        }
    }
}

#[cfg(test)]
mod tests;
