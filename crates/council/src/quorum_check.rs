//! Keeps a leader from sending while too few voters answer it.
//!
//! With a failure in one direction only, a leader's heartbeats arrive and the answers do not. Such a leader
//! can commit nothing, and its heartbeats keep the other members from electing another. It therefore stops
//! sending, so that they elect a leader with connections in both directions. At intervals it sends for a
//! short time, to find out whether it is answered again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Tracks when each voter last answered this member as the leader.
#[derive(Debug)]
pub struct QuorumCheck {
    /// The longest election time-out of other members.
    election_timeout: Duration,
    heartbeat: Duration,
    /// Since when this member has led; none while it does not.
    leads_since: Option<Instant>,
    /// The other voters.
    voters: BTreeSet<u64>,
    last_answers: BTreeMap<u64, Instant>,
}

impl QuorumCheck {
    /// The check of a member that does not lead.
    pub fn new(heartbeat: Duration, election_timeout: Duration) -> QuorumCheck {
        QuorumCheck {
            election_timeout,
            heartbeat,
            leads_since: None,
            voters: BTreeSet::new(),
            last_answers: BTreeMap::new(),
        }
    }

    /// Sets whether this member leads, and the other voters. Answers to an earlier leadership are dropped.
    pub fn set_leadership(&mut self, now: Instant, is_leader: bool, other_voters: BTreeSet<u64>) {
        match (is_leader, self.leads_since) {
            (true, None) => {
                self.leads_since = Some(now);
                self.last_answers.clear();
            }
            (false, _) => self.leads_since = None,
            _ => {}
        }
        self.voters = other_voters;
    }

    /// Records an answer; those of members that are no voters do not count.
    pub fn record_answer(&mut self, now: Instant, id: u64) {
        if self.voters.contains(&id) {
            self.last_answers.insert(id, now);
        }
    }

    /// Whether a leader's message may be sent: always while this member does not lead, or if a majority
    /// (itself included) answered within two election time-outs. Otherwise only in the first two election
    /// time-outs of its leadership, and for two heartbeat intervals at the start of every eight election
    /// time-outs.
    pub fn may_send(&self, now: Instant) -> bool {
        let Some(since) = self.leads_since else { return true };
        let answer_timeout = self.election_timeout * 2;
        let answered_recently = |id: &&u64| {
            self.last_answers.get(id).is_some_and(|at| now.saturating_duration_since(*at) < answer_timeout)
        };
        // A majority of all voters, counting this member.
        if 2 * (self.voters.iter().filter(answered_recently).count() + 1) > self.voters.len() + 1 {
            return true;
        }
        let led_for = now.saturating_duration_since(since);
        // The pause between two attempts is long enough for the others to elect a leader.
        let retry_period_ms = self.election_timeout.as_millis().max(1) * 8;
        led_for < answer_timeout || led_for.as_millis() % retry_period_ms < self.heartbeat.as_millis() * 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quorum_check_stops_unanswered_leader_and_lets_it_retry_at_intervals() {
        let ms = Duration::from_millis;
        let (start, mut check) = (Instant::now(), QuorumCheck::new(ms(50), ms(400)));
        assert!(check.may_send(start), "a member that does not lead is not limited");
        check.set_leadership(start, true, BTreeSet::from([2, 3]));
        assert!(check.may_send(start + ms(700)), "a new leader has time to be answered");
        assert!(!check.may_send(start + ms(900)));
        check.record_answer(start + ms(900), 9);
        assert!(!check.may_send(start + ms(900)), "an answer of a member that is no voter does not count");
        check.record_answer(start + ms(900), 3);
        assert!(check.may_send(start + ms(1600)));
        assert!(!check.may_send(start + ms(1800)));
        let sends = (0..64).filter(|k| check.may_send(start + ms(2000 + 100 * k))).count();
        assert!((1..=4).contains(&sends), "{sends} of 64");
        check.set_leadership(start + ms(9000), false, BTreeSet::from([2, 3]));
        assert!(check.may_send(start + ms(9001)));
        check.set_leadership(start + ms(9002), true, BTreeSet::new());
        assert!(check.may_send(start + ms(99_999)), "the only voter needs no answers");
    }
}
