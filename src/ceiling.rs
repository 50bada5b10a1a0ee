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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ASKED: Dealing = Dealing { notes: true, alone: false, largest: 1.0 };

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
        store.fill(ASKED.slice(&Plan::default(), 8.0), 0.0);
        store.take(1e9);
        assert!(store.holds(1e9));
        assert!(store.level().abs() < f64::EPSILON);
    }

    /// In every kind of tier all that may go out of a set at once is the ceiling's store at the most.
    #[test]
    fn no_way_of_dealing_holds_more_than_the_ceiling() {
        let whole = plan(20.0, 40.0);
        for (rate, open) in [(0.0, 0), (5.0, 0), (30.0, 0), (10.0, 3)] {
            for (notes, set) in [(true, 1.0), (true, 5.0), (true, 75.0), (false, 5.0)] {
                let (p, way) = (
                    Plan { rate, open, ..whole.clone() },
                    Dealing { notes, alone: set <= 1.0, largest: 1.0 },
                );
                // Where slices hold all, a keeper's grant covers nothing, and its endless part is never drawn on.
                let kept = if way.sliced(&p) { 0.0 } else { way.kept(&p, 1.0, way.whole(&p, set)).most };
                let all = kept + set * way.slice(&p, set).most;
                assert!(
                    (0.9 * 44.0..=44.0 + 1e-9).contains(&all),
                    "{all} of 44 at {rate}, {open}, {notes}, {set}"
                );
                assert!(
                    set * way.slice(&p, set).rate + 1e-9 >= least_sliced(rate, 20.0) * 20.0
                        || set <= 1.0
                        || way.whole(&p, set)
                );
            }
        }
    }

    /// A slice of a 75th never held a request, and the third of the ceiling that lay in slices was of no use to anybody.
    #[test]
    fn in_a_large_set_the_keeper_holds_what_no_slice_could_let_out() {
        let p = plan(20.0, 40.0);
        for set in [1.0, 8.0, 13.0, 14.0, 75.0] {
            let (slice, whole) = (ASKED.slice(&p, set).most, ASKED.whole(&p, set));
            assert_eq!(whole, set > 13.0);
            assert!(if whole { slice == 0.0 } else { slice >= ASKED.largest });
        }
        assert!(ASKED.kept(&p, 1.0, true).most > 1.4 * ASKED.kept(&p, 1.0, false).most);
    }

    #[test]
    fn a_new_life_holds_nothing_at_first() {
        let p = plan(20.0, 40.0);
        let mut store = Store::default();
        store.fill(ASKED.kept(&p, 1.0, false), 0.0);
        assert!(!store.holds(0.5));
        store.fill(ASKED.kept(&p, 1.0, false), 1000.0);
        assert!(store.holds(12.0) && !store.holds(13.0));
    }

    proptest! {
        /// Whoever spends how much and whenever, keepers and slices that restart empty or not: in every span of time the
        /// sum stays within the ceiling's store, which held its burst and slack at the start of the span.
        #[test]
        fn the_sum_of_all_shares_keeps_the_ceiling(
            rate in 5.0..40.0f64, quota in 0.1..1.5f64, burst in 10.0..80.0f64, set in 1u32..40, keepers in 1u32..3,
            largest in 0.5..6.0f64,
            steps in prop::collection::vec((0u32..48, 0.0..400.0f64, 0.5..6.0f64, prop::bool::weighted(0.02)), 1..400),
        ) {
            let (p, way) = (Plan { rate: quota * rate, ..plan(rate, burst) }, Dealing { largest, ..ASKED });
            let mut stores = vec![Store::default(); (set + keepers) as usize];
            let (mut now, mut at) = (0.0, vec![0.0; stores.len()]);
            // The ceiling's own store, as the rule counts it.
            let mut ceiling = burst;
            for (who, ms, units, dies) in steps {
                now += ms;
                ceiling = (ceiling + rate * ms / 1000.0).min(burst);
                let who = who as usize % stores.len();
                let keeps = who < keepers as usize;
                let share = if keeps {
                    way.kept(&p, f64::from(keepers), way.whole(&p, f64::from(set)))
                } else {
                    way.slice(&p, f64::from(set))
                };
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
