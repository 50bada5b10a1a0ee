//! Attempts that are given up, and connections to workers that come up late: what reaches the worker after that.

use crate::rig::*;
use crate::sockets::connecting;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// For so long the settings have repeats of the class `brief` dropped.
const WINDOW: Duration = Duration::from_millis(600);

/// A worker that takes in a few kB and then nothing, so that the rest of a command stands on the gatekeeper's side: in its
/// kernel, about 20 kB, and what is more in the gatekeeper itself.
fn slow_worker() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.set_tcp_mss(536).expect("small segments");
    socket.set_recv_buffer_size(2304).expect("a small buffer");
    socket.bind(&any.into()).and_then(|()| socket.listen(8)).expect("listening");
    socket.into()
}

/// All that comes on a connection until it ends, and whether it ends in order.
fn all_of(mut stream: TcpStream) -> (Vec<u8>, bool) {
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    let mut all = Vec::new();
    let mut some = [0; 4096];
    loop {
        match stream.read(&mut some) {
            Ok(0) => return (all, true),
            Ok(n) => all.extend_from_slice(&some[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (all, false),
            Err(e) => panic!("{e}"),
        }
    }
}

/// A request whose command is this long.
fn long_ask(wait: u32, bytes: usize) -> Vec<u8> {
    let fields = format!("c=read,t=p,d={wait},units=1,spread=1,first=0");
    words(&["Q.ASK", "00000000b4d65521", ID, &fields, &"x".repeat(bytes)])
}

/// The client leaves while its command is half written: the worker never gets the rest of it.
#[test]
fn a_command_half_written_when_its_client_leaves_is_never_whole() {
    let worker = slow_worker();
    let discovery =
        Discovery::with(list(1, true, &[target("s-1", worker.local_addr().expect("bound"), "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut client = node.client();
    client.say(long_ask(8000, 60_000));
    let (stream, _) = worker.accept().expect("a connection");
    node.settled();
    node.left_by(client, drop);
    node.settled();
    let (all, _) = all_of(stream);
    assert!(all.len() < 60_000, "{} bytes", all.len());
}

/// Its time ends while the kernel still holds some of the command: what is given up does not arrive afterwards.
#[test]
fn a_command_that_the_kernel_still_holds_when_it_is_given_up_is_never_whole() {
    let worker = slow_worker();
    let discovery =
        Discovery::with(list(1, true, &[target("s-1", worker.local_addr().expect("bound"), "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut client = node.client();
    client.say(long_ask(600, 12_000));
    let (stream, _) = worker.accept().expect("a connection");
    assert_eq!(client.answer(), "-BUSY");
    node.settled();
    let (all, in_order) = all_of(stream);
    assert!(!in_order && all.len() < 12_000, "{} bytes", all.len());
}

/// A repeat of a keyed request whose connection comes up only after the window in which repeats are dropped is not sent.
#[test]
fn a_keyed_repeat_on_a_connection_that_comes_up_late_is_not_sent() {
    let (late, at, filler) = full_listener();
    let first = Door::open();
    let both = [target("s-1", first.at, "ready", 0), target("s-2", at, "ready", 0)];
    let discovery = Discovery::with(list(1, true, &both[..1]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.say(order("brief", 8000));
    let begun = Instant::now();
    let mut line = first.next();
    line.command();
    discovery.tell(watch, &list(2, false, &both), &list(2, true, &both));
    // It may have run: the repeat has to reach the other one while that still knows of it.
    drop(line);
    thread::spawn(move || {
        thread::sleep(WINDOW.saturating_sub(begun.elapsed()) + Duration::from_millis(50));
        drop(late.accept());
        if let Ok((stream, _)) = late.accept() {
            let mut line = Line::of(stream);
            line.command();
            line.serve("twice");
        }
    });
    assert_eq!(client.answer(), "-ERR failed");
    drop(filler);
}

/// What a whole list does not name is gone at once, also where it still answers: what rests there is closed and what is being
/// connected is not used. Named again it is as before.
#[test]
fn what_a_whole_list_leaves_out_gets_nothing_more() {
    let (left_out, other) = (Door::open(), Door::open());
    let discovery = Discovery::with(list(1, true, &[target("s-1", left_out.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = left_out.next();
    line.command();
    line.serve("a");
    assert_eq!(client.answer(), "a");
    let mut busy = node.client();
    busy.say(ask(5000));
    let mut out = left_out.next_or(&mut line);
    out.command();
    let whole = list(2, true, &[target("s-2", other.at, "ready", 0)]);
    let watch = discovery.tell(watch, &whole, &whole);
    out.serve("still answered");
    assert_eq!(busy.answer(), "still answered");
    assert!(out.ended(), "and not kept");
    for _ in 0..5 {
        client.say(ask(5000));
    }
    for _ in 0..5 {
        let mut line = other.next();
        line.command();
        line.serve("b");
        assert_eq!(client.answer(), "b");
    }
    assert!(left_out.nobody());
    let whole = list(3, true, &[target("s-1", left_out.at, "ready", 0)]);
    discovery.tell(watch, &whole, &whole);
    client.say(ask(5000));
    let mut line = left_out.next();
    line.command();
    line.serve("back");
    assert_eq!(client.answer(), "back");
}

/// On a connection at rest comes half a line, a second answer or another's, and the process has not heard of it when the next
/// request comes: that one goes out on another connection and gets its own answer.
#[test]
fn what_comes_on_a_resting_connection_meets_no_request() {
    for odd in ["*", "*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n", "-BUSY\r\n", "\r\n"] {
        let (worker, _discovery, node) = one_worker();
        let mut client = node.client();
        client.say(order("pay", 30_000));
        let mut line = worker.next();
        line.command();
        line.serve("one");
        assert_eq!(client.answer(), "one");
        thread::sleep(RESTED);
        node.freeze();
        line.say(odd);
        line.arrived();
        client.say(order("pay", 30_000));
        client.arrived();
        node.thaw();
        let mut fresh = worker.next();
        fresh.command();
        assert!(!line.speaks(), "{odd:?}");
        fresh.serve("two");
        assert_eq!(client.answer(), "two", "{odd:?}");
        assert!(line.ended(), "{odd:?}");
    }
}

/// A worker ends its connection in the moment in which a request is written to it: what may be repeated goes to the other
/// worker, what may not has failed, and neither is sent twice.
#[test]
fn a_worker_that_ends_its_connection_under_a_request_has_it_repeated_as_its_class_allows() {
    for (class, answer) in [("read", "two"), ("pay", "-ERR failed")] {
        let (a, b, _discovery, node) = two_workers();
        let (at_a, at_b) = rested(&a, &b, &node);
        let mut client = node.client();
        client.say(if class == "read" { ask(30_000) } else { order(class, 30_000) });
        let (mut out, mut other) = spoken_to(at_a, at_b);
        out.command();
        out.finish();
        if class == "read" {
            other.command();
            other.serve("two");
        }
        assert_eq!(client.answer(), answer, "{class}");
        node.settled();
        assert!(!other.speaks() && a.nobody() && b.nobody(), "{class}");
    }
}

/// While a connection comes up the worker restarts, moves to another address or is left out of a whole list, or the client
/// leaves: nothing is written to it for that request.
#[test]
fn a_connection_that_comes_up_late_carries_nothing_that_is_no_longer_wanted() {
    for event in ["restarts", "moves", "is left out", "loses its client"] {
        let (late, at, filler) = full_listener();
        let other = Door::open();
        let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
        let node = Setup::new(discovery.at).start();
        let watch = discovery.watch();
        let mut client = Some(node.client());
        client.as_mut().expect("it is there").say(ask(30_000));
        connecting(at);
        let after = match event {
            "restarts" => Some(target("s-1", at, "ready", 1_700_000_000_000)),
            "moves" => Some(target("s-1", other.at, "ready", 0)),
            "is left out" => Some(target("s-2", other.at, "ready", 0)),
            _ => None,
        };
        match after {
            Some(after) => {
                let after = list(2, true, &[after]);
                discovery.tell(watch, &after, &after);
            }
            None => {
                node.left_by(client.take().expect("it is there"), drop);
                node.settled();
            }
        }
        drop(late.accept().expect("what filled it"));
        let mut line = Line::of(late.accept().expect("it comes up").0);
        node.settled();
        if let Some(mut client) = client {
            assert!(line.ended(), "{event}: nothing is written to it, and it is closed");
            if event == "is left out" {
                let mut first = other.next();
                first.command();
                first.serve("elsewhere");
                assert_eq!(client.answer(), "elsewhere");
            } else {
                assert!(client.answer().starts_with("-BUSY"), "{event}");
            }
        } else {
            thread::sleep(RESTED);
            let mut next = node.client();
            next.say(ask_as(ID, 30_000));
            assert_eq!(line.command()[2], ID, "the first that comes on it is the next one's");
        }
        drop(filler);
    }
}

#[test]
fn a_keyed_request_whose_server_is_not_listed_any_more_stays_in_its_group() {
    let (a, b) = (Door::open(), Door::open());
    let in_cell = |uid, at: &Door, cell| {
        target(uid, at.at, "ready", 0).replace(r#""pod_group":0"#, &format!(r#""pod_group":{cell}"#))
    };
    let discovery = Discovery::with(list(1, true, &[in_cell("s-1", &a, 3)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.say(order("order", 3000));
    let mut line = a.next();
    line.command();
    let other = list(2, true, &[in_cell("s-2", &b, 0)]);
    let _watch = discovery.tell(watch, &other, &other);
    line.reset();
    assert!(client.answer().starts_with('-'));
    assert!(b.nobody(), "a repeat outside its group");
}
