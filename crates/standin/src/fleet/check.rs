//! What must hold of a fleet's effects, whatever was done to it: over what the record took, in order.

use super::Effect;
use std::collections::{BTreeMap, BTreeSet};

/// Epochs only grow at the resource, and each is one owner's.
///
/// # Errors
/// With the first effect that breaks it.
pub fn epochs_in_order(touches: &[Effect]) -> Result<(), String> {
    let mut last: BTreeMap<&str, &Effect> = BTreeMap::new();
    let mut owners: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for touch in touches {
        if let Some(before) = last.insert(&touch.duty, touch)
            && before.epoch > touch.epoch
        {
            return Err(format!("{touch:?} was taken after {before:?}"));
        }
        let owner = owners.entry((&touch.duty, touch.epoch)).or_insert(&touch.owner);
        if *owner != touch.owner {
            return Err(format!("{touch:?}: that epoch is {owner}'s"));
        }
    }
    Ok(())
}

/// No number is given out for two duties or two owners.
///
/// # Errors
/// With the first that was.
pub fn epochs_once(touches: &[Effect]) -> Result<(), String> {
    let mut of: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for touch in touches {
        let who = (touch.duty.as_str(), touch.owner.as_str());
        let known = of.entry(touch.epoch).or_insert(who);
        if *known != who {
            return Err(format!("{touch:?}: that number was given to {known:?}"));
        }
    }
    Ok(())
}

/// Owners of a duty follow one another: no effect of one between two of another's.
///
/// # Errors
/// With the owner that came back between.
pub fn no_overlap(touches: &[Effect]) -> Result<(), String> {
    let mut now: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut done: BTreeSet<(&str, u64)> = BTreeSet::new();
    for touch in touches {
        let key = (touch.epoch, touch.owner.as_str());
        if done.contains(&(touch.duty.as_str(), touch.epoch)) {
            return Err(format!("{touch:?} came after its epoch was over"));
        }
        if let Some(before) = now.insert(&touch.duty, key)
            && before != key
        {
            done.insert((&touch.duty, before.0));
        }
    }
    Ok(())
}

/// The longest time in ms between two effects of a duty, from the first to this instant.
#[must_use]
pub fn longest_gap(touches: &[Effect], duty: &str, until_ms: u64) -> u64 {
    let times = touches.iter().filter(|t| t.duty == duty).map(|t| t.at_ms).chain([until_ms]);
    let mut last = None;
    let mut longest = 0;
    for at in times {
        longest = longest.max(last.map_or(0, |l| at.saturating_sub(l)));
        last = Some(at);
    }
    longest
}

/// Who owned a duty after whom.
#[must_use]
pub fn owners(touches: &[Effect], duty: &str) -> Vec<(u64, String)> {
    let mut all: Vec<(u64, String)> = Vec::new();
    for touch in touches.iter().filter(|t| t.duty == duty) {
        let key = (touch.epoch, touch.owner.clone());
        if all.last() != Some(&key) {
            all.push(key);
        }
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    fn touch(duty: &str, epoch: u64, owner: &str, at_ms: u64) -> Effect {
        Effect { duty: duty.into(), epoch, owner: owner.into(), at_ms }
    }

    #[test]
    fn each_check_finds_what_it_is_for() {
        let sound = [
            touch("d", 1, "a#1", 0),
            touch("d", 1, "a#1", 10),
            touch("d", 3, "b#1", 50),
            touch("e", 2, "a#1", 60),
        ];
        assert!(epochs_in_order(&sound).is_ok() && epochs_once(&sound).is_ok() && no_overlap(&sound).is_ok());
        assert_eq!(longest_gap(&sound, "d", 70), 40);
        assert_eq!(owners(&sound, "d").len(), 2);
        let with = |last: Effect| sound.iter().cloned().chain([last]).collect::<Vec<_>>();
        assert!(epochs_in_order(&with(touch("d", 1, "a#1", 70))).is_err());
        assert!(epochs_in_order(&with(touch("d", 3, "c#1", 70))).is_err());
        assert!(epochs_once(&with(touch("e", 3, "b#1", 70))).is_err());
        assert!(no_overlap(&with(touch("d", 1, "a#1", 70))).is_err());
    }
}
