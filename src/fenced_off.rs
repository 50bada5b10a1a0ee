//! State of the common decision on which gatekeepers are fenced off: a fenced-off gatekeeper refuses all
//! requests, and the others ignore its messages. Without a decision this has no effect; a decision that is
//! not renewed expires.

use std::collections::BTreeSet;

/// Maximum number of gatekeepers that are fenced off at the same time.
const MAX_FENCED_OFF: usize = 1024;

/// Which gatekeepers are fenced off.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FenceOffDecision {
    /// Whether this gatekeeper is fenced off.
    pub includes_self: bool,
    /// Indexes of the other gatekeepers that are fenced off.
    pub others: Vec<u32>,
    /// Retry delay for refused clients, in ms.
    pub retry_after_ms: f64,
    /// How long the decision holds if it is not renewed, in ms.
    pub hold_ms: f64,
}

/// The decision in effect.
#[derive(Default)]
pub(crate) struct FencedOff {
    /// Retry delay if this gatekeeper is fenced off.
    own_retry_after_ms: Option<f64>,
    others: BTreeSet<u32>,
    /// When the decision expires, in ms.
    until: f64,
}

impl FencedOff {
    /// Applies a decision received at `now`. Decisions with values that are not finite or with too many
    /// gatekeepers are ignored. A decision holds for at most an hour.
    pub fn apply_decision(&mut self, now: f64, decision: &FenceOffDecision) {
        if !(decision.hold_ms.is_finite() && decision.retry_after_ms.is_finite())
            || decision.others.len() > MAX_FENCED_OFF
        {
            return;
        }
        self.own_retry_after_ms = decision.includes_self.then_some(decision.retry_after_ms.max(0.0));
        self.others = decision.others.iter().copied().collect();
        self.until = now + decision.hold_ms.clamp(0.0, 3.6e6);
    }

    /// Whether the decision has not expired.
    fn is_in_effect(&self, now: f64) -> bool {
        now < self.until
    }

    /// Whether this gatekeeper has to refuse all requests.
    pub fn is_fenced_off(&self, now: f64) -> bool {
        self.own_retry_after_ms.is_some() && self.is_in_effect(now)
    }

    /// Retry delay for clients in ms; 0 if this gatekeeper is not fenced off.
    pub fn retry_after_ms(&self, now: f64) -> f64 {
        if self.is_fenced_off(now) { self.own_retry_after_ms.unwrap_or(0.0) } else { 0.0 }
    }

    /// Whether messages of this gatekeeper are accepted.
    pub fn accepts_messages_from(&self, now: f64, from: u32) -> bool {
        self.others.is_empty() || !self.is_in_effect(now) || !self.others.contains(&from)
    }
}

#[cfg(test)]
mod tests;
