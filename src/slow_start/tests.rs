use super::*;
use proptest::prelude::*;

const WITHIN: f64 = 4000.0;
const FROM: f64 = 0.25;

/// The same by a look at each server.
fn by_hand(servers: &[(u32, f64)], now: f64) -> ColdServers {
    let capacity_share = |since: f64| {
        if since <= 0.0 { 1.0 } else { FROM + (1.0 - FROM) * ((now - since) / WITHIN).clamp(0.0, 1.0) }
    };
    let cold: Vec<f64> =
        servers.iter().map(|(_, since)| capacity_share(*since)).filter(|w| *w < 1.0).collect();
    ColdServers { count: cold.len() as f64, capacity_share: cold.iter().sum() }
}

proptest! {
    #[test]
    fn the_sums_are_those_of_a_look_at_each(
        changes in prop::collection::vec((0u32..40, 0u32..9000, any::<bool>()), 1..200),
        start in 0u32..6000,
    ) {
        let (mut warming, mut servers) = (SlowStartServers::default(), Vec::new());
        let mut now = f64::from(start);
        for (number, since, up) in changes {
            servers.retain(|(other, _)| *other != number);
            warming.remove(number);
            if up {
                warming.insert(number, f64::from(since));
                servers.push((number, f64::from(since)));
            }
            now += 13.0;
            let (own, all) = (warming.cold_servers(now, FROM, WITHIN), by_hand(&servers, now));
            prop_assert_eq!(own.count, all.count);
            prop_assert!((own.capacity_share - all.capacity_share).abs() < 1e-6, "{:?} {:?}", own, all);
        }
    }
}

#[test]
fn nobody_is_cold_where_servers_start_warm() {
    let mut warming = SlowStartServers::default();
    warming.insert(1, 100.0);
    assert_eq!(warming.cold_servers(101.0, 1.0, WITHIN).count, 0.0);
    warming.insert(2, 100.0);
    assert_eq!(warming.cold_servers(101.0, FROM, 0.0).count, 0.0);
}
