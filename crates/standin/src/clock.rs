//! Wall clock of the stand-ins.

use std::time::SystemTime;

/// Returns the Unix time in ms; 0 before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(0)
}
