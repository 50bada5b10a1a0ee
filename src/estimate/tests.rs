use super::*;
use proptest::prelude::*;

fn settings(gateways: u32) -> Settings {
    let class = Class { aim: 400.0, worth: 1.0, ..Class::default() };
    Settings { gateways, classes: vec![class], cold_from: 0.2, warm_within: 10_000.0, ..Settings::default() }
}

#[test]
fn cores_at_half_are_a_third_more_time_and_a_count_stands_before_them() {
    let busy = Report { busy: Some(0.5), ..Report::default() };
    assert!((slowdown(others(busy, 9.0).expect("told")) - 4.0 / 3.0).abs() < 1e-9);
    let both = Report { in_flight: Some(7.0), ..busy };
    assert_eq!(others(both, 3.0), Some(4.0));
    assert_eq!(others(Report { served: Some(3.0), ..Report::default() }, 0.0), None);
}

proptest! {
    /// Whatever answers come, all that is thought of a server stays finite and above nothing.
    #[test]
    fn what_is_learned_stays_in_bounds(
        gateways in 1u32..200,
        seen in prop::collection::vec((0u8..8, 0.0..1e7f64, 0.0..1e4f64, 0.0..2.0f64, 0.0..1e4f64), 1..200),
    ) {
        let cfg = settings(gateways);
        let mut fleet = Fleet { class_pace: vec![0.0], ..Fleet::default() };
        let mut s = Live { since: 1.0, ..Live::default() };
        let mut now = 0.0;
        for (how, latency, load, busy, ms) in seen {
            now += ms;
            let view = View { fleet: &fleet, cfg: &cfg, servers: 3, now };
            let (pace, warmth) = (view.pace(&s), view.warmth(&s));
            let ending = [
                Ending::Ok, Ending::Error, Ending::Full, Ending::Timeout, Ending::Unreachable, Ending::Reset,
                Ending::Cancelled, Ending::Moot,
            ][how as usize];
            fleet.learn(&mut s, &Seen { now, ending, latency, class: 0, load, pace, warmth, roomy: 76.0 });
            fleet.told(&mut s, now, Report { busy: Some(busy), ..Report::default() });
            let view = View { fleet: &fleet, cfg: &cfg, servers: 3, now };
            let time = view.foreseen(&s, 0, view.means());
            prop_assert!(time.is_finite() && time >= 0.0, "{time}");
            prop_assert!((0.0..=2.0).contains(&view.failing(&s)) && (0.2..=1.0).contains(&view.warmth(&s)));
        }
    }
}
