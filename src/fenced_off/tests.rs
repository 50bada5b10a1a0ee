use super::*;

#[test]
fn who_is_shut_out_is_not_heard_until_it_ends_or_is_not_renewed() {
    let mut outs = FencedOff::default();
    assert!(
        outs.accepts_messages_from(0.0, 3) && !outs.is_fenced_off(0.0) && outs.retry_after_ms(0.0) == 0.0
    );
    let shut =
        FenceOffDecision { includes_self: true, others: vec![3], retry_after_ms: 900.0, hold_ms: 1000.0 };
    outs.apply_decision(0.0, &shut);
    assert!(
        !outs.accepts_messages_from(999.0, 3)
            && outs.accepts_messages_from(0.0, 2)
            && outs.is_fenced_off(999.0)
            && outs.retry_after_ms(0.0) == 900.0
    );
    assert!(outs.accepts_messages_from(1000.0, 3) && !outs.is_fenced_off(1000.0), "not renewed");
    outs.apply_decision(1000.0, &FenceOffDecision { hold_ms: f64::NAN, ..FenceOffDecision::default() });
    outs.apply_decision(1000.0, &shut);
    outs.apply_decision(1100.0, &FenceOffDecision { hold_ms: 1000.0, ..FenceOffDecision::default() });
    assert!(outs.accepts_messages_from(1200.0, 3) && !outs.is_fenced_off(1200.0), "let in");
}
