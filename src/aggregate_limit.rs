//! A plan's hard ceiling, dealt out among the gatekeepers so that their sum can never pass it.
//!
//! Equal slices alone starve whoever sees most of a customer: of a set of eight each holds an eighth, and a request that
//! comes where the slice is spent is turned away with the ceiling far off. So the customer's keeper, which is asked
//! for each request's units in any case, holds the larger part, and a unit it has just granted is covered by that. What
//! goes out without a fresh grant (from stock, or past a silent keeper) is covered by the sender's own slice of the rest.
//! Both begin a life empty: a former life may have spent what they held.

use crate::api::Plan;

/// The keeper's part at the least and at the most: between, a little more than the quota it grants from.
const KEPT: (f64, f64) = (0.62, 0.85);
const ABOVE_QUOTA: f64 = 1.1;
/// What keeper and slices hold together. The remainder covers grants that are still on their way when they are used.
const DEALT: f64 = 0.92;

/// A share of a ceiling: units a second, and the most it holds. No ceiling is an endless share.
#[derive(Clone, Copy)]
pub(crate) struct LimitShare {
    rate: f64,
    most: f64,
}

const ENDLESS: LimitShare = LimitShare { rate: f64::INFINITY, most: f64::INFINITY };

fn owner_part(rate: f64, ceiling_rate: f64) -> f64 {
    (ABOVE_QUOTA * rate / ceiling_rate).clamp(KEPT.0, KEPT.1)
}

/// The least part of a ceiling that the slices of a whole set hold together, for whoever says ahead what one of them may
/// have held. Without a quota, without notes or with capped places they hold more, in a set too large for slices nothing.
#[must_use]
pub fn min_local_limit_share(rate: f64, ceiling_rate: f64) -> f64 {
    if rate > 0.0 && ceiling_rate > 0.0 { DEALT - owner_part(rate, ceiling_rate) } else { 1.0 }
}

/// How a tier deals its ceilings out.
#[derive(Clone, Copy)]
pub(crate) struct LimitDivision {
    /// Whether a keeper can be asked.
    pub can_ask_owner: bool,
    /// Whether there is one gatekeeper alone, which is asked for everything.
    pub is_single: bool,
    /// The units of the largest request.
    pub max_request_units: f64,
}

impl LimitDivision {
    fn part(plan: &Plan, part: f64) -> LimitShare {
        if plan.ceiling_rate <= 0.0 {
            return ENDLESS;
        }
        LimitShare { rate: plan.ceiling_rate * part, most: (plan.ceiling_burst + plan.ceiling_slack) * part }
    }

    /// Whether a plan's ceiling is held by slices alone: where nobody can be asked, where there is no quota that a keeper
    /// grants from, and where places are capped, so that a request may wait long after its grant.
    pub fn is_local_only(self, plan: &Plan) -> bool {
        plan.ceiling_rate > 0.0 && !(self.can_ask_owner && plan.rate > 0.0 && plan.max_in_flight == 0)
    }

    /// Whether a set is so large that a slice would never let the largest request out: then they are nothing, and the
    /// keeper holds what they would have held.
    pub fn owner_holds_all(self, plan: &Plan, set: f64) -> bool {
        let most = (plan.ceiling_burst + plan.ceiling_slack) / set;
        !self.is_single
            && !self.is_local_only(plan)
            && most * (DEALT - owner_part(plan.rate, plan.ceiling_rate)) < self.max_request_units
    }

    /// What one of so many keepers of a customer holds; where slices hold all, it holds nothing back either. `owner_holds_all`: as
    /// [`LimitDivision::owner_holds_all`] says of the customer's set.
    pub fn owner_share(self, plan: &Plan, quota_owners: f64, owner_holds_all: bool) -> LimitShare {
        if self.is_local_only(plan) {
            return ENDLESS;
        }
        let part = match owner_holds_all {
            _ if self.is_single => 1.0,
            true => DEALT,
            false => owner_part(plan.rate, plan.ceiling_rate),
        };
        LimitDivision::part(plan, part / quota_owners)
    }

    /// What one of so many gatekeepers of a customer's set may send on without a fresh grant.
    pub fn local_share(self, plan: &Plan, set: f64) -> LimitShare {
        let part = match self.is_local_only(plan) {
            true => 1.0,
            false if self.is_single || self.owner_holds_all(plan, set) => 0.0,
            false => DEALT - owner_part(plan.rate, plan.ceiling_rate),
        };
        LimitDivision::part(plan, part / set)
    }

    /// Whether a request that the keeper granted is covered by the keeper's part.
    pub fn is_covered_by_owner(self, plan: &Plan, granted: bool) -> bool {
        granted && !self.is_local_only(plan)
    }
}

/// The units at hand of a share.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket(f64);

impl TokenBucket {
    pub fn new(level: f64) -> TokenBucket {
        TokenBucket(level)
    }

    pub fn refill(&mut self, share: LimitShare, ms: f64) {
        self.0 = if share.most.is_finite() {
            (self.0 + share.rate * ms / 1000.0).min(share.most)
        } else {
            f64::INFINITY
        };
    }

    pub fn has(&self, units: f64) -> bool {
        self.0 >= units
    }

    pub fn consume(&mut self, units: f64) {
        self.0 -= units;
    }

    /// Gives back what was taken and not sent on.
    pub fn refund(&mut self, units: f64, share: LimitShare) {
        self.0 = (self.0 + units).min(share.most);
    }

    /// What it holds, for the record: nothing where there is no ceiling.
    pub fn tokens(&self) -> f64 {
        if self.0.is_finite() { self.0 } else { 0.0 }
    }
}

#[cfg(test)]
mod tests;
