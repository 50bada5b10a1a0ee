//! What is known of servers and of requests that are out: plain data, nothing decided here.

use crate::api::*;
use crate::state::{DEMAND_MS, Job};
use std::collections::BTreeMap;

/// What is known of a server.
#[derive(Default)]
pub(crate) struct Live {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    pub size: f64,
    pub health: Health,
    pub since: f64,
    pub out: BTreeMap<u64, f64>,
    pub pace: Option<f64>,
    pub paced_at: f64,
    pub usual: f64,
    pub usual_at: f64,
    pub sent_at: f64,
    /// When an answer last left a connection to it at rest.
    pub rested_at: f64,
    /// Before anything went there: the part of the gap to this gateway's turn that is taken for past.
    pub phase: f64,
    /// When the last report came, and what it said others have in flight.
    pub reported: Option<(f64, f64)>,
    pub fail: f64,
    pub fail_at: f64,
    pub kind: u32,
}

impl Live {
    /// Whether it belongs to a group; all do where none is given.
    pub fn is_of(&self, group: Option<(Group, u32, u32)>) -> bool {
        match group {
            Some((Group::Zone, zone, _)) => self.zone == zone,
            Some((Group::Cell, _, cell)) => self.cell == cell,
            _ => true,
        }
    }

    /// Keeps the mean number of this gateway's requests here over time. Called before it changes.
    pub fn average(&mut self, now: f64) {
        self.usual = self.usual_now(now);
        self.usual_at = now;
    }

    pub fn usual_now(&self, now: f64) -> f64 {
        let kept = (-(now - self.usual_at) / DEMAND_MS).exp();
        self.usual * kept + self.out.len() as f64 * (1.0 - kept)
    }
}

/// A request that has been sent on.
pub(crate) struct Held {
    pub job: Job,
    pub attempts: u32,
    pub ended: bool,
    pub sent_at: f64,
    /// The zone and cell of the last attempt's server, as it was sent.
    pub sent_to: (u32, u32),
    pub load: f64,
    /// The zone and cell of the first attempt that may have run, and when it was sent.
    pub may_run: Option<(u32, u32, f64)>,
}

/// What is known of all servers together.
#[derive(Default)]
pub(crate) struct Fleet {
    /// How long an answer takes, on average and with nothing else to do: of all, by class and by kind.
    pub took: f64,
    pub pace: Option<f64>,
    pub class_pace: Vec<f64>,
    pub kind_pace: BTreeMap<u32, f64>,
    pub answers: f64,
    pub fail: f64,
    /// This gateway's attempts out, and their mean over time as of `usual_at`.
    pub in_flight: usize,
    pub usual: f64,
    pub usual_at: f64,
    /// When a report last came, and what they say on average of the others' at a server.
    pub reported: Option<(f64, f64)>,
}
