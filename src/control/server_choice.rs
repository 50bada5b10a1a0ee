//! The choice of a server for one attempt.

use super::Control;
use super::warm_up::{self, Among, COLD_PART};
use crate::api::*;
use crate::estimate::{ALIKE_PEERS, View};
use crate::live::Live;
use crate::lots::Lots;
use rand::Rng;

/// A request looks at so many servers with room at the least, at more where each gateway knows more.
const LOOK: f64 = 2.0;
/// However large the fleet: the best of so many is hardly worse than the best of all.
const LOOK_MOST: f64 = 16.0;
const DRAW_MOST: usize = 64;
/// After so many answers one of many gateways goes by how long they took.
const LEARNED: f64 = 10.0;
/// One of many gateways looks at servers to which it has no connection at rest for so many of its requests;
/// connections last about so long.
const NEW_PART: f64 = 0.1;
const RESTS_MS: f64 = 10_000.0;
/// How long a server without room rests, for each gateway, before one request looks again.
const PEEK_MS: f64 = 250.0;
/// What server is wanted.
#[derive(Clone, Copy)]
pub(super) struct Want<'a> {
    /// The class of the request.
    pub class: usize,
    /// The longest time that it may be foreseen to take, in ms.
    pub most: f64,
    /// The zone or cell that it has to be in.
    pub group: Option<(Group, u32, u32)>,
    /// One that it may not be.
    pub avoid: Option<&'a Name>,
}

impl Control {
    /// The server with the least expected time of some drawn by lot that have room: not foreseen to
    /// take longer than `most`, in the given group, not the one to avoid. With few gateways and servers each
    /// knows every server and looks at all of them; with many, all would run after the same few.
    pub(super) fn choose(&mut self, want: Want) -> Option<Name> {
        // A repeat that only some servers drop stays with these, whatever was decided on zones.
        if matches!(want.group, None | Some((Group::All, ..))) {
            let failed = want.avoid.and_then(|name| self.servers.get(name)).map(|s| s.zone);
            if let Some(zones) = self.zones.order(self.now, failed, &mut self.rng) {
                let kept = self.meets_servers_seldom() && want.group.is_none();
                let at = |z: u32| Want { group: Some((Group::Zone, z, 0)), ..want };
                return zones.into_iter().find_map(|z| self.choose_of(at(z), kept));
            }
        }
        self.choose_of(want, self.meets_servers_seldom() && want.group.is_none())
    }

    /// Whether one server is seldom this gateway's choice: then a connection to it is seldom there.
    fn meets_servers_seldom(&self) -> bool {
        self.many() || self.servers.of(None).len() > DRAW_MOST
    }

    fn choose_of(&mut self, want: Want, kept: bool) -> Option<Name> {
        // A new connection each time would cost more than it gains. With a part of the others looked at beside, of a large
        // fleet most of what was seen was new.
        let kept = kept && self.rng.random::<f64>() >= NEW_PART;
        // Of a warm fleet's cold servers each request may be one's by lot, and otherwise goes to none.
        let dealt = self.deals_cold().then(|| self.best_of(want, Among::Cold)).flatten();
        if dealt.is_some() {
            return dealt;
        }
        let at_rest = if kept { self.best_at_rest(want) } else { None };
        at_rest.or_else(|| self.best_of(want, Among::All))
    }

    /// The best to which a connection rests. Where all are more than are drawn, these few are looked at by themselves.
    fn best_at_rest(&mut self, want: Want) -> Option<Name> {
        let drawn = self.best_of(want, Among::AtRest);
        if drawn.is_some() || self.servers.of(want.group).len() <= DRAW_MOST {
            return drawn;
        }
        self.best_of(want, Among::AtRestAlone)
    }

    /// The same, of some alone.
    fn best_of(&mut self, want: Want, among: Among) -> Option<Name> {
        let Want { class, most, group, avoid } = want;
        let candidates = self.servers.of(group).len() as f64;
        let look =
            (ALIKE_PEERS * candidates / f64::from(self.cfg.gateways)).clamp(LOOK, LOOK_MOST).min(candidates);
        let drawn = match among {
            Among::AtRestAlone => self.servers.at_rest(),
            _ => self.servers.of(group),
        };
        // Of a large fleet no more are drawn than are likely to hold so many with room.
        let mut lots = Lots::new(drawn.len(), DRAW_MOST, &mut self.rng);
        let aim = self.cfg.classes[class].aim;
        let many = self.many();
        let view = View { fleet: &self.fleet, cfg: &self.cfg, servers: self.servers.len(), now: self.now };
        let means = view.means();
        let mut best: Option<(f64, u32)> = None;
        let (mut seen, mut rest_no_more) = (0.0, Vec::new());
        while let Some(k) = lots.next(&mut self.rng) {
            let number = drawn[k];
            let Some(s) = self.servers.at(number).filter(|s| avoid != Some(&s.name)) else { continue };
            if among == Among::AtRestAlone && !s.is_of(group) {
                continue;
            }
            let warmth = view.warmth(s);
            let cold = warmth < 1.0;
            // Were it chosen each time, a cold server would get its part of a warm one's share.
            let part = match among {
                Among::Cold => warmth / self.ramp.warmth,
                _ if self.ramp.bears => 0.0,
                _ => COLD_PART * warmth / if many { 1.0 } else { look },
            };
            if cold && self.rng.random::<f64>() >= part || !cold && among == Among::Cold {
                continue;
            }
            let rests = s.out.is_empty() && s.rested_at > self.now - RESTS_MS;
            // With a cold one nobody has a connection yet: it is looked at beside, by its part.
            if among == Among::AtRestAlone && !rests {
                rest_no_more.push(number);
                continue;
            }
            if among == Among::AtRest && !rests && !(cold && self.rng.random::<f64>() < NEW_PART) {
                continue;
            }
            let ill = self.rumors.of(self.now, &s.name);
            if ill > 0.0 && self.rng.random::<f64>() * (1.0 + ill * ill) >= 1.0 {
                continue;
            }
            // Where it is most of the fleet, or fails in no time, neither its share nor a queue holds it.
            let gap = warm_up::gap(view.pace(s), &self.cfg);
            if cold && !self.ramp.bears && self.now - s.sent_at < gap * (1.0 - s.phase) {
                continue;
            }
            // Drawn by its part already, among many it competes as a warm one would: as seldom sent to as
            // it has room.
            let time = view.foreseen(s, class, means) * if many { warmth } else { 1.0 };
            // Where nothing of ours is out or has lately gone there is room for one: else nothing more
            // would be learned. All gateways do so, hence the gap grows with their number.
            let quiet = s.out.is_empty() && self.now - s.sent_at > PEEK_MS * f64::from(self.cfg.gateways);
            // What the first answers took says little, and where nothing is sent for it nothing more is
            // learned.
            let learning = many && self.fleet.answers < LEARNED;
            if time > most && !((quiet || learning) && avoid.is_none()) {
                continue;
            }
            let cross = if s.zone == self.cfg.zone { 1.0 } else { 1.05 };
            let cost = (time * cross + view.failing(s) * aim) * (1.0 + 0.1 * self.rng.random::<f64>());
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, number));
            }
            seen += 1.0;
            if seen >= look {
                break;
            }
        }
        let best = best.and_then(|(_, number)| self.servers.at(number)).map(|s| s.name.clone());
        for number in rest_no_more {
            self.servers.rests_no_more(number);
        }
        best
    }

    /// A connection to a server is in use now.
    pub(super) fn takes_connection(&mut self, server: &Name) {
        if let Some(number) = self.servers.number(server) {
            self.servers.rests_no_more(number);
        }
    }

    /// An attempt has ended: its connection may rest.
    pub(super) fn leaves_connection(&mut self, server: &Name) {
        let Some(number) = self.servers.number(server) else { return };
        let rests = |s: &Live| s.out.is_empty() && s.rested_at > self.now - RESTS_MS;
        if self.servers.at(number).is_some_and(rests) {
            self.servers.rests(number);
        }
    }
}
