//! Failover between zones, decided in common.
//!
//! # Why
//!
//! Each gatekeeper finds out about a lost zone by itself, from its own few requests; a hundred of them come to a hundred
//! answers at different instants, and nobody asks whether those who take over can bear it. Here one owner hears what all of
//! them saw and makes one numbered decision: how much of each zone's traffic may go where.
//!
//! - [`Report`]: evidence. It may be lost, old or false; what can't be is refused whole.
//! - [`FailoverController`]: from reports and operators' intents to a [`Decision`], by the owner's own clock.
//! - [`Decision`]: a row for each zone that traffic comes from, as shares that move from one value to another over a stated
//!   time, so that a way back in steps is one decision and not many.
//!
//! A zone that can't see the others is the one that is cut off, and does not judge them. An intent narrows, evidence weighs,
//! and a floor has the last word: no zone is sent more than it bears by what is known of it, and where no zone is left all
//! are open.

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
