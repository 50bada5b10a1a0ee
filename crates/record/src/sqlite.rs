//! SQLite: one file, no set-up. A thread of its own has the connection; what it does is made durable before it is
//! answered (WAL, synchronous=FULL).

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

/// How long another process may hold the file.
const BUSY: Duration = Duration::from_secs(2);
/// Jobs that wait for the thread.
const JOBS: usize = 256;

type Job = Box<dyn FnOnce(&mut Connection) + Send>;

/// A record in a file.
pub struct Sqlite {
    jobs: mpsc::SyncSender<Job>,
    changes: watch::Sender<u64>,
    path: PathBuf,
}

/// What an error of SQLite's means here.
pub(crate) fn meaning(e: &rusqlite::Error) -> Error {
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

/// A transaction: statements on the one connection, between `BEGIN` and its end.
struct Open<'a>(&'a mut Connection);

impl Open<'_> {
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

fn bound(value: &Value) -> rusqlite::types::Value {
    match value {
        Value::Int(n) => rusqlite::types::Value::Integer(*n),
        Value::Text(text) => rusqlite::types::Value::Text(text.clone()),
    }
}

impl Tx for Open<'_> {
    async fn query(&mut self, sql: &'static str, args: Vec<Value>) -> Result<Vec<Row>, Error> {
        self.rows(sql, args).map_err(|e| meaning(&e))
    }

    async fn execute(&mut self, sql: &'static str, args: Vec<Value>) -> Result<u64, Error> {
        let run = |c: &Connection| {
            c.prepare_cached(&sql::for_sqlite(sql))?.execute(params_from_iter(args.iter().map(bound)))
        };
        run(self.0).map(|n| n as u64).map_err(|e| meaning(&e))
    }
}

/// Runs something between `BEGIN IMMEDIATE` and `COMMIT`, or gives all of it up.
fn in_transaction<T>(
    c: &mut Connection,
    work: impl FnOnce(&mut Connection) -> Result<T, Error>,
) -> Result<T, Error> {
    c.execute_batch("BEGIN IMMEDIATE").map_err(|e| meaning(&e))?;
    let done = work(c).and_then(|done| {
        c.execute_batch("COMMIT").map_err(|e| meaning(&e))?;
        Ok(done)
    });
    if done.is_err() && !c.is_autocommit() {
        // Also where SQLite has given it up by itself; it says so then, which is no news.
        let _ = c.execute_batch("ROLLBACK");
    }
    done
}

fn apply(c: &mut Connection, op: &Op) -> Result<Reply, Error> {
    in_transaction(c, |c| {
        ops::apply(&mut Open(c), op)
            .now_or_never()
            .unwrap_or_else(|| Err(Error::Unavailable("it did not end".into())))
    })
}

fn version(c: &Connection) -> rusqlite::Result<i64> {
    let there: bool = c.query_row(
        "SELECT COUNT(*) FROM sqlite_master WHERE type = 'table' AND name = 'schema_version'",
        [],
        |r| r.get(0),
    )?;
    if there { c.query_row(sql::VERSION_GET, [], |r| r.get(0)) } else { Ok(0) }
}

fn migrate(c: &mut Connection) -> Result<(i64, i64), Error> {
    let found = version(c).map_err(|e| meaning(&e))?;
    if found > sql::VERSION {
        return Err(Error::SchemaTooNew { found, known: sql::VERSION });
    }
    if found == sql::VERSION {
        return Ok((found, found));
    }
    in_transaction(c, |c| {
        // Another process may have been faster.
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
        let found = run(c).map_err(|e| meaning(&e))?;
        if found > sql::VERSION {
            return Err(Error::SchemaTooNew { found, known: sql::VERSION });
        }
        Ok((found, sql::VERSION))
    })
}

fn open(path: &Path) -> Result<Connection, Error> {
    let flags =
        OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let c = Connection::open_with_flags(path, flags)
        .map_err(|e| Error::Unusable(format!("record: cannot open {}: {e}", path.display())))?;
    let ready = || -> rusqlite::Result<String> {
        c.busy_timeout(BUSY)?;
        c.pragma_update(None, "journal_mode", "WAL")?;
        c.pragma_update(None, "synchronous", "FULL")?;
        c.query_row("PRAGMA quick_check(1)", [], |r| r.get(0))
    };
    match ready() {
        Ok(said) if said == "ok" => Ok(c),
        Ok(said) => Err(Error::Corrupt(said)),
        Err(e) => Err(meaning(&e)),
    }
}

impl Sqlite {
    /// Opens a file, or makes it; looks whether it is whole.
    ///
    /// # Errors
    /// When it is damaged, held by another process, or can't be opened.
    pub async fn open(path: &Path) -> Result<Sqlite, Error> {
        let (jobs, taken) = mpsc::sync_channel::<Job>(JOBS);
        let (tell, told) = oneshot::channel();
        let at = path.to_path_buf();
        let thread = std::thread::Builder::new().name("record".into()).spawn(move || match open(&at) {
            Ok(mut connection) => {
                let _ = tell.send(Ok(()));
                while let Ok(job) = taken.recv() {
                    job(&mut connection);
                }
            }
            Err(e) => drop(tell.send(Err(e))),
        });
        thread.map_err(|e| Error::Unusable(format!("record: no thread for it: {e}")))?;
        told.await.unwrap_or_else(|_| Err(Error::Unusable("record: its thread has ended".into())))?;
        Ok(Sqlite { jobs, changes: watch::Sender::new(0), path: path.to_path_buf() })
    }

    /// Has the thread do something.
    ///
    /// # Errors
    /// As that does; or when too much waits for it.
    pub async fn with<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut Connection) -> Result<T, Error> + Send + 'static,
    ) -> Result<T, Error> {
        let (tell, told) = oneshot::channel();
        let job: Job = Box::new(move |c| drop(tell.send(work(c))));
        self.jobs.try_send(job).map_err(|_| Error::Unavailable("too much waits for the disk".into()))?;
        told.await.unwrap_or_else(|_| Err(Error::InDoubt("its thread has ended".into())))
    }

    /// Lets the file grow to so many pages, so that a full disk can be tried.
    ///
    /// # Errors
    /// As the database says.
    pub async fn limit_pages(&self, pages: u32) -> Result<(), Error> {
        self.with(move |c| c.pragma_update(None, "max_page_count", pages).map_err(|e| meaning(&e))).await
    }
}

#[async_trait]
impl Backend for Sqlite {
    async fn run(&self, op: Op) -> Result<Reply, Error> {
        let tells = op.notifies_others();
        let done = self.with(move |c| apply(c, &op)).await;
        if tells && done.is_ok() {
            self.changes.send_modify(|n| *n += 1);
        }
        done
    }

    async fn migrate(&self) -> Result<(i64, i64), Error> {
        self.with(migrate).await
    }

    async fn changed(&self, most: Duration) {
        // Those of this process; others' are found by looking.
        let mut changes = self.changes.subscribe();
        let _ = tokio::time::timeout(most, changes.changed()).await;
    }

    fn kind(&self) -> &'static str {
        "sqlite"
    }

    async fn check(&self) -> Result<String, Error> {
        self.with(|c| {
            let check = || -> rusqlite::Result<(String, i64, i64)> {
                let said: String = c.query_row("PRAGMA integrity_check(1)", [], |r| r.get(0))?;
                let ledger = c.query_row(sql::SUM_LEDGER, [], |r| r.get(0))?;
                let totals = c.query_row(sql::SUM_TOTALS, [], |r| r.get(0))?;
                Ok((said, ledger, totals))
            };
            let (said, ledger, totals) = check().map_err(|e| meaning(&e))?;
            if said != "ok" {
                return Err(Error::Corrupt(said));
            }
            if ledger != totals {
                return Err(Error::Corrupt(format!(
                    "the ledger has {ledger} thousandths, the totals {totals}"
                )));
            }
            Ok(format!("whole; ledger and totals agree at {ledger} thousandths"))
        })
        .await
    }

    async fn backup(&self, to: &Path) -> Result<(), Error> {
        if to == self.path {
            return Err(Error::Invalid("a backup goes to another file than the record's own".into()));
        }
        let to = to.to_path_buf();
        self.with(move |c| {
            let copy = || -> rusqlite::Result<()> {
                let mut target = Connection::open(&to)?;
                let backup = rusqlite::backup::Backup::new(c, &mut target)?;
                backup.run_to_completion(256, Duration::from_millis(1), None)
            };
            copy().map_err(|e| meaning(&e))
        })
        .await
    }
}
