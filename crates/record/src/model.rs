//! The stored records. Units are whole thousandths, times are UTC milliseconds.

/// Who makes a change, and why.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Unique to this change: a change that is sent again after a lost answer is recognised by it.
    pub id: String,
    /// The revision that the change is based on; 0 if there is no entry yet.
    pub base: i64,
    /// Who makes the change.
    pub by: String,
    /// Where the change comes from.
    pub source: String,
    /// Why the change is made.
    pub why: String,
    /// When it is made, UTC ms.
    pub at_ms: i64,
}

/// A plan with its limits.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// The name of the plan, 1 to 64 printable bytes.
    pub name: String,
    /// Refill rate of the quota, thousandths of a unit per second.
    pub rate_milli: i64,
    /// Capacity of the quota's token bucket, in thousandths.
    pub burst_milli: i64,
    /// The maximum number of attempts in flight; 0 is no limit.
    pub open: i64,
    /// Refill rate of the hard ceiling, thousandths of a unit per second; 0 is no ceiling.
    pub ceiling_rate_milli: i64,
    /// Capacity of the ceiling's token bucket, in thousandths.
    pub ceiling_burst_milli: i64,
    /// How far the ceiling's token bucket may go below zero, in thousandths.
    pub ceiling_slack_milli: i64,
    /// When the plan takes effect, UTC ms.
    pub from_ms: i64,
}

impl Plan {
    /// Validates the limits.
    ///
    /// # Errors
    /// Names the field and the values that it accepts.
    pub fn check(&self) -> Result<(), crate::Error> {
        const MAX_MILLI: i64 = 1_000_000_000_000;
        let invalid = |text: String| Err(crate::Error::Invalid(text));
        if self.name.is_empty() || self.name.len() > 64 || self.name.chars().any(char::is_control) {
            return invalid("name: must be 1 to 64 printable bytes".into());
        }
        for (field, value) in [
            ("rate_milli", self.rate_milli),
            ("burst_milli", self.burst_milli),
            ("ceiling_rate_milli", self.ceiling_rate_milli),
            ("ceiling_burst_milli", self.ceiling_burst_milli),
            ("ceiling_slack_milli", self.ceiling_slack_milli),
        ] {
            if !(0..=MAX_MILLI).contains(&value) {
                return invalid(format!("{field}: {value} is out of range: 0 to {MAX_MILLI}"));
            }
        }
        if !(0..=1_000_000).contains(&self.open) {
            return invalid(format!("open: {} is out of range: 0 to 1000000", self.open));
        }
        if self.rate_milli > 0 && self.burst_milli == 0 {
            return invalid("burst_milli: must be over 0 if rate_milli is over 0".into());
        }
        if self.ceiling_rate_milli > 0 && self.ceiling_burst_milli == 0 {
            return invalid("ceiling_burst_milli: must be over 0 if ceiling_rate_milli is over 0".into());
        }
        Ok(())
    }
}

/// A shop's plan and its set of gatekeepers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Shop {
    /// The shop, 16 hex digits.
    pub shop: String,
    /// The name of its plan.
    pub plan: String,
    /// Index of the first gatekeeper of its set.
    pub first: i64,
    /// The number of gatekeepers in its set.
    pub spread: i64,
}

/// An operator's override of what applies otherwise, for a limited time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Override {
    /// `weight`, `out` or `pin`.
    pub kind: String,
    /// What is overridden.
    pub subject: String,
    /// The value that applies instead.
    pub value: String,
    /// When the override ends, UTC ms.
    pub until_ms: i64,
}

/// A stored value with its revision and its last change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The revision of its last change; one counter is shared by all entries.
    pub revision: i64,
    /// Who made that change.
    pub by: String,
    /// When it was made, UTC ms.
    pub at_ms: i64,
    /// Why it was made.
    pub why: String,
}

/// All data that gatekeepers need, as of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The newest revision of any entry.
    pub revision: i64,
    /// The plans as they were last set.
    pub plans: Vec<Versioned<Plan>>,
    /// The overrides.
    pub overrides: Vec<Versioned<Override>>,
    /// The plans in effect, which the owner of the publish duty has published, by name.
    pub published: Vec<Published>,
    /// Increases whenever the set of published plans changes; 0 while none is published.
    pub published_revision: i64,
    /// The highest epoch of each duty.
    pub fences: Vec<StandingFence>,
}

impl Snapshot {
    /// Whether a plan is due that is not published yet.
    #[must_use]
    pub fn has_due(&self, now_ms: i64) -> bool {
        let is_published = |plan: &Versioned<Plan>| {
            self.published.iter().any(|p| p.plan.name == plan.value.name && p.revision == plan.revision)
        };
        self.plans.iter().any(|plan| plan.value.from_ms <= now_ms && !is_published(plan))
    }
}

/// A plan in effect: its limits apply until the next ones are published, whatever was set in the meantime.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Published {
    /// The plan, with its limits as of this revision.
    pub plan: Plan,
    /// The revision at which they were set.
    pub revision: i64,
}

/// The highest epoch that the record has seen of a duty.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StandingFence {
    /// The duty.
    pub duty: String,
    /// The epoch.
    pub epoch: i64,
    /// The owner with that epoch, as `agent#life`.
    pub owner: String,
    /// When the owner last passed the fence, UTC ms.
    pub at_ms: i64,
}

/// A part of the export: its rows never change, whichever agent writes it out.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Export {
    /// The number of the part, from 1 without gaps.
    pub number: i64,
    /// The rows of the part.
    pub rows: Vec<ExportRow>,
}

/// Use of one day that was added since the previous part.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExportRow {
    /// The start of the day, UTC ms.
    pub day_ms: i64,
    /// The shop, 16 hex digits.
    pub shop: String,
    /// The name of its plan.
    pub plan: String,
    /// The request class.
    pub class: String,
    /// Units forwarded or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused, in thousandths.
    pub refused_milli: i64,
    /// Units whose answer was served, in thousandths.
    pub served_milli: i64,
}

/// The state of a part of the export.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExportPart {
    /// The number of the part.
    pub number: i64,
    /// The number of its rows.
    pub rows: i64,
    /// When it was prepared, UTC ms.
    pub made_ms: i64,
    /// Whether it is written out.
    pub done: bool,
    /// The digest of its file; empty until it is written out.
    pub digest: String,
    /// The epoch of the owner that wrote it out.
    pub epoch: i64,
}

/// What one shop used of one class in a batch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageLine {
    /// The shop, 16 hex digits.
    pub shop: String,
    /// The name of its plan.
    pub plan: String,
    /// The request class.
    pub class: String,
    /// Units forwarded or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused, in thousandths.
    pub refused_milli: i64,
    /// Units whose answer was served, in thousandths.
    pub served_milli: i64,
}

/// Use reported by one life of one gatekeeper.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageBatch {
    /// The gatekeeper.
    pub instance: String,
    /// When the gatekeeper's life began, UTC ms by its own clock: distinguishes its lives.
    pub epoch_ms: i64,
    /// The number of the batch, from 1 without gaps.
    pub seq: i64,
    /// The start of the period, UTC ms.
    pub from_ms: i64,
    /// The end of the period, UTC ms.
    pub to_ms: i64,
    /// Whether this is the final usage report of a life that was shut down gracefully.
    pub last: bool,
    /// The revision of the plans under which all of it was decided; 0 if the plans came from the settings.
    pub revision: i64,
    /// The use by shop, plan and class.
    pub lines: Vec<UsageLine>,
}

/// Use by shop, plan, class and hour.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageTotal {
    /// The shop, 16 hex digits.
    pub shop: String,
    /// The name of its plan.
    pub plan: String,
    /// The request class.
    pub class: String,
    /// The start of the hour, UTC ms.
    pub hour_ms: i64,
    /// Units forwarded or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused, in thousandths.
    pub refused_milli: i64,
    /// Units whose answer was served, in thousandths.
    pub served_milli: i64,
}

/// Unreported usage: a life of a gatekeeper ended without a final usage report.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageGap {
    /// The gatekeeper.
    pub instance: String,
    /// The life: when it began, UTC ms.
    pub epoch_ms: i64,
    /// The number of the last batch that was stored; 0 is none.
    pub after_seq: i64,
    /// The end of the last reported period, UTC ms.
    pub from_ms: i64,
    /// When the life was found to have ended, UTC ms.
    pub to_ms: i64,
    /// Why the gap was recorded.
    pub why: String,
}

/// The levels of a shop's token buckets at one gatekeeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenLevel {
    /// The shop's key in messages between gatekeepers.
    pub key: i64,
    /// The key of the plan, which stands for its name; in rows of earlier versions its index at the gatekeeper.
    pub plan: i64,
    /// The level of the quota's token bucket, in thousandths.
    pub store_milli: i64,
    /// The level of the gatekeeper's local share of the ceiling, in thousandths.
    pub ceiling_milli: i64,
    /// The time of the levels, UTC ms.
    pub at_ms: i64,
}

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AuditEntry {
    /// When the change was made, UTC ms.
    pub at_ms: i64,
    /// Who made it.
    pub by: String,
    /// Where it came from.
    pub source: String,
    /// The kind of change, such as `plan set`.
    pub what: String,
    /// What was changed.
    pub subject: String,
    /// The former value as JSON; empty if there was none.
    pub before: String,
    /// The new value as JSON.
    pub after: String,
    /// Why the change was made.
    pub why: String,
    /// The revision that the change made.
    pub revision: i64,
}

/// A row of the fleet's history. `frostvale-audit` documents the fields and the hash chain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HistoryRow {
    /// The number of the row, from 1 without gaps.
    pub number: i64,
    /// When it was entered, UTC ms.
    pub at_ms: i64,
    /// The epoch of the owner that entered it.
    pub epoch: i64,
    /// The instance that the row is about.
    pub instance: String,
    /// The life of that instance.
    pub life: i64,
    /// The kind of event.
    pub kind: String,
    /// The former value.
    pub was: String,
    /// The new value.
    pub now_is: String,
    /// How long before its entry the event may have happened, in ms.
    pub within_ms: i64,
    /// When the instance reported the event, by the instance's own clock.
    pub told_ms: i64,
    /// The hash of the previous row.
    pub prev: String,
    /// The hash of this row.
    pub hash: String,
}

/// Units by the revision of the plans under which they were decided.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RevisionUse {
    /// The gatekeeper.
    pub instance: String,
    /// The life: when it began, UTC ms.
    pub epoch_ms: i64,
    /// The revision of the plans.
    pub revision: i64,
    /// Units forwarded or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused, in thousandths.
    pub refused_milli: i64,
    /// The start of the first period, UTC ms by the gatekeeper's clock.
    pub from_ms: i64,
    /// The end of the last period.
    pub to_ms: i64,
}
