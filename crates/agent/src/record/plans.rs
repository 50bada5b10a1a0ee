//! Plans for gatekeepers: those in effect, and by whose decision.

use super::{RecordKeeper, lock};
use crate::clock::unix_ms;
use crate::duties::PUBLISH_DUTY;
use frostvale_link::proto::{Fence, Plan as PlanWord, Plans};
use frostvale_record::{Backend, Error, Op, Reply};
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl RecordKeeper {
    /// The database.
    #[must_use]
    pub fn backend(&self) -> Arc<dyn Backend> {
        self.backend.clone()
    }

    /// From now on a council says who has plans take effect.
    pub fn set_council_governed(&self) {
        self.governed.store(true, Ordering::Relaxed);
    }

    /// All that gatekeepers are to know, with every plan published whose time has come: by the council's owner of that
    /// duty where there is one, else by whichever agent sees it first.
    pub(super) async fn load(&self) -> Result<Reply, Error> {
        let loaded = self.backend.run(Op::Load).await?;
        let now_ms = unix_ms();
        let governed = self.governed.load(Ordering::Relaxed);
        match loaded {
            Reply::Snapshot(snapshot) if !governed && snapshot.has_due(now_ms) => {
                match self.backend.run(Op::PublishDue { now_ms }).await {
                    Ok(_) => self.backend.run(Op::Load).await,
                    // What is published already goes on.
                    Err(_) => Ok(Reply::Snapshot(snapshot)),
                }
            }
            loaded => Ok(loaded),
        }
    }

    /// The plans that are in effect by now, and by whose decision where there is a council.
    pub(crate) fn current_plans(&self) -> Option<Plans> {
        let snapshot = lock(&self.snapshot);
        let snapshot = snapshot.as_ref()?;
        let governed = self.governed.load(Ordering::Relaxed);
        let fence = match governed {
            true => Some(snapshot.fences.iter().find(|f| f.duty == PUBLISH_DUTY)?),
            false => None,
        };
        let fence = fence.map(|f| Fence {
            duty: f.duty.clone(),
            epoch: u64::try_from(f.epoch).unwrap_or(0),
            owner: f.owner.clone(),
        });
        let units = |milli: i64| u64::try_from(milli).unwrap_or(0);
        let plans = snapshot.published.iter().map(|published| &published.plan).map(|plan| PlanWord {
            name: plan.name.clone(),
            rate_milli: units(plan.rate_milli),
            burst_milli: units(plan.burst_milli),
            ceiling_rate_milli: units(plan.ceiling_rate_milli),
            ceiling_burst_milli: units(plan.ceiling_burst_milli),
            ceiling_slack_milli: units(plan.ceiling_slack_milli),
            open: u32::try_from(plan.open).unwrap_or(0),
        });
        Some(Plans {
            revision: u64::try_from(snapshot.published_revision).unwrap_or(0),
            plans: plans.collect(),
            fence,
        })
    }
}
