//! One client's connection: pipelined commands, which are begun at once, answers in their order, and how it ends.
//!
//! Where it stands is one state, `ConnectionState`, which each event moves on. An end of the client's sending, by reset or by end of
//! file, means that it has gone, whatever it sent before: no client waits for answers on a connection that it has closed
//! for sending, and what is begun for one that is gone is of no use to anybody.

use crate::budget::MemoryShare;
use crate::client_request::ClientRequest;
use crate::gatekeeper::{ResponseSink, Shared};
use crate::receive_time::{ConnectionId, ReceiveTimes};
use crate::resp::{self, Command, ProtocolError};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Commands of one connection that are in flight at once; more wait in the socket.
const PIPELINE_MOST: usize = 128;
/// Answers that a client does not read: past this it is closed.
const UNREAD_MOST: usize = 1 << 20;
/// Room that a connection keeps between commands, and has however full the memory is.
const KEPT: usize = 16 * 1024;
/// A client's first command, and the rest of any that it has begun, is there within this time, however it
/// dribbles. What it was sent and doesn't take is as much a silence. One that has sent nothing at all is not told so: what it
/// sends just then would have that for its answer.
const SPEAK: Duration = Duration::from_millis(2500);
/// After the end of our sending the client has this long to read what it was sent and to end its own: a close over
/// bytes that nobody has read is a reset, which can take the last answer with it.
const LINGER: Duration = Duration::from_millis(500);

/// Where a connection stands. It only moves down this list, but for one that speaks while it was to be closed for
/// resting, which is open again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Debug)]
pub enum ConnectionState {
    /// Commands are read and begun.
    Open,
    /// It has rested long enough, or its room is wanted: it ends, unless a command is there already.
    Resting,
    /// The process stops: it ends once nothing is in flight. What is there by then is still served.
    Stopping,
    /// Nothing more is begun, as the process stops: it ends once all that was is answered, and what is there by then is refused.
    Declining,
    /// Nothing more is begun. It ends once all that was is answered.
    Closing,
    /// Our sending has ended. What still comes is read, for a time, and dropped.
    HalfClosed,
    /// It is over: broken, or the client has gone.
    Over,
}

/// What the client is waited for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Awaits {
    /// Its first command, of which nothing is there.
    First,
    /// The rest of its first command.
    FirstRest,
    /// The rest of a command.
    Rest,
    /// One more command, or nothing.
    Next,
}

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
    /// Since when the socket has taken nothing of what it should.
    stuck: Option<Instant>,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    life: Cell<ConnectionState>,
    out: RefCell<Out>,
    /// What it is waited for, and since when.
    awaits: Cell<(Awaits, Instant)>,
    wake: Notify,
    /// Told when its place in the table is free.
    room: Rc<Notify>,
    reading: MemoryShare,
    unread: MemoryShare,
    receive_times: Rc<ReceiveTimes>,
    connection_id: Option<ConnectionId>,
}

impl ResponseSink for Client {
    /// Gives the answer to a request, in its turn.
    fn answer(&self, id: u64, bytes: &[u8]) {
        if let (Awaits::Next, _) = self.awaits.get() {
            self.awaits.set((Awaits::Next, Instant::now()));
        }
        let mut out = self.out.borrow_mut();
        let full = out.slots.len() >= PIPELINE_MOST;
        if matches!(out.slots.front(), Some(Slot::Waiting(first)) if *first == id) {
            out.slots.pop_front();
            self.write(&mut out, bytes);
            self.advance(&mut out);
        } else if let Some(slot) = out.slots.iter_mut().find(|s| matches!(s, Slot::Waiting(k) if *k == id)) {
            *slot = Slot::Ready(bytes.to_vec());
            out.ready += bytes.len();
        }
        self.check(&out);
        if full && out.slots.len() < PIPELINE_MOST {
            self.wake.notify_one();
        }
    }

    /// Whether its end has come, as far as the runtime knows. Its task may not have had its turn since.
    fn is_disconnected(&self) -> bool {
        let mut gone = pin!(self.gone());
        self.life.get() == ConnectionState::Over
            || gone.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }
}

impl Client {
    /// One that has just been accepted. `reading` and `unread` are its parts of what all connections may hold.
    pub fn new(
        stream: TcpStream,
        reading: MemoryShare,
        unread: MemoryShare,
        room: Rc<Notify>,
        receive_times: Rc<ReceiveTimes>,
    ) -> Client {
        // Small answers must not wait for acknowledgements; a socket that fails here fails at its first read.
        let _ = stream.set_nodelay(true);
        Client {
            connection_id: ConnectionId::of(&stream),
            stream,
            life: Cell::new(ConnectionState::Open),
            out: RefCell::default(),
            awaits: Cell::new((Awaits::First, Instant::now())),
            wake: Notify::new(),
            room,
            reading,
            unread,
            receive_times,
        }
    }

    pub fn state(&self) -> ConnectionState {
        self.life.get()
    }

    /// Whether it has sent a whole command.
    pub fn has_sent_command(&self) -> bool {
        !matches!(self.awaits.get().0, Awaits::First | Awaits::FirstRest)
    }

    /// When the last answer was given or command came.
    pub fn last_used(&self) -> Instant {
        self.awaits.get().1
    }

    /// Whether it stands between requests, with nothing begun on either side.
    pub fn is_resting(&self) -> bool {
        self.life.get() == ConnectionState::Open && self.idle() && self.awaits.get().0 != Awaits::Rest
    }

    /// Moves its life on, never back.
    pub fn advance_to(&self, life: ConnectionState) {
        if self.life.get() < life {
            self.life.set(life);
            self.wake.notify_one();
        }
    }

    /// The requests that it still waits for, once it is over.
    pub fn take_pending(&self) -> Vec<u64> {
        let slots = std::mem::take(&mut self.out.borrow_mut().slots);
        slots
            .into_iter()
            .filter_map(|slot| if let Slot::Waiting(id) = slot { Some(id) } else { None })
            .collect()
    }

    /// Puts an answer that needs no request into its turn.
    fn say(&self, bytes: &[u8]) {
        let mut out = self.out.borrow_mut();
        if out.slots.is_empty() {
            self.write(&mut out, bytes);
        } else {
            out.slots.push_back(Slot::Ready(bytes.to_vec()));
            out.ready += bytes.len();
        }
        self.check(&out);
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
        let taken = if out.bytes.is_empty() && self.life.get() != ConnectionState::Over {
            match self.stream.try_write(bytes) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
                Err(_) => {
                    self.advance_to(ConnectionState::Over);
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

    /// Ends one that sends and never reads, which must not fill the memory, and wakes the task that has something to do.
    fn check(&self, out: &Out) {
        let unread = out.bytes.len() + out.ready;
        if !self.unread.update(unread, KEPT) || unread > UNREAD_MOST {
            self.advance_to(ConnectionState::Over);
        }
        if !out.bytes.is_empty() || self.life.get() != ConnectionState::Open {
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
            Err(_) => self.advance_to(ConnectionState::Over),
        }
        self.unread.update(out.bytes.len() + out.ready, KEPT);
    }

    fn idle(&self) -> bool {
        let out = self.out.borrow();
        out.slots.is_empty() && out.bytes.is_empty()
    }

    /// Says what was wrong, once all before it is answered, and ends.
    fn refuse(&self, what: &str) {
        self.say(format!("-ERR protocol error: {what}\r\n").as_bytes());
        self.advance_to(ConnectionState::Closing);
    }

    /// Ends it where one of its times is up. `rest` is how long it may stand between requests.
    pub fn check_timeouts(&self, now: Instant, rest: Duration) {
        let past = |since: Instant, most: Duration| now.saturating_duration_since(since) > most;
        if self.out.borrow().stuck.is_some_and(|since| past(since, SPEAK)) {
            return self.advance_to(ConnectionState::Over);
        }
        if self.life.get() != ConnectionState::Open || !self.idle() {
            return;
        }
        match self.awaits.get() {
            (Awaits::FirstRest | Awaits::Rest, since) if past(since, SPEAK) => {
                self.refuse("no whole command in time")
            }
            (Awaits::First, since) if past(since, SPEAK) => self.advance_to(ConnectionState::Resting),
            (Awaits::Next, since) if past(since, rest) => self.advance_to(ConnectionState::Resting),
            _ => {}
        }
    }

    /// Takes in all that is there, up to a bound. `Ok(false)` where nothing is, `Err` where the client has gone: its end is
    /// looked for before anything of what it sent is begun.
    fn read(&self, bytes: &mut Vec<u8>) -> Result<bool, ()> {
        let before = bytes.len();
        loop {
            bytes.reserve(2048);
            match self.stream.try_read_buf(bytes) {
                Ok(0) => return Err(()),
                Ok(_) if bytes.len() < KEPT => {}
                Ok(_) => return Ok(true),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(bytes.len() > before),
                Err(_) => return Err(()),
            }
        }
    }

    /// When the last of the bytes that are read came, whether or not this process had a turn since.
    fn last_received(&self) -> Instant {
        let id = self.connection_id.as_ref();
        id.map_or_else(Instant::now, |id| self.receive_times.last_received(id))
    }

    /// Waits for the client's end, also behind bytes that are not read: nothing else of it is wanted now.
    async fn gone(&self) {
        // Of what a socket can be ready for, priority alone brings nothing but the end here.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Waits until there is something to read. Whether the client has gone, whatever it sent before.
    async fn readable(&self) -> bool {
        self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed())
    }

    /// Serves the connection until either side ends it.
    pub async fn serve(self: &Rc<Client>, gatekeeper: &Shared) {
        if self.until_end(gatekeeper).await.is_ok() {
            self.end_in_order().await;
        }
        self.life.set(ConnectionState::Over);
    }

    /// `Ok` once our sending may end, `Err` where the client has gone.
    async fn until_end(self: &Rc<Client>, gatekeeper: &Shared) -> Result<(), ()> {
        let mut bytes: Vec<u8> = Vec::new();
        let mut came = Instant::now();
        loop {
            if self.life.get() == ConnectionState::Over {
                return Err(());
            }
            // What came while the line was full is taken up when there is room again.
            let room = self.out.borrow().slots.len() < PIPELINE_MOST;
            if room && !bytes.is_empty() {
                match self.take(gatekeeper, &mut bytes, came) {
                    Ok(true) => continue,
                    Ok(false) => match self.awaits.get() {
                        (Awaits::Next, _) => self.awaits.set((Awaits::Rest, came)),
                        (Awaits::First, since) => self.awaits.set((Awaits::FirstRest, since)),
                        _ => {}
                    },
                    Err(broken) => {
                        bytes = Vec::new();
                        self.refuse(broken.0);
                    }
                }
            }
            if !self.reading.update(bytes.capacity(), KEPT) {
                bytes = Vec::new();
                self.refuse("no room for so long a command now");
            }
            let (idle, life) = (self.idle(), self.life.get());
            match life {
                ConnectionState::Resting if idle => {
                    if !self.read(&mut bytes)? {
                        return Ok(());
                    }
                    (came, _) = (self.last_received(), self.life.set(ConnectionState::Open));
                    continue;
                }
                ConnectionState::Stopping if idle => {
                    if self.read(&mut bytes)? {
                        came = self.last_received();
                        continue;
                    }
                    if bytes.is_empty() {
                        return Ok(());
                    }
                }
                ConnectionState::Declining if idle => {
                    self.life.set(ConnectionState::Closing);
                    if self.read(&mut bytes)? {
                        came = self.last_received();
                        continue;
                    }
                    return Ok(());
                }
                ConnectionState::Closing if idle => return Ok(()),
                _ => {}
            }
            let reads =
                room && (life == ConnectionState::Open || (life == ConnectionState::Stopping && idle));
            let unread = !self.out.borrow().bytes.is_empty();
            tokio::select! {
                here = self.readable(), if reads => {
                    if !here {
                        return Err(());
                    }
                    if self.read(&mut bytes)? {
                        came = self.last_received();
                    }
                }
                () = self.gone(), if !reads => return Err(()),
                _ = self.stream.writable(), if unread => self.flush(),
                () = self.wake.notified() => {}
            }
        }
    }

    /// Ends our sending, so that the last answer is read before the end; what comes after that is not begun.
    async fn end_in_order(&self) {
        if self.life.get() == ConnectionState::Over
            || SockRef::from(&self.stream).shutdown(Shutdown::Write).is_err()
        {
            return;
        }
        self.life.set(ConnectionState::HalfClosed);
        self.awaits.set((Awaits::Next, Instant::now()));
        self.room.notify_one();
        let read_on = async {
            let mut waste = [0u8; 4096];
            while self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut waste) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        let cut_short = async {
            while self.life.get() != ConnectionState::Over {
                self.wake.notified().await;
            }
        };
        let _ = timeout(LINGER, async {
            tokio::select! {
                () = read_on => {}
                () = cut_short => {}
            }
        })
        .await;
    }

    /// Begins every whole command in the bytes, as far as there is room in the line. Whether there was any. `came` is when
    /// the last of the bytes came: a client's time runs on while its command waits here.
    fn take(
        self: &Rc<Client>,
        gatekeeper: &Shared,
        bytes: &mut Vec<u8>,
        came: Instant,
    ) -> Result<bool, ProtocolError> {
        let mut at = 0;
        let ended = loop {
            if self.out.borrow().slots.len() >= PIPELINE_MOST {
                break Ok(());
            }
            match resp::command(&bytes[at..]) {
                Ok(Some(command)) => {
                    self.begin(gatekeeper, &bytes[at..], &command, came);
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
            self.awaits.set((Awaits::Next, Instant::now()));
        }
        ended.map(|()| at > 0)
    }

    fn begin(self: &Rc<Client>, gatekeeper: &Shared, bytes: &[u8], command: &Command, came: Instant) {
        let name = command.part(bytes, 0);
        if name == b"Q.ASK" || name == b"Q.DO" {
            if self.life.get() >= ConnectionState::Declining {
                return self.say(b"-BUSY\r\n");
            }
            let ask = {
                let gatekeeper = gatekeeper.borrow();
                ClientRequest::parse(
                    &gatekeeper.conf,
                    &gatekeeper.settings,
                    |wire| gatekeeper.is_open(wire),
                    bytes,
                    command,
                )
            };
            match ask {
                Ok(mut ask) => {
                    ask.wait_ms -= came.elapsed().as_secs_f64() * 1000.0;
                    let mut gatekeeper = gatekeeper.borrow_mut();
                    if !gatekeeper.has_room(ask.command.len()) {
                        return self.say(b"-BUSY\r\n");
                    }
                    let id = gatekeeper.next_id();
                    self.out.borrow_mut().slots.push_back(Slot::Waiting(id));
                    gatekeeper.handle_request(id, ask, self.clone());
                }
                Err(what) => self.say(format!("-ERR {what}\r\n").as_bytes()),
            }
        } else if name.eq_ignore_ascii_case(b"PING") {
            let mut echo = Vec::new();
            match command.count {
                1 => echo.extend_from_slice(b"+PONG\r\n"),
                _ => resp::put_bulk(&mut echo, command.part(bytes, 1)),
            }
            if gatekeeper.borrow().is_serving() {
                return self.say(&echo);
            }
            let mut gatekeeper = gatekeeper.borrow_mut();
            let id = gatekeeper.next_id();
            self.out.borrow_mut().slots.push_back(Slot::Waiting(id));
            gatekeeper.answer_once_serving(id, self.clone(), echo);
        } else {
            self.say(b"-ERR unknown command\r\n");
        }
    }
}
