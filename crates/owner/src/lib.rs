//! One owner at a time for work on behalf of the fleet.
//!
//! # Why
//!
//! Some work is done once for a whole fleet: rolling up the ledger, publishing a plan, writing an export. If every agent
//! does it, it is done twice; if an agreed one does it, somebody must notice when that one is gone, and the one that was
//! only stopped for a while must not go on where it left off. A lease does not mend that by itself: who was stopped for
//! thirty seconds still believes in its lease when it runs on, and its next write lands over the new owner's.
//!
//! So three things stand together here:
//!
//! - [`registry`]: what the council agrees on, command by command: sessions of agents, duties, and who owns which under
//!   which **epoch**. Epochs only grow. The registry knows no time at all.
//! - [`host`]: what one agent does about it, by its own monotonic clock: it keeps its session, stops by itself before
//!   anybody else may begin, ends sessions that have been silent for long enough, claims what is free.
//! - [`fence`]: the proof of a live lease, without which no effect for the fleet can be called, and the rule by which
//!   whatever the effect lands on (database, gatekeeper, folder) refuses the epochs of former owners.
//!
//! # The bound on time
//!
//! A clock may run at `1 - d` to `1 + d` of true time ([`host::Settings::drift`]). A holder counts its lease `L` from the
//! moment *before* it asked for the renewal, so it stops at most `L / (1 - d)` of true time after that. Everybody else
//! counts from the moment at which they *saw* that renewal applied, which is later, and ends the session no sooner than
//! `L * (1 + d) / (1 - d)` by their own clock, which is `L / (1 - d)` of true time at the least. The end is a
//! compare-and-swap on the last renewal, so one that slips in between wins. No two hosts' clocks are ever compared.

pub mod fence;
pub mod host;
pub mod registry;

pub use fence::{CurrentEpoch, Fence, FenceTable, Lease, LeaseExpired};
pub use host::{Action, DutyController, Settings};
pub use registry::{Command, Outcome, Refusal, State};
