//! How far a shop can get beyond its quota while a part of its set is cut off from its keeper, stated ahead.
//!
//! # Why it holds
//!
//! Let a shop's set have `n` gatekeepers, of which `m` do not hear its keeper for `T` seconds. Those that do share the
//! keeper's store: together they pass what the quota allows, `rate * T + burst`. Each of the `m`, once its keeper's last
//! word is 2 s old, passes from a slice that fills at `rate / n` up to `burst / n`, and may go below nothing by one
//! request: `m / n * (rate * T + burst) + m * largest`. Until the word is 2 s old, it passes a request with the chance
//! that the word gave, which is at most all that is offered to it: `2 s * offered`. Units granted ahead are spent as
//! granted, and were charged. So beyond the quota
//!
//! `over <= m / n * (rate * T + burst) + m * largest + 2 s * offered`
//!
//! It does not cover a keeper that is killed and forgets (its store begins full, a `burst` more each time), nor notes that
//! are lost before the cut, nor more than one cut. Ceilings are not held by this but by slices alone: their error is none.

/// A keeper's word is gone by for so long, in seconds.
const WORD_S: f64 = 2.0;

/// What is cut.
#[derive(Debug, Clone, Copy)]
pub struct PartitionCut {
    /// Gatekeepers of the shop's set.
    pub set: u32,
    /// Those of them that do not hear its keeper.
    pub cut_off: u32,
    /// For so long, in seconds.
    pub seconds: f64,
    /// Units a second that are offered to those, at the most.
    pub offered: f64,
    /// The largest request, in units.
    pub largest: f64,
}

/// The most units that a shop with this quota passes beyond it.
#[must_use]
pub fn max_overrun(rate: f64, burst: f64, cut: &PartitionCut) -> f64 {
    let part = f64::from(cut.cut_off) / f64::from(cut.set.max(1));
    part * (rate * cut.seconds + burst) + f64::from(cut.cut_off) * cut.largest + WORD_S * cut.offered
}
