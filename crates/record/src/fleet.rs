//! Work on behalf of the fleet: each step one transaction, which begins with its fence. A step of an owner whose epoch
//! another has overtaken is refused before it has read anything, and what stands is told.

use crate::error::Error;
use crate::model::{Export, ExportRow, HistoryRow};
use crate::ops::{Reply, Row, Tx, Value, history_ends};
use crate::publish::{Publisher, publish};
use crate::sql;
use frostvale_owner::Fence;

/// A day, in ms.
pub const DAY_MS: i64 = 86_400_000;

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetWork {
    /// Nothing but the fence: says who owns the duty.
    Touch,
    /// Adds so many batches of the ledger to the days' totals, each once.
    RollUp {
        /// Batches, at the most.
        most: i64,
    },
    /// Notes gaps: lives that ended without their last word, since a later one has begun or since nothing was heard of
    /// them for long enough.
    FindGaps {
        /// Lives that are silent: instance, and when its life began.
        silent: Vec<(String, i64)>,
    },
    /// Lets go of what is rolled up and old.
    Retain {
        /// What landed before this, UTC ms.
        before_ms: i64,
        /// Batches of one life, at the most.
        most: i64,
    },
    /// Has plans take effect whose time has come.
    Publish,
    /// The next part of the export: one that was begun, or what has come since the last.
    PrepareExport {
        /// Days that ended before this, UTC ms.
        before_ms: i64,
        /// Rows, at the most.
        most: i64,
    },
    /// Rows go to the end of the history, if it ends where they say.
    AppendHistory {
        /// The row before them: number and digest.
        after: (i64, String),
        /// The rows.
        rows: Vec<HistoryRow>,
    },
    /// Lets go of what is old of the history, and keeps where it begins then.
    RetainHistory {
        /// What was entered before this, UTC ms.
        before_ms: i64,
    },
    /// A part is written out.
    FinishExport {
        /// Which.
        number: i64,
        /// The digest of its file.
        digest: String,
    },
}

macro_rules! args {
    ($($value:expr),* $(,)?) => { vec![$(Value::from($value)),*] };
}

/// Does it, behind its fence.
///
/// # Errors
/// When a higher epoch was seen, or as the database says.
pub async fn apply<T: Tx>(tx: &mut T, fence: &Fence, work: &FleetWork, now_ms: i64) -> Result<Reply, Error> {
    let epoch = i64::try_from(fence.epoch()).unwrap_or(i64::MAX);
    // The row stays locked until the end of the transaction: nobody overtakes in between.
    let stands = tx.execute(sql::FENCE, args![fence.duty(), epoch, fence.owner(), now_ms]).await?;
    if stands != 1 {
        let rows = tx.query(sql::FENCE_OF, args![fence.duty()]).await?;
        let row = rows.first().ok_or_else(|| Error::Corrupt("a fence is gone".into()))?;
        let (duty, epoch) = (fence.duty().to_string(), fence.epoch());
        let stands = u64::try_from(row.int(0)?).unwrap_or(0);
        return Err(Error::Fenced { duty, epoch, stands, by: row.text(1)? });
    }
    match work {
        FleetWork::Touch => Ok(Reply::Affected(0)),
        FleetWork::RollUp { most } => roll_up(tx, *most).await,
        FleetWork::FindGaps { silent } => find_gaps(tx, silent, now_ms).await,
        FleetWork::Retain { before_ms, most } => retain(tx, *before_ms, *most).await,
        FleetWork::Publish => publish(tx, Publisher { epoch, name: fence.owner() }, now_ms).await,
        FleetWork::PrepareExport { before_ms, most } => prepare_export(tx, *before_ms, *most, now_ms).await,
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
        return Err(Error::Invalid(format!("history: it ends at row {}, not {}", head.0, after.0)));
    }
    for (r, number) in rows.iter().zip(after.0 + 1..) {
        if r.number != number {
            return Err(Error::Invalid(format!("history: row {} where {number} is next", r.number)));
        }
        let mut args = args![r.number, r.at_ms, r.epoch, &r.instance, r.life, &r.kind, &r.was, &r.now_is];
        args.extend(args![r.within_ms, r.told_ms, &r.prev, &r.hash]);
        tx.execute(sql::HISTORY_NEW, args).await?;
    }
    Ok(Reply::Affected(rows.len() as u64))
}

fn one(rows: &[Row]) -> Result<i64, Error> {
    rows.first().ok_or_else(|| Error::Corrupt("no row".into()))?.int(0)
}

async fn roll_up<T: Tx>(tx: &mut T, most: i64) -> Result<Reply, Error> {
    let round = one(&tx.query(sql::ROLL_NEXT, vec![]).await?)?;
    let batches = tx.execute(sql::ROLL_MARK, args![round, most]).await?;
    if batches > 0 {
        tx.execute(sql::ROLL_ADD, args![round]).await?;
    }
    Ok(Reply::Affected(batches))
}

async fn find_gaps<T: Tx>(tx: &mut T, silent: &[(String, i64)], now_ms: i64) -> Result<Reply, Error> {
    // A last word that came late, from a file, says that there is none.
    tx.execute(sql::GAP_NONE, vec![]).await?;
    let mut found = tx.execute(sql::GAP_FORMER, vec![]).await?;
    for (instance, epoch_ms) in silent {
        found += tx.execute(sql::GAP_SILENT, args![instance, *epoch_ms, now_ms]).await?;
    }
    Ok(Reply::Affected(found))
}

/// The batches of a life that may go: from the first one kept on, with none left out, and never the last one, which says
/// how far the life has come.
fn prefix(purged: i64, seqs: &[i64], newest: i64) -> Option<(i64, i64)> {
    let mut to = purged;
    for seq in seqs {
        if *seq != to + 1 || *seq >= newest {
            break;
        }
        to = *seq;
    }
    (to > purged).then_some((purged + 1, to))
}

async fn retain<T: Tx>(tx: &mut T, before_ms: i64, most: i64) -> Result<Reply, Error> {
    let mut gone = tx.execute(sql::LEVELS_OLD, args![before_ms]).await?;
    gone += tx.execute(sql::EXPORT_ROWS_OLD, args![before_ms]).await?;
    for life in tx.query(sql::OLD_LIVES, args![before_ms]).await? {
        let (instance, epoch_ms) = (life.text(0)?, life.int(1)?);
        let (purged, newest) = (life.int(2)?, life.int(3)?);
        let seqs = tx.query(sql::OLD_SEQS, args![&instance, epoch_ms, before_ms, most]).await?;
        let seqs = seqs.iter().map(|r| r.int(0)).collect::<Result<Vec<_>, _>>()?;
        let Some((from, to)) = prefix(purged, &seqs, newest) else { continue };
        tx.execute(sql::RETIRE, args![&instance, epoch_ms, from, to]).await?;
        tx.execute(sql::LEDGER_GONE, args![&instance, epoch_ms, from, to]).await?;
        gone += tx.execute(sql::BATCHES_GONE, args![&instance, epoch_ms, from, to]).await?;
        tx.execute(sql::LIFE_PURGED, args![&instance, epoch_ms, to]).await?;
    }
    Ok(Reply::Affected(gone))
}

/// A row of use by day, as all statements about it begin.
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

async fn prepare_export<T: Tx>(tx: &mut T, before_ms: i64, most: i64, now_ms: i64) -> Result<Reply, Error> {
    let begun = tx.query(sql::EXPORT_BEGUN, vec![]).await?;
    let number = match begun.first() {
        Some(row) => row.int(0)?,
        None => {
            let number = one(&tx.query(sql::EXPORT_NEXT, vec![]).await?)?;
            // Days that have ended: one begins `DAY_MS` before it ends.
            let rows = tx.execute(sql::EXPORT_TAKE, args![number, before_ms - DAY_MS, most]).await?;
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
    use super::prefix;

    #[test]
    fn only_an_unbroken_beginning_of_a_life_goes_and_never_its_last_batch() {
        assert_eq!(prefix(0, &[1, 2, 3], 9), Some((1, 3)));
        assert_eq!(prefix(3, &[4, 5], 5), Some((4, 4)), "the last one stays");
        assert_eq!(prefix(0, &[1, 3, 4], 9), Some((1, 1)), "2 has not landed yet");
        assert_eq!(prefix(0, &[2, 3], 9), None);
        assert_eq!(prefix(0, &[1], 1), None);
        assert_eq!(prefix(5, &[], 9), None);
    }
}
