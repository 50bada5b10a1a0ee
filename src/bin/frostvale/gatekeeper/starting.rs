//! Startup, before the first endpoint list: requests are accepted and held. Left in the listener's queue,
//! they could reach their deadlines without the gatekeeper noticing.

use super::{Gatekeeper, ResponseSink, TimerKind};
use frostvale::Request;
use std::rc::Rc;

/// A request is refused after it has been held for this share of the time until its deadline. A later refusal
/// would cost the client more of its time.
const MAX_HOLD_SHARE: f64 = 0.4;

/// Requests, by id, and answers that are held until the gatekeeper serves.
#[derive(Default)]
pub(super) struct StartupQueue {
    requests: Vec<u64>,
    answers: Vec<(u64, Rc<dyn ResponseSink>, Vec<u8>)>,
}

impl Gatekeeper {
    /// Whether requests are passed on to workers.
    pub fn is_serving(&self) -> bool {
        self.startup_queue.is_none()
    }

    /// Holds a new request that is already in `requests`.
    pub(super) fn hold_until_serving(&mut self, request: Request) {
        let (id, now) = (request.id, self.now());
        let refuse_at = now + MAX_HOLD_SHARE * (request.deadline - now).max(0.0);
        if let Some(r) = self.requests.get_mut(&id) {
            r.pending = Some(request);
        }
        if let Some(queue) = &mut self.startup_queue {
            queue.requests.push(id);
        }
        self.schedule(refuse_at, TimerKind::StartupHold(id));
    }

    /// Sends an answer that signals readiness, once this gatekeeper serves.
    pub fn answer_once_serving(&mut self, id: u64, client: Rc<dyn ResponseSink>, answer: Vec<u8>) {
        match &mut self.startup_queue {
            Some(queue) => queue.answers.push((id, client, answer)),
            None => client.answer(id, &answer),
        }
    }

    /// Refuses a request that has been held for its maximum time.
    pub(super) fn refuse_held(&mut self, id: u64) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.pending = None;
            self.metrics.refused_at_start();
            self.refuse(id, 0.0);
        }
    }

    /// Starts serving: sends the held answers, then processes the held requests.
    pub fn begin_serving(&mut self) {
        let Some(queue) = self.startup_queue.take() else { return };
        for (id, client, answer) in queue.answers {
            client.answer(id, &answer);
        }
        for id in queue.requests {
            if let Some(request) = self.requests.get_mut(&id).and_then(|r| r.pending.take()) {
                self.begin_request(request);
            }
        }
    }
}
