//! The gatekeeper stays within its memory limit whatever its clients send.

use crate::flood_clients::*;
use crate::harness::*;
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
