//! The gatekeepers of this host: a link to each, what they say of the tier, and who is asked.

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
use frostvale_link::proto::{Check, OutsideState, Plan as PlanWord, Welcome};
use frostvale_proto::agent::Gatekeeper;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tracing::Instrument;

/// Sets of shops that the owner of the audit is told of.
const SETS_TOLD: usize = 256;
/// News of one gatekeeper that are not taken up yet.
const NEWS: usize = 4096;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Member {
    name: String,
    socket: String,
    link: Link,
    state: Mutex<(String, Option<OutsideState>)>,
}

/// What a gatekeeper decided.
pub enum CheckOutcome {
    /// Granted; `held` settles it where the grant is to be held.
    Granted {
        /// In thousandths.
        remaining_milli: Option<u64>,
        /// Until the store is full.
        reset_ms: u64,
        /// To be settled.
        held: Option<HeldGrant>,
    },
    /// Over.
    OverLimit {
        /// In thousandths.
        remaining_milli: Option<u64>,
        /// Until the units fit.
        reset_ms: u64,
    },
    /// The gatekeeper can't read it: what it says of the field.
    Invalid(String),
    /// None could be asked; nothing is charged.
    NoGatekeeper,
    /// One was asked and did not answer in time: it may have charged.
    InDoubt,
}

/// A grant that is not settled yet. Dropped without a word it counts as used.
pub struct HeldGrant {
    link: Link,
    id: u64,
}

impl HeldGrant {
    /// Says whether the units are used.
    pub fn settle(self, keep: bool) {
        self.link.settle(self.id, keep);
    }
}

/// All gatekeepers of this host.
pub struct Fleet {
    members: Vec<Arc<Member>>,
    tier: RwLock<Arc<Tier>>,
    sets: Mutex<ShopSets>,
    turn: AtomicU32,
    up: watch::Sender<usize>,
    default_set: (u32, u32),
}

impl Fleet {
    /// Connects to all of them, for as long as the runtime lives.
    pub fn start(
        config: &Config,
        outside: Option<Arc<Outside>>,
        record: Option<(Arc<RecordKeeper>, mpsc::Receiver<IncomingBatch>)>,
        seat: Option<&Arc<CouncilSeat>>,
    ) -> Arc<Fleet> {
        let rls = config.rls.clone().unwrap_or_default();
        let mut members = Vec::new();
        let mut heard = Vec::new();
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
            let (tell, news) = mpsc::channel(NEWS);
            let (link, work) = agent::connect(options, tell);
            tokio::spawn(work);
            let (name, socket) = (g.name.clone(), g.socket.display().to_string());
            let state = Mutex::new(("not connected yet".to_string(), None));
            members.push(Arc::new(Member { name, socket, link, state }));
            heard.push(news);
        }
        let fleet = Arc::new(Fleet {
            members,
            tier: RwLock::default(),
            sets: Mutex::default(),
            turn: AtomicU32::new(0),
            up: watch::Sender::new(0),
            default_set: (rls.default_set.first, rls.default_set.spread),
        });
        if let Some(audit) = seat.and_then(|s| s.audit.as_ref()) {
            let links = fleet.members.iter().map(|m| (m.name.clone(), m.link.clone())).collect();
            let own = fleet.clone();
            audit.set_links(links, move || lock(&own.sets).distinct(SETS_TOLD));
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
            let own = fleet.clone();
            keeper.start(links, taken, move || own.tier());
            keeper
        });
        for (k, news) in heard.into_iter().enumerate() {
            let span = tracing::debug_span!("link", instance = fleet.members[k].name);
            let hear = fleet.clone().hear(k, news, outside.clone(), keeper.clone(), seat.cloned());
            tokio::spawn(hear.instrument(span));
        }
        fleet
    }

    async fn hear(
        self: Arc<Self>,
        k: usize,
        mut news: mpsc::Receiver<LinkEvent>,
        outside: Option<Arc<Outside>>,
        keeper: Option<Arc<RecordKeeper>>,
        seat: Option<Arc<CouncilSeat>>,
    ) {
        let member = self.members[k].clone();
        let name = &member.name;
        while let Some(news) = news.recv().await {
            match news {
                LinkEvent::Connected(welcome) => {
                    lock(&member.state).0.clear();
                    self.welcomed(&welcome);
                    tracing::info!(instance = name, "gatekeeper {name} is linked, number {}", welcome.me);
                    self.count_up();
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
                        "gatekeeper {name} is not linked: {why}; checks go to others of each shop's \
                         set, or by the failure mode; connecting again"
                    );
                    *lock(&member.state) = (why, None);
                    self.count_up();
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
                            "{name} keeps the plans it has"
                        );
                    }
                    if !taken.unknown.is_empty() {
                        let unknown = taken.unknown.join(", ");
                        tracing::warn!("{name} has no place for these plans in its settings: {unknown}");
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
                    "{name} refuses what was decided under epoch {} of {}: {} {} stands",
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
                LinkEvent::AppliedVersions(acts) => {
                    if let Some(audit) = seat.as_ref().and_then(|s| s.audit.as_ref()) {
                        audit.record_applied_versions(name, acts);
                    }
                }
                LinkEvent::BreakerState(state) => {
                    tracing::info!("{name}: the breaker before the outside service is {}", word(&state));
                    lock(&member.state).1 = Some(state);
                }
                LinkEvent::OutsideRequest(ask) => match &outside {
                    Some(outside) => outside.clone().ask(ask, member.link.clone(), &self.tier()),
                    None => member.link.send_verdict(crate::outside::failed(ask.id)),
                },
            }
        }
    }

    fn count_up(&self) {
        let up = self.members.iter().filter(|m| m.link.welcome().is_some()).count();
        self.up.send_replace(up);
    }

    fn welcomed(&self, welcome: &Welcome) {
        let tier = tier_of(welcome);
        let mut known = self.tier.write().unwrap_or_else(PoisonError::into_inner);
        if **known != tier {
            if known.gatekeepers > 0 {
                tracing::warn!("the gatekeepers' settings differ; those of the one linked last are used");
            }
            *known = Arc::new(tier);
        }
    }

    /// What the gatekeepers have in common, as the last one linked told it.
    #[must_use]
    pub fn tier(&self) -> Arc<Tier> {
        self.tier.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How many are linked, as it changes.
    #[must_use]
    pub fn up(&self) -> watch::Receiver<usize> {
        self.up.subscribe()
    }

    /// The set of a shop: as the descriptor says, else as a gatekeeper saw it, else the default.
    fn set(&self, ask: &CheckRequest, gatekeepers: u32) -> (u32, u32) {
        let (first, spread) = self.default_set;
        ask.set.or_else(|| lock(&self.sets).get(&ask.shop)).unwrap_or((
            if first < gatekeepers { first } else { 0 },
            if (1..=gatekeepers).contains(&spread) { spread } else { gatekeepers },
        ))
    }

    /// Has one of the shop's set decide. One that did not get the check at all is passed over for the next.
    pub async fn decide(&self, ask: &CheckRequest, plan: &Plan, hold: bool, until: Instant) -> CheckOutcome {
        let gatekeepers = self.tier().gatekeepers;
        let set = self.set(ask, gatekeepers);
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let of = |number: u32| {
            let here = |m: &&Arc<Member>| m.link.welcome().is_some_and(|w| w.me == number);
            self.members.iter().find(|m| here(m) && m.link.is_usable())
        };
        let all =
            candidates(&ask.shop, set, gatekeepers, plan.ceiling_rate_milli > 0, turn, |n| of(n).is_some());
        for number in all {
            let Some(member) = of(number) else { continue };
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(1) {
                return CheckOutcome::NoGatekeeper;
            }
            let check = Check {
                id: 0,
                shop: ask.shop.clone(),
                plan: plan.number,
                class: ask.class,
                units_milli: ask.units_milli,
                first: set.0,
                spread: set.1,
                within_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX).min(60_000),
                hold,
            };
            match tokio::time::timeout(left, member.link.check(check)).await {
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

    /// Shops whose set is known.
    #[must_use]
    pub fn sets(&self) -> u64 {
        lock(&self.sets).len() as u64
    }

    /// Each gatekeeper as operators see it.
    #[must_use]
    pub fn status(&self) -> Vec<Gatekeeper> {
        let one = |m: &Arc<Member>| {
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
                breaker: outside.as_ref().map_or_else(String::new, |s| word(s).to_string()),
                outside_failed: outside.as_ref().map_or(0, |s| s.failed),
                outside_by_mode: outside.as_ref().map_or(0, |s| s.by_mode),
            }
        };
        self.members.iter().map(one).collect()
    }
}

/// What a gatekeeper's welcome says of the tier.
pub(crate) fn tier_of(welcome: &Welcome) -> Tier {
    Tier {
        gatekeepers: welcome.gateways,
        plans: plans(&welcome.plans),
        classes: welcome.classes.clone(),
        largest_milli: welcome.largest_milli,
    }
}

/// The plans by name, as a gatekeeper told them.
fn plans(told: &[PlanWord]) -> std::collections::BTreeMap<String, Plan> {
    let plan = |(k, p): (usize, &PlanWord)| {
        let plan = Plan {
            number: u32::try_from(k).unwrap_or(u32::MAX),
            rate_milli: p.rate_milli,
            burst_milli: p.burst_milli,
            ceiling_rate_milli: p.ceiling_rate_milli,
        };
        (p.name.clone(), plan)
    };
    told.iter().enumerate().map(plan).collect()
}

fn word(state: &OutsideState) -> &'static str {
    match state.breaker() {
        Breaker::Closed => "closed",
        Breaker::Open => "open",
        Breaker::HalfOpen => "half-open",
    }
}
