//! The store of record: what a restart must not forget.
//!
//! # Why
//!
//! Plans, overrides and use lived in gatekeepers alone. A restart gave every shop a full store and forgot what billing
//! needs. So agents keep them in a database, SQLite for one host or PostgreSQL for a fleet, and the gatekeepers go on
//! with what they last knew whenever that database is slow, gone, or wrong.
//!
//! - [`model`]: what is kept. Units are whole thousandths, times UTC milliseconds; nothing is a float.
//! - [`ops`]: what can be done, once for both databases, each in one transaction.
//! - [`fleet`]: work on behalf of the fleet, behind the fence of its owner.
//! - [`sqlite`], [`postgres`]: the two of them.
//! - [`upload`], [`restore`]: decisions without input or output: when to send what is spooled, and what a gatekeeper
//!   that comes back may be given.
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

/// A database that the record is kept in.
#[async_trait]
pub trait Backend: Send + Sync {
    /// Does one thing in one transaction: all of it or nothing. Safe to do again after [`Error::InDoubt`].
    async fn run(&self, op: Op) -> Result<Reply, Error>;
    /// Brings the schema to the newest version; gives the version found and the version it is at now.
    async fn migrate(&self) -> Result<(i64, i64), Error>;
    /// Waits for a change by anyone, or for so long. Changes may be missed: who waits looks anyway.
    async fn changed(&self, most: std::time::Duration);
    /// `sqlite` or `postgres`.
    fn kind(&self) -> &'static str;
    /// Whether the data is whole, as far as the database can tell.
    async fn check(&self) -> Result<String, Error>;
    /// Copies all of it to a file while it is in use.
    async fn backup(&self, to: &std::path::Path) -> Result<(), Error>;
}

/// Where the record is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordLocation {
    /// `sqlite:PATH` or `postgres://USER@HOST:PORT/DATABASE`.
    pub url: String,
    /// A file with the password, for PostgreSQL.
    pub password_file: Option<std::path::PathBuf>,
    /// A PEM file with who signs the server's certificate; wanted off loopback.
    pub ca: Option<std::path::PathBuf>,
    /// How long a connection may take to come up.
    pub connect_timeout: std::time::Duration,
    /// How long a statement may take.
    pub statement_timeout: std::time::Duration,
    /// Connections at once, for PostgreSQL.
    pub connections: usize,
}

impl RecordLocation {
    /// With the usual limits.
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

    /// Whether it can be used; nothing is opened.
    ///
    /// # Errors
    /// With the field and what it may be.
    pub fn check(&self) -> Result<(), String> {
        if let Some(path) = self.url.strip_prefix("sqlite:") {
            return if path.is_empty() { Err("record.url: sqlite: wants a path".into()) } else { Ok(()) };
        }
        postgres::config(self).map(drop)
    }

    /// Opens it. A PostgreSQL need not be there yet.
    ///
    /// # Errors
    /// When the place can't be used, or an SQLite file can't be opened.
    pub async fn open(&self) -> Result<Arc<dyn Backend>, Error> {
        match self.url.strip_prefix("sqlite:") {
            Some(path) => Ok(Arc::new(sqlite::Sqlite::open(std::path::Path::new(path)).await?)),
            None => Ok(Arc::new(postgres::Postgres::new(self).map_err(Error::Unusable)?)),
        }
    }
}
