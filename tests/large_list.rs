//! Gatekeepers that share one core, before thousands of servers: final answers while large endpoint lists arrive.

#[allow(dead_code)]
#[path = "node/rig.rs"]
mod rig;
#[allow(dead_code)]
#[path = "node/sockets.rs"]
mod sockets;

use frostvale_standin::formula_server::{FormulaServer, ServerOptions};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rig::*;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Gatekeepers that share the core, unless LARGE_LIST_GATEKEEPERS says otherwise.
const GATEKEEPERS: usize = 40;
/// Servers in the list, unless LARGE_LIST_SERVERS says otherwise.
const SERVERS: usize = 3_200;
/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(700);
/// A final answer that comes later than this after its deadline is lost.
const GRACE: Duration = Duration::from_millis(500);
/// A server may be told so much more than the time that its client has left.
const SLACK: Duration = Duration::from_millis(150);
/// The pause between two requests of a client.
const PACE: Duration = Duration::from_millis(50);

/// Tests take turns for the core.
static CORE: Mutex<()> = Mutex::new(());

/// What clients saw of one phase.
#[derive(Default)]
struct Seen {
    answered: AtomicU64,
    lost: AtomicU64,
    /// The longest time from a request to its answer, in ms.
    worst_ms: AtomicU64,
}

impl Seen {
    fn note(&self, took: Option<Duration>) {
        let Some(took) = took else {
            self.lost.fetch_add(1, Ordering::SeqCst);
            return;
        };
        self.answered.fetch_add(1, Ordering::SeqCst);
        self.worst_ms.fetch_max(took.as_millis() as u64, Ordering::SeqCst);
        if took > DEADLINE + GRACE {
            self.lost.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn figures(&self) -> [u64; 3] {
        [&self.answered, &self.lost, &self.worst_ms].map(|figure| figure.load(Ordering::SeqCst))
    }
}

/// When each request was sent, by id.
#[derive(Default)]
struct SendTimes(Mutex<HashMap<String, Instant>>);

impl SendTimes {
    /// Sends a request with an id of its own, and gives the id, and whether it is written.
    fn send(&self, client: &mut Line) -> (String, std::io::Result<()>) {
        static IDS: AtomicU64 = AtomicU64::new(1 << 32);
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        self.0.lock().expect("whole").insert(id.clone(), Instant::now());
        let written = client.read.get_mut().write_all(&ask_as(&id, DEADLINE.as_millis() as u32));
        (id, written)
    }

    /// The commands that told a server more than its client had left, and by how much.
    fn told_too_much(&self, servers: &Servers) -> Vec<(String, Duration)> {
        let sent = self.0.lock().expect("whole");
        let arrivals = servers.all.iter().flat_map(|server| server.ledger().arrivals);
        let excess = arrivals.filter_map(|arrival| {
            let left = DEADLINE.saturating_sub(arrival.at.duration_since(*sent.get(&arrival.id)?));
            Some((arrival.id, arrival.wait?.saturating_sub(left + SLACK)))
        });
        excess.filter(|(_, excess)| !excess.is_zero()).collect()
    }
}

/// Servers that answer at once, each at an address of its own.
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
                all.push(server.expect("a descriptor for each server"));
            }
            all
        });
        Servers { all, _runtime: runtime }
    }

    fn targets(&self) -> Vec<String> {
        self.all.iter().map(|server| target(&server.uid, server.at, "ready", 0)).collect()
    }

    /// How many requests reached servers, and how many of them more than once.
    fn runs(&self) -> (usize, usize) {
        let (mut seen, mut twice) = (HashSet::new(), 0);
        for server in &self.all {
            for (id, runs) in server.ledger().runs {
                twice += usize::from(runs > 1 || !seen.insert(id));
            }
        }
        (seen.len(), twice)
    }
}

/// A size that a run by hand may set.
fn size(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// The first core that this process may use, as `taskset` names it.
fn one_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").expect("the kernel's word");
    let list = status.lines().find_map(|l| l.strip_prefix("Cpus_allowed_list:")).expect("cores");
    list.trim().split([',', '-']).next().expect("a core").to_string()
}

/// The time from a request to its final answer; none where the connection ended without one.
fn time_of_answer(client: &mut Line, times: &SendTimes) -> Option<Duration> {
    let sent = Instant::now();
    times.send(client).1.ok()?;
    let mut head = String::new();
    let read = client.read.read_line(&mut head).ok()?;
    if head.starts_with('$') {
        client.read.read_line(&mut head).ok()?;
    }
    (read > 0).then(|| sent.elapsed())
}

/// A client that sends one request after the other until it is told to stop, and notes each in the phase that stands then.
fn client_of(
    at: SocketAddr,
    phase: Arc<Mutex<Arc<Seen>>>,
    times: Arc<SendTimes>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut client = Line::of(connect_early(at));
        while !stop.load(Ordering::SeqCst) {
            let seen = phase.lock().expect("whole").clone();
            let took = time_of_answer(&mut client, &times);
            seen.note(took);
            if took.is_none() {
                client = Line::of(connect_early(at));
            }
            thread::sleep(PACE);
        }
    })
}

#[test]
fn large_lists_leave_no_request_without_its_answer_in_time() {
    let _core = CORE.lock().unwrap_or_else(PoisonError::into_inner);
    let gatekeepers = size("LARGE_LIST_GATEKEEPERS", GATEKEEPERS);
    let servers = Servers::start(size("LARGE_LIST_SERVERS", SERVERS));
    let targets = servers.targets();
    let discovery = Discovery::with(list(1, true, &targets));
    let shell = format!("exec taskset -c {}", one_core());
    let setup = Setup { known: list(1, true, &targets), shell, ..Setup::new(discovery.at) };
    let stop = Arc::new(AtomicBool::new(false));
    let phase = Arc::new(Mutex::new(Arc::new(Seen::default())));
    let next_phase = || std::mem::take(&mut *phase.lock().expect("whole"));

    let times = Arc::new(SendTimes::default());
    let (mut nodes, mut clients) = (Vec::new(), Vec::new());
    for _ in 0..gatekeepers {
        let at = free_port();
        let config = setup.config().replace("127.0.0.1:0", &at.to_string());
        clients.push(client_of(at, phase.clone(), times.clone(), stop.clone()));
        nodes.push((spawn(&config, &setup.shell), config));
    }
    let mut watches: Vec<TcpStream> = (0..gatekeepers).map(|_| discovery.watch()).collect();
    thread::sleep(Duration::from_secs(1));
    let start = next_phase();

    // A release: of the whole list that comes at once one in a hundred servers is gone and as many drain.
    let listed = targets.iter().enumerate().filter(|(k, _)| k % 100 != 0);
    let released: Vec<String> = listed
        .map(|(k, line)| if k % 100 == 1 { line.replace("ready", "draining") } else { line.clone() })
        .collect();
    let released = list(2, true, &released);
    // To all in one moment: a list is longer than what a socket holds.
    thread::scope(|scope| {
        watches.iter_mut().for_each(|watch| drop(scope.spawn(|| push(watch, &released))));
    });
    thread::sleep(Duration::from_secs(3));
    let whole = next_phase();

    // The configuration is read again, with its list of thousands, and the whole list is asked for.
    nodes.iter().for_each(|(node, config)| node.reload(config));
    thread::sleep(Duration::from_secs(3));
    let reload = next_phase();

    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let (reached, twice) = servers.runs();
    let told_too_much = times.told_too_much(&servers);
    let phases = [
        ("at the start", start.figures()),
        ("at a new whole list", whole.figures()),
        ("at a reload", reload.figures()),
    ];
    for (name, [answered, lost, worst]) in phases {
        println!("{name}: {answered} answered, {lost} lost, the latest after {worst} ms");
    }
    println!("{reached} requests reached servers, {twice} of them twice");
    println!("{} told their server too much: {told_too_much:?}", told_too_much.len());
    println!("the log of the first gatekeeper: {:#?}", nodes[0].0.log.lock().expect("whole"));
    for (name, [answered, lost, worst]) in phases {
        assert!(answered > 0, "{name}: nothing was answered");
        assert_eq!(lost, 0, "{name}: of {answered} the latest after {worst} ms");
    }
    assert!(told_too_much.is_empty(), "servers were told more than clients had left: {told_too_much:?}");
    assert!(reached > 0 && twice == 0, "{reached} requests reached servers, {twice} of them twice");
}

/// Gatekeepers of a seeded run, the length of a run, and the seeds of a run without LARGE_LIST_SEEDS=FROM..TO.
const SEEDED_GATEKEEPERS: usize = 24;
const SEEDED_RUN: Duration = Duration::from_secs(8);
const SEEDS: std::ops::Range<u64> = 1..4;
/// The pause between two events of a seeded run.
const EVENT_PAUSE: Duration = Duration::from_millis(150);
/// A change is in effect everywhere so long after discovery had it, and a server that is left out gets nothing more.
const TOLD: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long clients go on after that.
const AFTER_TOLD: Duration = Duration::from_secs(1);
/// How long a gatekeeper may be held up.
const HELD_UP: Duration = Duration::from_millis(150);

/// A gatekeeper that may be restarted, at one address.
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

    /// Ends it in order, or kills it, and starts it anew with this list known.
    fn restart(&mut self, setup: &Setup, known: &str, in_order: bool) {
        if in_order {
            self.node.signal("-TERM");
            assert!(self.node.exit().success(), "{:?}", self.node.log.lock());
        }
        let fresh =
            Setup { known: known.to_string(), shell: setup.shell.clone(), ..Setup::new(setup.discovery) };
        self.config = fresh.config().replace("127.0.0.1:0", &self.at.to_string());
        let _ = self.node.child.kill();
        let _ = self.node.child.wait();
        self.node = spawn(&self.config, &setup.shell);
    }
}

/// What became of the requests of a seeded run: late ones, and those whose connection ended without an answer.
#[derive(Default)]
struct Outcomes {
    times: SendTimes,
    answered: AtomicU64,
    late: Mutex<Vec<(String, Duration)>>,
    unanswered: Mutex<Vec<String>>,
}

/// A client that sends one request after the other; where its connection ends it opens the next one.
fn steady_client(at: SocketAddr, outcomes: Arc<Outcomes>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut client: Option<Line> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(line) = &mut client else {
                // While it is down nobody listens there.
                client = TcpStream::connect(at).ok().map(Line::of);
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
            if sent.elapsed() > DEADLINE + GRACE {
                outcomes.late.lock().expect("whole").push((id.clone(), sent.elapsed()));
            }
            if read == 0 {
                outcomes.unanswered.lock().expect("whole").push(id);
                client = None;
                continue;
            }
            outcomes.answered.fetch_add(1, Ordering::SeqCst);
            thread::sleep(PACE);
        }
    })
}

/// The list with one line in `every` gone or draining, by lot.
fn changed_list(version: u64, targets: &[String], every: u32, rng: &mut Pcg64Mcg) -> String {
    let lines = targets.iter().filter_map(|line| match rng.random_range(0..2 * every) {
        0 => None,
        1 => Some(line.replace("ready", "draining")),
        _ => Some(line.clone()),
    });
    list(version, true, &lines.collect::<Vec<_>>())
}

/// Writes a line to all watches at once; those that have ended are dropped.
fn push_all(watches: &mut Vec<TcpStream>, line: &str) {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let open: Vec<bool> = thread::scope(|scope| {
        let chunk = chunk.as_bytes();
        let writing: Vec<_> =
            watches.iter_mut().map(|watch| scope.spawn(move || watch.write_all(chunk).is_ok())).collect();
        writing.into_iter().map(|write| write.join().expect("written or not")).collect()
    });
    let mut open = open.into_iter();
    watches.retain(|_| open.next().unwrap_or(false));
}

/// Has all gatekeepers told of this list, by watches, by calls or by both, and gives when that counts as done.
fn tell_last(
    discovery: &Discovery,
    watches: &mut Vec<TcpStream>,
    whole: &str,
    rng: &mut Pcg64Mcg,
) -> Instant {
    discovery.set(whole);
    let had = Instant::now();
    if rng.random::<bool>() {
        push_all(watches, "{nonsense");
    }
    let mut told = Vec::new();
    while had.elapsed() < TOLD {
        push_all(watches, whole);
        told.append(watches);
        // Those that are opened meanwhile say what has changed too.
        thread::sleep(EVENT_PAUSE);
        watches.extend(discovery.watches.try_iter());
    }
    watches.append(&mut told);
    Instant::now()
}

/// One run: lists, broken watches, reloads, pauses and restarts by lot, under clients.
fn seeded_run(seed: u64, servers: &Servers) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = servers.targets();
    let mut whole = list(1, true, &targets);
    let discovery = Discovery::with(whole.clone());
    let shell = format!("exec taskset -c {}", one_core());
    let setup = Setup { known: whole.clone(), shell, ..Setup::new(discovery.at) };
    let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
    let mut nodes: Vec<Restartable> = (0..SEEDED_GATEKEEPERS).map(|_| Restartable::start(&setup)).collect();
    let clients: Vec<_> =
        nodes.iter().map(|node| steady_client(node.at, outcomes.clone(), stop.clone())).collect();
    let (mut watches, mut version, begun) = (Vec::new(), 1, Instant::now());
    let (mut events, mut kills) = (Vec::new(), 0);
    while begun.elapsed() < SEEDED_RUN {
        watches.extend(discovery.watches.try_iter());
        let node = rng.random_range(0..nodes.len());
        let event = rng.random_range(0..8);
        events.push((begun.elapsed().as_millis(), event, node));
        if (4..=6).contains(&event) {
            // Before it listens it may not await signals yet.
            drop(connect_early(nodes[node].at));
        }
        match event {
            0 | 1 => {
                version += 1;
                whole = changed_list(version, &targets, if event == 0 { 100 } else { 3 }, &mut rng);
                discovery.set(&whole);
                push_all(&mut watches, &whole);
            }
            2 => {
                let one = targets[rng.random_range(0..targets.len())].clone();
                push_all(&mut watches, &list(version, false, &[one]));
            }
            3 => push_all(&mut watches, "{nonsense"),
            4 => nodes[node].node.reload(&nodes[node].config),
            5 => {
                nodes[node].node.freeze();
                thread::sleep(HELD_UP);
                nodes[node].node.thaw();
            }
            6 => {
                let in_order = rng.random::<bool>();
                kills += usize::from(!in_order);
                nodes[node].restart(&setup, &whole, in_order);
            }
            _ => push_all(&mut watches, ""),
        }
        thread::sleep(EVENT_PAUSE);
    }
    let kept = &targets[..targets.len() / 2];
    let told = tell_last(&discovery, &mut watches, &list(version + 1, true, kept), &mut rng);
    thread::sleep(AFTER_TOLD);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let left_out = servers.all[kept.len()..].iter().flat_map(|server| server.ledger().arrivals);
    let strays = left_out.filter(|arrival| arrival.at > told + DRAIN_GRACE).count();
    assert_eq!(strays, 0, "seed {seed}: sent to servers that are not listed any more; events {events:?}");
    let reached: HashSet<String> = servers.all.iter().flat_map(|s| s.ledger().runs.into_keys()).collect();
    let answered = outcomes.answered.load(Ordering::SeqCst);
    let late = std::mem::take(&mut *outcomes.late.lock().expect("whole"));
    let unanswered = std::mem::take(&mut *outcomes.unanswered.lock().expect("whole"));
    // A gatekeeper that is killed answers nothing more; of one that ends in order nothing that was read is lost.
    println!("seed {seed}: {answered} answered, {} late, {} ended unanswered", late.len(), unanswered.len());
    let logs: Vec<_> = nodes.iter().map(|node| node.node.log.lock().expect("whole").clone()).collect();
    assert!(answered > 0 && late.is_empty(), "seed {seed}: late {late:?}; events {events:?}; logs {logs:#?}");
    let lost = unanswered.iter().filter(|id| reached.contains(*id)).count();
    let told_too_much = outcomes.times.told_too_much(servers);
    assert!(told_too_much.is_empty(), "seed {seed}: {told_too_much:?}; events {events:?}");
    assert!(lost <= kills, "seed {seed}: {lost} of those that reached a server; events {events:?}");
}

#[test]
fn seeded_faults_around_large_lists_leave_no_answer_late() {
    let _core = CORE.lock().unwrap_or_else(PoisonError::into_inner);
    let seeds = std::env::var("LARGE_LIST_SEEDS").ok().map_or(SEEDS, |text| {
        let (from, to) = text.split_once("..").expect("FROM..TO");
        from.parse().expect("a number")..to.parse().expect("a number")
    });
    let servers = Servers::start(size("LARGE_LIST_SERVERS", SERVERS));
    for seed in seeds {
        seeded_run(seed, &servers);
    }
    let (reached, twice) = servers.runs();
    assert!(reached > 0 && twice == 0, "{reached} requests reached servers, {twice} of them twice");
}
