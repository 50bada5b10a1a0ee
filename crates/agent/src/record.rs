//! The store of record at an agent: plans go to the gatekeepers, use and levels come from them.
//!
//! Nothing here is waited for by a request or a check. Use is acknowledged to a gatekeeper once it is in the spool,
//! which is a file of this host; it goes to the database when that can be reached. Decisions are `frostvale-record`'s:
//! when to send (`upload`), and what a gatekeeper that comes back may be given (`restore`).

mod lifecycle;
mod plans;

use crate::clock::unix_ms;
use crate::config;
use frostvale::min_local_limit_share;
use frostvale_checks::Tier;
use frostvale_link::agent::Link;
use frostvale_link::proto::{Level as LevelWord, UseBatch, Welcome};
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

/// Batches that wait for the spool.
const INTAKE: usize = 1024;
/// Batches that go into the spool at once.
const AT_ONCE: usize = 64;
/// Levels that go to the database at once.
const LEVELS_AT_ONCE: usize = 2000;
/// Levels that are kept of one gatekeeper.
const LEVELS_MOST: usize = 1_000_000;
/// How long a gatekeeper that comes back is made to wait for what the database says of its former life.
const ASK_FOR: Duration = Duration::from_millis(700);
/// Levels as old as this are full again.
const LEVELS_OLD_MS: i64 = 24 * 3600 * 1000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One gatekeeper as the record sees it.
#[derive(Default)]
struct Incarnation {
    /// 0 while none of its lives is known.
    epoch_ms: i64,
    /// Whether it spoke its last word.
    ended: bool,
    /// Since when it is gone.
    down_ms: i64,
    last_seq: i64,
    last_to_ms: i64,
    /// How far its batches went when it answered this agent's bye.
    reported: Option<i64>,
    levels: HashMap<u64, TokenLevel>,
    dirty: HashSet<u64>,
}

struct Member {
    name: String,
    socket: PathBuf,
    link: Link,
    life: Mutex<Incarnation>,
    /// Lives whose last words were taken up from files, until the gatekeeper begins its next.
    left: Mutex<Vec<Incarnation>>,
}

/// A store's level as the record has it, heard at this time.
fn level(l: &LevelWord, at_ms: i64) -> TokenLevel {
    TokenLevel {
        key: i64::try_from(l.key).unwrap_or(i64::MAX),
        plan: i64::from(l.plan),
        store_milli: i64::try_from(l.store_milli).unwrap_or(i64::MAX),
        ceiling_milli: l.ceiling_milli,
        at_ms,
    }
}

/// A batch as it came: from which gatekeeper, and in which of its lives.
pub struct IncomingBatch {
    member: usize,
    epoch_ms: i64,
    batch: UseBatch,
}

/// The record of this host.
pub struct RecordKeeper {
    backend: Arc<dyn Backend>,
    spool: Spool,
    upload: Mutex<UploadScheduler>,
    wake: Notify,
    begun: Instant,
    poll: Duration,
    host: String,
    members: OnceLock<Vec<Member>>,
    intake: mpsc::Sender<IncomingBatch>,
    snapshot: Mutex<Option<Snapshot>>,
    gaps: Mutex<Vec<UsageGap>>,
    sound: AtomicBool,
    problem: Mutex<String>,
    landed: AtomicU64,
    gap_count: AtomicU64,
    pushed: AtomicI64,
    /// Batches that came and are not in the spool yet.
    taking: AtomicUsize,
    taking_up: tokio::sync::Mutex<()>,
    /// Plans take effect by the fleet's owner of that duty, not by each agent for itself.
    governed: AtomicBool,
    said_left: Mutex<Option<Instant>>,
}

impl RecordKeeper {
    /// Opens spool and database. A PostgreSQL that is not there is no hindrance.
    ///
    /// # Errors
    /// One line on what can't be used.
    pub async fn open(
        config: &config::Record,
        host: &str,
    ) -> Result<(Arc<RecordKeeper>, mpsc::Receiver<IncomingBatch>), String> {
        let place = config.location();
        place.check()?;
        let (spool, waiting, bytes) =
            Spool::open(&config.spool).await.map_err(|e| format!("record.spool: {e}"))?;
        let backend = place.open().await.map_err(|e| e.to_string())?;
        let first = timeout(place.connect_timeout + place.statement_timeout, backend.migrate()).await;
        if let Ok(Err(e)) = &first
            && !e.is_transient()
        {
            return Err(e.to_string());
        }
        let settings = UploadSettings { max_spool_bytes: config.spool_mb << 20, ..UploadSettings::default() };
        let (intake, taken) = mpsc::channel(INTAKE);
        let keeper = RecordKeeper {
            backend,
            spool,
            upload: Mutex::new(UploadScheduler::new(settings, waiting, bytes)),
            wake: Notify::new(),
            begun: Instant::now(),
            poll: Duration::from_millis(config.poll_ms),
            host: host.to_string(),
            members: OnceLock::new(),
            intake,
            snapshot: Mutex::default(),
            gaps: Mutex::default(),
            sound: AtomicBool::new(matches!(first, Ok(Ok(_)))),
            problem: Mutex::default(),
            landed: AtomicU64::new(0),
            gap_count: AtomicU64::new(0),
            pushed: AtomicI64::new(-1),
            taking: AtomicUsize::new(0),
            taking_up: tokio::sync::Mutex::default(),
            governed: AtomicBool::new(false),
            said_left: Mutex::default(),
        };
        Ok((Arc::new(keeper), taken))
    }

    /// Begins, over these gatekeepers.
    pub fn start(
        self: &Arc<Self>,
        members: Vec<(String, PathBuf, Link)>,
        taken: mpsc::Receiver<IncomingBatch>,
        tier: impl Fn() -> Arc<Tier> + Send + Sync + 'static,
    ) {
        let member = |(name, socket, link)| {
            let (life, left) = (Mutex::default(), Mutex::default());
            Member { name, socket, link, life, left }
        };
        let _ = self.members.set(members.into_iter().map(member).collect());
        let tier = Arc::new(tier);
        tokio::spawn(self.clone().take_in(taken, tier));
        tokio::spawn(self.clone().send_on());
        // Gatekeepers that are gone for good may have left their words too.
        let keeper = self.clone();
        tokio::spawn(async move {
            for k in 0..keeper.members.get().map_or(0, Vec::len) {
                keeper.take_final_reports(k).await;
            }
        });
        tokio::spawn(self.clone().look());
    }

    fn member(&self, k: usize) -> Option<&Member> {
        self.members.get().and_then(|all| all.get(k))
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// Tells operators what has changed.
    fn tell(&self, told: Vec<UploadNotice>) {
        for tell in told {
            match tell {
                UploadNotice::Unavailable { why } => tracing::warn!(
                    reason = why,
                    "the record is away: {why}; gatekeepers go on with what they know, use waits in the \
                     spool; trying again"
                ),
                UploadNotice::Recovered { after_ms } => {
                    tracing::info!("the record is back after {:.1} s", after_ms / 1000.0);
                }
                UploadNotice::SpoolFilling { bytes } => tracing::warn!(
                    "the spool holds {} KB and fills; once full, use stays in the gatekeepers, and one \
                     that is killed then loses its own: bring the record back or raise record.spool_mb",
                    bytes / 1024
                ),
                UploadNotice::SpoolFull => tracing::warn!(
                    "the spool is full: from now on use stays in the gatekeepers, and one that is killed \
                     loses what it holds; nothing is lost yet"
                ),
                UploadNotice::SpoolHasRoom => tracing::info!("the spool has room again"),
                UploadNotice::StaleData { age_ms } => tracing::info!(
                    "plans and overrides were last read {:.0} s ago; they stay in effect",
                    age_ms / 1000.0
                ),
            }
        }
    }

    /// Whether the outcome of something at the database was sound; keeps what was wrong.
    fn seen<T>(&self, done: Result<T, Error>) -> Option<T> {
        match done {
            Ok(done) => {
                self.sound.store(true, Ordering::Relaxed);
                lock(&self.problem).clear();
                Some(done)
            }
            Err(e) => {
                self.sound.store(false, Ordering::Relaxed);
                *lock(&self.problem) = e.to_string();
                None
            }
        }
    }

    // ---- use ----

    /// A batch came from a gatekeeper. Untaken it is not acknowledged, and comes again.
    pub fn receive_batch(&self, k: usize, batch: UseBatch) {
        // Its life is that of the connection that it came on: by the time it is looked at there may be a new one.
        let Some(epoch_ms) = self.member(k).map(|m| lock(&m.life).epoch_ms).filter(|e| *e != 0) else {
            return;
        };
        self.taking.fetch_add(1, Ordering::AcqRel);
        if self.intake.try_send(IncomingBatch { member: k, epoch_ms, batch }).is_err() {
            self.taking.fetch_sub(1, Ordering::AcqRel);
        }
    }

    async fn take_in(
        self: Arc<Self>,
        mut taken: mpsc::Receiver<IncomingBatch>,
        tier: Arc<impl Fn() -> Arc<Tier>>,
    ) {
        let mut all = Vec::with_capacity(AT_ONCE);
        loop {
            let came = taken.recv_many(&mut all, AT_ONCE).await;
            if came == 0 {
                return;
            }
            let tier = tier();
            self.take_batches(&mut all, &tier).await;
            self.taking.fetch_sub(came, Ordering::AcqRel);
        }
    }

    /// Puts batches into the spool, and then acknowledges them.
    async fn take_batches(&self, all: &mut Vec<IncomingBatch>, tier: &Tier) {
        let mut batches = Vec::new();
        let mut from = Vec::new();
        let mut size = 0;
        for IncomingBatch { member: k, epoch_ms, batch: word } in all.drain(..) {
            let Some(batch) = self.read(k, epoch_ms, &word, tier) else { continue };
            let bytes = Spool::size_bytes(&batch);
            if !lock(&self.upload).can_spool(size + bytes) {
                continue;
            }
            size += bytes;
            from.push((k, epoch_ms, word.seq, bytes, batch.to_ms, word.last));
            batches.push(batch);
        }
        let told = lock(&self.upload).take_notices();
        self.tell(told);
        if batches.is_empty() {
            return;
        }
        match self.spool.append(batches).await {
            Ok(new) => {
                let mut kept: HashMap<(usize, i64), Vec<u64>> = HashMap::new();
                for ((k, epoch_ms, seq, bytes, to_ms, last), new) in from.into_iter().zip(new) {
                    if new {
                        lock(&self.upload).batch_spooled(bytes);
                    }
                    kept.entry((k, epoch_ms)).or_default().push(seq);
                    if let Some(member) = self.member(k) {
                        let mut life = lock(&member.life);
                        if life.epoch_ms != epoch_ms {
                            continue;
                        }
                        life.last_seq = life.last_seq.max(i64::try_from(seq).unwrap_or(i64::MAX));
                        life.last_to_ms = life.last_to_ms.max(to_ms);
                        life.ended |= last;
                    }
                }
                for ((k, epoch_ms), numbers) in kept {
                    if let Some(member) = self.member(k) {
                        member.link.acknowledge_usage(u64::try_from(epoch_ms).unwrap_or(0), numbers);
                    }
                }
                let told = lock(&self.upload).take_notices();
                self.tell(told);
                self.wake.notify_one();
            }
            Err(e) => {
                tracing::warn!("the spool takes nothing: {e}; use stays in the gatekeepers");
                sleep(Duration::from_millis(500)).await;
            }
        }
    }

    /// A batch in the record's words. One that names what there is not is no batch.
    fn read(&self, k: usize, epoch_ms: i64, word: &UseBatch, tier: &Tier) -> Option<UsageBatch> {
        let member = self.member(k)?;
        let plan =
            |number: u32| tier.plans.iter().find(|(_, p)| p.number == number).map(|(name, _)| name.clone());
        let int = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let line = |l: &frostvale_link::proto::UseLine| UsageLine {
            shop: l.shop.clone(),
            plan: plan(l.plan).unwrap_or_else(|| format!("plan {}", l.plan)),
            class: tier
                .classes
                .get(l.class as usize)
                .cloned()
                .unwrap_or_else(|| format!("class {}", l.class)),
            passed_milli: int(l.passed_milli),
            refused_milli: int(l.refused_milli),
            served_milli: int(l.served_milli),
        };
        Some(UsageBatch {
            instance: member.name.clone(),
            epoch_ms,
            seq: int(word.seq),
            from_ms: int(word.from_ms),
            to_ms: int(word.to_ms),
            last: word.last,
            revision: int(word.revision),
            lines: word.lines.iter().map(line).collect(),
        })
    }

    async fn send_on(self: Arc<Self>) {
        loop {
            let next = lock(&self.upload).next_upload(self.now());
            match next {
                NextUpload::Idle => self.wake.notified().await,
                NextUpload::Wait(at) => {
                    let ms = (at - self.now()).max(1.0);
                    sleep(Duration::from_secs_f64(ms / 1000.0)).await;
                }
                NextUpload::Send(most) => {
                    let done = self.send(most).await;
                    let told = {
                        let mut upload = lock(&self.upload);
                        match done {
                            Ok((count, bytes)) => upload.batches_stored(self.now(), count, bytes),
                            Err(e) => upload.upload_failed(self.now(), &e.to_string()),
                        }
                        upload.take_notices()
                    };
                    self.tell(told);
                }
            }
        }
    }

    /// Sends the oldest so many; how many have landed, and their bytes in the spool.
    async fn send(&self, most: usize) -> Result<(usize, u64), Error> {
        let oldest = self.spool.oldest(most).await?;
        let batches = oldest.iter().map(|s| s.batch.clone()).collect();
        let done = self.backend.run(Op::Append { batches, now_ms: unix_ms() }).await;
        if let Err(e) = &done {
            *lock(&self.problem) = e.to_string();
            self.sound.store(false, Ordering::Relaxed);
        }
        let reply = done?;
        self.sound.store(true, Ordering::Relaxed);
        if let Reply::Stored(new) = &reply {
            self.landed.fetch_add(new.iter().filter(|new| **new).count() as u64, Ordering::Relaxed);
        }
        self.spool.remove(oldest.iter().map(|s| s.id).collect()).await?;
        Ok((oldest.len(), oldest.iter().map(|s| s.bytes).sum()))
    }

    // ---- lives of gatekeepers ----

    /// What stores hold, by a gatekeeper's word.
    pub fn receive_levels(&self, k: usize, levels: &[LevelWord]) {
        let Some(member) = self.member(k) else { return };
        let at_ms = unix_ms();
        let mut life = lock(&member.life);
        for l in levels {
            if life.levels.len() >= LEVELS_MOST && !life.levels.contains_key(&l.key) {
                continue;
            }
            life.levels.insert(l.key, level(l, at_ms));
            life.dirty.insert(l.key);
        }
    }

    /// A gatekeeper has gone. If it left its last word in a file, that is taken up now.
    pub async fn gatekeeper_disconnected(&self, k: usize) {
        if let Some(member) = self.member(k) {
            lock(&member.life).down_ms = unix_ms();
            self.take_final_reports(k).await;
        }
    }

    /// A gatekeeper is here. One that began a new life gets what may be used of the former one, and the plans.
    pub async fn gatekeeper_connected(&self, k: usize, welcome: &Welcome) {
        let Some(member) = self.member(k) else { return };
        let epoch_ms = i64::try_from(welcome.started_ms).unwrap_or(i64::MAX);
        if lock(&member.life).epoch_ms != epoch_ms {
            self.take_final_reports(k).await;
            // Database, spool and files may each know more of the former life than this agent.
            let former = self.previous_incarnation(member, epoch_ms).await;
            *lock(&member.life) = former;
        }
        let now_ms = unix_ms();
        let (levels, gap) = {
            let mut life = lock(&member.life);
            let new = life.epoch_ms != epoch_ms;
            let mut levels = Vec::new();
            let mut gap = None;
            if new && life.epoch_ms != 0 {
                let seen_ms = if life.down_ms > 0 { life.down_ms } else { now_ms };
                let end =
                    if life.ended { IncarnationEnd::Graceful } else { IncarnationEnd::Killed { seen_ms } };
                for (key, level) in &life.levels {
                    let Some(plan) = welcome.plans.get(usize::try_from(level.plan).unwrap_or(usize::MAX))
                    else {
                        continue;
                    };
                    let int = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
                    // The smallest part of the ceiling that this gatekeeper can have of any shop.
                    let sliced =
                        min_local_limit_share(plan.rate_milli as f64, plan.ceiling_rate_milli as f64);
                    let part = sliced / f64::from(welcome.gateways.max(1));
                    let slice = |n: u64| (n as f64 * part) as i64;
                    let figures = RefillRates {
                        rate_milli: int(plan.rate_milli),
                        burst_milli: int(plan.burst_milli),
                        ceiling_rate_milli: slice(plan.ceiling_rate_milli),
                        ceiling_burst_milli: slice(plan.ceiling_burst_milli),
                    };
                    let (store, ceiling) = restored_levels(level, &figures, end, now_ms);
                    levels.push(LevelWord {
                        key: *key,
                        plan: u32::try_from(level.plan).unwrap_or(u32::MAX),
                        store_milli: u64::try_from(store).unwrap_or(0),
                        ceiling_milli: ceiling,
                    });
                }
                if !life.ended {
                    gap = Some(UsageGap {
                        instance: member.name.clone(),
                        epoch_ms: life.epoch_ms,
                        after_seq: life.last_seq,
                        from_ms: life.last_to_ms,
                        to_ms: seen_ms,
                        why: "it ended without its last word: use after this batch is not known".into(),
                    });
                }
            }
            if new {
                *life = Incarnation { epoch_ms, ..Incarnation::default() };
            }
            life.down_ms = 0;
            (levels, gap)
        };
        if !levels.is_empty() {
            tracing::info!(
                instance = member.name,
                "{}: {} stores are restored from its former life",
                member.name,
                levels.len()
            );
            member.link.send_levels(&levels);
        }
        if let Some(gap) = gap {
            tracing::warn!(
                instance = gap.instance,
                "{}: its former life ended without its last word; use from {} to {} ms (Unix time) that \
                 it had not reported is not known, and not guessed",
                gap.instance,
                gap.from_ms,
                gap.to_ms
            );
            self.gap_count.fetch_add(1, Ordering::Relaxed);
            lock(&self.gaps).push(gap);
        }
        if let Some(plans) = self.current_plans() {
            member.link.send_plans(plans);
        }
        self.wake.notify_one();
    }

    /// What the database knows of a gatekeeper's last life.
    async fn former(&self, name: &str) -> Option<Incarnation> {
        let Ok(Reply::Instances(all)) = self.backend.run(Op::Instances).await else { return None };
        let (_, _, epoch_ms, seen_ms, _) = all.into_iter().find(|(n, ..)| n == name)?;
        let mark = Op::Watermark { instance: name.into(), epoch_ms };
        let Ok(Reply::Watermark(mark, _)) = self.backend.run(mark).await else { return None };
        let (last_seq, last_to_ms, ended) = mark.unwrap_or((0, seen_ms, false));
        let old = unix_ms() - LEVELS_OLD_MS;
        let levels = Op::Levels { instance: name.into(), since_ms: old };
        let Ok(Reply::Levels(levels)) = self.backend.run(levels).await else { return None };
        let levels = levels.into_iter().map(|l| (u64::try_from(l.key).unwrap_or(0), l)).collect();
        Some(Incarnation { epoch_ms, ended, last_seq, last_to_ms, levels, ..Incarnation::default() })
    }

    // ---- plans ----

    /// Reads the record again whenever it has changed, and now and then; keeps levels, gaps and lives there.
    async fn look(self: Arc<Self>) {
        let mut sent = None;
        let mut migrated = self.sound.load(Ordering::Relaxed);
        let mut first = true;
        loop {
            if !first {
                self.backend.changed(self.poll).await;
            }
            first = false;
            if !migrated {
                migrated = self.seen(self.backend.migrate().await).is_some();
            }
            let loaded = if migrated { self.seen(self.load().await) } else { None };
            let told = {
                let mut upload = lock(&self.upload);
                match &loaded {
                    Some(_) => upload.data_loaded(self.now()),
                    None => {
                        let why = lock(&self.problem).clone();
                        upload.load_failed(self.now(), &why);
                    }
                }
                upload.take_notices()
            };
            self.tell(told);
            if let Some(Reply::Snapshot(snapshot)) = loaded {
                *lock(&self.snapshot) = Some(snapshot);
                let plans = self.current_plans();
                if plans != sent {
                    sent.clone_from(&plans);
                    if let Some(plans) = plans {
                        self.pushed.store(i64::try_from(plans.revision).unwrap_or(0), Ordering::Relaxed);
                        for member in self.members.get().into_iter().flatten() {
                            member.link.send_plans(plans.clone());
                        }
                    }
                }
                self.keep().await;
            } else if !self.sound.load(Ordering::Relaxed) {
                sleep(self.poll.min(Duration::from_millis(500))).await;
            }
        }
    }

    /// Keeps lives, levels and gaps in the database. What fails is tried with the next round.
    async fn keep(&self) {
        let now_ms = unix_ms();
        let revision = self.pushed.load(Ordering::Relaxed).max(0);
        for member in self.members.get().into_iter().flatten() {
            let (epoch_ms, levels) = {
                let mut life = lock(&member.life);
                let some: Vec<u64> = life.dirty.iter().copied().take(LEVELS_AT_ONCE).collect();
                let levels: Vec<TokenLevel> =
                    some.iter().filter_map(|key| life.levels.get(key).copied()).collect();
                for key in &some {
                    life.dirty.remove(key);
                }
                (life.epoch_ms, levels)
            };
            if epoch_ms == 0 || member.link.welcome().is_none() {
                continue;
            }
            let (name, host) = (member.name.clone(), self.host.clone());
            let seen = Op::Seen { name: name.clone(), host, epoch_ms, now_ms, revision };
            let mut kept = self.seen(self.backend.run(seen).await).is_some();
            if kept && !levels.is_empty() {
                let save = Op::SaveLevels { instance: name, levels: levels.clone() };
                kept = self.seen(self.backend.run(save).await).is_some();
            }
            if !kept {
                let mut life = lock(&member.life);
                life.dirty.extend(levels.iter().map(|l| u64::try_from(l.key).unwrap_or(0)));
                return;
            }
        }
        let gaps = std::mem::take(&mut *lock(&self.gaps));
        for (k, gap) in gaps.iter().enumerate() {
            if self.seen(self.backend.run(Op::Gap(gap.clone())).await).is_none() {
                lock(&self.gaps).extend_from_slice(&gaps[k..]);
                return;
            }
        }
    }

    /// As operators see it.
    #[must_use]
    pub fn status(&self) -> Status {
        let upload = lock(&self.upload);
        let now = self.now();
        let revision = lock(&self.snapshot).as_ref().map_or(0, |s| s.revision);
        let problem = lock(&self.problem).clone();
        let state = if self.sound.load(Ordering::Relaxed) { "sound" } else { "away" };
        Status {
            kind: self.backend.kind().into(),
            state: state.into(),
            problem: if state == "sound" { String::new() } else { problem },
            revision: u64::try_from(revision).unwrap_or(0),
            age_ms: upload.data_age(now).map_or(u64::MAX, |age| age as u64),
            spool_batches: upload.waiting() as u64,
            spool_bytes: upload.bytes(),
            away_ms: upload.unavailable_since().map_or(0, |since| (now - since) as u64),
            landed: self.landed.load(Ordering::Relaxed),
            gaps: self.gap_count.load(Ordering::Relaxed),
        }
    }
}
