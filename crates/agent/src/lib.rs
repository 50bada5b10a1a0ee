//! The agent of a host: it stands beside the host's gatekeepers and speaks gRPC for them.
//!
//! It decides nothing that a gatekeeper or a sans-I/O crate decides: `frostvale-checks` reads calls, finds the
//! gatekeepers that may decide and puts the answer together; the gatekeepers' module holds the quotas. It may die at
//! any instant without a RESP2 request noticing.

pub mod audit;
pub mod clock;
pub mod config;
pub mod council;
pub mod duties;
pub mod fleet;
pub mod operators;
pub mod outside;
pub mod record;
pub mod rls;
pub mod serve;
mod step_markers;
pub mod zones;
