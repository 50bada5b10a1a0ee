//! Runs the drill adapter as a process and sends it batches of frames as its host does.

use std::io::Write;
use std::process::{Command, Stdio};

/// Settings of the adapter, with a key that it does not know.
const CONF: &str = r#"{"Balancers":1,"Me":0,"Classes":[{"Name":"r","Target":500.0,"Deadline":1000.0,"Effect":"repeatable","Worth":1.0}],"Plans":[{"Name":"p","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.0}],"Later":{"unknown":[1]}}"#;

/// Runs the adapter with these lines as standard input. Returns whether it exited with success, its standard
/// output and its standard error.
fn run_adapter(lines: &[String]) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostvale-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    let mut input = child.stdin.take().expect("standard input is piped");
    // The adapter may exit with an error before it has read all of its input, so the write may fail.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    let out = child.wait_with_output().expect("wait for the adapter");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8 output");
    (out.status.success(), text(out.stdout), text(out.stderr))
}

/// Begins batch `n` at the time of `100 * n` on the frame's clock.
fn begin_batch(n: u64) -> String {
    format!(r#"{{"kind":"BeginBatch","Clock":{}.0,"n":{n}}}"#, 100 * n)
}

fn end_of_batch() -> String {
    r#"{"kind":"Eob"}"#.into()
}

/// Frames that start a gatekeeper and give it its list of servers.
fn start_gatekeeper(index: u32) -> Vec<String> {
    vec![
        r#"{"kind":"Directory","Sheet":0,"Records":[{"Worker":"worker.a","Share":1,"RegionPart":0,"Pod":0,"FamilyType":0,"Health":"up"}]}"#.into(),
        format!(r#"{{"kind":"Hello","GatekeeperId":"gatekeeper_{index}","Prng":7,"Conf":{CONF}}}"#),
        format!(r#"{{"kind":"DirectoryUpdate","GatekeeperId":"gatekeeper_{index}","Form":"disk","Version":1,"Sheet":0}}"#),
    ]
}

/// A request that arrives at a gatekeeper.
fn incoming_request(index: u32, id: u64) -> String {
    format!(
        r#"{{"kind":"Incoming","GatekeeperId":"gatekeeper_{index}","RequestId":{id},"First":0,"GiveUpAt":2000.0,"Weight":1,"Band":0,"ClientId":"key:x","StateBits":0,"Tier":0,"Doors":1,"Novel":true}}"#
    )
}

#[test]
fn adapter_answers_each_batch() {
    let mut lines = vec![begin_batch(1), end_of_batch(), begin_batch(2)];
    lines.extend(start_gatekeeper(0));
    lines.extend([incoming_request(0, 41), end_of_batch(), begin_batch(3)]);
    lines.push(r#"{"kind":"Done","GatekeeperId":"gatekeeper_0","RequestId":41,"Trial":0,"Worker":"worker.a","Ending":"OK","Latency":9.5,"Terminal":true}"#.into());
    lines.push(r#"{"kind":"Retire","GatekeeperId":"gatekeeper_0"}"#.into());
    lines.push(end_of_batch());
    let (ok, out, err) = run_adapter(&lines);
    assert!(ok && err.is_empty(), "{err}");
    let replies: Vec<&str> = out.lines().collect();
    assert_eq!(replies.first(), Some(&r#"{"kind":"Ok","n":1}"#));
    assert!(out.contains(r#""kind":"Deliver""#) && out.contains(r#""RequestId":41"#), "{out}");
    assert_eq!(replies.last(), Some(&r#"{"kind":"Ok","n":3}"#));
}

#[test]
fn gatekeepers_of_one_process_are_independent() {
    let mut lines = vec![begin_batch(1)];
    for index in 0..20 {
        lines.extend(start_gatekeeper(index));
    }
    lines.extend((0..20).map(|index| incoming_request(index, u64::from(index))));
    lines.push(end_of_batch());
    let (ok, out, _) = run_adapter(&lines);
    assert!(ok);
    for index in 0..20 {
        let own = format!(r#""GatekeeperId":"gatekeeper_{index}","RequestId":{index},"#);
        assert_eq!(out.matches(&own).count(), 1, "{out}");
    }
}

#[test]
fn malformed_input_is_rejected_with_one_line() {
    let cases: Vec<(&str, Vec<String>)> = vec![
        ("not JSON", vec![begin_batch(1), "nonsense".into()]),
        ("no kind", vec![r#"{"Clock":1}"#.into()]),
        ("an unknown kind", vec![begin_batch(1), r#"{"kind":"Sing"}"#.into()]),
        ("a missing field", vec![r#"{"kind":"BeginBatch","n":1}"#.into()]),
        ("a wrong type", vec![r#"{"kind":"BeginBatch","Clock":"noon","n":1}"#.into()]),
        ("an end of batch outside a batch", vec![end_of_batch()]),
        ("a batch inside a batch", vec![begin_batch(1), begin_batch(2)]),
        ("an unknown gatekeeper", vec![begin_batch(1), incoming_request(3, 1)]),
        ("end of input inside a batch", vec![begin_batch(1)]),
        (
            "settings without classes",
            vec![
                begin_batch(1),
                r#"{"kind":"Hello","GatekeeperId":"gatekeeper_0","Prng":1,"Conf":{"Balancers":1,"Classes":[]}}"#
                    .into(),
            ],
        ),
    ];
    for (case, lines) in cases {
        let (ok, out, err) = run_adapter(&lines);
        assert!(!ok, "{case}: the adapter exited with success");
        assert_eq!(err.lines().count(), 1, "{case}: {err}");
        assert!(err.contains("line "), "{case}: {err}");
        assert!(out.is_empty(), "{case}: {out}");
    }
}

#[test]
fn adapter_exits_with_success_at_end_of_input() {
    let (ok, out, err) = run_adapter(&[]);
    assert!(ok && out.is_empty() && err.is_empty());
}
