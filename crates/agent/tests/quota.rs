//! One quota for both protocols, over real gatekeepers and a real agent.

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

async fn town(plans: Value) -> LocalCluster {
    let formula =
        ServerOptions { cores: 8, work: Duration::from_millis(3), queue: 1000, ..ServerOptions::default() };
    LocalCluster::start(ClusterOptions { plans: Some(plans), formula, ..ClusterOptions::default() })
        .await
        .expect("started")
}

/// Four times what the plan allows, half by RESP2 through all three gatekeepers, half by gRPC, for so long. Gives
/// the units passed by either way, and how long it took.
async fn mixed(town: &LocalCluster, plan: &str, rate: f64, time: Duration) -> (u64, u64, f64) {
    let (by_resp, by_call) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let pools: Vec<Arc<ClientPool>> =
        town.gatekeepers.iter().map(|g| Arc::new(ClientPool::new(g.resp))).collect();
    let client = rls_client(town.rls).expect("an address");
    let shop = shop(plan, 3);
    let begun = Instant::now();
    let (mut turn, mut tasks) = (0u64, Vec::new());
    while begun.elapsed() < time {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let due = (begun.elapsed().as_secs_f64() * 4.0 * rate) as u64;
        while turn < due {
            turn += 1;
            let shop = shop.clone();
            // In strict turns the one that always comes first at a gatekeeper would take each unit as it comes free.
            let lot = (turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize;
            if lot.is_multiple_of(2) {
                let (mut client, passed) = (client.clone(), by_call.clone());
                tasks.push(tokio::spawn(async move {
                    let answer =
                        client.should_rate_limit(rate_limit_call(&shop, true, 1)).await.expect("an answer");
                    let ok = answer.get_ref().overall_code() == Code::Ok;
                    passed.fetch_add(u64::from(ok), Ordering::Relaxed);
                }));
            } else {
                let pool = pools[lot / 2 % pools.len()].clone();
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
    let took = begun.elapsed().as_secs_f64();
    (by_resp.load(Ordering::Relaxed), by_call.load(Ordering::Relaxed), took)
}

/// The case of the issue: one shop sends by both protocols, through different gatekeepers and the agent, at four
/// times its ceiling. Its plan has no other limit than the ceiling.
#[tokio::test(flavor = "multi_thread")]
async fn one_shop_by_both_protocols_stays_under_one_ceiling() {
    let (rate, burst, slack) = (100.0, 100.0, 10.0);
    let mut town =
        town(json!([{"Name": "ferreteria", "ValueFactor": 1.0, "CapRate": rate, "CapDepth": burst,
                                "CeilingSlack": slack}]))
        .await;
    let (resp, calls, took) = mixed(&town, "ferreteria", rate, Duration::from_secs(20)).await;
    let passed = (resp + calls) as f64;
    let most = rate * took + burst + slack;
    println!("{resp} by RESP2 and {calls} by gRPC in {took:.1} s; at most {most:.0}");
    assert!(passed <= most, "{passed} units passed, {most} at most");
    assert!(passed >= 0.9 * (rate * took + burst), "the ceiling is used: {passed} of {most}");
    assert!(resp > 100 && calls > 100, "by both: {resp} and {calls}");
    // What formula servers ran is what RESP2 passed: no check reached one.
    let ran = town.units_by_shop().get(SHOP).copied().unwrap_or(0.0);
    assert!(ran >= resp as f64 && ran <= resp as f64 * 1.02 + 3.0, "{ran} units ran, {resp} served");
    town.stop().await;
}

/// The same against a quota, which one gatekeeper of the set keeps for all.
#[tokio::test(flavor = "multi_thread")]
async fn one_shop_by_both_protocols_shares_one_quota() {
    let (rate, burst) = (50.0, 50.0);
    let mut town =
        town(json!([{"Name": "tienda", "ValueFactor": 1.0, "UnitsPerS": rate, "PeakUnits": burst}])).await;
    let (resp, calls, took) = mixed(&town, "tienda", rate, Duration::from_secs(8)).await;
    let passed = (resp + calls) as f64;
    // A quota is no ceiling: what gatekeepers hold ahead of their demand may go on top.
    let most = (rate * took + burst) * 1.1 + 20.0;
    println!("{resp} by RESP2 and {calls} by gRPC in {took:.1} s; at most {most:.0}");
    assert!(passed <= most, "{passed} units passed, {most} at most: the protocols are counted apart");
    assert!(passed >= 0.8 * rate * took, "the quota is used: {passed}");
    let least = resp.min(calls) as f64;
    assert!(least >= 0.2 * passed, "one takes it from the other: {resp} by RESP2, {calls} by gRPC");
    town.stop().await;
}

/// Two slow plans, so that what is granted can be counted.
async fn counted() -> LocalCluster {
    town(json!([{"Name": "five", "UnitsPerS": 0.005, "PeakUnits": 5.0, "ValueFactor": 1.0},
                {"Name": "two", "UnitsPerS": 0.005, "PeakUnits": 2.0, "ValueFactor": 1.0},
                {"Name": "capped", "UnitsPerS": 1e4, "PeakUnits": 1e4, "ValueFactor": 1.0, "CapRate": 1e4,
                 "CapDepth": 1e4}]))
    .await
}

async fn ok(town: &LocalCluster, call: RateLimitRequest) -> bool {
    let mut client = rls_client(town.rls).expect("an address");
    let answer = client.should_rate_limit(call).await.expect("an answer");
    answer.get_ref().overall_code() == Code::Ok
}

/// Five units are five units: some by RESP2, the rest by gRPC, and then none by either.
#[tokio::test(flavor = "multi_thread")]
async fn what_one_protocol_took_the_other_cannot() {
    let mut town = counted().await;
    let shop = shop("five", 3);
    let pool = ClientPool::new(town.gatekeepers[0].resp);
    for _ in 0..2 {
        let answer = pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900)).await;
        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    }
    let mut granted = 0;
    for _ in 0..8 {
        granted += u32::from(ok(&town, rate_limit_call(&shop, true, 1)).await);
    }
    assert_eq!(granted, 3);
    let answer = pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900)).await;
    assert!(matches!(answer, Ok(Answer::Busy(Some(ms))) if ms > 100_000), "{answer:?}");
    town.stop().await;
}

/// All descriptors of a call are granted, or none is charged.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_several_descriptors_is_charged_whole_or_not_at_all() {
    let mut town = counted().await;
    let five = rate_limit_call(&shop("five", 3), true, 1);
    let two = Shop { id: "0000000000000002".into(), ..shop("two", 3) };
    let mut both = five.clone();
    both.descriptors.extend(rate_limit_call(&two, true, 1).descriptors);
    assert!(ok(&town, both.clone()).await && ok(&town, both.clone()).await);
    for _ in 0..20 {
        assert!(!ok(&town, both.clone()).await, "the second shop has nothing left");
    }
    let mut left = 0;
    while ok(&town, five.clone()).await {
        left += 1;
        assert!(left < 10);
    }
    assert_eq!(left, 3, "the first shop was not charged for calls that were refused");
    let status = status(&town).await;
    assert_eq!(status.calls.expect("counts").given_back, 20);
    town.stop().await;
}

async fn status(town: &LocalCluster) -> frostvale_proto::agent::StatusResponse {
    let mut agent = frostvale_agent::serve::control(&town.control).await.expect("an agent");
    agent.status(frostvale_proto::agent::StatusRequest {}).await.expect("an answer").into_inner()
}

/// The set that RESP2 requests named is used for calls that name none.
#[tokio::test(flavor = "multi_thread")]
async fn a_shop_that_came_by_resp2_is_decided_in_its_own_set() {
    let mut town = counted().await;
    // Its set is one gatekeeper alone, and not the first of the default set.
    let alone = Shop { id: SHOP.into(), plan: "five".into(), first: 2, spread: 1 };
    let pool = ClientPool::new(town.gatekeepers[2].resp);
    for _ in 0..4 {
        let answer = pool.send_request(&alone, "formula-read", None, 1, Duration::from_millis(900)).await;
        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    }
    let mut seen = status(&town).await.sets;
    while seen == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        seen = status(&town).await.sets;
    }
    let mut granted = 0;
    for _ in 0..5 {
        granted += u32::from(ok(&town, rate_limit_call(&alone, false, 1)).await);
    }
    assert_eq!(granted, 1, "four of the five are gone by RESP2");
    town.stop().await;
}

/// What can't be read is refused with the entry's name; what matches no plan is let through and counted.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_cannot_be_read_are_invalid_and_cost_nothing() {
    let mut town = counted().await;
    let mut client = rls_client(town.rls).expect("an address");
    let good = rate_limit_call(&shop("five", 3), true, 1);
    let mut wrong = Vec::new();
    let mut no_domain = good.clone();
    no_domain.domain.clear();
    wrong.push((no_domain, "domain"));
    let mut nothing = good.clone();
    nothing.descriptors.clear();
    wrong.push((nothing, "descriptors: 0"));
    let mut many = good.clone();
    many.descriptors = vec![good.descriptors[0].clone(); 17];
    wrong.push((many, "descriptors: 17 of them; 1 to 16"));
    wrong.push((
        rate_limit_call(&Shop { id: "zz".into(), ..shop("five", 3) }, true, 1),
        "descriptors[0].entries[0].value",
    ));
    wrong.push((rate_limit_call(&shop("five", 9), true, 1), "no number from 1 to 3"));
    wrong.push((rate_limit_call(&shop("five", 3), true, 5), "hits_addend: 5; 0 to 4"));
    // The last of several is wrong: the first must not be charged either.
    let mut late = good.clone();
    late.descriptors.extend(rate_limit_call(&shop("five", 9), true, 1).descriptors);
    wrong.push((late, "descriptors[1]"));
    let count = wrong.len() as u64;
    for (call, word) in wrong {
        let said = client.should_rate_limit(call).await.expect_err("refused");
        assert_eq!(said.code(), tonic::Code::InvalidArgument);
        assert!(said.message().contains(word), "{}", said.message());
    }
    assert!(ok(&town, rate_limit_call(&shop("gold", 3), true, 1)).await);
    let mut granted = 0;
    for _ in 0..8 {
        granted += u32::from(ok(&town, good.clone()).await);
    }
    assert_eq!(granted, 5);
    let calls = status(&town).await.calls.expect("counts");
    assert_eq!((calls.invalid, calls.unmatched, calls.granted, calls.over), (count, 1, 5, 3));
    town.stop().await;
}
