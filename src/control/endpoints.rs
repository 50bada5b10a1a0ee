//! The servers that are known, as endpoint updates have them.

use super::Control;
use crate::api::*;
use crate::live::Live;
use rand::Rng;
use std::collections::HashSet;

impl Control {
    /// Takes an endpoint update into effect. O(k) with k lines, and O(n) of all servers where it names them all.
    pub(super) fn on_servers(&mut self, listing: Listing, lines: Vec<Server>) {
        if listing == Listing::Complete {
            let named: HashSet<&Name> = lines.iter().map(|s| &s.name).collect();
            let unnamed = self.servers.all_mut().filter(|(_, s)| !named.contains(&s.name));
            let mut gone = Vec::new();
            for (number, s) in unnamed {
                s.health = Health::Gone;
                gone.push(number);
                self.rumors.listed(&s.name, false, false);
            }
            for number in gone {
                self.close_to(number);
                self.departed.push(number);
            }
        }
        let (now, many) = (self.now, self.many());
        for line in lines {
            // Many gateways hear of a new server at once: each begins at a point of its own in the gap to
            // its turn.
            let phase = if many { self.rng.random::<f64>() } else { 0.0 };
            let (number, s) = self.servers.entry(&line.name, || Live {
                name: line.name.clone(),
                since: line.since,
                sent_at: now,
                rested_at: f64::NEG_INFINITY,
                phase,
                kind: line.kind,
                ..Live::default()
            });
            self.rumors.listed(&line.name, line.health == Health::Up, line.since > s.since);
            if line.since > s.since {
                // A new life: what was learned of the former one no longer holds.
                (s.pace, s.usual, s.reported, s.fail, s.phase) = (None, 0.0, None, 0.0, phase);
                s.rested_at = f64::NEG_INFINITY;
            }
            // Of one that is gone the line has the name alone, and repeats of what is out there stay in its group.
            if line.health != Health::Gone {
                (s.zone, s.cell, s.size) = (line.zone, line.cell, line.size);
            }
            // A list that goes back in time makes nobody warm.
            (s.health, s.since) = (line.health, line.since.max(s.since));
            let since = s.since;
            match line.health {
                Health::Up => {
                    self.servers.up(number, line.zone, line.cell);
                    self.warming.insert(number, since);
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
        self.servers.down(number);
        self.warming.remove(number);
    }

    /// Forgets servers that are gone and have nothing out any more.
    fn forget_departed(&mut self) {
        let mut departed = std::mem::take(&mut self.departed);
        departed.retain(|number| {
            let Some(s) = self.servers.at(*number).filter(|s| s.health == Health::Gone) else { return false };
            let stays = !s.out.is_empty();
            if !stays {
                self.servers.remove(*number);
            }
            stays
        });
        self.departed = departed;
    }
}
