//! This host's clocks. The wall clock dates what people read and when plans begin; nothing is decided by how two hosts'
//! wall clocks compare. The monotonic one is what leases are counted by.

use crate::config::Drill;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

/// How the wall clock is off, in drills.
struct Off {
    begun: Instant,
    ahead_ms: i64,
    jump_after_ms: u64,
    jump_ms: i64,
}

static OFF: OnceLock<Off> = OnceLock::new();

/// Sets this process's wall clock off, once.
pub fn set_off(drill: &Drill) {
    let _ = OFF.set(Off {
        begun: Instant::now(),
        ahead_ms: drill.clock_ahead_ms,
        jump_after_ms: drill.clock_jump_after_ms,
        jump_ms: drill.clock_jump_ms,
    });
}

/// Unix time in ms by this host's clock.
#[must_use]
pub fn unix_ms() -> i64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let unix = i64::try_from(unix.as_millis()).unwrap_or(i64::MAX);
    let off = OFF.get().map_or(0, |off| {
        let jumped =
            off.jump_after_ms > 0 && off.begun.elapsed().as_millis() >= u128::from(off.jump_after_ms);
        off.ahead_ms + if jumped { off.jump_ms } else { 0 }
    });
    unix.saturating_add(off)
}

/// A monotonic clock, in ms from its beginning.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    begun: Instant,
    rate_milli: u64,
}

impl Clock {
    /// Begins now, and runs at so many thousandths of its speed.
    #[must_use]
    pub fn new(rate_milli: u64) -> Clock {
        Clock { begun: Instant::now(), rate_milli }
    }

    /// What it shows.
    #[must_use]
    pub fn now(&self) -> u64 {
        let ms = u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        ms.saturating_mul(self.rate_milli) / 1000 + 1
    }
}
