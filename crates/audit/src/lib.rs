//! An audit of a fleet, without input, output or clock.
//!
//! # Why
//!
//! After a change nobody could say which gatekeeper had turned a shop away by the old plan, and one whose agent had died went on
//! deciding by last week's figures while all others took its word for quotas. So each gatekeeper tells what it acts on, by
//! revision and digest; one owner keeps the book, sees who is behind, has it brought up step by step, and shuts it out by a
//! decision in common where nothing else has helped.
//!
//! - [`applied_versions`]: what an instance acts on, as it told.
//! - [`applied_version_table`]: what is known of whom, and since when of whom nothing.
//! - [`escalation`]: what is done about those that are behind, within floors.
//! - [`decision`]: who is shut out, and the history's anchor.
//! - [`hash_chain`]: a history of rows, each with the digest of all before it.
//! - [`replay`]: what each instance acted on at a time, and what can't be told.

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
