//! Resolves the indexes that a gatekeeper and its agent send each other. An index counts in the lists of one
//! process's welcome: another gatekeeper, or the same one after a restart with new settings, may list other
//! plans and classes in another order.

use frostvale_checks::{Plan, Tier};
use frostvale_link::proto::{Plan as WirePlan, Welcome};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Plan keys are at or above this. Lower values in the record are indexes, as agents stored them before plans
/// had keys.
const MIN_PLAN_KEY: i64 = 1 << 62;

/// The name of the plan at `index` in the lists of this process.
pub(crate) fn plan_name(welcome: &Welcome, index: u32) -> Option<&str> {
    welcome.plans.get(usize::try_from(index).ok()?).map(|plan| plan.name.as_str())
}

/// The name of the class at `index` in the lists of this process.
pub(crate) fn class_name(welcome: &Welcome, index: u32) -> Option<&str> {
    welcome.classes.get(usize::try_from(index).ok()?).map(String::as_str)
}

/// The index of a plan in the lists of this process.
pub(crate) fn plan_index(welcome: &Welcome, name: &str) -> Option<u32> {
    u32::try_from(welcome.plans.iter().position(|plan| plan.name == name)?).ok()
}

/// The index of a class in the lists of this process.
pub(crate) fn class_index(welcome: &Welcome, name: &str) -> Option<u32> {
    u32::try_from(welcome.classes.iter().position(|class| class == name)?).ok()
}

/// A number that stands for a plan's name in the record, whatever the order of the plans in a process.
fn plan_key(name: &str) -> i64 {
    let digest = Sha256::digest(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    i64::from_be_bytes(first) & (MIN_PLAN_KEY - 1) | MIN_PLAN_KEY
}

/// The key of the plan at `index` in the lists of this process.
pub(crate) fn plan_key_at(welcome: &Welcome, index: u32) -> Option<i64> {
    plan_name(welcome, index).map(plan_key)
}

/// The index, in the lists of this process, of the plan with a key from the record.
pub(crate) fn plan_index_of_key(welcome: &Welcome, key: i64) -> Option<u32> {
    if key < MIN_PLAN_KEY {
        return u32::try_from(key).ok().filter(|index| plan_name(welcome, *index).is_some());
    }
    u32::try_from(welcome.plans.iter().position(|plan| plan_key(&plan.name) == key)?).ok()
}

/// The settings that a process reported in its welcome.
pub(crate) fn tier_of(welcome: &Welcome) -> Tier {
    Tier {
        gatekeepers: welcome.gateways,
        plans: plans_by_name(&welcome.plans),
        classes: welcome.classes.clone(),
        largest_milli: welcome.largest_milli,
    }
}

/// The limits of plans by name.
pub(crate) fn plans_by_name(wire_plans: &[WirePlan]) -> BTreeMap<String, Plan> {
    let plan = |p: &WirePlan| {
        let limits = Plan {
            rate_milli: p.rate_milli,
            burst_milli: p.burst_milli,
            ceiling_rate_milli: p.ceiling_rate_milli,
        };
        (p.name.clone(), limits)
    };
    wire_plans.iter().map(plan).collect()
}

/// The plans and classes that any gatekeeper knows; what several know is taken from `latest`.
pub(crate) fn merge_tiers<'a>(others: impl Iterator<Item = &'a Tier>, latest: &Tier) -> Tier {
    let mut merged = latest.clone();
    for tier in others {
        for (name, plan) in &tier.plans {
            merged.plans.entry(name.clone()).or_insert_with(|| plan.clone());
        }
        for class in &tier.classes {
            if !merged.classes.contains(class) {
                merged.classes.push(class.clone());
            }
        }
    }
    merged
}

#[cfg(test)]
mod tests;
