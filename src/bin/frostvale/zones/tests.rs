use super::*;
use frostvale_link::proto::ZoneSpill;

#[test]
fn rows_are_read_by_name_and_errors_name_the_fault() {
    let areas: Vec<String> = ["a", "b", "c"].map(String::from).into();
    let spill = |to: &str, milli: u32| ZoneSpill { to: to.into(), start_milli: milli, end_milli: milli };
    let row = |from: &str, near: u32, spill: Vec<ZoneSpill>| ZoneRow {
        from: from.into(),
        near_start_milli: near,
        near_end_milli: 1000,
        spill,
    };
    let decision =
        |rows: Vec<ZoneRow>| ZonesGuide { ramp_ms: 100, hold_ms: 1000, rows, ..ZonesGuide::default() };
    let valid = decision(vec![row("a", 0, vec![]), row("b", 200, vec![spill("c", 300), spill("a", 0)])]);
    let guide = routing_snapshot(&areas, 1, &valid).expect("valid");
    assert_eq!((guide.local, guide.ramp_ms), (ZoneShare { start: 0.2, end: 1.0 }, 100.0));
    assert_eq!(guide.spill[0], (2, ZoneShare { start: 0.3, end: 0.3 }));
    let bad = [
        ("none is of zone c", 2, valid.clone()),
        ("there twice", 0, decision(vec![row("a", 0, vec![]), row("a", 1, vec![])])),
        ("\"q\" is not known", 0, decision(vec![row("a", 0, vec![spill("q", 1)])])),
        ("\"a\" is not known", 0, decision(vec![row("a", 0, vec![spill("a", 1)])])),
        ("from 0 to 1", 0, decision(vec![row("a", 1001, vec![])])),
        ("a zone is listed twice", 0, decision(vec![row("a", 0, vec![spill("b", 1), spill("b", 2)])])),
    ];
    for (what, home, decision) in bad {
        let error = routing_snapshot(&areas, home, &decision).expect_err(what);
        assert!(error.contains(what), "{what}: {error}");
    }
}
