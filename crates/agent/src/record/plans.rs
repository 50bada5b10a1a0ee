//! The plans that are sent to gatekeepers, with the fence under which they were published.

use super::{RecordKeeper, lock};
use crate::clock::unix_ms;
use crate::duties::PUBLISH_DUTY;
use frostvale_link::proto::{Fence, Plan as WirePlan, Plans};
use frostvale_record::{Backend, Error, Op, Reply};
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl RecordKeeper {
    /// The record database.
    #[must_use]
    pub fn backend(&self) -> Arc<dyn Backend> {
        self.backend.clone()
    }

    /// Leaves the publishing of plans to the council's owner of that duty from now on.
    pub fn set_council_governed(&self) {
        self.is_council_governed.store(true, Ordering::Relaxed);
    }

    /// Loads plans and fences from the database. Without a council, plans that are due are published first, by
    /// whichever agent sees them first. With one, its owner of the publish duty publishes them.
    pub(super) async fn load(&self) -> Result<Reply, Error> {
        let loaded = self.backend.run(Op::Load).await?;
        let now_ms = unix_ms();
        let is_governed = self.is_council_governed.load(Ordering::Relaxed);
        match loaded {
            Reply::Snapshot(snapshot) if !is_governed && snapshot.has_due(now_ms) => {
                match self.backend.run(Op::PublishDue { now_ms }).await {
                    Ok(_) => self.backend.run(Op::Load).await,
                    // The plans that are already published stay in effect.
                    Err(_) => Ok(Reply::Snapshot(snapshot)),
                }
            }
            loaded => Ok(loaded),
        }
    }

    /// The published plans, with the fence of the publish duty where there is a council. `None` before the
    /// first load, and with a council before its first fence is known.
    pub(crate) fn current_plans(&self) -> Option<Plans> {
        let snapshot = lock(&self.snapshot);
        let snapshot = snapshot.as_ref()?;
        let is_governed = self.is_council_governed.load(Ordering::Relaxed);
        let fence = match is_governed {
            true => Some(snapshot.fences.iter().find(|f| f.duty == PUBLISH_DUTY)?),
            false => None,
        };
        let fence = fence.map(|f| Fence {
            duty: f.duty.clone(),
            epoch: u64::try_from(f.epoch).unwrap_or(0),
            owner: f.owner.clone(),
        });
        let units = |milli: i64| u64::try_from(milli).unwrap_or(0);
        let plans = snapshot.published.iter().map(|published| &published.plan).map(|plan| WirePlan {
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
