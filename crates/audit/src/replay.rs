//! Reconstructs from the history what each instance acted on at a given time.
//!
//! Rows are ordered by their number alone. A change happened at some time between the instance's last report
//! before it and the entry of its row. If the given time lies in that interval, the change is listed as
//! uncertain instead of being counted as applied or not.

use crate::hash_chain::ChainRow;
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of an instance at the given time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ReplayedInstance {
    /// Its incarnation.
    pub life: u64,
    /// The versions it acted on, by kind, as revision and digest.
    pub versions: BTreeMap<String, String>,
    /// Whether it reported.
    pub heard: bool,
    /// Whether it was fenced off.
    pub out: bool,
    /// Changes that may or may not have been in effect: the row's number and a description.
    pub between: Vec<(u64, String)>,
}

/// Applies the rows of a history up to a given time.
#[derive(Debug, Clone)]
pub struct Replay {
    at_ms: u64,
    instances: BTreeMap<String, ReplayedInstance>,
    only_instance: String,
}

impl Replay {
    /// Starts a replay up to `at_ms`, Unix time in ms by the owners' clocks, for one instance, or for all if
    /// `only_instance` is empty.
    #[must_use]
    pub fn new(at_ms: u64, only_instance: &str) -> Replay {
        Replay { at_ms, instances: BTreeMap::new(), only_instance: only_instance.to_string() }
    }

    /// Applies the next row; rows have to come in the order of their numbers.
    pub fn apply_row(&mut self, row: &ChainRow) {
        if row.instance.is_empty() || !self.only_instance.is_empty() && row.instance != self.only_instance {
            return;
        }
        let is_entered = row.at_ms <= self.at_ms;
        let may_have_happened = row.at_ms.saturating_sub(row.within_ms) <= self.at_ms;
        if !is_entered && !may_have_happened {
            return;
        }
        let state = self.instances.entry(row.instance.clone()).or_default();
        if !is_entered {
            if row.kind != "heard" {
                state.between.push((row.number, format!("{} {} to {}", row.kind, row.was, row.now_is)));
            }
            return;
        }
        match row.kind.as_str() {
            "life" => {
                *state = ReplayedInstance {
                    life: row.life,
                    heard: true,
                    out: state.out,
                    ..ReplayedInstance::default()
                };
            }
            "heard" => state.heard = row.now_is != "silent" && row.now_is != "forgotten",
            "out" => state.out = row.now_is != "in",
            "alarm" | "told" => {}
            kind => {
                (state.life, state.heard) = (row.life, true);
                state.versions.insert(kind.to_string(), row.now_is.clone());
            }
        }
    }

    /// The reconstructed states, by instance.
    #[must_use]
    pub fn finish(self) -> BTreeMap<String, ReplayedInstance> {
        self.instances
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(number: u64, at_ms: u64, kind: &str, now_is: &str, within_ms: u64) -> ChainRow {
        ChainRow {
            number,
            at_ms,
            instance: "n1".into(),
            life: 7,
            kind: kind.into(),
            now_is: now_is.into(),
            within_ms,
            ..ChainRow::default()
        }
    }

    #[test]
    fn change_between_two_reports_is_uncertain_in_between() {
        let rows = [
            row(1, 1000, "life", "7", 0),
            row(2, 1000, "plans", "41:aa", 0),
            row(3, 5000, "plans", "42:bb", 3000),
            row(4, 9000, "heard", "silent", 3000),
            row(5, 9500, "out", "nothing is heard of it", 0),
        ];
        let at = |ms: u64| {
            let mut replay = Replay::new(ms, "");
            rows.iter().for_each(|r| replay.apply_row(r));
            replay.finish().remove("n1").unwrap_or_default()
        };
        assert_eq!(at(1500).versions["plans"], "41:aa");
        assert!(at(1500).between.is_empty());
        let uncertain = at(3000);
        assert_eq!((uncertain.versions["plans"].as_str(), uncertain.between.len()), ("41:aa", 1));
        assert!(uncertain.between[0].1.contains("42:bb"));
        assert_eq!(at(5000).versions["plans"], "42:bb");
        assert!(at(8999).heard && !at(9000).heard && !at(9400).out && at(9500).out);
        assert_eq!(at(500), ReplayedInstance::default());
    }
}
