//! What is done about those that are behind, step by step: told again, sent all anew, shut out; and how one comes back. An
//! intent narrows, evidence weighs, a floor has the last word: never the last of a set, never more than a part of a zone.

use crate::applied_version_table::{AppliedVersionTable, InstanceStatus};
use crate::applied_versions::{KIND_ZONES, Version};
use crate::decision::{Decision, FencedOffInstance};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// What each should act on, of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRevision {
    /// The revision; one that acts on a lower one is behind.
    pub revision: u64,
    /// The digest: with the same revision and another digest it acts on something else.
    pub digest: ExpectedDigest,
    /// Since when, by the owner's clock.
    pub since: u64,
}

/// The digest that those should tell who act on a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExpectedDigest {
    /// Digests of this kind say nothing: they differ from one to the other.
    NotCompared,
    /// It can't be said at present.
    Undecided,
    /// This one.
    Majority(String),
}

/// How one stands to what is wanted.
enum Judgement {
    UpToDate,
    /// At the wanted revision, by a digest that can't be judged at present; or nothing is known of what it acts on.
    Undecided,
    Behind {
        /// By the owner's clock.
        since: u64,
        why: String,
        /// It has the revision, with the digest of something else.
        by_digest: bool,
    },
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// It is told again what stands.
    Notify(String),
    /// All that is decided is sent to it anew, as to one that has just come.
    SendSnapshot(String),
    /// It is to be shut out.
    FenceOff(FencedOffInstance),
    /// It may come back.
    Readmit(String),
    /// It should be shut out and can't be: why.
    RaiseAlarm(String, String),
}

/// How far one has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EscalationStep {
    /// Time to catch up.
    Waiting,
    /// It was told again.
    Notified,
    /// All was sent to it anew.
    SnapshotSent,
    /// It is to be shut out, or is.
    FenceOff,
}

/// One that is behind or unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Straggler {
    /// Since when, by the owner's clock.
    pub since: u64,
    /// How far it has come.
    pub step: EscalationStep,
    /// Why, for people.
    pub why: String,
    /// Whether nothing is heard of it, which is another thing than to be behind.
    pub unknown: bool,
    alarmed: bool,
    by_digest: bool,
    /// Of which life that is: one that starts anew has its time again.
    life: u64,
}

impl Straggler {
    fn new(known: &InstanceStatus, since: u64, why: String, by_digest: bool) -> Straggler {
        let (unknown, life) = (known.is_silent, known.applied.life);
        Straggler { since, step: EscalationStep::Waiting, why, unknown, alarmed: false, by_digest, life }
    }
}

/// All that are.
#[derive(Debug, Clone)]
pub struct Escalation {
    s: Settings,
    all: BTreeMap<String, Straggler>,
    /// Those that can't be judged at present: they stay as they are, in or out, and no step is taken.
    undecided: BTreeSet<String>,
    /// Since when one that is shut out is up to date.
    sound: BTreeMap<String, u64>,
    /// When so many were last unknown that it was a split.
    split: Option<u64>,
}

/// What an operator intends of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOverride {
    /// It is to be shut out.
    FenceOff {
        /// Who says so and why.
        why: String,
    },
    /// It is not to be, whatever it acts on.
    KeepInService,
}

fn judge(known: &InstanceStatus, wanted: &BTreeMap<String, TargetRevision>) -> Judgement {
    if known.applied.versions.is_empty() {
        return Judgement::Undecided;
    }
    let mut judged = Judgement::UpToDate;
    for (kind, want) in wanted {
        // Without a decision on zones it acts by itself, as it should.
        let acts_on = |v: &&Version| !(kind == KIND_ZONES && v.revision == 0);
        let Some(is) = known.applied.versions.get(kind).filter(acts_on) else { continue };
        let found = judge_kind(kind, is, want);
        judged = match (judged, found) {
            (Judgement::Behind { since, why, by_digest }, Judgement::Behind { since: other, .. })
                if since <= other =>
            {
                Judgement::Behind { since, why, by_digest }
            }
            (_, found @ Judgement::Behind { .. }) => found,
            (judged @ Judgement::Behind { .. }, _) => judged,
            (Judgement::Undecided, _) | (_, Judgement::Undecided) => Judgement::Undecided,
            _ => Judgement::UpToDate,
        };
    }
    judged
}

fn judge_kind(kind: &str, is: &Version, want: &TargetRevision) -> Judgement {
    let since = want.since;
    if is.revision < want.revision {
        let told = Version { revision: is.revision, digest: String::new() };
        let why = format!("{kind} {} where {} is wanted", told.short(), want.revision);
        return Judgement::Behind { since, why, by_digest: false };
    }
    if is.revision > want.revision {
        return Judgement::UpToDate;
    }
    match &want.digest {
        ExpectedDigest::Majority(digest) if *digest != is.digest => {
            let why = format!("{kind} {} with the digest of something else", is.revision);
            Judgement::Behind { since, why, by_digest: true }
        }
        ExpectedDigest::Undecided => Judgement::Undecided,
        ExpectedDigest::Majority(_) | ExpectedDigest::NotCompared => Judgement::UpToDate,
    }
}

impl Escalation {
    /// Nobody is behind.
    #[must_use]
    pub fn new(s: Settings) -> Escalation {
        Escalation {
            s,
            all: BTreeMap::new(),
            undecided: BTreeSet::new(),
            sound: BTreeMap::new(),
            split: None,
        }
    }

    /// Those that are behind or unknown.
    pub fn stragglers(&self) -> impl Iterator<Item = (&String, &Straggler)> {
        self.all.iter()
    }

    /// Whether it can't be said at present what one acts on, or whether that is right.
    #[must_use]
    pub fn is_undecided(&self, name: &str) -> bool {
        self.undecided.contains(name)
    }

    /// Time has passed. `sets`: the sets of shops, by first and how many; `stands`: who is shut out now.
    pub fn tick(
        &mut self,
        now: u64,
        at_ms: u64,
        book: &AppliedVersionTable,
        wanted: &BTreeMap<String, TargetRevision>,
        (sets, hands): (&BTreeSet<(u32, u32)>, &BTreeMap<String, InstanceOverride>),
        stands: &Decision,
    ) -> Vec<Action> {
        let mut acts = Vec::new();
        self.look(book, wanted);
        self.all.retain(|name, _| book.get(name).is_some());
        self.sound.retain(|name, _| stands.is_fenced_off(name));
        // The lower steps, for those that can be told anything.
        let undecided = &self.undecided;
        let may_be_told = |name: &str, s: &Straggler| !s.unknown && !undecided.contains(name);
        for (name, straggler) in self.all.iter_mut().filter(|(n, s)| may_be_told(n, s)) {
            let gone = now.saturating_sub(straggler.since);
            let due = |ms: u64| gone >= ms;
            let next = match straggler.step {
                EscalationStep::Waiting if due(self.s.tell_ms) => {
                    Some((EscalationStep::Notified, Action::Notify(name.clone())))
                }
                EscalationStep::Notified if due(self.s.tell_ms + self.s.snapshot_ms) => {
                    Some((EscalationStep::SnapshotSent, Action::SendSnapshot(name.clone())))
                }
                _ => None,
            };
            if let Some((step, act)) = next {
                straggler.step = step;
                acts.push(act);
            }
        }
        self.back(now, book, hands, stands, &mut acts);
        self.out(now, at_ms, book, (sets, hands), stands, &mut acts);
        acts
    }

    /// Who is behind, who is unknown, and who no longer is either.
    fn look(&mut self, book: &AppliedVersionTable, wanted: &BTreeMap<String, TargetRevision>) {
        self.undecided.clear();
        for (name, known) in book.instances() {
            if known.is_silent {
                let why = "nothing is heard of it".to_string();
                self.put(name, Straggler::new(known, known.last_report_at, why, false));
                continue;
            }
            match judge(known, wanted) {
                Judgement::UpToDate => drop(self.all.remove(name)),
                Judgement::Undecided => {
                    self.undecided.insert(name.clone());
                    if self.all.get(name).is_some_and(|s| !s.by_digest) {
                        self.all.remove(name);
                    }
                }
                // It had its time from when it was heard again, or from when something new was wanted.
                Judgement::Behind { since, why, by_digest } => {
                    self.put(name, Straggler::new(known, since.max(known.reporting_since), why, by_digest));
                }
            }
        }
    }

    /// One is behind or unknown. It keeps its place, unless it was the other of both until now or has started anew.
    fn put(&mut self, name: &str, found: Straggler) {
        match self.all.get_mut(name) {
            Some(known) if (known.unknown, known.life) == (found.unknown, found.life) => {
                known.why = found.why;
                known.by_digest = found.by_digest;
            }
            _ => drop(self.all.insert(name.to_string(), found)),
        }
    }

    /// Who may come back: it is heard, and up to date for long enough.
    fn back(
        &mut self,
        now: u64,
        book: &AppliedVersionTable,
        hands: &BTreeMap<String, InstanceOverride>,
        stands: &Decision,
        acts: &mut Vec<Action>,
    ) {
        for out in &stands.out {
            let name = &out.instance;
            let by_hand = hands.get(name);
            let gone = book.get(name).is_none();
            let judged = !self.undecided.contains(name);
            let well = !gone
                && judged
                && !self.all.contains_key(name)
                && !matches!(by_hand, Some(InstanceOverride::FenceOff { .. }));
            if !(well || by_hand == Some(&InstanceOverride::KeepInService)) {
                self.sound.remove(name);
                continue;
            }
            let since = *self.sound.entry(name.clone()).or_insert(now);
            if now.saturating_sub(since) >= self.s.back_ms
                || by_hand == Some(&InstanceOverride::KeepInService)
            {
                acts.push(Action::Readmit(name.clone()));
            }
        }
    }

    /// Who is to be shut out now, as far as the floors allow.
    fn out(
        &mut self,
        now: u64,
        at_ms: u64,
        book: &AppliedVersionTable,
        (sets, hands): (&BTreeSet<(u32, u32)>, &BTreeMap<String, InstanceOverride>),
        stands: &Decision,
        acts: &mut Vec<Action>,
    ) {
        let after = self.s.tell_ms + self.s.snapshot_ms + self.s.out_ms;
        let (unknown_ms, kept_in) =
            (self.s.unknown_ms, |name: &str| hands.get(name) == Some(&InstanceOverride::KeepInService));
        let due = |s: &Straggler| now.saturating_sub(s.since) >= if s.unknown { unknown_ms } else { after };
        let judged = |name: &str| !self.undecided.contains(name);
        let mut wanted: Vec<(u64, String, String, bool)> = Vec::new();
        for (name, s) in self.all.iter().filter(|(n, s)| due(s) && judged(n) && !kept_in(n)) {
            wanted.push((s.since, name.clone(), s.why.clone(), s.unknown));
        }
        for (name, hand) in hands {
            if let InstanceOverride::FenceOff { why } = hand
                && book.get(name).is_some()
                && !wanted.iter().any(|w| w.1 == *name)
            {
                wanted.push((0, name.clone(), why.clone(), false));
            }
        }
        wanted.retain(|w| !stands.is_fenced_off(&w.1));
        wanted.sort();
        // Many that are unknown at once are far more often cut off than gone: it is not for this side to judge them. All count
        // that are, not those alone whose time has come: a cut is not noticed of all at the same instant.
        if self.unknown() > self.most(book.instances().count()) {
            self.split = Some(now);
        }
        // Nor do they come back at the same instant: who is the last to be heard again has its time from the end of it.
        let split = self.split.is_some_and(|at| now.saturating_sub(at) < unknown_ms);
        let mut floor = Floor::new(book, stands, self);
        for (_, name, why, unknown) in wanted {
            let said = if unknown && split {
                Err(format!(
                    "{} of {} are unknown at once: a split, as it seems",
                    self.unknown(),
                    book.instances().count()
                ))
            } else {
                floor.may(&name, sets, |many| self.most(many))
            };
            let Some(straggler) = self.all.get_mut(&name) else {
                // By hand alone.
                match said {
                    Ok(me) => acts.push(Action::FenceOff(FencedOffInstance {
                        instance: name,
                        me,
                        why: short(&why),
                        at_ms,
                    })),
                    Err(said) => acts.push(Action::RaiseAlarm(name, said)),
                }
                continue;
            };
            straggler.step = EscalationStep::FenceOff;
            match said {
                Ok(me) => acts.push(Action::FenceOff(FencedOffInstance {
                    instance: name,
                    me,
                    why: short(&why),
                    at_ms,
                })),
                Err(said) if !straggler.alarmed => {
                    straggler.alarmed = true;
                    acts.push(Action::RaiseAlarm(name, format!("{why}; it stays: {said}")));
                }
                Err(_) => {}
            }
        }
    }

    fn unknown(&self) -> usize {
        self.all.values().filter(|s| s.unknown).count()
    }

    /// How many of so many may be out at once.
    fn most(&self, many: usize) -> usize {
        if many < 2 || self.s.out_milli == 0 { 0 } else { (many * self.s.out_milli as usize / 1000).max(1) }
    }
}

fn short(why: &str) -> String {
    why.chars().take(120).collect()
}

/// What is left, as more are shut out.
struct Floor<'a> {
    book: &'a AppliedVersionTable,
    out: BTreeSet<String>,
    /// Numbers of those that serve and are known to.
    well: BTreeSet<u32>,
}

impl<'a> Floor<'a> {
    fn new(book: &'a AppliedVersionTable, stands: &Decision, ladder: &Escalation) -> Floor<'a> {
        let out: BTreeSet<String> = stands.out.iter().map(|o| o.instance.clone()).collect();
        let serves = |(name, k): (&String, &InstanceStatus)| {
            let sound = !ladder.all.get(name).is_some_and(|s| s.unknown);
            (sound && !out.contains(name)).then_some(k.applied.me)
        };
        Floor { book, well: book.instances().filter_map(serves).collect(), out }
    }

    /// Whether it may go as well; gives its number and counts it out.
    fn may(
        &mut self,
        name: &str,
        sets: &BTreeSet<(u32, u32)>,
        most: impl Fn(usize) -> usize,
    ) -> Result<u32, String> {
        let Some(known) = self.book.get(name) else { return Err("it is not known".into()) };
        let (me, many) = (known.applied.me, known.applied.gateways);
        let zone = &known.applied.zone;
        let of = |n: &String| self.book.get(n).is_some_and(|k| k.applied.zone == *zone);
        let there = self.book.instances().filter(|(n, _)| of(n)).count();
        let gone = self.out.iter().filter(|n| of(n)).count();
        if gone + 1 > most(there) {
            return Err(format!("{gone} of {there} in zone {zone:?} are out, and {} may be", most(there)));
        }
        let mut rest = self.well.clone();
        rest.remove(&me);
        if rest.is_empty() {
            return Err("it is the last".into());
        }
        for (first, spread) in sets {
            let within = |n: u32| (n + many - first % many.max(1)) % many.max(1) < *spread;
            if within(me) && !rest.iter().any(|n| within(*n)) {
                return Err(format!("it is the last of the set of {spread} from {first}"));
            }
        }
        self.well = rest;
        self.out.insert(name.to_string());
        Ok(me)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::applied_versions::{AppliedVersions, KIND_PLANS};
    use proptest::prelude::*;

    fn acts(k: u32, many: u32, zones: u32, plans: u64) -> AppliedVersions {
        AppliedVersions {
            instance: format!("n{k}"),
            life: 7,
            number: plans.max(1),
            me: k,
            gateways: many,
            zone: format!("z{}", k % zones),
            at_ms: 0,
            versions: [(KIND_PLANS.to_string(), Version { revision: plans, digest: "a".repeat(64) })].into(),
        }
    }

    struct World {
        book: AppliedVersionTable,
        ladder: Escalation,
        wanted: BTreeMap<String, TargetRevision>,
        sets: BTreeSet<(u32, u32)>,
        hands: BTreeMap<String, InstanceOverride>,
        stands: Decision,
        now: u64,
        /// Revision of each, and whether its agent is heard.
        fleet: Vec<(u64, bool)>,
        zones: u32,
        /// Of all of them.
        life: u64,
        done: Vec<(u64, Action)>,
    }

    impl World {
        fn new(many: u32, zones: u32) -> World {
            let s = Settings::default();
            World {
                book: AppliedVersionTable::new(s),
                ladder: Escalation::new(s),
                wanted: BTreeMap::new(),
                sets: BTreeSet::new(),
                hands: BTreeMap::new(),
                stands: Decision::default(),
                now: 0,
                fleet: vec![(1, true); many as usize],
                zones,
                life: 7,
                done: Vec::new(),
            }
        }

        fn want(&mut self, revision: u64) {
            self.wanted.insert(
                KIND_PLANS.into(),
                TargetRevision { revision, digest: ExpectedDigest::NotCompared, since: self.now },
            );
        }

        fn run(&mut self, ms: u64) {
            let until = self.now + ms;
            while self.now < until {
                self.now += 500;
                let many = self.fleet.len() as u32;
                for (k, (plans, heard)) in self.fleet.iter().enumerate() {
                    if *heard {
                        let told =
                            AppliedVersions { life: self.life, ..acts(k as u32, many, self.zones, *plans) };
                        let _ = self.book.record_report(self.now, "a", told, 0);
                    }
                }
                self.book.tick(self.now, |_| true);
                let hands = (&self.sets, &self.hands);
                let acts = self.ladder.tick(self.now, 0, &self.book, &self.wanted, hands, &self.stands);
                for act in &acts {
                    match act {
                        Action::FenceOff(out) => self.stands.out.push(out.clone()),
                        Action::Readmit(name) => self.stands.out.retain(|o| o.instance != *name),
                        _ => {}
                    }
                }
                self.done.extend(acts.into_iter().map(|a| (self.now, a)));
            }
        }

        fn out(&self) -> Vec<&str> {
            self.stands.out.iter().map(|o| o.instance.as_str()).collect()
        }
    }

    #[test]
    fn a_straggler_is_told_sent_all_and_shut_out_and_comes_back_by_catching_up() {
        let mut world = World::new(6, 3);
        world.run(1000);
        world.want(2);
        world.fleet.iter_mut().skip(1).for_each(|f| f.0 = 2);
        world.run(20_000);
        let kinds: Vec<&Action> = world.done.iter().map(|d| &d.1).collect();
        assert!(
            matches!(kinds[..], [Action::Notify(_), Action::SendSnapshot(_), Action::FenceOff(_)]),
            "{kinds:?}"
        );
        assert_eq!(world.out(), ["n0"]);
        assert!(world.stands.out[0].why.contains("plans 1 where 2 is wanted"), "{:?}", world.stands.out);
        // It comes back by catching up, and in no other way.
        world.run(60_000);
        assert_eq!(world.out(), ["n0"]);
        world.fleet[0].0 = 2;
        world.run(3000);
        assert_eq!(world.out(), Vec::<&str>::new());
    }

    #[test]
    fn a_new_owner_lets_nobody_in_before_it_can_judge_and_shuts_nobody_out() {
        let s = Settings::default();
        let (mut book, mut ladder) = (AppliedVersionTable::new(s), Escalation::new(s));
        let names = ["n0", "n1", "n2", "n3", "n4", "n5"];
        let seat = |(me, name): (usize, &&str)| crate::decision::RosterEntry {
            instance: (*name).into(),
            agent: "a".into(),
            zone: "z0".into(),
            me: me as u32,
            gateways: 6,
            life: 7,
        };
        book.resume(0, &names.iter().enumerate().map(seat).collect::<Vec<_>>());
        let out = FencedOffInstance { instance: "n5".into(), me: 5, why: "another digest".into(), at_ms: 0 };
        let mut stands = Decision { out: vec![out], ..Decision::default() };
        let mut now = 0;
        let mut play = |letter: &str, others: &str, turns: u32| {
            let mut done = Vec::new();
            for _ in 0..turns {
                now += 100;
                for (k, name) in names.iter().enumerate() {
                    let digest = if *name == "n5" { letter } else { others };
                    if digest.is_empty() {
                        continue;
                    }
                    let version = Version { revision: 2, digest: digest.repeat(64) };
                    let told = AppliedVersions {
                        versions: [(KIND_PLANS.to_string(), version)].into(),
                        ..acts(k as u32, 6, 1, now)
                    };
                    book.record_report(now, "a", told, 0).expect("taken");
                }
                book.tick(now, |_| true);
                let digest = book.majority_digest(KIND_PLANS, 2, |name| stands.is_fenced_off(name));
                let wanted = BTreeMap::from([(
                    KIND_PLANS.to_string(),
                    TargetRevision { revision: 2, digest, since: 0 },
                )]);
                let hands = (&BTreeSet::new(), &BTreeMap::new());
                for act in ladder.tick(now, 0, &book, &wanted, hands, &stands) {
                    if let Action::Readmit(name) = &act {
                        stands.out.retain(|o| o.instance != *name);
                    }
                    done.push(act);
                }
            }
            done
        };
        let turns = u32::try_from(s.stale_ms / 100 - 1).expect("a few");
        assert_eq!(play("b", "", turns), [], "nothing is heard but by the one that is out");
        assert!(
            !play("b", "a", 100).iter().any(|act| matches!(act, Action::Readmit(_) | Action::FenceOff(_)))
        );
        assert!(play("a", "a", 100).contains(&Action::Readmit("n5".into())));
    }

    #[test]
    fn one_that_starts_anew_has_its_time_to_catch_up() {
        let mut world = World::new(6, 3);
        world.run(1000);
        world.want(2);
        world.fleet.iter_mut().skip(1).for_each(|f| f.0 = 2);
        let s = Settings::default();
        let until_out = s.tell_ms + s.snapshot_ms + s.out_ms;
        world.run(until_out - 1000);
        world.life = 8;
        world.run(until_out - 1000);
        assert_eq!(world.out(), Vec::<&str>::new());
        world.run(3000);
        assert_eq!(world.out(), ["n0"]);
    }

    #[test]
    fn the_last_of_a_set_stays_and_an_alarm_says_so() {
        let mut world = World::new(6, 1);
        world.sets.insert((0, 2));
        world.run(1000);
        world.want(2);
        // All of a set are behind.
        world.fleet.iter_mut().skip(2).for_each(|f| f.0 = 2);
        world.run(40_000);
        assert_eq!(world.out(), ["n0"]);
        let alarms: Vec<_> = world.done.iter().filter(|d| matches!(d.1, Action::RaiseAlarm(..))).collect();
        assert!(
            matches!(&alarms[..], [(_, Action::RaiseAlarm(name, why))] if name == "n1" && why.contains("the last of the set")),
            "{alarms:?}"
        );
    }

    #[test]
    fn one_that_is_silent_is_shut_out_and_half_of_all_are_not() {
        let mut world = World::new(9, 3);
        world.run(1000);
        world.fleet[4].1 = false;
        world.run(30_000);
        assert_eq!(world.out(), ["n4"], "its agent is dead");
        world.fleet[4].1 = true;
        world.run(6000);
        assert!(world.out().is_empty());
        // A split: neither side may shut the other out, though it is not noticed of all at once.
        for k in [0, 1, 3, 4] {
            world.fleet[k].1 = false;
            world.run(1000);
        }
        world.run(60_000);
        assert!(world.out().is_empty(), "{:?}", world.out());
        // It heals for some before others.
        for k in [0, 1, 3, 4] {
            world.fleet[k].1 = true;
            world.run(3000);
        }
        world.run(5000);
        assert!(world.out().is_empty(), "{:?}", world.out());
        assert!(
            world.done.iter().any(|d| matches!(&d.1, Action::RaiseAlarm(_, why) if why.contains("a split")))
        );
    }

    #[test]
    fn by_hand_within_the_floors_and_kept_in_by_hand() {
        let mut world = World::new(3, 3);
        world.hands.insert("n1".into(), InstanceOverride::FenceOff { why: "ana: broken disk".into() });
        world.run(2000);
        assert!(world.out().is_empty(), "the only one of its zone");
        let mut world = World::new(6, 2);
        world.hands.insert("n1".into(), InstanceOverride::FenceOff { why: "ana: broken disk".into() });
        world.run(2000);
        assert_eq!(world.out(), ["n1"]);
        world.hands.clear();
        world.run(4000);
        assert!(world.out().is_empty(), "its time is over");
        world.hands.insert("n2".into(), InstanceOverride::KeepInService);
        world.want(9);
        world.run(60_000);
        assert!(!world.out().contains(&"n2") && !world.out().is_empty(), "{:?}", world.out());
    }

    proptest! {
        /// Whoever is behind or silent, whenever: no zone and no set is ever left without one that serves, and never more
        /// than the stated part of a zone is out.
        #[test]
        fn the_floors_hold(
            many in 2u32..14, zones in 1u32..4,
            sets in prop::collection::vec((0u32..14, 1u32..6), 0..5),
            faults in prop::collection::vec((0usize..14, 0u64..3, any::<bool>(), 0u64..30_000), 1..20),
        ) {
            let mut world = World::new(many, zones);
            world.sets = sets.into_iter().map(|(f, s)| (f % many, s.min(many))).collect();
            world.run(1000);
            world.want(2);
            for (k, plans, heard, ms) in faults {
                let k = k % many as usize;
                world.fleet[k] = (world.fleet[k].0.max(plans), heard);
                world.run(ms);
                let out: BTreeSet<u32> = world.stands.out.iter().map(|o| o.me).collect();
                for z in 0..zones {
                    let there = (0..many).filter(|n| n % zones == z).count();
                    let gone = out.iter().filter(|n| **n % zones == z).count();
                    let most = if there < 2 { 0 } else { (there * 340 / 1000).max(1) };
                    prop_assert!(gone <= most, "{gone} of {there} in z{z}");
                }
                for (first, spread) in &world.sets {
                    let left = (0..*spread).map(|d| (first + d) % many).filter(|n| !out.contains(n)).count();
                    prop_assert!(left > 0, "the set of {spread} from {first} is gone");
                }
            }
        }
    }
}
