//! Estimates of the load, service time and failure rate of servers, and how finished attempts and load
//! reports update them. Admission and the choice of a server are made elsewhere.

use crate::api::*;
use crate::server_state::*;
use crate::state::DEMAND_DECAY_MS;

/// Weight of one attempt in the estimates of its server's service time and failure rate, and in the mean
/// latency.
const SERVER_UPDATE_WEIGHT: f64 = 0.04;
/// The same for the service time of a server that is estimated to be too slow for the class of the attempt.
/// Such a server gets few requests, so each result has to count for more.
const SLOW_SERVER_UPDATE_WEIGHT: f64 = 0.3;
/// The same for the estimates over all servers. The first answers are averaged with equal weight.
const FLEET_UPDATE_WEIGHT: f64 = 0.02;
/// Weight of one load report in the mean reported load of all servers.
const REPORT_UPDATE_WEIGHT: f64 = 0.1;
/// Time constant over which a server's own service time decays to the mean of its kind.
const SERVICE_TIME_DECAY_MS: f64 = 20_000.0;
/// Time constant over which the weight of a load report decays.
const REPORT_DECAY_MS: f64 = 1000.0;
/// Time constant over which a server's failure rate decays, so that the server is tried again.
const FAILURE_DECAY_MS: f64 = 4000.0;
/// Upper bound of the factor by which the averaging time of the mean number in flight over all servers grows
/// with the number of gatekeepers.
const MAX_WINDOW_FACTOR: f64 = 5.0;
/// Each peer is assumed to have at least this fraction of this gatekeeper's current requests in flight at a
/// server.
const PEER_SIMILARITY: f64 = 0.5;
/// The number of peers that this gatekeeper's load is extrapolated to at most. In a set of hundreds, what one
/// gatekeeper has in flight at a server tells nothing about the load from the others.
pub(crate) const MAX_SIMILAR_PEERS: f64 = 3.0;
/// Number of other requests in flight at a server that doubles the latency of a request there.
pub(crate) const LATENCY_DOUBLING_LOAD: f64 = 2.0;
/// Upper bound for a reported CPU utilization. Reports are noisy, and the queue length computed from them
/// grows without limit as the utilization approaches 1.
const MAX_CPU_UTILIZATION: f64 = 0.95;

/// Factor by which the latency grows with the number of other requests in flight at the server.
fn latency_factor(other_requests: f64) -> f64 {
    1.0 + other_requests / LATENCY_DOUBLING_LOAD
}

/// The number of requests from other gatekeepers at a server, from its load report. `own_requests` is the
/// number that this gatekeeper has in flight there. If the report has only the CPU utilization, the result is
/// the number that slows a request as much as the queue of a two-core server at that utilization. `None` if
/// the report has neither.
fn other_requests(report: LoadReport, own_requests: f64) -> Option<f64> {
    let queue = |utilization: f64| {
        let square = utilization.clamp(0.0, MAX_CPU_UTILIZATION).powi(2);
        LATENCY_DOUBLING_LOAD * square / (1.0 - square)
    };
    report.in_flight.map(|total| (total - own_requests).max(0.0)).or(report.cpu_utilization.map(queue))
}

/// Weighted geometric mean of two times: moves `current` towards `sample` by the weight of the sample. In an
/// arithmetic mean a few answers with many times the usual work would make a whole class or server look slow.
fn geometric_update(current: f64, sample: f64, weight: f64) -> f64 {
    current * (sample / current).powf(weight)
}

/// Computes estimates from the state of one gatekeeper at the time `now`.
#[derive(Clone, Copy)]
pub(crate) struct Estimator<'a> {
    pub fleet: &'a FleetState,
    pub cfg: &'a Settings,
    /// Number of known servers.
    pub servers: usize,
    /// Current time in ms.
    pub now: f64,
}

impl Estimator<'_> {
    /// Lower bound of the fraction of its full capacity that a server has reached in its warm-up, in 0..=1.
    pub fn capacity_share(&self, s: &ServerState) -> f64 {
        if s.started_at <= 0.0 || self.cfg.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let progress = ((self.now - s.started_at) / self.cfg.warm_up_ms).clamp(0.0, 1.0);
        self.cfg.cold_capacity_share + (1.0 - self.cfg.cold_capacity_share) * progress
    }

    /// Moving average of this gatekeeper's attempts in flight at all servers. The averaging time grows with
    /// the number of gatekeepers, since each of them then sees fewer requests.
    pub fn mean_in_flight(&self) -> f64 {
        let window_factor = (f64::from(self.cfg.gatekeepers) / 10.0).clamp(1.0, MAX_WINDOW_FACTOR);
        let decay = (-(self.now - self.fleet.mean_updated_at) / (window_factor * DEMAND_DECAY_MS)).exp();
        self.fleet.mean_in_flight * decay + self.fleet.in_flight as f64 * (1.0 - decay)
    }

    /// The mean number of attempts in flight per server: of this gatekeeper, and of all its peers together.
    /// The second is extrapolated from the first and replaced by the mean reported load while load reports
    /// are fresh.
    pub fn mean_loads(&self) -> (f64, f64) {
        let mean = self.mean_in_flight() / self.servers.max(1) as f64;
        (mean, self.blend_report(self.fleet.reported_load, mean * f64::from(self.cfg.gatekeepers - 1)))
    }

    /// Estimated number of requests in flight at a server from all gatekeepers. The pair is that of
    /// [`Estimator::mean_loads`].
    pub fn server_load(&self, s: &ServerState, (own_mean, peers_mean): (f64, f64)) -> f64 {
        let peers = f64::from(self.cfg.gatekeepers - 1);
        // Peers see much the same burst of requests, so the moving average alone lags behind a queue that all
        // of them build up at the same time.
        let own_load = s.mean_in_flight_now(self.now).max(PEER_SIMILARITY * s.in_flight.len() as f64);
        let peer_load = (peers_mean + (own_load - own_mean) * peers.min(MAX_SIMILAR_PEERS)).max(0.0);
        s.in_flight.len() as f64 + self.blend_report(s.reported_load, peer_load)
    }

    /// Mean of a reported load and an estimate. The weight of the report decays with its age.
    fn blend_report(&self, report: Option<(f64, f64)>, estimate: f64) -> f64 {
        report.map_or(estimate, |(at, reported)| {
            let decay = (-(self.now - at) / REPORT_DECAY_MS).exp();
            reported * decay + estimate * (1.0 - decay)
        })
    }

    /// Estimated service time of an otherwise idle server for a request of average weight. The server's own
    /// measurement decays to the estimate for its kind.
    pub fn service_time_ms(&self, s: &ServerState) -> f64 {
        let kind_time = self
            .fleet
            .kind_service_time_ms
            .get(&s.kind)
            .copied()
            .or(self.fleet.service_time_ms)
            .unwrap_or(0.0)
            / self.capacity_share(s);
        s.service_time_ms.map_or(kind_time, |own_time| {
            geometric_update(
                kind_time,
                own_time,
                (-(self.now - s.service_time_at) / SERVICE_TIME_DECAY_MS).exp(),
            )
        })
    }

    /// Expected latency in ms of a request of this class at this server, and at least half the age of the
    /// oldest attempt that is in flight there.
    pub fn expected_latency_ms(&self, s: &ServerState, class: usize, mean_loads: (f64, f64)) -> f64 {
        let weight = match (self.fleet.class_service_time_ms[class], self.fleet.service_time_ms) {
            (class_time, Some(fleet_time)) if class_time > 0.0 && fleet_time > 0.0 => class_time / fleet_time,
            _ => 1.0,
        };
        let oldest_sent_at = s.in_flight.values().copied().fold(self.now, f64::min);
        (weight * self.service_time_ms(s) * latency_factor(self.server_load(s, mean_loads)))
            .max(0.5 * (self.now - oldest_sent_at))
    }

    /// The amount by which a server's recent failure rate exceeds that of the fleet; 0 where it does not.
    pub fn excess_failure_rate(&self, s: &ServerState) -> f64 {
        (s.failure_rate * (-(self.now - s.failure_rate_at) / FAILURE_DECAY_MS).exp()
            - self.fleet.failure_rate)
            .max(0.0)
    }
}

/// A finished attempt with the estimates from before its end.
pub(crate) struct AttemptObservation {
    /// When the attempt ended, in ms.
    pub now: f64,
    pub outcome: AttemptOutcome,
    /// Latency in ms.
    pub latency: f64,
    /// Index of the request's class.
    pub class: usize,
    /// Estimated number of requests in flight at the server when the attempt was sent.
    pub load: f64,
    /// The server's estimated service time.
    pub service_time_ms: f64,
    /// Fraction of its full capacity that the server had reached in its warm-up.
    pub capacity_share: f64,
    /// A server with a longer service time is too slow for the class.
    pub max_service_time_ms: f64,
}

impl FleetState {
    /// Updates the reported load of a server and of the fleet from a load report that came with an answer.
    pub fn record_load_report(&mut self, s: &mut ServerState, now: f64, report: LoadReport) {
        if let Some(load) = other_requests(report, s.in_flight.len() as f64) {
            s.reported_load = Some((now, load));
            let mean = self.reported_load.map_or(load, |(_, mean)| mean);
            self.reported_load = Some((now, mean + REPORT_UPDATE_WEIGHT * (load - mean)));
        }
    }

    /// Updates the failure rates and, after an answer or a timeout, the service times of the server,
    /// its kind, the class and the fleet. Kinds learn from fully warm servers only.
    pub fn record_attempt(&mut self, s: &mut ServerState, observation: &AttemptObservation) {
        let failed = !matches!(
            observation.outcome,
            AttemptOutcome::Ok | AttemptOutcome::Cancelled | AttemptOutcome::Moot
        );
        let failure = f64::from(u8::from(failed));
        s.failure_rate = s.failure_rate
            * (-(observation.now - s.failure_rate_at) / FAILURE_DECAY_MS).exp()
            * (1.0 - SERVER_UPDATE_WEIGHT)
            + SERVER_UPDATE_WEIGHT * 2.0 * failure;
        s.failure_rate_at = observation.now;
        self.failure_rate += FLEET_UPDATE_WEIGHT * (failure - self.failure_rate);
        if observation.outcome == AttemptOutcome::Ok {
            s.idle_connection_at = observation.now;
        }
        if !matches!(observation.outcome, AttemptOutcome::Ok | AttemptOutcome::Timeout) {
            return;
        }
        let service_time_ms = observation.latency.max(0.1) / latency_factor(observation.load);
        self.mean_latency_ms += SERVER_UPDATE_WEIGHT * (observation.latency - self.mean_latency_ms);
        self.answer_count += 1.0;
        let fleet_weight = FLEET_UPDATE_WEIGHT.max(1.0 / self.answer_count);
        let fleet_time = self.service_time_ms.unwrap_or(service_time_ms);
        let class_time = &mut self.class_service_time_ms[observation.class];
        let weight = if *class_time > 0.0 { *class_time / fleet_time } else { 1.0 };
        *class_time = if *class_time > 0.0 {
            geometric_update(*class_time, service_time_ms, fleet_weight)
        } else {
            service_time_ms
        };
        let own_time =
            if observation.service_time_ms > 0.0 { observation.service_time_ms } else { service_time_ms };
        let is_too_slow = own_time * weight > observation.max_service_time_ms;
        s.service_time_ms = Some(geometric_update(
            own_time,
            service_time_ms / weight,
            if is_too_slow { SLOW_SERVER_UPDATE_WEIGHT } else { SERVER_UPDATE_WEIGHT },
        ));
        s.service_time_at = observation.now;
        if observation.capacity_share >= 1.0 {
            let kind_time = self.kind_service_time_ms.entry(s.kind).or_insert(fleet_time);
            *kind_time = geometric_update(*kind_time, service_time_ms / weight, fleet_weight);
        }
        self.service_time_ms = Some(geometric_update(fleet_time, service_time_ms, fleet_weight));
    }
}

#[cfg(test)]
mod tests;
