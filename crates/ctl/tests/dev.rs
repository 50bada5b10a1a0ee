//! Tests of `frostctl dev` as a process: what it serves, that it restarts its parts, and that no process,
//! ready file or unrecorded use is left when it ends. Also tests of `frostctl load` and of the log format
//! against such a cluster.

use frostvale_load::schedule::{GRPC_FRACTION, LoadProfile, Schedule, example_plans, shops};
use frostvale_standin::client::{Shop, rate_limit_call, rls_client, send_request};
use frostvale_standin::resp::{Answer, RespConnection};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a condition; far more than any takes unless it has failed.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A running `frostctl dev` with its folder; it is killed when this value is dropped.
struct DevProcess {
    child: Child,
    folder: tempfile::TempDir,
}

impl DevProcess {
    fn start(args: &[&str]) -> DevProcess {
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
        DevProcess { child, folder }
    }

    fn ready_file(&self) -> PathBuf {
        self.folder.path().join("ready.json")
    }

    /// Waits for the ready file and returns its contents. A file that is there has to be complete.
    fn wait_until_ready(&self) -> Value {
        let started = Instant::now();
        loop {
            if let Ok(text) = std::fs::read_to_string(self.ready_file()) {
                return serde_json::from_str(&text).expect("complete JSON whenever the file exists");
            }
            assert!(started.elapsed() < WAIT_LIMIT, "the cluster is not ready in time");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Process ids of its child processes.
    fn children(&self) -> BTreeSet<u32> {
        let own = self.child.id();
        let all = std::fs::read_dir("/proc").expect("/proc").flatten();
        let pids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
        pids.filter(|pid| parent(*pid) == Some(own)).collect()
    }
}

impl Drop for DevProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Process id of the parent of a process; `None` if the process is gone.
fn parent(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
}

/// Waits until these processes have ended. A process id that another program has reused counts as ended, as
/// does a zombie.
fn wait_until_ended(pids: &BTreeSet<u32>) {
    let started = Instant::now();
    let is_running = |pid: &u32| {
        let name = std::fs::read_to_string(format!("/proc/{pid}/comm")).unwrap_or_default();
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        name.starts_with("frost") && !state.contains(") Z ")
    };
    while pids.iter().any(is_running) {
        assert!(started.elapsed() < WAIT_LIMIT, "processes outlive frostctl dev: {pids:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn address(value: &Value) -> SocketAddr {
    value.as_str().expect("a string").parse().expect("an address")
}

#[tokio::test]
async fn dev_serves_both_protocols_at_the_addresses_in_its_ready_file() {
    let mut dev = DevProcess::start(&["--gatekeepers", "2", "--load", "50"]);
    let ready = dev.wait_until_ready();
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
    // The commands that `frostctl dev` prints have to work as well.
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
    let unreachable = run(&["status", "--agent", "/nowhere.sock"]);
    assert!(
        !unreachable.status.success() && String::from_utf8_lossy(&unreachable.stderr).contains("frostagent")
    );

    let children = dev.children();
    assert_eq!(children.len(), 3, "two gatekeepers and an agent");
    let pid = dev.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("run").success());
    assert!(dev.child.wait().expect("ended").success());
    wait_until_ended(&children);
    assert!(!dev.ready_file().exists(), "the ready file of a cluster that has ended is removed");
}

#[test]
fn dev_leaves_no_child_process_when_it_is_killed() {
    let mut dev = DevProcess::start(&["--gatekeepers", "3"]);
    dev.wait_until_ready();
    let children = dev.children();
    assert_eq!(children.len(), 4, "three gatekeepers and an agent");
    dev.child.kill().expect("killed");
    dev.child.wait().expect("ended");
    wait_until_ended(&children);
}

#[test]
fn dev_restarts_gatekeeper_and_agent_when_they_are_killed() {
    let dev = DevProcess::start(&["--gatekeepers", "1"]);
    dev.wait_until_ready();
    let before = dev.children();
    for pid in &before {
        assert!(Command::new("kill").args(["-KILL", &pid.to_string()]).status().expect("run").success());
    }
    let started = Instant::now();
    while dev.children().difference(&before).count() < 2 {
        assert!(started.elapsed() < WAIT_LIMIT, "not restarted in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn dev_names_the_flag_and_range_when_a_number_is_out_of_range() {
    for args in [["--gatekeepers", "0"], ["--load", "0"], ["--servers", "101"]] {
        let output =
            Command::new(env!("CARGO_BIN_EXE_frostctl")).arg("dev").args(args).output().expect("run");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && stderr.contains(args[0]) && stderr.contains("1..="), "{stderr}");
    }
}

/// Sends requests for `units` of three shops, alternating between both gatekeepers.
async fn send_units(ready: &Value, units: [u32; 3]) {
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

/// Units passed by each of the three shops according to the record, and whether the record has a gap.
fn recorded_units(folder: &Path) -> (Vec<u64>, bool) {
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
async fn record_holds_every_unit_when_dev_is_stopped_in_order() {
    let mut dev = DevProcess::start(&["--gatekeepers", "2"]);
    send_units(&dev.wait_until_ready(), [18, 16, 15]).await;
    let pid = dev.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("run").success());
    assert!(dev.child.wait().expect("ended").success());
    assert_eq!(recorded_units(&dev.folder.path().join("town")), (vec![18, 16, 15], false));
}

/// SIGTERM reaches all processes at once, as when a host reboots, so that the agent may end before it has the
/// gatekeepers' last usage. That usage has to be recorded after the next start.
#[tokio::test]
async fn record_holds_every_unit_after_restart_when_all_processes_are_stopped_at_once() {
    let mut dev = DevProcess::start(&["--gatekeepers", "2"]);
    send_units(&dev.wait_until_ready(), [18, 16, 15]).await;
    let children = dev.children();
    let pids: Vec<String> = children.iter().chain([&dev.child.id()]).map(u32::to_string).collect();
    assert!(Command::new("kill").arg("-TERM").args(&pids).status().expect("run").success());
    assert!(dev.child.wait().expect("ended").success());
    wait_until_ended(&children);
    let folder = dev.folder.path().join("town");
    let ready = dev.folder.path().join("again.json");
    let mut restarted = Command::new(env!("CARGO_BIN_EXE_frostctl"))
        .args(["dev", "--servers", "3", "--gatekeepers", "2", "--folder"])
        .arg(&folder)
        .arg("--ready-file")
        .arg(&ready)
        .stdout(Stdio::null())
        .spawn()
        .expect("started");
    let started = Instant::now();
    while !ready.exists() || recorded_units(&folder).0 != [18, 16, 15] {
        assert!(started.elapsed() < WAIT_LIMIT, "not recorded in time: {:?}", recorded_units(&folder));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(
        Command::new("kill").args(["-TERM", &restarted.id().to_string()]).status().expect("run").success()
    );
    assert!(restarted.wait().expect("ended").success());
    assert_eq!(recorded_units(&folder), (vec![18, 16, 15], false));
}

/// Each log line of every program has to be one JSON object with its fields, including lines that sum up
/// repeated ones.
#[test]
fn log_lines_of_every_program_are_json_when_that_format_is_set() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_frostctl")).args(args).output().expect("run");
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let stderr = run(&["--log-format", "json", "status", "--agent", "/nowhere.sock"]);
    let cluster_folder = folder.path().join("town");
    let text = cluster_folder.display().to_string();
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
    let mut lines = vec![stderr];
    for name in ["agent", "n1", "n2"] {
        lines.push(std::fs::read_to_string(cluster_folder.join(format!("{name}.log"))).expect("a log"));
    }
    let mut programs = BTreeSet::new();
    for line in lines.iter().flat_map(|text| text.lines()) {
        let value: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        for field in ["ts", "level", "program", "target", "message"] {
            assert!(value[field].as_str().is_some_and(|text| !text.is_empty()), "{field}: {line}");
        }
        programs.insert(value["program"].as_str().expect("a program").to_string());
        if value["message"].as_str().is_some_and(|m| m.contains("is linked, number")) {
            assert!(value["instance"].as_str().is_some_and(|i| i.starts_with('n')), "{line}");
        }
    }
    assert_eq!(programs.into_iter().collect::<Vec<_>>(), ["frostagent", "frostctl", "frostvale"]);
}

#[tokio::test]
async fn load_reports_every_scheduled_request_when_it_ends() {
    let dev = DevProcess::start(&["--gatekeepers", "2"]);
    let ready = dev.wait_until_ready();
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
    // The schedule depends on the seed alone, not on the speed of the machine, and each request has one final
    // answer.
    let shops = shops(100.0, LoadProfile::WithinQuota, &example_plans(), 2, 2).expect("shops");
    let scheduled =
        Schedule::new(&shops, GRPC_FRACTION, 7).expect("a schedule").take_while(|a| a.at <= 3.0).count();
    assert_eq!(count("RESP2") + count("gRPC"), scheduled as u64, "{report}");
    assert!(report["served_part"].as_f64().is_some_and(|part| part > 0.6), "{report}");
    assert!(std::fs::read_to_string(html).expect("written").contains("<svg"));
    let args = ["load", "--target", "127.0.0.1:1", "--overload", "0"];
    let output = Command::new(env!("CARGO_BIN_EXE_frostctl")).args(args).output().expect("run");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("0.01"),
        "{output:?}"
    );
}
