//! Plans for gatekeepers: those in effect, and by whose decision.

use super::{Keeper, lock};
use crate::clock::unix_ms;
use crate::duties::PUBLISH;
use frostvale_link::proto::{Fence, Plan as PlanWord, Plans};
use frostvale_record::Backend;
use frostvale_record::model::{Kept, Plan};
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
        let holds = |kept: &&Kept<Plan>| match governed {
            true => snapshot.published.iter().any(|(n, r)| *n == kept.it.name && *r == kept.revision),
            false => kept.it.from_ms <= now_ms,
        };
        let units = |milli: i64| u64::try_from(milli).unwrap_or(0);
        let plans = snapshot.plans.iter().filter(holds).map(|kept| PlanWord {
            name: kept.it.name.clone(),
            rate_milli: units(kept.it.rate_milli),
            burst_milli: units(kept.it.burst_milli),
            ceiling_rate_milli: units(kept.it.ceiling_rate_milli),
            ceiling_burst_milli: units(kept.it.ceiling_burst_milli),
            ceiling_slack_milli: units(kept.it.ceiling_slack_milli),
            open: u32::try_from(kept.it.open).unwrap_or(0),
        });
        Some(Plans { revision: u64::try_from(snapshot.revision).unwrap_or(0), plans: plans.collect(), fence })
    }
}
