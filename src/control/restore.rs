//! State that outlives one incarnation of a gatekeeper: plans that change at run time, and the content of
//! buckets.

use super::Control;
use crate::aggregate_limit::TokenBucket;
use crate::api::*;
use crate::state::Customer;

impl Control {
    /// Replaces the plans. Invalid plans, or another number of them, are ignored.
    pub(super) fn on_plans(&mut self, plans: Vec<Plan>) {
        let settings = Settings { plans, ..self.cfg.clone() };
        if settings.plans.len() == self.cfg.plans.len() && settings.check().is_ok() {
            self.cfg = settings;
        }
    }

    /// Restores bucket contents of the previous incarnation. A customer not yet seen by this one gets the
    /// usable tokens; for others the content only shrinks, never grows.
    pub(super) fn on_restore(&mut self, snapshots: &[BucketSnapshot]) {
        let (plan_count, now) = (self.cfg.plans.len(), self.now);
        for snapshot in snapshots.iter().filter(|snapshot| snapshot.plan < plan_count) {
            if !self.has_room_for_customer(snapshot.key) {
                continue;
            }
            let was_known = self.customers.contains_key(&snapshot.key);
            self.customer_entry(snapshot.key, snapshot.plan);
            // The tokens refilled since the start are already part of the snapshot.
            self.refill_bucket(snapshot.key);
            let Some(c) = self.customers.get_mut(&snapshot.key) else { continue };
            (c.quota_tokens, c.local_quota) =
                (c.quota_tokens.min(snapshot.quota_tokens), c.local_quota.min(snapshot.quota_tokens));
            if !was_known {
                (c.local_ceiling, c.local_shares_at) = (TokenBucket::new(snapshot.ceiling_tokens), now);
            }
        }
    }

    /// Bucket contents of the customers in `max_chunks` chunks from `first_chunk` on, and the next chunk, or
    /// `None` at the end. A chunk has at most 256 customers.
    #[must_use]
    pub fn bucket_snapshots(
        &self,
        first_chunk: usize,
        max_chunks: usize,
    ) -> (Vec<BucketSnapshot>, Option<usize>) {
        let snapshot = |(key, c): (u64, &Customer)| {
            let plan = c.plan as usize;
            let (plan_settings, owners) = (&self.cfg.plans[plan], f64::from(self.quota_owner_count(plan)));
            let tokens = c.quota_tokens + plan_settings.rate / owners * (self.now - c.refilled_at) / 1000.0;
            let quota_tokens = tokens.min(plan_settings.burst / owners);
            BucketSnapshot {
                key,
                plan,
                quota_tokens,
                ceiling_tokens: c.local_ceiling.tokens(),
                last_seen: c.last_seen,
            }
        };
        let snapshots = (first_chunk..first_chunk + max_chunks)
            .map_while(|chunk| self.customers.chunk(chunk))
            .flatten()
            .map(snapshot)
            .collect();
        (snapshots, self.customers.chunk(first_chunk + max_chunks).map(|_| first_chunk + max_chunks))
    }
}
