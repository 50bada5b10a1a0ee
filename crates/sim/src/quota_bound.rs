//! An upper bound, stated in advance, of the units that a shop can pass beyond its quota while some
//! gatekeepers of its set are cut off from its quota owner.
//!
//! # Why it holds
//!
//! Let a shop's set have `n` gatekeepers, of which `m` can't reach its quota owner for `T` seconds. The
//! others share the owner's token bucket: together they pass what the quota allows, `rate * T + burst`. Each
//! of the `m`, once the owner's last message is 2 s old, uses a local share that fills at `rate / n` up to
//! `burst / n`, and may be overdrawn by one request: `m / n * (rate * T + burst) + m * largest`. Until that
//! message is 2 s old, it passes a request with the probability that the message gave, so at most all that is
//! offered to it: `2 s * offered`. Prefetched units are spent as granted, and were charged before. So the
//! units beyond the quota are bounded by
//!
//! `over <= m / n * (rate * T + burst) + m * largest + 2 s * offered`
//!
//! The bound does not cover a quota owner that is killed and loses its state (its bucket starts full, one
//! more `burst` each time), peer messages that are lost before the cut, or more than one cut. Ceilings do not
//! depend on it: they are enforced by local shares alone, without error.

/// Age in seconds up to which a quota owner's message is used.
const OWNER_MESSAGE_MAX_AGE_SECONDS: f64 = 2.0;

/// A partition of a shop's set.
#[derive(Debug, Clone, Copy)]
pub struct PartitionCut {
    /// Number of gatekeepers in the shop's set.
    pub set: u32,
    /// Number of them that can't reach its quota owner.
    pub cut_off: u32,
    /// Duration in seconds.
    pub seconds: f64,
    /// Upper bound of the units per second offered to the gatekeepers that are cut off.
    pub offered: f64,
    /// The largest request, in units.
    pub largest: f64,
}

/// Upper bound of the units that a shop with this quota (units per second, units) passes beyond it.
#[must_use]
pub fn max_overrun(rate: f64, burst: f64, cut: &PartitionCut) -> f64 {
    let cut_off_share = f64::from(cut.cut_off) / f64::from(cut.set.max(1));
    cut_off_share * (rate * cut.seconds + burst)
        + f64::from(cut.cut_off) * cut.largest
        + OWNER_MESSAGE_MAX_AGE_SECONDS * cut.offered
}
