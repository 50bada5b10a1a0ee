//! The settings as the simulator and the deployment write them: names and units are theirs, and keys that
//! are not known are skipped. Read once, for both programs.

use crate::api::*;
use serde::Deserialize;

/// The object of settings that a gateway is given at its start.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Conf {
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
    pub classes: Vec<ConfClass>,
    /// The plans, by number.
    #[serde(default)]
    pub plans: Vec<ConfPlan>,
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
pub struct ConfClass {
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
    pub effect: EffectWord,
    #[serde(default)]
    group: Option<GroupWord>,
    #[serde(default)]
    window: f64,
}

/// Whether a class may be repeated.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EffectWord {
    /// At will.
    Repeatable,
    /// Within a group that drops repeats.
    ByKey,
    /// Never once it may have run.
    Once,
}

#[derive(Debug, Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum GroupWord {
    All,
    Zone,
    Cell,
}

/// A plan.
#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ConfPlan {
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

impl Conf {
    /// What the module needs of them.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let class = |c: &ConfClass| Class {
            worth: c.worth,
            aim: c.target,
            late_worth: c.late_worth,
            effect: match (c.effect, c.group) {
                (EffectWord::Repeatable, _) => Effect::Safe,
                (EffectWord::Once, _) => Effect::Unsafe,
                (EffectWord::ByKey, Some(GroupWord::Zone)) => Effect::Keyed(Group::Zone),
                (EffectWord::ByKey, Some(GroupWord::Cell)) => Effect::Keyed(Group::Cell),
                (EffectWord::ByKey, _) => Effect::Keyed(Group::All),
            },
            window: c.window,
        };
        let plan = |p: &ConfPlan| Plan {
            rate: p.units_per_s,
            burst: p.peak_units,
            open: p.max_out,
            price: p.value_factor,
            over_cost: p.over_cost,
            ceiling_rate: p.cap_rate,
            ceiling_burst: p.cap_depth,
            ceiling_slack: p.ceiling_slack,
        };
        Settings {
            me: self.me,
            gateways: self.balancers,
            zone: self.zone,
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            max_attempts: self.bounds.try_limit,
            notes: self.bounds.peers,
            largest: self.domain.largest,
            note_intake: self.domain.peer_intake,
            cold_from: self.rules.cold_from,
            warm_within: self.rules.warm_within,
            fall_multiple: self.rules.fall_multiple,
        }
    }
}
