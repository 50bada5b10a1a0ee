//! Counts of what is rare and matters when answers come late. Logged once a minute where they have changed, and at the end.

use frostvale::RefusalReason;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// Counts since the start.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Turns of the event loop that came late, and the latest.
    loop_late: u64,
    loop_worst_ms: u64,
    /// Whole endpoint lists and lists of changes that were applied, and lists that could not be read.
    lists_whole: u64,
    lists_changes: u64,
    lists_refused: u64,
    /// Whole lists that were in effect already.
    lists_unchanged: u64,
    /// Endpoints that lists changed, and lines of lists that could not be read.
    endpoints_changed: u64,
    lines_refused: u64,
    /// The longest that applying a list held up the event loop.
    list_step_worst_us: u64,
    /// Final answers that came after the client's time, and the latest of them.
    answers_late: u64,
    answers_worst_ms: u64,
    /// Requests that were refused before the first list was there.
    refused_at_start: u64,
    /// Requests that the module refused, by reason.
    refused: HashMap<RefusalReason, u64>,
}

/// What one endpoint list brought.
pub struct ListApplied {
    /// Whether it named all endpoints.
    pub whole: bool,
    /// Endpoints that it changed.
    pub changed: usize,
    /// Lines that could not be read.
    pub refused_lines: usize,
    /// The longest that it held up the event loop.
    pub longest_step: Duration,
}

impl ListApplied {
    /// Logs it: a whole list for operators, changes for who looks closer.
    pub fn log(&self, version: u64, bytes: usize) {
        let (changed, refused_lines) = (self.changed, self.refused_lines);
        let step_us = self.longest_step.as_micros() as u64;
        if self.whole {
            tracing::info!(version, bytes, changed, refused_lines, step_us, "whole endpoint list applied");
        } else {
            tracing::debug!(version, bytes, changed, refused_lines, step_us, "endpoint changes applied");
        }
    }
}

impl Metrics {
    /// A turn of the event loop came this late.
    pub fn loop_held_up(&mut self, late: Duration) {
        self.loop_late += 1;
        self.loop_worst_ms = self.loop_worst_ms.max(late.as_millis() as u64);
    }

    /// An endpoint list was applied.
    pub fn list_applied(&mut self, list: &ListApplied) {
        if list.whole {
            self.lists_whole += 1;
        } else {
            self.lists_changes += 1;
        }
        self.endpoints_changed += list.changed as u64;
        self.lines_refused += list.refused_lines as u64;
        self.list_step_worst_us = self.list_step_worst_us.max(list.longest_step.as_micros() as u64);
    }

    /// A whole endpoint list was in effect already.
    pub fn list_unchanged(&mut self) {
        self.lists_unchanged += 1;
    }

    /// An endpoint list could not be read.
    pub fn list_refused(&mut self) {
        self.lists_refused += 1;
    }

    /// A final answer came this long after the client's time.
    pub fn answer_late(&mut self, late_ms: f64) {
        self.answers_late += 1;
        self.answers_worst_ms = self.answers_worst_ms.max(late_ms as u64);
    }

    /// A request was refused before the first list was there.
    pub fn refused_at_start(&mut self) {
        self.refused_at_start += 1;
    }

    /// The module refused a request.
    pub fn refused(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// Refusals by reason, in one word each.
    fn refusals(&self) -> String {
        let mut reasons: Vec<_> =
            self.refused.iter().map(|(reason, count)| (format!("{reason:?}"), count)).collect();
        reasons.sort();
        let mut text = String::new();
        for (reason, count) in reasons {
            let _ = write!(text, "{reason}:{count} ");
        }
        text.trim_end().to_string()
    }

    /// Logs all counts in one line.
    pub fn log(&self) {
        tracing::info!(
            loop_late = self.loop_late,
            loop_worst_ms = self.loop_worst_ms,
            lists_whole = self.lists_whole,
            lists_changes = self.lists_changes,
            lists_refused = self.lists_refused,
            lists_unchanged = self.lists_unchanged,
            endpoints_changed = self.endpoints_changed,
            lines_refused = self.lines_refused,
            list_step_worst_us = self.list_step_worst_us,
            answers_late = self.answers_late,
            answers_worst_ms = self.answers_worst_ms,
            refused_at_start = self.refused_at_start,
            refused = %self.refusals(),
            "counts since the start"
        );
    }
}
