//! Publishing of plans: which limits the fleet applies, and the revision that identifies exactly this set of
//! plans.
//!
//! A plan that was set takes effect once the owner of the publish duty has published it. Until then its
//! former limits stay in effect and the revision of the published plans does not change, so one revision
//! never identifies two different sets.

use crate::error::Error;
use crate::model::{Change, Plan, Published};
use crate::ops::{Reply, Row, Tx, Value, audit, next_revision};
use crate::sql;
use serde_json::json;

/// A plan's limits as JSON, the form in which the audit trail stores them.
pub(crate) fn to_json(plan: &Plan) -> String {
    json!({
        "rate_milli": plan.rate_milli, "burst_milli": plan.burst_milli, "open": plan.open,
        "ceiling_rate_milli": plan.ceiling_rate_milli, "ceiling_burst_milli": plan.ceiling_burst_milli,
        "ceiling_slack_milli": plan.ceiling_slack_milli, "from_ms": plan.from_ms,
    })
    .to_string()
}

/// Parses a plan's limits from an entry of the audit trail.
fn from_json(name: &str, text: &str) -> Result<Plan, Error> {
    let corrupt = || Error::Corrupt(format!("audit trail: cannot parse the limits of plan {name}"));
    let limits: serde_json::Value = serde_json::from_str(text).map_err(|_| corrupt())?;
    let limit = |field: &str| limits[field].as_i64().ok_or_else(corrupt);
    Ok(Plan {
        name: name.to_string(),
        rate_milli: limit("rate_milli")?,
        burst_milli: limit("burst_milli")?,
        open: limit("open")?,
        ceiling_rate_milli: limit("ceiling_rate_milli")?,
        ceiling_burst_milli: limit("ceiling_burst_milli")?,
        ceiling_slack_milli: limit("ceiling_slack_milli")?,
        from_ms: limit("from_ms")?,
    })
}

/// Reads the published plans, ordered by name.
///
/// # Errors
/// The errors of the database, and [`Error::Corrupt`] if the limits of a plan cannot be parsed.
pub(crate) async fn published<T: Tx>(tx: &mut T) -> Result<Vec<Published>, Error> {
    let rows = tx.query(sql::PUBLISHED, vec![]).await?;
    let to_published = |row: &Row| {
        let plan = from_json(&row.text(0)?, &row.text(2)?)?;
        Ok(Published { plan, revision: row.int(1)? })
    };
    rows.iter().map(to_published).collect()
}

/// Reads the revision that identifies the set of published plans; 0 while none is published.
///
/// # Errors
/// The errors of the database.
pub(crate) async fn revision<T: Tx>(tx: &mut T) -> Result<i64, Error> {
    let stored = tx.query(sql::PUBLISHED_REVISION, vec![]).await?;
    let stored = stored.first().map_or(Ok(0), |row| row.int(0))?;
    // An older program, which uses only the plans' own revisions, may have published last.
    Ok(stored.max(newest(tx).await?))
}

/// The newest revision of any published plan; 0 while none is published.
async fn newest<T: Tx>(tx: &mut T) -> Result<i64, Error> {
    let rows = tx.query(sql::PUBLISHED_NEWEST, vec![]).await?;
    rows.first().map_or(Ok(0), |row| row.int(0))
}

/// On whose behalf plans are published.
pub(crate) struct Publisher<'a> {
    /// The epoch of the publish duty; 0 where there is no council.
    pub(crate) epoch: i64,
    /// The name for the audit trail.
    pub(crate) name: &'a str,
}

/// Publishes the plans that are due, and changes the revision of the published plans if any of them changed.
/// A plan may be published after another one that was set later; its own revision is then older than the
/// current one, and the set gets a new revision.
///
/// # Errors
/// The errors of the database.
pub(crate) async fn publish<T: Tx>(tx: &mut T, by: Publisher<'_>, now_ms: i64) -> Result<Reply, Error> {
    let before = revision(tx).await?;
    let changed = tx.execute(sql::PUBLISH, vec![Value::Int(by.epoch), Value::Int(now_ms)]).await?;
    if changed == 0 {
        return Ok(Reply::Affected(0));
    }
    let newest = newest(tx).await?;
    let set_revision = if newest > before { newest } else { allocate_revision(tx, by.name, now_ms).await? };
    tx.execute(sql::PUBLISHED_REVISION_SET, vec![Value::Int(set_revision)]).await?;
    Ok(Reply::Affected(changed))
}

/// Allocates a new revision for the set of published plans, with an entry in the audit trail.
async fn allocate_revision<T: Tx>(tx: &mut T, by: &str, now_ms: i64) -> Result<i64, Error> {
    let revision = next_revision(tx).await?;
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
