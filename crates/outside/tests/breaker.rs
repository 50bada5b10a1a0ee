//! Tests of the policy for consulting an outside service, in simulated time.

use frostvale_outside::{
    BreakerState, CLOSING_SUCCESSES, FailureMode, MIN_BREAKER_CALLS, OutsideDecision, OutsidePolicy,
    Settings, Verdict,
};
use proptest::prelude::*;
use std::sync::Arc;

const AIM: (f64, f64) = (400.0, 1000.0);
const OK: Verdict = Verdict::Ok { ahead: 0.0, ahead_ms: 0.0 };

fn settings(mode: FailureMode) -> Settings {
    Settings { plans: vec![Some(mode), None], in_hand: 50, ..Settings::default() }
}

fn policy(mode: FailureMode) -> OutsidePolicy {
    OutsidePolicy::new(settings(mode), 7).expect("valid settings")
}

fn shop(n: u64) -> Arc<str> {
    format!("{n:016x}").as_str().into()
}

fn call(decision: &OutsideDecision) -> u64 {
    match decision {
        OutsideDecision::Ask { call, .. } => *call,
        other => panic!("the service is not called: {other:?}"),
    }
}

/// Opens the breaker by letting the minimum number of calls time out.
fn open_breaker(c: &mut OutsidePolicy, now: f64) {
    for k in 0..MIN_BREAKER_CALLS as u64 {
        let decision = c.ask(now, k, &shop(k), 0, 1.0, AIM, true);
        c.time_out(now + 80.0, call(&decision));
    }
    assert_eq!(c.breaker(), BreakerState::Open);
}

#[test]
fn request_waits_at_most_its_fraction_of_the_latency_target() {
    let mut c = policy(FailureMode::Allow);
    assert_eq!(
        c.ask(0.0, 1, &shop(1), 1, 1.0, AIM, true),
        OutsideDecision::Pass,
        "a plan that does not consult the service"
    );
    assert_eq!(c.ask(0.0, 1, &shop(1), 0, 1.0, AIM, true), OutsideDecision::Ask { call: 1, within: 80.0 });
    // When the client waits only a little longer, the limit is half of that time.
    assert_eq!(
        c.ask(0.0, 2, &shop(1), 0, 1.0, (400.0, 20.0), true),
        OutsideDecision::Ask { call: 2, within: 10.0 }
    );
    assert_eq!(c.time_out(80.0, 1), Some((1, OutsideDecision::Pass)), "decided by the failure mode");
    assert_eq!(c.record_verdict(81.0, 1, Verdict::Over { reset_ms: 5.0 }), None, "a late verdict is ignored");
}

#[test]
fn breaker_stays_closed_when_one_call_times_out() {
    let mut c = policy(FailureMode::Deny);
    for k in 0..100 {
        let decision = c.ask(k as f64, k, &shop(k), 0, 1.0, AIM, true);
        if k == 50 {
            assert_eq!(
                c.time_out(k as f64, call(&decision)),
                Some((k, OutsideDecision::Deny { pause: 0.0 }))
            );
        } else {
            assert_eq!(c.record_verdict(k as f64, call(&decision), OK), Some((k, OutsideDecision::Pass)));
        }
        assert_eq!(c.breaker(), BreakerState::Closed);
    }
}

#[test]
fn open_breaker_decides_at_once_when_all_calls_time_out() {
    let mut c = policy(FailureMode::Allow);
    open_breaker(&mut c, 0.0);
    for k in 0..1000 {
        assert_eq!(c.ask(100.0, 100 + k, &shop(k), 0, 1.0, AIM, true), OutsideDecision::Pass);
    }
    assert_eq!(
        (c.in_flight(), c.counts().asked, c.counts().by_mode),
        (0, MIN_BREAKER_CALLS as u64, MIN_BREAKER_CALLS as u64 + 1000)
    );
}

#[test]
fn half_open_breaker_allows_one_call_at_a_time_and_closes_after_successes() {
    let mut c = policy(FailureMode::Deny);
    open_breaker(&mut c, 0.0);
    let now = 80.0 + 1.25 * 500.0;
    let mut trial = c.ask(now, 1, &shop(1), 0, 1.0, AIM, true);
    assert_eq!(c.breaker(), BreakerState::HalfOpen);
    for good in 0..CLOSING_SUCCESSES {
        let other = c.ask(now, 2, &shop(2), 0, 1.0, AIM, true);
        assert_eq!(other, OutsideDecision::Deny { pause: 0.0 }, "only one at a time");
        c.record_verdict(now, call(&trial), OK);
        if good + 1 < CLOSING_SUCCESSES {
            trial = c.ask(now, 3, &shop(3), 0, 1.0, AIM, true);
        }
    }
    assert_eq!(c.breaker(), BreakerState::Closed);
}

#[test]
fn failed_trial_doubles_the_pause_up_to_its_limit() {
    let mut c = policy(FailureMode::Allow);
    open_breaker(&mut c, 0.0);
    let mut now = 80.0;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let start = now;
        let decision = loop {
            let decision = c.ask(now, 1, &shop(1), 0, 1.0, AIM, true);
            if matches!(decision, OutsideDecision::Ask { .. }) {
                break decision;
            }
            now += 1.0;
        };
        pauses.push(now - start);
        c.time_out(now, call(&decision));
        assert_eq!(c.breaker(), BreakerState::Open);
    }
    for (k, pause) in pauses.iter().enumerate() {
        let expected = (500.0 * 2f64.powi(k as i32)).min(8000.0);
        assert!((0.75 * expected - 2.0..=1.25 * expected + 2.0).contains(pause), "pause {k}: {pause}");
    }
}

#[test]
fn breaker_opens_within_one_window_when_every_other_call_times_out() {
    let mut c = policy(FailureMode::Allow);
    let mut waited = 0;
    for k in 0..1000u64 {
        let now = k as f64;
        let decision = c.ask(now, k, &shop(k), 0, 1.0, AIM, true);
        if let OutsideDecision::Ask { call, .. } = decision {
            // Every other call times out.
            if k % 2 == 0 {
                waited += 1;
                c.time_out(now, call);
            } else {
                c.record_verdict(now, call, OK);
            }
        }
    }
    assert!(waited < 20, "{waited} of 1000 requests waited without a verdict");
}

#[test]
fn failure_mode_decides_requests_above_the_limit_of_calls_in_flight() {
    let mut c = policy(FailureMode::Deny);
    for k in 0..50 {
        assert!(matches!(c.ask(0.0, k, &shop(k), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
    }
    assert_eq!(c.ask(0.0, 50, &shop(50), 0, 1.0, AIM, true), OutsideDecision::Deny { pause: 0.0 });
    assert_eq!(c.breaker(), BreakerState::Closed, "a full limit is no failure of the service");
}

#[test]
fn lost_agent_link_decides_by_failure_mode_and_records_no_failure() {
    let mut c = policy(FailureMode::Allow);
    assert_eq!(c.ask(0.0, 1, &shop(1), 0, 1.0, AIM, false), OutsideDecision::Pass);
    for k in 0..10 {
        c.ask(0.0, k, &shop(k), 0, 1.0, AIM, true);
    }
    let decided = c.link_lost();
    assert_eq!(decided.len(), 10);
    assert!(decided.iter().all(|(_, decision)| *decision == OutsideDecision::Pass));
    assert_eq!((c.breaker(), c.in_flight()), (BreakerState::Closed, 0));
}

#[test]
fn next_trial_is_allowed_when_the_link_is_lost_during_a_trial() {
    let mut c = policy(FailureMode::Allow);
    open_breaker(&mut c, 0.0);
    assert!(matches!(c.ask(1000.0, 1, &shop(1), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
    c.link_lost();
    assert!(matches!(c.ask(1000.0, 2, &shop(2), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
}

#[test]
fn verdicts_are_cached_for_their_lifetime_and_at_most_keep_ms() {
    let mut c = policy(FailureMode::Deny);
    let first = c.ask(0.0, 1, &shop(1), 0, 1.0, AIM, true);
    c.record_verdict(0.0, call(&first), Verdict::Over { reset_ms: 300.0 });
    assert_eq!(
        c.ask(100.0, 2, &shop(1), 0, 1.0, AIM, true),
        OutsideDecision::Deny { pause: 200.0 },
        "the service is not called again"
    );
    assert!(matches!(c.ask(301.0, 3, &shop(1), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
    // An answer without a lifetime is not cached.
    let plain = c.ask(400.0, 4, &shop(2), 0, 1.0, AIM, true);
    c.record_verdict(400.0, call(&plain), OK);
    assert!(matches!(c.ask(401.0, 5, &shop(2), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
    // With three units granted in advance, three requests pass and the fourth calls the service.
    let ahead = c.ask(500.0, 6, &shop(3), 0, 1.0, AIM, true);
    c.record_verdict(500.0, call(&ahead), Verdict::Ok { ahead: 3.0, ahead_ms: 1e9 });
    for _ in 0..3 {
        assert_eq!(c.ask(501.0, 7, &shop(3), 0, 1.0, AIM, true), OutsideDecision::Pass);
    }
    assert!(matches!(c.ask(502.0, 8, &shop(3), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
    // A cached verdict expires after keep_ms at the latest.
    assert!(matches!(c.ask(1600.0, 9, &shop(3), 0, 1.0, AIM, true), OutsideDecision::Ask { .. }));
}

#[test]
fn cached_verdicts_are_bounded() {
    let mut c =
        OutsidePolicy::new(Settings { keep_most: 100, in_hand: 1000, ..settings(FailureMode::Deny) }, 7)
            .expect("valid settings");
    for k in 0..10_000 {
        let now = k as f64 / 100.0;
        let decision = c.ask(now, k, &shop(k), 0, 1.0, AIM, true);
        c.record_verdict(now, call(&decision), Verdict::Over { reset_ms: 1e9 });
    }
    assert!(c.cached_shops() <= 100);
}

#[test]
fn new_names_the_setting_that_is_out_of_range() {
    let bad = [
        (Settings { deadline_part: 0.0, ..Settings::default() }, "deadline_part"),
        (Settings { deadline_part: f64::NAN, ..Settings::default() }, "deadline_part"),
        (Settings { in_hand: 0, ..Settings::default() }, "in_hand"),
        (Settings { open_ms: 1.0, ..Settings::default() }, "open_ms"),
        (Settings { open_most_ms: 1.0, ..Settings::default() }, "open_most_ms"),
        (Settings { keep_ms: -1.0, ..Settings::default() }, "keep_ms"),
    ];
    for (settings, word) in bad {
        let error = OutsidePolicy::new(settings, 1).err().expect("refused").0;
        assert!(error.contains(word), "{error}");
    }
}

proptest! {
    /// For any behavior of the service, each request gets exactly one final decision within its deadline, and
    /// the number of calls in flight stays within its limit.
    #[test]
    fn every_request_is_decided_once_and_in_time(
        events in prop::collection::vec((0u8..6, 0u64..30, 0u32..200), 1..400),
    ) {
        let mut c = OutsidePolicy::new(Settings { in_hand: 20, ..settings(FailureMode::Deny) }, 3).expect("valid settings");
        let mut now = 0.0;
        let mut open: Vec<(u64, u64, f64)> = Vec::new();
        let mut decided = std::collections::BTreeSet::new();
        for (request, (kind, n, gap)) in events.into_iter().enumerate() {
            let request = request as u64;
            now += f64::from(gap);
            while let Some(at) = open.iter().position(|(_, _, until)| *until <= now) {
                let (call, of, until) = open.remove(at);
                let decision = c.time_out(until, call);
                let is_final = decision.as_ref().is_some_and(|(r, s)| *r == of && !matches!(s, OutsideDecision::Ask { .. }));
                prop_assert!(is_final);
                prop_assert!(decided.insert(of));
            }
            match c.ask(now, request, &shop(n), 0, 1.0, AIM, kind != 5) {
                OutsideDecision::Ask { call, within } => {
                    prop_assert!(within <= 0.2 * AIM.0 + 1e-9);
                    let outcome = match kind {
                        0 => Some(OK),
                        1 => Some(Verdict::Over { reset_ms: f64::from(gap) }),
                        2 => Some(Verdict::Failed),
                        _ => None,
                    };
                    match outcome {
                        Some(verdict) => {
                            prop_assert!(c.record_verdict(now, call, verdict).is_some_and(|(r, _)| r == request));
                            prop_assert!(decided.insert(request));
                        }
                        None => open.push((call, request, now + within)),
                    }
                }
                _ => prop_assert!(decided.insert(request)),
            }
            prop_assert_eq!(c.in_flight(), open.len());
            prop_assert!(open.len() <= 20);
            if kind == 4 && n == 0 {
                for (r, _) in c.link_lost() {
                    prop_assert!(decided.insert(r));
                }
                open.clear();
            }
        }
    }
}
