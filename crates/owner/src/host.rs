//! The duty controller of one agent.
//!
//! The controller performs no input or output: the caller passes events with their time and carries out the
//! returned actions. Times are in ms of the agent's own monotonic clock, and random numbers come from a seed,
//! so runs can be replayed. It guarantees that the agent runs a duty only while its session is valid by its
//! own clock.

use crate::fence::{Lease, LeaseExpiry, Owner};
use crate::registry::{Command, MAX_STEPS_PER_BEAT, Outcome, Refusal, ReleaseReason, State, Step};
use std::collections::{BTreeMap, BTreeSet};

/// Claims that may be awaiting their outcome at once.
const MAX_PENDING_CLAIMS: usize = 64;
/// Duties that one round of rebalancing may hand to other agents.
const MAX_HANDOVERS_PER_ROUND: usize = 64;
/// Heartbeats whose send time is kept for a late answer: one may be sent before the previous one is answered.
const MAX_UNANSWERED_HEARTBEATS: usize = 64;
/// Duties with a step that is not reported yet. Only the latest step of each duty is kept.
const MAX_UNREPORTED_STEPS: usize = 1024;

/// Timing of sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Validity of a session after a heartbeat was sent, in ms.
    pub lease_ms: u64,
    /// Largest deviation of a clock's rate from true time, in thousandths.
    pub drift_milli: u64,
    /// Safeguard that a model check has disabled. Always `NoneDisabled` in a program.
    pub disabled_safeguard: DisabledSafeguard,
}

/// A safeguard that a model check disables, to show that the check finds the resulting fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum DisabledSafeguard {
    /// All safeguards are active.
    #[default]
    NoneDisabled,
    /// Counting the lease from the request is disabled: a holder counts from the answer instead.
    LeaseCountedFromRequest,
    /// The allowance for clock drift is disabled: a silent session is expired after the lease alone.
    ClockDriftAllowance,
}

/// Shortest lease, in ms.
pub const MIN_LEASE_MS: u64 = 500;
/// Longest lease, in ms.
pub const MAX_LEASE_MS: u64 = 600_000;
/// Largest allowance for clock drift, in thousandths.
pub const MAX_DRIFT_MILLI: u64 = 200;

impl Default for Settings {
    fn default() -> Self {
        Settings { lease_ms: 3000, drift_milli: 60, disabled_safeguard: DisabledSafeguard::NoneDisabled }
    }
}

impl Settings {
    /// Checks the ranges of the settings.
    ///
    /// # Errors
    /// The name of the first field out of range, its value and its range.
    pub fn check(&self) -> Result<(), String> {
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&self.lease_ms) {
            return Err(format!("lease_ms: {}; {MIN_LEASE_MS} to {MAX_LEASE_MS}", self.lease_ms));
        }
        if self.drift_milli > MAX_DRIFT_MILLI {
            return Err(format!("drift_milli: {}; 0 to {MAX_DRIFT_MILLI}", self.drift_milli));
        }
        Ok(())
    }

    /// How long other agents wait before they expire a silent session, in ms: `lease * (1 + d) / (1 - d)`,
    /// rounded up. See the crate documentation for the derivation.
    #[must_use]
    pub fn expiry_wait_ms(&self) -> u64 {
        if self.disabled_safeguard == DisabledSafeguard::ClockDriftAllowance {
            return self.lease_ms;
        }
        let d = self.drift_milli;
        (self.lease_ms * (1000 + d)).div_ceil(1000 - d)
    }

    /// Interval between heartbeats that are answered, in ms.
    fn heartbeat_interval_ms(&self) -> u64 {
        self.lease_ms / 3
    }

    /// Delay before a proposal without an answer is retried, in ms.
    fn retry_ms(&self) -> u64 {
        (self.lease_ms / 10).max(1)
    }

    /// Additional delay of each next candidate for a free duty, in ms, so that the candidates do not claim at
    /// once.
    fn stagger_ms(&self) -> u64 {
        (self.lease_ms / 10).max(1)
    }
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose the command to the Raft group and pass the outcome to [`DutyController::handle_outcome`].
    Propose(Command),
    /// Begin running a duty under this lease.
    Begin(Lease),
    /// Stop running a duty: start no further step, and call [`DutyController::step_stopped`] when the running
    /// one is over.
    Stop {
        /// The duty.
        duty: String,
        /// Epoch of its lease.
        epoch: u64,
    },
    /// Log a notice for operators.
    Notify(Notice),
}

/// An event that is logged for operators.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Notice {
    /// This agent acquired a duty.
    Acquired {
        /// The duty.
        duty: String,
        /// Epoch of its lease.
        epoch: u64,
    },
    /// This agent stopped running a duty.
    Released {
        /// The duty.
        duty: String,
        /// Epoch of its lease.
        epoch: u64,
        /// Reason, as text for the log.
        why: &'static str,
    },
    /// This agent's session expired by its own clock: all its duties were stopped.
    SessionExpired {
        /// Number of stopped duties.
        duties: usize,
    },
    /// Another agent expired this agent's session.
    SessionEnded,
    /// This agent expired the session of another agent.
    PeerExpired(Owner),
    /// A duty was set aside.
    SetAside {
        /// The duty.
        duty: String,
        /// The recorded cause.
        said: String,
    },
}

/// How a duty is released.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ReleaseKind {
    /// It is handed over to this owner.
    HandOver(Owner),
    /// It is released without a successor, for this reason.
    Free(ReleaseReason),
}

/// A release or hand-over that is not applied yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingRelease {
    epoch: u64,
    kind: ReleaseKind,
    /// When the duty was told to stop.
    requested_ms: u64,
    /// Whether its running step is over.
    is_stopped: bool,
    /// When the release was last proposed.
    sent_ms: Option<u64>,
}

/// State of this agent's own session.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Session {
    /// There is none; an opening is proposed at `retry_at_ms`.
    None { retry_at_ms: u64 },
    /// An opening was proposed at `sent_ms`.
    Opening { sent_ms: u64 },
    /// The opening was applied.
    Open,
}

/// The duty controller of one agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DutyController {
    agent: String,
    zone: String,
    /// Duties that this agent can run.
    supported: Vec<String>,
    settings: Settings,
    nonce: u64,
    /// State of the random number generator.
    rng_state: u64,
    /// Incarnation of the current session, or of the last one.
    life: u64,
    session: Session,
    /// Expiry of the session, shared with its leases.
    expiry: LeaseExpiry,
    /// Number of the last heartbeat sent.
    heartbeat_number: u64,
    /// Send times of the heartbeats without an answer, by number.
    unanswered_heartbeats: BTreeMap<u64, u64>,
    next_heartbeat_ms: u64,
    leases: BTreeMap<String, Lease>,
    pending_releases: BTreeMap<String, PendingRelease>,
    /// Sessions of other agents: the last heartbeat seen, when it was first seen, and when their expiry was
    /// last proposed.
    peer_sessions: BTreeMap<Owner, (u64, u64, Option<u64>)>,
    /// Free duties: their epoch, when they were first seen free, and the delay in ms before this agent claims
    /// them.
    free_duties: BTreeMap<String, (u64, u64, u64)>,
    /// Claims awaiting their outcome, with the time of the proposal.
    pending_claims: BTreeMap<String, u64>,
    /// Steps for the next heartbeats, by duty.
    unreported_steps: BTreeMap<String, Step>,
    /// Duties that are set aside and whose notice was given.
    reported_set_aside: BTreeSet<String>,
    /// Steps that were running when the former process died, kept until an opened session has reported them.
    interrupted_steps: Vec<(String, u64)>,
    next_rebalance_ms: u64,
    /// Whether an orderly shutdown has begun.
    is_closing: bool,
    /// Whether the close of the session was proposed: the lease is never extended afterwards.
    is_closed: bool,
    /// Unix time minus this agent's monotonic clock, in ms, for display.
    wall_offset_ms: i64,
}

/// Next random number of the generator (splitmix64).
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Preference of a duty for an agent, from their names alone (rendezvous hashing with FNV-1a). All agents
/// compute the same value.
fn rendezvous_rank(duty: &str, agent: &str) -> u64 {
    let bytes = duty.bytes().chain([0xff]).chain(agent.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mut state = hash;
    next_random(&mut state)
}

impl DutyController {
    /// A controller without a session. `supported` lists the duties that the agent can run. `nonce` and
    /// `seed` have to be drawn anew at each process start.
    #[must_use]
    pub fn new(
        agent: &str,
        zone: &str,
        supported: &[String],
        settings: Settings,
        nonce: u64,
        seed: u64,
    ) -> DutyController {
        DutyController {
            agent: agent.to_string(),
            zone: zone.to_string(),
            supported: supported.to_vec(),
            settings,
            nonce,
            rng_state: seed,
            life: 0,
            session: Session::None { retry_at_ms: 0 },
            expiry: LeaseExpiry::default(),
            heartbeat_number: 0,
            unanswered_heartbeats: BTreeMap::new(),
            next_heartbeat_ms: 0,
            leases: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            peer_sessions: BTreeMap::new(),
            free_duties: BTreeMap::new(),
            pending_claims: BTreeMap::new(),
            unreported_steps: BTreeMap::new(),
            reported_set_aside: BTreeSet::new(),
            interrupted_steps: Vec::new(),
            next_rebalance_ms: 0,
            is_closing: false,
            is_closed: false,
            wall_offset_ms: 0,
        }
    }

    /// Sets Unix time minus the monotonic clock, in ms. It is used only for the displayed times of proposals.
    pub fn set_wall_offset_ms(&mut self, wall_offset_ms: i64) {
        self.wall_offset_ms = wall_offset_ms;
    }

    /// Sets the steps, as duty and epoch, that were running when the process of the former incarnation died.
    /// They are reported when the session is opened.
    pub fn set_interrupted_steps(&mut self, steps: Vec<(String, u64)>) {
        self.interrupted_steps = steps;
    }

    /// Unix time in ms for display.
    fn unix_ms(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.wall_offset_ms)
    }

    /// This agent with its current incarnation.
    #[must_use]
    pub fn owner(&self) -> Owner {
        Owner { agent: self.agent.clone(), life: self.life }
    }

    /// Whether the session is valid at `now`, by this agent's clock.
    #[must_use]
    pub fn holds_session(&self, now: u64) -> bool {
        self.session == Session::Open && now < self.expiry.get()
    }

    /// The leases of this agent. Each one may have expired or been released already: [`Lease::fence`] checks
    /// that.
    pub fn leases(&self) -> impl Iterator<Item = &Lease> {
        self.leases.values()
    }

    /// A copy that shares no state with this controller, for model checks that copy whole controllers.
    #[must_use]
    pub fn detached(&self) -> DutyController {
        let mut copy = self.clone();
        copy.expiry = self.expiry.detached();
        for (duty, lease) in &mut copy.leases {
            *lease = self.leases[duty].detached_on(&copy.expiry);
        }
        copy
    }

    /// Reacts to a changed state or to elapsed time. Call it after each change of the state, and at intervals
    /// of a few hundredths of a lease.
    pub fn tick(&mut self, now: u64, state: &State) -> Vec<Action> {
        let mut out = Vec::new();
        self.observe_state(now, state, &mut out);
        self.maintain_session(now, state, &mut out);
        self.expire_silent_sessions(now, &mut out);
        self.stop_if_expired(now, &mut out);
        if self.holds_session(now) {
            self.begin_owned_duties(state, &mut out);
            self.release_paused_or_moved(now, state, &mut out);
            self.propose_ready_releases(now, &mut out);
            if !self.is_closing {
                self.claim_free_duties(now, state, &mut out);
                self.rebalance(now, state, &mut out);
            }
        }
        out
    }

    /// Handles the outcome of a proposal; `None` if its answer was lost and it may or may not have been
    /// applied.
    pub fn handle_outcome(&mut self, now: u64, command: &Command, outcome: Option<&Outcome>) -> Vec<Action> {
        let mut out = Vec::new();
        let me = self.owner();
        match (command, outcome) {
            (Command::Open { owner, .. }, Some(Outcome::Done)) if *owner == me => self.session_opened(now),
            (Command::Open { owner, .. }, Some(Outcome::Refused(_)) | None) if *owner == me => {
                if matches!(self.session, Session::Opening { .. }) {
                    let pause = self.settings.retry_ms();
                    self.session = Session::None { retry_at_ms: now + pause };
                }
            }
            (Command::Beat { owner, number, .. }, Some(Outcome::Done)) if *owner == me => {
                self.heartbeat_confirmed(now, *number);
            }
            (Command::Beat { owner, steps, .. }, Some(Outcome::Refused(Refusal::Gone))) if *owner == me => {
                for step in steps {
                    self.unreported_steps.entry(step.duty.clone()).or_insert_with(|| step.clone());
                }
                self.session_lost(&mut out);
            }
            (Command::Claim { duty, owner, .. }, _) if *owner == me => {
                self.pending_claims.remove(duty);
                if matches!(outcome, Some(Outcome::Refused(_))) {
                    self.free_duties.remove(duty);
                }
            }
            (Command::Release { duty, owner, .. } | Command::Hand { duty, owner, .. }, outcome)
                if *owner == me =>
            {
                if let Some(pending) = self.pending_releases.get_mut(duty) {
                    match outcome {
                        // The successor's session has just ended, or it cannot take the duty: release it
                        // instead.
                        Some(Outcome::Refused(Refusal::Gone | Refusal::Invalid(_) | Refusal::Stopped)) => {
                            pending.kind = ReleaseKind::Free(ReleaseReason::Asked);
                            pending.sent_ms = None;
                        }
                        None => pending.sent_ms = None,
                        // The next tick reads the result from the state.
                        Some(_) => {}
                    }
                }
            }
            (Command::Expire { owner, .. }, Some(Outcome::Done)) => {
                out.push(Action::Notify(Notice::PeerExpired(owner.clone())));
            }
            (Command::Expire { owner, .. }, _) => {
                if let Some(peer) = self.peer_sessions.get_mut(owner) {
                    peer.2 = None;
                }
            }
            _ => {}
        }
        out
    }

    /// Records a completed step for the next heartbeat.
    pub fn step_done(&mut self, step: Step) {
        if self.unreported_steps.len() < MAX_UNREPORTED_STEPS
            || self.unreported_steps.contains_key(&step.duty)
        {
            self.unreported_steps.insert(step.duty.clone(), step);
        }
    }

    /// Handles a crashed step: the duty is released and the crash counted.
    pub fn step_crashed(&mut self, now: u64, duty: &str, epoch: u64, message: &str) -> Vec<Action> {
        let mut out = Vec::new();
        if self.leases.get(duty).is_some_and(|l| l.epoch() == epoch) {
            self.unreported_steps.remove(duty);
            self.begin_release(
                now,
                duty,
                ReleaseKind::Free(ReleaseReason::Crashed(message.to_string())),
                "a step crashed",
                &mut out,
            );
            if let Some(pending) = self.pending_releases.get_mut(duty) {
                pending.is_stopped = true;
            }
            self.propose_ready_releases(now, &mut out);
        }
        out
    }

    /// Handles a refusal of this agent's epoch by a resource that has seen the epoch `stands`. If the Raft
    /// group still has this agent as the owner, the resource has seen an epoch that the group does not know,
    /// for example after the group's own files were restored from a backup. Later epochs are then raised
    /// above it, and the duty is released so that it is claimed under a new epoch.
    pub fn step_fenced(&mut self, now: u64, duty: &str, epoch: u64, stands: u64) -> Vec<Action> {
        let mut out = Vec::new();
        if self.holds_session(now) && self.leases.get(duty).is_some_and(|l| l.epoch() == epoch) {
            out.push(Action::Propose(Command::Raise { epoch: stands }));
            self.begin_release(
                now,
                duty,
                ReleaseKind::Free(ReleaseReason::Asked),
                "a resource has seen a higher epoch",
                &mut out,
            );
        }
        out
    }

    /// Handles the end of the step that was running when the duty was told to stop.
    pub fn step_stopped(&mut self, now: u64, duty: &str, epoch: u64) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(pending) = self.pending_releases.get_mut(duty).filter(|l| l.epoch == epoch) {
            pending.is_stopped = true;
            self.propose_ready_releases(now, &mut out);
        }
        out
    }

    /// Shuts this agent down in order: hands its duties over and then closes its session. Call it until the
    /// first value is true: the session has ended.
    pub fn close(&mut self, now: u64, state: &State) -> (bool, Vec<Action>) {
        self.is_closing = true;
        if self.session != Session::Open || !state.sessions.contains_key(&self.owner()) {
            return (true, Vec::new());
        }
        let mut out = self.tick(now, state);
        let mut loads = owned_duty_counts(state);
        let names: Vec<String> =
            self.leases.keys().filter(|d| !self.pending_releases.contains_key(*d)).cloned().collect();
        for duty in names {
            let kind = match self.choose_successor(&duty, state, &mut loads) {
                Some(successor) => ReleaseKind::HandOver(successor),
                None => ReleaseKind::Free(ReleaseReason::Asked),
            };
            self.begin_release(now, &duty, kind, "this agent shuts down", &mut out);
        }
        if self.leases.is_empty() && self.pending_releases.is_empty() {
            // No duty that is handed to this agent may begin from here on, since the session can end at any
            // moment.
            self.is_closed = true;
            self.expiry.set(0);
            out.push(Action::Propose(Command::Close { owner: self.owner(), at_ms: self.unix_ms(now) }));
        }
        (false, out)
    }

    // ---- the session ----

    /// Marks the session as open and begins its lease at the time of the proposal.
    fn session_opened(&mut self, now: u64) {
        if let Session::Opening { sent_ms } = self.session {
            self.session = Session::Open;
            self.interrupted_steps.clear();
            self.extend_lease(now, sent_ms);
            self.next_heartbeat_ms = now;
        }
    }

    /// Extends the lease from the time at which the renewal was proposed, not from that of its answer.
    fn extend_lease(&mut self, now: u64, sent_ms: u64) {
        if self.is_closed {
            return;
        }
        let from = if self.settings.disabled_safeguard == DisabledSafeguard::LeaseCountedFromRequest {
            now
        } else {
            sent_ms
        };
        self.expiry.set(self.expiry.get().max(from + self.settings.lease_ms));
    }

    /// Extends the lease from the send time of a heartbeat that was applied.
    fn heartbeat_confirmed(&mut self, now: u64, number: u64) {
        if self.session != Session::Open {
            return;
        }
        if let Some(sent_ms) = self.unanswered_heartbeats.get(&number).copied() {
            self.extend_lease(now, sent_ms);
            self.unanswered_heartbeats = self.unanswered_heartbeats.split_off(&(number + 1));
        }
    }

    /// Handles the end of the session: all duties stop, and a new incarnation opens a session.
    fn session_lost(&mut self, out: &mut Vec<Action>) {
        if self.session != Session::Open {
            return;
        }
        // An orderly shutdown of this agent gives no notice.
        if !self.is_closed {
            out.push(Action::Notify(Notice::SessionEnded));
        }
        self.expiry.set(0);
        self.expiry = LeaseExpiry::default();
        self.session = Session::None { retry_at_ms: 0 };
        self.stop_all("the session has ended", out);
        self.pending_releases.clear();
    }

    /// Stops all duties at once.
    fn stop_all(&mut self, why: &'static str, out: &mut Vec<Action>) {
        for (duty, lease) in std::mem::take(&mut self.leases) {
            lease.release();
            out.push(Action::Stop { duty: duty.clone(), epoch: lease.epoch() });
            out.push(Action::Notify(Notice::Released { duty, epoch: lease.epoch(), why }));
        }
        self.pending_claims.clear();
    }

    /// Stops all duties once the session has expired by this agent's clock. Pending releases and hand-overs
    /// are kept, as they may still be applied.
    fn stop_if_expired(&mut self, now: u64, out: &mut Vec<Action>) {
        if !self.leases.is_empty() && now >= self.expiry.get() {
            out.push(Action::Notify(Notice::SessionExpired { duties: self.leases.len() }));
            self.stop_all("the lease has expired", out);
        }
    }

    /// Opens the session, retries the opening, detects that the session has ended, and sends heartbeats.
    fn maintain_session(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        match self.session {
            Session::None { retry_at_ms } if now >= retry_at_ms && !self.is_closing => {
                // The incarnation has to be above every earlier one of this agent.
                self.life = state.lives.get(&self.agent).copied().unwrap_or(0).max(self.life) + 1;
                self.heartbeat_number = 0;
                self.unanswered_heartbeats.clear();
                self.expiry = LeaseExpiry::default();
                self.session = Session::Opening { sent_ms: now };
                let (nonce, zone, duties) = (self.nonce, self.zone.clone(), self.supported.clone());
                let (fell, at_ms) = (self.interrupted_steps.clone(), self.unix_ms(now));
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
            Session::Opening { sent_ms } => {
                if state.sessions.get(&me).is_some_and(|s| s.nonce == self.nonce) {
                    self.session_opened(now);
                } else if now >= sent_ms + self.settings.lease_ms {
                    // Neither an answer nor an effect was seen: try again as another incarnation.
                    self.session = Session::None { retry_at_ms: now };
                }
            }
            Session::Open => {
                match state.sessions.get(&me) {
                    Some(session) => self.heartbeat_confirmed(now, session.number),
                    // The observed state may be older than the answer to the opening. Only a state that
                    // records this incarnation, or a later one, without its session shows that the session
                    // has ended.
                    None if state.lives.get(&self.agent).is_some_and(|l| *l >= self.life) => {
                        return self.session_lost(out);
                    }
                    None => {}
                }
                if now >= self.next_heartbeat_ms {
                    self.send_heartbeat(now, out);
                }
            }
        }
    }

    /// Sends a heartbeat with the steps that are not reported yet.
    fn send_heartbeat(&mut self, now: u64, out: &mut Vec<Action>) {
        self.heartbeat_number += 1;
        self.unanswered_heartbeats.insert(self.heartbeat_number, now);
        while self.unanswered_heartbeats.len() > MAX_UNANSWERED_HEARTBEATS {
            self.unanswered_heartbeats.pop_first();
        }
        // While a heartbeat is unanswered the next one follows sooner, as the Raft leader may have changed.
        let pause = if self.unanswered_heartbeats.len() > 1 {
            self.settings.retry_ms()
        } else {
            self.settings.heartbeat_interval_ms()
        };
        self.next_heartbeat_ms = now + pause;
        let mut steps = Vec::new();
        while steps.len() < MAX_STEPS_PER_BEAT
            && let Some((_, step)) = self.unreported_steps.pop_first()
        {
            steps.push(step);
        }
        let owner = self.owner();
        out.push(Action::Propose(Command::Beat { owner, number: self.heartbeat_number, steps }));
    }

    // ---- other agents ----

    /// Records the sessions of other agents and drops duties that are no longer free, with the time of
    /// observation, and gives notice of duties that were set aside.
    fn observe_state(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        self.peer_sessions.retain(|owner, _| state.sessions.contains_key(owner));
        for (owner, session) in state.sessions.iter().filter(|(o, _)| **o != me) {
            match self.peer_sessions.get_mut(owner) {
                Some(seen) if seen.0 == session.number => {}
                Some(seen) => *seen = (session.number, now, None),
                None => {
                    self.peer_sessions.insert(owner.clone(), (session.number, now, None));
                }
            }
        }
        self.free_duties.retain(|d, f| {
            state.duties.get(d).is_some_and(|d| d.owner.is_none() && d.is_runnable() && d.epoch == f.0)
        });
        for (name, duty) in &state.duties {
            match (&duty.aside, self.reported_set_aside.contains(name)) {
                (Some(said), false) => {
                    self.reported_set_aside.insert(name.clone());
                    out.push(Action::Notify(Notice::SetAside { duty: name.clone(), said: said.clone() }));
                }
                (None, true) => drop(self.reported_set_aside.remove(name)),
                _ => {}
            }
        }
    }

    /// Proposes to expire sessions of other agents that were silent for long enough.
    fn expire_silent_sessions(&mut self, now: u64, out: &mut Vec<Action>) {
        let (expiry_wait_ms, stagger_ms, at_ms) =
            (self.settings.expiry_wait_ms(), self.settings.stagger_ms(), self.unix_ms(now));
        for (owner, (number, since, asked)) in &mut self.peer_sessions {
            // The agents are staggered, as one proposal is enough.
            let offset_ms = rendezvous_rank(&owner.agent, &self.agent) % stagger_ms;
            let is_due = now >= *since + expiry_wait_ms + offset_ms;
            if is_due && asked.is_none_or(|at| now >= at + 4 * stagger_ms) {
                *asked = Some(now);
                out.push(Action::Propose(Command::Expire { owner: owner.clone(), number: *number, at_ms }));
            }
        }
    }

    // ---- duties ----

    /// Begins the duties that this agent owns according to the state.
    fn begin_owned_duties(&mut self, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        if !state.sessions.contains_key(&me) {
            return;
        }
        // Duties that this agent no longer owns because its release or hand-over was applied.
        let completed: Vec<String> = self
            .pending_releases
            .iter()
            .filter(|(name, l)| {
                state.duties.get(*name).is_none_or(|d| d.owner.as_ref() != Some(&me) || d.epoch != l.epoch)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in completed {
            self.pending_releases.remove(&name);
            self.leases.remove(&name);
        }
        for (name, duty) in &state.duties {
            if duty.owner.as_ref() != Some(&me) || self.pending_releases.contains_key(name) {
                continue;
            }
            match self.leases.get(name) {
                Some(lease) if lease.epoch() == duty.epoch => {}
                _ => {
                    let lease = Lease::new(name, duty.epoch, me.clone(), self.expiry.clone());
                    self.pending_claims.remove(name);
                    self.leases.insert(name.clone(), lease.clone());
                    out.push(Action::Notify(Notice::Acquired { duty: name.clone(), epoch: duty.epoch }));
                    out.push(Action::Begin(lease));
                }
            }
        }
    }

    /// Stops a duty; it is released or handed over once its running step is over.
    fn begin_release(
        &mut self,
        now: u64,
        duty: &str,
        kind: ReleaseKind,
        why: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get(duty) else { return };
        if self.pending_releases.contains_key(duty) {
            return;
        }
        let epoch = lease.epoch();
        let pending = PendingRelease { epoch, kind, requested_ms: now, is_stopped: false, sent_ms: None };
        self.pending_releases.insert(duty.to_string(), pending);
        out.push(Action::Stop { duty: duty.to_string(), epoch });
        out.push(Action::Notify(Notice::Released { duty: duty.to_string(), epoch, why }));
    }

    /// Releases duties that are paused or set aside, and hands over those that an operator moved to another
    /// agent.
    fn release_paused_or_moved(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let names: Vec<String> =
            self.leases.keys().filter(|d| !self.pending_releases.contains_key(*d)).cloned().collect();
        for name in names {
            let Some(duty) = state.duties.get(&name) else { continue };
            if !duty.is_runnable() {
                self.begin_release(
                    now,
                    &name,
                    ReleaseKind::Free(ReleaseReason::Asked),
                    "the duty is paused or set aside",
                    out,
                );
            } else if let Some(agent) = duty.wanted.as_ref().filter(|a| **a != self.agent)
                && let Some(successor) = latest_session_owner(state, agent, &name)
            {
                self.begin_release(
                    now,
                    &name,
                    ReleaseKind::HandOver(successor),
                    "an operator moved it to another agent",
                    out,
                );
            }
        }
    }

    /// Proposes the releases and hand-overs of duties that have stopped. A step that does not end is waited
    /// for no longer than a lease.
    fn propose_ready_releases(&mut self, now: u64, out: &mut Vec<Action>) {
        let (me, at_ms, lease_ms) = (self.owner(), self.unix_ms(now), self.settings.lease_ms);
        for (duty, pending) in &mut self.pending_releases {
            let is_ready = pending.is_stopped || now >= pending.requested_ms + lease_ms;
            if !is_ready || pending.sent_ms.is_some_and(|at| now < at + lease_ms) {
                continue;
            }
            // No effect of the duty may begin from here on.
            if let Some(lease) = self.leases.get(duty) {
                lease.release();
            }
            pending.sent_ms = Some(now);
            let (duty, owner, epoch) = (duty.clone(), me.clone(), pending.epoch);
            out.push(Action::Propose(match pending.kind.clone() {
                ReleaseKind::HandOver(to) => Command::Hand { duty, owner, epoch, to, at_ms },
                ReleaseKind::Free(why) => Command::Release { duty, owner, epoch, why, at_ms },
            }));
        }
    }

    /// Claims free duties once this agent's claim delay has passed.
    fn claim_free_duties(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        let me = self.owner();
        if !state.sessions.contains_key(&me) {
            return;
        }
        let retry_ms = self.settings.lease_ms;
        self.pending_claims.retain(|_, at| now < *at + retry_ms);
        let mut owned = self.leases.len() + self.pending_claims.len();
        let free: Vec<&String> = state
            .duties
            .iter()
            .filter(|(name, d)| d.owner.is_none() && d.is_runnable() && self.supported.contains(*name))
            .map(|(name, _)| name)
            .collect();
        if free.is_empty() {
            return;
        }
        let agents = state.sessions.len().max(1);
        let share = state.duties.len().div_ceil(agents);
        for name in free {
            let duty = &state.duties[name];
            if !self.free_duties.contains_key(name) {
                let wait = self.claim_delay_ms(name, state, owned > share);
                self.free_duties.insert(name.clone(), (duty.epoch, now, wait));
            }
            let (seen, since, wait) = self.free_duties[name];
            if now < since + wait
                || self.pending_claims.contains_key(name)
                || self.pending_claims.len() >= MAX_PENDING_CLAIMS
            {
                continue;
            }
            self.pending_claims.insert(name.clone(), now);
            owned += 1;
            let (duty, owner, at_ms) = (name.clone(), me.clone(), self.unix_ms(now));
            out.push(Action::Propose(Command::Claim { duty, owner, seen, at_ms }));
        }
    }

    /// How long this agent leaves a free duty to other agents, in ms. Agents that the duty prefers claim
    /// first, and an agent that already has its share waits longer.
    fn claim_delay_ms(&mut self, name: &str, state: &State, has_full_share: bool) -> u64 {
        let duty = &state.duties[name];
        let stagger_ms = self.settings.stagger_ms();
        let own_rank = rendezvous_rank(name, &self.agent);
        let able_peers = state.sessions.iter().filter(|(o, s)| {
            o.agent != self.agent
                && self.is_responsive(o)
                && s.duties.binary_search_by(|d| d.as_str().cmp(name)).is_ok()
        });
        let ranked_before =
            able_peers.filter(|(o, _)| rendezvous_rank(name, &o.agent) > own_rank).count() as u64;
        let reserved_turns = match &duty.wanted {
            Some(agent) if *agent == self.agent => return 0,
            Some(agent) => u64::from(latest_session_owner(state, agent, name).is_some()) * 4,
            None => 0,
        };
        let jitter_ms = if ranked_before + u64::from(has_full_share) > 0 {
            next_random(&mut self.rng_state) % stagger_ms
        } else {
            0
        };
        // After a crash the delay is random and grows with each further crash.
        let crash_delay_ms = match duty.crashes {
            0 => 0,
            n => {
                (self.settings.lease_ms << (n - 1).min(4)) / 2
                    + next_random(&mut self.rng_state) % self.settings.lease_ms
            }
        };
        (ranked_before.min(8) + reserved_turns + u64::from(has_full_share)) * stagger_ms
            + jitter_ms
            + crash_delay_ms
    }

    /// Whether another agent's session is known and its expiry is not proposed.
    fn is_responsive(&self, owner: &Owner) -> bool {
        self.peer_sessions.get(owner).is_some_and(|(_, _, asked)| asked.is_none())
    }

    /// The responsive agent with the fewest duties that can run the duty, or `None`; `loads` counts the
    /// choice.
    fn choose_successor(
        &self,
        duty: &str,
        state: &State,
        loads: &mut BTreeMap<Owner, usize>,
    ) -> Option<Owner> {
        let is_candidate = |o: &Owner| {
            state.sessions.get(o).is_some_and(|s| s.duties.iter().any(|d| d == duty)) && self.is_responsive(o)
        };
        let candidates = loads.iter().filter(|(o, _)| o.agent != self.agent && is_candidate(o));
        let successor = candidates
            .min_by_key(|(o, n)| (**n, std::cmp::Reverse(rendezvous_rank(duty, &o.agent))))
            .map(|(o, _)| o.clone())?;
        *loads.entry(successor.clone()).or_default() += 1;
        Some(successor)
    }

    /// Hands duties from the agent that owns the most to those that own the fewest, as long as that evens out
    /// the counts. The number per round is bounded.
    fn rebalance(&mut self, now: u64, state: &State, out: &mut Vec<Action>) {
        if now < self.next_rebalance_ms
            || !self.pending_releases.is_empty()
            || !self.pending_claims.is_empty()
        {
            return;
        }
        self.next_rebalance_ms = now + self.settings.lease_ms / 2;
        if state.duties.values().any(|d| d.owner.is_none() && d.is_runnable()) {
            return;
        }
        let mut loads = owned_duty_counts(state);
        let me = self.owner();
        let busiest = loads.iter().max_by_key(|(o, n)| (**n, std::cmp::Reverse((*o).clone())));
        if busiest.is_none_or(|(o, _)| *o != me) {
            return;
        }
        let mut owned = self.leases.len();
        let mut candidates: Vec<String> = self.leases.keys().cloned().collect();
        candidates.sort_by_key(|d| rendezvous_rank(d, &self.agent));
        for duty in candidates.into_iter().take(MAX_HANDOVERS_PER_ROUND) {
            let Some(successor) = self.choose_successor(&duty, state, &mut loads) else { return };
            if loads[&successor] >= owned {
                return;
            }
            owned -= 1;
            self.begin_release(
                now,
                &duty,
                ReleaseKind::HandOver(successor),
                "rebalanced: another agent owns fewer duties",
                out,
            );
        }
    }
}

/// The latest incarnation of an agent that has a session and can run the duty.
fn latest_session_owner(state: &State, agent: &str, duty: &str) -> Option<Owner> {
    let is_candidate =
        |(o, s): &(&Owner, &crate::registry::Session)| o.agent == agent && s.duties.iter().any(|d| d == duty);
    state.sessions.iter().filter(is_candidate).map(|(o, _)| o).max_by_key(|o| o.life).cloned()
}

/// Number of owned duties of each open session.
fn owned_duty_counts(state: &State) -> BTreeMap<Owner, usize> {
    let mut loads: BTreeMap<Owner, usize> = state.sessions.keys().map(|o| (o.clone(), 0)).collect();
    for owner in state.duties.values().filter_map(|d| d.owner.as_ref()) {
        if let Some(n) = loads.get_mut(owner) {
            *n += 1;
        }
    }
    loads
}
