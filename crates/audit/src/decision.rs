//! What the owner has decided for the fleet: who is shut out, and how far the history goes.

use crate::applied_versions::is_name;
use crate::hash_chain::Checkpoint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Instances that may be shut out at once.
pub const MAX_FENCED_OFF: usize = 1024;
/// Anchors that are kept, the newest ones.
pub const MAX_CHECKPOINTS: usize = 16;
const WHY_MOST: usize = 200;
/// Instances in a roster: it fits into the council's log.
pub const MAX_ROSTER_ENTRIES: usize = 512;

/// One that is shut out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedOffInstance {
    /// Which.
    pub instance: String,
    /// Its number in the tier, by which others know its notes.
    pub me: u32,
    /// Why.
    pub why: String,
    /// When, Unix time in ms by the owner's clock, for people.
    pub at_ms: u64,
}

/// All of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// Who is shut out, by name.
    pub out: Vec<FencedOffInstance>,
    /// When clients of one that is shut out should come back, in ms.
    pub retry_ms: u64,
    /// The history's end at some times, oldest first.
    pub anchors: Vec<Checkpoint>,
    /// All that are known, so that a new owner misses those whom nobody hears.
    #[serde(default)]
    pub roster: Vec<RosterEntry>,
}

/// One that is known.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterEntry {
    /// Which.
    pub instance: String,
    /// The agent that it is heard through.
    pub agent: String,
    /// Where it stands.
    pub zone: String,
    /// Its number, and how many there are.
    pub me: u32,
    /// See `me`.
    pub gateways: u32,
    /// Its life.
    pub life: u64,
}

impl Decision {
    /// Whether it can be acted on.
    ///
    /// # Errors
    /// With what can't be.
    pub fn check(&self) -> Result<(), String> {
        if self.out.len() > MAX_FENCED_OFF
            || self.anchors.len() > MAX_CHECKPOINTS
            || self.roster.len() > MAX_ROSTER_ENTRIES
        {
            return Err(format!(
                "out, anchors, roster: {MAX_FENCED_OFF}, {MAX_CHECKPOINTS} and {MAX_ROSTER_ENTRIES} at the most"
            ));
        }
        let names: BTreeSet<&str> = self.out.iter().map(|o| o.instance.as_str()).collect();
        if names.len() < self.out.len() {
            return Err("out: one is there twice".into());
        }
        if !self.out.iter().all(|o| is_name(&o.instance) && o.why.len() <= WHY_MOST) {
            return Err(format!("out: a name, and a reason of {WHY_MOST} bytes at the most"));
        }
        Ok(())
    }

    /// Adds an anchor, unless it is there.
    pub fn add_checkpoint(&mut self, anchor: Checkpoint) {
        if anchor.number > self.anchors.last().map_or(0, |a| a.number) {
            self.anchors.push(anchor);
            let over = self.anchors.len().saturating_sub(MAX_CHECKPOINTS);
            self.anchors.drain(..over);
        }
    }

    /// Whether one is shut out.
    #[must_use]
    pub fn is_fenced_off(&self, instance: &str) -> bool {
        self.out.iter().any(|o| o.instance == instance)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_decisions_are_refused_and_anchors_are_bounded() {
        let out = |name: &str| FencedOffInstance {
            instance: name.into(),
            me: 1,
            why: "old plans".into(),
            at_ms: 0,
        };
        let sound = Decision { out: vec![out("n1"), out("n2")], ..Decision::default() };
        assert_eq!(sound.check(), Ok(()));
        assert!(sound.is_fenced_off("n2") && !sound.is_fenced_off("n3"));
        let twice = Decision { out: vec![out("n1"), out("n1")], ..Decision::default() };
        assert!(twice.check().is_err_and(|e| e.contains("twice")));
        let unnamed = Decision { out: vec![out("")], ..Decision::default() };
        assert!(unnamed.check().is_err_and(|e| e.contains("a name")));
        let mut decision = Decision::default();
        for number in [3, 2, 3].into_iter().chain(4..40) {
            decision.add_checkpoint(Checkpoint { number, hash: String::new() });
        }
        assert_eq!((decision.anchors.len(), decision.anchors[15].number), (MAX_CHECKPOINTS, 39));
        assert!(decision.anchors.windows(2).all(|w| w[0].number < w[1].number));
    }
}
