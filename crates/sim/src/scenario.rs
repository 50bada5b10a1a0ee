//! Scenarios: the description of a simulation, read from a TOML file. Every value is checked against its
//! range when the file is read; unknown keys are errors.

use frostvale::{Class, Effect, Group, Plan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Maximum simulated time in seconds.
pub const MAX_SECONDS: f64 = 3600.0;
/// Maximum number of gatekeepers.
pub const MAX_GATEKEEPERS: u32 = 4000;
/// Maximum number of servers, without those that replace others.
pub const MAX_SERVERS: u32 = 20_000;
/// Maximum number of shops.
pub const MAX_SHOPS: u32 = 4_000_000;
/// Maximum request rate per second.
pub const MAX_RATE: f64 = 500_000.0;

/// A simulation's load, fleet, faults and expectations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it demonstrates.
    #[serde(default)]
    pub why: String,
    /// Simulated seconds in which requests arrive; requests in flight then run to their end.
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
    /// The load of the clients.
    #[serde(default)]
    pub load: Load,
    /// Latency and loss of the network.
    #[serde(default)]
    pub network: Network,
    /// Service discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Common decisions on zones; without them each gatekeeper decides by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Zones>,
    /// The faults.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// Expectations in addition to the rules.
    #[serde(default)]
    pub expect: Expect,
}

/// The gatekeepers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gatekeepers {
    /// Number of gatekeepers.
    pub count: u32,
    /// Minimum and maximum number of gatekeepers in a shop's set.
    pub spread: [u32; 2],
    /// Whether they send each other peer messages.
    pub notes: bool,
    /// Peer messages per second that a gatekeeper accepts; the excess is lost.
    pub note_intake: f64,
    /// Maximum number of attempts per request; 0 means no limit.
    pub max_attempts: u32,
    /// Seconds until a killed gatekeeper starts again.
    pub down_s: f64,
    /// Share of the gatekeepers in each zone; round robin if empty.
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
    /// Number of servers.
    pub count: u32,
    /// Number of zones; servers are assigned round robin.
    pub zones: u32,
    /// Share of the servers in each zone, instead of round robin.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub zone_shares: Vec<f64>,
    /// Number of racks. The servers of a rack deduplicate together; each rack lies in a single zone.
    pub cells: u32,
    /// Maximum queue length of a server, without the requests that it works on.
    pub queue: u32,
    /// Share of its capacity with which a server starts.
    pub cold_from: f64,
    /// Seconds from a server's start to its full capacity.
    pub warm_s: f64,
    /// A server in slow start fails if it is sent more than this multiple of its present capacity within a
    /// second.
    pub cold_times: f64,
    /// Whether answers report the server's number of requests in flight.
    pub report: bool,
    /// Maximum number of connections of a server; further ones are rejected. 0 means no limit.
    pub connections: u32,
    /// Idle time in ms after which a connection is closed.
    pub idle_ms: f64,
    /// Time in ms to establish a connection.
    pub handshake_ms: f64,
    /// Kinds of machines.
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
    /// Number of requests that it works on concurrently.
    pub cores: u32,
    /// Minimum and maximum speed of a core.
    pub speed: [f64; 2],
}

/// Whether requests of a class may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Repeats are always allowed.
    Safe,
    /// The servers of one rack drop repeats.
    Cell,
    /// The servers of one zone drop repeats.
    Zone,
    /// All servers drop repeats.
    All,
    /// No repeat once the request may have run.
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
    /// Minimum and maximum work in ms on a core of speed 1.
    pub work_ms: [f64; 2],
    /// Target latency in ms.
    pub aim_ms: f64,
    /// Maximum time in ms that clients wait; the minimum is half of it.
    pub deadline_ms: f64,
    /// The worth of a unit that is served in time.
    pub worth: f64,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Deduplication window in ms: how long servers keep an idempotency key.
    #[serde(default)]
    pub window_ms: f64,
    /// Minimum and maximum units of a request.
    #[serde(default = "one_unit")]
    pub units: [u32; 2],
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanOf {
    /// Its name.
    pub name: String,
    /// Its share of the shops. The busiest shops are on the plans with the highest rates.
    pub share: f64,
    /// Quota of each shop in units per second; 0 means no quota.
    pub rate: f64,
    /// Burst size of the quota in units.
    pub burst: f64,
    /// Factor on the worth.
    pub price: f64,
    /// Maximum number of concurrent attempts of a shop; 0 means no limit.
    #[serde(default)]
    pub open: u32,
    /// The ceiling's rate in units per second; 0 means no ceiling.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// The ceiling's burst size in units.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// The units by which the ceiling may be exceeded.
    #[serde(default)]
    pub ceiling_slack: f64,
}

/// The load of the clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Number of shops that send requests repeatedly.
    pub shops: u32,
    /// Requests per second, without retries.
    pub rate: f64,
    /// Zipf exponent S: the k-th shop sends 1 / k^S as many requests as the first.
    pub zipf: f64,
    /// Share of the requests that come from one additional shop.
    pub top: f64,
    /// Share of the requests that come from shops with a single request.
    pub once: f64,
    /// Maximum number of a client's retries per request.
    pub retries: u32,
    /// Minimum and maximum delay before a retry, in ms.
    pub retry_ms: [f64; 2],
    /// Whether clients mark retries as such.
    pub marked: bool,
    /// Share of a shop's requests that go to one gatekeeper of its set, which changes from time to time.
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

/// Latency and loss of the network.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Minimum and maximum one-way latency between two machines, in ms.
    pub hop_ms: [f64; 2],
    /// Minimum and maximum one-way latency of a peer message, in ms.
    pub note_ms: [f64; 2],
    /// Share of the peer messages that are lost without any fault.
    pub note_loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { hop_ms: [0.2, 0.6], note_ms: [1.2, 37.0], note_loss: 0.03 }
    }
}

/// Service discovery.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Minimum and maximum delay in ms until a gatekeeper is notified of a change.
    pub lag_ms: [f64; 2],
    /// Seconds for which a server is listed as draining before it is removed.
    pub drain_s: f64,
    /// Time in ms after the notification from which a gatekeeper may send no new attempt to a draining
    /// server.
    pub grace_ms: f64,
    /// Age in seconds of the list with which a gatekeeper starts; without it, it starts with no list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_s: Option<f64>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { lag_ms: [100.0, 2000.0], drain_s: 5.0, grace_ms: 250.0, known_s: None }
    }
}

/// Common decisions on zones: one agent in each zone reports, and one of them runs the failover controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zones {
    /// Interval of the agents' reports in ms.
    pub report_ms: f64,
    /// Minimum and maximum time in ms from a decision until an agent pushes it: the commit in the consensus
    /// group, and the network.
    pub enter_ms: [f64; 2],
    /// Time in ms for which a decision holds without renewal.
    pub hold_ms: f64,
    /// Time in ms in which its effect then fades out.
    pub fade_ms: f64,
    /// Time in ms until a lost owner is replaced.
    pub takeover_ms: f64,
    /// Settings of the failover controller. A server of size 1 has one core here.
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

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A zone is lost: its servers die, and come back cold at the end of the fault. If `part` is above 0, its
    /// agent and this share of its gatekeepers are lost too.
    ZoneLost,
    /// A zone is cut off from all others; its own clients still reach it.
    ZoneCut,
    /// A zone's servers are slower by the factor `times`.
    ZoneSlow,
    /// A zone's servers answer with errors immediately.
    ZoneErrors,
    /// A share of the servers is slower by the factor `times`.
    Slow,
    /// A share of the servers answers with errors immediately.
    Errors,
    /// A share of the servers dies, and starts again at the end of the fault.
    Crash,
    /// A share of the servers accepts requests but does not answer.
    Silent,
    /// A share of the servers is drained and replaced by new ones, spread evenly over the fault's time.
    Replace,
    /// The list entries of all servers change at once.
    Relist,
    /// Discovery does not answer; at the end of the fault it sends the complete list.
    DiscoverySilent,
    /// Discovery answers the share `part` of the calls, `times` ms late; at the end of the fault it sends the
    /// complete list.
    DiscoverySlow,
    /// The gatekeepers are partitioned into two halves that can't reach each other.
    Partition,
    /// The share `part` of the peer messages is lost.
    NoteLoss,
    /// Peer messages take `times` ms longer.
    NoteDelay,
    /// The share `part` of the peer messages arrives twice.
    NoteDouble,
    /// The quota owner of the busiest shop is killed `count` times, and starts again without state after
    /// `down_s`.
    KillKeeper,
    /// A gatekeeper chosen at random is killed, `count` times.
    KillAny,
    /// The request rate is multiplied by `times`.
    Surge,
}

/// A fault of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// Start in seconds.
    pub at_s: f64,
    /// Duration in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// The share that is affected, from 0 to 1.
    #[serde(default = "one")]
    pub part: f64,
    /// A factor, or a time in ms; see the kinds.
    #[serde(default = "one")]
    pub times: f64,
    /// Number of kills.
    #[serde(default = "once")]
    pub count: u32,
    /// Index of the zone, from 0.
    #[serde(default)]
    pub zone: u32,
}

/// Expectations in addition to the rules; shares are from 0 to 1. An expectation that is not given is not
/// checked.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Minimum share of the worth requested within quotas that is served in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served_least: Option<f64>,
    /// By plan, maximum share of the passed units that exceeds quotas.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub over_most: BTreeMap<String, f64>,
    /// Maximum number of peer messages per request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub notes_most: Option<f64>,
    /// Minimum share of the requests within quotas that is served in time, in each second from `after_s` on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub second_least: Option<f64>,
    /// First second that `second_least` applies to.
    pub after_s: f64,
    /// Maximum number of handshakes per request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handshakes_most: Option<f64>,
    /// Maximum number of rejected connections per request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turned_away_most: Option<f64>,
    /// Maximum time in seconds from the first fault to recovery.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub back_most_s: Option<f64>,
    /// Maximum share of the attempts that leave their gatekeeper's zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub far_most: Option<f64>,
    /// Maximum number of decisions on zones.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decisions_most: Option<f64>,
    /// Maximum time in ms from the first zone fault until all reachable gatekeepers apply a decision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreed_most_ms: Option<f64>,
    /// Maximum share of the attempts that go to servers hit by a fault, while it lasts.
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

/// The two default classes.
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

/// The four default plans, with values in the middle of their ranges.
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
    /// The default fleet without faults.
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

/// Checks that a field's value is in its range; the error names the field, the value and the range.
fn check_range(field: &str, x: f64, from: f64, to: f64) -> Result<(), String> {
    if x.is_finite() && (from..=to).contains(&x) {
        return Ok(());
    }
    Err(format!("{field} is {x}, it may be {from} to {to}"))
}

/// Checks both ends of a range, and their order.
fn check_range_pair(field: &str, [a, b]: [f64; 2], from: f64, to: f64) -> Result<(), String> {
    check_range(&format!("{field}[0]"), a, from, to)?;
    check_range(&format!("{field}[1]"), b, a, to)
}

impl Scenario {
    /// Parses and checks a scenario.
    ///
    /// # Errors
    /// Returns the line or the field that is invalid, and the valid range.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Reads a scenario from a file.
    ///
    /// # Errors
    /// As [`Scenario::parse`], preceded by the path; also if the file can't be read.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Formats the scenario as TOML.
    ///
    /// # Errors
    /// Returns an error for a value that TOML can't represent; a checked scenario has none.
    pub fn write(&self) -> Result<String, String> {
        toml::to_string(self).map_err(|e| e.to_string())
    }

    /// Checks that every value is in its range.
    ///
    /// # Errors
    /// Returns the first field that is invalid, and the valid range.
    pub fn check(&self) -> Result<(), String> {
        check_range("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        let g = &self.gatekeepers;
        check_range("gatekeepers.count", g.count.into(), 1.0, MAX_GATEKEEPERS.into())?;
        check_range_pair("gatekeepers.spread", g.spread.map(f64::from), 1.0, g.count.into())?;
        check_range("gatekeepers.note_intake", g.note_intake, 1.0, 1e6)?;
        check_range("gatekeepers.max_attempts", g.max_attempts.into(), 0.0, 100.0)?;
        check_range("gatekeepers.down_s", g.down_s, 0.001, MAX_SECONDS)?;
        let s = &self.servers;
        check_range("servers.count", s.count.into(), 1.0, MAX_SERVERS.into())?;
        check_range("servers.zones", s.zones.into(), 1.0, 1000.0)?;
        check_range("servers.cells", s.cells.into(), s.zones.into(), 10_000.0)?;
        check_range("servers.queue", s.queue.into(), 0.0, 1e5)?;
        check_range("servers.cold_from", s.cold_from, 0.01, 1.0)?;
        check_range("servers.warm_s", s.warm_s, 0.0, 600.0)?;
        check_range("servers.cold_times", s.cold_times, 1.0, 100.0)?;
        check_range("servers.connections", s.connections.into(), 0.0, 1e6)?;
        check_range("servers.idle_ms", s.idle_ms, 1.0, 600_000.0)?;
        check_range("servers.handshake_ms", s.handshake_ms, 0.0, 10_000.0)?;
        if s.kinds.is_empty() || self.classes.is_empty() || self.plans.is_empty() {
            return Err("servers.kind, class and plan need at least one entry each".into());
        }
        for k in &s.kinds {
            check_range("servers.kind.share", k.share, 0.0, 1.0)?;
            check_range("servers.kind.cores", k.cores.into(), 1.0, 1024.0)?;
            check_range_pair("servers.kind.speed", k.speed, 0.001, 1000.0)?;
        }
        for c in &self.classes {
            check_range("class.share", c.share, 0.0, 1.0)?;
            check_range_pair("class.work_ms", c.work_ms, 0.01, 60_000.0)?;
            check_range("class.aim_ms", c.aim_ms, 1.0, 600_000.0)?;
            check_range("class.deadline_ms", c.deadline_ms, 50.0, 600_000.0)?;
            check_range("class.worth", c.worth, 0.0, 1e6)?;
            let keyed = !matches!(c.repeat, Repeat::Safe | Repeat::Once);
            check_range("class.window_ms", c.window_ms, if keyed { 1.0 } else { 0.0 }, 600_000.0)?;
            check_range_pair("class.units", c.units.map(f64::from), 1.0, 1e6)?;
        }
        for p in &self.plans {
            check_range("plan.share", p.share, 0.0, 1.0)?;
            check_range("plan.rate", p.rate, 0.0, 1e9)?;
            check_range("plan.burst", p.burst, if p.rate > 0.0 { 1.0 } else { 0.0 }, 1e9)?;
            check_range("plan.price", p.price, 0.0, 1e6)?;
            check_range("plan.open", p.open.into(), 0.0, 1e6)?;
            check_range("plan.ceiling_rate", p.ceiling_rate, 0.0, 1e9)?;
            check_range("plan.ceiling_burst", p.ceiling_burst, 0.0, 1e9)?;
            check_range("plan.ceiling_slack", p.ceiling_slack, 0.0, 1e9)?;
        }
        let shares = |all: f64, what: &str| check_range(&format!("the sum of {what}"), all, 0.001, 1e6);
        shares(s.kinds.iter().map(|k| k.share).sum(), "servers.kind.share")?;
        shares(self.classes.iter().map(|c| c.share).sum(), "class.share")?;
        shares(self.plans.iter().map(|p| p.share).sum(), "plan.share")?;
        let l = &self.load;
        check_range("load.shops", l.shops.into(), 1.0, MAX_SHOPS.into())?;
        check_range("load.rate", l.rate, 0.001, MAX_RATE)?;
        check_range("load.zipf", l.zipf, 0.0, 4.0)?;
        check_range("load.top", l.top, 0.0, 1.0)?;
        check_range("load.once", l.once, 0.0, 1.0 - l.top)?;
        check_range("load.retries", l.retries.into(), 0.0, 100.0)?;
        check_range("load.uneven", l.uneven, 0.0, 1.0)?;
        check_range_pair("load.retry_ms", l.retry_ms, 0.0, 600_000.0)?;
        check_range_pair("network.hop_ms", self.network.hop_ms, 0.001, 10_000.0)?;
        check_range_pair("network.note_ms", self.network.note_ms, 0.001, 10_000.0)?;
        check_range("network.note_loss", self.network.note_loss, 0.0, 1.0)?;
        check_range_pair("discovery.lag_ms", self.discovery.lag_ms, 0.0, 600_000.0)?;
        check_range("discovery.drain_s", self.discovery.drain_s, 0.0, 600.0)?;
        check_range("discovery.grace_ms", self.discovery.grace_ms, 0.0, 600_000.0)?;
        check_range("discovery.known_s", self.discovery.known_s.unwrap_or(0.0), 0.0, MAX_SECONDS)?;
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
                check_range(field, *share, 0.0, 1e6)?;
            }
            if !all.is_empty() {
                check_range(&format!("the sum of {field}"), all.iter().sum(), 0.001, 1e6)?;
            }
        }
        if let Some(z) = &self.zones {
            check_range("zones.report_ms", z.report_ms, 20.0, 10_000.0)?;
            check_range_pair("zones.enter_ms", z.enter_ms, 0.0, 60_000.0)?;
            check_range("zones.hold_ms", z.hold_ms, 1.0, 3.6e6)?;
            check_range("zones.fade_ms", z.fade_ms, 0.0, 3.6e6)?;
            check_range("zones.takeover_ms", z.takeover_ms, 0.0, 600_000.0)?;
            z.judge.check().map_err(|e| format!("zones.judge.{e}"))?;
            check_range("servers.zones", s.zones.into(), 1.0, frostvale_zones::MAX_ZONES as f64)?;
        }
        for f in &self.faults {
            check_range("fault.zone", f.zone.into(), 0.0, f64::from(s.zones) - 1.0)?;
            check_range("fault.at_s", f.at_s, 0.0, MAX_SECONDS)?;
            check_range("fault.for_s", f.for_s, 0.0, MAX_SECONDS)?;
            check_range("fault.part", f.part, 0.0, 1.0)?;
            check_range("fault.times", f.times, 0.0, 1e6)?;
            check_range("fault.count", f.count.into(), 1.0, 1000.0)?;
            if f.kind == FaultKind::Slow {
                check_range("fault.times", f.times, 0.001, 1e6)?;
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
            check_range(&format!("expect.{name}"), part.unwrap_or(0.0), 0.0, 1.0)?;
        }
        for (name, most) in [("notes_most", e.notes_most), ("handshakes_most", e.handshakes_most)] {
            check_range(&format!("expect.{name}"), most.unwrap_or(0.0), 0.0, 1e6)?;
        }
        check_range("expect.decisions_most", e.decisions_most.unwrap_or(0.0), 0.0, 1e6)?;
        check_range("expect.agreed_most_ms", e.agreed_most_ms.unwrap_or(0.0), 0.0, 3.6e6)?;
        check_range("expect.after_s", e.after_s, 0.0, MAX_SECONDS)?;
        check_range("expect.back_most_s", e.back_most_s.unwrap_or(0.0), 0.0, MAX_SECONDS)?;
        for (name, most) in &self.expect.over_most {
            check_range(&format!("expect.over_most.{name}"), *most, 0.0, 1.0)?;
            if !self.plans.iter().any(|p| p.name == *name) {
                return Err(format!("expect.over_most.{name}: no plan has this name"));
            }
        }
        Ok(())
    }

    /// The classes as settings of the decision module.
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

    /// The plans as settings of the decision module.
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
    fn invalid_values_are_reported_with_field_and_range() {
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
            let error = Scenario::parse(text).expect_err(text);
            assert!(error.contains(wanted) && !error.contains('\n'), "{error}");
        }
    }

    #[test]
    fn written_scenario_parses_to_the_same_scenario() {
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
