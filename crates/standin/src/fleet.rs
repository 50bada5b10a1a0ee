//! A fleet of processes: agents in zones, each with its gatekeepers. Each connection of an agent to a voter,
//! to the database or to a gatekeeper passes through a proxy. Faults are injected by direct calls or by a
//! seeded schedule; the results are read from the resources themselves, such as the database.

pub mod check;
pub mod faults;
pub mod paced_load;
pub mod zone_faults;

use crate::local_cluster::{self, LocalCluster, Process, program};
use crate::ports::free_port;
use crate::postgres::{Login, Postgres};
use crate::proxy::{Proxy, ProxyMode};
use rusqlite::Connection;
use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

/// Password of the agents at the database.
const PASSWORD: &str = "sesame";

/// Options of a fleet.
#[derive(Clone)]
pub struct FleetOptions {
    /// Options of the gatekeepers and formula servers; `agent` is ignored.
    pub cluster: local_cluster::ClusterOptions,
    /// Number of agents.
    pub agents: usize,
    /// Number of agents that are voters; the others are non-voting followers.
    pub voters: usize,
    /// Number of zones, to which agents are assigned round-robin.
    pub zones: usize,
    /// Length of a session's lease, in ms (`lease_ms` of `[council]`).
    pub lease_ms: u64,
    /// Number of drill duties, which do nothing but present their fence to the record.
    pub drills: u32,
    /// Pause between two steps of a drill duty, in ms.
    pub pause_ms: u64,
    /// Further lines for the `[drill]` section of an agent, by agent number.
    pub drill_settings: BTreeMap<usize, String>,
    /// Whether there is a database, which all agents share.
    pub record: bool,
    /// Whether the usage of each day is exported, to one folder that all agents share.
    pub export: bool,
    /// TOML sections appended to the settings file of each agent.
    pub agent_settings: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            cluster: local_cluster::ClusterOptions {
                gatekeepers: 3,
                servers: 3,
                agent: false,
                ..local_cluster::ClusterOptions::default()
            },
            agents: 3,
            voters: 3,
            zones: 3,
            lease_ms: 1000,
            drills: 3,
            pause_ms: 50,
            drill_settings: BTreeMap::new(),
            record: true,
            export: false,
            agent_settings: String::new(),
        }
    }
}

/// An agent of the fleet.
pub struct Agent {
    /// Name: `a1`, `a2`, and so on.
    pub name: String,
    /// Number of its zone.
    pub zone: usize,
    /// Address where it listens for rate limit calls and for the other agents.
    pub at: SocketAddr,
    /// Unix socket for its operators.
    pub control: PathBuf,
    /// Its council file.
    pub file: PathBuf,
    /// Its settings file.
    pub config: PathBuf,
    /// The process, while it runs.
    pub process: Option<Process>,
}

/// A running fleet. Its processes and stand-ins end when it is dropped.
pub struct Fleet {
    /// The gatekeepers, formula servers, discovery and shared counter.
    pub cluster: LocalCluster,
    /// The agents.
    pub agents: Vec<Agent>,
    /// The database, while it runs.
    pub db: Option<Postgres>,
    db_at: Option<SocketAddr>,
    /// Proxies between agents, by the numbers of the connecting agent and of the voter that it connects to.
    council_proxies: BTreeMap<(usize, usize), Proxy>,
    db_proxies: Vec<Proxy>,
    link_proxies: Vec<Proxy>,
    options: FleetOptions,
}

/// An effect of a duty that the record has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The duty.
    pub duty: String,
    /// The epoch of the fence.
    pub epoch: u64,
    /// The owner, as `agent#life`.
    pub owner: String,
    /// Time of the effect by this machine's clock, Unix time in ms.
    pub at_ms: u64,
}

impl Fleet {
    /// Starts the fleet and waits until each agent has logged that the group has a leader.
    ///
    /// # Errors
    /// When a part does not start in time.
    pub async fn start(options: FleetOptions) -> Result<Fleet, String> {
        let mut cluster_options = options.cluster.clone();
        cluster_options.agent = false;
        if options.record && !cluster_options.gatekeeper_settings.contains("[usage]") {
            cluster_options.gatekeeper_settings.push_str("[usage]\nreport_ms = 100\n");
        }
        let cluster = LocalCluster::start(cluster_options).await?;
        let (db, db_at) = if options.record {
            let db =
                Postgres::start(cluster.ip, &cluster.folder.join("pg.db"), PASSWORD, Login::Scram).await?;
            let at = db.at;
            (Some(db), Some(at))
        } else {
            (None, None)
        };
        let mut fleet = Fleet {
            cluster,
            agents: Vec::new(),
            db,
            db_at,
            council_proxies: BTreeMap::new(),
            db_proxies: Vec::new(),
            link_proxies: Vec::new(),
            options,
        };
        fleet.create_agents_and_proxies().await?;
        for k in 0..fleet.agents.len() {
            fleet.start_agent(k).await?;
        }
        for k in 0..fleet.agents.len() {
            if let Some(process) = &mut fleet.agents[k].process {
                process.wait_for_log("leads the council").await?;
            }
        }
        fleet.watch_fences().await?;
        Ok(fleet)
    }

    fn ip(&self) -> IpAddr {
        self.cluster.ip
    }

    /// Fills the list of agents, and creates the proxies to the database and to the gatekeepers.
    async fn create_agents_and_proxies(&mut self) -> Result<(), String> {
        let ip = self.ip();
        let proxy_error = |e: std::io::Error| format!("cannot start a proxy at {ip}: {e}");
        for k in 0..self.options.agents {
            let name = format!("a{}", k + 1);
            let at = SocketAddr::new(ip, free_port(ip)?);
            let folder = &self.cluster.folder;
            self.agents.push(Agent {
                zone: k % self.options.zones.max(1),
                at,
                control: folder.join(format!("{name}.sock")),
                file: folder.join(format!("{name}.council")),
                config: folder.join(format!("{name}.agent.toml")),
                process: None,
                name,
            });
        }
        if let Some(at) = self.db_at {
            for _ in 0..self.options.agents {
                self.db_proxies.push(Proxy::tcp(ip, at).await.map_err(proxy_error)?.0);
            }
        }
        for (k, g) in self.cluster.gatekeepers.iter().enumerate() {
            let proxy_socket = self.cluster.folder.join(format!("{}.link", g.name));
            self.link_proxies.push(Proxy::unix(&proxy_socket, g.socket.clone()).map_err(proxy_error)?);
            debug_assert_eq!(self.link_proxies.len(), k + 1);
        }
        Ok(())
    }

    /// Sets further lines of an agent's `[drill]` section; they take effect at its next start.
    pub fn set_drill(&mut self, agent: usize, settings: &str) {
        self.options.drill_settings.insert(agent, settings.to_string());
    }

    /// Returns the numbers of the gatekeepers of an agent.
    #[must_use]
    pub fn gatekeepers_of(&self, agent: usize) -> Vec<usize> {
        (0..self.cluster.gatekeepers.len()).filter(|k| k % self.options.agents == agent).collect()
    }

    /// Writes the settings file of the agent number `k`.
    fn write_settings(&self, k: usize) -> Result<(), String> {
        let Agent { name, at, control, file, config, .. } = &self.agents[k];
        let quoted_path = |path: &std::path::Path| format!("{:?}", path.display().to_string());
        let folder = &self.cluster.folder;
        let mut text = format!(
            "name = {name:?}\n[control]\nsocket = {}\n[rls]\nlisten = \"{at}\"\n",
            quoted_path(control)
        );
        for g in self.gatekeepers_of(k) {
            let g = &self.cluster.gatekeepers[g].name;
            let socket = quoted_path(&folder.join(format!("{g}.link")));
            text.push_str(&format!("[[gatekeepers]]\nname = {g:?}\nsocket = {socket}\n"));
        }
        if let Some(proxy) = self.db_proxies.get(k) {
            let password = folder.join("password");
            fs::write(&password, PASSWORD).map_err(|e| format!("{}: {e}", password.display()))?;
            text.push_str(&format!(
                "[record]\nurl = \"postgres://agent@{}/frostvale\"\npassword_file = {}\nspool = {}\npoll_ms = 100\n\
                 connect_ms = 500\nstatement_ms = 1000\n",
                proxy.address(),
                quoted_path(&password),
                quoted_path(&folder.join(format!("{name}.spool")))
            ));
        }
        text.push_str("[duties]\nexport_after_s = 0\n");
        if self.options.export {
            text.push_str(&format!("export = {}\n", quoted_path(&self.export())));
        }
        let drill_settings = self.options.drill_settings.get(&k).map_or("", String::as_str);
        text.push_str(&self.options.agent_settings);
        text.push_str(&format!(
            "[drill]\nduties = {}\npause_ms = {}\n{drill_settings}\n",
            self.options.drills, self.options.pause_ms
        ));
        text.push_str(&format!(
            "[council]\nfleet = \"drill\"\nfile = {}\nzone = \"z{}\"\nlease_ms = {}\nfollow = {}\n",
            quoted_path(file),
            self.agents[k].zone,
            self.options.lease_ms,
            k >= self.options.voters
        ));
        for v in &self.agents[..self.options.voters] {
            text.push_str(&format!("[[council.voters]]\nname = {:?}\nat = \"{}\"\n", v.name, v.at));
        }
        let proxies = self.council_proxies.iter().filter(|((from, _), _)| *from == k);
        text.push_str("[council.via]\n");
        for ((_, to), proxy) in proxies {
            text.push_str(&format!("{} = \"{}\"\n", self.agents[*to].name, proxy.address()));
        }
        fs::write(config, text).map_err(|e| format!("{}: {e}", config.display()))
    }

    /// Starts an agent, or restarts it after it has ended.
    ///
    /// # Errors
    /// When the agent does not start.
    pub async fn start_agent(&mut self, k: usize) -> Result<(), String> {
        let ip = self.ip();
        let voters = self.options.voters;
        for j in 0..voters {
            if j != k && !self.council_proxies.contains_key(&(k, j)) {
                let created = Proxy::tcp(ip, self.agents[j].at).await;
                let (proxy, _) = created.map_err(|e| format!("cannot start a proxy at {ip}: {e}"))?;
                self.council_proxies.insert((k, j), proxy);
            }
        }
        self.write_settings(k)?;
        let agent = &self.agents[k];
        let mut command = Command::new(program("frostagent")?);
        command.arg("--config").arg(&agent.config).arg("--log-format").arg("json");
        let log = self.cluster.folder.join(format!("{}.log", agent.name));
        let mut process = Process::start(&agent.name, command, &log).await?;
        process.wait_for_log("serves rate limits at").await?;
        self.agents[k].process = Some(process);
        Ok(())
    }

    /// Records each effect that the database accepts in the table `touches`, by triggers on `fences`.
    async fn watch_fences(&self) -> Result<(), String> {
        if self.db.is_none() {
            return Ok(());
        }
        let sql = "CREATE TABLE IF NOT EXISTS touches (at INTEGER PRIMARY KEY AUTOINCREMENT, duty TEXT, epoch INTEGER, \
                   owner TEXT, at_ms INTEGER); \
                   CREATE TRIGGER IF NOT EXISTS touched AFTER UPDATE ON fences BEGIN INSERT INTO touches (duty, epoch, owner, \
                   at_ms) VALUES (NEW.duty, NEW.epoch, NEW.owner, CAST((julianday('now') - 2440587.5) * 86400000 AS \
                   INTEGER)); END; \
                   CREATE TRIGGER IF NOT EXISTS first_touched AFTER INSERT ON fences BEGIN INSERT INTO touches (duty, epoch, \
                   owner, at_ms) VALUES (NEW.duty, NEW.epoch, NEW.owner, CAST((julianday('now') - 2440587.5) * 86400000 AS \
                   INTEGER)); END;";
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let created = self.open_record().and_then(|c| c.execute_batch(sql).map_err(|e| e.to_string()));
            match created {
                Ok(()) => return Ok(()),
                // The agents have not created the schema yet, or the file is locked at the moment.
                Err(_) if Instant::now() < deadline => sleep(Duration::from_millis(20)).await,
                Err(e) => return Err(format!("cannot create the triggers in the record's file: {e}")),
            }
        }
    }

    /// Opens the database file of the record, past the PostgreSQL stand-in.
    fn open_record(&self) -> Result<Connection, String> {
        let c = Connection::open(self.cluster.folder.join("pg.db")).map_err(|e| e.to_string())?;
        c.busy_timeout(Duration::from_secs(5)).map_err(|e| e.to_string())?;
        Ok(c)
    }

    /// The folder to which the usage of each day is exported.
    #[must_use]
    pub fn export(&self) -> PathBuf {
        self.cluster.folder.join("export")
    }

    /// Returns all effects that the record has accepted, in order.
    ///
    /// # Errors
    /// When the database file cannot be read.
    pub fn effects(&self) -> Result<Vec<Effect>, String> {
        let c = self.open_record()?;
        let mut statement = c
            .prepare("SELECT duty, epoch, owner, at_ms FROM touches ORDER BY at")
            .map_err(|e| e.to_string())?;
        let effect_of_row = |r: &rusqlite::Row<'_>| {
            Ok(Effect {
                duty: r.get(0)?,
                epoch: r.get::<_, i64>(1)?.unsigned_abs(),
                owner: r.get(2)?,
                at_ms: r.get::<_, i64>(3)?.unsigned_abs(),
            })
        };
        let effects = statement.query_map([], effect_of_row).map_err(|e| e.to_string())?;
        effects.collect::<Result<_, _>>().map_err(|e| e.to_string())
    }

    /// Returns the last effect of a duty that the record accepted.
    #[must_use]
    pub fn last_effect(&self, duty: &str) -> Option<Effect> {
        self.effects().ok()?.into_iter().rev().find(|effect| effect.duty == duty)
    }

    /// Returns the number of the agent that owns a duty, according to its last effect.
    #[must_use]
    pub fn owner(&self, duty: &str) -> Option<usize> {
        let effect = self.last_effect(duty)?;
        let name = effect.owner.split('#').next()?.to_string();
        self.agents.iter().position(|a| a.name == name)
    }

    /// Waits until the condition is met, for at most 30 s. `condition` describes it in the error.
    ///
    /// # Errors
    /// When the condition is not met in time.
    pub async fn wait_until(&self, condition: &str, is_met: impl Fn(&Fleet) -> bool) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !is_met(self) {
            if Instant::now() > deadline {
                return Err(format!("never within 30 s: {condition}"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Sends an agent a signal by name, as `kill -NAME` does.
    pub async fn signal(&self, agent: usize, name: &str) {
        if let Some(process) = &self.agents[agent].process {
            process.signal(name).await;
        }
    }

    /// Kills an agent.
    pub async fn kill(&mut self, agent: usize) {
        if let Some(mut process) = self.agents[agent].process.take() {
            process.kill().await;
        }
    }

    /// Sets which traffic passes between an agent and the other agents of the group: what it sends, what it
    /// receives, both or neither.
    pub fn set_council_links(&self, agent: usize, can_send: bool, can_receive: bool) {
        for ((from, to), proxy) in &self.council_proxies {
            // Upstream carries the requests of `from`, downstream the responses of `to`.
            let (upstream, downstream) = match (*from == agent, *to == agent) {
                (true, _) => (can_send, can_receive),
                (_, true) => (can_receive, can_send),
                _ => continue,
            };
            proxy.set_mode(match (upstream, downstream) {
                (true, true) => ProxyMode::Forward,
                (true, false) => ProxyMode::HoldDownstream,
                (false, true) => ProxyMode::HoldUpstream,
                (false, false) => ProxyMode::Hold,
            });
        }
    }

    /// Returns the bytes that agents have sent to voters as requests.
    #[must_use]
    pub fn council_bytes(&self) -> u64 {
        self.council_proxies.values().map(Proxy::forwarded_bytes).sum()
    }

    /// Sets the mode of the proxy between an agent and the database.
    pub fn set_db_mode(&self, agent: usize, mode: ProxyMode) {
        if let Some(proxy) = self.db_proxies.get(agent) {
            proxy.set_mode(mode);
        }
    }

    /// Sets the mode of the proxy between a gatekeeper and its agent.
    pub fn set_link_mode(&self, gatekeeper: usize, mode: ProxyMode) {
        self.link_proxies[gatekeeper].set_mode(mode);
    }

    /// Kills the database.
    pub async fn kill_db(&mut self) {
        if let Some(db) = self.db.take() {
            db.kill().await;
        }
    }

    /// Restarts the database at the same address, with its file or with a copy that replaces it.
    ///
    /// # Errors
    /// When there is no database, the copy cannot be put in place, or the database does not start.
    pub async fn start_db(&mut self, copy: Option<&std::path::Path>) -> Result<(), String> {
        let Some(at) = self.db_at else { return Err("cannot start the database: the fleet has none".into()) };
        let file = self.cluster.folder.join("pg.db");
        if let Some(copy) = copy {
            // The database file is removed as well, not overwritten: a connection of the killed server that
            // ends late must not write into the copy.
            for suffix in ["", "-wal", "-shm"] {
                let _ = fs::remove_file(self.cluster.folder.join(format!("pg.db{suffix}")));
            }
            fs::copy(copy, &file).map_err(|e| format!("{}: {e}", copy.display()))?;
        }
        self.db = Some(Postgres::start_at(at, &file, PASSWORD, Login::Scram, None).await?);
        Ok(())
    }

    /// Makes a consistent copy of the database in its present state, and returns the copy's path.
    ///
    /// # Errors
    /// When the copy cannot be made.
    pub fn copy_db(&self) -> Result<PathBuf, String> {
        let to = self.cluster.folder.join("pg.copy");
        let _ = fs::remove_file(&to);
        self.open_record()?
            .execute("VACUUM INTO ?1", [to.display().to_string()])
            .map_err(|e| e.to_string())?;
        Ok(to)
    }

    /// Runs an SQL statement directly on the record's file, past the server; returns the number of changed
    /// rows.
    ///
    /// # Errors
    /// When the statement fails.
    pub fn execute_sql(&self, sql: &str) -> Result<usize, String> {
        self.open_record()?.execute(sql, []).map_err(|e| e.to_string())
    }

    /// Returns the address of the database, without a proxy, and the path of the password file.
    #[must_use]
    pub fn record(&self) -> Option<(SocketAddr, PathBuf)> {
        Some((self.db_at?, self.cluster.folder.join("password")))
    }

    /// Stops all processes in order: the gatekeepers, then the agents. Paused agents are continued first.
    pub async fn stop(&mut self) {
        for a in 0..self.agents.len() {
            self.signal(a, "CONT").await;
        }
        self.cluster.stop().await;
        for agent in &self.agents {
            if let Some(process) = &agent.process {
                process.signal("TERM").await;
            }
        }
        for agent in &mut self.agents {
            if let Some(mut process) = agent.process.take() {
                process.stop(Duration::from_secs(15)).await;
            }
        }
    }
}
