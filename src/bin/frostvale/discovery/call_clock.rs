//! Schedule of the calls to discovery. It does no input or output; times are passed as arguments.

use std::time::Duration;
use tokio::time::Instant;

/// Time without a complete line after which a watch counts as dead, whatever TCP reports and whatever parts
/// of a line arrive.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time limit of a call: the agent answers at once with the list it has, so another call is made without the
/// whole list by then.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of the total delay of the next call by a list that is still arriving, until a whole line is
/// received.
pub const MAX_POSTPONEMENT: Duration = Duration::from_millis(750);

/// Computes when discovery is called next.
pub struct CallClock {
    due: Instant,
    /// Part of `MAX_POSTPONEMENT` that is not used up.
    postponement_left: Duration,
}

impl CallClock {
    /// Creates a schedule with the first call due at `now`.
    pub fn new(now: Instant) -> CallClock {
        CallClock { due: now, postponement_left: MAX_POSTPONEMENT }
    }

    /// When the next call is due.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Records that a complete line was received at `at`: the next call is due once the watch has been silent
    /// from then on.
    pub fn line_received(&mut self, at: Instant) {
        (self.due, self.postponement_left) = (at + SILENCE_LIMIT, MAX_POSTPONEMENT);
    }

    /// Records that a call was started.
    pub fn call_started(&mut self, now: Instant) {
        self.due = now + CALL_TIMEOUT;
    }

    /// Records that a call or a watch has ended: the next call is due after `pause` at the latest.
    pub fn call_ended(&mut self, now: Instant, pause: Duration) {
        self.due = self.due.min(now + pause);
    }

    /// Postpones a call that is due while a list is arriving that last made progress at `progress`. Returns
    /// whether it did.
    pub fn postpone(&mut self, progress: Option<Instant>) -> bool {
        let Some(progress) = progress else { return false };
        let until = (progress + CALL_TIMEOUT).min(self.due + self.postponement_left);
        if until <= self.due {
            return false;
        }
        self.postponement_left -= until - self.due;
        self.due = until;
        true
    }
}
