//! When to send what is spooled, and what to say about it. No input or output, no clock.
//!
//! # Why
//!
//! A database that is down must not be hammered, and one that comes back must not be met by everything at once. A spool
//! that fills must say so while there is still something to be done, and what is lost before it is lost.

/// The part of the spool at which it is told that it fills.
pub const WARN_PART: f64 = 0.8;

/// How it goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// The first pause after a failure, and the longest, in ms.
    pub pause_ms: f64,
    /// The longest.
    pub pause_most_ms: f64,
    /// Batches in one transaction, at the most.
    pub at_once: usize,
    /// Bytes that the spool may hold.
    pub spool_most: u64,
    /// Data that was loaded longer ago than this is called stale.
    pub stale_ms: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            pause_ms: 100.0,
            pause_most_ms: 5000.0,
            at_once: 64,
            spool_most: 64 << 20,
            stale_ms: 60_000.0,
        }
    }
}

/// What is worth telling operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Tell {
    /// The database has gone.
    Away {
        /// What it said.
        why: String,
    },
    /// It is back after so long, in ms.
    Back {
        /// How long it was away.
        after_ms: f64,
    },
    /// The spool is four fifths full.
    Fills {
        /// Bytes in it.
        bytes: u64,
    },
    /// The spool is full: gatekeepers hold their use themselves from now on, and one that is killed loses it.
    Full,
    /// There is room again.
    Room,
    /// What was loaded is older than it should be.
    Stale {
        /// How old it is, in ms.
        age_ms: f64,
    },
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Send so many batches now.
    Send(usize),
    /// Nothing before this time.
    Wait(f64),
    /// Nothing before something is spooled.
    Idle,
}

/// The state of the way to the database.
#[derive(Debug, Clone)]
pub struct Upload {
    settings: Settings,
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
    told: Vec<Tell>,
}

impl Upload {
    /// With what is in the spool from before.
    #[must_use]
    pub fn new(settings: Settings, waiting: usize, bytes: u64) -> Upload {
        Upload {
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
    pub fn tell(&mut self) -> Vec<Tell> {
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
    pub fn away_since(&self) -> Option<f64> {
        self.away_since
    }

    /// How old what was loaded is, in ms; none if nothing ever was.
    #[must_use]
    pub fn age(&self, now: f64) -> Option<f64> {
        self.loaded_at.map(|at| now - at)
    }

    /// Whether a batch of this size may be spooled. If not, nothing is acknowledged, and its gatekeeper keeps it.
    pub fn may_spool(&mut self, bytes: u64) -> bool {
        let room = self.bytes + bytes <= self.settings.spool_most;
        if !room && !std::mem::replace(&mut self.full, true) {
            self.told.push(Tell::Full);
        }
        room
    }

    /// A batch is in the spool, durably.
    pub fn spooled(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.waiting += 1;
        if self.bytes as f64 >= WARN_PART * self.settings.spool_most as f64
            && !std::mem::replace(&mut self.warned, true)
        {
            self.told.push(Tell::Fills { bytes: self.bytes });
        }
    }

    /// What is to be done now.
    pub fn next(&mut self, now: f64) -> Next {
        if self.sending || self.waiting == 0 {
            return Next::Idle;
        }
        if now < self.retry_at {
            return Next::Wait(self.retry_at);
        }
        self.sending = true;
        // One batch shows whether a database that was away is back.
        Next::Send(if self.away_since.is_some() { 1 } else { self.settings.at_once.min(self.waiting) })
    }

    /// So many batches have landed, and are out of the spool.
    pub fn landed(&mut self, now: f64, batches: usize, bytes: u64) {
        self.sending = false;
        self.waiting = self.waiting.saturating_sub(batches);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.sound(now);
        let most = self.settings.spool_most as f64;
        // Told again only after it has really emptied.
        if (self.bytes as f64) < 0.5 * most {
            self.warned = false;
            if std::mem::replace(&mut self.full, false) {
                self.told.push(Tell::Room);
            }
        }
    }

    /// Sending failed in a way that passes.
    pub fn failed(&mut self, now: f64, why: &str) {
        self.sending = false;
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2.0).min(self.settings.pause_most_ms);
        if self.away_since.is_none() {
            self.away_since = Some(now);
            self.told.push(Tell::Away { why: why.to_string() });
        }
    }

    /// The record was read.
    pub fn loaded(&mut self, now: f64) {
        self.loaded_at = Some(now);
        self.stale_told = false;
        self.sound(now);
    }

    /// Reading the record failed.
    pub fn not_loaded(&mut self, now: f64, why: &str) {
        if self.away_since.is_none() {
            self.away_since = Some(now);
            self.told.push(Tell::Away { why: why.to_string() });
        }
        if let Some(age_ms) = self.age(now).filter(|age| *age > self.settings.stale_ms)
            && !std::mem::replace(&mut self.stale_told, true)
        {
            self.told.push(Tell::Stale { age_ms });
        }
    }

    fn sound(&mut self, now: f64) {
        self.pause = self.settings.pause_ms;
        self.retry_at = f64::NEG_INFINITY;
        if let Some(since) = self.away_since.take() {
            self.told.push(Tell::Back { after_ms: now - since });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn upload() -> Upload {
        Upload::new(Settings { spool_most: 1000, ..Settings::default() }, 0, 0)
    }

    #[test]
    fn a_database_that_is_away_is_tried_less_and_less_often_and_with_one_batch() {
        let mut u = upload();
        for _ in 0..10 {
            u.spooled(10);
        }
        assert_eq!(u.next(0.0), Next::Send(10));
        assert_eq!(u.next(0.0), Next::Idle, "one at a time");
        let (mut now, mut gaps) = (0.0, Vec::new());
        for _ in 0..10 {
            u.failed(now, "gone");
            let Next::Wait(at) = u.next(now) else { panic!("tried again at once") };
            gaps.push(at - now);
            now = at;
            assert_eq!(u.next(now), Next::Send(1));
        }
        assert_eq!(gaps[..4], [100.0, 200.0, 400.0, 800.0]);
        assert_eq!(gaps[9], 5000.0);
        u.landed(now, 1, 10);
        assert_eq!(u.next(now), Next::Send(9));
        let told = u.tell();
        assert!(matches!(told[..], [Tell::Away { .. }, Tell::Back { .. }]), "{told:?}");
    }

    #[test]
    fn a_spool_that_fills_says_so_before_anything_is_lost() {
        let mut u = upload();
        for _ in 0..10 {
            assert!(u.may_spool(100));
            u.spooled(100);
        }
        assert_eq!(u.tell(), [Tell::Fills { bytes: 800 }]);
        assert!(!u.may_spool(1) && !u.may_spool(1));
        assert_eq!(u.tell(), [Tell::Full], "once");
        u.landed(0.0, 4, 400);
        assert!(u.may_spool(100) && u.tell().is_empty());
        u.landed(0.0, 4, 400);
        assert_eq!(u.tell(), [Tell::Room]);
    }

    #[test]
    fn what_was_loaded_long_ago_is_called_stale_once() {
        let mut u = upload();
        u.loaded(0.0);
        u.not_loaded(1000.0, "gone");
        u.not_loaded(61_000.0, "gone");
        u.not_loaded(62_000.0, "gone");
        let stale = |t: &&Tell| matches!(t, Tell::Stale { .. });
        assert_eq!(u.tell().iter().filter(stale).count(), 1);
        assert_eq!(u.age(62_000.0), Some(62_000.0));
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
                    0 | 1 if u.may_spool(n) => {
                        u.spooled(n);
                        held.push_back(n);
                    }
                    2 => {
                        if let Next::Send(count) = u.next(now) {
                            sending = count;
                        }
                    }
                    _ if sending > 0 => {
                        if n % 2 == 0 {
                            u.failed(now, "gone");
                        } else {
                            let bytes = held.drain(..sending).sum();
                            u.landed(now, sending, bytes);
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
