//! A deterministic discrete-event simulation of a fleet. The control_module decision modules of many gatekeepers run in
//! one process against simulated formula servers, service discovery, peer messages and clients. All events
//! are ordered by virtual time, and all random numbers come from one seed.
//!
//! # Why
//!
//! Tests on sockets can't run 100 gatekeepers and don't fail reproducibly. Here a run is a function of the
//! scenario and the seed. Five rules are checked at every step, the first violation is reported with the
//! events before it, and a failing scenario can be shrunk automatically to a small one that goes into CI.
//!
//! ```
//! use frostvale_sim::{Scenario, control_module, run};
//!
//! let scenario = Scenario { seconds: 2.0, ..Scenario::default() };
//! let report = run(&scenario, 7, &control_module)?;
//! assert!(report.held());
//! assert_eq!(report, run(&scenario, 7, &control_module)?);
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
