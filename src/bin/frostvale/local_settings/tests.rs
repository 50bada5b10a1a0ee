use super::*;

fn conf() -> RawSettings {
    serde_json::from_str(
        r#"{"Balancers":1,"Classes":[{"Name":"read","Target":400.0,"Effect":"repeatable"}],
            "Plans":[{"Name":"basico"},{"Name":"ferreteria","CapRate":2.0}]}"#,
    )
    .expect("valid")
}

#[test]
fn error_is_one_line_that_names_the_field_when_file_is_invalid() {
    let bad = [
        ("[link]\nsocket = \"rel\"", "link.socket"),
        ("[link]\nsocket = \"/tmp/s\"\nagents = 0", "link.agents: 1 to 64"),
        ("[link]\nsocket = \"/tmp/s\"\ncolour = 1", "unknown field `colour`"),
        ("[lnk]", "unknown field `lnk`"),
        ("[usage]", "needs [link]"),
        ("[link]\nsocket = \"/tmp/s\"\n[usage]\nreport_ms = 1", "usage.report_ms: 10 to 60000"),
        ("[zones]", "needs [link]"),
        ("[link]\nsocket = \"/tmp/s\"\n[zones]\nreport_ms = 1", "zones.report_ms: 20 to 10000"),
        ("[link]\nsocket = \"/tmp/s\"\n[zones]\nnear = 1", "unknown field `near`"),
        ("[audit]", "audit: needs [link]"),
        ("[link]\nsocket = \"/tmp/s\"\n[audit]\nreport_ms = 1", "audit.report_ms: 20 to 10000"),
        ("[outside.plans]\nbasico = \"deny\"", "needs [link]"),
        ("[link]\nsocket = \"/tmp/s\"\n[outside.plans]\ngold = \"deny\"", "outside.plans.gold: no plan"),
        ("[link]\nsocket = \"/tmp/s\"\n[outside.plans]\nferreteria = \"allow\"", "hard ceiling"),
        (
            "[link]\nsocket = \"/tmp/s\"\n[outside]\ndeadline_part = 0.9\nplans = {}",
            "outside.deadline_part: over 0 and at most 0.5",
        ),
    ];
    for (text, text_part) in bad {
        let error =
            LocalSettings::parse(text, &conf()).err().unwrap_or_else(|| panic!("{text:?} was accepted"));
        assert!(error.contains(text_part) && !error.contains('\n'), "{text:?}: {error}");
    }
    assert!(LocalSettings::parse("", &conf()).is_ok_and(|e| e.link.is_none() && e.outside.is_none()));
}

/// `run` starts without a file. A new section has to be added here, switched off.
#[test]
fn every_feature_is_off_without_a_file() {
    let LocalSettings { link, outside, usage, zones, audit, digest, log, clock_ahead_ms } =
        LocalSettings::default();
    assert!(link.is_none() && outside.is_none() && usage.is_none() && zones.is_none());
    assert!(audit.is_none() && digest.is_empty());
    assert!(matches!(log.format, Format::Text) && log.level == "info" && clock_ahead_ms == 0);
}

#[test]
fn sample_file_is_valid() {
    let sample = include_str!("../../../../deploy/frostvale.toml");
    let settings = LocalSettings::parse(sample, &conf()).expect("valid");
    assert!(settings.link.is_some());
}
