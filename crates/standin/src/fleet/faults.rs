//! Faults by seed: a schedule that prints, and is played on a fleet. The same seed gives the same schedule; what a fleet
//! makes of it hangs on the machine's speed too, so checks ask only for what must hold at any speed.

use super::Fleet;
use crate::proxy::ProxyMode;
use std::fmt;
use std::time::Duration;
use tokio::time::sleep;

/// Something that is done to a fleet. Agents by their numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// An agent is stopped for so many ms, and goes on.
    Stop(usize, u64),
    /// An agent is killed, and started again after so many ms.
    Kill(usize, u64),
    /// An agent is cut off from the others of the council for so many ms.
    NoCouncil(usize, u64),
    /// What an agent sends to the others of the council is held for so many ms.
    Mute(usize, u64),
    /// What the others send to an agent is held for so many ms.
    Deaf(usize, u64),
    /// An agent's way to the database is held for so many ms: what was on it arrives late.
    NoRecord(usize, u64),
    /// The database is killed, and started again after so many ms.
    KillDb(u64),
    /// A gatekeeper is killed, and started again.
    Gatekeeper(usize),
    /// Nothing, for so many ms.
    Quiet(u64),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Stop(a, ms) => write!(f, "a{} stopped {ms} ms", a + 1),
            Fault::Kill(a, ms) => write!(f, "a{} killed, back after {ms} ms", a + 1),
            Fault::NoCouncil(a, ms) => write!(f, "a{} cut off from the council {ms} ms", a + 1),
            Fault::Mute(a, ms) => write!(f, "a{} not heard by the council {ms} ms", a + 1),
            Fault::Deaf(a, ms) => write!(f, "a{} hears nothing of the council {ms} ms", a + 1),
            Fault::NoRecord(a, ms) => write!(f, "a{}'s way to the record held {ms} ms", a + 1),
            Fault::KillDb(ms) => write!(f, "database killed, back after {ms} ms"),
            Fault::Gatekeeper(k) => write!(f, "n{} killed and started", k + 1),
            Fault::Quiet(ms) => write!(f, "quiet {ms} ms"),
        }
    }
}

/// So many faults for a fleet of so many agents and gatekeepers, whose leases hold so long.
#[must_use]
pub fn schedule(seed: u64, count: usize, agents: usize, gatekeepers: usize, lease_ms: u64) -> Vec<Fault> {
    let mut lots = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut below = |most: u64| {
        lots = lots.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (lots >> 33) % most.max(1)
    };
    let mut all = Vec::new();
    for _ in 0..count {
        let agent = below(agents as u64) as usize;
        // Half of them shorter than a lease, and some much longer.
        let ms = match below(4) {
            0 | 1 => lease_ms / 4 + below(lease_ms / 2),
            2 => lease_ms + below(lease_ms),
            _ => 2 * lease_ms + below(lease_ms),
        };
        all.push(match below(10) {
            0 | 1 => Fault::Stop(agent, ms),
            2 | 3 => Fault::Kill(agent, ms / 4),
            4 => Fault::NoCouncil(agent, ms),
            5 => Fault::Mute(agent, ms),
            6 => Fault::Deaf(agent, ms),
            7 => Fault::NoRecord(agent, ms),
            8 => Fault::KillDb(ms / 2),
            _ if gatekeepers > 0 => Fault::Gatekeeper(below(gatekeepers as u64) as usize),
            _ => Fault::Quiet(ms),
        });
        all.push(Fault::Quiet(below(lease_ms)));
    }
    all
}

/// Does it, and undoes it.
///
/// # Errors
/// When something does not start again.
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
            let (sends, is_sent) = (matches!(fault, Fault::Deaf(..)), matches!(fault, Fault::Mute(..)));
            fleet.set_council_links(*a, sends, is_sent);
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
