//! How much a server that has just started is sent, by all gateways together.

use super::Control;
use crate::api::*;
use crate::estimate::SIDE_BY_SIDE;
use rand::Rng;

/// A cold server gets this part of what its share of capacity would allow it.
pub(super) const COLD_PART: f64 = 0.9;
/// All gateways together send it at most this part of what pushes it over.
const COLD_BUDGET: f64 = 0.75;
/// With many gateways, cold servers need no gap while the fleet's mean warmth is above this: parts alone keep each far from
/// what it can't bear, and a gap for each gateway would keep nearly all of them away from it.
const BEARS: f64 = 0.4;
/// The cold servers of many gateways together are dealt this part of what pushes them over, by their part of what the fleet
/// can do, and no more than so many times that: where all servers are as busy as they can be, once is what they can do.
const COLD_SHARE: f64 = 0.5;
const COLD_SHARE_MOST: f64 = 1.2;
/// How often it is looked at how warm the fleet is.
const LOOK_MS: f64 = 100.0;

/// Which servers are looked at.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Among {
    All,
    /// Those with a connection at rest, as they come among all.
    AtRest,
    /// Those with a connection at rest, and no others: where they are so few that none came.
    AtRestAlone,
    /// Cold ones, where a request was dealt to them.
    Cold,
}

/// How warm the servers of many gateways are.
pub(super) struct Ramp {
    at: f64,
    /// Whether most are so warm that cold ones are dealt their part of all requests.
    pub(super) bears: bool,
    /// That part, and the mean warmth of the cold ones.
    part: f64,
    pub(super) warmth: f64,
}

impl Default for Ramp {
    fn default() -> Ramp {
        Ramp { at: f64::NEG_INFINITY, bears: false, part: 0.0, warmth: 1.0 }
    }
}

/// The least time between two requests of one gateway to a cold server that answers one alone in `pace`.
pub(super) fn gap(pace: f64, cfg: &Settings) -> f64 {
    pace * f64::from(cfg.gateways) / (COLD_BUDGET * cfg.fall_multiple * SIDE_BY_SIDE)
}

impl Control {
    /// Whether a request of one of many gateways is dealt to the cold servers. Drawn anew for each server that is looked at,
    /// a cold one would get the more the fewer of the others have room, from all gateways at once.
    pub(super) fn deals_cold(&mut self) -> bool {
        if !self.many() {
            return false;
        }
        if self.now - self.ramp.at >= LOOK_MS {
            let cold = self.warming.cold(self.now, self.cfg.cold_from, self.cfg.warm_within);
            let all = self.servers.of(None).len() as f64;
            let sum = all - cold.count + cold.warmth;
            let times = (COLD_SHARE * self.cfg.fall_multiple).min(COLD_SHARE_MOST);
            let part = if sum > 0.0 { times * cold.warmth / sum } else { 0.0 };
            let warmth = if cold.count > 0.0 { cold.warmth / cold.count } else { 1.0 };
            self.ramp = Ramp { at: self.now, bears: sum > BEARS * all, part, warmth };
        }
        self.ramp.bears && self.ramp.part > 0.0 && self.rng.random::<f64>() < self.ramp.part
    }
}
