//! The council: a Raft group of one, three or five agents that agrees on the commands of a fleet, in one
//! order.
//!
//! # Why
//!
//! Work that is done once for a whole fleet needs one owner, and the record of who owns it has to survive the
//! failure of any agent. A row in the database would do until the database fails over to a replica that lacks
//! the last second, and an advisory lock is lost with its connection. So the agents replicate a log of their
//! own (Raft, by `openraft`); the database, gatekeepers and folders only refuse what carries an old epoch.
//!
//! - [`file`]: the council file of an agent: identity, vote, log and snapshot, synced before they are
//!   acknowledged, and the detection of an older copy of the file.
//! - [`member`]: one member: forming and joining the group, proposals, reads, changes of members, and
//!   recovery after the permanent loss of the majority.
//! - [`wire`]: the messages between members, and the checks that reject them before their bodies are decoded.
//! - [`Transport`]: sends the messages. The agent's is gRPC; tests use one whose links can be cut.
//!
//! The council is not on the path of a request: gatekeepers never wait for it.

pub mod file;
pub mod member;
mod net;
mod quorum_check;
mod store;
pub mod wire;

pub use member::{Council, Error, MembershipChange, Settings, Status};
pub use store::{AgreedState, Member, Request, Response};
pub use wire::{Envelope, MessageKind, Rejection};

use async_trait::async_trait;

/// Sends messages to other members.
#[async_trait]
pub trait Transport: Send + Sync + 'static {
    /// Sends a message to the member at an address and waits for the answer. The caller sets the time-out.
    ///
    /// # Errors
    /// When there is no answer, with the cause.
    async fn call(&self, at: &str, message: Envelope) -> Result<Envelope, String>;
}
