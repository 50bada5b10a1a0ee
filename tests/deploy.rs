//! Checks the deploy file against the requirements of the platform, without the benchmark: the `run` line as
//! it stands starts the built gatekeeper as a single process, with all optional parts of the program off.

use serde_json::json;
use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The parsed deploy file.
fn deploy_file() -> toml::Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/balancer.toml");
    fs::read_to_string(path).expect("read the deploy file").parse().expect("valid TOML")
}

/// A string value of the deploy file.
fn deploy_value(key: &str) -> String {
    deploy_file()[key].as_str().expect("a string value").to_string()
}

/// A temporary root directory as the platform has it after the build: it holds only a link to the gatekeeper
/// of this build and an empty directory for temporary files.
struct Root(PathBuf);

impl Root {
    fn new(name: &str) -> Root {
        let path = std::env::temp_dir().join(format!("frostvale-deploy-{name}-{}", std::process::id()));
        fs::create_dir_all(path.join("target/release")).expect("create a directory");
        fs::create_dir_all(path.join("tmp")).expect("create a directory");
        let program = env!("CARGO_BIN_EXE_frostvale");
        symlink(program, path.join("target/release/frostvale")).expect("create a symbolic link");
        Root(path)
    }
}

impl Drop for Root {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running gatekeeper, which is killed at the end of the test.
struct GatekeeperProcess(Child);

impl Drop for GatekeeperProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn deploy_file_builds_and_runs_only_gatekeeper_and_drill() {
    let table = deploy_file();
    let keys: Vec<&str> = table.keys().map(String::as_str).collect();
    assert_eq!(keys, ["build", "node", "packages", "policy", "run", "sim"]);
    assert_eq!(
        deploy_value("build"),
        "cargo build --release",
        "builds the default members: gatekeeper and drill"
    );
    // Without arguments, environment variables and further commands, the parts that are off by default stay
    // off.
    assert_eq!(deploy_value("run"), "exec target/release/frostvale");
    assert_eq!(deploy_value("sim"), "exec target/release/frostvale-drill");
    for key in ["policy", "node"] {
        for path in table[key].as_array().expect("an array") {
            let path = path.as_str().expect("a path string");
            assert!(
                Path::new(env!("CARGO_MANIFEST_DIR")).join(path).exists(),
                "{key}: {path} does not exist"
            );
        }
    }
    let cargo = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml"))
        .expect("read Cargo.toml");
    let cargo: toml::Table = cargo.parse().expect("valid TOML");
    assert_eq!(cargo["workspace"]["default-members"].as_array().map(Vec::len), Some(1));
}

/// The interpreter that a 64-bit little-endian ELF file names in its PT_INTERP header. Dynamically linked
/// programs have one, static ones have none.
fn interpreter(program: &[u8]) -> Option<String> {
    let int = |at: usize, len: usize| {
        program.get(at..at + len).map(|b| b.iter().rev().fold(0_u64, |n, b| n << 8 | u64::from(*b)))
    };
    let (table, size, count) = (int(32, 8)? as usize, int(54, 2)? as usize, int(56, 2)? as usize);
    let header = (0..count).map(|k| table + k * size).find(|at| int(*at, 4) == Some(3))?;
    let (from, len) = (int(header + 8, 8)? as usize, int(header + 32, 8)? as usize);
    Some(String::from_utf8_lossy(program.get(from..from + len)?).trim_end_matches('\0').to_string())
}

/// Inodes of sockets in a table of /proc/net. `column` holds the inode; rows for which `filter` is false are
/// skipped.
fn socket_inodes(table: &str, column: usize, filter: impl Fn(&[&str]) -> bool) -> BTreeSet<String> {
    let text = fs::read_to_string(format!("/proc/net/{table}")).unwrap_or_default();
    let rows = text.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
    rows.filter(|r| filter(r)).filter_map(|r| r.get(column).map(|i| (*i).to_string())).collect()
}

#[cfg(target_os = "linux")]
#[test]
fn run_line_starts_one_process_with_all_optional_parts_off() {
    let root = Root::new("run");
    let silent_discovery = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let settings = json!({
        "Balancers": 1, "Me": 0, "Classes": [{"Name": "read", "Target": 400.0, "Effect": "repeatable"}],
        "Plans": [{"Name": "basico", "UnitsPerS": 1.0, "PeakUnits": 5.0}],
        "Bounds": {"Peers": true},
    });
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0",
        "discovery": silent_discovery.local_addr().expect("local address").to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1"], "settings": settings,
    });
    let path = root.0.join("config.json");
    fs::write(&path, config.to_string()).expect("write the configuration");
    let child = Command::new("/bin/sh")
        .args(["-c", &deploy_value("run")])
        .current_dir(&root.0)
        .env_clear()
        .env("GW_CONFIG", &path)
        .env("TMPDIR", root.0.join("tmp"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the run line");
    let mut gatekeeper = GatekeeperProcess(child);
    let pid = gatekeeper.0.id();
    let log = BufReader::new(gatekeeper.0.stderr.take().expect("standard error is piped"));
    let lines: Vec<String> = log
        .lines()
        .map_while(Result::ok)
        .scan(false, |done, line| {
            let take = !*done;
            *done = line.contains("serves at");
            take.then_some(line)
        })
        .take_while(|line| !line.contains("serves at"))
        .collect();
    assert!(
        gatekeeper.0.try_wait().expect("query the process").is_none(),
        "the gatekeeper has exited: {lines:?}"
    );

    // The shell has replaced itself with the gatekeeper, which has started no other process.
    let program = fs::read_link(format!("/proc/{pid}/exe")).expect("read the link to the executable");
    let built = Path::new(env!("CARGO_BIN_EXE_frostvale")).canonicalize().expect("resolve the path");
    assert_eq!(program, built, "the process of the run line is not the gatekeeper");
    for task in fs::read_dir(format!("/proc/{pid}/task")).expect("list the threads") {
        let children = fs::read_to_string(task.expect("read the entry of a thread").path().join("children"))
            .unwrap_or_default();
        assert_eq!(children.trim(), "", "the gatekeeper has started other processes");
    }
    let interpreter_path = interpreter(&fs::read(&built).expect("read the program"));
    assert!(
        interpreter_path.as_ref().is_some_and(|i| i.contains("ld-")),
        "not dynamically linked: {interpreter_path:?}"
    );

    // It uses TCP and UDP over IPv4, no io_uring, and no Unix socket that others could connect to.
    let mut own_inodes = BTreeSet::new();
    for fd in fs::read_dir(format!("/proc/{pid}/fd")).expect("list the file descriptors") {
        let Ok(target) = fs::read_link(fd.expect("read the entry of a descriptor").path()) else { continue };
        let target = target.to_string_lossy().into_owned();
        assert!(!target.contains("io_uring"), "an io_uring descriptor is open: {target}");
        if let Some(inode) = target.strip_prefix("socket:[") {
            own_inodes.insert(inode.trim_end_matches(']').to_string());
        }
    }
    let inodes_in = |table: &str, column| socket_inodes(table, column, |_| true);
    assert!(own_inodes.iter().any(|i| inodes_in("tcp", 9).contains(i)), "no TCP socket over IPv4 is open");
    assert!(
        own_inodes.iter().any(|i| inodes_in("udp", 9).contains(i)),
        "no UDP socket for peer messages is open"
    );
    for table in ["tcp6", "udp6"] {
        assert!(own_inodes.is_disjoint(&inodes_in(table, 9)), "a socket of table {table} is open");
    }
    let named = socket_inodes("unix", 6, |row| row.len() > 7);
    assert!(own_inodes.is_disjoint(&named), "a Unix socket with a name is open: an optional part is on");
    assert_eq!(
        fs::read_dir(root.0.join("tmp")).expect("list the directory").count(),
        0,
        "files are left in the directory for temporary files"
    );

    let kill_status = Command::new("kill").args(["-TERM", &pid.to_string()]).status().expect("run kill");
    assert!(kill_status.success());
    assert!(gatekeeper.0.wait().expect("wait for the gatekeeper").success(), "SIGTERM leads to a clean exit");
}
