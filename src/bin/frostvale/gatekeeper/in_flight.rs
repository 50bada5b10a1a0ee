//! Requests in flight and their attempts, and the clock they go by: plain data, nothing decided here.

use super::ResponseSink;
use crate::client_request::ClientRequest;
use crate::workers::Conn;
use frostvale::{Name, Request};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Milliseconds of Unix time as of the start, moved on by the monotonic clock: workers' start times can be
/// compared with it, and it never steps back.
pub(super) struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    pub(super) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    pub(super) fn now(&self) -> f64 {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub(super) fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.unix_ms) / 1000.0).clamp(0.0, 1e6))
    }
}

/// A request in flight: until its final answer, and after that while an attempt is still out.
pub(super) struct InFlight {
    pub(super) client_request: ClientRequest,
    /// Who is owed the answer; none once it is given or the client has left.
    pub(super) client: Option<Rc<dyn ResponseSink>>,
    /// The module has not heard of it yet: it waits for the first list, or an outside service is asked first.
    pub(super) pending: Option<Request>,
    /// When the client's time is over, in ms of the clock.
    pub(super) client_deadline: f64,
    pub(super) attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// Whether an attempt has come whole to a worker: from then on its units are used.
    pub(super) is_delivered: bool,
}

/// The one attempt that may be out.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) server: Name,
    pub(super) started: f64,
    pub(super) deadline: f64,
    /// A connection that is up later than this is of no use to it.
    pub(super) start_deadline: f64,
    /// Its connection once there is one.
    pub(super) conn: Option<Rc<Conn>>,
}

impl Attempt {
    /// Whether its last byte is still ours to write: then it has surely not begun.
    pub(super) fn is_unsent(&self) -> bool {
        self.conn.as_ref().is_none_or(|conn| !conn.is_written.get())
    }
}

impl InFlight {
    /// Whether it has an attempt out at one of these workers.
    pub(super) fn has_attempt_at(&self, workers: &HashSet<Name>) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.conn.is_some() && workers.contains(&a.server))
    }
}
