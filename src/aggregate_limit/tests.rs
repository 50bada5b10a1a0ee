use super::*;
use proptest::prelude::*;

const WITH_OWNER: LimitDivision =
    LimitDivision { can_ask_owner: true, is_single: false, max_request_units: 1.0 };

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
fn bucket_is_unlimited_and_persists_zero_without_ceiling() {
    let mut bucket = TokenBucket::default();
    bucket.refill(WITH_OWNER.local_share(&Plan::default(), 8.0), 0.0);
    bucket.consume(1e9);
    assert!(bucket.has(1e9));
    assert!(bucket.tokens().abs() < f64::EPSILON);
}

/// With every policy the shares of a set together hold at most the burst and slack of the ceiling.
#[test]
fn shares_never_hold_more_than_the_ceiling() {
    let base = plan(20.0, 40.0);
    for (rate, max_in_flight) in [(0.0, 0), (5.0, 0), (30.0, 0), (10.0, 3)] {
        for (can_ask_owner, set) in [(true, 1.0), (true, 5.0), (true, 75.0), (false, 5.0)] {
            let (p, division) = (
                Plan { rate, max_in_flight, ..base.clone() },
                LimitDivision { can_ask_owner, is_single: set <= 1.0, max_request_units: 1.0 },
            );
            // Where local shares hold the whole ceiling, no grant is covered by the owner's unlimited share,
            // so it is never drawn on.
            let owner_capacity = if division.is_local_only(&p) {
                0.0
            } else {
                division.owner_share(&p, 1.0, division.owner_holds_all(&p, set)).capacity
            };
            let total = owner_capacity + set * division.local_share(&p, set).capacity;
            assert!(
                (0.9 * 44.0..=44.0 + 1e-9).contains(&total),
                "capacity {total} of 44 with rate {rate}, max_in_flight {max_in_flight}, can_ask_owner {can_ask_owner}, set of {set}"
            );
            assert!(
                set * division.local_share(&p, set).rate + 1e-9 >= min_local_limit_share(rate, 20.0) * 20.0
                    || set <= 1.0
                    || division.owner_holds_all(&p, set)
            );
        }
    }
}

/// In a set of 75 no local share was ever large enough for a request, so the third of the ceiling in local
/// shares was lost.
#[test]
fn owner_holds_whole_ceiling_when_local_shares_are_too_small() {
    let p = plan(20.0, 40.0);
    for set in [1.0, 8.0, 13.0, 14.0, 75.0] {
        let (local_capacity, owner_holds_all) =
            (WITH_OWNER.local_share(&p, set).capacity, WITH_OWNER.owner_holds_all(&p, set));
        assert_eq!(owner_holds_all, set > 13.0);
        assert!(if owner_holds_all {
            local_capacity == 0.0
        } else {
            local_capacity >= WITH_OWNER.max_request_units
        });
    }
    assert!(
        WITH_OWNER.owner_share(&p, 1.0, true).capacity
            > 1.4 * WITH_OWNER.owner_share(&p, 1.0, false).capacity
    );
}

#[test]
fn bucket_starts_empty_after_restart() {
    let p = plan(20.0, 40.0);
    let mut bucket = TokenBucket::default();
    bucket.refill(WITH_OWNER.owner_share(&p, 1.0, false), 0.0);
    assert!(!bucket.has(0.5));
    bucket.refill(WITH_OWNER.owner_share(&p, 1.0, false), 1000.0);
    assert!(bucket.has(12.0) && !bucket.has(13.0));
}

proptest! {
    /// For any sequence of spending and restarts of owners and local shares, the units spent in any span of
    /// time stay within the refill of the ceiling over that span plus its burst and slack.
    #[test]
    fn sum_of_all_shares_stays_within_the_ceiling(
        rate in 5.0..40.0f64, quota in 0.1..1.5f64, burst in 10.0..80.0f64, set in 1u32..40,
        owners in 1u32..3, max_request_units in 0.5..6.0f64,
        steps in prop::collection::vec(
            (0u32..48, 0.0..400.0f64, 0.5..6.0f64, prop::bool::weighted(0.02)),
            1..400,
        ),
    ) {
        let (p, division) = (
            Plan { rate: quota * rate, ..plan(rate, burst) },
            LimitDivision { max_request_units, ..WITH_OWNER },
        );
        let mut buckets = vec![TokenBucket::default(); (set + owners) as usize];
        let (mut now, mut refilled_at) = (0.0, vec![0.0; buckets.len()]);
        // The reference bucket of the ceiling itself.
        let mut ceiling = burst;
        for (index, elapsed_ms, units, restarts) in steps {
            now += elapsed_ms;
            ceiling = (ceiling + rate * elapsed_ms / 1000.0).min(burst);
            let index = index as usize % buckets.len();
            let is_owner = index < owners as usize;
            let share = if is_owner {
                division.owner_share(&p, f64::from(owners), division.owner_holds_all(&p, f64::from(set)))
            } else {
                division.local_share(&p, f64::from(set))
            };
            if restarts {
                (buckets[index], refilled_at[index]) = (TokenBucket::default(), now);
            }
            buckets[index].refill(share, now - refilled_at[index]);
            refilled_at[index] = now;
            if buckets[index].has(units) {
                buckets[index].consume(units);
                ceiling -= units;
            }
            prop_assert!(ceiling >= -p.ceiling_slack - 1e-6, "ceiling bucket holds {ceiling}");
        }
    }
}
