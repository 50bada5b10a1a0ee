//! Connections on which clients send many commands at once: what the gatekeeper itself holds back must not be
//! held against its clients.

use crate::harness::*;
use crate::sockets::wait_for_socket;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A value near the protocol's limit of 64 KiB.
const LONG_VALUE_BYTES: usize = 65_000;
/// Commands of one connection whose values together exceed what a client may leave unread (1 MiB).
const COMMANDS: usize = 40;
/// How long a client that does not read its answers may stay connected, with slack for a busy machine.
const UNREAD_LIMIT: Duration = Duration::from_secs(8);
/// The gatekeeper's smallest memory limit, in MiB; an eighth of it is left for answers.
const SMALL_MEMORY_MB: u32 = 32;

fn long_value(number: usize) -> String {
    let head = format!("{number:08}");
    head.clone() + &"x".repeat(LONG_VALUE_BYTES - head.len())
}

/// Checks an answer; its message shows the answer's beginning alone.
fn assert_is_value(answer: &str, number: usize) {
    assert!(answer == long_value(number), "request {number}: {answer:.60?}");
}

/// Sends read requests at once on one connection and returns it with the workers' connections that carry
/// them, in the order of the requests.
fn start_pipeline(node: &Node, worker: &TestListener, count: usize) -> (TestConnection, Vec<TestConnection>) {
    static LAST_ID: AtomicUsize = AtomicUsize::new(0);
    let first_id = LAST_ID.fetch_add(count, Ordering::Relaxed);
    let ids: Vec<String> = (0..count).map(|k| format!("{:016x}", first_id + k)).collect();
    let mut client = node.client();
    client.send(ids.iter().flat_map(|id| read_request_with_id(id, 30_000)).collect::<Vec<u8>>());
    let mut attempts: Vec<(String, TestConnection)> = (0..count)
        .map(|_| {
            let mut attempt = worker.accept();
            (attempt.read_command().swap_remove(2), attempt)
        })
        .collect();
    attempts.sort_by(|a, b| a.0.cmp(&b.0));
    (client, attempts.into_iter().map(|(_, attempt)| attempt).collect())
}

/// Answers all requests but the first and closes their connections, and then waits until the gatekeeper has
/// the answers. Returns the connection that carries the first request.
fn answer_all_but_first(node: &Node, attempts: Vec<TestConnection>) -> TestConnection {
    let mut attempts = attempts.into_iter();
    let first = attempts.next().expect("a first request");
    for (number, mut attempt) in (1..).zip(attempts) {
        attempt.send_value(&long_value(number));
        attempt.wait_until_acknowledged();
    }
    node.wait_until_input_is_processed();
    first
}

/// Over 1 MiB of answers wait behind the answer to a slow request: the connection stays open, and its client,
/// which reads all it is sent, gets each answer.
#[test]
fn pipelined_requests_are_all_answered_when_first_is_slow_and_values_are_long() {
    let (worker, _discovery, node) = start_with_one_worker();
    let (mut client, attempts) = start_pipeline(&node, &worker, COMMANDS);
    let mut first = answer_all_but_first(&node, attempts);
    client.send(resp_command(&["PING"]));
    node.wait_until_input_is_processed();
    first.send_value(&long_value(0));
    for number in 0..COMMANDS {
        assert_is_value(&client.read_answer(), number);
    }
    assert_eq!(client.read_answer(), "+PONG");
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG", "the connection is still in use");
}

/// Several connections together hold back more answers than there is memory for: each request is still
/// answered, with its value or an error, and no connection ends.
#[test]
fn pipelined_requests_are_all_answered_when_memory_for_answers_is_used_up() {
    const CONNECTIONS: usize = 6;
    // Each connection alone stays below 1 MiB.
    const COMMANDS_PER_CONNECTION: usize = 15;
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { memory_mb: SMALL_MEMORY_MB, ..Setup::new(discovery.at) }.start();
    // One after the other: the gatekeeper sends only so many requests to a worker at once.
    let mut pipelines: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let (client, attempts) = start_pipeline(&node, &worker, COMMANDS_PER_CONNECTION);
            (client, answer_all_but_first(&node, attempts))
        })
        .collect();
    let mut values = 0;
    for (client, first) in &mut pipelines {
        first.send_value(&long_value(0));
        for number in 0..COMMANDS_PER_CONNECTION {
            let answer = client.read_answer();
            assert!(answer == long_value(number) || answer.starts_with("-ERR no memory"), "{answer:.60}");
            values += usize::from(!answer.starts_with('-'));
        }
        client.send(resp_command(&["PING"]));
        assert_eq!(client.read_answer(), "+PONG");
    }
    let budget = (SMALL_MEMORY_MB as usize) << 20 >> 3;
    assert!(values * LONG_VALUE_BYTES > budget / 2, "{values} values, although half as many fit");
}

/// A client that reads slowly, but reads, gets all its answers.
#[test]
fn pipelined_requests_are_all_answered_when_client_reads_slowly() {
    let (worker, _discovery, node) = start_with_one_worker();
    let (mut client, attempts) = start_pipeline(&node, &worker, 2 * COMMANDS);
    let mut first = answer_all_but_first(&node, attempts);
    first.send_value(&long_value(0));
    for number in 0..2 * COMMANDS {
        assert_is_value(&client.read_answer(), number);
        thread::sleep(Duration::from_millis(20));
    }
}

/// A client reads without a pause, but over a slow line: over 1 MiB waits for it for longer than a client may
/// read nothing, and it still gets all its answers.
#[test]
fn pipelined_requests_are_all_answered_when_client_has_a_slow_line() {
    const COMMANDS_IN_FLIGHT: usize = 120;
    const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
    let (worker, _discovery, node) = start_with_one_worker();
    let (mut client, attempts) = start_pipeline(&node, &worker, COMMANDS_IN_FLIGHT);
    let buffer = socket2::SockRef::from(client.read.get_ref()).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    buffer.expect("a socket");
    let mut first = answer_all_but_first(&node, attempts);
    first.send_value(&long_value(0));
    for number in 0..COMMANDS_IN_FLIGHT {
        assert_is_value(&client.read_answer(), number);
        // About 650 KB a second.
        thread::sleep(Duration::from_millis(100));
    }
}

/// A client that sends and never reads is disconnected, and until then no more of its commands are started
/// than a connection may have in flight.
#[test]
fn client_is_disconnected_when_it_never_reads_its_answers() {
    let (worker, _discovery, node) = start_with_one_worker();
    let started = worker.serve_all(Box::leak(long_value(0).into_boxed_str()));
    let mut client = node.client();
    // The kernels' buffers take the answers to some of the commands.
    const SENT: u64 = 400;
    let commands = (0..SENT).flat_map(|_| read_request(60_000)).collect::<Vec<u8>>();
    let began = Instant::now();
    client.send(commands);
    let (own, peer) = client.addresses();
    wait_for_socket(peer, own, |socket| socket.is_none_or(|socket| !socket.is_established()));
    assert!(began.elapsed() < UNREAD_LIMIT, "connected for {:?}", began.elapsed());
    assert!(started.load(Ordering::SeqCst) < SENT, "all commands were started");
    let mut other = node.client();
    other.send(resp_command(&["PING"]));
    assert_eq!(other.read_answer(), "+PONG");
}

/// Incomplete commands of other clients use up the memory for them, and a long command arrives in pieces: it
/// is refused or served, and the command behind it is answered as well.
#[test]
fn commands_behind_a_long_one_are_answered_when_memory_for_commands_is_used_up() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { memory_mb: SMALL_MEMORY_MB, ..Setup::new(discovery.at) }.start();
    worker.serve_all("served");
    let incomplete = [&b"*2\r\n$4\r\nPING\r\n$65000\r\n"[..], &[b'x'; 60_000]].concat();
    let mut others: Vec<TestConnection> = (0..150).map(|_| node.client()).collect();
    // One after another: those that arrive together may be refused together and leave memory free.
    for other in &mut others {
        other.send(&incomplete);
        other.wait_until_read();
    }
    node.wait_until_input_is_processed();
    let mut client = node.client();
    let long = resp_command(&["PING", &long_value(1)]);
    let (head, rest) = long.split_at(long.len() / 2);
    client.send(head);
    client.wait_until_read();
    node.wait_until_input_is_processed();
    client.send([rest, &resp_command(&["PING"]), &read_request(5000), &resp_command(&["PING"])].concat());
    assert_eq!(client.read_answer(), "-BUSY");
    assert_eq!(client.read_answer(), "+PONG");
    assert_eq!(client.read_answer(), "served");
    assert_eq!(client.read_answer(), "+PONG");
    drop(others);
}
