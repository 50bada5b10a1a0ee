//! The event loop and the state of one run: gatekeepers with real decision modules, formula servers, service
//! discovery, peer messages between gatekeepers, and clients. Events are handled in order of virtual time. No
//! code here reads a clock, and every random number comes from the run's seed.

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

/// The deadline passed to the decision module is this much before the client's, as in the gatekeeper on
/// sockets.
const DEADLINE_MARGIN_MS: f64 = 6.0;
/// Range of the random delay after which a gatekeeper repeats a failed call to discovery.
const LIST_RETRY_RANGE_MS: [f64; 2] = [100.0, 1000.0];
/// Maximum time that a run continues after the load has ended.
const MAX_TAIL_MS: f64 = 60_000.0;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Time that a server removed from the list has to finish its jobs before it is stopped.
const REMOVED_SERVER_GRACE_MS: f64 = 10_000.0;

/// The decision logic of one gatekeeper. The real implementation is [`Control`]; tests replace it with faulty
/// ones to check that the oracle reports them.
pub trait DecisionModule {
    /// Handles an event at time `now` (virtual ms) and returns the actions to carry out.
    fn handle(&mut self, now: f64, event: Event) -> Vec<Action>;

    /// Returns the zone observations since the last call, or `None` if the module does not observe zones.
    fn observe_zones(&mut self, _now: f64) -> Option<ZoneObservation> {
        None
    }

    /// Starts counting zone observations.
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

/// Creates a gatekeeper's decision module from its settings and a seed.
pub type ModuleFactory<'a> = &'a dyn Fn(Settings, u64) -> Result<Box<dyn DecisionModule>, String>;

/// Creates the real decision module.
///
/// # Errors
/// Returns an error if the module rejects the settings.
pub fn control_module(settings: Settings, seed: u64) -> Result<Box<dyn DecisionModule>, String> {
    Ok(Box::new(Control::new(settings, seed).map_err(|e| e.to_string())?))
}

/// Entries of the endpoint list: the server's index in the run, and what discovery reports of it.
type EndpointEntries = Rc<Vec<(u32, Server)>>;

/// An event of the simulation.
enum SimEvent {
    /// The next new request of any client.
    NextRequest,
    /// A client retries the request with this id.
    ClientRetry(u64),
    /// An attempt's last byte arrives at its server.
    RequestReceived { id: u64, attempt: u32 },
    /// A server completes a job. The event is ignored if that incarnation of the server has ended meanwhile.
    JobDone { server: u32, incarnation: u32, id: u64, attempt: u32 },
    /// An answer arrives at a gatekeeper. `holds` is the number of jobs that the server reports as in flight.
    Answer { id: u64, attempt: u32, outcome: AttemptOutcome, holds: Option<usize> },
    /// An attempt's deadline passes.
    Deadline { id: u64, attempt: u32 },
    /// The client's deadline for the try with this id passes, and it disconnects.
    ClientLeaves(u64),
    /// A timer of a gatekeeper's decision module fires.
    Timer { gatekeeper: u32, incarnation: u32, token: u64 },
    /// A peer message arrives.
    PeerMessage { to: u32, from: u32, text: Box<str> },
    /// An update of the endpoint list arrives at a gatekeeper.
    EndpointUpdate { gatekeeper: u32, incarnation: u32, kind: EndpointUpdateKind, entries: EndpointEntries },
    /// Step `step` of the scenario's fault `fault_index` begins.
    Fault { fault_index: usize, step: u32 },
    /// The scenario's fault with this index ends.
    FaultEnd(usize),
    /// A killed gatekeeper starts again.
    GatekeeperStart(u32),
    /// A gatekeeper without a list repeats its call to discovery.
    ListRequest { gatekeeper: u32, incarnation: u32 },
    /// First a draining server is removed from the list; the second event for it stops the server.
    ServerGone(u32),
    /// An event of the zones' agents and the failover controller.
    Zones(zones::ZoneStep),
}

/// A client's request, across all of its tries.
struct ClientRequest {
    shop: Shop,
    class: usize,
    units: f64,
    /// Its work on a core of speed 1, in ms.
    work: f64,
    /// When the client first sent it.
    at: f64,
    retries_left: u32,
    /// Idempotency key. A client takes a new one after each failure: a failure does not say whether the
    /// request ran, so a second effect under a new key is the client's responsibility.
    key: u64,
    /// Whether the shop was within its quota when the request was made.
    is_within_quota: bool,
    is_retry: bool,
}

/// An attempt without an outcome yet.
struct OutstandingAttempt {
    attempt: u32,
    server: u32,
    at: f64,
    /// Whether the server has received the whole request.
    is_received: bool,
    /// The incarnation of the server to which it holds a connection.
    connected: Option<u32>,
}

/// One try of a client at one gatekeeper.
struct GatekeeperTry {
    /// The id of the [`ClientRequest`].
    request_id: u64,
    gatekeeper: u32,
    at: f64,
    attempts: u32,
    /// Whether the request's units are already charged.
    is_charged: bool,
    outstanding: Option<OutstandingAttempt>,
    is_answered: bool,
}

/// The state of one gatekeeper.
struct Gatekeeper {
    /// `None` while the gatekeeper is down.
    module: Option<Box<dyn DecisionModule>>,
    /// Incarnation; events for an earlier one are ignored.
    incarnation: u32,
    /// Arrival time of the last endpoint update sent to it: a watch delivers updates in order.
    last_update_at: f64,
    /// Token bucket of the peer message intake: time of the last refill, and tokens left.
    intake: (f64, f64),
}

/// The state of one run.
pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    make: ModuleFactory<'a>,
    slow_start: SlowStart,
    now: f64,
    queue: EventQueue<SimEvent>,
    rng: Pcg64Mcg,
    shops: ShopPopulation,
    connections: ConnectionPools,
    herds: HerdDetector,
    /// Earlier versions of the endpoint list, for gatekeepers that start with an outdated one.
    history: Vec<(f64, EndpointEntries)>,
    gatekeepers: Vec<Gatekeeper>,
    servers: Vec<FormulaServer>,
    by_name: FxHashMap<Name, u32>,
    health: Vec<Health>,
    requests: FxHashMap<u64, ClientRequest>,
    tries: FxHashMap<u64, GatekeeperTry>,
    /// The last id given out.
    last_id: u64,
    oracle: Oracle,
    stats: RunStats,
    // The faults in effect.
    /// Factor on the request rate.
    surge: f64,
    /// Whether the two halves of the gatekeepers are cut off from each other.
    is_partitioned: bool,
    /// Number of discovery outages in effect.
    discovery_outages: u32,
    /// Share of the calls that discovery answers.
    list_answer_share: f64,
    /// Extra delay of discovery's answers.
    list_delay_ms: f64,
    /// Probability that a peer message is lost.
    message_loss: f64,
    /// Extra delay of peer messages in ms.
    message_delay_ms: f64,
    /// Probability that a peer message arrives twice.
    message_duplication: f64,
    faulty_servers: BTreeSet<u32>,
    /// The servers hit by each fault of the scenario.
    fault_targets: Vec<Vec<u32>>,
    zone_simulation: zones::ZoneSimulation,
}

/// Runs a scenario with this seed and returns its report.
///
/// # Errors
/// Returns an error if the scenario is invalid or a decision module rejects its settings.
pub fn run(scenario: &Scenario, seed: u64, make: ModuleFactory<'_>) -> Result<Report, String> {
    scenario.check()?;
    let mut world = World::new(scenario, seed, make)?;
    let end = scenario.seconds * 1000.0 + MAX_TAIL_MS;
    while let Some((at, event)) = world.queue.pop() {
        if at > end || world.oracle.broken.is_some() {
            break;
        }
        world.now = at;
        world.handle_event(event)?;
        if at > scenario.seconds * 1000.0 && world.requests.is_empty() {
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
            slow_start: SlowStart { from: s.cold_from, warm_ms: s.warm_s * 1000.0, times: s.cold_times },
            now: 0.0,
            queue: EventQueue::default(),
            oracle: Oracle::new(scenario, shops.count()),
            stats: RunStats::new(scenario, shops.count())?,
            shops,
            connections: ConnectionPools::new(s.connections, s.idle_ms),
            herds: HerdDetector::default(),
            history: Vec::new(),
            gatekeepers: Vec::new(),
            servers: Vec::new(),
            by_name: FxHashMap::default(),
            health: Vec::new(),
            requests: FxHashMap::default(),
            tries: FxHashMap::default(),
            last_id: 0,
            surge: 1.0,
            is_partitioned: false,
            discovery_outages: 0,
            list_answer_share: 1.0,
            list_delay_ms: 0.0,
            message_loss: scenario.network.note_loss,
            message_delay_ms: 0.0,
            message_duplication: 0.0,
            faulty_servers: BTreeSet::new(),
            fault_targets: vec![Vec::new(); scenario.faults.len()],
            zone_simulation: zones::ZoneSimulation::new(
                scenario.zones.as_ref().map_or_else(Default::default, |z| z.judge),
                scenario.gatekeepers.count,
            ),
            rng,
            scenario,
        };
        for _ in 0..s.count {
            world.add_server(0.0);
        }
        world.record_list_history();
        for k in 0..scenario.gatekeepers.count {
            world.gatekeepers.push(Gatekeeper {
                module: None,
                incarnation: 0,
                last_update_at: 0.0,
                intake: (0.0, scenario.gatekeepers.note_intake),
            });
            world.start_gatekeeper(k)?;
        }
        for (fault_index, fault) in scenario.faults.iter().enumerate() {
            world.queue.push(fault.at_s * 1000.0, SimEvent::Fault { fault_index, step: 0 });
            if fault.kind != FaultKind::Replace {
                world.queue.push((fault.at_s + fault.for_s) * 1000.0, SimEvent::FaultEnd(fault_index));
            }
        }
        world.queue.push(0.0, SimEvent::NextRequest);
        world.begin_zones();
        Ok(world)
    }

    /// The next unused id, of a request, a try or an idempotency key.
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// A uniformly distributed random number of this range.
    fn uniform(&mut self, [a, b]: [f64; 2]) -> f64 {
        a + (b - a) * self.rng.random::<f64>()
    }

    /// A random one-way network latency in ms.
    fn hop(&mut self) -> f64 {
        self.uniform(self.scenario.network.hop_ms)
    }

    fn trace(&mut self, gatekeeper: u32, what: &'static str, id: u64, server: Option<u32>) {
        self.oracle.trace(Trace { at: self.now, gatekeeper, what, id, server });
    }

    /// Adds a server. Kinds are spread evenly over the servers by a golden-ratio sequence.
    fn add_server(&mut self, since: f64) -> u32 {
        let number = self.servers.len() as u32;
        let s = &self.scenario.servers;
        let all: f64 = s.kinds.iter().map(|k| k.share).sum();
        let mut draw = (f64::from(number) * 0.618_033_988_75).fract() * all;
        let mut kind = 0;
        while kind + 1 < s.kinds.len() && draw >= s.kinds[kind].share {
            draw -= s.kinds[kind].share;
            kind += 1;
        }
        // Each rack lies in a single zone.
        let (zone, cell) = if s.zone_shares.is_empty() {
            (number % s.cells % s.zones, number % s.cells)
        } else {
            let zone = zones::zone_of_index(number, &s.zone_shares, s.zones);
            (zone, zone + s.zones * (number % (s.cells / s.zones).max(1)))
        };
        let (cores, speed, queue) = (s.kinds[kind].cores, s.kinds[kind].speed, s.queue as usize);
        let speed = self.uniform(speed);
        let name: Name = format!("s-{number}").as_str().into();
        let mut server = FormulaServer::new(name.clone(), (zone, cell), kind as u32, cores, speed, queue);
        server.since = since;
        self.servers.push(server);
        self.health.push(Health::Up);
        self.by_name.insert(name, number);
        number
    }

    fn endpoint_entry(&self, number: u32) -> (u32, Server) {
        let s = &self.servers[number as usize];
        let entry = Server {
            name: s.name.clone(),
            zone: s.zone,
            cell: s.cell,
            kind: s.kind,
            size: f64::from(s.cores),
            health: self.health[number as usize],
            started_at: s.since,
        };
        (number, entry)
    }

    // ---- gatekeepers ----

    /// Starts a gatekeeper with a new decision module.
    fn start_gatekeeper(&mut self, k: u32) -> Result<(), String> {
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
        let mut module = (self.make)(settings, seed)?;
        if s.zones.is_some() {
            module.watch_zones();
        }
        self.gatekeepers[k as usize].module = Some(module);
        self.oracle.gatekeeper_started(k);
        if let Some(age_s) = s.discovery.known_s {
            let then = self.now - 1000.0 * age_s;
            let known = self.history.iter().rev().find(|(at, _)| *at <= then).or(self.history.first());
            if let Some(entries) = known.map(|(_, entries)| entries.clone()) {
                self.send_list(k, 0.0, EndpointUpdateKind::Complete, entries);
            }
        }
        self.request_list(k);
        Ok(())
    }

    /// Requests the complete list for a gatekeeper, as at its start. A failed call is repeated after a delay.
    fn request_list(&mut self, k: u32) {
        self.stats.record_list(self.now);
        self.herds.record(self.now, HerdAction::List, k, 0);
        if self.discovery_outages == 0 && self.discovery_answers() {
            return self.send_complete_list(k, self.list_delay_ms);
        }
        // No retry during an outage: at its end discovery sends the list to all gatekeepers.
        if self.discovery_outages == 0 {
            let pause = self.uniform(LIST_RETRY_RANGE_MS);
            let incarnation = self.gatekeepers[k as usize].incarnation;
            self.queue.push(self.now + pause, SimEvent::ListRequest { gatekeeper: k, incarnation });
        }
    }

    /// Whether discovery answers this call.
    fn discovery_answers(&mut self) -> bool {
        self.list_answer_share >= 1.0 || self.rng.random::<f64>() < self.list_answer_share
    }

    /// Appends the present list to the history, if the scenario uses outdated lists.
    fn record_list_history(&mut self) {
        if self.scenario.discovery.known_s.is_some() {
            self.history.push((self.now, self.complete_list()));
        }
    }

    fn complete_list(&self) -> EndpointEntries {
        let count = self.servers.len() as u32;
        let entries =
            (0..count).filter(|n| self.health[*n as usize] != Health::Gone).map(|n| self.endpoint_entry(n));
        Rc::new(entries.collect())
    }

    /// Sends a gatekeeper the complete list.
    fn send_complete_list(&mut self, k: u32, lag: f64) {
        let entries = self.complete_list();
        self.send_list(k, lag, EndpointUpdateKind::Complete, entries);
    }

    /// Schedules the arrival of an endpoint update, not before earlier updates.
    fn send_list(&mut self, k: u32, lag: f64, kind: EndpointUpdateKind, entries: EndpointEntries) {
        let g = &mut self.gatekeepers[k as usize];
        g.last_update_at = g.last_update_at.max(self.now + lag);
        self.queue.push(
            g.last_update_at,
            SimEvent::EndpointUpdate { gatekeeper: k, incarnation: g.incarnation, kind, entries },
        );
    }

    /// Sends the changed entries of these servers to all gatekeepers.
    fn send_list_changes(&mut self, servers: &[u32]) {
        self.record_list_history();
        if self.discovery_outages > 0 || servers.is_empty() {
            return;
        }
        let entries = Rc::new(servers.iter().map(|n| self.endpoint_entry(*n)).collect::<Vec<_>>());
        for k in 0..self.gatekeepers.len() as u32 {
            let lag = self.uniform(self.scenario.discovery.lag_ms) + self.list_delay_ms;
            // A gatekeeper that misses this update is sent the complete list when the discovery fault ends.
            if self.discovery_answers() {
                self.send_list(k, lag, EndpointUpdateKind::Changes, entries.clone());
            }
        }
    }

    /// Kills a gatekeeper; its clients retry, and it starts again after `down_s`.
    fn kill(&mut self, k: u32) {
        let g = &mut self.gatekeepers[k as usize];
        if g.module.take().is_none() {
            return;
        }
        g.incarnation += 1;
        g.last_update_at = self.now;
        self.trace(k, "is killed", 0, None);
        self.connections.gatekeeper_ended(k);
        let mut orphaned: Vec<u64> =
            self.tries.iter().filter(|(_, t)| t.gatekeeper == k).map(|(id, _)| *id).collect();
        orphaned.sort_unstable();
        for id in orphaned {
            self.oracle.request_orphaned(id);
            if let Some(tried) = self.tries.remove(&id)
                && !tried.is_answered
            {
                self.retry_or_drop(tried.request_id, None, true);
            }
        }
        self.queue.push(self.now + 1000.0 * self.scenario.gatekeepers.down_s, SimEvent::GatekeeperStart(k));
    }

    /// Passes an event to a gatekeeper's decision module and applies the actions.
    fn dispatch_event(&mut self, k: u32, event: Event) {
        let now = self.now;
        self.stats.events += 1;
        let Some(module) = self.gatekeepers[k as usize].module.as_mut() else { return };
        let actions = module.handle(now, event);
        for action in actions {
            self.apply_action(k, action);
        }
    }

    fn apply_action(&mut self, k: u32, action: Action) {
        match action {
            Action::Send { id, server, deadline, .. } => self.send_attempt(k, id, &server, deadline),
            Action::Refuse { id, retry_after_ms, .. } => {
                self.answer(k, id, FinalAnswer::Refused, retry_after_ms)
            }
            Action::Fail { id } => self.answer(k, id, FinalAnswer::Failed, 0.0),
            Action::Cancel { id, attempt } => {
                if self.outstanding_attempt(id, attempt).is_some() {
                    self.attempt_ended(id, AttemptOutcome::Cancelled, None);
                }
            }
            Action::SendPeerMessage { to, text } => self.send_peer_message(k, to, &text),
            Action::BroadcastPeerMessage { text } => {
                for to in (0..self.scenario.gatekeepers.count).filter(|to| *to != k) {
                    self.send_peer_message(k, to, &text);
                }
            }
            Action::SetTimer { token, after } => {
                let incarnation = self.gatekeepers[k as usize].incarnation;
                self.queue.push(self.now + after, SimEvent::Timer { gatekeeper: k, incarnation, token });
            }
            Action::Probe { .. } | Action::Log { .. } | Action::CheckDecision { .. } => {}
        }
    }

    /// Sends an attempt to a server.
    fn send_attempt(&mut self, k: u32, id: u64, server: &Name, deadline: f64) {
        let Some(number) = self.by_name.get(server).copied() else { return };
        let s = &self.servers[number as usize];
        let place = (s.zone, s.cell);
        let from = self.gatekeeper_zone(k);
        self.stats.record_zone_path(self.now, from, place.0);
        let cut = self.cut_between(from, place.0);
        self.trace(k, "is sent on", id, Some(number));
        self.oracle.attempt_sent(self.now, k, id, number, place);
        let hop = self.hop();
        let now = self.now;
        let Some(t) = self.tries.get_mut(&id) else { return };
        let attempt = t.attempts;
        t.attempts += 1;
        t.outstanding = Some(OutstandingAttempt {
            attempt,
            server: number,
            at: now,
            is_received: false,
            connected: None,
        });
        self.herds.record(now, HerdAction::Attempt, k, number);
        self.stats.attempts += 1;
        self.stats.second_mut(now).attempts += 1;
        if !self.faulty_servers.is_empty() {
            self.stats.attempts_during_faults += 1;
            self.stats.attempts_to_faulty += u64::from(self.faulty_servers.contains(&number));
        }
        if deadline <= now {
            self.queue
                .push(now, SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Moot, holds: None });
            return;
        }
        if cut {
            // The connection is never established; the gatekeeper notices when the connect timeout passes.
            let at = (now + CONNECT_TIMEOUT_MS).min(deadline);
            self.queue.push(
                at,
                SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Unreachable, holds: None },
            );
            return;
        }
        // A dead server accepts no connection; that is detected when the attempt arrives there.
        let connection_use = if self.servers[number as usize].is_up() {
            self.connect(id, k, number)
        } else {
            ConnectionUse::Reused
        };
        if connection_use == ConnectionUse::Rejected {
            let back = self.hop();
            self.queue.push(
                now + hop + back,
                SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Full, holds: None },
            );
            return;
        }
        let handshake_ms =
            if connection_use == ConnectionUse::New { self.scenario.servers.handshake_ms } else { 0.0 };
        self.queue.push(now + handshake_ms + hop, SimEvent::RequestReceived { id, attempt });
        self.queue.push(deadline, SimEvent::Deadline { id, attempt });
    }

    /// Acquires a connection for an attempt to a server that is up.
    fn connect(&mut self, id: u64, k: u32, server: u32) -> ConnectionUse {
        let (connection_use, incarnation) = self.connections.acquire(self.now, k, server);
        if connection_use != ConnectionUse::Reused {
            self.herds.record(self.now, HerdAction::Handshake, k, server);
            self.stats.record_handshake(self.now, connection_use == ConnectionUse::Rejected);
        }
        if connection_use != ConnectionUse::Rejected
            && let Some(out) = self.tries.get_mut(&id).and_then(|t| t.outstanding.as_mut())
        {
            out.connected = Some(incarnation);
        }
        connection_use
    }

    fn outstanding_attempt(&self, id: u64, attempt: u32) -> Option<&OutstandingAttempt> {
        self.tries.get(&id)?.outstanding.as_ref().filter(|o| o.attempt == attempt)
    }

    /// Ends an attempt with the outcome that its gatekeeper observes, and passes it to the decision module.
    fn attempt_ended(&mut self, id: u64, outcome: AttemptOutcome, holds: Option<usize>) {
        let now = self.now;
        let Some(t) = self.tries.get_mut(&id) else { return };
        let Some(out) = t.outstanding.take() else { return };
        let (k, answered) = (t.gatekeeper, t.is_answered);
        if let Some(incarnation) = out.connected {
            let answered =
                matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Full);
            self.connections.release(now, k, (out.server, incarnation), answered);
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
        self.dispatch_event(k, Event::AttemptEnded(result));
        if answered || outcome == AttemptOutcome::Ok {
            self.tries.remove(&id);
        }
    }

    /// Sends a peer message, which may be lost, delayed or duplicated.
    fn send_peer_message(&mut self, from: u32, to: u32, text: &str) {
        self.stats.record_message(self.now, to, text.len());
        self.herds.record(self.now, HerdAction::Note, from, to);
        let half = self.scenario.gatekeepers.count / 2;
        let cut = self.is_partitioned && (from < half) != (to < half)
            || self.cut_between(self.gatekeeper_zone(from), self.gatekeeper_zone(to));
        if cut || self.rng.random::<f64>() < self.message_loss {
            self.stats.notes_lost += 1;
            return;
        }
        let times = 1 + u32::from(
            self.message_duplication > 0.0 && self.rng.random::<f64>() < self.message_duplication,
        );
        for _ in 0..times {
            let after = self.uniform(self.scenario.network.note_ms) + self.message_delay_ms;
            self.queue.push(self.now + after, SimEvent::PeerMessage { to, from, text: text.into() });
        }
    }

    /// Takes a token from the gatekeeper's intake bucket; returns whether one more peer message can be
    /// accepted.
    fn try_accept_peer_message(&mut self, k: u32) -> bool {
        let rate = self.scenario.gatekeepers.note_intake;
        let (at, left) = &mut self.gatekeepers[k as usize].intake;
        *left = (*left + rate * (self.now - *at) / 1000.0).min(rate);
        *at = self.now;
        let takes = *left >= 1.0;
        *left -= if takes { 1.0 } else { 0.0 };
        takes
    }

    // ---- clients ----

    /// Creates the next request, and schedules the one after it.
    fn next_request(&mut self) {
        let pause: f64 = Exp1.sample(&mut self.rng);
        let rate = self.scenario.load.rate * self.surge;
        let next = self.now + 1000.0 * pause / rate;
        if next <= self.scenario.seconds * 1000.0 {
            self.queue.push(next, SimEvent::NextRequest);
        }
        let shop = self.shops.sample(&mut self.rng);
        let all: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut draw = self.rng.random::<f64>() * all;
        let mut class = 0;
        while class + 1 < self.scenario.classes.len() && draw >= self.scenario.classes[class].share {
            draw -= self.scenario.classes[class].share;
            class += 1;
        }
        let c = &self.scenario.classes[class];
        let units = f64::from(self.rng.random_range(c.units[0]..=c.units[1]));
        let work = self.uniform(self.scenario.classes[class].work_ms);
        let is_within_quota = self.stats.record_request(self.now, shop.number, shop.plan, class, units);
        let (id, key) = (self.new_id(), self.new_id());
        let retries_left = self.scenario.load.retries;
        let request = ClientRequest {
            shop,
            class,
            units,
            work,
            at: self.now,
            retries_left,
            key,
            is_within_quota,
            is_retry: false,
        };
        self.requests.insert(id, request);
        self.try_request(id);
    }

    /// Sends a client's request to a gatekeeper of the shop's set.
    fn try_request(&mut self, request_id: u64) {
        let Some(a) = self.requests.get(&request_id) else { return };
        let mut k = self.shops.pick_gatekeeper(&a.shop, self.now, &mut self.rng);
        // The load balancer in front skips gatekeepers that are down, going round the set.
        for _ in 0..a.shop.spread {
            if self.gatekeepers[k as usize].module.is_some() {
                break;
            }
            let next =
                (k + self.scenario.gatekeepers.count - a.shop.first) % self.scenario.gatekeepers.count + 1;
            k = (a.shop.first + next % a.shop.spread) % self.scenario.gatekeepers.count;
        }
        let (class, units, key, shop, again) = (a.class, a.units, a.key, a.shop.clone(), a.is_retry);
        let second = self.stats.second_mut(self.now);
        second.tries += 1;
        second.retries += u64::from(again);
        self.stats.plans[shop.plan].tries += 1;
        if self.gatekeepers[k as usize].module.is_none() {
            return self.retry_or_drop(request_id, None, false);
        }
        let wait = self.scenario.classes[class].deadline_ms * (0.5 + 0.5 * self.rng.random::<f64>());
        let id = self.new_id();
        let tried = GatekeeperTry {
            request_id,
            gatekeeper: k,
            at: self.now,
            attempts: 0,
            is_charged: false,
            outstanding: None,
            is_answered: false,
        };
        self.tries.insert(id, tried);
        self.trace(k, "takes", id, None);
        self.oracle.request_accepted(id, k, class, key);
        self.queue.push(self.now + wait, SimEvent::ClientLeaves(id));
        let request = Request {
            id,
            customer: shop.name,
            class,
            plan: shop.plan,
            units,
            first: shop.first,
            spread: shop.spread,
            deadline: self.now + wait - DEADLINE_MARGIN_MS,
            is_retry: again && self.scenario.load.marked,
            source: 0,
        };
        self.dispatch_event(k, Event::Request(request));
    }

    /// Delivers a final answer to a client.
    fn answer(&mut self, k: u32, id: u64, answer: FinalAnswer, pause: f64) {
        let what = match answer {
            FinalAnswer::Served => "serves",
            FinalAnswer::Refused => "refuses",
            FinalAnswer::Failed => "fails",
        };
        self.trace(k, what, id, None);
        self.oracle.request_answered(self.now, id, answer);
        let Some(t) = self.tries.get_mut(&id) else { return };
        if std::mem::replace(&mut t.is_answered, true) {
            return;
        }
        let (request_id, out, at) = (t.request_id, t.outstanding.is_some(), t.at);
        if !out {
            self.tries.remove(&id);
        }
        let Some(a) = self.requests.get(&request_id) else { return };
        let (plan, class, units) = (a.shop.plan, a.class, a.units);
        let within_quota_at = a.is_within_quota.then_some(a.at);
        let second = self.stats.second_mut(self.now);
        match answer {
            FinalAnswer::Served => {
                second.served += 1;
                let aim = self.scenario.classes[class].aim_ms;
                self.stats.record_served(plan, class, units, within_quota_at, self.now - at, aim);
                self.requests.remove(&request_id);
            }
            FinalAnswer::Refused => {
                second.refused += 1;
                self.stats.plans[plan].refusals += 1;
                self.retry_or_drop(request_id, Some(pause), false);
            }
            FinalAnswer::Failed => {
                second.failed += 1;
                self.stats.plans[plan].failures += 1;
                self.retry_or_drop(request_id, None, true);
            }
        }
    }

    /// Schedules a client's retry, or drops the request if no retries are left. `pause` is the retry-after
    /// time of the refusal, in ms; with `use_new_key` (the earlier try may have run) the retry gets a new
    /// idempotency key.
    fn retry_or_drop(&mut self, request_id: u64, pause: Option<f64>, use_new_key: bool) {
        let wait = self.uniform(self.scenario.load.retry_ms) + pause.unwrap_or(0.0);
        let key = self.new_id();
        let Some(a) = self.requests.get_mut(&request_id) else { return };
        if a.retries_left == 0 {
            let plan = a.shop.plan;
            self.stats.plans[plan].unserved += 1;
            self.requests.remove(&request_id);
            return;
        }
        a.retries_left -= 1;
        a.is_retry = true;
        if use_new_key {
            a.key = key;
        }
        self.queue.push(self.now + wait, SimEvent::ClientRetry(request_id));
    }

    /// Disconnects the client of a try that is not answered yet.
    fn client_leaves(&mut self, id: u64) {
        self.oracle.client_left(self.now, id);
        let Some(t) = self.tries.get_mut(&id) else { return };
        if std::mem::replace(&mut t.is_answered, true) {
            return;
        }
        let (k, request_id, out) = (t.gatekeeper, t.request_id, t.outstanding.is_some());
        self.trace(k, "is left by", id, None);
        if !out {
            self.tries.remove(&id);
        }
        self.dispatch_event(k, Event::ClientDisconnected { id });
        self.retry_or_drop(request_id, None, true);
    }

    // ---- servers ----

    /// Handles an attempt that has arrived at its server: charges its units and lets the server accept it.
    fn request_received(&mut self, id: u64, attempt: u32) {
        let Some(server) = self.outstanding_attempt(id, attempt).map(|o| o.server) else { return };
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
        let first = !std::mem::replace(&mut t.is_charged, true);
        if let Some(out) = t.outstanding.as_mut() {
            out.is_received = true;
        }
        let (k, request_id) = (t.gatekeeper, t.request_id);
        // The client may have dropped its request meanwhile, and only it has the request's details.
        let (shop, units, work) = self
            .requests
            .get(&request_id)
            .map_or(((u64::MAX, 0), 0.0, 50.0), |a| ((a.shop.number, a.shop.plan), a.units, a.work));
        if first {
            self.stats.record_passed(now, shop.0, shop.1, units);
            self.oracle.record_charge(now, id, shop, units);
        }
        let is_duplicate = self.oracle.is_duplicate_dropped(now, id, place);
        let job = Job { id, attempt, work };
        let slow_start = self.slow_start;
        let s = &mut self.servers[server as usize];
        let (admission, is_overloaded) = s.accept(job, is_duplicate, now, &slow_start);
        let (incarnation, holds, cold_load) = (s.incarnation, s.in_flight(), s.cold_load);
        if cold_load > 0.0 {
            self.stats.record_cold_load(now, cold_load);
        }
        let holds = self.scenario.servers.report.then_some(holds);
        // A request answered with an error may have run, and so may one on a server that does not answer.
        if !is_duplicate
            && admission != JobAdmission::Answered(AttemptOutcome::Full, ERROR_MS)
            && !is_overloaded
        {
            self.oracle.record_effect(now, id, place);
        }
        match admission {
            JobAdmission::Begun(ms) => {
                self.queue.push(now + ms, SimEvent::JobDone { server, incarnation, id, attempt })
            }
            JobAdmission::Answered(outcome, ms) => {
                self.queue.push(now + ms + hop, SimEvent::Answer { id, attempt, outcome, holds });
            }
            JobAdmission::Waits | JobAdmission::Nothing => {}
        }
        if is_overloaded {
            let since = self.servers[server as usize].since;
            self.oracle.check_overload(now, k, server, id, since);
            self.stop_server(server);
        }
    }

    /// Completes a job at a server, starts the next one from its queue, and sends the answer.
    fn job_done(&mut self, server: u32, incarnation: u32, id: u64, attempt: u32) {
        let slow_start = self.slow_start;
        let (now, hop) = (self.now, self.hop());
        let s = &mut self.servers[server as usize];
        if s.incarnation != incarnation {
            return;
        }
        if let Some((next, ms)) = s.complete(id, attempt, now, &slow_start) {
            self.queue.push(
                now + ms,
                SimEvent::JobDone { server, incarnation, id: next.id, attempt: next.attempt },
            );
        }
        let s = &self.servers[server as usize];
        if s.fault != ServerFault::Silent {
            let holds = self.scenario.servers.report.then_some(s.in_flight());
            self.queue.push(now + hop, SimEvent::Answer { id, attempt, outcome: AttemptOutcome::Ok, holds });
        }
    }

    /// Ends a server's incarnation; all of its jobs are reset.
    fn stop_server(&mut self, server: u32) {
        let unfinished = self.servers[server as usize].stop();
        self.connections.server_ended(server);
        for job in unfinished {
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

    fn answer_received(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome, holds: Option<usize>) {
        if self.outstanding_attempt(id, attempt).is_some() {
            self.attempt_ended(id, outcome, holds);
        }
    }

    /// Ends an attempt whose deadline has passed.
    fn deadline(&mut self, id: u64, attempt: u32) {
        let Some(is_received) = self.outstanding_attempt(id, attempt).map(|o| o.is_received) else { return };
        self.attempt_ended(
            id,
            if is_received { AttemptOutcome::Timeout } else { AttemptOutcome::Unreachable },
            None,
        );
    }

    // ---- faults ----

    /// Chooses this share of the servers that are up at random, at least one.
    fn sample_up_servers(&mut self, part: f64) -> Vec<u32> {
        let up: Vec<u32> = (0..self.servers.len() as u32)
            .filter(|n| self.health[*n as usize] == Health::Up && self.servers[*n as usize].is_up())
            .collect();
        let many = ((part * up.len() as f64).round() as usize).clamp(1.min(up.len()), up.len());
        let mut some: Vec<u32> = sample(&mut self.rng, up.len(), many).iter().map(|k| up[k]).collect();
        some.sort_unstable();
        some
    }

    /// Begins a fault, or its next step.
    fn begin_fault(&mut self, fault_index: usize, step: u32) {
        let fault = self.scenario.faults[fault_index].clone();
        let apply_to_servers = |world: &mut Self, server_fault: ServerFault| {
            let some = world.sample_up_servers(fault.part);
            for n in &some {
                world.servers[*n as usize].fault = server_fault;
            }
            world.faulty_servers.extend(&some);
            world.fault_targets[fault_index] = some;
        };
        match fault.kind {
            FaultKind::Slow => apply_to_servers(self, ServerFault::Slow(fault.times)),
            FaultKind::Errors => apply_to_servers(self, ServerFault::Errors),
            FaultKind::Silent => apply_to_servers(self, ServerFault::Silent),
            FaultKind::ZoneLost | FaultKind::ZoneCut | FaultKind::ZoneSlow | FaultKind::ZoneErrors => {
                self.begin_zone_fault(&fault, fault_index);
            }
            FaultKind::Crash => {
                apply_to_servers(self, ServerFault::Dead);
                for n in self.fault_targets[fault_index].clone() {
                    self.stop_server(n);
                    self.health[n as usize] = Health::Gone;
                }
                let some = self.fault_targets[fault_index].clone();
                self.send_list_changes(&some);
            }
            FaultKind::Replace => {
                if step == 0 {
                    self.fault_targets[fault_index] = self.sample_up_servers(fault.part);
                }
                let Some(old) = self.fault_targets[fault_index].get(step as usize).copied() else { return };
                let new = self.add_server(self.now);
                self.health[old as usize] = Health::Draining;
                self.send_list_changes(&[old, new]);
                self.queue
                    .push(self.now + self.scenario.discovery.drain_s * 1000.0, SimEvent::ServerGone(old));
                let gap = fault.for_s * 1000.0 / self.fault_targets[fault_index].len() as f64;
                self.queue.push(self.now + gap, SimEvent::Fault { fault_index, step: step + 1 });
            }
            FaultKind::Relist => {
                let zones = self.scenario.servers.zones;
                let all: Vec<u32> = (0..self.servers.len() as u32).collect();
                for s in &mut self.servers {
                    s.zone = (s.zone + 1) % zones;
                }
                self.send_list_changes(&all);
            }
            FaultKind::DiscoverySilent => self.discovery_outages += 1,
            FaultKind::DiscoverySlow => {
                (self.list_answer_share, self.list_delay_ms) = (fault.part, fault.times)
            }
            FaultKind::Partition => self.is_partitioned = true,
            FaultKind::NoteLoss => self.message_loss = fault.part,
            FaultKind::NoteDelay => self.message_delay_ms = fault.times,
            FaultKind::NoteDouble => self.message_duplication = fault.part,
            FaultKind::Surge => self.surge = fault.times,
            FaultKind::KillKeeper | FaultKind::KillAny => {
                let count = self.scenario.gatekeepers.count;
                let k = if fault.kind == FaultKind::KillKeeper {
                    self.shops.quota_owner_of_busiest()
                } else {
                    self.rng.random_range(0..count)
                };
                self.kill(k);
                if step + 1 < fault.count {
                    let gap = fault.for_s * 1000.0 / f64::from(fault.count);
                    // The same quota owner has to be up before it is killed again; kills of any gatekeeper
                    // may come together.
                    let least = if fault.kind == FaultKind::KillKeeper {
                        1000.0 * self.scenario.gatekeepers.down_s + 1.0
                    } else {
                        1.0
                    };
                    self.queue
                        .push(self.now + gap.max(least), SimEvent::Fault { fault_index, step: step + 1 });
                }
            }
        }
    }

    /// Ends a fault.
    fn end_fault(&mut self, fault_index: usize) {
        let fault = self.scenario.faults[fault_index].clone();
        let kind = fault.kind;
        let hit = std::mem::take(&mut self.fault_targets[fault_index]);
        for n in &hit {
            self.faulty_servers.remove(n);
            let s = &mut self.servers[*n as usize];
            s.fault = ServerFault::No;
            if kind == FaultKind::Crash {
                s.since = self.now;
                self.health[*n as usize] = Health::Up;
            }
        }
        self.end_zone_fault(&fault, &hit);
        match kind {
            FaultKind::Crash => self.send_list_changes(&hit),
            FaultKind::DiscoverySilent | FaultKind::DiscoverySlow => {
                if kind == FaultKind::DiscoverySilent {
                    self.discovery_outages -= 1;
                } else {
                    (self.list_answer_share, self.list_delay_ms) = (1.0, 0.0);
                }
                for k in 0..self.gatekeepers.len() as u32 {
                    let lag = self.uniform(self.scenario.discovery.lag_ms);
                    self.send_complete_list(k, lag);
                }
            }
            FaultKind::Partition => self.is_partitioned = false,
            FaultKind::NoteLoss => self.message_loss = self.scenario.network.note_loss,
            FaultKind::NoteDelay => self.message_delay_ms = 0.0,
            FaultKind::NoteDouble => self.message_duplication = 0.0,
            FaultKind::Surge => self.surge = 1.0,
            _ => {}
        }
    }

    // ---- events ----

    fn handle_event(&mut self, event: SimEvent) -> Result<(), String> {
        match event {
            SimEvent::NextRequest => self.next_request(),
            SimEvent::ClientRetry(request_id) => self.try_request(request_id),
            SimEvent::RequestReceived { id, attempt } => self.request_received(id, attempt),
            SimEvent::JobDone { server, incarnation, id, attempt } => {
                self.job_done(server, incarnation, id, attempt)
            }
            SimEvent::Answer { id, attempt, outcome, holds } => {
                self.answer_received(id, attempt, outcome, holds)
            }
            SimEvent::Deadline { id, attempt } => self.deadline(id, attempt),
            SimEvent::ClientLeaves(id) => self.client_leaves(id),
            SimEvent::Timer { gatekeeper, incarnation, token } => {
                if self.gatekeepers[gatekeeper as usize].incarnation == incarnation {
                    self.dispatch_event(gatekeeper, Event::Timer { token });
                }
            }
            SimEvent::PeerMessage { to, from, text } => {
                let up = self.gatekeepers.get(to as usize).is_some_and(|g| g.module.is_some());
                if up && self.try_accept_peer_message(to) {
                    self.dispatch_event(to, Event::PeerMessage { from, text: text.into() });
                } else {
                    self.stats.notes_lost += 1;
                }
            }
            SimEvent::EndpointUpdate { gatekeeper, incarnation, kind, entries } => {
                if self.gatekeepers[gatekeeper as usize].incarnation == incarnation {
                    self.list_received(gatekeeper, kind, &entries);
                }
            }
            SimEvent::Zones(step) => self.zone_step(step),
            SimEvent::Fault { fault_index, step } => self.begin_fault(fault_index, step),
            SimEvent::FaultEnd(fault_index) => self.end_fault(fault_index),
            SimEvent::GatekeeperStart(k) => self.start_gatekeeper(k)?,
            SimEvent::ListRequest { gatekeeper, incarnation } => {
                if self.gatekeepers[gatekeeper as usize].incarnation == incarnation {
                    self.request_list(gatekeeper);
                }
            }
            SimEvent::ServerGone(server) => {
                if self.health[server as usize] == Health::Draining {
                    self.health[server as usize] = Health::Gone;
                    self.send_list_changes(&[server]);
                    self.queue.push(self.now + REMOVED_SERVER_GRACE_MS, SimEvent::ServerGone(server));
                } else {
                    self.servers[server as usize].fault = ServerFault::Dead;
                    self.stop_server(server);
                }
            }
        }
        Ok(())
    }

    /// Passes an endpoint update to a gatekeeper and records it in the oracle.
    fn list_received(&mut self, k: u32, kind: EndpointUpdateKind, entries: &[(u32, Server)]) {
        let mut named = BTreeSet::new();
        for (number, line) in entries {
            named.insert(*number);
            self.oracle.server_listed(self.now, k, *number, line.health == Health::Up, line.started_at);
        }
        if kind == EndpointUpdateKind::Complete {
            for number in (0..self.servers.len() as u32).filter(|n| !named.contains(n)) {
                self.oracle.server_listed(self.now, k, number, false, 0.0);
            }
        }
        let servers = entries.iter().map(|(_, line)| line.clone()).collect();
        self.dispatch_event(k, Event::EndpointUpdate { kind, servers });
    }

    /// Builds the report at the end of the run.
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
            fallen: s.has_failed,
            cold_load: s.max_cold_load,
        });
        let servers = servers.collect();
        let (agreed_ms, decisions) = (self.agreed_ms(), std::mem::take(&mut self.zone_simulation.decisions));
        let mut report = self.stats.into_report(self.scenario, seed);
        report.servers = servers;
        (report.agreed_ms, report.decisions) = (agreed_ms, decisions);
        report.herds = self.herds.into_herds();
        report.ceiling_used = self.oracle.ceiling_used;
        report.broken = self.oracle.broken.take();
        report.missed = crate::expectations::missed(&self.scenario.expect, &report);
        report
    }
}
