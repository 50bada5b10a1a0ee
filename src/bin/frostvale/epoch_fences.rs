//! What this gatekeeper knows of the epochs of duties, and which decisions on behalf of the fleet it takes.
//!
//! A gatekeeper that has just started knows no epoch. The first agent that reaches it may be one that owned a duty long ago
//! and was stopped since, so it believes nobody before an agent has answered the nonce of this life: the agent asks the
//! council after it got the nonce, so what it says is no older than this life. From then on the highest epoch heard of
//! counts, whoever told it.

use frostvale_link::proto::{Epochs, Fence, Refused};
use frostvale_owner::FenceTable;
use frostvale_owner::fence::FenceError as Why;
use frostvale_owner::registry::is_name;
use std::hash::BuildHasher;

/// The duty whose decisions are plans.
pub const PLANS_DUTY: &str = "publish";
/// Duties that are remembered.
const DUTIES: usize = 256;
/// Bytes of an owner's name.
const OWNER: usize = 128;

/// The fences of one life.
pub struct EpochFences {
    table: FenceTable,
    nonce: u64,
    confirmed: bool,
    refused: u64,
}

impl EpochFences {
    /// Knows nothing. `life` tells lives apart.
    pub fn new(life: u64) -> EpochFences {
        let drawn = std::collections::hash_map::RandomState::new().hash_one(life);
        EpochFences { table: FenceTable::new(DUTIES), nonce: drawn.max(1), confirmed: false, refused: 0 }
    }

    /// What an agent of a council has to answer.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The highest epoch known of each duty.
    pub fn epochs(&self) -> impl Iterator<Item = (&str, u64)> {
        self.table.iter().map(|(duty, stands)| (duty, stands.epoch))
    }

    /// An agent says what is given out. True if this life is confirmed by it, for the first time.
    pub fn record_epochs(&mut self, epochs: &Epochs) -> bool {
        if !epochs.given.iter().all(sound) || epochs.given.len() > DUTIES {
            self.refused += 1;
            return false;
        }
        for fence in &epochs.given {
            self.table.raise_floor(&fence.duty, fence.epoch);
        }
        let first = epochs.nonce == self.nonce && !self.confirmed;
        self.confirmed |= first;
        first
    }

    /// Takes a decision in, or says why not. One without a fence is of an agent that is of no council: it counts only as
    /// long as no council is known of.
    pub fn admit(&mut self, duty: &str, fence: Option<&Fence>) -> Result<(), Refused> {
        let (epoch, owner) = fence.map_or((0, ""), |f| (f.epoch, f.owner.as_str()));
        let done = match fence {
            None if self.table.current(duty).is_none() => return Ok(()),
            None => Err(self.table.current(duty).cloned()),
            Some(fence) if fence.duty != duty || !sound(fence) || !self.confirmed => Err(None),
            Some(_) => self.table.admit(duty, epoch, owner).map_err(|why| match why {
                Why::Stale(stands) => Some(stands),
                Why::Full => None,
            }),
        };
        done.map_err(|stands| {
            self.refused += 1;
            let (stands, owner) = stands.map_or((0, String::new()), |s| (s.epoch, s.owner));
            Refused { duty: duty.to_string(), epoch, stands, owner, count: self.refused }
        })
    }
}

fn sound(fence: &Fence) -> bool {
    is_name(&fence.duty) && fence.owner.len() <= OWNER && !fence.owner.chars().any(char::is_control)
}

#[cfg(test)]
mod tests;
