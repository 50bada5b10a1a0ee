//! Shutdown and restart: a stopping agent first collects the final usage reports of its gatekeepers, and an
//! agent reads the reports that gatekeepers wrote to files while no agent was connected. The decisions are
//! made in `frostvale-handover`.

use super::{Incarnation, Member, RecordKeeper, lock};
use frostvale_handover::{
    FinalReportAction, GatekeeperStatus, UPLOAD_TIMEOUT_MS, Watermark, classify_final_report,
    previous_incarnation, should_wait_for,
};
use frostvale_link::final_report::{self, FinalReport};
use frostvale_link::proto::Welcome;
use frostvale_record::spool::Spool;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often a stopping agent checks whether it is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The shortest time between two warnings about final report files that cannot be processed.
const MIN_WARNING_INTERVAL: Duration = Duration::from_secs(60);

impl Incarnation {
    /// The last batch that is known of this incarnation, and whether it is the final one.
    pub(super) fn watermark(&self) -> Watermark {
        Watermark {
            epoch_ms: self.epoch_ms,
            last_seq: self.last_seq,
            to_ms: self.last_to_ms,
            ended: self.ended,
        }
    }

    fn set_watermark(&mut self, watermark: Watermark) {
        (self.epoch_ms, self.last_seq, self.last_to_ms, self.ended) =
            (watermark.epoch_ms, watermark.last_seq, watermark.to_ms, watermark.ended);
    }
}

impl RecordKeeper {
    /// Stops the agent's record: collects the usage of its gatekeepers so far and the final reports of those
    /// that stop too, then waits until the spool is uploaded. The two steps are bounded by
    /// `FINAL_REPORT_TIMEOUT_MS` and `UPLOAD_TIMEOUT_MS`. Whatever is left is processed by the next agent.
    pub async fn stop(&self) {
        let members = self.members.get().map(Vec::as_slice).unwrap_or_default();
        members.iter().for_each(|m| m.link.announce_stop());
        let started = Instant::now();
        let ms = || started.elapsed().as_secs_f64() * 1000.0;
        while self.unspooled_batches.load(Ordering::Acquire) > 0
            || members.iter().any(|m| should_wait_for(&m.status(), ms()))
        {
            if ms() > frostvale_handover::FINAL_REPORT_TIMEOUT_MS {
                break;
            }
            sleep(STOP_CHECK_INTERVAL).await;
        }
        for k in 0..members.len() {
            self.take_final_reports(k).await;
        }
        let upload_started = Instant::now();
        while upload_started.elapsed().as_secs_f64() * 1000.0 < UPLOAD_TIMEOUT_MS {
            let (waiting, is_unavailable) = {
                let upload = lock(&self.upload);
                (upload.waiting(), upload.unavailable_since().is_some())
            };
            if waiting == 0 || is_unavailable {
                break;
            }
            sleep(STOP_CHECK_INTERVAL).await;
        }
        let waiting = lock(&self.upload).waiting();
        if waiting > 0 {
            tracing::warn!(
                batches = waiting,
                "the agent ends with {waiting} usage batches in the spool, as the database did not store them in \
                 time; the next agent with this spool uploads them"
            );
        }
    }

    /// Records that gatekeeper `k`, in the incarnation of this welcome, has reported its usage up to this
    /// agent's stop announcement; `number` is the sequence number of its last batch.
    pub fn usage_reported(&self, k: usize, welcome: &Welcome, number: u64) {
        let Some(member) = self.member(k) else { return };
        let mut incarnation = lock(&member.incarnation);
        if incarnation.epoch_ms == super::epoch_ms(welcome) {
            incarnation.reported = Some(i64::try_from(number).unwrap_or(i64::MAX));
        }
    }

    /// Processes the final report files of gatekeeper `k`. Each file is removed once its batches are in the
    /// spool. A file that is processed twice, as after a kill between the two steps, yields the same batches
    /// of the same incarnation, and these count once.
    pub(super) async fn take_final_reports(&self, k: usize) {
        let Some(member) = self.member(k) else { return };
        let _guard = self.final_report_lock.lock().await;
        let socket = member.socket.clone();
        let Ok(Ok(paths)) = tokio::task::spawn_blocking(move || final_report::find_all(&socket)).await else {
            return;
        };
        for path in paths {
            if let Err(why) = self.process_file(k, member, &path).await
                && self.may_warn_again()
            {
                tracing::warn!(
                    instance = member.name,
                    file = %path.display(),
                    reason = why,
                    "cannot process a final usage report file: {why}; its usage is not in the record yet, \
                     and the file is kept"
                );
            }
        }
    }

    /// Whether enough time has passed since the last warning; if so, restarts the period.
    fn may_warn_again(&self) -> bool {
        let mut last_warning = lock(&self.last_file_warning);
        let may_warn = last_warning.is_none_or(|at| at.elapsed() > MIN_WARNING_INTERVAL);
        if may_warn {
            *last_warning = Some(Instant::now());
        }
        may_warn
    }

    /// Processes one final report file and removes it. A file that ends early or is of another gatekeeper is
    /// renamed.
    async fn process_file(&self, k: usize, member: &Member, path: &Path) -> Result<(), String> {
        let file = path.to_path_buf();
        let read = tokio::task::spawn_blocking(move || final_report::read(&file)).await;
        let report = match read.map_err(|e| e.to_string())? {
            Ok(report) => report,
            Err(e) if e.kind() == std::io::ErrorKind::Other => {
                rename_aside(path, "torn")?;
                return Err(format!(
                    "{e}; renamed to *.torn, usage of that incarnation after its last report is unknown"
                ));
            }
            Err(e) => return Err(e.to_string()),
        };
        let action = classify_final_report(report.is_complete, &report.welcome.name, &member.name);
        if action == FinalReportAction::Reject {
            rename_aside(path, "refused")?;
            return Err(format!("it belongs to gatekeeper {:?}; renamed to *.refused", report.welcome.name));
        }
        let incarnation = self.spool_final_report(k, &report).await?;
        let (batches, stores) = (report.batches.len(), incarnation.levels.len());
        if action == FinalReportAction::Accept {
            std::fs::remove_file(path)
                .map_err(|e| format!("its batches are in the spool, but cannot remove the file: {e}"))?;
            tracing::info!(
                instance = member.name,
                batches,
                stores,
                "processed a final usage report file beside its socket"
            );
        } else {
            rename_aside(path, "torn")?;
            tracing::warn!(
                instance = member.name,
                batches,
                "a final usage report file beside its socket is incomplete: its intact batches are spooled, \
                 usage after them is unknown"
            );
        }
        let mut current = lock(&member.incarnation);
        if current.epoch_ms == incarnation.epoch_ms {
            let watermark =
                previous_incarnation([current.watermark(), incarnation.watermark()], 0).unwrap_or_default();
            current.set_watermark(watermark);
            current.levels.extend(incarnation.levels);
        } else {
            drop(current);
            lock(&member.from_files).push(incarnation);
        }
        Ok(())
    }

    /// Writes the batches of a final report to the spool. Returns the incarnation that the report describes.
    ///
    /// # Errors
    /// If the spool is full or cannot be written.
    async fn spool_final_report(&self, k: usize, report: &FinalReport) -> Result<Incarnation, String> {
        let epoch_ms = super::epoch_ms(&report.welcome);
        let batches: Vec<_> =
            report.batches.iter().filter_map(|b| self.to_usage_batch(k, &report.welcome, b)).collect();
        let mut incarnation = Incarnation { epoch_ms, ..Incarnation::default() };
        for batch in &batches {
            incarnation.last_seq = incarnation.last_seq.max(batch.seq);
            incarnation.last_to_ms = incarnation.last_to_ms.max(batch.to_ms);
            incarnation.ended |= batch.last;
        }
        let sizes: Vec<u64> = batches.iter().map(Spool::size_bytes).collect();
        if !lock(&self.upload).can_spool(sizes.iter().sum()) {
            return Err("the spool is full".into());
        }
        let new = self.spool.append(batches).await.map_err(|e| format!("cannot write to the spool: {e}"))?;
        for (size, _) in sizes.iter().zip(new).filter(|(_, new)| *new) {
            lock(&self.upload).batch_spooled(*size);
        }
        self.upload_wake.notify_one();
        let at_ms = incarnation.last_to_ms;
        let level = |l| super::to_token_level(&report.welcome, l, at_ms);
        incarnation.levels = report.levels.iter().filter_map(|l| Some((l.key, level(l)?))).collect();
        Ok(incarnation)
    }

    /// The latest incarnation before the one that started at `epoch_ms`, merged from memory, files, spool and
    /// database. The one that started at `epoch_ms` itself, if it is already known.
    pub(super) async fn previous_incarnation(&self, member: &Member, epoch_ms: i64) -> Incarnation {
        let mut incarnations: Vec<Incarnation> = std::mem::take(&mut *lock(&member.from_files));
        {
            let mut current = lock(&member.incarnation);
            if current.epoch_ms != 0 {
                incarnations.push(std::mem::take(&mut *current));
            }
        }
        if incarnations.iter().all(|i| i.disconnected_ms == 0)
            && let Ok(Some(former)) = tokio::time::timeout(
                super::PREVIOUS_INCARNATION_TIMEOUT,
                self.load_previous_incarnation(&member.name),
            )
            .await
        {
            incarnations.push(former);
        }
        let spooled = self.spool.latest(&member.name).await.ok().flatten();
        let spooled = spooled.map(|b| Watermark {
            epoch_ms: b.epoch_ms,
            last_seq: b.seq,
            to_ms: b.to_ms,
            ended: b.last,
        });
        let Some(watermark) =
            previous_incarnation(incarnations.iter().map(Incarnation::watermark).chain(spooled), epoch_ms)
        else {
            // The same incarnation has connected again after the loss of its link.
            return incarnations.into_iter().find(|i| i.epoch_ms == epoch_ms).unwrap_or_default();
        };
        if let Some(same_incarnation) = incarnations.iter().position(|i| i.epoch_ms == epoch_ms) {
            return incarnations.swap_remove(same_incarnation);
        }
        let mut merged = Incarnation::default();
        for incarnation in incarnations.into_iter().filter(|i| i.epoch_ms == watermark.epoch_ms) {
            merged.disconnected_ms = merged.disconnected_ms.max(incarnation.disconnected_ms);
            for (key, level) in incarnation.levels {
                let newer = merged.levels.get(&key).is_none_or(|l| l.at_ms <= level.at_ms);
                if newer {
                    merged.levels.insert(key, level);
                }
            }
        }
        merged.set_watermark(watermark);
        merged
    }
}

impl Member {
    /// The state that decides whether a stopping agent waits for this gatekeeper.
    fn status(&self) -> GatekeeperStatus {
        let incarnation = lock(&self.incarnation);
        GatekeeperStatus {
            linked: self.link.welcome().is_some(),
            stopping: self.link.is_stopping(),
            ended: incarnation.ended,
            reported: incarnation.reported,
            kept: incarnation.last_seq,
        }
    }
}

/// Renames a file to this extension, so that it is neither processed again nor lost.
fn rename_aside(path: &Path, extension: &str) -> Result<PathBuf, String> {
    let to = path.with_extension(extension);
    std::fs::rename(path, &to).map_err(|e| format!("cannot rename it to *.{extension}: {e}"))?;
    Ok(to)
}
