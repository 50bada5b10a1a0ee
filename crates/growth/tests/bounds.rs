//! A short day at the usual size and at sixteen times the servers, on real processes, against the operators' bounds.

use frostvale_growth::day::{DayPlan, play_day};
use frostvale_growth::report;
use frostvale_growth::table::{FleetSize, broken};

#[tokio::test(flavor = "multi_thread")]
async fn what_a_gatekeeper_needs_before_sixteen_times_the_servers_keeps_its_bounds() {
    let plan = DayPlan { seconds: 6, rate_each: 30.0, release_part: 0.01, seed: 1 };
    let mut days = Vec::new();
    for servers in [200, 3200] {
        days.push(play_day(FleetSize { servers, gatekeepers: 4 }, plan).await.expect("a day"));
    }
    assert!(broken(&days[0].figures, &days[1]).is_empty(), "{}", report::text(&days));
}
