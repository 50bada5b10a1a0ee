//! A process that stands still while requests come in: their clients' time runs on.

use crate::rig::*;
use std::thread;
use std::time::{Duration, Instant};

/// A final answer that comes later than this after its client's time is lost.
const GRACE: Duration = Duration::from_millis(500);
/// An attempt may tell its server so much more than is left to the client.
const SLACK: Duration = Duration::from_millis(150);
/// How long the process stands still.
const STALL: Duration = Duration::from_millis(600);

/// Where the client's connection is when the process stands still.
#[derive(Clone, Copy, Debug)]
enum Connection {
    Used,
    InTheListenersQueue,
}

const CONNECTIONS: [Connection; 2] = [Connection::Used, Connection::InTheListenersQueue];

/// A client that sends this request while the process stands still, and when it did.
fn asks_during_a_stall(
    node: &Node,
    worker: &Door,
    connection: Connection,
    wait: Duration,
) -> (Line, Instant) {
    let used = match connection {
        Connection::Used => {
            let (mut client, mut line) = hold(node, worker);
            line.serve("first");
            assert_eq!(client.answer(), "first");
            Some(client)
        }
        Connection::InTheListenersQueue => None,
    };
    node.freeze();
    let mut client = used.unwrap_or_else(|| node.client());
    let sent = Instant::now();
    client.say(ask(wait.as_millis() as u32));
    client.arrived();
    thread::sleep(STALL);
    node.thaw();
    (client, sent)
}

#[test]
fn a_server_is_not_told_the_time_that_a_request_stood_unread() {
    let wait = Duration::from_secs(5);
    for connection in CONNECTIONS {
        let (worker, _discovery, node) = one_worker();
        let (mut client, sent) = asks_during_a_stall(&node, &worker, connection, wait);
        let mut line = worker.next();
        let command = line.command();
        let left = wait.saturating_sub(sent.elapsed());
        let told = command[3].split(',').find_map(|field| field.strip_prefix("d=")).expect("d");
        let told = Duration::from_millis(told.parse().expect("a number"));
        assert!(told <= left + SLACK, "{connection:?}: told {told:?}, {left:?} left");
        line.serve("served");
        assert_eq!(client.answer(), "served");
    }
}

#[test]
fn a_request_that_stood_unread_has_its_answer_in_its_clients_time() {
    let wait = Duration::from_millis(700);
    for connection in CONNECTIONS {
        let (worker, _discovery, node) = one_worker();
        let (mut client, sent) = asks_during_a_stall(&node, &worker, connection, wait);
        client.answer();
        assert!(sent.elapsed() < wait + GRACE, "{connection:?}: {:?}", sent.elapsed());
    }
}
