//! The socket between a gatekeeper and its host's agent.
//!
//! The gatekeeper must go on serving whatever becomes of the agent: hung, killed in the middle of a frame, sending
//! rubbish, or never reading what it is sent. So each side bounds what it reads ahead, what it has in hand and what
//! the other has not taken, and the connection that passes a bound ends alone.
//!
//! [`codec`] is the frames, without input or output. `node` (feature `node`) is the gatekeeper's end: it listens.
//! `agent` (feature `agent`) is the other: it connects, and connects again.

pub mod codec;
pub mod final_report;
pub mod socket;

#[cfg(feature = "agent")]
pub mod agent;
#[cfg(feature = "node")]
pub mod node;

pub use frostvale_proto::link as proto;

/// The bytes of a message, for a digest.
#[must_use]
pub fn encode<M: prost::Message>(message: &M) -> Vec<u8> {
    message.encode_to_vec()
}

/// The version of the frames that this build speaks. Both sides say theirs first; others are turned away.
pub const VERSION: u32 = 1;
