//! From what agents report and operators intend to one decision, by the owner's own clock.

use crate::allocation::{Allocation, AllocationInput, allocate};
use crate::decision::{Decision, RoutingRow, Share, Spill, ZoneAssessment, ZoneState};
use crate::report::{Drain, MAX_ZONES, RejectedReport, Report, ZoneCapacity};
use crate::settings::Settings;
use crate::zone_path::{PathObservation, Phase, TRIES_MILLI, ZonePath};
use std::collections::{BTreeMap, BTreeSet};

/// Agents that are remembered.
const AGENTS_MOST: usize = 1024;
/// A class of which so few were tried says nothing.
const CLASS_LEAST: f64 = 3.0;
/// An agent's word counts for no more than so many times the middle one's.
const WEIGHT_MOST: f64 = 2.0;
/// Shares that differ by less, in thousandths, are alike; so are those of what may come on top.
const ALIKE: u32 = 150;
const ALIKE_MORE: u32 = 300;
/// A share above this that goes to nothing is told soon: so many times what makes sure after the last word.
const SHUT: u32 = 20;
const SHUT_TIMES: u64 = 3;
/// What may go elsewhere for a moment, at the most, in thousandths of a zone's traffic.
const MORE_MOST: f64 = 300.0;
/// A zone that may keep less of its own traffic than this, for want of room, is shedding.
const NEAR_LEAST: u32 = 900;
/// How far two hosts' clocks may run apart: a report's age is told by the time its way took beyond the shortest.
const DRIFT: f64 = 0.1;
/// The first report of a life may have been so long on its way, in ms.
const JUMP_MOST: f64 = 60_000.0;

/// What tries a zone that is out is little: it counts over so many windows.
const TRIAL_TIMES: u64 = 16;

/// What a zone needs is known over so many windows: in the moment of a loss all is asked twice, and takes longer.
const NEED_TIMES: u64 = 5;

/// Over which time evidence counts: the window, what makes sure, or the time of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Over {
    Window,
    Quick,
    Trial,
}

/// Attempts, failures and late answers, fading.
type Sums = [f64; 3];

#[derive(Debug, Clone)]
struct Agent {
    life: u64,
    number: u64,
    zone: String,
    at: u64,
    /// The least time that a report took, by the two clocks' difference, and when that was found.
    way: (f64, u64),
    need: f64,
    /// How much of `need` is known: the first reports count alike, so that a burst among them is not taken for what is usual.
    need_known: f64,
    /// Over the window, and over the time after which something is sure: what is lost shows there first.
    sums: BTreeMap<(String, u32), Sums>,
    quick: BTreeMap<(String, u32), Sums>,
    /// Over the time of a trial.
    long: BTreeMap<(String, u32), Sums>,
    faded: u64,
    places: Vec<ZoneCapacity>,
}

impl Agent {
    fn fade(&mut self, now: u64, s: &Settings) {
        let ms = now.saturating_sub(self.faded) as f64;
        self.faded = now;
        let long = TRIAL_TIMES * s.window_ms;
        for (sums, over) in
            [(&mut self.sums, s.window_ms), (&mut self.quick, quick_ms(s)), (&mut self.long, long)]
        {
            let kept = (-ms / over.max(1) as f64).exp();
            sums.values_mut().for_each(|s| s.iter_mut().for_each(|x| *x *= kept));
            sums.retain(|_, s| s[0] > 0.01);
        }
    }

    /// The part that suffers at a zone: of the class that suffers most, if enough of it was tried. With what was tried.
    fn suffers(&self, to: &str, over: Over) -> Option<(f64, f64)> {
        let sums = match over {
            Over::Window => &self.sums,
            Over::Quick => &self.quick,
            Over::Trial => &self.long,
        };
        let classes = || sums.iter().filter(|((zone, _), _)| zone == to).map(|(_, s)| s);
        let all: f64 = classes().map(|s| s[0]).sum();
        if over == Over::Trial {
            // So little is sent that classes are not told apart.
            let bad: f64 = classes().map(|s| s[1] + s[2]).sum();
            return (all >= CLASS_LEAST).then(|| (bad / all, all));
        }
        let least = CLASS_LEAST.max(0.1 * all);
        let worst = classes().filter(|s| s[0] >= least).map(|s| (s[1] + s[2]) / s[0]).reduce(f64::max)?;
        Some((worst, all))
    }
}

fn quick_ms(s: &Settings) -> u64 {
    s.sure_ms.clamp(100, s.window_ms)
}

/// Why a zone is sent less where nothing else is wrong with it.
const SHORT: &str = "short of room";

/// What was taken and what was not, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Reports taken.
    pub accepted: u64,
    /// Reports that can't be.
    pub rejected: u64,
    /// Reports that were overtaken, or too long on their way.
    pub outdated: u64,
}

/// The others can't bear a zone's traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityShortfall {
    /// What all zones' requests need.
    pub demand: f64,
    /// What the zones that are left bear.
    pub capacity: f64,
    /// What would be refused.
    pub shortfall: f64,
}

/// What the judge goes by, for people.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FailoverView {
    /// Agents: name, zone, ms since their last report, and whether it still counts.
    pub agents: Vec<(String, String, u64, bool)>,
    /// Reports.
    pub counts: ReportCounts,
}

/// An operator's drain as it takes hold, or is undone.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Tap {
    since: u64,
    from: f64,
    to: f64,
    over: u64,
    force: bool,
}

impl Tap {
    fn at(&self, now: u64) -> f64 {
        let gone = (now.saturating_sub(self.since) as f64 / self.over.max(1) as f64).min(1.0);
        self.from + (self.to - self.from) * gone
    }

    fn left(&self, now: u64) -> u64 {
        (self.since + self.over).saturating_sub(now)
    }
}

/// The one that decides.
#[derive(Debug, Clone)]
pub struct FailoverController {
    s: Settings,
    agents: BTreeMap<String, Agent>,
    /// By zone of origin, none for all together, and zone.
    lanes: BTreeMap<(Option<String>, String), ZonePath>,
    taps: BTreeMap<String, Tap>,
    last: Option<(Decision, u64)>,
    counts: ReportCounts,
}

/// A zone as it is known now.
struct Known {
    name: String,
    servers: u32,
    size: f64,
    warm: f64,
    need: f64,
    /// Whether an agent in it is heard.
    heard: bool,
}

/// What is seen of a zone, by what is known of its servers.
fn looked(to: &Known, tries: bool, of: impl Fn(Over) -> Option<f64>) -> PathObservation {
    let (suffers, quick, trial) = (of(Over::Window), of(Over::Quick), of(Over::Trial));
    PathObservation { suffers, quick, trial, tries, there: to.servers > 0 }
}

fn middle(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

impl FailoverController {
    /// Knows nothing yet.
    #[must_use]
    pub fn new(s: Settings) -> FailoverController {
        FailoverController {
            s,
            agents: BTreeMap::new(),
            lanes: BTreeMap::new(),
            taps: BTreeMap::new(),
            last: None,
            counts: ReportCounts::default(),
        }
    }

    /// A new owner goes on from the decision that stands: what is out stays out for a while, what comes back goes on.
    #[must_use]
    pub fn resume(s: Settings, stands: Decision, now: u64) -> FailoverController {
        let mut judge = FailoverController::new(s);
        for zone in &stands.zones {
            if zone.state == ZoneState::Out {
                judge.lanes.insert((None, zone.zone.clone()), ZonePath::out(now, &s));
                judge.lanes.insert((Some(zone.zone.clone()), zone.zone.clone()), ZonePath::out(now, &s));
            }
        }
        // A ramp that had begun may have gone on since: its end is taken for what is in effect.
        judge.last = Some((stands, now.saturating_sub(3_600_000)));
        judge
    }

    /// Takes a report in.
    ///
    /// # Errors
    /// When it can't be, or is old: nothing has changed then.
    pub fn record_report(&mut self, now: u64, sent_ms: u64, report: Report) -> Result<(), RejectedReport> {
        if let Err(why) = report.check() {
            self.counts.rejected += 1;
            return Err(why);
        }
        let stale = self.s.stale_ms;
        let took = now as f64 - sent_ms as f64;
        let mut way = (took, now);
        if let Some(known) = self.agents.get(&report.agent) {
            let fresh = now.saturating_sub(known.at) <= stale;
            if report.life == known.life {
                let drift = DRIFT * now.saturating_sub(known.way.1) as f64;
                way = if took <= known.way.0 + drift {
                    (took.min(known.way.0 + drift), now)
                } else {
                    known.way
                };
                // A clock that only goes forward can't have been so far off before.
                let jumped = took < known.way.0 - JUMP_MOST;
                if report.number <= known.number || took - way.0 > stale as f64 || jumped {
                    self.counts.outdated += 1;
                    return Err(RejectedReport(format!(
                        "number: {}; it was overtaken, or too long on its way",
                        report.number
                    )));
                }
            } else if fresh && report.life < known.life {
                self.counts.outdated += 1;
                return Err(RejectedReport(format!(
                    "life: {}; that of {} is {}",
                    report.life, report.agent, known.life
                )));
            }
        } else if self.agents.len() >= AGENTS_MOST {
            self.counts.rejected += 1;
            return Err(RejectedReport(format!("agent: {AGENTS_MOST} at the most")));
        }
        self.counts.accepted += 1;
        let s = self.s;
        let agent = self.agents.entry(report.agent.clone()).or_insert_with(|| Agent {
            life: report.life,
            number: 0,
            zone: report.zone.clone(),
            at: now,
            way,
            need: report.need,
            need_known: 0.0,
            sums: BTreeMap::new(),
            quick: BTreeMap::new(),
            long: BTreeMap::new(),
            faded: now,
            places: Vec::new(),
        });
        agent.fade(now, &s);
        let gone = now.saturating_sub(agent.at).max(1) as f64;
        let moves = 1.0 - (-gone / (NEED_TIMES * s.window_ms) as f64).exp();
        agent.need_known += moves * (1.0 - agent.need_known);
        agent.need += (report.need - agent.need) * moves / agent.need_known;
        (agent.life, agent.number, agent.at, agent.way) = (report.life, report.number, now, way);
        agent.zone = report.zone;
        for line in report.lines {
            let key = (line.to, line.class);
            for sums in [&mut agent.sums, &mut agent.quick, &mut agent.long] {
                let sums = sums.entry(key.clone()).or_default();
                for (sum, more) in sums.iter_mut().zip([line.attempts, line.bad, line.late]) {
                    *sum += f64::from(more);
                }
            }
        }
        agent.places = report.places;
        Ok(())
    }

    /// What operators intend now.
    pub fn set_drains(&mut self, now: u64, drains: &[Drain]) {
        for drain in drains.iter().take(MAX_ZONES) {
            let known = self.taps.get(&drain.zone);
            if known.is_some_and(|t| t.to == 0.0 && t.force == drain.force) {
                continue;
            }
            let from = known.map_or(1.0, |t| t.at(now));
            let tap = Tap { since: now, from, to: 0.0, over: self.s.drain_ms, force: drain.force };
            self.taps.insert(drain.zone.clone(), tap);
        }
        let wanted: BTreeSet<&str> = drains.iter().map(|d| d.zone.as_str()).collect();
        for (zone, tap) in &mut self.taps {
            if tap.to == 0.0 && !wanted.contains(zone.as_str()) {
                *tap = Tap { since: now, from: tap.at(now), to: 1.0, over: self.s.ramp_ms, force: false };
            }
        }
        self.taps.retain(|_, t| t.to == 0.0 || t.at(now) < 1.0);
    }

    fn fresh(&self, now: u64) -> impl Iterator<Item = &Agent> {
        let stale = self.s.stale_ms;
        self.agents.values().filter(move |a| now.saturating_sub(a.at) <= stale)
    }

    /// The zones that anybody speaks of, with what is known of them.
    fn known(&self, now: u64) -> Vec<Known> {
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for agent in self.agents.values() {
            names.insert(&agent.zone);
            names.extend(agent.places.iter().map(|p| p.zone.as_str()));
        }
        let mut known = Vec::new();
        for name in names.into_iter().take(MAX_ZONES) {
            let places: Vec<&ZoneCapacity> =
                self.fresh(now).flat_map(|a| a.places.iter().filter(|p| p.zone == name)).collect();
            let of = |pick: fn(&ZoneCapacity) -> f64| middle(places.iter().map(|p| pick(p)).collect());
            known.push(Known {
                name: name.to_string(),
                servers: of(|p| f64::from(p.servers)) as u32,
                size: of(|p| p.size) * f64::from(self.s.slots_milli) / 1000.0,
                warm: of(|p| p.warm) * f64::from(self.s.slots_milli) / 1000.0,
                need: self.fresh(now).filter(|a| a.zone == name).map(|a| a.need).sum(),
                heard: self.fresh(now).any(|a| a.zone == name),
            });
        }
        known
    }

    /// What those whose agent is silent are still expected to send, anywhere.
    fn ghosts(&self, now: u64) -> f64 {
        let age = |a: &&Agent| {
            let ms = now.saturating_sub(a.at);
            ms > self.s.stale_ms && ms <= self.s.forget_ms
        };
        self.agents.values().filter(age).map(|a| a.need).sum()
    }

    /// The part that suffers at a zone as those see it who judge it: who stands in it, where they tried enough. If they are
    /// well and others are not, the way is at fault and not the zone, or somebody lies; that is for the others' own lanes.
    fn judged(&self, now: u64, cut: &BTreeSet<String>, to: &str, least: f64, over: Over) -> Option<f64> {
        let own = self.suffers(self.fresh(now).filter(|a| a.zone == to), to, least, over);
        let others = || self.fresh(now).filter(|a| a.zone != to && !cut.contains(a.zone.as_str()));
        own.or_else(|| self.suffers(others(), to, least, over))
    }

    /// Attempts that say anything: few do where little is sent.
    fn least(&self, lane: &(Option<String>, String)) -> f64 {
        let few = self.lanes.get(lane).is_some_and(|l| l.phase() != Phase::Serving);
        if few { CLASS_LEAST } else { f64::from(self.s.least_attempts) }
    }

    /// The part that suffers at a zone as these agents see it. Of two the better word counts; of three or more the two
    /// farthest out don't, and none counts for much more than the middle one.
    fn suffers<'a>(
        &self,
        agents: impl Iterator<Item = &'a Agent>,
        to: &str,
        least: f64,
        over: Over,
    ) -> Option<f64> {
        let mut said: Vec<(f64, f64)> = agents.filter_map(|a| a.suffers(to, over)).collect();
        let tried: f64 = said.iter().map(|s| s.1).sum();
        if tried < least {
            return None;
        }
        let most = WEIGHT_MOST * middle(said.iter().map(|s| s.1).collect());
        said.iter_mut().for_each(|s| s.1 = s.1.min(most));
        said.sort_by(|a, b| a.0.total_cmp(&b.0));
        if said.len() >= 2 {
            said.pop();
        }
        if said.len() >= 2 {
            said.remove(0);
        }
        let weight: f64 = said.iter().map(|s| s.1).sum();
        (weight > 0.0).then(|| said.iter().map(|s| s.0 * s.1).sum::<f64>() / weight)
    }

    /// Time has passed. Gives a decision when there is a new one to make.
    pub fn tick(&mut self, now: u64) -> Option<Decision> {
        let s = self.s;
        self.agents.values_mut().for_each(|a| a.fade(now, &s));
        let forget = self.s.forget_ms;
        self.agents.retain(|_, a| now.saturating_sub(a.at) <= forget);
        let known = self.known(now);
        // One zone alone has nothing to fail over to.
        if known.len() < 2 || self.fresh(now).next().is_none() {
            return None;
        }
        self.look(now, &known);
        let new = self.decide(now, &known);
        if !self.is_new(now, &new) {
            return None;
        }
        self.last = Some((new.clone(), now));
        Some(new)
    }

    /// Brings all lanes up to now.
    fn look(&mut self, now: u64, known: &[Known]) {
        let names: BTreeSet<&str> = known.iter().map(|k| k.name.as_str()).collect();
        self.lanes.retain(|(from, to), _| {
            names.contains(to.as_str()) && from.as_ref().is_none_or(|f| names.contains(f.as_str()))
        });
        let s = self.s;
        for to in known {
            for from in known.iter().filter(|f| f.heard) {
                let key = (Some(from.name.clone()), to.name.clone());
                let least = self.least(&key);
                let of = |over| {
                    self.suffers(self.fresh(now).filter(|a| a.zone == from.name), &to.name, least, over)
                };
                let seen = looked(to, from.name == to.name, of);
                self.lanes.entry(key).or_default().look(now, seen, &s);
            }
        }
        let cut = self.cut_off(known);
        for to in known {
            let key = (None, to.name.clone());
            let least = self.least(&key);
            let seen = looked(to, to.heard, |over| self.judged(now, &cut, &to.name, least, over));
            self.lanes.entry(key).or_default().look(now, seen, &s);
        }
        // What was seen before a zone was left alone says nothing of how it comes back.
        let begun: Vec<(Option<String>, String)> =
            self.lanes.iter().filter(|(_, l)| l.begins(now)).map(|(k, _)| k.clone()).collect();
        for (from, to) in begun {
            for agent in self.agents.values_mut().filter(|a| from.as_ref().is_none_or(|f| *f == a.zone)) {
                agent.sums.retain(|(zone, _), _| *zone != to);
                agent.quick.retain(|(zone, _), _| *zone != to);
                agent.long.retain(|(zone, _), _| *zone != to);
            }
        }
    }

    /// Whether a zone's own gatekeepers only try it: it is out for them.
    fn tries(&self, zone: &str) -> bool {
        let own = self.lanes.get(&(Some(zone.to_string()), zone.to_string()));
        own.is_some_and(|l| matches!(l.phase(), Phase::Out { .. }))
    }

    fn shut(&self, from: Option<&str>, to: &str) -> bool {
        self.lanes.get(&(from.map(str::to_string), to.to_string())).is_some_and(ZonePath::shut)
    }

    /// Zones that reach their own servers and none of the others', while some other is well by its own word.
    fn cut_off(&self, known: &[Known]) -> BTreeSet<String> {
        let well = |k: &Known| k.heard && k.servers > 0 && !self.shut(Some(&k.name), &k.name);
        let one = |k: &&Known| {
            let mut others = known.iter().filter(|o| o.name != k.name && o.servers > 0).peekable();
            others.peek().is_some()
                && well(k)
                && others.all(|o| self.shut(Some(&k.name), &o.name))
                && known.iter().any(|o| o.name != k.name && well(o))
        };
        known.iter().filter(one).map(|k| k.name.clone()).collect()
    }

    /// What goes where, now or at the end of all ways back.
    fn flows(
        &self,
        now: u64,
        known: &[Known],
        at_end: bool,
        drained: Option<&str>,
    ) -> (AllocationInput, Allocation) {
        let n = known.len();
        let fill = f64::from(self.s.fill_milli) / 1000.0;
        let pick = |(start, end): (f64, f64)| if at_end { end } else { start };
        let part = |from: &Known, to: &Known| {
            let own = self.lanes.get(&(Some(from.name.clone()), to.name.clone()));
            let all = self.lanes.get(&(None, to.name.clone())).filter(|_| from.name != to.name);
            own.into_iter().chain(all).map(|lane| pick(lane.part(now))).fold(1.0, f64::min)
        };
        let mut parts: Vec<Vec<f64>> =
            known.iter().map(|from| known.iter().map(|to| part(from, to)).collect()).collect();
        for row in &mut parts {
            // Where nothing is left, all that is listed is open: a guess is better than none.
            let open = row.iter().zip(known).any(|(p, k)| *p > 0.0 && k.size > 0.0);
            if !open {
                row.iter_mut().for_each(|p| *p = 1.0);
            }
        }
        let ghosts = self.ghosts(now) / n.max(1) as f64;
        let bears = known.iter().map(|k| ((if at_end { k.size } else { k.warm }) * fill - ghosts).max(0.0));
        let tap = |k: &Known| match self.taps.get(&k.name) {
            _ if drained == Some(k.name.as_str()) => 0.0,
            Some(tap) => pick((tap.at(now), tap.to)),
            None => 1.0,
        };
        let given = AllocationInput {
            need: known.iter().map(|k| k.need).collect(),
            bears: bears.collect(),
            part: parts,
            drained: known.iter().map(tap).collect(),
            forced: known.iter().map(|k| self.taps.get(&k.name).is_some_and(|t| t.force)).collect(),
        };
        let flows = allocate(&given);
        (given, flows)
    }

    /// The shares of one zone's traffic, in thousandths: near, elsewhere, and of that what may only come on top.
    fn shares(
        &self,
        known: &[Known],
        given: &AllocationInput,
        flows: &Allocation,
        f: usize,
    ) -> (u32, Vec<u32>) {
        let need = given.need[f].max(1e-6);
        let milli = |x: f64| (1000.0 * x).clamp(0.0, 1000.0);
        let idle = given.need[f] < 0.01;
        let near = match (idle, known[f].size > 0.0) {
            (_, false) => 0.0,
            (true, true) => milli(given.part[f][f] * given.drained[f]),
            (false, true) => milli(flows.sent[f][f] / need),
        };
        let far: Vec<f64> = (0..known.len())
            .map(|t| {
                let sent = if idle { 0.0 } else { flows.sent[f][t] / need };
                let more = milli(flows.more[f][t] / need).min(MORE_MOST);
                if t == f { 0.0 } else { milli(sent) + more }
            })
            .collect();
        // Nothing is refused for want of room where all is well: what a server bears is no more than a guess, and each
        // gatekeeper's own word on its servers is better. Nor where nothing at all is left.
        let all: f64 = near + far.iter().sum::<f64>();
        let well = self.taps.is_empty() && self.lanes.values().all(|l| l.phase() == Phase::Serving);
        let scale = match all {
            _ if all <= 0.0 => return (1000, vec![0; known.len()]),
            _ if well && all < 1000.0 => 1000.0 / all,
            _ => 1.0,
        };
        let whole = |x: f64| (x * scale).round().clamp(0.0, 1000.0) as u32;
        let near = if near >= 995.0 { 1000 } else { whole(near) };
        (near, far.into_iter().map(whole).collect())
    }

    /// What is thought of a zone, by its lanes and by hand.
    fn state(&self, zone: &str, cut: Option<&BTreeSet<String>>) -> ZoneState {
        if cut.is_some_and(|c| c.contains(zone)) {
            return ZoneState::CutOff;
        }
        let of = |from: Option<&str>| {
            let lane = self.lanes.get(&(from.map(str::to_string), zone.to_string()));
            match lane.map_or(Phase::Serving, ZonePath::phase) {
                Phase::Serving => ZoneState::Serving,
                Phase::Shedding(_) => ZoneState::Shedding,
                Phase::Out { .. } => ZoneState::Out,
                Phase::Coming { .. } => ZoneState::ComingBack,
            }
        };
        let rank = |s: ZoneState| {
            [ZoneState::Serving, ZoneState::ComingBack, ZoneState::Shedding, ZoneState::Out]
                .iter()
                .position(|x| *x == s)
        };
        let (own, all) = (of(Some(zone)), of(None));
        let worst = if rank(own) > rank(all) { own } else { all };
        match self.taps.get(zone) {
            Some(tap) if tap.to == 0.0 && worst != ZoneState::Out => ZoneState::Shedding,
            Some(_) if worst == ZoneState::Serving => ZoneState::ComingBack,
            _ => worst,
        }
    }

    fn decide(&self, now: u64, known: &[Known]) -> Decision {
        let cut = self.cut_off(known);
        let (given, first) = self.flows(now, known, false, None);
        let (at_end, last) = self.flows(now, known, true, None);
        let cold = |k: &Known| match k.size > 0.0 && k.warm < 0.95 * k.size {
            true => (self.s.warm_ms as f64 * (1.0 - k.warm / k.size)) as u64,
            false => 0,
        };
        let ways = self.lanes.values().map(|l| l.left(now));
        let taps = self.taps.values().map(|t| t.left(now));
        let ramp_ms = ways.chain(taps).chain(known.iter().map(cold)).max().unwrap_or(0);
        let mut rows = Vec::new();
        let mut zones = Vec::new();
        for (f, k) in known.iter().enumerate() {
            let (near, far) = self.shares(known, &given, &first, f);
            let (near_end, far_end) = self.shares(known, &at_end, &last, f);
            let spill = (0..known.len()).filter(|t| *t != f && (far[*t] > 0 || far_end[*t] > 0)).map(|t| {
                Spill { to: known[t].name.clone(), share: Share { start: far[t], end: far_end[t] } }
            });
            let spill = spill.collect();
            let tried = |milli: u32| {
                if k.servers > 0 && self.tries(&k.name) { milli.max(TRIES_MILLI) } else { milli }
            };
            let shares = Share { start: tried(near), end: tried(near_end) };
            rows.push(RoutingRow { from: k.name.clone(), near: shares, spill });
            let suffers = self.judged(now, &cut, &k.name, CLASS_LEAST, Over::Window);
            let mut state = self.state(&k.name, Some(&cut));
            let tight = k.size > 0.0 && near < NEAR_LEAST && near_end < NEAR_LEAST;
            let short = state == ZoneState::Serving && tight;
            if short {
                state = ZoneState::Shedding;
            }
            let why = match (state, suffers) {
                _ if self.taps.get(&k.name).is_some_and(|t| t.to == 0.0) => "drained by hand".into(),
                (ZoneState::Serving | ZoneState::ComingBack, _) => String::new(),
                (ZoneState::CutOff, _) => "it reaches its own servers alone".into(),
                _ if k.servers == 0 => "no server is listed".into(),
                _ if short => SHORT.into(),
                (_, Some(x)) => format!("{:.0}% of its requests suffer", 100.0 * x),
                _ => "its requests suffered".into(),
            };
            let milli = |x: f64| (x.max(0.0) * 1000.0).round() as u64;
            zones.push(ZoneAssessment {
                zone: k.name.clone(),
                state,
                why,
                suffers_milli: (suffers.unwrap_or(0.0) * 1000.0).round() as u32,
                bears_milli: milli(given.bears[f]),
                needs_milli: milli(k.need),
            });
        }
        Decision { zones, rows, ramp_ms }
    }

    /// Whether it says something that the one in effect does not.
    fn is_new(&self, now: u64, new: &Decision) -> bool {
        let Some((last, at)) = &self.last else { return true };
        let states = |d: &Decision| -> Vec<(String, ZoneState)> {
            // Who comes back is there at the end of its way, without another word; who is short of room is told by figures.
            let plain = |z: &ZoneAssessment| match z.state {
                ZoneState::ComingBack => ZoneState::Serving,
                ZoneState::Shedding if z.why == SHORT => ZoneState::Serving,
                s => s,
            };
            d.zones.iter().map(|z| (z.zone.clone(), plain(z))).collect()
        };
        if states(last) != states(new) {
            return true;
        }
        let gone = now.saturating_sub(*at);
        // A way that is shut is told soon, whatever is thought of its zone; several that shut together in one word.
        let none = Share::default();
        let of = |r: &RoutingRow, to: &str| r.spill.iter().find(|s| s.to == to).map_or(none, |s| s.share);
        let shuts = |row: &RoutingRow| {
            let Some(old) = last.row(&row.from) else { return false };
            let shut =
                |was: Share, is: Share| was.at(gone, last.ramp_ms) > SHUT && is.start == 0 && is.end == 0;
            shut(old.near, row.near) || old.spill.iter().any(|s| shut(s.share, of(row, &s.to)))
        };
        if gone >= SHUT_TIMES * self.s.sure_ms && new.rows.iter().any(shuts) {
            return true;
        }
        if gone < self.s.least_ms {
            return false;
        }
        let far = |a: u32, b: u32, alike: u32| a.abs_diff(b) > alike;
        let differs = |old: &Share, new: &Share, alike: u32| {
            far(old.at(gone, last.ramp_ms), new.start, alike) || far(old.end, new.end, alike)
        };
        new.rows.iter().any(|row| {
            let Some(old) = last.row(&row.from) else { return true };
            let to: BTreeSet<&str> = row.spill.iter().chain(&old.spill).map(|s| s.to.as_str()).collect();
            differs(&old.near, &row.near, ALIKE)
                || to.into_iter().any(|t| differs(&of(old, t), &of(row, t), ALIKE_MORE))
        })
    }

    /// Whether the others could bear a zone's traffic.
    ///
    /// # Errors
    /// With the figures, when they can't.
    pub fn can_drain(&self, now: u64, zone: &str) -> Result<(), CapacityShortfall> {
        let known = self.known(now);
        let (mut given, _) = self.flows(now, &known, false, Some(zone));
        // A zone that is being drained already is no help.
        for (k, forced) in known.iter().zip(&mut given.forced) {
            *forced |= k.name == zone || self.taps.get(&k.name).is_some_and(|t| t.to == 0.0);
        }
        let flows = allocate(&given);
        let shortfall: f64 = flows.left.iter().sum();
        if shortfall <= 1e-6 {
            return Ok(());
        }
        let others = given.bears.iter().zip(&given.forced).filter(|(_, gone)| !**gone);
        Err(CapacityShortfall {
            demand: given.need.iter().sum(),
            capacity: others.map(|(b, _)| b).sum(),
            shortfall,
        })
    }

    /// Whether a zone is known.
    #[must_use]
    pub fn knows_zone(&self, now: u64, zone: &str) -> bool {
        self.known(now).iter().any(|k| k.name == zone)
    }

    /// What it goes by.
    #[must_use]
    pub fn view(&self, now: u64) -> FailoverView {
        let one = |(name, a): (&String, &Agent)| {
            let age = now.saturating_sub(a.at);
            (name.clone(), a.zone.clone(), age, age <= self.s.stale_ms)
        };
        FailoverView { agents: self.agents.iter().map(one).collect(), counts: self.counts }
    }
}
