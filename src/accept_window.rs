//! The throttle's window: requests and accepts by tier, in slots that time and requests close. What is refused for them is
//! decided elsewhere.

/// So many slots, each of `SLOT` ms and `SLOT_LEAST` requests, or of `SLOT_LONGEST` ms: one that sees few requests would
/// make a chance of a handful else, and that is noise.
const SLOTS: usize = 10;
const SLOT: f64 = 300.0;
const SLOT_LEAST: u32 = 4;
const SLOT_LONGEST: f64 = 3000.0;
/// The longest slot of one of many gatekeepers, which with the usual one would remember a bad moment for half a minute, and
/// the accepts that each of its tiers is taken to have had beside.
const SLOT_MANY: f64 = 500.0;
const TAKEN_AS_WELL: f64 = 2.0;

/// Requests and accepts of late.
pub(crate) struct AcceptWindow {
    counts: Vec<Vec<(f64, f64)>>,
    slot: usize,
    slot_at: f64,
    slot_count: u32,
    longest: f64,
    beside: f64,
}

impl AcceptWindow {
    pub fn new(tiers: usize, many: bool) -> AcceptWindow {
        let (longest, beside) = if many { (SLOT_MANY, TAKEN_AS_WELL) } else { (SLOT_LONGEST, 0.0) };
        let counts = vec![vec![(0.0, 0.0); tiers]; SLOTS];
        AcceptWindow { counts, slot: 0, slot_at: 0.0, slot_count: 0, longest, beside }
    }

    fn turn(&mut self, now: f64) {
        let mut past = now - self.slot_at;
        while past >= self.longest || (past >= SLOT && self.slot_count >= SLOT_LEAST) {
            past = if self.slot_count >= SLOT_LEAST { 0.0 } else { past - self.longest };
            past = past.min(self.longest * SLOTS as f64);
            self.slot = (self.slot + 1) % SLOTS;
            self.slot_count = 0;
            self.counts[self.slot].fill((0.0, 0.0));
        }
        self.slot_at = now - past;
    }

    /// One request of a tier, accepted or not.
    pub fn record(&mut self, now: f64, tier: usize, accepted: bool) {
        self.turn(now);
        let entry = &mut self.counts[self.slot][tier];
        entry.0 += 1.0;
        entry.1 += f64::from(u8::from(accepted));
        self.slot_count += 1;
    }

    /// A tier's requests and accepts, and the failures of all tiers above it.
    pub fn sums(&mut self, now: f64, tier: usize) -> (f64, f64, f64) {
        self.turn(now);
        let sum = |t: usize| self.counts.iter().fold((0.0, 0.0), |a, s| (a.0 + s[t].0, a.1 + s[t].1));
        let failures = (0..tier).map(sum).map(|(requests, accepts)| requests - accepts).sum();
        let (requests, accepts) = sum(tier);
        (requests, accepts + self.beside, failures)
    }
}

#[cfg(test)]
mod tests;
