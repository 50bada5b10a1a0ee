//! The built gatekeeper's end of the link, against an agent that does all that it should not.

use frostvale_link::VERSION;
use frostvale_link::codec::{FrameReader, append_frame};
use frostvale_link::node::MAX_UNREAD_BYTES;
use frostvale_link::proto::decision::Code;
use frostvale_link::proto::{
    Check, Epochs, Fence, FromNode, Hello, Settle, ToNode, Welcome, ZoneRow, ZoneSpill, ZonesGuide, ZonesSeen,
};
use frostvale_standin::client::{Shop, send_request};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::resp::{Answer, RespConnection};
use serde_json::json;
use std::io::ErrorKind;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Nothing here waits this long unless it has failed.
const LONG: Duration = Duration::from_secs(20);

/// An agent as these tests write it.
struct Agent {
    stream: UnixStream,
    frames: FrameReader,
}

impl Agent {
    async fn connect(town: &LocalCluster) -> Agent {
        let stream = UnixStream::connect(&town.gatekeepers[0].socket).await.expect("connected");
        Agent { stream, frames: FrameReader::default() }
    }

    /// Connected and welcomed.
    async fn join(town: &LocalCluster) -> (Agent, Welcome) {
        let mut agent = Agent::connect(town).await;
        agent.hello(VERSION).await;
        let welcome = agent.next().await.expect("a frame").welcome.expect("a welcome");
        (agent, welcome)
    }

    async fn hello(&mut self, version: u32) {
        let hello =
            Hello { version, peer: "test".into(), outside: false, record: false, zones: true, audit: true };
        self.say(&ToNode { hello: Some(hello), ..ToNode::default() }).await;
    }

    async fn say(&mut self, frame: &ToNode) {
        let mut bytes = Vec::new();
        append_frame(&mut bytes, frame).expect("short");
        self.stream.write_all(&bytes).await.expect("written");
    }

    /// The next frame; none once the gatekeeper has ended the connection.
    async fn next(&mut self) -> Option<FromNode> {
        loop {
            if let Some(frame) = self.frames.next_message::<FromNode>().expect("a frame") {
                return Some(frame);
            }
            let read = timeout(LONG, self.stream.read_buf(self.frames.read_buffer())).await.expect("in time");
            match read {
                Ok(0) => return None,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// One check and its decision.
    async fn check(&mut self, check: Check) -> frostvale_link::proto::Decision {
        let id = check.id;
        self.say(&ToNode { checks: vec![check], ..ToNode::default() }).await;
        loop {
            let frame = self.next().await.expect("a frame");
            if let Some(decision) = frame.decisions.into_iter().find(|d| d.id == id) {
                return decision;
            }
        }
    }
}

fn check(id: u64, shop: u64) -> Check {
    Check {
        id,
        shop: format!("{shop:016x}"),
        plan: 0,
        class: 0,
        units_milli: 1000,
        first: 0,
        spread: 1,
        within_ms: 1000,
        hold: false,
    }
}

/// One gatekeeper with a plan of 5 units that fills once in 1,000 s: what is granted can be counted.
async fn town(gatekeepers: usize) -> LocalCluster {
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

/// RESP2 traffic goes on.
async fn serves(town: &LocalCluster) {
    let mut conn = RespConnection::connect(town.gatekeepers[0].resp).await.expect("connected");
    let shop = Shop { id: format!("{:016x}", 99), plan: "wide".into(), first: 0, spread: 1 };
    let answer = send_request(&mut conn, &shop, "formula-read", None, 1, Duration::from_secs(1)).await;
    assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
}

#[tokio::test]
async fn the_socket_is_private_and_says_what_it_is() {
    let town = town(1).await;
    let mode = std::fs::metadata(&town.gatekeepers[0].socket).expect("a file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let (_agent, welcome) = Agent::join(&town).await;
    assert_eq!((welcome.version, welcome.me, welcome.gateways), (VERSION, 0, 1));
    assert_eq!(welcome.plans[0].name, "five");
    assert_eq!((welcome.plans[0].rate_milli, welcome.plans[0].burst_milli), (5, 5000));
}

#[tokio::test]
async fn checks_are_decided_charged_once_and_bad_ones_cost_nothing() {
    let town = town(1).await;
    let (mut agent, _) = Agent::join(&town).await;
    let bad = [
        (Check { shop: "xyz".into(), ..check(1, 7) }, "shop: 16 hex digits"),
        (Check { shop: "0000000200000000".into(), ..check(2, 7) }, "shop"),
        (Check { plan: 9, ..check(3, 7) }, "plan 9: below 2"),
        (Check { class: 2, ..check(4, 7) }, "class 2: below 2"),
        (Check { units_milli: 0, ..check(5, 7) }, "units: over 0 and at most 4"),
        (Check { units_milli: 4001, ..check(6, 7) }, "units"),
        (Check { first: 1, ..check(7, 7) }, "first 1: below 1"),
        (Check { spread: 0, ..check(8, 7) }, "spread 0: 1 to 1"),
        (Check { within_ms: 0, ..check(9, 7) }, "within_ms: 1 to 60000"),
    ];
    for (bad, word) in bad {
        let decision = agent.check(bad).await;
        assert_eq!(decision.code(), Code::Invalid);
        assert!(decision.error.contains(word), "{}", decision.error);
    }
    let mut granted = 0;
    for id in 10..20 {
        granted += u32::from(agent.check(check(id, 7)).await.code() == Code::Granted);
    }
    assert_eq!(granted, 5, "the whole store, and nothing for the bad ones");
    let over = agent.check(check(30, 7)).await;
    assert!(over.remaining_milli.is_some_and(|m| m < 1000) && over.reset_ms > 100_000, "{over:?}");
}

#[tokio::test]
async fn a_held_grant_goes_back_when_it_is_not_used_and_stays_when_the_agent_dies() {
    let town = town(1).await;
    let (mut agent, _) = Agent::join(&town).await;
    for id in 1..=5 {
        assert_eq!(agent.check(Check { hold: true, ..check(id, 7) }).await.code(), Code::Granted);
    }
    let settles =
        vec![Settle { id: 1, keep: true }, Settle { id: 2, keep: false }, Settle { id: 2, keep: false }];
    agent.say(&ToNode { settles, ..ToNode::default() }).await;
    assert_eq!(agent.check(check(6, 7)).await.code(), Code::Granted, "one came back");
    assert_eq!(agent.check(check(7, 7)).await.code(), Code::Over, "and one alone");
    drop(agent);
    let (mut next, _) = Agent::join(&town).await;
    assert_eq!(next.check(check(1, 7)).await.code(), Code::Over, "what the dead one held stays charged");
}

#[tokio::test]
async fn ten_thousand_checks_at_once_are_all_decided_and_requests_go_on() {
    // Two gatekeepers, the second one frozen: whatever it keeps is waited for.
    let town = town(2).await;
    town.gatekeepers[1].process.signal("STOP").await;
    let (mut agent, _) = Agent::join(&town).await;
    let all: Vec<Check> = (0..10_000).map(|k| Check { plan: 1, spread: 2, ..check(k + 1, k) }).collect();
    for part in all.chunks(2000) {
        agent.say(&ToNode { checks: part.to_vec(), ..ToNode::default() }).await;
    }
    serves(&town).await;
    let mut decided = std::collections::BTreeMap::new();
    while decided.len() < 10_000 {
        for decision in agent.next().await.expect("a frame").decisions {
            assert!(matches!(decision.code(), Code::Granted | Code::Over), "{decision:?}");
            *decided.entry(decision.id).or_insert(0) += 1;
        }
    }
    assert!(decided.values().all(|n| *n == 1), "each once");
    town.gatekeepers[1].process.signal("CONT").await;
}

#[tokio::test]
async fn more_checks_than_may_be_in_hand_are_turned_away_uncharged() {
    const MOST: u64 = 16 * 1024;
    let town = town(1).await;
    let (mut agent, _) = Agent::join(&town).await;
    // Held grants are in hand until they are settled.
    let all: Vec<Check> = (0..MOST).map(|k| Check { plan: 1, hold: true, ..check(k + 1, k) }).collect();
    for part in all.chunks(1000) {
        agent.say(&ToNode { checks: part.to_vec(), ..ToNode::default() }).await;
        let mut granted = 0;
        while granted < part.len() {
            let decisions = agent.next().await.expect("a frame").decisions;
            granted += decisions.iter().filter(|d| d.code() == Code::Granted).count();
        }
    }
    assert_eq!(agent.check(check(MOST + 1, 7)).await.code(), Code::Busy);
    agent.say(&ToNode { settles: vec![Settle { id: 1, keep: true }], ..ToNode::default() }).await;
    for id in 2..=6 {
        assert_eq!(
            agent.check(check(MOST + id, 7)).await.code(),
            Code::Granted,
            "nothing was charged for it"
        );
    }
    serves(&town).await;
}

#[tokio::test]
async fn an_agent_that_never_reads_is_cut_off_alone() {
    let mut town = town(1).await;
    let (mut deaf, _) = Agent::join(&town).await;
    let (mut other, _) = Agent::join(&town).await;
    // Each refusal is longer than what it answers. More than the sockets and the bound hold together.
    let bad: Vec<Check> = (0..1000).map(|k| Check { shop: String::new(), ..check(k + 1, 7) }).collect();
    let mut bytes = Vec::new();
    append_frame(&mut bytes, &ToNode { checks: bad, ..ToNode::default() }).expect("short");
    let mut sent = 0;
    while sent < 40 * MAX_UNREAD_BYTES && deaf.stream.write_all(&bytes).await.is_ok() {
        sent += bytes.len();
    }
    assert!(sent < 40 * MAX_UNREAD_BYTES, "it was let go on for ever");
    town.gatekeepers[0].process.wait_for_log("unread").await.expect("and the log says why");
    assert_eq!(other.check(check(1, 7)).await.code(), Code::Granted);
    serves(&town).await;
}

#[tokio::test]
async fn rubbish_ends_the_connection_alone_and_is_one_line() {
    let mut town = town(1).await;
    let (mut other, _) = Agent::join(&town).await;
    let ended = |mut agent: Agent| async move { while agent.next().await.is_some() {} };

    let mut four_gb = Agent::connect(&town).await;
    four_gb.stream.write_all(&u32::MAX.to_be_bytes()).await.expect("written");
    ended(four_gb).await;

    let (mut later, _) = Agent::join(&town).await;
    later.stream.write_all(&u32::MAX.to_be_bytes()).await.expect("written");
    ended(later).await;

    let mut noise = Agent::connect(&town).await;
    noise.stream.write_all(&[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]).await.expect("written");
    ended(noise).await;

    let mut silent_first = Agent::connect(&town).await;
    silent_first.say(&ToNode { checks: vec![check(1, 7)], ..ToNode::default() }).await;
    ended(silent_first).await;

    let (mut twice, _) = Agent::join(&town).await;
    twice.hello(VERSION).await;
    ended(twice).await;

    town.gatekeepers[0].process.wait_for_log_times("an agent was cut off", 5).await.expect("a line for each");
    assert_eq!(other.check(check(1, 7)).await.code(), Code::Granted, "the other one noticed nothing");
    serves(&town).await;
}

#[tokio::test]
async fn an_unknown_version_is_told_which_is_spoken() {
    let town = town(1).await;
    let mut agent = Agent::connect(&town).await;
    agent.hello(VERSION + 1).await;
    let bye = agent.next().await.expect("a frame").bye;
    assert!(bye.contains(&format!("{VERSION} is")), "{bye}");
    assert!(agent.next().await.is_none(), "and the connection ends");
    let mut mute = Agent::connect(&town).await;
    assert!(mute.next().await.is_none(), "one that never says hello is closed");
}

#[tokio::test]
async fn a_link_cut_inside_a_frame_charges_nothing_of_it() {
    let mut town = town(1).await;
    let (mut agent, _) = Agent::join(&town).await;
    let mut bytes = Vec::new();
    append_frame(&mut bytes, &ToNode { checks: vec![check(1, 7); 3], ..ToNode::default() }).expect("short");
    agent.stream.write_all(&bytes[..bytes.len() - 1]).await.expect("written");
    drop(agent);
    town.gatekeepers[0].process.wait_for_log("inside a frame").await.expect("seen");
    let (mut next, _) = Agent::join(&town).await;
    for id in 1..=5 {
        assert_eq!(next.check(check(id, 7)).await.code(), Code::Granted, "all five are there");
    }
}

#[tokio::test]
async fn an_agent_that_stalls_inside_a_frame_is_cut_off() {
    let town = town(1).await;
    let (mut agent, _) = Agent::join(&town).await;
    agent.stream.write_all(&[0, 0]).await.expect("written");
    assert!(agent.next().await.is_none());
    serves(&town).await;
}

#[tokio::test]
async fn agents_past_the_most_are_told_so() {
    let town = town(1).await;
    let mut inside = Vec::new();
    for _ in 0..4 {
        inside.push(Agent::join(&town).await);
    }
    let mut fifth = Agent::connect(&town).await;
    let bye = fifth.next().await.expect("a frame").bye;
    assert!(bye.contains("4 agents"), "{bye}");
    assert_eq!(inside[0].0.check(check(1, 7)).await.code(), Code::Granted);
}

#[tokio::test]
async fn a_socket_file_left_by_a_crash_is_replaced_and_a_live_one_is_not() {
    let mut town = town(1).await;
    let socket = town.gatekeepers[0].socket.clone();
    town.gatekeepers[0].process.kill().await;
    assert!(socket.exists(), "a crash leaves it");
    town.restart_gatekeeper(0).await.expect("started over the stale file");
    let (mut agent, _) = Agent::join(&town).await;
    assert_eq!(agent.check(check(1, 7)).await.code(), Code::Granted);
    // A second one with the same socket must not take it from the first.
    let second =
        std::process::Command::new(frostvale_standin::local_cluster::program("frostvale").expect("built"))
            .env("GW_CONFIG", &town.gatekeepers[0].config)
            .env("GW_EXTRA", &town.gatekeepers[0].local_settings)
            .env("GW_LISTEN", format!("{}:0", town.ip))
            .output()
            .expect("run");
    let said = String::from_utf8_lossy(&second.stderr);
    assert!(!second.status.success() && said.lines().count() == 1, "{said}");
    // Its notes' port is taken too; whichever it meets first, the first one's socket is whole.
    assert_eq!(agent.check(check(2, 7)).await.code(), Code::Granted);
    let (mut next, _) = Agent::join(&town).await;
    assert_eq!(next.check(check(3, 7)).await.code(), Code::Granted);
}

#[tokio::test]
async fn a_file_that_is_no_socket_is_left_alone() {
    let folder = std::env::temp_dir().join(format!("frostvale-file-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("precious");
    std::fs::write(&path, "data").expect("written");
    let said = frostvale_link::node::bind(&path).expect_err("refused");
    assert!(said.contains("is no socket"), "{said}");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "data");
    let live = folder.join("live");
    let door = frostvale_link::node::bind(&live).expect("opened");
    let said = frostvale_link::node::bind(&live).expect_err("refused");
    assert!(said.contains("another process listens"), "{said}");
    drop(door);
    assert!(!live.exists(), "a door that closes takes its file along");
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_bad_own_file_stops_the_start_with_one_line() {
    let folder = std::env::temp_dir().join(format!("frostvale-extra-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (config, extra) = (folder.join("n.json"), folder.join("n.toml"));
    let settings =
        json!({"Balancers": 1, "Classes": [{"Name": "read", "Target": 400.0, "Effect": "repeatable"}]});
    let file =
        json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": settings});
    std::fs::write(&config, file.to_string()).expect("written");
    let run = |text: &str, args: &[&str]| {
        std::fs::write(&extra, text).expect("written");
        let program = frostvale_standin::local_cluster::program("frostvale").expect("built");
        let ran = std::process::Command::new(program)
            .args(args)
            .env("GW_CONFIG", &config)
            .env("GW_EXTRA", &extra)
            .output()
            .expect("run");
        (ran.status.success(), String::from_utf8_lossy(&ran.stderr).into_owned())
    };
    for args in [&[][..], &["--check"]] {
        let (good, said) = run("[link]\nsocket = \"relative\"", args);
        assert!(!good && said.lines().count() == 1 && said.contains("link.socket"), "{said}");
    }
    let (good, said) = run("[link]\nsocket = \"/tmp/never-made.sock\"", &["--check"]);
    assert!(good && said.is_empty(), "{said}");
    std::fs::remove_dir_all(&folder).expect("removed");
}

fn fence(epoch: u64) -> Fence {
    Fence { duty: "zones".into(), epoch, owner: format!("a#{epoch}") }
}

fn guide(epoch: u64, version: u64, near: u32) -> ToNode {
    let spill = ["room-b", "room-c"].map(|to| ZoneSpill { to: to.into(), start_milli: 500, end_milli: 500 });
    let row =
        ZoneRow { from: "room-a".into(), near_start_milli: near, near_end_milli: near, spill: spill.into() };
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

/// What the gatekeeper acts on, by its next word.
async fn acts(agent: &mut Agent) -> ZonesSeen {
    // What was on its way already may be of before.
    for _ in 0..2 {
        while agent.next().await.expect("a frame").zones.is_none() {}
    }
    loop {
        if let Some(seen) = agent.next().await.expect("a frame").zones {
            return seen;
        }
    }
}

/// Decisions 7 and 8 in the wrong order, one of a former owner, one of nobody, and some that can't be.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_on_zones_that_come_late_or_cannot_be_change_nothing() {
    let plans = json!([{"Name": "wide", "UnitsPerS": 1e6, "PeakUnits": 1e6, "ValueFactor": 1.0}]);
    let plan = ClusterOptions {
        gatekeepers: 1,
        servers: 3,
        agent: false,
        plans: Some(plans),
        gatekeeper_settings: "[zones]\nreport_ms = 20\n".into(),
        ..ClusterOptions::default()
    };
    let mut town = LocalCluster::start(plan).await.expect("started");
    let (mut agent, welcome) = Agent::join(&town).await;
    agent.say(&guide(3, 7, 1000)).await;
    assert_eq!(acts(&mut agent).await.version, 0, "nobody is believed before the council's epochs are known");
    let epochs = Epochs { nonce: welcome.nonce, given: vec![fence(3)] };
    agent.say(&ToNode { epochs: Some(epochs), ..ToNode::default() }).await;
    agent.say(&guide(3, 8, 0)).await;
    let seen = acts(&mut agent).await;
    assert_eq!((seen.version, seen.epoch, seen.zone.as_str()), (8, 3, "room-a"));
    agent.say(&guide(3, 7, 1000)).await;
    let seen = acts(&mut agent).await;
    assert_eq!(seen.version, 8);
    assert!(seen.problem.contains("version 7 came after 8"), "{}", seen.problem);
    agent.say(&guide(2, 9, 1000)).await;
    assert_eq!(acts(&mut agent).await.version, 8, "a former owner's");
    for bad in [guide(3, 9, 1001), guide(3, 9, 0)] {
        let mut bad = bad;
        if let Some(z) = bad.zones.as_mut().filter(|z| z.rows[0].near_start_milli == 0) {
            z.rows[0].spill[0].to = "room-z".into();
        }
        agent.say(&bad).await;
        let seen = acts(&mut agent).await;
        assert_eq!(seen.version, 8);
        assert!(
            seen.problem.contains("0 to 1") || seen.problem.contains("not known here"),
            "{}",
            seen.problem
        );
    }
    // Version 8 keeps all of it out of the home zone.
    for _ in 0..20 {
        serves(&town).await;
    }
    let at: Vec<u64> = town.servers.iter().map(|s| s.work_counts().1).collect();
    assert!(at[0] == 0 && at[1] + at[2] == 20, "{at:?}");
    town.stop().await;
}
