//! The operations of the record, written once for both databases. Each is one transaction and safe to repeat:
//! batches and changes carry identifiers of their own, by which a second attempt after a lost answer is
//! recognised.

use crate::error::Error;
use crate::fleet::{self, FleetWork};
use crate::model::{
    AuditEntry, Change, Export, ExportPart, HistoryRow, Override, Plan, RevisionUse, Shop, Snapshot,
    StandingFence, TokenLevel, UsageBatch, UsageGap, UsageLine, UsageTotal, Versioned,
};
use crate::publish;
use crate::sql;
use frostvale_owner::Fence;
use serde_json::json;

/// A value in a row or a parameter of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// An integer.
    Int(i64),
    /// A text.
    Text(String),
}

impl From<i64> for Value {
    fn from(n: i64) -> Value {
        Value::Int(n)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.to_string())
    }
}

impl From<&String> for Value {
    fn from(text: &String) -> Value {
        Value::Text(text.clone())
    }
}

/// A row of a result.
#[derive(Debug, Clone, Default)]
pub struct Row(pub Vec<Value>);

impl Row {
    /// The integer in column `k`; [`Error::Corrupt`] if there is none.
    pub(crate) fn int(&self, k: usize) -> Result<i64, Error> {
        match self.0.get(k) {
            Some(Value::Int(n)) => Ok(*n),
            other => Err(Error::Corrupt(format!("column {k} is not an integer: {other:?}"))),
        }
    }

    /// The text in column `k`; [`Error::Corrupt`] if there is none.
    pub(crate) fn text(&self, k: usize) -> Result<String, Error> {
        match self.0.get(k) {
            Some(Value::Text(text)) => Ok(text.clone()),
            other => Err(Error::Corrupt(format!("column {k} is not a text: {other:?}"))),
        }
    }
}

/// An open transaction.
pub trait Tx: Send {
    /// Runs a statement and returns its rows.
    fn query(
        &mut self,
        sql: &'static str,
        args: Vec<Value>,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;
    /// Runs a statement and returns how many rows it changed.
    fn execute(
        &mut self,
        sql: &'static str,
        args: Vec<Value>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;
}

macro_rules! args {
    ($($value:expr),* $(,)?) => { vec![$(Value::from($value)),*] };
}

/// An operation of the record.
#[derive(Debug, Clone)]
pub enum Op {
    /// Reads all data that gatekeepers need.
    Load,
    /// Sets a plan, based on the revision in the change.
    SetPlan(Plan, Change),
    /// Sets a shop, based on the revision in the change.
    SetShop(Shop, Change),
    /// Reads a shop.
    Shop(String),
    /// Sets an override, based on the revision in the change.
    SetOverride(Override, Change),
    /// Stores batches of use, each batch once.
    Append {
        /// The batches.
        batches: Vec<UsageBatch>,
        /// The time at which they are stored, UTC ms.
        now_ms: i64,
    },
    /// Records a gap, or replaces the one of the same life.
    Gap(UsageGap),
    /// Reads the gaps.
    Gaps,
    /// Stores token levels, unless newer ones are stored.
    SaveLevels {
        /// The instance that reported them.
        instance: String,
        /// The token levels.
        levels: Vec<TokenLevel>,
    },
    /// Reads the token levels of an instance that are not older than `since_ms`.
    Levels {
        /// The instance.
        instance: String,
        /// The oldest time accepted, UTC ms.
        since_ms: i64,
    },
    /// Deletes token levels older than `before_ms`.
    ForgetLevels {
        /// The oldest time that is kept, UTC ms.
        before_ms: i64,
    },
    /// Reads use by shop, plan, class and hour.
    Totals {
        /// The shop; empty for all shops.
        shop: String,
        /// The first hour, UTC ms.
        from_ms: i64,
        /// The end of the range, excluded, UTC ms.
        to_ms: i64,
        /// The maximum number of rows.
        limit: i64,
    },
    /// Reads the number of a life's newest batch, the end of its period and whether it was the final report,
    /// and how many batches are stored.
    Watermark {
        /// The instance.
        instance: String,
        /// Its life: when it began, UTC ms.
        epoch_ms: i64,
    },
    /// Records that an instance was observed.
    Seen {
        /// The instance.
        name: String,
        /// The host it runs on.
        host: String,
        /// Its life: when it began, UTC ms.
        epoch_ms: i64,
        /// When it was observed, UTC ms.
        now_ms: i64,
        /// The revision of the plans that it applies.
        revision: i64,
    },
    /// Reads the instances: name, host, life, time of the last observation, revision.
    Instances,
    /// Reads the newest entries of the audit trail, up to this number.
    Audit(i64),
    /// Publishes the plans that are due, where there is no council to decide who publishes: any agent may do
    /// it, and it takes effect once.
    PublishDue {
        /// The current time, UTC ms.
        now_ms: i64,
    },
    /// Runs a step on behalf of the fleet, which requires the fence of a live lease.
    ForFleet {
        /// The fence of the lease.
        fence: Fence,
        /// The step.
        work: FleetWork,
        /// The current time, UTC ms.
        now_ms: i64,
    },
    /// Reads where the history begins and ends.
    HistoryEnds,
    /// Reads rows of the history after a number, and where the history begins.
    History {
        /// The number before the first row.
        after: i64,
        /// The maximum number of rows.
        limit: i64,
    },
    /// Reads units by the revision of the plans.
    UseByRevision,
    /// Reads the parts of the export.
    Exports,
    /// Reads use by day, up to this number of rows, and how much of it is exported.
    Days(i64),
}

impl Op {
    /// Whether other processes are notified after the operation.
    #[must_use]
    pub fn notifies_others(&self) -> bool {
        matches!(
            self,
            Op::SetPlan(..)
                | Op::SetShop(..)
                | Op::SetOverride(..)
                | Op::PublishDue { .. }
                | Op::ForFleet { work: FleetWork::Publish, .. }
        )
    }
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The operation was carried out.
    Done,
    /// The change was made at this revision.
    Revision(i64),
    /// All data that gatekeepers need.
    Snapshot(Snapshot),
    /// A shop, if it is stored.
    Shop(Option<Versioned<Shop>>),
    /// For each batch, whether it was stored now; false if it had been stored before.
    Stored(Vec<bool>),
    /// The gaps.
    Gaps(Vec<UsageGap>),
    /// The token levels.
    Levels(Vec<TokenLevel>),
    /// Use by shop, plan, class and hour.
    Totals(Vec<UsageTotal>),
    /// The newest batch: number, end of its period, whether it was the final report of its life; and how many
    /// batches are stored.
    Watermark(Option<(i64, i64, bool)>, i64),
    /// The instances: name, host, life, time of the last observation, revision.
    Instances(Vec<(String, String, i64, i64, i64)>),
    /// The audit trail, newest first.
    Audit(Vec<AuditEntry>),
    /// How many entries a step on behalf of the fleet changed.
    Affected(u64),
    /// Where the history begins and ends: number and hash of the row before its first row, and of its last
    /// row.
    HistoryEnds((i64, String), (i64, String)),
    /// Rows of the history, and where the history begins.
    History(Vec<HistoryRow>, (i64, String)),
    /// Units by the revision of the plans.
    Revisions(Vec<RevisionUse>),
    /// The part of the export that is to be written out, if there is one.
    Export(Option<Export>),
    /// The parts of the export.
    Exports(Vec<ExportPart>),
    /// Use by day, and how much of it (passed, in thousandths) is exported.
    Days(Vec<(crate::model::ExportRow, i64)>),
}

/// Runs an operation in a transaction that the caller commits or rolls back.
///
/// # Errors
/// The operation cannot be carried out; the caller has to roll back the transaction.
pub async fn apply<T: Tx>(tx: &mut T, op: &Op) -> Result<Reply, Error> {
    match op {
        Op::Load => load(tx).await,
        Op::SetPlan(plan, change) => set_plan(tx, plan, change).await,
        Op::SetShop(shop, change) => set_shop(tx, shop, change).await,
        Op::Shop(shop) => Ok(Reply::Shop(find_shop(tx, shop).await?.map(|(stored, _)| stored))),
        Op::SetOverride(over, change) => set_override(tx, over, change).await,
        Op::Append { batches, now_ms } => append(tx, batches, *now_ms).await,
        Op::Gap(gap) => {
            let args = args![&gap.instance, gap.epoch_ms, gap.after_seq, gap.from_ms, gap.to_ms, &gap.why];
            tx.execute(sql::GAP_NEW, args).await?;
            Ok(Reply::Done)
        }
        Op::Gaps => {
            let rows = tx.query(sql::GAPS, vec![]).await?;
            let gap = |r: &Row| {
                Ok(UsageGap {
                    instance: r.text(0)?,
                    epoch_ms: r.int(1)?,
                    after_seq: r.int(2)?,
                    from_ms: r.int(3)?,
                    to_ms: r.int(4)?,
                    why: r.text(5)?,
                })
            };
            Ok(Reply::Gaps(rows.iter().map(gap).collect::<Result<_, Error>>()?))
        }
        Op::SaveLevels { instance, levels } => {
            for l in levels {
                let args = args![instance, l.key, l.plan, l.store_milli, l.ceiling_milli, l.at_ms];
                tx.execute(sql::LEVEL_SET, args).await?;
            }
            Ok(Reply::Done)
        }
        Op::Levels { instance, since_ms } => {
            let rows = tx.query(sql::LEVELS, args![instance, *since_ms]).await?;
            let level = |r: &Row| {
                Ok(TokenLevel {
                    key: r.int(0)?,
                    plan: r.int(1)?,
                    store_milli: r.int(2)?,
                    ceiling_milli: r.int(3)?,
                    at_ms: r.int(4)?,
                })
            };
            Ok(Reply::Levels(rows.iter().map(level).collect::<Result<_, Error>>()?))
        }
        Op::ForgetLevels { before_ms } => {
            tx.execute(sql::LEVELS_OLD, args![*before_ms]).await?;
            Ok(Reply::Done)
        }
        Op::Totals { shop, from_ms, to_ms, limit } => {
            let rows = tx.query(sql::TOTALS, args![shop, *from_ms, *to_ms, *limit]).await?;
            let total = |r: &Row| {
                Ok(UsageTotal {
                    shop: r.text(0)?,
                    plan: r.text(1)?,
                    class: r.text(2)?,
                    hour_ms: r.int(3)?,
                    passed_milli: r.int(4)?,
                    refused_milli: r.int(5)?,
                    served_milli: r.int(6)?,
                })
            };
            Ok(Reply::Totals(rows.iter().map(total).collect::<Result<_, Error>>()?))
        }
        Op::Watermark { instance, epoch_ms } => {
            let rows = tx.query(sql::WATERMARK, args![instance, *epoch_ms]).await?;
            let newest =
                rows.first().map(|r| Ok::<_, Error>((r.int(0)?, r.int(1)?, r.int(2)? != 0))).transpose()?;
            let count = tx.query(sql::BATCHES, args![instance, *epoch_ms]).await?;
            let count = count.first().map_or(Ok(0), |r| r.int(0))?;
            Ok(Reply::Watermark(newest, count))
        }
        Op::Seen { name, host, epoch_ms, now_ms, revision } => {
            tx.execute(sql::INSTANCE_SEEN, args![name, host, *epoch_ms, *now_ms, *revision]).await?;
            Ok(Reply::Done)
        }
        Op::PublishDue { now_ms } => {
            publish::publish(tx, publish::Publisher { epoch: 0, name: "the agents" }, *now_ms).await
        }
        Op::ForFleet { fence, work, now_ms } => fleet::apply(tx, fence, work, *now_ms).await,
        Op::HistoryEnds => {
            let (base, head) = history_ends(tx).await?;
            Ok(Reply::HistoryEnds(base, head))
        }
        Op::History { after, limit } => {
            let (base, _) = history_ends(tx).await?;
            let rows = tx.query(sql::HISTORY, args![*after, *limit]).await?;
            let row = |r: &Row| {
                Ok(HistoryRow {
                    number: r.int(0)?,
                    at_ms: r.int(1)?,
                    epoch: r.int(2)?,
                    instance: r.text(3)?,
                    life: r.int(4)?,
                    kind: r.text(5)?,
                    was: r.text(6)?,
                    now_is: r.text(7)?,
                    within_ms: r.int(8)?,
                    told_ms: r.int(9)?,
                    prev: r.text(10)?,
                    hash: r.text(11)?,
                })
            };
            Ok(Reply::History(rows.iter().map(row).collect::<Result<_, Error>>()?, base))
        }
        Op::UseByRevision => {
            let rows = tx.query(sql::USE_BY_REVISION, vec![]).await?;
            let revision_use = |r: &Row| {
                Ok(RevisionUse {
                    instance: r.text(0)?,
                    epoch_ms: r.int(1)?,
                    revision: r.int(2)?,
                    passed_milli: r.int(3)?,
                    refused_milli: r.int(4)?,
                    from_ms: r.int(5)?,
                    to_ms: r.int(6)?,
                })
            };
            Ok(Reply::Revisions(rows.iter().map(revision_use).collect::<Result<_, Error>>()?))
        }
        Op::Exports => {
            let rows = tx.query(sql::EXPORTS, vec![]).await?;
            let part = |r: &Row| {
                Ok(ExportPart {
                    number: r.int(0)?,
                    rows: r.int(1)?,
                    made_ms: r.int(2)?,
                    done: r.int(3)? != 0,
                    digest: r.text(4)?,
                    epoch: r.int(5)?,
                })
            };
            Ok(Reply::Exports(rows.iter().map(part).collect::<Result<_, Error>>()?))
        }
        Op::Days(limit) => {
            let rows = tx.query(sql::DAYS, args![*limit]).await?;
            let day = |r: &Row| Ok((fleet::day_row(r)?, r.int(7)?));
            Ok(Reply::Days(rows.iter().map(day).collect::<Result<_, Error>>()?))
        }
        Op::Instances => {
            let rows = tx.query(sql::INSTANCES, vec![]).await?;
            let instance = |r: &Row| Ok((r.text(0)?, r.text(1)?, r.int(2)?, r.int(3)?, r.int(4)?));
            Ok(Reply::Instances(rows.iter().map(instance).collect::<Result<_, Error>>()?))
        }
        Op::Audit(limit) => {
            let rows = tx.query(sql::AUDIT, args![*limit]).await?;
            let entry = |r: &Row| {
                Ok(AuditEntry {
                    revision: r.int(0)?,
                    at_ms: r.int(1)?,
                    by: r.text(2)?,
                    source: r.text(3)?,
                    what: r.text(4)?,
                    subject: r.text(5)?,
                    before: r.text(6)?,
                    after: r.text(7)?,
                    why: r.text(8)?,
                })
            };
            Ok(Reply::Audit(rows.iter().map(entry).collect::<Result<_, Error>>()?))
        }
    }
}

/// A stored value, and the id of the change that made it.
type Found<T> = (Versioned<T>, String);

/// Reads the revision, author, time, reason and change id of a value from the columns beginning at `at`.
fn versioned<T>(value: T, row: &Row, at: usize) -> Result<Found<T>, Error> {
    let stored = Versioned {
        value,
        revision: row.int(at)?,
        by: row.text(at + 1)?,
        at_ms: row.int(at + 2)?,
        why: row.text(at + 3)?,
    };
    Ok((stored, row.text(at + 4)?))
}

fn plan_from_row(r: &Row) -> Result<Found<Plan>, Error> {
    let plan = Plan {
        name: r.text(0)?,
        rate_milli: r.int(1)?,
        burst_milli: r.int(2)?,
        open: r.int(3)?,
        ceiling_rate_milli: r.int(4)?,
        ceiling_burst_milli: r.int(5)?,
        ceiling_slack_milli: r.int(6)?,
        from_ms: r.int(7)?,
    };
    versioned(plan, r, 8)
}

fn override_from_row(r: &Row) -> Result<Found<Override>, Error> {
    let over = Override { kind: r.text(0)?, subject: r.text(1)?, value: r.text(2)?, until_ms: r.int(3)? };
    versioned(over, r, 4)
}

async fn find_shop<T: Tx>(tx: &mut T, shop: &str) -> Result<Option<Found<Shop>>, Error> {
    let rows = tx.query(sql::SHOP, args![shop]).await?;
    let shop_from_row = |r: &Row| {
        versioned(Shop { shop: r.text(0)?, plan: r.text(1)?, first: r.int(2)?, spread: r.int(3)? }, r, 4)
    };
    rows.first().map(shop_from_row).transpose()
}

/// Reads the snapshot for gatekeepers.
async fn load<T: Tx>(tx: &mut T) -> Result<Reply, Error> {
    let head = tx.query(sql::HEAD, vec![]).await?;
    let revision = head.first().ok_or_else(|| Error::Corrupt("the head row is missing".into()))?.int(0)?;
    let plans = tx.query(sql::PLANS, vec![]).await?;
    let overrides = tx.query(sql::OVERRIDES, vec![]).await?;
    let (published, published_revision) = (publish::published(tx).await?, publish::revision(tx).await?);
    let fences = tx.query(sql::FENCES, vec![]).await?;
    let fence = |r: &Row| {
        Ok(StandingFence { duty: r.text(0)?, epoch: r.int(1)?, owner: r.text(2)?, at_ms: r.int(3)? })
    };
    Ok(Reply::Snapshot(Snapshot {
        revision,
        plans: plans.iter().map(|r| plan_from_row(r).map(|f| f.0)).collect::<Result<_, _>>()?,
        overrides: overrides.iter().map(|r| override_from_row(r).map(|f| f.0)).collect::<Result<_, _>>()?,
        published,
        published_revision,
        fences: fences.iter().map(fence).collect::<Result<_, Error>>()?,
    }))
}

/// Checks whether a change may be made. Returns the revision of a change that was made already, whose answer
/// was lost.
///
/// # Errors
/// [`Error::Conflict`] if the change is not based on the current revision, [`Error::Invalid`] if it names no
/// author or id, or is based on a revision of an entry that does not exist.
fn check_base<T>(found: Option<&Found<T>>, change: &Change, subject: &str) -> Result<Option<i64>, Error> {
    if change.by.is_empty() || change.id.is_empty() {
        return Err(Error::Invalid("by: must name who makes the change".into()));
    }
    match found {
        Some((stored, id)) if *id == change.id => Ok(Some(stored.revision)),
        Some((stored, _)) if stored.revision != change.base => Err(Error::Conflict {
            subject: subject.to_string(),
            revision: stored.revision,
            by: stored.by.clone(),
            since_ms: stored.at_ms,
        }),
        None if change.base != 0 => {
            Err(Error::Invalid(format!("{subject}: does not exist, so it has no revision {}", change.base)))
        }
        _ => Ok(None),
    }
}

/// Allocates the next revision.
pub(crate) async fn next_revision<T: Tx>(tx: &mut T) -> Result<i64, Error> {
    let rows = tx.query(sql::HEAD_NEXT, vec![]).await?;
    rows.first().ok_or_else(|| Error::Corrupt("the head row is missing".into()))?.int(0)
}

/// Adds an entry to the audit trail.
pub(crate) async fn audit<T: Tx>(
    tx: &mut T,
    revision: i64,
    change: &Change,
    what: &str,
    subject: &str,
    (was, now): (String, String),
) -> Result<(), Error> {
    let Change { by, source, why, at_ms, .. } = change;
    let args = args![revision, *at_ms, by, source, what, subject, &was, &now, why];
    tx.execute(sql::AUDIT_NEW, args).await.map(drop)
}

/// The entry that was read in this transaction was created or changed concurrently before the write.
fn concurrent_change(subject: &str) -> Error {
    Error::Contended(format!("{subject} was changed concurrently"))
}

async fn set_plan<T: Tx>(tx: &mut T, plan: &Plan, change: &Change) -> Result<Reply, Error> {
    plan.check()?;
    let rows = tx.query(sql::PLAN, args![&plan.name]).await?;
    let found = rows.first().map(plan_from_row).transpose()?;
    let subject = format!("plan {}", plan.name);
    if let Some(revision) = check_base(found.as_ref(), change, &subject)? {
        return Ok(Reply::Revision(revision));
    }
    let revision = next_revision(tx).await?;
    let mut args = args![
        &plan.name,
        plan.rate_milli,
        plan.burst_milli,
        plan.open,
        plan.ceiling_rate_milli,
        plan.ceiling_burst_milli,
        plan.ceiling_slack_milli,
        plan.from_ms,
        revision,
        &change.by,
        change.at_ms,
        &change.why,
        &change.id,
    ];
    let changed = if found.is_some() {
        args.push(change.base.into());
        tx.execute(sql::PLAN_SET, args).await?
    } else {
        tx.execute(sql::PLAN_NEW, args).await?
    };
    if changed != 1 {
        return Err(concurrent_change(&subject));
    }
    let was = found.map_or(String::new(), |(stored, _)| publish::to_json(&stored.value));
    audit(tx, revision, change, "plan set", &plan.name, (was, publish::to_json(plan))).await?;
    Ok(Reply::Revision(revision))
}

async fn set_shop<T: Tx>(tx: &mut T, shop: &Shop, change: &Change) -> Result<Reply, Error> {
    if shop.shop.len() != 16 || !shop.shop.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Error::Invalid("shop: must be 16 hex digits".into()));
    }
    if shop.first < 0 || shop.spread < 1 {
        return Err(Error::Invalid("first, spread: must be at least 0 and 1".into()));
    }
    let found = find_shop(tx, &shop.shop).await?;
    let subject = format!("shop {}", shop.shop);
    if let Some(revision) = check_base(found.as_ref(), change, &subject)? {
        return Ok(Reply::Revision(revision));
    }
    let revision = next_revision(tx).await?;
    let Change { by, at_ms, why, id, .. } = change;
    let mut args = args![&shop.shop, &shop.plan, shop.first, shop.spread, revision, by, *at_ms, why, id];
    let changed = if found.is_some() {
        args.push(change.base.into());
        tx.execute(sql::SHOP_SET, args).await?
    } else {
        tx.execute(sql::SHOP_NEW, args).await?
    };
    if changed != 1 {
        return Err(concurrent_change(&subject));
    }
    let text = |s: &Shop| json!({"plan": s.plan, "first": s.first, "spread": s.spread}).to_string();
    let was = found.map_or(String::new(), |(stored, _)| text(&stored.value));
    audit(tx, revision, change, "shop set", &shop.shop, (was, text(shop))).await?;
    Ok(Reply::Revision(revision))
}

async fn set_override<T: Tx>(tx: &mut T, over: &Override, change: &Change) -> Result<Reply, Error> {
    if !["weight", "out", "pin"].contains(&over.kind.as_str()) {
        return Err(Error::Invalid(format!("kind: {:?} is not one of weight, out, pin", over.kind)));
    }
    if over.subject.is_empty() || over.until_ms <= 0 {
        return Err(Error::Invalid(
            "subject, until_ms: both are required; an override cannot be unlimited".into(),
        ));
    }
    let rows = tx.query(sql::OVERRIDE, args![&over.kind, &over.subject]).await?;
    let found = rows.first().map(override_from_row).transpose()?;
    let subject = format!("override {} of {}", over.kind, over.subject);
    if let Some(revision) = check_base(found.as_ref(), change, &subject)? {
        return Ok(Reply::Revision(revision));
    }
    let revision = next_revision(tx).await?;
    let Change { by, at_ms, why, id, .. } = change;
    let mut args =
        args![&over.kind, &over.subject, &over.value, over.until_ms, revision, by, *at_ms, why, id];
    let changed = if found.is_some() {
        args.push(change.base.into());
        tx.execute(sql::OVERRIDE_SET, args).await?
    } else {
        tx.execute(sql::OVERRIDE_NEW, args).await?
    };
    if changed != 1 {
        return Err(concurrent_change(&subject));
    }
    let text = |o: &Override| json!({"value": o.value, "until_ms": o.until_ms}).to_string();
    let was = found.map_or(String::new(), |(stored, _)| text(&stored.value));
    let audit_subject = format!("{} {}", over.kind, over.subject);
    audit(tx, revision, change, "override set", &audit_subject, (was, text(over))).await?;
    Ok(Reply::Revision(revision))
}

/// A position in the history: number and hash of a row.
type HistoryPosition = (i64, String);

/// Where the history begins and ends.
pub(crate) async fn history_ends<T: Tx>(tx: &mut T) -> Result<(HistoryPosition, HistoryPosition), Error> {
    let base = tx.query(sql::HISTORY_BASE, vec![]).await?;
    let base =
        base.first().ok_or_else(|| Error::Corrupt("the row of the history's base is missing".into()))?;
    let base = (base.int(0)?, base.text(1)?);
    let head = tx.query(sql::HISTORY_HEAD, vec![]).await?;
    let head = head.first().map(|r| Ok::<_, Error>((r.int(0)?, r.text(1)?))).transpose()?;
    Ok((base.clone(), head.unwrap_or(base)))
}

const HOUR_MS: i64 = 3_600_000;

/// Stores batches that are not stored yet, with their lines in the ledger and in the totals by hour.
async fn append<T: Tx>(tx: &mut T, batches: &[UsageBatch], now_ms: i64) -> Result<Reply, Error> {
    let mut stored = Vec::with_capacity(batches.len());
    for b in batches {
        let mut args = args![&b.instance, b.epoch_ms, b.seq, b.from_ms, b.to_ms, i64::from(b.last), now_ms];
        args.push(b.revision.into());
        let is_new = tx.execute(sql::BATCH_NEW, args).await? == 1;
        stored.push(is_new);
        if !is_new {
            continue;
        }
        let hour_ms = b.to_ms.div_euclid(HOUR_MS) * HOUR_MS;
        for l in &b.lines {
            let UsageLine { shop, plan, class, passed_milli, refused_milli, served_milli } = l;
            let figures = [*passed_milli, *refused_milli, *served_milli];
            if figures.iter().any(|f| *f < 0) {
                return Err(Error::Invalid(format!("use of shop {shop}: must not be negative")));
            }
            let mut line = args![&b.instance, b.epoch_ms, b.seq, shop, plan, class];
            line.extend(figures.map(Value::Int));
            tx.execute(sql::LEDGER_NEW, line).await?;
            let mut total = args![shop, plan, class, hour_ms];
            total.extend(figures.map(Value::Int));
            tx.execute(sql::TOTAL_ADD, total).await?;
        }
    }
    Ok(Reply::Stored(stored))
}
