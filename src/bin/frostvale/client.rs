//! One client's connection: reads pipelined commands, starts each as soon as it is complete, and writes the
//! answers in the order of their commands.
//!
//! The connection's lifecycle is a single value, [`ConnectionState`], which each event advances. When the
//! client ends its sending side, by a reset or an end of file, it counts as disconnected, whatever it sent
//! before: no client waits for answers on a connection that it has closed for sending, so starting work for
//! it would be wasted.

mod answers;
mod commands;
mod serving;
mod writing;

use crate::budget::MemoryShare;
use crate::fair_share::Source;
use crate::gatekeeper::ResponseSink;
use crate::receive_time::{ConnectionId, ReceiveTimes};
use crate::resp::CommandSkipper;
use answers::AnswerQueue;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Limit of answers that wait for nothing but the client. Above it the client has to read `MIN_READ_BYTES` in
/// each `COMMAND_TIMEOUT`, or its connection is closed: one that sends and hardly reads must not fill the
/// memory.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// What a client that leaves over `MAX_UNREAD_BYTES` unread has to read in each `COMMAND_TIMEOUT`.
const MIN_READ_BYTES: u64 = 256 * 1024;
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

/// What a connection reports at its end.
pub struct ConnectionSummary {
    /// Whether it was closed because the client did not read its answers.
    pub is_unread: bool,
    /// Number of answers that were replaced by an error for want of memory.
    pub discarded_answers: u64,
    /// Number of times that its commands waited in the queue of the busiest connections.
    pub queued_slices: u64,
}

/// A client's connection. The table in `clients` and the task that serves it share it.
pub struct Client {
    /// Its number, unique in this process.
    number: u64,
    stream: TcpStream,
    state: Cell<ConnectionState>,
    answers: RefCell<AnswerQueue>,
    /// Bytes that the socket has taken since the connection was accepted.
    written_bytes: Cell<u64>,
    /// While answers of over `MAX_UNREAD_BYTES` wait for the client: when the client last was known to have
    /// read enough, and `written_bytes` at that time.
    last_progress: Cell<Option<(Instant, u64)>>,
    /// Present while a command is discarded for which there is no memory.
    skipper: RefCell<Option<CommandSkipper>>,
    /// Whether it was closed because the client did not read its answers.
    is_unread: Cell<bool>,
    /// Number of answers that were replaced by `DISCARDED_ANSWER`.
    discarded_answers: Cell<u64>,
    /// What is expected from the client, and since when.
    expected: Cell<(ExpectedCommand, Instant)>,
    wake: Notify,
    /// Notified when the connection no longer needs its slot in the table.
    slot_freed: Rc<Notify>,
    reading: MemoryShare,
    unread: MemoryShare,
    receive_times: Rc<ReceiveTimes>,
    connection_id: Option<ConnectionId>,
    /// The connection as a source of work for the event loop.
    source: Source,
    /// Whether commands have been read that wait for this connection's turn.
    awaits_slice: Cell<bool>,
}

impl ResponseSink for Client {
    /// Writes the answer to a request, or stores it until all earlier answers are written.
    fn answer(&self, id: u64, bytes: &[u8]) {
        if let (ExpectedCommand::Next, _) = self.expected.get() {
            self.expected.set((ExpectedCommand::Next, Instant::now()));
        }
        let mut answers = self.answers.borrow_mut();
        let had_room = answers.has_room();
        if answers.is_next(id) {
            answers.remove_first();
            self.write_or_keep(&mut answers, bytes);
            self.write_ready_answers(&mut answers);
        } else {
            let kept = self.fit_into_memory(&answers, bytes).to_vec();
            answers.complete(id, kept);
        }
        self.update_backlog(&answers);
        if !had_room && answers.has_room() {
            self.restart_command_time();
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

    fn source(&self) -> u64 {
        self.number
    }
}

impl Client {
    /// Wraps a connection that has just been accepted. `reading` and `unread` are its shares of the memory
    /// budgets of all connections: for bytes of commands and for answers that the socket has not taken.
    pub fn new(
        number: u64,
        stream: TcpStream,
        reading: MemoryShare,
        unread: MemoryShare,
        slot_freed: Rc<Notify>,
        receive_times: Rc<ReceiveTimes>,
        source: Source,
    ) -> Client {
        // Small answers must not wait for acknowledgements. A socket on which this fails also fails its first
        // read.
        let _ = stream.set_nodelay(true);
        Client {
            number,
            connection_id: ConnectionId::of(&stream),
            stream,
            state: Cell::new(ConnectionState::Open),
            answers: RefCell::default(),
            written_bytes: Cell::new(0),
            last_progress: Cell::new(None),
            skipper: RefCell::default(),
            is_unread: Cell::new(false),
            discarded_answers: Cell::new(0),
            expected: Cell::new((ExpectedCommand::First, Instant::now())),
            wake: Notify::new(),
            slot_freed,
            reading,
            unread,
            receive_times,
            source,
            awaits_slice: Cell::new(false),
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
            && !self.awaits_slice.get()
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
        self.answers.borrow_mut().take_pending()
    }

    /// What there is to report once the connection is over.
    pub fn summary(&self) -> ConnectionSummary {
        ConnectionSummary {
            is_unread: self.is_unread.get(),
            discarded_answers: self.discarded_answers.get(),
            queued_slices: self.source.queued_slices(),
        }
    }

    /// Whether no answer is pending or unwritten.
    fn is_drained(&self) -> bool {
        self.answers.borrow().is_empty()
    }

    /// Answers with a protocol error after all pending answers, then closes the connection.
    fn close_with_error(&self, what: &str) {
        self.respond(format!("-ERR protocol error: {what}\r\n").as_bytes());
        self.advance_to(ConnectionState::Closing);
    }

    /// Returns since when a client that leaves too much unread has read less than it has to; `None` where it
    /// does not leave too much unread.
    fn update_read_progress(&self, now: Instant) -> Option<Instant> {
        let is_over_limit = self.answers.borrow().unread_bytes() > MAX_UNREAD_BYTES;
        let written_bytes = self.written_bytes.get();
        let progress = match self.last_progress.get() {
            Some((at, before)) if written_bytes - before < MIN_READ_BYTES => (at, before),
            _ => (now, written_bytes),
        };
        self.last_progress.set(is_over_limit.then_some(progress));
        self.last_progress.get().map(|(at, _)| at)
    }

    /// Closes the connection of a client that does not read its answers.
    fn close_unread(&self) {
        let answers = self.answers.borrow();
        tracing::debug!(
            unread_bytes = answers.unread_bytes(),
            held_bytes = answers.backlog_bytes() - answers.unread_bytes(),
            pending = answers.pending_count(),
            "closed a connection: its client does not read its answers"
        );
        self.is_unread.set(true);
        self.advance_to(ConnectionState::Closed);
    }

    /// Closes the connection if one of its time limits has passed. `idle_limit` is how long it may stay
    /// without a command.
    pub fn check_timeouts(&self, now: Instant, idle_limit: Duration) {
        let has_passed = |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        let blocked_since = self.answers.borrow().blocked_since();
        let slow_since = self.update_read_progress(now);
        if [blocked_since, slow_since].into_iter().flatten().any(|since| has_passed(since, COMMAND_TIMEOUT)) {
            return self.close_unread();
        }
        if self.state.get() != ConnectionState::Open || !self.is_drained() || self.awaits_slice.get() {
            return;
        }
        match self.expected.get() {
            (ExpectedCommand::RestOfFirst | ExpectedCommand::RestOfLater, since)
                if has_passed(since, COMMAND_TIMEOUT) =>
            {
                self.close_with_error(match self.is_skipping() {
                    true => "no room for so long a command now, and no whole command in time",
                    false => "no whole command in time",
                })
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
}
