//! Fragmented input, floods, endless answers and malformed lists: only the connection or call on which they
//! arrive is affected.

use crate::harness::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Writes the text one byte at a time, each in its own segment.
fn write_bytewise(stream: &mut TcpStream, text: &[u8]) {
    stream.set_nodelay(true).expect("a socket");
    for byte in text {
        stream.write_all(&[*byte]).expect("written");
    }
}

#[test]
fn command_and_answer_are_parsed_when_sent_bytewise() {
    let (worker, _discovery, node) = start_with_one_worker();
    let mut client = node.client();
    write_bytewise(client.read.get_mut(), &[write_request("pay", 30_000), resp_command(&["PING"])].concat());
    let mut conn = worker.accept();
    assert_eq!(conn.read_command()[0], "Q.DO");
    write_bytewise(conn.read.get_mut(), b"*3\r\n$4\r\ndone\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n");
    assert_eq!(client.read_answer(), "done");
    assert_eq!(client.read_answer(), "+PONG");
}

/// A client sends more than one read takes and disconnects: none of it may be started, and another client
/// must be served.
#[test]
fn other_clients_are_served_when_client_floods_and_disconnects() {
    let (worker, _discovery, node) = start_with_one_worker();
    let count = worker.serve_all("on");
    let mut disconnected = node.client();
    disconnected.send(resp_command(&["PING"]));
    assert_eq!(disconnected.read_answer(), "+PONG");
    node.freeze();
    disconnected.send((0..300).flat_map(|_| read_request(30_000)).collect::<Vec<u8>>());
    node.disconnect_client(disconnected, drop);
    node.thaw();
    node.wait_until_input_is_processed();
    assert_eq!(count.load(Ordering::SeqCst), 0, "a request was started for a disconnected client");
    let mut client = node.client();
    let is_served = (0..50).any(|_| {
        client.send(read_request(30_000));
        client.read_answer() == "on"
    });
    assert!(is_served, "no request is served");
    let log = node.log.lock().expect("an unpoisoned lock").clone();
    assert!(log.len() < 5, "{log:?}");
}

/// Checks that a new client is served, on a new or an idle worker connection.
fn assert_serves(node: &Node, worker: &TestListener) {
    let mut client = node.client();
    for _ in 0..50 {
        client.send(read_request(30_000));
        // The throttle may refuse some requests at random after others have failed.
        if let Some(mut conn) = worker.accept_within(&mut client, TIMEOUT) {
            conn.read_command();
            conn.send_value("on");
            assert_eq!(client.read_answer(), "on");
            return;
        }
        assert!(client.read_answer().starts_with("-BUSY"));
    }
    panic!("no request is served");
}

/// A worker's answer never ends: the request must be answered by its own deadline and the connection closed.
#[test]
fn only_its_request_fails_when_worker_answer_never_ends() {
    for head in ["*3\r\n$60000\r\n", "-", "*"] {
        let (worker, _discovery, node) = start_with_one_worker();
        let mut client = node.client();
        client.send(write_request("pay", 700));
        let mut conn = worker.accept();
        conn.read_command();
        let mut stream = conn.read.get_ref().try_clone().expect("a socket");
        let trickle = thread::spawn(move || {
            let _ = stream.write_all(head.as_bytes());
            while stream.write_all(b"1").is_ok() {
                thread::sleep(Duration::from_millis(5));
            }
        });
        assert_eq!(client.read_answer(), "-ERR failed", "{head:?}");
        trickle.join().expect("the connection is closed");
        assert_serves(&node, &worker);
    }
}

/// Truncated lists, lists that are not JSON and lists with invalid entries: the call fails or the entry is
/// ignored, and the list in use stays. Of two entries for one server the later one is used.
#[test]
fn list_in_use_stays_when_new_list_is_malformed() {
    let (old, new) = (TestListener::bind(), TestListener::bind());
    let listed_before = target("s-1", old.at, "ready", 0);
    let discovery = TestListener::bind();
    let mut node = spawn(&Setup::new(discovery.at).config(), "exec");
    let mut conn = discovery.accept();
    conn.read_http_request();
    conn.send_list(&list(1, true, &[listed_before]));
    conn.read_http_request();
    node.at =
        node.wait_for_log(" serves at ").rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    let complete_list = list(3, true, &[target("s-2", new.at, "ready", 0)]);
    conn.start_watch();
    drop(conn);
    for malformed_list in
        ["{", "[]", "{\"rev\":\"x\",\"targets\":[]}", "\u{0}", &complete_list[..complete_list.len() - 3]]
    {
        let mut conn = discovery.accept();
        conn.read_http_request();
        conn.send_list(malformed_list);
        assert_serves(&node, &old);
    }
    let mut conn = discovery.accept();
    conn.read_http_request();
    conn.send(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        complete_list.len(),
        &complete_list[..20]
    ));
    drop(conn);
    let mut conn = discovery.accept();
    conn.read_http_request();
    let invalid_entries =
        r#"{"uid":"s-9","endpoint":"nowhere","pod_group":0,"state":"ready"},{"uid":7},null"#;
    let (repeated, last_entry) = (target("s-2", old.at, "draining", 0), target("s-2", new.at, "ready", 0));
    conn.send_list(&format!(
        r#"{{"rev":3,"all":true,"targets":[{invalid_entries},{repeated},{last_entry}]}}"#
    ));
    assert!(conn.read_http_request().contains("index=3"));
    assert_serves(&node, &new);
    assert!(old.has_no_connection());
    let log = node.log.lock().expect("an unpoisoned lock").clone();
    assert!(log.iter().filter(|line| line.contains("discovery at")).count() < 4, "{log:?}");
}
