//! The agent's side of the record database: sends plans to the gatekeepers and stores the usage and token
//! levels that they report.
//!
//! No request and no check waits for anything in this module. Usage is acknowledged to a gatekeeper once it
//! is in the spool, a file on this host, and is uploaded when the database is reachable. The decisions are
//! made in `frostvale-record`: when to upload (`upload`), and which token levels a restarted gatekeeper gets
//! back (`restore`).

mod lifecycle;
mod plans;

use crate::clock::unix_ms;
use crate::config;
use crate::process_tables::{class_name, plan_index_of_key, plan_key_at, plan_name};
use frostvale::min_local_limit_share;
use frostvale_link::agent::Link;
use frostvale_link::proto::{Level as WireLevel, UseBatch, Welcome};
use frostvale_proto::agent::Record as Status;
use frostvale_record::model::{Snapshot, TokenLevel, UsageBatch, UsageGap, UsageLine};
use frostvale_record::restore::{IncarnationEnd, RefillRates, restored_levels};
use frostvale_record::spool::Spool;
use frostvale_record::upload::{NextUpload, UploadNotice, UploadScheduler, UploadSettings};
use frostvale_record::{Backend, Error, Op, Reply};
use std::collections::{HashMap, HashSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

/// Capacity of the queue of usage batches that wait to be spooled. Batches beyond it are dropped
/// unacknowledged.
const MAX_PENDING_BATCHES: usize = 1024;
/// Limit of batches in one write to the spool.
const MAX_BATCHES_PER_SPOOL_WRITE: usize = 64;
/// Limit of token levels of one gatekeeper that one round saves to the database.
const MAX_LEVELS_PER_SAVE: usize = 2000;
/// Limit of token levels kept in memory for one gatekeeper; levels of further shops are ignored.
const MAX_LEVELS_PER_GATEKEEPER: usize = 1_000_000;
/// How long a connecting gatekeeper waits for the database's data on its previous incarnation.
const PREVIOUS_INCARNATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Older token levels are not loaded: their buckets have refilled since.
const MAX_LEVEL_AGE_MS: i64 = 24 * 3600 * 1000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What is known of one incarnation of a gatekeeper: the time from its start to its end.
#[derive(Default)]
struct Incarnation {
    /// When it started, in Unix milliseconds; 0 while no incarnation is known.
    epoch_ms: i64,
    /// Whether its final usage report has been received.
    ended: bool,
    /// When its link was lost, in Unix milliseconds; 0 while it is connected.
    disconnected_ms: i64,
    /// The highest sequence number among its batches.
    last_seq: i64,
    /// The latest end of the periods that its batches cover, in Unix milliseconds.
    last_to_ms: i64,
    /// The sequence number of its last batch when it answered this agent's stop announcement.
    reported: Option<i64>,
    /// The latest token level of each bucket, by the bucket's key.
    levels: HashMap<u64, TokenLevel>,
    /// Keys of the levels that have changed since they were last saved to the database.
    dirty: HashSet<u64>,
}

/// One gatekeeper of this host.
struct Member {
    name: String,
    socket: PathBuf,
    link: Link,
    /// The current incarnation, or the last one while the gatekeeper is disconnected.
    incarnation: Mutex<Incarnation>,
    /// Incarnations whose final usage reports were read from files. Cleared when the next incarnation
    /// connects.
    from_files: Mutex<Vec<Incarnation>>,
}

/// When the incarnation of this welcome started, in Unix milliseconds.
fn epoch_ms(welcome: &Welcome) -> i64 {
    i64::try_from(welcome.started_ms).unwrap_or(i64::MAX)
}

/// Converts a bucket's token level from the wire format of the process of this welcome to the record's, as
/// received at `at_ms`. `None` if that process has no such plan.
fn to_token_level(welcome: &Welcome, l: &WireLevel, at_ms: i64) -> Option<TokenLevel> {
    Some(TokenLevel {
        key: i64::try_from(l.key).unwrap_or(i64::MAX),
        plan: plan_key_at(welcome, l.plan)?,
        store_milli: i64::try_from(l.store_milli).unwrap_or(i64::MAX),
        ceiling_milli: l.ceiling_milli,
        at_ms,
    })
}

/// A received usage batch with the gatekeeper and the incarnation that sent it.
pub struct IncomingBatch {
    /// Index of the gatekeeper.
    member: usize,
    /// The welcome of the incarnation that sent it: its start, and the lists that the batch's indexes count in.
    welcome: Arc<Welcome>,
    batch: UseBatch,
}

/// Stores the usage and token levels of this host's gatekeepers in the record database and reads plans from
/// it.
pub struct RecordKeeper {
    backend: Arc<dyn Backend>,
    spool: Spool,
    upload: Mutex<UploadScheduler>,
    /// Wakes the upload loop.
    upload_wake: Notify,
    /// Origin of the upload scheduler's clock.
    started: Instant,
    /// The longest time between two reads of the database.
    poll_interval: Duration,
    /// Name of this host in the database.
    host: String,
    members: OnceLock<Vec<Member>>,
    intake: mpsc::Sender<IncomingBatch>,
    /// Plans and fences as last read from the database.
    snapshot: Mutex<Option<Snapshot>>,
    /// Periods of unreported usage that are not in the database yet.
    unsaved_gaps: Mutex<Vec<UsageGap>>,
    /// Whether the last database operation succeeded.
    is_healthy: AtomicBool,
    /// The error of the last database operation; empty after a success.
    last_error: Mutex<String>,
    /// Batches stored in the database since the start, duplicates left out.
    stored_batches: AtomicU64,
    /// Periods of unreported usage found since the start.
    gap_count: AtomicU64,
    /// The plans' revision last sent to the gatekeepers; -1 before the first.
    pushed_revision: AtomicI64,
    /// Received batches that are not in the spool yet.
    unspooled_batches: AtomicUsize,
    /// Held while final report files are read, so that no two tasks process the same file.
    final_report_lock: tokio::sync::Mutex<()>,
    /// Whether plans are published by the council's owner of that duty instead of by each agent.
    is_council_governed: AtomicBool,
    /// When a warning about an unreadable final report file was last logged.
    last_file_warning: Mutex<Option<Instant>>,
}

impl RecordKeeper {
    /// Opens the spool and the database. An unreachable PostgreSQL is not an error: the connection is retried
    /// later.
    ///
    /// # Errors
    /// One line that names the setting or the file that cannot be used.
    pub async fn open(
        config: &config::Record,
        host: &str,
    ) -> Result<(Arc<RecordKeeper>, mpsc::Receiver<IncomingBatch>), String> {
        let location = config.location();
        location.check()?;
        let (spool, waiting, bytes) =
            Spool::open(&config.spool).await.map_err(|e| format!("record.spool: {e}"))?;
        let backend = location.open().await.map_err(|e| e.to_string())?;
        let first = timeout(location.connect_timeout + location.statement_timeout, backend.migrate()).await;
        if let Ok(Err(e)) = &first
            && !e.is_transient()
        {
            return Err(e.to_string());
        }
        let settings = UploadSettings { max_spool_bytes: config.spool_mb << 20, ..UploadSettings::default() };
        let (intake, received) = mpsc::channel(MAX_PENDING_BATCHES);
        let keeper = RecordKeeper {
            backend,
            spool,
            upload: Mutex::new(UploadScheduler::new(settings, waiting, bytes)),
            upload_wake: Notify::new(),
            started: Instant::now(),
            poll_interval: Duration::from_millis(config.poll_ms),
            host: host.to_string(),
            members: OnceLock::new(),
            intake,
            snapshot: Mutex::default(),
            unsaved_gaps: Mutex::default(),
            is_healthy: AtomicBool::new(matches!(first, Ok(Ok(_)))),
            last_error: Mutex::default(),
            stored_batches: AtomicU64::new(0),
            gap_count: AtomicU64::new(0),
            pushed_revision: AtomicI64::new(-1),
            unspooled_batches: AtomicUsize::new(0),
            final_report_lock: tokio::sync::Mutex::default(),
            is_council_governed: AtomicBool::new(false),
            last_file_warning: Mutex::default(),
        };
        Ok((Arc::new(keeper), received))
    }

    /// Starts the background tasks for these gatekeepers.
    pub fn start(
        self: &Arc<Self>,
        members: Vec<(String, PathBuf, Link)>,
        received: mpsc::Receiver<IncomingBatch>,
    ) {
        let member = |(name, socket, link)| {
            let (incarnation, from_files) = (Mutex::default(), Mutex::default());
            Member { name, socket, link, incarnation, from_files }
        };
        let _ = self.members.set(members.into_iter().map(member).collect());
        tokio::spawn(self.clone().spool_loop(received));
        tokio::spawn(self.clone().upload_loop());
        // Gatekeepers that never connect again may have left final report files too.
        let keeper = self.clone();
        tokio::spawn(async move {
            for k in 0..keeper.members.get().map_or(0, Vec::len) {
                keeper.take_final_reports(k).await;
            }
        });
        tokio::spawn(self.clone().refresh_loop());
    }

    fn member(&self, k: usize) -> Option<&Member> {
        self.members.get().and_then(|all| all.get(k))
    }

    fn elapsed_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Logs the changes of state that the upload scheduler reports.
    fn log_notices(&self, notices: Vec<UploadNotice>) {
        for notice in notices {
            match notice {
                UploadNotice::Unavailable { why } => tracing::warn!(
                    reason = why,
                    "cannot use the record database: {why}; gatekeepers keep the plans that they have, usage \
                     waits in the spool; retrying"
                ),
                UploadNotice::Recovered { after_ms } => {
                    tracing::info!("the record database is available again after {:.1} s", after_ms / 1000.0);
                }
                UploadNotice::SpoolFilling { bytes } => tracing::warn!(
                    "the spool holds {} KB and is filling up; once it is full, usage stays in the \
                     gatekeepers, and one that is killed then loses its usage: restore the record database or raise \
                     record.spool_mb",
                    bytes / 1024
                ),
                UploadNotice::SpoolFull => tracing::warn!(
                    "the spool is full: from now on usage stays in the gatekeepers, and one that is killed \
                     loses its unreported usage; nothing is lost yet"
                ),
                UploadNotice::SpoolHasRoom => tracing::info!("the spool has free space again"),
                UploadNotice::StaleData { age_ms } => tracing::info!(
                    "plans and overrides were last read {:.0} s ago; they stay in effect",
                    age_ms / 1000.0
                ),
            }
        }
    }

    /// Records whether a database operation succeeded, and its error, for `status`. Returns the result, if
    /// any.
    fn track_health<T>(&self, done: Result<T, Error>) -> Option<T> {
        match done {
            Ok(done) => {
                self.is_healthy.store(true, Ordering::Relaxed);
                lock(&self.last_error).clear();
                Some(done)
            }
            Err(e) => {
                self.is_healthy.store(false, Ordering::Relaxed);
                *lock(&self.last_error) = e.to_string();
                None
            }
        }
    }

    // ---- usage ----

    /// Queues a usage batch of gatekeeper `k`, sent by the incarnation of this welcome. A batch that does not
    /// fit is not acknowledged, and the gatekeeper sends it again.
    pub fn receive_batch(&self, k: usize, welcome: Arc<Welcome>, batch: UseBatch) {
        self.unspooled_batches.fetch_add(1, Ordering::AcqRel);
        if self.intake.try_send(IncomingBatch { member: k, welcome, batch }).is_err() {
            self.unspooled_batches.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Moves queued batches into the spool.
    async fn spool_loop(self: Arc<Self>, mut received: mpsc::Receiver<IncomingBatch>) {
        let mut all = Vec::with_capacity(MAX_BATCHES_PER_SPOOL_WRITE);
        loop {
            let count = received.recv_many(&mut all, MAX_BATCHES_PER_SPOOL_WRITE).await;
            if count == 0 {
                return;
            }
            self.spool_batches(&mut all).await;
            self.unspooled_batches.fetch_sub(count, Ordering::AcqRel);
        }
    }

    /// Writes batches to the spool and then acknowledges them to their gatekeepers. Batches that the spool
    /// has no space for are dropped without an acknowledgement.
    async fn spool_batches(&self, all: &mut Vec<IncomingBatch>) {
        let mut batches = Vec::new();
        let mut from = Vec::new();
        let mut size = 0;
        for IncomingBatch { member: k, welcome, batch: wire_batch } in all.drain(..) {
            let Some(batch) = self.to_usage_batch(k, &welcome, &wire_batch) else { continue };
            let bytes = Spool::size_bytes(&batch);
            if !lock(&self.upload).can_spool(size + bytes) {
                continue;
            }
            size += bytes;
            from.push((k, batch.epoch_ms, wire_batch.seq, bytes, batch.to_ms, wire_batch.last));
            batches.push(batch);
        }
        let notices = lock(&self.upload).take_notices();
        self.log_notices(notices);
        if batches.is_empty() {
            return;
        }
        match self.spool.append(batches).await {
            Ok(new) => {
                let mut spooled: HashMap<(usize, i64), Vec<u64>> = HashMap::new();
                for ((k, epoch_ms, seq, bytes, to_ms, last), new) in from.into_iter().zip(new) {
                    if new {
                        lock(&self.upload).batch_spooled(bytes);
                    }
                    spooled.entry((k, epoch_ms)).or_default().push(seq);
                    if let Some(member) = self.member(k) {
                        let mut incarnation = lock(&member.incarnation);
                        if incarnation.epoch_ms != epoch_ms {
                            continue;
                        }
                        incarnation.last_seq =
                            incarnation.last_seq.max(i64::try_from(seq).unwrap_or(i64::MAX));
                        incarnation.last_to_ms = incarnation.last_to_ms.max(to_ms);
                        incarnation.ended |= last;
                    }
                }
                for ((k, epoch_ms), numbers) in spooled {
                    if let Some(member) = self.member(k) {
                        member.link.acknowledge_usage(u64::try_from(epoch_ms).unwrap_or(0), numbers);
                    }
                }
                let notices = lock(&self.upload).take_notices();
                self.log_notices(notices);
                self.upload_wake.notify_one();
            }
            Err(e) => {
                tracing::warn!("cannot write to the spool: {e}; usage stays in the gatekeepers");
                sleep(Duration::from_millis(500)).await;
            }
        }
    }

    /// Converts a batch from the wire format of the incarnation of this welcome to the record's. Plans and
    /// classes that are not in its lists are stored by their number. `None` if there is no gatekeeper `k`.
    fn to_usage_batch(&self, k: usize, welcome: &Welcome, wire_batch: &UseBatch) -> Option<UsageBatch> {
        let member = self.member(k)?;
        let int = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let line = |l: &frostvale_link::proto::UseLine| UsageLine {
            shop: l.shop.clone(),
            plan: plan_name(welcome, l.plan).map_or_else(|| format!("plan {}", l.plan), str::to_string),
            class: class_name(welcome, l.class).map_or_else(|| format!("class {}", l.class), str::to_string),
            passed_milli: int(l.passed_milli),
            refused_milli: int(l.refused_milli),
            served_milli: int(l.served_milli),
        };
        Some(UsageBatch {
            instance: member.name.clone(),
            epoch_ms: epoch_ms(welcome),
            seq: int(wire_batch.seq),
            from_ms: int(wire_batch.from_ms),
            to_ms: int(wire_batch.to_ms),
            last: wire_batch.last,
            revision: int(wire_batch.revision),
            lines: wire_batch.lines.iter().map(line).collect(),
        })
    }

    /// Uploads spooled batches whenever the upload scheduler says so.
    async fn upload_loop(self: Arc<Self>) {
        loop {
            let next = lock(&self.upload).next_upload(self.elapsed_ms());
            match next {
                NextUpload::Idle => self.upload_wake.notified().await,
                NextUpload::Wait(at) => {
                    let ms = (at - self.elapsed_ms()).max(1.0);
                    sleep(Duration::from_secs_f64(ms / 1000.0)).await;
                }
                NextUpload::Send(limit) => {
                    let done = self.upload_oldest(limit).await;
                    let notices = {
                        let mut upload = lock(&self.upload);
                        match done {
                            Ok((count, bytes)) => upload.batches_stored(self.elapsed_ms(), count, bytes),
                            Err(e) => upload.upload_failed(self.elapsed_ms(), &e.to_string()),
                        }
                        upload.take_notices()
                    };
                    self.log_notices(notices);
                }
            }
        }
    }

    /// Uploads up to `limit` of the oldest batches and removes them from the spool. Returns their count and
    /// their size in bytes.
    async fn upload_oldest(&self, limit: usize) -> Result<(usize, u64), Error> {
        let oldest = self.spool.oldest(limit).await?;
        let batches = oldest.iter().map(|s| s.batch.clone()).collect();
        let done = self.backend.run(Op::Append { batches, now_ms: unix_ms() }).await;
        if let Err(e) = &done {
            *lock(&self.last_error) = e.to_string();
            self.is_healthy.store(false, Ordering::Relaxed);
        }
        let reply = done?;
        self.is_healthy.store(true, Ordering::Relaxed);
        if let Reply::Stored(new) = &reply {
            self.stored_batches.fetch_add(new.iter().filter(|new| **new).count() as u64, Ordering::Relaxed);
        }
        self.spool.remove(oldest.iter().map(|s| s.id).collect()).await?;
        Ok((oldest.len(), oldest.iter().map(|s| s.bytes).sum()))
    }

    // ---- incarnations of gatekeepers ----

    /// Records the token levels that gatekeeper `k` reports in the incarnation of this welcome.
    pub fn receive_levels(&self, k: usize, welcome: &Welcome, levels: &[WireLevel]) {
        let Some(member) = self.member(k) else { return };
        let at_ms = unix_ms();
        let mut incarnation = lock(&member.incarnation);
        if incarnation.epoch_ms != epoch_ms(welcome) {
            return;
        }
        for l in levels {
            if incarnation.levels.len() >= MAX_LEVELS_PER_GATEKEEPER
                && !incarnation.levels.contains_key(&l.key)
            {
                continue;
            }
            let Some(level) = to_token_level(welcome, l, at_ms) else { continue };
            incarnation.levels.insert(l.key, level);
            incarnation.dirty.insert(l.key);
        }
    }

    /// Handles the loss of the link to gatekeeper `k`. Processes its final report file, if it has written
    /// one.
    pub async fn gatekeeper_disconnected(&self, k: usize) {
        if let Some(member) = self.member(k) {
            lock(&member.incarnation).disconnected_ms = unix_ms();
            self.take_final_reports(k).await;
        }
    }

    /// Handles a new link to gatekeeper `k`. A restarted gatekeeper gets the token levels that may be
    /// restored from its previous incarnation. Every gatekeeper gets the plans.
    pub async fn gatekeeper_connected(&self, k: usize, welcome: &Arc<Welcome>) {
        let Some(member) = self.member(k) else { return };
        let epoch_ms = epoch_ms(welcome);
        if lock(&member.incarnation).epoch_ms != epoch_ms {
            self.take_final_reports(k).await;
            // The database, the spool and the files may each hold newer data on the previous incarnation than
            // this agent.
            let former = self.previous_incarnation(member, epoch_ms).await;
            *lock(&member.incarnation) = former;
        }
        let now_ms = unix_ms();
        let (levels, gap) = {
            let mut incarnation = lock(&member.incarnation);
            let new = incarnation.epoch_ms != epoch_ms;
            let mut levels = Vec::new();
            let mut gap = None;
            if new && incarnation.epoch_ms != 0 {
                let seen_ms =
                    if incarnation.disconnected_ms > 0 { incarnation.disconnected_ms } else { now_ms };
                let end = if incarnation.ended {
                    IncarnationEnd::Graceful
                } else {
                    IncarnationEnd::Killed { seen_ms }
                };
                for (key, level) in &incarnation.levels {
                    let Some(plan_index) = plan_index_of_key(welcome, level.plan) else { continue };
                    let Some(plan) = welcome.plans.get(plan_index as usize) else { continue };
                    let int = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
                    // The smallest share of the ceiling that this gatekeeper can have for any shop.
                    let min_share =
                        min_local_limit_share(plan.rate_milli as f64, plan.ceiling_rate_milli as f64);
                    let share = min_share / f64::from(welcome.gateways.max(1));
                    let local_share = |n: u64| (n as f64 * share) as i64;
                    let refill_rates = RefillRates {
                        rate_milli: int(plan.rate_milli),
                        burst_milli: int(plan.burst_milli),
                        ceiling_rate_milli: local_share(plan.ceiling_rate_milli),
                        ceiling_burst_milli: local_share(plan.ceiling_burst_milli),
                    };
                    let (store, ceiling) = restored_levels(level, &refill_rates, end, now_ms);
                    levels.push(WireLevel {
                        key: *key,
                        plan: plan_index,
                        store_milli: u64::try_from(store).unwrap_or(0),
                        ceiling_milli: ceiling,
                    });
                }
                if !incarnation.ended {
                    gap = Some(UsageGap {
                        instance: member.name.clone(),
                        epoch_ms: incarnation.epoch_ms,
                        after_seq: incarnation.last_seq,
                        from_ms: incarnation.last_to_ms,
                        to_ms: seen_ms,
                        why: "it ended without its last word: use after this batch is not known".into(),
                    });
                }
            }
            if new {
                *incarnation = Incarnation { epoch_ms, ..Incarnation::default() };
            }
            incarnation.disconnected_ms = 0;
            (levels, gap)
        };
        if !levels.is_empty() {
            tracing::info!(
                instance = member.name,
                "{}: {} stores are restored from its previous incarnation",
                member.name,
                levels.len()
            );
            member.link.send_levels(welcome, &levels);
        }
        if let Some(gap) = gap {
            tracing::warn!(
                instance = gap.instance,
                "{}: its previous incarnation ended without a final usage report; unreported usage from \
                 {} to {} ms (Unix time) is unknown, and not estimated",
                gap.instance,
                gap.from_ms,
                gap.to_ms
            );
            self.gap_count.fetch_add(1, Ordering::Relaxed);
            lock(&self.unsaved_gaps).push(gap);
        }
        if let Some(plans) = self.current_plans() {
            member.link.send_plans(plans);
        }
        self.upload_wake.notify_one();
    }

    /// Loads the last incarnation of a gatekeeper from the database. `None` if there is none or an operation
    /// fails.
    async fn load_previous_incarnation(&self, name: &str) -> Option<Incarnation> {
        let Ok(Reply::Instances(all)) = self.backend.run(Op::Instances).await else { return None };
        let (_, _, epoch_ms, seen_ms, _) = all.into_iter().find(|(n, ..)| n == name)?;
        let watermark = Op::Watermark { instance: name.into(), epoch_ms };
        let Ok(Reply::Watermark(watermark, _)) = self.backend.run(watermark).await else { return None };
        let (last_seq, last_to_ms, ended) = watermark.unwrap_or((0, seen_ms, false));
        let old = unix_ms() - MAX_LEVEL_AGE_MS;
        let levels = Op::Levels { instance: name.into(), since_ms: old };
        let Ok(Reply::Levels(levels)) = self.backend.run(levels).await else { return None };
        let levels = levels.into_iter().map(|l| (u64::try_from(l.key).unwrap_or(0), l)).collect();
        Some(Incarnation { epoch_ms, ended, last_seq, last_to_ms, levels, ..Incarnation::default() })
    }

    // ---- plans ----

    /// Reads the database whenever it has changed and at every poll interval, sends changed plans to the
    /// gatekeepers, and saves incarnations, token levels and gaps.
    async fn refresh_loop(self: Arc<Self>) {
        let mut sent = None;
        let mut migrated = self.is_healthy.load(Ordering::Relaxed);
        let mut first = true;
        loop {
            if !first {
                self.backend.changed(self.poll_interval).await;
            }
            first = false;
            if !migrated {
                migrated = self.track_health(self.backend.migrate().await).is_some();
            }
            let loaded = if migrated { self.track_health(self.load().await) } else { None };
            let notices = {
                let mut upload = lock(&self.upload);
                match &loaded {
                    Some(_) => upload.data_loaded(self.elapsed_ms()),
                    None => {
                        let why = lock(&self.last_error).clone();
                        upload.load_failed(self.elapsed_ms(), &why);
                    }
                }
                upload.take_notices()
            };
            self.log_notices(notices);
            if let Some(Reply::Snapshot(snapshot)) = loaded {
                *lock(&self.snapshot) = Some(snapshot);
                let plans = self.current_plans();
                if plans != sent {
                    sent.clone_from(&plans);
                    if let Some(plans) = plans {
                        self.pushed_revision
                            .store(i64::try_from(plans.revision).unwrap_or(0), Ordering::Relaxed);
                        for member in self.members.get().into_iter().flatten() {
                            member.link.send_plans(plans.clone());
                        }
                    }
                }
                self.save_state().await;
            } else if !self.is_healthy.load(Ordering::Relaxed) {
                sleep(self.poll_interval.min(Duration::from_millis(500))).await;
            }
        }
    }

    /// Saves incarnations, token levels and gaps to the database. Whatever fails is retried in the next
    /// round.
    async fn save_state(&self) {
        let now_ms = unix_ms();
        let revision = self.pushed_revision.load(Ordering::Relaxed).max(0);
        for member in self.members.get().into_iter().flatten() {
            let (epoch_ms, levels) = {
                let mut incarnation = lock(&member.incarnation);
                let dirty_keys: Vec<u64> =
                    incarnation.dirty.iter().copied().take(MAX_LEVELS_PER_SAVE).collect();
                let levels: Vec<TokenLevel> =
                    dirty_keys.iter().filter_map(|key| incarnation.levels.get(key).copied()).collect();
                for key in &dirty_keys {
                    incarnation.dirty.remove(key);
                }
                (incarnation.epoch_ms, levels)
            };
            if epoch_ms == 0 || member.link.welcome().is_none() {
                continue;
            }
            let (name, host) = (member.name.clone(), self.host.clone());
            let seen = Op::Seen { name: name.clone(), host, epoch_ms, now_ms, revision };
            let mut saved = self.track_health(self.backend.run(seen).await).is_some();
            if saved && !levels.is_empty() {
                let save = Op::SaveLevels { instance: name, levels: levels.clone() };
                saved = self.track_health(self.backend.run(save).await).is_some();
            }
            if !saved {
                let mut incarnation = lock(&member.incarnation);
                incarnation.dirty.extend(levels.iter().map(|l| u64::try_from(l.key).unwrap_or(0)));
                return;
            }
        }
        let gaps = std::mem::take(&mut *lock(&self.unsaved_gaps));
        for (k, gap) in gaps.iter().enumerate() {
            if self.track_health(self.backend.run(Op::Gap(gap.clone())).await).is_none() {
                lock(&self.unsaved_gaps).extend_from_slice(&gaps[k..]);
                return;
            }
        }
    }

    /// The state of the record for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let upload = lock(&self.upload);
        let now = self.elapsed_ms();
        let revision = lock(&self.snapshot).as_ref().map_or(0, |s| s.revision);
        let problem = lock(&self.last_error).clone();
        let state = if self.is_healthy.load(Ordering::Relaxed) { "sound" } else { "away" };
        Status {
            kind: self.backend.kind().into(),
            state: state.into(),
            problem: if state == "sound" { String::new() } else { problem },
            revision: u64::try_from(revision).unwrap_or(0),
            age_ms: upload.data_age(now).map_or(u64::MAX, |age| age as u64),
            spool_batches: upload.waiting() as u64,
            spool_bytes: upload.bytes(),
            away_ms: upload.unavailable_since().map_or(0, |since| (now - since) as u64),
            landed: self.stored_batches.load(Ordering::Relaxed),
            gaps: self.gap_count.load(Ordering::Relaxed),
        }
    }
}
