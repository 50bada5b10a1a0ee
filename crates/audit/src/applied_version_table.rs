//! What is known of whom. Only durations of the owner's own clock count; what instances say of the time is for people.

use crate::applied_versions::{AppliedVersions, KIND_EPOCH_PREFIX, KIND_PLANS, RejectedReport, Version};
use crate::decision::{MAX_ROSTER_ENTRIES, RosterEntry};
use crate::escalation::ExpectedDigest;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Instances that are remembered.
pub const MAX_INSTANCES: usize = 4096;

/// Something that is worth a row in the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryEvent {
    /// Whom it is about.
    pub instance: String,
    /// Its life; 0 where it is about no life.
    pub life: u64,
    /// What kind of thing: a kind of version, or `life`, `heard`, `out`, `wanted`.
    pub kind: String,
    /// What it was and what it is.
    pub was: String,
    /// See `was`.
    pub now_is: String,
    /// How long before this was entered the change may have happened, in ms.
    pub within_ms: u64,
    /// When the instance told, Unix time in ms by its own clock; 0 where it did not.
    pub told_ms: u64,
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// What it told last.
    pub applied: AppliedVersions,
    /// The agent that it was heard through.
    pub agent: String,
    /// When it was last heard, by the owner's clock.
    pub last_report_at: u64,
    /// Whether it was silent when it was last looked at.
    pub is_silent: bool,
    /// Since when it is well heard again.
    pub reporting_since: u64,
}

/// What came of what was told, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Words taken.
    pub accepted: u64,
    /// Words that can't be, are of a life that ended, or under another's name.
    pub rejected: u64,
}

/// How much longer than the quickest one a message took, by two clocks of which neither is known: what was held on its way is
/// old when it comes.
#[derive(Debug, Clone, Default)]
pub struct DelayTracker {
    /// By sender: its life, the least difference of the clocks, and when that was found.
    ways: BTreeMap<String, (u64, i64, u64)>,
}

impl DelayTracker {
    /// By how many ms a message of a sender's life is late.
    pub fn delay_ms(&mut self, now: u64, sender: &str, life: u64, sent: u64) -> u64 {
        let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let took = signed(now).saturating_sub(signed(sent));
        if self.ways.len() >= MAX_INSTANCES && !self.ways.contains_key(sender) {
            self.ways.clear();
        }
        let way = self.ways.entry(sender.to_string()).or_insert((life, took, now));
        // Clocks may run apart by a hundredth.
        let drift = signed(now.saturating_sub(way.2)) / 100;
        if way.0 != life || took <= way.1 + drift {
            *way = (life, took, now);
        }
        u64::try_from(took - way.1).unwrap_or(0)
    }
}

/// All instances.
#[derive(Debug, Clone)]
pub struct AppliedVersionTable {
    s: Settings,
    all: BTreeMap<String, InstanceStatus>,
    counts: ReportCounts,
}

impl AppliedVersionTable {
    /// Knows nobody.
    #[must_use]
    pub fn new(s: Settings) -> AppliedVersionTable {
        AppliedVersionTable { s, all: BTreeMap::new(), counts: ReportCounts::default() }
    }

    /// An owner that comes new goes on from what the one before left: it has not heard them itself yet, and gives them time
    /// to be heard.
    pub fn resume(&mut self, now: u64, roster: &[RosterEntry]) {
        for seat in roster.iter().take(MAX_INSTANCES) {
            let applied = AppliedVersions {
                instance: seat.instance.clone(),
                life: seat.life,
                // Whatever it tells next is news.
                number: 1,
                me: seat.me,
                gateways: seat.gateways,
                zone: seat.zone.clone(),
                ..AppliedVersions::default()
            };
            if applied.check().is_ok() {
                let known = InstanceStatus {
                    agent: seat.agent.clone(),
                    last_report_at: now,
                    is_silent: false,
                    reporting_since: now,
                    applied,
                };
                self.all.insert(seat.instance.clone(), known);
            }
        }
    }

    /// What an agent tells of an instance, `age` ms old. Gives what is new.
    ///
    /// # Errors
    /// When it can't be: nothing has changed then.
    pub fn record_report(
        &mut self,
        now: u64,
        agent: &str,
        acts: AppliedVersions,
        age: u64,
    ) -> Result<Vec<HistoryEvent>, RejectedReport> {
        let taken = self.take(now, agent, acts, age);
        match taken {
            Ok(_) => self.counts.accepted += 1,
            Err(_) => self.counts.rejected += 1,
        }
        taken
    }

    fn take(
        &mut self,
        now: u64,
        agent: &str,
        applied: AppliedVersions,
        age: u64,
    ) -> Result<Vec<HistoryEvent>, RejectedReport> {
        applied.check()?;
        if age > self.s.stale_ms {
            return Err(RejectedReport(format!("age: {age} ms; {} at the most", self.s.stale_ms)));
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
        let Some(known) = self.all.get_mut(&applied.instance) else {
            if self.all.len() >= MAX_INSTANCES {
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
            self.all.insert(known.applied.instance.clone(), known);
            return Ok(events);
        };
        let fresh = now.saturating_sub(known.last_report_at) <= self.s.stale_ms;
        if known.agent != agent && fresh && known.applied.life == applied.life {
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
        let same = applied.life == known.applied.life;
        if same && applied.number < known.applied.number {
            return Err(RejectedReport(format!(
                "number: {} was overtaken by {}",
                applied.number, known.applied.number
            )));
        }
        let resumed = known.applied.versions.is_empty();
        if same
            && !resumed
            && applied.number == known.applied.number
            && applied.versions != known.applied.versions
        {
            return Err(RejectedReport(format!(
                "number: two words of {} under {}",
                applied.instance, applied.number
            )));
        }
        // What only grows within a life.
        let grows = |kind: &str| kind == KIND_PLANS || kind.starts_with(KIND_EPOCH_PREFIX);
        let back = |(kind, v): (&String, &Version)| {
            let newer = applied.versions.get(kind).is_none_or(|n| n.revision < v.revision);
            (grows(kind) && newer).then(|| kind.clone())
        };
        if same && let Some(kind) = known.applied.versions.iter().find_map(back) {
            return Err(RejectedReport(format!("versions.{kind}: it went back within a life")));
        }
        let within = now.saturating_sub(known.last_report_at);
        let mut events = Vec::new();
        if !same {
            events.push(event("life", known.applied.life.to_string(), applied.life.to_string(), within));
        }
        let mut kinds: Vec<&String> = known.applied.versions.keys().chain(applied.versions.keys()).collect();
        kinds.sort();
        kinds.dedup();
        for kind in kinds {
            let (was, is) = (known.applied.versions.get(kind), applied.versions.get(kind));
            if was != is || !same {
                let text = |v: Option<&Version>| v.map_or(String::new(), Version::to_string);
                events.push(event(kind, text(was), text(is), within));
            }
        }
        if known.is_silent {
            events.push(event("heard", "silent".into(), format!("through {agent}"), within));
            (known.is_silent, known.reporting_since) = (false, now);
        }
        if !same {
            known.reporting_since = now;
        }
        known.last_report_at = known.last_report_at.max(last_report_at);
        known.agent = agent.into();
        known.applied = applied;
        Ok(events)
    }

    /// Time has passed: who is silent now, and who is forgotten.
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
        for known in self.all.values_mut() {
            if !known.is_silent && now.saturating_sub(known.last_report_at) > self.s.stale_ms {
                known.is_silent = true;
                events.push(event(known, "silent"));
            }
        }
        let forget = self.s.forget_ms;
        self.all.retain(|name, known| {
            let stays = now.saturating_sub(known.last_report_at) <= forget || keep(name);
            if !stays {
                events.push(event(known, "forgotten"));
            }
            stays
        });
        events
    }

    /// The roster, by name.
    #[must_use]
    pub fn roster(&self) -> Vec<RosterEntry> {
        let seat = |(instance, k): (&String, &InstanceStatus)| RosterEntry {
            instance: instance.clone(),
            agent: k.agent.clone(),
            zone: k.applied.zone.clone(),
            me: k.applied.me,
            gateways: k.applied.gateways,
            life: k.applied.life,
        };
        self.all.iter().take(MAX_ROSTER_ENTRIES).map(seat).collect()
    }

    /// All of them, by name.
    pub fn instances(&self) -> impl Iterator<Item = (&String, &InstanceStatus)> {
        self.all.iter()
    }

    /// One of them.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&InstanceStatus> {
        self.all.get(instance)
    }

    /// See [`ReportCounts`].
    #[must_use]
    pub fn counts(&self) -> ReportCounts {
        self.counts
    }

    /// The digest that most of those in service tell who act on this revision of a kind. While some of them are not
    /// heard and none tells one, and where two are told equally often, it can't be said who is wrong. Those that are
    /// shut out are asked only where nobody else can tell.
    #[must_use]
    pub fn majority_digest(
        &self,
        kind: &str,
        revision: u64,
        is_out: impl Fn(&str) -> bool,
    ) -> ExpectedDigest {
        let serves = |(name, _): &(&String, &InstanceStatus)| !is_out(name);
        let told = |known: &InstanceStatus| {
            let version =
                known.applied.versions.get(kind).filter(|v| v.revision == revision && !known.is_silent)?;
            Some(version.digest.clone())
        };
        let in_service: Vec<String> = self.all.iter().filter(serves).filter_map(|(_, k)| told(k)).collect();
        if !in_service.is_empty() {
            return most_told(&in_service);
        }
        let unheard = |known: &InstanceStatus| known.is_silent || known.applied.versions.is_empty();
        if self.all.iter().filter(serves).any(|(_, k)| unheard(k)) {
            return ExpectedDigest::Undecided;
        }
        most_told(&self.all.values().filter_map(told).collect::<Vec<_>>())
    }
}

/// The digest that is told most often, if there is one such.
fn most_told(digests: &[String]) -> ExpectedDigest {
    let mut by: BTreeMap<&str, usize> = BTreeMap::new();
    for digest in digests {
        *by.entry(digest).or_default() += 1;
    }
    let most = by.values().copied().max();
    let mut first = by.iter().filter(|(_, n)| Some(**n) == most);
    match (first.next(), first.next()) {
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

    pub(crate) fn acts(instance: &str, life: u64, number: u64, plans: Version) -> AppliedVersions {
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

    fn book() -> AppliedVersionTable {
        AppliedVersionTable::new(Settings::default())
    }

    #[test]
    fn changes_are_told_once_and_lives_apart() {
        let mut book = book();
        let first = book.record_report(0, "a1", acts("n1", 7, 1, version(1, "a")), 0).expect("taken");
        assert_eq!(first.iter().map(|e| e.kind.as_str()).collect::<Vec<_>>(), ["life", "plans"]);
        assert_eq!(book.record_report(100, "a1", acts("n1", 7, 1, version(1, "a")), 0), Ok(vec![]));
        let next = book.record_report(300, "a1", acts("n1", 7, 2, version(2, "b")), 50).expect("taken");
        assert_eq!(next.len(), 1);
        assert_eq!((next[0].within_ms, next[0].now_is.starts_with("2:bb")), (200, true));
        let again = book
            .record_report(400, "a1", acts("n1", 9, 1, version(1, "a")), 0)
            .expect("a new life may go back");
        assert_eq!(again.len(), 2);
    }

    #[test]
    fn words_that_cannot_be_change_nothing_and_are_counted() {
        let mut book = book();
        book.record_report(0, "a1", acts("n1", 7, 5, version(5, "a")), 0).expect("taken");
        let before = book.get("n1").cloned();
        for (agent, word, age, what) in [
            ("a1", acts("n1", 6, 9, version(6, "a")), 0, "life: 6 has ended"),
            ("a1", acts("n1", 7, 4, version(5, "a")), 0, "number: 4 was overtaken"),
            ("a1", acts("n1", 7, 5, version(5, "b")), 0, "number: two words"),
            ("a1", acts("n1", 7, 6, version(4, "b")), 0, "versions.plans: it went back"),
            ("a2", acts("n1", 7, 6, version(6, "a")), 100, "instance: n1 is heard through a1"),
            ("a1", acts("n1", 7, 6, version(6, "a")), 9000, "age: 9000"),
            ("a1", acts("", 7, 6, version(6, "a")), 0, "instance:"),
        ] {
            let said = book.record_report(10, agent, word, age).expect_err(what);
            assert!(said.0.starts_with(what), "{what}: {said}");
        }
        assert_eq!(book.get("n1").cloned(), before);
        assert_eq!(book.counts(), ReportCounts { accepted: 1, rejected: 7 });
    }

    #[test]
    fn one_of_whom_nothing_is_heard_is_unknown_and_not_fine() {
        let mut book = book();
        book.record_report(0, "a1", acts("n1", 7, 1, version(1, "a")), 0).expect("taken");
        assert_eq!(book.tick(3000, |_| false), vec![]);
        let silent = book.tick(3001, |_| false);
        assert_eq!((silent.len(), silent[0].now_is.as_str(), silent[0].within_ms), (1, "silent", 3001));
        assert_eq!(book.tick(9000, |_| false), vec![], "told once");
        let back = book
            .record_report(9500, "a2", acts("n1", 7, 1, version(1, "a")), 0)
            .expect("through another agent");
        assert_eq!((back[0].kind.as_str(), back[0].within_ms), ("heard", 9500));
        // Forgotten, but not one that is shut out.
        assert_eq!(book.clone().tick(90_000_000, |_| true).len(), 1);
        assert_eq!(book.tick(90_000_000, |_| false).len(), 2);
        assert!(book.get("n1").is_none());
    }

    #[test]
    fn a_message_that_was_held_on_its_way_is_known_by_its_way() {
        let mut late = DelayTracker::default();
        assert_eq!(late.delay_ms(1_000, "a1", 1, 500_000), 0);
        assert_eq!(late.delay_ms(2_000, "a1", 1, 501_000), 0);
        assert_eq!(late.delay_ms(32_000, "a1", 1, 502_000), 29_000, "held for 29 s");
        assert_eq!(late.delay_ms(33_000, "a1", 2, 5), 0, "another life, another clock");
    }

    #[test]
    fn a_new_owner_misses_whom_nobody_hears() {
        let mut book = book();
        book.record_report(0, "a1", acts("n1", 7, 3, version(1, "a")), 0).expect("taken");
        book.record_report(0, "a1", acts("n2", 7, 3, version(1, "a")), 0).expect("taken");
        let mut next = AppliedVersionTable::new(Settings::default());
        next.resume(50_000, &book.roster());
        next.record_report(50_100, "a1", acts("n1", 7, 3, version(1, "a")), 0).expect("heard by itself");
        let silent = next.tick(53_100, |_| true);
        assert_eq!(silent.iter().map(|e| e.instance.as_str()).collect::<Vec<_>>(), ["n2"]);
    }

    #[test]
    fn one_that_says_the_new_revision_and_acts_on_the_old_is_given_away_by_its_digest() {
        let mut book = book();
        for (name, letter) in [("n1", "a"), ("n2", "b"), ("n3", "b")] {
            book.record_report(0, "a1", acts(name, 7, 1, version(2, letter)), 0).expect("taken");
        }
        let all_serve = |_: &str| false;
        assert_eq!(book.majority_digest(KIND_PLANS, 2, all_serve), ExpectedDigest::Majority("b".repeat(64)));
        book.record_report(0, "a1", acts("n4", 7, 1, version(2, "a")), 0).expect("taken");
        assert_eq!(
            book.majority_digest(KIND_PLANS, 2, all_serve),
            ExpectedDigest::Undecided,
            "two and two: nobody can say who is wrong"
        );
        let n4_is_out = |name: &str| name == "n4";
        assert_eq!(
            book.majority_digest(KIND_PLANS, 2, n4_is_out),
            ExpectedDigest::Majority("b".repeat(64)),
            "it has no say"
        );
    }

    #[test]
    fn one_that_is_shut_out_is_not_believed_before_the_others_are_heard() {
        let mut book = AppliedVersionTable::new(Settings::default());
        let seat = |name: &str| RosterEntry {
            instance: name.into(),
            agent: "a1".into(),
            zone: "z".into(),
            me: 0,
            gateways: 9,
            life: 7,
        };
        book.resume(0, &[seat("n1"), seat("n2")]);
        book.record_report(0, "a1", acts("n2", 7, 2, version(2, "a")), 0).expect("taken");
        let n2_is_out = |name: &str| name == "n2";
        assert_eq!(book.majority_digest(KIND_PLANS, 2, n2_is_out), ExpectedDigest::Undecided);
        book.record_report(0, "a1", acts("n1", 7, 2, version(1, "b")), 0).expect("taken");
        assert_eq!(
            book.majority_digest(KIND_PLANS, 2, n2_is_out),
            ExpectedDigest::Majority("a".repeat(64)),
            "nobody else can tell"
        );
    }
}
