//! Fault injection by zone: the servers of a zone are killed and restarted cold, return errors or slow down,
//! and zones are cut off from each other.

use super::Fleet;
use crate::formula_server::FormulaServer;
use crate::proxy::ProxyMode;
use std::sync::atomic::Ordering;

impl Fleet {
    /// Returns the numbers of the agents of a zone.
    #[must_use]
    pub fn agents_in(&self, zone: usize) -> Vec<usize> {
        (0..self.agents.len()).filter(|k| self.agents[*k].zone == zone).collect()
    }

    /// Returns the numbers of the formula servers of a zone.
    #[must_use]
    pub fn servers_in(&self, zone: usize) -> Vec<usize> {
        (0..self.cluster.servers.len()).filter(|k| k % 3 == zone).collect()
    }

    /// Kills all formula servers of a zone. Discovery continues to list them.
    pub fn kill_servers(&self, zone: usize) {
        self.servers_in(zone).into_iter().for_each(|k| self.cluster.servers[k].kill());
    }

    /// Replaces all formula servers of a zone by new, cold ones, which discovery lists.
    ///
    /// # Errors
    /// When a server or its proxy cannot listen.
    pub async fn restart_servers(&mut self, zone: usize) -> Result<(), String> {
        let ip = self.ip();
        for k in self.servers_in(zone) {
            let (uid, rack) = (self.cluster.servers[k].uid.clone(), self.cluster.racks[k % 3].clone());
            let formula = self.options.cluster.formula.clone();
            let new = FormulaServer::start(&uid, ip, formula, rack, true).await.map_err(|e| e.to_string())?;
            for view in &mut self.cluster.zone_views {
                view.add_server(k, &new).await.map_err(|e| e.to_string())?;
            }
            let old = std::mem::replace(&mut self.cluster.servers[k], new);
            self.cluster.retired_servers.push(old);
        }
        Ok(())
    }

    /// Sets the mode of the paths between a zone and all other zones: `out` for the paths from its
    /// gatekeepers to servers elsewhere, `into` for the paths from gatekeepers elsewhere to its servers.
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

    /// Degrades the servers of a zone. `slower_milli` is the service time in thousandths of the usual one (0:
    /// unchanged); of 1,000 commands `errors_milli` fail, and of 1,000 keyed mixes `mix_errors_milli`, if
    /// that is more.
    pub fn degrade_servers(&self, zone: usize, slower_milli: u64, errors_milli: u64, mix_errors_milli: u64) {
        for k in self.servers_in(zone) {
            let faults = &self.cluster.servers[k].faults;
            faults.slower_milli.store(slower_milli, Ordering::Relaxed);
            faults.errors_milli.store(errors_milli, Ordering::Relaxed);
            faults.mix_errors_milli.store(mix_errors_milli, Ordering::Relaxed);
        }
    }

    /// Returns the number of commands that the present servers of a zone have completed since they started.
    #[must_use]
    pub fn answered_by_zone(&self, zone: usize) -> u64 {
        self.servers_in(zone).into_iter().map(|k| self.cluster.servers[k].work_counts().1).sum()
    }

    /// Returns how often each keyed mix took effect, by key, over all present and retired servers.
    #[must_use]
    pub fn mixes_by_key(&self) -> std::collections::HashMap<String, u32> {
        let mut mixes_by_key = std::collections::HashMap::new();
        for server in self.cluster.servers.iter().chain(&self.cluster.retired_servers) {
            for (key, times) in server.ledger().mixes {
                *mixes_by_key.entry(key).or_default() += times;
            }
        }
        mixes_by_key
    }
}
