//! The world of a run: gatekeepers with real decision modules, formula servers, the list, notes between gatekeepers, and
//! clients, all in one order of events by virtual time. Nothing here reads a clock; every random number comes from the
//! run's seed.

mod zones;

use crate::connections::{ConnectionPools, ConnectionUse};
use crate::event_queue::EventQueue;
use crate::formula_server::{ERROR_MS, FormulaServer, Job, JobAdmission, ServerFault, SlowStart};
use crate::herd_detection::{HerdAction, HerdDetector};
use crate::oracle::{FinalAnswer, Oracle, Trace};
use crate::scenario::{FaultKind, Scenario};
use crate::shop_population::{Shop, ShopPopulation};
use crate::stats::{Report, RunStats, ServerSums};
use frostvale::{
    Action, AttemptOutcome, AttemptResult, Control, EndpointUpdateKind, Event, Health, LoadReport, Name,
    Request, Server, Settings, ZoneObservation,
};
use rand::seq::index::sample;
use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The module hears of a limit so much before the client's, as the gatekeeper on sockets tells it.
const MARGIN_MS: f64 = 6.0;
/// A gatekeeper whose call to discovery failed calls again after this time, from and to.
const LIST_AGAIN_MS: [f64; 2] = [100.0, 1000.0];
/// After the last request, the run goes on for so long at the most.
const TAIL_MS: f64 = 60_000.0;
/// A connection that does not come up is given up after so long.
const CONNECT_MS: f64 = 250.0;
/// A server that is gone has this long for what it has in hand.
const FINISH_MS: f64 = 10_000.0;

/// One gatekeeper's decisions. The real ones are [`Control`]; tests put others in their place to see the oracles fail.
pub trait DecisionModule {
    /// Takes an event at a time in ms, and gives what is to be done.
    fn handle(&mut self, now: f64, event: Event) -> Vec<Action>;

    /// What it saw of zones since the last look; nothing, of one that has no eyes for them.
    fn observe_zones(&mut self, _now: f64) -> Option<ZoneObservation> {
        None
    }

    /// From now on it counts what it sees of zones.
    fn watch_zones(&mut self) {}
}

impl DecisionModule for Control {
    fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        Control::handle(self, now, event)
    }

    fn observe_zones(&mut self, now: f64) -> Option<ZoneObservation> {
        Some(Control::observe_zones(self, now))
    }

    fn watch_zones(&mut self) {
        Control::watch_zones(self, true);
    }
}

/// Makes a gatekeeper's mind from its settings and a seed.
pub type ModuleFactory<'a> = &'a dyn Fn(Settings, u64) -> Result<Box<dyn DecisionModule>, String>;

/// The real decision module.
///
/// # Errors
/// When it refuses the settings.
pub fn control_module(settings: Settings, seed: u64) -> Result<Box<dyn DecisionModule>, String> {
    Ok(Box::new(Control::new(settings, seed).map_err(|e| e.to_string())?))
}

/// Servers as the list tells of them.
type Lines = Rc<Vec<(u32, Server)>>;

/// What happens.
enum SimEvent {
    /// The next request of any client.
    Next,
    /// A client tries, for the first time or again.
    Try(u64),
    /// An attempt's last byte comes to a server.
    Whole {
        id: u64,
        attempt: u32,
    },
    /// A server is done with a job.
    Done {
        server: u32,
        life: u32,
        id: u64,
        attempt: u32,
    },
    /// An answer comes to a gatekeeper.
    Answer {
        id: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        holds: Option<usize>,
    },
    /// An attempt is not waited for any more.
    Deadline {
        id: u64,
        attempt: u32,
    },
    Leave(u64),
    Timer {
        gatekeeper: u32,
        life: u32,
        token: u64,
    },
    Note {
        to: u32,
        from: u32,
        text: Box<str>,
    },
    List {
        gatekeeper: u32,
        life: u32,
        kind: EndpointUpdateKind,
        lines: Lines,
    },
    Fault {
        which: usize,
        step: u32,
    },
    FaultEnd(usize),
    Start(u32),
    /// A gatekeeper that has no list asks for it again.
    Ask {
        gatekeeper: u32,
        life: u32,
    },
    Gone(u32),
    Zones(zones::ZoneStep),
}

/// A client's request over all of its tries.
struct ClientRequest {
    shop: Shop,
    class: usize,
    units: f64,
    work: f64,
    at: f64,
    left: u32,
    /// A new one after each failure: a failure promises nothing, so a further effect is the client's own doing.
    key: u64,
    inside: bool,
    again: bool,
}

/// An attempt that is out.
struct OutstandingAttempt {
    attempt: u32,
    server: u32,
    at: f64,
    whole: bool,
    /// The server's life to which it holds a connection.
    connected: Option<u32>,
}

/// One try of a client at one gatekeeper.
struct GatekeeperTry {
    asked: u64,
    gatekeeper: u32,
    at: f64,
    attempts: u32,
    charged: bool,
    out: Option<OutstandingAttempt>,
    answered: bool,
}

struct Gatekeeper {
    mind: Option<Box<dyn DecisionModule>>,
    life: u32,
    /// When the last news of the list reaches it: a watch keeps its order.
    listed: f64,
    intake: (f64, f64),
}

pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    make: ModuleFactory<'a>,
    cold: SlowStart,
    now: f64,
    queue: EventQueue<SimEvent>,
    rng: Pcg64Mcg,
    shops: ShopPopulation,
    conns: ConnectionPools,
    herds: HerdDetector,
    /// The list as it was, for those that start with an old one.
    history: Vec<(f64, Lines)>,
    gatekeepers: Vec<Gatekeeper>,
    servers: Vec<FormulaServer>,
    by_name: FxHashMap<Name, u32>,
    health: Vec<Health>,
    asked: FxHashMap<u64, ClientRequest>,
    tries: FxHashMap<u64, GatekeeperTry>,
    numbers: u64,
    oracle: Oracle,
    tally: RunStats,
    // What is wrong just now.
    surge: f64,
    split: bool,
    list_silent: u32,
    /// Discovery answers this part of the calls, and so many ms late.
    list_part: f64,
    list_late: f64,
    note_loss: f64,
    note_delay: f64,
    note_double: f64,
    sick: BTreeSet<u32>,
    hit: Vec<Vec<u32>>,
    zoned: zones::ZoneSimulation,
}

/// Runs a scenario with this seed, and gives what it came to.
///
/// # Errors
/// When the scenario can't be run at all.
pub fn run(scenario: &Scenario, seed: u64, make: ModuleFactory<'_>) -> Result<Report, String> {
    scenario.check()?;
    let mut world = World::new(scenario, seed, make)?;
    let end = scenario.seconds * 1000.0 + TAIL_MS;
    while let Some((at, event)) = world.queue.pop() {
        if at > end || world.oracle.broken.is_some() {
            break;
        }
        world.now = at;
        world.happens(event)?;
        if at > scenario.seconds * 1000.0 && world.asked.is_empty() {
            break;
        }
    }
    Ok(world.finish(seed))
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64, make: ModuleFactory<'a>) -> Result<World<'a>, String> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let shops = ShopPopulation::new(scenario, rng.random());
        let s = &scenario.servers;
        let mut world = World {
            make,
            cold: SlowStart { from: s.cold_from, warm_ms: s.warm_s * 1000.0, times: s.cold_times },
            now: 0.0,
            queue: EventQueue::default(),
            oracle: Oracle::new(scenario, shops.count()),
            tally: RunStats::new(scenario, shops.count())?,
            shops,
            conns: ConnectionPools::new(s.connections, s.idle_ms),
            herds: HerdDetector::default(),
            history: Vec::new(),
            gatekeepers: Vec::new(),
            servers: Vec::new(),
            by_name: FxHashMap::default(),
            health: Vec::new(),
            asked: FxHashMap::default(),
            tries: FxHashMap::default(),
            numbers: 0,
            surge: 1.0,
            split: false,
            list_silent: 0,
            list_part: 1.0,
            list_late: 0.0,
            note_loss: scenario.network.note_loss,
            note_delay: 0.0,
            note_double: 0.0,
            sick: BTreeSet::new(),
            hit: vec![Vec::new(); scenario.faults.len()],
            zoned: zones::ZoneSimulation::new(
                scenario.zones.as_ref().map_or_else(Default::default, |z| z.judge),
                scenario.gatekeepers.count,
            ),
            rng,
            scenario,
        };
        for _ in 0..s.count {
            world.add_server(0.0);
        }
        world.remember();
        for k in 0..scenario.gatekeepers.count {
            world.gatekeepers.push(Gatekeeper {
                mind: None,
                life: 0,
                listed: 0.0,
                intake: (0.0, scenario.gatekeepers.note_intake),
            });
            world.start(k)?;
        }
        for (which, fault) in scenario.faults.iter().enumerate() {
            world.queue.push(fault.at_s * 1000.0, SimEvent::Fault { which, step: 0 });
            if fault.kind != FaultKind::Replace {
                world.queue.push((fault.at_s + fault.for_s) * 1000.0, SimEvent::FaultEnd(which));
            }
        }
        world.queue.push(0.0, SimEvent::Next);
        world.begin_zones();
        Ok(world)
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn between(&mut self, [a, b]: [f64; 2]) -> f64 {
        a + (b - a) * self.rng.random::<f64>()
    }

    fn hop(&mut self) -> f64 {
        self.between(self.scenario.network.hop_ms)
    }

    fn trace(&mut self, gatekeeper: u32, what: &'static str, id: u64, server: Option<u32>) {
        self.oracle.trace(Trace { at: self.now, gatekeeper, what, id, server });
    }

    /// A new server: machines of a kind are shared out evenly.
    fn add_server(&mut self, since: f64) -> u32 {
        let number = self.servers.len() as u32;
        let s = &self.scenario.servers;
        let all: f64 = s.kinds.iter().map(|k| k.share).sum();
        let mut lot = (f64::from(number) * 0.618_033_988_75).fract() * all;
        let mut kind = 0;
        while kind + 1 < s.kinds.len() && lot >= s.kinds[kind].share {
            lot -= s.kinds[kind].share;
            kind += 1;
        }
        // A rack is in one zone.
        let (zone, cell) = if s.zone_shares.is_empty() {
            (number % s.cells % s.zones, number % s.cells)
        } else {
            let zone = zones::zone_of_index(number, &s.zone_shares, s.zones);
            (zone, zone + s.zones * (number % (s.cells / s.zones).max(1)))
        };
        let (cores, speed, queue) = (s.kinds[kind].cores, s.kinds[kind].speed, s.queue as usize);
        let speed = self.between(speed);
        let name: Name = format!("s-{number}").as_str().into();
        let mut server = FormulaServer::new(name.clone(), (zone, cell), kind as u32, cores, speed, queue);
        server.since = since;
        self.servers.push(server);
        self.health.push(Health::Up);
        self.by_name.insert(name, number);
        number
    }

    fn line(&self, number: u32) -> (u32, Server) {
        let s = &self.servers[number as usize];
        let line = Server {
            name: s.name.clone(),
            zone: s.zone,
            cell: s.cell,
            kind: s.kind,
            size: f64::from(s.cores),
            health: self.health[number as usize],
            started_at: s.since,
        };
        (number, line)
    }

    // ---- gatekeepers ----

    fn start(&mut self, k: u32) -> Result<(), String> {
        let s = self.scenario;
        let settings = Settings {
            own_index: k,
            gatekeepers: s.gatekeepers.count,
            zone: self.gatekeeper_zone(k),
            classes: s.module_classes(),
            plans: s.module_plans(),
            max_attempts: s.gatekeepers.max_attempts,
            peer_messages: s.gatekeepers.notes,
            max_request_units: s.classes.iter().map(|c| f64::from(c.units[1])).fold(1.0, f64::max),
            peer_intake_per_second: s.gatekeepers.note_intake,
            cold_capacity_share: s.servers.cold_from,
            warm_up_ms: s.servers.warm_s * 1000.0,
            cold_overload_factor: s.servers.cold_times,
        };
        let seed = self.rng.next_u64();
        let mut mind = (self.make)(settings, seed)?;
        if s.zones.is_some() {
            mind.watch_zones();
        }
        self.gatekeepers[k as usize].mind = Some(mind);
        self.oracle.gatekeeper_started(k);
        if let Some(old) = s.discovery.known_s {
            let then = self.now - 1000.0 * old;
            let known = self.history.iter().rev().find(|(at, _)| *at <= then).or(self.history.first());
            if let Some(lines) = known.map(|(_, lines)| lines.clone()) {
                self.tell_list(k, 0.0, EndpointUpdateKind::Complete, lines);
            }
        }
        self.ask_list(k);
        Ok(())
    }

    /// A gatekeeper asks for the whole list, as at its start; again in a while where it gets none.
    fn ask_list(&mut self, k: u32) {
        self.tally.record_list(self.now);
        self.herds.record(self.now, HerdAction::List, k, 0);
        if self.list_silent == 0 && self.list_answers() {
            return self.tell_all(k, self.list_late);
        }
        // What is silent tells all of them by itself at its end.
        if self.list_silent == 0 {
            let pause = self.between(LIST_AGAIN_MS);
            let life = self.gatekeepers[k as usize].life;
            self.queue.push(self.now + pause, SimEvent::Ask { gatekeeper: k, life });
        }
    }

    fn list_answers(&mut self) -> bool {
        self.list_part >= 1.0 || self.rng.random::<f64>() < self.list_part
    }

    /// Keeps the list as it is now.
    fn remember(&mut self) {
        if self.scenario.discovery.known_s.is_some() {
            self.history.push((self.now, self.whole_list()));
        }
    }

    fn whole_list(&self) -> Lines {
        let count = self.servers.len() as u32;
        let lines = (0..count).filter(|n| self.health[*n as usize] != Health::Gone).map(|n| self.line(n));
        Rc::new(lines.collect())
    }

    /// Tells a gatekeeper the whole list.
    fn tell_all(&mut self, k: u32, lag: f64) {
        let lines = self.whole_list();
        self.tell_list(k, lag, EndpointUpdateKind::Complete, lines);
    }

    fn tell_list(&mut self, k: u32, lag: f64, kind: EndpointUpdateKind, lines: Lines) {
        let g = &mut self.gatekeepers[k as usize];
        g.listed = g.listed.max(self.now + lag);
        self.queue.push(g.listed, SimEvent::List { gatekeeper: k, life: g.life, kind, lines });
    }

    /// The entries of these servers have changed.
    fn list_changes(&mut self, servers: &[u32]) {
        self.remember();
        if self.list_silent > 0 || servers.is_empty() {
            return;
        }
        let lines = Rc::new(servers.iter().map(|n| self.line(*n)).collect::<Vec<_>>());
        for k in 0..self.gatekeepers.len() as u32 {
            let lag = self.between(self.scenario.discovery.lag_ms) + self.list_late;
            // Who gets no answer now is told the whole list when discovery is well again.
            if self.list_answers() {
                self.tell_list(k, lag, EndpointUpdateKind::Changes, lines.clone());
            }
        }
    }

    fn kill(&mut self, k: u32) {
        let g = &mut self.gatekeepers[k as usize];
        if g.mind.take().is_none() {
            return;
        }
        g.life += 1;
        g.listed = self.now;
        self.trace(k, "is killed", 0, None);
        self.conns.gatekeeper_ended(k);
        let mut had: Vec<u64> =
            self.tries.iter().filter(|(_, t)| t.gatekeeper == k).map(|(id, _)| *id).collect();
        had.sort_unstable();
        for id in had {
            self.oracle.request_orphaned(id);
            if let Some(tried) = self.tries.remove(&id)
                && !tried.answered
            {
                self.client_again(tried.asked, None, true);
            }
        }
        self.queue.push(self.now + 1000.0 * self.scenario.gatekeepers.down_s, SimEvent::Start(k));
    }

    fn tell_mind(&mut self, k: u32, event: Event) {
        let now = self.now;
        self.tally.events += 1;
        let Some(mind) = self.gatekeepers[k as usize].mind.as_mut() else { return };
        let actions = mind.handle(now, event);
        for action in actions {
            self.act(k, action);
        }
    }

    fn act(&mut self, k: u32, action: Action) {
        match action {
            Action::Send { id, server, deadline, .. } => self.send(k, id, &server, deadline),
            Action::Refuse { id, retry_after_ms, .. } => {
                self.answer(k, id, FinalAnswer::Refused, retry_after_ms)
            }
            Action::Fail { id } => self.answer(k, id, FinalAnswer::Failed, 0.0),
            Action::Cancel { id, attempt } => {
                if self.attempt_out(id, attempt).is_some() {
                    self.ended(id, AttemptOutcome::Cancelled, None);
                }
            }
            Action::SendPeerMessage { to, text } => self.note(k, to, &text),
            Action::BroadcastPeerMessage { text } => {
                for to in (0..self.scenario.gatekeepers.count).filter(|to| *to != k) {
                    self.note(k, to, &text);
                }
            }
            Action::SetTimer { token, after } => {
                let life = self.gatekeepers[k as usize].life;
                self.queue.push(self.now + after, SimEvent::Timer { gatekeeper: k, life, token });
            }
            Action::Probe { .. } | Action::Log { .. } | Action::CheckDecision { .. } => {}
        }
    }

    fn send(&mut self, k: u32, id: u64, server: &Name, deadline: f64) {
        let Some(number) = self.by_name.get(server).copied() else { return };
        let s = &self.servers[number as usize];
        let place = (s.zone, s.cell);
        let from = self.gatekeeper_zone(k);
        self.tally.record_zone_path(self.now, from, place.0);
        let cut = self.cut_between(from, place.0);
        self.trace(k, "is sent on", id, Some(number));
        self.oracle.attempt_sent(self.now, k, id, number, place);
        let hop = self.hop();
        let now = self.now;
        let Some(t) = self.tries.get_mut(&id) else { return };
        let attempt = t.attempts;
        t.attempts += 1;
        t.out = Some(OutstandingAttempt { attempt, server: number, at: now, whole: false, connected: None });
        self.herds.record(now, HerdAction::Attempt, k, number);
        self.tally.attempts += 1;
        self.tally.second_mut(now).attempts += 1;
        if !self.sick.is_empty() {
            self.tally.sick_of += 1;
            self.tally.sick += u64::from(self.sick.contains(&number));
        }
        if deadline <= now {
            self.queue
                .push(now, SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Moot, holds: None });
            return;
        }
        if cut {
            // Nothing comes up: that shows when the connection has taken too long.
            let at = (now + CONNECT_MS).min(deadline);
            self.queue.push(
                at,
                SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Unreachable, holds: None },
            );
            return;
        }
        // A dead server takes no connection: that shows when the attempt comes there.
        let way = if self.servers[number as usize].is_up() {
            self.connect(id, k, number)
        } else {
            ConnectionUse::Reused
        };
        if way == ConnectionUse::Rejected {
            let back = self.hop();
            self.queue.push(
                now + hop + back,
                SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Full, holds: None },
            );
            return;
        }
        let comes_up = if way == ConnectionUse::New { self.scenario.servers.handshake_ms } else { 0.0 };
        self.queue.push(now + comes_up + hop, SimEvent::Whole { id, attempt });
        self.queue.push(deadline, SimEvent::Deadline { id, attempt });
    }

    /// An attempt needs a connection to a server that is up.
    fn connect(&mut self, id: u64, k: u32, server: u32) -> ConnectionUse {
        let (way, life) = self.conns.acquire(self.now, k, server);
        if way != ConnectionUse::Reused {
            self.herds.record(self.now, HerdAction::Handshake, k, server);
            self.tally.record_handshake(self.now, way == ConnectionUse::Rejected);
        }
        if way != ConnectionUse::Rejected
            && let Some(out) = self.tries.get_mut(&id).and_then(|t| t.out.as_mut())
        {
            out.connected = Some(life);
        }
        way
    }

    fn attempt_out(&self, id: u64, attempt: u32) -> Option<&OutstandingAttempt> {
        self.tries.get(&id)?.out.as_ref().filter(|o| o.attempt == attempt)
    }

    /// An attempt has ended, as its gatekeeper sees it.
    fn ended(&mut self, id: u64, outcome: AttemptOutcome, holds: Option<usize>) {
        let now = self.now;
        let Some(t) = self.tries.get_mut(&id) else { return };
        let Some(out) = t.out.take() else { return };
        let (k, answered) = (t.gatekeeper, t.answered);
        if let Some(life) = out.connected {
            let answered =
                matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Full);
            self.conns.release(now, k, (out.server, life), answered);
        }
        self.oracle.attempt_ended(id, outcome);
        let result = AttemptResult {
            id,
            attempt: out.attempt,
            server: self.servers[out.server as usize].name.clone(),
            outcome,
            latency: now - out.at,
            is_final: answered || outcome == AttemptOutcome::Ok,
            metered: None,
            units: None,
            load_report: holds.map(|n| LoadReport { in_flight: Some(n as f64), ..LoadReport::default() }),
        };
        self.trace(
            k,
            match outcome {
                AttemptOutcome::Ok => "is served by",
                AttemptOutcome::Error => "gets an error from",
                AttemptOutcome::Full => "is turned away by",
                AttemptOutcome::Timeout => "times out at",
                AttemptOutcome::Unreachable => "can't reach",
                AttemptOutcome::Reset => "is reset by",
                AttemptOutcome::Cancelled => "is called off at",
                AttemptOutcome::Moot => "is too late for",
            },
            id,
            Some(out.server),
        );
        if outcome == AttemptOutcome::Ok && !answered {
            self.answer(k, id, FinalAnswer::Served, 0.0);
        }
        self.tell_mind(k, Event::AttemptEnded(result));
        if answered || outcome == AttemptOutcome::Ok {
            self.tries.remove(&id);
        }
    }

    fn note(&mut self, from: u32, to: u32, text: &str) {
        self.tally.record_message(self.now, to, text.len());
        self.herds.record(self.now, HerdAction::Note, from, to);
        let half = self.scenario.gatekeepers.count / 2;
        let cut = self.split && (from < half) != (to < half)
            || self.cut_between(self.gatekeeper_zone(from), self.gatekeeper_zone(to));
        if cut || self.rng.random::<f64>() < self.note_loss {
            self.tally.notes_lost += 1;
            return;
        }
        let times = 1 + u32::from(self.note_double > 0.0 && self.rng.random::<f64>() < self.note_double);
        for _ in 0..times {
            let after = self.between(self.scenario.network.note_ms) + self.note_delay;
            self.queue.push(self.now + after, SimEvent::Note { to, from, text: text.into() });
        }
    }

    /// Whether a gatekeeper can take in one more note now.
    fn takes_in(&mut self, k: u32) -> bool {
        let rate = self.scenario.gatekeepers.note_intake;
        let (at, left) = &mut self.gatekeepers[k as usize].intake;
        *left = (*left + rate * (self.now - *at) / 1000.0).min(rate);
        *at = self.now;
        let takes = *left >= 1.0;
        *left -= if takes { 1.0 } else { 0.0 };
        takes
    }

    // ---- clients ----

    fn next_request(&mut self) {
        let pause: f64 = Exp1.sample(&mut self.rng);
        let rate = self.scenario.load.rate * self.surge;
        let next = self.now + 1000.0 * pause / rate;
        if next <= self.scenario.seconds * 1000.0 {
            self.queue.push(next, SimEvent::Next);
        }
        let shop = self.shops.sample(&mut self.rng);
        let all: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut lot = self.rng.random::<f64>() * all;
        let mut class = 0;
        while class + 1 < self.scenario.classes.len() && lot >= self.scenario.classes[class].share {
            lot -= self.scenario.classes[class].share;
            class += 1;
        }
        let c = &self.scenario.classes[class];
        let units = f64::from(self.rng.random_range(c.units[0]..=c.units[1]));
        let work = self.between(self.scenario.classes[class].work_ms);
        let inside = self.tally.record_request(self.now, shop.number, shop.plan, class, units);
        let (id, key) = (self.number(), self.number());
        let left = self.scenario.load.retries;
        let asked = ClientRequest { shop, class, units, work, at: self.now, left, key, inside, again: false };
        self.asked.insert(id, asked);
        self.try_now(id);
    }

    fn try_now(&mut self, asked: u64) {
        let Some(a) = self.asked.get(&asked) else { return };
        let mut k = self.shops.pick_gatekeeper(&a.shop, self.now, &mut self.rng);
        // The front knows who is down, and goes round the set.
        for _ in 0..a.shop.spread {
            if self.gatekeepers[k as usize].mind.is_some() {
                break;
            }
            let next =
                (k + self.scenario.gatekeepers.count - a.shop.first) % self.scenario.gatekeepers.count + 1;
            k = (a.shop.first + next % a.shop.spread) % self.scenario.gatekeepers.count;
        }
        let (class, units, key, shop, again) = (a.class, a.units, a.key, a.shop.clone(), a.again);
        let second = self.tally.second_mut(self.now);
        second.tries += 1;
        second.retries += u64::from(again);
        self.tally.plans[shop.plan].tries += 1;
        if self.gatekeepers[k as usize].mind.is_none() {
            return self.client_again(asked, None, false);
        }
        let wait = self.scenario.classes[class].deadline_ms * (0.5 + 0.5 * self.rng.random::<f64>());
        let id = self.number();
        let tried = GatekeeperTry {
            asked,
            gatekeeper: k,
            at: self.now,
            attempts: 0,
            charged: false,
            out: None,
            answered: false,
        };
        self.tries.insert(id, tried);
        self.trace(k, "takes", id, None);
        self.oracle.request_accepted(id, k, class, key);
        self.queue.push(self.now + wait, SimEvent::Leave(id));
        let request = Request {
            id,
            customer: shop.name,
            class,
            plan: shop.plan,
            units,
            first: shop.first,
            spread: shop.spread,
            deadline: self.now + wait - MARGIN_MS,
            is_retry: again && self.scenario.load.marked,
        };
        self.tell_mind(k, Event::Request(request));
    }

    /// A final answer to a client.
    fn answer(&mut self, k: u32, id: u64, answer: FinalAnswer, pause: f64) {
        let what = match answer {
            FinalAnswer::Served => "serves",
            FinalAnswer::Refused => "refuses",
            FinalAnswer::Failed => "fails",
        };
        self.trace(k, what, id, None);
        self.oracle.request_answered(self.now, id, answer);
        let Some(t) = self.tries.get_mut(&id) else { return };
        if std::mem::replace(&mut t.answered, true) {
            return;
        }
        let (asked, out, at) = (t.asked, t.out.is_some(), t.at);
        if !out {
            self.tries.remove(&id);
        }
        let Some(a) = self.asked.get(&asked) else { return };
        let (plan, class, units) = (a.shop.plan, a.class, a.units);
        let inside = a.inside.then_some(a.at);
        let second = self.tally.second_mut(self.now);
        match answer {
            FinalAnswer::Served => {
                second.served += 1;
                let aim = self.scenario.classes[class].aim_ms;
                self.tally.record_served(plan, class, units, inside, self.now - at, aim);
                self.asked.remove(&asked);
            }
            FinalAnswer::Refused => {
                second.refused += 1;
                self.tally.plans[plan].refusals += 1;
                self.client_again(asked, Some(pause), false);
            }
            FinalAnswer::Failed => {
                second.failed += 1;
                self.tally.plans[plan].failures += 1;
                self.client_again(asked, None, true);
            }
        }
    }

    /// A client tries again, or gives its request up. `pause`: as it was told; `fresh`: its former try may have run.
    fn client_again(&mut self, asked: u64, pause: Option<f64>, fresh: bool) {
        let wait = self.between(self.scenario.load.retry_ms) + pause.unwrap_or(0.0);
        let key = self.number();
        let Some(a) = self.asked.get_mut(&asked) else { return };
        if a.left == 0 {
            let plan = a.shop.plan;
            self.tally.plans[plan].unserved += 1;
            self.asked.remove(&asked);
            return;
        }
        a.left -= 1;
        a.again = true;
        if fresh {
            a.key = key;
        }
        self.queue.push(self.now + wait, SimEvent::Try(asked));
    }

    fn leave(&mut self, id: u64) {
        self.oracle.client_left(self.now, id);
        let Some(t) = self.tries.get_mut(&id) else { return };
        if std::mem::replace(&mut t.answered, true) {
            return;
        }
        let (k, asked, out) = (t.gatekeeper, t.asked, t.out.is_some());
        self.trace(k, "is left by", id, None);
        if !out {
            self.tries.remove(&id);
        }
        self.tell_mind(k, Event::ClientDisconnected { id });
        self.client_again(asked, None, true);
    }

    // ---- servers ----

    fn whole(&mut self, id: u64, attempt: u32) {
        let Some(server) = self.attempt_out(id, attempt).map(|o| o.server) else { return };
        let (now, hop) = (self.now, self.hop());
        let s = &self.servers[server as usize];
        if !s.is_up() {
            self.queue.push(
                now + hop,
                SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Unreachable, holds: None },
            );
            return;
        }
        let place = (s.zone, s.cell);
        let Some(t) = self.tries.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut t.charged, true);
        if let Some(out) = t.out.as_mut() {
            out.whole = true;
        }
        let (k, asked) = (t.gatekeeper, t.asked);
        // The client may have left meanwhile: what it asked is known to nobody else.
        let (shop, units, work) = self
            .asked
            .get(&asked)
            .map_or(((u64::MAX, 0), 0.0, 50.0), |a| ((a.shop.number, a.shop.plan), a.units, a.work));
        if first {
            self.tally.record_passed(now, shop.0, shop.1, units);
            self.oracle.record_charge(now, id, shop, units);
        }
        let again = self.oracle.is_duplicate_dropped(now, id, place);
        let job = Job { id, attempt, work };
        let cold = self.cold;
        let s = &mut self.servers[server as usize];
        let (taken, over) = s.accept(job, again, now, &cold);
        let (life, holds, cold_load) = (s.life, s.in_flight(), s.cold_load);
        if cold_load > 0.0 {
            self.tally.record_cold_load(now, cold_load);
        }
        let holds = self.scenario.servers.report.then_some(holds);
        // An error may have run; so may what a silent one has.
        if !again && taken != JobAdmission::Answered(AttemptOutcome::Full, ERROR_MS) && !over {
            self.oracle.record_effect(now, id, place);
        }
        match taken {
            JobAdmission::Begun(ms) => {
                self.queue.push(now + ms, SimEvent::Done { server, life, id, attempt })
            }
            JobAdmission::Answered(outcome, ms) => {
                self.queue.push(now + ms + hop, SimEvent::Answer { id, attempt, outcome, holds });
            }
            JobAdmission::Waits | JobAdmission::Nothing => {}
        }
        if over {
            let since = self.servers[server as usize].since;
            self.oracle.check_overload(now, k, server, id, since);
            self.lose(server);
        }
    }

    fn done(&mut self, server: u32, life: u32, id: u64, attempt: u32) {
        let cold = self.cold;
        let (now, hop) = (self.now, self.hop());
        let s = &mut self.servers[server as usize];
        if s.life != life {
            return;
        }
        if let Some((next, ms)) = s.complete(id, attempt, now, &cold) {
            self.queue.push(now + ms, SimEvent::Done { server, life, id: next.id, attempt: next.attempt });
        }
        let s = &self.servers[server as usize];
        if s.sick != ServerFault::Silent {
            let holds = self.scenario.servers.report.then_some(s.in_flight());
            self.queue.push(now + hop, SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Ok, holds });
        }
    }

    /// A server's life ends with all that it has in hand.
    fn lose(&mut self, server: u32) {
        let had = self.servers[server as usize].stop();
        self.conns.server_ended(server);
        for job in had {
            let hop = self.hop();
            let lost = SimEvent::Answer {
                id: job.id,
                attempt: job.attempt,
                outcome: AttemptOutcome::Reset,
                holds: None,
            };
            self.queue.push(self.now + hop, lost);
        }
    }

    fn answer_came(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome, holds: Option<usize>) {
        if self.attempt_out(id, attempt).is_some() {
            self.ended(id, outcome, holds);
        }
    }

    fn deadline(&mut self, id: u64, attempt: u32) {
        let Some(whole) = self.attempt_out(id, attempt).map(|o| o.whole) else { return };
        self.ended(id, if whole { AttemptOutcome::Timeout } else { AttemptOutcome::Unreachable }, None);
    }

    // ---- what goes wrong ----

    fn some_servers(&mut self, part: f64) -> Vec<u32> {
        let up: Vec<u32> = (0..self.servers.len() as u32)
            .filter(|n| self.health[*n as usize] == Health::Up && self.servers[*n as usize].is_up())
            .collect();
        let many = ((part * up.len() as f64).round() as usize).clamp(1.min(up.len()), up.len());
        let mut some: Vec<u32> = sample(&mut self.rng, up.len(), many).iter().map(|k| up[k]).collect();
        some.sort_unstable();
        some
    }

    fn fault(&mut self, which: usize, step: u32) {
        let fault = self.scenario.faults[which].clone();
        let sicken = |world: &mut Self, sick: ServerFault| {
            let some = world.some_servers(fault.part);
            for n in &some {
                world.servers[*n as usize].sick = sick;
            }
            world.sick.extend(&some);
            world.hit[which] = some;
        };
        match fault.kind {
            FaultKind::Slow => sicken(self, ServerFault::Slow(fault.times)),
            FaultKind::Errors => sicken(self, ServerFault::Errors),
            FaultKind::Silent => sicken(self, ServerFault::Silent),
            FaultKind::ZoneLost | FaultKind::ZoneCut | FaultKind::ZoneSlow | FaultKind::ZoneErrors => {
                self.place_fault(&fault, which);
            }
            FaultKind::Crash => {
                sicken(self, ServerFault::Dead);
                for n in self.hit[which].clone() {
                    self.lose(n);
                    self.health[n as usize] = Health::Gone;
                }
                let some = self.hit[which].clone();
                self.list_changes(&some);
            }
            FaultKind::Replace => {
                if step == 0 {
                    self.hit[which] = self.some_servers(fault.part);
                }
                let Some(old) = self.hit[which].get(step as usize).copied() else { return };
                let new = self.add_server(self.now);
                self.health[old as usize] = Health::Draining;
                self.list_changes(&[old, new]);
                self.queue.push(self.now + self.scenario.discovery.drain_s * 1000.0, SimEvent::Gone(old));
                let gap = fault.for_s * 1000.0 / self.hit[which].len() as f64;
                self.queue.push(self.now + gap, SimEvent::Fault { which, step: step + 1 });
            }
            FaultKind::Relist => {
                let zones = self.scenario.servers.zones;
                let all: Vec<u32> = (0..self.servers.len() as u32).collect();
                for s in &mut self.servers {
                    s.zone = (s.zone + 1) % zones;
                }
                self.list_changes(&all);
            }
            FaultKind::DiscoverySilent => self.list_silent += 1,
            FaultKind::DiscoverySlow => (self.list_part, self.list_late) = (fault.part, fault.times),
            FaultKind::Partition => self.split = true,
            FaultKind::NoteLoss => self.note_loss = fault.part,
            FaultKind::NoteDelay => self.note_delay = fault.times,
            FaultKind::NoteDouble => self.note_double = fault.part,
            FaultKind::Surge => self.surge = fault.times,
            FaultKind::KillKeeper | FaultKind::KillAny => {
                let count = self.scenario.gatekeepers.count;
                let k = if fault.kind == FaultKind::KillKeeper {
                    self.shops.keeper_of_busiest()
                } else {
                    self.rng.random_range(0..count)
                };
                self.kill(k);
                if step + 1 < fault.count {
                    let gap = fault.for_s * 1000.0 / f64::from(fault.count);
                    // The same keeper is up again before it dies again; a herd dies all at once.
                    let least = if fault.kind == FaultKind::KillKeeper {
                        1000.0 * self.scenario.gatekeepers.down_s + 1.0
                    } else {
                        1.0
                    };
                    self.queue.push(self.now + gap.max(least), SimEvent::Fault { which, step: step + 1 });
                }
            }
        }
    }

    fn fault_end(&mut self, which: usize) {
        let fault = self.scenario.faults[which].clone();
        let kind = fault.kind;
        let hit = std::mem::take(&mut self.hit[which]);
        for n in &hit {
            self.sick.remove(n);
            let s = &mut self.servers[*n as usize];
            s.sick = ServerFault::No;
            if kind == FaultKind::Crash {
                s.since = self.now;
                self.health[*n as usize] = Health::Up;
            }
        }
        self.place_fault_end(&fault, &hit);
        match kind {
            FaultKind::Crash => self.list_changes(&hit),
            FaultKind::DiscoverySilent | FaultKind::DiscoverySlow => {
                if kind == FaultKind::DiscoverySilent {
                    self.list_silent -= 1;
                } else {
                    (self.list_part, self.list_late) = (1.0, 0.0);
                }
                for k in 0..self.gatekeepers.len() as u32 {
                    let lag = self.between(self.scenario.discovery.lag_ms);
                    self.tell_all(k, lag);
                }
            }
            FaultKind::Partition => self.split = false,
            FaultKind::NoteLoss => self.note_loss = self.scenario.network.note_loss,
            FaultKind::NoteDelay => self.note_delay = 0.0,
            FaultKind::NoteDouble => self.note_double = 0.0,
            FaultKind::Surge => self.surge = 1.0,
            _ => {}
        }
    }

    // ---- time ----

    fn happens(&mut self, event: SimEvent) -> Result<(), String> {
        match event {
            SimEvent::Next => self.next_request(),
            SimEvent::Try(asked) => self.try_now(asked),
            SimEvent::Whole { id, attempt } => self.whole(id, attempt),
            SimEvent::Done { server, life, id, attempt } => self.done(server, life, id, attempt),
            SimEvent::Answer { id, attempt, outcome, holds } => self.answer_came(id, attempt, outcome, holds),
            SimEvent::Deadline { id, attempt } => self.deadline(id, attempt),
            SimEvent::Leave(id) => self.leave(id),
            SimEvent::Timer { gatekeeper, life, token } => {
                if self.gatekeepers[gatekeeper as usize].life == life {
                    self.tell_mind(gatekeeper, Event::Timer { token });
                }
            }
            SimEvent::Note { to, from, text } => {
                let up = self.gatekeepers.get(to as usize).is_some_and(|g| g.mind.is_some());
                if up && self.takes_in(to) {
                    self.tell_mind(to, Event::PeerMessage { from, text: text.into() });
                } else {
                    self.tally.notes_lost += 1;
                }
            }
            SimEvent::List { gatekeeper, life, kind, lines } => {
                if self.gatekeepers[gatekeeper as usize].life == life {
                    self.list_came(gatekeeper, kind, &lines);
                }
            }
            SimEvent::Zones(step) => self.zone_step(step),
            SimEvent::Fault { which, step } => self.fault(which, step),
            SimEvent::FaultEnd(which) => self.fault_end(which),
            SimEvent::Start(k) => self.start(k)?,
            SimEvent::Ask { gatekeeper, life } => {
                if self.gatekeepers[gatekeeper as usize].life == life {
                    self.ask_list(gatekeeper);
                }
            }
            SimEvent::Gone(server) => {
                if self.health[server as usize] == Health::Draining {
                    self.health[server as usize] = Health::Gone;
                    self.list_changes(&[server]);
                    self.queue.push(self.now + FINISH_MS, SimEvent::Gone(server));
                } else {
                    self.servers[server as usize].sick = ServerFault::Dead;
                    self.lose(server);
                }
            }
        }
        Ok(())
    }

    fn list_came(&mut self, k: u32, kind: EndpointUpdateKind, lines: &[(u32, Server)]) {
        let mut named = BTreeSet::new();
        for (number, line) in lines {
            named.insert(*number);
            self.oracle.server_listed(self.now, k, *number, line.health == Health::Up, line.started_at);
        }
        if kind == EndpointUpdateKind::Complete {
            for number in (0..self.servers.len() as u32).filter(|n| !named.contains(n)) {
                self.oracle.server_listed(self.now, k, number, false, 0.0);
            }
        }
        let servers = lines.iter().map(|(_, line)| line.clone()).collect();
        self.tell_mind(k, Event::EndpointUpdate { kind, servers });
    }

    fn finish(mut self, seed: u64) -> Report {
        let open = self.oracle.open_requests();
        if open > 0 {
            let now = self.now;
            self.oracle.record_violation("lost", now, || format!("{open} requests are open at the end"));
        }
        let time = self.scenario.seconds * 1000.0;
        let servers = self.servers.iter().map(|s| ServerSums {
            attempts: s.attempts,
            busy: s.worked / (time * f64::from(s.cores)),
            fallen: s.fallen,
            cold_load: s.cold_most,
        });
        let servers = servers.collect();
        let (agreed_ms, decisions) = (self.agreed_ms(), std::mem::take(&mut self.zoned.told));
        let mut report = self.tally.into_report(self.scenario, seed);
        report.servers = servers;
        (report.agreed_ms, report.decisions) = (agreed_ms, decisions);
        report.herds = self.herds.into_herds();
        report.ceiling_used = self.oracle.ceiling_used;
        report.broken = self.oracle.broken.take();
        report.missed = crate::expectations::missed(&self.scenario.expect, &report);
        report
    }
}
