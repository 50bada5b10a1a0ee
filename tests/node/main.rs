//! Tests of the built gatekeeper over loopback, with fake clients, workers and discovery.

mod clients;
mod cost;
mod discovery;
mod flood_clients;
mod floods;
mod harness;
mod identity;
mod large_updates;
mod malformed;
mod memory;
mod other_inputs;
mod pipelines;
mod request_ids;
mod settings;
mod shutdown;
mod sockets;
mod stalls;
mod start;
mod workers;

use harness::*;
use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn request_is_forwarded_unchanged_except_for_its_remaining_time() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send(write_request_with_id(REQUEST_ID, "order", 3000));
    let mut conn = worker.accept();
    let command = conn.read_command();
    assert_eq!(command.len(), 5);
    assert_eq!(
        [&command[0][..], &command[1], &command[2], &command[4]],
        ["Q.DO", "00000000b4d65521", REQUEST_ID, "BODY"]
    );
    let (head, rest) = command[3].split_once(",d=").expect("d");
    let (d, tail) = rest.split_once(',').expect("more fields");
    assert_eq!((head, tail), ("c=order,t=p", "k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0"));
    let d: u32 = d.parse().expect("a number");
    assert!((1..3000).contains(&d), "{d}");
    conn.send_value("mixed");
    assert_eq!(client.read_answer(), "mixed");
}

#[test]
fn pipelined_requests_start_at_once_and_get_answers_in_order() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send([read_request(5000), resp_command(&["PING"]), read_request(5000)].concat());
    let (mut first, mut second) = (worker.accept(), worker.accept());
    // Which connection carries which request is not defined; both are sent before either is answered.
    first.read_command();
    second.read_command();
    second.send_value("x");
    first.send_value("x");
    assert_eq!([client.read_answer(), client.read_answer(), client.read_answer()], ["x", "+PONG", "x"]);
}

#[test]
fn invalid_command_gets_error_and_connection_closes_only_when_resp_is_malformed() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    let fields = |f: &str| resp_command(&["Q.ASK", "00000000b4d65521", REQUEST_ID, f]);
    let bad = [
        resp_command(&["GET", "x"]),
        resp_command(&["Q.ASK"]),
        resp_command(&["Q.ASK", "00000002b4d65521", REQUEST_ID, "c=read,t=p,d=9,units=1,spread=1,first=0"]),
        resp_command(&["Q.ASK", "00000000b4d65521", "short", "c=read,t=p,d=9,units=1,spread=1,first=0"]),
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
        resp_command(&[
            "Q.DO",
            "00000000b4d65521",
            REQUEST_ID,
            "c=order,t=p,d=9,units=1,spread=1,first=0",
            "B",
        ]),
    ];
    for command in bad {
        client.send(&command);
        let answer = client.read_answer();
        assert!(answer.starts_with("-ERR "), "{} gets {answer}", String::from_utf8_lossy(&command));
    }
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG");
    client.send("GET / HTTP/1.1\r\n\r\n");
    assert!(client.read_answer().starts_with("-ERR protocol error"));
    assert!(client.is_closed());
    assert!(worker.has_no_connection(), "an invalid command reached a worker");
}

#[test]
fn unsafe_request_fails_and_is_not_refused_when_it_may_have_run() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send(write_request("pay", 5000));
    let mut conn = worker.accept();
    conn.read_command();
    drop(conn);
    assert_eq!(client.read_answer(), "-ERR failed");
    // A worker that answers BUSY has not run the request.
    client.send(write_request("pay", 5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send("-BUSY\r\n");
    assert!(client.read_answer().starts_with("-BUSY"));
}

#[test]
fn late_worker_answer_is_not_delivered_to_next_request() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send(read_request(300));
    let mut late = worker.accept();
    late.read_command();
    assert!(client.read_answer().starts_with("-BUSY"), "a read can be retried safely");
    assert!(late.is_closed(), "a timeout closes the connection");
    // After one failure of one request the throttle may refuse the next ones at random.
    let mut conn = loop {
        client.send(read_request(5000));
        match worker.accept_within(&mut client, TIMEOUT) {
            Some(conn) => break conn,
            None => assert!(client.read_answer().starts_with("-BUSY")),
        }
    };
    conn.read_command();
    let _ = late.read.get_mut().write_all(b"*3\r\n$3\r\nold\r\n$-1\r\n$-1\r\n");
    conn.send_value("new");
    assert_eq!(client.read_answer(), "new");
}

#[test]
fn malformed_worker_answer_fails_only_its_attempt() {
    for malformed_answer in
        ["+what\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n$999999\r\n", "*3\r\n$1\r\nabc"]
    {
        let (worker, _discovery, node) = start_with_one_worker();
        let mut client = node.client();
        client.send(write_request("pay", 5000));
        let mut conn = worker.accept();
        conn.read_command();
        conn.send(malformed_answer);
        assert_eq!(client.read_answer(), "-ERR failed", "{malformed_answer:?}");
        assert!(conn.is_closed());
        client.send(write_request("pay", 5000));
        let mut conn = worker.accept();
        conn.read_command();
        conn.send_value("sound");
        assert_eq!(client.read_answer(), "sound");
    }
}

#[test]
fn worker_connection_is_not_reused_when_bytes_follow_answer() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send("*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n*3\r\n$1\r\nb\r\n$-1\r\n$-1\r\n");
    assert_eq!(client.read_answer(), "a");
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("c");
    assert_eq!(client.read_answer(), "c");
}

#[test]
fn worker_connection_is_reused_until_worker_closes_it() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    let mut conn = None;
    for _ in 0..3 {
        client.send(write_request("pay", 5000));
        let conn = conn.get_or_insert_with(|| worker.accept());
        conn.read_command();
        conn.send_value("done");
        assert_eq!(client.read_answer(), "done");
        thread::sleep(REUSE_DELAY);
    }
    assert!(worker.has_no_connection());
    // The end of the worker's stream is in the kernel, unread by the process, when the next request arrives.
    let mut conn = conn.expect("used three times");
    node.freeze();
    conn.shutdown_write();
    conn.wait_until_acknowledged();
    client.send(write_request("pay", 5000));
    client.wait_until_acknowledged();
    node.thaw();
    let mut fresh = worker.accept();
    fresh.read_command();
    fresh.send_value("done");
    assert_eq!(client.read_answer(), "done");
    assert!(conn.is_closed());
}

#[test]
fn duplicate_request_id_is_rejected_while_first_is_in_flight() {
    let (worker, _discovery, node) = start_with_one_worker();
    let (mut a, mut b) = (node.client(), node.client());
    a.send(read_request_with_id(REQUEST_ID, 5000));
    let mut first = worker.accept();
    first.read_command();
    b.send(read_request_with_id(REQUEST_ID, 5000));
    assert!(b.read_answer().starts_with("-ERR "));
    first.send_value("one");
    assert_eq!(a.read_answer(), "one", "the first request is not affected");
    b.send(read_request_with_id(REQUEST_ID, 5000));
    let mut conn = worker.accept_within(&mut first, TIMEOUT).unwrap_or(first);
    conn.read_command();
    conn.send_value("two");
    assert_eq!(b.read_answer(), "two", "the id can be used again");
}

#[test]
fn request_id_stays_in_use_when_client_disconnects_during_attempt() {
    let (worker, _discovery, node) = start_with_one_worker();
    let (mut a, mut b) = (node.client(), node.client());
    a.send(read_request_with_id(REQUEST_ID, 9000));
    let mut attempt = worker.accept();
    attempt.read_command();
    drop(a);
    for _ in 0..5 {
        b.send(read_request_with_id(REQUEST_ID, 9000));
        assert!(b.read_answer().starts_with("-ERR "));
        thread::sleep(REUSE_DELAY);
    }
    assert!(worker.has_no_connection());
}

#[test]
fn client_gets_error_and_is_closed_when_command_stays_incomplete() {
    let (worker, _discovery, node) = start_with_one_worker();
    let (mut idle_between_commands, mut busy) = (node.client(), node.client());
    idle_between_commands.send(resp_command(&["PING"]));
    assert_eq!(idle_between_commands.read_answer(), "+PONG");
    busy.send(read_request(8500));
    let mut attempt = worker.accept();
    attempt.read_command();
    let (mut silent, mut incomplete, mut trickling) = (node.client(), node.client(), node.client());
    incomplete.send("*2\r\n$4\r\nPI");
    let mut slow_writer = trickling.read.get_ref().try_clone().expect("a socket");
    slow_writer.write_all(b"*2\r\n$4\r\nPING\r\n$60000\r\n").expect("written");
    thread::spawn(move || {
        while slow_writer.write_all(b"x").is_ok() {
            thread::sleep(REUSE_DELAY)
        }
    });
    for (name, client) in [("incomplete", &mut incomplete), ("trickling", &mut trickling)] {
        assert!(client.read_answer().starts_with("-ERR protocol error"), "{name}");
        assert!(client.is_closed(), "{name}");
    }
    // No error is written that a client which sends a command at that moment could take for its answer.
    assert!(silent.is_closed_without_reset(), "a silent client is closed without an error");
    idle_between_commands.send(resp_command(&["PING"]));
    assert_eq!(idle_between_commands.read_answer(), "+PONG", "a client that has sent a command may pause");
    attempt.send_value("still here");
    assert_eq!(busy.read_answer(), "still here");
}

#[test]
fn active_client_keeps_connection_when_silent_clients_flood() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("x");
    assert_eq!(client.read_answer(), "x");
    let silent: Vec<TestConnection> = (0..60).map(|_| node.client()).collect();
    // The last client is served, so all were accepted and some were closed.
    let mut last = node.client();
    last.send(resp_command(&["PING"]));
    assert_eq!(last.read_answer(), "+PONG");
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG");
    drop(silent);
}

#[test]
fn idle_clients_are_closed_when_client_table_fills() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let started_at = Instant::now();
    // The table has room for 21; these fill just over half of it.
    let mut clients: Vec<TestConnection> = (0..16).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send(resp_command(&["PING"]));
        assert_eq!(client.read_answer(), "+PONG");
    }
    assert!(clients[0].is_closed());
    assert!(started_at.elapsed() >= Duration::from_millis(1500), "closed too early");
}

#[test]
fn incomplete_commands_share_one_memory_limit() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { memory_mb: 32, ..Setup::new(discovery.at) }.start();
    let incomplete = [&b"*2\r\n$4\r\nPING\r\n$65000\r\n"[..], &[b'x'; 60_000]].concat();
    let mut clients: Vec<TestConnection> = (0..150).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&incomplete));
    let answers: Vec<String> = clients.iter_mut().map(TestConnection::read_answer).collect();
    assert!(answers.iter().all(|a| a.starts_with("-ERR protocol error")), "{answers:?}");
    assert!(answers.iter().any(|a| a.contains("no room")), "{answers:?}");
}

#[test]
fn valid_value_is_served_when_rest_of_answer_is_malformed() {
    for malformed_rest in [":7\r\n$-1\r\n", "$-1\r\n+util\r\n", "$-1\r\n$99999999\r\n", "$1\r\nabc"] {
        let (worker, _discovery, node) = start_with_one_worker();
        let mut client = node.client();
        client.send(write_request("pay", 5000));
        let mut conn = worker.accept();
        conn.read_command();
        conn.send(format!("*3\r\n$4\r\ngood\r\n{malformed_rest}"));
        assert_eq!(client.read_answer(), "good", "{malformed_rest:?}");
        assert!(conn.is_closed(), "the connection cannot be used after a malformed answer");
    }
}

#[test]
fn attempt_counts_as_not_run_only_when_busy_line_is_exact() {
    let lines = [
        ("BUSY", true),
        ("BUSY util=0.61,qps=9.5", true),
        ("BUSY or so it seems", false),
        ("BUSYBUSY", false),
    ];
    for (error_line, is_not_run) in lines {
        let (worker, _discovery, node) = start_with_one_worker();
        let mut client = node.client();
        client.send(write_request("pay", 5000));
        let mut conn = worker.accept();
        conn.read_command();
        conn.send(format!("-{error_line}\r\n"));
        assert_eq!(client.read_answer().starts_with("-BUSY"), is_not_run, "{error_line:?}");
    }
}

#[test]
fn worker_connection_pauses_before_it_is_reused() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("one");
    let answered = Instant::now();
    assert_eq!(client.read_answer(), "one");
    client.send(read_request(5000));
    // A second copy of the answer that arrives now must not be matched with a request.
    let copy = b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n";
    let Some(mut other) = worker.accept_within(&mut conn, TIMEOUT) else {
        assert!(answered.elapsed() >= Duration::from_millis(5), "reused at once");
        return;
    };
    let _ = conn.read.get_mut().write_all(copy);
    other.read_command();
    other.send_value("two");
    assert_eq!(client.read_answer(), "two");
}

#[test]
fn new_worker_gets_no_connection_of_previous_worker_at_same_address() {
    let (worker, discovery, node) = start_with_one_worker();
    let mut watch = discovery.watch();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("old");
    assert_eq!(client.read_answer(), "old");
    // The new worker is announced before the end of the old one.
    push(&mut watch, &list(2, false, &[target("s-2", worker.at, "ready", 0)]));
    assert!(conn.is_closed(), "the connection of the old worker is not closed");
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("new");
    assert_eq!(client.read_answer(), "new");
}

#[test]
fn draining_worker_gets_no_requests_and_its_pooled_connections_close() {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let discovery = Discovery::with(list(1, true, &[target("s-1", a.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut watch = discovery.watch();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = a.accept();
    conn.read_command();
    conn.send_value("a");
    assert_eq!(client.read_answer(), "a");
    push(&mut watch, "");
    push(&mut watch, &list(2, false, &[target("s-1", a.at, "draining", 0), target("s-2", b.at, "ready", 0)]));
    assert!(conn.is_closed(), "an idle connection to a draining worker is not closed");
    for _ in 0..5 {
        client.send(read_request(5000));
    }
    let mut others: Vec<TestConnection> = (0..5).map(|_| b.accept()).collect();
    for other in &mut others {
        other.read_command();
        other.send_value("b");
    }
    (0..5).for_each(|_| assert_eq!(client.read_answer(), "b"));
    assert!(a.has_no_connection());
}

#[test]
fn request_is_not_sent_when_worker_drains_during_connect() {
    // The accept queue is full: further connections stay pending until the test accepts.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).and_then(|()| socket.listen(0)).expect("listening");
    let full_listener: TcpListener = socket.into();
    let at = full_listener.local_addr().expect("bound");
    let queue_filler = TcpStream::connect(at).expect("fills the queue");
    let other = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let (mut client, mut second) = (node.client(), node.client());
    client.send(read_request(7000));
    second.send(resp_command(&["PING"]));
    assert_eq!(second.read_answer(), "+PONG");
    let both = [target("s-1", at, "draining", 0), target("s-2", other.at, "ready", 0)];
    discovery.apply_list(watch, &list(2, false, &both), &list(2, true, &both));
    drop(full_listener.accept());
    let (stream, _) = full_listener.accept().expect("the pending connection");
    assert!(TestConnection::new(stream).is_closed(), "a command was sent to the draining worker");
    let mut conn = other.accept();
    conn.read_command();
    conn.send_value("elsewhere");
    assert_eq!(client.read_answer(), "elsewhere");
    drop(queue_filler);
}

#[test]
fn attempt_fails_when_worker_restarts_with_same_uid() {
    let (worker, discovery, node) = start_with_one_worker();
    let mut watch = discovery.watch();
    let mut client = node.client();
    let started_at = Instant::now();
    client.send(write_request("pay", 8000));
    let mut old = worker.accept();
    old.read_command();
    push(&mut watch, &list(2, false, &[target("s-1", worker.at, "ready", 1_700_000_000_000)]));
    assert_eq!(client.read_answer(), "-ERR failed");
    assert!(
        started_at.elapsed() < Duration::from_secs(7),
        "failed by its deadline and not by the list update"
    );
    assert!(old.is_closed());
}

#[test]
fn configured_list_is_used_while_discovery_is_silent() {
    let (worker, silent) = (TestListener::bind(), TestListener::bind());
    let known = list(1, true, &[target("s-1", worker.at, "ready", 0)]);
    let node = Setup { known, ..Setup::new(silent.at) }.start();
    let mut client = node.client();
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG");
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    conn.send_value("known");
    assert_eq!(client.read_answer(), "known");
}

#[test]
fn watch_is_reopened_when_it_is_silent_or_malformed() {
    let (worker, discovery, node) = start_with_one_worker();
    let mut watch = discovery.watch();
    push(&mut watch, "{nonsense");
    let silent = discovery.watch();
    let mut third = discovery.watch();
    drop(silent);
    // Only the malformed entry of a list is ignored.
    let malformed_entry = r#"{"uid":7}"#.to_string();
    let (old, new) = (target("s-1", worker.at, "draining", 0), target("s-2", worker.at, "ready", 0));
    push(&mut third, &list(2, false, &[malformed_entry, old, new]));
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    // The request may arrive before the list: then its first connection is closed with nothing written.
    if conn.read.fill_buf().expect("a peek").is_empty() {
        conn = worker.accept();
    }
    conn.read_command();
    conn.send_value("still here");
    assert_eq!(client.read_answer(), "still here");
}

#[test]
fn reload_changes_only_discovery_when_its_address_changes() {
    let (one, two) = (TestListener::bind(), TestListener::bind());
    let old = Discovery::with(list(41, true, &[target("s-1", one.at, "ready", 0)]));
    // Each discovery address has its own versions: the new one's is lower.
    let new = Discovery::with(list(7, true, &[target("s-2", two.at, "ready", 0)]));
    let setup = Setup::new(old.at);
    let node = Setup { shell: format!("GW_DISCOVERY={} exec", old.at), ..Setup::new(old.at) }.start();
    let old_watch = old.watch();
    let (mut client, mut busy) = (node.client(), node.client());
    busy.send(read_request(9000));
    let mut attempt = one.accept();
    attempt.read_command();

    node.reload("{ half");
    node.wait_for_log("the configuration in use stays");
    node.reload(&setup.config().replace(&old.at.to_string(), "nowhere"));
    node.wait_for_log("the configuration in use stays");
    old_watch.set_nonblocking(true).expect("a socket");
    let read_error = (&old_watch).read(&mut [0]).expect_err("nothing to read");
    assert_eq!(read_error.kind(), ErrorKind::WouldBlock, "the watch in use was closed");

    node.reload(&Setup::new(new.at).config());
    let mut watch = new.watch();
    old_watch.set_nonblocking(false).expect("a socket");
    assert!(TestConnection::new(old_watch).is_closed(), "the old watch stays open");
    client.send(read_request(9000));
    let mut conn = two.accept();
    conn.read_command();
    conn.send_value("moved");
    assert_eq!(client.read_answer(), "moved");
    attempt.send_value("kept");
    assert_eq!(busy.read_answer(), "kept", "the request in flight was not answered");
    push(&mut watch, &list(8, false, &[target("s-3", one.at, "ready", 0), target("s-2", two.at, "gone", 0)]));
    assert!(conn.is_closed());
    client.send(read_request(9000));
    let mut conn = one.accept();
    conn.read_command();
    conn.send_value("followed");
    assert_eq!(client.read_answer(), "followed");
}

#[test]
fn reload_switches_discovery_when_old_one_never_answered() {
    let (worker, silent) = (TestListener::bind(), TestListener::bind());
    let known = list(41, true, &[target("s-1", worker.at, "ready", 0)]);
    let node = Setup { known, ..Setup::new(silent.at) }.start();
    let new = Discovery::with(list(7, true, &[target("s-1", worker.at, "ready", 0)]));
    node.reload(&Setup::new(new.at).config());
    new.watch();
}

#[test]
fn process_answers_accepted_requests_and_exits_on_sigterm() {
    let (worker, _discovery, mut node) = start_with_one_worker();
    let (mut busy, mut idle) = (node.client(), node.client());
    idle.send(resp_command(&["PING"]));
    assert_eq!(idle.read_answer(), "+PONG");
    busy.send(read_request(8000));
    let mut attempt = worker.accept();
    attempt.read_command();
    node.signal("-TERM");
    node.wait_for_log(" stops");
    // New connections are accepted for a while and served.
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(150) {
        let mut new = node.client();
        new.send(resp_command(&["PING"]));
        assert_eq!(new.read_answer(), "+PONG");
    }
    let mut late = node.client();
    late.send(read_request(8000));
    let mut other = worker.accept();
    other.read_command();
    other.send_value("late");
    assert_eq!(late.read_answer(), "late");
    assert!(idle.is_closed(), "an idle connection stays open");
    attempt.send_value("busy");
    assert_eq!(busy.read_answer(), "busy");
    assert!(busy.is_closed());
    assert!(node.wait_for_exit().success());
}

#[test]
fn longest_idle_client_is_closed_when_client_limit_is_reached() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { sockets: 64, ..Setup::new(discovery.at) }.start();
    let mut clients: Vec<TestConnection> = Vec::new();
    for _ in 0..80 {
        let mut client = node.client();
        client.send(resp_command(&["PING"]));
        assert_eq!(client.read_answer(), "+PONG");
        clients.push(client);
    }
    assert!(clients[0].is_closed(), "the client that was idle for longest stays connected");
}

#[test]
fn gatekeeper_recovers_when_file_descriptors_run_out() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    // The descriptor limit of the process is lower than the configuration states.
    let node = Setup { shell: "ulimit -n 32; exec".into(), ..Setup::new(discovery.at) }.start();
    let mut clients: Vec<TestConnection> = Vec::new();
    for _ in 0..60 {
        let mut client = node.client();
        client.send(resp_command(&["PING"]));
        assert_eq!(client.read_answer(), "+PONG");
        clients.push(client);
    }
    node.wait_for_log("cannot accept a connection");
    drop(clients);
    let mut client = node.client();
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG");
}

#[test]
fn pooled_connection_is_closed_before_worker_idle_limit() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup { bounds: r#""ConnIdle":1000.0"#, ..Setup::new(discovery.at) }.start();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = worker.accept();
    conn.read_command();
    let started_at = Instant::now();
    conn.send_value("x");
    assert_eq!(client.read_answer(), "x");
    assert!(conn.is_closed());
    assert!(started_at.elapsed() >= Duration::from_millis(400), "closed too early");
}

#[test]
fn process_exits_with_one_error_line_when_configuration_is_invalid() {
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
    for (name, text, word) in cases {
        let path = write_config(text);
        let run =
            Command::new(env!("CARGO_BIN_EXE_frostvale")).env("GW_CONFIG", &path).output().expect("runs");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8(run.stderr).expect("text");
        assert!(!run.status.success(), "{name}: accepted");
        assert_eq!(error.lines().count(), 1, "{name}: {error}");
        assert!(error.contains(word), "{name}: {error}");
    }
    let run = Command::new(env!("CARGO_BIN_EXE_frostvale")).env_remove("GW_CONFIG").output().expect("runs");
    assert!(!run.status.success() && String::from_utf8_lossy(&run.stderr).contains("GW_CONFIG"));
}

fn udp() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a port")
}

/// A free UDP address at which a gatekeeper can receive peer messages.
fn free_udp_address() -> SocketAddr {
    udp().local_addr().expect("bound")
}

/// The configuration of one of `gatekeepers` gatekeepers, with one peer; `extra_fields` is inserted verbatim.
fn config_with_peer(
    gatekeepers: u32,
    discovery: SocketAddr,
    own_address: SocketAddr,
    peer: &UdpSocket,
    extra_fields: &str,
) -> String {
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","peer_listen":"{own_address}",{extra_fields}"peers":["{own_address}","{}"],
        "settings":{{"Balancers":{gatekeepers},"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"Peers":true,"TryLimit":3}},
        "Classes":[{{"Name":"read","Target":8000.0,"Effect":"repeatable","Worth":1.0}}],
        "Domain":{{"Largest":4,"PeerIntake":60.0}},
        "Plans":[{{"Name":"p","UnitsPerS":10.0,"PeakUnits":10.0,"ValueFactor":1.0}}]}}}}"#,
        peer.local_addr().expect("bound"),
    )
}

#[test]
fn datagram_is_ignored_when_malformed_or_from_unknown_sender() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let (peer, unknown_sender, own_address) = (udp(), udp(), free_udp_address());
    let config = config_with_peer(2, discovery.at, own_address, &peer, "");
    let _node = start(&config, "exec");
    peer.send_to(&[b'a'; 300], own_address).expect("sent");
    peer.send_to(&[0xff; 10], own_address).expect("sent");
    peer.send_to(b"a,1,99999,zz;g,1,7,1,-1,0,0,0;t,,;;,,,", own_address).expect("sent");
    unknown_sender.send_to(b"a,aa,0,1,1.0,0.0,1.0,500;", own_address).expect("sent");
    peer.send_to(b"a,aa,0,1,1.0,0.0,1.0,500;", own_address).expect("sent");
    peer.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let mut bytes = [0; 512];
    let (len, from) = peer.recv_from(&mut bytes).expect("the peer gets a reply");
    assert!(from == own_address && len <= 256);
    assert!(bytes.starts_with(b"g,aa,1,1,"), "{}", String::from_utf8_lossy(&bytes[..len]));
    unknown_sender.set_nonblocking(true).expect("a socket");
    assert!(unknown_sender.recv_from(&mut bytes).is_err(), "an unknown sender got a reply");
}

/// One of twenty gatekeepers cannot reach a worker. It reports that in one datagram, to the broadcast address
/// if one is set and else to the peer, without any other trigger; it receives reports at its own address.
#[test]
fn worker_failure_is_broadcast_in_one_datagram() {
    let unreachable = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let discovery = Discovery::with(list(1, true, &[target("s-1", unreachable, "ready", 0)]));
    let (peer, all, own_address) = (udp(), udp(), free_udp_address());
    for broadcast_setting in
        [format!(r#""peers_all":"{}","#, all.local_addr().expect("bound")), String::new()]
    {
        let config = config_with_peer(20, discovery.at, own_address, &peer, &broadcast_setting);
        let node = start(&config, "exec");
        let mut client = node.client();
        client.send(read_request(5000));
        assert_eq!(client.read_answer(), "-BUSY");
        let at = if broadcast_setting.is_empty() { &peer } else { &all };
        at.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        let mut bytes = [0; 512];
        let (len, from) = at.recv_from(&mut bytes).expect("a failure report");
        assert!(from == own_address && bytes.starts_with(b"!"), "{}", String::from_utf8_lossy(&bytes[..len]));
        assert_eq!(len, 9, "the mark and one short name");
    }
}
