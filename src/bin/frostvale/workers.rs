//! Workers: their state from the endpoint list, their connections, and the reading of their replies.
//!
//! A connection carries one attempt at a time, so that an attempt can be aborted by closing its connection.

use crate::budget::{MemoryBudget, MemoryShare};
use crate::endpoint_update::EndpointState;
use crate::resp::{self, MAX_VALUE_BYTES, Reply};
use frostvale::{Health, LoadReport, Name};
use socket2::SockRef;
use std::borrow::Cow;
use std::cell::{Cell, OnceCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum size of a reply: a value, plus room for the load report and the usage figures.
const MAX_REPLY_BYTES: usize = MAX_VALUE_BYTES + 4096;
/// Buffer capacity that a connection may keep between replies.
const RETAINED_BUFFER_BYTES: usize = 8 * 1024;

/// Estimated memory that one worker takes, here and in the decision module.
const WORKER_BYTES: usize = 2048;

/// Receives the events of connections to workers.
pub trait ReplyHandler {
    /// Called for each reply. `bytes` is the buffer that `reply` refers to; `clean` is false if further bytes
    /// followed the reply.
    fn reply_received(&self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool);
    /// Called when the peer or a read has ended the connection. `read_error` says what was wrong with the
    /// bytes, if that was the reason.
    fn connection_closed(&self, conn: &Rc<Conn>, read_error: Option<&'static str>);
}

/// A connection to a worker.
pub struct Conn {
    pub stream: TcpStream,
    pub worker: Name,
    /// The [`Worker::incarnation`] for which it was opened.
    pub incarnation: u64,
    /// Id of the request whose attempt it carries.
    pub current_request: Cell<Option<u64>>,
    /// Whether the last byte of the command has been written: before that the worker cannot have run it.
    pub is_written: Cell<bool>,
    /// When it last became idle, in ms of the clock.
    pub idle_since: Cell<f64>,
    /// Its key in `Workers::idle_by_age`, while it is idle.
    idle_key: Cell<IdleKey>,
    task: OnceCell<AbortHandle>,
    read_memory: MemoryShare,
    _permit: ConnectionPermit,
}

/// Sort key of idle connections: since when, in microseconds, and a unique number. Keys are never reused.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey(u64, u64);

impl IdleKey {
    fn new(since_ms: f64, number: u64) -> IdleKey {
        IdleKey((since_ms * 1000.0).max(0.0) as u64, number)
    }
}

/// Permit for one file descriptor, held from before the connect until the socket is closed.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Conn {
    /// Wraps a connected stream.
    pub fn new(
        stream: TcpStream,
        worker: Name,
        incarnation: u64,
        permit: ConnectionPermit,
        read_memory: MemoryShare,
    ) -> Rc<Conn> {
        // Without it small commands wait for acknowledgements. Errors are ignored: a socket that fails here
        // fails again on its first use.
        let _ = stream.set_nodelay(true);
        Rc::new(Conn {
            stream,
            worker,
            incarnation,
            current_request: Cell::new(None),
            is_written: Cell::new(false),
            idle_since: Cell::new(0.0),
            idle_key: Cell::default(),
            task: OnceCell::new(),
            read_memory,
            _permit: permit,
        })
    }

    /// Closes the connection with a TCP reset, to abort the attempt that it carries: the part of the command
    /// that the kernel still holds is not sent any more.
    pub fn abort(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        self.close();
    }

    /// Shuts the connection down at once: the peer sees the end before any further action, and no late reply
    /// is read.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    /// Whether the worker has closed the connection or sent unsolicited bytes. This checks the socket itself,
    /// since the runtime may not have seen that yet.
    pub fn is_stale(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Spawns a task that reads replies until the connection ends.
    pub fn spawn_reader(self: &Rc<Conn>, handler: Rc<dyn ReplyHandler>) {
        let conn = self.clone();
        let task = tokio::task::spawn_local(async move {
            let read_error = conn.read_replies(&*handler).await;
            handler.connection_closed(&conn, read_error);
        });
        let _ = self.task.set(task.abort_handle());
    }

    /// Reads replies until the connection ends. Returns what was wrong with the bytes, if that was the
    /// reason.
    async fn read_replies(self: &Rc<Conn>, handler: &dyn ReplyHandler) -> Option<&'static str> {
        let mut bytes: Vec<u8> = Vec::new();
        loop {
            self.stream.readable().await.ok()?;
            bytes.reserve(1024);
            match self.stream.try_read_buf(&mut bytes) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => return None,
            }
            self.current_request.get()?;
            if !self.read_memory.update(bytes.capacity(), RETAINED_BUFFER_BYTES) {
                return Some("reply does not fit into the memory left for unfinished replies");
            }
            match resp::reply(&bytes) {
                Ok(None) if bytes.len() > MAX_REPLY_BYTES => return Some("reply exceeds the size limit"),
                Ok(None) => {}
                Ok(Some((reply, len))) => {
                    // Further bytes belong to no request and must not be taken for the reply to the next one.
                    let clean = len == bytes.len();
                    handler.reply_received(self, reply, &bytes, clean);
                    if !clean {
                        return None;
                    }
                    bytes.clear();
                    if bytes.capacity() > RETAINED_BUFFER_BYTES {
                        bytes = Vec::new();
                        self.read_memory.update(0, 0);
                    }
                }
                Err(error) => return Some(error.0),
            }
        }
    }

    /// Writes the rest of a command that the socket did not accept at once.
    pub async fn write_rest(&self, rest: &[u8]) -> io::Result<()> {
        let mut at = 0;
        while at < rest.len() {
            self.stream.writable().await?;
            match self.stream.try_write(&rest[at..]) {
                Ok(n) => at += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// A worker with its state from the endpoint list and its idle connections.
pub struct Worker {
    state: EndpointState,
    /// Unique number, new with each restart, each new address and each return to the list. Connections of an
    /// earlier incarnation must not be used.
    pub incarnation: u64,
    idle: Vec<Rc<Conn>>,
}

impl Worker {
    /// The address on which it listens, if it accepts requests.
    pub fn serving_address(&self) -> Option<SocketAddr> {
        (self.state.health == Health::Up).then_some(self.state.address)
    }
}

/// The new state of one worker.
pub struct EndpointChange {
    pub name: Name,
    pub state: EndpointState,
}

/// Side effects of applying an update.
#[derive(Default)]
pub struct UpdateEffect {
    /// Workers that have restarted.
    pub restarted: HashSet<Name>,
    /// Workers that were removed because their address now belongs to another one, which did not start
    /// earlier.
    pub replaced: HashSet<Name>,
}

/// All listed workers, by name and by address, and their idle connections.
///
/// Looking up a worker and changing one cost O(1). Taking, releasing or evicting an idle connection costs
/// O(log c) with c idle connections, plus a scan of the idle connections of that worker.
pub struct Workers {
    by_name: HashMap<Name, Worker>,
    by_address: HashMap<SocketAddr, Vec<Name>>,
    /// All idle connections, the one that has been idle for the longest first.
    idle_by_age: BTreeMap<IdleKey, Rc<Conn>>,
    last_idle_number: u64,
    last_incarnation: u64,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    max_workers: usize,
    read_budget: MemoryBudget,
}

impl Workers {
    /// Creates an empty table. `max_connections` limits the connections to all workers together,
    /// `budget_bytes` the memory for replies that have been read only in part, and, as a second budget of
    /// twice the size, that for the workers themselves.
    pub fn new(max_connections: usize, budget_bytes: usize) -> Workers {
        Workers {
            by_name: HashMap::new(),
            by_address: HashMap::new(),
            idle_by_age: BTreeMap::new(),
            last_idle_number: 0,
            last_incarnation: 0,
            open_connections: Rc::default(),
            max_connections,
            max_workers: 2 * budget_bytes / WORKER_BYTES,
            read_budget: MemoryBudget::new(budget_bytes),
        }
    }

    /// Returns a new share of the memory limit, for one connection.
    pub fn read_share(&self) -> MemoryShare {
        self.read_budget.new_share()
    }

    /// Returns the worker with this name.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.by_name.get(name)
    }

    /// Whether a worker that an update names is known, or there is room for it. `named` is the number of other
    /// workers that the update names, and `is_whole` tells whether it names all.
    pub fn has_room_for(&self, name: &str, named: usize, is_whole: bool) -> bool {
        let others = if is_whole { named } else { self.by_name.len() + named };
        others < self.max_workers || self.by_name.contains_key(name)
    }

    /// Whether this state differs from the known one. A start time earlier than the known one is no
    /// difference.
    pub fn would_change(&self, name: &str, state: &EndpointState) -> bool {
        let known = self.by_name.get(name).map(|worker| &worker.state);
        known.is_none_or(|known| {
            *known != EndpointState { boot_ms: state.boot_ms.max(known.boot_ms), ..*state }
        })
    }

    /// Returns the workers that are not in `named`. Costs O(n) with n workers.
    pub fn absent_from(&self, named: &HashSet<Cow<str>>) -> Vec<Name> {
        self.by_name.keys().filter(|name| !named.contains(name.as_ref())).cloned().collect()
    }

    /// Applies changes and removes workers that are no longer listed. Costs O(k) with k changed and removed
    /// workers.
    pub fn apply(&mut self, changes: &[EndpointChange], absent: &[Name]) -> UpdateEffect {
        let mut effect = UpdateEffect::default();
        for name in absent {
            self.remove(name);
        }
        let mut newly_placed = Vec::new();
        for change in changes {
            if change.state.health == Health::Gone {
                let known = self.by_name.get(&change.name);
                if known.is_some_and(|worker| change.state.boot_ms > worker.state.boot_ms) {
                    effect.restarted.insert(change.name.clone());
                }
                self.remove(&change.name);
                continue;
            }
            if self.apply_one(change, &mut effect) && change.state.health == Health::Up {
                newly_placed.push(&change.name);
            }
        }
        // Of two workers with the same start time the one that is listed last gets the address.
        for name in newly_placed.into_iter().rev() {
            self.replace_others_at_address_of(name, &mut effect);
        }
        effect
    }

    /// Applies one change. Returns whether the worker is at an address at which it was not before.
    fn apply_one(&mut self, change: &EndpointChange, effect: &mut UpdateEffect) -> bool {
        let EndpointChange { name, state } = change;
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let Some(worker) = self.by_name.get_mut(name) else {
            self.by_name.insert(name.clone(), Worker { state: *state, incarnation, idle: Vec::new() });
            self.by_address.entry(state.address).or_default().push(name.clone());
            return true;
        };
        let before = worker.state;
        let (moved, restarted) = (before.address != state.address, state.boot_ms > before.boot_ms);
        // The latest start time is kept, so that a list with an old start time followed by one with the known
        // time does not count as a restart.
        worker.state = EndpointState { boot_ms: before.boot_ms.max(state.boot_ms), ..*state };
        if moved || restarted {
            worker.incarnation = incarnation;
        }
        if moved || restarted || state.health != Health::Up {
            self.close_idle_connections(name);
        }
        // After a change of address alone the old process may still answer the requests that it has.
        if restarted {
            effect.restarted.insert(name.clone());
        }
        if moved {
            self.remove_from_address(name, before.address);
            self.by_address.entry(state.address).or_default().push(name.clone());
        }
        moved
    }

    /// Removes the other workers at the address of a worker that accepts requests, except those that started
    /// later.
    fn replace_others_at_address_of(&mut self, name: &Name, effect: &mut UpdateEffect) {
        let Some(owner) = self.by_name.get(name).filter(|w| w.state.health == Health::Up) else { return };
        let EndpointState { address, boot_ms, .. } = owner.state;
        let names_at_address = self.by_address.get(&address).into_iter().flatten();
        let older = |other: &&Name| {
            *other != name && self.by_name.get(*other).is_some_and(|w| w.state.boot_ms <= boot_ms)
        };
        let replaced: Vec<Name> = names_at_address.filter(older).cloned().collect();
        for name in replaced {
            self.remove(&name);
            effect.replaced.insert(name);
        }
    }

    fn remove(&mut self, name: &Name) {
        self.close_idle_connections(name);
        if let Some(worker) = self.by_name.remove(name) {
            self.remove_from_address(name, worker.state.address);
        }
    }

    fn remove_from_address(&mut self, name: &Name, address: SocketAddr) {
        let Some(names) = self.by_address.get_mut(&address) else { return };
        names.retain(|other| other != name);
        if names.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Closes a worker's idle connections.
    fn close_idle_connections(&mut self, name: &Name) {
        let Some(worker) = self.by_name.get_mut(name) else { return };
        for conn in worker.idle.drain(..) {
            self.idle_by_age.remove(&conn.idle_key.get());
            conn.close();
        }
    }

    /// Takes an idle connection that is still usable and has been idle since `idle_before` or earlier. Of
    /// these it takes the one used last, so that the others can time out.
    pub fn take_idle(&mut self, name: &str, idle_before: f64) -> Option<Rc<Conn>> {
        let idle = &mut self.by_name.get_mut(name)?.idle;
        while let Some(at) = idle.iter().rposition(|conn| conn.idle_since.get() <= idle_before) {
            let conn = idle.remove(at);
            self.idle_by_age.remove(&conn.idle_key.get());
            if !conn.is_stale() {
                return Some(conn);
            }
            conn.close();
        }
        None
    }

    /// Makes a connection idle, or closes it if its worker does not accept requests any more or has
    /// restarted.
    pub fn release(&mut self, conn: &Rc<Conn>, now: f64) {
        conn.current_request.set(None);
        conn.idle_since.set(now);
        match self.by_name.get_mut(&conn.worker) {
            Some(w) if w.state.health == Health::Up && w.incarnation == conn.incarnation => {
                self.last_idle_number += 1;
                conn.idle_key.set(IdleKey::new(now, self.last_idle_number));
                self.idle_by_age.insert(conn.idle_key.get(), conn.clone());
                w.idle.push(conn.clone());
            }
            _ => conn.close(),
        }
    }

    /// Returns a permit for one more connection. At the limit the connection that has been idle for the
    /// longest, to any worker, is closed; without an idle connection the result is `None`.
    pub fn acquire_permit(&mut self) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.max_connections {
            let (_, oldest) = self.idle_by_age.pop_first()?;
            self.remove_connection(&oldest);
            oldest.close();
        }
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionPermit(self.open_connections.clone()))
    }

    /// Removes a connection from the idle ones.
    pub fn remove_connection(&mut self, conn: &Rc<Conn>) {
        self.idle_by_age.remove(&conn.idle_key.get());
        if let Some(worker) = self.by_name.get_mut(&conn.worker) {
            worker.idle.retain(|c| !Rc::ptr_eq(c, conn));
        }
    }

    /// Closes connections that have been idle since before this time. Workers close idle connections too, and
    /// a request sent at that moment ends in a reset.
    pub fn close_idle_since_before(&mut self, before: f64) {
        while let Some(oldest) = self.idle_by_age.first_entry().filter(|e| e.get().idle_since.get() < before)
        {
            let conn = oldest.remove();
            self.remove_connection(&conn);
            conn.close();
        }
    }
}

/// A decoded error line.
pub enum ErrorReply {
    /// The worker rejected the request without running it. Only this exact word, with or without a load
    /// report, means that.
    Busy(Option<LoadReport>),
    /// The worker reported a failure, with a text of its own.
    Failed(Option<LoadReport>),
    /// Any other line; workers do not write such lines.
    Other,
}

/// Parses an error line, given without its leading `-` and its line end.
pub fn parse_error_line(line: &[u8]) -> ErrorReply {
    let mut words = line.split(|b| *b == b' ');
    let first = words.next().unwrap_or_default();
    let last = words.next_back();
    match (first, last.map(parse_load_report), words.next().is_some()) {
        (b"BUSY", None, _) => ErrorReply::Busy(None),
        (b"BUSY", Some(Some(report)), false) => ErrorReply::Busy(Some(report)),
        (b"ERR", report, _) => ErrorReply::Failed(report.flatten()),
        _ => ErrorReply::Other,
    }
}

/// Parses a load report: `name=value` pairs, with names as in the settings' `LoadReport.Columns` or in the
/// protocol's short form. Pairs that cannot be read are skipped; without a readable pair the result is
/// `None`.
pub fn parse_load_report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in std::str::from_utf8(text).ok()?.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let value = value.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        match name {
            "outstanding" | "inflight" => report.in_flight = value,
            "utilization" | "util" => report.cpu_utilization = value,
            "throughput" | "qps" => report.requests_per_second = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

#[cfg(test)]
mod tests;
