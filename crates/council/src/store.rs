//! What is replicated, and how `openraft` keeps it in the file.

use crate::file::{CouncilFile, FileError};
use frostvale_owner::{Command, Outcome, State};
use openraft::storage::{LogFlushed, RaftLogStorage, RaftStateMachine};
use openraft::{
    EntryPayload, ErrorSubject, ErrorVerb, LogId, LogState, OptionalSend, RaftLogReader, RaftSnapshotBuilder,
    Snapshot, SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::io::Cursor;
use std::ops::{Bound, RangeBounds};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::spawn_blocking;

openraft::declare_raft_types!(
    /// The types of this council.
    pub TypeConfig:
        D = Request,
        R = Response,
        NodeId = u64,
        Node = Member,
);

/// An entry of the log.
pub type Entry = openraft::Entry<TypeConfig>;

/// A member as others find it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address.
    pub at: String,
}

/// What is entered in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// About sessions and duties.
    Owner(Command),
    /// A number for a new member, above this one.
    Allot(u64),
}

/// What came of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Of a command.
    Owner(Outcome),
    /// The number.
    Number(u64),
    /// Of an entry that is no request.
    None,
}

/// All that is agreed on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreedState {
    /// Sessions and duties.
    pub owner: State,
    /// The last member's number given out.
    pub last_id: u64,
}

impl AgreedState {
    /// Carries a request out.
    pub fn apply(&mut self, request: &Request) -> Response {
        match request {
            Request::Owner(command) => Response::Owner(self.owner.apply(command)),
            Request::Allot(above) => {
                self.last_id = self.last_id.max(*above) + 1;
                Response::Number(self.last_id)
            }
        }
    }
}

type Fault = StorageError<u64>;

fn fault(subject: ErrorSubject<u64>, verb: ErrorVerb, problem: &FileError) -> Fault {
    StorageIOError::new(subject, verb, openraft::AnyError::new(problem)).into()
}

/// Does something with the file away from the runtime's threads: it waits for the disk.
async fn off<T: Send + 'static>(
    file: &CouncilFile,
    subject: ErrorSubject<u64>,
    verb: ErrorVerb,
    work: impl FnOnce(&CouncilFile) -> Result<T, FileError> + Send + 'static,
) -> Result<T, Fault> {
    let file = file.clone();
    let done = spawn_blocking(move || work(&file)).await;
    let done = done.unwrap_or_else(|e| Err(FileError::Unusable(e.to_string())));
    done.map_err(|e| fault(subject, verb, &e))
}

/// The log.
#[derive(Clone)]
pub struct LogStore(pub CouncilFile);

impl RaftLogReader<TypeConfig> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, Fault> {
        let from = match range.start_bound() {
            Bound::Included(n) => *n,
            Bound::Excluded(n) => n + 1,
            Bound::Unbounded => 0,
        };
        let to = match range.end_bound() {
            Bound::Included(n) => n + 1,
            Bound::Excluded(n) => *n,
            Bound::Unbounded => u64::MAX >> 1,
        };
        off(&self.0, ErrorSubject::Logs, ErrorVerb::Read, move |f| f.entries(from, to)).await
    }
}

impl RaftLogStorage<TypeConfig> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, Fault> {
        let ends = off(&self.0, ErrorSubject::Logs, ErrorVerb::Read, CouncilFile::log_bounds).await?;
        Ok(LogState { last_purged_log_id: ends.purged, last_log_id: ends.last })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), Fault> {
        let vote = *vote;
        off(&self.0, ErrorSubject::Vote, ErrorVerb::Write, move |f| f.set_vote(&vote)).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, Fault> {
        off(&self.0, ErrorSubject::Vote, ErrorVerb::Read, CouncilFile::vote).await
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Result<(), Fault> {
        off(&self.0, ErrorSubject::Store, ErrorVerb::Write, move |f| f.set_committed(committed)).await
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<u64>>, Fault> {
        off(&self.0, ErrorSubject::Store, ErrorVerb::Read, CouncilFile::committed).await
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<TypeConfig>) -> Result<(), Fault>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<Entry> = entries.into_iter().collect();
        off(&self.0, ErrorSubject::Logs, ErrorVerb::Write, move |f| f.append(&entries)).await?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), Fault> {
        off(&self.0, ErrorSubject::Logs, ErrorVerb::Delete, move |f| f.truncate(log_id.index)).await
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), Fault> {
        off(&self.0, ErrorSubject::Logs, ErrorVerb::Delete, move |f| f.purge(&log_id)).await
    }
}

#[derive(Default)]
struct Applied {
    whole: AgreedState,
    last: Option<LogId<u64>>,
    membership: StoredMembership<u64, Member>,
}

/// The state machine. Whoever follows `seen` gets all that is agreed on, each time something was.
#[derive(Clone)]
pub struct StateMachine {
    file: CouncilFile,
    applied: Arc<Mutex<Applied>>,
    seen: watch::Sender<Arc<AgreedState>>,
}

impl StateMachine {
    /// From the file's snapshot.
    ///
    /// # Errors
    /// When it can't be read.
    pub fn open(file: CouncilFile, seen: watch::Sender<Arc<AgreedState>>) -> Result<StateMachine, FileError> {
        let mut applied = Applied::default();
        if let Some((meta, text)) = file.snapshot()? {
            applied.whole = serde_json::from_slice(&text).map_err(|e| FileError::Corrupt(e.to_string()))?;
            (applied.last, applied.membership) = (meta.last_log_id, meta.last_membership);
            seen.send_replace(Arc::new(applied.whole.clone()));
        }
        Ok(StateMachine { file, applied: Arc::new(Mutex::new(applied)), seen })
    }

    fn with<T>(&self, work: impl FnOnce(&mut Applied) -> T) -> T {
        work(&mut self.applied.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl RaftSnapshotBuilder<TypeConfig> for StateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, Fault> {
        let (text, meta) = self.with(|a| {
            let text = serde_json::to_vec(&a.whole);
            let snapshot_id = a.last.map_or("0".to_string(), |l| format!("{}-{}", l.leader_id, l.index));
            let meta =
                SnapshotMeta { last_log_id: a.last, last_membership: a.membership.clone(), snapshot_id };
            (text, meta)
        });
        let subject = || ErrorSubject::Snapshot(Some(meta.signature()));
        let text =
            text.map_err(|e| fault(subject(), ErrorVerb::Write, &FileError::Unusable(e.to_string())))?;
        let (kept, whole) = (meta.clone(), text.clone());
        off(&self.file, subject(), ErrorVerb::Write, move |f| f.set_snapshot(&kept, &whole)).await?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(text)) })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = StateMachine;

    async fn applied_state(&mut self) -> Result<(Option<LogId<u64>>, StoredMembership<u64, Member>), Fault> {
        Ok(self.with(|a| (a.last, a.membership.clone())))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Response>, Fault>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let (answers, whole) = self.with(|a| {
            let mut answers = Vec::new();
            let mut changed = false;
            for entry in entries {
                a.last = Some(entry.log_id);
                answers.push(match entry.payload {
                    EntryPayload::Blank => Response::None,
                    EntryPayload::Normal(request) => {
                        changed = true;
                        a.whole.apply(&request)
                    }
                    EntryPayload::Membership(members) => {
                        a.membership = StoredMembership::new(Some(entry.log_id), members);
                        Response::None
                    }
                });
            }
            (answers, changed.then(|| Arc::new(a.whole.clone())))
        });
        if let Some(whole) = whole {
            self.seen.send_replace(whole);
        }
        Ok(answers)
    }

    async fn get_snapshot_builder(&mut self) -> StateMachine {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Fault> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, Member>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Fault> {
        let text = snapshot.into_inner();
        let subject = || ErrorSubject::Snapshot(Some(meta.signature()));
        let whole: AgreedState = serde_json::from_slice(&text)
            .map_err(|e| fault(subject(), ErrorVerb::Read, &FileError::Corrupt(e.to_string())))?;
        let kept = meta.clone();
        off(&self.file, subject(), ErrorVerb::Write, move |f| f.set_snapshot(&kept, &text)).await?;
        let whole = self.with(|a| {
            a.whole = whole;
            (a.last, a.membership) = (meta.last_log_id, meta.last_membership.clone());
            Arc::new(a.whole.clone())
        });
        self.seen.send_replace(whole);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, Fault> {
        let kept =
            off(&self.file, ErrorSubject::Snapshot(None), ErrorVerb::Read, CouncilFile::snapshot).await?;
        Ok(kept.map(|(meta, text)| Snapshot { meta, snapshot: Box::new(Cursor::new(text)) }))
    }
}
