//! One shop with a hard ceiling sends by RESP2 and asks by gRPC in the same seconds. What passes by both
//! together must stay within the shop's ceiling.

#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::fs;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEKEEPERS: usize = 3;
const SERVERS: usize = 9;
const SECONDS: f64 = 20.0;
/// Both together: 4.8 times the quota, as the brief has it for shops that ask for more than theirs.
const RESP_PER_S: f64 = 24.0;
const CALLERS: usize = 4;
const CALLS_PER_S: f64 = 24.0;
/// The quota in units a second, and the ceiling: 1.7 times the quota (the brief: 1.7 to 2.4 times).
const CAP_RATE: f64 = 17.0;
const CAP_DEPTH: f64 = 34.0;
const CAP_SLACK: f64 = 4.0;
const PLANS: &str = r#"[
 {"Name":"ferreteria","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.3,"OverCost":0.8,"OverWorth":0.0,"MaxOut":0,"CapRate":17.0,"CapDepth":34.0,"CeilingSlack":4.0}]"#;

const SHOP: u64 = 0xb4d6_5521;
/// The shop's set as its requests over RESP2 name it: two of the three gatekeepers. The agent is on the host
/// of the third.
const SET: (usize, usize) = (1, 2);

/// Waits until the agent grants a unit to another shop.
fn is_agent_ready(program: &std::path::Path, rls: std::net::SocketAddr) -> bool {
    (0..100).any(|_| {
        thread::sleep(Duration::from_millis(100));
        let done = Command::new(program).args(["check", "--rls", &rls.to_string(), "--shop", "0000000000000001", "--plan", "ferreteria"]).output();
        done.is_ok_and(|d| d.status.code() == Some(0))
    })
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let place = Place::new();
    let record = Record::new(&place.case);
    let passed: Arc<Mutex<Vec<(f64, f64, bool)>>> = Arc::default();
    let targets = (0..SERVERS).map(|k| {
        let (record, passed) = (record.clone(), passed.clone());
        let at = formula_server(move |mut conn| {
            let mut rng = Rng::new(conn.stream.peer_addr().map_or(1, |a| a.port().into()));
            while let Some(parts) = conn.next_command() {
                let sent = Sent::of(parts);
                let units = sent.fields.get("units").and_then(|u| u.parse().ok()).unwrap_or(0.0);
                lock(&passed).push((record.ms(), units, true));
                record.add(format!("s-{k} was sent {} of {}, {units} units", sent.id, sent.customer));
                thread::sleep(Duration::from_secs_f64(rng.between(28.0, 52.0) / 1000.0));
                if !conn.write(&value_of(&sent)) {
                    return;
                }
            }
        });
        Target::ready(format!("s-{k}"), at, ["room-a", "room-b", "room-c"][k % 3], (k % 3) as u32)
    });
    let (discovery, at) = Discovery::start(targets.collect());
    let mut tier = Tier::new(GATEKEEPERS, at, discovery.whole());
    tier.plans = PLANS.into();
    let socket = place.temporary.join("n0.sock");
    let extra = place.temporary.join("n0.toml");
    let _ = fs::write(&extra, format!("[link]\nsocket = {:?}\n", socket.display().to_string()));
    tier.extra[0] = Some(extra);
    tier.start_all(&place);
    let rls = free_addresses(1)[0];
    let agent_file = place.temporary.join("agent.toml");
    let _ = fs::write(&agent_file, format!(
        "name = \"host-a\"\n[[gatekeepers]]\nname = \"n0\"\nsocket = {:?}\n[rls]\nlisten = \"{rls}\"\ndomains = [\"frostvale\"]\ndecide_within_ms = 250\non_failure_default = \"deny\"\n[rls.default_set]\nfirst = 0\nspread = 0\n[control]\nsocket = {:?}\n",
        socket.display().to_string(), place.temporary.join("agent.sock").display().to_string()));
    let agent = Program::start(&place, "agent", &format!("exec target/release/frostagent --config {}", agent_file.display()), &[]);
    let program = place.root.join("target/release/frostctl");
    if !is_agent_ready(&program, rls) {
        print_logs(&place);
        return CANNOT_RUN;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (granted, over, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut callers = Vec::new();
    if has_trouble() {
        for k in 0..CALLERS {
            let (record, passed, stop) = (record.clone(), passed.clone(), stop.clone());
            let (granted, over, failed) = (granted.clone(), over.clone(), failed.clone());
            let program = program.clone();
            callers.push(thread::spawn(move || {
                let start = Instant::now();
                let mut n = k as f64;
                while !stop.load(Ordering::SeqCst) {
                    n += CALLERS as f64;
                    thread::sleep((start + Duration::from_secs_f64(n / CALLS_PER_S)).saturating_duration_since(Instant::now()));
                    let done = Command::new(&program)
                        .args(["check", "--rls", &rls.to_string(), "--shop", &format!("{SHOP:016x}"), "--plan", "ferreteria", "--units", "1"])
                        .output();
                    let code = done.ok().and_then(|d| d.status.code());
                    match code {
                        Some(0) => { granted.fetch_add(1, Ordering::SeqCst); lock(&passed).push((record.ms(), 1.0, false)); record.add("gRPC: granted 1 unit"); }
                        Some(5) => { over.fetch_add(1, Ordering::SeqCst); record.add("gRPC: over the limit"); }
                        _ => { failed.fetch_add(1, Ordering::SeqCst); record.add("gRPC: failed"); }
                    }
                }
            }));
        }
    }
    let pool = Arc::new(Pool::default());
    let (start, mut next, mut id) = (Instant::now(), 0.0, 0x77_0000u64 + u64::from(std::process::id()));
    let served = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    while next < SECONDS {
        next += 1.0 / RESP_PER_S;
        thread::sleep((start + Duration::from_secs_f64(next)).saturating_duration_since(Instant::now()));
        id += 1;
        let ask = Ask { customer: SHOP, id, class: "formula-read", plan: "ferreteria", wait_ms: 1000, units: 1, first: SET.0, spread: SET.1, key: None, is_safe: true };
        let to = tier.listen[SET.0 + (id % 2) as usize];
        let (pool, record, served) = (pool.clone(), record.clone(), served.clone());
        threads.push(thread::spawn(move || {
            let answer = pool.call(to, &ask.bytes(), Duration::from_millis(1500));
            if let Answer::Value(_) = answer { served.fetch_add(1, Ordering::SeqCst); }
            record.add(format!("RESP2 {:016x}: {}", ask.id, answer.text()));
        }));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|t| drop(t.join()));
    let crashed = tier.has_crashed();
    drop(agent);
    drop(tier);
    let mut all = lock(&passed).clone();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut level, mut at, mut lowest) = (CAP_DEPTH, 0.0, f64::INFINITY);
    for (ms, units, _) in &all {
        level = (level + CAP_RATE * (ms - at) / 1000.0).min(CAP_DEPTH) - units;
        at = *ms;
        lowest = lowest.min(level);
    }
    let allowed = CAP_SLACK + CAP_RATE * 0.15;
    record.say(format!("RESP2 served {}, gRPC granted {} over {} failed {}; sent+granted {}; lowest level of the ceiling's store {lowest:.1}, allowed -{allowed:.2}",
        served.load(Ordering::SeqCst), granted.load(Ordering::SeqCst), over.load(Ordering::SeqCst), failed.load(Ordering::SeqCst), all.len()));
    record.save();
    if crashed || served.load(Ordering::SeqCst) < 50 || (has_trouble() && granted.load(Ordering::SeqCst) == 0) {
        return CANNOT_RUN;
    }
    if lowest < -allowed { BROKEN } else { HELD }
}
