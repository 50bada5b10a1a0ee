//! Requests that wait for the verdict of an outside service, while the settings are read again.

use crate::agent::Agent;
use frostvale_link::VERSION;
use frostvale_link::proto::outside_verdict::Code as VerdictCode;
use frostvale_link::proto::{Hello, OutsideVerdict, ToNode};
use frostvale_standin::client::{Shop, send_request};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::resp::{Answer, RespConnection};
use serde_json::json;
use std::time::Duration;

/// Local settings that ask an outside service for the plan `wide`, for at most half of a class's target.
fn outside_settings(keep_ms: u32) -> String {
    format!("[outside]\ndeadline_part = 0.5\nkeep_ms = {keep_ms}.0\n[outside.plans]\nwide = \"deny\"\n")
}

/// Starts a cluster whose gatekeeper asks an outside service, and an agent that is asked for the verdicts.
async fn start_with_outside_service() -> (LocalCluster, Agent) {
    let plans = json!([{"Name": "five", "UnitsPerS": 1e6, "PeakUnits": 1e6, "ValueFactor": 1.0},
                       {"Name": "wide", "UnitsPerS": 1e6, "PeakUnits": 1e6, "ValueFactor": 1.0}]);
    let options = ClusterOptions {
        gatekeepers: 1,
        servers: 2,
        agent: false,
        plans: Some(plans),
        gatekeeper_settings: outside_settings(100),
        ..ClusterOptions::default()
    };
    let cluster = LocalCluster::start(options).await.expect("started");
    let mut agent = Agent::connect(&cluster).await;
    let hello = Hello { version: VERSION, peer: "test".into(), outside: true, ..Hello::default() };
    agent.send(&ToNode { hello: Some(hello), ..ToNode::default() }).await;
    agent.next_frame().await.expect("a frame").welcome.expect("a welcome");
    (cluster, agent)
}

/// Has the gatekeeper read its settings again, with this change and another `[outside]` section.
async fn reload(cluster: &mut LocalCluster, change: impl FnOnce(&mut serde_json::Value)) {
    let gatekeeper = &mut cluster.gatekeepers[0];
    let mut config = serde_json::from_slice(&std::fs::read(&gatekeeper.config).expect("read")).expect("JSON");
    change(&mut config);
    std::fs::write(&gatekeeper.config, config.to_string()).expect("written");
    let text = std::fs::read_to_string(&gatekeeper.local_settings).expect("read");
    let text = text.replace("keep_ms = 100.0", "keep_ms = 200.0");
    std::fs::write(&gatekeeper.local_settings, text).expect("written");
    gatekeeper.process.signal("HUP").await;
    gatekeeper.process.wait_for_log("configuration read again").await.expect("reloaded");
}

/// Sends a keyed request, whose class leaves 500 ms for the outside service.
fn spawn_request(cluster: &LocalCluster, shop: u64, plan: &str) -> tokio::task::JoinHandle<Answer> {
    let shop = Shop { id: format!("{shop:016x}"), plan: plan.into(), first: 0, spread: 1 };
    let at = cluster.gatekeepers[0].resp;
    tokio::spawn(async move {
        let mut conn = RespConnection::connect(at).await.expect("connected");
        let key = format!("{:>016}", shop.id);
        let answer =
            send_request(&mut conn, &shop, "mix-record", Some(&key), 1, Duration::from_secs(3)).await;
        answer.expect("an answer")
    })
}

impl Agent {
    /// Waits until the gatekeeper asks for a verdict on this shop; returns the number of the call.
    async fn next_outside_call(&mut self, shop: u64) -> u64 {
        loop {
            let asked = self.next_frame().await.expect("a frame").outside;
            if let Some(ask) = asked.iter().find(|ask| ask.shop == format!("{shop:016x}")) {
                return ask.id;
            }
        }
    }
}

/// A verdict to a call of the former policy arrives after a reload: it must not decide the request of another
/// shop, whose call had the same number.
#[tokio::test(flavor = "multi_thread")]
async fn late_verdict_decides_no_other_request_when_the_outside_settings_are_reloaded() {
    let (mut cluster, mut agent) = start_with_outside_service().await;
    let first = spawn_request(&cluster, 1, "wide");
    let first_call = agent.next_outside_call(1).await;
    reload(&mut cluster, |_| {}).await;
    assert!(
        matches!(first.await.expect("ended"), Answer::Busy(_)),
        "its call has ended, and its plan is denied"
    );
    let second = spawn_request(&cluster, 2, "wide");
    agent.next_outside_call(2).await;
    let late = OutsideVerdict { id: first_call, code: VerdictCode::Ok.into(), ..OutsideVerdict::default() };
    agent.send(&ToNode { outside: vec![late], ..ToNode::default() }).await;
    let answer = second.await.expect("ended");
    assert!(matches!(answer, Answer::Busy(_)), "served by the verdict on another shop: {answer:?}");
}

/// Plans of a configuration that is read again take effect at a restart only. Until then the outside service
/// is asked for the plan that its settings name, also where the new configuration lists it elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn outside_service_is_asked_for_its_plan_when_reloaded_settings_list_plans_in_another_order() {
    let (mut cluster, mut agent) = start_with_outside_service().await;
    reload(&mut cluster, |config| {
        config["settings"]["Plans"].as_array_mut().expect("plans").reverse();
    })
    .await;
    assert!(matches!(spawn_request(&cluster, 1, "five").await.expect("ended"), Answer::Served(_)));
    let asked = spawn_request(&cluster, 2, "wide");
    let call = agent.next_outside_call(2).await;
    let verdict = OutsideVerdict { id: call, code: VerdictCode::Ok.into(), ..OutsideVerdict::default() };
    agent.send(&ToNode { outside: vec![verdict], ..ToNode::default() }).await;
    assert!(matches!(asked.await.expect("ended"), Answer::Served(_)));
}
