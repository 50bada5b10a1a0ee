//! Load generator: the schedule of requests ([`schedule`]), sending them over sockets ([`engine`]),
//! statistics of their outcomes ([`stats`]), and reports ([`report`]).
//!
//! The load is open-loop. A closed-loop client, which waits for each answer before it sends the next request,
//! sends less to a system that stalls and so hides the stall (coordinated omission): its histogram holds one
//! slow answer where a thousand shops would have waited. Here the times of all first attempts are drawn from
//! the seed, independently of the answers, and each latency counts from the time when the request was due.

pub mod engine;
pub mod report;
pub mod schedule;
pub mod stats;
