//! One member of the council.

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

/// How long others are asked, at a start, what they have heard of this member.
const HELLO: Duration = Duration::from_millis(500);
/// How often forming and joining are tried again.
const AGAIN: Duration = Duration::from_millis(200);
/// While there is no leader the question is put again this often.
const LOOK: Duration = Duration::from_millis(30);
/// A new member has caught up within this time, or is not made a voter.
const CATCH_UP: Duration = Duration::from_secs(10);
/// Changes of members take this long at the most.
pub const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// A compaction after so many entries; so many are kept for members that are a little behind.
const COMPACT: u64 = 2_000;
const KEEP: u64 = 200;

/// What a member is told.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The fleet.
    pub fleet: String,
    /// This agent's name.
    pub name: String,
    /// Where the others find it.
    pub at: String,
    /// Its file.
    pub file: PathBuf,
    /// The first voters, this agent among them unless it follows.
    pub voters: Vec<Member>,
    /// Whether it follows without a vote.
    pub follow: bool,
    /// How often the leader is heard of, in ms.
    pub heartbeat_ms: u64,
    /// For drills: the file is opened as on a disk that can't be written.
    pub read_only: bool,
}

impl Settings {
    /// Whether they can be acted on.
    ///
    /// # Errors
    /// With the field and what it may be.
    pub fn check(&self) -> Result<(), String> {
        for (field, text) in [("fleet", &self.fleet), ("name", &self.name)] {
            if !is_name(text) {
                return Err(format!("{field}: 1 to 64 letters, digits, dots, dashes or underscores"));
            }
        }
        if ![1, 3, 5].contains(&self.voters.len()) {
            return Err(format!("voters: {} of them; 1, 3 or 5", self.voters.len()));
        }
        let mut names = BTreeSet::new();
        let mut ats = BTreeSet::new();
        for (k, voter) in self.voters.iter().enumerate() {
            if !is_name(&voter.name) || !names.insert(&voter.name) {
                return Err(format!("voters[{k}].name: no name, or there twice"));
            }
            if voter.at.is_empty() || !ats.insert(&voter.at) {
                return Err(format!("voters[{k}].at: empty, or there twice"));
            }
        }
        match (names.contains(&self.name), self.follow) {
            (false, false) => {
                Err(format!("voters: {} is not among them; name it, or set follow = true", self.name))
            }
            (true, true) => Err(format!("follow: {} is among the voters", self.name)),
            _ if !(20..=10_000).contains(&self.heartbeat_ms) => {
                Err(format!("heartbeat_ms: {}; 20 to 10000", self.heartbeat_ms))
            }
            _ => Ok(()),
        }
    }
}

/// Why something was not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// Nobody leads at present: nothing was done.
    NoLeader,
    /// It may have been done.
    InDoubt(String),
    /// It was refused.
    Refused(String),
    /// This member takes no part.
    Stopped(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoLeader => f.write_str("the council has no leader at present; nothing was done"),
            Error::InDoubt(what) => write!(f, "the council's answer was lost ({what}): it was done or not"),
            Error::Refused(what) => f.write_str(what),
            Error::Stopped(what) => write!(f, "this agent takes no part in the council: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// A change of members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// One more voter: a follower, or an agent whose council file is new.
    Add {
        /// Its name.
        name: String,
        /// Where it is; not wanted for a follower.
        at: String,
    },
    /// One less.
    Remove {
        /// Its name.
        name: String,
    },
}

/// A member as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its number.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Its address.
    pub at: String,
    /// Whether it votes.
    pub is_voter: bool,
    /// How far its log goes, as the leader knows.
    pub matched_index: Option<u64>,
}

/// The council as this member sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Status {
    /// Its own number; 0 where it has none yet.
    pub id: u64,
    /// forming, waits to be added, leader, follower, candidate, learner, or stopped.
    pub state: String,
    /// Why it takes no part.
    pub problem: String,
    /// The leader's name, where one is known.
    pub leader: String,
    /// The term.
    pub term: u64,
    /// The last entry of its log, and the last that was carried out.
    pub last_index: u64,
    /// The same, carried out.
    pub applied_index: u64,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The file's size, in bytes.
    pub file_bytes: u64,
    /// Messages refused, since the start.
    pub rejected: u64,
    /// The same by cause.
    pub rejected_by: BTreeMap<&'static str, u64>,
    /// How often the council was taken up by one member alone.
    pub generation: u64,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    name: String,
    voters: Vec<Member>,
}

#[derive(Serialize, Deserialize)]
struct Known {
    id: u64,
    /// Nothing is in its log yet.
    blank: bool,
    voters: Vec<Member>,
}

#[derive(Serialize, Deserialize)]
struct Number {
    id: u64,
    generation: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a member and its ways to others share.
pub struct Shared {
    settings: Settings,
    file: Option<CouncilFile>,
    transport: Arc<dyn Transport>,
    identity: Mutex<Option<Identity>>,
    heard: Mutex<BTreeMap<u64, u64>>,
    stopped: watch::Sender<Option<String>>,
    refused: Mutex<BTreeMap<&'static str, u64>>,
    pulse: Mutex<QuorumCheck>,
}

impl Shared {
    /// Whether a leader's message may go out; see [`QuorumCheck`].
    pub(crate) fn may_lead(&self) -> bool {
        lock(&self.pulse).may_send(std::time::Instant::now())
    }

    /// A member has answered its leader.
    pub(crate) fn record_answer(&self, id: u64) {
        lock(&self.pulse).record_answer(std::time::Instant::now(), id);
    }

    fn number(&self) -> (u64, u64) {
        lock(&self.identity).as_ref().map_or((0, 0), |i| (i.id, i.generation))
    }

    fn writes(&self) -> u64 {
        self.file.as_ref().map_or(0, CouncilFile::writes)
    }

    fn message(&self, to: u64, kind: MessageKind, body: Vec<u8>) -> Envelope {
        let (from, generation) = self.number();
        let heard = lock(&self.heard).get(&to).copied().unwrap_or(0);
        let (version, fleet, writes) = (VERSION, self.settings.fleet.clone(), self.writes());
        Envelope { version, fleet, generation, from, to, writes, heard, kind, body }
    }

    /// Asks a member, and takes note of how far its file is.
    pub(crate) async fn ask(
        &self,
        at: &str,
        to: u64,
        kind: MessageKind,
        body: Vec<u8>,
        most: Duration,
    ) -> Result<Envelope, String> {
        if let Some(why) = &*self.stopped.borrow() {
            return Err(why.clone());
        }
        let asked = timeout(most, self.transport.call(at, self.message(to, kind, body))).await;
        let answer = asked.map_err(|_| "no answer in time".to_string())??;
        self.look(&answer).map_err(|e| e.to_string())?;
        Ok(answer)
    }

    /// Whether a message is for this member to look into.
    fn look(&self, message: &Envelope) -> Result<(), Rejection> {
        let (id, generation) = self.number();
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
            let mut heard = lock(&self.heard);
            // Members come and go; numbers never come again.
            if heard.len() > 1024 {
                heard.clear();
            }
            let known = heard.entry(message.from).or_default();
            *known = (*known).max(message.writes);
        }
        let writes = self.writes();
        if id != 0 && message.heard > writes {
            let why = FileError::Outdated { has: writes, known: message.heard }.to_string();
            self.stop(&why);
            return Err(Rejection::Stopped(why));
        }
        Ok(())
    }

    /// This member takes no part any more.
    fn stop(&self, why: &str) {
        let first = self.stopped.send_if_modified(|s| {
            let first = s.is_none();
            s.get_or_insert_with(|| why.to_string());
            first
        });
        if first {
            tracing::error!(reason = why, "{why}");
        }
    }
}

/// One member.
pub struct Council {
    shared: Arc<Shared>,
    raft: watch::Sender<Option<Raft<TypeConfig>>>,
    seen: watch::Sender<Arc<AgreedState>>,
    state: Mutex<&'static str>,
    /// One change of members at a time.
    changing: tokio::sync::Mutex<()>,
}

impl Council {
    /// Opens the file and begins to take part, as far as that goes. One whose file can't be used takes no part, and says
    /// why; whatever else its agent does goes on.
    ///
    /// # Errors
    /// When the settings can't be used, or the file is another's.
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
            let whose = format!("{} of fleet {}", known.name, known.fleet);
            return Err(FileError::Foreign(whose).to_string());
        }
        let beat = Duration::from_millis(settings.heartbeat_ms);
        let shared = Arc::new(Shared {
            pulse: Mutex::new(QuorumCheck::new(beat, beat * 8)),
            settings,
            file,
            transport,
            identity: Mutex::new(identity),
            heard: Mutex::default(),
            stopped: watch::Sender::new(None),
            refused: Mutex::default(),
        });
        let council = Arc::new(Council {
            shared,
            raft: watch::Sender::new(None),
            seen: watch::Sender::new(Arc::default()),
            state: Mutex::new("forming"),
            changing: tokio::sync::Mutex::default(),
        });
        match problem {
            Some(why) => council.shared.stop(&why),
            None => drop(tokio::spawn(council.clone().come_in())),
        }
        Ok(council)
    }

    /// All that is agreed on, as far as this member knows; changes each time something is.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<AgreedState>> {
        self.seen.subscribe()
    }

    /// Why it takes no part, if so.
    #[must_use]
    pub fn stop_reason(&self) -> Option<String> {
        self.shared.stopped.borrow().clone()
    }

    fn raft(&self) -> Option<Raft<TypeConfig>> {
        self.raft.borrow().clone()
    }

    /// Whether this member leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.raft().is_some_and(|r| r.metrics().borrow().state == ServerState::Leader)
    }

    /// Ends taking part; what was promised is in the file.
    pub async fn shutdown(&self) {
        self.shared.stopped.send_if_modified(|s| {
            let first = s.is_none();
            s.get_or_insert_with(|| "it ends".to_string());
            first
        });
        if let Some(raft) = self.raft() {
            let _ = raft.shutdown().await;
        }
    }

    // ---- coming in ----

    fn others(&self) -> Vec<Member> {
        let own = &self.shared.settings.name;
        self.shared.settings.voters.iter().filter(|v| v.name != *own).cloned().collect()
    }

    /// Says hello to all of the first voters; those that answered.
    async fn hello(&self) -> Vec<(Member, Known)> {
        let settings = &self.shared.settings;
        let hello = Hello { name: settings.name.clone(), voters: settings.voters.clone() };
        let body = wire::body(&hello);
        let mut asked = Vec::new();
        for other in self.others() {
            let (shared, body) = (self.shared.clone(), body.clone());
            asked.push(tokio::spawn(async move {
                let answer = shared.ask(&other.at, 0, MessageKind::Hello, body, HELLO).await.ok()?;
                Some((other, wire::read::<Known>(&answer.body).ok()?))
            }));
        }
        let mut known = Vec::new();
        for one in asked {
            known.extend(one.await.ok().flatten());
        }
        known
    }

    async fn come_in(self: Arc<Self>) {
        if lock(&self.shared.identity).is_some() {
            // Whoever has heard more of this member than its file holds says so now, before it votes.
            self.hello().await;
            if self.stop_reason().is_some() {
                return;
            }
            self.begin().await;
        }
        let mut said = false;
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
                self.join().await;
            } else {
                self.form(&mut said).await;
            }
            sleep(AGAIN).await;
        }
    }

    /// The first voters make a council: once all of them are there, none of them has a log, and they agree on who they are.
    /// The first by name does it. Nobody else starts one, so that a member that lost its file can't.
    async fn form(self: &Arc<Self>, said: &mut bool) {
        let mut voters = self.shared.settings.voters.clone();
        voters.sort_by(|a, b| a.name.cmp(&b.name));
        let known = self.hello().await;
        if known.iter().any(|(_, k)| !k.blank) {
            if self.raft().is_none() && !*said {
                *said = true;
                *lock(&self.state) = "waits to be added";
                tracing::warn!(
                    "the council exists, and this agent's file is new: it does not vote; have {} removed and added anew \
                     (frostctl council)",
                    self.shared.settings.name
                );
            }
            return;
        }
        let mut theirs = known.iter().map(|(_, k)| {
            let mut theirs = k.voters.clone();
            theirs.sort_by(|a, b| a.name.cmp(&b.name));
            theirs
        });
        let first = voters.first().is_some_and(|v| v.name == self.shared.settings.name);
        if !first || known.len() + 1 < voters.len() || theirs.any(|t| t != voters) {
            return;
        }
        for (k, voter) in voters.iter().enumerate().skip(1) {
            let body = wire::body(&Number { id: k as u64 + 1, generation: 0 });
            if self.shared.ask(&voter.at, 0, MessageKind::Invite, body, HELLO).await.is_err() {
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
                Ok(()) => tracing::info!("the council is made"),
                Err(e) => tracing::warn!(reason = %e, "the council can't be made yet: {e}"),
            }
        }
    }

    /// A follower asks for a number.
    async fn join(self: &Arc<Self>) {
        let settings = &self.shared.settings;
        let me = Member { name: settings.name.clone(), at: settings.at.clone() };
        for voter in self.others() {
            let answer = self.shared.ask(&voter.at, 0, MessageKind::Join, wire::body(&me), CATCH_UP).await;
            let number = answer.ok().and_then(|a| wire::read::<Result<Number, Error>>(&a.body).ok());
            match number {
                Some(Ok(number)) => match self.become_member(number.id, number.generation).await {
                    Ok(()) => return,
                    Err(e) => return self.shared.stop(&e),
                },
                Some(Err(e @ Error::Refused(_))) => {
                    tracing::warn!(reason = %e, "can't follow the council: {e}")
                }
                _ => {}
            }
        }
    }

    async fn become_member(self: &Arc<Self>, id: u64, generation: u64) -> Result<(), String> {
        let Some(file) = &self.shared.file else { return Err("it has no file".into()) };
        let settings = &self.shared.settings;
        let (fleet, name) = (settings.fleet.clone(), settings.name.clone());
        let identity = Identity { fleet, id, name, generation };
        file.set_identity(&identity).map_err(|e| e.to_string())?;
        *lock(&self.shared.identity) = Some(identity);
        self.begin().await;
        Ok(())
    }

    /// Starts Raft, once.
    async fn begin(self: &Arc<Self>) {
        let _one = self.changing.lock().await;
        if self.raft().is_some() {
            return;
        }
        let (id, _) = self.shared.number();
        match self.new_raft(id).await {
            Ok(raft) => {
                self.raft.send_replace(Some(raft.clone()));
                tokio::spawn(self.clone().look_after(raft));
            }
            Err(e) => self.shared.stop(&e),
        }
    }

    async fn new_raft(&self, id: u64) -> Result<Raft<TypeConfig>, String> {
        let beat = self.shared.settings.heartbeat_ms;
        let config = openraft::Config {
            cluster_name: self.shared.settings.fleet.clone(),
            heartbeat_interval: beat,
            election_timeout_min: beat * 4,
            election_timeout_max: beat * 8,
            install_snapshot_timeout: 2_000,
            snapshot_policy: openraft::SnapshotPolicy::LogsSinceLast(COMPACT),
            max_in_snapshot_log_to_keep: KEEP,
            ..openraft::Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
        let file = self.shared.file.clone().ok_or("it has no file")?;
        let machine = StateMachine::open(file.clone(), self.seen.clone()).map_err(|e| e.to_string())?;
        Raft::new(id, config, NetworkFactory(self.shared.clone()), LogStore(file), machine)
            .await
            .map_err(|e| format!("council.file: {e}; this agent does not vote"))
    }

    /// Says when something about Raft changes, and ends it where this member must not vote.
    async fn look_after(self: Arc<Self>, raft: Raft<TypeConfig>) {
        let mut metrics = raft.metrics();
        let mut stopped = self.shared.stopped.subscribe();
        let mut leader = None;
        loop {
            // By name: who leads may be known before who that is.
            let (now, fatal, term) = {
                let m = metrics.borrow_and_update();
                let others = m.membership_config.membership().voter_ids().filter(|v| *v != m.id).collect();
                let leads = m.state == ServerState::Leader;
                lock(&self.shared.pulse).set_leadership(std::time::Instant::now(), leads, others);
                (m.current_leader, m.running_state.as_ref().err().map(ToString::to_string), m.current_term)
            };
            if let Some(why) = fatal {
                self.shared.stop(&format!("council.file: {why}; this agent does not vote"));
            }
            let named = now.and_then(|id| self.name_of(&raft, id));
            if named != leader {
                leader.clone_from(&named);
                match named {
                    Some(name) => {
                        tracing::info!(leader = name, term, "{name} leads the council in term {term}")
                    }
                    None => tracing::info!(term, "the council has no leader"),
                }
            }
            tokio::select! {
                changed = metrics.changed() => if changed.is_err() {
                    return self.shared.stop("its part in the council has ended");
                },
                () = ended(&mut stopped) => {
                    let _ = raft.shutdown().await;
                    return;
                }
            }
        }
    }

    fn name_of(&self, raft: &Raft<TypeConfig>, id: u64) -> Option<String> {
        let metrics = raft.metrics();
        let metrics = metrics.borrow();
        metrics.membership_config.nodes().find(|(n, _)| **n == id).map(|(_, m)| m.name.clone())
    }

    // ---- what others ask ----

    /// Takes a message in and gives the answer.
    ///
    /// # Errors
    /// When it is not looked into; then nothing has changed.
    pub async fn handle_message(self: &Arc<Self>, message: Envelope) -> Result<Envelope, Rejection> {
        let done = self.served(message).await;
        if let Err(why) = &done {
            self.count_rejected(why);
        }
        done
    }

    /// Counts a message that was not looked into.
    pub fn count_rejected(&self, why: &Rejection) {
        *lock(&self.shared.refused).entry(why.cause()).or_default() += 1;
    }

    async fn served(self: &Arc<Self>, message: Envelope) -> Result<Envelope, Rejection> {
        if let Some(why) = self.stop_reason() {
            return Err(Rejection::Stopped(why));
        }
        self.shared.look(&message)?;
        let Envelope { kind, from, body, .. } = message;
        let answer = match kind {
            MessageKind::Hello => {
                let _: Hello = wire::read(&body)?;
                let blank = match self.raft() {
                    Some(raft) => !raft.is_initialized().await.unwrap_or(true),
                    None => self.shared.number().0 == 0,
                };
                let voters = self.shared.settings.voters.clone();
                wire::body(&Known { id: self.shared.number().0, blank, voters })
            }
            MessageKind::Invite => {
                let number: Number = wire::read(&body)?;
                if self.shared.settings.follow && self.raft().is_some() {
                    return Err(Rejection::Stopped("it follows already".into()));
                }
                self.become_member(number.id, number.generation).await.map_err(Rejection::Stopped)?;
                Vec::new()
            }
            MessageKind::Join => {
                let member: Member = wire::read(&body)?;
                wire::body(
                    &self
                        .at_leader(MessageKind::Join, &member, CATCH_UP, || self.admit(member.clone()))
                        .await,
                )
            }
            MessageKind::Propose => {
                let request: Request = wire::read(&body)?;
                wire::body(&self.write_here(request).await.map_err(Failed::told))
            }
            MessageKind::Read => wire::body(&self.read_here().await.map_err(Failed::told)),
            MessageKind::Admin => {
                let admin: MembershipChange = wire::read(&body)?;
                wire::body(&self.change_here(admin).await.map_err(Failed::told))
            }
            MessageKind::Append | MessageKind::Vote | MessageKind::Snapshot => {
                self.raft_asks(kind, from, &body).await?
            }
        };
        Ok(self.shared.message(from, kind, answer))
    }

    async fn raft_asks(&self, kind: MessageKind, from: u64, body: &[u8]) -> Result<Vec<u8>, Rejection> {
        let Some(raft) = self.raft() else { return Err(Rejection::Stopped("it has not begun".into())) };
        // Before it has heard of any members, a member takes the word of whoever gave it its number.
        let known = {
            let metrics = raft.metrics();
            let m = metrics.borrow();
            let mut nodes = m.membership_config.nodes().peekable();
            nodes.peek().is_none() || nodes.any(|(id, _)| *id == from)
        };
        // An entry that takes a leader in may be on its way: only voters can be held to be known.
        if !known && kind == MessageKind::Vote {
            return Err(Rejection::UnknownSender(from));
        }
        Ok(match kind {
            MessageKind::Append => wire::body(&raft.append_entries(wire::read(body)?).await),
            MessageKind::Vote => wire::body(&raft.vote(wire::read(body)?).await),
            _ => wire::body(&raft.install_snapshot(wire::read(body)?).await),
        })
    }

    // ---- proposing and reading ----

    /// Has a command carried out, by whoever leads.
    ///
    /// # Errors
    /// When it was not, or when that is not known.
    pub async fn propose(&self, command: Command, most: Duration) -> Result<Outcome, Error> {
        let request = Request::Owner(command);
        let done =
            self.at_leader(MessageKind::Propose, &request, most, || self.write_here(request.clone())).await?;
        match done {
            Response::Owner(outcome) => Ok(outcome),
            other => Err(Error::Refused(format!("an answer to something else: {other:?}"))),
        }
    }

    /// All that was agreed on up to now, or later.
    ///
    /// # Errors
    /// When nobody can tell how far that is: what is known here may be old.
    pub async fn read_current(&self, most: Duration) -> Result<Arc<AgreedState>, Error> {
        let until = Instant::now() + most;
        let index: Option<u64> = self.at_leader(MessageKind::Read, &(), most, || self.read_here()).await?;
        let Some(raft) = self.raft() else { return Err(Error::NoLeader) };
        let mut metrics = raft.metrics();
        let reached = metrics.wait_for(|m| m.last_applied.map(|l| l.index) >= index);
        match timeout_at(until, reached).await {
            Ok(Ok(_)) => Ok(self.seen.borrow().clone()),
            _ => Err(Error::NoLeader),
        }
    }

    /// Changes the members, one at a time. A change whose answer is lost with its leader, or that a later leader refuses
    /// as it is done already, is done.
    ///
    /// # Errors
    /// When that was not done, or is not known.
    pub async fn change_members(&self, admin: MembershipChange, most: Duration) -> Result<String, Error> {
        let until = Instant::now() + most;
        let was_so = self.is_done(&admin).is_some();
        let answer =
            self.at_leader(MessageKind::Admin, &admin, most, || self.change_here(admin.clone())).await;
        match answer {
            Err(why @ (Error::Refused(_) | Error::InDoubt(_))) if !was_so => {
                self.done_by_now(&admin, until).await.ok_or(why)
            }
            answer => answer,
        }
    }

    /// What operators are told of a change that is done as soon as whoever leads can say what the members are.
    async fn done_by_now(&self, admin: &MembershipChange, until: Instant) -> Option<String> {
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            if self.read_current(left).await.is_ok() {
                return self.is_done(admin);
            }
            sleep(LOOK).await;
        }
        None
    }

    /// What operators are told if the members are, as far as this one knows, what a change makes of them.
    fn is_done(&self, admin: &MembershipChange) -> Option<String> {
        let raft = self.raft()?;
        let members = Self::members(&raft);
        match admin {
            MembershipChange::Add { name, at } => {
                let member = members.iter().find(|m| m.name == *name && (at.is_empty() || m.at == *at))?;
                let votes = member.is_voter && !Self::changes(&raft);
                votes.then(|| Self::after(&raft, &format!("{name} votes, as member {}", member.id)))
            }
            MembershipChange::Remove { name } => {
                let gone = !members.is_empty() && members.iter().all(|m| m.name != *name);
                gone.then(|| Self::after(&raft, &format!("{name} is no member any more")))
            }
        }
    }

    /// Whether a change of the voters was begun and is not finished: two sets of voters count.
    fn changes(raft: &Raft<TypeConfig>) -> bool {
        raft.metrics().borrow().membership_config.membership().get_joint_config().len() > 1
    }

    /// Does something here if this member leads, or has the leader do it; while there is none it waits for one.
    async fn at_leader<Q, A, W, F>(
        &self,
        kind: MessageKind,
        ask: &Q,
        most: Duration,
        here: W,
    ) -> Result<A, Error>
    where
        Q: Serialize,
        A: Serialize + for<'a> Deserialize<'a>,
        W: Fn() -> F,
        F: Future<Output = Result<A, Failed>>,
    {
        let until = Instant::now() + most;
        loop {
            if let Some(why) = self.stop_reason() {
                return Err(Error::Stopped(why));
            }
            let leader = match timeout_at(until, here()).await {
                Err(_) => return Err(Error::InDoubt("no answer in time".into())),
                Ok(Ok(done)) => return Ok(done),
                Ok(Err(Failed::Elsewhere(leader))) => leader,
                Ok(Err(Failed::For(why))) => return Err(why),
            };
            if let Some((id, member)) = leader.filter(|(id, _)| *id != self.shared.number().0) {
                let left = until.saturating_duration_since(Instant::now());
                let answer = self.shared.ask(&member.at, id, kind, wire::body(ask), left).await;
                match answer {
                    Ok(answer) => match wire::read::<Result<A, Error>>(&answer.body) {
                        Ok(Err(Error::NoLeader)) => {}
                        Ok(done) => return done,
                        Err(e) => return Err(Error::InDoubt(e.to_string())),
                    },
                    Err(e) => return Err(Error::InDoubt(e)),
                }
            }
            if Instant::now() + LOOK >= until {
                return Err(Error::NoLeader);
            }
            sleep(LOOK).await;
        }
    }

    async fn write_here(&self, request: Request) -> Result<Response, Failed> {
        let Some(raft) = self.raft() else { return Err(Failed::Elsewhere(None)) };
        raft.client_write(request).await.map(|done| done.data).map_err(|e| match e {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => Failed::to(to),
            e => Failed::For(Error::InDoubt(e.to_string())),
        })
    }

    async fn read_here(&self) -> Result<Option<u64>, Failed> {
        let Some(raft) = self.raft() else { return Err(Failed::Elsewhere(None)) };
        match raft.get_read_log_id().await {
            Ok((read, _)) => Ok(read.map(|l| l.index)),
            Err(RaftError::APIError(openraft::error::CheckIsLeaderError::ForwardToLeader(to))) => {
                Err(Failed::to(to))
            }
            Err(_) => Err(Failed::Elsewhere(None)),
        }
    }

    // ---- members ----

    async fn change_here(&self, admin: MembershipChange) -> Result<String, Failed> {
        match admin {
            MembershipChange::Add { name, at } => self.add(&name, &at).await,
            MembershipChange::Remove { name } => self.remove(&name).await,
        }
    }

    fn leading(&self) -> Result<Raft<TypeConfig>, Failed> {
        let Some(raft) = self.raft() else { return Err(Failed::Elsewhere(None)) };
        let leader = {
            let metrics = raft.metrics();
            let m = metrics.borrow();
            let node =
                |id: u64| m.membership_config.nodes().find(|(n, _)| **n == id).map(|(_, n)| (id, n.clone()));
            (m.state != ServerState::Leader).then(|| m.current_leader.and_then(node))
        };
        match leader {
            Some(leader) => Err(Failed::Elsewhere(leader)),
            None => Ok(raft),
        }
    }

    fn members(raft: &Raft<TypeConfig>) -> Vec<MemberStatus> {
        let metrics = raft.metrics();
        let m = metrics.borrow();
        let voters: BTreeSet<u64> = m.membership_config.membership().voter_ids().collect();
        let one = |(id, node): (&u64, &Member)| MemberStatus {
            id: *id,
            name: node.name.clone(),
            at: node.at.clone(),
            is_voter: voters.contains(id),
            matched_index: m.replication.as_ref().and_then(|r| r.get(id).copied().flatten()).map(|l| l.index),
        };
        m.membership_config.nodes().map(one).collect()
    }

    async fn number(&self, raft: &Raft<TypeConfig>) -> Result<u64, Failed> {
        let above = Self::members(raft).iter().map(|m| m.id).max().unwrap_or(0);
        match self.write_here(Request::Allot(above)).await? {
            Response::Number(id) => Ok(id),
            other => Err(Failed::For(Error::Refused(format!("no number: {other:?}")))),
        }
    }

    /// A follower comes, or comes back without its file: a new number, and the old one goes.
    async fn admit(&self, member: Member) -> Result<Number, Failed> {
        let refused = |why: String| Err(Failed::For(Error::Refused(why)));
        if !is_name(&member.name) || member.at.is_empty() || member.at.len() > 256 {
            return refused("name, at: a name, and an address of 1 to 256 bytes".into());
        }
        let raft = self.leading()?;
        let Ok(_one) = self.changing.try_lock() else {
            return refused("another change of members is under way".into());
        };
        let old = Self::members(&raft).into_iter().find(|m| m.name == member.name);
        if old.as_ref().is_some_and(|m| m.is_voter) {
            return refused(format!("{} votes in this council: remove it first", member.name));
        }
        if let Some(old) = old {
            change(&raft, ChangeMembers::RemoveNodes(BTreeSet::from([old.id]))).await?;
        }
        let id = self.number(&raft).await?;
        raft.add_learner(id, member, false).await.map_err(failed)?;
        Ok(Number { id, generation: self.shared.number().1 })
    }

    async fn add(&self, name: &str, at: &str) -> Result<String, Failed> {
        let refused = |why: String| Err(Failed::For(Error::Refused(why)));
        let raft = self.leading()?;
        let Ok(_one) = self.changing.try_lock() else {
            return refused("another change of members is under way; try again when it is done".into());
        };
        let id = match Self::members(&raft).into_iter().find(|m| m.name == name) {
            // A leader that lost its place may have left its addition half done: that is gone on with.
            Some(m) if m.is_voter && !Self::changes(&raft) => {
                return refused(format!("{name} votes already"));
            }
            Some(m) => m.id,
            None if !is_name(name) || at.is_empty() => {
                return refused(format!("{name} does not follow this council: say where it is (--at)"));
            }
            None => {
                let id = self.number(&raft).await?;
                let member = Member { name: name.to_string(), at: at.to_string() };
                let body = wire::body(&Number { id, generation: self.shared.number().1 });
                let asked = self.shared.ask(at, 0, MessageKind::Invite, body, CATCH_UP).await;
                if let Err(e) = asked {
                    return refused(format!("{name} at {at} does not come in: {e}"));
                }
                raft.add_learner(id, member, false).await.map_err(failed)?;
                id
            }
        };
        // It gets a vote once it knows what the others know.
        let until = Instant::now() + CATCH_UP;
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
            if Instant::now() > until {
                return refused(format!("{name} does not catch up; it follows, without a vote"));
            }
            sleep(LOOK).await;
        }
        change(&raft, ChangeMembers::AddVoterIds(BTreeSet::from([id]))).await?;
        Ok(self.told(&raft, &format!("{name} votes, as member {id}")))
    }

    async fn remove(&self, name: &str) -> Result<String, Failed> {
        let refused = |why: String| Err(Failed::For(Error::Refused(why)));
        let raft = self.leading()?;
        let Ok(_one) = self.changing.try_lock() else {
            return refused("another change of members is under way; try again when it is done".into());
        };
        let members = Self::members(&raft);
        let Some(member) = members.iter().find(|m| m.name == name) else {
            return refused(format!("{name} is no member"));
        };
        let votes = members.iter().filter(|m| m.is_voter).count();
        if member.is_voter && votes == 1 {
            return refused(format!("{name} is the only one that votes"));
        }
        if member.is_voter {
            // Not kept as a follower: its number is not given out again.
            let gone = ChangeMembers::RemoveVoters(BTreeSet::from([member.id]));
            raft.change_membership(gone, false).await.map_err(failed)?;
        } else {
            change(&raft, ChangeMembers::RemoveNodes(BTreeSet::from([member.id]))).await?;
        }
        Ok(self.told(&raft, &format!("{name} (member {}) is no member any more", member.id)))
    }

    fn told(&self, raft: &Raft<TypeConfig>, said: &str) -> String {
        let line = Self::after(raft, said);
        tracing::info!("{line}");
        line
    }

    /// What was done, and how many vote now.
    fn after(raft: &Raft<TypeConfig>, said: &str) -> String {
        let votes = Self::members(raft).iter().filter(|m| m.is_voter).count();
        let even = if votes % 2 == 0 { "; an even number bears no more losses than one less" } else { "" };
        format!("{said}; {votes} vote{even}")
    }

    /// Lets its file grow to so many pages, so that a full disk can be tried.
    ///
    /// # Errors
    /// As the database says.
    pub fn limit_file_size(&self, pages: u32) -> Result<(), FileError> {
        self.shared.file.as_ref().map_or(Ok(()), |file| file.limit_pages(pages))
    }

    /// As operators see it.
    #[must_use]
    pub fn status(&self) -> Status {
        let (id, generation) = self.shared.number();
        let rejected_by = lock(&self.shared.refused).clone();
        let mut status = Status {
            id,
            generation,
            state: (*lock(&self.state)).into(),
            file_bytes: self.shared.file.as_ref().map_or(0, CouncilFile::size),
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

async fn ended(stopped: &mut watch::Receiver<Option<String>>) {
    let _ = stopped.wait_for(Option::is_some).await;
}

/// Why it was not done here.
enum Failed {
    /// Another leads, or nobody that is known.
    Elsewhere(Option<(u64, Member)>),
    For(Error),
}

impl Failed {
    fn to(to: ForwardToLeader<u64, Member>) -> Failed {
        Failed::Elsewhere(to.leader_id.zip(to.leader_node))
    }

    /// As it is told to who asked from afar: it asks on by itself.
    fn told(self) -> Error {
        match self {
            Failed::Elsewhere(_) => Error::NoLeader,
            Failed::For(why) => why,
        }
    }
}

fn failed(e: RaftError<u64, ClientWriteError<u64, Member>>) -> Failed {
    match e {
        RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => Failed::to(to),
        RaftError::APIError(ClientWriteError::ChangeMembershipError(e)) => {
            Failed::For(Error::Refused(format!("the members were not changed: {e}")))
        }
        e => Failed::For(Error::InDoubt(e.to_string())),
    }
}

async fn change(raft: &Raft<TypeConfig>, members: ChangeMembers<u64, Member>) -> Result<(), Failed> {
    raft.change_membership(members, true).await.map(drop).map_err(failed)
}
