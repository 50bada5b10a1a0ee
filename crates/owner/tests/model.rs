//! Model checks of duty ownership over the shipped registry, controller, lease and fence table. The model
//! covers clocks that drift apart, pauses of any length (an agent that is not ticked), lost, late and
//! repeated commands, lost answers and restarts. With any one safeguard disabled the check has to find a
//! violation.

use frostvale_owner::fence::Owner;
use frostvale_owner::host::DisabledSafeguard;
use frostvale_owner::registry::Step as StepReport;
use frostvale_owner::{Action, Command, DutyController, FenceTable, Outcome, Settings, State};
use stateright::{Checker, Model, Property};

const DUTY: &str = "d";
/// Advance of an exact clock per step of true time.
const TRUE_CLOCK_RATE: u64 = 4;

/// A controller whose clones share no state with it.
#[derive(Debug, PartialEq, Eq, Hash)]
struct DetachedController(DutyController);

impl Clone for DetachedController {
    fn clone(&self) -> DetachedController {
        DetachedController(self.0.detached())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Agent {
    controller: DetachedController,
    clock: u64,
    observed: State,
    restarts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    time: u64,
    agents: Vec<Agent>,
    committed: State,
    /// Proposals in flight: the agent, the command, and whether it was applied once already.
    proposals: Vec<(usize, Command, bool)>,
    /// Effects in flight: epoch and owner.
    effects: Vec<(u64, String)>,
    resource: FenceTable,
    highest_completed: u64,
    highest_begun: u64,
    lost_answers: u8,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// True time advances by one step.
    AdvanceTime,
    /// An agent observes the committed state.
    ObserveState(usize),
    /// An agent is ticked with the state that it observed last.
    TickAgent(usize),
    /// A proposal is applied and its answer arrives.
    Commit(usize),
    /// A proposal is applied and its answer is lost. It stays in flight and may be applied again.
    CommitLosingAnswer(usize),
    /// The owner begins an effect.
    BeginEffect(usize),
    /// An effect arrives at the resource.
    CompleteEffect(usize),
    /// An agent restarts.
    Restart(usize),
}

/// The safeguard that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disabled {
    Nothing,
    Controller(DisabledSafeguard),
    /// The expiry of a session is not a compare-and-swap.
    CompareAndSwap,
    /// The resource accepts every effect.
    Fence,
    /// The lease is not checked against the clock before an effect.
    LeaseCheck,
}

struct Search {
    lease_ms: u64,
    rates: Vec<u64>,
    max_time: u64,
    disabled: Disabled,
    restarts: u8,
    /// Whether all sessions are open and one agent owns the duty in the initial state.
    starts_warm: bool,
}

impl Search {
    fn settings(&self) -> Settings {
        let disabled_safeguard = match self.disabled {
            Disabled::Controller(disabled_safeguard) => disabled_safeguard,
            _ => DisabledSafeguard::NoneDisabled,
        };
        // The clocks advance by 3 and 5 where 4 is exact: they drift by a quarter.
        Settings { lease_ms: self.lease_ms, drift_milli: 250, disabled_safeguard }
    }

    fn new_controller(&self, k: usize, start: u8) -> DetachedController {
        let nonce = 10 * k as u64 + u64::from(start);
        DetachedController(DutyController::new(
            ["a", "b", "c"][k],
            "z",
            &[DUTY.to_string()],
            self.settings(),
            nonce,
            nonce,
        ))
    }

    fn enqueue_proposals(&self, world: &mut World, k: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Propose(command) = action {
                // A new proposal replaces one of the same kind that is in flight, except for expiries.
                let is_same_kind =
                    |c: &Command| std::mem::discriminant(c) == std::mem::discriminant(&command);
                world
                    .proposals
                    .retain(|(of, c, _)| *of != k || !is_same_kind(c) || matches!(c, Command::Expire { .. }));
                if world.proposals.len() < 4
                    && !world.proposals.iter().any(|(of, c, _)| *of == k && *c == command)
                {
                    world.proposals.push((k, command, false));
                }
            }
        }
    }

    fn commit(&self, world: &mut World, command: &Command) -> Outcome {
        let mut command = command.clone();
        if let (Disabled::CompareAndSwap, Command::Expire { owner, number, .. }) =
            (self.disabled, &mut command)
            && let Some(session) = world.committed.sessions.get(owner)
        {
            *number = session.number;
        }
        let before = world.committed.epoch;
        let outcome = world.committed.apply(&command);
        world.committed.history.clear();
        if let Outcome::Granted(epoch) = outcome
            && epoch <= before
        {
            world.violation = Some("an epoch was granted twice");
        }
        outcome
    }
}

impl Model for Search {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let agents = (0..self.rates.len()).map(|k| Agent {
            controller: self.new_controller(k, 0),
            clock: 0,
            observed: State::default(),
            restarts: 0,
        });
        let mut world = World {
            time: 0,
            agents: agents.collect(),
            committed: State::default(),
            proposals: vec![],
            effects: vec![],
            resource: FenceTable::new(4),
            highest_completed: 0,
            highest_begun: 0,
            lost_answers: 0,
            violation: None,
        };
        for _ in 0..if self.starts_warm { 3 } else { 0 } {
            for k in 0..self.rates.len() {
                for step in [Step::ObserveState(k), Step::TickAgent(k)] {
                    world = self.next_state(&world, step).unwrap_or(world);
                }
                while !world.proposals.is_empty() {
                    world = self.next_state(&world, Step::Commit(0)).unwrap_or(world);
                }
            }
        }
        // The owner has reported a step, so that its expiry does not count against the duty.
        if let Some(owner) = world.committed.duties.get(DUTY).and_then(|d| d.owner.clone()) {
            let (duty, note) = (DUTY.to_string(), String::new());
            let step =
                StepReport { duty, epoch: world.committed.epoch, count: 1, at_ms: 0, next_ms: 0, note };
            world.committed.apply(&Command::Beat { owner, number: 0, steps: vec![step] });
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.time < self.max_time {
            steps.push(Step::AdvanceTime);
        }
        for k in 0..world.agents.len() {
            steps.push(Step::TickAgent(k));
            if world.agents[k].observed != world.committed {
                steps.push(Step::ObserveState(k));
            }
            if world.effects.len() < 2 {
                steps.push(Step::BeginEffect(k));
            }
            if world.agents[k].restarts < self.restarts {
                steps.push(Step::Restart(k));
            }
        }
        for n in 0..world.proposals.len() {
            // A proposal that is never applied is lost.
            steps.push(Step::Commit(n));
            if world.lost_answers < 1 {
                steps.push(Step::CommitLosingAnswer(n));
            }
        }
        steps.extend((0..world.effects.len()).map(Step::CompleteEffect));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::AdvanceTime => {
                world.time += 1;
                for (agent, rate) in world.agents.iter_mut().zip(&self.rates) {
                    agent.clock += rate;
                }
            }
            Step::ObserveState(k) => world.agents[k].observed = world.committed.clone(),
            Step::TickAgent(k) => {
                let Agent { controller, clock, observed, .. } = &mut world.agents[k];
                let actions = controller.0.tick(*clock, observed);
                self.enqueue_proposals(&mut world, k, actions);
            }
            Step::Commit(n) => {
                let (k, command, _) = world.proposals.remove(n);
                let outcome = self.commit(&mut world, &command);
                let agent = &mut world.agents[k];
                let actions = agent.controller.0.handle_outcome(agent.clock, &command, Some(&outcome));
                self.enqueue_proposals(&mut world, k, actions);
            }
            Step::CommitLosingAnswer(n) => {
                let (_, command, done) = &mut world.proposals[n];
                if *done {
                    return None;
                }
                *done = true;
                let command = command.clone();
                world.lost_answers += 1;
                self.commit(&mut world, &command);
            }
            Step::BeginEffect(k) => {
                let agent = &world.agents[k];
                let now = if self.disabled == Disabled::LeaseCheck { 0 } else { agent.clock };
                let lease = agent.controller.0.leases().next()?;
                let fence = lease.fence(now).ok()?;
                if world.effects.contains(&(fence.epoch(), fence.owner().to_string())) {
                    return None;
                }
                let granted = world.committed.duties.get(DUTY).map_or(0, |d| d.epoch);
                if fence.epoch() < granted {
                    world.violation = Some("an effect began under an epoch lower than the granted one");
                }
                world.highest_begun = world.highest_begun.max(fence.epoch());
                world.effects.push((fence.epoch(), fence.owner().to_string()));
            }
            Step::CompleteEffect(n) => {
                let (epoch, owner) = world.effects.remove(n);
                let is_accepted = world.resource.admit(DUTY, epoch, &owner).is_ok();
                if is_accepted || self.disabled == Disabled::Fence {
                    if epoch < world.highest_completed {
                        world.violation =
                            Some("an effect of a lower epoch was accepted after one of a higher epoch");
                    }
                    world.highest_completed = world.highest_completed.max(epoch);
                }
            }
            Step::Restart(k) => {
                let agent = &mut world.agents[k];
                agent.restarts += 1;
                agent.controller = self.new_controller(k, agent.restarts);
                world.proposals.retain(|(of, ..)| *of != k);
            }
        }
        let holders: Vec<Owner> = world
            .agents
            .iter()
            .filter(|a| a.controller.0.leases().any(|l| l.fence(a.clock).is_ok()))
            .map(|a| a.controller.0.owner())
            .collect();
        if holders.len() > 1 {
            world.violation = Some("two agents hold the duty, each by its own clock");
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("safe", |_, w: &World| w.violation.is_none()),
            Property::sometimes("a second owner", |_, w: &World| w.highest_completed > 1),
        ]
    }
}

/// Searches breadth first. Returns the number of states, the first violation, and whether a second owner
/// occurred.
fn search(search: Search, max_states: usize) -> (usize, Option<String>, bool) {
    let checker = search.checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    (checker.unique_state_count(), violation(&checker), checker.discovery("a second owner").is_some())
}

fn violation(checker: &impl Checker<Search>) -> Option<String> {
    checker.discovery("safe").map(|path| {
        let steps: Vec<String> = path.clone().into_actions().iter().map(|s| format!("{s:?}")).collect();
        format!("{:?} after {}", path.last_state().violation, steps.join(", "))
    })
}

fn two_agents(lease_ms: u64, disabled: Disabled, max_time: u64) -> Search {
    // The names alone make the second agent, whose clock is slower, the first owner.
    Search { lease_ms, rates: vec![5, 3], max_time, disabled, restarts: 0, starts_warm: true }
}

#[test]
fn breadth_first_search_finds_no_violation() {
    let (states, violation, _) = search(two_agents(2 * TRUE_CLOCK_RATE, Disabled::Nothing, 5), 60_000);
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states} states: the search is too small");
}

/// Makes `walks` random walks from a fixed seed. Returns the first violation, and whether a second owner
/// occurred.
fn walk(search: &Search, walks: u64) -> (Option<String>, bool) {
    let mut rng_state = 7_u64;
    let mut draw = |below: usize| {
        rng_state = rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (rng_state >> 33) as usize % below
    };
    let mut had_second_owner = false;
    for _ in 0..walks {
        let mut world = search.init_states().remove(0);
        // The first owner is mostly paused and its proposals are slow.
        let owner = world.committed.duties.get(DUTY).and_then(|d| d.owner.clone());
        let slow_agent = world.agents.iter().position(|a| Some(a.controller.0.owner()) == owner);
        for _ in 0..250 {
            let mut enabled = Vec::new();
            search.actions(&world, &mut enabled);
            let mut steps = Vec::new();
            for step in enabled {
                let weight = match step {
                    Step::Restart(_) | Step::CompleteEffect(_) => 1,
                    Step::ObserveState(k) | Step::TickAgent(k) if Some(k) == slow_agent => 1,
                    Step::Commit(n) if Some(world.proposals[n].0) == slow_agent => 1,
                    Step::AdvanceTime => 2,
                    Step::BeginEffect(_) | Step::CommitLosingAnswer(_) => 2,
                    Step::ObserveState(_) | Step::TickAgent(_) | Step::Commit(_) => 8,
                };
                steps.extend(std::iter::repeat_n(step, weight));
            }
            let step = steps[draw(steps.len())];
            world = search.next_state(&world, step).unwrap_or(world);
            had_second_owner |= world.highest_completed > 1;
            if let Some(violation) = world.violation {
                return (Some(violation.to_string()), had_second_owner);
            }
        }
    }
    (None, had_second_owner)
}

/// Tests that random walks find the expected violation when a safeguard is disabled.
macro_rules! finds_violation {
    ($($name:ident: $disabled:expr, $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let (violation, _) = walk(&two_agents(6 * TRUE_CLOCK_RATE, $disabled, 26), 5_000);
            let violation = violation.expect("the check finds a violation");
            assert!(violation.contains($expected), "{violation}");
        })*
    };
}

finds_violation! {
    random_walks_find_two_holders_without_drift_allowance: Disabled::Controller(DisabledSafeguard::ClockDriftAllowance), "two agents hold";
    random_walks_find_two_holders_when_lease_counts_from_the_answer: Disabled::Controller(DisabledSafeguard::LeaseCountedFromRequest), "two agents hold";
    random_walks_find_two_holders_without_compare_and_swap: Disabled::CompareAndSwap, "two agents hold";
    random_walks_find_stale_effect_accepted_without_fence: Disabled::Fence, "accepted after";
    random_walks_find_late_effect_without_lease_check: Disabled::LeaseCheck, "lower than the granted";
}

/// With all safeguards the same walks find no violation, and they do reach a second owner.
#[test]
fn random_walks_find_no_violation_with_all_safeguards() {
    assert_eq!(walk(&two_agents(6 * TRUE_CLOCK_RATE, Disabled::Nothing, 26), 500), (None, true));
}

/// The same walks with three agents that may restart, one of which has an exact clock.
#[test]
fn random_walks_of_three_restarting_agents_find_no_violation() {
    let three = Search {
        rates: vec![5, 3, 4],
        restarts: 1,
        ..two_agents(6 * TRUE_CLOCK_RATE, Disabled::Nothing, 26)
    };
    assert_eq!(walk(&three, 1000), (None, true));
}

/// The large search whose figures are in docs/owner.md. It takes minutes and some GB of memory.
#[test]
#[ignore = "long: run once, figures in docs/owner.md"]
fn long_breadth_first_search_finds_no_violation() {
    let max_states = std::env::var("STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(2_000_000);
    for (rates, max_time, restarts, starts_warm) in [
        (vec![5, 3], 7, 0, true),
        (vec![5, 3], 6, 1, true),
        (vec![5, 3], 5, 0, false),
        (vec![5, 3, 4], 6, 0, true),
    ] {
        let agents = rates.len();
        let world = Search {
            lease_ms: 2 * TRUE_CLOCK_RATE,
            rates,
            max_time,
            disabled: Disabled::Nothing,
            restarts,
            starts_warm,
        };
        let (states, violation, had_second_owner) = search(world, max_states);
        println!(
            "{agents} agents, {max_time} steps, {restarts} restarts, warm {starts_warm}: {states} states, {had_second_owner}, {violation:?}"
        );
        assert_eq!(violation, None);
    }
}
