//! An outside rate limit service, asked before the module. What comes of it, `frostvale_outside::OutsidePolicy` decides.

use super::{AgentLinks, Gatekeeper, TimerKind};
use frostvale::{Event, Request};
use frostvale_outside::{BreakerState, CallCounts, OutsideDecision, OutsidePolicy, Verdict};
use std::rc::Rc;

impl Gatekeeper {
    /// Sets how an outside service is consulted, or that none is. Requests that wait for one go by the mode.
    pub fn set_outside(&mut self, outside: Option<OutsidePolicy>) {
        self.link_lost();
        self.outside = outside;
    }

    /// The agents' side of the link.
    pub fn set_agents(&mut self, agents: Rc<dyn AgentLinks>) {
        self.agents = Some(agents);
    }

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

    /// What the outside service said to a call; late ones are void.
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

    /// Nobody is left who would carry the outside service's answers.
    pub fn link_lost(&mut self) {
        let Some(outside) = &mut self.outside else { return };
        for (id, decision) in outside.link_lost() {
            self.apply_outside_decision(id, decision);
        }
    }

    /// A request goes on to the module or is refused, unless its client has left meanwhile.
    pub(super) fn apply_outside_decision(&mut self, id: u64, decision: OutsideDecision) {
        let Some(request) = self.requests.get_mut(&id).and_then(|r| r.pending.take()) else { return };
        match decision {
            OutsideDecision::Pass | OutsideDecision::Ask { .. } => self.dispatch(Event::Request(request)),
            OutsideDecision::Deny { pause } => self.refuse(id, pause),
        }
    }

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

    /// The breaker's state and counts, where an outside service is consulted.
    pub fn outside_state(&self) -> Option<(BreakerState, CallCounts)> {
        self.outside.as_ref().map(|o| (o.breaker(), o.counts()))
    }
}
