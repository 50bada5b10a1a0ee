//! Watches the event loop: one thread decides, so whatever holds it up delays every answer.
//!
//! One timer every [`PERIOD`]. A turn that comes late is counted and logged, with how much of the last second or so was this
//! process's own work and how much it waited for a core. Costs one timer each period, and a small read of `/proc` a second.

use crate::gatekeeper::Shared;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(250);
/// Looks between two readings of the kernel's account.
const ACCOUNT_PERIODS: u32 = 4;
/// A turn that is later than this is told of.
const LATE_AFTER: Duration = Duration::from_millis(50);

/// What the kernel says of this thread's time, since it started.
#[derive(Clone, Copy, Default)]
pub struct ThreadTime {
    /// On a core.
    pub running_ns: u64,
    /// Ready to run, and not on a core.
    pub waiting_ns: u64,
}

/// The kernel's account of this thread; where there is none, all figures are 0.
pub struct Account(Option<File>);

impl Account {
    /// Of the main thread.
    pub fn open() -> Account {
        Account(File::open("/proc/self/schedstat").ok())
    }

    /// What it says now.
    pub fn read(&self) -> ThreadTime {
        let mut text = [0; 96];
        let length = self.0.as_ref().and_then(|file| file.read_at(&mut text, 0).ok()).unwrap_or(0);
        let text = std::str::from_utf8(&text[..length]).unwrap_or_default();
        let mut figures = text.split_ascii_whitespace().map(|word| word.parse().unwrap_or(0));
        ThreadTime { running_ns: figures.next().unwrap_or(0), waiting_ns: figures.next().unwrap_or(0) }
    }
}

/// Watches for as long as the process lives.
pub async fn watch(gatekeeper: Shared) {
    let account = Account::open();
    let mut before = account.read();
    let mut looks = 0;
    loop {
        let due = Instant::now() + PERIOD;
        sleep_until(due.into()).await;
        let late = Instant::now().saturating_duration_since(due);
        looks += 1;
        if late > LATE_AFTER {
            let now = account.read();
            let ms = |after: u64, before: u64| after.saturating_sub(before) / 1_000_000;
            tracing::warn!(
                late_ms = late.as_millis() as u64,
                running_ms = ms(now.running_ns, before.running_ns),
                waiting_ms = ms(now.waiting_ns, before.waiting_ns),
                "the event loop was held up"
            );
            gatekeeper.borrow_mut().metrics.loop_held_up(late);
        }
        if looks % ACCOUNT_PERIODS == 0 {
            before = account.read();
        }
    }
}
