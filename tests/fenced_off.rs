//! The seam for who is shut out: it turns all away with when to come back, and no note of it is taken; without a decision, and
//! once that has run out, all is as before.

use frostvale::*;

fn gatekeeper(own_index: u32) -> Control {
    let class = Class { effect: Effect::Safe, target_ms: 400.0, worth: 1.0, ..Class::default() };
    let settings = Settings {
        own_index,
        gatekeepers: 3,
        classes: vec![class],
        plans: vec![Plan { rate: 10.0, burst: 40.0, price: 1.0, ..Plan::default() }],
        peer_messages: true,
        max_request_units: 1.0,
        peer_intake_per_second: 60.0,
        ..Settings::default()
    };
    let mut gatekeeper = Control::new(settings, 7).expect("sound");
    let server = Server {
        name: "s1".into(),
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        health: Health::Up,
        started_at: 0.0,
    };
    gatekeeper
        .handle(0.0, Event::EndpointUpdate { kind: EndpointUpdateKind::Complete, servers: vec![server] });
    gatekeeper
}

fn request(id: u64) -> Request {
    let customer = "acme".into();
    let (class, plan, units, first, spread) = (0, 0, 1.0, 0, 3);
    Request { id, customer, class, plan, units, first, spread, deadline: 1e6, is_retry: false }
}

fn shut(includes_self: bool, others: Vec<u32>) -> Event {
    Event::FenceOff(FenceOffDecision { includes_self, others, retry_after_ms: 700.0, hold_ms: 1000.0 })
}

/// The one that holds the shop's store.
fn keeper() -> u32 {
    quota_owner_of("acme", 0, 3, 3)
}

#[test]
fn one_that_is_shut_out_turns_all_away_with_when_to_come_back_until_it_is_let_in() {
    let mut gatekeeper = gatekeeper(keeper());
    let sent = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Send { .. }));
    assert!(sent(&gatekeeper.handle(1.0, Event::Request(request(1)))));
    gatekeeper.handle(2.0, shut(true, vec![]));
    let away = gatekeeper.handle(3.0, Event::Request(request(2)));
    assert!(
        away.contains(&Action::Refuse { id: 2, retry_after_ms: 700.0, reason: RefusalReason::FencedOff }),
        "{away:?}"
    );
    let check = gatekeeper.handle(4.0, Event::Check(request(3)));
    assert!(check.iter().any(|a| matches!(a, Action::CheckDecision { granted: false, .. })), "{check:?}");
    // What was in hand goes on to its end.
    let result = |id: u64| AttemptResult {
        id,
        attempt: 0,
        server: "s1".into(),
        outcome: AttemptOutcome::Ok,
        latency: 9.0,
        is_final: true,
        metered: None,
        units: None,
        load_report: None,
    };
    gatekeeper.handle(5.0, Event::AttemptEnded(result(1)));
    gatekeeper.handle(6.0, shut(false, vec![]));
    assert!(sent(&gatekeeper.handle(7.0, Event::Request(request(4)))));
    gatekeeper.handle(7.5, Event::AttemptEnded(result(4)));
    // One that is not renewed ends by itself.
    gatekeeper.handle(8.0, shut(true, vec![]));
    assert!(!sent(&gatekeeper.handle(1007.0, Event::Request(request(5)))));
    assert!(sent(&gatekeeper.handle(1009.0, Event::Request(request(6)))));
}

#[test]
fn a_note_of_one_that_is_shut_out_changes_nothing() {
    // What another asks of the keeper.
    let asker = (0..3).find(|k| *k != keeper()).expect("another");
    let mut asks = gatekeeper(asker);
    let text = (1..100).find_map(|id| {
        let asked = asks.handle(id as f64, Event::Request(request(id)));
        asked.into_iter().find_map(|a| match a {
            Action::SendPeerMessage { to, text } if to == keeper() => Some(text),
            _ => None,
        })
    });
    let text = text.expect("it asks");
    let known = |gatekeeper: &mut Control| {
        gatekeeper.handle(2.0, Event::PeerMessage { from: asker, text: text.clone() });
        gatekeeper.bucket_snapshots(0, 1 << 16).0.len()
    };
    assert_eq!(known(&mut gatekeeper(keeper())), 1, "it keeps the store that was asked for");
    let mut keeps = gatekeeper(keeper());
    keeps.handle(1.0, shut(false, vec![asker]));
    assert_eq!(known(&mut keeps), 0);
    // Let in again it is heard.
    keeps.handle(3.0, shut(false, vec![]));
    assert_eq!(known(&mut keeps), 1);
}
