//! Interfaces through which the gatekeeper answers requests and checks and reaches linked agents.

use frostvale::{Name, Request};
use frostvale_outside::{BreakerState, CallCounts};

/// Receives the answers to requests.
pub trait ResponseSink {
    /// Sends the final answer to request `id`; called once for each request.
    fn answer(&self, id: u64, bytes: &[u8]);
    /// Whether the client has disconnected, even if that has not been reported yet.
    fn is_disconnected(&self) -> bool;
    /// The number of the client's connection.
    fn source(&self) -> u64;
}

/// Receives the decisions on checks.
pub trait CheckClient {
    /// Reports the decision; called once for each check. `tag` is the value given with the check. `remaining`
    /// is in units and infinite where no plan limits the customer; `reset` is in ms.
    fn verdict(&self, tag: u64, granted: bool, remaining: f64, reset: f64);
}

/// The linked agents, as far as request processing uses them.
pub trait AgentLinks {
    /// Records the set of gatekeepers that a customer's request names.
    fn record_shop_set(&self, customer: &Name, first: u32, spread: u32);
    /// Whether a linked agent can call the outside rate limit service.
    fn has_outside_agent(&self) -> bool;
    /// Has an agent call the outside service; returns false if none can. `call` is the number of the call.
    fn ask_outside(&self, call: u64, request: &Request, timeout_ms: f64) -> bool;
    /// Reports a change of the circuit breaker of the outside service.
    fn breaker_changed(&self, state: BreakerState, counts: CallCounts);
}
