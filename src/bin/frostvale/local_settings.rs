//! The gatekeeper's local settings file, which `GW_EXTRA` names: settings that the platform does not provide.
//! Without the file, all of these features are off.

use frostvale::RawSettings;
use frostvale_log::Format;
use frostvale_outside::{FailureMode, Settings};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::env;
use std::path::PathBuf;
use std::time::Duration;

/// The file as it is written.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct SettingsFile {
    link: Option<Link>,
    outside: Option<Outside>,
    usage: Option<UsageSettings>,
    zones: Option<ZoneSettings>,
    audit: Option<AuditSettings>,
    log: Log,
    clock_ahead_ms: i64,
}

/// The `[log]` section.
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

/// The validated `[log]` section.
pub struct LogSettings {
    pub format: Format,
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { format: Format::Text, level: "info".into() }
    }
}

/// The `[usage]` section: usage and bucket levels are reported to agents.
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

/// The `[zones]` section: zone observations are reported, and zone decisions of the fleet are applied.
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

/// The `[audit]` section: applied versions are reported, and decisions on fenced-off gatekeepers are applied.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AuditSettings {
    report_ms: u64,
    /// A fault for drills: the gatekeeper reports plans as in effect and keeps applying the plans that it
    /// has.
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

/// The `[link]` section: the link to the host's agents.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The path of the socket.
    pub socket: PathBuf,
    /// Agents that may be connected at once.
    #[serde(default = "default_agents")]
    pub agents: usize,
}

fn default_agents() -> usize {
    4
}

/// The `[outside]` section; fields that are absent take the defaults of [`Settings`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Outside {
    plans: BTreeMap<String, FailureModeName>,
    deadline_part: Option<f64>,
    in_hand: Option<usize>,
    open_ms: Option<f64>,
    open_most_ms: Option<f64>,
    keep_ms: Option<f64>,
    keep_most: Option<usize>,
}

/// What a plan's requests get while the outside service fails.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum FailureModeName {
    Allow,
    Deny,
}

/// The validated settings; everything is off where there is no file.
#[derive(Default)]
pub struct LocalSettings {
    pub link: Option<Link>,
    /// How an outside service is consulted.
    pub outside: Option<Settings>,
    /// Present where usage and levels are reported.
    pub usage: Option<UsageSettings>,
    /// Present where zone decisions of the fleet are applied.
    pub zones: Option<ZoneSettings>,
    /// Present where applied versions are reported.
    pub audit: Option<AuditSettings>,
    /// The digest of the file; empty where there is none.
    pub digest: String,
    /// How log lines are written.
    pub log: LogSettings,
    /// Milliseconds that are added to the host's clock for the process's start time and the times of usage.
    pub clock_ahead_ms: i64,
}

impl LocalSettings {
    /// Reads the file that `GW_EXTRA` names, if it names one. `conf` holds the plans that the file may name.
    /// An error is one line that names the file and the field.
    pub fn read(conf: &RawSettings) -> Result<LocalSettings, String> {
        let Some(path) = env::var("GW_EXTRA").ok().filter(|path| !path.is_empty()) else {
            return Ok(LocalSettings::default());
        };
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        Self::parse(&text, conf).map_err(|e| format!("{path}: {e}"))
    }

    /// Numbers the plans of `outside` as the plans `in_effect` are. It was read with the plans of `listed`,
    /// which take effect at a restart only.
    pub fn renumber_outside_plans(&mut self, listed: &RawSettings, in_effect: &RawSettings) {
        let Some(outside) = &mut self.outside else { return };
        let mode = |name: &str| {
            let at = listed.plans.iter().position(|plan| plan.name == name)?;
            outside.plans.get(at).copied().flatten()
        };
        let renumbered = in_effect.plans.iter().map(|plan| mode(&plan.name)).collect();
        outside.plans = renumbered;
    }

    fn parse(text: &str, conf: &RawSettings) -> Result<LocalSettings, String> {
        // A TOML error has several lines, with an excerpt of the file; the error has to be one line.
        let one_line = |e: toml::de::Error| e.to_string().lines().collect::<Vec<_>>().join(" ");
        let file: SettingsFile = toml::from_str(text).map_err(one_line)?;
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
            Some(outside) => Some(outside_settings(outside, conf)?),
        };
        let format = file.log.format.parse().map_err(|e| format!("log.format: {e}"))?;
        frostvale_log::check(&file.log.level).map_err(|e| format!("log.level: {e}"))?;
        let log = LogSettings { format, level: file.log.level };
        let clock_ahead_ms = file.clock_ahead_ms;
        if !(-600_000..=600_000).contains(&clock_ahead_ms) {
            return Err("clock_ahead_ms: -600000 to 600000".into());
        }
        let SettingsFile { link, usage, zones, audit, .. } = file;
        let digest = crate::applied_versions::digest(text.as_bytes());
        Ok(LocalSettings { link, outside, usage, zones, audit, digest, log, clock_ahead_ms })
    }
}

fn outside_settings(outside: Outside, conf: &RawSettings) -> Result<Settings, String> {
    let mut plans = vec![None; conf.plans.len()];
    let names: Vec<&str> = conf.plans.iter().map(|p| p.name.as_str()).collect();
    let validated = conf.settings();
    for (name, mode) in outside.plans {
        let Some(at) = names.iter().position(|n| *n == name) else {
            return Err(format!(
                "outside.plans.{name}: no plan of that name; there are {}",
                names.join(", ")
            ));
        };
        if matches!(mode, FailureModeName::Allow) && validated.plans[at].ceiling_rate > 0.0 {
            return Err(format!("outside.plans.{name}: a plan with a hard ceiling takes \"deny\" alone"));
        }
        plans[at] = Some(match mode {
            FailureModeName::Allow => FailureMode::Allow,
            FailureModeName::Deny => FailureMode::Deny,
        });
    }
    let defaults = Settings::default();
    let settings = Settings {
        plans,
        deadline_part: outside.deadline_part.unwrap_or(defaults.deadline_part),
        in_hand: outside.in_hand.unwrap_or(defaults.in_hand),
        open_ms: outside.open_ms.unwrap_or(defaults.open_ms),
        open_most_ms: outside.open_most_ms.unwrap_or(defaults.open_most_ms),
        keep_ms: outside.keep_ms.unwrap_or(defaults.keep_ms),
        keep_most: outside.keep_most.unwrap_or(defaults.keep_most),
    };
    settings.check().map_err(|e| format!("outside.{e}"))?;
    Ok(settings)
}

#[cfg(test)]
mod tests;
