//! Members of a council in one process, over ways that can be cut by direction: forming, leaders that go, files that are
//! old, torn or full, members that come and go, and messages that are none.

use frostvale_council::file::{CouncilFile, FileError};
use frostvale_council::wire::{self, MAX_BODY_BYTES, VERSION};
use frostvale_council::{
    Council, Envelope, Error, Member, MembershipChange, MessageKind, Rejection, Settings, Transport,
};
use frostvale_owner::fence::Owner;
use frostvale_owner::{Command, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

const LONG: Duration = Duration::from_secs(20);
const ASK: Duration = Duration::from_secs(5);

/// All members of a test by address, and which ways are cut.
#[derive(Default)]
struct Bus {
    members: Mutex<BTreeMap<String, Arc<Council>>>,
    cut: Mutex<BTreeSet<(String, String)>>,
    hangs: Mutex<BTreeSet<String>>,
}

struct Way {
    bus: Arc<Bus>,
    from: String,
}

#[async_trait::async_trait]
impl Transport for Way {
    async fn call(&self, at: &str, message: Envelope) -> Result<Envelope, String> {
        let cut = |a: &str, b: &str| self.bus.cut.lock().unwrap().contains(&(a.to_string(), b.to_string()));
        if cut(&self.from, at) {
            return Err("cut".into());
        }
        if self.bus.hangs.lock().unwrap().contains(at) {
            sleep(LONG).await;
        }
        let member = self.bus.members.lock().unwrap().get(at).cloned().ok_or("nobody there")?;
        let answer = member.handle_message(message).await.map_err(|e| e.to_string())?;
        if cut(at, &self.from) {
            return Err("the answer was cut".into());
        }
        Ok(answer)
    }
}

struct Town {
    bus: Arc<Bus>,
    folder: tempfile::TempDir,
    voters: Vec<Member>,
}

impl Town {
    fn new(voters: usize) -> Town {
        let member = |k: usize| Member { name: format!("m{k}"), at: format!("at{k}") };
        let voters = (1..=voters).map(member).collect();
        Town { bus: Arc::default(), folder: tempfile::tempdir().expect("a folder"), voters }
    }

    async fn formed(voters: usize) -> Town {
        let town = Town::new(voters);
        for k in 1..=voters {
            town.start(k);
        }
        town.leader().await;
        town
    }

    fn file(&self, k: usize) -> PathBuf {
        self.folder.path().join(format!("m{k}.db"))
    }

    fn settings(&self, k: usize) -> Settings {
        Settings {
            fleet: "altiplano".into(),
            name: format!("m{k}"),
            at: format!("at{k}"),
            file: self.file(k),
            voters: self.voters.clone(),
            follow: k > self.voters.len(),
            heartbeat_ms: 50,
            read_only: false,
        }
    }

    fn start(&self, k: usize) -> Arc<Council> {
        let from = format!("at{k}");
        let way = Way { bus: self.bus.clone(), from: from.clone() };
        let council = Council::start(self.settings(k), Arc::new(way)).expect("started");
        self.bus.members.lock().unwrap().insert(from, council.clone());
        council
    }

    fn get(&self, k: usize) -> Arc<Council> {
        self.bus.members.lock().unwrap()[&format!("at{k}")].clone()
    }

    /// As a process that is killed: nothing of it runs any more, and its file is free.
    async fn stop(&self, k: usize) {
        let member = self.bus.members.lock().unwrap().remove(&format!("at{k}"));
        if let Some(member) = member {
            member.shutdown().await;
        }
        let until = Instant::now() + LONG;
        while let Err(e @ FileError::Locked) = CouncilFile::open(&self.file(k)) {
            assert!(Instant::now() < until, "its file is never free: {e}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn cut(&self, a: usize, b: usize) {
        self.bus.cut.lock().unwrap().insert((format!("at{a}"), format!("at{b}")));
    }

    fn heal(&self) {
        self.bus.cut.lock().unwrap().clear();
    }

    /// The number of the member that leads, once one does and can say so.
    async fn leader(&self) -> usize {
        let until = Instant::now() + LONG;
        loop {
            let members: Vec<(String, Arc<Council>)> =
                self.bus.members.lock().unwrap().iter().map(|(a, c)| (a.clone(), c.clone())).collect();
            for (at, member) in members {
                if member.is_leader() && member.read_current(Duration::from_millis(300)).await.is_ok() {
                    return at[2..].parse().expect("a number");
                }
            }
            assert!(Instant::now() < until, "nobody leads");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn until(&self, what: &str, is: impl Fn() -> bool) {
        let until = Instant::now() + LONG;
        while !is() {
            assert!(Instant::now() < until, "never: {what}");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

fn open(agent: &str, life: u64) -> Command {
    let owner = Owner { agent: agent.into(), life };
    Command::Open {
        owner,
        nonce: life,
        zone: "a".into(),
        duties: vec!["gaps".into()],
        fell: vec![],
        at_ms: 0,
    }
}

fn claim(agent: &str, life: u64, seen: u64) -> Command {
    let owner = Owner { agent: agent.into(), life };
    Command::Claim { duty: "gaps".into(), owner, seen, at_ms: 0 }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_alone_is_a_council_and_remembers() {
    let town = Town::formed(1).await;
    assert_eq!(town.get(1).propose(open("a", 1), ASK).await, Ok(Outcome::Done));
    assert_eq!(town.get(1).propose(claim("a", 1, 0), ASK).await, Ok(Outcome::Granted(1)));
    town.stop(1).await;
    town.start(1);
    town.leader().await;
    let known = town.get(1).read_current(ASK).await.expect("read");
    assert_eq!((known.owner.epoch, known.owner.duties["gaps"].epoch), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn three_agree_while_leaders_go_and_all_are_killed() {
    let town = Town::formed(3).await;
    let mut epoch = 0;
    assert_eq!(town.get(2).propose(open("a", 1), ASK).await, Ok(Outcome::Done));
    for _ in 0..3 {
        let leader = town.leader().await;
        town.stop(leader).await;
        let next = town.leader().await;
        assert_ne!(next, leader);
        // By whoever does not lead: it is carried to who does.
        let other = (1..=3).find(|k| *k != leader && *k != next).expect("a third");
        let seen = town.get(next).read_current(ASK).await.expect("read").owner.duties["gaps"].epoch;
        let release = Command::Close { owner: Owner { agent: "a".into(), life: epoch + 1 }, at_ms: 0 };
        let granted = town.get(other).propose(claim("a", epoch + 1, seen), ASK).await;
        epoch += 1;
        assert_eq!(granted, Ok(Outcome::Granted(epoch)));
        assert_eq!(town.get(other).propose(release, ASK).await, Ok(Outcome::Done));
        assert_eq!(town.get(other).propose(open("a", epoch + 1), ASK).await, Ok(Outcome::Done));
        town.start(leader);
    }
    town.leader().await;
    for k in 1..=3 {
        town.stop(k).await;
    }
    for k in [3, 1, 2] {
        town.start(k);
    }
    let leader = town.leader().await;
    let known = town.get(leader).read_current(ASK).await.expect("read");
    assert_eq!((known.owner.epoch, known.owner.lives["a"]), (epoch, epoch + 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_majority_nothing_is_promised_and_five_bear_two_that_hang() {
    let town = Town::formed(5).await;
    let leader = town.leader().await;
    let others: Vec<usize> = (1..=5).filter(|k| *k != leader).collect();
    town.bus.hangs.lock().unwrap().extend(others[..2].iter().map(|k| format!("at{k}")));
    assert_eq!(town.get(leader).propose(open("a", 1), ASK).await, Ok(Outcome::Done));
    town.bus.hangs.lock().unwrap().insert(format!("at{}", others[2]));
    let asked = town.get(leader).propose(open("b", 1), Duration::from_millis(1500)).await;
    assert!(matches!(asked, Err(Error::NoLeader | Error::InDoubt(_))), "{asked:?}");
    assert!(town.get(leader).read_current(Duration::from_millis(500)).await.is_err(), "nor is anything read");
    town.bus.hangs.lock().unwrap().clear();
    let back = town.leader().await;
    assert_eq!(town.get(back).propose(open("c", 1), ASK).await, Ok(Outcome::Done));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_hears_nobody_reads_nothing_old() {
    let town = Town::formed(3).await;
    let old = town.leader().await;
    let others: Vec<usize> = (1..=3).filter(|k| *k != old).collect();
    for k in &others {
        town.cut(old, *k);
        town.cut(*k, old);
    }
    town.until("the others have a leader", || others.iter().any(|k| town.get(*k).is_leader())).await;
    let next = others.iter().copied().find(|k| town.get(*k).is_leader()).expect("one");
    assert_eq!(town.get(next).propose(open("a", 1), ASK).await, Ok(Outcome::Done));
    let read = town.get(old).read_current(Duration::from_millis(500)).await;
    assert!(read.is_err(), "it can't know that it is old, so it says nothing");
    town.heal();
    let read = town.get(old).read_current(ASK).await.expect("read");
    assert!(read.owner.lives.contains_key("a"));
}

/// It is heard by the others, and hears none of their answers: heard, it would keep them from choosing another for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_is_heard_and_hears_nobody_gives_way() {
    let town = Town::formed(3).await;
    let deaf = town.leader().await;
    let others: Vec<usize> = (1..=3).filter(|k| *k != deaf).collect();
    others.iter().for_each(|k| town.cut(*k, deaf));
    town.until("another leads", || others.iter().any(|k| town.get(*k).is_leader())).await;
    let next = others.iter().copied().find(|k| town.get(*k).is_leader()).expect("one");
    assert_eq!(town.get(next).propose(open("a", 1), ASK).await, Ok(Outcome::Done));
    town.heal();
    town.until("it follows", || !town.get(deaf).is_leader()).await;
    let read = town.get(deaf).read_current(ASK).await.expect("read");
    assert!(read.owner.lives.contains_key("a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_copy_of_a_file_does_not_vote() {
    let town = Town::formed(3).await;
    town.get(1).propose(open("a", 1), ASK).await.expect("done");
    town.stop(2).await;
    let old = town.folder.path().join("old.db");
    fs::copy(town.file(2), &old).expect("copied");
    town.start(2);
    for life in 2..6 {
        town.get(1).propose(open("a", life), ASK).await.expect("done");
    }
    let known = town.get(1).read_current(ASK).await.expect("read");
    let two = town.get(2);
    town.until("it has caught up", || two.watch().borrow().owner == known.owner).await;
    drop(two);
    town.stop(2).await;
    fs::copy(&old, town.file(2)).expect("put back");
    let member = town.start(2);
    let why = member.stop_reason().expect("it takes no part");
    assert!(why.contains("older copy") && why.contains("does not vote"), "{why}");
    assert!(matches!(member.propose(open("b", 1), ASK).await, Err(Error::Stopped(_))));
    drop(member);

    // With the mark put back too, those who heard of it tell.
    town.stop(2).await;
    fs::remove_file(mark(&town.file(2))).expect("removed");
    let member = town.start(2);
    town.until("others have told it", || member.stop_reason().is_some()).await;
    assert!(member.stop_reason().is_some_and(|why| why.contains("older copy")));
    town.get(1).propose(open("c", 1), ASK).await.expect("the others go on");
}

fn mark(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_os_string();
    name.push(".mark");
    name.into()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_file_that_is_torn_or_held_does_not_vote() {
    let town = Town::formed(3).await;
    town.get(1).propose(open("a", 1), ASK).await.expect("done");
    town.stop(3).await;
    let sound = fs::read(town.file(3)).expect("read");

    let mut torn = sound.clone();
    let at = torn.len() / 2;
    torn[at..].fill(0x5a);
    fs::write(town.file(3), &torn).expect("written");
    let why = town.start(3).stop_reason().expect("no part");
    assert!(why.contains("damaged"), "{why}");

    fs::write(town.file(3), "no database at all, but long enough to look like something").expect("written");
    let why = town.start(3).stop_reason().expect("no part");
    assert!(why.contains("damaged"), "{why}");

    fs::write(town.file(3), &sound).expect("written");
    let held = CouncilFile::open(&town.file(3)).expect("sound");
    let why = town.start(3).stop_reason().expect("no part");
    assert!(why.contains("another process holds it"), "{why}");
    drop(held);
    let member = town.start(3);
    town.until("it takes part", || member.status().state == "follower").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_ends_a_members_part_and_the_others_go_on() {
    let town = Town::formed(3).await;
    let leader = town.leader().await;
    town.stop(leader).await;
    let file = CouncilFile::open(&town.file(leader)).expect("sound");
    drop(file);
    // Too few pages for anything more: as on a disk that is full.
    let member = town.start(leader);
    town.leader().await;
    member.limit_file_size(1).expect("limited");
    let other = (1..=3).find(|k| *k != leader).expect("another");
    let mut life = 1;
    let until = Instant::now() + LONG;
    while member.stop_reason().is_none() {
        assert!(Instant::now() < until, "it goes on, on a full disk");
        let duties = (0..50).map(|k| format!("duty-{life}-{k}")).collect();
        let owner = Owner { agent: "a".into(), life };
        let command = Command::Open { owner, nonce: 1, zone: "a".into(), duties, fell: vec![], at_ms: 0 };
        let _ = town.get(other).propose(command, Duration::from_secs(1)).await;
        life += 1;
    }
    let why = member.stop_reason().unwrap_or_default();
    assert!(why.contains("does not vote"), "{why}");
    drop(member);
    town.stop(leader).await;
    town.leader().await;
    assert_eq!(town.get(other).propose(open("b", 1), ASK).await, Ok(Outcome::Done));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_lost_its_disk_comes_back_as_a_new_one() {
    let town = Town::formed(3).await;
    town.get(1).propose(open("a", 1), ASK).await.expect("done");
    let lost = (1..=3).find(|k| !town.get(*k).is_leader()).expect("a follower");
    town.stop(lost).await;
    fs::remove_file(town.file(lost)).expect("lost");
    fs::remove_file(mark(&town.file(lost))).expect("lost");
    let member = town.start(lost);
    town.until("it sees that it is new", || member.status().state == "waits to be added").await;
    assert_eq!(member.status().id, 0);
    let (leader, name) = (town.leader().await, format!("m{lost}"));
    let add = MembershipChange::Add { name: name.clone(), at: format!("at{lost}") };
    let refused = town.get(leader).change_members(add.clone(), ASK).await;
    assert!(matches!(refused, Err(Error::Refused(why)) if why.contains("votes already")));
    town.get(leader).change_members(MembershipChange::Remove { name }, ASK).await.expect("removed");
    let said = town.get(leader).change_members(add, LONG).await.expect("added");
    assert!(said.contains("as member 4"), "{said}");
    town.until("it votes", || member.status().members.iter().any(|m| m.id == 4 && m.is_voter)).await;
    assert!(member.watch().borrow().owner.lives.contains_key("a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn followers_follow_and_members_change_one_at_a_time() {
    let town = Town::formed(3).await;
    for k in 4..=5 {
        let follower = town.start(k);
        town.until("it follows", || follower.status().state == "learner").await;
    }
    let leader = town.leader().await;
    let one = town.get(leader);
    let add = |k: usize| MembershipChange::Add { name: format!("m{k}"), at: String::new() };
    let (a, b) = tokio::join!(one.change_members(add(4), LONG), one.change_members(add(5), LONG));
    let done = [&a, &b].iter().filter(|r| r.is_ok()).count();
    assert!(done >= 1, "{a:?}, {b:?}");
    for (k, result) in [(4, a), (5, b)] {
        if let Err(why) = result {
            assert!(why.to_string().contains("another change"), "{why}");
            one.change_members(add(k), LONG).await.expect("added");
        }
    }
    let votes = |k: usize| town.get(k).status().members.iter().filter(|m| m.is_voter).count();
    town.until("five vote", || votes(4) == 5).await;
    // The leader itself is removed, by way of another.
    let other = (1..=3).find(|k| *k != leader).expect("another");
    let gone = MembershipChange::Remove { name: format!("m{leader}") };
    let done = town.get(other).change_members(gone, LONG).await;
    assert!(matches!(done, Ok(_) | Err(Error::InDoubt(_))), "{done:?}");
    town.until("four vote", || votes(other) == 4).await;
    drop(one);
    town.stop(leader).await;
    let next = town.leader().await;
    assert_ne!(next, leader);
    assert_eq!(town.get(next).propose(open("a", 1), ASK).await, Ok(Outcome::Done));
    let gone = town.get(next).change_members(MembershipChange::Remove { name: "nobody".into() }, ASK).await;
    assert!(matches!(gone, Err(Error::Refused(why)) if why.contains("no member")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_members_whose_answer_is_lost_is_known_to_be_done() {
    let town = Town::formed(3).await;
    let follower = town.start(4);
    town.until("it follows", || follower.status().state == "learner").await;
    let leader = town.leader().await;
    let other = (1..=3).find(|k| *k != leader).expect("another");
    let votes = |k: usize| town.get(k).status().members.iter().filter(|m| m.is_voter).count();
    for (change, then) in [
        (MembershipChange::Add { name: "m4".into(), at: String::new() }, 4),
        (MembershipChange::Remove { name: "m4".into() }, 3),
    ] {
        town.cut(leader, other);
        let asked = town.get(other);
        let asked = tokio::spawn(async move { asked.change_members(change, LONG).await });
        town.until("the leader has done it", || votes(leader) == then || !town.get(leader).is_leader()).await;
        town.heal();
        let said = asked.await.expect("ran").expect("known to be done");
        assert!(said.contains(&format!("{then} vote")), "{said}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_goes_on_alone_by_hand_and_the_lost_ones_are_refused() {
    let town = Town::formed(3).await;
    town.get(1).propose(open("a", 1), ASK).await.expect("done");
    let granted = town.get(1).propose(claim("a", 1, 0), ASK).await.expect("done");
    let known = town.get(3).read_current(ASK).await.expect("read");
    assert_eq!(known.owner.epoch, 1);
    // Those that are given up have seen later terms than the one that goes on: without more, it would follow them.
    town.stop(3).await;
    for _ in 0..4 {
        let leader = town.leader().await;
        town.stop(leader).await;
        town.start(leader);
    }
    town.leader().await;
    for k in 1..=2 {
        town.stop(k).await;
    }
    let file = CouncilFile::open(&town.file(3)).expect("sound");
    file.recover("ana", 0).expect("recovered");
    drop(file);
    town.start(3);
    let leader = town.leader().await;
    assert_eq!((leader, town.get(3).status().members.len()), (3, 1));
    assert_eq!(town.get(3).propose(open("b", 1), ASK).await, Ok(Outcome::Done));
    let close = Command::Close { owner: Owner { agent: "a".into(), life: 1 }, at_ms: 0 };
    town.get(3).propose(close, ASK).await.expect("done");
    let next = town.get(3).propose(claim("b", 1, 1), ASK).await.expect("done");
    assert_eq!(granted, Outcome::Granted(1));
    assert!(
        matches!(next, Outcome::Granted(epoch) if epoch > 1 << 39),
        "far above all that were given: {next:?}"
    );

    // Those that were given up come back, and are a council of the old kind: neither hears the other.
    town.start(1);
    town.start(2);
    town.until("the old ones are refused", || town.get(3).status().rejected > 20).await;
    assert!(town.get(3).is_leader());
    assert_eq!(town.get(3).propose(open("c", 1), ASK).await, Ok(Outcome::Done));
    assert!(!town.get(1).watch().borrow().owner.lives.contains_key("c"));
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_that_are_none_are_refused_counted_and_change_nothing() {
    let town = Town::formed(3).await;
    let member = town.get(1);
    let before = town.get(1).read_current(ASK).await.expect("read");
    let sound = Envelope {
        version: VERSION,
        fleet: "altiplano".into(),
        generation: 0,
        from: 2,
        to: 1,
        writes: 0,
        heard: 0,
        kind: MessageKind::Vote,
        body: b"{}".to_vec(),
    };
    let mut state = 11_u64;
    let mut noise = |len: usize| -> Vec<u8> {
        let mut draw = || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 33) as u8
        };
        (0..len).map(|_| draw()).collect()
    };
    let mut bad = vec![
        (Envelope { version: 2, ..sound.clone() }, "version 2"),
        (Envelope { fleet: "other".into(), ..sound.clone() }, "fleet other"),
        (Envelope { generation: 1, ..sound.clone() }, "generation 1"),
        (Envelope { to: 9, ..sound.clone() }, "member 9"),
        (Envelope { from: 77, body: vote(), ..sound.clone() }, "member 77: not known"),
        (Envelope { body: vec![b' '; MAX_BODY_BYTES + 1], ..sound.clone() }, "at the most"),
        (sound.clone(), "can't be read"),
    ];
    for kind in wire::MESSAGE_KINDS.into_iter().filter(|k| *k != MessageKind::Read) {
        bad.push((Envelope { kind, body: noise(200), ..sound.clone() }, "can't be read"));
    }
    let count = bad.len() as u64;
    let refused = member.status().rejected;
    for (message, word) in bad {
        let kind = message.kind;
        let said = member.handle_message(message).await.err().map(|e: Rejection| e.to_string());
        assert!(said.as_ref().is_some_and(|s| s.contains(word)), "{kind:?} {word}: {said:?}");
    }
    assert!(member.status().rejected >= refused + count);
    let by = member.status().rejected_by;
    for cause in ["version", "fleet", "generation", "other member", "unknown member", "size", "unreadable"] {
        assert!(by.get(cause).is_some_and(|n| *n > 0), "{cause}: {by:?}");
    }
    assert_eq!(by.values().sum::<u64>(), member.status().rejected);
    assert_eq!(town.get(1).read_current(ASK).await.expect("read").owner, before.owner);
    assert!(member.stop_reason().is_none());
}

/// A request for a vote in a term far ahead.
fn vote() -> Vec<u8> {
    br#"{"vote":{"leader_id":{"term":999,"node_id":77},"committed":false},"last_log_id":null}"#.to_vec()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_that_cannot_be_written_ends_a_members_part() {
    let town = Town::formed(3).await;
    town.get(1).propose(open("a", 1), ASK).await.expect("done");
    town.stop(3).await;
    let way = Way { bus: town.bus.clone(), from: "at3".into() };
    let settings = Settings { read_only: true, ..town.settings(3) };
    let member = Council::start(settings, Arc::new(way)).expect("its agent goes on");
    let why = member.stop_reason().expect("it takes no part");
    assert!(why.starts_with("council.file") && why.contains("does not vote"), "{why}");
    assert_eq!(town.get(1).propose(open("b", 1), ASK).await, Ok(Outcome::Done));
}

/// `cargo test --profile ci -p frostvale-council --test council -- --ignored --nocapture million`
#[tokio::test(flavor = "multi_thread")]
#[ignore = "long: run once, dated in docs/owner.md"]
async fn the_file_stays_small_over_a_million_changes() {
    let bytes = changes(1000, 1000).await;
    println!("{bytes} bytes after 1,000,000 changes");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_file_stays_small_over_many_changes() {
    changes(60, 200).await;
}

/// So many rounds of so many changes at once; the file's size after them.
async fn changes(rounds: usize, at_once: usize) -> u64 {
    let town = Town::formed(1).await;
    let member = town.get(1);
    member.propose(open("a", 1), ASK).await.expect("done");
    let owner = Owner { agent: "a".into(), life: 1 };
    let mut number = 0;
    for round in 0..rounds {
        if round % 100 == 99 {
            println!("{} changes, {} bytes", (round + 1) * at_once, member.status().file_bytes);
        }
        let mut all = Vec::new();
        for _ in 0..at_once {
            number += 1;
            let beat = Command::Beat { owner: owner.clone(), number, steps: vec![] };
            let member = member.clone();
            all.push(tokio::spawn(async move { member.propose(beat, LONG).await }));
        }
        for one in all {
            assert_eq!(one.await.expect("ran"), Ok(Outcome::Done));
        }
    }
    let bytes = member.status().file_bytes;
    assert!(bytes < 8 << 20, "{bytes} bytes after {number} changes");
    drop(member);
    timeout(LONG, town.stop(1)).await.expect("stopped");
    town.start(1);
    town.leader().await;
    let known = town.get(1).read_current(ASK).await.expect("read");
    assert_eq!(known.owner.sessions[&owner].number, number);
    bytes
}

#[test]
fn settings_that_cannot_work_name_the_field() {
    let town = Town::new(3);
    let sound = town.settings(1);
    assert_eq!(sound.check(), Ok(()));
    let mut bad = Vec::new();
    let mut case = |word: &'static str, change: &dyn Fn(&mut Settings)| {
        let mut settings = sound.clone();
        change(&mut settings);
        bad.push((word, settings));
    };
    case("voters: 2", &|s| drop(s.voters.pop()));
    case("voters[1].name", &|s| s.voters[1].name = "m1".into());
    case("voters[2].at", &|s| s.voters[2].at = "at1".into());
    case("voters: m9 is not among them", &|s| s.name = "m9".into());
    case("follow", &|s| s.follow = true);
    case("fleet", &|s| s.fleet = "a b".into());
    case("heartbeat_ms: 1; 20 to 10000", &|s| s.heartbeat_ms = 1);
    for (word, settings) in bad {
        let said = settings.check().expect_err(word);
        assert!(said.contains(word), "{word}: {said}");
    }
}
