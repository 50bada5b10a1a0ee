//! A fleet of processes and what tests ask of it.

#![allow(dead_code, reason = "each test uses a part of it")]

pub mod agent_limit;

use super::record_harness::plans;
use frostvale_agent::serve::control;
use frostvale_proto::agent::{CouncilRequest, DutiesRequest, Duty};
use frostvale_standin::fleet::check::{epochs_in_order, epochs_once, no_overlap};
use frostvale_standin::fleet::{Effect, Fleet, FleetOptions};
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

pub const LEASE: u64 = 600;

pub fn plan(agents: usize, gatekeepers: usize) -> FleetOptions {
    let formula =
        ServerOptions { cores: 8, work: Duration::from_millis(2), queue: 1000, ..ServerOptions::default() };
    // FLEET_FOLDER keeps the logs of a test that is run alone.
    let folder = std::env::var_os("FLEET_FOLDER").map(Into::into);
    FleetOptions {
        cluster: local_cluster::ClusterOptions {
            gatekeepers,
            servers: 3,
            formula,
            plans: Some(plans()),
            folder,
            ..local_cluster::ClusterOptions::default()
        },
        agents,
        voters: agents,
        lease_ms: LEASE,
        ..FleetOptions::default()
    }
}

pub async fn fleet(plan: FleetOptions) -> Fleet {
    agent_limit::take(plan.agents);
    Fleet::start(plan).await.expect("started")
}

/// The owner of a duty, once there is one.
pub async fn owner(fleet: &Fleet, duty: &str) -> usize {
    fleet.wait_until("it has an owner", |f| f.owner(duty).is_some()).await.expect("owned");
    fleet.owner(duty).expect("owned")
}

/// Waits until duties are dealt out and stay where they are.
pub async fn settled(fleet: &Fleet) {
    owner(fleet, "drill-0").await;
    let mut last = fleet.effects().expect("read").iter().map(|t| t.epoch).max();
    loop {
        sleep(Duration::from_millis(3 * LEASE)).await;
        let now = fleet.effects().expect("read").iter().map(|t| t.epoch).max();
        if std::mem::replace(&mut last, now) == now {
            return;
        }
    }
}

/// Waits until a duty is another's than this agent's life, and gives that effect.
pub async fn another(fleet: &Fleet, duty: &str, than: &Effect) -> Effect {
    let other = |f: &Fleet| f.last_effect(duty).filter(|t| t.owner != than.owner && t.epoch > than.epoch);
    fleet.wait_until("another owns it", |f| other(f).is_some()).await.expect("another");
    other(fleet).expect("another")
}

/// Whatever was done: what must hold of all effects.
pub fn sound(fleet: &Fleet) -> Vec<Effect> {
    let touches = fleet.effects().expect("read");
    for check in [epochs_in_order, epochs_once, no_overlap] {
        check(&touches).expect("sound");
    }
    touches
}

pub async fn duties(fleet: &Fleet, agent: usize) -> BTreeMap<String, Duty> {
    let Ok(mut client) = control(&fleet.agents[agent].control).await else { return BTreeMap::new() };
    let asked = DutiesRequest { duty: String::new(), history: false };
    let said = client.duties(asked).await.map(|d| d.into_inner().duties).unwrap_or_default();
    said.into_iter().map(|d| (d.name.clone(), d)).collect()
}

/// What each agent says of the council and of the duties, for a test that failed.
pub async fn as_seen(fleet: &Fleet) -> String {
    let mut all = String::new();
    for agent in &fleet.agents {
        let Ok(mut client) = control(&agent.control).await else {
            all.push_str(&format!("{} is not there; ", agent.name));
            continue;
        };
        let council = client.council(CouncilRequest {}).await.map(tonic::Response::into_inner);
        let asked = DutiesRequest { duty: String::new(), history: false };
        let duties = client.duties(asked).await.map(|d| d.into_inner().duties);
        let duties: Vec<String> = duties
            .unwrap_or_default()
            .iter()
            .map(|d| format!("{} {} {} {} {}", d.name, d.state, d.owner, d.epoch, d.why))
            .collect();
        let (state, leader) =
            council.map(|c| (format!("{} {}", c.state, c.problem), c.leader)).unwrap_or_default();
        all.push_str(&format!("{}: {state}, leader {leader}, {duties:?}; ", agent.name));
    }
    all
}

/// The agent that leads the council, as this one knows.
pub async fn leader(fleet: &Fleet, agent: usize) -> Option<usize> {
    let mut client = control(&fleet.agents[agent].control).await.ok()?;
    let said = client.council(CouncilRequest {}).await.ok()?.into_inner();
    fleet.agents.iter().position(|a| a.name == said.leader)
}

pub fn log(fleet: &Fleet, agent: usize) -> String {
    std::fs::read_to_string(fleet.cluster.folder.join(format!("a{}.log", agent + 1))).unwrap_or_default()
}
