//! `frostctl dev` as a new user starts it, and what is left when it ends.

use frostvale_standin::load::{Shop, ask, call, rls_client};
use frostvale_standin::resp::{Answer, Conn};
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
    let mut conn = Conn::connect(address(&ready["gatekeepers"][0]["resp"])).await.expect("connected");
    for (class, key) in [("formula-read", None), ("mix-record", Some("5c0f6e1a2b3d4c59"))] {
        let answer = ask(&mut conn, &shop, class, key, 1, Duration::from_secs(1)).await;
        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
    }
    let mut client = rls_client(address(&ready["agent"]["rls"])).expect("an address");
    let answer = client.should_rate_limit(call(&shop, true, 1)).await.expect("an answer");
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
