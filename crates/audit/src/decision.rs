//! The owner's decision for the fleet: the fenced-off instances, checkpoints of the history, and the roster.

use crate::applied_versions::is_name;
use crate::hash_chain::Checkpoint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Limit of instances that are fenced off at once.
pub const MAX_FENCED_OFF: usize = 1024;
/// Number of checkpoints that are kept: the newest ones.
pub const MAX_CHECKPOINTS: usize = 16;
/// Limit of the reason of a fence-off.
const MAX_REASON_BYTES: usize = 200;
/// Limit of roster entries, so that a decision fits into an entry of the council's log.
pub const MAX_ROSTER_ENTRIES: usize = 512;

/// A fenced-off instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedOffInstance {
    /// Its name.
    pub instance: String,
    /// Its gatekeeper number, by which others recognize its peer messages.
    pub me: u32,
    /// The reason, as operators see it.
    pub why: String,
    /// When it was fenced off, Unix time in ms by the owner's clock; shown to operators only.
    pub at_ms: u64,
}

/// The owner's decision, as it is stored in the council's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// The fenced-off instances.
    pub out: Vec<FencedOffInstance>,
    /// The delay after which clients of a fenced-off gatekeeper should retry, in ms.
    pub retry_ms: u64,
    /// Checkpoints of the history, oldest first.
    pub anchors: Vec<Checkpoint>,
    /// The known instances, so that a new owner notices those that do not report.
    #[serde(default)]
    pub roster: Vec<RosterEntry>,
}

/// A known instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterEntry {
    /// Its name.
    pub instance: String,
    /// The agent that delivers its reports.
    pub agent: String,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// Its gatekeeper number, from 0.
    pub me: u32,
    /// The number of gatekeepers of its tier.
    pub gateways: u32,
    /// Its incarnation: when it started, Unix time in ms by its own clock.
    pub life: u64,
}

impl Decision {
    /// Checks the sizes, names and reasons of the decision.
    ///
    /// # Errors
    /// With the first field that is invalid and its limit.
    pub fn check(&self) -> Result<(), String> {
        if self.out.len() > MAX_FENCED_OFF
            || self.anchors.len() > MAX_CHECKPOINTS
            || self.roster.len() > MAX_ROSTER_ENTRIES
        {
            return Err(format!(
                "out, anchors, roster: at most {MAX_FENCED_OFF}, {MAX_CHECKPOINTS}, {MAX_ROSTER_ENTRIES} entries"
            ));
        }
        let names: BTreeSet<&str> = self.out.iter().map(|o| o.instance.as_str()).collect();
        if names.len() < self.out.len() {
            return Err("out: an instance is listed twice".into());
        }
        if !self.out.iter().all(|o| is_name(&o.instance) && o.why.len() <= MAX_REASON_BYTES) {
            return Err(format!(
                "out: each entry needs a valid instance name and a reason of at most {MAX_REASON_BYTES} bytes"
            ));
        }
        Ok(())
    }

    /// Adds a checkpoint if it is newer than the last one, and drops the oldest ones above
    /// [`MAX_CHECKPOINTS`].
    pub fn add_checkpoint(&mut self, checkpoint: Checkpoint) {
        if checkpoint.number > self.anchors.last().map_or(0, |a| a.number) {
            self.anchors.push(checkpoint);
            let excess = self.anchors.len().saturating_sub(MAX_CHECKPOINTS);
            self.anchors.drain(..excess);
        }
    }

    /// Whether an instance is fenced off.
    #[must_use]
    pub fn is_fenced_off(&self, instance: &str) -> bool {
        self.out.iter().any(|o| o.instance == instance)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn check_rejects_invalid_decisions_and_checkpoints_are_bounded() {
        let fenced = |name: &str| FencedOffInstance {
            instance: name.into(),
            me: 1,
            why: "old plans".into(),
            at_ms: 0,
        };
        let valid = Decision { out: vec![fenced("n1"), fenced("n2")], ..Decision::default() };
        assert_eq!(valid.check(), Ok(()));
        assert!(valid.is_fenced_off("n2") && !valid.is_fenced_off("n3"));
        let duplicate = Decision { out: vec![fenced("n1"), fenced("n1")], ..Decision::default() };
        assert!(duplicate.check().is_err_and(|e| e.contains("listed twice")));
        let unnamed = Decision { out: vec![fenced("")], ..Decision::default() };
        assert!(unnamed.check().is_err_and(|e| e.contains("a valid instance name")));
        let mut decision = Decision::default();
        for number in [3, 2, 3].into_iter().chain(4..40) {
            decision.add_checkpoint(Checkpoint { number, hash: String::new() });
        }
        assert_eq!((decision.anchors.len(), decision.anchors[15].number), (MAX_CHECKPOINTS, 39));
        assert!(decision.anchors.windows(2).all(|w| w[0].number < w[1].number));
    }
}
