//! What this gatekeeper sees of zones, for those who decide on them in common.

use super::Control;
use crate::zones::ZoneObservation;
use std::collections::BTreeMap;

impl Control {
    /// From now on what is seen of zones is counted, or not any more. Nothing is decided by it.
    pub fn watch_zones(&mut self, on: bool) {
        self.zone_routing.set_observing(self.now, on);
    }

    /// What was seen of zones since the last look, at this time.
    pub fn observe_zones(&mut self, now: f64) -> ZoneObservation {
        self.now = self.now.max(now);
        let mut capacity: BTreeMap<u32, (u32, f64, f64)> = BTreeMap::new();
        let view = self.estimator();
        for s in self.servers.candidates(None).iter().filter_map(|k| self.servers.by_number(*k)) {
            let entry = capacity.entry(s.zone).or_default();
            *entry = (entry.0 + 1, entry.1 + s.size, entry.2 + s.size * view.capacity_share(s));
        }
        // A zone whose servers are all gone is told of too, as long as anything is known of them.
        let mut observation = self.zone_routing.take_observation(self.now);
        for (zone, ..) in &observation.attempt_counts {
            capacity.entry(*zone).or_default();
        }
        observation.capacity =
            capacity.into_iter().map(|(zone, (n, size, warm))| (zone, n, size, warm)).collect();
        observation
    }
}
