//! How long this process waited for a core before its latest turn of the event loop.
//!
//! What a turn reads may have come since the one before woke. The kernel's account of the thread says how much of that time
//! it was ready to run and did not: `/proc/self/schedstat`, one read each time the event loop wakes, about a microsecond.
//! Time in which the process is stopped is not in the account.

use crate::event_loop::Account;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The waits of the event loop's thread, kept by the runtime's wake-ups.
pub struct RunQueue {
    account: Account,
    delays: Delays,
}

/// What was waited so far, and within the latest turn.
#[derive(Default)]
struct Delays {
    total_ns: AtomicU64,
    latest_ns: AtomicU64,
}

impl Delays {
    /// The event loop has woken, and this is what its thread has waited since it started.
    fn woke(&self, total_ns: u64) {
        let before_ns = self.total_ns.swap(total_ns, Ordering::Relaxed);
        self.latest_ns.store(total_ns.saturating_sub(before_ns), Ordering::Relaxed);
    }
}

impl RunQueue {
    /// Of the calling thread's process. Where there is no account, nothing was ever waited.
    pub fn open() -> RunQueue {
        RunQueue { account: Account::open(), delays: Delays::default() }
    }

    /// The event loop has woken.
    pub fn record_wakeup(&self) {
        self.delays.woke(self.account.read().waiting_ns);
    }

    /// How long what is read now may have waited for this process to get a core.
    pub fn last_delay(&self) -> Duration {
        Duration::from_nanos(self.delays.latest_ns.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_wait_before_the_latest_turn_is_told_and_no_earlier_one() {
        let delays = Delays::default();
        let latest = |total_ns| {
            delays.woke(total_ns);
            delays.latest_ns.load(Ordering::Relaxed)
        };
        assert_eq!([5, 5, 905, 906].map(latest), [5, 0, 900, 1]);
    }

    #[test]
    fn an_account_that_goes_back_is_no_wait() {
        let delays = Delays::default();
        delays.woke(100);
        delays.woke(0);
        assert_eq!(delays.latest_ns.load(Ordering::Relaxed), 0);
    }
}
