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

fn part(plan: &Plan, part: f64) -> Share {
    if plan.ceiling_rate <= 0.0 {
        return Share { rate: f64::INFINITY, most: f64::INFINITY };
    }
    Share { rate: plan.ceiling_rate * part, most: (plan.ceiling_burst + plan.ceiling_slack) * part }
}

/// Whether the keeper's grant covers anything: where there is no quota nothing is granted by one, and where places are
/// capped a request may wait long after its grant. Then slices hold the whole.
pub(crate) fn dealt(plan: &Plan) -> bool {
    plan.ceiling_rate > 0.0 && plan.rate > 0.0 && plan.open == 0
}

fn keepers_part(plan: &Plan) -> f64 {
    (ABOVE_QUOTA * plan.rate / plan.ceiling_rate).clamp(KEPT.0, KEPT.1)
}

/// What one of so many keepers of a customer holds; where nothing is covered by it, it holds nothing back either. A
/// gateway that is `alone` is asked for everything.
pub(crate) fn kept(plan: &Plan, keepers: f64, alone: bool) -> Share {
    if !dealt(plan) {
        return part(&Plan::default(), 1.0);
    }
    part(plan, if alone { 1.0 } else { keepers_part(plan) / keepers })
}

/// What one of so many gateways of a customer's set may send on without a fresh grant. With nobody to ask it is all.
pub(crate) fn slice(plan: &Plan, set: f64, notes: bool) -> Share {
    let asked = notes && dealt(plan);
    part(plan, if asked { DEALT - keepers_part(plan) } else { 1.0 } / set)
}

/// Whether a request that the keeper granted is covered by the keeper's part. Where it may have waited long for a
/// place since, it is not: what was granted over a time must not go out in one stroke.
pub(crate) fn covered(plan: &Plan, granted: bool) -> bool {
    granted && (dealt(plan) || plan.ceiling_rate <= 0.0)
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn plan(rate: f64, burst: f64) -> Plan {
        Plan {
            rate: 0.5 * rate,
            ceiling_rate: rate,
            ceiling_burst: burst,
            ceiling_slack: 0.1 * burst,
            ..Plan::default()
        }
    }

    #[test]
    fn without_a_ceiling_everything_fits_and_the_record_holds_nothing() {
        let mut store = Store::default();
        store.fill(slice(&Plan::default(), 8.0, true), 0.0);
        store.take(1e9);
        assert!(store.holds(1e9));
        assert!(store.level().abs() < f64::EPSILON);
    }

    #[test]
    fn a_new_life_holds_nothing_at_first() {
        let p = plan(20.0, 40.0);
        let mut store = Store::default();
        store.fill(kept(&p, 1.0, false), 0.0);
        assert!(!store.holds(0.5));
        store.fill(kept(&p, 1.0, false), 1000.0);
        assert!(store.holds(12.0) && !store.holds(13.0));
    }

    proptest! {
        /// Whoever spends how much and whenever, keepers and slices that restart empty or not: in every span of time the
        /// sum stays within the ceiling's store, which held its burst and slack at the start of the span.
        #[test]
        fn the_sum_of_all_shares_keeps_the_ceiling(
            rate in 5.0..40.0f64, quota in 0.1..1.5f64, burst in 10.0..80.0f64, set in 1u32..12, keepers in 1u32..3,
            steps in prop::collection::vec((0u32..16, 0.0..400.0f64, 0.5..6.0f64, prop::bool::weighted(0.02)), 1..400),
        ) {
            let p = Plan { rate: quota * rate, ..plan(rate, burst) };
            let mut stores = vec![Store::default(); (set + keepers) as usize];
            let (mut now, mut at) = (0.0, vec![0.0; stores.len()]);
            // The ceiling's own store, as the rule counts it.
            let mut ceiling = burst;
            for (who, ms, units, dies) in steps {
                now += ms;
                ceiling = (ceiling + rate * ms / 1000.0).min(burst);
                let who = who as usize % stores.len();
                let keeps = who < keepers as usize;
                let share =
                    if keeps { kept(&p, f64::from(keepers), false) } else { slice(&p, f64::from(set), true) };
                if dies {
                    (stores[who], at[who]) = (Store::default(), now);
                }
                stores[who].fill(share, now - at[who]);
                at[who] = now;
                if stores[who].holds(units) {
                    stores[who].take(units);
                    ceiling -= units;
                }
                prop_assert!(ceiling >= -p.ceiling_slack - 1e-6, "{ceiling}");
            }
        }
    }
}
