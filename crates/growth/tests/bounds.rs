//! Runs a short day at the usual size and at sixteen times the servers on real processes, and checks the
//! operators' bounds.

use frostvale_growth::day::{DayPlan, run_day};
use frostvale_growth::report;
use frostvale_growth::table::{FleetSize, exceeded_rows};

#[tokio::test(flavor = "multi_thread")]
async fn gatekeeper_resources_stay_within_bounds_with_sixteen_times_the_servers() {
    let plan = DayPlan { seconds: 6, rate_per_gatekeeper: 30.0, release_fraction: 0.01, seed: 1 };
    let mut days = Vec::new();
    for servers in [200, 3200] {
        days.push(run_day(FleetSize { servers, gatekeepers: 4 }, plan).await.expect("a day"));
    }
    assert!(exceeded_rows(&days[0].figures, &days[1]).is_empty(), "{}", report::text(&days));
}
