use super::*;
use proptest::prelude::*;

fn settings(gatekeepers: u32) -> Settings {
    let class = Class { target_ms: 400.0, worth: 1.0, ..Class::default() };
    Settings {
        gatekeepers,
        classes: vec![class],
        cold_capacity_share: 0.2,
        warm_up_ms: 10_000.0,
        ..Settings::default()
    }
}

#[test]
fn cores_at_half_are_a_third_more_time_and_a_count_stands_before_them() {
    let busy = LoadReport { cpu_utilization: Some(0.5), ..LoadReport::default() };
    assert!((slowdown(others(busy, 9.0).expect("told")) - 4.0 / 3.0).abs() < 1e-9);
    let both = LoadReport { in_flight: Some(7.0), ..busy };
    assert_eq!(others(both, 3.0), Some(4.0));
    assert_eq!(others(LoadReport { requests_per_second: Some(3.0), ..LoadReport::default() }, 0.0), None);
}

proptest! {
    /// Whatever answers come, all that is thought of a server stays finite and above nothing.
    #[test]
    fn what_is_learned_stays_in_bounds(
        gatekeepers in 1u32..200,
        seen in prop::collection::vec((0u8..8, 0.0..1e7f64, 0.0..1e4f64, 0.0..2.0f64, 0.0..1e4f64), 1..200),
    ) {
        let cfg = settings(gatekeepers);
        let mut fleet = FleetState { class_service_time_ms: vec![0.0], ..FleetState::default() };
        let mut s = ServerState { started_at: 1.0, ..ServerState::default() };
        let mut now = 0.0;
        for (how, latency, load, busy, ms) in seen {
            now += ms;
            let view = Estimator { fleet: &fleet, cfg: &cfg, servers: 3, now };
            let (service_time_ms, capacity_share) = (view.service_time_ms(&s), view.capacity_share(&s));
            let outcome = [
                AttemptOutcome::Ok, AttemptOutcome::Error, AttemptOutcome::Full, AttemptOutcome::Timeout, AttemptOutcome::Unreachable, AttemptOutcome::Reset,
                AttemptOutcome::Cancelled, AttemptOutcome::Moot,
            ][how as usize];
            fleet.record_attempt(&mut s, &AttemptObservation { now, outcome, latency, class: 0, load, service_time_ms, capacity_share, max_service_time_ms: 76.0 });
            fleet.record_load_report(&mut s, now, LoadReport { cpu_utilization: Some(busy), ..LoadReport::default() });
            let view = Estimator { fleet: &fleet, cfg: &cfg, servers: 3, now };
            let time = view.expected_latency_ms(&s, 0, view.mean_loads());
            prop_assert!(time.is_finite() && time >= 0.0, "{time}");
            prop_assert!((0.0..=2.0).contains(&view.excess_failure_rate(&s)) && (0.2..=1.0).contains(&view.capacity_share(&s)));
        }
    }
}
