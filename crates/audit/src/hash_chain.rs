//! A history of rows, each with the digest of the one before it: one that is changed, taken out or put in shows, and with an
//! anchor kept elsewhere one that ends too early does too. The digest is SHA-256 over the row as JSON.

use crate::applied_version_table::HistoryEvent;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// How far a history goes, and the digest of its last row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The row's number; 0 before the first.
    pub number: u64,
    /// Its digest; empty before the first.
    pub hash: String,
}

/// A row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainRow {
    /// From 1, with none left out.
    pub number: u64,
    /// When it was entered, Unix time in ms by the owner's clock, for people: rows are ordered by number.
    pub at_ms: u64,
    /// The owner's epoch.
    pub epoch: u64,
    /// Whom it is about; see [`HistoryEvent`].
    pub instance: String,
    /// See [`HistoryEvent`].
    pub life: u64,
    /// See [`HistoryEvent`].
    pub kind: String,
    /// See [`HistoryEvent`].
    pub was: String,
    /// See [`HistoryEvent`].
    pub now_is: String,
    /// See [`HistoryEvent`].
    pub within_ms: u64,
    /// See [`HistoryEvent`].
    pub told_ms: u64,
    /// The digest of the row before.
    pub prev: String,
    /// Its own, over all of the above.
    pub hash: String,
}

impl ChainRow {
    /// The digest that it should have.
    #[must_use]
    pub fn digest(&self) -> String {
        let all = serde_json::json!([
            self.number,
            self.at_ms,
            self.epoch,
            self.instance,
            self.life,
            self.kind,
            self.was,
            self.now_is,
            self.within_ms,
            self.told_ms,
            self.prev,
        ]);
        hex(&Sha256::digest(all.to_string().as_bytes()))
    }
}

/// Bytes as hex digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use fmt::Write;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, b| {
        let _ = write!(text, "{b:02x}");
        text
    })
}

/// Makes rows of events, after what stands.
#[must_use]
pub fn append(after: &Checkpoint, at_ms: u64, epoch: u64, events: Vec<HistoryEvent>) -> Vec<ChainRow> {
    let mut last = after.clone();
    let row = |e: HistoryEvent| {
        let mut row = ChainRow {
            number: last.number + 1,
            at_ms,
            epoch,
            instance: e.instance,
            life: e.life,
            kind: e.kind,
            was: e.was,
            now_is: e.now_is,
            within_ms: e.within_ms,
            told_ms: e.told_ms,
            prev: last.hash.clone(),
            hash: String::new(),
        };
        row.hash = row.digest();
        last = Checkpoint { number: row.number, hash: row.hash.clone() };
        row
    };
    events.into_iter().map(row).collect()
}

/// What is wrong with a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChainError {
    /// The row does not have the digest of what it says: it was changed.
    Changed(u64),
    /// Rows from one to the other are not there.
    Missing(u64, u64),
    /// The row does not follow on the one before it: one of the two was put in or made anew.
    Foreign(u64),
    /// Rows from this one on were there once, as an anchor says.
    CutOff(u64),
    /// The row is another than the one that was anchored: a restored backup was written on, or the end was made anew.
    Rewritten(u64),
}

impl fmt::Display for ChainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChainError::Changed(n) => write!(f, "row {n} was changed"),
            ChainError::Missing(a, b) => write!(f, "rows {a} to {b} are gone"),
            ChainError::Foreign(n) => {
                write!(f, "row {n} does not follow on the one before: one was put in or made anew")
            }
            ChainError::CutOff(n) => write!(f, "the history was cut off: rows from {n} on were there once"),
            ChainError::Rewritten(n) => {
                write!(f, "row {n} is another than the one that was anchored: written on after a restore?")
            }
        }
    }
}

/// Looks through a history, in parts of rows by number.
#[derive(Debug, Clone)]
pub struct ChainVerifier {
    last: Checkpoint,
    anchors: Vec<Checkpoint>,
    broken: Vec<ChainError>,
    rows: u64,
}

impl ChainVerifier {
    /// From where the history begins, as retention has left it, with anchors kept elsewhere.
    #[must_use]
    pub fn new(base: Checkpoint, mut anchors: Vec<Checkpoint>) -> ChainVerifier {
        anchors.retain(|a| a.number > base.number);
        anchors.sort_by_key(|a| a.number);
        ChainVerifier { last: base, anchors, broken: Vec::new(), rows: 0 }
    }

    /// The next row.
    pub fn check_row(&mut self, row: &ChainRow) {
        self.rows += 1;
        if row.number > self.last.number + 1 {
            self.broken.push(ChainError::Missing(self.last.number + 1, row.number - 1));
        } else if row.prev != self.last.hash || row.number <= self.last.number {
            self.broken.push(ChainError::Foreign(row.number));
        }
        if row.digest() != row.hash {
            self.broken.push(ChainError::Changed(row.number));
        }
        let anchored = self.anchors.iter().find(|a| a.number == row.number);
        if anchored.is_some_and(|a| a.hash != row.hash) {
            self.broken.push(ChainError::Rewritten(row.number));
        }
        self.last = Checkpoint { number: row.number, hash: row.hash.clone() };
    }

    /// What is wrong, and how many rows were looked at.
    #[must_use]
    pub fn finish(mut self) -> (Vec<ChainError>, u64) {
        if self.anchors.last().is_some_and(|a| a.number > self.last.number) {
            self.broken.push(ChainError::CutOff(self.last.number + 1));
        }
        (self.broken, self.rows)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn events(n: usize) -> Vec<HistoryEvent> {
        let event = |k: usize| HistoryEvent {
            instance: format!("n{}", k % 5),
            life: 7,
            kind: "plans".into(),
            was: k.to_string(),
            now_is: (k + 1).to_string(),
            within_ms: 3,
            told_ms: 9,
        };
        (0..n).map(event).collect()
    }

    fn verify(rows: &[ChainRow], anchors: Vec<Checkpoint>) -> Vec<ChainError> {
        let mut verify = ChainVerifier::new(Checkpoint::default(), anchors);
        rows.iter().for_each(|r| verify.check_row(r));
        verify.finish().0
    }

    fn anchor(rows: &[ChainRow]) -> Checkpoint {
        rows.last().map_or(Checkpoint::default(), |r| Checkpoint { number: r.number, hash: r.hash.clone() })
    }

    #[test]
    fn a_row_changed_removed_or_put_in_a_cut_end_and_a_restored_backup_are_named() {
        let rows = append(&Checkpoint::default(), 5, 3, events(300));
        let end = anchor(&rows);
        assert_eq!(verify(&rows, vec![end.clone()]), []);

        let mut changed = rows.clone();
        changed[49].now_is = "other".into();
        assert_eq!(verify(&changed, vec![end.clone()]), [ChainError::Changed(50)]);
        // Whoever makes its digest anew gives it away with the next row's.
        changed[49].hash = changed[49].digest();
        assert_eq!(verify(&changed, vec![end.clone()]), [ChainError::Foreign(51)]);

        let mut removed = rows.clone();
        removed.remove(99);
        assert_eq!(verify(&removed, vec![end.clone()]), [ChainError::Missing(100, 100)]);

        let mut put_in = rows.clone();
        let mut row = put_in[9].clone();
        row.now_is = "never was".into();
        row.hash = row.digest();
        put_in.insert(10, row);
        assert_eq!(verify(&put_in, vec![end.clone()]), [ChainError::Foreign(10), ChainError::Foreign(11)]);

        assert_eq!(verify(&rows[..200], vec![end.clone()]), [ChainError::CutOff(201)]);
        // Without an anchor nobody could tell.
        assert_eq!(verify(&rows[..200], vec![]), []);

        // A backup of 200 rows that was written on up to where it was.
        let mut restored = rows[..200].to_vec();
        restored.extend(append(&anchor(&rows[..200]), 77, 4, events(150)));
        assert_eq!(verify(&restored, vec![end.clone()]), [ChainError::Rewritten(300)]);
        // All made anew from row 150 on, digests and all.
        let mut anew = rows[..150].to_vec();
        anew.extend(append(&anchor(&rows[..150]), 5, 3, events(150)));
        assert_eq!(verify(&anew, vec![end]), [ChainError::Rewritten(300)]);
    }

    #[test]
    fn what_retention_has_left_is_verified_from_its_base() {
        let rows = append(&Checkpoint::default(), 5, 3, events(100));
        let (base, end) = (anchor(&rows[..40]), anchor(&rows));
        let mut verify = ChainVerifier::new(base, vec![anchor(&rows[..20]), end]);
        rows[40..].iter().for_each(|r| verify.check_row(r));
        assert_eq!(verify.finish(), (vec![], 60));
    }
}
