use super::*;

#[test]
fn pauses_grow_within_bounds_up_to_a_second_until_reset() {
    let mut b = Backoff::new(7);
    for limit_ms in [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0] {
        let pause = b.next_pause_ms();
        assert!((MIN_PAUSE_FRACTION * limit_ms..=limit_ms).contains(&pause), "{pause} of {limit_ms}");
    }
    b.reset();
    assert!(b.next_pause_ms() <= MIN_LIMIT_MS);
}

/// A hundred gatekeepers lose discovery at once. With pauses of equal length their fifth calls would all fall
/// into one slot of 100 ms; randomized pauses spread them.
#[test]
fn retries_of_a_hundred_callers_spread_when_all_fail_at_once() {
    let mut slots = [0; 40];
    for seed in 0..100 {
        let mut b = Backoff::new(seed);
        let at: f64 = (0..5).map(|_| b.next_pause_ms()).sum();
        slots[(at / 100.0) as usize] += 1;
    }
    assert_eq!(slots.iter().sum::<i32>(), 100);
    assert!(slots.iter().all(|count| *count <= 30), "{slots:?}");
    assert!(slots.iter().filter(|count| **count > 0).count() >= 8, "{slots:?}");
}
