//! The store of record: the data that has to survive a restart.
//!
//! # Why
//!
//! Plans, overrides and use were kept in the memory of gatekeepers only. A restart gave every shop a full
//! token bucket and lost what billing needs. Agents therefore keep this data in a database: SQLite for one
//! host, PostgreSQL for a fleet. While that database is slow, unreachable or wrong, the gatekeepers continue
//! with the last data that they received.
//!
//! - [`model`]: the stored records. Units are whole thousandths, times are UTC milliseconds; there are no
//!   floats.
//! - [`ops`]: the operations, written once for both databases; each runs in one transaction.
//! - [`fleet`]: work on behalf of the fleet, guarded by the fence of the duty's owner.
//! - [`sqlite`], [`postgres`]: the two backends.
//! - [`upload`], [`restore`]: decisions without I/O: when to upload spooled use, and which token levels a
//!   restarted gatekeeper may be given.
//! - [`spool`]: use that waits for the database, in a bounded local file.

pub mod error;
pub mod fleet;
pub mod model;
pub mod ops;
pub mod postgres;
mod publish;
pub mod restore;
pub mod spool;
pub mod sql;
pub mod sqlite;
pub mod upload;

pub use error::Error;
pub use fleet::FleetWork;
pub use ops::{Op, Reply};

use async_trait::async_trait;
use std::sync::Arc;

/// A database that holds the record.
#[async_trait]
pub trait Backend: Send + Sync {
    /// Runs one operation in one transaction, entirely or not at all. It is safe to run the operation again
    /// after [`Error::InDoubt`].
    async fn run(&self, op: Op) -> Result<Reply, Error>;
    /// Migrates the schema to the newest version; returns the version found and the version it has now.
    async fn migrate(&self) -> Result<(i64, i64), Error>;
    /// Waits until anyone changes the record, or for `max_wait`. Notifications may be missed, so the caller
    /// has to read the record in either case.
    async fn changed(&self, max_wait: std::time::Duration);
    /// `sqlite` or `postgres`.
    fn kind(&self) -> &'static str;
    /// Checks the integrity of the data, as far as the database can tell, and describes the result.
    async fn check(&self) -> Result<String, Error>;
    /// Copies the whole record to a file while it is in use.
    async fn backup(&self, to: &std::path::Path) -> Result<(), Error>;
}

/// Where the record is and how to connect to it: the settings under `record.`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordLocation {
    /// `sqlite:PATH` or `postgres://USER@HOST:PORT/DATABASE`.
    pub url: String,
    /// A file with the password, for PostgreSQL.
    pub password_file: Option<std::path::PathBuf>,
    /// A PEM file with the authority that signs the server's certificate; required unless the server is on
    /// loopback.
    pub ca: Option<std::path::PathBuf>,
    /// The time limit for opening a connection; 10 ms to 600 s.
    pub connect_timeout: std::time::Duration,
    /// The time limit for a statement; 10 ms to 600 s.
    pub statement_timeout: std::time::Duration,
    /// The size of the connection pool, for PostgreSQL; 1 to 100.
    pub connections: usize,
}

impl RecordLocation {
    /// A location with the default limits.
    #[must_use]
    pub fn new(url: &str) -> RecordLocation {
        RecordLocation {
            url: url.to_string(),
            password_file: None,
            ca: None,
            connect_timeout: std::time::Duration::from_secs(2),
            statement_timeout: std::time::Duration::from_secs(5),
            connections: 4,
        }
    }

    /// Validates the settings without opening anything.
    ///
    /// # Errors
    /// Names the field and the values that it accepts.
    pub fn check(&self) -> Result<(), String> {
        if let Some(path) = self.url.strip_prefix("sqlite:") {
            return if path.is_empty() {
                Err("record.url: sqlite: must be followed by a path".into())
            } else {
                Ok(())
            };
        }
        postgres::config(self).map(drop)
    }

    /// Opens the record. A PostgreSQL server need not be reachable yet.
    ///
    /// # Errors
    /// The settings are invalid, or the SQLite file cannot be opened.
    pub async fn open(&self) -> Result<Arc<dyn Backend>, Error> {
        match self.url.strip_prefix("sqlite:") {
            Some(path) => Ok(Arc::new(sqlite::Sqlite::open(std::path::Path::new(path)).await?)),
            None => Ok(Arc::new(postgres::Postgres::new(self).map_err(Error::Unusable)?)),
        }
    }
}
