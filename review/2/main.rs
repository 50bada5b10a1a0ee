//! Case 2: answers that are complete and wait for an earlier answer of their connection.
//!
//! Three gatekeepers, twelve formula servers, answers of formula-read 60,000 bytes long. One client for each
//! gatekeeper sends 30 requests at once on one connection, 24 formula-reads and then 6 mix-records, and reads what
//! comes without a pause. With the disruption three of the twelve formula servers are 9 times slower for 14 s.

#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 12;
/// Requests that a client sends at once: these reads, and after them these mixes.
const READS: usize = 24;
const MIXES: usize = 6;
const AT_ONCE: usize = READS + MIXES;
/// The work of a read and of a mix, in ms; and how many times slower a slow server is.
const READ_MS: u64 = 40;
const MIX_MS: u64 = 85;
const SLOWER: u64 = 9;
/// The servers that are slow: a quarter of all.
const SLOW_SERVERS: [usize; 3] = [1, 5, 9];
/// Length of a value; the protocol allows 64 KiB.
const VALUE_BYTES: usize = 60_000;
const ROUNDS: usize = 10;
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

fn start_server(k: usize, slow: Arc<AtomicBool>, runs: Arc<Mutex<HashMap<String, u32>>>, record: Record) -> Target {
    let (listener, at) = listener();
    let cores = Arc::new(Cores::new(2));
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
            let factor = if slow.load(Ordering::Relaxed) { SLOWER } else { 1 };
            cores.work(ms(factor * if is_read { READ_MS } else { MIX_MS }));
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
}

/// Sends one pipeline and reads all answers.
fn round(node: usize, at: std::net::SocketAddr, number: usize, record: &Record, seen: &Mutex<Seen>) {
    let Ok(stream) = TcpStream::connect(at) else {
        return record.line(format!("client of n{node}: cannot connect"));
    };
    let _ = stream.set_nodelay(true);
    let mut write = stream.try_clone().expect("a socket");
    let ids: Vec<String> = (0..AT_ONCE).map(|_| new_id()).collect();
    let mut all = Vec::new();
    for (k, id) in ids.iter().enumerate() {
        // Each request is another shop's, so that every one is inside its quota; one connection carries
        // requests of many customers.
        let shop = format!("{:016x}", 1_000_000 * (node + 1) + 1000 * number + k);
        let set = format!("units=1,spread=2,first={node}");
        if k < READS {
            let fields = format!("c=formula-read,t=tienda,d={},{set}", READ_WAIT.as_millis());
            all.extend(command(&[b"Q.ASK", shop.as_bytes(), id.as_bytes(), fields.as_bytes()]));
        } else {
            let fields = format!("c=mix-record,t=tienda,d={},k={id},{set}", MIX_WAIT.as_millis());
            all.extend(command(&[b"Q.DO", shop.as_bytes(), id.as_bytes(), fields.as_bytes(), b"one can"]));
        }
    }
    let sent_at = Instant::now();
    if write.write_all(&all).is_err() {
        return record.line(format!("client of n{node}: the connection broke while it wrote"));
    }
    record.line(format!("client of n{node} sent {AT_ONCE} requests, {} to {}", ids[0], ids[AT_ONCE - 1]));
    let mut read = BufReader::with_capacity(1 << 20, stream);
    for (k, id) in ids.iter().enumerate() {
        let wait = if k < READS { READ_WAIT } else { MIX_WAIT };
        let left = (wait + GRACE).saturating_sub(sent_at.elapsed()).max(ms(1));
        let _ = read.get_ref().set_read_timeout(Some(left));
        let answer = read_answer(&mut read);
        let mut seen = lock(seen);
        seen.sent += 1;
        let after = sent_at.elapsed().as_millis();
        match answer {
            Ok(answer) => {
                record.line(format!("n{node} answers {id} after {after} ms: {}", answer.word()));
                match answer {
                    Answer::Served(value) if value == value_for(id, k < READS) => seen.served += 1,
                    Answer::Served(_) => seen.foreign += 1,
                    Answer::Busy(_) => seen.refused += 1,
                    Answer::Failed(_) | Answer::Other(_) => seen.failed += 1,
                }
            }
            Err(e) => {
                // The client keeps its side open: only the gatekeeper can have ended the connection.
                let what = if e.kind() == std::io::ErrorKind::WouldBlock { "no answer in time".into() } else { format!("connection ended: {e}") };
                let count = (AT_ONCE - k) as u64;
                seen.sent += count - 1;
                seen.lost += count;
                for lost in &ids[k..] {
                    record.line(format!("LOST at n{node} after {after} ms: {lost} ({what})"));
                }
                return;
            }
        }
    }
}

fn main() {
    let record = Record::create();
    let slow: Vec<Arc<AtomicBool>> = (0..SERVERS).map(|_| Arc::default()).collect();
    let runs = Arc::new(Mutex::new(HashMap::new()));
    let targets: Vec<Target> =
        (0..SERVERS).map(|k| start_server(k, slow[k].clone(), runs.clone(), record.clone())).collect();
    let discovery = Discovery::start(targets, Framing::Length);
    let settings = Settings { gatekeepers: 3, classes: format!("{READ_CLASS},{MIX_CLASS}"), connect_timeout: 250.0 };
    let mut nodes = start_gatekeepers(&settings, discovery.at, &record);
    thread::sleep(ms(1000));
    let seen = Arc::new(Mutex::new(Seen::default()));
    if trouble() {
        SLOW_SERVERS.iter().for_each(|k| slow[*k].store(true, Ordering::Relaxed));
        record.line(format!("servers {SLOW_SERVERS:?} are {SLOWER} times slower from now on"));
    }
    for number in 0..ROUNDS {
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
    let seen = lock(&seen);
    record.say(format!(
        "sent {}, served {}, refused {}, failed {}, foreign values {}, never answered {}; {} commands run",
        seen.sent, seen.served, seen.refused, seen.failed, seen.foreign, seen.lost, lock(&runs).len()
    ));
    let broken = seen.lost + seen.foreign > 0;
    record.say(if broken { "RULE BROKEN: requests were lost" } else { "the rule held" });
    record.finish();
    if seen.sent == 0 || seen.served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(broken));
}
