//! Discovery that falls silent, hangs, ends or speaks in pieces: when the news is in effect all the same.

use crate::rig::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// What counts as told after this, whatever failed in between.
const TOLD: Duration = Duration::from_secs(6);

/// Discovery whose calls the test answers one by one, with the first list given and the first watch open.
pub fn by_hand(first: &str) -> (Door, Node, Line) {
    let discovery = Door::open();
    let node = spawn(&Setup::new(discovery.at).config(), "exec");
    let mut line = discovery.next();
    assert!(!line.call().contains("stream=1"));
    line.give(first);
    assert!(line.call().contains("stream=1"));
    line.open_watch();
    (discovery, node, line)
}

pub fn serving(node: &mut Node) {
    node.at = node.says(" serves at ").rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
}

/// The watch falls silent and the two calls after it hang, one before and one after the connection is taken: the next one
/// still brings the list in time.
#[test]
fn a_silent_watch_and_two_calls_that_hang_leave_the_list_in_effect_in_time() {
    let (old, new) = (Door::open(), Door::open());
    let (discovery, mut node, mut watch) = by_hand(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    serving(&mut node);
    push(watch.read.get_mut(), "");
    let silent = Instant::now();
    let hung = discovery.next();
    let mut asked = discovery.next();
    asked.call();
    let mut good = discovery.next();
    good.call();
    good.give(&list(2, true, &[target("s-2", new.at, "ready", 0)]));
    good.call();
    assert!(silent.elapsed() < TOLD, "{:?}", silent.elapsed());
    goes_to(&node, &new);
    assert!(old.nobody());
    drop((hung, asked));
}

/// Discovery is silent and comes back: what it then says counts at once, whether it answers the watch that was open or a call
/// that was made meanwhile. All of them are still open, and the first that speaks is followed.
#[test]
fn what_has_hung_is_heard_when_it_speaks_after_all() {
    for speaks in 0..3 {
        let (old, new) = (Door::open(), Door::open());
        let (discovery, mut node, watch) = by_hand(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
        serving(&mut node);
        let mut open = [watch, discovery.next(), discovery.next()];
        open[1..].iter_mut().for_each(|line| assert!(!line.call().contains("stream=1")));
        let news = list(2, true, &[target("s-2", new.at, "ready", 0)]);
        if speaks == 0 {
            push(open[0].read.get_mut(), &news);
        } else {
            open[speaks].give(&news);
            assert!(open[speaks].call().contains("stream=1"), "it goes on with this one");
        }
        for (which, line) in open.iter_mut().enumerate().filter(|(which, _)| *which != speaks) {
            assert!(line.ended(), "{which} is closed when {speaks} has spoken");
        }
        goes_to(&node, &new);
    }
}

/// Pieces of a line that never ends are a silence.
#[test]
fn a_line_that_never_ends_keeps_no_dead_watch_alive() {
    let worker = Door::open();
    let (discovery, mut node, mut watch) = by_hand(&list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    serving(&mut node);
    let mut dripping: TcpStream = watch.read.get_mut().try_clone().expect("a socket");
    let begun = Instant::now();
    let mut next = None;
    while next.is_none() {
        assert!(begun.elapsed() < TOLD, "the watch is still held for alive");
        // It may have been given up by now.
        let _ = dripping.write_all(b"1\r\n{\r\n");
        next = discovery.came.recv_timeout(Duration::from_millis(300)).ok();
    }
}

/// A watch that ends instead of telling, each time: the list is asked for again.
#[test]
fn watches_that_end_at_once_leave_the_list_to_be_asked_for() {
    let (old, new) = (Door::open(), Door::open());
    let (discovery, mut node, watch) = by_hand(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    serving(&mut node);
    drop(watch);
    let begun = Instant::now();
    for call in 0..4 {
        let mut line = discovery.next();
        assert!(!line.call().contains("stream=1"), "call {call} is not for the list");
        line.give(&list(2, true, &[target("s-2", new.at, "ready", 0)]));
        // Nor is it called without a pause.
        line.call();
    }
    assert!(begun.elapsed() < TOLD);
    goes_to(&node, &new);
}

#[test]
fn a_watch_that_tells_and_breaks_in_one_moment_is_called_again_at_once() {
    for round in 0..20 {
        let worker = Door::open();
        let now = [target("s-1", worker.at, "ready", 0)];
        let (discovery, mut node, mut watch) = by_hand(&list(1, true, &now));
        serving(&mut node);
        let news = list(2, false, &now);
        push(watch.read.get_mut(), &format!("{news}\n{{nonsense"));
        let called = discovery.came.recv_timeout(Duration::from_secs(2));
        assert!(called.is_ok(), "round {round}: no call within 2 s");
    }
}

#[test]
fn of_a_server_that_a_list_names_twice_the_last_line_holds() {
    let (a, b) = (Door::open(), Door::open());
    let line = |uid, at: &Door, state| target(uid, at.at, state, 0);
    let (discovery, mut node, mut watch) =
        by_hand(&list(1, true, &[line("s-1", &a, "ready"), line("s-2", &b, "ready")]));
    serving(&mut node);
    // What was known before stands first for the one and last for the other.
    let twice = [
        line("s-1", &a, "draining"),
        line("s-1", &a, "ready"),
        line("s-2", &b, "ready"),
        line("s-2", &b, "draining"),
    ];
    push(watch.read.get_mut(), &list(2, true, &twice));
    push(watch.read.get_mut(), "{nonsense");
    discovery.next();
    for _ in 0..10 {
        goes_to(&node, &a);
    }
    assert!(b.nobody());
}

#[test]
fn a_list_that_is_still_being_read_is_not_fetched_again() {
    let (discovery, worker) = (Door::open(), Door::open());
    let mut node = spawn(&Setup::new(discovery.at).config(), "exec");
    let mut line = discovery.next();
    line.call();
    let text = list(1, true, &[target("s-1", worker.at, "ready", 0)]) + &" ".repeat(400_000);
    line.say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()));
    for piece in text.as_bytes().chunks(20_000) {
        line.say(piece);
        thread::sleep(Duration::from_millis(70));
    }
    assert!(line.call().contains("stream=1"));
    assert!(discovery.nobody(), "the list was fetched a second time");
    serving(&mut node);
}

/// Of a large list: it is recognised as long as nothing else has been told since.
#[test]
fn a_whole_list_that_comes_again_is_in_effect_whatever_was_told_in_between() {
    let (a, b) = (Door::open(), Door::open());
    let others =
        (0..200).map(|k| target(&format!("o-{k}"), SocketAddr::from(([127, 0, 0, 1], 1)), "draining", k));
    let both = [target("s-1", a.at, "ready", 0), target("s-2", b.at, "draining", 0)];
    let whole = list(1, true, &others.chain(both).collect::<Vec<_>>());
    let (discovery, mut node, watch) = by_hand(&whole);
    serving(&mut node);
    let again = |watch: Line| {
        drop(watch);
        let mut line = discovery.next();
        line.call();
        line.give(&whole);
        assert!(line.call().contains("index=1"));
        line.open_watch();
        line
    };
    let mut watch = again(watch);
    goes_to(&node, &a);
    let swapped = [target("s-1", a.at, "draining", 0), target("s-2", b.at, "ready", 0)];
    push(watch.read.get_mut(), &list(2, false, &swapped));
    push(watch.read.get_mut(), "{nonsense");
    let watch = {
        let mut line = discovery.next();
        goes_to(&node, &b);
        line.call();
        line.give(&whole);
        line.call();
        line.open_watch();
        line
    };
    goes_to(&node, &a);
    node.signal("-TERM");
    assert!(node.says("counts since the start").contains("lists_unchanged=1"));
    drop(watch);
}

/// A list in pieces and indented, as a watch and as a whole.
#[test]
fn lists_in_pieces_and_indented_are_read() {
    let (a, b) = (Door::open(), Door::open());
    let indented = list(1, true, &[target("s-1", a.at, "ready", 0)]).replace(",", ",\n   ");
    let (_discovery, mut node, mut watch) = by_hand(&indented);
    serving(&mut node);
    goes_to(&node, &a);
    let line = list(2, false, &[target("s-1", a.at, "draining", 0), target("s-2", b.at, "ready", 0)]);
    let line = format!("  {}\n", line.replace(",", ",  "));
    for byte in line.as_bytes() {
        let piece = [b"1\r\n".as_slice(), &[*byte], b"\r\n"].concat();
        watch.read.get_mut().write_all(&piece).expect("written");
    }
    // What comes after it on the watch has been taken in once the watch is opened again over it.
    push(watch.read.get_mut(), "{nonsense");
    _discovery.next();
    goes_to(&node, &b);
}

/// An older list, in which a worker has not restarted yet, and the newer one again: nothing that is out is ended by it.
#[test]
fn a_list_that_goes_back_in_time_ends_no_life_again() {
    let worker = Door::open();
    let now = [target("s-1", worker.at, "ready", 1_700_000_000_000)];
    let (_discovery, mut node, mut watch) = by_hand(&list(5, true, &now));
    serving(&mut node);
    let mut client = node.client();
    client.say(order("pay", 8000));
    let mut out = worker.next();
    out.command();
    push(watch.read.get_mut(), &list(4, false, &[target("s-1", worker.at, "ready", 0)]));
    push(watch.read.get_mut(), &list(5, false, &now));
    push(watch.read.get_mut(), "{nonsense");
    _discovery.next();
    out.serve("paid");
    assert_eq!(client.answer(), "paid");
}

/// Clients fill the table while discovery is down: at its return it is still called, and a worker still reached.
#[test]
fn idle_clients_leave_discovery_and_workers_their_descriptors() {
    let (old, new) = (Door::open(), Door::open());
    let discovery = Door::open();
    let setup = Setup { sockets: 64, shell: "ulimit -n 64; exec".into(), ..Setup::new(discovery.at) };
    let mut node = spawn(&setup.config(), &setup.shell);
    let mut line = discovery.next();
    line.call();
    line.give(&list(1, true, &[target("s-1", old.at, "ready", 0)]));
    line.call();
    line.open_watch();
    serving(&mut node);
    let idle: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(node.at).expect("connected")).collect();
    drop(line);
    let mut line = discovery.next();
    line.call();
    line.give(&list(2, true, &[target("s-2", new.at, "ready", 0)]));
    line.call();
    goes_to(&node, &new);
    drop(idle);
}
