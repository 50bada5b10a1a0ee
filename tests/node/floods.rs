//! Clients that flood the gatekeeper: others are served as without them.

use crate::flood_clients::*;
use crate::harness::*;
use frostvale_standin::formula_server::{FormulaServer, ServerOptions};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

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

/// Servers that can serve several times as much as the other clients ask for, and far less than a flood.
struct LimitedServers {
    servers: Vec<FormulaServer>,
    _runtime: Runtime,
}

impl LimitedServers {
    fn start(count: usize) -> LimitedServers {
        let runtime = Runtime::new().expect("a runtime");
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let start = |number| {
            let uid = format!("s-{number}");
            let options = ServerOptions::default();
            let server = FormulaServer::start(&uid, ip, options, Default::default(), false);
            runtime.block_on(server).expect("a free port")
        };
        let servers = (0..count).map(start).collect();
        LimitedServers { servers, _runtime: runtime }
    }

    fn targets(&self) -> Vec<String> {
        self.servers.iter().map(|server| target(&server.uid, server.at, "ready", 0)).collect()
    }
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

/// Number of idle connections: more than half of the table, so that they are closed after 2 s.
const IDLE_CONNECTIONS: usize = 14;
/// Descriptors of a gatekeeper whose table has room for 21 clients.
const FEW_DESCRIPTORS: u32 = 64;
/// A connection that ends later than this after a request had reached the gatekeeper's machine was not closed
/// at the moment in which the request was on its way.
const CROSSING_TIME: Duration = Duration::from_millis(20);

/// Idle time before the flood, which lasts beyond the idle limit of 2 s.
const TIME_BEFORE_FLOOD: Duration = Duration::from_millis(1800);
const SHORT_FLOOD: Duration = Duration::from_millis(700);
const IDLE_ROUNDS: usize = 3;

/// Sends a request after a pause. Returns whether the connection was closed although the request had arrived.
fn is_request_lost_after_pause(mut client: TestConnection, pause: Duration) -> bool {
    thread::sleep(pause);
    if client.read.get_mut().write_all(&read_request(400)).is_err() {
        return false;
    }
    let sent_at = Instant::now();
    client.read_answer_or_end().is_none() && sent_at.elapsed() > CROSSING_TIME
}

#[test]
fn connection_is_not_closed_as_idle_when_a_request_on_it_has_arrived() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    worker.serve_all("served");
    let node = Setup { sockets: FEW_DESCRIPTORS, ..Setup::new(discovery.at) }.start();
    for round in 0..IDLE_ROUNDS {
        let mut clients: Vec<_> = (0..IDLE_CONNECTIONS).map(|_| node.client()).collect();
        for client in &mut clients {
            client.send(resp_command(&["PING"]));
            assert_eq!(client.read_answer(), "+PONG");
        }
        thread::sleep(TIME_BEFORE_FLOOD);
        let at = node.at;
        let lost: usize = thread::scope(|scope| {
            scope.spawn(move || {
                let _flooders = Flooders::start(at, Flood::NewNames, 3);
                thread::sleep(SHORT_FLOOD);
            });
            let requests: Vec<_> = clients
                .into_iter()
                .zip(0..)
                .map(|(client, number)| {
                    let pause = Duration::from_millis(100 + 40 * number);
                    scope.spawn(move || is_request_lost_after_pause(client, pause))
                })
                .collect();
            requests.into_iter().map(|request| usize::from(request.join().expect("sent"))).sum()
        });
        assert_eq!(lost, 0, "round {round}");
    }
}

#[test]
fn other_clients_are_served_when_a_flood_of_requests_exceeds_what_servers_can_do() {
    for flood in [Flood::NewNames, Flood::OneName] {
        let servers = LimitedServers::start(3);
        let discovery = Discovery::with(list(1, true, &servers.targets()));
        let setup = Setup::new(discovery.at);
        let config = setup.config().replace("\"Target\":60000.0", "\"Target\":400.0");
        let node = start(&config, "exec");
        let service_before = measure_other_clients(node.at, FLOOD_TIME);
        assert_served_in_time("before the flood", &service_before);
        let flooders = Flooders::start(node.at, flood, FLOODERS);
        let service = measure_other_clients(node.at, 2 * FLOOD_TIME);
        drop(flooders);
        assert_served_in_time(&format!("{flood:?}"), &service);
    }
}
