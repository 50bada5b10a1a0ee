use super::call_clock::{CALL_TIMEOUT, MAX_POSTPONEMENT, SILENCE_LIMIT};
use super::*;

/// The slowest paths to the list: two calls that hang, or that fail after the longest pauses, and a third
/// that succeeds.
#[test]
fn third_call_completes_within_update_delay_when_two_calls_fail() {
    let mut backoff = Backoff::new(1);
    let longest =
        (0..9).map(|_| Duration::from_secs_f64(backoff.max_pause_ms() / 1000.0)).max().unwrap_or_default();
    let two_failed_calls = 2 * CALL_TIMEOUT.max(longest);
    assert!(
        SILENCE_LIMIT > EMPTY_LINE_INTERVAL,
        "a watch that sends its empty lines must not count as silent"
    );
    let after_silence = SILENCE_LIMIT + MAX_POSTPONEMENT + two_failed_calls;
    assert!(after_silence < MAX_UPDATE_DELAY, "{after_silence:?}");
    let after_move = MAX_POSTPONEMENT + two_failed_calls + longest;
    assert!(after_move < MAX_UPDATE_DELAY_AFTER_MOVE, "{after_move:?}");
}

#[test]
fn line_splitter_returns_whole_lines_for_any_piece_size() {
    for size in [1, 2, 3, 7, 100] {
        let mut lines = LineSplitter::default();
        let mut seen = Vec::new();
        for piece in b"{\"a\":1}\n\n{}\nrest".chunks(size) {
            let mut rest = piece;
            while let Some(line) = lines.next_line(&mut rest).expect("within the size limit") {
                seen.push(line);
            }
            assert!(rest.is_empty());
        }
        assert_eq!(seen, [b"{\"a\":1}\n".to_vec(), b"\n".to_vec(), b"{}\n".to_vec()]);
        assert_eq!(lines.text, b"rest");
    }
}

#[test]
fn call_clock_postpones_next_call_for_a_bounded_time_while_list_arrives() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut clock = CallClock::new(start);
    assert!(!clock.postpone(None), "the first call is due at once without progress");
    clock.call_started(start);
    assert!(clock.postpone(Some(at(400))) && clock.due() == at(1400));
    assert!(clock.postpone(Some(at(1300))) && clock.due() == start + CALL_TIMEOUT + MAX_POSTPONEMENT);
    assert!(!clock.postpone(Some(at(1700))), "the limit is used up");
    clock.call_started(at(1750));
    assert!(!clock.postpone(Some(at(2700))), "the limit does not start over with another call");
    clock.line_received(at(2800));
    assert_eq!(clock.due(), at(2800) + SILENCE_LIMIT);
    assert!(!clock.postpone(Some(at(2800))), "data received before the silence is no progress");
    assert!(clock.postpone(Some(at(5000))) && clock.due() == at(6000));
}
