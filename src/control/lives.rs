//! What outlives one life of a gateway: plans that are given to it in service, and what its stores held.

use super::Control;
use crate::api::*;
use crate::ceiling::Store;
use crate::state::Customer;

impl Control {
    /// Plans that can't be acted on change nothing, nor does another number of them.
    pub(super) fn on_plans(&mut self, plans: Vec<Plan>) {
        let fresh = Settings { plans, ..self.cfg.clone() };
        if fresh.plans.len() == self.cfg.plans.len() && fresh.check().is_ok() {
            self.cfg = fresh;
        }
    }

    /// Customers not seen in this life get what may be used of the former one; of others no store grows.
    pub(super) fn on_restore(&mut self, levels: &[Level]) {
        let (plans, now) = (self.cfg.plans.len(), self.now);
        for l in levels.iter().filter(|l| l.plan < plans) {
            let known = self.customers.contains_key(&l.key);
            self.customer(l.key, l.plan);
            // What has filled since the start is in what is restored.
            self.refill(l.key);
            let Some(c) = self.customers.get_mut(&l.key) else { continue };
            (c.level, c.slice) = (c.level.min(l.store), c.slice.min(l.store));
            if !known {
                (c.ceiling, c.slice_at) = (Store::new(l.ceiling), now);
            }
        }
    }

    /// What stores hold, of so many parts of the customers from this one on, and the part to go on from, none
    /// at the end. A part has 256 at the most.
    #[must_use]
    pub fn levels(&self, part: usize, most: usize) -> (Vec<Level>, Option<usize>) {
        let level = |(key, c): (u64, &Customer)| {
            let plan = c.plan as usize;
            let (p, parts) = (&self.cfg.plans[plan], f64::from(self.keepers(plan)));
            let filled = c.level + p.rate / parts * (self.now - c.at) / 1000.0;
            let store = filled.min(p.burst / parts);
            Level { key, plan, store, ceiling: c.ceiling.level(), seen: c.seen }
        };
        let all = (part..part + most).map_while(|k| self.customers.part(k)).flatten().map(level).collect();
        (all, self.customers.part(part + most).map(|_| part + most))
    }
}
