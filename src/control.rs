//! Admission control, rate limiting and routing of one gatekeeper. Types of the interface: `src/api.rs`.
//!
//! A request passes, in this order, the customer's token bucket (quota), the customer's hard ceiling, the
//! adaptive throttle and the choice of a server; failed attempts may be repeated. The bucket is held by the
//! quota owner, one gatekeeper of the customer's set, which the others ask for the units of each request. The
//! throttle refuses a request locally with the probability max(0, (requests - multiplier * accepts) /
//! (requests + 1)), counted per priority tier over a sliding window.

mod checks;
mod customers;
mod endpoints;
mod restore;
mod server_choice;
mod throttle;
mod warm_up;
mod zone_observation;

use crate::accept_window::AcceptWindow;
use crate::aggregate_limit::LimitDivision;
use crate::api::*;
use crate::estimate::{AttemptObservation, Estimator, MAX_SIMILAR_PEERS};
use crate::expiring_map::ExpiringMap;
use crate::failure_gossip::{FailureGossip, GOSSIP_MARK};
use crate::fenced_off::FencedOff;
use crate::in_flight::{InFlightRequests, PendingRequests};
use crate::outbox::Outbox;
use crate::peer_message::{PeerMessageItem, customer_key, quota_owner_at};
use crate::quota_requests::QuotaRequests;
use crate::server_index::ServerIndex;
use crate::server_state::*;
use crate::slow_start::SlowStartServers;
use crate::source_shares::SourceShares;
use crate::state::*;
use crate::tiers::tiers;
use crate::zones::ZoneRouting;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use server_choice::ServerCriteria;
use warm_up::WarmUpState;

/// Maximum expected latency at the chosen server as a share of the class's target, as latencies scatter
/// widely around it; with many gatekeepers, which can only guess a server's load, 1.5 times as much.
const LATENCY_LIMIT_SHARE: f64 = 0.19;
/// How long a request may wait for a concurrency permit, as a share of its class's target.
const PERMIT_WAIT_SHARE: f64 = 0.5;
/// Decay time of the demand in an owner's last report, and the maximum age of a report to decide by.
const OWNER_REPORT_DECAY_MS: f64 = 2000.0;
/// Timeout of a quota request as a share of the class's target: an owner silent for longer is stalled or
/// gone.
const OWNER_TIMEOUT_SHARE: f64 = 0.3;
/// The same with many gatekeepers, where the request is sent again after half of it: for most customers their
/// only data come from the owner, and message loss either way affects one quota request in seven.
const OWNER_TIMEOUT_SHARE_MANY: f64 = 0.4;
/// Maximum age of an owner's report with many gatekeepers, where each sees a customer seldom. With no newer
/// report and a silent owner a request is refused: each local share of a large set is too small for one
/// request, but all of them add up.
const MAX_OWNER_REPORT_AGE_MS: f64 = 30_000.0;
/// Units are requested up to this multiple of the rate that the owner granted or can grant; the rest is
/// refused locally.
const MAX_ASK_RATIO: f64 = 1.5;
/// More gatekeepers than this count as many. Up to this number they put many items into each message, and one
/// owner can receive them all.
const MANY_GATEKEEPERS: u32 = 16;
/// The share of a gatekeeper's message intake for one customer; a customer that needs more has several
/// owners.
const CUSTOMER_INTAKE_SHARE: f64 = 0.35;
/// Tokens for the local demand of this time are prefetched, so that most requests need not wait for the
/// owner.
const PREFETCH_MS: f64 = 400.0;
/// How long a usage report may wait for another message that goes to the same gatekeeper anyway.
const MAX_USAGE_DELAY_MS: f64 = 1000.0;
/// Lease of a permit, as a multiple of the mean latency plus 20 ms; one not returned within it counts as
/// lost.
const PERMIT_LEASE_LATENCIES: f64 = 6.0;
/// The return of a permit is sent a second time after this delay.
const PERMIT_RETURN_REPEAT_MS: f64 = 150.0;
/// The share of the peers' message intake for direct messages, in bursts of at most a tenth of a second's.
const MESSAGE_INTAKE_SHARE: f64 = 0.75;
/// The share of the peers' message intake for broadcasts.
const GOSSIP_INTAKE_SHARE: f64 = 0.25;
/// A customer without a request for this long is evicted: by then every bucket is full again.
const CUSTOMER_IDLE_MS: f64 = 60_000.0;
/// The share of a further attempt that each request adds to the retry budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// Maximum of the retry budget, in attempts.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Timer tokens: of failure gossip, of the outbox, and above these of pending requests (`OUTBOX_TIMER` plus
/// the request's number).
const GOSSIP_TIMER: u64 = 0;
const OUTBOX_TIMER: u64 = 1;

/// Decision state of one gatekeeper. The host passes it events and carries out the returned actions.
pub struct Control {
    cfg: Settings,
    rng: Pcg64Mcg,
    /// Time of the latest event, in ms. It never goes backwards.
    now: f64,
    /// When this incarnation received its first event.
    started_at: Option<f64>,
    customers: ExpiringMap<Customer>,
    max_customers: usize,
    outbox: Outbox,
    servers: ServerIndex,
    slow_start: SlowStartServers,
    /// Numbers of removed servers that may still have attempts in flight.
    departed: Vec<u32>,
    failure_gossip: FailureGossip,
    in_flight: InFlightRequests,
    pending: PendingRequests,
    quota_requests: QuotaRequests,
    fleet: FleetState,
    /// Priority tier by class and plan.
    tier_of: Vec<Vec<usize>>,
    accept_window: AcceptWindow,
    source_shares: SourceShares,
    zone_routing: ZoneRouting,
    fenced_off: FencedOff,
    /// By tier, when the throttle last let a request through.
    last_passed_at: Vec<f64>,
    /// Further attempts that may be sent now; each request adds to it.
    retry_budget: f64,
    /// `LATENCY_LIMIT_SHARE`, adjusted to the number of gatekeepers.
    latency_limit_share: f64,
    warm_up: WarmUpState,
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
}

/// Broadcasts per second that many gatekeepers may send together, as part of what each one can receive.
fn gossip_rate(cfg: &Settings) -> f64 {
    if cfg.peer_messages { GOSSIP_INTAKE_SHARE * cfg.peer_intake_per_second } else { 0.0 }
}

impl Control {
    /// Creates a gatekeeper with no observations. All random draws derive from `seed`.
    ///
    /// # Errors
    /// If a setting is out of its range; see [`Settings::check`].
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        cfg.check()?;
        let (tier_of, tiers) = tiers(&cfg.classes, &cfg.plans);
        let many = cfg.gatekeepers > MANY_GATEKEEPERS;
        Ok(Control {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            started_at: None,
            customers: ExpiringMap::default(),
            max_customers: usize::MAX,
            servers: ServerIndex::default(),
            slow_start: SlowStartServers::default(),
            departed: Vec::new(),
            failure_gossip: FailureGossip::new(
                (cfg.own_index, cfg.gatekeepers),
                if many { gossip_rate(&cfg) } else { 0.0 },
                seed,
            ),
            in_flight: InFlightRequests::default(),
            pending: PendingRequests::default(),
            quota_requests: QuotaRequests::new(seed),
            outbox: Outbox::default(),
            fleet: FleetState {
                class_service_time_ms: vec![0.0; cfg.classes.len()],
                ..FleetState::default()
            },
            tier_of,
            accept_window: AcceptWindow::new(tiers, many),
            source_shares: SourceShares::default(),
            zone_routing: ZoneRouting::new(cfg.zone, tiers),
            fenced_off: FencedOff::default(),
            last_passed_at: vec![f64::NEG_INFINITY; tiers],
            retry_budget: MAX_RETRY_BUDGET,
            latency_limit_share: LATENCY_LIMIT_SHARE
                * (1.5 - 0.5 * (MAX_SIMILAR_PEERS / f64::from(cfg.gatekeepers)).min(1.0)),
            warm_up: WarmUpState::default(),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Whether there are so many gatekeepers that each observes only a small part of the traffic.
    fn has_many_gatekeepers(&self) -> bool {
        self.cfg.gatekeepers > MANY_GATEKEEPERS
    }

    fn estimator(&self) -> Estimator<'_> {
        Estimator { fleet: &self.fleet, cfg: &self.cfg, servers: self.servers.len(), now: self.now }
    }

    fn limit_division(&self) -> LimitDivision {
        LimitDivision {
            can_ask_owner: self.cfg.peer_messages,
            is_single: self.cfg.gatekeepers == 1,
            max_request_units: self.cfg.max_request_units,
        }
    }

    /// Handles an event that happened at `now` (ms) and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        match event {
            Event::EndpointUpdate { kind, servers } => self.on_endpoint_update(kind, servers),
            Event::Request(request) => self.on_request(request, false),
            Event::Check(request) => self.on_request(request, true),
            Event::Unused(request) => self.on_unused(&request),
            Event::Plans(plans) => self.on_plans(plans),
            Event::Restore(snapshots) => self.on_restore(&snapshots),
            Event::RoutingSnapshot(snapshot) => self.zone_routing.apply_snapshot(self.now, snapshot),
            Event::FenceOff(decision) => self.fenced_off.apply_decision(self.now, &decision),
            Event::AttemptEnded(result) => self.on_attempt_ended(&result),
            Event::ClientDisconnected { id } => self.on_client_disconnected(id),
            Event::PeerMessage { from, text } if self.fenced_off.accepts_messages_from(self.now, from) => {
                self.on_peer_message(from, &text)
            }
            Event::PeerMessage { .. } => {}
            Event::Timer { token: GOSSIP_TIMER } => {}
            Event::Timer { token: OUTBOX_TIMER } => self.outbox.wakeup_at = None,
            Event::Timer { token } => self.on_wait_timeout(token.saturating_sub(OUTBOX_TIMER)),
            Event::Probed { .. } => {}
        }
        self.run_due_work();
        std::mem::take(&mut self.actions)
    }

    /// Total number of failure gossip entries that were ignored because they could not be parsed or named an
    /// unknown server.
    #[must_use]
    pub fn gossip_entries_dropped(&self) -> u64 {
        self.failure_gossip.dropped_entries
    }

    // ---- requests: token bucket, ceiling, throttle, server ----

    /// Handles a request or check: local limits, then the quota, by asking the owner or as the owner.
    fn on_request(&mut self, request: Request, is_check: bool) {
        let (now, own_index, gatekeepers) = (self.now, self.cfg.own_index, self.cfg.gatekeepers);
        let tier = self.tier_of.get(request.class).and_then(|row| row.get(request.plan)).copied();
        let Some(tier) = tier.filter(|_| !self.fenced_off.is_fenced_off(now)) else {
            return self.refuse(&request, is_check, RefusalReason::FencedOff);
        };
        if !is_check {
            self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
        }
        let key = customer_key(&request.customer);
        if !self.has_room_for_customer(key) {
            return self.refuse(&request, is_check, RefusalReason::TooManyCustomers);
        }
        let plan = self.cfg.plans[request.plan].clone();
        let spread = if request.spread == 0 { gatekeepers } else { request.spread.min(gatekeepers) };
        let quota_owner = self.quota_owner_of(key, &request);
        let (target_ms, plan_index, units) =
            (self.cfg.classes[request.class].target_ms, request.plan, request.units);
        let mean_latency_ms = self.fleet.mean_latency_ms.max(1.0);
        let (division, many) = (self.limit_division(), self.has_many_gatekeepers());
        let (draw, set_size) = (if is_check { self.rng.random::<f64>() } else { 1.0 }, f64::from(spread));
        let c = self.customer_entry(key, plan_index);
        let elapsed_ms = now - c.local_shares_at;
        c.local_shares_at = now;
        c.local_demand *= (-elapsed_ms / DEMAND_DECAY_MS).exp();
        c.local_ceiling.refill(division.local_share(&plan, set_size), elapsed_ms);
        c.local_quota =
            (c.local_quota + plan.rate / set_size * elapsed_ms / 1000.0).min(plan.burst / set_size);
        if division.is_local_only(&plan) && !c.local_ceiling.has(units) {
            return self.refuse(&request, is_check, RefusalReason::Ceiling);
        }
        // The refusal rule of the throttle, applied to the units asked of the owner and those it granted.
        let (reported_at, demand, granted) =
            (c.owner_report.received_at, c.owner_report.demand, c.owner_report.granted);
        // Agents send checks directly to the owner. With none refused early, checks would take each unit
        // before requests at other gatekeepers; with all refused early, the owner's own requests would, as
        // these never are. So a random 1 / set size of the checks is exempt, as if they were spread over the
        // set.
        let is_own_check = is_check && quota_owner == own_index;
        let (reported_at, demand, granted) =
            if is_own_check { (c.refilled_at, c.demand, c.granted) } else { (reported_at, demand, granted) };
        let demand = demand * (-(now - reported_at) / OWNER_REPORT_DECAY_MS).exp();
        // The rate that quota and permits allow is requested in any case: otherwise grants would sink
        // further.
        let shares_permits = plan.max_in_flight > 0 && plan.max_in_flight < spread;
        // A check has nothing in flight, so it needs no permit.
        let uses_shared_permit = shares_permits && !is_check;
        c.local_permits =
            if plan.max_in_flight > 0 && !shares_permits { plan.max_in_flight / spread } else { u32::MAX };
        let permit_rate = if uses_shared_permit {
            f64::from(plan.max_in_flight) * units * 1000.0 / mean_latency_ms
        } else {
            f64::INFINITY
        };
        let allowed_rate = permit_rate.min(if plan.rate > 0.0 { plan.rate } else { f64::INFINITY });
        let ask_probability =
            1.0 - ((demand - MAX_ASK_RATIO * granted.max(allowed_rate)) / (demand + units)).max(0.0);
        let ask_probability = if draw * set_size < 1.0 { 1.0 } else { ask_probability };
        let weight = units / ask_probability;
        c.local_demand += units * 1000.0 / DEMAND_DECAY_MS;
        let has_prefetched = !shares_permits && c.prefetched_tokens >= units && c.local_ceiling.has(units);
        c.prefetched_tokens -= if has_prefetched { units } else { 0.0 };
        c.request_credit += ask_probability;
        if (quota_owner != own_index || is_check) && !has_prefetched && c.request_credit < 1.0 {
            return self.refuse(&request, is_check, RefusalReason::Quota);
        }
        c.request_credit = (c.request_credit - 1.0).clamp(0.0, 1.0);
        c.unreported_demand += weight;
        let mut prefetch_units = c.local_demand * PREFETCH_MS / 1000.0 - c.prefetched_tokens;
        let many_with_ceiling = many && plan.ceiling_rate > 0.0;
        if shares_permits
            || many_with_ceiling
            || quota_owner == own_index
            || prefetch_units < units
            || now - c.prefetched_at < PREFETCH_MS / 4.0
        {
            prefetch_units = 0.0;
        }
        // A client's retry may have little time left: never wait past half of it.
        let max_wait_ms = (PERMIT_WAIT_SHARE * target_ms).min((request.deadline - now).max(0.0) / 2.0);
        let number = self.quota_requests.next_number();
        let owner_holds_all = division.owner_holds_all(&plan, set_size);
        // A request for a shared permit may wait in the owner's queue; others are useless after the timeout.
        let timeout_ms = if many {
            (OWNER_TIMEOUT_SHARE_MANY * target_ms).min(max_wait_ms)
        } else {
            (OWNER_TIMEOUT_SHARE * target_ms).min(max_wait_ms / 2.0)
        };
        let until = now + if uses_shared_permit { max_wait_ms } else { timeout_ms };
        let quota_request = QuotaRequest {
            from: own_index,
            number,
            units,
            prefetch_units: 0.0,
            uses_shared_permit,
            owner_holds_all,
            until,
        };
        let permit = Some(number);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let (until, awaits_permit) = (now + max_wait_ms, true);
        let retransmission = None;
        let mut state = RequestState {
            request,
            is_check,
            key,
            quota_owner,
            tier,
            arrived_at: now,
            number,
            permit,
            until,
            awaits_permit,
            retransmission,
        };
        if quota_owner == own_index {
            return match self
                .decide_quota(key, plan_index, quota_request, if is_check { weight } else { units })
                .0
            {
                QuotaReply::Grant => self.admit(state),
                QuotaReply::Deny => self.refuse(&state.request, is_check, RefusalReason::Quota),
                QuotaReply::Wait => self.enqueue_pending(state),
            };
        }
        let weight = c.unreported_demand;
        if self.cfg.peer_messages && (!has_prefetched || prefetch_units > 0.0) {
            let quota_request = QuotaRequest {
                units: if has_prefetched { 0.0 } else { units },
                prefetch_units,
                ..quota_request
            };
            c.unreported_demand = 0.0;
            c.prefetched_at = if prefetch_units > 0.0 { now } else { c.prefetched_at };
            state.retransmission = (many && !has_prefetched).then_some((quota_request, weight));
            self.quota_requests.record_sent();
            self.enqueue_message(
                quota_owner,
                key,
                (0.0, quota_request.until),
                PeerMessageItem::Request { plan: plan_index, quota_request, weight },
            );
        }
        if has_prefetched {
            state.permit = None;
            return self.admit(state);
        }
        state.until = match (self.cfg.peer_messages, many) {
            (false, _) => now,
            (true, true) => now + timeout_ms / 2.0,
            (true, false) => now + timeout_ms,
        };
        (state.awaits_permit, state.permit) = (false, None);
        self.enqueue_pending(state);
    }

    /// The gatekeeper of the customer's set that holds its bucket, by the customer's key; with several
    /// owners, by this gatekeeper's number too.
    fn quota_owner_of(&self, key: u64, request: &Request) -> u32 {
        let owner_key = key + u64::from(self.cfg.own_index % self.quota_owner_count(request.plan));
        quota_owner_at(owner_key, (request.first, request.spread), self.cfg.gatekeepers)
    }

    /// Refuses a request. The retry delay is given if the bucket, as far as known here, will not hold the
    /// units within the class's target; for shorter delays the client's own backoff is better.
    fn refuse(&mut self, request: &Request, is_check: bool, reason: RefusalReason) {
        if is_check {
            return self.push_check_decision(request, false);
        }
        let target_ms = self.cfg.classes.get(request.class).map_or(0.0, |c| c.target_ms);
        let retry_after_ms =
            self.customers.get(&customer_key(&request.customer)).map(|c| self.ms_until_room(c, request));
        let retry_after_ms = retry_after_ms
            .filter(|ms| *ms > target_ms)
            .map_or(0.0, f64::ceil)
            .max(self.fenced_off.retry_after_ms(self.now));
        self.actions.push(Action::Refuse { id: request.id, retry_after_ms, reason });
    }

    /// Milliseconds until the bucket, as far as known here, holds the request's units.
    fn ms_until_room(&self, c: &Customer, request: &Request) -> f64 {
        let plan = &self.cfg.plans[c.plan as usize];
        let (at, tokens) = c.last_known_tokens();
        let ms_until = |at: f64, tokens: f64, rate: f64| {
            if rate > 0.0 { 1000.0 * (request.units - tokens) / rate + at - self.now } else { 0.0 }
        };
        let local_rate = if self.limit_division().is_local_only(plan) {
            plan.ceiling_rate / f64::from(request.spread.max(1))
        } else {
            0.0
        };
        ms_until(at, tokens, plan.rate).max(ms_until(c.local_shares_at, c.local_ceiling.tokens(), local_rate))
    }

    // ---- checks: the same bucket and ceiling, but no attempt is sent ----

    /// Decides a check that is within its quota. Without a fresh grant of the owner its units also have to be
    /// left in the local share of the ceiling.
    fn decide_check(&mut self, state: &RequestState) {
        let units = state.request.units;
        let is_covered = self
            .limit_division()
            .is_covered_by_owner(&self.cfg.plans[state.request.plan], state.permit.is_some());
        match self.customers.get_mut(&state.key) {
            Some(c) if is_covered || c.local_ceiling.has(units) => {
                c.local_ceiling.consume(if is_covered { 0.0 } else { units });
                self.push_check_decision(&state.request, true);
            }
            _ => {
                if state.permit.is_some() || state.awaits_permit {
                    self.release_unused_grant(state.key, state.quota_owner, units, None);
                }
                self.push_check_decision(&state.request, false);
            }
        }
    }

    /// The state of a customer, created if it is unknown, marked as seen now.
    fn customer_entry(&mut self, key: u64, plan: usize) -> &mut Customer {
        let p = &self.cfg.plans[plan];
        let (now, request_credit) = (self.now, self.rng.random::<f64>());
        // Shares of a ceiling are empty at a start, as the previous incarnation may have used them up, and
        // fill from then on: also for customers that appear later.
        let filled_since = self.started_at.unwrap_or(now).max(now - CUSTOMER_IDLE_MS);
        let customer = self.customers.entry(key, || Customer {
            plan: plan as u32,
            refilled_at: filled_since,
            quota_tokens: p.burst,
            request_credit,
            prefetched_at: f64::NEG_INFINITY,
            local_permits: u32::MAX,
            local_quota: p.burst,
            local_shares_at: filled_since,
            ..Customer::default()
        });
        customer.last_seen = now;
        customer
    }

    /// Keeps a request until it is granted, refused or times out at `state.until`.
    fn enqueue_pending(&mut self, state: RequestState) {
        let after = (state.until - self.now).max(0.0);
        self.actions.push(Action::SetTimer { token: OUTBOX_TIMER + state.number, after });
        self.pending.insert(state);
    }

    /// Ends a wait. Without the owner's reply, the quota request is sent again, or the local state decides.
    fn on_wait_timeout(&mut self, number: u64) {
        if self.pending.get(number).is_none_or(|state| self.now + 0.1 < state.until) {
            return;
        }
        let Some(mut state) = self.pending.remove(number) else { return };
        // Extended only if the quota request is sent again: else it would just delay a request that passes
        // anyway.
        if let Some((quota_request, weight)) =
            state.retransmission.take().filter(|_| self.quota_requests.try_resend(self.now, number))
        {
            self.enqueue_message(
                state.quota_owner,
                state.key,
                (0.0, quota_request.until),
                PeerMessageItem::Request { plan: state.request.plan, quota_request, weight },
            );
            state.until += state.until - state.arrived_at;
            return self.enqueue_pending(state);
        }
        let permit_share = f64::from(self.cfg.plans[state.request.plan].max_in_flight)
            / f64::from(state.request.spread.max(1));
        let permit_share = if state.is_check { 0.0 } else { permit_share };
        let draw = self.rng.random::<f64>();
        let many = self.has_many_gatekeepers();
        let (now, units) = (self.now, state.request.units);
        let passes = !state.awaits_permit
            && self.customers.get_mut(&state.key).is_some_and(|c| {
                // Reports get outdated as demand changes: after that the local share of the quota decides.
                let is_recent = now - c.owner_report.received_at
                    <= if many { MAX_OWNER_REPORT_AGE_MS } else { OWNER_REPORT_DECAY_MS };
                let fits = if is_recent {
                    draw * c.owner_report.demand <= c.owner_report.granted
                } else {
                    !many && c.local_quota > 0.0
                };
                let passes = fits && (permit_share <= 0.0 || f64::from(c.in_flight) < permit_share.max(1.0));
                c.local_quota = if passes { (c.local_quota - units).max(-units) } else { c.local_quota };
                passes
            });
        if passes {
            if state.is_check {
                // The owner may never have received the request; a grant that still arrives is given back.
                self.report_usage(
                    state.key,
                    state.quota_owner,
                    state.request.plan,
                    state.request.units,
                    None,
                );
            }
            return self.admit(state);
        }
        if state.awaits_permit && self.customers.get(&state.key).is_some_and(|c| c.local_permits < u32::MAX) {
            self.release_unused_grant(state.key, state.quota_owner, state.request.units, state.permit);
        }
        let reason = if state.awaits_permit { RefusalReason::NoPermit } else { RefusalReason::OwnerSilent };
        self.refuse(&state.request, state.is_check, reason);
    }

    /// Sends on a request that is within its quota, subject to local permits, ceiling, throttle and a server.
    fn admit(&mut self, mut state: RequestState) {
        if state.is_check {
            return self.decide_check(&state);
        }
        if self.customers.get(&state.key).is_some_and(|c| c.in_flight >= c.local_permits) {
            state.until =
                state.arrived_at + PERMIT_WAIT_SHARE * self.cfg.classes[state.request.class].target_ms;
            state.until = state.until.min((state.arrived_at + state.request.deadline) / 2.0);
            state.awaits_permit = true;
            let ahead = self.pending.of_customer(state.key).filter(|w| w.awaits_permit).count();
            let permits = self.customers.get(&state.key).map_or(1, |c| c.local_permits);
            if self.now + self.fleet.mean_latency_ms * (ahead + 1) as f64 / f64::from(permits) <= state.until
            {
                return self.enqueue_pending(state);
            }
            self.release_unused_grant(state.key, state.quota_owner, state.request.units, state.permit);
            return self.refuse(&state.request, false, RefusalReason::NoPermit);
        }
        let (id, plan, units) = (state.request.id, state.request.plan, state.request.units);
        // Checked again here: other requests of the customer may have been sent on while this one waited.
        let is_covered =
            self.limit_division().is_covered_by_owner(&self.cfg.plans[plan], state.permit.is_some());
        let exceeds_ceiling =
            !is_covered && self.customers.get(&state.key).is_none_or(|c| !c.local_ceiling.has(units));
        let service_time_ms = self.fleet.class_service_time_ms[state.request.class];
        let zones_refuse = self.zone_routing.should_refuse(
            self.now,
            (state.tier, state.request.class),
            service_time_ms,
            &mut self.rng,
        );
        let mut max_latency_ms = self.latency_limit_share * self.cfg.classes[state.request.class].target_ms;
        let refusal = if exceeds_ceiling {
            Some(RefusalReason::Ceiling)
        } else if zones_refuse {
            Some(RefusalReason::ZoneNarrowed)
        } else {
            let decision = self.throttle(state.tier, state.request.source);
            max_latency_ms *= decision.latency_limit_factor;
            decision.is_refused.then_some(RefusalReason::Overload)
        };
        let chosen = if refusal.is_none() {
            self.choose_server(ServerCriteria {
                class: state.request.class,
                max_latency_ms,
                group: None,
                avoid: None,
            })
        } else {
            None
        };
        let Some(server) = chosen else {
            // A client's retry that is refused here was already counted at its first try.
            if !state.request.is_retry && !exceeds_ceiling {
                self.record_acceptance(state.tier, false);
            }
            if state.permit.is_some() || state.awaits_permit {
                self.release_unused_grant(state.key, state.quota_owner, units, state.permit);
            }
            return self.refuse(&state.request, false, refusal.unwrap_or(RefusalReason::NoServer));
        };
        if let Some(c) = self.customers.get_mut(&state.key) {
            c.local_ceiling.consume(if is_covered { 0.0 } else { units });
            c.in_flight += 1;
        }
        let in_flight = InFlightRequest {
            state,
            attempts: 0,
            client_gone: false,
            sent_at: self.now,
            sent_to: (0, 0),
            load_when_sent: 0.0,
            may_have_run: None,
        };
        self.in_flight.insert(in_flight);
        self.send_attempt(id, server);
    }

    /// How many owners share a customer's units, each for its part of the gatekeepers.
    fn quota_owner_count(&self, plan: usize) -> u32 {
        let plan = &self.cfg.plans[plan];
        let requests = 2.0 * plan.rate / (1.0 + self.cfg.max_request_units.max(1.0));
        let owners =
            MAX_ASK_RATIO * requests / (CUSTOMER_INTAKE_SHARE * self.cfg.peer_intake_per_second.max(1.0));
        if plan.max_in_flight > 0 {
            1
        } else {
            (owners.ceil() as u32).clamp(1, 1 + self.cfg.gatekeepers / MANY_GATEKEEPERS)
        }
    }

    /// At the owner: refills buckets, decays demand, drops expired permits and waiting requests.
    fn refill_bucket(&mut self, key: u64) {
        let Some(plan) = self.customers.get(&key).map(|c| c.plan as usize) else { return };
        let (owners, division, many) =
            (f64::from(self.quota_owner_count(plan)), self.limit_division(), self.has_many_gatekeepers());
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        let elapsed_ms = self.now - c.refilled_at;
        c.refilled_at = self.now;
        c.quota_tokens = (c.quota_tokens + plan.rate / owners * elapsed_ms / 1000.0).min(plan.burst / owners);
        c.owner_ceiling
            .refill(division.owner_share(plan, owners, c.owner_holds_all == Some(true)), elapsed_ms);
        c.demand *= (-elapsed_ms / DEMAND_DECAY_MS).exp();
        c.granted *= (-elapsed_ms / DEMAND_DECAY_MS).exp();
        // Many gatekeepers cannot tell how long the others' attempts take: the lease is the longest target.
        let max_target_ms = self.cfg.classes.iter().fold(0.0, |longest: f64, c| longest.max(c.target_ms));
        let lease_ms =
            if many { max_target_ms } else { PERMIT_LEASE_LATENCIES * (self.fleet.mean_latency_ms + 20.0) };
        let now = self.now;
        if let Some(p) = &mut c.permits {
            while p.granted.front().is_some_and(|(_, at)| now - at > lease_ms) {
                p.granted.pop_front();
            }
            p.waiting.retain(|quota_request| quota_request.until > now);
        }
    }

    /// At the owner: grants free permits to waiting quota requests in order, and denies those without tokens.
    fn grant_waiting_permits(&mut self, key: u64) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        let Some(permits) = &mut c.permits else { return };
        let mut replies = Vec::new();
        while permits.granted.len() < plan.max_in_flight as usize
            && let Some(quota_request) = permits.waiting.pop_front()
        {
            if plan.rate > 0.0 && c.quota_tokens < quota_request.units {
                replies.push((quota_request, QuotaReply::Deny, 0.0));
                continue;
            }
            c.quota_tokens -= quota_request.units;
            c.granted += quota_request.units * 1000.0 / DEMAND_DECAY_MS;
            permits.granted.push_back(((quota_request.from, quota_request.number), now));
            replies.push((quota_request, QuotaReply::Grant, quota_request.units));
        }
        replies.iter().for_each(|(quota_request, reply, units)| {
            self.send_quota_reply(key, quota_request, *reply, *units)
        });
    }

    /// At the owner: decides a quota request. Granted units are charged at once.
    fn decide_quota(
        &mut self,
        key: u64,
        plan: usize,
        quota_request: QuotaRequest,
        weight: f64,
    ) -> (QuotaReply, f64) {
        let c = self.customer_entry(key, plan);
        c.owner_holds_all = Some(quota_request.owner_holds_all && c.owner_holds_all != Some(false));
        self.refill_bucket(key);
        // A permit whose return was lost becomes free by its lease alone, which no message would announce.
        self.grant_waiting_permits(key);
        let (now, mean_latency_ms) = (self.now, self.fleet.mean_latency_ms);
        let Some(c) = self.customers.get_mut(&key) else { return (QuotaReply::Deny, 0.0) };
        let plan = &self.cfg.plans[c.plan as usize];
        c.demand += weight * 1000.0 / DEMAND_DECAY_MS;
        let has_tokens = (plan.rate <= 0.0 || c.quota_tokens >= quota_request.units)
            && c.owner_ceiling.has(quota_request.units);
        let (permits_granted, requests_waiting) =
            c.permits.as_ref().map_or((0, 0), |p| (p.granted.len(), p.waiting.len()));
        let has_permit = !quota_request.uses_shared_permit
            || (permits_granted < plan.max_in_flight as usize && requests_waiting == 0);
        if has_tokens && has_permit {
            // At most half of the remaining tokens are prefetched: other gatekeepers ask too.
            let units = quota_request.units
                + quota_request.prefetch_units.min((c.quota_tokens - quota_request.units) / 2.0).max(0.0);
            c.quota_tokens -= units;
            c.granted += units * 1000.0 / DEMAND_DECAY_MS;
            // Prefetched units are used later, under the local share of the gatekeeper that uses them.
            c.owner_ceiling.consume(quota_request.units);
            if quota_request.uses_shared_permit {
                c.permits
                    .get_or_insert_default()
                    .granted
                    .push_back(((quota_request.from, quota_request.number), now));
            }
            return (QuotaReply::Grant, units);
        }
        let expected_wait_ms =
            mean_latency_ms * (requests_waiting + 1) as f64 / f64::from(plan.max_in_flight.max(1));
        if has_tokens && !has_permit && now + expected_wait_ms <= quota_request.until {
            c.permits.get_or_insert_default().waiting.push_back(quota_request);
            return (QuotaReply::Wait, 0.0);
        }
        (QuotaReply::Deny, 0.0)
    }

    /// At the owner: applies a report of units used without a grant (negative: given back) and a returned
    /// permit.
    fn apply_usage(&mut self, key: u64, plan: usize, units: f64, permit: Option<(u32, u64)>) {
        self.customer_entry(key, plan);
        self.refill_bucket(key);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        c.quota_tokens = (c.quota_tokens - units).clamp(-plan.burst, plan.burst);
        if let Some(p) = &mut c.permits {
            p.granted.retain(|(id, _)| Some(*id) != permit);
        }
        self.grant_waiting_permits(key);
    }

    /// At the owner: sends a reply, with the customer's demand, grants and tokens.
    fn send_quota_reply(&mut self, key: u64, quota_request: &QuotaRequest, reply: QuotaReply, units: f64) {
        if quota_request.from == self.cfg.own_index {
            return self.on_quota_reply(key, quota_request.from, quota_request.number, reply, units);
        }
        let Some(c) = self.customers.get(&key) else { return };
        let (QuotaRequest { from, number, .. }, demand, granted, quota_tokens) =
            (*quota_request, c.demand, c.granted, c.quota_tokens);
        if self.has_many_gatekeepers() {
            self.quota_requests.record_reply(self.now, (key, from, number), reply, units);
        }
        // A denial is useless after the timeout; a late grant is still sent, so that it is given back.
        let until = if reply == QuotaReply::Deny { quota_request.until } else { f64::INFINITY };
        self.enqueue_message(
            from,
            key,
            (0.0, until),
            PeerMessageItem::Reply { number, reply, units, demand, granted, quota_tokens },
        );
    }

    /// Handles a quota owner's reply to a quota request of this gatekeeper.
    fn on_quota_reply(&mut self, key: u64, quota_owner: u32, number: u64, reply: QuotaReply, units: f64) {
        if !self.quota_requests.is_new_reply(self.now, number, reply) {
            return;
        }
        // A reply to a former process of this gatekeeper may have the number of a request of this one.
        let is_answered = |state: &RequestState| state.key == key && state.quota_owner == quota_owner;
        let pending = match self.pending.get(number).is_some_and(is_answered) {
            true => self.pending.remove(number),
            false => None,
        };
        match (pending, reply) {
            (Some(state), QuotaReply::Grant) => {
                self.release_unused_grant(key, quota_owner, units - state.request.units, None);
                self.admit(RequestState { permit: Some(number), ..state });
            }
            (Some(state), QuotaReply::Deny) => {
                self.refuse(&state.request, state.is_check, RefusalReason::Quota)
            }
            (Some(mut state), QuotaReply::Wait) => {
                let max_wait_ms = PERMIT_WAIT_SHARE * self.cfg.classes[state.request.class].target_ms;
                state.until =
                    state.arrived_at + max_wait_ms.min((state.request.deadline - state.arrived_at) / 2.0);
                state.awaits_permit = true;
                self.enqueue_pending(state);
            }
            // A late grant counts for the request if that was sent on without it; else it is given back.
            (None, QuotaReply::Grant) => {
                let in_flight = self.in_flight.by_number(number).filter(|h| is_answered(&h.state));
                if let Some(h) = in_flight.filter(|h| h.state.permit.is_none()) {
                    h.state.permit = Some(number);
                } else {
                    self.release_unused_grant(key, quota_owner, units, Some(number));
                }
            }
            _ => {}
        }
    }

    /// Keeps granted, unused units for the next requests if local demand will use them, else gives them back.
    fn release_unused_grant(&mut self, key: u64, quota_owner: u32, units: f64, permit: Option<u64>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan_index = c.plan as usize;
        let plan = &self.cfg.plans[plan_index];
        let uses_shared_permit = plan.max_in_flight > 0 && c.local_permits == u32::MAX;
        if !uses_shared_permit
            && quota_owner != self.cfg.own_index
            && c.local_demand * PREFETCH_MS / 500.0 >= units + c.prefetched_tokens
        {
            c.prefetched_tokens += units;
        } else if units > 0.0 || uses_shared_permit && permit.is_some() {
            self.report_usage(key, quota_owner, plan_index, -units, permit);
        }
    }

    /// Reports units used without a grant (negative: unused) and a returned permit to the owner.
    fn report_usage(&mut self, key: u64, quota_owner: u32, plan: usize, units: f64, permit: Option<u64>) {
        if quota_owner == self.cfg.own_index {
            self.apply_usage(key, plan, units, permit.map(|k| (quota_owner, k)));
        } else if permit.is_some() || (units != 0.0 && self.cfg.plans[plan].rate > 0.0) {
            let max_delay_ms = if permit.is_some() { 0.0 } else { MAX_USAGE_DELAY_MS };
            self.enqueue_message(
                quota_owner,
                key,
                (max_delay_ms, f64::INFINITY),
                PeerMessageItem::Usage { plan, units, permit },
            );
        }
    }

    /// Sends the next attempt of a request to a server and records it.
    fn send_attempt(&mut self, id: u64, server: Name) {
        let Some(s) = self.servers.get(&server) else { return };
        let (estimator, class) =
            (self.estimator(), self.in_flight.get(id).map_or(0, |h| h.state.request.class));
        let (mean_loads, mean_in_flight) = (estimator.mean_loads(), estimator.mean_in_flight());
        let (load, expected) =
            (estimator.server_load(s, mean_loads), estimator.expected_latency_ms(s, class, mean_loads));
        (self.fleet.mean_in_flight, self.fleet.mean_updated_at) = (mean_in_flight, self.now);
        self.fleet.in_flight += 1;
        self.connection_taken(&server);
        let (Some(s), Some(h)) = (self.servers.get_mut(&server), self.in_flight.get_mut(id)) else { return };
        s.update_mean(self.now);
        s.in_flight.insert(id, self.now);
        (s.last_sent_at, s.interval_phase) = (self.now, 0.0);
        self.zone_routing.record_sent(s.zone);
        h.attempts += 1;
        h.sent_at = self.now;
        h.sent_to = (s.zone, s.cell);
        h.load_when_sent = load;
        self.failure_gossip.attempt_sent(self.now, id, &server, expected);
        let class = &self.cfg.classes[h.state.request.class];
        // If late answers are worth nothing, the attempt ends at the target: silence must not look like
        // overload.
        let latest_useful =
            if class.late_worth > 0.0 { f64::INFINITY } else { h.state.arrived_at + class.target_ms };
        let deadline = h.state.request.deadline.min(latest_useful);
        let start_deadline = match (class.effect, h.may_have_run) {
            (Effect::Keyed(_), Some((.., at))) => at + class.dedup_window_ms,
            _ => f64::INFINITY,
        };
        self.actions.push(Action::Send { id, server, deadline, start_deadline });
    }

    /// Drops a pending request; one in flight ends with its attempt, and counts as not accepted if late.
    fn on_client_disconnected(&mut self, id: u64) {
        self.pending.remove_id(id);
        let Some(h) = self.in_flight.get_mut(id) else { return };
        h.client_gone = true;
        let (tier, is_late) =
            (h.state.tier, self.now - h.state.arrived_at > self.cfg.classes[h.state.request.class].target_ms);
        if is_late {
            self.record_acceptance(tier, false);
        }
    }

    /// Records the result of an attempt, then ends the request or sends a further attempt.
    fn on_attempt_ended(&mut self, result: &AttemptResult) {
        (self.fleet.mean_in_flight, self.fleet.mean_updated_at) =
            (self.estimator().mean_in_flight(), self.now);
        let (estimator, server) = (self.estimator(), self.servers.get(&result.server));
        let (service_time_ms, capacity_share) =
            server.map_or((0.0, 1.0), |s| (estimator.service_time_ms(s), estimator.capacity_share(s)));
        let many = self.has_many_gatekeepers();
        let Some(h) = self.in_flight.get_mut(result.id) else { return };
        let (key, quota_owner, class, load) =
            (h.state.key, h.state.quota_owner, h.state.request.class, h.load_when_sent);
        let (plan, units) = (h.state.request.plan, h.state.request.units);
        let succeeded = match result.outcome {
            AttemptOutcome::Ok => Some(true),
            AttemptOutcome::Cancelled | AttemptOutcome::Moot => None,
            _ => Some(false),
        };
        self.failure_gossip.attempt_ended(self.now, result.id, &result.server, succeeded);
        if let Some(s) = self.servers.get_mut(&result.server)
            && s.in_flight.contains_key(&result.id)
        {
            s.update_mean(self.now);
            s.in_flight.remove(&result.id);
            self.fleet.in_flight = self.fleet.in_flight.saturating_sub(1);
            if result.outcome.may_have_run() && h.may_have_run.is_none() {
                h.may_have_run = Some((h.sent_to.0, h.sent_to.1, h.sent_at));
            }
            // With few gatekeepers each sends a good part of the load, and its own request count says more
            // than a past CPU utilization.
            let load_report = result
                .load_report
                .map(|r| LoadReport { cpu_utilization: r.cpu_utilization.filter(|_| many), ..r });
            if let Some(load_report) = load_report {
                self.fleet.record_load_report(s, self.now, load_report);
            }
            let max_service_time_ms = self.latency_limit_share * self.cfg.classes[class].target_ms;
            let (now, outcome, latency) = (self.now, result.outcome, result.latency);
            let times = (self.fleet.class_service_time_ms[class], self.cfg.classes[class].target_ms);
            self.zone_routing.record_result(self.now, (s.zone, class, capacity_share), result, times);
            self.fleet.record_attempt(
                s,
                &AttemptObservation {
                    now,
                    outcome,
                    latency,
                    class,
                    load,
                    service_time_ms,
                    capacity_share,
                    max_service_time_ms,
                },
            );
        }
        self.connection_released(&result.server);
        self.report_usage(key, quota_owner, plan, result.units.map_or(0.0, |all| all - units), None);
        let Some(h) = self.in_flight.get(result.id) else { return };
        if h.client_gone {
            self.finish_request(result.id);
            return;
        }
        let (tier, in_time) =
            (h.state.tier, self.now - h.state.arrived_at <= self.cfg.classes[class].target_ms);
        if result.is_final {
            self.finish_request(result.id);
            self.record_acceptance(tier, result.outcome == AttemptOutcome::Ok && in_time);
            return;
        }
        if let Some(server) = self.choose_retry_server(result) {
            self.retry_budget -= 1.0;
            self.send_attempt(result.id, server);
            return;
        }
        let Some(h) = self.finish_request(result.id) else { return };
        // An error is an answer: the server had room for the request.
        self.record_acceptance(tier, result.outcome == AttemptOutcome::Error && in_time);
        let effect = self.cfg.classes[class].effect;
        if h.may_have_run.is_none() || matches!(effect, Effect::Safe | Effect::Keyed(Group::All)) {
            self.refuse(&h.state.request, false, RefusalReason::AttemptsFailed);
        } else {
            self.actions.push(Action::Fail { id: result.id });
        }
    }

    /// Removes a request whose last attempt has ended and passes its permit on, or returns it.
    fn finish_request(&mut self, id: u64) -> Option<InFlightRequest> {
        let h = self.in_flight.remove(id)?;
        if let Some(c) = self.customers.get_mut(&h.state.key) {
            c.in_flight = c.in_flight.saturating_sub(1);
        }
        let is_local = self.customers.get(&h.state.key).is_some_and(|c| c.local_permits < u32::MAX);
        if is_local || h.state.permit.is_some() && self.cfg.plans[h.state.request.plan].max_in_flight > 0 {
            // The customer's next request here takes it directly: on its way to the owner it would be unused.
            let next =
                self.pending.of_customer(h.state.key).find(|w| !w.is_check && (w.awaits_permit || !is_local));
            match next.map(|w| w.number).and_then(|k| self.pending.remove(k)) {
                Some(w) if is_local => self.admit(w),
                Some(w) => {
                    self.report_usage(w.key, w.quota_owner, w.request.plan, w.request.units, None);
                    self.admit(RequestState { permit: h.state.permit, ..w });
                }
                None if is_local => {}
                None => {
                    let (RequestState { key, quota_owner, permit, .. }, plan) =
                        (&h.state, h.state.request.plan);
                    self.report_usage(*key, *quota_owner, plan, 0.0, *permit);
                    // Sent twice: if the message is lost, the permit stays blocked for the whole lease.
                    if self.has_many_gatekeepers() && *quota_owner != self.cfg.own_index {
                        let item = PeerMessageItem::Usage { plan, units: 0.0, permit: *permit };
                        self.outbox.schedule_repeat(
                            *quota_owner,
                            self.now + PERMIT_RETURN_REPEAT_MS,
                            item.encode(*key, self.now),
                        );
                    }
                }
            }
        }
        Some(h)
    }

    /// Chooses a server for a further attempt, if that is safe, within budget and limit, and can be in time.
    fn choose_retry_server(&mut self, result: &AttemptResult) -> Option<Name> {
        let h = self.in_flight.get(result.id)?;
        let class = &self.cfg.classes[h.state.request.class];
        let max_latency_ms = (h.state.arrived_at + class.target_ms).min(h.state.request.deadline) - self.now;
        let group = match (class.effect, h.may_have_run) {
            (_, None) | (Effect::Safe, _) => None,
            (Effect::Unsafe, Some(_)) => return None,
            (Effect::Keyed(group), Some((zone, cell, at))) => {
                if self.now - at >= class.dedup_window_ms {
                    return None;
                }
                Some((group, zone, cell))
            }
        };
        let attempts_used_up = self.cfg.max_attempts > 0 && h.attempts >= self.cfg.max_attempts;
        if attempts_used_up
            || self.retry_budget < 1.0
            || matches!(result.outcome, AttemptOutcome::Cancelled | AttemptOutcome::Moot)
        {
            return None;
        }
        let class = h.state.request.class;
        self.choose_server(ServerCriteria { class, max_latency_ms, group, avoid: Some(&result.server) })
    }

    /// Adds an item to the next message to a peer, sent within `wait_ms`; it is useless after `until`.
    fn enqueue_message(&mut self, to: u32, key: u64, (wait_ms, until): (f64, f64), item: PeerMessageItem) {
        if let Some(text) =
            self.outbox.enqueue(self.now, to, (self.now + wait_ms, until), item.encode(key, self.now))
        {
            self.actions.push(Action::SendPeerMessage { to, text });
        }
    }

    /// Sends due messages as fast as the peers can receive them, sets timers and evicts idle customers.
    fn run_due_work(&mut self) {
        if let Some(text) = self.failure_gossip.take_due_message(self.now) {
            self.actions.push(Action::BroadcastPeerMessage { text });
        }
        if let Some(after) = self.failure_gossip.next_wakeup_ms(self.now) {
            self.actions.push(Action::SetTimer { token: GOSSIP_TIMER, after });
        }
        // With few gatekeepers all may send to one peer. The messages of many spread over many peers, and
        // replies held back by the sender's own limit come too late while no peer's intake is full.
        let rate_factor = (f64::from(self.cfg.gatekeepers) / f64::from(MANY_GATEKEEPERS)).max(1.0);
        let rate = MESSAGE_INTAKE_SHARE * self.cfg.peer_intake_per_second.max(1.0) * rate_factor;
        while let Some((to, text)) = self.outbox.next_message(self.now, rate) {
            self.actions.push(Action::SendPeerMessage { to, text });
        }
        if let Some(after) = self.outbox.next_wakeup_ms(self.now, rate) {
            self.actions.push(Action::SetTimer { token: OUTBOX_TIMER, after });
        }
        let now = self.now;
        self.customers.evict_idle(now, CUSTOMER_IDLE_MS / 10.0, |c| {
            c.in_flight > 0
                || now - c.last_seen < CUSTOMER_IDLE_MS
                || c.permits
                    .as_ref()
                    .is_some_and(|p| p.waiting.iter().any(|quota_request| quota_request.until > now))
        });
    }

    /// Handles a message from another gatekeeper: failure gossip, or items separated by `;`.
    fn on_peer_message(&mut self, from: u32, text: &str) {
        let now = self.now;
        if text.starts_with(GOSSIP_MARK) {
            return self.failure_gossip.receive(now, from, text);
        }
        for (key, item) in text.split(';').filter_map(|t| PeerMessageItem::decode(t, from, now)) {
            let creates_customer = !matches!(item, PeerMessageItem::Reply { .. });
            if creates_customer && !self.has_room_for_customer(key) {
                continue;
            }
            match item {
                PeerMessageItem::Request { plan, quota_request, weight } if plan < self.cfg.plans.len() => {
                    let recorded = self.quota_requests.recorded_reply(now, (key, from, quota_request.number));
                    let (reply, units) =
                        recorded.unwrap_or_else(|| self.decide_quota(key, plan, quota_request, weight));
                    self.send_quota_reply(key, &quota_request, reply, units);
                }
                PeerMessageItem::Usage { plan, units, permit } if plan < self.cfg.plans.len() => {
                    self.apply_usage(key, plan, units, permit.map(|k| (from, k)));
                }
                PeerMessageItem::Reply { number, reply, units, demand, granted, quota_tokens } => {
                    if let Some(c) = self.customers.get_mut(&key) {
                        c.owner_report = OwnerReport { received_at: self.now, demand, granted, quota_tokens };
                    }
                    self.on_quota_reply(key, from, number, reply, units);
                }
                _ => {}
            }
        }
    }
}
