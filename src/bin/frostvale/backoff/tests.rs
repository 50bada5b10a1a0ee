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
