//! Policy for consulting an outside rate limit service before a request is forwarded.
//!
//! A service that hangs delays every request of its plans by the whole deadline and fills memory with waiting
//! requests; when it recovers, all of them reach it at once. Therefore each request waits for at most a
//! configured fraction of its latency target, the number of calls in flight is limited, and a circuit breaker
//! stops calls to a failing service until single trial calls have succeeded.
//!
//! The policy performs no I/O and reads no clock. The caller passes the time in milliseconds with each event
//! and carries out the returned decision. Random numbers come only from the policy's own seeded generator.
//!
//! States of the circuit breaker:
//!
//! - *Closed*: every request calls the service. The breaker opens when at least [`MIN_BREAKER_CALLS`] of the
//!   last [`BREAKER_WINDOW_CALLS`] calls are recorded and at least half of them failed.
//! - *Open*: no request calls the service. The pause doubles with each failed trial up to a limit, and has
//!   jitter so that gatekeepers do not retry in step.
//! - *Half-open*: one request at a time calls the service; the others are decided by the failure mode. After
//!   [`CLOSING_SUCCESSES`] successes in a row the breaker closes; after a failure it opens again.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Size of the closed breaker's sliding window, in calls.
pub const BREAKER_WINDOW_CALLS: usize = 20;
/// Minimum number of calls in the window before the breaker may open.
pub const MIN_BREAKER_CALLS: usize = 5;
/// Number of successes in a row that close a half-open breaker.
pub const CLOSING_SUCCESSES: u32 = 3;

/// What happens to a request when there is no verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureMode {
    /// The request is forwarded.
    Allow,
    /// The request is refused.
    Deny,
}

/// Settings of the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Failure mode by plan number; `None` for a plan whose requests do not consult the service.
    pub plans: Vec<Option<FailureMode>>,
    /// Maximum wait for a verdict as a fraction of the request's latency target, over 0 and at most 0.5.
    pub deadline_part: f64,
    /// Maximum number of calls in flight, 1 to 100,000; requests above it are decided by the failure mode.
    pub in_hand: usize,
    /// First pause of an open breaker, in ms, 10 to 60,000.
    pub open_ms: f64,
    /// Longest pause of an open breaker, in ms, `open_ms` to 600,000.
    pub open_most_ms: f64,
    /// Maximum time that a verdict is cached, in ms, 0 to 60,000. A verdict without a lifetime is not cached.
    pub keep_ms: f64,
    /// Maximum number of cached verdicts, 0 to 1,000,000.
    pub keep_most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            plans: Vec::new(),
            deadline_part: 0.2,
            in_hand: 256,
            open_ms: 500.0,
            open_most_ms: 8000.0,
            keep_ms: 1000.0,
            keep_most: 10_000,
        }
    }
}

/// Error for a setting out of range: its name and the accepted range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that all settings are in range.
    ///
    /// # Errors
    /// Returns the first field that is out of range, with its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |text: &str| Err(SettingsError(text.into()));
        if !(self.deadline_part > 0.0 && self.deadline_part <= 0.5) {
            return bad("deadline_part: over 0 and at most 0.5");
        }
        if !(1..=100_000).contains(&self.in_hand) {
            return bad("in_hand: 1 to 100000");
        }
        if !(10.0..=60_000.0).contains(&self.open_ms) {
            return bad("open_ms: 10 to 60000");
        }
        if !(self.open_ms..=600_000.0).contains(&self.open_most_ms) {
            return bad("open_most_ms: open_ms to 600000");
        }
        if !(0.0..=60_000.0).contains(&self.keep_ms) {
            return bad("keep_ms: 0 to 60000");
        }
        if self.keep_most > 1_000_000 {
            return bad("keep_most: 0 to 1000000");
        }
        Ok(())
    }
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum OutsideDecision {
    /// The request proceeds to the gatekeeper's own limits.
    Pass,
    /// The request is refused at once.
    Deny {
        /// Time after which the client may retry, in ms; 0 if unknown.
        pause: f64,
    },
    /// The service is to be called, with a limit on the wait.
    Ask {
        /// Number of the call, to be passed with its verdict or timeout.
        call: u64,
        /// Maximum wait, in ms.
        within: f64,
    },
}

/// The outcome of a call to the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The requested units are granted, possibly with further units in advance.
    Ok {
        /// Units granted in advance for later requests; 0 if none.
        ahead: f64,
        /// Lifetime of the units granted in advance, in ms.
        ahead_ms: f64,
    },
    /// The shop is over its limit.
    Over {
        /// Time after which the client may retry, in ms; 0 if the answer does not state it.
        reset_ms: f64,
    },
    /// No verdict: connection refused or reset, malformed answer, or timeout.
    Failed,
}

/// State of the circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Every request calls the service.
    Closed,
    /// No request calls the service.
    Open,
    /// One request at a time calls the service.
    HalfOpen,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls started.
    pub asked: u64,
    /// Calls that ended without a verdict in time.
    pub failed: u64,
    /// Requests decided by the failure mode.
    pub by_mode: u64,
    /// Requests decided by a cached verdict.
    pub kept: u64,
}

/// A call in flight.
struct PendingCall {
    request: u64,
    shop: Arc<str>,
    mode: FailureMode,
    /// Whether the half-open breaker let it through as a trial.
    is_trial: bool,
}

/// A cached verdict on a shop.
struct CachedVerdict {
    /// Time at which it expires, in ms.
    until: f64,
    /// Units that remain of those granted in advance; `None` means that the shop is over its limit.
    ahead: Option<f64>,
}

/// Decides when to call the service and how to decide requests without an answer. The window, the calls in
/// flight and the cache are bounded.
pub struct OutsidePolicy {
    settings: Settings,
    rng: Pcg64Mcg,
    calls: BTreeMap<u64, PendingCall>,
    last_call: u64,
    breaker: BreakerState,
    /// Outcomes of the last calls, oldest first; `true` for a failure.
    window: VecDeque<bool>,
    /// Time at which an open breaker becomes half-open, in ms.
    open_until: f64,
    /// Pause of the open breaker before jitter, in ms.
    open_pause_ms: f64,
    /// Whether a trial call of the half-open breaker is in flight.
    has_trial: bool,
    /// Successful trials in a row.
    successes: u32,
    cache: HashMap<Arc<str>, CachedVerdict>,
    /// Expiry times of cache entries in order of insertion; an overwritten entry has more than one.
    expiries: VecDeque<(f64, Arc<str>)>,
    counts: CallCounts,
}

impl OutsidePolicy {
    /// Creates a policy with a closed breaker and an empty cache.
    ///
    /// # Errors
    /// Returns an error if a setting is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<OutsidePolicy, SettingsError> {
        settings.check()?;
        Ok(OutsidePolicy {
            open_pause_ms: settings.open_ms,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: BTreeMap::new(),
            last_call: 0,
            breaker: BreakerState::Closed,
            window: VecDeque::new(),
            open_until: 0.0,
            has_trial: false,
            successes: 0,
            cache: HashMap::new(),
            expiries: VecDeque::new(),
            counts: CallCounts::default(),
        })
    }

    /// Has calls numbered from above `last_call`, the last call of the policies before this one: a late
    /// verdict to one of theirs must not be taken for the verdict to a new call.
    #[must_use]
    pub fn with_calls_after(self, last_call: u64) -> OutsidePolicy {
        OutsidePolicy { last_call, ..self }
    }

    /// Returns the number of the last call.
    #[must_use]
    pub fn last_call(&self) -> u64 {
        self.last_call
    }

    /// Returns the breaker's state.
    #[must_use]
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of shops with a cached verdict, including expired ones that are not yet evicted.
    #[must_use]
    pub fn cached_shops(&self) -> usize {
        self.cache.len()
    }

    /// Returns whether a call is still in flight.
    #[must_use]
    pub fn is_pending(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// Returns whether requests of this plan consult the service.
    #[must_use]
    pub fn consults_plan(&self, plan: usize) -> bool {
        self.settings.plans.get(plan).is_some_and(Option::is_some)
    }

    /// Decides a new request. `aim` is the latency target of its class and `left` the time that its client
    /// still waits, both in ms. `linked` is false if there is no agent through which to call the service.
    #[allow(clippy::too_many_arguments)]
    pub fn ask(
        &mut self,
        now: f64,
        request: u64,
        shop: &Arc<str>,
        plan: usize,
        units: f64,
        (aim, left): (f64, f64),
        linked: bool,
    ) -> OutsideDecision {
        let Some(mode) = self.settings.plans.get(plan).copied().flatten() else {
            return OutsideDecision::Pass;
        };
        self.evict_expired(now);
        if let Some(cached) = self.cache.get_mut(shop)
            && cached.until > now
        {
            match &mut cached.ahead {
                None => {
                    self.counts.kept += 1;
                    return OutsideDecision::Deny { pause: (cached.until - now).ceil() };
                }
                Some(ahead) if *ahead >= units => {
                    *ahead -= units;
                    self.counts.kept += 1;
                    return OutsideDecision::Pass;
                }
                Some(_) => {}
            }
        }
        if self.breaker == BreakerState::Open && now >= self.open_until {
            self.breaker = BreakerState::HalfOpen;
            (self.has_trial, self.successes) = (false, 0);
        }
        let is_trial = self.breaker == BreakerState::HalfOpen;
        let is_blocked = self.breaker == BreakerState::Open || (is_trial && self.has_trial);
        let within = (self.settings.deadline_part * aim).min(left / 2.0);
        if is_blocked || !linked || self.calls.len() >= self.settings.in_hand || within < 1.0 {
            return self.apply_failure_mode(mode);
        }
        self.has_trial |= is_trial;
        self.last_call += 1;
        self.counts.asked += 1;
        self.calls.insert(self.last_call, PendingCall { request, shop: shop.clone(), mode, is_trial });
        OutsideDecision::Ask { call: self.last_call, within }
    }

    /// Records the outcome of a call. Returns the request and the decision on it, or `None` if the call has
    /// already ended.
    pub fn record_verdict(
        &mut self,
        now: f64,
        call: u64,
        verdict: Verdict,
    ) -> Option<(u64, OutsideDecision)> {
        let call = self.calls.remove(&call)?;
        self.record_outcome(now, verdict == Verdict::Failed, call.is_trial);
        let decision = match verdict {
            Verdict::Ok { ahead, ahead_ms } => {
                if ahead > 0.0 {
                    self.cache_verdict(now, call.shop, ahead_ms, Some(ahead));
                }
                OutsideDecision::Pass
            }
            Verdict::Over { reset_ms } => {
                self.cache_verdict(now, call.shop, reset_ms, None);
                OutsideDecision::Deny { pause: reset_ms.max(0.0).ceil() }
            }
            Verdict::Failed => self.apply_failure_mode(call.mode),
        };
        Some((call.request, decision))
    }

    /// Ends a call whose wait is over; it counts as a failure. Returns the same as [`Self::record_verdict`].
    pub fn time_out(&mut self, now: f64, call: u64) -> Option<(u64, OutsideDecision)> {
        self.record_verdict(now, call, Verdict::Failed)
    }

    /// Ends all calls in flight because the connection to the agent is lost; the failure mode decides their
    /// requests. They do not count as failures, since the service itself may be healthy.
    pub fn link_lost(&mut self) -> Vec<(u64, OutsideDecision)> {
        let calls = std::mem::take(&mut self.calls);
        self.has_trial = false;
        calls.into_values().map(|c| (c.request, self.apply_failure_mode(c.mode))).collect()
    }

    /// Decides a request that gets no verdict.
    fn apply_failure_mode(&mut self, mode: FailureMode) -> OutsideDecision {
        self.counts.by_mode += 1;
        match mode {
            FailureMode::Allow => OutsideDecision::Pass,
            FailureMode::Deny => OutsideDecision::Deny { pause: 0.0 },
        }
    }

    /// Updates the breaker and the counters with the outcome of a call.
    fn record_outcome(&mut self, now: f64, failed: bool, is_trial: bool) {
        self.counts.failed += u64::from(failed);
        if is_trial {
            if self.breaker != BreakerState::HalfOpen {
                return;
            }
            self.has_trial = false;
            if failed {
                self.open_pause_ms = (self.open_pause_ms * 2.0).min(self.settings.open_most_ms);
                return self.open_breaker(now);
            }
            self.successes += 1;
            if self.successes >= CLOSING_SUCCESSES {
                self.breaker = BreakerState::Closed;
                self.open_pause_ms = self.settings.open_ms;
                self.window.clear();
            }
            return;
        }
        // The outcome of a call that was started before the breaker opened is out of date.
        if self.breaker != BreakerState::Closed {
            return;
        }
        self.window.push_back(failed);
        if self.window.len() > BREAKER_WINDOW_CALLS {
            self.window.pop_front();
        }
        let failures = self.window.iter().filter(|failed| **failed).count();
        if self.window.len() >= MIN_BREAKER_CALLS && 2 * failures >= self.window.len() {
            self.open_breaker(now);
        }
    }

    /// Opens the breaker for the current pause with 25 % jitter.
    fn open_breaker(&mut self, now: f64) {
        self.breaker = BreakerState::Open;
        self.open_until = now + self.open_pause_ms * self.rng.random_range(0.75..1.25);
        self.window.clear();
    }

    /// Caches a verdict for at most `keep_ms`.
    fn cache_verdict(&mut self, now: f64, shop: Arc<str>, ms: f64, ahead: Option<f64>) {
        let ms = ms.min(self.settings.keep_ms);
        if ms.is_nan() || ms <= 0.0 {
            return;
        }
        self.evict_expired(now);
        // A new verdict on a shop overwrites its entry. The old expiry time remains in the queue; when it is
        // due, the entry is not expired yet and stays.
        if self.expiries.len() >= self.settings.keep_most {
            return;
        }
        let until = now + ms;
        self.expiries.push_back((until, shop.clone()));
        self.cache.insert(shop, CachedVerdict { until, ahead });
    }

    /// Evicts expired cache entries. The expiry times are not strictly ordered, but each is at most `keep_ms`
    /// after its insertion.
    fn evict_expired(&mut self, now: f64) {
        while self.expiries.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, shop)) = self.expiries.pop_front() else { return };
            if self.cache.get(&shop).is_some_and(|cached| cached.until <= now) {
                self.cache.remove(&shop);
            }
        }
    }
}
