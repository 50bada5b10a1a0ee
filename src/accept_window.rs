//! Sliding window of the adaptive throttle: counts of requests and accepts by tier over the last
//! [`WINDOW_SLOTS`] slots. The probability of a refusal is computed from them elsewhere.

/// Number of slots in the window.
const WINDOW_SLOTS: usize = 10;
/// A slot ends when it has lasted this long and has seen `MIN_SLOT_REQUESTS` requests, or after its maximum
/// duration. With few requests, slots of a fixed duration would base the probability on a handful of
/// requests, which is noise.
const MIN_SLOT_MS: f64 = 300.0;
/// Minimum number of requests in a slot that ends before its maximum duration.
const MIN_SLOT_REQUESTS: u32 = 4;
/// Maximum duration of a slot.
const MAX_SLOT_MS: f64 = 3000.0;
/// Maximum duration of a slot in a large set of gatekeepers. Each of them sees few requests, so with
/// `MAX_SLOT_MS` it would remember a short disturbance for 30 seconds.
const MAX_SLOT_MS_LARGE_SET: f64 = 500.0;
/// Accepts added to those of each tier in a large set of gatekeepers, where the counts are small.
const EXTRA_ACCEPTS_LARGE_SET: f64 = 2.0;

/// Counts of recent requests and accepts by tier.
pub(crate) struct AcceptWindow {
    /// Requests and accepts by slot and tier.
    counts: Vec<Vec<(f64, f64)>>,
    /// Index of the current slot.
    slot: usize,
    /// When the current slot began, in ms.
    slot_started_at: f64,
    /// Number of requests in the current slot.
    slot_requests: u32,
    max_slot_ms: f64,
    extra_accepts: f64,
}

impl AcceptWindow {
    /// Creates an empty window. `is_large_set` tells whether the set of gatekeepers is large.
    pub fn new(tiers: usize, is_large_set: bool) -> AcceptWindow {
        let (max_slot_ms, extra_accepts) =
            if is_large_set { (MAX_SLOT_MS_LARGE_SET, EXTRA_ACCEPTS_LARGE_SET) } else { (MAX_SLOT_MS, 0.0) };
        let counts = vec![vec![(0.0, 0.0); tiers]; WINDOW_SLOTS];
        AcceptWindow { counts, slot: 0, slot_started_at: 0.0, slot_requests: 0, max_slot_ms, extra_accepts }
    }

    /// Ends the slots that are complete at the time `now` and clears the ones that follow.
    fn advance(&mut self, now: f64) {
        let mut elapsed_ms = now - self.slot_started_at;
        while elapsed_ms >= self.max_slot_ms
            || (elapsed_ms >= MIN_SLOT_MS && self.slot_requests >= MIN_SLOT_REQUESTS)
        {
            elapsed_ms =
                if self.slot_requests >= MIN_SLOT_REQUESTS { 0.0 } else { elapsed_ms - self.max_slot_ms };
            elapsed_ms = elapsed_ms.min(self.max_slot_ms * WINDOW_SLOTS as f64);
            self.slot = (self.slot + 1) % WINDOW_SLOTS;
            self.slot_requests = 0;
            self.counts[self.slot].fill((0.0, 0.0));
        }
        self.slot_started_at = now - elapsed_ms;
    }

    /// Counts one request of a tier.
    pub fn record(&mut self, now: f64, tier: usize, accepted: bool) {
        self.advance(now);
        let entry = &mut self.counts[self.slot][tier];
        entry.0 += 1.0;
        entry.1 += f64::from(u8::from(accepted));
        self.slot_requests += 1;
    }

    /// Returns the requests of a tier, its accepts (with the added ones), and the requests of all higher
    /// tiers that were not accepted.
    pub fn sums(&mut self, now: f64, tier: usize) -> (f64, f64, f64) {
        self.advance(now);
        let sum = |t: usize| self.counts.iter().fold((0.0, 0.0), |a, s| (a.0 + s[t].0, a.1 + s[t].1));
        let failures = (0..tier).map(sum).map(|(requests, accepts)| requests - accepts).sum();
        let (requests, accepts) = sum(tier);
        (requests, accepts + self.extra_accepts, failures)
    }
}

#[cfg(test)]
mod tests;
