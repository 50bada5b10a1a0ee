//! The part of a rate limit call's handling that performs no I/O.
//!
//! A shop has one quota only if all of its requests and checks are charged to the same token bucket.
//! Gatekeepers locate the bucket through the shop's set (`first`, `spread`): one gatekeeper of the set is the
//! quota owner and holds the bucket, and each gatekeeper of the set has a local share of the ceiling. A check
//! decided by a gatekeeper outside the set would use a second bucket beside the first. [`read`] therefore
//! parses and validates the call, [`route`] selects the gatekeepers that may decide it, and [`answer`]
//! combines their decisions into one response: either all descriptors of a call are granted, or none is
//! charged.

pub mod answer;
pub mod read;
pub mod route;

use std::collections::BTreeMap;

/// A plan as reported by the gatekeepers, in thousandths of a unit. A rate, burst or ceiling of 0 means none
/// is set.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Sustained rate, in thousandths of a unit per second.
    pub rate_milli: u64,
    /// Capacity of a shop's token bucket, in thousandths of a unit.
    pub burst_milli: u64,
    /// Rate of the hard ceiling, in thousandths of a unit per second.
    pub ceiling_rate_milli: u64,
}

/// Configuration shared by all gatekeepers of a tier. Plans and classes go by name: each gatekeeper numbers
/// its own.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tier {
    /// Number of gatekeepers.
    pub gatekeepers: u32,
    /// Plans by name. While this is empty, any plan name is accepted.
    pub plans: BTreeMap<String, Plan>,
    /// Class names. While this is empty, any class name is accepted.
    pub classes: Vec<String>,
    /// Largest number of units that one request may ask for, in thousandths; 0 if unknown.
    pub largest_milli: u64,
}

/// The answer to a check that no gatekeeper decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FailureMode {
    /// Answer OK.
    Allow,
    /// Answer over limit.
    #[default]
    Deny,
}

impl Plan {
    /// Returns the failure mode of this plan. A plan with a hard ceiling always denies, since an undecided
    /// check could exceed the ceiling; any other plan uses the configured mode.
    #[must_use]
    pub fn failure_mode(&self, configured: FailureMode) -> FailureMode {
        if self.ceiling_rate_milli > 0 { FailureMode::Deny } else { configured }
    }
}
