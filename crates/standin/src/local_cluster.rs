//! The whole town on one machine: formula servers, discovery and counter as stand-ins in this process, gatekeepers
//! and an agent as processes of their own. For `frostctl dev` and for tests.

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

/// Nothing of a town takes so long to start.
const START: Duration = Duration::from_secs(20);

/// How long gatekeepers are given to drain and to speak their last word, and an agent to take it and land it.
const STOP: Duration = Duration::from_secs(8);
const AGENT_STOP: Duration = Duration::from_secs(14);

/// A loopback address of this process's own, so that towns beside each other don't meet.
#[must_use]
pub fn own_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    if cfg!(not(target_os = "linux")) {
        return Ipv4Addr::LOCALHOST.into();
    }
    let n = std::process::id().wrapping_mul(16).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    // 127.64.0.0 and up; the last byte is neither 0 nor 255.
    Ipv4Addr::new(127, 64 + (n >> 16 & 63) as u8, (n >> 8) as u8, 1 + (n & 0xff).min(253) as u8).into()
}

/// Where tests keep files: in memory, where there is room for them. Councils sync each step and their leases last
/// 600 ms here; a disk that takes 0.1 s for a sync would end leases that no test means to end.
#[must_use]
pub fn scratch_folder() -> PathBuf {
    const IN_MEMORY: &str = "/dev/shm";
    const ROOM_BYTES: u64 = 1 << 30;
    let has_room = rustix::fs::statvfs(IN_MEMORY).is_ok_and(|s| s.f_bavail * s.f_frsize >= ROOM_BYTES);
    if has_room { PathBuf::from(IN_MEMORY) } else { std::env::temp_dir() }
}

/// A program that the workspace builds: beside this one, or where its tests are.
///
/// # Errors
/// When it is not built.
pub fn program(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's own place is not known: {e}"))?;
    let near = own.ancestors().skip(1).take(2).map(|folder| folder.join(name)).find(|path| path.is_file());
    near.ok_or_else(|| {
        format!("{name} is not beside {}; build it: cargo build --release --workspace", own.display())
    })
}

/// What a town is to be.
#[derive(Clone)]
pub struct ClusterOptions {
    /// Gatekeepers, 1 to 100.
    pub gatekeepers: usize,
    /// Formula servers.
    pub servers: usize,
    /// How each works.
    pub formula: ServerOptions,
    /// Plans, as the platform's settings write them; none is the brief's four.
    pub plans: Option<Value>,
    /// For the gatekeepers' own files: the section on an outside service.
    pub gatekeeper_settings: String,
    /// For the agent's file, beside its gatekeepers: sections of their own.
    pub agent_settings: String,
    /// The agent's rate limit section, without its listener.
    pub rls: String,
    /// Whether an agent is started.
    pub agent: bool,
    /// Whether each zone reaches servers by ways of its own.
    pub views: bool,
    /// What a program is started with in front of it, if anything.
    pub launcher: Vec<String>,
    /// Where configurations, sockets and logs go; none is a new folder that goes with the town.
    pub folder: Option<PathBuf>,
    /// Whether gatekeepers may send each other notes.
    pub notes: bool,
    /// The units that one request may count at the most.
    pub largest: u32,
    /// By how many ms each gatekeeper's host has its clock ahead; none is right.
    pub clocks_ahead_ms: Vec<i64>,
    /// How programs write their log lines: `text` or `json`.
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

/// The brief's four plans.
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

/// The names of the town's plans, by number.
#[must_use]
pub fn plan_names(plans: &Value) -> Vec<String> {
    let names = plans.as_array().map(Vec::as_slice).unwrap_or_default().iter();
    names.filter_map(|p| p["Name"].as_str().map(str::to_string)).collect()
}

/// A process of the town.
pub struct Process {
    /// Its name.
    pub name: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    lines: watch::Receiver<usize>,
}

impl Process {
    pub(crate) async fn start(name: &str, mut command: Command, log_file: &Path) -> Result<Process, String> {
        // A signal to this process's group, as Ctrl-C sends it, is not theirs: the town ends in its order.
        command.process_group(0);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = ports::start(&mut command).map_err(|e| format!("{name}: cannot be started: {e}"))?;
        let Some(stderr) = child.stderr.take() else { return Err(format!("{name}: has no log")) };
        let mut file = tokio::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_file)
            .await
            .map_err(|e| format!("{name}: its log {}: {e}", log_file.display()))?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let (told, lines) = watch::channel(0);
        let kept = log.clone();
        tokio::spawn(async move {
            let mut read = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = read.next_line().await {
                let _ = file.write_all(format!("{line}\n").as_bytes()).await;
                let _ = file.flush().await;
                let count = {
                    let mut log = kept.lock().unwrap_or_else(PoisonError::into_inner);
                    // The file has all of them.
                    if log.len() < 10_000 {
                        log.push(line);
                    }
                    log.len()
                };
                told.send_replace(count);
            }
        });
        Ok(Process { name: name.to_string(), child, log, lines })
    }

    /// Its log so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until a line of its log holds this text, and gives the line.
    ///
    /// # Errors
    /// When that takes too long, or it ends before.
    pub async fn wait_for_log(&mut self, text: &str) -> Result<String, String> {
        self.wait_for_log_times(text, 1).await
    }

    /// Waits until so many lines of its log hold this text, and gives the last of them.
    ///
    /// # Errors
    /// When that takes too long, or it ends before.
    pub async fn wait_for_log_times(&mut self, text: &str, times: usize) -> Result<String, String> {
        let until = tokio::time::Instant::now() + START;
        loop {
            let _ = self.lines.borrow_and_update();
            let found = self.log().into_iter().filter(|line| line.contains(text)).nth(times - 1);
            if let Some(line) = found {
                return Ok(line);
            }
            let ended = tokio::time::timeout_at(until, self.lines.changed()).await;
            let last = || self.log().last().cloned().unwrap_or_default();
            match ended {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(format!("{} has ended: {}", self.name, last())),
                Err(_) => return Err(format!("{} never said {text:?}; last: {}", self.name, last())),
            }
        }
    }

    /// Its process id while it runs.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends it a signal by its number's name, as `kill -NAME` does.
    pub async fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let mut kill = Command::new("kill");
            kill.arg(format!("-{name}")).arg(pid.to_string());
            if let Ok(mut child) = ports::start(&mut kill) {
                let _ = child.wait().await;
            }
        }
    }

    /// Kills it, and waits until it is gone.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits until it has ended.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        self.child.wait().await.ok()
    }

    /// How it ended, if it has.
    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// CPU time that it has used, in ms; 0 where that can't be told.
    #[must_use]
    pub fn cpu_ms(&self) -> u64 {
        let stat = self.pid().and_then(|pid| fs::read_to_string(format!("/proc/{pid}/stat")).ok());
        let ticks = stat.and_then(|s| {
            let rest = s.rsplit_once(')')?.1.to_string();
            let words: Vec<&str> = rest.split_whitespace().collect();
            Some(words.get(11)?.parse::<u64>().ok()? + words.get(12)?.parse::<u64>().ok()?)
        });
        ticks.unwrap_or(0) * 10
    }

    /// Asks it to end and waits, but not for ever.
    pub async fn stop(&mut self, most: Duration) {
        self.signal("TERM").await;
        if tokio::time::timeout(most, self.child.wait()).await.is_err() {
            self.kill().await;
        }
    }
}

/// A gatekeeper of the town.
pub struct Gatekeeper {
    /// Its name.
    pub name: String,
    /// Its number.
    pub number: u32,
    /// Where clients connect.
    pub resp: SocketAddr,
    /// The socket of its link.
    pub socket: PathBuf,
    /// Its configuration.
    pub config: PathBuf,
    /// Its own file.
    pub local_settings: PathBuf,
    /// Its process.
    pub process: Process,
}

/// A running town. Its processes end with it.
pub struct LocalCluster {
    /// Everything of it stands here.
    pub folder: PathBuf,
    own_folder: bool,
    /// Its loopback address.
    pub ip: IpAddr,
    /// The formula servers.
    pub servers: Vec<FormulaServer>,
    /// The list of them.
    pub discovery: Discovery,
    /// The shared counter.
    pub counter: SharedCounter,
    /// The gatekeepers, by number.
    pub gatekeepers: Vec<Gatekeeper>,
    /// Discovery and servers as each zone sees them, where zones have ways of their own.
    pub zone_views: Vec<ZoneView>,
    pub(crate) racks: Vec<SharedKeys>,
    /// Servers that others took the place of.
    pub retired_servers: Vec<FormulaServer>,
    /// The agent.
    pub agent: Option<Process>,
    /// Where the agent answers rate limit calls.
    pub rls: SocketAddr,
    /// Where the agent's operators ask.
    pub control: PathBuf,
    /// The plans' names.
    pub plans: Vec<String>,
    plan: ClusterOptions,
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        if self.own_folder {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl LocalCluster {
    /// Starts it, and waits until all serve.
    ///
    /// # Errors
    /// With what did not start.
    pub async fn start(plan: ClusterOptions) -> Result<LocalCluster, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let least = usize::from(plan.agent);
        if !(least..=100).contains(&plan.gatekeepers) {
            return Err(format!("gatekeepers: {}; {least} to 100", plan.gatekeepers));
        }
        let ip = own_ip();
        let own_folder = plan.folder.is_none();
        let folder = plan.folder.clone().unwrap_or_else(|| {
            let n = NEXT.fetch_add(1, Ordering::Relaxed);
            scratch_folder().join(format!("frostvale-{}-{n}", std::process::id()))
        });
        fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let folder = folder.canonicalize().map_err(|e| format!("{}: {e}", folder.display()))?;
        let start = |e: std::io::Error| format!("a stand-in cannot listen at {ip}: {e}");
        let discovery = Discovery::start(ip).await.map_err(start)?;
        let counter = SharedCounter::start(ip).await.map_err(start)?;
        let racks: Vec<SharedKeys> = (0..3).map(|_| SharedKeys::default()).collect();
        let mut servers = Vec::new();
        for k in 0..plan.servers {
            let uid = format!("formula{}", k + 1);
            let server = FormulaServer::start(&uid, ip, plan.formula.clone(), racks[k % 3].clone(), false)
                .await
                .map_err(start)?;
            discovery.set(&uid, target(&server, k));
            servers.push(server);
        }
        let zone_views =
            if plan.views { ZoneView::all(ip, &servers).await.map_err(start)? } else { Vec::new() };
        let plans = plan.plans.clone().unwrap_or_else(example_plans);
        let rls = SocketAddr::new(ip, free_port(ip)?);
        let mut ports = Vec::new();
        for _ in 0..2 * plan.gatekeepers {
            let mut port = free_port(ip)?;
            while ports.contains(&port) || port == rls.port() {
                port = free_port(ip)?;
            }
            ports.push(port);
        }
        let (resp, notes) = ports.split_at(plan.gatekeepers);
        let mut town = LocalCluster {
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
            plan,
        };
        for (k, port) in resp.iter().enumerate() {
            let resp = SocketAddr::new(ip, *port);
            town.write(k, resp, notes, &plans)?;
            let name = format!("n{}", k + 1);
            let gatekeeper = Gatekeeper {
                number: u32::try_from(k).unwrap_or(0),
                resp,
                socket: town.folder.join(format!("{name}.sock")),
                config: town.folder.join(format!("{name}.json")),
                local_settings: town.folder.join(format!("{name}.toml")),
                process: town.spawn_gatekeeper(k).await?,
                name,
            };
            town.gatekeepers.push(gatekeeper);
        }
        for g in &mut town.gatekeepers {
            g.process.wait_for_log("serves at").await?;
        }
        if town.plan.agent {
            town.start_agent().await?;
        }
        Ok(town)
    }

    fn write(&self, k: usize, listen: SocketAddr, notes: &[u16], plans: &Value) -> Result<(), String> {
        let name = format!("n{}", k + 1);
        let peers: Vec<String> = notes.iter().map(|p| SocketAddr::new(self.ip, *p).to_string()).collect();
        let config = json!({
            "name": name, "listen": listen.to_string(),
            "discovery": zone_views::discovery_address(&self.zone_views, k, &self.discovery).to_string(),
            "seed": format!("{:x}", 7919 * (k + 1)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peers[k], "peers": peers, "counter": self.counter.at.to_string(),
            "settings": {
                "Balancers": self.plan.gatekeepers, "Me": k, "Zone": k % 3,
                "Areas": zone_views::ZONES, "Kinds": ["std-2", "slow-3"],
                "Bounds": {"Peers": self.plan.notes, "TryLimit": 3},
                "Domain": {"PeerIntake": 60.0, "Largest": self.plan.largest},
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
        let extra = format!(
            "clock_ahead_ms = {}\n[link]\nsocket = {:?}\n[log]\nformat = {:?}\n{}",
            self.plan.clocks_ahead_ms.get(k).copied().unwrap_or(0),
            socket.display().to_string(),
            self.plan.log_format,
            self.plan.gatekeeper_settings
        );
        let put = |file: String, text: String| {
            let path = self.folder.join(file);
            fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
        };
        put(format!("{name}.json"), config.to_string())?;
        put(format!("{name}.toml"), extra)
    }

    fn command(&self, program: &Path) -> Command {
        let mut words = self.plan.launcher.iter().map(PathBuf::from).chain([program.to_path_buf()]);
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words);
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

    /// Starts a gatekeeper again that has ended, and waits until it serves.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn restart_gatekeeper(&mut self, k: usize) -> Result<(), String> {
        let mut process = self.spawn_gatekeeper(k).await?;
        process.wait_for_log("serves at").await?;
        self.gatekeepers[k].process = process;
        Ok(())
    }

    /// Where the agent finds a gatekeeper's link, if not at the gatekeeper's own socket.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_agent_with(&mut self, sockets: &BTreeMap<String, PathBuf>) -> Result<(), String> {
        let mut text = String::from("name = \"agent\"\n");
        for g in &self.gatekeepers {
            let socket = sockets.get(&g.name).unwrap_or(&g.socket).display().to_string();
            text.push_str(&format!("[[gatekeepers]]\nname = {:?}\nsocket = {socket:?}\n", g.name));
        }
        text.push_str(&format!("[control]\nsocket = {:?}\n", self.control.display().to_string()));
        text.push_str(&format!(
            "[rls]\nlisten = \"{}\"\n{}\n{}\n",
            self.rls, self.plan.rls, self.plan.agent_settings
        ));
        let path = self.folder.join("agent.toml");
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = self.command(&program("frostagent")?);
        command.arg("--config").arg(&path).arg("--log-format").arg(&self.plan.log_format);
        let mut agent = Process::start("agent", command, &self.folder.join("agent.log")).await?;
        agent.wait_for_log("serves rate limits at").await?;
        agent.wait_for_log_times("is linked, number", self.gatekeepers.len()).await?;
        self.agent = Some(agent);
        Ok(())
    }

    /// Starts the agent, and waits until it is linked with all gatekeepers.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_agent(&mut self) -> Result<(), String> {
        self.start_agent_with(&BTreeMap::new()).await
    }

    /// Shops, `each` of each plan, whose sets are as wide as `spread`.
    #[must_use]
    pub fn shops(&self, each: usize, spread: u32) -> Vec<Shop> {
        let all = u32::try_from(self.gatekeepers.len().max(1)).unwrap_or(1);
        let mut shops = Vec::new();
        for k in 0..each {
            for (p, plan) in self.plans.iter().enumerate() {
                let n = k * self.plans.len() + p;
                shops.push(Shop {
                    id: format!("{:016x}", 0x1000 + n * 7919),
                    plan: plan.clone(),
                    first: u32::try_from(n).unwrap_or(0) % all,
                    spread: spread.clamp(1, all),
                });
            }
        }
        shops
    }

    /// Units that formula servers ran, by shop.
    #[must_use]
    pub fn units_by_shop(&self) -> BTreeMap<String, f64> {
        let mut all = BTreeMap::new();
        for server in &self.servers {
            for (shop, units) in server.ledger().units {
                *all.entry(shop).or_default() += units;
            }
        }
        all
    }

    /// Where everything is, as JSON for scripts.
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

    /// Ends all processes: the gatekeepers together, with time to drain, and then the agent, which takes their last
    /// words.
    pub async fn stop(&mut self) {
        for g in &self.gatekeepers {
            g.process.signal("TERM").await;
        }
        let until = Instant::now() + STOP;
        for g in &mut self.gatekeepers {
            let left = until.saturating_duration_since(Instant::now());
            if tokio::time::timeout(left, g.process.wait()).await.is_err() {
                g.process.kill().await;
            }
        }
        if let Some(agent) = &mut self.agent {
            agent.stop(AGENT_STOP).await;
        }
    }
}
