//! A new server process at the address of one that has gone: nothing that was meant for the old one reaches it.

use crate::harness::*;
use std::net::SocketAddr;
use std::thread;

/// An entry of a server in a cell.
fn in_cell(uid: &str, at: SocketAddr, cell: u32, boot_ms: u64) -> String {
    target(uid, at, "ready", boot_ms).replace(r#""pod_group":0"#, &format!(r#""pod_group":{cell}"#))
}

/// A keyed request's attempt ends after another server, of another cell, was listed at the address of the only
/// other server of its cell.
#[test]
fn keyed_request_is_not_repeated_at_a_new_server_at_the_address_of_one_of_its_cell() {
    for boot_ms in [0, 1_700_000_000_000] {
        let (a, b) = (TestListener::bind(), TestListener::bind());
        let both = [in_cell("s-1", a.at, 3, 0), in_cell("s-2", b.at, 3, 0)];
        let discovery = Discovery::with(list(1, true, &both));
        let node = Setup::new(discovery.at).start();
        let watch = discovery.watch();
        let mut client = node.client();
        client.send(write_request("order", 3000));
        let (mut conn, other) = accept_from_either(&a, &b);
        conn.read_command();
        // The former server there is not said to be gone.
        let newcomer = in_cell("s-3", other.at, 0, boot_ms);
        let still = if std::ptr::eq(other, &a) { &both[1] } else { &both[0] };
        let _watch = discovery.apply_list(
            watch,
            &list(2, false, std::slice::from_ref(&newcomer)),
            &list(2, true, &[still.clone(), newcomer.clone()]),
        );
        conn.reset();
        assert_eq!(client.read_answer(), "-ERR failed");
        assert!(other.has_no_connection(), "the repeat was sent to another cell");
    }
}

/// The connection to a server that has gone stays open at a new one with its address.
#[test]
fn resting_connection_is_not_used_for_a_new_server_at_its_address() {
    for (what, newcomer) in [("another uid", ("s-2", 0)), ("a later start", ("s-1", 1_700_000_000_000))] {
        let worker = TestListener::bind();
        let discovery = Discovery::with(list(1, true, &[in_cell("s-1", worker.at, 0, 0)]));
        let node = Setup::new(discovery.at).start();
        let watch = discovery.watch();
        let (mut client, mut old) = start_request(&node, &worker);
        old.send_value("first");
        assert_eq!(client.read_answer(), "first");
        thread::sleep(REUSE_DELAY);
        let entry = in_cell(newcomer.0, worker.at, 0, newcomer.1);
        let line = list(2, false, std::slice::from_ref(&entry));
        let _watch = discovery.apply_list(watch, &line, &list(2, true, &[entry]));
        client.send(read_request(5000));
        let mut new = worker.accept();
        new.read_command();
        new.send_value("second");
        assert_eq!(client.read_answer(), "second", "{what}");
        assert!(old.is_closed(), "{what}: the connection to the old process stays open");
    }
}

/// The server whose attempt is out starts anew at its address: the attempt is over and may have run.
#[test]
fn unsafe_request_is_not_repeated_when_its_server_starts_anew_at_its_address() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[in_cell("s-1", worker.at, 0, 0)]));
    let node = Setup::new(discovery.at).start();
    let watch = discovery.watch();
    let mut client = node.client();
    client.send(write_request("pay", 5000));
    let mut attempt = worker.accept();
    attempt.read_command();
    let entry = in_cell("s-1", worker.at, 0, 1_700_000_000_000);
    let line = list(2, false, std::slice::from_ref(&entry));
    let _watch = discovery.apply_list(watch, &line, &list(2, true, &[entry]));
    assert_eq!(client.read_answer(), "-ERR failed");
    assert!(worker.has_no_connection(), "the request was sent to the new process");
}
