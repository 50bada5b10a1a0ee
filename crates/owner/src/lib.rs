//! Single ownership of duties: leader-elected tasks that one agent at a time runs on behalf of the fleet.
//!
//! # Why
//!
//! Some work is done once for a whole fleet: rolling up the ledger, publishing a plan, writing an export. If
//! every agent did it, it would be done more than once. If one fixed agent did it, its failure would have to
//! be detected, and an agent that was only paused must not continue where it stopped. A lease alone does not
//! prevent that: a process that was paused for thirty seconds still holds its lease as valid when it resumes,
//! and its next write overwrites that of the new owner.
//!
//! The crate therefore combines three parts:
//!
//! - [`registry`]: the replicated state machine that the Raft group (the council) agrees on: sessions of
//!   agents, duties, and the owner of each duty with its **epoch**. Epochs only grow. The registry reads no
//!   clock.
//! - [`host`]: the controller of one agent, driven by that agent's monotonic clock. It keeps the session
//!   open, stops its duties by itself before another agent may begin them, expires sessions that were silent
//!   for long enough, and claims free duties.
//! - [`fence`]: the proof of a valid lease, without which no effect on behalf of the fleet can be called, and
//!   the rule by which the resource that an effect acts on (database, gatekeeper, folder) refuses the epochs
//!   of former owners.
//!
//! # The bound on time
//!
//! A clock may run at `1 - d` to `1 + d` of true time ([`host::Settings::drift_milli`], in thousandths). A
//! holder counts its lease `L` from the moment *before* it requested the renewal, so it stops at most
//! `L / (1 - d)` of true time after that. Every other agent counts from the moment at which it *saw* that
//! renewal applied, which is later, and expires the session no sooner than `L * (1 + d) / (1 - d)` by its own
//! clock, which is at least `L / (1 - d)` of true time. The expiry is a compare-and-swap on the last renewal,
//! so a renewal that is applied in between wins. The clocks of two hosts are never compared.

pub mod fence;
pub mod host;
pub mod registry;

pub use fence::{CurrentEpoch, Fence, FenceTable, Lease, LeaseExpired};
pub use host::{Action, DutyController, Settings};
pub use registry::{Command, Outcome, Refusal, State};
