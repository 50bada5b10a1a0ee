//! What is done once for the whole fleet, in bounded steps that may be cut off between any two, and in them: the record
//! takes each as a whole or not at all.

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

/// Plans whose time has come take effect.
pub const PUBLISH_DUTY: &str = "publish";
const ROLL_UP: &str = "roll-up";
const GAPS: &str = "gaps";
const RETENTION: &str = "retention";
const EXPORT: &str = "export";
/// Duties for drills begin so.
const DRILL: &str = "drill-";

/// Batches that one step rolls up.
const ROLL_AT_ONCE: i64 = 128;
/// Batches of one life that one step lets go of.
const RETAIN_AT_ONCE: i64 = 1000;
/// Rows of a part of the export.
const EXPORT_AT_ONCE: i64 = 50_000;
const SOON: Duration = Duration::from_millis(20);

/// A step that is done.
pub struct StepDone {
    /// What it did, in a word or two.
    pub note: String,
    /// When the next one is due.
    pub again: Duration,
}

/// A step that is not.
#[derive(Debug)]
pub enum StepError {
    /// The lease ran out before its effect.
    LeaseExpired,
    /// The effect was refused: a later owner has been there.
    Fenced {
        /// The epoch that stands.
        stands: u64,
        /// Whose it is.
        by: String,
    },
    /// Anything else; it is tried again.
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

/// What an owner remembers from step to step: the lives of gatekeepers, and since when they are as they are.
#[derive(Default)]
pub struct StepMemory {
    lives: HashMap<String, (i64, i64, Instant)>,
}

/// Does steps.
pub struct Worker {
    backend: Option<Arc<dyn Backend>>,
    duties: Duties,
    drill: Drill,
    clock: Clock,
    zones: Option<Arc<Zones>>,
    audit: Option<Arc<Audit>>,
}

impl Worker {
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

    /// The duties that this agent can do.
    #[must_use]
    pub fn duties(&self) -> Vec<String> {
        let mut all: Vec<String> = (0..self.drill.duties).map(|k| format!("{DRILL}{k}")).collect();
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

    /// One step of a duty.
    pub(crate) async fn step(
        self: Arc<Self>,
        lease: Lease,
        memory: Arc<Mutex<StepMemory>>,
    ) -> Result<StepDone, StepError> {
        let secs = Duration::from_secs;
        match lease.duty() {
            ROLL_UP => {
                let done = self.did(&lease, FleetWork::RollUp { limit: ROLL_AT_ONCE }).await?;
                let again = if done > 0 { SOON } else { Duration::from_millis(500) };
                Ok(StepDone { note: format!("{done} batches"), again })
            }
            GAPS => {
                let silent = self.silent(&mut *memory.lock().await).await?;
                let done = self.did(&lease, FleetWork::FindGaps { silent }).await?;
                Ok(StepDone { note: format!("{done} gaps found"), again: secs(5) })
            }
            RETENTION => {
                let before_ms =
                    unix_ms() - i64::from(self.duties.keep_days) * frostvale_record::fleet::DAY_MS;
                let done = self.did(&lease, FleetWork::Retain { before_ms, limit: RETAIN_AT_ONCE }).await?;
                Ok(StepDone {
                    note: format!("{done} rows let go"),
                    again: if done > 0 { SOON * 5 } else { secs(60) },
                })
            }
            PUBLISH_DUTY => {
                let done = self.did(&lease, FleetWork::Publish).await?;
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

    /// An effect in the record: there is no way to one but by a lease that holds now.
    pub(crate) async fn effect(&self, lease: &Lease, work: FleetWork) -> Result<Reply, StepError> {
        let Some(backend) = &self.backend else { return Ok(Reply::Done) };
        let fence = lease.fence(self.clock.now())?;
        Ok(backend.run(Op::ForFleet { fence, work, now_ms: unix_ms() }).await?)
    }

    async fn did(&self, lease: &Lease, work: FleetWork) -> Result<u64, StepError> {
        match self.effect(lease, work).await? {
            Reply::Affected(n) => Ok(n),
            _ => Ok(0),
        }
    }

    /// Lives of gatekeepers of which nothing was heard for long enough, by this agent's own clock.
    async fn silent(&self, memory: &mut StepMemory) -> Result<Vec<(String, i64)>, StepError> {
        let Some(backend) = &self.backend else { return Ok(Vec::new()) };
        let Reply::Instances(all) = backend.run(Op::Instances).await? else { return Ok(Vec::new()) };
        let now = Instant::now();
        let after = Duration::from_secs(u64::from(self.duties.gap_after_s));
        memory.lives.retain(|name, _| all.iter().any(|(n, ..)| n == name));
        let mut silent = Vec::new();
        for (name, _, epoch_ms, seen_ms, _) in all {
            let known = memory.lives.entry(name.clone()).or_insert((epoch_ms, seen_ms, now));
            if (known.0, known.1) != (epoch_ms, seen_ms) {
                *known = (epoch_ms, seen_ms, now);
            } else if now.duration_since(known.2) >= after {
                silent.push((name, epoch_ms));
            }
        }
        Ok(silent)
    }

    /// Writes the next part: begun in the record, written to the folder, finished in the record. Cut off anywhere, the next
    /// owner writes the same rows again, under its own epoch.
    async fn export(&self, lease: &Lease) -> Result<StepDone, StepError> {
        let Some(folder) = self.duties.export.clone() else {
            return Ok(StepDone { note: "no folder".into(), again: Duration::from_secs(60) });
        };
        let before_ms = unix_ms() - i64::from(self.duties.export_after_s) * 1000;
        let prepare = FleetWork::PrepareExport { before_ms, limit: EXPORT_AT_ONCE };
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
        let (csv, clock, held) = (self.duties.csv, self.clock, lease.clone());
        let written = tokio::task::spawn_blocking(move || {
            let may = || held.fence(clock.now()).map(drop).map_err(|e| e.to_string());
            frostvale_export::write(&folder, name, &rows, csv, may)
        });
        let digest = written.await.map_err(|e| StepError::Failed(e.to_string()))?;
        let digest = digest.map_err(|e| StepError::Failed(e.to_string()))?;
        self.effect(lease, FleetWork::FinishExport { number: part.number, digest }).await?;
        Ok(StepDone { note: format!("part {}, {count} rows", part.number), again: SOON })
    }

    async fn drill_step(&self, lease: &Lease, name: &str) -> Result<StepDone, StepError> {
        tokio::time::sleep(Duration::from_millis(self.drill.step_ms)).await;
        if name.strip_prefix(DRILL) == Some(&self.drill.crashes.to_string()) {
            panic!("this duty crashes, for the drill");
        }
        if name.strip_prefix(DRILL) == Some(&self.drill.aborts.to_string()) {
            std::process::abort();
        }
        self.effect(lease, FleetWork::Touch).await?;
        Ok(StepDone { note: "drilled".into(), again: Duration::from_millis(self.drill.pause_ms) })
    }
}
