use super::*;
use proptest::prelude::*;

/// Gatekeepers that all know the same servers, `s0` and on.
fn tier(gatekeepers: u32, servers: u32) -> Vec<FailureGossip> {
    let rate = if gatekeepers < 4 { 0.0 } else { 15.0 };
    let one = |me| {
        let mut r = FailureGossip::new((me, gatekeepers), rate, u64::from(me));
        (0..servers).for_each(|k| r.server_listed(&format!("s{k}"), true, false));
        r
    };
    (0..gatekeepers).map(one).collect()
}

/// Lets all that is due go, and all but one in so many be heard; gives the number of notes.
fn pass(tier: &mut [FailureGossip], now: f64, lost: usize) -> usize {
    let said: Vec<(u32, String)> =
        (0..tier.len()).filter_map(|k| Some((k as u32, tier[k].take_due_message(now)?))).collect();
    for (n, (from, text)) in said.iter().enumerate() {
        assert!(text.len() <= 256, "{text}");
        for (_, r) in tier.iter_mut().enumerate().filter(|(k, _)| (k + n) % lost != 0) {
            // A note to all may come back to its sender.
            r.receive(now, *from, text);
        }
    }
    said.len()
}

#[test]
fn what_one_sees_fail_all_know_and_few_say_it() {
    let mut all = tier(100, 60);
    // Every gatekeeper loses an attempt at the same server within the same 100 ms.
    for (k, r) in all.iter_mut().enumerate() {
        r.attempt_ended(k as f64, k as u64, "s7", Some(false));
    }
    let notes: usize = (0..300).map(|ms| pass(&mut all, f64::from(ms), 20)).sum();
    assert!((2..=12).contains(&notes), "{notes} of 100 spoke");
    assert!(all.iter().all(|r| r.report_score(300.0, "s7") > 0.8 && r.report_score(300.0, "s8") <= 0.0));
}

#[test]
fn what_enough_others_have_said_is_no_news() {
    let mut r = tier(100, 60).remove(0);
    r.receive(0.0, 1, &format!("{GOSSIP_MARK}{:x}", short("s1")));
    r.receive(0.0, 2, &format!("{GOSSIP_MARK}{:x}", short("s1")));
    r.attempt_ended(10.0, 9, "s1", Some(false));
    assert_eq!(r.take_due_message(1000.0), None);
    // Once that has faded it is.
    r.attempt_ended(6000.0, 10, "s1", Some(false));
    assert!(r.take_due_message(7000.0).is_some());
}

/// Three hundred that start together and each meet slow servers used to say so twice each at once: ten seconds of what
/// each takes in, in which half of all questions to keepers were lost.
#[test]
fn hundreds_with_news_at_once_leave_the_intake_to_others() {
    let (mut all, mut notes) = (tier(300, 200), 0);
    let mut x = 7u64;
    for step in 0..120u32 {
        let now = f64::from(step) * 25.0;
        for r in &mut all {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            if x >> 60 == 0 {
                r.attempt_ended(now, 0, &format!("s{}", (x >> 33) % 200), Some(false));
            }
        }
        notes += pass(&mut all, now, 30);
    }
    assert!((20..=90).contains(&notes), "{notes} notes in three seconds");
}

#[test]
fn one_that_floods_all_silences_nobody_for_longer_than_it_speaks() {
    let mut r = tier(300, 60).remove(0);
    for ms in 0..3000u32 {
        r.receive(f64::from(ms), 66, &format!("{GOSSIP_MARK}{:x}", short("s2")));
    }
    r.attempt_ended(3000.0, 1, "s1", Some(false));
    // A second until the air is free, and its own turn.
    let mut now = 3000.0;
    let said = std::iter::from_fn(|| {
        now += r.next_wakeup_ms(now)?.max(1.0);
        Some(r.take_due_message(now))
    });
    assert!(said.take(9).any(|note| note.is_some()));
    assert!(now <= 3000.0 + LOT_MS + 1000.0 + 2.0 * TURN_MS, "{now}");
}

#[test]
fn what_waited_until_it_had_faded_is_no_news() {
    let mut r = tier(300, 60).remove(0);
    r.attempt_ended(0.0, 1, "s1", Some(false));
    // Others fill the air for five seconds.
    for k in 0..250u32 {
        r.receive(f64::from(k) * 20.0, 1 + k, &format!("{GOSSIP_MARK}{:x}", short("s2")));
        assert_eq!(r.take_due_message(f64::from(k) * 20.0), None);
    }
    assert_eq!((r.take_due_message(9000.0), r.next_wakeup_ms(9000.0)), (None, None));
}

#[test]
fn a_rumour_fades_and_an_answer_halves_it() {
    let mut r = tier(100, 60).remove(0);
    r.receive(0.0, 1, &format!("{GOSSIP_MARK}{:x}", short("s1")));
    r.receive(0.0, 2, &format!("{GOSSIP_MARK}{:x}", short("s1")));
    assert!((r.report_score(0.0, "s1") - 2.0).abs() < 1e-9);
    r.attempt_sent(0.0, 9, &"s1".into(), 50.0);
    r.attempt_ended(40.0, 9, "s1", Some(true));
    assert!((0.9..1.0).contains(&r.report_score(40.0, "s1")), "{}", r.report_score(40.0, "s1"));
    assert!(r.report_score(10_000.0, "s1") < 0.05);
}

#[test]
fn one_liar_is_one_voice_however_often_it_speaks() {
    let mut r = tier(100, 60).remove(0);
    let ids: Vec<String> = (0..16).map(|k| format!("{:x}", short(&format!("s{k}")))).collect();
    for ms in 0..1000 {
        r.receive(f64::from(ms), 66, &format!("{GOSSIP_MARK}{}", ids.join(",")));
    }
    assert!((0..16).all(|k| r.report_score(1000.0, &format!("s{k}")) <= 1.0));
}

#[test]
fn words_that_mean_nothing_are_dropped_and_counted() {
    let mut r = tier(100, 2).remove(0);
    let long = "f".repeat(5000);
    for text in
        ["!", "!zz", "!deadbeef", "!-1", "!123456789", "!\u{1F600}", "nothing", "", &format!("!{long}")]
    {
        r.receive(0.0, 1, text);
    }
    assert_eq!(r.dropped_entries, 9);
    assert!(r.report_score(0.0, "s0") <= 0.0 && r.report_score(0.0, "s1") <= 0.0);
    let many = vec![format!("{:x}", short("s0")); 17].join(",");
    r.receive(0.0, 1, &format!("{GOSSIP_MARK}{many}"));
    assert_eq!((r.dropped_entries, r.report_score(0.0, "s0")), (10, 0.0), "too many names are none");
    r.receive(0.0, 0, &format!("{GOSSIP_MARK}{:x}", short("s0")));
    assert!(r.report_score(0.0, "s0") <= 0.0, "one's own words that come back are not another voice");
}

#[test]
fn an_attempt_that_hangs_is_spoken_of_before_it_ends() {
    let mut r = tier(100, 60).remove(0);
    r.attempt_sent(0.0, 1, &"s3".into(), 100.0);
    assert_eq!(
        (r.take_due_message(499.0), r.take_due_message(500.0)),
        (None, None),
        "a moment drawn by lot lets others speak first"
    );
    assert_eq!(r.take_due_message(600.0), Some(format!("{GOSSIP_MARK}{:x}", short("s3"))));
    // Its end says nothing new, unless it fails.
    r.attempt_ended(900.0, 1, "s3", Some(true));
    assert!(r.report_score(900.0, "s3") > 0.5);
}

#[test]
fn news_and_attempts_that_hang_wake_a_gatekeeper_that_sees_nothing_else() {
    let mut r = tier(100, 60).remove(0);
    assert_eq!(r.next_wakeup_ms(0.0), None, "nothing to wake for");
    r.attempt_sent(0.0, 1, &"s3".into(), 100.0);
    assert_eq!(r.next_wakeup_ms(0.0), Some(500.0));
    assert_eq!(r.next_wakeup_ms(1.0), None, "asked for already");
    assert_eq!(r.take_due_message(500.0), None);
    let lot = r.next_wakeup_ms(500.0).expect("the moment drawn by lot");
    assert!(
        lot <= LOT_MS + 1.0
            && r.take_due_message(500.0 + lot).is_some()
            && r.next_wakeup_ms(500.0 + lot).is_none()
    );
}

#[test]
fn where_all_are_ill_spoken_of_none_is_left_for_it() {
    let mut r = tier(100, 10).remove(0);
    for k in 0..10 {
        for who in 1..4 {
            r.receive(0.0, who, &format!("{GOSSIP_MARK}{:x}", short(&format!("s{k}"))));
        }
    }
    r.take_due_message(300.0);
    assert!((0..10).all(|k| r.report_score(300.0, &format!("s{k}")) < 0.01));
}

#[test]
fn a_few_gatekeepers_neither_speak_nor_listen() {
    let mut r = tier(3, 10).remove(0);
    r.attempt_ended(0.0, 1, "s1", Some(false));
    r.receive(0.0, 1, &format!("{GOSSIP_MARK}{:x}", short("s1")));
    assert_eq!(r.take_due_message(1000.0), None);
    assert!(r.report_score(0.0, "s1") <= 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Whatever fails wherever, notes to all stay within their part of the intake and a burst for each.
    #[test]
    fn notes_stay_within_their_part(
        gatekeepers in 17u32..60, servers in 1u32..30, seed in 0u64..1000, lost in 2usize..30,
    ) {
        let mut all = tier(gatekeepers, servers);
        let mut notes = 0;
        let mut x = seed;
        for step in 0..400u32 {
            let now = f64::from(step) * 25.0;
            for r in &mut all {
                x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let server = format!("s{}", (x >> 33) % u64::from(servers));
                r.attempt_ended(now, 0, &server, Some(false));
            }
            notes += pass(&mut all, now, lost);
        }
        let most = f64::from(gatekeepers) * BURST + 15.0 * 10.0 + f64::from(gatekeepers);
        prop_assert!(notes as f64 <= most, "{notes} notes of {most}");
    }
}
