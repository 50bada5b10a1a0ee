//! A queue of events in order of time; events of the same time keep the order of insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<T> {
    /// In microseconds.
    at: u64,
    seq: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// The event queue. Times are in ms, rounded up to the microsecond.
pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    seq: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), seq: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at a time in ms.
    pub fn push(&mut self, at: f64, event: T) {
        self.seq += 1;
        self.heap.push(Reverse(Entry { at: (at * 1000.0).ceil().max(0.0) as u64, seq: self.seq, event }));
    }

    /// Removes the earliest event and returns it with its time in ms.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        self.heap.pop().map(|Reverse(e)| (e.at as f64 / 1000.0, e.event))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pop_orders_by_time_then_by_insertion() {
        let mut queue = EventQueue::default();
        for (at, what) in [(2.0, 'c'), (1.0, 'a'), (1.0, 'b'), (2.0, 'd')] {
            queue.push(at, what);
        }
        let all: String = std::iter::from_fn(|| queue.pop()).map(|(_, what)| what).collect();
        assert_eq!(all, "abcd");
    }
}
