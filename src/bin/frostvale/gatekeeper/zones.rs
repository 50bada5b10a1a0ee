//! Passes zone decisions to `Control` and returns its observations of zones.

use super::Gatekeeper;
use frostvale::{Event, RoutingSnapshot, ZoneObservation};

impl Gatekeeper {
    /// Applies the decision for the fleet on which gatekeepers are fenced off.
    pub fn apply_fenced_off(&mut self, decision: frostvale::FenceOffDecision) {
        self.dispatch(Event::FenceOff(decision));
    }

    /// Enables or disables the counting of attempts by zone.
    pub fn watch_zones(&mut self, is_enabled: bool) {
        self.control.watch_zones(is_enabled);
    }

    /// Returns what was observed of zones since the last call.
    pub fn observe_zones(&mut self) -> ZoneObservation {
        let now = self.now();
        self.control.observe_zones(now)
    }

    /// Applies or renews the routing decision for this gatekeeper's zone.
    pub fn guide(&mut self, snapshot: RoutingSnapshot) {
        self.dispatch(Event::RoutingSnapshot(snapshot));
    }
}
