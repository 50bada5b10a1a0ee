//! The five rules and conservation, watched at every step. Written from the protocol and not from the decision module:
//! it knows what went over the wires, and nothing of why.
//!
//! | name | broken by |
//! | --- | --- |
//! | `lost` | a taken request without an answer when its client leaves, while its gatekeeper runs |
//! | `answers` | a second final answer; anything sent on after the final one |
//! | `twice` | two attempts out at once; a repeat that its class does not allow; "refused" where one may have run; two effects |
//! | `drain` | something new for a server later than the grace after this gatekeeper was told that it drains or is gone |
//! | `cold` | a server is pushed over by a gatekeeper that was told of its start |
//! | `ceiling` | more passed for a shop, by all gatekeepers together, than its ceiling's store holds, less the slack |

use crate::scenario::{Repeat, Scenario};
use frostvale::AttemptOutcome;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// How many events before a break are told.
const BEFORE: usize = 60;
/// On sockets each time limit is so many ms longer, and a ceiling's slack by what its rate gives in `SLACK_MS`.
const LONGER_MS: f64 = 50.0;
const SLACK_MS: f64 = 150.0;
/// Effects are remembered so long, past any window and any client's patience.
const KEYS_MS: f64 = 120_000.0;

/// A final answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FinalAnswer {
    /// With a value.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Promises nothing.
    Failed,
}

/// The first rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Which.
    pub rule: String,
    /// When, in ms.
    pub at: f64,
    /// What happened.
    pub what: String,
    /// The events before it, the last one last.
    pub before: Vec<String>,
}

/// A request that a gatekeeper has taken.
struct Watched {
    gatekeeper: u32,
    class: usize,
    key: u64,
    answer: Option<FinalAnswer>,
    left: bool,
    out: bool,
    attempts: u32,
    /// The zone and cell of the first attempt that may have run, and when it was sent.
    may_run: Option<(u32, u32, f64)>,
    sent: (u32, u32, f64),
}

/// What went over a wire, for the events before a break.
#[derive(Clone, Copy)]
pub(crate) struct Trace {
    pub at: f64,
    pub gatekeeper: u32,
    pub what: &'static str,
    pub id: u64,
    pub server: Option<u32>,
}

#[derive(Clone, Copy, Default)]
struct Level {
    at: f64,
    ceiling: f64,
    seen: bool,
}

pub(crate) struct Oracle {
    repeats: Vec<(Repeat, f64)>,
    ceilings: Vec<(f64, f64, f64)>,
    grace: f64,
    watched: FxHashMap<u64, Watched>,
    levels: Vec<Level>,
    /// Which servers a gatekeeper was told to leave, and when.
    told: FxHashMap<(u32, u32), f64>,
    /// When a server last started, as a gatekeeper was told.
    lives: FxHashMap<(u32, u32), f64>,
    /// Keys by who dropped repeats of them: when they came first.
    keys: FxHashMap<(u64, u32), f64>,
    key_ages: VecDeque<(f64, u64, u32)>,
    /// Effects of a key.
    effects: FxHashMap<u64, u32>,
    ring: VecDeque<Trace>,
    pub broken: Option<Violation>,
    /// The least that any ceiling's store held, as a part of its slack that was used: 1 is the limit.
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
            grace: scenario.discovery.grace_ms + LONGER_MS,
            watched: FxHashMap::default(),
            levels: vec![Level::default(); shops],
            told: FxHashMap::default(),
            lives: FxHashMap::default(),
            keys: FxHashMap::default(),
            key_ages: VecDeque::new(),
            effects: FxHashMap::default(),
            ring: VecDeque::with_capacity(BEFORE),
            broken: None,
            ceiling_used: 0.0,
        }
    }

    pub fn trace(&mut self, trace: Trace) {
        if self.ring.len() >= BEFORE {
            self.ring.pop_front();
        }
        self.ring.push_back(trace);
    }

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
            before: self.ring.iter().map(line).collect(),
        });
    }

    /// A gatekeeper has taken a request.
    pub fn request_accepted(&mut self, id: u64, gatekeeper: u32, class: usize, key: u64) {
        let w = Watched {
            gatekeeper,
            class,
            key,
            answer: None,
            left: false,
            out: false,
            attempts: 0,
            may_run: None,
            sent: (0, 0, 0.0),
        };
        self.watched.insert(id, w);
    }

    /// An attempt goes out.
    pub fn attempt_sent(&mut self, at: f64, gatekeeper: u32, id: u64, server: u32, place: (u32, u32)) {
        let told = self.told.get(&(gatekeeper, server)).copied();
        if let Some(when) = told.filter(|when| at > when + self.grace) {
            self.record_violation("drain", at, || {
                format!(
                    "request {id} went to server {server} {:.0} ms after gatekeeper {gatekeeper} was told to leave it",
                    at - when
                )
            });
        }
        let Some(w) = self.watched.get_mut(&id) else {
            return self.record_violation("answers", at, || {
                format!("request {id} was sent on, and no such request is open")
            });
        };
        let (answer, left, out, may_run) = (w.answer, w.left, w.out, w.may_run);
        let (repeat, window) = self.repeats[w.class];
        w.out = true;
        w.attempts += 1;
        w.sent = (place.0, place.1, at);
        if answer.is_some() || left {
            self.record_violation("answers", at, || format!("request {id} was sent on after its end"));
        }
        if out {
            self.record_violation("twice", at, || format!("request {id} has two attempts out at once"));
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

    /// Who drops repeats of a request's key, if anybody does.
    fn group(&self, id: u64, place: (u32, u32)) -> Option<(u64, u32, f64)> {
        let w = self.watched.get(&id)?;
        let (repeat, window) = self.repeats[w.class];
        match repeat {
            Repeat::Safe => None,
            Repeat::Cell => Some((w.key, place.1, window)),
            Repeat::Zone => Some((w.key, place.0, window)),
            Repeat::All => Some((w.key, 0, window)),
            Repeat::Once => Some((w.key, 0, 0.0)),
        }
    }

    /// Whether servers at this place drop a request as a repeat.
    pub fn is_duplicate_dropped(&self, at: f64, id: u64, place: (u32, u32)) -> bool {
        self.group(id, place).is_some_and(|(key, group, window)| {
            self.keys.get(&(key, group)).is_some_and(|when| at - when < window)
        })
    }

    /// A server has taken a request in hand, so it takes effect, now or later.
    pub fn record_effect(&mut self, at: f64, id: u64, place: (u32, u32)) {
        while let Some((_, key, group)) =
            self.key_ages.front().copied().filter(|(when, _, _)| at - when > KEYS_MS)
        {
            self.key_ages.pop_front();
            self.keys.remove(&(key, group));
            self.effects.remove(&key);
        }
        let Some((key, group, _)) = self.group(id, place) else { return };
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

    /// The last byte of a first attempt has come to a server: its units are taken.
    pub fn record_charge(&mut self, at: f64, id: u64, (shop, plan): (u64, usize), units: f64) {
        let (rate, burst, slack) = self.ceilings[plan];
        let Some(level) = self.levels.get_mut(shop as usize).filter(|_| rate > 0.0) else { return };
        let held =
            if level.seen { (level.ceiling + rate * (at - level.at) / 1000.0).min(burst) } else { burst };
        *level = Level { at, ceiling: held - units, seen: true };
        let below = units - held;
        let slack = slack + rate * SLACK_MS / 1000.0;
        self.ceiling_used = self.ceiling_used.max(below / slack.max(1e-9));
        if below > slack + 1e-6 {
            self.record_violation("ceiling", at, || {
                format!("request {id} of shop {shop} leaves its ceiling's store {below:.2} below nothing, {slack:.2} is the slack")
            });
        }
    }

    /// An attempt has ended, as its gatekeeper sees it.
    pub fn attempt_ended(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(w) = self.watched.get_mut(&id) else { return };
        w.out = false;
        let never =
            matches!(outcome, AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Moot);
        if !never && w.may_run.is_none() {
            w.may_run = Some(w.sent);
        }
        self.forget(id);
    }

    /// A final answer was given.
    pub fn request_answered(&mut self, at: f64, id: u64, answer: FinalAnswer) {
        let Some(w) = self.watched.get_mut(&id) else {
            return self.record_violation("answers", at, || {
                format!("request {id} is answered, and no such request is open")
            });
        };
        let before = w.answer.replace(answer);
        let (out, may_run, left) = (w.out, w.may_run, w.left);
        let (repeat, _) = self.repeats[w.class];
        if let Some(before) = before {
            self.record_violation("answers", at, || {
                format!("request {id} was {before:?}, and then {answer:?}")
            });
        }
        if left {
            self.record_violation("lost", at, || format!("request {id} is answered after its client left"));
        }
        let harmless = matches!(repeat, Repeat::Safe | Repeat::All) || (may_run.is_none() && !out);
        if answer == FinalAnswer::Refused && !harmless {
            self.record_violation("twice", at, || {
                format!("request {id} ({repeat:?}) is refused, though it may have run")
            });
        }
        self.forget(id);
    }

    /// A client's time is up.
    pub fn client_left(&mut self, at: f64, id: u64) {
        let Some(w) = self.watched.get_mut(&id) else { return };
        if w.answer.is_none() {
            w.left = true;
            let (gatekeeper, attempts) = (w.gatekeeper, w.attempts);
            self.record_violation("lost", at, || {
                format!("request {id} has no answer from gatekeeper {gatekeeper} when its client leaves, after {attempts} attempts")
            });
        }
        self.forget(id);
    }

    /// The gatekeeper that had it is gone.
    pub fn request_orphaned(&mut self, id: u64) {
        self.watched.remove(&id);
    }

    /// Ended requests are known until their last attempt has ended.
    fn forget(&mut self, id: u64) {
        if self.watched.get(&id).is_some_and(|w| !w.out && (w.answer.is_some() || w.left)) {
            self.watched.remove(&id);
        }
    }

    /// A gatekeeper was told of a server, and when that last started.
    pub fn server_listed(&mut self, at: f64, gatekeeper: u32, server: u32, up: bool, since: f64) {
        if up {
            self.told.remove(&(gatekeeper, server));
            self.lives.insert((gatekeeper, server), since);
        } else {
            self.told.entry((gatekeeper, server)).or_insert(at);
        }
    }

    /// A server that started at `since` is pushed over by this gatekeeper's request. It is no fault of those that
    /// could not know.
    pub fn check_overload(&mut self, at: f64, gatekeeper: u32, server: u32, id: u64, since: f64) {
        if self.lives.get(&(gatekeeper, server)) == Some(&since) {
            self.record_violation("cold", at, || {
                let age = (at - since) / 1000.0;
                format!(
                    "server {server}, known to have started {age:.1} s ago, is pushed over by request {id}"
                )
            });
        }
    }

    /// A gatekeeper starts, knowing nothing.
    pub fn gatekeeper_started(&mut self, gatekeeper: u32) {
        self.told.retain(|(g, _), _| *g != gatekeeper);
        self.lives.retain(|(g, _), _| *g != gatekeeper);
    }

    /// Requests that are open still.
    pub fn open_requests(&self) -> usize {
        self.watched.values().filter(|w| w.answer.is_none() && !w.left).count()
    }
}
