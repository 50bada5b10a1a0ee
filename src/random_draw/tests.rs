use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

#[test]
fn numbers_are_drawn_once_and_uniformly() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for (len, max_draws, expected) in [(0, 64, 0), (9, 64, 9), (64, 64, 64), (65, 64, 64), (5000, 64, 64)] {
        let mut draw = RandomDraw::new(len, max_draws, &mut rng);
        let drawn: Vec<usize> = std::iter::from_fn(|| draw.next(&mut rng)).collect();
        assert_eq!((drawn.len(), drawn.iter().collect::<BTreeSet<_>>().len()), (expected, expected));
    }
    let mut first_counts = [0u32; 100];
    for _ in 0..20_000 {
        let mut draw = RandomDraw::new(100, 64, &mut rng);
        first_counts[draw.next(&mut rng).expect("a number")] += 1;
    }
    assert!(first_counts.iter().all(|n| (120..=290).contains(n)), "{first_counts:?}");
}
