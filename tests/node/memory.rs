//! The gatekeeper stays within its memory limit whatever its clients send.

use crate::flood_clients::*;
use crate::harness::*;
use std::io::Write;
use std::time::Duration;

/// Memory limit of the gatekeeper, in MiB.
const MEMORY_MB: u32 = 32;
/// How long a flood lasts. New names took 16 MB a second before they were bounded.
const FLOOD_TIME: Duration = Duration::from_secs(12);

#[test]
fn memory_stays_within_its_limit_when_requests_name_ever_new_customers() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    worker.serve_all("served");
    let node = Setup { memory_mb: MEMORY_MB, ..Setup::new(discovery.at) }.start();
    let flooders = Flooders::start(node.at, Flood::NewNames, 6);
    let service = measure_other_clients(node.at, FLOOD_TIME);
    drop(flooders);
    let peak_kb = node.peak_memory_kb();
    assert!(peak_kb < u64::from(MEMORY_MB) * 1024, "{peak_kb} KiB; other clients: {service}");
    assert!(service.served > service.requests() / 2, "{peak_kb} KiB; other clients: {service}");
    println!("{peak_kb} KiB; other clients: {service}");
}

/// Number of slow clients: about as many as a gatekeeper with 1,024 descriptors accepts.
const SLOW_CLIENTS: usize = 300;
/// How often each of them writes some more.
const ROUNDS: usize = 25;
/// Pause between two rounds; all of them together are shorter than the time for a whole command.
const ROUND_PAUSE: Duration = Duration::from_millis(80);

/// What a slow client writes in one round, at first and then again and again.
type SlowWriter = (&'static str, fn() -> Vec<u8>, fn() -> Vec<u8>);

const SLOW_WRITERS: [SlowWriter; 4] = [
    (
        "half of a large request",
        || [&b"*5\r\n$4\r\nQ.DO\r\n$65000\r\n"[..], &[b'x'; 32_000]].concat(),
        Vec::new,
    ),
    ("a large request, slowly", || b"*2\r\n$4\r\nPING\r\n$65000\r\n".to_vec(), || vec![b'x'; 2_000]),
    ("many short parts, slowly", || b"*64\r\n".to_vec(), || b"$1\r\nx\r\n$0\r\n\r\n".to_vec()),
    (
        "many short fields, slowly",
        || b"*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n00000000000000aa\r\n$60000\r\n".to_vec(),
        || b"a=,".repeat(600),
    ),
];

#[test]
fn memory_stays_within_its_limit_when_hundreds_of_clients_write_slowly() {
    for (what, first, next) in SLOW_WRITERS {
        let worker = TestListener::bind();
        let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
        worker.serve_all("served");
        let node = Setup { memory_mb: MEMORY_MB, ..Setup::new(discovery.at) }.start();
        let mut slow: Vec<TestConnection> = (0..SLOW_CLIENTS).map(|_| node.client()).collect();
        slow.iter_mut().for_each(|client| client.send(first()));
        for _ in 0..ROUNDS {
            std::thread::sleep(ROUND_PAUSE);
            for client in &mut slow {
                let _ = client.read.get_mut().write_all(&next());
            }
        }
        let service = measure_other_clients(node.at, Duration::from_secs(1));
        let peak_kb = node.peak_memory_kb();
        println!("{what}: {peak_kb} KiB; other clients: {service}");
        assert!(peak_kb < u64::from(MEMORY_MB) * 1024, "{what}: {peak_kb} KiB");
        assert_eq!((service.late, service.ended), (0, 0), "{what}: {service}");
        assert!(service.served > service.requests() / 2, "{what}: {service}");
    }
}
