//! Clients that disconnect, connections that the gatekeeper closes, and requests that arrive at that moment.

use crate::harness::*;
use std::io::{BufRead, Write};
use std::thread;
use std::time::{Duration, Instant};

/// How a client disconnects.
type Disconnect = fn(TestConnection);

/// A client that sends its command within this must be served. A new connection keeps the last slot for twice
/// as long.
const PROMPT_COMMAND_LIMIT: Duration = Duration::from_millis(100);
/// How long the gatekeeper reads and drops data on a connection after it has closed its own side.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Sockets of a gatekeeper with a small client table, and the size of that table: a third of them.
const SOCKETS: u32 = 64;
const MAX_CLIENTS: u32 = SOCKETS * 33 / 100;
const DISCONNECT_METHODS: [Disconnect; 2] = [drop, TestConnection::reset];

/// Checks that a failed attempt is not retried for a client that has disconnected with unread bytes. The
/// gatekeeper does not read from that client at the time, as it has too much in flight or is about to be
/// closed.
fn check_no_retry_after_disconnect(unread_bytes: &[u8]) {
    for disconnect in DISCONNECT_METHODS {
        let (a, b, _discovery, node) = start_with_two_workers();
        let mut client = node.client();
        client.send(read_request(8000));
        let (mut attempt, other) = accept_from_either(&a, &b);
        attempt.read_command();
        client.send(unread_bytes);
        node.wait_until_input_is_processed();
        node.disconnect_client(client, disconnect);
        node.wait_until_input_is_processed();
        drop(attempt);
        node.wait_until_input_is_processed();
        assert!(other.has_no_connection(), "a retry was sent for a disconnected client");
        let mut next = node.client();
        next.send(read_request(8000));
        let (mut conn, _) = accept_from_either(&a, &b);
        conn.read_command();
        conn.send_value("served");
        assert_eq!(next.read_answer(), "served");
        assert!(other.has_no_connection());
    }
}

#[test]
fn client_disconnect_is_detected_when_its_pipeline_is_full() {
    check_no_retry_after_disconnect(&resp_command(&["PING"]).repeat(2000));
}

#[test]
fn client_disconnect_is_detected_when_protocol_error_is_pending() {
    let mut unread_bytes = b"nonsense\r\n".to_vec();
    unread_bytes.extend(resp_command(&["PING"]).repeat(2000));
    check_no_retry_after_disconnect(&unread_bytes);
}

/// A client disconnects before its command is read: the command must not be started, even with an idle worker
/// connection.
#[test]
fn request_is_not_started_when_client_disconnected_before_read() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut connected = node.client();
    connected.send(read_request(8000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("one");
    assert_eq!(connected.read_answer(), "one");
    thread::sleep(REUSE_DELAY);
    node.freeze();
    let mut disconnected = node.client();
    disconnected.send(read_request(8000));
    node.disconnect_client(disconnected, drop);
    node.thaw();
    node.wait_until_input_is_processed();
    assert!(
        !conn.has_data() && worker.has_no_connection(),
        "a request was started for a disconnected client"
    );
    connected.send(read_request(8000));
    let mut conn = worker.accept_or_reuse(&mut conn);
    conn.read_command();
    conn.send_value("two");
    assert_eq!(connected.read_answer(), "two");
}

/// Sends requests while the gatekeeper closes an idle connection; checks that none is started. Returns
/// whether they were sent while the gatekeeper still read and dropped data: then the client must see the end
/// of the stream and not a reset.
fn request_arrives_during_close() -> bool {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: SOCKETS, ..Setup::new(discovery.at) }.start();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("last");
    assert_eq!(client.read_answer(), "last");
    let _others: Vec<TestConnection> = (2..MAX_CLIENTS).map(|_| after_ping(node.client())).collect();
    assert!(!client.has_data_or_is_closed(), "closed although the table has room");
    // When the last slot is taken the connection that was idle for longest is closed.
    let full_since = Instant::now();
    let mut newest_client = after_ping(node.client());
    while !client.has_data_or_is_closed() {
        assert!(full_since.elapsed() < TIMEOUT, "the idle connection is not closed");
    }
    let mut is_sent = true;
    for _ in 0..3 {
        is_sent &= client.read.get_mut().write_all(&read_request(5000)).is_ok();
        // Uses an open connection: a new one would end the lingering one earlier.
        newest_client = after_ping(after_ping(newest_client));
    }
    let is_in_time = full_since.elapsed() < LINGER_TIME;
    if is_in_time {
        assert!(is_sent, "the write failed");
        assert!(client.is_closed_without_reset(), "the connection was reset");
    }
    assert!(worker.has_no_connection() && !conn.has_data(), "a request was started");
    is_in_time
}

/// Sends a PING and returns the client once that is answered.
fn after_ping(mut client: TestConnection) -> TestConnection {
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG");
    client
}

#[test]
fn request_is_not_started_when_it_arrives_during_idle_close() {
    let started_at = Instant::now();
    while !request_arrives_during_close() {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "this machine is too slow to send a request during the close"
        );
    }
}

/// The number of closed connections whose clients do not close their side is limited, so they do not delay
/// new clients.
#[test]
fn new_clients_are_served_when_closed_clients_never_disconnect() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: SOCKETS, ..Setup::new(discovery.at) }.start();
    let started_at = Instant::now();
    let mut clients: Vec<TestConnection> = Vec::new();
    for _ in 0..200 {
        let mut client = node.client();
        client.send(resp_command(&["PING"]));
        assert_eq!(client.read_answer(), "+PONG");
        clients.push(client);
    }
    // If each new client had to wait for a lingering connection it would take half a second.
    assert!(started_at.elapsed() < Duration::from_secs(10), "{:?}", started_at.elapsed());
}

/// The wait that a command states to a worker must exclude the time it spent queued behind others on its
/// connection.
#[test]
fn queued_command_states_remaining_time_to_worker() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send(read_request(8000));
    let mut first = worker.accept();
    first.read_command();
    let started_at = Instant::now();
    let mut commands = resp_command(&["PING"]).repeat(127);
    commands.extend(read_request(8000));
    client.send(commands);
    node.wait_until_input_is_processed();
    thread::sleep(Duration::from_millis(400).saturating_sub(started_at.elapsed()));
    first.send_value("first");
    let mut conn = worker.accept();
    let fields = conn.read_command()[3].clone();
    let stated_ms = fields.split(',').find_map(|f| f.strip_prefix("d=")).and_then(|d| d.parse::<u64>().ok());
    assert!(stated_ms.is_some_and(|ms| ms < 7700), "{fields}");
}

/// Lets both events happen while the process is stopped, in the given or the reverse order, so that it sees
/// both in one iteration of its event loop.
fn in_one_loop_iteration(node: &Node, first_comes_first: bool, first: impl FnOnce(), second: impl FnOnce()) {
    node.freeze();
    if first_comes_first {
        first();
        second();
    } else {
        second();
        first();
    }
    node.thaw();
}

/// An attempt fails and its client disconnects in one iteration of the event loop, in either order: no retry
/// may be started, though an idle worker connection is available.
#[test]
fn attempt_is_not_retried_when_client_disconnects_in_same_loop_iteration() {
    for (round, disconnect) in DISCONNECT_METHODS.into_iter().cycle().take(8).enumerate() {
        let (a, b, _discovery, node) = start_with_two_workers();
        let (at_a, at_b) = idle_connections(&a, &b, &node);
        let mut client = node.client();
        client.send(read_request(30_000));
        let (mut attempt, mut other) = find_connection_with_data(at_a, at_b);
        attempt.read_command();
        let fail_attempt = || {
            attempt.send("-ERR failed\r\n");
            attempt.wait_until_acknowledged();
        };
        in_one_loop_iteration(&node, round < 4, fail_attempt, || node.disconnect_client(client, disconnect));
        node.wait_until_input_is_processed();
        assert!(
            !other.has_data() && a.has_no_connection() && b.has_no_connection(),
            "round {round}: a request was started"
        );
    }
}

/// A slot in a client's pipeline becomes free and the client disconnects in one iteration of the event loop:
/// the queued command must not be started, though an idle worker connection is available.
#[test]
fn queued_command_is_not_started_when_client_disconnects_as_pipeline_frees() {
    for (round, disconnect) in DISCONNECT_METHODS.into_iter().cycle().take(16).enumerate() {
        let (worker, _discovery, node) = start_with_one_worker();
        let mut idle_pairs: Vec<(TestConnection, TestConnection)> =
            (0..2).map(|_| start_request(&node, &worker)).collect();
        for (client, conn) in &mut idle_pairs {
            conn.send_value("first");
            assert_eq!(client.read_answer(), "first");
        }
        thread::sleep(REUSE_DELAY);
        let mut client = node.client();
        client
            .send([read_request(30_000), resp_command(&["PING"]).repeat(127), read_request(30_000)].concat());
        let (mut attempt, mut other) =
            find_connection_with_data(idle_pairs.remove(0).1, idle_pairs.remove(0).1);
        attempt.read_command();
        node.wait_until_input_is_processed();
        assert!(!other.has_data(), "a command beyond the pipeline limit was started");
        let serve_request = || {
            attempt.send_value("served");
            attempt.wait_until_acknowledged();
        };
        in_one_loop_iteration(&node, round < 8, serve_request, || node.disconnect_client(client, disconnect));
        node.wait_until_input_is_processed();
        let is_nothing_started = !other.has_data() && !attempt.has_data() && worker.has_no_connection();
        assert!(is_nothing_started, "round {round}: a request was started");
    }
}

/// All slots of the client table but one are taken by clients with a request in flight. The client that takes
/// the last one must be served, whether its command arrives before it is accepted or shortly after.
#[test]
fn client_is_served_when_it_takes_last_slot_of_client_table() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: SOCKETS, ..Setup::new(discovery.at) }.start();
    let pending: Vec<(TestConnection, TestConnection)> =
        (1..MAX_CLIENTS).map(|_| start_request(&node, &worker)).collect();
    node.freeze();
    let mut last = node.client();
    last.send(resp_command(&["PING"]));
    last.wait_until_acknowledged();
    node.thaw();
    assert_eq!(last.read_answer(), "+PONG", "its command arrived before it was accepted");
    drop(last);
    // Only clients that send their command soon enough after connecting count; a slow machine may delay
    // others.
    let (started_at, mut prompt_clients, mut served) = (Instant::now(), 0, 0);
    while prompt_clients < 20 && served == 0 {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "this machine is too slow for any client to send a command in time"
        );
        let connecting_since = Instant::now();
        let mut last = node.client();
        last.wait_until_accepted();
        let _ = last.read.get_mut().write_all(&resp_command(&["PING"]));
        if connecting_since.elapsed() < PROMPT_COMMAND_LIMIT {
            prompt_clients += 1;
            let mut answer = String::new();
            served += u32::from(last.read.read_line(&mut answer).is_ok() && answer.starts_with("+PONG"));
        }
    }
    assert!(served > 0, "no client that sends its command after being accepted is served");
    drop(pending);
}
