//! Attempts that are cancelled and connections to workers that are established late: what may reach the
//! worker afterwards.

use crate::harness::*;
use crate::sockets::wait_for_connection_attempt;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which servers drop repeats of a request of the class `brief`, as the settings state it.
const DEDUP_WINDOW: Duration = Duration::from_millis(600);

/// A worker that receives a few kB and then nothing: about 20 kB of a command stay in the gatekeeper's
/// kernel, and what exceeds that in the gatekeeper itself.
fn slow_worker() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.set_tcp_mss(536).expect("small segments");
    socket.set_recv_buffer_size(2304).expect("a small buffer");
    socket.bind(&any_port.into()).and_then(|()| socket.listen(8)).expect("listening");
    socket.into()
}

/// Reads a connection to its end; returns the bytes and whether it ended without a reset.
fn read_to_end(mut stream: TcpStream) -> (Vec<u8>, bool) {
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (received, true),
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (received, false),
            Err(e) => panic!("{e}"),
        }
    }
}

/// A read request with an argument of `bytes` bytes.
fn long_request(wait: u32, bytes: usize) -> Vec<u8> {
    let fields = format!("c=read,t=p,d={wait},units=1,spread=1,first=0");
    resp_command(&["Q.ASK", "00000000b4d65521", REQUEST_ID, &fields, &"x".repeat(bytes)])
}

/// A client disconnects while its command is partly written: the worker must not get the rest of it.
#[test]
fn partly_written_command_is_not_completed_when_client_disconnects() {
    let worker = slow_worker();
    let discovery =
        Discovery::with(list(1, true, &[target("s-1", worker.local_addr().expect("bound"), "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut client = node.client();
    client.send(long_request(8000, 60_000));
    let (stream, _) = worker.accept().expect("a connection");
    node.wait_until_input_is_processed();
    node.disconnect_client(client, drop);
    node.wait_until_input_is_processed();
    let (received, _) = read_to_end(stream);
    assert!(received.len() < 60_000, "{} bytes", received.len());
}

/// The deadline passes while the kernel still holds a part of the command: a cancelled command must not
/// arrive completely afterwards.
#[test]
fn command_in_kernel_buffer_is_not_delivered_when_attempt_times_out() {
    let worker = slow_worker();
    let discovery =
        Discovery::with(list(1, true, &[target("s-1", worker.local_addr().expect("bound"), "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut client = node.client();
    client.send(long_request(600, 12_000));
    let (stream, _) = worker.accept().expect("a connection");
    assert_eq!(client.read_answer(), "-BUSY");
    node.wait_until_input_is_processed();
    let (received, is_closed_without_reset) = read_to_end(stream);
    assert!(!is_closed_without_reset && received.len() < 12_000, "{} bytes", received.len());
}

/// The connection for a keyed retry is established only after the deduplication window: the retry must not be
/// sent, as the server would run it a second time.
#[test]
fn keyed_retry_is_not_sent_when_connect_outlasts_dedup_window() {
    let (full_listener, at, queue_filler) = full_listener();
    let first = TestListener::bind();
    let both = [target("s-1", first.at, "ready", 0), target("s-2", at, "ready", 0)];
    let discovery = Discovery::with(list(1, true, &both[..1]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.send(write_request("brief", 8000));
    let started_at = Instant::now();
    let mut conn = first.accept();
    conn.read_command();
    discovery.apply_list(watch, &list(2, false, &both), &list(2, true, &both));
    // The first attempt may have run: a retry is safe only within the deduplication window.
    drop(conn);
    thread::spawn(move || {
        thread::sleep(DEDUP_WINDOW.saturating_sub(started_at.elapsed()) + Duration::from_millis(50));
        drop(full_listener.accept());
        if let Ok((stream, _)) = full_listener.accept() {
            let mut conn = TestConnection::new(stream);
            conn.read_command();
            conn.send_value("twice");
        }
    });
    assert_eq!(client.read_answer(), "-ERR failed");
    drop(queue_filler);
}

/// A worker that a complete list does not name is removed at once, even if it still answers: its idle
/// connections are closed and it gets no requests. Once listed again it is used as before.
#[test]
fn worker_gets_no_requests_when_complete_list_omits_it() {
    let (left_out, other) = (TestListener::bind(), TestListener::bind());
    let discovery = Discovery::with(list(1, true, &[target("s-1", left_out.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.send(read_request(5000));
    let mut conn = left_out.accept();
    conn.read_command();
    conn.send_value("a");
    assert_eq!(client.read_answer(), "a");
    let mut busy = node.client();
    busy.send(read_request(5000));
    let mut attempt = left_out.accept_or_reuse(&mut conn);
    attempt.read_command();
    let complete_list = list(2, true, &[target("s-2", other.at, "ready", 0)]);
    let watch = discovery.apply_list(watch, &complete_list, &complete_list);
    attempt.send_value("still answered");
    assert_eq!(busy.read_answer(), "still answered");
    assert!(attempt.is_closed(), "the connection is not closed after the answer");
    for _ in 0..5 {
        client.send(read_request(5000));
    }
    for _ in 0..5 {
        let mut conn = other.accept();
        conn.read_command();
        conn.send_value("b");
        assert_eq!(client.read_answer(), "b");
    }
    assert!(left_out.has_no_connection());
    let complete_list = list(3, true, &[target("s-1", left_out.at, "ready", 0)]);
    discovery.apply_list(watch, &complete_list, &complete_list);
    client.send(read_request(5000));
    let mut conn = left_out.accept();
    conn.read_command();
    conn.send_value("back");
    assert_eq!(client.read_answer(), "back");
}

/// Unexpected bytes arrive on an idle connection and are unread when the next request arrives: the request
/// must use another connection, or it would get an answer that is not its own.
#[test]
fn idle_connection_is_not_reused_when_unexpected_bytes_arrive() {
    for unexpected in ["*", "*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n", "-BUSY\r\n", "\r\n"] {
        let (worker, _discovery, node) = start_with_one_worker();
        let mut client = node.client();
        client.send(write_request("pay", 30_000));
        let mut conn = worker.accept();
        conn.read_command();
        conn.send_value("one");
        assert_eq!(client.read_answer(), "one");
        thread::sleep(REUSE_DELAY);
        node.freeze();
        conn.send(unexpected);
        conn.wait_until_acknowledged();
        client.send(write_request("pay", 30_000));
        client.wait_until_acknowledged();
        node.thaw();
        let mut new_conn = worker.accept();
        new_conn.read_command();
        assert!(!conn.has_data(), "{unexpected:?}");
        new_conn.send_value("two");
        assert_eq!(client.read_answer(), "two", "{unexpected:?}");
        assert!(conn.is_closed(), "{unexpected:?}");
    }
}

/// A worker closes its connection just as a request is written to it: a repeatable request goes to the other
/// worker, any other fails, and neither is sent twice.
#[test]
fn request_is_retried_as_its_class_allows_when_worker_closes_connection() {
    for (class, answer) in [("read", "two"), ("pay", "-ERR failed")] {
        let (a, b, _discovery, node) = start_with_two_workers();
        let (at_a, at_b) = idle_connections(&a, &b, &node);
        let mut client = node.client();
        client.send(if class == "read" { read_request(30_000) } else { write_request(class, 30_000) });
        let (mut attempt, mut other) = find_connection_with_data(at_a, at_b);
        attempt.read_command();
        attempt.shutdown_write();
        if class == "read" {
            other.read_command();
            other.send_value("two");
        }
        assert_eq!(client.read_answer(), answer, "{class}");
        node.wait_until_input_is_processed();
        assert!(!other.has_data() && a.has_no_connection() && b.has_no_connection(), "{class}");
    }
}

/// While a connection is being established the worker restarts, changes its address or is removed by a
/// complete list, or the client disconnects: nothing may be written to it for that request.
#[test]
fn request_is_not_sent_when_it_became_obsolete_during_connect() {
    for event in ["restarts", "moves", "is left out", "loses its client"] {
        let (full_listener, at, queue_filler) = full_listener();
        let other = TestListener::bind();
        let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
        let node = Setup::new(discovery.at).start();
        let watch = discovery.watch();
        let mut client = Some(node.client());
        client.as_mut().expect("a connected client").send(read_request(30_000));
        wait_for_connection_attempt(at);
        let new_entry = match event {
            "restarts" => Some(target("s-1", at, "ready", 1_700_000_000_000)),
            "moves" => Some(target("s-1", other.at, "ready", 0)),
            "is left out" => Some(target("s-2", other.at, "ready", 0)),
            _ => None,
        };
        match new_entry {
            Some(new_entry) => {
                let new_entry = list(2, true, &[new_entry]);
                discovery.apply_list(watch, &new_entry, &new_entry);
            }
            None => {
                node.disconnect_client(client.take().expect("a connected client"), drop);
                node.wait_until_input_is_processed();
            }
        }
        drop(full_listener.accept().expect("the connection that filled the queue"));
        let mut conn = TestConnection::new(full_listener.accept().expect("the pending connection").0);
        node.wait_until_input_is_processed();
        if let Some(mut client) = client {
            assert!(conn.is_closed(), "{event}: the connection is used or stays open");
            if event == "is left out" {
                let mut first = other.accept();
                first.read_command();
                first.send_value("elsewhere");
                assert_eq!(client.read_answer(), "elsewhere");
            } else {
                assert!(client.read_answer().starts_with("-BUSY"), "{event}");
            }
        } else {
            thread::sleep(REUSE_DELAY);
            let mut next = node.client();
            next.send(read_request_with_id(REQUEST_ID, 30_000));
            assert_eq!(
                conn.read_command()[2],
                REQUEST_ID,
                "the first command on the connection is not the next client's"
            );
        }
        drop(queue_filler);
    }
}

#[test]
fn keyed_request_is_not_retried_outside_its_group_when_server_is_removed() {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let in_cell = |uid, at: &TestListener, cell| {
        target(uid, at.at, "ready", 0).replace(r#""pod_group":0"#, &format!(r#""pod_group":{cell}"#))
    };
    let discovery = Discovery::with(list(1, true, &[in_cell("s-1", &a, 3)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.send(write_request("order", 3000));
    let mut conn = a.accept();
    conn.read_command();
    let other = list(2, true, &[in_cell("s-2", &b, 0)]);
    let _watch = discovery.apply_list(watch, &other, &other);
    conn.reset();
    assert!(client.read_answer().starts_with('-'));
    assert!(b.has_no_connection(), "a retry was sent outside its group");
}
