//! The choice of a server for one attempt.

use super::Control;
use super::warm_up::{self, COLD_SELECTION_SHARE, CandidateSet};
use crate::api::*;
use crate::estimate::{Estimator, MAX_SIMILAR_PEERS};
use crate::random_draw::RandomDraw;
use crate::server_state::ServerState;
use rand::Rng;

/// A request looks at so many servers with room at the least, at more where each gatekeeper knows more.
const LOOK: f64 = 2.0;
/// However large the fleet: the best of so many is hardly worse than the best of all.
const LOOK_MOST: f64 = 16.0;
const DRAW_MOST: usize = 64;
/// After so many answers one of many gatekeepers goes by how long they took.
const LEARNED: f64 = 10.0;
/// One of many gatekeepers looks at servers to which it has no connection at rest for so many of its requests;
/// connections last about so long.
const NEW_PART: f64 = 0.1;
const RESTS_MS: f64 = 10_000.0;
/// How long a server without room rests, for each gatekeeper, before one request looks again.
const PEEK_MS: f64 = 250.0;
/// What server is wanted.
#[derive(Clone, Copy)]
pub(super) struct ServerCriteria<'a> {
    /// The class of the request.
    pub class: usize,
    /// The longest time that it may be foreseen to take, in ms.
    pub max_latency_ms: f64,
    /// The zone or cell that it has to be in.
    pub group: Option<(Group, u32, u32)>,
    /// One that it may not be.
    pub avoid: Option<&'a Name>,
}

impl Control {
    /// The server with the least expected time of some drawn by lot that have room: not foreseen to
    /// take longer than `max_latency_ms`, in the given group, not the one to avoid. With few gatekeepers and servers each
    /// knows every server and looks at all of them; with many, all would run after the same few.
    pub(super) fn choose_server(&mut self, want: ServerCriteria) -> Option<Name> {
        // A repeat that only some servers drop stays with these, whatever was decided on zones.
        if matches!(want.group, None | Some((Group::All, ..))) {
            let failed = want.avoid.and_then(|name| self.servers.get(name)).map(|s| s.zone);
            if let Some(zones) = self.zone_routing.candidate_zones(self.now, failed, &mut self.rng) {
                let kept = self.meets_servers_seldom() && want.group.is_none();
                let at = |z: u32| ServerCriteria { group: Some((Group::Zone, z, 0)), ..want };
                return zones.into_iter().find_map(|z| self.choose_of(at(z), kept));
            }
        }
        self.choose_of(want, self.meets_servers_seldom() && want.group.is_none())
    }

    /// Whether one server is seldom this gatekeeper's choice: then a connection to it is seldom there.
    fn meets_servers_seldom(&self) -> bool {
        self.has_many_gatekeepers() || self.servers.candidates(None).len() > DRAW_MOST
    }

    fn choose_of(&mut self, want: ServerCriteria, kept: bool) -> Option<Name> {
        // A new connection each time would cost more than it gains. With a part of the others looked at beside, of a large
        // fleet most of what was seen was new.
        let kept = kept && self.rng.random::<f64>() >= NEW_PART;
        // Of a warm fleet's cold servers each request may be one's by lot, and otherwise goes to none.
        let dealt = self.draws_cold_server().then(|| self.best_of(want, CandidateSet::Cold)).flatten();
        if dealt.is_some() {
            return dealt;
        }
        let at_rest = if kept { self.best_at_rest(want) } else { None };
        at_rest.or_else(|| self.best_of(want, CandidateSet::All))
    }

    /// The best to which a connection rests. Where all are more than are drawn, these few are looked at by themselves.
    fn best_at_rest(&mut self, want: ServerCriteria) -> Option<Name> {
        let drawn = self.best_of(want, CandidateSet::IdleConnection);
        if drawn.is_some() || self.servers.candidates(want.group).len() <= DRAW_MOST {
            return drawn;
        }
        self.best_of(want, CandidateSet::IdleConnectionOnly)
    }

    /// The same, of some alone.
    fn best_of(&mut self, want: ServerCriteria, among: CandidateSet) -> Option<Name> {
        let ServerCriteria { class, max_latency_ms, group, avoid } = want;
        let candidates = self.servers.candidates(group).len() as f64;
        let look = (MAX_SIMILAR_PEERS * candidates / f64::from(self.cfg.gatekeepers))
            .clamp(LOOK, LOOK_MOST)
            .min(candidates);
        let drawn = match among {
            CandidateSet::IdleConnectionOnly => self.servers.with_idle_connection(),
            _ => self.servers.candidates(group),
        };
        // Of a large fleet no more are drawn than are likely to hold so many with room.
        let mut lots = RandomDraw::new(drawn.len(), DRAW_MOST, &mut self.rng);
        let target_ms = self.cfg.classes[class].target_ms;
        let many = self.has_many_gatekeepers();
        let view =
            Estimator { fleet: &self.fleet, cfg: &self.cfg, servers: self.servers.len(), now: self.now };
        let mean_loads = view.mean_loads();
        let mut best: Option<(f64, u32)> = None;
        let (mut seen, mut rest_no_more) = (0.0, Vec::new());
        while let Some(k) = lots.next(&mut self.rng) {
            let number = drawn[k];
            let Some(s) = self.servers.by_number(number).filter(|s| avoid != Some(&s.name)) else { continue };
            if among == CandidateSet::IdleConnectionOnly && !s.is_in_group(group) {
                continue;
            }
            let capacity_share = view.capacity_share(s);
            let cold = capacity_share < 1.0;
            // Were it chosen each time, a cold server would get its part of a warm one's share.
            let part = match among {
                CandidateSet::Cold => capacity_share / self.warm_up.capacity_share,
                _ if self.warm_up.is_mostly_warm => 0.0,
                _ => COLD_SELECTION_SHARE * capacity_share / if many { 1.0 } else { look },
            };
            if cold && self.rng.random::<f64>() >= part || !cold && among == CandidateSet::Cold {
                continue;
            }
            let rests = s.in_flight.is_empty() && s.idle_connection_at > self.now - RESTS_MS;
            // With a cold one nobody has a connection yet: it is looked at beside, by its part.
            if among == CandidateSet::IdleConnectionOnly && !rests {
                rest_no_more.push(number);
                continue;
            }
            if among == CandidateSet::IdleConnection
                && !rests
                && !(cold && self.rng.random::<f64>() < NEW_PART)
            {
                continue;
            }
            let ill = self.failure_gossip.report_score(self.now, &s.name);
            if ill > 0.0 && self.rng.random::<f64>() * (1.0 + ill * ill) >= 1.0 {
                continue;
            }
            // Where it is most of the fleet, or fails in no time, neither its share nor a queue holds it.
            let gap = warm_up::min_send_interval_ms(view.service_time_ms(s), &self.cfg);
            if cold
                && !self.warm_up.is_mostly_warm
                && self.now - s.last_sent_at < gap * (1.0 - s.interval_phase)
            {
                continue;
            }
            // Drawn by its part already, among many it competes as a warm one would: as seldom sent to as
            // it has room.
            let time =
                view.expected_latency_ms(s, class, mean_loads) * if many { capacity_share } else { 1.0 };
            // Where nothing of ours is out or has lately gone there is room for one: else nothing more
            // would be learned. All gatekeepers do so, hence the gap grows with their number.
            let quiet = s.in_flight.is_empty()
                && self.now - s.last_sent_at > PEEK_MS * f64::from(self.cfg.gatekeepers);
            // What the first answers took says little, and where nothing is sent for it nothing more is
            // learned.
            let learning = many && self.fleet.answer_count < LEARNED;
            if time > max_latency_ms && !((quiet || learning) && avoid.is_none()) {
                continue;
            }
            let cross = if s.zone == self.cfg.zone { 1.0 } else { 1.05 };
            let cost = (time * cross + view.excess_failure_rate(s) * target_ms)
                * (1.0 + 0.1 * self.rng.random::<f64>());
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, number));
            }
            seen += 1.0;
            if seen >= look {
                break;
            }
        }
        let best = best.and_then(|(_, number)| self.servers.by_number(number)).map(|s| s.name.clone());
        for number in rest_no_more {
            self.servers.clear_idle_connection(number);
        }
        best
    }

    /// A connection to a server is in use now.
    pub(super) fn connection_taken(&mut self, server: &Name) {
        if let Some(number) = self.servers.number(server) {
            self.servers.clear_idle_connection(number);
        }
    }

    /// An attempt has ended: its connection may rest.
    pub(super) fn connection_released(&mut self, server: &Name) {
        let Some(number) = self.servers.number(server) else { return };
        let rests = |s: &ServerState| s.in_flight.is_empty() && s.idle_connection_at > self.now - RESTS_MS;
        if self.servers.by_number(number).is_some_and(rests) {
            self.servers.mark_idle_connection(number);
        }
    }
}
