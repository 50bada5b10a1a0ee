//! Zones in the simulation: faults of whole zones, and the real failover controller with simulated agents
//! that report to it and push its current decision to their gatekeepers. The consensus group is simulated
//! only by its delays: the time to commit an entry, and the time until a lost owner is replaced.

use super::{SimEvent, World};
use crate::formula_server::ServerFault;
use crate::scenario::{Fault, FaultKind};
use frostvale::{Event, RoutingSnapshot, ZoneObservation, ZoneShare};
use frostvale_zones::{AttemptCounts, Decision, FailoverController, Report, Share, ZoneCapacity};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Interval at which the failover controller evaluates the reports.
const EVALUATION_INTERVAL_MS: f64 = 100.0;
/// Interval at which agents push the current decision again.
const RENEWAL_INTERVAL_MS: f64 = 500.0;

/// An event of the zones' agents and the failover controller.
pub(super) enum ZoneStep {
    /// The agent of this zone sends its report.
    Report(u32),
    /// A report sent at `sent` arrives at the owner.
    ReportReceived { sent: f64, report: Box<Report> },
    /// The owner evaluates the reports.
    Evaluate,
    /// The agent of a zone pushes the decision of this version to its gatekeepers.
    Push { zone: u32, version: u64 },
    /// All agents push the current decision again.
    Renew,
    /// Another agent becomes the owner.
    TakeOver,
}

/// A decision of the failover controller, with its version and time.
#[derive(Clone)]
struct CommittedDecision {
    version: u64,
    at: f64,
    decision: Rc<Decision>,
}

/// The state of the zones' agents and the failover controller in a run.
pub(crate) struct ZoneSimulation {
    controller: FailoverController,
    /// The zone of the agent that runs the controller; `None` from its loss to the takeover.
    owner: Option<u32>,
    /// The number of the last report of each zone.
    report_numbers: BTreeMap<u32, u64>,
    current: Option<CommittedDecision>,
    /// The version of the decision that each gatekeeper applies.
    applied_versions: Vec<u64>,
    /// Zones that are lost.
    gone: BTreeSet<u32>,
    /// Zones that are cut off from the others.
    pub cut: BTreeSet<u32>,
    /// The time and a summary of each decision.
    pub decisions: Vec<(f64, String)>,
    /// For each version, the time when all reachable gatekeepers first applied it.
    pub agreed: Vec<(u64, f64)>,
}

impl ZoneSimulation {
    pub fn new(settings: frostvale_zones::Settings, gatekeepers: u32) -> ZoneSimulation {
        ZoneSimulation {
            controller: FailoverController::new(settings),
            owner: Some(0),
            report_numbers: BTreeMap::new(),
            current: None,
            applied_versions: vec![0; gatekeepers as usize],
            gone: BTreeSet::new(),
            cut: BTreeSet::new(),
            decisions: Vec::new(),
            agreed: Vec::new(),
        }
    }

    /// Whether both zones are up and messages pass between them.
    fn reaches(&self, a: u32, b: u32) -> bool {
        let up = |z: u32| !self.gone.contains(&z);
        up(a) && up(b) && (a == b || !self.cut.contains(&a) && !self.cut.contains(&b))
    }
}

fn zone_name(zone: u32) -> String {
    format!("z{zone}")
}

fn zone_number(name: &str) -> u32 {
    name[1..].parse().unwrap_or(u32::MAX)
}

fn zone_share(s: Share) -> ZoneShare {
    ZoneShare { start: f64::from(s.start) / 1000.0, end: f64::from(s.end) / 1000.0 }
}

impl World<'_> {
    /// The zone of a gatekeeper, according to the scenario's shares.
    pub(super) fn gatekeeper_zone(&self, k: u32) -> u32 {
        zone_of_index(k, &self.scenario.gatekeepers.zone_shares, self.scenario.servers.zones)
    }

    /// Whether traffic between these two zones is lost.
    pub(super) fn cut_between(&self, a: u32, b: u32) -> bool {
        a != b && (self.zone_simulation.cut.contains(&a) || self.zone_simulation.cut.contains(&b))
    }

    /// Schedules the first events of the agents and the controller.
    pub(super) fn begin_zones(&mut self) {
        if let Some(z) = &self.scenario.zones {
            let every = z.report_ms;
            for zone in 0..self.scenario.servers.zones {
                let phase = self.uniform([0.0, every]);
                self.queue.push(phase, SimEvent::Zones(ZoneStep::Report(zone)));
            }
            self.queue.push(EVALUATION_INTERVAL_MS, SimEvent::Zones(ZoneStep::Evaluate));
            self.queue.push(RENEWAL_INTERVAL_MS, SimEvent::Zones(ZoneStep::Renew));
        }
    }

    pub(super) fn zone_step(&mut self, step: ZoneStep) {
        let Some(z) = self.scenario.zones.clone() else { return };
        match step {
            ZoneStep::Report(zone) => {
                self.queue.push(self.now + z.report_ms, SimEvent::Zones(ZoneStep::Report(zone)));
                self.report(zone);
            }
            ZoneStep::ReportReceived { sent, report } => {
                if self.zone_simulation.owner.is_some() {
                    let _ =
                        self.zone_simulation.controller.record_report(self.now as u64, sent as u64, *report);
                }
            }
            ZoneStep::Evaluate => {
                self.queue.push(self.now + EVALUATION_INTERVAL_MS, SimEvent::Zones(ZoneStep::Evaluate));
                self.evaluate();
            }
            ZoneStep::Push { zone, version } => {
                if self.zone_simulation.current.as_ref().is_some_and(|s| s.version == version) {
                    self.push(zone);
                }
            }
            ZoneStep::Renew => {
                self.queue.push(self.now + RENEWAL_INTERVAL_MS, SimEvent::Zones(ZoneStep::Renew));
                for zone in 0..self.scenario.servers.zones {
                    // An agent that is cut off from the majority does not renew.
                    if self.zone_simulation.owner.is_some_and(|o| self.zone_simulation.reaches(o, zone)) {
                        self.push(zone);
                    }
                }
            }
            ZoneStep::TakeOver => {
                let reaches = |zone: &u32| {
                    let others = (0..self.scenario.servers.zones)
                        .filter(|o| self.zone_simulation.reaches(*zone, *o))
                        .count();
                    2 * others > self.scenario.servers.zones as usize
                };
                let next = (0..self.scenario.servers.zones).find(reaches);
                match next {
                    Some(next) => {
                        self.zone_simulation.owner = Some(next);
                        let current = self.zone_simulation.current.as_ref().map(|s| (*s.decision).clone());
                        self.zone_simulation.controller = match current {
                            Some(current) => FailoverController::resume(z.judge, current, self.now as u64),
                            None => FailoverController::new(z.judge),
                        };
                    }
                    None => self
                        .queue
                        .push(self.now + EVALUATION_INTERVAL_MS, SimEvent::Zones(ZoneStep::TakeOver)),
                }
            }
        }
    }

    /// Collects the observations of a zone's gatekeepers and sends them to the owner as the agent's report.
    fn report(&mut self, zone: u32) {
        let now = self.now;
        let mut lines: BTreeMap<(u32, usize), [u32; 3]> = BTreeMap::new();
        let mut places: Vec<(u32, u32, f64, f64)> = Vec::new();
        let (mut need, mut many) = (0.0, 0);
        for k in 0..self.gatekeepers.len() as u32 {
            if self.gatekeeper_zone(k) != zone {
                continue;
            }
            let Some(module) = self.gatekeepers[k as usize].module.as_mut() else { continue };
            let Some(ZoneObservation { required_concurrency: own, attempt_counts: seen, capacity: listed }) =
                module.observe_zones(now)
            else {
                continue;
            };
            many += 1;
            need += own;
            for (to, class, sums) in seen {
                let all = lines.entry((to, class)).or_default();
                all.iter_mut().zip(sums).for_each(|(a, b)| *a += b);
            }
            if listed.len() >= places.len() {
                places = listed;
            }
        }
        if many == 0 || !self.zone_simulation.owner.is_some_and(|o| self.zone_simulation.reaches(o, zone)) {
            return;
        }
        let sent = self.zone_simulation.report_numbers.entry(zone).or_default();
        *sent += 1;
        let report = Report {
            agent: format!("agent{zone}"),
            life: 1,
            number: *sent,
            zone: zone_name(zone),
            gatekeepers: many,
            need,
            lines: lines
                .into_iter()
                .map(|((to, class), [attempts, bad, late])| AttemptCounts {
                    to: zone_name(to),
                    class: class as u32,
                    attempts,
                    bad,
                    late,
                })
                .collect(),
            places: places
                .into_iter()
                .map(|(zone, servers, size, warm)| ZoneCapacity {
                    zone: zone_name(zone),
                    servers,
                    size,
                    warm: warm.min(size),
                })
                .collect(),
        };
        let hop = self.hop();
        let received = ZoneStep::ReportReceived { sent: now, report: Box::new(report) };
        self.queue.push(now + hop, SimEvent::Zones(received));
    }

    /// Lets the controller evaluate the reports; a new decision is recorded and its push is scheduled.
    fn evaluate(&mut self) {
        if self.zone_simulation.owner.is_none() {
            return;
        }
        let Some(decision) = self.zone_simulation.controller.tick(self.now as u64) else { return };
        let version = self.zone_simulation.current.as_ref().map_or(1, |s| s.version + 1);
        let states = decision.zones.iter().map(|w| {
            let near = decision.row(&w.zone).map_or(Share::default(), |r| r.near);
            format!("{} {} near {}-{}", w.zone, w.state, near.start, near.end)
        });
        self.zone_simulation.decisions.push((self.now, states.collect::<Vec<_>>().join(", ")));
        self.zone_simulation.current =
            Some(CommittedDecision { version, at: self.now, decision: Rc::new(decision) });
        let Some(z) = &self.scenario.zones else { return };
        let enter = z.enter_ms;
        for zone in 0..self.scenario.servers.zones {
            if self.zone_simulation.owner.is_some_and(|o| self.zone_simulation.reaches(o, zone)) {
                let after = self.uniform(enter);
                self.queue.push(self.now + after, SimEvent::Zones(ZoneStep::Push { zone, version }));
            }
        }
    }

    /// Pushes the current decision to the gatekeepers of a zone.
    fn push(&mut self, zone: u32) {
        let (Some(current), Some(z)) = (self.zone_simulation.current.clone(), self.scenario.zones.clone())
        else {
            return;
        };
        if self.zone_simulation.gone.contains(&zone) {
            return;
        }
        let Some(row) = current.decision.row(&zone_name(zone)) else { return };
        let snapshot = RoutingSnapshot {
            local: zone_share(row.near),
            spill: row.spill.iter().map(|s| (zone_number(&s.to), zone_share(s.share))).collect(),
            ramp_ms: current.decision.ramp_ms as f64,
            age_ms: self.now - current.at,
            hold_ms: z.hold_ms,
            fade_ms: z.fade_ms,
        };
        for k in 0..self.gatekeepers.len() as u32 {
            if self.gatekeeper_zone(k) == zone && self.gatekeepers[k as usize].module.is_some() {
                self.zone_simulation.applied_versions[k as usize] = current.version;
                self.dispatch_event(k, Event::RoutingSnapshot(snapshot.clone()));
            }
        }
        let reached = |k: &u32| {
            let zone = self.gatekeeper_zone(*k);
            self.gatekeepers[*k as usize].module.is_some()
                && self.zone_simulation.owner.is_some_and(|o| self.zone_simulation.reaches(o, zone))
        };
        let all = (0..self.gatekeepers.len() as u32)
            .filter(reached)
            .all(|k| self.zone_simulation.applied_versions[k as usize] >= current.version);
        if all && self.zone_simulation.agreed.last().is_none_or(|(v, _)| *v < current.version) {
            self.zone_simulation.agreed.push((current.version, self.now));
        }
    }

    /// Time in ms from the first zone fault until all reachable gatekeepers applied a decision made after it.
    pub(super) fn agreed_ms(&self) -> Option<f64> {
        let by_place = |f: &&Fault| {
            matches!(
                f.kind,
                FaultKind::ZoneLost | FaultKind::ZoneCut | FaultKind::ZoneSlow | FaultKind::ZoneErrors
            )
        };
        let from = self.scenario.faults.iter().filter(by_place).map(|f| f.at_s * 1000.0).reduce(f64::min)?;
        let first = self.zone_simulation.decisions.iter().position(|(at, _)| *at >= from)? as u64 + 1;
        self.zone_simulation.agreed.iter().find(|(v, _)| *v >= first).map(|(_, at)| at - from)
    }

    /// Begins a zone fault.
    pub(super) fn begin_zone_fault(&mut self, fault: &Fault, fault_index: usize) {
        let zone = fault.zone;
        let here: Vec<u32> = (0..self.servers.len() as u32)
            .filter(|n| self.servers[*n as usize].zone == zone && self.servers[*n as usize].is_up())
            .collect();
        let sick = match fault.kind {
            FaultKind::ZoneLost => ServerFault::Dead,
            FaultKind::ZoneSlow => ServerFault::Slow(fault.times),
            FaultKind::ZoneErrors => ServerFault::Errors,
            _ => ServerFault::No,
        };
        if fault.kind == FaultKind::ZoneCut {
            self.zone_simulation.cut.insert(zone);
        } else {
            for n in &here {
                self.servers[*n as usize].fault = sick;
            }
            self.faulty_servers.extend(&here);
        }
        if fault.kind == FaultKind::ZoneLost {
            if fault.part > 0.0 {
                self.zone_simulation.gone.insert(zone);
            }
            here.iter().for_each(|n| self.stop_server(*n));
            let own: Vec<u32> =
                (0..self.gatekeepers.len() as u32).filter(|k| self.gatekeeper_zone(*k) == zone).collect();
            let die = (fault.part * own.len() as f64).round() as usize;
            own.into_iter().take(die).for_each(|k| self.kill(k));
        }
        self.fault_targets[fault_index] = here;
        let Some(z) = &self.scenario.zones else { return };
        let away = self.zone_simulation.gone.contains(&zone) || fault.kind == FaultKind::ZoneCut;
        if away && self.zone_simulation.owner == Some(zone) {
            self.zone_simulation.owner = None;
            self.queue.push(self.now + z.takeover_ms, SimEvent::Zones(ZoneStep::TakeOver));
        }
    }

    /// Ends a zone fault. Servers of a lost zone come back cold (in slow start).
    pub(super) fn end_zone_fault(&mut self, fault: &Fault, hit: &[u32]) {
        match fault.kind {
            FaultKind::ZoneCut => drop(self.zone_simulation.cut.remove(&fault.zone)),
            FaultKind::ZoneLost => {
                self.zone_simulation.gone.remove(&fault.zone);
                for n in hit {
                    self.servers[*n as usize].since = self.now;
                }
                self.send_list_changes(hit);
            }
            _ => {}
        }
    }
}

/// The zone of the k-th gatekeeper or server: by shares if there are any, else round robin.
pub(super) fn zone_of_index(k: u32, shares: &[f64], zones: u32) -> u32 {
    if shares.is_empty() {
        return k % zones;
    }
    let all: f64 = shares.iter().sum();
    let mut draw = (f64::from(k) * 0.618_033_988_75 + 0.25).fract() * all;
    for (zone, share) in shares.iter().enumerate() {
        if draw < *share {
            return zone as u32;
        }
        draw -= share;
    }
    zones - 1
}
