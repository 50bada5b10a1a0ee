//! How much a server that has just started is sent, by all gateways together.

use super::{Control, DRAW_MOST};
use crate::api::*;
use crate::estimate::{SIDE_BY_SIDE, View};
use crate::roster::Roster;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A cold server gets this part of what its share of capacity would allow it.
pub(super) const COLD_PART: f64 = 0.9;
/// All gateways together send it at most this part of what pushes it over.
const COLD_BUDGET: f64 = 0.75;
/// With many gateways, cold servers need no gap while the fleet's mean warmth is above this.
const BEARS: f64 = 0.4;

/// Of an even share of all requests, by its warmth, a cold server among many gateways is dealt this part of what pushes it
/// over, and no more than so many times: where all servers are as busy as they can be, that much is what it can do.
const COLD_SHARE: f64 = 0.65;
const COLD_SHARE_MOST: f64 = 1.5;

/// The least time between two requests of one gateway to a cold server that answers one alone in `pace`.
pub(super) fn gap(pace: f64, cfg: &Settings) -> f64 {
    pace * f64::from(cfg.gateways) / (COLD_BUDGET * cfg.fall_multiple * SIDE_BY_SIDE)
}

/// The cold server that a request may go to, if one, once it has been drawn.
pub(super) type Dealt = Option<Option<u32>>;

/// Of many gateways each request is dealt one server by lot, and no other cold one may get it. Drawn anew for each server
/// that is looked at, a cold one would get the more the fewer of the others have room, from all at once.
pub(super) fn dealt(
    dealt: &mut Dealt,
    drawn: &[u32],
    servers: &Roster,
    view: View,
    rng: &mut Pcg64Mcg,
) -> Option<u32> {
    *dealt.get_or_insert_with(|| {
        let number = drawn[rng.random_range(0..drawn.len())];
        let warmth = servers.at(number).map_or(0.0, |s| view.warmth(s));
        let part = (COLD_SHARE * view.cfg.fall_multiple).min(COLD_SHARE_MOST);
        (rng.random::<f64>() < part * warmth).then_some(number)
    })
}

impl Control {
    /// Whether a cold server of these needs no gap: where most of many are warm, parts alone keep it far from what it can't
    /// bear, and a gap for each of many gateways would keep nearly all of them away from it.
    pub(super) fn bears(&self, drawn: &[u32]) -> bool {
        let some = drawn.iter().take(DRAW_MOST).filter_map(|k| self.servers.at(*k));
        let (sum, count) = some.fold((0.0, 0.0), |(sum, n), s| (sum + self.view().warmth(s), n + 1.0));
        self.many() && sum > BEARS * count
    }
}
