//! Graceful stops of agent and gatekeepers, in any order: the use of each gatekeeper up to its last request
//! is recorded exactly once.

mod record_harness;

use frostvale_link::final_report;
use frostvale_record::{Backend, Op, Reply};
use frostvale_standin::client::ClientPool;
use frostvale_standin::local_cluster::LocalCluster;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use record_harness::{
    Load, MAX_WAIT, RecordHarness, is_served, ledger, shop, status, units_by_shop, wait_for,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Waits until the ledger holds exactly the units that the formula servers booked; fails if it holds more.
async fn wait_for_ledger(backend: &dyn Backend, wanted: &BTreeMap<String, i64>, what: &str) {
    let sum: i64 = wanted.values().sum();
    let found = wait_for(what, async || {
        let found = ledger(backend).await;
        (found.values().map(|v| v.0).sum::<i64>() >= sum).then_some(found)
    })
    .await;
    let found: BTreeMap<String, i64> = found
        .into_iter()
        .map(|(shop, (passed, _))| (shop, passed))
        .filter(|(_, passed)| *passed > 0)
        .collect();
    assert_eq!(&found, wanted, "{what}");
}

async fn assert_no_gaps(backend: &dyn Backend, what: &str) {
    assert_eq!(backend.run(Op::Gaps).await, Ok(Reply::Gaps(Vec::new())), "{what}");
}

/// Lists the final report files that gatekeeper `k` has left.
fn final_report_files(cluster: &LocalCluster, k: usize) -> Vec<PathBuf> {
    final_report::find_all(&cluster.gatekeepers[k].socket).expect("a folder")
}

/// Stops the agent and the gatekeepers gracefully under load, and kills the database if it is PostgreSQL, in
/// an order and with delays drawn from the seed. After a restart of all the record holds what was booked.
async fn stop_in_seeded_order(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut harness =
        if rng.random_bool(0.5) { RecordHarness::sqlite() } else { RecordHarness::postgres().await };
    let mut cluster = harness.cluster(2).await;
    let load = Load::start(&cluster, 4);
    load.wait_for_served(50).await;
    let mut processes = vec!["agent", "n1", "n2"];
    if harness.server.is_some() {
        processes.push("database");
    }
    processes.shuffle(&mut rng);
    let delays: Vec<u64> =
        processes.iter().map(|_| if rng.random_bool(0.5) { 0 } else { rng.random_range(0..700) }).collect();
    let what = format!("seed {seed}: {processes:?} after {delays:?} ms each");
    let mut database_address = None;
    for (process, delay) in processes.iter().zip(&delays) {
        tokio::time::sleep(Duration::from_millis(*delay)).await;
        match *process {
            "agent" => cluster.agent.as_ref().expect("an agent").signal("TERM").await,
            "database" => {
                database_address = Some(harness.server_address());
                harness.server.take().expect("a server").kill().await;
            }
            name => {
                let g = cluster.gatekeepers.iter().find(|g| g.name == name).expect("a gatekeeper");
                g.process.signal("TERM").await;
            }
        }
    }
    for g in &mut cluster.gatekeepers {
        let ended = tokio::time::timeout(MAX_WAIT, g.process.wait()).await.expect("it ends");
        assert!(ended.is_some_and(|how| how.success()), "{what}");
    }
    let agent = cluster.agent.as_mut().expect("an agent");
    let ended = tokio::time::timeout(MAX_WAIT, agent.wait()).await.expect("it ends");
    assert!(ended.is_some_and(|how| how.success()), "{what}");
    load.stop().await;
    if let Some(at) = database_address {
        harness.restart_server(at).await;
    }
    // Agent and gatekeepers start again, gatekeepers first.
    for k in 0..2 {
        cluster.restart_gatekeeper(k).await.expect("started");
    }
    cluster.start_agent().await.expect("started");
    let backend = harness.open().await;
    wait_for_ledger(&*backend, &units_by_shop(&cluster), &what).await;
    wait_for("the record is sound", async || {
        status(&cluster).await.filter(|r| r.state == "sound" && r.spool_batches == 0)
    })
    .await;
    assert_no_gaps(&*backend, &what).await;
    assert!(
        (0..2).all(|k| final_report_files(&cluster, k).is_empty()),
        "{what}: a final report was not taken up"
    );
    backend.check().await.expect("ledger and totals agree");
    cluster.stop().await;
}

#[test]
fn graceful_stop_records_every_unit_without_gaps_when_processes_stop_in_any_order() {
    // Five clusters run at a time, since most of the time is spent waiting.
    let next_seed = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..5 {
            scope.spawn(|| {
                let runtime = tokio::runtime::Runtime::new().expect("a runtime");
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= 50 {
                        break;
                    }
                    runtime.block_on(stop_in_seeded_order(seed));
                }
            });
        }
    });
}

/// Serves some units, kills the agent, serves more and stops the gatekeeper gracefully: with no agent to send
/// it to, the gatekeeper leaves its final report in a file, whose path is returned (empty if there is none).
async fn stop_without_agent(harness: &RecordHarness, launcher: Vec<String>) -> (LocalCluster, PathBuf) {
    let mut cluster = harness.cluster_under(1, launcher).await;
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    for k in 0..9 {
        assert!(is_served(&pool, &shop(k % 3, "wide")).await);
    }
    cluster.agent.as_mut().expect("an agent").kill().await;
    for k in 0..12 {
        assert!(is_served(&pool, &shop(k % 4, "wide")).await);
    }
    for _ in 0..7 {
        is_served(&pool, &shop(9, "ten")).await;
    }
    cluster.gatekeepers[0].process.signal("TERM").await;
    assert!(cluster.gatekeepers[0].process.wait().await.expect("ended").success());
    let path = final_report_files(&cluster, 0).pop();
    (cluster, path.unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn final_report_file_is_recorded_once_when_found_twice() {
    let harness = RecordHarness::sqlite();
    let (mut cluster, path) = stop_without_agent(&harness, Vec::new()).await;
    let report = std::fs::read(&path).expect("left");
    let wanted = units_by_shop(&cluster);
    cluster.restart_gatekeeper(0).await.expect("started");
    cluster.start_agent().await.expect("started");
    let backend = harness.open().await;
    wait_for_ledger(&*backend, &wanted, "the final report file").await;
    assert!(!path.exists());
    // Of ten units seven are spent; the file holds that level, and the new incarnation continues from it.
    cluster.agent.as_mut().expect("an agent").wait_for_log("stores are restored").await.expect("restored");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    let mut granted = 0;
    for _ in 0..6 {
        granted += u32::from(is_served(&pool, &shop(9, "ten")).await);
    }
    assert_eq!(granted, 3);
    // The file is found again, as after a kill between spooling and removal, by the same agent and then by a
    // new one.
    std::fs::write(&path, &report).expect("written");
    cluster.gatekeepers[0].process.signal("TERM").await;
    cluster.gatekeepers[0].process.wait().await;
    wait_for("the file is taken up again", async || (!path.exists()).then_some(())).await;
    std::fs::write(&path, &report).expect("written");
    cluster.agent.as_mut().expect("an agent").kill().await;
    cluster.restart_gatekeeper(0).await.expect("started");
    cluster.start_agent().await.expect("started");
    wait_for("the file is taken up again", async || (!path.exists()).then_some(())).await;
    wait_for("the record is sound", async || {
        status(&cluster).await.filter(|r| r.state == "sound" && r.spool_batches == 0)
    })
    .await;
    wait_for_ledger(&*backend, &units_by_shop(&cluster), "each batch is recorded once").await;
    assert_no_gaps(&*backend, "each incarnation stopped gracefully").await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn final_report_file_is_recorded_up_to_the_damage_when_truncated() {
    let harness = RecordHarness::sqlite();
    let (mut cluster, path) = stop_without_agent(&harness, Vec::new()).await;
    let report = std::fs::read(&path).expect("left");
    std::fs::write(&path, &report[..report.len() - 3]).expect("truncated");
    cluster.restart_gatekeeper(0).await.expect("started");
    cluster.start_agent().await.expect("started");
    let backend = harness.open().await;
    // All batches come before the truncation.
    wait_for_ledger(&*backend, &units_by_shop(&cluster), "the intact part").await;
    wait_for("the file is set aside", async || path.with_extension("torn").exists().then_some(())).await;
    // A file that is truncated within its first record does not even name its gatekeeper.
    cluster.gatekeepers[0].process.signal("TERM").await;
    cluster.gatekeepers[0].process.wait().await;
    let second_file = final_report::path_of(&cluster.gatekeepers[0].socket, 5);
    std::fs::write(&second_file, &report[..20]).expect("truncated");
    cluster.restart_gatekeeper(0).await.expect("started");
    wait_for("the file is set aside", async || second_file.with_extension("torn").exists().then_some(()))
        .await;
    wait_for_ledger(&*backend, &units_by_shop(&cluster), "nothing is recorded twice").await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn final_report_file_is_refused_and_kept_when_of_another_instance() {
    let harness = RecordHarness::sqlite();
    let (mut cluster, path) = stop_without_agent(&harness, Vec::new()).await;
    let wanted = units_by_shop(&cluster);
    // The report of another gatekeeper, as if an operator had copied the file to this one's folder.
    let report = final_report::read(&path).expect("sound");
    let foreign = final_report::FinalReport {
        welcome: frostvale_link::proto::Welcome { name: "n7".into(), ..report.welcome },
        ..report
    };
    std::fs::remove_file(&path).expect("removed");
    let socket = &cluster.gatekeepers[0].socket;
    let at =
        final_report::write(socket, &foreign.welcome, foreign.batches.iter(), &foreign.levels).expect("left");
    cluster.restart_gatekeeper(0).await.expect("started");
    cluster.start_agent().await.expect("started");
    wait_for("the file is set aside", async || at.with_extension("refused").exists().then_some(())).await;
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    assert!(is_served(&pool, &shop(50, "wide")).await);
    let backend = harness.open().await;
    wait_for("later use is recorded", async || {
        ledger(&*backend).await.contains_key(&shop(50, "wide").id).then_some(())
    })
    .await;
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert!(found < wanted.values().sum::<i64>(), "{found}: the report of another gatekeeper was counted");
    cluster.stop().await;
}

/// A gatekeeper that cannot write its final report logs one line with the units lost, and still stops
/// gracefully.
#[tokio::test(flavor = "multi_thread")]
async fn gatekeeper_logs_the_lost_units_in_one_line_when_the_disk_is_full() {
    let harness = RecordHarness::sqlite();
    // A file size limit of 0 acts like a full disk for the gatekeeper; its log is a pipe and is not affected.
    let script = "case \"$1\" in *frostvale) trap '' XFSZ; ulimit -f 0;; esac; exec \"$@\"";
    let launcher = ["sh", "-c", script, "sh"].map(String::from).to_vec();
    let (mut cluster, path) = stop_without_agent(&harness, launcher).await;
    assert_eq!(path, Path::new(""), "a file was left that could be read as a final report");
    let process = &mut cluster.gatekeepers[0].process;
    process.wait_for_log("can't be left at").await.expect("a log line");
    let log = process.log();
    let lines: Vec<&String> = log.iter().filter(|l| l.contains("lost to the record")).collect();
    assert_eq!(lines.len(), 1, "{log:#?}");
    // 19 units (twelve and seven) were used after the kill of the agent; some of the nine before it were
    // recorded.
    let lost =
        lines[0].split("units passed ").nth(1).and_then(|rest| rest.split(',').next()).expect("a figure");
    let lost: f64 = lost.parse().expect("a figure");
    assert!((19.0..=28.0).contains(&lost), "{}", lines[0]);
    cluster.stop().await;
}

/// Starts a cluster whose gatekeeper reports once a minute, and uses 21 units: what is recorded then was
/// collected by the agent as it stopped.
async fn cluster_with_rare_reports(harness: &RecordHarness) -> LocalCluster {
    let cluster = harness.cluster_with("[usage]\nreport_ms = 60000\n", Vec::new()).await;
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    for k in 0..21 {
        assert!(is_served(&pool, &shop(k % 4, "wide")).await);
    }
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_records_use_until_its_stop_when_it_stops_alone() {
    let harness = RecordHarness::sqlite();
    let mut cluster = cluster_with_rare_reports(&harness).await;
    let backend = harness.open().await;
    let agent = cluster.agent.as_mut().expect("an agent");
    agent.signal("TERM").await;
    assert!(agent.wait().await.expect("ended").success());
    // No other process could have recorded it.
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert_eq!(found, 21_000);
    // The gatekeeper continues, and the next agent gets the use since then.
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    assert!(is_served(&pool, &shop(9, "wide")).await);
    cluster.start_agent().await.expect("started");
    cluster.stop().await;
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert_eq!(found, 22_000);
    assert_no_gaps(&*backend, "both stopped gracefully").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_records_final_reports_when_stopped_with_its_gatekeepers() {
    let harness = RecordHarness::sqlite();
    let mut cluster = cluster_with_rare_reports(&harness).await;
    let backend = harness.open().await;
    // The agent gets the signal first: it waits, so that the gatekeeper that stops just after still reaches
    // it.
    cluster.agent.as_ref().expect("an agent").signal("TERM").await;
    cluster.gatekeepers[0].process.signal("TERM").await;
    assert!(cluster.gatekeepers[0].process.wait().await.expect("ended").success());
    assert!(cluster.agent.as_mut().expect("an agent").wait().await.expect("ended").success());
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert_eq!(
        (found, final_report_files(&cluster, 0)),
        (21_000, Vec::new()),
        "use is missing in the record, or a final report file was left"
    );
    let epoch_ms = match backend.run(Op::Instances).await {
        Ok(Reply::Instances(all)) => all.iter().find(|i| i.0 == "n1").expect("seen").2,
        other => panic!("{other:?}"),
    };
    let watermark = Op::Watermark { instance: "n1".into(), epoch_ms };
    let Ok(Reply::Watermark(Some((_, _, ended)), _)) = backend.run(watermark).await else {
        panic!("no watermark")
    };
    assert!(ended, "the final report was not marked as the last one");
}
