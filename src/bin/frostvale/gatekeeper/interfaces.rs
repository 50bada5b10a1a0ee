//! Whom the gatekeeper speaks to on behalf of requests and checks.

use frostvale::{Name, Request};
use frostvale_outside::{BreakerState, CallCounts};

/// Who is owed the answer to a request.
pub trait ResponseSink {
    /// Gives the final answer, once.
    fn answer(&self, id: u64, bytes: &[u8]);
    /// Whether it has gone, though nobody has said so yet.
    fn is_disconnected(&self) -> bool;
}

/// Who asked for a check.
pub trait CheckClient {
    /// What came of it, once. `tag` is the asker's own; `remaining` is infinite where nothing holds it.
    fn verdict(&self, tag: u64, granted: bool, remaining: f64, reset: f64);
}

/// The agents that are linked, as far as requests need them.
pub trait AgentLinks {
    /// A request of this customer came, with its set of gatekeepers.
    fn record_shop_set(&self, customer: &Name, first: u32, spread: u32);
    /// Whether one is here that asks an outside service.
    fn has_outside_agent(&self) -> bool;
    /// Has it asked. False if it can't be.
    fn ask_outside(&self, call: u64, request: &Request, timeout_ms: f64) -> bool;
    /// The breaker has changed.
    fn breaker_changed(&self, state: BreakerState, counts: CallCounts);
}
