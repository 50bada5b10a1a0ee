//! Stand-ins for the systems around a gatekeeper, for tests and for `frostctl dev`. They are written from the
//! public protocols alone. Each stand-in has its own file, listens on loopback, records what it receives and
//! can inject faults on demand.

pub mod client;
pub mod clock;
pub mod counter;
pub mod discovery;
pub mod fleet;
pub mod formula_server;
pub mod http;
pub mod local_cluster;
mod ports;
pub mod postgres;
pub mod proxy;
pub mod resp;
pub mod rls;
