//! The wall clock, for all stand-ins.

use std::time::SystemTime;

/// Unix time in ms.
#[must_use]
pub fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(0)
}
