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
fn other_requests_prefers_in_flight_count_over_cpu_utilization() {
    let busy = LoadReport { cpu_utilization: Some(0.5), ..LoadReport::default() };
    assert!(
        (latency_factor(other_requests(busy, 9.0).expect("load from CPU utilization")) - 4.0 / 3.0).abs()
            < 1e-9
    );
    let both = LoadReport { in_flight: Some(7.0), ..busy };
    assert_eq!(other_requests(both, 3.0), Some(4.0));
    assert_eq!(
        other_requests(LoadReport { requests_per_second: Some(3.0), ..LoadReport::default() }, 0.0),
        None
    );
}

proptest! {
    /// The estimates for a server stay finite and nonnegative for any sequence of outcomes and load reports.
    #[test]
    fn estimates_stay_in_bounds_after_any_attempts(
        gatekeepers in 1u32..200,
        attempts in prop::collection::vec(
            (0u8..8, 0.0..1e7f64, 0.0..1e4f64, 0.0..2.0f64, 0.0..1e4f64),
            1..200,
        ),
    ) {
        let cfg = settings(gatekeepers);
        let mut fleet = FleetState { class_service_time_ms: vec![0.0], ..FleetState::default() };
        let mut server = ServerState { started_at: 1.0, ..ServerState::default() };
        let mut now = 0.0;
        for (outcome_index, latency, load, utilization, elapsed_ms) in attempts {
            now += elapsed_ms;
            let estimator = Estimator { fleet: &fleet, cfg: &cfg, servers: 3, now };
            let (service_time_ms, capacity_share) =
                (estimator.service_time_ms(&server), estimator.capacity_share(&server));
            let outcome = [
                AttemptOutcome::Ok, AttemptOutcome::Error, AttemptOutcome::Full, AttemptOutcome::Timeout,
                AttemptOutcome::Unreachable, AttemptOutcome::Reset, AttemptOutcome::Cancelled,
                AttemptOutcome::Moot,
            ][outcome_index as usize];
            fleet.record_attempt(
                &mut server,
                &AttemptObservation {
                    now,
                    outcome,
                    latency,
                    class: 0,
                    load,
                    service_time_ms,
                    capacity_share,
                    max_service_time_ms: 76.0,
                },
            );
            fleet.record_load_report(
                &mut server,
                now,
                LoadReport { cpu_utilization: Some(utilization), ..LoadReport::default() },
            );
            let estimator = Estimator { fleet: &fleet, cfg: &cfg, servers: 3, now };
            let latency_ms = estimator.expected_latency_ms(&server, 0, estimator.mean_loads());
            prop_assert!(latency_ms.is_finite() && latency_ms >= 0.0, "{latency_ms}");
            prop_assert!(
                (0.0..=2.0).contains(&estimator.excess_failure_rate(&server))
                    && (0.2..=1.0).contains(&estimator.capacity_share(&server))
            );
        }
    }
}
