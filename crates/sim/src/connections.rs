//! Connections between gatekeepers and servers: connection pools, the servers' limits, and handshakes.
//!
//! A connection carries one attempt at a time, as in the real gatekeeper. After an answer it is idle in its
//! gatekeeper's pool; a cancelled or timed-out attempt closes its connection. Connections that are idle too
//! long are closed.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// How an attempt gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// An idle connection is reused.
    Reused,
    /// A new connection is opened, which takes a handshake.
    New,
    /// The server is at its limit and rejects the new connection without reading from it.
    Rejected,
}

/// The connections of one gatekeeper to one server.
#[derive(Default)]
struct Pool {
    busy: u32,
    /// Start of the idle time of each idle connection, oldest first.
    idle_since: VecDeque<f64>,
}

/// All connections to one server.
#[derive(Default)]
struct Server {
    /// Incarnation; increases when the server's process ends.
    incarnation: u32,
    open: u32,
    pools: FxHashMap<u32, Pool>,
}

impl Server {
    /// Closes the connections that have been idle since before this time.
    fn close_idle(&mut self, before: f64) {
        let open = &mut self.open;
        self.pools.retain(|_, pool| {
            let old = pool.idle_since.iter().take_while(|since| **since < before).count();
            pool.idle_since.drain(..old);
            *open -= old as u32;
            pool.busy > 0 || !pool.idle_since.is_empty()
        });
    }
}

/// All connections of the fleet.
pub(crate) struct ConnectionPools {
    /// Maximum number of connections per server; 0 means no limit.
    max_per_server: u32,
    idle_ms: f64,
    servers: Vec<Server>,
}

impl ConnectionPools {
    pub fn new(max_per_server: u32, idle_ms: f64) -> ConnectionPools {
        ConnectionPools { max_per_server, idle_ms, servers: Vec::new() }
    }

    /// Acquires a connection from a gatekeeper to a server; also returns the server's incarnation.
    pub fn acquire(&mut self, now: f64, gatekeeper: u32, server: u32) -> (ConnectionUse, u32) {
        let (max_per_server, before) = (self.max_per_server, now - self.idle_ms);
        let k = server as usize;
        if self.servers.len() <= k {
            self.servers.resize_with(k + 1, Server::default);
        }
        let s = &mut self.servers[k];
        if let Some(pool) = s.pools.get_mut(&gatekeeper) {
            // Takes the most recently used one, so that the others can reach the idle timeout.
            if pool.idle_since.back().is_some_and(|since| *since >= before) {
                pool.idle_since.pop_back();
                pool.busy += 1;
                return (ConnectionUse::Reused, s.incarnation);
            }
        }
        if max_per_server > 0 && s.open >= max_per_server {
            s.close_idle(before);
            if s.open >= max_per_server {
                return (ConnectionUse::Rejected, s.incarnation);
            }
        }
        s.open += 1;
        s.pools.entry(gatekeeper).or_default().busy += 1;
        (ConnectionUse::New, s.incarnation)
    }

    /// Releases an attempt's connection: it becomes idle if the attempt was answered, and is closed
    /// otherwise.
    pub fn release(&mut self, now: f64, gatekeeper: u32, (server, incarnation): (u32, u32), answered: bool) {
        // Connections of an earlier incarnation are closed already.
        let Some(s) = self.servers.get_mut(server as usize).filter(|s| s.incarnation == incarnation) else {
            return;
        };
        let Some(pool) = s.pools.get_mut(&gatekeeper).filter(|p| p.busy > 0) else { return };
        pool.busy -= 1;
        if answered {
            pool.idle_since.push_back(now);
        } else {
            s.open -= 1;
        }
    }

    /// Closes all connections of a gatekeeper whose process has ended.
    pub fn gatekeeper_ended(&mut self, gatekeeper: u32) {
        for s in &mut self.servers {
            if let Some(pool) = s.pools.remove(&gatekeeper) {
                s.open -= pool.busy + pool.idle_since.len() as u32;
            }
        }
    }

    /// Closes all connections of a server whose process has ended, and begins its next incarnation.
    pub fn server_ended(&mut self, server: u32) {
        if let Some(s) = self.servers.get_mut(server as usize) {
            *s = Server { incarnation: s.incarnation + 1, ..Server::default() };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn idle_connection_is_reused_until_the_idle_timeout() {
        let mut c = ConnectionPools::new(0, 100.0);
        assert_eq!(c.acquire(0.0, 1, 0).0, ConnectionUse::New);
        assert_eq!(c.acquire(0.0, 1, 0).0, ConnectionUse::New, "one attempt at a time");
        c.release(10.0, 1, (0, 0), true);
        c.release(10.0, 1, (0, 0), false);
        assert_eq!(c.servers[0].open, 1, "a connection without an answer is closed");
        assert_eq!(c.acquire(110.0, 1, 0).0, ConnectionUse::Reused);
        c.release(110.0, 1, (0, 0), true);
        assert_eq!(c.acquire(211.0, 1, 0).0, ConnectionUse::New);
    }

    #[test]
    fn server_rejects_connections_at_its_limit_until_idle_ones_expire() {
        let mut c = ConnectionPools::new(2, 100.0);
        let took = [1, 2, 3].map(|k| c.acquire(0.0, k, 0).0);
        assert_eq!(took, [ConnectionUse::New, ConnectionUse::New, ConnectionUse::Rejected]);
        c.release(5.0, 1, (0, 0), true);
        assert_eq!(c.acquire(6.0, 3, 0).0, ConnectionUse::Rejected, "an idle connection counts");
        assert_eq!(c.acquire(106.0, 3, 0).0, ConnectionUse::New, "until the idle timeout");
        c.gatekeeper_ended(2);
        assert_eq!(c.servers[0].open, 1);
        c.server_ended(0);
        assert_eq!(c.servers[0].open, 0);
        assert_eq!(c.acquire(107.0, 3, 0), (ConnectionUse::New, 1));
        c.release(108.0, 3, (0, 0), false);
        assert_eq!(c.servers[0].open, 1, "a release of an earlier incarnation changes nothing");
    }

    proptest! {
        /// After any sequence of operations, the count is within the limit and equals the sum over the pools.
        #[test]
        fn count_equals_the_pools_and_stays_within_the_limit(
            steps in prop::collection::vec((0u8..4, 0u32..4, 0u32..2, any::<bool>(), 0.0f64..80.0), 1..200),
        ) {
            let mut c = ConnectionPools::new(3, 100.0);
            let (mut now, mut incarnation) = (0.0, 0);
            for (what, gatekeeper, server, answered, pause) in steps {
                now += pause;
                match what {
                    0 | 1 => incarnation = c.acquire(now, gatekeeper, server).1,
                    2 => c.release(now, gatekeeper, (server, incarnation), answered),
                    _ if answered => c.gatekeeper_ended(gatekeeper),
                    _ => c.server_ended(server),
                }
                for s in &c.servers {
                    let held: u32 = s.pools.values().map(|p| p.busy + p.idle_since.len() as u32).sum();
                    prop_assert_eq!(s.open, held);
                    prop_assert!(s.open <= 3);
                }
            }
        }
    }
}
