//! The adapter, fed frames as a host would.

use std::io::Write;
use std::process::{Command, Stdio};

const CONF: &str = r#"{"Balancers":1,"Me":0,"Classes":[{"Name":"r","Target":500.0,"Deadline":1000.0,"Effect":"repeatable","Worth":1.0}],"Plans":[{"Name":"p","UnitsPerS":10.0,"PeakUnits":20.0,"ValueFactor":1.0}],"Later":{"unknown":[1]}}"#;

/// Runs the adapter on these lines: exit success, standard output, standard error.
fn talk(lines: &[String]) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostvale-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // A complaint may end the adapter before all is read.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    let out = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (out.status.success(), text(out.stdout), text(out.stderr))
}

fn begin(n: u64) -> String {
    format!(r#"{{"kind":"BeginBatch","Clock":{}.0,"n":{n}}}"#, 100 * n)
}

fn eob() -> String {
    r#"{"kind":"Eob"}"#.into()
}

fn start(me: u32) -> Vec<String> {
    vec![
        r#"{"kind":"Directory","Sheet":0,"Records":[{"Worker":"worker.a","Share":1,"RegionPart":0,"Pod":0,"FamilyType":0,"Health":"up"}]}"#.into(),
        format!(r#"{{"kind":"Hello","GatekeeperId":"gatekeeper_{me}","Prng":7,"Conf":{CONF}}}"#),
        format!(r#"{{"kind":"DirectoryUpdate","GatekeeperId":"gatekeeper_{me}","Form":"disk","Version":1,"Sheet":0}}"#),
    ]
}

fn incoming(me: u32, id: u64) -> String {
    format!(
        r#"{{"kind":"Incoming","GatekeeperId":"gatekeeper_{me}","RequestId":{id},"First":0,"GiveUpAt":2000.0,"Weight":1,"Band":0,"ClientId":"key:x","StateBits":0,"Tier":0,"Doors":1,"Novel":true}}"#
    )
}

#[test]
fn a_conversation_is_answered_batch_by_batch() {
    let mut lines = vec![begin(1), eob(), begin(2)];
    lines.extend(start(0));
    lines.extend([incoming(0, 41), eob(), begin(3)]);
    lines.push(r#"{"kind":"Done","GatekeeperId":"gatekeeper_0","RequestId":41,"Trial":0,"Worker":"worker.a","Ending":"OK","Latency":9.5,"Terminal":true}"#.into());
    lines.push(r#"{"kind":"Retire","GatekeeperId":"gatekeeper_0"}"#.into());
    lines.push(eob());
    let (ok, out, err) = talk(&lines);
    assert!(ok && err.is_empty(), "{err}");
    let replies: Vec<&str> = out.lines().collect();
    assert_eq!(replies.first(), Some(&r#"{"kind":"Ok","n":1}"#));
    assert!(out.contains(r#""kind":"Deliver""#) && out.contains(r#""RequestId":41"#), "{out}");
    assert_eq!(replies.last(), Some(&r#"{"kind":"Ok","n":3}"#));
}

#[test]
fn instances_live_apart() {
    let mut lines = vec![begin(1)];
    for me in 0..20 {
        lines.extend(start(me));
    }
    lines.extend((0..20).map(|me| incoming(me, u64::from(me))));
    lines.push(eob());
    let (ok, out, _) = talk(&lines);
    assert!(ok);
    for me in 0..20 {
        let own = format!(r#""GatekeeperId":"gatekeeper_{me}","RequestId":{me},"#);
        assert_eq!(out.matches(&own).count(), 1, "{out}");
    }
}

#[test]
fn bad_input_gets_one_plain_message() {
    let cases: Vec<(&str, Vec<String>)> = vec![
        ("not JSON", vec![begin(1), "nonsense".into()]),
        ("no kind", vec![r#"{"Clock":1}"#.into()]),
        ("a kind never heard of", vec![begin(1), r#"{"kind":"Sing"}"#.into()]),
        ("a field missing", vec![r#"{"kind":"BeginBatch","n":1}"#.into()]),
        ("a wrong type", vec![r#"{"kind":"BeginBatch","Clock":"noon","n":1}"#.into()]),
        ("an end without a beginning", vec![eob()]),
        ("a batch in a batch", vec![begin(1), begin(2)]),
        ("an instance never started", vec![begin(1), incoming(3, 1)]),
        ("input ends inside a batch", vec![begin(1)]),
        (
            "settings without classes",
            vec![
                begin(1),
                r#"{"kind":"Hello","GatekeeperId":"gatekeeper_0","Prng":1,"Conf":{"Balancers":1,"Classes":[]}}"#
                    .into(),
            ],
        ),
    ];
    for (what, lines) in cases {
        let (ok, out, err) = talk(&lines);
        assert!(!ok, "{what} passes");
        assert_eq!(err.lines().count(), 1, "{what}: {err}");
        assert!(err.contains("line "), "{what}: {err}");
        assert!(out.is_empty(), "{what}: {out}");
    }
}

#[test]
fn the_end_of_input_is_a_clean_exit() {
    let (ok, out, err) = talk(&[]);
    assert!(ok && out.is_empty() && err.is_empty());
}
