use super::*;
use proptest::prelude::*;

/// Counts these numbers of requests, of sources 1, 2, 3 and so on.
fn shares(counts: &[u32]) -> SourceShares {
    let mut shares = SourceShares::default();
    for (source, count) in (1..).zip(counts) {
        (0..*count).for_each(|_| shares.record(0.0, source));
    }
    shares
}

#[test]
fn single_source_is_refused_with_the_given_probability() {
    assert_eq!(shares(&[7]).refusal_probability(0.0, 1, 0.3), 0.3);
}

#[test]
fn source_below_the_fair_level_is_not_refused() {
    let mut shares = shares(&[10, 10, 980]);
    assert_eq!(shares.refusal_probability(0.0, 1, 0.9), 0.0);
    let busy = shares.refusal_probability(0.0, 3, 0.9);
    assert!((busy - (1.0 - 80.0 / 980.0)).abs() < 1e-9, "{busy}");
}

#[test]
fn sources_without_recent_requests_are_dropped_and_their_number_is_bounded() {
    let mut shares = SourceShares::default();
    (1..5000).for_each(|source| shares.record(0.0, source));
    assert!(shares.counts.len() <= MAX_SOURCES + 1);
    shares.record(60_000.0, 1);
    shares.refusal_probability(60_000.0, 1, 0.5);
    assert_eq!(shares.counts.len(), 1);
}

proptest! {
    /// As many requests are refused in all as without shares, and equal sources are refused equally.
    #[test]
    fn refusals_add_up_to_the_given_probability(
        counts in prop::collection::vec(1u32..200, 2..40),
        probability in 0.01f64..0.99,
    ) {
        let mut shares = shares(&counts);
        let refused: f64 = (1..)
            .zip(&counts)
            .map(|(source, count)| f64::from(*count) * shares.refusal_probability(0.0, source, probability))
            .sum();
        let total: f64 = counts.iter().map(|count| f64::from(*count)).sum();
        prop_assert!((refused - probability * total).abs() < 1e-6 * total);
    }
}
