//! The SQLite backend: one file, no set-up. A dedicated thread owns the connection; changes are durable
//! before they are acknowledged (WAL, synchronous=FULL).

use crate::error::Error;
use crate::ops::{self, Op, Reply, Row, Tx, Value};
use crate::{Backend, sql};
use async_trait::async_trait;
use futures::FutureExt;
use rusqlite::types::ValueRef;
use rusqlite::{Connection, ErrorCode, OpenFlags, params_from_iter};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// How long a statement waits for a lock that another process holds.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of jobs that wait for the thread.
const MAX_QUEUED_JOBS: usize = 256;

/// Work for the thread that owns the connection.
type Job = Box<dyn FnOnce(&mut Connection) + Send>;

/// A record in an SQLite file.
pub struct Sqlite {
    jobs: mpsc::SyncSender<Job>,
    changes: watch::Sender<u64>,
    path: PathBuf,
}

/// Translates an error of SQLite to an error of the record.
pub(crate) fn translate_error(e: &rusqlite::Error) -> Error {
    let text = e.to_string();
    let rusqlite::Error::SqliteFailure(failure, _) = e else { return Error::Corrupt(text) };
    match failure.code {
        ErrorCode::DiskFull => Error::Full(text),
        ErrorCode::ReadOnly | ErrorCode::PermissionDenied => Error::ReadOnly(text),
        ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked => Error::Locked(text),
        ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase => Error::Corrupt(text),
        ErrorCode::CannotOpen => Error::Unusable(text),
        _ => Error::Unavailable(text),
    }
}

/// An open transaction: statements on the only connection, between `BEGIN` and `COMMIT` or `ROLLBACK`.
struct OpenTransaction<'a>(&'a mut Connection);

impl OpenTransaction<'_> {
    /// Runs a statement and reads all of its rows.
    fn rows(&mut self, text: &str, args: Vec<Value>) -> rusqlite::Result<Vec<Row>> {
        let mut statement = self.0.prepare_cached(&sql::for_sqlite(text))?;
        let columns = statement.column_count();
        let mut rows = statement.query(params_from_iter(args.iter().map(bound)))?;
        let mut out = Vec::new();
        while let Some(row) = rows.next()? {
            let mut values = Vec::with_capacity(columns);
            for k in 0..columns {
                values.push(match row.get_ref(k)? {
                    ValueRef::Integer(n) => Value::Int(n),
                    ValueRef::Text(text) => Value::Text(String::from_utf8_lossy(text).into_owned()),
                    other => Value::Text(format!("{other:?}")),
                });
            }
            out.push(Row(values));
        }
        Ok(out)
    }
}

/// A parameter as rusqlite binds it.
fn bound(value: &Value) -> rusqlite::types::Value {
    match value {
        Value::Int(n) => rusqlite::types::Value::Integer(*n),
        Value::Text(text) => rusqlite::types::Value::Text(text.clone()),
    }
}

impl Tx for OpenTransaction<'_> {
    async fn query(&mut self, sql: &'static str, args: Vec<Value>) -> Result<Vec<Row>, Error> {
        self.rows(sql, args).map_err(|e| translate_error(&e))
    }

    async fn execute(&mut self, sql: &'static str, args: Vec<Value>) -> Result<u64, Error> {
        let run = |c: &Connection| {
            c.prepare_cached(&sql::for_sqlite(sql))?.execute(params_from_iter(args.iter().map(bound)))
        };
        run(self.0).map(|n| n as u64).map_err(|e| translate_error(&e))
    }
}

/// Runs `work` between `BEGIN IMMEDIATE` and `COMMIT`; rolls back if either fails.
fn in_transaction<T>(
    c: &mut Connection,
    work: impl FnOnce(&mut Connection) -> Result<T, Error>,
) -> Result<T, Error> {
    c.execute_batch("BEGIN IMMEDIATE").map_err(|e| translate_error(&e))?;
    let done = work(c).and_then(|done| {
        c.execute_batch("COMMIT").map_err(|e| translate_error(&e))?;
        Ok(done)
    });
    if done.is_err() && !c.is_autocommit() {
        // SQLite may have rolled back by itself, in which case this fails; the error carries no information.
        let _ = c.execute_batch("ROLLBACK");
    }
    done
}

fn apply(c: &mut Connection, op: &Op) -> Result<Reply, Error> {
    in_transaction(c, |c| {
        ops::apply(&mut OpenTransaction(c), op)
            .now_or_never()
            .unwrap_or_else(|| Err(Error::Unavailable("the operation did not complete".into())))
    })
}

/// The schema version of the file; 0 if it has no schema yet.
fn version(c: &Connection) -> rusqlite::Result<i64> {
    let has_schema: bool = c.query_row(
        "SELECT COUNT(*) FROM sqlite_master WHERE type = 'table' AND name = 'schema_version'",
        [],
        |r| r.get(0),
    )?;
    if has_schema { c.query_row(sql::VERSION_GET, [], |r| r.get(0)) } else { Ok(0) }
}

fn migrate(c: &mut Connection) -> Result<(i64, i64), Error> {
    let found = version(c).map_err(|e| translate_error(&e))?;
    if found > sql::VERSION {
        return Err(Error::SchemaTooNew { found, known: sql::VERSION });
    }
    if found == sql::VERSION {
        return Ok((found, found));
    }
    in_transaction(c, |c| {
        // Another process may have migrated in the meantime, so the version is read again under the lock.
        let run = |c: &Connection| -> rusqlite::Result<i64> {
            c.execute_batch(&format!("{}; {}", sql::VERSION_TABLE, sql::VERSION_FIRST))?;
            let found = version(c)?;
            for step in sql::MIGRATIONS.iter().skip(usize::try_from(found).unwrap_or(usize::MAX)) {
                for statement in *step {
                    c.execute_batch(&sql::for_sqlite(statement))?;
                }
            }
            if found < sql::VERSION {
                c.execute(&sql::for_sqlite(sql::VERSION_SET), [sql::VERSION])?;
            }
            Ok(found)
        };
        let found = run(c).map_err(|e| translate_error(&e))?;
        if found > sql::VERSION {
            return Err(Error::SchemaTooNew { found, known: sql::VERSION });
        }
        Ok((found, sql::VERSION))
    })
}

/// Opens the connection, sets its modes and runs a quick integrity check.
fn open(path: &Path) -> Result<Connection, Error> {
    let flags =
        OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let c = Connection::open_with_flags(path, flags)
        .map_err(|e| Error::Unusable(format!("record: cannot open {}: {e}", path.display())))?;
    let configure = || -> rusqlite::Result<String> {
        c.busy_timeout(BUSY_TIMEOUT)?;
        c.pragma_update(None, "journal_mode", "WAL")?;
        c.pragma_update(None, "synchronous", "FULL")?;
        c.query_row("PRAGMA quick_check(1)", [], |r| r.get(0))
    };
    match configure() {
        Ok(result) if result == "ok" => Ok(c),
        Ok(result) => Err(Error::Corrupt(result)),
        Err(e) => Err(translate_error(&e)),
    }
}

impl Sqlite {
    /// Opens a file or creates it, and runs a quick integrity check.
    ///
    /// # Errors
    /// The file is damaged, locked by another process, or cannot be opened.
    pub async fn open(path: &Path) -> Result<Sqlite, Error> {
        let (jobs, job_queue) = mpsc::sync_channel::<Job>(MAX_QUEUED_JOBS);
        let (reply_sender, reply) = oneshot::channel();
        let file = path.to_path_buf();
        let thread = std::thread::Builder::new().name("record".into()).spawn(move || match open(&file) {
            Ok(mut connection) => {
                let _ = reply_sender.send(Ok(()));
                while let Ok(job) = job_queue.recv() {
                    job(&mut connection);
                }
            }
            Err(e) => drop(reply_sender.send(Err(e))),
        });
        thread.map_err(|e| Error::Unusable(format!("record: cannot start its thread: {e}")))?;
        reply
            .await
            .unwrap_or_else(|_| Err(Error::Unusable("record: its thread has ended unexpectedly".into())))?;
        Ok(Sqlite { jobs, changes: watch::Sender::new(0), path: path.to_path_buf() })
    }

    /// Runs `work` on the thread that owns the connection.
    ///
    /// # Errors
    /// The errors of `work`; [`Error::Unavailable`] if too many jobs are queued, [`Error::InDoubt`] if the
    /// thread has ended.
    pub async fn with<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut Connection) -> Result<T, Error> + Send + 'static,
    ) -> Result<T, Error> {
        let (reply_sender, reply) = oneshot::channel();
        let job: Job = Box::new(move |c| drop(reply_sender.send(work(c))));
        self.jobs.try_send(job).map_err(|_| Error::Unavailable("too many jobs wait for the disk".into()))?;
        reply.await.unwrap_or_else(|_| Err(Error::InDoubt("its thread has ended unexpectedly".into())))
    }

    /// Limits the size of the file to this many pages, so that tests can simulate a full disk.
    ///
    /// # Errors
    /// The errors of the database.
    pub async fn limit_pages(&self, pages: u32) -> Result<(), Error> {
        self.with(move |c| c.pragma_update(None, "max_page_count", pages).map_err(|e| translate_error(&e)))
            .await
    }
}

#[async_trait]
impl Backend for Sqlite {
    async fn run(&self, op: Op) -> Result<Reply, Error> {
        let notifies = op.notifies_others();
        let done = self.with(move |c| apply(c, &op)).await;
        if notifies && done.is_ok() {
            self.changes.send_modify(|n| *n += 1);
        }
        done
    }

    async fn migrate(&self) -> Result<(i64, i64), Error> {
        self.with(migrate).await
    }

    async fn changed(&self, max_wait: Duration) {
        // Only changes of this process are signalled; those of other processes are found by reading.
        let mut changes = self.changes.subscribe();
        let _ = tokio::time::timeout(max_wait, changes.changed()).await;
    }

    fn kind(&self) -> &'static str {
        "sqlite"
    }

    async fn check(&self) -> Result<String, Error> {
        self.with(|c| {
            let check = || -> rusqlite::Result<(String, i64, i64)> {
                let integrity: String = c.query_row("PRAGMA integrity_check(1)", [], |r| r.get(0))?;
                let ledger = c.query_row(sql::SUM_LEDGER, [], |r| r.get(0))?;
                let totals = c.query_row(sql::SUM_TOTALS, [], |r| r.get(0))?;
                Ok((integrity, ledger, totals))
            };
            let (integrity, ledger, totals) = check().map_err(|e| translate_error(&e))?;
            if integrity != "ok" {
                return Err(Error::Corrupt(integrity));
            }
            if ledger != totals {
                return Err(Error::Corrupt(format!(
                    "the ledger has {ledger} thousandths, the totals have {totals}"
                )));
            }
            Ok(format!("integrity check passed; ledger and totals agree at {ledger} thousandths"))
        })
        .await
    }

    async fn backup(&self, to: &Path) -> Result<(), Error> {
        if to == self.path {
            return Err(Error::Invalid(
                "backup: the target must be another file than the record's own".into(),
            ));
        }
        let to = to.to_path_buf();
        self.with(move |c| {
            let copy = || -> rusqlite::Result<()> {
                let mut target = Connection::open(&to)?;
                let backup = rusqlite::backup::Backup::new(c, &mut target)?;
                backup.run_to_completion(256, Duration::from_millis(1), None)
            };
            copy().map_err(|e| translate_error(&e))
        })
        .await
    }
}
