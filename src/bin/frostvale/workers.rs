//! Workers: what the list says of each, their pooled connections, and the reading of answers.
//! A connection carries one attempt at a time, so that giving up one can close it.

use crate::budget::{Budget, Share};
use crate::listing::{Listed, Target};
use crate::resp::{self, Reply, VALUE_MOST};
use frostvale::{Health, Name, Report};
use socket2::SockRef;
use std::cell::{Cell, OnceCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A whole answer: a value, and a little for the report and the figures on use.
const ANSWER_MOST: usize = VALUE_MOST + 4096;
/// Room that a connection keeps between answers.
const KEPT: usize = 8 * 1024;

/// Who hears what comes on the connections.
pub trait Ear {
    /// A worker answered. `clean`: with nothing behind it.
    fn answered(&self, conn: &Rc<Conn>, reply: Reply, bytes: &[u8], clean: bool);
    /// A connection has ended, perhaps over bytes that are no answer.
    fn closed(&self, conn: &Rc<Conn>, spoilt: Option<&'static str>);
}

/// A connection to a worker.
pub struct Conn {
    pub stream: TcpStream,
    pub worker: Name,
    /// The life of the worker it was made in.
    pub life: u64,
    /// The request whose attempt it carries.
    pub busy: Cell<Option<u64>>,
    /// Whether the attempt's last byte is written: before that it surely never ran.
    pub written: Cell<bool>,
    pub idle_since: Cell<f64>,
    task: OnceCell<AbortHandle>,
    reading: Share,
    _place: Place,
}

/// A descriptor's place: counted from before the connect until the connection is really closed.
pub struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Conn {
    pub fn new(stream: TcpStream, worker: Name, life: u64, place: Place, reading: Share) -> Rc<Conn> {
        // Without it small commands wait for acknowledgements; a socket that fails here fails again soon.
        let _ = stream.set_nodelay(true);
        Rc::new(Conn {
            stream,
            worker,
            life,
            busy: Cell::new(None),
            written: Cell::new(false),
            idle_since: Cell::new(0.0),
            task: OnceCell::new(),
            reading,
            _place: place,
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
    pub fn stale(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Reads answers until the connection ends.
    pub fn listen(self: &Rc<Conn>, ear: Rc<dyn Ear>) {
        let conn = self.clone();
        let task = tokio::task::spawn_local(async move {
            let ended = conn.read(&*ear).await;
            ear.closed(&conn, ended);
        });
        let _ = self.task.set(task.abort_handle());
    }

    /// Gives what was wrong with the bytes, if that is why it ended.
    async fn read(self: &Rc<Conn>, ear: &dyn Ear) -> Option<&'static str> {
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
            self.busy.get()?;
            if !self.reading.set(bytes.capacity(), KEPT) {
                return Some("no room for so long an answer now");
            }
            match resp::reply(&bytes) {
                Ok(None) if bytes.len() > ANSWER_MOST => return Some("an answer is too long"),
                Ok(None) => {}
                Ok(Some((reply, len))) => {
                    // What follows belongs to no request: the next one must not be given it.
                    let clean = len == bytes.len();
                    ear.answered(self, reply, &bytes, clean);
                    if !clean {
                        return None;
                    }
                    bytes.clear();
                    if bytes.capacity() > KEPT {
                        bytes = Vec::new();
                        self.reading.set(0, 0);
                    }
                }
                Err(broken) => return Some(broken.0),
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
    pub address: SocketAddr,
    pub health: Health,
    /// New with each restart, each new address and each return to the list, and never used twice: connections of an
    /// earlier life are of no use.
    pub life: u64,
    boot_ms: f64,
    idle: Vec<Rc<Conn>>,
}

/// All workers that the list has named.
pub struct Workers {
    all: HashMap<Name, Worker>,
    lives: u64,
    open: Rc<Cell<usize>>,
    most: usize,
    reading: Budget,
}

impl Workers {
    /// `most` bounds the connections to all of them together, `memory` what has been read on them of answers
    /// that are not whole yet.
    pub fn new(most: usize, memory: usize) -> Workers {
        Workers { all: HashMap::new(), lives: 0, open: Rc::default(), most, reading: Budget::new(memory) }
    }

    /// A new connection's share of the memory.
    pub fn reading(&self) -> Share {
        self.reading.share()
    }

    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.all.get(name)
    }

    /// Takes the list's news. Gives the workers whose former life has ended, and those whose address is now
    /// that of another one, which started later.
    pub fn listed(&mut self, list: &Listed) -> (Vec<Name>, Vec<Name>) {
        if list.all {
            for (name, worker) in &mut self.all {
                if !list.targets.iter().any(|t| *t.uid == **name) {
                    worker.health = Health::Gone;
                }
            }
        }
        let (mut over, mut fresh_ones) = (Vec::new(), Vec::new());
        for Target { uid, endpoint, health, boot_ms, .. } in &list.targets {
            self.lives += 1;
            let life = self.lives;
            let fresh =
                || Worker { address: *endpoint, health: *health, life, boot_ms: *boot_ms, idle: Vec::new() };
            let name: Name = uid.as_str().into();
            if *health == Health::Up && self.all.get(&name).is_none_or(|w| w.address != *endpoint) {
                fresh_ones.push(name.clone());
            }
            let worker = self.all.entry(name.clone()).or_insert_with(fresh);
            if worker.address != *endpoint || *boot_ms > worker.boot_ms {
                worker.life = life;
                worker.idle.drain(..).for_each(|conn| conn.close());
            }
            // At a new address alone the old process may still answer what it has.
            if *boot_ms > worker.boot_ms {
                over.push(name);
            }
            (worker.address, worker.health) = (*endpoint, *health);
            // A list that goes back in time ends no life once more when it comes forward again.
            worker.boot_ms = worker.boot_ms.max(*boot_ms);
        }
        let mut replaced = Vec::new();
        // Of two that say nothing of their age the one told last has the address.
        for fresh in fresh_ones.into_iter().rev() {
            let owner = self.all.get(&fresh).filter(|w| w.health == Health::Up);
            let Some((address, boot_ms)) = owner.map(|w| (w.address, w.boot_ms)) else { continue };
            for (name, worker) in &mut self.all {
                let other = *name != fresh && worker.health != Health::Gone && worker.address == address;
                if other && worker.boot_ms <= boot_ms {
                    worker.health = Health::Gone;
                    replaced.push(name.clone());
                }
            }
        }
        for worker in self.all.values_mut().filter(|w| w.health != Health::Up) {
            worker.idle.drain(..).for_each(|conn| conn.close());
        }
        self.all.retain(|_, worker| worker.health != Health::Gone);
        (over, replaced)
    }

    /// A pooled connection that is still good and has rested since before this time: of these the one used
    /// last, so that the others can grow old.
    pub fn take(&mut self, name: &str, rested: f64) -> Option<Rc<Conn>> {
        let idle = &mut self.all.get_mut(name)?.idle;
        while let Some(at) = idle.iter().rposition(|conn| conn.idle_since.get() <= rested) {
            let conn = idle.remove(at);
            if !conn.stale() {
                return Some(conn);
            }
            conn.close();
        }
        None
    }

    /// Keeps a connection for later, unless its worker is to get nothing more or has restarted.
    pub fn keep(&mut self, conn: &Rc<Conn>, now: f64) {
        conn.busy.set(None);
        conn.idle_since.set(now);
        match self.all.get_mut(&conn.worker) {
            Some(w) if w.health == Health::Up && w.life == conn.life => w.idle.push(conn.clone()),
            _ => conn.close(),
        }
    }

    /// A place for one more connection. At the limit the longest idle one of any worker makes room.
    pub fn place(&mut self) -> Option<Place> {
        if self.open.get() >= self.most {
            let age = |w: &&mut Worker| w.idle.first().map_or(f64::INFINITY, |c| c.idle_since.get());
            let oldest = self.all.values_mut().min_by(|a, b| age(a).total_cmp(&age(b)));
            let oldest = oldest.filter(|w| !w.idle.is_empty())?;
            oldest.idle.remove(0).close();
        }
        self.open.set(self.open.get() + 1);
        Some(Place(self.open.clone()))
    }

    /// Forgets a connection that has ended.
    pub fn forget(&mut self, conn: &Rc<Conn>) {
        if let Some(worker) = self.all.get_mut(&conn.worker) {
            worker.idle.retain(|c| !Rc::ptr_eq(c, conn));
        }
    }

    /// Closes what has stood idle since before this time: a worker closes it too, and a request that
    /// crosses that is a reset.
    pub fn sweep(&mut self, before: f64) {
        for worker in self.all.values_mut() {
            let old = worker.idle.iter().take_while(|c| c.idle_since.get() < before).count();
            worker.idle.drain(..old).for_each(|conn| conn.close());
        }
    }
}

/// What an error line says.
pub enum Refusal {
    /// Turned away unseen: only this exact word, with a report or none, means that it never ran.
    Busy(Option<Report>),
    /// A failure in the worker's own words.
    Failed(Option<Report>),
    /// No line that a worker writes.
    Other,
}

/// Reads an error line, without its sign and end.
pub fn refusal(line: &[u8]) -> Refusal {
    let mut words = line.split(|b| *b == b' ');
    let first = words.next().unwrap_or_default();
    let last = words.next_back();
    match (first, last.map(report), words.next().is_some()) {
        (b"BUSY", None, _) => Refusal::Busy(None),
        (b"BUSY", Some(Some(report)), false) => Refusal::Busy(Some(report)),
        (b"ERR", report, _) => Refusal::Failed(report.flatten()),
        _ => Refusal::Other,
    }
}

/// A load report: names, as the settings' `LoadReport.Columns` has them or in the protocol's short form, and figures.
/// What can't be read is passed over.
pub fn report(text: &[u8]) -> Option<Report> {
    let mut report = Report::default();
    for pair in std::str::from_utf8(text).ok()?.split(',') {
        let Some((name, figure)) = pair.split_once('=') else { continue };
        let figure = figure.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        match name {
            "outstanding" | "inflight" => report.in_flight = figure,
            "utilization" | "util" => report.busy = figure,
            "throughput" | "qps" => report.served = figure,
            _ => {}
        }
    }
    (report != Report::default()).then_some(report)
}

#[cfg(test)]
mod tests;
