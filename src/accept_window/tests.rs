use super::*;

#[test]
fn one_that_sees_much_remembers_three_seconds() {
    let mut w = AcceptWindow::new(2, false);
    (0..100).for_each(|k| w.record(f64::from(k) * 10.0, 1, false));
    assert_eq!(w.sums(1000.0, 1), (100.0, 0.0, 0.0));
    (100..500).for_each(|k| w.record(f64::from(k) * 10.0, 1, true));
    let (requests, accepts, _) = w.sums(5000.0, 1);
    assert!((accepts - requests).abs() < f64::EPSILON && requests <= 310.0, "{requests} {accepts}");
}

/// Nineteen failures of one request a second and tier were remembered for half a minute.
#[test]
fn one_of_many_forgets_a_bad_moment_within_five_seconds() {
    for (many, kept) in [(true, 0.0), (false, 19.0)] {
        let mut w = AcceptWindow::new(1, many);
        (0..19).for_each(|k| w.record(f64::from(k) * 50.0, 0, false));
        assert_eq!(w.sums(6000.0, 0).0, kept);
    }
}

#[test]
fn failures_above_are_counted_below() {
    let mut w = AcceptWindow::new(3, false);
    w.record(1.0, 0, false);
    w.record(1.0, 1, false);
    w.record(1.0, 1, true);
    w.record(1.0, 2, true);
    assert_eq!(w.sums(1.0, 2), (1.0, 1.0, 2.0));
    assert_eq!(w.sums(1.0, 0), (1.0, 0.0, 0.0));
}
