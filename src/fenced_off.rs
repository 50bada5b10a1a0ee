//! The seam for who is shut out of the fleet by a decision in common: it turns all away, and nobody takes its notes. Without
//! such a decision nothing here does anything; one that is not renewed ends at its time.

use std::collections::BTreeSet;

/// Gatekeepers that may be shut out at once.
const OUT_MOST: usize = 1024;

/// Who is shut out.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FenceOffDecision {
    /// Whether this gatekeeper is.
    pub includes_self: bool,
    /// The numbers of the others that are.
    pub others: Vec<u32>,
    /// When clients that are turned away should come back, in ms.
    pub retry_after_ms: f64,
    /// For how long it holds when it is not renewed, in ms.
    pub hold_ms: f64,
}

/// What stands.
#[derive(Default)]
pub(crate) struct FencedOff {
    own: Option<f64>,
    others: BTreeSet<u32>,
    until: f64,
}

impl FencedOff {
    pub fn apply_decision(&mut self, now: f64, shut: &FenceOffDecision) {
        if !(shut.hold_ms.is_finite() && shut.retry_after_ms.is_finite()) || shut.others.len() > OUT_MOST {
            return;
        }
        self.own = shut.includes_self.then_some(shut.retry_after_ms.max(0.0));
        self.others = shut.others.iter().copied().collect();
        self.until = now + shut.hold_ms.clamp(0.0, 3.6e6);
    }

    fn holds(&self, now: f64) -> bool {
        now < self.until
    }

    /// Whether all is to be turned away here.
    pub fn is_fenced_off(&self, now: f64) -> bool {
        self.own.is_some() && self.holds(now)
    }

    /// When clients should come back; 0 where nothing is to be said.
    pub fn retry_after_ms(&self, now: f64) -> f64 {
        if self.is_fenced_off(now) { self.own.unwrap_or(0.0) } else { 0.0 }
    }

    /// Whether notes of this one are taken.
    pub fn accepts_messages_from(&self, now: f64, from: u32) -> bool {
        self.others.is_empty() || !self.holds(now) || !self.others.contains(&from)
    }
}

#[cfg(test)]
mod tests;
