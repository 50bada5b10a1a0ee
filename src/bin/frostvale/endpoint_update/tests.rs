use super::*;
use frostvale::RawSettings;

fn conf() -> RawSettings {
    let text = r#"{"Areas":["a","b"],"Kinds":["m"],"Balancers":1,"Me":0,
        "Classes":[{"Name":"read","Target":500.0,"Effect":"repeatable","Worth":1.0}],
        "Plans":[{"Name":"p","UnitsPerS":10.0,"PeakUnits":10.0,"ValueFactor":1.0}]}"#;
    serde_json::from_str(text).expect("settings")
}

fn line(text: &str) -> Option<EndpointState> {
    let raw: &RawValue = serde_json::from_str(text).expect("JSON");
    EndpointLine::read(raw, &conf()).map(|line| line.state)
}

const GOOD: &str = r#"{"uid":"s-1","endpoint":"10.1.0.18:6379","az":"b","model":"m","pod_group":3,"state":"ready","capacity_hint":2.5,"boot_ms":17}"#;

#[test]
fn endpoint_line_decodes_all_fields() {
    let state = EndpointState {
        address: "10.1.0.18:6379".parse().expect("an address"),
        zone: 1,
        kind: 0,
        cell: 3,
        health: Health::Up,
        size: 2.5,
        boot_ms: 17.0,
    };
    assert_eq!(line(GOOD), Some(state));
    assert_eq!(line(&GOOD.replace("s-1", "s-\\u0031")), Some(state), "escapes");
    let unusual = GOOD.replace("2.5", "-2.5").replace(":17", ":null").replace("\"b\"", "[1,{\"x\":2}]");
    assert_eq!(line(&unusual), Some(EndpointState { zone: 2, size: 1.0, boot_ms: 0.0, ..state }));
    let with_unknown_field = GOOD.replace('{', r#"{"weight":[{"a":1}],"#);
    assert_eq!(line(&with_unknown_field), Some(state), "unknown fields are ignored");
}

#[test]
fn endpoint_line_is_rejected_when_a_required_field_is_invalid() {
    for (what, text) in [
        ("not an object", "17".to_string()),
        ("no name", GOOD.replace("s-1", "")),
        ("a number for a name", GOOD.replace("\"s-1\"", "1")),
        ("no address", GOOD.replace("10.1.0.18:6379", "formula1")),
        ("an unknown state", GOOD.replace("ready", "asleep")),
        ("no state", GOOD.replace("state", "status")),
        ("a cell below 0", GOOD.replace(":3,", ":-3,")),
        ("a cell above u32::MAX", GOOD.replace(":3,", ":4294967296,")),
        ("a cell with a fraction", GOOD.replace(":3,", ":3.5,")),
    ] {
        assert!(line(&text).is_none(), "{what}");
    }
}

#[test]
fn outline_requires_a_version_and_lines() {
    let update =
        |text: &str| Outline::read(text.as_bytes()).map(|u| (u.version, u.is_full(), u.lines.len())).ok();
    assert_eq!(update(r#"{"rev":4,"all":true,"targets":[{},17,"x"]}"#), Some((4, true, 3)));
    assert_eq!(update(r#" { "targets" : [ ] , "rev" : 4 } "#), Some((4, false, 0)));
    for text in [
        "",
        "{",
        "[]",
        "null",
        r#"{"rev":4}"#,
        r#"{"targets":[]}"#,
        r#"{"rev":-4,"targets":[]}"#,
        r#"{"rev":4,"targets":{}}"#,
    ] {
        assert!(update(text).is_none(), "{text}");
    }
    let deep = format!(r#"{{"rev":4,"targets":[{}]}}"#, "[".repeat(100_000));
    assert!(update(&deep).is_none(), "deeply nested text is rejected");
}
