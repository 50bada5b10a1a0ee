//! Questions to keepers: their numbers, which of them may be put once more, and what was said of each, so that one that comes
//! twice is charged once and answered alike. Whether and when one is put is decided elsewhere.

use crate::recent_map::RecentMap;
use crate::state::QuotaReply;

/// Questions put once more that each question earns, and the most saved up: where notes are lost as the intakes are full,
/// twice as many would lose all the more.
const AGAIN_PART: f64 = 0.2;
const AGAIN_MOST: f64 = 5.0;

/// A question at its keeper: the customer's key, who asks, and the asker's number for it.
pub(crate) type RequestKey = (u64, u32, u64);

/// One gatekeeper's questions, and those it was asked.
pub(crate) struct QuotaRequests {
    last: u64,
    budget: f64,
    /// Those put once more, and whether the word that ends one has been heard.
    twice: RecentMap<u64, bool>,
    /// As a keeper: the word on each, and the units granted.
    said: RecentMap<RequestKey, (QuotaReply, f64)>,
}

impl QuotaRequests {
    /// Numbers begin at a point of the life's own: a life that follows soon must not be taken for the one before it, whose
    /// answers may still be on their way.
    pub fn new(seed: u64) -> QuotaRequests {
        QuotaRequests {
            last: seed & 0xffff,
            budget: AGAIN_MOST,
            twice: RecentMap::default(),
            said: RecentMap::default(),
        }
    }

    /// The number of the next one.
    pub fn next_number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// One has been put for the first time.
    pub fn record_sent(&mut self) {
        self.budget = (self.budget + AGAIN_PART).min(AGAIN_MOST);
    }

    /// Whether one may be put once more, which then counts.
    pub fn try_resend(&mut self, now: f64, number: u64) -> bool {
        let may = self.budget >= 1.0;
        if may {
            self.budget -= 1.0;
            self.twice.insert(now, number, false);
        }
        may
    }

    /// Whether a word on one is news. Of one put twice the second answer says the same as the first, but for the word that
    /// ends a wait.
    pub fn is_new_reply(&mut self, now: f64, number: u64, word: QuotaReply) -> bool {
        let heard = self.twice.get(now, number);
        if heard == Some(false) && word != QuotaReply::Wait {
            self.twice.insert(now, number, true);
        }
        heard != Some(true)
    }

    /// As a keeper: what was last said of this one.
    pub fn recorded_reply(&mut self, now: f64, asked: RequestKey) -> Option<(QuotaReply, f64)> {
        self.said.get(now, asked)
    }

    /// As a keeper: this is said of one.
    pub fn record_reply(&mut self, now: f64, asked: RequestKey, word: QuotaReply, units: f64) {
        self.said.insert(now, asked, (word, units));
    }
}

#[cfg(test)]
mod tests;
