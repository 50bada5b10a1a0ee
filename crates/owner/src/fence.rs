//! Fences: the proof of a live lease that each effect for the fleet carries, and who refuses which.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// An owner: an agent, and which of its lives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The agent's name.
    pub agent: String,
    /// Its life, which grows with each start.
    pub life: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.agent, self.life)
    }
}

/// Until when a session holds, in ms of its agent's own monotonic clock. All leases of the session share it.
#[derive(Debug, Clone, Default)]
pub struct LeaseExpiry(Arc<AtomicU64>);

impl LeaseExpiry {
    /// The instant itself; 0 is never.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    pub(crate) fn set(&self, at: u64) {
        self.0.store(at, Ordering::Release);
    }

    /// A copy that no longer hears of renewals: models copy whole hosts.
    #[must_use]
    pub fn detached(&self) -> LeaseExpiry {
        LeaseExpiry(Arc::new(AtomicU64::new(self.get())))
    }
}

impl PartialEq for LeaseExpiry {
    fn eq(&self, other: &LeaseExpiry) -> bool {
        self.get() == other.get()
    }
}

impl Eq for LeaseExpiry {}

impl Hash for LeaseExpiry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.get().hash(state);
    }
}

/// The right to do one duty, for as long as the session that it belongs to holds. Given out by [`crate::DutyController`] alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    duty: String,
    epoch: u64,
    owner: Owner,
    until: LeaseExpiry,
    ended: LeaseExpiry,
}

impl Lease {
    pub(crate) fn new(duty: &str, epoch: u64, owner: Owner, until: LeaseExpiry) -> Lease {
        Lease { duty: duty.to_string(), epoch, owner, until, ended: LeaseExpiry::default() }
    }

    /// The duty.
    #[must_use]
    pub fn duty(&self) -> &str {
        &self.duty
    }

    /// Its epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whose it is.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Ends it, whatever the session does: the duty was handed over or given up.
    pub(crate) fn end(&self) {
        self.ended.set(1);
    }

    /// A copy that shares nothing with this one but what it is given: models copy whole hosts.
    pub(crate) fn detached_on(&self, until: &LeaseExpiry) -> Lease {
        Lease { until: until.clone(), ended: self.ended.detached(), ..self.clone() }
    }

    /// For how long it still holds at this instant, in ms.
    ///
    /// # Errors
    /// When it holds no longer.
    pub fn remaining_ms(&self, now: u64) -> Result<u64, LeaseExpired> {
        let left = self.until.get().saturating_sub(now);
        if left == 0 || self.ended.get() != 0 {
            return Err(LeaseExpired { duty: self.duty.clone(), epoch: self.epoch });
        }
        Ok(left)
    }

    /// What one effect carries. Asked for right before the effect, by the agent's monotonic clock.
    ///
    /// # Errors
    /// When the lease holds no longer: then the effect must not be tried.
    pub fn fence(&self, now: u64) -> Result<Fence, LeaseExpired> {
        self.remaining_ms(now)?;
        Ok(Fence { duty: self.duty.clone(), epoch: self.epoch, owner: self.owner.to_string() })
    }
}

/// A lease that holds no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseExpired {
    /// The duty.
    pub duty: String,
    /// Under which epoch it was held.
    pub epoch: u64,
}

impl fmt::Display for LeaseExpired {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the lease of duty {} (epoch {}) holds no longer; nothing was done", self.duty, self.epoch)
    }
}

impl std::error::Error for LeaseExpired {}

/// The proof of a lease that held a moment ago. Only [`Lease::fence`] makes one, so an effect that wants a fence can't
/// be called without a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Fence {
    duty: String,
    epoch: u64,
    owner: String,
}

impl Fence {
    /// The duty.
    #[must_use]
    pub fn duty(&self) -> &str {
        &self.duty
    }

    /// The epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whose it is, as `agent#life`.
    #[must_use]
    pub fn owner(&self) -> &str {
        &self.owner
    }
}

/// What stands where an effect was refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CurrentEpoch {
    /// The highest epoch seen.
    pub epoch: u64,
    /// Whose it is; empty where it was only told that it exists.
    pub owner: String,
}

/// The highest epoch of each duty that a resource has seen, and the rule by which it takes what comes. The database keeps
/// the same in a table of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FenceTable {
    seen: BTreeMap<String, CurrentEpoch>,
    most: usize,
}

/// Why an effect is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceError {
    /// A higher epoch was seen, or the same one from another owner.
    Stale(CurrentEpoch),
    /// More duties than there can be.
    Full,
}

impl FenceTable {
    /// Remembers so many duties at the most.
    #[must_use]
    pub fn new(most: usize) -> FenceTable {
        FenceTable { seen: BTreeMap::new(), most }
    }

    /// Takes an effect in, or says what stands.
    ///
    /// # Errors
    /// When it is a former owner's.
    pub fn admit(&mut self, duty: &str, epoch: u64, owner: &str) -> Result<(), FenceError> {
        if let Some(stands) = self.seen.get_mut(duty) {
            let same = stands.epoch == epoch && (stands.owner.is_empty() || stands.owner == owner);
            if epoch < stands.epoch || (epoch == stands.epoch && !same) {
                return Err(FenceError::Stale(stands.clone()));
            }
            *stands = CurrentEpoch { epoch, owner: owner.to_string() };
            return Ok(());
        }
        if self.seen.len() >= self.most {
            return Err(FenceError::Full);
        }
        self.seen.insert(duty.to_string(), CurrentEpoch { epoch, owner: owner.to_string() });
        Ok(())
    }

    /// Hears that an epoch was given out, with no effect of it yet: lower ones are refused from now on.
    pub fn raise_floor(&mut self, duty: &str, epoch: u64) {
        let room = self.seen.len() < self.most;
        match self.seen.get_mut(duty) {
            Some(stands) if stands.epoch < epoch => *stands = CurrentEpoch { epoch, owner: String::new() },
            None if room => {
                self.seen.insert(duty.to_string(), CurrentEpoch { epoch, owner: String::new() });
            }
            _ => {}
        }
    }

    /// What stands for a duty.
    #[must_use]
    pub fn current(&self, duty: &str) -> Option<&CurrentEpoch> {
        self.seen.get(duty)
    }

    /// All of it, by duty.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &CurrentEpoch)> {
        self.seen.iter().map(|(duty, stands)| (duty.as_str(), stands))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_resource_takes_no_epoch_below_one_that_it_has_seen() {
        let mut table = FenceTable::new(2);
        assert!(table.admit("export", 5, "a#1").is_ok());
        assert!(table.admit("export", 5, "a#1").is_ok(), "the same owner goes on");
        assert!(matches!(table.admit("export", 4, "b#1"), Err(FenceError::Stale(s)) if s.epoch == 5));
        assert!(
            matches!(table.admit("export", 5, "b#1"), Err(FenceError::Stale(_))),
            "one number, two owners"
        );
        table.raise_floor("export", 7);
        assert!(matches!(table.admit("export", 6, "a#1"), Err(FenceError::Stale(_))));
        assert!(table.admit("export", 7, "b#1").is_ok());
        table.raise_floor("export", 3);
        assert_eq!(table.current("export").map(|s| s.epoch), Some(7), "a floor never sinks");
        assert!(table.admit("gaps", 1, "a#1").is_ok());
        assert_eq!(table.admit("roll-up", 1, "a#1"), Err(FenceError::Full));
    }

    #[test]
    fn no_fence_without_a_live_lease() {
        let until = LeaseExpiry::default();
        let owner = Owner { agent: "a".into(), life: 3 };
        let lease = Lease::new("export", 9, owner, until.clone());
        assert!(lease.fence(0).is_err(), "a session that never held");
        until.set(100);
        let fence = lease.fence(99).expect("held");
        assert_eq!((fence.duty(), fence.epoch(), fence.owner()), ("export", 9, "a#3"));
        assert_eq!(lease.fence(100), Err(LeaseExpired { duty: "export".into(), epoch: 9 }));
        until.set(200);
        assert!(lease.fence(100).is_ok());
        lease.end();
        assert!(lease.fence(100).is_err());
    }
}
