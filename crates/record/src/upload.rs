//! When to send what is spooled, and what to say about it. No input or output, no clock.
//!
//! # Why
//!
//! A database that is down must not be hammered, and one that comes back must not be met by everything at once. A spool
//! that fills must say so while there is still something to be done, and what is lost before it is lost.

/// The part of the spool at which it is told that it fills.
pub const SPOOL_WARN_FRACTION: f64 = 0.8;

/// How it goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UploadSettings {
    /// The first pause after a failure, and the longest, in ms.
    pub pause_ms: f64,
    /// The longest.
    pub max_pause_ms: f64,
    /// Batches in one transaction, at the most.
    pub max_batches: usize,
    /// Bytes that the spool may hold.
    pub max_spool_bytes: u64,
    /// Data that was loaded longer ago than this is called stale.
    pub stale_ms: f64,
}

impl Default for UploadSettings {
    fn default() -> Self {
        UploadSettings {
            pause_ms: 100.0,
            max_pause_ms: 5000.0,
            max_batches: 64,
            max_spool_bytes: 64 << 20,
            stale_ms: 60_000.0,
        }
    }
}

/// What is worth telling operators.
#[derive(Debug, Clone, PartialEq)]
pub enum UploadNotice {
    /// The database has gone.
    Unavailable {
        /// What it said.
        why: String,
    },
    /// It is back after so long, in ms.
    Recovered {
        /// How long it was away.
        after_ms: f64,
    },
    /// The spool is four fifths full.
    SpoolFilling {
        /// Bytes in it.
        bytes: u64,
    },
    /// The spool is full: gatekeepers hold their use themselves from now on, and one that is killed loses it.
    SpoolFull,
    /// There is room again.
    SpoolHasRoom,
    /// What was loaded is older than it should be.
    StaleData {
        /// How old it is, in ms.
        age_ms: f64,
    },
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NextUpload {
    /// Send so many batches now.
    Send(usize),
    /// Nothing before this time.
    Wait(f64),
    /// Nothing before something is spooled.
    Idle,
}

/// The state of the way to the database.
#[derive(Debug, Clone)]
pub struct UploadScheduler {
    settings: UploadSettings,
    bytes: u64,
    waiting: usize,
    sending: bool,
    away_since: Option<f64>,
    retry_at: f64,
    pause: f64,
    warned: bool,
    full: bool,
    loaded_at: Option<f64>,
    stale_told: bool,
    told: Vec<UploadNotice>,
}

impl UploadScheduler {
    /// With what is in the spool from before.
    #[must_use]
    pub fn new(settings: UploadSettings, waiting: usize, bytes: u64) -> UploadScheduler {
        UploadScheduler {
            pause: settings.pause_ms,
            settings,
            bytes,
            waiting,
            sending: false,
            away_since: None,
            retry_at: f64::NEG_INFINITY,
            warned: false,
            full: false,
            loaded_at: None,
            stale_told: false,
            told: Vec::new(),
        }
    }

    /// What is to be told since the last time.
    pub fn take_notices(&mut self) -> Vec<UploadNotice> {
        std::mem::take(&mut self.told)
    }

    /// Bytes that wait.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Batches that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Since when the database is away, in ms.
    #[must_use]
    pub fn unavailable_since(&self) -> Option<f64> {
        self.away_since
    }

    /// How old what was loaded is, in ms; none if nothing ever was.
    #[must_use]
    pub fn data_age(&self, now: f64) -> Option<f64> {
        self.loaded_at.map(|at| now - at)
    }

    /// Whether a batch of this size may be spooled. If not, nothing is acknowledged, and its gatekeeper keeps it.
    pub fn can_spool(&mut self, bytes: u64) -> bool {
        let room = self.bytes + bytes <= self.settings.max_spool_bytes;
        if !room && !std::mem::replace(&mut self.full, true) {
            self.told.push(UploadNotice::SpoolFull);
        }
        room
    }

    /// A batch is in the spool, durably.
    pub fn batch_spooled(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.waiting += 1;
        if self.bytes as f64 >= SPOOL_WARN_FRACTION * self.settings.max_spool_bytes as f64
            && !std::mem::replace(&mut self.warned, true)
        {
            self.told.push(UploadNotice::SpoolFilling { bytes: self.bytes });
        }
    }

    /// What is to be done now.
    pub fn next_upload(&mut self, now: f64) -> NextUpload {
        if self.sending || self.waiting == 0 {
            return NextUpload::Idle;
        }
        if now < self.retry_at {
            return NextUpload::Wait(self.retry_at);
        }
        self.sending = true;
        // One batch shows whether a database that was away is back.
        NextUpload::Send(if self.away_since.is_some() {
            1
        } else {
            self.settings.max_batches.min(self.waiting)
        })
    }

    /// So many batches have landed, and are out of the spool.
    pub fn batches_stored(&mut self, now: f64, batches: usize, bytes: u64) {
        self.sending = false;
        self.waiting = self.waiting.saturating_sub(batches);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.sound(now);
        let most = self.settings.max_spool_bytes as f64;
        // Told again only after it has really emptied.
        if (self.bytes as f64) < 0.5 * most {
            self.warned = false;
            if std::mem::replace(&mut self.full, false) {
                self.told.push(UploadNotice::SpoolHasRoom);
            }
        }
    }

    /// Sending failed in a way that passes.
    pub fn upload_failed(&mut self, now: f64, why: &str) {
        self.sending = false;
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2.0).min(self.settings.max_pause_ms);
        if self.away_since.is_none() {
            self.away_since = Some(now);
            self.told.push(UploadNotice::Unavailable { why: why.to_string() });
        }
    }

    /// The record was read.
    pub fn data_loaded(&mut self, now: f64) {
        self.loaded_at = Some(now);
        self.stale_told = false;
        self.sound(now);
    }

    /// Reading the record failed.
    pub fn load_failed(&mut self, now: f64, why: &str) {
        if self.away_since.is_none() {
            self.away_since = Some(now);
            self.told.push(UploadNotice::Unavailable { why: why.to_string() });
        }
        if let Some(age_ms) = self.data_age(now).filter(|age| *age > self.settings.stale_ms)
            && !std::mem::replace(&mut self.stale_told, true)
        {
            self.told.push(UploadNotice::StaleData { age_ms });
        }
    }

    fn sound(&mut self, now: f64) {
        self.pause = self.settings.pause_ms;
        self.retry_at = f64::NEG_INFINITY;
        if let Some(since) = self.away_since.take() {
            self.told.push(UploadNotice::Recovered { after_ms: now - since });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn upload() -> UploadScheduler {
        UploadScheduler::new(UploadSettings { max_spool_bytes: 1000, ..UploadSettings::default() }, 0, 0)
    }

    #[test]
    fn a_database_that_is_away_is_tried_less_and_less_often_and_with_one_batch() {
        let mut u = upload();
        for _ in 0..10 {
            u.batch_spooled(10);
        }
        assert_eq!(u.next_upload(0.0), NextUpload::Send(10));
        assert_eq!(u.next_upload(0.0), NextUpload::Idle, "one at a time");
        let (mut now, mut gaps) = (0.0, Vec::new());
        for _ in 0..10 {
            u.upload_failed(now, "gone");
            let NextUpload::Wait(at) = u.next_upload(now) else { panic!("tried again at once") };
            gaps.push(at - now);
            now = at;
            assert_eq!(u.next_upload(now), NextUpload::Send(1));
        }
        assert_eq!(gaps[..4], [100.0, 200.0, 400.0, 800.0]);
        assert_eq!(gaps[9], 5000.0);
        u.batches_stored(now, 1, 10);
        assert_eq!(u.next_upload(now), NextUpload::Send(9));
        let told = u.take_notices();
        assert!(
            matches!(told[..], [UploadNotice::Unavailable { .. }, UploadNotice::Recovered { .. }]),
            "{told:?}"
        );
    }

    #[test]
    fn a_spool_that_fills_says_so_before_anything_is_lost() {
        let mut u = upload();
        for _ in 0..10 {
            assert!(u.can_spool(100));
            u.batch_spooled(100);
        }
        assert_eq!(u.take_notices(), [UploadNotice::SpoolFilling { bytes: 800 }]);
        assert!(!u.can_spool(1) && !u.can_spool(1));
        assert_eq!(u.take_notices(), [UploadNotice::SpoolFull], "once");
        u.batches_stored(0.0, 4, 400);
        assert!(u.can_spool(100) && u.take_notices().is_empty());
        u.batches_stored(0.0, 4, 400);
        assert_eq!(u.take_notices(), [UploadNotice::SpoolHasRoom]);
    }

    #[test]
    fn what_was_loaded_long_ago_is_called_stale_once() {
        let mut u = upload();
        u.data_loaded(0.0);
        u.load_failed(1000.0, "gone");
        u.load_failed(61_000.0, "gone");
        u.load_failed(62_000.0, "gone");
        let stale = |t: &&UploadNotice| matches!(t, UploadNotice::StaleData { .. });
        assert_eq!(u.take_notices().iter().filter(stale).count(), 1);
        assert_eq!(u.data_age(62_000.0), Some(62_000.0));
    }

    proptest! {
        #[test]
        fn the_spool_is_never_over_its_bound_and_nothing_is_counted_twice(
            steps in prop::collection::vec((0u8..4, 1u64..300), 1..300),
        ) {
            let mut u = upload();
            let mut held: std::collections::VecDeque<u64> = Default::default();
            let (mut now, mut sending) = (0.0, 0);
            for (kind, n) in steps {
                now += n as f64;
                match kind {
                    0 | 1 if u.can_spool(n) => {
                        u.batch_spooled(n);
                        held.push_back(n);
                    }
                    2 => {
                        if let NextUpload::Send(count) = u.next_upload(now) {
                            sending = count;
                        }
                    }
                    _ if sending > 0 => {
                        if n % 2 == 0 {
                            u.upload_failed(now, "gone");
                        } else {
                            let bytes = held.drain(..sending).sum();
                            u.batches_stored(now, sending, bytes);
                        }
                        sending = 0;
                    }
                    _ => {}
                }
                prop_assert_eq!(u.bytes(), held.iter().sum::<u64>());
                prop_assert_eq!(u.waiting(), held.len());
                prop_assert!(u.bytes() <= 1000);
            }
        }
    }
}
