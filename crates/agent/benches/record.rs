//! The store of record in figures: batches a second on both databases; with 100,000 shops the agent's memory, its start
//! and the time from a kill to serving on recorded plans; and RESP2's p99 while the database is slow, hung and dead,
//! beside that of a sound one, in one run. `cargo build --release --workspace`, then
//! `cargo bench -p frostvale-agent --bench record`.

use frostvale_record::model::{Change, Plan as KeptPlan, TokenLevel, UsageBatch, UsageLine};
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

const SHOPS: i64 = 100_000;
const TIME: Duration = Duration::from_secs(4);

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

async fn batches(name: &str, backend: &dyn Backend) {
    let (begun, mut seq) = (Instant::now(), 0);
    while begun.elapsed() < TIME {
        let batches: Vec<UsageBatch> = (seq..seq + 64).map(batch).collect();
        backend.run(Op::Append { batches, now_ms: seq }).await.expect("landed");
        seq += 64;
    }
    let rate = seq as f64 / begun.elapsed().as_secs_f64();
    println!("{name}: {rate:.0} batches of 20 lines a second, 64 in a transaction");
}

fn place(server: &Postgres, folder: &Path) -> RecordLocation {
    let password = folder.join("password");
    std::fs::write(&password, "bench").expect("written");
    RecordLocation {
        password_file: Some(password),
        ..RecordLocation::new(&format!("postgres://agent@{}/frostvale", server.at))
    }
}

fn town(place: &RecordLocation, folder: &Path, gatekeepers: usize) -> ClusterOptions {
    let password = place.password_file.as_ref().map_or(String::new(), |p| format!("password_file = {p:?}\n"));
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
            place.url,
            folder.join("spool.db")
        ),
        ..ClusterOptions::default()
    }
}

fn memory_mb(pid: Option<u32>) -> f64 {
    let status =
        pid.and_then(|pid| std::fs::read_to_string(format!("/proc/{pid}/status")).ok()).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
    let kb: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    kb / 1024.0
}

/// Kills gatekeeper and perhaps agent, and gives the time until the gatekeeper runs the recorded plans and its stores
/// are restored.
async fn recovery(town: &mut LocalCluster, agent_too: bool) -> (f64, f64) {
    if agent_too {
        town.agent.as_mut().expect("an agent").kill().await;
    }
    let restored = |town: &LocalCluster| {
        let log = town.agent.as_ref().map_or(Vec::new(), frostvale_standin::local_cluster::Process::log);
        log.iter().filter(|line| line.contains("stores are restored")).count()
    };
    let before = if agent_too { 0 } else { restored(town) };
    let begun = Instant::now();
    town.gatekeepers[0].process.kill().await;
    town.restart_gatekeeper(0).await.expect("started");
    if agent_too {
        town.start_agent().await.expect("started");
    }
    town.gatekeepers[0].process.wait_for_log("are in effect").await.expect("plans");
    let plans = begun.elapsed().as_secs_f64();
    while restored(town) == before && begun.elapsed() < Duration::from_secs(10) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    (plans, begun.elapsed().as_secs_f64())
}

async fn many_shops() {
    let folder = tempfile::tempdir().expect("a folder");
    let place = RecordLocation::new(&format!("sqlite:{}", folder.path().join("record.db").display()));
    let backend = place.open().await.expect("opened");
    backend.migrate().await.expect("migrated");
    let now = i64::try_from(unix_ms()).expect("after 1970");
    let level = |k| TokenLevel { key: 7919 * k, plan: 0, store_milli: 5000, ceiling_milli: 0, at_ms: now };
    for from in (0..SHOPS).step_by(10_000) {
        let levels = (from..from + 10_000).map(level).collect();
        backend.run(Op::SaveLevels { instance: "n1".into(), levels }).await.expect("kept");
    }
    let seen =
        Op::Seen { name: "n1".into(), host: "h".into(), epoch_ms: now - 9000, now_ms: now, revision: 0 };
    backend.run(seen).await.expect("seen");
    let plan = KeptPlan {
        name: "wide".into(),
        rate_milli: 9_000_000,
        burst_milli: 9_000_000,
        ..KeptPlan::default()
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
    let begun = Instant::now();
    let mut town = LocalCluster::start(town(&place, folder.path(), 1)).await.expect("started");
    let agent = town.agent.as_mut().expect("an agent");
    agent.wait_for_log("stores are restored").await.expect("restored");
    println!(
        "{SHOPS} shops: town up and stores restored after {:.2} s; agent {:.0} MB, gatekeeper {:.0} MB",
        begun.elapsed().as_secs_f64(),
        memory_mb(town.agent.as_ref().and_then(frostvale_standin::local_cluster::Process::pid)),
        memory_mb(town.gatekeepers[0].process.pid()),
    );
    // The agent hears of all stores before any is lost with it.
    tokio::time::sleep(Duration::from_secs(6)).await;
    for (what, agent_too) in [("gatekeeper", false), ("gatekeeper and agent", true)] {
        let (plans, stores) = recovery(&mut town, agent_too).await;
        println!(
            "{SHOPS} shops, {what} killed: on recorded plans after {plans:.2} s, stores restored after {stores:.2} s"
        );
    }
    town.stop().await;
}

/// p50 and p99 of RESP2 in ms, 16 clients that ask without a pause.
async fn latency(town: &LocalCluster) -> (f64, f64, usize) {
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for c in 0..16u64 {
        let pool = ClientPool::new(town.gatekeepers[c as usize % 2].resp);
        tasks.push(tokio::spawn(async move {
            let mut times = Vec::new();
            while begun.elapsed() < TIME {
                let shop = Shop {
                    id: format!("{:016x}", 0x5000 + c),
                    plan: "wide".into(),
                    first: (c % 2) as u32,
                    spread: 1,
                };
                let asked = Instant::now();
                let answer = pool.send_request(&shop, "formula-read", None, 1, Duration::from_secs(1)).await;
                assert!(matches!(answer, Ok(Answer::Served(_) | Answer::Busy(_))), "{answer:?}");
                times.push(asked.elapsed().as_micros() as u64);
            }
            times
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.expect("ended"));
    }
    all.sort_unstable();
    let at = |q: usize| all[all.len() * q / 1000] as f64 / 1000.0;
    (at(500), at(990), all.len())
}

async fn failing_database() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("pg.db");
    let server =
        Postgres::start(Ipv4Addr::LOCALHOST.into(), &file, "bench", Login::Scram).await.expect("started");
    let place = place(&server, folder.path());
    let mut town = LocalCluster::start(town(&place, folder.path(), 2)).await.expect("started");
    latency(&town).await;
    let mut base = 0.0;
    for what in ["sound", "slow: 2 s a statement", "sound again", "hung", "dead"] {
        let faults = &server.faults;
        faults.slow_ms.store(if what.starts_with("slow") { 2000 } else { 0 }, Ordering::SeqCst);
        faults.hang.store(what == "hung", Ordering::SeqCst);
        faults.refuse.store(what == "dead", Ordering::SeqCst);
        if what == "dead" {
            faults.cut_after.store(0, Ordering::SeqCst);
        }
        let (p50, p99, n) = latency(&town).await;
        base = if what == "sound" { p99 } else { base };
        println!(
            "database {what}: RESP2 p50 {p50:.2} ms, p99 {p99:.2} ms ({n} requests), p99 {:.2} of sound",
            p99 / base
        );
    }
    town.stop().await;
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let sqlite = RecordLocation::new(&format!("sqlite:{}", folder.path().join("record.db").display()));
        let backend = sqlite.open().await.expect("opened");
        backend.migrate().await.expect("migrated");
        batches("SQLite", &*backend).await;
        let file = folder.path().join("pg.db");
        let server =
            Postgres::start(Ipv4Addr::LOCALHOST.into(), &file, "bench", Login::Scram).await.expect("started");
        let backend = place(&server, folder.path()).open().await.expect("opened");
        backend.migrate().await.expect("migrated");
        batches("PostgreSQL stand-in", &*backend).await;
        many_shops().await;
        failing_database().await;
    });
}
