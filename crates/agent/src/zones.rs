//! The `zones` duty: failover between zones, decided once for the whole fleet.
//!
//! Every agent reports the observations of its host's gatekeepers to the agent that owns the duty. The
//! owner's failover controller makes a decision, the consensus group stores it, and every agent pushes the
//! decision in force to its own gatekeepers. The rules of the decision are in `frostvale-zones`.

use crate::clock::{Clock, unix_ms};
use crate::config;
use crate::council::MemberChannels;
use crate::duties::{StepDone, StepError};
use frostvale_council::{AgreedState, Council};
use frostvale_link::agent::Link;
use frostvale_link::proto::{Fence, ZoneRow, ZoneSpill, ZonesGuide, ZonesSeen};
use frostvale_owner::registry::{OperatorOverride, StandingDecision};
use frostvale_owner::{Command, Lease, Outcome};
use frostvale_proto::agent::council_client::CouncilClient;
use frostvale_proto::agent::{
    EvidenceMessage, EvidenceTaken, OwnerChange, ZoneActs, ZoneAgent, ZoneIntent, ZonesChange, ZonesLook,
    ZonesResponse, ZonesView,
};
use frostvale_zones::{AttemptCounts, Decision, Drain, FailoverController, Report, Share, ZoneCapacity};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Name of the duty.
pub const ZONES_DUTY: &str = "zones";
/// Interval between two steps of the owner.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call to the owner and of a proposal to the consensus group.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest body of one evidence message, in bytes.
const MAX_EVIDENCE_BYTES: usize = 256 * 1024;
/// Most agents for which the versions applied by their gatekeepers are kept.
const MAX_AGENTS: usize = 1024;
/// Most gatekeepers of one agent whose applied versions are reported.
const MAX_APPLIED_VERSIONS: usize = 256;
/// Longest time that a drain may hold, in ms.
const MAX_DRAIN_MS: u64 = 31 * 86_400_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Last observation of a gatekeeper.
struct Observation {
    /// When it arrived, by the monotonic clock.
    at: u64,
    seen: ZonesSeen,
}

/// Observations of this host's gatekeepers since the last report.
#[derive(Default)]
struct Observations {
    /// Number of the last report.
    number: u64,
    gatekeepers: BTreeMap<String, Observation>,
    /// Attempts, failed attempts and late ones, by the gatekeeper's zone, the servers' zone and the class.
    sums: BTreeMap<(String, String, u32), [u32; 3]>,
}

/// State of the owner during one epoch of the duty.
struct OwnerState {
    epoch: u64,
    owner: String,
    controller: FailoverController,
    /// Time of the last step, by the monotonic clock.
    last_step_at: u64,
}

/// The decision that was last pushed to the gatekeepers of this host.
#[derive(Default)]
struct Pushed {
    version: u64,
    epoch: u64,
    /// When this agent first saw the decision.
    since: u64,
    /// Time of the last push; `None` makes the next push due at once.
    last_push_at: Option<u64>,
    /// `None` where the decision could not be read.
    guide: Option<ZonesGuide>,
}

/// When the applied versions of an agent's gatekeepers arrived, and the versions.
type ReportedVersions = (u64, Vec<ZoneActs>);

/// Zone failover on one agent: observations of its gatekeepers, the owner's state while it owns the duty, and
/// the pushes.
pub struct Zones {
    config: config::Zones,
    name: String,
    fleet: String,
    life: u64,
    clock: Clock,
    council: Arc<Council>,
    channels: Arc<MemberChannels>,
    observations: Mutex<Observations>,
    owner_state: Mutex<Option<OwnerState>>,
    applied: Mutex<BTreeMap<String, ReportedVersions>>,
    pushed: Mutex<Pushed>,
}

impl Zones {
    /// Creates the zone failover of this agent.
    pub(crate) fn new(
        config: config::Zones,
        name: &str,
        fleet: &str,
        clock: Clock,
        council: Arc<Council>,
        channels: Arc<MemberChannels>,
    ) -> Zones {
        Zones {
            config,
            name: name.to_string(),
            fleet: fleet.to_string(),
            life: u64::try_from(unix_ms()).unwrap_or(0),
            clock,
            council,
            channels,
            observations: Mutex::default(),
            owner_state: Mutex::default(),
            applied: Mutex::default(),
            pushed: Mutex::default(),
        }
    }

    // ---- evidence ----

    /// Stores the observation of a gatekeeper of this host and adds its counts to the next report.
    pub fn record_observation(&self, gatekeeper: &str, seen: ZonesSeen) {
        let now = self.clock.now();
        let mut observations = lock(&self.observations);
        for line in &seen.lines {
            let key = (seen.zone.clone(), line.to.clone(), line.class);
            if observations.sums.len() >= 64 * 64 && !observations.sums.contains_key(&key) {
                continue;
            }
            let sums = observations.sums.entry(key).or_default();
            for (sum, more) in sums.iter_mut().zip([line.attempts, line.bad, line.late]) {
                *sum = sum.saturating_add(more);
            }
        }
        observations.gatekeepers.insert(gatekeeper.to_string(), Observation { at: now, seen });
    }

    /// Takes the next reports, one for each zone of this host's gatekeepers, and the versions that they
    /// apply.
    fn reports(&self) -> (Vec<Report>, Vec<ZoneActs>) {
        let now = self.clock.now();
        let mut observations = lock(&self.observations);
        let stale = self.config.judge.stale_ms;
        observations.gatekeepers.retain(|_, h| now.saturating_sub(h.at) <= stale);
        observations.number += 1;
        let sums = std::mem::take(&mut observations.sums);
        let mut reports_by_zone: BTreeMap<String, Report> = BTreeMap::new();
        let mut acts = Vec::new();
        let has_many_zones = observations
            .gatekeepers
            .values()
            .any(|h| Some(&h.seen.zone) != observations.gatekeepers.values().next().map(|h| &h.seen.zone));
        for (name, Observation { at, seen }) in &observations.gatekeepers {
            let report = reports_by_zone.entry(seen.zone.clone()).or_insert_with(|| Report {
                agent: if has_many_zones {
                    format!("{}@{}", self.name, seen.zone)
                } else {
                    self.name.clone()
                },
                life: self.life,
                number: observations.number,
                zone: seen.zone.clone(),
                gatekeepers: 0,
                need: 0.0,
                lines: Vec::new(),
                places: Vec::new(),
            });
            report.gatekeepers += 1;
            report.need += seen.need_milli as f64 / 1000.0;
            // All gatekeepers are notified of the same servers, so the longest list is used, and the last one
            // of several equally long ones.
            if seen.places.len() >= report.places.len() {
                let place = |p: &frostvale_link::proto::ZonePlace| ZoneCapacity {
                    zone: p.zone.clone(),
                    servers: p.servers,
                    size: p.size_milli as f64 / 1000.0,
                    warm: p.warm_milli as f64 / 1000.0,
                };
                report.places = seen.places.iter().map(place).collect();
            }
            acts.push(ZoneActs {
                gatekeeper: name.clone(),
                agent: self.name.clone(),
                version: seen.version,
                epoch: seen.epoch,
                problem: seen.problem.clone(),
                age_ms: now.saturating_sub(*at),
            });
        }
        for ((from, to, class), [attempts, bad, late]) in sums {
            let Some(report) = reports_by_zone.get_mut(&from) else { continue };
            if !report.places.iter().any(|p| p.zone == to) {
                report.places.push(ZoneCapacity { zone: to.clone(), servers: 0, size: 0.0, warm: 0.0 });
            }
            report.lines.push(AttemptCounts { to, class, attempts, bad, late });
        }
        acts.truncate(MAX_APPLIED_VERSIONS);
        (reports_by_zone.into_values().collect(), acts)
    }

    /// Task that reports to the owner of the duty every `report_ms`.
    pub(crate) async fn run_reporting(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(self.config.report_ms)).await;
            let (reports, acts) = self.reports();
            let agreed = self.council.watch().borrow().clone();
            let owner = agreed.owner.duties.get(ZONES_DUTY).and_then(|d| d.owner.clone());
            let Some(owner) = owner.filter(|_| !reports.is_empty()) else { continue };
            let Ok(body) = serde_json::to_vec(&reports) else { continue };
            let message = EvidenceMessage {
                fleet: self.fleet.clone(),
                duty: ZONES_DUTY.into(),
                owner: owner.to_string(),
                sent_ms: self.clock.now(),
                body,
                acts,
            };
            if owner.agent == self.name {
                let _ = self.receive_evidence(message);
                continue;
            }
            // A report that cannot be sent now is outdated by the next interval: it is not kept, and the next
            // one does not wait for it.
            let zones = self.clone();
            tokio::spawn(async move {
                if let Ok(mut client) = zones.client_for(&owner.agent) {
                    let _ = timeout(CALL_TIMEOUT, client.evidence(message)).await;
                }
            });
        }
    }

    /// Client of another agent in the consensus group.
    fn client_for(&self, agent: &str) -> Result<CouncilClient<tonic::transport::Channel>, String> {
        let members = self.council.status().members;
        let at = members.into_iter().find(|m| m.name == agent).map(|m| m.at);
        let at = at.ok_or_else(|| format!("{agent} is no member of the council"))?;
        Ok(CouncilClient::new(self.channels.channel(&at)?).max_decoding_message_size(4 << 20))
    }

    /// Accepts an evidence message, at the owner.
    ///
    /// # Errors
    /// If this agent is not the owner that the message names, or the message is too large or malformed.
    pub fn receive_evidence(&self, message: EvidenceMessage) -> Result<EvidenceTaken, String> {
        let EvidenceMessage { fleet, duty, owner, sent_ms, body, acts } = message;
        if fleet != self.fleet || duty != ZONES_DUTY {
            return Err("fleet, duty: not this one's".into());
        }
        if body.len() > MAX_EVIDENCE_BYTES || acts.len() > MAX_APPLIED_VERSIONS {
            return Err(format!(
                "body: {MAX_EVIDENCE_BYTES} bytes at the most, acts: {MAX_APPLIED_VERSIONS}"
            ));
        }
        let now = self.clock.now();
        let mut state = lock(&self.owner_state);
        let Some(state) =
            state.as_mut().filter(|b| now.saturating_sub(b.last_step_at) <= self.config.judge.stale_ms)
        else {
            return Err("this agent does not own zones".into());
        };
        if owner != state.owner {
            return Err("owner: another".into());
        }
        let reports: Vec<Report> = serde_json::from_slice(&body).map_err(|e| format!("body: {e}"))?;
        if reports.len() > frostvale_zones::MAX_ZONES {
            return Err("body: too many reports".into());
        }
        let mut refused = String::new();
        for report in reports {
            if let Err(why) = state.controller.record_report(now, sent_ms, report) {
                refused = why.0;
            }
        }
        if let Some(agent) = acts.first().map(|a| a.agent.clone()) {
            let mut all = lock(&self.applied);
            if all.len() < MAX_AGENTS || all.contains_key(&agent) {
                all.insert(agent, (now, acts));
            }
        }
        Ok(EvidenceTaken { refused, ..EvidenceTaken::default() })
    }

    // ---- the duty ----

    /// One step of the owner: updates the drains, advances the controller and proposes its decision if it
    /// changed.
    pub(crate) async fn step(&self, lease: &Lease) -> Result<StepDone, StepError> {
        let now = self.clock.now();
        let agreed = self.council.watch().borrow().clone();
        let in_force = agreed.owner.decisions.get(ZONES_DUTY).cloned().unwrap_or_default();
        self.withdraw_expired(&agreed).await;
        let decision = {
            let mut state = lock(&self.owner_state);
            if state.as_ref().is_none_or(|b| b.epoch != lease.epoch()) {
                let controller = match serde_json::from_str::<Decision>(&in_force.body) {
                    Ok(decision) => FailoverController::resume(self.config.judge, decision, now),
                    Err(_) => FailoverController::new(self.config.judge),
                };
                *state = Some(OwnerState {
                    epoch: lease.epoch(),
                    owner: lease.owner().to_string(),
                    controller,
                    last_step_at: now,
                });
            }
            let Some(state) = state.as_mut() else { return Err(StepError::LeaseExpired) };
            state.last_step_at = now;
            state.controller.set_drains(now, &drains(&agreed));
            state.controller.tick(now)
        };
        let body = match decision {
            Some(decision) => {
                serde_json::to_string(&decision).map_err(|e| StepError::Failed(e.to_string()))?
            }
            // The decision of a former owner stays in force, but is proposed again under this epoch, because
            // from now on gatekeepers refuse the former epoch.
            None if in_force.version > 0 && in_force.epoch < lease.epoch() => in_force.body.clone(),
            None => {
                return Ok(StepDone {
                    note: format!("version {} stands", in_force.version),
                    again: STEP_INTERVAL,
                });
            }
        };
        lease.fence(now)?;
        let owner = lease.owner().clone();
        let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let (duty, epoch, seen) = (ZONES_DUTY.to_string(), lease.epoch(), in_force.version);
        let decide = Command::Decide { duty, owner, epoch, seen, body, at_ms };
        match self.council.propose(decide, CALL_TIMEOUT).await {
            Ok(Outcome::Decided(version)) => {
                tracing::info!(version, epoch, "enter zone decision: version {version}");
                // The next step must start from the new decision.
                let mut seen = self.council.watch();
                let there = |w: &Arc<AgreedState>| {
                    w.owner.decisions.get(ZONES_DUTY).is_some_and(|d| d.version >= version)
                };
                let _ = timeout(CALL_TIMEOUT, seen.wait_for(there)).await;
                Ok(StepDone { note: format!("decided version {version}"), again: STEP_INTERVAL })
            }
            other => {
                // The next step decides again, from the decision that is then in force.
                *lock(&self.owner_state) = None;
                Err(StepError::Failed(format!("the decision was not entered: {other:?}")))
            }
        }
    }

    /// Withdraws drains that have expired.
    async fn withdraw_expired(&self, agreed: &AgreedState) {
        let now_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let expired =
            agreed.owner.intents.get(ZONES_DUTY).into_iter().flatten().filter(|(_, i)| i.until_ms <= now_ms);
        for (key, _) in expired {
            let (duty, key, by) = (ZONES_DUTY.to_string(), key.clone(), "its expiry".to_string());
            let _ =
                self.council.propose(Command::Withdraw { duty, key, by, at_ms: now_ms }, CALL_TIMEOUT).await;
        }
    }

    // ---- to gatekeepers ----

    /// Makes the next push due at once, because a gatekeeper is new.
    pub(crate) fn force_push(&self) {
        lock(&self.pushed).last_push_at = None;
    }

    /// Pushes the decision in force to the gatekeepers when it changed, and renews it every `renew_ms`. Does
    /// nothing unless `holds` is set, which is while this agent's session holds.
    pub(crate) fn push_to_gatekeepers(&self, agreed: &AgreedState, holds: bool, links: &[Link]) {
        let Some(decided) = agreed.owner.decisions.get(ZONES_DUTY).filter(|_| holds) else { return };
        let now = self.clock.now();
        let mut pushed = lock(&self.pushed);
        if (pushed.version, pushed.epoch) != (decided.version, decided.epoch) {
            let guide = self.guide(decided);
            *pushed = Pushed {
                version: decided.version,
                epoch: decided.epoch,
                since: now,
                last_push_at: None,
                guide,
            };
        }
        if pushed.last_push_at.is_some_and(|at| now < at + self.config.renew_ms) {
            return;
        }
        pushed.last_push_at = Some(now);
        if let Some(guide) = &pushed.guide {
            let guide = ZonesGuide { age_ms: now.saturating_sub(pushed.since), ..guide.clone() };
            links.iter().for_each(|link| link.send_zone_decision(guide.clone()));
        }
    }

    /// Builds the message of a decision; `None` if the decision is invalid.
    fn guide(&self, decided: &StandingDecision) -> Option<ZonesGuide> {
        let decision: Decision = serde_json::from_str(&decided.body).ok()?;
        if let Err(why) = decision.check() {
            let version = decided.version;
            tracing::warn!(version, reason = why, "reject zone decision, version {version}: {why}");
            return None;
        }
        let spill = |to: &str, s: Share| ZoneSpill { to: to.into(), start_milli: s.start, end_milli: s.end };
        let row = |r: &frostvale_zones::RoutingRow| ZoneRow {
            from: r.from.clone(),
            near_start_milli: r.near.start,
            near_end_milli: r.near.end,
            spill: r.spill.iter().map(|s| spill(&s.to, s.share)).collect(),
        };
        Some(ZonesGuide {
            fence: Some(Fence {
                duty: ZONES_DUTY.into(),
                epoch: decided.epoch,
                owner: decided.owner.clone(),
            }),
            version: decided.version,
            age_ms: 0,
            ramp_ms: decision.ramp_ms,
            hold_ms: self.config.hold_ms,
            fade_ms: self.config.fade_ms,
            rows: decision.rows.iter().map(row).collect(),
        })
    }

    // ---- for operators ----

    /// Returns the state that the owner decides from, and whether the zone named in `look` can be drained.
    ///
    /// # Errors
    /// If the fleet is another one, or this agent is not the owner.
    pub fn view(&self, look: &ZonesLook) -> Result<ZonesView, String> {
        if look.fleet != self.fleet {
            return Err("fleet: not this one's".into());
        }
        let now = self.clock.now();
        let state = lock(&self.owner_state);
        let Some(state) =
            state.as_ref().filter(|b| now.saturating_sub(b.last_step_at) <= self.config.judge.stale_ms)
        else {
            return Err("this agent does not own zones".into());
        };
        let view = state.controller.view(now);
        let agent = |(name, zone, age_ms, counts)| ZoneAgent { name, zone, age_ms, counts };
        let mut agents: Vec<ZoneAgent> = view.agents.into_iter().map(agent).collect();
        // An agent that has sent no report since this owner took over counts as silent too.
        let members = self.council.status().members.into_iter().map(|m| m.name);
        let silent: Vec<String> = members.filter(|m| agents.iter().all(|a| a.name != *m)).collect();
        agents.extend(silent.into_iter().map(|name| ZoneAgent {
            name,
            age_ms: NEVER_REPORTED_MS,
            ..ZoneAgent::default()
        }));
        let acts = lock(&self.applied);
        let with_current_age = |(at, all): &ReportedVersions| {
            let elapsed = now.saturating_sub(*at);
            all.iter().map(move |a| ZoneActs { age_ms: a.age_ms + elapsed, ..a.clone() }).collect::<Vec<_>>()
        };
        let short = match state.controller.can_drain(now, &look.drain) {
            _ if look.drain.is_empty() => String::new(),
            Ok(()) => String::new(),
            Err(s) => format!(
                "all requests need {:.1} worked on at once, the zones that are left bear {:.1}: {:.1} would be \
                 refused",
                s.demand, s.capacity, s.shortfall
            ),
        };
        Ok(ZonesView {
            agents,
            acts: acts.values().flat_map(with_current_age).collect(),
            heard: view.counts.accepted,
            refused: view.counts.rejected,
            old: view.counts.outdated,
            short,
            known: state.controller.knows_zone(now, &look.drain),
        })
    }

    /// Requests the view from the owner of the duty; `drain` names the zone to check, or is empty.
    async fn query_owner(&self, agreed: &AgreedState, drain: &str) -> Result<ZonesView, String> {
        let look = ZonesLook { fleet: self.fleet.clone(), drain: drain.to_string() };
        let owner = agreed.owner.duties.get(ZONES_DUTY).and_then(|d| d.owner.clone());
        let owner = owner.ok_or("nobody owns zones at present")?;
        if owner.agent == self.name {
            return self.view(&look);
        }
        let mut client = self.client_for(&owner.agent)?;
        let reply = timeout(CALL_TIMEOUT, client.look_at_zones(look)).await;
        let reply = reply.map_err(|_| format!("{owner}, which owns zones, does not answer"))?;
        reply.map(tonic::Response::into_inner).map_err(|e| e.message().to_string())
    }

    /// Builds the response to an operator: the decision in force, the drains, the history and, if available,
    /// the owner's view.
    pub async fn response(&self, agreed: &AgreedState, current: bool) -> ZonesResponse {
        let in_force = agreed.owner.decisions.get(ZONES_DUTY).cloned().unwrap_or_default();
        let intent = |(zone, i): (&String, &OperatorOverride)| ZoneIntent {
            zone: zone.clone(),
            force: i.body == FORCE,
            by: i.by.clone(),
            why: i.why.clone(),
            until_ms: i.until_ms,
            at_ms: i.at_ms,
        };
        let change = |c: &frostvale_owner::registry::OwnershipChange| OwnerChange {
            duty: c.duty.clone(),
            epoch: c.epoch,
            who: c.who.clone(),
            what: c.what.clone(),
            at_ms: c.at_ms,
        };
        ZonesResponse {
            version: in_force.version,
            epoch: in_force.epoch,
            owner: in_force.owner,
            at_ms: in_force.at_ms,
            current,
            decision: in_force.body,
            intents: agreed.owner.intents.get(ZONES_DUTY).into_iter().flatten().map(intent).collect(),
            view: self.query_owner(agreed, "").await.ok(),
            history: agreed.owner.history_of(ZONES_DUTY).map(change).collect(),
        }
    }

    /// Converts an operator's change into a command for the consensus group and a text that confirms it.
    ///
    /// # Errors
    /// The reason for which the change is refused, with the figures if the other zones lack the capacity for
    /// a drain.
    pub async fn operator_change(&self, request: ZonesChange) -> Result<(Command, String), String> {
        let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let ZonesChange { drain, restore, by, why, until_ms, force } = request;
        let duty = ZONES_DUTY.to_string();
        match (drain.is_empty(), restore.is_empty()) {
            (false, true) => {
                if until_ms <= at_ms || until_ms > at_ms + MAX_DRAIN_MS {
                    return Err("until: a time to come, within 31 days".into());
                }
                let agreed = self.council.watch().borrow().clone();
                let view = self.query_owner(&agreed, &drain).await?;
                if !view.known {
                    return Err(format!("zone: there is no zone {drain:?}"));
                }
                if !view.short.is_empty() && !force {
                    return Err(format!(
                        "the others can't bear it: {}; --force drains it all the same",
                        view.short
                    ));
                }
                let cost = if view.short.is_empty() { String::new() } else { format!("; {}", view.short) };
                let text = format!("{drain} is drained{cost}");
                let body = if force { FORCE.to_string() } else { String::new() };
                let intent = OperatorOverride { body, by, why, until_ms, at_ms };
                Ok((Command::Intend { duty, key: drain, intent }, text))
            }
            (true, false) => {
                let text = format!("{restore} is restored");
                Ok((Command::Withdraw { duty, key: restore, by, at_ms }, text))
            }
            _ => Err("drain, restore: one of the two".into()),
        }
    }
}

/// Age of a report that was never received.
const NEVER_REPORTED_MS: u64 = u64::MAX;
/// Body of a drain that holds even if the other zones lack the capacity for it.
const FORCE: &str = "force";

/// Drains that operators have set.
fn drains(agreed: &AgreedState) -> Vec<Drain> {
    let of = |(zone, i): (&String, &OperatorOverride)| Drain { zone: zone.clone(), force: i.body == FORCE };
    agreed.owner.intents.get(ZONES_DUTY).into_iter().flatten().map(of).collect()
}
