//! The seam for who is shut out: it turns all away with when to come back, and no note of it is taken; without a decision, and
//! once that has run out, all is as before.

use frostvale::*;

fn gateway(me: u32) -> Control {
    let class = Class { effect: Effect::Safe, aim: 400.0, worth: 1.0, ..Class::default() };
    let settings = Settings {
        me,
        gateways: 3,
        classes: vec![class],
        plans: vec![Plan { rate: 10.0, burst: 40.0, price: 1.0, ..Plan::default() }],
        notes: true,
        largest: 1.0,
        note_intake: 60.0,
        ..Settings::default()
    };
    let mut gateway = Control::new(settings, 7).expect("sound");
    let server =
        Server { name: "s1".into(), zone: 0, cell: 0, kind: 0, size: 1.0, health: Health::Up, since: 0.0 };
    gateway.handle(0.0, Event::Servers { listing: Listing::Complete, servers: vec![server] });
    gateway
}

fn request(id: u64) -> Request {
    let customer = "acme".into();
    let (class, plan, units, first, spread) = (0, 0, 1.0, 0, 3);
    Request { id, customer, class, plan, units, first, spread, give_up: 1e6, repeat: false }
}

fn shut(own: bool, others: Vec<u32>) -> Event {
    Event::Shut(Shut { own, others, retry: 700.0, hold: 1000.0 })
}

/// The one that holds the shop's store.
fn keeper() -> u32 {
    keeper_of("acme", 0, 3, 3)
}

#[test]
fn one_that_is_shut_out_turns_all_away_with_when_to_come_back_until_it_is_let_in() {
    let mut gateway = gateway(keeper());
    let sent = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Send { .. }));
    assert!(sent(&gateway.handle(1.0, Event::Request(request(1)))));
    gateway.handle(2.0, shut(true, vec![]));
    let away = gateway.handle(3.0, Event::Request(request(2)));
    assert!(
        away.contains(&Action::Refuse { id: 2, pause: 700.0, reason: RefusalReason::FencedOff }),
        "{away:?}"
    );
    let check = gateway.handle(4.0, Event::Check(request(3)));
    assert!(check.iter().any(|a| matches!(a, Action::Verdict { granted: false, .. })), "{check:?}");
    // What was in hand goes on to its end.
    let outcome = |id: u64| Outcome {
        id,
        attempt: 0,
        server: "s1".into(),
        ending: Ending::Ok,
        latency: 9.0,
        last: true,
        metered: None,
        units: None,
        report: None,
    };
    gateway.handle(5.0, Event::Outcome(outcome(1)));
    gateway.handle(6.0, shut(false, vec![]));
    assert!(sent(&gateway.handle(7.0, Event::Request(request(4)))));
    gateway.handle(7.5, Event::Outcome(outcome(4)));
    // One that is not renewed ends by itself.
    gateway.handle(8.0, shut(true, vec![]));
    assert!(!sent(&gateway.handle(1007.0, Event::Request(request(5)))));
    assert!(sent(&gateway.handle(1009.0, Event::Request(request(6)))));
}

#[test]
fn a_note_of_one_that_is_shut_out_changes_nothing() {
    // What another asks of the keeper.
    let asker = (0..3).find(|k| *k != keeper()).expect("another");
    let mut asks = gateway(asker);
    let text = (1..100).find_map(|id| {
        let asked = asks.handle(id as f64, Event::Request(request(id)));
        asked.into_iter().find_map(|a| match a {
            Action::Tell { to, text } if to == keeper() => Some(text),
            _ => None,
        })
    });
    let text = text.expect("it asks");
    let known = |gateway: &mut Control| {
        gateway.handle(2.0, Event::Note { from: asker, text: text.clone() });
        gateway.levels(0, 1 << 16).0.len()
    };
    assert_eq!(known(&mut gateway(keeper())), 1, "it keeps the store that was asked for");
    let mut keeps = gateway(keeper());
    keeps.handle(1.0, shut(false, vec![asker]));
    assert_eq!(known(&mut keeps), 0);
    // Let in again it is heard.
    keeps.handle(3.0, shut(false, vec![]));
    assert_eq!(known(&mut keeps), 1);
}
