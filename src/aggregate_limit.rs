//! Divides a plan's hard ceiling among the gatekeepers so that the sum of their shares never exceeds it.
//!
//! Equal local shares alone would starve the gatekeeper that gets most of a customer's requests: in a set of
//! eight each holds an eighth, and a request that arrives where the local share is spent is refused far below
//! the ceiling. So the customer's quota owner, which is asked for the units of each request anyway, holds the
//! larger share, and that share covers the units it has just granted. Units sent without a fresh grant (from
//! prefetched tokens, or while the quota owner does not reply) are covered by the sender's local share of the
//! rest. Both shares start empty after a restart, because the previous incarnation may already have spent
//! them.

use crate::api::Plan;

/// Bounds of the owner's fraction of the ceiling. Between them the owner holds a little more than the quota
/// that it grants from.
const OWNER_FRACTION_RANGE: (f64, f64) = (0.62, 0.85);
/// Ratio of the owner's share to the quota that it grants from.
const OWNER_TO_QUOTA_RATIO: f64 = 1.1;
/// Fraction of the ceiling that the owner's share and the local shares hold together. The remainder covers
/// grants that are still in transit between gatekeepers.
const DIVIDED_FRACTION: f64 = 0.92;

/// Parameters of a token bucket that holds a share of a ceiling. A plan without a ceiling has an unlimited
/// share.
#[derive(Clone, Copy)]
pub(crate) struct LimitShare {
    /// Units per second.
    rate: f64,
    /// Maximum number of units in the bucket.
    capacity: f64,
}

const UNLIMITED: LimitShare = LimitShare { rate: f64::INFINITY, capacity: f64::INFINITY };

/// The owners' fraction of a ceiling, given the plan's quota and the ceiling in units per second.
fn owner_fraction(rate: f64, ceiling_rate: f64) -> f64 {
    (OWNER_TO_QUOTA_RATIO * rate / ceiling_rate).clamp(OWNER_FRACTION_RANGE.0, OWNER_FRACTION_RANGE.1)
}

/// Minimum fraction of a ceiling that the local shares of a whole set hold together, for callers that
/// estimate in advance what one gatekeeper may have held. `rate` is the plan's quota and `ceiling_rate` its
/// ceiling, both in units per second. The local shares hold more than this for plans without a quota, without
/// peer messages or with a limit of requests in flight, and nothing in sets too large for local shares.
#[must_use]
pub fn min_local_limit_share(rate: f64, ceiling_rate: f64) -> f64 {
    if rate > 0.0 && ceiling_rate > 0.0 { DIVIDED_FRACTION - owner_fraction(rate, ceiling_rate) } else { 1.0 }
}

/// The policy by which the gatekeepers divide a plan's ceiling.
#[derive(Clone, Copy)]
pub(crate) struct LimitDivision {
    /// Whether gatekeepers can ask the quota owner, that is, exchange peer messages.
    pub can_ask_owner: bool,
    /// Whether there is a single gatekeeper, which then owns every quota.
    pub is_single: bool,
    /// Units of the largest possible request.
    pub max_request_units: f64,
}

impl LimitDivision {
    /// The share that holds a fraction of the plan's ceiling.
    fn share_of_ceiling(plan: &Plan, fraction: f64) -> LimitShare {
        if plan.ceiling_rate <= 0.0 {
            return UNLIMITED;
        }
        LimitShare {
            rate: plan.ceiling_rate * fraction,
            capacity: (plan.ceiling_burst + plan.ceiling_slack) * fraction,
        }
    }

    /// Whether local shares alone hold a plan's ceiling. This is so where gatekeepers cannot ask the owner,
    /// where the plan has no quota for an owner to grant from, and where the plan limits the requests in
    /// flight, so that a request may wait for long after its grant.
    pub fn is_local_only(self, plan: &Plan) -> bool {
        plan.ceiling_rate > 0.0 && !(self.can_ask_owner && plan.rate > 0.0 && plan.max_in_flight == 0)
    }

    /// Whether a set of `set` gatekeepers is so large that a local share could never hold the largest
    /// request. The local shares are then zero, and the owner holds their part as well.
    pub fn owner_holds_all(self, plan: &Plan, set: f64) -> bool {
        let capacity_per_gatekeeper = (plan.ceiling_burst + plan.ceiling_slack) / set;
        !self.is_single
            && !self.is_local_only(plan)
            && capacity_per_gatekeeper * (DIVIDED_FRACTION - owner_fraction(plan.rate, plan.ceiling_rate))
                < self.max_request_units
    }

    /// The share of one of `quota_owners` owners of a customer's quota; unlimited where local shares alone
    /// hold the ceiling, since the owner then refuses nothing because of it. `owner_holds_all` is the result
    /// of [`LimitDivision::owner_holds_all`] for the customer's set.
    pub fn owner_share(self, plan: &Plan, quota_owners: f64, owner_holds_all: bool) -> LimitShare {
        if self.is_local_only(plan) {
            return UNLIMITED;
        }
        let fraction = match owner_holds_all {
            _ if self.is_single => 1.0,
            true => DIVIDED_FRACTION,
            false => owner_fraction(plan.rate, plan.ceiling_rate),
        };
        LimitDivision::share_of_ceiling(plan, fraction / quota_owners)
    }

    /// The share of one of the `set` gatekeepers of a customer's set, from which it sends requests without a
    /// fresh grant.
    pub fn local_share(self, plan: &Plan, set: f64) -> LimitShare {
        let fraction = match self.is_local_only(plan) {
            true => 1.0,
            false if self.is_single || self.owner_holds_all(plan, set) => 0.0,
            false => DIVIDED_FRACTION - owner_fraction(plan.rate, plan.ceiling_rate),
        };
        LimitDivision::share_of_ceiling(plan, fraction / set)
    }

    /// Whether the owner's share covers a request. `granted` tells whether the owner has granted its units.
    pub fn is_covered_by_owner(self, plan: &Plan, granted: bool) -> bool {
        granted && !self.is_local_only(plan)
    }
}

/// Token bucket with the units of a share that are available. The default is an empty bucket.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket(f64);

impl TokenBucket {
    /// Creates a bucket that holds a number of tokens.
    pub fn new(tokens: f64) -> TokenBucket {
        TokenBucket(tokens)
    }

    /// Adds the tokens of `ms` milliseconds, up to the share's capacity.
    pub fn refill(&mut self, share: LimitShare, ms: f64) {
        self.0 = if share.capacity.is_finite() {
            (self.0 + share.rate * ms / 1000.0).min(share.capacity)
        } else {
            f64::INFINITY
        };
    }

    /// Whether the bucket holds at least so many units.
    pub fn has(&self, units: f64) -> bool {
        self.0 >= units
    }

    /// Removes units without a check: the number of tokens may become negative.
    pub fn consume(&mut self, units: f64) {
        self.0 -= units;
    }

    /// Returns units that were consumed for a request that was not sent, up to the share's capacity.
    pub fn refund(&mut self, units: f64, share: LimitShare) {
        self.0 = (self.0 + units).min(share.capacity);
    }

    /// The number of tokens as it is persisted: 0 for an unlimited share.
    pub fn tokens(&self) -> f64 {
        if self.0.is_finite() { self.0 } else { 0.0 }
    }
}

#[cfg(test)]
mod tests;
