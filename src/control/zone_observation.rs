//! Observations of zones by this gatekeeper, input of the zone routing decisions.

use super::Control;
use crate::zones::ZoneObservation;
use std::collections::BTreeMap;

impl Control {
    /// Starts or stops counting observations of zones. This affects no decision of this gatekeeper.
    pub fn watch_zones(&mut self, on: bool) {
        self.zone_routing.set_observing(self.now, on);
    }

    /// Returns the observations since the last call, as of `now` (ms).
    pub fn observe_zones(&mut self, now: f64) -> ZoneObservation {
        self.now = self.now.max(now);
        let mut capacity: BTreeMap<u32, (u32, f64, f64)> = BTreeMap::new();
        let estimator = self.estimator();
        for s in self.servers.candidates(None).iter().filter_map(|number| self.servers.by_number(*number)) {
            let entry = capacity.entry(s.zone).or_default();
            *entry = (entry.0 + 1, entry.1 + s.size, entry.2 + s.size * estimator.capacity_share(s));
        }
        // A zone whose servers are all gone is included while there are results of its attempts.
        let mut observation = self.zone_routing.take_observation(self.now);
        for (zone, ..) in &observation.attempt_counts {
            capacity.entry(*zone).or_default();
        }
        observation.capacity = capacity
            .into_iter()
            .map(|(zone, (servers, size, warm_size))| (zone, servers, size, warm_size))
            .collect();
        observation
    }
}
