//! Limits that keep the policy files readable: their size, their line width, and no terms of the wire
//! protocols, which belong to the adapters.

use std::fs;

fn text(path: &str) -> String {
    fs::read_to_string(format!("{}/{path}", env!("CARGO_MANIFEST_DIR"))).expect(path)
}

#[test]
fn policy_files_stay_within_size_limits() {
    let module = text("src/control.rs");
    let both = module.clone() + &text("src/state.rs");
    let lines = both.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} non-blank lines in src/control.rs and src/state.rs, limit 1200");
    for (n, line) in module.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
    assert!(
        module.lines().take(8).any(|l| l.contains("src/api.rs")),
        "the module page does not name src/api.rs"
    );
}

#[test]
fn policy_files_contain_no_wire_terms() {
    for path in ["src/control.rs", "src/api.rs"] {
        let words = text(path);
        for word in ["Gatekeeper", "Deliver", "RESOURCE_EXHAUSTED", "Lapsed", "serde", "json"] {
            assert!(!words.contains(word), "{path} holds {word}");
        }
    }
}
