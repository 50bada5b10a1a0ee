//! What a gateway keeps: plain data, nothing decided here.

use crate::api::*;
use crate::ceiling::Store;
use std::collections::{BTreeMap, VecDeque};

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
    /// At its keeper: the keeper's part of the ceiling, as of `at`.
    pub kept: Store,
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
}

/// What is known of a server.
#[derive(Default)]
pub(crate) struct Live {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    pub health: Health,
    pub since: f64,
    pub out: BTreeMap<u64, f64>,
    pub pace: Option<f64>,
    pub paced_at: f64,
    pub usual: f64,
    pub usual_at: f64,
    pub sent_at: f64,
    /// When an answer last left a connection to it at rest.
    pub rested_at: f64,
    /// Before anything went there: the part of the gap to this gateway's turn that is taken for past.
    pub phase: f64,
    /// When the last report came, and what it said others have in flight.
    pub reported: Option<(f64, f64)>,
    pub fail: f64,
    pub fail_at: f64,
    pub kind: u32,
}

impl Live {
    /// Keeps the mean number of this gateway's requests here over time. Called before it changes.
    pub fn average(&mut self, now: f64) {
        self.usual = self.usual_now(now);
        self.usual_at = now;
    }

    pub fn usual_now(&self, now: f64) -> f64 {
        let kept = (-(now - self.usual_at) / DEMAND_MS).exp();
        self.usual * kept + self.out.len() as f64 * (1.0 - kept)
    }
}

/// A request that has been sent on.
pub(crate) struct Held {
    pub job: Job,
    pub attempts: u32,
    pub ended: bool,
    pub sent_at: f64,
    pub load: f64,
    /// The zone and cell of the first attempt that may have run, and when it was sent.
    pub may_run: Option<(u32, u32, f64)>,
}

/// What is known of all servers together.
#[derive(Default)]
pub(crate) struct Fleet {
    /// How long an answer takes, on average and with nothing else to do: of all, by class and by kind.
    pub took: f64,
    pub pace: Option<f64>,
    pub class_pace: Vec<f64>,
    pub kind_pace: BTreeMap<u32, f64>,
    pub answers: f64,
    pub fail: f64,
    /// This gateway's attempts out, and their mean over time as of `usual_at`.
    pub in_flight: usize,
    pub usual: f64,
    pub usual_at: f64,
    /// When a report last came, and what they say on average of the others' at a server.
    pub reported: Option<(f64, f64)>,
}
