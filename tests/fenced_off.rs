//! Fenced-off gatekeepers: they refuse all requests with a retry delay, and their messages are ignored.
//! Without a decision, or after it has expired, nothing changes.

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
    let mut gatekeeper = Control::new(settings, 7).expect("valid settings");
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
    Request { id, customer, class, plan, units, first, spread, deadline: 1e6, is_retry: false, source: 0 }
}

fn fence_off(includes_self: bool, others: Vec<u32>) -> Event {
    Event::FenceOff(FenceOffDecision { includes_self, others, retry_after_ms: 700.0, hold_ms: 1000.0 })
}

/// The gatekeeper that holds the shop's token bucket.
fn quota_owner() -> u32 {
    quota_owner_of("acme", 0, 3, 3)
}

#[test]
fn fenced_off_gatekeeper_refuses_all_with_retry_delay_until_readmitted() {
    let mut gatekeeper = gatekeeper(quota_owner());
    let sent = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Send { .. }));
    assert!(sent(&gatekeeper.handle(1.0, Event::Request(request(1)))));
    gatekeeper.handle(2.0, fence_off(true, vec![]));
    let refused = gatekeeper.handle(3.0, Event::Request(request(2)));
    assert!(
        refused.contains(&Action::Refuse { id: 2, retry_after_ms: 700.0, reason: RefusalReason::FencedOff }),
        "{refused:?}"
    );
    let check = gatekeeper.handle(4.0, Event::Check(request(3)));
    assert!(check.iter().any(|a| matches!(a, Action::CheckDecision { granted: false, .. })), "{check:?}");
    // Requests in flight are still completed.
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
    gatekeeper.handle(6.0, fence_off(false, vec![]));
    assert!(sent(&gatekeeper.handle(7.0, Event::Request(request(4)))));
    gatekeeper.handle(7.5, Event::AttemptEnded(result(4)));
    // A decision that is not renewed expires.
    gatekeeper.handle(8.0, fence_off(true, vec![]));
    assert!(!sent(&gatekeeper.handle(1007.0, Event::Request(request(5)))));
    assert!(sent(&gatekeeper.handle(1009.0, Event::Request(request(6)))));
}

#[test]
fn message_of_fenced_off_gatekeeper_has_no_effect() {
    // A quota request of another gatekeeper to the owner.
    let asker = (0..3).find(|k| *k != quota_owner()).expect("another gatekeeper");
    let mut asking = gatekeeper(asker);
    let text = (1..100).find_map(|id| {
        let actions = asking.handle(id as f64, Event::Request(request(id)));
        actions.into_iter().find_map(|a| match a {
            Action::SendPeerMessage { to, text } if to == quota_owner() => Some(text),
            _ => None,
        })
    });
    let text = text.expect("a quota request is sent");
    let known_customers = |gatekeeper: &mut Control| {
        gatekeeper.handle(2.0, Event::PeerMessage { from: asker, text: text.clone() });
        gatekeeper.bucket_snapshots(0, 1 << 16).0.len()
    };
    assert_eq!(
        known_customers(&mut gatekeeper(quota_owner())),
        1,
        "the owner holds the bucket of the quota request"
    );
    let mut owner_state = gatekeeper(quota_owner());
    owner_state.handle(1.0, fence_off(false, vec![asker]));
    assert_eq!(known_customers(&mut owner_state), 0);
    // After readmission its messages are accepted again.
    owner_state.handle(3.0, fence_off(false, vec![]));
    assert_eq!(known_customers(&mut owner_state), 1);
}
