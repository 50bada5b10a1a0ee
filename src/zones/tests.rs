use super::*;
use rand::SeedableRng;

fn share(start: f64, end: f64) -> ZoneShare {
    ZoneShare { start, end }
}

fn snapshot(local: f64, spill: &[(u32, f64)]) -> RoutingSnapshot {
    RoutingSnapshot {
        local: share(local, local),
        spill: spill.iter().map(|(z, p)| (*z, share(*p, *p))).collect(),
        hold_ms: 1000.0,
        fade_ms: 1000.0,
        ..RoutingSnapshot::default()
    }
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(3)
}

#[test]
fn attempts_follow_the_zone_shares() {
    let (mut zones, mut rng) = (ZoneRouting::new(0, 1), rng());
    zones.apply_snapshot(0.0, snapshot(0.5, &[(1, 0.3), (2, 0.2)]));
    let mut sent = [0_u32; 3];
    for k in 0..1000 {
        let now = f64::from(k) * 0.1;
        assert!(!zones.should_refuse(now, (0, 0), 1.0, &mut rng));
        let first = zones.candidate_zones(now, None, &mut rng).expect("a snapshot applies")[0];
        zones.record_sent(first);
        sent[first as usize] += 1;
    }
    assert!(
        sent[0].abs_diff(500) < 10 && sent[1].abs_diff(300) < 10 && sent[2].abs_diff(200) < 10,
        "{sent:?}"
    );
}

#[test]
fn requests_beyond_all_zones_capacity_are_refused_by_tier() {
    let (mut zones, mut rng) = (ZoneRouting::new(0, 2), rng());
    zones.apply_snapshot(0.0, snapshot(0.6, &[]));
    let mut refused = [0_u32, 0];
    for k in 0..4000 {
        let tier = k % 2;
        refused[tier] += u32::from(zones.should_refuse(1.0, (tier, 0), 1.0, &mut rng));
    }
    // Two tiers have the same demand and six in ten requests are accepted: all of the higher tier, a fifth of
    // the lower.
    assert!(refused[0] < 40 && refused[1].abs_diff(1600) < 80, "{refused:?}");
}

#[test]
fn snapshot_holds_and_then_fades_when_not_renewed() {
    let (mut zones, mut rng) = (ZoneRouting::new(0, 1), rng());
    zones.apply_snapshot(0.0, snapshot(0.0, &[(1, 1.0)]));
    let mut count_routed = |zones: &mut ZoneRouting, now: f64| {
        (0..200).filter(|_| zones.candidate_zones(now, None, &mut rng).is_some()).count()
    };
    assert_eq!(count_routed(&mut zones, 1000.0), 200);
    assert!(count_routed(&mut zones, 1500.0).abs_diff(100) < 30);
    zones.apply_snapshot(1500.0, snapshot(0.0, &[(1, 1.0)]));
    assert_eq!(count_routed(&mut zones, 2400.0), 200, "renewed");
    assert_eq!(count_routed(&mut zones, 3501.0), 0);
}

/// The zone's agent failed together with the zone, so no new snapshot arrives. The gatekeeper has to act on
/// the failures that it observes itself, long before the snapshot has faded.
#[test]
fn snapshot_is_overridden_when_the_local_zone_fails() {
    let (mut zones, mut rng) = (ZoneRouting::new(0, 1), rng());
    zones.apply_snapshot(0.0, snapshot(1.0, &[(1, 0.3)]));
    let result = |outcome| AttemptResult {
        id: 1,
        attempt: 0,
        server: "s".into(),
        outcome,
        latency: 1.0,
        is_final: false,
        metered: None,
        units: None,
        load_report: None,
    };
    let mut count_routed = |zones: &mut ZoneRouting, now: f64| {
        (0..200).filter(|_| zones.candidate_zones(now, None, &mut rng).is_some()).count()
    };
    assert_eq!(count_routed(&mut zones, 0.0), 200);
    for _ in 0..30 {
        zones.record_result(10.0, (1, 0, 1.0), &result(AttemptOutcome::Unreachable), (50.0, 400.0));
    }
    assert_eq!(count_routed(&mut zones, 10.0), 200, "failures of another zone do not count");
    for _ in 0..30 {
        zones.record_result(10.0, (0, 0, 1.0), &result(AttemptOutcome::Unreachable), (50.0, 400.0));
    }
    assert!(count_routed(&mut zones, 10.0) < 40);
}

/// 300 gatekeepers receive at once that their zone is out. The attempts that probe it have to be spread over
/// their next requests, and attempts that follow a failure in another zone are not sent there.
#[test]
fn failed_zone_is_probed_by_few_first_attempts_spread_over_time() {
    let mut rng = rng();
    let mut probes = [0_u32; 50];
    for _ in 0..300 {
        let mut zones = ZoneRouting::new(0, 1);
        zones.apply_snapshot(0.0, RoutingSnapshot { hold_ms: 1e6, ..snapshot(0.02, &[(1, 1.0)]) });
        for (k, probes) in probes.iter_mut().enumerate() {
            let now = k as f64;
            zones.should_refuse(now, (0, 0), 1.0, &mut rng);
            let after = zones.candidate_zones(now, Some(1), &mut rng).expect("a snapshot applies");
            assert!(!after.contains(&0), "{after:?}");
            let first = zones.candidate_zones(now, None, &mut rng).expect("a snapshot applies")[0];
            zones.record_sent(first);
            *probes += u32::from(first == 0);
        }
    }
    let all: u32 = probes.iter().sum();
    assert!(all.abs_diff(300) < 20 && probes.iter().all(|t| *t < 30), "{probes:?}");
}

/// When waiting times counted as demand, a host short of CPU time reported, on the loss of a zone, 2.6 times
/// the concurrency that it required, and two thirds of its requests were refused for lack of capacity.
#[test]
fn required_concurrency_excludes_waiting_time() {
    let (mut zones, mut rng) = (ZoneRouting::new(0, 1), rng());
    zones.set_observing(0.0, true);
    let record_ok = |zones: &mut ZoneRouting, k: u32, latency: f64| {
        let (server, outcome) = ("s".into(), AttemptOutcome::Ok);
        let (metered, units, load_report) = (None, None, None);
        let result = AttemptResult {
            id: 1,
            attempt: 0,
            server,
            outcome,
            latency,
            is_final: false,
            metered,
            units,
            load_report,
        };
        zones.record_result(f64::from(k), (0, 0, 1.0), &result, (100.0, 400.0));
    };
    // Half of the answers include a wait, and take 2 to 10 times the service time.
    for k in 0..400 {
        record_ok(
            &mut zones,
            k,
            if k % 2 == 0 { 20.0 + f64::from(k % 3) } else { 40.0 + f64::from(k % 160) },
        );
    }
    zones.take_observation(400.0);
    for k in 0..100 {
        zones.should_refuse(400.0 + f64::from(k) * 10.0, (0, 0), 100.0, &mut rng);
    }
    let required = zones.take_observation(1400.0).required_concurrency;
    // 100 requests in a second of 20 to 22 ms each.
    assert!((1.9..3.0).contains(&required), "{required}");
}

#[test]
fn ramp_starts_when_the_snapshot_was_decided() {
    let (mut zones, mut rng) = (ZoneRouting::new(0, 1), rng());
    let ramp = RoutingSnapshot {
        local: share(0.0, 1.0),
        ramp_ms: 1000.0,
        age_ms: 900.0,
        hold_ms: 1e6,
        ..snapshot(0.0, &[(1, 1.0)])
    };
    zones.apply_snapshot(5000.0, ramp.clone());
    // The same snapshot with a later age renews it; the ramp does not start again.
    zones.apply_snapshot(5050.0, RoutingSnapshot { age_ms: 950.0, ..ramp });
    for _ in 0..20 {
        zones.should_refuse(5050.0, (0, 0), 1.0, &mut rng);
    }
    assert_eq!(zones.candidate_zones(5050.0, None, &mut rng).expect("a snapshot applies")[0], 0);
    assert_eq!(
        zones.candidate_zones(5101.0, Some(0), &mut rng).expect("a snapshot applies"),
        [1, 0],
        "the zone where it failed comes last"
    );
}

#[test]
fn invalid_snapshots_change_nothing() {
    let mut zones = ZoneRouting::new(0, 1);
    let valid = snapshot(1.0, &[(1, 0.3)]);
    for invalid in [
        RoutingSnapshot { local: share(f64::NAN, 1.0), ..valid.clone() },
        RoutingSnapshot { local: share(0.0, 1.1), ..valid.clone() },
        RoutingSnapshot { ramp_ms: -1.0, ..valid.clone() },
        RoutingSnapshot { fade_ms: f64::INFINITY, ..valid.clone() },
        snapshot(1.0, &[(1, 0.3), (1, 0.2)]),
        snapshot(1.0, &[(0, 0.3)]),
    ] {
        zones.apply_snapshot(0.0, invalid);
        assert!(zones.active.is_none());
    }
}
