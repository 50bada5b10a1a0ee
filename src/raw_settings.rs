//! Settings as the simulator and the deployment write them: these define names and units, and unknown keys
//! are ignored. Used by both programs.

use crate::api::*;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt::Display;

/// The settings object that a gatekeeper gets at its start.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawSettings {
    /// Number of gatekeepers.
    balancers: u32,
    /// Index of this gatekeeper.
    #[serde(default)]
    me: u32,
    #[serde(default)]
    zone: u32,
    /// Zone names, by index.
    #[serde(default)]
    pub areas: Vec<String>,
    /// Names of the machine types, by index.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Request classes, by index.
    pub classes: Vec<RawClass>,
    /// Plans, by index.
    #[serde(default)]
    pub plans: Vec<RawPlan>,
    /// Limits set by the site.
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default)]
    domain: Domain,
    #[serde(default)]
    rules: Rules,
}

/// A request class.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawClass {
    /// Name of the class.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    worth: f64,
    target: f64,
    /// Maximum time that clients of this class wait, in ms; 0 if not stated.
    #[serde(default)]
    pub deadline: f64,
    #[serde(default)]
    late_worth: f64,
    /// Whether its requests may be repeated.
    pub effect: RawEffect,
    #[serde(default)]
    group: Option<RawGroup>,
    #[serde(default)]
    window: f64,
}

/// Whether requests of a class may be repeated.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawEffect {
    /// Always: they are idempotent.
    Repeatable,
    /// Within a group of servers that deduplicate repeats by key.
    ByKey,
    /// Never after an attempt that may have run.
    Once,
}

#[derive(Debug, Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

/// A plan.
#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct RawPlan {
    /// Name of the plan.
    pub name: String,
    units_per_s: f64,
    peak_units: f64,
    max_out: u32,
    value_factor: f64,
    over_cost: f64,
    cap_rate: f64,
    cap_depth: f64,
    ceiling_slack: f64,
}

/// Limits set by the site; times are in ms.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    peers: bool,
    try_limit: u32,
    /// Connect timeout: the server counts as unreachable after it.
    pub connect_timeout: f64,
    /// Idle connections are closed after this time.
    pub conn_idle: f64,
    /// Maximum number of open requests.
    pub max_open: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { peers: false, try_limit: 0, connect_timeout: 250.0, conn_idle: 15_000.0, max_open: 20_000 }
    }
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Domain {
    peer_intake: f64,
    largest: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    cold_from: f64,
    warm_within: f64,
    fall_multiple: f64,
}

impl Default for Rules {
    /// By default a cold server is sent no more than it can serve.
    fn default() -> Self {
        Rules { cold_from: 0.0, warm_within: 0.0, fall_multiple: 1.0 }
    }
}

/// Maximum of times, in ms: about thirty years, so that it can stand for "never".
const MAX_TIME_MS: f64 = 1e12;
/// Maximum of units, worth and factors.
const MAX_VALUE: f64 = 1e12;
/// Minimum of values that cannot be 0.
const MIN_POSITIVE: f64 = 0.001;
/// Maximum number of gatekeepers.
const MAX_GATEKEEPERS: u32 = 65_536;

/// Checks that a value of the settings lies within its range, both ends included.
fn check_range(field: impl Display, value: f64, (min, max): (f64, f64)) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SettingsError(format!("{field} is {value}: must be from {min} to {max}")))
}

/// Checks that no name occurs twice.
fn check_unique_names<'a>(what: &str, names: impl Iterator<Item = &'a str>) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for (k, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(SettingsError(format!(
                "{what}[{k}].Name is {name:?}: another entry has the same name"
            )));
        }
    }
    Ok(())
}

impl RawSettings {
    /// Checks all values.
    ///
    /// # Errors
    /// Names the first value that is out of its range, by its key in the settings, and the range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let (time_range, value_range) = ((0.0, MAX_TIME_MS), (0.0, MAX_VALUE));
        check_range("Balancers", f64::from(self.balancers), (1.0, f64::from(MAX_GATEKEEPERS)))?;
        check_range("Me", f64::from(self.me), (0.0, f64::from(self.balancers - 1)))?;
        if self.classes.is_empty() {
            return Err(SettingsError("Classes holds no class, and has to hold at least one".into()));
        }
        check_unique_names("Classes", self.classes.iter().map(|c| c.name.as_str()))?;
        check_unique_names("Plans", self.plans.iter().map(|p| p.name.as_str()))?;
        for (k, c) in self.classes.iter().enumerate() {
            let path = |field| format!("Classes[{k}].{field}");
            check_range(path("Target"), c.target, (MIN_POSITIVE, MAX_TIME_MS))?;
            check_range(path("Deadline"), c.deadline, time_range)?;
            check_range(path("Worth"), c.worth, value_range)?;
            check_range(path("LateWorth"), c.late_worth, value_range)?;
            let min = if c.effect == RawEffect::ByKey { MIN_POSITIVE } else { 0.0 };
            check_range(path("Window"), c.window, (min, MAX_TIME_MS))?;
        }
        for (k, p) in self.plans.iter().enumerate() {
            let path = |field| format!("Plans[{k}].{field}");
            check_range(path("UnitsPerS"), p.units_per_s, value_range)?;
            check_range(
                path("PeakUnits"),
                p.peak_units,
                (if p.units_per_s > 0.0 { MIN_POSITIVE } else { 0.0 }, MAX_VALUE),
            )?;
            check_range(path("ValueFactor"), p.value_factor, value_range)?;
            check_range(path("OverCost"), p.over_cost, value_range)?;
            check_range(path("CapRate"), p.cap_rate, value_range)?;
            check_range(path("CapDepth"), p.cap_depth, value_range)?;
            check_range(path("CeilingSlack"), p.ceiling_slack, value_range)?;
        }
        check_range("Bounds.ConnectTimeout", self.bounds.connect_timeout, time_range)?;
        check_range("Bounds.ConnIdle", self.bounds.conn_idle, time_range)?;
        check_range("Domain.PeerIntake", self.domain.peer_intake, value_range)?;
        check_range("Domain.Largest", self.domain.largest, value_range)?;
        check_range("Rules.ColdFrom", self.rules.cold_from, (0.0, 1.0))?;
        check_range("Rules.WarmWithin", self.rules.warm_within, time_range)?;
        check_range("Rules.FallMultiple", self.rules.fall_multiple, (MIN_POSITIVE, MAX_VALUE))
    }

    /// Converts to the settings of the decision module.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let class = |c: &RawClass| Class {
            worth: c.worth,
            target_ms: c.target,
            late_worth: c.late_worth,
            effect: match (c.effect, c.group) {
                (RawEffect::Repeatable, _) => Effect::Safe,
                (RawEffect::Once, _) => Effect::Unsafe,
                (RawEffect::ByKey, Some(RawGroup::Zone)) => Effect::Keyed(Group::Zone),
                (RawEffect::ByKey, Some(RawGroup::Cell)) => Effect::Keyed(Group::Cell),
                (RawEffect::ByKey, _) => Effect::Keyed(Group::All),
            },
            dedup_window_ms: c.window,
        };
        let plan = |p: &RawPlan| Plan {
            rate: p.units_per_s,
            burst: p.peak_units,
            max_in_flight: p.max_out,
            price: p.value_factor,
            over_cost: p.over_cost,
            ceiling_rate: p.cap_rate,
            ceiling_burst: p.cap_depth,
            ceiling_slack: p.ceiling_slack,
        };
        Settings {
            own_index: self.me,
            gatekeepers: self.balancers,
            zone: self.zone,
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            max_attempts: self.bounds.try_limit,
            peer_messages: self.bounds.peers,
            max_request_units: self.domain.largest,
            peer_intake_per_second: self.domain.peer_intake,
            cold_capacity_share: self.rules.cold_from,
            warm_up_ms: self.rules.warm_within,
            cold_overload_factor: self.rules.fall_multiple,
        }
    }
}
