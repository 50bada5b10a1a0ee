use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

#[test]
fn each_is_drawn_once_and_evenly() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for (len, most, wanted) in [(0, 64, 0), (9, 64, 9), (64, 64, 64), (65, 64, 64), (5000, 64, 64)] {
        let mut lots = RandomDraw::new(len, most, &mut rng);
        let all: Vec<usize> = std::iter::from_fn(|| lots.next(&mut rng)).collect();
        assert_eq!((all.len(), all.iter().collect::<BTreeSet<_>>().len()), (wanted, wanted));
    }
    let mut first = [0u32; 100];
    for _ in 0..20_000 {
        let mut lots = RandomDraw::new(100, 64, &mut rng);
        first[lots.next(&mut rng).expect("some")] += 1;
    }
    assert!(first.iter().all(|n| (120..=290).contains(n)), "{first:?}");
}
