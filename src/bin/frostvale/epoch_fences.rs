//! The fences of duties: the highest epoch of each duty that this gatekeeper has received, and whether a
//! decision on behalf of the fleet is admitted.
//!
//! A gatekeeper that has just started has no epochs. The first agent to reach it may have owned a duty long
//! ago and have been paused since, so fenced decisions are refused until an agent has answered the nonce of
//! this process: the agent queries the council after it receives the nonce, so its answer is no older than
//! this process. From then on the highest epoch received counts, whichever agent sent it.

use frostvale_link::proto::{Epochs, Fence, Refused};
use frostvale_owner::FenceTable;
use frostvale_owner::fence::FenceError;
use frostvale_owner::registry::is_name;
use std::hash::BuildHasher;

/// The duty whose decisions are the plans.
pub const PLANS_DUTY: &str = "publish";
/// Duties whose epochs are kept.
const MAX_DUTIES: usize = 256;
/// The longest name of an owner, in bytes.
const MAX_OWNER_BYTES: usize = 128;

/// The fences of one process of the gatekeeper.
pub struct EpochFences {
    table: FenceTable,
    nonce: u64,
    /// Whether an agent has answered the nonce.
    is_confirmed: bool,
    /// Refused messages so far.
    refused: u64,
}

impl EpochFences {
    /// Creates fences without epochs. `started_ms`, the start time, distinguishes processes of the
    /// gatekeeper.
    pub fn new(started_ms: u64) -> EpochFences {
        let random = std::collections::hash_map::RandomState::new().hash_one(started_ms);
        EpochFences {
            table: FenceTable::new(MAX_DUTIES),
            nonce: random.max(1),
            is_confirmed: false,
            refused: 0,
        }
    }

    /// The nonce that an agent with a council has to answer.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The highest epoch received of each duty.
    pub fn epochs(&self) -> impl Iterator<Item = (&str, u64)> {
        self.table.iter().map(|(duty, current)| (duty, current.epoch))
    }

    /// Records the current epochs that an agent sent. Returns true if they answer the nonce for the first
    /// time.
    pub fn record_epochs(&mut self, epochs: &Epochs) -> bool {
        if !epochs.given.iter().all(is_valid) || epochs.given.len() > MAX_DUTIES {
            self.refused += 1;
            return false;
        }
        for fence in &epochs.given {
            self.table.raise_floor(&fence.duty, fence.epoch);
        }
        let is_first = epochs.nonce == self.nonce && !self.is_confirmed;
        self.is_confirmed |= is_first;
        is_first
    }

    /// Admits a decision, or returns the refusal for its sender. A decision without a fence comes from an
    /// agent without a council: it is admitted only while no epoch of the duty has been received.
    pub fn admit(&mut self, duty: &str, fence: Option<&Fence>) -> Result<(), Refused> {
        let (epoch, owner) = fence.map_or((0, ""), |f| (f.epoch, f.owner.as_str()));
        let admitted = match fence {
            None if self.table.current(duty).is_none() => return Ok(()),
            None => Err(self.table.current(duty).cloned()),
            Some(fence) if fence.duty != duty || !is_valid(fence) || !self.is_confirmed => Err(None),
            Some(_) => self.table.admit(duty, epoch, owner).map_err(|why| match why {
                FenceError::Stale(current) => Some(current),
                FenceError::Full => None,
            }),
        };
        admitted.map_err(|current| {
            self.refused += 1;
            let (stands, owner) = current.map_or((0, String::new()), |s| (s.epoch, s.owner));
            Refused { duty: duty.to_string(), epoch, stands, owner, count: self.refused }
        })
    }
}

fn is_valid(fence: &Fence) -> bool {
    is_name(&fence.duty) && fence.owner.len() <= MAX_OWNER_BYTES && !fence.owner.chars().any(char::is_control)
}

#[cfg(test)]
mod tests;
