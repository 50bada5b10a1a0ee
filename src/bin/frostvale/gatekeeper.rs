//! The event loop's shared state: passes events to `frostvale::Control` and carries out the actions it
//! returns.
//!
//! Owns the requests in flight, their attempts, the connections to workers and one timer queue. All decisions
//! about requests are made by `frostvale::Control`. Scheduling a timer costs O(log t) with t timers queued.

mod endpoints;
mod in_flight;
mod interfaces;
mod last_list;
mod outside;
mod record;
mod starting;
mod trace;
mod used_ids;
mod zones;

use crate::client_request::ClientRequest;
use crate::config::Config;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::resp::{self, Reply};
use crate::usage::{Usage, UsageKind};
use crate::workers::{self, Conn, ConnectionPermit, ErrorReply, ReplyHandler, Workers};
pub use endpoints::{apply_known, apply_update};
use frostvale::*;
use frostvale_outside::{OutsidePolicy, Verdict};
use in_flight::{Attempt, Clock, InFlight};
pub use interfaces::{AgentLinks, CheckClient, ResponseSink};
use last_list::LastList;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep_until, timeout};
use used_ids::UsedIds;

/// Shared handle to the gatekeeper. Each task borrows it only for the duration of one call.
pub type Shared = Rc<RefCell<Gatekeeper>>;

/// Passes replies and closed connections of workers to the gatekeeper, unless that has been dropped.
struct GatekeeperReplyHandler(Weak<RefCell<Gatekeeper>>);

impl ReplyHandler for GatekeeperReplyHandler {
    fn reply_received(&self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool) {
        if let Some(gatekeeper) = self.0.upgrade() {
            gatekeeper.borrow_mut().handle_reply(conn, reply, bytes, clean);
        }
    }

    fn connection_closed(&self, conn: &Rc<Conn>, read_error: Option<&'static str>) {
        if let Some(gatekeeper) = self.0.upgrade() {
            gatekeeper.borrow_mut().handle_connection_closed(conn, read_error);
        }
    }
}

/// Why a request is refused whose id was used by one that may have run.
pub const ID_USED: &str = "this id was used already";
/// Time reserved out of the client's wait, which starts when the client sends: the answer's way back and the
/// delay on a busy core use it up.
const RETURN_MARGIN_MS: f64 = 6.0;
/// A request that `Control` has not answered this long after its deadline is failed, so that every client
/// gets an answer.
const ANSWER_GRACE_MS: f64 = 3.0;
/// Idle connections are closed after this share of the idle time after which workers close them.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// Minimum time between a reply and the reuse of its connection. Surplus bytes of a reply may arrive a moment
/// later and must not be taken for the next reply.
const MIN_IDLE_MS: f64 = 5.0;
/// Share of an attempt's remaining time that may be spent on connecting, so that time for another worker
/// remains.
const CONNECT_TIME_SHARE: f64 = 0.25;
/// Lower bound of the share computed from [`CONNECT_TIME_SHARE`].
const MIN_CONNECT_TIMEOUT_MS: f64 = 50.0;
/// The timer queue is first compacted at this length. After that it is compacted when it reaches twice the
/// number of timers that were still pending, but not below this length.
const MIN_TIMER_COMPACTION_LEN: usize = 1024;

/// The memory for each kind of buffer divided by this is what the ids of finished requests may take.
const USED_IDS_SHARE_DIVISOR: usize = 2;

/// What happens when a timer expires.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    /// A timer that `Control` has set, with its token.
    Control(u64),
    /// An attempt, by request id and attempt number, has reached its deadline.
    AttemptDeadline(u64, u32),
    /// A request has had no final answer by [`ANSWER_GRACE_MS`] after its deadline.
    AnswerDeadline(u64),
    /// A call to the outside rate limit service, by its number, has timed out.
    OutsideCall(u64),
    /// A request held at startup has waited for its maximum time.
    StartupHold(u64),
    /// [`Gatekeeper::run_maintenance`] is due.
    Maintenance,
}

/// State of the gatekeeper process: the decision module and everything that it acts on.
pub struct Gatekeeper {
    weak_self: Weak<RefCell<Gatekeeper>>,
    control: Control,
    clock: Clock,
    /// The settings file as read.
    pub conf: RawSettings,
    /// The checked settings that `Control` uses.
    pub settings: Settings,
    requests: HashMap<u64, InFlight>,
    last_id: u64,
    /// Total size of the commands of `requests`.
    held_bytes: usize,
    max_held_bytes: usize,
    /// The ids that clients gave to the requests in flight.
    open_client_ids: HashSet<u64>,
    used_ids: UsedIds,
    workers: Workers,
    /// Requests and answers held until the gatekeeper serves; `None` from then on.
    startup_queue: Option<starting::StartupQueue>,
    /// Serializes endpoint updates.
    update_lock: Rc<Mutex<()>>,
    last_list: LastList,
    reply_handler: Rc<dyn ReplyHandler>,
    /// Checks without a decision yet, by id, with the tag and the client to answer.
    checks: HashMap<u64, (u64, Rc<dyn CheckClient>)>,
    agents: Option<Rc<dyn AgentLinks>>,
    outside: Option<OutsidePolicy>,
    /// The number of the last call to the outside service under former policies.
    last_outside_call: u64,
    usage: Option<Usage>,
    peers: Option<Peers>,
    /// Events that wait until the one being dispatched is done.
    events: VecDeque<Event>,
    is_dispatching: bool,
    /// Timers by expiry time, in microseconds of the clock.
    timers: BinaryHeap<Reverse<(u64, TimerKind)>>,
    timer_compaction_len: usize,
    /// Notified when a timer is set that expires before `next_wakeup_us`.
    timers_changed: Rc<Notify>,
    /// When the timer task wakes up next; `u64::MAX` when no timer is pending.
    next_wakeup_us: u64,
    /// Notified when an endpoint list is in effect.
    pub first_list: Rc<Notify>,
    /// Reused for serializing commands.
    write_buffer: Vec<u8>,
    /// Number of unreadable replies since they were last logged, and a description of the latest one.
    unreadable_replies: Option<(u32, String)>,
    /// Value of `Control::gossip_entries_dropped` that was last logged.
    logged_gossip_drops: u64,
    /// Counts of rare events, for the log.
    pub metrics: Metrics,
}

impl Gatekeeper {
    /// Creates the gatekeeper. `connections` is the maximum number of connections to workers.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(config: Config, peers: Option<Peers>, connections: usize) -> Result<Shared, SettingsError> {
        let mut control = Control::new(config.settings.clone(), config.seed)?;
        let memory_bytes = config.memory_budget();
        control.set_max_customers(memory_bytes / Control::CUSTOMER_BYTES);
        let gatekeeper = Rc::new_cyclic(|weak_self| {
            RefCell::new(Gatekeeper {
                weak_self: weak_self.clone(),
                control,
                clock: Clock::new(),
                conf: config.conf,
                settings: config.settings,
                requests: HashMap::new(),
                last_id: 0,
                held_bytes: 0,
                max_held_bytes: memory_bytes,
                open_client_ids: HashSet::new(),
                used_ids: UsedIds::new(memory_bytes / USED_IDS_SHARE_DIVISOR),
                workers: Workers::new(connections, memory_bytes),
                startup_queue: Some(starting::StartupQueue::default()),
                update_lock: Rc::default(),
                last_list: LastList::default(),
                reply_handler: Rc::new(GatekeeperReplyHandler(weak_self.clone())),
                checks: HashMap::new(),
                agents: None,
                outside: None,
                last_outside_call: 0,
                usage: None,
                peers,
                events: VecDeque::new(),
                is_dispatching: false,
                timers: BinaryHeap::new(),
                timer_compaction_len: MIN_TIMER_COMPACTION_LEN,
                timers_changed: Rc::default(),
                next_wakeup_us: u64::MAX,
                first_list: Rc::default(),
                write_buffer: Vec::new(),
                unreadable_replies: None,
                logged_gossip_drops: 0,
                metrics: Metrics::default(),
            })
        });
        gatekeeper.borrow_mut().run_maintenance();
        Ok(gatekeeper)
    }

    /// The current time in ms of Unix time; see [`Clock`].
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Whether no client waits for an answer.
    pub fn is_settled(&self) -> bool {
        self.requests.values().all(|r| r.client.is_none())
    }

    // ---- requests and peer messages ----

    /// Passes on a message from another gatekeeper. `from` is the sender's number.
    pub fn receive_peer_message(&mut self, from: u32, text: &str) {
        self.dispatch(Event::PeerMessage { from, text: text.into() });
    }

    /// Returns a new request id. Unlike the ids on the wire, which clients choose and may repeat, it is never
    /// reused.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Whether a client may use this id for a new request.
    ///
    /// # Errors
    /// Why not: a request with this id is in flight or still has an attempt outstanding, so that a worker
    /// would take a second one for a duplicate; or such a request may have run.
    pub fn check_new_id(&self, client_id: u64) -> Result<(), &'static str> {
        if self.open_client_ids.contains(&client_id) {
            return Err("this id is open already");
        }
        if self.used_ids.contains(client_id) {
            return Err(ID_USED);
        }
        Ok(())
    }

    /// Whether one more request can be held. Requests beyond the settings' `max_open` or the memory limits are
    /// rejected without being processed.
    pub fn has_room(&mut self, request: &ClientRequest) -> bool {
        self.requests.len() < self.conf.bounds.max_open
            && self.held_bytes + request.command.len() <= self.max_held_bytes
            && (self.is_repeatable(request.class) || self.used_ids.has_room(self.clock.now()))
    }

    /// Whether requests of a class may run twice.
    fn is_repeatable(&self, class: usize) -> bool {
        self.conf.classes.get(class).is_some_and(|class| class.effect == RawEffect::Repeatable)
    }

    /// Accepts a completely received request and starts processing it, or holds it until the gatekeeper
    /// serves.
    pub fn handle_request(&mut self, id: u64, client_request: ClientRequest, client: Rc<dyn ResponseSink>) {
        let deadline = self.now() + client_request.wait_ms - RETURN_MARGIN_MS;
        let request = Request {
            id,
            customer: client_request.customer.clone(),
            class: client_request.class,
            plan: client_request.plan,
            units: client_request.units,
            first: client_request.first,
            spread: client_request.spread,
            deadline,
            is_retry: client_request.repeat,
            source: client.source(),
        };
        self.held_bytes += client_request.command.len();
        self.open_client_ids.insert(client_request.client_id);
        if let Some(agents) = &self.agents {
            agents.record_shop_set(&client_request.customer, client_request.first, client_request.spread);
        }
        let (client, pending) = (Some(client), None);
        self.requests.insert(
            id,
            InFlight {
                client_request,
                client,
                pending,
                client_deadline: deadline + RETURN_MARGIN_MS,
                attempts: 0,
                attempt: None,
                is_sent: false,
                may_have_run: false,
                has_client_left: false,
            },
        );
        self.schedule(deadline + ANSWER_GRACE_MS, TimerKind::AnswerDeadline(id));
        if self.is_serving() {
            self.begin_request(request);
        } else {
            self.hold_until_serving(request);
        }
    }

    /// Passes a request to `Control`, after asking the outside rate limit service if its plan requires that.
    fn begin_request(&mut self, request: Request) {
        if self.outside.as_ref().is_some_and(|o| o.consults_plan(request.plan)) {
            return self.consult_outside(request);
        }
        self.dispatch(Event::Request(request));
    }

    // ---- checks ----

    /// Starts a check of whether a customer may use units and returns its id. The id and the deadline of
    /// `request` are set here. `client` receives the decision together with `tag`.
    pub fn check(&mut self, request: Request, timeout_ms: f64, tag: u64, client: Rc<dyn CheckClient>) -> u64 {
        let id = self.next_id();
        let deadline = self.now() + timeout_ms;
        self.checks.insert(id, (tag, client));
        self.dispatch(Event::Check(Request { id, deadline, ..request }));
        id
    }

    /// Cancels checks whose client no longer waits. Units already granted to them stay charged.
    pub fn cancel_checks(&mut self, checks: impl IntoIterator<Item = u64>) {
        for id in checks {
            if self.checks.remove(&id).is_some() {
                self.dispatch(Event::ClientDisconnected { id });
            }
        }
    }

    /// Handles the disconnect of the client of an open request: nothing more is sent to workers for it.
    pub fn client_disconnected(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.client.take().is_none() {
            return;
        }
        r.has_client_left = true;
        if r.pending.take().is_some() {
            return self.remove_if_finished(id);
        }
        let unsent = r.attempt.as_ref().filter(|a| a.is_unsent()).map(|a| a.conn.clone());
        self.dispatch(Event::ClientDisconnected { id });
        if let Some(conn) = unsent {
            // Otherwise the rest of a half-written command would still be sent.
            if let Some(conn) = conn {
                conn.current_request.set(None);
                conn.abort();
            }
            self.finish_attempt(id, AttemptOutcome::Moot, None);
        }
        self.remove_if_finished(id);
    }

    /// Handles a worker's reply. `clean` is false if further bytes followed it.
    fn handle_reply(&mut self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool) {
        let Some(id) = conn.current_request.take() else { return };
        let error = match &reply {
            Reply::Served { .. } => None,
            Reply::Error(line) => Some(workers::parse_error_line(&bytes[line.clone()])),
        };
        // After an unknown error line the bytes that follow cannot be trusted either, so the connection is
        // closed.
        let known = !matches!(error, Some(ErrorReply::Other));
        if clean && known && conn.is_written.get() {
            self.workers.release(conn, self.clock.now());
        } else {
            conn.close();
        }
        match reply {
            Reply::Served { value, report } => {
                if let Some(client) = self.requests.get_mut(&id).and_then(|r| r.client.take()) {
                    client.answer(id, &bytes[value]);
                    self.trace_answer(id, b"served");
                    self.count_usage(id, UsageKind::Served);
                }
                self.finish_attempt(
                    id,
                    AttemptOutcome::Ok,
                    report.and_then(|at| workers::parse_load_report(&bytes[at])),
                );
            }
            Reply::Error(_) => match error {
                Some(ErrorReply::Busy(report)) => self.finish_attempt(id, AttemptOutcome::Full, report),
                Some(ErrorReply::Failed(report)) => self.finish_attempt(id, AttemptOutcome::Error, report),
                _ => self.finish_attempt(id, AttemptOutcome::Error, None),
            },
        }
    }

    /// Handles a closed connection to a worker. `read_error` describes the bytes that could not be read, if
    /// any.
    fn handle_connection_closed(&mut self, conn: &Rc<Conn>, read_error: Option<&'static str>) {
        self.workers.remove_connection(conn);
        if let Some(what) = read_error {
            // Counted here and logged in total, so that a faulty worker cannot flood the log.
            let (count, last) = self.unreadable_replies.get_or_insert((0, String::new()));
            *count += 1;
            *last = format!("{}: {what}", conn.worker);
        }
        if let Some(id) = conn.current_request.get() {
            self.abort_attempt(id, AttemptOutcome::Reset);
        }
    }

    // ---- the decision module ----

    /// Passes an event to `Control` and executes the resulting actions, in order.
    fn dispatch(&mut self, event: Event) {
        self.events.push_back(event);
        // An action that completes at once causes an event of its own, which the loop below picks up.
        if std::mem::replace(&mut self.is_dispatching, true) {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            for action in self.control.handle(now, event) {
                self.execute(action, now);
            }
        }
        self.is_dispatching = false;
    }

    /// Carries out an action of `Control`.
    fn execute(&mut self, action: Action, now: f64) {
        match action {
            Action::Send { id, server, deadline, start_deadline } => {
                self.start_attempt(id, server, (deadline, start_deadline), now);
            }
            Action::Refuse { id, retry_after_ms, reason } => {
                self.trace_refusal(id, reason);
                self.refuse(id, retry_after_ms);
            }
            Action::CheckDecision { id, granted, remaining, reset } => {
                if let Some((tag, client)) = self.checks.remove(&id) {
                    client.verdict(tag, granted, remaining, reset);
                }
            }
            Action::Fail { id } => self.answer(id, b"-ERR failed\r\n"),
            Action::Cancel { id, attempt } => {
                let outstanding = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
                if outstanding.is_some_and(|a| a.number == attempt) {
                    self.abort_attempt(id, AttemptOutcome::Cancelled);
                }
            }
            Action::SendPeerMessage { to, text } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &text);
                }
            }
            Action::BroadcastPeerMessage { text } => {
                if let Some(peers) = &self.peers {
                    peers.broadcast(&text);
                }
            }
            Action::SetTimer { token, after } => self.schedule(now + after, TimerKind::Control(token)),
            Action::Log { text } => tracing::info!("{text}"),
            // This gatekeeper does not probe workers.
            Action::Probe { .. } => {}
        }
    }

    /// Sends the final answer that the request was not processed and may be retried, with the retry delay in
    /// ms if that is at least 1.
    fn refuse(&mut self, id: u64, retry_after_ms: f64) {
        self.count_usage(id, UsageKind::Refused);
        let mut line = b"-BUSY".to_vec();
        if retry_after_ms >= 1.0 {
            line.push(b' ');
            resp::put_digits(&mut line, retry_after_ms as u64);
        }
        line.extend_from_slice(b"\r\n");
        self.answer(id, &line);
    }

    /// Sends a final answer that does not come from a worker.
    fn answer(&mut self, id: u64, line: &[u8]) {
        if let Some(client) = self.requests.get_mut(&id).and_then(|r| r.client.take()) {
            client.answer(id, line);
            self.trace_answer(id, line);
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that has neither a waiting client nor an outstanding attempt.
    fn remove_if_finished(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|r| r.client.is_none() && r.attempt.is_none())
            && let Some(r) = self.requests.remove(&id)
        {
            self.held_bytes -= r.client_request.command.len();
            self.open_client_ids.remove(&r.client_request.client_id);
            let is_repeatable = self.is_repeatable(r.client_request.class);
            if r.may_have_run && (r.has_client_left || !is_repeatable) {
                self.used_ids.insert(self.now(), r.client_request.client_id, is_repeatable);
            }
        }
    }

    // ---- attempts ----

    /// Starts an attempt at a worker, on an idle connection or a new one.
    fn start_attempt(&mut self, id: u64, server: Name, (deadline, start_deadline): (f64, f64), now: f64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let number = r.attempts;
        r.attempts += 1;
        r.attempt = Some(Attempt {
            number,
            server: server.clone(),
            started: now,
            deadline,
            start_deadline,
            conn: None,
        });
        if deadline <= now || r.client.is_none() {
            return self.finish_attempt(id, AttemptOutcome::Moot, None);
        }
        // The client's disconnect may arrive in the same event loop turn as the event that led to this
        // attempt, and not have been handled yet.
        if r.client.as_ref().is_some_and(|client| client.is_disconnected()) {
            return self.client_disconnected(id);
        }
        self.schedule(deadline, TimerKind::AttemptDeadline(id, number));
        // A connection that breaks before anything is written does not harm the attempt: the next one can be
        // tried.
        while let Some(conn) = self.workers.take_idle(&server, now - MIN_IDLE_MS) {
            if self.write_command(id, &conn) {
                return;
            }
        }
        let worker = self.workers.get(&server);
        let Some((address, incarnation)) = worker.and_then(|w| Some((w.serving_address()?, w.incarnation)))
        else {
            return self.finish_attempt(id, AttemptOutcome::Unreachable, None);
        };
        let (Some(permit), Some(gatekeeper)) = (self.workers.acquire_permit(), self.weak_self.upgrade())
        else {
            return self.finish_attempt(id, AttemptOutcome::Unreachable, None);
        };
        let time_share = (CONNECT_TIME_SHARE * (deadline - now)).max(MIN_CONNECT_TIMEOUT_MS);
        let timeout_limit = self
            .conf
            .bounds
            .connect_timeout
            .clamp(1.0, 60_000.0)
            .min(time_share)
            .min(start_deadline - now)
            .max(0.0);
        let timeout_limit = Duration::from_secs_f64(timeout_limit / 1000.0);
        tokio::task::spawn_local(async move {
            // A machine that is gone never answers a connect: the timeout comes from the settings.
            let stream = timeout(timeout_limit, TcpStream::connect(address)).await.ok().and_then(Result::ok);
            gatekeeper.borrow_mut().connect_finished(id, number, server, incarnation, permit, stream);
        });
    }

    /// Sends the command on a new connection, or ends the attempt if there is none. A connection that is no
    /// longer needed goes to the idle connections.
    fn connect_finished(
        &mut self,
        id: u64,
        number: u32,
        server: Name,
        incarnation: u64,
        permit: ConnectionPermit,
        stream: Option<TcpStream>,
    ) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let is_connecting = attempt.is_some_and(|a| a.number == number && a.conn.is_none());
        let is_in_time = attempt.is_some_and(|a| self.clock.now() <= a.start_deadline);
        let read_memory = self.workers.read_share();
        let conn = stream.map(|stream| Conn::new(stream, server, incarnation, permit, read_memory));
        if let Some(conn) = &conn {
            conn.spawn_reader(self.reply_handler.clone());
        }
        // The worker may have begun to drain or restarted meanwhile: `write_command` checks that.
        let is_started = match conn {
            Some(conn) if is_connecting && is_in_time => self.write_command(id, &conn),
            Some(conn) => {
                self.workers.release(&conn, self.clock.now());
                false
            }
            None => false,
        };
        if is_connecting && !is_started {
            self.finish_attempt(id, AttemptOutcome::Unreachable, None);
        }
    }

    /// Whether a new command may be sent on a connection: its worker accepts requests and has not restarted
    /// since.
    fn is_usable(&self, conn: &Conn) -> bool {
        self.workers
            .get(&conn.worker)
            .is_some_and(|w| w.serving_address().is_some() && w.incarnation == conn.incarnation)
    }

    /// Writes the command to a connection. Returns false if the connection cannot be used or broke before a
    /// byte was written.
    fn write_command(&mut self, id: u64, conn: &Rc<Conn>) -> bool {
        let now = self.clock.now();
        let usable = self.is_usable(conn);
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let Some(attempt) = &mut r.attempt else { return false };
        if !usable {
            conn.close();
            return false;
        }
        let mut bytes = std::mem::take(&mut self.write_buffer);
        bytes.clear();
        r.client_request.write_to_worker((attempt.deadline - now).max(1.0) as u64, &mut bytes);
        let sent = match conn.stream.try_write(&bytes) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                conn.close();
                self.write_buffer = bytes;
                return false;
            }
        };
        attempt.conn = Some(conn.clone());
        conn.current_request.set(Some(id));
        conn.is_written.set(sent == bytes.len());
        if sent < bytes.len()
            && let Some(gatekeeper) = self.weak_self.upgrade()
        {
            let (conn, rest) = (conn.clone(), bytes[sent..].to_vec());
            tokio::task::spawn_local(async move {
                let is_complete = conn.write_rest(&rest).await.is_ok();
                if conn.current_request.get() == Some(id) {
                    conn.is_written.set(is_complete);
                    if is_complete {
                        gatekeeper.borrow_mut().command_sent(id);
                    } else {
                        gatekeeper.borrow_mut().abort_attempt(id, AttemptOutcome::Unreachable);
                    }
                }
            });
        }
        let is_complete = sent == bytes.len();
        self.write_buffer = bytes;
        if is_complete {
            self.command_sent(id);
        }
        true
    }

    /// Closes the attempt's connection, so that no late reply can be taken for another one, and ends the
    /// attempt.
    fn abort_attempt(&mut self, id: u64, outcome: AttemptOutcome) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(conn) = attempt.map(|a| a.conn.clone()) else { return };
        let Some(conn) = conn else { return self.finish_attempt(id, AttemptOutcome::Unreachable, None) };
        conn.current_request.set(None);
        conn.abort();
        // A worker cannot have started on a command whose last byte was not written.
        self.finish_attempt(
            id,
            if conn.is_written.get() { outcome } else { AttemptOutcome::Unreachable },
            None,
        );
    }

    /// Ends the outstanding attempt and reports its result to `Control`.
    fn finish_attempt(&mut self, id: u64, outcome: AttemptOutcome, load_report: Option<LoadReport>) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = r.attempt.take() else { return };
        r.may_have_run |= outcome.may_have_run();
        trace::attempt_ended(r.client_request.client_id, &attempt, outcome, now);
        let result = AttemptResult {
            id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            latency: (now - attempt.started).max(0.0),
            is_final: r.client.is_none(),
            metered: None,
            units: None,
            load_report,
        };
        self.dispatch(Event::AttemptEnded(result));
        self.remove_if_finished(id);
    }

    // ---- timers ----

    /// Sets a timer for a time in ms of the clock.
    fn schedule(&mut self, at_ms: f64, kind: TimerKind) {
        if self.timers.len() >= self.timer_compaction_len {
            let mut timers = std::mem::take(&mut self.timers);
            timers.retain(|Reverse((_, kind))| self.is_timer_pending(kind));
            self.timer_compaction_len = MIN_TIMER_COMPACTION_LEN.max(2 * timers.len());
            self.timers = timers;
        }
        let at_us = (at_ms * 1000.0).max(0.0) as u64;
        self.timers.push(Reverse((at_us, kind)));
        if at_us < self.next_wakeup_us {
            self.timers_changed.notify_one();
        }
    }

    /// Closes connections that have been idle for too long, logs what has been counted, and schedules itself
    /// again.
    fn run_maintenance(&mut self) {
        let idle = self.conf.bounds.conn_idle * IDLE_TIMEOUT_SHARE;
        let now = self.now();
        self.workers.close_idle_since_before(now - idle);
        if let Some((count, last)) = self.unreadable_replies.take() {
            tracing::warn!("cannot read {count} worker replies, the last from {last}");
        }
        let dropped = self.control.gossip_entries_dropped();
        if dropped > self.logged_gossip_drops {
            let new_drops = dropped - self.logged_gossip_drops;
            tracing::debug!(
                "ignored {new_drops} entries of broadcast peer messages: unreadable or about unlisted servers"
            );
            self.logged_gossip_drops = dropped;
        }
        self.schedule(now + (idle / 8.0).clamp(50.0, 2000.0), TimerKind::Maintenance);
    }

    /// Whether a timer still has an effect when it expires.
    fn is_timer_pending(&self, kind: &TimerKind) -> bool {
        match kind {
            TimerKind::Control(_) | TimerKind::Maintenance => true,
            TimerKind::AttemptDeadline(id, number) => {
                let attempt = self.requests.get(id).and_then(|r| r.attempt.as_ref());
                attempt.is_some_and(|a| a.number == *number)
            }
            TimerKind::AnswerDeadline(id) => self.requests.get(id).is_some_and(|r| r.client.is_some()),
            TimerKind::OutsideCall(call) => self.outside.as_ref().is_some_and(|o| o.is_pending(*call)),
            TimerKind::StartupHold(id) => {
                !self.is_serving() && self.requests.get(id).is_some_and(|r| r.pending.is_some())
            }
        }
    }

    /// Runs all expired timers and returns the time of the next pending one.
    fn run_due_timers(&mut self) -> Option<Instant> {
        loop {
            let now_us = (self.now() * 1000.0) as u64;
            match self.timers.peek() {
                None => {
                    self.next_wakeup_us = u64::MAX;
                    return None;
                }
                // Most requests finish long before their deadlines: timers that have lost their effect must
                // not cause a wakeup.
                Some(Reverse((at_us, kind))) if *at_us > now_us && self.is_timer_pending(kind) => {
                    self.next_wakeup_us = *at_us;
                    return Some(self.clock.instant(*at_us as f64 / 1000.0));
                }
                Some(_) => {}
            }
            let Some(Reverse((_, kind))) = self.timers.pop() else { continue };
            if !self.is_timer_pending(&kind) {
                continue;
            }
            match kind {
                TimerKind::Control(token) => self.dispatch(Event::Timer { token }),
                TimerKind::AttemptDeadline(id, _) => self.abort_attempt(id, AttemptOutcome::Timeout),
                TimerKind::AnswerDeadline(id) => {
                    self.trace_unsettled(id);
                    if let Some(r) = self.requests.get_mut(&id) {
                        r.pending = None;
                        if let Some(client) = r.client.take() {
                            client.answer(id, b"-ERR failed\r\n");
                            self.trace_answer(id, b"-ERR failed");
                        }
                    }
                    self.dispatch(Event::ClientDisconnected { id });
                    self.remove_if_finished(id);
                }
                TimerKind::OutsideCall(call) => self.outside_verdict(call, Verdict::Failed),
                TimerKind::StartupHold(id) => self.refuse_held(id),
                TimerKind::Maintenance => self.run_maintenance(),
            }
        }
    }

    /// Task that runs the timers as they expire; it never returns.
    pub async fn keep_time(gatekeeper: Shared) {
        let timers_changed = gatekeeper.borrow().timers_changed.clone();
        loop {
            let next = gatekeeper.borrow_mut().run_due_timers();
            match next {
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(at.into()) => {}
                        () = timers_changed.notified() => {}
                    }
                }
                None => timers_changed.notified().await,
            }
        }
    }
}
