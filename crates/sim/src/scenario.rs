//! Scenarios: what is simulated, as a TOML file with comments. Every figure is checked when the file is read, so that no
//! bad state can be held; keys that are not known are errors.

use frostvale::{Class, Effect, Group, Plan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The longest simulated time, in seconds.
pub const MAX_SECONDS: f64 = 3600.0;
/// The most gatekeepers, servers and shops.
pub const MAX_GATEKEEPERS: u32 = 4000;
/// See [`MAX_GATEKEEPERS`].
pub const MAX_SERVERS: u32 = 20_000;
/// See [`MAX_GATEKEEPERS`].
pub const MAX_SHOPS: u32 = 4_000_000;
/// The most requests a second.
pub const MAX_RATE: f64 = 500_000.0;

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows.
    #[serde(default)]
    pub why: String,
    /// Simulated seconds in which requests come in; those in hand then run to their end.
    pub seconds: f64,
    /// The gatekeepers.
    #[serde(default)]
    pub gatekeepers: Gatekeepers,
    /// The formula servers.
    #[serde(default)]
    pub servers: Servers,
    /// The classes of requests.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<ClassOf>,
    /// The plans.
    #[serde(default = "plans", rename = "plan")]
    pub plans: Vec<PlanOf>,
    /// Who asks, and how often.
    #[serde(default)]
    pub load: Load,
    /// Ways between all of them.
    #[serde(default)]
    pub network: Network,
    /// The server list.
    #[serde(default)]
    pub discovery: Discovery,
    /// Zones, decided on in common; without it each gatekeeper acts by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Zones>,
    /// What goes wrong.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// What has to hold beside the rules.
    #[serde(default)]
    pub expect: Expect,
}

/// The gatekeepers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gatekeepers {
    /// How many.
    pub count: u32,
    /// A shop's set has from so many to so many of them.
    pub spread: [u32; 2],
    /// Whether they send each other notes.
    pub notes: bool,
    /// How many notes a second one takes in; what comes beyond is lost.
    pub note_intake: f64,
    /// The most attempts for a request; 0 means no limit.
    pub max_attempts: u32,
    /// A killed one is back after so many seconds.
    pub down_s: f64,
    /// How many stand in each zone, as shares; by turns, if not given.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub zone_shares: Vec<f64>,
}

impl Default for Gatekeepers {
    fn default() -> Self {
        Gatekeepers {
            count: 3,
            spread: [2, 3],
            notes: true,
            note_intake: 60.0,
            max_attempts: 3,
            down_s: 1.0,
            zone_shares: Vec::new(),
        }
    }
}

/// The formula servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    /// How many.
    pub count: u32,
    /// Zones they stand in, by turns.
    pub zones: u32,
    /// How many stand in each, as shares instead of by turns.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub zone_shares: Vec<f64>,
    /// Racks whose servers drop each other's repeats; a rack is in one zone.
    pub cells: u32,
    /// Requests that wait at one at the most, beside those it works on.
    pub queue: u32,
    /// The part of its capacity with which one starts.
    pub cold_from: f64,
    /// It is warm so long after its start, in seconds.
    pub warm_s: f64,
    /// More than so many times what it can do, for a second, and a cold one falls over.
    pub cold_times: f64,
    /// Its answers say how many requests it holds.
    pub report: bool,
    /// Connections that it holds at the most; new ones past that are turned away. 0 for any number.
    pub connections: u32,
    /// A connection that has rested for so long is closed.
    pub idle_ms: f64,
    /// A new connection takes so long to come up.
    pub handshake_ms: f64,
    /// Kinds of machine.
    #[serde(rename = "kind")]
    pub kinds: Vec<KindOf>,
}

impl Default for Servers {
    fn default() -> Self {
        let kind = |name: &str, share, cores, speed| KindOf { name: name.into(), share, cores, speed };
        Servers {
            count: 10,
            zones: 3,
            zone_shares: Vec::new(),
            cells: 6,
            queue: 40,
            cold_from: 0.21,
            warm_s: 17.0,
            cold_times: 2.0,
            report: false,
            connections: 0,
            idle_ms: 20_000.0,
            handshake_ms: 0.0,
            kinds: vec![kind("std-2", 0.54, 2, [0.85, 1.1]), kind("slow-3", 0.46, 3, [0.51, 0.69])],
        }
    }
}

/// A kind of machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindOf {
    /// Its name.
    pub name: String,
    /// Its share of the servers.
    pub share: f64,
    /// Requests that it works on at once.
    pub cores: u32,
    /// The speed of a core, from and to.
    pub speed: [f64; 2],
}

/// Whether requests of a class may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// At will.
    Safe,
    /// Servers of one rack drop repeats.
    Cell,
    /// Servers of one zone do.
    Zone,
    /// All servers do.
    All,
    /// Never once it may have run.
    Once,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassOf {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Its work on a core of speed 1, in ms, from and to.
    pub work_ms: [f64; 2],
    /// An answer within this time is wanted.
    pub aim_ms: f64,
    /// Clients wait half of this to all of it.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// How long servers remember a key.
    #[serde(default)]
    pub window_ms: f64,
    /// The units it takes, from and to.
    #[serde(default = "one_unit")]
    pub units: [u32; 2],
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanOf {
    /// Its name.
    pub name: String,
    /// Its share of the shops. Those that ask most are on the plans with the highest rates.
    pub share: f64,
    /// Units a second for each shop; 0 for no such quota.
    pub rate: f64,
    /// The most units that may be used at once.
    pub burst: f64,
    /// A factor on the worth.
    pub price: f64,
    /// Attempts out at once; 0 for any number.
    #[serde(default)]
    pub open: u32,
    /// The ceiling's rate; 0 for none.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// The most units the ceiling's store holds.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// The ceiling's slack.
    #[serde(default)]
    pub ceiling_slack: f64,
}

/// Who asks, and how often.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Shops.
    pub shops: u32,
    /// Requests a second, without retries.
    pub rate: f64,
    /// How busy shops are against each other: the k-th asks 1 / k^S of what the first does.
    pub zipf: f64,
    /// This part of all requests comes from one shop more.
    pub top: f64,
    /// This part of all requests comes from shops that come once.
    pub once: f64,
    /// How often a client tries again.
    pub retries: u32,
    /// How long it waits before that, from and to.
    pub retry_ms: [f64; 2],
    /// Whether it marks retries.
    pub marked: bool,
    /// This part of a shop's requests goes to the gatekeeper of its set that is busiest for it now.
    pub uneven: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            shops: 200,
            rate: 170.0,
            zipf: 0.8,
            top: 0.0,
            once: 0.0,
            retries: 2,
            retry_ms: [100.0, 500.0],
            marked: true,
            uneven: 0.4,
        }
    }
}

/// Ways between all of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way between any two machines, in ms, from and to.
    pub hop_ms: [f64; 2],
    /// One way for a note.
    pub note_ms: [f64; 2],
    /// The part of notes that is lost in any case.
    pub note_loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { hop_ms: [0.2, 0.6], note_ms: [1.2, 37.0], note_loss: 0.03 }
    }
}

/// The server list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// A change is told to a gatekeeper after this time, from and to.
    pub lag_ms: [f64; 2],
    /// A server that drains is listed as draining so long before it is gone, in seconds.
    pub drain_s: f64,
    /// Nothing new may go to a draining server later than this after a gatekeeper was told.
    pub grace_ms: f64,
    /// A gatekeeper starts with a list that is so many seconds old; without one it starts with none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_s: Option<f64>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { lag_ms: [100.0, 2000.0], drain_s: 5.0, grace_ms: 250.0, known_s: None }
    }
}

/// Zones, decided on in common: one agent in each reports, one of them owns the duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zones {
    /// An agent reports this often.
    pub report_ms: f64,
    /// From a decision until an agent pushes it, from and to: the council's entry, and its way.
    pub enter_ms: [f64; 2],
    /// For how long it holds without being renewed, and then how long it takes to fade.
    pub hold_ms: f64,
    /// See `hold_ms`.
    pub fade_ms: f64,
    /// How long an owner that is gone is missed.
    pub takeover_ms: f64,
    /// How zones are judged. A server of size 1 has one core here.
    pub judge: frostvale_zones::Settings,
}

impl Default for Zones {
    fn default() -> Self {
        let judge = frostvale_zones::Settings { slots_milli: 1000, ..frostvale_zones::Settings::default() };
        Zones {
            report_ms: 250.0,
            enter_ms: [10.0, 80.0],
            hold_ms: 5000.0,
            fade_ms: 5000.0,
            takeover_ms: 3400.0,
            judge,
        }
    }
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A zone is lost: its servers die, and come back cold at the end; so do its agent and this part of its gatekeepers, if
    /// any.
    ZoneLost,
    /// A zone is cut off from all others, its own clients reach it.
    ZoneCut,
    /// A zone's servers are so many times slower.
    ZoneSlow,
    /// A zone's servers answer errors in no time.
    ZoneErrors,
    /// A part of the servers is so many times slower.
    Slow,
    /// A part of the servers answers errors in no time.
    Errors,
    /// A part of the servers dies, and returns as a new life at the end.
    Crash,
    /// A part of the servers takes requests and says nothing.
    Silent,
    /// A part of the servers is drained and replaced by new ones, spread evenly over the time.
    Replace,
    /// Entries of all servers change at once.
    Relist,
    /// The list is silent; then it is told whole.
    DiscoverySilent,
    /// Discovery answers this part of the calls, `times` ms late; then it tells the list whole.
    DiscoverySlow,
    /// Gatekeepers fall into two halves that hear nothing of each other.
    Partition,
    /// This part of the notes is lost.
    NoteLoss,
    /// Notes take so many ms more.
    NoteDelay,
    /// This part of the notes comes twice.
    NoteDouble,
    /// The gatekeeper that keeps the busiest shop is killed, so often, and starts again empty after a second.
    KillKeeper,
    /// A gatekeeper by lot is.
    KillAny,
    /// All ask so many times as much.
    Surge,
}

/// One thing that goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when, in seconds.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// How much of it, 0 to 1.
    #[serde(default = "one")]
    pub part: f64,
    /// So many times, or ms.
    #[serde(default = "one")]
    pub times: f64,
    /// How often.
    #[serde(default = "once")]
    pub count: u32,
    /// Which zone, by its number from 0.
    #[serde(default)]
    pub zone: u32,
}

/// What has to hold beside the rules, as parts from 0 to 1. Not said: not looked at.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Of the worth asked inside quotas, this part is served in time at the least.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served_least: Option<f64>,
    /// Of the units passed, this part is beyond quotas at the most, by plan.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub over_most: BTreeMap<String, f64>,
    /// Notes for a request at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub notes_most: Option<f64>,
    /// From `after_s` on, this part of requests inside quotas is served in time in each second at the least.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub second_least: Option<f64>,
    /// See `second_least`.
    pub after_s: f64,
    /// Handshakes for a request at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handshakes_most: Option<f64>,
    /// Connections that servers turned away, for a request, at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turned_away_most: Option<f64>,
    /// So many seconds after the first fault it is as before it again, at the latest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub back_most_s: Option<f64>,
    /// This part of all attempts leaves its gatekeeper's zone at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub far_most: Option<f64>,
    /// So many decisions on zones at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decisions_most: Option<f64>,
    /// All that can be reached act on a decision so long after the first fault by place, in ms, at the latest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreed_most_ms: Option<f64>,
    /// Servers of the parts that a fault hit take this part of all attempts at the most, while it lasts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sick_most: Option<f64>,
}

fn one() -> f64 {
    1.0
}

fn once() -> u32 {
    1
}

fn one_unit() -> [u32; 2] {
    [1, 1]
}

/// The two classes of the brief.
fn classes() -> Vec<ClassOf> {
    vec![
        ClassOf {
            name: "formula-read".into(),
            share: 0.56,
            work_ms: [28.0, 52.0],
            aim_ms: 400.0,
            deadline_ms: 1000.0,
            worth: 1.0,
            repeat: Repeat::Safe,
            window_ms: 0.0,
            units: [1, 1],
        },
        ClassOf {
            name: "mix-record".into(),
            share: 0.44,
            work_ms: [65.0, 110.0],
            aim_ms: 1000.0,
            deadline_ms: 4000.0,
            worth: 3.0,
            repeat: Repeat::Cell,
            window_ms: 2500.0,
            units: [1, 2],
        },
    ]
}

/// The four plans of the brief, in the middle of their ranges.
fn plans() -> Vec<PlanOf> {
    let plan = |name: &str, share, rate: f64, burst_s: f64, price| PlanOf {
        name: name.into(),
        share,
        rate,
        burst: rate * burst_s,
        price,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    };
    vec![
        plan("basico", 0.62, 1.3, 4.5, 0.45),
        plan("tienda", 0.23, 3.3, 3.9, 0.8),
        PlanOf {
            ceiling_rate: 20.0,
            ceiling_burst: 40.0,
            ceiling_slack: 4.0,
            ..plan("ferreteria", 0.12, 10.0, 2.0, 1.3)
        },
        PlanOf { open: 6, ..plan("distribuidor", 0.03, 25.0, 2.2, 1.6) },
    ]
}

impl Default for Scenario {
    /// The brief's town on a quiet day.
    fn default() -> Self {
        Scenario {
            name: "quiet".into(),
            why: String::new(),
            seconds: 30.0,
            gatekeepers: Gatekeepers::default(),
            servers: Servers::default(),
            classes: classes(),
            plans: plans(),
            load: Load::default(),
            network: Network::default(),
            discovery: Discovery::default(),
            zones: None,
            faults: Vec::new(),
            expect: Expect::default(),
        }
    }
}

/// What is wrong with a figure: the field, what it is and what it may be.
fn within(field: &str, x: f64, from: f64, to: f64) -> Result<(), String> {
    if x.is_finite() && (from..=to).contains(&x) {
        return Ok(());
    }
    Err(format!("{field} is {x}, it may be {from} to {to}"))
}

fn span(field: &str, [a, b]: [f64; 2], from: f64, to: f64) -> Result<(), String> {
    within(&format!("{field}[0]"), a, from, to)?;
    within(&format!("{field}[1]"), b, a, to)
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// With the line or the field that is wrong, and what it may be.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Reads a scenario's file.
    ///
    /// # Errors
    /// As [`Scenario::parse`], with the file's name before it.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The scenario as a file.
    ///
    /// # Errors
    /// When it holds what TOML can't, which a checked one does not.
    pub fn write(&self) -> Result<String, String> {
        toml::to_string(self).map_err(|e| e.to_string())
    }

    /// Whether every figure can be acted on.
    ///
    /// # Errors
    /// With the first field that is wrong, and what it may be.
    pub fn check(&self) -> Result<(), String> {
        within("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        let g = &self.gatekeepers;
        within("gatekeepers.count", g.count.into(), 1.0, MAX_GATEKEEPERS.into())?;
        span("gatekeepers.spread", g.spread.map(f64::from), 1.0, g.count.into())?;
        within("gatekeepers.note_intake", g.note_intake, 1.0, 1e6)?;
        within("gatekeepers.max_attempts", g.max_attempts.into(), 0.0, 100.0)?;
        within("gatekeepers.down_s", g.down_s, 0.001, MAX_SECONDS)?;
        let s = &self.servers;
        within("servers.count", s.count.into(), 1.0, MAX_SERVERS.into())?;
        within("servers.zones", s.zones.into(), 1.0, 1000.0)?;
        within("servers.cells", s.cells.into(), s.zones.into(), 10_000.0)?;
        within("servers.queue", s.queue.into(), 0.0, 1e5)?;
        within("servers.cold_from", s.cold_from, 0.01, 1.0)?;
        within("servers.warm_s", s.warm_s, 0.0, 600.0)?;
        within("servers.cold_times", s.cold_times, 1.0, 100.0)?;
        within("servers.connections", s.connections.into(), 0.0, 1e6)?;
        within("servers.idle_ms", s.idle_ms, 1.0, 600_000.0)?;
        within("servers.handshake_ms", s.handshake_ms, 0.0, 10_000.0)?;
        if s.kinds.is_empty() || self.classes.is_empty() || self.plans.is_empty() {
            return Err("servers.kind, class and plan need one entry each at the least".into());
        }
        for k in &s.kinds {
            within("servers.kind.share", k.share, 0.0, 1.0)?;
            within("servers.kind.cores", k.cores.into(), 1.0, 1024.0)?;
            span("servers.kind.speed", k.speed, 0.001, 1000.0)?;
        }
        for c in &self.classes {
            within("class.share", c.share, 0.0, 1.0)?;
            span("class.work_ms", c.work_ms, 0.01, 60_000.0)?;
            within("class.aim_ms", c.aim_ms, 1.0, 600_000.0)?;
            within("class.deadline_ms", c.deadline_ms, 50.0, 600_000.0)?;
            within("class.worth", c.worth, 0.0, 1e6)?;
            let keyed = !matches!(c.repeat, Repeat::Safe | Repeat::Once);
            within("class.window_ms", c.window_ms, if keyed { 1.0 } else { 0.0 }, 600_000.0)?;
            span("class.units", c.units.map(f64::from), 1.0, 1e6)?;
        }
        for p in &self.plans {
            within("plan.share", p.share, 0.0, 1.0)?;
            within("plan.rate", p.rate, 0.0, 1e9)?;
            within("plan.burst", p.burst, if p.rate > 0.0 { 1.0 } else { 0.0 }, 1e9)?;
            within("plan.price", p.price, 0.0, 1e6)?;
            within("plan.open", p.open.into(), 0.0, 1e6)?;
            within("plan.ceiling_rate", p.ceiling_rate, 0.0, 1e9)?;
            within("plan.ceiling_burst", p.ceiling_burst, 0.0, 1e9)?;
            within("plan.ceiling_slack", p.ceiling_slack, 0.0, 1e9)?;
        }
        let shares = |all: f64, what: &str| within(&format!("the sum of {what}"), all, 0.001, 1e6);
        shares(s.kinds.iter().map(|k| k.share).sum(), "servers.kind.share")?;
        shares(self.classes.iter().map(|c| c.share).sum(), "class.share")?;
        shares(self.plans.iter().map(|p| p.share).sum(), "plan.share")?;
        let l = &self.load;
        within("load.shops", l.shops.into(), 1.0, MAX_SHOPS.into())?;
        within("load.rate", l.rate, 0.001, MAX_RATE)?;
        within("load.zipf", l.zipf, 0.0, 4.0)?;
        within("load.top", l.top, 0.0, 1.0)?;
        within("load.once", l.once, 0.0, 1.0 - l.top)?;
        within("load.retries", l.retries.into(), 0.0, 100.0)?;
        within("load.uneven", l.uneven, 0.0, 1.0)?;
        span("load.retry_ms", l.retry_ms, 0.0, 600_000.0)?;
        span("network.hop_ms", self.network.hop_ms, 0.001, 10_000.0)?;
        span("network.note_ms", self.network.note_ms, 0.001, 10_000.0)?;
        within("network.note_loss", self.network.note_loss, 0.0, 1.0)?;
        span("discovery.lag_ms", self.discovery.lag_ms, 0.0, 600_000.0)?;
        within("discovery.drain_s", self.discovery.drain_s, 0.0, 600.0)?;
        within("discovery.grace_ms", self.discovery.grace_ms, 0.0, 600_000.0)?;
        within("discovery.known_s", self.discovery.known_s.unwrap_or(0.0), 0.0, MAX_SECONDS)?;
        for (field, all) in
            [("gatekeepers.zone_shares", &g.zone_shares), ("servers.zone_shares", &s.zone_shares)]
        {
            if !all.is_empty() && all.len() != s.zones as usize {
                return Err(format!(
                    "{field}: {} of them, it may be one for each of {} zones",
                    all.len(),
                    s.zones
                ));
            }
            for share in all {
                within(field, *share, 0.0, 1e6)?;
            }
            if !all.is_empty() {
                within(&format!("the sum of {field}"), all.iter().sum(), 0.001, 1e6)?;
            }
        }
        if let Some(z) = &self.zones {
            within("zones.report_ms", z.report_ms, 20.0, 10_000.0)?;
            span("zones.enter_ms", z.enter_ms, 0.0, 60_000.0)?;
            within("zones.hold_ms", z.hold_ms, 1.0, 3.6e6)?;
            within("zones.fade_ms", z.fade_ms, 0.0, 3.6e6)?;
            within("zones.takeover_ms", z.takeover_ms, 0.0, 600_000.0)?;
            z.judge.check().map_err(|e| format!("zones.judge.{e}"))?;
            within("servers.zones", s.zones.into(), 1.0, frostvale_zones::MAX_ZONES as f64)?;
        }
        for f in &self.faults {
            within("fault.zone", f.zone.into(), 0.0, f64::from(s.zones) - 1.0)?;
            within("fault.at_s", f.at_s, 0.0, MAX_SECONDS)?;
            within("fault.for_s", f.for_s, 0.0, MAX_SECONDS)?;
            within("fault.part", f.part, 0.0, 1.0)?;
            within("fault.times", f.times, 0.0, 1e6)?;
            within("fault.count", f.count.into(), 1.0, 1000.0)?;
            if f.kind == FaultKind::Slow {
                within("fault.times", f.times, 0.001, 1e6)?;
            }
        }
        let e = &self.expect;
        let parts = [
            ("served_least", e.served_least),
            ("second_least", e.second_least),
            ("sick_most", e.sick_most),
            ("turned_away_most", e.turned_away_most),
            ("far_most", e.far_most),
        ];
        for (name, part) in parts {
            within(&format!("expect.{name}"), part.unwrap_or(0.0), 0.0, 1.0)?;
        }
        for (name, most) in [("notes_most", e.notes_most), ("handshakes_most", e.handshakes_most)] {
            within(&format!("expect.{name}"), most.unwrap_or(0.0), 0.0, 1e6)?;
        }
        within("expect.decisions_most", e.decisions_most.unwrap_or(0.0), 0.0, 1e6)?;
        within("expect.agreed_most_ms", e.agreed_most_ms.unwrap_or(0.0), 0.0, 3.6e6)?;
        within("expect.after_s", e.after_s, 0.0, MAX_SECONDS)?;
        within("expect.back_most_s", e.back_most_s.unwrap_or(0.0), 0.0, MAX_SECONDS)?;
        for (name, most) in &self.expect.over_most {
            within(&format!("expect.over_most.{name}"), *most, 0.0, 1.0)?;
            if !self.plans.iter().any(|p| p.name == *name) {
                return Err(format!("expect.over_most.{name}: no plan has this name"));
            }
        }
        Ok(())
    }

    /// The classes as the decision module takes them.
    #[must_use]
    pub fn module_classes(&self) -> Vec<Class> {
        let class = |c: &ClassOf| Class {
            worth: c.worth,
            target_ms: c.aim_ms,
            late_worth: 0.0,
            effect: match c.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Cell => Effect::Keyed(Group::Cell),
                Repeat::Zone => Effect::Keyed(Group::Zone),
                Repeat::All => Effect::Keyed(Group::All),
                Repeat::Once => Effect::Unsafe,
            },
            dedup_window_ms: c.window_ms,
        };
        self.classes.iter().map(class).collect()
    }

    /// The plans as the decision module takes them.
    #[must_use]
    pub fn module_plans(&self) -> Vec<Plan> {
        let plan = |p: &PlanOf| Plan {
            rate: p.rate,
            burst: p.burst,
            max_in_flight: p.open,
            price: p.price,
            over_cost: 1.0,
            ceiling_rate: p.ceiling_rate,
            ceiling_burst: p.ceiling_burst,
            ceiling_slack: p.ceiling_slack,
        };
        self.plans.iter().map(plan).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_named_with_what_it_may_be() {
        for (text, wanted) in [
            ("name = \"x\"\nseconds = 0", "seconds is 0, it may be 0.1 to 3600"),
            ("name = \"x\"\nseconds = nan", "seconds is NaN"),
            ("name = \"x\"\nseconds = 1\nfluffy = 2", "unknown field `fluffy`"),
            (
                "name = \"x\"\nseconds = 1\n[gatekeepers]\ncount = 2\nspread = [1, 3]",
                "gatekeepers.spread[1] is 3, it may be 1 to 2",
            ),
            ("name = \"x\"\nseconds = 1\n[[fault]]\nkind = \"storm\"\nat_s = 1", "unknown variant `storm`"),
            (
                "name = \"x\"\nseconds = 1\n[[fault]]\nkind = \"slow\"\nat_s = 1\ntimes = 0",
                "fault.times is 0",
            ),
            (
                "name = \"x\"\nseconds = 1\n[expect]\nserved_least = 2",
                "expect.served_least is 2, it may be 0 to 1",
            ),
            ("name = \"x\"\nseconds = 1\n[expect]\nhandshakes_most = -1", "expect.handshakes_most is -1"),
            ("name = \"x\"\nseconds = 1\n[expect]\nback_most_s = nan", "expect.back_most_s is NaN"),
            (
                "name = \"x\"\nseconds = 1\n[servers]\nidle_ms = 0",
                "servers.idle_ms is 0, it may be 1 to 600000",
            ),
            ("name = \"x\"\nseconds = 1\n[servers]\nconnections = -1", "connections"),
            ("name = \"x\"\nseconds = 1\n[discovery]\nknown_s = -2", "discovery.known_s is -2"),
            (
                "name = \"x\"\nseconds = 1\n[gatekeepers]\ndown_s = 0",
                "gatekeepers.down_s is 0, it may be 0.001 to 3600",
            ),
            ("name = \"x\"\nseconds = 1\n[expect.over_most]\nnobody = 0.1", "no plan has this name"),
        ] {
            let said = Scenario::parse(text).expect_err(text);
            assert!(said.contains(wanted) && !said.contains('\n'), "{said}");
        }
    }

    #[test]
    fn a_scenario_that_is_written_reads_the_same() {
        let mut one = Scenario::default();
        one.faults.push(Fault {
            kind: FaultKind::KillKeeper,
            at_s: 1.5,
            for_s: 2.0,
            part: 1.0,
            times: 1.0,
            count: 3,
            zone: 0,
        });
        one.expect.over_most.insert("tienda".into(), 0.25);
        assert_eq!(Scenario::parse(&one.write().expect("TOML")).expect("sound"), one);
    }
}
