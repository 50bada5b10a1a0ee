//! How much a server that has just started is sent, by all gatekeepers together.

use super::Control;
use crate::api::*;
use crate::estimate::LATENCY_DOUBLING_LOAD;
use rand::Rng;

/// A cold server gets this part of what its share of capacity would allow it.
pub(super) const COLD_SELECTION_SHARE: f64 = 0.9;
/// All gatekeepers together send it at most this part of what pushes it over.
const COLD_BUDGET: f64 = 0.75;
/// With many gatekeepers, cold servers need no gap while the fleet's mean warmth is above this: parts alone keep each far from
/// what it can't bear, and a gap for each gatekeeper would keep nearly all of them away from it.
const BEARS: f64 = 0.4;
/// The cold servers of many gatekeepers together are dealt this part of what pushes them over, by their part of what the fleet
/// can do, and no more than so many times that: where all servers are as busy as they can be, once is what they can do.
const COLD_SHARE: f64 = 0.5;
const COLD_SHARE_MOST: f64 = 1.2;
/// How often it is looked at how warm the fleet is.
const LOOK_MS: f64 = 100.0;

/// Which servers are looked at.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CandidateSet {
    All,
    /// Those with a connection at rest, as they come among all.
    IdleConnection,
    /// Those with a connection at rest, and no others: where they are so few that none came.
    IdleConnectionOnly,
    /// Cold ones, where a request was dealt to them.
    Cold,
}

/// How warm the servers of many gatekeepers are.
pub(super) struct WarmUpState {
    at: f64,
    /// Whether most are so warm that cold ones are dealt their part of all requests.
    pub(super) is_mostly_warm: bool,
    /// That part, and the mean warmth of the cold ones.
    part: f64,
    pub(super) capacity_share: f64,
}

impl Default for WarmUpState {
    fn default() -> WarmUpState {
        WarmUpState { at: f64::NEG_INFINITY, is_mostly_warm: false, part: 0.0, capacity_share: 1.0 }
    }
}

/// The least time between two requests of one gatekeeper to a cold server that answers one alone in `service_time_ms`.
pub(super) fn min_send_interval_ms(service_time_ms: f64, cfg: &Settings) -> f64 {
    service_time_ms * f64::from(cfg.gatekeepers)
        / (COLD_BUDGET * cfg.cold_overload_factor * LATENCY_DOUBLING_LOAD)
}

impl Control {
    /// Whether a request of one of many gatekeepers is dealt to the cold servers. Drawn anew for each server that is looked at,
    /// a cold one would get the more the fewer of the others have room, from all gatekeepers at once.
    pub(super) fn draws_cold_server(&mut self) -> bool {
        if !self.has_many_gatekeepers() {
            return false;
        }
        if self.now - self.warm_up.at >= LOOK_MS {
            let cold =
                self.slow_start.cold_servers(self.now, self.cfg.cold_capacity_share, self.cfg.warm_up_ms);
            let all = self.servers.candidates(None).len() as f64;
            let sum = all - cold.count + cold.capacity_share;
            let times = (COLD_SHARE * self.cfg.cold_overload_factor).min(COLD_SHARE_MOST);
            let part = if sum > 0.0 { times * cold.capacity_share / sum } else { 0.0 };
            let capacity_share = if cold.count > 0.0 { cold.capacity_share / cold.count } else { 1.0 };
            self.warm_up =
                WarmUpState { at: self.now, is_mostly_warm: sum > BEARS * all, part, capacity_share };
        }
        self.warm_up.is_mostly_warm && self.warm_up.part > 0.0 && self.rng.random::<f64>() < self.warm_up.part
    }
}
