//! Numbers drawn by lot, each once, as they are asked for: of few all are shuffled, of many no more are drawn than are
//! used.

use rand::Rng;
use rand::seq::index::{IndexVec, sample};

/// Draws from `0..len`, at most `most` of them.
pub(crate) enum RandomDraw {
    /// All, in a random order.
    All(IndexVec, usize),
    /// One by one: those drawn so far, how many there are, and how many more may be drawn.
    Some(Vec<usize>, usize, usize),
}

impl RandomDraw {
    pub fn new(len: usize, most: usize, rng: &mut impl Rng) -> RandomDraw {
        if len <= most {
            RandomDraw::All(sample(rng, len, len), 0)
        } else {
            RandomDraw::Some(Vec::new(), len, most)
        }
    }

    pub fn next(&mut self, rng: &mut impl Rng) -> Option<usize> {
        match self {
            RandomDraw::All(all, next) => {
                *next += 1;
                (*next <= all.len()).then(|| all.index(*next - 1))
            }
            RandomDraw::Some(drawn, len, most) => {
                if drawn.len() >= *most {
                    return None;
                }
                // Fewer are drawn than there are, so this ends; with half drawn, after two on average.
                let k = loop {
                    let k = rng.random_range(0..*len);
                    if !drawn.contains(&k) {
                        break k;
                    }
                };
                drawn.push(k);
                Some(k)
            }
        }
    }
}

#[cfg(test)]
mod tests;
