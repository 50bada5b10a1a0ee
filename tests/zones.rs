//! Zone routing of the decision module. Without a routing snapshot decisions are bit for bit those from
//! before zones were added. With one, requests stay in the local zone or go to other zones by their shares,
//! and a keyed request never moves out of the server group that discards its duplicates.

use frostvale::*;
use std::collections::BTreeMap;

/// Pseudo-random numbers from a linear congruential generator.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit.max(1)
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

/// Result of one simulated run.
#[derive(Default)]
struct RunResult {
    /// Hash of all actions and their times.
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

/// Simulates requests and answers drawn from a seed, along with other timed events; `outcome_of` gives the
/// outcome of an attempt from its time, its zone and a random number below 1000.
fn simulate(
    g: &mut Control,
    seed: u64,
    requests: u64,
    others: &[(f64, Event)],
    outcome_of: impl Fn(f64, u32, u64) -> AttemptOutcome,
) -> RunResult {
    let mut random = Random(seed);
    let mut run = RunResult { hash: 0xcbf2_9ce4_8422_2325, ..RunResult::default() };
    // Events to come, by time in microseconds, then by number.
    let mut events: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut event_count = 0;
    let mut schedule = |events: &mut BTreeMap<(u64, u64), Event>, at: f64, event: Event| {
        event_count += 1;
        events.insert(((at * 1000.0) as u64, event_count), event);
    };
    for (at, event) in others {
        schedule(&mut events, *at, event.clone());
    }
    let mut at = 10.0;
    let mut classes = BTreeMap::new();
    for id in 1..=requests {
        at += 1.0 + random.below(30) as f64;
        let class = random.below(2) as usize;
        classes.insert(id, class);
        let request = Request {
            id,
            customer: format!("shop{}", random.below(40)).as_str().into(),
            class,
            plan: 0,
            units: 1.0,
            first: 0,
            spread: 1,
            deadline: at + 1500.0,
            is_retry: false,
            source: 0,
        };
        schedule(&mut events, at, Event::Request(request));
    }
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    while let Some(((at, _), event)) = events.pop_first() {
        let now = at as f64 / 1000.0;
        for action in g.handle(now, event) {
            mix(&mut run.hash, &format!("{now} {}", as_recorded(&action)));
            match action {
                Action::Send { id, server: name, .. } => {
                    let k: u32 = name[1..].parse().expect("a number");
                    let target = server(k);
                    *run.sent.entry(target.zone).or_default() += 1;
                    if classes[&id] == 1 {
                        run.keyed.entry(id).or_default().push((target.zone, target.cell));
                    }
                    let attempt = attempts.entry(id).or_default();
                    *attempt += 1;
                    let outcome = outcome_of(now, target.zone, random.below(1000));
                    let latency = match outcome {
                        AttemptOutcome::Timeout => 300.0,
                        AttemptOutcome::Error | AttemptOutcome::Unreachable => 1.0,
                        _ => 30.0 + random.below(60) as f64,
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
                    schedule(&mut events, now + latency, Event::AttemptEnded(result));
                }
                Action::Refuse { .. } => run.refused += 1,
                Action::SetTimer { token, after } => {
                    schedule(&mut events, now + after, Event::Timer { token })
                }
                _ => {}
            }
        }
    }
    run
}

/// Formats an action as when the hashes were recorded: with the names of that time, and without the time
/// until which an attempt may begin.
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
    let mut g = Control::new(settings(gatekeepers, 0), 11).expect("valid settings");
    g.handle(0.0, all_servers());
    g
}

fn mostly_ok(_: f64, _: u32, draw: u64) -> AttemptOutcome {
    match draw {
        0..20 => AttemptOutcome::Error,
        20..30 => AttemptOutcome::Timeout,
        30..35 => AttemptOutcome::Unreachable,
        _ => AttemptOutcome::Ok,
    }
}

/// The hashes were recorded before zones were added to the module.
#[test]
fn decisions_are_unchanged_without_a_snapshot() {
    for (gatekeepers, hash) in [(1, 0x2c52_91a6_ab32_f8ff), (40, 0x260a_72d3_d897_c3bf)] {
        let run = simulate(&mut gatekeeper(gatekeepers), 5, 3000, &[], mostly_ok);
        assert_eq!(run.hash, hash, "{gatekeepers} gatekeepers: {:#x}", run.hash);
    }
}

fn snapshot(local: f64, spill: &[(u32, f64)]) -> RoutingSnapshot {
    let constant = |x: f64| ZoneShare { start: x, end: x };
    RoutingSnapshot {
        local: constant(local),
        spill: spill.iter().map(|(z, p)| (*z, constant(*p))).collect(),
        hold_ms: 1e6,
        fade_ms: 1000.0,
        ..RoutingSnapshot::default()
    }
}

#[test]
fn nearly_all_requests_stay_local_when_the_zone_has_capacity() {
    for gatekeepers in [3, 40] {
        let before = simulate(&mut gatekeeper(gatekeepers), 7, 4000, &[], mostly_ok);
        let others = [(1.0, Event::RoutingSnapshot(snapshot(1.0, &[(1, 0.3), (2, 0.3)])))];
        let after = simulate(&mut gatekeeper(gatekeepers), 7, 4000, &others, mostly_ok);
        let remote_share = |run: &RunResult| {
            let all: u64 = run.sent.values().sum();
            (all - run.sent.get(&0).unwrap_or(&0)) as f64 / all as f64
        };
        assert!(remote_share(&before) > 0.5, "{gatekeepers}: {:?}", before.sent);
        // Attempts after a failure go to other zones: 35 in 1,000 attempts fail.
        assert!(remote_share(&after) < 0.06, "{gatekeepers}: {:?}", after.sent);
        assert!(after.refused <= before.refused + 20, "{} and {}", after.refused, before.refused);
    }
}

#[test]
fn failed_zone_gets_nothing_and_the_others_their_shares() {
    let others = [(1.0, Event::RoutingSnapshot(snapshot(0.0, &[(1, 0.75), (2, 0.25)])))];
    let run = simulate(&mut gatekeeper(40), 9, 4000, &others, |_, _, _| AttemptOutcome::Ok);
    assert_eq!(run.sent.get(&0), None);
    let (one, two) = (run.sent[&1] as f64, run.sent[&2] as f64);
    assert!((2.5..3.6).contains(&(one / two)), "{:?}", run.sent);
    assert!(run.refused < 80, "{}", run.refused);
}

/// The zone is declared failed, and healthy again, while keyed requests are in flight there. A further
/// attempt has to stay in the cell that discards the duplicate; otherwise none is made.
#[test]
fn keyed_request_stays_in_its_group_when_its_zone_is_declared_failed() {
    let mut others = Vec::new();
    for k in 0..200 {
        let out = k % 2 == 0;
        let to =
            if out { snapshot(0.0, &[(1, 0.5), (2, 0.5)]) } else { snapshot(1.0, &[(1, 0.3), (2, 0.3)]) };
        others.push((300.0 * f64::from(k), Event::RoutingSnapshot(to)));
    }
    for gatekeepers in [3, 40] {
        let failing = |_: f64, zone: u32, draw: u64| {
            if zone == 0 && draw < 400 { AttemptOutcome::Reset } else { AttemptOutcome::Ok }
        };
        let run = simulate(&mut gatekeeper(gatekeepers), 21, 4000, &others, failing);
        let retried: Vec<&Vec<(u32, u32)>> = run.keyed.values().filter(|at| at.len() > 1).collect();
        assert!(retried.len() > 50, "{}", retried.len());
        assert!(retried.iter().all(|at| at.iter().all(|target| *target == at[0])), "{retried:?}");
        assert!(run.sent.len() == 3, "{:?}", run.sent);
    }
}

#[test]
fn attempts_are_counted_by_zone_and_class_while_observing() {
    let mut g = gatekeeper(3);
    simulate(&mut g, 5, 500, &[], mostly_ok);
    assert_eq!(g.observe_zones(60_000.0).attempt_counts, []);
    g.watch_zones(true);
    let zone_2_fails =
        |_: f64, zone: u32, _: u64| if zone == 2 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
    let run = simulate(&mut g, 6, 2000, &[], zone_2_fails);
    let observation = g.observe_zones(120_000.0);
    let sum = |zone: u32, k: usize| -> u64 {
        observation.attempt_counts.iter().filter(|l| l.0 == zone).map(|l| u64::from(l.2[k])).sum()
    };
    for zone in 0..3 {
        assert_eq!(sum(zone, 0), run.sent[&zone]);
        assert_eq!(sum(zone, 1), if zone == 2 { run.sent[&2] } else { 0 });
    }
    assert!(observation.required_concurrency > 0.0);
    assert_eq!(observation.capacity, [(0, 10, 20.0, 20.0), (1, 10, 20.0, 20.0), (2, 10, 20.0, 20.0)]);
    assert_eq!(g.observe_zones(121_000.0).attempt_counts, [], "each count is returned once");
}
