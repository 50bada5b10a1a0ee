//! The replicated state machine, and the storage that `openraft` keeps in the [`CouncilFile`].

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
    /// The type parameters of `openraft`.
    pub TypeConfig:
        D = Request,
        R = Response,
        NodeId = u64,
        Node = Member,
);

/// An entry of the log.
pub type Entry = openraft::Entry<TypeConfig>;

/// A member's name and address, as the membership holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its agent's name.
    pub name: String,
    /// The address at which other members reach it.
    pub at: String,
}

/// A request, as an entry of the log holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A command on sessions and duties.
    Owner(Command),
    /// Allots a number to a new member, above this one and all that were allotted.
    Allot(u64),
}

/// The result of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The outcome of a command.
    Owner(Outcome),
    /// The allotted member number.
    Number(u64),
    /// For an entry without a request.
    None,
}

/// The replicated state: all committed requests, applied in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreedState {
    /// The sessions and duties of the fleet.
    pub owner: State,
    /// The highest member number allotted.
    pub last_id: u64,
}

impl AgreedState {
    /// Applies a request and returns its result. It depends on nothing but the state and the request.
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

type StoreError = StorageError<u64>;

fn storage_error(subject: ErrorSubject<u64>, verb: ErrorVerb, cause: &FileError) -> StoreError {
    StorageIOError::new(subject, verb, openraft::AnyError::new(cause)).into()
}

/// Runs an operation on the file on a thread for blocking work, since it waits for the disk.
async fn run_blocking<T: Send + 'static>(
    file: &CouncilFile,
    subject: ErrorSubject<u64>,
    verb: ErrorVerb,
    work: impl FnOnce(&CouncilFile) -> Result<T, FileError> + Send + 'static,
) -> Result<T, StoreError> {
    let file = file.clone();
    let done = spawn_blocking(move || work(&file)).await;
    let done = done.unwrap_or_else(|e| Err(FileError::Unusable(e.to_string())));
    done.map_err(|e| storage_error(subject, verb, &e))
}

/// The log and the vote, stored in the council file.
#[derive(Clone)]
pub struct LogStore(pub CouncilFile);

impl RaftLogReader<TypeConfig> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, StoreError> {
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
        run_blocking(&self.0, ErrorSubject::Logs, ErrorVerb::Read, move |f| f.entries(from, to)).await
    }
}

impl RaftLogStorage<TypeConfig> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StoreError> {
        let bounds =
            run_blocking(&self.0, ErrorSubject::Logs, ErrorVerb::Read, CouncilFile::log_bounds).await?;
        Ok(LogState { last_purged_log_id: bounds.purged, last_log_id: bounds.last })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StoreError> {
        let vote = *vote;
        run_blocking(&self.0, ErrorSubject::Vote, ErrorVerb::Write, move |f| f.set_vote(&vote)).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StoreError> {
        run_blocking(&self.0, ErrorSubject::Vote, ErrorVerb::Read, CouncilFile::vote).await
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Result<(), StoreError> {
        run_blocking(&self.0, ErrorSubject::Store, ErrorVerb::Write, move |f| f.set_committed(committed))
            .await
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<u64>>, StoreError> {
        run_blocking(&self.0, ErrorSubject::Store, ErrorVerb::Read, CouncilFile::committed).await
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<TypeConfig>) -> Result<(), StoreError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<Entry> = entries.into_iter().collect();
        run_blocking(&self.0, ErrorSubject::Logs, ErrorVerb::Write, move |f| f.append(&entries)).await?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), StoreError> {
        run_blocking(&self.0, ErrorSubject::Logs, ErrorVerb::Delete, move |f| f.truncate(log_id.index)).await
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), StoreError> {
        run_blocking(&self.0, ErrorSubject::Logs, ErrorVerb::Delete, move |f| f.purge(&log_id)).await
    }
}

/// The state after the last applied entry.
#[derive(Default)]
struct Applied {
    state: AgreedState,
    last: Option<LogId<u64>>,
    membership: StoredMembership<u64, Member>,
}

/// The state machine. Sends the whole state on `agreed` after each batch of entries that had a request, and
/// after a snapshot is installed.
#[derive(Clone)]
pub struct StateMachine {
    file: CouncilFile,
    applied: Arc<Mutex<Applied>>,
    agreed: watch::Sender<Arc<AgreedState>>,
}

impl StateMachine {
    /// Restores the state from the file's snapshot, if there is one; `openraft` then applies the entries
    /// after it.
    ///
    /// # Errors
    /// When the snapshot can't be read.
    pub fn open(
        file: CouncilFile,
        agreed: watch::Sender<Arc<AgreedState>>,
    ) -> Result<StateMachine, FileError> {
        let mut applied = Applied::default();
        if let Some((meta, text)) = file.snapshot()? {
            applied.state = serde_json::from_slice(&text).map_err(|e| FileError::Corrupt(e.to_string()))?;
            (applied.last, applied.membership) = (meta.last_log_id, meta.last_membership);
            agreed.send_replace(Arc::new(applied.state.clone()));
        }
        Ok(StateMachine { file, applied: Arc::new(Mutex::new(applied)), agreed })
    }

    fn with_applied<T>(&self, work: impl FnOnce(&mut Applied) -> T) -> T {
        work(&mut self.applied.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl RaftSnapshotBuilder<TypeConfig> for StateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, StoreError> {
        let (text, meta) = self.with_applied(|a| {
            let text = serde_json::to_vec(&a.state);
            let snapshot_id = a.last.map_or("0".to_string(), |l| format!("{}-{}", l.leader_id, l.index));
            let meta =
                SnapshotMeta { last_log_id: a.last, last_membership: a.membership.clone(), snapshot_id };
            (text, meta)
        });
        let subject = || ErrorSubject::Snapshot(Some(meta.signature()));
        let text = text
            .map_err(|e| storage_error(subject(), ErrorVerb::Write, &FileError::Unusable(e.to_string())))?;
        let (stored_meta, stored_state) = (meta.clone(), text.clone());
        run_blocking(&self.file, subject(), ErrorVerb::Write, move |f| {
            f.set_snapshot(&stored_meta, &stored_state)
        })
        .await?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(text)) })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = StateMachine;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, Member>), StoreError> {
        Ok(self.with_applied(|a| (a.last, a.membership.clone())))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Response>, StoreError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let (answers, state) = self.with_applied(|a| {
            let mut answers = Vec::new();
            let mut changed = false;
            for entry in entries {
                a.last = Some(entry.log_id);
                answers.push(match entry.payload {
                    EntryPayload::Blank => Response::None,
                    EntryPayload::Normal(request) => {
                        changed = true;
                        a.state.apply(&request)
                    }
                    EntryPayload::Membership(members) => {
                        a.membership = StoredMembership::new(Some(entry.log_id), members);
                        Response::None
                    }
                });
            }
            (answers, changed.then(|| Arc::new(a.state.clone())))
        });
        if let Some(state) = state {
            self.agreed.send_replace(state);
        }
        Ok(answers)
    }

    async fn get_snapshot_builder(&mut self) -> StateMachine {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StoreError> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, Member>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StoreError> {
        let text = snapshot.into_inner();
        let subject = || ErrorSubject::Snapshot(Some(meta.signature()));
        let state: AgreedState = serde_json::from_slice(&text)
            .map_err(|e| storage_error(subject(), ErrorVerb::Read, &FileError::Corrupt(e.to_string())))?;
        let stored_meta = meta.clone();
        run_blocking(&self.file, subject(), ErrorVerb::Write, move |f| f.set_snapshot(&stored_meta, &text))
            .await?;
        let state = self.with_applied(|a| {
            a.state = state;
            (a.last, a.membership) = (meta.last_log_id, meta.last_membership.clone());
            Arc::new(a.state.clone())
        });
        self.agreed.send_replace(state);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, StoreError> {
        let snapshot =
            run_blocking(&self.file, ErrorSubject::Snapshot(None), ErrorVerb::Read, CouncilFile::snapshot)
                .await?;
        Ok(snapshot.map(|(meta, text)| Snapshot { meta, snapshot: Box::new(Cursor::new(text)) }))
    }
}
