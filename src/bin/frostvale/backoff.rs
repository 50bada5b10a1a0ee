//! How long to wait before a call that failed is made again. Many gatekeepers lose discovery in the same moment: pauses that
//! are the same for all would bring all back in the same moment too, each time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LEAST_MS: f64 = 100.0;
const MOST_MS: f64 = 1000.0;
/// A pause is drawn from this part of its length up to the whole of it.
const FROM: f64 = 0.3;

/// The pauses between calls: twice as long after each failure, drawn by lot.
pub struct Backoff {
    most: f64,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// No two with different seeds go in step.
    pub fn new(seed: u64) -> Backoff {
        Backoff { most: LEAST_MS, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// The next pause, in ms.
    pub fn pause(&mut self) -> f64 {
        let most = self.most;
        self.most = (2.0 * most).min(MOST_MS);
        most * (FROM + (1.0 - FROM) * self.rng.random::<f64>())
    }

    /// How long the next one may be; it is then as if it had been drawn.
    #[cfg(test)]
    pub fn longest(&mut self) -> f64 {
        let most = self.most;
        self.pause();
        most
    }

    /// A call was answered: the next failure begins anew.
    pub fn reset(&mut self) {
        self.most = LEAST_MS;
    }
}

#[cfg(test)]
mod tests;
