//! Which lines are written: those that repeat are counted and merged, and all together are bounded. No input or
//! output, no clock.
//!
//! # Why
//!
//! What goes wrong goes wrong for everybody at once: a database that is away fails every statement, sixty links break
//! in one moment. A line for each fills the disk and hides the one that tells why.

use std::collections::HashMap;

/// Lines in one window at the most, and how long a window is in ms.
pub const MAX_LINES: u32 = 200;
/// See [`MAX_LINES`].
pub const WINDOW_MS: u64 = 1000;
/// Different lines that are told apart in one window.
const KINDS: usize = 1024;

/// What is to be done with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written.
    Write,
    /// It is counted: it repeats one of this window, or there were too many.
    Merge,
}

/// What a window kept back, told when it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The line that repeated; none for different lines past the bound.
    pub line: Option<String>,
    /// How many were not written.
    pub count: u64,
}

/// The state of one window.
#[derive(Debug, Default)]
pub struct RateLimiter {
    began: u64,
    written: u32,
    seen: HashMap<u64, (String, u64)>,
    others: u64,
}

impl RateLimiter {
    /// Ends a window whose time is over; gives what it kept back.
    pub fn close_expired_window(&mut self, now_ms: u64) -> Vec<Summary> {
        // A clock that went back begins a new one as well.
        if now_ms.wrapping_sub(self.began) < WINDOW_MS {
            return Vec::new();
        }
        self.close_window(now_ms)
    }

    /// Ends the window whatever its time.
    pub fn close_window(&mut self, now_ms: u64) -> Vec<Summary> {
        (self.began, self.written) = (now_ms, 0);
        let seen = std::mem::take(&mut self.seen);
        let mut told: Vec<Summary> = seen
            .into_values()
            .filter(|(_, count)| *count > 0)
            .map(|(line, count)| Summary { line: Some(line), count })
            .collect();
        told.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.line.cmp(&b.line)));
        // Their own lines are bounded as well.
        let most = MAX_LINES as usize / 4;
        let rest: u64 = told.iter().skip(most).map(|s| s.count).sum();
        told.truncate(most);
        let others = std::mem::take(&mut self.others) + rest;
        if others > 0 {
            told.push(Summary { line: None, count: others });
        }
        told
    }

    /// Takes a line: `key` tells different ones apart.
    pub fn admit(&mut self, key: u64, line: impl FnOnce() -> String) -> LineDecision {
        if let Some((_, count)) = self.seen.get_mut(&key) {
            *count += 1;
            return LineDecision::Merge;
        }
        if self.written >= MAX_LINES || self.seen.len() >= KINDS {
            self.others += 1;
            return LineDecision::Merge;
        }
        self.written += 1;
        self.seen.insert(key, (line(), 0));
        LineDecision::Write
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Every line is written or counted once, and a window never writes more than its bound.
        #[test]
        fn no_line_goes_uncounted(lines in prop::collection::vec((0u64..400, 0u64..300), 0..2000)) {
            let (mut limit, mut now, mut written, mut merged, mut in_window) = (RateLimiter::default(), 0, 0u64, 0u64, 0u32);
            let tell = |told: Vec<Summary>| -> u64 { told.iter().map(|s| s.count).sum() };
            for (key, wait) in &lines {
                now += wait;
                let before = limit.began;
                merged += tell(limit.close_expired_window(now));
                if limit.began != before {
                    in_window = 0;
                }
                if limit.admit(*key, || key.to_string()) == LineDecision::Write {
                    written += 1;
                    in_window += 1;
                }
                prop_assert!(in_window <= MAX_LINES);
            }
            merged += tell(limit.close_window(now));
            prop_assert_eq!(written + merged, lines.len() as u64);
        }
    }

    #[test]
    fn a_line_that_repeats_is_written_once_and_counted() {
        let mut limit = RateLimiter::default();
        limit.close_expired_window(5000);
        assert_eq!(limit.admit(1, || "away".into()), LineDecision::Write);
        assert!((0..9).all(|_| limit.admit(1, || "away".into()) == LineDecision::Merge));
        assert_eq!(limit.close_expired_window(5999), []);
        assert_eq!(limit.close_expired_window(6000), [Summary { line: Some("away".into()), count: 9 }]);
        assert_eq!(limit.admit(1, || "away".into()), LineDecision::Write);
    }
}
