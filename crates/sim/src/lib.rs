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

pub mod bound;
mod conns;
mod expect;
mod formula;
pub mod herds;
mod oracle;
pub mod page;
mod queue;
pub mod scenario;
mod shops;
pub mod shrink;
mod tally;
mod world;

pub use herds::{Act, Herd};
pub use oracle::{Broken, Final};
pub use scenario::Scenario;
pub use tally::{Percentiles, PlanSums, Report, Second, ServerSums};
pub use world::{Maker, Mind, real, run};
