use super::*;

#[test]
fn window_spans_three_seconds_when_requests_are_frequent() {
    let mut window = AcceptWindow::new(2, false);
    (0..100).for_each(|k| window.record(f64::from(k) * 10.0, 1, false));
    assert_eq!(window.sums(1000.0, 1), (100.0, 0.0, 0.0));
    (100..500).for_each(|k| window.record(f64::from(k) * 10.0, 1, true));
    let (requests, accepts, _) = window.sums(5000.0, 1);
    assert!((accepts - requests).abs() < f64::EPSILON && requests <= 310.0, "{requests} {accepts}");
}

/// With one request per second and tier, a gatekeeper of a large set counted nineteen failures for 30
/// seconds.
#[test]
fn window_drops_failures_within_five_seconds_in_large_sets() {
    for (is_large_set, expected) in [(true, 0.0), (false, 19.0)] {
        let mut window = AcceptWindow::new(1, is_large_set);
        (0..19).for_each(|k| window.record(f64::from(k) * 50.0, 0, false));
        assert_eq!(window.sums(6000.0, 0).0, expected);
    }
}

#[test]
fn sums_include_failures_of_higher_tiers() {
    let mut window = AcceptWindow::new(3, false);
    window.record(1.0, 0, false);
    window.record(1.0, 1, false);
    window.record(1.0, 1, true);
    window.record(1.0, 2, true);
    assert_eq!(window.sums(1.0, 2), (1.0, 1.0, 2.0));
    assert_eq!(window.sums(1.0, 0), (1.0, 0.0, 0.0));
}
