use super::*;
use proptest::prelude::*;

const ASKED: LimitDivision = LimitDivision { can_ask_owner: true, is_single: false, max_request_units: 1.0 };

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
    let mut store = TokenBucket::default();
    store.refill(ASKED.local_share(&Plan::default(), 8.0), 0.0);
    store.consume(1e9);
    assert!(store.has(1e9));
    assert!(store.tokens().abs() < f64::EPSILON);
}

/// In every kind of tier all that may go out of a set at once is the ceiling's store at the most.
#[test]
fn no_way_of_dealing_holds_more_than_the_ceiling() {
    let whole = plan(20.0, 40.0);
    for (rate, max_in_flight) in [(0.0, 0), (5.0, 0), (30.0, 0), (10.0, 3)] {
        for (can_ask_owner, set) in [(true, 1.0), (true, 5.0), (true, 75.0), (false, 5.0)] {
            let (p, way) = (
                Plan { rate, max_in_flight, ..whole.clone() },
                LimitDivision { can_ask_owner, is_single: set <= 1.0, max_request_units: 1.0 },
            );
            // Where slices hold all, a keeper's grant covers nothing, and its endless part is never drawn on.
            let kept = if way.is_local_only(&p) {
                0.0
            } else {
                way.owner_share(&p, 1.0, way.owner_holds_all(&p, set)).most
            };
            let all = kept + set * way.local_share(&p, set).most;
            assert!(
                (0.9 * 44.0..=44.0 + 1e-9).contains(&all),
                "{all} of 44 at {rate}, {max_in_flight}, {can_ask_owner}, {set}"
            );
            assert!(
                set * way.local_share(&p, set).rate + 1e-9 >= min_local_limit_share(rate, 20.0) * 20.0
                    || set <= 1.0
                    || way.owner_holds_all(&p, set)
            );
        }
    }
}

/// A slice of a 75th never held a request, and the third of the ceiling that lay in slices was of no use to anybody.
#[test]
fn in_a_large_set_the_keeper_holds_what_no_slice_could_let_out() {
    let p = plan(20.0, 40.0);
    for set in [1.0, 8.0, 13.0, 14.0, 75.0] {
        let (slice, whole) = (ASKED.local_share(&p, set).most, ASKED.owner_holds_all(&p, set));
        assert_eq!(whole, set > 13.0);
        assert!(if whole { slice == 0.0 } else { slice >= ASKED.max_request_units });
    }
    assert!(ASKED.owner_share(&p, 1.0, true).most > 1.4 * ASKED.owner_share(&p, 1.0, false).most);
}

#[test]
fn a_new_life_holds_nothing_at_first() {
    let p = plan(20.0, 40.0);
    let mut store = TokenBucket::default();
    store.refill(ASKED.owner_share(&p, 1.0, false), 0.0);
    assert!(!store.has(0.5));
    store.refill(ASKED.owner_share(&p, 1.0, false), 1000.0);
    assert!(store.has(12.0) && !store.has(13.0));
}

proptest! {
    /// Whoever spends how much and whenever, keepers and slices that restart empty or not: in every span of time the
    /// sum stays within the ceiling's store, which held its burst and slack at the start of the span.
    #[test]
    fn the_sum_of_all_shares_keeps_the_ceiling(
        rate in 5.0..40.0f64, quota in 0.1..1.5f64, burst in 10.0..80.0f64, set in 1u32..40, keepers in 1u32..3,
        max_request_units in 0.5..6.0f64,
        steps in prop::collection::vec((0u32..48, 0.0..400.0f64, 0.5..6.0f64, prop::bool::weighted(0.02)), 1..400),
    ) {
        let (p, way) = (Plan { rate: quota * rate, ..plan(rate, burst) }, LimitDivision { max_request_units, ..ASKED });
        let mut stores = vec![TokenBucket::default(); (set + keepers) as usize];
        let (mut now, mut at) = (0.0, vec![0.0; stores.len()]);
        // The ceiling's own store, as the rule counts it.
        let mut ceiling = burst;
        for (who, ms, units, dies) in steps {
            now += ms;
            ceiling = (ceiling + rate * ms / 1000.0).min(burst);
            let who = who as usize % stores.len();
            let keeps = who < keepers as usize;
            let share = if keeps {
                way.owner_share(&p, f64::from(keepers), way.owner_holds_all(&p, f64::from(set)))
            } else {
                way.local_share(&p, f64::from(set))
            };
            if dies {
                (stores[who], at[who]) = (TokenBucket::default(), now);
            }
            stores[who].refill(share, now - at[who]);
            at[who] = now;
            if stores[who].has(units) {
                stores[who].consume(units);
                ceiling -= units;
            }
            prop_assert!(ceiling >= -p.ceiling_slack - 1e-6, "{ceiling}");
        }
    }
}
