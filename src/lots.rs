//! Numbers drawn by lot, each once, as they are asked for: of few all are shuffled, of many no more are drawn than are
//! used.

use rand::Rng;
use rand::seq::index::{IndexVec, sample};

/// Draws from `0..len`, at most `most` of them.
pub(crate) enum Lots {
    /// All, in a random order.
    All(IndexVec, usize),
    /// One by one: those drawn so far, how many there are, and how many more may be drawn.
    Some(Vec<usize>, usize, usize),
}

impl Lots {
    pub fn new(len: usize, most: usize, rng: &mut impl Rng) -> Lots {
        if len <= most { Lots::All(sample(rng, len, len), 0) } else { Lots::Some(Vec::new(), len, most) }
    }

    pub fn next(&mut self, rng: &mut impl Rng) -> Option<usize> {
        match self {
            Lots::All(all, next) => {
                *next += 1;
                (*next <= all.len()).then(|| all.index(*next - 1))
            }
            Lots::Some(drawn, len, most) => {
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
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;
    use std::collections::BTreeSet;

    #[test]
    fn each_is_drawn_once_and_evenly() {
        let mut rng = Pcg64Mcg::seed_from_u64(3);
        for (len, most, wanted) in [(0, 64, 0), (9, 64, 9), (64, 64, 64), (65, 64, 64), (5000, 64, 64)] {
            let mut lots = Lots::new(len, most, &mut rng);
            let all: Vec<usize> = std::iter::from_fn(|| lots.next(&mut rng)).collect();
            assert_eq!((all.len(), all.iter().collect::<BTreeSet<_>>().len()), (wanted, wanted));
        }
        let mut first = [0u32; 100];
        for _ in 0..20_000 {
            let mut lots = Lots::new(100, 64, &mut rng);
            first[lots.next(&mut rng).expect("some")] += 1;
        }
        assert!(first.iter().all(|n| (120..=290).contains(n)), "{first:?}");
    }
}
