//! Decisions on checks, and units of a granted check that were not used.

use super::Control;
use crate::api::*;
use crate::peer_message::customer_key;

impl Control {
    /// Reports the decision on a check, the units left as far as known here, and the time to wait: until the
    /// units fit or, after a grant, until the token bucket is full again.
    pub(super) fn push_check_decision(&mut self, request: &Request, granted: bool) {
        let customer = self.customers.get(&customer_key(&request.customer));
        let (remaining, reset) = customer.map_or((0.0, 0.0), |c| {
            let plan = &self.cfg.plans[c.plan as usize];
            let (at, tokens) = c.last_known_tokens();
            let tokens = (tokens + plan.rate * (self.now - at) / 1000.0).min(plan.burst);
            let quota_left = if plan.rate > 0.0 { tokens } else { f64::INFINITY };
            let refill_ms = |units: f64| if plan.rate > 0.0 { 1000.0 * units / plan.rate } else { 0.0 };
            let reset_ms =
                if granted { refill_ms(plan.burst - tokens) } else { self.ms_until_room(c, request) };
            // Others ask for the tokens that seem to be left: then the time to refill the requested units is
            // reported.
            let reset_ms = if granted || reset_ms > 0.0 { reset_ms } else { refill_ms(request.units) };
            let ceiling_left = if self.limit_division().is_local_only(plan) {
                c.local_ceiling.tokens()
            } else {
                f64::INFINITY
            };
            (quota_left.min(ceiling_left).max(0.0), reset_ms.max(0.0).ceil())
        });
        self.actions.push(Action::CheckDecision { id: request.id, granted, remaining, reset });
    }

    /// Gives back the units of a granted check that were not used.
    pub(super) fn on_unused(&mut self, request: &Request) {
        let key = customer_key(&request.customer);
        if self.tier_of[0].len() <= request.plan || !self.customers.contains_key(&key) {
            return;
        }
        let quota_owner = self.quota_owner_of(key, request);
        let division = self.limit_division();
        if let Some(c) = self.customers.get_mut(&key) {
            let (plan, set_size) = (&self.cfg.plans[c.plan as usize], f64::from(request.spread.max(1)));
            c.local_ceiling.refund(request.units, division.local_share(plan, set_size));
        }
        self.report_usage(key, quota_owner, request.plan, -request.units, None);
    }
}
