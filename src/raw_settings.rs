//! The settings as the simulator and the deployment write them: names and units are theirs, and keys that
//! are not known are skipped. Read once, for both programs.

use crate::api::*;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt::Display;

/// The object of settings that a gatekeeper is given at its start.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawSettings {
    balancers: u32,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    zone: u32,
    /// Zone names, by number.
    #[serde(default)]
    pub areas: Vec<String>,
    /// Names of the kinds of machine, by number.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// The classes, by number.
    pub classes: Vec<RawClass>,
    /// The plans, by number.
    #[serde(default)]
    pub plans: Vec<RawPlan>,
    /// What the site permits.
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default)]
    domain: Domain,
    #[serde(default)]
    rules: Rules,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawClass {
    /// Its name.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    worth: f64,
    target: f64,
    /// No client of this class waits longer, in milliseconds; 0 where nothing is said.
    #[serde(default)]
    pub deadline: f64,
    #[serde(default)]
    late_worth: f64,
    /// Whether it may be repeated.
    pub effect: RawEffect,
    #[serde(default)]
    group: Option<RawGroup>,
    #[serde(default)]
    window: f64,
}

/// Whether a class may be repeated.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawEffect {
    /// At will.
    Repeatable,
    /// Within a group that drops repeats.
    ByKey,
    /// Never once it may have run.
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
    /// Its name.
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

/// What the site permits, times in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    peers: bool,
    try_limit: u32,
    /// A connection that is not up after this counts as unreachable.
    pub connect_timeout: f64,
    /// Idle connections are closed after this.
    pub conn_idle: f64,
    /// The most requests open at once.
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
    /// Where nothing is said a cold server is sent no more than it can do.
    fn default() -> Self {
        Rules { cold_from: 0.0, warm_within: 0.0, fall_multiple: 1.0 }
    }
}

/// The longest time that is taken, in milliseconds: thirty years, so that "never" may be written as one.
const TIME_MOST: f64 = 1e12;
/// The most units, worth and factors that are taken.
const FIGURE_MOST: f64 = 1e12;
/// The least of what can't be nothing.
const LEAST: f64 = 0.001;
/// The most gatekeepers that are taken.
const GATEKEEPERS_MOST: u32 = 65_536;

/// Whether a figure of the settings lies within its range, both ends included.
fn within(field: impl Display, figure: f64, (least, most): (f64, f64)) -> Result<(), SettingsError> {
    if (least..=most).contains(&figure) {
        return Ok(());
    }
    Err(SettingsError(format!("{field} is {figure}, and has to be from {least} to {most}")))
}

/// Whether each of some names stands once.
fn named<'a>(what: &str, names: impl Iterator<Item = &'a str>) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for (k, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(SettingsError(format!("{what}[{k}].Name is {name:?}, which stands there before")));
        }
    }
    Ok(())
}

impl RawSettings {
    /// Whether all figures are within what can be acted on.
    ///
    /// # Errors
    /// Names the first that is not, as the settings have it, and its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let (time, figure) = ((0.0, TIME_MOST), (0.0, FIGURE_MOST));
        within("Balancers", f64::from(self.balancers), (1.0, f64::from(GATEKEEPERS_MOST)))?;
        within("Me", f64::from(self.me), (0.0, f64::from(self.balancers - 1)))?;
        if self.classes.is_empty() {
            return Err(SettingsError("Classes holds no class, and has to hold one at the least".into()));
        }
        named("Classes", self.classes.iter().map(|c| c.name.as_str()))?;
        named("Plans", self.plans.iter().map(|p| p.name.as_str()))?;
        for (k, c) in self.classes.iter().enumerate() {
            let of = |field| format!("Classes[{k}].{field}");
            within(of("Target"), c.target, (LEAST, TIME_MOST))?;
            within(of("Deadline"), c.deadline, time)?;
            within(of("Worth"), c.worth, figure)?;
            within(of("LateWorth"), c.late_worth, figure)?;
            let least = if c.effect == RawEffect::ByKey { LEAST } else { 0.0 };
            within(of("Window"), c.window, (least, TIME_MOST))?;
        }
        for (k, p) in self.plans.iter().enumerate() {
            let of = |field| format!("Plans[{k}].{field}");
            within(of("UnitsPerS"), p.units_per_s, figure)?;
            within(
                of("PeakUnits"),
                p.peak_units,
                (if p.units_per_s > 0.0 { LEAST } else { 0.0 }, FIGURE_MOST),
            )?;
            within(of("ValueFactor"), p.value_factor, figure)?;
            within(of("OverCost"), p.over_cost, figure)?;
            within(of("CapRate"), p.cap_rate, figure)?;
            within(of("CapDepth"), p.cap_depth, figure)?;
            within(of("CeilingSlack"), p.ceiling_slack, figure)?;
        }
        within("Bounds.ConnectTimeout", self.bounds.connect_timeout, time)?;
        within("Bounds.ConnIdle", self.bounds.conn_idle, time)?;
        within("Domain.PeerIntake", self.domain.peer_intake, figure)?;
        within("Domain.Largest", self.domain.largest, figure)?;
        within("Rules.ColdFrom", self.rules.cold_from, (0.0, 1.0))?;
        within("Rules.WarmWithin", self.rules.warm_within, time)?;
        within("Rules.FallMultiple", self.rules.fall_multiple, (LEAST, FIGURE_MOST))
    }

    /// What the module needs of them.
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
