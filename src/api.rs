//! The interface of the decision module: settings, events and actions.
//!
//! All times are milliseconds on the host's clock, which only moves forward.

use crate::fenced_off::FenceOffDecision;
use crate::zones::RoutingSnapshot;
use std::fmt;
use std::sync::Arc;

/// The name of a server or a customer. Nothing is read from it but whether two are equal.
pub type Name = Arc<str>;

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// Servers of one group drop repeats within the class's window.
    Keyed(Group),
    /// A repeat would take effect again.
    #[default]
    Unsafe,
}

/// The servers that drop repeats of each other's keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, Default)]
pub struct Class {
    /// What an answer is worth, before the plan's price.
    pub worth: f64,
    /// An answer within this time earns the full worth.
    pub target_ms: f64,
    /// The share of the worth that a later answer earns.
    pub late_worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For keyed classes: how long repeats are dropped after the first send that may have run.
    pub dedup_window_ms: f64,
}

/// A plan: quotas of each of its customers, over all gatekeepers together.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Units a second; 0 means no quota on the rate.
    pub rate: f64,
    /// The most units the customer's store holds.
    pub burst: f64,
    /// Attempts out at once; 0 means no such quota.
    pub max_in_flight: u32,
    /// A factor on the worth.
    pub price: f64,
    /// The share of its worth that a try sent on beyond the quota costs.
    pub over_cost: f64,
    /// Units a second of the hard ceiling; 0 means none.
    pub ceiling_rate: f64,
    /// The most units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// How far below nothing the ceiling's store may go.
    pub ceiling_slack: f64,
}

/// What a gatekeeper is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This gatekeeper's number, from 0.
    pub own_index: u32,
    /// How many gatekeepers there are.
    pub gatekeepers: u32,
    /// The zone this gatekeeper stands in.
    pub zone: u32,
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The plans, by number.
    pub plans: Vec<Plan>,
    /// The most attempts for one request; 0 means no limit.
    pub max_attempts: u32,
    /// Whether gatekeepers may send each other notes.
    pub peer_messages: bool,
    /// The most units that a request counts.
    pub max_request_units: f64,
    /// How many notes a second a gatekeeper takes in.
    pub peer_intake_per_second: f64,
    /// The least share of its capacity a server starts with.
    pub cold_capacity_share: f64,
    /// A server is warm no later than this after its start.
    pub warm_up_ms: f64,
    /// A cold server that is sent more than so many times what it can do falls over.
    pub cold_overload_factor: f64,
}

impl Default for Settings {
    /// Nothing but what has no meaning as nothing: a cold server bears as much as it can do.
    fn default() -> Settings {
        Settings {
            own_index: 0,
            gatekeepers: 0,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            max_attempts: 0,
            peer_messages: false,
            max_request_units: 0.0,
            peer_intake_per_second: 0.0,
            cold_capacity_share: 0.0,
            warm_up_ms: 0.0,
            cold_overload_factor: 1.0,
        }
    }
}

impl Settings {
    /// Whether the settings can be acted on.
    ///
    /// # Errors
    /// When they hold a figure that cannot be acted on.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |what: &str| Err(SettingsError(what.to_string()));
        let sound = |x: f64| x.is_finite() && x >= 0.0;
        if self.classes.is_empty() || self.gatekeepers == 0 {
            return bad("at least one class and one gatekeeper are needed");
        }
        for c in &self.classes {
            if !(sound(c.worth)
                && sound(c.late_worth)
                && sound(c.dedup_window_ms)
                && sound(c.target_ms)
                && c.target_ms > 0.0)
            {
                return bad("a class has a negative or endless figure, or no aim");
            }
            if matches!(c.effect, Effect::Keyed(_)) && c.dedup_window_ms <= 0.0 {
                return bad("a keyed class has a window of nothing");
            }
        }
        for p in &self.plans {
            let figures =
                [p.rate, p.burst, p.price, p.over_cost, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack];
            if !figures.into_iter().all(sound) || (p.rate > 0.0 && p.burst <= 0.0) {
                return bad("a plan has a negative or endless figure, or a rate without a burst");
            }
        }
        if ![self.peer_intake_per_second, self.cold_capacity_share, self.warm_up_ms].into_iter().all(sound) {
            return bad("a bound or rule is negative or endless");
        }
        if !(sound(self.cold_overload_factor) && self.cold_overload_factor > 0.0) {
            return bad("a cold server's multiple is nothing, negative or endless");
        }
        Ok(())
    }
}

/// Why settings cannot be acted on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Health {
    /// Its process runs.
    #[default]
    Up,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It has been taken away.
    Gone,
}

/// A line of the server list.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// What kind of machine it is; machines of a kind are alike in speed.
    pub kind: u32,
    /// Its registered size, to compare with others'.
    pub size: f64,
    /// What the list says of it.
    pub health: Health,
    /// When it last started; 0 means long ago.
    pub started_at: f64,
}

/// What a list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Every server there is; one not named is gone.
    Complete,
    /// Only those that changed.
    Changes,
}

/// A request that came in.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id, never used twice.
    pub id: u64,
    /// Whose it is.
    pub customer: Name,
    /// Its class.
    pub class: usize,
    /// The customer's plan.
    pub plan: usize,
    /// The units it counts.
    pub units: f64,
    /// The first gatekeeper of the customer's set.
    pub first: u32,
    /// How many gatekeepers the set has, counted round from the first.
    pub spread: u32,
    /// When the client leaves.
    pub deadline: f64,
    /// Whether the client says it tries again.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// A server's own word on its load; what it does not report is absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Requests a second it serves.
    pub requests_per_second: Option<f64>,
}

/// How one attempt ended, and what came with the answer.
#[derive(Debug, Clone)]
pub struct AttemptResult {
    /// The request.
    pub id: u64,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The server.
    pub server: Name,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it was out.
    pub latency: f64,
    /// Whether the request has ended too.
    pub is_final: bool,
    /// The customer's metered use over all gatekeepers, as a share of its rate or open cap.
    pub metered: Option<f64>,
    /// The true units, where the request's were a guess.
    pub units: Option<f64>,
    /// The server's load report.
    pub load_report: Option<LoadReport>,
}

/// What a customer's stores hold at a gatekeeper, known by the customer's key in notes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BucketSnapshot {
    /// The customer's key.
    pub key: u64,
    /// Its plan.
    pub plan: usize,
    /// The store, where this gatekeeper keeps it.
    pub quota_tokens: f64,
    /// This gatekeeper's slice of the ceiling.
    pub ceiling_tokens: f64,
    /// When the customer was last seen.
    pub last_seen: f64,
}

/// What a gatekeeper sees.
#[derive(Debug, Clone)]
pub enum Event {
    /// What was decided for gatekeepers of this zone, or that it still stands.
    RoutingSnapshot(RoutingSnapshot),
    /// Who is shut out of the fleet, or that it still stands.
    FenceOff(FenceOffDecision),
    /// News of the servers.
    EndpointUpdate {
        /// Whether all of them or only changes.
        kind: EndpointUpdateKind,
        /// The lines.
        servers: Vec<Server>,
    },
    /// A request came in.
    Request(Request),
    /// Somebody asks whether a customer may have these units, and sends whatever they are for by another
    /// way. It is charged as a request is, once, and answered with [`Action::CheckDecision`]; `deadline` is when the
    /// asker no longer waits.
    Check(Request),
    /// What a granted check took was not used: the same request, given back once at most.
    Unused(Request),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The plans' figures have changed: as many as the settings had, in their order. Counts go on.
    Plans(Vec<Plan>),
    /// What stores held in a former life of this gatekeeper, as far as it may be used now.
    Restore(Vec<BucketSnapshot>),
    /// The client left; the request has ended.
    ClientDisconnected {
        /// The request.
        id: u64,
    },
    /// What a probe found.
    Probed {
        /// The server.
        server: Name,
        /// Whether it answered well.
        ok: bool,
        /// Its load report.
        load_report: Option<LoadReport>,
    },
    /// A note from another gatekeeper.
    PeerMessage {
        /// Its number.
        from: u32,
        /// What it says.
        text: String,
    },
    /// A timer came due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This gatekeeper is fenced off, or the class or plan has no tier.
    FencedOff,
    /// The customer's hard ceiling has no room.
    Ceiling,
    /// The customer's quota has no room.
    Quota,
    /// The owner of the customer's quota did not answer in time.
    OwnerSilent,
    /// All of the customer's concurrency permits are taken.
    NoPermit,
    /// The zones' decision sends this class elsewhere.
    ZoneNarrowed,
    /// The throttle: servers accept too little of what they are sent.
    Overload,
    /// No server is listed, has room, or is well.
    NoServer,
    /// Attempts failed, and no further one is allowed or of use.
    AttemptsFailed,
}

/// What a gatekeeper does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts an attempt.
    Send {
        /// The request.
        id: u64,
        /// The server.
        server: Name,
        /// When to abandon the attempt.
        deadline: f64,
        /// When it has to have begun: past this a repeat that may take effect again is not to reach the server.
        start_deadline: f64,
    },
    /// The final answer "not now; trying again is harmless".
    Refuse {
        /// The request.
        id: u64,
        /// How long the client should keep away; 0 gives no advice.
        retry_after_ms: f64,
        /// Why, for logs and metrics.
        reason: RefusalReason,
    },
    /// What came of a check.
    CheckDecision {
        /// The check.
        id: u64,
        /// Whether the units are granted, and charged.
        granted: bool,
        /// The units left to the customer as far as known here; infinite where no plan holds it.
        remaining: f64,
        /// Milliseconds until the units fit, or after a grant, until the customer's store is full again.
        reset: f64,
    },
    /// The final answer "failed", which promises nothing.
    Fail {
        /// The request.
        id: u64,
    },
    /// Calls one attempt off.
    Cancel {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
    },
    /// Probes a server.
    Probe {
        /// The server.
        server: Name,
    },
    /// Sends a note to another gatekeeper.
    SendPeerMessage {
        /// Its number.
        to: u32,
        /// At most 256 bytes.
        text: String,
    },
    /// Sends a note to every other gatekeeper.
    BroadcastPeerMessage {
        /// At most 256 bytes.
        text: String,
    },
    /// Asks for a timer event.
    SetTimer {
        /// Comes back with the event.
        token: u64,
        /// How far from now.
        after: f64,
    },
    /// A line for the host's log.
    Log {
        /// The line.
        text: String,
    },
}
