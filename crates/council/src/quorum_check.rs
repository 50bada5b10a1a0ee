//! A leader that is heard by the others and hears none of their answers can have nothing agreed on, and keeps them from
//! choosing another for as long as they hear from it. Such a leader falls silent: the others then choose one that both
//! hears and is heard. Now and then it tries whether it is answered again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Who has answered a leader, and when.
#[derive(Debug)]
pub struct QuorumCheck {
    /// The longest time after which others choose a leader when they hear of none.
    election: Duration,
    beat: Duration,
    leads_since: Option<Instant>,
    voters: BTreeSet<u64>,
    answered: BTreeMap<u64, Instant>,
}

impl QuorumCheck {
    /// Of a member that does not lead.
    pub fn new(beat: Duration, election: Duration) -> QuorumCheck {
        QuorumCheck { election, beat, leads_since: None, voters: BTreeSet::new(), answered: BTreeMap::new() }
    }

    /// Whether it leads, and whom.
    pub fn set_leadership(&mut self, now: Instant, leads: bool, others: BTreeSet<u64>) {
        match (leads, self.leads_since) {
            (true, None) => {
                self.leads_since = Some(now);
                self.answered.clear();
            }
            (false, _) => self.leads_since = None,
            _ => {}
        }
        self.voters = others;
    }

    /// A member has answered.
    pub fn record_answer(&mut self, now: Instant, id: u64) {
        if self.voters.contains(&id) {
            self.answered.insert(id, now);
        }
    }

    /// Whether a leader may be heard.
    pub fn may_send(&self, now: Instant) -> bool {
        let Some(since) = self.leads_since else { return true };
        let patience = self.election * 2;
        let recent =
            |id: &&u64| self.answered.get(id).is_some_and(|at| now.saturating_duration_since(*at) < patience);
        // With itself, more than half of all that vote.
        if 2 * (self.voters.iter().filter(recent).count() + 1) > self.voters.len() + 1 {
            return true;
        }
        let led = now.saturating_duration_since(since);
        // Long enough in between for others to choose.
        let round = self.election.as_millis().max(1) * 8;
        led < patience || led.as_millis() % round < self.beat.as_millis() * 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leader_that_nobody_answers_falls_silent_and_tries_now_and_then() {
        let ms = Duration::from_millis;
        let (begun, mut pulse) = (Instant::now(), QuorumCheck::new(ms(50), ms(400)));
        assert!(pulse.may_send(begun), "who does not lead may say what it likes");
        pulse.set_leadership(begun, true, BTreeSet::from([2, 3]));
        assert!(pulse.may_send(begun + ms(700)), "it has time to be answered");
        assert!(!pulse.may_send(begun + ms(900)));
        pulse.record_answer(begun + ms(900), 9);
        assert!(!pulse.may_send(begun + ms(900)), "one that does not vote is no help");
        pulse.record_answer(begun + ms(900), 3);
        assert!(pulse.may_send(begun + ms(1600)));
        assert!(!pulse.may_send(begun + ms(1800)));
        let tries = (0..64).filter(|k| pulse.may_send(begun + ms(2000 + 100 * k))).count();
        assert!((1..=4).contains(&tries), "{tries} of 64");
        pulse.set_leadership(begun + ms(9000), false, BTreeSet::from([2, 3]));
        assert!(pulse.may_send(begun + ms(9001)));
        pulse.set_leadership(begun + ms(9002), true, BTreeSet::new());
        assert!(pulse.may_send(begun + ms(99_999)), "one alone needs nobody's answer");
    }
}
