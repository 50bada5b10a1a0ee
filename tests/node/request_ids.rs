//! Request ids that come again: what may have run is not run again, and what a client that has left had sent is
//! not begun.

use crate::harness::*;
use std::thread;
use std::time::{Duration, Instant};

/// How long the clients wait.
const WAIT_MS: u32 = 1000;

/// How a request ends before its id comes again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The client leaves, and then the worker answers.
    ClientLeaves,
    Served,
    /// The worker reports that it failed.
    Error,
    /// The connection to the worker breaks.
    Reset,
}

/// Runs a request to its end. Returns the connection to the worker that may be used again.
fn run_to_end(node: &Node, worker: &TestListener, command: &[u8], end: End) -> Option<TestConnection> {
    let mut client = node.client();
    client.send(command);
    let mut attempt = worker.accept();
    attempt.read_command();
    match end {
        End::ClientLeaves => {
            node.disconnect_client(client, drop);
            node.wait_until_input_is_processed();
            attempt.send_value("unheard");
        }
        End::Served => {
            attempt.send_value("served");
            assert_eq!(client.read_answer(), "served");
        }
        End::Error => {
            attempt.send("-ERR failed\r\n");
            assert_eq!(client.read_answer(), "-ERR failed");
        }
        End::Reset => {
            attempt.reset();
            assert_eq!(client.read_answer(), "-ERR failed");
            return None;
        }
    }
    attempt.wait_until_read();
    thread::sleep(REUSE_DELAY);
    node.wait_until_input_is_processed();
    Some(attempt)
}

#[test]
fn id_does_not_run_again_when_it_comes_again_after_its_request_may_have_run() {
    let ends = [End::ClientLeaves, End::Served, End::Error, End::Reset];
    let mut cases: Vec<(&str, End)> =
        ["pay", "order"].iter().flat_map(|class| ends.map(|end| (*class, end))).collect();
    cases.push(("read", End::ClientLeaves));
    for (class, end) in cases {
        let (worker, _discovery, node) = start_with_one_worker();
        let id = new_request_id();
        let command = match class {
            "read" => read_request_with_id(&id, WAIT_MS),
            _ => write_request_with_id(&id, class, WAIT_MS),
        };
        let earlier = run_to_end(&node, &worker, &command, end);
        let mut again = node.client();
        again.send(&command);
        let answer = again.read_answer_or_end().expect("an answer");
        assert!(answer.starts_with("-ERR "), "{class} {end:?}: {answer}");
        let is_sent_again = earlier.is_some_and(|mut conn| conn.has_data()) || !worker.has_no_connection();
        assert!(!is_sent_again, "{class} {end:?}: the id came to the worker again");
    }
}

#[test]
fn id_may_come_again_when_its_request_surely_never_ran() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    let command = write_request("pay", 8000);
    client.send(&command);
    let mut attempt = worker.accept();
    attempt.read_command();
    attempt.send("-BUSY\r\n");
    assert!(client.read_answer().starts_with("-BUSY"));
    thread::sleep(REUSE_DELAY);
    client.send(&command);
    let started_at = Instant::now();
    while !attempt.has_data() {
        assert!(started_at.elapsed() < TIMEOUT, "the id is not sent again");
        // The throttle may refuse some requests after one was turned away.
        if client.has_data() {
            assert!(client.read_answer().starts_with("-BUSY"));
            client.send(&command);
        }
    }
    attempt.read_command();
    attempt.send_value("served");
    assert_eq!(client.read_answer(), "served");
}

/// Number of commands that a client sends before it leaves; more than one connection may have in flight.
const COMMANDS: usize = 3000;
/// An attempt that begins later than this after its client has left counts as lost.
const MAX_START_DELAY: Duration = Duration::from_millis(100);

#[test]
fn commands_of_a_client_that_left_with_much_unread_are_not_begun_later() {
    for class in ["read", "order", "pay"] {
        let (worker, _discovery, node) = start_with_one_worker();
        let begun = worker.serve_all_with_times();
        let mut client = node.client();
        let commands: Vec<u8> = (0..COMMANDS)
            .flat_map(|_| if class == "read" { read_request(5000) } else { write_request(class, 5000) })
            .collect();
        client.send(commands);
        let left_at = Instant::now();
        drop(client);
        thread::sleep(Duration::from_secs(1));
        let begun = begun.lock().expect("an unpoisoned lock");
        let late = begun.iter().filter(|at| **at > left_at + MAX_START_DELAY).count();
        assert_eq!(late, 0, "{class}: of {} attempts", begun.len());
    }
}
