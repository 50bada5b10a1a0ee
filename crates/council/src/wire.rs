//! The messages between members. A message of another fleet or version, for another member, or one that is
//! too long is rejected and counted before its body is decoded.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of the protocol between members.
pub const VERSION: u32 = 1;
/// The maximum size of a body, in bytes; larger than a whole replicated state.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for a member's number and voters, and for the write count that it knows of the sender's file.
    Hello,
    /// A follower asks for a member number.
    Join,
    /// Gives a new voter its member number.
    Invite,
    /// Raft: AppendEntries.
    Append,
    /// Raft: RequestVote.
    Vote,
    /// Raft: a chunk of InstallSnapshot.
    Snapshot,
    /// Forwards a proposal to the leader.
    Propose,
    /// Asks the leader for the log index that a read has to reach.
    Read,
    /// Forwards a change of members to the leader.
    Admin,
}

/// All kinds, in the order of their numbers on the wire, which start at 1.
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

/// A message or an answer, with its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender's protocol version.
    pub version: u32,
    /// The sender's fleet.
    pub fleet: String,
    /// How many times the sender's group was recovered from one member alone.
    pub generation: u64,
    /// The sender's member number; 0 where it has none yet.
    pub from: u64,
    /// The receiver's member number; 0 where it is not known.
    pub to: u64,
    /// The write count of the sender's file.
    pub writes: u64,
    /// The highest write count of the receiver's file that was reported to the sender.
    pub heard: u64,
    /// The kind of the message; an answer has that of its request.
    pub kind: MessageKind,
    /// The body, as JSON.
    pub body: Vec<u8>,
}

/// Why a message was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// Another protocol version, given here.
    Version(u32),
    /// Another fleet, named here.
    Fleet(String),
    /// The sender's group was recovered more or fewer times than this member's.
    Generation {
        /// The sender's generation.
        theirs: u64,
        /// This member's generation.
        ours: u64,
    },
    /// It is addressed to another member, with its number.
    OtherMember(u64),
    /// The sender is no known member, with its number.
    UnknownSender(u64),
    /// The body is longer than [`MAX_BODY_BYTES`], with its length.
    TooLong(usize),
    /// The body can't be decoded.
    Unreadable(String),
    /// This member has stopped, has not started, or does not take this message; with the reason.
    Stopped(String),
}

impl Rejection {
    /// The label under which rejected messages are counted.
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

/// Encodes a body as JSON.
pub(crate) fn encode_body<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding can fail only for maps whose keys are no strings; no body has one.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a body from JSON.
pub(crate) fn decode_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|e| Rejection::Unreadable(e.to_string()))
}
