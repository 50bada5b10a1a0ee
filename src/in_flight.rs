//! Indexes of requests: those that wait for a quota reply or a permit, and those in flight, by each of the
//! identifiers that events use. No decisions are made here.

use crate::server_state::InFlightRequest;
use crate::state::RequestState;
use std::collections::{BTreeMap, BTreeSet};

/// Requests that wait, by the number of their quota request.
#[derive(Default)]
pub(crate) struct PendingRequests {
    by_number: BTreeMap<u64, RequestState>,
    by_id: BTreeMap<u64, u64>,
    /// Customer key and number.
    by_customer: BTreeSet<(u64, u64)>,
}

impl PendingRequests {
    pub fn insert(&mut self, state: RequestState) {
        let (number, id, key) = (state.number, state.request.id, state.key);
        self.by_id.insert(id, number);
        self.by_customer.insert((key, number));
        self.by_number.insert(number, state);
    }

    pub fn get(&self, number: u64) -> Option<&RequestState> {
        self.by_number.get(&number)
    }

    pub fn remove(&mut self, number: u64) -> Option<RequestState> {
        let state = self.by_number.remove(&number)?;
        self.by_id.remove(&state.request.id);
        self.by_customer.remove(&(state.key, number));
        Some(state)
    }

    pub fn remove_id(&mut self, id: u64) -> Option<RequestState> {
        let number = *self.by_id.get(&id)?;
        self.remove(number)
    }

    /// A customer's pending requests, in order of arrival.
    pub fn of_customer(&self, key: u64) -> impl Iterator<Item = &RequestState> {
        let numbers = self.by_customer.range((key, 0)..=(key, u64::MAX));
        numbers.filter_map(|(_, number)| self.by_number.get(number))
    }
}

/// Requests in flight, by request id.
#[derive(Default)]
pub(crate) struct InFlightRequests {
    by_id: BTreeMap<u64, InFlightRequest>,
    /// Request id by the number of the quota request.
    id_by_number: BTreeMap<u64, u64>,
}

impl InFlightRequests {
    pub fn insert(&mut self, request: InFlightRequest) {
        let id = request.state.request.id;
        self.id_by_number.insert(request.state.number, id);
        self.by_id.insert(id, request);
    }

    pub fn get(&self, id: u64) -> Option<&InFlightRequest> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// The request whose quota request had this number.
    pub fn by_number(&mut self, number: u64) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(self.id_by_number.get(&number)?)
    }

    pub fn remove(&mut self, id: u64) -> Option<InFlightRequest> {
        let request = self.by_id.remove(&id)?;
        self.id_by_number.remove(&request.state.number);
        Some(request)
    }
}

#[cfg(test)]
mod tests;
