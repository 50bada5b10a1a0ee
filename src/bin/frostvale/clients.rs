//! The clients' listener and the table of their connections, which bounds their number, closes idle ones and
//! makes room for new ones. The handling of a single connection is in `client`.

use crate::budget::MemoryBudget;
use crate::client::{Client, ConnectionState};
use crate::fair_share::{FairShare, Source};
use crate::gatekeeper::Shared;
use crate::receive_time::ReceiveTimes;
use crate::run_queue::RunQueue;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{unconstrained, yield_now};
use tokio::time::{sleep, timeout};

/// Idle limit of a connection.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Idle limit of a connection while the table is more than half full.
const BUSY_IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Interval between two checks of the connections' time limits.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a full table, or the listener's queue while descriptors have run out, is checked again.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum age at which a connection without a command may be evicted: its first command may still be on its
/// way.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(200);
/// The table's size divided by this is how many connections may linger half-closed in addition to a full
/// table.
const LINGERING_SHARE_DIVISOR: usize = 8;

/// The table of all clients' connections.
pub struct Clients {
    all: RefCell<HashMap<u64, Rc<Client>>>,
    max_clients: usize,
    /// Lifecycle state that a new connection starts in.
    initial_state: Cell<ConnectionState>,
    /// Notified when a connection becomes half-closed and when it is removed.
    slot_freed: Rc<Notify>,
    reading: MemoryBudget,
    unread: MemoryBudget,
    receive_times: Rc<ReceiveTimes>,
    fair_share: Rc<FairShare>,
    /// The listener's queue, as a source of work.
    accepting: Source,
}

impl Clients {
    /// Creates an empty table for `max_clients` connections. `memory` (bytes) limits what all connections
    /// together hold of incomplete commands, and, as a second budget of the same size, of answers that the
    /// clients have not read.
    pub fn new(
        max_clients: usize,
        memory: usize,
        run_queue: Arc<RunQueue>,
        fair_share: &Rc<FairShare>,
    ) -> Rc<Clients> {
        let (reading, unread) = (MemoryBudget::new(memory), MemoryBudget::new(memory));
        let initial_state = Cell::new(ConnectionState::Open);
        let (slot_freed, receive_times) = (Rc::default(), Rc::new(ReceiveTimes::open(run_queue)));
        let accepting = fair_share.add_source();
        Rc::new(Clients {
            all: RefCell::default(),
            max_clients,
            initial_state,
            slot_freed,
            reading,
            unread,
            receive_times,
            fair_share: fair_share.clone(),
            accepting,
        })
    }

    /// Runs the task that closes connections whose time limits have passed.
    pub async fn run_timeout_checks(self: Rc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            let all = self.all.borrow();
            let idle_limit = if all.len() > self.max_clients / 2 { BUSY_IDLE_LIMIT } else { IDLE_LIMIT };
            let now = Instant::now();
            all.values().for_each(|client| client.check_timeouts(now, idle_limit));
        }
    }

    /// Waits until no connection is left.
    pub async fn wait_until_empty(&self) {
        while !self.all.borrow().is_empty() {
            self.slot_freed.notified().await;
        }
    }

    /// Advances all connections to `state`, and lets new ones start in it.
    pub fn advance_all_to(&self, state: ConnectionState) {
        self.initial_state.set(state);
        self.all.borrow().values().for_each(|client| client.advance_to(state));
    }

    /// Counts the connections that the gatekeeper has not yet closed on its side.
    fn count_open(&self) -> usize {
        self.all.borrow().values().filter(|c| c.state() < ConnectionState::HalfClosed).count()
    }

    /// Closes the half-closed connections that have lingered longest, until at most `limit` remain.
    /// Descriptors are set aside for them in addition to the table's, so no new connection has to wait for
    /// one of them.
    fn trim_lingering(&self, limit: usize) {
        let all = self.all.borrow();
        let is_lingering = |c: &&Rc<Client>| c.state() == ConnectionState::HalfClosed;
        let excess = all.values().filter(is_lingering).count().saturating_sub(limit);
        if excess == 0 {
            return;
        }
        let mut lingering: Vec<_> = all.values().filter(is_lingering).collect();
        lingering.sort_by_key(|c| c.last_used());
        lingering.into_iter().take(excess).for_each(|c| c.advance_to(ConnectionState::Closed));
    }

    /// Closes the connection that has been idle the longest. Where connections that never sent a command hold
    /// more than half of the table, only one of those is closed; a smaller number may be connection pools
    /// that are opened ahead of use.
    fn evict(&self) {
        let (all, now) = (self.all.borrow(), Instant::now());
        let mostly_unused = all.values().filter(|c| !c.has_sent_command()).count() > self.max_clients / 2;
        let is_evictable = |c: &Client| match c.has_sent_command() {
            true => !mostly_unused,
            false => now.saturating_duration_since(c.last_used()) >= MIN_EVICTION_AGE,
        };
        let idle = all.values().filter(|c| c.is_idle() && is_evictable(c));
        if let Some(client) = idle.min_by_key(|c| c.last_used()) {
            client.advance_to(ConnectionState::ClosingIdle);
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener, gatekeeper: Shared) {
        let mut has_warned = false;
        loop {
            while self.all.borrow().len() >= self.max_clients && self.count_open() >= self.max_clients {
                self.evict();
                // If all connections are in use, one may become idle without any notification.
                let _ = timeout(FULL_RETRY_INTERVAL, self.slot_freed.notified()).await;
            }
            self.trim_lingering(self.max_clients / LINGERING_SHARE_DIVISOR);
            match listener.accept().await {
                Ok((stream, _)) => {
                    has_warned = false;
                    let started_at = Instant::now();
                    self.admit(stream, &gatekeeper);
                    self.accepting.pay_since(started_at).await;
                }
                // Most likely the descriptors have run out: makes room, and does not spin while there is
                // none.
                Err(e) => {
                    if !std::mem::replace(&mut has_warned, true) {
                        tracing::warn!("cannot accept a connection: {e}");
                    }
                    self.trim_lingering(0);
                    self.evict();
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Accepts what is still in the listener's queue, whether or not the table has room: the kernel has
    /// already accepted these connections and the data sent on them, and would reset them when the listener
    /// closes. While no descriptor is free it waits for other connections to end.
    pub async fn accept_rest(self: &Rc<Self>, listener: &TcpListener, gatekeeper: &Shared) {
        let mut has_yielded = false;
        loop {
            // Runs without tokio's cooperative budget, whatever the length of the queue: the queue would look
            // empty once the budget is spent.
            let accepted = unconstrained(poll_fn(|cx| Poll::Ready(listener.poll_accept(cx)))).await;
            match accepted {
                Poll::Ready(Ok((stream, _))) => self.admit(stream, gatekeeper),
                Poll::Ready(Err(_)) if !self.all.borrow().is_empty() => {
                    self.trim_lingering(0);
                    sleep(FULL_RETRY_INTERVAL).await;
                }
                // The runtime has not been informed of connections that arrived since it last polled the
                // kernel.
                Poll::Pending if !std::mem::replace(&mut has_yielded, true) => yield_now().await,
                _ => return,
            }
        }
    }

    /// Adds an accepted connection to the table and spawns the task that serves it.
    fn admit(self: &Rc<Self>, stream: TcpStream, gatekeeper: &Shared) {
        let number = gatekeeper.borrow_mut().next_id();
        let client = Rc::new(Client::new(
            number,
            stream,
            self.reading.new_share(),
            self.unread.new_share(),
            self.slot_freed.clone(),
            self.receive_times.clone(),
            self.fair_share.add_source(),
        ));
        client.advance_to(self.initial_state.get());
        self.all.borrow_mut().insert(number, client.clone());
        let (clients, gatekeeper) = (self.clone(), gatekeeper.clone());
        tokio::task::spawn_local(async move {
            client.serve(&gatekeeper).await;
            for id in client.take_pending() {
                gatekeeper.borrow_mut().client_disconnected(id);
            }
            let summary = client.summary();
            tracing::debug!(connection = number, queued_slices = summary.queued_slices, "connection ended");
            gatekeeper.borrow_mut().metrics.connection_ended(&summary);
            clients.all.borrow_mut().remove(&number);
            drop(client);
            clients.slot_freed.notify_one();
        });
    }
}
