//! What a gatekeeper that comes back may be given of what its stores held. No input or output, no clock.
//!
//! # Why
//!
//! A restart forgot the stores: a quota's began full, so a shop that had spent its own got a new one, and a ceiling's
//! slice began empty, so a shop that had spent nothing was refused. Neither may be guessed upward: what was spent
//! between the last word of the old life and its end is not known.
//!
//! - **Ended in order:** its last word is exact, so a store holds what it held and what has filled since.
//! - **Killed:** a *ceiling's slice* gets only what has filled since the agent saw the gatekeeper go. That is at most
//!   what it truly held, since no slice is below nothing: a ceiling is never granted twice. A *quota's store* gets what
//!   it held at its last word, less [`UNREPORTED_RATE_FACTOR`] of that word's interval at the plan's highest sending rate, and what
//!   has filled since it was seen to go; a quota is no ceiling, and refusing a shop that has used nothing is as wrong.

use crate::model::TokenLevel;

/// A killed gatekeeper may have sent on this many times a plan's rate since its last word.
pub const UNREPORTED_RATE_FACTOR: f64 = 2.0;

/// A plan's figures as they matter here, in thousandths; rates a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefillRates {
    /// The store's rate.
    pub rate_milli: i64,
    /// The most that it holds.
    pub burst_milli: i64,
    /// This gatekeeper's part of the ceiling's rate.
    pub ceiling_rate_milli: i64,
    /// The most that its slice holds.
    pub ceiling_burst_milli: i64,
}

/// How the old life ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum IncarnationEnd {
    /// In order: its last word is exact.
    Graceful,
    /// Killed; seen to be gone at this time, UTC ms by the clock of the one who saw it.
    Killed {
        /// When it was seen.
        seen_ms: i64,
    },
}

/// What fills in so long, in thousandths. A clock that went back gives nothing.
fn filled(rate_milli: i64, ms: i64) -> i64 {
    i64::try_from(i128::from(rate_milli) * i128::from(ms.max(0)) / 1000).unwrap_or(i64::MAX)
}

/// What a store and a slice may hold now. All times are by one clock, the agent's: `level.at_ms` is when the agent
/// heard it.
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
            let store = level.store_milli.saturating_add(filled(plan.rate_milli, ms)).min(plan.burst_milli);
            let slice = level.ceiling_milli.saturating_add(filled(plan.ceiling_rate_milli, ms));
            (store, slice.min(plan.ceiling_burst_milli))
        }
        IncarnationEnd::Killed { seen_ms } => {
            let untold = filled(plan.rate_milli, seen_ms - level.at_ms);
            let untold = (untold as f64 * UNREPORTED_RATE_FACTOR) as i64;
            let held = level.store_milli.saturating_sub(untold).max(0);
            let since = now_ms - seen_ms;
            let store = held.saturating_add(filled(plan.rate_milli, since)).min(plan.burst_milli);
            (store, filled(plan.ceiling_rate_milli, since).min(plan.ceiling_burst_milli))
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
    fn after_an_end_in_order_a_store_holds_what_it_held_and_what_has_filled() {
        let level =
            TokenLevel { store_milli: 3000, ceiling_milli: 1000, at_ms: 1000, ..TokenLevel::default() };
        assert_eq!(restored_levels(&level, &PLAN, IncarnationEnd::Graceful, 1500), (8000, 3500));
        assert_eq!(
            restored_levels(&level, &PLAN, IncarnationEnd::Graceful, 99_000),
            (20_000, 8000),
            "never more than it holds"
        );
        assert_eq!(
            restored_levels(&level, &PLAN, IncarnationEnd::Graceful, 0),
            (3000, 1000),
            "a clock that went back gives nothing"
        );
    }

    #[test]
    fn after_a_kill_a_slice_has_only_what_filled_since() {
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
        /// A gatekeeper spends what it has as it likes, is killed and restored again and again: what it sends on never
        /// exceeds the ceiling's rate times the time, plus one slice.
        #[test]
        fn a_restart_loop_gains_nothing_on_a_ceiling(
            lives in prop::collection::vec((0i64..3000, 0i64..500, 0i64..2000, 0u8..3), 1..40),
        ) {
            let (mut now, mut sent, mut slice) = (0i64, 0i64, PLAN.ceiling_burst_milli);
            for (lived, to_word, down, spend) in lives {
                // The last word was some time before the kill; then it spends all, a part or nothing.
                let word_at = now + lived;
                slice = (slice + filled(PLAN.ceiling_rate_milli, lived)).min(PLAN.ceiling_burst_milli);
                let level = TokenLevel { ceiling_milli: slice, at_ms: word_at, ..TokenLevel::default() };
                now = word_at + to_word;
                slice = (slice + filled(PLAN.ceiling_rate_milli, to_word)).min(PLAN.ceiling_burst_milli);
                let spent = match spend { 0 => slice, 1 => slice / 2, _ => 0 };
                sent += spent;
                let seen_ms = now;
                now += down;
                slice = restored_levels(&level, &PLAN, IncarnationEnd::Killed { seen_ms }, now).1;
                let most = PLAN.ceiling_burst_milli + filled(PLAN.ceiling_rate_milli, now);
                prop_assert!(sent <= most, "{} sent of {}", sent, most);
            }
        }
    }
}
