//! A plan's hard ceiling, dealt out among the gateways so that their sum can never pass it.
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
pub(crate) struct Share {
    rate: f64,
    most: f64,
}

const ENDLESS: Share = Share { rate: f64::INFINITY, most: f64::INFINITY };

fn keepers_part(rate: f64, ceiling_rate: f64) -> f64 {
    (ABOVE_QUOTA * rate / ceiling_rate).clamp(KEPT.0, KEPT.1)
}

/// The least part of a ceiling that the slices of a whole set hold together, for whoever says ahead what one of them may
/// have held. Without a quota, without notes or with capped places they hold more, in a set too large for slices nothing.
#[must_use]
pub fn least_sliced(rate: f64, ceiling_rate: f64) -> f64 {
    if rate > 0.0 && ceiling_rate > 0.0 { DEALT - keepers_part(rate, ceiling_rate) } else { 1.0 }
}

/// How a tier deals its ceilings out.
#[derive(Clone, Copy)]
pub(crate) struct Dealing {
    /// Whether a keeper can be asked.
    pub notes: bool,
    /// Whether there is one gateway alone, which is asked for everything.
    pub alone: bool,
    /// The units of the largest request.
    pub largest: f64,
}

impl Dealing {
    fn part(plan: &Plan, part: f64) -> Share {
        if plan.ceiling_rate <= 0.0 {
            return ENDLESS;
        }
        Share { rate: plan.ceiling_rate * part, most: (plan.ceiling_burst + plan.ceiling_slack) * part }
    }

    /// Whether a plan's ceiling is held by slices alone: where nobody can be asked, where there is no quota that a keeper
    /// grants from, and where places are capped, so that a request may wait long after its grant.
    pub fn sliced(self, plan: &Plan) -> bool {
        plan.ceiling_rate > 0.0 && !(self.notes && plan.rate > 0.0 && plan.open == 0)
    }

    /// Whether a set is so large that a slice would never let the largest request out: then they are nothing, and the
    /// keeper holds what they would have held.
    pub fn whole(self, plan: &Plan, set: f64) -> bool {
        let most = (plan.ceiling_burst + plan.ceiling_slack) / set;
        !self.alone
            && !self.sliced(plan)
            && most * (DEALT - keepers_part(plan.rate, plan.ceiling_rate)) < self.largest
    }

    /// What one of so many keepers of a customer holds; where slices hold all, it holds nothing back either. `whole`: as
    /// [`Dealing::whole`] says of the customer's set.
    pub fn kept(self, plan: &Plan, keepers: f64, whole: bool) -> Share {
        if self.sliced(plan) {
            return ENDLESS;
        }
        let part = match whole {
            _ if self.alone => 1.0,
            true => DEALT,
            false => keepers_part(plan.rate, plan.ceiling_rate),
        };
        Dealing::part(plan, part / keepers)
    }

    /// What one of so many gateways of a customer's set may send on without a fresh grant.
    pub fn slice(self, plan: &Plan, set: f64) -> Share {
        let part = match self.sliced(plan) {
            true => 1.0,
            false if self.alone || self.whole(plan, set) => 0.0,
            false => DEALT - keepers_part(plan.rate, plan.ceiling_rate),
        };
        Dealing::part(plan, part / set)
    }

    /// Whether a request that the keeper granted is covered by the keeper's part.
    pub fn covered(self, plan: &Plan, granted: bool) -> bool {
        granted && !self.sliced(plan)
    }
}

/// The units at hand of a share.
#[derive(Clone, Copy, Default)]
pub(crate) struct Store(f64);

impl Store {
    pub fn new(level: f64) -> Store {
        Store(level)
    }

    pub fn fill(&mut self, share: Share, ms: f64) {
        self.0 = if share.most.is_finite() {
            (self.0 + share.rate * ms / 1000.0).min(share.most)
        } else {
            f64::INFINITY
        };
    }

    pub fn holds(&self, units: f64) -> bool {
        self.0 >= units
    }

    pub fn take(&mut self, units: f64) {
        self.0 -= units;
    }

    /// Gives back what was taken and not sent on.
    pub fn give(&mut self, units: f64, share: Share) {
        self.0 = (self.0 + units).min(share.most);
    }

    /// What it holds, for the record: nothing where there is no ceiling.
    pub fn level(&self) -> f64 {
        if self.0.is_finite() { self.0 } else { 0.0 }
    }
}

#[cfg(test)]
mod tests;
