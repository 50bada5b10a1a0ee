//! State of customers, quota requests and waiting requests: plain data without decisions.

use crate::aggregate_limit::TokenBucket;
use crate::api::*;
use std::collections::VecDeque;

/// Decay time of demand: long enough to count customers that send seldom, short enough to follow those that
/// change.
pub(crate) const DEMAND_DECAY_MS: f64 = 2000.0;

/// State of a customer. One gatekeeper of its set, derived from its key, is its quota owner and holds its
/// token bucket; the others limit its requests by the owner's last report. Times are in ms, demand and grants
/// in units per second.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: u32,
    /// When its last request, check or message was handled.
    pub last_seen: f64,
    /// At the owner: tokens as of `refilled_at`, demand at all gatekeepers, grants and concurrency permits.
    pub refilled_at: f64,
    pub quota_tokens: f64,
    pub demand: f64,
    pub granted: f64,
    pub permits: Option<Box<Permits>>,
    /// At other gatekeepers: the last report of the owner.
    pub owner_report: OwnerReport,
    /// Saved share of requests that may ask the owner; one request uses 1.
    pub request_credit: f64,
    /// Demand at this gatekeeper, as of `local_shares_at`.
    pub local_demand: f64,
    /// Granted tokens that no request has used yet, and when more were last asked for.
    pub prefetched_tokens: f64,
    pub prefetched_at: f64,
    /// Units of demand to report with the next quota request.
    pub unreported_demand: f64,
    /// Requests in flight here, and their limit where each gatekeeper has permits of its own (else
    /// `u32::MAX`).
    pub in_flight: u32,
    pub local_permits: u32,
    /// At the owner: its share of the ceiling as of `refilled_at`, and whether all that have asked hold no
    /// local shares (`None` before the first).
    pub owner_ceiling: TokenBucket,
    pub owner_holds_all: Option<bool>,
    /// Local shares of the ceiling and of the quota, as of `local_shares_at`.
    pub local_ceiling: TokenBucket,
    pub local_quota: f64,
    pub local_shares_at: f64,
}

/// At the owner, for plans with a concurrency limit: a customer's permits and the requests that wait for one.
#[derive(Default)]
pub(crate) struct Permits {
    /// Gatekeeper and number of the quota request, and when the permit was granted, oldest first.
    pub granted: VecDeque<((u32, u64), f64)>,
    pub waiting: VecDeque<QuotaRequest>,
}

/// The last report of a quota owner; `received_at` is negative infinity if there was none.
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
    /// Time and content of the last known state of the token bucket: (ms, tokens).
    pub fn last_known_tokens(&self) -> (f64, f64) {
        if self.owner_report.received_at.is_finite() {
            (self.owner_report.received_at, self.owner_report.quota_tokens)
        } else {
            (self.refilled_at, self.quota_tokens)
        }
    }
}

/// A gatekeeper's request to a quota owner for the units of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaRequest {
    /// Number of the asking gatekeeper.
    pub from: u32,
    /// The asking gatekeeper's number for it.
    pub number: u64,
    pub units: f64,
    /// Further units to grant for later requests, if available.
    pub prefetch_units: f64,
    /// Whether it needs one of the concurrency permits that all gatekeepers share.
    pub uses_shared_permit: bool,
    /// Whether the customer's set is too large for local shares of its ceiling.
    pub owner_holds_all: bool,
    /// When a reply is of no more use.
    pub until: f64,
}

/// A quota owner's reply.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum QuotaReply {
    Deny,
    Grant,
    /// The request waits at the owner for a concurrency permit.
    Wait,
}

/// A request or check: waiting for its quota owner's reply or, if `awaits_permit`, for a permit, or in
/// flight.
pub(crate) struct RequestState {
    pub request: Request,
    /// Whether it is a check, for which nothing is sent.
    pub is_check: bool,
    /// The customer's key.
    pub key: u64,
    pub quota_owner: u32,
    pub tier: usize,
    pub arrived_at: f64,
    /// Number of its quota request, and number under which its units and permit were granted.
    pub number: u64,
    pub permit: Option<u64>,
    /// When it stops waiting.
    pub until: f64,
    pub awaits_permit: bool,
    /// The quota request as sent and the demand reported with it, until it has been sent a second time.
    pub retransmission: Option<(QuotaRequest, f64)>,
}
