//! The answers of one connection, in the order of their commands: those that are still pending, those that are
//! complete and wait for an earlier one, and the bytes that the socket has not taken.
//!
//! Complete answers stay in their slots until the socket takes them, so a connection never holds more than its
//! slots' answers.

use std::collections::VecDeque;
use std::time::Instant;

/// Commands of one connection that may be in flight at once. Further ones stay in the socket's receive
/// buffer.
const MAX_PIPELINED_COMMANDS: usize = 128;
/// While a connection holds more bytes of complete answers than this, none of its further commands is
/// started.
const MAX_BACKLOG_BYTES: usize = 1 << 20;
/// Answers are joined into writes of up to this size, unless a single one is longer.
const MAX_JOINED_WRITE_BYTES: usize = 64 * 1024;

/// Position of one answer in the connection's answer order.
enum AnswerSlot {
    /// The request with this id has no answer yet.
    Pending(u64),
    /// The answer is complete and waits for an earlier one, or for the socket.
    Ready(Vec<u8>),
}

/// The answers of one connection that the socket has not taken yet.
#[derive(Default)]
pub struct AnswerQueue {
    slots: VecDeque<AnswerSlot>,
    /// Total size of the answers in slots.
    ready_bytes: usize,
    /// The rest of answers that have been handed to the socket.
    unwritten: Vec<u8>,
    /// Time since which the socket has taken none of `unwritten`.
    blocked_since: Option<Instant>,
}

impl AnswerQueue {
    /// Whether a further command may be started.
    pub fn has_room(&self) -> bool {
        self.slots.len() < MAX_PIPELINED_COMMANDS && self.backlog_bytes() <= MAX_BACKLOG_BYTES
    }

    /// Whether no answer is pending or unwritten.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty() && self.unwritten.is_empty()
    }

    /// Size of all complete answers that the socket has not taken.
    pub fn backlog_bytes(&self) -> usize {
        self.ready_bytes + self.unwritten.len()
    }

    /// Size of the answers that wait for nothing but the client: those in slots before the first pending one,
    /// and what the socket has not taken. Costs O(n) with n slots.
    pub fn unread_bytes(&self) -> usize {
        let ready_size = |slot: &AnswerSlot| match slot {
            AnswerSlot::Ready(answer) => Some(answer.len()),
            AnswerSlot::Pending(_) => None,
        };
        self.unwritten.len() + self.slots.iter().map_while(ready_size).sum::<usize>()
    }

    /// Number of requests without an answer.
    pub fn pending_count(&self) -> usize {
        self.slots.iter().filter(|slot| matches!(slot, AnswerSlot::Pending(_))).count()
    }

    /// Whether an answer to request `id` could be written at once: no other one is before it.
    pub fn is_next(&self, id: u64) -> bool {
        self.unwritten.is_empty()
            && matches!(self.slots.front(), Some(AnswerSlot::Pending(first)) if *first == id)
    }

    /// Adds a slot for the answer to request `id`.
    pub fn push_pending(&mut self, id: u64) {
        self.slots.push_back(AnswerSlot::Pending(id));
    }

    /// Adds a complete answer behind all others.
    pub fn push_ready(&mut self, answer: Vec<u8>) {
        self.ready_bytes += answer.len();
        self.slots.push_back(AnswerSlot::Ready(answer));
    }

    /// Removes the first slot, whose answer the caller writes.
    pub fn remove_first(&mut self) {
        if let Some(AnswerSlot::Ready(answer)) = self.slots.pop_front() {
            self.ready_bytes -= answer.len();
        }
    }

    /// Stores the answer to request `id` in its slot.
    pub fn complete(&mut self, id: u64, answer: Vec<u8>) {
        let is_of_request = |slot: &&mut AnswerSlot| matches!(slot, AnswerSlot::Pending(k) if *k == id);
        if let Some(slot) = self.slots.iter_mut().find(is_of_request) {
            self.ready_bytes += answer.len();
            *slot = AnswerSlot::Ready(answer);
        }
    }

    /// Takes the answers at the front that are complete, as far as they fit into one write. Empty where none
    /// is.
    pub fn take_ready(&mut self) -> Vec<u8> {
        let mut joined = Vec::new();
        while let Some(AnswerSlot::Ready(answer)) = self.slots.front()
            && (joined.is_empty() || joined.len() + answer.len() <= MAX_JOINED_WRITE_BYTES)
        {
            joined.extend_from_slice(answer);
            self.remove_first();
        }
        joined
    }

    /// The bytes that the socket did not take; they come before all slots.
    pub fn unwritten(&self) -> &[u8] {
        &self.unwritten
    }

    /// Stores the rest of a write that the socket took in part or not at all.
    pub fn set_unwritten(&mut self, rest: Vec<u8>) {
        self.blocked_since = (!rest.is_empty()).then(Instant::now);
        self.unwritten = rest;
    }

    /// Removes `count` unwritten bytes, which the socket has taken.
    pub fn record_written(&mut self, count: usize) {
        if count == self.unwritten.len() {
            (self.unwritten, self.blocked_since) = (Vec::new(), None);
        } else if count > 0 {
            self.unwritten.drain(..count);
            self.blocked_since = Some(Instant::now());
        }
    }

    /// Time since which the socket has taken nothing of what was handed to it; `None` where nothing is left.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since
    }

    /// Removes all slots and returns the ids of the requests that are pending.
    pub fn take_pending(&mut self) -> Vec<u64> {
        self.ready_bytes = 0;
        let pending = |slot| if let AnswerSlot::Pending(id) = slot { Some(id) } else { None };
        std::mem::take(&mut self.slots).into_iter().filter_map(pending).collect()
    }
}

#[cfg(test)]
mod tests;
