//! What the log says of single requests: at debug level each change of state with the client's id, above it what must not
//! happen.

use super::Gatekeeper;
use super::in_flight::Attempt;
use frostvale::{AttemptOutcome, RefusalReason};

/// An attempt has ended; a further one may follow.
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
    /// The module refuses a request.
    pub(super) fn trace_refusal(&mut self, id: u64, reason: RefusalReason) {
        self.metrics.refused(reason);
        let Some(r) = self.requests.get(&id) else { return };
        let (client_id, attempts) = (r.client_request.client_id, r.attempts);
        tracing::debug!(target: "frostvale::request", id = format_args!("{client_id:016x}"), attempts, ?reason, "refused");
    }

    /// A client was given its final answer.
    pub(super) fn trace_answer(&mut self, id: u64, answer: &[u8]) {
        let now = self.now();
        let Some(r) = self.requests.get(&id) else { return };
        let (client_id, attempts, late_ms) =
            (r.client_request.client_id, r.attempts, now - r.client_deadline);
        let answer = String::from_utf8_lossy(answer.trim_ascii_end());
        tracing::debug!(target: "frostvale::request", id = format_args!("{client_id:016x}"), attempts, %answer, "answered");
        if late_ms > 0.0 {
            self.metrics.answer_late(late_ms);
            tracing::warn!(
                id = format_args!("{client_id:016x}"),
                attempts,
                %answer,
                late_ms = late_ms as u64,
                "a final answer came after its client's time"
            );
        }
    }

    /// The module's own limit on a request has passed without a final answer.
    pub(super) fn trace_unsettled(&mut self, id: u64) {
        let Some(r) = self.requests.get(&id) else { return };
        let attempt_state =
            r.attempt.as_ref().map_or("none", |a| if a.is_unsent() { "not sent" } else { "sent" });
        tracing::warn!(
            id = format_args!("{:016x}", r.client_request.client_id),
            attempts = r.attempts,
            attempt_out = attempt_state,
            "a request was not settled in time"
        );
    }
}
