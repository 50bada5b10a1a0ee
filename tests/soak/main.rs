//! Soak: seeded runs of a gatekeeper through signals in series, restarts, floods, crowds and faults of its
//! servers, while clients go on using their open connections until the process is killed.
//!
//! `SOAK_FIRST_SEED` and `SOAK_SEEDS` choose the runs; a run takes about eight seconds.

#[allow(dead_code)]
#[path = "../node/flood_clients.rs"]
mod flood_clients;
#[allow(dead_code)]
#[path = "../node/harness.rs"]
mod harness;
#[allow(dead_code)]
#[path = "../node/sockets.rs"]
mod sockets;

mod clients;
mod fleet;
mod process;

use clients::Record;
use fleet::Fleet;
use process::Process;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of the disturbances of one run.
const RUN_TIME: Duration = Duration::from_secs(7);
/// Time after the last disturbance in which clients go on.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Number of clients that send requests.
const CLIENTS: u64 = 8;
/// Number of idle connections of a crowd.
const CROWD: usize = 330;
/// Seeds of one run in CI.
const DEFAULT_SEEDS: u64 = 6;
/// A restarted process has to be ready within this.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Memory limit of the gatekeeper in KiB.
const MEMORY_LIMIT_KB: u64 = 192 * 1024;

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn random_time(rng: &mut Pcg64Mcg, ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(ms))
}

/// One disturbance of the gatekeeper or of its servers.
fn disturb(rng: &mut Pcg64Mcg, process: &Process, fleet: &mut Fleet) {
    let (short, long) = (random_time(rng, 20..140), random_time(rng, 300..1200));
    match rng.random_range(0..11) {
        0..=2 => process.stop_and_restart(rng),
        9 | 10 => {
            fleet.set_hanging(rng);
            process.stop_and_restart(rng);
            fleet.restore();
        }
        3 => process.kill_and_restart(),
        4 => process.reload(rng.random_range(1..6)),
        5 => process.freeze(short),
        6 => fleet.hang_one(rng, long),
        7 => fleet.fail_some(rng, long / 2),
        _ => fleet.replace_one(rng),
    }
}

/// Idle connections that come again when they are closed, until `stop` is set.
fn run_crowd(process: &Process, stop: &AtomicBool) {
    let mut crowd: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        crowd.retain(|stream| {
            stream.set_nonblocking(true).is_ok()
                && stream.peek(&mut [0; 1]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        });
        while crowd.len() < CROWD && !stop.load(Ordering::Relaxed) {
            match TcpStream::connect(process.at) {
                Ok(stream) => crowd.push(stream),
                Err(_) => break,
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Floods now and then, with any kind of flood.
fn run_floods(process: &Process, seed: u64, stop: &AtomicBool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xf10d);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(200..1500)));
        let kind = flood_clients::Flood::ALL[rng.random_range(0..flood_clients::Flood::ALL.len())];
        let _flooders = flood_clients::Flooders::start(process.at, kind, rng.random_range(1..4));
        thread::sleep(Duration::from_millis(rng.random_range(200..1500)));
    }
}

/// Runs one seed; returns what the clients recorded.
fn run_seed(seed: u64) -> Record {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::start();
    let process = Process::start(fleet.discovery_at());
    let (has_crowd, has_floods) = (seed.is_multiple_of(3), seed.is_multiple_of(2));
    let stop = AtomicBool::new(false);
    let total = Mutex::new(Record::default());
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (process, stop, total) = (&process, &stop, &total);
            scope.spawn(move || {
                let record = clients::run(process, seed * 1000 + number, stop);
                total.lock().expect("an unpoisoned lock").add(record);
            });
        }
        if has_crowd {
            scope.spawn(|| run_crowd(&process, &stop));
        }
        if has_floods {
            scope.spawn(|| run_floods(&process, seed, &stop));
        }
        let started_at = Instant::now();
        while started_at.elapsed() < RUN_TIME {
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
            disturb(&mut rng, &process, &mut fleet);
        }
        fleet.restore();
        thread::sleep(QUIET_TIME);
        stop.store(true, Ordering::Relaxed);
    });
    let mut record = total.into_inner().expect("an unpoisoned lock");
    record.violations.extend(fleet.violations());
    record.violations.extend(process.end());
    println!(
        "seed {seed}{}{}: {record}",
        if has_crowd { ", crowd" } else { "" },
        if has_floods { ", floods" } else { "" }
    );
    record
}

#[test]
fn no_request_is_lost_late_or_run_twice_through_signals_floods_and_crowds() {
    let first = from_environment("SOAK_FIRST_SEED", 1);
    let mut violations = Vec::new();
    for seed in first..first + from_environment("SOAK_SEEDS", DEFAULT_SEEDS) {
        let record = run_seed(seed);
        violations.extend(record.violations.iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
