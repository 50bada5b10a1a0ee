//! Bookkeeping of quota requests: their numbers, the budget for resends, and the replies given to each.
//!
//! As sender, a gatekeeper numbers its requests and recognizes the second reply to a request that it has
//! resent. As quota owner it keeps its recent replies, so that a request that arrives twice is charged once
//! and gets the same reply. The caller decides whether and when a request is sent. Replies and the
//! numbers of resent requests are kept in a [`RecentMap`], which is bounded in time and size.

use crate::recent_map::RecentMap;
use crate::state::QuotaReply;

/// Resends that each request adds to the budget. Where messages are lost because receivers' intakes are full,
/// resending every request would double the load and lose more of them.
const RESENDS_PER_REQUEST: f64 = 0.2;
/// Upper bound, and initial value, of the resend budget.
const MAX_RESEND_BUDGET: f64 = 5.0;

/// Identifies a request at its quota owner: the customer's key, the index of the sender, and the sender's
/// request number.
pub(crate) type RequestKey = (u64, u32, u64);

/// Quota requests that one gatekeeper has sent, and its replies to those it has received.
pub(crate) struct QuotaRequests {
    last_number: u64,
    /// Requests that may be resent now.
    resend_budget: f64,
    /// Numbers of resent requests, and whether a final reply (any but `Wait`) has arrived.
    resent: RecentMap<u64, bool>,
    /// As quota owner: the last reply to each request, and the units granted.
    replies: RecentMap<RequestKey, (QuotaReply, f64)>,
}

impl QuotaRequests {
    /// Starts the numbers at the low 16 bits of `seed`. The seed has to differ between restarts, since
    /// replies to the former process may still arrive and must not match requests of the new one.
    pub fn new(seed: u64) -> QuotaRequests {
        QuotaRequests {
            last_number: seed & 0xffff,
            resend_budget: MAX_RESEND_BUDGET,
            resent: RecentMap::default(),
            replies: RecentMap::default(),
        }
    }

    /// Returns the number for the next request.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Records that a request was sent for the first time, which adds to the resend budget.
    pub fn record_sent(&mut self) {
        self.resend_budget = (self.resend_budget + RESENDS_PER_REQUEST).min(MAX_RESEND_BUDGET);
    }

    /// Whether the request may be resent; if so, takes it from the budget.
    pub fn try_resend(&mut self, now: f64, number: u64) -> bool {
        let allowed = self.resend_budget >= 1.0;
        if allowed {
            self.resend_budget -= 1.0;
            self.resent.insert(now, number, false);
        }
        allowed
    }

    /// Whether a reply to a request is to be handled. A resent request gets two equal replies, the second of
    /// which is ignored, unless the first was `Wait` and this is the reply that ends the wait.
    pub fn is_new_reply(&mut self, now: f64, number: u64, reply: QuotaReply) -> bool {
        let has_final_reply = self.resent.get(now, number);
        if has_final_reply == Some(false) && reply != QuotaReply::Wait {
            self.resent.insert(now, number, true);
        }
        has_final_reply != Some(true)
    }

    /// As quota owner: the last recorded reply to this request, and the units granted.
    pub fn recorded_reply(&mut self, now: f64, key: RequestKey) -> Option<(QuotaReply, f64)> {
        self.replies.get(now, key)
    }

    /// As quota owner: records the reply to a request.
    pub fn record_reply(&mut self, now: f64, key: RequestKey, reply: QuotaReply, units: f64) {
        self.replies.insert(now, key, (reply, units));
    }
}

#[cfg(test)]
mod tests;
