//! Checks of the invariants that the effects of a fleet must keep under any fault. Each check takes the
//! effects that the record accepted, in order.

use super::Effect;
use std::collections::{BTreeMap, BTreeSet};

/// Checks that the epochs of each duty never decrease at the resource, and that each epoch has a single
/// owner.
///
/// # Errors
/// Describes the first effect that violates this.
pub fn epochs_in_order(effects: &[Effect]) -> Result<(), String> {
    let mut last: BTreeMap<&str, &Effect> = BTreeMap::new();
    let mut owners: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for effect in effects {
        if let Some(before) = last.insert(&effect.duty, effect)
            && before.epoch > effect.epoch
        {
            return Err(format!("the record accepted {effect:?} after the later epoch of {before:?}"));
        }
        let owner = owners.entry((&effect.duty, effect.epoch)).or_insert(&effect.owner);
        if *owner != effect.owner {
            return Err(format!("{effect:?} has an epoch that belongs to {owner}"));
        }
    }
    Ok(())
}

/// Checks that no epoch is assigned to two duties or two owners.
///
/// # Errors
/// Describes the first effect whose epoch was assigned before.
pub fn epochs_once(effects: &[Effect]) -> Result<(), String> {
    let mut assigned: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for effect in effects {
        let assignee = (effect.duty.as_str(), effect.owner.as_str());
        let known = assigned.entry(effect.epoch).or_insert(assignee);
        if *known != assignee {
            return Err(format!("{effect:?} has an epoch that was assigned to {known:?}"));
        }
    }
    Ok(())
}

/// Checks that the owners of a duty do not overlap: no effect of one owner lies between two effects of
/// another.
///
/// # Errors
/// Describes the first effect under an epoch that had already ended.
pub fn no_overlap(effects: &[Effect]) -> Result<(), String> {
    let mut current: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut ended: BTreeSet<(&str, u64)> = BTreeSet::new();
    for effect in effects {
        let key = (effect.epoch, effect.owner.as_str());
        if ended.contains(&(effect.duty.as_str(), effect.epoch)) {
            return Err(format!("the record accepted {effect:?} after its epoch had ended"));
        }
        if let Some(before) = current.insert(&effect.duty, key)
            && before != key
        {
            ended.insert((&effect.duty, before.0));
        }
    }
    Ok(())
}

/// Returns the longest time between two successive effects of a duty, in ms; `until_ms` counts as the last
/// effect.
#[must_use]
pub fn longest_gap(effects: &[Effect], duty: &str, until_ms: u64) -> u64 {
    let times = effects.iter().filter(|t| t.duty == duty).map(|t| t.at_ms).chain([until_ms]);
    let mut last = None;
    let mut longest = 0;
    for at in times {
        longest = longest.max(last.map_or(0, |l| at.saturating_sub(l)));
        last = Some(at);
    }
    longest
}

/// Returns the epochs and owners of a duty in order, without consecutive repeats.
#[must_use]
pub fn owners(effects: &[Effect], duty: &str) -> Vec<(u64, String)> {
    let mut owners: Vec<(u64, String)> = Vec::new();
    for effect in effects.iter().filter(|t| t.duty == duty) {
        let key = (effect.epoch, effect.owner.clone());
        if owners.last() != Some(&key) {
            owners.push(key);
        }
    }
    owners
}

#[cfg(test)]
mod tests {
    use super::*;

    fn effect(duty: &str, epoch: u64, owner: &str, at_ms: u64) -> Effect {
        Effect { duty: duty.into(), epoch, owner: owner.into(), at_ms }
    }

    #[test]
    fn each_check_accepts_valid_effects_and_rejects_its_violation() {
        let valid = [
            effect("d", 1, "a#1", 0),
            effect("d", 1, "a#1", 10),
            effect("d", 3, "b#1", 50),
            effect("e", 2, "a#1", 60),
        ];
        assert!(epochs_in_order(&valid).is_ok() && epochs_once(&valid).is_ok() && no_overlap(&valid).is_ok());
        assert_eq!(longest_gap(&valid, "d", 70), 40);
        assert_eq!(owners(&valid, "d").len(), 2);
        let valid_and = |last: Effect| valid.iter().cloned().chain([last]).collect::<Vec<_>>();
        assert!(epochs_in_order(&valid_and(effect("d", 1, "a#1", 70))).is_err());
        assert!(epochs_in_order(&valid_and(effect("d", 3, "c#1", 70))).is_err());
        assert!(epochs_once(&valid_and(effect("e", 3, "b#1", 70))).is_err());
        assert!(no_overlap(&valid_and(effect("d", 1, "a#1", 70))).is_err());
    }
}
