//! Publishing plans: which figures the fleet acts on, and the revision that names exactly this set.
//!
//! A plan that is set takes effect once the owner of the publish duty has published it. Until then the figures before
//! it stay in effect, and the revision of the published plans does not move: one revision never names two sets.

use crate::error::Error;
use crate::model::{Change, Plan, Published};
use crate::ops::{Reply, Row, Tx, Value, audit, next};
use crate::sql;
use serde_json::json;

/// A plan's figures, as the audit trail keeps them.
pub(crate) fn to_json(plan: &Plan) -> String {
    json!({
        "rate_milli": plan.rate_milli, "burst_milli": plan.burst_milli, "open": plan.open,
        "ceiling_rate_milli": plan.ceiling_rate_milli, "ceiling_burst_milli": plan.ceiling_burst_milli,
        "ceiling_slack_milli": plan.ceiling_slack_milli, "from_ms": plan.from_ms,
    })
    .to_string()
}

/// The figures of an entry of the audit trail.
fn from_json(name: &str, text: &str) -> Result<Plan, Error> {
    let corrupt = || Error::Corrupt(format!("audit trail: the figures of plan {name} can't be read"));
    let figures: serde_json::Value = serde_json::from_str(text).map_err(|_| corrupt())?;
    let figure = |field: &str| figures[field].as_i64().ok_or_else(corrupt);
    Ok(Plan {
        name: name.to_string(),
        rate_milli: figure("rate_milli")?,
        burst_milli: figure("burst_milli")?,
        open: figure("open")?,
        ceiling_rate_milli: figure("ceiling_rate_milli")?,
        ceiling_burst_milli: figure("ceiling_burst_milli")?,
        ceiling_slack_milli: figure("ceiling_slack_milli")?,
        from_ms: figure("from_ms")?,
    })
}

/// Reads the published plans, by name.
///
/// # Errors
/// As the database says, and when figures can't be read.
pub(crate) async fn published<T: Tx>(tx: &mut T) -> Result<Vec<Published>, Error> {
    let rows = tx.query(sql::PUBLISHED, vec![]).await?;
    let one = |row: &Row| {
        let plan = from_json(&row.text(0)?, &row.text(2)?)?;
        Ok(Published { plan, revision: row.int(1)? })
    };
    rows.iter().map(one).collect()
}

/// Reads the revision that names the published plans; 0 while none is published.
///
/// # Errors
/// As the database says.
pub(crate) async fn revision<T: Tx>(tx: &mut T) -> Result<i64, Error> {
    let kept = tx.query(sql::PUBLISHED_REVISION, vec![]).await?;
    let kept = kept.first().map_or(Ok(0), |row| row.int(0))?;
    // A program that knows only the plans' own revisions may have published last.
    Ok(kept.max(newest(tx).await?))
}

async fn newest<T: Tx>(tx: &mut T) -> Result<i64, Error> {
    let rows = tx.query(sql::PUBLISHED_NEWEST, vec![]).await?;
    rows.first().map_or(Ok(0), |row| row.int(0))
}

/// In whose name plans are published.
pub(crate) struct Publisher<'a> {
    /// The epoch of the publish duty; 0 where no council governs.
    pub(crate) epoch: i64,
    /// For the audit trail.
    pub(crate) name: &'a str,
}

/// Publishes the plans whose time has come, and moves the revision of the published plans if any changed. A plan that
/// is published after one that was set later has an old revision of its own: the set is then named by a new one.
///
/// # Errors
/// As the database says.
pub(crate) async fn publish<T: Tx>(tx: &mut T, by: Publisher<'_>, now_ms: i64) -> Result<Reply, Error> {
    let before = revision(tx).await?;
    let changed = tx.execute(sql::PUBLISH, vec![Value::Int(by.epoch), Value::Int(now_ms)]).await?;
    if changed == 0 {
        return Ok(Reply::Affected(0));
    }
    let newest = newest(tx).await?;
    let names_the_set = if newest > before { newest } else { named_anew(tx, by.name, now_ms).await? };
    tx.execute(sql::PUBLISHED_REVISION_SET, vec![Value::Int(names_the_set)]).await?;
    Ok(Reply::Affected(changed))
}

/// Takes the next revision for the published plans, with its entry in the audit trail.
async fn named_anew<T: Tx>(tx: &mut T, by: &str, now_ms: i64) -> Result<i64, Error> {
    let revision = next(tx).await?;
    let change = Change {
        id: String::new(),
        base: 0,
        by: by.to_string(),
        source: "publish".into(),
        why: "a plan whose time has come".into(),
        at_ms: now_ms,
    };
    audit(tx, revision, &change, "plans published", "", (String::new(), String::new())).await?;
    Ok(revision)
}
