//! Zones: what was decided goes to the module, what it saw comes back.

use super::Gatekeeper;
use frostvale::{Event, RoutingSnapshot, ZoneObservation};

impl Gatekeeper {
    /// Who is shut out, as it was decided for the fleet.
    pub fn apply_fenced_off(&mut self, decision: frostvale::FenceOffDecision) {
        self.dispatch(Event::FenceOff(decision));
    }

    /// From now on what is seen of zones is counted, or not any more.
    pub fn watch_zones(&mut self, is_enabled: bool) {
        self.control.watch_zones(is_enabled);
    }

    /// What was seen since the last look.
    pub fn observe_zones(&mut self) -> ZoneObservation {
        let now = self.now();
        self.control.observe_zones(now)
    }

    /// What was decided for this gatekeeper's zone, or that it still stands.
    pub fn guide(&mut self, snapshot: RoutingSnapshot) {
        self.dispatch(Event::RoutingSnapshot(snapshot));
    }
}
