use super::*;

#[test]
fn items_share_notes_and_notes_keep_to_the_rate() {
    let mut post = Outbox::default();
    let item = "x".repeat(100);
    assert_eq!(post.enqueue(0.0, 1, (0.0, f64::INFINITY), item.clone()), None);
    assert_eq!(post.enqueue(0.0, 1, (0.0, f64::INFINITY), item.clone()), None);
    assert_eq!(
        post.enqueue(0.0, 1, (0.0, f64::INFINITY), item.clone()).map(|t| t.len()),
        Some(200),
        "full before the third"
    );
    for to in 2..200 {
        post.enqueue(0.0, to, (0.0, f64::INFINITY), item.clone());
    }
    // A tenth of a second's at one stroke, then 50 a second.
    let mut sent = 0;
    for ms in 0..1000 {
        while let Some((_, text)) = post.next_message(10_000.0 + f64::from(ms), 50.0) {
            assert!(text.len() <= NOTE_BYTES);
            sent += 1;
        }
    }
    assert!((50..=56).contains(&sent), "{sent}");
    assert!(post.next_wakeup_ms(11_000.0, 50.0).is_some_and(|after| after <= 20.0));
    assert_eq!(post.next_wakeup_ms(11_000.0, 50.0), None, "asked for already");
}

#[test]
fn what_is_said_again_goes_in_a_note_of_its_own() {
    let mut post = Outbox::default();
    assert_eq!(post.enqueue(0.0, 1, (0.0, f64::INFINITY), "x".into()), None);
    post.schedule_repeat(1, 150.0, "x".into());
    assert_eq!(post.next_message(100.0, 50.0), Some((1, "x".into())));
    assert_eq!(post.next_message(140.0, 50.0), None);
    assert!(post.next_wakeup_ms(140.0, 50.0).is_some_and(|after| after <= 10.0));
    assert_eq!(post.next_message(150.0, 50.0), Some((1, "x".into())));
    assert_eq!(post.next_message(1000.0, 50.0), None);
}

/// Beyond the rate questions pile up: sent in their order, each came when nobody waited for it any more.
#[test]
fn what_is_of_no_more_use_is_not_sent() {
    let mut post = Outbox::default();
    for to in 0..100 {
        post.enqueue(0.0, to, (0.0, 100.0 + f64::from(to)), "x;".into());
    }
    post.enqueue(0.0, 7, (0.0, f64::INFINITY), "y;".into());
    post.left = 1.0;
    assert_eq!(post.next_message(0.0, 10.0), Some((0, "x;".into())));
    assert_eq!(
        post.next_message(110.0, 10.0),
        Some((7, "y;".into())),
        "those for 1 to 10 are late, but one item"
    );
    assert_eq!(post.next_message(210.0, 10.0), None);
    assert!(post.items.is_empty());
    // Nor does it fill a note: one item of 100 bytes is late by the time the third comes.
    let item = "x".repeat(100);
    for (now, until) in [(300.0, 310.0), (300.0, 900.0), (320.0, 900.0)] {
        assert_eq!(post.enqueue(now, 1, (now, until), item.clone()), None);
    }
    assert_eq!(post.enqueue(330.0, 1, (330.0, 900.0), item.clone()).map(|t| t.len()), Some(200));
}

#[test]
fn a_note_that_is_not_due_waits() {
    let mut post = Outbox::default();
    post.enqueue(0.0, 1, (500.0, f64::INFINITY), "x".into());
    assert_eq!(post.next_message(499.0, 50.0), None);
    assert_eq!(post.next_message(500.0, 50.0), Some((1, "x".into())));
}
