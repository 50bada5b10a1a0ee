//! The gatekeeper's own file, which `GW_EXTRA` names: what the platform doesn't know of. Without it all of it is off.

use frostvale::RawSettings;
use frostvale_log::Format;
use frostvale_outside::{FailureMode, Settings};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::env;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    link: Option<Link>,
    outside: Option<Outside>,
    usage: Option<UsageSettings>,
    zones: Option<ZoneSettings>,
    audit: Option<AuditSettings>,
    log: Log,
    clock_ahead_ms: i64,
}

/// How log lines are written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Log {
    format: String,
    level: String,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: "text".into(), level: "info".into() }
    }
}

/// The same, as it is to be used.
pub struct LogSettings {
    pub format: Format,
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { format: Format::Text, level: "info".into() }
    }
}

/// How use is reported to the agent.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UsageSettings {
    report_ms: u64,
}

impl Default for UsageSettings {
    fn default() -> Self {
        UsageSettings { report_ms: 1000 }
    }
}

impl UsageSettings {
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }
}

/// Zones, decided in common: what is seen is reported, and what was decided is acted on.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneSettings {
    report_ms: u64,
}

impl Default for ZoneSettings {
    fn default() -> Self {
        ZoneSettings { report_ms: 250 }
    }
}

impl ZoneSettings {
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }
}

/// The audit: what this gatekeeper acts on is told, and who is shut out is heeded.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AuditSettings {
    report_ms: u64,
    /// For drills alone: it says that plans are in effect and goes on by the ones it has.
    pub fault_keeps_plans: bool,
}

impl Default for AuditSettings {
    fn default() -> Self {
        AuditSettings { report_ms: 500, fault_keeps_plans: false }
    }
}

impl AuditSettings {
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }
}

/// The link to the host's agent.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Where the socket stands.
    pub socket: PathBuf,
    /// Agents that may be connected at once.
    #[serde(default = "agents")]
    pub agents: usize,
}

fn agents() -> usize {
    4
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Outside {
    plans: BTreeMap<String, Word>,
    deadline_part: Option<f64>,
    in_hand: Option<usize>,
    open_ms: Option<f64>,
    open_most_ms: Option<f64>,
    keep_ms: Option<f64>,
    keep_most: Option<usize>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum Word {
    Allow,
    Deny,
}

/// What the file says; all off where there is none.
#[derive(Default)]
pub struct LocalSettings {
    pub link: Option<Link>,
    /// How an outside service is consulted.
    pub outside: Option<Settings>,
    /// Whether use and levels are reported, and how often.
    pub usage: Option<UsageSettings>,
    /// Whether zones are decided on in common.
    pub zones: Option<ZoneSettings>,
    /// Whether what is acted on is told.
    pub audit: Option<AuditSettings>,
    /// The digest of the file; of nothing where there is none.
    pub digest: String,
    /// How log lines are written.
    pub log: LogSettings,
    /// Added to the host's clock where lives are named and use is dated.
    pub clock_ahead_ms: i64,
}

impl LocalSettings {
    /// Reads the file that `GW_EXTRA` names, if it names one. Plans are looked up in the settings.
    pub fn read(conf: &RawSettings) -> Result<LocalSettings, String> {
        let Some(path) = env::var("GW_EXTRA").ok().filter(|path| !path.is_empty()) else {
            return Ok(LocalSettings::default());
        };
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        Self::parse(&text, conf).map_err(|e| format!("{path}: {e}"))
    }

    fn parse(text: &str, conf: &RawSettings) -> Result<LocalSettings, String> {
        // The first line says where and what; the rest is a drawing.
        let told = |e: toml::de::Error| e.to_string().lines().collect::<Vec<_>>().join(" ");
        let file: File = toml::from_str(text).map_err(told)?;
        if let Some(link) = &file.link {
            if !link.socket.is_absolute() || link.socket.as_os_str().len() > 90 {
                return Err("link.socket: an absolute path of at most 90 bytes".into());
            }
            if !(1..=64).contains(&link.agents) {
                return Err("link.agents: 1 to 64".into());
            }
        }
        if file.usage.is_some() && file.link.is_none() {
            return Err("usage: needs [link], which carries it".into());
        }
        if file.usage.as_ref().is_some_and(|u| !(10..=60_000).contains(&u.report_ms)) {
            return Err("usage.report_ms: 10 to 60000".into());
        }
        if file.zones.is_some() && file.link.is_none() {
            return Err("zones: needs [link], which carries them".into());
        }
        if file.zones.as_ref().is_some_and(|z| !(20..=10_000).contains(&z.report_ms)) {
            return Err("zones.report_ms: 20 to 10000".into());
        }
        if file.audit.is_some() && file.link.is_none() {
            return Err("audit: needs [link], which carries it".into());
        }
        if file.audit.as_ref().is_some_and(|a| !(20..=10_000).contains(&a.report_ms)) {
            return Err("audit.report_ms: 20 to 10000".into());
        }
        let outside = match file.outside {
            None => None,
            Some(_) if file.link.is_none() => return Err("outside: needs [link], which carries it".into()),
            Some(outside) => Some(settings(outside, conf)?),
        };
        let format = file.log.format.parse().map_err(|e| format!("log.format: {e}"))?;
        frostvale_log::check(&file.log.level).map_err(|e| format!("log.level: {e}"))?;
        let log = LogSettings { format, level: file.log.level };
        let clock_ahead_ms = file.clock_ahead_ms;
        if !(-600_000..=600_000).contains(&clock_ahead_ms) {
            return Err("clock_ahead_ms: -600000 to 600000".into());
        }
        let File { link, usage, zones, audit, .. } = file;
        let digest = crate::applied_versions::digest(text.as_bytes());
        Ok(LocalSettings { link, outside, usage, zones, audit, digest, log, clock_ahead_ms })
    }
}

fn settings(outside: Outside, conf: &RawSettings) -> Result<Settings, String> {
    let mut plans = vec![None; conf.plans.len()];
    let names: Vec<&str> = conf.plans.iter().map(|p| p.name.as_str()).collect();
    let held = conf.settings();
    for (name, word) in outside.plans {
        let Some(at) = names.iter().position(|n| *n == name) else {
            return Err(format!(
                "outside.plans.{name}: no plan of that name; there are {}",
                names.join(", ")
            ));
        };
        if matches!(word, Word::Allow) && held.plans[at].ceiling_rate > 0.0 {
            return Err(format!("outside.plans.{name}: a plan with a hard ceiling takes \"deny\" alone"));
        }
        plans[at] = Some(match word {
            Word::Allow => FailureMode::Allow,
            Word::Deny => FailureMode::Deny,
        });
    }
    let usual = Settings::default();
    let settings = Settings {
        plans,
        deadline_part: outside.deadline_part.unwrap_or(usual.deadline_part),
        in_hand: outside.in_hand.unwrap_or(usual.in_hand),
        open_ms: outside.open_ms.unwrap_or(usual.open_ms),
        open_most_ms: outside.open_most_ms.unwrap_or(usual.open_most_ms),
        keep_ms: outside.keep_ms.unwrap_or(usual.keep_ms),
        keep_most: outside.keep_most.unwrap_or(usual.keep_most),
    };
    settings.check().map_err(|e| format!("outside.{e}"))?;
    Ok(settings)
}

#[cfg(test)]
mod tests;
