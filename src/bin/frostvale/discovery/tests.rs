use super::*;

/// The longest way there is from silence to the list: two calls that hang, and the third that is answered, each after the
/// longest pause that may come before it.
#[test]
fn two_calls_that_hang_leave_time_for_a_third_within_what_counts_as_told() {
    let mut backoff = Backoff::new(1);
    let pauses: Vec<Duration> = (0..3).map(|_| Duration::from_secs_f64(backoff.longest() / 1000.0)).collect();
    let hung = |calls: u32| pauses.iter().take(calls as usize + 1).sum::<Duration>() + calls * CALL;
    assert!(SILENT > PERIOD, "a watch that says its empty lines is not silent");
    assert!(SILENT + hung(2) < TOLD, "{:?}", SILENT + hung(2));
    // After a reload the first call is made at once.
    assert!(hung(2) < TOLD_MOVED, "{:?}", hung(2));
    // At discovery's return a call of before it may still hang, and the pause after it be the longest there is.
    let longest =
        (0..9).map(|_| Duration::from_secs_f64(backoff.longest() / 1000.0)).max().unwrap_or_default();
    assert!(2 * (CALL + longest) < TOLD, "with one more that hangs after it");
}

#[test]
fn lines_are_whole_however_they_are_cut() {
    for size in [1, 2, 3, 7, 100] {
        let mut lines = Lines::default();
        let mut seen = Vec::new();
        for piece in b"{\"a\":1}\n\n{}\nrest".chunks(size) {
            let taken = lines.take(piece, |line| {
                seen.push(line.to_vec());
                Ok(())
            });
            taken.expect("within its bound");
        }
        assert_eq!(seen, [b"{\"a\":1}\n".to_vec(), b"\n".to_vec(), b"{}\n".to_vec()]);
        assert_eq!(lines.text, b"rest");
    }
}
