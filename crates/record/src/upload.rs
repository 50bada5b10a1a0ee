//! When to upload spooled use, and which notices to give about it. Does no I/O and reads no clock.
//!
//! # Why
//!
//! A database that is down must not be flooded with retries, and one that recovers must not receive the whole
//! backlog at once. A spool that fills up has to give notice while an operator can still act, that is, before
//! any use is lost.

/// The fraction of the spool's capacity at which a notice is given.
pub const SPOOL_WARN_FRACTION: f64 = 0.8;

/// Settings of the uploader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UploadSettings {
    /// The first pause after a failure, in ms; it doubles with each further failure.
    pub pause_ms: f64,
    /// The longest pause, in ms.
    pub max_pause_ms: f64,
    /// The maximum number of batches in one transaction.
    pub max_batches: usize,
    /// The capacity of the spool, in bytes.
    pub max_spool_bytes: u64,
    /// The age from which loaded data is reported as stale, in ms.
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

/// A notice for operators.
#[derive(Debug, Clone, PartialEq)]
pub enum UploadNotice {
    /// The database has become unavailable.
    Unavailable {
        /// The error.
        why: String,
    },
    /// The database is available again.
    Recovered {
        /// How long it was unavailable, in ms.
        after_ms: f64,
    },
    /// The spool has reached [`SPOOL_WARN_FRACTION`] of its capacity, four fifths.
    SpoolFilling {
        /// Bytes in the spool.
        bytes: u64,
    },
    /// The spool is full: from now on gatekeepers hold their use themselves, and a gatekeeper that is killed
    /// loses it.
    SpoolFull,
    /// The spool has room again.
    SpoolHasRoom,
    /// The loaded data is older than `stale_ms`.
    StaleData {
        /// Its age, in ms.
        age_ms: f64,
    },
}

/// What the uploader has to do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NextUpload {
    /// Send this many batches now.
    Send(usize),
    /// Send nothing before this time, in ms.
    Wait(f64),
    /// Send nothing until a batch is spooled or the current upload ends.
    Idle,
}

/// Decides when to upload, from the state of the spool and of the database. All times are in ms by the
/// caller's clock.
#[derive(Debug, Clone)]
pub struct UploadScheduler {
    settings: UploadSettings,
    bytes: u64,
    waiting: usize,
    is_sending: bool,
    unavailable_since: Option<f64>,
    retry_at: f64,
    pause: f64,
    has_warned: bool,
    is_full: bool,
    loaded_at: Option<f64>,
    has_reported_stale: bool,
    notices: Vec<UploadNotice>,
}

impl UploadScheduler {
    /// A scheduler for a spool that already holds `waiting` batches of `bytes` bytes in all.
    #[must_use]
    pub fn new(settings: UploadSettings, waiting: usize, bytes: u64) -> UploadScheduler {
        UploadScheduler {
            pause: settings.pause_ms,
            settings,
            bytes,
            waiting,
            is_sending: false,
            unavailable_since: None,
            retry_at: f64::NEG_INFINITY,
            has_warned: false,
            is_full: false,
            loaded_at: None,
            has_reported_stale: false,
            notices: Vec::new(),
        }
    }

    /// Returns and clears the notices since the last call.
    pub fn take_notices(&mut self) -> Vec<UploadNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Bytes in the spool.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Batches in the spool.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Since when the database has been unavailable, in ms.
    #[must_use]
    pub fn unavailable_since(&self) -> Option<f64> {
        self.unavailable_since
    }

    /// The age of the loaded data, in ms; `None` if none was ever loaded.
    #[must_use]
    pub fn data_age(&self, now: f64) -> Option<f64> {
        self.loaded_at.map(|at| now - at)
    }

    /// Whether a batch of this size fits into the spool. If not, it must not be acknowledged, and its
    /// gatekeeper keeps it.
    pub fn can_spool(&mut self, bytes: u64) -> bool {
        let fits = self.bytes + bytes <= self.settings.max_spool_bytes;
        if !fits && !std::mem::replace(&mut self.is_full, true) {
            self.notices.push(UploadNotice::SpoolFull);
        }
        fits
    }

    /// Records that a batch was written to the spool durably.
    pub fn batch_spooled(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.waiting += 1;
        if self.bytes as f64 >= SPOOL_WARN_FRACTION * self.settings.max_spool_bytes as f64
            && !std::mem::replace(&mut self.has_warned, true)
        {
            self.notices.push(UploadNotice::SpoolFilling { bytes: self.bytes });
        }
    }

    /// Decides what to do now; [`NextUpload::Send`] begins an upload.
    pub fn next_upload(&mut self, now: f64) -> NextUpload {
        if self.is_sending || self.waiting == 0 {
            return NextUpload::Idle;
        }
        if now < self.retry_at {
            return NextUpload::Wait(self.retry_at);
        }
        self.is_sending = true;
        // A single batch probes whether a database that was unavailable has recovered.
        NextUpload::Send(if self.unavailable_since.is_some() {
            1
        } else {
            self.settings.max_batches.min(self.waiting)
        })
    }

    /// Records that batches were stored in the database and removed from the spool.
    pub fn batches_stored(&mut self, now: f64, batches: usize, bytes: u64) {
        self.is_sending = false;
        self.waiting = self.waiting.saturating_sub(batches);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.record_success(now);
        let capacity = self.settings.max_spool_bytes as f64;
        // The notices are re-armed only once the spool is less than half full.
        if (self.bytes as f64) < 0.5 * capacity {
            self.has_warned = false;
            if std::mem::replace(&mut self.is_full, false) {
                self.notices.push(UploadNotice::SpoolHasRoom);
            }
        }
    }

    /// Records that an upload failed with a transient error.
    pub fn upload_failed(&mut self, now: f64, why: &str) {
        self.is_sending = false;
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2.0).min(self.settings.max_pause_ms);
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(now);
            self.notices.push(UploadNotice::Unavailable { why: why.to_string() });
        }
    }

    /// Records that the data was loaded from the database.
    pub fn data_loaded(&mut self, now: f64) {
        self.loaded_at = Some(now);
        self.has_reported_stale = false;
        self.record_success(now);
    }

    /// Records that loading the data failed.
    pub fn load_failed(&mut self, now: f64, why: &str) {
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(now);
            self.notices.push(UploadNotice::Unavailable { why: why.to_string() });
        }
        if let Some(age_ms) = self.data_age(now).filter(|age| *age > self.settings.stale_ms)
            && !std::mem::replace(&mut self.has_reported_stale, true)
        {
            self.notices.push(UploadNotice::StaleData { age_ms });
        }
    }

    /// Records that the database answered: resets the backoff.
    fn record_success(&mut self, now: f64) {
        self.pause = self.settings.pause_ms;
        self.retry_at = f64::NEG_INFINITY;
        if let Some(since) = self.unavailable_since.take() {
            self.notices.push(UploadNotice::Recovered { after_ms: now - since });
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
    fn retries_back_off_and_send_one_batch_while_the_database_is_unavailable() {
        let mut u = upload();
        for _ in 0..10 {
            u.batch_spooled(10);
        }
        assert_eq!(u.next_upload(0.0), NextUpload::Send(10));
        assert_eq!(u.next_upload(0.0), NextUpload::Idle, "one upload at a time");
        let (mut now, mut pauses) = (0.0, Vec::new());
        for _ in 0..10 {
            u.upload_failed(now, "gone");
            let NextUpload::Wait(at) = u.next_upload(now) else { panic!("retried without a pause") };
            pauses.push(at - now);
            now = at;
            assert_eq!(u.next_upload(now), NextUpload::Send(1));
        }
        assert_eq!(pauses[..4], [100.0, 200.0, 400.0, 800.0]);
        assert_eq!(pauses[9], 5000.0);
        u.batches_stored(now, 1, 10);
        assert_eq!(u.next_upload(now), NextUpload::Send(9));
        let notices = u.take_notices();
        assert!(
            matches!(notices[..], [UploadNotice::Unavailable { .. }, UploadNotice::Recovered { .. }]),
            "{notices:?}"
        );
    }

    #[test]
    fn spool_gives_notices_before_it_is_full_and_when_it_has_room_again() {
        let mut u = upload();
        for _ in 0..10 {
            assert!(u.can_spool(100));
            u.batch_spooled(100);
        }
        assert_eq!(u.take_notices(), [UploadNotice::SpoolFilling { bytes: 800 }]);
        assert!(!u.can_spool(1) && !u.can_spool(1));
        assert_eq!(u.take_notices(), [UploadNotice::SpoolFull], "reported once");
        u.batches_stored(0.0, 4, 400);
        assert!(u.can_spool(100) && u.take_notices().is_empty());
        u.batches_stored(0.0, 4, 400);
        assert_eq!(u.take_notices(), [UploadNotice::SpoolHasRoom]);
    }

    #[test]
    fn stale_data_is_reported_once() {
        let mut u = upload();
        u.data_loaded(0.0);
        u.load_failed(1000.0, "gone");
        u.load_failed(61_000.0, "gone");
        u.load_failed(62_000.0, "gone");
        let is_stale = |t: &&UploadNotice| matches!(t, UploadNotice::StaleData { .. });
        assert_eq!(u.take_notices().iter().filter(is_stale).count(), 1);
        assert_eq!(u.data_age(62_000.0), Some(62_000.0));
    }

    proptest! {
        #[test]
        fn spool_size_stays_within_its_capacity_and_counts_each_batch_once(
            steps in prop::collection::vec((0u8..4, 1u64..300), 1..300),
        ) {
            let mut u = upload();
            let mut spooled: std::collections::VecDeque<u64> = Default::default();
            let (mut now, mut sending) = (0.0, 0);
            for (kind, n) in steps {
                now += n as f64;
                match kind {
                    0 | 1 if u.can_spool(n) => {
                        u.batch_spooled(n);
                        spooled.push_back(n);
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
                            let bytes = spooled.drain(..sending).sum();
                            u.batches_stored(now, sending, bytes);
                        }
                        sending = 0;
                    }
                    _ => {}
                }
                prop_assert_eq!(u.bytes(), spooled.iter().sum::<u64>());
                prop_assert_eq!(u.waiting(), spooled.len());
                prop_assert!(u.bytes() <= 1000);
            }
        }
    }
}
