//! A deterministic simulation of a fleet: many real decision modules, formula servers, the list, notes and clients in one
//! process and one order of events, by virtual time and from one seed.
//!
//! # Why
//!
//! No test on sockets shows 100 gatekeepers, and none fails the same way twice. Here a run is a function of scenario and
//! seed: the five rules are watched at every step, the first break is told with the events before it, and a failing
//! scenario shrinks by itself to a small one that goes into CI.
//!
//! ```
//! use frostvale_sim::{Scenario, real, run};
//!
//! let scenario = Scenario { seconds: 2.0, ..Scenario::default() };
//! let report = run(&scenario, 7, &real)?;
//! assert!(report.held());
//! assert_eq!(report, run(&scenario, 7, &real)?);
//! # Ok::<(), String>(())
//! ```

mod connections;
mod event_queue;
mod expectations;
mod formula_server;
pub mod herd_detection;
mod oracle;
pub mod quota_bound;
pub mod report_page;
pub mod scenario;
mod shop_population;
pub mod shrink;
mod stats;
mod world;

pub use herd_detection::{Herd, HerdAction};
pub use oracle::{FinalAnswer, Violation};
pub use scenario::Scenario;
pub use stats::{Percentiles, PlanSums, Report, Second, ServerSums};
pub use world::{DecisionModule, ModuleFactory, control_module, run};
