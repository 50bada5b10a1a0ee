//! The replicated state machine of duty ownership: sessions, duties, owners and epochs.
//!
//! Each member of the Raft group applies the same commands in the same order and reaches the same state, so
//! nothing here reads a clock or draws a random number. The wall-clock times in commands and state come from
//! the proposers and are for display only: no decision depends on them.

use crate::fence::Owner;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Sessions that may be open at once, over all agents.
pub const MAX_AGENTS: usize = 256;
/// Sessions that one agent may have at once: the session of a former process stays until the others have
/// expired it.
pub const MAX_LIVES: usize = 8;
/// Duties that may be registered.
pub const MAX_DUTIES: usize = 10_000;
/// Entries of the ownership history, over all duties. The oldest entry is dropped first.
pub const MAX_HISTORY: usize = 2_000;
/// Largest body of a decision, in bytes.
pub const MAX_DECISION_BYTES: usize = 64 * 1024;
/// Largest body of an operator override, in bytes.
pub const MAX_OVERRIDE_BYTES: usize = 1024;
/// Operator overrides that one duty may have at once.
pub const MAX_OVERRIDES: usize = 256;
/// Longest name of an agent, a zone or a duty, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest reason, operator name or override key, in bytes.
pub const MAX_REASON_BYTES: usize = 256;
/// Owners lost in a row, with no completed step reported in between, after which a duty is set aside.
pub const MAX_CRASHES: u32 = 3;
/// Steps that are taken from one heartbeat, and interrupted steps from one opening of a session.
pub const MAX_STEPS_PER_BEAT: usize = 64;

/// Position of the recovery count within an epoch: the bits above it count recoveries, the bits below it
/// count grants. After a recovery every epoch is therefore higher than any that a permanently lost member may
/// have granted.
pub const RECOVERY_SHIFT: u32 = 40;

/// A proposal to the Raft group. Commands are stored in the Raft log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a new incarnation of an agent.
    Open {
        /// The agent and its incarnation.
        owner: Owner,
        /// Random number of the process. It tells apart two processes that use the same agent name, so that
        /// neither takes the other's answer for its own.
        nonce: u64,
        /// Zone of the agent, for display.
        zone: String,
        /// Duties that the agent can run. Those not yet known are registered.
        duties: Vec<String>,
        /// Steps that were running when the process of the former incarnation died, as duty and epoch.
        #[serde(default)]
        fell: Vec<(String, u64)>,
        /// Time of the proposal, Unix time in ms, for display.
        #[serde(default)]
        at_ms: u64,
    },
    /// Heartbeat of a session.
    Beat {
        /// Owner of the session.
        owner: Owner,
        /// Heartbeat number, starting at 1.
        number: u64,
        /// Steps completed since the previous heartbeat.
        steps: Vec<Step>,
    },
    /// Ends a session that sent no heartbeat for long enough. It is a compare-and-swap on the heartbeat
    /// number.
    Expire {
        /// Owner of the session.
        owner: Owner,
        /// Last heartbeat that the proposer saw. The command is refused if a later one was applied.
        number: u64,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Closes a session at an orderly shutdown.
    Close {
        /// Owner of the session.
        owner: Owner,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Claims a free duty.
    Claim {
        /// The duty.
        duty: String,
        /// The claimant.
        owner: Owner,
        /// Epoch at which the claimant saw the duty free. The claim is refused if the epoch has changed.
        seen: u64,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Releases a duty without naming a successor.
    Release {
        /// The duty.
        duty: String,
        /// The current owner.
        owner: Owner,
        /// Epoch under which the owner holds the duty.
        epoch: u64,
        /// Reason of the release.
        why: ReleaseReason,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Hands a duty over to another agent. The owner has already stopped running it.
    Hand {
        /// The duty.
        duty: String,
        /// The current owner.
        owner: Owner,
        /// Epoch under which the owner holds the duty.
        epoch: u64,
        /// The next owner.
        to: Owner,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Operator request to move a duty to another agent.
    Move {
        /// The duty.
        duty: String,
        /// Name of the target agent.
        to: String,
        /// Operator who made the request.
        by: String,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Operator request to pause a duty.
    Pause {
        /// The duty.
        duty: String,
        /// Operator who made the request.
        by: String,
        /// Reason of the request.
        why: String,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Operator request to resume a duty that was paused or set aside.
    Resume {
        /// The duty.
        duty: String,
        /// Operator who made the request.
        by: String,
        /// Reason of the request.
        why: String,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Records a decision of a duty's owner that applies to the whole fleet.
    Decide {
        /// The duty.
        duty: String,
        /// The current owner.
        owner: Owner,
        /// Epoch under which the owner holds the duty.
        epoch: u64,
        /// Version of the decision that this one is based on. The new decision gets the next version.
        seen: u64,
        /// The decision, in the format of the duty.
        body: String,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Sets an operator override that a duty takes into account. An earlier one with the same key is
    /// replaced.
    Intend {
        /// The duty.
        duty: String,
        /// Subject of the override.
        key: String,
        /// The override.
        intent: OperatorOverride,
    },
    /// Removes an operator override.
    Withdraw {
        /// The duty.
        duty: String,
        /// Subject of the override.
        key: String,
        /// Operator who made the request.
        by: String,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
    /// Raises the last granted epoch to one that a resource has seen, so that every later grant is above it.
    Raise {
        /// The epoch that the resource has seen.
        epoch: u64,
    },
    /// Manual recovery after permanent loss of the majority: one member continues alone.
    Recover {
        /// Operator who made the request.
        by: String,
        /// Time of the proposal, Unix time in ms, for display.
        at_ms: u64,
    },
}

/// Why an owner released a duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The release was requested, or the owner chose to release it. It is not counted as a crash.
    Asked,
    /// A step failed or crashed, with its error message.
    Crashed(String),
}

/// Report of the last completed step of a duty, or of one that failed while its owner kept running.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// The duty.
    pub duty: String,
    /// Epoch under which the step ran.
    pub epoch: u64,
    /// Number of steps in this epoch, this one included.
    pub count: u64,
    /// End of the step, Unix time in ms, for display.
    pub at_ms: u64,
    /// Due time of the next step, Unix time in ms, for display.
    pub next_ms: u64,
    /// Short summary of what the step did.
    pub note: String,
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The duty is owned under this epoch.
    Granted(u64),
    /// The decision was recorded under this version.
    Decided(u64),
    /// The command was refused, for this reason.
    Refused(Refusal),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The session does not exist, or has ended.
    Gone,
    /// The incarnation is not above the highest known one of this agent.
    OldLife {
        /// The highest known incarnation.
        stands: u64,
    },
    /// The state has changed since the proposer read it: a heartbeat was applied in between, or the owner,
    /// the epoch or the version is another one.
    Changed,
    /// The duty is paused or set aside.
    Stopped,
    /// The duty, agent or override does not exist.
    Unknown(String),
    /// A field is out of its allowed range.
    Invalid(String),
    /// A size limit is reached.
    Full(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Gone => f.write_str("the session has ended"),
            Refusal::OldLife { stands } => {
                write!(f, "this agent has begun life {stands} already")
            }
            Refusal::Changed => f.write_str("it was changed meanwhile; look again"),
            Refusal::Stopped => f.write_str("it is paused or set aside"),
            Refusal::Unknown(what) => write!(f, "there is no {what}"),
            Refusal::Invalid(what) | Refusal::Full(what) => f.write_str(what),
        }
    }
}

/// The open session of one incarnation of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Random number of the process that opened the session.
    pub nonce: u64,
    /// Zone of the agent.
    pub zone: String,
    /// Duties that the agent can run, sorted and without duplicates.
    pub duties: Vec<String>,
    /// Number of the last heartbeat.
    pub number: u64,
}

/// A leader-elected task and its current owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Last granted epoch of this duty, or 0 before the first grant.
    pub epoch: u64,
    /// Current owner, if any.
    pub owner: Option<Owner>,
    /// Time of the last grant, Unix time in ms by the proposer's clock.
    pub since_ms: u64,
    /// Agent that an operator wants to own the duty. Cleared when that agent is granted the duty.
    pub wanted: Option<String>,
    /// Set while the duty is paused: the operator and the reason.
    pub paused: Option<(String, String)>,
    /// Set while the duty is set aside after losing too many owners: the cause.
    pub aside: Option<String>,
    /// Crashed steps since the last completed step was reported.
    pub crashes: u32,
    /// Agents whose session expired while they owned the duty and before they reported a step. An agent is
    /// removed when it opens a session again.
    #[serde(default)]
    pub silent: BTreeSet<String>,
    /// The last reported step.
    pub step: Option<Step>,
}

impl Duty {
    /// Whether the duty may have an owner: it is neither paused nor set aside.
    #[must_use]
    pub fn is_runnable(&self) -> bool {
        self.paused.is_none() && self.aside.is_none()
    }
}

/// An entry of the ownership history. Operator requests and decisions are entered too.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnershipChange {
    /// The duty; empty for a recovery.
    pub duty: String,
    /// Epoch of the duty at the change.
    pub epoch: u64,
    /// The agent or operator concerned.
    pub who: String,
    /// Description of the change.
    pub what: String,
    /// Time of the change, Unix time in ms by the proposer's clock.
    pub at_ms: u64,
}

/// The decision of a duty that is currently in effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StandingDecision {
    /// Version of the decision. It only grows.
    pub version: u64,
    /// Epoch under which the decision was made.
    pub epoch: u64,
    /// Owner of that epoch, as `agent#life`.
    pub owner: String,
    /// Time of the decision, Unix time in ms by the owner's clock, for display.
    pub at_ms: u64,
    /// The decision, in the format of the duty.
    pub body: String,
}

/// An operator override that a duty takes into account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperatorOverride {
    /// The override, in the format of the duty.
    pub body: String,
    /// Operator who set the override.
    pub by: String,
    /// Reason of the override.
    pub why: String,
    /// End of the override, Unix time in ms: a wall-clock time given by the operator.
    pub until_ms: u64,
    /// Time at which the override was set, Unix time in ms.
    pub at_ms: u64,
}

/// The whole replicated state. It is stored in snapshots.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// Number of manual recoveries in which one member continued alone.
    pub recoveries: u64,
    /// Last granted epoch, over all duties.
    pub epoch: u64,
    /// Open sessions by owner.
    #[serde(with = "as_pairs")]
    pub sessions: BTreeMap<Owner, Session>,
    /// Highest known incarnation of each agent.
    pub lives: BTreeMap<String, u64>,
    /// Duties by name.
    pub duties: BTreeMap<String, Duty>,
    /// Ownership history, oldest first, at most [`MAX_HISTORY`] entries.
    pub history: VecDeque<OwnershipChange>,
    /// Current decision of each duty.
    #[serde(default)]
    pub decisions: BTreeMap<String, StandingDecision>,
    /// Operator overrides by duty and key.
    #[serde(default)]
    pub intents: BTreeMap<String, BTreeMap<String, OperatorOverride>>,
}

/// Serializes a map as a list of pairs, for formats such as JSON whose map keys have to be strings.
mod as_pairs {
    use super::{BTreeMap, Owner, Session};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(map: &BTreeMap<Owner, Session>, to: S) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeMap<Owner, Session>, D::Error> {
        Ok(Vec::<(Owner, Session)>::deserialize(from)?.into_iter().collect())
    }
}

/// Whether the text is a valid name of an agent, a zone or a duty: 1 to [`MAX_NAME_BYTES`] ASCII letters,
/// digits, dots, dashes or underscores.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
}

/// Refuses a text that is not a valid name.
fn check_name(field: &str, text: &str) -> Result<(), Refusal> {
    if is_name(text) {
        return Ok(());
    }
    Err(Refusal::Invalid(format!(
        "{field}: 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores"
    )))
}

/// Refuses a text that is empty, longer than [`MAX_REASON_BYTES`] or contains control characters.
fn check_text(field: &str, text: &str) -> Result<(), Refusal> {
    if text.is_empty() || text.len() > MAX_REASON_BYTES || text.chars().any(char::is_control) {
        return Err(Refusal::Invalid(format!("{field}: 1 to {MAX_REASON_BYTES} bytes that can be printed")));
    }
    Ok(())
}

/// Removes control characters and truncates the text to 80 characters, so that what is stored stays small.
fn truncate_text(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(80).collect()
}

impl State {
    /// Applies a command. The result depends on the state and the command alone.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.try_apply(command).unwrap_or_else(Outcome::Refused)
    }

    fn try_apply(&mut self, command: &Command) -> Result<Outcome, Refusal> {
        match command {
            Command::Open { owner, nonce, zone, duties, fell, at_ms } => {
                if self.open_session(owner, *nonce, zone, duties)? {
                    self.record_agent_return(owner, fell, *at_ms);
                }
            }
            Command::Beat { owner, number, steps } => self.record_heartbeat(owner, *number, steps)?,
            Command::Expire { owner, number, at_ms } => {
                let session = self.sessions.get(owner).ok_or(Refusal::Gone)?;
                if session.number != *number {
                    return Err(Refusal::Changed);
                }
                self.end_session(owner, "its session was silent", *at_ms, true);
            }
            Command::Close { owner, at_ms } => {
                self.sessions.get(owner).ok_or(Refusal::Gone)?;
                self.end_session(owner, "ended in order", *at_ms, false);
            }
            Command::Claim { duty, owner, seen, at_ms } => {
                self.sessions.get(owner).ok_or(Refusal::Gone)?;
                let found = self.duty_mut(duty)?;
                if found.epoch != *seen || found.owner.is_some() {
                    return Err(Refusal::Changed);
                }
                return self.grant(duty, owner, "claimed", *at_ms);
            }
            Command::Release { duty, owner, epoch, why, at_ms } => {
                self.release(duty, owner, *epoch, why, *at_ms)?
            }
            Command::Hand { duty, owner, epoch, to, at_ms } => {
                self.owned_duty_mut(duty, owner, *epoch)?;
                self.sessions.get(to).ok_or(Refusal::Gone)?;
                return self.grant(duty, to, "was handed it", *at_ms);
            }
            Command::Move { duty, to, by, at_ms } => {
                check_text("by", by)?;
                if !self.sessions.keys().any(|o| o.agent == *to) {
                    return Err(Refusal::Unknown(format!("agent {to} with a session")));
                }
                let found = self.duty_mut(duty)?;
                found.wanted = Some(to.clone());
                let epoch = found.epoch;
                self.record_change(duty, epoch, to, &format!("is where {by} wants it"), *at_ms);
            }
            Command::Pause { duty, by, why, at_ms } => {
                check_text("by", by)?;
                check_text("why", why)?;
                let found = self.duty_mut(duty)?;
                found.paused = Some((by.clone(), why.clone()));
                let epoch = found.epoch;
                self.record_change(duty, epoch, by, &format!("paused it: {why}"), *at_ms);
            }
            Command::Resume { duty, by, why, at_ms } => {
                check_text("by", by)?;
                check_text("why", why)?;
                let found = self.duty_mut(duty)?;
                (found.paused, found.aside, found.crashes) = (None, None, 0);
                found.silent.clear();
                let epoch = found.epoch;
                self.record_change(duty, epoch, by, &format!("let it go on: {why}"), *at_ms);
            }
            Command::Decide { duty, owner, epoch, seen, body, at_ms } => {
                return self.decide(duty, owner, (*epoch, *seen), body, *at_ms);
            }
            Command::Intend { duty, key, intent } => {
                check_text("by", &intent.by)?;
                check_text("why", &intent.why)?;
                check_text("key", key)?;
                if intent.body.len() > MAX_OVERRIDE_BYTES {
                    return Err(Refusal::Invalid(format!("body: {MAX_OVERRIDE_BYTES} bytes at the most")));
                }
                let epoch = self.duty_mut(duty)?.epoch;
                let intents = self.intents.entry(duty.clone()).or_default();
                if intents.len() >= MAX_OVERRIDES && !intents.contains_key(key) {
                    return Err(Refusal::Full(format!("intents: {MAX_OVERRIDES} of one duty at the most")));
                }
                intents.insert(key.clone(), intent.clone());
                self.record_change(
                    duty,
                    epoch,
                    &intent.by,
                    &format!("intends {key}: {}", intent.why),
                    intent.at_ms,
                );
            }
            Command::Withdraw { duty, key, by, at_ms } => {
                check_text("by", by)?;
                let epoch = self.duty_mut(duty)?.epoch;
                let removed = self.intents.get_mut(duty).and_then(|all| all.remove(key));
                if removed.is_none() {
                    return Err(Refusal::Unknown(format!("intent about {}", truncate_text(key))));
                }
                self.record_change(duty, epoch, by, &format!("no longer intends {key}"), *at_ms);
            }
            Command::Raise { epoch } => {
                // An epoch of a recovery that was not made here cannot have been granted by this group. If it
                // were adopted, no room would be left below it: the next recovery would set a lower epoch.
                if epoch >> RECOVERY_SHIFT > self.recoveries {
                    return Err(Refusal::Invalid(format!("epoch: {epoch}; of a recovery that was not made")));
                }
                self.epoch = self.epoch.max(*epoch);
            }
            Command::Recover { by, at_ms } => {
                check_text("by", by)?;
                self.recoveries += 1;
                self.epoch = self.recoveries << RECOVERY_SHIFT;
                // Sessions are kept: their agents may still be running elsewhere, so each one has to expire
                // as usual.
                self.record_change("", self.epoch, by, "had one member go on alone", *at_ms);
            }
        }
        Ok(Outcome::Done)
    }

    /// Records a decision if its author still owns the duty under the given epoch and the current version is
    /// the one that the decision is based on.
    fn decide(
        &mut self,
        duty: &str,
        owner: &Owner,
        (epoch, seen): (u64, u64),
        body: &str,
        at_ms: u64,
    ) -> Result<Outcome, Refusal> {
        self.owned_duty_mut(duty, owner, epoch)?;
        if body.len() > MAX_DECISION_BYTES {
            return Err(Refusal::Invalid(format!("body: {MAX_DECISION_BYTES} bytes at the most")));
        }
        let current = self.decisions.entry(duty.to_string()).or_default();
        if current.version != seen {
            return Err(Refusal::Changed);
        }
        let version = seen + 1;
        let owner = owner.to_string();
        *current = StandingDecision { version, epoch, owner: owner.clone(), at_ms, body: body.to_string() };
        self.record_change(duty, epoch, &owner, &format!("decided version {version}"), at_ms);
        Ok(Outcome::Decided(version))
    }

    fn duty_mut(&mut self, duty: &str) -> Result<&mut Duty, Refusal> {
        self.duties.get_mut(duty).ok_or_else(|| Refusal::Unknown(format!("duty {}", truncate_text(duty))))
    }

    /// The duty, if the owner holds it under this epoch.
    fn owned_duty_mut(&mut self, duty: &str, owner: &Owner, epoch: u64) -> Result<&mut Duty, Refusal> {
        let found = self.duty_mut(duty)?;
        if found.epoch != epoch || found.owner.as_ref() != Some(owner) {
            return Err(Refusal::Changed);
        }
        Ok(found)
    }

    /// Appends to the ownership history, dropping the oldest entry when it is full.
    fn record_change(&mut self, duty: &str, epoch: u64, who: &str, what: &str, at_ms: u64) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        let (duty, who, what) = (duty.to_string(), who.to_string(), what.to_string());
        self.history.push_back(OwnershipChange { duty, epoch, who, what, at_ms });
    }

    /// Opens a session and returns whether it is new: the command is retried when its answer was lost.
    fn open_session(
        &mut self,
        owner: &Owner,
        nonce: u64,
        zone: &str,
        duties: &[String],
    ) -> Result<bool, Refusal> {
        check_name("agent", &owner.agent)?;
        check_name("zone", zone)?;
        duties.iter().try_for_each(|d| check_name("duty", d))?;
        let stands = self.lives.get(&owner.agent).copied().unwrap_or(0);
        if self.sessions.get(owner).is_some_and(|s| s.nonce == nonce) {
            return Ok(false);
        }
        if owner.life <= stands {
            return Err(Refusal::OldLife { stands });
        }
        let open_sessions = self.sessions.keys().filter(|o| o.agent == owner.agent).count();
        if self.sessions.len() >= MAX_AGENTS || open_sessions >= MAX_LIVES {
            return Err(Refusal::Full(format!(
                "sessions: {MAX_AGENTS} at the most, {MAX_LIVES} of one agent"
            )));
        }
        let new_duties = duties.iter().filter(|d| !self.duties.contains_key(*d)).count();
        if self.duties.len() + new_duties > MAX_DUTIES {
            return Err(Refusal::Full(format!("duties: {MAX_DUTIES} at the most")));
        }
        for duty in duties {
            self.duties.entry(duty.clone()).or_default();
        }
        self.lives.insert(owner.agent.clone(), owner.life);
        let mut duties = duties.to_vec();
        duties.sort();
        duties.dedup();
        self.sessions.insert(owner.clone(), Session { nonce, zone: zone.to_string(), duties, number: 0 });
        Ok(true)
    }

    /// Records a heartbeat and its steps. Steps of duties that the owner no longer holds are ignored.
    fn record_heartbeat(&mut self, owner: &Owner, number: u64, steps: &[Step]) -> Result<(), Refusal> {
        let session = self.sessions.get_mut(owner).ok_or(Refusal::Gone)?;
        session.number = session.number.max(number);
        for step in steps.iter().take(MAX_STEPS_PER_BEAT) {
            if let Ok(duty) = self.owned_duty_mut(&step.duty, owner, step.epoch) {
                duty.crashes = 0;
                duty.silent.clear();
                duty.step = Some(Step { note: truncate_text(&step.note), ..step.clone() });
            }
        }
        Ok(())
    }

    /// Ends a session and frees its duties. `is_silent` tells an expired session from one closed in order.
    fn end_session(&mut self, owner: &Owner, what: &str, at_ms: u64, is_silent: bool) {
        self.sessions.remove(owner);
        let owned: Vec<String> = self
            .duties
            .iter()
            .filter(|(_, d)| d.owner.as_ref() == Some(owner))
            .map(|(n, _)| n.clone())
            .collect();
        for duty in owned {
            let epoch = self.duties.get_mut(&duty).map_or(0, |found| {
                found.owner = None;
                found.epoch
            });
            self.record_change(&duty, epoch, &owner.to_string(), what, at_ms);
            if is_silent {
                self.record_silent_owner(&duty, owner, at_ms);
            }
        }
    }

    /// Records that the session of the duty's owner expired before it reported a step. Whether the duty was
    /// the cause is known only when the agent returns; an agent that does not return counts against the duty.
    fn record_silent_owner(&mut self, duty: &str, owner: &Owner, at_ms: u64) {
        let has_returned = self.sessions.keys().any(|o| o.agent == owner.agent);
        let Some(found) = self.duties.get_mut(duty) else { return };
        if has_returned || found.step.as_ref().is_some_and(|s| s.epoch == found.epoch) {
            return;
        }
        found.silent.insert(owner.agent.clone());
        self.set_aside_if_failing(duty, "its owners went silent and did not come back", at_ms);
    }

    /// Clears the records of silence of an agent that opened a session again, and counts a crash for each
    /// step in which its former process died. Where no step was interrupted, the process was stopped or cut
    /// off, and the duty was not the cause.
    fn record_agent_return(&mut self, owner: &Owner, interrupted: &[(String, u64)], at_ms: u64) {
        for duty in self.duties.values_mut() {
            duty.silent.remove(&owner.agent);
        }
        for (duty, epoch) in interrupted.iter().take(MAX_STEPS_PER_BEAT) {
            let Some(found) = self.duties.get_mut(duty) else { continue };
            // A step completed under this epoch or a later one shows that the duty can run.
            if found.step.as_ref().is_some_and(|s| s.epoch >= *epoch) || *epoch > found.epoch {
                continue;
            }
            found.crashes += 1;
            self.record_change(duty, *epoch, &owner.to_string(), "its process died in a step", at_ms);
            self.set_aside_if_failing(duty, "its owners died in a step of it", at_ms);
        }
    }

    /// Sets the duty aside once it has lost [`MAX_CRASHES`] owners.
    fn set_aside_if_failing(&mut self, duty: &str, cause: &str, at_ms: u64) {
        let Some(found) = self.duties.get_mut(duty) else { return };
        // The maximum instead of the sum: a silent agent may still return, so it is not added to the known
        // crashes.
        let lost_owners = found.crashes.max(u32::try_from(found.silent.len()).unwrap_or(u32::MAX));
        if lost_owners < MAX_CRASHES || found.aside.is_some() {
            return;
        }
        found.aside = Some(truncate_text(cause));
        let epoch = found.epoch;
        let what = format!(
            "it is set aside: {lost_owners} owners were lost without a step: {}",
            truncate_text(cause)
        );
        self.record_change(duty, epoch, "", &what, at_ms);
    }

    /// Frees a duty, and counts the crash if that is the reason.
    fn release(
        &mut self,
        duty: &str,
        owner: &Owner,
        epoch: u64,
        why: &ReleaseReason,
        at_ms: u64,
    ) -> Result<(), Refusal> {
        self.owned_duty_mut(duty, owner, epoch)?.owner = None;
        match why {
            ReleaseReason::Asked => self.record_change(duty, epoch, &owner.to_string(), "gave it up", at_ms),
            ReleaseReason::Crashed(cause) => {
                self.record_change(
                    duty,
                    epoch,
                    &owner.to_string(),
                    &format!("crashed: {}", truncate_text(cause)),
                    at_ms,
                );
                // A crashed step counts even when the owner completed steps before it.
                if let Some(found) = self.duties.get_mut(duty) {
                    found.step = None;
                    found.crashes += 1;
                }
                self.set_aside_if_failing(duty, cause, at_ms);
            }
        }
        Ok(())
    }

    /// Grants a duty under the next epoch to an agent that can run it.
    fn grant(&mut self, duty: &str, to: &Owner, what: &str, at_ms: u64) -> Result<Outcome, Refusal> {
        let can_run = self.sessions.get(to).is_some_and(|s| s.duties.iter().any(|d| d == duty));
        if !can_run {
            return Err(Refusal::Invalid(format!("agent: {} can't do {duty}", to.agent)));
        }
        let epoch = self.epoch + 1;
        let found = self.duty_mut(duty)?;
        if !found.is_runnable() {
            return Err(Refusal::Stopped);
        }
        found.epoch = epoch;
        found.owner = Some(to.clone());
        found.since_ms = at_ms;
        // An operator's move request ends once it is met: from then on rebalancing may move the duty.
        if found.wanted.as_ref() == Some(&to.agent) {
            found.wanted = None;
        }
        self.epoch = epoch;
        self.record_change(duty, epoch, &to.to_string(), what, at_ms);
        Ok(Outcome::Granted(epoch))
    }

    /// Number of duties that the owner holds.
    #[must_use]
    pub fn owned_duties(&self, owner: &Owner) -> usize {
        self.duties.values().filter(|d| d.owner.as_ref() == Some(owner)).count()
    }

    /// History entries of one duty, oldest first.
    pub fn history_of<'a>(&'a self, duty: &'a str) -> impl Iterator<Item = &'a OwnershipChange> {
        self.history.iter().filter(move |c| c.duty == duty)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn owner(agent: &str, life: u64) -> Owner {
        Owner { agent: agent.into(), life }
    }

    fn open_after_crash(state: &mut State, owner: Owner, fell: Vec<(String, u64)>) -> Outcome {
        let (zone, duties) = ("a".into(), vec!["gaps".into()]);
        state.apply(&Command::Open { owner, nonce: 1, zone, duties, fell, at_ms: 0 })
    }

    fn open(state: &mut State, agent: &str, life: u64) -> Outcome {
        open_after_crash(state, owner(agent, life), vec![])
    }

    fn claim(state: &mut State, agent: &str, life: u64, seen: u64) -> Outcome {
        state.apply(&Command::Claim { duty: "gaps".into(), owner: owner(agent, life), seen, at_ms: 0 })
    }

    #[test]
    fn epoch_is_granted_once_over_expiries_recoveries_and_raises() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        open(&mut state, "b", 1);
        assert_eq!(claim(&mut state, "a", 1, 0), Outcome::Granted(1));
        assert_eq!(claim(&mut state, "b", 1, 1), Outcome::Refused(Refusal::Changed), "the duty has an owner");
        let expire = |number| Command::Expire { owner: owner("a", 1), number, at_ms: 0 };
        state.apply(&Command::Beat { owner: owner("a", 1), number: 4, steps: vec![] });
        assert_eq!(
            state.apply(&expire(3)),
            Outcome::Refused(Refusal::Changed),
            "a heartbeat was applied in between"
        );
        assert_eq!(state.apply(&expire(4)), Outcome::Done);
        assert_eq!(claim(&mut state, "b", 1, 1), Outcome::Granted(2));
        state.apply(&Command::Raise { epoch: 50 });
        state.apply(&Command::Raise { epoch: 20 });
        let release = Command::Release {
            duty: "gaps".into(),
            owner: owner("b", 1),
            epoch: 2,
            why: ReleaseReason::Asked,
            at_ms: 0,
        };
        assert_eq!(state.apply(&release), Outcome::Done);
        assert_eq!(claim(&mut state, "b", 1, 2), Outcome::Granted(51));
        state.apply(&Command::Recover { by: "ana".into(), at_ms: 0 });
        let hand = Command::Hand {
            duty: "gaps".into(),
            owner: owner("b", 1),
            epoch: 51,
            to: owner("b", 1),
            at_ms: 0,
        };
        assert_eq!(state.apply(&hand), Outcome::Granted((1 << RECOVERY_SHIFT) + 1));
        let unmade_recovery = Command::Raise { epoch: 2 << RECOVERY_SHIFT };
        assert!(matches!(state.apply(&unmade_recovery), Outcome::Refused(Refusal::Invalid(_))));
    }

    #[test]
    fn open_is_refused_with_the_highest_incarnation_when_it_is_not_new() {
        let mut state = State::default();
        assert_eq!(open(&mut state, "a", 7), Outcome::Done);
        assert_eq!(open(&mut state, "a", 7), Outcome::Done, "the same command retried");
        let (twin, zone) = (owner("a", 7), "a".to_string());
        let twin = Command::Open { owner: twin, nonce: 2, zone, duties: vec![], fell: vec![], at_ms: 0 };
        assert_eq!(
            state.apply(&twin),
            Outcome::Refused(Refusal::OldLife { stands: 7 }),
            "another process of the same name"
        );
        assert_eq!(open(&mut state, "a", 6), Outcome::Refused(Refusal::OldLife { stands: 7 }));
        state.apply(&Command::Close { owner: owner("a", 7), at_ms: 0 });
        assert_eq!(open(&mut state, "a", 7), Outcome::Refused(Refusal::OldLife { stands: 7 }));
        assert_eq!(open(&mut state, "a", 8), Outcome::Done);
    }

    #[test]
    fn duty_is_set_aside_after_three_crashes_and_runs_again_after_resume() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        for round in 0..MAX_CRASHES {
            let seen = state.duties["gaps"].epoch;
            let Outcome::Granted(epoch) = claim(&mut state, "a", 1, seen) else { panic!("round {round}") };
            let why = ReleaseReason::Crashed("index out of range".into());
            state.apply(&Command::Release {
                duty: "gaps".into(),
                owner: owner("a", 1),
                epoch,
                why,
                at_ms: 0,
            });
        }
        assert!(state.duties["gaps"].aside.is_some());
        let seen = state.duties["gaps"].epoch;
        assert_eq!(claim(&mut state, "a", 1, seen), Outcome::Refused(Refusal::Stopped));
        let (by, why) = ("ana".to_string(), "mended".to_string());
        state.apply(&Command::Resume { duty: "gaps".into(), by, why, at_ms: 0 });
        assert!(matches!(claim(&mut state, "a", 1, seen), Outcome::Granted(_)));
    }

    #[test]
    fn silent_owners_do_not_count_when_they_reported_a_step() {
        let mut state = State::default();
        for life in 1..=6 {
            open(&mut state, "a", life);
            let seen = state.duties.get("gaps").map_or(0, |d| d.epoch);
            let Outcome::Granted(epoch) = claim(&mut state, "a", life, seen) else { panic!("life {life}") };
            let step =
                Step { duty: "gaps".into(), epoch, count: 1, at_ms: 0, next_ms: 0, note: String::new() };
            state.apply(&Command::Beat { owner: owner("a", life), number: 1, steps: vec![step] });
            state.apply(&Command::Expire { owner: owner("a", life), number: 1, at_ms: 0 });
        }
        assert_eq!(state.duties["gaps"].crashes, 0);
        assert!(state.duties["gaps"].is_runnable());
    }

    /// Seeds 4010 and 4015 of the fault schedules: agents are killed or cut off from the others before the
    /// first step of the duty that they own, and all of them return. The duty must not be set aside.
    #[test]
    fn silent_owners_do_not_count_when_they_return() {
        let mut state = State::default();
        for (round, agent) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
            let life = 100 * (round as u64 + 1);
            open(&mut state, agent, life);
            let seen = state.duties["gaps"].epoch;
            assert!(matches!(claim(&mut state, agent, life, seen), Outcome::Granted(_)), "round {round}");
            state.apply(&Command::Expire { owner: owner(agent, life), number: 0, at_ms: 0 });
            assert_eq!(state.duties["gaps"].silent.len(), 1, "recorded until the agent returns");
            open(&mut state, agent, life + 10);
            assert_eq!(state.duties["gaps"].silent.len(), 0);
        }
        // An agent that returns before the session of its former incarnation has expired.
        open(&mut state, "f", 1);
        let seen = state.duties["gaps"].epoch;
        claim(&mut state, "f", 1, seen);
        open(&mut state, "f", 2);
        state.apply(&Command::Expire { owner: owner("f", 1), number: 0, at_ms: 0 });
        assert!(state.duties["gaps"].silent.is_empty() && state.duties["gaps"].is_runnable());
    }

    #[test]
    fn duty_is_set_aside_when_owners_die_in_a_step_or_never_return() {
        let mut state = State::default();
        for (life, agent) in [(1, "a"), (2, "b"), (3, "c")] {
            assert!(state.duties.get("gaps").is_none_or(Duty::is_runnable));
            open(&mut state, agent, life);
            let Outcome::Granted(epoch) = claim(&mut state, agent, life, life - 1) else { panic!("{agent}") };
            state.apply(&Command::Expire { owner: owner(agent, life), number: 0, at_ms: 0 });
            open_after_crash(
                &mut state,
                owner(agent, life + 10),
                vec![("gaps".into(), epoch), ("none".into(), 1)],
            );
        }
        assert!(state.duties["gaps"].aside.as_ref().is_some_and(|why| why.contains("died in a step")));

        let mut state = State::default();
        for (life, agent) in [(1, "a"), (2, "b"), (3, "c")] {
            open(&mut state, agent, life);
            claim(&mut state, agent, life, life - 1);
            state.apply(&Command::Expire { owner: owner(agent, life), number: 0, at_ms: 0 });
        }
        assert!(state.duties["gaps"].aside.as_ref().is_some_and(|why| why.contains("did not come back")));
    }

    #[test]
    fn late_crash_report_is_ignored_when_a_later_owner_completed_a_step() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        claim(&mut state, "a", 1, 0);
        state.apply(&Command::Expire { owner: owner("a", 1), number: 0, at_ms: 0 });
        open(&mut state, "b", 1);
        claim(&mut state, "b", 1, 1);
        let step =
            Step { duty: "gaps".into(), epoch: 2, count: 1, at_ms: 0, next_ms: 0, note: String::new() };
        state.apply(&Command::Beat { owner: owner("b", 1), number: 1, steps: vec![step] });
        open_after_crash(&mut state, owner("a", 2), vec![("gaps".into(), 1), ("gaps".into(), 9)]);
        assert_eq!(state.duties["gaps"].crashes, 0);
    }

    #[test]
    fn decision_is_refused_when_owner_epoch_or_base_version_is_stale() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        open(&mut state, "b", 1);
        claim(&mut state, "a", 1, 0);
        let decide = |who: &str, epoch: u64, seen: u64, body: &str| Command::Decide {
            duty: "gaps".into(),
            owner: owner(who, 1),
            epoch,
            seen,
            body: body.into(),
            at_ms: 7,
        };
        assert_eq!(state.apply(&decide("a", 1, 0, "x")), Outcome::Decided(1));
        assert_eq!(state.apply(&decide("a", 1, 0, "y")), Outcome::Refused(Refusal::Changed), "sent twice");
        assert_eq!(state.apply(&decide("b", 1, 1, "y")), Outcome::Refused(Refusal::Changed), "not its owner");
        state.apply(&Command::Expire { owner: owner("a", 1), number: 0, at_ms: 0 });
        claim(&mut state, "b", 1, 1);
        assert_eq!(
            state.apply(&decide("a", 1, 1, "late")),
            Outcome::Refused(Refusal::Changed),
            "a former owner"
        );
        assert_eq!(state.apply(&decide("b", 2, 1, "z")), Outcome::Decided(2));
        let too_long = "z".repeat(MAX_DECISION_BYTES + 1);
        assert!(matches!(state.apply(&decide("b", 2, 2, &too_long)), Outcome::Refused(Refusal::Invalid(_))));
        let current = &state.decisions["gaps"];
        assert_eq!((current.version, current.epoch, current.body.as_str()), (2, 2, "z"));
    }

    #[test]
    fn overrides_are_bounded_replaced_by_key_and_withdrawn_by_key() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        let intend = |key: &str, why: &str| Command::Intend {
            duty: "gaps".into(),
            key: key.into(),
            intent: OperatorOverride { by: "ana".into(), why: why.into(), ..OperatorOverride::default() },
        };
        assert_eq!(state.apply(&intend("room-a", "work")), Outcome::Done);
        assert_eq!(state.apply(&intend("room-a", "more work")), Outcome::Done);
        assert_eq!(state.intents["gaps"]["room-a"].why, "more work");
        assert!(matches!(state.apply(&intend("room-b", "")), Outcome::Refused(Refusal::Invalid(_))));
        let withdraw = |key: &str| Command::Withdraw {
            duty: "gaps".into(),
            key: key.into(),
            by: "ana".into(),
            at_ms: 0,
        };
        assert!(matches!(state.apply(&withdraw("room-b")), Outcome::Refused(Refusal::Unknown(_))));
        assert_eq!(state.apply(&withdraw("room-a")), Outcome::Done);
        for k in 0..2 * MAX_OVERRIDES {
            state.apply(&intend(&format!("z{k}"), "x"));
        }
        assert_eq!(state.intents["gaps"].len(), MAX_OVERRIDES);
    }

    #[test]
    fn invalid_commands_are_refused_and_change_nothing() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        let before = state.clone();
        let too_long = "x".repeat(MAX_NAME_BYTES + 1);
        let invalid = [
            Command::Open {
                owner: owner("", 9),
                nonce: 1,
                zone: "a".into(),
                duties: vec![],
                fell: vec![],
                at_ms: 0,
            },
            Command::Open {
                owner: owner(&too_long, 9),
                nonce: 1,
                zone: "a".into(),
                duties: vec![],
                fell: vec![],
                at_ms: 0,
            },
            Command::Open {
                owner: owner("b", 9),
                nonce: 1,
                zone: "a b".into(),
                duties: vec![],
                fell: vec![],
                at_ms: 0,
            },
            Command::Open {
                owner: owner("b", 9),
                nonce: 1,
                zone: "a".into(),
                duties: vec!["\n".into()],
                fell: vec![],
                at_ms: 0,
            },
            Command::Pause { duty: "gaps".into(), by: "ana".into(), why: String::new(), at_ms: 0 },
            Command::Pause { duty: "none".into(), by: "ana".into(), why: "x".into(), at_ms: 0 },
            Command::Move { duty: "gaps".into(), to: "z".into(), by: "ana".into(), at_ms: 0 },
            Command::Claim { duty: "gaps".into(), owner: owner("z", 1), seen: 0, at_ms: 0 },
            Command::Beat { owner: owner("z", 1), number: 1, steps: vec![] },
            Command::Recover { by: String::new(), at_ms: 0 },
        ];
        for command in invalid {
            assert!(matches!(state.apply(&command), Outcome::Refused(_)), "{command:?}");
            assert_eq!(state, before, "{command:?}");
        }
    }

    #[test]
    fn history_and_sessions_are_bounded() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        for k in 0..2 * MAX_HISTORY {
            let (by, why, at_ms) = ("ana".into(), "x".into(), k as u64);
            state.apply(&Command::Pause { duty: "gaps".into(), by, why, at_ms });
        }
        assert_eq!(state.history.len(), MAX_HISTORY);
        for life in 2..50 {
            open(&mut state, "a", life);
        }
        assert_eq!(state.sessions.len(), MAX_LIVES);
    }
}
