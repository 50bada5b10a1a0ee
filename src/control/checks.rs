//! What is said of a check once it is decided, and units of one that were not used after all.

use super::Control;
use crate::api::*;
use crate::peer_message::customer_key;

impl Control {
    /// Says what came of a check, what is left as far as it is known here, and when to come back: once the
    /// units fit, or after a grant, when the store is full again.
    pub(super) fn push_check_decision(&mut self, request: &Request, granted: bool) {
        let known = self.customers.get(&customer_key(&request.customer));
        let (remaining, reset) = known.map_or((0.0, 0.0), |c| {
            let plan = &self.cfg.plans[c.plan as usize];
            let (at, level) = c.last_known_tokens();
            let level = (level + plan.rate * (self.now - at) / 1000.0).min(plan.burst);
            let store = if plan.rate > 0.0 { level } else { f64::INFINITY };
            let fill = |units: f64| if plan.rate > 0.0 { 1000.0 * units / plan.rate } else { 0.0 };
            let pause = if granted { fill(plan.burst - level) } else { self.ms_until_room(c, request) };
            // Others ask for what seems to be left: then the time that the units take to fill will do.
            let pause = if granted || pause > 0.0 { pause } else { fill(request.units) };
            let ceiling = if self.limit_division().is_local_only(plan) {
                c.local_ceiling.tokens()
            } else {
                f64::INFINITY
            };
            (store.min(ceiling).max(0.0), pause.max(0.0).ceil())
        });
        self.actions.push(Action::CheckDecision { id: request.id, granted, remaining, reset });
    }

    /// Units of a granted check that were not used after all.
    pub(super) fn on_unused(&mut self, request: &Request) {
        let key = customer_key(&request.customer);
        if self.tier_of[0].len() <= request.plan || !self.customers.contains_key(&key) {
            return;
        }
        let quota_owner = self.quota_owner_of(key, request);
        let deal = self.limit_division();
        if let Some(c) = self.customers.get_mut(&key) {
            let (plan, n) = (&self.cfg.plans[c.plan as usize], f64::from(request.spread.max(1)));
            c.local_ceiling.refund(request.units, deal.local_share(plan, n));
        }
        self.report_usage(key, quota_owner, request.plan, -request.units, None);
    }
}
