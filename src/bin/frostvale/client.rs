//! One client's connection: reads pipelined commands, starts each as soon as it is complete, and writes the
//! answers in the order of their commands.
//!
//! The connection's lifecycle is a single value, [`ConnectionState`], which each event advances. When the
//! client ends its sending side, by a reset or an end of file, it counts as disconnected, whatever it sent
//! before: no client waits for answers on a connection that it has closed for sending, so starting work for
//! it would be wasted.

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

/// Commands of one connection that may be in flight at once. Further ones stay in the socket's receive
/// buffer.
const MAX_PIPELINED_COMMANDS: usize = 128;
/// Limit of answers that the client has not read. A connection above it is closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Read buffer that a connection keeps between commands, and may use even when the memory budget is
/// exhausted.
const RETAINED_BUFFER_BYTES: usize = 16 * 1024;
/// Time limit for a client's first command, for the rest of a command of which a part has arrived, however
/// slowly its bytes come, and for the socket to take bytes of an answer. A client that has sent nothing at
/// all is closed without an error line: a command that it sends at that moment would take the line for its
/// answer.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for the client to read the last answers and to close its side after the gatekeeper has closed its
/// own: a close with unread received bytes makes the kernel send a reset, which can discard the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Lifecycle of a connection. It only advances down this list, with one exception: a `ClosingIdle` connection
/// on which a command arrives is `Open` again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Debug)]
pub enum ConnectionState {
    /// Commands are read and started.
    Open,
    /// It was idle for too long, or its slot is needed: it is closed unless a command has already arrived.
    ClosingIdle,
    /// The process stops: the connection ends once nothing is in flight. Commands that have arrived by then
    /// are still served.
    Stopping,
    /// The process stops and starts no further command: the connection ends once all pending ones are
    /// answered. Commands that have arrived by then are answered with `-BUSY`.
    Rejecting,
    /// No further command is started. The connection ends once all pending ones are answered.
    Closing,
    /// The gatekeeper has closed its sending side. For a limited time what still arrives is read and dropped.
    HalfClosed,
    /// The connection has failed, or the client has disconnected.
    Closed,
}

/// The command, or part of one, that the connection expects from the client next.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExpectedCommand {
    /// Its first command; no byte of it has arrived.
    First,
    /// The rest of its first command.
    RestOfFirst,
    /// The rest of a later command.
    RestOfLater,
    /// Another command, or none.
    Next,
}

/// Position of one answer in the connection's answer order.
enum AnswerSlot {
    Pending(u64),
    Ready(Vec<u8>),
}

#[derive(Default)]
struct Output {
    slots: VecDeque<AnswerSlot>,
    /// Bytes that the socket has not taken yet.
    bytes: Vec<u8>,
    /// Total size of the answers that are complete but wait for an earlier one.
    ready_bytes: usize,
    /// Time since which the socket has taken none of `bytes`.
    blocked_since: Option<Instant>,
}

/// A client's connection. The table in `clients` and the task that serves it share it.
pub struct Client {
    stream: TcpStream,
    state: Cell<ConnectionState>,
    out: RefCell<Output>,
    /// What is expected from the client, and since when.
    expected: Cell<(ExpectedCommand, Instant)>,
    wake: Notify,
    /// Notified when the connection no longer needs its slot in the table.
    slot_freed: Rc<Notify>,
    reading: MemoryShare,
    unread: MemoryShare,
    receive_times: Rc<ReceiveTimes>,
    connection_id: Option<ConnectionId>,
}

impl ResponseSink for Client {
    /// Writes the answer to a request, or stores it until all earlier answers are written.
    fn answer(&self, id: u64, bytes: &[u8]) {
        if let (ExpectedCommand::Next, _) = self.expected.get() {
            self.expected.set((ExpectedCommand::Next, Instant::now()));
        }
        let mut out = self.out.borrow_mut();
        let was_full = out.slots.len() >= MAX_PIPELINED_COMMANDS;
        if matches!(out.slots.front(), Some(AnswerSlot::Pending(first)) if *first == id) {
            out.slots.pop_front();
            self.write(&mut out, bytes);
            self.write_ready_answers(&mut out);
        } else if let Some(slot) =
            out.slots.iter_mut().find(|s| matches!(s, AnswerSlot::Pending(k) if *k == id))
        {
            *slot = AnswerSlot::Ready(bytes.to_vec());
            out.ready_bytes += bytes.len();
        }
        self.enforce_memory_limits(&out);
        if was_full && out.slots.len() < MAX_PIPELINED_COMMANDS {
            self.wake.notify_one();
        }
    }

    /// Whether the client has disconnected, as far as the runtime has been informed; the connection's task
    /// may not have run since.
    fn is_disconnected(&self) -> bool {
        let mut disconnected = pin!(self.disconnected());
        self.state.get() == ConnectionState::Closed
            || disconnected.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }
}

impl Client {
    /// Wraps a connection that has just been accepted. `reading` and `unread` are its shares of the memory
    /// budgets of all connections: for bytes of commands and for answers that the socket has not taken.
    pub fn new(
        stream: TcpStream,
        reading: MemoryShare,
        unread: MemoryShare,
        slot_freed: Rc<Notify>,
        receive_times: Rc<ReceiveTimes>,
    ) -> Client {
        // Small answers must not wait for acknowledgements. A socket on which this fails also fails its first
        // read.
        let _ = stream.set_nodelay(true);
        Client {
            connection_id: ConnectionId::of(&stream),
            stream,
            state: Cell::new(ConnectionState::Open),
            out: RefCell::default(),
            expected: Cell::new((ExpectedCommand::First, Instant::now())),
            wake: Notify::new(),
            slot_freed,
            reading,
            unread,
            receive_times,
        }
    }

    /// The connection's place in its lifecycle.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Whether the client has ever sent a complete command.
    pub fn has_sent_command(&self) -> bool {
        !matches!(self.expected.get().0, ExpectedCommand::First | ExpectedCommand::RestOfFirst)
    }

    /// When the last answer was written or the last command arrived.
    pub fn last_used(&self) -> Instant {
        self.expected.get().1
    }

    /// Whether the connection is open with no command in flight and none partly received.
    pub fn is_idle(&self) -> bool {
        self.state.get() == ConnectionState::Open
            && self.is_drained()
            && self.expected.get().0 != ExpectedCommand::RestOfLater
    }

    /// Advances the lifecycle to `state`. Does nothing if the connection is already there or further.
    pub fn advance_to(&self, state: ConnectionState) {
        if self.state.get() < state {
            self.state.set(state);
            self.wake.notify_one();
        }
    }

    /// Removes all answer slots and returns the ids of the requests that are still pending, once the
    /// connection is over.
    pub fn take_pending(&self) -> Vec<u64> {
        let slots = std::mem::take(&mut self.out.borrow_mut().slots);
        slots
            .into_iter()
            .filter_map(|slot| if let AnswerSlot::Pending(id) = slot { Some(id) } else { None })
            .collect()
    }

    /// Queues an answer that needs no request, in its turn.
    fn respond(&self, bytes: &[u8]) {
        let mut out = self.out.borrow_mut();
        if out.slots.is_empty() {
            self.write(&mut out, bytes);
        } else {
            out.slots.push_back(AnswerSlot::Ready(bytes.to_vec()));
            out.ready_bytes += bytes.len();
        }
        self.enforce_memory_limits(&out);
    }

    /// Writes all answers that no longer wait for an earlier one, in a single write.
    fn write_ready_answers(&self, out: &mut Output) {
        let mut all = Vec::new();
        while matches!(out.slots.front(), Some(AnswerSlot::Ready(_)))
            && let Some(AnswerSlot::Ready(bytes)) = out.slots.pop_front()
        {
            out.ready_bytes -= bytes.len();
            all.extend_from_slice(&bytes);
        }
        if !all.is_empty() {
            self.write(out, &all);
        }
    }

    /// Writes bytes to the socket. What the socket does not take is kept for the connection's task.
    fn write(&self, out: &mut Output, bytes: &[u8]) {
        let written = if out.bytes.is_empty() && self.state.get() != ConnectionState::Closed {
            match self.stream.try_write(bytes) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
                Err(_) => {
                    self.advance_to(ConnectionState::Closed);
                    0
                }
            }
        } else {
            0
        };
        out.bytes.extend_from_slice(&bytes[written..]);
        if !out.bytes.is_empty() && out.blocked_since.is_none() {
            out.blocked_since = Some(Instant::now());
        }
    }

    /// Closes the connection if its unread answers are above the limits, since a client that sends and never
    /// reads must not fill the memory. Wakes the connection's task where it has something to do.
    fn enforce_memory_limits(&self, out: &Output) {
        let unread = out.bytes.len() + out.ready_bytes;
        if !self.unread.update(unread, RETAINED_BUFFER_BYTES) || unread > MAX_UNREAD_BYTES {
            self.advance_to(ConnectionState::Closed);
        }
        if !out.bytes.is_empty() || self.state.get() != ConnectionState::Open {
            self.wake.notify_one();
        }
    }

    /// Writes the stored bytes as far as the socket takes them.
    fn flush(&self) {
        let mut out = self.out.borrow_mut();
        match self.stream.try_write(&out.bytes) {
            Ok(n) if n == out.bytes.len() => (out.bytes, out.blocked_since) = (Vec::new(), None),
            Ok(n) => {
                out.bytes.drain(..n);
                out.blocked_since = Some(Instant::now());
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.advance_to(ConnectionState::Closed),
        }
        self.unread.update(out.bytes.len() + out.ready_bytes, RETAINED_BUFFER_BYTES);
    }

    /// Whether no answer is pending or unwritten.
    fn is_drained(&self) -> bool {
        let out = self.out.borrow();
        out.slots.is_empty() && out.bytes.is_empty()
    }

    /// Answers with a protocol error after all pending answers, then closes the connection.
    fn close_with_error(&self, what: &str) {
        self.respond(format!("-ERR protocol error: {what}\r\n").as_bytes());
        self.advance_to(ConnectionState::Closing);
    }

    /// Closes the connection if one of its time limits has passed. `idle_limit` is how long it may stay
    /// without a command.
    pub fn check_timeouts(&self, now: Instant, idle_limit: Duration) {
        let has_passed = |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        if self.out.borrow().blocked_since.is_some_and(|since| has_passed(since, COMMAND_TIMEOUT)) {
            return self.advance_to(ConnectionState::Closed);
        }
        if self.state.get() != ConnectionState::Open || !self.is_drained() {
            return;
        }
        match self.expected.get() {
            (ExpectedCommand::RestOfFirst | ExpectedCommand::RestOfLater, since)
                if has_passed(since, COMMAND_TIMEOUT) =>
            {
                self.close_with_error("no whole command in time")
            }
            (ExpectedCommand::First, since) if has_passed(since, COMMAND_TIMEOUT) => {
                self.advance_to(ConnectionState::ClosingIdle)
            }
            (ExpectedCommand::Next, since) if has_passed(since, idle_limit) => {
                self.advance_to(ConnectionState::ClosingIdle)
            }
            _ => {}
        }
    }

    /// Reads what has arrived, up to a bound. Returns `Ok(false)` where nothing has, and `Err` where the
    /// client has disconnected: that is checked before any command it sent is started.
    fn read(&self, bytes: &mut Vec<u8>) -> Result<bool, ()> {
        let before = bytes.len();
        loop {
            bytes.reserve(2048);
            match self.stream.try_read_buf(bytes) {
                Ok(0) => return Err(()),
                Ok(_) if bytes.len() < RETAINED_BUFFER_BYTES => {}
                Ok(_) => return Ok(true),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(bytes.len() > before),
                Err(_) => return Err(()),
            }
        }
    }

    /// When the last of the bytes that are read arrived, independent of when this process was scheduled.
    fn last_received(&self) -> Instant {
        let id = self.connection_id.as_ref();
        id.map_or_else(Instant::now, |id| self.receive_times.last_received(id))
    }

    /// Waits until the client disconnects, also with unread bytes before the end of file: nothing else of it
    /// is wanted now.
    async fn disconnected(&self) {
        // A socket that is polled for priority data alone becomes ready here only when the peer closes.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Waits until there is something to read. Returns false where the client has disconnected, whatever it
    /// sent before.
    async fn readable(&self) -> bool {
        self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed())
    }

    /// Serves the connection until either side ends it.
    pub async fn serve(self: &Rc<Client>, gatekeeper: &Shared) {
        if self.process_commands(gatekeeper).await.is_ok() {
            self.close_gracefully().await;
        }
        self.state.set(ConnectionState::Closed);
    }

    /// Serves commands. Returns `Ok` once the sending side may be closed, `Err` where the client has
    /// disconnected.
    async fn process_commands(self: &Rc<Client>, gatekeeper: &Shared) -> Result<(), ()> {
        let mut bytes: Vec<u8> = Vec::new();
        let mut received_at = Instant::now();
        loop {
            if self.state.get() == ConnectionState::Closed {
                return Err(());
            }
            // Commands that arrived while the pipeline was full are started once it has room.
            let has_room = self.out.borrow().slots.len() < MAX_PIPELINED_COMMANDS;
            if has_room && !bytes.is_empty() {
                match self.start_commands(gatekeeper, &mut bytes, received_at) {
                    Ok(true) => continue,
                    Ok(false) => match self.expected.get() {
                        (ExpectedCommand::Next, _) => {
                            self.expected.set((ExpectedCommand::RestOfLater, received_at))
                        }
                        (ExpectedCommand::First, since) => {
                            self.expected.set((ExpectedCommand::RestOfFirst, since))
                        }
                        _ => {}
                    },
                    Err(error) => {
                        bytes = Vec::new();
                        self.close_with_error(error.0);
                    }
                }
            }
            if !self.reading.update(bytes.capacity(), RETAINED_BUFFER_BYTES) {
                bytes = Vec::new();
                self.close_with_error("no room for so long a command now");
            }
            let (is_drained, state) = (self.is_drained(), self.state.get());
            match state {
                ConnectionState::ClosingIdle if is_drained => {
                    if !self.read(&mut bytes)? {
                        return Ok(());
                    }
                    (received_at, _) = (self.last_received(), self.state.set(ConnectionState::Open));
                    continue;
                }
                ConnectionState::Stopping if is_drained => {
                    if self.read(&mut bytes)? {
                        received_at = self.last_received();
                        continue;
                    }
                    if bytes.is_empty() {
                        return Ok(());
                    }
                }
                ConnectionState::Rejecting if is_drained => {
                    self.state.set(ConnectionState::Closing);
                    if self.read(&mut bytes)? {
                        received_at = self.last_received();
                        continue;
                    }
                    return Ok(());
                }
                ConnectionState::Closing if is_drained => return Ok(()),
                _ => {}
            }
            let can_read = has_room
                && (state == ConnectionState::Open || (state == ConnectionState::Stopping && is_drained));
            let has_unwritten = !self.out.borrow().bytes.is_empty();
            tokio::select! {
                connected = self.readable(), if can_read => {
                    if !connected {
                        return Err(());
                    }
                    if self.read(&mut bytes)? {
                        received_at = self.last_received();
                    }
                }
                () = self.disconnected(), if !can_read => return Err(()),
                _ = self.stream.writable(), if has_unwritten => self.flush(),
                () = self.wake.notified() => {}
            }
        }
    }

    /// Closes the sending side, so that the client can read the last answer before the end of file. What
    /// arrives after that is read and dropped.
    async fn close_gracefully(&self) {
        if self.state.get() == ConnectionState::Closed
            || SockRef::from(&self.stream).shutdown(Shutdown::Write).is_err()
        {
            return;
        }
        self.state.set(ConnectionState::HalfClosed);
        self.expected.set((ExpectedCommand::Next, Instant::now()));
        self.slot_freed.notify_one();
        let drain = async {
            let mut discarded = [0u8; 4096];
            while self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut discarded) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        let until_closed = async {
            while self.state.get() != ConnectionState::Closed {
                self.wake.notified().await;
            }
        };
        let _ = timeout(LINGER_TIMEOUT, async {
            tokio::select! {
                () = drain => {}
                () = until_closed => {}
            }
        })
        .await;
    }

    /// Starts every complete command in `bytes` as far as the pipeline has room, and returns whether there
    /// was one. `received_at` is when the last of the bytes arrived: the client's deadline runs while its
    /// command waits here.
    fn start_commands(
        self: &Rc<Client>,
        gatekeeper: &Shared,
        bytes: &mut Vec<u8>,
        received_at: Instant,
    ) -> Result<bool, ProtocolError> {
        let mut at = 0;
        let result = loop {
            if self.out.borrow().slots.len() >= MAX_PIPELINED_COMMANDS {
                break Ok(());
            }
            match resp::command(&bytes[at..]) {
                Ok(Some(command)) => {
                    self.start_command(gatekeeper, &bytes[at..], &command, received_at);
                    at += command.len;
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        if at == bytes.len() && bytes.capacity() > RETAINED_BUFFER_BYTES {
            *bytes = Vec::new();
        } else {
            bytes.drain(..at);
        }
        if at > 0 {
            self.expected.set((ExpectedCommand::Next, Instant::now()));
        }
        result.map(|()| at > 0)
    }

    /// Parses and starts one command, or answers it at once.
    fn start_command(
        self: &Rc<Client>,
        gatekeeper: &Shared,
        bytes: &[u8],
        command: &Command,
        received_at: Instant,
    ) {
        let name = command.part(bytes, 0);
        if name == b"Q.ASK" || name == b"Q.DO" {
            if self.state.get() >= ConnectionState::Rejecting {
                return self.respond(b"-BUSY\r\n");
            }
            let request = {
                let gatekeeper = gatekeeper.borrow();
                ClientRequest::parse(
                    &gatekeeper.conf,
                    &gatekeeper.settings,
                    |wire| gatekeeper.is_open(wire),
                    bytes,
                    command,
                )
            };
            match request {
                Ok(mut request) => {
                    request.wait_ms -= received_at.elapsed().as_secs_f64() * 1000.0;
                    let mut gatekeeper = gatekeeper.borrow_mut();
                    if !gatekeeper.has_room(request.command.len()) {
                        return self.respond(b"-BUSY\r\n");
                    }
                    let id = gatekeeper.next_id();
                    self.out.borrow_mut().slots.push_back(AnswerSlot::Pending(id));
                    gatekeeper.handle_request(id, request, self.clone());
                }
                Err(what) => self.respond(format!("-ERR {what}\r\n").as_bytes()),
            }
        } else if name.eq_ignore_ascii_case(b"PING") {
            let mut pong = Vec::new();
            match command.count {
                1 => pong.extend_from_slice(b"+PONG\r\n"),
                _ => resp::put_bulk(&mut pong, command.part(bytes, 1)),
            }
            if gatekeeper.borrow().is_serving() {
                return self.respond(&pong);
            }
            let mut gatekeeper = gatekeeper.borrow_mut();
            let id = gatekeeper.next_id();
            self.out.borrow_mut().slots.push_back(AnswerSlot::Pending(id));
            gatekeeper.answer_once_serving(id, self.clone(), pong);
        } else {
            self.respond(b"-ERR unknown command\r\n");
        }
    }
}
