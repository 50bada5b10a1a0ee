//! The `audit` duty: compares the versions that gatekeepers apply with those that are wanted.
//!
//! Every agent reports what the gatekeepers of its host apply (plans, zone decisions, epochs) to the agent
//! that owns the duty. The owner keeps the table of applied versions, appends events to the hash-chained
//! history, requests a resend for gatekeepers that lag behind and decides which ones are fenced off. Every
//! agent pushes the decision in force to its own gatekeepers. The rules of the decision are in
//! `frostvale-audit`.

use crate::clock::{Clock, unix_ms};
use crate::config;
use crate::council::{CouncilSeat, MemberChannels};
use crate::duties::{StepDone, StepError, Worker};
use crate::record::RecordKeeper;
use crate::zones::ZONES_DUTY;
use frostvale_audit::applied_version_table::DelayTracker;
use frostvale_audit::applied_versions::{KIND_EPOCH_PREFIX, KIND_PLANS};
use frostvale_audit::escalation::{EscalationStep, ExpectedDigest, InstanceOverride, TargetRevision};
use frostvale_audit::hash_chain::{ChainRow, Checkpoint, append as append_rows};
use frostvale_audit::{
    Action, AppliedVersionTable, AppliedVersions, Decision, Escalation, HistoryEvent, Version,
};
use frostvale_council::{AgreedState, Council};
use frostvale_link::agent::Link;
use frostvale_link::proto::{Acts as ActsMessage, Fence, Shut, ShutOne, Welcome};
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

/// Name of the duty.
pub const AUDIT_DUTY: &str = "audit";
/// Interval between two steps of the owner.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a call to the owner and of a proposal to the consensus group.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest body of one evidence message, in bytes.
const MAX_EVIDENCE_BYTES: usize = 256 * 1024;
/// Most gatekeepers in one evidence message.
const MAX_GATEKEEPERS: usize = 256;
/// Most sets of gatekeepers in one evidence message.
const MAX_SETS: usize = 256;
/// Most events that wait for the record. Beyond it the oldest are dropped, and a history row gives their
/// number.
const MAX_PENDING_EVENTS: usize = 20_000;
/// Most history rows that one step appends.
const MAX_ROWS_PER_STEP: usize = 500;
/// Most history rows in one response.
const MAX_HISTORY_ROWS: u32 = 2000;
/// Longest time that an operator's override may hold, in ms.
const MAX_OVERRIDE_MS: u64 = 31 * 86_400_000;
/// Most alarms that are kept and shown.
const MAX_ALARMS: usize = 64;
/// Interval at which old history rows are removed, in ms.
const RETENTION_INTERVAL_MS: u64 = 60_000;
/// Body of the override that fences a gatekeeper off.
const OUT: &str = "out";
/// Body of the override that keeps a gatekeeper in service.
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

/// Body of the evidence message that an agent sends to the owner, as JSON.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EvidenceBody {
    agent: String,
    life: u64,
    /// The versions that each gatekeeper applies, and the age of its report in ms.
    #[serde(rename = "words")]
    reports: Vec<(AppliedVersions, u64)>,
    /// Sets of gatekeepers that this agent has seen shops use.
    sets: BTreeSet<(u32, u32)>,
}

/// State of the owner during one epoch of the duty.
struct OwnerState {
    epoch: u64,
    owner: String,
    /// Time of the last step, by the monotonic clock.
    last_step_at: u64,
    table: AppliedVersionTable,
    escalation: Escalation,
    delays: DelayTracker,
    /// Wanted revision of each kind.
    targets: BTreeMap<String, TargetRevision>,
    /// Sets of gatekeepers, by the agent that reported them.
    sets: BTreeMap<String, BTreeSet<(u32, u32)>>,
    /// Events that are not yet in the history.
    pending: Vec<HistoryEvent>,
    /// Last row of the history; `None` until it is read from the record.
    head: Option<Checkpoint>,
    /// Rows that were sent to the record and have not been confirmed.
    unconfirmed_rows: Vec<ChainRow>,
    decision: Decision,
    /// Time of the last checkpoint in a decision.
    checkpointed_at: u64,
    /// Time at which `head` was last discarded so that it is read again.
    head_reset_at: u64,
    /// Time at which old history rows were last removed.
    trimmed_at: u64,
    /// Reason of the current alarm of each gatekeeper.
    alarms: BTreeMap<String, String>,
    /// Requests that the next evidence response carries, by agent: the gatekeepers to be notified again, and
    /// those to be sent a full snapshot.
    resends: BTreeMap<String, (BTreeSet<String>, BTreeSet<String>)>,
    /// Set while a proposed decision is unconfirmed (in progress, refused, or its response lost): the number
    /// of events that were pending before it.
    events_before_proposal: Option<usize>,
}

impl OwnerState {
    fn new(s: frostvale_audit::Settings, lease: &Lease, decision_body: &str, now: u64) -> OwnerState {
        let decision: Decision = serde_json::from_str(decision_body).unwrap_or_default();
        let mut table = AppliedVersionTable::new(s);
        table.resume(now, &decision.roster);
        // It is not known whether the previous owner recorded these fence-offs in the history, so they are
        // recorded again under this epoch.
        let fenced_off = decision.out.clone();
        let mut state = OwnerState {
            epoch: lease.epoch(),
            owner: lease.owner().to_string(),
            last_step_at: now,
            table,
            escalation: Escalation::new(s),
            delays: DelayTracker::default(),
            targets: BTreeMap::new(),
            sets: BTreeMap::new(),
            pending: Vec::new(),
            head: None,
            unconfirmed_rows: Vec::new(),
            decision,
            checkpointed_at: now,
            head_reset_at: now,
            trimmed_at: 0,
            alarms: BTreeMap::new(),
            resends: BTreeMap::new(),
            events_before_proposal: None,
        };
        for out in fenced_off {
            state.record_event(&out.instance, "out", "", &out.why);
        }
        state
    }

    /// Continues from the decision in force after a proposal whose result is unknown. Recorded events stay,
    /// except the fence-offs and readmissions of a decision that did not take effect: they are decided again.
    fn resolve_proposal(&mut self, decision_body: &str) {
        let Some(before) = self.events_before_proposal.take() else { return };
        let standing: Decision = serde_json::from_str(decision_body).unwrap_or_default();
        if standing.out != self.decision.out {
            let recent_events = self.pending.split_off(before.min(self.pending.len()));
            self.pending.extend(recent_events.into_iter().filter(|event| event.kind != "out"));
        }
        self.decision = standing;
    }

    /// Reason for which an instance is fenced off while its state is undecided; empty for all other
    /// instances.
    fn undecided_reason(&self, instance: &str) -> String {
        let out = self.decision.out.iter().find(|o| o.instance == instance);
        out.filter(|_| self.escalation.is_undecided(instance)).map_or(String::new(), |o| o.why.clone())
    }

    /// Adds an event to those that wait for the history.
    fn record_event(&mut self, instance: &str, kind: &str, was: &str, now_is: &str) {
        let life = self.table.get(instance).map_or(0, |k| k.applied.life);
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

    /// Updates the wanted revision of each kind, and the digest of the plans that the majority reports.
    fn update_targets(&mut self, now: u64, plans: Option<u64>, agreed: &AgreedState) {
        let mut all = BTreeMap::new();
        if let Some(revision) = plans {
            all.insert(KIND_PLANS.to_string(), revision);
        }
        if let Some(decided) = agreed.owner.decisions.get(ZONES_DUTY) {
            all.insert(ZONES_DUTY.to_string(), decided.version);
        }
        for duty in crate::council::FOR_GATEKEEPERS {
            if let Some(duty_now) = agreed.owner.duties.get(duty).filter(|d| d.epoch > 0) {
                all.insert(format!("{KIND_EPOCH_PREFIX}{duty}"), duty_now.epoch);
            }
        }
        for (kind, revision) in all {
            let was = self.targets.get(&kind).map(|w| w.revision);
            if was.is_none_or(|was| revision > was) {
                let previous = was.map_or(String::new(), |w| w.to_string());
                self.record_event("", &format!("wanted.{kind}"), &previous, &revision.to_string());
                self.targets.insert(
                    kind,
                    TargetRevision { revision, digest: ExpectedDigest::NotCompared, since: now },
                );
            }
        }
        if let Some(plans) = self.targets.get_mut(KIND_PLANS) {
            plans.digest = self
                .table
                .majority_digest(KIND_PLANS, plans.revision, |name| self.decision.is_fenced_off(name));
        }
    }

    /// Advances the table and the escalation. Returns whether the decision changed and has to be proposed.
    fn evaluate(
        &mut self,
        now: u64,
        at_ms: u64,
        s: &frostvale_audit::Settings,
        overrides: &BTreeMap<String, InstanceOverride>,
    ) -> bool {
        let decision = std::mem::take(&mut self.decision);
        let silent = self.table.tick(now, |name| decision.is_fenced_off(name));
        self.pending.extend(silent);
        self.decision = decision;
        let sets: BTreeSet<(u32, u32)> = self.sets.values().flatten().copied().collect();
        let actions =
            self.escalation.tick(now, at_ms, &self.table, &self.targets, (&sets, overrides), &self.decision);
        let before = (self.decision.out.clone(), self.decision.roster.clone(), self.decision.retry_ms);
        self.alarms.retain(|name, _| {
            self.escalation.stragglers().any(|(n, _)| n == name) || overrides.contains_key(name)
        });
        for action in actions {
            match action {
                Action::Notify(name) => self.request_resend(&name, false),
                Action::SendSnapshot(name) => self.request_resend(&name, true),
                Action::FenceOff(out) => {
                    tracing::warn!(
                        instance = out.instance,
                        reason = out.why,
                        "fence off gatekeeper {}: {}",
                        out.instance,
                        out.why
                    );
                    self.alarms.remove(&out.instance);
                    self.record_event(&out.instance.clone(), "out", "in", &out.why);
                    self.decision.out.push(out);
                }
                Action::Readmit(name) => {
                    tracing::info!(instance = name, "readmit gatekeeper {name}");
                    self.record_event(&name, "out", "out", "in");
                    self.decision.out.retain(|o| o.instance != name);
                }
                Action::RaiseAlarm(name, why) => {
                    if self.alarms.get(&name) != Some(&why) && self.alarms.len() < MAX_ALARMS {
                        tracing::error!(
                            instance = name,
                            reason = why,
                            "cannot fence off gatekeeper {name}: {why}"
                        );
                        self.record_event(&name, "alarm", "", &why);
                        self.alarms.insert(name, why);
                    }
                }
            }
        }
        self.decision.retry_ms = s.retry_ms;
        self.decision.roster = self.table.roster();
        if let Some(head) = self.head.clone().filter(|_| now >= self.checkpointed_at + s.anchor_ms)
            && head.number > self.decision.anchors.last().map_or(0, |a| a.number)
        {
            self.checkpointed_at = now;
            self.decision.add_checkpoint(head);
            return true;
        }
        before != (self.decision.out.clone(), self.decision.roster.clone(), self.decision.retry_ms)
    }

    /// Adds a request to the agent of `instance`: a full snapshot if `all` is set, or else a notification.
    fn request_resend(&mut self, instance: &str, all: bool) {
        let Some(known) = self.table.get(instance) else { return };
        let (agent, step) = (known.agent.clone(), if all { "sent all anew" } else { "told again" });
        tracing::info!(instance, "gatekeeper {instance} lags behind: it is {step}");
        self.record_event(instance, "told", "", step);
        let resends = self.resends.entry(agent).or_default();
        if all {
            resends.1.insert(instance.into())
        } else {
            resends.0.insert(instance.into())
        };
    }
}

/// Returns the sets of gatekeepers that this agent has seen shops use.
type SetsFn = dyn Fn() -> BTreeSet<(u32, u32)> + Send + Sync;

/// The fence-off message that was last pushed to the gatekeepers of this host.
#[derive(Default)]
struct Pushed {
    version: u64,
    epoch: u64,
    /// Time of the last push; `None` makes the next push due at once.
    last_push_at: Option<u64>,
    /// `None` where the decision could not be read.
    message: Option<Shut>,
}

/// The audit on one agent: reports of its gatekeepers, the owner's state while it owns the duty, and the
/// pushes.
pub struct Audit {
    config: config::Audit,
    name: String,
    fleet: String,
    life: u64,
    clock: Clock,
    council: Arc<Council>,
    channels: Arc<MemberChannels>,
    keeper: Option<Arc<RecordKeeper>>,
    /// Last report of each gatekeeper of this host, and when it arrived.
    reported: Mutex<BTreeMap<String, (u64, AppliedVersions)>>,
    links: OnceLock<Vec<(String, Link)>>,
    sets: OnceLock<Box<SetsFn>>,
    owner_state: Mutex<Option<OwnerState>>,
    pushed: Mutex<Pushed>,
}

impl Audit {
    /// Creates the audit of this agent; `keeper` is `None` without a record.
    pub(crate) fn new(
        config: config::Audit,
        name: &str,
        fleet: &str,
        clock: Clock,
        council: Arc<Council>,
        channels: Arc<MemberChannels>,
        keeper: Option<Arc<RecordKeeper>>,
    ) -> Audit {
        Audit {
            config,
            name: name.to_string(),
            fleet: fleet.to_string(),
            life: unsigned(unix_ms()),
            clock,
            council,
            channels,
            keeper,
            reported: Mutex::default(),
            links: OnceLock::new(),
            sets: OnceLock::new(),
            owner_state: Mutex::default(),
            pushed: Mutex::default(),
        }
    }

    /// Sets the links to the gatekeepers of this host and the source of the seen sets. Only the first
    /// call counts.
    pub(crate) fn set_links(
        &self,
        links: Vec<(String, Link)>,
        sets: impl Fn() -> BTreeSet<(u32, u32)> + Send + Sync + 'static,
    ) {
        let _ = self.links.set(links);
        let _ = self.sets.set(Box::new(sets));
    }

    // ---- evidence ----

    /// Stores the versions that a gatekeeper of this host reports; an invalid report is logged and dropped.
    pub(crate) fn record_applied_versions(&self, gatekeeper: &str, welcome: &Welcome, report: ActsMessage) {
        let version =
            |a: frostvale_link::proto::Acting| (a.kind, Version { revision: a.revision, digest: a.digest });
        let acts = AppliedVersions {
            instance: gatekeeper.to_string(),
            life: welcome.started_ms,
            number: report.number,
            me: welcome.me,
            gateways: welcome.gateways,
            zone: report.zone,
            at_ms: report.at_ms,
            versions: report.versions.into_iter().map(version).collect(),
        };
        match acts.check() {
            Ok(()) => drop(lock(&self.reported).insert(gatekeeper.to_string(), (self.clock.now(), acts))),
            Err(why) => {
                tracing::warn!(
                    instance = gatekeeper,
                    reason = %why,
                    "reject applied versions of gatekeeper {gatekeeper}: {why}"
                )
            }
        }
    }

    fn link(&self, gatekeeper: &str) -> Option<&Link> {
        self.links.get()?.iter().find(|(name, _)| name == gatekeeper).map(|(_, link)| link)
    }

    /// Task that reports to the owner of the duty every `report_ms` and handles the resends that the owner
    /// requests.
    pub(crate) async fn run_reporting(self: Arc<Self>, seat: Weak<CouncilSeat>) {
        loop {
            sleep(Duration::from_millis(self.config.report_ms)).await;
            let agreed = self.council.watch().borrow().clone();
            let owner = agreed.owner.duties.get(AUDIT_DUTY).and_then(|d| d.owner.clone());
            let Some(owner) = owner else { continue };
            let now = self.clock.now();
            let reports: Vec<(AppliedVersions, u64)> = {
                let mut reported = lock(&self.reported);
                // Outdated reports are dropped, and with them those of gatekeepers that are no longer linked.
                reported.retain(|_, (at, _)| now.saturating_sub(*at) <= self.config.ladder.stale_ms);
                reported
                    .values()
                    .take(MAX_GATEKEEPERS)
                    .map(|(at, a)| (a.clone(), now.saturating_sub(*at)))
                    .collect()
            };
            let sets = self.sets.get().map_or_else(BTreeSet::new, |sets| sets());
            let evidence = EvidenceBody { agent: self.name.clone(), life: self.life, reports, sets };
            let Ok(body) = serde_json::to_vec(&evidence) else { continue };
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
                    self.handle_resends(taken, &seat);
                }
                continue;
            }
            let (audit, seat) = (self.clone(), seat.clone());
            tokio::spawn(async move {
                let Ok(mut client) = audit.client_for(&owner.agent) else { return };
                if let Ok(Ok(taken)) = timeout(CALL_TIMEOUT, client.evidence(message)).await {
                    audit.handle_resends(taken.into_inner(), &seat);
                }
            });
        }
    }

    /// Client of another agent in the consensus group.
    fn client_for(&self, agent: &str) -> Result<CouncilClient<tonic::transport::Channel>, String> {
        let at = self.council.status().members.into_iter().find(|m| m.name == agent).map(|m| m.at);
        let at = at.ok_or_else(|| format!("{agent} is no member of the council"))?;
        Ok(CouncilClient::new(self.channels.channel(&at)?).max_decoding_message_size(4 << 20))
    }

    /// Notifies gatekeepers again of what is in force, or sends them a full snapshot as after a new
    /// connection.
    fn handle_resends(&self, taken: EvidenceTaken, seat: &Weak<CouncilSeat>) {
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

    /// Accepts an evidence message, at the owner, and returns the resends that its agent has to carry out.
    ///
    /// # Errors
    /// If this agent is not the owner that the message names, or the message is too large or malformed.
    pub fn receive_evidence(&self, message: EvidenceMessage) -> Result<EvidenceTaken, String> {
        let EvidenceMessage { fleet, owner, sent_ms, body, .. } = message;
        if fleet != self.fleet {
            return Err("fleet: not this one's".into());
        }
        if body.len() > MAX_EVIDENCE_BYTES {
            return Err(format!("body: {MAX_EVIDENCE_BYTES} bytes at the most"));
        }
        let now = self.clock.now();
        let mut state = lock(&self.owner_state);
        let stale_ms = self.config.ladder.stale_ms;
        let Some(state) = state.as_mut().filter(|b| now.saturating_sub(b.last_step_at) <= stale_ms) else {
            return Err("this agent does not own the audit".into());
        };
        if owner != state.owner {
            return Err("owner: another".into());
        }
        let evidence: EvidenceBody = serde_json::from_slice(&body).map_err(|e| format!("body: {e}"))?;
        if evidence.reports.len() > MAX_GATEKEEPERS
            || evidence.sets.len() > MAX_SETS
            || !frostvale_audit::applied_versions::is_name(&evidence.agent)
        {
            return Err(format!(
                "body: a name, {MAX_GATEKEEPERS} gatekeepers and {MAX_SETS} sets at the most"
            ));
        }
        let late = state.delays.delay_ms(now, &evidence.agent, evidence.life, sent_ms);
        let mut refused = String::new();
        for (acts, age) in evidence.reports {
            match state.table.record_report(now, &evidence.agent, acts, age.saturating_add(late)) {
                Ok(events) => state.pending.extend(events),
                Err(why) => refused = why.0,
            }
        }
        state.sets.insert(evidence.agent.clone(), evidence.sets);
        let (tell, snapshot) = state.resends.remove(&evidence.agent).unwrap_or_default();
        Ok(EvidenceTaken {
            refused,
            tell: tell.into_iter().collect(),
            snapshot: snapshot.into_iter().collect(),
        })
    }

    // ---- the duty ----

    /// One step of the owner: proposes a decision if it changed, and appends pending events to the history.
    pub(crate) async fn step(&self, lease: &Lease, worker: &Worker) -> Result<StepDone, StepError> {
        let now = self.clock.now();
        let at_ms = unsigned(unix_ms());
        let agreed = self.council.watch().borrow().clone();
        let in_force = agreed.owner.decisions.get(AUDIT_DUTY).cloned().unwrap_or_default();
        self.withdraw_expired(&agreed).await;
        let overrides = operator_overrides(&agreed);
        let plans = self.keeper.as_ref().and_then(|k| k.current_plans()).map(|p| p.revision);
        let body = {
            let mut state = lock(&self.owner_state);
            if state.as_ref().is_none_or(|b| b.epoch != lease.epoch()) {
                *state = Some(OwnerState::new(self.config.ladder, lease, &in_force.body, now));
            }
            let Some(state) = state.as_mut() else { return Err(StepError::LeaseExpired) };
            state.last_step_at = now;
            state.resolve_proposal(&in_force.body);
            let pending = state.pending.len();
            state.update_targets(now, plans, &agreed);
            let has_changed = state.evaluate(now, at_ms, &self.config.ladder, &overrides);
            let is_former_epoch = in_force.epoch < lease.epoch();
            let should_propose = has_changed || is_former_epoch;
            state.events_before_proposal = should_propose.then_some(pending);
            should_propose.then(|| serde_json::to_string(&state.decision))
        };
        if let Some(body) = body {
            let body = body.map_err(|e| StepError::Failed(e.to_string()))?;
            lease.fence(now)?;
            let (owner, epoch) = (lease.owner().clone(), lease.epoch());
            let duty = AUDIT_DUTY.to_string();
            let decide = Command::Decide { duty, owner, epoch, seen: in_force.version, body, at_ms };
            match self.council.propose(decide, CALL_TIMEOUT).await {
                Ok(Outcome::Decided(version)) => {
                    if let Some(state) = lock(&self.owner_state).as_mut() {
                        state.events_before_proposal = None;
                    }
                    let mut seen = self.council.watch();
                    let there = |w: &Arc<AgreedState>| {
                        w.owner.decisions.get(AUDIT_DUTY).is_some_and(|d| d.version >= version)
                    };
                    let _ = timeout(CALL_TIMEOUT, seen.wait_for(there)).await;
                }
                other => {
                    return Err(StepError::Failed(format!("the decision was not entered: {other:?}")));
                }
            }
        }
        let entered = self.append_history(lease, worker).await?;
        self.trim_history(now, lease, worker).await?;
        Ok(StepDone { note: format!("{entered} rows"), again: STEP_INTERVAL })
    }

    /// Appends pending events to the history, if this agent has a record, and returns the number of rows.
    async fn append_history(&self, lease: &Lease, worker: &Worker) -> Result<u64, StepError> {
        let Some(keeper) = &self.keeper else {
            // Without a record there is no history, only the decision in force.
            if let Some(state) = lock(&self.owner_state).as_mut() {
                state.pending.clear();
            }
            return Ok(0);
        };
        let now = self.clock.now();
        if let Some(state) = lock(&self.owner_state).as_mut()
            && now >= state.head_reset_at + self.config.ladder.anchor_ms
        {
            // The record may have been restored from a backup since, so the end of the history is read again.
            (state.head_reset_at, state.head) = (now, None);
        }
        if lock(&self.owner_state).as_ref().is_some_and(|b| b.head.is_none()) {
            let Reply::HistoryEnds(_, (number, hash)) = keeper.backend().run(Op::HistoryEnds).await? else {
                return Ok(0);
            };
            let head = Checkpoint { number: unsigned(number), hash };
            let mut state = lock(&self.owner_state);
            let Some(state) = state.as_mut() else { return Ok(0) };
            // Unconfirmed rows whose response was lost may have been appended.
            if let Some(last) = state.unconfirmed_rows.last().filter(|r| r.hash == head.hash) {
                tracing::debug!("history rows up to {} were already appended", last.number);
                let landed = state.unconfirmed_rows.len();
                state.pending.drain(..landed.min(state.pending.len()));
            }
            state.unconfirmed_rows.clear();
            if let Some(known) = state.decision.anchors.last().filter(|a| a.number > head.number) {
                let was = format!("row {}", known.number);
                state.record_event(
                    "",
                    "history",
                    &was,
                    &format!("goes on from row {}: the record was restored", head.number),
                );
            }
            state.head = Some(head);
        }
        let (after, rows) = {
            let mut state = lock(&self.owner_state);
            let Some(state) = state.as_mut().filter(|b| b.epoch == lease.epoch()) else { return Ok(0) };
            let excess = state.pending.len().saturating_sub(MAX_PENDING_EVENTS);
            if excess > 0 {
                state.pending.drain(..excess);
                state.record_event(
                    "",
                    "history",
                    "",
                    &format!("{excess} events were dropped: the record took none for too long"),
                );
            }
            let Some(head) = state.head.clone().filter(|_| !state.pending.is_empty()) else { return Ok(0) };
            let batch: Vec<HistoryEvent> = state.pending.iter().take(MAX_ROWS_PER_STEP).cloned().collect();
            let rows = append_rows(&head, unsigned(unix_ms()), lease.epoch(), batch);
            state.unconfirmed_rows.clone_from(&rows);
            (head, rows)
        };
        let history_row = |r: &ChainRow| HistoryRow {
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
        let (after, rows_to_append) =
            ((signed(after.number), after.hash), rows.iter().map(history_row).collect());
        let done = worker.effect(lease, FleetWork::AppendHistory { after, rows: rows_to_append }).await;
        let mut state = lock(&self.owner_state);
        let Some(state) = state.as_mut().filter(|b| b.epoch == lease.epoch()) else { return Ok(0) };
        match done {
            Ok(_) => {
                state.head = rows.last().map(|r| Checkpoint { number: r.number, hash: r.hash.clone() });
                state.pending.drain(..rows.len().min(state.pending.len()));
                state.unconfirmed_rows.clear();
                Ok(rows.len() as u64)
            }
            Err(e) => {
                // Whether the rows were appended shows when the end of the history is read again.
                state.head = None;
                Err(e)
            }
        }
    }

    /// Removes history rows older than `keep_days`, every [`RETENTION_INTERVAL_MS`].
    async fn trim_history(&self, now: u64, lease: &Lease, worker: &Worker) -> Result<(), StepError> {
        let due =
            lock(&self.owner_state).as_ref().is_some_and(|b| now >= b.trimmed_at + RETENTION_INTERVAL_MS);
        if !due || self.keeper.is_none() {
            return Ok(());
        }
        let before_ms = unix_ms() - i64::from(self.config.keep_days) * frostvale_record::fleet::DAY_MS;
        worker.effect(lease, FleetWork::RetainHistory { before_ms }).await?;
        if let Some(state) = lock(&self.owner_state).as_mut() {
            state.trimmed_at = now;
        }
        Ok(())
    }

    /// Withdraws operators' overrides that have expired.
    async fn withdraw_expired(&self, agreed: &AgreedState) {
        let at_ms = unsigned(unix_ms());
        let expired =
            agreed.owner.intents.get(AUDIT_DUTY).into_iter().flatten().filter(|(_, i)| i.until_ms <= at_ms);
        for (key, _) in expired {
            let (duty, key, by) = (AUDIT_DUTY.to_string(), key.clone(), "its expiry".to_string());
            let _ = self.council.propose(Command::Withdraw { duty, key, by, at_ms }, CALL_TIMEOUT).await;
        }
    }

    // ---- to gatekeepers ----

    /// Makes the next push due at once, because a gatekeeper is new or lags behind.
    pub(crate) fn force_push(&self) {
        lock(&self.pushed).last_push_at = None;
    }

    /// Pushes the decision in force to the gatekeepers when it changed, and renews it every `renew_ms`. Does
    /// nothing unless `holds` is set, which is while this agent's session holds.
    pub(crate) fn push_to_gatekeepers(&self, agreed: &AgreedState, holds: bool, links: &[Link]) {
        let Some(decided) = agreed.owner.decisions.get(AUDIT_DUTY).filter(|_| holds) else { return };
        let now = self.clock.now();
        let mut pushed = lock(&self.pushed);
        if (pushed.version, pushed.epoch) != (decided.version, decided.epoch) {
            let message = self.fence_off_message(decided);
            *pushed = Pushed { version: decided.version, epoch: decided.epoch, last_push_at: None, message };
        }
        if pushed.last_push_at.is_some_and(|at| now < at + self.config.renew_ms) {
            return;
        }
        pushed.last_push_at = Some(now);
        if let Some(message) = &pushed.message {
            links.iter().for_each(|link| link.send_fenced_off(message.clone()));
        }
    }

    /// Builds the fence-off message of a decision; `None` if the decision is invalid.
    fn fence_off_message(&self, decided: &StandingDecision) -> Option<Shut> {
        let decision: Decision = serde_json::from_str(&decided.body).ok()?;
        if let Err(why) = decision.check() {
            let version = decided.version;
            tracing::warn!(version, reason = why, "reject audit decision, version {version}: {why}");
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

    /// Returns the state that the owner decides from.
    ///
    /// # Errors
    /// If the fleet is another one, or this agent is not the owner.
    pub fn view(&self, look: &AuditLook) -> Result<AuditView, String> {
        if look.fleet != self.fleet {
            return Err("fleet: not this one's".into());
        }
        let now = self.clock.now();
        let state = lock(&self.owner_state);
        let stale_ms = self.config.ladder.stale_ms;
        let Some(state) = state.as_ref().filter(|b| now.saturating_sub(b.last_step_at) <= stale_ms) else {
            return Err("this agent does not own the audit".into());
        };
        let stragglers: BTreeMap<&String, _> = state.escalation.stragglers().collect();
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
                behind: straggler.map_or_else(|| state.undecided_reason(name), |s| s.why.clone()),
                step: straggler.map_or(String::new(), |s| step(s.step).to_string()),
                out: state.decision.is_fenced_off(name),
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
            instances: state.table.instances().map(instance).collect(),
            heard: state.table.counts().accepted,
            refused: state.table.counts().rejected,
            alarms: state.alarms.iter().map(|(name, why)| format!("{name}: {why}")).collect(),
            wanted: state.targets.iter().map(wanted).collect(),
        })
    }

    /// Requests the view from the owner of the duty.
    async fn query_owner(&self, agreed: &AgreedState) -> Result<AuditView, String> {
        let look = AuditLook { fleet: self.fleet.clone() };
        let owner = agreed.owner.duties.get(AUDIT_DUTY).and_then(|d| d.owner.clone());
        let owner = owner.ok_or("nobody owns the audit at present")?;
        if owner.agent == self.name {
            return self.view(&look);
        }
        let mut client = self.client_for(&owner.agent)?;
        let response = timeout(CALL_TIMEOUT, client.look_at_audit(look)).await;
        let response = response.map_err(|_| format!("{owner}, which owns the audit, does not answer"))?;
        response.map(tonic::Response::into_inner).map_err(|e| e.message().to_string())
    }

    /// Builds the response to an operator: the decision in force, the overrides and, if available, the
    /// owner's view.
    pub async fn response(&self, agreed: &AgreedState, current: bool) -> AuditResponse {
        let in_force = agreed.owner.decisions.get(AUDIT_DUTY).cloned().unwrap_or_default();
        let intent = |(instance, i): (&String, &OperatorOverride)| AuditIntent {
            instance: instance.clone(),
            what: i.body.clone(),
            by: i.by.clone(),
            why: i.why.clone(),
            until_ms: i.until_ms,
        };
        AuditResponse {
            version: in_force.version,
            epoch: in_force.epoch,
            owner: in_force.owner,
            at_ms: in_force.at_ms,
            current,
            decision: in_force.body,
            view: self.query_owner(agreed).await.ok(),
            intents: agreed.owner.intents.get(AUDIT_DUTY).into_iter().flatten().map(intent).collect(),
        }
    }

    /// Converts an operator's change into a command for the consensus group and a text that confirms it.
    ///
    /// # Errors
    /// The reason for which the change is refused.
    pub async fn operator_change(&self, request: AuditChange) -> Result<(Command, String), String> {
        let at_ms = unsigned(unix_ms());
        let what = request.what();
        let AuditChange { instance, by, why, until_ms, .. } = request;
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
        if until_ms <= at_ms || until_ms > at_ms + MAX_OVERRIDE_MS {
            return Err("until: a time to come, within 31 days".into());
        }
        let agreed = self.council.watch().borrow().clone();
        let view = self.query_owner(&agreed).await?;
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

    /// Returns the rows of the history after a number, as JSON.
    ///
    /// # Errors
    /// If this agent has no record, or the record cannot be read.
    pub async fn history(&self, request: &HistoryRequest) -> Result<HistoryResponse, String> {
        let keeper = self.keeper.as_ref().ok_or("this agent keeps no record, and so no history")?;
        let limit = i64::from(request.most.clamp(1, MAX_HISTORY_ROWS));
        let op = Op::History { after: signed(request.after), limit };
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

    /// Returns the units that each revision of the plans passed and refused.
    ///
    /// # Errors
    /// If this agent has no record, or the record cannot be read.
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

/// Overrides of operators that are in force, by instance.
fn operator_overrides(agreed: &AgreedState) -> BTreeMap<String, InstanceOverride> {
    let of = |(instance, i): (&String, &OperatorOverride)| {
        let instance_override = match i.body.as_str() {
            OUT => InstanceOverride::FenceOff { why: format!("by {}: {}", i.by, i.why) },
            _ => InstanceOverride::KeepInService,
        };
        (instance.clone(), instance_override)
    };
    agreed.owner.intents.get(AUDIT_DUTY).into_iter().flatten().map(of).collect()
}
