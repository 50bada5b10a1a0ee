//! Plans for gatekeepers: those in effect, and by whose decision.

use super::{Keeper, lock};
use crate::clock::unix_ms;
use crate::duties::PUBLISH;
use frostvale_link::proto::{Fence, Plan as PlanWord, Plans};
use frostvale_record::Backend;
use frostvale_record::model::Plan;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl Keeper {
    /// The database.
    #[must_use]
    pub fn backend(&self) -> Arc<dyn Backend> {
        self.backend.clone()
    }

    /// From now on a council says who has plans take effect.
    pub fn govern(&self) {
        self.governed.store(true, Ordering::Relaxed);
    }

    /// The plans that are in effect by now, and by whose decision where there is a council.
    pub(crate) fn plans(&self) -> Option<Plans> {
        let snapshot = lock(&self.snapshot);
        let snapshot = snapshot.as_ref()?;
        let now_ms = unix_ms();
        let governed = self.governed.load(Ordering::Relaxed);
        let fence = match governed {
            true => Some(snapshot.fences.iter().find(|f| f.duty == PUBLISH)?),
            false => None,
        };
        let fence = fence.map(|f| Fence {
            duty: f.duty.clone(),
            epoch: u64::try_from(f.epoch).unwrap_or(0),
            owner: f.owner.clone(),
        });
        let (plans, revision): (Vec<&Plan>, i64) = match governed {
            true => (snapshot.published.iter().map(|p| &p.plan).collect(), snapshot.published_revision),
            false => (
                snapshot.plans.iter().map(|kept| &kept.it).filter(|plan| plan.from_ms <= now_ms).collect(),
                snapshot.revision,
            ),
        };
        let units = |milli: i64| u64::try_from(milli).unwrap_or(0);
        let plans = plans.into_iter().map(|plan| PlanWord {
            name: plan.name.clone(),
            rate_milli: units(plan.rate_milli),
            burst_milli: units(plan.burst_milli),
            ceiling_rate_milli: units(plan.ceiling_rate_milli),
            ceiling_burst_milli: units(plan.ceiling_burst_milli),
            ceiling_slack_milli: units(plan.ceiling_slack_milli),
            open: u32::try_from(plan.open).unwrap_or(0),
        });
        Some(Plans { revision: u64::try_from(revision).unwrap_or(0), plans: plans.collect(), fence })
    }
}
