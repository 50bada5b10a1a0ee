//! Measures how the resource use of one gatekeeper grows with the fleet, on real processes, and checks it
//! against the operators' bounds.

pub mod day;
pub mod report;
pub mod table;
pub mod usage;
