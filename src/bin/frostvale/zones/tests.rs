use super::*;
use frostvale_link::proto::ZoneSpill;

#[test]
fn rows_are_taken_by_name_and_bad_ones_name_what_is_wrong() {
    let areas: Vec<String> = ["a", "b", "c"].map(String::from).into();
    let spill = |to: &str, milli: u32| ZoneSpill { to: to.into(), start_milli: milli, end_milli: milli };
    let row = |from: &str, near: u32, spill: Vec<ZoneSpill>| ZoneRow {
        from: from.into(),
        near_start_milli: near,
        near_end_milli: 1000,
        spill,
    };
    let word = |rows: Vec<ZoneRow>| ZonesGuide { ramp_ms: 100, hold_ms: 1000, rows, ..ZonesGuide::default() };
    let sound = word(vec![row("a", 0, vec![]), row("b", 200, vec![spill("c", 300), spill("a", 0)])]);
    let guide = guide_of(&areas, 1, &sound).expect("sound");
    assert_eq!((guide.local, guide.ramp_ms), (ZoneShare { start: 0.2, end: 1.0 }, 100.0));
    assert_eq!(guide.spill[0], (2, ZoneShare { start: 0.3, end: 0.3 }));
    let bad = [
        ("none is of zone c", 2, sound.clone()),
        ("there twice", 0, word(vec![row("a", 0, vec![]), row("a", 1, vec![])])),
        ("\"q\" is not known", 0, word(vec![row("a", 0, vec![spill("q", 1)])])),
        ("\"a\" is not known", 0, word(vec![row("a", 0, vec![spill("a", 1)])])),
        ("from 0 to 1", 0, word(vec![row("a", 1001, vec![])])),
        ("a zone twice", 0, word(vec![row("a", 0, vec![spill("b", 1), spill("b", 2)])])),
    ];
    for (what, home, word) in bad {
        let said = guide_of(&areas, home, &word).expect_err(what);
        assert!(said.contains(what), "{what}: {said}");
    }
}
