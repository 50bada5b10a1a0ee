//! Statistics of a load run: counts by plan, request kind and outcome, latencies by protocol, and both per
//! second. Performs no I/O and reads no clock.

use crate::schedule::RequestKind;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Longest latency that the histograms distinguish, in microseconds: one minute.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Maximum number of seconds kept for plots: one day.
const MAX_SECONDS: usize = 24 * 3600;

/// The final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    /// The request was served, or the check was granted.
    Served,
    /// Refused with a retry delay: the quota is exceeded.
    Quota,
    /// Refused without a retry delay: the fleet is overloaded, or the quota was just exhausted.
    Busy,
    /// The check was over its limit.
    Over,
    /// The answer was an error line or a gRPC error status.
    Failed,
    /// No answer came in time, or no connection could be made.
    Silent,
    /// Not sent because too many requests were in flight: the system under test hangs, or the load generator
    /// is too slow.
    Unsent,
}

impl AnswerKind {
    /// Name of the outcome in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AnswerKind::Served => "served",
            AnswerKind::Quota => "refused, told when to return",
            AnswerKind::Busy => "refused, busy",
            AnswerKind::Over => "over the limit",
            AnswerKind::Failed => "failed",
            AnswerKind::Silent => "no answer",
            AnswerKind::Unsent => "not sent",
        }
    }
}

/// Latencies and counts of one protocol.
pub struct ProtocolStats {
    /// Latencies in microseconds, from the time when a request was due until its final answer.
    pub times: Histogram<u64>,
    /// Latencies of the current second, in microseconds.
    current: Histogram<u64>,
    /// Final outcomes by kind.
    pub answers: BTreeMap<AnswerKind, u64>,
    /// Attempts after the first ones.
    pub retries: u64,
}

/// Statistics of one protocol in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SecondStats {
    /// Requests served or checks granted.
    pub served: u64,
    /// Requests refused or checks over the limit.
    pub refused: u64,
    /// Requests that failed, got no answer, or were not sent.
    pub failed: u64,
    /// Median latency, in ms; 0 without answers.
    pub p50: f64,
    /// 99th percentile of the latency, in ms; 0 without answers.
    pub p99: f64,
}

/// Outcomes of one plan's requests, over both protocols.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlanStats {
    /// RESP2 requests that were served.
    pub served: u64,
    /// RESP2 requests with any other outcome.
    pub refused: u64,
    /// Checks that were granted.
    pub granted: u64,
    /// Checks with any other outcome.
    pub over: u64,
}

/// All statistics of a load run.
pub struct LoadStats {
    /// Statistics of RESP2 and of gRPC, in the order of [`PROTOCOLS`].
    pub protocols: [ProtocolStats; 2],
    /// Statistics by plan index.
    pub plans: Vec<PlanStats>,
    /// Completed seconds, oldest first, each for RESP2 and gRPC.
    pub seconds: VecDeque<[SecondStats; 2]>,
    /// The second in progress.
    current_second: [SecondStats; 2],
}

/// Names of the protocols.
pub const PROTOCOLS: [&str; 2] = ["RESP2", "gRPC"];

fn histogram() -> Histogram<u64> {
    // Three significant digits up to one minute; these bounds are valid.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    if times.is_empty() { 0.0 } else { times.value_at_quantile(quantile) as f64 / 1000.0 }
}

impl LoadStats {
    /// Creates empty statistics for this number of plans.
    #[must_use]
    pub fn new(plans: usize) -> LoadStats {
        let protocol = || ProtocolStats {
            times: histogram(),
            current: histogram(),
            answers: BTreeMap::new(),
            retries: 0,
        };
        LoadStats {
            protocols: [protocol(), protocol()],
            plans: vec![PlanStats::default(); plans],
            seconds: VecDeque::new(),
            current_second: Default::default(),
        }
    }

    /// Counts the final outcome of a request, `seconds` after it was due.
    pub fn record_answer(&mut self, plan: usize, kind: RequestKind, outcome: AnswerKind, seconds: f64) {
        let p = usize::from(kind == RequestKind::Check);
        let (protocol, current) = (&mut self.protocols[p], &mut self.current_second[p]);
        *protocol.answers.entry(outcome).or_default() += 1;
        match outcome {
            AnswerKind::Served => current.served += 1,
            AnswerKind::Quota | AnswerKind::Busy | AnswerKind::Over => current.refused += 1,
            AnswerKind::Failed | AnswerKind::Silent | AnswerKind::Unsent => current.failed += 1,
        }
        if outcome != AnswerKind::Unsent {
            let micros = ((seconds * 1e6) as u64).clamp(1, MAX_LATENCY_US);
            protocol.times.saturating_record(micros);
            protocol.current.saturating_record(micros);
        }
        if let Some(plan) = self.plans.get_mut(plan) {
            match (kind, outcome) {
                (RequestKind::Check, AnswerKind::Served) => plan.granted += 1,
                (RequestKind::Check, _) => plan.over += 1,
                (_, AnswerKind::Served) => plan.served += 1,
                (..) => plan.refused += 1,
            }
        }
    }

    /// Counts an attempt after the first.
    pub fn record_retry(&mut self, kind: RequestKind) {
        self.protocols[usize::from(kind == RequestKind::Check)].retries += 1;
    }

    /// Closes the current second, stores it and returns it.
    pub fn take_second(&mut self) -> [SecondStats; 2] {
        let mut finished = std::mem::take(&mut self.current_second);
        for (second, protocol) in finished.iter_mut().zip(&mut self.protocols) {
            (second.p50, second.p99) =
                (quantile_ms(&protocol.current, 0.5), quantile_ms(&protocol.current, 0.99));
            protocol.current.reset();
        }
        if self.seconds.len() >= MAX_SECONDS {
            self.seconds.pop_front();
        }
        self.seconds.push_back(finished);
        finished
    }

    /// Returns the number of final outcomes of one protocol.
    #[must_use]
    pub fn answers(&self, protocol: usize) -> u64 {
        self.protocols[protocol].answers.values().sum()
    }

    /// Returns the fraction of all requests that was served or granted; 0 without requests.
    #[must_use]
    pub fn served_fraction(&self) -> f64 {
        let served: u64 = self.protocols.iter().filter_map(|p| p.answers.get(&AnswerKind::Served)).sum();
        served as f64 / (self.answers(0) + self.answers(1)).max(1) as f64
    }

    /// Returns all statistics as JSON; latencies are in ms.
    #[must_use]
    pub fn json(&self, plans: &[String]) -> Value {
        let protocol = |(name, p): (&&str, &ProtocolStats)| {
            let outcomes: BTreeMap<&str, u64> =
                p.answers.iter().map(|(outcome, n)| (outcome.name(), *n)).collect();
            let quantile = |q| quantile_ms(&p.times, q);
            let times = json!({"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "p999": quantile(0.999),
                "max": quantile(1.0)});
            (name.to_string(), json!({"answers": outcomes, "retries": p.retries, "ms": times}))
        };
        let by_plan = |(name, p): (&String, &PlanStats)| {
            let counts =
                json!({"served": p.served, "refused": p.refused, "granted": p.granted, "over": p.over});
            (name.clone(), counts)
        };
        let second = |s: &SecondStats| json!([s.served, s.refused, s.failed, s.p50, s.p99]);
        json!({
            "served_part": self.served_fraction(),
            "protocols": PROTOCOLS.iter().zip(&self.protocols).map(protocol).collect::<BTreeMap<_, _>>(),
            "plans": plans.iter().zip(&self.plans).map(by_plan).collect::<BTreeMap<_, _>>(),
            "seconds": {
                "fields": ["served", "refused", "failed", "p50_ms", "p99_ms"],
                "resp2": self.seconds.iter().map(|s| second(&s[0])).collect::<Vec<_>>(),
                "grpc": self.seconds.iter().map(|s| second(&s[1])).collect::<Vec<_>>(),
            },
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_add_up_by_plan_protocol_and_second() {
        let mut stats = LoadStats::new(2);
        for k in 0..100u32 {
            let kind = if k % 4 == 0 { RequestKind::Check } else { RequestKind::Read };
            let outcome = if k % 10 == 0 { AnswerKind::Quota } else { AnswerKind::Served };
            stats.record_answer(k as usize % 2, kind, outcome, 0.010);
        }
        stats.record_answer(0, RequestKind::Mix, AnswerKind::Unsent, 0.0);
        let [resp, grpc] = stats.take_second();
        assert_eq!((resp.served, resp.refused, resp.failed), (70, 5, 1));
        assert_eq!((grpc.served, grpc.refused, grpc.failed), (20, 5, 0));
        assert!((9.9..10.1).contains(&resp.p99), "{resp:?}");
        assert_eq!(stats.take_second(), [SecondStats::default(); 2], "each outcome counts in one second");
        let plans: u64 = stats.plans.iter().map(|p| p.served + p.refused + p.granted + p.over).sum();
        assert_eq!((plans, stats.answers(0) + stats.answers(1)), (101, 101));
        let json = stats.json(&["a".into(), "b".into()]);
        assert_eq!(json["protocols"]["RESP2"]["answers"]["not sent"], 1);
        assert!((stats.served_fraction() - 90.0 / 101.0).abs() < 1e-9);
    }
}
