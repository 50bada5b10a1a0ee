//! The oracles see each rule broken by a mind that breaks it, and a failing scenario shrinks.

use frostvale::{Action, AttemptResult, Control, Event, Health, RefusalReason, Request, Settings};
use frostvale_sim::scenario::{Fault, FaultKind, Repeat};
use frostvale_sim::shrink::shrink;
use frostvale_sim::{DecisionModule, Report, Scenario, control_module, run};

/// A real mind whose events and actions pass through somebody's hands.
struct Between<E, A> {
    mind: Control,
    events: E,
    actions: A,
}

impl<E: FnMut(&mut Event), A: FnMut(Vec<Action>) -> Vec<Action>> DecisionModule for Between<E, A> {
    fn handle(&mut self, now: f64, mut event: Event) -> Vec<Action> {
        (self.events)(&mut event);
        (self.actions)(self.mind.handle(now, event))
    }
}

fn broken<E, A>(
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
        let mind = Control::new(s, seed).map_err(|e| e.to_string())?;
        Ok(Box::new(Between { mind, events: events(), actions: actions() }))
    };
    run(scenario, 1, &make).expect("it runs")
}

fn rule(report: &Report) -> &str {
    report.broken.as_ref().map_or("none", |b| b.rule.as_str())
}

fn day(faults: &[Fault]) -> Scenario {
    Scenario { seconds: 20.0, faults: faults.to_vec(), ..Scenario::default() }
}

fn fault(kind: FaultKind, at_s: f64, for_s: f64, part: f64) -> Fault {
    Fault { kind, at_s, for_s, part, times: 1.0, count: 1, zone: 0 }
}

fn pass(_: &mut Event) {}

#[test]
fn a_request_that_is_forgotten_is_lost() {
    let mut scenario = day(&[]);
    scenario.load.rate = 600.0;
    let report = broken(
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
fn a_second_answer_is_seen() {
    let mut scenario = day(&[]);
    scenario.load.rate = 600.0;
    let twice = |all: Vec<Action>| {
        let again: Vec<Action> = all.iter().filter(|a| matches!(a, Action::Refuse { .. })).cloned().collect();
        all.into_iter().chain(again).collect()
    };
    assert_eq!(rule(&broken(&scenario, |_| {}, || pass, || twice)), "answers");
}

#[test]
fn two_attempts_at_once_are_seen() {
    let twice = |all: Vec<Action>| {
        let again: Vec<Action> = all.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        all.into_iter().chain(again).collect()
    };
    assert_eq!(rule(&broken(&day(&[]), |_| {}, || pass, || twice)), "twice");
}

/// Said to be safe, it is sent on again wherever there is room: it takes effect in two racks.
#[test]
fn a_repeat_outside_its_rack_is_seen() {
    let faults = [fault(FaultKind::Errors, 2.0, 10.0, 0.5)];
    let report = broken(
        &day(&faults),
        |s| s.classes.iter_mut().for_each(|c| c.effect = frostvale::Effect::Safe),
        || pass,
        || |all| all,
    );
    assert_eq!(rule(&report), "twice");
}

#[test]
fn refusing_what_may_have_run_is_seen() {
    let mut scenario = day(&[fault(FaultKind::Silent, 2.0, 10.0, 0.5)]);
    scenario.classes[1].repeat = Repeat::Once;
    scenario.classes[1].window_ms = 0.0;
    let kindly = |all: Vec<Action>| {
        let kind = |a| {
            if let Action::Fail { id } = a {
                Action::Refuse { id, retry_after_ms: 0.0, reason: RefusalReason::NoServer }
            } else {
                a
            }
        };
        all.into_iter().map(kind).collect()
    };
    assert_eq!(rule(&broken(&scenario, |_| {}, || pass, || kindly)), "twice");
}

fn deaf_to_drains(event: &mut Event) {
    if let Event::EndpointUpdate { servers, .. } = event {
        servers.iter_mut().for_each(|s| s.health = Health::Up);
    }
}

#[test]
fn work_for_a_draining_server_is_seen() {
    let scenario = day(&[fault(FaultKind::Replace, 2.0, 5.0, 0.3)]);
    assert_eq!(rule(&broken(&scenario, |_| {}, || deaf_to_drains, || |all| all)), "drain");
}

/// Sends all to one server as long as it is listed.
struct Floods {
    listed: bool,
}

impl DecisionModule for Floods {
    fn handle(&mut self, _: f64, event: Event) -> Vec<Action> {
        match event {
            Event::EndpointUpdate { servers, .. } => {
                for s in servers.iter().filter(|s| &*s.name == "s-0") {
                    self.listed = s.health == Health::Up;
                }
                Vec::new()
            }
            Event::Request(r) if self.listed => {
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
fn a_cold_server_that_is_pushed_over_is_seen() {
    let mut scenario = day(&[fault(FaultKind::Crash, 2.0, 3.0, 1.0)]);
    scenario.classes.truncate(1);
    (scenario.load.rate, scenario.servers.queue) = (300.0, 400);
    let floods = |_, _| -> Result<Box<dyn DecisionModule>, String> { Ok(Box::new(Floods { listed: false })) };
    assert_eq!(rule(&run(&scenario, 1, &floods).expect("it runs")), "cold");
    assert_eq!(rule(&run(&scenario, 1, &control_module).expect("it runs")), "none");
}

#[test]
fn more_than_a_ceiling_is_seen() {
    let mut scenario = day(&[]);
    scenario.plans.retain(|p| p.name == "ferreteria");
    (scenario.load.shops, scenario.load.rate) = (3, 150.0);
    let unheld = |s: &mut Settings| {
        s.plans.iter_mut().for_each(|p| (p.ceiling_rate, p.rate) = (0.0, 0.0));
    };
    assert_eq!(rule(&broken(&scenario, unheld, || pass, || |all| all)), "ceiling");
    let report = run(&scenario, 1, &control_module).expect("it runs");
    assert_eq!(rule(&report), "none");
}

#[test]
fn a_failing_day_shrinks_to_a_few_servers_and_seconds_and_fails_in_the_same_way() {
    let scenario = day(&[
        fault(FaultKind::NoteLoss, 1.0, 5.0, 0.2),
        fault(FaultKind::Replace, 4.0, 5.0, 0.3),
        fault(FaultKind::Slow, 9.0, 5.0, 0.3),
    ]);
    let deaf = |s: Settings, seed: u64| -> Result<Box<dyn DecisionModule>, String> {
        let mind = Control::new(s, seed).map_err(|e| e.to_string())?;
        Ok(Box::new(Between { mind, events: deaf_to_drains, actions: |all| all }))
    };
    let small = shrink(&scenario, 1, &deaf).expect("it fails");
    assert_eq!(small.failure, "drain");
    let s = &small.scenario;
    assert_eq!(s.faults.len(), 1);
    assert!(s.servers.count <= 3 && s.seconds < 12.0 && s.load.shops <= 4, "{}", s.write().expect("TOML"));
    // As it would be read from its file.
    let read = Scenario::parse(&s.write().expect("TOML")).expect("sound");
    assert_eq!(rule(&run(&read, small.seed, &deaf).expect("it runs")), "drain");
    assert!(shrink(&scenario, 1, &control_module).is_err(), "what holds does not shrink");
}
