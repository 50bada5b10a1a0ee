//! Fault injection by seed: a schedule of faults that can be printed and applied to a fleet. The same seed
//! gives the same schedule. The fleet's reaction also depends on the speed of the machine, so checks require
//! only what must hold at any speed.

use super::Fleet;
use crate::proxy::ProxyMode;
use std::fmt;
use std::time::Duration;
use tokio::time::sleep;

/// A fault that is injected into a fleet. Agents and gatekeepers are given by number, durations in ms.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// An agent is paused by SIGSTOP for a time, then continued.
    Stop(usize, u64),
    /// An agent is killed, and restarted after a time.
    Kill(usize, u64),
    /// Traffic between an agent and the rest of the group is held for a time, in both directions.
    NoCouncil(usize, u64),
    /// What an agent sends to the rest of the group is held for a time.
    Mute(usize, u64),
    /// What the rest of the group sends to an agent is held for a time.
    Deaf(usize, u64),
    /// Traffic between an agent and the database is held for a time; data in transit arrives late.
    NoRecord(usize, u64),
    /// The database is killed, and restarted after a time.
    KillDb(u64),
    /// A gatekeeper is killed, and restarted at once.
    Gatekeeper(usize),
    /// No fault for a time.
    Quiet(u64),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Stop(a, ms) => write!(f, "a{} stopped {ms} ms", a + 1),
            Fault::Kill(a, ms) => write!(f, "a{} killed, back after {ms} ms", a + 1),
            Fault::NoCouncil(a, ms) => write!(f, "a{} cut off from the council {ms} ms", a + 1),
            Fault::Mute(a, ms) => write!(f, "a{} traffic to the council held {ms} ms", a + 1),
            Fault::Deaf(a, ms) => write!(f, "a{} traffic from the council held {ms} ms", a + 1),
            Fault::NoRecord(a, ms) => write!(f, "a{} traffic with the record held {ms} ms", a + 1),
            Fault::KillDb(ms) => write!(f, "database killed, back after {ms} ms"),
            Fault::Gatekeeper(k) => write!(f, "n{} killed and started", k + 1),
            Fault::Quiet(ms) => write!(f, "quiet {ms} ms"),
        }
    }
}

/// Returns a schedule of `count` faults, each followed by a quiet time, for a fleet with this many agents and
/// gatekeepers and this lease length.
#[must_use]
pub fn schedule(seed: u64, count: usize, agents: usize, gatekeepers: usize, lease_ms: u64) -> Vec<Fault> {
    let mut random_state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut random_below = |bound: u64| {
        random_state =
            random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random_state >> 33) % bound.max(1)
    };
    let mut faults = Vec::new();
    for _ in 0..count {
        let agent = random_below(agents as u64) as usize;
        // Half of the durations are shorter than a lease; a quarter is 2 to 3 times as long.
        let ms = match random_below(4) {
            0 | 1 => lease_ms / 4 + random_below(lease_ms / 2),
            2 => lease_ms + random_below(lease_ms),
            _ => 2 * lease_ms + random_below(lease_ms),
        };
        faults.push(match random_below(10) {
            0 | 1 => Fault::Stop(agent, ms),
            2 | 3 => Fault::Kill(agent, ms / 4),
            4 => Fault::NoCouncil(agent, ms),
            5 => Fault::Mute(agent, ms),
            6 => Fault::Deaf(agent, ms),
            7 => Fault::NoRecord(agent, ms),
            8 => Fault::KillDb(ms / 2),
            _ if gatekeepers > 0 => Fault::Gatekeeper(random_below(gatekeepers as u64) as usize),
            _ => Fault::Quiet(ms),
        });
        faults.push(Fault::Quiet(random_below(lease_ms)));
    }
    faults
}

/// Injects a fault, waits for its duration and reverts it.
///
/// # Errors
/// When a process does not restart.
pub async fn apply(fleet: &mut Fleet, fault: &Fault) -> Result<(), String> {
    let pause = |ms: &u64| sleep(Duration::from_millis(*ms));
    match fault {
        Fault::Stop(a, ms) => {
            fleet.signal(*a, "STOP").await;
            pause(ms).await;
            fleet.signal(*a, "CONT").await;
        }
        Fault::Kill(a, ms) => {
            fleet.kill(*a).await;
            pause(ms).await;
            fleet.start_agent(*a).await?;
        }
        Fault::NoCouncil(a, ms) | Fault::Mute(a, ms) | Fault::Deaf(a, ms) => {
            let (can_send, can_receive) =
                (matches!(fault, Fault::Deaf(..)), matches!(fault, Fault::Mute(..)));
            fleet.set_council_links(*a, can_send, can_receive);
            pause(ms).await;
            fleet.set_council_links(*a, true, true);
        }
        Fault::NoRecord(a, ms) => {
            fleet.set_db_mode(*a, ProxyMode::Hold);
            pause(ms).await;
            fleet.set_db_mode(*a, ProxyMode::Forward);
        }
        Fault::KillDb(ms) => {
            fleet.kill_db().await;
            pause(ms).await;
            fleet.start_db(None).await?;
        }
        Fault::Gatekeeper(k) => {
            fleet.cluster.gatekeepers[*k].process.kill().await;
            fleet.cluster.restart_gatekeeper(*k).await?;
        }
        Fault::Quiet(ms) => pause(ms).await,
    }
    Ok(())
}
