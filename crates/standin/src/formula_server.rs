//! A formula server: it has cores, takes time, books what it ran, and drops the repeats of a keyed mix. It can be
//! slow, fail, hang, reset, start cold, drain and come back as a new process.

use crate::resp::RespConnection;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How a server works.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Commands that run at once.
    pub cores: usize,
    /// How long one runs.
    pub work: Duration,
    /// Commands that wait for a core at the most; more are turned away.
    pub queue: usize,
    /// After a cold start it needs so long to be warm, and begins with a part of its speed.
    pub warm_within: Duration,
    /// The part of its speed that a cold one has.
    pub cold_from: f64,
    /// Repeats of a keyed mix are dropped for so long.
    pub window: Duration,
    /// Whether each command's id and key are booked: for tests. A town that runs for days does without.
    pub ids: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            cores: 2,
            work: Duration::from_millis(8),
            queue: 64,
            warm_within: Duration::from_secs(4),
            cold_from: 0.25,
            window: Duration::from_millis(2500),
            ids: true,
        }
    }
}

/// What it does wrong. All may be changed at any time.
#[derive(Debug, Default)]
pub struct ServerFaults {
    /// Times its work takes, in thousandths; 0 is as usual.
    pub slower_milli: AtomicU64,
    /// So many of a thousand commands fail.
    pub errors_milli: AtomicU64,
    /// Commands are taken and never answered.
    pub hang: AtomicBool,
    /// So many of a thousand keyed mixes do.
    pub mix_errors_milli: AtomicU64,
    /// Connections are reset once a command has come.
    pub reset: AtomicBool,
    /// All is turned away as while draining.
    pub busy: AtomicBool,
}

/// What was run.
#[derive(Debug, Default, Clone)]
pub struct ServerLedger {
    /// Commands begun, by id: how often. More than once is a second copy.
    pub runs: HashMap<String, u32>,
    /// Keyed mixes that took effect, by key: how often. More than once is a mix booked twice.
    pub mixes: HashMap<String, u32>,
    /// Commands begun, in their order.
    pub arrivals: Vec<Arrival>,
    /// Units, by shop.
    pub units: HashMap<String, f64>,
    /// Commands that it could not read.
    pub syntax: u64,
}

/// A command that came.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// When it was read.
    pub at: Instant,
    /// How long its sender waits for the answer, as the command tells.
    pub wait: Option<Duration>,
}

/// A running formula server. Ends when dropped.
pub struct FormulaServer {
    /// Its name in discovery's list.
    pub uid: String,
    /// Where it listens.
    pub at: SocketAddr,
    /// When it started, Unix time in ms; 0 for long ago.
    pub boot_ms: u64,
    /// What it does wrong.
    pub faults: Arc<ServerFaults>,
    books: Arc<Mutex<ServerLedger>>,
    state: Arc<State>,
    task: JoinHandle<()>,
    conns: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct State {
    options: ServerOptions,
    faults: Arc<ServerFaults>,
    books: Arc<Mutex<ServerLedger>>,
    /// Of the rack: when a key first ran.
    keys: Arc<Mutex<HashMap<String, Instant>>>,
    cores: Semaphore,
    waiting: AtomicU64,
    served: AtomicU64,
    connections: AtomicU64,
    begun: Instant,
    cold: bool,
    count: AtomicU64,
}

/// The keys that a rack remembers together.
pub type SharedKeys = Arc<Mutex<HashMap<String, Instant>>>;

impl FormulaServer {
    /// Starts one at a free port. `cold`: it has only now started.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(
        uid: &str,
        ip: IpAddr,
        options: ServerOptions,
        rack: SharedKeys,
        cold: bool,
    ) -> std::io::Result<FormulaServer> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let boot_ms = if cold { crate::clock::unix_ms() } else { 0 };
        let (faults, books) =
            (Arc::new(ServerFaults::default()), Arc::new(Mutex::new(ServerLedger::default())));
        let state = Arc::new(State {
            cores: Semaphore::new(options.cores),
            options,
            faults: faults.clone(),
            books: books.clone(),
            keys: rack,
            waiting: AtomicU64::new(0),
            served: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            begun: Instant::now(),
            cold,
            count: AtomicU64::new(0),
        });
        let conns: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let (all, own) = (conns.clone(), state.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                state.connections.fetch_add(1, Ordering::Relaxed);
                let conn = tokio::spawn(async move {
                    let mut conn = RespConnection::new(stream);
                    while let Ok(Some(parts)) = conn.read_command().await {
                        let Some(answer) = state.run(&parts).await else {
                            // Not answered: the connection stays, or is cut.
                            if state.faults.reset.load(Ordering::Relaxed) {
                                return;
                            }
                            continue;
                        };
                        if conn.write.write_all(&answer).await.is_err() {
                            return;
                        }
                    }
                });
                let mut all = lock(&all);
                all.retain(|c| !c.is_finished());
                all.push(conn);
            }
        });
        Ok(FormulaServer { uid: uid.to_string(), at, boot_ms, faults, books, state: own, task, conns })
    }

    /// What was run so far.
    #[must_use]
    pub fn ledger(&self) -> ServerLedger {
        lock(&self.books).clone()
    }

    /// Commands that run or wait, and those that were answered since the start.
    #[must_use]
    pub fn work_counts(&self) -> (u64, u64) {
        (self.state.waiting.load(Ordering::Relaxed), self.state.served.load(Ordering::Relaxed))
    }

    /// Connections that it has accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Ends it as a killed process does: connections break, new ones are refused.
    pub fn kill(&self) {
        self.task.abort();
        lock(&self.conns).drain(..).for_each(|c| c.abort());
    }
}

impl Drop for FormulaServer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl State {
    async fn run(&self, parts: &[Vec<u8>]) -> Option<Vec<u8>> {
        let text = |k: usize| parts.get(k).and_then(|p| std::str::from_utf8(p).ok()).unwrap_or_default();
        let name = text(0);
        if name != "Q.ASK" && name != "Q.DO" {
            return Some(b"-ERR unknown command\r\n".to_vec());
        }
        let (shop, id, fields) = (text(1), text(2), text(3));
        let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
        let units: Option<f64> = field("units").and_then(|u| u.parse().ok());
        let (Some(units), true, true) = (units, shop.len() == 16, id.len() == 16) else {
            lock(&self.books).syntax += 1;
            return Some(b"-SYNTAX\r\n".to_vec());
        };
        let options = &self.options;
        if self.faults.busy.load(Ordering::Relaxed)
            || self.waiting.load(Ordering::Relaxed) >= options.queue as u64
        {
            return Some(format!("-BUSY {}\r\n", self.report()).into_bytes());
        }
        {
            let mut books = lock(&self.books);
            if options.ids {
                *books.runs.entry(id.to_string()).or_default() += 1;
                let wait = field("d").and_then(|d| d.parse().ok()).map(Duration::from_millis);
                books.arrivals.push(Arrival { id: id.to_string(), at: Instant::now(), wait });
            }
            *books.units.entry(shop.to_string()).or_default() += units;
            if let Some(key) = field("k") {
                let mut keys = lock(&self.keys);
                let now = Instant::now();
                // Swept when it has doubled, not for each mix.
                if keys.len() >= 2 * keys.capacity() / 3 {
                    keys.retain(|_, at| now.duration_since(*at) < options.window);
                }
                let known = keys.get(key).is_some_and(|at| now.duration_since(*at) < options.window);
                if !known {
                    keys.insert(key.to_string(), now);
                }
                if !known && options.ids {
                    *books.mixes.entry(key.to_string()).or_default() += 1;
                }
            }
        }
        if self.faults.hang.load(Ordering::Relaxed) || self.faults.reset.load(Ordering::Relaxed) {
            return None;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let core = self.cores.acquire().await.ok();
        let slower = match self.faults.slower_milli.load(Ordering::Relaxed) {
            0 => 1.0,
            milli => milli as f64 / 1000.0,
        };
        sleep(options.work.mul_f64(slower / self.warmth())).await;
        drop(core);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.served.fetch_add(1, Ordering::Relaxed);
        let turn = self.count.fetch_add(1, Ordering::Relaxed);
        // Spread evenly, so that the same number of commands gives the same number of errors.
        let of_mixes = if name == "Q.DO" { self.faults.mix_errors_milli.load(Ordering::Relaxed) } else { 0 };
        let errors = self.faults.errors_milli.load(Ordering::Relaxed).max(of_mixes);
        if (turn * errors) / 1000 != ((turn + 1) * errors) / 1000 {
            return Some(format!("-ERR failed {}\r\n", self.report()).into_bytes());
        }
        let value = format!("formula for {id}");
        let report = self.report();
        Some(
            format!("*3\r\n${}\r\n{value}\r\n$-1\r\n${}\r\n{report}\r\n", value.len(), report.len())
                .into_bytes(),
        )
    }

    fn warmth(&self) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = self.begun.elapsed().as_secs_f64() / self.options.warm_within.as_secs_f64().max(0.001);
        self.options.cold_from + (1.0 - self.options.cold_from) * age.min(1.0)
    }

    fn report(&self) -> String {
        let busy = self.options.cores - self.cores.available_permits().min(self.options.cores);
        let util = busy as f64 / self.options.cores.max(1) as f64;
        let qps = self.served.load(Ordering::Relaxed) as f64 / self.begun.elapsed().as_secs_f64().max(1.0);
        format!("util={util:.2},qps={qps:.1}")
    }
}
