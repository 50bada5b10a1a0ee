//! The council over real agents: files that are old, torn, full or can't be written, and members that come and go. What an
//! agent that takes no part may not do is looked for at the resources.

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

/// Why an agent takes no part, once it says so.
async fn problem(fleet: &Fleet, agent: usize) -> String {
    wait_for("it takes no part", async || {
        status(fleet, agent).await.map(|s| s.problem).filter(|p| !p.is_empty())
    })
    .await
}

/// A file and what lies beside it.
fn parts(file: &Path) -> Vec<PathBuf> {
    ["", "-wal", "-shm", ".mark"].map(|end| PathBuf::from(format!("{}{end}", file.display()))).into()
}

/// Ends an agent in order, so that its file is of one piece.
async fn end(fleet: &mut Fleet, agent: usize) {
    let mut process = fleet.agents[agent].process.take().expect("it runs");
    process.signal("TERM").await;
    assert!(process.wait().await.is_some_and(|s| s.success()));
}

/// Duties go on at the others, under new numbers, and none of this agent's lands.
async fn others_go_on(fleet: &Fleet, without: usize) {
    let before = fleet.effects().expect("read").len();
    let more = |f: &Fleet| f.effects().is_ok_and(|t| t.len() > before + 20);
    fleet.wait_until("the others go on", more).await.expect("they do");
    let name = format!("a{}#", without + 1);
    let effects = check_effects(fleet);
    assert!(effects[before..].iter().all(|t| !t.owner.starts_with(&name)), "{name} does no duty");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn an_agent_whose_file_is_an_older_copy_does_not_vote_and_no_number_comes_twice() {
    let mut fleet = fleet(fleet_options(3, 0)).await;
    settled(&fleet).await;
    end(&mut fleet, 1).await;
    let file = fleet.agents[1].file.clone();
    let old = file.with_extension("old");
    fs::copy(&file, &old).expect("copied");
    fleet.start_agent(1).await.expect("started");
    // Much is agreed on that the copy knows nothing of.
    for _ in 0..2 {
        let held = fleet.last_effect("drill-0").expect("owned");
        let now = owner(&fleet, "drill-0").await;
        fleet.kill(now).await;
        next_owner(&fleet, "drill-0", &held).await;
        fleet.start_agent(now).await.expect("started");
        sleep(Duration::from_millis(2 * LEASE_MS)).await;
    }
    fleet.kill(1).await;
    for part in parts(&file).iter().skip(1).take(2) {
        let _ = fs::remove_file(part);
    }
    fs::copy(&old, &file).expect("put back");
    fleet.start_agent(1).await.expect("its agent serves on");
    let why = problem(&fleet, 1).await;
    assert!(why.contains("older copy") && why.contains("does not vote"), "{why}");
    assert!(log(&fleet, 1).contains("older copy"));
    sleep(Duration::from_millis(2 * LEASE_MS)).await;
    others_go_on(&fleet, 1).await;

    // With its mark gone too, those who have heard of it tell it.
    fleet.kill(1).await;
    let _ = fs::remove_file(&parts(&file)[3]);
    fleet.start_agent(1).await.expect("its agent serves on");
    assert!(problem(&fleet, 1).await.contains("older copy"));
    others_go_on(&fleet, 1).await;

    // The way back: out, and in again as a new member.
    fleet.kill(1).await;
    for part in parts(&file) {
        let _ = fs::remove_file(part);
    }
    fleet.start_agent(1).await.expect("started");
    change(&fleet, 0, remove("a2")).await.expect("removed");
    let at = fleet.agents[1].at.to_string();
    let said = change(&fleet, 0, CouncilChange { at, ..add("a2") }).await.expect("added");
    assert!(said.contains("3 vote"), "{said}");
    check_effects(&fleet);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn torn_full_or_unwritable_files_end_an_agents_part_and_the_others_go_on() {
    let mut fleet = fleet(fleet_options(3, 0)).await;
    settled(&fleet).await;
    end(&mut fleet, 2).await;
    let file = fleet.agents[2].file.clone();
    let sound_file = fs::read(&file).expect("read");

    let mut torn = sound_file.clone();
    let half = torn.len() / 2;
    torn[half..].fill(0x5a);
    fs::write(&file, &torn).expect("written");
    fleet.start_agent(2).await.expect("its agent serves on");
    assert!(problem(&fleet, 2).await.contains("damaged"));
    others_go_on(&fleet, 2).await;

    fleet.kill(2).await;
    for part in parts(&file).iter().take(3) {
        let _ = fs::remove_file(part);
    }
    fs::write(&file, &sound_file).expect("written");
    fleet.set_drill(2, "council_read_only = true");
    fleet.start_agent(2).await.expect("its agent serves on");
    let why = problem(&fleet, 2).await;
    assert!(why.starts_with("council.file") && why.contains("does not vote"), "{why}");
    others_go_on(&fleet, 2).await;

    fleet.kill(2).await;
    fleet.set_drill(2, "council_pages = 1");
    fleet.start_agent(2).await.expect("its agent serves on");
    // Entries come until there is no room for one.
    for k in 0..2000 {
        let why = "x".repeat(200);
        let mut client = control(&fleet.agents[0].control).await.expect("an agent");
        let pause = frostvale_proto::agent::DutyChange {
            what: frostvale_proto::agent::duty_change::What::Resume.into(),
            duty: "drill-0".into(),
            to: String::new(),
            by: "ana".into(),
            why,
        };
        let _ = client.change_duty(pause).await;
        if k % 20 == 0 && status(&fleet, 2).await.is_some_and(|s| !s.problem.is_empty()) {
            break;
        }
    }
    let why = problem(&fleet, 2).await;
    assert!(why.contains("full") && why.contains("does not vote"), "{why}");
    others_go_on(&fleet, 2).await;
    fleet.kill(2).await;
    fleet.set_drill(2, "");
    fleet.start_agent(2).await.expect("started");
    wait_for("with room again it takes part", async || {
        status(&fleet, 2).await.filter(|s| s.problem.is_empty() && !s.leader.is_empty())
    })
    .await;
    check_effects(&fleet);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn two_added_at_once_the_leader_removed_and_two_of_five_that_hang() {
    let mut fleet = fleet(FleetOptions { voters: 3, ..fleet_options(5, 0) }).await;
    settled(&fleet).await;
    for k in [3, 4] {
        wait_for("it follows", async || status(&fleet, k).await.filter(|s| s.state == "learner")).await;
    }
    // Two operators at once, at two agents: one change at a time, and who was refused is told so and tries again.
    let (one, two) = tokio::join!(change(&fleet, 0, add("a4")), change(&fleet, 1, add("a5")));
    assert!(one.is_ok() || two.is_ok(), "{one:?}, {two:?}");
    for (name, done) in [("a4", one), ("a5", two)] {
        if let Err(why) = done {
            assert!(why.contains("another change"), "{why}");
            change(&fleet, 2, add(name)).await.expect("added");
        }
    }
    let votes = async |fleet: &Fleet, agent: usize| {
        status(fleet, agent).await.map_or(0, |s| s.members.iter().filter(|m| m.votes).count())
    };
    wait_for("five vote", async || (votes(&fleet, 3).await == 5).then_some(())).await;

    // Two of five hang: duties go on at the other three.
    let leads = wait_for("a leader", async || leader(&fleet, 0).await).await;
    let other = (0..5).find(|k| *k != leads).expect("another one");
    for k in [leads, other] {
        fleet.signal(k, "STOP").await;
    }
    sleep(Duration::from_millis(4 * LEASE_MS)).await;
    let before = fleet.effects().expect("read").len();
    let more = |f: &Fleet| f.effects().is_ok_and(|t| t.len() > before + 20);
    fleet.wait_until("three of five go on", more).await.expect("they do");
    let hung = [leads, other].map(|k| format!("a{}#", k + 1));
    let effects = check_effects(&fleet);
    assert!(effects[before..].iter().all(|t| hung.iter().all(|h| !t.owner.starts_with(h.as_str()))));
    for k in [leads, other] {
        fleet.signal(k, "CONT").await;
    }

    // The leader is removed, by way of another: the rest choose one, and no number comes twice.
    let leads = wait_for("a leader", async || leader(&fleet, (leads + 1) % 5).await).await;
    let name = fleet.agents[leads].name.clone();
    let by = (0..5).find(|k| *k != leads).expect("another one");
    let done = change(&fleet, by, remove(&name)).await;
    assert!(done.as_ref().is_ok_and(|s| s.contains("is no member")) || done.is_err(), "{done:?}");
    wait_for("four vote", async || (votes(&fleet, by).await == 4).then_some(())).await;
    wait_for("another leads", async || leader(&fleet, by).await.filter(|k| *k != leads)).await;
    let before = fleet.effects().expect("read").len();
    let more = |f: &Fleet| f.effects().is_ok_and(|t| t.len() > before + 20);
    fleet.wait_until("the others go on", more).await.expect("they do");
    check_effects(&fleet);
    fleet.stop().await;
}
