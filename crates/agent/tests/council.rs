//! The council (consensus group) over real agents: council files that are old, damaged, full or read-only,
//! and members that are added and removed. Effects of agents that do not take part are looked for at the
//! resources.

mod fleet_harness;
mod record_harness;

use fleet_harness::{LEASE_MS, check_effects, fleet, fleet_options, leader, log, next_owner, owner, settled};
use frostvale_agent::serve::control;
use frostvale_proto::agent::{CouncilChange, CouncilRequest, CouncilResponse};
use frostvale_standin::fleet::{Fleet, FleetOptions};
use record_harness::wait_for;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

async fn status(fleet: &Fleet, agent: usize) -> Option<CouncilResponse> {
    let mut client = control(&fleet.agents[agent].control).await.ok()?;
    Some(client.council(CouncilRequest {}).await.ok()?.into_inner())
}

async fn change(fleet: &Fleet, agent: usize, change: CouncilChange) -> Result<String, String> {
    let mut client = control(&fleet.agents[agent].control).await.expect("an agent");
    client.change_council(change).await.map(|s| s.into_inner().text).map_err(|e| e.message().to_string())
}

fn add(name: &str) -> CouncilChange {
    CouncilChange { add: name.into(), ..CouncilChange::default() }
}

fn remove(name: &str) -> CouncilChange {
    CouncilChange { remove: name.into(), ..CouncilChange::default() }
}

/// Waits until an agent reports why it does not take part in the council, and returns the reason.
async fn problem(fleet: &Fleet, agent: usize) -> String {
    wait_for("the agent does not take part", async || {
        status(fleet, agent).await.map(|s| s.problem).filter(|p| !p.is_empty())
    })
    .await
}

/// Returns the paths of a council file, its WAL, its shared memory file and its mark.
fn file_parts(file: &Path) -> Vec<PathBuf> {
    ["", "-wal", "-shm", ".mark"].map(|end| PathBuf::from(format!("{}{end}", file.display()))).into()
}

/// Stops an agent gracefully, so that its council file is complete without the WAL.
async fn stop_agent(fleet: &mut Fleet, agent: usize) {
    let mut process = fleet.agents[agent].process.take().expect("it runs");
    process.signal("TERM").await;
    assert!(process.wait().await.is_some_and(|s| s.success()));
}

/// Checks that the other agents continue the duties and that this agent has no effect.
async fn assert_others_continue(fleet: &Fleet, excluded: usize) {
    let before = fleet.effects().expect("read").len();
    let has_more = |f: &Fleet| f.effects().is_ok_and(|t| t.len() > before + 20);
    fleet.wait_until("the other agents continue", has_more).await.expect("more effects");
    let name = format!("a{}#", excluded + 1);
    let effects = check_effects(fleet);
    assert!(effects[before..].iter().all(|t| !t.owner.starts_with(&name)), "{name} had an effect on a duty");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn agent_does_not_vote_when_its_council_file_is_an_older_copy() {
    let mut fleet = fleet(fleet_options(3, 0)).await;
    settled(&fleet).await;
    stop_agent(&mut fleet, 1).await;
    let file = fleet.agents[1].file.clone();
    let older_copy = file.with_extension("old");
    fs::copy(&file, &older_copy).expect("copied");
    fleet.start_agent(1).await.expect("started");
    // The group agrees on entries that the copy does not have.
    for _ in 0..2 {
        let last_effect = fleet.last_effect("drill-0").expect("owned");
        let current = owner(&fleet, "drill-0").await;
        fleet.kill(current).await;
        next_owner(&fleet, "drill-0", &last_effect).await;
        fleet.start_agent(current).await.expect("started");
        sleep(Duration::from_millis(2 * LEASE_MS)).await;
    }
    fleet.kill(1).await;
    for part in file_parts(&file).iter().skip(1).take(2) {
        let _ = fs::remove_file(part);
    }
    fs::copy(&older_copy, &file).expect("put back");
    fleet.start_agent(1).await.expect("the agent starts without the council");
    let why = problem(&fleet, 1).await;
    assert!(why.contains("older copy") && why.contains("does not vote"), "{why}");
    assert!(log(&fleet, 1).contains("older copy"));
    sleep(Duration::from_millis(2 * LEASE_MS)).await;
    assert_others_continue(&fleet, 1).await;

    // Without the mark file too, the other agents report that the copy is older.
    fleet.kill(1).await;
    let _ = fs::remove_file(&file_parts(&file)[3]);
    fleet.start_agent(1).await.expect("the agent starts without the council");
    assert!(problem(&fleet, 1).await.contains("older copy"));
    assert_others_continue(&fleet, 1).await;

    // The agent recovers by being removed and added again as a new member.
    fleet.kill(1).await;
    for part in file_parts(&file) {
        let _ = fs::remove_file(part);
    }
    fleet.start_agent(1).await.expect("started");
    change(&fleet, 0, remove("a2")).await.expect("removed");
    let at = fleet.agents[1].at.to_string();
    let reply = change(&fleet, 0, CouncilChange { at, ..add("a2") }).await.expect("added");
    assert!(reply.contains("3 vote"), "{reply}");
    check_effects(&fleet);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn agent_does_not_vote_when_its_council_file_is_damaged_full_or_read_only() {
    let mut fleet = fleet(fleet_options(3, 0)).await;
    settled(&fleet).await;
    stop_agent(&mut fleet, 2).await;
    let file = fleet.agents[2].file.clone();
    let valid_file = fs::read(&file).expect("read");

    let mut damaged = valid_file.clone();
    let half = damaged.len() / 2;
    damaged[half..].fill(0x5a);
    fs::write(&file, &damaged).expect("written");
    fleet.start_agent(2).await.expect("the agent starts without the council");
    assert!(problem(&fleet, 2).await.contains("damaged"));
    assert_others_continue(&fleet, 2).await;

    fleet.kill(2).await;
    for part in file_parts(&file).iter().take(3) {
        let _ = fs::remove_file(part);
    }
    fs::write(&file, &valid_file).expect("written");
    fleet.set_drill(2, "council_read_only = true");
    fleet.start_agent(2).await.expect("the agent starts without the council");
    let why = problem(&fleet, 2).await;
    assert!(why.starts_with("council.file") && why.contains("does not vote"), "{why}");
    assert_others_continue(&fleet, 2).await;

    fleet.kill(2).await;
    fleet.set_drill(2, "council_pages = 1");
    fleet.start_agent(2).await.expect("the agent starts without the council");
    // Entries are added until the file has no room for another.
    for k in 0..2000 {
        let why = "x".repeat(200);
        let mut client = control(&fleet.agents[0].control).await.expect("an agent");
        let resume = frostvale_proto::agent::DutyChange {
            what: frostvale_proto::agent::duty_change::What::Resume.into(),
            duty: "drill-0".into(),
            to: String::new(),
            by: "ana".into(),
            why,
        };
        let _ = client.change_duty(resume).await;
        if k % 20 == 0 && status(&fleet, 2).await.is_some_and(|s| !s.problem.is_empty()) {
            break;
        }
    }
    let why = problem(&fleet, 2).await;
    assert!(why.contains("full") && why.contains("does not vote"), "{why}");
    assert_others_continue(&fleet, 2).await;
    fleet.kill(2).await;
    fleet.set_drill(2, "");
    fleet.start_agent(2).await.expect("started");
    wait_for("the agent takes part again once there is room", async || {
        status(&fleet, 2).await.filter(|s| s.problem.is_empty() && !s.leader.is_empty())
    })
    .await;
    check_effects(&fleet);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn duties_continue_when_members_are_added_removed_or_hang() {
    let mut fleet = fleet(FleetOptions { voters: 3, ..fleet_options(5, 0) }).await;
    settled(&fleet).await;
    for k in [3, 4] {
        wait_for("the agent is a learner", async || status(&fleet, k).await.filter(|s| s.state == "learner"))
            .await;
    }
    // Two operators add agents at the same time: only one change runs at a time, and a refused one is
    // repeated.
    let (first, second) = tokio::join!(change(&fleet, 0, add("a4")), change(&fleet, 1, add("a5")));
    assert!(first.is_ok() || second.is_ok(), "{first:?}, {second:?}");
    for (name, done) in [("a4", first), ("a5", second)] {
        if let Err(why) = done {
            assert!(why.contains("another change"), "{why}");
            change(&fleet, 2, add(name)).await.expect("added");
        }
    }
    let count_voters = async |fleet: &Fleet, agent: usize| {
        status(fleet, agent).await.map_or(0, |s| s.members.iter().filter(|m| m.votes).count())
    };
    wait_for("five agents vote", async || (count_voters(&fleet, 3).await == 5).then_some(())).await;

    // Two of five agents hang: the other three continue the duties.
    let leader_index = wait_for("the council has a leader", async || leader(&fleet, 0).await).await;
    let other = (0..5).find(|k| *k != leader_index).expect("another one");
    for k in [leader_index, other] {
        fleet.signal(k, "STOP").await;
    }
    sleep(Duration::from_millis(4 * LEASE_MS)).await;
    let before = fleet.effects().expect("read").len();
    let has_more = |f: &Fleet| f.effects().is_ok_and(|t| t.len() > before + 20);
    fleet.wait_until("three of five agents continue", has_more).await.expect("more effects");
    let hung_owners = [leader_index, other].map(|k| format!("a{}#", k + 1));
    let effects = check_effects(&fleet);
    assert!(effects[before..].iter().all(|t| hung_owners.iter().all(|h| !t.owner.starts_with(h.as_str()))));
    for k in [leader_index, other] {
        fleet.signal(k, "CONT").await;
    }

    // The leader is removed through another agent: the rest elect a leader, and no epoch is reused.
    let leader_index =
        wait_for("the council has a leader", async || leader(&fleet, (leader_index + 1) % 5).await).await;
    let name = fleet.agents[leader_index].name.clone();
    let by = (0..5).find(|k| *k != leader_index).expect("another one");
    let done = change(&fleet, by, remove(&name)).await;
    assert!(done.as_ref().is_ok_and(|s| s.contains("is no member")) || done.is_err(), "{done:?}");
    wait_for("four agents vote", async || (count_voters(&fleet, by).await == 4).then_some(())).await;
    wait_for("another agent leads", async || leader(&fleet, by).await.filter(|k| *k != leader_index)).await;
    let before = fleet.effects().expect("read").len();
    let has_more = |f: &Fleet| f.effects().is_ok_and(|t| t.len() > before + 20);
    fleet.wait_until("the other agents continue", has_more).await.expect("more effects");
    check_effects(&fleet);
    fleet.stop().await;
}
