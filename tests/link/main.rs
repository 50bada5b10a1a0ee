//! Tests of the built gatekeeper's side of the agent link, with agents that violate the protocol.

mod agent;
mod outside;

use agent::{Agent, new_check};
use frostvale_link::VERSION;
use frostvale_link::codec::append_frame;
use frostvale_link::node::MAX_UNREAD_BYTES;
use frostvale_link::proto::decision::Code;
use frostvale_link::proto::{
    Check, Epochs, Fence, Hello, Settle, ToNode, UseKept, ZoneRow, ZoneSpill, ZonesGuide, ZonesSeen,
};
use frostvale_standin::client::{Shop, send_request};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::resp::{Answer, RespConnection};
use serde_json::json;
use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Starts a cluster with a plan of 5 units that refills in 1,000 s, so that grants can be counted.
async fn start_cluster(gatekeepers: usize) -> LocalCluster {
    let plans = json!([{"Name": "five", "UnitsPerS": 0.005, "PeakUnits": 5.0, "ValueFactor": 1.0},
                       {"Name": "wide", "UnitsPerS": 1e6, "PeakUnits": 1e6, "ValueFactor": 1.0}]);
    let plan = ClusterOptions {
        gatekeepers,
        servers: 2,
        agent: false,
        plans: Some(plans),
        ..ClusterOptions::default()
    };
    LocalCluster::start(plan).await.expect("started")
}

/// Checks that the first gatekeeper still serves RESP2 requests.
async fn assert_serves_resp(cluster: &LocalCluster) {
    let mut conn = RespConnection::connect(cluster.gatekeepers[0].resp).await.expect("connected");
    let shop = Shop { id: format!("{:016x}", 99), plan: "wide".into(), first: 0, spread: 1 };
    let answer = send_request(&mut conn, &shop, "formula-read", None, 1, Duration::from_secs(1)).await;
    assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
}

#[tokio::test]
async fn socket_is_private_and_welcome_states_version_and_plans() {
    let cluster = start_cluster(1).await;
    let mode = std::fs::metadata(&cluster.gatekeepers[0].socket).expect("a file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let (_agent, welcome) = Agent::join(&cluster).await;
    assert_eq!((welcome.version, welcome.me, welcome.gateways), (VERSION, 0, 1));
    assert_eq!(welcome.plans[0].name, "five");
    assert_eq!((welcome.plans[0].rate_milli, welcome.plans[0].burst_milli), (5, 5000));
}

#[tokio::test]
async fn checks_are_charged_once_and_invalid_ones_are_not_charged() {
    let cluster = start_cluster(1).await;
    let (mut agent, _) = Agent::join(&cluster).await;
    let bad = [
        (Check { shop: "xyz".into(), ..new_check(1, 7) }, "shop: 16 hex digits"),
        (Check { shop: "0000000200000000".into(), ..new_check(2, 7) }, "shop"),
        (Check { plan: 9, ..new_check(3, 7) }, "plan 9: below 2"),
        (Check { class: 2, ..new_check(4, 7) }, "class 2: below 2"),
        (Check { units_milli: 0, ..new_check(5, 7) }, "units: over 0 and at most 4"),
        (Check { units_milli: 4001, ..new_check(6, 7) }, "units"),
        (Check { first: 1, ..new_check(7, 7) }, "first 1: below 1"),
        (Check { spread: 0, ..new_check(8, 7) }, "spread 0: 1 to 1"),
        (Check { within_ms: 0, ..new_check(9, 7) }, "within_ms: 1 to 60000"),
    ];
    for (bad, expected) in bad {
        let decision = agent.decide(bad).await;
        assert_eq!(decision.code(), Code::Invalid);
        assert!(decision.error.contains(expected), "{}", decision.error);
    }
    let mut granted = 0;
    for id in 10..20 {
        granted += u32::from(agent.decide(new_check(id, 7)).await.code() == Code::Granted);
    }
    assert_eq!(granted, 5, "the whole token bucket is granted and invalid checks are not charged");
    let refusal = agent.decide(new_check(30, 7)).await;
    assert!(refusal.remaining_milli.is_some_and(|m| m < 1000) && refusal.reset_ms > 100_000, "{refusal:?}");
}

#[tokio::test]
async fn held_grant_is_refunded_when_unused_and_stays_charged_when_agent_disconnects() {
    let cluster = start_cluster(1).await;
    let (mut agent, _) = Agent::join(&cluster).await;
    for id in 1..=5 {
        assert_eq!(agent.decide(Check { hold: true, ..new_check(id, 7) }).await.code(), Code::Granted);
    }
    let settles =
        vec![Settle { id: 1, keep: true }, Settle { id: 2, keep: false }, Settle { id: 2, keep: false }];
    agent.send(&ToNode { settles, ..ToNode::default() }).await;
    assert_eq!(agent.decide(new_check(6, 7)).await.code(), Code::Granted, "one grant was refunded");
    assert_eq!(agent.decide(new_check(7, 7)).await.code(), Code::Over, "only one grant was refunded");
    drop(agent);
    let (mut next, _) = Agent::join(&cluster).await;
    assert_eq!(
        next.decide(new_check(1, 7)).await.code(),
        Code::Over,
        "grants held by a disconnected agent stay charged"
    );
}

#[tokio::test]
async fn all_checks_get_one_decision_when_ten_thousand_arrive_at_once() {
    // Two gatekeepers, the second one stopped: checks whose quota it owns have to wait for it.
    let cluster = start_cluster(2).await;
    cluster.gatekeepers[1].process.signal("STOP").await;
    let (mut agent, _) = Agent::join(&cluster).await;
    let all: Vec<Check> = (0..10_000).map(|k| Check { plan: 1, spread: 2, ..new_check(k + 1, k) }).collect();
    for part in all.chunks(2000) {
        agent.send(&ToNode { checks: part.to_vec(), ..ToNode::default() }).await;
    }
    assert_serves_resp(&cluster).await;
    let mut decided = std::collections::BTreeMap::new();
    while decided.len() < 10_000 {
        for decision in agent.next_frame().await.expect("a frame").decisions {
            assert!(matches!(decision.code(), Code::Granted | Code::Over), "{decision:?}");
            *decided.entry(decision.id).or_insert(0) += 1;
        }
    }
    assert!(decided.values().all(|count| *count == 1), "a check got more than one decision");
    cluster.gatekeepers[1].process.signal("CONT").await;
}

#[tokio::test]
async fn checks_are_rejected_uncharged_when_pending_limit_is_reached() {
    const MAX_PENDING_CHECKS: u64 = 16 * 1024;
    let cluster = start_cluster(1).await;
    let (mut agent, _) = Agent::join(&cluster).await;
    // Held grants count as pending until they are settled.
    let all: Vec<Check> =
        (0..MAX_PENDING_CHECKS).map(|k| Check { plan: 1, hold: true, ..new_check(k + 1, k) }).collect();
    for part in all.chunks(1000) {
        agent.send(&ToNode { checks: part.to_vec(), ..ToNode::default() }).await;
        let mut granted = 0;
        while granted < part.len() {
            let decisions = agent.next_frame().await.expect("a frame").decisions;
            granted += decisions.iter().filter(|d| d.code() == Code::Granted).count();
        }
    }
    assert_eq!(agent.decide(new_check(MAX_PENDING_CHECKS + 1, 7)).await.code(), Code::Busy);
    agent.send(&ToNode { settles: vec![Settle { id: 1, keep: true }], ..ToNode::default() }).await;
    for id in 2..=6 {
        assert_eq!(
            agent.decide(new_check(MAX_PENDING_CHECKS + id, 7)).await.code(),
            Code::Granted,
            "the rejected check was not charged"
        );
    }
    assert_serves_resp(&cluster).await;
}

#[tokio::test]
async fn only_agent_that_never_reads_is_disconnected() {
    let mut cluster = start_cluster(1).await;
    let (mut non_reading, _) = Agent::join(&cluster).await;
    let (mut other, _) = Agent::join(&cluster).await;
    // Each refusal is longer than its check. The total exceeds what the socket buffers and the limit of
    // unread bytes hold together.
    let bad: Vec<Check> = (0..1000).map(|k| Check { shop: String::new(), ..new_check(k + 1, 7) }).collect();
    let mut bytes = Vec::new();
    append_frame(&mut bytes, &ToNode { checks: bad, ..ToNode::default() }).expect("short");
    let mut sent = 0;
    while sent < 40 * MAX_UNREAD_BYTES && non_reading.stream.write_all(&bytes).await.is_ok() {
        sent += bytes.len();
    }
    assert!(sent < 40 * MAX_UNREAD_BYTES, "the agent was not disconnected");
    cluster.gatekeepers[0].process.wait_for_log("unread").await.expect("a log line with the reason");
    assert_eq!(other.decide(new_check(1, 7)).await.code(), Code::Granted);
    assert_serves_resp(&cluster).await;
}

/// More usage waits for an agent than it may leave unread. The agent reads all that it is sent: it stays
/// linked and gets every unit, however often the batches for which there is no room have to be sent again.
#[tokio::test]
async fn agent_gets_all_usage_when_more_waits_than_it_may_leave_unread() {
    const SHOPS: u64 = 80_000;
    let options = ClusterOptions {
        gatekeepers: 1,
        servers: 2,
        agent: false,
        gatekeeper_settings: "[usage]\nreport_ms = 50\n".into(),
        ..ClusterOptions::default()
    };
    let mut cluster = LocalCluster::start(options).await.expect("started");
    let (mut checking, _) = Agent::join(&cluster).await;
    for first in (1..=SHOPS).step_by(1000) {
        let checks = (first..first + 1000).map(|k| Check { within_ms: 20_000, ..new_check(k, k) }).collect();
        checking.send(&ToNode { checks, ..ToNode::default() }).await;
        let mut decided = 0;
        while decided < 1000 {
            decided += checking.next_frame().await.expect("a frame").decisions.len();
        }
    }
    let mut recording = Agent::connect(&cluster).await;
    let hello = Hello { version: VERSION, peer: "record".into(), record: true, ..Hello::default() };
    // It asks for a decision at once, while most of the usage is still on its way.
    let check = Check { shop: String::new(), ..new_check(1, 1) };
    recording.send(&ToNode { hello: Some(hello), checks: vec![check], ..ToNode::default() }).await;
    let welcome = recording.next_frame().await.expect("a frame").welcome.expect("a welcome");
    let mut units = BTreeMap::new();
    while units.len() < SHOPS as usize {
        let frame = recording.next_frame().await.expect("the agent is still linked");
        for batch in frame.r#use {
            units.extend(batch.lines.into_iter().map(|line| (line.shop, line.passed_milli)));
            let kept = UseKept { started_ms: welcome.started_ms, seqs: vec![batch.seq] };
            recording.send(&ToNode { use_kept: vec![kept], ..ToNode::default() }).await;
        }
    }
    assert!(units.values().all(|milli| *milli == 1000));
    cluster.stop().await;
}

#[tokio::test]
async fn malformed_input_closes_only_its_connection_and_logs_one_line() {
    let mut cluster = start_cluster(1).await;
    let (mut other, _) = Agent::join(&cluster).await;
    let wait_until_closed = |mut agent: Agent| async move { while agent.next_frame().await.is_some() {} };

    let mut oversized_frame = Agent::connect(&cluster).await;
    oversized_frame.stream.write_all(&u32::MAX.to_be_bytes()).await.expect("written");
    wait_until_closed(oversized_frame).await;

    let (mut oversized_later, _) = Agent::join(&cluster).await;
    oversized_later.stream.write_all(&u32::MAX.to_be_bytes()).await.expect("written");
    wait_until_closed(oversized_later).await;

    let mut undecodable = Agent::connect(&cluster).await;
    undecodable.stream.write_all(&[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]).await.expect("written");
    wait_until_closed(undecodable).await;

    let mut without_hello = Agent::connect(&cluster).await;
    without_hello.send(&ToNode { checks: vec![new_check(1, 7)], ..ToNode::default() }).await;
    wait_until_closed(without_hello).await;

    let (mut second_hello, _) = Agent::join(&cluster).await;
    second_hello.send_hello(VERSION).await;
    wait_until_closed(second_hello).await;

    cluster.gatekeepers[0]
        .process
        .wait_for_log_times("an agent was cut off", 5)
        .await
        .expect("one line for each agent");
    assert_eq!(other.decide(new_check(1, 7)).await.code(), Code::Granted, "the other agent is not affected");
    assert_serves_resp(&cluster).await;
}

#[tokio::test]
async fn agent_gets_supported_version_when_its_own_is_unknown() {
    let cluster = start_cluster(1).await;
    let mut agent = Agent::connect(&cluster).await;
    agent.send_hello(VERSION + 1).await;
    let bye = agent.next_frame().await.expect("a frame").bye;
    assert!(bye.contains(&format!("{VERSION} is")), "{bye}");
    assert!(agent.next_frame().await.is_none(), "the connection is not closed");
    let mut silent = Agent::connect(&cluster).await;
    assert!(silent.next_frame().await.is_none(), "an agent that sends no hello is not closed");
}

#[tokio::test]
async fn checks_are_not_charged_when_link_ends_inside_frame() {
    let mut cluster = start_cluster(1).await;
    let (mut agent, _) = Agent::join(&cluster).await;
    let mut bytes = Vec::new();
    append_frame(&mut bytes, &ToNode { checks: vec![new_check(1, 7); 3], ..ToNode::default() })
        .expect("short");
    agent.stream.write_all(&bytes[..bytes.len() - 1]).await.expect("written");
    drop(agent);
    cluster.gatekeepers[0].process.wait_for_log("inside a frame").await.expect("a log line");
    let (mut next, _) = Agent::join(&cluster).await;
    for id in 1..=5 {
        assert_eq!(next.decide(new_check(id, 7)).await.code(), Code::Granted, "no unit was charged");
    }
}

#[tokio::test]
async fn agent_is_disconnected_when_it_stalls_inside_frame() {
    let cluster = start_cluster(1).await;
    let (mut agent, _) = Agent::join(&cluster).await;
    agent.stream.write_all(&[0, 0]).await.expect("written");
    assert!(agent.next_frame().await.is_none());
    assert_serves_resp(&cluster).await;
}

#[tokio::test]
async fn agent_is_rejected_when_agent_limit_is_reached() {
    let cluster = start_cluster(1).await;
    let mut connected_agents = Vec::new();
    for _ in 0..4 {
        connected_agents.push(Agent::join(&cluster).await);
    }
    let mut fifth = Agent::connect(&cluster).await;
    let bye = fifth.next_frame().await.expect("a frame").bye;
    assert!(bye.contains("4 agents"), "{bye}");
    assert_eq!(connected_agents[0].0.decide(new_check(1, 7)).await.code(), Code::Granted);
}

#[tokio::test]
async fn socket_file_is_replaced_only_when_no_process_listens() {
    let mut cluster = start_cluster(1).await;
    let socket = cluster.gatekeepers[0].socket.clone();
    cluster.gatekeepers[0].process.kill().await;
    assert!(socket.exists(), "the socket file stays after a crash");
    cluster.restart_gatekeeper(0).await.expect("started with the stale file");
    let (mut agent, _) = Agent::join(&cluster).await;
    assert_eq!(agent.decide(new_check(1, 7)).await.code(), Code::Granted);
    // A second gatekeeper with the same socket path must not take it from the first.
    let second =
        std::process::Command::new(frostvale_standin::local_cluster::program("frostvale").expect("built"))
            .env("GW_CONFIG", &cluster.gatekeepers[0].config)
            .env("GW_EXTRA", &cluster.gatekeepers[0].local_settings)
            .env("GW_LISTEN", format!("{}:0", cluster.ip))
            .output()
            .expect("run");
    let error = String::from_utf8_lossy(&second.stderr);
    assert!(!second.status.success() && error.lines().count() == 1, "{error}");
    // Its port for peer messages is taken too; whichever conflict it finds first, the socket of the first
    // gatekeeper stays.
    assert_eq!(agent.decide(new_check(2, 7)).await.code(), Code::Granted);
    let (mut next, _) = Agent::join(&cluster).await;
    assert_eq!(next.decide(new_check(3, 7)).await.code(), Code::Granted);
}

#[tokio::test]
async fn bind_fails_and_keeps_file_when_path_is_not_a_socket() {
    let folder = std::env::temp_dir().join(format!("frostvale-file-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("precious");
    std::fs::write(&path, "data").expect("written");
    let error = frostvale_link::node::bind(&path).expect_err("refused");
    assert!(error.contains("is no socket"), "{error}");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "data");
    let live = folder.join("live");
    let listener = frostvale_link::node::bind(&live).expect("a listener");
    let error = frostvale_link::node::bind(&live).expect_err("refused");
    assert!(error.contains("another process listens"), "{error}");
    drop(listener);
    assert!(!live.exists(), "a closed listener removes its file");
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn start_fails_with_one_line_when_local_settings_are_invalid() {
    let folder = std::env::temp_dir().join(format!("frostvale-extra-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (config, local_settings) = (folder.join("n.json"), folder.join("n.toml"));
    let settings =
        json!({"Balancers": 1, "Classes": [{"Name": "read", "Target": 400.0, "Effect": "repeatable"}]});
    let file =
        json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": settings});
    std::fs::write(&config, file.to_string()).expect("written");
    let run = |text: &str, args: &[&str]| {
        std::fs::write(&local_settings, text).expect("written");
        let program = frostvale_standin::local_cluster::program("frostvale").expect("built");
        let ran = std::process::Command::new(program)
            .args(args)
            .env("GW_CONFIG", &config)
            .env("GW_EXTRA", &local_settings)
            .output()
            .expect("run");
        (ran.status.success(), String::from_utf8_lossy(&ran.stderr).into_owned())
    };
    for args in [&[][..], &["--check"]] {
        let (is_success, error) = run("[link]\nsocket = \"relative\"", args);
        assert!(!is_success && error.lines().count() == 1 && error.contains("link.socket"), "{error}");
    }
    let (is_success, error) = run("[link]\nsocket = \"/tmp/never-made.sock\"", &["--check"]);
    assert!(is_success && error.is_empty(), "{error}");
    std::fs::remove_dir_all(&folder).expect("removed");
}

fn fence(epoch: u64) -> Fence {
    Fence { duty: "zones".into(), epoch, owner: format!("a#{epoch}") }
}

fn zone_decision_frame(epoch: u64, version: u64, near_milli: u32) -> ToNode {
    let spill = ["room-b", "room-c"].map(|to| ZoneSpill { to: to.into(), start_milli: 500, end_milli: 500 });
    let row = ZoneRow {
        from: "room-a".into(),
        near_start_milli: near_milli,
        near_end_milli: near_milli,
        spill: spill.into(),
    };
    let guide = ZonesGuide {
        fence: Some(fence(epoch)),
        version,
        hold_ms: 60_000,
        fade_ms: 1000,
        rows: vec![row],
        ..ZonesGuide::default()
    };
    ToNode { zones: Some(guide), ..ToNode::default() }
}

/// Returns the zone decision that the gatekeeper applies, from its next report.
async fn next_applied_zones(agent: &mut Agent) -> ZonesSeen {
    // Reports already in transit may be older than the decision.
    for _ in 0..2 {
        while agent.next_frame().await.expect("a frame").zones.is_none() {}
    }
    loop {
        if let Some(seen) = agent.next_frame().await.expect("a frame").zones {
            return seen;
        }
    }
}

/// Decisions 7 and 8 in the wrong order, one before the epochs are known, one of a former owner and some with
/// invalid content.
#[tokio::test(flavor = "multi_thread")]
async fn zone_decision_is_ignored_when_late_or_invalid() {
    let plans = json!([{"Name": "wide", "UnitsPerS": 1e6, "PeakUnits": 1e6, "ValueFactor": 1.0}]);
    let plan = ClusterOptions {
        gatekeepers: 1,
        servers: 3,
        agent: false,
        plans: Some(plans),
        gatekeeper_settings: "[zones]\nreport_ms = 20\n".into(),
        ..ClusterOptions::default()
    };
    let mut cluster = LocalCluster::start(plan).await.expect("started");
    let (mut agent, welcome) = Agent::join(&cluster).await;
    agent.send(&zone_decision_frame(3, 7, 1000)).await;
    assert_eq!(
        next_applied_zones(&mut agent).await.version,
        0,
        "a decision was applied before the council's epochs were known"
    );
    let epochs = Epochs { nonce: welcome.nonce, given: vec![fence(3)] };
    agent.send(&ToNode { epochs: Some(epochs), ..ToNode::default() }).await;
    agent.send(&zone_decision_frame(3, 8, 0)).await;
    let seen = next_applied_zones(&mut agent).await;
    assert_eq!((seen.version, seen.epoch, seen.zone.as_str()), (8, 3, "room-a"));
    agent.send(&zone_decision_frame(3, 7, 1000)).await;
    let seen = next_applied_zones(&mut agent).await;
    assert_eq!(seen.version, 8);
    assert!(seen.problem.contains("version 7 came after 8"), "{}", seen.problem);
    agent.send(&zone_decision_frame(2, 9, 1000)).await;
    assert_eq!(next_applied_zones(&mut agent).await.version, 8, "a decision of a former owner was applied");
    for bad in [zone_decision_frame(3, 9, 1001), zone_decision_frame(3, 9, 0)] {
        let mut bad = bad;
        if let Some(z) = bad.zones.as_mut().filter(|z| z.rows[0].near_start_milli == 0) {
            z.rows[0].spill[0].to = "room-z".into();
        }
        agent.send(&bad).await;
        let seen = next_applied_zones(&mut agent).await;
        assert_eq!(seen.version, 8);
        assert!(
            seen.problem.contains("0 to 1") || seen.problem.contains("not known here"),
            "{}",
            seen.problem
        );
    }
    // Version 8 sends all requests to other zones.
    for _ in 0..20 {
        assert_serves_resp(&cluster).await;
    }
    let request_counts: Vec<u64> = cluster.servers.iter().map(|s| s.work_counts().1).collect();
    assert!(request_counts[0] == 0 && request_counts[1] + request_counts[2] == 20, "{request_counts:?}");
    cluster.stop().await;
}
