//! An agent's own file: who it is in the council, its vote, its log and its snapshot. An SQLite database that is synced
//! before anything is promised, held by one process alone.
//!
//! Beside it stands a small mark that says how many writes the file has seen. It is written after each of them, so it is
//! never ahead of the file, unless somebody put an older copy of the file in its place: such a member must not vote, as it
//! has forgotten what it promised. Other members remember the same number for as long as they run.

use openraft::{LogId, SnapshotMeta, StoredMembership, Vote};
use rusqlite::{Connection, OpenFlags, OptionalExtension, Transaction, params};
use std::fs;
use std::io::{Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::store::{AgreedState, Entry, Member};

/// Who a member is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The fleet.
    pub fleet: String,
    /// Its number, never given out twice.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// How often the council was taken up by one member alone.
    pub generation: u64,
}

/// Why a file can't be used, or a write was not done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// It can't be opened, read or written: what the system says.
    Unusable(String),
    /// Another process holds it.
    Locked,
    /// It is damaged.
    Corrupt(String),
    /// It is older than what this agent has promised.
    Outdated {
        /// Writes that it has seen.
        has: u64,
        /// Writes that are known of.
        known: u64,
    },
    /// It is of another fleet or another agent.
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
                "council.file: it is damaged ({what}); this agent does not vote: move the file away, and have this agent \
                 removed and added anew"
            ),
            FileError::Outdated { has, known } => write!(
                f,
                "council.file: an older copy: it has seen {has} writes, and {known} are known of; it has forgotten what \
                 it promised, so this agent does not vote: move it away, and have this agent removed and added anew"
            ),
            FileError::Foreign(what) => write!(f, "council.file: it is of {what}, not of this agent"),
        }
    }
}

impl std::error::Error for FileError {}

fn meaning(e: &rusqlite::Error) -> FileError {
    use rusqlite::ErrorCode;
    match e.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => FileError::Locked,
        Some(ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase) => FileError::Corrupt(e.to_string()),
        _ => FileError::Unusable(e.to_string()),
    }
}

fn unreadable(e: &serde_json::Error) -> FileError {
    FileError::Corrupt(e.to_string())
}

/// The log as far as it is there.
#[derive(Debug, Clone, Default)]
pub struct LogBounds {
    /// The last entry that was let go.
    pub purged: Option<LogId<u64>>,
    /// The last entry there is or was.
    pub last: Option<LogId<u64>>,
}

/// A snapshot: what it is of, and the whole as JSON.
pub(crate) type StoredSnapshot = (SnapshotMeta<u64, Member>, Vec<u8>);

struct Open {
    db: Connection,
    mark: fs::File,
}

/// The file.
#[derive(Clone)]
pub struct CouncilFile {
    open: Arc<Mutex<Open>>,
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

fn mark_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".mark");
    name.into()
}

fn set_mark(mark: &mut fs::File, writes: u64) -> std::io::Result<()> {
    mark.seek(SeekFrom::Start(0))?;
    mark.write_all(format!("{writes:020}\n").as_bytes())
}

impl CouncilFile {
    /// Opens or makes it; looks whether it is whole and no older than its mark.
    ///
    /// # Errors
    /// When it can't be used; then this agent must not take part.
    pub fn open(path: &Path) -> Result<CouncilFile, FileError> {
        CouncilFile::open_with_mode(path, false)
    }

    /// The same, if so wanted as on a disk that can't be written.
    ///
    /// # Errors
    /// When it can't be used; on such a disk it never can.
    pub fn open_with_mode(path: &Path, read_only: bool) -> Result<CouncilFile, FileError> {
        let at = |what: String| FileError::Unusable(format!("{}: {what}", path.display()));
        let access = match read_only {
            true => OpenFlags::SQLITE_OPEN_READ_ONLY,
            false => OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE,
        };
        let flags = access | OpenFlags::SQLITE_OPEN_NO_MUTEX;
        let db = Connection::open_with_flags(path, flags).map_err(|e| at(e.to_string()))?;
        let ready = || -> rusqlite::Result<String> {
            db.busy_timeout(std::time::Duration::from_millis(200))?;
            db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
            db.pragma_update(None, "journal_mode", "WAL")?;
            db.pragma_update(None, "synchronous", "FULL")?;
            db.execute_batch(SCHEMA)?;
            // Takes the lock, and shows that it can be written.
            db.execute("UPDATE meta SET writes = writes WHERE id = 1", [])?;
            db.query_row("PRAGMA quick_check(1)", [], |r| r.get(0))
        };
        match ready() {
            Ok(said) if said == "ok" => {}
            Ok(said) => return Err(FileError::Corrupt(said)),
            Err(e) => return Err(meaning(&e)),
        }
        let mut mark = fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .mode(0o600)
            .open(mark_path(path))
            .map_err(|e| at(e.to_string()))?;
        let mut text = String::new();
        mark.read_to_string(&mut text).map_err(|e| at(e.to_string()))?;
        // One that is torn says nothing.
        let known: u64 = text.trim().parse().unwrap_or(0);
        let has: u64 = db
            .query_row("SELECT writes FROM meta WHERE id = 1", [], |r| r.get::<_, i64>(0))
            .map_err(|e| meaning(&e))?
            .try_into()
            .unwrap_or(0);
        if known > has {
            return Err(FileError::Outdated { has, known });
        }
        let open = Arc::new(Mutex::new(Open { db, mark }));
        let file = CouncilFile { open, writes: Arc::new(AtomicU64::new(has)), path: path.to_path_buf() };
        file.look_through()?;
        Ok(file)
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The log has to be of one piece, and to begin where the purged part ends.
    fn look_through(&self) -> Result<(), FileError> {
        let open = self.lock();
        let (first, last, count): (Option<i64>, Option<i64>, i64) = open
            .db
            .query_row("SELECT MIN(at), MAX(at), COUNT(*) FROM log", [], |r| {
                Ok((r.get(0)?, r.get(1)?, r.get(2)?))
            })
            .map_err(|e| meaning(&e))?;
        let purged: Option<LogId<u64>> = word(&open.db, "purged")?;
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

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// How many writes it has seen.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Acquire)
    }

    /// Does something in one transaction, which counts as a write.
    fn write<T>(&self, work: impl FnOnce(&Transaction<'_>) -> Result<T, FileError>) -> Result<T, FileError> {
        let mut open = self.lock();
        let Open { db, mark } = &mut *open;
        let tx = db.transaction().map_err(|e| meaning(&e))?;
        let done = work(&tx)?;
        tx.execute("UPDATE meta SET writes = writes + 1 WHERE id = 1", []).map_err(|e| meaning(&e))?;
        tx.commit().map_err(|e| meaning(&e))?;
        let writes = self.writes.fetch_add(1, Ordering::AcqRel) + 1;
        // A mark that can't be written stays behind, which is no harm: it is never ahead.
        let _ = set_mark(mark, writes);
        Ok(done)
    }

    /// Who this is; nobody yet in a new file.
    ///
    /// # Errors
    /// When it can't be read.
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
        row.map_err(|e| meaning(&e))
    }

    /// Makes it somebody's.
    ///
    /// # Errors
    /// When it is another's already, or can't be written.
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
            let args = params![fleet, int(*id), name, int(*generation)];
            tx.execute(
                "UPDATE meta SET fleet = ?1, member = ?2, name = ?3, generation = ?4 WHERE id = 1",
                args,
            )
            .map(drop)
            .map_err(|e| meaning(&e))
        })
    }

    pub(crate) fn vote(&self) -> Result<Option<Vote<u64>>, FileError> {
        word(&self.lock().db, "vote")
    }

    pub(crate) fn set_vote(&self, vote: &Vote<u64>) -> Result<(), FileError> {
        self.write(|tx| set_word(tx, "vote", &serde_json::to_string(vote).map_err(|e| unreadable(&e))?))
    }

    pub(crate) fn committed(&self) -> Result<Option<LogId<u64>>, FileError> {
        Ok(word::<Option<LogId<u64>>>(&self.lock().db, "committed")?.flatten())
    }

    /// Only saves work at a start: it is not synced, nor counted.
    pub(crate) fn set_committed(&self, committed: Option<LogId<u64>>) -> Result<(), FileError> {
        let text = serde_json::to_string(&committed).map_err(|e| unreadable(&e))?;
        let open = self.lock();
        let _ = open.db.pragma_update(None, "synchronous", "OFF");
        let done = open.db.execute("UPDATE meta SET committed = ?1 WHERE id = 1", [text]);
        let synced = open.db.pragma_update(None, "synchronous", "FULL");
        done.and(synced).map_err(|e| meaning(&e))
    }

    pub(crate) fn log_bounds(&self) -> Result<LogBounds, FileError> {
        let open = self.lock();
        let purged: Option<LogId<u64>> = word(&open.db, "purged")?;
        let last: Option<String> = open
            .db
            .query_row("SELECT entry FROM log ORDER BY at DESC LIMIT 1", [], |r| r.get(0))
            .optional()
            .map_err(|e| meaning(&e))?;
        let last =
            last.map(|text| serde_json::from_str::<Entry>(&text)).transpose().map_err(|e| unreadable(&e))?;
        Ok(LogBounds { purged, last: last.map(|e| e.log_id).or(purged) })
    }

    pub(crate) fn entries(&self, from: u64, to: u64) -> Result<Vec<Entry>, FileError> {
        let open = self.lock();
        let mut rows = open
            .db
            .prepare_cached("SELECT entry FROM log WHERE at >= ?1 AND at < ?2 ORDER BY at")
            .map_err(|e| meaning(&e))?;
        let texts =
            rows.query_map([int(from), int(to)], |r| r.get::<_, String>(0)).map_err(|e| meaning(&e))?;
        let read = |text: rusqlite::Result<String>| {
            let text = text.map_err(|e| meaning(&e))?;
            serde_json::from_str(&text).map_err(|e| unreadable(&e))
        };
        texts.map(read).collect()
    }

    pub(crate) fn append(&self, entries: &[Entry]) -> Result<(), FileError> {
        self.write(|tx| {
            for entry in entries {
                let text = serde_json::to_string(entry).map_err(|e| unreadable(&e))?;
                tx.prepare_cached("INSERT OR REPLACE INTO log (at, entry) VALUES (?1, ?2)")
                    .and_then(|mut s| s.execute(params![int(entry.log_id.index), text]))
                    .map_err(|e| meaning(&e))?;
            }
            Ok(())
        })
    }

    /// Lets go of this entry and those after it.
    pub(crate) fn truncate(&self, from: u64) -> Result<(), FileError> {
        self.write(|tx| {
            tx.execute("DELETE FROM log WHERE at >= ?1", [int(from)]).map(drop).map_err(|e| meaning(&e))
        })
    }

    /// Lets go of this entry and those before it.
    pub(crate) fn purge(&self, to: &LogId<u64>) -> Result<(), FileError> {
        self.write(|tx| {
            set_word(tx, "purged", &serde_json::to_string(to).map_err(|e| unreadable(&e))?)?;
            tx.execute("DELETE FROM log WHERE at <= ?1", [int(to.index)]).map(drop).map_err(|e| meaning(&e))
        })
    }

    pub(crate) fn snapshot(&self) -> Result<Option<StoredSnapshot>, FileError> {
        let open = self.lock();
        let row: Option<(String, String)> = open
            .db
            .query_row("SELECT meta, whole FROM snapshot WHERE id = 1", [], |r| Ok((r.get(0)?, r.get(1)?)))
            .optional()
            .map_err(|e| meaning(&e))?;
        row.map(|(meta, whole)| {
            Ok((serde_json::from_str(&meta).map_err(|e| unreadable(&e))?, whole.into_bytes()))
        })
        .transpose()
    }

    pub(crate) fn set_snapshot(
        &self,
        meta: &SnapshotMeta<u64, Member>,
        whole: &[u8],
    ) -> Result<(), FileError> {
        let meta = serde_json::to_string(meta).map_err(|e| unreadable(&e))?;
        let whole = std::str::from_utf8(whole).map_err(|e| FileError::Corrupt(e.to_string()))?;
        self.write(|tx| put_snapshot(tx, &meta, whole))
    }

    /// The majority is gone for good: this member goes on alone, from all that it has, entries that nobody knows to be
    /// agreed on too. Epochs jump above all that others may have given out.
    ///
    /// # Errors
    /// When the file is nobody's yet, or can't be written.
    pub fn recover(&self, by: &str, at_ms: u64) -> Result<Identity, FileError> {
        let Some(identity) = self.identity()? else {
            return Err(FileError::Unusable("it is of no member: there is nothing to go on from".into()));
        };
        let mut whole = AgreedState::default();
        let mut membership = StoredMembership::<u64, Member>::default();
        let mut last = None;
        if let Some((meta, text)) = self.snapshot()? {
            whole = serde_json::from_slice(&text).map_err(|e| unreadable(&e))?;
            (membership, last) = (meta.last_membership, meta.last_log_id);
        }
        let from = last.map_or(0, |l: LogId<u64>| l.index + 1);
        for entry in self.entries(from, u64::MAX >> 1)? {
            last = Some(entry.log_id);
            match entry.payload {
                openraft::EntryPayload::Normal(request) => drop(whole.apply(&request)),
                openraft::EntryPayload::Membership(m) => membership = StoredMembership::new(last, m),
                openraft::EntryPayload::Blank => {}
            }
        }
        let me = membership.nodes().find(|(id, _)| **id == identity.id).map(|(_, node)| node.clone());
        let Some(me) = me else {
            return Err(FileError::Unusable("this agent is no member of the council it knows".into()));
        };
        let recover = frostvale_owner::Command::Recover { by: by.to_string(), at_ms };
        if let frostvale_owner::Outcome::Refused(why) = whole.owner.apply(&recover) {
            return Err(FileError::Unusable(why.to_string()));
        }
        let voters = std::collections::BTreeSet::from([identity.id]);
        let nodes = std::collections::BTreeMap::from([(identity.id, me)]);
        let membership = StoredMembership::new(last, openraft::Membership::new(vec![voters], nodes));
        let meta =
            SnapshotMeta { last_log_id: last, last_membership: membership, snapshot_id: "recovered".into() };
        let meta = serde_json::to_string(&meta).map_err(|e| unreadable(&e))?;
        let text = serde_json::to_string(&whole).map_err(|e| unreadable(&e))?;
        let purged = serde_json::to_string(&last).map_err(|e| unreadable(&e))?;
        let generation = identity.generation + 1;
        self.write(|tx| {
            put_snapshot(tx, &meta, &text)?;
            set_word(tx, "purged", &purged)?;
            tx.execute("DELETE FROM log", []).map_err(|e| meaning(&e))?;
            tx.execute("UPDATE meta SET committed = NULL, generation = ?1 WHERE id = 1", [int(generation)])
                .map(drop)
                .map_err(|e| meaning(&e))
        })?;
        Ok(Identity { generation, ..identity })
    }

    /// Its size, with what has not been folded in yet, in bytes.
    #[must_use]
    pub fn size(&self) -> u64 {
        let mut wal = self.path.as_os_str().to_os_string();
        wal.push("-wal");
        [self.path.clone(), wal.into()].iter().filter_map(|p| fs::metadata(p).ok()).map(|m| m.len()).sum()
    }

    /// Lets it grow to so many pages, so that a full disk can be tried.
    ///
    /// # Errors
    /// As the database says.
    pub fn limit_pages(&self, pages: u32) -> Result<(), FileError> {
        self.lock().db.pragma_update(None, "max_page_count", pages).map_err(|e| meaning(&e))
    }
}

fn int(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

fn word<T: serde::de::DeserializeOwned>(db: &Connection, column: &str) -> Result<Option<T>, FileError> {
    let sql = format!("SELECT {column} FROM meta WHERE id = 1");
    let text: Option<String> = db.query_row(&sql, [], |r| r.get(0)).map_err(|e| meaning(&e))?;
    text.map(|t| serde_json::from_str(&t)).transpose().map_err(|e| unreadable(&e))
}

fn set_word(tx: &Transaction<'_>, column: &str, text: &str) -> Result<(), FileError> {
    let sql = format!("UPDATE meta SET {column} = ?1 WHERE id = 1");
    tx.execute(&sql, [text]).map(drop).map_err(|e| meaning(&e))
}

fn put_snapshot(tx: &Transaction<'_>, meta: &str, whole: &str) -> Result<(), FileError> {
    let sql = "INSERT OR REPLACE INTO snapshot (id, meta, whole) VALUES (1, ?1, ?2)";
    tx.execute(sql, [meta, whole]).map(drop).map_err(|e| meaning(&e))
}
