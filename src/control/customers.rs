//! The table of customers: how many there may be, and which of them may be forgotten.

use super::{CUSTOMER_IDLE_MS, Control};
use crate::api::*;
use crate::state::{Customer, DEMAND_DECAY_MS};

/// Estimated memory of a customer's key in the index.
const INDEX_ENTRY_BYTES: usize = 32;

/// Whether nothing is lost if a customer is forgotten after it was idle for this time: its buckets, which are
/// full when it comes again, are full by then, and nothing of it is in flight.
fn is_forgettable(c: &Customer, plan: &Plan, idle_ms: f64) -> bool {
    let ms_until_full =
        |tokens: f64, rate: f64| if rate > 0.0 { 1000.0 * tokens / rate } else { DEMAND_DECAY_MS };
    // The bucket may be overdrawn.
    let missing_tokens = plan.burst - c.quota_tokens.min(0.0);
    let full_after_ms = ms_until_full(missing_tokens, plan.rate)
        .max(ms_until_full(plan.ceiling_burst, plan.ceiling_rate))
        .max(DEMAND_DECAY_MS);
    let has_permits = c.permits.as_ref().is_some_and(|p| !p.granted.is_empty() || !p.waiting.is_empty());
    c.in_flight == 0 && !has_permits && idle_ms >= full_after_ms.min(CUSTOMER_IDLE_MS)
}

impl Control {
    /// Estimated memory of one customer, in bytes.
    pub const CUSTOMER_BYTES: usize = size_of::<(u64, Customer)>() + INDEX_ENTRY_BYTES;

    /// Limits the number of customers. Requests of further ones are refused while no other customer can be
    /// forgotten without loss.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.max_customers = max_customers;
    }

    /// Whether a customer is known or can be added. In a full table the customers of one chunk are checked and
    /// those that can be forgotten without loss are removed.
    pub(super) fn has_room_for_customer(&mut self, key: u64) -> bool {
        if self.customers.len() < self.max_customers || self.customers.contains_key(&key) {
            return true;
        }
        let (now, plans) = (self.now, &self.cfg.plans);
        self.customers.evict_next_chunk(now, |c| {
            let plan = plans.get(c.plan as usize);
            !plan.is_some_and(|plan| is_forgettable(c, plan, now - c.last_seen))
        });
        self.customers.len() < self.max_customers
    }
}
