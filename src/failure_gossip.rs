//! Failure reports about servers, broadcast among gatekeepers so that not each of them has to detect a
//! failure itself.
//!
//! With 100 gatekeepers of five requests a second each and 60 servers, one gatekeeper sends to a given server
//! once in ten seconds. Without reports a server that has crashed, is slow or fails at once takes its full
//! share of requests until every gatekeeper has lost some to it. Therefore a gatekeeper that sees an attempt
//! fail broadcasts a report, after a random delay of up to [`MAX_SEND_DELAY_MS`], unless enough others have
//! reported the server meanwhile. Few messages then cover all gatekeepers. Reports decay within seconds, each
//! gatekeeper counts once per server, and server selection still sends a reported server some requests, so a
//! wrong or outdated report corrects itself. Scores are relative to the average over all servers: where all
//! are reported alike, selection works as if none were.
//!
//! The module does no I/O, reads no clock (callers pass the time in ms) and does not choose servers. Most
//! operations cost O(log n) in the servers listed or attempts in flight.

use crate::api::Name;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Time constant of the exponential decay of a report.
const REPORT_DECAY_MS: f64 = 3000.0;
/// Reporters kept per server, with the latest report of each.
const MAX_REPORTERS: usize = 4;
/// A failure is not broadcast where the reports of other gatekeepers add up to this score.
const SUFFICIENT_SCORE: f64 = 1.5;
/// A report is broadcast after a random delay of up to this.
const MAX_SEND_DELAY_MS: f64 = 100.0;
/// An attempt that is in flight for this multiple of its expected latency is reported before it ends.
const OVERDUE_LATENCY_FACTOR: f64 = 5.0;
/// Interval at which the average score of the servers is recomputed.
const BASELINE_INTERVAL_MS: f64 = 200.0;
/// Servers over which the average score is taken.
const MAX_BASELINE_SERVERS: usize = 64;
/// Messages that one gatekeeper may broadcast at once.
const MAX_BURST_MESSAGES: f64 = 2.0;
/// Backlog of broadcasts by all gatekeepers above which a gatekeeper holds its own back, as a share of one
/// second's rate. Without this limit a burst of two messages from each of 300 gatekeepers fills the intake of
/// every receiver for ten seconds, and other messages are lost during that time.
const MAX_BACKLOG_SHARE: f64 = 0.1;
/// Random delay, in addition to the time until the backlog has drained, of a broadcast that was held back:
/// without it all gatekeepers would send at the moment the backlog is gone.
const MAX_HOLD_BACK_JITTER_MS: f64 = 1000.0;
/// Servers that one message may name.
const MAX_SERVERS_PER_MESSAGE: usize = 16;

/// First character of a failure gossip message; no other peer message begins with it.
pub(crate) const GOSSIP_MARK: char = '!';

/// Latest failure reports about one server.
#[derive(Clone, Default)]
struct ServerReports {
    /// Index of the reporting gatekeeper, and the time of its latest report.
    reporters: [Option<(u32, f64)>; MAX_REPORTERS],
}

impl ServerReports {
    /// Records a report; replaces the reporter's former one, or else the oldest.
    fn record(&mut self, reporter_index: u32, now: f64) {
        let at = |reporter: &Option<(u32, f64)>| reporter.map_or(f64::NEG_INFINITY, |(_, at)| at);
        let same = self
            .reporters
            .iter()
            .position(|reporter| reporter.is_some_and(|(index, _)| index == reporter_index));
        let oldest =
            (0..MAX_REPORTERS).min_by(|a, b| at(&self.reporters[*a]).total_cmp(&at(&self.reporters[*b])));
        if let Some(k) = same.or(oldest) {
            self.reporters[k] = Some((reporter_index, now));
        }
    }

    /// Sum of the decayed reports, 1 for each fresh one, without those of the gatekeeper `excluded`.
    fn score(&self, now: f64, excluded: Option<u32>) -> f64 {
        let reporters =
            self.reporters.iter().flatten().filter(|(reporter_index, _)| Some(*reporter_index) != excluded);
        reporters.map(|(_, at)| (-(now - at).max(0.0) / REPORT_DECAY_MS).exp()).sum()
    }
}

/// Failure reports that one gatekeeper has received, and its own that are to be broadcast.
pub(crate) struct FailureGossip {
    own_index: u32,
    /// Messages per second that this gatekeeper may broadcast; gossip is disabled where it is 0.
    own_rate: f64,
    /// Messages that this gatekeeper may broadcast now, as of `send_tokens_at`.
    send_tokens: f64,
    send_tokens_at: f64,
    /// Broadcasts per second that all gatekeepers may send together, and the backlog of recent ones, own and
    /// received, as of `backlog_at`. Each gatekeeper receives every broadcast, so the backlog estimates the
    /// load on all receivers.
    total_rate: f64,
    backlog: f64,
    backlog_at: f64,
    /// Reports on the servers of the endpoint list, by the hash of their names.
    reports: BTreeMap<u32, ServerReports>,
    /// Servers, by hash, whose failures this gatekeeper has yet to broadcast.
    pending_reports: BTreeSet<u32>,
    /// When the next broadcast is due; infinite without one.
    due_at: f64,
    /// Time of the wakeup last requested from the host.
    wakeup_at: f64,
    /// Attempts in flight: the time in microseconds from which each is overdue, and its server; `by_deadline`
    /// holds the same in order of time.
    watched_attempts: BTreeMap<u64, (u64, Name)>,
    by_deadline: BTreeSet<(u64, u64)>,
    /// Average score of a server as of `baseline_at`, and the hash at which the next sample starts.
    baseline: f64,
    baseline_at: f64,
    baseline_cursor: u32,
    /// A separate generator, so that gossip does not change the random sequence of the decisions.
    rng: Pcg64Mcg,
    /// Entries received that could not be parsed or named an unknown server; a message that names too many
    /// counts once.
    pub dropped_entries: u64,
}

/// Milliseconds as whole microseconds, which are ordered and can be keys; negative times become 0.
fn micros(ms: f64) -> u64 {
    (ms * 1000.0).max(0.0) as u64
}

/// A server's name as messages carry it: 32 bits of FNV-1a.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl FailureGossip {
    /// Creates the state of gatekeeper `own_index` out of `gatekeepers`, which together may broadcast
    /// `total_rate` messages per second. A rate of 0 disables sending and receiving.
    pub fn new((own_index, gatekeepers): (u32, u32), total_rate: f64, seed: u64) -> FailureGossip {
        FailureGossip {
            own_index,
            own_rate: total_rate / f64::from(gatekeepers.max(1)),
            send_tokens: MAX_BURST_MESSAGES,
            send_tokens_at: 0.0,
            total_rate,
            backlog: 0.0,
            backlog_at: 0.0,
            reports: BTreeMap::new(),
            pending_reports: BTreeSet::new(),
            due_at: f64::INFINITY,
            wakeup_at: f64::NEG_INFINITY,
            watched_attempts: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            baseline: 0.0,
            baseline_at: f64::NEG_INFINITY,
            baseline_cursor: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            dropped_entries: 0,
        }
    }

    /// Applies an endpoint change: the server is listed (`up`) or removed. Reports on a server that has
    /// restarted or was removed are dropped.
    pub fn server_listed(&mut self, name: &str, up: bool, restarted: bool) {
        if self.own_rate <= 0.0 {
            return;
        }
        let id = name_hash(name);
        if !up || restarted {
            self.reports.remove(&id);
            self.pending_reports.remove(&id);
        }
        if up {
            self.reports.entry(id).or_default();
        }
    }

    /// Watches an attempt that was sent, with its expected latency in ms. It is reported once it is overdue:
    /// at its end, a report on a server that hangs would come after the client's deadline.
    pub fn attempt_sent(&mut self, now: f64, attempt: u64, name: &Name, expected: f64) {
        // The expected latency is 0 until the first answer.
        if self.own_rate > 0.0 && expected > 0.0 {
            self.stop_watching(attempt);
            let until = micros(now + OVERDUE_LATENCY_FACTOR * expected);
            self.watched_attempts.insert(attempt, (until, name.clone()));
            self.by_deadline.insert((until, attempt));
        }
    }

    /// Records the end of an attempt; `succeeded` is `None` where the result says nothing about the server.
    /// The success of an attempt that was overdue does not count, as it has been reported already.
    pub fn attempt_ended(&mut self, now: f64, attempt: u64, name: &str, succeeded: Option<bool>) {
        let watched = self.stop_watching(attempt);
        match succeeded {
            Some(true) if watched.is_some_and(|(until, _)| micros(now) < until) => {
                self.record_success(now, name)
            }
            Some(false) => self.record_failure(now, name),
            _ => {}
        }
    }

    fn stop_watching(&mut self, attempt: u64) -> Option<(u64, Name)> {
        let watched = self.watched_attempts.remove(&attempt)?;
        self.by_deadline.remove(&(watched.0, attempt));
        Some(watched)
    }

    /// Reports the attempts that are overdue.
    fn report_overdue(&mut self, now: f64) {
        while let Some((_, attempt)) =
            self.by_deadline.first().copied().filter(|(until, _)| *until <= micros(now))
        {
            if let Some((_, name)) = self.stop_watching(attempt) {
                self.record_failure(now, &name);
            }
        }
    }

    /// Records that an attempt of this gatekeeper failed or is overdue, and schedules a broadcast unless
    /// enough others have reported the server.
    fn record_failure(&mut self, now: f64, name: &str) {
        let (id, own_index) = (name_hash(name), self.own_index);
        let Some(server_reports) = self.reports.get_mut(&id) else { return };
        server_reports.record(own_index, now);
        if server_reports.score(now, Some(own_index)) < SUFFICIENT_SCORE
            && self.pending_reports.len() < MAX_SERVERS_PER_MESSAGE
        {
            self.pending_reports.insert(id);
            self.due_at = self.due_at.min(now + self.rng.random::<f64>() * MAX_SEND_DELAY_MS);
        }
    }

    /// Records that an attempt of this gatekeeper succeeded in time: all earlier reports on the server count
    /// half.
    fn record_success(&mut self, now: f64, name: &str) {
        let id = name_hash(name);
        let Some(server_reports) = self.reports.get_mut(&id) else { return };
        for reporter in &mut server_reports.reporters {
            *reporter = reporter
                .map(|(reporter_index, at)| (reporter_index, at - REPORT_DECAY_MS * std::f64::consts::LN_2))
                .filter(|(_, at)| now - at < 4.0 * REPORT_DECAY_MS);
        }
        self.pending_reports.remove(&id);
    }

    /// Records the reports in a message of another gatekeeper. Entries that cannot be parsed or name an
    /// unknown server, and messages with more than [`MAX_SERVERS_PER_MESSAGE`] entries, are dropped and
    /// counted.
    pub fn receive(&mut self, now: f64, from: u32, text: &str) {
        let text = text.strip_prefix(GOSSIP_MARK).unwrap_or_default();
        if self.own_rate <= 0.0 || from == self.own_index {
            return;
        }
        self.record_broadcast(now);
        if text.split(',').nth(MAX_SERVERS_PER_MESSAGE).is_some() {
            self.dropped_entries += 1;
            return;
        }
        for entry in text.split(',') {
            let id = u32::from_str_radix(entry, 16).ok().filter(|_| entry.len() <= 8);
            let Some((id, server_reports)) = id.and_then(|id| Some((id, self.reports.get_mut(&id)?))) else {
                self.dropped_entries += 1;
                continue;
            };
            server_reports.record(from, now);
            if server_reports.score(now, Some(self.own_index)) >= SUFFICIENT_SCORE {
                self.pending_reports.remove(&id);
            }
        }
    }

    /// Recent broadcasts, in messages, less what the total rate has drained since.
    fn current_backlog(&self, now: f64) -> f64 {
        (self.backlog - self.total_rate * (now - self.backlog_at).max(0.0) / 1000.0).max(0.0)
    }

    fn record_broadcast(&mut self, now: f64) {
        // At most one second's worth: a gatekeeper that floods the others must not suppress their reports
        // after it stops.
        (self.backlog, self.backlog_at) =
            ((self.current_backlog(now) + 1.0).min(self.total_rate.max(1.0)), now);
    }

    /// Text of the message to broadcast now, if one is due and the rate limits allow it.
    pub fn take_due_message(&mut self, now: f64) -> Option<String> {
        if self.own_rate <= 0.0 {
            return None;
        }
        self.report_overdue(now);
        self.update_baseline(now);
        if now < self.due_at {
            return None;
        }
        self.send_tokens = (self.send_tokens + self.own_rate * (now - self.send_tokens_at).max(0.0) / 1000.0)
            .min(MAX_BURST_MESSAGES);
        self.send_tokens_at = now;
        // Own reports that have decayed while they waited are not broadcast.
        let has_recent_own = |server_reports: &ServerReports, own_index| {
            server_reports
                .reporters
                .iter()
                .flatten()
                .any(|(reporter_index, at)| *reporter_index == own_index && now - at < REPORT_DECAY_MS)
        };
        let (reports, own_index) = (&self.reports, self.own_index);
        self.pending_reports.retain(|id| {
            reports.get(id).is_some_and(|server_reports| has_recent_own(server_reports, own_index))
        });
        if self.pending_reports.is_empty() {
            self.due_at = f64::INFINITY;
            return None;
        }
        if self.send_tokens < 1.0 {
            self.due_at = now + 1000.0 * (1.0 - self.send_tokens) / self.own_rate;
            return None;
        }
        let backlog = self.current_backlog(now);
        if backlog > MAX_BACKLOG_SHARE * self.total_rate {
            // Other gatekeepers use up the receivers' intake: send after them, if the report is still recent
            // by then.
            self.due_at =
                now + 1000.0 * backlog / self.total_rate + self.rng.random::<f64>() * MAX_HOLD_BACK_JITTER_MS;
            return None;
        }
        self.record_broadcast(now);
        self.send_tokens -= 1.0;
        self.due_at = f64::INFINITY;
        let ids = std::mem::take(&mut self.pending_reports);
        let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
        Some(format!("{GOSSIP_MARK}{}", ids.join(",")))
    }

    /// Milliseconds until the host should wake the module for the next broadcast or overdue attempt; `None`
    /// if an earlier wakeup is requested already. Without wakeups a gatekeeper with little traffic would
    /// delay its reports until its next request.
    pub fn next_wakeup_ms(&mut self, now: f64) -> Option<f64> {
        let overdue = self.by_deadline.first().map_or(f64::INFINITY, |(until, _)| *until as f64 / 1000.0);
        let next = self.due_at.min(overdue);
        let pending = if self.wakeup_at > now { self.wakeup_at } else { f64::INFINITY };
        (next + 1.0 < pending).then(|| {
            let after = (next - now).max(1.0);
            self.wakeup_at = now + after;
            after
        })
    }

    /// Score of the reports on a server above the average of all servers: 0 for none, 1 for each fresh
    /// report.
    pub fn report_score(&self, now: f64, name: &str) -> f64 {
        if self.own_rate <= 0.0 {
            return 0.0;
        }
        let score =
            self.reports.get(&name_hash(name)).map_or(0.0, |server_reports| server_reports.score(now, None));
        (score - self.baseline).max(0.0)
    }

    /// Recomputes the average score over a sample of the servers. It is subtracted from each score, so that
    /// servers are not avoided while all of them are reported alike.
    fn update_baseline(&mut self, now: f64) {
        if now - self.baseline_at < BASELINE_INTERVAL_MS {
            return;
        }
        self.baseline_at = now;
        // Successive samples walk through a large fleet.
        let from =
            self.reports.range(self.baseline_cursor..).chain(self.reports.range(..self.baseline_cursor));
        let (mut sum, mut count) = (0.0, 0.0);
        let mut last = 0;
        for (id, server_reports) in from.take(MAX_BASELINE_SERVERS) {
            (sum, count, last) = (sum + server_reports.score(now, None), count + 1.0, *id);
        }
        self.baseline = if count > 0.0 { sum / count } else { 0.0 };
        self.baseline_cursor = last;
    }
}

#[cfg(test)]
mod tests;
