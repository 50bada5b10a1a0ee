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
use crate::workers::{self, Conn, ConnectionPermit, Refusal, ReplyHandler, Workers};
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
struct Heard(Weak<RefCell<Gatekeeper>>);

impl ReplyHandler for Heard {
    fn reply_received(&self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool) {
        if let Some(gatekeeper) = self.0.upgrade() {
            gatekeeper.borrow_mut().answered(conn, reply, bytes, clean);
        }
    }

    fn connection_closed(&self, conn: &Rc<Conn>, spoilt: Option<&'static str>) {
        if let Some(gatekeeper) = self.0.upgrade() {
            gatekeeper.borrow_mut().worker_closed(conn, spoilt);
        }
    }
}

/// A client's time runs from when it sent: the answer's way back, and ours through a busy core, need some.
const MARGIN_MS: f64 = 6.0;
/// A request without an answer this long after the module's own limit is failed: no client goes without.
const OVERDUE_MS: f64 = 3.0;
/// Pooled connections are closed after this part of the time at which workers close them.
const IDLE_PART: f64 = 0.5;
/// A connection rests this long after an answer: what an answer brings too much may come a moment later, and
/// must not be taken for the next one.
const REST_MS: f64 = 5.0;
/// A connection that is not up after this part of the time that is left is given up, so that time for
/// another worker remains.
const CONNECT_PART: f64 = 0.25;
const CONNECT_LEAST_MS: f64 = 50.0;
/// Timers that are void may stand in the queue up to this many, or as many as mean something.
const DUE_LEAST: usize = 1024;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Attempt(u64, u32),
    Answer(u64),
    Consult(u64),
    Held(u64),
    Sweep,
}

pub struct Gatekeeper {
    me: Weak<RefCell<Gatekeeper>>,
    control: Control,
    clock: Clock,
    pub conf: RawSettings,
    pub settings: Settings,
    requests: HashMap<u64, InFlight>,
    last_id: u64,
    held: usize,
    held_most: usize,
    /// The clients' ids of the requests in hand.
    open: HashSet<u64>,
    workers: Workers,
    /// What waits for the first list; none once that is there.
    held_at_start: Option<starting::Held>,
    /// Endpoint updates are applied one at a time.
    update_turns: Rc<Mutex<()>>,
    last_list: LastList,
    ear: Rc<dyn ReplyHandler>,
    /// Checks that wait for their verdict, with their askers' tags.
    checks: HashMap<u64, (u64, Rc<dyn CheckClient>)>,
    agents: Option<Rc<dyn AgentLinks>>,
    outside: Option<OutsidePolicy>,
    usage: Option<Usage>,
    peers: Option<Peers>,
    events: VecDeque<Event>,
    pumping: bool,
    /// What is due when, in microseconds of the clock.
    due: BinaryHeap<Reverse<(u64, Due)>>,
    due_most: usize,
    sooner: Rc<Notify>,
    slept_for: u64,
    /// Told when discovery has given its first list.
    pub first_list: Rc<Notify>,
    scratch: Vec<u8>,
    /// How many answers could not be read since the last line on it in the log, and the last of them.
    spoilt: Option<(u32, String)>,
    /// Words of notes to all that meant nothing here, as of the last sweep.
    dropped: u64,
    /// Counts of what is rare, for the log.
    pub metrics: Metrics,
}

impl Gatekeeper {
    pub fn new(config: Config, peers: Option<Peers>, connections: usize) -> Result<Shared, SettingsError> {
        let control = Control::new(config.settings.clone(), config.seed)?;
        let memory = config.memory_budget();
        let gatekeeper = Rc::new_cyclic(|me| {
            RefCell::new(Gatekeeper {
                me: me.clone(),
                control,
                clock: Clock::new(),
                conf: config.conf,
                settings: config.settings,
                requests: HashMap::new(),
                last_id: 0,
                held: 0,
                held_most: memory,
                open: HashSet::new(),
                workers: Workers::new(connections, memory),
                held_at_start: Some(starting::Held::default()),
                update_turns: Rc::default(),
                last_list: LastList::default(),
                ear: Rc::new(Heard(me.clone())),
                checks: HashMap::new(),
                agents: None,
                outside: None,
                usage: None,
                peers,
                events: VecDeque::new(),
                pumping: false,
                due: BinaryHeap::new(),
                due_most: DUE_LEAST,
                sooner: Rc::default(),
                slept_for: u64::MAX,
                first_list: Rc::default(),
                scratch: Vec::new(),
                spoilt: None,
                dropped: 0,
                metrics: Metrics::default(),
            })
        });
        gatekeeper.borrow_mut().sweep();
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
        self.event(Event::PeerMessage { from, text: text.into() });
    }

    /// A number for a request, never used twice. The wire's ids are the clients': they may come again.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Whether a request with this id of the client's is in hand, or an attempt of it is still out: a second
    /// one would reach a worker as a copy of the first.
    pub fn is_open(&self, wire: u64) -> bool {
        self.open.contains(&wire)
    }

    /// Whether one more request of this size can be held. Past it requests are turned away unseen, as the
    /// settings' most open requests demand and the memory does.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.requests.len() < self.conf.bounds.max_open && self.held + bytes <= self.held_most
    }

    /// A request came in whole.
    pub fn handle_request(&mut self, id: u64, ask: ClientRequest, client: Rc<dyn ResponseSink>) {
        let deadline = self.now() + ask.wait_ms - MARGIN_MS;
        let request = Request {
            id,
            customer: ask.customer.clone(),
            class: ask.class,
            plan: ask.plan,
            units: ask.units,
            first: ask.first,
            spread: ask.spread,
            deadline,
            is_retry: ask.repeat,
        };
        self.held += ask.command.len();
        self.open.insert(ask.client_id);
        if let Some(agents) = &self.agents {
            agents.record_shop_set(&ask.customer, ask.first, ask.spread);
        }
        let (client, pending) = (Some(client), None);
        self.requests.insert(
            id,
            InFlight {
                ask,
                client,
                pending,
                due: deadline + MARGIN_MS,
                attempts: 0,
                attempt: None,
                passed: false,
            },
        );
        self.at(deadline + OVERDUE_MS, Due::Answer(id));
        if self.is_serving() {
            self.begin_request(request);
        } else {
            self.hold(request);
        }
    }

    /// A request goes on to the module, or an outside service is asked first.
    fn begin_request(&mut self, request: Request) {
        if self.outside.as_ref().is_some_and(|o| o.consults_plan(request.plan)) {
            return self.consult(request);
        }
        self.event(Event::Request(request));
    }

    // ---- checks ----

    /// Somebody asks for units. `request` is as the asker wrote it; its id and limit are set here.
    pub fn check(&mut self, request: Request, within: f64, tag: u64, asker: Rc<dyn CheckClient>) -> u64 {
        let id = self.next_id();
        let deadline = self.now() + within;
        self.checks.insert(id, (tag, asker));
        self.event(Event::Check(Request { id, deadline, ..request }));
        id
    }

    /// Nobody waits for these checks any more. What they were granted stays charged.
    pub fn cancel_checks(&mut self, checks: impl IntoIterator<Item = u64>) {
        for id in checks {
            if self.checks.remove(&id).is_some() {
                self.event(Event::ClientDisconnected { id });
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
            return self.tidy(id);
        }
        let unsent = r.attempt.as_ref().filter(|a| a.unsent()).map(|a| a.conn.clone());
        self.event(Event::ClientDisconnected { id });
        if let Some(conn) = unsent {
            // Of a command that is half written the rest would still go out.
            if let Some(conn) = conn {
                conn.busy.set(None);
                conn.abort();
            }
            self.end(id, AttemptOutcome::Moot, None);
        }
        self.tidy(id);
    }

    /// A worker answered on a connection. `clean`: with nothing behind it.
    fn answered(&mut self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool) {
        let Some(id) = conn.busy.take() else { return };
        let line = match &reply {
            Reply::Served { .. } => None,
            Reply::Error(line) => Some(workers::refusal(&bytes[line.clone()])),
        };
        // Any other line is noise, and so may be what comes after it.
        let known = !matches!(line, Some(Refusal::Other));
        if clean && known && conn.written.get() {
            self.workers.keep(conn, self.clock.now());
        } else {
            conn.close();
        }
        match reply {
            Reply::Served { value, report } => {
                if let Some(client) = self.requests.get_mut(&id).and_then(|r| r.client.take()) {
                    client.answer(id, &bytes[value]);
                    self.trace_answer(id, b"served");
                    self.count(id, UsageKind::Served);
                }
                self.end(id, AttemptOutcome::Ok, report.and_then(|at| workers::report(&bytes[at])));
            }
            Reply::Error(_) => match line {
                Some(Refusal::Busy(report)) => self.end(id, AttemptOutcome::Full, report),
                Some(Refusal::Failed(report)) => self.end(id, AttemptOutcome::Error, report),
                _ => self.end(id, AttemptOutcome::Error, None),
            },
        }
    }

    /// A connection to a worker has ended, perhaps over bytes that are no answer.
    fn worker_closed(&mut self, conn: &Rc<Conn>, spoilt: Option<&'static str>) {
        self.workers.forget(conn);
        if let Some(what) = spoilt {
            // A line for each would be a flood of its own.
            let (count, last) = self.spoilt.get_or_insert((0, String::new()));
            *count += 1;
            *last = format!("{}: {what}", conn.worker);
        }
        if let Some(id) = conn.busy.get() {
            self.give_up(id, AttemptOutcome::Reset);
        }
    }

    // ---- the module ----

    fn event(&mut self, event: Event) {
        self.events.push_back(event);
        // An action that ends at once brings an event of its own, which waits for its turn here.
        if std::mem::replace(&mut self.pumping, true) {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            for action in self.control.handle(now, event) {
                self.act(action, now);
            }
        }
        self.pumping = false;
    }

    fn act(&mut self, action: Action, now: f64) {
        match action {
            Action::Send { id, server, deadline, start_deadline } => {
                self.send(id, server, (deadline, start_deadline), now);
            }
            Action::Refuse { id, retry_after_ms, reason } => {
                self.trace_refusal(id, reason);
                self.refuse(id, retry_after_ms);
            }
            Action::CheckDecision { id, granted, remaining, reset } => {
                if let Some((tag, asker)) = self.checks.remove(&id) {
                    asker.verdict(tag, granted, remaining, reset);
                }
            }
            Action::Fail { id } => self.answer(id, b"-ERR failed\r\n"),
            Action::Cancel { id, attempt } => {
                let out = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
                if out.is_some_and(|a| a.number == attempt) {
                    self.give_up(id, AttemptOutcome::Cancelled);
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
            Action::SetTimer { token, after } => self.at(now + after, Due::Timer(token)),
            Action::Log { text } => tracing::info!("{text}"),
            // Workers are not probed.
            Action::Probe { .. } => {}
        }
    }

    /// The final answer that trying again is harmless, and when to, in ms.
    fn refuse(&mut self, id: u64, pause: f64) {
        self.count(id, UsageKind::Refused);
        let mut line = b"-BUSY".to_vec();
        if pause >= 1.0 {
            line.push(b' ');
            resp::put_digits(&mut line, pause as u64);
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
        self.tidy(id);
    }

    /// Forgets a request that nobody waits for and that has nothing out.
    fn tidy(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|r| r.client.is_none() && r.attempt.is_none())
            && let Some(r) = self.requests.remove(&id)
        {
            self.held -= r.ask.command.len();
            self.open.remove(&r.ask.client_id);
        }
    }

    // ---- attempts ----

    fn send(&mut self, id: u64, server: Name, (deadline, start_deadline): (f64, f64), now: f64) {
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
            return self.end(id, AttemptOutcome::Moot, None);
        }
        // What ended the attempt before, or the wait, may have come in one turn with the client's end.
        if r.client.as_ref().is_some_and(|client| client.is_disconnected()) {
            return self.client_disconnected(id);
        }
        self.at(deadline, Due::Attempt(id, number));
        // A connection that breaks before anything is written has cost nothing: the next one is as good.
        while let Some(conn) = self.workers.take(&server, now - REST_MS) {
            if self.begin(id, &conn) {
                return;
            }
        }
        let worker = self.workers.get(&server);
        let Some((address, life)) = worker.and_then(|w| Some((w.open_at()?, w.incarnation))) else {
            return self.end(id, AttemptOutcome::Unreachable, None);
        };
        let (Some(place), Some(gatekeeper)) = (self.workers.acquire_permit(), self.me.upgrade()) else {
            return self.end(id, AttemptOutcome::Unreachable, None);
        };
        let part = (CONNECT_PART * (deadline - now)).max(CONNECT_LEAST_MS);
        let most = self
            .conf
            .bounds
            .connect_timeout
            .clamp(1.0, 60_000.0)
            .min(part)
            .min(start_deadline - now)
            .max(0.0);
        let most = Duration::from_secs_f64(most / 1000.0);
        tokio::task::spawn_local(async move {
            // A machine that has vanished never answers: the settings say how long to try.
            let stream = timeout(most, TcpStream::connect(address)).await.ok().and_then(Result::ok);
            gatekeeper.borrow_mut().connected(id, number, server, life, place, stream);
        });
    }

    fn connected(
        &mut self,
        id: u64,
        number: u32,
        server: Name,
        life: u64,
        place: ConnectionPermit,
        stream: Option<TcpStream>,
    ) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let waits = attempt.is_some_and(|a| a.number == number && a.conn.is_none());
        let in_time = attempt.is_some_and(|a| self.clock.now() <= a.start_deadline);
        let reading = self.workers.read_share();
        let conn = stream.map(|stream| Conn::new(stream, server, life, place, reading));
        if let Some(conn) = &conn {
            conn.listen(self.ear.clone());
        }
        // The worker may have begun to drain, or have restarted, while this took its time: `begin` looks.
        let begun = match conn {
            Some(conn) if waits && in_time => self.begin(id, &conn),
            Some(conn) => {
                self.workers.keep(&conn, self.clock.now());
                false
            }
            None => false,
        };
        if waits && !begun {
            self.end(id, AttemptOutcome::Unreachable, None);
        }
    }

    /// Whether something new may go out on a connection.
    fn usable(&self, conn: &Conn) -> bool {
        self.workers
            .get(&conn.worker)
            .is_some_and(|w| w.open_at().is_some() && w.incarnation == conn.incarnation)
    }

    /// Writes the command. False if the connection broke before a byte was taken.
    fn begin(&mut self, id: u64, conn: &Rc<Conn>) -> bool {
        let now = self.clock.now();
        let usable = self.usable(conn);
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let Some(attempt) = &mut r.attempt else { return false };
        if !usable {
            conn.close();
            return false;
        }
        let mut bytes = std::mem::take(&mut self.scratch);
        bytes.clear();
        r.ask.write_to_worker((attempt.deadline - now).max(1.0) as u64, &mut bytes);
        let sent = match conn.stream.try_write(&bytes) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                conn.close();
                self.scratch = bytes;
                return false;
            }
        };
        attempt.conn = Some(conn.clone());
        conn.busy.set(Some(id));
        conn.written.set(sent == bytes.len());
        if sent < bytes.len()
            && let Some(gatekeeper) = self.me.upgrade()
        {
            let (conn, rest) = (conn.clone(), bytes[sent..].to_vec());
            tokio::task::spawn_local(async move {
                let whole = conn.write_rest(&rest).await.is_ok();
                if conn.busy.get() == Some(id) {
                    conn.written.set(whole);
                    if whole {
                        gatekeeper.borrow_mut().passed(id);
                    } else {
                        gatekeeper.borrow_mut().give_up(id, AttemptOutcome::Unreachable);
                    }
                }
            });
        }
        let whole = sent == bytes.len();
        self.scratch = bytes;
        if whole {
            self.passed(id);
        }
        true
    }

    /// Closes the attempt's connection, so that nothing late can be taken for another answer, and ends it.
    fn give_up(&mut self, id: u64, outcome: AttemptOutcome) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(conn) = attempt.map(|a| a.conn.clone()) else { return };
        let Some(conn) = conn else { return self.end(id, AttemptOutcome::Unreachable, None) };
        conn.busy.set(None);
        conn.abort();
        // With its last byte unwritten the worker can't have begun.
        self.end(id, if conn.written.get() { outcome } else { AttemptOutcome::Unreachable }, None);
    }

    /// The attempt has ended; the module hears of it.
    fn end(&mut self, id: u64, outcome: AttemptOutcome, load_report: Option<LoadReport>) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = r.attempt.take() else { return };
        trace::attempt_ended(r.ask.client_id, &attempt, outcome, now);
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
        self.event(Event::AttemptEnded(result));
        self.tidy(id);
    }

    // ---- time ----

    fn at(&mut self, at: f64, due: Due) {
        if self.due.len() >= self.due_most {
            let mut due = std::mem::take(&mut self.due);
            due.retain(|Reverse((_, due))| self.awaited(due));
            self.due_most = DUE_LEAST.max(2 * due.len());
            self.due = due;
        }
        let at = (at * 1000.0).max(0.0) as u64;
        self.due.push(Reverse((at, due)));
        if at < self.slept_for {
            self.sooner.notify_one();
        }
    }

    fn sweep(&mut self) {
        let idle = self.conf.bounds.conn_idle * IDLE_PART;
        let now = self.now();
        self.workers.sweep(now - idle);
        if let Some((count, last)) = self.spoilt.take() {
            tracing::warn!("{count} answers could not be read, the last from {last}");
        }
        let dropped = self.control.gossip_entries_dropped();
        if dropped > self.dropped {
            let fresh = dropped - self.dropped;
            tracing::debug!("{fresh} words of notes to all meant nothing here and were passed over");
            self.dropped = dropped;
        }
        self.at(now + (idle / 8.0).clamp(50.0, 2000.0), Due::Sweep);
    }

    /// Whether something due still means anything.
    fn awaited(&self, due: &Due) -> bool {
        match due {
            Due::Timer(_) | Due::Sweep => true,
            Due::Attempt(id, number) => {
                let out = self.requests.get(id).and_then(|r| r.attempt.as_ref());
                out.is_some_and(|a| a.number == *number)
            }
            Due::Answer(id) => self.requests.get(id).is_some_and(|r| r.client.is_some()),
            Due::Consult(call) => self.outside.as_ref().is_some_and(|o| o.is_pending(*call)),
            Due::Held(id) => !self.is_serving() && self.requests.get(id).is_some_and(|r| r.pending.is_some()),
        }
    }

    /// Does what is due, and gives the time of what comes next.
    fn run_due(&mut self) -> Option<Instant> {
        loop {
            let now = (self.now() * 1000.0) as u64;
            match self.due.peek() {
                None => {
                    self.slept_for = u64::MAX;
                    return None;
                }
                // Most requests are settled long before their limits: what is void by now must not wake us.
                Some(Reverse((at, due))) if *at > now && self.awaited(due) => {
                    self.slept_for = *at;
                    return Some(self.clock.instant(*at as f64 / 1000.0));
                }
                Some(_) => {}
            }
            let Some(Reverse((_, due))) = self.due.pop() else { continue };
            if !self.awaited(&due) {
                continue;
            }
            match due {
                Due::Timer(token) => self.event(Event::Timer { token }),
                Due::Attempt(id, _) => self.give_up(id, AttemptOutcome::Timeout),
                Due::Answer(id) => {
                    self.trace_unsettled(id);
                    if let Some(r) = self.requests.get_mut(&id) {
                        r.pending = None;
                        if let Some(client) = r.client.take() {
                            client.answer(id, b"-ERR failed\r\n");
                            self.trace_answer(id, b"-ERR failed");
                        }
                    }
                    self.event(Event::ClientDisconnected { id });
                    self.tidy(id);
                }
                Due::Consult(call) => self.outside_verdict(call, Verdict::Failed),
                Due::Held(id) => self.refuse_held(id),
                Due::Sweep => self.sweep(),
            }
        }
    }

    /// The task that wakes for all timers.
    pub async fn keep_time(gatekeeper: Shared) {
        let sooner = gatekeeper.borrow().sooner.clone();
        loop {
            let next = gatekeeper.borrow_mut().run_due();
            match next {
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(at.into()) => {}
                        () = sooner.notified() => {}
                    }
                }
                None => sooner.notified().await,
            }
        }
    }
}
