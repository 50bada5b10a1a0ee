//! Discovery as each zone sees it: every server stands behind a gate of that zone's own, so that the ways from one zone to
//! another can be cut, held or slowed by direction.

use crate::discovery::{Discovery, Target};
use crate::formula_server::FormulaServer;
use crate::proxy::{Proxy, ProxyMode};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// The zones' names: gatekeepers, servers and agents are dealt over them by turns.
pub const ZONES: [&str; 3] = ["room-a", "room-b", "room-c"];

/// A server as discovery lists it, the k-th of the town.
pub(super) fn target(server: &FormulaServer, k: usize) -> Target {
    Target {
        endpoint: server.at,
        zone: ZONES[k % 3].to_string(),
        rack: u32::try_from(k % 3).unwrap_or(0),
        state: "ready".into(),
        boot_ms: server.boot_ms,
    }
}

/// What one zone's gatekeepers see.
pub struct ZoneView {
    /// The list that they are told.
    pub discovery: Discovery,
    ip: IpAddr,
    gates: Vec<Proxy>,
}

impl ZoneView {
    /// One for each zone.
    ///
    /// # Errors
    /// When something can't listen.
    pub async fn all(ip: IpAddr, servers: &[FormulaServer]) -> io::Result<Vec<ZoneView>> {
        let mut views = Vec::new();
        for _ in ZONES {
            let mut view = ZoneView { discovery: Discovery::start(ip).await?, ip, gates: Vec::new() };
            for (k, server) in servers.iter().enumerate() {
                view.add_server(k, server).await?;
            }
            views.push(view);
        }
        Ok(views)
    }

    /// Lists a server, or the new process that took its place.
    ///
    /// # Errors
    /// When its gate can't listen.
    pub async fn add_server(&mut self, k: usize, server: &FormulaServer) -> io::Result<()> {
        let (gate, at) = Proxy::tcp(self.ip, server.at).await?;
        let target = Target { endpoint: at, ..target(server, k) };
        self.discovery.set(&server.uid, target);
        match self.gates.get_mut(k) {
            Some(old) => *old = gate,
            None => self.gates.push(gate),
        }
        Ok(())
    }

    /// Sets the ways to a zone's servers.
    pub fn set_mode(&self, zone: usize, way: ProxyMode) {
        self.gates.iter().enumerate().filter(|(k, _)| k % 3 == zone).for_each(|(_, gate)| gate.set_mode(way));
    }

    /// Bytes that have gone to a zone's servers.
    #[must_use]
    pub fn forwarded_bytes(&self, zone: usize) -> u64 {
        self.gates
            .iter()
            .enumerate()
            .filter(|(k, _)| k % 3 == zone)
            .map(|(_, gate)| gate.forwarded_bytes())
            .sum()
    }
}

/// Where the k-th gatekeeper asks.
pub(super) fn discovery_address(views: &[ZoneView], k: usize, all: &Discovery) -> SocketAddr {
    views.get(k % 3).map_or(all.at, |v| v.discovery.at)
}
