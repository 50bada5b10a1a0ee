//! What can go wrong, by what is to be done about it.

use std::fmt;

/// Why something was not done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Somebody else changed it first: what it is now, whose that is and since when.
    Conflict {
        /// What it was about.
        subject: String,
        /// The revision that stands.
        revision: i64,
        /// Whose it is.
        by: String,
        /// Since when, Unix time in ms.
        since_ms: i64,
    },
    /// It came from a former owner of the duty: nothing was done.
    Fenced {
        /// Which duty.
        duty: String,
        /// The epoch it came under.
        epoch: u64,
        /// The one that stands.
        stands: u64,
        /// Whose that is.
        by: String,
    },
    /// It can't be done as it is asked: the field, and what it may be.
    Invalid(String),
    /// The database can't be reached or does not answer in time. Nothing was done.
    Unavailable(String),
    /// The connection ended while all was being made final: it was done, or it was not.
    InDoubt(String),
    /// Two did something at once; nothing was done, and it may be tried again at once.
    Contended(String),
    /// The schema is newer than this program.
    SchemaTooNew {
        /// The database's version.
        found: i64,
        /// The newest that is known here.
        known: i64,
    },
    /// No room on the disk. Nothing was done.
    Full(String),
    /// The file may not be written.
    ReadOnly(String),
    /// Another process holds the file.
    Locked(String),
    /// The data can't be trusted.
    Corrupt(String),
    /// The place can't be used as it is written down.
    Unusable(String),
}

impl Error {
    /// Whether the same may succeed later with nothing changed by hand.
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

    /// One word for the state that the record is in.
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
                "{subject}: {by} was first: it is at revision {revision} since {since_ms} ms (Unix time); nothing was \
                 changed; look at it and set it again on top of that revision"
            ),
            Error::Fenced { duty, epoch, stands, by } => {
                write!(f, "duty {duty}: epoch {epoch} is refused, {stands} of {by} stands; nothing was done")
            }
            Error::Invalid(what) => f.write_str(what),
            Error::Unavailable(what) => write!(f, "the record can't be reached: {what}; nothing was done"),
            Error::InDoubt(what) => write!(f, "the record's answer was lost ({what}): it was done or not"),
            Error::Contended(what) => write!(f, "the record was busy with another change: {what}"),
            Error::SchemaTooNew { found, known } => write!(
                f,
                "the record's schema has version {found}, this program knows {known}: use the program that made it, \
                 or a newer one; nothing was touched"
            ),
            Error::Full(what) => {
                write!(f, "no room on the record's disk: {what}; nothing was done; make room")
            }
            Error::ReadOnly(what) => {
                write!(f, "the record may not be written: {what}; give the agent write access")
            }
            Error::Locked(what) => write!(f, "another process holds the record: {what}"),
            Error::Corrupt(what) => write!(
                f,
                "the record's file is damaged: {what}; stop the agent and put a backup in its place"
            ),
            Error::Unusable(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Error {}
