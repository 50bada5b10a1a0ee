//! Stand-ins for all that stands around a gatekeeper, written from the public protocols alone: for tests, and for
//! `frostctl dev`. Each is a file, listens on loopback, books what it was sent and does wrong on demand.

pub mod clock;
pub mod counter;
pub mod discovery;
pub mod fleet;
pub mod formula;
pub mod gate;
pub mod http;
pub mod load;
mod ports;
pub mod postgres;
pub mod resp;
pub mod rls;
pub mod town;
