use super::*;

/// The longest ways there are to the list: two calls that hang, or that fail after the longest pauses, and a third that is
/// answered.
#[test]
fn two_calls_in_vain_leave_time_for_a_third_within_what_counts_as_told() {
    let mut backoff = Backoff::new(1);
    let longest =
        (0..9).map(|_| Duration::from_secs_f64(backoff.longest() / 1000.0)).max().unwrap_or_default();
    let in_vain = 2 * CALL.max(longest);
    assert!(SILENT > PERIOD, "a watch that says its empty lines is not silent");
    assert!(SILENT + in_vain < TOLD, "{:?}", SILENT + in_vain);
    assert!(in_vain + longest < TOLD_MOVED, "{:?}", in_vain + longest);
}

#[test]
fn lines_are_whole_however_they_are_cut() {
    for size in [1, 2, 3, 7, 100] {
        let mut lines = Lines::default();
        let mut seen = Vec::new();
        for piece in b"{\"a\":1}\n\n{}\nrest".chunks(size) {
            seen.extend(lines.take(piece).expect("within its bound"));
        }
        assert_eq!(seen, [b"{\"a\":1}\n".to_vec(), b"\n".to_vec(), b"{}\n".to_vec()]);
        assert_eq!(lines.text, b"rest");
    }
}
