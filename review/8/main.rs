//! A broken file of the configuration comes with SIGHUP: a class has a deadline of 0. The old settings have to
//! stay, whole, and with them the old discovery, which goes on telling of drains.

#[path = "../lib-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEKEEPERS: usize = 3;
const SERVERS: usize = 9;
/// The servers that begin to drain.
const DRAINED: usize = 3;
const LOAD_PER_S: f64 = 90.0;
const SIGHUP_AT: f64 = 4.0;
const DRAIN_AT: f64 = 9.0;
const SECONDS: f64 = 30.0;
/// What discovery has to tell counts as told 6 s later at the latest, whether or not it arrived; after that the
/// grace of a drain, and the 50 ms by which each limit is longer on sockets.
const TOLD_MS: f64 = 6000.0;
const GRACE_MS: f64 = 300.0;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let place = Place::new();
    let record = Record::new(&place.case);
    let begun: Arc<Mutex<Vec<(f64, usize, String)>>> = Arc::default();
    let targets: Vec<Target> = (0..SERVERS)
        .map(|k| {
            let (record, begun) = (record.clone(), begun.clone());
            let at = formula_server(move |mut conn| {
                let mut rng = Rng::new(conn.stream.peer_addr().map_or(1, |a| a.port().into()));
                while let Some(parts) = conn.next_command() {
                    let sent = Sent::of(parts);
                    lock(&begun).push((record.ms(), k, sent.id.clone()));
                    record.add(format!("s-{k} was sent {}", sent.id));
                    thread::sleep(Duration::from_secs_f64(rng.between(28.0, 52.0) / 1000.0));
                    if !conn.write(&value_of(&sent)) {
                        return;
                    }
                }
            });
            Target::ready(format!("s-{k}"), at, ["room-a", "room-b", "room-c"][k % 3], (k % 3) as u32)
        })
        .collect();
    let (discovery, at) = Discovery::start(targets.clone());
    let mut tier = Tier::new(GATEKEEPERS, at, discovery.whole());
    tier.start_all(&place);
    let pool = Arc::new(Pool::default());
    let served = Arc::new(AtomicU64::new(0));
    let mut id = u64::from(std::process::id()) << 20;
    let mut threads = Vec::new();
    let (start, mut next) = (Instant::now(), 0.0);
    let (mut has_reloaded, mut drained_ms) = (false, None);
    while next < SECONDS {
        next += 1.0 / LOAD_PER_S;
        thread::sleep((start + Duration::from_secs_f64(next)).saturating_duration_since(Instant::now()));
        if next >= SIGHUP_AT && has_trouble() && !has_reloaded {
            has_reloaded = true;
            // The new file: another discovery, where nothing listens, and a deadline that is not over 0.
            let former = tier.classes.clone();
            tier.discovery = free_addresses(1)[0];
            tier.classes = former.replace("\"Deadline\":4000.0", "\"Deadline\":0.0");
            for k in 0..GATEKEEPERS {
                tier.write_config(&place, k);
                if let Some(program) = &tier.running[k] {
                    program.signal(SIGHUP);
                }
            }
            record.say("SIGHUP with a file in which mix-record has a deadline of 0 and discovery another address");
        }
        if next >= DRAIN_AT && drained_ms.is_none() {
            drained_ms = Some(record.ms());
            for target in &targets[..DRAINED] {
                discovery.set(Target { state: "draining", ..target.clone() });
            }
            record.say(format!("discovery tells that s-0 to s-{} drain", DRAINED - 1));
        }
        id += 1;
        let ask = Ask { customer: id % 3000, id, class: "formula-read", plan: "distribuidor", wait_ms: 1000, units: 1, first: 0, spread: GATEKEEPERS, key: None, is_safe: true };
        let to = tier.listen[(id % GATEKEEPERS as u64) as usize];
        let (pool, record, served) = (pool.clone(), record.clone(), served.clone());
        threads.push(thread::spawn(move || {
            let answer = pool.call(to, &ask.bytes(), Duration::from_millis(1500));
            if let Answer::Value(_) = answer {
                served.fetch_add(1, Ordering::SeqCst);
            }
            record.add(format!("client {:016x} by {to}: {}", ask.id, answer.text()));
        }));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let crashed = tier.has_crashed();
    drop(tier);
    let drained_ms = drained_ms.unwrap_or(0.0);
    let late_of = |after: f64| lock(&begun).iter().filter(|(ms, k, _)| *k < DRAINED && *ms > drained_ms + after).count();
    let (late, soon) = (late_of(TOLD_MS + GRACE_MS), late_of(GRACE_MS));
    record.say(format!(
        "sent to draining servers over {GRACE_MS} ms after the news: {soon}, over {} ms: {late}; served {}",
        TOLD_MS + GRACE_MS,
        served.load(Ordering::SeqCst)
    ));
    record.save();
    if crashed || served.load(Ordering::SeqCst) < 500 {
        return CANNOT_RUN;
    }
    if late > 0 { BROKEN } else { HELD }
}
