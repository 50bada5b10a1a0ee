//! Measurements that compare builds of the gatekeeper; they assert nothing and are run by hand.

use crate::flood_clients::*;
use crate::harness::*;
use std::time::Duration;

/// Rounds, in each of which every build is measured once.
const ROUNDS: usize = 12;
const ROUND_TIME: Duration = Duration::from_secs(2);

/// CPU time that the process has used so far, in ms, to the nearest nanosecond.
fn cpu_ms(node: &Node) -> f64 {
    let path = format!("/proc/{}/schedstat", node.child.id());
    let text = std::fs::read_to_string(path).expect("a running process");
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("a number") / 1e6
}

/// Prints the CPU time for a request, and what clients got, for each of the builds that `FROSTVALE_PROGRAMS`
/// names, separated by commas.
#[test]
#[ignore = "a measurement: names builds in FROSTVALE_PROGRAMS"]
fn cpu_time_of_a_request_without_a_flood() {
    let programs = std::env::var("FROSTVALE_PROGRAMS").expect("builds to compare");
    let mut builds: Vec<_> = programs.split(',').map(|program| (program, Vec::new(), Vec::new())).collect();
    for _ in 0..ROUNDS {
        for (program, costs, tails) in &mut builds {
            let worker = TestListener::bind();
            let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
            worker.serve_all("served");
            let node = start_program(program, &Setup::new(discovery.at).config(), "exec");
            measure_other_clients(node.at, ROUND_TIME / 4);
            let before = cpu_ms(&node);
            let service = measure_other_clients(node.at, ROUND_TIME);
            costs.push(1000.0 * (cpu_ms(&node) - before) / service.requests() as f64);
            tails.push(service.quantile(0.99));
        }
    }
    for (program, costs, tails) in &mut builds {
        costs.sort_by(f64::total_cmp);
        tails.sort();
        println!(
            "{program}: {:.1} us of CPU a request (median of {ROUNDS}, {:.1} to {:.1}), p99 {:.1?}",
            costs[ROUNDS / 2],
            costs[0],
            costs[ROUNDS - 1],
            tails[ROUNDS / 2]
        );
    }
}
