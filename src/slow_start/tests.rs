use super::*;
use proptest::prelude::*;

const WARM_UP_MS: f64 = 4000.0;
const COLD_CAPACITY_SHARE: f64 = 0.25;

/// The same result, computed from each server in turn.
fn cold_servers_by_scan(servers: &[(u32, f64)], now: f64) -> ColdServers {
    let capacity_share = |started_at: f64| {
        if started_at <= 0.0 {
            1.0
        } else {
            COLD_CAPACITY_SHARE
                + (1.0 - COLD_CAPACITY_SHARE) * ((now - started_at) / WARM_UP_MS).clamp(0.0, 1.0)
        }
    };
    let cold: Vec<f64> = servers
        .iter()
        .map(|(_, started_at)| capacity_share(*started_at))
        .filter(|share| *share < 1.0)
        .collect();
    ColdServers { count: cold.len() as f64, capacity_share: cold.iter().sum() }
}

proptest! {
    #[test]
    fn cold_servers_match_a_scan_of_all_servers(
        changes in prop::collection::vec((0u32..40, 0u32..9000, any::<bool>()), 1..200),
        start in 0u32..6000,
    ) {
        let (mut slow_start, mut servers) = (SlowStartServers::default(), Vec::new());
        let mut now = f64::from(start);
        for (number, started_at, up) in changes {
            servers.retain(|(other, _)| *other != number);
            slow_start.remove(number);
            if up {
                slow_start.insert(number, f64::from(started_at));
                servers.push((number, f64::from(started_at)));
            }
            now += 13.0;
            let (indexed, scanned) = (
                slow_start.cold_servers(now, COLD_CAPACITY_SHARE, WARM_UP_MS),
                cold_servers_by_scan(&servers, now),
            );
            prop_assert_eq!(indexed.count, scanned.count);
            prop_assert!(
                (indexed.capacity_share - scanned.capacity_share).abs() < 1e-6,
                "{:?} {:?}", indexed, scanned
            );
        }
    }
}

#[test]
fn no_server_is_cold_when_servers_start_warm() {
    let mut slow_start = SlowStartServers::default();
    slow_start.insert(1, 100.0);
    assert_eq!(slow_start.cold_servers(101.0, 1.0, WARM_UP_MS).count, 0.0);
    slow_start.insert(2, 100.0);
    assert_eq!(slow_start.cold_servers(101.0, COLD_CAPACITY_SHARE, 0.0).count, 0.0);
}
