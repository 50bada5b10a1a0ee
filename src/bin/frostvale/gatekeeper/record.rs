//! Use, plans and levels, for the store of record.

use super::Gatekeeper;
use crate::usage::{Usage, UsageKind};
use frostvale::{BucketSnapshot, Event, Plan, Request, Settings};

impl Gatekeeper {
    /// Begins to count use.
    pub fn enable_usage(&mut self, ahead: i64) {
        let now = (self.now().max(0.0) as u64).saturating_add_signed(ahead);
        self.usage = Some(Usage::new(now));
    }

    /// The use of this life, where it is counted.
    pub fn usage(&mut self) -> Option<&mut Usage> {
        self.usage.as_mut()
    }

    /// Counts the units of a check that were granted, or not.
    pub fn count_check(&mut self, request: &Request, granted: bool) {
        let what = if granted { UsageKind::Passed } else { UsageKind::Refused };
        if let Some(usage) = &mut self.usage {
            usage.count(&request.customer, request.plan, request.class, request.units, what);
        }
    }

    pub(super) fn count(&mut self, id: u64, what: UsageKind) {
        let (Some(usage), Some(r)) = (&mut self.usage, self.requests.get(&id)) else { return };
        usage.count(&r.ask.customer, r.ask.plan, r.ask.class, r.ask.units, what);
    }

    /// A command has come whole to a worker.
    pub(super) fn passed(&mut self, id: u64) {
        if self.usage.is_none() {
            return;
        }
        if let Some(r) = self.requests.get_mut(&id)
            && !std::mem::replace(&mut r.passed, true)
        {
            self.count(id, UsageKind::Passed);
        }
    }

    /// The plans' figures have changed. An error says why they are not taken.
    pub fn set_plans(&mut self, plans: Vec<Plan>) -> Result<(), String> {
        let fresh = Settings { plans: plans.clone(), ..self.settings.clone() };
        fresh.check().map_err(|e| e.to_string())?;
        self.settings = fresh;
        self.event(Event::Plans(plans));
        Ok(())
    }

    /// What stores held in a former life.
    pub fn restore(&mut self, levels: Vec<BucketSnapshot>) {
        self.event(Event::Restore(levels));
    }

    /// What stores hold, some parts of the customers at a time.
    pub fn levels(&self, part: usize, most: usize) -> (Vec<BucketSnapshot>, Option<usize>) {
        self.control.bucket_snapshots(part, most)
    }

    /// What a granted check took was not used.
    pub fn refund_check(&mut self, request: Request) {
        self.event(Event::Unused(request));
    }
}
