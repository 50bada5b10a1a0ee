//! What is kept. Units are whole thousandths, times UTC milliseconds.

/// Who changes something, and why.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Unique to this change: sent again after a lost answer it is known for the same.
    pub id: String,
    /// The revision that it is based on; 0 where there must be none yet.
    pub base: i64,
    /// Who.
    pub by: String,
    /// From where.
    pub source: String,
    /// Why.
    pub why: String,
    /// When, UTC ms.
    pub at_ms: i64,
}

/// A plan's figures.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second, in thousandths.
    pub rate_milli: i64,
    /// The most that a store holds.
    pub burst_milli: i64,
    /// Attempts out at once; 0 is no limit.
    pub open: i64,
    /// The hard ceiling's units a second; 0 is none.
    pub ceiling_rate_milli: i64,
    /// The most that the ceiling's store holds.
    pub ceiling_burst_milli: i64,
    /// How far it may go below nothing.
    pub ceiling_slack_milli: i64,
    /// From when it holds, UTC ms.
    pub from_ms: i64,
}

impl Plan {
    /// Whether the figures can be acted on.
    ///
    /// # Errors
    /// With the field and what it may be.
    pub fn check(&self) -> Result<(), crate::Error> {
        const MOST: i64 = 1_000_000_000_000;
        let bad = |text: String| Err(crate::Error::Invalid(text));
        if self.name.is_empty() || self.name.len() > 64 || self.name.chars().any(char::is_control) {
            return bad("name: 1 to 64 bytes that can be printed".into());
        }
        for (field, value) in [
            ("rate_milli", self.rate_milli),
            ("burst_milli", self.burst_milli),
            ("ceiling_rate_milli", self.ceiling_rate_milli),
            ("ceiling_burst_milli", self.ceiling_burst_milli),
            ("ceiling_slack_milli", self.ceiling_slack_milli),
        ] {
            if !(0..=MOST).contains(&value) {
                return bad(format!("{field}: {value}; 0 to {MOST}"));
            }
        }
        if !(0..=1_000_000).contains(&self.open) {
            return bad(format!("open: {}; 0 to 1000000", self.open));
        }
        if self.rate_milli > 0 && self.burst_milli == 0 {
            return bad("burst_milli: over 0 where there is a rate".into());
        }
        if self.ceiling_rate_milli > 0 && self.ceiling_burst_milli == 0 {
            return bad("ceiling_burst_milli: over 0 where there is a ceiling".into());
        }
        Ok(())
    }
}

/// A shop.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Shop {
    /// 16 hex digits.
    pub shop: String,
    /// Its plan.
    pub plan: String,
    /// The first gatekeeper of its set.
    pub first: i64,
    /// How many the set has.
    pub spread: i64,
}

/// Something that stands over the usual for a time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Override {
    /// `weight`, `out` or `pin`.
    pub kind: String,
    /// What it is about.
    pub subject: String,
    /// Its value.
    pub value: String,
    /// Until when, UTC ms.
    pub until_ms: i64,
}

/// Something kept with its revision and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Versioned<T> {
    /// What.
    pub value: T,
    /// Grows with every change of anything.
    pub revision: i64,
    /// Who set it.
    pub by: String,
    /// When, UTC ms.
    pub at_ms: i64,
    /// Why.
    pub why: String,
}

/// All that gatekeepers are to know, as of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The newest revision of anything.
    pub revision: i64,
    /// The plans.
    pub plans: Vec<Versioned<Plan>>,
    /// The overrides.
    pub overrides: Vec<Versioned<Override>>,
    /// The plans that the owner of the publish duty has had take effect, by name.
    pub published: Vec<Published>,
    /// Grows whenever the set of published plans changes; 0 while none is published.
    pub published_revision: i64,
    /// What stands for each duty.
    pub fences: Vec<StandingFence>,
}

impl Snapshot {
    /// Whether a plan's time has come that is not published yet.
    #[must_use]
    pub fn has_due(&self, now_ms: i64) -> bool {
        let is_published = |plan: &Versioned<Plan>| {
            self.published.iter().any(|p| p.plan.name == plan.value.name && p.revision == plan.revision)
        };
        self.plans.iter().any(|plan| plan.value.from_ms <= now_ms && !is_published(plan))
    }
}

/// A plan in effect: its figures stay until the next ones are published, whatever was set meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Published {
    /// The plan, with the figures of this revision.
    pub plan: Plan,
    /// The revision at which it was set.
    pub revision: i64,
}

/// The highest epoch that the record has seen of a duty.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StandingFence {
    /// Which duty.
    pub duty: String,
    /// The epoch.
    pub epoch: i64,
    /// Whose it is, as `agent#life`.
    pub owner: String,
    /// Since when, UTC ms.
    pub at_ms: i64,
}

/// A part of the export: its rows never change, whoever writes it out.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Export {
    /// From 1, with none left out.
    pub number: i64,
    /// Its rows.
    pub rows: Vec<ExportRow>,
}

/// Use of a day that came since the part before.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExportRow {
    /// The day's begin, UTC ms.
    pub day_ms: i64,
    /// 16 hex digits.
    pub shop: String,
    /// Its plan.
    pub plan: String,
    /// The class.
    pub class: String,
    /// Units sent on or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused.
    pub refused_milli: i64,
    /// Units served.
    pub served_milli: i64,
}

/// A part of the export as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExportPart {
    /// Its number.
    pub number: i64,
    /// How many rows.
    pub rows: i64,
    /// When it was begun, UTC ms.
    pub made_ms: i64,
    /// Whether it is written out.
    pub done: bool,
    /// The digest of its file.
    pub digest: String,
    /// Under which epoch.
    pub epoch: i64,
}

/// What one shop used of one class in a batch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageLine {
    /// 16 hex digits.
    pub shop: String,
    /// Its plan.
    pub plan: String,
    /// The class.
    pub class: String,
    /// Units sent on or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused.
    pub refused_milli: i64,
    /// Units whose answer was served.
    pub served_milli: i64,
}

/// Use that one life of one gatekeeper reports.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageBatch {
    /// The gatekeeper.
    pub instance: String,
    /// When its life began, UTC ms by its own clock: tells its lives apart.
    pub epoch_ms: i64,
    /// From 1, with no number left out.
    pub seq: i64,
    /// The period, UTC ms.
    pub from_ms: i64,
    /// Its end.
    pub to_ms: i64,
    /// Whether this is the last one of a life that ended in order.
    pub last: bool,
    /// The plans' revision that all of it was decided under; 0 where that was the settings' own.
    pub revision: i64,
    /// What was used.
    pub lines: Vec<UsageLine>,
}

/// Use by shop, plan, class and hour.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageTotal {
    /// 16 hex digits.
    pub shop: String,
    /// Its plan.
    pub plan: String,
    /// The class.
    pub class: String,
    /// The hour's begin, UTC ms.
    pub hour_ms: i64,
    /// Units sent on or granted.
    pub passed_milli: i64,
    /// Units refused.
    pub refused_milli: i64,
    /// Units served.
    pub served_milli: i64,
}

/// Use that nobody knows: a life of a gatekeeper ended without its last word.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageGap {
    /// The gatekeeper.
    pub instance: String,
    /// The life.
    pub epoch_ms: i64,
    /// The last batch that landed; 0 is none.
    pub after_seq: i64,
    /// From when on nothing is known, UTC ms.
    pub from_ms: i64,
    /// When it was seen to be gone.
    pub to_ms: i64,
    /// Why.
    pub why: String,
}

/// What a shop's stores at one gatekeeper held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenLevel {
    /// The shop's key in notes between gatekeepers.
    pub key: i64,
    /// The plan's number at the gatekeeper.
    pub plan: i64,
    /// The store, in thousandths.
    pub store_milli: i64,
    /// The slice of the ceiling.
    pub ceiling_milli: i64,
    /// As of when, UTC ms.
    pub at_ms: i64,
}

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AuditEntry {
    /// When, UTC ms.
    pub at_ms: i64,
    /// Who.
    pub by: String,
    /// From where.
    pub source: String,
    /// What was done.
    pub what: String,
    /// To what.
    pub subject: String,
    /// What it was, as JSON; empty where there was none.
    pub before: String,
    /// What it is.
    pub after: String,
    /// Why.
    pub why: String,
    /// The revision that it made.
    pub revision: i64,
}

/// A row of the fleet's history; what its fields mean, and how rows are chained, `frostvale-audit` says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HistoryRow {
    /// From 1, with none left out.
    pub number: i64,
    /// When it was entered, UTC ms.
    pub at_ms: i64,
    /// The owner's epoch.
    pub epoch: i64,
    /// Whom it is about.
    pub instance: String,
    /// Its life.
    pub life: i64,
    /// What kind of thing.
    pub kind: String,
    /// What it was.
    pub was: String,
    /// What it is.
    pub now_is: String,
    /// How long before its entry it may have happened, in ms.
    pub within_ms: i64,
    /// When the instance told, by its own clock.
    pub told_ms: i64,
    /// The digest of the row before.
    pub prev: String,
    /// Its own.
    pub hash: String,
}

/// Units by the revision of plans that they were decided under.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RevisionUse {
    /// The gatekeeper.
    pub instance: String,
    /// Its life.
    pub epoch_ms: i64,
    /// The revision.
    pub revision: i64,
    /// Units sent on or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused.
    pub refused_milli: i64,
    /// From when, UTC ms by the gatekeeper's clock.
    pub from_ms: i64,
    /// To when.
    pub to_ms: i64,
}
