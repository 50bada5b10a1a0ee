//! Before the first endpoint list: requests are taken in and held, so that none waits unseen in the listener's queue while its
//! time runs out.

use super::{Gatekeeper, ResponseSink, TimerKind};
use frostvale::Request;
use std::rc::Rc;

/// A request that is held for this part of its client's time is refused: later its refusal would cost the client more.
const MAX_HOLD_SHARE: f64 = 0.4;

/// What is held until the first list.
#[derive(Default)]
pub(super) struct StartupQueue {
    requests: Vec<u64>,
    answers: Vec<(u64, Rc<dyn ResponseSink>, Vec<u8>)>,
}

impl Gatekeeper {
    /// Whether requests go on to servers.
    pub fn is_serving(&self) -> bool {
        self.startup_queue.is_none()
    }

    /// Holds a request that has just come, and has its place in `requests`.
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

    /// Holds an answer that tells that this gatekeeper serves.
    pub fn answer_once_serving(&mut self, id: u64, client: Rc<dyn ResponseSink>, answer: Vec<u8>) {
        match &mut self.startup_queue {
            Some(queue) => queue.answers.push((id, client, answer)),
            None => client.answer(id, &answer),
        }
    }

    /// A held request has waited for long enough.
    pub(super) fn refuse_held(&mut self, id: u64) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.pending = None;
            self.metrics.refused_at_start();
            self.refuse(id, 0.0);
        }
    }

    /// From now on requests go on to servers, those that are held first.
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
