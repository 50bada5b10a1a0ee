//! Test harness: a store of record in SQLite or PostgreSQL, local clusters that use it, and RESP2 load.

#![allow(dead_code, reason = "each test program uses a part of it")]

use frostvale_proto::agent::{Record, StatusRequest};
use frostvale_record::{Backend, Op, RecordLocation, Reply};
use frostvale_standin::client::{ClientPool, Shop};
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster, scratch_folder};
use frostvale_standin::postgres::{Login, Postgres};
use frostvale_standin::resp::Answer;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub const SHOP: &str = "00000000b4d65521";
/// Timeout of a RESP2 request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for which a test waits for a condition.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
pub const PASSWORD: &str = "sesame";

/// Three plans: one without a practical limit, one of ten units that hardly refill, and one with a ceiling.
pub fn plans() -> Value {
    json!([
        {"Name": "wide", "UnitsPerS": 1e5, "PeakUnits": 1e5, "ValueFactor": 1.0},
        {"Name": "ten", "UnitsPerS": 0.01, "PeakUnits": 10.0, "ValueFactor": 1.0},
        {"Name": "capped", "ValueFactor": 1.0, "CapRate": 20.0, "CapDepth": 20.0, "CeilingSlack": 4.0},
    ])
}

/// A test's database; clusters are started over it.
pub struct RecordHarness {
    pub folder: tempfile::TempDir,
    /// The PostgreSQL stand-in, or `None` with SQLite or while the server is down.
    pub server: Option<Postgres>,
    pub location: RecordLocation,
}

impl RecordHarness {
    pub fn sqlite() -> RecordHarness {
        let folder = tempfile::tempdir_in(scratch_folder()).expect("a folder");
        let location = RecordLocation::new(&format!("sqlite:{}", folder.path().join("record.db").display()));
        RecordHarness { folder, server: None, location }
    }

    pub async fn postgres() -> RecordHarness {
        let folder = tempfile::tempdir_in(scratch_folder()).expect("a folder");
        let file = folder.path().join("pg.db");
        let server = Postgres::start(Ipv4Addr::LOCALHOST.into(), &file, PASSWORD, Login::Scram).await;
        let server = server.expect("started");
        let password = folder.path().join("password");
        std::fs::write(&password, PASSWORD).expect("written");
        let location = RecordLocation {
            password_file: Some(password),
            connect_timeout: Duration::from_millis(500),
            statement_timeout: Duration::from_millis(1000),
            ..RecordLocation::new(&format!("postgres://agent@{}/frostvale", server.at))
        };
        RecordHarness { folder, server: Some(server), location }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// The address of the PostgreSQL stand-in; panics if it is not running.
    pub fn server_address(&self) -> SocketAddr {
        self.server.as_ref().expect("a server").at
    }

    /// Starts the PostgreSQL stand-in again at this address, with the data of its predecessor.
    pub async fn restart_server(&mut self, at: SocketAddr) {
        let server = Postgres::start_at(at, &self.path("pg.db"), PASSWORD, Login::Scram, None).await;
        self.server = Some(server.expect("started"));
    }

    /// The `[record]` section of the agent's settings.
    pub fn agent_settings(&self) -> String {
        let password = self.location.password_file.as_ref();
        let password = password.map_or(String::new(), |p| format!("password_file = {p:?}\n"));
        format!(
            "[record]\nurl = {:?}\n{password}spool = {:?}\nconnect_ms = 500\nstatement_ms = 1000\npoll_ms = 100\n",
            self.location.url,
            self.path("spool.db"),
        )
    }

    /// Starts a cluster whose gatekeepers report usage every 50 ms.
    pub async fn cluster(&self, gatekeepers: usize) -> LocalCluster {
        self.cluster_under(gatekeepers, Vec::new()).await
    }

    /// Starts a cluster whose programs are run by this launcher command.
    pub async fn cluster_under(&self, gatekeepers: usize, launcher: Vec<String>) -> LocalCluster {
        self.start(gatekeepers, "[usage]\nreport_ms = 50\n", launcher, Vec::new()).await
    }

    /// Starts a cluster of one gatekeeper with these local settings instead of the usual `[usage]` section.
    pub async fn cluster_with(&self, gatekeeper_extra: &str, launcher: Vec<String>) -> LocalCluster {
        self.start(1, gatekeeper_extra, launcher, Vec::new()).await
    }

    /// Starts a cluster of one gatekeeper for each entry, whose clock is ahead by so many ms (negative:
    /// behind).
    pub async fn cluster_with_clocks(&self, clocks_ahead_ms: Vec<i64>) -> LocalCluster {
        self.start(clocks_ahead_ms.len(), "[usage]\nreport_ms = 50\n", Vec::new(), clocks_ahead_ms).await
    }

    async fn start(
        &self,
        gatekeepers: usize,
        gatekeeper_extra: &str,
        launcher: Vec<String>,
        clocks_ahead_ms: Vec<i64>,
    ) -> LocalCluster {
        let formula = ServerOptions {
            cores: 8,
            work: Duration::from_millis(2),
            queue: 1000,
            ..ServerOptions::default()
        };
        LocalCluster::start(ClusterOptions {
            gatekeepers,
            servers: 3,
            formula,
            plans: Some(plans()),
            gatekeeper_settings: gatekeeper_extra.into(),
            clocks_ahead_ms,
            agent_settings: self.agent_settings(),
            launcher,
            ..ClusterOptions::default()
        })
        .await
        .expect("started")
    }

    /// Opens a separate connection to the database.
    pub async fn open(&self) -> Arc<dyn Backend> {
        let backend = self.location.open().await.expect("opened");
        backend.migrate().await.expect("migrated");
        backend
    }
}

/// Returns the units of each shop in the record, in thousandths: passed and served.
pub async fn ledger(backend: &dyn Backend) -> BTreeMap<String, (i64, i64)> {
    let op = Op::Totals { shop: String::new(), from_ms: 0, to_ms: i64::MAX, limit: 100_000 };
    let totals = wait_for("totals", async || match backend.run(op.clone()).await {
        Ok(Reply::Totals(totals)) => Some(totals),
        _ => None,
    })
    .await;
    let mut all: BTreeMap<String, (i64, i64)> = BTreeMap::new();
    for t in totals {
        let entry = all.entry(t.shop).or_default();
        entry.0 += t.passed_milli;
        entry.1 += t.served_milli;
    }
    all
}

/// Returns the units that the formula servers booked for each shop, in thousandths.
pub fn units_by_shop(cluster: &LocalCluster) -> BTreeMap<String, i64> {
    cluster.units_by_shop().into_iter().map(|(shop, units)| (shop, (units * 1000.0).round() as i64)).collect()
}

/// Polls until `poll` returns a value; panics after `MAX_WAIT`.
pub async fn wait_for<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(started.elapsed() < MAX_WAIT, "not reached within {MAX_WAIT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the agent's status of the record, or `None` if the agent does not answer.
pub async fn status(cluster: &LocalCluster) -> Option<Record> {
    let mut agent = frostvale_agent::serve::control(&cluster.control).await.ok()?;
    agent.status(StatusRequest {}).await.ok()?.into_inner().record
}

pub fn shop(k: u64, plan: &str) -> Shop {
    Shop { id: format!("{:016x}", 0xb4d6_5521 + k), plan: plan.into(), first: 0, spread: 1 }
}

/// Sends a formula read; true if it was served, false if it was refused. Panics if it failed.
pub async fn is_served(pool: &ClientPool, shop: &Shop) -> bool {
    match pool.send_request(shop, "formula-read", None, 1, REQUEST_TIMEOUT).await.expect("an answer") {
        Answer::Served(_) => true,
        Answer::Busy(_) => false,
        Answer::Failed(line) => panic!("{line}"),
    }
}

/// RESP2 load that runs until it is stopped and counts served requests. A gatekeeper that is down is retried.
pub struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    pub fn start(cluster: &LocalCluster, clients: u64) -> Load {
        let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let all: Vec<SocketAddr> = cluster.gatekeepers.iter().map(|g| g.resp).collect();
        let client = |k: u64| {
            let (stop, served) = (stop.clone(), served.clone());
            let at = k as usize % all.len();
            let pool = ClientPool::new(all[at]);
            let shop = Shop { first: at as u32, ..shop(k, "wide") };
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    match pool.send_request(&shop, "formula-read", None, 1, REQUEST_TIMEOUT).await {
                        Ok(Answer::Served(_)) => drop(served.fetch_add(1, Ordering::Relaxed)),
                        Ok(_) => {}
                        Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                    }
                }
            })
        };
        let tasks = (0..clients).map(client).collect();
        Load { stop, served, tasks }
    }

    /// Returns the number of requests served so far.
    pub fn count(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Waits until `n` more requests have been served.
    pub async fn wait_for_served(&self, n: u64) {
        let target = self.count() + n;
        wait_for("more requests are served", async || (self.count() >= target).then_some(())).await;
    }

    /// Stops the load and returns the number of served requests.
    pub async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("ended");
        }
        self.served.load(Ordering::Relaxed)
    }
}
