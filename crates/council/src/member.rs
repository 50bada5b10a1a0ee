//! One member of the council's Raft group.
//!
//! A member opens its file, forms or joins the group, and then answers messages of other members. Proposals,
//! linearizable reads and changes of members may be made at any member: it forwards them to the leader and
//! waits for one while there is none. A member that may not vote any more (its file is unusable, damaged or
//! an older copy) stops and reports why; only a restart of its agent lets it try again.

use crate::Transport;
use crate::file::{CouncilFile, FileError, Identity};
use crate::net::NetworkFactory;
use crate::quorum_check::QuorumCheck;
use crate::store::{AgreedState, LogStore, Member, Request, Response, StateMachine, TypeConfig};
use crate::wire::{self, Envelope, MAX_BODY_BYTES, MessageKind, Rejection, VERSION};
use frostvale_owner::registry::is_name;
use frostvale_owner::{Command, Outcome};
use openraft::error::{ClientWriteError, ForwardToLeader, RaftError};
use openraft::{ChangeMembers, Raft, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a member waits for the answer to a hello, and to an invitation while the group is formed.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause between two attempts to form or join the group.
const FORM_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The pause between two attempts while there is no leader, and between two checks of a new member's
/// progress.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// A new member has to catch up with the leader's log within this time, or it is not made a voter.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);
/// The time limit of a change of members.
pub const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// A snapshot is taken and the log compacted after this many entries.
const SNAPSHOT_AFTER_ENTRIES: u64 = 2_000;
/// This many entries are kept when the log is compacted, so that members a little behind need no snapshot.
const KEPT_LOG_ENTRIES: u64 = 200;

/// The settings of one member.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The fleet's name; messages of another fleet are rejected.
    pub fleet: String,
    /// This agent's name, unique among the members.
    pub name: String,
    /// The address at which other members reach it.
    pub at: String,
    /// The path of its council file.
    pub file: PathBuf,
    /// The initial voters: 1, 3 or 5, this agent among them unless it follows.
    pub voters: Vec<Member>,
    /// Whether it takes part as a learner, without a vote.
    pub follow: bool,
    /// The leader's heartbeat interval, in ms: 20 to 10,000. Election time-outs are 4 to 8 times as long.
    pub heartbeat_ms: u64,
    /// For drills: opens the file read-only, as on a disk that can't be written.
    pub read_only: bool,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    /// The name of the first invalid field, and what it may hold.
    pub fn check(&self) -> Result<(), String> {
        for (field, text) in [("fleet", &self.fleet), ("name", &self.name)] {
            if !is_name(text) {
                return Err(format!("{field}: 1 to 64 letters, digits, dots, dashes or underscores"));
            }
        }
        if ![1, 3, 5].contains(&self.voters.len()) {
            return Err(format!("voters: {} entries; 1, 3 or 5", self.voters.len()));
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (k, voter) in self.voters.iter().enumerate() {
            if !is_name(&voter.name) || !names.insert(&voter.name) {
                return Err(format!("voters[{k}].name: not a valid name, or listed twice"));
            }
            if voter.at.is_empty() || !addresses.insert(&voter.at) {
                return Err(format!("voters[{k}].at: empty, or listed twice"));
            }
        }
        match (names.contains(&self.name), self.follow) {
            (false, false) => {
                Err(format!("voters: {} is not among them; add it, or set follow = true", self.name))
            }
            (true, true) => Err(format!("follow: {} is among the voters", self.name)),
            _ if !(20..=10_000).contains(&self.heartbeat_ms) => {
                Err(format!("heartbeat_ms: {}; 20 to 10000", self.heartbeat_ms))
            }
            _ => Ok(()),
        }
    }
}

/// Why a proposal, a read or a change of members failed. It is sent between members as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// There is no leader: nothing was done.
    NoLeader,
    /// The answer was lost, with the cause: the operation may have been carried out.
    InDoubt(String),
    /// It was refused, with the reason.
    Refused(String),
    /// This member has stopped, with the reason.
    Stopped(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoLeader => f.write_str("the council has no leader: nothing was done"),
            Error::InDoubt(what) => {
                write!(f, "the council's answer was lost ({what}): the operation may have been carried out")
            }
            Error::Refused(what) => f.write_str(what),
            Error::Stopped(what) => write!(f, "this agent takes no part in the council: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// A change of members, as operators ask for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a voter: a follower (learner), or an agent whose council file is new.
    Add {
        /// Its name.
        name: String,
        /// Its address; may be empty for a follower.
        at: String,
    },
    /// Removes a voter or a follower.
    Remove {
        /// Its name.
        name: String,
    },
}

/// The status of one member, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its member number.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Its address.
    pub at: String,
    /// Whether it is a voter.
    pub is_voter: bool,
    /// The last log index known to be replicated to it; only the leader has this.
    pub matched_index: Option<u64>,
}

/// The state of the council, as this member sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Status {
    /// This member's number; 0 where it has none yet.
    pub id: u64,
    /// One of: forming, waits to be added, leader, follower, candidate, learner, shutdown, stopped.
    pub state: String,
    /// Why this member has stopped; empty where it has not.
    pub problem: String,
    /// The leader's name; empty where none is known.
    pub leader: String,
    /// The current Raft term.
    pub term: u64,
    /// The index of the last entry of its log.
    pub last_index: u64,
    /// The index of the last entry applied to the state machine.
    pub applied_index: u64,
    /// Voters and learners.
    pub members: Vec<MemberStatus>,
    /// The size of the council file and its write-ahead log, in bytes.
    pub file_bytes: u64,
    /// How many messages were rejected since the start.
    pub rejected: u64,
    /// The same, by [`Rejection::cause`].
    pub rejected_by: BTreeMap<&'static str, u64>,
    /// How many times the group was recovered from one member alone.
    pub generation: u64,
}

/// Body of [`MessageKind::Hello`]: the sender's name and its configured voters.
#[derive(Serialize, Deserialize)]
struct HelloRequest {
    name: String,
    voters: Vec<Member>,
}

/// The answer to a hello.
#[derive(Serialize, Deserialize)]
struct HelloReply {
    /// Its member number; 0 where it has none yet.
    id: u64,
    /// Whether its group is not initialized: its log is empty.
    blank: bool,
    /// Its configured voters.
    voters: Vec<Member>,
}

/// The number and generation that a new member gets, by invitation or as the answer to a join.
#[derive(Serialize, Deserialize)]
struct MemberNumber {
    id: u64,
    generation: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The state that a [`Council`] shares with its network clients.
pub struct Shared {
    settings: Settings,
    file: Option<CouncilFile>,
    transport: Arc<dyn Transport>,
    identity: Mutex<Option<Identity>>,
    /// By member number: the highest write count of its file that it reported.
    known_writes: Mutex<BTreeMap<u64, u64>>,
    /// Why this member has stopped; it stays so until its agent is restarted.
    stop_reason: watch::Sender<Option<String>>,
    /// The number of rejected messages by cause.
    rejected_by: Mutex<BTreeMap<&'static str, u64>>,
    quorum_check: Mutex<QuorumCheck>,
}

impl Shared {
    /// Whether this member may send a leader's message; see [`QuorumCheck`].
    pub(crate) fn may_send_as_leader(&self) -> bool {
        lock(&self.quorum_check).may_send(std::time::Instant::now())
    }

    /// Records that a member has answered a message of the leader.
    pub(crate) fn record_answer(&self, id: u64) {
        lock(&self.quorum_check).record_answer(std::time::Instant::now(), id);
    }

    /// This member's number and generation; zeros where it has none yet.
    fn id_and_generation(&self) -> (u64, u64) {
        lock(&self.identity).as_ref().map_or((0, 0), |i| (i.id, i.generation))
    }

    /// The write count of this member's file.
    fn writes(&self) -> u64 {
        self.file.as_ref().map_or(0, CouncilFile::writes)
    }

    /// Wraps a body, with the write counts of both members' files.
    fn envelope(&self, to: u64, kind: MessageKind, body: Vec<u8>) -> Envelope {
        let (from, generation) = self.id_and_generation();
        let heard = lock(&self.known_writes).get(&to).copied().unwrap_or(0);
        let (version, fleet, writes) = (VERSION, self.settings.fleet.clone(), self.writes());
        Envelope { version, fleet, generation, from, to, writes, heard, kind, body }
    }

    /// Sends a message to a member, checks the answer and records the write count that it reports.
    pub(crate) async fn send_request(
        &self,
        at: &str,
        to: u64,
        kind: MessageKind,
        body: Vec<u8>,
        max_wait: Duration,
    ) -> Result<Envelope, String> {
        if let Some(why) = &*self.stop_reason.borrow() {
            return Err(why.clone());
        }
        let reply = timeout(max_wait, self.transport.call(at, self.envelope(to, kind, body))).await;
        let answer = reply.map_err(|_| "no answer in time".to_string())??;
        self.check_envelope(&answer).map_err(|e| e.to_string())?;
        Ok(answer)
    }

    /// Checks the header of a message or an answer, and records the write count of the sender's file.
    ///
    /// If the sender has seen a higher write count of this member's file than the file has, the file is an
    /// older copy: this member stops.
    fn check_envelope(&self, message: &Envelope) -> Result<(), Rejection> {
        let (id, generation) = self.id_and_generation();
        if message.version != VERSION {
            return Err(Rejection::Version(message.version));
        }
        if message.fleet != self.settings.fleet {
            return Err(Rejection::Fleet(message.fleet.clone()));
        }
        if message.body.len() > MAX_BODY_BYTES {
            return Err(Rejection::TooLong(message.body.len()));
        }
        if message.to != 0 && message.to != id {
            return Err(Rejection::OtherMember(message.to));
        }
        if message.from != 0 && id != 0 && message.generation != generation {
            return Err(Rejection::Generation { theirs: message.generation, ours: generation });
        }
        if message.from != 0 {
            let mut known_writes = lock(&self.known_writes);
            // Bounds the map: members change, and numbers are never reused.
            if known_writes.len() > 1024 {
                known_writes.clear();
            }
            let highest = known_writes.entry(message.from).or_default();
            *highest = (*highest).max(message.writes);
        }
        let writes = self.writes();
        if id != 0 && message.heard > writes {
            let why = FileError::Outdated { has: writes, known: message.heard }.to_string();
            self.stop(&why);
            return Err(Rejection::Stopped(why));
        }
        Ok(())
    }

    /// Stops this member until its agent is restarted. The first reason is kept and logged.
    fn stop(&self, why: &str) {
        let is_first = self.stop_reason.send_if_modified(|s| {
            let is_first = s.is_none();
            s.get_or_insert_with(|| why.to_string());
            is_first
        });
        if is_first {
            tracing::error!(reason = why, "{why}");
        }
    }
}

/// One member of the group.
pub struct Council {
    shared: Arc<Shared>,
    /// None until this member has a number.
    raft: watch::Sender<Option<Raft<TypeConfig>>>,
    /// The replicated state, sent at each change.
    agreed: watch::Sender<Arc<AgreedState>>,
    /// The state that is reported until Raft runs.
    startup_state: Mutex<&'static str>,
    /// Held during a change of members, and while Raft is started.
    membership_lock: tokio::sync::Mutex<()>,
}

impl Council {
    /// Opens the file and starts to take part in the background. A member whose file is unusable is returned
    /// stopped, with the reason in [`Council::stop_reason`], so that the agent's other work goes on.
    ///
    /// # Errors
    /// When the settings are invalid, or the file belongs to another agent or fleet.
    pub fn start(settings: Settings, transport: Arc<dyn Transport>) -> Result<Arc<Council>, String> {
        settings.check()?;
        let (file, problem) = match CouncilFile::open_with_mode(&settings.file, settings.read_only) {
            Ok(file) => (Some(file), None),
            Err(e @ FileError::Foreign(_)) => return Err(e.to_string()),
            Err(e) => (None, Some(e.to_string())),
        };
        let identity =
            file.as_ref().map(CouncilFile::identity).transpose().map_err(|e| e.to_string())?.flatten();
        if let Some(known) = &identity
            && (known.fleet != settings.fleet || known.name != settings.name)
        {
            let owner = format!("{} of fleet {}", known.name, known.fleet);
            return Err(FileError::Foreign(owner).to_string());
        }
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let shared = Arc::new(Shared {
            quorum_check: Mutex::new(QuorumCheck::new(heartbeat, heartbeat * 8)),
            settings,
            file,
            transport,
            identity: Mutex::new(identity),
            known_writes: Mutex::default(),
            stop_reason: watch::Sender::new(None),
            rejected_by: Mutex::default(),
        });
        let council = Arc::new(Council {
            shared,
            raft: watch::Sender::new(None),
            agreed: watch::Sender::new(Arc::default()),
            startup_state: Mutex::new("forming"),
            membership_lock: tokio::sync::Mutex::default(),
        });
        match problem {
            Some(why) => council.shared.stop(&why),
            None => drop(tokio::spawn(council.clone().run_startup())),
        }
        Ok(council)
    }

    /// Subscribes to the replicated state, as far as it is applied at this member.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<AgreedState>> {
        self.agreed.subscribe()
    }

    /// Why this member has stopped, if it has.
    #[must_use]
    pub fn stop_reason(&self) -> Option<String> {
        self.shared.stop_reason.borrow().clone()
    }

    fn raft(&self) -> Option<Raft<TypeConfig>> {
        self.raft.borrow().clone()
    }

    /// Whether this member is the leader. Another one may have been elected without its knowledge.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.raft().is_some_and(|r| r.metrics().borrow().state == ServerState::Leader)
    }

    /// Stops Raft. All acknowledged entries and votes are in the file.
    pub async fn shutdown(&self) {
        self.shared.stop_reason.send_if_modified(|s| {
            let is_first = s.is_none();
            s.get_or_insert_with(|| "the agent is shutting down".to_string());
            is_first
        });
        if let Some(raft) = self.raft() {
            let _ = raft.shutdown().await;
        }
    }

    // ---- forming and joining ----

    /// The configured voters without this agent.
    fn other_voters(&self) -> Vec<Member> {
        let own = &self.shared.settings.name;
        self.shared.settings.voters.iter().filter(|v| v.name != *own).cloned().collect()
    }

    /// Sends a hello to all configured voters at once, and returns those that answered.
    async fn send_hello(&self) -> Vec<(Member, HelloReply)> {
        let settings = &self.shared.settings;
        let hello = HelloRequest { name: settings.name.clone(), voters: settings.voters.clone() };
        let body = wire::encode_body(&hello);
        let mut requests = Vec::new();
        for other in self.other_voters() {
            let (shared, body) = (self.shared.clone(), body.clone());
            requests.push(tokio::spawn(async move {
                let answer =
                    shared.send_request(&other.at, 0, MessageKind::Hello, body, HELLO_TIMEOUT).await.ok()?;
                Some((other, wire::decode_body::<HelloReply>(&answer.body).ok()?))
            }));
        }
        let mut replies = Vec::new();
        for reply in requests {
            replies.extend(reply.await.ok().flatten());
        }
        replies
    }

    /// Starts Raft if the file has an identity; otherwise tries to form or join the group until it is
    /// initialized.
    async fn run_startup(self: Arc<Self>) {
        if lock(&self.shared.identity).is_some() {
            // A member that has seen a higher write count of this file says so in its answer, before this one
            // can vote.
            self.send_hello().await;
            if self.stop_reason().is_some() {
                return;
            }
            self.start_raft().await;
        }
        let mut has_warned = false;
        loop {
            if self.stop_reason().is_some() {
                return;
            }
            let blank = match self.raft() {
                Some(raft) => !raft.is_initialized().await.unwrap_or(true),
                None => true,
            };
            if !blank {
                return;
            }
            if self.shared.settings.follow {
                if self.raft().is_some() {
                    return;
                }
                self.request_join().await;
            } else {
                self.try_form(&mut has_warned).await;
            }
            sleep(FORM_RETRY_INTERVAL).await;
        }
    }

    /// Initializes the group, once all configured voters answer, none of them has a log, and all have the
    /// same voters configured. Only the first voter by name does so, and only then: a member that lost its
    /// file can't form a new group beside the existing one.
    async fn try_form(self: &Arc<Self>, has_warned: &mut bool) {
        let mut voters = self.shared.settings.voters.clone();
        voters.sort_by(|a, b| a.name.cmp(&b.name));
        let replies = self.send_hello().await;
        if replies.iter().any(|(_, k)| !k.blank) {
            if self.raft().is_none() && !*has_warned {
                *has_warned = true;
                *lock(&self.startup_state) = "waits to be added";
                tracing::warn!(
                    "cannot join the council: it exists already and this agent's file is new, so it does not \
                     vote; remove and add {} (frostctl council)",
                    self.shared.settings.name
                );
            }
            return;
        }
        let mut voter_lists = replies.iter().map(|(_, k)| {
            let mut their_voters = k.voters.clone();
            their_voters.sort_by(|a, b| a.name.cmp(&b.name));
            their_voters
        });
        let is_first = voters.first().is_some_and(|v| v.name == self.shared.settings.name);
        if !is_first || replies.len() + 1 < voters.len() || voter_lists.any(|v| v != voters) {
            return;
        }
        for (k, voter) in voters.iter().enumerate().skip(1) {
            let body = wire::encode_body(&MemberNumber { id: k as u64 + 1, generation: 0 });
            if self.shared.send_request(&voter.at, 0, MessageKind::Invite, body, HELLO_TIMEOUT).await.is_err()
            {
                return;
            }
        }
        if let Err(e) = self.become_member(1, 0).await {
            return self.shared.stop(&e);
        }
        let members: BTreeMap<u64, Member> =
            voters.into_iter().enumerate().map(|(k, v)| (k as u64 + 1, v)).collect();
        if let Some(raft) = self.raft() {
            match raft.initialize(members).await {
                Ok(()) => tracing::info!("council formed"),
                Err(e) => tracing::warn!(reason = %e, "cannot form the council yet: {e}"),
            }
        }
    }

    /// Asks the voters in turn for a member number, as a follower.
    async fn request_join(self: &Arc<Self>) {
        let settings = &self.shared.settings;
        let me = Member { name: settings.name.clone(), at: settings.at.clone() };
        for voter in self.other_voters() {
            let answer = self
                .shared
                .send_request(&voter.at, 0, MessageKind::Join, wire::encode_body(&me), CATCH_UP_TIMEOUT)
                .await;
            let number =
                answer.ok().and_then(|a| wire::decode_body::<Result<MemberNumber, Error>>(&a.body).ok());
            match number {
                Some(Ok(number)) => match self.become_member(number.id, number.generation).await {
                    Ok(()) => return,
                    Err(e) => return self.shared.stop(&e),
                },
                Some(Err(e @ Error::Refused(_))) => {
                    tracing::warn!(reason = %e, "cannot follow the council: {e}")
                }
                _ => {}
            }
        }
    }

    /// Writes this member's identity to the file, and starts Raft.
    async fn become_member(self: &Arc<Self>, id: u64, generation: u64) -> Result<(), String> {
        let Some(file) = &self.shared.file else { return Err("this member has no council file".into()) };
        let settings = &self.shared.settings;
        let (fleet, name) = (settings.fleet.clone(), settings.name.clone());
        let identity = Identity { fleet, id, name, generation };
        file.set_identity(&identity).map_err(|e| e.to_string())?;
        *lock(&self.shared.identity) = Some(identity);
        self.start_raft().await;
        Ok(())
    }

    /// Starts Raft, unless it runs already.
    async fn start_raft(self: &Arc<Self>) {
        let _guard = self.membership_lock.lock().await;
        if self.raft().is_some() {
            return;
        }
        let (id, _) = self.shared.id_and_generation();
        match self.new_raft(id).await {
            Ok(raft) => {
                self.raft.send_replace(Some(raft.clone()));
                tokio::spawn(self.clone().watch_raft(raft));
            }
            Err(e) => self.shared.stop(&e),
        }
    }

    /// Creates the Raft node on the stored log, vote and snapshot.
    async fn new_raft(&self, id: u64) -> Result<Raft<TypeConfig>, String> {
        let heartbeat = self.shared.settings.heartbeat_ms;
        let config = openraft::Config {
            cluster_name: self.shared.settings.fleet.clone(),
            heartbeat_interval: heartbeat,
            election_timeout_min: heartbeat * 4,
            election_timeout_max: heartbeat * 8,
            install_snapshot_timeout: 2_000,
            snapshot_policy: openraft::SnapshotPolicy::LogsSinceLast(SNAPSHOT_AFTER_ENTRIES),
            max_in_snapshot_log_to_keep: KEPT_LOG_ENTRIES,
            ..openraft::Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
        let file = self.shared.file.clone().ok_or("this member has no council file")?;
        let state_machine =
            StateMachine::open(file.clone(), self.agreed.clone()).map_err(|e| e.to_string())?;
        Raft::new(id, config, NetworkFactory(self.shared.clone()), LogStore(file), state_machine)
            .await
            .map_err(|e| format!("council.file: {e}; this agent does not vote"))
    }

    /// Logs changes of the leader, passes the leadership on to the quorum check, and shuts Raft down when
    /// this member stops.
    async fn watch_raft(self: Arc<Self>, raft: Raft<TypeConfig>) {
        let mut metrics = raft.metrics();
        let mut stopped = self.shared.stop_reason.subscribe();
        let mut last_leader = None;
        loop {
            // Compared by name: the leader's number may be known before the entry that names it.
            let (leader_id, fatal_error, term) = {
                let m = metrics.borrow_and_update();
                let other_voters =
                    m.membership_config.membership().voter_ids().filter(|v| *v != m.id).collect();
                let is_leader = m.state == ServerState::Leader;
                lock(&self.shared.quorum_check).set_leadership(
                    std::time::Instant::now(),
                    is_leader,
                    other_voters,
                );
                (m.current_leader, m.running_state.as_ref().err().map(ToString::to_string), m.current_term)
            };
            if let Some(why) = fatal_error {
                self.shared.stop(&format!("council.file: {why}; this agent does not vote"));
            }
            let leader_name = leader_id.and_then(|id| self.member_name(&raft, id));
            if leader_name != last_leader {
                last_leader.clone_from(&leader_name);
                match leader_name {
                    Some(name) => {
                        tracing::info!(leader = name, term, "{name} leads the council in term {term}")
                    }
                    None => tracing::info!(term, "the council has no leader"),
                }
            }
            tokio::select! {
                changed = metrics.changed() => if changed.is_err() {
                    return self.shared.stop("Raft has ended");
                },
                () = wait_for_stop(&mut stopped) => {
                    let _ = raft.shutdown().await;
                    return;
                }
            }
        }
    }

    /// The name of a member in the current membership.
    fn member_name(&self, raft: &Raft<TypeConfig>, id: u64) -> Option<String> {
        let metrics = raft.metrics();
        let metrics = metrics.borrow();
        metrics.membership_config.nodes().find(|(n, _)| **n == id).map(|(_, m)| m.name.clone())
    }

    // ---- messages of other members ----

    /// Handles a message of another member and returns the answer.
    ///
    /// # Errors
    /// When the message is rejected; it is counted, and nothing has changed.
    pub async fn handle_message(self: &Arc<Self>, message: Envelope) -> Result<Envelope, Rejection> {
        let result = self.dispatch_message(message).await;
        if let Err(why) = &result {
            self.count_rejected(why);
        }
        result
    }

    /// Counts a rejected message by its cause.
    pub fn count_rejected(&self, why: &Rejection) {
        *lock(&self.shared.rejected_by).entry(why.cause()).or_default() += 1;
    }

    /// Checks a message and runs the handler of its kind.
    async fn dispatch_message(self: &Arc<Self>, message: Envelope) -> Result<Envelope, Rejection> {
        if let Some(why) = self.stop_reason() {
            return Err(Rejection::Stopped(why));
        }
        self.shared.check_envelope(&message)?;
        let Envelope { kind, from, body, .. } = message;
        let answer = match kind {
            MessageKind::Hello => {
                let _: HelloRequest = wire::decode_body(&body)?;
                let blank = match self.raft() {
                    Some(raft) => !raft.is_initialized().await.unwrap_or(true),
                    None => self.shared.id_and_generation().0 == 0,
                };
                let voters = self.shared.settings.voters.clone();
                wire::encode_body(&HelloReply { id: self.shared.id_and_generation().0, blank, voters })
            }
            MessageKind::Invite => {
                let number: MemberNumber = wire::decode_body(&body)?;
                if self.shared.settings.follow && self.raft().is_some() {
                    return Err(Rejection::Stopped("it follows already".into()));
                }
                self.become_member(number.id, number.generation).await.map_err(Rejection::Stopped)?;
                Vec::new()
            }
            MessageKind::Join => {
                let member: Member = wire::decode_body(&body)?;
                wire::encode_body(
                    &self
                        .run_at_leader(MessageKind::Join, &member, CATCH_UP_TIMEOUT, || {
                            self.admit_follower(member.clone())
                        })
                        .await,
                )
            }
            MessageKind::Propose => {
                let request: Request = wire::decode_body(&body)?;
                wire::encode_body(&self.propose_locally(request).await.map_err(LocalError::into_error))
            }
            MessageKind::Read => {
                wire::encode_body(&self.read_index_locally().await.map_err(LocalError::into_error))
            }
            MessageKind::Admin => {
                let change: MembershipChange = wire::decode_body(&body)?;
                wire::encode_body(&self.change_members_locally(change).await.map_err(LocalError::into_error))
            }
            MessageKind::Append | MessageKind::Vote | MessageKind::Snapshot => {
                self.handle_raft_message(kind, from, &body).await?
            }
        };
        Ok(self.shared.envelope(from, kind, answer))
    }

    /// Hands a message of Raft's own protocol on to `openraft`.
    async fn handle_raft_message(
        &self,
        kind: MessageKind,
        from: u64,
        body: &[u8],
    ) -> Result<Vec<u8>, Rejection> {
        let Some(raft) = self.raft() else { return Err(Rejection::Stopped("it has not begun".into())) };
        // A member that knows of no members yet accepts any sender, as it has to accept the one that gave it
        // its number.
        let known = {
            let metrics = raft.metrics();
            let m = metrics.borrow();
            let mut nodes = m.membership_config.nodes().peekable();
            nodes.peek().is_none() || nodes.any(|(id, _)| *id == from)
        };
        // Only requests for votes need a known sender: the entry that adds a new leader may not have arrived
        // here yet.
        if !known && kind == MessageKind::Vote {
            return Err(Rejection::UnknownSender(from));
        }
        Ok(match kind {
            MessageKind::Append => wire::encode_body(&raft.append_entries(wire::decode_body(body)?).await),
            MessageKind::Vote => wire::encode_body(&raft.vote(wire::decode_body(body)?).await),
            _ => wire::encode_body(&raft.install_snapshot(wire::decode_body(body)?).await),
        })
    }

    // ---- proposing and reading ----

    /// Proposes a command through the leader, and returns its outcome once it is committed and applied.
    ///
    /// # Errors
    /// When it was not carried out, or ([`Error::InDoubt`]) when that is not known.
    pub async fn propose(&self, command: Command, max_wait: Duration) -> Result<Outcome, Error> {
        let request = Request::Owner(command);
        let done = self
            .run_at_leader(MessageKind::Propose, &request, max_wait, || self.propose_locally(request.clone()))
            .await?;
        match done {
            Response::Owner(outcome) => Ok(outcome),
            other => Err(Error::Refused(format!("unexpected answer to a command: {other:?}"))),
        }
    }

    /// Reads the replicated state, at least as new as all that was committed before the call (a linearizable
    /// read). It costs the leader a round of messages to a majority.
    ///
    /// # Errors
    /// When no leader confirms its leadership in time, or this member does not catch up in time: its state
    /// may be old.
    pub async fn read_current(&self, max_wait: Duration) -> Result<Arc<AgreedState>, Error> {
        let deadline = Instant::now() + max_wait;
        let index: Option<u64> =
            self.run_at_leader(MessageKind::Read, &(), max_wait, || self.read_index_locally()).await?;
        let Some(raft) = self.raft() else { return Err(Error::NoLeader) };
        let mut metrics = raft.metrics();
        let reached = metrics.wait_for(|m| m.last_applied.map(|l| l.index) >= index);
        match timeout_at(deadline, reached).await {
            Ok(Ok(_)) => Ok(self.agreed.borrow().clone()),
            _ => Err(Error::NoLeader),
        }
    }

    /// Adds or removes a member through the leader; one change at a time. A change whose answer is lost with
    /// its leader, or that a later leader refuses because it is done already, counts as done.
    ///
    /// # Errors
    /// When the change was not made, or when that is not known.
    pub async fn change_members(
        &self,
        change: MembershipChange,
        max_wait: Duration,
    ) -> Result<String, Error> {
        let deadline = Instant::now() + max_wait;
        let was_done = self.result_if_done(&change).is_some();
        let answer = self
            .run_at_leader(MessageKind::Admin, &change, max_wait, || {
                self.change_members_locally(change.clone())
            })
            .await;
        match answer {
            Err(why @ (Error::Refused(_) | Error::InDoubt(_))) if !was_done => {
                self.wait_for_result(&change, deadline).await.ok_or(why)
            }
            answer => answer,
        }
    }

    /// Waits for a leader that confirms the members, and returns the result of the change if they show it as
    /// done.
    async fn wait_for_result(&self, change: &MembershipChange, deadline: Instant) -> Option<String> {
        while Instant::now() < deadline {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if self.read_current(time_left).await.is_ok() {
                return self.result_if_done(change);
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// The result of a change, if the members known here are already as the change makes them.
    fn result_if_done(&self, change: &MembershipChange) -> Option<String> {
        let raft = self.raft()?;
        let members = Self::members(&raft);
        match change {
            MembershipChange::Add { name, at } => {
                let member = members.iter().find(|m| m.name == *name && (at.is_empty() || m.at == *at))?;
                let is_active_voter = member.is_voter && !Self::has_joint_membership(&raft);
                is_active_voter
                    .then(|| Self::describe_change(&raft, &format!("{name} votes, as member {}", member.id)))
            }
            MembershipChange::Remove { name } => {
                let is_removed = !members.is_empty() && members.iter().all(|m| m.name != *name);
                is_removed.then(|| Self::describe_change(&raft, &format!("{name} is no member any more")))
            }
        }
    }

    /// Whether a change of voters is unfinished: the membership is joint, with two sets of voters.
    fn has_joint_membership(raft: &Raft<TypeConfig>) -> bool {
        raft.metrics().borrow().membership_config.membership().get_joint_config().len() > 1
    }

    /// Runs an operation here if this member leads, or forwards it to the leader; waits for one while there
    /// is none.
    ///
    /// An operation whose forwarded answer is lost is in doubt and is not tried again.
    async fn run_at_leader<Q, A, W, F>(
        &self,
        kind: MessageKind,
        body: &Q,
        max_wait: Duration,
        run_here: W,
    ) -> Result<A, Error>
    where
        Q: Serialize,
        A: Serialize + for<'a> Deserialize<'a>,
        W: Fn() -> F,
        F: Future<Output = Result<A, LocalError>>,
    {
        let deadline = Instant::now() + max_wait;
        loop {
            if let Some(why) = self.stop_reason() {
                return Err(Error::Stopped(why));
            }
            let leader = match timeout_at(deadline, run_here()).await {
                Err(_) => return Err(Error::InDoubt("no answer in time".into())),
                Ok(Ok(result)) => return Ok(result),
                Ok(Err(LocalError::NotLeader(leader))) => leader,
                Ok(Err(LocalError::Failed(why))) => return Err(why),
            };
            if let Some((id, member)) = leader.filter(|(id, _)| *id != self.shared.id_and_generation().0) {
                let time_left = deadline.saturating_duration_since(Instant::now());
                let answer =
                    self.shared.send_request(&member.at, id, kind, wire::encode_body(body), time_left).await;
                match answer {
                    Ok(answer) => match wire::decode_body::<Result<A, Error>>(&answer.body) {
                        Ok(Err(Error::NoLeader)) => {}
                        Ok(result) => return result,
                        Err(e) => return Err(Error::InDoubt(e.to_string())),
                    },
                    Err(e) => return Err(Error::InDoubt(e)),
                }
            }
            if Instant::now() + POLL_INTERVAL >= deadline {
                return Err(Error::NoLeader);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Appends a request to the log, if this member leads, and waits until it is applied.
    async fn propose_locally(&self, request: Request) -> Result<Response, LocalError> {
        let Some(raft) = self.raft() else { return Err(LocalError::NotLeader(None)) };
        raft.client_write(request).await.map(|done| done.data).map_err(|e| match e {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => LocalError::forwarded(to),
            e => LocalError::Failed(Error::InDoubt(e.to_string())),
        })
    }

    /// The log index that a read has to reach, if this member leads and a majority confirms it.
    async fn read_index_locally(&self) -> Result<Option<u64>, LocalError> {
        let Some(raft) = self.raft() else { return Err(LocalError::NotLeader(None)) };
        match raft.get_read_log_id().await {
            Ok((read, _)) => Ok(read.map(|l| l.index)),
            Err(RaftError::APIError(openraft::error::CheckIsLeaderError::ForwardToLeader(to))) => {
                Err(LocalError::forwarded(to))
            }
            Err(_) => Err(LocalError::NotLeader(None)),
        }
    }

    // ---- members ----

    /// Changes the members, if this member leads.
    async fn change_members_locally(&self, change: MembershipChange) -> Result<String, LocalError> {
        match change {
            MembershipChange::Add { name, at } => self.add_voter(&name, &at).await,
            MembershipChange::Remove { name } => self.remove_member(&name).await,
        }
    }

    /// Raft, if this member leads; otherwise the leader, where one is known.
    fn raft_if_leader(&self) -> Result<Raft<TypeConfig>, LocalError> {
        let Some(raft) = self.raft() else { return Err(LocalError::NotLeader(None)) };
        let leader = {
            let metrics = raft.metrics();
            let m = metrics.borrow();
            let node =
                |id: u64| m.membership_config.nodes().find(|(n, _)| **n == id).map(|(_, n)| (id, n.clone()));
            (m.state != ServerState::Leader).then(|| m.current_leader.and_then(node))
        };
        match leader {
            Some(leader) => Err(LocalError::NotLeader(leader)),
            None => Ok(raft),
        }
    }

    /// Voters and learners of the current membership.
    fn members(raft: &Raft<TypeConfig>) -> Vec<MemberStatus> {
        let metrics = raft.metrics();
        let m = metrics.borrow();
        let voters: BTreeSet<u64> = m.membership_config.membership().voter_ids().collect();
        let status = |(id, node): (&u64, &Member)| MemberStatus {
            id: *id,
            name: node.name.clone(),
            at: node.at.clone(),
            is_voter: voters.contains(id),
            matched_index: m.replication.as_ref().and_then(|r| r.get(id).copied().flatten()).map(|l| l.index),
        };
        m.membership_config.nodes().map(status).collect()
    }

    /// Allots a new member number, above all that are in use or were ever given out.
    async fn allot_id(&self, raft: &Raft<TypeConfig>) -> Result<u64, LocalError> {
        let above = Self::members(raft).iter().map(|m| m.id).max().unwrap_or(0);
        match self.propose_locally(Request::Allot(above)).await? {
            Response::Number(id) => Ok(id),
            other => Err(LocalError::Failed(Error::Refused(format!(
                "unexpected answer to a request for a member number: {other:?}"
            )))),
        }
    }

    /// Adds a follower as a learner under a new number. One that lost its file and joins again loses its old
    /// number.
    async fn admit_follower(&self, member: Member) -> Result<MemberNumber, LocalError> {
        let refused = |why: String| Err(LocalError::Failed(Error::Refused(why)));
        if !is_name(&member.name) || member.at.is_empty() || member.at.len() > 256 {
            return refused("name, at: expected a name, and an address of 1 to 256 bytes".into());
        }
        let raft = self.raft_if_leader()?;
        let Ok(_guard) = self.membership_lock.try_lock() else {
            return refused("another change of members is under way".into());
        };
        let old = Self::members(&raft).into_iter().find(|m| m.name == member.name);
        if old.as_ref().is_some_and(|m| m.is_voter) {
            return refused(format!("{} is a voter of this council: remove it first", member.name));
        }
        if let Some(old) = old {
            change_membership(&raft, ChangeMembers::RemoveNodes(BTreeSet::from([old.id]))).await?;
        }
        let id = self.allot_id(&raft).await?;
        raft.add_learner(id, member, false).await.map_err(from_raft_error)?;
        Ok(MemberNumber { id, generation: self.shared.id_and_generation().1 })
    }

    /// Adds a voter: invites it if it is no learner yet, waits until it has caught up, and promotes it.
    async fn add_voter(&self, name: &str, at: &str) -> Result<String, LocalError> {
        let refused = |why: String| Err(LocalError::Failed(Error::Refused(why)));
        let raft = self.raft_if_leader()?;
        let Ok(_guard) = self.membership_lock.try_lock() else {
            return refused("another change of members is under way; try again when it is done".into());
        };
        let id = match Self::members(&raft).into_iter().find(|m| m.name == name) {
            // A former leader may have left the addition unfinished: it is completed here.
            Some(m) if m.is_voter && !Self::has_joint_membership(&raft) => {
                return refused(format!("{name} votes already"));
            }
            Some(m) => m.id,
            None if !is_name(name) || at.is_empty() => {
                return refused(format!("{name} does not follow this council: say where it is (--at)"));
            }
            None => {
                let id = self.allot_id(&raft).await?;
                let member = Member { name: name.to_string(), at: at.to_string() };
                let body =
                    wire::encode_body(&MemberNumber { id, generation: self.shared.id_and_generation().1 });
                let invited =
                    self.shared.send_request(at, 0, MessageKind::Invite, body, CATCH_UP_TIMEOUT).await;
                if let Err(e) = invited {
                    return refused(format!("cannot invite {name} at {at}: {e}"));
                }
                raft.add_learner(id, member, false).await.map_err(from_raft_error)?;
                id
            }
        };
        // It is made a voter once its log is at most 50 entries behind.
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            let (last, matched) = {
                let metrics = raft.metrics();
                let m = metrics.borrow();
                let matched = m.replication.as_ref().and_then(|r| r.get(&id).copied().flatten());
                (m.last_log_index, matched.map(|l| l.index))
            };
            if matched.is_some() && matched.unwrap_or(0) + 50 >= last.unwrap_or(0) {
                break;
            }
            if Instant::now() > deadline {
                return refused(format!("{name} did not catch up in time; it follows, without a vote"));
            }
            sleep(POLL_INTERVAL).await;
        }
        change_membership(&raft, ChangeMembers::AddVoterIds(BTreeSet::from([id]))).await?;
        Ok(self.log_change(&raft, &format!("{name} votes, as member {id}")))
    }

    /// Removes a voter or a learner; the only voter can't be removed.
    async fn remove_member(&self, name: &str) -> Result<String, LocalError> {
        let refused = |why: String| Err(LocalError::Failed(Error::Refused(why)));
        let raft = self.raft_if_leader()?;
        let Ok(_guard) = self.membership_lock.try_lock() else {
            return refused("another change of members is under way; try again when it is done".into());
        };
        let members = Self::members(&raft);
        let Some(member) = members.iter().find(|m| m.name == name) else {
            return refused(format!("{name} is no member"));
        };
        let voter_count = members.iter().filter(|m| m.is_voter).count();
        if member.is_voter && voter_count == 1 {
            return refused(format!("{name} is the only voter"));
        }
        if member.is_voter {
            // It is not kept as a learner, and its number is never given out again.
            let removal = ChangeMembers::RemoveVoters(BTreeSet::from([member.id]));
            raft.change_membership(removal, false).await.map_err(from_raft_error)?;
        } else {
            change_membership(&raft, ChangeMembers::RemoveNodes(BTreeSet::from([member.id]))).await?;
        }
        Ok(self.log_change(&raft, &format!("{name} (member {}) is no member any more", member.id)))
    }

    /// Logs and returns the result of a change.
    fn log_change(&self, raft: &Raft<TypeConfig>, result: &str) -> String {
        let line = Self::describe_change(raft, result);
        tracing::info!("{line}");
        line
    }

    /// The result of a change with the number of voters; an even number tolerates no more losses than one
    /// less.
    fn describe_change(raft: &Raft<TypeConfig>, result: &str) -> String {
        let voter_count = Self::members(raft).iter().filter(|m| m.is_voter).count();
        let even_note = if voter_count % 2 == 0 {
            "; an even number of voters tolerates no more losses than one less"
        } else {
            ""
        };
        format!("{result}; {voter_count} vote{even_note}")
    }

    /// Limits the file to this many pages, so that drills and tests can simulate a full disk.
    ///
    /// # Errors
    /// When SQLite refuses the limit.
    pub fn limit_file_size(&self, pages: u32) -> Result<(), FileError> {
        self.shared.file.as_ref().map_or(Ok(()), |file| file.limit_pages(pages))
    }

    /// The status of this member and of the group, as shown to operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let (id, generation) = self.shared.id_and_generation();
        let rejected_by = lock(&self.shared.rejected_by).clone();
        let mut status = Status {
            id,
            generation,
            state: (*lock(&self.startup_state)).into(),
            file_bytes: self.shared.file.as_ref().map_or(0, CouncilFile::size_bytes),
            rejected: rejected_by.values().sum(),
            rejected_by,
            ..Status::default()
        };
        if let Some(raft) = self.raft() {
            status.members = Self::members(&raft);
            let metrics = raft.metrics();
            let m = metrics.borrow();
            status.state = format!("{:?}", m.state).to_lowercase();
            status.term = m.current_term;
            status.last_index = m.last_log_index.unwrap_or(0);
            status.applied_index = m.last_applied.map_or(0, |l| l.index);
            let leader = m.current_leader.and_then(|l| status.members.iter().find(|s| s.id == l));
            status.leader = leader.map_or(String::new(), |s| s.name.clone());
        }
        if let Some(why) = self.stop_reason() {
            (status.state, status.problem) = ("stopped".into(), why);
        }
        status
    }
}

/// Waits until this member has stopped.
async fn wait_for_stop(stopped: &mut watch::Receiver<Option<String>>) {
    let _ = stopped.wait_for(Option::is_some).await;
}

/// Why an operation was not carried out at this member.
enum LocalError {
    /// This member does not lead; with the leader, where one is known.
    NotLeader(Option<(u64, Member)>),
    /// The operation failed.
    Failed(Error),
}

impl LocalError {
    fn forwarded(to: ForwardToLeader<u64, Member>) -> LocalError {
        LocalError::NotLeader(to.leader_id.zip(to.leader_node))
    }

    /// The error that is sent to the member that forwarded the operation: that member looks for the leader
    /// itself.
    fn into_error(self) -> Error {
        match self {
            LocalError::NotLeader(_) => Error::NoLeader,
            LocalError::Failed(why) => why,
        }
    }
}

/// Converts an error of `openraft` to that of the operation.
fn from_raft_error(e: RaftError<u64, ClientWriteError<u64, Member>>) -> LocalError {
    match e {
        RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => LocalError::forwarded(to),
        RaftError::APIError(ClientWriteError::ChangeMembershipError(e)) => {
            LocalError::Failed(Error::Refused(format!("cannot change the members: {e}")))
        }
        e => LocalError::Failed(Error::InDoubt(e.to_string())),
    }
}

/// Changes the membership, and keeps voters that lose their vote as learners.
async fn change_membership(
    raft: &Raft<TypeConfig>,
    members: ChangeMembers<u64, Member>,
) -> Result<(), LocalError> {
    raft.change_membership(members, true).await.map(drop).map_err(from_raft_error)
}
