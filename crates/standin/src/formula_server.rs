//! Stand-in for a formula server. It runs commands on a limited number of cores for a set time, records what
//! it ran, and ignores repeats of a keyed mix. On demand it is slow, fails, hangs, resets connections, starts
//! cold or drains, and it can be replaced by a new instance.

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

/// Options of a formula server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Number of commands that run at the same time.
    pub cores: usize,
    /// Service time of one command.
    pub work: Duration,
    /// Maximum number of commands that run or wait for a core; further ones are answered with `-BUSY`.
    pub queue: usize,
    /// Time that a cold server needs to reach its full speed; the speed grows linearly.
    pub warm_within: Duration,
    /// Fraction of its full speed that a cold server starts with.
    pub cold_from: f64,
    /// How long repeats of a keyed mix are ignored.
    pub window: Duration,
    /// Whether the id and key of each command are recorded, for tests. This grows without limit, so a cluster
    /// that runs for days leaves it off.
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

/// Injected faults. Each may be changed at any time.
#[derive(Debug, Default)]
pub struct ServerFaults {
    /// Factor of the service time, in thousandths; 0 means unchanged.
    pub slower_milli: AtomicU64,
    /// Commands out of 1,000 that fail.
    pub errors_milli: AtomicU64,
    /// Whether commands are accepted and never answered.
    pub hang: AtomicBool,
    /// Keyed mixes out of 1,000 that fail, if this is more than `errors_milli`.
    pub mix_errors_milli: AtomicU64,
    /// Whether a connection is closed once a command was received on it.
    pub reset: AtomicBool,
    /// Whether all commands are answered with `-BUSY`, as while draining.
    pub busy: AtomicBool,
}

/// Record of the commands that a server ran.
#[derive(Debug, Default, Clone)]
pub struct ServerLedger {
    /// How often each command was started, by id. More than once means a duplicate.
    pub runs: HashMap<String, u32>,
    /// How often each keyed mix took effect, by key. More than once means that a mix was recorded twice.
    pub mixes: HashMap<String, u32>,
    /// Commands that were started, in order.
    pub arrivals: Vec<Arrival>,
    /// Units of the started commands, by shop.
    pub units: HashMap<String, f64>,
    /// Number of commands answered with `-SYNTAX`.
    pub syntax: u64,
}

/// A command that was received and started.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the command.
    pub id: String,
    /// Time when it was read.
    pub at: Instant,
    /// How long the sender waits for the response, from the field `d` of the command.
    pub wait: Option<Duration>,
}

/// A running formula server. It ends when dropped.
pub struct FormulaServer {
    /// Name in the list of discovery.
    pub uid: String,
    /// Address where it listens.
    pub at: SocketAddr,
    /// Start time, Unix time in ms; 0 for long ago.
    pub boot_ms: u64,
    /// Injected faults.
    pub faults: Arc<ServerFaults>,
    ledger: Arc<Mutex<ServerLedger>>,
    state: Arc<State>,
    task: JoinHandle<()>,
    connection_tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct State {
    options: ServerOptions,
    faults: Arc<ServerFaults>,
    ledger: Arc<Mutex<ServerLedger>>,
    /// Time of the first run of each key, shared by the servers of a rack.
    keys: Arc<Mutex<HashMap<String, Instant>>>,
    cores: Semaphore,
    waiting: AtomicU64,
    served: AtomicU64,
    connections: AtomicU64,
    started: Instant,
    cold: bool,
    next_sequence: AtomicU64,
}

/// Recent keys of mixes with the time of their first run, shared by the servers of a rack.
pub type SharedKeys = Arc<Mutex<HashMap<String, Instant>>>;

impl FormulaServer {
    /// Starts a server at a free port of `ip`. A `cold` server reports the present time as its start and
    /// begins at reduced speed.
    ///
    /// # Errors
    /// When the listener cannot be bound.
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
        let (faults, ledger) =
            (Arc::new(ServerFaults::default()), Arc::new(Mutex::new(ServerLedger::default())));
        let state = Arc::new(State {
            cores: Semaphore::new(options.cores),
            options,
            faults: faults.clone(),
            ledger: ledger.clone(),
            keys: rack,
            waiting: AtomicU64::new(0),
            served: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            started: Instant::now(),
            cold,
            next_sequence: AtomicU64::new(0),
        });
        let connection_tasks: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let (accept_connection_tasks, server_state) = (connection_tasks.clone(), state.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                state.connections.fetch_add(1, Ordering::Relaxed);
                let connection_task = tokio::spawn(async move {
                    let mut conn = RespConnection::new(stream);
                    while let Ok(Some(parts)) = conn.read_command().await {
                        let Some(answer) = state.run(&parts).await else {
                            // Without a response the connection is kept, or closed if `reset` is set.
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
                let mut connection_tasks = lock(&accept_connection_tasks);
                connection_tasks.retain(|c| !c.is_finished());
                connection_tasks.push(connection_task);
            }
        });
        Ok(FormulaServer {
            uid: uid.to_string(),
            at,
            boot_ms,
            faults,
            ledger,
            state: server_state,
            task,
            connection_tasks,
        })
    }

    /// Returns a copy of the record so far.
    #[must_use]
    pub fn ledger(&self) -> ServerLedger {
        lock(&self.ledger).clone()
    }

    /// Returns the number of commands that run or wait, and of those completed since the start.
    #[must_use]
    pub fn work_counts(&self) -> (u64, u64) {
        (self.state.waiting.load(Ordering::Relaxed), self.state.served.load(Ordering::Relaxed))
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Ends the server like a killed process: open connections break and new ones are refused.
    pub fn kill(&self) {
        self.task.abort();
        lock(&self.connection_tasks).drain(..).for_each(|c| c.abort());
    }
}

impl Drop for FormulaServer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl State {
    /// Runs one command and returns its response; `None` if an injected fault prevents a response.
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
            lock(&self.ledger).syntax += 1;
            return Some(b"-SYNTAX\r\n".to_vec());
        };
        let options = &self.options;
        if self.faults.busy.load(Ordering::Relaxed)
            || self.waiting.load(Ordering::Relaxed) >= options.queue as u64
        {
            return Some(format!("-BUSY {}\r\n", self.report()).into_bytes());
        }
        {
            let mut ledger = lock(&self.ledger);
            if options.ids {
                *ledger.runs.entry(id.to_string()).or_default() += 1;
                let wait = field("d").and_then(|d| d.parse().ok()).map(Duration::from_millis);
                ledger.arrivals.push(Arrival { id: id.to_string(), at: Instant::now(), wait });
            }
            *ledger.units.entry(shop.to_string()).or_default() += units;
            if let Some(key) = field("k") {
                let mut keys = lock(&self.keys);
                let now = Instant::now();
                // Expired keys are removed only when the map is nearly at its capacity, not for each mix.
                if keys.len() >= 2 * keys.capacity() / 3 {
                    keys.retain(|_, at| now.duration_since(*at) < options.window);
                }
                let known = keys.get(key).is_some_and(|at| now.duration_since(*at) < options.window);
                if !known {
                    keys.insert(key.to_string(), now);
                }
                if !known && options.ids {
                    *ledger.mixes.entry(key.to_string()).or_default() += 1;
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
        sleep(options.work.mul_f64(slower / self.speed_fraction())).await;
        drop(core);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.served.fetch_add(1, Ordering::Relaxed);
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        // Errors are spread evenly, so that the same number of commands gives the same number of errors.
        let mix_errors =
            if name == "Q.DO" { self.faults.mix_errors_milli.load(Ordering::Relaxed) } else { 0 };
        let errors = self.faults.errors_milli.load(Ordering::Relaxed).max(mix_errors);
        if (sequence * errors) / 1000 != ((sequence + 1) * errors) / 1000 {
            return Some(format!("-ERR failed {}\r\n", self.report()).into_bytes());
        }
        let value = format!("formula for {id}");
        let report = self.report();
        Some(
            format!("*3\r\n${}\r\n{value}\r\n$-1\r\n${}\r\n{report}\r\n", value.len(), report.len())
                .into_bytes(),
        )
    }

    /// Returns the present fraction of the full speed.
    fn speed_fraction(&self) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = self.started.elapsed().as_secs_f64() / self.options.warm_within.as_secs_f64().max(0.001);
        self.options.cold_from + (1.0 - self.options.cold_from) * age.min(1.0)
    }

    /// Returns the load report that responses carry.
    fn report(&self) -> String {
        let busy = self.options.cores - self.cores.available_permits().min(self.options.cores);
        let util = busy as f64 / self.options.cores.max(1) as f64;
        let qps = self.served.load(Ordering::Relaxed) as f64 / self.started.elapsed().as_secs_f64().max(1.0);
        format!("util={util:.2},qps={qps:.1}")
    }
}
