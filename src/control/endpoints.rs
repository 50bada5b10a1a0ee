//! The servers that are known, as endpoint updates have them.

use super::Control;
use crate::api::*;
use crate::server_state::ServerState;
use rand::Rng;
use std::collections::HashSet;

impl Control {
    /// Takes an endpoint update into effect. O(k) with k lines, and O(n) of all servers where it names them all.
    pub(super) fn on_endpoint_update(&mut self, kind: EndpointUpdateKind, lines: Vec<Server>) {
        if kind == EndpointUpdateKind::Complete {
            let named: HashSet<&Name> = lines.iter().map(|s| &s.name).collect();
            let unnamed = self.servers.all_mut().filter(|(_, s)| !named.contains(&s.name));
            let mut gone = Vec::new();
            for (number, s) in unnamed {
                s.health = Health::Gone;
                gone.push(number);
                self.failure_gossip.server_listed(&s.name, false, false);
            }
            for number in gone {
                self.close_to(number);
                self.departed.push(number);
            }
        }
        let (now, many) = (self.now, self.has_many_gatekeepers());
        for line in lines {
            // Many gatekeepers hear of a new server at once: each begins at a point of its own in the gap to
            // its turn.
            let interval_phase = if many { self.rng.random::<f64>() } else { 0.0 };
            let (number, s) = self.servers.entry(&line.name, || ServerState {
                name: line.name.clone(),
                started_at: line.started_at,
                last_sent_at: now,
                idle_connection_at: f64::NEG_INFINITY,
                interval_phase,
                kind: line.kind,
                ..ServerState::default()
            });
            self.failure_gossip.server_listed(
                &line.name,
                line.health == Health::Up,
                line.started_at > s.started_at,
            );
            if line.started_at > s.started_at {
                // A new life: what was learned of the former one no longer holds.
                (s.service_time_ms, s.mean_in_flight, s.reported_load, s.failure_rate, s.interval_phase) =
                    (None, 0.0, None, 0.0, interval_phase);
                s.idle_connection_at = f64::NEG_INFINITY;
            }
            // Of one that is gone the line has the name alone, and repeats of what is out there stay in its group.
            if line.health != Health::Gone {
                (s.zone, s.cell, s.size) = (line.zone, line.cell, line.size);
            }
            // A list that goes back in time makes nobody warm.
            (s.health, s.started_at) = (line.health, line.started_at.max(s.started_at));
            let started_at = s.started_at;
            match line.health {
                Health::Up => {
                    self.servers.mark_up(number, line.zone, line.cell);
                    self.slow_start.insert(number, started_at);
                }
                Health::Draining => self.close_to(number),
                Health::Gone => {
                    self.close_to(number);
                    self.departed.push(number);
                }
            }
        }
        self.forget_departed();
    }

    /// Nothing new is sent to a server.
    fn close_to(&mut self, number: u32) {
        self.servers.mark_down(number);
        self.slow_start.remove(number);
    }

    /// Forgets servers that are gone and have nothing out any more.
    fn forget_departed(&mut self) {
        let mut departed = std::mem::take(&mut self.departed);
        departed.retain(|number| {
            let Some(s) = self.servers.by_number(*number).filter(|s| s.health == Health::Gone) else {
                return false;
            };
            let stays = !s.in_flight.is_empty();
            if !stays {
                self.servers.remove(*number);
            }
            stays
        });
        self.departed = departed;
    }
}
