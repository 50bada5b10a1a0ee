//! Data types for requests in flight and their attempts, and the clock for their deadlines.

use super::ResponseSink;
use crate::client_request::ClientRequest;
use crate::workers::Conn;
use frostvale::{Name, Request};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Clock in milliseconds of Unix time: read from the system clock once at startup and advanced by the
/// monotonic clock. It is comparable with the start times of workers and never steps back.
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

    /// Converts a time of this clock; earlier times than the startup become that of the startup.
    pub(super) fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.unix_ms) / 1000.0).clamp(0.0, 1e6))
    }
}

/// A request in flight. It is kept until its final answer and, after that, while an attempt is outstanding.
pub(super) struct InFlight {
    pub(super) client_request: ClientRequest,
    /// Where the answer goes; `None` once it is sent or the client has disconnected.
    pub(super) client: Option<Rc<dyn ResponseSink>>,
    /// The request, as long as it has not been passed to `Control`: it waits for the first endpoint list or
    /// for the outside rate limit service.
    pub(super) pending: Option<Request>,
    /// When the client stops waiting, in ms of the clock.
    pub(super) client_deadline: f64,
    /// Number of attempts started so far.
    pub(super) attempts: u32,
    /// The outstanding attempt.
    pub(super) attempt: Option<Attempt>,
    /// Whether the complete command has been written to a worker: from then on its units count as used.
    pub(super) is_sent: bool,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
    /// Whether the client disconnected before its answer.
    pub(super) has_client_left: bool,
}

/// An outstanding attempt; a request has at most one. Times are in ms of the clock.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) server: Name,
    pub(super) started: f64,
    pub(super) deadline: f64,
    /// The command must not be sent on a connection that is established later than this.
    pub(super) start_deadline: f64,
    /// Its connection, once the command has been handed to one.
    pub(super) conn: Option<Rc<Conn>>,
}

impl Attempt {
    /// Whether the last byte of the command has not been written yet: then the worker cannot have started on
    /// it.
    pub(super) fn is_unsent(&self) -> bool {
        self.conn.as_ref().is_none_or(|conn| !conn.is_written.get())
    }
}

impl InFlight {
    /// Whether its outstanding attempt has a connection to one of these workers.
    pub(super) fn has_attempt_at(&self, workers: &HashSet<Name>) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.conn.is_some() && workers.contains(&a.server))
    }
}
