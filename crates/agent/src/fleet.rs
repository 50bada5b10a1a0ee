//! The links to the gatekeepers of this host, the tier's settings as the gatekeepers report them, and the
//! choice of the gatekeeper that decides a check.

use crate::config::Config;
use crate::council::CouncilSeat;
use crate::outside::Outside;
use crate::record::{IncomingBatch, RecordKeeper};
use frostvale_checks::read::CheckRequest;
use frostvale_checks::route::{ShopSets, candidates};
use frostvale_checks::{Plan, Tier};
use frostvale_link::agent::{self, CheckError, Link, LinkEvent, LinkOptions};
use frostvale_link::proto::decision::Code;
use frostvale_link::proto::outside_state::Breaker;
use frostvale_link::proto::{Check, OutsideState, Plan as WirePlan, Welcome};
use frostvale_proto::agent::Gatekeeper;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tracing::Instrument;

/// Limit of distinct sets of gatekeepers that are passed to the owner of the audit.
const MAX_AUDITED_SETS: usize = 256;
/// Capacity of the queue of events of one gatekeeper's link.
const EVENT_QUEUE_CAPACITY: usize = 4096;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One gatekeeper of this host.
struct Member {
    name: String,
    socket: String,
    link: Link,
    /// Why it is not connected (empty while it is), and the last reported state of its outside service.
    state: Mutex<(String, Option<OutsideState>)>,
}

/// The outcome of a check.
pub enum CheckOutcome {
    /// The units were granted.
    Granted {
        /// Remaining units in thousandths.
        remaining_milli: Option<u64>,
        /// Milliseconds until the token bucket is full.
        reset_ms: u64,
        /// The grant to settle later, where the check asked for one to be held.
        held: Option<HeldGrant>,
    },
    /// The units were refused, as the shop is over its limit.
    OverLimit {
        /// Remaining units in thousandths.
        remaining_milli: Option<u64>,
        /// Milliseconds until the bucket holds enough for the units.
        reset_ms: u64,
    },
    /// The gatekeeper rejected the check as malformed; its message names the field.
    Invalid(String),
    /// No gatekeeper could be asked; nothing was charged.
    NoGatekeeper,
    /// A gatekeeper was asked and did not answer in time: it may have charged the units.
    InDoubt,
}

/// A grant that is not settled yet. One that is dropped unsettled counts as used.
pub struct HeldGrant {
    link: Link,
    id: u64,
}

impl HeldGrant {
    /// Keeps the units (`keep`) or returns them to the bucket.
    pub fn settle(self, keep: bool) {
        self.link.settle(self.id, keep);
    }
}

/// The gatekeepers of this host.
pub struct Fleet {
    members: Vec<Arc<Member>>,
    tier: RwLock<Arc<Tier>>,
    /// The sets of gatekeepers of shops, as gatekeepers reported them.
    sets: Mutex<ShopSets>,
    /// Counts checks, to rotate between the gatekeepers of a set.
    check_count: AtomicU32,
    /// How many gatekeepers are connected.
    connected: watch::Sender<usize>,
    /// First gatekeeper and spread of shops whose set is not known.
    default_set: (u32, u32),
}

impl Fleet {
    /// Connects to all configured gatekeepers. The links are kept up until the runtime ends.
    pub fn start(
        config: &Config,
        outside: Option<Arc<Outside>>,
        record: Option<(Arc<RecordKeeper>, mpsc::Receiver<IncomingBatch>)>,
        seat: Option<&Arc<CouncilSeat>>,
    ) -> Arc<Fleet> {
        let rls = config.rls.clone().unwrap_or_default();
        let mut members = Vec::new();
        let mut receivers = Vec::new();
        for g in &config.gatekeepers {
            let options = LinkOptions {
                socket: g.socket.clone(),
                peer: config.name.clone(),
                outside: outside.is_some(),
                record: record.is_some(),
                zones: config.zones.is_some(),
                audit: config.audit.is_some(),
                max_in_flight: rls.in_hand,
            };
            let (event_tx, event_rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
            let (link, work) = agent::connect(options, event_tx);
            tokio::spawn(work);
            let (name, socket) = (g.name.clone(), g.socket.display().to_string());
            let state = Mutex::new(("not connected yet".to_string(), None));
            members.push(Arc::new(Member { name, socket, link, state }));
            receivers.push(event_rx);
        }
        let fleet = Arc::new(Fleet {
            members,
            tier: RwLock::default(),
            sets: Mutex::default(),
            check_count: AtomicU32::new(0),
            connected: watch::Sender::new(0),
            default_set: (rls.default_set.first, rls.default_set.spread),
        });
        if let Some(audit) = seat.and_then(|s| s.audit.as_ref()) {
            let links = fleet.members.iter().map(|m| (m.name.clone(), m.link.clone())).collect();
            let this = fleet.clone();
            audit.set_links(links, move || lock(&this.sets).distinct(MAX_AUDITED_SETS));
        }
        if let Some(seat) = seat {
            seat.set_links(fleet.members.iter().map(|m| m.link.clone()).collect());
        }
        let keeper = record.map(|(keeper, taken)| {
            let links = fleet
                .members
                .iter()
                .map(|m| (m.name.clone(), PathBuf::from(&m.socket), m.link.clone()))
                .collect();
            let this = fleet.clone();
            keeper.start(links, taken, move || this.tier());
            keeper
        });
        for (k, events) in receivers.into_iter().enumerate() {
            let span = tracing::debug_span!("link", instance = fleet.members[k].name);
            let handler =
                fleet.clone().handle_events(k, events, outside.clone(), keeper.clone(), seat.cloned());
            tokio::spawn(handler.instrument(span));
        }
        fleet
    }

    /// Handles the events of gatekeeper `k`'s link.
    async fn handle_events(
        self: Arc<Self>,
        k: usize,
        mut events: mpsc::Receiver<LinkEvent>,
        outside: Option<Arc<Outside>>,
        keeper: Option<Arc<RecordKeeper>>,
        seat: Option<Arc<CouncilSeat>>,
    ) {
        let member = self.members[k].clone();
        let name = &member.name;
        while let Some(event) = events.recv().await {
            match event {
                LinkEvent::Connected(welcome) => {
                    lock(&member.state).0.clear();
                    self.update_tier(&welcome);
                    tracing::info!(instance = name, "gatekeeper {name} is linked, number {}", welcome.me);
                    self.update_connected_count();
                    if let Some(keeper) = &keeper {
                        keeper.gatekeeper_connected(k, &welcome).await;
                    }
                    if let Some(seat) = &seat {
                        let (link, keeper) = (member.link.clone(), keeper.clone());
                        tokio::spawn(seat.clone().gatekeeper_connected(link, welcome, keeper));
                    }
                }
                LinkEvent::Disconnected(why) => {
                    if let Some(keeper) = &keeper {
                        keeper.gatekeeper_disconnected(k).await;
                    }
                    tracing::warn!(
                        instance = name,
                        reason = why,
                        "gatekeeper {name} is not linked: {why}; checks go to the other gatekeepers of each \
                         shop's set, or are answered by the failure mode; reconnecting"
                    );
                    *lock(&member.state) = (why, None);
                    self.update_connected_count();
                }
                LinkEvent::ShopSet(seen) => {
                    let gatekeepers = self.tier().gatekeepers;
                    lock(&self.sets).record(&seen.shop, seen.first, seen.spread, gatekeepers);
                }
                LinkEvent::UsageBatch(batch) => {
                    if let Some(keeper) = &keeper {
                        keeper.receive_batch(k, batch);
                    }
                }
                LinkEvent::UsageReported(number) => {
                    if let Some(keeper) = &keeper {
                        keeper.usage_reported(k, number);
                    }
                }
                LinkEvent::TokenLevels(levels) => {
                    if let Some(keeper) = &keeper {
                        keeper.receive_levels(k, &levels);
                    }
                }
                LinkEvent::PlansTaken(taken) => {
                    if !taken.error.is_empty() {
                        tracing::warn!(
                            instance = name,
                            revision = taken.revision,
                            reason = taken.error,
                            "gatekeeper {name} rejected the plans and keeps those in effect"
                        );
                    }
                    if !taken.unknown.is_empty() {
                        let unknown = taken.unknown.join(", ");
                        tracing::warn!(
                            "gatekeeper {name} ignores plans that are missing from its settings: {unknown}"
                        );
                    }
                    let known = self.tier();
                    let tier = Tier { plans: plans(&taken.plans), ..(*known).clone() };
                    if !taken.plans.is_empty() && tier != *known {
                        *self.tier.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(tier);
                    }
                }
                LinkEvent::FenceRefused(refused) => tracing::warn!(
                    instance = name,
                    duty = refused.duty,
                    epoch = refused.epoch,
                    stands = refused.stands,
                    "gatekeeper {name} rejected a message of epoch {} of duty {}: epoch {} of owner {} \
                     is in effect",
                    refused.epoch,
                    refused.duty,
                    refused.stands,
                    refused.owner
                ),
                LinkEvent::ZoneObservation(seen) => {
                    if let Some(zones) = seat.as_ref().and_then(|s| s.zones.as_ref()) {
                        zones.record_observation(name, seen);
                    }
                }
                LinkEvent::AppliedVersions(versions) => {
                    if let Some(audit) = seat.as_ref().and_then(|s| s.audit.as_ref()) {
                        audit.record_applied_versions(name, versions);
                    }
                }
                LinkEvent::BreakerState(state) => {
                    tracing::info!(
                        "gatekeeper {name}: the circuit breaker of the outside service is {}",
                        breaker_name(&state)
                    );
                    lock(&member.state).1 = Some(state);
                }
                LinkEvent::OutsideRequest(request) => match &outside {
                    Some(outside) => outside.clone().send_request(request, member.link.clone(), &self.tier()),
                    None => member.link.send_verdict(crate::outside::failed(request.id)),
                },
            }
        }
    }

    fn update_connected_count(&self) {
        let connected = self.members.iter().filter(|m| m.link.welcome().is_some()).count();
        self.connected.send_replace(connected);
    }

    /// Takes over the tier's settings from a gatekeeper that has connected.
    fn update_tier(&self, welcome: &Welcome) {
        let tier = tier_of(welcome);
        let mut known = self.tier.write().unwrap_or_else(PoisonError::into_inner);
        if **known != tier {
            if known.gatekeepers > 0 {
                tracing::warn!(
                    "the gatekeepers' settings differ; using those of the gatekeeper that connected last"
                );
            }
            *known = Arc::new(tier);
        }
    }

    /// The tier's settings, as reported by the gatekeeper that connected last.
    #[must_use]
    pub fn tier(&self) -> Arc<Tier> {
        self.tier.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Watches the number of connected gatekeepers.
    #[must_use]
    pub fn watch_connected(&self) -> watch::Receiver<usize> {
        self.connected.subscribe()
    }

    /// The set of a shop, as first gatekeeper and spread: from the descriptor, else as a gatekeeper reported
    /// it, else the configured default, limited to the gatekeepers that exist.
    fn set(&self, request: &CheckRequest, gatekeepers: u32) -> (u32, u32) {
        let (first, spread) = self.default_set;
        request.set.or_else(|| lock(&self.sets).get(&request.shop)).unwrap_or((
            if first < gatekeepers { first } else { 0 },
            if (1..=gatekeepers).contains(&spread) { spread } else { gatekeepers },
        ))
    }

    /// Has a gatekeeper of the shop's set decide the check before `until`. The next one is tried only where
    /// the check was not sent or the gatekeeper was busy, so that no check is charged twice. `hold` keeps a
    /// grant open until it is settled.
    pub async fn decide(
        &self,
        request: &CheckRequest,
        plan: &Plan,
        hold: bool,
        until: Instant,
    ) -> CheckOutcome {
        let gatekeepers = self.tier().gatekeepers;
        let set = self.set(request, gatekeepers);
        let check_count = self.check_count.fetch_add(1, Ordering::Relaxed);
        let find_usable = |number: u32| {
            let here = |m: &&Arc<Member>| m.link.welcome().is_some_and(|w| w.me == number);
            self.members.iter().find(|m| here(m) && m.link.is_usable())
        };
        let numbers =
            candidates(&request.shop, set, gatekeepers, plan.ceiling_rate_milli > 0, check_count, |n| {
                find_usable(n).is_some()
            });
        for number in numbers {
            let Some(member) = find_usable(number) else { continue };
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining < Duration::from_millis(1) {
                return CheckOutcome::NoGatekeeper;
            }
            let check = Check {
                id: 0,
                shop: request.shop.clone(),
                plan: plan.number,
                class: request.class,
                units_milli: request.units_milli,
                first: set.0,
                spread: set.1,
                within_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX).min(60_000),
                hold,
            };
            match tokio::time::timeout(remaining, member.link.check(check)).await {
                Err(_) => return CheckOutcome::InDoubt,
                Ok(Err(CheckError::InDoubt)) => return CheckOutcome::InDoubt,
                Ok(Err(CheckError::Unsent | CheckError::Busy)) => {}
                Ok(Ok((id, decision))) => {
                    let (remaining_milli, reset_ms) = (decision.remaining_milli, decision.reset_ms);
                    match decision.code() {
                        Code::Granted => {
                            let held = hold.then(|| HeldGrant { link: member.link.clone(), id });
                            return CheckOutcome::Granted { remaining_milli, reset_ms, held };
                        }
                        Code::Over => return CheckOutcome::OverLimit { remaining_milli, reset_ms },
                        Code::Invalid => return CheckOutcome::Invalid(decision.error),
                        Code::Busy => {}
                        Code::Unknown => return CheckOutcome::InDoubt,
                    }
                }
            }
        }
        CheckOutcome::NoGatekeeper
    }

    /// The number of shops whose set has been reported.
    #[must_use]
    pub fn sets(&self) -> u64 {
        lock(&self.sets).len() as u64
    }

    /// The state of each gatekeeper for operators.
    #[must_use]
    pub fn status(&self) -> Vec<Gatekeeper> {
        let to_status = |m: &Arc<Member>| {
            let welcome = m.link.welcome();
            let (problem, outside) = lock(&m.state).clone();
            let state = match (&welcome, m.link.is_usable()) {
                (None, _) => "down",
                (Some(_), true) => "linked",
                (Some(_), false) => "silent",
            };
            Gatekeeper {
                name: m.name.clone(),
                socket: m.socket.clone(),
                state: state.into(),
                problem: if welcome.is_none() { problem } else { String::new() },
                in_hand: m.link.in_flight() as u64,
                number: welcome.as_ref().map_or(0, |w| w.me),
                started_ms: welcome.as_ref().map_or(0, |w| w.started_ms),
                breaker: outside.as_ref().map_or_else(String::new, |s| breaker_name(s).to_string()),
                outside_failed: outside.as_ref().map_or(0, |s| s.failed),
                outside_by_mode: outside.as_ref().map_or(0, |s| s.by_mode),
            }
        };
        self.members.iter().map(to_status).collect()
    }
}

/// The tier's settings from a gatekeeper's welcome message.
pub(crate) fn tier_of(welcome: &Welcome) -> Tier {
    Tier {
        gatekeepers: welcome.gateways,
        plans: plans(&welcome.plans),
        classes: welcome.classes.clone(),
        largest_milli: welcome.largest_milli,
    }
}

/// Indexes the plans of a gatekeeper by name. A plan's number is its position in the list.
fn plans(wire_plans: &[WirePlan]) -> std::collections::BTreeMap<String, Plan> {
    let plan = |(k, p): (usize, &WirePlan)| {
        let plan = Plan {
            number: u32::try_from(k).unwrap_or(u32::MAX),
            rate_milli: p.rate_milli,
            burst_milli: p.burst_milli,
            ceiling_rate_milli: p.ceiling_rate_milli,
        };
        (p.name.clone(), plan)
    };
    wire_plans.iter().enumerate().map(plan).collect()
}

fn breaker_name(state: &OutsideState) -> &'static str {
    match state.breaker() {
        Breaker::Closed => "closed",
        Breaker::Open => "open",
        Breaker::HalfOpen => "half-open",
    }
}
