//! Endpoint updates of thousands of servers that meet something else: requests near their time, reloads, the end, each other.

use crate::discovery::{by_hand, serving};
use crate::rig::*;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Servers in a large update.
const MANY: u16 = 3200;
/// A final answer that comes later than this after its client's time is lost.
const GRACE: Duration = Duration::from_millis(500);
/// The longest list that is read.
const LIST_MOST_BYTES: usize = 4 << 20;

/// Lines of servers that nobody reaches, each draining and with this start.
fn others(boot_ms: u64) -> Vec<String> {
    let at = |k: u16| SocketAddr::from(([127, 1, (k >> 8) as u8, k as u8], 1));
    (0..MANY).map(|k| target(&format!("o-{k}"), at(k), "draining", boot_ms)).collect()
}

/// A large update that says this besides.
fn large(version: u64, all: bool, boot_ms: u64, besides: &[String]) -> String {
    list(version, all, &[&others(boot_ms)[..], besides].concat())
}

/// Returns once all that was told on this watch is in effect: what follows can't be read, and the list is asked for anew.
fn in_effect(discovery: &Door, watch: &mut Line) -> Line {
    push(watch.read.get_mut(), "{nonsense");
    let mut next = discovery.next();
    next.call();
    next
}

#[test]
fn requests_near_their_time_are_answered_while_thousands_of_servers_change() {
    const REQUESTS: usize = 200;
    let wait = Duration::from_millis(400);
    let worker = Door::open();
    let ready = [target("s-1", worker.at, "ready", 0)];
    let (_discovery, mut node, mut watch) = by_hand(&large(1, true, 1, &ready));
    serving(&mut node);
    let update = large(2, true, 2, &ready);
    let mut clients: Vec<Line> = (0..REQUESTS).map(|_| node.client()).collect();
    let sent = Instant::now();
    clients.iter_mut().for_each(|client| client.say(ask(wait.as_millis() as u32)));
    thread::sleep((wait - Duration::from_millis(20)).saturating_sub(sent.elapsed()));
    push(watch.read.get_mut(), &update);
    for client in &mut clients {
        client.answer();
        assert!(sent.elapsed() < wait + GRACE, "{:?}", sent.elapsed());
    }
}

#[test]
fn an_update_that_is_being_read_at_a_reload_does_not_come_after_the_new_discovery() {
    for round in 0..5 {
        let (old, new) = (Door::open(), Door::open());
        let (_before, mut node, mut watch) =
            by_hand(&large(1, true, 1, &[target("s-1", old.at, "ready", 0)]));
        serving(&mut node);
        let after = Discovery::with(list(1, true, &[target("s-2", new.at, "ready", 0)]));
        push(watch.read.get_mut(), &large(7, true, 2, &[target("s-3", old.at, "ready", 0)]));
        thread::sleep(Duration::from_millis(round));
        node.reload(&Setup::new(after.at).config());
        let _watch = after.watch();
        goes_to(&node, &new);
        assert!(old.nobody(), "round {round}");
    }
}

#[test]
fn a_list_that_another_call_has_overtaken_changes_nothing() {
    let (old, new) = (Door::open(), Door::open());
    let first = large(1, true, 1, &[target("s-1", old.at, "ready", 0)]);
    let (discovery, mut node, mut watch) = by_hand(&first);
    serving(&mut node);
    // The watch is silent, and the list that is asked for then comes in two halves.
    let mut late = discovery.next();
    late.call();
    let (one, two) = first.split_at(first.len() / 2);
    late.say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{one}", first.len()));
    push(watch.read.get_mut(), &large(2, true, 2, &[target("s-2", new.at, "ready", 0)]));
    let _next = in_effect(&discovery, &mut watch);
    // It may have been closed by now.
    let _ = late.read.get_mut().write_all(two.as_bytes());
    node.settled();
    goes_to(&node, &new);
    assert!(old.nobody());
}

#[test]
fn a_server_that_takes_anothers_address_within_a_large_update_has_it() {
    let (a, b) = (Door::open(), Door::open());
    let before = [target("s-1", a.at, "ready", 0), target("s-2", b.at, "draining", 0)];
    let (discovery, mut node, mut watch) = by_hand(&large(1, true, 1, &before));
    serving(&mut node);
    goes_to(&node, &a);
    // Told as changes: the former owner is not named.
    push(watch.read.get_mut(), &large(2, false, 2, &[target("s-3", a.at, "draining", 5)]));
    push(watch.read.get_mut(), &large(3, false, 3, &[target("s-1", b.at, "draining", 0)]));
    push(watch.read.get_mut(), &large(4, false, 4, &[target("s-3", a.at, "ready", 6)]));
    let _next = in_effect(&discovery, &mut watch);
    goes_to(&node, &a);
    assert!(b.nobody());
}

#[test]
fn a_large_update_during_the_shutdown_leaves_what_is_out_its_answer() {
    let worker = Door::open();
    let ready = [target("s-1", worker.at, "ready", 0)];
    let (_discovery, mut node, mut watch) = by_hand(&large(1, true, 1, &ready));
    serving(&mut node);
    let (mut client, mut line) = hold(&node, &worker);
    node.signal("-TERM");
    push(watch.read.get_mut(), &large(2, true, 2, &[target("s-1", worker.at, "draining", 0)]));
    thread::sleep(Duration::from_millis(100));
    line.serve("served");
    assert_eq!(client.answer(), "served");
    assert!(node.exit().success());
}

#[test]
fn a_list_beyond_the_longest_leaves_the_old_one_in_effect() {
    let (old, new) = (Door::open(), Door::open());
    let (discovery, mut node, watch) = by_hand(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    serving(&mut node);
    drop(watch);
    let mut line = discovery.next();
    line.call();
    let endless = list(2, true, &[target("s-2", new.at, "ready", 0)]) + &" ".repeat(LIST_MOST_BYTES);
    // It may be ended before all is written.
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{endless}", endless.len());
    let _ = line.read.get_mut().write_all(answer.as_bytes());
    let mut next = discovery.next();
    next.call();
    goes_to(&node, &old);
    next.give(&list(3, true, &[target("s-2", new.at, "ready", 0)]));
    assert!(next.call().contains("index=3"));
    goes_to(&node, &new);
}
