//! The duties: tasks that one agent carries out for the whole fleet, in bounded steps.
//!
//! A step may be interrupted at any point, also in the middle: the record applies each effect as a whole or
//! not at all, and only under a lease that holds.

use crate::audit::{AUDIT_DUTY, Audit};
use crate::clock::{Clock, unix_ms};
use crate::config::{Config, Drill, Duties};
use crate::record::RecordKeeper;
use crate::zones::{ZONES_DUTY, Zones};
use frostvale_export::{PartName, UsageRow};
use frostvale_owner::{Lease, LeaseExpired};
use frostvale_record::{Backend, Error, FleetWork, Op, Reply};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Duty that publishes plans whose time of effect has come.
pub const PUBLISH_DUTY: &str = "publish";
/// Duty that adds up usage batches.
const ROLL_UP: &str = "roll-up";
/// Duty that finds gaps in the usage reports of gatekeepers.
const GAPS: &str = "gaps";
/// Duty that removes old rows of the record.
const RETENTION: &str = "retention";
/// Duty that exports usage as files.
const EXPORT: &str = "export";
/// Prefix of the duties that exist for drills alone.
const DRILL_PREFIX: &str = "drill-";

/// Most usage batches that one step rolls up.
const MAX_BATCHES_PER_ROLL_UP: i64 = 128;
/// Most batches of one gatekeeper incarnation that one step removes.
const MAX_BATCHES_REMOVED: i64 = 1000;
/// Most rows in one part of the export.
const MAX_EXPORT_ROWS: i64 = 50_000;
/// Pause before the next step while there is more to do.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

/// Result of a step that succeeded.
pub struct StepDone {
    /// Short summary, shown to operators.
    pub note: String,
    /// Time until the next step.
    pub again: Duration,
}

/// Failure of a step.
#[derive(Debug)]
pub enum StepError {
    /// The lease expired before the effect of the step.
    LeaseExpired,
    /// The record refused the effect, because a later owner has already written to it.
    Fenced {
        /// The later epoch.
        stands: u64,
        /// Owner of the later epoch.
        by: String,
    },
    /// Any other failure, with its cause; the step is retried.
    Failed(String),
}

impl From<LeaseExpired> for StepError {
    fn from(_: LeaseExpired) -> StepError {
        StepError::LeaseExpired
    }
}

impl From<Error> for StepError {
    fn from(e: Error) -> StepError {
        match e {
            Error::Fenced { current_epoch: stands, current_owner: by, .. } => {
                StepError::Fenced { stands, by }
            }
            e => StepError::Failed(e.to_string()),
        }
    }
}

/// State that an owner keeps between steps.
#[derive(Default)]
pub struct StepMemory {
    /// By gatekeeper: its incarnation, when it was last seen, and since when both are unchanged.
    incarnations: HashMap<String, (i64, i64, Instant)>,
}

/// Carries out the steps of all duties on this agent.
pub struct Worker {
    backend: Option<Arc<dyn Backend>>,
    duties: Duties,
    drill: Drill,
    clock: Clock,
    zones: Option<Arc<Zones>>,
    audit: Option<Arc<Audit>>,
}

impl Worker {
    /// Creates the worker; a missing record, zones or audit leaves out the duties that need it.
    pub(crate) fn new(
        config: &Config,
        keeper: Option<Arc<RecordKeeper>>,
        clock: Clock,
        zones: Option<Arc<Zones>>,
        audit: Option<Arc<Audit>>,
    ) -> Worker {
        let backend = keeper.map(|k| k.backend());
        Worker { backend, duties: config.duties.clone(), drill: config.drill.clone(), clock, zones, audit }
    }

    /// Names of the duties that this agent can carry out.
    #[must_use]
    pub fn duties(&self) -> Vec<String> {
        let mut all: Vec<String> = (0..self.drill.duties).map(|k| format!("{DRILL_PREFIX}{k}")).collect();
        if self.zones.is_some() {
            all.push(ZONES_DUTY.into());
        }
        if self.audit.is_some() {
            all.push(AUDIT_DUTY.into());
        }
        if self.backend.is_some() {
            all.extend([ROLL_UP, GAPS, RETENTION, PUBLISH_DUTY].map(String::from));
            if self.duties.export.is_some() {
                all.push(EXPORT.into());
            }
        }
        all
    }

    /// Carries out one step of the duty that the lease is for.
    pub(crate) async fn step(
        self: Arc<Self>,
        lease: Lease,
        memory: Arc<Mutex<StepMemory>>,
    ) -> Result<StepDone, StepError> {
        let secs = Duration::from_secs;
        match lease.duty() {
            ROLL_UP => {
                let done =
                    self.apply_counted(&lease, FleetWork::RollUp { limit: MAX_BATCHES_PER_ROLL_UP }).await?;
                let again = if done > 0 { BUSY_PAUSE } else { Duration::from_millis(500) };
                Ok(StepDone { note: format!("{done} batches"), again })
            }
            GAPS => {
                let silent = self.silent_incarnations(&mut *memory.lock().await).await?;
                let done = self.apply_counted(&lease, FleetWork::FindGaps { silent }).await?;
                Ok(StepDone { note: format!("{done} gaps found"), again: secs(5) })
            }
            RETENTION => {
                let before_ms =
                    unix_ms() - i64::from(self.duties.keep_days) * frostvale_record::fleet::DAY_MS;
                let done = self
                    .apply_counted(&lease, FleetWork::Retain { before_ms, limit: MAX_BATCHES_REMOVED })
                    .await?;
                Ok(StepDone {
                    note: format!("{done} rows let go"),
                    again: if done > 0 { BUSY_PAUSE * 5 } else { secs(60) },
                })
            }
            PUBLISH_DUTY => {
                let done = self.apply_counted(&lease, FleetWork::Publish).await?;
                Ok(StepDone { note: format!("{done} plans published"), again: Duration::from_millis(200) })
            }
            EXPORT => self.export(&lease).await,
            ZONES_DUTY => match &self.zones {
                Some(zones) => zones.step(&lease).await,
                None => Ok(StepDone { note: "not here".into(), again: secs(1) }),
            },
            AUDIT_DUTY => match &self.audit {
                Some(audit) => audit.step(&lease, &self).await,
                None => Ok(StepDone { note: "not here".into(), again: secs(1) }),
            },
            drill => self.drill_step(&lease, drill).await,
        }
    }

    /// Applies an effect to the record. Every effect needs a lease that holds at present.
    pub(crate) async fn effect(&self, lease: &Lease, work: FleetWork) -> Result<Reply, StepError> {
        let Some(backend) = &self.backend else { return Ok(Reply::Done) };
        let fence = lease.fence(self.clock.now())?;
        Ok(backend.run(Op::ForFleet { fence, work, now_ms: unix_ms() }).await?)
    }

    /// Applies an effect and returns the number of affected rows.
    async fn apply_counted(&self, lease: &Lease, work: FleetWork) -> Result<u64, StepError> {
        match self.effect(lease, work).await? {
            Reply::Affected(n) => Ok(n),
            _ => Ok(0),
        }
    }

    /// Gatekeeper incarnations that have not reported for `gap_after_s`, measured by this agent's own clock.
    async fn silent_incarnations(&self, memory: &mut StepMemory) -> Result<Vec<(String, i64)>, StepError> {
        let Some(backend) = &self.backend else { return Ok(Vec::new()) };
        let Reply::Instances(all) = backend.run(Op::Instances).await? else { return Ok(Vec::new()) };
        let now = Instant::now();
        let after = Duration::from_secs(u64::from(self.duties.gap_after_s));
        memory.incarnations.retain(|name, _| all.iter().any(|(n, ..)| n == name));
        let mut silent = Vec::new();
        for (name, _, epoch_ms, seen_ms, _) in all {
            let known = memory.incarnations.entry(name.clone()).or_insert((epoch_ms, seen_ms, now));
            if (known.0, known.1) != (epoch_ms, seen_ms) {
                *known = (epoch_ms, seen_ms, now);
            } else if now.duration_since(known.2) >= after {
                silent.push((name, epoch_ms));
            }
        }
        Ok(silent)
    }

    /// Exports the next part: starts it in the record, writes its file and finishes it in the record. After
    /// an interruption at any point the next owner writes the same rows again, under its own epoch.
    async fn export(&self, lease: &Lease) -> Result<StepDone, StepError> {
        let Some(folder) = self.duties.export.clone() else {
            return Ok(StepDone { note: "no folder".into(), again: Duration::from_secs(60) });
        };
        let before_ms = unix_ms() - i64::from(self.duties.export_after_s) * 1000;
        let prepare = FleetWork::PrepareExport { before_ms, limit: MAX_EXPORT_ROWS };
        let Reply::Export(Some(part)) = self.effect(lease, prepare).await? else {
            return Ok(StepDone { note: "nothing new".into(), again: Duration::from_secs(2) });
        };
        let name = PartName { number: u64::try_from(part.number).unwrap_or(0), epoch: lease.epoch() };
        let count = part.rows.len();
        let rows: Vec<UsageRow> = part
            .rows
            .into_iter()
            .map(|r| UsageRow {
                day_ms: r.day_ms,
                shop: r.shop,
                plan: r.plan,
                class: r.class,
                passed_milli: r.passed_milli,
                refused_milli: r.refused_milli,
                served_milli: r.served_milli,
            })
            .collect();
        let (csv, clock, export_lease) = (self.duties.csv, self.clock, lease.clone());
        let written = tokio::task::spawn_blocking(move || {
            let check_lease = || export_lease.fence(clock.now()).map(drop).map_err(|e| e.to_string());
            frostvale_export::write(&folder, name, &rows, csv, check_lease)
        });
        let digest = written.await.map_err(|e| StepError::Failed(e.to_string()))?;
        let digest = digest.map_err(|e| StepError::Failed(e.to_string()))?;
        self.effect(lease, FleetWork::FinishExport { number: part.number, digest }).await?;
        Ok(StepDone { note: format!("part {}, {count} rows", part.number), again: BUSY_PAUSE })
    }

    /// Step of a duty for drills: waits, and panics or aborts where the drill says so.
    async fn drill_step(&self, lease: &Lease, name: &str) -> Result<StepDone, StepError> {
        tokio::time::sleep(Duration::from_millis(self.drill.step_ms)).await;
        if name.strip_prefix(DRILL_PREFIX) == Some(&self.drill.crashes.to_string()) {
            panic!("this duty crashes, for the drill");
        }
        if name.strip_prefix(DRILL_PREFIX) == Some(&self.drill.aborts.to_string()) {
            std::process::abort();
        }
        self.effect(lease, FleetWork::Touch).await?;
        Ok(StepDone { note: "drilled".into(), again: Duration::from_millis(self.drill.pause_ms) })
    }
}
