//! The adaptive throttle: refuses requests locally when servers accept too few of those that they are sent.

use super::Control;
use rand::Rng;

/// The throttle passes up to this multiple of the accepted requests: when less than one request in this many
/// succeeds, everything but the minimum rate is refused.
const THROTTLE_MULTIPLIER: f64 = 2.0;
/// Minimum rate at which a tier passes the throttle, per second and server, so that recovery is noticed. It
/// is the sum over all gatekeepers: a minimum for each of them would add up to an overload.
const MIN_PASSES_PER_SERVER_SECOND: f64 = 0.15;

/// The throttle's decision on one request.
pub(super) struct ThrottleDecision {
    pub is_refused: bool,
    /// Factor of the limit of the expected latency: above 1 where the request's source is refused less than
    /// others. Servers that are filled by others up to their limit still have room for it.
    pub latency_limit_factor: f64,
}

impl Control {
    /// Counts a request of a tier as accepted by the servers, or not, for the throttle.
    pub(super) fn record_acceptance(&mut self, tier: usize, accepted: bool) {
        self.accept_window.record(self.now, tier, accepted);
    }

    /// The probability with which the throttle refuses a request of this tier.
    fn refusal_probability(&mut self, tier: usize) -> f64 {
        let (requests, accepts, failures) = self.accept_window.sums(self.now, tier);
        ((requests + failures - THROTTLE_MULTIPLIER * accepts) / (requests + failures + 1.0)).max(0.0)
    }

    /// Draws whether a request of this tier is refused, by the recent requests of its source; the tier's
    /// minimum rate always passes.
    pub(super) fn throttle(&mut self, tier: usize, source: u64) -> ThrottleDecision {
        self.source_shares.record(self.now, source);
        let of_tier = self.refusal_probability(tier);
        let probability = self.source_shares.refusal_probability(self.now, source, of_tier);
        let latency_limit_factor = if probability < of_tier { 2.0 - probability / of_tier } else { 1.0 };
        let min_rate =
            MIN_PASSES_PER_SERVER_SECOND * self.servers.len() as f64 / f64::from(self.cfg.gatekeepers);
        let drawn_to_refuse = probability > 0.0 && self.rng.random::<f64>() < probability;
        if drawn_to_refuse && self.now - self.last_passed_at[tier] < 1000.0 / min_rate {
            return ThrottleDecision { is_refused: true, latency_limit_factor };
        }
        self.last_passed_at[tier] = self.now;
        ThrottleDecision { is_refused: false, latency_limit_factor }
    }
}
