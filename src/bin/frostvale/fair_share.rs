//! Shares the event loop among the sources of its input, so that one that sends at full speed cannot delay the
//! others.
//!
//! Work for a source, such as a client's connection, is done in slices that are bounded in time and in number
//! of items. Each source has an allowance of time that refills at a share of the elapsed time, without that in
//! which this process waited for a core. Within its allowance its slices begin at once. Beyond it they wait in a queue, in the order of arrival, together with
//! those of all other such sources. The queue is served in rounds, each followed by a rest that lasts a
//! multiple of the round. Both are measured by the wall clock: where several processes share a core, rounds
//! take longer and so do the rests, and a process that rests gets the core at once when it has other work.

use crate::run_queue::RunQueue;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep_until;

/// A slice ends after the item that reaches this time.
const SLICE_TIME: Duration = Duration::from_micros(200);
/// Maximum number of items in a slice.
const SLICE_ITEMS: u32 = 32;
/// Slices of sources beyond their allowances that add up to this time are followed by a rest.
const ROUND_TIME: Duration = Duration::from_millis(2);
/// Length of a rest as a multiple of the round's length.
const REST_FACTOR: u32 = 3;
/// Maximum allowance that a source can save up.
const MAX_ALLOWANCE: Duration = Duration::from_millis(2);
/// Allowance of a new source. It is short, as a client that comes again and again is a new source each time.
const NEW_ALLOWANCE: Duration = SLICE_TIME;
/// Share of the elapsed time by which the allowances of all sources together refill.
const TOTAL_REFILL_SHARE: f64 = 0.8;
/// Upper limit of the share by which the allowance of one source refills.
const MAX_REFILL_SHARE: f64 = 0.1;

/// The event loop as it is shared by the sources of one kind of input.
pub struct FairShare {
    run_queue: Arc<RunQueue>,
    created_at: Instant,
    /// Held by the source whose turn in the queue it is. Waiting sources get it in the order of arrival.
    queue: Semaphore,
    /// Total time of the queue's slices since the last rest.
    round_time: Cell<Duration>,
    /// When the last rest ends.
    rest_until: Cell<Instant>,
    sources: Cell<usize>,
}

impl FairShare {
    /// Creates the share without any sources.
    pub fn new(run_queue: Arc<RunQueue>) -> Rc<FairShare> {
        Rc::new(FairShare {
            run_queue,
            created_at: Instant::now(),
            queue: Semaphore::new(1),
            round_time: Cell::default(),
            rest_until: Cell::new(Instant::now()),
            sources: Cell::new(0),
        })
    }

    /// Adds a source.
    pub fn add_source(self: &Rc<FairShare>) -> Source {
        self.sources.set(self.sources.get() + 1);
        let allowance = RefCell::new(Allowance::new(self.usable_time(Instant::now())));
        Source { share: self.clone(), allowance, queued_slices: Cell::new(0) }
    }

    /// The time since this was created in which the process did not wait for a core.
    fn usable_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.created_at).saturating_sub(self.run_queue.total_delay())
    }

    /// The share of the elapsed time by which the allowance of each source refills.
    fn refill_share(&self) -> f64 {
        (TOTAL_REFILL_SHARE / self.sources.get() as f64).min(MAX_REFILL_SHARE)
    }

    /// Counts a slice of the queue, and begins a rest if the round is complete.
    fn record_queued_slice(&self, now: Instant, time: Duration) {
        let round_time = self.round_time.get() + time;
        if round_time < ROUND_TIME {
            return self.round_time.set(round_time);
        }
        self.round_time.set(Duration::ZERO);
        self.rest_until.set(now + round_time * REST_FACTOR);
    }
}

/// Time that a source may use at once.
struct Allowance {
    /// Seconds left as of `refilled_at`; negative after a slice that took longer than what was left.
    left: f64,
    /// By [`FairShare::usable_time`].
    refilled_at: Duration,
}

impl Allowance {
    fn new(now: Duration) -> Allowance {
        Allowance { left: NEW_ALLOWANCE.as_secs_f64(), refilled_at: now }
    }

    /// Adds `refill_share` of the time since the last call. Returns whether time is left.
    fn refill(&mut self, now: Duration, refill_share: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.left = (self.left + elapsed * refill_share).min(MAX_ALLOWANCE.as_secs_f64());
        self.refilled_at = now.max(self.refilled_at);
        self.left > 0.0
    }

    /// Takes the time of a slice. No more than a whole allowance is owed, so that a source does not wait long
    /// for a slice during which the process was held up.
    fn consume(&mut self, time: Duration) {
        self.left = (self.left - time.as_secs_f64()).max(-MAX_ALLOWANCE.as_secs_f64());
    }
}

/// One source of input.
pub struct Source {
    share: Rc<FairShare>,
    allowance: RefCell<Allowance>,
    /// Number of slices for which it waited in the queue.
    queued_slices: Cell<u64>,
}

impl Source {
    /// Number of slices for which it waited in the queue, as it was beyond its allowance.
    pub fn queued_slices(&self) -> u64 {
        self.queued_slices.get()
    }

    /// Begins a slice at once, if the source is within its allowance.
    fn try_begin(&self) -> Option<Slice<'_>> {
        let now = Instant::now();
        let (usable_time, refill_share) = (self.share.usable_time(now), self.share.refill_share());
        let is_allowed = self.allowance.borrow_mut().refill(usable_time, refill_share);
        is_allowed.then(|| Slice::new(self, now, None))
    }

    /// Begins a slice as soon as it is this source's turn. Nothing is lost if the future is dropped, except
    /// the place in the queue.
    pub async fn begin(&self) -> Slice<'_> {
        if let Some(slice) = self.try_begin() {
            return slice;
        }
        self.queued_slices.set(self.queued_slices.get() + 1);
        // The semaphore is never closed, so there always is a permit.
        let permit = self.share.queue.acquire().await.ok();
        let rest_until = self.share.rest_until.get();
        if rest_until > Instant::now() {
            sleep_until(rest_until.into()).await;
        }
        Slice::new(self, Instant::now(), permit)
    }

    /// Counts work that has been done since `started_at`, and waits until this source could begin a slice. No
    /// more than a whole allowance is counted, as the work of others may have come between.
    pub async fn pay_since(&self, started_at: Instant) {
        let time = started_at.elapsed().min(MAX_ALLOWANCE);
        self.begin().await.done_before.set(time);
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.share.sources.set(self.share.sources.get() - 1);
    }
}

/// Work for one source that is being done. The time until it is dropped counts as used.
pub struct Slice<'a> {
    source: &'a Source,
    started_at: Instant,
    /// When the last item was done.
    last_item_at: Cell<Instant>,
    items: Cell<u32>,
    /// Time of earlier work that is counted with this slice.
    done_before: Cell<Duration>,
    permit: Option<SemaphorePermit<'a>>,
}

impl<'a> Slice<'a> {
    fn new(source: &'a Source, now: Instant, permit: Option<SemaphorePermit<'a>>) -> Slice<'a> {
        Slice {
            source,
            started_at: now,
            last_item_at: Cell::new(now),
            items: Cell::new(0),
            done_before: Cell::default(),
            permit,
        }
    }

    /// Counts an item of work that is done. Returns whether the slice may go on.
    pub fn record_item(&self) -> bool {
        let now = Instant::now();
        self.last_item_at.set(now);
        self.items.set(self.items.get() + 1);
        self.items.get() < SLICE_ITEMS && now.saturating_duration_since(self.started_at) < SLICE_TIME
    }
}

impl Drop for Slice<'_> {
    fn drop(&mut self) {
        let now = self.last_item_at.get();
        let time = self.done_before.get() + now.saturating_duration_since(self.started_at);
        if self.permit.is_some() {
            self.source.share.record_queued_slice(now, time);
        } else {
            self.source.allowance.borrow_mut().consume(time);
        }
    }
}

#[cfg(test)]
mod tests;
