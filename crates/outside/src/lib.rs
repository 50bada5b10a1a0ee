//! Consulting an outside rate limit service before a request is sent on.
//!
//! # Why
//!
//! Another service's verdict is worth waiting for only while it comes fast. One that hangs holds up every request
//! of its plans for the whole of its deadline, and fills the memory with requests that wait; one that comes back is
//! met by all of them at once. So each request waits a stated part of its aim at the most, only so many wait at
//! once, and a circuit breaker stops asking a service that fails, until a single request has tried it again.
//!
//! No input or output and no clock: the host hands in the time in milliseconds with each event, carries out what it
//! is told, and draws nothing at random itself.
//!
//! The breaker: *closed*, all ask. Of the last [`BREAKER_WINDOW_CALLS`] calls at least [`MIN_BREAKER_CALLS`] were seen and half failed:
//! *open*, none asks, for a time that doubles with each failure up to a bound, scattered so that gatekeepers do not
//! try again in step. Then *half-open*: one request at a time asks, the others are decided by the failure mode.
//! After [`CLOSING_SUCCESSES`] good answers in a row it is closed; after a bad one, open again.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// The calls that the breaker looks back on.
pub const BREAKER_WINDOW_CALLS: usize = 20;
/// Fewer calls than this say nothing.
pub const MIN_BREAKER_CALLS: usize = 5;
/// Good answers in a row that close a half-open breaker.
pub const CLOSING_SUCCESSES: u32 = 3;

/// What is done without a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureMode {
    /// The request goes on.
    Allow,
    /// It is refused.
    Deny,
}

/// How the service is consulted.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// By the plan's number: whether it is asked for, and what is done without a verdict.
    pub plans: Vec<Option<FailureMode>>,
    /// The part of a request's aim that it may wait for a verdict, over 0 and at most 0.5.
    pub deadline_part: f64,
    /// Calls in hand at once; what comes on top is decided by the failure mode.
    pub in_hand: usize,
    /// The first pause of an open breaker and the longest, in ms.
    pub open_ms: f64,
    /// The longest pause.
    pub open_most_ms: f64,
    /// A verdict is kept for this long at the most, in ms, and only where the answer says for how long.
    pub keep_ms: f64,
    /// Shops whose verdicts are kept.
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

/// Which setting can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether they can be acted on.
    ///
    /// # Errors
    /// With the field and the range that it may have.
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

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum OutsideDecision {
    /// It goes on to the module.
    Pass,
    /// It is refused at once; `pause` is when to come back in ms, 0 where nothing is known.
    Deny {
        /// When to come back, in ms; 0 gives no advice.
        pause: f64,
    },
    /// The service is asked, and waited for no longer than this.
    Ask {
        /// The number of the call.
        call: u64,
        /// How long to wait, in ms.
        within: f64,
    },
}

/// What the service said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The units are granted; `ahead` more until `ahead_ms` from now, where the answer grants any.
    Ok {
        /// Units granted ahead.
        ahead: f64,
        /// For how long, in ms.
        ahead_ms: f64,
    },
    /// Over the limit; come back after so many ms, where the answer says so, else 0.
    Over {
        /// When to come back, in ms.
        reset_ms: f64,
    },
    /// No verdict: refused, reset, spoilt or silent.
    Failed,
}

/// The breaker's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// All ask.
    Closed,
    /// None asks.
    Open,
    /// One asks at a time.
    HalfOpen,
}

/// What has happened since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls begun.
    pub asked: u64,
    /// Of them without a verdict in time.
    pub failed: u64,
    /// Requests decided by the failure mode.
    pub by_mode: u64,
    /// Requests decided by a verdict kept from before.
    pub kept: u64,
}

struct Call {
    request: u64,
    shop: Arc<str>,
    mode: FailureMode,
    trial: bool,
}

/// A verdict kept.
struct Kept {
    until: f64,
    /// Units granted ahead; none means that the shop is over its limit.
    ahead: Option<f64>,
}

/// Decides when to ask and what to do without an answer.
pub struct OutsidePolicy {
    settings: Settings,
    rng: Pcg64Mcg,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    breaker: BreakerState,
    /// The last calls, true where they failed.
    window: VecDeque<bool>,
    /// When an open breaker lets one try, and how long the pause was.
    open_until: f64,
    pause: f64,
    trying: bool,
    good: u32,
    kept: HashMap<Arc<str>, Kept>,
    ages: VecDeque<(f64, Arc<str>)>,
    counts: CallCounts,
}

impl OutsidePolicy {
    /// Begins with a closed breaker.
    ///
    /// # Errors
    /// When the settings can't be acted on.
    pub fn new(settings: Settings, seed: u64) -> Result<OutsidePolicy, SettingsError> {
        settings.check()?;
        Ok(OutsidePolicy {
            pause: settings.open_ms,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: BTreeMap::new(),
            last_call: 0,
            breaker: BreakerState::Closed,
            window: VecDeque::new(),
            open_until: 0.0,
            trying: false,
            good: 0,
            kept: HashMap::new(),
            ages: VecDeque::new(),
            counts: CallCounts::default(),
        })
    }

    /// The breaker's state.
    #[must_use]
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// What has happened since the start.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Calls that are waited for.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Shops whose verdicts are kept.
    #[must_use]
    pub fn cached_shops(&self) -> usize {
        self.kept.len()
    }

    /// Whether a call is still waited for.
    #[must_use]
    pub fn is_pending(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// Whether requests of this plan are asked for at all.
    #[must_use]
    pub fn consults_plan(&self, plan: usize) -> bool {
        self.settings.plans.get(plan).is_some_and(Option::is_some)
    }

    /// A request has come. `aim` is its class's, `left` what its client still waits, both in ms. `linked` is false
    /// where there is nobody to ask through.
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
        self.forget(now);
        if let Some(kept) = self.kept.get_mut(shop)
            && kept.until > now
        {
            match &mut kept.ahead {
                None => {
                    self.counts.kept += 1;
                    return OutsideDecision::Deny { pause: (kept.until - now).ceil() };
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
            (self.trying, self.good) = (false, 0);
        }
        let trial = self.breaker == BreakerState::HalfOpen;
        let barred = self.breaker == BreakerState::Open || (trial && self.trying);
        let within = (self.settings.deadline_part * aim).min(left / 2.0);
        if barred || !linked || self.calls.len() >= self.settings.in_hand || within < 1.0 {
            return self.by_mode(mode);
        }
        self.trying |= trial;
        self.last_call += 1;
        self.counts.asked += 1;
        self.calls.insert(self.last_call, Call { request, shop: shop.clone(), mode, trial });
        OutsideDecision::Ask { call: self.last_call, within }
    }

    /// The service has spoken. Gives the request and what is to be done with it, unless the call was over already.
    pub fn record_verdict(
        &mut self,
        now: f64,
        call: u64,
        verdict: Verdict,
    ) -> Option<(u64, OutsideDecision)> {
        let call = self.calls.remove(&call)?;
        self.learn(now, verdict == Verdict::Failed, call.trial);
        let step = match verdict {
            Verdict::Ok { ahead, ahead_ms } => {
                if ahead > 0.0 {
                    self.keep(now, call.shop, ahead_ms, Some(ahead));
                }
                OutsideDecision::Pass
            }
            Verdict::Over { reset_ms } => {
                self.keep(now, call.shop, reset_ms, None);
                OutsideDecision::Deny { pause: reset_ms.max(0.0).ceil() }
            }
            Verdict::Failed => self.by_mode(call.mode),
        };
        Some((call.request, step))
    }

    /// A call's time is up.
    pub fn time_out(&mut self, now: f64, call: u64) -> Option<(u64, OutsideDecision)> {
        self.record_verdict(now, call, Verdict::Failed)
    }

    /// Who would carry the answers has gone: nothing that is in hand comes any more. Says nothing of the service.
    pub fn link_lost(&mut self) -> Vec<(u64, OutsideDecision)> {
        let calls = std::mem::take(&mut self.calls);
        self.trying = false;
        calls.into_values().map(|c| (c.request, self.by_mode(c.mode))).collect()
    }

    fn by_mode(&mut self, mode: FailureMode) -> OutsideDecision {
        self.counts.by_mode += 1;
        match mode {
            FailureMode::Allow => OutsideDecision::Pass,
            FailureMode::Deny => OutsideDecision::Deny { pause: 0.0 },
        }
    }

    fn learn(&mut self, now: f64, failed: bool, trial: bool) {
        self.counts.failed += u64::from(failed);
        if trial {
            if self.breaker != BreakerState::HalfOpen {
                return;
            }
            self.trying = false;
            if failed {
                self.pause = (self.pause * 2.0).min(self.settings.open_most_ms);
                return self.open(now);
            }
            self.good += 1;
            if self.good >= CLOSING_SUCCESSES {
                self.breaker = BreakerState::Closed;
                self.pause = self.settings.open_ms;
                self.window.clear();
            }
            return;
        }
        // What was asked before it opened says nothing new.
        if self.breaker != BreakerState::Closed {
            return;
        }
        self.window.push_back(failed);
        if self.window.len() > BREAKER_WINDOW_CALLS {
            self.window.pop_front();
        }
        let bad = self.window.iter().filter(|failed| **failed).count();
        if self.window.len() >= MIN_BREAKER_CALLS && 2 * bad >= self.window.len() {
            self.open(now);
        }
    }

    fn open(&mut self, now: f64) {
        self.breaker = BreakerState::Open;
        self.open_until = now + self.pause * self.rng.random_range(0.75..1.25);
        self.window.clear();
    }

    fn keep(&mut self, now: f64, shop: Arc<str>, ms: f64, ahead: Option<f64>) {
        let ms = ms.min(self.settings.keep_ms);
        if ms.is_nan() || ms <= 0.0 {
            return;
        }
        self.forget(now);
        // The entry of a shop that is asked for again is written over; its old age falls due and finds it young.
        if self.ages.len() >= self.settings.keep_most {
            return;
        }
        let until = now + ms;
        self.ages.push_back((until, shop.clone()));
        self.kept.insert(shop, Kept { until, ahead });
    }

    /// Forgets what is past. Ages stand in no strict order, but none is over `keep_ms`.
    fn forget(&mut self, now: f64) {
        while self.ages.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, shop)) = self.ages.pop_front() else { return };
            if self.kept.get(&shop).is_some_and(|kept| kept.until <= now) {
                self.kept.remove(&shop);
            }
        }
    }
}
