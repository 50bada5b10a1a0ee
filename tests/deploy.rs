//! What the platform's pages ask of the deploy file, shown without the bench: the built gatekeeper starts from exactly
//! the `run` line, as one process with nothing of the program's other parts switched on.

use serde_json::json;
use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

fn deploy() -> toml::Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/balancer.toml");
    fs::read_to_string(path).expect("the deploy file").parse().expect("TOML")
}

fn word(key: &str) -> String {
    deploy()[key].as_str().expect("a text").to_string()
}

/// A root as the platform has it after the build, with this build's programs in place, and nothing else.
struct Root(PathBuf);

impl Root {
    fn new(name: &str) -> Root {
        let at = std::env::temp_dir().join(format!("frostvale-deploy-{name}-{}", std::process::id()));
        fs::create_dir_all(at.join("target/release")).expect("a folder");
        fs::create_dir_all(at.join("tmp")).expect("a folder");
        let program = env!("CARGO_BIN_EXE_frostvale");
        symlink(program, at.join("target/release/frostvale")).expect("a link");
        Root(at)
    }
}

impl Drop for Root {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running gatekeeper that ends with the test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn the_deploy_file_names_the_gatekeeper_alone() {
    let table = deploy();
    let keys: Vec<&str> = table.keys().map(String::as_str).collect();
    assert_eq!(keys, ["build", "node", "packages", "policy", "run", "sim"]);
    assert_eq!(word("build"), "cargo build --release", "the default members: gatekeeper and drill alone");
    // No argument, no variable, no second command: what is off by default stays off.
    assert_eq!(word("run"), "exec target/release/frostvale");
    assert_eq!(word("sim"), "exec target/release/frostvale-drill");
    for key in ["policy", "node"] {
        for path in table[key].as_array().expect("a list") {
            let path = path.as_str().expect("a path");
            assert!(Path::new(env!("CARGO_MANIFEST_DIR")).join(path).exists(), "{key} names {path}");
        }
    }
    let cargo = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml")).expect("a file");
    let cargo: toml::Table = cargo.parse().expect("TOML");
    assert_eq!(cargo["workspace"]["default-members"].as_array().map(Vec::len), Some(1));
}

/// The interpreter that the program asks for: dynamically linked programs have one, static ones have none.
fn interpreter(program: &[u8]) -> Option<String> {
    let int = |at: usize, len: usize| {
        program.get(at..at + len).map(|b| b.iter().rev().fold(0_u64, |n, b| n << 8 | u64::from(*b)))
    };
    let (table, size, count) = (int(32, 8)? as usize, int(54, 2)? as usize, int(56, 2)? as usize);
    let header = (0..count).map(|k| table + k * size).find(|at| int(*at, 4) == Some(3))?;
    let (from, len) = (int(header + 8, 8)? as usize, int(header + 32, 8)? as usize);
    Some(String::from_utf8_lossy(program.get(from..from + len)?).trim_end_matches('\0').to_string())
}

/// Inodes of sockets in one of the kernel's tables, by the column they stand in, where `with` finds a line of use.
fn inodes(table: &str, column: usize, with: impl Fn(&[&str]) -> bool) -> BTreeSet<String> {
    let text = fs::read_to_string(format!("/proc/net/{table}")).unwrap_or_default();
    let rows = text.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
    rows.filter(|r| with(r)).filter_map(|r| r.get(column).map(|i| (*i).to_string())).collect()
}

#[cfg(target_os = "linux")]
#[test]
fn the_run_line_starts_one_process_with_every_other_part_off() {
    let root = Root::new("run");
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let settings = json!({
        "Balancers": 1, "Me": 0, "Classes": [{"Name": "read", "Target": 400.0, "Effect": "repeatable"}],
        "Plans": [{"Name": "basico", "UnitsPerS": 1.0, "PeakUnits": 5.0}],
        "Bounds": {"Peers": true},
    });
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": silent.local_addr().expect("bound").to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1"], "settings": settings,
    });
    let path = root.0.join("config.json");
    fs::write(&path, config.to_string()).expect("written");
    let child = Command::new("/bin/sh")
        .args(["-c", &word("run")])
        .current_dir(&root.0)
        .env_clear()
        .env("GW_CONFIG", &path)
        .env("TMPDIR", root.0.join("tmp"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    let mut running = Running(child);
    let pid = running.0.id();
    let log = BufReader::new(running.0.stderr.take().expect("a log"));
    let lines: Vec<String> = log
        .lines()
        .map_while(Result::ok)
        .scan(false, |done, line| {
            let go_on = !*done;
            *done = line.contains("serves at");
            go_on.then_some(line)
        })
        .take_while(|line| !line.contains("serves at"))
        .collect();
    assert!(running.0.try_wait().expect("asked").is_none(), "it has ended: {lines:?}");

    // The shell has become the gatekeeper, and started nothing beside it.
    let program = fs::read_link(format!("/proc/{pid}/exe")).expect("it runs");
    let built = Path::new(env!("CARGO_BIN_EXE_frostvale")).canonicalize().expect("built");
    assert_eq!(program, built, "the process of the run line is the gatekeeper itself");
    for task in fs::read_dir(format!("/proc/{pid}/task")).expect("its threads") {
        let children =
            fs::read_to_string(task.expect("a thread").path().join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "it has started other programs");
    }
    let asked = interpreter(&fs::read(&built).expect("read"));
    assert!(asked.as_ref().is_some_and(|i| i.contains("ld-")), "dynamically linked: {asked:?}");

    // TCP and UDP over IPv4, no io_uring, and no Unix socket that anybody could come to.
    let mut own = BTreeSet::new();
    for fd in fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors") {
        let Ok(to) = fs::read_link(fd.expect("one").path()) else { continue };
        let to = to.to_string_lossy().into_owned();
        assert!(!to.contains("io_uring"), "{to}");
        if let Some(inode) = to.strip_prefix("socket:[") {
            own.insert(inode.trim_end_matches(']').to_string());
        }
    }
    let of = |table: &str, column| inodes(table, column, |_| true);
    assert!(own.iter().any(|i| of("tcp", 9).contains(i)), "it listens");
    assert!(own.iter().any(|i| of("udp", 9).contains(i)), "it takes notes");
    for table in ["tcp6", "udp6"] {
        assert!(own.is_disjoint(&of(table, 9)), "{table}");
    }
    let named = inodes("unix", 6, |row| row.len() > 7);
    assert!(own.is_disjoint(&named), "a Unix socket with a name is open: a part of ours is on");
    assert_eq!(fs::read_dir(root.0.join("tmp")).expect("a folder").count(), 0, "it leaves no files");

    let asked = Command::new("kill").args(["-TERM", &pid.to_string()]).status().expect("kill");
    assert!(asked.success());
    assert!(running.0.wait().expect("ended").success(), "SIGTERM ends it in order");
}
