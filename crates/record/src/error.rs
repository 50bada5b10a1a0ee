//! The errors of the store of record, divided by what the caller has to do about them.

use std::fmt;

/// Why an operation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Another change came first: the revision that is current, who made it and when.
    Conflict {
        /// The plan, shop or override that was to be changed.
        subject: String,
        /// The current revision.
        revision: i64,
        /// Who made that revision.
        by: String,
        /// When it was made, Unix time in ms.
        since_ms: i64,
    },
    /// The request came from a former owner of the duty; nothing was done.
    Fenced {
        /// The duty.
        duty: String,
        /// The epoch of the request.
        epoch: u64,
        /// The highest epoch that the record has seen.
        current_epoch: u64,
        /// The owner with that epoch, as `agent#life`.
        current_owner: String,
    },
    /// The request is invalid; names the field and the values that it accepts.
    Invalid(String),
    /// The database is unreachable or does not answer in time. Nothing was done.
    Unavailable(String),
    /// The connection ended during the commit: the operation took effect or did not.
    InDoubt(String),
    /// The operation collided with a concurrent one. Nothing was done, and it may be retried at once.
    Contended(String),
    /// The schema is newer than this program.
    SchemaTooNew {
        /// The schema version of the database.
        found: i64,
        /// The newest version that this program supports.
        known: i64,
    },
    /// The disk is full. Nothing was done.
    Full(String),
    /// The file or the server does not permit writes.
    ReadOnly(String),
    /// Another process holds a lock on the file.
    Locked(String),
    /// The data is damaged or not what the schema promises.
    Corrupt(String),
    /// The configured location cannot be used.
    Unusable(String),
}

impl Error {
    /// Whether the same operation may succeed later without manual intervention.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Error::Unavailable(_)
                | Error::InDoubt(_)
                | Error::Contended(_)
                | Error::Locked(_)
                | Error::Full(_)
        )
    }

    /// The state of the record in one word, for status reports.
    #[must_use]
    pub fn state(&self) -> &'static str {
        match self {
            Error::Conflict { .. } | Error::Fenced { .. } | Error::Invalid(_) => "sound",
            Error::Unavailable(_) | Error::InDoubt(_) | Error::Contended(_) => "away",
            Error::SchemaTooNew { .. } => "newer",
            Error::Full(_) => "full",
            Error::ReadOnly(_) => "read-only",
            Error::Locked(_) => "locked",
            Error::Corrupt(_) => "corrupt",
            Error::Unusable(_) => "unusable",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { subject, revision, by, since_ms } => write!(
                f,
                "{subject}: conflicting change by {by}: at revision {revision} since {since_ms} ms \
                 (Unix time); nothing was changed; check it and set it again on top of that revision"
            ),
            Error::Fenced { duty, epoch, current_epoch, current_owner } => {
                write!(
                    f,
                    "duty {duty}: refused epoch {epoch}: the current epoch is {current_epoch}, \
                     owned by {current_owner}; nothing was done"
                )
            }
            Error::Invalid(what) => f.write_str(what),
            Error::Unavailable(what) => write!(f, "cannot reach the record: {what}; nothing was done"),
            Error::InDoubt(what) => {
                write!(f, "lost the record's answer: {what}; the change may or may not have been made")
            }
            Error::Contended(what) => write!(f, "collided with another change of the record: {what}"),
            Error::SchemaTooNew { found, known } => write!(
                f,
                "the record's schema has version {found}, this program supports up to {known}: use the \
                 program that made it, or a newer one; nothing was changed"
            ),
            Error::Full(what) => {
                write!(
                    f,
                    "cannot write the record: the disk is full: {what}; nothing was done; free some space"
                )
            }
            Error::ReadOnly(what) => {
                write!(f, "cannot write the record: {what}; give the agent write access")
            }
            Error::Locked(what) => write!(f, "the record is locked by another process: {what}"),
            Error::Corrupt(what) => write!(
                f,
                "the record's file is damaged: {what}; stop the agent and replace the file with a backup"
            ),
            Error::Unusable(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Error {}
