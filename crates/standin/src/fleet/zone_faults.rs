//! Faults by place: a zone's servers die and come back cold, fail or slow down, and zones are cut off from each other.

use super::Fleet;
use crate::formula_server::FormulaServer;
use crate::proxy::ProxyMode;
use std::sync::atomic::Ordering;

impl Fleet {
    /// The agents of a zone, by number.
    #[must_use]
    pub fn agents_in(&self, zone: usize) -> Vec<usize> {
        (0..self.agents.len()).filter(|k| self.agents[*k].zone == zone).collect()
    }

    /// The servers of a zone, by number.
    #[must_use]
    pub fn servers_in(&self, zone: usize) -> Vec<usize> {
        (0..self.cluster.servers.len()).filter(|k| k % 3 == zone).collect()
    }

    /// All servers of a zone die. Discovery does not know of it.
    pub fn kill_servers(&self, zone: usize) {
        self.servers_in(zone).into_iter().for_each(|k| self.cluster.servers[k].kill());
    }

    /// They are back as new processes, cold, and listed.
    ///
    /// # Errors
    /// When something can't listen.
    pub async fn restart_servers(&mut self, zone: usize) -> Result<(), String> {
        let ip = self.ip();
        for k in self.servers_in(zone) {
            let (uid, rack) = (self.cluster.servers[k].uid.clone(), self.cluster.racks[k % 3].clone());
            let formula = self.plan.cluster.formula.clone();
            let new = FormulaServer::start(&uid, ip, formula, rack, true).await.map_err(|e| e.to_string())?;
            for view in &mut self.cluster.zone_views {
                view.add_server(k, &new).await.map_err(|e| e.to_string())?;
            }
            let old = std::mem::replace(&mut self.cluster.servers[k], new);
            self.cluster.retired_servers.push(old);
        }
        Ok(())
    }

    /// The ways between a zone and all others: of those from its gatekeepers, and of those to its servers.
    pub fn set_zone_links(&self, zone: usize, out: ProxyMode, into: ProxyMode) {
        for (from, view) in self.cluster.zone_views.iter().enumerate() {
            for to in (0..3).filter(|to| *to != from) {
                if from == zone {
                    view.set_mode(to, out);
                } else if to == zone {
                    view.set_mode(to, into);
                }
            }
        }
    }

    /// A zone's servers take so many thousandths of their time, and so many of a thousand commands, or mixes, fail.
    pub fn degrade_servers(&self, zone: usize, slower_milli: u64, errors_milli: u64, mix_errors_milli: u64) {
        for k in self.servers_in(zone) {
            let faults = &self.cluster.servers[k].faults;
            faults.slower_milli.store(slower_milli, Ordering::Relaxed);
            faults.errors_milli.store(errors_milli, Ordering::Relaxed);
            faults.mix_errors_milli.store(mix_errors_milli, Ordering::Relaxed);
        }
    }

    /// Commands that a zone's servers have answered since they started.
    #[must_use]
    pub fn answered_by_zone(&self, zone: usize) -> u64 {
        self.servers_in(zone).into_iter().map(|k| self.cluster.servers[k].work_counts().1).sum()
    }

    /// How often each keyed mix took effect, over all servers that ever were.
    #[must_use]
    pub fn mixes_by_key(&self) -> std::collections::HashMap<String, u32> {
        let mut all = std::collections::HashMap::new();
        for server in self.cluster.servers.iter().chain(&self.cluster.retired_servers) {
            for (key, times) in server.ledger().mixes {
                *all.entry(key).or_default() += times;
            }
        }
        all
    }
}
