//! `frostctl dev` as a new user starts it, and what is left when it ends.

use frostvale_load::schedule::{GRPC_FRACTION, LoadProfile, Schedule, example_plans, shops};
use frostvale_standin::client::{Shop, rate_limit_call, rls_client, send_request};
use frostvale_standin::resp::{Answer, RespConnection};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Nothing here takes this long unless it has failed.
const LONG: Duration = Duration::from_secs(30);

struct Dev {
    child: Child,
    folder: tempfile::TempDir,
}

impl Dev {
    fn start(args: &[&str]) -> Dev {
        let folder = tempfile::tempdir().expect("a folder");
        let child = Command::new(env!("CARGO_BIN_EXE_frostctl"))
            .args(["dev", "--servers", "3", "--ready-file"])
            .arg(folder.path().join("ready.json"))
            .arg("--folder")
            .arg(folder.path().join("town"))
            .args(args)
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        Dev { child, folder }
    }

    fn ready_file(&self) -> PathBuf {
        self.folder.path().join("ready.json")
    }

    fn ready(&self) -> Value {
        let begun = Instant::now();
        loop {
            if let Ok(text) = std::fs::read_to_string(self.ready_file()) {
                return serde_json::from_str(&text).expect("whole JSON whenever the file is there");
            }
            assert!(begun.elapsed() < LONG, "never ready");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The processes that it started: their commands name its folder or their files do.
    fn children(&self) -> BTreeSet<u32> {
        let own = self.child.id();
        let all = std::fs::read_dir("/proc").expect("/proc").flatten();
        let pids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
        pids.filter(|pid| parent(*pid) == Some(own)).collect()
    }
}

impl Drop for Dev {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parent(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
}

/// Waits until these processes are gone. A pid that was taken over by another program is gone too.
fn gone(pids: &BTreeSet<u32>) {
    let begun = Instant::now();
    let runs = |pid: &u32| {
        let name = std::fs::read_to_string(format!("/proc/{pid}/comm")).unwrap_or_default();
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        name.starts_with("frost") && !state.contains(") Z ")
    };
    while pids.iter().any(runs) {
        assert!(begun.elapsed() < LONG, "they outlive it: {pids:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn address(value: &Value) -> SocketAddr {
    value.as_str().expect("a string").parse().expect("an address")
}

#[tokio::test]
async fn the_town_serves_both_protocols_and_says_where() {
    let mut dev = Dev::start(&["--gatekeepers", "2", "--load", "50"]);
    let ready = dev.ready();
    assert_eq!(ready["gatekeepers"].as_array().expect("a list").len(), 2);
    assert_eq!(ready["servers"].as_array().expect("a list").len(), 3);
    for key in ["discovery", "counter"] {
        address(&ready[key]);
    }
    assert!(Path::new(ready["gatekeepers"][0]["control"].as_str().expect("a path")).exists());
    let shop = Shop { id: "00000000b4d65521".into(), plan: "distribuidor".into(), first: 0, spread: 1 };
    let mut conn =
        RespConnection::connect(address(&ready["gatekeepers"][0]["resp"])).await.expect("connected");
    for (class, key) in [("formula-read", None), ("mix-record", Some("5c0f6e1a2b3d4c59"))] {
        let answer = send_request(&mut conn, &shop, class, key, 1, Duration::from_secs(1)).await;
        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    }
    let mut client = rls_client(address(&ready["agent"]["rls"])).expect("an address");
    let answer = client.should_rate_limit(rate_limit_call(&shop, true, 1)).await.expect("an answer");
    assert_eq!(answer.get_ref().overall_code() as i32, 1, "OK");
    // The commands that it prints work as well.
    let run = |args: &[&str]| Command::new(env!("CARGO_BIN_EXE_frostctl")).args(args).output().expect("run");
    let text = |v: &Value| v.as_str().expect("a string").to_string();
    let rls = text(&ready["agent"]["rls"]);
    assert!(run(&["check", "--rls", &rls, "--plan", "tienda"]).status.success());
    let bad = run(&["check", "--rls", &rls, "--plan", "tienda", "--units", "9"]);
    assert!(String::from_utf8_lossy(&bad.stderr).contains("hits_addend"), "{bad:?}");
    let resp = text(&ready["gatekeepers"][1]["resp"]);
    assert!(run(&["ask", "--gatekeeper", &resp, "--plan", "tienda"]).status.success());
    let status = run(&["status", "--agent", &text(&ready["agent"]["control"]), "--output", "json"]);
    let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["gatekeepers"][1]["state"], "linked");
    let nobody = run(&["status", "--agent", "/nowhere.sock"]);
    assert!(!nobody.status.success() && String::from_utf8_lossy(&nobody.stderr).contains("frostagent"));

    let children = dev.children();
    assert_eq!(children.len(), 3, "two gatekeepers and an agent");
    let pid = dev.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("run").success());
    assert!(dev.child.wait().expect("ended").success());
    gone(&children);
    assert!(!dev.ready_file().exists(), "nobody is told of a town that has ended");
}

#[test]
fn no_child_outlives_a_town_that_is_killed() {
    let mut dev = Dev::start(&["--gatekeepers", "3"]);
    dev.ready();
    let children = dev.children();
    assert_eq!(children.len(), 4, "three gatekeepers and an agent");
    dev.child.kill().expect("killed");
    dev.child.wait().expect("ended");
    gone(&children);
}

#[test]
fn a_part_of_the_town_that_is_killed_is_started_again() {
    let dev = Dev::start(&["--gatekeepers", "1"]);
    dev.ready();
    let before = dev.children();
    for pid in &before {
        assert!(Command::new("kill").args(["-KILL", &pid.to_string()]).status().expect("run").success());
    }
    let begun = Instant::now();
    while dev.children().difference(&before).count() < 2 {
        assert!(begun.elapsed() < LONG, "never started again");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn numbers_out_of_range_are_named_and_nothing_starts() {
    for args in [["--gatekeepers", "0"], ["--load", "0"], ["--servers", "101"]] {
        let ran = Command::new(env!("CARGO_BIN_EXE_frostctl")).arg("dev").args(args).output().expect("run");
        let said = String::from_utf8_lossy(&ran.stderr);
        assert!(!ran.status.success() && said.contains(args[0]) && said.contains("1..="), "{said}");
    }
}

/// Serves so many units to three shops, by both gatekeepers.
async fn serve(ready: &Value, units: [u32; 3]) {
    for (k, count) in units.into_iter().enumerate() {
        for n in 0..count {
            let gatekeeper = &ready["gatekeepers"][n as usize % 2];
            let first = n % 2;
            let id = format!("{:016x}", 0xb4d6_5521u64 + k as u64);
            let shop = Shop { id, plan: "distribuidor".into(), first, spread: 1 };
            let mut conn = RespConnection::connect(address(&gatekeeper["resp"])).await.expect("connected");
            let answer =
                send_request(&mut conn, &shop, "formula-read", None, 1, Duration::from_secs(1)).await;
            assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
        }
    }
}

/// Units passed by shop, and the gaps, as the record has them.
fn recorded(folder: &Path) -> (Vec<u64>, bool) {
    let run = |args: &[&str]| {
        let url = format!("sqlite:{}", folder.join("record.db").display());
        let out = Command::new(env!("CARGO_BIN_EXE_frostctl"))
            .args(["record", "--record", &url])
            .args(args)
            .output()
            .expect("run");
        assert!(out.status.success(), "{out:?}");
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let mut units = [0.0f64; 3];
    for line in run(&["use", "--output", "csv"]).lines().skip(1) {
        let fields: Vec<&str> = line.split(',').collect();
        let shop = u64::from_str_radix(fields[0], 16).expect("a shop") - 0xb4d6_5521;
        units[usize::try_from(shop).expect("one of three")] += fields[4].parse::<f64>().expect("units");
    }
    (units.iter().map(|u| *u as u64).collect(), run(&["status"]).contains("gap"))
}

#[tokio::test]
async fn a_town_that_is_stopped_in_order_has_every_unit_in_its_record() {
    let mut dev = Dev::start(&["--gatekeepers", "2"]);
    serve(&dev.ready(), [18, 16, 15]).await;
    let pid = dev.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("run").success());
    assert!(dev.child.wait().expect("ended").success());
    assert_eq!(recorded(&dev.folder.path().join("town")), (vec![18, 16, 15], false));
}

/// As on a host that reboots: SIGTERM to all of it at once. What no agent took is there when the town is next started.
#[tokio::test]
async fn a_town_whose_parts_are_all_stopped_at_once_has_every_unit_with_its_next_start() {
    let mut dev = Dev::start(&["--gatekeepers", "2"]);
    serve(&dev.ready(), [18, 16, 15]).await;
    let children = dev.children();
    let pids: Vec<String> = children.iter().chain([&dev.child.id()]).map(u32::to_string).collect();
    assert!(Command::new("kill").arg("-TERM").args(&pids).status().expect("run").success());
    assert!(dev.child.wait().expect("ended").success());
    gone(&children);
    let town = dev.folder.path().join("town");
    let ready = dev.folder.path().join("again.json");
    let mut again = Command::new(env!("CARGO_BIN_EXE_frostctl"))
        .args(["dev", "--servers", "3", "--gatekeepers", "2", "--folder"])
        .arg(&town)
        .arg("--ready-file")
        .arg(&ready)
        .stdout(Stdio::null())
        .spawn()
        .expect("started");
    let begun = Instant::now();
    while !ready.exists() || recorded(&town).0 != [18, 16, 15] {
        assert!(begun.elapsed() < LONG, "never recorded: {:?}", recorded(&town));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(Command::new("kill").args(["-TERM", &again.id().to_string()]).status().expect("run").success());
    assert!(again.wait().expect("ended").success());
    assert_eq!(recorded(&town), (vec![18, 16, 15], false));
}

/// Each line of every program is one JSON object with its fields, also where lines are merged.
#[test]
fn every_log_line_is_json_where_that_is_asked_for() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_frostctl")).args(args).output().expect("run");
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let said = run(&["--log-format", "json", "status", "--agent", "/nowhere.sock"]);
    let town = folder.path().join("town");
    let text = town.display().to_string();
    let dev = [
        "--log-format",
        "json",
        "dev",
        "--folder",
        &text,
        "--gatekeepers",
        "2",
        "--servers",
        "3",
        "--duration",
        "2",
    ];
    run(&dev);
    let mut lines = vec![said];
    for name in ["agent", "n1", "n2"] {
        lines.push(std::fs::read_to_string(town.join(format!("{name}.log"))).expect("a log"));
    }
    let mut kinds = BTreeSet::new();
    for line in lines.iter().flat_map(|text| text.lines()) {
        let value: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        for field in ["ts", "level", "program", "target", "message"] {
            assert!(value[field].as_str().is_some_and(|text| !text.is_empty()), "{field}: {line}");
        }
        kinds.insert(value["program"].as_str().expect("a program").to_string());
        if value["message"].as_str().is_some_and(|m| m.contains("is linked, number")) {
            assert!(value["instance"].as_str().is_some_and(|i| i.starts_with('n')), "{line}");
        }
    }
    assert_eq!(kinds.into_iter().collect::<Vec<_>>(), ["frostagent", "frostctl", "frostvale"]);
}

#[tokio::test]
async fn load_on_a_running_town_ends_with_a_report_of_all_that_was_asked() {
    let dev = Dev::start(&["--gatekeepers", "2"]);
    let ready = dev.ready();
    let text = |v: &Value| v.as_str().expect("a string").to_string();
    let (json, html) = (dev.folder.path().join("r.json"), dev.folder.path().join("r.html"));
    let out = Command::new(env!("CARGO_BIN_EXE_frostctl"))
        .args(["load", "--rate", "100", "--duration", "3", "--seed", "7"])
        .args(["--target", &text(&ready["gatekeepers"][0]["resp"])])
        .args(["--target", &text(&ready["gatekeepers"][1]["resp"])])
        .args(["--rls", &text(&ready["agent"]["rls"]), "--report-json"])
        .arg(&json)
        .arg("--report-html")
        .arg(&html)
        .output()
        .expect("run");
    assert!(out.status.success(), "{out:?}");
    let report: Value = serde_json::from_str(&std::fs::read_to_string(json).expect("written")).expect("JSON");
    let count = |p: &str| -> u64 {
        let all = report["protocols"][p]["answers"].as_object().expect("answers");
        all.values().map(|n| n.as_u64().expect("a count")).sum()
    };
    // A seed asks the same at any speed, and each request has one final answer.
    let shops = shops(100.0, LoadProfile::WithinQuota, &example_plans(), 2, 2).expect("shops");
    let due =
        Schedule::new(&shops, GRPC_FRACTION, 7).expect("a schedule").take_while(|a| a.at <= 3.0).count();
    assert_eq!(count("RESP2") + count("gRPC"), due as u64, "{report}");
    assert!(report["served_part"].as_f64().is_some_and(|part| part > 0.6), "{report}");
    assert!(std::fs::read_to_string(html).expect("written").contains("<svg"));
    let args = ["load", "--target", "127.0.0.1:1", "--overload", "0"];
    let said = Command::new(env!("CARGO_BIN_EXE_frostctl")).args(args).output().expect("run");
    assert!(!said.status.success() && String::from_utf8_lossy(&said.stderr).contains("0.01"), "{said:?}");
}
