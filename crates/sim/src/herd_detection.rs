//! Who did the same thing to the same target in the same 100 ms, over all gatekeepers: a herd is found by looking.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What is done at once lies within so many ms.
pub const SLOT_MS: f64 = 100.0;
/// The most targets that are told of for each act.
const TOLD_MOST: usize = 5;

/// What many may do at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HerdAction {
    /// An attempt is sent to a server.
    Attempt,
    /// A connection is opened to a server.
    Handshake,
    /// A note is sent to a gatekeeper.
    Note,
    /// A whole server list is fetched.
    List,
}

impl HerdAction {
    /// As it is told.
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

/// Many that did one thing at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Herd {
    /// What they did.
    pub act: HerdAction,
    /// To which server or gatekeeper.
    pub target: u32,
    /// In the 100 ms from this time on, in ms.
    pub at_ms: u64,
    /// How many different gatekeepers.
    pub gatekeepers: u32,
    /// How often in all.
    pub times: u32,
}

/// The worst slot of each target, and the counts of the slot that runs.
#[derive(Default)]
pub(crate) struct HerdDetector {
    slot: u64,
    now: FxHashMap<(HerdAction, u32), (BTreeSet<u32>, u32)>,
    worst: BTreeMap<(HerdAction, u32), (u32, u32, u64)>,
}

impl HerdDetector {
    pub fn record(&mut self, at: f64, act: HerdAction, gatekeeper: u32, target: u32) {
        let slot = (at / SLOT_MS).max(0.0) as u64;
        if slot != self.slot {
            self.close();
            self.slot = slot;
        }
        let (who, times) = self.now.entry((act, target)).or_default();
        who.insert(gatekeeper);
        *times += 1;
    }

    fn close(&mut self) {
        let slot = self.slot;
        for (key, (who, times)) in self.now.drain() {
            let many = who.len() as u32;
            let worst = self.worst.entry(key).or_default();
            if (many, times) > (worst.0, worst.1) {
                *worst = (many, times, slot);
            }
        }
    }

    /// The largest of each act, the largest first; one gatekeeper alone is no herd.
    pub fn into_herds(mut self) -> Vec<Herd> {
        self.close();
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
            of_act <= TOLD_MOST
        });
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_worst_slot_of_each_target_is_told_and_one_alone_is_no_herd() {
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
    fn of_each_act_the_largest_few_are_told_in_order() {
        let mut herds = HerdDetector::default();
        for target in 0..20u32 {
            for who in 0..=target {
                herds.record(1.0, HerdAction::Attempt, who, target);
            }
        }
        herds.record(2.0, HerdAction::List, 1, 0);
        herds.record(3.0, HerdAction::List, 2, 0);
        let told = herds.into_herds();
        let targets: Vec<_> = told.iter().map(|h| (h.act, h.target, h.gatekeepers)).collect();
        let attempts = (15..20).rev().map(|t| (HerdAction::Attempt, t, t + 1));
        assert_eq!(targets, attempts.chain([(HerdAction::List, 0, 2)]).collect::<Vec<_>>());
    }
}
