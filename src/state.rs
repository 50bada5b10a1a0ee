//! What a gatekeeper keeps: plain data, nothing decided here.

use crate::aggregate_limit::TokenBucket;
use crate::api::*;
use std::collections::VecDeque;

/// Demand is remembered for about this long: to count slow customers and to follow those that move.
pub(crate) const DEMAND_DECAY_MS: f64 = 2000.0;

/// What is known of a customer. One gatekeeper of its set, found from its key, is its keeper and
/// holds the store; each of the others meets its demand by what the keeper last told.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: u32,
    pub last_seen: f64,
    /// At its keeper: the store as of `refilled_at`, the demand of all, and the places.
    pub refilled_at: f64,
    pub quota_tokens: f64,
    pub demand: f64,
    pub granted: f64,
    pub permits: Option<Box<Permits>>,
    /// Elsewhere: when the keeper last told, and of what demand, grants and store.
    pub owner_report: OwnerReport,
    /// The part of requests that may ask, saved up; this gatekeeper's own demand; what it was granted
    /// and has not yet sent on; when it last asked for more.
    pub request_credit: f64,
    pub local_demand: f64,
    pub prefetched_tokens: f64,
    pub prefetched_at: f64,
    pub unreported_demand: f64,
    /// What this gatekeeper has out, and the most where each has places of its own.
    pub in_flight: u32,
    pub local_permits: u32,
    /// At its keeper: the keeper's part of the ceiling, as of `refilled_at`; whether all that asked hold no slices, once one has.
    pub owner_ceiling: TokenBucket,
    pub owner_holds_all: Option<bool>,
    /// This gatekeeper's slices of the ceiling and of the quota, as of `local_shares_at`; its own demand is too.
    pub local_ceiling: TokenBucket,
    pub local_quota: f64,
    pub local_shares_at: f64,
}

/// A customer's places out and who waits for one, at its keeper, in a plan that caps these.
#[derive(Default)]
pub(crate) struct Permits {
    pub granted: VecDeque<((u32, u64), f64)>,
    pub waiting: VecDeque<QuotaRequest>,
}

/// What a keeper last told, and when; long ago means never.
#[derive(Clone, Copy)]
pub(crate) struct OwnerReport {
    pub received_at: f64,
    pub demand: f64,
    pub granted: f64,
    pub quota_tokens: f64,
}

impl Default for OwnerReport {
    fn default() -> Self {
        OwnerReport { received_at: f64::NEG_INFINITY, demand: 0.0, granted: 0.0, quota_tokens: 0.0 }
    }
}

impl Customer {
    /// The store as it was last known here, and as of when.
    pub fn last_known_tokens(&self) -> (f64, f64) {
        if self.owner_report.received_at.is_finite() {
            (self.owner_report.received_at, self.owner_report.quota_tokens)
        } else {
            (self.refilled_at, self.quota_tokens)
        }
    }
}

/// A gatekeeper's question to a customer's keeper: may this request be sent on?
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaRequest {
    pub from: u32,
    pub number: u64,
    pub units: f64,
    pub prefetch_units: f64,
    /// Whether it needs one of the places that all gatekeepers share.
    pub uses_shared_permit: bool,
    /// Whether the customer's set is too large for slices of its ceiling.
    pub owner_holds_all: bool,
    pub until: f64,
}

/// A keeper's answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum QuotaReply {
    Deny,
    Grant,
    Wait,
}

/// A request on its way: it waits for its keeper's word, or once `awaits_permit` for a place, or is out.
pub(crate) struct RequestState {
    pub request: Request,
    /// Asked by a check: nothing is sent for it.
    pub is_check: bool,
    pub key: u64,
    pub quota_owner: u32,
    pub tier: usize,
    pub arrived_at: f64,
    /// The number of its question to the keeper, and of the one that was granted what it uses.
    pub number: u64,
    pub permit: Option<u64>,
    pub until: f64,
    pub awaits_permit: bool,
    /// The question as it was put and the demand told with it, until it has been put once more.
    pub retransmission: Option<(QuotaRequest, f64)>,
}
