//! Requests in hand: those that wait for a word or a place, and those that have been sent on, found by any of the names
//! under which events speak of them. Nothing is decided here.

use crate::server_state::InFlightRequest;
use crate::state::RequestState;
use std::collections::{BTreeMap, BTreeSet};

/// Requests that wait, by the number of their question.
#[derive(Default)]
pub(crate) struct PendingRequests {
    jobs: BTreeMap<u64, RequestState>,
    by_id: BTreeMap<u64, u64>,
    by_customer: BTreeSet<(u64, u64)>,
}

impl PendingRequests {
    pub fn insert(&mut self, job: RequestState) {
        let (number, id, key) = (job.number, job.request.id, job.key);
        self.by_id.insert(id, number);
        self.by_customer.insert((key, number));
        self.jobs.insert(number, job);
    }

    pub fn get(&self, number: u64) -> Option<&RequestState> {
        self.jobs.get(&number)
    }

    pub fn remove(&mut self, number: u64) -> Option<RequestState> {
        let job = self.jobs.remove(&number)?;
        self.by_id.remove(&job.request.id);
        self.by_customer.remove(&(job.key, number));
        Some(job)
    }

    pub fn remove_id(&mut self, id: u64) -> Option<RequestState> {
        let number = *self.by_id.get(&id)?;
        self.remove(number)
    }

    /// A customer's, in the order in which they came.
    pub fn of_customer(&self, key: u64) -> impl Iterator<Item = &RequestState> {
        let numbers = self.by_customer.range((key, 0)..=(key, u64::MAX));
        numbers.filter_map(|(_, number)| self.jobs.get(number))
    }
}

/// Requests that have been sent on, by their id.
#[derive(Default)]
pub(crate) struct InFlightRequests {
    held: BTreeMap<u64, InFlightRequest>,
    by_number: BTreeMap<u64, u64>,
}

impl InFlightRequests {
    pub fn insert(&mut self, held: InFlightRequest) {
        let id = held.state.request.id;
        self.by_number.insert(held.state.number, id);
        self.held.insert(id, held);
    }

    pub fn get(&self, id: u64) -> Option<&InFlightRequest> {
        self.held.get(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut InFlightRequest> {
        self.held.get_mut(&id)
    }

    /// The one whose question to its keeper had this number.
    pub fn by_number(&mut self, number: u64) -> Option<&mut InFlightRequest> {
        self.held.get_mut(self.by_number.get(&number)?)
    }

    pub fn remove(&mut self, id: u64) -> Option<InFlightRequest> {
        let held = self.held.remove(&id)?;
        self.by_number.remove(&held.state.number);
        Some(held)
    }
}

#[cfg(test)]
mod tests;
