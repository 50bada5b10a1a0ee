//! Clients: the listener, and the table of their connections. What one connection does is in `client`.

use crate::budget::MemoryBudget;
use crate::client::{Client, ConnectionState};
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

/// One that asks nothing more is closed after this time; after the shorter one while the table is half full.
const IDLE_MOST: Duration = Duration::from_secs(20);
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// How often connections' times are looked at.
const LOOK: Duration = Duration::from_millis(200);
/// With no room and nobody to make any, a new connection is looked for again after this time.
const FULL: Duration = Duration::from_millis(20);
/// One that has only just come gets so long to say something before its room is wanted: its command may still be on its way.
const FRESH: Duration = Duration::from_millis(200);
/// Beside a full table one connection in so many may still linger after our end of it.
const LINGERING_PART: usize = 8;

/// All clients' connections.
pub struct Clients {
    all: RefCell<HashMap<u64, Rc<Client>>>,
    most: usize,
    /// What a connection's life begins as.
    begins: Cell<ConnectionState>,
    /// Told when a connection has ended on our side, and when it is gone.
    room: Rc<Notify>,
    reading: MemoryBudget,
    unread: MemoryBudget,
    receive_times: Rc<ReceiveTimes>,
}

impl Clients {
    /// `memory` bounds what all connections together have read of commands not whole yet, and as much again
    /// what of answers they do not take.
    pub fn new(most: usize, memory: usize, run_queue: Arc<RunQueue>) -> Rc<Clients> {
        let (reading, unread) = (MemoryBudget::new(memory), MemoryBudget::new(memory));
        let begins = Cell::new(ConnectionState::Open);
        let (room, receive_times) = (Rc::default(), Rc::new(ReceiveTimes::open(run_queue)));
        Rc::new(Clients { all: RefCell::default(), most, begins, room, reading, unread, receive_times })
    }

    /// The task that ends connections whose time is up.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let all = self.all.borrow();
            let rest = if all.len() > self.most / 2 { IDLE_LEAST } else { IDLE_MOST };
            let now = Instant::now();
            all.values().for_each(|client| client.check_timeouts(now, rest));
        }
    }

    /// Waits until no connection is left.
    pub async fn wait_until_empty(&self) {
        while !self.all.borrow().is_empty() {
            self.room.notified().await;
        }
    }

    /// Moves all connections on to this, also those that still come.
    pub fn advance_all_to(&self, life: ConnectionState) {
        self.begins.set(life);
        self.all.borrow().values().for_each(|client| client.advance_to(life));
    }

    /// How many have not yet ended on our side.
    fn held(&self) -> usize {
        self.all.borrow().values().filter(|c| c.state() < ConnectionState::HalfClosed).count()
    }

    /// Of those that linger, ends the ones that have for the longest, down to a part of the table. They have the
    /// descriptors for it beside, so that nobody who comes waits for one to go.
    fn cut_lingering(&self, most: usize) {
        let all = self.all.borrow();
        let mut lingering: Vec<_> =
            all.values().filter(|c| c.state() == ConnectionState::HalfClosed).collect();
        lingering.sort_by_key(|c| c.last_used());
        let over = lingering.len().saturating_sub(most);
        lingering.into_iter().take(over).for_each(|c| c.advance_to(ConnectionState::Over));
    }

    /// Has the connection closed that has been between requests the longest: only one that never spoke where those
    /// hold over half of the table. Fewer of them may be pools that are opened ahead, and say nothing yet.
    fn evict(&self) {
        let (all, now) = (self.all.borrow(), Instant::now());
        let flood = all.values().filter(|c| !c.has_sent_command()).count() > self.most / 2;
        let gives_way = |c: &Client| match c.has_sent_command() {
            true => !flood,
            false => now.saturating_duration_since(c.last_used()) >= FRESH,
        };
        let resting = all.values().filter(|c| c.is_resting() && gives_way(c));
        if let Some(client) = resting.min_by_key(|c| c.last_used()) {
            client.advance_to(ConnectionState::Resting);
        }
    }

    /// Takes in connections until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener, gatekeeper: Shared) {
        let mut complained = false;
        loop {
            while self.all.borrow().len() >= self.most && self.held() >= self.most {
                self.evict();
                // Where all are in use, one may fall idle without leaving.
                let _ = timeout(FULL, self.room.notified()).await;
            }
            self.cut_lingering(self.most / LINGERING_PART);
            match listener.accept().await {
                Ok((stream, _)) => {
                    complained = false;
                    self.admit(stream, &gatekeeper);
                }
                // Out of descriptors, most likely: make room, and don't spin while there is none.
                Err(e) => {
                    if !std::mem::replace(&mut complained, true) {
                        tracing::warn!("cannot accept a connection: {e}");
                    }
                    self.cut_lingering(0);
                    self.evict();
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Takes in what still stands in the listener's queue, with room in the table or without: the kernel has accepted
    /// it, and what it has sent with it, and would reset it with the listener. Where descriptors have run out it waits
    /// for connections to end.
    pub async fn accept_rest(self: &Rc<Self>, listener: &TcpListener, gatekeeper: &Shared) {
        let mut looked = false;
        loop {
            // However many there are: with a budget of the runtime's the queue would look empty once that is spent.
            let accepted = unconstrained(poll_fn(|cx| Poll::Ready(listener.poll_accept(cx)))).await;
            match accepted {
                Poll::Ready(Ok((stream, _))) => self.admit(stream, gatekeeper),
                Poll::Ready(Err(_)) if !self.all.borrow().is_empty() => {
                    self.cut_lingering(0);
                    sleep(FULL).await;
                }
                // What has come since the runtime last asked the kernel is not known of yet.
                Poll::Pending if !std::mem::replace(&mut looked, true) => yield_now().await,
                _ => return,
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream, gatekeeper: &Shared) {
        let client = Rc::new(Client::new(
            stream,
            self.reading.new_share(),
            self.unread.new_share(),
            self.room.clone(),
            self.receive_times.clone(),
        ));
        client.advance_to(self.begins.get());
        let number = gatekeeper.borrow_mut().next_id();
        self.all.borrow_mut().insert(number, client.clone());
        let (clients, gatekeeper) = (self.clone(), gatekeeper.clone());
        tokio::task::spawn_local(async move {
            client.serve(&gatekeeper).await;
            for id in client.take_pending() {
                gatekeeper.borrow_mut().client_disconnected(id);
            }
            clients.all.borrow_mut().remove(&number);
            drop(client);
            clients.room.notify_one();
        });
    }
}
