//! Checks the five rules, and that no request is lost, at every step. The checks follow from the protocol and
//! not from the decision module: the oracle sees only the messages on the wires, not the reasons for them.
//!
//! | name | violated by |
//! | --- | --- |
//! | `lost` | an accepted request without an answer when its client leaves, while its gatekeeper runs |
//! | `answers` | a second final answer; an attempt sent after the final answer |
//! | `twice` | two concurrent attempts; a forbidden repeat; "refused" after an attempt that may have run; two effects |
//! | `drain` | an attempt later than the grace after the gatekeeper was notified that the server drains or is gone |
//! | `cold` | a server overloaded during slow start by a gatekeeper that was notified of its start |
//! | `ceiling` | more units passed for a shop, by all gatekeepers, than its ceiling's bucket and the slack allow |

use crate::scenario::{Repeat, Scenario};
use frostvale::AttemptOutcome;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of events before a violation that are reported.
const TRACE_LENGTH: usize = 60;
/// Tolerance added to time limits, as in the tests on sockets.
const TIME_TOLERANCE_MS: f64 = 50.0;
/// A ceiling's slack is raised by the units that its rate gives in this time, as in the tests on sockets.
const CEILING_TOLERANCE_MS: f64 = 150.0;
/// Retention of idempotency keys and effects; longer than any deduplication window and any client's deadline.
const KEY_RETENTION_MS: f64 = 120_000.0;

/// A final answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FinalAnswer {
    /// The request was served with a value.
    Served,
    /// The request was refused; a retry has no unwanted second effect.
    Refused,
    /// The request may or may not have run.
    Failed,
}

/// The first violation of a rule in a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The name of the rule.
    pub rule: String,
    /// Virtual time in ms.
    pub at: f64,
    /// Description of the violation.
    pub what: String,
    /// The events before it, oldest first.
    pub before: Vec<String>,
}

/// A request that a gatekeeper has accepted.
struct TrackedRequest {
    gatekeeper: u32,
    class: usize,
    key: u64,
    answer: Option<FinalAnswer>,
    has_client_left: bool,
    /// Whether an attempt is outstanding.
    has_attempt: bool,
    attempts: u32,
    /// Zone, cell and send time of the first attempt that may have run.
    may_run: Option<(u32, u32, f64)>,
    /// Zone, cell and send time of the last attempt.
    sent: (u32, u32, f64),
}

/// An event on a wire, kept for the report of a violation.
#[derive(Clone, Copy)]
pub(crate) struct Trace {
    pub at: f64,
    pub gatekeeper: u32,
    pub what: &'static str,
    pub id: u64,
    pub server: Option<u32>,
}

/// A shop's exact token bucket for its ceiling, over all gatekeepers.
#[derive(Clone, Copy, Default)]
struct CeilingBucket {
    at: f64,
    tokens: f64,
    /// Whether the shop has had a request; until then the bucket is full.
    is_seen: bool,
}

/// The state of the checks in one run.
pub(crate) struct Oracle {
    /// For each class, whether it may be repeated and its deduplication window in ms.
    repeats: Vec<(Repeat, f64)>,
    /// For each plan, the ceiling's rate, burst and slack.
    ceilings: Vec<(f64, f64, f64)>,
    /// Time in ms after the notification in which a draining server may still get new attempts.
    grace: f64,
    requests: FxHashMap<u64, TrackedRequest>,
    ceiling_buckets: Vec<CeilingBucket>,
    /// By gatekeeper and server: when the gatekeeper was notified that the server drains or is gone.
    drain_notices: FxHashMap<(u32, u32), f64>,
    /// By gatekeeper and server: the server's last start, as the gatekeeper was notified.
    known_starts: FxHashMap<(u32, u32), f64>,
    /// By idempotency key and deduplication group: when the request last took effect there.
    keys: FxHashMap<(u64, u32), f64>,
    /// The entries of `keys`, oldest first.
    key_ages: VecDeque<(f64, u64, u32)>,
    /// Number of effects of each idempotency key.
    effects: FxHashMap<u64, u32>,
    /// The last `TRACE_LENGTH` events.
    traces: VecDeque<Trace>,
    /// The first violation.
    pub broken: Option<Violation>,
    /// The largest share of its slack that any ceiling used; 1 is the limit.
    pub ceiling_used: f64,
}

impl Oracle {
    pub fn new(scenario: &Scenario, shops: usize) -> Oracle {
        Oracle {
            repeats: scenario.classes.iter().map(|c| (c.repeat, c.window_ms)).collect(),
            ceilings: scenario
                .plans
                .iter()
                .map(|p| (p.ceiling_rate, p.ceiling_burst, p.ceiling_slack))
                .collect(),
            grace: scenario.discovery.grace_ms + TIME_TOLERANCE_MS,
            requests: FxHashMap::default(),
            ceiling_buckets: vec![CeilingBucket::default(); shops],
            drain_notices: FxHashMap::default(),
            known_starts: FxHashMap::default(),
            keys: FxHashMap::default(),
            key_ages: VecDeque::new(),
            effects: FxHashMap::default(),
            traces: VecDeque::with_capacity(TRACE_LENGTH),
            broken: None,
            ceiling_used: 0.0,
        }
    }

    /// Keeps an event for the report of a violation; the oldest one is dropped.
    pub fn trace(&mut self, trace: Trace) {
        if self.traces.len() >= TRACE_LENGTH {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// Records a violation, unless there was one before.
    pub fn record_violation(&mut self, rule: &'static str, at: f64, what: impl FnOnce() -> String) {
        if self.broken.is_some() {
            return;
        }
        let line = |t: &Trace| {
            let server = t.server.map_or(String::new(), |s| format!(" server {s}"));
            format!("{:>12.3} ms  gatekeeper {}  {}  request {}{server}", t.at, t.gatekeeper, t.what, t.id)
        };
        self.broken = Some(Violation {
            rule: rule.into(),
            at,
            what: what(),
            before: self.traces.iter().map(line).collect(),
        });
    }

    /// Records that a gatekeeper accepted a request.
    pub fn request_accepted(&mut self, id: u64, gatekeeper: u32, class: usize, key: u64) {
        let w = TrackedRequest {
            gatekeeper,
            class,
            key,
            answer: None,
            has_client_left: false,
            has_attempt: false,
            attempts: 0,
            may_run: None,
            sent: (0, 0, 0.0),
        };
        self.requests.insert(id, w);
    }

    /// Checks an attempt that a gatekeeper sends.
    pub fn attempt_sent(&mut self, at: f64, gatekeeper: u32, id: u64, server: u32, place: (u32, u32)) {
        let told = self.drain_notices.get(&(gatekeeper, server)).copied();
        if let Some(when) = told.filter(|when| at > when + self.grace) {
            self.record_violation("drain", at, || {
                format!(
                    "request {id} was sent to server {server} {:.0} ms after its drain or removal reached gatekeeper {gatekeeper}",
                    at - when
                )
            });
        }
        let Some(w) = self.requests.get_mut(&id) else {
            return self.record_violation("answers", at, || {
                format!("request {id} was sent to a server, but no such request is open")
            });
        };
        let (answer, left, out, may_run) = (w.answer, w.has_client_left, w.has_attempt, w.may_run);
        let (repeat, window) = self.repeats[w.class];
        w.has_attempt = true;
        w.attempts += 1;
        w.sent = (place.0, place.1, at);
        if answer.is_some() || left {
            self.record_violation("answers", at, || {
                format!("request {id} was sent to a server after its end")
            });
        }
        if out {
            self.record_violation("twice", at, || format!("request {id} has two concurrent attempts"));
        }
        if let Some((zone, cell, when)) = may_run {
            let allowed = match repeat {
                Repeat::Safe => true,
                Repeat::Once => false,
                Repeat::Cell => cell == place.1 && at < when + window,
                Repeat::Zone => zone == place.0 && at < when + window,
                Repeat::All => at < when + window,
            };
            if !allowed {
                self.record_violation("twice", at, || {
                    format!("request {id} ({repeat:?}) may have run {:.0} ms ago in rack {cell} and was sent to server {server} in rack {}", at - when, place.1)
                });
            }
        }
    }

    /// The request's key, the group of servers at this place that deduplicate it, and their window in ms;
    /// `None` for requests that may be repeated.
    fn dedup_group(&self, id: u64, place: (u32, u32)) -> Option<(u64, u32, f64)> {
        let w = self.requests.get(&id)?;
        let (repeat, window) = self.repeats[w.class];
        match repeat {
            Repeat::Safe => None,
            Repeat::Cell => Some((w.key, place.1, window)),
            Repeat::Zone => Some((w.key, place.0, window)),
            Repeat::All => Some((w.key, 0, window)),
            Repeat::Once => Some((w.key, 0, 0.0)),
        }
    }

    /// Whether servers at this place drop the request as a duplicate.
    pub fn is_duplicate_dropped(&self, at: f64, id: u64, place: (u32, u32)) -> bool {
        self.dedup_group(id, place).is_some_and(|(key, group, window)| {
            self.keys.get(&(key, group)).is_some_and(|when| at - when < window)
        })
    }

    /// Records that a server accepted a request, which takes effect now or later.
    pub fn record_effect(&mut self, at: f64, id: u64, place: (u32, u32)) {
        while let Some((_, key, group)) =
            self.key_ages.front().copied().filter(|(when, _, _)| at - when > KEY_RETENTION_MS)
        {
            self.key_ages.pop_front();
            self.keys.remove(&(key, group));
            self.effects.remove(&key);
        }
        let Some((key, group, _)) = self.dedup_group(id, place) else { return };
        self.keys.insert((key, group), at);
        self.key_ages.push_back((at, key, group));
        let effects = self.effects.entry(key).or_default();
        *effects += 1;
        let effects = *effects;
        if effects > 1 {
            self.record_violation("twice", at, || {
                format!("request {id} took effect {effects} times, the last in rack {}", place.1)
            });
        }
    }

    /// Charges a request's units, when a server has received the whole of its first attempt.
    pub fn record_charge(&mut self, at: f64, id: u64, (shop, plan): (u64, usize), units: f64) {
        let (rate, burst, slack) = self.ceilings[plan];
        let Some(bucket) = self.ceiling_buckets.get_mut(shop as usize).filter(|_| rate > 0.0) else { return };
        let held = if bucket.is_seen {
            (bucket.tokens + rate * (at - bucket.at) / 1000.0).min(burst)
        } else {
            burst
        };
        *bucket = CeilingBucket { at, tokens: held - units, is_seen: true };
        let below = units - held;
        let slack = slack + rate * CEILING_TOLERANCE_MS / 1000.0;
        self.ceiling_used = self.ceiling_used.max(below / slack.max(1e-9));
        if below > slack + 1e-6 {
            self.record_violation("ceiling", at, || {
                format!("request {id} of shop {shop} leaves its ceiling's bucket at -{below:.2} units, slack {slack:.2}")
            });
        }
    }

    /// Records the outcome of an attempt that its gatekeeper observes.
    pub fn attempt_ended(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(w) = self.requests.get_mut(&id) else { return };
        w.has_attempt = false;
        let cannot_have_run =
            matches!(outcome, AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Moot);
        if !cannot_have_run && w.may_run.is_none() {
            w.may_run = Some(w.sent);
        }
        self.drop_if_ended(id);
    }

    /// Checks a final answer.
    pub fn request_answered(&mut self, at: f64, id: u64, answer: FinalAnswer) {
        let Some(w) = self.requests.get_mut(&id) else {
            return self.record_violation("answers", at, || {
                format!("request {id} was answered, but no such request is open")
            });
        };
        let before = w.answer.replace(answer);
        let (out, may_run, left) = (w.has_attempt, w.may_run, w.has_client_left);
        let (repeat, _) = self.repeats[w.class];
        if let Some(before) = before {
            self.record_violation("answers", at, || {
                format!("request {id} has two final answers: {before:?}, then {answer:?}")
            });
        }
        if left {
            self.record_violation("lost", at, || format!("request {id} was answered after its client left"));
        }
        let harmless = matches!(repeat, Repeat::Safe | Repeat::All) || (may_run.is_none() && !out);
        if answer == FinalAnswer::Refused && !harmless {
            self.record_violation("twice", at, || {
                format!("request {id} ({repeat:?}) was refused, but may have run")
            });
        }
        self.drop_if_ended(id);
    }

    /// Checks that a request is answered when its client's deadline passes.
    pub fn client_left(&mut self, at: f64, id: u64) {
        let Some(w) = self.requests.get_mut(&id) else { return };
        if w.answer.is_none() {
            w.has_client_left = true;
            let (gatekeeper, attempts) = (w.gatekeeper, w.attempts);
            self.record_violation("lost", at, || {
                format!("request {id} has no answer from gatekeeper {gatekeeper} when its client leaves, after {attempts} attempts")
            });
        }
        self.drop_if_ended(id);
    }

    /// Drops a request whose gatekeeper was killed.
    pub fn request_orphaned(&mut self, id: u64) {
        self.requests.remove(&id);
    }

    /// Drops a request that has ended, once its last attempt has ended too.
    fn drop_if_ended(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|w| !w.has_attempt && (w.answer.is_some() || w.has_client_left))
        {
            self.requests.remove(&id);
        }
    }

    /// Records that a gatekeeper received a server's list entry; `since` is the server's last start.
    pub fn server_listed(&mut self, at: f64, gatekeeper: u32, server: u32, up: bool, since: f64) {
        if up {
            self.drain_notices.remove(&(gatekeeper, server));
            self.known_starts.insert((gatekeeper, server), since);
        } else {
            self.drain_notices.entry((gatekeeper, server)).or_insert(at);
        }
    }

    /// Records a violation if a gatekeeper's request overloaded a server in slow start, and the gatekeeper
    /// had been notified of its start at `since`.
    pub fn check_overload(&mut self, at: f64, gatekeeper: u32, server: u32, id: u64, since: f64) {
        if self.known_starts.get(&(gatekeeper, server)) == Some(&since) {
            self.record_violation("cold", at, || {
                let age = (at - since) / 1000.0;
                format!(
                    "server {server}, known to have started {age:.1} s ago, was overloaded by request {id}"
                )
            });
        }
    }

    /// Clears the notifications of a gatekeeper that starts.
    pub fn gatekeeper_started(&mut self, gatekeeper: u32) {
        self.drain_notices.retain(|(g, _), _| *g != gatekeeper);
        self.known_starts.retain(|(g, _), _| *g != gatekeeper);
    }

    /// Number of requests without an answer whose clients still wait.
    pub fn open_requests(&self) -> usize {
        self.requests.values().filter(|w| w.answer.is_none() && !w.has_client_left).count()
    }
}
