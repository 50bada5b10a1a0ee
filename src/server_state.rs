//! What is known of servers and of requests that are out: plain data, nothing decided here.

use crate::api::*;
use crate::state::{DEMAND_DECAY_MS, RequestState};
use std::collections::BTreeMap;

/// What is known of a server.
#[derive(Default)]
pub(crate) struct ServerState {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    pub size: f64,
    pub health: Health,
    pub started_at: f64,
    pub in_flight: BTreeMap<u64, f64>,
    pub service_time_ms: Option<f64>,
    pub service_time_at: f64,
    pub mean_in_flight: f64,
    pub mean_updated_at: f64,
    pub last_sent_at: f64,
    /// When an answer last left a connection to it at rest.
    pub idle_connection_at: f64,
    /// Before anything went there: the part of the gap to this gatekeeper's turn that is taken for past.
    pub interval_phase: f64,
    /// When the last report came, and what it said others have in flight.
    pub reported_load: Option<(f64, f64)>,
    pub failure_rate: f64,
    pub failure_rate_at: f64,
    pub kind: u32,
}

impl ServerState {
    /// Whether it belongs to a group; all do where none is given.
    pub fn is_in_group(&self, group: Option<(Group, u32, u32)>) -> bool {
        match group {
            Some((Group::Zone, zone, _)) => self.zone == zone,
            Some((Group::Cell, _, cell)) => self.cell == cell,
            _ => true,
        }
    }

    /// Keeps the mean number of this gatekeeper's requests here over time. Called before it changes.
    pub fn update_mean(&mut self, now: f64) {
        self.mean_in_flight = self.mean_in_flight_now(now);
        self.mean_updated_at = now;
    }

    pub fn mean_in_flight_now(&self, now: f64) -> f64 {
        let kept = (-(now - self.mean_updated_at) / DEMAND_DECAY_MS).exp();
        self.mean_in_flight * kept + self.in_flight.len() as f64 * (1.0 - kept)
    }
}

/// A request that has been sent on.
pub(crate) struct InFlightRequest {
    pub state: RequestState,
    pub attempts: u32,
    pub client_gone: bool,
    pub sent_at: f64,
    /// The zone and cell of the last attempt's server, as it was sent.
    pub sent_to: (u32, u32),
    pub load_when_sent: f64,
    /// The zone and cell of the first attempt that may have run, and when it was sent.
    pub may_have_run: Option<(u32, u32, f64)>,
}

/// What is known of all servers together.
#[derive(Default)]
pub(crate) struct FleetState {
    /// How long an answer takes, on average and with nothing else to do: of all, by class and by kind.
    pub mean_latency_ms: f64,
    pub service_time_ms: Option<f64>,
    pub class_service_time_ms: Vec<f64>,
    pub kind_service_time_ms: BTreeMap<u32, f64>,
    pub answer_count: f64,
    pub failure_rate: f64,
    /// This gatekeeper's attempts out, and their mean over time as of `mean_updated_at`.
    pub in_flight: usize,
    pub mean_in_flight: f64,
    pub mean_updated_at: f64,
    /// When a report last came, and what they say on average of the others' at a server.
    pub reported_load: Option<(f64, f64)>,
}
