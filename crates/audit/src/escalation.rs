//! Escalation for gatekeepers that act on outdated versions or do not report: notify, send a full snapshot,
//! fence off; and readmission of those that have caught up.
//!
//! Reports decide who is a candidate and operator overrides can force or prevent a fence-off, but the limits
//! in `FenceOffLimits` apply to both: the last gatekeeper in service, of the fleet or of a set, is never
//! fenced off, and never more than `out_milli` thousandths of a zone. Where `out_milli` is above 0, a zone of
//! two or more allows one.

use crate::applied_version_table::{AppliedVersionTable, InstanceStatus};
use crate::applied_versions::{KIND_ZONES, Version};
use crate::decision::{Decision, FencedOffInstance};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// The version of one kind that every instance should act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRevision {
    /// The target revision; an instance at a lower one is behind.
    pub revision: u64,
    /// The expected digest: an instance at the same revision with another digest acts on different content.
    pub digest: ExpectedDigest,
    /// When this became the target, in ms of the owner's clock.
    pub since: u64,
}

/// The digest that instances at the target revision are expected to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExpectedDigest {
    /// Digests of this kind are not compared, since they differ between instances.
    NotCompared,
    /// The reports do not determine it at present.
    Undecided,
    /// The digest that most instances in service report.
    Majority(String),
}

/// How an instance's reported versions compare with the targets.
enum VersionStatus {
    UpToDate,
    /// At the target revision while the expected digest is undetermined, or with no reported versions at all.
    Undecided,
    Behind {
        /// When the missed target was set, in ms of the owner's clock.
        since: u64,
        why: String,
        /// It is at the target revision, but reports another digest.
        by_digest: bool,
    },
}

/// An action for the owner to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the current state to this instance again.
    Notify(String),
    /// Send this instance the full state, as on a new connection.
    SendSnapshot(String),
    /// Fence off this instance.
    FenceOff(FencedOffInstance),
    /// Readmit this instance.
    Readmit(String),
    /// This instance should be fenced off, but a limit forbids it: its name and the reason.
    RaiseAlarm(String, String),
}

/// The escalation step that a straggler has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EscalationStep {
    /// Within the time to catch up.
    Waiting,
    /// The current state was sent again.
    Notified,
    /// A full snapshot was sent.
    SnapshotSent,
    /// Due to be fenced off, or fenced off already.
    FenceOff,
}

/// An instance that is behind its targets or does not report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Straggler {
    /// Since when, in ms of the owner's clock.
    pub since: u64,
    /// The step reached so far.
    pub step: EscalationStep,
    /// The reason, as operators see it.
    pub why: String,
    /// Whether it does not report, as opposed to reporting an outdated version.
    pub is_unknown: bool,
    /// Whether the alarm was already raised for this episode: it is raised once.
    alarm_raised: bool,
    /// Whether it is behind by its digest alone.
    by_digest: bool,
    /// The incarnation this applies to: a restarted instance gets the full time to catch up again.
    life: u64,
}

impl Straggler {
    fn new(known: &InstanceStatus, since: u64, why: String, by_digest: bool) -> Straggler {
        let (is_unknown, life) = (known.is_silent, known.applied.life);
        Straggler {
            since,
            step: EscalationStep::Waiting,
            why,
            is_unknown,
            alarm_raised: false,
            by_digest,
            life,
        }
    }
}

/// The escalation state of the fleet.
#[derive(Debug, Clone)]
pub struct Escalation {
    settings: Settings,
    /// By instance name.
    stragglers: BTreeMap<String, Straggler>,
    /// Instances whose status can't be determined at present: they stay in service or fenced off as they are,
    /// and are not escalated.
    undecided: BTreeSet<String>,
    /// Since when each fenced-off instance is up to date, in ms of the owner's clock.
    up_to_date_since: BTreeMap<String, u64>,
    /// When the number of unknown instances last indicated a network partition.
    last_split_at: Option<u64>,
}

/// An operator's override for one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOverride {
    /// Fence it off, within the limits.
    FenceOff {
        /// The operator and the reason.
        why: String,
    },
    /// Never fence it off, whatever it acts on; readmit it if it is fenced off.
    KeepInService,
}

/// Compares an instance's reported versions with all targets. The result is the longest-standing shortfall if
/// there is one, else undecided if any kind is undecided.
fn compare_versions(known: &InstanceStatus, targets: &BTreeMap<String, TargetRevision>) -> VersionStatus {
    if known.applied.versions.is_empty() {
        return VersionStatus::Undecided;
    }
    let mut status = VersionStatus::UpToDate;
    for (kind, target) in targets {
        // Without a decision on zones, an instance correctly routes by its own observations: that is not
        // behind.
        let is_effective = |v: &&Version| !(kind == KIND_ZONES && v.revision == 0);
        let Some(applied) = known.applied.versions.get(kind).filter(is_effective) else { continue };
        let found = compare_version(kind, applied, target);
        status = match (status, found) {
            (VersionStatus::Behind { since, why, by_digest }, VersionStatus::Behind { since: other, .. })
                if since <= other =>
            {
                VersionStatus::Behind { since, why, by_digest }
            }
            (_, found @ VersionStatus::Behind { .. }) => found,
            (status @ VersionStatus::Behind { .. }, _) => status,
            (VersionStatus::Undecided, _) | (_, VersionStatus::Undecided) => VersionStatus::Undecided,
            _ => VersionStatus::UpToDate,
        };
    }
    status
}

/// Compares the reported version of one kind with its target.
fn compare_version(kind: &str, applied: &Version, target: &TargetRevision) -> VersionStatus {
    let since = target.since;
    if applied.revision < target.revision {
        let reported = Version { revision: applied.revision, digest: String::new() };
        let why = format!("{kind} {} where {} is wanted", reported.short(), target.revision);
        return VersionStatus::Behind { since, why, by_digest: false };
    }
    if applied.revision > target.revision {
        return VersionStatus::UpToDate;
    }
    match &target.digest {
        ExpectedDigest::Majority(digest) if *digest != applied.digest => {
            let why = format!("{kind} {} with the digest of something else", applied.revision);
            VersionStatus::Behind { since, why, by_digest: true }
        }
        ExpectedDigest::Undecided => VersionStatus::Undecided,
        ExpectedDigest::Majority(_) | ExpectedDigest::NotCompared => VersionStatus::UpToDate,
    }
}

impl Escalation {
    /// Starts with no stragglers.
    #[must_use]
    pub fn new(settings: Settings) -> Escalation {
        Escalation {
            settings,
            stragglers: BTreeMap::new(),
            undecided: BTreeSet::new(),
            up_to_date_since: BTreeMap::new(),
            last_split_at: None,
        }
    }

    /// The instances that are behind or unknown, by name.
    pub fn stragglers(&self) -> impl Iterator<Item = (&String, &Straggler)> {
        self.stragglers.iter()
    }

    /// Whether the instance's status can't be determined: its versions or the expected digest are unknown at
    /// present.
    #[must_use]
    pub fn is_undecided(&self, name: &str) -> bool {
        self.undecided.contains(name)
    }

    /// Advances the escalation to `now` (ms of the owner's clock) and returns the actions that are due.
    /// `at_ms` is the Unix time for new fence-off entries. `sets` holds the gatekeeper sets of shops as
    /// (first, spread); `decision` says who is fenced off now.
    pub fn tick(
        &mut self,
        now: u64,
        at_ms: u64,
        table: &AppliedVersionTable,
        targets: &BTreeMap<String, TargetRevision>,
        (sets, overrides): (&BTreeSet<(u32, u32)>, &BTreeMap<String, InstanceOverride>),
        decision: &Decision,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update_stragglers(table, targets);
        self.stragglers.retain(|name, _| table.get(name).is_some());
        self.up_to_date_since.retain(|name, _| decision.is_fenced_off(name));
        // Notification and snapshot, for the instances that report and whose status is determined.
        let undecided = &self.undecided;
        let can_be_notified = |name: &str, s: &Straggler| !s.is_unknown && !undecided.contains(name);
        for (name, straggler) in self.stragglers.iter_mut().filter(|(n, s)| can_be_notified(n, s)) {
            let elapsed = now.saturating_sub(straggler.since);
            let due = |ms: u64| elapsed >= ms;
            let next = match straggler.step {
                EscalationStep::Waiting if due(self.settings.tell_ms) => {
                    Some((EscalationStep::Notified, Action::Notify(name.clone())))
                }
                EscalationStep::Notified if due(self.settings.tell_ms + self.settings.snapshot_ms) => {
                    Some((EscalationStep::SnapshotSent, Action::SendSnapshot(name.clone())))
                }
                _ => None,
            };
            if let Some((step, action)) = next {
                straggler.step = step;
                actions.push(action);
            }
        }
        self.readmit(now, table, overrides, decision, &mut actions);
        self.fence_off(now, at_ms, table, (sets, overrides), decision, &mut actions);
        actions
    }

    /// Updates stragglers and undecided instances from the reported versions.
    fn update_stragglers(&mut self, table: &AppliedVersionTable, targets: &BTreeMap<String, TargetRevision>) {
        self.undecided.clear();
        for (name, known) in table.instances() {
            if known.is_silent {
                let why = "nothing is heard of it".to_string();
                self.upsert_straggler(name, Straggler::new(known, known.last_report_at, why, false));
                continue;
            }
            match compare_versions(known, targets) {
                VersionStatus::UpToDate => drop(self.stragglers.remove(name)),
                VersionStatus::Undecided => {
                    self.undecided.insert(name.clone());
                    if self.stragglers.get(name).is_some_and(|s| !s.by_digest) {
                        self.stragglers.remove(name);
                    }
                }
                // The time to catch up runs from the new target, or from when reports resumed if that was
                // later.
                VersionStatus::Behind { since, why, by_digest } => {
                    self.upsert_straggler(
                        name,
                        Straggler::new(known, since.max(known.reporting_since), why, by_digest),
                    );
                }
            }
        }
    }

    /// Inserts or updates a straggler. Its step and time are kept, unless it changed between behind and
    /// unknown or has restarted.
    fn upsert_straggler(&mut self, name: &str, found: Straggler) {
        match self.stragglers.get_mut(name) {
            Some(known) if (known.is_unknown, known.life) == (found.is_unknown, found.life) => {
                known.why = found.why;
                known.by_digest = found.by_digest;
            }
            _ => drop(self.stragglers.insert(name.to_string(), found)),
        }
    }

    /// Readmits fenced-off instances that report and were up to date for `back_ms`, and at once those that an
    /// operator keeps in service.
    fn readmit(
        &mut self,
        now: u64,
        table: &AppliedVersionTable,
        overrides: &BTreeMap<String, InstanceOverride>,
        decision: &Decision,
        actions: &mut Vec<Action>,
    ) {
        for fenced in &decision.out {
            let name = &fenced.instance;
            let operator_override = overrides.get(name);
            let is_unlisted = table.get(name).is_none();
            let is_determined = !self.undecided.contains(name);
            let may_readmit = !is_unlisted
                && is_determined
                && !self.stragglers.contains_key(name)
                && !matches!(operator_override, Some(InstanceOverride::FenceOff { .. }));
            if !(may_readmit || operator_override == Some(&InstanceOverride::KeepInService)) {
                self.up_to_date_since.remove(name);
                continue;
            }
            let since = *self.up_to_date_since.entry(name.clone()).or_insert(now);
            if now.saturating_sub(since) >= self.settings.back_ms
                || operator_override == Some(&InstanceOverride::KeepInService)
            {
                actions.push(Action::Readmit(name.clone()));
            }
        }
    }

    /// Fences off the instances that are due, as far as the limits allow, and raises an alarm for the others.
    fn fence_off(
        &mut self,
        now: u64,
        at_ms: u64,
        table: &AppliedVersionTable,
        (sets, overrides): (&BTreeSet<(u32, u32)>, &BTreeMap<String, InstanceOverride>),
        decision: &Decision,
        actions: &mut Vec<Action>,
    ) {
        let fence_off_after_ms = self.settings.tell_ms + self.settings.snapshot_ms + self.settings.out_ms;
        let (unknown_ms, is_kept_in_service) = (self.settings.unknown_ms, |name: &str| {
            overrides.get(name) == Some(&InstanceOverride::KeepInService)
        });
        let due = |s: &Straggler| {
            now.saturating_sub(s.since) >= if s.is_unknown { unknown_ms } else { fence_off_after_ms }
        };
        let is_determined = |name: &str| !self.undecided.contains(name);
        let mut candidates: Vec<(u64, String, String, bool)> = Vec::new();
        for (name, s) in
            self.stragglers.iter().filter(|(n, s)| due(s) && is_determined(n) && !is_kept_in_service(n))
        {
            candidates.push((s.since, name.clone(), s.why.clone(), s.is_unknown));
        }
        for (name, operator_override) in overrides {
            if let InstanceOverride::FenceOff { why } = operator_override
                && table.get(name).is_some()
                && !candidates.iter().any(|c| c.1 == *name)
            {
                candidates.push((0, name.clone(), why.clone(), false));
            }
        }
        candidates.retain(|c| !decision.is_fenced_off(&c.1));
        candidates.sort();
        // When many instances are unknown at once, a network partition is far more likely than that all of
        // them failed, and this side can't tell which side is at fault. All unknown instances count, not only
        // those that are due, since the loss of reports is not noticed for all of them at the same instant.
        if self.unknown_count() > self.max_fenced_off(table.instances().count()) {
            self.last_split_at = Some(now);
        }
        // Reports do not resume at the same instant either: the full `unknown_ms` runs again from the end of
        // the partition.
        let is_split = self.last_split_at.is_some_and(|at| now.saturating_sub(at) < unknown_ms);
        let mut limits = FenceOffLimits::new(table, decision, self);
        for (_, name, why, is_unknown) in candidates {
            let permission = if is_unknown && is_split {
                Err(format!(
                    "{} of {} are unknown at once: a split, as it seems",
                    self.unknown_count(),
                    table.instances().count()
                ))
            } else {
                limits.try_fence_off(&name, sets, |instance_count| self.max_fenced_off(instance_count))
            };
            let Some(straggler) = self.stragglers.get_mut(&name) else {
                // Requested by an operator override only.
                match permission {
                    Ok(me) => actions.push(Action::FenceOff(FencedOffInstance {
                        instance: name,
                        me,
                        why: truncate_reason(&why),
                        at_ms,
                    })),
                    Err(reason) => actions.push(Action::RaiseAlarm(name, reason)),
                }
                continue;
            };
            straggler.step = EscalationStep::FenceOff;
            match permission {
                Ok(me) => actions.push(Action::FenceOff(FencedOffInstance {
                    instance: name,
                    me,
                    why: truncate_reason(&why),
                    at_ms,
                })),
                Err(reason) if !straggler.alarm_raised => {
                    straggler.alarm_raised = true;
                    actions.push(Action::RaiseAlarm(name, format!("{why}; it stays: {reason}")));
                }
                Err(_) => {}
            }
        }
    }

    fn unknown_count(&self) -> usize {
        self.stragglers.values().filter(|s| s.is_unknown).count()
    }

    /// How many of this number of instances may be fenced off at once.
    fn max_fenced_off(&self, instance_count: usize) -> usize {
        if instance_count < 2 || self.settings.out_milli == 0 {
            0
        } else {
            (instance_count * self.settings.out_milli as usize / 1000).max(1)
        }
    }
}

/// Limits a reason to 120 characters.
fn truncate_reason(why: &str) -> String {
    why.chars().take(120).collect()
}

/// The limits on fence-offs: tracks who still serves while further instances are fenced off.
struct FenceOffLimits<'a> {
    table: &'a AppliedVersionTable,
    fenced_off: BTreeSet<String>,
    /// Numbers of the gatekeepers that are in service and report.
    serving: BTreeSet<u32>,
}

impl<'a> FenceOffLimits<'a> {
    fn new(
        table: &'a AppliedVersionTable,
        decision: &Decision,
        escalation: &Escalation,
    ) -> FenceOffLimits<'a> {
        let fenced_off: BTreeSet<String> = decision.out.iter().map(|o| o.instance.clone()).collect();
        let serves = |(name, k): (&String, &InstanceStatus)| {
            let reports = !escalation.stragglers.get(name).is_some_and(|s| s.is_unknown);
            (reports && !fenced_off.contains(name)).then_some(k.applied.me)
        };
        FenceOffLimits { table, serving: table.instances().filter_map(serves).collect(), fenced_off }
    }

    /// Counts an instance as fenced off if the limits allow it, and returns its gatekeeper number.
    ///
    /// # Errors
    /// With the limit that forbids it; nothing is counted then.
    fn try_fence_off(
        &mut self,
        name: &str,
        sets: &BTreeSet<(u32, u32)>,
        max_fenced_off: impl Fn(usize) -> usize,
    ) -> Result<u32, String> {
        let Some(known) = self.table.get(name) else { return Err("it is not known".into()) };
        let (me, gatekeeper_count) = (known.applied.me, known.applied.gateways);
        let zone = &known.applied.zone;
        let in_zone = |n: &String| self.table.get(n).is_some_and(|k| k.applied.zone == *zone);
        let zone_size = self.table.instances().filter(|(n, _)| in_zone(n)).count();
        let fenced_in_zone = self.fenced_off.iter().filter(|n| in_zone(n)).count();
        if fenced_in_zone + 1 > max_fenced_off(zone_size) {
            return Err(format!(
                "{fenced_in_zone} of {zone_size} in zone {zone:?} are out, and {} may be",
                max_fenced_off(zone_size)
            ));
        }
        let mut remaining = self.serving.clone();
        remaining.remove(&me);
        if remaining.is_empty() {
            return Err("it is the last".into());
        }
        for (first, spread) in sets {
            let is_in_set = |n: u32| {
                (n + gatekeeper_count - first % gatekeeper_count.max(1)) % gatekeeper_count.max(1) < *spread
            };
            if is_in_set(me) && !remaining.iter().any(|n| is_in_set(*n)) {
                return Err(format!("it is the last of the set of {spread} from {first}"));
            }
        }
        self.serving = remaining;
        self.fenced_off.insert(name.to_string());
        Ok(me)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::applied_versions::{AppliedVersions, KIND_PLANS};
    use proptest::prelude::*;

    fn applied_versions(k: u32, gatekeeper_count: u32, zones: u32, plans: u64) -> AppliedVersions {
        AppliedVersions {
            instance: format!("n{k}"),
            life: 7,
            number: plans.max(1),
            me: k,
            gateways: gatekeeper_count,
            zone: format!("z{}", k % zones),
            at_ms: 0,
            versions: [(KIND_PLANS.to_string(), Version { revision: plans, digest: "a".repeat(64) })].into(),
        }
    }

    struct FleetModel {
        table: AppliedVersionTable,
        escalation: Escalation,
        targets: BTreeMap<String, TargetRevision>,
        sets: BTreeSet<(u32, u32)>,
        overrides: BTreeMap<String, InstanceOverride>,
        decision: Decision,
        now: u64,
        /// Per gatekeeper: the revision of its plans, and whether its agent reports.
        fleet: Vec<(u64, bool)>,
        zones: u32,
        /// The incarnation of all gatekeepers.
        life: u64,
        /// All actions so far, with the time.
        actions_taken: Vec<(u64, Action)>,
    }

    impl FleetModel {
        fn new(gatekeeper_count: u32, zones: u32) -> FleetModel {
            let s = Settings::default();
            FleetModel {
                table: AppliedVersionTable::new(s),
                escalation: Escalation::new(s),
                targets: BTreeMap::new(),
                sets: BTreeSet::new(),
                overrides: BTreeMap::new(),
                decision: Decision::default(),
                now: 0,
                fleet: vec![(1, true); gatekeeper_count as usize],
                zones,
                life: 7,
                actions_taken: Vec::new(),
            }
        }

        fn set_target_revision(&mut self, revision: u64) {
            self.targets.insert(
                KIND_PLANS.into(),
                TargetRevision { revision, digest: ExpectedDigest::NotCompared, since: self.now },
            );
        }

        fn run(&mut self, ms: u64) {
            let end = self.now + ms;
            while self.now < end {
                self.now += 500;
                let gatekeeper_count = self.fleet.len() as u32;
                for (k, (plans, is_reporting)) in self.fleet.iter().enumerate() {
                    if *is_reporting {
                        let reported = AppliedVersions {
                            life: self.life,
                            ..applied_versions(k as u32, gatekeeper_count, self.zones, *plans)
                        };
                        let _ = self.table.record_report(self.now, "a", reported, 0);
                    }
                }
                self.table.tick(self.now, |_| true);
                let overrides = (&self.sets, &self.overrides);
                let actions =
                    self.escalation.tick(self.now, 0, &self.table, &self.targets, overrides, &self.decision);
                for action in &actions {
                    match action {
                        Action::FenceOff(fenced) => self.decision.out.push(fenced.clone()),
                        Action::Readmit(name) => self.decision.out.retain(|o| o.instance != *name),
                        _ => {}
                    }
                }
                self.actions_taken.extend(actions.into_iter().map(|a| (self.now, a)));
            }
        }

        fn fenced_off(&self) -> Vec<&str> {
            self.decision.out.iter().map(|o| o.instance.as_str()).collect()
        }
    }

    #[test]
    fn escalation_notifies_sends_snapshot_and_fences_off_until_caught_up() {
        let mut model = FleetModel::new(6, 3);
        model.run(1000);
        model.set_target_revision(2);
        model.fleet.iter_mut().skip(1).for_each(|f| f.0 = 2);
        model.run(20_000);
        let kinds: Vec<&Action> = model.actions_taken.iter().map(|d| &d.1).collect();
        assert!(
            matches!(kinds[..], [Action::Notify(_), Action::SendSnapshot(_), Action::FenceOff(_)]),
            "{kinds:?}"
        );
        assert_eq!(model.fenced_off(), ["n0"]);
        assert!(model.decision.out[0].why.contains("plans 1 where 2 is wanted"), "{:?}", model.decision.out);
        // It is readmitted by catching up, and not by the passing of time.
        model.run(60_000);
        assert_eq!(model.fenced_off(), ["n0"]);
        model.fleet[0].0 = 2;
        model.run(3000);
        assert_eq!(model.fenced_off(), Vec::<&str>::new());
    }

    #[test]
    fn new_owner_changes_nothing_before_status_is_determined() {
        let s = Settings::default();
        let (mut table, mut escalation) = (AppliedVersionTable::new(s), Escalation::new(s));
        let names = ["n0", "n1", "n2", "n3", "n4", "n5"];
        let roster_entry = |(me, name): (usize, &&str)| crate::decision::RosterEntry {
            instance: (*name).into(),
            agent: "a".into(),
            zone: "z0".into(),
            me: me as u32,
            gateways: 6,
            life: 7,
        };
        table.resume(0, &names.iter().enumerate().map(roster_entry).collect::<Vec<_>>());
        let fenced =
            FencedOffInstance { instance: "n5".into(), me: 5, why: "another digest".into(), at_ms: 0 };
        let mut decision = Decision { out: vec![fenced], ..Decision::default() };
        let mut now = 0;
        let mut run_ticks = |own_digest: &str, other_digest: &str, ticks: u32| {
            let mut actions_taken = Vec::new();
            for _ in 0..ticks {
                now += 100;
                for (k, name) in names.iter().enumerate() {
                    let digest = if *name == "n5" { own_digest } else { other_digest };
                    if digest.is_empty() {
                        continue;
                    }
                    let version = Version { revision: 2, digest: digest.repeat(64) };
                    let reported = AppliedVersions {
                        versions: [(KIND_PLANS.to_string(), version)].into(),
                        ..applied_versions(k as u32, 6, 1, now)
                    };
                    table.record_report(now, "a", reported, 0).expect("taken");
                }
                table.tick(now, |_| true);
                let digest = table.majority_digest(KIND_PLANS, 2, |name| decision.is_fenced_off(name));
                let targets = BTreeMap::from([(
                    KIND_PLANS.to_string(),
                    TargetRevision { revision: 2, digest, since: 0 },
                )]);
                let overrides = (&BTreeSet::new(), &BTreeMap::new());
                for action in escalation.tick(now, 0, &table, &targets, overrides, &decision) {
                    if let Action::Readmit(name) = &action {
                        decision.out.retain(|o| o.instance != *name);
                    }
                    actions_taken.push(action);
                }
            }
            actions_taken
        };
        let ticks = u32::try_from(s.stale_ms / 100 - 1).expect("a few");
        assert_eq!(run_ticks("b", "", ticks), [], "only the fenced-off instance reports");
        assert!(
            !run_ticks("b", "a", 100)
                .iter()
                .any(|action| matches!(action, Action::Readmit(_) | Action::FenceOff(_)))
        );
        assert!(run_ticks("a", "a", 100).contains(&Action::Readmit("n5".into())));
    }

    #[test]
    fn restarted_straggler_gets_full_time_to_catch_up() {
        let mut model = FleetModel::new(6, 3);
        model.run(1000);
        model.set_target_revision(2);
        model.fleet.iter_mut().skip(1).for_each(|f| f.0 = 2);
        let s = Settings::default();
        let until_out = s.tell_ms + s.snapshot_ms + s.out_ms;
        model.run(until_out - 1000);
        model.life = 8;
        model.run(until_out - 1000);
        assert_eq!(model.fenced_off(), Vec::<&str>::new());
        model.run(3000);
        assert_eq!(model.fenced_off(), ["n0"]);
    }

    #[test]
    fn last_gatekeeper_of_set_stays_and_raises_alarm() {
        let mut model = FleetModel::new(6, 1);
        model.sets.insert((0, 2));
        model.run(1000);
        model.set_target_revision(2);
        // All gatekeepers of the set are behind.
        model.fleet.iter_mut().skip(2).for_each(|f| f.0 = 2);
        model.run(40_000);
        assert_eq!(model.fenced_off(), ["n0"]);
        let alarms: Vec<_> =
            model.actions_taken.iter().filter(|d| matches!(d.1, Action::RaiseAlarm(..))).collect();
        assert!(
            matches!(&alarms[..], [(_, Action::RaiseAlarm(name, why))] if name == "n1" && why.contains("the last of the set")),
            "{alarms:?}"
        );
    }

    #[test]
    fn silent_gatekeeper_is_fenced_off_but_half_of_fleet_is_not() {
        let mut model = FleetModel::new(9, 3);
        model.run(1000);
        model.fleet[4].1 = false;
        model.run(30_000);
        assert_eq!(model.fenced_off(), ["n4"], "its agent has failed");
        model.fleet[4].1 = true;
        model.run(6000);
        assert!(model.fenced_off().is_empty());
        // A partition: neither side may fence off the other, though the reports do not stop at the same time.
        for k in [0, 1, 3, 4] {
            model.fleet[k].1 = false;
            model.run(1000);
        }
        model.run(60_000);
        assert!(model.fenced_off().is_empty(), "{:?}", model.fenced_off());
        // Reports resume for some before others.
        for k in [0, 1, 3, 4] {
            model.fleet[k].1 = true;
            model.run(3000);
        }
        model.run(5000);
        assert!(model.fenced_off().is_empty(), "{:?}", model.fenced_off());
        assert!(
            model
                .actions_taken
                .iter()
                .any(|d| matches!(&d.1, Action::RaiseAlarm(_, why) if why.contains("a split")))
        );
    }

    #[test]
    fn operator_overrides_fence_off_within_limits_and_keep_in_service() {
        let mut model = FleetModel::new(3, 3);
        model.overrides.insert("n1".into(), InstanceOverride::FenceOff { why: "ana: broken disk".into() });
        model.run(2000);
        assert!(model.fenced_off().is_empty(), "the only gatekeeper of its zone");
        let mut model = FleetModel::new(6, 2);
        model.overrides.insert("n1".into(), InstanceOverride::FenceOff { why: "ana: broken disk".into() });
        model.run(2000);
        assert_eq!(model.fenced_off(), ["n1"]);
        model.overrides.clear();
        model.run(4000);
        assert!(model.fenced_off().is_empty(), "the override has expired");
        model.overrides.insert("n2".into(), InstanceOverride::KeepInService);
        model.set_target_revision(9);
        model.run(60_000);
        assert!(
            !model.fenced_off().contains(&"n2") && !model.fenced_off().is_empty(),
            "{:?}",
            model.fenced_off()
        );
    }

    proptest! {
        /// Whichever gatekeepers are behind or silent, at any time: no zone and no set is left without a gatekeeper
        /// in service, and never more than the configured fraction of a zone is fenced off.
        #[test]
        fn fence_off_limits_hold(
            gatekeeper_count in 2u32..14, zones in 1u32..4,
            sets in prop::collection::vec((0u32..14, 1u32..6), 0..5),
            faults in prop::collection::vec((0usize..14, 0u64..3, any::<bool>(), 0u64..30_000), 1..20),
        ) {
            let mut model = FleetModel::new(gatekeeper_count, zones);
            model.sets =
                sets.into_iter().map(|(f, s)| (f % gatekeeper_count, s.min(gatekeeper_count))).collect();
            model.run(1000);
            model.set_target_revision(2);
            for (k, plans, is_reporting, ms) in faults {
                let k = k % gatekeeper_count as usize;
                model.fleet[k] = (model.fleet[k].0.max(plans), is_reporting);
                model.run(ms);
                let fenced_off: BTreeSet<u32> = model.decision.out.iter().map(|o| o.me).collect();
                for z in 0..zones {
                    let zone_size = (0..gatekeeper_count).filter(|n| n % zones == z).count();
                    let fenced_in_zone = fenced_off.iter().filter(|n| **n % zones == z).count();
                    let limit = if zone_size < 2 { 0 } else { (zone_size * 340 / 1000).max(1) };
                    prop_assert!(fenced_in_zone <= limit, "{fenced_in_zone} of {zone_size} in z{z}");
                }
                for (first, spread) in &model.sets {
                    let in_service = (0..*spread)
                        .map(|d| (first + d) % gatekeeper_count)
                        .filter(|n| !fenced_off.contains(n))
                        .count();
                    prop_assert!(in_service > 0, "none of the set of {spread} from {first} is in service");
                }
            }
        }
    }
}
