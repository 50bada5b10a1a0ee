//! When discovery is called again: no input or output, times come as arguments.

use std::time::Duration;
use tokio::time::Instant;

/// With no whole line for this long a watch is thought dead, whatever TCP says and whatever pieces of one still come.
pub const SILENT: Duration = Duration::from_secs(3);
/// The agent answers at once with what it has: without the whole list by then another call is made.
pub const CALL: Duration = Duration::from_secs(1);
/// A list that keeps coming puts off the next call by so much in all, until something is heard.
pub const SLOW_LIST: Duration = Duration::from_millis(750);

/// The time of the next call.
pub struct CallClock {
    due: Instant,
    delay_left: Duration,
}

impl CallClock {
    /// The first call is due now.
    pub fn new(now: Instant) -> CallClock {
        CallClock { due: now, delay_left: SLOW_LIST }
    }

    /// When the next call is due.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// A whole line was heard.
    pub fn line_received(&mut self, at: Instant) {
        (self.due, self.delay_left) = (at + SILENT, SLOW_LIST);
    }

    /// A call has begun.
    pub fn call_started(&mut self, now: Instant) {
        self.due = now + CALL;
    }

    /// A call or a watch has ended; the next call is made after a pause.
    pub fn call_ended(&mut self, now: Instant, pause: Duration) {
        self.due = self.due.min(now + pause);
    }

    /// Puts the call that is due off where a list is being read, more of which came at this time. Whether it did.
    pub fn postpone(&mut self, progress: Option<Instant>) -> bool {
        let Some(progress) = progress else { return false };
        let until = (progress + CALL).min(self.due + self.delay_left);
        if until <= self.due {
            return false;
        }
        self.delay_left -= until - self.due;
        self.due = until;
        true
    }
}
