//! The host of the module: events go in, its actions are carried out. Owns the requests in hand, their
//! attempts and one queue of timers for all of them. It decides nothing: `frostvale::Control` does.

mod endpoints;
mod in_flight;
mod interfaces;
mod last_list;
mod outside;
mod record;
mod starting;
mod trace;
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

/// The one owner of all state; every task borrows it for the length of one call.
pub type Shared = Rc<RefCell<Gatekeeper>>;

/// What answers and ends of connections to workers call back.
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

/// A client's time runs from when it sent: the answer's way back, and ours through a busy core, need some.
const RETURN_MARGIN_MS: f64 = 6.0;
/// A request without an answer this long after the module's own limit is failed: no client goes without.
const ANSWER_GRACE_MS: f64 = 3.0;
/// Pooled connections are closed after this part of the time at which workers close them.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// A connection rests this long after an answer: what an answer brings too much may come a moment later, and
/// must not be taken for the next one.
const MIN_IDLE_MS: f64 = 5.0;
/// A connection that is not up after this part of the time that is left is given up, so that time for
/// another worker remains.
const CONNECT_TIME_SHARE: f64 = 0.25;
const MIN_CONNECT_TIMEOUT_MS: f64 = 50.0;
/// Timers that are void may stand in the queue up to this many, or as many as mean something.
const MIN_TIMER_COMPACTION_LEN: usize = 1024;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Control(u64),
    AttemptDeadline(u64, u32),
    AnswerDeadline(u64),
    OutsideCall(u64),
    StartupHold(u64),
    Maintenance,
}

pub struct Gatekeeper {
    weak_self: Weak<RefCell<Gatekeeper>>,
    control: Control,
    clock: Clock,
    pub conf: RawSettings,
    pub settings: Settings,
    requests: HashMap<u64, InFlight>,
    last_id: u64,
    held_bytes: usize,
    max_held_bytes: usize,
    /// The clients' ids of the requests in hand.
    open_client_ids: HashSet<u64>,
    workers: Workers,
    /// What waits for the first list; none once that is there.
    startup_queue: Option<starting::StartupQueue>,
    /// Endpoint updates are applied one at a time.
    update_lock: Rc<Mutex<()>>,
    last_list: LastList,
    reply_handler: Rc<dyn ReplyHandler>,
    /// Checks that wait for their verdict, with their askers' tags.
    checks: HashMap<u64, (u64, Rc<dyn CheckClient>)>,
    agents: Option<Rc<dyn AgentLinks>>,
    outside: Option<OutsidePolicy>,
    usage: Option<Usage>,
    peers: Option<Peers>,
    events: VecDeque<Event>,
    is_dispatching: bool,
    /// What is due when, in microseconds of the clock.
    timers: BinaryHeap<Reverse<(u64, TimerKind)>>,
    timer_compaction_len: usize,
    timers_changed: Rc<Notify>,
    next_wakeup_us: u64,
    /// Told when discovery has given its first list.
    pub first_list: Rc<Notify>,
    write_buffer: Vec<u8>,
    /// How many answers could not be read since the last line on it in the log, and the last of them.
    unreadable_replies: Option<(u32, String)>,
    /// Words of notes to all that meant nothing here, as of the last sweep.
    logged_gossip_drops: u64,
    /// Counts of what is rare, for the log.
    pub metrics: Metrics,
}

impl Gatekeeper {
    pub fn new(config: Config, peers: Option<Peers>, connections: usize) -> Result<Shared, SettingsError> {
        let control = Control::new(config.settings.clone(), config.seed)?;
        let memory = config.memory_part();
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
                max_held_bytes: memory,
                open_client_ids: HashSet::new(),
                workers: Workers::new(connections, memory),
                startup_queue: Some(starting::StartupQueue::default()),
                update_lock: Rc::default(),
                last_list: LastList::default(),
                reply_handler: Rc::new(GatekeeperReplyHandler(weak_self.clone())),
                checks: HashMap::new(),
                agents: None,
                outside: None,
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

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Whether nobody is owed an answer.
    pub fn is_settled(&self) -> bool {
        self.requests.values().all(|r| r.client.is_none())
    }

    // ---- what happens outside ----

    /// A note from another gatekeeper.
    pub fn receive_peer_message(&mut self, from: u32, text: &str) {
        self.dispatch(Event::PeerMessage { from, text: text.into() });
    }

    /// A number for a request, never used twice. The wire's ids are the clients': they may come again.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Whether a request with this id of the client's is in hand, or an attempt of it is still out: a second
    /// one would reach a worker as a copy of the first.
    pub fn is_open(&self, client_id: u64) -> bool {
        self.open_client_ids.contains(&client_id)
    }

    /// Whether one more request of this size can be held. Past it requests are turned away unseen, as the
    /// settings' most open requests demand and the memory does.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.requests.len() < self.conf.bounds.max_open && self.held_bytes + bytes <= self.max_held_bytes
    }

    /// A request came in whole.
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
                is_delivered: false,
            },
        );
        self.schedule(deadline + ANSWER_GRACE_MS, TimerKind::AnswerDeadline(id));
        if self.is_serving() {
            self.begin_request(request);
        } else {
            self.hold_until_serving(request);
        }
    }

    /// A request goes on to the module, or an outside service is asked first.
    fn begin_request(&mut self, request: Request) {
        if self.outside.as_ref().is_some_and(|o| o.consults_plan(request.plan)) {
            return self.consult_outside(request);
        }
        self.dispatch(Event::Request(request));
    }

    // ---- checks ----

    /// Somebody asks for units. `request` is as the asker wrote it; its id and limit are set here.
    pub fn check(&mut self, request: Request, timeout_ms: f64, tag: u64, client: Rc<dyn CheckClient>) -> u64 {
        let id = self.next_id();
        let deadline = self.now() + timeout_ms;
        self.checks.insert(id, (tag, client));
        self.dispatch(Event::Check(Request { id, deadline, ..request }));
        id
    }

    /// Nobody waits for these checks any more. What they were granted stays charged.
    pub fn cancel_checks(&mut self, checks: impl IntoIterator<Item = u64>) {
        for id in checks {
            if self.checks.remove(&id).is_some() {
                self.dispatch(Event::ClientDisconnected { id });
            }
        }
    }

    /// A client went away with this request open. Nothing more goes out for it.
    pub fn client_disconnected(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.client.take().is_none() {
            return;
        }
        if r.pending.take().is_some() {
            return self.remove_if_finished(id);
        }
        let unsent = r.attempt.as_ref().filter(|a| a.is_unsent()).map(|a| a.conn.clone());
        self.dispatch(Event::ClientDisconnected { id });
        if let Some(conn) = unsent {
            // Of a command that is half written the rest would still go out.
            if let Some(conn) = conn {
                conn.current_request.set(None);
                conn.abort();
            }
            self.finish_attempt(id, AttemptOutcome::Moot, None);
        }
        self.remove_if_finished(id);
    }

    /// A worker answered on a connection. `clean`: with nothing behind it.
    fn handle_reply(&mut self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool) {
        let Some(id) = conn.current_request.take() else { return };
        let line = match &reply {
            Reply::Served { .. } => None,
            Reply::Error(line) => Some(workers::parse_error_line(&bytes[line.clone()])),
        };
        // Any other line is noise, and so may be what comes after it.
        let known = !matches!(line, Some(ErrorReply::Other));
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
            Reply::Error(_) => match line {
                Some(ErrorReply::Busy(report)) => self.finish_attempt(id, AttemptOutcome::Full, report),
                Some(ErrorReply::Failed(report)) => self.finish_attempt(id, AttemptOutcome::Error, report),
                _ => self.finish_attempt(id, AttemptOutcome::Error, None),
            },
        }
    }

    /// A connection to a worker has ended, perhaps over bytes that are no answer.
    fn handle_connection_closed(&mut self, conn: &Rc<Conn>, read_error: Option<&'static str>) {
        self.workers.remove_connection(conn);
        if let Some(what) = read_error {
            // A line for each would be a flood of its own.
            let (count, last) = self.unreadable_replies.get_or_insert((0, String::new()));
            *count += 1;
            *last = format!("{}: {what}", conn.worker);
        }
        if let Some(id) = conn.current_request.get() {
            self.abort_attempt(id, AttemptOutcome::Reset);
        }
    }

    // ---- the module ----

    fn dispatch(&mut self, event: Event) {
        self.events.push_back(event);
        // An action that ends at once brings an event of its own, which waits for its turn here.
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
                let out = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
                if out.is_some_and(|a| a.number == attempt) {
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
            // Workers are not probed.
            Action::Probe { .. } => {}
        }
    }

    /// The final answer that trying again is harmless, and when to, in ms.
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

    /// Gives a final answer that no worker made.
    fn answer(&mut self, id: u64, line: &[u8]) {
        if let Some(client) = self.requests.get_mut(&id).and_then(|r| r.client.take()) {
            client.answer(id, line);
            self.trace_answer(id, line);
        }
        self.remove_if_finished(id);
    }

    /// Forgets a request that nobody waits for and that has nothing out.
    fn remove_if_finished(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|r| r.client.is_none() && r.attempt.is_none())
            && let Some(r) = self.requests.remove(&id)
        {
            self.held_bytes -= r.client_request.command.len();
            self.open_client_ids.remove(&r.client_request.client_id);
        }
    }

    // ---- attempts ----

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
        // What ended the attempt before, or the wait, may have come in one turn with the client's end.
        if r.client.as_ref().is_some_and(|client| client.is_disconnected()) {
            return self.client_disconnected(id);
        }
        self.schedule(deadline, TimerKind::AttemptDeadline(id, number));
        // A connection that breaks before anything is written has cost nothing: the next one is as good.
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
            // A machine that has vanished never answers: the settings say how long to try.
            let stream = timeout(timeout_limit, TcpStream::connect(address)).await.ok().and_then(Result::ok);
            gatekeeper.borrow_mut().connect_finished(id, number, server, incarnation, permit, stream);
        });
    }

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
        // The worker may have begun to drain, or have restarted, while this took its time: `begin` looks.
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

    /// Whether something new may go out on a connection.
    fn is_usable(&self, conn: &Conn) -> bool {
        self.workers
            .get(&conn.worker)
            .is_some_and(|w| w.serving_address().is_some() && w.incarnation == conn.incarnation)
    }

    /// Writes the command. False if the connection broke before a byte was taken.
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
                let whole = conn.write_rest(&rest).await.is_ok();
                if conn.current_request.get() == Some(id) {
                    conn.is_written.set(whole);
                    if whole {
                        gatekeeper.borrow_mut().command_delivered(id);
                    } else {
                        gatekeeper.borrow_mut().abort_attempt(id, AttemptOutcome::Unreachable);
                    }
                }
            });
        }
        let whole = sent == bytes.len();
        self.write_buffer = bytes;
        if whole {
            self.command_delivered(id);
        }
        true
    }

    /// Closes the attempt's connection, so that nothing late can be taken for another answer, and ends it.
    fn abort_attempt(&mut self, id: u64, outcome: AttemptOutcome) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(conn) = attempt.map(|a| a.conn.clone()) else { return };
        let Some(conn) = conn else { return self.finish_attempt(id, AttemptOutcome::Unreachable, None) };
        conn.current_request.set(None);
        conn.abort();
        // With its last byte unwritten the worker can't have begun.
        self.finish_attempt(
            id,
            if conn.is_written.get() { outcome } else { AttemptOutcome::Unreachable },
            None,
        );
    }

    /// The attempt has ended; the module hears of it.
    fn finish_attempt(&mut self, id: u64, outcome: AttemptOutcome, load_report: Option<LoadReport>) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = r.attempt.take() else { return };
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

    // ---- time ----

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

    /// Whether something due still means anything.
    fn is_timer_pending(&self, kind: &TimerKind) -> bool {
        match kind {
            TimerKind::Control(_) | TimerKind::Maintenance => true,
            TimerKind::AttemptDeadline(id, number) => {
                let out = self.requests.get(id).and_then(|r| r.attempt.as_ref());
                out.is_some_and(|a| a.number == *number)
            }
            TimerKind::AnswerDeadline(id) => self.requests.get(id).is_some_and(|r| r.client.is_some()),
            TimerKind::OutsideCall(call) => self.outside.as_ref().is_some_and(|o| o.is_pending(*call)),
            TimerKind::StartupHold(id) => {
                !self.is_serving() && self.requests.get(id).is_some_and(|r| r.pending.is_some())
            }
        }
    }

    /// Does what is due, and gives the time of what comes next.
    fn run_due_timers(&mut self) -> Option<Instant> {
        loop {
            let now_us = (self.now() * 1000.0) as u64;
            match self.timers.peek() {
                None => {
                    self.next_wakeup_us = u64::MAX;
                    return None;
                }
                // Most requests are settled long before their limits: what is void by now must not wake us.
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

    /// The task that wakes for all timers.
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
