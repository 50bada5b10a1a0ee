//! Leases and fencing tokens.
//!
//! An agent holds a [`Lease`] for each duty that it owns. Each effect on behalf of the fleet carries a
//! [`Fence`], which only an unexpired lease gives out. The resource that the effect acts on keeps a
//! [`FenceTable`] and refuses the effects of former owners.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One incarnation of an agent, as the owner of a session and of duties.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the agent.
    pub agent: String,
    /// Incarnation of the agent: it grows with each start and each new session.
    pub life: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.agent, self.life)
    }
}

/// Expiry of a session, in ms of the agent's monotonic clock. It is shared by all leases of the session, so
/// that one renewal extends them all.
#[derive(Debug, Clone, Default)]
pub struct LeaseExpiry(Arc<AtomicU64>);

impl LeaseExpiry {
    /// The expiry in ms; 0 means that the session is not confirmed.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    pub(crate) fn set(&self, expiry_ms: u64) {
        self.0.store(expiry_ms, Ordering::Release);
    }

    /// A copy that no longer follows renewals, for model checks that copy whole controllers.
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

/// The right to run one duty, valid until the session expires or the duty is released. Only
/// [`crate::DutyController`] creates leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    duty: String,
    epoch: u64,
    owner: Owner,
    expiry: LeaseExpiry,
    released: LeaseExpiry,
}

impl Lease {
    pub(crate) fn new(duty: &str, epoch: u64, owner: Owner, expiry: LeaseExpiry) -> Lease {
        Lease { duty: duty.to_string(), epoch, owner, expiry, released: LeaseExpiry::default() }
    }

    /// Name of the duty.
    #[must_use]
    pub fn duty(&self) -> &str {
        &self.duty
    }

    /// Epoch under which the duty is owned.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Owner of the lease.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Ends the lease before its session expires, since the duty was handed over or released.
    pub(crate) fn release(&self) {
        self.released.set(1);
    }

    /// A copy that follows the given expiry and shares no state with this lease, for model checks that copy
    /// whole controllers.
    pub(crate) fn detached_on(&self, expiry: &LeaseExpiry) -> Lease {
        Lease { expiry: expiry.clone(), released: self.released.detached(), ..self.clone() }
    }

    /// Remaining time of the lease at `now`, in ms. `now` is in ms of the agent's monotonic clock.
    ///
    /// # Errors
    /// [`LeaseExpired`] if the lease has expired or was released.
    pub fn remaining_ms(&self, now: u64) -> Result<u64, LeaseExpired> {
        let remaining_ms = self.expiry.get().saturating_sub(now);
        if remaining_ms == 0 || self.released.get() != 0 {
            return Err(LeaseExpired { duty: self.duty.clone(), epoch: self.epoch });
        }
        Ok(remaining_ms)
    }

    /// The fence for one effect. Call it right before the effect; `now` is in ms of the agent's monotonic
    /// clock.
    ///
    /// # Errors
    /// [`LeaseExpired`] if the lease has expired or was released. The effect must not be tried then.
    pub fn fence(&self, now: u64) -> Result<Fence, LeaseExpired> {
        self.remaining_ms(now)?;
        Ok(Fence { duty: self.duty.clone(), epoch: self.epoch, owner: self.owner.to_string() })
    }
}

/// Error of a lease that has expired or was released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseExpired {
    /// Name of the duty.
    pub duty: String,
    /// Epoch of the lease.
    pub epoch: u64,
}

impl fmt::Display for LeaseExpired {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lease of duty {} (epoch {}) has expired: nothing was done", self.duty, self.epoch)
    }
}

impl std::error::Error for LeaseExpired {}

/// Fencing token of one effect: it proves that a lease was valid a moment ago. Only [`Lease::fence`] creates
/// one, so a function that takes a fence cannot be called without a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Fence {
    duty: String,
    epoch: u64,
    owner: String,
}

impl Fence {
    /// Name of the duty.
    #[must_use]
    pub fn duty(&self) -> &str {
        &self.duty
    }

    /// Epoch of the lease.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Owner of the lease, as `agent#life`.
    #[must_use]
    pub fn owner(&self) -> &str {
        &self.owner
    }
}

/// The highest epoch of a duty that a resource has seen, and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CurrentEpoch {
    /// The highest epoch.
    pub epoch: u64,
    /// Owner of the epoch, as `agent#life`. Empty if the epoch was only announced, with no effect under it
    /// yet.
    pub owner: String,
}

/// The highest epoch of each duty that a resource has seen, with the rule that accepts or refuses an effect.
/// The database keeps the same data in a table of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FenceTable {
    highest: BTreeMap<String, CurrentEpoch>,
    max_duties: usize,
}

/// Why an effect is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceError {
    /// A higher epoch was seen, or the same epoch of another owner.
    Stale(CurrentEpoch),
    /// The duty is new and the table holds its maximum number of duties.
    Full,
}

impl FenceTable {
    /// An empty table for at most `max_duties` duties.
    #[must_use]
    pub fn new(max_duties: usize) -> FenceTable {
        FenceTable { highest: BTreeMap::new(), max_duties }
    }

    /// Accepts an effect and records its epoch and owner.
    ///
    /// # Errors
    /// [`FenceError::Stale`] if the effect is from a former owner, with the current epoch;
    /// [`FenceError::Full`] if the table has no room for another duty.
    pub fn admit(&mut self, duty: &str, epoch: u64, owner: &str) -> Result<(), FenceError> {
        if let Some(current) = self.highest.get_mut(duty) {
            let is_same_owner =
                current.epoch == epoch && (current.owner.is_empty() || current.owner == owner);
            if epoch < current.epoch || (epoch == current.epoch && !is_same_owner) {
                return Err(FenceError::Stale(current.clone()));
            }
            *current = CurrentEpoch { epoch, owner: owner.to_string() };
            return Ok(());
        }
        if self.highest.len() >= self.max_duties {
            return Err(FenceError::Full);
        }
        self.highest.insert(duty.to_string(), CurrentEpoch { epoch, owner: owner.to_string() });
        Ok(())
    }

    /// Records that an epoch was granted, before any effect under it arrives: lower ones are refused from now
    /// on. A duty that finds no room in the table is ignored.
    pub fn raise_floor(&mut self, duty: &str, epoch: u64) {
        let has_room = self.highest.len() < self.max_duties;
        match self.highest.get_mut(duty) {
            Some(current) if current.epoch < epoch => *current = CurrentEpoch { epoch, owner: String::new() },
            None if has_room => {
                self.highest.insert(duty.to_string(), CurrentEpoch { epoch, owner: String::new() });
            }
            _ => {}
        }
    }

    /// The highest epoch seen for a duty.
    #[must_use]
    pub fn current(&self, duty: &str) -> Option<&CurrentEpoch> {
        self.highest.get(duty)
    }

    /// All entries, ordered by duty.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &CurrentEpoch)> {
        self.highest.iter().map(|(duty, current)| (duty.as_str(), current))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fence_table_refuses_epochs_below_the_highest_one_seen() {
        let mut table = FenceTable::new(2);
        assert!(table.admit("export", 5, "a#1").is_ok());
        assert!(table.admit("export", 5, "a#1").is_ok(), "the same owner again");
        assert!(matches!(table.admit("export", 4, "b#1"), Err(FenceError::Stale(s)) if s.epoch == 5));
        assert!(
            matches!(table.admit("export", 5, "b#1"), Err(FenceError::Stale(_))),
            "the same epoch of another owner"
        );
        table.raise_floor("export", 7);
        assert!(matches!(table.admit("export", 6, "a#1"), Err(FenceError::Stale(_))));
        assert!(table.admit("export", 7, "b#1").is_ok());
        table.raise_floor("export", 3);
        assert_eq!(table.current("export").map(|s| s.epoch), Some(7), "a lower floor has no effect");
        assert!(table.admit("gaps", 1, "a#1").is_ok());
        assert_eq!(table.admit("roll-up", 1, "a#1"), Err(FenceError::Full));
    }

    #[test]
    fn lease_gives_no_fence_when_expired_or_released() {
        let expiry = LeaseExpiry::default();
        let owner = Owner { agent: "a".into(), life: 3 };
        let lease = Lease::new("export", 9, owner, expiry.clone());
        assert!(lease.fence(0).is_err(), "the session was never confirmed");
        expiry.set(100);
        let fence = lease.fence(99).expect("the lease holds");
        assert_eq!((fence.duty(), fence.epoch(), fence.owner()), ("export", 9, "a#3"));
        assert_eq!(lease.fence(100), Err(LeaseExpired { duty: "export".into(), epoch: 9 }));
        expiry.set(200);
        assert!(lease.fence(100).is_ok());
        lease.release();
        assert!(lease.fence(100).is_err());
    }
}
