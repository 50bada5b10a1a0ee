//! Requests that arrive while the gatekeeper listens and has no endpoint list yet.

use crate::harness::*;
use std::thread;
use std::time::{Duration, Instant};

/// A final answer that comes more than this after the client's deadline counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The wait that a command states to a worker may exceed the client's remaining time by at most this.
const WAIT_TOLERANCE_MS: u128 = 150;

/// Starts a gatekeeper that has no list yet; returns it and a client that connected as soon as it listened.
fn start_without_list(discovery: &TestListener) -> (Node, TestConnection) {
    let at = free_port();
    let config = Setup::new(discovery.at).config().replace("127.0.0.1:0", &at.to_string());
    let mut node = spawn(&config, "exec");
    node.at = at;
    (node, TestConnection::new(connect_early(at)))
}

#[test]
fn request_is_answered_in_time_when_discovery_is_silent_at_start() {
    let silent = TestListener::bind();
    let (_node, mut client) = start_without_list(&silent);
    let sent_at = Instant::now();
    client.send(read_request(300));
    assert!(client.read_answer().starts_with("-BUSY"));
    let limit = Duration::from_millis(300) + ANSWER_GRACE;
    assert!(sent_at.elapsed() < limit, "{:?}", sent_at.elapsed());
}

#[test]
fn worker_deadline_excludes_wait_for_first_list() {
    let (discovery, worker) = (TestListener::bind(), TestListener::bind());
    let (_node, mut client) = start_without_list(&discovery);
    let sent_at = Instant::now();
    client.send(read_request(5000));
    client.wait_until_acknowledged();
    let mut conn = discovery.accept();
    conn.read_http_request();
    thread::sleep(Duration::from_millis(500));
    conn.send_list(&list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let mut attempt = worker.accept();
    let command = attempt.read_command();
    let remaining_ms = 5000 - sent_at.elapsed().as_millis().min(5000);
    let stated_ms = command[3].split(',').find_map(|field| field.strip_prefix("d=")).expect("d");
    let stated_ms: u128 = stated_ms.parse().expect("a number");
    assert!(stated_ms <= remaining_ms + WAIT_TOLERANCE_MS, "{stated_ms} ms stated, {remaining_ms} ms remain");
    attempt.send_value("first");
    assert_eq!(client.read_answer(), "first");
}

#[test]
fn ping_is_answered_when_first_list_has_arrived() {
    let (discovery, worker) = (TestListener::bind(), TestListener::bind());
    let (node, mut client) = start_without_list(&discovery);
    client.send([resp_command(&["PING"]), resp_command(&["PING", "x"])].concat());
    let mut conn = discovery.accept();
    conn.read_http_request();
    thread::sleep(Duration::from_millis(200));
    assert!(!client.has_data(), "an answer came before the first list");
    conn.send_list(&list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    assert_eq!([client.read_answer(), client.read_answer()], ["+PONG", "x"]);
    node.wait_for_log(" serves at ");
}

#[test]
fn client_waiting_for_first_list_is_answered_when_process_stops() {
    let silent = TestListener::bind();
    let (mut node, mut client) = start_without_list(&silent);
    client.send([read_request(3000), resp_command(&["PING"])].concat());
    client.wait_until_accepted();
    node.signal("-TERM");
    assert!(client.read_answer().starts_with("-BUSY"));
    assert_eq!(client.read_answer(), "+PONG");
    assert!(client.is_closed_without_reset());
    assert!(node.wait_for_exit().success());
}
