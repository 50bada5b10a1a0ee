//! The oracle reports each rule that a faulty decision module violates, and a failing scenario can be shrunk.

use frostvale::{Action, AttemptResult, Control, Event, Health, RefusalReason, Request, Settings};
use frostvale_sim::scenario::{Fault, FaultKind, Repeat};
use frostvale_sim::shrink::shrink;
use frostvale_sim::{DecisionModule, Report, Scenario, control_module, run};

/// A real decision module whose events and actions are altered.
struct AlteredModule<E, A> {
    module: Control,
    events: E,
    actions: A,
}

impl<E: FnMut(&mut Event), A: FnMut(Vec<Action>) -> Vec<Action>> DecisionModule for AlteredModule<E, A> {
    fn handle(&mut self, now: f64, mut event: Event) -> Vec<Action> {
        (self.events)(&mut event);
        (self.actions)(self.module.handle(now, event))
    }
}

/// Runs a scenario with altered settings, events and actions.
fn run_altered<E, A>(
    scenario: &Scenario,
    settings: impl Fn(&mut Settings),
    events: impl Fn() -> E,
    actions: impl Fn() -> A,
) -> Report
where
    E: FnMut(&mut Event) + 'static,
    A: FnMut(Vec<Action>) -> Vec<Action> + 'static,
{
    let make = |mut s: Settings, seed: u64| -> Result<Box<dyn DecisionModule>, String> {
        settings(&mut s);
        let module = Control::new(s, seed).map_err(|e| e.to_string())?;
        Ok(Box::new(AlteredModule { module, events: events(), actions: actions() }))
    };
    run(scenario, 1, &make).expect("it runs")
}

/// The name of the violated rule, or "none".
fn rule(report: &Report) -> &str {
    report.broken.as_ref().map_or("none", |b| b.rule.as_str())
}

fn scenario_with(faults: &[Fault]) -> Scenario {
    Scenario { seconds: 20.0, faults: faults.to_vec(), ..Scenario::default() }
}

fn fault(kind: FaultKind, at_s: f64, for_s: f64, part: f64) -> Fault {
    Fault { kind, at_s, for_s, part, times: 1.0, count: 1, zone: 0 }
}

/// Leaves events unchanged.
fn pass(_: &mut Event) {}

#[test]
fn oracle_reports_lost_when_a_refusal_is_dropped() {
    let mut scenario = scenario_with(&[]);
    scenario.load.rate = 600.0;
    let report = run_altered(
        &scenario,
        |_| {},
        || pass,
        || |all: Vec<Action>| all.into_iter().filter(|a| !matches!(a, Action::Refuse { .. })).collect(),
    );
    assert_eq!(rule(&report), "lost");
    let before = &report.broken.expect("broken").before;
    assert!(before.len() > 10 && before.iter().any(|line| line.contains("takes")), "{before:?}");
}

#[test]
fn oracle_reports_answers_when_a_refusal_is_repeated() {
    let mut scenario = scenario_with(&[]);
    scenario.load.rate = 600.0;
    let twice = |all: Vec<Action>| {
        let again: Vec<Action> = all.iter().filter(|a| matches!(a, Action::Refuse { .. })).cloned().collect();
        all.into_iter().chain(again).collect()
    };
    assert_eq!(rule(&run_altered(&scenario, |_| {}, || pass, || twice)), "answers");
}

#[test]
fn oracle_reports_twice_when_an_attempt_is_sent_twice() {
    let twice = |all: Vec<Action>| {
        let again: Vec<Action> = all.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        all.into_iter().chain(again).collect()
    };
    assert_eq!(rule(&run_altered(&scenario_with(&[]), |_| {}, || pass, || twice)), "twice");
}

/// A class wrongly declared safe is repeated on any server with room, so a request takes effect in two racks.
#[test]
fn oracle_reports_twice_when_a_repeat_leaves_its_rack() {
    let faults = [fault(FaultKind::Errors, 2.0, 10.0, 0.5)];
    let report = run_altered(
        &scenario_with(&faults),
        |s| s.classes.iter_mut().for_each(|c| c.effect = frostvale::Effect::Safe),
        || pass,
        || |all| all,
    );
    assert_eq!(rule(&report), "twice");
}

#[test]
fn oracle_reports_twice_when_a_request_that_may_have_run_is_refused() {
    let mut scenario = scenario_with(&[fault(FaultKind::Silent, 2.0, 10.0, 0.5)]);
    scenario.classes[1].repeat = Repeat::Once;
    scenario.classes[1].window_ms = 0.0;
    let fail_to_refuse = |all: Vec<Action>| {
        let refuse = |a| {
            if let Action::Fail { id } = a {
                Action::Refuse { id, retry_after_ms: 0.0, reason: RefusalReason::NoServer }
            } else {
                a
            }
        };
        all.into_iter().map(refuse).collect()
    };
    assert_eq!(rule(&run_altered(&scenario, |_| {}, || pass, || fail_to_refuse)), "twice");
}

/// Hides drains and removals from the decision module: all listed servers are up.
fn hide_drains(event: &mut Event) {
    if let Event::EndpointUpdate { servers, .. } = event {
        servers.iter_mut().for_each(|s| s.health = Health::Up);
    }
}

#[test]
fn oracle_reports_drain_when_a_draining_server_gets_attempts() {
    let scenario = scenario_with(&[fault(FaultKind::Replace, 2.0, 5.0, 0.3)]);
    assert_eq!(rule(&run_altered(&scenario, |_| {}, || hide_drains, || |all| all)), "drain");
}

/// Sends all requests to one server while it is listed as up.
struct FloodingModule {
    is_listed: bool,
}

impl DecisionModule for FloodingModule {
    fn handle(&mut self, _: f64, event: Event) -> Vec<Action> {
        match event {
            Event::EndpointUpdate { servers, .. } => {
                for s in servers.iter().filter(|s| &*s.name == "s-0") {
                    self.is_listed = s.health == Health::Up;
                }
                Vec::new()
            }
            Event::Request(r) if self.is_listed => {
                vec![Action::Send {
                    id: r.id,
                    server: "s-0".into(),
                    deadline: r.deadline,
                    start_deadline: f64::INFINITY,
                }]
            }
            Event::Request(Request { id, .. })
            | Event::AttemptEnded(AttemptResult { id, is_final: false, .. }) => {
                vec![Action::Refuse { id, retry_after_ms: 0.0, reason: RefusalReason::NoServer }]
            }
            _ => Vec::new(),
        }
    }
}

#[test]
fn oracle_reports_cold_when_a_server_is_overloaded_in_slow_start() {
    let mut scenario = scenario_with(&[fault(FaultKind::Crash, 2.0, 3.0, 1.0)]);
    scenario.classes.truncate(1);
    (scenario.load.rate, scenario.servers.queue) = (300.0, 400);
    let floods = |_, _| -> Result<Box<dyn DecisionModule>, String> {
        Ok(Box::new(FloodingModule { is_listed: false }))
    };
    assert_eq!(rule(&run(&scenario, 1, &floods).expect("it runs")), "cold");
    assert_eq!(rule(&run(&scenario, 1, &control_module).expect("it runs")), "none");
}

#[test]
fn oracle_reports_ceiling_when_limits_are_disabled() {
    let mut scenario = scenario_with(&[]);
    scenario.plans.retain(|p| p.name == "ferreteria");
    (scenario.load.shops, scenario.load.rate) = (3, 150.0);
    let disable_limits = |s: &mut Settings| {
        s.plans.iter_mut().for_each(|p| (p.ceiling_rate, p.rate) = (0.0, 0.0));
    };
    assert_eq!(rule(&run_altered(&scenario, disable_limits, || pass, || |all| all)), "ceiling");
    let report = run(&scenario, 1, &control_module).expect("it runs");
    assert_eq!(rule(&report), "none");
}

#[test]
fn shrink_reduces_servers_and_seconds_and_keeps_the_failure() {
    let scenario = scenario_with(&[
        fault(FaultKind::NoteLoss, 1.0, 5.0, 0.2),
        fault(FaultKind::Replace, 4.0, 5.0, 0.3),
        fault(FaultKind::Slow, 9.0, 5.0, 0.3),
    ]);
    let hiding = |s: Settings, seed: u64| -> Result<Box<dyn DecisionModule>, String> {
        let module = Control::new(s, seed).map_err(|e| e.to_string())?;
        Ok(Box::new(AlteredModule { module, events: hide_drains, actions: |all| all }))
    };
    let small = shrink(&scenario, 1, &hiding).expect("it fails");
    assert_eq!(small.failure, "drain");
    let s = &small.scenario;
    assert_eq!(s.faults.len(), 1);
    assert!(s.servers.count <= 3 && s.seconds < 12.0 && s.load.shops <= 4, "{}", s.write().expect("TOML"));
    // The written scenario fails in the same way when it is read again.
    let read = Scenario::parse(&s.write().expect("TOML")).expect("sound");
    assert_eq!(rule(&run(&read, small.seed, &hiding).expect("it runs")), "drain");
    assert!(shrink(&scenario, 1, &control_module).is_err(), "a scenario without a failure can't be shrunk");
}
