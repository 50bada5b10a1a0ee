//! Log lines about single requests: at debug level every state change, at warn level what should not happen.
//! `id` is the id that the client gave the request.

use super::Gatekeeper;
use super::in_flight::Attempt;
use frostvale::{AttemptOutcome, RefusalReason};

/// Logs the end of an attempt; another one may follow.
pub(super) fn attempt_ended(client_id: u64, attempt: &Attempt, outcome: AttemptOutcome, now: f64) {
    tracing::debug!(
        target: "frostvale::request",
        id = format_args!("{client_id:016x}"),
        attempt = attempt.number,
        server = %attempt.server,
        ending = ?outcome,
        after_ms = (now - attempt.started) as u64,
        "attempt ended"
    );
}

impl Gatekeeper {
    /// Counts and logs a refusal by `Control`.
    pub(super) fn trace_refusal(&mut self, id: u64, reason: RefusalReason) {
        self.metrics.refused(reason);
        let Some(r) = self.requests.get(&id) else { return };
        let (client_id, attempts) = (r.client_request.client_id, r.attempts);
        tracing::debug!(
            target: "frostvale::request",
            id = format_args!("{client_id:016x}"),
            attempts,
            ?reason,
            "refused"
        );
    }

    /// Logs a final answer, and warns if it was sent after the client stopped waiting.
    pub(super) fn trace_answer(&mut self, id: u64, answer: &[u8]) {
        let now = self.now();
        let Some(r) = self.requests.get(&id) else { return };
        let (client_id, attempts, late_ms) =
            (r.client_request.client_id, r.attempts, now - r.client_deadline);
        let answer = String::from_utf8_lossy(answer.trim_ascii_end());
        tracing::debug!(
            target: "frostvale::request",
            id = format_args!("{client_id:016x}"),
            attempts,
            %answer,
            "answered"
        );
        if late_ms > 0.0 {
            self.metrics.answer_late(late_ms);
            tracing::warn!(
                id = format_args!("{client_id:016x}"),
                attempts,
                %answer,
                late_ms = late_ms as u64,
                "final answer sent after the client's deadline"
            );
        }
    }

    /// Warns that a request has had no final answer by its deadline.
    pub(super) fn trace_unsettled(&mut self, id: u64) {
        let Some(r) = self.requests.get(&id) else { return };
        let attempt_state =
            r.attempt.as_ref().map_or("none", |a| if a.is_unsent() { "not sent" } else { "sent" });
        tracing::warn!(
            id = format_args!("{:016x}", r.client_request.client_id),
            attempts = r.attempts,
            attempt_out = attempt_state,
            "request has no final answer after its deadline"
        );
    }
}
