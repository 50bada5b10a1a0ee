//! Zones in the simulation: faults by place, and the shipped judge with agents that report to it and push what stands. The
//! council is not simulated but by its times: how long an entry takes, how long an owner that is gone is missed.

use super::{SimEvent, World};
use crate::formula_server::ServerFault;
use crate::scenario::{Fault, FaultKind};
use frostvale::{Event, RoutingSnapshot, ZoneObservation, ZoneShare};
use frostvale_zones::{AttemptCounts, Decision, FailoverController, Report, Share, ZoneCapacity};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The judge looks this often, and agents renew what stands this often, in ms.
const LOOK_MS: f64 = 100.0;
const RENEW_MS: f64 = 500.0;

/// What happens about zones.
pub(super) enum ZoneStep {
    /// An agent of a zone reports.
    Report(u32),
    /// A report comes to the owner.
    Heard { sent: f64, report: Box<Report> },
    /// The owner looks.
    Look,
    /// An agent tells its gatekeepers what stands.
    Push { zone: u32, version: u64 },
    /// Agents tell again.
    Renew,
    /// Another agent becomes the owner.
    Take,
}

/// What was decided.
#[derive(Clone)]
struct Stands {
    version: u64,
    at: f64,
    decision: Rc<Decision>,
}

/// Zones of a run.
pub(crate) struct ZoneSimulation {
    judge: FailoverController,
    /// The owner's zone; none while it is missed.
    owner: Option<u32>,
    numbers: BTreeMap<u32, u64>,
    stands: Option<Stands>,
    /// What each gatekeeper acts on.
    acts: Vec<u64>,
    /// Zones that are gone, and zones that are cut off from the others.
    gone: BTreeSet<u32>,
    pub cut: BTreeSet<u32>,
    /// When it was decided, and what, in short.
    pub told: Vec<(f64, String)>,
    /// When all that can be reached first acted on each version.
    pub agreed: Vec<(u64, f64)>,
}

impl ZoneSimulation {
    pub fn new(settings: frostvale_zones::Settings, gatekeepers: u32) -> ZoneSimulation {
        ZoneSimulation {
            judge: FailoverController::new(settings),
            owner: Some(0),
            numbers: BTreeMap::new(),
            stands: None,
            acts: vec![0; gatekeepers as usize],
            gone: BTreeSet::new(),
            cut: BTreeSet::new(),
            told: Vec::new(),
            agreed: Vec::new(),
        }
    }

    fn reaches(&self, a: u32, b: u32) -> bool {
        let up = |z: u32| !self.gone.contains(&z);
        up(a) && up(b) && (a == b || !self.cut.contains(&a) && !self.cut.contains(&b))
    }
}

fn name(zone: u32) -> String {
    format!("z{zone}")
}

fn number(name: &str) -> u32 {
    name[1..].parse().unwrap_or(u32::MAX)
}

fn part(s: Share) -> ZoneShare {
    ZoneShare { start: f64::from(s.start) / 1000.0, end: f64::from(s.end) / 1000.0 }
}

impl World<'_> {
    /// The zone of a gatekeeper, by the scenario's shares.
    pub(super) fn gatekeeper_zone(&self, k: u32) -> u32 {
        zone_of_index(k, &self.scenario.gatekeepers.zone_shares, self.scenario.servers.zones)
    }

    /// Whether what goes from one zone to another is lost on its way.
    pub(super) fn cut_between(&self, a: u32, b: u32) -> bool {
        a != b && (self.zoned.cut.contains(&a) || self.zoned.cut.contains(&b))
    }

    /// Begins what agents do.
    pub(super) fn begin_zones(&mut self) {
        if let Some(z) = &self.scenario.zones {
            let every = z.report_ms;
            for zone in 0..self.scenario.servers.zones {
                let phase = self.between([0.0, every]);
                self.queue.push(phase, SimEvent::Zones(ZoneStep::Report(zone)));
            }
            self.queue.push(LOOK_MS, SimEvent::Zones(ZoneStep::Look));
            self.queue.push(RENEW_MS, SimEvent::Zones(ZoneStep::Renew));
        }
    }

    pub(super) fn zone_step(&mut self, step: ZoneStep) {
        let Some(z) = self.scenario.zones.clone() else { return };
        match step {
            ZoneStep::Report(zone) => {
                self.queue.push(self.now + z.report_ms, SimEvent::Zones(ZoneStep::Report(zone)));
                self.report(zone);
            }
            ZoneStep::Heard { sent, report } => {
                if self.zoned.owner.is_some() {
                    let _ = self.zoned.judge.record_report(self.now as u64, sent as u64, *report);
                }
            }
            ZoneStep::Look => {
                self.queue.push(self.now + LOOK_MS, SimEvent::Zones(ZoneStep::Look));
                self.look();
            }
            ZoneStep::Push { zone, version } => {
                if self.zoned.stands.as_ref().is_some_and(|s| s.version == version) {
                    self.push(zone);
                }
            }
            ZoneStep::Renew => {
                self.queue.push(self.now + RENEW_MS, SimEvent::Zones(ZoneStep::Renew));
                for zone in 0..self.scenario.servers.zones {
                    // Whose agent is cut off from the majority renews nothing.
                    if self.zoned.owner.is_some_and(|o| self.zoned.reaches(o, zone)) {
                        self.push(zone);
                    }
                }
            }
            ZoneStep::Take => {
                let reaches = |zone: &u32| {
                    let others =
                        (0..self.scenario.servers.zones).filter(|o| self.zoned.reaches(*zone, *o)).count();
                    2 * others > self.scenario.servers.zones as usize
                };
                let next = (0..self.scenario.servers.zones).find(reaches);
                match next {
                    Some(next) => {
                        self.zoned.owner = Some(next);
                        let stands = self.zoned.stands.as_ref().map(|s| (*s.decision).clone());
                        self.zoned.judge = match stands {
                            Some(stands) => FailoverController::resume(z.judge, stands, self.now as u64),
                            None => FailoverController::new(z.judge),
                        };
                    }
                    None => self.queue.push(self.now + LOOK_MS, SimEvent::Zones(ZoneStep::Take)),
                }
            }
        }
    }

    /// The agent of a zone gathers what its gatekeepers saw, and sends it to the owner.
    fn report(&mut self, zone: u32) {
        let now = self.now;
        let mut lines: BTreeMap<(u32, usize), [u32; 3]> = BTreeMap::new();
        let mut places: Vec<(u32, u32, f64, f64)> = Vec::new();
        let (mut need, mut many) = (0.0, 0);
        for k in 0..self.gatekeepers.len() as u32 {
            if self.gatekeeper_zone(k) != zone {
                continue;
            }
            let Some(mind) = self.gatekeepers[k as usize].mind.as_mut() else { continue };
            let Some(ZoneObservation { required_concurrency: own, attempt_counts: seen, capacity: listed }) =
                mind.observe_zones(now)
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
        if many == 0 || !self.zoned.owner.is_some_and(|o| self.zoned.reaches(o, zone)) {
            return;
        }
        let sent = self.zoned.numbers.entry(zone).or_default();
        *sent += 1;
        let report = Report {
            agent: format!("agent{zone}"),
            life: 1,
            number: *sent,
            zone: name(zone),
            gatekeepers: many,
            need,
            lines: lines
                .into_iter()
                .map(|((to, class), [attempts, bad, late])| AttemptCounts {
                    to: name(to),
                    class: class as u32,
                    attempts,
                    bad,
                    late,
                })
                .collect(),
            places: places
                .into_iter()
                .map(|(zone, servers, size, warm)| ZoneCapacity {
                    zone: name(zone),
                    servers,
                    size,
                    warm: warm.min(size),
                })
                .collect(),
        };
        let hop = self.hop();
        let heard = ZoneStep::Heard { sent: now, report: Box::new(report) };
        self.queue.push(now + hop, SimEvent::Zones(heard));
    }

    fn look(&mut self) {
        if self.zoned.owner.is_none() {
            return;
        }
        let Some(decision) = self.zoned.judge.tick(self.now as u64) else { return };
        let version = self.zoned.stands.as_ref().map_or(1, |s| s.version + 1);
        let states = decision.zones.iter().map(|w| {
            let near = decision.row(&w.zone).map_or(Share::default(), |r| r.near);
            format!("{} {} near {}-{}", w.zone, w.state, near.start, near.end)
        });
        self.zoned.told.push((self.now, states.collect::<Vec<_>>().join(", ")));
        self.zoned.stands = Some(Stands { version, at: self.now, decision: Rc::new(decision) });
        let Some(z) = &self.scenario.zones else { return };
        let enter = z.enter_ms;
        for zone in 0..self.scenario.servers.zones {
            if self.zoned.owner.is_some_and(|o| self.zoned.reaches(o, zone)) {
                let after = self.between(enter);
                self.queue.push(self.now + after, SimEvent::Zones(ZoneStep::Push { zone, version }));
            }
        }
    }

    /// The agent of a zone tells its gatekeepers.
    fn push(&mut self, zone: u32) {
        let (Some(stands), Some(z)) = (self.zoned.stands.clone(), self.scenario.zones.clone()) else {
            return;
        };
        if self.zoned.gone.contains(&zone) {
            return;
        }
        let Some(row) = stands.decision.row(&name(zone)) else { return };
        let guide = RoutingSnapshot {
            local: part(row.near),
            spill: row.spill.iter().map(|s| (number(&s.to), part(s.share))).collect(),
            ramp_ms: stands.decision.ramp_ms as f64,
            age_ms: self.now - stands.at,
            hold_ms: z.hold_ms,
            fade_ms: z.fade_ms,
        };
        for k in 0..self.gatekeepers.len() as u32 {
            if self.gatekeeper_zone(k) == zone && self.gatekeepers[k as usize].mind.is_some() {
                self.zoned.acts[k as usize] = stands.version;
                self.tell_mind(k, Event::RoutingSnapshot(guide.clone()));
            }
        }
        let reached = |k: &u32| {
            let zone = self.gatekeeper_zone(*k);
            self.gatekeepers[*k as usize].mind.is_some()
                && self.zoned.owner.is_some_and(|o| self.zoned.reaches(o, zone))
        };
        let all = (0..self.gatekeepers.len() as u32)
            .filter(reached)
            .all(|k| self.zoned.acts[k as usize] >= stands.version);
        if all && self.zoned.agreed.last().is_none_or(|(v, _)| *v < stands.version) {
            self.zoned.agreed.push((stands.version, self.now));
        }
    }

    /// From the first fault by place to when all that can be reached acted on a decision made after it, in ms.
    pub(super) fn agreed_ms(&self) -> Option<f64> {
        let by_place = |f: &&Fault| {
            matches!(
                f.kind,
                FaultKind::ZoneLost | FaultKind::ZoneCut | FaultKind::ZoneSlow | FaultKind::ZoneErrors
            )
        };
        let from = self.scenario.faults.iter().filter(by_place).map(|f| f.at_s * 1000.0).reduce(f64::min)?;
        let first = self.zoned.told.iter().position(|(at, _)| *at >= from)? as u64 + 1;
        self.zoned.agreed.iter().find(|(v, _)| *v >= first).map(|(_, at)| at - from)
    }

    /// A fault by place begins.
    pub(super) fn place_fault(&mut self, fault: &Fault, which: usize) {
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
            self.zoned.cut.insert(zone);
        } else {
            for n in &here {
                self.servers[*n as usize].sick = sick;
            }
            self.sick.extend(&here);
        }
        if fault.kind == FaultKind::ZoneLost {
            if fault.part > 0.0 {
                self.zoned.gone.insert(zone);
            }
            here.iter().for_each(|n| self.lose(*n));
            let own: Vec<u32> =
                (0..self.gatekeepers.len() as u32).filter(|k| self.gatekeeper_zone(*k) == zone).collect();
            let die = (fault.part * own.len() as f64).round() as usize;
            own.into_iter().take(die).for_each(|k| self.kill(k));
        }
        self.hit[which] = here;
        let Some(z) = &self.scenario.zones else { return };
        let away = self.zoned.gone.contains(&zone) || fault.kind == FaultKind::ZoneCut;
        if away && self.zoned.owner == Some(zone) {
            self.zoned.owner = None;
            self.queue.push(self.now + z.takeover_ms, SimEvent::Zones(ZoneStep::Take));
        }
    }

    /// It ends. What was lost comes back cold.
    pub(super) fn place_fault_end(&mut self, fault: &Fault, hit: &[u32]) {
        match fault.kind {
            FaultKind::ZoneCut => drop(self.zoned.cut.remove(&fault.zone)),
            FaultKind::ZoneLost => {
                self.zoned.gone.remove(&fault.zone);
                for n in hit {
                    self.servers[*n as usize].since = self.now;
                }
                self.list_changes(hit);
            }
            _ => {}
        }
    }
}

/// Which zone the k-th of something is dealt to: by shares, where there are any, else by turns.
pub(super) fn zone_of_index(k: u32, shares: &[f64], zones: u32) -> u32 {
    if shares.is_empty() {
        return k % zones;
    }
    let all: f64 = shares.iter().sum();
    let mut lot = (f64::from(k) * 0.618_033_988_75 + 0.25).fract() * all;
    for (zone, share) in shares.iter().enumerate() {
        if lot < *share {
            return zone as u32;
        }
        lot -= share;
    }
    zones - 1
}
