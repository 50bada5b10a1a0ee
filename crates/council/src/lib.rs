//! The council: one, three or five agents that agree on numbers and intents of the fleet, one command after the other.
//!
//! # Why
//!
//! What is done once for a whole fleet needs somebody to say by whom, and that word has to outlive whoever gave it. A row
//! in the database would do until the database fails over to a copy that lacks the last second, and an advisory lock goes
//! with its connection. So the agents keep a replicated log of their own (Raft, by `openraft`); the database, gatekeepers
//! and folders only refuse what is old.
//!
//! - [`file`]: an agent's own file: who it is, its vote, log and snapshot, synced before anything is promised, and how an
//!   older copy of it is told.
//! - [`member`]: one member: forming, joining, proposing, reading, changes of members, and coming back when the majority is
//!   gone for good.
//! - [`wire`]: what goes between members, and what is refused before it is looked into.
//! - [`Transport`]: how it goes there. The agent has gRPC for it; tests have ways that can be cut.
//!
//! Nothing here is in the way of a request: gatekeepers never wait for the council.

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

/// How messages get to another member.
#[async_trait]
pub trait Transport: Send + Sync + 'static {
    /// Sends one and waits for its answer. Late answers are as good as none.
    ///
    /// # Errors
    /// When there is no answer; with why, in a few words.
    async fn call(&self, at: &str, message: Envelope) -> Result<Envelope, String>;
}
