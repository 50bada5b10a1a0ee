//! Test harness: fleets of agents and gatekeepers, and queries of their state.

#![allow(dead_code, reason = "each test program uses a part of it")]

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

/// The lease of a duty's owner in these tests.
pub const LEASE_MS: u64 = 600;

/// Options of a fleet in which every agent votes.
pub fn fleet_options(agents: usize, gatekeepers: usize) -> FleetOptions {
    let formula =
        ServerOptions { cores: 8, work: Duration::from_millis(2), queue: 1000, ..ServerOptions::default() };
    // FLEET_FOLDER names a folder in which the logs are kept; for a test that is run alone.
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
        lease_ms: LEASE_MS,
        ..FleetOptions::default()
    }
}

/// Starts a fleet, once the limit of agents allows it.
pub async fn fleet(options: FleetOptions) -> Fleet {
    agent_limit::acquire(options.agents);
    Fleet::start(options).await.expect("started")
}

/// Waits until a duty has an owner and returns that agent's index.
pub async fn owner(fleet: &Fleet, duty: &str) -> usize {
    fleet.wait_until("the duty has an owner", |f| f.owner(duty).is_some()).await.expect("owned");
    fleet.owner(duty).expect("owned")
}

/// Waits until the duties have owners and none has changed its owner for three leases.
pub async fn settled(fleet: &Fleet) {
    owner(fleet, "drill-0").await;
    let mut last_epoch = fleet.effects().expect("read").iter().map(|e| e.epoch).max();
    loop {
        sleep(Duration::from_millis(3 * LEASE_MS)).await;
        let newest_epoch = fleet.effects().expect("read").iter().map(|e| e.epoch).max();
        if std::mem::replace(&mut last_epoch, newest_epoch) == newest_epoch {
            return;
        }
    }
}

/// Waits until another owner, or another incarnation of the same agent, has done a step of the duty after
/// this effect; returns its last effect.
pub async fn next_owner(fleet: &Fleet, duty: &str, former: &Effect) -> Effect {
    let other = |f: &Fleet| f.last_effect(duty).filter(|e| e.owner != former.owner && e.epoch > former.epoch);
    fleet.wait_until("another agent owns the duty", |f| other(f).is_some()).await.expect("another owner");
    other(fleet).expect("another owner")
}

/// Checks what must hold for all effects whatever faults occurred: epochs never go back, each epoch has one
/// owner, and owners do not overlap. Returns the effects.
pub fn check_effects(fleet: &Fleet) -> Vec<Effect> {
    let effects = fleet.effects().expect("read");
    for check in [epochs_in_order, epochs_once, no_overlap] {
        check(&effects).expect("sound");
    }
    effects
}

/// Returns the duties as an agent reports them, by name; empty if the agent does not answer.
pub async fn duties(fleet: &Fleet, agent: usize) -> BTreeMap<String, Duty> {
    let Ok(mut client) = control(&fleet.agents[agent].control).await else { return BTreeMap::new() };
    let request = DutiesRequest { duty: String::new(), history: false };
    let duties = client.duties(request).await.map(|d| d.into_inner().duties).unwrap_or_default();
    duties.into_iter().map(|d| (d.name.clone(), d)).collect()
}

/// Describes the council and the duties as each agent reports them, for the message of a failed assertion.
pub async fn describe(fleet: &Fleet) -> String {
    let mut all = String::new();
    for agent in &fleet.agents {
        let Ok(mut client) = control(&agent.control).await else {
            all.push_str(&format!("{} does not answer; ", agent.name));
            continue;
        };
        let council = client.council(CouncilRequest {}).await.map(tonic::Response::into_inner);
        let request = DutiesRequest { duty: String::new(), history: false };
        let duties = client.duties(request).await.map(|d| d.into_inner().duties);
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

/// Returns the agent that leads the council according to this agent, if any.
pub async fn leader(fleet: &Fleet, agent: usize) -> Option<usize> {
    let mut client = control(&fleet.agents[agent].control).await.ok()?;
    let council = client.council(CouncilRequest {}).await.ok()?.into_inner();
    fleet.agents.iter().position(|a| a.name == council.leader)
}

/// Returns the log of an agent so far.
pub fn log(fleet: &Fleet, agent: usize) -> String {
    std::fs::read_to_string(fleet.cluster.folder.join(format!("a{}.log", agent + 1))).unwrap_or_default()
}
