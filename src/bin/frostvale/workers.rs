//! Workers: what the list says of each, their pooled connections, and the reading of answers.
//! A connection carries one attempt at a time, so that giving up one can close it.

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

/// A whole answer: a value, and a little for the report and the figures on use.
const MAX_REPLY_BYTES: usize = MAX_VALUE_BYTES + 4096;
/// Room that a connection keeps between answers.
const RETAINED_BUFFER_BYTES: usize = 8 * 1024;

/// Who hears what comes on the connections.
pub trait ReplyHandler {
    /// A worker answered. `clean`: with nothing behind it.
    fn reply_received(&self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool);
    /// A connection has ended, perhaps over bytes that are no answer.
    fn connection_closed(&self, conn: &Rc<Conn>, read_error: Option<&'static str>);
}

/// A connection to a worker.
pub struct Conn {
    pub stream: TcpStream,
    pub worker: Name,
    /// The life of the worker it was made in.
    pub incarnation: u64,
    /// The request whose attempt it carries.
    pub current_request: Cell<Option<u64>>,
    /// Whether the attempt's last byte is written: before that it surely never ran.
    pub is_written: Cell<bool>,
    pub idle_since: Cell<f64>,
    /// Its place among the connections at rest, as long as it is one of them.
    idle_key: Cell<IdleKey>,
    task: OnceCell<AbortHandle>,
    read_memory: MemoryShare,
    _permit: ConnectionPermit,
}

/// The order of connections at rest: since when, in microseconds, and a number of its own. Never used twice.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey(u64, u64);

impl IdleKey {
    fn new(since_ms: f64, number: u64) -> IdleKey {
        IdleKey((since_ms * 1000.0).max(0.0) as u64, number)
    }
}

/// A descriptor's place: counted from before the connect until the connection is really closed.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Conn {
    pub fn new(
        stream: TcpStream,
        worker: Name,
        incarnation: u64,
        permit: ConnectionPermit,
        read_memory: MemoryShare,
    ) -> Rc<Conn> {
        // Without it small commands wait for acknowledgements; a socket that fails here fails again soon.
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

    /// Gives up the attempt that it carries. What the kernel still holds of the command is not to go out any more, so
    /// that the worker is reset instead of hearing the rest.
    pub fn abort(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        self.close();
    }

    /// Ends it at once: the peer sees the end before anything else is decided, and no late answer is read.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    /// Whether the worker has closed it, or sent what nobody asked for. The runtime may not have seen that
    /// yet, so the socket itself is asked.
    pub fn is_stale(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Reads answers until the connection ends.
    pub fn spawn_reader(self: &Rc<Conn>, handler: Rc<dyn ReplyHandler>) {
        let conn = self.clone();
        let task = tokio::task::spawn_local(async move {
            let read_error = conn.read_replies(&*handler).await;
            handler.connection_closed(&conn, read_error);
        });
        let _ = self.task.set(task.abort_handle());
    }

    /// Gives what was wrong with the bytes, if that is why it ended.
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
                    // What follows belongs to no request: the next one must not be given it.
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

    /// Writes the rest of a command that the socket did not take at once.
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

/// What the list says of a worker, and the connections to it that wait.
pub struct Worker {
    state: EndpointState,
    /// New with each restart, each new address and each return to the list, and never used twice: connections of an
    /// earlier life are of no use.
    pub incarnation: u64,
    idle: Vec<Rc<Conn>>,
}

impl Worker {
    /// Where it listens, if it takes requests.
    pub fn serving_address(&self) -> Option<SocketAddr> {
        (self.state.health == Health::Up).then_some(self.state.address)
    }
}

/// What an update says of one worker.
pub struct EndpointChange {
    pub name: Name,
    pub state: EndpointState,
}

/// What applying an update has brought beside.
#[derive(Default)]
pub struct UpdateEffect {
    /// Workers whose former life has ended.
    pub restarted: HashSet<Name>,
    /// Workers whose address is now that of another one, which started later.
    pub replaced: HashSet<Name>,
}

/// All workers that the list has named, by name and by address, and the connections to them.
///
/// Finding a worker or its connection, and a change of one worker, cost O(1); room for a connection O(log c) with c of them
/// at rest.
pub struct Workers {
    by_name: HashMap<Name, Worker>,
    by_address: HashMap<SocketAddr, Vec<Name>>,
    /// Connections at rest, the one that has rested for the longest first.
    idle_by_age: BTreeMap<IdleKey, Rc<Conn>>,
    last_idle_number: u64,
    last_incarnation: u64,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    read_budget: MemoryBudget,
}

impl Workers {
    /// `most` bounds the connections to all of them together, `memory` what has been read on them of answers
    /// that are not whole yet.
    pub fn new(max_connections: usize, max_read_bytes: usize) -> Workers {
        Workers {
            by_name: HashMap::new(),
            by_address: HashMap::new(),
            idle_by_age: BTreeMap::new(),
            last_idle_number: 0,
            last_incarnation: 0,
            open_connections: Rc::default(),
            max_connections,
            read_budget: MemoryBudget::new(max_read_bytes),
        }
    }

    /// A new connection's share of the memory.
    pub fn read_share(&self) -> MemoryShare {
        self.read_budget.new_share()
    }

    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.by_name.get(name)
    }

    /// Whether this says anything new of a worker. A start earlier than the one known is nothing new.
    pub fn would_change(&self, name: &str, state: &EndpointState) -> bool {
        let known = self.by_name.get(name).map(|worker| &worker.state);
        known.is_none_or(|known| {
            *known != EndpointState { boot_ms: state.boot_ms.max(known.boot_ms), ..*state }
        })
    }

    /// Workers that are not among these. O(n) of all workers.
    pub fn absent_from(&self, named: &HashSet<Cow<str>>) -> Vec<Name> {
        self.by_name.keys().filter(|name| !named.contains(name.as_ref())).cloned().collect()
    }

    /// Takes changes into effect, and workers that are not listed any more. O(k) with k of them.
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
        // Of two that say nothing of their age the one told last has the address.
        for name in newly_placed.into_iter().rev() {
            self.replace_others_at_address_of(name, &mut effect);
        }
        effect
    }

    /// Gives whether it is at an address where it was not before.
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
        // A list that goes back in time ends no life once more when it comes forward again.
        worker.state = EndpointState { boot_ms: before.boot_ms.max(state.boot_ms), ..*state };
        if moved || restarted {
            worker.incarnation = incarnation;
        }
        if moved || restarted || state.health != Health::Up {
            self.close_idle_connections(name);
        }
        // At a new address alone the old process may still answer what it has.
        if restarted {
            effect.restarted.insert(name.clone());
        }
        if moved {
            self.remove_from_address(name, before.address);
            self.by_address.entry(state.address).or_default().push(name.clone());
        }
        moved
    }

    /// A worker that takes requests has its address for itself, but for one that started later.
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

    /// Closes a worker's connections at rest.
    fn close_idle_connections(&mut self, name: &Name) {
        let Some(worker) = self.by_name.get_mut(name) else { return };
        for conn in worker.idle.drain(..) {
            self.idle_by_age.remove(&conn.idle_key.get());
            conn.close();
        }
    }

    /// A pooled connection that is still good and has rested since before this time: of these the one used
    /// last, so that the others can grow old.
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

    /// Keeps a connection for later, unless its worker is to get nothing more or has restarted.
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

    /// A place for one more connection. At the limit the longest idle one of any worker makes room.
    pub fn acquire_permit(&mut self) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.max_connections {
            let (_, oldest) = self.idle_by_age.pop_first()?;
            self.remove_connection(&oldest);
            oldest.close();
        }
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionPermit(self.open_connections.clone()))
    }

    /// Forgets a connection that has ended.
    pub fn remove_connection(&mut self, conn: &Rc<Conn>) {
        self.idle_by_age.remove(&conn.idle_key.get());
        if let Some(worker) = self.by_name.get_mut(&conn.worker) {
            worker.idle.retain(|c| !Rc::ptr_eq(c, conn));
        }
    }

    /// Closes what has stood idle since before this time: a worker closes it too, and a request that
    /// crosses that is a reset.
    pub fn close_idle_since_before(&mut self, before: f64) {
        while let Some(oldest) = self.idle_by_age.first_entry().filter(|e| e.get().idle_since.get() < before)
        {
            let conn = oldest.remove();
            self.remove_connection(&conn);
            conn.close();
        }
    }
}

/// What an error line says.
pub enum ErrorReply {
    /// Turned away unseen: only this exact word, with a report or none, means that it never ran.
    Busy(Option<LoadReport>),
    /// A failure in the worker's own words.
    Failed(Option<LoadReport>),
    /// No line that a worker writes.
    Other,
}

/// Reads an error line, without its sign and end.
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

/// A load report: names, as the settings' `LoadReport.Columns` has them or in the protocol's short form, and figures.
/// What can't be read is passed over.
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
