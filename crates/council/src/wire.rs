//! What goes between members. What is of another fleet, another version, too long or for another member is refused and
//! counted before anything is done with it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of what is said here.
pub const VERSION: u32 = 1;
/// The longest body, in bytes: a whole state and some.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// What a message is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// Who are you, and what have you heard of me?
    Hello,
    /// A follower asks for a number.
    Join,
    /// A new voter is given its number.
    Invite,
    /// Raft: log entries.
    Append,
    /// Raft: a vote.
    Vote,
    /// Raft: a part of a snapshot.
    Snapshot,
    /// A proposal, to the leader.
    Propose,
    /// How far the log goes now, to the leader.
    Read,
    /// A change of members, to the leader.
    Admin,
}

/// All kinds, by their numbers on the wire.
pub const MESSAGE_KINDS: [MessageKind; 9] = [
    MessageKind::Hello,
    MessageKind::Join,
    MessageKind::Invite,
    MessageKind::Append,
    MessageKind::Vote,
    MessageKind::Snapshot,
    MessageKind::Propose,
    MessageKind::Read,
    MessageKind::Admin,
];

/// A message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender's version.
    pub version: u32,
    /// The fleet.
    pub fleet: String,
    /// How often this council was taken up by one member alone.
    pub generation: u64,
    /// The sender's number; 0 where it has none yet.
    pub from: u64,
    /// Whom it is for; 0 where that is not known.
    pub to: u64,
    /// How many writes the sender's file has seen.
    pub writes: u64,
    /// The most writes that the sender has heard of the receiver's file.
    pub heard: u64,
    /// What it is about.
    pub kind: MessageKind,
    /// The rest.
    pub body: Vec<u8>,
}

/// Why a message is not looked into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// Of another version.
    Version(u32),
    /// Of another fleet.
    Fleet(String),
    /// From before or after a recovery that this member knows nothing of.
    Generation {
        /// Its own.
        theirs: u64,
        /// This member's.
        ours: u64,
    },
    /// For another member.
    OtherMember(u64),
    /// From nobody that is known.
    UnknownSender(u64),
    /// Longer than there can be.
    TooLong(usize),
    /// It can't be read.
    Unreadable(String),
    /// This member has stopped taking part.
    Stopped(String),
}

impl Rejection {
    /// The cause in a word, as messages are counted by.
    #[must_use]
    pub fn cause(&self) -> &'static str {
        match self {
            Rejection::Version(_) => "version",
            Rejection::Fleet(_) => "fleet",
            Rejection::Generation { .. } => "generation",
            Rejection::OtherMember(_) => "other member",
            Rejection::UnknownSender(_) => "unknown member",
            Rejection::TooLong(_) => "size",
            Rejection::Unreadable(_) => "unreadable",
            Rejection::Stopped(_) => "stopped",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Version(v) => write!(f, "version {v}: this program speaks {VERSION}"),
            Rejection::Fleet(name) => {
                let name: String = name.chars().filter(char::is_ascii_graphic).take(64).collect();
                write!(f, "fleet {name}: not this one")
            }
            Rejection::Generation { theirs, ours } if theirs < ours => write!(
                f,
                "generation {theirs}: this council was taken up again without that member (generation {ours}); add it anew"
            ),
            Rejection::Generation { theirs, ours } => {
                write!(
                    f,
                    "generation {theirs}: this member is of {ours}, the council was taken up without it"
                )
            }
            Rejection::OtherMember(id) => write!(f, "member {id}: that is not this one"),
            Rejection::UnknownSender(id) => write!(f, "member {id}: not known here"),
            Rejection::TooLong(bytes) => write!(f, "{bytes} bytes: {MAX_BODY_BYTES} at the most"),
            Rejection::Unreadable(what) => write!(f, "it can't be read: {what}"),
            Rejection::Stopped(why) => write!(f, "this member takes no part: {why}"),
        }
    }
}

impl std::error::Error for Rejection {}

/// Writes a body.
pub(crate) fn body<T: Serialize>(it: &T) -> Vec<u8> {
    // Only maps with keys that are no texts can't be written; there are none.
    serde_json::to_vec(it).unwrap_or_default()
}

/// Reads a body.
pub(crate) fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|e| Rejection::Unreadable(e.to_string()))
}
