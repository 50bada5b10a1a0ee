//! What is known of whom. Only durations of the owner's own clock count; what instances say of the time is for people.

use crate::acts::{Acts, EPOCH, PLANS, Refused, Version};
use crate::decision::{ROSTER_MOST, Seat};
use crate::ladder::Digest;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Instances that are remembered.
pub const INSTANCES_MOST: usize = 4096;

/// Something that is worth a row in the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
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
pub struct Known {
    /// What it told last.
    pub acts: Acts,
    /// The agent that it was heard through.
    pub agent: String,
    /// When it was last heard, by the owner's clock.
    pub heard: u64,
    /// Whether it was silent when it was last looked at.
    pub silent: bool,
    /// Since when it is well heard again.
    pub since: u64,
}

/// What came of what was told, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Words taken.
    pub heard: u64,
    /// Words that can't be, are of a life that ended, or under another's name.
    pub refused: u64,
}

/// How much longer than the quickest one a message took, by two clocks of which neither is known: what was held on its way is
/// old when it comes.
#[derive(Debug, Clone, Default)]
pub struct Late {
    /// By sender: its life, the least difference of the clocks, and when that was found.
    ways: BTreeMap<String, (u64, i64, u64)>,
}

impl Late {
    /// By how many ms a message of a sender's life is late.
    pub fn of(&mut self, now: u64, sender: &str, life: u64, sent: u64) -> u64 {
        let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let took = signed(now).saturating_sub(signed(sent));
        if self.ways.len() >= INSTANCES_MOST && !self.ways.contains_key(sender) {
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
pub struct Book {
    s: Settings,
    all: BTreeMap<String, Known>,
    counts: Counts,
}

impl Book {
    /// Knows nobody.
    #[must_use]
    pub fn new(s: Settings) -> Book {
        Book { s, all: BTreeMap::new(), counts: Counts::default() }
    }

    /// An owner that comes new goes on from what the one before left: it has not heard them itself yet, and gives them time
    /// to be heard.
    pub fn resume(&mut self, now: u64, roster: &[Seat]) {
        for seat in roster.iter().take(INSTANCES_MOST) {
            let acts = Acts {
                instance: seat.instance.clone(),
                life: seat.life,
                // Whatever it tells next is news.
                number: 1,
                me: seat.me,
                gateways: seat.gateways,
                zone: seat.zone.clone(),
                ..Acts::default()
            };
            if acts.check().is_ok() {
                let known = Known { agent: seat.agent.clone(), heard: now, silent: false, since: now, acts };
                self.all.insert(seat.instance.clone(), known);
            }
        }
    }

    /// What an agent tells of an instance, `age` ms old. Gives what is new.
    ///
    /// # Errors
    /// When it can't be: nothing has changed then.
    pub fn heard(&mut self, now: u64, agent: &str, acts: Acts, age: u64) -> Result<Vec<Event>, Refused> {
        let taken = self.take(now, agent, acts, age);
        match taken {
            Ok(_) => self.counts.heard += 1,
            Err(_) => self.counts.refused += 1,
        }
        taken
    }

    fn take(&mut self, now: u64, agent: &str, acts: Acts, age: u64) -> Result<Vec<Event>, Refused> {
        acts.check()?;
        if age > self.s.stale_ms {
            return Err(Refused(format!("age: {age} ms; {} at the most", self.s.stale_ms)));
        }
        let heard = now.saturating_sub(age);
        let event = |kind: &str, was: String, now_is: String, within_ms: u64| Event {
            instance: acts.instance.clone(),
            life: acts.life,
            kind: kind.into(),
            was,
            now_is,
            within_ms,
            told_ms: acts.at_ms,
        };
        let Some(known) = self.all.get_mut(&acts.instance) else {
            if self.all.len() >= INSTANCES_MOST {
                return Err(Refused(format!("instance: {INSTANCES_MOST} at the most")));
            }
            let mut events = vec![event("life", String::new(), acts.life.to_string(), age)];
            events.extend(acts.versions.iter().map(|(k, v)| event(k, String::new(), v.to_string(), age)));
            let known = Known { agent: agent.into(), heard, silent: false, since: now, acts };
            self.all.insert(known.acts.instance.clone(), known);
            return Ok(events);
        };
        let fresh = now.saturating_sub(known.heard) <= self.s.stale_ms;
        if known.agent != agent && fresh && known.acts.life == acts.life {
            return Err(Refused(format!("instance: {} is heard through {}", acts.instance, known.agent)));
        }
        if acts.life < known.acts.life {
            return Err(Refused(format!("life: {} has ended; {} is known", acts.life, known.acts.life)));
        }
        let same = acts.life == known.acts.life;
        if same && acts.number < known.acts.number {
            return Err(Refused(format!("number: {} was overtaken by {}", acts.number, known.acts.number)));
        }
        let resumed = known.acts.versions.is_empty();
        if same && !resumed && acts.number == known.acts.number && acts.versions != known.acts.versions {
            return Err(Refused(format!("number: two words of {} under {}", acts.instance, acts.number)));
        }
        // What only grows within a life.
        let grows = |kind: &str| kind == PLANS || kind.starts_with(EPOCH);
        let back = |(kind, v): (&String, &Version)| {
            let newer = acts.versions.get(kind).is_none_or(|n| n.revision < v.revision);
            (grows(kind) && newer).then(|| kind.clone())
        };
        if same && let Some(kind) = known.acts.versions.iter().find_map(back) {
            return Err(Refused(format!("versions.{kind}: it went back within a life")));
        }
        let within = now.saturating_sub(known.heard);
        let mut events = Vec::new();
        if !same {
            events.push(event("life", known.acts.life.to_string(), acts.life.to_string(), within));
        }
        let mut kinds: Vec<&String> = known.acts.versions.keys().chain(acts.versions.keys()).collect();
        kinds.sort();
        kinds.dedup();
        for kind in kinds {
            let (was, is) = (known.acts.versions.get(kind), acts.versions.get(kind));
            if was != is || !same {
                let text = |v: Option<&Version>| v.map_or(String::new(), Version::to_string);
                events.push(event(kind, text(was), text(is), within));
            }
        }
        if known.silent {
            events.push(event("heard", "silent".into(), format!("through {agent}"), within));
            (known.silent, known.since) = (false, now);
        }
        if !same {
            known.since = now;
        }
        known.heard = known.heard.max(heard);
        known.agent = agent.into();
        known.acts = acts;
        Ok(events)
    }

    /// Time has passed: who is silent now, and who is forgotten.
    pub fn turn(&mut self, now: u64, keep: impl Fn(&str) -> bool) -> Vec<Event> {
        let mut events = Vec::new();
        let event = |known: &Known, now_is: &str| Event {
            instance: known.acts.instance.clone(),
            life: known.acts.life,
            kind: "heard".into(),
            was: format!("through {}", known.agent),
            now_is: now_is.into(),
            within_ms: now.saturating_sub(known.heard),
            told_ms: 0,
        };
        for known in self.all.values_mut() {
            if !known.silent && now.saturating_sub(known.heard) > self.s.stale_ms {
                known.silent = true;
                events.push(event(known, "silent"));
            }
        }
        let forget = self.s.forget_ms;
        self.all.retain(|name, known| {
            let stays = now.saturating_sub(known.heard) <= forget || keep(name);
            if !stays {
                events.push(event(known, "forgotten"));
            }
            stays
        });
        events
    }

    /// The roster, by name.
    #[must_use]
    pub fn roster(&self) -> Vec<Seat> {
        let seat = |(instance, k): (&String, &Known)| Seat {
            instance: instance.clone(),
            agent: k.agent.clone(),
            zone: k.acts.zone.clone(),
            me: k.acts.me,
            gateways: k.acts.gateways,
            life: k.acts.life,
        };
        self.all.iter().take(ROSTER_MOST).map(seat).collect()
    }

    /// All of them, by name.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Known)> {
        self.all.iter()
    }

    /// One of them.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Known> {
        self.all.get(instance)
    }

    /// See [`Counts`].
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The digest that most of those in service tell who act on this revision of a kind. While some of them are not
    /// heard and none tells one, and where two are told equally often, it can't be said who is wrong. Those that are
    /// shut out are asked only where nobody else can tell.
    #[must_use]
    pub fn usual(&self, kind: &str, revision: u64, is_out: impl Fn(&str) -> bool) -> Digest {
        let serves = |(name, _): &(&String, &Known)| !is_out(name);
        let told = |known: &Known| {
            let version =
                known.acts.versions.get(kind).filter(|v| v.revision == revision && !known.silent)?;
            Some(version.digest.clone())
        };
        let in_service: Vec<String> = self.all.iter().filter(serves).filter_map(|(_, k)| told(k)).collect();
        if !in_service.is_empty() {
            return most_told(&in_service);
        }
        let unheard = |known: &Known| known.silent || known.acts.versions.is_empty();
        if self.all.iter().filter(serves).any(|(_, k)| unheard(k)) {
            return Digest::Undecided;
        }
        most_told(&self.all.values().filter_map(told).collect::<Vec<_>>())
    }
}

/// The digest that is told most often, if there is one such.
fn most_told(digests: &[String]) -> Digest {
    let mut by: BTreeMap<&str, usize> = BTreeMap::new();
    for digest in digests {
        *by.entry(digest).or_default() += 1;
    }
    let most = by.values().copied().max();
    let mut first = by.iter().filter(|(_, n)| Some(**n) == most);
    match (first.next(), first.next()) {
        (Some((digest, _)), None) => Digest::Usual((*digest).to_string()),
        _ => Digest::Undecided,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn version(revision: u64, letter: &str) -> Version {
        Version { revision, digest: letter.repeat(64) }
    }

    pub(crate) fn acts(instance: &str, life: u64, number: u64, plans: Version) -> Acts {
        Acts {
            instance: instance.into(),
            life,
            number,
            me: 0,
            gateways: 9,
            zone: "z0".into(),
            at_ms: 5,
            versions: [(PLANS.to_string(), plans)].into(),
        }
    }

    fn book() -> Book {
        Book::new(Settings::default())
    }

    #[test]
    fn changes_are_told_once_and_lives_apart() {
        let mut book = book();
        let first = book.heard(0, "a1", acts("n1", 7, 1, version(1, "a")), 0).expect("taken");
        assert_eq!(first.iter().map(|e| e.kind.as_str()).collect::<Vec<_>>(), ["life", "plans"]);
        assert_eq!(book.heard(100, "a1", acts("n1", 7, 1, version(1, "a")), 0), Ok(vec![]));
        let next = book.heard(300, "a1", acts("n1", 7, 2, version(2, "b")), 50).expect("taken");
        assert_eq!(next.len(), 1);
        assert_eq!((next[0].within_ms, next[0].now_is.starts_with("2:bb")), (200, true));
        let again =
            book.heard(400, "a1", acts("n1", 9, 1, version(1, "a")), 0).expect("a new life may go back");
        assert_eq!(again.len(), 2);
    }

    #[test]
    fn words_that_cannot_be_change_nothing_and_are_counted() {
        let mut book = book();
        book.heard(0, "a1", acts("n1", 7, 5, version(5, "a")), 0).expect("taken");
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
            let said = book.heard(10, agent, word, age).expect_err(what);
            assert!(said.0.starts_with(what), "{what}: {said}");
        }
        assert_eq!(book.get("n1").cloned(), before);
        assert_eq!(book.counts(), Counts { heard: 1, refused: 7 });
    }

    #[test]
    fn one_of_whom_nothing_is_heard_is_unknown_and_not_fine() {
        let mut book = book();
        book.heard(0, "a1", acts("n1", 7, 1, version(1, "a")), 0).expect("taken");
        assert_eq!(book.turn(3000, |_| false), vec![]);
        let silent = book.turn(3001, |_| false);
        assert_eq!((silent.len(), silent[0].now_is.as_str(), silent[0].within_ms), (1, "silent", 3001));
        assert_eq!(book.turn(9000, |_| false), vec![], "told once");
        let back =
            book.heard(9500, "a2", acts("n1", 7, 1, version(1, "a")), 0).expect("through another agent");
        assert_eq!((back[0].kind.as_str(), back[0].within_ms), ("heard", 9500));
        // Forgotten, but not one that is shut out.
        assert_eq!(book.clone().turn(90_000_000, |_| true).len(), 1);
        assert_eq!(book.turn(90_000_000, |_| false).len(), 2);
        assert!(book.get("n1").is_none());
    }

    #[test]
    fn a_message_that_was_held_on_its_way_is_known_by_its_way() {
        let mut late = Late::default();
        assert_eq!(late.of(1_000, "a1", 1, 500_000), 0);
        assert_eq!(late.of(2_000, "a1", 1, 501_000), 0);
        assert_eq!(late.of(32_000, "a1", 1, 502_000), 29_000, "held for 29 s");
        assert_eq!(late.of(33_000, "a1", 2, 5), 0, "another life, another clock");
    }

    #[test]
    fn a_new_owner_misses_whom_nobody_hears() {
        let mut book = book();
        book.heard(0, "a1", acts("n1", 7, 3, version(1, "a")), 0).expect("taken");
        book.heard(0, "a1", acts("n2", 7, 3, version(1, "a")), 0).expect("taken");
        let mut next = Book::new(Settings::default());
        next.resume(50_000, &book.roster());
        next.heard(50_100, "a1", acts("n1", 7, 3, version(1, "a")), 0).expect("heard by itself");
        let silent = next.turn(53_100, |_| true);
        assert_eq!(silent.iter().map(|e| e.instance.as_str()).collect::<Vec<_>>(), ["n2"]);
    }

    #[test]
    fn one_that_says_the_new_revision_and_acts_on_the_old_is_given_away_by_its_digest() {
        let mut book = book();
        for (name, letter) in [("n1", "a"), ("n2", "b"), ("n3", "b")] {
            book.heard(0, "a1", acts(name, 7, 1, version(2, letter)), 0).expect("taken");
        }
        let all_serve = |_: &str| false;
        assert_eq!(book.usual(PLANS, 2, all_serve), Digest::Usual("b".repeat(64)));
        book.heard(0, "a1", acts("n4", 7, 1, version(2, "a")), 0).expect("taken");
        assert_eq!(
            book.usual(PLANS, 2, all_serve),
            Digest::Undecided,
            "two and two: nobody can say who is wrong"
        );
        let n4_is_out = |name: &str| name == "n4";
        assert_eq!(book.usual(PLANS, 2, n4_is_out), Digest::Usual("b".repeat(64)), "it has no say");
    }

    #[test]
    fn one_that_is_shut_out_is_not_believed_before_the_others_are_heard() {
        let mut book = Book::new(Settings::default());
        let seat = |name: &str| Seat {
            instance: name.into(),
            agent: "a1".into(),
            zone: "z".into(),
            me: 0,
            gateways: 9,
            life: 7,
        };
        book.resume(0, &[seat("n1"), seat("n2")]);
        book.heard(0, "a1", acts("n2", 7, 2, version(2, "a")), 0).expect("taken");
        let n2_is_out = |name: &str| name == "n2";
        assert_eq!(book.usual(PLANS, 2, n2_is_out), Digest::Undecided);
        book.heard(0, "a1", acts("n1", 7, 2, version(1, "b")), 0).expect("taken");
        assert_eq!(book.usual(PLANS, 2, n2_is_out), Digest::Usual("a".repeat(64)), "nobody else can tell");
    }
}
