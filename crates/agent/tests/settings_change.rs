//! Gatekeepers of one host whose settings differ, as while new settings are rolled out: plans and classes are
//! listed in another order, or some are dropped. Every index that a gatekeeper and the agent send each other
//! counts in the lists of that gatekeeper's process alone.

mod record_harness;

use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_record::{Backend, Op, Reply};
use frostvale_standin::client::{ClientPool, Shop, rate_limit_call, rls_client, unique_id};
use frostvale_standin::local_cluster::LocalCluster;
use frostvale_standin::resp::Answer;
use record_harness::{REQUEST_TIMEOUT, RecordHarness, is_served, shop, wait_for};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests to each gatekeeper before the change of settings, and again after it.
const REQUESTS: u64 = 20;

/// Restarts a gatekeeper in order with changed settings.
async fn restart_with(cluster: &mut LocalCluster, k: usize, change: impl FnOnce(&mut Value)) {
    let path = cluster.gatekeepers[k].config.clone();
    let mut config: Value = serde_json::from_slice(&std::fs::read(&path).expect("read")).expect("JSON");
    change(&mut config["settings"]);
    std::fs::write(&path, config.to_string()).expect("written");
    let name = cluster.gatekeepers[k].name.clone();
    cluster.gatekeepers[k].process.signal("TERM").await;
    cluster.gatekeepers[k].process.wait().await;
    cluster.restart_gatekeeper(k).await.expect("started");
    let agent = cluster.agent.as_mut().expect("an agent");
    agent.wait_for_log_times(&format!("gatekeeper {name} is linked"), 2).await.expect("linked again");
}

/// Moves the first plan to the end and drops the first class.
fn reorder_plans_and_drop_class(settings: &mut Value) {
    settings["Plans"].as_array_mut().expect("plans").rotate_left(1);
    let dropped = settings["Classes"].as_array_mut().expect("classes").remove(0);
    assert_eq!(dropped["Name"], "formula-read");
}

/// Sends keyed requests of the class that is not dropped, from one shop to each gatekeeper; all must be served.
async fn send_mixes(cluster: &LocalCluster, first_shop: u64) {
    for (k, gatekeeper) in cluster.gatekeepers.iter().enumerate() {
        let pool = ClientPool::new(gatekeeper.resp);
        let own = Shop { first: k as u32, ..shop(first_shop + k as u64, "wide") };
        for _ in 0..REQUESTS {
            let answer = pool.send_request(&own, "mix-record", Some(&unique_id()), 1, REQUEST_TIMEOUT).await;
            assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
        }
    }
}

/// The units in the record by plan and class, in thousandths.
async fn recorded_units(backend: &dyn Backend) -> BTreeMap<(String, String), i64> {
    let op = Op::Totals { shop: String::new(), from_ms: 0, to_ms: i64::MAX, limit: 100_000 };
    let Ok(Reply::Totals(totals)) = backend.run(op).await else { return BTreeMap::new() };
    let mut units = BTreeMap::new();
    for total in totals {
        *units.entry((total.plan, total.class)).or_default() += total.passed_milli;
    }
    units
}

/// While one gatekeeper has new settings and the other the former ones, the agent recorded the usage of both
/// by the lists of the one that had connected last: units went to other classes and plans.
#[tokio::test(flavor = "multi_thread")]
async fn use_is_recorded_under_its_class_and_plan_when_gatekeepers_differ_in_settings() {
    let harness = RecordHarness::sqlite();
    let mut cluster = harness.cluster(2).await;
    send_mixes(&cluster, 0).await;
    restart_with(&mut cluster, 0, reorder_plans_and_drop_class).await;
    send_mixes(&cluster, 10).await;
    let backend = harness.open().await;
    let sent = cluster.gatekeepers.len() as i64 * 2 * REQUESTS as i64 * 1000;
    let units = wait_for("all use is recorded", async || {
        let units = recorded_units(&*backend).await;
        (units.values().sum::<i64>() >= sent).then_some(units)
    })
    .await;
    assert_eq!(units, [(("wide".to_string(), "mix-record".to_string()), sent)].into());
    cluster.stop().await;
}

/// A check names its plan and class by the lists of the gatekeeper that decides it. The agent took those of
/// the gatekeeper that had connected last: a check was charged to another plan, or rejected for its class.
#[tokio::test(flavor = "multi_thread")]
async fn checks_are_charged_to_their_plan_when_gatekeepers_differ_in_settings() {
    let harness = RecordHarness::sqlite();
    let mut cluster = harness.cluster(2).await;
    restart_with(&mut cluster, 0, reorder_plans_and_drop_class).await;
    let mut client = rls_client(cluster.rls).expect("an address");
    for gatekeeper in 0..2 {
        let ten = Shop { first: gatekeeper, ..shop(50 + u64::from(gatekeeper), "ten") };
        let mut granted = 0;
        for _ in 0..14 {
            let answer = client.should_rate_limit(rate_limit_call(&ten, true, 1)).await.expect("an answer");
            granted += u32::from(answer.get_ref().overall_code() == Code::Ok);
        }
        assert_eq!(granted, 10, "gatekeeper {gatekeeper}");
    }
    // Only the gatekeeper with the former settings knows the class.
    let mut call = rate_limit_call(&Shop { first: 1, ..shop(60, "wide") }, true, 1);
    call.descriptors[0].entries.push(Entry { key: "class".into(), value: "formula-read".into() });
    let answer = client.should_rate_limit(call).await.expect("an answer");
    assert_eq!(answer.get_ref().overall_code(), Code::Ok);
    assert!(answer.get_ref().response_headers_to_add.iter().all(|h| h.key != "x-frostvale-undecided"));
    cluster.stop().await;
}

/// A token bucket's level is restored under its plan. It was restored under the plan that had the former
/// one's place in the new settings.
#[tokio::test(flavor = "multi_thread")]
async fn token_bucket_stays_spent_when_its_gatekeeper_restarts_with_reordered_plans() {
    let harness = RecordHarness::sqlite();
    let mut cluster = harness.cluster(1).await;
    let ten = shop(5, "ten");
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    for _ in 0..7 {
        assert!(is_served(&pool, &ten).await);
    }
    let reorder = |settings: &mut Value| settings["Plans"].as_array_mut().expect("plans").rotate_left(1);
    restart_with(&mut cluster, 0, reorder).await;
    let agent = cluster.agent.as_mut().expect("an agent");
    agent.wait_for_log("stores are restored").await.expect("restored");
    // The restored levels may not have arrived at the gatekeeper yet.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    let mut left = 0;
    for _ in 0..10 {
        left += u32::from(is_served(&pool, &ten).await);
    }
    assert_eq!(left, 3, "seven of ten units were used before the restart");
    cluster.stop().await;
}
