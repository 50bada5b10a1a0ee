//! What each instance acted on at a time, by the history. Rows are ordered by their number alone; when a change happened is
//! known to lie between when the instance was last heard before it and when it was entered. What falls between is shown as
//! such, and not guessed.

use crate::hash_chain::ChainRow;
use serde::Serialize;
use std::collections::BTreeMap;

/// An instance at a time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ReplayedInstance {
    /// Its life.
    pub life: u64,
    /// What it acted on, by kind: revision and digest.
    pub versions: BTreeMap<String, String>,
    /// Whether it was heard.
    pub heard: bool,
    /// Whether it was shut out.
    pub out: bool,
    /// Changes that may have been in effect already, or not yet: the row, and what it says.
    pub between: Vec<(u64, String)>,
}

/// Plays rows up to a time.
#[derive(Debug, Clone)]
pub struct Replay {
    at_ms: u64,
    all: BTreeMap<String, ReplayedInstance>,
    only: String,
}

impl Replay {
    /// What was so at this time, Unix time in ms by the owners' clocks; of one instance, or of all with an empty name.
    #[must_use]
    pub fn new(at_ms: u64, only: &str) -> Replay {
        Replay { at_ms, all: BTreeMap::new(), only: only.to_string() }
    }

    /// The next row, by number.
    pub fn apply_row(&mut self, row: &ChainRow) {
        if row.instance.is_empty() || !self.only.is_empty() && row.instance != self.only {
            return;
        }
        let entered = row.at_ms <= self.at_ms;
        let may_have_been = row.at_ms.saturating_sub(row.within_ms) <= self.at_ms;
        if !entered && !may_have_been {
            return;
        }
        let then = self.all.entry(row.instance.clone()).or_default();
        if !entered {
            if row.kind != "heard" {
                then.between.push((row.number, format!("{} {} to {}", row.kind, row.was, row.now_is)));
            }
            return;
        }
        match row.kind.as_str() {
            "life" => {
                *then = ReplayedInstance {
                    life: row.life,
                    heard: true,
                    out: then.out,
                    ..ReplayedInstance::default()
                };
            }
            "heard" => then.heard = row.now_is != "silent" && row.now_is != "forgotten",
            "out" => then.out = row.now_is != "in",
            "alarm" | "told" => {}
            kind => {
                (then.life, then.heard) = (row.life, true);
                then.versions.insert(kind.to_string(), row.now_is.clone());
            }
        }
    }

    /// By instance.
    #[must_use]
    pub fn finish(self) -> BTreeMap<String, ReplayedInstance> {
        self.all
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
    fn a_change_between_two_words_is_shown_as_between_and_not_guessed() {
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
        let between = at(3000);
        assert_eq!((between.versions["plans"].as_str(), between.between.len()), ("41:aa", 1));
        assert!(between.between[0].1.contains("42:bb"));
        assert_eq!(at(5000).versions["plans"], "42:bb");
        assert!(at(8999).heard && !at(9000).heard && !at(9400).out && at(9500).out);
        assert_eq!(at(500), ReplayedInstance::default());
    }
}
