//! Settings out of range, settings at the ends of their ranges, and a start at full size.

use crate::harness::*;
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};

/// The harness's configuration with these fields of its settings changed.
fn config_with_changes(setup: &Setup, changes: &[(&str, Value)]) -> String {
    let mut config: Value = serde_json::from_str(&setup.config()).expect("the harness's configuration");
    for (field, value) in changes {
        let (path, name) = field.rsplit_once('/').unwrap_or(("", field));
        let path = if path.is_empty() { "/settings".to_string() } else { format!("/settings/{path}") };
        let parent = config.pointer_mut(&path).expect("a parent in the settings");
        match parent {
            Value::Array(list) => list[name.parse::<usize>().expect("a number")] = value.clone(),
            _ => parent[name] = value.clone(),
        }
    }
    config.to_string()
}

#[test]
fn start_fails_with_value_and_range_when_setting_is_out_of_range() {
    let setup = Setup::new("127.0.0.1:1".parse().expect("an address"));
    let cases = [
        ("Balancers", json!(0), "Balancers is 0: must be from 1 to 65536"),
        ("Balancers", json!(100_000), "Balancers is 100000: must be from 1 to 65536"),
        ("Me", json!(1), "Me is 1: must be from 0 to 0"),
        ("Classes", json!([]), "Classes holds no class"),
        ("Classes/0/Name", json!("order"), "Classes[1].Name is \"order\": another entry has the same name"),
        ("Classes/0/Target", json!(0), "Classes[0].Target is 0: must be from 0.001 to 1000000000000"),
        ("Classes/0/Target", json!(1e300), "Classes[0].Target is 1000"),
        ("Classes/3/Deadline", json!(-1), "Classes[3].Deadline is -1: must be from 0 to 1000000000000"),
        ("Classes/1/Window", json!(0), "Classes[1].Window is 0: must be from 0.001 to 1000000000000"),
        ("Classes/1/Effect", json!("sometimes"), "unknown variant `sometimes`"),
        ("Plans/0/UnitsPerS", json!(-0.5), "Plans[0].UnitsPerS is -0.5: must be from 0 to 1000000000000"),
        ("Plans/0/PeakUnits", json!(0), "Plans[0].PeakUnits is 0: must be from 0.001 to 1000000000000"),
        ("Plans/0/CapRate", json!(-1), "Plans[0].CapRate is -1: must be from 0 to 1000000000000"),
        ("Bounds/ConnIdle", json!(-1), "Bounds.ConnIdle is -1: must be from 0 to 1000000000000"),
        ("Bounds/ConnectTimeout", json!(1e13), "Bounds.ConnectTimeout is 10000000000000: must be"),
        ("Domain/Largest", json!(-4), "Domain.Largest is -4: must be from 0 to 1000000000000"),
        ("Rules/ColdFrom", json!(1.5), "Rules.ColdFrom is 1.5: must be from 0 to 1"),
        ("Rules/FallMultiple", json!(0), "Rules.FallMultiple is 0: must be from 0.001 to 1000000000000"),
    ];
    for (field, value, expected_error) in cases {
        let path = write_config(&config_with_changes(&setup, &[(field, value)]));
        for check in [&["--check"][..], &[]] {
            let run =
                Command::new(env!("CARGO_BIN_EXE_frostvale")).args(check).env("GW_CONFIG", &path).output();
            let run = run.expect("runs");
            let error = String::from_utf8(run.stderr).expect("text");
            assert!(!run.status.success(), "{field}: accepted");
            assert_eq!(error.lines().count(), 1, "{error}");
            assert!(error.contains(expected_error), "{error}");
        }
        let _ = std::fs::remove_file(path);
    }
}

/// A reload with a value out of range must not change the settings in use.
#[test]
fn settings_in_use_stay_when_reload_has_value_out_of_range() {
    let worker = TestListener::bind();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let setup = Setup::new(discovery.at);
    let node = setup.start();
    node.reload(&config_with_changes(&setup, &[("Classes/0/Target", json!(-5))]));
    let line = node.wait_for_log("the configuration in use stays");
    assert!(line.contains("Classes[0].Target is -5"), "{line}");
    assert_request_goes_to(&node, &worker);
}

/// Settings that are left out or at an end of their range neither stop the process nor leave a request
/// unanswered.
#[test]
fn requests_get_answers_when_settings_are_at_their_extremes() {
    let class = |target: f64, deadline: f64| json!([{"Name":"read","Target":target,"Deadline":deadline,"Effect":"repeatable","Worth":1.0}]);
    let plan = |plan: Value| ("Plans", json!([plan]));
    let max_limits = json!({"Name":"p","UnitsPerS":1e12,"PeakUnits":1e12,"CapRate":1e12,"CapDepth":1e12,"MaxOut":u32::MAX});
    let min_limits = json!({"Name":"p","UnitsPerS":1e-9,"PeakUnits":0.001,"CapRate":1e-9,"MaxOut":1});
    let min_bounds = json!({"ConnIdle":0.0,"ConnectTimeout":0.0,"TryLimit":0,"MaxOpen":1});
    let long_slow_start = json!({"ColdFrom":0.0,"WarmWithin":1e12,"FallMultiple":0.001});
    let cases = [
        ("one class of 50 ms", false, vec![("Classes", class(50.0, 50.0))]),
        ("the smallest target", false, vec![("Classes", class(0.001, 0.0))]),
        ("the largest target", true, vec![("Classes", class(1e12, 1e12))]),
        ("no limit", true, vec![plan(json!({"Name":"p"}))]),
        ("all limits", true, vec![plan(max_limits)]),
        ("the smallest limits", false, vec![plan(min_limits)]),
        ("no time to connect, one request", false, vec![("Bounds", min_bounds)]),
        ("a ramp of thirty years", true, vec![("Rules", long_slow_start), ("Domain", json!({}))]),
        ("the last of many", false, vec![("Balancers", json!(65_536)), ("Me", json!(65_535))]),
    ];
    for (name, should_serve, changes) in cases {
        let worker = TestListener::bind();
        let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
        let node = start(&config_with_changes(&Setup::new(discovery.at), &changes), "exec");
        let mut client = node.client();
        if should_serve {
            client.send(read_request(30_000));
            let mut conn = worker.accept();
            conn.read_command();
            conn.send_value("served");
            assert_eq!(client.read_answer(), "served", "{name}");
        }
        for _ in 0..3 {
            client.send(read_request(50));
            // The worker does not answer.
            let answer = client.read_answer();
            assert!(answer == "-ERR failed" || answer.starts_with("-BUSY"), "{name}: {answer}");
        }
        client.send(resp_command(&["PING"]));
        assert_eq!(client.read_answer(), "+PONG", "{name}: {:?}", node.log.lock());
    }
}

/// 200 workers, 300 gatekeepers and a discovery that accepts calls and never answers: the gatekeeper has to
/// serve with the list of its configuration.
#[test]
fn full_size_gatekeeper_is_ready_in_time_when_discovery_is_silent() {
    /// Nine in ten gatekeepers have to be ready within this.
    const READY_LIMIT: Duration = Duration::from_secs(10);
    let (worker, discovery) = (TestListener::bind(), TestListener::bind());
    let workers: Vec<String> = (0..200).map(|k| target(&format!("s-{k}"), worker.at, "ready", 0)).collect();
    let setup = Setup { known: list(7, true, &workers), ..Setup::new(discovery.at) };
    let own_address = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a port");
    let peers: Vec<String> = (0..300).map(|k| format!("127.0.0.1:{}", 1024 + k)).collect();
    let changes = [("Balancers", json!(300)), ("Me", json!(299)), ("Bounds/Peers", json!(true))];
    let mut config: Value = serde_json::from_str(&config_with_changes(&setup, &changes)).expect("sound");
    config["peers"] = json!(peers);
    config["peers"][299] = json!(own_address.to_string());
    config["peer_listen"] = json!(own_address.to_string());
    let started_at = Instant::now();
    let node = start(&config.to_string(), "exec");
    let mut client = node.client();
    client.send(resp_command(&["PING"]));
    assert_eq!(client.read_answer(), "+PONG");
    assert!(started_at.elapsed() < READY_LIMIT, "{:?}", started_at.elapsed());
    let mut conn = discovery.accept();
    assert!(conn.read_http_request().starts_with("GET /v1/servers"));
}
