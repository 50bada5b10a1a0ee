//! A local cluster on one machine, for `frostctl dev` and for tests. Formula servers, discovery and the
//! shared counter are stand-ins in this process; the gatekeepers and the agent run as child processes.

pub mod zone_views;

use self::zone_views::{ZoneView, target};
use crate::client::Shop;
use crate::counter::SharedCounter;
use crate::discovery::Discovery;
use crate::formula_server::{FormulaServer, ServerOptions, SharedKeys};
use crate::ports::{self, free_port};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// The longest wait for a log line of a process, also while it starts.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the gatekeepers have to drain and to send their final usage report before they are killed.
const GATEKEEPER_STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the agent has to receive and store the final usage reports before it is killed.
const AGENT_STOP_TIMEOUT: Duration = Duration::from_secs(14);

/// Returns a loopback address for one cluster, derived from the process id and a counter, so that clusters
/// that run at the same time do not collide. Outside Linux it is always 127.0.0.1.
#[must_use]
pub fn own_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    if cfg!(not(target_os = "linux")) {
        return Ipv4Addr::LOCALHOST.into();
    }
    let n = std::process::id().wrapping_mul(16).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    // Addresses start at 127.64.0.0; the last byte is never 0 or 255.
    Ipv4Addr::new(127, 64 + (n >> 16 & 63) as u8, (n >> 8) as u8, 1 + (n & 0xff).min(253) as u8).into()
}

/// Returns the parent folder for test files: `/dev/shm` if it has at least 1 GiB available, else the system's
/// temporary folder. The consensus group syncs its file at each step and its leases last 600 ms in tests; on
/// a disk that takes 0.1 s per sync, leases would expire in tests that do not intend it.
#[must_use]
pub fn scratch_folder() -> PathBuf {
    const IN_MEMORY: &str = "/dev/shm";
    const MIN_AVAILABLE_BYTES: u64 = 1 << 30;
    let has_space =
        rustix::fs::statvfs(IN_MEMORY).is_ok_and(|s| s.f_bavail * s.f_frsize >= MIN_AVAILABLE_BYTES);
    if has_space { PathBuf::from(IN_MEMORY) } else { std::env::temp_dir() }
}

/// Returns the path of a program of this workspace. It is searched for in the folder of the running
/// executable and in that folder's parent (test executables are in `deps/`).
///
/// # Errors
/// When the program is in neither folder.
pub fn program(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe()
        .map_err(|e| format!("cannot find the path of the running executable: {e}"))?;
    let found = own.ancestors().skip(1).take(2).map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        format!("cannot find {name} beside {}; build it: cargo build --release --workspace", own.display())
    })
}

/// Options of a local cluster.
#[derive(Clone)]
pub struct ClusterOptions {
    /// Number of gatekeepers: 1 to 100, or 0 to 100 without an agent.
    pub gatekeepers: usize,
    /// Number of formula servers.
    pub servers: usize,
    /// Options of each formula server.
    pub formula: ServerOptions,
    /// Plans, in the form of the platform's settings. `None` stands for `example_plans`.
    pub plans: Option<Value>,
    /// TOML text appended to the local settings file of each gatekeeper.
    pub gatekeeper_settings: String,
    /// TOML sections appended to the agent's settings file.
    pub agent_settings: String,
    /// TOML lines appended to the `[rls]` section of the agent's settings file, after `listen`.
    pub rls: String,
    /// Whether an agent is started.
    pub agent: bool,
    /// Whether each zone reaches the servers through proxies of its own (see `zone_views`).
    pub views: bool,
    /// Command and arguments placed in front of each program. Empty: the program is started directly.
    pub launcher: Vec<String>,
    /// Folder of the settings files, sockets and logs. `None` creates a new folder that is removed when the
    /// cluster is dropped.
    pub folder: Option<PathBuf>,
    /// Whether gatekeepers send each other peer messages (`Bounds.Peers`).
    pub notes: bool,
    /// The maximum units of one request (`Domain.Largest`).
    pub largest: u32,
    /// How far the clock of each gatekeeper's host is ahead, in ms, by gatekeeper number. A missing entry
    /// means 0.
    pub clocks_ahead_ms: Vec<i64>,
    /// Log format of the programs: `text` or `json`.
    pub log_format: String,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions {
            gatekeepers: 3,
            servers: 9,
            formula: ServerOptions::default(),
            plans: None,
            gatekeeper_settings: String::new(),
            agent_settings: String::new(),
            rls: String::new(),
            agent: true,
            views: false,
            launcher: Vec::new(),
            folder: None,
            notes: true,
            largest: 4,
            clocks_ahead_ms: Vec::new(),
            log_format: "text".into(),
        }
    }
}

/// Returns the four example plans, in the form of the platform's settings.
#[must_use]
pub fn example_plans() -> Value {
    json!([
        {"Name": "basico", "UnitsPerS": 1.4, "PeakUnits": 6.0, "ValueFactor": 0.45, "OverCost": 0.5},
        {"Name": "tienda", "UnitsPerS": 3.2, "PeakUnits": 12.0, "ValueFactor": 0.8, "OverCost": 1.2},
        {"Name": "ferreteria", "UnitsPerS": 10.0, "PeakUnits": 20.0, "ValueFactor": 1.3, "OverCost": 0.8,
         "CapRate": 20.0, "CapDepth": 30.0, "CeilingSlack": 4.0},
        {"Name": "distribuidor", "UnitsPerS": 25.0, "PeakUnits": 55.0, "MaxOut": 6, "ValueFactor": 1.6,
         "OverCost": 0.8},
    ])
}

/// Returns the names of the plans, in their order.
#[must_use]
pub fn plan_names(plans: &Value) -> Vec<String> {
    let names = plans.as_array().map(Vec::as_slice).unwrap_or_default().iter();
    names.filter_map(|p| p["Name"].as_str().map(str::to_string)).collect()
}

/// A child process of the cluster, with its captured log.
pub struct Process {
    /// Name of the process, used in error messages.
    pub name: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    lines: watch::Receiver<usize>,
}

impl Process {
    pub(crate) async fn start(name: &str, mut command: Command, log_file: &Path) -> Result<Process, String> {
        // The child gets a process group of its own, so that Ctrl-C, which signals the whole foreground
        // group, does not end it: the cluster stops its processes in order.
        command.process_group(0);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = ports::start(&mut command).map_err(|e| format!("cannot start {name}: {e}"))?;
        let Some(stderr) = child.stderr.take() else {
            return Err(format!("cannot read the log of {name}: standard error is not a pipe"));
        };
        let mut file = tokio::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_file)
            .await
            .map_err(|e| format!("cannot open the log of {name}: {}: {e}", log_file.display()))?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let (line_count, lines) = watch::channel(0);
        let shared_log = log.clone();
        tokio::spawn(async move {
            let mut reader = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = reader.next_line().await {
                let _ = file.write_all(format!("{line}\n").as_bytes()).await;
                let _ = file.flush().await;
                let count = {
                    let mut log = shared_log.lock().unwrap_or_else(PoisonError::into_inner);
                    // Limits memory; the file holds all lines.
                    if log.len() < 10_000 {
                        log.push(line);
                    }
                    log.len()
                };
                line_count.send_replace(count);
            }
        });
        Ok(Process { name: name.to_string(), child, log, lines })
    }

    /// Returns the log lines so far, at most the first 10,000.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until a log line contains `text`, and returns the line.
    ///
    /// # Errors
    /// When there is no such line within `START_TIMEOUT`, or the process closes its log first.
    pub async fn wait_for_log(&mut self, text: &str) -> Result<String, String> {
        self.wait_for_log_times(text, 1).await
    }

    /// Waits until `times` log lines contain `text`, and returns the last of them.
    ///
    /// # Errors
    /// When there are too few such lines within `START_TIMEOUT`, or the process closes its log first.
    pub async fn wait_for_log_times(&mut self, text: &str, times: usize) -> Result<String, String> {
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        loop {
            let _ = self.lines.borrow_and_update();
            let found = self.log().into_iter().filter(|line| line.contains(text)).nth(times - 1);
            if let Some(line) = found {
                return Ok(line);
            }
            let changed = tokio::time::timeout_at(deadline, self.lines.changed()).await;
            let last_line = || self.log().last().cloned().unwrap_or_default();
            match changed {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(format!("{} ended; last log line: {}", self.name, last_line())),
                Err(_) => {
                    return Err(format!(
                        "{} did not log {text:?} in time; last log line: {}",
                        self.name,
                        last_line()
                    ));
                }
            }
        }
    }

    /// The process id, or `None` once the process has ended and was waited for.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends the process a signal by name, as `kill -NAME` does (for example `TERM` or `STOP`).
    pub async fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let mut kill = Command::new("kill");
            kill.arg(format!("-{name}")).arg(pid.to_string());
            if let Ok(mut child) = ports::start(&mut kill) {
                let _ = child.wait().await;
            }
        }
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits until the process has ended, and returns its exit status.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        self.child.wait().await.ok()
    }

    /// Returns the exit status if the process has ended.
    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// CPU time (user and system) used by the process, in ms, at 100 clock ticks per second; 0 where `/proc`
    /// does not tell it.
    #[must_use]
    pub fn cpu_ms(&self) -> u64 {
        let stat = self.pid().and_then(|pid| fs::read_to_string(format!("/proc/{pid}/stat")).ok());
        let ticks = stat.and_then(|s| {
            let rest = s.rsplit_once(')')?.1.to_string();
            let fields: Vec<&str> = rest.split_whitespace().collect();
            Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
        });
        ticks.unwrap_or(0) * 10
    }

    /// Sends SIGTERM and waits for the process to end; kills it after `timeout`.
    pub async fn stop(&mut self, timeout: Duration) {
        self.signal("TERM").await;
        if tokio::time::timeout(timeout, self.child.wait()).await.is_err() {
            self.kill().await;
        }
    }
}

/// A gatekeeper of the cluster.
pub struct Gatekeeper {
    /// Name: `n1`, `n2`, and so on.
    pub name: String,
    /// Number, from 0.
    pub number: u32,
    /// Address where clients connect (RESP).
    pub resp: SocketAddr,
    /// Unix socket of its link to the agent.
    pub socket: PathBuf,
    /// Its configuration file (JSON).
    pub config: PathBuf,
    /// Its local settings file (TOML).
    pub local_settings: PathBuf,
    /// The running process.
    pub process: Process,
}

/// A running local cluster. Its processes are killed when it is dropped.
pub struct LocalCluster {
    /// Folder of the settings files, sockets and logs.
    pub folder: PathBuf,
    own_folder: bool,
    /// Loopback address of all its listeners.
    pub ip: IpAddr,
    /// The formula servers.
    pub servers: Vec<FormulaServer>,
    /// Discovery, which lists the formula servers.
    pub discovery: Discovery,
    /// The shared counter.
    pub counter: SharedCounter,
    /// The gatekeepers, by number.
    pub gatekeepers: Vec<Gatekeeper>,
    /// Discovery and servers as each zone sees them; empty unless `ClusterOptions::views` is set.
    pub zone_views: Vec<ZoneView>,
    /// The keys that the servers of each rack share.
    pub(crate) racks: Vec<SharedKeys>,
    /// Formula servers that were replaced by new ones.
    pub retired_servers: Vec<FormulaServer>,
    /// The agent, if one was started.
    pub agent: Option<Process>,
    /// Address where the agent serves rate limit calls.
    pub rls: SocketAddr,
    /// Unix socket for the agent's operators.
    pub control: PathBuf,
    /// Names of the plans.
    pub plans: Vec<String>,
    options: ClusterOptions,
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        if self.own_folder {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl LocalCluster {
    /// Starts the cluster and waits until all its parts serve.
    ///
    /// # Errors
    /// When the number of gatekeepers is out of range, a file cannot be written, or a part does not start.
    pub async fn start(options: ClusterOptions) -> Result<LocalCluster, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let min_gatekeepers = usize::from(options.agent);
        if !(min_gatekeepers..=100).contains(&options.gatekeepers) {
            return Err(format!(
                "cannot start {} gatekeepers: the range is {min_gatekeepers} to 100",
                options.gatekeepers
            ));
        }
        let ip = own_ip();
        let own_folder = options.folder.is_none();
        let folder = options.folder.clone().unwrap_or_else(|| {
            let n = NEXT.fetch_add(1, Ordering::Relaxed);
            scratch_folder().join(format!("frostvale-{}-{n}", std::process::id()))
        });
        fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let folder = folder.canonicalize().map_err(|e| format!("{}: {e}", folder.display()))?;
        let listen_error = |e: std::io::Error| format!("cannot start a stand-in at {ip}: {e}");
        let discovery = Discovery::start(ip).await.map_err(listen_error)?;
        let counter = SharedCounter::start(ip).await.map_err(listen_error)?;
        let racks: Vec<SharedKeys> = (0..3).map(|_| SharedKeys::default()).collect();
        let mut servers = Vec::new();
        for k in 0..options.servers {
            let uid = format!("formula{}", k + 1);
            let server = FormulaServer::start(&uid, ip, options.formula.clone(), racks[k % 3].clone(), false)
                .await
                .map_err(listen_error)?;
            discovery.set(&uid, target(&server, k));
            servers.push(server);
        }
        let zone_views =
            if options.views { ZoneView::all(ip, &servers).await.map_err(listen_error)? } else { Vec::new() };
        let plans = options.plans.clone().unwrap_or_else(example_plans);
        let rls = SocketAddr::new(ip, free_port(ip)?);
        let mut ports = Vec::new();
        for _ in 0..2 * options.gatekeepers {
            let mut port = free_port(ip)?;
            while ports.contains(&port) || port == rls.port() {
                port = free_port(ip)?;
            }
            ports.push(port);
        }
        let (resp_ports, peer_ports) = ports.split_at(options.gatekeepers);
        let mut cluster = LocalCluster {
            control: folder.join("agent.sock"),
            plans: plan_names(&plans),
            ip,
            own_folder,
            servers,
            racks,
            retired_servers: Vec::new(),
            zone_views,
            discovery,
            counter,
            gatekeepers: Vec::new(),
            agent: None,
            rls,
            folder,
            options,
        };
        for (k, port) in resp_ports.iter().enumerate() {
            let resp = SocketAddr::new(ip, *port);
            cluster.write_settings(k, resp, peer_ports, &plans)?;
            let name = format!("n{}", k + 1);
            let gatekeeper = Gatekeeper {
                number: u32::try_from(k).unwrap_or(0),
                resp,
                socket: cluster.folder.join(format!("{name}.sock")),
                config: cluster.folder.join(format!("{name}.json")),
                local_settings: cluster.folder.join(format!("{name}.toml")),
                process: cluster.spawn_gatekeeper(k).await?,
                name,
            };
            cluster.gatekeepers.push(gatekeeper);
        }
        for g in &mut cluster.gatekeepers {
            g.process.wait_for_log("serves at").await?;
        }
        if cluster.options.agent {
            cluster.start_agent().await?;
        }
        Ok(cluster)
    }

    /// Writes the configuration and the local settings file of the gatekeeper number `k`.
    fn write_settings(
        &self,
        k: usize,
        listen: SocketAddr,
        peer_ports: &[u16],
        plans: &Value,
    ) -> Result<(), String> {
        let name = format!("n{}", k + 1);
        let peers: Vec<String> =
            peer_ports.iter().map(|p| SocketAddr::new(self.ip, *p).to_string()).collect();
        let config = json!({
            "name": name, "listen": listen.to_string(),
            "discovery": zone_views::discovery_address(&self.zone_views, k, &self.discovery).to_string(),
            "seed": format!("{:x}", 7919 * (k + 1)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peers[k], "peers": peers, "counter": self.counter.at.to_string(),
            "settings": {
                "Balancers": self.options.gatekeepers, "Me": k, "Zone": k % 3,
                "Areas": zone_views::ZONES, "Kinds": ["std-2", "slow-3"],
                "Bounds": {"Peers": self.options.notes, "TryLimit": 3},
                "Domain": {"PeerIntake": 60.0, "Largest": self.options.largest},
                "Rules": {"ColdFrom": 0.25, "WarmWithin": 4000.0},
                "Classes": [
                    {"Name": "formula-read", "Worth": 1.0, "Target": 400.0, "Deadline": 1000.0,
                     "Effect": "repeatable"},
                    {"Name": "mix-record", "Worth": 3.0, "Target": 1000.0, "Deadline": 4000.0,
                     "Effect": "by_key", "Group": "cell", "Window": 2500.0},
                ],
                "Plans": plans,
            },
        });
        let socket = self.folder.join(format!("{name}.sock"));
        let local_settings = format!(
            "clock_ahead_ms = {}\n[link]\nsocket = {:?}\n[log]\nformat = {:?}\n{}",
            self.options.clocks_ahead_ms.get(k).copied().unwrap_or(0),
            socket.display().to_string(),
            self.options.log_format,
            self.options.gatekeeper_settings
        );
        let write_file = |file: String, text: String| {
            let path = self.folder.join(file);
            fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
        };
        write_file(format!("{name}.json"), config.to_string())?;
        write_file(format!("{name}.toml"), local_settings)
    }

    /// Returns the command that starts `program`, behind the launcher if there is one.
    fn command(&self, program: &Path) -> Command {
        let mut arguments = self.options.launcher.iter().map(PathBuf::from).chain([program.to_path_buf()]);
        let mut command = Command::new(arguments.next().unwrap_or_default());
        command.args(arguments);
        command
    }

    async fn spawn_gatekeeper(&self, k: usize) -> Result<Process, String> {
        let name = format!("n{}", k + 1);
        let mut command = self.command(&program("frostvale")?);
        command.env("GW_CONFIG", self.folder.join(format!("{name}.json")));
        command.env("GW_EXTRA", self.folder.join(format!("{name}.toml")));
        for variable in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
            command.env_remove(variable);
        }
        Process::start(&name, command, &self.folder.join(format!("{name}.log"))).await
    }

    /// Restarts a gatekeeper that has ended, and waits until it serves.
    ///
    /// # Errors
    /// When the gatekeeper does not start.
    pub async fn restart_gatekeeper(&mut self, k: usize) -> Result<(), String> {
        let mut process = self.spawn_gatekeeper(k).await?;
        process.wait_for_log("serves at").await?;
        self.gatekeepers[k].process = process;
        Ok(())
    }

    /// Starts the agent and waits until it is linked with all gatekeepers. `sockets` gives, by gatekeeper
    /// name, the socket that the agent connects to in place of the gatekeeper's own.
    ///
    /// # Errors
    /// When the settings file cannot be written, the agent does not start, or a link is not made in time.
    pub async fn start_agent_with(&mut self, sockets: &BTreeMap<String, PathBuf>) -> Result<(), String> {
        let mut text = String::from("name = \"agent\"\n");
        for g in &self.gatekeepers {
            let socket = sockets.get(&g.name).unwrap_or(&g.socket).display().to_string();
            text.push_str(&format!("[[gatekeepers]]\nname = {:?}\nsocket = {socket:?}\n", g.name));
        }
        text.push_str(&format!("[control]\nsocket = {:?}\n", self.control.display().to_string()));
        text.push_str(&format!(
            "[rls]\nlisten = \"{}\"\n{}\n{}\n",
            self.rls, self.options.rls, self.options.agent_settings
        ));
        let path = self.folder.join("agent.toml");
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = self.command(&program("frostagent")?);
        command.arg("--config").arg(&path).arg("--log-format").arg(&self.options.log_format);
        let mut agent = Process::start("agent", command, &self.folder.join("agent.log")).await?;
        agent.wait_for_log("serves rate limits at").await?;
        agent.wait_for_log_times("is linked, number", self.gatekeepers.len()).await?;
        self.agent = Some(agent);
        Ok(())
    }

    /// Starts the agent and waits until it is linked with all gatekeepers.
    ///
    /// # Errors
    /// When the agent does not start.
    pub async fn start_agent(&mut self) -> Result<(), String> {
        self.start_agent_with(&BTreeMap::new()).await
    }

    /// Returns `each` shops of each plan, whose sets have `spread` gatekeepers (1 to all of them).
    #[must_use]
    pub fn shops(&self, each: usize, spread: u32) -> Vec<Shop> {
        let gatekeeper_count = u32::try_from(self.gatekeepers.len().max(1)).unwrap_or(1);
        let mut shops = Vec::new();
        for k in 0..each {
            for (p, plan) in self.plans.iter().enumerate() {
                let n = k * self.plans.len() + p;
                shops.push(Shop {
                    id: format!("{:016x}", 0x1000 + n * 7919),
                    plan: plan.clone(),
                    first: u32::try_from(n).unwrap_or(0) % gatekeeper_count,
                    spread: spread.clamp(1, gatekeeper_count),
                });
            }
        }
        shops
    }

    /// Returns the units that the present formula servers ran, by shop.
    #[must_use]
    pub fn units_by_shop(&self) -> BTreeMap<String, f64> {
        let mut units_by_shop = BTreeMap::new();
        for server in &self.servers {
            for (shop, units) in server.ledger().units {
                *units_by_shop.entry(shop).or_default() += units;
            }
        }
        units_by_shop
    }

    /// Returns the addresses and sockets of all parts, as JSON for scripts.
    #[must_use]
    pub fn ready_json(&self) -> Value {
        let gatekeeper = |g: &Gatekeeper| json!({"name": g.name, "resp": g.resp.to_string(), "control": g.socket.display().to_string()});
        json!({
            "gatekeepers": self.gatekeepers.iter().map(gatekeeper).collect::<Vec<_>>(),
            "agent": {"rls": self.rls.to_string(), "control": self.control.display().to_string()},
            "servers": self.servers.iter().map(|s| json!({"uid": s.uid, "addr": s.at.to_string()})).collect::<Vec<_>>(),
            "discovery": self.discovery.at.to_string(),
            "counter": self.counter.at.to_string(),
        })
    }

    /// Stops all processes: first the gatekeepers, all at once and with time to drain, then the agent, which
    /// receives their final usage reports.
    pub async fn stop(&mut self) {
        for g in &self.gatekeepers {
            g.process.signal("TERM").await;
        }
        let deadline = Instant::now() + GATEKEEPER_STOP_TIMEOUT;
        for g in &mut self.gatekeepers {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if tokio::time::timeout(remaining, g.process.wait()).await.is_err() {
                g.process.kill().await;
            }
        }
        if let Some(agent) = &mut self.agent {
            agent.stop(AGENT_STOP_TIMEOUT).await;
        }
    }
}
