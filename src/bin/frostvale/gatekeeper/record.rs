//! Usage counts, plan updates and token bucket levels, for the store of record.

use super::Gatekeeper;
use crate::usage::{Usage, UsageKind};
use frostvale::{BucketSnapshot, Event, Plan, Request, Settings};

impl Gatekeeper {
    /// Enables usage counting. `clock_offset_ms` is added to the time of the clock.
    pub fn enable_usage(&mut self, clock_offset_ms: i64) {
        let now = (self.now().max(0.0) as u64).saturating_add_signed(clock_offset_ms);
        self.usage = Some(Usage::new(now));
    }

    /// The usage since the start of this process, or `None` if usage counting is disabled.
    pub fn usage(&mut self) -> Option<&mut Usage> {
        self.usage.as_mut()
    }

    /// Counts the units of a check as passed if they were granted, and as refused otherwise.
    pub fn count_check(&mut self, request: &Request, granted: bool) {
        let kind = if granted { UsageKind::Passed } else { UsageKind::Refused };
        if let Some(usage) = &mut self.usage {
            usage.count(&request.customer, request.plan, request.class, request.units, kind);
        }
    }

    /// Counts a request's units, if usage counting is enabled.
    pub(super) fn count_usage(&mut self, id: u64, kind: UsageKind) {
        let (Some(usage), Some(r)) = (&mut self.usage, self.requests.get(&id)) else { return };
        usage.count(
            &r.client_request.customer,
            r.client_request.plan,
            r.client_request.class,
            r.client_request.units,
            kind,
        );
    }

    /// Counts the units of a request as passed when its command has first been written completely to a
    /// worker.
    pub(super) fn command_sent(&mut self, id: u64) {
        if self.usage.is_none() {
            return;
        }
        if let Some(r) = self.requests.get_mut(&id)
            && !std::mem::replace(&mut r.is_sent, true)
        {
            self.count_usage(id, UsageKind::Passed);
        }
    }

    /// Replaces the plans.
    ///
    /// # Errors
    /// When the settings would be invalid with these plans; the plans in effect stay.
    pub fn set_plans(&mut self, plans: Vec<Plan>) -> Result<(), String> {
        let updated = Settings { plans: plans.clone(), ..self.settings.clone() };
        updated.check().map_err(|e| e.to_string())?;
        self.settings = updated;
        self.dispatch(Event::Plans(plans));
        Ok(())
    }

    /// Restores the token buckets that an earlier process of this gatekeeper held.
    pub fn restore(&mut self, levels: Vec<BucketSnapshot>) {
        self.dispatch(Event::Restore(levels));
    }

    /// Returns snapshots of the token buckets of up to `max_chunks` chunks of the customers, and the next
    /// chunk, if any.
    pub fn levels(&self, first_chunk: usize, max_chunks: usize) -> (Vec<BucketSnapshot>, Option<usize>) {
        self.control.bucket_snapshots(first_chunk, max_chunks)
    }

    /// Returns the units that a granted check took and did not use.
    pub fn refund_check(&mut self, request: Request) {
        self.dispatch(Event::Unused(request));
    }
}
