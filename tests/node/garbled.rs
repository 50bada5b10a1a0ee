//! Bytes in pieces, floods, answers without an end and spoilt lists: what they came on pays for them alone.

use crate::rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Writes it a byte at a time, each in a segment of its own.
fn in_bytes(stream: &mut TcpStream, text: &[u8]) {
    stream.set_nodelay(true).expect("a socket");
    for byte in text {
        stream.write_all(&[*byte]).expect("written");
    }
}

#[test]
fn a_command_and_its_answer_in_single_bytes_are_read() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    in_bytes(client.read.get_mut(), &[order("pay", 30_000), words(&["PING"])].concat());
    let mut line = worker.next();
    assert_eq!(line.command()[0], "Q.DO");
    in_bytes(line.read.get_mut(), b"*3\r\n$4\r\ndone\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n");
    assert_eq!(client.answer(), "done");
    assert_eq!(client.answer(), "+PONG");
}

/// Much at once, more than is read at one stroke, and gone: nothing is begun for it, and another client is served as ever.
#[test]
fn a_flood_that_is_followed_by_a_close_hurts_nobody_else() {
    let (worker, _discovery, node) = one_worker();
    let count = worker.serves_all("on");
    let mut gone = node.client();
    gone.say(words(&["PING"]));
    assert_eq!(gone.answer(), "+PONG");
    node.freeze();
    gone.say((0..300).flat_map(|_| ask(30_000)).collect::<Vec<u8>>());
    node.left_by(gone, drop);
    node.thaw();
    node.settled();
    assert_eq!(count.load(Ordering::SeqCst), 0, "nothing is begun for who has left");
    let mut client = node.client();
    let served = (0..50).any(|_| {
        client.say(ask(30_000));
        client.answer() == "on"
    });
    assert!(served, "nobody is served any more");
    let log = node.log.lock().expect("whole").clone();
    assert!(log.len() < 5, "{log:?}");
}

/// A client of its own is served, on a new connection or one at rest.
fn goes_on(node: &Node, worker: &Door) {
    let mut client = node.client();
    for _ in 0..50 {
        client.say(ask(30_000));
        // The throttle may refuse some by lot where others have just failed.
        if let Some(mut line) = worker.within(&mut client, LONG) {
            line.command();
            line.serve("on");
            assert_eq!(client.answer(), "on");
            return;
        }
        assert!(client.answer().starts_with("-BUSY"));
    }
    panic!("nobody is served any more");
}

/// An answer that never ends, a byte at a time or without a line's end: its request gets its answer in its own time, and the
/// connection is given up.
#[test]
fn an_answer_that_never_ends_costs_its_request_alone() {
    for head in ["*3\r\n$60000\r\n", "-", "*"] {
        let (worker, _discovery, node) = one_worker();
        let mut client = node.client();
        client.say(order("pay", 700));
        let mut line = worker.next();
        line.command();
        let mut stream = line.read.get_ref().try_clone().expect("a socket");
        let drip = thread::spawn(move || {
            let _ = stream.write_all(head.as_bytes());
            while stream.write_all(b"1").is_ok() {
                thread::sleep(Duration::from_millis(5));
            }
        });
        assert_eq!(client.answer(), "-ERR failed", "{head:?}");
        drip.join().expect("the connection is given up");
        goes_on(&node, &worker);
    }
}

/// Lists that are cut off, no JSON, or hold what can't be read: the call fails or the line is passed over, and what stood before
/// goes on. Of a server that stands twice the later line counts.
#[test]
fn spoilt_lists_cost_their_call_or_their_line() {
    let (old, new) = (Door::open(), Door::open());
    let before = target("s-1", old.at, "ready", 0);
    let discovery = Door::open();
    let mut node = spawn(&Setup::new(discovery.at).config(), "exec");
    let mut line = discovery.next();
    line.call();
    line.give(&list(1, true, &[before]));
    line.call();
    node.at = node.says(" serves at ").rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    let whole = list(3, true, &[target("s-2", new.at, "ready", 0)]);
    line.open_watch();
    drop(line);
    for spoilt in ["{", "[]", "{\"rev\":\"x\",\"targets\":[]}", "\u{0}", &whole[..whole.len() - 3]] {
        let mut line = discovery.next();
        line.call();
        line.give(spoilt);
        goes_on(&node, &old);
    }
    let mut line = discovery.next();
    line.call();
    line.say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", whole.len(), &whole[..20]));
    drop(line);
    let mut line = discovery.next();
    line.call();
    let odd = r#"{"uid":"s-9","endpoint":"nowhere","pod_group":0,"state":"ready"},{"uid":7},null"#;
    let (twice, once) = (target("s-2", old.at, "draining", 0), target("s-2", new.at, "ready", 0));
    line.give(&format!(r#"{{"rev":3,"all":true,"targets":[{odd},{twice},{once}]}}"#));
    assert!(line.call().contains("index=3"));
    goes_on(&node, &new);
    assert!(old.nobody());
    let log = node.log.lock().expect("whole").clone();
    assert!(log.iter().filter(|line| line.contains("discovery at")).count() < 4, "{log:?}");
}
