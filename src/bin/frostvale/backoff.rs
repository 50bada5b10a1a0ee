//! Pauses before a failed call is repeated. They are randomized: many gatekeepers lose discovery at the same
//! moment, and pauses of equal length would bring all of them back at the same moment too, each time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MIN_LIMIT_MS: f64 = 100.0;
const MAX_LIMIT_MS: f64 = 1000.0;
/// Lower end of a randomized pause, as a fraction of its current upper limit.
const MIN_PAUSE_FRACTION: f64 = 0.3;

/// Exponential backoff with jitter: the upper limit doubles after each failure.
pub struct Backoff {
    limit_ms: f64,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// Creates a backoff. Different seeds give different sequences of pauses.
    pub fn new(seed: u64) -> Backoff {
        Backoff { limit_ms: MIN_LIMIT_MS, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Draws the next pause, in ms, and doubles the upper limit of the one after it.
    pub fn next_pause_ms(&mut self) -> f64 {
        let limit_ms = self.limit_ms;
        self.limit_ms = (2.0 * limit_ms).min(MAX_LIMIT_MS);
        limit_ms * (MIN_PAUSE_FRACTION + (1.0 - MIN_PAUSE_FRACTION) * self.rng.random::<f64>())
    }

    /// Returns the upper limit of the next pause, in ms, and advances as if the pause had been drawn.
    #[cfg(test)]
    pub fn max_pause_ms(&mut self) -> f64 {
        let limit_ms = self.limit_ms;
        self.next_pause_ms();
        limit_ms
    }

    /// Resets the upper limit to its minimum, after a call has succeeded.
    pub fn reset(&mut self) {
        self.limit_ms = MIN_LIMIT_MS;
    }
}

#[cfg(test)]
mod tests;
