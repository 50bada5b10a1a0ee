//! Simulation of agents in virtual time over the shipped controller and registry, with drifting clocks, lost
//! messages, pauses and restarts from a seed. The tests check safety, how long a duty is without an owner,
//! and how evenly duties are spread.

use frostvale_owner::fence::Owner;
use frostvale_owner::registry::Step;
use frostvale_owner::{Action, Command, DutyController, Lease, Outcome, Settings, State};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A seeded random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

struct Agent {
    controller: DutyController,
    /// Rate of the agent's clock, in thousandths of true time.
    rate_milli: u64,
    /// End of the agent's pause, in ms of true time.
    paused_until_ms: u64,
    is_dead: bool,
    leases: BTreeMap<String, Lease>,
}

/// A fleet of agents. Each proposal takes some ms to be applied, and its answer as long to arrive.
struct Fleet {
    now: u64,
    agents: Vec<Agent>,
    state: State,
    proposals: Vec<(u64, usize, Command)>,
    answers: Vec<(u64, usize, Command, Outcome)>,
    random: Random,
    loss_percent: u64,
    names: Vec<String>,
    settings: Settings,
    /// Longest time in which a duty had no holder by any agent's own clock, in ms of true time.
    longest_gap_ms: u64,
    last_held_ms: BTreeMap<String, u64>,
}

impl Fleet {
    fn new(agents: usize, duties: usize, seed: u64) -> Fleet {
        let names: Vec<String> = (0..duties).map(|k| format!("duty{k}")).collect();
        let settings = Settings { lease_ms: 3000, drift_milli: 60, ..Settings::default() };
        let mut fleet = Fleet {
            now: 0,
            agents: Vec::new(),
            state: State::default(),
            proposals: Vec::new(),
            answers: Vec::new(),
            random: Random(seed),
            loss_percent: 0,
            names,
            settings,
            longest_gap_ms: 0,
            last_held_ms: BTreeMap::new(),
        };
        for k in 0..agents {
            let rate_milli = 950 + fleet.random.below(101);
            fleet.agents.push(fleet.new_agent(k, rate_milli, seed));
        }
        fleet
    }

    fn new_agent(&self, k: usize, rate_milli: u64, nonce: u64) -> Agent {
        let controller = DutyController::new(&format!("a{k}"), "z", &self.names, self.settings, nonce, nonce);
        Agent { controller, rate_milli, paused_until_ms: 0, is_dead: false, leases: BTreeMap::new() }
    }

    fn clock(&self, k: usize) -> u64 {
        self.now * self.agents[k].rate_milli / 1000
    }

    fn execute(&mut self, k: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(command) => {
                    let at = self.now + 1 + self.random.below(20);
                    if self.random.below(100) >= self.loss_percent {
                        self.proposals.push((at, k, command));
                    }
                }
                Action::Begin(lease) => {
                    let step = Step {
                        duty: lease.duty().into(),
                        epoch: lease.epoch(),
                        count: 1,
                        at_ms: 0,
                        next_ms: 0,
                        note: String::new(),
                    };
                    self.agents[k].controller.step_done(step);
                    self.agents[k].leases.insert(lease.duty().to_string(), lease);
                }
                Action::Stop { duty, epoch } => {
                    self.agents[k].leases.remove(&duty);
                    let now = self.clock(k);
                    let actions = self.agents[k].controller.step_stopped(now, &duty, epoch);
                    self.execute(k, actions);
                }
                Action::Notify(_) => {}
            }
        }
    }

    /// Advances true time by 10 ms.
    fn advance(&mut self) {
        self.now += 10;
        let due: Vec<_> = self.proposals.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, k, command) in due {
            let outcome = self.state.apply(&command);
            if self.random.below(100) >= self.loss_percent {
                self.answers.push((self.now + 1 + self.random.below(20), k, command, outcome));
            }
        }
        let answers: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, k, command, outcome) in answers {
            if !self.agents[k].is_dead && self.agents[k].paused_until_ms <= self.now {
                let now = self.clock(k);
                let actions = self.agents[k].controller.handle_outcome(now, &command, Some(&outcome));
                self.execute(k, actions);
            }
        }
        for k in 0..self.agents.len() {
            if !self.agents[k].is_dead && self.agents[k].paused_until_ms <= self.now {
                let (now, state) = (self.clock(k), self.state.clone());
                let actions = self.agents[k].controller.tick(now, &state);
                self.execute(k, actions);
            }
        }
        self.check_holders();
    }

    /// Agents that hold a duty by their own clocks. Paused agents are included, since they would continue
    /// where they stopped.
    fn holders(&self, duty: &str) -> Vec<(Owner, u64)> {
        let held = |k: usize| {
            let agent = &self.agents[k];
            let lease = agent.leases.get(duty)?;
            (!agent.is_dead && lease.fence(self.clock(k)).is_ok())
                .then(|| (lease.owner().clone(), lease.epoch()))
        };
        (0..self.agents.len()).filter_map(held).collect()
    }

    fn check_holders(&mut self) {
        for duty in self.names.clone() {
            let holders = self.holders(&duty);
            assert!(holders.len() < 2, "{duty} at {}: {holders:?}", self.now);
            let is_held = !holders.is_empty();
            let last_held_ms = self.last_held_ms.entry(duty).or_insert(self.now);
            if is_held {
                *last_held_ms = self.now;
            }
            self.longest_gap_ms = self.longest_gap_ms.max(self.now - *last_held_ms);
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.advance();
        }
    }

    fn loads(&self) -> Vec<usize> {
        (0..self.agents.len()).map(|k| self.state.owned_duties(&self.agents[k].controller.owner())).collect()
    }
}

#[test]
fn duties_are_spread_evenly_and_do_not_move_without_cause() {
    let mut fleet = Fleet::new(5, 40, 3);
    fleet.run(30_000);
    let loads = fleet.loads();
    assert_eq!(loads.iter().sum::<usize>(), 40);
    assert!(loads.iter().max().zip(loads.iter().min()).is_some_and(|(a, b)| a - b <= 1), "{loads:?}");
    let epoch = fleet.state.epoch;
    fleet.run(30_000);
    assert_eq!(fleet.state.epoch, epoch, "no duty moves without cause");
}

#[test]
fn thousand_duties_of_a_dead_agent_have_owners_again_within_two_leases() {
    let mut fleet = Fleet::new(3, 1000, 5);
    fleet.run(20_000);
    assert_eq!(fleet.loads().iter().sum::<usize>(), 1000);
    fleet.longest_gap_ms = 0;
    fleet.agents[0].is_dead = true;
    fleet.run(6_000);
    assert_eq!(fleet.loads()[1..].iter().sum::<usize>(), 1000, "{:?}", fleet.loads());
    assert!(fleet.longest_gap_ms < 6_000, "{} ms", fleet.longest_gap_ms);
}

#[test]
fn owner_holds_no_lease_after_a_pause_of_ten_leases() {
    let mut fleet = Fleet::new(3, 6, 8);
    fleet.run(10_000);
    let old: Vec<(String, u64)> =
        fleet.agents[0].leases.iter().map(|(d, l)| (d.clone(), l.epoch())).collect();
    assert!(!old.is_empty());
    fleet.agents[0].paused_until_ms = fleet.now + 30_000;
    fleet.run(29_990);
    let lease = fleet.agents[0].leases.clone();
    let now = fleet.clock(0);
    for (duty, epoch) in &old {
        assert!(
            lease[duty].fence(now).is_err(),
            "an expired lease gives no fence, even before the next tick"
        );
        assert!(fleet.state.duties[duty].epoch > *epoch, "{duty} has another owner");
    }
    let before = fleet.agents[0].controller.owner();
    fleet.run(5_000);
    assert!(fleet.agents[0].controller.owner().life > before.life, "it continues as another incarnation");
}

#[test]
fn moved_duty_is_without_owner_for_less_than_a_claim_delay() {
    let mut fleet = Fleet::new(3, 3, 9);
    fleet.run(10_000);
    fleet.longest_gap_ms = 0;
    for round in 0..20 {
        let duty = format!("duty{}", round % 3);
        let to = format!("a{}", round % 3);
        let move_request = Command::Move { duty: duty.clone(), to: to.clone(), by: "ana".into(), at_ms: 0 };
        fleet.state.apply(&move_request);
        fleet.run(400);
        assert_eq!(fleet.state.duties[&duty].owner.as_ref().map(|o| o.agent.clone()), Some(to));
    }
    assert!(fleet.longest_gap_ms < 200, "{} ms without an owner", fleet.longest_gap_ms);
}

#[test]
fn agent_hands_over_its_duties_when_it_closes() {
    let mut fleet = Fleet::new(3, 9, 4);
    fleet.run(10_000);
    fleet.longest_gap_ms = 0;
    let mut done = false;
    for _ in 0..200 {
        let (now, state) = (fleet.clock(1), fleet.state.clone());
        let (closed, actions) = fleet.agents[1].controller.close(now, &state);
        fleet.execute(1, actions);
        done |= closed;
        if done {
            break;
        }
        fleet.run(10);
    }
    assert!(done && fleet.loads()[1] == 0);
    assert!(fleet.longest_gap_ms < 200, "{} ms without an owner", fleet.longest_gap_ms);
    fleet.agents[1].is_dead = true;
    fleet.run(5_000);
    assert!(fleet.longest_gap_ms < 200, "no duty was left to an expiry: {} ms", fleet.longest_gap_ms);
    assert_eq!(fleet.loads()[0] + fleet.loads()[2], 9);
}

/// The owner releases a duty, its lease expires while the release is in flight, its session is renewed, and
/// only then the release arrives. If the owner began the duty again in between, the duty would have two
/// owners.
#[test]
fn duty_with_a_release_in_flight_is_not_begun_again_after_expiry() {
    let mut fleet = Fleet::new(2, 1, 12);
    fleet.run(8_000);
    let k = (0..2).find(|k| fleet.agents[*k].leases.contains_key("duty0")).expect("owned");
    let (now, epoch) = (fleet.clock(k), fleet.agents[k].leases["duty0"].epoch());
    let actions = fleet.agents[k].controller.step_crashed(now, "duty0", epoch, "a crash");
    fleet.execute(k, actions);
    let mut delayed = Vec::new();
    for round in 0..600 {
        for (_, of, command) in std::mem::take(&mut fleet.proposals) {
            if matches!(command, Command::Release { .. }) {
                delayed.push(command);
            } else if of != k || round >= 500 {
                // No command of this agent arrives until its lease has expired.
                fleet.proposals.push((0, of, command));
            }
        }
        // The other agent is paused, so that it does not expire the session.
        fleet.agents[1 - k].paused_until_ms = fleet.now + 100;
        fleet.advance();
    }
    assert!(fleet.agents[k].controller.holds_session(fleet.clock(k)), "its session is valid");
    assert!(fleet.holders("duty0").is_empty());
    fleet.state.apply(&delayed[0]);
    fleet.run(10_000);
    assert_eq!(fleet.holders("duty0").len(), 1);
}

#[test]
fn new_epoch_is_above_the_one_that_a_resource_has_seen() {
    let mut fleet = Fleet::new(2, 1, 6);
    fleet.run(5_000);
    let k = usize::from(fleet.agents[1].leases.contains_key("duty0"));
    let (epoch, now) = (fleet.agents[k].leases["duty0"].epoch(), fleet.clock(k));
    let actions = fleet.agents[k].controller.step_fenced(now, "duty0", epoch, 77);
    fleet.execute(k, actions);
    fleet.run(2_000);
    assert!(fleet.state.duties["duty0"].epoch > 77);
    assert!(!fleet.holders("duty0").is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// With agents paused and restarted and messages lost at random: no duty has two holders by their own
    /// clocks, epochs only grow, and every duty has an owner again once the faults are over.
    #[test]
    fn ownership_is_safe_and_recovers_under_random_faults(seed in any::<u64>(), loss in 0_u64..40) {
        let mut fleet = Fleet::new(4, 5, seed);
        fleet.loss_percent = loss;
        let mut epochs: BTreeMap<String, u64> = BTreeMap::new();
        for round in 0..40 {
            fleet.run(500);
            let k = fleet.random.below(4) as usize;
            match fleet.random.below(6) {
                0 => fleet.agents[k].paused_until_ms = fleet.now + fleet.random.below(12_000),
                1 => {
                    let rate_milli = fleet.agents[k].rate_milli;
                    fleet.agents[k] = fleet.new_agent(k, rate_milli, seed.wrapping_add(round));
                }
                _ => {}
            }
            for (duty, d) in &fleet.state.duties {
                let last = epochs.insert(duty.clone(), d.epoch).unwrap_or(0);
                prop_assert!(last <= d.epoch);
            }
        }
        fleet.loss_percent = 0;
        fleet.agents.iter_mut().for_each(|a| a.paused_until_ms = 0);
        for duty in fleet.names.clone() {
            let (by, why) = ("ana".to_string(), "faults are over".to_string());
            fleet.state.apply(&Command::Resume { duty, by, why, at_ms: 0 });
        }
        fleet.run(12_000);
        for duty in &fleet.names {
            prop_assert_eq!(fleet.holders(duty).len(), 1, "{} at the end", duty);
        }
    }
}
