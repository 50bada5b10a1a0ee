//! Clients that send at full speed, and other clients that measure what service is left for them meanwhile.

use crate::harness::*;
use std::fmt::{Display, Formatter};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Size of one write of a flooding client.
const BLOCK_BYTES: usize = 32 * 1024;
/// Limit of each write and read of a flooding client, so that its threads end.
const FLOOD_IO_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of the other clients, each on a connection of its own.
const OTHER_CLIENTS: u64 = 8;
/// Pause of one of the other clients between two requests.
const OTHER_PAUSE: Duration = Duration::from_millis(20);
/// How long one of the other clients waits for its answer, as its requests state.
pub const OTHER_WAIT: Duration = Duration::from_millis(400);
/// An answer that comes more than this after its client's deadline is late.
pub const ANSWER_SLACK: Duration = Duration::from_millis(66);

/// What flooding clients send.
#[derive(Clone, Copy, Debug)]
pub enum Flood {
    Pings,
    EmptyLines,
    UnknownCommands,
    RequestsWithoutId,
    UnknownClasses,
    /// Requests with new customers' names, and the fewest other bytes.
    NewNames,
    /// Requests of one customer.
    OneName,
    /// Connections with one command each.
    Connections,
    /// Commands with the most parts that may be sent, all of them empty.
    EmptyParts,
}

impl Flood {
    pub const ALL: [Flood; 9] = [
        Flood::Pings,
        Flood::EmptyLines,
        Flood::UnknownCommands,
        Flood::RequestsWithoutId,
        Flood::UnknownClasses,
        Flood::NewNames,
        Flood::OneName,
        Flood::Connections,
        Flood::EmptyParts,
    ];

    /// One message of the flood. `number` is unique.
    fn message(self, number: u64) -> Vec<u8> {
        let (customer, id) = (format!("{number:016x}"), format!("{:016x}", number + (1 << 40)));
        let fields = |class: &str| format!("c={class},t=p,d=400,units=1,spread=1,first=0");
        match self {
            Flood::Pings | Flood::Connections => resp_command(&["PING"]),
            Flood::EmptyLines => b"\r\n".to_vec(),
            Flood::UnknownCommands => resp_command(&["X"]),
            Flood::RequestsWithoutId => resp_command(&["Q.ASK"]),
            Flood::UnknownClasses => {
                resp_command(&["Q.ASK", &customer, &id, &fields(&format!("new-{number}"))])
            }
            Flood::NewNames => resp_command(&["Q.ASK", &customer, &id, &fields("read")]),
            Flood::OneName => resp_command(&["Q.ASK", "00000000000000ff", &id, &fields("read")]),
            Flood::EmptyParts => resp_command(&[""; 64]),
        }
    }

    /// Many messages, with numbers from `first` on; returns the number of messages too.
    fn block(self, first: u64) -> (Vec<u8>, u64) {
        let (mut block, mut count) = (Vec::new(), 0);
        while block.len() < BLOCK_BYTES {
            block.extend(self.message(first + count));
            count += 1;
        }
        (block, count)
    }
}

/// Flooding clients; they end when this is dropped.
pub struct Flooders {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flooders {
    /// Starts clients that each flood on a connection of their own, and on a new one when that ends.
    pub fn start(at: SocketAddr, flood: Flood, clients: u64) -> Flooders {
        static LAST_NUMBER: AtomicU64 = AtomicU64::new(1 << 16);
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(stream) = TcpStream::connect(at) {
                        match flood {
                            Flood::Connections => send_one_command(&stream),
                            _ => flood_connection(&stream, flood, &LAST_NUMBER, &stop),
                        }
                    }
                }
            })
        };
        let threads = (0..clients).map(client).collect();
        Flooders { stop, threads }
    }
}

impl Drop for Flooders {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| {
            let _ = thread.join();
        });
    }
}

fn send_one_command(mut stream: &TcpStream) {
    let _ = stream.set_read_timeout(Some(FLOOD_IO_TIMEOUT));
    let _ = stream.write_all(&resp_command(&["PING"]));
    let _ = stream.read(&mut [0; 64]);
}

/// Writes at full speed and reads the answers, until no more can be written or `stop` is set.
fn flood_connection(stream: &TcpStream, flood: Flood, last_number: &AtomicU64, stop: &AtomicBool) {
    let _ = stream.set_read_timeout(Some(FLOOD_IO_TIMEOUT));
    let _ = stream.set_write_timeout(Some(FLOOD_IO_TIMEOUT));
    let has_ended = AtomicBool::new(false);
    let is_over = || stop.load(Ordering::Relaxed) || has_ended.load(Ordering::Relaxed);
    let is_timeout = |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut answers = [0; 64 * 1024];
            while !is_over() {
                match (&mut &*stream).read(&mut answers) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(error) if is_timeout(&error) => {}
                    Err(_) => return,
                }
            }
        });
        while !is_over() {
            let first = last_number.fetch_add(BLOCK_BYTES as u64, Ordering::Relaxed);
            let (block, _) = flood.block(first);
            let mut at = 0;
            while at < block.len() && !is_over() {
                match (&mut &*stream).write(&block[at..]) {
                    Ok(count) => at += count,
                    Err(error) if is_timeout(&error) => {}
                    Err(_) => has_ended.store(true, Ordering::Relaxed),
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
}

/// What the other clients got.
#[derive(Default)]
pub struct Service {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Answers after the deadline, and requests without an answer by then.
    pub late: usize,
    /// Connections that ended without an answer.
    pub ended: usize,
    /// Time of each answer, or until the client gave up.
    pub times: Vec<Duration>,
}

impl Service {
    pub fn requests(&self) -> usize {
        self.times.len()
    }

    /// The time below which this share of the answers came.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut times = self.times.clone();
        times.sort();
        times
            .get(((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }

    fn add(&mut self, other: Service) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.late += other.late;
        self.ended += other.ended;
        self.times.extend(other.times);
    }
}

impl Display for Service {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        let Service { served, refused, failed, late, ended, .. } = self;
        write!(f, "of {} requests {served} served, {refused} refused, {failed} failed, ", self.requests())?;
        write!(f, "{late} late, {ended} connections ended; ")?;
        write!(f, "median {:.1?}, p99 {:.1?}", self.quantile(0.5), self.quantile(0.99))
    }
}

/// Has the other clients send requests to a gatekeeper for some time, and returns what they got.
pub fn measure_other_clients(at: SocketAddr, time: Duration) -> Service {
    let total = Mutex::new(Service::default());
    thread::scope(|scope| {
        for number in 0..OTHER_CLIENTS {
            let total = &total;
            scope.spawn(move || {
                let service = run_other_client(at, number, time);
                total.lock().expect("an unpoisoned lock").add(service);
            });
        }
    });
    total.into_inner().expect("an unpoisoned lock")
}

fn run_other_client(at: SocketAddr, number: u64, time: Duration) -> Service {
    static LAST_ID: AtomicU64 = AtomicU64::new(1 << 60);
    let started_at = Instant::now();
    let mut service = Service::default();
    let mut connection: Option<TestConnection> = None;
    while started_at.elapsed() < time {
        let mut client = connection
            .take()
            .unwrap_or_else(|| TestConnection::new(TcpStream::connect(at).expect("connected")));
        let give_up = OTHER_WAIT + ANSWER_SLACK;
        let _ = client.read.get_ref().set_read_timeout(Some(give_up));
        let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
        let fields = format!("c=read,t=p,d={},units=1,spread=1,first=0", OTHER_WAIT.as_millis());
        let sent_at = Instant::now();
        client.send(resp_command(&["Q.ASK", &format!("{number:016x}"), &id, &fields]));
        let answer = client.read_answer_or_end();
        service.times.push(sent_at.elapsed());
        match answer {
            _ if sent_at.elapsed() > give_up => service.late += 1,
            None => service.ended += 1,
            Some(answer) => {
                match answer {
                    a if a.starts_with("-BUSY") => service.refused += 1,
                    a if a.starts_with('-') => service.failed += 1,
                    _ => service.served += 1,
                }
                connection = Some(client);
            }
        }
        thread::sleep(OTHER_PAUSE);
    }
    service
}
