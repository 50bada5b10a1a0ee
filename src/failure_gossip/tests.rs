use super::*;
use proptest::prelude::*;

/// State of `gatekeepers` that list the same servers, `s0` and on. Fewer than four do not gossip.
fn gossip_states(gatekeepers: u32, servers: u32) -> Vec<FailureGossip> {
    let rate = if gatekeepers < 4 { 0.0 } else { 15.0 };
    let one = |me| {
        let mut gossip = FailureGossip::new((me, gatekeepers), rate, u64::from(me));
        (0..servers).for_each(|k| gossip.server_listed(&format!("s{k}"), true, false));
        gossip
    };
    (0..gatekeepers).map(one).collect()
}

/// Delivers all messages that are due, except one of `loss_interval` deliveries; returns the number of
/// messages.
fn exchange_messages(gossip_states: &mut [FailureGossip], now: f64, loss_interval: usize) -> usize {
    let sent: Vec<(u32, String)> = (0..gossip_states.len())
        .filter_map(|k| Some((k as u32, gossip_states[k].take_due_message(now)?)))
        .collect();
    for (n, (from, text)) in sent.iter().enumerate() {
        assert!(text.len() <= 256, "{text}");
        for (_, gossip) in gossip_states.iter_mut().enumerate().filter(|(k, _)| (k + n) % loss_interval != 0)
        {
            // A broadcast may come back to its sender.
            gossip.receive(now, *from, text);
        }
    }
    sent.len()
}

#[test]
fn failure_reaches_all_gatekeepers_by_few_messages() {
    let mut gossips = gossip_states(100, 60);
    // Every gatekeeper sees an attempt fail at the same server within the same 100 ms.
    for (k, gossip) in gossips.iter_mut().enumerate() {
        gossip.attempt_ended(k as f64, k as u64, "s7", Some(false));
    }
    let message_count: usize = (0..300).map(|ms| exchange_messages(&mut gossips, f64::from(ms), 20)).sum();
    assert!((2..=12).contains(&message_count), "{message_count} of 100 gatekeepers sent a message");
    assert!(
        gossips
            .iter()
            .all(|gossip| gossip.report_score(300.0, "s7") > 0.8 && gossip.report_score(300.0, "s8") <= 0.0)
    );
}

#[test]
fn failure_is_not_broadcast_when_enough_others_reported_it() {
    let mut gossip = gossip_states(100, 60).remove(0);
    gossip.receive(0.0, 1, &format!("{GOSSIP_MARK}{:x}", name_hash("s1")));
    gossip.receive(0.0, 2, &format!("{GOSSIP_MARK}{:x}", name_hash("s1")));
    gossip.attempt_ended(10.0, 9, "s1", Some(false));
    assert_eq!(gossip.take_due_message(1000.0), None);
    // After the reports of the others have decayed it is.
    gossip.attempt_ended(6000.0, 10, "s1", Some(false));
    assert!(gossip.take_due_message(7000.0).is_some());
}

/// 300 gatekeepers that start together and each send to slow servers used to broadcast two messages each at
/// once: that fills each receiver's intake for ten seconds, in which half of all requests to quota owners
/// were lost.
#[test]
fn broadcasts_leave_intake_free_when_hundreds_report_at_once() {
    let (mut gossips, mut message_count) = (gossip_states(300, 200), 0);
    let mut x = 7u64;
    for step in 0..120u32 {
        let now = f64::from(step) * 25.0;
        for gossip in &mut gossips {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            if x >> 60 == 0 {
                gossip.attempt_ended(now, 0, &format!("s{}", (x >> 33) % 200), Some(false));
            }
        }
        message_count += exchange_messages(&mut gossips, now, 30);
    }
    assert!((20..=90).contains(&message_count), "{message_count} messages in three seconds");
}

#[test]
fn flooding_gatekeeper_delays_others_only_while_it_sends() {
    let mut gossip = gossip_states(300, 60).remove(0);
    for ms in 0..3000u32 {
        gossip.receive(f64::from(ms), 66, &format!("{GOSSIP_MARK}{:x}", name_hash("s2")));
    }
    gossip.attempt_ended(3000.0, 1, "s1", Some(false));
    // One second until the backlog has drained, and the random delay.
    let mut now = 3000.0;
    let sent = std::iter::from_fn(|| {
        now += gossip.next_wakeup_ms(now)?.max(1.0);
        Some(gossip.take_due_message(now))
    });
    assert!(sent.take(9).any(|message| message.is_some()));
    assert!(now <= 3000.0 + MAX_SEND_DELAY_MS + 1000.0 + 2.0 * MAX_HOLD_BACK_JITTER_MS, "{now}");
}

#[test]
fn report_is_dropped_when_it_decays_before_it_is_sent() {
    let mut gossip = gossip_states(300, 60).remove(0);
    gossip.attempt_ended(0.0, 1, "s1", Some(false));
    // Other gatekeepers keep the backlog full for five seconds.
    for k in 0..250u32 {
        gossip.receive(f64::from(k) * 20.0, 1 + k, &format!("{GOSSIP_MARK}{:x}", name_hash("s2")));
        assert_eq!(gossip.take_due_message(f64::from(k) * 20.0), None);
    }
    assert_eq!((gossip.take_due_message(9000.0), gossip.next_wakeup_ms(9000.0)), (None, None));
}

#[test]
fn report_score_decays_and_is_halved_by_a_success() {
    let mut gossip = gossip_states(100, 60).remove(0);
    gossip.receive(0.0, 1, &format!("{GOSSIP_MARK}{:x}", name_hash("s1")));
    gossip.receive(0.0, 2, &format!("{GOSSIP_MARK}{:x}", name_hash("s1")));
    assert!((gossip.report_score(0.0, "s1") - 2.0).abs() < 1e-9);
    gossip.attempt_sent(0.0, 9, &"s1".into(), 50.0);
    gossip.attempt_ended(40.0, 9, "s1", Some(true));
    assert!((0.9..1.0).contains(&gossip.report_score(40.0, "s1")), "{}", gossip.report_score(40.0, "s1"));
    assert!(gossip.report_score(10_000.0, "s1") < 0.05);
}

#[test]
fn repeated_reports_of_one_gatekeeper_count_once() {
    let mut gossip = gossip_states(100, 60).remove(0);
    let ids: Vec<String> = (0..16).map(|k| format!("{:x}", name_hash(&format!("s{k}")))).collect();
    for ms in 0..1000 {
        gossip.receive(f64::from(ms), 66, &format!("{GOSSIP_MARK}{}", ids.join(",")));
    }
    assert!((0..16).all(|k| gossip.report_score(1000.0, &format!("s{k}")) <= 1.0));
}

#[test]
fn malformed_entries_are_dropped_and_counted() {
    let mut gossip = gossip_states(100, 2).remove(0);
    let long = "f".repeat(5000);
    for text in
        ["!", "!zz", "!deadbeef", "!-1", "!123456789", "!\u{1F600}", "nothing", "", &format!("!{long}")]
    {
        gossip.receive(0.0, 1, text);
    }
    assert_eq!(gossip.dropped_entries, 9);
    assert!(gossip.report_score(0.0, "s0") <= 0.0 && gossip.report_score(0.0, "s1") <= 0.0);
    let many = vec![format!("{:x}", name_hash("s0")); 17].join(",");
    gossip.receive(0.0, 1, &format!("{GOSSIP_MARK}{many}"));
    assert_eq!(
        (gossip.dropped_entries, gossip.report_score(0.0, "s0")),
        (10, 0.0),
        "a message that names too many servers has no effect"
    );
    gossip.receive(0.0, 0, &format!("{GOSSIP_MARK}{:x}", name_hash("s0")));
    assert!(gossip.report_score(0.0, "s0") <= 0.0, "its own message that comes back is not another report");
}

#[test]
fn overdue_attempt_is_reported_before_it_ends() {
    let mut gossip = gossip_states(100, 60).remove(0);
    gossip.attempt_sent(0.0, 1, &"s3".into(), 100.0);
    assert_eq!(
        (gossip.take_due_message(499.0), gossip.take_due_message(500.0)),
        (None, None),
        "the random delay lets others report first"
    );
    assert_eq!(gossip.take_due_message(600.0), Some(format!("{GOSSIP_MARK}{:x}", name_hash("s3"))));
    // Its success does not lower the score, as it was overdue.
    gossip.attempt_ended(900.0, 1, "s3", Some(true));
    assert!(gossip.report_score(900.0, "s3") > 0.5);
}

#[test]
fn wakeup_is_requested_for_due_reports_and_overdue_attempts() {
    let mut gossip = gossip_states(100, 60).remove(0);
    assert_eq!(gossip.next_wakeup_ms(0.0), None, "nothing is due");
    gossip.attempt_sent(0.0, 1, &"s3".into(), 100.0);
    assert_eq!(gossip.next_wakeup_ms(0.0), Some(500.0));
    assert_eq!(gossip.next_wakeup_ms(1.0), None, "the wakeup is requested already");
    assert_eq!(gossip.take_due_message(500.0), None);
    let delay = gossip.next_wakeup_ms(500.0).expect("a wakeup after the random delay");
    assert!(
        delay <= MAX_SEND_DELAY_MS + 1.0
            && gossip.take_due_message(500.0 + delay).is_some()
            && gossip.next_wakeup_ms(500.0 + delay).is_none()
    );
}

#[test]
fn report_scores_are_zero_when_all_servers_are_reported_alike() {
    let mut gossip = gossip_states(100, 10).remove(0);
    for k in 0..10 {
        for reporter in 1..4 {
            gossip.receive(0.0, reporter, &format!("{GOSSIP_MARK}{:x}", name_hash(&format!("s{k}"))));
        }
    }
    gossip.take_due_message(300.0);
    assert!((0..10).all(|k| gossip.report_score(300.0, &format!("s{k}")) < 0.01));
}

#[test]
fn gossip_is_disabled_when_the_rate_is_zero() {
    let mut gossip = gossip_states(3, 10).remove(0);
    gossip.attempt_ended(0.0, 1, "s1", Some(false));
    gossip.receive(0.0, 1, &format!("{GOSSIP_MARK}{:x}", name_hash("s1")));
    assert_eq!(gossip.take_due_message(1000.0), None);
    assert!(gossip.report_score(0.0, "s1") <= 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Broadcasts stay within the total rate and a burst for each gatekeeper, whichever servers fail.
    #[test]
    fn broadcasts_stay_within_the_total_rate(
        gatekeepers in 17u32..60, servers in 1u32..30, seed in 0u64..1000, loss_interval in 2usize..30,
    ) {
        let mut gossips = gossip_states(gatekeepers, servers);
        let mut message_count = 0;
        let mut x = seed;
        for step in 0..400u32 {
            let now = f64::from(step) * 25.0;
            for gossip in &mut gossips {
                x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let server = format!("s{}", (x >> 33) % u64::from(servers));
                gossip.attempt_ended(now, 0, &server, Some(false));
            }
            message_count += exchange_messages(&mut gossips, now, loss_interval);
        }
        let max_messages = f64::from(gatekeepers) * MAX_BURST_MESSAGES + 15.0 * 10.0 + f64::from(gatekeepers);
        prop_assert!(message_count as f64 <= max_messages, "{message_count} of at most {max_messages}");
    }
}
