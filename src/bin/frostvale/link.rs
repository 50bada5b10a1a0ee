//! The link to the host's agent: checks come in, decisions go out, and what agents should know of shops.

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
use frostvale_link::proto::outside_state::Breaker as BreakerWord;
use frostvale_link::proto::outside_verdict::Code as VerdictWord;
use frostvale_link::proto::{
    Check, Decision, Epochs, Fence, Hello, Level as LevelWord, OutsideAsk, OutsideState, OutsideVerdict,
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

/// Checks of one agent that wait for a decision or to be settled; what comes on top is answered `BUSY`.
const IN_HAND_MOST: usize = 16 * 1024;
/// A grant that is not settled within this time counts as used.
const HELD: Duration = Duration::from_secs(10);
/// Shops whose sets are remembered, in each of two generations.
const SEEN_MOST: usize = 32 * 1024;
/// Shops told to an agent that joins.
const TOLD_MOST: usize = 16 * 1024;

/// Thousandths of a unit, as the link writes them.
fn milli(units: f64) -> u64 {
    (units * 1000.0).round().clamp(0.0, 1e15) as u64
}

/// One agent's checks.
struct Line {
    peer: Rc<AgentConnection>,
    outside: bool,
    record: bool,
    zones: bool,
    audit: bool,
    /// The agent has said that it stops.
    leaving: Cell<bool>,
    hands: RefCell<Hands>,
}

#[derive(Default)]
struct Hands {
    /// By the agent's numbers: the gatekeeper's own, and the request where a grant is to be held.
    waiting: HashMap<u64, (u64, Request, bool)>,
    held: HashMap<u64, Request>,
    /// What was decided and is not yet counted as use.
    decided: Vec<(Request, bool)>,
    ages: VecDeque<(Instant, u64)>,
}

impl Hands {
    /// What was held for long counts as used.
    fn let_go(&mut self, now: Instant) {
        while let Some((at, id)) = self.ages.front().copied()
            && (now.saturating_duration_since(at) > HELD || !self.held.contains_key(&id))
        {
            self.ages.pop_front();
            if let Some(request) = self.held.remove(&id) {
                self.decided.push((request, true));
            }
        }
    }
}

impl CheckClient for Line {
    fn verdict(&self, tag: u64, granted: bool, remaining: f64, reset: f64) {
        let mut hands = self.hands.borrow_mut();
        match hands.waiting.remove(&tag) {
            Some((_, request, true)) if granted => {
                hands.held.insert(tag, request);
                hands.ages.push_back((Instant::now(), tag));
            }
            // Counted once this call is over: it comes from within the gatekeeper.
            Some((_, request, _)) => hands.decided.push((request, granted)),
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

/// The sets of shops as requests named them, the latest kept.
#[derive(Default)]
struct Sets {
    young: HashMap<Name, (u32, u32)>,
    old: HashMap<Name, (u32, u32)>,
}

impl Sets {
    /// Whether that is news.
    fn see(&mut self, shop: &Name, set: (u32, u32)) -> bool {
        if self.young.get(shop) == Some(&set) {
            return false;
        }
        let known = self.old.get(shop) == Some(&set) && !self.young.contains_key(shop);
        if self.young.len() >= SEEN_MOST {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(shop.clone(), set);
        !known
    }
}

/// All agents that are linked.
pub struct Links {
    gatekeeper: Shared,
    name: String,
    started_ms: u64,
    ahead: i64,
    lines: RefCell<HashMap<u64, Rc<Line>>>,
    sets: RefCell<Sets>,
    /// What was last told of each store.
    told: RefCell<HashMap<u64, f64>>,
    revision: Cell<u64>,
    fences: RefCell<EpochFences>,
    /// Where zones are decided on in common.
    zones: Option<RefCell<ZoneDecisions>>,
    /// Where what is acted on is told.
    audit: RefCell<Option<AppliedVersions>>,
    /// For drills: plans are said to be in effect and are not.
    keeps_plans: bool,
    /// The socket: a last word that no agent takes is left beside it.
    socket: PathBuf,
    /// Set with the last word: nothing that would be use is decided after it.
    ended: Cell<bool>,
}

/// How often stores are looked through, and how many parts of them at one stroke.
const LOOK: Duration = Duration::from_millis(50);
const LOOK_AT: usize = 8;
/// Use that was not kept by then is reported again, so many batches at once.
const AGAIN: Duration = Duration::from_secs(1);
const AGAIN_AT_ONCE: usize = 8;
/// An agent that has left so much unread is told of no stores: newer words come.
const LEVELS_UNREAD: usize = 256 * 1024;
/// How long the last word may take to be kept.
const LAST_WORD: Duration = Duration::from_secs(1);
/// Stores whose last word is remembered.
const TOLD_STORES: usize = 1_000_000;

impl Links {
    /// `ahead`: ms to add to this host's clock.
    pub fn new(
        gatekeeper: Shared,
        name: String,
        socket: PathBuf,
        ahead: i64,
        zones: bool,
        keeps_plans: bool,
    ) -> Rc<Links> {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(unix.as_millis()).unwrap_or(0).saturating_add_signed(ahead);
        let links = Rc::new(Links {
            gatekeeper,
            name,
            started_ms,
            ahead,
            lines: RefCell::default(),
            sets: RefCell::default(),
            told: RefCell::default(),
            revision: Cell::new(0),
            fences: RefCell::new(EpochFences::new(started_ms)),
            zones: zones.then(RefCell::default),
            audit: RefCell::default(),
            keeps_plans,
            socket,
            ended: Cell::new(false),
        });
        links.gatekeeper.borrow_mut().set_agents(links.clone());
        links
    }

    /// The one that keeps use and levels: of several that which came last, of those that stop only if there is no other.
    fn keeper(&self) -> Option<Rc<Line>> {
        let lines = self.lines.borrow();
        lines.values().filter(|l| l.record).max_by_key(|l| (!l.leaving.get(), l.peer.number)).cloned()
    }

    /// Counts what was decided of one agent's checks.
    fn count(&self, line: &Line) {
        let decided = std::mem::take(&mut line.hands.borrow_mut().decided);
        if !decided.is_empty() {
            let mut gatekeeper = self.gatekeeper.borrow_mut();
            decided.iter().for_each(|(request, granted)| gatekeeper.count_check(request, *granted));
        }
    }

    fn now_ms(&self) -> u64 {
        (self.gatekeeper.borrow().now().max(0.0) as u64).saturating_add_signed(self.ahead)
    }

    /// Closes the use so far and reports it.
    fn close(&self, last: bool) {
        let lines: Vec<Rc<Line>> = self.lines.borrow().values().cloned().collect();
        lines.iter().for_each(|line| self.count(line));
        let now_ms = self.now_ms();
        let fresh: Vec<UseBatch> =
            self.gatekeeper.borrow_mut().usage().map_or(Vec::new(), |usage| usage.close(now_ms, last));
        if let Some(line) = self.keeper() {
            fresh.into_iter().for_each(|batch| line.peer.send_usage(batch));
        }
    }

    /// The task that reports use, and what stores hold.
    pub async fn run_usage_reporting(self: Rc<Self>, every: Duration) {
        let (mut next, mut part) = (Instant::now() + every, 0);
        let mut again = Instant::now() + AGAIN;
        loop {
            sleep(LOOK.min(every)).await;
            if Instant::now() >= next {
                next = Instant::now() + every;
                self.close(false);
            }
            let Some(line) = self.keeper() else { continue };
            if Instant::now() >= again {
                again = Instant::now() + AGAIN;
                // An agent without room takes nothing and says nothing.
                if let Some(usage) = self.gatekeeper.borrow_mut().usage() {
                    usage.overdue(AGAIN_AT_ONCE).for_each(|batch| line.peer.send_usage(batch.clone()));
                }
            }
            if line.peer.unread_bytes() < LEVELS_UNREAD {
                part = self.tell_levels(&line.peer, part, LOOK_AT).unwrap_or(0);
            }
        }
    }

    /// The task that reports what is seen of zones.
    pub async fn run_zone_reporting(self: Rc<Self>, every: Duration) {
        self.gatekeeper.borrow_mut().watch_zones(true);
        loop {
            sleep(every).await;
            let Some(zones) = &self.zones else { return };
            // Looked at in any case: what nobody took is old by the next time.
            let sight = self.gatekeeper.borrow_mut().observe_zones();
            let lines = self.lines.borrow();
            let takes = |l: &&Rc<Line>| l.zones && !l.leaving.get();
            if let Some(line) = lines.values().filter(takes).max_by_key(|l| l.peer.number) {
                line.peer.send_zone_observation(zones.borrow().observation(&self.gatekeeper.borrow(), sight));
            }
        }
    }

    /// The task that tells what is acted on, at each change and as a sign of life.
    pub async fn run_version_reporting(self: Rc<Self>, every: Duration, fixed: ConfigDigests) {
        *self.audit.borrow_mut() = Some(AppliedVersions::new(fixed));
        loop {
            sleep(every).await;
            self.tell_now();
        }
    }

    fn tell_now(&self) {
        let mut audit = self.audit.borrow_mut();
        let Some(audit) = audit.as_mut() else { return };
        let lines = self.lines.borrow();
        let mut takes = lines.values().filter(|l| l.audit).peekable();
        if takes.peek().is_none() {
            return;
        }
        let (gatekeeper, fences) = (self.gatekeeper.borrow(), self.fences.borrow());
        let plans = plans(&gatekeeper);
        let zones = self.zones.as_ref().map(RefCell::borrow);
        let in_effect = zones.as_ref().map_or((0, ""), |z| z.in_effect());
        let now_ms = (gatekeeper.now().max(0.0) as u64).saturating_add_signed(self.ahead);
        let acts =
            audit.report(now_ms, &gatekeeper, (self.revision.get(), &plans), in_effect, fences.epochs());
        takes.for_each(|line| line.peer.send_applied_versions(acts.clone()));
    }

    /// The configuration was read again.
    pub fn set_config_digests(&self, fixed: ConfigDigests) {
        if let Some(audit) = self.audit.borrow_mut().as_mut() {
            audit.set_config_digests(fixed);
        }
    }

    /// Whether something sent on behalf of the fleet may be taken; if not, who sent it is told.
    fn admitted(&self, peer: &Rc<AgentConnection>, duty: &str, fence: Option<&Fence>, what: &str) -> bool {
        let Err(refused) = self.fences.borrow_mut().admit(duty, fence) else { return true };
        let (epoch, stands) = (refused.epoch, refused.stands);
        let why = match stands {
            0 => "what is current is not known here yet",
            _ => "a later owner's stand",
        };
        tracing::warn!(duty, epoch, stands, "{what} of epoch {epoch} are refused: {why}");
        peer.send_refused(refused);
        false
    }

    /// Tells of stores that have changed since they were told of, of so many parts from one on.
    fn tell_levels(&self, peer: &AgentConnection, part: usize, most: usize) -> Option<usize> {
        let (levels, next) = self.gatekeeper.borrow().levels(part, most);
        let mut told = self.told.borrow_mut();
        if told.len() > TOLD_STORES {
            told.clear();
        }
        for l in levels {
            if told.insert(l.key, l.last_seen) != Some(l.last_seen) {
                peer.send_level(level_word(&l));
            }
        }
        next
    }

    /// The last word of this life: all use, and what all stores hold. Waits until an agent has it, not for ever; what
    /// none has by then is left in a file beside the socket, for the next agent.
    pub async fn send_final_report(&self) {
        if self.gatekeeper.borrow_mut().usage().is_none() {
            return;
        }
        self.ended.set(true);
        let lines: Vec<Rc<Line>> = self.lines.borrow().values().cloned().collect();
        for line in lines {
            let mut hands = line.hands.borrow_mut();
            // Nobody will say any more that these are not used.
            let held: Vec<_> = hands.held.drain().map(|(_, request)| (request, true)).collect();
            hands.decided.extend(held);
        }
        if let Some(line) = self.keeper() {
            self.told.borrow_mut().clear();
            let mut part = Some(0);
            while let Some(from) = part.filter(|_| line.peer.unread_bytes() <= MAX_UNREAD_BYTES / 2) {
                part = self.tell_levels(&line.peer, from, LOOK_AT);
                yield_now().await;
            }
        }
        self.close(true);
        let until = Instant::now() + LAST_WORD;
        while Instant::now() < until
            && self.keeper().is_some()
            && !self.gatekeeper.borrow_mut().usage().is_none_or(|u| u.is_settled())
        {
            sleep(Duration::from_millis(5)).await;
        }
        self.leave_word();
    }

    /// Leaves what no agent has kept.
    fn leave_word(&self) {
        let welcome = self.welcome();
        let mut gatekeeper = self.gatekeeper.borrow_mut();
        let mut levels = Vec::new();
        let mut part = Some(0);
        while let Some(from) = part.filter(|_| levels.len() < TOLD_STORES) {
            let (some, next) = gatekeeper.levels(from, LOOK_AT);
            levels.extend(some.iter().map(level_word));
            part = next;
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
                "{name}: no agent took the last word ({what}); it is left at {} for the next agent",
                path.display()
            ),
            Err(e) => tracing::error!(
                passed,
                refused,
                served,
                reason = %e,
                "{name}: no agent took the last word, and it can't be left at {}: {e}; use from {from_ms} to \
                 {to_ms} ms (Unix time) is lost to the record: {what}; traffic was not touched; make room there before \
                 the next stop",
                final_report::path_of(&self.socket, self.started_ms).display()
            ),
        }
    }

    /// Tells the agents that no new check is taken.
    pub fn announce_stop(&self) {
        self.lines.borrow().values().for_each(|line| line.peer.send_bye("the gatekeeper stops"));
    }

    fn line(&self, peer: &Rc<AgentConnection>) -> Option<Rc<Line>> {
        self.lines.borrow().get(&peer.number).cloned()
    }

    /// What a check asks for; the text names the field that is wrong and what it may be.
    fn read(&self, check: &Check) -> Result<Request, String> {
        let gatekeeper = self.gatekeeper.borrow();
        let settings = &gatekeeper.settings;
        let below = |name: &str, value: u32, most: usize| {
            let at = usize::try_from(value).unwrap_or(usize::MAX);
            if at < most { Ok(at) } else { Err(format!("{name} {value}: below {most}")) }
        };
        if client_request::parse_hex(&check.shop).is_none_or(|number| number >= MAX_CUSTOMERS) {
            return Err("shop: 16 hex digits, a number below 2^33".into());
        }
        let most = milli(client_request::max_units(settings));
        if !(1..=most).contains(&check.units_milli) {
            return Err(format!("units: over 0 and at most {}", most as f64 / 1000.0));
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
        })
    }
}

/// What a store holds, rounded down, as the link writes it.
fn level_word(l: &BucketSnapshot) -> LevelWord {
    let milli = |units: f64| (units * 1000.0).floor().clamp(-1e15, 1e15);
    LevelWord {
        key: l.key,
        plan: u32::try_from(l.plan).unwrap_or(u32::MAX),
        store_milli: milli(l.quota_tokens).max(0.0) as u64,
        ceiling_milli: milli(l.ceiling_tokens) as i64,
    }
}

/// The plans as they are now.
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
        let line = Line {
            peer: peer.clone(),
            outside: hello.outside,
            record: hello.record,
            zones: hello.zones,
            audit: hello.audit,
            leaving: Cell::new(false),
            hands: RefCell::default(),
        };
        if hello.record {
            // What another agent, or this one's former life, has not kept.
            if let Some(usage) = self.gatekeeper.borrow_mut().usage() {
                usage.pending().cloned().for_each(|batch| peer.send_usage(batch));
            }
            self.told.borrow_mut().clear();
        }
        self.lines.borrow_mut().insert(peer.number, Rc::new(line));
        let sets = self.sets.borrow();
        for (shop, (first, spread)) in sets.young.iter().take(TOLD_MOST) {
            peer.send_shop_set(Seen { shop: shop.to_string(), first: *first, spread: *spread });
        }
        if let Some((breaker, counts)) = self.gatekeeper.borrow().outside_state() {
            peer.send_breaker_state(state(breaker, counts));
        }
        // A name comes from outside: what can't be printed would spoil the log.
        let name: String = hello.peer.chars().filter(|c| c.is_ascii_graphic()).take(64).collect();
        tracing::info!(agent = name, "agent {name} is linked");
    }

    fn handle_check(&self, peer: &Rc<AgentConnection>, check: Check) {
        let Some(line) = self.line(peer) else { return };
        let refuse = |code: Code, error: String| {
            peer.send_decision(Decision { id: check.id, code: code.into(), error, ..Decision::default() });
        };
        if self.ended.get() {
            return refuse(Code::Busy, String::new());
        }
        {
            let mut hands = line.hands.borrow_mut();
            hands.let_go(Instant::now());
            if hands.waiting.contains_key(&check.id) || hands.held.contains_key(&check.id) {
                return refuse(Code::Invalid, "id: it is in hand already".into());
            }
            if hands.waiting.len() + hands.held.len() >= IN_HAND_MOST {
                return refuse(Code::Busy, String::new());
            }
        }
        let request = match self.read(&check) {
            Ok(request) => request,
            Err(what) => return refuse(Code::Invalid, what),
        };
        line.hands.borrow_mut().waiting.insert(check.id, (0, request.clone(), check.hold));
        let id =
            self.gatekeeper.borrow_mut().check(request, f64::from(check.within_ms), check.id, line.clone());
        // Unless it is decided by now, its own number is needed to call it off.
        if let Some(entry) = line.hands.borrow_mut().waiting.get_mut(&check.id) {
            entry.0 = id;
        }
        self.count(&line);
    }

    fn settle_grant(&self, peer: &Rc<AgentConnection>, settle: Settle) {
        let Some(line) = self.line(peer) else { return };
        let held = line.hands.borrow_mut().held.remove(&settle.id);
        match held {
            Some(request) if settle.keep => self.gatekeeper.borrow_mut().count_check(&request, true),
            Some(request) => self.gatekeeper.borrow_mut().refund_check(request),
            None => {}
        }
    }

    fn outside_verdict(&self, _peer: &Rc<AgentConnection>, verdict: OutsideVerdict) {
        let said = match verdict.code() {
            VerdictWord::Ok => {
                Verdict::Ok { ahead: verdict.quota_milli as f64 / 1000.0, ahead_ms: verdict.quota_ms as f64 }
            }
            VerdictWord::Over => Verdict::Over { reset_ms: verdict.reset_ms as f64 },
            VerdictWord::Failed | VerdictWord::Unknown => Verdict::Failed,
        };
        self.gatekeeper.borrow_mut().outside_verdict(verdict.id, said);
    }

    fn usage_acknowledged(&self, _peer: &Rc<AgentConnection>, kept: &[UseKept]) {
        if let Some(usage) = self.gatekeeper.borrow_mut().usage() {
            // Those of a former life are none of this one's.
            kept.iter().filter(|k| k.started_ms == self.started_ms).for_each(|k| usage.acknowledge(&k.seqs));
        }
    }

    fn apply_epochs(&self, _peer: &Rc<AgentConnection>, epochs: Epochs) {
        if self.fences.borrow_mut().record_epochs(&epochs) {
            tracing::info!("the council's epochs are known: its decisions count from now on");
        }
    }

    fn apply_plans(&self, peer: &Rc<AgentConnection>, sent: Plans) {
        if !self.admitted(peer, PLANS_DUTY, sent.fence.as_ref(), "plans") {
            return;
        }
        let mut gatekeeper = self.gatekeeper.borrow_mut();
        // An agent that comes back may know less than another has told meanwhile.
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
        let mut figures = gatekeeper.settings.plans.clone();
        let mut unknown = Vec::new();
        for plan in &sent.plans {
            let units = |milli: u64| milli as f64 / 1000.0;
            match gatekeeper.conf.plans.iter().position(|c| c.name == plan.name) {
                Some(at) => {
                    let p = &mut figures[at];
                    (p.rate, p.burst, p.max_in_flight) =
                        (units(plan.rate_milli), units(plan.burst_milli), plan.open);
                    (p.ceiling_rate, p.ceiling_burst) =
                        (units(plan.ceiling_rate_milli), units(plan.ceiling_burst_milli));
                    p.ceiling_slack = units(plan.ceiling_slack_milli);
                }
                None => unknown.push(plan.name.clone()),
            }
        }
        // What was decided so far was under the plans before.
        let now_ms = (gatekeeper.now().max(0.0) as u64).saturating_add_signed(self.ahead);
        let turn_to = |gatekeeper: &mut Gatekeeper, revision: u64| {
            let closed = gatekeeper.usage().map_or(Vec::new(), |u| u.start_revision(revision, now_ms));
            if let Some(line) = self.keeper() {
                closed.into_iter().for_each(|batch| line.peer.send_usage(batch));
            }
        };
        let before = self.revision.get();
        if sent.revision != before {
            turn_to(&mut gatekeeper, sent.revision);
        }
        let taken = if self.keeps_plans { Ok(()) } else { gatekeeper.set_plans(figures) };
        if taken.is_err() && sent.revision != before {
            turn_to(&mut gatekeeper, before);
        }
        if taken.is_ok() {
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
                "the plans of revision {} can't be used; those in use stay",
                sent.revision
            );
        }
        let (plans, revision) = (plans(&gatekeeper), self.revision.get());
        peer.send_plans_taken(PlansTaken {
            revision,
            unknown,
            plans,
            error: taken.err().unwrap_or_default(),
        });
        drop(gatekeeper);
        self.tell_now();
    }

    fn apply_fenced_off(&self, peer: &Rc<AgentConnection>, shut: Shut) {
        if self.audit.borrow().is_none()
            || !self.admitted(peer, AUDIT_DUTY, shut.fence.as_ref(), "decisions on who is shut out")
        {
            return;
        }
        let me = self.gatekeeper.borrow().settings.own_index;
        let taken = self.audit.borrow_mut().as_mut().map(|a| a.apply_fenced_off(&self.name, me, &shut));
        match taken {
            Some(Ok(word)) => self.gatekeeper.borrow_mut().apply_fenced_off(word),
            Some(Err(why)) => {
                let version = shut.version;
                tracing::warn!(
                    version,
                    reason = why,
                    "the decision of version {version} on who is shut out is not taken: {why}"
                );
            }
            None => {}
        }
        self.tell_now();
    }

    fn apply_zone_decision(&self, peer: &Rc<AgentConnection>, guide: ZonesGuide) {
        let Some(zones) = &self.zones else { return };
        if !self.admitted(peer, ZONES_DUTY, guide.fence.as_ref(), "decisions on zones") {
            return;
        }
        let taken = zones.borrow_mut().apply_decision(&mut self.gatekeeper.borrow_mut(), &guide);
        if let Err(why) = taken {
            let version = guide.version;
            tracing::warn!(
                version,
                reason = why,
                "the decision on zones of version {version} is not taken: {why}"
            );
        }
    }

    fn restore_levels(&self, _peer: &Rc<AgentConnection>, levels: &[LevelWord]) {
        let level = |l: &LevelWord| BucketSnapshot {
            key: l.key,
            plan: l.plan as usize,
            quota_tokens: l.store_milli as f64 / 1000.0,
            ceiling_tokens: l.ceiling_milli as f64 / 1000.0,
            last_seen: 0.0,
        };
        self.gatekeeper.borrow_mut().restore(levels.iter().map(level).collect());
    }

    fn agent_stopping(&self, peer: &Rc<AgentConnection>) {
        let Some(line) = self.line(peer) else { return };
        // Reported to this one even now, if there is no other.
        self.close(false);
        line.leaving.set(true);
        let number = self.gatekeeper.borrow_mut().usage().map_or(0, |usage| usage.last_seq());
        peer.send_usage_reported(number);
    }

    fn agent_disconnected(&self, peer: &Rc<AgentConnection>, why: Option<String>) {
        match why {
            Some(why) => {
                tracing::warn!(reason = why, "an agent was cut off: {why}; RESP2 traffic goes on without it")
            }
            None => tracing::warn!("an agent has left; RESP2 traffic goes on without it"),
        }
        let Some(line) = self.lines.borrow_mut().remove(&peer.number) else { return };
        let waiting = std::mem::take(&mut line.hands.borrow_mut().waiting);
        let held = std::mem::take(&mut line.hands.borrow_mut().held);
        self.count(&line);
        let mut gatekeeper = self.gatekeeper.borrow_mut();
        // Nobody is left to say that they are not used.
        held.values().for_each(|request| gatekeeper.count_check(request, true));
        gatekeeper.cancel_checks(waiting.into_values().map(|(id, ..)| id));
        if line.outside && !self.has_outside_agent() {
            gatekeeper.link_lost();
        }
    }
}

fn state(breaker: BreakerState, counts: CallCounts) -> OutsideState {
    let word = match breaker {
        BreakerState::Closed => BreakerWord::Closed,
        BreakerState::Open => BreakerWord::Open,
        BreakerState::HalfOpen => BreakerWord::HalfOpen,
    };
    OutsideState { breaker: word.into(), failed: counts.failed, by_mode: counts.by_mode }
}

impl AgentLinks for Links {
    fn record_shop_set(&self, customer: &Name, first: u32, spread: u32) {
        if self.sets.borrow_mut().see(customer, (first, spread)) {
            for line in self.lines.borrow().values() {
                line.peer.send_shop_set(Seen { shop: customer.to_string(), first, spread });
            }
        }
    }

    fn has_outside_agent(&self) -> bool {
        self.lines.borrow().values().any(|line| line.outside)
    }

    fn ask_outside(&self, call: u64, request: &Request, within: f64) -> bool {
        // Not through `self.gatekeeper`: it is in the middle of this call.
        let lines = self.lines.borrow();
        let Some(line) = lines.values().filter(|line| line.outside).min_by_key(|line| line.peer.number)
        else {
            return false;
        };
        line.peer.send_outside_request(OutsideAsk {
            id: call,
            shop: request.customer.to_string(),
            plan: u32::try_from(request.plan).unwrap_or(u32::MAX),
            class: u32::try_from(request.class).unwrap_or(u32::MAX),
            units_milli: milli(request.units),
            within_ms: within.max(1.0) as u32,
        })
    }

    fn breaker_changed(&self, breaker: BreakerState, counts: CallCounts) {
        self.lines.borrow().values().for_each(|line| line.peer.send_breaker_state(state(breaker, counts)));
    }
}

#[cfg(test)]
mod tests;
