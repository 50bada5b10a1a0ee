//! Ends of lives: this agent's own, which takes the last words of its gatekeepers first, and words that gatekeepers
//! left in files because no agent was there. Decisions: `frostvale-handover`.

use super::{Incarnation, Member, RecordKeeper, lock};
use frostvale_handover::{
    FinalReportAction, GatekeeperStatus, UPLOAD_TIMEOUT_MS, Watermark, classify_final_report,
    previous_incarnation, should_wait_for,
};
use frostvale_link::final_report::{self, FinalReport};
use frostvale_record::spool::Spool;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often a stop looks whether it is done.
const LOOK: Duration = Duration::from_millis(10);
/// The least time between two lines about the same file that can't be taken up.
const SAY_AGAIN: Duration = Duration::from_secs(60);

impl Incarnation {
    pub(super) fn mark(&self) -> Watermark {
        Watermark {
            epoch_ms: self.epoch_ms,
            last_seq: self.last_seq,
            to_ms: self.last_to_ms,
            ended: self.ended,
        }
    }

    fn set_mark(&mut self, mark: Watermark) {
        (self.epoch_ms, self.last_seq, self.last_to_ms, self.ended) =
            (mark.epoch_ms, mark.last_seq, mark.to_ms, mark.ended);
    }
}

impl RecordKeeper {
    /// This agent stops: takes what its gatekeepers have used so far, and the last words of those that stop too, then
    /// lets the spool land. Bounded by `LAST_WORD_MS` and `UPLOAD_TIMEOUT_MS`; what is late is taken up by the next agent.
    pub async fn stop(&self) {
        let members = self.members.get().map(Vec::as_slice).unwrap_or_default();
        members.iter().for_each(|m| m.link.announce_stop());
        let begun = Instant::now();
        let ms = || begun.elapsed().as_secs_f64() * 1000.0;
        while self.taking.load(Ordering::Acquire) > 0
            || members.iter().any(|m| should_wait_for(&m.seen(), ms()))
        {
            if ms() > frostvale_handover::FINAL_REPORT_TIMEOUT_MS {
                break;
            }
            sleep(LOOK).await;
        }
        for k in 0..members.len() {
            self.take_final_reports(k).await;
        }
        let landing = Instant::now();
        while landing.elapsed().as_secs_f64() * 1000.0 < UPLOAD_TIMEOUT_MS {
            let (waiting, away) = {
                let upload = lock(&self.upload);
                (upload.waiting(), upload.unavailable_since().is_some())
            };
            if waiting == 0 || away {
                break;
            }
            sleep(LOOK).await;
        }
        let waiting = lock(&self.upload).waiting();
        if waiting > 0 {
            tracing::warn!(
                batches = waiting,
                "stops with use in the spool, as the database did not take it in time; the next agent over this spool \
                 lands it"
            );
        }
    }

    /// A gatekeeper has reported what it used until it heard of this agent's stop.
    pub fn usage_reported(&self, k: usize, number: u64) {
        if let Some(member) = self.member(k) {
            lock(&member.life).reported = Some(i64::try_from(number).unwrap_or(i64::MAX));
        }
    }

    /// Takes up the words that a gatekeeper left. Each is gone once it is in the spool; what is found twice, as after
    /// a kill between the two, is the same batches of the same life, and counts once.
    pub(super) async fn take_final_reports(&self, k: usize) {
        let Some(member) = self.member(k) else { return };
        let _one = self.taking_up.lock().await;
        let socket = member.socket.clone();
        let Ok(Ok(paths)) = tokio::task::spawn_blocking(move || final_report::find_all(&socket)).await else {
            return;
        };
        for path in paths {
            if let Err(why) = self.take_file(k, member, &path).await
                && self.says_again()
            {
                tracing::warn!(
                    instance = member.name,
                    file = %path.display(),
                    reason = why,
                    "a last word can't be taken up; its use is not in the record yet, and the file stays"
                );
            }
        }
    }

    fn says_again(&self) -> bool {
        let mut said = lock(&self.said_left);
        let again = said.is_none_or(|at| at.elapsed() > SAY_AGAIN);
        if again {
            *said = Some(Instant::now());
        }
        again
    }

    async fn take_file(&self, k: usize, member: &Member, path: &Path) -> Result<(), String> {
        let file = path.to_path_buf();
        let read = tokio::task::spawn_blocking(move || final_report::read(&file)).await;
        let left = match read.map_err(|e| e.to_string())? {
            Ok(left) => left,
            Err(e) if e.kind() == std::io::ErrorKind::Other => {
                aside(path, "torn")?;
                return Err(format!(
                    "{e}; it is set aside, use of that life after its last report is not known"
                ));
            }
            Err(e) => return Err(e.to_string()),
        };
        let what = classify_final_report(left.is_complete, &left.welcome.name, &member.name);
        if what == FinalReportAction::Reject {
            aside(path, "refused")?;
            return Err(format!("it is of {:?}; it is set aside", left.welcome.name));
        }
        let life = self.spool_left(k, &left).await?;
        let (batches, stores) = (left.batches.len(), life.levels.len());
        if what == FinalReportAction::Accept {
            std::fs::remove_file(path).map_err(|e| format!("it is taken up, but can't be removed: {e}"))?;
            tracing::info!(
                instance = member.name,
                batches,
                stores,
                "a last word left beside its socket is taken up"
            );
        } else {
            aside(path, "torn")?;
            tracing::warn!(
                instance = member.name,
                batches,
                "a last word left beside its socket is torn: what is sound of it is taken up, what followed is a gap"
            );
        }
        let mut current = lock(&member.life);
        if current.epoch_ms == life.epoch_ms {
            let mark = previous_incarnation([current.mark(), life.mark()], 0).unwrap_or_default();
            current.set_mark(mark);
            current.levels.extend(life.levels);
        } else {
            drop(current);
            lock(&member.left).push(life);
        }
        Ok(())
    }

    /// Puts what a file says into the spool.
    async fn spool_left(&self, k: usize, left: &FinalReport) -> Result<Incarnation, String> {
        let tier = crate::fleet::tier_of(&left.welcome);
        let epoch_ms = i64::try_from(left.welcome.started_ms).unwrap_or(i64::MAX);
        let batches: Vec<_> = left.batches.iter().filter_map(|b| self.read(k, epoch_ms, b, &tier)).collect();
        let mut life = Incarnation { epoch_ms, ..Incarnation::default() };
        for batch in &batches {
            life.last_seq = life.last_seq.max(batch.seq);
            life.last_to_ms = life.last_to_ms.max(batch.to_ms);
            life.ended |= batch.last;
        }
        let sizes: Vec<u64> = batches.iter().map(Spool::size_bytes).collect();
        if !lock(&self.upload).can_spool(sizes.iter().sum()) {
            return Err("the spool is full".into());
        }
        let new = self.spool.append(batches).await.map_err(|e| format!("the spool takes nothing: {e}"))?;
        for (size, _) in sizes.iter().zip(new).filter(|(_, new)| *new) {
            lock(&self.upload).batch_spooled(*size);
        }
        self.wake.notify_one();
        let at_ms = life.last_to_ms;
        life.levels = left.levels.iter().map(|l| (l.key, super::level(l, at_ms))).collect();
        Ok(life)
    }

    /// The latest life before the one that begins, from all who know of it.
    pub(super) async fn previous_incarnation(&self, member: &Member, epoch_ms: i64) -> Incarnation {
        let mut lives: Vec<Incarnation> = std::mem::take(&mut *lock(&member.left));
        {
            let mut current = lock(&member.life);
            if current.epoch_ms != 0 {
                lives.push(std::mem::take(&mut *current));
            }
        }
        if lives.iter().all(|l| l.down_ms == 0)
            && let Ok(Some(former)) = tokio::time::timeout(super::ASK_FOR, self.former(&member.name)).await
        {
            lives.push(former);
        }
        let spooled = self.spool.latest(&member.name).await.ok().flatten();
        let spooled = spooled.map(|b| Watermark {
            epoch_ms: b.epoch_ms,
            last_seq: b.seq,
            to_ms: b.to_ms,
            ended: b.last,
        });
        let Some(mark) = previous_incarnation(lives.iter().map(Incarnation::mark).chain(spooled), epoch_ms)
        else {
            // This very life, as after the loss of a link.
            return lives.into_iter().find(|l| l.epoch_ms == epoch_ms).unwrap_or_default();
        };
        if let Some(same) = lives.iter().position(|l| l.epoch_ms == epoch_ms) {
            return lives.swap_remove(same);
        }
        let mut whole = Incarnation::default();
        for life in lives.into_iter().filter(|l| l.epoch_ms == mark.epoch_ms) {
            whole.down_ms = whole.down_ms.max(life.down_ms);
            for (key, level) in life.levels {
                let newer = whole.levels.get(&key).is_none_or(|l| l.at_ms <= level.at_ms);
                if newer {
                    whole.levels.insert(key, level);
                }
            }
        }
        whole.set_mark(mark);
        whole
    }
}

impl Member {
    fn seen(&self) -> GatekeeperStatus {
        let life = lock(&self.life);
        GatekeeperStatus {
            linked: self.link.welcome().is_some(),
            stopping: self.link.is_stopping(),
            ended: life.ended,
            reported: life.reported,
            kept: life.last_seq,
        }
    }
}

/// A file that is not taken up a second time, but not lost either.
fn aside(path: &Path, why: &str) -> Result<PathBuf, String> {
    let to = path.with_extension(why);
    std::fs::rename(path, &to).map_err(|e| format!("it can't be set aside: {e}"))?;
    Ok(to)
}
