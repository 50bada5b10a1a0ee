//! Cost of the decision module at scale: the time per request with 9 to 5,000 servers, as a ratio to a base
//! case of the same run; with a million customers the memory per customer and the longest stalls. Run with
//! `cargo bench --bench size`.

use frostvale::{
    Action, AttemptOutcome, AttemptResult, Class, Control, Effect, EndpointUpdateKind, Event, Health, Name,
    Plan, Request, RoutingSnapshot, Server, Settings, ZoneShare,
};
use std::time::Instant;

const REQUESTS: u64 = 200_000;

/// A gatekeeper with this number of servers, in a set of `gatekeepers`.
fn gatekeeper(servers: u32, gatekeepers: u32) -> Control {
    let settings = Settings {
        gatekeepers,
        peer_messages: gatekeepers > 1,
        peer_intake_per_second: 60.0,
        classes: vec![Class { effect: Effect::Safe, target_ms: 500.0, worth: 1.0, ..Class::default() }],
        plans: vec![Plan { rate: 1e6, burst: 1e6, price: 1.0, ..Plan::default() }],
        ..Settings::default()
    };
    let mut g = Control::new(settings, 7).expect("valid settings");
    let server = |k| Server {
        name: format!("s{k}").as_str().into(),
        zone: k % 3,
        cell: k % 30,
        kind: 0,
        size: 1.0,
        health: Health::Up,
        started_at: 0.0,
    };
    let servers = (0..servers).map(server).collect();
    g.handle(0.0, Event::EndpointUpdate { kind: EndpointUpdateKind::Complete, servers });
    g
}

fn names(count: u64) -> Vec<Name> {
    (0..count).map(|k| format!("{:016x}", k * 7919).as_str().into()).collect()
}

/// A failure gossip message that reports two servers by the hashes of their names.
fn failure_report(k: u64) -> String {
    let name_hash =
        |name: String| name.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    format!("!{:x},{:x}", name_hash(format!("s{}", k % 60)), name_hash(format!("s{}", k % 59)))
}

/// Processes one request from arrival to answer. Returns the time in microseconds and whether the request was
/// sent to a server.
fn serve(g: &mut Control, id: u64, now: f64, customer: &Name) -> (f64, bool) {
    let request = Request {
        id,
        customer: customer.clone(),
        class: 0,
        plan: 0,
        units: 1.0,
        first: 0,
        spread: 1,
        deadline: now + 1000.0,
        is_retry: false,
        source: 0,
    };
    let started = Instant::now();
    let actions = g.handle(now, Event::Request(request));
    let server = actions.into_iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server),
        _ => None,
    });
    let served = server.is_some();
    if let Some(server) = server {
        let result = AttemptResult {
            id,
            attempt: 0,
            server,
            outcome: AttemptOutcome::Ok,
            latency: 0.01,
            is_final: true,
            metered: None,
            units: None,
            load_report: None,
        };
        g.handle(now + 0.01, Event::AttemptEnded(result));
    }
    (started.elapsed().as_secs_f64() * 1e6, served)
}

/// Microseconds per request, the median of five rounds. In a set of several gatekeepers it also receives
/// fifteen failure reports per second.
fn cost_us(servers: u32, gatekeepers: u32) -> f64 {
    median_cost_us(gatekeeper(servers, gatekeepers), gatekeepers)
}

/// The same while zones are observed, and while a routing snapshot for zones is in effect as well.
fn zone_costs_us(servers: u32, gatekeepers: u32) -> (f64, f64) {
    let mut observing = gatekeeper(servers, gatekeepers);
    observing.watch_zones(true);
    let mut routed = gatekeeper(servers, gatekeepers);
    routed.watch_zones(true);
    let share = |x: f64| ZoneShare { start: x, end: x };
    let spill = vec![(1, share(0.3)), (2, share(0.3))];
    let snapshot = RoutingSnapshot { local: share(1.0), spill, hold_ms: 3.6e6, ..RoutingSnapshot::default() };
    routed.handle(0.5, Event::RoutingSnapshot(snapshot));
    (median_cost_us(observing, gatekeepers), median_cost_us(routed, gatekeepers))
}

/// Microseconds per request, the median of five rounds.
fn median_cost_us(mut g: Control, gatekeepers: u32) -> f64 {
    let names = names(2000);
    let mut rounds: Vec<f64> = (0..5)
        .map(|round| {
            let costs_us = (0..REQUESTS / 5).map(|k| {
                let id = round * REQUESTS / 5 + k;
                if gatekeepers > 1 && id.is_multiple_of(1333) {
                    let message =
                        Event::PeerMessage { from: 1 + (id / 1333 % 90) as u32, text: failure_report(id) };
                    g.handle(1.0 + id as f64 * 0.05, message);
                }
                let (us, served) = serve(&mut g, id, 1.0 + id as f64 * 0.05, &names[(k % 2000) as usize]);
                assert!(served, "request refused although servers have capacity");
                us
            });
            costs_us.sum::<f64>() / (REQUESTS / 5) as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[2]
}

/// Resident memory of this process in bytes, with pages of 4096 bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4096.0
}

fn main() {
    let base_us = cost_us(9, 1);
    println!("9 servers: {base_us:.2} us a request");
    for servers in [100, 1000, 5000] {
        let us = cost_us(servers, 1);
        println!("{servers} servers: {us:.2} us a request, {:.2} times that with 9", us / base_us);
    }
    for servers in [60, 1000] {
        let (one, many) = (cost_us(servers, 1), cost_us(servers, 100));
        println!(
            "{servers} servers, one of 100 gatekeepers: {many:.2} us a request, {:.2} times that of one alone",
            many / one
        );
    }
    for (servers, gatekeepers) in [(60, 1), (60, 100), (1000, 1)] {
        let (plain, (observing, routed)) =
            (cost_us(servers, gatekeepers), zone_costs_us(servers, gatekeepers));
        println!(
            "{servers} servers, one of {gatekeepers}: with zones counted {:.2} times as much, with a decision in effect {:.2}",
            observing / plain,
            routed / plain
        );
    }
    const CUSTOMERS: u64 = 1_000_000;
    let names = names(CUSTOMERS);
    let mut g = gatekeeper(9, 1);
    // Writes to all pages of the buffer before the memory of the customers is measured.
    let mut durations_us = vec![1.0; 2 * CUSTOMERS as usize];
    durations_us.clear();
    let before = resident_bytes();
    let mut sum_us = 0.0;
    // Each customer sends one request; then a hundred of them continue while the others become idle and are
    // evicted.
    for k in 0..2 * CUSTOMERS {
        let (now, customer) = if k < CUSTOMERS {
            (1.0 + k as f64 * 0.02, k)
        } else {
            (20_000.0 + (k - CUSTOMERS) as f64 * 0.1, k % 100)
        };
        let (us, _) = serve(&mut g, k, now, &names[customer as usize]);
        sum_us += us;
        durations_us.push(us);
        if k + 1 == CUSTOMERS {
            println!(
                "{CUSTOMERS} customers: {:.0} bytes each, {:.2} us a request",
                (resident_bytes() - before) / CUSTOMERS as f64,
                sum_us / CUSTOMERS as f64
            );
        }
    }
    durations_us.sort_by(f64::total_cmp);
    let quantile_ms =
        |quantile: f64| durations_us[(quantile * (durations_us.len() - 1) as f64) as usize] / 1000.0;
    println!(
        "stops over both, in ms: p99.9 {:.3}, p99.999 {:.3}, the ten longest {:.3} to {:.3}",
        quantile_ms(0.999),
        quantile_ms(0.99999),
        durations_us[durations_us.len() - 10] / 1000.0,
        quantile_ms(1.0)
    );
    println!("{} customers are left", g.bucket_snapshots(0, usize::MAX / 2).0.len());
}
