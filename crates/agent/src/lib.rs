//! The agent of a host: it runs beside the host's gatekeepers and serves gRPC on their behalf.
//!
//! It makes none of the decisions of the gatekeepers or of the sans-I/O crates: `frostvale-checks` parses
//! calls, selects the gatekeepers that may decide and assembles the response; the gatekeepers hold the
//! quotas. The agent may die at any instant without an effect on RESP2 requests.

pub mod audit;
mod call_memory;
pub mod clock;
pub mod config;
pub mod council;
pub mod duties;
pub mod fleet;
pub mod operators;
pub mod outside;
mod process_tables;
pub mod record;
pub mod rls;
pub mod serve;
mod step_markers;
pub mod zones;
