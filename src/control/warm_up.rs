//! Limits what all gatekeepers together send to servers that have just started.

use super::Control;
use crate::api::*;
use crate::estimate::LATENCY_DOUBLING_LOAD;
use rand::Rng;

/// A cold server is selected for this share of what its share of capacity would allow.
pub(super) const COLD_SELECTION_SHARE: f64 = 0.9;
/// All gatekeepers together send a cold server at most this share of the load that overloads it.
const COLD_OVERLOAD_SHARE: f64 = 0.75;
/// With many gatekeepers, cold servers need no minimum interval while the mean capacity share of all servers
/// is above this: the draw alone keeps each one far from overload, and an interval per gatekeeper would keep
/// nearly all gatekeepers away from it.
const MOSTLY_WARM_SHARE: f64 = 0.4;
/// With many gatekeepers, the cold servers together get this share of the load that overloads them, by their
/// share of the total capacity.
const COLD_DRAW_OVERLOAD_SHARE: f64 = 0.5;
/// Maximum of the same as a multiple of their capacity: when all servers are fully loaded, 1 is what they can
/// serve.
const MAX_COLD_DRAW_FACTOR: f64 = 1.2;
/// Interval between updates of `WarmUpState`.
const UPDATE_INTERVAL_MS: f64 = 100.0;

/// The servers that are considered in a choice.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CandidateSet {
    /// All servers of the group.
    All,
    /// Servers with an idle connection, drawn from all servers.
    IdleConnection,
    /// Servers with an idle connection, drawn from these alone, where they are too few to be found among all.
    IdleConnectionOnly,
    /// Cold servers, for a request that was drawn for them.
    Cold,
}

/// Slow-start state of all servers, with many gatekeepers.
pub(super) struct WarmUpState {
    updated_at: f64,
    /// Whether the servers are warm enough that cold ones are chosen by `draw_probability` instead of
    /// intervals.
    pub(super) is_mostly_warm: bool,
    /// Probability that a request goes to a cold server, and the mean capacity share of the cold servers.
    draw_probability: f64,
    pub(super) capacity_share: f64,
}

impl Default for WarmUpState {
    fn default() -> WarmUpState {
        WarmUpState {
            updated_at: f64::NEG_INFINITY,
            is_mostly_warm: false,
            draw_probability: 0.0,
            capacity_share: 1.0,
        }
    }
}

/// Minimum interval in ms between two attempts of one gatekeeper at a cold server whose service time, without
/// other load, is `service_time_ms`.
pub(super) fn min_send_interval_ms(service_time_ms: f64, cfg: &Settings) -> f64 {
    service_time_ms * f64::from(cfg.gatekeepers)
        / (COLD_OVERLOAD_SHARE * cfg.cold_overload_factor * LATENCY_DOUBLING_LOAD)
}

impl Control {
    /// With many gatekeepers: draws whether a request goes to a cold server. A separate draw per server
    /// considered would send cold servers the more requests, from all gatekeepers at once, the fewer other
    /// servers have room.
    pub(super) fn draws_cold_server(&mut self) -> bool {
        if !self.has_many_gatekeepers() {
            return false;
        }
        if self.now - self.warm_up.updated_at >= UPDATE_INTERVAL_MS {
            let cold =
                self.slow_start.cold_servers(self.now, self.cfg.cold_capacity_share, self.cfg.warm_up_ms);
            let servers = self.servers.candidates(None).len() as f64;
            let capacity = servers - cold.count + cold.capacity_share;
            let factor = (COLD_DRAW_OVERLOAD_SHARE * self.cfg.cold_overload_factor).min(MAX_COLD_DRAW_FACTOR);
            let draw_probability = if capacity > 0.0 { factor * cold.capacity_share / capacity } else { 0.0 };
            let capacity_share = if cold.count > 0.0 { cold.capacity_share / cold.count } else { 1.0 };
            self.warm_up = WarmUpState {
                updated_at: self.now,
                is_mostly_warm: capacity > MOSTLY_WARM_SHARE * servers,
                draw_probability,
                capacity_share,
            };
        }
        self.warm_up.is_mostly_warm
            && self.warm_up.draw_probability > 0.0
            && self.rng.random::<f64>() < self.warm_up.draw_probability
    }
}
