//! An outside rate limit service, asked before the module. What comes of it, `frostvale_outside::OutsidePolicy` decides.

use super::{AgentLinks, Due, Gatekeeper};
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

    pub(super) fn consult(&mut self, request: Request) {
        let (now, id) = (self.now(), request.id);
        let (Some(outside), Some(agents)) = (&mut self.outside, self.agents.clone()) else { return };
        let aim = self.settings.classes[request.class].target_ms;
        let times = (aim, request.deadline - now);
        let before = outside.breaker();
        let step = outside.ask(
            now,
            id,
            &request.customer,
            request.plan,
            request.units,
            times,
            agents.has_outside_agent(),
        );
        let OutsideDecision::Ask { call, within } = step else {
            self.report_breaker(before);
            if let Some(r) = self.requests.get_mut(&id) {
                r.pending = Some(request);
            }
            return self.consulted(id, step);
        };
        let asked = agents.ask_outside(call, &request, within);
        if let Some(r) = self.requests.get_mut(&id) {
            r.pending = Some(request);
        }
        self.report_breaker(before);
        if asked {
            self.at(now + within, Due::Consult(call));
        } else {
            self.outside_verdict(call, Verdict::Failed);
        }
    }

    /// What the outside service said to a call; late ones are void.
    pub fn outside_verdict(&mut self, call: u64, verdict: Verdict) {
        let now = self.now();
        let Some(outside) = &mut self.outside else { return };
        let before = outside.breaker();
        let step = outside.record_verdict(now, call, verdict);
        self.report_breaker(before);
        if let Some((id, step)) = step {
            self.consulted(id, step);
        }
    }

    /// Nobody is left who would carry the outside service's answers.
    pub fn link_lost(&mut self) {
        let Some(outside) = &mut self.outside else { return };
        for (id, step) in outside.link_lost() {
            self.consulted(id, step);
        }
    }

    /// A request goes on to the module or is refused, unless its client has left meanwhile.
    pub(super) fn consulted(&mut self, id: u64, step: OutsideDecision) {
        let Some(request) = self.requests.get_mut(&id).and_then(|r| r.pending.take()) else { return };
        match step {
            OutsideDecision::Pass | OutsideDecision::Ask { .. } => self.event(Event::Request(request)),
            OutsideDecision::Deny { pause } => self.refuse(id, pause),
        }
    }

    pub(super) fn report_breaker(&self, before: BreakerState) {
        let (Some(outside), Some(agents)) = (&self.outside, &self.agents) else { return };
        let (now, counts) = (outside.breaker(), outside.counts());
        if now != before {
            agents.breaker_changed(now, counts);
            let word = match now {
                BreakerState::Closed => "answers again: requests of its plans ask it as before",
                BreakerState::Open => {
                    "fails: requests of its plans go by their failure mode until it is tried again"
                }
                BreakerState::HalfOpen => "is tried again by one request at a time",
            };
            tracing::info!("the outside rate limit service {word} ({} calls failed so far)", counts.failed);
        }
    }

    /// The breaker's state and counts, where an outside service is consulted.
    pub fn outside_state(&self) -> Option<(BreakerState, CallCounts)> {
        self.outside.as_ref().map(|o| (o.breaker(), o.counts()))
    }
}
