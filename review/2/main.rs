//! Case 2: answers that are complete and wait for an earlier answer of their connection.
//!
//! Three gatekeepers, twelve formula servers, answers of formula-read 65,000 bytes long. One client for each
//! gatekeeper has 34 requests in each round, 28 formula-reads and then 6 mix-records, and reads what comes without a
//! pause. With the disruption it sends them at once on one connection, and three of the twelve servers are 9 times
//! slower, for 13 s each time. Without, all servers are sound and the requests go out one after the other.

#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 12;
/// Requests of a client in a round: these reads, and after them these mixes.
const READS: usize = 28;
const MIXES: usize = 6;
const AT_ONCE: usize = READS + MIXES;
/// How many times slower a slow server is.
const SLOWER: f64 = 9.0;
/// The servers that are slow, a quarter of all: first the one three, then the other.
const SLOW_SERVERS: [[usize; 3]; 2] = [[1, 5, 9], [2, 6, 10]];
/// How long they are slow each time.
const SLOW_FOR: Duration = Duration::from_secs(13);
/// The work of a read and of a mix, in ms.
const READ_MS: (f64, f64) = (28.0, 52.0);
const MIX_MS: (f64, f64) = (65.0, 110.0);
/// Length of a value; the protocol allows 64 KiB.
const VALUE_BYTES: usize = 65_000;
/// What the client waits for an answer: the give-up times of the classes.
const READ_WAIT: Duration = Duration::from_millis(1000);
const MIX_WAIT: Duration = Duration::from_millis(4000);
/// An answer up to half a second after its time only earns nothing.
const GRACE: Duration = Duration::from_millis(500);

fn value_for(id: &str, is_read: bool) -> Vec<u8> {
    let mut value = format!("formula for {id} ").into_bytes();
    if is_read {
        value.resize(VALUE_BYTES, b'.');
    }
    value
}

fn start_server(k: usize, phase: Arc<AtomicUsize>, runs: Arc<Mutex<HashMap<String, u32>>>, record: Record) -> Target {
    let (listener, at) = listener();
    let cores = Arc::new(Cores::new(2));
    let random = Mutex::new(Random::new(100 + k as u64));
    serve(listener, move |mut stream| {
        let Ok(read) = stream.try_clone() else { return };
        let mut read = BufReader::new(read);
        while let Ok(Some(parts)) = read_command(&mut read) {
            let Some(order) = Order::parse(&parts) else {
                let _ = stream.write_all(b"-SYNTAX\r\n");
                continue;
            };
            *lock(&runs).entry(order.id.clone()).or_default() += 1;
            record.line(format!("server s{k} runs {}", order.id));
            let is_read = order.name == "Q.ASK";
            let (low, high) = if is_read { READ_MS } else { MIX_MS };
            let is_slow = trouble() && SLOW_SERVERS[phase.load(Ordering::Relaxed)].contains(&k);
            let factor = if is_slow { SLOWER } else { 1.0 };
            let work = factor * lock(&random).between(low, high);
            cores.work(Duration::from_secs_f64(work / 1000.0));
            let report = format!("util=0.40,qps={}.0", 20 + cores.queue());
            if stream.write_all(&served(&value_for(&order.id, is_read), &report)).is_err() {
                return;
            }
        }
    });
    Target { uid: format!("s{k}"), at, zone: ["room-a", "room-b", "room-c"][k % 3], rack: k as u32 / 4, state: "ready", boot_ms: 0 }
}

#[derive(Default)]
struct Seen {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    foreign: u64,
    lost: u64,
    lost_ids: Vec<String>,
    lost_mixes: u64,
}

struct Request {
    id: String,
    is_read: bool,
    text: Vec<u8>,
}

/// Sends the requests of one round on one connection, and reads all answers.
fn round(node: usize, at: std::net::SocketAddr, number: usize, record: &Record, seen: &Mutex<Seen>) {
    let Ok(stream) = TcpStream::connect(at) else {
        return record.line(format!("client of n{node}: cannot connect"));
    };
    let _ = stream.set_nodelay(true);
    let mut write = stream.try_clone().expect("a socket");
    let requests: Vec<Request> = (0..AT_ONCE)
        .map(|k| {
            // Each request is another shop's, so that every one is inside its quota; one connection carries
            // requests of many customers.
            let (id, shop) = (new_id(), format!("{:016x}", 1_000_000 * (node + 1) + 1000 * number + k));
            let set = format!("units=1,spread=2,first={node}");
            let is_read = k < READS;
            let text = if is_read {
                let fields = format!("c=formula-read,t=tienda,d={},{set}", READ_WAIT.as_millis());
                command(&[b"Q.ASK", shop.as_bytes(), id.as_bytes(), fields.as_bytes()])
            } else {
                let fields = format!("c=mix-record,t=tienda,d={},k={id},{set}", MIX_WAIT.as_millis());
                command(&[b"Q.DO", shop.as_bytes(), id.as_bytes(), fields.as_bytes(), b"one can"])
            };
            Request { id, is_read, text }
        })
        .collect();
    let mut read = BufReader::with_capacity(1 << 20, stream);
    let mut sent_at = Instant::now();
    if trouble() {
        let all: Vec<u8> = requests.iter().flat_map(|r| r.text.iter().copied()).collect();
        if write.write_all(&all).is_err() {
            return record.line(format!("client of n{node}: the connection broke while it wrote"));
        }
        let ids: Vec<&str> = requests.iter().map(|r| r.id.as_str()).collect();
        record.line(format!("client of n{node} sent {AT_ONCE} requests at once: {}", ids.join(" ")));
    }
    for (k, Request { id, is_read, text }) in requests.iter().enumerate() {
        if !trouble() {
            sent_at = Instant::now();
            let sent = write.write_all(text).is_ok();
            record.line(format!("client of n{node} sent {id}: {sent}"));
        }
        let left = (if *is_read { READ_WAIT } else { MIX_WAIT } + GRACE).saturating_sub(sent_at.elapsed());
        let _ = read.get_ref().set_read_timeout(Some(left.max(ms(1))));
        let answer = read_answer(&mut read);
        let mut seen = lock(seen);
        seen.sent += 1;
        let after = sent_at.elapsed().as_millis();
        match answer {
            Ok(answer) => {
                record.line(format!("n{node} answers {id} after {after} ms: {}", answer.word()));
                match answer {
                    Answer::Served(value) if value == value_for(id, *is_read) => seen.served += 1,
                    Answer::Served(_) => seen.foreign += 1,
                    Answer::Busy(_) => seen.refused += 1,
                    Answer::Failed(_) | Answer::Other(_) => seen.failed += 1,
                }
            }
            Err(e) => {
                // The client keeps its side open: only the gatekeeper can have ended the connection.
                let what = match e.kind() {
                    std::io::ErrorKind::WouldBlock => "no answer in time".to_string(),
                    _ => format!("connection ended: {e}"),
                };
                let lost = if trouble() { &requests[k..] } else { &requests[k..k + 1] };
                seen.sent += lost.len() as u64 - 1;
                seen.lost += lost.len() as u64;
                for request in lost {
                    let class = if request.is_read { "formula-read" } else { "mix-record" };
                    seen.lost_mixes += u64::from(!request.is_read);
                    seen.lost_ids.push(request.id.clone());
                    record.line(format!("LOST at n{node} after {after} ms: {} {class} ({what})", request.id));
                }
                return;
            }
        }
    }
}

fn main() {
    let record = Record::create();
    let phase = Arc::new(AtomicUsize::new(0));
    let runs = Arc::new(Mutex::new(HashMap::new()));
    let targets: Vec<Target> =
        (0..SERVERS).map(|k| start_server(k, phase.clone(), runs.clone(), record.clone())).collect();
    let discovery = Discovery::start(targets, Framing::Length);
    let settings = Settings { gatekeepers: 3, classes: format!("{READ_CLASS},{MIX_CLASS}"), connect_timeout: 250.0 };
    let mut nodes = start_gatekeepers(&settings, discovery.at, &record);
    thread::sleep(ms(1000));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut begun = Instant::now();
    let mut number = 0;
    loop {
        if begun.elapsed() > SLOW_FOR {
            if phase.load(Ordering::Relaxed) + 1 == SLOW_SERVERS.len() {
                break;
            }
            phase.fetch_add(1, Ordering::Relaxed);
            begun = Instant::now();
        }
        number += 1;
        if trouble() {
            let slow = SLOW_SERVERS[phase.load(Ordering::Relaxed)];
            record.line(format!("round {number}: servers {slow:?} are {SLOWER} times slower"));
        }
        let clients: Vec<_> = nodes
            .iter()
            .enumerate()
            .map(|(node, n)| {
                let (at, record, seen) = (n.at, record.clone(), seen.clone());
                thread::spawn(move || round(node, at, number, &record, &seen))
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(ms(1000));
    }
    if !all_run(&mut nodes) {
        record.say("a gatekeeper has ended by itself");
    }
    nodes.clear();
    let (seen, runs) = (lock(&seen), lock(&runs));
    let ran = seen.lost_ids.iter().filter(|id| runs.contains_key(*id)).count();
    record.say(format!(
        "sent {}, served {}, refused {}, failed {}, foreign values {}, never answered {} ({} of them mix-records, {ran} had run); {} commands run",
        seen.sent, seen.served, seen.refused, seen.failed, seen.foreign, seen.lost, seen.lost_mixes, runs.len()
    ));
    let broken = seen.lost + seen.foreign > 0;
    record.say(if broken { "RULE BROKEN: requests were lost" } else { "the rule held" });
    record.finish();
    if seen.sent == 0 || seen.served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(broken));
}
