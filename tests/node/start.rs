//! Before the first endpoint list: what comes from the moment that the kernel takes connections.

use crate::rig::*;
use std::thread;
use std::time::{Duration, Instant};

/// A final answer that comes later than this after its client's time is lost.
const GRACE: Duration = Duration::from_millis(500);
/// An attempt may tell its server so much more than is left to the client.
const SLACK_MS: u128 = 150;

/// A gatekeeper before its first list, and a client that connected as soon as it listened.
fn starting(discovery: &Door) -> (Node, Line) {
    let at = free_port();
    let config = Setup::new(discovery.at).config().replace("127.0.0.1:0", &at.to_string());
    let mut node = spawn(&config, "exec");
    node.at = at;
    (node, Line::of(connect_early(at)))
}

#[test]
fn a_request_while_discovery_is_silent_at_the_start_has_its_answer_in_time() {
    let silent = Door::open();
    let (_node, mut client) = starting(&silent);
    let sent = Instant::now();
    client.say(ask(300));
    assert!(client.answer().starts_with("-BUSY"));
    let bound = Duration::from_millis(300) + GRACE;
    assert!(sent.elapsed() < bound, "{:?}", sent.elapsed());
}

#[test]
fn the_time_before_the_first_list_is_not_told_to_a_server_again() {
    let (discovery, worker) = (Door::open(), Door::open());
    let (_node, mut client) = starting(&discovery);
    let sent = Instant::now();
    client.say(ask(5000));
    client.arrived();
    let mut line = discovery.next();
    line.call();
    thread::sleep(Duration::from_millis(500));
    line.give(&list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let mut out = worker.next();
    let command = out.command();
    let left = 5000 - sent.elapsed().as_millis().min(5000);
    let told = command[3].split(',').find_map(|field| field.strip_prefix("d=")).expect("d");
    let told: u128 = told.parse().expect("a number");
    assert!(told <= left + SLACK_MS, "told {told}, {left} left");
    out.serve("first");
    assert_eq!(client.answer(), "first");
}

#[test]
fn a_gatekeeper_answers_a_ping_once_it_serves() {
    let (discovery, worker) = (Door::open(), Door::open());
    let (node, mut client) = starting(&discovery);
    client.say([words(&["PING"]), words(&["PING", "x"])].concat());
    let mut line = discovery.next();
    line.call();
    thread::sleep(Duration::from_millis(200));
    assert!(!client.speaks(), "it has no list yet");
    line.give(&list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    assert_eq!([client.answer(), client.answer()], ["+PONG", "x"]);
    node.says(" serves at ");
}

#[test]
fn who_waits_for_the_first_list_when_the_process_stops_is_answered() {
    let silent = Door::open();
    let (mut node, mut client) = starting(&silent);
    client.say([ask(3000), words(&["PING"])].concat());
    client.accepted();
    node.signal("-TERM");
    assert!(client.answer().starts_with("-BUSY"));
    assert_eq!(client.answer(), "+PONG");
    assert!(client.ended_in_order());
    assert!(node.exit().success());
}
