//! Limits the rate of log lines: repeated lines are merged and counted, and the total number per window is
//! bounded. Performs no I/O and reads no clock.
//!
//! One fault often causes many lines at once: an unavailable database fails every statement, and sixty
//! connections break in the same moment. A line for each would fill the disk and hide the line that states
//! the cause.

use std::collections::HashMap;

/// Maximum number of lines written in one window of [`WINDOW_MS`].
pub const MAX_LINES: u32 = 200;
/// Length of a window, in ms.
pub const WINDOW_MS: u64 = 1000;
/// Maximum number of distinct lines that are tracked in one window.
const MAX_DISTINCT_LINES: usize = 1024;

/// The decision on a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write,
    /// The line is only counted: it repeats a line of this window, or the window is full.
    Merge,
}

/// The number of lines that a window suppressed, reported when the window closes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The repeated line; `None` for various lines above the limit.
    pub line: Option<String>,
    /// How many times it was not written.
    pub count: u64,
}

/// The state of one window.
#[derive(Debug, Default)]
pub struct RateLimiter {
    started_ms: u64,
    written: u32,
    /// Lines written in this window and the number of their repetitions, by key.
    repeats: HashMap<u64, (String, u64)>,
    /// Lines above the limit.
    dropped: u64,
}

impl RateLimiter {
    /// Closes the window if its time is over and returns its summaries.
    pub fn close_expired_window(&mut self, now_ms: u64) -> Vec<Summary> {
        // If the clock was set back, the difference wraps around and a new window starts as well.
        if now_ms.wrapping_sub(self.started_ms) < WINDOW_MS {
            return Vec::new();
        }
        self.close_window(now_ms)
    }

    /// Closes the window regardless of its age and returns its summaries, the most frequent line first.
    pub fn close_window(&mut self, now_ms: u64) -> Vec<Summary> {
        (self.started_ms, self.written) = (now_ms, 0);
        let repeats = std::mem::take(&mut self.repeats);
        let mut summaries: Vec<Summary> = repeats
            .into_values()
            .filter(|(_, count)| *count > 0)
            .map(|(line, count)| Summary { line: Some(line), count })
            .collect();
        summaries.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.line.cmp(&b.line)));
        // Each summary is a line too, so their number is limited; the rest is counted in one.
        let max_summaries = MAX_LINES as usize / 4;
        let rest: u64 = summaries.iter().skip(max_summaries).map(|s| s.count).sum();
        summaries.truncate(max_summaries);
        let dropped = std::mem::take(&mut self.dropped) + rest;
        if dropped > 0 {
            summaries.push(Summary { line: None, count: dropped });
        }
        summaries
    }

    /// Decides whether a line is written. `key` identifies equal lines; `line` is called only for a line to
    /// be written.
    pub fn admit(&mut self, key: u64, line: impl FnOnce() -> String) -> LineDecision {
        if let Some((_, count)) = self.repeats.get_mut(&key) {
            *count += 1;
            return LineDecision::Merge;
        }
        if self.written >= MAX_LINES || self.repeats.len() >= MAX_DISTINCT_LINES {
            self.dropped += 1;
            return LineDecision::Merge;
        }
        self.written += 1;
        self.repeats.insert(key, (line(), 0));
        LineDecision::Write
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Every line is either written or counted once, and no window writes more than its limit.
        #[test]
        fn every_line_is_written_or_counted(lines in prop::collection::vec((0u64..400, 0u64..300), 0..2000)) {
            let (mut limit, mut now, mut written, mut merged, mut in_window) = (RateLimiter::default(), 0, 0u64, 0u64, 0u32);
            let total = |summaries: Vec<Summary>| -> u64 { summaries.iter().map(|s| s.count).sum() };
            for (key, wait) in &lines {
                now += wait;
                let before = limit.started_ms;
                merged += total(limit.close_expired_window(now));
                if limit.started_ms != before {
                    in_window = 0;
                }
                if limit.admit(*key, || key.to_string()) == LineDecision::Write {
                    written += 1;
                    in_window += 1;
                }
                prop_assert!(in_window <= MAX_LINES);
            }
            merged += total(limit.close_window(now));
            prop_assert_eq!(written + merged, lines.len() as u64);
        }
    }

    #[test]
    fn repeated_line_is_written_once_and_counted() {
        let mut limit = RateLimiter::default();
        limit.close_expired_window(5000);
        assert_eq!(limit.admit(1, || "away".into()), LineDecision::Write);
        assert!((0..9).all(|_| limit.admit(1, || "away".into()) == LineDecision::Merge));
        assert_eq!(limit.close_expired_window(5999), []);
        assert_eq!(limit.close_expired_window(6000), [Summary { line: Some("away".into()), count: 9 }]);
        assert_eq!(limit.admit(1, || "away".into()), LineDecision::Write);
    }
}
