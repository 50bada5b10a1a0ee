//! Gatekeepers that share one core and route to thousands of servers: clients get their final answers in time
//! while large endpoint lists arrive.

#[allow(dead_code)]
#[path = "node/harness.rs"]
mod harness;
#[allow(dead_code)]
#[path = "node/sockets.rs"]
mod sockets;

use frostvale_standin::formula_server::{FormulaServer, ServerOptions};
use harness::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of gatekeepers that share the core, unless LARGE_LIST_GATEKEEPERS is set.
const DEFAULT_GATEKEEPERS: usize = 40;
/// Number of servers in the list, unless LARGE_LIST_SERVERS is set.
const DEFAULT_SERVERS: usize = 3_200;
/// Deadline that a client states in its request.
const DEADLINE: Duration = Duration::from_millis(700);
/// A final answer that comes more than this after the deadline counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The wait that a command states to a server may exceed the client's remaining time by at most this.
const WAIT_TOLERANCE: Duration = Duration::from_millis(150);
/// Pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// Lets only one test at a time use the core.
static CORE_LOCK: Mutex<()> = Mutex::new(());

/// What clients observed in one phase.
#[derive(Default)]
struct PhaseStats {
    answered: AtomicU64,
    lost: AtomicU64,
    /// The longest time from a request to its answer, in ms.
    worst_ms: AtomicU64,
}

impl PhaseStats {
    fn record(&self, latency: Option<Duration>) {
        let Some(latency) = latency else {
            self.lost.fetch_add(1, Ordering::SeqCst);
            return;
        };
        self.answered.fetch_add(1, Ordering::SeqCst);
        self.worst_ms.fetch_max(latency.as_millis() as u64, Ordering::SeqCst);
        if latency > DEADLINE + ANSWER_GRACE {
            self.lost.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn counts(&self) -> [u64; 3] {
        [&self.answered, &self.lost, &self.worst_ms].map(|count| count.load(Ordering::SeqCst))
    }
}

/// The time at which each request was sent, by request id.
#[derive(Default)]
struct SendTimes(Mutex<HashMap<String, Instant>>);

impl SendTimes {
    /// Sends a request with a new id; returns the id and the result of the write.
    fn send(&self, client: &mut TestConnection) -> (String, std::io::Result<()>) {
        static IDS: AtomicU64 = AtomicU64::new(1 << 32);
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        self.0.lock().expect("an unpoisoned lock").insert(id.clone(), Instant::now());
        let written =
            client.read.get_mut().write_all(&read_request_with_id(&id, DEADLINE.as_millis() as u32));
        (id, written)
    }

    /// The ids of the commands that stated a longer wait than the client's remaining time, and the excess.
    fn excessive_waits(&self, servers: &Servers) -> Vec<(String, Duration)> {
        let sent = self.0.lock().expect("an unpoisoned lock");
        let arrivals = servers.all.iter().flat_map(|server| server.ledger().arrivals);
        let excess = arrivals.filter_map(|arrival| {
            let remaining = DEADLINE.saturating_sub(arrival.at.duration_since(*sent.get(&arrival.id)?));
            Some((arrival.id, arrival.wait?.saturating_sub(remaining + WAIT_TOLERANCE)))
        });
        excess.filter(|(_, excess)| !excess.is_zero()).collect()
    }
}

/// Formula servers that answer after 1 ms, each at its own address.
struct Servers {
    all: Vec<FormulaServer>,
    _runtime: tokio::runtime::Runtime,
}

impl Servers {
    fn start(count: usize) -> Servers {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let options = ServerOptions { work: Duration::from_millis(1), ..ServerOptions::default() };
        let all = runtime.block_on(async {
            let mut all = Vec::new();
            for k in 0..count {
                let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
                let uid = format!("s-{:08x}", (k as u32).wrapping_mul(0x9e37_79b1));
                let server = FormulaServer::start(&uid, ip, options.clone(), Arc::default(), false).await;
                all.push(server.expect("a file descriptor for each server"));
            }
            all
        });
        Servers { all, _runtime: runtime }
    }

    fn targets(&self) -> Vec<String> {
        self.all.iter().map(|server| target(&server.uid, server.at, "ready", 0)).collect()
    }

    /// How many requests reached servers, and how many repeated commands they got.
    fn runs(&self) -> (usize, usize) {
        let (mut seen, mut repeated) = (HashSet::new(), 0);
        for server in &self.all {
            for (id, runs) in server.ledger().runs {
                repeated += usize::from(runs > 1 || !seen.insert(id));
            }
        }
        (seen.len(), repeated)
    }
}

/// A size that an environment variable may set for a manual run.
fn size_from_env(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// The number of the first core that this process may use, as `taskset` takes it.
fn first_allowed_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let list = status.lines().find_map(|l| l.strip_prefix("Cpus_allowed_list:")).expect("a list of cores");
    list.trim().split([',', '-']).next().expect("a core").to_string()
}

/// The time from a request to its final answer; `None` if the connection ended without one.
fn time_to_answer(client: &mut TestConnection, times: &SendTimes) -> Option<Duration> {
    let sent = Instant::now();
    times.send(client).1.ok()?;
    let mut head = String::new();
    let read = client.read.read_line(&mut head).ok()?;
    if head.starts_with('$') {
        client.read.read_line(&mut head).ok()?;
    }
    (read > 0).then(|| sent.elapsed())
}

/// Starts a client that sends one request after the other until `stop` is set, and records each in the phase
/// in which it was sent.
fn start_client(
    at: SocketAddr,
    phase: Arc<Mutex<Arc<PhaseStats>>>,
    times: Arc<SendTimes>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut client = TestConnection::new(connect_early(at));
        while !stop.load(Ordering::SeqCst) {
            let stats = phase.lock().expect("an unpoisoned lock").clone();
            let latency = time_to_answer(&mut client, &times);
            stats.record(latency);
            if latency.is_none() {
                client = TestConnection::new(connect_early(at));
            }
            thread::sleep(REQUEST_PAUSE);
        }
    })
}

#[test]
fn requests_get_answers_in_time_when_large_lists_arrive() {
    let _core = CORE_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let gatekeepers = size_from_env("LARGE_LIST_GATEKEEPERS", DEFAULT_GATEKEEPERS);
    let servers = Servers::start(size_from_env("LARGE_LIST_SERVERS", DEFAULT_SERVERS));
    let targets = servers.targets();
    let discovery = Discovery::with(list(1, true, &targets));
    let shell = format!("exec taskset -c {}", first_allowed_core());
    let setup = Setup { known: list(1, true, &targets), shell, ..Setup::new(discovery.at) };
    let stop = Arc::new(AtomicBool::new(false));
    let phase = Arc::new(Mutex::new(Arc::new(PhaseStats::default())));
    let next_phase = || std::mem::take(&mut *phase.lock().expect("an unpoisoned lock"));

    let times = Arc::new(SendTimes::default());
    let (mut nodes, mut clients) = (Vec::new(), Vec::new());
    for _ in 0..gatekeepers {
        let at = free_port();
        let config = setup.config().replace("127.0.0.1:0", &at.to_string());
        clients.push(start_client(at, phase.clone(), times.clone(), stop.clone()));
        nodes.push((spawn(&config, &setup.shell), config));
    }
    let mut watches: Vec<TcpStream> = (0..gatekeepers).map(|_| discovery.watch()).collect();
    thread::sleep(Duration::from_secs(1));
    let start_phase = next_phase();

    // A release: a complete list arrives at once; one in a hundred servers is gone from it and as many are
    // draining.
    let listed = targets.iter().enumerate().filter(|(k, _)| k % 100 != 0);
    let released: Vec<String> = listed
        .map(|(k, line)| if k % 100 == 1 { line.replace("ready", "draining") } else { line.clone() })
        .collect();
    let released = list(2, true, &released);
    // One thread per watch, so that all get the list at the same time: a list is longer than a socket's
    // buffer.
    thread::scope(|scope| {
        watches.iter_mut().for_each(|watch| drop(scope.spawn(|| push(watch, &released))));
    });
    thread::sleep(Duration::from_secs(3));
    let list_phase = next_phase();

    // A reload: the configuration is read again, with its list of thousands, and the complete list is
    // requested again.
    nodes.iter().for_each(|(node, config)| node.reload(config));
    thread::sleep(Duration::from_secs(3));
    let reload_phase = next_phase();

    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let (reached, repeated) = servers.runs();
    let excessive_waits = times.excessive_waits(&servers);
    let phases = [
        ("at the start", start_phase.counts()),
        ("at a new complete list", list_phase.counts()),
        ("at a reload", reload_phase.counts()),
    ];
    for (name, [answered, lost, longest]) in phases {
        println!("{name}: {answered} answered, {lost} lost, longest time {longest} ms");
    }
    println!("{reached} requests reached servers, {repeated} of them more than once");
    println!("{} commands stated an excessive wait: {excessive_waits:?}", excessive_waits.len());
    println!("log of the first gatekeeper: {:#?}", nodes[0].0.log.lock().expect("an unpoisoned lock"));
    for (name, [answered, lost, longest]) in phases {
        assert!(answered > 0, "{name}: no request was answered");
        assert_eq!(lost, 0, "{name}: lost answers among {answered}, longest time {longest} ms");
    }
    assert!(
        excessive_waits.is_empty(),
        "commands stated longer waits than clients had left: {excessive_waits:?}"
    );
    assert!(
        reached > 0 && repeated == 0,
        "{reached} requests reached servers, {repeated} of them more than once"
    );
}

/// Number of gatekeepers in a seeded run.
const SEEDED_GATEKEEPERS: usize = 24;
/// How long random events occur in a seeded run.
const SEEDED_RUN_TIME: Duration = Duration::from_secs(8);
/// Seeds of the runs, unless LARGE_LIST_SEEDS=FROM..TO is set.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..4;
/// Pause between two events of a seeded run.
const EVENT_PAUSE: Duration = Duration::from_millis(150);
/// Time within which the final list takes effect at all gatekeepers; after it a server that is not listed
/// gets no more requests.
const FINAL_LIST_PROPAGATION_TIME: Duration = Duration::from_secs(6);
/// Commands that arrive at a server within this time after that do not count as stray.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long clients continue to send after that.
const SENDING_TIME_AFTER_FINAL_LIST: Duration = Duration::from_secs(1);
/// How long a gatekeeper's process is frozen.
const FREEZE_TIME: Duration = Duration::from_millis(150);

/// A gatekeeper that can be restarted at the same address.
struct Restartable {
    at: SocketAddr,
    config: String,
    node: Node,
}

impl Restartable {
    fn start(setup: &Setup) -> Restartable {
        let at = free_port();
        let config = setup.config().replace("127.0.0.1:0", &at.to_string());
        Restartable { at, node: spawn(&config, &setup.shell), config }
    }

    /// Stops the gatekeeper gracefully or kills it, and starts it again with this list in its configuration.
    fn restart(&mut self, setup: &Setup, known: &str, is_graceful: bool) {
        if is_graceful {
            self.node.signal("-TERM");
            assert!(self.node.wait_for_exit().success(), "{:?}", self.node.log.lock());
        }
        let new_setup =
            Setup { known: known.to_string(), shell: setup.shell.clone(), ..Setup::new(setup.discovery) };
        self.config = new_setup.config().replace("127.0.0.1:0", &self.at.to_string());
        let _ = self.node.child.kill();
        let _ = self.node.child.wait();
        self.node = spawn(&self.config, &setup.shell);
    }
}

/// Results of the requests of a seeded run: the answered, the late, and those whose connection ended without
/// an answer.
#[derive(Default)]
struct Outcomes {
    times: SendTimes,
    answered: AtomicU64,
    late: Mutex<Vec<(String, Duration)>>,
    unanswered: Mutex<Vec<String>>,
}

/// Starts a client that sends one request after the other and reconnects when its connection ends.
fn start_reconnecting_client(
    at: SocketAddr,
    outcomes: Arc<Outcomes>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut client: Option<TestConnection> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(line) = &mut client else {
                // While the gatekeeper is down nothing listens at its address.
                client = TcpStream::connect(at).ok().map(TestConnection::new);
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let sent = Instant::now();
            let (id, written) = outcomes.times.send(line);
            let mut answer = String::new();
            let read = written.and_then(|()| line.read.read_line(&mut answer)).unwrap_or(0);
            if answer.starts_with('$') {
                let _ = line.read.read_line(&mut answer);
            }
            if sent.elapsed() > DEADLINE + ANSWER_GRACE {
                outcomes.late.lock().expect("an unpoisoned lock").push((id.clone(), sent.elapsed()));
            }
            if read == 0 {
                outcomes.unanswered.lock().expect("an unpoisoned lock").push(id);
                client = None;
                continue;
            }
            outcomes.answered.fetch_add(1, Ordering::SeqCst);
            thread::sleep(REQUEST_PAUSE);
        }
    })
}

/// A complete list in which one in `every` servers, chosen at random, is gone or draining.
fn changed_list(version: u64, targets: &[String], every: u32, rng: &mut Pcg64Mcg) -> String {
    let lines = targets.iter().filter_map(|line| match rng.random_range(0..2 * every) {
        0 => None,
        1 => Some(line.replace("ready", "draining")),
        _ => Some(line.clone()),
    });
    list(version, true, &lines.collect::<Vec<_>>())
}

/// Writes a line to all watches concurrently and drops those that are closed.
fn push_to_all(watches: &mut Vec<TcpStream>, line: &str) {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let open: Vec<bool> = thread::scope(|scope| {
        let chunk = chunk.as_bytes();
        let writers: Vec<_> =
            watches.iter_mut().map(|watch| scope.spawn(move || watch.write_all(chunk).is_ok())).collect();
        writers.into_iter().map(|writer| writer.join().expect("written or not")).collect()
    });
    let mut open = open.into_iter();
    watches.retain(|_| open.next().unwrap_or(false));
}

/// Announces the final list to all gatekeepers, through watches, through list calls or both; returns the time
/// from which it counts as received.
fn announce_final_list(
    discovery: &Discovery,
    watches: &mut Vec<TcpStream>,
    final_list: &str,
    rng: &mut Pcg64Mcg,
) -> Instant {
    discovery.set_list(final_list);
    let announced_at = Instant::now();
    if rng.random::<bool>() {
        push_to_all(watches, "{nonsense");
    }
    let mut pushed = Vec::new();
    while announced_at.elapsed() < FINAL_LIST_PROPAGATION_TIME {
        push_to_all(watches, final_list);
        pushed.append(watches);
        // Watches that are opened meanwhile get the list too.
        thread::sleep(EVENT_PAUSE);
        watches.extend(discovery.watches.try_iter());
    }
    watches.append(&mut pushed);
    Instant::now()
}

/// One run under client load: random lists, broken watches, reloads, freezes and restarts.
fn seeded_run(seed: u64, servers: &Servers) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = servers.targets();
    let mut current_list = list(1, true, &targets);
    let discovery = Discovery::with(current_list.clone());
    let shell = format!("exec taskset -c {}", first_allowed_core());
    let setup = Setup { known: current_list.clone(), shell, ..Setup::new(discovery.at) };
    let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
    let mut nodes: Vec<Restartable> = (0..SEEDED_GATEKEEPERS).map(|_| Restartable::start(&setup)).collect();
    let clients: Vec<_> =
        nodes.iter().map(|node| start_reconnecting_client(node.at, outcomes.clone(), stop.clone())).collect();
    let (mut watches, mut version, started_at) = (Vec::new(), 1, Instant::now());
    let (mut events, mut kills) = (Vec::new(), 0);
    while started_at.elapsed() < SEEDED_RUN_TIME {
        watches.extend(discovery.watches.try_iter());
        let node = rng.random_range(0..nodes.len());
        let event = rng.random_range(0..8);
        events.push((started_at.elapsed().as_millis(), event, node));
        if (4..=6).contains(&event) {
            // Before the gatekeeper listens its signal handlers may not be installed.
            drop(connect_early(nodes[node].at));
        }
        match event {
            0 | 1 => {
                version += 1;
                current_list = changed_list(version, &targets, if event == 0 { 100 } else { 3 }, &mut rng);
                discovery.set_list(&current_list);
                push_to_all(&mut watches, &current_list);
            }
            2 => {
                let one = targets[rng.random_range(0..targets.len())].clone();
                push_to_all(&mut watches, &list(version, false, &[one]));
            }
            3 => push_to_all(&mut watches, "{nonsense"),
            4 => nodes[node].node.reload(&nodes[node].config),
            5 => {
                nodes[node].node.freeze();
                thread::sleep(FREEZE_TIME);
                nodes[node].node.thaw();
            }
            6 => {
                let is_graceful = rng.random::<bool>();
                kills += usize::from(!is_graceful);
                nodes[node].restart(&setup, &current_list, is_graceful);
            }
            _ => push_to_all(&mut watches, ""),
        }
        thread::sleep(EVENT_PAUSE);
    }
    let kept = &targets[..targets.len() / 2];
    let all_received_at =
        announce_final_list(&discovery, &mut watches, &list(version + 1, true, kept), &mut rng);
    thread::sleep(SENDING_TIME_AFTER_FINAL_LIST);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let unlisted_arrivals = servers.all[kept.len()..].iter().flat_map(|server| server.ledger().arrivals);
    let stray_commands =
        unlisted_arrivals.filter(|arrival| arrival.at > all_received_at + DRAIN_GRACE).count();
    assert_eq!(
        stray_commands, 0,
        "seed {seed}: requests were sent to servers that are no longer listed; events {events:?}"
    );
    let reached: HashSet<String> = servers.all.iter().flat_map(|s| s.ledger().runs.into_keys()).collect();
    let answered = outcomes.answered.load(Ordering::SeqCst);
    let late = std::mem::take(&mut *outcomes.late.lock().expect("an unpoisoned lock"));
    let unanswered = std::mem::take(&mut *outcomes.unanswered.lock().expect("an unpoisoned lock"));
    // A gatekeeper that is killed sends no more answers; one that stops gracefully answers all that it has
    // read.
    println!("seed {seed}: {answered} answered, {} late, {} unanswered", late.len(), unanswered.len());
    let logs: Vec<_> =
        nodes.iter().map(|node| node.node.log.lock().expect("an unpoisoned lock").clone()).collect();
    assert!(
        answered > 0 && late.is_empty(),
        "seed {seed}: {answered} answered, late answers {late:?}; events {events:?}; logs {logs:#?}"
    );
    let lost = unanswered.iter().filter(|id| reached.contains(*id)).count();
    let excessive_waits = outcomes.times.excessive_waits(servers);
    assert!(
        excessive_waits.is_empty(),
        "seed {seed}: excessive waits {excessive_waits:?}; events {events:?}"
    );
    assert!(
        lost <= kills,
        "seed {seed}: {lost} requests at servers got no answer, {kills} kills; events {events:?}"
    );
}

#[test]
fn answers_are_in_time_when_random_faults_meet_large_lists() {
    let _core = CORE_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let seeds = std::env::var("LARGE_LIST_SEEDS").ok().map_or(DEFAULT_SEEDS, |text| {
        let (from, to) = text.split_once("..").expect("FROM..TO");
        from.parse().expect("a number")..to.parse().expect("a number")
    });
    let servers = Servers::start(size_from_env("LARGE_LIST_SERVERS", DEFAULT_SERVERS));
    for seed in seeds {
        seeded_run(seed, &servers);
    }
    let (reached, repeated) = servers.runs();
    assert!(
        reached > 0 && repeated == 0,
        "{reached} requests reached servers, {repeated} of them more than once"
    );
}
