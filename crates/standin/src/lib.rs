//! Stand-ins for all that stands around a gatekeeper, written from the public protocols alone: for tests, and for
//! `frostctl dev`. Each is a file, listens on loopback, books what it was sent and does wrong on demand.

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
