//! This host's clocks.
//!
//! The wall clock dates what people read and determines when plans begin; no decision depends on how the wall
//! clocks of two hosts compare. Leases are measured by the monotonic clock.

use crate::config::Drill;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

/// Deviation of the wall clock, for drills.
struct WallClockSkew {
    started_at: Instant,
    ahead_ms: i64,
    jump_after_ms: u64,
    jump_ms: i64,
}

static WALL_CLOCK_SKEW: OnceLock<WallClockSkew> = OnceLock::new();

/// Applies the deviation of a drill to this process's wall clock. Only the first call counts.
pub fn set_off(drill: &Drill) {
    let _ = WALL_CLOCK_SKEW.set(WallClockSkew {
        started_at: Instant::now(),
        ahead_ms: drill.clock_ahead_ms,
        jump_after_ms: drill.clock_jump_after_ms,
        jump_ms: drill.clock_jump_ms,
    });
}

/// Unix time in ms by this host's wall clock, with the deviation of a drill.
#[must_use]
pub fn unix_ms() -> i64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let unix = i64::try_from(unix.as_millis()).unwrap_or(i64::MAX);
    let skew_ms = WALL_CLOCK_SKEW.get().map_or(0, |skew| {
        let jumped =
            skew.jump_after_ms > 0 && skew.started_at.elapsed().as_millis() >= u128::from(skew.jump_after_ms);
        skew.ahead_ms + if jumped { skew.jump_ms } else { 0 }
    });
    unix.saturating_add(skew_ms)
}

/// A monotonic clock, in ms since its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    rate_milli: u64,
}

impl Clock {
    /// Starts the clock. It runs at `rate_milli` thousandths of real time: 1000 except in drills.
    #[must_use]
    pub fn new(rate_milli: u64) -> Clock {
        Clock { started_at: Instant::now(), rate_milli }
    }

    /// Time since the creation in ms, scaled by the rate; never 0.
    #[must_use]
    pub fn now(&self) -> u64 {
        let ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        ms.saturating_mul(self.rate_milli) / 1000 + 1
    }
}
