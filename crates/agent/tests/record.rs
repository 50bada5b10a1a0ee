//! The store of record under failures, over real gatekeepers, real agents and both databases: what was sent is what is
//! kept, whatever dies, and RESP2 traffic does not notice.

mod record_harness;

use frostvale_record::model::{Change, Plan as KeptPlan};
use frostvale_record::{Backend, Op, Reply};
use frostvale_standin::client::{ClientPool, Shop, rate_limit_call, rls_client};
use frostvale_standin::clock::unix_ms;
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::resp::Answer;
use record_harness::{
    Load, RecordHarness, SHOP, WAIT, ledger, plans, served, shop, status, units_by_shop, until,
};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

// ---- exact, and by both protocols ----

async fn use_is_kept_to_the_unit(kept: RecordHarness) {
    let mut town = kept.cluster(2).await;
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    for k in 0..60 {
        assert!(served(&pool, &shop(k % 7, "wide")).await);
    }
    // Ten of these pass, and the others are refused.
    for _ in 0..14 {
        served(&pool, &shop(100, "ten")).await;
    }
    // Checks count as well; those that are given back do not.
    let mut client = rls_client(town.rls).expect("an address");
    for _ in 0..5 {
        client.should_rate_limit(rate_limit_call(&shop(200, "wide"), true, 2)).await.expect("an answer");
    }
    let mut both = rate_limit_call(&shop(201, "wide"), true, 1);
    both.descriptors.extend(rate_limit_call(&shop(100, "ten"), true, 1).descriptors);
    client.should_rate_limit(both).await.expect("an answer");
    let backend = kept.open().await;
    let wanted = units_by_shop(&town);
    let found = until("all landed", async || {
        let found = ledger(&*backend).await;
        let passed: i64 = found.values().map(|v| v.0).sum();
        (passed >= wanted.values().sum::<i64>() + 10_000).then_some(found)
    })
    .await;
    for (shop, milli) in &wanted {
        assert_eq!(found.get(shop), Some(&(*milli, *milli)), "{shop}");
    }
    assert_eq!(found.get(&shop(100, "ten").id), Some(&(10_000, 10_000)));
    assert_eq!(found.get(&shop(200, "wide").id), Some(&(10_000, 0)), "five checks of two units");
    assert!(found.get(&shop(201, "wide").id).is_none_or(|v| v.0 == 0), "given back");
    // An end in order: the last word of each life is kept, and there is no gap.
    let pid = town.gatekeepers[0].process.pid();
    assert!(served(&pool, &shop(1, "wide")).await);
    town.gatekeepers[0].process.signal("TERM").await;
    assert!(town.gatekeepers[0].process.wait().await.expect("ended").success(), "{pid:?}");
    let wanted: i64 = units_by_shop(&town).values().sum();
    until("the last word has landed", async || {
        let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
        (found == wanted + 10_000).then_some(())
    })
    .await;
    town.restart_gatekeeper(0).await.expect("started");
    until("linked again", async || status(&town).await.filter(|r| r.state == "sound")).await;
    assert_eq!(backend.run(Op::Gaps).await, Ok(Reply::Gaps(Vec::new())));
    backend.check().await.expect("ledger and totals agree");
    town.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn use_is_kept_to_the_unit_in_sqlite() {
    use_is_kept_to_the_unit(RecordHarness::sqlite()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn use_is_kept_to_the_unit_in_postgres() {
    use_is_kept_to_the_unit(RecordHarness::postgres().await).await;
}

// ---- plans ----

fn set(rate_milli: i64, id: &str, base: i64) -> Op {
    let plan = KeptPlan { name: "ten".into(), rate_milli, burst_milli: 3000, ..KeptPlan::default() };
    let change = Change {
        id: id.into(),
        base,
        by: "ana".into(),
        source: "test".into(),
        why: "season".into(),
        at_ms: 1,
    };
    Op::SetPlan(plan, change)
}

/// A plan that is set reaches all gatekeepers while they serve, and the one that restarts, also with the database gone.
#[tokio::test(flavor = "multi_thread")]
async fn recorded_plans_reach_gatekeepers_in_service_and_after_a_restart_without_the_database() {
    let mut kept = RecordHarness::postgres().await;
    let mut town = kept.cluster(2).await;
    let backend = kept.open().await;
    backend.run(set(1, "one", 0)).await.expect("set");
    for g in &mut town.gatekeepers {
        g.process.wait_for_log("the plans of revision 1 are in effect").await.expect("taken");
    }
    let granted = async |town: &LocalCluster, shop: Shop| {
        let mut client = rls_client(town.rls).expect("an address");
        let mut granted = 0;
        for _ in 0..12 {
            let answer = client.should_rate_limit(rate_limit_call(&shop, true, 1)).await.expect("an answer");
            granted += u32::from(answer.get_ref().overall_code as i32 == 1);
        }
        granted
    };
    assert_eq!(granted(&town, shop(1, "ten")).await, 3, "three units, no longer ten");
    // The database dies; a gatekeeper restarts and gets the plan from its agent.
    let at = kept.at();
    kept.server.take().expect("a server").kill().await;
    town.gatekeepers[0].process.kill().await;
    town.restart_gatekeeper(0).await.expect("started");
    town.gatekeepers[0].process.wait_for_log("the plans of revision 1 are in effect").await.expect("taken");
    assert_eq!(granted(&town, shop(2, "ten")).await, 3);
    let away = until("away", async || status(&town).await.filter(|r| r.state == "away")).await;
    assert!(away.revision == 1 && !away.problem.is_empty(), "{away:?}");
    // It comes back, and the next change reaches all.
    kept.restart_server(at).await;
    until("back", async || status(&town).await.filter(|r| r.state == "sound")).await;
    let backend = kept.open().await;
    backend.run(set(2, "two", 1)).await.expect("set");
    for g in &mut town.gatekeepers {
        g.process.wait_for_log("the plans of revision 2 are in effect").await.expect("taken");
    }
    town.stop().await;
}

/// Two agents of two hosts over one database: whichever wins, all gatekeepers end on the same revision.
#[tokio::test(flavor = "multi_thread")]
async fn gatekeepers_of_two_agents_end_on_the_same_revision() {
    let kept = RecordHarness::postgres().await;
    let one = kept.cluster(1).await;
    let spool = kept.path("spool2.db");
    let extra = kept.agent_settings().replace("spool.db", "spool2.db");
    assert!(extra.contains(&spool.display().to_string()));
    let other = LocalCluster::start(ClusterOptions {
        gatekeepers: 1,
        servers: 1,
        plans: Some(plans()),
        agent_settings: extra,
        ..ClusterOptions::default()
    })
    .await
    .expect("started");
    let mut towns = [one, other];
    let (a, b) = (kept.open().await, kept.open().await);
    let mut base = 0;
    for round in 0..5 {
        let write = |backend: &Arc<dyn Backend>, who: &str, rate: i64| {
            let (backend, op) = (backend.clone(), set(rate, &format!("{who}{round}"), base));
            tokio::spawn(async move { backend.run(op).await })
        };
        let both = [write(&a, "a", 100 + round), write(&b, "b", 200 + round)];
        let mut won = Vec::new();
        for one in both {
            won.extend(one.await.expect("ended").ok());
        }
        let [Reply::Revision(revision)] = won[..] else { panic!("{won:?}") };
        for town in &mut towns {
            let text = format!("the plans of revision {revision} are in effect");
            town.gatekeepers[0].process.wait_for_log(&text).await.expect("taken");
        }
        base = revision;
    }
    for town in &mut towns {
        town.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_council_a_plan_that_is_set_for_later_leaves_what_is_in_effect() {
    let kept = RecordHarness::postgres().await;
    let mut town = kept.cluster(1).await;
    let record = kept.open().await;
    record.run(set(100, "one", 0)).await.expect("set");
    town.gatekeepers[0]
        .process
        .wait_for_log("the plans of revision 1 are in effect")
        .await
        .expect("published");
    let Op::SetPlan(next, change) = set(200, "two", 1) else { unreachable!() };
    let now_ms = i64::try_from(frostvale_standin::clock::unix_ms()).expect("a time");
    let soon = frostvale_record::model::Plan { from_ms: now_ms + 2000, ..next };
    record.run(Op::SetPlan(soon, change)).await.expect("set");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let log = town.gatekeepers[0].process.log();
    assert!(log.iter().all(|l| !l.contains("revision 2 are in effect")), "{log:?}");
    town.gatekeepers[0]
        .process
        .wait_for_log("the plans of revision 2 are in effect")
        .await
        .expect("at its time");
    town.stop().await;
}

// ---- the database is slow, hung or dead ----

/// RESP2 requests are served as before, use waits in the spool, and all of it lands when the database is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_database_that_is_slow_hung_or_dead_is_not_noticed_by_requests_and_all_lands_after() {
    let mut kept = RecordHarness::postgres().await;
    let mut town = kept.cluster(2).await;
    let load = Load::start(&town, 8);
    load.more(50).await;
    let faults = kept.server.as_ref().expect("a server").faults.clone();
    faults.slow_ms.store(2000, Ordering::SeqCst);
    load.more(400).await;
    let seen = until("away", async || status(&town).await.filter(|r| r.spool_batches > 0)).await;
    assert!(seen.spool_bytes < 64 << 20);
    faults.slow_ms.store(0, Ordering::SeqCst);
    faults.hang.store(true, Ordering::SeqCst);
    load.more(400).await;
    faults.hang.store(false, Ordering::SeqCst);
    let at = kept.at();
    kept.server.take().expect("a server").kill().await;
    load.more(400).await;
    until("seen to be away", async || {
        status(&town).await.filter(|r| r.state == "away" && r.spool_batches > 0)
    })
    .await;
    kept.restart_server(at).await;
    load.more(100).await;
    load.stop().await;
    let backend = kept.open().await;
    let wanted = units_by_shop(&town);
    until("all landed", async || {
        let found = ledger(&*backend).await;
        let found: BTreeMap<String, i64> = found.into_iter().map(|(shop, v)| (shop, v.0)).collect();
        (found == wanted).then_some(())
    })
    .await;
    backend.check().await.expect("ledger and totals agree");
    town.stop().await;
}

/// A full spool says so, acknowledges nothing more, and loses nothing: gatekeepers hold their use.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_spool_says_what_would_be_lost_and_loses_nothing() {
    let mut kept = RecordHarness::postgres().await;
    let at = kept.at();
    kept.server.take().expect("a server").kill().await;
    let extra = kept.agent_settings().replace("poll_ms", "spool_mb = 1\npoll_ms");
    let plan = ClusterOptions {
        gatekeepers: 1,
        servers: 3,
        formula: ServerOptions {
            cores: 8,
            work: Duration::from_millis(2),
            queue: 1000,
            ..ServerOptions::default()
        },
        plans: Some(plans()),
        gatekeeper_settings: "[usage]\nreport_ms = 10\n".into(),
        agent_settings: extra,
        ..ClusterOptions::default()
    };
    let mut town = LocalCluster::start(plan).await.expect("started with no database at all");
    // Many shops make long batches.
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for c in 0..32u64 {
        let (stop, pool) = (stop.clone(), ClientPool::new(town.gatekeepers[0].resp));
        tasks.push(tokio::spawn(async move {
            let mut k = c;
            while !stop.load(Ordering::Relaxed) {
                k += 32;
                let answer = pool
                    .send_request(&shop(k, "wide"), "formula-read", None, 1, WAIT)
                    .await
                    .expect("an answer");
                assert!(!matches!(answer, Answer::Failed(_)), "{answer:?}");
            }
        }));
    }
    let agent = town.agent.as_mut().expect("an agent");
    agent.wait_for_log("fills").await.expect("warned before");
    agent.wait_for_log("the spool is full").await.expect("told");
    let before = status(&town).await.expect("a record");
    assert!(before.spool_bytes <= 1 << 20, "{before:?}");
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("no request failed");
    }
    kept.restart_server(at).await;
    let backend = kept.open().await;
    let wanted: i64 = units_by_shop(&town).values().sum();
    until("all landed", async || {
        let found: i64 = ledger(&*backend).await.values().map(|v| v.0).sum();
        assert!(found <= wanted, "{found} of {wanted}: counted twice");
        (found == wanted).then_some(())
    })
    .await;
    town.stop().await;
}

// ---- kills ----

/// A small generator, so that the same seed gives the same schedule.
fn draw(state: &mut u64, below: u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) % below
}

/// Kills of the database, the agent and gatekeepers at seeded moments under load. Afterwards the ledger is what the
/// formula servers booked, less only what killed gatekeepers had not reported: never more, and each such life is a gap.
async fn kills(schedules: u64, gatekeepers_too: bool) {
    let mut kept = RecordHarness::postgres().await;
    let mut town = kept.cluster(2).await;
    let load = Load::start(&town, 8);
    let mut seed = 20_261_201;
    let mut killed = 0u64;
    for _ in 0..schedules {
        load.more(10 + draw(&mut seed, 60)).await;
        let faults = kept.server.as_ref().expect("a server").faults.clone();
        match draw(&mut seed, if gatekeepers_too { 7 } else { 5 }) {
            0 => faults.die_before_commit.store(true, Ordering::SeqCst),
            1 => faults.die_after_commit.store(true, Ordering::SeqCst),
            2 => {
                let at = kept.at();
                kept.server.take().expect("a server").kill().await;
                load.more(draw(&mut seed, 40)).await;
                kept.restart_server(at).await;
            }
            3 => {
                town.agent.as_mut().expect("an agent").kill().await;
                load.more(draw(&mut seed, 40)).await;
                town.start_agent().await.expect("started");
            }
            4 => faults.cut_after.store(draw(&mut seed, 20) as i64, Ordering::SeqCst),
            _ => {
                let k = draw(&mut seed, 2) as usize;
                town.gatekeepers[k].process.kill().await;
                killed += 1;
                town.restart_gatekeeper(k).await.expect("started");
            }
        }
    }
    load.stop().await;
    let faults = &kept.server.as_ref().expect("a server").faults;
    faults.cut_after.store(-1, Ordering::SeqCst);
    let backend = kept.open().await;
    // All that is alive has reported: the newest use of each gatekeeper is there.
    let mut last = (0i64, Instant::now());
    let found = until("settled", async || {
        let found = ledger(&*backend).await;
        let sum: i64 = found.values().map(|v| v.0).sum();
        if sum != last.0 {
            last = (sum, Instant::now());
        }
        let empty = status(&town).await.is_some_and(|r| r.spool_batches == 0 && r.state == "sound");
        (empty && last.1.elapsed() > Duration::from_millis(500)).then_some(found)
    })
    .await;
    let wanted = units_by_shop(&town);
    let mut missing = 0;
    for (shop, (passed, _)) in &found {
        let most = wanted.get(shop).copied().unwrap_or(0);
        assert!(*passed <= most, "{shop}: {passed} kept, {most} booked: something was counted twice");
    }
    for (shop, milli) in &wanted {
        missing += milli - found.get(shop).map_or(0, |v| v.0);
    }
    println!("{schedules} schedules, {killed} gatekeepers killed, {} thousandths missing", missing);
    let Ok(Reply::Gaps(gaps)) = backend.run(Op::Gaps).await else { panic!("no gaps") };
    if killed == 0 {
        assert_eq!(missing, 0, "nothing is lost while gatekeepers live");
    } else {
        // What a kill may cost: what was used in the 50 ms between reports, in one on its way and in one that the
        // spool had not yet: 8 clients have 3 requests each done in that time at the most.
        let bound = i64::try_from(killed).expect("few") * 500_000;
        assert!(missing <= bound, "{missing} thousandths missing after {killed} kills, {bound} at most");
        assert!(!gaps.is_empty(), "and each is told of");
        assert!(gaps.len() as u64 <= killed && gaps.iter().all(|g| g.to_ms >= g.from_ms), "{gaps:?}");
    }
    backend.check().await.expect("ledger and totals agree");
    town.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn kills_of_database_and_agent_lose_nothing_and_count_nothing_twice() {
    kills(25, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn kills_of_gatekeepers_lose_no_more_than_the_stated_figure_and_leave_a_gap() {
    kills(25, true).await;
}

/// The long one: 100 schedules. Run once, figures in the docs: `cargo test --release -- --ignored hundred`.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "minutes"]
async fn a_hundred_schedules_of_kills() {
    kills(100, false).await;
    kills(100, true).await;
}

/// A gatekeeper in a restart loop: its shop's ceiling holds over all lives together.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_loop_gains_no_fresh_burst() {
    let kept = RecordHarness::sqlite();
    let mut town = kept.cluster(1).await;
    let shop = Shop { id: SHOP.into(), ..shop(0, "capped") };
    let begun = Instant::now();
    for life in 0..20 {
        let pool = ClientPool::new(town.gatekeepers[0].resp);
        for _ in 0..60 {
            served(&pool, &shop).await;
        }
        let passed = town.units_by_shop().get(SHOP).copied().unwrap_or(0.0);
        // Rate and burst 20, slack 4.
        let most = 20.0 * begun.elapsed().as_secs_f64() + 20.0 + 4.0;
        assert!(passed <= most, "{passed} units after {life} restarts, {most} at most");
        town.gatekeepers[0].process.kill().await;
        town.restart_gatekeeper(0).await.expect("started");
    }
    town.stop().await;
}

/// A gatekeeper spends what its last word still counted while its agent is dead, and is killed: the slice that comes back
/// is not that one. The shop asks only once the restored stores have arrived, in each of four lives.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_gatekeepers_slice_is_not_restored_as_it_was_last_told() {
    let kept = RecordHarness::sqlite();
    let mut town = kept.cluster(1).await;
    let backend = kept.open().await;
    let shop = Shop { id: SHOP.into(), ..shop(0, "capped") };
    let begun = Instant::now();
    let burst = async |town: &LocalCluster, what: &str| {
        let pool = ClientPool::new(town.gatekeepers[0].resp);
        for _ in 0..60 {
            served(&pool, &shop).await;
        }
        let passed = town.units_by_shop().get(SHOP).copied().unwrap_or(0.0);
        // Rate and burst 20, slack 4.
        let most = 20.0 * begun.elapsed().as_secs_f64() + 20.0 + 4.0;
        assert!(passed <= most, "{what}: {passed} units, {most} at the most");
    };
    for _ in 0..4 {
        // The slice fills, one request is seen to leave much of it, and that is told and kept.
        let pool = ClientPool::new(town.gatekeepers[0].resp);
        served(&pool, &shop).await;
        let first_ms = i64::try_from(unix_ms()).expect("a time");
        tokio::time::sleep(Duration::from_millis(1200)).await;
        served(&pool, &shop).await;
        until("a full slice is kept", async || {
            let levels = backend.run(Op::Levels { instance: "n1".into(), since_ms: 0 }).await;
            let Ok(Reply::Levels(levels)) = levels else { return None };
            levels.iter().any(|l| l.ceiling_milli >= 15_000 && l.at_ms > first_ms).then_some(())
        })
        .await;
        town.agent.as_mut().expect("an agent").kill().await;
        burst(&town, "before the kill").await;
        town.gatekeepers[0].process.kill().await;
        town.restart_gatekeeper(0).await.expect("started");
        town.start_agent().await.expect("started");
        town.agent.as_mut().expect("an agent").wait_for_log("stores are restored").await.expect("restored");
        // Until the restored stores have arrived it may be too early to ask.
        tokio::time::sleep(Duration::from_millis(200)).await;
        burst(&town, "after the restart").await;
    }
    town.stop().await;
}

/// A quota's store is not full again after a restart, and after one in order it is exactly what it was.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_was_spent_is_still_spent_after_a_restart() {
    let kept = RecordHarness::sqlite();
    let mut town = kept.cluster(1).await;
    let backend = kept.open().await;
    let ten = shop(5, "ten");
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    for _ in 0..7 {
        assert!(served(&pool, &ten).await);
    }
    town.gatekeepers[0].process.signal("TERM").await;
    town.gatekeepers[0].process.wait().await;
    town.restart_gatekeeper(0).await.expect("started");
    let agent = town.agent.as_mut().expect("an agent");
    agent.wait_for_log("stores are restored").await.expect("restored");
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    // Until the restored stores have arrived it may be too early to ask.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut left = 0;
    for _ in 0..10 {
        left += u32::from(served(&pool, &ten).await);
    }
    assert_eq!(left, 3, "of ten");
    // Killed, its agent with it: the database knows.
    until("the levels are kept", async || {
        let levels = backend.run(Op::Levels { instance: "n1".into(), since_ms: 0 }).await;
        let Ok(Reply::Levels(levels)) = levels else { return None };
        levels.iter().any(|l| l.store_milli < 1000).then_some(())
    })
    .await;
    town.agent.as_mut().expect("an agent").kill().await;
    town.gatekeepers[0].process.kill().await;
    town.restart_gatekeeper(0).await.expect("started");
    town.start_agent().await.expect("started");
    town.agent.as_mut().expect("an agent").wait_for_log("stores are restored").await.expect("restored");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    assert!(!served(&pool, &ten).await, "nothing is left, also by the database's word");
    town.stop().await;
}

/// Hosts whose clocks are 90 s ahead and 90 s behind: lives, batches and stores are told apart all the same.
#[tokio::test(flavor = "multi_thread")]
async fn clocks_that_are_ninety_seconds_off_lose_nothing_and_count_nothing_twice() {
    let kept = RecordHarness::sqlite();
    let mut town = kept.cluster_with_clocks(vec![90_000, -90_000]).await;
    let load = Load::start(&town, 4);
    load.more(100).await;
    for k in 0..2 {
        town.agent.as_mut().expect("an agent").kill().await;
        load.more(50).await;
        town.start_agent().await.expect("started");
        town.gatekeepers[k].process.signal("TERM").await;
        town.gatekeepers[k].process.wait().await;
        town.restart_gatekeeper(k).await.expect("started");
        load.more(100).await;
    }
    load.stop().await;
    // A store that was spent stays spent over a life by a clock that is ahead, as by one that is behind.
    for k in 0..2 {
        let ten = Shop { first: k as u32, ..shop(60 + k as u64, "ten") };
        let pool = ClientPool::new(town.gatekeepers[k].resp);
        for _ in 0..7 {
            assert!(served(&pool, &ten).await);
        }
        town.gatekeepers[k].process.signal("TERM").await;
        town.gatekeepers[k].process.wait().await;
        town.restart_gatekeeper(k).await.expect("started");
        let agent = town.agent.as_mut().expect("an agent");
        agent.wait_for_log(&format!("n{}: ", k + 1)).await.expect("restored");
        let pool = ClientPool::new(town.gatekeepers[k].resp);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut left = 0;
        for _ in 0..10 {
            left += u32::from(served(&pool, &ten).await);
        }
        assert_eq!(left, 3, "of ten, at gatekeeper {k}");
    }
    town.stop().await;
    let backend = kept.open().await;
    let found: BTreeMap<String, i64> = ledger(&*backend)
        .await
        .into_iter()
        .map(|(shop, v)| (shop, v.0))
        .filter(|(_, passed)| *passed > 0)
        .collect();
    assert_eq!(found, units_by_shop(&town));
    assert_eq!(backend.run(Op::Gaps).await, Ok(Reply::Gaps(Vec::new())));
}

// ---- what can't be used ----

#[test]
fn an_agent_whose_record_cannot_be_used_says_so_in_one_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    std::fs::write(path("text.db"), "this is no database, and it is long enough to be looked at as one")
        .expect("written");
    let run = |record: String| {
        let text = format!("[[gatekeepers]]\nname = \"n1\"\nsocket = \"/nowhere.sock\"\n[record]\n{record}");
        std::fs::write(path("agent.toml"), text).expect("written");
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_frostagent"))
            .arg("--config")
            .arg(path("agent.toml"))
            .output()
            .expect("run");
        assert!(!out.status.success());
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(said.lines().count(), 1, "{said}");
        said
    };
    let url = |p: &Path| format!("url = \"sqlite:{}\"\n", p.display());
    let spool = format!("spool = {:?}\n", path("spool.db"));
    assert!(run(url(&path("text.db")) + &spool).contains("damaged"));
    assert!(run(url(Path::new("/nowhere/x.db")) + &spool).contains("cannot open"));
    assert!(run(url(&path("good.db")) + "spool = \"/nowhere/s.db\"").contains("record.spool"));
}
