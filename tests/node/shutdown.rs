//! Graceful shutdown, and requests, signals and disconnects that arrive during it.

use crate::harness::*;
use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Waits until the gatekeeper accepts no more connections.
fn wait_until_listener_is_closed(node: &Node) {
    let started_at = Instant::now();
    while TcpStream::connect(node.at).is_ok() {
        assert!(started_at.elapsed() < TIMEOUT, "connections are still accepted");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A client disconnects during the shutdown: the process must not wait for an answer that no client will
/// read.
#[test]
fn shutdown_does_not_wait_when_client_disconnects() {
    for reset in [false, true] {
        let (worker, _discovery, mut node) = start_with_one_worker();
        let mut client = node.client();
        client.send(read_request(8000));
        let mut attempt = worker.accept();
        attempt.read_command();
        let started_at = Instant::now();
        node.signal("-TERM");
        node.wait_for_log(" stops");
        wait_until_listener_is_closed(&node);
        // Unread bytes precede the end of the stream.
        client.send(resp_command(&["PING"]));
        if reset {
            client.reset();
        } else {
            drop(client);
        }
        assert!(node.wait_for_exit().success());
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "the process waited for the worker: {:?}",
            started_at.elapsed()
        );
        assert!(attempt.is_closed());
    }
}

/// A connection on which there is always one more command must not keep the process alive, and every command
/// that reached a worker is answered.
#[test]
fn shutdown_closes_without_reset_when_client_keeps_sending() {
    let (worker, _discovery, mut node) = start_with_one_worker();
    let served = worker.serve_all("value");
    let mut client = node.client();
    client.send(read_request(8000));
    let started_at = Instant::now();
    let mut answers = 0;
    let mut is_signalled = false;
    loop {
        // The next command arrives before the last one is answered.
        let _ = std::io::Write::write_all(client.read.get_mut(), &read_request(8000));
        let mut head = [0; 1];
        match client.read.read(&mut head) {
            Ok(1) if head[0] == b'$' => {
                client.read_line();
                assert_eq!(client.read_line(), "value");
                answers += 1;
            }
            Ok(1) => assert_eq!(client.read_line(), "BUSY"),
            Ok(_) => break,
            Err(e) => panic!("connection failed with an answer pending: {e}"),
        }
        if answers > 20 && !std::mem::replace(&mut is_signalled, true) {
            node.signal("-TERM");
        }
        assert!(started_at.elapsed() < Duration::from_secs(10), "the connection was not closed");
    }
    assert!(node.wait_for_exit().success());
    assert_eq!(answers, served.load(Ordering::SeqCst), "every command that reached a worker is answered");
}

/// Fills the client table of a gatekeeper with 64 sockets with clients that each have a request in flight.
fn fill_client_table(node: &Node, worker: &TestListener) -> Vec<(TestConnection, TestConnection)> {
    (0..64 * 33 / 100).map(|_| start_request(node, worker)).collect()
}

/// Answers the requests in flight and checks that all connections and the process end without an error.
fn finish_requests_and_exit(pending: Vec<(TestConnection, TestConnection)>, mut node: Node) {
    for (mut client, mut conn) in pending {
        conn.send_value("held");
        assert_eq!(client.read_answer(), "held");
        assert!(client.is_closed_without_reset());
    }
    assert!(node.wait_for_exit().success());
}

/// The client table is full of clients with a request in flight, and others wait in the accept queue with
/// their commands when SIGTERM arrives. The kernel has accepted their connections, so they have to be
/// answered.
#[test]
fn clients_in_accept_queue_are_answered_when_shutdown_starts() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let pending = fill_client_table(&node, &worker);
    let mut queued: Vec<TestConnection> = (0..3).map(|_| node.client()).collect();
    for client in &mut queued {
        client.send(read_request(30_000));
    }
    node.signal("-TERM");
    node.wait_for_log(" stops");
    for _ in 0..3 {
        let mut conn = worker.accept();
        conn.read_command();
        conn.send_value("queued");
    }
    for mut client in queued {
        assert_eq!(client.read_answer(), "queued");
        assert!(client.is_closed_without_reset());
    }
    finish_requests_and_exit(pending, node);
}

/// Like the test above with a full accept queue (it holds 128), and with few descriptors left for it.
#[test]
fn all_clients_in_long_accept_queue_are_answered_when_shutdown_starts() {
    for (max_descriptors, queue_length) in [("1024", 128), ("64", 60)] {
        let worker = TestListener::bind();
        let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
        let setup = Setup {
            sockets: 64,
            shell: format!("ulimit -n {max_descriptors}; exec"),
            ..Setup::new(discovery.at)
        };
        let node = setup.start();
        let pending = fill_client_table(&node, &worker);
        let mut queued: Vec<TestConnection> = (0..queue_length).map(|_| node.client()).collect();
        for client in &mut queued {
            client.send(resp_command(&["PING"]));
        }
        node.signal("-TERM");
        node.wait_for_log(" stops");
        for (index, client) in queued.iter_mut().enumerate() {
            assert_eq!(
                client.read_answer(),
                "+PONG",
                "{index} of {queue_length} with {max_descriptors} descriptors"
            );
            assert!(
                client.is_closed_without_reset(),
                "{index} of {queue_length} with {max_descriptors} descriptors"
            );
        }
        drop(queued);
        finish_requests_and_exit(pending, node);
    }
}

/// A command is unread behind one that is answered only when no more requests are started: it has to be
/// refused, not dropped.
#[test]
fn pending_command_is_refused_when_shutdown_starts_no_more_requests() {
    let (worker, _discovery, mut node) = start_with_one_worker();
    let (mut client, mut incomplete) = (node.client(), node.client());
    client.send(read_request(30_000));
    let mut conn = worker.accept();
    conn.read_command();
    incomplete.send("*1\r\n");
    node.wait_until_input_is_processed();
    node.signal("-TERM");
    node.wait_for_log(" stops");
    // A client with an incomplete command is closed once no more requests are started.
    assert!(incomplete.is_closed_without_reset());
    client.send(read_request(30_000));
    client.wait_until_acknowledged();
    conn.send_value("served");
    assert_eq!(client.read_answer(), "served");
    assert_eq!(client.read_answer(), "-BUSY");
    assert!(client.is_closed_without_reset());
    assert!(worker.has_no_connection() && !conn.has_data(), "a request was started");
    drop(client);
    assert!(node.wait_for_exit().success());
}

#[test]
fn shutdown_continues_when_further_signals_arrive() {
    let (worker, _discovery, mut node) = start_with_one_worker();
    let mut client = node.client();
    client.send(read_request(8000));
    let mut attempt = worker.accept();
    attempt.read_command();
    node.signal("-TERM");
    node.wait_for_log(" stops");
    for signal in ["-TERM", "-HUP", "-INT", "-TERM"] {
        node.signal(signal);
    }
    wait_until_listener_is_closed(&node);
    node.signal("-HUP");
    attempt.send_value("served");
    assert_eq!(client.read_answer(), "served");
    assert!(client.is_closed_without_reset());
    drop(client);
    assert!(node.wait_for_exit().success());
}

#[test]
fn process_exits_successfully_when_sigterm_comes_before_first_list() {
    let silent = TestListener::bind();
    let mut node = spawn(&Setup::new(silent.at).config(), "exec");
    // The process listens and waits for the list.
    let _list_request = silent.accept();
    node.signal("-TERM");
    node.wait_for_log(" stops");
    assert!(node.wait_for_exit().success());
    assert!(!node.log.lock().expect("an unpoisoned lock").iter().any(|line| line.contains(" serves at ")));
}
