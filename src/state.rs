//! What a gateway keeps: plain data, nothing decided here.

use crate::api::*;
use crate::ceiling::Store;
use std::collections::VecDeque;

/// Demand is remembered for about this long: to count slow customers and to follow those that move.
pub(crate) const DEMAND_MS: f64 = 2000.0;

/// What is known of a customer. One gateway of its set, found from its key, is its keeper and
/// holds the store; each of the others meets its demand by what the keeper last told.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: u32,
    pub seen: f64,
    /// At its keeper: the store as of `at`, the demand of all, and the places.
    pub at: f64,
    pub level: f64,
    pub demand: f64,
    pub granted: f64,
    pub places: Option<Box<Places>>,
    /// Elsewhere: when the keeper last told, and of what demand, grants and store.
    pub told: Told,
    /// The part of requests that may ask, saved up; this gateway's own demand; what it was granted
    /// and has not yet sent on; when it last asked for more.
    pub credit: f64,
    pub own: f64,
    pub stock: f64,
    pub asked_at: f64,
    pub untold: f64,
    /// What this gateway has out, and the most where each has places of its own.
    pub open: u32,
    pub slots: u32,
    /// At its keeper: the keeper's part of the ceiling, as of `at`; whether all that asked hold no slices, once one has.
    pub kept: Store,
    pub whole: Option<bool>,
    /// This gateway's slices of the ceiling and of the quota, as of `slice_at`; its own demand is too.
    pub ceiling: Store,
    pub slice: f64,
    pub slice_at: f64,
}

/// A customer's places out and who waits for one, at its keeper, in a plan that caps these.
#[derive(Default)]
pub(crate) struct Places {
    pub out: VecDeque<((u32, u64), f64)>,
    pub queue: VecDeque<Ask>,
}

/// What a keeper last told, and when; long ago means never.
#[derive(Clone, Copy)]
pub(crate) struct Told {
    pub at: f64,
    pub demand: f64,
    pub granted: f64,
    pub level: f64,
}

impl Default for Told {
    fn default() -> Self {
        Told { at: f64::NEG_INFINITY, demand: 0.0, granted: 0.0, level: 0.0 }
    }
}

impl Customer {
    /// The store as it was last known here, and as of when.
    pub fn known(&self) -> (f64, f64) {
        if self.told.at.is_finite() { (self.told.at, self.told.level) } else { (self.at, self.level) }
    }
}

/// A gateway's question to a customer's keeper: may this request be sent on?
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ask {
    pub from: u32,
    pub number: u64,
    pub units: f64,
    pub extra: f64,
    /// Whether it needs one of the places that all gateways share.
    pub shared: bool,
    /// Whether the customer's set is too large for slices of its ceiling.
    pub whole: bool,
    pub until: f64,
}

/// A keeper's answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Word {
    Deny,
    Grant,
    Wait,
}

/// A request on its way: it waits for its keeper's word, or once `queued` for a place, or is out.
pub(crate) struct Job {
    pub request: Request,
    /// Asked by a check: nothing is sent for it.
    pub check: bool,
    pub key: u64,
    pub keeper: u32,
    pub tier: usize,
    pub arrived: f64,
    /// The number of its question to the keeper, and of the one that was granted what it uses.
    pub number: u64,
    pub place: Option<u64>,
    pub until: f64,
    pub queued: bool,
    /// The question as it was put and the demand told with it, until it has been put once more.
    pub again: Option<(Ask, f64)>,
}
