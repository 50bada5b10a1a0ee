//! Tests a council whose members run in one process, over links that can be cut in one direction: forming,
//! loss of the leader, council files that are outdated, damaged, locked or full, changes of members,
//! recovery, and malformed messages.

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

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The members of a test by address, and the failures of their links.
#[derive(Default)]
struct TestNetwork {
    members: Mutex<BTreeMap<String, Arc<Council>>>,
    /// Pairs (from, to) whose messages are lost.
    cut_links: Mutex<BTreeSet<(String, String)>>,
    /// Members that take messages and answer too late.
    hanging: Mutex<BTreeSet<String>>,
}

/// The links of one member.
struct TestTransport {
    network: Arc<TestNetwork>,
    from: String,
}

#[async_trait::async_trait]
impl Transport for TestTransport {
    async fn call(&self, at: &str, message: Envelope) -> Result<Envelope, String> {
        let is_cut = |a: &str, b: &str| {
            self.network.cut_links.lock().unwrap().contains(&(a.to_string(), b.to_string()))
        };
        if is_cut(&self.from, at) {
            return Err("the link is cut".into());
        }
        if self.network.hanging.lock().unwrap().contains(at) {
            sleep(LONG_TIMEOUT).await;
        }
        let member =
            self.network.members.lock().unwrap().get(at).cloned().ok_or("no member at this address")?;
        let answer = member.handle_message(message).await.map_err(|e| e.to_string())?;
        if is_cut(at, &self.from) {
            return Err("the answer was lost".into());
        }
        Ok(answer)
    }
}

/// A council, with its members' files in a folder of its own. Members m1, m2, ... are at at1, at2, ...
struct TestCluster {
    network: Arc<TestNetwork>,
    folder: tempfile::TempDir,
    voters: Vec<Member>,
}

impl TestCluster {
    fn new(voters: usize) -> TestCluster {
        let member = |k: usize| Member { name: format!("m{k}"), at: format!("at{k}") };
        let voters = (1..=voters).map(member).collect();
        TestCluster { network: Arc::default(), folder: tempfile::tempdir().expect("a folder"), voters }
    }

    /// Starts this many voters and waits until they have a leader.
    async fn formed(voters: usize) -> TestCluster {
        let cluster = TestCluster::new(voters);
        for k in 1..=voters {
            cluster.start(k);
        }
        cluster.wait_for_leader().await;
        cluster
    }

    fn file(&self, k: usize) -> PathBuf {
        self.folder.path().join(format!("m{k}.db"))
    }

    /// Members above the number of voters follow.
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
        let transport = TestTransport { network: self.network.clone(), from: from.clone() };
        let council = Council::start(self.settings(k), Arc::new(transport)).expect("started");
        self.network.members.lock().unwrap().insert(from, council.clone());
        council
    }

    fn member(&self, k: usize) -> Arc<Council> {
        self.network.members.lock().unwrap()[&format!("at{k}")].clone()
    }

    /// Stops a member, as if its process were killed: waits until its file is no longer locked.
    async fn stop(&self, k: usize) {
        let member = self.network.members.lock().unwrap().remove(&format!("at{k}"));
        if let Some(member) = member {
            member.shutdown().await;
        }
        let deadline = Instant::now() + LONG_TIMEOUT;
        while let Err(e @ FileError::Locked) = CouncilFile::open(&self.file(k)) {
            assert!(Instant::now() < deadline, "the file stays locked: {e}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn cut_link(&self, a: usize, b: usize) {
        self.network.cut_links.lock().unwrap().insert((format!("at{a}"), format!("at{b}")));
    }

    fn restore_links(&self) {
        self.network.cut_links.lock().unwrap().clear();
    }

    /// Waits for a leader that a majority confirms, and returns its number.
    async fn wait_for_leader(&self) -> usize {
        let deadline = Instant::now() + LONG_TIMEOUT;
        loop {
            let members: Vec<(String, Arc<Council>)> =
                self.network.members.lock().unwrap().iter().map(|(a, c)| (a.clone(), c.clone())).collect();
            for (at, member) in members {
                if member.is_leader() && member.read_current(Duration::from_millis(300)).await.is_ok() {
                    return at[2..].parse().expect("a number");
                }
            }
            assert!(Instant::now() < deadline, "no leader was elected");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a condition holds.
    async fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + LONG_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

fn open_command(agent: &str, life: u64) -> Command {
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

fn claim_command(agent: &str, life: u64, seen: u64) -> Command {
    let owner = Owner { agent: agent.into(), life };
    Command::Claim { duty: "gaps".into(), owner, seen, at_ms: 0 }
}

#[tokio::test(flavor = "multi_thread")]
async fn single_voter_keeps_state_over_restart() {
    let cluster = TestCluster::formed(1).await;
    assert_eq!(cluster.member(1).propose(open_command("a", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    assert_eq!(
        cluster.member(1).propose(claim_command("a", 1, 0), REQUEST_TIMEOUT).await,
        Ok(Outcome::Granted(1))
    );
    cluster.stop(1).await;
    cluster.start(1);
    cluster.wait_for_leader().await;
    let known = cluster.member(1).read_current(REQUEST_TIMEOUT).await.expect("read");
    assert_eq!((known.owner.epoch, known.owner.duties["gaps"].epoch), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn three_voters_keep_state_when_leaders_stop_and_when_all_restart() {
    let cluster = TestCluster::formed(3).await;
    let mut epoch = 0;
    assert_eq!(cluster.member(2).propose(open_command("a", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    for _ in 0..3 {
        let leader = cluster.wait_for_leader().await;
        cluster.stop(leader).await;
        let next = cluster.wait_for_leader().await;
        assert_ne!(next, leader);
        // Proposed at a follower, which forwards it to the leader.
        let other = (1..=3).find(|k| *k != leader && *k != next).expect("a third");
        let seen =
            cluster.member(next).read_current(REQUEST_TIMEOUT).await.expect("read").owner.duties["gaps"]
                .epoch;
        let release = Command::Close { owner: Owner { agent: "a".into(), life: epoch + 1 }, at_ms: 0 };
        let granted =
            cluster.member(other).propose(claim_command("a", epoch + 1, seen), REQUEST_TIMEOUT).await;
        epoch += 1;
        assert_eq!(granted, Ok(Outcome::Granted(epoch)));
        assert_eq!(cluster.member(other).propose(release, REQUEST_TIMEOUT).await, Ok(Outcome::Done));
        assert_eq!(
            cluster.member(other).propose(open_command("a", epoch + 1), REQUEST_TIMEOUT).await,
            Ok(Outcome::Done)
        );
        cluster.start(leader);
    }
    cluster.wait_for_leader().await;
    for k in 1..=3 {
        cluster.stop(k).await;
    }
    for k in [3, 1, 2] {
        cluster.start(k);
    }
    let leader = cluster.wait_for_leader().await;
    let known = cluster.member(leader).read_current(REQUEST_TIMEOUT).await.expect("read");
    assert_eq!((known.owner.epoch, known.owner.lives["a"]), (epoch, epoch + 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn five_voters_commit_with_two_hanging_and_refuse_without_majority() {
    let cluster = TestCluster::formed(5).await;
    let leader = cluster.wait_for_leader().await;
    let others: Vec<usize> = (1..=5).filter(|k| *k != leader).collect();
    cluster.network.hanging.lock().unwrap().extend(others[..2].iter().map(|k| format!("at{k}")));
    assert_eq!(
        cluster.member(leader).propose(open_command("a", 1), REQUEST_TIMEOUT).await,
        Ok(Outcome::Done)
    );
    cluster.network.hanging.lock().unwrap().insert(format!("at{}", others[2]));
    let asked = cluster.member(leader).propose(open_command("b", 1), Duration::from_millis(1500)).await;
    assert!(matches!(asked, Err(Error::NoLeader | Error::InDoubt(_))), "{asked:?}");
    assert!(
        cluster.member(leader).read_current(Duration::from_millis(500)).await.is_err(),
        "a read needs a majority too"
    );
    cluster.network.hanging.lock().unwrap().clear();
    let new_leader = cluster.wait_for_leader().await;
    assert_eq!(
        cluster.member(new_leader).propose(open_command("c", 1), REQUEST_TIMEOUT).await,
        Ok(Outcome::Done)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_leader_serves_no_stale_reads() {
    let cluster = TestCluster::formed(3).await;
    let old = cluster.wait_for_leader().await;
    let others: Vec<usize> = (1..=3).filter(|k| *k != old).collect();
    for k in &others {
        cluster.cut_link(old, *k);
        cluster.cut_link(*k, old);
    }
    cluster
        .wait_until("the others have a leader", || others.iter().any(|k| cluster.member(*k).is_leader()))
        .await;
    let next = others.iter().copied().find(|k| cluster.member(*k).is_leader()).expect("one");
    assert_eq!(cluster.member(next).propose(open_command("a", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    let read = cluster.member(old).read_current(Duration::from_millis(500)).await;
    assert!(read.is_err(), "a leader without a majority serves no reads, which may be stale");
    cluster.restore_links();
    let read = cluster.member(old).read_current(REQUEST_TIMEOUT).await.expect("read");
    assert!(read.owner.lives.contains_key("a"));
}

/// A failure in one direction: the leader's heartbeats arrive, the answers do not. If it went on sending, the
/// others would never elect another leader.
#[tokio::test(flavor = "multi_thread")]
async fn leader_without_answers_is_replaced_when_its_messages_arrive() {
    let cluster = TestCluster::formed(3).await;
    let unanswered = cluster.wait_for_leader().await;
    let others: Vec<usize> = (1..=3).filter(|k| *k != unanswered).collect();
    others.iter().for_each(|k| cluster.cut_link(*k, unanswered));
    cluster
        .wait_until("another member leads", || others.iter().any(|k| cluster.member(*k).is_leader()))
        .await;
    let next = others.iter().copied().find(|k| cluster.member(*k).is_leader()).expect("one");
    assert_eq!(cluster.member(next).propose(open_command("a", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    cluster.restore_links();
    cluster.wait_until("the member follows", || !cluster.member(unanswered).is_leader()).await;
    let read = cluster.member(unanswered).read_current(REQUEST_TIMEOUT).await.expect("read");
    assert!(read.owner.lives.contains_key("a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn member_stops_when_its_file_is_an_older_copy() {
    let cluster = TestCluster::formed(3).await;
    cluster.member(1).propose(open_command("a", 1), REQUEST_TIMEOUT).await.expect("proposed");
    cluster.stop(2).await;
    let old = cluster.folder.path().join("old.db");
    fs::copy(cluster.file(2), &old).expect("copied");
    cluster.start(2);
    for life in 2..6 {
        cluster.member(1).propose(open_command("a", life), REQUEST_TIMEOUT).await.expect("proposed");
    }
    let known = cluster.member(1).read_current(REQUEST_TIMEOUT).await.expect("read");
    let two = cluster.member(2);
    cluster.wait_until("the member has caught up", || two.watch().borrow().owner == known.owner).await;
    drop(two);
    cluster.stop(2).await;
    fs::copy(&old, cluster.file(2)).expect("put back");
    let member = cluster.start(2);
    let reason = member.stop_reason().expect("the member has stopped");
    assert!(reason.contains("older copy") && reason.contains("does not vote"), "{reason}");
    assert!(matches!(member.propose(open_command("b", 1), REQUEST_TIMEOUT).await, Err(Error::Stopped(_))));
    drop(member);

    // With the mark file removed too, the write count that the other members hold shows the file's age.
    cluster.stop(2).await;
    fs::remove_file(mark_path(&cluster.file(2))).expect("removed");
    let member = cluster.start(2);
    cluster
        .wait_until("another member has reported the higher write count", || member.stop_reason().is_some())
        .await;
    assert!(member.stop_reason().is_some_and(|reason| reason.contains("older copy")));
    cluster
        .member(1)
        .propose(open_command("c", 1), REQUEST_TIMEOUT)
        .await
        .expect("the other members still commit");
}

fn mark_path(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_os_string();
    name.push(".mark");
    name.into()
}

#[tokio::test(flavor = "multi_thread")]
async fn member_stops_when_its_file_is_damaged_or_locked() {
    let cluster = TestCluster::formed(3).await;
    cluster.member(1).propose(open_command("a", 1), REQUEST_TIMEOUT).await.expect("proposed");
    cluster.stop(3).await;
    let valid = fs::read(cluster.file(3)).expect("read");

    let mut damaged = valid.clone();
    let at = damaged.len() / 2;
    damaged[at..].fill(0x5a);
    fs::write(cluster.file(3), &damaged).expect("written");
    let reason = cluster.start(3).stop_reason().expect("the member has stopped");
    assert!(reason.contains("damaged"), "{reason}");

    fs::write(cluster.file(3), "no database at all, but long enough to look like something")
        .expect("written");
    let reason = cluster.start(3).stop_reason().expect("the member has stopped");
    assert!(reason.contains("damaged"), "{reason}");

    fs::write(cluster.file(3), &valid).expect("written");
    let holder = CouncilFile::open(&cluster.file(3)).expect("valid");
    let reason = cluster.start(3).stop_reason().expect("the member has stopped");
    assert!(reason.contains("another process holds it"), "{reason}");
    drop(holder);
    let member = cluster.start(3);
    cluster.wait_until("the member follows", || member.status().state == "follower").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn member_stops_when_its_disk_is_full_and_others_go_on() {
    let cluster = TestCluster::formed(3).await;
    let leader = cluster.wait_for_leader().await;
    cluster.stop(leader).await;
    let file = CouncilFile::open(&cluster.file(leader)).expect("valid");
    drop(file);
    // No page can be added: as on a full disk.
    let member = cluster.start(leader);
    cluster.wait_for_leader().await;
    member.limit_file_size(1).expect("limited");
    let other = (1..=3).find(|k| *k != leader).expect("another");
    let mut life = 1;
    let deadline = Instant::now() + LONG_TIMEOUT;
    while member.stop_reason().is_none() {
        assert!(Instant::now() < deadline, "the member goes on with a full disk");
        let duties = (0..50).map(|k| format!("duty-{life}-{k}")).collect();
        let owner = Owner { agent: "a".into(), life };
        let command = Command::Open { owner, nonce: 1, zone: "a".into(), duties, fell: vec![], at_ms: 0 };
        let _ = cluster.member(other).propose(command, Duration::from_secs(1)).await;
        life += 1;
    }
    let reason = member.stop_reason().unwrap_or_default();
    assert!(reason.contains("does not vote"), "{reason}");
    drop(member);
    cluster.stop(leader).await;
    cluster.wait_for_leader().await;
    assert_eq!(cluster.member(other).propose(open_command("b", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
}

#[tokio::test(flavor = "multi_thread")]
async fn member_rejoins_under_new_number_when_its_file_was_lost() {
    let cluster = TestCluster::formed(3).await;
    cluster.member(1).propose(open_command("a", 1), REQUEST_TIMEOUT).await.expect("proposed");
    let lost = (1..=3).find(|k| !cluster.member(*k).is_leader()).expect("a follower");
    cluster.stop(lost).await;
    fs::remove_file(cluster.file(lost)).expect("lost");
    fs::remove_file(mark_path(&cluster.file(lost))).expect("lost");
    let member = cluster.start(lost);
    cluster.wait_until("the member waits to be added", || member.status().state == "waits to be added").await;
    assert_eq!(member.status().id, 0);
    let (leader, name) = (cluster.wait_for_leader().await, format!("m{lost}"));
    let add = MembershipChange::Add { name: name.clone(), at: format!("at{lost}") };
    let refused = cluster.member(leader).change_members(add.clone(), REQUEST_TIMEOUT).await;
    assert!(matches!(refused, Err(Error::Refused(reason)) if reason.contains("votes already")));
    cluster
        .member(leader)
        .change_members(MembershipChange::Remove { name }, REQUEST_TIMEOUT)
        .await
        .expect("removed");
    let answer = cluster.member(leader).change_members(add, LONG_TIMEOUT).await.expect("added");
    assert!(answer.contains("as member 4"), "{answer}");
    cluster
        .wait_until("the member is a voter", || {
            member.status().members.iter().any(|m| m.id == 4 && m.is_voter)
        })
        .await;
    assert!(member.watch().borrow().owner.lives.contains_key("a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn followers_become_voters_and_membership_changes_one_at_a_time() {
    let cluster = TestCluster::formed(3).await;
    for k in 4..=5 {
        let follower = cluster.start(k);
        cluster.wait_until("the member follows", || follower.status().state == "learner").await;
    }
    let leader = cluster.wait_for_leader().await;
    let leading_member = cluster.member(leader);
    let add = |k: usize| MembershipChange::Add { name: format!("m{k}"), at: String::new() };
    let (a, b) = tokio::join!(
        leading_member.change_members(add(4), LONG_TIMEOUT),
        leading_member.change_members(add(5), LONG_TIMEOUT)
    );
    let done = [&a, &b].iter().filter(|r| r.is_ok()).count();
    assert!(done >= 1, "{a:?}, {b:?}");
    for (k, result) in [(4, a), (5, b)] {
        if let Err(reason) = result {
            assert!(reason.to_string().contains("another change"), "{reason}");
            leading_member.change_members(add(k), LONG_TIMEOUT).await.expect("added");
        }
    }
    let voter_count = |k: usize| cluster.member(k).status().members.iter().filter(|m| m.is_voter).count();
    cluster.wait_until("there are five voters", || voter_count(4) == 5).await;
    // The leader itself is removed; the change is proposed at another member.
    let other = (1..=3).find(|k| *k != leader).expect("another");
    let removal = MembershipChange::Remove { name: format!("m{leader}") };
    let done = cluster.member(other).change_members(removal, LONG_TIMEOUT).await;
    assert!(matches!(done, Ok(_) | Err(Error::InDoubt(_))), "{done:?}");
    cluster.wait_until("there are four voters", || voter_count(other) == 4).await;
    drop(leading_member);
    cluster.stop(leader).await;
    let next = cluster.wait_for_leader().await;
    assert_ne!(next, leader);
    assert_eq!(cluster.member(next).propose(open_command("a", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    let gone = cluster
        .member(next)
        .change_members(MembershipChange::Remove { name: "nobody".into() }, REQUEST_TIMEOUT)
        .await;
    assert!(matches!(gone, Err(Error::Refused(reason)) if reason.contains("no member")));
}

#[tokio::test(flavor = "multi_thread")]
async fn change_of_members_is_reported_as_done_when_its_answer_was_lost() {
    let cluster = TestCluster::formed(3).await;
    let follower = cluster.start(4);
    cluster.wait_until("the member follows", || follower.status().state == "learner").await;
    let leader = cluster.wait_for_leader().await;
    let other = (1..=3).find(|k| *k != leader).expect("another");
    let voter_count = |k: usize| cluster.member(k).status().members.iter().filter(|m| m.is_voter).count();
    for (change, expected) in [
        (MembershipChange::Add { name: "m4".into(), at: String::new() }, 4),
        (MembershipChange::Remove { name: "m4".into() }, 3),
    ] {
        cluster.cut_link(leader, other);
        let asked = cluster.member(other);
        let asked = tokio::spawn(async move { asked.change_members(change, LONG_TIMEOUT).await });
        cluster
            .wait_until("the leader has made the change", || {
                voter_count(leader) == expected || !cluster.member(leader).is_leader()
            })
            .await;
        cluster.restore_links();
        let answer = asked.await.expect("ran").expect("reported as done");
        assert!(answer.contains(&format!("{expected} vote")), "{answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn recovered_member_leads_alone_and_rejects_lost_members() {
    let cluster = TestCluster::formed(3).await;
    cluster.member(1).propose(open_command("a", 1), REQUEST_TIMEOUT).await.expect("proposed");
    let granted =
        cluster.member(1).propose(claim_command("a", 1, 0), REQUEST_TIMEOUT).await.expect("proposed");
    let known = cluster.member(3).read_current(REQUEST_TIMEOUT).await.expect("read");
    assert_eq!(known.owner.epoch, 1);
    // The lost members have seen later terms than the one that recovers the group: without the check of the
    // generation it would follow them.
    cluster.stop(3).await;
    for _ in 0..4 {
        let leader = cluster.wait_for_leader().await;
        cluster.stop(leader).await;
        cluster.start(leader);
    }
    cluster.wait_for_leader().await;
    for k in 1..=2 {
        cluster.stop(k).await;
    }
    let file = CouncilFile::open(&cluster.file(3)).expect("valid");
    file.recover("ana", 0).expect("recovered");
    drop(file);
    cluster.start(3);
    let leader = cluster.wait_for_leader().await;
    assert_eq!((leader, cluster.member(3).status().members.len()), (3, 1));
    assert_eq!(cluster.member(3).propose(open_command("b", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    let close = Command::Close { owner: Owner { agent: "a".into(), life: 1 }, at_ms: 0 };
    cluster.member(3).propose(close, REQUEST_TIMEOUT).await.expect("proposed");
    let next = cluster.member(3).propose(claim_command("b", 1, 1), REQUEST_TIMEOUT).await.expect("proposed");
    assert_eq!(granted, Outcome::Granted(1));
    assert!(
        matches!(next, Outcome::Granted(epoch) if epoch > 1 << 39),
        "far above all epochs given out before: {next:?}"
    );

    // The lost members come back and form the group of the old generation: each group rejects the other's
    // messages.
    cluster.start(1);
    cluster.start(2);
    cluster
        .wait_until("messages of the old generation are rejected", || {
            cluster.member(3).status().rejected > 20
        })
        .await;
    assert!(cluster.member(3).is_leader());
    assert_eq!(cluster.member(3).propose(open_command("c", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
    assert!(!cluster.member(1).watch().borrow().owner.lives.contains_key("c"));
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_are_rejected_and_counted_and_change_nothing() {
    let cluster = TestCluster::formed(3).await;
    let member = cluster.member(1);
    let before = cluster.member(1).read_current(REQUEST_TIMEOUT).await.expect("read");
    let valid = Envelope {
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
    let mut random_bytes = |len: usize| -> Vec<u8> {
        let mut next_byte = || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 33) as u8
        };
        (0..len).map(|_| next_byte()).collect()
    };
    let mut bad = vec![
        (Envelope { version: 2, ..valid.clone() }, "version 2"),
        (Envelope { fleet: "other".into(), ..valid.clone() }, "fleet other"),
        (Envelope { generation: 1, ..valid.clone() }, "generation 1"),
        (Envelope { to: 9, ..valid.clone() }, "member 9"),
        (Envelope { from: 77, body: vote_request_body(), ..valid.clone() }, "member 77: not known"),
        (Envelope { body: vec![b' '; MAX_BODY_BYTES + 1], ..valid.clone() }, "at the most"),
        (valid.clone(), "can't be read"),
    ];
    for kind in wire::MESSAGE_KINDS.into_iter().filter(|k| *k != MessageKind::Read) {
        bad.push((Envelope { kind, body: random_bytes(200), ..valid.clone() }, "can't be read"));
    }
    let count = bad.len() as u64;
    let refused = member.status().rejected;
    for (message, word) in bad {
        let kind = message.kind;
        let answer = member.handle_message(message).await.err().map(|e: Rejection| e.to_string());
        assert!(answer.as_ref().is_some_and(|s| s.contains(word)), "{kind:?} {word}: {answer:?}");
    }
    assert!(member.status().rejected >= refused + count);
    let by = member.status().rejected_by;
    for cause in ["version", "fleet", "generation", "other member", "unknown member", "size", "unreadable"] {
        assert!(by.get(cause).is_some_and(|n| *n > 0), "{cause}: {by:?}");
    }
    assert_eq!(by.values().sum::<u64>(), member.status().rejected);
    assert_eq!(cluster.member(1).read_current(REQUEST_TIMEOUT).await.expect("read").owner, before.owner);
    assert!(member.stop_reason().is_none());
}

/// The body of a request for a vote in a term far ahead.
fn vote_request_body() -> Vec<u8> {
    br#"{"vote":{"leader_id":{"term":999,"node_id":77},"committed":false},"last_log_id":null}"#.to_vec()
}

#[tokio::test(flavor = "multi_thread")]
async fn member_stops_when_its_disk_is_read_only() {
    let cluster = TestCluster::formed(3).await;
    cluster.member(1).propose(open_command("a", 1), REQUEST_TIMEOUT).await.expect("proposed");
    cluster.stop(3).await;
    let transport = TestTransport { network: cluster.network.clone(), from: "at3".into() };
    let settings = Settings { read_only: true, ..cluster.settings(3) };
    let member = Council::start(settings, Arc::new(transport)).expect("the member is returned, stopped");
    let reason = member.stop_reason().expect("the member has stopped");
    assert!(reason.starts_with("council.file") && reason.contains("does not vote"), "{reason}");
    assert_eq!(cluster.member(1).propose(open_command("b", 1), REQUEST_TIMEOUT).await, Ok(Outcome::Done));
}

/// `cargo test --profile ci -p frostvale-council --test council -- --ignored --nocapture million`
#[tokio::test(flavor = "multi_thread")]
#[ignore = "long: run by hand, result in docs/owner.md"]
async fn file_stays_small_over_a_million_changes() {
    let bytes = run_changes(1000, 1000).await;
    println!("{bytes} bytes after 1,000,000 changes");
}

#[tokio::test(flavor = "multi_thread")]
async fn file_stays_small_over_many_changes() {
    run_changes(60, 200).await;
}

/// Applies `rounds` rounds of `at_once` concurrent changes and returns the size of the file, in bytes.
async fn run_changes(rounds: usize, at_once: usize) -> u64 {
    let cluster = TestCluster::formed(1).await;
    let member = cluster.member(1);
    member.propose(open_command("a", 1), REQUEST_TIMEOUT).await.expect("proposed");
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
            all.push(tokio::spawn(async move { member.propose(beat, LONG_TIMEOUT).await }));
        }
        for one in all {
            assert_eq!(one.await.expect("ran"), Ok(Outcome::Done));
        }
    }
    let bytes = member.status().file_bytes;
    assert!(bytes < 8 << 20, "{bytes} bytes after {number} changes");
    drop(member);
    timeout(LONG_TIMEOUT, cluster.stop(1)).await.expect("stopped");
    cluster.start(1);
    cluster.wait_for_leader().await;
    let known = cluster.member(1).read_current(REQUEST_TIMEOUT).await.expect("read");
    assert_eq!(known.owner.sessions[&owner].number, number);
    bytes
}

#[test]
fn settings_check_names_the_invalid_field() {
    let cluster = TestCluster::new(3);
    let valid = cluster.settings(1);
    assert_eq!(valid.check(), Ok(()));
    let mut bad = Vec::new();
    let mut case = |word: &'static str, change: &dyn Fn(&mut Settings)| {
        let mut settings = valid.clone();
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
        let error = settings.check().expect_err(word);
        assert!(error.contains(word), "{word}: {error}");
    }
}
