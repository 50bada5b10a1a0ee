use super::*;
use std::time::Duration;

#[test]
fn intake_limit_admits_a_burst_and_then_its_rate() {
    let start = Instant::now();
    let mut limit = IntakeLimit::new(60.0, start);
    assert_eq!((0..1000).filter(|_| limit.admit(start)).count(), 60);
    let admitted = (1..=1000u64).filter(|ms| limit.admit(start + Duration::from_millis(*ms))).count();
    assert!((59..=60).contains(&admitted), "{admitted}");
}
