//! Requests in hand: those that wait for a word or a place, and those that have been sent on, found by any of the names
//! under which events speak of them. Nothing is decided here.

use crate::live::Held;
use crate::state::Job;
use std::collections::{BTreeMap, BTreeSet};

/// Requests that wait, by the number of their question.
#[derive(Default)]
pub(crate) struct Waits {
    jobs: BTreeMap<u64, Job>,
    by_id: BTreeMap<u64, u64>,
    by_customer: BTreeSet<(u64, u64)>,
}

impl Waits {
    pub fn insert(&mut self, job: Job) {
        let (number, id, key) = (job.number, job.request.id, job.key);
        self.by_id.insert(id, number);
        self.by_customer.insert((key, number));
        self.jobs.insert(number, job);
    }

    pub fn get(&self, number: u64) -> Option<&Job> {
        self.jobs.get(&number)
    }

    pub fn remove(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        self.by_id.remove(&job.request.id);
        self.by_customer.remove(&(job.key, number));
        Some(job)
    }

    pub fn remove_id(&mut self, id: u64) -> Option<Job> {
        let number = *self.by_id.get(&id)?;
        self.remove(number)
    }

    /// A customer's, in the order in which they came.
    pub fn of(&self, key: u64) -> impl Iterator<Item = &Job> {
        let numbers = self.by_customer.range((key, 0)..=(key, u64::MAX));
        numbers.filter_map(|(_, number)| self.jobs.get(number))
    }
}

/// Requests that have been sent on, by their id.
#[derive(Default)]
pub(crate) struct Hands {
    held: BTreeMap<u64, Held>,
    by_number: BTreeMap<u64, u64>,
}

impl Hands {
    pub fn insert(&mut self, held: Held) {
        let id = held.job.request.id;
        self.by_number.insert(held.job.number, id);
        self.held.insert(id, held);
    }

    pub fn get(&self, id: u64) -> Option<&Held> {
        self.held.get(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut Held> {
        self.held.get_mut(&id)
    }

    /// The one whose question to its keeper had this number.
    pub fn by_number(&mut self, number: u64) -> Option<&mut Held> {
        self.held.get_mut(self.by_number.get(&number)?)
    }

    pub fn remove(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.by_number.remove(&held.job.number);
        Some(held)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Request;

    fn job(number: u64, id: u64, key: u64) -> Job {
        let request = Request {
            id,
            customer: "x".into(),
            class: 0,
            plan: 0,
            units: 1.0,
            first: 0,
            spread: 1,
            give_up: 0.0,
            repeat: false,
        };
        Job {
            request,
            check: false,
            key,
            keeper: 0,
            tier: 0,
            arrived: 0.0,
            number,
            place: None,
            until: 0.0,
            queued: false,
            again: None,
        }
    }

    #[test]
    fn waits_are_found_by_every_name_and_gone_from_all() {
        let mut waits = Waits::default();
        for (number, id, key) in [(1, 10, 5), (2, 20, 6), (3, 30, 5)] {
            waits.insert(job(number, id, key));
        }
        let of = |w: &Waits, key| w.of(key).map(|j| j.number).collect::<Vec<_>>();
        assert_eq!((of(&waits, 5), of(&waits, 6), of(&waits, 7)), (vec![1, 3], vec![2], vec![]));
        assert_eq!(waits.remove_id(10).map(|j| j.number), Some(1));
        assert_eq!(
            (of(&waits, 5), waits.remove_id(10).is_none(), waits.get(1).is_none()),
            (vec![3], true, true)
        );
        // Put in again, as when it begins to wait for a place.
        let again = waits.remove(3).expect("there");
        waits.insert(again);
        assert_eq!(of(&waits, 5), [3]);
    }

    #[test]
    fn what_is_sent_on_is_found_by_id_and_question() {
        let mut hands = Hands::default();
        let held = |job| Held { job, attempts: 0, ended: false, sent_at: 0.0, load: 0.0, may_run: None };
        hands.insert(held(job(7, 70, 1)));
        assert_eq!(hands.by_number(7).map(|h| h.job.request.id), Some(70));
        assert!(hands.remove(70).is_some() && hands.by_number(7).is_none() && hands.get(70).is_none());
    }
}
