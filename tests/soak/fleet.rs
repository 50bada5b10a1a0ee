//! The servers and discovery of a run, with their faults, and what the servers have run.

use crate::harness::new_request_id;
use frostvale_standin::clock::unix_ms;
use frostvale_standin::discovery::{Discovery, Target};
use frostvale_standin::formula_server::{FormulaServer, ServerOptions, SharedKeys};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tokio::runtime::Runtime;

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Number of servers at a time, in two racks.
const SERVERS: u32 = 4;

/// Servers, and the discovery that lists them.
pub struct Fleet {
    runtime: Runtime,
    discovery: Discovery,
    /// All servers, also those that have gone.
    servers: Vec<FormulaServer>,
    /// Indexes of the listed servers, with their racks.
    listed: Vec<(usize, u32)>,
    racks: [SharedKeys; 2],
}

impl Fleet {
    pub fn start() -> Fleet {
        let runtime = Runtime::new().expect("a runtime");
        let discovery = runtime.block_on(Discovery::start(HOST)).expect("a free port");
        let mut fleet =
            Fleet { runtime, discovery, servers: Vec::new(), listed: Vec::new(), racks: Default::default() };
        (0..SERVERS).for_each(|number| fleet.add(number % 2, false));
        fleet
    }

    pub fn discovery_at(&self) -> SocketAddr {
        self.discovery.at
    }

    fn add(&mut self, rack: u32, is_cold: bool) {
        let uid = format!("s-{}-{}", self.servers.len(), new_request_id());
        let keys = self.racks[rack as usize].clone();
        let server = FormulaServer::start(&uid, HOST, ServerOptions::default(), keys, is_cold);
        let server = self.runtime.block_on(server).expect("a free port");
        self.discovery.set(&uid, target(&server, rack, "ready"));
        self.listed.push((self.servers.len(), rack));
        self.servers.push(server);
    }

    fn any_listed(&self, rng: &mut Pcg64Mcg) -> &FormulaServer {
        &self.servers[self.listed[rng.random_range(0..self.listed.len())].0]
    }

    /// Each server, or each with even odds, takes commands and never answers them until `restore`.
    pub fn set_hanging(&self, rng: &mut Pcg64Mcg) {
        let odds = if rng.random_bool(0.5) { 1.0 } else { 0.5 };
        for server in &self.servers {
            server.faults.hang.store(rng.random_bool(odds), Ordering::Relaxed);
        }
    }

    /// A server takes commands for some time and never answers them.
    pub fn hang_one(&self, rng: &mut Pcg64Mcg, time: Duration) {
        let server = self.any_listed(rng);
        server.faults.hang.store(true, Ordering::Relaxed);
        thread::sleep(time);
        server.faults.hang.store(false, Ordering::Relaxed);
    }

    /// A server fails half of its commands, or ends connections with a command on them, for some time.
    pub fn fail_some(&self, rng: &mut Pcg64Mcg, time: Duration) {
        let server = self.any_listed(rng);
        let resets = rng.random_bool(0.5);
        server.faults.reset.store(resets, Ordering::Relaxed);
        server.faults.errors_milli.store(if resets { 0 } else { 500 }, Ordering::Relaxed);
        thread::sleep(time);
        server.faults.reset.store(false, Ordering::Relaxed);
        server.faults.errors_milli.store(0, Ordering::Relaxed);
    }

    /// A server drains, and a cold one in its rack takes its place.
    pub fn replace_one(&mut self, rng: &mut Pcg64Mcg) {
        let (index, rack) = self.listed.remove(rng.random_range(0..self.listed.len()));
        let (uid, draining) =
            (self.servers[index].uid.clone(), target(&self.servers[index], rack, "draining"));
        self.discovery.set(&uid, draining);
        self.add(rack, true);
        thread::sleep(Duration::from_millis(300));
        self.discovery.remove(&uid);
        if rng.random_bool(0.5) {
            self.servers[index].kill();
        }
    }

    /// Ends all faults.
    pub fn restore(&self) {
        for server in &self.servers {
            server.faults.hang.store(false, Ordering::Relaxed);
            server.faults.reset.store(false, Ordering::Relaxed);
            server.faults.errors_milli.store(0, Ordering::Relaxed);
        }
    }

    /// What ran twice, or was not understood.
    pub fn violations(&self) -> Vec<String> {
        let (mut unsafe_runs, mut mixes) = (HashMap::<String, u32>::new(), HashMap::<String, u32>::new());
        let mut violations = Vec::new();
        for server in &self.servers {
            let ledger = server.ledger();
            for (id, count) in ledger.runs.into_iter().filter(|(id, _)| id.starts_with(UNSAFE_ID_PREFIX)) {
                *unsafe_runs.entry(id).or_default() += count;
            }
            for (key, count) in ledger.mixes {
                *mixes.entry(key).or_default() += count;
            }
            if ledger.syntax > 0 {
                violations.push(format!("{} commands were malformed", ledger.syntax));
            }
        }
        let twice = |counts: HashMap<String, u32>, what: &str| {
            let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
            repeated.map(|(id, count)| format!("{what} {id} ran {count} times")).collect::<Vec<_>>()
        };
        violations.extend(twice(unsafe_runs, "unsafe request"));
        violations.extend(twice(mixes, "mix"));
        violations
    }
}

/// The first digit of the ids of requests that must not run twice.
pub const UNSAFE_ID_PREFIX: char = 'e';

fn target(server: &FormulaServer, rack: u32, state: &str) -> Target {
    let boot_ms = if server.boot_ms > 0 { server.boot_ms.min(unix_ms()) } else { 0 };
    Target { endpoint: server.at, zone: "a".into(), rack, state: state.into(), boot_ms }
}
