//! Monitors delays of the event loop: a single thread makes all decisions, so whatever blocks it delays every
//! answer.
//!
//! A timer fires every [`PERIOD`]. A late one is counted and logged, with the time since the last reading of
//! the kernel's statistics, about a second, in which the thread ran and in which it waited for a core. The
//! cost is one timer per period and a small read of `/proc` per second.

use crate::gatekeeper::Shared;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Interval of the timer.
const PERIOD: Duration = Duration::from_millis(250);
/// Number of timer periods between two readings of the scheduler statistics.
const SCHEDSTAT_PERIODS: u32 = 4;
/// Delay of the timer above which it is counted and logged.
const LATE_THRESHOLD: Duration = Duration::from_millis(50);

/// CPU time of a thread since it started, as the kernel's scheduler statistics give it.
#[derive(Clone, Copy, Default)]
pub struct ThreadTime {
    /// Time on a core, in ns.
    pub running_ns: u64,
    /// Time ready to run without a core, in ns.
    pub waiting_ns: u64,
}

/// The file with the kernel's scheduler statistics of the main thread. Where there is none, all values are 0.
pub struct SchedStat(Option<File>);

impl SchedStat {
    /// Opens the statistics of the main thread.
    pub fn open() -> SchedStat {
        SchedStat(File::open("/proc/self/schedstat").ok())
    }

    /// Reads the current values.
    pub fn read(&self) -> ThreadTime {
        let mut text = [0; 96];
        let length = self.0.as_ref().and_then(|file| file.read_at(&mut text, 0).ok()).unwrap_or(0);
        let text = std::str::from_utf8(&text[..length]).unwrap_or_default();
        let mut values = text.split_ascii_whitespace().map(|word| word.parse().unwrap_or(0));
        ThreadTime { running_ns: values.next().unwrap_or(0), waiting_ns: values.next().unwrap_or(0) }
    }
}

/// Monitors the event loop for as long as the process lives.
pub async fn watch(gatekeeper: Shared) {
    let sched_stat = SchedStat::open();
    let mut before = sched_stat.read();
    let mut periods = 0;
    loop {
        let due = Instant::now() + PERIOD;
        sleep_until(due.into()).await;
        let late = Instant::now().saturating_duration_since(due);
        periods += 1;
        if late > LATE_THRESHOLD {
            let now = sched_stat.read();
            let ms = |after: u64, before: u64| after.saturating_sub(before) / 1_000_000;
            tracing::warn!(
                late_ms = late.as_millis() as u64,
                running_ms = ms(now.running_ns, before.running_ns),
                waiting_ms = ms(now.waiting_ns, before.waiting_ns),
                "event loop delayed"
            );
            gatekeeper.borrow_mut().metrics.record_loop_delay(late);
        }
        if periods % SCHEDSTAT_PERIODS == 0 {
            before = sched_stat.read();
        }
    }
}
