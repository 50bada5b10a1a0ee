//! The council file: an SQLite database with an agent's identity in the group, its vote, its log and its
//! snapshot. Each write is synced before it is acknowledged, and one process at a time may open the file.
//!
//! A small mark file beside it holds the number of writes to the database. It is written after each of them,
//! so it is never ahead of the database, unless the database was replaced by an older copy. A member with an
//! older copy must not vote, since its earlier votes and acknowledgements may be missing. Other members also
//! keep the highest number reported to them, in memory, and detect an older copy where the mark file was
//! replaced too.

use openraft::{LogId, SnapshotMeta, StoredMembership, Vote};
use rusqlite::{Connection, OpenFlags, OptionalExtension, Transaction, params};
use std::fs;
use std::io::{Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::store::{AgreedState, Entry, Member};

/// The identity of a member, as its file holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The fleet's name.
    pub fleet: String,
    /// Its member number; numbers are never reused.
    pub id: u64,
    /// Its agent's name.
    pub name: String,
    /// How many times the group was recovered from one member alone.
    pub generation: u64,
}

/// Why a council file can't be used, or a write failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// It can't be opened, read or written, with the error of SQLite or the system.
    Unusable(String),
    /// Another process has it open.
    Locked,
    /// It is damaged, with what is wrong.
    Corrupt(String),
    /// It is an older copy: later writes are known of.
    Outdated {
        /// The number of writes to the file.
        has: u64,
        /// The highest number of writes that the mark file or another member has.
        known: u64,
    },
    /// It belongs to another fleet or another agent, named here.
    Foreign(String),
}

impl std::fmt::Display for FileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FileError::Unusable(what) => write!(f, "council.file: {what}; this agent does not vote"),
            FileError::Locked => {
                f.write_str("council.file: another process holds it; this agent does not vote")
            }
            FileError::Corrupt(what) => write!(
                f,
                "council.file: the file is damaged ({what}); this agent does not vote: move the file away, \
                 then remove and add this agent"
            ),
            FileError::Outdated { has, known } => write!(
                f,
                "council.file: the file is an older copy: it has {has} of {known} known writes; acknowledged \
                 votes or entries may be missing, so this agent does not vote: move the file away, then \
                 remove and add this agent"
            ),
            FileError::Foreign(what) => {
                write!(f, "council.file: the file belongs to {what}, not to this agent")
            }
        }
    }
}

impl std::error::Error for FileError {}

/// Converts an error of SQLite.
fn from_sqlite_error(e: &rusqlite::Error) -> FileError {
    use rusqlite::ErrorCode;
    match e.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => FileError::Locked,
        Some(ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase) => FileError::Corrupt(e.to_string()),
        _ => FileError::Unusable(e.to_string()),
    }
}

/// Converts an error of reading or writing JSON.
fn from_json_error(e: &serde_json::Error) -> FileError {
    FileError::Corrupt(e.to_string())
}

/// The bounds of the stored log.
#[derive(Debug, Clone, Default)]
pub struct LogBounds {
    /// The last purged entry.
    pub purged: Option<LogId<u64>>,
    /// The last entry; the last purged one where the log is empty.
    pub last: Option<LogId<u64>>,
}

/// A snapshot: its metadata, and the replicated state as JSON.
pub(crate) type StoredSnapshot = (SnapshotMeta<u64, Member>, Vec<u8>);

/// The open database and its mark file.
struct OpenFile {
    db: Connection,
    mark: fs::File,
}

/// An open council file; clones share it.
#[derive(Clone)]
pub struct CouncilFile {
    inner: Arc<Mutex<OpenFile>>,
    /// The number of writes so far.
    writes: Arc<AtomicU64>,
    path: PathBuf,
}

const SCHEMA: &str = "
    CREATE TABLE IF NOT EXISTS meta (id INTEGER PRIMARY KEY CHECK (id = 1), writes INTEGER NOT NULL, fleet TEXT,
        member INTEGER, name TEXT, generation INTEGER, vote TEXT, committed TEXT, purged TEXT);
    INSERT OR IGNORE INTO meta (id, writes) VALUES (1, 0);
    CREATE TABLE IF NOT EXISTS log (at INTEGER PRIMARY KEY, entry TEXT NOT NULL);
    CREATE TABLE IF NOT EXISTS snapshot (id INTEGER PRIMARY KEY CHECK (id = 1), meta TEXT NOT NULL, whole TEXT NOT NULL);
";

/// The path of the mark file.
fn mark_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".mark");
    name.into()
}

/// Overwrites the mark file; it is not synced.
fn set_mark(mark: &mut fs::File, writes: u64) -> std::io::Result<()> {
    mark.seek(SeekFrom::Start(0))?;
    mark.write_all(format!("{writes:020}\n").as_bytes())
}

impl CouncilFile {
    /// Opens the file or creates it, and checks that it is sound and not older than its mark file.
    ///
    /// # Errors
    /// When it can't be used; this agent must not vote then.
    pub fn open(path: &Path) -> Result<CouncilFile, FileError> {
        CouncilFile::open_with_mode(path, false)
    }

    /// As [`CouncilFile::open`], read-only if asked for, as on a disk that can't be written.
    ///
    /// # Errors
    /// When it can't be used; a read-only file never can.
    pub fn open_with_mode(path: &Path, read_only: bool) -> Result<CouncilFile, FileError> {
        let with_path = |what: String| FileError::Unusable(format!("{}: {what}", path.display()));
        let access = match read_only {
            true => OpenFlags::SQLITE_OPEN_READ_ONLY,
            false => OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE,
        };
        let flags = access | OpenFlags::SQLITE_OPEN_NO_MUTEX;
        let db = Connection::open_with_flags(path, flags).map_err(|e| with_path(e.to_string()))?;
        let prepare = || -> rusqlite::Result<String> {
            db.busy_timeout(std::time::Duration::from_millis(200))?;
            db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
            db.pragma_update(None, "journal_mode", "WAL")?;
            db.pragma_update(None, "synchronous", "FULL")?;
            db.execute_batch(SCHEMA)?;
            // Takes the exclusive lock, and fails where the file can't be written.
            db.execute("UPDATE meta SET writes = writes WHERE id = 1", [])?;
            db.query_row("PRAGMA quick_check(1)", [], |r| r.get(0))
        };
        match prepare() {
            Ok(result) if result == "ok" => {}
            Ok(result) => return Err(FileError::Corrupt(result)),
            Err(e) => return Err(from_sqlite_error(&e)),
        }
        let mut mark = fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .mode(0o600)
            .open(mark_path(path))
            .map_err(|e| with_path(e.to_string()))?;
        let mut text = String::new();
        mark.read_to_string(&mut text).map_err(|e| with_path(e.to_string()))?;
        // A damaged mark file counts as 0: it then proves nothing about the file's age.
        let known: u64 = text.trim().parse().unwrap_or(0);
        let has: u64 = db
            .query_row("SELECT writes FROM meta WHERE id = 1", [], |r| r.get::<_, i64>(0))
            .map_err(|e| from_sqlite_error(&e))?
            .try_into()
            .unwrap_or(0);
        if known > has {
            return Err(FileError::Outdated { has, known });
        }
        let inner = Arc::new(Mutex::new(OpenFile { db, mark }));
        let file = CouncilFile { inner, writes: Arc::new(AtomicU64::new(has)), path: path.to_path_buf() };
        file.check_log()?;
        Ok(file)
    }

    fn lock(&self) -> MutexGuard<'_, OpenFile> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks that the log has no gaps and begins right after the last purged entry.
    fn check_log(&self) -> Result<(), FileError> {
        let open = self.lock();
        let (first, last, count): (Option<i64>, Option<i64>, i64) = open
            .db
            .query_row("SELECT MIN(at), MAX(at), COUNT(*) FROM log", [], |r| {
                Ok((r.get(0)?, r.get(1)?, r.get(2)?))
            })
            .map_err(|e| from_sqlite_error(&e))?;
        let purged: Option<LogId<u64>> = read_meta_column(&open.db, "purged")?;
        if let (Some(first), Some(last)) = (first, last) {
            if last - first + 1 != count {
                return Err(FileError::Corrupt(format!(
                    "the log has {count} entries from {first} to {last}"
                )));
            }
            let from = purged.map_or(0, |p| p.index + 1);
            if i64::try_from(from).ok() != Some(first) {
                return Err(FileError::Corrupt(format!("the log begins at {first}, not at {from}")));
            }
        }
        Ok(())
    }

    /// The file's path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The number of writes to the file since it was created.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Acquire)
    }

    /// Runs `work` in one transaction, which counts as one write.
    fn write<T>(&self, work: impl FnOnce(&Transaction<'_>) -> Result<T, FileError>) -> Result<T, FileError> {
        let mut open = self.lock();
        let OpenFile { db, mark } = &mut *open;
        let tx = db.transaction().map_err(|e| from_sqlite_error(&e))?;
        let done = work(&tx)?;
        tx.execute("UPDATE meta SET writes = writes + 1 WHERE id = 1", [])
            .map_err(|e| from_sqlite_error(&e))?;
        tx.commit().map_err(|e| from_sqlite_error(&e))?;
        let writes = self.writes.fetch_add(1, Ordering::AcqRel) + 1;
        // A failure to write the mark file is ignored: the mark then lags behind, which is harmless. It must
        // never be ahead.
        let _ = set_mark(mark, writes);
        Ok(done)
    }

    /// The identity of the member that the file belongs to; none in a new file.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn identity(&self) -> Result<Option<Identity>, FileError> {
        let open = self.lock();
        let row =
            open.db.query_row("SELECT fleet, member, name, generation FROM meta WHERE id = 1", [], |r| {
                let id: Option<i64> = r.get(1)?;
                let Some(id) = id else { return Ok(None) };
                let generation: i64 = r.get(3)?;
                Ok(Some(Identity {
                    fleet: r.get(0)?,
                    id: id.unsigned_abs(),
                    name: r.get(2)?,
                    generation: generation.unsigned_abs(),
                }))
            });
        row.map_err(|e| from_sqlite_error(&e))
    }

    /// Assigns the file to a member; nothing is written where it is that member's already.
    ///
    /// # Errors
    /// When it belongs to another member, or can't be read or written.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), FileError> {
        if let Some(known) = self.identity()? {
            if known == *identity {
                return Ok(());
            }
            return Err(FileError::Foreign(format!(
                "member {} ({}) of fleet {}",
                known.id, known.name, known.fleet
            )));
        }
        self.write(|tx| {
            let Identity { fleet, id, name, generation } = identity;
            let args = params![fleet, sql_integer(*id), name, sql_integer(*generation)];
            tx.execute(
                "UPDATE meta SET fleet = ?1, member = ?2, name = ?3, generation = ?4 WHERE id = 1",
                args,
            )
            .map(drop)
            .map_err(|e| from_sqlite_error(&e))
        })
    }

    /// The stored vote; none in a new file.
    pub(crate) fn vote(&self) -> Result<Option<Vote<u64>>, FileError> {
        read_meta_column(&self.lock().db, "vote")
    }

    /// Stores the vote; it is synced when this returns.
    pub(crate) fn set_vote(&self, vote: &Vote<u64>) -> Result<(), FileError> {
        self.write(|tx| {
            write_meta_column(tx, "vote", &serde_json::to_string(vote).map_err(|e| from_json_error(&e))?)
        })
    }

    /// The stored committed index; it may lag behind, as its writes are not synced.
    pub(crate) fn committed(&self) -> Result<Option<LogId<u64>>, FileError> {
        Ok(read_meta_column::<Option<LogId<u64>>>(&self.lock().db, "committed")?.flatten())
    }

    /// Stores the committed index, neither synced nor counted as a write: it only saves work at the next
    /// start.
    pub(crate) fn set_committed(&self, committed: Option<LogId<u64>>) -> Result<(), FileError> {
        let text = serde_json::to_string(&committed).map_err(|e| from_json_error(&e))?;
        let open = self.lock();
        let _ = open.db.pragma_update(None, "synchronous", "OFF");
        let done = open.db.execute("UPDATE meta SET committed = ?1 WHERE id = 1", [text]);
        let synced = open.db.pragma_update(None, "synchronous", "FULL");
        done.and(synced).map_err(|e| from_sqlite_error(&e))
    }

    /// The last purged and the last stored entry's ids.
    pub(crate) fn log_bounds(&self) -> Result<LogBounds, FileError> {
        let open = self.lock();
        let purged: Option<LogId<u64>> = read_meta_column(&open.db, "purged")?;
        let last: Option<String> = open
            .db
            .query_row("SELECT entry FROM log ORDER BY at DESC LIMIT 1", [], |r| r.get(0))
            .optional()
            .map_err(|e| from_sqlite_error(&e))?;
        let last = last
            .map(|text| serde_json::from_str::<Entry>(&text))
            .transpose()
            .map_err(|e| from_json_error(&e))?;
        Ok(LogBounds { purged, last: last.map(|e| e.log_id).or(purged) })
    }

    /// Reads the entries from index `from` up to, without, index `to`.
    pub(crate) fn entries(&self, from: u64, to: u64) -> Result<Vec<Entry>, FileError> {
        let open = self.lock();
        let mut rows = open
            .db
            .prepare_cached("SELECT entry FROM log WHERE at >= ?1 AND at < ?2 ORDER BY at")
            .map_err(|e| from_sqlite_error(&e))?;
        let texts = rows
            .query_map([sql_integer(from), sql_integer(to)], |r| r.get::<_, String>(0))
            .map_err(|e| from_sqlite_error(&e))?;
        let read = |text: rusqlite::Result<String>| {
            let text = text.map_err(|e| from_sqlite_error(&e))?;
            serde_json::from_str(&text).map_err(|e| from_json_error(&e))
        };
        texts.map(read).collect()
    }

    /// Stores entries in one synced write; entries at the same indexes are replaced.
    pub(crate) fn append(&self, entries: &[Entry]) -> Result<(), FileError> {
        self.write(|tx| {
            for entry in entries {
                let text = serde_json::to_string(entry).map_err(|e| from_json_error(&e))?;
                tx.prepare_cached("INSERT OR REPLACE INTO log (at, entry) VALUES (?1, ?2)")
                    .and_then(|mut s| s.execute(params![sql_integer(entry.log_id.index), text]))
                    .map_err(|e| from_sqlite_error(&e))?;
            }
            Ok(())
        })
    }

    /// Deletes the entry at this index and all after it.
    pub(crate) fn truncate(&self, from: u64) -> Result<(), FileError> {
        self.write(|tx| {
            tx.execute("DELETE FROM log WHERE at >= ?1", [sql_integer(from)])
                .map(drop)
                .map_err(|e| from_sqlite_error(&e))
        })
    }

    /// Deletes the entry with this id and all before it, and records it as the last purged one.
    pub(crate) fn purge(&self, to: &LogId<u64>) -> Result<(), FileError> {
        self.write(|tx| {
            write_meta_column(tx, "purged", &serde_json::to_string(to).map_err(|e| from_json_error(&e))?)?;
            tx.execute("DELETE FROM log WHERE at <= ?1", [sql_integer(to.index)])
                .map(drop)
                .map_err(|e| from_sqlite_error(&e))
        })
    }

    /// The stored snapshot, if there is one.
    pub(crate) fn snapshot(&self) -> Result<Option<StoredSnapshot>, FileError> {
        let open = self.lock();
        let row: Option<(String, String)> = open
            .db
            .query_row("SELECT meta, whole FROM snapshot WHERE id = 1", [], |r| Ok((r.get(0)?, r.get(1)?)))
            .optional()
            .map_err(|e| from_sqlite_error(&e))?;
        row.map(|(meta, state)| {
            Ok((serde_json::from_str(&meta).map_err(|e| from_json_error(&e))?, state.into_bytes()))
        })
        .transpose()
    }

    /// Replaces the stored snapshot.
    pub(crate) fn set_snapshot(
        &self,
        meta: &SnapshotMeta<u64, Member>,
        state: &[u8],
    ) -> Result<(), FileError> {
        let meta = serde_json::to_string(meta).map_err(|e| from_json_error(&e))?;
        let state = std::str::from_utf8(state).map_err(|e| FileError::Corrupt(e.to_string()))?;
        self.write(|tx| insert_snapshot(tx, &meta, state))
    }

    /// Recovers the group after the permanent loss of its majority: makes this member the only voter, with
    /// all entries of its log, including those not known to be committed. Epochs jump above all that the lost
    /// members may have given out, and the generation is raised, so that messages of the lost members are
    /// rejected.
    ///
    /// # Errors
    /// When the file has no identity, this agent is no member of the stored membership, or the file can't be
    /// written.
    pub fn recover(&self, by: &str, at_ms: u64) -> Result<Identity, FileError> {
        let Some(identity) = self.identity()? else {
            return Err(FileError::Unusable(
                "the file belongs to no member: there is nothing to recover".into(),
            ));
        };
        let mut state = AgreedState::default();
        let mut membership = StoredMembership::<u64, Member>::default();
        let mut last = None;
        if let Some((meta, text)) = self.snapshot()? {
            state = serde_json::from_slice(&text).map_err(|e| from_json_error(&e))?;
            (membership, last) = (meta.last_membership, meta.last_log_id);
        }
        let from = last.map_or(0, |l: LogId<u64>| l.index + 1);
        for entry in self.entries(from, u64::MAX >> 1)? {
            last = Some(entry.log_id);
            match entry.payload {
                openraft::EntryPayload::Normal(request) => drop(state.apply(&request)),
                openraft::EntryPayload::Membership(m) => membership = StoredMembership::new(last, m),
                openraft::EntryPayload::Blank => {}
            }
        }
        let me = membership.nodes().find(|(id, _)| **id == identity.id).map(|(_, node)| node.clone());
        let Some(me) = me else {
            return Err(FileError::Unusable("this agent is no member of the stored membership".into()));
        };
        let recover = frostvale_owner::Command::Recover { by: by.to_string(), at_ms };
        if let frostvale_owner::Outcome::Refused(why) = state.owner.apply(&recover) {
            return Err(FileError::Unusable(why.to_string()));
        }
        let voters = std::collections::BTreeSet::from([identity.id]);
        let nodes = std::collections::BTreeMap::from([(identity.id, me)]);
        let membership = StoredMembership::new(last, openraft::Membership::new(vec![voters], nodes));
        let meta =
            SnapshotMeta { last_log_id: last, last_membership: membership, snapshot_id: "recovered".into() };
        let meta = serde_json::to_string(&meta).map_err(|e| from_json_error(&e))?;
        let text = serde_json::to_string(&state).map_err(|e| from_json_error(&e))?;
        let purged = serde_json::to_string(&last).map_err(|e| from_json_error(&e))?;
        let generation = identity.generation + 1;
        self.write(|tx| {
            insert_snapshot(tx, &meta, &text)?;
            write_meta_column(tx, "purged", &purged)?;
            tx.execute("DELETE FROM log", []).map_err(|e| from_sqlite_error(&e))?;
            tx.execute(
                "UPDATE meta SET committed = NULL, generation = ?1 WHERE id = 1",
                [sql_integer(generation)],
            )
            .map(drop)
            .map_err(|e| from_sqlite_error(&e))
        })?;
        Ok(Identity { generation, ..identity })
    }

    /// The size of the database and its write-ahead log, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let mut wal = self.path.as_os_str().to_os_string();
        wal.push("-wal");
        [self.path.clone(), wal.into()].iter().filter_map(|p| fs::metadata(p).ok()).map(|m| m.len()).sum()
    }

    /// Limits the database to this many pages, so that drills and tests can simulate a full disk.
    ///
    /// # Errors
    /// When SQLite refuses the limit.
    pub fn limit_pages(&self, pages: u32) -> Result<(), FileError> {
        self.lock().db.pragma_update(None, "max_page_count", pages).map_err(|e| from_sqlite_error(&e))
    }
}

/// SQLite's integers are signed: larger values are capped.
fn sql_integer(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

/// Reads a JSON column of the `meta` row.
fn read_meta_column<T: serde::de::DeserializeOwned>(
    db: &Connection,
    column: &str,
) -> Result<Option<T>, FileError> {
    let sql = format!("SELECT {column} FROM meta WHERE id = 1");
    let text: Option<String> = db.query_row(&sql, [], |r| r.get(0)).map_err(|e| from_sqlite_error(&e))?;
    text.map(|t| serde_json::from_str(&t)).transpose().map_err(|e| from_json_error(&e))
}

/// Writes a JSON column of the `meta` row.
fn write_meta_column(tx: &Transaction<'_>, column: &str, text: &str) -> Result<(), FileError> {
    let sql = format!("UPDATE meta SET {column} = ?1 WHERE id = 1");
    tx.execute(&sql, [text]).map(drop).map_err(|e| from_sqlite_error(&e))
}

/// Replaces the snapshot row.
fn insert_snapshot(tx: &Transaction<'_>, meta: &str, state: &str) -> Result<(), FileError> {
    let sql = "INSERT OR REPLACE INTO snapshot (id, meta, whole) VALUES (1, ?1, ?2)";
    tx.execute(sql, [meta, state]).map(drop).map_err(|e| from_sqlite_error(&e))
}
