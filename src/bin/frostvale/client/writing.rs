//! Writes the answers of a connection, and keeps what the socket does not take within the memory that all
//! connections share.

use super::answers::AnswerQueue;
use super::{Client, ConnectionState, ExpectedCommand, RETAINED_BUFFER_BYTES};
use std::io::ErrorKind;
use std::time::Instant;

/// Sent in place of an answer that does not fit into the memory left for answers: the request has failed.
const DISCARDED_ANSWER: &[u8] = b"-ERR no memory left to keep the answer\r\n";

impl Client {
    /// Queues an answer that needs no request, in its turn.
    pub(super) fn respond(&self, bytes: &[u8]) {
        let mut answers = self.answers.borrow_mut();
        if answers.is_empty() {
            self.write_or_keep(&mut answers, bytes);
        } else {
            let kept = self.fit_into_memory(&answers, bytes).to_vec();
            answers.push_ready(kept);
        }
        self.update_backlog(&answers);
    }

    /// Writes to the socket. Returns how many bytes it has taken.
    pub(super) fn try_write(&self, bytes: &[u8]) -> usize {
        if self.state.get() == ConnectionState::Closed {
            return 0;
        }
        match self.stream.try_write(bytes) {
            Ok(count) => {
                self.written_bytes.set(self.written_bytes.get() + count as u64);
                count
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                self.advance_to(ConnectionState::Closed);
                0
            }
        }
    }

    /// Writes an answer before which there is no other. What the socket does not take is kept for the
    /// connection's task.
    pub(super) fn write_or_keep(&self, answers: &mut AnswerQueue, bytes: &[u8]) {
        let rest = match self.try_write(bytes) {
            0 => self.fit_into_memory(answers, bytes),
            count => &bytes[count..],
        };
        answers.set_unwritten(rest.to_vec());
    }

    /// Writes the answers that no longer wait for an earlier one, until the socket takes no more.
    pub(super) fn write_ready_answers(&self, answers: &mut AnswerQueue) {
        while answers.unwritten().is_empty() {
            let mut joined = answers.take_ready();
            if joined.is_empty() {
                return;
            }
            let count = self.try_write(&joined);
            answers.set_unwritten(joined.split_off(count));
        }
    }

    /// Returns an answer that has to be kept here, or an error in its place if all connections together hold
    /// too many bytes of answers. Ending the connection instead would lose its other requests, which may be
    /// kept for an earlier one and not for want of a client that reads.
    pub(super) fn fit_into_memory<'a>(&self, answers: &AnswerQueue, bytes: &'a [u8]) -> &'a [u8] {
        let backlog = answers.backlog_bytes() + bytes.len();
        if bytes.len() <= DISCARDED_ANSWER.len() || self.unread.update(backlog, RETAINED_BUFFER_BYTES) {
            return bytes;
        }
        self.discarded_answers.set(self.discarded_answers.get() + 1);
        DISCARDED_ANSWER
    }

    /// Reports the bytes held to the budget and wakes the connection's task where it has something to do.
    pub(super) fn update_backlog(&self, answers: &AnswerQueue) {
        self.unread.update(answers.backlog_bytes(), RETAINED_BUFFER_BYTES);
        if !answers.unwritten().is_empty() || self.state.get() != ConnectionState::Open {
            self.wake.notify_one();
        }
    }

    /// Writes the kept bytes and further answers as far as the socket takes them.
    pub(super) fn flush(&self) {
        let mut answers = self.answers.borrow_mut();
        let had_room = answers.has_room();
        let count = self.try_write(answers.unwritten());
        answers.record_written(count);
        self.write_ready_answers(&mut answers);
        if !had_room && answers.has_room() {
            self.restart_command_time();
        }
        self.unread.update(answers.backlog_bytes(), RETAINED_BUFFER_BYTES);
    }

    /// Gives the client the whole time for the rest of a command: none of it was read while the pipeline was
    /// full.
    pub(super) fn restart_command_time(&self) {
        if let (ExpectedCommand::RestOfLater, _) = self.expected.get() {
            self.expected.set((ExpectedCommand::RestOfLater, Instant::now()));
        }
    }
}
