//! What the council agrees on: sessions, duties, owners and epochs. A state machine of commands, the same at every
//! member, with no clock in it. Wall-clock times in it are what proposers said, for people to read; nothing is decided
//! by them.

use crate::fence::Owner;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Agents with a session at once.
pub const MAX_AGENTS: usize = 256;
/// Lives of one agent at once: a former one stays until its silence was seen.
pub const MAX_LIVES: usize = 8;
/// Duties.
pub const MAX_DUTIES: usize = 10_000;
/// Changes of owner that are remembered, of all duties together.
pub const MAX_HISTORY: usize = 2_000;
/// Bytes of a decision, and of an intent; intents of one duty.
pub const MAX_DECISION_BYTES: usize = 64 * 1024;
/// See [`MAX_DECISION_BYTES`].
pub const MAX_OVERRIDE_BYTES: usize = 1024;
/// See [`MAX_DECISION_BYTES`].
pub const MAX_OVERRIDES: usize = 256;
/// Bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a reason.
pub const MAX_REASON_BYTES: usize = 256;
/// Ends under one owner after another without a word of a step, after which a duty is set aside.
pub const MAX_CRASHES: u32 = 3;
/// Steps that one beat may tell of.
pub const MAX_STEPS_PER_BEAT: usize = 64;

/// How an epoch is made up: recoveries above, grants below. After a recovery every epoch is higher than any that a
/// member who is gone for good may have given out.
pub const RECOVERY_SHIFT: u32 = 40;

/// A proposal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// An agent begins a life.
    Open {
        /// Whose.
        owner: Owner,
        /// Drawn by the process: two that use one name don't take each other's answer for their own.
        nonce: u64,
        /// Where it stands, for people.
        zone: String,
        /// Duties that it can do; made known where they are not yet.
        duties: Vec<String>,
        /// Steps that were in hand when the process of its former life died, by duty and epoch.
        #[serde(default)]
        fell: Vec<(String, u64)>,
        /// When, Unix time in ms, for people.
        #[serde(default)]
        at_ms: u64,
    },
    /// An agent is alive.
    Beat {
        /// Whose.
        owner: Owner,
        /// Which, from 1.
        number: u64,
        /// What it has done since.
        steps: Vec<Step>,
    },
    /// A session was silent for long enough since this beat.
    Expire {
        /// Whose.
        owner: Owner,
        /// The last beat that was seen.
        number: u64,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An agent ends in order.
    Close {
        /// Whose.
        owner: Owner,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// A free duty is taken.
    Claim {
        /// Which.
        duty: String,
        /// By whom.
        owner: Owner,
        /// The epoch that it was seen free at.
        seen: u64,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An owner gives a duty up.
    Release {
        /// Which.
        duty: String,
        /// Who.
        owner: Owner,
        /// Under which epoch.
        epoch: u64,
        /// Why.
        why: ReleaseReason,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An owner, that has stopped by itself, hands a duty to another.
    Hand {
        /// Which.
        duty: String,
        /// From whom.
        owner: Owner,
        /// Under which epoch.
        epoch: u64,
        /// To whom.
        to: Owner,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An operator wants a duty elsewhere.
    Move {
        /// Which.
        duty: String,
        /// The agent.
        to: String,
        /// Who says so.
        by: String,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An operator stops a duty.
    Pause {
        /// Which.
        duty: String,
        /// Who says so.
        by: String,
        /// Why.
        why: String,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An operator lets a duty go on, one that was set aside too.
    Resume {
        /// Which.
        duty: String,
        /// Who says so.
        by: String,
        /// Why.
        why: String,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// A duty's owner has decided something for the whole fleet.
    Decide {
        /// Which duty's.
        duty: String,
        /// By whom.
        owner: Owner,
        /// Under which epoch.
        epoch: u64,
        /// The version that stood when it was made: the next one is its own.
        seen: u64,
        /// What, as the duty writes it.
        body: String,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// An operator intends something that a duty takes into account. The same key again takes the place of the former.
    Intend {
        /// Which duty.
        duty: String,
        /// About what.
        key: String,
        /// What.
        intent: OperatorOverride,
    },
    /// An intent is over.
    Withdraw {
        /// Which duty's.
        duty: String,
        /// About what.
        key: String,
        /// Who says so.
        by: String,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
    /// A resource has seen this epoch: none below it is given out any more.
    Raise {
        /// The epoch.
        epoch: u64,
    },
    /// The majority is gone for good: one member goes on alone, by hand.
    Recover {
        /// Who says so.
        by: String,
        /// When, Unix time in ms, for people.
        at_ms: u64,
    },
}

/// Why an owner gave a duty up.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// It was asked to.
    Asked,
    /// Its step has failed or crashed, with what was said.
    Crashed(String),
}

/// A step that was done, or that failed with the owner there to say so.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Of which duty.
    pub duty: String,
    /// Under which epoch.
    pub epoch: u64,
    /// How many in this epoch.
    pub count: u64,
    /// When it ended, Unix time in ms, for people.
    pub at_ms: u64,
    /// When the next one is due, Unix time in ms, for people.
    pub next_ms: u64,
    /// What it did, in a word or two.
    pub note: String,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Done.
    Done,
    /// A duty is owned under this epoch.
    Granted(u64),
    /// A decision stands under this version.
    Decided(u64),
    /// Nothing was done.
    Refused(Refusal),
}

/// Why a command did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The session is not there (any more).
    Gone,
    /// A life that is not above the highest one known of this agent.
    OldLife {
        /// The highest one.
        stands: u64,
    },
    /// A beat has come in between, or the duty has another owner or epoch.
    Changed,
    /// The duty is paused or set aside.
    Stopped,
    /// There is no such duty, or no such agent.
    Unknown(String),
    /// A field is not what it may be.
    Invalid(String),
    /// No room.
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

/// An agent's life as long as it lasts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The process that opened it.
    pub nonce: u64,
    /// Where it stands.
    pub zone: String,
    /// The duties that it can do.
    pub duties: Vec<String>,
    /// The last beat.
    pub number: u64,
}

/// A duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// The last epoch given out; 0 where none was.
    pub epoch: u64,
    /// Whose it is.
    pub owner: Option<Owner>,
    /// Since when, Unix time in ms by the clock of who claimed it.
    pub since_ms: u64,
    /// Where an operator wants it.
    pub wanted: Option<String>,
    /// Paused: by whom, and why.
    pub paused: Option<(String, String)>,
    /// Set aside, with what was last said.
    pub aside: Option<String>,
    /// Steps that crashed their owner since one was told of.
    pub crashes: u32,
    /// Agents that went silent with it before they told of a step, until they are heard again.
    #[serde(default)]
    pub silent: BTreeSet<String>,
    /// The last step done.
    pub step: Option<Step>,
}

impl Duty {
    /// Whether it may have an owner.
    #[must_use]
    pub fn is_runnable(&self) -> bool {
        self.paused.is_none() && self.aside.is_none()
    }
}

/// A change of owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnershipChange {
    /// Of which duty.
    pub duty: String,
    /// Under which epoch.
    pub epoch: u64,
    /// Who it is about.
    pub who: String,
    /// What happened.
    pub what: String,
    /// When, Unix time in ms by the clock of who proposed it.
    pub at_ms: u64,
}

/// What stands of a duty's decisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StandingDecision {
    /// The version; it only grows.
    pub version: u64,
    /// The epoch that it was decided under, and whose that was.
    pub epoch: u64,
    /// See `epoch`.
    pub owner: String,
    /// When, Unix time in ms by the clock of who decided, for people.
    pub at_ms: u64,
    /// What, as the duty writes it.
    pub body: String,
}

/// What an operator intends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperatorOverride {
    /// What, as the duty writes it.
    pub body: String,
    /// Who says so.
    pub by: String,
    /// Why.
    pub why: String,
    /// Until when, Unix time in ms; an operator's hour of the clock.
    pub until_ms: u64,
    /// When it was said, Unix time in ms.
    pub at_ms: u64,
}

/// All of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// How often one member went on alone.
    pub recoveries: u64,
    /// The last epoch that was given out, of any duty.
    pub epoch: u64,
    /// Sessions.
    #[serde(with = "as_pairs")]
    pub sessions: BTreeMap<Owner, Session>,
    /// The highest life of each agent.
    pub lives: BTreeMap<String, u64>,
    /// Duties by name.
    pub duties: BTreeMap<String, Duty>,
    /// Changes of owner, oldest first.
    pub history: VecDeque<OwnershipChange>,
    /// What stands of each duty's decisions.
    #[serde(default)]
    pub decisions: BTreeMap<String, StandingDecision>,
    /// What operators intend, by duty and by what it is about.
    #[serde(default)]
    pub intents: BTreeMap<String, BTreeMap<String, OperatorOverride>>,
}

/// Maps whose keys are no texts, as lists.
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

/// Whether a text can be a name of an agent, a zone or a duty.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(fits)
}

fn name(field: &str, text: &str) -> Result<(), Refusal> {
    if is_name(text) {
        return Ok(());
    }
    Err(Refusal::Invalid(format!(
        "{field}: 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores"
    )))
}

fn told(field: &str, text: &str) -> Result<(), Refusal> {
    if text.is_empty() || text.len() > MAX_REASON_BYTES || text.chars().any(char::is_control) {
        return Err(Refusal::Invalid(format!("{field}: 1 to {MAX_REASON_BYTES} bytes that can be printed")));
    }
    Ok(())
}

/// What a duty said last, as it may be kept.
fn short(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(80).collect()
}

impl State {
    /// Carries a command out.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.applied(command).unwrap_or_else(Outcome::Refused)
    }

    fn applied(&mut self, command: &Command) -> Result<Outcome, Refusal> {
        match command {
            Command::Open { owner, nonce, zone, duties, fell, at_ms } => {
                if self.open(owner, *nonce, zone, duties)? {
                    self.heard(owner, fell, *at_ms);
                }
            }
            Command::Beat { owner, number, steps } => self.beat(owner, *number, steps)?,
            Command::Expire { owner, number, at_ms } => {
                let session = self.sessions.get(owner).ok_or(Refusal::Gone)?;
                if session.number != *number {
                    return Err(Refusal::Changed);
                }
                self.end(owner, "its session was silent", *at_ms, true);
            }
            Command::Close { owner, at_ms } => {
                self.sessions.get(owner).ok_or(Refusal::Gone)?;
                self.end(owner, "ended in order", *at_ms, false);
            }
            Command::Claim { duty, owner, seen, at_ms } => {
                self.sessions.get(owner).ok_or(Refusal::Gone)?;
                let found = self.known(duty)?;
                if found.epoch != *seen || found.owner.is_some() {
                    return Err(Refusal::Changed);
                }
                return self.grant(duty, owner, "claimed", *at_ms);
            }
            Command::Release { duty, owner, epoch, why, at_ms } => {
                self.release(duty, owner, *epoch, why, *at_ms)?
            }
            Command::Hand { duty, owner, epoch, to, at_ms } => {
                self.held(duty, owner, *epoch)?;
                self.sessions.get(to).ok_or(Refusal::Gone)?;
                return self.grant(duty, to, "was handed it", *at_ms);
            }
            Command::Move { duty, to, by, at_ms } => {
                told("by", by)?;
                if !self.sessions.keys().any(|o| o.agent == *to) {
                    return Err(Refusal::Unknown(format!("agent {to} with a session")));
                }
                let found = self.known(duty)?;
                found.wanted = Some(to.clone());
                let epoch = found.epoch;
                self.note(duty, epoch, to, &format!("is where {by} wants it"), *at_ms);
            }
            Command::Pause { duty, by, why, at_ms } => {
                told("by", by)?;
                told("why", why)?;
                let found = self.known(duty)?;
                found.paused = Some((by.clone(), why.clone()));
                let epoch = found.epoch;
                self.note(duty, epoch, by, &format!("paused it: {why}"), *at_ms);
            }
            Command::Resume { duty, by, why, at_ms } => {
                told("by", by)?;
                told("why", why)?;
                let found = self.known(duty)?;
                (found.paused, found.aside, found.crashes) = (None, None, 0);
                found.silent.clear();
                let epoch = found.epoch;
                self.note(duty, epoch, by, &format!("let it go on: {why}"), *at_ms);
            }
            Command::Decide { duty, owner, epoch, seen, body, at_ms } => {
                return self.decide(duty, owner, (*epoch, *seen), body, *at_ms);
            }
            Command::Intend { duty, key, intent } => {
                told("by", &intent.by)?;
                told("why", &intent.why)?;
                told("key", key)?;
                if intent.body.len() > MAX_OVERRIDE_BYTES {
                    return Err(Refusal::Invalid(format!("body: {MAX_OVERRIDE_BYTES} bytes at the most")));
                }
                let epoch = self.known(duty)?.epoch;
                let intents = self.intents.entry(duty.clone()).or_default();
                if intents.len() >= MAX_OVERRIDES && !intents.contains_key(key) {
                    return Err(Refusal::Full(format!("intents: {MAX_OVERRIDES} of one duty at the most")));
                }
                intents.insert(key.clone(), intent.clone());
                self.note(duty, epoch, &intent.by, &format!("intends {key}: {}", intent.why), intent.at_ms);
            }
            Command::Withdraw { duty, key, by, at_ms } => {
                told("by", by)?;
                let epoch = self.known(duty)?.epoch;
                let gone = self.intents.get_mut(duty).and_then(|all| all.remove(key));
                if gone.is_none() {
                    return Err(Refusal::Unknown(format!("intent about {}", short(key))));
                }
                self.note(duty, epoch, by, &format!("no longer intends {key}"), *at_ms);
            }
            Command::Raise { epoch } => {
                // A number of a later recovery can't be one of ours: it would leave no room below it.
                if epoch >> RECOVERY_SHIFT > self.recoveries {
                    return Err(Refusal::Invalid(format!("epoch: {epoch}; of a recovery that was not made")));
                }
                self.epoch = self.epoch.max(*epoch);
            }
            Command::Recover { by, at_ms } => {
                told("by", by)?;
                self.recoveries += 1;
                self.epoch = self.recoveries << RECOVERY_SHIFT;
                // Whoever held a session may live on elsewhere: its silence is waited for, as ever.
                self.note("", self.epoch, by, "had one member go on alone", *at_ms);
            }
        }
        Ok(Outcome::Done)
    }

    /// The fence of a decision: it counts only while its owner owns the duty, and after the version that it was made on.
    fn decide(
        &mut self,
        duty: &str,
        owner: &Owner,
        (epoch, seen): (u64, u64),
        body: &str,
        at_ms: u64,
    ) -> Result<Outcome, Refusal> {
        self.held(duty, owner, epoch)?;
        if body.len() > MAX_DECISION_BYTES {
            return Err(Refusal::Invalid(format!("body: {MAX_DECISION_BYTES} bytes at the most")));
        }
        let stands = self.decisions.entry(duty.to_string()).or_default();
        if stands.version != seen {
            return Err(Refusal::Changed);
        }
        let version = seen + 1;
        let owner = owner.to_string();
        *stands = StandingDecision { version, epoch, owner: owner.clone(), at_ms, body: body.to_string() };
        self.note(duty, epoch, &owner, &format!("decided version {version}"), at_ms);
        Ok(Outcome::Decided(version))
    }

    fn known(&mut self, duty: &str) -> Result<&mut Duty, Refusal> {
        self.duties.get_mut(duty).ok_or_else(|| Refusal::Unknown(format!("duty {}", short(duty))))
    }

    fn held(&mut self, duty: &str, owner: &Owner, epoch: u64) -> Result<&mut Duty, Refusal> {
        let found = self.known(duty)?;
        if found.epoch != epoch || found.owner.as_ref() != Some(owner) {
            return Err(Refusal::Changed);
        }
        Ok(found)
    }

    fn note(&mut self, duty: &str, epoch: u64, who: &str, what: &str, at_ms: u64) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        let (duty, who, what) = (duty.to_string(), who.to_string(), what.to_string());
        self.history.push_back(OwnershipChange { duty, epoch, who, what, at_ms });
    }

    /// Whether it is new: one may be sent again, as its answer was lost.
    fn open(&mut self, owner: &Owner, nonce: u64, zone: &str, duties: &[String]) -> Result<bool, Refusal> {
        name("agent", &owner.agent)?;
        name("zone", zone)?;
        duties.iter().try_for_each(|d| name("duty", d))?;
        let stands = self.lives.get(&owner.agent).copied().unwrap_or(0);
        if self.sessions.get(owner).is_some_and(|s| s.nonce == nonce) {
            return Ok(false);
        }
        if owner.life <= stands {
            return Err(Refusal::OldLife { stands });
        }
        let lives = self.sessions.keys().filter(|o| o.agent == owner.agent).count();
        if self.sessions.len() >= MAX_AGENTS || lives >= MAX_LIVES {
            return Err(Refusal::Full(format!(
                "sessions: {MAX_AGENTS} at the most, {MAX_LIVES} of one agent"
            )));
        }
        let new = duties.iter().filter(|d| !self.duties.contains_key(*d)).count();
        if self.duties.len() + new > MAX_DUTIES {
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

    fn beat(&mut self, owner: &Owner, number: u64, steps: &[Step]) -> Result<(), Refusal> {
        let session = self.sessions.get_mut(owner).ok_or(Refusal::Gone)?;
        session.number = session.number.max(number);
        for step in steps.iter().take(MAX_STEPS_PER_BEAT) {
            if let Ok(duty) = self.held(&step.duty, owner, step.epoch) {
                duty.crashes = 0;
                duty.silent.clear();
                duty.step = Some(Step { note: short(&step.note), ..step.clone() });
            }
        }
        Ok(())
    }

    /// Ends a session; its duties are free.
    fn end(&mut self, owner: &Owner, what: &str, at_ms: u64, lost: bool) {
        self.sessions.remove(owner);
        let held: Vec<String> = self
            .duties
            .iter()
            .filter(|(_, d)| d.owner.as_ref() == Some(owner))
            .map(|(n, _)| n.clone())
            .collect();
        for duty in held {
            let epoch = self.duties.get_mut(&duty).map_or(0, |found| {
                found.owner = None;
                found.epoch
            });
            self.note(&duty, epoch, &owner.to_string(), what, at_ms);
            if lost {
                self.suspect(&duty, owner, at_ms);
            }
        }
    }

    /// An owner went silent. Whether the duty was the cause shows when its agent comes back; one that does not is held
    /// against the duty.
    fn suspect(&mut self, duty: &str, owner: &Owner, at_ms: u64) {
        let back = self.sessions.keys().any(|o| o.agent == owner.agent);
        let Some(found) = self.duties.get_mut(duty) else { return };
        if back || found.step.as_ref().is_some_and(|s| s.epoch == found.epoch) {
            return;
        }
        found.silent.insert(owner.agent.clone());
        self.weigh(duty, "its owners went silent and did not come back", at_ms);
    }

    /// An agent is heard again. The process that went silent was stopped or cut off, and the duty had no part in it; another
    /// process knows in which steps the former one died.
    fn heard(&mut self, owner: &Owner, fell: &[(String, u64)], at_ms: u64) {
        for duty in self.duties.values_mut() {
            duty.silent.remove(&owner.agent);
        }
        for (duty, epoch) in fell.iter().take(MAX_STEPS_PER_BEAT) {
            let Some(found) = self.duties.get_mut(duty) else { continue };
            // What a later owner did well is no crash.
            if found.step.as_ref().is_some_and(|s| s.epoch >= *epoch) || *epoch > found.epoch {
                continue;
            }
            found.crashes += 1;
            self.note(duty, *epoch, &owner.to_string(), "its process died in a step", at_ms);
            self.weigh(duty, "its owners died in a step of it", at_ms);
        }
    }

    /// Sets a duty aside that has cost too many owners.
    fn weigh(&mut self, duty: &str, said: &str, at_ms: u64) {
        let Some(found) = self.duties.get_mut(duty) else { return };
        // One that is silent may still be back: it is not added to those that are known to have died.
        let lost = found.crashes.max(u32::try_from(found.silent.len()).unwrap_or(u32::MAX));
        if lost < MAX_CRASHES || found.aside.is_some() {
            return;
        }
        found.aside = Some(short(said));
        let epoch = found.epoch;
        let what = format!("it is set aside: {lost} owners were lost without a step: {}", short(said));
        self.note(duty, epoch, "", &what, at_ms);
    }

    fn release(
        &mut self,
        duty: &str,
        owner: &Owner,
        epoch: u64,
        why: &ReleaseReason,
        at_ms: u64,
    ) -> Result<(), Refusal> {
        self.held(duty, owner, epoch)?.owner = None;
        match why {
            ReleaseReason::Asked => self.note(duty, epoch, &owner.to_string(), "gave it up", at_ms),
            ReleaseReason::Crashed(said) => {
                self.note(duty, epoch, &owner.to_string(), &format!("crashed: {}", short(said)), at_ms);
                // Whatever was done before, a step that crashes counts.
                if let Some(found) = self.duties.get_mut(duty) {
                    found.step = None;
                    found.crashes += 1;
                }
                self.weigh(duty, said, at_ms);
            }
        }
        Ok(())
    }

    fn grant(&mut self, duty: &str, to: &Owner, what: &str, at_ms: u64) -> Result<Outcome, Refusal> {
        let able = self.sessions.get(to).is_some_and(|s| s.duties.iter().any(|d| d == duty));
        if !able {
            return Err(Refusal::Invalid(format!("agent: {} can't do {duty}", to.agent)));
        }
        let epoch = self.epoch + 1;
        let found = self.known(duty)?;
        if !found.is_runnable() {
            return Err(Refusal::Stopped);
        }
        found.epoch = epoch;
        found.owner = Some(to.clone());
        found.since_ms = at_ms;
        // An operator's wish holds until it is met, and then the duty is free to go where it fits.
        if found.wanted.as_ref() == Some(&to.agent) {
            found.wanted = None;
        }
        self.epoch = epoch;
        self.note(duty, epoch, &to.to_string(), what, at_ms);
        Ok(Outcome::Granted(epoch))
    }

    /// How many duties a session holds.
    #[must_use]
    pub fn owned_duties(&self, owner: &Owner) -> usize {
        self.duties.values().filter(|d| d.owner.as_ref() == Some(owner)).count()
    }

    /// The changes of one duty, oldest first.
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

    fn opened(state: &mut State, owner: Owner, fell: Vec<(String, u64)>) -> Outcome {
        let (zone, duties) = ("a".into(), vec!["gaps".into()]);
        state.apply(&Command::Open { owner, nonce: 1, zone, duties, fell, at_ms: 0 })
    }

    fn open(state: &mut State, agent: &str, life: u64) -> Outcome {
        opened(state, owner(agent, life), vec![])
    }

    fn claim(state: &mut State, agent: &str, life: u64, seen: u64) -> Outcome {
        state.apply(&Command::Claim { duty: "gaps".into(), owner: owner(agent, life), seen, at_ms: 0 })
    }

    #[test]
    fn an_epoch_is_given_out_once_over_ends_recoveries_and_raises() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        open(&mut state, "b", 1);
        assert_eq!(claim(&mut state, "a", 1, 0), Outcome::Granted(1));
        assert_eq!(claim(&mut state, "b", 1, 1), Outcome::Refused(Refusal::Changed), "it has an owner");
        let expire = |number| Command::Expire { owner: owner("a", 1), number, at_ms: 0 };
        state.apply(&Command::Beat { owner: owner("a", 1), number: 4, steps: vec![] });
        assert_eq!(state.apply(&expire(3)), Outcome::Refused(Refusal::Changed), "a beat slipped in");
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
        let far = Command::Raise { epoch: 2 << RECOVERY_SHIFT };
        assert!(matches!(state.apply(&far), Outcome::Refused(Refusal::Invalid(_))));
    }

    #[test]
    fn a_life_that_is_not_new_is_refused_and_says_which_stands() {
        let mut state = State::default();
        assert_eq!(open(&mut state, "a", 7), Outcome::Done);
        assert_eq!(open(&mut state, "a", 7), Outcome::Done, "sent again");
        let (twin, zone) = (owner("a", 7), "a".to_string());
        let twin = Command::Open { owner: twin, nonce: 2, zone, duties: vec![], fell: vec![], at_ms: 0 };
        assert_eq!(state.apply(&twin), Outcome::Refused(Refusal::OldLife { stands: 7 }), "another process");
        assert_eq!(open(&mut state, "a", 6), Outcome::Refused(Refusal::OldLife { stands: 7 }));
        state.apply(&Command::Close { owner: owner("a", 7), at_ms: 0 });
        assert_eq!(open(&mut state, "a", 7), Outcome::Refused(Refusal::OldLife { stands: 7 }));
        assert_eq!(open(&mut state, "a", 8), Outcome::Done);
    }

    #[test]
    fn a_duty_that_ends_three_owners_in_a_row_is_set_aside_and_comes_back_by_hand() {
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
    fn owners_that_did_a_step_and_went_silent_are_not_held_against_the_duty() {
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

    /// As seeds 4010 and 4015 of the schedules had it: agents killed or cut off by others, each with a duty that it had not
    /// come to yet, and all of them back.
    #[test]
    fn owners_that_went_silent_and_came_back_are_not_held_against_the_duty() {
        let mut state = State::default();
        for (round, agent) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
            let life = 100 * (round as u64 + 1);
            open(&mut state, agent, life);
            let seen = state.duties["gaps"].epoch;
            assert!(matches!(claim(&mut state, agent, life, seen), Outcome::Granted(_)), "round {round}");
            state.apply(&Command::Expire { owner: owner(agent, life), number: 0, at_ms: 0 });
            assert_eq!(state.duties["gaps"].silent.len(), 1, "until it is heard again");
            open(&mut state, agent, life + 10);
            assert_eq!(state.duties["gaps"].silent.len(), 0);
        }
        // One that is back before its former life was seen to be silent.
        open(&mut state, "f", 1);
        let seen = state.duties["gaps"].epoch;
        claim(&mut state, "f", 1, seen);
        open(&mut state, "f", 2);
        state.apply(&Command::Expire { owner: owner("f", 1), number: 0, at_ms: 0 });
        assert!(state.duties["gaps"].silent.is_empty() && state.duties["gaps"].is_runnable());
    }

    #[test]
    fn owners_that_died_in_a_step_or_never_came_back_are() {
        let mut state = State::default();
        for (life, agent) in [(1, "a"), (2, "b"), (3, "c")] {
            assert!(state.duties.get("gaps").is_none_or(Duty::is_runnable));
            open(&mut state, agent, life);
            let Outcome::Granted(epoch) = claim(&mut state, agent, life, life - 1) else { panic!("{agent}") };
            state.apply(&Command::Expire { owner: owner(agent, life), number: 0, at_ms: 0 });
            opened(&mut state, owner(agent, life + 10), vec![("gaps".into(), epoch), ("none".into(), 1)]);
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
    fn a_step_that_a_later_owner_did_outweighs_what_is_told_late() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        claim(&mut state, "a", 1, 0);
        state.apply(&Command::Expire { owner: owner("a", 1), number: 0, at_ms: 0 });
        open(&mut state, "b", 1);
        claim(&mut state, "b", 1, 1);
        let step =
            Step { duty: "gaps".into(), epoch: 2, count: 1, at_ms: 0, next_ms: 0, note: String::new() };
        state.apply(&Command::Beat { owner: owner("b", 1), number: 1, steps: vec![step] });
        opened(&mut state, owner("a", 2), vec![("gaps".into(), 1), ("gaps".into(), 9)]);
        assert_eq!(state.duties["gaps"].crashes, 0);
    }

    #[test]
    fn a_decision_counts_under_its_owners_epoch_and_after_the_version_it_was_made_on() {
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
        let long = "z".repeat(MAX_DECISION_BYTES + 1);
        assert!(matches!(state.apply(&decide("b", 2, 2, &long)), Outcome::Refused(Refusal::Invalid(_))));
        let stands = &state.decisions["gaps"];
        assert_eq!((stands.version, stands.epoch, stands.body.as_str()), (2, 2, "z"));
    }

    #[test]
    fn intents_are_bounded_take_each_others_place_and_are_withdrawn_by_name() {
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
        let away = |key: &str| Command::Withdraw {
            duty: "gaps".into(),
            key: key.into(),
            by: "ana".into(),
            at_ms: 0,
        };
        assert!(matches!(state.apply(&away("room-b")), Outcome::Refused(Refusal::Unknown(_))));
        assert_eq!(state.apply(&away("room-a")), Outcome::Done);
        for k in 0..2 * MAX_OVERRIDES {
            state.apply(&intend(&format!("z{k}"), "x"));
        }
        assert_eq!(state.intents["gaps"].len(), MAX_OVERRIDES);
    }

    #[test]
    fn bad_words_change_nothing() {
        let mut state = State::default();
        open(&mut state, "a", 1);
        let before = state.clone();
        let long = "x".repeat(MAX_NAME_BYTES + 1);
        let bad = [
            Command::Open {
                owner: owner("", 9),
                nonce: 1,
                zone: "a".into(),
                duties: vec![],
                fell: vec![],
                at_ms: 0,
            },
            Command::Open {
                owner: owner(&long, 9),
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
        for command in bad {
            assert!(matches!(state.apply(&command), Outcome::Refused(_)), "{command:?}");
            assert_eq!(state, before, "{command:?}");
        }
    }

    #[test]
    fn what_is_remembered_is_bounded() {
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
