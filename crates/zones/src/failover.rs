//! The failover controller: turns agents' reports and operators' drains into one decision.
//!
//! It does no I/O and has no clock: the leader that runs it passes in `now`, in ms of the leader's own clock.

use crate::allocation::{Allocation, AllocationInput, allocate};
use crate::decision::{Decision, RoutingRow, Share, Spill, ZoneAssessment, ZoneState};
use crate::report::{Drain, MAX_ZONES, RejectedReport, Report, ZoneCapacity};
use crate::settings::Settings;
use crate::zone_path::{PROBE_SHARE_MILLI, PathObservation, Phase, ZonePath};
use std::collections::{BTreeMap, BTreeSet};

/// The largest number of agents that are tracked.
const MAX_AGENTS: usize = 1024;
/// A class with fewer attempts than this is not evaluated.
const MIN_CLASS_ATTEMPTS: f64 = 3.0;
/// The weight of one agent's attempts is limited to this multiple of the median weight.
const MAX_WEIGHT_PER_MEDIAN: f64 = 2.0;
/// Shares that stay in their zone and differ by no more than this, in thousandths, count as equal.
const NEAR_TOLERANCE_MILLI: u32 = 150;
/// The same for shares that may go to other zones.
const SPILL_TOLERANCE_MILLI: u32 = 300;
/// If a share above `CLOSING_SHARE_MILLI` drops to nothing, the new decision is made once `sure_ms` times
/// `CLOSING_DELAY_FACTOR` has passed since the last one, without waiting for `least_ms`.
const CLOSING_SHARE_MILLI: u32 = 20;
/// See [`CLOSING_SHARE_MILLI`].
const CLOSING_DELAY_FACTOR: u64 = 3;
/// The largest burst that may go to another zone while the home zone is briefly full, in thousandths of a
/// zone's traffic.
const MAX_BURST_MILLI: f64 = 300.0;
/// A zone that may keep less than this of its own traffic, in thousandths, for want of capacity is
/// `Shedding`.
const MIN_NEAR_MILLI: u32 = 900;
/// The largest drift between the clocks of two hosts, as a fraction. The age of a report is its delay beyond
/// the shortest delay seen from its agent.
const MAX_CLOCK_DRIFT: f64 = 0.1;
/// The largest delay of the first report of an agent process, in ms.
const MAX_FIRST_DELAY_MS: f64 = 60_000.0;

/// Probes of a zone that is out are few, so they are summed over this many windows.
const PROBE_WINDOWS: u64 = 16;

/// A zone's demand is averaged over this many windows: in the moment of a loss every request is attempted
/// twice and takes longer, which would inflate a short average.
const DEMAND_WINDOWS: u64 = 5;

/// The period that attempts are summed over: the window, the shorter `recent_window_ms`, or the long window
/// of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Horizon {
    Window,
    Recent,
    Probes,
}

/// Exponentially decaying sums of attempts, failures and late answers.
type AttemptSums = [f64; 3];

/// The last report of an agent and the decaying sums of its attempts.
#[derive(Debug, Clone)]
struct AgentState {
    /// The incarnation of the agent's process; report numbers count within it.
    incarnation: u64,
    /// The number of its last accepted report.
    number: u64,
    /// The zone of its gatekeepers.
    zone: String,
    /// When its last accepted report was received, in ms.
    received_at: u64,
    /// The shortest delay of a report, as the difference of the two clocks in ms, and when it was measured.
    min_delay: (f64, u64),
    /// The demand of its gatekeepers, averaged over `DEMAND_WINDOWS` windows.
    demand: f64,
    /// The weight behind `demand`, from 0 to 1. The first reports are weighted equally, so that a burst among
    /// them is not taken for the usual demand.
    demand_weight: f64,
    /// Sums by zone and class, over the window.
    window_sums: BTreeMap<(String, u32), AttemptSums>,
    /// The same over `recent_window_ms`, in which a lost zone shows first.
    recent_sums: BTreeMap<(String, u32), AttemptSums>,
    /// The same over the long window of probes.
    probe_sums: BTreeMap<(String, u32), AttemptSums>,
    /// When the sums were last decayed.
    decayed_at: u64,
    /// The capacity of each zone by that report.
    places: Vec<ZoneCapacity>,
}

impl AgentState {
    /// Decays all sums to `now`.
    fn decay(&mut self, now: u64, settings: &Settings) {
        let elapsed_ms = now.saturating_sub(self.decayed_at) as f64;
        self.decayed_at = now;
        let probe_window_ms = PROBE_WINDOWS * settings.window_ms;
        for (sums, window_ms) in [
            (&mut self.window_sums, settings.window_ms),
            (&mut self.recent_sums, recent_window_ms(settings)),
            (&mut self.probe_sums, probe_window_ms),
        ] {
            let kept = (-elapsed_ms / window_ms.max(1) as f64).exp();
            sums.values_mut().for_each(|s| s.iter_mut().for_each(|x| *x *= kept));
            sums.retain(|_, s| s[0] > 0.01);
        }
    }

    /// Returns the impaired fraction of this agent's attempts at a zone and their number. The fraction is
    /// that of the worst class with enough attempts; `None` where no class has enough.
    fn impaired_fraction(&self, to: &str, horizon: Horizon) -> Option<(f64, f64)> {
        let sums = match horizon {
            Horizon::Window => &self.window_sums,
            Horizon::Recent => &self.recent_sums,
            Horizon::Probes => &self.probe_sums,
        };
        let classes = || sums.iter().filter(|((zone, _), _)| zone == to).map(|(_, s)| s);
        let all: f64 = classes().map(|s| s[0]).sum();
        if horizon == Horizon::Probes {
            // Probes are too few to be evaluated by class.
            let bad: f64 = classes().map(|s| s[1] + s[2]).sum();
            return (all >= MIN_CLASS_ATTEMPTS).then(|| (bad / all, all));
        }
        let min_attempts = MIN_CLASS_ATTEMPTS.max(0.1 * all);
        let worst =
            classes().filter(|s| s[0] >= min_attempts).map(|s| (s[1] + s[2]) / s[0]).reduce(f64::max)?;
        Some((worst, all))
    }
}

/// The length of the recent window in ms: `sure_ms`, between 100 ms and the window.
fn recent_window_ms(settings: &Settings) -> u64 {
    settings.sure_ms.clamp(100, settings.window_ms)
}

/// The reason given for a zone that is limited only by its capacity. Decisions in the log carry it, and
/// `is_new` compares it.
const SHORT_OF_CAPACITY: &str = "short of room";

/// Counts of reports since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Reports accepted.
    pub accepted: u64,
    /// Reports with invalid content, or from agents beyond the limit.
    pub rejected: u64,
    /// Reports older than one already accepted, or delayed for too long.
    pub outdated: u64,
}

/// The other zones have too little capacity for the traffic of a drained zone. All figures are in requests
/// worked on at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityShortfall {
    /// The demand of all zones.
    pub demand: f64,
    /// The planned capacity of the zones that remain.
    pub capacity: f64,
    /// The demand that no remaining zone could take.
    pub shortfall: f64,
}

/// The input of the controller, for operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FailoverView {
    /// Agents: name, zone, ms since their last report, and whether that report is still fresh.
    pub agents: Vec<(String, String, u64, bool)>,
    /// Counts of reports.
    pub counts: ReportCounts,
}

/// An operator's drain, or its removal, as a linear ramp of the fraction of traffic a zone may get.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DrainRamp {
    started_at: u64,
    /// The fractions at the start and at the end of the ramp, 0 to 1.
    from: f64,
    to: f64,
    duration_ms: u64,
    /// Whether the drain holds even if the other zones lack the capacity.
    force: bool,
}

impl DrainRamp {
    /// The fraction at `now`, 0 to 1.
    fn fraction_at(&self, now: u64) -> f64 {
        let progress = (now.saturating_sub(self.started_at) as f64 / self.duration_ms.max(1) as f64).min(1.0);
        self.from + (self.to - self.from) * progress
    }

    /// The remaining time of the ramp in ms.
    fn remaining_ms(&self, now: u64) -> u64 {
        (self.started_at + self.duration_ms).saturating_sub(now)
    }
}

/// Makes the failover decisions of a fleet.
#[derive(Debug, Clone)]
pub struct FailoverController {
    settings: Settings,
    agents: BTreeMap<String, AgentState>,
    /// Path health by zone of origin and target zone; the origin is `None` for the view of all agents
    /// together.
    paths: BTreeMap<(Option<String>, String), ZonePath>,
    /// Drains by zone, and removed drains until their ramps end.
    drains: BTreeMap<String, DrainRamp>,
    /// The last decision and when it was made.
    last_decision: Option<(Decision, u64)>,
    counts: ReportCounts,
}

/// A zone as the fresh reports describe it.
struct ZoneSummary {
    name: String,
    /// The number of servers: the median over fresh reports, as for `size` and `warm`.
    servers: u32,
    /// The number of requests that its servers work on at once when warm, by `slots_milli`.
    size: f64,
    /// The same at their current progress of slow start.
    warm: f64,
    /// The demand of its gatekeepers with fresh reports, in requests worked on at once.
    demand: f64,
    /// Whether an agent in this zone has sent a fresh report.
    has_reports: bool,
}

/// Builds the observation of a path to a zone from the impaired fraction over each horizon.
fn path_observation(
    to: &ZoneSummary,
    has_probes: bool,
    of: impl Fn(Horizon) -> Option<f64>,
) -> PathObservation {
    let (impaired, impaired_recently, impaired_probes) =
        (of(Horizon::Window), of(Horizon::Recent), of(Horizon::Probes));
    PathObservation { impaired, impaired_recently, impaired_probes, has_probes, has_servers: to.servers > 0 }
}

/// The median, or 0 for no values.
fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

impl FailoverController {
    /// Creates a controller without reports, drains or a previous decision.
    #[must_use]
    pub fn new(settings: Settings) -> FailoverController {
        FailoverController {
            settings,
            agents: BTreeMap::new(),
            paths: BTreeMap::new(),
            drains: BTreeMap::new(),
            last_decision: None,
            counts: ReportCounts::default(),
        }
    }

    /// Creates the controller of a new leader from the decision in effect: zones that are out stay out for a
    /// hold time, and returns continue.
    #[must_use]
    pub fn resume(settings: Settings, current: Decision, now: u64) -> FailoverController {
        let mut controller = FailoverController::new(settings);
        for zone in &current.zones {
            if zone.state == ZoneState::Out {
                controller.paths.insert((None, zone.zone.clone()), ZonePath::out(now, &settings));
                controller
                    .paths
                    .insert((Some(zone.zone.clone()), zone.zone.clone()), ZonePath::out(now, &settings));
            }
        }
        // A ramp of that decision may have progressed since it was made, so its end values count as in
        // effect.
        controller.last_decision = Some((current, now.saturating_sub(3_600_000)));
        controller
    }

    /// Records a report that was sent at `sent_ms` of its sender's clock.
    ///
    /// # Errors
    /// Returns an error for an invalid or outdated report; nothing has changed then, except for the counts.
    pub fn record_report(&mut self, now: u64, sent_ms: u64, report: Report) -> Result<(), RejectedReport> {
        if let Err(why) = report.check() {
            self.counts.rejected += 1;
            return Err(why);
        }
        let stale_ms = self.settings.stale_ms;
        let delay = now as f64 - sent_ms as f64;
        let mut min_delay = (delay, now);
        if let Some(previous) = self.agents.get(&report.agent) {
            let is_fresh = now.saturating_sub(previous.received_at) <= stale_ms;
            if report.life == previous.incarnation {
                let drift = MAX_CLOCK_DRIFT * now.saturating_sub(previous.min_delay.1) as f64;
                min_delay = if delay <= previous.min_delay.0 + drift {
                    (delay.min(previous.min_delay.0 + drift), now)
                } else {
                    previous.min_delay
                };
                // A monotonic clock cannot have been that far off before.
                let jumped = delay < previous.min_delay.0 - MAX_FIRST_DELAY_MS;
                if report.number <= previous.number || delay - min_delay.0 > stale_ms as f64 || jumped {
                    self.counts.outdated += 1;
                    return Err(RejectedReport(format!(
                        "number: {}; it was overtaken, or too long on its way",
                        report.number
                    )));
                }
            } else if is_fresh && report.life < previous.incarnation {
                self.counts.outdated += 1;
                return Err(RejectedReport(format!(
                    "life: {}; that of {} is {}",
                    report.life, report.agent, previous.incarnation
                )));
            }
        } else if self.agents.len() >= MAX_AGENTS {
            self.counts.rejected += 1;
            return Err(RejectedReport(format!("agent: {MAX_AGENTS} at the most")));
        }
        self.counts.accepted += 1;
        let settings = self.settings;
        let agent = self.agents.entry(report.agent.clone()).or_insert_with(|| AgentState {
            incarnation: report.life,
            number: 0,
            zone: report.zone.clone(),
            received_at: now,
            min_delay,
            demand: report.need,
            demand_weight: 0.0,
            window_sums: BTreeMap::new(),
            recent_sums: BTreeMap::new(),
            probe_sums: BTreeMap::new(),
            decayed_at: now,
            places: Vec::new(),
        });
        agent.decay(now, &settings);
        let elapsed = now.saturating_sub(agent.received_at).max(1) as f64;
        let weight = 1.0 - (-elapsed / (DEMAND_WINDOWS * settings.window_ms) as f64).exp();
        agent.demand_weight += weight * (1.0 - agent.demand_weight);
        agent.demand += (report.need - agent.demand) * weight / agent.demand_weight;
        (agent.incarnation, agent.number, agent.received_at, agent.min_delay) =
            (report.life, report.number, now, min_delay);
        agent.zone = report.zone;
        for line in report.lines {
            let key = (line.to, line.class);
            for sums in [&mut agent.window_sums, &mut agent.recent_sums, &mut agent.probe_sums] {
                let sums = sums.entry(key.clone()).or_default();
                for (sum, count) in sums.iter_mut().zip([line.attempts, line.bad, line.late]) {
                    *sum += f64::from(count);
                }
            }
        }
        agent.places = report.places;
        Ok(())
    }

    /// Sets the drains that operators want now. New drains and removed ones begin their ramps.
    pub fn set_drains(&mut self, now: u64, drains: &[Drain]) {
        for drain in drains.iter().take(MAX_ZONES) {
            let existing = self.drains.get(&drain.zone);
            if existing.is_some_and(|ramp| ramp.to == 0.0 && ramp.force == drain.force) {
                continue;
            }
            let from = existing.map_or(1.0, |ramp| ramp.fraction_at(now));
            let ramp = DrainRamp {
                started_at: now,
                from,
                to: 0.0,
                duration_ms: self.settings.drain_ms,
                force: drain.force,
            };
            self.drains.insert(drain.zone.clone(), ramp);
        }
        let wanted: BTreeSet<&str> = drains.iter().map(|d| d.zone.as_str()).collect();
        for (zone, ramp) in &mut self.drains {
            if ramp.to == 0.0 && !wanted.contains(zone.as_str()) {
                *ramp = DrainRamp {
                    started_at: now,
                    from: ramp.fraction_at(now),
                    to: 1.0,
                    duration_ms: self.settings.ramp_ms,
                    force: false,
                };
            }
        }
        self.drains.retain(|_, ramp| ramp.to == 0.0 || ramp.fraction_at(now) < 1.0);
    }

    /// Agents whose last report is not stale.
    fn fresh_agents(&self, now: u64) -> impl Iterator<Item = &AgentState> {
        let stale_ms = self.settings.stale_ms;
        self.agents.values().filter(move |a| now.saturating_sub(a.received_at) <= stale_ms)
    }

    /// All zones that any agent reports, with the median of the capacities and the sum of the demands in
    /// fresh reports.
    fn zone_summaries(&self, now: u64) -> Vec<ZoneSummary> {
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for agent in self.agents.values() {
            names.insert(&agent.zone);
            names.extend(agent.places.iter().map(|p| p.zone.as_str()));
        }
        let mut summaries = Vec::new();
        for name in names.into_iter().take(MAX_ZONES) {
            let places: Vec<&ZoneCapacity> =
                self.fresh_agents(now).flat_map(|a| a.places.iter().filter(|p| p.zone == name)).collect();
            let of = |pick: fn(&ZoneCapacity) -> f64| median(places.iter().map(|p| pick(p)).collect());
            summaries.push(ZoneSummary {
                name: name.to_string(),
                servers: of(|p| f64::from(p.servers)) as u32,
                size: of(|p| p.size) * f64::from(self.settings.slots_milli) / 1000.0,
                warm: of(|p| p.warm) * f64::from(self.settings.slots_milli) / 1000.0,
                demand: self.fresh_agents(now).filter(|a| a.zone == name).map(|a| a.demand).sum(),
                has_reports: self.fresh_agents(now).any(|a| a.zone == name),
            });
        }
        summaries
    }

    /// The demand of the gatekeepers whose agents are silent: they may still send that much to any zone.
    fn silent_demand(&self, now: u64) -> f64 {
        let is_silent = |a: &&AgentState| {
            let age_ms = now.saturating_sub(a.received_at);
            age_ms > self.settings.stale_ms && age_ms <= self.settings.forget_ms
        };
        self.agents.values().filter(is_silent).map(|a| a.demand).sum()
    }

    /// The impaired fraction of a zone as measured by its own agents, if they made enough attempts, and
    /// otherwise by those of the other zones that are not cut off. Where the zone's own agents measure no
    /// failures and others do, the path is at fault and not the zone, or a report is false; the paths of the
    /// other zones take care of that.
    fn zone_impairment(
        &self,
        now: u64,
        cut_off: &BTreeSet<String>,
        to: &str,
        min_attempts: f64,
        horizon: Horizon,
    ) -> Option<f64> {
        let own = self.combined_impairment(
            self.fresh_agents(now).filter(|a| a.zone == to),
            to,
            min_attempts,
            horizon,
        );
        let others = || self.fresh_agents(now).filter(|a| a.zone != to && !cut_off.contains(a.zone.as_str()));
        own.or_else(|| self.combined_impairment(others(), to, min_attempts, horizon))
    }

    /// The least number of attempts that count as a measurement: fewer where little traffic is sent.
    fn min_attempts(&self, path: &(Option<String>, String)) -> f64 {
        let has_little_traffic = self.paths.get(path).is_some_and(|path| path.phase() != Phase::Serving);
        if has_little_traffic { MIN_CLASS_ATTEMPTS } else { f64::from(self.settings.least_attempts) }
    }

    /// The impaired fraction of a zone as measured by these agents, weighted by attempts. Of two agents the
    /// lower value counts; of three or more the highest and the lowest are dropped. No agent's weight exceeds
    /// `MAX_WEIGHT_PER_MEDIAN` times the median.
    fn combined_impairment<'a>(
        &self,
        agents: impl Iterator<Item = &'a AgentState>,
        to: &str,
        min_attempts: f64,
        horizon: Horizon,
    ) -> Option<f64> {
        let mut measured: Vec<(f64, f64)> = agents.filter_map(|a| a.impaired_fraction(to, horizon)).collect();
        let attempts: f64 = measured.iter().map(|s| s.1).sum();
        if attempts < min_attempts {
            return None;
        }
        let max_weight = MAX_WEIGHT_PER_MEDIAN * median(measured.iter().map(|s| s.1).collect());
        measured.iter_mut().for_each(|s| s.1 = s.1.min(max_weight));
        measured.sort_by(|a, b| a.0.total_cmp(&b.0));
        if measured.len() >= 2 {
            measured.pop();
        }
        if measured.len() >= 2 {
            measured.remove(0);
        }
        let weight: f64 = measured.iter().map(|s| s.1).sum();
        (weight > 0.0).then(|| measured.iter().map(|s| s.0 * s.1).sum::<f64>() / weight)
    }

    /// Advances to `now`. Returns a decision if a new one is due.
    pub fn tick(&mut self, now: u64) -> Option<Decision> {
        let settings = self.settings;
        self.agents.values_mut().for_each(|a| a.decay(now, &settings));
        let forget_ms = self.settings.forget_ms;
        self.agents.retain(|_, a| now.saturating_sub(a.received_at) <= forget_ms);
        let summaries = self.zone_summaries(now);
        // A single zone has no zone to fail over to.
        if summaries.len() < 2 || self.fresh_agents(now).next().is_none() {
            return None;
        }
        self.update_paths(now, &summaries);
        let new = self.build_decision(now, &summaries);
        if !self.is_new(now, &new) {
            return None;
        }
        self.last_decision = Some((new.clone(), now));
        Some(new)
    }

    /// Applies the current observations to all paths.
    fn update_paths(&mut self, now: u64, summaries: &[ZoneSummary]) {
        let names: BTreeSet<&str> = summaries.iter().map(|summary| summary.name.as_str()).collect();
        self.paths.retain(|(from, to), _| {
            names.contains(to.as_str()) && from.as_ref().is_none_or(|f| names.contains(f.as_str()))
        });
        let settings = self.settings;
        for to in summaries {
            for from in summaries.iter().filter(|f| f.has_reports) {
                let key = (Some(from.name.clone()), to.name.clone());
                let min_attempts = self.min_attempts(&key);
                let of = |horizon| {
                    self.combined_impairment(
                        self.fresh_agents(now).filter(|a| a.zone == from.name),
                        &to.name,
                        min_attempts,
                        horizon,
                    )
                };
                let observed = path_observation(to, from.name == to.name, of);
                self.paths.entry(key).or_default().observe(now, observed, &settings);
            }
        }
        let cut_off = self.cut_off_zones(summaries);
        for to in summaries {
            let key = (None, to.name.clone());
            let min_attempts = self.min_attempts(&key);
            let observed = path_observation(to, to.has_reports, |horizon| {
                self.zone_impairment(now, &cut_off, &to.name, min_attempts, horizon)
            });
            self.paths.entry(key).or_default().observe(now, observed, &settings);
        }
        // Attempts from before the probing or the return began do not show how the zone is now.
        let started: Vec<(Option<String>, String)> =
            self.paths.iter().filter(|(_, path)| path.just_started(now)).map(|(k, _)| k.clone()).collect();
        for (from, to) in started {
            for agent in self.agents.values_mut().filter(|a| from.as_ref().is_none_or(|f| *f == a.zone)) {
                agent.window_sums.retain(|(zone, _), _| *zone != to);
                agent.recent_sums.retain(|(zone, _), _| *zone != to);
                agent.probe_sums.retain(|(zone, _), _| *zone != to);
            }
        }
    }

    /// Whether a zone's own gatekeepers only probe it, as the zone is out for them.
    fn is_probed(&self, zone: &str) -> bool {
        let own = self.paths.get(&(Some(zone.to_string()), zone.to_string()));
        own.is_some_and(|l| matches!(l.phase(), Phase::Out { .. }))
    }

    /// Whether the path from `from` (`None`: all zones together) to `to` is closed.
    fn is_path_closed(&self, from: Option<&str>, to: &str) -> bool {
        self.paths.get(&(from.map(str::to_string), to.to_string())).is_some_and(ZonePath::is_closed)
    }

    /// The zones that are cut off: they reach their own servers but none of the other zones', while at least
    /// one other zone is healthy by the measurements of its own agents.
    fn cut_off_zones(&self, summaries: &[ZoneSummary]) -> BTreeSet<String> {
        let is_healthy = |summary: &ZoneSummary| {
            summary.has_reports
                && summary.servers > 0
                && !self.is_path_closed(Some(&summary.name), &summary.name)
        };
        let is_cut_off = |summary: &&ZoneSummary| {
            let mut others = summaries.iter().filter(|o| o.name != summary.name && o.servers > 0).peekable();
            others.peek().is_some()
                && is_healthy(summary)
                && others.all(|o| self.is_path_closed(Some(&summary.name), &o.name))
                && summaries.iter().any(|o| o.name != summary.name && is_healthy(o))
        };
        summaries.iter().filter(is_cut_off).map(|summary| summary.name.clone()).collect()
    }

    /// Allocates the traffic of all zones, either for now or for the end of all ramps (`at_end`). `drained`
    /// names a zone to treat as fully drained.
    fn allocate_traffic(
        &self,
        now: u64,
        summaries: &[ZoneSummary],
        at_end: bool,
        drained: Option<&str>,
    ) -> (AllocationInput, Allocation) {
        let n = summaries.len();
        let fill = f64::from(self.settings.fill_milli) / 1000.0;
        let pick = |(start, end): (f64, f64)| if at_end { end } else { start };
        let usable_fraction = |from: &ZoneSummary, to: &ZoneSummary| {
            let own = self.paths.get(&(Some(from.name.clone()), to.name.clone()));
            let all = self.paths.get(&(None, to.name.clone())).filter(|_| from.name != to.name);
            own.into_iter().chain(all).map(|path| pick(path.fraction(now))).fold(1.0, f64::min)
        };
        let mut usable_fractions: Vec<Vec<f64>> = summaries
            .iter()
            .map(|from| summaries.iter().map(|to| usable_fraction(from, to)).collect())
            .collect();
        for row in &mut usable_fractions {
            // If no listed zone is open to a zone's traffic, all of them are opened: an arbitrary choice is
            // better than none.
            let open = row.iter().zip(summaries).any(|(p, summary)| *p > 0.0 && summary.size > 0.0);
            if !open {
                row.iter_mut().for_each(|p| *p = 1.0);
            }
        }
        let silent_demand = self.silent_demand(now) / n.max(1) as f64;
        let capacity = summaries.iter().map(|summary| {
            ((if at_end { summary.size } else { summary.warm }) * fill - silent_demand).max(0.0)
        });
        let drain_fraction = |summary: &ZoneSummary| match self.drains.get(&summary.name) {
            _ if drained == Some(summary.name.as_str()) => 0.0,
            Some(ramp) => pick((ramp.fraction_at(now), ramp.to)),
            None => 1.0,
        };
        let input = AllocationInput {
            demand: summaries.iter().map(|summary| summary.demand).collect(),
            capacity: capacity.collect(),
            usable: usable_fractions,
            undrained: summaries.iter().map(drain_fraction).collect(),
            drain_forced: summaries
                .iter()
                .map(|summary| self.drains.get(&summary.name).is_some_and(|ramp| ramp.force))
                .collect(),
        };
        let allocation = allocate(&input);
        (input, allocation)
    }

    /// The shares of one zone's traffic in thousandths: of the zone itself, and of each zone elsewhere,
    /// bursts included.
    fn row_shares(
        &self,
        summaries: &[ZoneSummary],
        input: &AllocationInput,
        allocation: &Allocation,
        from: usize,
    ) -> (u32, Vec<u32>) {
        let demand = input.demand[from].max(1e-6);
        let milli = |x: f64| (1000.0 * x).clamp(0.0, 1000.0);
        let is_idle = input.demand[from] < 0.01;
        let near = match (is_idle, summaries[from].size > 0.0) {
            (_, false) => 0.0,
            (true, true) => milli(input.usable[from][from] * input.undrained[from]),
            (false, true) => milli(allocation.assigned[from][from] / demand),
        };
        let far: Vec<f64> = (0..summaries.len())
            .map(|to| {
                let assigned = if is_idle { 0.0 } else { allocation.assigned[from][to] / demand };
                let burst = milli(allocation.burst[from][to] / demand).min(MAX_BURST_MILLI);
                if to == from { 0.0 } else { milli(assigned) + burst }
            })
            .collect();
        // While all paths are healthy and no zone is drained, no traffic is refused for want of capacity: the
        // capacity of a server is only an estimate, and each gatekeeper measures its own servers better. The
        // same holds where no zone at all is left.
        let total: f64 = near + far.iter().sum::<f64>();
        let all_healthy =
            self.drains.is_empty() && self.paths.values().all(|path| path.phase() == Phase::Serving);
        let scale = match total {
            _ if total <= 0.0 => return (1000, vec![0; summaries.len()]),
            _ if all_healthy && total < 1000.0 => 1000.0 / total,
            _ => 1.0,
        };
        let whole = |x: f64| (x * scale).round().clamp(0.0, 1000.0) as u32;
        let near = if near >= 995.0 { 1000 } else { whole(near) };
        (near, far.into_iter().map(whole).collect())
    }

    /// The state of a zone, by its paths and drains.
    fn zone_state(&self, zone: &str, cut_off: Option<&BTreeSet<String>>) -> ZoneState {
        if cut_off.is_some_and(|c| c.contains(zone)) {
            return ZoneState::CutOff;
        }
        let of = |from: Option<&str>| {
            let path = self.paths.get(&(from.map(str::to_string), zone.to_string()));
            match path.map_or(Phase::Serving, ZonePath::phase) {
                Phase::Serving => ZoneState::Serving,
                Phase::Shedding(_) => ZoneState::Shedding,
                Phase::Out { .. } => ZoneState::Out,
                Phase::ComingBack { .. } => ZoneState::ComingBack,
            }
        };
        let rank = |s: ZoneState| {
            [ZoneState::Serving, ZoneState::ComingBack, ZoneState::Shedding, ZoneState::Out]
                .iter()
                .position(|x| *x == s)
        };
        let (own, all) = (of(Some(zone)), of(None));
        let worst = if rank(own) > rank(all) { own } else { all };
        match self.drains.get(zone) {
            Some(ramp) if ramp.to == 0.0 && worst != ZoneState::Out => ZoneState::Shedding,
            Some(_) if worst == ZoneState::Serving => ZoneState::ComingBack,
            _ => worst,
        }
    }

    /// Builds the decision for `now`.
    fn build_decision(&self, now: u64, summaries: &[ZoneSummary]) -> Decision {
        let cut_off = self.cut_off_zones(summaries);
        let (input, allocation) = self.allocate_traffic(now, summaries, false, None);
        let (input_at_end, allocation_at_end) = self.allocate_traffic(now, summaries, true, None);
        let warm_up_ms =
            |summary: &ZoneSummary| match summary.size > 0.0 && summary.warm < 0.95 * summary.size {
                true => (self.settings.warm_ms as f64 * (1.0 - summary.warm / summary.size)) as u64,
                false => 0,
            };
        let returns = self.paths.values().map(|path| path.remaining_ms(now));
        let drains = self.drains.values().map(|ramp| ramp.remaining_ms(now));
        let ramp_ms = returns.chain(drains).chain(summaries.iter().map(warm_up_ms)).max().unwrap_or(0);
        let mut rows = Vec::new();
        let mut zones = Vec::new();
        for (from, summary) in summaries.iter().enumerate() {
            let (near, far) = self.row_shares(summaries, &input, &allocation, from);
            let (near_end, far_end) = self.row_shares(summaries, &input_at_end, &allocation_at_end, from);
            let spill = (0..summaries.len())
                .filter(|to| *to != from && (far[*to] > 0 || far_end[*to] > 0))
                .map(|to| Spill {
                    to: summaries[to].name.clone(),
                    share: Share { start: far[to], end: far_end[to] },
                });
            let spill = spill.collect();
            let with_probes = |milli: u32| {
                if summary.servers > 0 && self.is_probed(&summary.name) {
                    milli.max(PROBE_SHARE_MILLI)
                } else {
                    milli
                }
            };
            let shares = Share { start: with_probes(near), end: with_probes(near_end) };
            rows.push(RoutingRow { from: summary.name.clone(), near: shares, spill });
            let impaired =
                self.zone_impairment(now, &cut_off, &summary.name, MIN_CLASS_ATTEMPTS, Horizon::Window);
            let mut state = self.zone_state(&summary.name, Some(&cut_off));
            let lacks_capacity = summary.size > 0.0 && near < MIN_NEAR_MILLI && near_end < MIN_NEAR_MILLI;
            let is_short = state == ZoneState::Serving && lacks_capacity;
            if is_short {
                state = ZoneState::Shedding;
            }
            let why = match (state, impaired) {
                _ if self.drains.get(&summary.name).is_some_and(|ramp| ramp.to == 0.0) => {
                    "drained by hand".into()
                }
                (ZoneState::Serving | ZoneState::ComingBack, _) => String::new(),
                (ZoneState::CutOff, _) => "it reaches its own servers alone".into(),
                _ if summary.servers == 0 => "no server is listed".into(),
                _ if is_short => SHORT_OF_CAPACITY.into(),
                (_, Some(x)) => format!("{:.0}% of its requests suffer", 100.0 * x),
                _ => "its requests suffered".into(),
            };
            let milli = |x: f64| (x.max(0.0) * 1000.0).round() as u64;
            zones.push(ZoneAssessment {
                zone: summary.name.clone(),
                state,
                why,
                suffers_milli: (impaired.unwrap_or(0.0) * 1000.0).round() as u32,
                bears_milli: milli(input.capacity[from]),
                needs_milli: milli(summary.demand),
            });
        }
        Decision { zones, rows, ramp_ms }
    }

    /// Whether `new` differs enough from the decision in effect to be published.
    fn is_new(&self, now: u64, new: &Decision) -> bool {
        let Some((last, at)) = &self.last_decision else { return true };
        let states = |d: &Decision| -> Vec<(String, ZoneState)> {
            // A returning zone becomes `Serving` at the end of its ramp without another decision, and a zone
            // that is short of capacity is compared by its shares.
            let comparable_state = |z: &ZoneAssessment| match z.state {
                ZoneState::ComingBack => ZoneState::Serving,
                ZoneState::Shedding if z.why == SHORT_OF_CAPACITY => ZoneState::Serving,
                s => s,
            };
            d.zones.iter().map(|z| (z.zone.clone(), comparable_state(z))).collect()
        };
        if states(last) != states(new) {
            return true;
        }
        let elapsed = now.saturating_sub(*at);
        // A path that closes is published soon, whatever the state of its zone, and paths that close together
        // share one decision.
        let no_share = Share::default();
        let of = |r: &RoutingRow, to: &str| r.spill.iter().find(|s| s.to == to).map_or(no_share, |s| s.share);
        let closes = |row: &RoutingRow| {
            let Some(old) = last.row(&row.from) else { return false };
            let closed = |was: Share, is: Share| {
                was.at(elapsed, last.ramp_ms) > CLOSING_SHARE_MILLI && is.start == 0 && is.end == 0
            };
            closed(old.near, row.near) || old.spill.iter().any(|s| closed(s.share, of(row, &s.to)))
        };
        if elapsed >= CLOSING_DELAY_FACTOR * self.settings.sure_ms && new.rows.iter().any(closes) {
            return true;
        }
        if elapsed < self.settings.least_ms {
            return false;
        }
        let exceeds = |a: u32, b: u32, tolerance: u32| a.abs_diff(b) > tolerance;
        let differs = |old: &Share, new: &Share, tolerance: u32| {
            exceeds(old.at(elapsed, last.ramp_ms), new.start, tolerance)
                || exceeds(old.end, new.end, tolerance)
        };
        new.rows.iter().any(|row| {
            let Some(old) = last.row(&row.from) else { return true };
            let to: BTreeSet<&str> = row.spill.iter().chain(&old.spill).map(|s| s.to.as_str()).collect();
            differs(&old.near, &row.near, NEAR_TOLERANCE_MILLI)
                || to.into_iter().any(|t| differs(&of(old, t), &of(row, t), SPILL_TOLERANCE_MILLI))
        })
    }

    /// Whether the other zones have capacity for a zone's traffic.
    ///
    /// # Errors
    /// Returns the figures if they have not.
    pub fn can_drain(&self, now: u64, zone: &str) -> Result<(), CapacityShortfall> {
        let summaries = self.zone_summaries(now);
        let (mut input, _) = self.allocate_traffic(now, &summaries, false, Some(zone));
        // A zone that is already being drained cannot take any of it.
        for (summary, forced) in summaries.iter().zip(&mut input.drain_forced) {
            *forced |=
                summary.name == zone || self.drains.get(&summary.name).is_some_and(|ramp| ramp.to == 0.0);
        }
        let allocation = allocate(&input);
        let shortfall: f64 = allocation.unassigned.iter().sum();
        if shortfall <= 1e-6 {
            return Ok(());
        }
        let others = input.capacity.iter().zip(&input.drain_forced).filter(|(_, forced)| !**forced);
        Err(CapacityShortfall {
            demand: input.demand.iter().sum(),
            capacity: others.map(|(b, _)| b).sum(),
            shortfall,
        })
    }

    /// Whether any agent reports this zone.
    #[must_use]
    pub fn knows_zone(&self, now: u64, zone: &str) -> bool {
        self.zone_summaries(now).iter().any(|summary| summary.name == zone)
    }

    /// Returns the input of the controller, for operators.
    #[must_use]
    pub fn view(&self, now: u64) -> FailoverView {
        let agent_row = |(name, a): (&String, &AgentState)| {
            let age_ms = now.saturating_sub(a.received_at);
            (name.clone(), a.zone.clone(), age_ms, age_ms <= self.settings.stale_ms)
        };
        FailoverView { agents: self.agents.iter().map(agent_row).collect(), counts: self.counts }
    }
}
