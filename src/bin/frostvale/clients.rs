//! Clients: the listener, pipelined commands, which are begun at once, and answers in their order.

use crate::ask::Ask;
use crate::budget::{Budget, Share};
use crate::gateway::{Caller, Shared};
use crate::resp::{self, Broken, Command};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Commands of one connection that are in hand at once; more wait in the socket.
const PIPELINE_MOST: usize = 128;
/// Answers that a client does not read: past this it is closed.
const UNREAD_MOST: usize = 1 << 20;
/// Room that a connection keeps between commands, and has however full the memory is.
const KEPT: usize = 16 * 1024;
/// A client's first command, and the rest of any that it has begun, is there within this time, however it
/// dribbles. What it was sent and doesn't take is as much a silence.
const SPEAK: Duration = Duration::from_millis(2500);
/// One that asks nothing more is closed after this time; after the shorter one while the table is half full.
const IDLE_MOST: Duration = Duration::from_secs(20);
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// How often the times above are looked at.
const LOOK: Duration = Duration::from_millis(200);
/// With no room and nobody to make any, a new connection is looked for again after this time.
const FULL: Duration = Duration::from_millis(20);
/// After an error a client is given this long to read it: closing over unread input would wipe it out.
const LINGER: Duration = Duration::from_millis(500);

/// An answer's place in the order of its connection.
enum Slot {
    Waiting(u64),
    Ready(Vec<u8>),
}

#[derive(Default)]
struct Out {
    slots: VecDeque<Slot>,
    /// What the socket has not taken yet.
    bytes: Vec<u8>,
    /// What stands ready behind an answer that is still waited for.
    ready: usize,
    broken: bool,
    /// Since when the socket has taken nothing of what it should.
    stuck: Option<Instant>,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    out: RefCell<Out>,
    wake: Notify,
    /// Whether its task waits for an answer to be given, rather than for input.
    blocked: Cell<bool>,
    /// To be closed as soon as nothing is in hand.
    closing: Cell<bool>,
    /// When the last answer was given or command came, and whether there ever was a command.
    used: Cell<Instant>,
    spoke: Cell<bool>,
    /// Since when a command is half here.
    half: Cell<Option<Instant>>,
    /// Its time to speak is up.
    overdue: Cell<bool>,
    reading: Share,
    unread: Share,
}

impl Caller for Client {
    /// Gives the answer to a request, in its turn.
    fn answer(&self, id: u64, bytes: &[u8]) {
        self.used.set(Instant::now());
        let mut out = self.out.borrow_mut();
        if matches!(out.slots.front(), Some(Slot::Waiting(first)) if *first == id) {
            out.slots.pop_front();
            self.write(&mut out, bytes);
            self.advance(&mut out);
        } else if let Some(slot) = out.slots.iter_mut().find(|s| matches!(s, Slot::Waiting(k) if *k == id)) {
            *slot = Slot::Ready(bytes.to_vec());
            out.ready += bytes.len();
        }
        self.check(&mut out);
    }
}

impl Client {
    /// Puts an answer that needs no request into its turn.
    fn say(&self, bytes: &[u8]) {
        let mut out = self.out.borrow_mut();
        if out.slots.is_empty() {
            self.write(&mut out, bytes);
        } else {
            out.slots.push_back(Slot::Ready(bytes.to_vec()));
            out.ready += bytes.len();
        }
        self.check(&mut out);
    }

    /// Writes the answers whose turn has come, in one go.
    fn advance(&self, out: &mut Out) {
        let mut all = Vec::new();
        while matches!(out.slots.front(), Some(Slot::Ready(_)))
            && let Some(Slot::Ready(bytes)) = out.slots.pop_front()
        {
            out.ready -= bytes.len();
            all.extend_from_slice(&bytes);
        }
        if !all.is_empty() {
            self.write(out, &all);
        }
    }

    /// Hands bytes to the socket; what it does not take waits for the connection's task.
    fn write(&self, out: &mut Out, bytes: &[u8]) {
        let taken = if out.bytes.is_empty() && !out.broken {
            match self.stream.try_write(bytes) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
                Err(_) => {
                    out.broken = true;
                    0
                }
            }
        } else {
            0
        };
        out.bytes.extend_from_slice(&bytes[taken..]);
        if !out.bytes.is_empty() && out.stuck.is_none() {
            out.stuck = Some(Instant::now());
        }
    }

    fn check(&self, out: &mut Out) {
        // Who sends and never reads must not fill the memory.
        let unread = out.bytes.len() + out.ready;
        out.broken |= !self.unread.set(unread, KEPT) || unread > UNREAD_MOST;
        if out.broken || !out.bytes.is_empty() || self.blocked.get() || self.closing.get() {
            self.wake.notify_one();
        }
    }

    fn flush(&self) {
        let mut out = self.out.borrow_mut();
        match self.stream.try_write(&out.bytes) {
            Ok(n) if n == out.bytes.len() => (out.bytes, out.stuck) = (Vec::new(), None),
            Ok(n) => {
                out.bytes.drain(..n);
                out.stuck = Some(Instant::now());
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => out.broken = true,
        }
        self.unread.set(out.bytes.len() + out.ready, KEPT);
    }

    /// Whether it stands between requests.
    fn idle(&self) -> bool {
        let out = self.out.borrow();
        out.slots.is_empty() && out.bytes.is_empty()
    }

    /// Ends it where one of its times is up. `idle` is how long it may stand between requests.
    fn look(&self, now: Instant, idle: Duration) {
        let past = |since: Instant, most: Duration| now.saturating_duration_since(since) > most;
        let mut out = self.out.borrow_mut();
        if out.stuck.is_some_and(|since| past(since, SPEAK)) {
            out.broken = true;
            self.wake.notify_one();
        } else if out.slots.is_empty() && out.bytes.is_empty() {
            let late = self.half.get().is_some_and(|since| past(since, SPEAK));
            if late || (!self.spoke.get() && past(self.used.get(), SPEAK)) {
                self.overdue.set(true);
                self.wake.notify_one();
            } else if self.half.get().is_none() && past(self.used.get(), idle) {
                drop(out);
                self.close_soon();
            }
        }
    }

    /// Has it closed once nothing is in hand.
    fn close_soon(&self) {
        self.closing.set(true);
        self.wake.notify_one();
    }
}

/// All clients' connections.
pub struct Clients {
    all: RefCell<HashMap<u64, Rc<Client>>>,
    most: usize,
    left: Notify,
    reading: Budget,
    unread: Budget,
}

impl Clients {
    /// `memory` bounds what all connections together have read of commands not whole yet, and as much again
    /// what of answers they do not take.
    pub fn new(most: usize, memory: usize) -> Rc<Clients> {
        let (reading, unread) = (Budget::new(memory), Budget::new(memory));
        Rc::new(Clients { all: RefCell::default(), most, left: Notify::new(), reading, unread })
    }

    /// The task that ends connections whose time is up.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let all = self.all.borrow();
            let idle = if all.len() > self.most / 2 { IDLE_LEAST } else { IDLE_MOST };
            let now = Instant::now();
            all.values().for_each(|client| client.look(now, idle));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Waits for a connection to end.
    pub async fn one_left(&self) {
        self.left.notified().await;
    }

    /// Has all connections closed, each as soon as it has nothing in hand.
    pub fn close_soon(&self) {
        self.all.borrow().values().for_each(|c| c.close_soon());
    }

    /// Has the connection closed that has been between requests the longest: one that never spoke where those
    /// hold over half of the table. Fewer of them may be pools that are opened ahead, and say nothing yet.
    fn evict(&self) {
        let all = self.all.borrow();
        let flood = all.values().filter(|c| !c.spoke.get()).count() > self.most / 2;
        let idle = all.values().filter(|c| !c.closing.get() && c.idle());
        if let Some(client) = idle.min_by_key(|c| (flood && c.spoke.get(), c.used.get())) {
            client.close_soon();
        }
    }

    /// Takes in connections until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener, gateway: Shared) {
        let mut complained = false;
        loop {
            while self.all.borrow().len() >= self.most {
                self.evict();
                // Where all are in use, one may fall idle without leaving.
                let _ = timeout(FULL, self.one_left()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    complained = false;
                    self.admit(stream, &gateway);
                }
                // Out of descriptors, most likely: make room, and don't spin while there is none.
                Err(e) => {
                    if !std::mem::replace(&mut complained, true) {
                        tracing::warn!("cannot accept a connection: {e}");
                    }
                    self.evict();
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream, gateway: &Shared) {
        // Small answers must not wait for acknowledgements; a socket that fails here fails at its first read.
        let _ = stream.set_nodelay(true);
        let client = Rc::new(Client {
            stream,
            out: RefCell::default(),
            wake: Notify::new(),
            blocked: Cell::new(false),
            closing: Cell::new(false),
            used: Cell::new(Instant::now()),
            spoke: Cell::new(false),
            half: Cell::new(None),
            overdue: Cell::new(false),
            reading: self.reading.share(),
            unread: self.unread.share(),
        });
        let number = gateway.borrow_mut().next_id();
        self.all.borrow_mut().insert(number, client.clone());
        let (clients, gateway) = (self.clone(), gateway.clone());
        tokio::task::spawn_local(async move {
            serve(&gateway, &client).await;
            let waiting = std::mem::take(&mut client.out.borrow_mut().slots);
            for slot in waiting {
                if let Slot::Waiting(id) = slot {
                    gateway.borrow_mut().left(id);
                }
            }
            clients.all.borrow_mut().remove(&number);
            drop(client);
            clients.left.notify_one();
        });
    }
}

/// Serves one connection until either side ends it.
async fn serve(gateway: &Shared, client: &Rc<Client>) {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let (waiting, unread) = {
            let out = client.out.borrow();
            if out.broken {
                return;
            }
            (out.slots.len(), !out.bytes.is_empty())
        };
        // What came while the line was full is taken up when there is room again.
        let room = waiting < PIPELINE_MOST;
        if room && !bytes.is_empty() {
            match take(gateway, client, &mut bytes) {
                Ok(true) => continue,
                Ok(false) if client.half.get().is_none() => client.half.set(Some(Instant::now())),
                Ok(false) => {}
                Err(broken) => return refuse(client, &broken).await,
            }
        }
        if !client.reading.set(bytes.capacity(), KEPT) {
            return refuse(client, &Broken("no room for so long a command now")).await;
        }
        if client.overdue.get() && client.idle() {
            return refuse(client, &Broken("no whole command in time")).await;
        }
        let closing = client.closing.get();
        if closing && client.idle() {
            // A request that is here already is served; closing over it would also wipe out the last answer.
            match client.stream.try_read_buf(&mut bytes) {
                Ok(n) if n > 0 => continue,
                _ => return,
            }
        }
        client.blocked.set(!room);
        tokio::select! {
            ready = client.stream.readable(), if room && !(closing && waiting > 0) => {
                if ready.is_err() {
                    return;
                }
                bytes.reserve(2048);
                match client.stream.try_read_buf(&mut bytes) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            _ = client.stream.writable(), if unread => client.flush(),
            () = client.wake.notified() => {}
        }
    }
}

/// Begins every whole command in the bytes, as far as there is room in the line. Whether there was any.
fn take(gateway: &Shared, client: &Rc<Client>, bytes: &mut Vec<u8>) -> Result<bool, Broken> {
    let mut at = 0;
    let ended = loop {
        if client.out.borrow().slots.len() >= PIPELINE_MOST {
            break Ok(());
        }
        match resp::command(&bytes[at..]) {
            Ok(Some(command)) => {
                begin(gateway, client, &bytes[at..], &command);
                at += command.len;
            }
            Ok(None) => break Ok(()),
            Err(broken) => break Err(broken),
        }
    };
    if at == bytes.len() && bytes.capacity() > KEPT {
        *bytes = Vec::new();
    } else {
        bytes.drain(..at);
    }
    if at > 0 {
        client.half.set(None);
        client.spoke.set(true);
        client.used.set(Instant::now());
    }
    ended.map(|()| at > 0)
}

fn begin(gateway: &Shared, client: &Rc<Client>, bytes: &[u8], command: &Command) {
    let name = command.part(bytes, 0);
    if name == b"Q.ASK" || name == b"Q.DO" {
        let ask = {
            let gateway = gateway.borrow();
            Ask::read(&gateway.conf, &gateway.settings, |wire| gateway.is_open(wire), bytes, command)
        };
        match ask {
            Ok(ask) => {
                let mut gateway = gateway.borrow_mut();
                if !gateway.has_room(ask.command.len()) {
                    return client.say(b"-BUSY\r\n");
                }
                let id = gateway.next_id();
                client.out.borrow_mut().slots.push_back(Slot::Waiting(id));
                gateway.request(id, ask, client.clone());
            }
            Err(what) => client.say(format!("-ERR {what}\r\n").as_bytes()),
        }
    } else if name.eq_ignore_ascii_case(b"PING") {
        let mut echo = Vec::new();
        match command.count {
            1 => echo.extend_from_slice(b"+PONG\r\n"),
            _ => resp::put_bulk(&mut echo, command.part(bytes, 1)),
        }
        client.say(&echo);
    } else {
        client.say(b"-ERR unknown command\r\n");
    }
}

/// Says what was wrong, once all before it is answered, and closes.
async fn refuse(client: &Rc<Client>, broken: &Broken) {
    client.say(format!("-ERR protocol error: {}\r\n", broken.0).as_bytes());
    client.blocked.set(true);
    while !client.idle() && !client.out.borrow().broken {
        let unread = !client.out.borrow().bytes.is_empty();
        tokio::select! {
            _ = client.stream.writable(), if unread => client.flush(),
            () = client.wake.notified() => {}
        }
    }
    let _ = SockRef::from(&client.stream).shutdown(Shutdown::Write);
    let read_on = async {
        let mut waste = [0u8; 4096];
        while client.stream.readable().await.is_ok() {
            match client.stream.try_read(&mut waste) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, read_on).await;
}
