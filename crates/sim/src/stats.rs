//! What a run comes to: by plan, by second, by server.

use crate::herd_detection::Herd;
use crate::oracle::Violation;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// What came of a plan's requests. Client's tries of one request are counted once, but for `tries`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanSums {
    /// The plan.
    pub name: String,
    /// Requests, and those inside the quota when they were asked.
    pub asked: u64,
    /// See `asked`.
    pub inside: u64,
    /// Tries, with the clients' own retries.
    pub tries: u64,
    /// Requests served within their aim, and those of them that were inside.
    pub in_time: u64,
    /// See `in_time`.
    pub inside_in_time: u64,
    /// Requests served later, and those never served.
    pub late: u64,
    /// See `late`.
    pub unserved: u64,
    /// Answers "come again" and "failed".
    pub refusals: u64,
    /// See `refusals`.
    pub failures: u64,
    /// Units passed, and those of them beyond the quota over all gatekeepers together.
    pub units: f64,
    /// See `units`.
    pub over: f64,
    /// The most that one shop passed beyond its quota, as a part of what it passed.
    pub worst_shop: f64,
    /// The most units that one shop passed beyond its quota.
    pub worst_over: f64,
    #[serde(skip)]
    worth: f64,
    #[serde(skip)]
    worth_in_time: f64,
}

/// One second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Tries that came in, and those of them that are a client's own retry.
    pub tries: u64,
    /// See `tries`.
    pub retries: u64,
    /// Final answers.
    pub served: u64,
    /// Final answers.
    pub refused: u64,
    /// Final answers.
    pub failed: u64,
    /// Requests asked inside quotas, and those of them served in time, whenever that was.
    pub inside: u64,
    /// See `inside`.
    pub inside_in_time: u64,
    /// Units passed, and beyond quotas.
    pub units: f64,
    /// See `units`.
    pub over: f64,
    /// Notes sent.
    pub notes: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Connections that came up.
    #[serde(default)]
    pub handshakes: u64,
    /// Connections that servers turned away at their caps.
    #[serde(default)]
    pub turned_away: u64,
    /// Whole lists asked for.
    #[serde(default)]
    pub lists: u64,
    /// The most that was sent to a cold server within a second, as a part of what pushes it over.
    #[serde(default)]
    pub cold: f64,
}

/// A server at the end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerSums {
    /// Attempts it was sent.
    pub attempts: u64,
    /// The part of its cores' time that they worked.
    pub busy: f64,
    /// Whether it fell over.
    pub fallen: bool,
    /// The most that it was sent within a second while it was cold, as a part of what pushes it over.
    #[serde(default)]
    pub cold_load: f64,
}

/// What a run came to. The same scenario and seed give the same bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The first rule that was broken, if any was.
    pub broken: Option<Violation>,
    /// What was expected beside the rules and did not hold.
    pub missed: Vec<String>,
    /// Of the worth that was asked inside quotas, the part that was served in time.
    pub served: f64,
    /// Units beyond quotas as a part of units passed.
    pub over: f64,
    /// The most that any ceiling's slack was used: 1 is the limit.
    pub ceiling_used: f64,
    /// Notes sent for a request, bytes in one on average, and the part that was lost by any cause.
    pub notes: f64,
    /// See `notes`.
    pub note_bytes: f64,
    /// See `notes`.
    pub notes_lost: f64,
    /// The most notes that one gatekeeper was sent in one second.
    pub notes_peak: u64,
    /// Attempts for a request.
    pub attempts: f64,
    /// Connections that came up, and those turned away at a server's cap, for a request.
    #[serde(default)]
    pub handshakes: f64,
    /// See `handshakes`.
    #[serde(default)]
    pub turned_away: f64,
    /// Whole lists asked for, for a request.
    #[serde(default)]
    pub lists: f64,
    /// From the first fault on until three seconds on end are served as 95% of the seconds before it were, in seconds.
    #[serde(default)]
    pub back_s: Option<f64>,
    /// Who did the same thing in the same 100 ms, the largest of each kind.
    #[serde(default)]
    pub herds: Vec<Herd>,
    /// The part of attempts that went to servers a fault had hit, while it lasted.
    pub sick: f64,
    /// Served answers' time, in ms.
    pub ms: Percentiles,
    /// The part of attempts that left their gatekeeper's zone, over all and by second and pair of zones: from, to and how
    /// many.
    #[serde(default)]
    pub far: f64,
    /// See `far`.
    #[serde(default)]
    pub ways: Vec<Vec<(u32, u32, u64)>>,
    /// Decisions on zones: when, in ms, and what.
    #[serde(default)]
    pub decisions: Vec<(f64, String)>,
    /// From the first fault by place until all that could be reached acted on a decision made after it, in ms.
    #[serde(default)]
    pub agreed_ms: Option<f64>,
    /// Events that the decision modules handled.
    pub events: u64,
    /// By plan.
    pub plans: Vec<PlanSums>,
    /// By second.
    pub seconds: Vec<Second>,
    /// By server, in the order in which they came.
    pub servers: Vec<ServerSums>,
}

/// Times, in ms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Half are below.
    pub p50: f64,
    /// 99 in 100 are.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl Report {
    /// Whether all that was looked at held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.broken.is_none() && self.missed.is_empty()
    }
}

#[derive(Clone, Copy, Default)]
struct Quota {
    at: f64,
    /// What the shop might still pass, and what it might still ask for.
    passed: f64,
    asked: f64,
    seen: bool,
    plan: usize,
    units: f64,
    over: f64,
}

/// The counts as a run goes on.
pub(crate) struct RunStats {
    pub plans: Vec<PlanSums>,
    pub seconds: Vec<Second>,
    quotas: Vec<Quota>,
    rates: Vec<(f64, f64)>,
    worths: Vec<f64>,
    times: Histogram<u64>,
    pub notes: u64,
    pub note_bytes: u64,
    pub notes_lost: u64,
    pub notes_in: Vec<(u64, u64)>,
    pub notes_peak: u64,
    pub attempts: u64,
    pub sick: u64,
    pub sick_of: u64,
    pub events: u64,
    ways: Vec<std::collections::BTreeMap<(u32, u32), u64>>,
}

impl RunStats {
    pub fn new(scenario: &Scenario, shops: usize) -> Result<RunStats, String> {
        let names = scenario.plans.iter().map(|p| PlanSums { name: p.name.clone(), ..PlanSums::default() });
        let times = Histogram::new_with_max(3_600_000_000, 3).map_err(|e| e.to_string())?;
        Ok(RunStats {
            plans: names.collect(),
            seconds: Vec::new(),
            quotas: vec![Quota::default(); shops],
            rates: scenario.plans.iter().map(|p| (p.rate, p.burst)).collect(),
            worths: scenario.classes.iter().map(|c| c.worth).collect(),
            times,
            notes: 0,
            note_bytes: 0,
            notes_lost: 0,
            notes_in: vec![(0, 0); scenario.gatekeepers.count as usize],
            notes_peak: 0,
            attempts: 0,
            sick: 0,
            sick_of: 0,
            events: 0,
            ways: Vec::new(),
        })
    }

    pub fn second_mut(&mut self, at: f64) -> &mut Second {
        let k = (at / 1000.0).max(0.0) as usize;
        if self.seconds.len() <= k {
            self.seconds.resize(k + 1, Second::default());
        }
        &mut self.seconds[k]
    }

    /// Brings a shop's quota up to now. One that comes once is never beyond it.
    fn quota(&mut self, at: f64, shop: u64, plan: usize) -> Option<&mut Quota> {
        let (rate, burst) = self.rates[plan];
        let q = self.quotas.get_mut(shop as usize).filter(|_| rate > 0.0)?;
        if !q.seen {
            *q = Quota { at, passed: burst, asked: burst, seen: true, plan, ..*q };
        }
        let fill = rate * (at - q.at).max(0.0) / 1000.0;
        (q.passed, q.asked) = ((q.passed + fill).min(burst), (q.asked + fill).min(burst));
        q.at = q.at.max(at);
        Some(q)
    }

    /// A request is asked; gives whether it is inside its quota.
    pub fn record_request(&mut self, at: f64, shop: u64, plan: usize, class: usize, units: f64) -> bool {
        let inside = self.quota(at, shop, plan).is_none_or(|q| {
            let inside = q.asked >= units;
            q.asked -= if inside { units } else { 0.0 };
            inside
        });
        let worth = self.worths[class];
        let p = &mut self.plans[plan];
        p.asked += 1;
        if inside {
            p.inside += 1;
            p.worth += worth * units;
            self.second_mut(at).inside += 1;
        }
        inside
    }

    /// A try's units were passed.
    pub fn record_passed(&mut self, at: f64, shop: u64, plan: usize, units: f64) {
        let over = self.quota(at, shop, plan).map_or(0.0, |q| {
            let over = (units - q.passed).clamp(0.0, units);
            q.passed = (q.passed - units).max(0.0);
            q.units += units;
            q.over += over;
            over
        });
        let p = &mut self.plans[plan];
        p.units += units;
        p.over += over;
        let second = self.second_mut(at);
        second.units += units;
        second.over += over;
    }

    /// A request is served to its client.
    pub fn record_served(
        &mut self,
        plan: usize,
        class: usize,
        units: f64,
        inside: Option<f64>,
        ms: f64,
        aim: f64,
    ) {
        self.times.saturating_record((ms * 1000.0) as u64);
        let worth = self.worths[class];
        let p = &mut self.plans[plan];
        if ms > aim {
            p.late += 1;
            return;
        }
        p.in_time += 1;
        if let Some(asked_at) = inside {
            p.inside_in_time += 1;
            p.worth_in_time += worth * units;
            self.second_mut(asked_at).inside_in_time += 1;
        }
    }

    /// A connection is opened, or turned away.
    pub fn record_handshake(&mut self, at: f64, turned_away: bool) {
        let second = self.second_mut(at);
        second.handshakes += u64::from(!turned_away);
        second.turned_away += u64::from(turned_away);
    }

    /// A whole list is asked for.
    pub fn record_list(&mut self, at: f64) {
        self.second_mut(at).lists += 1;
    }

    /// A cold server was sent this part of what pushes it over.
    pub fn record_cold_load(&mut self, at: f64, load: f64) {
        let second = self.second_mut(at);
        second.cold = second.cold.max(load);
    }

    /// An attempt goes from a zone to one.
    pub fn record_zone_path(&mut self, at: f64, from: u32, to: u32) {
        let second = (at / 1000.0) as usize;
        if self.ways.len() <= second {
            self.ways.resize_with(second + 1, Default::default);
        }
        *self.ways[second].entry((from, to)).or_default() += 1;
    }

    /// A note is on its way to a gatekeeper.
    pub fn record_message(&mut self, at: f64, to: u32, bytes: usize) {
        self.notes += 1;
        self.note_bytes += bytes as u64;
        self.second_mut(at).notes += 1;
        let second = (at / 1000.0) as u64;
        let (when, count) = &mut self.notes_in[to as usize];
        *count = if *when == second { *count + 1 } else { 1 };
        *when = second;
        self.notes_peak = self.notes_peak.max(*count);
    }

    /// The report; what servers came to and the oracle's word are put in by the world.
    pub fn into_report(mut self, scenario: &Scenario, seed: u64) -> Report {
        for (k, plan) in self.plans.iter_mut().enumerate() {
            let of_plan = self.quotas.iter().filter(|q| q.plan == k);
            plan.worst_over = of_plan.map(|q| q.over).fold(0.0, f64::max);
            let busy = |q: &&Quota| q.plan == k && q.units > 20.0;
            let of_plan = self.quotas.iter().filter(busy);
            plan.worst_shop = of_plan.map(|q| q.over / q.units).fold(0.0, f64::max);
        }
        let tries: u64 = self.plans.iter().map(|p| p.tries).sum();
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let sum = |value: fn(&PlanSums) -> f64| self.plans.iter().map(value).sum::<f64>();
        let price = |k: usize| scenario.plans[k].price;
        let worth = |value: fn(&PlanSums) -> f64| -> f64 {
            self.plans.iter().enumerate().map(|(k, p)| price(k) * value(p)).sum()
        };
        let total = |value: &dyn Fn(&Second) -> u64| self.seconds.iter().map(value).sum::<u64>() as f64;
        let ms = |q: f64| self.times.value_at_quantile(q) as f64 / 1000.0;
        Report {
            scenario: scenario.name.clone(),
            seed,
            broken: None,
            missed: Vec::new(),
            served: part(worth(|p| p.worth_in_time), worth(|p| p.worth)),
            over: part(sum(|p| p.over), sum(|p| p.units)),
            ceiling_used: 0.0,
            notes: part(self.notes as f64, tries as f64),
            note_bytes: part(self.note_bytes as f64, self.notes as f64),
            notes_lost: part(self.notes_lost as f64, self.notes as f64),
            notes_peak: self.notes_peak,
            attempts: part(self.attempts as f64, tries as f64),
            handshakes: part(total(&|s| s.handshakes), tries as f64),
            turned_away: part(total(&|s| s.turned_away), tries as f64),
            lists: part(total(&|s| s.lists), tries as f64),
            back_s: back(scenario, &self.seconds),
            herds: Vec::new(),
            sick: part(self.sick as f64, self.sick_of as f64),
            ms: Percentiles { p50: ms(0.5), p99: ms(0.99), max: self.times.max() as f64 / 1000.0 },
            events: self.events,
            far: part(
                self.ways.iter().flatten().filter(|((from, to), _)| from != to).map(|(_, n)| *n as f64).sum(),
                self.ways.iter().flatten().map(|(_, n)| *n as f64).sum(),
            ),
            ways: self.ways.iter().map(|all| all.iter().map(|((f, t), n)| (*f, *t, *n)).collect()).collect(),
            decisions: Vec::new(),
            agreed_ms: None,
            plans: self.plans,
            seconds: self.seconds,
            servers: Vec::new(),
        }
    }
}

/// How long after the first fault it is as before it again: three seconds on end with 95% of what was served in time
/// before. Not said where there is no fault, too little before it, or no way back within the run.
fn back(scenario: &Scenario, seconds: &[Second]) -> Option<f64> {
    let at = scenario.faults.iter().map(|f| f.at_s).reduce(f64::min)?;
    let part = |some: &[Second]| {
        let of = |value: fn(&Second) -> u64| some.iter().map(value).sum::<u64>() as f64;
        (of(|s| s.inside) > 0.0).then(|| of(|s| s.inside_in_time) / of(|s| s.inside))
    };
    // The first second starts from nothing.
    let before = part(seconds.get(1..at as usize)?)?;
    let whole = seconds.get(..(scenario.seconds as usize).min(seconds.len()))?;
    // The worst of it comes first: a way back begins after a second below.
    let fall = (at as usize..whole.len()).find(|k| part(&whole[*k..=*k]).is_some_and(|p| p < 0.95 * before));
    let Some(fall) = fall else { return Some(0.0) };
    let well = |k: usize| whole.get(k..k + 3).and_then(part).is_some_and(|p| p >= 0.95 * before);
    (fall + 1..whole.len()).find(|k| well(*k)).map(|k| k as f64 - at)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{Fault, FaultKind};

    #[test]
    fn the_way_back_is_counted_from_the_first_fault() {
        let mut day = Scenario { seconds: 12.0, ..Scenario::default() };
        let second = |inside_in_time| Second { inside: 100, inside_in_time, ..Second::default() };
        let mut seconds: Vec<Second> = [10, 90, 90, 90, 20, 40, 90, 50, 85, 88, 90, 90].map(second).to_vec();
        assert_eq!(back(&day, &seconds), None, "nothing went wrong");
        let fault = |at_s| Fault {
            kind: FaultKind::KillAny,
            at_s,
            for_s: 1.0,
            part: 1.0,
            times: 1.0,
            count: 1,
            zone: 0,
        };
        day.faults.push(fault(4.0));
        assert_eq!(back(&day, &seconds), Some(4.0));
        seconds[9] = second(60);
        assert_eq!(back(&day, &seconds), None, "never three on end");
        day.faults.push(fault(0.0));
        assert_eq!(back(&day, &seconds), None, "nothing is known of before");
    }
}
