//! The token levels that a restarted gatekeeper may be given. Does no I/O and reads no clock.
//!
//! # Why
//!
//! A restart lost the token levels: the bucket of a quota started full, so a shop that had used up its quota
//! got a new one, and the local share of a ceiling started empty, so a shop that had used nothing was
//! refused. Neither level may be estimated upward, because the use between the last report of the old life
//! and its end is unknown.
//!
//! - **Graceful shutdown:** the last report is exact, so a bucket holds its reported level plus the refill
//!   since then.
//! - **Killed:** the *local share of a ceiling* gets only the refill since the agent noticed that the
//!   gatekeeper was gone. That is at most its true level, since no share is below zero, so a ceiling is never
//!   granted twice. The *bucket of a quota* gets its last reported level, minus [`UNREPORTED_RATE_FACTOR`]
//!   times the plan's rate for the time since that report, plus the refill since the gatekeeper was found to
//!   be gone. A quota is no ceiling, and refusing a shop that has used nothing is as wrong as granting too
//!   much.

use crate::model::TokenLevel;

/// The multiple of a plan's rate that a killed gatekeeper is assumed to have forwarded since its last report.
pub const UNREPORTED_RATE_FACTOR: f64 = 2.0;

/// The limits of a plan that matter for a restore, in thousandths; rates are per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefillRates {
    /// Refill rate of the quota's bucket.
    pub rate_milli: i64,
    /// Capacity of the quota's bucket.
    pub burst_milli: i64,
    /// This gatekeeper's share of the ceiling's refill rate.
    pub ceiling_rate_milli: i64,
    /// Capacity of its local share of the ceiling.
    pub ceiling_burst_milli: i64,
}

/// How the previous life of the gatekeeper ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum IncarnationEnd {
    /// Shut down gracefully: its last report is exact.
    Graceful,
    /// Killed.
    Killed {
        /// When the agent noticed that it was gone, UTC ms by the agent's clock.
        seen_ms: i64,
    },
}

/// The refill in `ms`, in thousandths; 0 if the clock went backwards.
fn refill(rate_milli: i64, ms: i64) -> i64 {
    i64::try_from(i128::from(rate_milli) * i128::from(ms.max(0)) / 1000).unwrap_or(i64::MAX)
}

/// The levels of the quota's bucket and of the local share of the ceiling at `now_ms`, in thousandths. All
/// times are by the agent's clock: `level.at_ms` is when the agent received the report.
#[must_use]
pub fn restored_levels(
    level: &TokenLevel,
    plan: &RefillRates,
    end: IncarnationEnd,
    now_ms: i64,
) -> (i64, i64) {
    match end {
        IncarnationEnd::Graceful => {
            let ms = now_ms - level.at_ms;
            let quota = level.store_milli.saturating_add(refill(plan.rate_milli, ms)).min(plan.burst_milli);
            let share = level.ceiling_milli.saturating_add(refill(plan.ceiling_rate_milli, ms));
            (quota, share.min(plan.ceiling_burst_milli))
        }
        IncarnationEnd::Killed { seen_ms } => {
            let unreported = refill(plan.rate_milli, seen_ms - level.at_ms);
            let unreported = (unreported as f64 * UNREPORTED_RATE_FACTOR) as i64;
            let remaining = level.store_milli.saturating_sub(unreported).max(0);
            let elapsed = now_ms - seen_ms;
            let quota = remaining.saturating_add(refill(plan.rate_milli, elapsed)).min(plan.burst_milli);
            (quota, refill(plan.ceiling_rate_milli, elapsed).min(plan.ceiling_burst_milli))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const PLAN: RefillRates = RefillRates {
        rate_milli: 10_000,
        burst_milli: 20_000,
        ceiling_rate_milli: 5000,
        ceiling_burst_milli: 8000,
    };

    #[test]
    fn levels_are_the_reported_ones_plus_refill_after_a_graceful_end() {
        let level =
            TokenLevel { store_milli: 3000, ceiling_milli: 1000, at_ms: 1000, ..TokenLevel::default() };
        assert_eq!(restored_levels(&level, &PLAN, IncarnationEnd::Graceful, 1500), (8000, 3500));
        assert_eq!(
            restored_levels(&level, &PLAN, IncarnationEnd::Graceful, 99_000),
            (20_000, 8000),
            "never above the capacity"
        );
        assert_eq!(
            restored_levels(&level, &PLAN, IncarnationEnd::Graceful, 0),
            (3000, 1000),
            "no refill if the clock went backwards"
        );
    }

    #[test]
    fn ceiling_share_has_only_the_refill_since_a_kill() {
        let level =
            TokenLevel { store_milli: 20_000, ceiling_milli: 8000, at_ms: 1000, ..TokenLevel::default() };
        assert_eq!(
            restored_levels(&level, &PLAN, IncarnationEnd::Killed { seen_ms: 1200 }, 1200),
            (16_000, 0)
        );
        assert_eq!(
            restored_levels(&level, &PLAN, IncarnationEnd::Killed { seen_ms: 1200 }, 1400),
            (18_000, 1000)
        );
    }

    proptest! {
        /// A gatekeeper spends any part of its levels, is killed and restored again and again: it never
        /// forwards more than the ceiling's rate times the elapsed time, plus the capacity of one share.
        #[test]
        fn restart_loop_does_not_exceed_the_ceiling(
            lives in prop::collection::vec((0i64..3000, 0i64..500, 0i64..2000, 0u8..3), 1..40),
        ) {
            let (mut now, mut sent, mut share) = (0i64, 0i64, PLAN.ceiling_burst_milli);
            for (lived, to_kill, down, spend) in lives {
                // The last report came some time before the kill; after it the gatekeeper spends all, half or
                // nothing.
                let reported_at = now + lived;
                share = (share + refill(PLAN.ceiling_rate_milli, lived)).min(PLAN.ceiling_burst_milli);
                let level = TokenLevel { ceiling_milli: share, at_ms: reported_at, ..TokenLevel::default() };
                now = reported_at + to_kill;
                share = (share + refill(PLAN.ceiling_rate_milli, to_kill)).min(PLAN.ceiling_burst_milli);
                let spent = match spend { 0 => share, 1 => share / 2, _ => 0 };
                sent += spent;
                let seen_ms = now;
                now += down;
                share = restored_levels(&level, &PLAN, IncarnationEnd::Killed { seen_ms }, now).1;
                let max_sent = PLAN.ceiling_burst_milli + refill(PLAN.ceiling_rate_milli, now);
                prop_assert!(sent <= max_sent, "{} sent of {}", sent, max_sent);
            }
        }
    }
}
