//! Server selection for one attempt.

use super::Control;
use super::warm_up::{self, COLD_SELECTION_SHARE, CandidateSet};
use crate::api::*;
use crate::estimate::{Estimator, MAX_SIMILAR_PEERS};
use crate::random_draw::RandomDraw;
use crate::server_state::ServerState;
use rand::Rng;

/// Minimum number of servers with room that are compared for a request. Where each gatekeeper knows more of
/// the load, more are compared.
const MIN_CANDIDATES: f64 = 2.0;
/// Maximum of the same for any number of servers: the best of this many is hardly worse than the best of all.
const MAX_CANDIDATES: f64 = 16.0;
/// Maximum number of servers drawn at random for a request.
const MAX_DRAWS: usize = 64;
/// With many gatekeepers, expected latencies limit the choice only after this many answers.
const MIN_LEARNED_ANSWERS: f64 = 10.0;
/// With many gatekeepers or servers, the share of requests for which servers without an idle connection are
/// considered too.
const NEW_CONNECTION_SHARE: f64 = 0.1;
/// How long a connection is taken to stay open when idle.
const IDLE_CONNECTION_MS: f64 = 10_000.0;
/// A server without room gets one attempt again after this time, multiplied by the number of gatekeepers.
const RETEST_INTERVAL_MS: f64 = 250.0;

/// Requirements for the server of an attempt.
#[derive(Clone, Copy)]
pub(super) struct ServerCriteria<'a> {
    /// The class of the request.
    pub class: usize,
    /// Maximum expected latency, in ms.
    pub max_latency_ms: f64,
    /// The group that the server has to belong to, as zone and cell.
    pub group: Option<(Group, u32, u32)>,
    /// A server that is excluded.
    pub avoid: Option<&'a Name>,
}

impl Control {
    /// Chooses the server with the lowest expected cost among those that meet `criteria` and were drawn at
    /// random. With few gatekeepers and servers all servers are drawn; if many gatekeepers compared all
    /// servers, they would all send to the same few.
    pub(super) fn choose_server(&mut self, criteria: ServerCriteria) -> Option<Name> {
        // A retry that only the servers of a group deduplicate stays in this group, whatever the zone routing
        // says.
        if matches!(criteria.group, None | Some((Group::All, ..))) {
            let failed_zone = criteria.avoid.and_then(|name| self.servers.get(name)).map(|s| s.zone);
            if let Some(zones) = self.zone_routing.candidate_zones(self.now, failed_zone, &mut self.rng) {
                let prefers_idle = self.has_sparse_traffic() && criteria.group.is_none();
                let in_zone = |zone: u32| ServerCriteria { group: Some((Group::Zone, zone, 0)), ..criteria };
                return zones.into_iter().find_map(|zone| self.choose_in_group(in_zone(zone), prefers_idle));
            }
        }
        self.choose_in_group(criteria, self.has_sparse_traffic() && criteria.group.is_none())
    }

    /// Whether any one server is chosen so seldom that there is usually no open connection to it.
    fn has_sparse_traffic(&self) -> bool {
        self.has_many_gatekeepers() || self.servers.candidates(None).len() > MAX_DRAWS
    }

    /// Chooses a server of the group in `criteria`, cold servers first where the draw says so.
    fn choose_in_group(&mut self, criteria: ServerCriteria, prefers_idle: bool) -> Option<Name> {
        // Opening a new connection for each request would cost more than it gains. And considering a share of
        // the other servers for every request is no substitute: with many servers most of the candidates were
        // without a connection.
        let prefers_idle = prefers_idle && self.rng.random::<f64>() >= NEW_CONNECTION_SHARE;
        // If most servers are warm, a request goes to a cold server by a random draw, and otherwise never to
        // one.
        let cold =
            self.draws_cold_server().then(|| self.best_candidate(criteria, CandidateSet::Cold)).flatten();
        if cold.is_some() {
            return cold;
        }
        let idle = if prefers_idle { self.best_with_idle_connection(criteria) } else { None };
        idle.or_else(|| self.best_candidate(criteria, CandidateSet::All))
    }

    /// The best server with an idle connection. If there are more servers than are drawn and none of those
    /// has one, the servers with an idle connection are drawn from separately.
    fn best_with_idle_connection(&mut self, criteria: ServerCriteria) -> Option<Name> {
        let best = self.best_candidate(criteria, CandidateSet::IdleConnection);
        if best.is_some() || self.servers.candidates(criteria.group).len() <= MAX_DRAWS {
            return best;
        }
        self.best_candidate(criteria, CandidateSet::IdleConnectionOnly)
    }

    /// The server with the lowest cost in one candidate set.
    fn best_candidate(&mut self, criteria: ServerCriteria, set: CandidateSet) -> Option<Name> {
        let ServerCriteria { class, max_latency_ms, group, avoid } = criteria;
        let candidates = self.servers.candidates(group).len() as f64;
        let max_examined = (MAX_SIMILAR_PEERS * candidates / f64::from(self.cfg.gatekeepers))
            .clamp(MIN_CANDIDATES, MAX_CANDIDATES)
            .min(candidates);
        let numbers = match set {
            CandidateSet::IdleConnectionOnly => self.servers.with_idle_connection(),
            _ => self.servers.candidates(group),
        };
        // Of many servers no more are drawn than are likely to include enough with room.
        let mut draw = RandomDraw::new(numbers.len(), MAX_DRAWS, &mut self.rng);
        let target_ms = self.cfg.classes[class].target_ms;
        let many = self.has_many_gatekeepers();
        let estimator =
            Estimator { fleet: &self.fleet, cfg: &self.cfg, servers: self.servers.len(), now: self.now };
        let mean_loads = estimator.mean_loads();
        let mut best: Option<(f64, u32)> = None;
        let (mut examined, mut no_longer_idle) = (0.0, Vec::new());
        while let Some(index) = draw.next(&mut self.rng) {
            let number = numbers[index];
            let Some(s) = self.servers.by_number(number).filter(|s| avoid != Some(&s.name)) else { continue };
            if set == CandidateSet::IdleConnectionOnly && !s.is_in_group(group) {
                continue;
            }
            let capacity_share = estimator.capacity_share(s);
            let is_cold = capacity_share < 1.0;
            // A cold server drawn and accepted with this probability gets its capacity's share of what a warm
            // server gets.
            let selection_share = match set {
                CandidateSet::Cold => capacity_share / self.warm_up.capacity_share,
                _ if self.warm_up.is_mostly_warm => 0.0,
                _ => COLD_SELECTION_SHARE * capacity_share / if many { 1.0 } else { max_examined },
            };
            if is_cold && self.rng.random::<f64>() >= selection_share || !is_cold && set == CandidateSet::Cold
            {
                continue;
            }
            let is_idle = s.in_flight.is_empty() && s.idle_connection_at > self.now - IDLE_CONNECTION_MS;
            // No gatekeeper has a connection to a cold server yet: a share of them is considered without one.
            if set == CandidateSet::IdleConnectionOnly && !is_idle {
                no_longer_idle.push(number);
                continue;
            }
            if set == CandidateSet::IdleConnection
                && !is_idle
                && !(is_cold && self.rng.random::<f64>() < NEW_CONNECTION_SHARE)
            {
                continue;
            }
            let report_score = self.failure_gossip.report_score(self.now, &s.name);
            if report_score > 0.0 && self.rng.random::<f64>() * (1.0 + report_score * report_score) >= 1.0 {
                continue;
            }
            // If most servers are cold, or it fails at once, neither its selection share nor its load limits
            // what a cold server is sent: so a minimum interval does.
            let min_interval_ms = warm_up::min_send_interval_ms(estimator.service_time_ms(s), &self.cfg);
            if is_cold
                && !self.warm_up.is_mostly_warm
                && self.now - s.last_sent_at < min_interval_ms * (1.0 - s.interval_phase)
            {
                continue;
            }
            // With many gatekeepers a cold server that was drawn by its share competes as if it were warm:
            // its room is already reflected in how seldom it is sent to.
            let expected_ms =
                estimator.expected_latency_ms(s, class, mean_loads) * if many { capacity_share } else { 1.0 };
            // A server without attempts of this gatekeeper in flight or of late gets one, whatever the
            // expected latency: else its estimate would never be corrected. All gatekeepers do so, hence the
            // interval grows with their number.
            let should_retest = s.in_flight.is_empty()
                && self.now - s.last_sent_at > RETEST_INTERVAL_MS * f64::from(self.cfg.gatekeepers);
            // The latencies of the first answers say little, and without attempts the estimate would not
            // improve.
            let is_learning = many && self.fleet.answer_count < MIN_LEARNED_ANSWERS;
            if expected_ms > max_latency_ms && !((should_retest || is_learning) && avoid.is_none()) {
                continue;
            }
            let zone_factor = if s.zone == self.cfg.zone { 1.0 } else { 1.05 };
            let cost = (expected_ms * zone_factor + estimator.excess_failure_rate(s) * target_ms)
                * (1.0 + 0.1 * self.rng.random::<f64>());
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, number));
            }
            examined += 1.0;
            if examined >= max_examined {
                break;
            }
        }
        let best = best.and_then(|(_, number)| self.servers.by_number(number)).map(|s| s.name.clone());
        for number in no_longer_idle {
            self.servers.clear_idle_connection(number);
        }
        best
    }

    /// Records that a connection to a server is in use.
    pub(super) fn connection_taken(&mut self, server: &Name) {
        if let Some(number) = self.servers.number(server) {
            self.servers.clear_idle_connection(number);
        }
    }

    /// Records the end of an attempt: its connection may be idle now.
    pub(super) fn connection_released(&mut self, server: &Name) {
        let Some(number) = self.servers.number(server) else { return };
        let is_idle =
            |s: &ServerState| s.in_flight.is_empty() && s.idle_connection_at > self.now - IDLE_CONNECTION_MS;
        if self.servers.by_number(number).is_some_and(is_idle) {
            self.servers.mark_idle_connection(number);
        }
    }
}
