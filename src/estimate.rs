//! What is thought of servers' load and speed, and how answers change it. Which of them is taken for a request, and whether
//! one is, is decided elsewhere.

use crate::api::*;
use crate::server_state::*;
use crate::state::DEMAND_DECAY_MS;

/// How much one answer moves what is known of a server's speed and of its failures.
const LEARN: f64 = 0.04;
/// The same for a server that is thought to have room for nothing: it is seldom asked.
const LEARN_SLOW: f64 = 0.3;
/// The same for what is known of all servers; the first answers count alike.
const LEARN_ALL: f64 = 0.02;
/// How much one report moves what is known of the load at all servers.
const LEARN_REPORT: f64 = 0.1;
/// What is known of a server's speed grows old over this time.
const PACE_MS: f64 = 20_000.0;
/// A load report is worth less and less over this time.
const REPORT_MS: f64 = 1000.0;
/// A server's failures are forgotten over this time, so that it is tried again.
const FAIL_MS: f64 = 4000.0;
/// The mean in flight over all servers is taken over this many times as long where gatekeepers are many.
const FLEET_TIMES: f64 = 5.0;
/// The part of what this gatekeeper has out at a server now that its peers are taken to have there.
const ALIKE: f64 = 0.5;
/// The most peers this is held of: what one of hundreds has out says nothing of the others' part.
pub(crate) const MAX_SIMILAR_PEERS: f64 = 3.0;
/// Requests in flight at a server beside one's own that make its answer take twice as long.
pub(crate) const LATENCY_DOUBLING_LOAD: f64 = 2.0;
/// Cores are never taken to be busier than this: reports are noisy, and a queue's length ends nowhere.
const BUSY_MOST: f64 = 0.95;

/// How much longer an answer takes with so many others in flight.
fn slowdown(others: f64) -> f64 {
    1.0 + others / LATENCY_DOUBLING_LOAD
}

/// What a server's own word says of the requests it holds beside ours. Where it tells only how busy its cores are: so many
/// that a usual answer takes as much longer as in a queue before two cores that are so busy.
fn others(report: LoadReport, ours: f64) -> Option<f64> {
    let queue = |busy: f64| {
        let square = busy.clamp(0.0, BUSY_MOST).powi(2);
        LATENCY_DOUBLING_LOAD * square / (1.0 - square)
    };
    report.in_flight.map(|holds| (holds - ours).max(0.0)).or(report.cpu_utilization.map(queue))
}

/// Moves a known time part of the way to a new one, by ratio: a few answers of many times the usual work must not make a
/// whole class or server look slow, as they would in a plain mean.
fn toward(known: f64, new: f64, part: f64) -> f64 {
    known * (new / known).powf(part)
}

/// What one gatekeeper knows, as of now.
#[derive(Clone, Copy)]
pub(crate) struct Estimator<'a> {
    pub fleet: &'a FleetState,
    pub cfg: &'a Settings,
    /// How many servers are known.
    pub servers: usize,
    pub now: f64,
}

impl Estimator<'_> {
    /// The part of its capacity a server has by now at the least.
    pub fn capacity_share(&self, s: &ServerState) -> f64 {
        if s.started_at <= 0.0 || self.cfg.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let age = ((self.now - s.started_at) / self.cfg.warm_up_ms).clamp(0.0, 1.0);
        self.cfg.cold_capacity_share + (1.0 - self.cfg.cold_capacity_share) * age
    }

    /// What this gatekeeper has out at all servers on average over time: over longer the fewer it sees.
    pub fn mean_in_flight(&self) -> f64 {
        let times = (f64::from(self.cfg.gatekeepers) / 10.0).clamp(1.0, FLEET_TIMES);
        let kept = (-(self.now - self.fleet.mean_updated_at) / (times * DEMAND_DECAY_MS)).exp();
        self.fleet.mean_in_flight * kept + self.fleet.in_flight as f64 * (1.0 - kept)
    }

    /// What this gatekeeper has out at a server on average, and what the peers together have there: as this one
    /// on average, or as fresh reports from any server say.
    pub fn mean_loads(&self) -> (f64, f64) {
        let mean = self.mean_in_flight() / self.servers.max(1) as f64;
        (mean, self.mixed(self.fleet.reported_load, mean * f64::from(self.cfg.gatekeepers - 1)))
    }

    /// What is thought to be in flight at a server, from all gatekeepers.
    pub fn server_load(&self, s: &ServerState, (mean, fleet): (f64, f64)) -> f64 {
        let peers = f64::from(self.cfg.gatekeepers - 1);
        // Peers see much the same rush: the mean alone lags behind a queue that all build at once.
        let usual = s.mean_in_flight_now(self.now).max(ALIKE * s.in_flight.len() as f64);
        let usual = (fleet + (usual - mean) * peers.min(MAX_SIMILAR_PEERS)).max(0.0);
        s.in_flight.len() as f64 + self.mixed(s.reported_load, usual)
    }

    /// A report while it is fresh, the guess as it grows old.
    fn mixed(&self, report: Option<(f64, f64)>, guess: f64) -> f64 {
        report.map_or(guess, |(at, said)| {
            let kept = (-(self.now - at) / REPORT_MS).exp();
            said * kept + guess * (1.0 - kept)
        })
    }

    /// The time an answer takes from this server alone with nothing else to do, for a usual class.
    /// What was seen grows old and gives way to what is known of its kind.
    pub fn service_time_ms(&self, s: &ServerState) -> f64 {
        let kind = self
            .fleet
            .kind_service_time_ms
            .get(&s.kind)
            .copied()
            .or(self.fleet.service_time_ms)
            .unwrap_or(0.0)
            / self.capacity_share(s);
        s.service_time_ms.map_or(kind, |p| toward(kind, p, (-(self.now - s.service_time_at) / PACE_MS).exp()))
    }

    /// The time an answer should take from this server.
    pub fn expected_latency_ms(&self, s: &ServerState, class: usize, mean_loads: (f64, f64)) -> f64 {
        let weight = match (self.fleet.class_service_time_ms[class], self.fleet.service_time_ms) {
            (c, Some(fleet)) if c > 0.0 && fleet > 0.0 => c / fleet,
            _ => 1.0,
        };
        let oldest = s.in_flight.values().copied().fold(self.now, f64::min);
        (weight * self.service_time_ms(s) * slowdown(self.server_load(s, mean_loads)))
            .max(0.5 * (self.now - oldest))
    }

    /// How much of late a server has failed beyond what all do.
    pub fn excess_failure_rate(&self, s: &ServerState) -> f64 {
        (s.failure_rate * (-(self.now - s.failure_rate_at) / FAIL_MS).exp() - self.fleet.failure_rate)
            .max(0.0)
    }
}

/// An attempt that has ended, with what was known before it did.
pub(crate) struct AttemptObservation {
    pub now: f64,
    pub outcome: AttemptOutcome,
    pub latency: f64,
    pub class: usize,
    /// What was thought to be in flight at its server when it was sent.
    pub load: f64,
    /// Its server's pace and warmth.
    pub service_time_ms: f64,
    pub capacity_share: f64,
    /// A pace above this leaves no room for the class.
    pub max_service_time_ms: f64,
}

impl FleetState {
    /// What a server said of its load, in an answer.
    pub fn record_load_report(&mut self, s: &mut ServerState, now: f64, report: LoadReport) {
        if let Some(others) = others(report, s.in_flight.len() as f64) {
            s.reported_load = Some((now, others));
            let so_far = self.reported_load.map_or(others, |(_, mean)| mean);
            self.reported_load = Some((now, so_far + LEARN_REPORT * (others - so_far)));
        }
    }

    /// Takes in how an attempt ended.
    pub fn record_attempt(&mut self, s: &mut ServerState, seen: &AttemptObservation) {
        let failed =
            !matches!(seen.outcome, AttemptOutcome::Ok | AttemptOutcome::Cancelled | AttemptOutcome::Moot);
        let fail = f64::from(u8::from(failed));
        s.failure_rate = s.failure_rate * (-(seen.now - s.failure_rate_at) / FAIL_MS).exp() * (1.0 - LEARN)
            + LEARN * 2.0 * fail;
        s.failure_rate_at = seen.now;
        self.failure_rate += LEARN_ALL * (fail - self.failure_rate);
        if seen.outcome == AttemptOutcome::Ok {
            s.idle_connection_at = seen.now;
        }
        if !matches!(seen.outcome, AttemptOutcome::Ok | AttemptOutcome::Timeout) {
            return;
        }
        let service_time_ms = seen.latency.max(0.1) / slowdown(seen.load);
        self.mean_latency_ms += LEARN * (seen.latency - self.mean_latency_ms);
        self.answer_count += 1.0;
        let learn_all = LEARN_ALL.max(1.0 / self.answer_count);
        let fleet = self.service_time_ms.unwrap_or(service_time_ms);
        let c = &mut self.class_service_time_ms[seen.class];
        let weight = if *c > 0.0 { *c / fleet } else { 1.0 };
        *c = if *c > 0.0 { toward(*c, service_time_ms, learn_all) } else { service_time_ms };
        let own = if seen.service_time_ms > 0.0 { seen.service_time_ms } else { service_time_ms };
        let slow = own * weight > seen.max_service_time_ms;
        s.service_time_ms =
            Some(toward(own, service_time_ms / weight, if slow { LEARN_SLOW } else { LEARN }));
        s.service_time_at = seen.now;
        if seen.capacity_share >= 1.0 {
            let kind = self.kind_service_time_ms.entry(s.kind).or_insert(fleet);
            *kind = toward(*kind, service_time_ms / weight, learn_all);
        }
        self.service_time_ms = Some(toward(fleet, service_time_ms, learn_all));
    }
}

#[cfg(test)]
mod tests;
