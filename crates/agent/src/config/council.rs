//! Settings of the consensus group and of the duties of the fleet.

use frostvale_council::Member;
use frostvale_owner::Settings;
use frostvale_owner::registry::is_name;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// `[council]`: the consensus group of agents.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Council {
    /// Name of the fleet; messages of another fleet are refused.
    #[serde(default = "fleet")]
    pub fleet: String,
    /// File in which this agent stores the state of the group; an absolute path.
    pub file: PathBuf,
    /// Address at which other members reach this agent; by default the address of its rate limit service.
    #[serde(default)]
    pub at: Option<String>,
    /// Initial voters, the same list at each of them; by default this agent alone.
    #[serde(default)]
    pub voters: Vec<Voter>,
    /// Whether this agent follows the group without a vote.
    #[serde(default)]
    pub follow: bool,
    /// Zone of this agent, for display only.
    #[serde(default = "zone")]
    pub zone: String,
    /// Time that a session holds without a heartbeat, in ms.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Largest deviation of the speed of a host's clock that is tolerated, in thousandths.
    #[serde(default = "drift_milli")]
    pub drift_milli: u64,
    /// Interval of the leader's heartbeats, in ms; by default a twentieth of `lease_ms`, and at least 20.
    #[serde(default)]
    pub heartbeat_ms: Option<u64>,
    /// Addresses at which this agent reaches members, by name; by default the member's own address.
    #[serde(default)]
    pub via: BTreeMap<String, String>,
}

/// A voter of the consensus group.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Name of the voter.
    pub name: String,
    /// Address of the voter, as `host:port`.
    pub at: String,
}

fn fleet() -> String {
    "frostvale".into()
}

fn zone() -> String {
    "none".into()
}

fn lease_ms() -> u64 {
    Settings::default().lease_ms
}

fn drift_milli() -> u64 {
    Settings::default().drift_milli
}

/// `[duties]`: how this agent carries out the duties of the fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Duties {
    /// Folder for the export of usage by day; without it this agent exports nothing.
    pub export: Option<PathBuf>,
    /// Whether the export also writes CSV.
    pub csv: bool,
    /// Number of days that the rows of the ledger are kept.
    pub keep_days: u32,
    /// Time without a report after which the incarnation of a gatekeeper counts as ended, in seconds.
    pub gap_after_s: u32,
    /// Time after its end at which a day is exported, in seconds, because usage arrives late.
    pub export_after_s: u32,
}

impl Default for Duties {
    fn default() -> Self {
        Duties { export: None, csv: true, keep_days: 90, gap_after_s: 300, export_after_s: 3600 }
    }
}

/// `[zones]`: failover between zones, decided for the whole fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zones {
    /// Interval of the reports of observations to the owner, in ms.
    pub report_ms: u64,
    /// Interval at which the decision is renewed at gatekeepers, in ms.
    pub renew_ms: u64,
    /// Time that a decision holds at gatekeepers without renewal, in ms.
    pub hold_ms: u64,
    /// Time that the effect of a decision takes to fade after `hold_ms`, in ms.
    pub fade_ms: u64,
    /// Settings of the failover controller.
    pub judge: frostvale_zones::Settings,
}

impl Default for Zones {
    fn default() -> Self {
        let judge = frostvale_zones::Settings::default();
        Zones { report_ms: 250, renew_ms: 500, hold_ms: 5000, fade_ms: 5000, judge }
    }
}

impl Zones {
    /// Checks the values; the error names the field and its range.
    pub(super) fn check(&self) -> Result<(), String> {
        let range = |name: &str, value: u64, min: u64, max: u64| {
            if (min..=max).contains(&value) {
                Ok(())
            } else {
                Err(format!("zones.{name}: {value}; {min} to {max}"))
            }
        };
        range("report_ms", self.report_ms, 20, 10_000)?;
        range("renew_ms", self.renew_ms, 20, 60_000)?;
        range("hold_ms", self.hold_ms, 2 * self.renew_ms, 3_600_000)?;
        range("fade_ms", self.fade_ms, 0, 3_600_000)?;
        self.judge.check().map_err(|e| format!("zones.judge.{e}"))?;
        if self.judge.stale_ms < 3 * self.report_ms {
            return Err(format!(
                "zones.judge.stale_ms: {}; at least three times report_ms",
                self.judge.stale_ms
            ));
        }
        Ok(())
    }
}

/// `[audit]`: which versions each gatekeeper applies, and what is done about those that lag behind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Audit {
    /// Interval of the reports of applied versions to the owner, in ms.
    pub report_ms: u64,
    /// Interval at which the decision on fenced-off gatekeepers is renewed at gatekeepers, in ms.
    pub renew_ms: u64,
    /// Time that the decision holds at gatekeepers without renewal, in ms.
    pub hold_ms: u64,
    /// Number of days that the history is kept.
    pub keep_days: u32,
    /// Times and limits of the escalation.
    pub ladder: frostvale_audit::Settings,
}

impl Default for Audit {
    fn default() -> Self {
        let ladder = frostvale_audit::Settings::default();
        Audit { report_ms: 500, renew_ms: 1000, hold_ms: 10_000, keep_days: 400, ladder }
    }
}

impl Audit {
    /// Checks the values; the error names the field and its range.
    pub(super) fn check(&self) -> Result<(), String> {
        let range = |name: &str, value: u64, min: u64, max: u64| {
            if (min..=max).contains(&value) {
                Ok(())
            } else {
                Err(format!("audit.{name}: {value}; {min} to {max}"))
            }
        };
        range("report_ms", self.report_ms, 20, 10_000)?;
        range("renew_ms", self.renew_ms, 20, 60_000)?;
        range("hold_ms", self.hold_ms, 2 * self.renew_ms, 3_600_000)?;
        range("keep_days", self.keep_days.into(), 1, 36_500)?;
        self.ladder.check().map_err(|e| format!("audit.ladder.{e}"))?;
        let stale_ms = self.ladder.stale_ms;
        if stale_ms < 3 * self.report_ms {
            return Err(format!("audit.ladder.stale_ms: {stale_ms}; at least three times report_ms"));
        }
        Ok(())
    }
}

/// `[drill]`, for drills and tests: duties without effect, clocks that deviate and a faulty consensus file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drill {
    /// Number of duties whose step only presents its fence to the record.
    pub duties: u32,
    /// Duration of a step of these duties, in ms.
    pub step_ms: u64,
    /// Pause between two steps, in ms.
    pub pause_ms: u64,
    /// Number of the duty whose steps panic; none if it is not below `duties`.
    pub crashes: u32,
    /// Number of the duty whose steps abort the whole process; none if it is not below `duties`.
    pub aborts: u32,
    /// Offset that is added to this host's wall clock, in ms.
    pub clock_ahead_ms: i64,
    /// Speed of this host's monotonic clock, in thousandths of real time.
    pub clock_rate_milli: u64,
    /// Time after which the wall clock jumps by `clock_jump_ms`, in ms; 0 is never.
    pub clock_jump_after_ms: u64,
    /// Size of the jump of the wall clock, in ms.
    pub clock_jump_ms: i64,
    /// Most pages of the consensus file, to simulate a full disk; 0 is no limit.
    pub council_pages: u32,
    /// Whether the consensus file is opened read-only, to simulate a disk that cannot be written.
    pub council_read_only: bool,
}

impl Default for Drill {
    fn default() -> Self {
        Drill {
            duties: 0,
            step_ms: 0,
            pause_ms: 200,
            crashes: u32::MAX,
            aborts: u32::MAX,
            clock_ahead_ms: 0,
            clock_rate_milli: 1000,
            clock_jump_after_ms: 0,
            clock_jump_ms: 0,
            council_pages: 0,
            council_read_only: false,
        }
    }
}

impl Council {
    /// Converts the section to the settings of a group member. `at` is the address of the rate limit service.
    #[must_use]
    pub fn member(&self, name: &str, at: &str) -> frostvale_council::Settings {
        let at = self.at.clone().unwrap_or_else(|| at.to_string());
        let voter = |v: &Voter| Member { name: v.name.clone(), at: v.at.clone() };
        let voters = match &self.voters[..] {
            [] => vec![Member {
                name: name.to_string(),
                at: if at.is_empty() { "alone".into() } else { at.clone() },
            }],
            voters => voters.iter().map(voter).collect(),
        };
        frostvale_council::Settings {
            fleet: self.fleet.clone(),
            name: name.to_string(),
            at,
            file: self.file.clone(),
            voters,
            follow: self.follow,
            heartbeat_ms: self.heartbeat_ms.unwrap_or((self.lease_ms / 20).max(20)),
            read_only: false,
        }
    }

    /// Settings of leases.
    #[must_use]
    pub fn settings(&self) -> Settings {
        Settings { lease_ms: self.lease_ms, drift_milli: self.drift_milli, ..Settings::default() }
    }

    /// Checks the section; `listens` is whether the rate limit service is configured.
    pub(super) fn check(&self, name: &str, listens: bool) -> Result<(), String> {
        let with_section = |e: String| format!("council.{e}");
        self.member(name, "here").check().map_err(with_section)?;
        self.settings().check().map_err(with_section)?;
        if !self.file.is_absolute() {
            return Err("council.file: an absolute path".into());
        }
        if !is_name(&self.zone) {
            return Err("council.zone: 1 to 64 letters, digits, dots, dashes or underscores".into());
        }
        let heartbeat = self.member(name, "here").heartbeat_ms;
        if heartbeat * 16 > self.lease_ms {
            return Err(format!(
                "council.heartbeat_ms: {heartbeat}; 20 to {} (a 16th of lease_ms, so that leases survive a \
                 change of leader)",
                self.lease_ms / 16
            ));
        }
        if let Some(other) = self.via.keys().find(|k| !is_name(k)) {
            return Err(format!("council.via: {other:?} is no name"));
        }
        if (self.voters.len() > 1 || self.follow) && !listens {
            return Err(
                "council: other members reach this agent at its rate limit service: [rls] is required".into(),
            );
        }
        Ok(())
    }
}

impl Duties {
    /// Checks the values; the error names the field and its range.
    pub(super) fn check(&self) -> Result<(), String> {
        if self.export.as_ref().is_some_and(|e| !e.is_absolute()) {
            return Err("duties.export: an absolute path".into());
        }
        if !(1..=36_500).contains(&self.keep_days) {
            return Err("duties.keep_days: 1 to 36500".into());
        }
        if !(1..=86_400).contains(&self.gap_after_s) {
            return Err("duties.gap_after_s: 1 to 86400".into());
        }
        if self.export_after_s > 864_000 {
            return Err("duties.export_after_s: 0 to 864000".into());
        }
        Ok(())
    }
}

impl Drill {
    /// Checks the values; the error names the field and its range.
    pub(super) fn check(&self) -> Result<(), String> {
        if self.duties > 9_000 {
            return Err("drill.duties: 0 to 9000".into());
        }
        if !(500..=2_000).contains(&self.clock_rate_milli) {
            return Err("drill.clock_rate_milli: 500 to 2000".into());
        }
        if self.pause_ms == 0 {
            return Err("drill.pause_ms: over 0".into());
        }
        Ok(())
    }
}
