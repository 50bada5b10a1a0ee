//! The agent's configuration, a TOML file. Unknown keys are errors; a sample is `deploy/frostagent.toml`.

mod council;

pub use council::{Audit, Council, Drill, Duties, Voter, Zones};

use frostvale_checks::FailureMode;
use frostvale_checks::read::EntryKeys;
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The agent's name, for logs.
    #[serde(default = "name")]
    pub name: String,
    /// The gatekeepers of this host; an agent of a council may have none.
    #[serde(default)]
    pub gatekeepers: Vec<Gatekeeper>,
    /// The rate limit service.
    #[serde(default)]
    pub rls: Option<Rls>,
    /// The outside rate limit service.
    #[serde(default)]
    pub outside: Option<Outside>,
    /// Where `frostctl` asks.
    #[serde(default)]
    pub control: Option<Control>,
    /// The store of record.
    #[serde(default)]
    pub record: Option<Record>,
    /// The council of agents.
    #[serde(default)]
    pub council: Option<Council>,
    /// What this agent does for the fleet, where it is of a council.
    #[serde(default)]
    pub duties: Duties,
    /// Zones, decided on in common.
    #[serde(default)]
    pub zones: Option<Zones>,
    /// The audit of the fleet.
    #[serde(default)]
    pub audit: Option<Audit>,
    /// For drills and tests.
    #[serde(default)]
    pub drill: Drill,
}

/// The store of record.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// `sqlite:PATH` or `postgres://USER@HOST:PORT/DATABASE`.
    pub url: String,
    /// A file with the password.
    #[serde(default)]
    pub password_file: Option<PathBuf>,
    /// Who signs the server's certificate, as a PEM file.
    #[serde(default)]
    pub ca: Option<PathBuf>,
    /// Where use waits for the database.
    pub spool: PathBuf,
    /// How much of it, in MB.
    #[serde(default = "spool_mb")]
    pub spool_mb: u64,
    /// How long a connection may take to come up, in ms.
    #[serde(default = "connect_ms")]
    pub connect_ms: u64,
    /// How long a statement may take, in ms.
    #[serde(default = "statement_ms")]
    pub statement_ms: u64,
    /// How often the record is looked at where no change was told, in ms.
    #[serde(default = "poll_ms")]
    pub poll_ms: u64,
}

fn spool_mb() -> u64 {
    64
}

fn connect_ms() -> u64 {
    2000
}

fn statement_ms() -> u64 {
    5000
}

fn poll_ms() -> u64 {
    1000
}

impl Record {
    /// The place of the database.
    #[must_use]
    pub fn location(&self) -> frostvale_record::RecordLocation {
        frostvale_record::RecordLocation {
            password_file: self.password_file.clone(),
            ca: self.ca.clone(),
            connect_timeout: Duration::from_millis(self.connect_ms),
            statement_timeout: Duration::from_millis(self.statement_ms),
            ..frostvale_record::RecordLocation::new(&self.url)
        }
    }
}

fn name() -> String {
    "agent".into()
}

/// A gatekeeper of this host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gatekeeper {
    /// Its name, for logs.
    pub name: String,
    /// The socket that its own file names.
    pub socket: PathBuf,
}

/// The rate limit service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rls {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Wanted off loopback.
    pub tls: Option<Tls>,
    /// The domains that have limits.
    pub domains: Vec<String>,
    /// The names of descriptor entries.
    pub keys: Keys,
    /// The set of a shop that neither the descriptor nor a gatekeeper names; `spread` 0 is all.
    pub default_set: Set,
    /// How long a call waits for its decision at most, in ms.
    pub decide_within_ms: u64,
    /// Checks in hand at once at one gatekeeper.
    pub in_hand: usize,
    /// What is answered without a decision, by plan.
    pub on_failure: BTreeMap<String, FailureModeSetting>,
    /// The same for plans not named.
    pub on_failure_default: FailureModeSetting,
}

impl Default for Rls {
    fn default() -> Self {
        Rls {
            listen: SocketAddr::from(([127, 0, 0, 1], 8081)),
            tls: None,
            domains: EntryKeys::default().domains,
            keys: Keys::default(),
            default_set: Set::default(),
            decide_within_ms: 250,
            in_hand: 16_384,
            on_failure: BTreeMap::new(),
            on_failure_default: FailureModeSetting::Deny,
        }
    }
}

/// The names of descriptor entries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    shop: String,
    plan: String,
    class: String,
    first: String,
    spread: String,
}

impl Default for Keys {
    fn default() -> Self {
        let EntryKeys { shop, plan, class, first, spread, .. } = EntryKeys::default();
        Keys { shop, plan, class, first, spread }
    }
}

/// A shop's set of gatekeepers.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Set {
    /// The first one.
    pub first: u32,
    /// How many, counted round; 0 is all.
    pub spread: u32,
}

/// A failure mode.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FailureModeSetting {
    /// OK.
    Allow,
    /// Over the limit.
    Deny,
}

impl From<FailureModeSetting> for FailureMode {
    fn from(word: FailureModeSetting) -> FailureMode {
        match word {
            FailureModeSetting::Allow => FailureMode::Allow,
            FailureModeSetting::Deny => FailureMode::Deny,
        }
    }
}

/// Certificates, as PEM files.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The server's chain.
    pub cert: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Who signs the clients'.
    pub client_ca: PathBuf,
}

/// The outside rate limit service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outside {
    /// `http://` on loopback, else `https://`.
    pub endpoint: String,
    /// Who signs its certificate, as a PEM file.
    #[serde(default)]
    pub ca: Option<PathBuf>,
    /// The domain that is asked for.
    #[serde(default = "domain")]
    pub domain: String,
    /// The names of descriptor entries.
    #[serde(default)]
    pub keys: Keys,
    /// Calls in hand at once.
    #[serde(default = "in_hand")]
    pub in_hand: usize,
}

fn domain() -> String {
    "frostvale".into()
}

fn in_hand() -> usize {
    256
}

/// Where `frostctl` asks.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// A Unix socket, made with mode 0600.
    pub socket: PathBuf,
}

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line with the field and what it may be.
    pub fn read(path: &Path) -> Result<Config, String> {
        let said = |e: String| format!("{}: {e}", path.display());
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        Config::parse(&text).map_err(said)
    }

    /// Checks a text.
    ///
    /// # Errors
    /// One line with the field and what it may be.
    pub fn parse(text: &str) -> Result<Config, String> {
        let one_line = |e: toml::de::Error| e.to_string().lines().collect::<Vec<_>>().join(" ");
        let config: Config = toml::from_str(text).map_err(one_line)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        let bad = |what: &str| Err(what.to_string());
        let least = usize::from(self.council.is_none());
        if !(least..=256).contains(&self.gatekeepers.len()) {
            return Err(format!("gatekeepers: {least} to 256 of them"));
        }
        let mut seen = HashSet::new();
        for (k, g) in self.gatekeepers.iter().enumerate() {
            if g.name.is_empty() || !seen.insert(&g.name) {
                return Err(format!("gatekeepers[{k}].name: empty, or there twice"));
            }
            if !g.socket.is_absolute() {
                return Err(format!("gatekeepers[{k}].socket: an absolute path"));
            }
        }
        if let Some(rls) = &self.rls {
            if !rls.listen.ip().is_loopback() && rls.tls.is_none() {
                return bad("rls.listen: off loopback it wants rls.tls, with client certificates");
            }
            if !(1..=60_000).contains(&rls.decide_within_ms) {
                return bad("rls.decide_within_ms: 1 to 60000");
            }
            if !(1..=1_000_000).contains(&rls.in_hand) {
                return bad("rls.in_hand: 1 to 1000000");
            }
            if rls.domains.is_empty() || rls.domains.iter().any(String::is_empty) {
                return bad("rls.domains: one or more, none empty");
            }
            rls.keys.check("rls.keys")?;
        }
        if let Some(outside) = &self.outside {
            let uri: tonic::transport::Uri =
                outside.endpoint.parse().map_err(|e| format!("outside.endpoint: {e}"))?;
            let loopback = uri.host().is_some_and(|h| {
                let bare = h.trim_matches(['[', ']']);
                bare == "localhost" || bare.parse().is_ok_and(|ip: std::net::IpAddr| ip.is_loopback())
            });
            match uri.scheme_str() {
                Some("http") if loopback => {}
                Some("https") if outside.ca.is_some() => {}
                Some("https") => return bad("outside.ca: wanted with https"),
                _ => return bad("outside.endpoint: http:// on loopback, or https://"),
            }
            if outside.domain.is_empty() {
                return bad("outside.domain: not empty");
            }
            if !(1..=100_000).contains(&outside.in_hand) {
                return bad("outside.in_hand: 1 to 100000");
            }
            outside.keys.check("outside.keys")?;
        }
        if let Some(record) = &self.record {
            if !(1..=100_000).contains(&record.spool_mb) {
                return bad("record.spool_mb: 1 to 100000");
            }
            if !(10..=600_000).contains(&record.poll_ms) {
                return bad("record.poll_ms: 10 to 600000");
            }
            record.location().check()?;
        }
        if let Some(council) = &self.council {
            council.check(&self.name, self.rls.is_some())?;
        }
        self.duties.check()?;
        if let Some(zones) = &self.zones {
            zones.check()?;
            if self.council.is_none() {
                return Err("zones: needs [council], which they are decided in".into());
            }
        }
        if let Some(audit) = &self.audit {
            audit.check()?;
            if self.council.is_none() {
                return Err("audit: needs [council], whose duty it is".into());
            }
        }
        self.drill.check()?;
        if self.control.as_ref().is_some_and(|c| !c.socket.is_absolute()) {
            return bad("control.socket: an absolute path");
        }
        Ok(())
    }
}

impl Keys {
    fn check(&self, at: &str) -> Result<(), String> {
        let all = [&self.shop, &self.plan, &self.class, &self.first, &self.spread];
        let different: HashSet<_> = all.iter().filter(|k| !k.is_empty()).collect();
        if different.len() == all.len() { Ok(()) } else { Err(format!("{at}: all named, and none alike")) }
    }

    /// With the domains, as the reader of calls wants them.
    #[must_use]
    pub fn entry_keys(&self, domains: &[String]) -> EntryKeys {
        let Keys { shop, plan, class, first, spread } = self.clone();
        EntryKeys { domains: domains.to_vec(), shop, plan, class, first, spread }
    }
}

impl Rls {
    /// How long a call waits at most.
    #[must_use]
    pub fn decide_within(&self) -> Duration {
        Duration::from_millis(self.decide_within_ms)
    }

    /// What is configured for a plan.
    #[must_use]
    pub fn mode(&self, plan: &str) -> FailureMode {
        self.on_failure.get(plan).copied().unwrap_or(self.on_failure_default).into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_sample_is_sound() {
        let sample = include_str!("../../../deploy/frostagent.toml");
        let config = Config::parse(sample).expect("sound");
        assert!(config.rls.is_some() && config.control.is_some());
    }

    #[test]
    fn a_bad_file_is_one_line_that_names_the_field() {
        let voter = |name: &str| format!("[[council.voters]]\nname = \"{name}\"\nat = \"h-{name}:1\"\n");
        let one = "[[gatekeepers]]\nname = \"n1\"\nsocket = \"/run/n1\"\n";
        let bad = [
            ("gatekeepers = []", "gatekeepers: 1 to 256"),
            ("name = \"a\"\n[council]\nfile = \"c.db\"", "council.file: an absolute path"),
            ("name = \"a b\"\n[council]\nfile = \"/c.db\"", "council.name"),
            (
                "name = \"a\"\n[council]\nfile = \"/c.db\"\nlease_ms = 10",
                "council.lease_ms: 10; 500 to 600000",
            ),
            (
                "name = \"a\"\n[council]\nfile = \"/c.db\"\ndrift_milli = 900",
                "council.drift_milli: 900; 0 to 200",
            ),
            (
                "name = \"a\"\n[council]\nfile = \"/c.db\"\nheartbeat_ms = 1000",
                "council.heartbeat_ms: 1000; 20 to 187",
            ),
            (
                &format!("name = \"a\"\n[council]\nfile = \"/c.db\"\n{}{}", voter("a"), voter("b")),
                "council.voters: 2 of them",
            ),
            (
                &format!(
                    "name = \"a\"\n[council]\nfile = \"/c.db\"\n{}{}{}",
                    voter("a"),
                    voter("b"),
                    voter("b")
                ),
                "council.voters[2].name",
            ),
            (
                &format!(
                    "name = \"z\"\n[council]\nfile = \"/c.db\"\n{}{}{}",
                    voter("a"),
                    voter("b"),
                    voter("c")
                ),
                "council.voters: z is not among them",
            ),
            (
                &format!(
                    "name = \"a\"\n[council]\nfile = \"/c.db\"\n{}{}{}",
                    voter("a"),
                    voter("b"),
                    voter("c")
                ),
                "[rls] is wanted",
            ),
            (&format!("{one}[duties]\nkeep_days = 0"), "duties.keep_days: 1 to 36500"),
            (&format!("{one}[zones]\nreport_ms = 1"), "zones.report_ms: 1; 20 to 10000"),
            (&format!("{one}[zones]\nhold_ms = 1"), "zones.hold_ms: 1; 1000 to"),
            (&format!("{one}[zones.judge]\nshed_milli = 0"), "zones.judge.shed_milli: 0; 81 to 999"),
            (&format!("{one}[zones.judge]\nnear = 0"), "unknown field `near`"),
            (&format!("{one}[audit]\nhold_ms = 1"), "audit.hold_ms: 1; 2000 to"),
            (&format!("{one}[audit.ladder]\nout_milli = 900"), "audit.ladder.out_milli: 900; 0 to 500"),
            (
                "name = \"a\"\n[[gatekeepers]]\nname = \"g\"\nsocket = \"/s\"\n[zones]",
                "zones: needs [council]",
            ),
            (&format!("{one}[drill]\nclock_rate_milli = 5"), "drill.clock_rate_milli: 500 to 2000"),
            ("[[gatekeepers]]\nname = \"n1\"\nsocket = \"n1\"", "gatekeepers[0].socket"),
            (&format!("{one}{one}"), "gatekeepers[1].name"),
            (&format!("{one}[rls]\nlisten = \"10.0.0.1:80\""), "rls.listen"),
            (&format!("{one}[rls]\ndecide_within_ms = 0"), "rls.decide_within_ms: 1 to 60000"),
            (&format!("{one}[rls]\ncolour = 0"), "unknown field `colour`"),
            (&format!("{one}[rls.keys]\nshop = \"plan\""), "rls.keys"),
            (&format!("{one}[rls]\non_failure_default = \"maybe\""), "unknown variant `maybe`"),
            (&format!("{one}[outside]\nendpoint = \"http://10.0.0.1:80\""), "outside.endpoint"),
            (&format!("{one}[record]\nurl = \"mysql://x\"\nspool = \"/tmp/s\""), "record.url"),
            (&format!("{one}[record]\nurl = \"sqlite:/x\"\nspool = \"/s\"\nspool_mb = 0"), "record.spool_mb"),
            (&format!("{one}[outside]\nendpoint = \"https://10.0.0.1:80\""), "outside.ca"),
        ];
        for (text, word) in bad {
            let said = Config::parse(text).err().unwrap_or_else(|| panic!("{text:?} was taken"));
            assert!(said.contains(word) && !said.contains('\n'), "{text:?}: {said}");
        }
    }
}
