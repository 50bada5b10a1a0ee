//! The owner's table of what each instance has reported and when it last reported.
//!
//! All decisions use durations of the owner's clock. Times that instances report are only shown to operators.

use crate::applied_versions::{AppliedVersions, KIND_EPOCH_PREFIX, KIND_PLANS, RejectedReport, Version};
use crate::decision::{MAX_ROSTER_ENTRIES, RosterEntry};
use crate::escalation::ExpectedDigest;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Limit of instances in the table.
pub const MAX_INSTANCES: usize = 4096;

/// A change that is recorded as a row of the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryEvent {
    /// The instance that it concerns.
    pub instance: String,
    /// The incarnation of the instance; 0 where it concerns none.
    pub life: u64,
    /// The kind of change: a kind of version, or `life`, `heard`, `told`, `out`, `alarm`, `history`, or
    /// `wanted.` followed by a kind of version.
    pub kind: String,
    /// The value before the change.
    pub was: String,
    /// The value after the change.
    pub now_is: String,
    /// How long before the row was entered the change may have happened, in ms.
    pub within_ms: u64,
    /// When the instance reported it, Unix time in ms by its own clock; 0 where it did not report it itself.
    pub told_ms: u64,
}

/// The state of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Its latest accepted report.
    pub applied: AppliedVersions,
    /// The agent that delivered the report.
    pub agent: String,
    /// When its latest report was made, in ms of the owner's clock.
    pub last_report_at: u64,
    /// Whether its reports were overdue at the last tick.
    pub is_silent: bool,
    /// Since when it reports without interruption or restart, in ms of the owner's clock.
    pub reporting_since: u64,
}

/// Counts of reports since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Reports accepted.
    pub accepted: u64,
    /// Reports that were invalid, of an ended incarnation, or under another instance's name.
    pub rejected: u64,
}

/// Estimates by how much a message was delayed compared with the fastest one of its sender. The clocks of
/// sender and receiver are unrelated, so only differences between messages count. The delay adds to the age
/// of a report, since a message that was held up in transit is old when it arrives.
#[derive(Debug, Clone, Default)]
pub struct DelayTracker {
    /// By sender: its incarnation, the smallest difference of the clocks, and when that was measured.
    fastest: BTreeMap<String, (u64, i64, u64)>,
}

impl DelayTracker {
    /// The delay in ms of a message sent at `sent` (the sender's clock) and received at `now`. The first
    /// message of an incarnation counts as not delayed.
    pub fn delay_ms(&mut self, now: u64, sender: &str, life: u64, sent: u64) -> u64 {
        let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let took = signed(now).saturating_sub(signed(sent));
        if self.fastest.len() >= MAX_INSTANCES && !self.fastest.contains_key(sender) {
            self.fastest.clear();
        }
        let fastest = self.fastest.entry(sender.to_string()).or_insert((life, took, now));
        // The clocks may drift apart by 1%.
        let drift = signed(now.saturating_sub(fastest.2)) / 100;
        if fastest.0 != life || took <= fastest.1 + drift {
            *fastest = (life, took, now);
        }
        u64::try_from(took - fastest.1).unwrap_or(0)
    }
}

/// The reports of all instances.
#[derive(Debug, Clone)]
pub struct AppliedVersionTable {
    settings: Settings,
    instances: BTreeMap<String, InstanceStatus>,
    counts: ReportCounts,
}

impl AppliedVersionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: Settings) -> AppliedVersionTable {
        AppliedVersionTable { settings, instances: BTreeMap::new(), counts: ReportCounts::default() }
    }

    /// Restores the instances of the previous owner's roster. They count as having reported at `now`, so that
    /// each has the full time to report to the new owner before it counts as silent.
    pub fn resume(&mut self, now: u64, roster: &[RosterEntry]) {
        for entry in roster.iter().take(MAX_INSTANCES) {
            let applied = AppliedVersions {
                instance: entry.instance.clone(),
                life: entry.life,
                // The lowest number, so that its next report is not rejected as out of order.
                number: 1,
                me: entry.me,
                gateways: entry.gateways,
                zone: entry.zone.clone(),
                ..AppliedVersions::default()
            };
            if applied.check().is_ok() {
                let known = InstanceStatus {
                    agent: entry.agent.clone(),
                    last_report_at: now,
                    is_silent: false,
                    reporting_since: now,
                    applied,
                };
                self.instances.insert(entry.instance.clone(), known);
            }
        }
    }

    /// Records a report of an instance, delivered by an agent and `age` ms old. Returns the changes.
    ///
    /// # Errors
    /// With the reason if the report is rejected; the table is unchanged then.
    pub fn record_report(
        &mut self,
        now: u64,
        agent: &str,
        applied: AppliedVersions,
        age: u64,
    ) -> Result<Vec<HistoryEvent>, RejectedReport> {
        let result = self.apply_report(now, agent, applied, age);
        match result {
            Ok(_) => self.counts.accepted += 1,
            Err(_) => self.counts.rejected += 1,
        }
        result
    }

    /// See [`AppliedVersionTable::record_report`]; does not count the report.
    fn apply_report(
        &mut self,
        now: u64,
        agent: &str,
        applied: AppliedVersions,
        age: u64,
    ) -> Result<Vec<HistoryEvent>, RejectedReport> {
        applied.check()?;
        if age > self.settings.stale_ms {
            return Err(RejectedReport(format!("age: {age} ms; {} at the most", self.settings.stale_ms)));
        }
        let last_report_at = now.saturating_sub(age);
        let event = |kind: &str, was: String, now_is: String, within_ms: u64| HistoryEvent {
            instance: applied.instance.clone(),
            life: applied.life,
            kind: kind.into(),
            was,
            now_is,
            within_ms,
            told_ms: applied.at_ms,
        };
        let Some(known) = self.instances.get_mut(&applied.instance) else {
            if self.instances.len() >= MAX_INSTANCES {
                return Err(RejectedReport(format!("instance: {MAX_INSTANCES} at the most")));
            }
            let mut events = vec![event("life", String::new(), applied.life.to_string(), age)];
            events.extend(applied.versions.iter().map(|(k, v)| event(k, String::new(), v.to_string(), age)));
            let known = InstanceStatus {
                agent: agent.into(),
                last_report_at,
                is_silent: false,
                reporting_since: now,
                applied,
            };
            self.instances.insert(known.applied.instance.clone(), known);
            return Ok(events);
        };
        let is_fresh = now.saturating_sub(known.last_report_at) <= self.settings.stale_ms;
        if known.agent != agent && is_fresh && known.applied.life == applied.life {
            return Err(RejectedReport(format!(
                "instance: {} is heard through {}",
                applied.instance, known.agent
            )));
        }
        if applied.life < known.applied.life {
            return Err(RejectedReport(format!(
                "life: {} has ended; {} is known",
                applied.life, known.applied.life
            )));
        }
        let is_same_life = applied.life == known.applied.life;
        if is_same_life && applied.number < known.applied.number {
            return Err(RejectedReport(format!(
                "number: {} was overtaken by {}",
                applied.number, known.applied.number
            )));
        }
        let is_restored = known.applied.versions.is_empty();
        if is_same_life
            && !is_restored
            && applied.number == known.applied.number
            && applied.versions != known.applied.versions
        {
            return Err(RejectedReport(format!(
                "number: two words of {} under {}",
                applied.instance, applied.number
            )));
        }
        // These revisions never decrease within an incarnation.
        let is_monotonic = |kind: &str| kind == KIND_PLANS || kind.starts_with(KIND_EPOCH_PREFIX);
        let decreased = |(kind, v): (&String, &Version)| {
            let is_lower = applied.versions.get(kind).is_none_or(|n| n.revision < v.revision);
            (is_monotonic(kind) && is_lower).then(|| kind.clone())
        };
        if is_same_life && let Some(kind) = known.applied.versions.iter().find_map(decreased) {
            return Err(RejectedReport(format!("versions.{kind}: it went back within a life")));
        }
        let within_ms = now.saturating_sub(known.last_report_at);
        let mut events = Vec::new();
        if !is_same_life {
            events.push(event("life", known.applied.life.to_string(), applied.life.to_string(), within_ms));
        }
        let mut kinds: Vec<&String> = known.applied.versions.keys().chain(applied.versions.keys()).collect();
        kinds.sort();
        kinds.dedup();
        for kind in kinds {
            let (was, now_is) = (known.applied.versions.get(kind), applied.versions.get(kind));
            if was != now_is || !is_same_life {
                let text = |v: Option<&Version>| v.map_or(String::new(), Version::to_string);
                events.push(event(kind, text(was), text(now_is), within_ms));
            }
        }
        if known.is_silent {
            events.push(event("heard", "silent".into(), format!("through {agent}"), within_ms));
            (known.is_silent, known.reporting_since) = (false, now);
        }
        if !is_same_life {
            known.reporting_since = now;
        }
        known.last_report_at = known.last_report_at.max(last_report_at);
        known.agent = agent.into();
        known.applied = applied;
        Ok(events)
    }

    /// Marks instances as silent whose reports are overdue, and removes those that were silent for
    /// `forget_ms` unless `keep` says to retain them. Returns the changes.
    pub fn tick(&mut self, now: u64, keep: impl Fn(&str) -> bool) -> Vec<HistoryEvent> {
        let mut events = Vec::new();
        let event = |known: &InstanceStatus, now_is: &str| HistoryEvent {
            instance: known.applied.instance.clone(),
            life: known.applied.life,
            kind: "heard".into(),
            was: format!("through {}", known.agent),
            now_is: now_is.into(),
            within_ms: now.saturating_sub(known.last_report_at),
            told_ms: 0,
        };
        for known in self.instances.values_mut() {
            if !known.is_silent && now.saturating_sub(known.last_report_at) > self.settings.stale_ms {
                known.is_silent = true;
                events.push(event(known, "silent"));
            }
        }
        let forget_ms = self.settings.forget_ms;
        self.instances.retain(|name, known| {
            let is_retained = now.saturating_sub(known.last_report_at) <= forget_ms || keep(name);
            if !is_retained {
                events.push(event(known, "forgotten"));
            }
            is_retained
        });
        events
    }

    /// The roster that a later owner restores with [`AppliedVersionTable::resume`]: the first
    /// [`MAX_ROSTER_ENTRIES`] instances by name.
    #[must_use]
    pub fn roster(&self) -> Vec<RosterEntry> {
        let entry = |(instance, k): (&String, &InstanceStatus)| RosterEntry {
            instance: instance.clone(),
            agent: k.agent.clone(),
            zone: k.applied.zone.clone(),
            me: k.applied.me,
            gateways: k.applied.gateways,
            life: k.applied.life,
        };
        self.instances.iter().take(MAX_ROSTER_ENTRIES).map(entry).collect()
    }

    /// All instances, by name.
    pub fn instances(&self) -> impl Iterator<Item = (&String, &InstanceStatus)> {
        self.instances.iter()
    }

    /// One instance.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&InstanceStatus> {
        self.instances.get(instance)
    }

    /// The counts of accepted and rejected reports.
    #[must_use]
    pub fn counts(&self) -> ReportCounts {
        self.counts
    }

    /// The digest that most instances in service report for this revision of a kind.
    ///
    /// It is undecided when two digests are reported equally often, or when no instance in service reports
    /// one while some of them are silent or have not reported yet. Fenced-off instances count only if all
    /// instances in service report and none of them is at this revision.
    #[must_use]
    pub fn majority_digest(
        &self,
        kind: &str,
        revision: u64,
        is_out: impl Fn(&str) -> bool,
    ) -> ExpectedDigest {
        let serves = |(name, _): &(&String, &InstanceStatus)| !is_out(name);
        let reported_digest = |known: &InstanceStatus| {
            let version =
                known.applied.versions.get(kind).filter(|v| v.revision == revision && !known.is_silent)?;
            Some(version.digest.clone())
        };
        let in_service: Vec<String> =
            self.instances.iter().filter(serves).filter_map(|(_, k)| reported_digest(k)).collect();
        if !in_service.is_empty() {
            return most_frequent_digest(&in_service);
        }
        let has_no_report = |known: &InstanceStatus| known.is_silent || known.applied.versions.is_empty();
        if self.instances.iter().filter(serves).any(|(_, k)| has_no_report(k)) {
            return ExpectedDigest::Undecided;
        }
        most_frequent_digest(&self.instances.values().filter_map(reported_digest).collect::<Vec<_>>())
    }
}

/// The digest that occurs most often, if exactly one does.
fn most_frequent_digest(digests: &[String]) -> ExpectedDigest {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for digest in digests {
        *counts.entry(digest).or_default() += 1;
    }
    let highest = counts.values().copied().max();
    let mut most_frequent = counts.iter().filter(|(_, n)| Some(**n) == highest);
    match (most_frequent.next(), most_frequent.next()) {
        (Some((digest, _)), None) => ExpectedDigest::Majority((*digest).to_string()),
        _ => ExpectedDigest::Undecided,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn version(revision: u64, letter: &str) -> Version {
        Version { revision, digest: letter.repeat(64) }
    }

    pub(crate) fn applied_versions(
        instance: &str,
        life: u64,
        number: u64,
        plans: Version,
    ) -> AppliedVersions {
        AppliedVersions {
            instance: instance.into(),
            life,
            number,
            me: 0,
            gateways: 9,
            zone: "z0".into(),
            at_ms: 5,
            versions: [(KIND_PLANS.to_string(), plans)].into(),
        }
    }

    fn new_table() -> AppliedVersionTable {
        AppliedVersionTable::new(Settings::default())
    }

    #[test]
    fn record_report_returns_each_change_once_and_per_incarnation() {
        let mut table = new_table();
        let first =
            table.record_report(0, "a1", applied_versions("n1", 7, 1, version(1, "a")), 0).expect("taken");
        assert_eq!(first.iter().map(|e| e.kind.as_str()).collect::<Vec<_>>(), ["life", "plans"]);
        assert_eq!(
            table.record_report(100, "a1", applied_versions("n1", 7, 1, version(1, "a")), 0),
            Ok(vec![])
        );
        let next =
            table.record_report(300, "a1", applied_versions("n1", 7, 2, version(2, "b")), 50).expect("taken");
        assert_eq!(next.len(), 1);
        assert_eq!((next[0].within_ms, next[0].now_is.starts_with("2:bb")), (200, true));
        let again = table
            .record_report(400, "a1", applied_versions("n1", 9, 1, version(1, "a")), 0)
            .expect("a new incarnation may go back");
        assert_eq!(again.len(), 2);
    }

    #[test]
    fn rejected_reports_change_nothing_and_are_counted() {
        let mut table = new_table();
        table.record_report(0, "a1", applied_versions("n1", 7, 5, version(5, "a")), 0).expect("taken");
        let before = table.get("n1").cloned();
        for (agent, report, age, expected) in [
            ("a1", applied_versions("n1", 6, 9, version(6, "a")), 0, "life: 6 has ended"),
            ("a1", applied_versions("n1", 7, 4, version(5, "a")), 0, "number: 4 was overtaken"),
            ("a1", applied_versions("n1", 7, 5, version(5, "b")), 0, "number: two words"),
            ("a1", applied_versions("n1", 7, 6, version(4, "b")), 0, "versions.plans: it went back"),
            ("a2", applied_versions("n1", 7, 6, version(6, "a")), 100, "instance: n1 is heard through a1"),
            ("a1", applied_versions("n1", 7, 6, version(6, "a")), 9000, "age: 9000"),
            ("a1", applied_versions("", 7, 6, version(6, "a")), 0, "instance:"),
        ] {
            let rejected = table.record_report(10, agent, report, age).expect_err(expected);
            assert!(rejected.0.starts_with(expected), "{expected}: {rejected}");
        }
        assert_eq!(table.get("n1").cloned(), before);
        assert_eq!(table.counts(), ReportCounts { accepted: 1, rejected: 7 });
    }

    #[test]
    fn tick_marks_silent_instance_once_and_forgets_it_unless_kept() {
        let mut table = new_table();
        table.record_report(0, "a1", applied_versions("n1", 7, 1, version(1, "a")), 0).expect("taken");
        assert_eq!(table.tick(3000, |_| false), vec![]);
        let silent = table.tick(3001, |_| false);
        assert_eq!((silent.len(), silent[0].now_is.as_str(), silent[0].within_ms), (1, "silent", 3001));
        assert_eq!(table.tick(9000, |_| false), vec![], "returned once");
        let resumed = table
            .record_report(9500, "a2", applied_versions("n1", 7, 1, version(1, "a")), 0)
            .expect("through another agent");
        assert_eq!((resumed[0].kind.as_str(), resumed[0].within_ms), ("heard", 9500));
        // A silent instance is forgotten, but not if it is kept because it is fenced off.
        assert_eq!(table.clone().tick(90_000_000, |_| true).len(), 1);
        assert_eq!(table.tick(90_000_000, |_| false).len(), 2);
        assert!(table.get("n1").is_none());
    }

    #[test]
    fn delay_tracker_measures_delay_against_fastest_message() {
        let mut tracker = DelayTracker::default();
        assert_eq!(tracker.delay_ms(1_000, "a1", 1, 500_000), 0);
        assert_eq!(tracker.delay_ms(2_000, "a1", 1, 501_000), 0);
        assert_eq!(tracker.delay_ms(32_000, "a1", 1, 502_000), 29_000, "held for 29 s");
        assert_eq!(tracker.delay_ms(33_000, "a1", 2, 5), 0, "a new incarnation has another clock");
    }

    #[test]
    fn new_owner_marks_restored_instance_silent_when_it_does_not_report() {
        let mut table = new_table();
        table.record_report(0, "a1", applied_versions("n1", 7, 3, version(1, "a")), 0).expect("taken");
        table.record_report(0, "a1", applied_versions("n2", 7, 3, version(1, "a")), 0).expect("taken");
        let mut next = AppliedVersionTable::new(Settings::default());
        next.resume(50_000, &table.roster());
        next.record_report(50_100, "a1", applied_versions("n1", 7, 3, version(1, "a")), 0)
            .expect("reported to the new owner");
        let silent = next.tick(53_100, |_| true);
        assert_eq!(silent.iter().map(|e| e.instance.as_str()).collect::<Vec<_>>(), ["n2"]);
    }

    #[test]
    fn majority_digest_exposes_wrong_content_at_right_revision() {
        let mut table = new_table();
        for (name, letter) in [("n1", "a"), ("n2", "b"), ("n3", "b")] {
            table.record_report(0, "a1", applied_versions(name, 7, 1, version(2, letter)), 0).expect("taken");
        }
        let all_serve = |_: &str| false;
        assert_eq!(table.majority_digest(KIND_PLANS, 2, all_serve), ExpectedDigest::Majority("b".repeat(64)));
        table.record_report(0, "a1", applied_versions("n4", 7, 1, version(2, "a")), 0).expect("taken");
        assert_eq!(
            table.majority_digest(KIND_PLANS, 2, all_serve),
            ExpectedDigest::Undecided,
            "two against two: the reports do not show which is wrong"
        );
        let n4_is_out = |name: &str| name == "n4";
        assert_eq!(
            table.majority_digest(KIND_PLANS, 2, n4_is_out),
            ExpectedDigest::Majority("b".repeat(64)),
            "a fenced-off instance does not count"
        );
    }

    #[test]
    fn majority_digest_ignores_fenced_off_instance_until_others_report() {
        let mut table = AppliedVersionTable::new(Settings::default());
        let roster_entry = |name: &str| RosterEntry {
            instance: name.into(),
            agent: "a1".into(),
            zone: "z".into(),
            me: 0,
            gateways: 9,
            life: 7,
        };
        table.resume(0, &[roster_entry("n1"), roster_entry("n2")]);
        table.record_report(0, "a1", applied_versions("n2", 7, 2, version(2, "a")), 0).expect("taken");
        let n2_is_out = |name: &str| name == "n2";
        assert_eq!(table.majority_digest(KIND_PLANS, 2, n2_is_out), ExpectedDigest::Undecided);
        table.record_report(0, "a1", applied_versions("n1", 7, 2, version(1, "b")), 0).expect("taken");
        assert_eq!(
            table.majority_digest(KIND_PLANS, 2, n2_is_out),
            ExpectedDigest::Majority("a".repeat(64)),
            "no other instance is at this revision"
        );
    }
}
