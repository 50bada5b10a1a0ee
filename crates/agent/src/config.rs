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

/// The whole configuration file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the agent, in logs and in the consensus group.
    #[serde(default = "name")]
    pub name: String,
    /// Gatekeepers of this host; may be empty only with a `[council]` section.
    #[serde(default)]
    pub gatekeepers: Vec<Gatekeeper>,
    /// The gRPC rate limit service.
    #[serde(default)]
    pub rls: Option<Rls>,
    /// The outside rate limit service.
    #[serde(default)]
    pub outside: Option<Outside>,
    /// The control socket for `frostctl`.
    #[serde(default)]
    pub control: Option<Control>,
    /// The usage record.
    #[serde(default)]
    pub record: Option<Record>,
    /// The consensus group of agents.
    #[serde(default)]
    pub council: Option<Council>,
    /// Duties of the fleet that this agent carries out if it has a `[council]` section.
    #[serde(default)]
    pub duties: Duties,
    /// Failover between zones, decided for the whole fleet.
    #[serde(default)]
    pub zones: Option<Zones>,
    /// The audit of the fleet.
    #[serde(default)]
    pub audit: Option<Audit>,
    /// Faults for drills and tests.
    #[serde(default)]
    pub drill: Drill,
}

/// The usage record.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// `sqlite:PATH` or `postgres://USER@HOST:PORT/DATABASE`.
    pub url: String,
    /// File with the password of the database.
    #[serde(default)]
    pub password_file: Option<PathBuf>,
    /// PEM file of the authority that signs the server's certificate.
    #[serde(default)]
    pub ca: Option<PathBuf>,
    /// Where usage is stored until the database has taken it.
    pub spool: PathBuf,
    /// Largest size of the spool, in MB.
    #[serde(default = "spool_mb")]
    pub spool_mb: u64,
    /// Timeout of connecting to the database, in ms.
    #[serde(default = "connect_ms")]
    pub connect_ms: u64,
    /// Timeout of a statement, in ms.
    #[serde(default = "statement_ms")]
    pub statement_ms: u64,
    /// Interval at which the record is polled when no change was notified, in ms.
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
    /// Converts the section to the location of the database.
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
    /// Name of the gatekeeper, in logs and reports.
    pub name: String,
    /// Unix socket of the agent link, as in the settings of the gatekeeper; an absolute path.
    pub socket: PathBuf,
}

/// The gRPC rate limit service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rls {
    /// Address that the service listens on.
    pub listen: SocketAddr,
    /// Certificates; required if `listen` is not a loopback address.
    pub tls: Option<Tls>,
    /// Domains of calls that have limits.
    pub domains: Vec<String>,
    /// Keys of the descriptor entries.
    pub keys: Keys,
    /// Set of a shop for which neither the descriptor nor a gatekeeper names one; `spread` 0 is all
    /// gatekeepers.
    pub default_set: Set,
    /// Longest time that a call waits for its decision, in ms.
    pub decide_within_ms: u64,
    /// Most checks that are pending at one gatekeeper.
    pub in_hand: usize,
    /// Response to a call without a decision, by plan.
    pub on_failure: BTreeMap<String, FailureModeSetting>,
    /// Response to a call without a decision, for plans that `on_failure` does not name.
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

/// Keys of the descriptor entries.
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
    /// Number of the first gatekeeper.
    pub first: u32,
    /// Number of gatekeepers, counted on from `first` with wrap-around; 0 is all.
    pub spread: u32,
}

/// Response to a call without a decision.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FailureModeSetting {
    /// The call is answered OK.
    Allow,
    /// The call is answered as over the limit.
    Deny,
}

impl From<FailureModeSetting> for FailureMode {
    fn from(mode: FailureModeSetting) -> FailureMode {
        match mode {
            FailureModeSetting::Allow => FailureMode::Allow,
            FailureModeSetting::Deny => FailureMode::Deny,
        }
    }
}

/// Certificates, as PEM files.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain of the server.
    pub cert: PathBuf,
    /// Private key of the server.
    pub key: PathBuf,
    /// Authority that signs the certificates of clients.
    pub client_ca: PathBuf,
}

/// The outside rate limit service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outside {
    /// URI of the service: `http://` on loopback, or else `https://`.
    pub endpoint: String,
    /// PEM file of the authority that signs its certificate; required with `https://`.
    #[serde(default)]
    pub ca: Option<PathBuf>,
    /// Domain of the calls to the service.
    #[serde(default = "domain")]
    pub domain: String,
    /// Keys of the descriptor entries.
    #[serde(default)]
    pub keys: Keys,
    /// Most calls that are pending at once.
    #[serde(default = "in_hand")]
    pub in_hand: usize,
}

fn domain() -> String {
    "frostvale".into()
}

fn in_hand() -> usize {
    256
}

/// The control socket for `frostctl`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of the Unix socket, created with mode 0600.
    pub socket: PathBuf,
}

impl Config {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    /// One line that names the field and the values that it may have.
    pub fn read(path: &Path) -> Result<Config, String> {
        let with_path = |e: String| format!("{}: {e}", path.display());
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        Config::parse(&text).map_err(with_path)
    }

    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    /// One line that names the field and the values that it may have.
    pub fn parse(text: &str) -> Result<Config, String> {
        let one_line = |e: toml::de::Error| e.to_string().lines().collect::<Vec<_>>().join(" ");
        let config: Config = toml::from_str(text).map_err(one_line)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        let invalid = |what: &str| Err(what.to_string());
        let min_gatekeepers = usize::from(self.council.is_none());
        if !(min_gatekeepers..=256).contains(&self.gatekeepers.len()) {
            return Err(format!("gatekeepers: {min_gatekeepers} to 256 of them"));
        }
        let mut seen = HashSet::new();
        for (k, g) in self.gatekeepers.iter().enumerate() {
            if g.name.is_empty() || !seen.insert(&g.name) {
                return Err(format!("gatekeepers[{k}].name: empty, or used twice"));
            }
            if !g.socket.is_absolute() {
                return Err(format!("gatekeepers[{k}].socket: an absolute path"));
            }
        }
        if let Some(rls) = &self.rls {
            if !rls.listen.ip().is_loopback() && rls.tls.is_none() {
                return invalid(
                    "rls.listen: an address other than loopback requires rls.tls, with client certificates",
                );
            }
            if !(1..=60_000).contains(&rls.decide_within_ms) {
                return invalid("rls.decide_within_ms: 1 to 60000");
            }
            if !(1..=1_000_000).contains(&rls.in_hand) {
                return invalid("rls.in_hand: 1 to 1000000");
            }
            if rls.domains.is_empty() || rls.domains.iter().any(String::is_empty) {
                return invalid("rls.domains: one or more, none empty");
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
                Some("https") => return invalid("outside.ca: required with https"),
                _ => return invalid("outside.endpoint: http:// on loopback, or https://"),
            }
            if outside.domain.is_empty() {
                return invalid("outside.domain: not empty");
            }
            if !(1..=100_000).contains(&outside.in_hand) {
                return invalid("outside.in_hand: 1 to 100000");
            }
            outside.keys.check("outside.keys")?;
        }
        if let Some(record) = &self.record {
            if !(1..=100_000).contains(&record.spool_mb) {
                return invalid("record.spool_mb: 1 to 100000");
            }
            if !(10..=600_000).contains(&record.poll_ms) {
                return invalid("record.poll_ms: 10 to 600000");
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
                return Err("zones: needs [council], which stores the decisions".into());
            }
        }
        if let Some(audit) = &self.audit {
            audit.check()?;
            if self.council.is_none() {
                return Err("audit: needs [council], which assigns the duty".into());
            }
        }
        self.drill.check()?;
        if self.control.as_ref().is_some_and(|c| !c.socket.is_absolute()) {
            return invalid("control.socket: an absolute path");
        }
        Ok(())
    }
}

impl Keys {
    fn check(&self, at: &str) -> Result<(), String> {
        let all = [&self.shop, &self.plan, &self.class, &self.first, &self.spread];
        let different: HashSet<_> = all.iter().filter(|k| !k.is_empty()).collect();
        if different.len() == all.len() {
            Ok(())
        } else {
            Err(format!("{at}: each key needs a name, and no two may be equal"))
        }
    }

    /// Converts the keys, with the domains, to the form that the parser of calls takes.
    #[must_use]
    pub fn entry_keys(&self, domains: &[String]) -> EntryKeys {
        let Keys { shop, plan, class, first, spread } = self.clone();
        EntryKeys { domains: domains.to_vec(), shop, plan, class, first, spread }
    }
}

impl Rls {
    /// Longest time that a call waits for its decision.
    #[must_use]
    pub fn decide_within(&self) -> Duration {
        Duration::from_millis(self.decide_within_ms)
    }

    /// Failure mode of a plan.
    #[must_use]
    pub fn mode(&self, plan: &str) -> FailureMode {
        self.on_failure.get(plan).copied().unwrap_or(self.on_failure_default).into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sample_configuration_parses() {
        let sample = include_str!("../../../deploy/frostagent.toml");
        let config = Config::parse(sample).expect("parse sample configuration");
        assert!(config.rls.is_some() && config.control.is_some());
    }

    #[test]
    fn invalid_configuration_gives_one_line_that_names_the_field() {
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
                "council.voters: 2 entries; 1, 3 or 5",
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
                "[rls] is required",
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
        for (text, expected) in bad {
            let error = Config::parse(text).err().unwrap_or_else(|| panic!("{text:?} was accepted"));
            assert!(error.contains(expected) && !error.contains('\n'), "{text:?}: {error}");
        }
    }
}
