//! The judge over a small closed loop: zones of servers that bear so much, agents that report what their requests met, and
//! gatekeepers that do what was decided, with faults by seed.

use frostvale_zones::{
    AttemptCounts, Decision, Drain, FailoverController, Report, Settings, ZoneCapacity, ZoneState,
};

const NAMES: [&str; 3] = ["a", "b", "c"];
/// An agent reports this often, in ms.
const REPORT: u64 = 250;
/// What is decided is in effect so much later.
const LAG: u64 = 150;

struct Lots(u64);

impl Lots {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most.max(1)
    }

    fn part(&mut self) -> f64 {
        self.below(1 << 20) as f64 / (1 << 20) as f64
    }
}

/// A zone as it truly is.
#[derive(Clone, Copy)]
struct Zone {
    /// Requests that its own gatekeepers get in a second; each is 20 ms of work.
    rate: f64,
    size: f64,
    warm: f64,
    /// The part of its requests that fails.
    fails: f64,
    listed: bool,
}

struct World {
    zones: Vec<Zone>,
    /// Ways that are cut, from and to.
    cut: Vec<(usize, usize)>,
    /// Agents whose reports don't come, and one that says what it likes.
    mute: Vec<usize>,
    liar: Option<usize>,
    agents: usize,
    judge: FailoverController,
    now: u64,
    number: u64,
    lots: Lots,
    decided: Vec<(u64, Decision)>,
    /// In effect: the decision and since when.
    acts: Option<(Decision, u64)>,
    /// Requests asked and served within each second.
    seconds: Vec<(f64, f64)>,
    /// The most that a zone was sent, as a part of what it bears, while it was well.
    most: f64,
}

impl World {
    fn new(zones: [(f64, f64); 3], agents: usize, seed: u64) -> World {
        let zone = |(rate, size): (f64, f64)| Zone { rate, size, warm: size, fails: 0.0, listed: size > 0.0 };
        let s = Settings { slots_milli: 1000, ..Settings::default() };
        World {
            zones: zones.into_iter().map(zone).collect(),
            cut: vec![],
            mute: vec![],
            liar: None,
            agents,
            judge: FailoverController::new(s),
            now: 0,
            number: 0,
            lots: Lots(seed),
            decided: vec![],
            acts: None,
            seconds: vec![],
            most: 0.0,
        }
    }

    /// The shares of a zone's requests by where they go, and what is refused.
    fn shares(&self, from: usize) -> Vec<f64> {
        let Some((d, since)) = &self.acts else {
            // By itself it hardly tells near from far.
            let up = self.zones.iter().filter(|z| z.listed).count().max(1) as f64;
            return self.zones.iter().map(|z| if z.listed { 1.0 / up } else { 0.0 }).collect();
        };
        let ms = self.now - since;
        let Some(row) = d.row(NAMES[from]) else { return vec![0.0; 3] };
        let mut left = 1.0;
        let mut shares = vec![0.0; 3];
        let near = f64::from(row.near.at(ms, d.ramp_ms)) / 1000.0;
        shares[from] = near.min(left);
        left -= shares[from];
        let far: f64 = row.spill.iter().map(|s| f64::from(s.share.at(ms, d.ramp_ms)) / 1000.0).sum();
        for s in &row.spill {
            let to = NAMES.iter().position(|n| *n == s.to).expect("a zone");
            let share = f64::from(s.share.at(ms, d.ramp_ms)) / 1000.0;
            shares[to] = if far > 0.0 { share.min(left * share / far) } else { 0.0 };
        }
        shares
    }

    fn step(&mut self) {
        self.now += REPORT;
        self.number += 1;
        let ms = REPORT as f64;
        let flows: Vec<Vec<f64>> = (0..3)
            .map(|f| self.shares(f).iter().map(|s| s * self.zones[f].rate * ms / 1000.0).collect())
            .collect();
        let (mut asked, mut served) = (0.0, 0.0);
        let mut fails = vec![vec![0.0; 3]; 3];
        for t in 0..3 {
            let z = self.zones[t];
            let work: f64 = (0..3).map(|f| flows[f][t]).sum::<f64>() * 20.0 / ms;
            let over = if work > z.warm { 1.0 - z.warm / work.max(1e-9) } else { 0.0 };
            if z.fails == 0.0 && z.warm > 0.0 && self.acts.is_some() {
                self.most = self.most.max(work / z.warm);
            }
            for f in 0..3 {
                let cut = self.cut.contains(&(f, t)) || !z.listed;
                fails[f][t] = if cut { 1.0 } else { z.fails.max(over) };
                // A failure is tried again elsewhere once, where that is open.
                let again =
                    (0..3).filter(|o| *o != t && self.zones[*o].fails < 0.5 && self.zones[*o].listed).count();
                let rescued = if again > 0 && fails[f][t] > 0.0 { 0.5 } else { 0.0 };
                served += flows[f][t] * (1.0 - fails[f][t] * (1.0 - rescued));
            }
        }
        for f in 0..3 {
            asked += self.zones[f].rate * ms / 1000.0;
        }
        let second = (self.now / 1000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0.0, 0.0));
        }
        self.seconds[second].0 += asked;
        self.seconds[second].1 += served;
        for a in 0..self.agents {
            let f = a % 3;
            let here = (0..self.agents).filter(|k| k % 3 == f).count() as f64;
            if self.mute.contains(&a) || self.zones[f].rate == 0.0 {
                continue;
            }
            let mut lines = Vec::new();
            for (t, name) in NAMES.iter().enumerate() {
                let attempts = flows[f][t] / here;
                let attempts = attempts.floor() + f64::from(u8::from(self.lots.part() < attempts.fract()));
                let bad = (attempts * fails[f][t]).round();
                let bad = if self.liar == Some(a) { attempts } else { bad };
                lines.push(AttemptCounts {
                    to: (*name).into(),
                    class: 0,
                    attempts: attempts as u32,
                    bad: bad as u32,
                    late: 0,
                });
            }
            let place = |(k, z): (usize, &Zone)| ZoneCapacity {
                zone: NAMES[k].into(),
                servers: if z.listed { 4 } else { 0 },
                size: if z.listed { z.size } else { 0.0 },
                warm: if z.listed { z.warm } else { 0.0 },
            };
            let report = Report {
                agent: format!("agent{a}"),
                life: 1,
                number: self.number,
                zone: NAMES[f].into(),
                gatekeepers: 2,
                need: self.zones[f].rate * 0.02 / here,
                lines,
                places: self.zones.iter().enumerate().map(place).collect(),
            };
            let _ = self.judge.record_report(self.now, self.now - 1, report);
        }
        if let Some(decision) = self.judge.tick(self.now) {
            assert_eq!(decision.check(), Ok(()), "{decision:?}");
            self.decided.push((self.now, decision));
        }
        let due = self.decided.iter().rev().find(|(at, _)| *at + LAG <= self.now);
        if let Some((at, d)) = due
            && self.acts.as_ref().is_none_or(|(_, since)| *since != *at + LAG)
        {
            self.acts = Some((d.clone(), *at + LAG));
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    fn state(&self, zone: usize) -> ZoneState {
        let (_, d) = self.decided.last().expect("decided");
        d.zones.iter().find(|z| z.zone == NAMES[zone]).map_or(ZoneState::Serving, |z| z.state)
    }

    /// The part served from one second on and before another.
    fn served(&self, from: u64, to: u64) -> f64 {
        let some = &self.seconds[(from / 1000) as usize..(to / 1000) as usize];
        some.iter().map(|s| s.1).sum::<f64>() / some.iter().map(|s| s.0).sum::<f64>()
    }

    /// When what was decided, in short.
    fn told(&self) -> String {
        let zone = |z: &frostvale_zones::ZoneAssessment| format!("{} {}", z.zone, z.state);
        let row = |r: &frostvale_zones::RoutingRow| format!("{}:{}-{}", r.from, r.near.start, r.near.end);
        let one = |(at, d): &(u64, Decision)| {
            let zones: Vec<String> = d.zones.iter().map(zone).collect();
            let rows: Vec<String> = d.rows.iter().map(row).collect();
            format!("{at}: {} {} over {}", zones.join(", "), rows.join(" "), d.ramp_ms)
        };
        self.decided.iter().map(one).collect::<Vec<_>>().join("; ")
    }

    fn since(&self, ms: u64) -> usize {
        self.decided.iter().filter(|(at, _)| *at >= ms).count()
    }
}

fn even(seed: u64) -> World {
    World::new([(200.0, 10.0); 3], 3, seed)
}

#[test]
fn calm_is_one_decision_and_all_stays_near() {
    let mut w = even(1);
    w.run(60_000);
    assert_eq!(w.decided.len(), 1, "{:?}", w.decided);
    assert!((0..3).all(|f| w.shares(f)[f] == 1.0));
}

#[test]
fn a_zone_lost_and_back_cold_is_two_decisions() {
    let mut w = even(2);
    w.run(10_000);
    w.zones[1].fails = 1.0;
    w.run(5000);
    assert_eq!((w.state(1), w.since(10_000)), (ZoneState::Out, 1), "{:?}", w.decided);
    let agreed = w.decided[1].0 + LAG - 10_000;
    assert!(agreed <= 1500, "in effect {agreed} ms after the loss");
    assert!(w.served(12_000, 15_000) > 0.99, "{}", w.served(12_000, 15_000));
    // Cold, and warm again over 17 s.
    w.zones[1] = Zone { fails: 0.0, warm: 2.0, ..w.zones[1] };
    for _ in 0..34 {
        w.run(500);
        w.zones[1].warm = (w.zones[1].warm + 8.0 / 34.0).min(10.0);
    }
    w.run(10_000);
    assert!(w.since(10_000) <= 3, "{}", w.told());
    assert!(w.served(15_000, 40_000) > 0.98, "{}", w.served(15_000, 40_000));
    assert!(w.shares(1)[1] > 0.99, "{:?}", w.shares(1));
}

#[test]
fn a_zone_that_is_cut_off_does_not_take_the_others_out() {
    let mut w = even(3);
    // It is short of room, so that it tries the others all the time.
    w.zones[2] = Zone { rate: 600.0, ..w.zones[2] };
    w.run(10_000);
    w.cut = vec![(2, 0), (2, 1), (0, 2), (1, 2)];
    w.run(5000);
    assert_eq!((w.state(0), w.state(1)), (ZoneState::Serving, ZoneState::Serving), "{:?}", w.decided.last());
    assert_eq!(w.state(2), ZoneState::CutOff);
    assert!(w.shares(2)[2] > 0.5, "its own servers serve its own: {:?}", w.shares(2));
    w.cut.clear();
    w.run(20_000);
    assert!(w.state(2) != ZoneState::CutOff && w.shares(2)[0] + w.shares(2)[1] > 0.2, "{:?}", w.shares(2));
}

#[test]
fn each_of_two_halves_that_holds_the_other_for_lost_takes_nobody_out() {
    let mut w = World::new([(300.0, 10.0), (300.0, 10.0), (0.0, 0.0)], 3, 4);
    w.run(10_000);
    w.cut = vec![(0, 1), (1, 0)];
    w.run(10_000);
    assert!([0, 1].iter().all(|z| w.state(*z) != ZoneState::Out), "{:?}", w.decided.last());
    assert!([0, 1].iter().all(|z| w.shares(*z)[*z] > 0.9), "{:?} {:?}", w.shares(0), w.shares(1));
}

/// Both others can't reach it, and its own gatekeepers can: the ways are at fault.
#[test]
fn a_zone_that_nobody_else_reaches_is_not_out_for_its_own() {
    let mut w = World::new([(500.0, 10.0), (150.0, 10.0), (500.0, 10.0)], 9, 14);
    w.run(10_000);
    w.cut = vec![(0, 1), (2, 1)];
    w.run(8000);
    assert!(w.state(1) != ZoneState::Out && w.shares(1)[1] > 0.99, "{}", w.told());
    assert!(w.shares(0)[1] < 0.1 && w.shares(2)[1] < 0.1, "{:?} {:?} {}", w.shares(0), w.shares(2), w.told());
}

#[test]
fn two_of_three_lost_and_the_last_is_sent_what_it_bears() {
    let mut w = World::new([(300.0, 10.0); 3], 3, 5);
    w.run(10_000);
    (w.zones[0].fails, w.zones[1].fails) = (1.0, 1.0);
    w.run(3000);
    w.most = 0.0;
    w.run(15_000);
    assert_eq!((w.state(0), w.state(1)), (ZoneState::Out, ZoneState::Out));
    assert!(w.most <= 0.85, "{} of what it bears", w.most);
    let sent: f64 = (0..3).map(|f| w.shares(f)[2] * 300.0 * 0.02).sum();
    assert!(sent > 7.0, "{sent} of the 8 that it may be filled to");
    // All are: then all are open, as a guess is better than none.
    w.zones[2].fails = 1.0;
    w.run(4000);
    let (_, d) = w.decided.last().expect("decided");
    assert!(d.rows.iter().all(|r| r.near.start == 1000 && r.spill.len() == 2), "{}", w.told());
}

#[test]
fn a_flapping_zone_costs_a_bounded_number_of_decisions() {
    let mut w = even(6);
    w.run(10_000);
    for _ in 0..10 {
        w.zones[1].fails = 1.0;
        w.run(3000);
        w.zones[1].fails = 0.0;
        w.run(3000);
    }
    let many = w.since(10_000);
    assert!(many <= 8, "{many} over ten flaps: {:?}", w.decided.iter().map(|d| d.0).collect::<Vec<_>>());
    assert!(w.served(10_000, 70_000) > 0.96, "{}", w.served(10_000, 70_000));
}

#[test]
fn two_thirds_of_the_traffic_with_a_third_of_the_servers_and_a_zone_without_any() {
    let mut w = World::new([(800.0, 10.0), (200.0, 10.0), (200.0, 10.0)], 3, 7);
    w.run(20_000);
    assert!(w.served(10_000, 20_000) > 0.99, "{}", w.served(10_000, 20_000));
    assert!(w.shares(0)[1] > 0.15 && w.shares(0)[2] > 0.15, "to several: {:?}", w.shares(0));
    let mut w = World::new([(300.0, 0.0), (100.0, 10.0), (100.0, 10.0)], 3, 8);
    w.run(20_000);
    assert!(w.served(10_000, 20_000) > 0.99 && w.shares(0)[0] == 0.0, "{:?}", w.shares(0));
}

#[test]
fn a_liar_and_reports_of_long_ago_take_no_zone_out() {
    let mut w = World::new([(200.0, 10.0); 3], 9, 9);
    w.run(10_000);
    w.liar = Some(4);
    w.run(30_000);
    assert!((0..3).all(|z| w.state(z) == ZoneState::Serving), "{:?}", w.decided.last());
    assert!(w.served(11_000, 40_000) > 0.99);
    // One report that was 30 s on its way.
    let sums = w.judge.view(w.now).counts;
    let place = |zone: &str| ZoneCapacity { zone: zone.into(), servers: 4, size: 10.0, warm: 10.0 };
    let old = Report {
        agent: "agent0".into(),
        life: 1,
        number: w.number + 1,
        zone: "a".into(),
        gatekeepers: 1,
        need: 1.0,
        lines: vec![AttemptCounts { to: "b".into(), class: 0, attempts: 5000, bad: 5000, late: 0 }],
        places: NAMES.map(place).into(),
    };
    assert!(w.judge.record_report(w.now, w.now - 30_000, old).is_err());
    assert_eq!(w.judge.view(w.now).counts.outdated, sums.outdated + 1);
    // Nor one that was sent tomorrow.
    let place = |zone: &str| ZoneCapacity { zone: zone.into(), servers: 4, size: 10.0, warm: 10.0 };
    let early = Report {
        agent: "agent0".into(),
        life: 1,
        number: w.number + 1,
        zone: "a".into(),
        gatekeepers: 1,
        need: 1.0,
        lines: vec![],
        places: NAMES.map(place).into(),
    };
    assert!(w.judge.record_report(w.now, w.now + 86_400_000, early).is_err());
}

#[test]
fn a_dead_agents_gatekeepers_are_still_counted_with() {
    let mut w = World::new([(300.0, 10.0); 3], 3, 10);
    w.run(10_000);
    w.mute = vec![2];
    w.zones[1].fails = 1.0;
    w.run(6000);
    // What b's requests need goes to a and c by their room, less what c's gatekeepers, unheard, may send anywhere.
    let (_, d) = w.decided.last().expect("decided");
    let bears: u64 = d.zones.iter().filter(|z| z.zone != "b").map(|z| z.bears_milli).sum();
    assert!(bears < 2 * 8000 - 1500, "{bears}");
    assert!(w.served(12_000, 16_000) > 0.75);
}

#[test]
fn a_drain_goes_in_steps_and_comes_back_in_steps() {
    let mut w = even(11);
    w.run(10_000);
    assert_eq!(w.judge.can_drain(w.now, "b"), Ok(()));
    let drain = [Drain { zone: "b".into(), force: false }];
    w.judge.set_drains(w.now, &drain);
    w.run(2000);
    let part = w.shares(1)[1];
    assert!((0.5..0.95).contains(&part), "{part} after a quarter of its time");
    w.run(8000);
    assert!(w.shares(1)[1] < 0.01 && w.served(10_000, 20_000) > 0.99, "{:?}", w.shares(1));
    assert_eq!(w.since(10_000), 1, "{:?}", w.decided);
    let short = w.judge.can_drain(w.now, "a").expect_err("too much for one, as b is no help");
    assert!(short.shortfall > 1.0 && short.demand > short.capacity, "{short:?}");
    w.judge.set_drains(w.now, &[]);
    w.run(12_000);
    assert!(w.shares(1)[1] > 0.99, "{:?}", w.shares(1));
}

#[test]
fn a_new_owner_goes_on_from_what_stands() {
    let mut w = even(12);
    w.run(10_000);
    w.zones[1].fails = 1.0;
    w.run(3000);
    let (_, stands) = w.decided.last().cloned().expect("decided");
    let s = Settings { slots_milli: 1000, ..Settings::default() };
    w.judge = FailoverController::resume(s, stands, w.now);
    w.run(900);
    assert_eq!(w.state(1), ZoneState::Out);
    assert!(w.since(13_000) <= 1, "{:?}", w.decided);
    w.zones[1].fails = 0.0;
    w.run(28_000);
    assert!(w.shares(1)[1] > 0.99);
}

/// Faults by seed: loss, greyness, cuts, silent agents, demand that moves. Whatever comes, a well zone is sent no more than it
/// bears for longer than it takes to see, decisions are bounded, and all is as before some time after the last fault.
#[test]
fn two_hundred_schedules_of_faults() {
    for seed in 0..200 {
        let mut w = World::new([(250.0, 10.0), (200.0, 10.0), (150.0, 8.0)], 6, seed);
        let mut lots = Lots(seed * 77 + 5);
        w.run(8000);
        for _ in 0..5 {
            let (zone, other) = (lots.below(3) as usize, lots.below(3) as usize);
            match lots.below(6) {
                0 => w.zones[zone].fails = 1.0,
                1 => w.zones[zone].fails = 0.3 + 0.5 * lots.part(),
                2 => w.cut = vec![(zone, other), (other, zone)],
                3 => w.mute = vec![zone],
                4 => w.zones[zone].rate *= 0.7 + 0.6 * lots.part(),
                _ => w.zones[zone].listed = false,
            }
            w.run(1000 + lots.below(6000));
            w.zones.iter_mut().for_each(|z| (z.fails, z.listed) = (0.0, true));
            w.cut.clear();
            w.mute.clear();
            w.run(lots.below(8000));
        }
        let many = w.since(8000);
        assert!(
            many <= 26,
            "seed {seed}: {many} decisions over five faults: {:?}",
            w.decided.iter().map(|d| d.0).collect::<Vec<_>>()
        );
        w.run(90_000);
        let (end, near) = (w.now, (0..3).map(|f| w.shares(f)[f]).fold(1.0, f64::min));
        assert!(near > 0.95, "seed {seed}: {near} stays near long after: {:?}", w.decided.last());
        assert!(w.served(end - 10_000, end) > 0.99, "seed {seed}");
    }
}
