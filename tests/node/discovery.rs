//! Discovery that is silent, hangs, ends or sends fragments: within which time an update still takes effect.

use crate::harness::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which an update takes effect, whatever fails in between.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);

/// Starts a gatekeeper with a discovery whose calls the test answers one by one; the first list is sent and
/// the first watch is open.
pub fn start_with_manual_discovery(first: &str) -> (TestListener, Node, TestConnection) {
    let discovery = TestListener::bind();
    let node = spawn(&Setup::new(discovery.at).config(), "exec");
    let mut conn = discovery.accept();
    assert!(!conn.read_http_request().contains("stream=1"));
    conn.send_list(first);
    assert!(conn.read_http_request().contains("stream=1"));
    conn.start_watch();
    (discovery, node, conn)
}

/// Waits until the gatekeeper serves and sets its address.
pub fn wait_until_serving(node: &mut Node) {
    node.at =
        node.wait_for_log(" serves at ").rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
}

/// The watch is silent and the two calls after it hang, one before and one after its request is read: the
/// next call must still deliver the list in time.
#[test]
fn list_is_applied_in_time_when_watch_is_silent_and_two_calls_hang() {
    let (old, new) = (TestListener::bind(), TestListener::bind());
    let (discovery, mut node, mut watch) =
        start_with_manual_discovery(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    wait_until_serving(&mut node);
    push(watch.read.get_mut(), "");
    let silent_since = Instant::now();
    let unread_call = discovery.accept();
    let mut unanswered_call = discovery.accept();
    unanswered_call.read_http_request();
    let mut answered_call = discovery.accept();
    answered_call.read_http_request();
    answered_call.send_list(&list(2, true, &[target("s-2", new.at, "ready", 0)]));
    answered_call.read_http_request();
    assert!(silent_since.elapsed() < UPDATE_LIMIT, "{:?}", silent_since.elapsed());
    assert_request_goes_to(&node, &new);
    assert!(old.has_no_connection());
    drop((unread_call, unanswered_call));
}

/// Discovery is silent and recovers: its first answer must be used at once, whether it comes on the open
/// watch or on a call made meanwhile. All of these connections stay open until one of them answers.
#[test]
fn list_is_applied_when_hung_call_or_watch_answers_late() {
    for answering in 0..3 {
        let (old, new) = (TestListener::bind(), TestListener::bind());
        let (discovery, mut node, watch) =
            start_with_manual_discovery(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
        wait_until_serving(&mut node);
        let mut open_connections = [watch, discovery.accept(), discovery.accept()];
        open_connections[1..]
            .iter_mut()
            .for_each(|conn| assert!(!conn.read_http_request().contains("stream=1")));
        let update = list(2, true, &[target("s-2", new.at, "ready", 0)]);
        if answering == 0 {
            push(open_connections[0].read.get_mut(), &update);
        } else {
            open_connections[answering].send_list(&update);
            assert!(
                open_connections[answering].read_http_request().contains("stream=1"),
                "the call that answered is not used for the watch"
            );
        }
        for (index, conn) in open_connections.iter_mut().enumerate().filter(|(index, _)| *index != answering)
        {
            assert!(conn.is_closed(), "{index} is not closed when {answering} has answered");
        }
        assert_request_goes_to(&node, &new);
    }
}

/// Fragments of a line that never ends count as silence.
#[test]
fn watch_times_out_when_line_never_ends() {
    let worker = TestListener::bind();
    let (discovery, mut node, mut watch) =
        start_with_manual_discovery(&list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    wait_until_serving(&mut node);
    let mut trickling: TcpStream = watch.read.get_mut().try_clone().expect("a socket");
    let started_at = Instant::now();
    let mut next = None;
    while next.is_none() {
        assert!(started_at.elapsed() < UPDATE_LIMIT, "the watch is not timed out");
        // The gatekeeper may have closed the watch already.
        let _ = trickling.write_all(b"1\r\n{\r\n");
        next = discovery.connections.recv_timeout(Duration::from_millis(300)).ok();
    }
}

/// Each watch ends without an update: the list must be requested again.
#[test]
fn list_is_requested_again_when_watches_end_at_once() {
    let (old, new) = (TestListener::bind(), TestListener::bind());
    let (discovery, mut node, watch) =
        start_with_manual_discovery(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    wait_until_serving(&mut node);
    drop(watch);
    let started_at = Instant::now();
    for call in 0..4 {
        let mut conn = discovery.accept();
        assert!(!conn.read_http_request().contains("stream=1"), "call {call} is not for the list");
        conn.send_list(&list(2, true, &[target("s-2", new.at, "ready", 0)]));
        // The next call follows after a pause.
        conn.read_http_request();
    }
    assert!(started_at.elapsed() < UPDATE_LIMIT);
    assert_request_goes_to(&node, &new);
}

#[test]
fn discovery_is_called_at_once_when_watch_fails_after_update() {
    for round in 0..20 {
        let worker = TestListener::bind();
        let current = [target("s-1", worker.at, "ready", 0)];
        let (discovery, mut node, mut watch) = start_with_manual_discovery(&list(1, true, &current));
        wait_until_serving(&mut node);
        let update = list(2, false, &current);
        push(watch.read.get_mut(), &format!("{update}\n{{nonsense"));
        let call = discovery.connections.recv_timeout(Duration::from_secs(2));
        assert!(call.is_ok(), "round {round}: no call within 2 s");
    }
}

#[test]
fn last_entry_is_used_when_list_names_server_twice() {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let entry = |uid, at: &TestListener, state| target(uid, at.at, state, 0);
    let (discovery, mut node, mut watch) =
        start_with_manual_discovery(&list(1, true, &[entry("s-1", &a, "ready"), entry("s-2", &b, "ready")]));
    wait_until_serving(&mut node);
    // For s-1 the current state is the last of the two entries, for s-2 the first.
    let entries = [
        entry("s-1", &a, "draining"),
        entry("s-1", &a, "ready"),
        entry("s-2", &b, "ready"),
        entry("s-2", &b, "draining"),
    ];
    push(watch.read.get_mut(), &list(2, true, &entries));
    push(watch.read.get_mut(), "{nonsense");
    discovery.accept();
    for _ in 0..10 {
        assert_request_goes_to(&node, &a);
    }
    assert!(b.has_no_connection());
}

#[test]
fn list_is_not_requested_again_while_it_is_being_read() {
    let (discovery, worker) = (TestListener::bind(), TestListener::bind());
    let mut node = spawn(&Setup::new(discovery.at).config(), "exec");
    let mut conn = discovery.accept();
    conn.read_http_request();
    let text = list(1, true, &[target("s-1", worker.at, "ready", 0)]) + &" ".repeat(400_000);
    conn.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()));
    for piece in text.as_bytes().chunks(20_000) {
        conn.send(piece);
        thread::sleep(Duration::from_millis(70));
    }
    assert!(conn.read_http_request().contains("stream=1"));
    assert!(discovery.has_no_connection(), "the list was requested a second time");
    wait_until_serving(&mut node);
}

/// A large list that arrives again is recognised as unchanged only if no other update came since.
#[test]
fn complete_list_is_applied_again_when_update_came_in_between() {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let other_servers =
        (0..200).map(|k| target(&format!("o-{k}"), SocketAddr::from(([127, 0, 0, 1], 1)), "draining", k));
    let both = [target("s-1", a.at, "ready", 0), target("s-2", b.at, "draining", 0)];
    let complete_list = list(1, true, &other_servers.chain(both).collect::<Vec<_>>());
    let (discovery, mut node, watch) = start_with_manual_discovery(&complete_list);
    wait_until_serving(&mut node);
    let reopen = |watch: TestConnection| {
        drop(watch);
        let mut conn = discovery.accept();
        conn.read_http_request();
        conn.send_list(&complete_list);
        assert!(conn.read_http_request().contains("index=1"));
        conn.start_watch();
        conn
    };
    let mut watch = reopen(watch);
    assert_request_goes_to(&node, &a);
    let swapped = [target("s-1", a.at, "draining", 0), target("s-2", b.at, "ready", 0)];
    push(watch.read.get_mut(), &list(2, false, &swapped));
    push(watch.read.get_mut(), "{nonsense");
    let watch = {
        let mut conn = discovery.accept();
        assert_request_goes_to(&node, &b);
        conn.read_http_request();
        conn.send_list(&complete_list);
        conn.read_http_request();
        conn.start_watch();
        conn
    };
    assert_request_goes_to(&node, &a);
    node.signal("-TERM");
    assert!(node.wait_for_log("counts since the start").contains("lists_unchanged=1"));
    drop(watch);
}

/// Lists may be indented and split into chunks, both as watch lines and as complete lists.
#[test]
fn list_is_parsed_when_indented_or_split_into_chunks() {
    let (a, b) = (TestListener::bind(), TestListener::bind());
    let indented = list(1, true, &[target("s-1", a.at, "ready", 0)]).replace(",", ",\n   ");
    let (_discovery, mut node, mut watch) = start_with_manual_discovery(&indented);
    wait_until_serving(&mut node);
    assert_request_goes_to(&node, &a);
    let line = list(2, false, &[target("s-1", a.at, "draining", 0), target("s-2", b.at, "ready", 0)]);
    let line = format!("  {}\n", line.replace(",", ",  "));
    for byte in line.as_bytes() {
        let piece = [b"1\r\n".as_slice(), &[*byte], b"\r\n"].concat();
        watch.read.get_mut().write_all(&piece).expect("written");
    }
    // The malformed line ends the watch; once discovery is called again all lines before it have been read.
    push(watch.read.get_mut(), "{nonsense");
    _discovery.accept();
    assert_request_goes_to(&node, &b);
}

/// An older list, from before a restart of a worker, and then the newer one again: an attempt in flight must
/// not be ended by either.
#[test]
fn attempt_continues_when_older_list_predates_worker_restart() {
    let worker = TestListener::bind();
    let current = [target("s-1", worker.at, "ready", 1_700_000_000_000)];
    let (_discovery, mut node, mut watch) = start_with_manual_discovery(&list(5, true, &current));
    wait_until_serving(&mut node);
    let mut client = node.client();
    client.send(write_request("pay", 8000));
    let mut attempt = worker.accept();
    attempt.read_command();
    push(watch.read.get_mut(), &list(4, false, &[target("s-1", worker.at, "ready", 0)]));
    push(watch.read.get_mut(), &list(5, false, &current));
    push(watch.read.get_mut(), "{nonsense");
    _discovery.accept();
    attempt.send_value("paid");
    assert_eq!(client.read_answer(), "paid");
}

/// Clients fill the table while discovery is down: descriptors must be left to call discovery on its return
/// and to reach a worker.
#[test]
fn discovery_and_workers_are_reachable_when_idle_clients_fill_table() {
    let (old, new) = (TestListener::bind(), TestListener::bind());
    let discovery = TestListener::bind();
    let setup = Setup { sockets: 64, shell: "ulimit -n 64; exec".into(), ..Setup::new(discovery.at) };
    let mut node = spawn(&setup.config(), &setup.shell);
    let mut conn = discovery.accept();
    conn.read_http_request();
    conn.send_list(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    conn.read_http_request();
    conn.start_watch();
    wait_until_serving(&mut node);
    let idle_clients: Vec<TcpStream> =
        (0..100).map(|_| TcpStream::connect(node.at).expect("connected")).collect();
    drop(conn);
    let mut conn = discovery.accept();
    conn.read_http_request();
    conn.send_list(&list(2, true, &[target("s-2", new.at, "ready", 0)]));
    conn.read_http_request();
    assert_request_goes_to(&node, &new);
    drop(idle_clients);
}
