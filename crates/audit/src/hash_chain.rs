//! A hash chain of history rows: each row holds the digest of the row before it, so that changed, removed and
//! inserted rows are detected. With a checkpoint that is stored elsewhere, truncation is detected as well.
//! The digest is SHA-256 over the row as a JSON array.

use crate::applied_version_table::HistoryEvent;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// The end of a history at some time: the number and digest of its last row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The number of the row; 0 before the first row.
    pub number: u64,
    /// The digest of the row as hex digits; empty before the first row.
    pub hash: String,
}

/// A row of the history.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainRow {
    /// The number of the row, from 1 without gaps.
    pub number: u64,
    /// When the row was entered, Unix time in ms by the owner's clock. Shown to operators only: rows are
    /// ordered by number.
    pub at_ms: u64,
    /// The epoch of the owner that entered the row.
    pub epoch: u64,
    /// The instance that it concerns; see [`HistoryEvent`].
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
    /// The digest of the previous row.
    pub prev: String,
    /// The digest of this row, over all fields above.
    pub hash: String,
}

impl ChainRow {
    /// Computes the digest of the row from its other fields.
    #[must_use]
    pub fn digest(&self) -> String {
        let fields = serde_json::json!([
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
        hex(&Sha256::digest(fields.to_string().as_bytes()))
    }
}

/// Formats bytes as lowercase hex digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use fmt::Write;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, b| {
        let _ = write!(text, "{b:02x}");
        text
    })
}

/// Makes the rows for `events` that follow on the history's end `after`.
#[must_use]
pub fn append(after: &Checkpoint, at_ms: u64, epoch: u64, events: Vec<HistoryEvent>) -> Vec<ChainRow> {
    let mut last = after.clone();
    let next_row = |e: HistoryEvent| {
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
    events.into_iter().map(next_row).collect()
}

/// A fault found in a history. Numbers are row numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChainError {
    /// The row's digest does not match its content: the row was changed.
    Changed(u64),
    /// The rows from the first number to the second, inclusive, are missing.
    Missing(u64, u64),
    /// The row's `prev` is not the digest of the row before it, or its number does not increase: one of the
    /// two was inserted or rewritten.
    Foreign(u64),
    /// The rows from this number on are missing, although a checkpoint shows that they existed.
    CutOff(u64),
    /// The row's digest differs from its checkpoint: rows were appended to a restored backup, or the end was
    /// rewritten.
    Rewritten(u64),
}

impl fmt::Display for ChainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChainError::Changed(n) => write!(f, "row {n} was changed"),
            ChainError::Missing(a, b) => write!(f, "rows {a} to {b} are gone"),
            ChainError::Foreign(n) => {
                write!(
                    f,
                    "row {n} does not follow on the row before it: one of the two was inserted or rewritten"
                )
            }
            ChainError::CutOff(n) => write!(f, "the history was cut off: rows from {n} on were there once"),
            ChainError::Rewritten(n) => {
                write!(f, "row {n} differs from its checkpoint: rewritten, or appended after a restore")
            }
        }
    }
}

/// Verifies a history row by row, in the order of the numbers.
#[derive(Debug, Clone)]
pub struct ChainVerifier {
    last: Checkpoint,
    checkpoints: Vec<Checkpoint>,
    errors: Vec<ChainError>,
    rows: u64,
}

impl ChainVerifier {
    /// Starts after `base`, the last row that retention removed, with the checkpoints that are stored
    /// elsewhere. Checkpoints up to `base` are ignored.
    #[must_use]
    pub fn new(base: Checkpoint, mut checkpoints: Vec<Checkpoint>) -> ChainVerifier {
        checkpoints.retain(|a| a.number > base.number);
        checkpoints.sort_by_key(|a| a.number);
        ChainVerifier { last: base, checkpoints, errors: Vec::new(), rows: 0 }
    }

    /// Verifies the next row and records its faults.
    pub fn check_row(&mut self, row: &ChainRow) {
        self.rows += 1;
        if row.number > self.last.number + 1 {
            self.errors.push(ChainError::Missing(self.last.number + 1, row.number - 1));
        } else if row.prev != self.last.hash || row.number <= self.last.number {
            self.errors.push(ChainError::Foreign(row.number));
        }
        if row.digest() != row.hash {
            self.errors.push(ChainError::Changed(row.number));
        }
        let checkpoint = self.checkpoints.iter().find(|a| a.number == row.number);
        if checkpoint.is_some_and(|a| a.hash != row.hash) {
            self.errors.push(ChainError::Rewritten(row.number));
        }
        self.last = Checkpoint { number: row.number, hash: row.hash.clone() };
    }

    /// The faults found, and the number of rows verified.
    #[must_use]
    pub fn finish(mut self) -> (Vec<ChainError>, u64) {
        if self.checkpoints.last().is_some_and(|a| a.number > self.last.number) {
            self.errors.push(ChainError::CutOff(self.last.number + 1));
        }
        (self.errors, self.rows)
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

    fn verify(rows: &[ChainRow], checkpoints: Vec<Checkpoint>) -> Vec<ChainError> {
        let mut verify = ChainVerifier::new(Checkpoint::default(), checkpoints);
        rows.iter().for_each(|r| verify.check_row(r));
        verify.finish().0
    }

    fn checkpoint_at_end(rows: &[ChainRow]) -> Checkpoint {
        rows.last().map_or(Checkpoint::default(), |r| Checkpoint { number: r.number, hash: r.hash.clone() })
    }

    #[test]
    fn verifier_detects_changed_removed_inserted_truncated_and_restored_rows() {
        let rows = append(&Checkpoint::default(), 5, 3, events(300));
        let end = checkpoint_at_end(&rows);
        assert_eq!(verify(&rows, vec![end.clone()]), []);

        let mut changed = rows.clone();
        changed[49].now_is = "other".into();
        assert_eq!(verify(&changed, vec![end.clone()]), [ChainError::Changed(50)]);
        // If the digest is recomputed, the next row no longer follows on it.
        changed[49].hash = changed[49].digest();
        assert_eq!(verify(&changed, vec![end.clone()]), [ChainError::Foreign(51)]);

        let mut removed = rows.clone();
        removed.remove(99);
        assert_eq!(verify(&removed, vec![end.clone()]), [ChainError::Missing(100, 100)]);

        let mut inserted = rows.clone();
        let mut row = inserted[9].clone();
        row.now_is = "never was".into();
        row.hash = row.digest();
        inserted.insert(10, row);
        assert_eq!(verify(&inserted, vec![end.clone()]), [ChainError::Foreign(10), ChainError::Foreign(11)]);

        assert_eq!(verify(&rows[..200], vec![end.clone()]), [ChainError::CutOff(201)]);
        // Without a checkpoint, truncation can't be detected.
        assert_eq!(verify(&rows[..200], vec![]), []);

        // A restored backup of 200 rows, with new rows appended past the checkpoint.
        let mut restored = rows[..200].to_vec();
        restored.extend(append(&checkpoint_at_end(&rows[..200]), 77, 4, events(150)));
        assert_eq!(verify(&restored, vec![end.clone()]), [ChainError::Rewritten(300)]);
        // All rows after 150 rewritten, with valid digests.
        let mut rewritten = rows[..150].to_vec();
        rewritten.extend(append(&checkpoint_at_end(&rows[..150]), 5, 3, events(150)));
        assert_eq!(verify(&rewritten, vec![end]), [ChainError::Rewritten(300)]);
    }

    #[test]
    fn verifier_starts_at_base_left_by_retention() {
        let rows = append(&Checkpoint::default(), 5, 3, events(100));
        let (base, end) = (checkpoint_at_end(&rows[..40]), checkpoint_at_end(&rows));
        let mut verify = ChainVerifier::new(base, vec![checkpoint_at_end(&rows[..20]), end]);
        rows[40..].iter().for_each(|r| verify.check_row(r));
        assert_eq!(verify.finish(), (vec![], 60));
    }
}
