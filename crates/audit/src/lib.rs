//! The audit of a fleet: which versions each gatekeeper acts on, and what is done about outdated ones. This
//! crate does no input or output and reads no clock.
//!
//! # Why
//!
//! Two faults led to it. After a change of plans it was not possible to find out which gatekeeper had refused
//! a shop's request under the old plan. And a gatekeeper whose agent had failed went on deciding by figures a
//! week old, while all others relied on its replies for quotas.
//!
//! So each gatekeeper reports the versions that it acts on, by revision and digest. One elected owner records
//! the reports, detects instances that are behind, escalates step by step, and as the last resort fences an
//! instance off by a decision that all gatekeepers receive.
//!
//! - [`applied_versions`]: the versions that an instance reports.
//! - [`applied_version_table`]: the latest report of each instance, and which instances are silent.
//! - [`escalation`]: the steps taken for instances that are behind, and the limits on fencing them off.
//! - [`decision`]: the fenced-off instances, the roster and the checkpoints of the history.
//! - [`hash_chain`]: a history of rows, each with the digest of the row before it.
//! - [`replay`]: what each instance acted on at a given time, and which changes are uncertain.
//! - [`settings`]: the times and limits of the escalation.

pub mod applied_version_table;
pub mod applied_versions;
pub mod decision;
pub mod escalation;
pub mod hash_chain;
pub mod replay;
pub mod settings;

pub use applied_version_table::{AppliedVersionTable, HistoryEvent};
pub use applied_versions::{AppliedVersions, RejectedReport, Version};
pub use decision::{Decision, FencedOffInstance, RosterEntry};
pub use escalation::{Action, Escalation};
pub use hash_chain::{ChainError, ChainRow, Checkpoint};
pub use settings::Settings;
