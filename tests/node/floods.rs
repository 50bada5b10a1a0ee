//! Clients that flood the gatekeeper: others are served as without them.

use crate::flood_clients::*;
use crate::harness::*;
use std::thread;
use std::time::Duration;

/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Number of flooding clients.
const FLOODERS: u64 = 6;
/// Number of gatekeepers that share a core, as on the operators' machines.
const GATEKEEPERS_ON_CORE: usize = 4;
/// Flooding clients of each of them.
const FLOODERS_ON_CORE: u64 = 3;
/// Share of the other clients' requests that has to be served.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Starts a gatekeeper with one worker, which answers at once.
fn start_gatekeeper(shell: &str) -> (Discovery, Node) {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    worker.serve_all("served");
    let setup = Setup { shell: shell.into(), ..Setup::new(discovery.at) };
    let node = setup.start();
    (discovery, node)
}

fn assert_served_in_time(what: &str, service: &Service) {
    println!("{what}: {service}");
    eprintln!("{what}: {service}");
    assert_eq!((service.late, service.ended), (0, 0), "{what}: {service}");
    let served_share = service.served as f64 / service.requests() as f64;
    assert!(served_share >= MIN_SERVED_SHARE, "{what}: {service}");
}

/// The first core that this process may use.
fn first_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").expect("a running process");
    let allowed = status.lines().find_map(|line| line.strip_prefix("Cpus_allowed_list:")).expect("a list");
    allowed.trim().split(['-', ',']).next().expect("a core").into()
}

#[test]
fn other_clients_are_served_in_time_when_clients_flood() {
    for flood in Flood::ALL {
        let (_discovery, node) = start_gatekeeper("exec");
        let flooders = Flooders::start(node.at, flood, FLOODERS);
        let service = measure_other_clients(node.at, FLOOD_TIME);
        drop(flooders);
        assert_served_in_time(&format!("{flood:?}"), &service);
    }
}

#[test]
fn other_clients_are_served_in_time_when_flooded_gatekeepers_share_a_core() {
    let shell = format!("exec taskset -c {}", first_core());
    for flood in Flood::ALL {
        let gatekeepers: Vec<_> = (0..GATEKEEPERS_ON_CORE).map(|_| start_gatekeeper(&shell)).collect();
        let start_flood = |(_, node): &(Discovery, Node)| Flooders::start(node.at, flood, FLOODERS_ON_CORE);
        let flooders: Vec<_> = gatekeepers.iter().map(start_flood).collect();
        let services: Vec<Service> = thread::scope(|scope| {
            let measure = |(_, node): &(Discovery, Node)| {
                let at = node.at;
                scope.spawn(move || measure_other_clients(at, FLOOD_TIME))
            };
            let threads: Vec<_> = gatekeepers.iter().map(measure).collect();
            threads.into_iter().map(|thread| thread.join().expect("measured")).collect()
        });
        drop(flooders);
        for (number, service) in services.iter().enumerate() {
            assert_served_in_time(&format!("{flood:?} at gatekeeper {number}"), service);
        }
    }
}
