use super::*;

/// The settings name the columns in full, and answers use these names: read by the short ones alone, no report of a
/// server was ever heard.
#[test]
fn a_report_is_read_by_either_form_of_its_names() {
    let told = Report { in_flight: Some(7.0), busy: Some(0.45), served: Some(2.5) };
    assert_eq!(report(b"outstanding=7,utilization=0.45,throughput=2.5"), Some(told));
    assert_eq!(report(b"inflight=7,util=0.45,qps=2.5"), Some(told));
    let spoilt = report(b"utilization=NaN,throughput=-1,outstanding=9e999,x,=,utilization");
    assert_eq!(spoilt, None, "what can't be read is no report");
}
