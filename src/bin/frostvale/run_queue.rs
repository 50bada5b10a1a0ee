//! Measures how long this process waited for a core before the latest turn of the event loop.
//!
//! Data that a turn reads may have arrived at any time since the previous turn woke. The kernel's scheduler
//! statistics of the thread tell for how much of that time it was ready to run but had no core:
//! `/proc/self/schedstat`, read each time the event loop wakes, which takes about a microsecond. Time in
//! which the process is stopped is not included.

use crate::event_loop::SchedStat;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Run-queue delays of the event loop's thread, updated when the runtime wakes.
pub struct RunQueue {
    sched_stat: SchedStat,
    delays: Delays,
}

/// Total run-queue delay so far, and the delay before the latest turn.
#[derive(Default)]
struct Delays {
    total_ns: AtomicU64,
    latest_ns: AtomicU64,
}

impl Delays {
    /// Records a wake-up of the event loop, with its thread's total delay since it started.
    fn record_wakeup(&self, total_ns: u64) {
        let previous_ns = self.total_ns.swap(total_ns, Ordering::Relaxed);
        self.latest_ns.store(total_ns.saturating_sub(previous_ns), Ordering::Relaxed);
    }
}

impl RunQueue {
    /// Opens the statistics of the calling process. Where there are none, every delay is 0.
    pub fn open() -> RunQueue {
        RunQueue { sched_stat: SchedStat::open(), delays: Delays::default() }
    }

    /// Records a wake-up of the event loop.
    pub fn record_wakeup(&self) {
        self.delays.record_wakeup(self.sched_stat.read().waiting_ns);
    }

    /// The time that this process has waited for a core since it started, as of the latest wake-up.
    pub fn total_delay(&self) -> Duration {
        Duration::from_nanos(self.delays.total_ns.load(Ordering::Relaxed))
    }

    /// The longest time that data which is read now may have waited for this process to get a core.
    pub fn last_delay(&self) -> Duration {
        Duration::from_nanos(self.delays.latest_ns.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn latest_delay_excludes_delays_before_earlier_turns() {
        let delays = Delays::default();
        let latest = |total_ns| {
            delays.record_wakeup(total_ns);
            delays.latest_ns.load(Ordering::Relaxed)
        };
        assert_eq!([5, 5, 905, 906].map(latest), [5, 0, 900, 1]);
    }

    #[test]
    fn total_that_decreases_counts_as_no_delay() {
        let delays = Delays::default();
        delays.record_wakeup(100);
        delays.record_wakeup(0);
        assert_eq!(delays.latest_ns.load(Ordering::Relaxed), 0);
    }
}
