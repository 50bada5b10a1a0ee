//! Connections between gatekeepers and servers: pools, servers' caps, and the handshakes that new ones cost.
//!
//! A connection carries one attempt at a time, as the real ones do. After an answer it rests in its gatekeeper's pool; an
//! attempt given up takes its connection with it. Connections that have rested too long are closed.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What an attempt goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// A connection that rested.
    Reused,
    /// A new one: a handshake comes first.
    New,
    /// The server holds as many as it may, and turns a new one away unread.
    Rejected,
}

/// Connections of one gatekeeper to one server.
#[derive(Default)]
struct Pool {
    busy: u32,
    /// Since when each resting one rests, the oldest first.
    rest: VecDeque<f64>,
}

/// All connections to one server.
#[derive(Default)]
struct Server {
    /// Grows with each end of its process.
    life: u32,
    open: u32,
    pools: FxHashMap<u32, Pool>,
}

impl Server {
    /// Closes what has rested since before this time.
    fn sweep(&mut self, before: f64) {
        let open = &mut self.open;
        self.pools.retain(|_, pool| {
            let old = pool.rest.iter().take_while(|since| **since < before).count();
            pool.rest.drain(..old);
            *open -= old as u32;
            pool.busy > 0 || !pool.rest.is_empty()
        });
    }
}

/// All connections.
pub(crate) struct ConnectionPools {
    /// A server holds so many at the most; 0 for any number.
    most: u32,
    idle_ms: f64,
    servers: Vec<Server>,
}

impl ConnectionPools {
    pub fn new(most: u32, idle_ms: f64) -> ConnectionPools {
        ConnectionPools { most, idle_ms, servers: Vec::new() }
    }

    /// A gatekeeper's attempt needs a connection to a server. Gives also the server's life it was made in.
    pub fn acquire(&mut self, now: f64, gatekeeper: u32, server: u32) -> (ConnectionUse, u32) {
        let (most, before) = (self.most, now - self.idle_ms);
        let k = server as usize;
        if self.servers.len() <= k {
            self.servers.resize_with(k + 1, Server::default);
        }
        let s = &mut self.servers[k];
        if let Some(pool) = s.pools.get_mut(&gatekeeper) {
            // The one used last, so that the others can grow old.
            if pool.rest.back().is_some_and(|since| *since >= before) {
                pool.rest.pop_back();
                pool.busy += 1;
                return (ConnectionUse::Reused, s.life);
            }
        }
        if most > 0 && s.open >= most {
            s.sweep(before);
            if s.open >= most {
                return (ConnectionUse::Rejected, s.life);
            }
        }
        s.open += 1;
        s.pools.entry(gatekeeper).or_default().busy += 1;
        (ConnectionUse::New, s.life)
    }

    /// An attempt has ended; its connection rests if it was answered, and is closed if it was given up.
    pub fn release(&mut self, now: f64, gatekeeper: u32, (server, life): (u32, u32), answered: bool) {
        // Of a life that has ended nothing is left to give back.
        let Some(s) = self.servers.get_mut(server as usize).filter(|s| s.life == life) else { return };
        let Some(pool) = s.pools.get_mut(&gatekeeper).filter(|p| p.busy > 0) else { return };
        pool.busy -= 1;
        if answered {
            pool.rest.push_back(now);
        } else {
            s.open -= 1;
        }
    }

    /// A gatekeeper's process has ended, and its connections with it.
    pub fn gatekeeper_ended(&mut self, gatekeeper: u32) {
        for s in &mut self.servers {
            if let Some(pool) = s.pools.remove(&gatekeeper) {
                s.open -= pool.busy + pool.rest.len() as u32;
            }
        }
    }

    /// A server's process has ended.
    pub fn server_ended(&mut self, server: u32) {
        if let Some(s) = self.servers.get_mut(server as usize) {
            *s = Server { life: s.life + 1, ..Server::default() };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn one_that_rests_is_taken_again_until_it_is_old() {
        let mut c = ConnectionPools::new(0, 100.0);
        assert_eq!(c.acquire(0.0, 1, 0).0, ConnectionUse::New);
        assert_eq!(c.acquire(0.0, 1, 0).0, ConnectionUse::New, "one attempt at a time");
        c.release(10.0, 1, (0, 0), true);
        c.release(10.0, 1, (0, 0), false);
        assert_eq!(c.servers[0].open, 1, "what was given up is closed");
        assert_eq!(c.acquire(110.0, 1, 0).0, ConnectionUse::Reused);
        c.release(110.0, 1, (0, 0), true);
        assert_eq!(c.acquire(211.0, 1, 0).0, ConnectionUse::New);
    }

    #[test]
    fn a_server_turns_away_past_its_cap_and_old_ones_make_room() {
        let mut c = ConnectionPools::new(2, 100.0);
        let took = [1, 2, 3].map(|k| c.acquire(0.0, k, 0).0);
        assert_eq!(took, [ConnectionUse::New, ConnectionUse::New, ConnectionUse::Rejected]);
        c.release(5.0, 1, (0, 0), true);
        assert_eq!(c.acquire(6.0, 3, 0).0, ConnectionUse::Rejected, "one that rests holds its place");
        assert_eq!(c.acquire(106.0, 3, 0).0, ConnectionUse::New, "until it is old");
        c.gatekeeper_ended(2);
        assert_eq!(c.servers[0].open, 1);
        c.server_ended(0);
        assert_eq!(c.servers[0].open, 0);
        assert_eq!(c.acquire(107.0, 3, 0), (ConnectionUse::New, 1));
        c.release(108.0, 3, (0, 0), false);
        assert_eq!(c.servers[0].open, 1, "what an ended life had is not given back to the next");
    }

    proptest! {
        /// Whatever happens: never more than the cap, and the count is the sum of what the pools hold.
        #[test]
        fn the_count_is_what_the_pools_hold_and_never_past_the_cap(
            steps in prop::collection::vec((0u8..4, 0u32..4, 0u32..2, any::<bool>(), 0.0f64..80.0), 1..200),
        ) {
            let mut c = ConnectionPools::new(3, 100.0);
            let (mut now, mut life) = (0.0, 0);
            for (what, gatekeeper, server, answered, pause) in steps {
                now += pause;
                match what {
                    0 | 1 => life = c.acquire(now, gatekeeper, server).1,
                    2 => c.release(now, gatekeeper, (server, life), answered),
                    _ if answered => c.gatekeeper_ended(gatekeeper),
                    _ => c.server_ended(server),
                }
                for s in &c.servers {
                    let held: u32 = s.pools.values().map(|p| p.busy + p.rest.len() as u32).sum();
                    prop_assert_eq!(s.open, held);
                    prop_assert!(s.open <= 3);
                }
            }
        }
    }
}
