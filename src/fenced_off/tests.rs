use super::*;

#[test]
fn messages_of_fenced_off_gatekeepers_are_ignored_until_the_decision_ends_or_expires() {
    let mut fenced_off = FencedOff::default();
    assert!(
        fenced_off.accepts_messages_from(0.0, 3)
            && !fenced_off.is_fenced_off(0.0)
            && fenced_off.retry_after_ms(0.0) == 0.0
    );
    let decision =
        FenceOffDecision { includes_self: true, others: vec![3], retry_after_ms: 900.0, hold_ms: 1000.0 };
    fenced_off.apply_decision(0.0, &decision);
    assert!(
        !fenced_off.accepts_messages_from(999.0, 3)
            && fenced_off.accepts_messages_from(0.0, 2)
            && fenced_off.is_fenced_off(999.0)
            && fenced_off.retry_after_ms(0.0) == 900.0
    );
    assert!(fenced_off.accepts_messages_from(1000.0, 3) && !fenced_off.is_fenced_off(1000.0), "not renewed");
    fenced_off.apply_decision(1000.0, &FenceOffDecision { hold_ms: f64::NAN, ..FenceOffDecision::default() });
    fenced_off.apply_decision(1000.0, &decision);
    fenced_off.apply_decision(1100.0, &FenceOffDecision { hold_ms: 1000.0, ..FenceOffDecision::default() });
    assert!(fenced_off.accepts_messages_from(1200.0, 3) && !fenced_off.is_fenced_off(1200.0), "readmitted");
}
