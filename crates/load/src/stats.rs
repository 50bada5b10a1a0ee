//! What came of the load: counts by plan, way and reason, times by protocol, and both by the second. No input or
//! output, no clock.

use crate::schedule::RequestKind;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// The longest time that is told apart, in microseconds: a minute.
const LONGEST: u64 = 60_000_000;
/// Seconds that are kept for plots.
const SECONDS: usize = 24 * 3600;

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    /// Served, or granted.
    Served,
    /// Refused until a time that was told: beyond the quota.
    Quota,
    /// Refused with no time: the fleet is pressed, or the quota just spent.
    Busy,
    /// A check over its limit.
    Over,
    /// An error line, or a gRPC status.
    Failed,
    /// No answer in time, or no connection.
    Silent,
    /// Not sent: too many were in hand. The town hangs, or this tool is too slow.
    Unsent,
}

impl AnswerKind {
    /// Its name in reports.
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

/// A protocol's times and counts.
pub struct ProtocolStats {
    /// Microseconds from when a request was due until its final answer.
    pub times: Histogram<u64>,
    /// The same, of the second that goes on.
    now: Histogram<u64>,
    /// Final answers by kind.
    pub answers: BTreeMap<AnswerKind, u64>,
    /// Tries after the first.
    pub retries: u64,
}

/// One second of a protocol.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SecondStats {
    /// Final answers: served or granted.
    pub served: u64,
    /// Refused or over the limit.
    pub refused: u64,
    /// Failed, silent or not sent.
    pub failed: u64,
    /// The median and the 99th percentile, in ms; 0 where there was none.
    pub p50: f64,
    /// See `p50`.
    pub p99: f64,
}

/// What came of one plan's requests, both protocols together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlanStats {
    /// RESP2 requests served, and those with any other end.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// Checks granted, and those with any other end.
    pub granted: u64,
    /// See `granted`.
    pub over: u64,
}

/// Everything that was counted.
pub struct LoadStats {
    /// RESP2, then gRPC.
    pub protocols: [ProtocolStats; 2],
    /// By plan.
    pub plans: Vec<PlanStats>,
    /// By the second, RESP2 and gRPC.
    pub seconds: VecDeque<[SecondStats; 2]>,
    open: [SecondStats; 2],
}

/// The protocols' names.
pub const PROTOCOLS: [&str; 2] = ["RESP2", "gRPC"];

fn histogram() -> Histogram<u64> {
    // Three digits up to a minute; these bounds are sound.
    Histogram::new_with_bounds(1, LONGEST, 3).unwrap_or_else(|_| unreachable!("sound bounds"))
}

fn ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    if times.is_empty() { 0.0 } else { times.value_at_quantile(quantile) as f64 / 1000.0 }
}

impl LoadStats {
    /// Nothing yet, for so many plans.
    #[must_use]
    pub fn new(plans: usize) -> LoadStats {
        let protocol =
            || ProtocolStats { times: histogram(), now: histogram(), answers: BTreeMap::new(), retries: 0 };
        LoadStats {
            protocols: [protocol(), protocol()],
            plans: vec![PlanStats::default(); plans],
            seconds: VecDeque::new(),
            open: Default::default(),
        }
    }

    /// Counts a request's final answer, so long after it was due.
    pub fn record_answer(&mut self, plan: usize, way: RequestKind, end: AnswerKind, seconds: f64) {
        let p = usize::from(way == RequestKind::Check);
        let (protocol, open) = (&mut self.protocols[p], &mut self.open[p]);
        *protocol.answers.entry(end).or_default() += 1;
        match end {
            AnswerKind::Served => open.served += 1,
            AnswerKind::Quota | AnswerKind::Busy | AnswerKind::Over => open.refused += 1,
            AnswerKind::Failed | AnswerKind::Silent | AnswerKind::Unsent => open.failed += 1,
        }
        if end != AnswerKind::Unsent {
            let micros = ((seconds * 1e6) as u64).clamp(1, LONGEST);
            protocol.times.saturating_record(micros);
            protocol.now.saturating_record(micros);
        }
        if let Some(plan) = self.plans.get_mut(plan) {
            match (way, end) {
                (RequestKind::Check, AnswerKind::Served) => plan.granted += 1,
                (RequestKind::Check, _) => plan.over += 1,
                (_, AnswerKind::Served) => plan.served += 1,
                (..) => plan.refused += 1,
            }
        }
    }

    /// Counts a try after the first.
    pub fn record_retry(&mut self, way: RequestKind) {
        self.protocols[usize::from(way == RequestKind::Check)].retries += 1;
    }

    /// A second is over; gives it.
    pub fn take_second(&mut self) -> [SecondStats; 2] {
        let mut done = std::mem::take(&mut self.open);
        for (second, protocol) in done.iter_mut().zip(&mut self.protocols) {
            (second.p50, second.p99) = (ms(&protocol.now, 0.5), ms(&protocol.now, 0.99));
            protocol.now.reset();
        }
        if self.seconds.len() >= SECONDS {
            self.seconds.pop_front();
        }
        self.seconds.push_back(done);
        done
    }

    /// Final answers so far, of one protocol.
    #[must_use]
    pub fn answers(&self, protocol: usize) -> u64 {
        self.protocols[protocol].answers.values().sum()
    }

    /// The part of all requests that was served or granted.
    #[must_use]
    pub fn served_fraction(&self) -> f64 {
        let served: u64 = self.protocols.iter().filter_map(|p| p.answers.get(&AnswerKind::Served)).sum();
        served as f64 / (self.answers(0) + self.answers(1)).max(1) as f64
    }

    /// All of it for programs; times in ms.
    #[must_use]
    pub fn json(&self, plans: &[String]) -> Value {
        let protocol = |(name, p): (&&str, &ProtocolStats)| {
            let ends: BTreeMap<&str, u64> = p.answers.iter().map(|(end, n)| (end.name(), *n)).collect();
            let quantile = |q| ms(&p.times, q);
            let times = json!({"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "p999": quantile(0.999),
                "max": quantile(1.0)});
            (name.to_string(), json!({"answers": ends, "retries": p.retries, "ms": times}))
        };
        let by_plan = |(name, p): (&String, &PlanStats)| {
            let it = json!({"served": p.served, "refused": p.refused, "granted": p.granted, "over": p.over});
            (name.clone(), it)
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
    fn what_is_counted_adds_up_by_plan_protocol_and_second() {
        let mut tally = LoadStats::new(2);
        for k in 0..100u32 {
            let way = if k % 4 == 0 { RequestKind::Check } else { RequestKind::Read };
            let end = if k % 10 == 0 { AnswerKind::Quota } else { AnswerKind::Served };
            tally.record_answer(k as usize % 2, way, end, 0.010);
        }
        tally.record_answer(0, RequestKind::Mix, AnswerKind::Unsent, 0.0);
        let [resp, grpc] = tally.take_second();
        assert_eq!((resp.served, resp.refused, resp.failed), (70, 5, 1));
        assert_eq!((grpc.served, grpc.refused, grpc.failed), (20, 5, 0));
        assert!((9.9..10.1).contains(&resp.p99), "{resp:?}");
        assert_eq!(tally.take_second(), [SecondStats::default(); 2], "each counts in its own second");
        let plans: u64 = tally.plans.iter().map(|p| p.served + p.refused + p.granted + p.over).sum();
        assert_eq!((plans, tally.answers(0) + tally.answers(1)), (101, 101));
        let json = tally.json(&["a".into(), "b".into()]);
        assert_eq!(json["protocols"]["RESP2"]["answers"]["not sent"], 1);
        assert!((tally.served_fraction() - 90.0 / 101.0).abs() < 1e-9);
    }
}
