//! What outlives one life of a gatekeeper: plans that are given to it in service, and what its stores held.

use super::Control;
use crate::aggregate_limit::TokenBucket;
use crate::api::*;
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
    pub(super) fn on_restore(&mut self, levels: &[BucketSnapshot]) {
        let (plans, now) = (self.cfg.plans.len(), self.now);
        for l in levels.iter().filter(|l| l.plan < plans) {
            let known = self.customers.contains_key(&l.key);
            self.customer_entry(l.key, l.plan);
            // What has filled since the start is in what is restored.
            self.refill_bucket(l.key);
            let Some(c) = self.customers.get_mut(&l.key) else { continue };
            (c.quota_tokens, c.local_quota) =
                (c.quota_tokens.min(l.quota_tokens), c.local_quota.min(l.quota_tokens));
            if !known {
                (c.local_ceiling, c.local_shares_at) = (TokenBucket::new(l.ceiling_tokens), now);
            }
        }
    }

    /// What stores hold, of so many parts of the customers from this one on, and the part to go on from, none
    /// at the end. A part has 256 at the most.
    #[must_use]
    pub fn bucket_snapshots(
        &self,
        first_chunk: usize,
        max_chunks: usize,
    ) -> (Vec<BucketSnapshot>, Option<usize>) {
        let level = |(key, c): (u64, &Customer)| {
            let plan = c.plan as usize;
            let (p, parts) = (&self.cfg.plans[plan], f64::from(self.quota_owner_count(plan)));
            let filled = c.quota_tokens + p.rate / parts * (self.now - c.refilled_at) / 1000.0;
            let quota_tokens = filled.min(p.burst / parts);
            BucketSnapshot {
                key,
                plan,
                quota_tokens,
                ceiling_tokens: c.local_ceiling.tokens(),
                last_seen: c.last_seen,
            }
        };
        let all = (first_chunk..first_chunk + max_chunks)
            .map_while(|k| self.customers.chunk(k))
            .flatten()
            .map(level)
            .collect();
        (all, self.customers.chunk(first_chunk + max_chunks).map(|_| first_chunk + max_chunks))
    }
}
