//! What one agent does about duties: events with their time in, actions out. Times are ms of the agent's own monotonic
//! clock; draws come from a seed.

use crate::fence::{Lease, LeaseExpiry, Owner};
use crate::registry::{Command, MAX_STEPS_PER_BEAT, Outcome, Refusal, ReleaseReason, State, Step};
use std::collections::{BTreeMap, BTreeSet};

/// Claims that are on their way at once.
const CLAIMS_AT_ONCE: usize = 64;
/// Duties that are handed to others at once, to even things out.
const HANDS_AT_ONCE: usize = 64;
/// A beat may be sent again before the one before is answered: so many are remembered.
const BEATS_MOST: usize = 64;
/// Steps that wait to be told of; the newest of each duty counts.
const STEPS_WAIT: usize = 1024;

/// Times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a session holds after a beat was sent, in ms.
    pub lease_ms: u64,
    /// How far a clock may run off, in thousandths of its speed.
    pub drift_milli: u64,
    /// For models: stands in for a safeguard that is taken out. Always `false` in a program.
    pub disabled_safeguard: DisabledSafeguard,
}

/// A safeguard that is taken out, so that its test can be seen to fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum DisabledSafeguard {
    /// None is.
    #[default]
    NoneDisabled,
    /// A holder counts from the answer, not from when it asked.
    LeaseCountedFromRequest,
    /// Silence is waited for no longer than the lease, whatever clocks do.
    ClockDriftAllowance,
}

/// The least lease, in ms.
pub const MIN_LEASE_MS: u64 = 500;
/// The longest lease, in ms.
pub const MAX_LEASE_MS: u64 = 600_000;
/// The largest allowance for clocks, in thousandths.
pub const MAX_DRIFT_MILLI: u64 = 200;

impl Default for Settings {
    fn default() -> Self {
        Settings { lease_ms: 3000, drift_milli: 60, disabled_safeguard: DisabledSafeguard::NoneDisabled }
    }
}

impl Settings {
    /// Whether they can be acted on.
    ///
    /// # Errors
    /// With the field and its range.
    pub fn check(&self) -> Result<(), String> {
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&self.lease_ms) {
            return Err(format!("lease_ms: {}; {MIN_LEASE_MS} to {MAX_LEASE_MS}", self.lease_ms));
        }
        if self.drift_milli > MAX_DRIFT_MILLI {
            return Err(format!("drift_milli: {}; 0 to {MAX_DRIFT_MILLI}", self.drift_milli));
        }
        Ok(())
    }

    /// How long others wait for a silent session.
    #[must_use]
    pub fn expiry_wait_ms(&self) -> u64 {
        if self.disabled_safeguard == DisabledSafeguard::ClockDriftAllowance {
            return self.lease_ms;
        }
        let d = self.drift_milli;
        (self.lease_ms * (1000 + d)).div_ceil(1000 - d)
    }

    fn beat_ms(&self) -> u64 {
        self.lease_ms / 3
    }

    /// A beat without an answer is sent again after this time.
    fn again_ms(&self) -> u64 {
        (self.lease_ms / 10).max(1)
    }

    /// The next in line for a free duty waits this much longer than the one before.
    fn turn_ms(&self) -> u64 {
        (self.lease_ms / 10).max(1)
    }
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Have the council decide; what comes of it goes to [`DutyController::handle_outcome`].
    Propose(Command),
    /// Begin to do a duty, under this lease.
    Begin(Lease),
    /// End doing it: start no step more, and say when the one in hand is over ([`DutyController::step_stopped`]).
    Stop {
        /// Which.
        duty: String,
        /// Under which epoch.
        epoch: u64,
    },
    /// A line for operators.
    Notify(Notice),
}

/// What operators hear.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Notice {
    /// This agent owns a duty now.
    Acquired {
        /// Which.
        duty: String,
        /// Under which epoch.
        epoch: u64,
    },
    /// It owns it no longer.
    Released {
        /// Which.
        duty: String,
        /// Under which epoch.
        epoch: u64,
        /// Why.
        why: &'static str,
    },
    /// Its session ran out by its own clock: all it owns was stopped.
    SessionExpired {
        /// How many duties.
        duties: usize,
    },
    /// Others have ended its session.
    SessionEnded,
    /// It has had another's session ended.
    PeerExpired(Owner),
    /// A duty was set aside.
    SetAside {
        /// Which.
        duty: String,
        /// What was said last.
        said: String,
    },
}

/// How a duty is to leave this agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Leave {
    To(Owner),
    Free(ReleaseReason),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leaving {
    epoch: u64,
    how: Leave,
    asked: u64,
    stopped: bool,
    sent: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Session {
    None { next: u64 },
    Opening { sent: u64 },
    Open,
}

/// One agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DutyController {
    agent: String,
    zone: String,
    can: Vec<String>,
    settings: Settings,
    nonce: u64,
    lots: u64,
    life: u64,
    session: Session,
    until: LeaseExpiry,
    /// The last beat that was sent, and when those without an answer were.
    number: u64,
    beats: BTreeMap<u64, u64>,
    next_beat: u64,
    held: BTreeMap<String, Lease>,
    leaving: BTreeMap<String, Leaving>,
    /// Others' sessions: the last beat seen, since when, and when its end was last asked for.
    others: BTreeMap<Owner, (u64, u64, Option<u64>)>,
    /// Free duties: at which epoch, since when, how long they are waited for.
    free: BTreeMap<String, (u64, u64, u64)>,
    claims: BTreeMap<String, u64>,
    steps: BTreeMap<String, Step>,
    aside: BTreeSet<String>,
    /// Steps that were in hand when the former process died, until the council knows.
    fell: Vec<(String, u64)>,
    next_even: u64,
    closing: bool,
    shut: bool,
    /// Unix time less this agent's monotonic clock, for people.
    wall: i64,
}

/// A draw from a seed (splitmix64).
fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Where a duty would like to be, by name alone (rendezvous hashing, FNV-1a): the same at every agent.
fn rank(duty: &str, agent: &str) -> u64 {
    let bytes = duty.bytes().chain([0xff]).chain(agent.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mut state = hash;
    draw(&mut state)
}

impl DutyController {
    /// An agent that has no session yet. `nonce` and `seed` are drawn anew with each start.
    #[must_use]
    pub fn new(
        agent: &str,
        zone: &str,
        can: &[String],
        settings: Settings,
        nonce: u64,
        seed: u64,
    ) -> DutyController {
        DutyController {
            agent: agent.to_string(),
            zone: zone.to_string(),
            can: can.to_vec(),
            settings,
            nonce,
            lots: seed,
            life: 0,
            session: Session::None { next: 0 },
            until: LeaseExpiry::default(),
            number: 0,
            beats: BTreeMap::new(),
            next_beat: 0,
            held: BTreeMap::new(),
            leaving: BTreeMap::new(),
            others: BTreeMap::new(),
            free: BTreeMap::new(),
            claims: BTreeMap::new(),
            steps: BTreeMap::new(),
            aside: BTreeSet::new(),
            fell: Vec::new(),
            next_even: 0,
            closing: false,
            shut: false,
            wall: 0,
        }
    }

    /// Tells it Unix time less its monotonic clock, both in ms: for people alone.
    pub fn set_wall_offset_ms(&mut self, wall: i64) {
        self.wall = wall;
    }

    /// These steps, by duty and epoch, were in hand when the process of its former life died.
    pub fn set_interrupted_steps(&mut self, fell: Vec<(String, u64)>) {
        self.fell = fell;
    }

    fn at_ms(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.wall)
    }

    /// Who it is at present.
    #[must_use]
    pub fn owner(&self) -> Owner {
        Owner { agent: self.agent.clone(), life: self.life }
    }

    /// Whether its session holds by its own clock.
    #[must_use]
    pub fn holds_session(&self, now: u64) -> bool {
        self.session == Session::Open && now < self.until.get()
    }

    /// The leases that it has.
    pub fn leases(&self) -> impl Iterator<Item = &Lease> {
        self.held.values()
    }

    /// A copy that shares nothing with this one: models copy whole hosts.
    #[must_use]
    pub fn detached(&self) -> DutyController {
        let mut copy = self.clone();
        copy.until = self.until.detached();
        for (duty, lease) in &mut copy.held {
            *lease = self.held[duty].detached_on(&copy.until);
        }
        copy
    }

    /// The state has changed, or time has passed: called with each change and every few hundredths of a lease.
    pub fn tick(&mut self, now: u64, state: &State) -> Vec<Action> {
        let mut out = Vec::new();
        self.look(now, state, &mut out);
        self.keep_session(now, state, &mut out);
        self.end_silent(now, &mut out);
        self.lapse(now, &mut out);
        if self.holds_session(now) {
            self.take_up(state, &mut out);
            self.part(now, state, &mut out);
            self.go(now, &mut out);
            if !self.closing {
                self.claim(now, state, &mut out);
                self.even(now, state, &mut out);
            }
        }
        out
    }

    /// What became of a proposal; nothing is known of one whose answer was lost.
    pub fn handle_outcome(&mut self, now: u64, command: &Command, outcome: Option<&Outcome>) -> Vec<Action> {
        let mut out = Vec::new();
        let me = self.owner();
        match (command, outcome) {
            (Command::Open { owner, .. }, Some(Outcome::Done)) if *owner == me => self.opened(now),
            (Command::Open { owner, .. }, Some(Outcome::Refused(_)) | None) if *owner == me => {
                if matches!(self.session, Session::Opening { .. }) {
                    let pause = self.settings.again_ms();
                    self.session = Session::None { next: now + pause };
                }
            }
            (Command::Beat { owner, number, .. }, Some(Outcome::Done)) if *owner == me => {
                self.confirmed(now, *number);
            }
            (Command::Beat { owner, steps, .. }, Some(Outcome::Refused(Refusal::Gone))) if *owner == me => {
                for step in steps {
                    self.steps.entry(step.duty.clone()).or_insert_with(|| step.clone());
                }
                self.lost(&mut out);
            }
            (Command::Claim { duty, owner, .. }, _) if *owner == me => {
                self.claims.remove(duty);
                if matches!(outcome, Some(Outcome::Refused(_))) {
                    self.free.remove(duty);
                }
            }
            (Command::Release { duty, owner, .. } | Command::Hand { duty, owner, .. }, outcome)
                if *owner == me =>
            {
                if let Some(leaving) = self.leaving.get_mut(duty) {
                    match outcome {
                        // Handed to one that has just gone: it is given up instead.
                        Some(Outcome::Refused(Refusal::Gone | Refusal::Invalid(_) | Refusal::Stopped)) => {
                            leaving.how = Leave::Free(ReleaseReason::Asked);
                            leaving.sent = None;
                        }
                        None => leaving.sent = None,
                        // The state shows what it has come to.
                        Some(_) => {}
                    }
                }
            }
            (Command::Expire { owner, .. }, Some(Outcome::Done)) => {
                out.push(Action::Notify(Notice::PeerExpired(owner.clone())));
            }
            (Command::Expire { owner, .. }, _) => {
                if let Some(other) = self.others.get_mut(owner) {
                    other.2 = None;
                }
            }
            _ => {}
        }
        out
    }

    /// A step of a duty is done.
    pub fn step_done(&mut self, step: Step) {
        if self.steps.len() < STEPS_WAIT || self.steps.contains_key(&step.duty) {
            self.steps.insert(step.duty.clone(), step);
        }
    }

    /// A step of a duty has crashed: it is given up, and counted against the duty.
    pub fn step_crashed(&mut self, now: u64, duty: &str, epoch: u64, said: &str) -> Vec<Action> {
        let mut out = Vec::new();
        if self.held.get(duty).is_some_and(|l| l.epoch() == epoch) {
            self.steps.remove(duty);
            self.leave(
                now,
                duty,
                Leave::Free(ReleaseReason::Crashed(said.to_string())),
                "its step crashed",
                &mut out,
            );
            if let Some(leaving) = self.leaving.get_mut(duty) {
                leaving.stopped = true;
            }
            self.go(now, &mut out);
        }
        out
    }

    /// A resource refused this agent's epoch and told which stands. If the council still has this agent for the owner, the
    /// resource has seen a number that the council does not know of, as after a restored backup of the council's own
    /// files: numbers are raised above it, and the duty is taken anew.
    pub fn step_fenced(&mut self, now: u64, duty: &str, epoch: u64, stands: u64) -> Vec<Action> {
        let mut out = Vec::new();
        if self.holds_session(now) && self.held.get(duty).is_some_and(|l| l.epoch() == epoch) {
            out.push(Action::Propose(Command::Raise { epoch: stands }));
            self.leave(
                now,
                duty,
                Leave::Free(ReleaseReason::Asked),
                "a resource has seen a higher epoch",
                &mut out,
            );
        }
        out
    }

    /// The step in hand at a stop is over.
    pub fn step_stopped(&mut self, now: u64, duty: &str, epoch: u64) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(leaving) = self.leaving.get_mut(duty).filter(|l| l.epoch == epoch) {
            leaving.stopped = true;
            self.go(now, &mut out);
        }
        out
    }

    /// This agent ends in order: its duties are handed over, and then its session is closed. True once that is so.
    pub fn close(&mut self, now: u64, state: &State) -> (bool, Vec<Action>) {
        self.closing = true;
        if self.session != Session::Open || !state.sessions.contains_key(&self.owner()) {
            return (true, Vec::new());
        }
        let mut out = self.tick(now, state);
        let mut loads = loads(state);
        let names: Vec<String> =
            self.held.keys().filter(|d| !self.leaving.contains_key(*d)).cloned().collect();
        for duty in names {
            let how = match self.heir(&duty, state, &mut loads) {
                Some(heir) => Leave::To(heir),
                None => Leave::Free(ReleaseReason::Asked),
            };
            self.leave(now, &duty, how, "this agent ends", &mut out);
        }
        if self.held.is_empty() && self.leaving.is_empty() {
            // From here on nothing that is handed to it begins: the session may end at any instant.
            self.shut = true;
            self.until.set(0);
            out.push(Action::Propose(Command::Close { owner: self.owner(), at_ms: self.at_ms(now) }));
        }
        (false, out)
    }

    // ---- the session ----

    fn opened(&mut self, now: u64) {
        if let Session::Opening { sent } = self.session {
            self.session = Session::Open;
            self.fell.clear();
            self.count(now, sent);
            self.next_beat = now;
        }
    }

    /// The lease goes on from when the council was asked.
    fn count(&mut self, now: u64, sent: u64) {
        if self.shut {
            return;
        }
        let from = if self.settings.disabled_safeguard == DisabledSafeguard::LeaseCountedFromRequest {
            now
        } else {
            sent
        };
        self.until.set(self.until.get().max(from + self.settings.lease_ms));
    }

    fn confirmed(&mut self, now: u64, number: u64) {
        if self.session != Session::Open {
            return;
        }
        if let Some(sent) = self.beats.get(&number).copied() {
            self.count(now, sent);
            self.beats = self.beats.split_off(&(number + 1));
        }
    }

    /// The council has ended the session: a new life begins.
    fn lost(&mut self, out: &mut Vec<Action>) {
        if self.session != Session::Open {
            return;
        }
        // Its own end in order is no news.
        if !self.shut {
            out.push(Action::Notify(Notice::SessionEnded));
        }
        self.until.set(0);
        self.until = LeaseExpiry::default();
        self.session = Session::None { next: 0 };
        self.stop_all("its session has ended", out);
        self.leaving.clear();
    }

    fn stop_all(&mut self, why: &'static str, out: &mut Vec<Action>) {
        for (duty, lease) in std::mem::take(&mut self.held) {
            lease.end();
            out.push(Action::Stop { duty: duty.clone(), epoch: lease.epoch() });
            out.push(Action::Notify(Notice::Released { duty, epoch: lease.epoch(), why }));
        }
        self.claims.clear();
    }

    /// By its own clock it holds nothing any more. What was on its way to others stays so: it may still arrive there.
    fn lapse(&mut self, now: u64, out: &mut Vec<Action>) {
        if !self.held.is_empty() && now >= self.until.get() {
            out.push(Action::Notify(Notice::SessionExpired { duties: self.held.len() }));
            self.stop_all("its lease ran out", out);
        }
    }

    fn keep_session(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        match self.session {
            Session::None { next } if now >= next && !self.closing => {
                // A life above every one that was.
                self.life = state.lives.get(&self.agent).copied().unwrap_or(0).max(self.life) + 1;
                self.number = 0;
                self.beats.clear();
                self.until = LeaseExpiry::default();
                self.session = Session::Opening { sent: now };
                let (nonce, zone, duties) = (self.nonce, self.zone.clone(), self.can.clone());
                let (fell, at_ms) = (self.fell.clone(), self.at_ms(now));
                out.push(Action::Propose(Command::Open {
                    owner: self.owner(),
                    nonce,
                    zone,
                    duties,
                    fell,
                    at_ms,
                }));
            }
            Session::None { .. } => {}
            Session::Opening { sent } => {
                if state.sessions.get(&me).is_some_and(|s| s.nonce == self.nonce) {
                    self.opened(now);
                } else if now >= sent + self.settings.lease_ms {
                    // Neither answer nor effect: once more, as another life.
                    self.session = Session::None { next: now };
                }
            }
            Session::Open => {
                match state.sessions.get(&me) {
                    Some(session) => self.confirmed(now, session.number),
                    // The state may be behind the answer to the opening; only a later life shows that it has ended.
                    None if state.lives.get(&self.agent).is_some_and(|l| *l >= self.life) => {
                        return self.lost(out);
                    }
                    None => {}
                }
                if now >= self.next_beat {
                    self.beat(now, out);
                }
            }
        }
    }

    fn beat(&mut self, now: u64, out: &mut Vec<Action>) {
        self.number += 1;
        self.beats.insert(self.number, now);
        while self.beats.len() > BEATS_MOST {
            self.beats.pop_first();
        }
        // While one has no answer the next comes soon: leaders change.
        let pause = if self.beats.len() > 1 { self.settings.again_ms() } else { self.settings.beat_ms() };
        self.next_beat = now + pause;
        let mut steps = Vec::new();
        while steps.len() < MAX_STEPS_PER_BEAT
            && let Some((_, step)) = self.steps.pop_first()
        {
            steps.push(step);
        }
        let owner = self.owner();
        out.push(Action::Propose(Command::Beat { owner, number: self.number, steps }));
    }

    // ---- others ----

    /// Takes in what the state says of others and of free duties, with the time at which it was seen.
    fn look(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        self.others.retain(|owner, _| state.sessions.contains_key(owner));
        for (owner, session) in state.sessions.iter().filter(|(o, _)| **o != me) {
            match self.others.get_mut(owner) {
                Some(seen) if seen.0 == session.number => {}
                Some(seen) => *seen = (session.number, now, None),
                None => {
                    self.others.insert(owner.clone(), (session.number, now, None));
                }
            }
        }
        self.free.retain(|d, f| {
            state.duties.get(d).is_some_and(|d| d.owner.is_none() && d.is_runnable() && d.epoch == f.0)
        });
        for (name, duty) in &state.duties {
            match (&duty.aside, self.aside.contains(name)) {
                (Some(said), false) => {
                    self.aside.insert(name.clone());
                    out.push(Action::Notify(Notice::SetAside { duty: name.clone(), said: said.clone() }));
                }
                (None, true) => drop(self.aside.remove(name)),
                _ => {}
            }
        }
    }

    fn end_silent(&mut self, now: u64, out: &mut Vec<Action>) {
        let (silence, turn, at_ms) =
            (self.settings.expiry_wait_ms(), self.settings.turn_ms(), self.at_ms(now));
        for (owner, (number, since, asked)) in &mut self.others {
            // Not all at once: the first to ask does it for all.
            let own = rank(&owner.agent, &self.agent) % turn;
            let due = now >= *since + silence + own;
            if due && asked.is_none_or(|at| now >= at + 4 * turn) {
                *asked = Some(now);
                out.push(Action::Propose(Command::Expire { owner: owner.clone(), number: *number, at_ms }));
            }
        }
    }

    // ---- duties ----

    /// Begins what the council says is this agent's.
    fn take_up(&mut self, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        if !state.sessions.contains_key(&me) {
            return;
        }
        // What is no longer this agent's, as its own release or hand-over has been carried out.
        let left: Vec<String> = self
            .leaving
            .iter()
            .filter(|(name, l)| {
                state.duties.get(*name).is_none_or(|d| d.owner.as_ref() != Some(&me) || d.epoch != l.epoch)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in left {
            self.leaving.remove(&name);
            self.held.remove(&name);
        }
        for (name, duty) in &state.duties {
            if duty.owner.as_ref() != Some(&me) || self.leaving.contains_key(name) {
                continue;
            }
            match self.held.get(name) {
                Some(lease) if lease.epoch() == duty.epoch => {}
                _ => {
                    let lease = Lease::new(name, duty.epoch, me.clone(), self.until.clone());
                    self.claims.remove(name);
                    self.held.insert(name.clone(), lease.clone());
                    out.push(Action::Notify(Notice::Acquired { duty: name.clone(), epoch: duty.epoch }));
                    out.push(Action::Begin(lease));
                }
            }
        }
    }

    fn leave(&mut self, now: u64, duty: &str, how: Leave, why: &'static str, out: &mut Vec<Action>) {
        let Some(lease) = self.held.get(duty) else { return };
        if self.leaving.contains_key(duty) {
            return;
        }
        let epoch = lease.epoch();
        let leaving = Leaving { epoch, how, asked: now, stopped: false, sent: None };
        self.leaving.insert(duty.to_string(), leaving);
        out.push(Action::Stop { duty: duty.to_string(), epoch });
        out.push(Action::Notify(Notice::Released { duty: duty.to_string(), epoch, why }));
    }

    /// What is paused or wanted elsewhere leaves.
    fn part(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let names: Vec<String> =
            self.held.keys().filter(|d| !self.leaving.contains_key(*d)).cloned().collect();
        for name in names {
            let Some(duty) = state.duties.get(&name) else { continue };
            if !duty.is_runnable() {
                self.leave(now, &name, Leave::Free(ReleaseReason::Asked), "it is paused", out);
            } else if let Some(agent) = duty.wanted.as_ref().filter(|a| **a != self.agent)
                && let Some(heir) = latest(state, agent, &name)
            {
                self.leave(now, &name, Leave::To(heir), "an operator moves it", out);
            }
        }
    }

    /// Sends what has stopped on its way; a step that does not end is not waited for longer than a lease.
    fn go(&mut self, now: u64, out: &mut Vec<Action>) {
        let (me, at_ms, lease_ms) = (self.owner(), self.at_ms(now), self.settings.lease_ms);
        for (duty, leaving) in &mut self.leaving {
            let ready = leaving.stopped || now >= leaving.asked + lease_ms;
            if !ready || leaving.sent.is_some_and(|at| now < at + lease_ms) {
                continue;
            }
            // From here on no effect of it begins.
            if let Some(lease) = self.held.get(duty) {
                lease.end();
            }
            leaving.sent = Some(now);
            let (duty, owner, epoch) = (duty.clone(), me.clone(), leaving.epoch);
            out.push(Action::Propose(match leaving.how.clone() {
                Leave::To(to) => Command::Hand { duty, owner, epoch, to, at_ms },
                Leave::Free(why) => Command::Release { duty, owner, epoch, why, at_ms },
            }));
        }
    }

    /// Claims what is free, each agent in its turn.
    fn claim(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        if !state.sessions.contains_key(&me) {
            return;
        }
        let again = self.settings.lease_ms;
        self.claims.retain(|_, at| now < *at + again);
        let mut mine = self.held.len() + self.claims.len();
        let free: Vec<&String> = state
            .duties
            .iter()
            .filter(|(name, d)| d.owner.is_none() && d.is_runnable() && self.can.contains(*name))
            .map(|(name, _)| name)
            .collect();
        if free.is_empty() {
            return;
        }
        let able = state.sessions.len().max(1);
        let share = state.duties.len().div_ceil(able);
        for name in free {
            let duty = &state.duties[name];
            if !self.free.contains_key(name) {
                let wait = self.wait(name, state, mine > share);
                self.free.insert(name.clone(), (duty.epoch, now, wait));
            }
            let (seen, since, wait) = self.free[name];
            if now < since + wait || self.claims.contains_key(name) || self.claims.len() >= CLAIMS_AT_ONCE {
                continue;
            }
            self.claims.insert(name.clone(), now);
            mine += 1;
            let (duty, owner, at_ms) = (name.clone(), me.clone(), self.at_ms(now));
            out.push(Action::Propose(Command::Claim { duty, owner, seen, at_ms }));
        }
    }

    /// How long this agent leaves a free duty to others.
    fn wait(&mut self, name: &str, state: &State, full: bool) -> u64 {
        let duty = &state.duties[name];
        let turn = self.settings.turn_ms();
        let own = rank(name, &self.agent);
        let able = state.sessions.iter().filter(|(o, s)| {
            o.agent != self.agent
                && self.alive(o)
                && s.duties.binary_search_by(|d| d.as_str().cmp(name)).is_ok()
        });
        let before = able.filter(|(o, _)| rank(name, &o.agent) > own).count() as u64;
        let wanted = match &duty.wanted {
            Some(agent) if *agent == self.agent => return 0,
            Some(agent) => u64::from(latest(state, agent, name).is_some()) * 4,
            None => 0,
        };
        let lot = if before + u64::from(full) > 0 { draw(&mut self.lots) % turn } else { 0 };
        // After a failure by lot, and longer with each.
        let crashed = match duty.crashes {
            0 => 0,
            n => {
                (self.settings.lease_ms << (n - 1).min(4)) / 2 + draw(&mut self.lots) % self.settings.lease_ms
            }
        };
        (before.min(8) + wanted + u64::from(full)) * turn + lot + crashed
    }

    /// Whether another's session is heard of.
    fn alive(&self, owner: &Owner) -> bool {
        self.others.get(owner).is_some_and(|(_, _, asked)| asked.is_none())
    }

    fn heir(&self, duty: &str, state: &State, loads: &mut BTreeMap<Owner, usize>) -> Option<Owner> {
        let can = |o: &Owner| {
            state.sessions.get(o).is_some_and(|s| s.duties.iter().any(|d| d == duty)) && self.alive(o)
        };
        let least = loads.iter().filter(|(o, _)| o.agent != self.agent && can(o));
        let heir = least
            .min_by_key(|(o, n)| (**n, std::cmp::Reverse(rank(duty, &o.agent))))
            .map(|(o, _)| o.clone())?;
        *loads.entry(heir.clone()).or_default() += 1;
        Some(heir)
    }

    /// Who has most gives to who has least, a bounded number at a time, while that makes them more alike.
    fn even(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        if now < self.next_even || !self.leaving.is_empty() || !self.claims.is_empty() {
            return;
        }
        self.next_even = now + self.settings.lease_ms / 2;
        if state.duties.values().any(|d| d.owner.is_none() && d.is_runnable()) {
            return;
        }
        let mut loads = loads(state);
        let me = self.owner();
        let most = loads.iter().max_by_key(|(o, n)| (**n, std::cmp::Reverse((*o).clone())));
        if most.is_none_or(|(o, _)| *o != me) {
            return;
        }
        let mut mine = self.held.len();
        let mut held: Vec<String> = self.held.keys().cloned().collect();
        held.sort_by_key(|d| rank(d, &self.agent));
        for duty in held.into_iter().take(HANDS_AT_ONCE) {
            let Some(heir) = self.heir(&duty, state, &mut loads) else { return };
            if loads[&heir] >= mine {
                return;
            }
            mine -= 1;
            self.leave(now, &duty, Leave::To(heir), "others have less", out);
        }
    }
}

/// The latest life of an agent that has a session and can do a duty.
fn latest(state: &State, agent: &str, duty: &str) -> Option<Owner> {
    let can =
        |(o, s): &(&Owner, &crate::registry::Session)| o.agent == agent && s.duties.iter().any(|d| d == duty);
    state.sessions.iter().filter(can).map(|(o, _)| o).max_by_key(|o| o.life).cloned()
}

fn loads(state: &State) -> BTreeMap<Owner, usize> {
    let mut loads: BTreeMap<Owner, usize> = state.sessions.keys().map(|o| (o.clone(), 0)).collect();
    for owner in state.duties.values().filter_map(|d| d.owner.as_ref()) {
        if let Some(n) = loads.get_mut(owner) {
            *n += 1;
        }
    }
    loads
}
