//! Measures the record database: batches per second on both databases; with 100,000 shops the agent's memory,
//! its start time and the time from a kill until the recorded plans are in effect; and the p99 of RESP2
//! requests while the database is slow, hung and dead, against that of a healthy one in the same run. Run
//! `cargo build --release --workspace` first, then `cargo bench -p frostvale-agent --bench record`.

use frostvale_record::model::{Change, Plan as RecordPlan, TokenLevel, UsageBatch, UsageLine};
use frostvale_record::{Backend, Op, RecordLocation};
use frostvale_standin::client::{ClientPool, Shop};
use frostvale_standin::clock::unix_ms;
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::postgres::{Login, Postgres};
use frostvale_standin::resp::Answer;
use serde_json::json;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Shops with a saved token level.
const SHOPS: i64 = 100_000;
/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

/// A usage batch of 20 lines.
fn batch(seq: i64) -> UsageBatch {
    let line = |k: i64| UsageLine {
        shop: format!("{:016x}", 7919 * k),
        plan: "tienda".into(),
        class: "formula-read".into(),
        passed_milli: 1000,
        refused_milli: 0,
        served_milli: 1000,
    };
    let (from_ms, to_ms) = (seq * 1000, seq * 1000 + 1000);
    let lines = (0..20).map(|k| line((seq * 20 + k) % 2000)).collect();
    UsageBatch { instance: "n1".into(), epoch_ms: 1, seq, from_ms, to_ms, last: false, revision: 0, lines }
}

/// Prints how many batches per second a database stores.
async fn measure_batches(name: &str, backend: &dyn Backend) {
    let (started, mut seq) = (Instant::now(), 0);
    while started.elapsed() < MEASUREMENT_DURATION {
        let batches: Vec<UsageBatch> = (seq..seq + 64).map(batch).collect();
        backend.run(Op::Append { batches, now_ms: seq }).await.expect("stored");
        seq += 64;
    }
    let rate = seq as f64 / started.elapsed().as_secs_f64();
    println!("{name}: {rate:.0} batches of 20 lines a second, 64 in a transaction");
}

/// Location of the record in the PostgreSQL stand-in, with its password file in this folder.
fn postgres_location(server: &Postgres, folder: &Path) -> RecordLocation {
    let password = folder.join("password");
    std::fs::write(&password, "bench").expect("written");
    RecordLocation {
        password_file: Some(password),
        ..RecordLocation::new(&format!("postgres://agent@{}/frostvale", server.at))
    }
}

/// Options of a cluster with this record database.
fn cluster_options(location: &RecordLocation, folder: &Path, gatekeepers: usize) -> ClusterOptions {
    let password =
        location.password_file.as_ref().map_or(String::new(), |p| format!("password_file = {p:?}\n"));
    ClusterOptions {
        gatekeepers,
        servers: 6,
        formula: ServerOptions {
            cores: 8,
            work: Duration::from_millis(4),
            queue: 1000,
            ..ServerOptions::default()
        },
        plans: Some(json!([{"Name": "wide", "UnitsPerS": 1e5, "PeakUnits": 1e5, "ValueFactor": 1.0}])),
        gatekeeper_settings: "[usage]\nreport_ms = 200\n".into(),
        agent_settings: format!(
            "[record]\nurl = {:?}\n{password}spool = {:?}\npoll_ms = 200\n",
            location.url,
            folder.join("spool.db")
        ),
        ..ClusterOptions::default()
    }
}

/// Resident memory of a process; 0 if it cannot be read.
fn memory_mb(pid: Option<u32>) -> f64 {
    let status =
        pid.and_then(|pid| std::fs::read_to_string(format!("/proc/{pid}/status")).ok()).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
    let kb: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    kb / 1024.0
}

/// Kills a gatekeeper, and the agent too where `agent_too` is set. Returns the seconds until the recorded
/// plans are in effect at the gatekeeper, and until its token levels are restored.
async fn recovery(cluster: &mut LocalCluster, agent_too: bool) -> (f64, f64) {
    if agent_too {
        cluster.agent.as_mut().expect("agent is running").kill().await;
    }
    let count_restored = |cluster: &LocalCluster| {
        let log = cluster.agent.as_ref().map_or(Vec::new(), frostvale_standin::local_cluster::Process::log);
        log.iter().filter(|line| line.contains("stores are restored")).count()
    };
    let before = if agent_too { 0 } else { count_restored(cluster) };
    let started = Instant::now();
    cluster.gatekeepers[0].process.kill().await;
    cluster.restart_gatekeeper(0).await.expect("started");
    if agent_too {
        cluster.start_agent().await.expect("started");
    }
    cluster.gatekeepers[0].process.wait_for_log("are in effect").await.expect("plans");
    let plans = started.elapsed().as_secs_f64();
    while count_restored(cluster) == before && started.elapsed() < Duration::from_secs(10) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    (plans, started.elapsed().as_secs_f64())
}

/// Measures memory, start and recovery with the saved token levels of many shops.
async fn measure_many_shops() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let location = RecordLocation::new(&format!("sqlite:{}", folder.path().join("record.db").display()));
    let backend = location.open().await.expect("opened");
    backend.migrate().await.expect("migrated");
    let now = i64::try_from(unix_ms()).expect("after 1970");
    let level = |k| TokenLevel { key: 7919 * k, plan: 0, store_milli: 5000, ceiling_milli: 0, at_ms: now };
    for from in (0..SHOPS).step_by(10_000) {
        let levels = (from..from + 10_000).map(level).collect();
        backend.run(Op::SaveLevels { instance: "n1".into(), levels }).await.expect("levels saved");
    }
    let seen =
        Op::Seen { name: "n1".into(), host: "h".into(), epoch_ms: now - 9000, now_ms: now, revision: 0 };
    backend.run(seen).await.expect("seen");
    let plan = RecordPlan {
        name: "wide".into(),
        rate_milli: 9_000_000,
        burst_milli: 9_000_000,
        ..RecordPlan::default()
    };
    let change = Change {
        id: "bench".into(),
        base: 0,
        by: "bench".into(),
        source: "bench".into(),
        why: "bench".into(),
        at_ms: 1,
    };
    backend.run(Op::SetPlan(plan, change)).await.expect("set");
    drop(backend);
    let started = Instant::now();
    let mut cluster =
        LocalCluster::start(cluster_options(&location, folder.path(), 1)).await.expect("started");
    let agent = cluster.agent.as_mut().expect("agent is running");
    agent.wait_for_log("stores are restored").await.expect("restored");
    println!(
        "{SHOPS} shops: town up and stores restored after {:.2} s; agent {:.0} MB, gatekeeper {:.0} MB",
        started.elapsed().as_secs_f64(),
        memory_mb(cluster.agent.as_ref().and_then(frostvale_standin::local_cluster::Process::pid)),
        memory_mb(cluster.gatekeepers[0].process.pid()),
    );
    // The gatekeeper reports all token levels to the agent before either is killed.
    tokio::time::sleep(Duration::from_secs(6)).await;
    for (what, agent_too) in [("gatekeeper", false), ("gatekeeper and agent", true)] {
        let (plans, stores) = recovery(&mut cluster, agent_too).await;
        println!(
            "{SHOPS} shops, {what} killed: on recorded plans after {plans:.2} s, stores restored after {stores:.2} s"
        );
    }
    cluster.stop().await;
}

/// Sends RESP2 requests from 16 clients without a pause. Returns p50 and p99 in ms, and the number of
/// requests.
async fn measure_latency(cluster: &LocalCluster) -> (f64, f64, usize) {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for c in 0..16u64 {
        let pool = ClientPool::new(cluster.gatekeepers[c as usize % 2].resp);
        tasks.push(tokio::spawn(async move {
            let mut times = Vec::new();
            while started.elapsed() < MEASUREMENT_DURATION {
                let shop = Shop {
                    id: format!("{:016x}", 0x5000 + c),
                    plan: "wide".into(),
                    first: (c % 2) as u32,
                    spread: 1,
                };
                let sent = Instant::now();
                let answer = pool.send_request(&shop, "formula-read", None, 1, Duration::from_secs(1)).await;
                assert!(matches!(answer, Ok(Answer::Served(_) | Answer::Busy(_))), "{answer:?}");
                times.push(sent.elapsed().as_micros() as u64);
            }
            times
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.expect("task ended"));
    }
    all.sort_unstable();
    let percentile = |q: usize| all[all.len() * q / 1000] as f64 / 1000.0;
    (percentile(500), percentile(990), all.len())
}

/// Measures request latency under faults of the database.
async fn measure_failing_database() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("pg.db");
    let server =
        Postgres::start(Ipv4Addr::LOCALHOST.into(), &file, "bench", Login::Scram).await.expect("started");
    let location = postgres_location(&server, folder.path());
    let mut cluster =
        LocalCluster::start(cluster_options(&location, folder.path(), 2)).await.expect("started");
    measure_latency(&cluster).await;
    let mut base = 0.0;
    for what in ["sound", "slow: 2 s a statement", "sound again", "hung", "dead"] {
        let faults = &server.faults;
        faults.slow_ms.store(if what.starts_with("slow") { 2000 } else { 0 }, Ordering::SeqCst);
        faults.hang.store(what == "hung", Ordering::SeqCst);
        faults.refuse.store(what == "dead", Ordering::SeqCst);
        if what == "dead" {
            faults.cut_after.store(0, Ordering::SeqCst);
        }
        let (p50, p99, n) = measure_latency(&cluster).await;
        base = if what == "sound" { p99 } else { base };
        println!(
            "database {what}: RESP2 p50 {p50:.2} ms, p99 {p99:.2} ms ({n} requests), p99 {:.2} of sound",
            p99 / base
        );
    }
    cluster.stop().await;
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime started");
    runtime.block_on(async {
        let folder = tempfile::tempdir().expect("temporary folder");
        let sqlite = RecordLocation::new(&format!("sqlite:{}", folder.path().join("record.db").display()));
        let backend = sqlite.open().await.expect("opened");
        backend.migrate().await.expect("migrated");
        measure_batches("SQLite", &*backend).await;
        let file = folder.path().join("pg.db");
        let server =
            Postgres::start(Ipv4Addr::LOCALHOST.into(), &file, "bench", Login::Scram).await.expect("started");
        let backend = postgres_location(&server, folder.path()).open().await.expect("opened");
        backend.migrate().await.expect("migrated");
        measure_batches("PostgreSQL stand-in", &*backend).await;
        measure_many_shops().await;
        measure_failing_database().await;
    });
}
