//! Random numbers without repetition, drawn on demand. A small range is shuffled at once. From a large one
//! only as many numbers are drawn as are used.

use rand::Rng;
use rand::seq::index::{IndexVec, sample};

/// Draws distinct numbers from `0..len`, at most `max_draws` of them.
pub(crate) enum RandomDraw {
    /// All numbers in random order, and the position of the next one.
    Shuffled(IndexVec, usize),
    /// The numbers drawn so far, the length of the range, and the maximum number of draws.
    Sampled(Vec<usize>, usize, usize),
}

impl RandomDraw {
    /// Prepares at most `max_draws` draws from `0..len`.
    pub fn new(len: usize, max_draws: usize, rng: &mut impl Rng) -> RandomDraw {
        if len <= max_draws {
            RandomDraw::Shuffled(sample(rng, len, len), 0)
        } else {
            RandomDraw::Sampled(Vec::new(), len, max_draws)
        }
    }

    /// Draws the next number; `None` after the last.
    pub fn next(&mut self, rng: &mut impl Rng) -> Option<usize> {
        match self {
            RandomDraw::Shuffled(all, next) => {
                *next += 1;
                (*next <= all.len()).then(|| all.index(*next - 1))
            }
            RandomDraw::Sampled(drawn, len, max_draws) => {
                if drawn.len() >= *max_draws {
                    return None;
                }
                // The loop ends because fewer numbers are drawn than the range has; with half of them drawn
                // it takes two tries on average.
                let candidate = loop {
                    let candidate = rng.random_range(0..*len);
                    if !drawn.contains(&candidate) {
                        break candidate;
                    }
                };
                drawn.push(candidate);
                Some(candidate)
            }
        }
    }
}

#[cfg(test)]
mod tests;
