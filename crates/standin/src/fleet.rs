//! A fleet of processes: agents in zones, each with its gatekeepers and the way of each to each other, to the database and
//! to its gatekeepers through a gate; faults by hand or by a seeded schedule; and what happened, read from the resources.

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

const PASSWORD: &str = "sesame";

/// What a fleet is to be.
#[derive(Clone)]
pub struct FleetOptions {
    /// Gatekeepers, formula servers and what they are told.
    pub cluster: local_cluster::ClusterOptions,
    /// Agents.
    pub agents: usize,
    /// How many of them vote; the others follow.
    pub voters: usize,
    /// Zones, over which agents are dealt.
    pub zones: usize,
    /// How long a session holds, in ms.
    pub lease_ms: u64,
    /// Duties that only show their fence.
    pub drills: u32,
    /// How long after a step of theirs the next one begins, in ms.
    pub pause_ms: u64,
    /// More lines for an agent's `[drill]` section, by its number.
    pub drill_settings: BTreeMap<usize, String>,
    /// Whether there is a database that all share.
    pub record: bool,
    /// Whether use by day is exported, to one folder that all share.
    pub export: bool,
    /// More sections for each agent's file.
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
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Where it listens.
    pub at: SocketAddr,
    /// Where its operators ask.
    pub control: PathBuf,
    /// Its council's file.
    pub file: PathBuf,
    /// Its configuration.
    pub config: PathBuf,
    /// While it runs.
    pub process: Option<Process>,
}

/// A running fleet. All of it ends with it.
pub struct Fleet {
    /// Gatekeepers, formula servers, discovery, counter.
    pub cluster: LocalCluster,
    /// The agents.
    pub agents: Vec<Agent>,
    /// The database while it runs.
    pub db: Option<Postgres>,
    db_at: Option<SocketAddr>,
    /// Ways from one agent to another.
    ways: BTreeMap<(usize, usize), Proxy>,
    db_ways: Vec<Proxy>,
    link_ways: Vec<Proxy>,
    plan: FleetOptions,
}

/// An effect that a resource has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Of which duty.
    pub duty: String,
    /// Under which epoch.
    pub epoch: u64,
    /// Whose, as `agent#life`.
    pub owner: String,
    /// When, by this machine's clock, Unix time in ms.
    pub at_ms: u64,
}

impl Fleet {
    /// Starts it, and waits until the council has a leader.
    ///
    /// # Errors
    /// With what did not start.
    pub async fn start(plan: FleetOptions) -> Result<Fleet, String> {
        let mut town_plan = plan.cluster.clone();
        town_plan.agent = false;
        if plan.record && !town_plan.gatekeeper_settings.contains("[usage]") {
            town_plan.gatekeeper_settings.push_str("[usage]\nreport_ms = 100\n");
        }
        let cluster = LocalCluster::start(town_plan).await?;
        let (db, db_at) = if plan.record {
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
            ways: BTreeMap::new(),
            db_ways: Vec::new(),
            link_ways: Vec::new(),
            plan,
        };
        fleet.lay_ways().await?;
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

    async fn lay_ways(&mut self) -> Result<(), String> {
        let ip = self.ip();
        let gate = |e: std::io::Error| format!("a gate cannot listen at {ip}: {e}");
        for k in 0..self.plan.agents {
            let name = format!("a{}", k + 1);
            let at = SocketAddr::new(ip, free_port(ip)?);
            let folder = &self.cluster.folder;
            self.agents.push(Agent {
                zone: k % self.plan.zones.max(1),
                at,
                control: folder.join(format!("{name}.sock")),
                file: folder.join(format!("{name}.council")),
                config: folder.join(format!("{name}.agent.toml")),
                process: None,
                name,
            });
        }
        if let Some(at) = self.db_at {
            for _ in 0..self.plan.agents {
                self.db_ways.push(Proxy::tcp(ip, at).await.map_err(gate)?.0);
            }
        }
        for (k, g) in self.cluster.gatekeepers.iter().enumerate() {
            let near = self.cluster.folder.join(format!("{}.link", g.name));
            self.link_ways.push(Proxy::unix(&near, g.socket.clone()).map_err(gate)?);
            debug_assert_eq!(self.link_ways.len(), k + 1);
        }
        Ok(())
    }

    /// Other lines for an agent's `[drill]` section, from its next start on.
    pub fn set_drill(&mut self, agent: usize, extra: &str) {
        self.plan.drill_settings.insert(agent, extra.to_string());
    }

    /// The gatekeepers of an agent, by number.
    #[must_use]
    pub fn gatekeepers_of(&self, agent: usize) -> Vec<usize> {
        (0..self.cluster.gatekeepers.len()).filter(|k| k % self.plan.agents == agent).collect()
    }

    fn write(&self, k: usize) -> Result<(), String> {
        let Agent { name, at, control, file, config, .. } = &self.agents[k];
        let show = |path: &std::path::Path| format!("{:?}", path.display().to_string());
        let folder = &self.cluster.folder;
        let mut text =
            format!("name = {name:?}\n[control]\nsocket = {}\n[rls]\nlisten = \"{at}\"\n", show(control));
        for g in self.gatekeepers_of(k) {
            let g = &self.cluster.gatekeepers[g].name;
            let socket = show(&folder.join(format!("{g}.link")));
            text.push_str(&format!("[[gatekeepers]]\nname = {g:?}\nsocket = {socket}\n"));
        }
        if let Some(gate) = self.db_ways.get(k) {
            let password = folder.join("password");
            fs::write(&password, PASSWORD).map_err(|e| format!("{}: {e}", password.display()))?;
            text.push_str(&format!(
                "[record]\nurl = \"postgres://agent@{}/frostvale\"\npassword_file = {}\nspool = {}\npoll_ms = 100\n\
                 connect_ms = 500\nstatement_ms = 1000\n",
                gate.address(),
                show(&password),
                show(&folder.join(format!("{name}.spool")))
            ));
        }
        text.push_str("[duties]\nexport_after_s = 0\n");
        if self.plan.export {
            text.push_str(&format!("export = {}\n", show(&self.export())));
        }
        let extra = self.plan.drill_settings.get(&k).map_or("", String::as_str);
        text.push_str(&self.plan.agent_settings);
        text.push_str(&format!(
            "[drill]\nduties = {}\npause_ms = {}\n{extra}\n",
            self.plan.drills, self.plan.pause_ms
        ));
        text.push_str(&format!(
            "[council]\nfleet = \"drill\"\nfile = {}\nzone = \"z{}\"\nlease_ms = {}\nfollow = {}\n",
            show(file),
            self.agents[k].zone,
            self.plan.lease_ms,
            k >= self.plan.voters
        ));
        for v in &self.agents[..self.plan.voters] {
            text.push_str(&format!("[[council.voters]]\nname = {:?}\nat = \"{}\"\n", v.name, v.at));
        }
        let via = self.ways.iter().filter(|((from, _), _)| *from == k);
        text.push_str("[council.via]\n");
        for ((_, to), gate) in via {
            text.push_str(&format!("{} = \"{}\"\n", self.agents[*to].name, gate.address()));
        }
        fs::write(config, text).map_err(|e| format!("{}: {e}", config.display()))
    }

    /// Starts an agent, again if it has ended.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_agent(&mut self, k: usize) -> Result<(), String> {
        let ip = self.ip();
        let voters = self.plan.voters;
        for j in 0..voters {
            if j != k && !self.ways.contains_key(&(k, j)) {
                let made = Proxy::tcp(ip, self.agents[j].at).await;
                let (gate, _) = made.map_err(|e| format!("a gate cannot listen at {ip}: {e}"))?;
                self.ways.insert((k, j), gate);
            }
        }
        self.write(k)?;
        let agent = &self.agents[k];
        let mut command = Command::new(program("frostagent")?);
        command.arg("--config").arg(&agent.config).arg("--log-format").arg("json");
        let log = self.cluster.folder.join(format!("{}.log", agent.name));
        let mut process = Process::start(&agent.name, command, &log).await?;
        process.wait_for_log("serves rate limits at").await?;
        self.agents[k].process = Some(process);
        Ok(())
    }

    /// Writes down each effect that the record takes, beside what it keeps.
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
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let made = self.file().and_then(|c| c.execute_batch(sql).map_err(|e| e.to_string()));
            match made {
                Ok(()) => return Ok(()),
                // The agents have not made the schema yet, or hold the file just now.
                Err(_) if Instant::now() < until => sleep(Duration::from_millis(20)).await,
                Err(e) => return Err(format!("the record's file: {e}")),
            }
        }
    }

    fn file(&self) -> Result<Connection, String> {
        let c = Connection::open(self.cluster.folder.join("pg.db")).map_err(|e| e.to_string())?;
        c.busy_timeout(Duration::from_secs(5)).map_err(|e| e.to_string())?;
        Ok(c)
    }

    /// Where use by day is exported.
    #[must_use]
    pub fn export(&self) -> PathBuf {
        self.cluster.folder.join("export")
    }

    /// Every effect that the record has taken, in order.
    ///
    /// # Errors
    /// When it can't be read.
    pub fn effects(&self) -> Result<Vec<Effect>, String> {
        let c = self.file()?;
        let mut rows = c
            .prepare("SELECT duty, epoch, owner, at_ms FROM touches ORDER BY at")
            .map_err(|e| e.to_string())?;
        let one = |r: &rusqlite::Row<'_>| {
            Ok(Effect {
                duty: r.get(0)?,
                epoch: r.get::<_, i64>(1)?.unsigned_abs(),
                owner: r.get(2)?,
                at_ms: r.get::<_, i64>(3)?.unsigned_abs(),
            })
        };
        let all = rows.query_map([], one).map_err(|e| e.to_string())?;
        all.collect::<Result<_, _>>().map_err(|e| e.to_string())
    }

    /// What stands for a duty: the last effect that the record took.
    #[must_use]
    pub fn last_effect(&self, duty: &str) -> Option<Effect> {
        self.effects().ok()?.into_iter().rev().find(|t| t.duty == duty)
    }

    /// The number of the agent that owns a duty, by its last effect.
    #[must_use]
    pub fn owner(&self, duty: &str) -> Option<usize> {
        let touch = self.last_effect(duty)?;
        let name = touch.owner.split('#').next()?.to_string();
        self.agents.iter().position(|a| a.name == name)
    }

    /// Waits until something is so.
    ///
    /// # Errors
    /// When it never is.
    pub async fn wait_until(&self, what: &str, is: impl Fn(&Fleet) -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(30);
        while !is(self) {
            if Instant::now() > until {
                return Err(format!("never: {what}"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Sends an agent a signal, by its name as `kill` knows it.
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

    /// What passes between an agent and the others of the council: in both directions, or only what it sends, or only what
    /// it is sent.
    pub fn set_council_links(&self, agent: usize, sends: bool, is_sent: bool) {
        for ((from, to), gate) in &self.ways {
            // Up are questions of `from`, down the answers of `to`.
            let (up, down) = match (*from == agent, *to == agent) {
                (true, _) => (sends, is_sent),
                (_, true) => (is_sent, sends),
                _ => continue,
            };
            gate.set_mode(match (up, down) {
                (true, true) => ProxyMode::Forward,
                (true, false) => ProxyMode::HoldDownstream,
                (false, true) => ProxyMode::HoldUpstream,
                (false, false) => ProxyMode::Hold,
            });
        }
    }

    /// Bytes that agents have sent to others of the council, as questions and to voters.
    #[must_use]
    pub fn council_bytes(&self) -> u64 {
        self.ways.values().map(Proxy::forwarded_bytes).sum()
    }

    /// What passes between an agent and the database.
    pub fn set_db_mode(&self, agent: usize, way: ProxyMode) {
        if let Some(gate) = self.db_ways.get(agent) {
            gate.set_mode(way);
        }
    }

    /// What passes between an agent and a gatekeeper of its.
    pub fn set_link_mode(&self, gatekeeper: usize, way: ProxyMode) {
        self.link_ways[gatekeeper].set_mode(way);
    }

    /// Kills the database.
    pub async fn kill_db(&mut self) {
        if let Some(db) = self.db.take() {
            db.kill().await;
        }
    }

    /// Starts the database again at its address, over its file or over a copy.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_db(&mut self, copy: Option<&std::path::Path>) -> Result<(), String> {
        let Some(at) = self.db_at else { return Err("there is no database".into()) };
        let file = self.cluster.folder.join("pg.db");
        if let Some(copy) = copy {
            // The file itself too: a connection of the killed server that ends late must not write into the copy.
            for ending in ["", "-wal", "-shm"] {
                let _ = fs::remove_file(self.cluster.folder.join(format!("pg.db{ending}")));
            }
            fs::copy(copy, &file).map_err(|e| format!("{}: {e}", copy.display()))?;
        }
        self.db = Some(Postgres::start_at(at, &file, PASSWORD, Login::Scram, None).await?);
        Ok(())
    }

    /// Copies the database as it is now, whole.
    ///
    /// # Errors
    /// When that can't be done.
    pub fn copy_db(&self) -> Result<PathBuf, String> {
        let to = self.cluster.folder.join("pg.copy");
        let _ = fs::remove_file(&to);
        self.file()?.execute("VACUUM INTO ?1", [to.display().to_string()]).map_err(|e| e.to_string())?;
        Ok(to)
    }

    /// Changes the record's file behind everybody's back; gives how many rows.
    ///
    /// # Errors
    /// When it can't be done.
    pub fn execute_sql(&self, sql: &str) -> Result<usize, String> {
        self.file()?.execute(sql, []).map_err(|e| e.to_string())
    }

    /// Where the record is for a test that reads it: the address past all gates, and the password's file.
    #[must_use]
    pub fn record(&self) -> Option<(SocketAddr, PathBuf)> {
        Some((self.db_at?, self.cluster.folder.join("password")))
    }

    /// Ends all in order: gatekeepers, then agents.
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
