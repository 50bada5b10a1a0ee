//! What can be done, written once for both databases. Each is one transaction, and safe to be done again: batches and
//! changes carry numbers of their own, by which a second try after a lost answer is known.

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

/// A value in a row or a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A whole number.
    Int(i64),
    /// Text.
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

/// A row of an answer.
#[derive(Debug, Clone, Default)]
pub struct Row(pub Vec<Value>);

impl Row {
    pub(crate) fn int(&self, k: usize) -> Result<i64, Error> {
        match self.0.get(k) {
            Some(Value::Int(n)) => Ok(*n),
            other => Err(Error::Corrupt(format!("column {k} is no number: {other:?}"))),
        }
    }

    pub(crate) fn text(&self, k: usize) -> Result<String, Error> {
        match self.0.get(k) {
            Some(Value::Text(text)) => Ok(text.clone()),
            other => Err(Error::Corrupt(format!("column {k} is no text: {other:?}"))),
        }
    }
}

/// A transaction that is open.
pub trait Tx: Send {
    /// Rows of a statement.
    fn query(
        &mut self,
        sql: &'static str,
        args: Vec<Value>,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;
    /// How many rows a statement changed.
    fn execute(
        &mut self,
        sql: &'static str,
        args: Vec<Value>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;
}

macro_rules! args {
    ($($value:expr),* $(,)?) => { vec![$(Value::from($value)),*] };
}

/// Something to be done.
#[derive(Debug, Clone)]
pub enum Op {
    /// All that gatekeepers are to know.
    Load,
    /// Sets a plan, on top of the change's base.
    SetPlan(Plan, Change),
    /// Sets a shop.
    SetShop(Shop, Change),
    /// Reads a shop.
    Shop(String),
    /// Sets an override.
    SetOverride(Override, Change),
    /// Lands batches of use, each once.
    Append {
        /// The batches.
        batches: Vec<UsageBatch>,
        /// When, UTC ms.
        now_ms: i64,
    },
    /// Notes gaps.
    Gap(UsageGap),
    /// Reads the gaps.
    Gaps,
    /// Keeps what stores hold.
    SaveLevels {
        /// Whose.
        instance: String,
        /// What they hold.
        levels: Vec<TokenLevel>,
    },
    /// Reads what an instance's stores held, if it is not older than this.
    Levels {
        /// Whose.
        instance: String,
        /// UTC ms.
        since_ms: i64,
    },
    /// Forgets what stores held before this.
    ForgetLevels {
        /// UTC ms.
        before_ms: i64,
    },
    /// Reads use.
    Totals {
        /// Whose; empty is all.
        shop: String,
        /// From this hour on, UTC ms.
        from_ms: i64,
        /// Before this one.
        to_ms: i64,
        /// So many rows at the most.
        most: i64,
    },
    /// The newest batch of a life: its number, its end, whether it was the last; and how many have landed.
    Watermark {
        /// Whose.
        instance: String,
        /// Which life.
        epoch_ms: i64,
    },
    /// An instance was seen.
    Seen {
        /// Which.
        name: String,
        /// Where.
        host: String,
        /// Its life.
        epoch_ms: i64,
        /// When, UTC ms.
        now_ms: i64,
        /// The revision that it runs.
        revision: i64,
    },
    /// Reads the instances: name, host, life, when seen, revision.
    Instances,
    /// Reads the latest of the audit trail.
    Audit(i64),
    /// Publishes the plans whose time has come, where no council says who does: any agent may, and it is done once.
    PublishDue {
        /// When, UTC ms.
        now_ms: i64,
    },
    /// Something on behalf of the fleet, which only a live lease can ask for.
    ForFleet {
        /// The proof.
        fence: Fence,
        /// What.
        work: FleetWork,
        /// When, UTC ms.
        now_ms: i64,
    },
    /// Reads where the history begins and ends.
    HistoryEnds,
    /// Reads rows of the history after a number, so many at the most; and where it begins.
    History {
        /// The number.
        after: i64,
        /// Rows.
        most: i64,
    },
    /// Reads units by the plans' revision.
    UseByRevision,
    /// Reads the parts of the export.
    Exports,
    /// Reads use by day, so many rows at the most: with what is exported of it.
    Days(i64),
}

impl Op {
    /// Whether others are to be told.
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

/// What came of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Done.
    Done,
    /// Done, as this revision.
    Revision(i64),
    /// All that gatekeepers are to know.
    Snapshot(Snapshot),
    /// A shop.
    Shop(Option<Versioned<Shop>>),
    /// For each batch, whether it landed now; else it had before.
    Stored(Vec<bool>),
    /// Gaps.
    Gaps(Vec<UsageGap>),
    /// Levels.
    Levels(Vec<TokenLevel>),
    /// Use.
    Totals(Vec<UsageTotal>),
    /// The newest batch: number, end of its period, whether it was the last of its life; and how many there are.
    Watermark(Option<(i64, i64, bool)>, i64),
    /// Instances: name, host, life, when seen, revision.
    Instances(Vec<(String, String, i64, i64, i64)>),
    /// The audit trail, newest first.
    Audit(Vec<AuditEntry>),
    /// Work for the fleet: how much was done.
    Affected(u64),
    /// Where the history begins and ends: number and digest of the row before its first, and of its last.
    HistoryEnds((i64, String), (i64, String)),
    /// Rows of the history, and where it begins.
    History(Vec<HistoryRow>, (i64, String)),
    /// Units by the plans' revision.
    Revisions(Vec<RevisionUse>),
    /// The part of the export that is to be written out.
    Export(Option<Export>),
    /// Parts of the export.
    Exports(Vec<ExportPart>),
    /// Use by day, and how much of it (passed) is exported.
    Days(Vec<(crate::model::ExportRow, i64)>),
}

/// Does it, in a transaction that the caller makes final or gives up.
///
/// # Errors
/// When it can't be done; then the transaction is to be given up.
pub async fn apply<T: Tx>(tx: &mut T, op: &Op) -> Result<Reply, Error> {
    match op {
        Op::Load => load(tx).await,
        Op::SetPlan(plan, change) => set_plan(tx, plan, change).await,
        Op::SetShop(shop, change) => set_shop(tx, shop, change).await,
        Op::Shop(shop) => Ok(Reply::Shop(shop_of(tx, shop).await?.map(|(kept, _)| kept))),
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
        Op::Totals { shop, from_ms, to_ms, most } => {
            let rows = tx.query(sql::TOTALS, args![shop, *from_ms, *to_ms, *most]).await?;
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
        Op::History { after, most } => {
            let (base, _) = history_ends(tx).await?;
            let rows = tx.query(sql::HISTORY, args![*after, *most]).await?;
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
            let one = |r: &Row| {
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
            Ok(Reply::Revisions(rows.iter().map(one).collect::<Result<_, Error>>()?))
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
        Op::Days(most) => {
            let rows = tx.query(sql::DAYS, args![*most]).await?;
            let day = |r: &Row| Ok((fleet::day_row(r)?, r.int(7)?));
            Ok(Reply::Days(rows.iter().map(day).collect::<Result<_, Error>>()?))
        }
        Op::Instances => {
            let rows = tx.query(sql::INSTANCES, vec![]).await?;
            let one = |r: &Row| Ok((r.text(0)?, r.text(1)?, r.int(2)?, r.int(3)?, r.int(4)?));
            Ok(Reply::Instances(rows.iter().map(one).collect::<Result<_, Error>>()?))
        }
        Op::Audit(most) => {
            let rows = tx.query(sql::AUDIT, args![*most]).await?;
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

/// What is kept, and the change that made it so.
type Found<T> = (Versioned<T>, String);

fn kept<T>(value: T, row: &Row, at: usize) -> Result<Found<T>, Error> {
    let kept = Versioned {
        value,
        revision: row.int(at)?,
        by: row.text(at + 1)?,
        at_ms: row.int(at + 2)?,
        why: row.text(at + 3)?,
    };
    Ok((kept, row.text(at + 4)?))
}

fn plan_of(r: &Row) -> Result<Found<Plan>, Error> {
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
    kept(plan, r, 8)
}

fn override_of(r: &Row) -> Result<Found<Override>, Error> {
    let over = Override { kind: r.text(0)?, subject: r.text(1)?, value: r.text(2)?, until_ms: r.int(3)? };
    kept(over, r, 4)
}

async fn shop_of<T: Tx>(tx: &mut T, shop: &str) -> Result<Option<Found<Shop>>, Error> {
    let rows = tx.query(sql::SHOP, args![shop]).await?;
    let one = |r: &Row| {
        kept(Shop { shop: r.text(0)?, plan: r.text(1)?, first: r.int(2)?, spread: r.int(3)? }, r, 4)
    };
    rows.first().map(one).transpose()
}

async fn load<T: Tx>(tx: &mut T) -> Result<Reply, Error> {
    let head = tx.query(sql::HEAD, vec![]).await?;
    let revision = head.first().ok_or_else(|| Error::Corrupt("no head".into()))?.int(0)?;
    let plans = tx.query(sql::PLANS, vec![]).await?;
    let overrides = tx.query(sql::OVERRIDES, vec![]).await?;
    let (published, published_revision) = (publish::published(tx).await?, publish::revision(tx).await?);
    let fences = tx.query(sql::FENCES, vec![]).await?;
    let standing = |r: &Row| {
        Ok(StandingFence { duty: r.text(0)?, epoch: r.int(1)?, owner: r.text(2)?, at_ms: r.int(3)? })
    };
    Ok(Reply::Snapshot(Snapshot {
        revision,
        plans: plans.iter().map(|r| plan_of(r).map(|f| f.0)).collect::<Result<_, _>>()?,
        overrides: overrides.iter().map(|r| override_of(r).map(|f| f.0)).collect::<Result<_, _>>()?,
        published,
        published_revision,
        fences: fences.iter().map(standing).collect::<Result<_, Error>>()?,
    }))
}

/// Whether a change may go on. One that has landed already (its answer was lost) gives its revision.
fn may<T>(found: Option<&Found<T>>, change: &Change, subject: &str) -> Result<Option<i64>, Error> {
    if change.by.is_empty() || change.id.is_empty() {
        return Err(Error::Invalid("by: who changes it must be told".into()));
    }
    match found {
        Some((kept, id)) if *id == change.id => Ok(Some(kept.revision)),
        Some((kept, _)) if kept.revision != change.base => Err(Error::Conflict {
            subject: subject.to_string(),
            revision: kept.revision,
            by: kept.by.clone(),
            since_ms: kept.at_ms,
        }),
        None if change.base != 0 => {
            Err(Error::Invalid(format!("{subject}: there is none at revision {}", change.base)))
        }
        _ => Ok(None),
    }
}

pub(crate) async fn next<T: Tx>(tx: &mut T) -> Result<i64, Error> {
    let rows = tx.query(sql::HEAD_NEXT, vec![]).await?;
    rows.first().ok_or_else(|| Error::Corrupt("no head".into()))?.int(0)
}

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

/// The row was there or not a moment ago, and is no longer so: somebody was faster within this very transaction.
fn raced(subject: &str) -> Error {
    Error::Contended(format!("{subject} was changed meanwhile"))
}

async fn set_plan<T: Tx>(tx: &mut T, plan: &Plan, change: &Change) -> Result<Reply, Error> {
    plan.check()?;
    let rows = tx.query(sql::PLAN, args![&plan.name]).await?;
    let found = rows.first().map(plan_of).transpose()?;
    let subject = format!("plan {}", plan.name);
    if let Some(revision) = may(found.as_ref(), change, &subject)? {
        return Ok(Reply::Revision(revision));
    }
    let revision = next(tx).await?;
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
        return Err(raced(&subject));
    }
    let was = found.map_or(String::new(), |(kept, _)| publish::to_json(&kept.value));
    audit(tx, revision, change, "plan set", &plan.name, (was, publish::to_json(plan))).await?;
    Ok(Reply::Revision(revision))
}

async fn set_shop<T: Tx>(tx: &mut T, shop: &Shop, change: &Change) -> Result<Reply, Error> {
    if shop.shop.len() != 16 || !shop.shop.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Error::Invalid("shop: 16 hex digits".into()));
    }
    if shop.first < 0 || shop.spread < 1 {
        return Err(Error::Invalid("first, spread: from 0, and from 1".into()));
    }
    let found = shop_of(tx, &shop.shop).await?;
    let subject = format!("shop {}", shop.shop);
    if let Some(revision) = may(found.as_ref(), change, &subject)? {
        return Ok(Reply::Revision(revision));
    }
    let revision = next(tx).await?;
    let Change { by, at_ms, why, id, .. } = change;
    let mut args = args![&shop.shop, &shop.plan, shop.first, shop.spread, revision, by, *at_ms, why, id];
    let changed = if found.is_some() {
        args.push(change.base.into());
        tx.execute(sql::SHOP_SET, args).await?
    } else {
        tx.execute(sql::SHOP_NEW, args).await?
    };
    if changed != 1 {
        return Err(raced(&subject));
    }
    let text = |s: &Shop| json!({"plan": s.plan, "first": s.first, "spread": s.spread}).to_string();
    let was = found.map_or(String::new(), |(kept, _)| text(&kept.value));
    audit(tx, revision, change, "shop set", &shop.shop, (was, text(shop))).await?;
    Ok(Reply::Revision(revision))
}

async fn set_override<T: Tx>(tx: &mut T, over: &Override, change: &Change) -> Result<Reply, Error> {
    if !["weight", "out", "pin"].contains(&over.kind.as_str()) {
        return Err(Error::Invalid(format!("kind: {:?}; weight, out or pin", over.kind)));
    }
    if over.subject.is_empty() || over.until_ms <= 0 {
        return Err(Error::Invalid("subject, until_ms: both wanted; nothing stands for ever".into()));
    }
    let rows = tx.query(sql::OVERRIDE, args![&over.kind, &over.subject]).await?;
    let found = rows.first().map(override_of).transpose()?;
    let subject = format!("override {} of {}", over.kind, over.subject);
    if let Some(revision) = may(found.as_ref(), change, &subject)? {
        return Ok(Reply::Revision(revision));
    }
    let revision = next(tx).await?;
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
        return Err(raced(&subject));
    }
    let text = |o: &Override| json!({"value": o.value, "until_ms": o.until_ms}).to_string();
    let was = found.map_or(String::new(), |(kept, _)| text(&kept.value));
    let about = format!("{} {}", over.kind, over.subject);
    audit(tx, revision, change, "override set", &about, (was, text(over))).await?;
    Ok(Reply::Revision(revision))
}

/// A place in the history: number and digest.
type Place = (i64, String);

/// Where the history begins and ends.
pub(crate) async fn history_ends<T: Tx>(tx: &mut T) -> Result<(Place, Place), Error> {
    let base = tx.query(sql::HISTORY_BASE, vec![]).await?;
    let base = base.first().ok_or_else(|| Error::Corrupt("the history's base is gone".into()))?;
    let base = (base.int(0)?, base.text(1)?);
    let head = tx.query(sql::HISTORY_HEAD, vec![]).await?;
    let head = head.first().map(|r| Ok::<_, Error>((r.int(0)?, r.text(1)?))).transpose()?;
    Ok((base.clone(), head.unwrap_or(base)))
}

const HOUR_MS: i64 = 3_600_000;

async fn append<T: Tx>(tx: &mut T, batches: &[UsageBatch], now_ms: i64) -> Result<Reply, Error> {
    let mut landed = Vec::with_capacity(batches.len());
    for b in batches {
        let mut args = args![&b.instance, b.epoch_ms, b.seq, b.from_ms, b.to_ms, i64::from(b.last), now_ms];
        args.push(b.revision.into());
        let new = tx.execute(sql::BATCH_NEW, args).await? == 1;
        landed.push(new);
        if !new {
            continue;
        }
        let hour_ms = b.to_ms.div_euclid(HOUR_MS) * HOUR_MS;
        for l in &b.lines {
            let UsageLine { shop, plan, class, passed_milli, refused_milli, served_milli } = l;
            let figures = [*passed_milli, *refused_milli, *served_milli];
            if figures.iter().any(|f| *f < 0) {
                return Err(Error::Invalid(format!("use of {shop}: below 0")));
            }
            let mut line = args![&b.instance, b.epoch_ms, b.seq, shop, plan, class];
            line.extend(figures.map(Value::Int));
            tx.execute(sql::LEDGER_NEW, line).await?;
            let mut total = args![shop, plan, class, hour_ms];
            total.extend(figures.map(Value::Int));
            tx.execute(sql::TOTAL_ADD, total).await?;
        }
    }
    Ok(Reply::Stored(landed))
}
