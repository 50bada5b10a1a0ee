//! Work on behalf of the fleet. Each step is one transaction that begins with a check of its fence: a step of
//! an owner whose epoch has been superseded is refused before it reads anything, with the current epoch and
//! its owner.

use crate::error::Error;
use crate::model::{Export, ExportRow, HistoryRow};
use crate::ops::{Reply, Row, Tx, Value, history_ends};
use crate::publish::{Publisher, publish};
use crate::sql;
use frostvale_owner::Fence;

/// The length of a day in ms.
pub const DAY_MS: i64 = 86_400_000;

/// A step of a fleet duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetWork {
    /// Only checks and records the fence: names the owner of the duty.
    Touch,
    /// Adds up to `limit` batches of the ledger to the totals by day, each batch once.
    RollUp {
        /// The maximum number of batches.
        limit: i64,
    },
    /// Records gaps: lives of gatekeepers that ended without a final usage report, because a later life has
    /// begun or because nothing has been received from them for long enough.
    FindGaps {
        /// Lives from which nothing is received: instance, and when the life began, UTC ms.
        silent: Vec<(String, i64)>,
    },
    /// Deletes batches that are rolled up and old, old token levels and the rows of old exports.
    Retain {
        /// Deletes what was stored before this time, UTC ms.
        before_ms: i64,
        /// The maximum number of batches of one life.
        limit: i64,
    },
    /// Publishes the plans that are due.
    Publish,
    /// Prepares the next part of the export: a part that was begun and not written out, or else the use since
    /// the last part.
    PrepareExport {
        /// Takes days that ended before this time, UTC ms.
        before_ms: i64,
        /// The maximum number of rows.
        limit: i64,
    },
    /// Appends rows to the history, provided that it ends at `after`.
    AppendHistory {
        /// The expected last row: its number and hash.
        after: (i64, String),
        /// The rows, numbered consecutively from there.
        rows: Vec<HistoryRow>,
    },
    /// Deletes old rows of the history and records where the rest begins.
    RetainHistory {
        /// Deletes rows that were entered before this time, UTC ms.
        before_ms: i64,
    },
    /// Marks a part of the export as written out.
    FinishExport {
        /// The number of the part.
        number: i64,
        /// The digest of its file.
        digest: String,
    },
}

macro_rules! args {
    ($($value:expr),* $(,)?) => { vec![$(Value::from($value)),*] };
}

/// Runs a step in the caller's transaction, after the check of its fence.
///
/// # Errors
/// [`Error::Fenced`] if the record has seen a higher epoch, else the errors of the database.
pub async fn apply<T: Tx>(tx: &mut T, fence: &Fence, work: &FleetWork, now_ms: i64) -> Result<Reply, Error> {
    let epoch = i64::try_from(fence.epoch()).unwrap_or(i64::MAX);
    // The row stays locked until the end of the transaction, so no other owner can take over in between.
    let changed = tx.execute(sql::FENCE, args![fence.duty(), epoch, fence.owner(), now_ms]).await?;
    if changed != 1 {
        let rows = tx.query(sql::FENCE_OF, args![fence.duty()]).await?;
        let row = rows.first().ok_or_else(|| Error::Corrupt("the fence row is missing".into()))?;
        let (duty, epoch) = (fence.duty().to_string(), fence.epoch());
        let current_epoch = u64::try_from(row.int(0)?).unwrap_or(0);
        return Err(Error::Fenced { duty, epoch, current_epoch, current_owner: row.text(1)? });
    }
    match work {
        FleetWork::Touch => Ok(Reply::Affected(0)),
        FleetWork::RollUp { limit } => roll_up(tx, *limit).await,
        FleetWork::FindGaps { silent } => find_gaps(tx, silent, now_ms).await,
        FleetWork::Retain { before_ms, limit } => retain(tx, *before_ms, *limit).await,
        FleetWork::Publish => publish(tx, Publisher { epoch, name: fence.owner() }, now_ms).await,
        FleetWork::PrepareExport { before_ms, limit } => prepare_export(tx, *before_ms, *limit, now_ms).await,
        FleetWork::AppendHistory { after, rows } => append_history(tx, after, rows).await,
        FleetWork::RetainHistory { before_ms } => {
            let old = tx.query(sql::HISTORY_OLD, args![*before_ms]).await?;
            let Some(row) = old.first() else { return Ok(Reply::Affected(0)) };
            tx.execute(sql::HISTORY_BASE_SET, args![row.int(0)?, &row.text(1)?]).await?;
            Ok(Reply::Affected(tx.execute(sql::HISTORY_GONE, args![row.int(0)?]).await?))
        }
        FleetWork::FinishExport { number, digest } => {
            let done = tx.execute(sql::EXPORT_DONE, args![*number, digest, epoch]).await?;
            Ok(Reply::Affected(done))
        }
    }
}

async fn append_history<T: Tx>(
    tx: &mut T,
    after: &(i64, String),
    rows: &[HistoryRow],
) -> Result<Reply, Error> {
    let (_, head) = history_ends(tx).await?;
    if head != *after {
        return Err(Error::Invalid(format!(
            "cannot append to the history: it ends at row {}, not {}",
            head.0, after.0
        )));
    }
    for (row, number) in rows.iter().zip(after.0 + 1..) {
        if row.number != number {
            return Err(Error::Invalid(format!(
                "cannot append to the history: row {} where {number} is next",
                row.number
            )));
        }
        let mut args = args![
            row.number,
            row.at_ms,
            row.epoch,
            &row.instance,
            row.life,
            &row.kind,
            &row.was,
            &row.now_is
        ];
        args.extend(args![row.within_ms, row.told_ms, &row.prev, &row.hash]);
        tx.execute(sql::HISTORY_NEW, args).await?;
    }
    Ok(Reply::Affected(rows.len() as u64))
}

fn first_int(rows: &[Row]) -> Result<i64, Error> {
    rows.first().ok_or_else(|| Error::Corrupt("a statement returned no row".into()))?.int(0)
}

async fn roll_up<T: Tx>(tx: &mut T, limit: i64) -> Result<Reply, Error> {
    let round = first_int(&tx.query(sql::ROLL_NEXT, vec![]).await?)?;
    let batches = tx.execute(sql::ROLL_MARK, args![round, limit]).await?;
    if batches > 0 {
        tx.execute(sql::ROLL_ADD, args![round]).await?;
    }
    Ok(Reply::Affected(batches))
}

async fn find_gaps<T: Tx>(tx: &mut T, silent: &[(String, i64)], now_ms: i64) -> Result<Reply, Error> {
    // A final usage report that arrived late, from a file, closes the gap.
    tx.execute(sql::GAP_NONE, vec![]).await?;
    let mut found = tx.execute(sql::GAP_FORMER, vec![]).await?;
    for (instance, epoch_ms) in silent {
        found += tx.execute(sql::GAP_SILENT, args![instance, *epoch_ms, now_ms]).await?;
    }
    Ok(Reply::Affected(found))
}

/// Returns the range of batches of a life that may be deleted: consecutive from the first one kept, with none
/// left out. The newest batch is never deleted, since it records how far the life has reported.
fn deletable_range(purged: i64, seqs: &[i64], newest: i64) -> Option<(i64, i64)> {
    let mut last = purged;
    for seq in seqs {
        if *seq != last + 1 || *seq >= newest {
            break;
        }
        last = *seq;
    }
    (last > purged).then_some((purged + 1, last))
}

async fn retain<T: Tx>(tx: &mut T, before_ms: i64, limit: i64) -> Result<Reply, Error> {
    let mut deleted = tx.execute(sql::LEVELS_OLD, args![before_ms]).await?;
    deleted += tx.execute(sql::EXPORT_ROWS_OLD, args![before_ms]).await?;
    for life in tx.query(sql::OLD_LIVES, args![before_ms]).await? {
        let (instance, epoch_ms) = (life.text(0)?, life.int(1)?);
        let (purged, newest) = (life.int(2)?, life.int(3)?);
        let seqs = tx.query(sql::OLD_SEQS, args![&instance, epoch_ms, before_ms, limit]).await?;
        let seqs = seqs.iter().map(|r| r.int(0)).collect::<Result<Vec<_>, _>>()?;
        let Some((from, to)) = deletable_range(purged, &seqs, newest) else { continue };
        tx.execute(sql::RETIRE, args![&instance, epoch_ms, from, to]).await?;
        tx.execute(sql::LEDGER_GONE, args![&instance, epoch_ms, from, to]).await?;
        deleted += tx.execute(sql::BATCHES_GONE, args![&instance, epoch_ms, from, to]).await?;
        tx.execute(sql::LIFE_PURGED, args![&instance, epoch_ms, to]).await?;
    }
    Ok(Reply::Affected(deleted))
}

/// Reads a row of use by day from the first seven columns, which are the same in all statements about it.
pub(crate) fn day_row(r: &Row) -> Result<ExportRow, Error> {
    Ok(ExportRow {
        day_ms: r.int(0)?,
        shop: r.text(1)?,
        plan: r.text(2)?,
        class: r.text(3)?,
        passed_milli: r.int(4)?,
        refused_milli: r.int(5)?,
        served_milli: r.int(6)?,
    })
}

async fn prepare_export<T: Tx>(tx: &mut T, before_ms: i64, limit: i64, now_ms: i64) -> Result<Reply, Error> {
    let begun = tx.query(sql::EXPORT_BEGUN, vec![]).await?;
    let number = match begun.first() {
        Some(row) => row.int(0)?,
        None => {
            let number = first_int(&tx.query(sql::EXPORT_NEXT, vec![]).await?)?;
            // Only days that have ended: a day begins `DAY_MS` before its end.
            let rows = tx.execute(sql::EXPORT_TAKE, args![number, before_ms - DAY_MS, limit]).await?;
            if rows == 0 {
                return Ok(Reply::Export(None));
            }
            tx.execute(sql::EXPORT_TAKEN, args![number]).await?;
            let rows = i64::try_from(rows).unwrap_or(i64::MAX);
            tx.execute(sql::EXPORT_NEW, args![number, rows, now_ms]).await?;
            number
        }
    };
    let rows = tx.query(sql::EXPORT_ROWS, args![number]).await?;
    let rows = rows.iter().map(day_row).collect::<Result<Vec<_>, Error>>()?;
    Ok(Reply::Export(Some(Export { number, rows })))
}

#[cfg(test)]
mod tests {
    use super::deletable_range;

    #[test]
    fn deletable_range_is_consecutive_and_leaves_out_the_newest_batch() {
        assert_eq!(deletable_range(0, &[1, 2, 3], 9), Some((1, 3)));
        assert_eq!(deletable_range(3, &[4, 5], 5), Some((4, 4)), "the newest batch is kept");
        assert_eq!(deletable_range(0, &[1, 3, 4], 9), Some((1, 1)), "2 is not stored yet");
        assert_eq!(deletable_range(0, &[2, 3], 9), None);
        assert_eq!(deletable_range(0, &[1], 1), None);
        assert_eq!(deletable_range(5, &[], 9), None);
    }
}
