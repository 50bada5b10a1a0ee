//! Case 3: use is recorded under another class while two gatekeepers of a host have different settings.
//!
//! Two gatekeepers of one host, their agent with an SQLite record, four formula servers. Clients send mix-record and
//! stock-read to both, one at a time. With the disruption a new configuration without the class formula-read, which
//! nobody uses any more, comes to the gatekeepers one after the other: n0 is restarted with it, in order, and n1
//! follows some seconds later. Then all are stopped in order, and the record is compared with what the formula
//! servers ran.

#[path = "../lib/common.rs"]
mod common;

use common::*;
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 4;
const STOCK_CLASS: &str = r#"{"Name":"stock-read","Effect":"repeatable","Group":"all","Window":5000.0,"Target":400.0,"Deadline":1000.0,"LateWorth":0.0,"Worth":1.0,"Stream":false}"#;

/// Units by gatekeeper and class.
type Units = BTreeMap<String, u64>;

struct Agent(Child);

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(case_folder().join("agent.pid"));
    }
}

/// Starts a formula server. `ran` counts the units of each command once, when it first comes.
fn start_server(k: usize, ran: Arc<Mutex<(HashMap<String, u32>, Units)>>, record: Record) -> Target {
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
            let class = order.fields.get("c").cloned().unwrap_or_default();
            let units = order.fields.get("units").and_then(|u| u.parse::<u64>().ok()).unwrap_or(0);
            {
                let mut ran = lock(&ran);
                let count = ran.0.entry(order.id.clone()).or_default();
                *count += 1;
                if *count == 1 {
                    *ran.1.entry(class.clone()).or_default() += units;
                }
            }
            record.line(format!("server s{k} runs {} of {class}, {units} units", order.id));
            cores.work(ms(if order.name == "Q.ASK" { 10 } else { 20 }));
            let answer = served(format!("done {}", order.id).as_bytes(), "util=0.20,qps=30.0");
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    });
    Target { uid: format!("s{k}"), at, zone: "room-a", rack: 0, state: "ready", boot_ms: 0 }
}

/// Sends requests of both classes to one gatekeeper, one after the other, until `stop`.
fn client(node: usize, at: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut open: Option<BufReader<TcpStream>> = None;
    let mut random = Random::new(node as u64 + 7);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_secs_f64(random.between(20.0, 40.0) / 1000.0));
        let id = new_id();
        let shop = format!("{:016x}", 100 + random.below(40));
        let set = format!("units=2,spread=2,first={node}");
        let text = if random.below(2) == 0 {
            let fields = format!("c=mix-record,t=distribuidor,d=4000,k={id},{set}");
            command(&[b"Q.DO", shop.as_bytes(), id.as_bytes(), fields.as_bytes(), b"one can"])
        } else {
            let fields = format!("c=stock-read,t=distribuidor,d=1000,{set}");
            command(&[b"Q.ASK", shop.as_bytes(), id.as_bytes(), fields.as_bytes()])
        };
        let mut read = match open.take() {
            Some(read) => read,
            None => match TcpStream::connect(at) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(ms(4500)));
                    BufReader::new(stream)
                }
                // It is being restarted.
                Err(_) => continue,
            },
        };
        record.line(format!("a client sends {id} to n{node}"));
        if read.get_mut().write_all(&text).is_err() {
            continue;
        }
        match read_answer(&mut read) {
            Ok(answer) => {
                record.line(format!("n{node} answers {id}: {}", answer.word()));
                open = Some(read);
            }
            Err(e) => record.line(format!("n{node} ends the connection of {id}: {e}")),
        }
    }
}

/// What the record holds, by class.
fn recorded(url: &str) -> Option<Units> {
    let out = Command::new(root().join("target/release/frostctl"))
        .args(["record", "--record", url, "use", "--output", "csv"])
        .stdin(Stdio::null())
        .output()
        .ok()?;
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    let mut lines = text.lines();
    let head: Vec<&str> = lines.next()?.split(',').collect();
    let class = head.iter().position(|h| *h == "class")?;
    let passed = head.iter().position(|h| h.starts_with("passed"))?;
    let mut units = Units::new();
    for line in lines {
        let cells: Vec<&str> = line.split(',').collect();
        let value: f64 = cells.get(passed)?.parse().ok()?;
        let milli = if head[passed].contains("milli") { value } else { value * 1000.0 };
        *units.entry((*cells.get(class)?).to_string()).or_default() += (milli / 1000.0).round() as u64;
    }
    Some(units)
}

fn main() {
    let record = Record::create();
    let folder = case_folder();
    let ran = Arc::new(Mutex::new((HashMap::new(), Units::new())));
    let targets: Vec<Target> = (0..SERVERS).map(|k| start_server(k, ran.clone(), record.clone())).collect();
    let discovery = Discovery::start(targets, Framing::Length);
    let old = Settings { gatekeepers: 2, classes: format!("{READ_CLASS},{MIX_CLASS},{STOCK_CLASS}"), connect_timeout: 250.0 };
    let new = Settings { gatekeepers: 2, classes: format!("{MIX_CLASS},{STOCK_CLASS}"), connect_timeout: 250.0 };
    let new = if trouble() { &new } else { &old };
    let mut places = places(2, discovery.at);
    let mut agent_file = "name = \"host-a\"\n".to_string();
    for place in &mut places {
        let socket = folder.join(format!("n{}.sock", place.me));
        let extra = folder.join(format!("n{}.toml", place.me));
        let text = format!("[link]\nsocket = {socket:?}\n[usage]\nreport_ms = 200\n");
        std::fs::write(&extra, text).expect("a settings file");
        agent_file.push_str(&format!("[[gatekeepers]]\nname = \"n{}\"\nsocket = {socket:?}\n", place.me));
        place.extra = Some(extra);
    }
    let url = format!("sqlite:{}", folder.join("record.db").display());
    agent_file.push_str(&format!(
        "[control]\nsocket = {:?}\n[record]\nurl = {url:?}\nspool = {:?}\n",
        folder.join("agent.sock"),
        folder.join("spool.db")
    ));
    let config = folder.join("frostagent.toml");
    std::fs::write(&config, agent_file).expect("a settings file");
    let mut nodes = Vec::new();
    for place in &places {
        match spawn_gatekeeper(place, &old) {
            Ok(node) => nodes.push(node),
            Err(_) => give_up(&record, &mut nodes, "a gatekeeper does not start"),
        }
    }
    if !nodes.iter().all(|n| wait_until_ready(n.at)) {
        give_up(&record, &mut nodes, "a gatekeeper does not answer PING");
    }
    let log = File::create(folder.join("agent.log")).expect("a log file");
    let agent = Command::new(root().join("target/release/frostagent"))
        .arg("--config")
        .arg(&config)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn();
    let Ok(agent) = agent else { give_up(&record, &mut nodes, "the agent does not start") };
    let _ = std::fs::write(folder.join("agent.pid"), agent.id().to_string());
    let mut agent = Agent(agent);
    thread::sleep(ms(1500));

    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = places
        .iter()
        .map(|p| {
            let (me, at, stop, record) = (p.me, p.at, stop.clone(), record.clone());
            thread::spawn(move || client(me, at, &stop, &record))
        })
        .collect();
    thread::sleep(ms(4000));
    // One gatekeeper after the other gets its planned restart.
    for (k, place) in places.iter().enumerate() {
        record.line(format!("n{k} gets SIGTERM and is started again"));
        signal(&nodes[k].child, "-TERM");
        if !wait_for_end(&mut nodes[k].child, ms(10_000)) {
            give_up(&record, &mut nodes, "a gatekeeper does not end after SIGTERM");
        }
        match spawn_gatekeeper(place, new) {
            Ok(node) => nodes[k] = node,
            Err(_) => give_up(&record, &mut nodes, "a gatekeeper does not start again"),
        }
        if !wait_until_ready(place.at) {
            give_up(&record, &mut nodes, "a gatekeeper is not ready again");
        }
        record.line(format!("n{k} is ready again"));
        thread::sleep(ms(6000));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(500));
    for node in &mut nodes {
        signal(&node.child, "-TERM");
    }
    for k in 0..nodes.len() {
        if !wait_for_end(&mut nodes[k].child, ms(10_000)) {
            give_up(&record, &mut nodes, "a gatekeeper does not end after SIGTERM");
        }
    }
    thread::sleep(ms(1000));
    signal(&agent.0, "-TERM");
    if !wait_for_end(&mut agent.0, ms(15_000)) {
        give_up(&record, &mut nodes, "the agent does not end after SIGTERM");
    }
    nodes.clear();
    drop(agent);
    let ran = lock(&ran).1.clone();
    let Some(held) = recorded(&url) else { give_up(&record, &mut nodes, "the record cannot be read") };
    record.say(format!("units that the formula servers ran, by class: {ran:?}"));
    record.say(format!("units that the record holds, by class:        {held:?}"));
    let broken = ran != held;
    record.say(if broken { "RULE BROKEN: the record is not what was sent" } else { "the rule held" });
    if std::env::var("KEEP_LOGS").is_ok() {
        let text = std::fs::read_to_string(folder.join("agent.log")).unwrap_or_default();
        println!("{text}");
    }
    record.finish();
    std::process::exit(if ran.is_empty() { 2 } else { i32::from(broken) });
}
