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

    /// A call was answered: the next failure begins anew.
    pub fn reset(&mut self) {
        self.most = LEAST_MS;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_grow_to_a_second_stay_in_bounds_and_begin_anew() {
        let mut b = Backoff::new(7);
        for most in [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0] {
            let pause = b.pause();
            assert!((FROM * most..=most).contains(&pause), "{pause} of {most}");
        }
        b.reset();
        assert!(b.pause() <= LEAST_MS);
    }

    /// A hundred gatekeepers lose discovery at once. At their fifth call they are spread over what their pauses may differ
    /// by: all in one slot of 100 ms, as pauses of one length had it, is a herd.
    #[test]
    fn a_hundred_that_fail_together_do_not_call_again_together() {
        let mut slots = [0; 40];
        for seed in 0..100 {
            let mut b = Backoff::new(seed);
            let at: f64 = (0..5).map(|_| b.pause()).sum();
            slots[(at / 100.0) as usize] += 1;
        }
        assert_eq!(slots.iter().sum::<i32>(), 100);
        assert!(slots.iter().all(|many| *many <= 30), "{slots:?}");
        assert!(slots.iter().filter(|many| **many > 0).count() >= 8, "{slots:?}");
    }
}
