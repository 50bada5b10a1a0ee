//! Stand-ins and helpers for the cases of the second review: clients, formula servers, discovery, a proxy
//! that delays, and control of the project's own processes. Standard library alone; loopback addresses only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Whether the case runs with its disruption (`TROUBLE=0` runs it without).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A small generator of pseudo-random numbers.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

/// The lines of `record.txt`, with the time since the start in ms.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(case: &Path) -> Record {
        Record { start: Instant::now(), lines: Arc::default(), path: case.join("record.txt") }
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn add(&self, line: impl AsRef<str>) {
        lock(&self.lines).push(format!("{:10.1} {}", self.ms(), line.as_ref()));
    }

    /// Also printed.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    pub fn save(&self) {
        let _ = fs::write(&self.path, lock(&self.lines).join("\n") + "\n");
    }
}

/// The folder of the case, the root of the repository, and a temporary folder.
pub struct Place {
    pub case: PathBuf,
    pub root: PathBuf,
    pub temporary: PathBuf,
}

impl Place {
    /// From the environment that `run.sh` sets: CASE, ROOT and TEMPORARY.
    pub fn new() -> Place {
        let folder = |name: &str| PathBuf::from(std::env::var(name).unwrap_or_else(|_| fail(name)));
        limit_time(Duration::from_secs(115));
        Place { case: folder("CASE"), root: folder("ROOT"), temporary: folder("TEMPORARY") }
    }
}

/// The processes that were started and not yet waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends a case that cannot run, and the processes that it started.
pub fn fail<T>(why: &str) -> T {
    eprintln!("the case cannot run: {why}");
    for pid in lock(&STARTED).iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    std::process::exit(CANNOT_RUN)
}

/// Ends the case after this time, whatever it does.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        fail::<()>("it took too long");
    });
}

// ---- processes ----

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

/// The option of prctl(2) by which a process gets a signal when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// One of the project's programs as a process of its own, ended when dropped.
pub struct Program {
    pub name: String,
    child: Child,
}

impl Program {
    pub fn start(place: &Place, name: &str, line: &str, environment: &[(&str, String)]) -> Program {
        let log = fs::OpenOptions::new().create(true).append(true).open(place.temporary.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| fail(&format!("log of {name}: {e}")));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(line).current_dir(&place.root).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap_or_else(|e| fail(&e.to_string()))).stderr(log);
        for variable in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_EXTRA", "GW_CONFIG"] {
            command.env_remove(variable);
        }
        command.envs(environment.iter().map(|(k, v)| (*k, v.as_str())));
        // The program ends with this one, however this one ends. All are started by the main thread.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|e| fail(&format!("cannot start {name}: {e}")));
        lock(&STARTED).extend(i32::try_from(child.id()));
        Program { name: name.to_string(), child }
    }

    pub fn signal(&self, signal: i32) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // The process is a child that has not been waited for, so its id is its own.
            unsafe { kill(pid, signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn end_by(&mut self, signal: i32, limit: Duration) {
        if !self.has_ended() {
            self.signal(signal);
        }
        let until = Instant::now() + limit;
        while !self.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
        }
        if !self.has_ended() {
            let _ = self.child.kill();
        }
        self.reap();
    }

    /// Waits for the process, which has ended or been killed; its id is no longer its own after that.
    fn reap(&mut self) {
        let mut started = lock(&STARTED);
        let _ = self.child.wait();
        started.retain(|pid| i32::try_from(self.child.id()) != Ok(*pid));
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        self.reap();
    }
}

// ---- addresses ----

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&format!("no port: {e}")));
    let at = listener.local_addr().unwrap_or_else(|e| fail(&e.to_string()));
    (listener, at)
}

/// Addresses that are free for TCP and UDP now.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut held = Vec::new();
    while held.len() < count {
        let (tcp, at) = listener();
        if let Ok(udp) = UdpSocket::bind(at) {
            held.push((tcp, udp, at));
        }
    }
    held.iter().map(|(_, _, at)| *at).collect()
}

// ---- RESP2 ----

/// A command, as its parts.
pub type Parts = Vec<Vec<u8>>;

/// A connection on which RESP2 is read.
pub struct Resp {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn line(bytes: &[u8], at: usize) -> Option<(&str, usize)> {
    let end = at + bytes.get(at..)?.windows(2).position(|w| w == b"\r\n")?;
    Some((std::str::from_utf8(&bytes[at..end]).ok()?, end + 2))
}

fn command(bytes: &[u8]) -> Option<(Parts, usize)> {
    let (head, mut at) = line(bytes, 0)?;
    let count: usize = head.strip_prefix('*')?.parse().ok()?;
    let mut parts = Parts::new();
    for _ in 0..count {
        let (head, start) = line(bytes, at)?;
        let len: usize = head.strip_prefix('$')?.parse().ok()?;
        parts.push(bytes.get(start..start + len)?.to_vec());
        bytes.get(start + len..start + len + 2)?;
        at = start + len + 2;
    }
    Some((parts, at))
}

/// What a gatekeeper answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    /// The line without its type byte.
    Error(String),
    Status(String),
    /// The connection ended or was silent up to the limit.
    None(&'static str),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Value(v) => format!("value {}", String::from_utf8_lossy(v)),
            Answer::Error(e) => format!("-{e}"),
            Answer::Status(s) => format!("+{s}"),
            Answer::None(why) => format!("no answer: {why}"),
        }
    }
}

fn answer(bytes: &[u8]) -> Option<(Answer, usize)> {
    let (head, at) = line(bytes, 0)?;
    match head.as_bytes().first()? {
        b'$' => {
            let len: usize = head[1..].parse().ok()?;
            let value = bytes.get(at..at + len)?.to_vec();
            bytes.get(at + len..at + len + 2)?;
            Some((Answer::Value(value), at + len + 2))
        }
        b'+' => Some((Answer::Status(head[1..].to_string()), at)),
        _ => Some((Answer::Error(head.get(1..).unwrap_or_default().to_string()), at)),
    }
}

impl Resp {
    pub fn new(stream: TcpStream) -> Resp {
        let _ = stream.set_nodelay(true);
        Resp { stream, buffer: Vec::new() }
    }

    /// Whether bytes have arrived that were not handled.
    pub fn has_input(&self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let found = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        !matches!(found, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Reads more; false at the end of the connection, `None` at the limit.
    fn fill(&mut self, until: Option<Instant>) -> Option<bool> {
        let limit = until.map(|u| u.saturating_duration_since(Instant::now()).max(Duration::from_micros(100)));
        let _ = self.stream.set_read_timeout(limit);
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Some(false),
            Ok(n) => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Some(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Err(_) => Some(false),
        }
    }

    /// The next command; `None` when the connection has ended.
    pub fn next_command(&mut self) -> Option<Parts> {
        loop {
            if let Some((parts, len)) = command(&self.buffer) {
                self.buffer.drain(..len);
                return Some(parts);
            }
            if self.fill(None) != Some(true) {
                return None;
            }
        }
    }

    pub fn next_answer(&mut self, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        loop {
            if let Some((answer, len)) = answer(&self.buffer) {
                self.buffer.drain(..len);
                return answer;
            }
            if Instant::now() >= until {
                return Answer::None("silence");
            }
            if self.fill(Some(until)) == Some(false) {
                return Answer::None("the connection ended");
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn encode(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

// ---- clients ----

/// A request of a client.
#[derive(Clone)]
pub struct Ask {
    pub customer: u64,
    pub id: u64,
    pub class: &'static str,
    pub plan: &'static str,
    pub wait_ms: u64,
    pub units: u32,
    pub first: usize,
    pub spread: usize,
    /// The key, in a keyed class.
    pub key: Option<u64>,
    /// Whether the class is safe to repeat.
    pub is_safe: bool,
}

impl Ask {
    pub fn bytes(&self) -> Vec<u8> {
        self.bytes_with(b"mix")
    }

    /// With this body, where the class has one.
    pub fn bytes_with(&self, body: &[u8]) -> Vec<u8> {
        let key = self.key.map_or(String::new(), |k| format!("k={k:016x},"));
        let fields = format!(
            "c={},t={},d={},{key}units={},spread={},first={}",
            self.class, self.plan, self.wait_ms, self.units, self.spread, self.first
        );
        let (customer, id) = (format!("{:016x}", self.customer), format!("{:016x}", self.id));
        match self.is_safe {
            true => encode(&[b"Q.ASK", customer.as_bytes(), id.as_bytes(), fields.as_bytes()]),
            false => encode(&[b"Q.DO", customer.as_bytes(), id.as_bytes(), fields.as_bytes(), body]),
        }
    }
}

pub fn connect(at: SocketAddr) -> Option<Resp> {
    TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok().map(Resp::new)
}

/// Waits until a gatekeeper answers `PING`.
pub fn wait_until_ready(at: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Some(mut conn) = connect(at)
            && conn.write(&encode(&[b"PING"]))
            && conn.next_answer(Duration::from_secs(2)) == Answer::Status("PONG".into())
        {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Connections that clients keep to gatekeepers, for use by one request at a time.
#[derive(Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Resp>>>);

impl Pool {
    /// Sends one request and waits for its answer. A kept connection that ends without an answer is replaced
    /// once, as the protocol has it for a request that crosses a close.
    pub fn call(&self, at: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
        for is_again in [false, true] {
            let kept = if is_again { None } else { lock(&self.0).entry(at).or_default().pop() };
            let was_kept = kept.is_some();
            let Some(mut conn) = kept.or_else(|| connect(at)) else { return Answer::None("no connection") };
            let answer = if conn.write(bytes) { conn.next_answer(limit) } else { Answer::None("the connection ended") };
            match answer {
                Answer::None("the connection ended") if was_kept => continue,
                Answer::None(_) => return answer,
                _ => {
                    lock(&self.0).entry(at).or_default().push(conn);
                    return answer;
                }
            }
        }
        Answer::None("the connection ended")
    }
}

// ---- formula servers ----

/// What a formula server was sent, parsed.
pub struct Sent {
    pub parts: Parts,
    pub id: String,
    pub customer: String,
    pub fields: HashMap<String, String>,
}

impl Sent {
    pub fn of(parts: Parts) -> Sent {
        let text = |k: usize| parts.get(k).map_or(String::new(), |p| String::from_utf8_lossy(p).into_owned());
        let fields = text(3);
        let pairs = fields.split(',').filter_map(|f| f.split_once('='));
        Sent {
            id: text(2),
            customer: text(1),
            fields: pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
            parts,
        }
    }
}

/// The answer of a formula server that has run a request: the value names the request.
pub fn value_of(sent: &Sent) -> Vec<u8> {
    let value = format!("formula for {}", sent.id);
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$18\r\nutil=0.30,qps=20.0\r\n", value.len()).into_bytes()
}

/// Accepts connections and serves each in a thread by `serve`.
pub fn formula_server(serve: impl Fn(Resp) + Send + Sync + 'static) -> SocketAddr {
    let (listener, at) = listener();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Resp::new(stream)));
        }
    });
    at
}

/// A formula server that can be ended, which resets its connections and has new ones refused, and started again
/// at the same address.
pub struct StoppableServer {
    pub at: SocketAddr,
    state: Arc<(AtomicBool, Mutex<Vec<TcpStream>>)>,
    serve: Arc<dyn Fn(Resp) + Send + Sync>,
}

impl StoppableServer {
    pub fn start(serve: impl Fn(Resp) + Send + Sync + 'static) -> StoppableServer {
        let (listener, at) = listener();
        let server = StoppableServer { at, state: Arc::new((AtomicBool::new(true), Mutex::default())), serve: Arc::new(serve) };
        server.listen(listener);
        server
    }

    fn listen(&self, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let (state, serve) = (self.state.clone(), self.serve.clone());
        thread::spawn(move || {
            while state.0.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                lock(&state.1).extend(stream.try_clone());
                let serve = serve.clone();
                thread::spawn(move || serve(Resp::new(stream)));
            }
        });
    }

    pub fn stop(&self) {
        self.state.0.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in lock(&self.state.1).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn start_again(&self) {
        let listener = TcpListener::bind(self.at).unwrap_or_else(|e| fail(&format!("the address of a server: {e}")));
        self.state.0.store(true, Ordering::SeqCst);
        self.listen(listener);
    }
}

// ---- a proxy that delays ----

/// A proxy to `to` that delays each direction by `delay`, as the way between two rooms does.
pub fn delaying_proxy(to: SocketAddr, delay: Duration) -> SocketAddr {
    let (listener, at) = listener();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            delayed_copy(near, far, delay);
            delayed_copy(far_copy, near_copy, delay);
        }
    });
    at
}

fn delayed_copy(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, pieces) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        loop {
            let count = from.read(&mut chunk).unwrap_or(0);
            if sender.send((Instant::now() + delay, chunk[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, piece) in pieces {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

// ---- a proxy that stands still ----

/// A proxy to server `s-k` that stands still in the middle of one long command in `one_in`, for a time between
/// the two of `still_ms`: it reads no more for so long. What ends meanwhile is ended at once on the other side,
/// with nothing more passed on.
pub fn pausing_proxy(to: SocketAddr, k: usize, record: Record, one_in: f64, still_ms: (f64, f64)) -> SocketAddr {
    let (listener, at) = listener();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
            let mut rng = Rng::new(u64::from(near.peer_addr().map_or(1, |a| a.port())) * 31 + k as u64);
            let record = record.clone();
            thread::spawn(move || {
                copy(near, far, |bytes| {
                    if bytes.starts_with(b"*5\r\n") && bytes.len() > 8 * 1024 && rng.unit() * one_in < 1.0 {
                        let still = rng.between(still_ms.0, still_ms.1);
                        let head = String::from_utf8_lossy(&bytes[..90]).into_owned();
                        let id = head.split("\r\n").nth(6).unwrap_or_default();
                        record.add(format!("the way to s-{k} stands still for {still:.0} ms in the middle of {id}"));
                        thread::sleep(Duration::from_secs_f64(still / 1000.0));
                    }
                })
            });
            thread::spawn(move || copy(far_copy, near_copy, |_| {}));
        }
    });
    at
}

fn copy(mut from: TcpStream, mut to: TcpStream, mut passed_on: impl FnMut(&[u8])) {
    let mut chunk = [0; 16 * 1024];
    loop {
        match from.read(&mut chunk) {
            Ok(count) if count > 0 && to.write_all(&chunk[..count]).is_ok() => passed_on(&chunk[..count]),
            _ => break,
        }
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}

// ---- discovery ----

/// One entry of the list of formula servers.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub at: SocketAddr,
    pub room: &'static str,
    pub rack: u32,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    pub fn ready(uid: String, at: SocketAddr, room: &'static str, rack: u32) -> Target {
        Target { uid, at, room, rack, state: "ready", boot_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"std-2","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.at, self.room, self.rack, self.state, self.boot_ms
        )
    }
}

#[derive(Default)]
struct List {
    rev: u64,
    targets: Vec<Target>,
    /// Changes by version.
    changes: Vec<(u64, Target)>,
}

impl List {
    fn whole(&self) -> String {
        let targets: Vec<String> = self.targets.iter().map(Target::json).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.rev, targets.join(","))
    }
}

/// The discovery agent: the whole list, and a watch of the changes.
#[derive(Clone, Default)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
    /// While set, connections are accepted and nothing is answered.
    pub is_silent: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> (Discovery, SocketAddr) {
        let discovery = Discovery::default();
        *lock(&discovery.list.0) = List { rev: 41, targets, changes: Vec::new() };
        let at = discovery.listen();
        (discovery, at)
    }

    /// One more address with the same list.
    pub fn listen(&self) -> SocketAddr {
        let (listener, at) = listener();
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        at
    }

    pub fn whole(&self) -> String {
        lock(&self.list.0).whole()
    }

    /// Changes or adds an entry; `gone` removes it.
    pub fn set(&self, target: Target) {
        let mut list = lock(&self.list.0);
        list.rev += 1;
        list.targets.retain(|t| t.uid != target.uid);
        if target.state != "gone" {
            list.targets.push(target.clone());
        }
        let rev = list.rev;
        list.changes.push((rev, target));
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        loop {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") {
                if stream.read(&mut byte).ok()? == 0 {
                    return None;
                }
                head.push(byte[0]);
            }
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let path = head.split(' ').nth(1)?;
            if !path.contains("stream=1") {
                let body = self.whole();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let index = path.split("index=").nth(1).and_then(|n| n.split('&').next()).and_then(|n| n.parse().ok());
            return self.watch(&mut stream, index.unwrap_or(0));
        }
    }

    fn watch(&self, stream: &mut TcpStream, mut rev: u64) -> Option<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            let line = {
                let list = lock(&self.list.0);
                let (list, _) = self
                    .list
                    .1
                    .wait_timeout_while(list, Duration::from_secs(2), |l| l.rev <= rev)
                    .unwrap_or_else(PoisonError::into_inner);
                let changed: Vec<String> =
                    list.changes.iter().filter(|(at, _)| *at > rev).map(|(_, t)| t.json()).collect();
                if changed.is_empty() {
                    "\n".to_string()
                } else {
                    rev = list.rev;
                    format!("{{\"rev\":{rev},\"all\":false,\"targets\":[{}]}}\n", changed.join(","))
                }
            };
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
        }
    }
}

// ---- gatekeepers ----

/// A tier of gatekeepers with the settings of a small deployment.
pub struct Tier {
    pub listen: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    pub classes: String,
    pub plans: String,
    /// Further fields of `Rules`, `Bounds` and `Domain`.
    pub rules: String,
    pub known: String,
    /// The file of local settings (`GW_EXTRA`) of each gatekeeper that has one.
    pub extra: Vec<Option<PathBuf>>,
    pub running: Vec<Option<Program>>,
    starts: AtomicU64,
}

/// A class safe to repeat and a keyed one, with the times of the brief.
pub const CLASSES: &str = r#"[
 {"Name":"formula-read","Worth":1.0,"Target":400.0,"Deadline":1000.0,"LateWorth":0.0,"Stream":false,"Effect":"repeatable","Group":"all","Window":5000.0},
 {"Name":"mix-record","Worth":3.0,"Target":1000.0,"Deadline":4000.0,"LateWorth":0.0,"Stream":false,"Effect":"by_key","Group":"cell","Window":2500.0}]"#;

/// The plans, within the ranges of the brief.
pub const PLANS: &str = r#"[
 {"Name":"tienda","UnitsPerS":4.0,"PeakUnits":16.0,"ValueFactor":0.8,"OverCost":1.2,"OverWorth":0.0,"MaxOut":0,"CapRate":0.0,"CapDepth":0.0,"CeilingSlack":0.0},
 {"Name":"ferreteria","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.3,"OverCost":0.8,"OverWorth":0.0,"MaxOut":0,"CapRate":20.0,"CapDepth":40.0,"CeilingSlack":4.0},
 {"Name":"distribuidor","UnitsPerS":30.0,"PeakUnits":70.0,"ValueFactor":1.6,"OverCost":0.8,"OverWorth":0.0,"MaxOut":0,"CapRate":0.0,"CapDepth":0.0,"CeilingSlack":0.0}]"#;

/// The rules, within the ranges of the brief.
pub const RULES: &str = r#"{"AnswerSlack":16.0,"ColdFrom":0.21,"DrainGrace":250.0,"FallMultiple":2.0,"MustAskIn":10000.0,"OverloadFor":1000.0,"WarmWithin":17000.0}"#;

impl Tier {
    pub fn new(gatekeepers: usize, discovery: SocketAddr, known: String) -> Tier {
        let mut free = free_addresses(2 * gatekeepers);
        let peers = free.split_off(gatekeepers);
        Tier {
            listen: free,
            peers,
            discovery,
            classes: CLASSES.into(),
            plans: PLANS.into(),
            rules: RULES.into(),
            known,
            extra: vec![None; gatekeepers],
            running: (0..gatekeepers).map(|_| None).collect(),
            starts: AtomicU64::new(0),
        }
    }

    /// Writes the configuration of gatekeeper `k`; the seed is new with each call.
    pub fn write_config(&self, place: &Place, k: usize) -> PathBuf {
        let seed = self.starts.fetch_add(1, Ordering::SeqCst) * 7919 + 0x8c1f_30d2 + k as u64;
        let peers: Vec<String> = self.peers.iter().map(|p| format!("\"{p}\"")).collect();
        let text = format!(
            r#"{{"name":"n{k}","listen":"{}","discovery":"{}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"peer_listen":"{}","peers":[{}],
"known":{},
"settings":{{"Areas":["room-a","room-b","room-c"],"Balancers":{},"Me":{k},"Zone":{},"Tier":0,"Tick":4.0,
"Bounds":{{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"MaxOpen":20000,"MaxRetryAfter":2000.0,"Multiplex":32,"Peers":true,"Probing":false,"RetryAfter":true,"SecondCopies":false,"TryLimit":3}},
"ClientHabits":{{"MarksRetry":true}},"Discovery":"automatic",
"Domain":{{"CallPrice":0.01,"CountWait":80.0,"Largest":4,"MayCount":false,"PeerIntake":60.0,"Settles":false,"UsePeriod":0.0}},
"Kinds":["std-2","slow-3"],"Layers":["formula-servers"],"LoadReport":{{"Columns":["utilization","throughput"],"How":"answers"}},
"Weights":"nominal","Rules":{},"Classes":{},"Plans":{}}}}}"#,
            self.listen[k],
            self.discovery,
            self.peers[k],
            peers.join(","),
            self.known,
            self.listen.len(),
            k % 3,
            self.rules,
            self.classes,
            self.plans,
        );
        let path = place.temporary.join(format!("n{k}.json"));
        let half = place.temporary.join(format!("n{k}.json.half"));
        let written = fs::write(&half, text).and_then(|()| fs::rename(&half, &path));
        written.unwrap_or_else(|e| fail(&format!("configuration: {e}")));
        path
    }

    /// Starts gatekeeper `k` by the line of the deploy file.
    pub fn start(&mut self, place: &Place, k: usize) {
        let run = deploy_line(place, "run");
        let path = self.write_config(place, k);
        let mut environment = vec![
            ("GW_CONFIG", path.display().to_string()),
            ("GW_NAME", format!("n{k}")),
            ("GW_LISTEN", self.listen[k].to_string()),
            ("GW_DISCOVERY", self.discovery.to_string()),
        ];
        environment.extend(self.extra[k].iter().map(|path| ("GW_EXTRA", path.display().to_string())));
        self.running[k] = Some(Program::start(place, &format!("n{k}"), &run, &environment));
    }

    pub fn start_all(&mut self, place: &Place) {
        for k in 0..self.listen.len() {
            self.start(place, k);
        }
        for at in self.listen.clone() {
            if !wait_until_ready(at, Duration::from_secs(15)) {
                print_logs(place);
                fail::<()>("a gatekeeper is not ready in 15 s");
            }
        }
    }

    /// Whether one has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.running.iter_mut().flatten().any(Program::has_ended)
    }
}

pub fn print_logs(place: &Place) {
    for entry in fs::read_dir(&place.temporary).into_iter().flatten().flatten() {
        if entry.path().extension().is_some_and(|e| e == "log") {
            eprintln!("{}:\n{}", entry.path().display(), fs::read_to_string(entry.path()).unwrap_or_default());
        }
    }
}

/// The value of a key of the deploy file.
pub fn deploy_line(place: &Place, key: &str) -> String {
    let text = fs::read_to_string(place.root.join("deploy/balancer.toml")).unwrap_or_default();
    let found = text.lines().find_map(|l| {
        let (name, value) = l.split_once('=')?;
        (name.trim() == key).then(|| value.trim().trim_matches('"').to_string())
    });
    found.unwrap_or_else(|| fail("deploy/balancer.toml has no such line"))
}
