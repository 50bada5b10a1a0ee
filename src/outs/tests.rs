use super::*;

#[test]
fn who_is_shut_out_is_not_heard_until_it_ends_or_is_not_renewed() {
    let mut outs = Outs::default();
    assert!(outs.hears(0.0, 3) && !outs.away(0.0) && outs.pause(0.0) == 0.0);
    let shut = Shut { own: true, others: vec![3], retry: 900.0, hold: 1000.0 };
    outs.heard(0.0, &shut);
    assert!(!outs.hears(999.0, 3) && outs.hears(0.0, 2) && outs.away(999.0) && outs.pause(0.0) == 900.0);
    assert!(outs.hears(1000.0, 3) && !outs.away(1000.0), "not renewed");
    outs.heard(1000.0, &Shut { hold: f64::NAN, ..Shut::default() });
    outs.heard(1000.0, &shut);
    outs.heard(1100.0, &Shut { hold: 1000.0, ..Shut::default() });
    assert!(outs.hears(1200.0, 3) && !outs.away(1200.0), "let in");
}
