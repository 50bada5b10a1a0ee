//! Outgoing messages to peers. Items are collected per peer until their message is due or full, and messages
//! are sent at a limited rate that the peers can take in. The module does not interpret the items.
//!
//! Enqueueing costs O(items of the peer's message), taking a message O(number of peers with items).

use std::collections::{BTreeMap, VecDeque};

/// Length limit of a message.
const MAX_MESSAGE_BYTES: usize = 256;

/// A message under construction: the time from which it is due, and its items, each with its expiry time.
type PendingMessage = (f64, Vec<(f64, String)>);

/// Messages of one gatekeeper that are yet to be sent.
#[derive(Default)]
pub(crate) struct Outbox {
    /// Messages under construction, by peer.
    pending_by_peer: BTreeMap<u32, PendingMessage>,
    /// Items to be sent a second time, each with its time and peer, in order of time.
    repeats: VecDeque<(f64, u32, String)>,
    /// Peer from which the round-robin search for a due message starts.
    next_peer: u32,
    /// Messages that may be sent as of `send_tokens_at`; negative after messages that were full.
    send_tokens: f64,
    send_tokens_at: f64,
    /// The rate limit at the last call of `next_message`, in messages per second.
    rate: f64,
    /// Time of the wakeup last requested from the host. The host's timer event resets it.
    pub wakeup_at: Option<f64>,
}

impl Outbox {
    /// Adds an item, which expires at `until`, to the next message to a peer, which is then due at `due` at
    /// the latest. Returns the message collected so far, to be sent at once, if it has no space left after
    /// expired items are removed. Full messages may exceed the rate limit by a second's worth in all; beyond
    /// that they are dropped, as the peers would drop them, and with them those of other gatekeepers.
    pub fn enqueue(
        &mut self,
        now: f64,
        to: u32,
        (due, expires_at): (f64, f64),
        item: String,
    ) -> Option<String> {
        let (due_at, items) = self.pending_by_peer.entry(to).or_insert((due, Vec::new()));
        *due_at = due_at.min(due);
        if items.iter().map(|(_, text)| text.len()).sum::<usize>() + item.len() > MAX_MESSAGE_BYTES {
            items.retain(|(expires_at, _)| *expires_at > now);
        }
        let len: usize = items.iter().map(|(_, text)| text.len()).sum();
        if len + item.len() > MAX_MESSAGE_BYTES {
            let full = std::mem::replace(items, vec![(expires_at, item)]);
            if self.send_tokens < -self.rate {
                return None;
            }
            self.send_tokens -= 1.0;
            return Some(full.into_iter().map(|(_, text)| text).collect());
        }
        items.push((expires_at, item));
        None
    }

    /// Schedules an item to be sent again at a time that is not before those of earlier calls. The repeated
    /// item needs a message of its own, as a copy in the same message would be lost together with the first.
    pub fn schedule_repeat(&mut self, to: u32, due_at: f64, item: String) {
        self.repeats.push_back((due_at, to, item));
    }

    /// Returns the next message that is due, and its peer, if the rate limit allows it: `rate` messages per
    /// second, and a tenth of a second's worth at once.
    pub fn next_message(&mut self, now: f64, rate: f64) -> Option<(u32, String)> {
        while self.repeats.front().is_some_and(|(due_at, ..)| *due_at <= now) {
            if let Some((due_at, to, item)) = self.repeats.pop_front()
                && let Some(full) = self.enqueue(now, to, (due_at, f64::INFINITY), item)
            {
                return Some((to, full));
            }
        }
        self.rate = rate;
        let max_tokens = (0.1 * rate).max(1.0);
        self.send_tokens = (self.send_tokens + rate * (now - self.send_tokens_at) / 1000.0).min(max_tokens);
        self.send_tokens_at = now;
        if self.send_tokens < 1.0 {
            return None;
        }
        let due = |(_, (due_at, _)): &(&u32, &PendingMessage)| *due_at <= now;
        loop {
            let to = *self
                .pending_by_peer
                .range(self.next_peer..)
                .find(due)
                .or(self.pending_by_peer.iter().find(due))?
                .0;
            let (_, items) = self.pending_by_peer.remove(&to)?;
            self.next_peer = to + 1;
            // An expired request would only take space in the message, load the peer and delay other items.
            let unexpired = items.into_iter().filter(|(expires_at, _)| *expires_at > now);
            let text: String = unexpired.map(|(_, text)| text).collect();
            if !text.is_empty() {
                self.send_tokens -= 1.0;
                return Some((to, text));
            }
        }
    }

    /// Milliseconds until the host should wake the module for the next message; `None` if nothing is pending
    /// or an earlier wakeup is requested already.
    pub fn next_wakeup_ms(&mut self, now: f64, rate: f64) -> Option<f64> {
        let first =
            self.pending_by_peer.values().map(|(due_at, _)| *due_at - now).fold(f64::INFINITY, f64::min);
        let first = self.repeats.front().map_or(first, |(due_at, ..)| first.min(*due_at - now));
        let after = first.max(1000.0 * (1.0 - self.send_tokens) / rate).max(1.0);
        let is_needed =
            first.is_finite() && self.wakeup_at.is_none_or(|wakeup_at| now + after + 1.0 < wakeup_at);
        is_needed.then(|| {
            self.wakeup_at = Some(now + after);
            after
        })
    }
}

#[cfg(test)]
mod tests;
