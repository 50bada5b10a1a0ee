//! The gatekeeper's side of the link to the agents on its host. It answers the agents' checks, applies the
//! plans and fleet-wide decisions that they send, and reports usage, bucket levels, zone observations and the
//! versions in effect. Everything runs on the gatekeeper's thread; no call waits for an agent.

use crate::applied_versions::{AUDIT_DUTY, AppliedVersions, ConfigDigests};
use crate::client_request::{self, MAX_CUSTOMERS, MAX_WAIT_MS};
use crate::epoch_fences::{EpochFences, PLANS_DUTY};
use crate::gatekeeper::{AgentLinks, CheckClient, Gatekeeper, Shared};
use crate::zones::{ZONES_DUTY, ZoneDecisions};
use frostvale::{BucketSnapshot, Name, Request};
use frostvale_link::VERSION;
use frostvale_link::final_report;
use frostvale_link::node::{AgentConnection, LinkHandler, MAX_UNREAD_BYTES};
use frostvale_link::proto::decision::Code;
use frostvale_link::proto::outside_state::Breaker as BreakerCode;
use frostvale_link::proto::outside_verdict::Code as VerdictCode;
use frostvale_link::proto::{
    Check, Decision, Epochs, Fence, Hello, Level as LevelMessage, OutsideAsk, OutsideState, OutsideVerdict,
    Plan, Plans, PlansTaken, Seen, Settle, Shut, UseBatch, UseKept, Welcome, ZonesGuide,
};
use frostvale_outside::{BreakerState, CallCounts, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Checks of one agent that may be undecided or unsettled at once; any further check is answered `BUSY`.
const MAX_CHECKS_PER_AGENT: usize = 16 * 1024;
/// A held grant that is not settled within this time counts as used.
const HELD_GRANT_TIMEOUT: Duration = Duration::from_secs(10);
/// Shops whose gatekeeper sets are remembered, in each of two generations.
const MAX_SETS_PER_GENERATION: usize = 32 * 1024;
/// Shop sets sent to an agent when it connects.
const MAX_SETS_ON_CONNECT: usize = 16 * 1024;

/// Converts units to the link's thousandths of a unit.
fn milli(units: f64) -> u64 {
    (units * 1000.0).round().clamp(0.0, 1e15) as u64
}

/// One connected agent: what it subscribed to in its hello, and its checks.
struct LinkedAgent {
    peer: Rc<AgentConnection>,
    outside: bool,
    record: bool,
    zones: bool,
    audit: bool,
    /// Whether the agent has announced that it stops.
    stopping: Cell<bool>,
    checks: RefCell<AgentChecks>,
}

/// The checks of one agent, by the ids that the agent gave them.
#[derive(Default)]
struct AgentChecks {
    /// Undecided checks: the gatekeeper's id, the request, and whether a grant is to be held until it is
    /// settled.
    undecided: HashMap<u64, (u64, Request, bool)>,
    /// Grants that wait for a settle message.
    held: HashMap<u64, Request>,
    /// Decided requests that are not yet counted as usage, with whether they were granted.
    decided: Vec<(Request, bool)>,
    /// When each held grant was given, the oldest first.
    held_since: VecDeque<(Instant, u64)>,
}

impl AgentChecks {
    /// Counts grants that were held for longer than the timeout as used.
    fn expire_held(&mut self, now: Instant) {
        while let Some((at, id)) = self.held_since.front().copied()
            && (now.saturating_duration_since(at) > HELD_GRANT_TIMEOUT || !self.held.contains_key(&id))
        {
            self.held_since.pop_front();
            if let Some(request) = self.held.remove(&id) {
                self.decided.push((request, true));
            }
        }
    }
}

impl CheckClient for LinkedAgent {
    fn verdict(&self, tag: u64, granted: bool, remaining: f64, reset: f64) {
        let mut checks = self.checks.borrow_mut();
        match checks.undecided.remove(&tag) {
            Some((_, request, true)) if granted => {
                checks.held.insert(tag, request);
                checks.held_since.push_back((Instant::now(), tag));
            }
            // Counted after this call, which the gatekeeper makes while it is mutably borrowed.
            Some((_, request, _)) => checks.decided.push((request, granted)),
            None => {}
        }
        let code = if granted { Code::Granted } else { Code::Over };
        self.peer.send_decision(Decision {
            id: tag,
            code: code.into(),
            remaining_milli: remaining.is_finite().then(|| milli(remaining)),
            reset_ms: reset.clamp(0.0, 1e12) as u64,
            error: String::new(),
        });
    }
}

/// The gatekeeper sets of shops as requests named them. Two generations bound the memory; the newer entries
/// stay.
#[derive(Default)]
struct RecentShopSets {
    current: HashMap<Name, (u32, u32)>,
    previous: HashMap<Name, (u32, u32)>,
}

impl RecentShopSets {
    /// Records a shop's set. Returns whether it differs from what was recorded before.
    fn record(&mut self, shop: &Name, set: (u32, u32)) -> bool {
        if self.current.get(shop) == Some(&set) {
            return false;
        }
        let known = self.previous.get(shop) == Some(&set) && !self.current.contains_key(shop);
        if self.current.len() >= MAX_SETS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(shop.clone(), set);
        !known
    }
}

/// All connected agents, and what the gatekeeper keeps on their behalf.
pub struct Links {
    gatekeeper: Shared,
    name: String,
    /// When this process started, Unix time in ms; identifies the process.
    started_ms: u64,
    /// Milliseconds that are added to the host's clock.
    clock_offset_ms: i64,
    agents: RefCell<HashMap<u64, Rc<LinkedAgent>>>,
    sets: RefCell<RecentShopSets>,
    /// The `last_seen` of each token bucket when its level was last reported.
    reported_levels: RefCell<HashMap<u64, f64>>,
    /// The revision of the plans in effect.
    revision: Cell<u64>,
    fences: RefCell<EpochFences>,
    /// Present where a leader-elected task decides on zones for all gatekeepers.
    zones: Option<RefCell<ZoneDecisions>>,
    /// Present where the versions in effect are reported.
    audit: RefCell<Option<AppliedVersions>>,
    /// A fault for drills: plans are reported as in effect without being applied.
    fault_keeps_plans: bool,
    /// The link's socket. A final report that no agent takes is written to a file beside it.
    socket: PathBuf,
    /// Set when the final report begins: no check that would count as usage is decided after it.
    is_closing: Cell<bool>,
}

/// How often token buckets are scanned for changed levels.
const LEVEL_SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Chunks of the buckets that one scan covers.
const LEVEL_CHUNKS_PER_SCAN: usize = 8;
/// How often batches are sent again that were already pending the time before.
const USAGE_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Batches that are sent again at one time.
const MAX_RESENT_BATCHES: usize = 8;
/// An agent with more unread bytes than this is sent no levels; newer levels follow later.
const MAX_UNREAD_BYTES_FOR_LEVELS: usize = 256 * 1024;
/// How long the gatekeeper waits for an agent to acknowledge the final report.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Token buckets whose last report is remembered, and levels in a final report file.
const MAX_REPORTED_LEVELS: usize = 1_000_000;

impl Links {
    /// Creates the link state and registers it with the gatekeeper. `clock_offset_ms` is added to the host's
    /// clock. `zones` says whether zone decisions are applied, `fault_keeps_plans` whether plans are only
    /// reported as applied (for drills).
    pub fn new(
        gatekeeper: Shared,
        name: String,
        socket: PathBuf,
        clock_offset_ms: i64,
        zones: bool,
        fault_keeps_plans: bool,
    ) -> Rc<Links> {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(unix.as_millis()).unwrap_or(0).saturating_add_signed(clock_offset_ms);
        let links = Rc::new(Links {
            gatekeeper,
            name,
            started_ms,
            clock_offset_ms,
            agents: RefCell::default(),
            sets: RefCell::default(),
            reported_levels: RefCell::default(),
            revision: Cell::new(0),
            fences: RefCell::new(EpochFences::new(started_ms)),
            zones: zones.then(RefCell::default),
            audit: RefCell::default(),
            fault_keeps_plans,
            socket,
            is_closing: Cell::new(false),
        });
        links.gatekeeper.borrow_mut().set_agents(links.clone());
        links
    }

    /// The agent that records usage and levels: the latest to connect, and one that stops only if there is no
    /// other.
    fn record_agent(&self) -> Option<Rc<LinkedAgent>> {
        let agents = self.agents.borrow();
        agents.values().filter(|l| l.record).max_by_key(|l| (!l.stopping.get(), l.peer.number)).cloned()
    }

    /// Counts the decided checks of one agent as usage.
    fn count_decided(&self, agent: &LinkedAgent) {
        let decided = std::mem::take(&mut agent.checks.borrow_mut().decided);
        if !decided.is_empty() {
            let mut gatekeeper = self.gatekeeper.borrow_mut();
            decided.iter().for_each(|(request, granted)| gatekeeper.count_check(request, *granted));
        }
    }

    fn now_ms(&self) -> u64 {
        (self.gatekeeper.borrow().now().max(0.0) as u64).saturating_add_signed(self.clock_offset_ms)
    }

    /// Closes the usage so far into batches and sends them. `last` marks the end of this process's usage.
    fn close_usage(&self, last: bool) {
        let agents: Vec<Rc<LinkedAgent>> = self.agents.borrow().values().cloned().collect();
        agents.iter().for_each(|agent| self.count_decided(agent));
        let now_ms = self.now_ms();
        let fresh: Vec<UseBatch> =
            self.gatekeeper.borrow_mut().usage().map_or(Vec::new(), |usage| usage.close(now_ms, last));
        if let Some(agent) = self.record_agent() {
            fresh.into_iter().for_each(|batch| agent.peer.send_usage(batch));
        }
    }

    /// The task that reports usage and the levels of token buckets.
    pub async fn run_usage_reporting(self: Rc<Self>, interval: Duration) {
        let (mut next, mut chunk) = (Instant::now() + interval, 0);
        let mut next_resend = Instant::now() + USAGE_RESEND_INTERVAL;
        loop {
            sleep(LEVEL_SCAN_INTERVAL.min(interval)).await;
            if Instant::now() >= next {
                next = Instant::now() + interval;
                self.close_usage(false);
            }
            let Some(agent) = self.record_agent() else { continue };
            if Instant::now() >= next_resend {
                next_resend = Instant::now() + USAGE_RESEND_INTERVAL;
                // An agent without room for a batch drops it and sends no acknowledgement.
                if let Some(usage) = self.gatekeeper.borrow_mut().usage() {
                    usage.overdue(MAX_RESENT_BATCHES).for_each(|batch| agent.peer.send_usage(batch.clone()));
                }
            }
            if agent.peer.unread_bytes() < MAX_UNREAD_BYTES_FOR_LEVELS {
                chunk = self.report_levels(&agent.peer, chunk, LEVEL_CHUNKS_PER_SCAN).unwrap_or(0);
            }
        }
    }

    /// The task that reports zone observations.
    pub async fn run_zone_reporting(self: Rc<Self>, interval: Duration) {
        self.gatekeeper.borrow_mut().watch_zones(true);
        loop {
            sleep(interval).await;
            let Some(zones) = &self.zones else { return };
            // The observation is taken even if no agent receives it: by the next time it would be out of
            // date.
            let observation = self.gatekeeper.borrow_mut().observe_zones();
            let agents = self.agents.borrow();
            let subscribed = |l: &&Rc<LinkedAgent>| l.zones && !l.stopping.get();
            if let Some(agent) = agents.values().filter(subscribed).max_by_key(|l| l.peer.number) {
                agent.peer.send_zone_observation(
                    zones.borrow().observation(&self.gatekeeper.borrow(), observation),
                );
            }
        }
    }

    /// The task that reports the versions in effect, after each change and regularly as a liveness signal.
    pub async fn run_version_reporting(self: Rc<Self>, interval: Duration, digests: ConfigDigests) {
        *self.audit.borrow_mut() = Some(AppliedVersions::new(digests));
        loop {
            sleep(interval).await;
            self.report_versions();
        }
    }

    fn report_versions(&self) {
        let mut audit = self.audit.borrow_mut();
        let Some(audit) = audit.as_mut() else { return };
        let agents = self.agents.borrow();
        let mut subscribed = agents.values().filter(|l| l.audit).peekable();
        if subscribed.peek().is_none() {
            return;
        }
        let (gatekeeper, fences) = (self.gatekeeper.borrow(), self.fences.borrow());
        let plans = plans(&gatekeeper);
        let zones = self.zones.as_ref().map(RefCell::borrow);
        let in_effect = zones.as_ref().map_or((0, ""), |z| z.in_effect());
        let now_ms = (gatekeeper.now().max(0.0) as u64).saturating_add_signed(self.clock_offset_ms);
        let acts =
            audit.report(now_ms, &gatekeeper, (self.revision.get(), &plans), in_effect, fences.epochs());
        subscribed.for_each(|agent| agent.peer.send_applied_versions(acts.clone()));
    }

    /// Replaces the configuration digests after the configuration was read again.
    pub fn set_config_digests(&self, digests: ConfigDigests) {
        if let Some(audit) = self.audit.borrow_mut().as_mut() {
            audit.set_config_digests(digests);
        }
    }

    /// Returns whether a message sent on behalf of the fleet is admitted by its fence; if not, tells the
    /// sender.
    fn admit_or_refuse(
        &self,
        peer: &Rc<AgentConnection>,
        duty: &str,
        fence: Option<&Fence>,
        what: &str,
    ) -> bool {
        let Err(refused) = self.fences.borrow_mut().admit(duty, fence) else { return true };
        let (epoch, stands) = (refused.epoch, refused.stands);
        let why = match stands {
            0 => "the current epoch is not known here yet",
            _ => "those of a later owner are in effect",
        };
        tracing::warn!(duty, epoch, stands, "{what} of epoch {epoch} are refused: {why}");
        peer.send_refused(refused);
        false
    }

    /// Sends the levels of buckets that changed since they were last reported, from `chunk` on. Returns the
    /// next chunk to scan, if any are left.
    fn report_levels(&self, peer: &AgentConnection, chunk: usize, max_chunks: usize) -> Option<usize> {
        let (levels, next) = self.gatekeeper.borrow().levels(chunk, max_chunks);
        let mut reported_levels = self.reported_levels.borrow_mut();
        if reported_levels.len() > MAX_REPORTED_LEVELS {
            reported_levels.clear();
        }
        for l in levels {
            if reported_levels.insert(l.key, l.last_seen) != Some(l.last_seen) {
                peer.send_level(level_message(&l));
            }
        }
        next
    }

    /// Sends the final report of this process: all remaining usage and the level of every bucket. Waits for
    /// an acknowledgement for a limited time; what no agent has acknowledged by then is written to a file
    /// beside the socket, for the next agent.
    pub async fn send_final_report(&self) {
        if self.gatekeeper.borrow_mut().usage().is_none() {
            return;
        }
        self.is_closing.set(true);
        let agents: Vec<Rc<LinkedAgent>> = self.agents.borrow().values().cloned().collect();
        for agent in agents {
            let mut checks = agent.checks.borrow_mut();
            // No settle message will be handled any more that could mark these grants as unused.
            let held: Vec<_> = checks.held.drain().map(|(_, request)| (request, true)).collect();
            checks.decided.extend(held);
        }
        if let Some(agent) = self.record_agent() {
            self.reported_levels.borrow_mut().clear();
            let mut chunk = Some(0);
            while let Some(from) = chunk.filter(|_| agent.peer.unread_bytes() <= MAX_UNREAD_BYTES / 2) {
                chunk = self.report_levels(&agent.peer, from, LEVEL_CHUNKS_PER_SCAN);
                yield_now().await;
            }
        }
        self.close_usage(true);
        let until = Instant::now() + FINAL_REPORT_TIMEOUT;
        while Instant::now() < until
            && self.record_agent().is_some()
            && !self.gatekeeper.borrow_mut().usage().is_none_or(|u| u.is_settled())
        {
            sleep(Duration::from_millis(5)).await;
        }
        self.write_final_report();
    }

    /// Writes what no agent has acknowledged to the final report file.
    fn write_final_report(&self) {
        let welcome = self.welcome();
        let mut gatekeeper = self.gatekeeper.borrow_mut();
        let mut levels = Vec::new();
        let mut chunk = Some(0);
        while let Some(from) = chunk.filter(|_| levels.len() < MAX_REPORTED_LEVELS) {
            let (some, next) = gatekeeper.levels(from, LEVEL_CHUNKS_PER_SCAN);
            levels.extend(some.iter().map(level_message));
            chunk = next;
        }
        let Some(usage) = gatekeeper.usage().filter(|usage| !usage.is_settled()) else { return };
        let [passed, refused, served] = usage.sums().map(|milli| milli as f64 / 1000.0);
        let (from_ms, to_ms) = usage.span();
        let (name, what) = (&self.name, format!("units passed {passed}, refused {refused}, served {served}"));
        match final_report::write(&self.socket, &welcome, usage.pending(), &levels) {
            Ok(path) => tracing::warn!(
                passed,
                refused,
                served,
                "{name}: no agent took the final report ({what}); it is written to {} for the next agent",
                path.display()
            ),
            Err(e) => tracing::error!(
                passed,
                refused,
                served,
                reason = %e,
                "{name}: no agent took the final report, and it can't be left at {}: {e}; usage from {from_ms} to \
                 {to_ms} ms (Unix time) is lost to the record: {what}; traffic was not affected; free space there \
                 before the next stop",
                final_report::path_of(&self.socket, self.started_ms).display()
            ),
        }
    }

    /// Tells the agents that no new check is accepted.
    pub fn announce_stop(&self) {
        self.agents.borrow().values().for_each(|agent| agent.peer.send_bye("the gatekeeper stops"));
    }

    fn agent(&self, peer: &Rc<AgentConnection>) -> Option<Rc<LinkedAgent>> {
        self.agents.borrow().get(&peer.number).cloned()
    }

    /// Reads and validates a check; the error names the field that is wrong and its range.
    fn read_check(&self, check: &Check) -> Result<Request, String> {
        let gatekeeper = self.gatekeeper.borrow();
        let settings = &gatekeeper.settings;
        let below = |name: &str, value: u32, limit: usize| {
            let at = usize::try_from(value).unwrap_or(usize::MAX);
            if at < limit { Ok(at) } else { Err(format!("{name} {value}: below {limit}")) }
        };
        if client_request::parse_hex(&check.shop).is_none_or(|number| number >= MAX_CUSTOMERS) {
            return Err("shop: 16 hex digits, a number below 2^33".into());
        }
        let limit = milli(client_request::max_units(settings));
        if !(1..=limit).contains(&check.units_milli) {
            return Err(format!("units: over 0 and at most {}", limit as f64 / 1000.0));
        }
        if !(1..=settings.gatekeepers).contains(&check.spread) {
            return Err(format!("spread {}: 1 to {}", check.spread, settings.gatekeepers));
        }
        if !(1..=MAX_WAIT_MS as u32).contains(&check.within_ms) {
            return Err(format!("within_ms: 1 to {MAX_WAIT_MS}"));
        }
        Ok(Request {
            id: 0,
            customer: check.shop.as_str().into(),
            class: below("class", check.class, settings.classes.len())?,
            plan: below("plan", check.plan, settings.plans.len())?,
            units: check.units_milli as f64 / 1000.0,
            first: below("first", check.first, settings.gatekeepers as usize).map(|_| check.first)?,
            spread: check.spread,
            deadline: 0.0,
            is_retry: false,
            source: 0,
        })
    }
}

/// The levels of a token bucket, rounded down, as a link message.
fn level_message(l: &BucketSnapshot) -> LevelMessage {
    let milli = |units: f64| (units * 1000.0).floor().clamp(-1e15, 1e15);
    LevelMessage {
        key: l.key,
        plan: u32::try_from(l.plan).unwrap_or(u32::MAX),
        store_milli: milli(l.quota_tokens).max(0.0) as u64,
        ceiling_milli: milli(l.ceiling_tokens) as i64,
    }
}

/// The plans in effect, as link messages.
fn plans(gatekeeper: &Gatekeeper) -> Vec<Plan> {
    let (conf, settings) = (&gatekeeper.conf, &gatekeeper.settings);
    let plan = |(c, p): (&frostvale::RawPlan, &frostvale::Plan)| Plan {
        name: c.name.clone(),
        rate_milli: milli(p.rate),
        burst_milli: milli(p.burst),
        ceiling_rate_milli: milli(p.ceiling_rate),
        ceiling_burst_milli: milli(p.ceiling_burst),
        ceiling_slack_milli: milli(p.ceiling_slack),
        open: p.max_in_flight,
    };
    conf.plans.iter().zip(&settings.plans).map(plan).collect()
}

impl LinkHandler for Links {
    fn welcome(&self) -> Welcome {
        let gatekeeper = self.gatekeeper.borrow();
        let (conf, settings) = (&gatekeeper.conf, &gatekeeper.settings);
        Welcome {
            version: VERSION,
            name: self.name.clone(),
            started_ms: self.started_ms,
            me: settings.own_index,
            gateways: settings.gatekeepers,
            plans: plans(&gatekeeper),
            classes: conf.classes.iter().map(|c| c.name.clone()).collect(),
            largest_milli: milli(settings.max_request_units),
            nonce: self.fences.borrow().nonce(),
        }
    }

    fn agent_connected(&self, peer: &Rc<AgentConnection>, hello: Hello) {
        let record = hello.record;
        let agent = LinkedAgent {
            peer: peer.clone(),
            outside: hello.outside,
            record,
            zones: hello.zones,
            audit: hello.audit,
            stopping: Cell::new(false),
            checks: RefCell::default(),
        };
        self.agents.borrow_mut().insert(peer.number, Rc::new(agent));
        let sets = self.sets.borrow();
        for (shop, (first, spread)) in sets.current.iter().take(MAX_SETS_ON_CONNECT) {
            peer.send_shop_set(Seen { shop: shop.to_string(), first: *first, spread: *spread });
        }
        if record {
            // Batches that another agent, or an earlier process of this agent, has not acknowledged. Those for
            // which there is no room now are sent again later.
            if let Some(usage) = self.gatekeeper.borrow_mut().usage() {
                usage.pending().cloned().for_each(|batch| peer.send_usage(batch));
            }
            self.reported_levels.borrow_mut().clear();
        }
        if let Some((breaker, counts)) = self.gatekeeper.borrow().outside_state() {
            peer.send_breaker_state(breaker_message(breaker, counts));
        }
        // The name comes from another process: unprintable characters must not reach the log.
        let name: String = hello.peer.chars().filter(|c| c.is_ascii_graphic()).take(64).collect();
        tracing::info!(agent = name, "agent {name} is linked");
    }

    fn handle_check(&self, peer: &Rc<AgentConnection>, check: Check) {
        let Some(agent) = self.agent(peer) else { return };
        let refuse = |code: Code, error: String| {
            peer.send_decision(Decision { id: check.id, code: code.into(), error, ..Decision::default() });
        };
        if self.is_closing.get() {
            return refuse(Code::Busy, String::new());
        }
        {
            let mut checks = agent.checks.borrow_mut();
            checks.expire_held(Instant::now());
            if checks.undecided.contains_key(&check.id) || checks.held.contains_key(&check.id) {
                return refuse(Code::Invalid, "id: it is in hand already".into());
            }
            if checks.undecided.len() + checks.held.len() >= MAX_CHECKS_PER_AGENT {
                return refuse(Code::Busy, String::new());
            }
        }
        let request = match self.read_check(&check) {
            Ok(request) => request,
            Err(what) => return refuse(Code::Invalid, what),
        };
        agent.checks.borrow_mut().undecided.insert(check.id, (0, request.clone(), check.hold));
        let id =
            self.gatekeeper.borrow_mut().check(request, f64::from(check.within_ms), check.id, agent.clone());
        // If it is not decided yet, the gatekeeper's id is needed to cancel it.
        if let Some(entry) = agent.checks.borrow_mut().undecided.get_mut(&check.id) {
            entry.0 = id;
        }
        self.count_decided(&agent);
    }

    fn settle_grant(&self, peer: &Rc<AgentConnection>, settle: Settle) {
        let Some(agent) = self.agent(peer) else { return };
        let held = agent.checks.borrow_mut().held.remove(&settle.id);
        match held {
            Some(request) if settle.keep => self.gatekeeper.borrow_mut().count_check(&request, true),
            Some(request) => self.gatekeeper.borrow_mut().refund_check(request),
            None => {}
        }
    }

    fn outside_verdict(&self, _peer: &Rc<AgentConnection>, verdict: OutsideVerdict) {
        let outcome = match verdict.code() {
            VerdictCode::Ok => {
                Verdict::Ok { ahead: verdict.quota_milli as f64 / 1000.0, ahead_ms: verdict.quota_ms as f64 }
            }
            VerdictCode::Over => Verdict::Over { reset_ms: verdict.reset_ms as f64 },
            VerdictCode::Failed | VerdictCode::Unknown => Verdict::Failed,
        };
        self.gatekeeper.borrow_mut().outside_verdict(verdict.id, outcome);
    }

    fn usage_acknowledged(&self, _peer: &Rc<AgentConnection>, kept: &[UseKept]) {
        if let Some(usage) = self.gatekeeper.borrow_mut().usage() {
            // Batches of an earlier process of this gatekeeper are not known here.
            kept.iter().filter(|k| k.started_ms == self.started_ms).for_each(|k| usage.acknowledge(&k.seqs));
        }
    }

    fn apply_epochs(&self, _peer: &Rc<AgentConnection>, epochs: Epochs) {
        if self.fences.borrow_mut().record_epochs(&epochs) {
            tracing::info!("the council's epochs are known: its decisions are accepted from now on");
        }
    }

    fn apply_plans(&self, peer: &Rc<AgentConnection>, sent: Plans) {
        if !self.admit_or_refuse(peer, PLANS_DUTY, sent.fence.as_ref(), "plans") {
            return;
        }
        let mut gatekeeper = self.gatekeeper.borrow_mut();
        // A reconnecting agent may have an older revision than another agent has sent meanwhile.
        if sent.revision < self.revision.get() {
            let error = format!("revision {} is in effect here", self.revision.get());
            let plans = plans(&gatekeeper);
            return peer.send_plans_taken(PlansTaken {
                revision: self.revision.get(),
                plans,
                error,
                unknown: Vec::new(),
            });
        }
        let mut new_plans = gatekeeper.settings.plans.clone();
        let mut unknown = Vec::new();
        for plan in &sent.plans {
            let units = |milli: u64| milli as f64 / 1000.0;
            match gatekeeper.conf.plans.iter().position(|c| c.name == plan.name) {
                Some(at) => {
                    let p = &mut new_plans[at];
                    (p.rate, p.burst, p.max_in_flight) =
                        (units(plan.rate_milli), units(plan.burst_milli), plan.open);
                    (p.ceiling_rate, p.ceiling_burst) =
                        (units(plan.ceiling_rate_milli), units(plan.ceiling_burst_milli));
                    p.ceiling_slack = units(plan.ceiling_slack_milli);
                }
                None => unknown.push(plan.name.clone()),
            }
        }
        // The open usage was decided under the former plans, so it is closed under the former revision.
        let now_ms = (gatekeeper.now().max(0.0) as u64).saturating_add_signed(self.clock_offset_ms);
        let start_revision = |gatekeeper: &mut Gatekeeper, revision: u64| {
            let closed = gatekeeper.usage().map_or(Vec::new(), |u| u.start_revision(revision, now_ms));
            if let Some(agent) = self.record_agent() {
                closed.into_iter().for_each(|batch| agent.peer.send_usage(batch));
            }
        };
        let before = self.revision.get();
        if sent.revision != before {
            start_revision(&mut gatekeeper, sent.revision);
        }
        let applied = if self.fault_keeps_plans { Ok(()) } else { gatekeeper.set_plans(new_plans) };
        if applied.is_err() && sent.revision != before {
            start_revision(&mut gatekeeper, before);
        }
        if applied.is_ok() {
            if self.revision.replace(sent.revision) != sent.revision {
                tracing::info!(
                    revision = sent.revision,
                    "the plans of revision {} are in effect",
                    sent.revision
                );
            }
        } else {
            tracing::warn!(
                revision = sent.revision,
                "cannot apply plans: revision {}; the plans in use stay",
                sent.revision
            );
        }
        let (plans, revision) = (plans(&gatekeeper), self.revision.get());
        peer.send_plans_taken(PlansTaken {
            revision,
            unknown,
            plans,
            error: applied.err().unwrap_or_default(),
        });
        drop(gatekeeper);
        self.report_versions();
    }

    fn apply_fenced_off(&self, peer: &Rc<AgentConnection>, decision: Shut) {
        if self.audit.borrow().is_none()
            || !self.admit_or_refuse(
                peer,
                AUDIT_DUTY,
                decision.fence.as_ref(),
                "decisions on fenced-off gatekeepers",
            )
        {
            return;
        }
        let me = self.gatekeeper.borrow().settings.own_index;
        let applied = self.audit.borrow_mut().as_mut().map(|a| a.apply_fenced_off(&self.name, me, &decision));
        match applied {
            Some(Ok(decision)) => self.gatekeeper.borrow_mut().apply_fenced_off(decision),
            Some(Err(why)) => {
                let version = decision.version;
                tracing::warn!(
                    version,
                    reason = why,
                    "cannot apply the decision on fenced-off gatekeepers: version {version}: {why}"
                );
            }
            None => {}
        }
        self.report_versions();
    }

    fn apply_zone_decision(&self, peer: &Rc<AgentConnection>, decision: ZonesGuide) {
        let Some(zones) = &self.zones else { return };
        if !self.admit_or_refuse(peer, ZONES_DUTY, decision.fence.as_ref(), "decisions on zones") {
            return;
        }
        let applied = zones.borrow_mut().apply_decision(&mut self.gatekeeper.borrow_mut(), &decision);
        if let Err(why) = applied {
            let version = decision.version;
            tracing::warn!(version, reason = why, "cannot apply the zone decision: version {version}: {why}");
        }
    }

    fn restore_levels(&self, _peer: &Rc<AgentConnection>, levels: &[LevelMessage]) {
        let level = |l: &LevelMessage| BucketSnapshot {
            key: l.key,
            plan: l.plan as usize,
            quota_tokens: l.store_milli as f64 / 1000.0,
            ceiling_tokens: l.ceiling_milli as f64 / 1000.0,
            last_seen: 0.0,
        };
        self.gatekeeper.borrow_mut().restore(levels.iter().map(level).collect());
    }

    fn agent_stopping(&self, peer: &Rc<AgentConnection>) {
        let Some(agent) = self.agent(peer) else { return };
        // Usage is reported to this agent even while it stops, if there is no other.
        self.close_usage(false);
        agent.stopping.set(true);
        let number = self.gatekeeper.borrow_mut().usage().map_or(0, |usage| usage.last_seq());
        peer.send_usage_reported(number);
    }

    fn agent_disconnected(&self, peer: &Rc<AgentConnection>, why: Option<String>) {
        match why {
            Some(why) => {
                tracing::warn!(
                    reason = why,
                    "an agent was cut off: {why}; RESP2 traffic continues without it"
                )
            }
            None => tracing::warn!("an agent has disconnected; RESP2 traffic continues without it"),
        }
        let Some(agent) = self.agents.borrow_mut().remove(&peer.number) else { return };
        let undecided = std::mem::take(&mut agent.checks.borrow_mut().undecided);
        let held = std::mem::take(&mut agent.checks.borrow_mut().held);
        self.count_decided(&agent);
        let mut gatekeeper = self.gatekeeper.borrow_mut();
        // No settle message can come any more that would mark these grants as unused.
        held.values().for_each(|request| gatekeeper.count_check(request, true));
        gatekeeper.cancel_checks(undecided.into_values().map(|(id, ..)| id));
        if agent.outside && !self.has_outside_agent() {
            gatekeeper.link_lost();
        }
    }
}

fn breaker_message(breaker: BreakerState, counts: CallCounts) -> OutsideState {
    let code = match breaker {
        BreakerState::Closed => BreakerCode::Closed,
        BreakerState::Open => BreakerCode::Open,
        BreakerState::HalfOpen => BreakerCode::HalfOpen,
    };
    OutsideState { breaker: code.into(), failed: counts.failed, by_mode: counts.by_mode }
}

impl AgentLinks for Links {
    fn record_shop_set(&self, customer: &Name, first: u32, spread: u32) {
        if self.sets.borrow_mut().record(customer, (first, spread)) {
            for agent in self.agents.borrow().values() {
                agent.peer.send_shop_set(Seen { shop: customer.to_string(), first, spread });
            }
        }
    }

    fn has_outside_agent(&self) -> bool {
        self.agents.borrow().values().any(|agent| agent.outside)
    }

    fn ask_outside(&self, call: u64, request: &Request, within: f64) -> bool {
        // `self.gatekeeper` must not be borrowed here: it is mutably borrowed by the caller.
        let agents = self.agents.borrow();
        let Some(agent) = agents.values().filter(|agent| agent.outside).min_by_key(|agent| agent.peer.number)
        else {
            return false;
        };
        agent.peer.send_outside_request(OutsideAsk {
            id: call,
            shop: request.customer.to_string(),
            plan: u32::try_from(request.plan).unwrap_or(u32::MAX),
            class: u32::try_from(request.class).unwrap_or(u32::MAX),
            units_milli: milli(request.units),
            within_ms: within.max(1.0) as u32,
        })
    }

    fn breaker_changed(&self, breaker: BreakerState, counts: CallCounts) {
        self.agents
            .borrow()
            .values()
            .for_each(|agent| agent.peer.send_breaker_state(breaker_message(breaker, counts)));
    }
}

#[cfg(test)]
mod tests;
