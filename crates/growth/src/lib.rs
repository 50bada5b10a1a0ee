//! How far what one gatekeeper needs may grow with the fleet: days on real processes, and the operators' bounds.

pub mod day;
pub mod report;
pub mod table;
pub mod usage;
