//! Floods at the gatekeeper's other inputs: peer messages, discovery and workers' answers.

use crate::flood_clients::*;
use crate::harness::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Number of gatekeepers that share a core, each of them flooded.
const GATEKEEPERS_ON_CORE: usize = 3;
/// Share of the other clients' requests that has to be served.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Memory limit of each gatekeeper, in MiB.
const MEMORY_MB: u32 = 64;
/// Limits of the settings that allow messages between gatekeepers.
const PEER_BOUNDS: &str = r#""ConnectTimeout":5000.0,"ConnIdle":600000.0,"Peers":true"#;

/// A source of a flood: sends some more, and returns false when it cannot send any longer.
type Sender = Box<dyn FnMut() -> bool + Send>;

/// Threads that flood until this is dropped.
struct FloodThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodThreads {
    fn start(floods: Vec<Sender>) -> FloodThreads {
        let stop = Arc::new(AtomicBool::new(false));
        let run = |mut flood: Sender| {
            let stop = stop.clone();
            thread::spawn(move || while !stop.load(Ordering::Relaxed) && flood() {})
        };
        let threads = floods.into_iter().map(run).collect();
        FloodThreads { stop, threads }
    }
}

impl Drop for FloodThreads {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| {
            let _ = thread.join();
        });
    }
}

/// A gatekeeper on the shared core, with one worker that answers at once and one peer.
struct Gatekeeper {
    node: Node,
    _discovery: Discovery,
    /// The watch as opened; handed to the flood.
    watch: Mutex<Option<TcpStream>>,
    peer: UdpSocket,
    peer_listen: SocketAddr,
}

impl Gatekeeper {
    fn start() -> Gatekeeper {
        let worker = TestListener::bind();
        let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
        worker.serve_all("served");
        let udp = || UdpSocket::bind("127.0.0.1:0").expect("a port");
        let (peer, peer_listen) = (udp(), udp().local_addr().expect("bound"));
        let config = Setup { bounds: PEER_BOUNDS, memory_mb: MEMORY_MB, ..Setup::new(discovery.at) }
            .config()
            .replace(r#""Balancers":1"#, r#""Balancers":2"#)
            .replace(r#""peer_listen":"","peers":[]"#, &{
                let peer = peer.local_addr().expect("bound");
                format!(r#""peer_listen":"{peer_listen}","peers":["{peer_listen}","{peer}"]"#)
            });
        let node = start(&config, &format!("exec taskset -c {}", first_core()));
        let watch = Mutex::new(Some(discovery.watch()));
        Gatekeeper { node, _discovery: discovery, watch, peer, peer_listen }
    }
}

/// Measures the other clients of gatekeepers that share a core and are flooded by `flood`.
fn assert_served_beside(what: &str, flood: impl Fn(&Gatekeeper) -> Vec<Sender>) {
    let gatekeepers: Vec<_> = (0..GATEKEEPERS_ON_CORE).map(|_| Gatekeeper::start()).collect();
    let floods: Vec<_> = gatekeepers.iter().map(|g| FloodThreads::start(flood(g))).collect();
    let services: Vec<Service> = thread::scope(|scope| {
        let measure = |g: &Gatekeeper| {
            let at = g.node.at;
            scope.spawn(move || measure_other_clients(at, FLOOD_TIME))
        };
        let threads: Vec<_> = gatekeepers.iter().map(measure).collect();
        threads.into_iter().map(|thread| thread.join().expect("measured")).collect()
    });
    drop(floods);
    for (service, gatekeeper) in services.iter().zip(&gatekeepers) {
        let peak_kb = gatekeeper.node.peak_memory_kb();
        println!("{what}: {service}; {peak_kb} KiB");
        assert_eq!((service.late, service.ended), (0, 0), "{what}: {service}");
        let served_share = service.served as f64 / service.requests() as f64;
        assert!(served_share >= MIN_SERVED_SHARE, "{what}: {service}");
        assert!(peak_kb < u64::from(MEMORY_MB) * 1024, "{what}: {peak_kb} KiB");
    }
}

/// A message of a peer that asks for units of ever new customers.
fn quota_requests(number: &AtomicU64) -> String {
    let first = number.fetch_add(8, Ordering::Relaxed);
    (first..first + 8).map(|k| format!("a,{k:x},0,{k:x},1,0,1,64;")).collect()
}

#[test]
fn other_clients_are_served_in_time_when_datagrams_flood() {
    for is_from_peer in [true, false] {
        assert_served_beside(&format!("datagrams, from a peer: {is_from_peer}"), |gatekeeper| {
            let to = gatekeeper.peer_listen;
            let flood = |_| {
                let socket = if is_from_peer {
                    gatekeeper.peer.try_clone().expect("a socket")
                } else {
                    UdpSocket::bind("127.0.0.1:0").expect("a port")
                };
                let number = AtomicU64::new(1 << 20);
                Box::new(move || {
                    let _ = socket.send_to(quota_requests(&number).as_bytes(), to);
                    true
                }) as Sender
            };
            (0..2).map(flood).collect()
        });
    }
}

#[test]
fn other_clients_are_served_in_time_when_discovery_floods() {
    type Lines = fn(u64) -> String;
    let lines: [(&str, Lines); 3] = [
        ("empty lines", |_| "\n".repeat(8000)),
        ("changes of one server", |version| {
            let at = "127.0.0.1:9".parse().expect("an address");
            let line = |k| list(version + k, false, &[target("s-2", at, "draining", 0)]) + "\n";
            (0..40).map(line).collect()
        }),
        ("new servers", |version| {
            let at = |k: u64| SocketAddr::from(([127, 1, (k >> 8) as u8, k as u8], 9));
            let entry = |k| target(&format!("s-{}", version + k), at(version + k), "draining", 0);
            list(version, false, &(0..40).map(entry).collect::<Vec<_>>()) + "\n"
        }),
    ];
    for (what, text) in lines {
        assert_served_beside(&format!("discovery: {what}"), |gatekeeper| {
            let mut watch = gatekeeper.watch.lock().expect("an unpoisoned lock").take().expect("a watch");
            let _ = watch.set_write_timeout(Some(Duration::from_millis(100)));
            let mut version = 2;
            vec![Box::new(move || {
                let lines = text(version);
                version += 40;
                let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
                watch.write_all(chunk.as_bytes()).is_ok()
            })]
        });
    }
}
