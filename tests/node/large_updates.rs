//! Endpoint updates of thousands of servers that coincide with requests near their deadline, reloads,
//! shutdown or other updates.

use crate::discovery::{start_with_manual_discovery, wait_until_serving};
use crate::harness::*;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Number of servers in a large update.
const SERVER_COUNT: u16 = 3200;
/// A final answer that comes more than this after the client's deadline counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum size of a list that the gatekeeper reads.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Entries of unreachable servers, each draining and with this start time.
fn draining_servers(boot_ms: u64) -> Vec<String> {
    let at = |k: u16| SocketAddr::from(([127, 1, (k >> 8) as u8, k as u8], 1));
    (0..SERVER_COUNT).map(|k| target(&format!("o-{k}"), at(k), "draining", boot_ms)).collect()
}

/// A large update with `more_entries` besides.
fn large_list(version: u64, all: bool, boot_ms: u64, more_entries: &[String]) -> String {
    list(version, all, &[&draining_servers(boot_ms)[..], more_entries].concat())
}

/// Waits until all that was sent on this watch is in effect: a malformed line ends the watch, and the list is
/// requested again.
fn wait_until_applied(discovery: &TestListener, watch: &mut TestConnection) -> TestConnection {
    push(watch.read.get_mut(), "{nonsense");
    let mut next = discovery.accept();
    next.read_http_request();
    next
}

#[test]
fn requests_near_deadline_get_answers_when_thousands_of_servers_change() {
    const REQUESTS: usize = 200;
    let wait = Duration::from_millis(400);
    let worker = TestListener::bind();
    let ready = [target("s-1", worker.at, "ready", 0)];
    let (_discovery, mut node, mut watch) = start_with_manual_discovery(&large_list(1, true, 1, &ready));
    wait_until_serving(&mut node);
    let update = large_list(2, true, 2, &ready);
    let mut clients: Vec<TestConnection> = (0..REQUESTS).map(|_| node.client()).collect();
    let sent_at = Instant::now();
    clients.iter_mut().for_each(|client| client.send(read_request(wait.as_millis() as u32)));
    thread::sleep((wait - Duration::from_millis(20)).saturating_sub(sent_at.elapsed()));
    push(watch.read.get_mut(), &update);
    for client in &mut clients {
        client.read_answer();
        assert!(sent_at.elapsed() < wait + ANSWER_GRACE, "{:?}", sent_at.elapsed());
    }
}

#[test]
fn update_being_parsed_is_dropped_when_reload_changes_discovery() {
    for round in 0..5 {
        let (old, new) = (TestListener::bind(), TestListener::bind());
        let (_old_discovery, mut node, mut watch) =
            start_with_manual_discovery(&large_list(1, true, 1, &[target("s-1", old.at, "ready", 0)]));
        wait_until_serving(&mut node);
        let new_discovery = Discovery::with(list(1, true, &[target("s-2", new.at, "ready", 0)]));
        push(watch.read.get_mut(), &large_list(7, true, 2, &[target("s-3", old.at, "ready", 0)]));
        thread::sleep(Duration::from_millis(round));
        node.reload(&Setup::new(new_discovery.at).config());
        let _watch = new_discovery.watch();
        assert_request_goes_to(&node, &new);
        assert!(old.has_no_connection(), "round {round}");
    }
}

#[test]
fn list_is_ignored_when_newer_update_was_applied_first() {
    let (old, new) = (TestListener::bind(), TestListener::bind());
    let first = large_list(1, true, 1, &[target("s-1", old.at, "ready", 0)]);
    let (discovery, mut node, mut watch) = start_with_manual_discovery(&first);
    wait_until_serving(&mut node);
    // The watch is silent, and the list that is requested then arrives in two halves.
    let mut overtaken_call = discovery.accept();
    overtaken_call.read_http_request();
    let (first_half, second_half) = first.split_at(first.len() / 2);
    overtaken_call.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{first_half}", first.len()));
    push(watch.read.get_mut(), &large_list(2, true, 2, &[target("s-2", new.at, "ready", 0)]));
    let _next = wait_until_applied(&discovery, &mut watch);
    // The gatekeeper may have closed the call already.
    let _ = overtaken_call.read.get_mut().write_all(second_half.as_bytes());
    node.wait_until_input_is_processed();
    assert_request_goes_to(&node, &new);
    assert!(old.has_no_connection());
}

#[test]
fn server_gets_address_of_another_when_large_update_moves_it() {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let before = [target("s-1", a.at, "ready", 0), target("s-2", b.at, "draining", 0)];
    let (discovery, mut node, mut watch) = start_with_manual_discovery(&large_list(1, true, 1, &before));
    wait_until_serving(&mut node);
    assert_request_goes_to(&node, &a);
    // Sent as changes: the former owner of the address is not named.
    push(watch.read.get_mut(), &large_list(2, false, 2, &[target("s-3", a.at, "draining", 5)]));
    push(watch.read.get_mut(), &large_list(3, false, 3, &[target("s-1", b.at, "draining", 0)]));
    push(watch.read.get_mut(), &large_list(4, false, 4, &[target("s-3", a.at, "ready", 6)]));
    let _next = wait_until_applied(&discovery, &mut watch);
    assert_request_goes_to(&node, &a);
    assert!(b.has_no_connection());
}

#[test]
fn request_in_flight_is_answered_when_large_update_comes_during_shutdown() {
    let worker = TestListener::bind();
    let ready = [target("s-1", worker.at, "ready", 0)];
    let (_discovery, mut node, mut watch) = start_with_manual_discovery(&large_list(1, true, 1, &ready));
    wait_until_serving(&mut node);
    let (mut client, mut conn) = start_request(&node, &worker);
    node.signal("-TERM");
    push(watch.read.get_mut(), &large_list(2, true, 2, &[target("s-1", worker.at, "draining", 0)]));
    thread::sleep(Duration::from_millis(100));
    conn.send_value("served");
    assert_eq!(client.read_answer(), "served");
    assert!(node.wait_for_exit().success());
}

#[test]
fn list_in_use_stays_when_new_list_exceeds_size_limit() {
    let (old, new) = (TestListener::bind(), TestListener::bind());
    let (discovery, mut node, watch) =
        start_with_manual_discovery(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    wait_until_serving(&mut node);
    drop(watch);
    let mut conn = discovery.accept();
    conn.read_http_request();
    let oversized = list(2, true, &[target("s-2", new.at, "ready", 0)]) + &" ".repeat(MAX_LIST_BYTES);
    // The gatekeeper may close the call before all is written.
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{oversized}", oversized.len());
    let _ = conn.read.get_mut().write_all(answer.as_bytes());
    let mut next = discovery.accept();
    next.read_http_request();
    assert_request_goes_to(&node, &old);
    next.send_list(&list(3, true, &[target("s-2", new.at, "ready", 0)]));
    assert!(next.read_http_request().contains("index=3"));
    assert_request_goes_to(&node, &new);
}
