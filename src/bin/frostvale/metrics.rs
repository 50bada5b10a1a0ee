//! Counts of rare events that explain late answers. They are logged once a minute if they have changed, and
//! at shutdown.

use crate::client::ConnectionSummary;
use frostvale::RefusalReason;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// Counts since the start of the process.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Delayed turns of the event loop, and the longest delay.
    loop_late: u64,
    loop_worst_ms: u64,
    /// Whole endpoint lists and lists of changes that were applied, and lists that could not be parsed.
    lists_whole: u64,
    lists_changes: u64,
    lists_refused: u64,
    /// Whole lists that were equal to the list in effect.
    lists_unchanged: u64,
    /// Endpoints that lists changed, and lines of lists that could not be parsed.
    endpoints_changed: u64,
    lines_refused: u64,
    /// The longest time that applying a list blocked the event loop.
    list_step_worst_us: u64,
    /// Final answers after the client's deadline, and the largest delay of one.
    answers_late: u64,
    answers_worst_ms: u64,
    /// Requests that were refused before the first list had arrived.
    refused_at_start: u64,
    /// Connections that were closed because their clients did not read, and answers that were replaced by an
    /// error for want of memory.
    clients_unread: u64,
    answers_discarded: u64,
    /// Connections that ended and were among the busiest, and how often their commands waited for a turn.
    clients_busy: u64,
    slices_queued: u64,
    /// Requests refused because their ids had been used.
    ids_used_again: u64,
    /// Requests that the decision module refused, by reason.
    refused: HashMap<RefusalReason, u64>,
}

/// The effect of one endpoint list.
pub struct ListApplied {
    /// Whether it was a whole list, and not a list of changes.
    pub whole: bool,
    /// Number of endpoints that it changed.
    pub changed: usize,
    /// Number of lines that could not be parsed.
    pub refused_lines: usize,
    /// The longest time that it blocked the event loop.
    pub longest_step: Duration,
}

impl ListApplied {
    /// Logs the list: a whole list at level info, a list of changes at level debug.
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
    /// Counts a turn of the event loop that was delayed by `late`.
    pub fn record_loop_delay(&mut self, late: Duration) {
        self.loop_late += 1;
        self.loop_worst_ms = self.loop_worst_ms.max(late.as_millis() as u64);
    }

    /// Counts an endpoint list that was applied.
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

    /// Counts a whole endpoint list that was equal to the list in effect.
    pub fn list_unchanged(&mut self) {
        self.lists_unchanged += 1;
    }

    /// Counts an endpoint list that could not be parsed.
    pub fn list_refused(&mut self) {
        self.lists_refused += 1;
    }

    /// Counts a final answer that was written `late_ms` after the client's deadline.
    pub fn answer_late(&mut self, late_ms: f64) {
        self.answers_late += 1;
        self.answers_worst_ms = self.answers_worst_ms.max(late_ms as u64);
    }

    /// Counts what a client's connection reports at its end.
    pub fn connection_ended(&mut self, summary: &ConnectionSummary) {
        self.clients_unread += u64::from(summary.is_unread);
        self.answers_discarded += summary.discarded_answers;
        self.clients_busy += u64::from(summary.queued_slices > 0);
        self.slices_queued += summary.queued_slices;
    }

    /// Counts a request whose id had been used by a request that may have run.
    pub fn id_used_again(&mut self) {
        self.ids_used_again += 1;
    }

    /// Counts a request that was refused before the first list had arrived.
    pub fn refused_at_start(&mut self) {
        self.refused_at_start += 1;
    }

    /// Counts a request that the decision module refused.
    pub fn refused(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// The refusals as a list of `reason:count`, sorted by reason.
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
            clients_unread = self.clients_unread,
            answers_discarded = self.answers_discarded,
            clients_busy = self.clients_busy,
            slices_queued = self.slices_queued,
            ids_used_again = self.ids_used_again,
            refused = %self.refusals(),
            "counts since the start"
        );
    }
}
