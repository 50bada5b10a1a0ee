//! A gatekeeper process that is stopped while requests arrive: the deadlines of their clients go on.

use crate::harness::*;
use std::thread;
use std::time::{Duration, Instant};

/// A final answer that comes more than this after the client's deadline counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The wait that a command states to a worker may exceed the client's remaining time by at most this.
const WAIT_TOLERANCE: Duration = Duration::from_millis(150);
/// How long the process is stopped.
const STALL_TIME: Duration = Duration::from_millis(600);

/// State of the client's connection while the process is stopped.
#[derive(Clone, Copy, Debug)]
enum ClientConnection {
    Accepted,
    InAcceptQueue,
}

const CONNECTIONS: [ClientConnection; 2] = [ClientConnection::Accepted, ClientConnection::InAcceptQueue];

/// Sends a request while the process is stopped; returns the client and the time of sending.
fn send_during_stall(
    node: &Node,
    worker: &TestListener,
    connection: ClientConnection,
    wait: Duration,
) -> (TestConnection, Instant) {
    let accepted = match connection {
        ClientConnection::Accepted => {
            let (mut client, mut conn) = start_request(node, worker);
            conn.send_value("first");
            assert_eq!(client.read_answer(), "first");
            Some(client)
        }
        ClientConnection::InAcceptQueue => None,
    };
    node.freeze();
    let mut client = accepted.unwrap_or_else(|| node.client());
    let sent_at = Instant::now();
    client.send(read_request(wait.as_millis() as u32));
    client.wait_until_acknowledged();
    thread::sleep(STALL_TIME);
    node.thaw();
    (client, sent_at)
}

#[test]
fn worker_deadline_excludes_time_that_request_was_unread() {
    let wait = Duration::from_secs(5);
    for connection in CONNECTIONS {
        let (worker, _discovery, node) = start_with_one_worker();
        let (mut client, sent_at) = send_during_stall(&node, &worker, connection, wait);
        let mut conn = worker.accept();
        let command = conn.read_command();
        let remaining = wait.saturating_sub(sent_at.elapsed());
        let stated = command[3].split(',').find_map(|field| field.strip_prefix("d=")).expect("d");
        let stated = Duration::from_millis(stated.parse().expect("a number"));
        assert!(
            stated <= remaining + WAIT_TOLERANCE,
            "{connection:?}: {stated:?} stated, {remaining:?} remain"
        );
        conn.send_value("served");
        assert_eq!(client.read_answer(), "served");
    }
}

#[test]
fn request_is_answered_in_time_when_process_was_stopped() {
    let wait = Duration::from_millis(700);
    for connection in CONNECTIONS {
        let (worker, _discovery, node) = start_with_one_worker();
        let (mut client, sent_at) = send_during_stall(&node, &worker, connection, wait);
        client.read_answer();
        assert!(sent_at.elapsed() < wait + ANSWER_GRACE, "{connection:?}: {:?}", sent_at.elapsed());
    }
}
