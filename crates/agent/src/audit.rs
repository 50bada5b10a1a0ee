//! The audit: what this host's gatekeepers act on goes to the owner of the duty, who keeps the book and the history, has those
//! that are behind brought up, and decides who is shut out; every agent pushes what stands to its gatekeepers. What is decided,
//! `frostvale-audit` decides.

use crate::clock::{Clock, unix_ms};
use crate::config;
use crate::council::{CouncilSeat, MemberChannels};
use crate::duties::{StepDone, StepError, Worker};
use crate::record::RecordKeeper;
use crate::zones::ZONES_DUTY;
use frostvale_audit::applied_version_table::DelayTracker;
use frostvale_audit::applied_versions::{KIND_EPOCH_PREFIX, KIND_PLANS};
use frostvale_audit::escalation::{EscalationStep, ExpectedDigest, InstanceOverride, TargetRevision};
use frostvale_audit::hash_chain::{ChainRow, Checkpoint, append as chain};
use frostvale_audit::{
    Action, AppliedVersionTable, AppliedVersions, Decision, Escalation, HistoryEvent, Version,
};
use frostvale_council::{AgreedState, Council};
use frostvale_link::agent::Link;
use frostvale_link::proto::{Acts as ActsWord, Fence, Shut, ShutOne};
use frostvale_owner::registry::{OperatorOverride, StandingDecision};
use frostvale_owner::{Command, Lease, Outcome};
use frostvale_proto::agent::audit_change::What;
use frostvale_proto::agent::council_client::CouncilClient;
use frostvale_proto::agent::{
    Acting, AuditChange, AuditIntent, AuditLook, AuditResponse, AuditView, EvidenceMessage, EvidenceTaken,
    HistoryRequest, HistoryResponse, Instance, RevisionUse, UseByRevisionResponse, Wanted,
};
use frostvale_record::model::HistoryRow;
use frostvale_record::{FleetWork, Op, Reply};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The duty.
pub const AUDIT_DUTY: &str = "audit";
/// The owner looks this often.
const STEP: Duration = Duration::from_millis(200);
/// The owner is asked, and told, within this time.
const ASK: Duration = Duration::from_millis(800);
/// A message with evidence, in bytes, and gatekeepers and sets in it.
const EVIDENCE_MOST: usize = 256 * 1024;
const WORDS_MOST: usize = 256;
const SETS_MOST: usize = 256;
/// Events that wait for the record; past these the oldest are dropped, and a row says how many.
const PENDING_MOST: usize = 20_000;
/// Rows that one step enters.
const ROWS_AT_ONCE: usize = 500;
/// Rows of the history in one answer.
const HISTORY_MOST: u32 = 2000;
/// The longest time that an operator's word holds.
const WISH_MOST_MS: u64 = 31 * 86_400_000;
/// Alarms that are shown.
const ALARMS_MOST: usize = 64;
/// The history is thinned this often, in ms.
const RETAIN_MS: u64 = 60_000;
/// What an operator's intent says.
const OUT: &str = "out";
const IN: &str = "in";

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unsigned(n: i64) -> u64 {
    u64::try_from(n).unwrap_or(0)
}

fn signed(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

/// What one host tells the owner.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EvidenceBody {
    agent: String,
    life: u64,
    /// What each gatekeeper acts on, and how long ago it told, in ms.
    words: Vec<(AppliedVersions, u64)>,
    sets: BTreeSet<(u32, u32)>,
}

/// What the owner of one epoch keeps.
struct OwnerState {
    epoch: u64,
    owner: String,
    at: u64,
    book: AppliedVersionTable,
    ladder: Escalation,
    late: DelayTracker,
    wanted: BTreeMap<String, TargetRevision>,
    sets: BTreeMap<String, BTreeSet<(u32, u32)>>,
    pending: Vec<HistoryEvent>,
    /// Where the history ends, once that was read; and rows that were sent and of which nothing was heard.
    head: Option<Checkpoint>,
    sent: Vec<ChainRow>,
    decision: Decision,
    anchored: u64,
    looked: u64,
    retained: u64,
    alarms: BTreeMap<String, String>,
    /// What is to be said to agents with their next evidence, by agent: tell again, and send all anew.
    errands: BTreeMap<String, (BTreeSet<String>, BTreeSet<String>)>,
    /// A decision that is on its way, was refused, or whose answer was lost: how many events were pending before it.
    in_doubt: Option<usize>,
}

impl OwnerState {
    fn new(s: frostvale_audit::Settings, lease: &Lease, stands: &str, now: u64) -> OwnerState {
        let decision: Decision = serde_json::from_str(stands).unwrap_or_default();
        let mut book = AppliedVersionTable::new(s);
        book.resume(now, &decision.roster);
        // Whether the one before could still enter it is not known: what stands is entered under this epoch too.
        let outs = decision.out.clone();
        let mut bench = OwnerState {
            epoch: lease.epoch(),
            owner: lease.owner().to_string(),
            at: now,
            book,
            ladder: Escalation::new(s),
            late: DelayTracker::default(),
            wanted: BTreeMap::new(),
            sets: BTreeMap::new(),
            pending: Vec::new(),
            head: None,
            sent: Vec::new(),
            decision,
            anchored: now,
            looked: now,
            retained: 0,
            alarms: BTreeMap::new(),
            errands: BTreeMap::new(),
            in_doubt: None,
        };
        for out in outs {
            bench.note(&out.instance, "out", "", &out.why);
        }
        bench
    }

    /// Goes on from the decision that stands. What was noted stays, but for who was shut out or let in by a decision
    /// that does not stand: that is decided again.
    fn settle_doubt(&mut self, stands: &str) {
        let Some(before) = self.in_doubt.take() else { return };
        let standing: Decision = serde_json::from_str(stands).unwrap_or_default();
        if standing.out != self.decision.out {
            let noted = self.pending.split_off(before.min(self.pending.len()));
            self.pending.extend(noted.into_iter().filter(|event| event.kind != "out"));
        }
        self.decision = standing;
    }

    /// Why one is out that can't be judged at present; empty for all others.
    fn not_judged(&self, instance: &str) -> String {
        let out = self.decision.out.iter().find(|o| o.instance == instance);
        out.filter(|_| self.ladder.is_undecided(instance)).map_or(String::new(), |o| o.why.clone())
    }

    fn note(&mut self, instance: &str, kind: &str, was: &str, now_is: &str) {
        let life = self.book.get(instance).map_or(0, |k| k.applied.life);
        self.pending.push(HistoryEvent {
            instance: instance.into(),
            life,
            kind: kind.into(),
            was: was.into(),
            now_is: now_is.into(),
            within_ms: 0,
            told_ms: 0,
        });
    }

    /// What each should act on now.
    fn want(&mut self, now: u64, plans: Option<u64>, whole: &AgreedState) {
        let mut all = BTreeMap::new();
        if let Some(revision) = plans {
            all.insert(KIND_PLANS.to_string(), revision);
        }
        if let Some(decided) = whole.owner.decisions.get(ZONES_DUTY) {
            all.insert(ZONES_DUTY.to_string(), decided.version);
        }
        for duty in crate::council::FOR_GATEKEEPERS {
            if let Some(duty_now) = whole.owner.duties.get(duty).filter(|d| d.epoch > 0) {
                all.insert(format!("{KIND_EPOCH_PREFIX}{duty}"), duty_now.epoch);
            }
        }
        for (kind, revision) in all {
            let was = self.wanted.get(&kind).map(|w| w.revision);
            if was.is_none_or(|was| revision > was) {
                let told = was.map_or(String::new(), |w| w.to_string());
                self.note("", &format!("wanted.{kind}"), &told, &revision.to_string());
                self.wanted.insert(
                    kind,
                    TargetRevision { revision, digest: ExpectedDigest::NotCompared, since: now },
                );
            }
        }
        if let Some(plans) = self.wanted.get_mut(KIND_PLANS) {
            plans.digest = self
                .book
                .majority_digest(KIND_PLANS, plans.revision, |name| self.decision.is_fenced_off(name));
        }
    }

    /// One look at all. Gives whether there is something to decide.
    fn turn(
        &mut self,
        now: u64,
        at_ms: u64,
        s: &frostvale_audit::Settings,
        hands: &BTreeMap<String, InstanceOverride>,
    ) -> bool {
        let decision = std::mem::take(&mut self.decision);
        let silent = self.book.tick(now, |name| decision.is_fenced_off(name));
        self.pending.extend(silent);
        self.decision = decision;
        let sets: BTreeSet<(u32, u32)> = self.sets.values().flatten().copied().collect();
        let acts = self.ladder.tick(now, at_ms, &self.book, &self.wanted, (&sets, hands), &self.decision);
        let before = (self.decision.out.clone(), self.decision.roster.clone(), self.decision.retry_ms);
        self.alarms
            .retain(|name, _| self.ladder.stragglers().any(|(n, _)| n == name) || hands.contains_key(name));
        for act in acts {
            match act {
                Action::Notify(name) => self.errand(&name, false),
                Action::SendSnapshot(name) => self.errand(&name, true),
                Action::FenceOff(out) => {
                    tracing::warn!(
                        instance = out.instance,
                        reason = out.why,
                        "{} is shut out: {}",
                        out.instance,
                        out.why
                    );
                    self.alarms.remove(&out.instance);
                    self.note(&out.instance.clone(), "out", "in", &out.why);
                    self.decision.out.push(out);
                }
                Action::Readmit(name) => {
                    tracing::info!(instance = name, "{name} is let in again");
                    self.note(&name, "out", "out", "in");
                    self.decision.out.retain(|o| o.instance != name);
                }
                Action::RaiseAlarm(name, why) => {
                    if self.alarms.get(&name) != Some(&why) && self.alarms.len() < ALARMS_MOST {
                        tracing::error!(
                            instance = name,
                            reason = why,
                            "{name} should be shut out and stays in: {why}"
                        );
                        self.note(&name, "alarm", "", &why);
                        self.alarms.insert(name, why);
                    }
                }
            }
        }
        self.decision.retry_ms = s.retry_ms;
        self.decision.roster = self.book.roster();
        if let Some(head) = self.head.clone().filter(|_| now >= self.anchored + s.anchor_ms)
            && head.number > self.decision.anchors.last().map_or(0, |a| a.number)
        {
            self.anchored = now;
            self.decision.add_checkpoint(head);
            return true;
        }
        before != (self.decision.out.clone(), self.decision.roster.clone(), self.decision.retry_ms)
    }

    fn errand(&mut self, instance: &str, all: bool) {
        let Some(known) = self.book.get(instance) else { return };
        let (agent, step) = (known.agent.clone(), if all { "sent all anew" } else { "told again" });
        tracing::info!(instance, "{instance} is behind: it is {step}");
        self.note(instance, "told", "", step);
        let errands = self.errands.entry(agent).or_default();
        if all {
            errands.1.insert(instance.into())
        } else {
            errands.0.insert(instance.into())
        };
    }
}

/// Sets of shops that this host has seen.
type Sets = dyn Fn() -> BTreeSet<(u32, u32)> + Send + Sync;

/// What gatekeepers were last told.
#[derive(Default)]
struct Pushed {
    version: u64,
    epoch: u64,
    last: Option<u64>,
    word: Option<Shut>,
}

/// This agent's part.
pub struct Audit {
    config: config::Audit,
    name: String,
    fleet: String,
    life: u64,
    clock: Clock,
    council: Arc<Council>,
    ways: Arc<MemberChannels>,
    keeper: Option<Arc<RecordKeeper>>,
    own: Mutex<BTreeMap<String, (u64, AppliedVersions)>>,
    links: OnceLock<Vec<(String, Link)>>,
    sets: OnceLock<Box<Sets>>,
    bench: Mutex<Option<OwnerState>>,
    pushed: Mutex<Pushed>,
}

impl Audit {
    pub(crate) fn new(
        config: config::Audit,
        name: &str,
        fleet: &str,
        clock: Clock,
        council: Arc<Council>,
        ways: Arc<MemberChannels>,
        keeper: Option<Arc<RecordKeeper>>,
    ) -> Audit {
        Audit {
            config,
            name: name.to_string(),
            fleet: fleet.to_string(),
            life: unsigned(unix_ms()),
            clock,
            council,
            ways,
            keeper,
            own: Mutex::default(),
            links: OnceLock::new(),
            sets: OnceLock::new(),
            bench: Mutex::default(),
            pushed: Mutex::default(),
        }
    }

    /// These are the gatekeepers of this host, and this is how the sets of shops that were seen are had.
    pub(crate) fn set_links(
        &self,
        links: Vec<(String, Link)>,
        sets: impl Fn() -> BTreeSet<(u32, u32)> + Send + Sync + 'static,
    ) {
        let _ = self.links.set(links);
        let _ = self.sets.set(Box::new(sets));
    }

    // ---- evidence ----

    /// A gatekeeper of this host tells what it acts on.
    pub(crate) fn record_applied_versions(&self, gatekeeper: &str, word: ActsWord) {
        let welcome = self.link(gatekeeper).and_then(Link::welcome);
        let Some(welcome) = welcome else { return };
        let version =
            |a: frostvale_link::proto::Acting| (a.kind, Version { revision: a.revision, digest: a.digest });
        let acts = AppliedVersions {
            instance: gatekeeper.to_string(),
            life: welcome.started_ms,
            number: word.number,
            me: welcome.me,
            gateways: welcome.gateways,
            zone: word.zone,
            at_ms: word.at_ms,
            versions: word.versions.into_iter().map(version).collect(),
        };
        match acts.check() {
            Ok(()) => drop(lock(&self.own).insert(gatekeeper.to_string(), (self.clock.now(), acts))),
            Err(why) => {
                tracing::warn!(instance = gatekeeper, reason = %why, "what {gatekeeper} tells can't be: {why}")
            }
        }
    }

    fn link(&self, gatekeeper: &str) -> Option<&Link> {
        self.links.get()?.iter().find(|(name, _)| name == gatekeeper).map(|(_, link)| link)
    }

    /// The task that tells the owner of the duty, and does what it is asked to in return.
    pub(crate) async fn run_reporting(self: Arc<Self>, seat: Weak<CouncilSeat>) {
        loop {
            sleep(Duration::from_millis(self.config.report_ms)).await;
            let whole = self.council.watch().borrow().clone();
            let owner = whole.owner.duties.get(AUDIT_DUTY).and_then(|d| d.owner.clone());
            let Some(owner) = owner else { continue };
            let now = self.clock.now();
            let words: Vec<(AppliedVersions, u64)> = {
                let mut own = lock(&self.own);
                // What is old is no evidence, and one that is not linked says nothing.
                own.retain(|_, (at, _)| now.saturating_sub(*at) <= self.config.ladder.stale_ms);
                own.values().take(WORDS_MOST).map(|(at, a)| (a.clone(), now.saturating_sub(*at))).collect()
            };
            let sets = self.sets.get().map_or_else(BTreeSet::new, |sets| sets());
            let told = EvidenceBody { agent: self.name.clone(), life: self.life, words, sets };
            let Ok(body) = serde_json::to_vec(&told) else { continue };
            let message = EvidenceMessage {
                fleet: self.fleet.clone(),
                duty: AUDIT_DUTY.into(),
                owner: owner.to_string(),
                sent_ms: now,
                body,
                acts: vec![],
            };
            if owner.agent == self.name {
                if let Ok(taken) = self.receive_evidence(message) {
                    self.run_errands(taken, &seat);
                }
                continue;
            }
            let (audit, seat) = (self.clone(), seat.clone());
            tokio::spawn(async move {
                let Ok(mut client) = audit.way(&owner.agent) else { return };
                if let Ok(Ok(taken)) = timeout(ASK, client.evidence(message)).await {
                    audit.run_errands(taken.into_inner(), &seat);
                }
            });
        }
    }

    fn way(&self, agent: &str) -> Result<CouncilClient<tonic::transport::Channel>, String> {
        let at = self.council.status().members.into_iter().find(|m| m.name == agent).map(|m| m.at);
        let at = at.ok_or_else(|| format!("{agent} is no member of the council"))?;
        Ok(CouncilClient::new(self.ways.channel(&at)?).max_decoding_message_size(4 << 20))
    }

    /// Tells gatekeepers again what stands, or all anew as if they had just come.
    fn run_errands(&self, taken: EvidenceTaken, seat: &Weak<CouncilSeat>) {
        for name in &taken.tell {
            let Some(link) = self.link(name) else { continue };
            if let Some(plans) = self.keeper.as_ref().and_then(|k| k.current_plans()) {
                link.send_plans(plans);
            }
            self.force_push();
        }
        let Some(seat) = seat.upgrade() else { return };
        for name in &taken.snapshot {
            if let Some((link, welcome)) = self.link(name).and_then(|l| Some((l.clone(), l.welcome()?))) {
                tokio::spawn(seat.clone().gatekeeper_connected(link, welcome, self.keeper.clone()));
            }
        }
    }

    /// Evidence comes in, at the owner.
    ///
    /// # Errors
    /// When this agent is not the one that it is for, or it can't be read.
    pub fn receive_evidence(&self, message: EvidenceMessage) -> Result<EvidenceTaken, String> {
        let EvidenceMessage { fleet, owner, sent_ms, body, .. } = message;
        if fleet != self.fleet {
            return Err("fleet: not this one's".into());
        }
        if body.len() > EVIDENCE_MOST {
            return Err(format!("body: {EVIDENCE_MOST} bytes at the most"));
        }
        let now = self.clock.now();
        let mut bench = lock(&self.bench);
        let stale_ms = self.config.ladder.stale_ms;
        let Some(bench) = bench.as_mut().filter(|b| now.saturating_sub(b.at) <= stale_ms) else {
            return Err("this agent does not own the audit".into());
        };
        if owner != bench.owner {
            return Err("owner: another".into());
        }
        let told: EvidenceBody = serde_json::from_slice(&body).map_err(|e| format!("body: {e}"))?;
        if told.words.len() > WORDS_MOST
            || told.sets.len() > SETS_MOST
            || !frostvale_audit::applied_versions::is_name(&told.agent)
        {
            return Err(format!("body: a name, {WORDS_MOST} gatekeepers and {SETS_MOST} sets at the most"));
        }
        let late = bench.late.delay_ms(now, &told.agent, told.life, sent_ms);
        let mut refused = String::new();
        for (acts, age) in told.words {
            match bench.book.record_report(now, &told.agent, acts, age.saturating_add(late)) {
                Ok(events) => bench.pending.extend(events),
                Err(why) => refused = why.0,
            }
        }
        bench.sets.insert(told.agent.clone(), told.sets);
        let (tell, snapshot) = bench.errands.remove(&told.agent).unwrap_or_default();
        Ok(EvidenceTaken {
            refused,
            tell: tell.into_iter().collect(),
            snapshot: snapshot.into_iter().collect(),
        })
    }

    // ---- the duty ----

    /// One look of the owner's: the history goes on, and what is new is decided.
    pub(crate) async fn step(&self, lease: &Lease, worker: &Worker) -> Result<StepDone, StepError> {
        let now = self.clock.now();
        let at_ms = unsigned(unix_ms());
        let whole = self.council.watch().borrow().clone();
        let stands = whole.owner.decisions.get(AUDIT_DUTY).cloned().unwrap_or_default();
        self.expire(&whole).await;
        let hands = by_hand(&whole);
        let plans = self.keeper.as_ref().and_then(|k| k.current_plans()).map(|p| p.revision);
        let body = {
            let mut bench = lock(&self.bench);
            if bench.as_ref().is_none_or(|b| b.epoch != lease.epoch()) {
                *bench = Some(OwnerState::new(self.config.ladder, lease, &stands.body, now));
            }
            let Some(bench) = bench.as_mut() else { return Err(StepError::LeaseExpired) };
            bench.at = now;
            bench.settle_doubt(&stands.body);
            let pending = bench.pending.len();
            bench.want(now, plans, &whole);
            let new = bench.turn(now, at_ms, &self.config.ladder, &hands);
            let former = stands.epoch < lease.epoch();
            let decides = new || former;
            bench.in_doubt = decides.then_some(pending);
            decides.then(|| serde_json::to_string(&bench.decision))
        };
        if let Some(body) = body {
            let body = body.map_err(|e| StepError::Failed(e.to_string()))?;
            lease.fence(now)?;
            let (owner, epoch) = (lease.owner().clone(), lease.epoch());
            let duty = AUDIT_DUTY.to_string();
            let decide = Command::Decide { duty, owner, epoch, seen: stands.version, body, at_ms };
            match self.council.propose(decide, ASK).await {
                Ok(Outcome::Decided(version)) => {
                    if let Some(bench) = lock(&self.bench).as_mut() {
                        bench.in_doubt = None;
                    }
                    let mut seen = self.council.watch();
                    let there = |w: &Arc<AgreedState>| {
                        w.owner.decisions.get(AUDIT_DUTY).is_some_and(|d| d.version >= version)
                    };
                    let _ = timeout(ASK, seen.wait_for(there)).await;
                }
                other => {
                    return Err(StepError::Failed(format!("the decision was not entered: {other:?}")));
                }
            }
        }
        let entered = self.enter(lease, worker).await?;
        self.retain(now, lease, worker).await?;
        Ok(StepDone { note: format!("{entered} rows"), again: STEP })
    }

    /// Enters what has happened into the history, where there is a record.
    async fn enter(&self, lease: &Lease, worker: &Worker) -> Result<u64, StepError> {
        let Some(keeper) = &self.keeper else {
            // Without a record there is no history: only what stands.
            if let Some(bench) = lock(&self.bench).as_mut() {
                bench.pending.clear();
            }
            return Ok(0);
        };
        let now = self.clock.now();
        if let Some(bench) = lock(&self.bench).as_mut()
            && now >= bench.looked + self.config.ladder.anchor_ms
        {
            // The record may have been restored meanwhile.
            (bench.looked, bench.head) = (now, None);
        }
        if lock(&self.bench).as_ref().is_some_and(|b| b.head.is_none()) {
            let Reply::HistoryEnds(_, (number, hash)) = keeper.backend().run(Op::HistoryEnds).await? else {
                return Ok(0);
            };
            let head = Checkpoint { number: unsigned(number), hash };
            let mut bench = lock(&self.bench);
            let Some(bench) = bench.as_mut() else { return Ok(0) };
            // Rows whose answer was lost have landed, or not.
            if let Some(last) = bench.sent.last().filter(|r| r.hash == head.hash) {
                tracing::debug!("rows up to {} had landed", last.number);
                let landed = bench.sent.len();
                bench.pending.drain(..landed.min(bench.pending.len()));
            }
            bench.sent.clear();
            if let Some(known) = bench.decision.anchors.last().filter(|a| a.number > head.number) {
                let was = format!("row {}", known.number);
                bench.note(
                    "",
                    "history",
                    &was,
                    &format!("goes on from row {}: the record was restored", head.number),
                );
            }
            bench.head = Some(head);
        }
        let (after, rows) = {
            let mut bench = lock(&self.bench);
            let Some(bench) = bench.as_mut().filter(|b| b.epoch == lease.epoch()) else { return Ok(0) };
            let over = bench.pending.len().saturating_sub(PENDING_MOST);
            if over > 0 {
                bench.pending.drain(..over);
                bench.note(
                    "",
                    "history",
                    "",
                    &format!("{over} events were dropped: the record took none for too long"),
                );
            }
            let Some(head) = bench.head.clone().filter(|_| !bench.pending.is_empty()) else { return Ok(0) };
            let some: Vec<HistoryEvent> = bench.pending.iter().take(ROWS_AT_ONCE).cloned().collect();
            let rows = chain(&head, unsigned(unix_ms()), lease.epoch(), some);
            bench.sent.clone_from(&rows);
            (head, rows)
        };
        let word = |r: &ChainRow| HistoryRow {
            number: signed(r.number),
            at_ms: signed(r.at_ms),
            epoch: signed(r.epoch),
            instance: r.instance.clone(),
            life: signed(r.life),
            kind: r.kind.clone(),
            was: r.was.clone(),
            now_is: r.now_is.clone(),
            within_ms: signed(r.within_ms),
            told_ms: signed(r.told_ms),
            prev: r.prev.clone(),
            hash: r.hash.clone(),
        };
        let (after, words) = ((signed(after.number), after.hash), rows.iter().map(word).collect());
        let done = worker.effect(lease, FleetWork::AppendHistory { after, rows: words }).await;
        let mut bench = lock(&self.bench);
        let Some(bench) = bench.as_mut().filter(|b| b.epoch == lease.epoch()) else { return Ok(0) };
        match done {
            Ok(_) => {
                bench.head = rows.last().map(|r| Checkpoint { number: r.number, hash: r.hash.clone() });
                bench.pending.drain(..rows.len().min(bench.pending.len()));
                bench.sent.clear();
                Ok(rows.len() as u64)
            }
            Err(e) => {
                // Whether they landed is seen when it is read again.
                bench.head = None;
                Err(e)
            }
        }
    }

    async fn retain(&self, now: u64, lease: &Lease, worker: &Worker) -> Result<(), StepError> {
        let due = lock(&self.bench).as_ref().is_some_and(|b| now >= b.retained + RETAIN_MS);
        if !due || self.keeper.is_none() {
            return Ok(());
        }
        let before_ms = unix_ms() - i64::from(self.config.keep_days) * frostvale_record::fleet::DAY_MS;
        worker.effect(lease, FleetWork::RetainHistory { before_ms }).await?;
        if let Some(bench) = lock(&self.bench).as_mut() {
            bench.retained = now;
        }
        Ok(())
    }

    /// Ends operators' words whose time is over.
    async fn expire(&self, whole: &AgreedState) {
        let at_ms = unsigned(unix_ms());
        let over =
            whole.owner.intents.get(AUDIT_DUTY).into_iter().flatten().filter(|(_, i)| i.until_ms <= at_ms);
        for (key, _) in over {
            let (duty, key, by) = (AUDIT_DUTY.to_string(), key.clone(), "its expiry".to_string());
            let _ = self.council.propose(Command::Withdraw { duty, key, by, at_ms }, ASK).await;
        }
    }

    // ---- to gatekeepers ----

    /// Gatekeepers are told at once, as one of them is new or behind.
    pub(crate) fn force_push(&self) {
        lock(&self.pushed).last = None;
    }

    /// Tells gatekeepers what stands, or that it still does; only while this agent's own word holds.
    pub(crate) fn push_to_gatekeepers(&self, whole: &AgreedState, holds: bool, links: &[Link]) {
        let Some(decided) = whole.owner.decisions.get(AUDIT_DUTY).filter(|_| holds) else { return };
        let now = self.clock.now();
        let mut pushed = lock(&self.pushed);
        if (pushed.version, pushed.epoch) != (decided.version, decided.epoch) {
            let word = self.word(decided);
            *pushed = Pushed { version: decided.version, epoch: decided.epoch, last: None, word };
        }
        if pushed.last.is_some_and(|at| now < at + self.config.renew_ms) {
            return;
        }
        pushed.last = Some(now);
        if let Some(word) = &pushed.word {
            links.iter().for_each(|link| link.send_fenced_off(word.clone()));
        }
    }

    fn word(&self, decided: &StandingDecision) -> Option<Shut> {
        let decision: Decision = serde_json::from_str(&decided.body).ok()?;
        if let Err(why) = decision.check() {
            let version = decided.version;
            tracing::warn!(version, reason = why, "audit: version {version} can't be acted on: {why}");
            return None;
        }
        let one = |o: frostvale_audit::FencedOffInstance| ShutOne { instance: o.instance, me: o.me };
        Some(Shut {
            fence: Some(Fence {
                duty: AUDIT_DUTY.into(),
                epoch: decided.epoch,
                owner: decided.owner.clone(),
            }),
            version: decided.version,
            hold_ms: self.config.hold_ms,
            retry_ms: decision.retry_ms,
            out: decision.out.into_iter().map(one).collect(),
        })
    }

    // ---- for operators ----

    /// What the owner goes by, at the owner.
    ///
    /// # Errors
    /// When this agent is not the owner.
    pub fn view(&self, look: &AuditLook) -> Result<AuditView, String> {
        if look.fleet != self.fleet {
            return Err("fleet: not this one's".into());
        }
        let now = self.clock.now();
        let bench = lock(&self.bench);
        let stale_ms = self.config.ladder.stale_ms;
        let Some(bench) = bench.as_ref().filter(|b| now.saturating_sub(b.at) <= stale_ms) else {
            return Err("this agent does not own the audit".into());
        };
        let stragglers: BTreeMap<&String, _> = bench.ladder.stragglers().collect();
        let instance = |(name, k): (&String, &frostvale_audit::applied_version_table::InstanceStatus)| {
            let straggler = stragglers.get(name);
            let acting = |(kind, v): (&String, &Version)| Acting {
                kind: kind.clone(),
                revision: v.revision,
                digest: v.digest.clone(),
            };
            let step = |s: EscalationStep| match s {
                EscalationStep::Waiting => "waits",
                EscalationStep::Notified => "told",
                EscalationStep::SnapshotSent => "sent",
                EscalationStep::FenceOff => "over",
            };
            Instance {
                name: name.clone(),
                agent: k.agent.clone(),
                zone: k.applied.zone.clone(),
                life: k.applied.life,
                me: k.applied.me,
                age_ms: now.saturating_sub(k.last_report_at),
                heard: !k.is_silent,
                versions: k.applied.versions.iter().map(acting).collect(),
                behind: straggler.map_or_else(|| bench.not_judged(name), |s| s.why.clone()),
                step: straggler.map_or(String::new(), |s| step(s.step).to_string()),
                out: bench.decision.is_fenced_off(name),
            }
        };
        let wanted = |(kind, w): (&String, &TargetRevision)| Wanted {
            kind: kind.clone(),
            revision: w.revision,
            digest: match &w.digest {
                ExpectedDigest::Majority(digest) => digest.clone(),
                ExpectedDigest::NotCompared | ExpectedDigest::Undecided => String::new(),
            },
            age_ms: now.saturating_sub(w.since),
        };
        Ok(AuditView {
            instances: bench.book.instances().map(instance).collect(),
            heard: bench.book.counts().accepted,
            refused: bench.book.counts().rejected,
            alarms: bench.alarms.iter().map(|(name, why)| format!("{name}: {why}")).collect(),
            wanted: bench.wanted.iter().map(wanted).collect(),
        })
    }

    async fn look(&self, whole: &AgreedState) -> Result<AuditView, String> {
        let look = AuditLook { fleet: self.fleet.clone() };
        let owner = whole.owner.duties.get(AUDIT_DUTY).and_then(|d| d.owner.clone());
        let owner = owner.ok_or("nobody owns the audit at present")?;
        if owner.agent == self.name {
            return self.view(&look);
        }
        let mut client = self.way(&owner.agent)?;
        let said = timeout(ASK, client.look_at_audit(look)).await;
        let said = said.map_err(|_| format!("{owner}, which owns the audit, does not answer"))?;
        said.map(tonic::Response::into_inner).map_err(|e| e.message().to_string())
    }

    /// All that operators see.
    pub async fn response(&self, whole: &AgreedState, current: bool) -> AuditResponse {
        let stands = whole.owner.decisions.get(AUDIT_DUTY).cloned().unwrap_or_default();
        let intent = |(instance, i): (&String, &OperatorOverride)| AuditIntent {
            instance: instance.clone(),
            what: i.body.clone(),
            by: i.by.clone(),
            why: i.why.clone(),
            until_ms: i.until_ms,
        };
        AuditResponse {
            version: stands.version,
            epoch: stands.epoch,
            owner: stands.owner,
            at_ms: stands.at_ms,
            current,
            decision: stands.body,
            view: self.look(whole).await.ok(),
            intents: whole.owner.intents.get(AUDIT_DUTY).into_iter().flatten().map(intent).collect(),
        }
    }

    /// What an operator wants, as the council takes it.
    ///
    /// # Errors
    /// With why it is refused.
    pub async fn operator_change(&self, asked: AuditChange) -> Result<(Command, String), String> {
        let at_ms = unsigned(unix_ms());
        let what = asked.what();
        let AuditChange { instance, by, why, until_ms, .. } = asked;
        let (duty, key) = (AUDIT_DUTY.to_string(), instance.clone());
        let body = match what {
            What::Clear => {
                let text = format!("nothing is said of {instance} by hand any more");
                return Ok((Command::Withdraw { duty, key, by, at_ms }, text));
            }
            What::Out => OUT,
            What::In => IN,
            What::None => return Err("what: out, in or clear".into()),
        };
        if until_ms <= at_ms || until_ms > at_ms + WISH_MOST_MS {
            return Err("until: a time to come, within 31 days".into());
        }
        let whole = self.council.watch().borrow().clone();
        let view = self.look(&whole).await?;
        if !view.instances.iter().any(|i| i.name == instance) {
            return Err(format!("instance: there is no gatekeeper {instance:?}"));
        }
        let text = match what {
            What::Out => format!(
                "{instance} is to be shut out, as far as the floors allow; see frostctl stragglers list"
            ),
            _ => format!("{instance} is kept in, whatever it acts on"),
        };
        let intent = OperatorOverride { body: body.into(), by, why, until_ms, at_ms };
        Ok((Command::Intend { duty, key, intent }, text))
    }

    /// Rows of the history, by number.
    ///
    /// # Errors
    /// When there is no record, or it can't be read.
    pub async fn history(&self, asked: &HistoryRequest) -> Result<HistoryResponse, String> {
        let keeper = self.keeper.as_ref().ok_or("this agent keeps no record, and so no history")?;
        let most = i64::from(asked.most.clamp(1, HISTORY_MOST));
        let op = Op::History { after: signed(asked.after), limit: most };
        let reply = keeper.backend().run(op).await.map_err(|e| e.to_string())?;
        let Reply::History(rows, (number, hash)) = reply else {
            return Err("the record answered something else".into());
        };
        let row = |r: HistoryRow| ChainRow {
            number: unsigned(r.number),
            at_ms: unsigned(r.at_ms),
            epoch: unsigned(r.epoch),
            instance: r.instance,
            life: unsigned(r.life),
            kind: r.kind,
            was: r.was,
            now_is: r.now_is,
            within_ms: unsigned(r.within_ms),
            told_ms: unsigned(r.told_ms),
            prev: r.prev,
            hash: r.hash,
        };
        let rows = rows.into_iter().map(|r| serde_json::to_string(&row(r)).unwrap_or_default()).collect();
        let base = serde_json::to_string(&Checkpoint { number: unsigned(number), hash }).unwrap_or_default();
        Ok(HistoryResponse { rows, base })
    }

    /// Units by the revision of plans that they were decided under.
    ///
    /// # Errors
    /// When there is no record, or it can't be read.
    pub async fn use_by_revision(&self) -> Result<UseByRevisionResponse, String> {
        let keeper = self.keeper.as_ref().ok_or("this agent keeps no record, and so no use")?;
        let reply = keeper.backend().run(Op::UseByRevision).await.map_err(|e| e.to_string())?;
        let Reply::Revisions(rows) = reply else { return Err("the record answered something else".into()) };
        let row = |r: frostvale_record::model::RevisionUse| RevisionUse {
            instance: r.instance,
            life: unsigned(r.epoch_ms),
            revision: unsigned(r.revision),
            passed_milli: unsigned(r.passed_milli),
            refused_milli: unsigned(r.refused_milli),
            from_ms: unsigned(r.from_ms),
            to_ms: unsigned(r.to_ms),
        };
        Ok(UseByRevisionResponse { rows: rows.into_iter().map(row).collect() })
    }
}

fn by_hand(whole: &AgreedState) -> BTreeMap<String, InstanceOverride> {
    let of = |(instance, i): (&String, &OperatorOverride)| {
        let hand = match i.body.as_str() {
            OUT => InstanceOverride::FenceOff { why: format!("by {}: {}", i.by, i.why) },
            _ => InstanceOverride::KeepInService,
        };
        (instance.clone(), hand)
    };
    whole.owner.intents.get(AUDIT_DUTY).into_iter().flatten().map(of).collect()
}
