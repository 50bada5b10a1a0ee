//! Calls to an outside rate limit service before a request is passed to `Control`. When to call it and what
//! its answer or failure means is decided by `frostvale_outside::OutsidePolicy`.

use super::{AgentLinks, Gatekeeper, TimerKind};
use frostvale::{Event, Request};
use frostvale_outside::{BreakerState, CallCounts, OutsideDecision, OutsidePolicy, Verdict};
use std::rc::Rc;

impl Gatekeeper {
    /// Replaces the policy for the outside service; `None` turns it off. Requests that wait for an answer are
    /// decided by the failure mode.
    pub fn set_outside(&mut self, outside: Option<OutsidePolicy>) {
        self.link_lost();
        if let Some(former) = &self.outside {
            self.last_outside_call = former.last_call();
        }
        self.outside = outside.map(|policy| policy.with_calls_after(self.last_outside_call));
    }

    /// Sets the connection to the linked agents.
    pub fn set_agents(&mut self, agents: Rc<dyn AgentLinks>) {
        self.agents = Some(agents);
    }

    /// Asks the outside service about a request, unless the policy decides without a call.
    pub(super) fn consult_outside(&mut self, request: Request) {
        let (now, id) = (self.now(), request.id);
        let (Some(outside), Some(agents)) = (&mut self.outside, self.agents.clone()) else { return };
        let target_ms = self.settings.classes[request.class].target_ms;
        let time_limits = (target_ms, request.deadline - now);
        let previous_state = outside.breaker();
        let decision = outside.ask(
            now,
            id,
            &request.customer,
            request.plan,
            request.units,
            time_limits,
            agents.has_outside_agent(),
        );
        let OutsideDecision::Ask { call, within } = decision else {
            self.report_breaker(previous_state);
            if let Some(r) = self.requests.get_mut(&id) {
                r.pending = Some(request);
            }
            return self.apply_outside_decision(id, decision);
        };
        let is_asked = agents.ask_outside(call, &request, within);
        if let Some(r) = self.requests.get_mut(&id) {
            r.pending = Some(request);
        }
        self.report_breaker(previous_state);
        if is_asked {
            self.schedule(now + within, TimerKind::OutsideCall(call));
        } else {
            self.outside_verdict(call, Verdict::Failed);
        }
    }

    /// Applies the result of a call to the outside service. A result that arrives too late is ignored.
    pub fn outside_verdict(&mut self, call: u64, verdict: Verdict) {
        let now = self.now();
        let Some(outside) = &mut self.outside else { return };
        let previous_state = outside.breaker();
        let decided = outside.record_verdict(now, call, verdict);
        self.report_breaker(previous_state);
        if let Some((id, decision)) = decided {
            self.apply_outside_decision(id, decision);
        }
    }

    /// Ends all pending calls, since no agent is left to deliver the outside service's answers. Their requests
    /// are decided by the failure mode.
    pub fn link_lost(&mut self) {
        let Some(outside) = &mut self.outside else { return };
        for (id, decision) in outside.link_lost() {
            self.apply_outside_decision(id, decision);
        }
    }

    /// Passes a request to `Control` or refuses it, unless its client has disconnected meanwhile.
    pub(super) fn apply_outside_decision(&mut self, id: u64, decision: OutsideDecision) {
        let Some(request) = self.requests.get_mut(&id).and_then(|r| r.pending.take()) else { return };
        match decision {
            OutsideDecision::Pass | OutsideDecision::Ask { .. } => self.dispatch(Event::Request(request)),
            OutsideDecision::Deny { pause } => self.refuse(id, pause),
        }
    }

    /// Logs the state of the circuit breaker and reports it to the agents if it differs from
    /// `previous_state`.
    pub(super) fn report_breaker(&self, previous_state: BreakerState) {
        let (Some(outside), Some(agents)) = (&self.outside, &self.agents) else { return };
        let (state, counts) = (outside.breaker(), outside.counts());
        if state != previous_state {
            agents.breaker_changed(state, counts);
            let change = match state {
                BreakerState::Closed => "closed, requests of its plans are checked again",
                BreakerState::Open => {
                    "open, requests of its plans follow their failure mode until the next trial call"
                }
                BreakerState::HalfOpen => "half-open, one trial call at a time",
            };
            tracing::info!(
                "outside rate limit service: circuit breaker {change} ({} failed calls so far)",
                counts.failed
            );
        }
    }

    /// Returns the circuit breaker's state and counts, or `None` if no outside service is used.
    pub fn outside_state(&self) -> Option<(BreakerState, CallCounts)> {
        self.outside.as_ref().map(|o| (o.breaker(), o.counts()))
    }
}
