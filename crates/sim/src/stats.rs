//! Statistics of a run: totals, and sums by plan, by second and by server.

use crate::herd_detection::Herd;
use crate::oracle::Violation;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The results of a plan's requests. All tries of a request count once, except in `tries`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanSums {
    /// The plan's name.
    pub name: String,
    /// Number of requests.
    pub asked: u64,
    /// Number of requests within the quota when they were made.
    pub inside: u64,
    /// Number of tries, including the clients' retries.
    pub tries: u64,
    /// Number of requests served within their target latency.
    pub in_time: u64,
    /// Number of them within the quota.
    pub inside_in_time: u64,
    /// Number of requests served later.
    pub late: u64,
    /// Number of requests never served.
    pub unserved: u64,
    /// Number of refusals.
    pub refusals: u64,
    /// Number of failures.
    pub failures: u64,
    /// Units passed.
    pub units: f64,
    /// Units passed beyond the quota, over all gatekeepers together.
    pub over: f64,
    /// Maximum over the shops of the share of units passed beyond the quota, for shops with more than 20
    /// units.
    pub worst_shop: f64,
    /// Maximum over the shops of the units passed beyond the quota.
    pub worst_over: f64,
    #[serde(skip)]
    worth: f64,
    #[serde(skip)]
    worth_in_time: f64,
}

/// The results of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Number of tries that arrived.
    pub tries: u64,
    /// Number of them that are a client's retry.
    pub retries: u64,
    /// Number of requests served.
    pub served: u64,
    /// Number of refusals.
    pub refused: u64,
    /// Number of failures.
    pub failed: u64,
    /// Number of requests made within quotas.
    pub inside: u64,
    /// Number of them served in time, in this second or later.
    pub inside_in_time: u64,
    /// Units passed.
    pub units: f64,
    /// Units passed beyond quotas.
    pub over: f64,
    /// Number of peer messages sent.
    pub notes: u64,
    /// Number of attempts sent to servers.
    pub attempts: u64,
    /// Number of connections opened.
    #[serde(default)]
    pub handshakes: u64,
    /// Number of connections rejected by servers at their limits.
    #[serde(default)]
    pub turned_away: u64,
    /// Number of requests for the complete list.
    #[serde(default)]
    pub lists: u64,
    /// Maximum load of a server in slow start within a second, as a share of its overload limit.
    #[serde(default)]
    pub cold: f64,
}

/// The results of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerSums {
    /// Number of attempts it received.
    pub attempts: u64,
    /// Share of its cores' time spent working.
    pub busy: f64,
    /// Whether it failed because of overload in slow start.
    pub fallen: bool,
    /// Maximum load within a second of slow start, as a share of its overload limit.
    #[serde(default)]
    pub cold_load: f64,
}

/// The report of a run. The same scenario and seed give the same bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The first violation of a rule, if there was one.
    pub broken: Option<Violation>,
    /// The expectations that were not met.
    pub missed: Vec<String>,
    /// Share of the worth requested within quotas that was served in time.
    pub served: f64,
    /// Share of the passed units that exceeds quotas.
    pub over: f64,
    /// The largest share of its slack that any ceiling used; 1 is the limit.
    pub ceiling_used: f64,
    /// Peer messages per try.
    pub notes: f64,
    /// Mean size of a peer message in bytes.
    pub note_bytes: f64,
    /// Share of the peer messages that was lost, for any cause.
    pub notes_lost: f64,
    /// Maximum number of peer messages sent to one gatekeeper in one second.
    pub notes_peak: u64,
    /// Attempts per try.
    pub attempts: f64,
    /// Connections opened, per try.
    #[serde(default)]
    pub handshakes: f64,
    /// Connections rejected by servers at their limits, per try.
    #[serde(default)]
    pub turned_away: f64,
    /// Requests for the complete list, per try.
    #[serde(default)]
    pub lists: f64,
    /// Seconds from the first fault to recovery: three consecutive seconds with at least 95% of the earlier
    /// share served in time.
    #[serde(default)]
    pub back_s: Option<f64>,
    /// Gatekeepers that did the same thing in the same 100 ms, the largest groups of each kind.
    #[serde(default)]
    pub herds: Vec<Herd>,
    /// Share of the attempts that went to servers hit by a fault, while it lasted.
    pub sick: f64,
    /// Latency of served tries in ms.
    pub ms: Percentiles,
    /// Share of the attempts that left their gatekeeper's zone.
    #[serde(default)]
    pub far: f64,
    /// By second, the attempts of each pair of zones: from, to and count.
    #[serde(default)]
    pub ways: Vec<Vec<(u32, u32, u64)>>,
    /// Decisions on zones: time in ms, and a summary.
    #[serde(default)]
    pub decisions: Vec<(f64, String)>,
    /// Time in ms from the first zone fault until all reachable gatekeepers applied a decision made after it.
    #[serde(default)]
    pub agreed_ms: Option<f64>,
    /// Number of events that the decision modules handled.
    pub events: u64,
    /// Results by plan.
    pub plans: Vec<PlanSums>,
    /// Results by second.
    pub seconds: Vec<Second>,
    /// Results by server, in the order of their creation.
    pub servers: Vec<ServerSums>,
}

/// Percentiles of latency in ms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Report {
    /// Whether all rules were kept and all expectations met.
    #[must_use]
    pub fn held(&self) -> bool {
        self.broken.is_none() && self.missed.is_empty()
    }
}

/// A shop's exact quota, over all gatekeepers.
#[derive(Clone, Copy, Default)]
struct Quota {
    at: f64,
    /// Units that the shop may still pass.
    passed: f64,
    /// Units that the shop may still request.
    asked: f64,
    is_seen: bool,
    plan: usize,
    units: f64,
    over: f64,
}

/// The counters of a run in progress.
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
    /// For each gatekeeper, the last second with a peer message and their number in it.
    pub notes_by_receiver: Vec<(u64, u64)>,
    pub notes_peak: u64,
    pub attempts: u64,
    /// Attempts sent to servers hit by a fault.
    pub attempts_to_faulty: u64,
    /// Attempts sent while any server is hit by a fault.
    pub attempts_during_faults: u64,
    pub events: u64,
    zone_paths: Vec<std::collections::BTreeMap<(u32, u32), u64>>,
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
            notes_by_receiver: vec![(0, 0); scenario.gatekeepers.count as usize],
            notes_peak: 0,
            attempts: 0,
            attempts_to_faulty: 0,
            attempts_during_faults: 0,
            events: 0,
            zone_paths: Vec::new(),
        })
    }

    /// The results of the second that holds this time in ms.
    pub fn second_mut(&mut self, at: f64) -> &mut Second {
        let k = (at / 1000.0).max(0.0) as usize;
        if self.seconds.len() <= k {
            self.seconds.resize(k + 1, Second::default());
        }
        &mut self.seconds[k]
    }

    /// Refills a shop's quota up to this time. `None` for plans without a quota and for shops with a single
    /// request, which never exceed it.
    fn quota(&mut self, at: f64, shop: u64, plan: usize) -> Option<&mut Quota> {
        let (rate, burst) = self.rates[plan];
        let q = self.quotas.get_mut(shop as usize).filter(|_| rate > 0.0)?;
        if !q.is_seen {
            *q = Quota { at, passed: burst, asked: burst, is_seen: true, plan, ..*q };
        }
        let fill = rate * (at - q.at).max(0.0) / 1000.0;
        (q.passed, q.asked) = ((q.passed + fill).min(burst), (q.asked + fill).min(burst));
        q.at = q.at.max(at);
        Some(q)
    }

    /// Counts a new request; returns whether it is within its shop's quota.
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

    /// Counts the units of a try that passed.
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

    /// Counts a served request. `within_quota_at` is the time of the request if it was within its quota; `ms`
    /// is its latency and `aim` the target latency.
    pub fn record_served(
        &mut self,
        plan: usize,
        class: usize,
        units: f64,
        within_quota_at: Option<f64>,
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
        if let Some(asked_at) = within_quota_at {
            p.inside_in_time += 1;
            p.worth_in_time += worth * units;
            self.second_mut(asked_at).inside_in_time += 1;
        }
    }

    /// Counts a connection that is opened or rejected.
    pub fn record_handshake(&mut self, at: f64, turned_away: bool) {
        let second = self.second_mut(at);
        second.handshakes += u64::from(!turned_away);
        second.turned_away += u64::from(turned_away);
    }

    /// Counts a request for the complete list.
    pub fn record_list(&mut self, at: f64) {
        self.second_mut(at).lists += 1;
    }

    /// Records the load of a server in slow start, as a share of its overload limit.
    pub fn record_cold_load(&mut self, at: f64, load: f64) {
        let second = self.second_mut(at);
        second.cold = second.cold.max(load);
    }

    /// Counts an attempt from one zone to another or the same one.
    pub fn record_zone_path(&mut self, at: f64, from: u32, to: u32) {
        let second = (at / 1000.0) as usize;
        if self.zone_paths.len() <= second {
            self.zone_paths.resize_with(second + 1, Default::default);
        }
        *self.zone_paths[second].entry((from, to)).or_default() += 1;
    }

    /// Counts a peer message sent to a gatekeeper.
    pub fn record_message(&mut self, at: f64, to: u32, bytes: usize) {
        self.notes += 1;
        self.note_bytes += bytes as u64;
        self.second_mut(at).notes += 1;
        let second = (at / 1000.0) as u64;
        let (when, count) = &mut self.notes_by_receiver[to as usize];
        *count = if *when == second { *count + 1 } else { 1 };
        *when = second;
        self.notes_peak = self.notes_peak.max(*count);
    }

    /// Builds the report. The caller adds the results of servers, herds, zones and the oracle.
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
            back_s: recovery_seconds(scenario, &self.seconds),
            herds: Vec::new(),
            sick: part(self.attempts_to_faulty as f64, self.attempts_during_faults as f64),
            ms: Percentiles { p50: ms(0.5), p99: ms(0.99), max: self.times.max() as f64 / 1000.0 },
            events: self.events,
            far: part(
                self.zone_paths
                    .iter()
                    .flatten()
                    .filter(|((from, to), _)| from != to)
                    .map(|(_, n)| *n as f64)
                    .sum(),
                self.zone_paths.iter().flatten().map(|(_, n)| *n as f64).sum(),
            ),
            ways: self
                .zone_paths
                .iter()
                .map(|all| all.iter().map(|((f, t), n)| (*f, *t, *n)).collect())
                .collect(),
            decisions: Vec::new(),
            agreed_ms: None,
            plans: self.plans,
            seconds: self.seconds,
            servers: Vec::new(),
        }
    }
}

/// Seconds from the first fault to recovery: three consecutive seconds with at least 95% of the share served
/// in time before it. `None` if there is no fault, too little time before it, or no recovery within the run.
fn recovery_seconds(scenario: &Scenario, seconds: &[Second]) -> Option<f64> {
    let at = scenario.faults.iter().map(|f| f.at_s).reduce(f64::min)?;
    let part = |some: &[Second]| {
        let of = |value: fn(&Second) -> u64| some.iter().map(value).sum::<u64>() as f64;
        (of(|s| s.inside) > 0.0).then(|| of(|s| s.inside_in_time) / of(|s| s.inside))
    };
    // The first second is left out, as the run starts without load.
    let before = part(seconds.get(1..at as usize)?)?;
    let whole = seconds.get(..(scenario.seconds as usize).min(seconds.len()))?;
    // Recovery is searched after the first second below the threshold; without such a second it takes no
    // time.
    let fall = (at as usize..whole.len()).find(|k| part(&whole[*k..=*k]).is_some_and(|p| p < 0.95 * before));
    let Some(fall) = fall else { return Some(0.0) };
    let is_recovered = |k: usize| whole.get(k..k + 3).and_then(part).is_some_and(|p| p >= 0.95 * before);
    (fall + 1..whole.len()).find(|k| is_recovered(*k)).map(|k| k as f64 - at)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{Fault, FaultKind};

    #[test]
    fn recovery_is_counted_from_the_first_fault() {
        let mut day = Scenario { seconds: 12.0, ..Scenario::default() };
        let second = |inside_in_time| Second { inside: 100, inside_in_time, ..Second::default() };
        let mut seconds: Vec<Second> = [10, 90, 90, 90, 20, 40, 90, 50, 85, 88, 90, 90].map(second).to_vec();
        assert_eq!(recovery_seconds(&day, &seconds), None, "no fault");
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
        assert_eq!(recovery_seconds(&day, &seconds), Some(4.0));
        seconds[9] = second(60);
        assert_eq!(recovery_seconds(&day, &seconds), None, "never three consecutive seconds");
        day.faults.push(fault(0.0));
        assert_eq!(recovery_seconds(&day, &seconds), None, "no time before the fault");
    }
}
