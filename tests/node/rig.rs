//! Small fakes of clients, workers and discovery, and the gatekeeper's process.

use crate::sockets::{self, End};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here waits this long unless it has failed.
pub const LONG: Duration = Duration::from_secs(20);
pub const ID: &str = "9b1f03aa5c7e2d41";

/// A listener whose connections can be waited for with a limit.
pub struct Door {
    pub at: SocketAddr,
    pub came: Receiver<TcpStream>,
}

impl Door {
    pub fn open() -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let (tell, came) = channel();
        thread::spawn(move || while listener.accept().is_ok_and(|(s, _)| tell.send(s).is_ok()) {});
        Door { at, came }
    }

    pub fn next(&self) -> Line {
        Line::of(self.came.recv_timeout(LONG).expect("a connection"))
    }

    /// A connection that comes within this time, unless the open one is used before.
    pub fn within(&self, open: &mut Line, most: Duration) -> Option<Line> {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if let Ok(stream) = self.came.recv_timeout(Duration::from_millis(1)) {
                return Some(Line::of(stream));
            }
            if open.speaks() {
                return None;
            }
        }
        None
    }

    /// The connection on which the next command comes: a new one, or the open one.
    pub fn next_or<'a>(&self, open: &'a mut Line) -> OpenOr<'a> {
        match self.within(open, LONG) {
            Some(line) => OpenOr::New(line),
            None => OpenOr::Open(open),
        }
    }

    /// Serves all that comes from now on with this value, and counts it.
    pub fn serves_all(self, value: &'static str) -> Arc<AtomicU64> {
        let served = Arc::new(AtomicU64::new(0));
        let count = served.clone();
        thread::spawn(move || {
            while let Ok(stream) = self.came.recv() {
                let count = count.clone();
                thread::spawn(move || {
                    let mut line = Line::of(stream);
                    while line.read.get_mut().peek(&mut [0; 1]).is_ok_and(|n| n > 0) {
                        line.command();
                        count.fetch_add(1, Ordering::SeqCst);
                        line.serve(value);
                    }
                });
            }
        });
        served
    }

    pub fn nobody(&self) -> bool {
        self.came.try_recv().is_err()
    }
}

/// A new connection, or the one that was open.
pub enum OpenOr<'a> {
    New(Line),
    Open(&'a mut Line),
}

impl std::ops::Deref for OpenOr<'_> {
    type Target = Line;

    fn deref(&self) -> &Line {
        match self {
            OpenOr::New(line) => line,
            OpenOr::Open(line) => line,
        }
    }
}

impl std::ops::DerefMut for OpenOr<'_> {
    fn deref_mut(&mut self) -> &mut Line {
        match self {
            OpenOr::New(line) => line,
            OpenOr::Open(line) => line,
        }
    }
}

/// Waits for a connection at either of two. Gives it, and the door it did not come to.
pub fn either<'a>(a: &'a Door, b: &'a Door) -> (Line, &'a Door) {
    let begun = Instant::now();
    loop {
        assert!(begun.elapsed() < LONG, "a connection");
        if let Ok(stream) = a.came.recv_timeout(Duration::from_millis(1)) {
            return (Line::of(stream), b);
        }
        if let Ok(stream) = b.came.try_recv() {
            return (Line::of(stream), a);
        }
    }
}

/// Longer than a connection rests between two requests.
pub const RESTED: Duration = Duration::from_millis(20);

/// One end of a RESP connection.
pub struct Line {
    pub read: BufReader<TcpStream>,
}

impl Line {
    pub fn of(stream: TcpStream) -> Line {
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        Line { read: BufReader::new(stream) }
    }

    pub fn say(&mut self, text: impl AsRef<[u8]>) {
        self.read.get_mut().write_all(text.as_ref()).expect("written");
    }

    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.read.read_line(&mut line).expect("a line");
        line.trim_end().to_string()
    }

    /// An answer: a line, or a bulk string's value.
    pub fn answer(&mut self) -> String {
        let head = self.line();
        if head.starts_with('$') { self.line() } else { head }
    }

    /// A command that came in, as words.
    pub fn command(&mut self) -> Vec<String> {
        let head = self.line();
        let count: usize =
            head.strip_prefix('*').and_then(|n| n.parse().ok()).unwrap_or_else(|| panic!("{head:?}"));
        (0..count).map(|_| self.answer()).collect()
    }

    pub fn serve(&mut self, value: &str) {
        self.say(format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n", value.len()));
    }

    /// Ends its own sending.
    pub fn finish(&mut self) {
        self.read.get_mut().shutdown(Shutdown::Write).expect("a socket");
    }

    /// Both ends' addresses.
    pub fn ends(&self) -> (SocketAddr, SocketAddr) {
        let stream = self.read.get_ref();
        (stream.local_addr().expect("bound"), stream.peer_addr().expect("connected"))
    }

    /// Returns once the other side's kernel has all that was sent on this connection, and its end where that was sent too,
    /// whether or not the process there has read any of it.
    pub fn arrived(&self) {
        let (own, peer) = self.ends();
        sockets::wait_for(own, peer, |end| end.is_none_or(End::all_acknowledged));
    }

    /// Returns once the process on the other side has taken this connection from its listener's queue.
    pub fn accepted(&self) {
        let (own, peer) = self.ends();
        sockets::wait_for(peer, own, |end| end.is_none_or(End::accepted));
    }

    /// Whether something has come that is not read yet.
    pub fn speaks(&mut self) -> bool {
        let stream = self.read.get_mut();
        stream.set_nonblocking(true).expect("a socket");
        let came = stream.peek(&mut [0; 1]).is_ok_and(|n| n > 0);
        stream.set_nonblocking(false).expect("a socket");
        came
    }

    /// Ends it by a reset.
    pub fn reset(self) {
        let stream = self.read.into_inner();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    /// Whether the next that comes is an end in order, not a reset.
    pub fn ended_in_order(&mut self) -> bool {
        matches!(self.read.read(&mut [0; 1]), Ok(0))
    }

    /// The first line of an HTTP call; the rest of its head is read too.
    pub fn call(&mut self) -> String {
        let head = self.line();
        while !self.line().is_empty() {}
        head
    }

    /// Answers a call with this list.
    pub fn give(&mut self, list: &str) {
        self.say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    }

    /// Answers a call with a watch, which has said nothing yet.
    pub fn open_watch(&mut self) -> &mut TcpStream {
        self.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.read.get_mut()
    }

    /// Whether anything has come, or the end.
    pub fn speaks_or_ended(&mut self) -> bool {
        let stream = self.read.get_mut();
        stream.set_nonblocking(true).expect("a socket");
        let came = stream.peek(&mut [0; 1]).is_ok();
        stream.set_nonblocking(false).expect("a socket");
        came
    }

    pub fn ended(&mut self) -> bool {
        match self.read.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// A listener whose queue is full: further connections stay pending until what fills it has been accepted.
pub fn full_listener() -> (TcpListener, SocketAddr, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("listening");
    let late: TcpListener = socket.into();
    let at = late.local_addr().expect("bound");
    (late, at, TcpStream::connect(at).expect("takes the only place"))
}

pub fn words(parts: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len());
    parts.iter().for_each(|p| out.push_str(&format!("${}\r\n{p}\r\n", p.len())));
    out.into_bytes()
}

/// A request with an id of its own.
pub fn ask(wait: u32) -> Vec<u8> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    ask_as(&format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed)), wait)
}

pub fn ask_as(id: &str, wait: u32) -> Vec<u8> {
    let fields = format!("c=read,t=p,d={wait},units=1,spread=1,first=0");
    words(&["Q.ASK", "00000000b4d65521", id, &fields])
}

pub fn order(class: &str, wait: u32) -> Vec<u8> {
    let fields = format!("c={class},t=p,d={wait},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
    words(&["Q.DO", "00000000b4d65521", ID, &fields, "BODY"])
}

pub fn target(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}

pub fn list(rev: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// Discovery: gives the list, and hands each watch that is opened to the test.
pub struct Discovery {
    pub at: SocketAddr,
    pub watches: Receiver<TcpStream>,
    list: Arc<Mutex<String>>,
}

impl Discovery {
    pub fn with(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let (tell, watches) = channel();
        let list = Arc::new(Mutex::new(list));
        let whole = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, tell) = (list.clone(), tell.clone());
                thread::spawn(move || {
                    let mut line = Line::of(stream);
                    loop {
                        let head = line.line();
                        if head.is_empty() {
                            return;
                        }
                        while !line.line().is_empty() {}
                        if head.contains("stream=1") {
                            line.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            let _ = tell.send(line.read.into_inner());
                            return;
                        }
                        let list = list.lock().expect("whole").clone();
                        line.give(&list);
                    }
                });
            }
        });
        Discovery { at, watches, list: whole }
    }

    /// Gives this list from now on.
    pub fn set(&self, whole: &str) {
        *self.list.lock().expect("whole") = whole.to_string();
    }

    /// Has this in effect before it returns, and gives the watch that is open then: by a line, and as the list that is
    /// asked for once the watch has ended.
    pub fn tell(&self, mut watch: TcpStream, line: &str, whole: &str) -> TcpStream {
        self.set(whole);
        push(&mut watch, line);
        push(&mut watch, "{nonsense");
        self.watch()
    }

    pub fn watch(&self) -> TcpStream {
        self.watches.recv_timeout(LONG).expect("a watch")
    }
}

pub fn push(watch: &mut TcpStream, line: &str) {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    watch.write_all(chunk.as_bytes()).expect("written");
}

/// Held while a port is probed, and while a process is started: it would inherit the socket of the probe.
static PROBE_OR_START: Mutex<()> = Mutex::new(());

/// A port that is free and that the kernel gives nobody by itself, so that a process can come back to it.
pub fn free_port() -> SocketAddr {
    const FROM: u32 = 20_000;
    const COUNT: u32 = 12_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _nothing_starts = PROBE_OR_START.lock().expect("whole");
    for _ in 0..COUNT {
        let number = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let at = SocketAddr::from(([127, 0, 0, 1], (FROM + number % COUNT) as u16));
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
    panic!("no port is free");
}

/// Connects as soon as the kernel takes connections for the process.
pub fn connect_early(at: SocketAddr) -> TcpStream {
    let begun = Instant::now();
    loop {
        match TcpStream::connect(at) {
            Ok(stream) => return stream,
            Err(e) => assert!(begun.elapsed() < LONG, "{e}"),
        }
        thread::sleep(Duration::from_millis(1));
    }
}

pub struct Node {
    pub child: Child,
    pub at: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    pub lines: Receiver<String>,
    pub config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// What differs from test to test.
pub struct Setup {
    pub discovery: SocketAddr,
    pub known: String,
    pub sockets: u32,
    pub memory_mb: u32,
    pub bounds: &'static str,
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

    /// A worker is taken to have no room once its oldest attempt has been out for 0.38 of a class's target, so the targets
    /// here are far longer than any test holds one, on however slow a machine.
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

pub fn start(config: &str, shell: &str) -> Node {
    let mut node = spawn(config, shell);
    node.at = node.says(" serves at ").rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    node
}

/// Starts it and waits for nothing.
pub fn spawn(config: &str, shell: &str) -> Node {
    let path = write_config(config);
    let nothing_is_probed = PROBE_OR_START.lock().expect("whole");
    let mut child = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("{shell} {}", env!("CARGO_BIN_EXE_frostvale")))
        .env("GW_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the gatekeeper starts");
    drop(nothing_is_probed);
    let log = Arc::new(Mutex::new(Vec::new()));
    let (tell, lines) = channel();
    let errors = BufReader::new(child.stderr.take().expect("piped"));
    let kept = log.clone();
    thread::spawn(move || {
        for line in errors.lines().map_while(Result::ok) {
            kept.lock().expect("whole").push(line.clone());
            let _ = tell.send(line);
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
    /// Waits for a line of the log that holds this.
    pub fn says(&self, what: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LONG);
            let line = line.unwrap_or_else(|_| panic!("{what:?} is not in {:?}", self.log.lock()));
            if line.contains(what) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Line {
        Line::of(TcpStream::connect(self.at).expect("connected"))
    }

    /// All that reached it before this call has been taken in when this returns.
    pub fn settled(&self) {
        for _ in 0..2 {
            let mut client = self.client();
            client.say(words(&["PING"]));
            assert_eq!(client.answer(), "+PONG");
        }
    }

    pub fn signal(&self, which: &str) {
        let sent = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Stops the process where it stands: the kernel goes on taking in what is sent to it.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        let begun = Instant::now();
        let state = || {
            let stat = std::fs::read_to_string(&path).expect("it is there");
            stat.rsplit(") ").next().and_then(|rest| rest.chars().next())
        };
        while state() != Some('T') {
            assert!(begun.elapsed() < LONG, "it does not stop: {:?}", self.log.lock());
        }
    }

    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// A client leaves in this way. Its end has come to the process's machine when this returns.
    pub fn left_by(&self, client: Line, leave: fn(Line)) {
        let (own, here) = client.ends();
        leave(client);
        sockets::wait_for(here, own, |end| end.is_none_or(|end| !end.established()));
    }

    /// Gives it another configuration and has it read.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("written");
        self.signal("-HUP");
    }

    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}

/// A gatekeeper with two workers, of which discovery has told.
pub fn two_workers() -> (Door, Door, Discovery, Node) {
    let (a, b) = (Door::open(), Door::open());
    let both = [target("s-1", a.at, "ready", 0), target("s-2", b.at, "ready", 0)];
    let discovery = Discovery::with(list(1, true, &both));
    let node = Setup::new(discovery.at).start();
    (a, b, discovery, node)
}

/// A request goes to this worker.
pub fn goes_to(node: &Node, worker: &Door) {
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("here");
    assert_eq!(client.answer(), "here");
}

/// Has each of two workers hold a connection at rest, and gives these.
pub fn rested(a: &Door, b: &Door, node: &Node) -> (Line, Line) {
    let (mut at_a, mut at_b, mut clients) = (Vec::new(), Vec::new(), Vec::new());
    while at_a.is_empty() || at_b.is_empty() {
        assert!(clients.len() < 50, "one of them gets nothing");
        let mut client = node.client();
        client.say(ask(30_000));
        let (mut line, other) = either(a, b);
        line.command();
        let here = if std::ptr::eq(other, b) { &mut at_a } else { &mut at_b };
        here.push(line);
        clients.push(client);
    }
    at_a.iter_mut().chain(&mut at_b).for_each(|line| line.serve("first"));
    clients.iter_mut().for_each(|client| assert_eq!(client.answer(), "first"));
    // One is enough of each: the others are ended, and what is idle there is closed.
    for line in at_a.drain(1..).chain(at_b.drain(1..)) {
        end_of(line);
    }
    thread::sleep(RESTED);
    (at_a.remove(0), at_b.remove(0))
}

/// Of two connections the one on which something comes, and the other.
pub fn spoken_to(mut a: Line, mut b: Line) -> (Line, Line) {
    let begun = Instant::now();
    loop {
        assert!(begun.elapsed() < LONG, "nothing comes");
        if a.speaks() {
            return (a, b);
        }
        if b.speaks() {
            return (b, a);
        }
    }
}

/// Ends a connection, and returns once the gatekeeper has ended it too.
fn end_of(mut line: Line) {
    line.finish();
    assert!(line.ended());
}

/// A client with a request in flight, and its end at the worker.
pub fn hold(node: &Node, worker: &Door) -> (Line, Line) {
    let mut client = node.client();
    client.say(ask(30_000));
    let Some(mut line) = worker.within(&mut client, LONG) else {
        panic!("answered {:?}; {:?}", client.answer(), node.log.lock());
    };
    line.command();
    (client, line)
}

/// A gatekeeper with one worker, of which discovery has told.
pub fn one_worker() -> (Door, Discovery, Node) {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    (worker, discovery, node)
}
