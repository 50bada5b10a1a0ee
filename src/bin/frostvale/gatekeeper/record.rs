//! Use, plans and levels, for the store of record.

use super::Gatekeeper;
use crate::usage::{Usage, UsageKind};
use frostvale::{BucketSnapshot, Event, Plan, Request, Settings};

impl Gatekeeper {
    /// Begins to count use.
    pub fn enable_usage(&mut self, clock_offset_ms: i64) {
        let now = (self.now().max(0.0) as u64).saturating_add_signed(clock_offset_ms);
        self.usage = Some(Usage::new(now));
    }

    /// The use of this life, where it is counted.
    pub fn usage(&mut self) -> Option<&mut Usage> {
        self.usage.as_mut()
    }

    /// Counts the units of a check that were granted, or not.
    pub fn count_check(&mut self, request: &Request, granted: bool) {
        let kind = if granted { UsageKind::Passed } else { UsageKind::Refused };
        if let Some(usage) = &mut self.usage {
            usage.count(&request.customer, request.plan, request.class, request.units, kind);
        }
    }

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

    /// A command has come whole to a worker.
    pub(super) fn command_delivered(&mut self, id: u64) {
        if self.usage.is_none() {
            return;
        }
        if let Some(r) = self.requests.get_mut(&id)
            && !std::mem::replace(&mut r.is_delivered, true)
        {
            self.count_usage(id, UsageKind::Passed);
        }
    }

    /// The plans' figures have changed. An error says why they are not taken.
    pub fn set_plans(&mut self, plans: Vec<Plan>) -> Result<(), String> {
        let updated = Settings { plans: plans.clone(), ..self.settings.clone() };
        updated.check().map_err(|e| e.to_string())?;
        self.settings = updated;
        self.dispatch(Event::Plans(plans));
        Ok(())
    }

    /// What stores held in a former life.
    pub fn restore(&mut self, levels: Vec<BucketSnapshot>) {
        self.dispatch(Event::Restore(levels));
    }

    /// What stores hold, some parts of the customers at a time.
    pub fn levels(&self, first_chunk: usize, max_chunks: usize) -> (Vec<BucketSnapshot>, Option<usize>) {
        self.control.bucket_snapshots(first_chunk, max_chunks)
    }

    /// What a granted check took was not used.
    pub fn refund_check(&mut self, request: Request) {
        self.dispatch(Event::Unused(request));
    }
}
