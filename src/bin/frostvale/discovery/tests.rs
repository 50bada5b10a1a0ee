use super::call_clock::{CALL, SILENT, SLOW_LIST};
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
    let after_silence = SILENT + SLOW_LIST + in_vain;
    assert!(after_silence < TOLD, "{after_silence:?}");
    let after_move = SLOW_LIST + in_vain + longest;
    assert!(after_move < TOLD_MOVED, "{after_move:?}");
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

#[test]
fn a_list_that_keeps_coming_puts_off_the_next_call_for_a_bounded_time() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut clock = CallClock::new(start);
    assert!(!clock.postpone(None), "nothing has come: the first call is due");
    clock.call_started(start);
    assert!(clock.postpone(Some(at(400))) && clock.due() == at(1400));
    assert!(clock.postpone(Some(at(1300))) && clock.due() == start + CALL + SLOW_LIST);
    assert!(!clock.postpone(Some(at(1700))), "no further");
    clock.call_started(at(1750));
    assert!(!clock.postpone(Some(at(2700))), "nor after another call");
    clock.line_received(at(2800));
    assert_eq!(clock.due(), at(2800) + SILENT);
    assert!(!clock.postpone(Some(at(2800))), "what came before the silence is no progress");
    assert!(clock.postpone(Some(at(5000))) && clock.due() == at(6000));
}
