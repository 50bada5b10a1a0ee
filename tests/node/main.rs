//! The built gatekeeper over loopback, against small fakes of clients, workers and discovery.

mod clients;
mod discovery;
mod garbled;
mod large_updates;
mod rig;
mod settings;
mod shutdown;
mod sockets;
mod stalls;
mod start;
mod workers;

use rig::*;
use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_request_goes_on_unchanged_but_for_its_time() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    client.say(order("order", 3000));
    let mut line = worker.next();
    let command = line.command();
    assert_eq!(command.len(), 5);
    assert_eq!(
        [&command[0][..], &command[1], &command[2], &command[4]],
        ["Q.DO", "00000000b4d65521", ID, "BODY"]
    );
    let (head, rest) = command[3].split_once(",d=").expect("d");
    let (d, tail) = rest.split_once(',').expect("more fields");
    assert_eq!((head, tail), ("c=order,t=p", "k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0"));
    let d: u32 = d.parse().expect("a number");
    assert!((1..3000).contains(&d), "{d}");
    line.serve("mixed");
    assert_eq!(client.answer(), "mixed");
}

#[test]
fn pipelined_requests_begin_at_once_and_are_answered_in_order() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    client.say([ask(5000), words(&["PING"]), ask(5000)].concat());
    let (mut first, mut second) = (worker.next(), worker.next());
    // Which connection carries which request is not told; both are out before either is answered.
    first.command();
    second.command();
    second.serve("x");
    first.serve("x");
    assert_eq!([client.answer(), client.answer(), client.answer()], ["x", "+PONG", "x"]);
}

#[test]
fn bad_input_is_answered_and_only_broken_resp_closes() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    let fields = |f: &str| words(&["Q.ASK", "00000000b4d65521", ID, f]);
    let bad = [
        words(&["GET", "x"]),
        words(&["Q.ASK"]),
        words(&["Q.ASK", "00000002b4d65521", ID, "c=read,t=p,d=9,units=1,spread=1,first=0"]),
        words(&["Q.ASK", "00000000b4d65521", "short", "c=read,t=p,d=9,units=1,spread=1,first=0"]),
        fields("c=read,t=p,units=1,spread=1,first=0"),
        fields("c=read,t=p,d=-1,units=1,spread=1,first=0"),
        fields("c=read,t=p,d=,units=1,spread=1,first=0"),
        fields("c=read,t=p,d=3600000,units=1,spread=1,first=0"),
        fields("c=none,t=p,d=9,units=1,spread=1,first=0"),
        fields("c=read,t=none,d=9,units=1,spread=1,first=0"),
        fields("c=read,t=p,d=9,units=NaN,spread=1,first=0"),
        fields("c=read,t=p,d=9,units=5,spread=1,first=0"),
        fields("c=read,t=p,d=9,units=1,spread=0,first=0"),
        fields("c=read,t=p,d=9,units=1,spread=1,first=1"),
        fields("c=read,t=p,d=9,d=9,units=1,spread=1,first=0"),
        fields("c=order,t=p,d=9,k=1,units=1,spread=1,first=0"),
        fields("nonsense"),
        words(&["Q.DO", "00000000b4d65521", ID, "c=order,t=p,d=9,units=1,spread=1,first=0", "B"]),
    ];
    for command in bad {
        client.say(&command);
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{} gets {answer}", String::from_utf8_lossy(&command));
    }
    client.say(words(&["PING"]));
    assert_eq!(client.answer(), "+PONG");
    client.say("GET / HTTP/1.1\r\n\r\n");
    assert!(client.answer().starts_with("-ERR protocol error"));
    assert!(client.ended());
    assert!(worker.nobody(), "nothing of this goes to a worker");
}

#[test]
fn an_effect_that_may_have_happened_is_failed_and_not_refused() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    client.say(order("pay", 5000));
    let mut line = worker.next();
    line.command();
    drop(line);
    assert_eq!(client.answer(), "-ERR failed");
    // Turned away unseen, it surely did not run.
    client.say(order("pay", 5000));
    let mut line = worker.next();
    line.command();
    line.say("-BUSY\r\n");
    assert!(client.answer().starts_with("-BUSY"));
}

#[test]
fn a_late_answer_never_meets_the_next_request() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    client.say(ask(300));
    let mut late = worker.next();
    late.command();
    assert!(client.answer().starts_with("-BUSY"), "a read is harmless to try again");
    assert!(late.ended(), "giving up closes the connection");
    // One failure of one request: the throttle refuses the next by lot, and the one after that.
    let mut line = loop {
        client.say(ask(5000));
        match worker.within(&mut client, LONG) {
            Some(line) => break line,
            None => assert!(client.answer().starts_with("-BUSY")),
        }
    };
    line.command();
    let _ = late.read.get_mut().write_all(b"*3\r\n$3\r\nold\r\n$-1\r\n$-1\r\n");
    line.serve("new");
    assert_eq!(client.answer(), "new");
}

#[test]
fn a_spoilt_answer_costs_its_attempt_only() {
    for spoilt in ["+what\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n$999999\r\n", "*3\r\n$1\r\nabc"] {
        let (worker, _discovery, node) = one_worker();
        let mut client = node.client();
        client.say(order("pay", 5000));
        let mut line = worker.next();
        line.command();
        line.say(spoilt);
        assert_eq!(client.answer(), "-ERR failed", "{spoilt:?}");
        assert!(line.ended());
        client.say(order("pay", 5000));
        let mut line = worker.next();
        line.command();
        line.serve("sound");
        assert_eq!(client.answer(), "sound");
    }
}

#[test]
fn bytes_behind_an_answer_cost_the_connection() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.say("*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n*3\r\n$1\r\nb\r\n$-1\r\n$-1\r\n");
    assert_eq!(client.answer(), "a");
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("c");
    assert_eq!(client.answer(), "c");
}

#[test]
fn a_connection_is_used_again_but_not_once_the_worker_has_closed_it() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    let mut line = None;
    for _ in 0..3 {
        client.say(order("pay", 5000));
        let line = line.get_or_insert_with(|| worker.next());
        line.command();
        line.serve("done");
        assert_eq!(client.answer(), "done");
        thread::sleep(RESTED);
    }
    assert!(worker.nobody());
    // The end has arrived, and the process has not heard of it, when the next request comes.
    let mut line = line.expect("used three times");
    node.freeze();
    line.finish();
    line.arrived();
    client.say(order("pay", 5000));
    client.arrived();
    node.thaw();
    let mut fresh = worker.next();
    fresh.command();
    fresh.serve("done");
    assert_eq!(client.answer(), "done");
    assert!(line.ended());
}

#[test]
fn an_id_that_is_open_is_not_sent_on_again() {
    let (worker, _discovery, node) = one_worker();
    let (mut a, mut b) = (node.client(), node.client());
    a.say(ask_as(ID, 5000));
    let mut first = worker.next();
    first.command();
    b.say(ask_as(ID, 5000));
    assert!(b.answer().starts_with("-ERR "));
    first.serve("one");
    assert_eq!(a.answer(), "one", "the first is untouched");
    b.say(ask_as(ID, 5000));
    let mut line = worker.within(&mut first, LONG).unwrap_or(first);
    line.command();
    line.serve("two");
    assert_eq!(b.answer(), "two", "and then the id is free");
}

#[test]
fn an_id_stays_open_while_an_attempt_is_out_whose_client_has_left() {
    let (worker, _discovery, node) = one_worker();
    let (mut a, mut b) = (node.client(), node.client());
    a.say(ask_as(ID, 9000));
    let mut out = worker.next();
    out.command();
    drop(a);
    for _ in 0..5 {
        b.say(ask_as(ID, 9000));
        assert!(b.answer().starts_with("-ERR "));
        thread::sleep(RESTED);
    }
    assert!(worker.nobody());
}

#[test]
fn who_does_not_finish_a_command_is_told_so_and_closed() {
    let (worker, _discovery, node) = one_worker();
    let (mut pool, mut busy) = (node.client(), node.client());
    pool.say(words(&["PING"]));
    assert_eq!(pool.answer(), "+PONG");
    busy.say(ask(8500));
    let mut out = worker.next();
    out.command();
    let (mut silent, mut half, mut dribble) = (node.client(), node.client(), node.client());
    half.say("*2\r\n$4\r\nPI");
    let mut drops = dribble.read.get_ref().try_clone().expect("a socket");
    drops.write_all(b"*2\r\n$4\r\nPING\r\n$60000\r\n").expect("written");
    thread::spawn(move || {
        while drops.write_all(b"x").is_ok() {
            thread::sleep(RESTED)
        }
    });
    for (what, client) in [("half", &mut half), ("dribble", &mut dribble)] {
        assert!(client.answer().starts_with("-ERR protocol error"), "{what}");
        assert!(client.ended(), "{what}");
    }
    // Nothing stands there that what it sends just then could take for its answer.
    assert!(silent.ended_in_order(), "who has begun nothing is told nothing");
    pool.say(words(&["PING"]));
    assert_eq!(pool.answer(), "+PONG", "who has spoken may pause");
    out.serve("still here");
    assert_eq!(busy.answer(), "still here");
}

#[test]
fn a_flood_of_silent_newcomers_pushes_out_nobody_who_has_asked() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("x");
    assert_eq!(client.answer(), "x");
    let silent: Vec<Line> = (0..60).map(|_| node.client()).collect();
    // The last one in is served, so all have been let in, and some pushed out.
    let mut last = node.client();
    last.say(words(&["PING"]));
    assert_eq!(last.answer(), "+PONG");
    client.say(words(&["PING"]));
    assert_eq!(client.answer(), "+PONG");
    drop(silent);
}

#[test]
fn clients_that_ask_nothing_more_leave_a_table_that_fills() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let begun = Instant::now();
    // 21 have room; these are over half and no more.
    let mut stay: Vec<Line> = (0..16).map(|_| node.client()).collect();
    for client in &mut stay {
        client.say(words(&["PING"]));
        assert_eq!(client.answer(), "+PONG");
    }
    assert!(stay[0].ended());
    assert!(begun.elapsed() >= Duration::from_millis(1500), "not at once");
}

#[test]
fn commands_that_are_half_here_are_bounded_together() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { memory_mb: 32, ..Setup::new(discovery.at) }.start();
    let half = [&b"*2\r\n$4\r\nPING\r\n$65000\r\n"[..], &[b'x'; 60_000]].concat();
    let mut clients: Vec<Line> = (0..150).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.say(&half));
    let answers: Vec<String> = clients.iter_mut().map(Line::answer).collect();
    assert!(answers.iter().all(|a| a.starts_with("-ERR protocol error")), "{answers:?}");
    assert!(answers.iter().any(|a| a.contains("no room")), "{answers:?}");
}

#[test]
fn a_good_value_is_served_whatever_comes_with_it() {
    for odd in [":7\r\n$-1\r\n", "$-1\r\n+util\r\n", "$-1\r\n$99999999\r\n", "$1\r\nabc"] {
        let (worker, _discovery, node) = one_worker();
        let mut client = node.client();
        client.say(order("pay", 5000));
        let mut line = worker.next();
        line.command();
        line.say(format!("*3\r\n$4\r\ngood\r\n{odd}"));
        assert_eq!(client.answer(), "good", "{odd:?}");
        assert!(line.ended(), "what follows can't be told from it");
    }
}

#[test]
fn only_an_exact_busy_line_means_that_nothing_ran() {
    let lines = [
        ("BUSY", true),
        ("BUSY util=0.61,qps=9.5", true),
        ("BUSY or so it seems", false),
        ("BUSYBUSY", false),
    ];
    for (said, unseen) in lines {
        let (worker, _discovery, node) = one_worker();
        let mut client = node.client();
        client.say(order("pay", 5000));
        let mut line = worker.next();
        line.command();
        line.say(format!("-{said}\r\n"));
        assert_eq!(client.answer().starts_with("-BUSY"), unseen, "{said:?}");
    }
}

#[test]
fn a_connection_rests_before_it_is_used_again() {
    let (worker, _discovery, node) = one_worker();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("one");
    let answered = Instant::now();
    assert_eq!(client.answer(), "one");
    client.say(ask(5000));
    // A second copy that comes now must meet no request.
    let copy = b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n";
    let Some(mut other) = worker.within(&mut line, LONG) else {
        assert!(answered.elapsed() >= Duration::from_millis(5), "used again at once");
        return;
    };
    let _ = line.read.get_mut().write_all(copy);
    other.command();
    other.serve("two");
    assert_eq!(client.answer(), "two");
}

#[test]
fn a_new_worker_at_an_old_address_gets_no_connection_of_the_old_one() {
    let (worker, discovery, node) = one_worker();
    let mut watch = discovery.watch();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("old");
    assert_eq!(client.answer(), "old");
    // Told before the old one's end is.
    push(&mut watch, &list(2, false, &[target("s-2", worker.at, "ready", 0)]));
    assert!(line.ended(), "the old one's connection is closed");
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("new");
    assert_eq!(client.answer(), "new");
}

#[test]
fn a_drain_is_kept_and_its_pooled_connections_closed() {
    let (a, b) = (Door::open(), Door::open());
    let discovery = Discovery::with(list(1, true, &[target("s-1", a.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut watch = discovery.watch();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = a.next();
    line.command();
    line.serve("a");
    assert_eq!(client.answer(), "a");
    push(&mut watch, "");
    push(&mut watch, &list(2, false, &[target("s-1", a.at, "draining", 0), target("s-2", b.at, "ready", 0)]));
    assert!(line.ended(), "what is idle to a draining worker is closed");
    for _ in 0..5 {
        client.say(ask(5000));
    }
    let mut others: Vec<Line> = (0..5).map(|_| b.next()).collect();
    for other in &mut others {
        other.command();
        other.serve("b");
    }
    (0..5).for_each(|_| assert_eq!(client.answer(), "b"));
    assert!(a.nobody());
}

#[test]
fn a_drain_that_comes_while_connecting_stops_the_send() {
    // A listener whose line is full: further connections stay pending until it accepts.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("listening");
    let slow: TcpListener = socket.into();
    let at = slow.local_addr().expect("bound");
    let filler = TcpStream::connect(at).expect("takes the only place");
    let other = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let (mut client, mut second) = (node.client(), node.client());
    client.say(ask(7000));
    second.say(words(&["PING"]));
    assert_eq!(second.answer(), "+PONG");
    let both = [target("s-1", at, "draining", 0), target("s-2", other.at, "ready", 0)];
    discovery.tell(watch, &list(2, false, &both), &list(2, true, &both));
    drop(slow.accept());
    let (stream, _) = slow.accept().expect("the pending connection");
    assert!(Line::of(stream).ended(), "nothing is sent on it");
    let mut line = other.next();
    line.command();
    line.serve("elsewhere");
    assert_eq!(client.answer(), "elsewhere");
    drop(filler);
}

#[test]
fn a_restart_under_the_same_name_ends_what_was_out() {
    let (worker, discovery, node) = one_worker();
    let mut watch = discovery.watch();
    let mut client = node.client();
    let begun = Instant::now();
    client.say(order("pay", 8000));
    let mut old = worker.next();
    old.command();
    push(&mut watch, &list(2, false, &[target("s-1", worker.at, "ready", 1_700_000_000_000)]));
    assert_eq!(client.answer(), "-ERR failed");
    assert!(begun.elapsed() < Duration::from_secs(7), "by the news, not by the request's time");
    assert!(old.ended());
}

#[test]
fn the_known_list_serves_while_discovery_is_silent() {
    let (worker, silent) = (Door::open(), Door::open());
    let known = list(1, true, &[target("s-1", worker.at, "ready", 0)]);
    let node = Setup { known, ..Setup::new(silent.at) }.start();
    let mut client = node.client();
    client.say(words(&["PING"]));
    assert_eq!(client.answer(), "+PONG");
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    line.serve("known");
    assert_eq!(client.answer(), "known");
}

#[test]
fn a_watch_that_falls_silent_or_speaks_nonsense_is_opened_again() {
    let (worker, discovery, node) = one_worker();
    let mut watch = discovery.watch();
    push(&mut watch, "{nonsense");
    let silent = discovery.watch();
    let mut third = discovery.watch();
    drop(silent);
    // A line that can't be read costs that line only.
    let odd = r#"{"uid":7}"#.to_string();
    let (old, new) = (target("s-1", worker.at, "draining", 0), target("s-2", worker.at, "ready", 0));
    push(&mut third, &list(2, false, &[odd, old, new]));
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    // The request may come before the list does: then its first connection is given up with nothing written.
    if line.read.fill_buf().expect("a peek").is_empty() {
        line = worker.next();
    }
    line.command();
    line.serve("still here");
    assert_eq!(client.answer(), "still here");
}

#[test]
fn a_new_configuration_moves_discovery_and_nothing_else() {
    let (one, two) = (Door::open(), Door::open());
    let old = Discovery::with(list(41, true, &[target("s-1", one.at, "ready", 0)]));
    // Versions are each address's own: the new one's is lower.
    let new = Discovery::with(list(7, true, &[target("s-2", two.at, "ready", 0)]));
    let setup = Setup::new(old.at);
    let node = Setup { shell: format!("GW_DISCOVERY={} exec", old.at), ..Setup::new(old.at) }.start();
    let old_watch = old.watch();
    let (mut client, mut busy) = (node.client(), node.client());
    busy.say(ask(9000));
    let mut out = one.next();
    out.command();

    node.reload("{ half");
    node.says("the configuration in use stays");
    node.reload(&setup.config().replace(&old.at.to_string(), "nowhere"));
    node.says("the configuration in use stays");
    old_watch.set_nonblocking(true).expect("a socket");
    let still = (&old_watch).read(&mut [0]).expect_err("nothing was sent");
    assert_eq!(still.kind(), ErrorKind::WouldBlock, "the watch in use stays open");

    node.reload(&Setup::new(new.at).config());
    let mut watch = new.watch();
    old_watch.set_nonblocking(false).expect("a socket");
    assert!(Line::of(old_watch).ended(), "the old watch is dropped");
    client.say(ask(9000));
    let mut line = two.next();
    line.command();
    line.serve("moved");
    assert_eq!(client.answer(), "moved");
    out.serve("kept");
    assert_eq!(busy.answer(), "kept", "the request in hand and its connections live on");
    push(&mut watch, &list(8, false, &[target("s-3", one.at, "ready", 0), target("s-2", two.at, "gone", 0)]));
    assert!(line.ended());
    client.say(ask(9000));
    let mut line = one.next();
    line.command();
    line.serve("followed");
    assert_eq!(client.answer(), "followed");
}

#[test]
fn a_new_configuration_is_followed_from_a_discovery_that_never_answered() {
    let (worker, silent) = (Door::open(), Door::open());
    let known = list(41, true, &[target("s-1", worker.at, "ready", 0)]);
    let node = Setup { known, ..Setup::new(silent.at) }.start();
    let new = Discovery::with(list(7, true, &[target("s-1", worker.at, "ready", 0)]));
    node.reload(&Setup::new(new.at).config());
    new.watch();
}

#[test]
fn sigterm_answers_all_that_is_taken_and_then_ends() {
    let (worker, _discovery, mut node) = one_worker();
    let (mut busy, mut idle) = (node.client(), node.client());
    idle.say(words(&["PING"]));
    assert_eq!(idle.answer(), "+PONG");
    busy.say(ask(8000));
    let mut out = worker.next();
    out.command();
    node.signal("-TERM");
    node.says(" stops");
    // New connections go on coming for a while, and are served.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(150) {
        let mut new = node.client();
        new.say(words(&["PING"]));
        assert_eq!(new.answer(), "+PONG");
    }
    let mut late = node.client();
    late.say(ask(8000));
    let mut other = worker.next();
    other.command();
    other.serve("late");
    assert_eq!(late.answer(), "late");
    assert!(idle.ended(), "idle connections are closed");
    out.serve("busy");
    assert_eq!(busy.answer(), "busy");
    assert!(busy.ended());
    assert!(node.exit().success());
}

#[test]
fn idle_clients_make_room_at_the_limit() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let mut clients: Vec<Line> = Vec::new();
    for _ in 0..80 {
        let mut client = node.client();
        client.say(words(&["PING"]));
        assert_eq!(client.answer(), "+PONG");
        clients.push(client);
    }
    assert!(clients[0].ended(), "the one idle for longest has gone");
}

#[test]
fn running_out_of_descriptors_is_survived() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    // The system gives fewer than the configuration promises.
    let node = Setup { shell: "ulimit -n 32; exec".into(), ..Setup::new(discovery.at) }.start();
    let mut clients: Vec<Line> = Vec::new();
    for _ in 0..60 {
        let mut client = node.client();
        client.say(words(&["PING"]));
        assert_eq!(client.answer(), "+PONG");
        clients.push(client);
    }
    node.says("cannot accept a connection");
    drop(clients);
    let mut client = node.client();
    client.say(words(&["PING"]));
    assert_eq!(client.answer(), "+PONG");
}

#[test]
fn pooled_connections_are_closed_well_before_the_workers_limit() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { bounds: r#""ConnIdle":1000.0"#, ..Setup::new(discovery.at) }.start();
    let mut client = node.client();
    client.say(ask(5000));
    let mut line = worker.next();
    line.command();
    let begun = Instant::now();
    line.serve("x");
    assert_eq!(client.answer(), "x");
    assert!(line.ended());
    assert!(begun.elapsed() >= Duration::from_millis(400), "not at once");
}

#[test]
fn unusable_configurations_get_one_clear_line() {
    let cases = [
        ("no JSON", "nonsense", "expected"),
        ("no settings", r#"{"seed":"1"}"#, "settings"),
        (
            "no classes",
            r#"{"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Balancers":1,"Classes":[]}}"#,
            "class",
        ),
        (
            "no address",
            r#"{"seed":"1","listen":"here","discovery":"127.0.0.1:1","settings":{"Balancers":1,"Classes":[{"Target":1.0,"Effect":"once"}]}}"#,
            "listen",
        ),
    ];
    for (what, text, word) in cases {
        let path = write_config(text);
        let run =
            Command::new(env!("CARGO_BIN_EXE_frostvale")).env("GW_CONFIG", &path).output().expect("runs");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8(run.stderr).expect("text");
        assert!(!run.status.success(), "{what} passes");
        assert_eq!(error.lines().count(), 1, "{what}: {error}");
        assert!(error.contains(word), "{what}: {error}");
    }
    let run = Command::new(env!("CARGO_BIN_EXE_frostvale")).env_remove("GW_CONFIG").output().expect("runs");
    assert!(!run.status.success() && String::from_utf8_lossy(&run.stderr).contains("GW_CONFIG"));
}

fn udp() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a port")
}

/// An address that a gatekeeper can take notes at.
fn free_udp() -> SocketAddr {
    udp().local_addr().expect("bound")
}

/// The configuration of one of so many gatekeepers that knows one peer; `more` goes in as it is.
fn among(balancers: u32, discovery: SocketAddr, own: SocketAddr, peer: &UdpSocket, more: &str) -> String {
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","peer_listen":"{own}",{more}"peers":["{own}","{}"],
        "settings":{{"Balancers":{balancers},"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"Peers":true,"TryLimit":3}},
        "Classes":[{{"Name":"read","Target":8000.0,"Effect":"repeatable","Worth":1.0}}],
        "Domain":{{"Largest":4,"PeerIntake":60.0}},
        "Plans":[{{"Name":"p","UnitsPerS":10.0,"PeakUnits":10.0,"ValueFactor":1.0}}]}}}}"#,
        peer.local_addr().expect("bound"),
    )
}

#[test]
fn strangers_and_odd_datagrams_are_passed_over() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let (peer, stranger, own) = (udp(), udp(), free_udp());
    let config = among(2, discovery.at, own, &peer, "");
    let _node = start(&config, "exec");
    peer.send_to(&[b'a'; 300], own).expect("sent");
    peer.send_to(&[0xff; 10], own).expect("sent");
    peer.send_to(b"a,1,99999,zz;g,1,7,1,-1,0,0,0;t,,;;,,,", own).expect("sent");
    stranger.send_to(b"a,aa,0,1,1.0,0.0,1.0,500;", own).expect("sent");
    peer.send_to(b"a,aa,0,1,1.0,0.0,1.0,500;", own).expect("sent");
    peer.set_read_timeout(Some(LONG)).expect("a socket");
    let mut bytes = [0; 512];
    let (len, from) = peer.recv_from(&mut bytes).expect("the peer's question is answered");
    assert!(from == own && len <= 256);
    assert!(bytes.starts_with(b"g,aa,1,1,"), "{}", String::from_utf8_lossy(&bytes[..len]));
    stranger.set_nonblocking(true).expect("a socket");
    assert!(stranger.recv_from(&mut bytes).is_err(), "a stranger is not");
}

/// One of twenty gatekeepers can't reach a worker. It says so to the address that reaches all, in one datagram, and hears
/// what others say at its own; nothing else has to happen for that.
#[test]
fn a_worker_that_fails_is_told_of_to_all_at_once() {
    let gone = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let discovery = Discovery::with(list(1, true, &[target("s-1", gone, "ready", 0)]));
    let (peer, all, own) = (udp(), udp(), free_udp());
    for to_all in [format!(r#""peers_all":"{}","#, all.local_addr().expect("bound")), String::new()] {
        let config = among(20, discovery.at, own, &peer, &to_all);
        let node = start(&config, "exec");
        let mut client = node.client();
        client.say(ask(5000));
        assert_eq!(client.answer(), "-BUSY");
        let at = if to_all.is_empty() { &peer } else { &all };
        at.set_read_timeout(Some(LONG)).expect("a socket");
        let mut bytes = [0; 512];
        let (len, from) = at.recv_from(&mut bytes).expect("it is told");
        assert!(from == own && bytes.starts_with(b"!"), "{}", String::from_utf8_lossy(&bytes[..len]));
        assert_eq!(len, 9, "the mark and one short name");
    }
}
