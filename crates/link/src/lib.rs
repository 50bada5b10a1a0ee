//! The protocol between a gatekeeper and its host's agent, over a Unix socket.
//!
//! The gatekeeper has to go on serving whatever the agent does: hang, be killed in the middle of a frame,
//! send invalid bytes, or never read. So each side bounds what it reads ahead, what it has undecided and what
//! the other has not read; a connection that exceeds a bound is closed, and only that connection.
//!
//! [`codec`] encodes frames and does no input or output. `node` (feature `node`) is the gatekeeper's side,
//! which listens. `agent` (feature `agent`) is the agent's side, which connects and reconnects.
//! [`final_report`] is the file that a gatekeeper writes when it stops and no agent has acknowledged its
//! usage.

pub mod codec;
pub mod final_report;
pub mod socket;

#[cfg(feature = "agent")]
pub mod agent;
#[cfg(feature = "node")]
pub mod node;

pub use frostvale_proto::link as proto;

/// Encodes a message, for a digest of it.
#[must_use]
pub fn encode<M: prost::Message>(message: &M) -> Vec<u8> {
    message.encode_to_vec()
}

/// The version of the link protocol in this build. Both sides send theirs first; other versions are refused.
pub const VERSION: u32 = 1;
