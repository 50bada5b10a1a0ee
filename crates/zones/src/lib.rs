//! Failover between zones, decided by one leader for the whole fleet.
//!
//! A gatekeeper on its own detects a lost zone only from its few requests. A hundred gatekeepers would reach
//! a hundred conclusions at different times, and none of them would check whether the zones that take over
//! have the capacity. Here one leader receives the observations of all of them and makes one numbered
//! decision: how much of each zone's traffic may go where. The crate does no I/O and reads no clock.
//!
//! - [`Report`]: the observations of one agent's gatekeepers. A report may be lost, outdated or false; one
//!   with impossible content is rejected as a whole.
//! - [`FailoverController`]: turns reports and operators' drains into a [`Decision`], by the leader's own
//!   clock.
//! - [`Decision`]: a row for each zone of origin. Its shares move from one value to another over a stated
//!   time, so that a gradual return is one decision and not many.
//!
//! A zone that cannot reach the other zones counts as cut off, and its measurements of them are ignored.
//! Drains and path health limit what a zone is sent, and capacity limits it last: no zone is assigned more
//! than its estimated capacity, and if no zone is left to a zone's traffic, all zones are opened to it.

mod allocation;
mod decision;
mod failover;
mod report;
mod settings;
mod zone_path;

pub use allocation::{Allocation, AllocationInput, allocate};
pub use decision::{Decision, MAX_DECISION_BYTES, RoutingRow, Share, Spill, ZoneAssessment, ZoneState};
pub use failover::{CapacityShortfall, FailoverController, FailoverView, ReportCounts};
pub use report::{AttemptCounts, Drain, MAX_ZONES, RejectedReport, Report, ZoneCapacity};
pub use settings::Settings;
pub use zone_path::{PathObservation, Phase, ZonePath};
