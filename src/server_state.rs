//! State of servers and of requests in flight: plain data without decisions.

use crate::api::*;
use crate::state::{DEMAND_DECAY_MS, RequestState};
use std::collections::BTreeMap;

/// State of a server. Times are in ms.
#[derive(Default)]
pub(crate) struct ServerState {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    pub size: f64,
    pub health: Health,
    pub started_at: f64,
    /// Ids of the requests that this gatekeeper has in flight there, and when they were sent.
    pub in_flight: BTreeMap<u64, f64>,
    /// Estimated latency of an answer without other load, and when it was last updated.
    pub service_time_ms: Option<f64>,
    pub service_time_at: f64,
    /// Decaying mean of the requests in flight there from this gatekeeper, as of `mean_updated_at`.
    pub mean_in_flight: f64,
    pub mean_updated_at: f64,
    pub last_sent_at: f64,
    /// When an answer last left an idle connection to it.
    pub idle_connection_at: f64,
    /// Until the first attempt: the share of the minimum send interval that counts as already elapsed.
    pub interval_phase: f64,
    /// When the last load report arrived, and the load of other gatekeepers according to it.
    pub reported_load: Option<(f64, f64)>,
    /// Decaying rate of failed attempts, as of `failure_rate_at`.
    pub failure_rate: f64,
    pub failure_rate_at: f64,
    /// Machine type.
    pub kind: u32,
}

impl ServerState {
    /// Whether it belongs to a group; every server does if `group` is `None`.
    pub fn is_in_group(&self, group: Option<(Group, u32, u32)>) -> bool {
        match group {
            Some((Group::Zone, zone, _)) => self.zone == zone,
            Some((Group::Cell, _, cell)) => self.cell == cell,
            _ => true,
        }
    }

    /// Updates the mean of this gatekeeper's requests in flight. Has to be called before each change of
    /// `in_flight`.
    pub fn update_mean(&mut self, now: f64) {
        self.mean_in_flight = self.mean_in_flight_now(now);
        self.mean_updated_at = now;
    }

    /// The mean of this gatekeeper's requests in flight, as of `now`.
    pub fn mean_in_flight_now(&self, now: f64) -> f64 {
        let kept = (-(now - self.mean_updated_at) / DEMAND_DECAY_MS).exp();
        self.mean_in_flight * kept + self.in_flight.len() as f64 * (1.0 - kept)
    }
}

/// A request that has been sent to a server.
pub(crate) struct InFlightRequest {
    pub state: RequestState,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Whether the client has disconnected.
    pub client_gone: bool,
    /// When the last attempt was sent.
    pub sent_at: f64,
    /// Zone and cell of the last attempt's server, at the time of sending.
    pub sent_to: (u32, u32),
    /// Estimated load of the last attempt's server at the time of sending.
    pub load_when_sent: f64,
    /// Zone and cell of the first attempt that may have run, and when it was sent.
    pub may_have_run: Option<(u32, u32, f64)>,
}

/// State of all servers together.
#[derive(Default)]
pub(crate) struct FleetState {
    /// Mean latency of answers.
    pub mean_latency_ms: f64,
    /// Estimated latency without other load: of all answers, by class and by machine type.
    pub service_time_ms: Option<f64>,
    pub class_service_time_ms: Vec<f64>,
    pub kind_service_time_ms: BTreeMap<u32, f64>,
    pub answer_count: f64,
    /// Decaying rate of failed attempts at all servers.
    pub failure_rate: f64,
    /// This gatekeeper's attempts in flight, and their decaying mean as of `mean_updated_at`.
    pub in_flight: usize,
    pub mean_in_flight: f64,
    pub mean_updated_at: f64,
    /// When a load report last arrived, and the mean load of other gatekeepers at a server according to the
    /// reports.
    pub reported_load: Option<(f64, f64)>,
}
