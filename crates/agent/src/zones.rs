//! Zones, decided on in common: what this host's gatekeepers saw goes to the owner of the duty, the owner's judge makes a
//! decision, the council enters it, and every agent pushes what stands to its gatekeepers. What is decided,
//! `frostvale-zones` decides.

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

/// The duty.
pub const ZONES_DUTY: &str = "zones";
/// The judge looks this often.
const STEP: Duration = Duration::from_millis(100);
/// The owner is asked for its view, and told evidence, within this time.
const ASK: Duration = Duration::from_millis(800);
/// Evidence in one message at the most, in bytes.
const EVIDENCE_MOST: usize = 256 * 1024;
/// Agents whose gatekeepers' versions are remembered, and gatekeepers of one.
const AGENTS_MOST: usize = 1024;
const ACTS_MOST: usize = 256;
/// The longest drain.
const DRAIN_MOST_MS: u64 = 31 * 86_400_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a gatekeeper said last.
struct Heard {
    at: u64,
    seen: ZonesSeen,
}

/// What this host's gatekeepers said since the last report.
#[derive(Default)]
struct Own {
    number: u64,
    gatekeepers: BTreeMap<String, Heard>,
    /// By their zone, the servers' zone and class.
    sums: BTreeMap<(String, String, u32), [u32; 3]>,
}

/// The judge of one epoch, whose it is, and when it last had its turn.
struct OwnerState {
    epoch: u64,
    owner: String,
    judge: FailoverController,
    at: u64,
}

/// What gatekeepers were last told.
#[derive(Default)]
struct Told {
    version: u64,
    epoch: u64,
    since: u64,
    last: Option<u64>,
    guide: Option<ZonesGuide>,
}

/// What the gatekeepers of an agent act on, and when that was heard.
type Acts = (u64, Vec<ZoneActs>);

/// This agent's part.
pub struct Zones {
    config: config::Zones,
    name: String,
    fleet: String,
    life: u64,
    clock: Clock,
    council: Arc<Council>,
    ways: Arc<MemberChannels>,
    own: Mutex<Own>,
    bench: Mutex<Option<OwnerState>>,
    acts: Mutex<BTreeMap<String, Acts>>,
    told: Mutex<Told>,
}

impl Zones {
    pub(crate) fn new(
        config: config::Zones,
        name: &str,
        fleet: &str,
        clock: Clock,
        council: Arc<Council>,
        ways: Arc<MemberChannels>,
    ) -> Zones {
        Zones {
            config,
            name: name.to_string(),
            fleet: fleet.to_string(),
            life: u64::try_from(unix_ms()).unwrap_or(0),
            clock,
            council,
            ways,
            own: Mutex::default(),
            bench: Mutex::default(),
            acts: Mutex::default(),
            told: Mutex::default(),
        }
    }

    // ---- evidence ----

    /// A gatekeeper of this host tells what it saw.
    pub fn record_observation(&self, gatekeeper: &str, seen: ZonesSeen) {
        let now = self.clock.now();
        let mut own = lock(&self.own);
        for line in &seen.lines {
            let key = (seen.zone.clone(), line.to.clone(), line.class);
            if own.sums.len() >= 64 * 64 && !own.sums.contains_key(&key) {
                continue;
            }
            let sums = own.sums.entry(key).or_default();
            for (sum, more) in sums.iter_mut().zip([line.attempts, line.bad, line.late]) {
                *sum = sum.saturating_add(more);
            }
        }
        own.gatekeepers.insert(gatekeeper.to_string(), Heard { at: now, seen });
    }

    /// What is reported now: for each zone that gatekeepers of this host stand in.
    fn reports(&self) -> (Vec<Report>, Vec<ZoneActs>) {
        let now = self.clock.now();
        let mut own = lock(&self.own);
        let stale = self.config.judge.stale_ms;
        own.gatekeepers.retain(|_, h| now.saturating_sub(h.at) <= stale);
        own.number += 1;
        let sums = std::mem::take(&mut own.sums);
        let mut by: BTreeMap<String, Report> = BTreeMap::new();
        let mut acts = Vec::new();
        let many = own
            .gatekeepers
            .values()
            .any(|h| Some(&h.seen.zone) != own.gatekeepers.values().next().map(|h| &h.seen.zone));
        for (name, Heard { at, seen }) in &own.gatekeepers {
            let report = by.entry(seen.zone.clone()).or_insert_with(|| Report {
                agent: if many { format!("{}@{}", self.name, seen.zone) } else { self.name.clone() },
                life: self.life,
                number: own.number,
                zone: seen.zone.clone(),
                gatekeepers: 0,
                need: 0.0,
                lines: Vec::new(),
                places: Vec::new(),
            });
            report.gatekeepers += 1;
            report.need += seen.need_milli as f64 / 1000.0;
            // All are told of the same servers: the one that was told last of the most is as good as any.
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
            let Some(report) = by.get_mut(&from) else { continue };
            if !report.places.iter().any(|p| p.zone == to) {
                report.places.push(ZoneCapacity { zone: to.clone(), servers: 0, size: 0.0, warm: 0.0 });
            }
            report.lines.push(AttemptCounts { to, class, attempts, bad, late });
        }
        acts.truncate(ACTS_MOST);
        (by.into_values().collect(), acts)
    }

    /// The task that reports to whoever owns the duty.
    pub(crate) async fn run_reporting(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(self.config.report_ms)).await;
            let (reports, acts) = self.reports();
            let whole = self.council.watch().borrow().clone();
            let owner = whole.owner.duties.get(ZONES_DUTY).and_then(|d| d.owner.clone());
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
            // What can't be told now is old by the next time: it is not kept, and the next one does not wait for it.
            let zones = self.clone();
            tokio::spawn(async move {
                if let Ok(mut client) = zones.way(&owner.agent) {
                    let _ = timeout(ASK, client.evidence(message)).await;
                }
            });
        }
    }

    /// The way to an agent of the council.
    fn way(&self, agent: &str) -> Result<CouncilClient<tonic::transport::Channel>, String> {
        let members = self.council.status().members;
        let at = members.into_iter().find(|m| m.name == agent).map(|m| m.at);
        let at = at.ok_or_else(|| format!("{agent} is no member of the council"))?;
        Ok(CouncilClient::new(self.ways.channel(&at)?).max_decoding_message_size(4 << 20))
    }

    /// Evidence comes in, at the owner.
    ///
    /// # Errors
    /// When this agent is not the one that it is for.
    pub fn receive_evidence(&self, message: EvidenceMessage) -> Result<EvidenceTaken, String> {
        let EvidenceMessage { fleet, duty, owner, sent_ms, body, acts } = message;
        if fleet != self.fleet || duty != ZONES_DUTY {
            return Err("fleet, duty: not this one's".into());
        }
        if body.len() > EVIDENCE_MOST || acts.len() > ACTS_MOST {
            return Err(format!("body: {EVIDENCE_MOST} bytes at the most, acts: {ACTS_MOST}"));
        }
        let now = self.clock.now();
        let mut bench = lock(&self.bench);
        let Some(bench) = bench.as_mut().filter(|b| now.saturating_sub(b.at) <= self.config.judge.stale_ms)
        else {
            return Err("this agent does not own zones".into());
        };
        if owner != bench.owner {
            return Err("owner: another".into());
        }
        let reports: Vec<Report> = serde_json::from_slice(&body).map_err(|e| format!("body: {e}"))?;
        if reports.len() > frostvale_zones::MAX_ZONES {
            return Err("body: too many reports".into());
        }
        let mut refused = String::new();
        for report in reports {
            if let Err(why) = bench.judge.record_report(now, sent_ms, report) {
                refused = why.0;
            }
        }
        if let Some(agent) = acts.first().map(|a| a.agent.clone()) {
            let mut all = lock(&self.acts);
            if all.len() < AGENTS_MOST || all.contains_key(&agent) {
                all.insert(agent, (now, acts));
            }
        }
        Ok(EvidenceTaken { refused, ..EvidenceTaken::default() })
    }

    // ---- the duty ----

    /// One look of the owner's, and what comes of it.
    pub(crate) async fn step(&self, lease: &Lease) -> Result<StepDone, StepError> {
        let now = self.clock.now();
        let whole = self.council.watch().borrow().clone();
        let stands = whole.owner.decisions.get(ZONES_DUTY).cloned().unwrap_or_default();
        self.expire(&whole).await;
        let decision = {
            let mut bench = lock(&self.bench);
            if bench.as_ref().is_none_or(|b| b.epoch != lease.epoch()) {
                let judge = match serde_json::from_str::<Decision>(&stands.body) {
                    Ok(decision) => FailoverController::resume(self.config.judge, decision, now),
                    Err(_) => FailoverController::new(self.config.judge),
                };
                *bench = Some(OwnerState {
                    epoch: lease.epoch(),
                    owner: lease.owner().to_string(),
                    judge,
                    at: now,
                });
            }
            let Some(bench) = bench.as_mut() else { return Err(StepError::LeaseExpired) };
            bench.at = now;
            bench.judge.set_drains(now, &drains(&whole));
            bench.judge.tick(now)
        };
        let body = match decision {
            Some(decision) => {
                serde_json::to_string(&decision).map_err(|e| StepError::Failed(e.to_string()))?
            }
            // What a former owner decided stands on, under this epoch: gatekeepers refuse the former one's from here on.
            None if stands.version > 0 && stands.epoch < lease.epoch() => stands.body.clone(),
            None => return Ok(StepDone { note: format!("version {} stands", stands.version), again: STEP }),
        };
        lease.fence(now)?;
        let owner = lease.owner().clone();
        let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let (duty, epoch, seen) = (ZONES_DUTY.to_string(), lease.epoch(), stands.version);
        let decide = Command::Decide { duty, owner, epoch, seen, body, at_ms };
        match self.council.propose(decide, ASK).await {
            Ok(Outcome::Decided(version)) => {
                tracing::info!(version, epoch, "zones: version {version} is decided");
                // The next look begins from it.
                let mut seen = self.council.watch();
                let there = |w: &Arc<AgreedState>| {
                    w.owner.decisions.get(ZONES_DUTY).is_some_and(|d| d.version >= version)
                };
                let _ = timeout(ASK, seen.wait_for(there)).await;
                Ok(StepDone { note: format!("decided version {version}"), again: STEP })
            }
            other => {
                // It is decided anew from what stands then.
                *lock(&self.bench) = None;
                Err(StepError::Failed(format!("the decision was not entered: {other:?}")))
            }
        }
    }

    /// Ends drains whose time is over.
    async fn expire(&self, whole: &AgreedState) {
        let now_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let over =
            whole.owner.intents.get(ZONES_DUTY).into_iter().flatten().filter(|(_, i)| i.until_ms <= now_ms);
        for (key, _) in over {
            let (duty, key, by) = (ZONES_DUTY.to_string(), key.clone(), "its expiry".to_string());
            let _ = self.council.propose(Command::Withdraw { duty, key, by, at_ms: now_ms }, ASK).await;
        }
    }

    // ---- to gatekeepers ----

    /// Gatekeepers are told at once, as one of them is new.
    pub(crate) fn force_push(&self) {
        lock(&self.told).last = None;
    }

    /// Tells gatekeepers what stands, or that it still does; only while this agent's own word holds.
    pub(crate) fn push_to_gatekeepers(&self, whole: &AgreedState, holds: bool, links: &[Link]) {
        let Some(decided) = whole.owner.decisions.get(ZONES_DUTY).filter(|_| holds) else { return };
        let now = self.clock.now();
        let mut told = lock(&self.told);
        if (told.version, told.epoch) != (decided.version, decided.epoch) {
            let guide = self.guide(decided);
            *told = Told { version: decided.version, epoch: decided.epoch, since: now, last: None, guide };
        }
        if told.last.is_some_and(|at| now < at + self.config.renew_ms) {
            return;
        }
        told.last = Some(now);
        if let Some(guide) = &told.guide {
            let guide = ZonesGuide { age_ms: now.saturating_sub(told.since), ..guide.clone() };
            links.iter().for_each(|link| link.send_zone_decision(guide.clone()));
        }
    }

    fn guide(&self, decided: &StandingDecision) -> Option<ZonesGuide> {
        let decision: Decision = serde_json::from_str(&decided.body).ok()?;
        if let Err(why) = decision.check() {
            let version = decided.version;
            tracing::warn!(version, reason = why, "zones: version {version} can't be acted on: {why}");
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

    /// What the owner goes by, at the owner.
    ///
    /// # Errors
    /// When this agent is not the owner.
    pub fn view(&self, look: &ZonesLook) -> Result<ZonesView, String> {
        if look.fleet != self.fleet {
            return Err("fleet: not this one's".into());
        }
        let now = self.clock.now();
        let bench = lock(&self.bench);
        let Some(bench) = bench.as_ref().filter(|b| now.saturating_sub(b.at) <= self.config.judge.stale_ms)
        else {
            return Err("this agent does not own zones".into());
        };
        let view = bench.judge.view(now);
        let agent = |(name, zone, age_ms, counts)| ZoneAgent { name, zone, age_ms, counts };
        let mut agents: Vec<ZoneAgent> = view.agents.into_iter().map(agent).collect();
        // One that has said nothing since this owner began is silent as well.
        let members = self.council.status().members.into_iter().map(|m| m.name);
        let unheard: Vec<String> = members.filter(|m| agents.iter().all(|a| a.name != *m)).collect();
        agents.extend(unheard.into_iter().map(|name| ZoneAgent {
            name,
            age_ms: NEVER,
            ..ZoneAgent::default()
        }));
        let acts = lock(&self.acts);
        let old = |(at, all): &Acts| {
            let late = now.saturating_sub(*at);
            all.iter().map(move |a| ZoneActs { age_ms: a.age_ms + late, ..a.clone() }).collect::<Vec<_>>()
        };
        let short = match bench.judge.can_drain(now, &look.drain) {
            _ if look.drain.is_empty() => String::new(),
            Ok(()) => String::new(),
            Err(s) => format!(
                "all requests need {:.1} worked on at once, the zones that are left bear {:.1}: {:.1} would be refused",
                s.demand, s.capacity, s.shortfall
            ),
        };
        Ok(ZonesView {
            agents,
            acts: acts.values().flat_map(old).collect(),
            heard: view.counts.accepted,
            refused: view.counts.rejected,
            old: view.counts.outdated,
            short,
            known: bench.judge.knows_zone(now, &look.drain),
        })
    }

    async fn look(&self, whole: &AgreedState, drain: &str) -> Result<ZonesView, String> {
        let look = ZonesLook { fleet: self.fleet.clone(), drain: drain.to_string() };
        let owner = whole.owner.duties.get(ZONES_DUTY).and_then(|d| d.owner.clone());
        let owner = owner.ok_or("nobody owns zones at present")?;
        if owner.agent == self.name {
            return self.view(&look);
        }
        let mut client = self.way(&owner.agent)?;
        let said = timeout(ASK, client.look_at_zones(look)).await;
        let said = said.map_err(|_| format!("{owner}, which owns zones, does not answer"))?;
        said.map(tonic::Response::into_inner).map_err(|e| e.message().to_string())
    }

    /// All that operators see.
    pub async fn response(&self, whole: &AgreedState, current: bool) -> ZonesResponse {
        let stands = whole.owner.decisions.get(ZONES_DUTY).cloned().unwrap_or_default();
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
            version: stands.version,
            epoch: stands.epoch,
            owner: stands.owner,
            at_ms: stands.at_ms,
            current,
            decision: stands.body,
            intents: whole.owner.intents.get(ZONES_DUTY).into_iter().flatten().map(intent).collect(),
            view: self.look(whole, "").await.ok(),
            history: whole.owner.history_of(ZONES_DUTY).map(change).collect(),
        }
    }

    /// What an operator wants, as the council takes it.
    ///
    /// # Errors
    /// With why it is refused, and with the figures where the others can't bear a drain.
    pub async fn operator_change(&self, asked: ZonesChange) -> Result<(Command, String), String> {
        let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let ZonesChange { drain, restore, by, why, until_ms, force } = asked;
        let duty = ZONES_DUTY.to_string();
        match (drain.is_empty(), restore.is_empty()) {
            (false, true) => {
                if until_ms <= at_ms || until_ms > at_ms + DRAIN_MOST_MS {
                    return Err("until: a time to come, within 31 days".into());
                }
                let whole = self.council.watch().borrow().clone();
                let view = self.look(&whole, &drain).await?;
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

/// The age of a report that never came.
const NEVER: u64 = u64::MAX;
/// The body of a drain that holds even where the others can't bear it.
const FORCE: &str = "force";

fn drains(whole: &AgreedState) -> Vec<Drain> {
    let of = |(zone, i): (&String, &OperatorOverride)| Drain { zone: zone.clone(), force: i.body == FORCE };
    whole.owner.intents.get(ZONES_DUTY).into_iter().flatten().map(of).collect()
}
