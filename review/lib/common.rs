//! Parts that the cases under `review/` share: gatekeeper processes, and small stand-ins for discovery, formula
//! servers and clients. Standard library only, threads and blocking sockets, loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is on: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A small generator of random numbers (xorshift), seeded by `SEED` or 1.
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(stream: u64) -> Random {
        let seed = std::env::var("SEED").ok().and_then(|s| s.parse::<u64>().ok()).unwrap_or(1);
        Random((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream.wrapping_mul(0xd1b5_4a32_d192_ed03)) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n.max(1)
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * ((self.next() >> 11) as f64 / (1u64 << 53) as f64)
    }
}

/// `record.txt`: what was sent, answered and run, with times from the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<io::BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").expect("RECORD names the record file");
        let file = File::create(path).expect("the record file");
        Record { file: Arc::new(Mutex::new(io::BufWriter::new(file))), start: Instant::now() }
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.ms();
        let _ = writeln!(lock(&self.file), "{at:10.1} {}", text.as_ref());
    }

    /// A line for the record and for the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn finish(&self) {
        let _ = lock(&self.file).flush();
    }
}

/// Ends the script with 2: the case couldn't run.
pub fn give_up(record: &Record, nodes: &mut Vec<Node>, why: &str) -> ! {
    record.say(format!("COULD NOT RUN: {why}"));
    nodes.clear();
    record.finish();
    std::process::exit(2)
}

// ---- RESP2 ----

pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

fn line(read: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if read.read_line(&mut text)? == 0 || !text.ends_with("\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    text.truncate(text.len() - 2);
    Ok(text)
}

fn bulk(read: &mut impl BufRead, head: &str) -> io::Result<Option<Vec<u8>>> {
    let n: i64 = head[1..].parse().map_err(|_| io::Error::other("a length"))?;
    if n < 0 {
        return Ok(None);
    }
    let mut bytes = vec![0; n as usize + 2];
    read.read_exact(&mut bytes)?;
    bytes.truncate(n as usize);
    Ok(Some(bytes))
}

/// Reads a command; `None` at the end of the connection.
pub fn read_command(read: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    if read.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let head = line(read)?;
    let n: usize =
        head.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(|| io::Error::other("no array"))?;
    let mut parts = Vec::new();
    for _ in 0..n {
        let head = line(read)?;
        parts.push(bulk(read, &head)?.unwrap_or_default());
    }
    Ok(Some(parts))
}

/// A gatekeeper's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Busy(String),
    Failed(String),
    Other(String),
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Served(value) => {
                let head: String = String::from_utf8_lossy(value).chars().take(40).collect();
                format!("served {} bytes {head:?}", value.len())
            }
            Answer::Busy(line) | Answer::Failed(line) | Answer::Other(line) => line.clone(),
        }
    }
}

pub fn read_answer(read: &mut impl BufRead) -> io::Result<Answer> {
    let head = line(read)?;
    Ok(match head.as_bytes().first() {
        Some(b'$') => match bulk(read, &head)? {
            Some(value) => Answer::Served(value),
            None => Answer::Failed(head),
        },
        Some(b'-') if head == "-BUSY" || head.starts_with("-BUSY ") => Answer::Busy(head),
        Some(b'-') => Answer::Failed(head),
        _ => Answer::Other(head),
    })
}

// ---- formula servers ----

/// What a formula server got.
pub struct Order {
    pub name: String,
    pub id: String,
    pub fields: HashMap<String, String>,
    pub bytes: usize,
}

impl Order {
    pub fn parse(parts: &[Vec<u8>]) -> Option<Order> {
        let text = |k: usize| String::from_utf8(parts.get(k)?.clone()).ok();
        let name = text(0).filter(|n| n == "Q.ASK" || n == "Q.DO")?;
        let (shop, id, list) = (text(1)?, text(2)?, text(3)?);
        let fields = list.split(',').filter_map(|f| f.split_once('=')).map(|(n, v)| (n.into(), v.into()));
        let bytes = parts.iter().map(Vec::len).sum();
        (shop.len() == 16 && id.len() == 16).then(|| Order { name, id, fields: fields.collect(), bytes })
    }
}

/// The cores of a formula server: at most so many commands run at a time, the others wait in order of arrival.
pub struct Cores {
    state: Mutex<(u64, u64, usize)>,
    changed: Condvar,
}

impl Cores {
    pub fn new(cores: usize) -> Cores {
        Cores { state: Mutex::new((0, 0, cores)), changed: Condvar::new() }
    }

    pub fn work(&self, time: Duration) {
        let mut state = lock(&self.state);
        let ticket = state.0;
        state.0 += 1;
        while state.1 != ticket || state.2 == 0 {
            state = self.changed.wait(state).unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        state.1 += 1;
        state.2 -= 1;
        drop(state);
        self.changed.notify_all();
        thread::sleep(time);
        lock(&self.state).2 += 1;
        self.changed.notify_all();
    }

    /// Commands that wait.
    pub fn queue(&self) -> u64 {
        let state = lock(&self.state);
        state.0 - state.1
    }
}

/// A listener that hands each connection to a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("bound");
    (listener, at)
}

/// A served answer of a formula server.
pub fn served(value: &[u8], report: &str) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(format!("\r\n$-1\r\n${}\r\n{report}\r\n", report.len()).as_bytes());
    out
}

// ---- discovery ----

#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub at: SocketAddr,
    pub zone: &'static str,
    pub rack: u32,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    fn json(&self) -> String {
        let Target { uid, at, zone, rack, state, boot_ms } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{at}\",\"az\":\"{zone}\",\"model\":\"std-2\",\"pod_group\":{rack},\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{boot_ms}}}"
        )
    }
}

#[derive(Default)]
struct List {
    rev: u64,
    targets: Vec<(u64, Target)>,
}

impl List {
    fn json(&self, after: Option<u64>) -> String {
        let of: Vec<String> = self
            .targets
            .iter()
            .filter(|(rev, t)| after.map_or(t.state != "gone", |after| *rev > after))
            .map(|(_, t)| t.json())
            .collect();
        format!("{{\"rev\":{},\"all\":{},\"targets\":[{}]}}", self.rev, after.is_none(), of.join(","))
    }
}

/// How discovery frames the whole list.
#[derive(Clone, Copy, PartialEq)]
pub enum Framing {
    /// With its length; the connection stays open.
    Length,
    /// With no length: the list ends where the connection does.
    NoLength,
}

/// Discovery's agent, which answers at once.
#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    pub lists: Arc<AtomicU64>,
    pub watches: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>, framing: Framing) -> Discovery {
        let (listener, at) = listener();
        let targets = targets.into_iter().map(|t| (1, t)).collect();
        let list = Arc::new((Mutex::new(List { rev: 1, targets }), Condvar::new()));
        let (lists, watches) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (of, lists2, watches2) = (list.clone(), lists.clone(), watches.clone());
        serve(listener, move |stream| {
            let _ = Discovery::connection(stream, &of, framing, &lists2, &watches2);
        });
        Discovery { at, list, lists, watches }
    }

    fn connection(
        mut stream: TcpStream,
        list: &(Mutex<List>, Condvar),
        framing: Framing,
        lists: &AtomicU64,
        watches: &AtomicU64,
    ) -> io::Result<()> {
        let mut read = BufReader::new(stream.try_clone()?);
        loop {
            let head = line(&mut read)?;
            while !line(&mut read)?.is_empty() {}
            let target = head.split(' ').nth(1).unwrap_or_default().to_string();
            let Some((_, query)) = target.split_once('?') else {
                lists.fetch_add(1, Ordering::Relaxed);
                let body = lock(&list.0).json(None);
                match framing {
                    Framing::Length => {
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        stream.write_all(format!("{head}{body}").as_bytes())?;
                        continue;
                    }
                    Framing::NoLength => {
                        stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes())?;
                        stream.shutdown(Shutdown::Write)?;
                        let _ = read.read_to_end(&mut Vec::new());
                        return Ok(());
                    }
                }
            };
            watches.fetch_add(1, Ordering::Relaxed);
            let index = query.split('&').find_map(|p| p.strip_prefix("index=")).and_then(|n| n.parse().ok());
            let mut known: u64 = index.unwrap_or(0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            loop {
                let text = {
                    let mut held = lock(&list.0);
                    if held.rev <= known {
                        let waited = list.1.wait_timeout(held, ms(2000));
                        held = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
                    }
                    let text = if held.rev > known { held.json(Some(known)) } else { String::new() };
                    known = held.rev;
                    text
                };
                stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())?;
            }
        }
    }

    /// Changes entries in one revision.
    pub fn change(&self, uids: &[&str], change: impl Fn(&mut Target)) {
        let mut list = lock(&self.list.0);
        list.rev += 1;
        let rev = list.rev;
        for (at, target) in list.targets.iter_mut().filter(|(_, t)| uids.contains(&t.uid.as_str())) {
            *at = rev;
            change(target);
        }
        drop(list);
        self.list.1.notify_all();
    }
}

// ---- gatekeepers ----

/// The settings of a small deployment, as one gatekeeper gets them.
pub struct Settings {
    pub gatekeepers: usize,
    /// The classes, as JSON objects.
    pub classes: String,
    pub connect_timeout: f64,
}

pub const READ_CLASS: &str = r#"{"Name":"formula-read","Effect":"repeatable","Group":"all","Window":5000.0,"Target":400.0,"Deadline":1000.0,"LateWorth":0.0,"Worth":1.0,"Stream":false}"#;
pub const MIX_CLASS: &str = r#"{"Name":"mix-record","Effect":"by_key","Group":"cell","Window":2500.0,"Target":1000.0,"Deadline":4000.0,"LateWorth":0.0,"Worth":3.0,"Stream":false}"#;

impl Settings {
    fn json(&self, me: usize) -> String {
        format!(
            r#"{{"Family":"gate","Balancers":{},"Me":{me},"Zone":{},"Tier":0,"Tick":4.0,"Weights":"nominal","Discovery":"automatic",
            "Areas":["room-a","room-b","room-c"],"Kinds":["std-2","slow-3"],"Layers":["formula-servers"],
            "Blend":{{"Whole":0.65,"WorstClass":0.0,"WorstTenant":0.15,"WorstWindow":0.2}},"ClientHabits":{{"MarksRetry":true}},
            "Bounds":{{"Cancel":true,"ConnIdle":12000.0,"ConnectTimeout":{:.1},"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"MaxOpen":20000,
            "MaxRetryAfter":2000.0,"Multiplex":32,"Peers":true,"Probing":false,"RetryAfter":true,"SecondCopies":false,"TryLimit":3}},
            "Classes":[{}],
            "Domain":{{"CallPrice":0.01,"CountWait":80.0,"Largest":4,"MayCount":true,"PeerIntake":60.0,"Settles":false,"UsePeriod":0.0}},
            "LoadReport":{{"Columns":["utilization","throughput"],"How":"answers"}},
            "Plans":[{{"Name":"tienda","UnitsPerS":4.0,"PeakUnits":16.0,"ValueFactor":0.8,"OverCost":1.2,"OverWorth":0.0,"CapRate":0.0,"CapDepth":0.0,"CeilingSlack":0.0,"MaxOut":0}},
            {{"Name":"ferreteria","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.3,"OverCost":0.8,"OverWorth":0.0,"CapRate":20.0,"CapDepth":40.0,"CeilingSlack":4.0,"MaxOut":0}},
            {{"Name":"distribuidor","UnitsPerS":25.0,"PeakUnits":60.0,"ValueFactor":1.6,"OverCost":0.8,"OverWorth":0.0,"CapRate":0.0,"CapDepth":0.0,"CeilingSlack":0.0,"MaxOut":8}}],
            "Rules":{{"AnswerSlack":16.0,"ColdFrom":0.25,"DrainGrace":250.0,"FallMultiple":2.0,"MustAskIn":10000.0,"OverloadFor":1000.0,"WarmWithin":15000.0}}}}"#,
            self.gatekeepers,
            me % 3,
            self.connect_timeout,
            self.classes
        )
    }
}

/// A gatekeeper process. It is killed when dropped.
pub struct Node {
    pub at: SocketAddr,
    pub child: Child,
    config: PathBuf,
    /// Holds its process id for as long as it runs.
    pid_file: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
        let _ = std::fs::remove_file(&self.config);
    }
}

fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a free port")
}

/// What a gatekeeper keeps over its restarts.
#[derive(Clone)]
pub struct Place {
    pub me: usize,
    pub at: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    /// Its local settings file, if it has one.
    pub extra: Option<PathBuf>,
}

pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder"))
}

pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"))
}

/// Free places for so many gatekeepers.
pub fn places(gatekeepers: usize, discovery: SocketAddr) -> Vec<Place> {
    let peers: Vec<SocketAddr> = (0..gatekeepers).map(|_| free_udp()).collect();
    (0..gatekeepers).map(|me| Place { me, at: free_tcp(), peers: peers.clone(), discovery, extra: None }).collect()
}

/// Starts a gatekeeper with the `run` line of the deploy file.
pub fn spawn_gatekeeper(place: &Place, settings: &Settings) -> io::Result<Node> {
    static STARTS: AtomicU64 = AtomicU64::new(0);
    let start = STARTS.fetch_add(1, Ordering::Relaxed);
    let Place { me, at, peers, discovery, extra } = place;
    let folder = case_folder();
    let list: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    let text = format!(
        r#"{{"name":"n{me}","listen":"{at}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "peer_listen":"{}","peers":[{}],"known":{{"rev":0,"all":true,"targets":[]}},"settings":{}}}"#,
        0x5eed_0000 + start,
        peers[*me],
        list.join(","),
        settings.json(*me)
    );
    let config = folder.join(format!("n{me}-{start}.json"));
    std::fs::write(&config, text)?;
    let log = File::create(folder.join(format!("n{me}-{start}.log")))?;
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", "exec target/release/frostvale"])
        .current_dir(root())
        .env("GW_CONFIG", &config)
        .env("GW_NAME", format!("n{me}"))
        .env("GW_LISTEN", at.to_string())
        .env("GW_DISCOVERY", discovery.to_string())
        .env_remove("GW_EXTRA")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    if let Some(extra) = extra {
        command.env("GW_EXTRA", extra);
    }
    let child = command.spawn()?;
    let pid_file = folder.join(format!("n{me}-{start}.pid"));
    let _ = std::fs::write(&pid_file, child.id().to_string());
    Ok(Node { at: *at, child, config, pid_file })
}

/// Sends a signal to a process that this case started.
pub fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
}

/// Waits until a process has ended; false if it has not within `limit`.
pub fn wait_for_end(child: &mut Child, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if !matches!(child.try_wait(), Ok(None)) {
            return true;
        }
        thread::sleep(ms(10));
    }
    false
}

/// Waits until a gatekeeper answers PING with PONG; false if it has not within 10 s.
pub fn wait_until_ready(at: SocketAddr) -> bool {
    let until = Instant::now() + ms(10_000);
    while !answers_ping(at) {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(ms(50));
    }
    true
}

/// Starts gatekeepers and waits until all are ready.
pub fn start_gatekeepers(settings: &Settings, discovery: SocketAddr, record: &Record) -> Vec<Node> {
    let mut nodes = Vec::new();
    for place in places(settings.gatekeepers, discovery) {
        match spawn_gatekeeper(&place, settings) {
            Ok(node) => nodes.push(node),
            Err(_) => give_up(record, &mut nodes, "a gatekeeper does not start"),
        }
    }
    if !nodes.iter().all(|n| wait_until_ready(n.at)) {
        give_up(record, &mut nodes, "a gatekeeper does not answer PING");
    }
    nodes
}

fn answers_ping(at: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(ms(2000)))?;
        stream.write_all(&command(&[b"PING"]))?;
        Ok(line(&mut BufReader::new(stream))? == "+PONG")
    };
    ask().unwrap_or(false)
}

/// Whether all gatekeepers still run.
pub fn all_run(nodes: &mut [Node]) -> bool {
    nodes.iter_mut().all(|n| matches!(n.child.try_wait(), Ok(None)))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Ids that are new with every request.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let n = LAST.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
