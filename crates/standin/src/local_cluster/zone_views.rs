//! Discovery as each zone sees it. Each zone has its own proxy in front of every formula server, so that the
//! paths from one zone to another can be cut, held or slowed separately for each direction.

use crate::discovery::{Discovery, Target};
use crate::formula_server::FormulaServer;
use crate::proxy::{Proxy, ProxyMode};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Names of the zones. Gatekeepers, servers and agents are assigned to them round-robin.
pub const ZONES: [&str; 3] = ["room-a", "room-b", "room-c"];

/// Returns the discovery entry of the formula server number `k`.
pub(super) fn target(server: &FormulaServer, k: usize) -> Target {
    Target {
        endpoint: server.at,
        zone: ZONES[k % 3].to_string(),
        rack: u32::try_from(k % 3).unwrap_or(0),
        state: "ready".into(),
        boot_ms: server.boot_ms,
    }
}

/// The discovery and the server proxies of one zone's gatekeepers.
pub struct ZoneView {
    /// Discovery of this zone; it lists the addresses of the proxies.
    pub discovery: Discovery,
    ip: IpAddr,
    /// One proxy for each formula server, by server number.
    proxies: Vec<Proxy>,
}

impl ZoneView {
    /// Creates the view of each zone, with all `servers`.
    ///
    /// # Errors
    /// When a discovery or a proxy cannot listen.
    pub async fn all(ip: IpAddr, servers: &[FormulaServer]) -> io::Result<Vec<ZoneView>> {
        let mut views = Vec::new();
        for _ in ZONES {
            let mut view = ZoneView { discovery: Discovery::start(ip).await?, ip, proxies: Vec::new() };
            for (k, server) in servers.iter().enumerate() {
                view.add_server(k, server).await?;
            }
            views.push(view);
        }
        Ok(views)
    }

    /// Adds the formula server number `k` behind a new proxy, or replaces the server and proxy of that
    /// number.
    ///
    /// # Errors
    /// When the proxy cannot listen.
    pub async fn add_server(&mut self, k: usize, server: &FormulaServer) -> io::Result<()> {
        let (proxy, at) = Proxy::tcp(self.ip, server.at).await?;
        let target = Target { endpoint: at, ..target(server, k) };
        self.discovery.set(&server.uid, target);
        match self.proxies.get_mut(k) {
            Some(old) => *old = proxy,
            None => self.proxies.push(proxy),
        }
        Ok(())
    }

    /// Sets the mode of the paths from this view's zone to the servers of `zone`.
    pub fn set_mode(&self, zone: usize, mode: ProxyMode) {
        self.proxies
            .iter()
            .enumerate()
            .filter(|(k, _)| k % 3 == zone)
            .for_each(|(_, proxy)| proxy.set_mode(mode));
    }

    /// Returns the bytes that were forwarded to the servers of `zone`.
    #[must_use]
    pub fn forwarded_bytes(&self, zone: usize) -> u64 {
        self.proxies
            .iter()
            .enumerate()
            .filter(|(k, _)| k % 3 == zone)
            .map(|(_, proxy)| proxy.forwarded_bytes())
            .sum()
    }
}

/// Returns the discovery address for the gatekeeper number `k`: that of its zone's view, or of
/// `default_discovery` when there are no views.
pub(super) fn discovery_address(views: &[ZoneView], k: usize, default_discovery: &Discovery) -> SocketAddr {
    views.get(k % 3).map_or(default_discovery.at, |v| v.discovery.at)
}
