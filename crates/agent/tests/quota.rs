//! RESP2 requests and rate limit calls of a customer share one quota, over real gatekeepers and a real agent.

use frostvale_proto::envoy::service::ratelimit::v3::RateLimitRequest;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_standin::client::{ClientPool, Shop, rate_limit_call, rls_client};
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::resp::Answer;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const SHOP: &str = "00000000b4d65521";

fn shop(plan: &str, spread: u32) -> Shop {
    Shop { id: SHOP.into(), plan: plan.into(), first: 0, spread }
}

async fn start_cluster(plans: Value) -> LocalCluster {
    let formula =
        ServerOptions { cores: 8, work: Duration::from_millis(3), queue: 1000, ..ServerOptions::default() };
    LocalCluster::start(ClusterOptions { plans: Some(plans), formula, ..ClusterOptions::default() })
        .await
        .expect("started")
}

/// Sends four times the plan's rate for the given time, half by RESP2 through all three gatekeepers and half
/// by gRPC. Returns the units passed by RESP2, the units passed by gRPC and the seconds taken.
async fn send_by_both_protocols(
    cluster: &LocalCluster,
    plan: &str,
    rate: f64,
    time: Duration,
) -> (u64, u64, f64) {
    let (by_resp, by_call) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let pools: Vec<Arc<ClientPool>> =
        cluster.gatekeepers.iter().map(|g| Arc::new(ClientPool::new(g.resp))).collect();
    let client = rls_client(cluster.rls).expect("an address");
    let shop = shop(plan, 3);
    let started = Instant::now();
    let (mut turn, mut tasks) = (0u64, Vec::new());
    while started.elapsed() < time {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let due = (started.elapsed().as_secs_f64() * 4.0 * rate) as u64;
        while turn < due {
            turn += 1;
            let shop = shop.clone();
            // In strict alternation the protocol that comes first at a gatekeeper would take every unit that
            // is refilled.
            let random_choice = (turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize;
            if random_choice.is_multiple_of(2) {
                let (mut client, passed) = (client.clone(), by_call.clone());
                tasks.push(tokio::spawn(async move {
                    let answer =
                        client.should_rate_limit(rate_limit_call(&shop, true, 1)).await.expect("an answer");
                    let ok = answer.get_ref().overall_code() == Code::Ok;
                    passed.fetch_add(u64::from(ok), Ordering::Relaxed);
                }));
            } else {
                let pool = pools[random_choice / 2 % pools.len()].clone();
                let passed = by_resp.clone();
                tasks.push(tokio::spawn(async move {
                    let answer =
                        pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900)).await;
                    match answer.expect("an answer") {
                        Answer::Served(_) => drop(passed.fetch_add(1, Ordering::Relaxed)),
                        Answer::Busy(_) => {}
                        Answer::Failed(line) => panic!("{line}"),
                    }
                }));
            }
        }
    }
    for task in tasks {
        task.await.expect("settled");
    }
    let took = started.elapsed().as_secs_f64();
    (by_resp.load(Ordering::Relaxed), by_call.load(Ordering::Relaxed), took)
}

/// A shop sends by both protocols, through different gatekeepers and the agent, at four times its ceiling,
/// which is the only limit of its plan. Protocols that are counted apart would let it pass twice the ceiling.
#[tokio::test(flavor = "multi_thread")]
async fn ceiling_holds_over_both_protocols_when_one_shop_sends_by_both() {
    let (rate, burst, slack) = (100.0, 100.0, 10.0);
    let mut cluster =
        start_cluster(json!([{"Name": "ferreteria", "ValueFactor": 1.0, "CapRate": rate, "CapDepth": burst,
                                "CeilingSlack": slack}]))
        .await;
    let (resp, calls, took) =
        send_by_both_protocols(&cluster, "ferreteria", rate, Duration::from_secs(20)).await;
    let passed = (resp + calls) as f64;
    let max_units = rate * took + burst + slack;
    println!("{resp} by RESP2 and {calls} by gRPC in {took:.1} s; at most {max_units:.0}");
    assert!(passed <= max_units, "{passed} units passed, at most {max_units} may");
    assert!(passed >= 0.9 * (rate * took + burst), "the ceiling is not used up: {passed} of {max_units}");
    assert!(resp > 100 && calls > 100, "a protocol is starved: {resp} by RESP2, {calls} by gRPC");
    // Formula servers ran only what RESP2 passed: checks do not reach them.
    let ran = cluster.units_by_shop().get(SHOP).copied().unwrap_or(0.0);
    assert!(ran >= resp as f64 && ran <= resp as f64 * 1.02 + 3.0, "{ran} units ran, {resp} served");
    cluster.stop().await;
}

/// Both protocols take from one quota, which is held by one gatekeeper of the set, the quota owner.
#[tokio::test(flavor = "multi_thread")]
async fn quota_is_shared_by_both_protocols_when_one_shop_sends_by_both() {
    let (rate, burst) = (50.0, 50.0);
    let mut cluster =
        start_cluster(json!([{"Name": "tienda", "ValueFactor": 1.0, "UnitsPerS": rate, "PeakUnits": burst}]))
            .await;
    let (resp, calls, took) = send_by_both_protocols(&cluster, "tienda", rate, Duration::from_secs(8)).await;
    let passed = (resp + calls) as f64;
    // Unlike a ceiling, a quota may be exceeded by the tokens that gatekeepers have prefetched.
    let max_units = (rate * took + burst) * 1.1 + 20.0;
    println!("{resp} by RESP2 and {calls} by gRPC in {took:.1} s; at most {max_units:.0}");
    assert!(
        passed <= max_units,
        "{passed} units passed, at most {max_units} may: the protocols are counted apart"
    );
    assert!(passed >= 0.8 * rate * took, "the quota is not used up: {passed}");
    let smaller = resp.min(calls) as f64;
    assert!(smaller >= 0.2 * passed, "one protocol starves the other: {resp} by RESP2, {calls} by gRPC");
    cluster.stop().await;
}

/// Starts a cluster with two plans that refill too slowly to matter, so that grants can be counted, and a
/// capped plan.
async fn cluster_with_countable_plans() -> LocalCluster {
    start_cluster(json!([{"Name": "five", "UnitsPerS": 0.005, "PeakUnits": 5.0, "ValueFactor": 1.0},
                {"Name": "two", "UnitsPerS": 0.005, "PeakUnits": 2.0, "ValueFactor": 1.0},
                {"Name": "capped", "UnitsPerS": 1e4, "PeakUnits": 1e4, "ValueFactor": 1.0, "CapRate": 1e4,
                 "CapDepth": 1e4}]))
    .await
}

async fn is_granted(cluster: &LocalCluster, call: RateLimitRequest) -> bool {
    let mut client = rls_client(cluster.rls).expect("an address");
    let answer = client.should_rate_limit(call).await.expect("an answer");
    answer.get_ref().overall_code() == Code::Ok
}

/// Of five units two are used by RESP2; gRPC gets the other three, and then neither protocol gets any.
#[tokio::test(flavor = "multi_thread")]
async fn units_used_by_one_protocol_are_refused_when_the_other_asks() {
    let mut cluster = cluster_with_countable_plans().await;
    let shop = shop("five", 3);
    let pool = ClientPool::new(cluster.gatekeepers[0].resp);
    for _ in 0..2 {
        let answer = pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900)).await;
        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    }
    let mut granted = 0;
    for _ in 0..8 {
        granted += u32::from(is_granted(&cluster, rate_limit_call(&shop, true, 1)).await);
    }
    assert_eq!(granted, 3);
    let answer = pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900)).await;
    assert!(matches!(answer, Ok(Answer::Busy(Some(ms))) if ms > 100_000), "{answer:?}");
    cluster.stop().await;
}

/// Units are charged for all descriptors of a call, or for none.
#[tokio::test(flavor = "multi_thread")]
async fn call_is_charged_for_all_descriptors_or_none_when_it_has_several() {
    let mut cluster = cluster_with_countable_plans().await;
    let five = rate_limit_call(&shop("five", 3), true, 1);
    let two = Shop { id: "0000000000000002".into(), ..shop("two", 3) };
    let mut both = five.clone();
    both.descriptors.extend(rate_limit_call(&two, true, 1).descriptors);
    assert!(is_granted(&cluster, both.clone()).await && is_granted(&cluster, both.clone()).await);
    for _ in 0..20 {
        assert!(
            !is_granted(&cluster, both.clone()).await,
            "granted although the second shop has no units left"
        );
    }
    let mut left = 0;
    while is_granted(&cluster, five.clone()).await {
        left += 1;
        assert!(left < 10);
    }
    assert_eq!(left, 3, "the first shop was charged for refused calls");
    let status = status(&cluster).await;
    assert_eq!(status.calls.expect("counts").given_back, 20);
    cluster.stop().await;
}

async fn status(cluster: &LocalCluster) -> frostvale_proto::agent::StatusResponse {
    let mut agent = frostvale_agent::serve::control(&cluster.control).await.expect("an agent");
    agent.status(frostvale_proto::agent::StatusRequest {}).await.expect("an answer").into_inner()
}

/// Calls that name no set of gatekeepers are decided in the set that the shop's RESP2 requests named.
#[tokio::test(flavor = "multi_thread")]
async fn call_is_decided_in_the_set_of_resp2_when_it_names_none() {
    let mut cluster = cluster_with_countable_plans().await;
    // The shop's set is one gatekeeper, which is not the first of the default set.
    let one_gatekeeper_shop = Shop { id: SHOP.into(), plan: "five".into(), first: 2, spread: 1 };
    let pool = ClientPool::new(cluster.gatekeepers[2].resp);
    for _ in 0..4 {
        let answer = pool
            .send_request(&one_gatekeeper_shop, "formula-read", None, 1, Duration::from_millis(900))
            .await;
        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    }
    let mut known_sets = status(&cluster).await.sets;
    while known_sets == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        known_sets = status(&cluster).await.sets;
    }
    let mut granted = 0;
    for _ in 0..5 {
        granted += u32::from(is_granted(&cluster, rate_limit_call(&one_gatekeeper_shop, false, 1)).await);
    }
    assert_eq!(granted, 1, "four of the five units were used by RESP2");
    cluster.stop().await;
}

/// Malformed calls are refused with INVALID_ARGUMENT and the name of the bad entry; calls that match no plan
/// are let through and counted.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused_and_not_charged_when_malformed() {
    let mut cluster = cluster_with_countable_plans().await;
    let mut client = rls_client(cluster.rls).expect("an address");
    let good = rate_limit_call(&shop("five", 3), true, 1);
    let mut malformed = Vec::new();
    let mut no_domain = good.clone();
    no_domain.domain.clear();
    malformed.push((no_domain, "domain"));
    let mut nothing = good.clone();
    nothing.descriptors.clear();
    malformed.push((nothing, "descriptors: 0"));
    let mut many = good.clone();
    many.descriptors = vec![good.descriptors[0].clone(); 17];
    malformed.push((many, "descriptors: 17 of them; 1 to 16"));
    malformed.push((
        rate_limit_call(&Shop { id: "zz".into(), ..shop("five", 3) }, true, 1),
        "descriptors[0].entries[0].value",
    ));
    malformed.push((rate_limit_call(&shop("five", 9), true, 1), "no number from 1 to 3"));
    malformed.push((rate_limit_call(&shop("five", 3), true, 5), "hits_addend: 5; 0 to 4"));
    // Only the last descriptor is malformed: the first must not be charged.
    let mut last_malformed = good.clone();
    last_malformed.descriptors.extend(rate_limit_call(&shop("five", 9), true, 1).descriptors);
    malformed.push((last_malformed, "descriptors[1]"));
    let count = malformed.len() as u64;
    for (call, expected) in malformed {
        let error = client.should_rate_limit(call).await.expect_err("refused");
        assert_eq!(error.code(), tonic::Code::InvalidArgument);
        assert!(error.message().contains(expected), "{}", error.message());
    }
    assert!(is_granted(&cluster, rate_limit_call(&shop("gold", 3), true, 1)).await);
    let mut granted = 0;
    for _ in 0..8 {
        granted += u32::from(is_granted(&cluster, good.clone()).await);
    }
    assert_eq!(granted, 5);
    let calls = status(&cluster).await.calls.expect("counts");
    assert_eq!((calls.invalid, calls.unmatched, calls.granted, calls.over), (count, 1, 5, 3));
    cluster.stop().await;
}
