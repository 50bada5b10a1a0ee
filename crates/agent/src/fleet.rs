//! The links to the gatekeepers of this host, the tier's settings as the gatekeepers report them, and the
//! choice of the gatekeeper that decides a check.

mod events;

use self::events::Receivers;
use crate::config::Config;
use crate::council::CouncilSeat;
use crate::outside::Outside;
use crate::process_tables::{class_index, merge_tiers, plan_index};
use crate::record::{IncomingBatch, RecordKeeper};
use frostvale_checks::read::CheckRequest;
use frostvale_checks::route::{ShopSets, candidates};
use frostvale_checks::{Plan, Tier};
use frostvale_link::agent::{self, CheckError, Link, LinkOptions};
use frostvale_link::proto::decision::Code;
use frostvale_link::proto::outside_state::Breaker;
use frostvale_link::proto::{Check, OutsideState};
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
    /// Its settings as it last reported them; kept while it is not connected.
    tier: Mutex<Option<Tier>>,
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
    /// The plans and classes of all gatekeepers, by name.
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
            members.push(Arc::new(Member { name, socket, link, state, tier: Mutex::default() }));
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
            keeper.start(links, taken);
            keeper
        });
        for (k, events) in receivers.into_iter().enumerate() {
            let span = tracing::debug_span!("link", instance = fleet.members[k].name);
            let receivers =
                Receivers { outside: outside.clone(), keeper: keeper.clone(), seat: seat.cloned() };
            tokio::spawn(fleet.clone().handle_events(k, events, receivers).instrument(span));
        }
        fleet
    }

    fn update_connected_count(&self) {
        let connected = self.members.iter().filter(|m| m.link.welcome().is_some()).count();
        self.connected.send_replace(connected);
    }

    /// Takes over the settings that a gatekeeper has reported.
    fn update_tier(&self, member: &Member, reported: Tier) {
        let mut known = self.tier.write().unwrap_or_else(PoisonError::into_inner);
        *lock(&member.tier) = Some(reported.clone());
        let others: Vec<Tier> = self.members.iter().filter_map(|m| lock(&m.tier).clone()).collect();
        let merged = merge_tiers(others.iter(), &reported);
        if **known == merged {
            return;
        }
        if others.iter().any(|other| *other != reported) {
            tracing::warn!(
                "the gatekeepers' settings differ; each one's messages are read by its own settings, and calls \
                 may name the plans and classes of any"
            );
        }
        *known = Arc::new(merged);
    }

    /// The plans and classes of all gatekeepers; where settings differ, those that were reported last.
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
    /// the check was not sent or the gatekeeper was busy or lacks the plan or class, so that no check is
    /// charged twice. `hold` keeps a grant open until it is settled.
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
            self.members.iter().find_map(|m| {
                let welcome = m.link.welcome().filter(|w| w.me == number && m.link.is_usable())?;
                Some((m, welcome))
            })
        };
        let numbers =
            candidates(&request.shop, set, gatekeepers, plan.ceiling_rate_milli > 0, check_count, |n| {
                find_usable(n).is_some()
            });
        for number in numbers {
            let Some((member, welcome)) = find_usable(number) else { continue };
            let class = request.class.as_deref().map_or(Some(0), |name| class_index(&welcome, name));
            let (Some(plan), Some(class)) = (plan_index(&welcome, &request.plan), class) else { continue };
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining < Duration::from_millis(1) {
                return CheckOutcome::NoGatekeeper;
            }
            let check = Check {
                id: 0,
                shop: request.shop.clone(),
                plan,
                class,
                units_milli: request.units_milli,
                first: set.0,
                spread: set.1,
                within_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX).min(60_000),
                hold,
            };
            match tokio::time::timeout(remaining, member.link.check(&welcome, check)).await {
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

fn breaker_name(state: &OutsideState) -> &'static str {
    match state.breaker() {
        Breaker::Closed => "closed",
        Breaker::Open => "open",
        Breaker::HalfOpen => "half-open",
    }
}
