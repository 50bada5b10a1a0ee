//! Which lines are written: those that repeat are counted and merged, and all together are bounded. No input or
//! output, no clock.
//!
//! # Why
//!
//! What goes wrong goes wrong for everybody at once: a database that is away fails every statement, sixty links break
//! in one moment. A line for each fills the disk and hides the one that tells why.

use std::collections::HashMap;

/// Lines in one window at the most, and how long a window is in ms.
pub const LINES: u32 = 200;
/// See [`LINES`].
pub const WINDOW_MS: u64 = 1000;
/// Different lines that are told apart in one window.
const KINDS: usize = 1024;

/// What is to be done with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
pub struct Limit {
    began: u64,
    written: u32,
    seen: HashMap<u64, (String, u64)>,
    others: u64,
}

impl Limit {
    /// Ends a window whose time is over; gives what it kept back.
    pub fn turn(&mut self, now_ms: u64) -> Vec<Summary> {
        // A clock that went back begins a new one as well.
        if now_ms.wrapping_sub(self.began) < WINDOW_MS {
            return Vec::new();
        }
        self.end(now_ms)
    }

    /// Ends the window whatever its time.
    pub fn end(&mut self, now_ms: u64) -> Vec<Summary> {
        (self.began, self.written) = (now_ms, 0);
        let seen = std::mem::take(&mut self.seen);
        let mut told: Vec<Summary> = seen
            .into_values()
            .filter(|(_, count)| *count > 0)
            .map(|(line, count)| Summary { line: Some(line), count })
            .collect();
        told.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.line.cmp(&b.line)));
        // Their own lines are bounded as well.
        let most = LINES as usize / 4;
        let rest: u64 = told.iter().skip(most).map(|s| s.count).sum();
        told.truncate(most);
        let others = std::mem::take(&mut self.others) + rest;
        if others > 0 {
            told.push(Summary { line: None, count: others });
        }
        told
    }

    /// Takes a line: `key` tells different ones apart.
    pub fn take(&mut self, key: u64, line: impl FnOnce() -> String) -> Verdict {
        if let Some((_, count)) = self.seen.get_mut(&key) {
            *count += 1;
            return Verdict::Merge;
        }
        if self.written >= LINES || self.seen.len() >= KINDS {
            self.others += 1;
            return Verdict::Merge;
        }
        self.written += 1;
        self.seen.insert(key, (line(), 0));
        Verdict::Write
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
            let (mut limit, mut now, mut written, mut merged, mut in_window) = (Limit::default(), 0, 0u64, 0u64, 0u32);
            let tell = |told: Vec<Summary>| -> u64 { told.iter().map(|s| s.count).sum() };
            for (key, wait) in &lines {
                now += wait;
                let before = limit.began;
                merged += tell(limit.turn(now));
                if limit.began != before {
                    in_window = 0;
                }
                if limit.take(*key, || key.to_string()) == Verdict::Write {
                    written += 1;
                    in_window += 1;
                }
                prop_assert!(in_window <= LINES);
            }
            merged += tell(limit.end(now));
            prop_assert_eq!(written + merged, lines.len() as u64);
        }
    }

    #[test]
    fn a_line_that_repeats_is_written_once_and_counted() {
        let mut limit = Limit::default();
        limit.turn(5000);
        assert_eq!(limit.take(1, || "away".into()), Verdict::Write);
        assert!((0..9).all(|_| limit.take(1, || "away".into()) == Verdict::Merge));
        assert_eq!(limit.turn(5999), []);
        assert_eq!(limit.turn(6000), [Summary { line: Some("away".into()), count: 9 }]);
        assert_eq!(limit.take(1, || "away".into()), Verdict::Write);
    }
}
