//! Applies endpoint updates to the set of known servers.

use super::Control;
use crate::api::*;
use crate::server_state::ServerState;
use rand::Rng;
use std::collections::HashSet;

impl Control {
    /// Applies an endpoint update. O(k) for k entries; a complete list also costs O(n) for n known servers.
    pub(super) fn on_endpoint_update(&mut self, kind: EndpointUpdateKind, updates: Vec<Server>) {
        if kind == EndpointUpdateKind::Complete {
            let listed: HashSet<&Name> = updates.iter().map(|s| &s.name).collect();
            let unlisted = self.servers.all_mut().filter(|(_, s)| !listed.contains(&s.name));
            let mut removed = Vec::new();
            for (number, s) in unlisted {
                s.health = Health::Gone;
                removed.push(number);
                self.failure_gossip.server_listed(&s.name, false, false);
            }
            for number in removed {
                self.stop_sending_to(number);
                self.departed.push(number);
            }
        }
        let (now, many) = (self.now, self.has_many_gatekeepers());
        for update in updates {
            // Many gatekeepers learn of a new server at the same time: each one starts at a random point of
            // its send interval, so that they do not all send at once.
            let interval_phase = if many { self.rng.random::<f64>() } else { 0.0 };
            let (number, s) = self.servers.entry(&update.name, || ServerState {
                name: update.name.clone(),
                started_at: update.started_at,
                last_sent_at: now,
                idle_connection_at: f64::NEG_INFINITY,
                interval_phase,
                kind: update.kind,
                ..ServerState::default()
            });
            self.failure_gossip.server_listed(
                &update.name,
                update.health == Health::Up,
                update.started_at > s.started_at,
            );
            if update.started_at > s.started_at {
                // The server was restarted: measurements of its previous incarnation no longer hold.
                (s.service_time_ms, s.mean_in_flight, s.reported_load, s.failure_rate, s.interval_phase) =
                    (None, 0.0, None, 0.0, interval_phase);
                s.idle_connection_at = f64::NEG_INFINITY;
            }
            // The entry of a removed server has only its name. Retries of keyed requests that it has in
            // flight still need its zone and cell.
            if update.health != Health::Gone {
                (s.zone, s.cell, s.size) = (update.zone, update.cell, update.size);
            }
            // An older start time than the known one is ignored: it must not make a cold server count as
            // warm.
            (s.health, s.started_at) = (update.health, update.started_at.max(s.started_at));
            let started_at = s.started_at;
            match update.health {
                Health::Up => {
                    self.servers.mark_up(number, update.zone, update.cell);
                    self.slow_start.insert(number, started_at);
                }
                Health::Draining => self.stop_sending_to(number),
                Health::Gone => {
                    self.stop_sending_to(number);
                    self.departed.push(number);
                }
            }
        }
        self.remove_departed();
    }

    /// Stops sending new attempts to a server.
    fn stop_sending_to(&mut self, number: u32) {
        self.servers.mark_down(number);
        self.slow_start.remove(number);
    }

    /// Removes servers that are gone and have no attempts in flight.
    fn remove_departed(&mut self) {
        let mut departed = std::mem::take(&mut self.departed);
        departed.retain(|number| {
            let Some(s) = self.servers.by_number(*number).filter(|s| s.health == Health::Gone) else {
                return false;
            };
            let has_attempts = !s.in_flight.is_empty();
            if !has_attempts {
                self.servers.remove(*number);
            }
            has_attempts
        });
        self.departed = departed;
    }
}
