//! Detects herds: several gatekeepers that do the same thing to the same target within the same slot of 100
//! ms.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Length of a slot in ms; actions in the same slot count as simultaneous.
pub const SLOT_MS: f64 = 100.0;
/// Maximum number of targets reported for each action.
const MAX_TARGETS_PER_ACTION: usize = 5;

/// An action that many gatekeepers may do at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HerdAction {
    /// An attempt is sent to a server.
    Attempt,
    /// A connection is opened to a server.
    Handshake,
    /// A peer message is sent to a gatekeeper.
    Note,
    /// A complete server list is fetched.
    List,
}

impl HerdAction {
    /// The action as the text of a report names it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            HerdAction::Attempt => "sent an attempt to server",
            HerdAction::Handshake => "opened a connection to server",
            HerdAction::Note => "sent a note to gatekeeper",
            HerdAction::List => "fetched the list from discovery",
        }
    }
}

/// Several gatekeepers that did the same thing at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Herd {
    /// The action.
    pub act: HerdAction,
    /// Index of the server or gatekeeper it was done to; 0 for discovery.
    pub target: u32,
    /// Start of the slot in ms.
    pub at_ms: u64,
    /// Number of different gatekeepers.
    pub gatekeepers: u32,
    /// Number of actions in total.
    pub times: u32,
}

/// The worst slot of each action and target, and the counts of the current slot.
#[derive(Default)]
pub(crate) struct HerdDetector {
    slot: u64,
    current: FxHashMap<(HerdAction, u32), (BTreeSet<u32>, u32)>,
    worst: BTreeMap<(HerdAction, u32), (u32, u32, u64)>,
}

impl HerdDetector {
    /// Counts an action; times may not decrease.
    pub fn record(&mut self, at: f64, act: HerdAction, gatekeeper: u32, target: u32) {
        let slot = (at / SLOT_MS).max(0.0) as u64;
        if slot != self.slot {
            self.close_slot();
            self.slot = slot;
        }
        let (who, times) = self.current.entry((act, target)).or_default();
        who.insert(gatekeeper);
        *times += 1;
    }

    /// Ends the current slot and updates the worst slots.
    fn close_slot(&mut self) {
        let slot = self.slot;
        for (key, (who, times)) in self.current.drain() {
            let many = who.len() as u32;
            let worst = self.worst.entry(key).or_default();
            if (many, times) > (worst.0, worst.1) {
                *worst = (many, times, slot);
            }
        }
    }

    /// The largest herds of each action, in descending order of size. A single gatekeeper is not a herd.
    pub fn into_herds(mut self) -> Vec<Herd> {
        self.close_slot();
        let mut all: Vec<Herd> = self
            .worst
            .into_iter()
            .filter(|(_, (many, ..))| *many > 1)
            .map(|((act, target), (gatekeepers, times, slot))| {
                let at_ms = slot * SLOT_MS as u64;
                Herd { act, target, at_ms, gatekeepers, times }
            })
            .collect();
        all.sort_by_key(|h| (h.act, u32::MAX - h.gatekeepers, u32::MAX - h.times, h.target));
        let mut of_act = 0;
        let mut last = None;
        all.retain(|h| {
            of_act = if last == Some(h.act) { of_act + 1 } else { 1 };
            last = Some(h.act);
            of_act <= MAX_TARGETS_PER_ACTION
        });
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_the_worst_slot_of_each_target_and_no_single_gatekeeper() {
        let mut herds = HerdDetector::default();
        for (at, who) in [(10.0, 1), (20.0, 1), (99.0, 2), (100.0, 3), (110.0, 4), (120.0, 5), (450.0, 1)] {
            herds.record(at, HerdAction::Handshake, who, 7);
        }
        herds.record(460.0, HerdAction::Note, 1, 2);
        assert_eq!(
            herds.into_herds(),
            [Herd { act: HerdAction::Handshake, target: 7, at_ms: 100, gatekeepers: 3, times: 3 }]
        );
    }

    #[test]
    fn reports_the_largest_herds_of_each_action_in_order() {
        let mut herds = HerdDetector::default();
        for target in 0..20u32 {
            for who in 0..=target {
                herds.record(1.0, HerdAction::Attempt, who, target);
            }
        }
        herds.record(2.0, HerdAction::List, 1, 0);
        herds.record(3.0, HerdAction::List, 2, 0);
        let reported = herds.into_herds();
        let targets: Vec<_> = reported.iter().map(|h| (h.act, h.target, h.gatekeepers)).collect();
        let attempts = (15..20).rev().map(|t| (HerdAction::Attempt, t, t + 1));
        assert_eq!(targets, attempts.chain([(HerdAction::List, 0, 2)]).collect::<Vec<_>>());
    }
}
