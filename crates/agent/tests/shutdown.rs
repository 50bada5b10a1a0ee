//! Ends in order, in any order: what gatekeepers passed until their last request is in the record, once.

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

/// Waits until the ledger holds what the formula servers booked, to the unit, and fails if it holds more.
async fn lands(backend: &dyn Backend, wanted: &BTreeMap<String, i64>, what: &str) {
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

async fn no_gap(backend: &dyn Backend, what: &str) {
    assert_eq!(backend.run(Op::Gaps).await, Ok(Reply::Gaps(Vec::new())), "{what}");
}

fn words(town: &LocalCluster, k: usize) -> Vec<PathBuf> {
    final_report::find_all(&town.gatekeepers[k].socket).expect("a folder")
}

/// Ends agent, gatekeepers and, where it is one of ours, the database in an order and with delays drawn from the seed,
/// under load; then all begin again, and the record holds what was booked.
async fn orderly_end(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut harness =
        if rng.random_bool(0.5) { RecordHarness::sqlite() } else { RecordHarness::postgres().await };
    let mut town = harness.cluster(2).await;
    let load = Load::start(&town, 4);
    load.wait_for_served(50).await;
    let mut parties = vec!["agent", "n1", "n2"];
    if harness.server.is_some() {
        parties.push("database");
    }
    parties.shuffle(&mut rng);
    let delays: Vec<u64> =
        parties.iter().map(|_| if rng.random_bool(0.5) { 0 } else { rng.random_range(0..700) }).collect();
    let what = format!("seed {seed}: {parties:?} after {delays:?} ms each");
    let mut at = None;
    for (party, delay) in parties.iter().zip(&delays) {
        tokio::time::sleep(Duration::from_millis(*delay)).await;
        match *party {
            "agent" => town.agent.as_ref().expect("an agent").signal("TERM").await,
            "database" => {
                at = Some(harness.server_address());
                harness.server.take().expect("a server").kill().await;
            }
            name => {
                let g = town.gatekeepers.iter().find(|g| g.name == name).expect("a gatekeeper");
                g.process.signal("TERM").await;
            }
        }
    }
    for g in &mut town.gatekeepers {
        let ended = tokio::time::timeout(MAX_WAIT, g.process.wait()).await.expect("it ends");
        assert!(ended.is_some_and(|how| how.success()), "{what}");
    }
    let agent = town.agent.as_mut().expect("an agent");
    let ended = tokio::time::timeout(MAX_WAIT, agent.wait()).await.expect("it ends");
    assert!(ended.is_some_and(|how| how.success()), "{what}");
    load.stop().await;
    if let Some(at) = at {
        harness.restart_server(at).await;
    }
    // The next lives: in either order too.
    for k in 0..2 {
        town.restart_gatekeeper(k).await.expect("started");
    }
    town.start_agent().await.expect("started");
    let backend = harness.open().await;
    lands(&*backend, &units_by_shop(&town), &what).await;
    wait_for("sound", async || status(&town).await.filter(|r| r.state == "sound" && r.spool_batches == 0))
        .await;
    no_gap(&*backend, &what).await;
    assert!((0..2).all(|k| words(&town, k).is_empty()), "{what}: taken up");
    backend.check().await.expect("ledger and totals agree");
    town.stop().await;
}

#[test]
fn fifty_orders_of_an_orderly_end_keep_every_unit_and_enter_no_gap() {
    // A few towns beside each other: most of the time goes into waiting.
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..5 {
            scope.spawn(|| {
                let runtime = tokio::runtime::Runtime::new().expect("a runtime");
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= 50 {
                        break;
                    }
                    runtime.block_on(orderly_end(seed));
                }
            });
        }
    });
}

/// Serves some units, kills the agent, serves more, and ends the gatekeeper in order: its last word is left in a file.
async fn left_alone(harness: &RecordHarness, launcher: Vec<String>) -> (LocalCluster, PathBuf) {
    let mut town = harness.cluster_under(1, launcher).await;
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    for k in 0..9 {
        assert!(is_served(&pool, &shop(k % 3, "wide")).await);
    }
    town.agent.as_mut().expect("an agent").kill().await;
    for k in 0..12 {
        assert!(is_served(&pool, &shop(k % 4, "wide")).await);
    }
    for _ in 0..7 {
        is_served(&pool, &shop(9, "ten")).await;
    }
    town.gatekeepers[0].process.signal("TERM").await;
    assert!(town.gatekeepers[0].process.wait().await.expect("ended").success());
    let path = words(&town, 0).pop();
    (town, path.unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_word_left_after_an_agent_was_killed_lands_once_with_the_next_also_if_found_twice() {
    let harness = RecordHarness::sqlite();
    let (mut town, path) = left_alone(&harness, Vec::new()).await;
    let word = std::fs::read(&path).expect("left");
    let wanted = units_by_shop(&town);
    town.restart_gatekeeper(0).await.expect("started");
    town.start_agent().await.expect("started");
    let backend = harness.open().await;
    lands(&*backend, &wanted, "the left word").await;
    assert!(!path.exists());
    // Ten units were there, seven are spent: the file says so, the new life goes on from it.
    town.agent.as_mut().expect("an agent").wait_for_log("stores are restored").await.expect("restored");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    let mut more = 0;
    for _ in 0..6 {
        more += u32::from(is_served(&pool, &shop(9, "ten")).await);
    }
    assert_eq!(more, 3);
    // Found again, as after a kill between spool and removal, by an agent that was there and by a new one.
    std::fs::write(&path, &word).expect("written");
    town.gatekeepers[0].process.signal("TERM").await;
    town.gatekeepers[0].process.wait().await;
    wait_for("taken up again", async || (!path.exists()).then_some(())).await;
    std::fs::write(&path, &word).expect("written");
    town.agent.as_mut().expect("an agent").kill().await;
    town.restart_gatekeeper(0).await.expect("started");
    town.start_agent().await.expect("started");
    wait_for("taken up again", async || (!path.exists()).then_some(())).await;
    wait_for("sound", async || status(&town).await.filter(|r| r.state == "sound" && r.spool_batches == 0))
        .await;
    lands(&*backend, &units_by_shop(&town), "each batch once").await;
    no_gap(&*backend, "each life ended in order").await;
    town.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_a_torn_word_what_is_sound_counts_once_and_the_rest_is_a_gap() {
    let harness = RecordHarness::sqlite();
    let (mut town, path) = left_alone(&harness, Vec::new()).await;
    let word = std::fs::read(&path).expect("left");
    std::fs::write(&path, &word[..word.len() - 3]).expect("torn");
    town.restart_gatekeeper(0).await.expect("started");
    town.start_agent().await.expect("started");
    let backend = harness.open().await;
    // All batches stand before the tear.
    lands(&*backend, &units_by_shop(&town), "what is sound").await;
    wait_for("set aside", async || path.with_extension("torn").exists().then_some(())).await;
    // Torn within its first record it says nothing, not even whose it is.
    town.gatekeepers[0].process.signal("TERM").await;
    town.gatekeepers[0].process.wait().await;
    let other = final_report::path_of(&town.gatekeepers[0].socket, 5);
    std::fs::write(&other, &word[..20]).expect("torn");
    town.restart_gatekeeper(0).await.expect("started");
    wait_for("set aside", async || other.with_extension("torn").exists().then_some(())).await;
    lands(&*backend, &units_by_shop(&town), "nothing twice").await;
    town.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_word_of_another_instance_is_refused_and_kept() {
    let harness = RecordHarness::sqlite();
    let (mut town, path) = left_alone(&harness, Vec::new()).await;
    let wanted = units_by_shop(&town);
    // The same word, renamed as by an operator's copy, for a gatekeeper that is not its own.
    let word = final_report::read(&path).expect("sound");
    let foreign = final_report::FinalReport {
        welcome: frostvale_link::proto::Welcome { name: "n7".into(), ..word.welcome },
        ..word
    };
    std::fs::remove_file(&path).expect("removed");
    let socket = &town.gatekeepers[0].socket;
    let at =
        final_report::write(socket, &foreign.welcome, foreign.batches.iter(), &foreign.levels).expect("left");
    town.restart_gatekeeper(0).await.expect("started");
    town.start_agent().await.expect("started");
    wait_for("set aside", async || at.with_extension("refused").exists().then_some(())).await;
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    assert!(is_served(&pool, &shop(50, "wide")).await);
    let backend = harness.open().await;
    wait_for("later use lands", async || {
        ledger(&*backend).await.contains_key(&shop(50, "wide").id).then_some(())
    })
    .await;
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert!(found < wanted.values().sum::<i64>(), "{found}: the foreign word was counted");
    town.stop().await;
}

/// No place for the last word: one line says what is lost, with figures, and the end is in order all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_where_the_last_word_is_left_is_one_line_with_figures() {
    let harness = RecordHarness::sqlite();
    // Files of the gatekeeper may grow by nothing, as on a full disk; its log is a pipe.
    let script = "case \"$1\" in *frostvale) trap '' XFSZ; ulimit -f 0;; esac; exec \"$@\"";
    let launcher = ["sh", "-c", script, "sh"].map(String::from).to_vec();
    let (mut town, path) = left_alone(&harness, launcher).await;
    assert_eq!(path, Path::new(""), "nothing is left that could pass for a word");
    let process = &mut town.gatekeepers[0].process;
    process.wait_for_log("can't be left at").await.expect("told");
    let log = process.log();
    let lines: Vec<&String> = log.iter().filter(|l| l.contains("lost to the record")).collect();
    assert_eq!(lines.len(), 1, "{log:#?}");
    // Twelve reads and seven of ten units came after the agent was killed; of the nine before some were kept.
    let lost =
        lines[0].split("units passed ").nth(1).and_then(|rest| rest.split(',').next()).expect("a figure");
    let lost: f64 = lost.parse().expect("a figure");
    assert!((19.0..=28.0).contains(&lost), "{}", lines[0]);
    town.stop().await;
}

/// A town whose gatekeepers report once a minute: what is in the record was taken by the agent's own stop.
async fn seldom_reported(harness: &RecordHarness) -> LocalCluster {
    let town = harness.cluster_with("[usage]\nreport_ms = 60000\n", Vec::new()).await;
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    for k in 0..21 {
        assert!(is_served(&pool, &shop(k % 4, "wide")).await);
    }
    town
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_alone_takes_what_was_used_until_then() {
    let harness = RecordHarness::sqlite();
    let mut town = seldom_reported(&harness).await;
    let backend = harness.open().await;
    let agent = town.agent.as_mut().expect("an agent");
    agent.signal("TERM").await;
    assert!(agent.wait().await.expect("ended").success());
    // Nobody else is there to land it.
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert_eq!(found, 21_000);
    // The gatekeeper goes on, and the next agent gets what came since.
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    assert!(is_served(&pool, &shop(9, "wide")).await);
    town.start_agent().await.expect("started");
    town.stop().await;
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert_eq!(found, 22_000);
    no_gap(&*backend, "both ended in order").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_with_its_gatekeepers_takes_their_last_words_first() {
    let harness = RecordHarness::sqlite();
    let mut town = seldom_reported(&harness).await;
    let backend = harness.open().await;
    // The agent hears of it first: it waits, and the gatekeeper that stops a moment later still finds it.
    town.agent.as_ref().expect("an agent").signal("TERM").await;
    town.gatekeepers[0].process.signal("TERM").await;
    assert!(town.gatekeepers[0].process.wait().await.expect("ended").success());
    assert!(town.agent.as_mut().expect("an agent").wait().await.expect("ended").success());
    let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
    assert_eq!(
        (found, words(&town, 0)),
        (21_000, Vec::new()),
        "all of it is in the record, and no word is left"
    );
    let epoch_ms = match backend.run(Op::Instances).await {
        Ok(Reply::Instances(all)) => all.iter().find(|i| i.0 == "n1").expect("seen").2,
        other => panic!("{other:?}"),
    };
    let mark = Op::Watermark { instance: "n1".into(), epoch_ms };
    let Ok(Reply::Watermark(Some((_, _, ended)), _)) = backend.run(mark).await else {
        panic!("no watermark")
    };
    assert!(ended, "the last word is known for one");
}
