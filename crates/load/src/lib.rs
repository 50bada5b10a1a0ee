//! The project's load tool: who asks for what and when ([`schedule`]), what came of it ([`stats`]), the playing of it
//! over sockets ([`engine`]) and what is told of it ([`report`]).
//!
//! # Why an open loop
//!
//! A client that waits for its answer before it asks again asks less of a town that stalls, and so hides the stall: its
//! histogram holds one slow answer where a thousand shops would have waited. Here the times of all first tries are drawn
//! ahead from the seed, and each answer's time counts from when its request was due.

pub mod engine;
pub mod report;
pub mod schedule;
pub mod stats;
