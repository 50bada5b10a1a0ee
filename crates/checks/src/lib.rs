//! A call to the rate limit service, as far as it needs no input or output.
//!
//! # Why
//!
//! One quota holds for a shop only if all that take from it meet in the same place. Gatekeepers agree on a shop's
//! store through the shop's set (`first`, `spread`): one of the set keeps the store, and each of the set has a slice
//! of the ceiling. A check decided by any other gatekeeper would be a second store beside the first. So [`read`]
//! finds out what is asked for, [`route`] which gatekeepers may decide it, and [`answer`] makes one verdict of
//! theirs: all descriptors of a call are granted, or none is charged.

pub mod answer;
pub mod read;
pub mod route;

use std::collections::BTreeMap;

/// A plan, as gatekeepers tell of it. Units in thousandths, rates a second; 0 where there is none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Its number at the gatekeepers.
    pub number: u32,
    /// Units a second.
    pub rate_milli: u64,
    /// The most that a store holds.
    pub burst_milli: u64,
    /// Units a second of the hard ceiling.
    pub ceiling_rate_milli: u64,
}

/// What the gatekeepers of a tier have in common.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tier {
    /// How many gatekeepers there are.
    pub gatekeepers: u32,
    /// By name.
    pub plans: BTreeMap<String, Plan>,
    /// By number.
    pub classes: Vec<String>,
    /// The most units of one request, in thousandths; 0 where nothing is said.
    pub largest_milli: u64,
}

/// What is answered where nobody decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FailureMode {
    /// OK.
    Allow,
    /// Over the limit.
    #[default]
    Deny,
}

impl Plan {
    /// What is answered for this plan where nobody decided: a hard ceiling is never left to chance.
    #[must_use]
    pub fn failure_mode(&self, configured: FailureMode) -> FailureMode {
        if self.ceiling_rate_milli > 0 { FailureMode::Deny } else { configured }
    }
}
