//! The seam for zones: without a guide the module decides bit by bit as before; with one it keeps near what may stay, sends
//! on what may go, and never moves a keyed request out of the group that drops its repeats.

use frostvale::*;
use std::collections::BTreeMap;

/// A draw from a seed.
struct Lots(u64);

impl Lots {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most.max(1)
    }
}

fn settings(gatekeepers: u32, zone: u32) -> Settings {
    let class = |effect, worth, target_ms| Class {
        worth,
        target_ms,
        late_worth: 0.0,
        effect,
        dedup_window_ms: 3000.0,
    };
    Settings {
        gatekeepers,
        zone,
        classes: vec![class(Effect::Safe, 1.0, 400.0), class(Effect::Keyed(Group::Cell), 3.0, 1000.0)],
        plans: vec![Plan { rate: 1e6, burst: 1e6, price: 1.0, ..Plan::default() }],
        max_attempts: 3,
        peer_messages: true,
        max_request_units: 1.0,
        peer_intake_per_second: 60.0,
        cold_capacity_share: 0.2,
        warm_up_ms: 10_000.0,
        cold_overload_factor: 2.0,
        ..Settings::default()
    }
}

fn server(k: u32) -> Server {
    let zone = k % 3;
    Server {
        name: format!("s{k}").as_str().into(),
        zone,
        cell: zone * 2 + k / 3 % 2,
        kind: 0,
        size: 2.0,
        health: Health::Up,
        started_at: 0.0,
    }
}

/// What a day came to.
#[derive(Default)]
struct Day {
    hash: u64,
    /// Attempts by zone.
    sent: BTreeMap<u32, u64>,
    refused: u64,
    /// Zone and cell of each attempt of the keyed requests.
    keyed: BTreeMap<u64, Vec<(u32, u32)>>,
}

fn mix(hash: &mut u64, text: &str) {
    for b in text.bytes() {
        *hash = (*hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
}

/// Plays requests and answers by seed, with what else comes at its time; `ends` says how an attempt at a zone ends.
fn play(
    g: &mut Control,
    seed: u64,
    requests: u64,
    others: &[(f64, Event)],
    ends: impl Fn(f64, u32, u64) -> AttemptOutcome,
) -> Day {
    let mut lots = Lots(seed);
    let mut day = Day { hash: 0xcbf2_9ce4_8422_2325, ..Day::default() };
    // What comes when: by time, then by number.
    let mut due: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut number = 0;
    let mut put = |due: &mut BTreeMap<(u64, u64), Event>, at: f64, event: Event| {
        number += 1;
        due.insert(((at * 1000.0) as u64, number), event);
    };
    for (at, event) in others {
        put(&mut due, *at, event.clone());
    }
    let mut at = 10.0;
    let mut classes = BTreeMap::new();
    for id in 1..=requests {
        at += 1.0 + lots.below(30) as f64;
        let class = lots.below(2) as usize;
        classes.insert(id, class);
        let request = Request {
            id,
            customer: format!("shop{}", lots.below(40)).as_str().into(),
            class,
            plan: 0,
            units: 1.0,
            first: 0,
            spread: 1,
            deadline: at + 1500.0,
            is_retry: false,
        };
        put(&mut due, at, Event::Request(request));
    }
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    while let Some(((at, _), event)) = due.pop_first() {
        let now = at as f64 / 1000.0;
        for action in g.handle(now, event) {
            mix(&mut day.hash, &format!("{now} {}", as_recorded(&action)));
            match action {
                Action::Send { id, server: name, .. } => {
                    let k: u32 = name[1..].parse().expect("a number");
                    let place = server(k);
                    *day.sent.entry(place.zone).or_default() += 1;
                    if classes[&id] == 1 {
                        day.keyed.entry(id).or_default().push((place.zone, place.cell));
                    }
                    let attempt = attempts.entry(id).or_default();
                    *attempt += 1;
                    let outcome = ends(now, place.zone, lots.below(1000));
                    let latency = match outcome {
                        AttemptOutcome::Timeout => 300.0,
                        AttemptOutcome::Error | AttemptOutcome::Unreachable => 1.0,
                        _ => 30.0 + lots.below(60) as f64,
                    };
                    let result = AttemptResult {
                        id,
                        attempt: *attempt - 1,
                        server: name,
                        outcome,
                        latency,
                        is_final: outcome == AttemptOutcome::Ok,
                        metered: None,
                        units: None,
                        load_report: None,
                    };
                    put(&mut due, now + latency, Event::AttemptEnded(result));
                }
                Action::Refuse { .. } => day.refused += 1,
                Action::SetTimer { token, after } => put(&mut due, now + after, Event::Timer { token }),
                _ => {}
            }
        }
    }
    day
}

/// As it was written when the days were recorded: with the names of that time, and without until when an attempt may begin.
fn as_recorded(action: &Action) -> String {
    match action {
        Action::Send { id, server, deadline, .. } => {
            format!("Send {{ id: {id}, server: {server:?}, not_past: {deadline:?} }}")
        }
        Action::Refuse { id, retry_after_ms, reason } => {
            format!("Refuse {{ id: {id}, pause: {retry_after_ms:?}, reason: {reason:?} }}")
        }
        Action::SendPeerMessage { to, text } => format!("Tell {{ to: {to}, text: {text:?} }}"),
        Action::BroadcastPeerMessage { text } => format!("TellAll {{ text: {text:?} }}"),
        other => format!("{other:?}"),
    }
}

fn all_servers() -> Event {
    Event::EndpointUpdate { kind: EndpointUpdateKind::Complete, servers: (0..30).map(server).collect() }
}

fn gatekeeper(gatekeepers: u32) -> Control {
    let mut g = Control::new(settings(gatekeepers, 0), 11).expect("sound settings");
    g.handle(0.0, all_servers());
    g
}

fn well(_: f64, _: u32, lot: u64) -> AttemptOutcome {
    match lot {
        0..20 => AttemptOutcome::Error,
        20..30 => AttemptOutcome::Timeout,
        30..35 => AttemptOutcome::Unreachable,
        _ => AttemptOutcome::Ok,
    }
}

/// Recorded with the module as it was before it knew of zones.
#[test]
fn without_a_guide_it_decides_bit_by_bit_as_before() {
    for (gatekeepers, hash) in [(1, 0x2c52_91a6_ab32_f8ff), (40, 0x260a_72d3_d897_c3bf)] {
        let day = play(&mut gatekeeper(gatekeepers), 5, 3000, &[], well);
        assert_eq!(day.hash, hash, "{gatekeepers} gatekeepers: {:#x}", day.hash);
    }
}

fn guide(near: f64, spill: &[(u32, f64)]) -> RoutingSnapshot {
    let flat = |x: f64| ZoneShare { start: x, end: x };
    RoutingSnapshot {
        local: flat(near),
        spill: spill.iter().map(|(z, p)| (*z, flat(*p))).collect(),
        hold_ms: 1e6,
        fade_ms: 1000.0,
        ..RoutingSnapshot::default()
    }
}

#[test]
fn with_room_at_home_nearly_all_stays_there() {
    for gatekeepers in [3, 40] {
        let before = play(&mut gatekeeper(gatekeepers), 7, 4000, &[], well);
        let others = [(1.0, Event::RoutingSnapshot(guide(1.0, &[(1, 0.3), (2, 0.3)])))];
        let after = play(&mut gatekeeper(gatekeepers), 7, 4000, &others, well);
        let far = |day: &Day| {
            let all: u64 = day.sent.values().sum();
            (all - day.sent.get(&0).unwrap_or(&0)) as f64 / all as f64
        };
        assert!(far(&before) > 0.5, "{gatekeepers}: {:?}", before.sent);
        // Further attempts go elsewhere: 35 in 1,000 fail.
        assert!(far(&after) < 0.06, "{gatekeepers}: {:?}", after.sent);
        assert!(after.refused <= before.refused + 20, "{} and {}", after.refused, before.refused);
    }
}

#[test]
fn a_zone_that_is_out_gets_nothing_and_the_others_by_weight() {
    let others = [(1.0, Event::RoutingSnapshot(guide(0.0, &[(1, 0.75), (2, 0.25)])))];
    let day = play(&mut gatekeeper(40), 9, 4000, &others, |_, _, _| AttemptOutcome::Ok);
    assert_eq!(day.sent.get(&0), None);
    let (one, two) = (day.sent[&1] as f64, day.sent[&2] as f64);
    assert!((2.5..3.6).contains(&(one / two)), "{:?}", day.sent);
    assert!(day.refused < 80, "{}", day.refused);
}

/// The zone is declared out, and back, while keyed requests are in hand there: a further attempt stays in the cell that
/// drops its repeat, or is not made.
#[test]
fn a_keyed_request_in_hand_stays_in_its_group_when_its_zone_is_declared_out() {
    let mut others = Vec::new();
    for k in 0..200 {
        let out = k % 2 == 0;
        let to = if out { guide(0.0, &[(1, 0.5), (2, 0.5)]) } else { guide(1.0, &[(1, 0.3), (2, 0.3)]) };
        others.push((300.0 * f64::from(k), Event::RoutingSnapshot(to)));
    }
    for gatekeepers in [3, 40] {
        let failing = |_: f64, zone: u32, lot: u64| {
            if zone == 0 && lot < 400 { AttemptOutcome::Reset } else { AttemptOutcome::Ok }
        };
        let day = play(&mut gatekeeper(gatekeepers), 21, 4000, &others, failing);
        let again: Vec<&Vec<(u32, u32)>> = day.keyed.values().filter(|at| at.len() > 1).collect();
        assert!(again.len() > 50, "{}", again.len());
        assert!(again.iter().all(|at| at.iter().all(|place| *place == at[0])), "{again:?}");
        assert!(day.sent.len() == 3, "{:?}", day.sent);
    }
}

#[test]
fn what_is_seen_is_counted_by_zone_and_class_and_only_when_asked_for() {
    let mut g = gatekeeper(3);
    play(&mut g, 5, 500, &[], well);
    assert_eq!(g.observe_zones(60_000.0).attempt_counts, []);
    g.watch_zones(true);
    let bad = |_: f64, zone: u32, _: u64| if zone == 2 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
    let day = play(&mut g, 6, 2000, &[], bad);
    let sight = g.observe_zones(120_000.0);
    let sum = |zone: u32, k: usize| -> u64 {
        sight.attempt_counts.iter().filter(|l| l.0 == zone).map(|l| u64::from(l.2[k])).sum()
    };
    for zone in 0..3 {
        assert_eq!(sum(zone, 0), day.sent[&zone]);
        assert_eq!(sum(zone, 1), if zone == 2 { day.sent[&2] } else { 0 });
    }
    assert!(sight.required_concurrency > 0.0);
    assert_eq!(sight.capacity, [(0, 10, 20.0, 20.0), (1, 10, 20.0, 20.0), (2, 10, 20.0, 20.0)]);
    assert_eq!(g.observe_zones(121_000.0).attempt_counts, [], "each is told once");
}
