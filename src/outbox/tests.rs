use super::*;

#[test]
fn items_share_messages_and_messages_keep_to_the_rate() {
    let mut outbox = Outbox::default();
    let item = "x".repeat(100);
    assert_eq!(outbox.enqueue(0.0, 1, (0.0, f64::INFINITY), item.clone()), None);
    assert_eq!(outbox.enqueue(0.0, 1, (0.0, f64::INFINITY), item.clone()), None);
    assert_eq!(
        outbox.enqueue(0.0, 1, (0.0, f64::INFINITY), item.clone()).map(|t| t.len()),
        Some(200),
        "full before the third"
    );
    for to in 2..200 {
        outbox.enqueue(0.0, to, (0.0, f64::INFINITY), item.clone());
    }
    // A tenth of a second's worth at once, then 50 messages per second.
    let mut sent = 0;
    for ms in 0..1000 {
        while let Some((_, text)) = outbox.next_message(10_000.0 + f64::from(ms), 50.0) {
            assert!(text.len() <= MAX_MESSAGE_BYTES);
            sent += 1;
        }
    }
    assert!((50..=56).contains(&sent), "{sent}");
    assert!(outbox.next_wakeup_ms(11_000.0, 50.0).is_some_and(|after| after <= 20.0));
    assert_eq!(outbox.next_wakeup_ms(11_000.0, 50.0), None, "the wakeup is requested already");
}

#[test]
fn repeated_item_is_sent_in_a_message_of_its_own() {
    let mut outbox = Outbox::default();
    assert_eq!(outbox.enqueue(0.0, 1, (0.0, f64::INFINITY), "x".into()), None);
    outbox.schedule_repeat(1, 150.0, "x".into());
    assert_eq!(outbox.next_message(100.0, 50.0), Some((1, "x".into())));
    assert_eq!(outbox.next_message(140.0, 50.0), None);
    assert!(outbox.next_wakeup_ms(140.0, 50.0).is_some_and(|after| after <= 10.0));
    assert_eq!(outbox.next_message(150.0, 50.0), Some((1, "x".into())));
    assert_eq!(outbox.next_message(1000.0, 50.0), None);
}

/// When more requests are enqueued than the rate allows, a backlog builds up. Sent in order, each request
/// would arrive after its sender has stopped waiting for the reply.
#[test]
fn expired_items_are_not_sent() {
    let mut outbox = Outbox::default();
    for to in 0..100 {
        outbox.enqueue(0.0, to, (0.0, 100.0 + f64::from(to)), "x;".into());
    }
    outbox.enqueue(0.0, 7, (0.0, f64::INFINITY), "y;".into());
    outbox.send_tokens = 1.0;
    assert_eq!(outbox.next_message(0.0, 10.0), Some((0, "x;".into())));
    assert_eq!(
        outbox.next_message(110.0, 10.0),
        Some((7, "y;".into())),
        "the items for 1 to 10 have expired, except one"
    );
    assert_eq!(outbox.next_message(210.0, 10.0), None);
    assert!(outbox.pending_by_peer.is_empty());
    // Expired items take no space in a message: one item of 100 bytes has expired when the fourth is added.
    let item = "x".repeat(100);
    for (now, expires_at) in [(300.0, 310.0), (300.0, 900.0), (320.0, 900.0)] {
        assert_eq!(outbox.enqueue(now, 1, (now, expires_at), item.clone()), None);
    }
    assert_eq!(outbox.enqueue(330.0, 1, (330.0, 900.0), item.clone()).map(|t| t.len()), Some(200));
}

#[test]
fn message_is_held_until_it_is_due() {
    let mut outbox = Outbox::default();
    outbox.enqueue(0.0, 1, (500.0, f64::INFINITY), "x".into());
    assert_eq!(outbox.next_message(499.0, 50.0), None);
    assert_eq!(outbox.next_message(500.0, 50.0), Some((1, "x".into())));
}
