//! Notes to peers, put together until they are due or full, and sent no faster than the peers can take them in. Nothing
//! is decided here of what they say.

use std::collections::{BTreeMap, VecDeque};

/// The longest note.
const NOTE_BYTES: usize = 256;

/// What is to be told in one note: from when on it goes, and its items, each with the time after which it is of no more use.
type Letter = (f64, Vec<(f64, String)>);

/// Notes to be sent.
#[derive(Default)]
pub(crate) struct Outbox {
    /// By peer.
    items: BTreeMap<u32, Letter>,
    /// What is to be said again in a note of its own, in the order of its times.
    again: VecDeque<(f64, u32, String)>,
    /// The peer whose turn is next.
    turn: u32,
    /// How many notes may go as of `left_at`.
    left: f64,
    left_at: f64,
    /// When the host wakes us.
    pub wakeup_at: Option<f64>,
}

impl Outbox {
    /// Puts an item into the next note to a peer, which is due at this time at the latest, and of use until `until`. Gives
    /// the note before it where that is full of what is still of use.
    pub fn enqueue(&mut self, now: f64, to: u32, (due, until): (f64, f64), item: String) -> Option<String> {
        let (at, items) = self.items.entry(to).or_insert((due, Vec::new()));
        *at = at.min(due);
        if items.iter().map(|(_, text)| text.len()).sum::<usize>() + item.len() > NOTE_BYTES {
            items.retain(|(until, _)| *until > now);
        }
        let len: usize = items.iter().map(|(_, text)| text.len()).sum();
        if len + item.len() > NOTE_BYTES {
            self.left -= 1.0;
            let full = std::mem::replace(items, vec![(until, item)]);
            return Some(full.into_iter().map(|(_, text)| text).collect());
        }
        items.push((until, item));
        None
    }

    /// Says an item once more at this time, which is none before those of earlier calls: in one note with the first it
    /// would be lost with it.
    pub fn schedule_repeat(&mut self, to: u32, at: f64, item: String) {
        self.again.push_back((at, to, item));
    }

    /// The next note that is due and may go, at `rate` a second, a tenth of a second's at one stroke.
    pub fn next_message(&mut self, now: f64, rate: f64) -> Option<(u32, String)> {
        while self.again.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((at, to, item)) = self.again.pop_front()
                && let Some(full) = self.enqueue(now, to, (at, f64::INFINITY), item)
            {
                return Some((to, full));
            }
        }
        let most = (0.1 * rate).max(1.0);
        self.left = (self.left + rate * (now - self.left_at) / 1000.0).min(most);
        self.left_at = now;
        if self.left < 1.0 {
            return None;
        }
        let due = |(_, (at, _)): &(&u32, &Letter)| *at <= now;
        loop {
            let to = *self.items.range(self.turn..).find(due).or(self.items.iter().find(due))?.0;
            let (_, items) = self.items.remove(&to)?;
            self.turn = to + 1;
            // A question that waited until its asker has gone on costs room here, at the peer, and in the way of others.
            let of_use = items.into_iter().filter(|(until, _)| *until > now);
            let text: String = of_use.map(|(_, text)| text).collect();
            if !text.is_empty() {
                self.left -= 1.0;
                return Some((to, text));
            }
        }
    }

    /// In how many ms the host should wake us, unless it does so soon enough.
    pub fn next_wakeup_ms(&mut self, now: f64, rate: f64) -> Option<f64> {
        let first = self.items.values().map(|(at, _)| *at - now).fold(f64::INFINITY, f64::min);
        let first = self.again.front().map_or(first, |(at, ..)| first.min(*at - now));
        let after = first.max(1000.0 * (1.0 - self.left) / rate).max(1.0);
        let wanted = first.is_finite() && self.wakeup_at.is_none_or(|at| now + after + 1.0 < at);
        wanted.then(|| {
            self.wakeup_at = Some(now + after);
            after
        })
    }
}

#[cfg(test)]
mod tests;
