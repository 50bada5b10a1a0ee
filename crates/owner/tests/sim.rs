//! Agents by virtual time over the shipped host and registry: clocks that run apart, lost answers, stops and ends by
//! seed. Asserted are safety, how long a duty is without an owner, and how duties are spread.

use frostvale_owner::fence::Owner;
use frostvale_owner::registry::Step;
use frostvale_owner::{Action, Command, DutyController, Lease, Outcome, Settings, State};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A draw by seed.
struct Lots(u64);

impl Lots {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most
    }
}

struct Agent {
    host: DutyController,
    /// Its clock runs at so many thousandths of true time.
    rate: u64,
    /// Until when, by true time, it does nothing at all.
    stopped: u64,
    dead: bool,
    leases: BTreeMap<String, Lease>,
}

/// A fleet of agents; each proposal takes some ms to be carried out and as long to be heard of.
struct Fleet {
    now: u64,
    agents: Vec<Agent>,
    state: State,
    net: Vec<(u64, usize, Command)>,
    heard: Vec<(u64, usize, Command, Outcome)>,
    lots: Lots,
    loss: u64,
    names: Vec<String>,
    settings: Settings,
    /// The longest that a duty that could run had no owner, by its own clock.
    gap: u64,
    since: BTreeMap<String, u64>,
}

impl Fleet {
    fn new(agents: usize, duties: usize, seed: u64) -> Fleet {
        let names: Vec<String> = (0..duties).map(|k| format!("duty{k}")).collect();
        let settings = Settings { lease_ms: 3000, drift_milli: 60, ..Settings::default() };
        let mut fleet = Fleet {
            now: 0,
            agents: Vec::new(),
            state: State::default(),
            net: Vec::new(),
            heard: Vec::new(),
            lots: Lots(seed),
            loss: 0,
            names,
            settings,
            gap: 0,
            since: BTreeMap::new(),
        };
        for k in 0..agents {
            let rate = 950 + fleet.lots.below(101);
            fleet.agents.push(fleet.fresh(k, rate, seed));
        }
        fleet
    }

    fn fresh(&self, k: usize, rate: u64, nonce: u64) -> Agent {
        let host = DutyController::new(&format!("a{k}"), "z", &self.names, self.settings, nonce, nonce);
        Agent { host, rate, stopped: 0, dead: false, leases: BTreeMap::new() }
    }

    fn clock(&self, k: usize) -> u64 {
        self.now * self.agents[k].rate / 1000
    }

    fn take(&mut self, k: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(command) => {
                    let at = self.now + 1 + self.lots.below(20);
                    if self.lots.below(100) >= self.loss {
                        self.net.push((at, k, command));
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
                    self.agents[k].host.step_done(step);
                    self.agents[k].leases.insert(lease.duty().to_string(), lease);
                }
                Action::Stop { duty, epoch } => {
                    self.agents[k].leases.remove(&duty);
                    let now = self.clock(k);
                    let more = self.agents[k].host.step_stopped(now, &duty, epoch);
                    self.take(k, more);
                }
                Action::Notify(_) => {}
            }
        }
    }

    /// 10 ms of true time.
    fn step(&mut self) {
        self.now += 10;
        let due: Vec<_> = self.net.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, k, command) in due {
            let outcome = self.state.apply(&command);
            if self.lots.below(100) >= self.loss {
                self.heard.push((self.now + 1 + self.lots.below(20), k, command, outcome));
            }
        }
        let heard: Vec<_> = self.heard.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, k, command, outcome) in heard {
            if !self.agents[k].dead && self.agents[k].stopped <= self.now {
                let now = self.clock(k);
                let actions = self.agents[k].host.handle_outcome(now, &command, Some(&outcome));
                self.take(k, actions);
            }
        }
        for k in 0..self.agents.len() {
            if !self.agents[k].dead && self.agents[k].stopped <= self.now {
                let (now, state) = (self.clock(k), self.state.clone());
                let actions = self.agents[k].host.tick(now, &state);
                self.take(k, actions);
            }
        }
        self.check();
    }

    /// Who holds a duty by its own clock, stopped ones too: they would go on where they stand.
    fn holders(&self, duty: &str) -> Vec<(Owner, u64)> {
        let held = |k: usize| {
            let agent = &self.agents[k];
            let lease = agent.leases.get(duty)?;
            (!agent.dead && lease.fence(self.clock(k)).is_ok())
                .then(|| (lease.owner().clone(), lease.epoch()))
        };
        (0..self.agents.len()).filter_map(held).collect()
    }

    fn check(&mut self) {
        for duty in self.names.clone() {
            let holders = self.holders(&duty);
            assert!(holders.len() < 2, "{duty} at {}: {holders:?}", self.now);
            let awake = !holders.is_empty();
            let since = self.since.entry(duty).or_insert(self.now);
            if awake {
                *since = self.now;
            }
            self.gap = self.gap.max(self.now - *since);
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    fn loads(&self) -> Vec<usize> {
        (0..self.agents.len()).map(|k| self.state.owned_duties(&self.agents[k].host.owner())).collect()
    }
}

#[test]
fn duties_are_spread_and_stay_where_they_are() {
    let mut fleet = Fleet::new(5, 40, 3);
    fleet.run(30_000);
    let loads = fleet.loads();
    assert_eq!(loads.iter().sum::<usize>(), 40);
    assert!(loads.iter().max().zip(loads.iter().min()).is_some_and(|(a, b)| a - b <= 1), "{loads:?}");
    let epoch = fleet.state.epoch;
    fleet.run(30_000);
    assert_eq!(fleet.state.epoch, epoch, "nothing moves while nothing happens");
}

#[test]
fn a_thousand_duties_of_one_agent_that_dies_have_owners_again_within_two_leases() {
    let mut fleet = Fleet::new(3, 1000, 5);
    fleet.run(20_000);
    assert_eq!(fleet.loads().iter().sum::<usize>(), 1000);
    fleet.gap = 0;
    fleet.agents[0].dead = true;
    fleet.run(6_000);
    assert_eq!(fleet.loads()[1..].iter().sum::<usize>(), 1000, "{:?}", fleet.loads());
    assert!(fleet.gap < 6_000, "{} ms", fleet.gap);
}

#[test]
fn an_owner_that_is_stopped_for_ten_leases_holds_nothing_when_it_goes_on() {
    let mut fleet = Fleet::new(3, 6, 8);
    fleet.run(10_000);
    let old: Vec<(String, u64)> =
        fleet.agents[0].leases.iter().map(|(d, l)| (d.clone(), l.epoch())).collect();
    assert!(!old.is_empty());
    fleet.agents[0].stopped = fleet.now + 30_000;
    fleet.run(29_990);
    let lease = fleet.agents[0].leases.clone();
    let now = fleet.clock(0);
    for (duty, epoch) in &old {
        assert!(lease[duty].fence(now).is_err(), "no fence after the lease, before any turn was taken");
        assert!(fleet.state.duties[duty].epoch > *epoch, "{duty} has another owner");
    }
    let before = fleet.agents[0].host.owner();
    fleet.run(5_000);
    assert!(fleet.agents[0].host.owner().life > before.life, "it goes on as another life");
}

#[test]
fn a_move_in_order_leaves_a_duty_without_an_owner_for_less_than_a_turn() {
    let mut fleet = Fleet::new(3, 3, 9);
    fleet.run(10_000);
    fleet.gap = 0;
    for round in 0..20 {
        let duty = format!("duty{}", round % 3);
        let to = format!("a{}", round % 3);
        let wish = Command::Move { duty: duty.clone(), to: to.clone(), by: "ana".into(), at_ms: 0 };
        fleet.state.apply(&wish);
        fleet.run(400);
        assert_eq!(fleet.state.duties[&duty].owner.as_ref().map(|o| o.agent.clone()), Some(to));
    }
    assert!(fleet.gap < 200, "{} ms without an owner", fleet.gap);
}

#[test]
fn an_agent_that_closes_hands_its_duties_over() {
    let mut fleet = Fleet::new(3, 9, 4);
    fleet.run(10_000);
    fleet.gap = 0;
    let mut done = false;
    for _ in 0..200 {
        let (now, state) = (fleet.clock(1), fleet.state.clone());
        let (closed, actions) = fleet.agents[1].host.close(now, &state);
        fleet.take(1, actions);
        done |= closed;
        if done {
            break;
        }
        fleet.run(10);
    }
    assert!(done && fleet.loads()[1] == 0);
    assert!(fleet.gap < 200, "{} ms without an owner", fleet.gap);
    fleet.agents[1].dead = true;
    fleet.run(5_000);
    assert!(fleet.gap < 200, "nothing is left for silence to end: {} ms", fleet.gap);
    assert_eq!(fleet.loads()[0] + fleet.loads()[2], 9);
}

/// A duty is given up, and that word is on its way as the owner lapses; the owner's session goes on, and only then the word
/// arrives. Taken up again in between, the duty would have two owners.
#[test]
fn what_is_on_its_way_is_not_taken_up_again_after_a_lapse() {
    let mut fleet = Fleet::new(2, 1, 12);
    fleet.run(8_000);
    let k = (0..2).find(|k| fleet.agents[*k].leases.contains_key("duty0")).expect("owned");
    let (now, epoch) = (fleet.clock(k), fleet.agents[k].leases["duty0"].epoch());
    let actions = fleet.agents[k].host.step_crashed(now, "duty0", epoch, "a crash");
    fleet.take(k, actions);
    let mut held = Vec::new();
    for round in 0..600 {
        for (_, of, command) in std::mem::take(&mut fleet.net) {
            if matches!(command, Command::Release { .. }) {
                held.push(command);
            } else if of != k || round >= 500 {
                // Nothing of this agent is heard until it has lapsed.
                fleet.net.push((0, of, command));
            }
        }
        // Nobody else looks: the session is not ended.
        fleet.agents[1 - k].stopped = fleet.now + 100;
        fleet.step();
    }
    assert!(fleet.agents[k].host.holds_session(fleet.clock(k)), "its session goes on");
    assert!(fleet.holders("duty0").is_empty());
    fleet.state.apply(&held[0]);
    fleet.run(10_000);
    assert_eq!(fleet.holders("duty0").len(), 1);
}

#[test]
fn a_number_that_a_resource_knows_and_the_council_does_not_is_passed_over() {
    let mut fleet = Fleet::new(2, 1, 6);
    fleet.run(5_000);
    let k = usize::from(fleet.agents[1].leases.contains_key("duty0"));
    let (epoch, now) = (fleet.agents[k].leases["duty0"].epoch(), fleet.clock(k));
    let actions = fleet.agents[k].host.step_fenced(now, "duty0", epoch, 77);
    fleet.take(k, actions);
    fleet.run(2_000);
    assert!(fleet.state.duties["duty0"].epoch > 77);
    assert!(!fleet.holders("duty0").is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever is stopped, killed and lost: never two by their own clocks, epochs only grow, and once the faults are
    /// over every duty has an owner again.
    #[test]
    fn faults_by_seed(seed in any::<u64>(), loss in 0_u64..40) {
        let mut fleet = Fleet::new(4, 5, seed);
        fleet.loss = loss;
        let mut epochs: BTreeMap<String, u64> = BTreeMap::new();
        for round in 0..40 {
            fleet.run(500);
            let k = fleet.lots.below(4) as usize;
            match fleet.lots.below(6) {
                0 => fleet.agents[k].stopped = fleet.now + fleet.lots.below(12_000),
                1 => {
                    let rate = fleet.agents[k].rate;
                    fleet.agents[k] = fleet.fresh(k, rate, seed.wrapping_add(round));
                }
                _ => {}
            }
            for (duty, d) in &fleet.state.duties {
                let last = epochs.insert(duty.clone(), d.epoch).unwrap_or(0);
                prop_assert!(last <= d.epoch);
            }
        }
        fleet.loss = 0;
        fleet.agents.iter_mut().for_each(|a| a.stopped = 0);
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
