//! Test harness: fake clients, workers and discovery, and control of the gatekeeper process.

use crate::sockets::{self, SocketInfo};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of every wait; only a failing test reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Request id of commands that take none as an argument.
pub const REQUEST_ID: &str = "9b1f03aa5c7e2d41";

/// A listener whose accepted connections a test can wait for with a time limit.
pub struct TestListener {
    pub at: SocketAddr,
    pub connections: Receiver<TcpStream>,
}

impl TestListener {
    pub fn bind() -> TestListener {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let (sender, connections) = channel();
        thread::spawn(move || while listener.accept().is_ok_and(|(s, _)| sender.send(s).is_ok()) {});
        TestListener { at, connections }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TestConnection {
        TestConnection::new(self.connections.recv_timeout(TIMEOUT).expect("a connection"))
    }

    /// Accepts a connection within `limit`. Returns `None` at the limit, or as soon as data arrives on
    /// `open`.
    pub fn accept_within(&self, open: &mut TestConnection, limit: Duration) -> Option<TestConnection> {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if let Ok(stream) = self.connections.recv_timeout(Duration::from_millis(1)) {
                return Some(TestConnection::new(stream));
            }
            if open.has_data() {
                return None;
            }
        }
        None
    }

    /// Returns the connection on which the next command arrives: a new one or `open`.
    pub fn accept_or_reuse<'a>(&self, open: &'a mut TestConnection) -> NewOrOpen<'a> {
        match self.accept_within(open, TIMEOUT) {
            Some(conn) => NewOrOpen::New(conn),
            None => NewOrOpen::Open(open),
        }
    }

    /// Answers all further commands with `value`; returns the counter of commands.
    pub fn serve_all(self, value: &'static str) -> Arc<AtomicU64> {
        let served = Arc::new(AtomicU64::new(0));
        let count = served.clone();
        thread::spawn(move || {
            while let Ok(stream) = self.connections.recv() {
                let count = count.clone();
                thread::spawn(move || {
                    let mut conn = TestConnection::new(stream);
                    while conn.read.get_mut().peek(&mut [0; 1]).is_ok_and(|n| n > 0) {
                        conn.read_command();
                        count.fetch_add(1, Ordering::SeqCst);
                        conn.send_value(value);
                    }
                });
            }
        });
        served
    }

    /// Answers all further commands; returns the times at which they came.
    pub fn serve_all_with_times(self) -> Arc<Mutex<Vec<Instant>>> {
        let times = Arc::new(Mutex::new(Vec::new()));
        let record = times.clone();
        thread::spawn(move || {
            while let Ok(stream) = self.connections.recv() {
                let record = record.clone();
                thread::spawn(move || {
                    let mut conn = TestConnection::new(stream);
                    while conn.read.get_mut().peek(&mut [0; 1]).is_ok_and(|n| n > 0) {
                        conn.read_command();
                        record.lock().expect("an unpoisoned lock").push(Instant::now());
                        conn.send_value("served");
                    }
                });
            }
        });
        times
    }

    /// Whether no connection waits to be accepted. Does not block.
    pub fn has_no_connection(&self) -> bool {
        self.connections.try_recv().is_err()
    }
}

/// A new connection, or the one that was already open.
pub enum NewOrOpen<'a> {
    New(TestConnection),
    Open(&'a mut TestConnection),
}

impl std::ops::Deref for NewOrOpen<'_> {
    type Target = TestConnection;

    fn deref(&self) -> &TestConnection {
        match self {
            NewOrOpen::New(conn) => conn,
            NewOrOpen::Open(conn) => conn,
        }
    }
}

impl std::ops::DerefMut for NewOrOpen<'_> {
    fn deref_mut(&mut self) -> &mut TestConnection {
        match self {
            NewOrOpen::New(conn) => conn,
            NewOrOpen::Open(conn) => conn,
        }
    }
}

/// Waits for a connection at either of two listeners. Returns it and the other listener.
pub fn accept_from_either<'a>(
    a: &'a TestListener,
    b: &'a TestListener,
) -> (TestConnection, &'a TestListener) {
    let started_at = Instant::now();
    loop {
        assert!(started_at.elapsed() < TIMEOUT, "a connection");
        if let Ok(stream) = a.connections.recv_timeout(Duration::from_millis(1)) {
            return (TestConnection::new(stream), b);
        }
        if let Ok(stream) = b.connections.try_recv() {
            return (TestConnection::new(stream), a);
        }
    }
}

/// Longer than the pause after which the gatekeeper reuses a worker connection.
pub const REUSE_DELAY: Duration = Duration::from_millis(20);

/// The test's end of a RESP or HTTP connection.
pub struct TestConnection {
    pub read: BufReader<TcpStream>,
}

impl TestConnection {
    pub fn new(stream: TcpStream) -> TestConnection {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        TestConnection { read: BufReader::new(stream) }
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.read.get_mut().write_all(text.as_ref()).expect("written");
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.read.read_line(&mut line).expect("a line");
        line.trim_end().to_string()
    }

    /// Reads an answer: a line, or the value of a bulk string.
    pub fn read_answer(&mut self) -> String {
        let head = self.read_line();
        if head.starts_with('$') { self.read_line() } else { head }
    }

    /// Reads an answer as `read_answer` does; `None` at the end of the connection or of the read timeout.
    pub fn read_answer_or_end(&mut self) -> Option<String> {
        let mut read_line = || {
            let mut line = String::new();
            let count = self.read.read_line(&mut line).ok()?;
            (count > 0).then(|| line.trim_end().to_string())
        };
        let head = read_line()?;
        if head.starts_with('$') { read_line() } else { Some(head) }
    }

    /// Reads a command and returns its arguments.
    pub fn read_command(&mut self) -> Vec<String> {
        let head = self.read_line();
        let count: usize =
            head.strip_prefix('*').and_then(|n| n.parse().ok()).unwrap_or_else(|| panic!("{head:?}"));
        (0..count).map(|_| self.read_answer()).collect()
    }

    /// Answers a command with this value.
    pub fn send_value(&mut self, value: &str) {
        self.send(format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n", value.len()));
    }

    /// Closes the sending direction.
    pub fn shutdown_write(&mut self) {
        self.read.get_mut().shutdown(Shutdown::Write).expect("a socket");
    }

    /// The own and the remote address.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        let stream = self.read.get_ref();
        (stream.local_addr().expect("bound"), stream.peer_addr().expect("connected"))
    }

    /// Waits until the remote kernel has acknowledged all that was sent, including the end of sending if
    /// there was one. The remote process need not have read it.
    pub fn wait_until_acknowledged(&self) {
        let (own, peer) = self.addresses();
        sockets::wait_for_socket(own, peer, |socket| socket.is_none_or(SocketInfo::has_all_acknowledged));
    }

    /// Waits until the remote process has read all that was sent.
    pub fn wait_until_read(&self) {
        self.wait_until_acknowledged();
        let (own, peer) = self.addresses();
        sockets::wait_for_socket(peer, own, |socket| socket.is_none_or(SocketInfo::has_all_read));
    }

    /// Waits until the remote process has accepted this connection from its listener's queue.
    pub fn wait_until_accepted(&self) {
        let (own, peer) = self.addresses();
        sockets::wait_for_socket(peer, own, |socket| socket.is_none_or(SocketInfo::is_accepted));
    }

    /// Whether unread bytes have arrived. Does not block.
    pub fn has_data(&mut self) -> bool {
        let stream = self.read.get_mut();
        stream.set_nonblocking(true).expect("a socket");
        let has_data = stream.peek(&mut [0; 1]).is_ok_and(|n| n > 0);
        stream.set_nonblocking(false).expect("a socket");
        has_data
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let stream = self.read.into_inner();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    /// Waits for the next event; true if it is the end of the stream, false if it is data or a reset.
    pub fn is_closed_without_reset(&mut self) -> bool {
        matches!(self.read.read(&mut [0; 1]), Ok(0))
    }

    /// Reads the head of an HTTP request and returns its first line.
    pub fn read_http_request(&mut self) -> String {
        let head = self.read_line();
        while !self.read_line().is_empty() {}
        head
    }

    /// Answers an HTTP request with this list.
    pub fn send_list(&mut self, list: &str) {
        self.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    }

    /// Answers an HTTP request with the head of a watch that has sent nothing yet.
    pub fn start_watch(&mut self) -> &mut TcpStream {
        self.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.read.get_mut()
    }

    /// Whether unread bytes or the end of the stream have arrived. Does not block.
    pub fn has_data_or_is_closed(&mut self) -> bool {
        let stream = self.read.get_mut();
        stream.set_nonblocking(true).expect("a socket");
        let has_data = stream.peek(&mut [0; 1]).is_ok();
        stream.set_nonblocking(false).expect("a socket");
        has_data
    }
    /// Waits for the next event; true if it is the end of the stream or a reset.
    pub fn is_closed(&mut self) -> bool {
        match self.read.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// A listener whose accept queue is full: further connections stay pending until the connection that fills it
/// has been accepted.
pub fn full_listener() -> (TcpListener, SocketAddr, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).and_then(|()| socket.listen(0)).expect("listening");
    let listener: TcpListener = socket.into();
    let at = listener.local_addr().expect("bound");
    (listener, at, TcpStream::connect(at).expect("fills the queue"))
}

/// A command as a RESP array of bulk strings.
pub fn resp_command(arguments: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len());
    arguments.iter().for_each(|p| out.push_str(&format!("${}\r\n{p}\r\n", p.len())));
    out.into_bytes()
}

/// A request id that was not used before.
pub fn new_request_id() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed))
}

/// A read request with a new id.
pub fn read_request(wait_ms: u32) -> Vec<u8> {
    read_request_with_id(&new_request_id(), wait_ms)
}

pub fn read_request_with_id(id: &str, wait_ms: u32) -> Vec<u8> {
    let fields = format!("c=read,t=p,d={wait_ms},units=1,spread=1,first=0");
    resp_command(&["Q.ASK", "00000000b4d65521", id, &fields])
}

/// A keyed command that may change data, with a new id.
pub fn write_request(class: &str, wait_ms: u32) -> Vec<u8> {
    write_request_with_id(&new_request_id(), class, wait_ms)
}

pub fn write_request_with_id(id: &str, class: &str, wait_ms: u32) -> Vec<u8> {
    let fields = format!("c={class},t=p,d={wait_ms},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
    resp_command(&["Q.DO", "00000000b4d65521", id, &fields, "BODY"])
}

/// An entry of an endpoint list.
pub fn target(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}

/// An endpoint list: complete, or with the changed entries only.
pub fn list(version: u64, is_complete: bool, targets: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{is_complete},"targets":[{}]}}"#, targets.join(","))
}

/// A fake discovery: answers list requests and hands each opened watch to the test.
pub struct Discovery {
    pub at: SocketAddr,
    pub watches: Receiver<TcpStream>,
    list: Arc<Mutex<String>>,
}

impl Discovery {
    pub fn with(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let (sender, watches) = channel();
        let list = Arc::new(Mutex::new(list));
        let list_to_serve = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, sender) = (list.clone(), sender.clone());
                thread::spawn(move || {
                    let mut conn = TestConnection::new(stream);
                    loop {
                        let head = conn.read_line();
                        if head.is_empty() {
                            return;
                        }
                        while !conn.read_line().is_empty() {}
                        if head.contains("stream=1") {
                            conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            let _ = sender.send(conn.read.into_inner());
                            return;
                        }
                        let list = list.lock().expect("an unpoisoned lock").clone();
                        conn.send_list(&list);
                    }
                });
            }
        });
        Discovery { at, watches, list: list_to_serve }
    }

    /// Answers further list requests with this list.
    pub fn set_list(&self, list_to_serve: &str) {
        *self.list.lock().expect("an unpoisoned lock") = list_to_serve.to_string();
    }

    /// Waits until the list is in effect and returns the new watch. It sends `line` on the watch, then a
    /// malformed line that ends the watch, and answers the list request that follows with `list_to_serve`.
    pub fn apply_list(&self, mut watch: TcpStream, line: &str, list_to_serve: &str) -> TcpStream {
        self.set_list(list_to_serve);
        push(&mut watch, line);
        push(&mut watch, "{nonsense");
        self.watch()
    }

    /// Waits for the next watch.
    pub fn watch(&self) -> TcpStream {
        self.watches.recv_timeout(TIMEOUT).expect("a watch")
    }
}

/// Sends a line on a watch, as one HTTP chunk.
pub fn push(watch: &mut TcpStream, line: &str) {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    watch.write_all(chunk.as_bytes()).expect("written");
}

/// Held while a port is probed and while a process is spawned: the process would inherit the socket of the
/// probe.
static PROBE_OR_SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// A free port outside the ephemeral range, so that a process can be restarted at it.
pub fn free_port() -> SocketAddr {
    const FIRST_PORT: u32 = 20_000;
    const COUNT: u32 = 12_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _probe_guard = PROBE_OR_SPAWN_LOCK.lock().expect("an unpoisoned lock");
    for _ in 0..COUNT {
        let number = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let at = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + number % COUNT) as u16));
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
    panic!("no port is free");
}

/// Connects as soon as the process listens.
pub fn connect_early(at: SocketAddr) -> TcpStream {
    let started_at = Instant::now();
    loop {
        match TcpStream::connect(at) {
            Ok(stream) => return stream,
            Err(e) => assert!(started_at.elapsed() < TIMEOUT, "{e}"),
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// A running gatekeeper process; it is killed when this is dropped.
pub struct Node {
    pub child: Child,
    pub at: SocketAddr,
    /// All log lines so far.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Log lines that no test has waited for yet.
    pub lines: Receiver<String>,
    /// Path of its configuration file.
    pub config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Settings of a gatekeeper that differ between tests.
pub struct Setup {
    pub discovery: SocketAddr,
    /// Endpoint list in the configuration, as JSON.
    pub known: String,
    pub sockets: u32,
    pub memory_mb: u32,
    /// Fields of `Bounds` besides `TryLimit`, as JSON.
    pub bounds: &'static str,
    /// Shell command that the path of the program is appended to.
    pub shell: String,
}

impl Setup {
    pub fn new(discovery: SocketAddr) -> Setup {
        Setup {
            discovery,
            known: "null".into(),
            sockets: 1024,
            memory_mb: 192,
            bounds: r#""ConnectTimeout":5000.0,"ConnIdle":600000.0"#,
            shell: "exec".into(),
        }
    }

    pub fn start(&self) -> Node {
        start(&self.config(), &self.shell)
    }

    /// The configuration as JSON. A worker counts as saturated once its oldest attempt has taken 0.38 of its
    /// class's target; the targets here are far longer than any test keeps an attempt open, even on a slow
    /// machine.
    pub fn config(&self) -> String {
        let settings = format!(
            r#"{{"Balancers":1,"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"TryLimit":3,{}}},
            "Classes":[{{"Name":"read","Target":60000.0,"Deadline":60000.0,"Effect":"repeatable","Worth":1.0}},
            {{"Name":"order","Target":60000.0,"Effect":"by_key","Group":"cell","Window":5000.0,"Worth":1.0}},
            {{"Name":"brief","Target":60000.0,"Effect":"by_key","Group":"cell","Window":600.0,"Worth":1.0}},
            {{"Name":"pay","Target":60000.0,"Effect":"once","Worth":1.0}}],
            "Domain":{{"Largest":4,"PeerIntake":60.0}},"Rules":{{"ColdFrom":0.5,"WarmWithin":1.0}},
            "Plans":[{{"Name":"p","UnitsPerS":1000.0,"PeakUnits":1000.0,"ValueFactor":1.0}}]}}"#,
            self.bounds
        );
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"","peers":[],
            "known":{},"settings":{settings}}}"#,
            self.discovery, self.memory_mb, self.sockets, self.known
        )
    }
}

/// Starts the process and waits until it serves.
pub fn start(config: &str, shell: &str) -> Node {
    start_program(&program(), config, shell)
}

/// Starts a build of the gatekeeper and waits until it serves.
pub fn start_program(program: &str, config: &str, shell: &str) -> Node {
    let mut node = spawn_program(program, config, shell);
    node.at =
        node.wait_for_log(" serves at ").rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    node
}

/// The gatekeeper's program: the one that was built with the tests, or the one that `FROSTVALE_PROGRAM` names,
/// so that two builds can be compared.
fn program() -> String {
    std::env::var("FROSTVALE_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_frostvale").into())
}

/// Starts the process without waiting until it serves.
pub fn spawn(config: &str, shell: &str) -> Node {
    spawn_program(&program(), config, shell)
}

fn spawn_program(program: &str, config: &str, shell: &str) -> Node {
    let path = write_config(config);
    let spawn_guard = PROBE_OR_SPAWN_LOCK.lock().expect("an unpoisoned lock");
    let mut child = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("{shell} {program}"))
        .env("GW_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the gatekeeper starts");
    drop(spawn_guard);
    let log = Arc::new(Mutex::new(Vec::new()));
    let (sender, lines) = channel();
    let stderr = BufReader::new(child.stderr.take().expect("piped"));
    let log_writer = log.clone();
    thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            log_writer.lock().expect("an unpoisoned lock").push(line.clone());
            let _ = sender.send(line);
        }
    });
    Node { child, at: "127.0.0.1:0".parse().expect("an address"), log, lines, config: path }
}

pub fn write_config(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("frostvale-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

impl Node {
    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("{text:?} is not in the log {:?}", self.log.lock()));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&self) -> TestConnection {
        TestConnection::new(TcpStream::connect(self.at).expect("connected"))
    }

    /// Waits until the process has handled all input that reached it before this call.
    pub fn wait_until_input_is_processed(&self) {
        for _ in 0..2 {
            let mut client = self.client();
            client.send(resp_command(&["PING"]));
            assert_eq!(client.read_answer(), "+PONG");
        }
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// The largest amount of memory that the process has had so far, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a running process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        peak.trim_end_matches("kB").trim().parse().expect("a number")
    }

    /// Stops the process with SIGSTOP; the kernel still receives what is sent to it.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        let started_at = Instant::now();
        let state = || {
            let stat = std::fs::read_to_string(&path).expect("a running process");
            stat.rsplit(") ").next().and_then(|rest| rest.chars().next())
        };
        while state() != Some('T') {
            assert!(started_at.elapsed() < TIMEOUT, "the process does not stop: {:?}", self.log.lock());
        }
    }

    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Disconnects a client by `disconnect` and waits until the process's kernel has received that.
    pub fn disconnect_client(&self, client: TestConnection, disconnect: fn(TestConnection)) {
        let (client_address, gatekeeper_address) = client.addresses();
        disconnect(client);
        sockets::wait_for_socket(gatekeeper_address, client_address, |socket| {
            socket.is_none_or(|socket| !socket.is_established())
        });
    }

    /// Writes a new configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("written");
        self.signal("-HUP");
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }
}

/// Starts a gatekeeper with two workers in its endpoint list.
pub fn start_with_two_workers() -> (TestListener, TestListener, Discovery, Node) {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let both = [target("s-1", a.at, "ready", 0), target("s-2", b.at, "ready", 0)];
    let discovery = Discovery::with(list(1, true, &both));
    let node = Setup::new(discovery.at).start();
    (a, b, discovery, node)
}

/// Checks that a request goes to this worker.
pub fn assert_request_goes_to(node: &Node, worker: &TestListener) {
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("here");
    assert_eq!(client.read_answer(), "here");
}

/// Opens one idle connection from the gatekeeper to each of two workers and returns both.
pub fn idle_connections(a: &TestListener, b: &TestListener, node: &Node) -> (TestConnection, TestConnection) {
    let (mut at_a, mut at_b, mut clients) = (Vec::new(), Vec::new(), Vec::new());
    while at_a.is_empty() || at_b.is_empty() {
        assert!(clients.len() < 50, "one of the workers gets no request");
        let mut client = node.client();
        client.send(read_request(30_000));
        let (mut conn, other) = accept_from_either(a, b);
        conn.read_command();
        let connections = if std::ptr::eq(other, b) { &mut at_a } else { &mut at_b };
        connections.push(conn);
        clients.push(client);
    }
    at_a.iter_mut().chain(&mut at_b).for_each(|conn| conn.send_value("first"));
    clients.iter_mut().for_each(|client| assert_eq!(client.read_answer(), "first"));
    // Keeps one connection to each worker and closes the others.
    for conn in at_a.drain(1..).chain(at_b.drain(1..)) {
        close_and_wait(conn);
    }
    thread::sleep(REUSE_DELAY);
    (at_a.remove(0), at_b.remove(0))
}

/// Returns the connection on which data arrives first, then the other one.
pub fn find_connection_with_data(
    mut a: TestConnection,
    mut b: TestConnection,
) -> (TestConnection, TestConnection) {
    let started_at = Instant::now();
    loop {
        assert!(started_at.elapsed() < TIMEOUT, "no data arrives");
        if a.has_data() {
            return (a, b);
        }
        if b.has_data() {
            return (b, a);
        }
    }
}

/// Closes a connection and waits until the gatekeeper has closed it too.
fn close_and_wait(mut conn: TestConnection) {
    conn.shutdown_write();
    assert!(conn.is_closed());
}

/// Returns a client with a request in flight and the worker's connection that carries it.
pub fn start_request(node: &Node, worker: &TestListener) -> (TestConnection, TestConnection) {
    let mut client = node.client();
    client.send(read_request(30_000));
    let Some(mut conn) = worker.accept_within(&mut client, TIMEOUT) else {
        panic!("unexpected answer {:?}; log {:?}", client.read_answer(), node.log.lock());
    };
    conn.read_command();
    (client, conn)
}

/// Starts a gatekeeper with one worker in its endpoint list.
pub fn start_with_one_worker() -> (TestListener, Discovery, Node) {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    (worker, discovery, node)
}

/// The first core that this process may use.
pub fn first_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").expect("a running process");
    let allowed = status.lines().find_map(|line| line.strip_prefix("Cpus_allowed_list:")).expect("a list");
    allowed.trim().split(['-', ',']).next().expect("a core").into()
}
