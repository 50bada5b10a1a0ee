//! The ids of finished requests that may have run. A request that comes again under such an id is not run a
//! second time.
//!
//! Ids are kept for [`RETENTION_MS`], in bounded memory. Ids of requests that must not run twice are never
//! dropped earlier: once they fill the memory there is no room for further such requests. Others give way.
//! Each operation costs O(log n) with n ids.

use std::collections::{BTreeSet, VecDeque};

/// How long an id is kept: no client waits longer for one request.
const RETENTION_MS: f64 = crate::client_request::MAX_WAIT_MS;
/// Estimated memory of an id, in the set and in its queue.
const ID_BYTES: usize = 48;
/// Maximum number of expired ids that one insertion removes.
const MAX_EXPIRED_PER_INSERTION: usize = 4;

/// Ids in the order of their requests' ends, each with the time of the end in ms.
type IdQueue = VecDeque<(f64, u64)>;

/// Ids of finished requests that may have run.
pub(super) struct UsedIds {
    ids: BTreeSet<u64>,
    repeatable: IdQueue,
    unrepeatable: IdQueue,
    max_ids: usize,
}

impl UsedIds {
    /// Creates an empty set that takes `max_bytes` of memory at most.
    pub(super) fn new(max_bytes: usize) -> UsedIds {
        UsedIds {
            ids: BTreeSet::new(),
            repeatable: IdQueue::new(),
            unrepeatable: IdQueue::new(),
            max_ids: max_bytes / ID_BYTES,
        }
    }

    /// Whether a request with this id may have run.
    pub(super) fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Whether the id of a further request that must not run twice could be kept.
    pub(super) fn has_room(&mut self, now: f64) -> bool {
        self.remove_expired(now);
        self.unrepeatable.len() < self.max_ids
    }

    /// Adds the id of a finished request. `is_repeatable` says whether it would be harmless to run it twice.
    pub(super) fn insert(&mut self, now: f64, id: u64, is_repeatable: bool) {
        self.remove_expired(now);
        if self.ids.len() >= self.max_ids {
            match self.repeatable.pop_front() {
                Some((_, oldest)) => self.ids.remove(&oldest),
                None if is_repeatable => return,
                None => false,
            };
        }
        if self.ids.insert(id) {
            let queue = if is_repeatable { &mut self.repeatable } else { &mut self.unrepeatable };
            queue.push_back((now, id));
        }
    }

    fn remove_expired(&mut self, now: f64) {
        for queue in [&mut self.repeatable, &mut self.unrepeatable] {
            for _ in 0..MAX_EXPIRED_PER_INSERTION {
                let Some((_, id)) = queue.pop_front_if(|(at, _)| now - *at > RETENTION_MS) else { break };
                self.ids.remove(&id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
