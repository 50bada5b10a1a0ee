//! Every decision of a gatekeeper, in the order a request meets them: the customer's bucket and
//! ceiling, the throttle, the choice of server, further attempts. Types: `src/api.rs`.
//!
//! The mechanism: a request is refused at once with the chance
//! max(0, (requests - K accepts) / (requests + 1)), counted per tier over a sliding window, after
//! a bucket per customer that fills at the quota times this gatekeeper's part of recent demand.

mod checks;
mod endpoints;
mod restore;
mod server_choice;
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
use crate::state::*;
use crate::tiers::tiers;
use crate::zones::ZoneRouting;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use server_choice::ServerCriteria;
use warm_up::WarmUpState;

/// How many times the accepts may be sent on: with success under 1/K all but the minimum is refused.
const K: f64 = 2.0;
/// A tier passes this many a second for each server, from all gatekeepers together, whatever the
/// chance, so that recovery is seen: a minimum for each gatekeeper would add up to an overload.
const MIN_RATE: f64 = 0.15;
/// The wait foreseen at a server may be this part of the aim, as answers scatter widely around it; with
/// many gatekeepers, which can only guess at a server's load, half as much again.
const ROOM: f64 = 0.19;
/// A request whose customer has all its places taken may wait this part of its aim for one.
const WAIT: f64 = 0.5;
/// What a keeper told fades over this time, and is not gone by any more after it.
const FADE_MS: f64 = 2000.0;
/// A keeper's silence past this part of the request's aim means that it is stalled or gone.
const ASK_PART: f64 = 0.3;
/// The same at one of many gatekeepers, which asks twice, at half of that time again: it hears of most
/// customers from nobody else, and a note each way is lost for one question in seven.
const ASK_PART_MANY: f64 = 0.4;
/// What a keeper said holds for so long at one of many gatekeepers, which hears of a customer seldom. Of one
/// not heard of it sends nothing on past a silent keeper: each slice of a large set is too small for one
/// request, and all add up.
const BLIND_MS: f64 = 30_000.0;
/// So many times what the keeper granted, or can grant, is asked for; the rest is refused at once.
const ASK_MORE: f64 = 1.5;
/// Up to so many gatekeepers fill their notes with many items, and one keeper can take them in.
const FEW: u32 = 16;
/// The part of a gatekeeper's intake that the units of one customer may take; above, it has more keepers.
const KEEPER_PART: f64 = 0.35;
/// A gatekeeper asks for its own demand of this time at once, so that most requests need not wait.
const STOCK_MS: f64 = 400.0;
/// Units told after the fact may wait this long for a note that goes anyway.
const TELL_MS: f64 = 1000.0;
/// A place not given back within so many usual answer times and a little is taken for lost.
const LEASE: f64 = 6.0;
/// A place given back is told of once more after this.
const AGAIN_MS: f64 = 150.0;
/// The part of the peers' intake that notes may fill, a tenth of a second's at one stroke.
const INTAKE_PART: f64 = 0.75;
/// The part of it that notes to all may fill.
const RUMORS_PART: f64 = 0.25;
/// Customers not seen for this long are forgotten: by then every bucket is full again.
const IDLE_MS: f64 = 60_000.0;
/// Further attempts earned by each request, and the most that are saved up.
const RETRY_PART: f64 = 0.15;
const RETRY_MOST: f64 = 10.0;
/// Timers: of rumours, of notes, and from the next on of questions that wait.
const RUMOR: u64 = 0;
const TICK: u64 = 1;

/// The decisions of one gatekeeper.
pub struct Control {
    cfg: Settings,
    rng: Pcg64Mcg,
    now: f64,
    /// When this life began.
    started_at: Option<f64>,
    customers: ExpiringMap<Customer>,
    outbox: Outbox,
    servers: ServerIndex,
    slow_start: SlowStartServers,
    /// Servers that are gone and may have something out.
    departed: Vec<u32>,
    failure_gossip: FailureGossip,
    in_flight: InFlightRequests,
    pending: PendingRequests,
    quota_requests: QuotaRequests,
    fleet: FleetState,
    tier_of: Vec<Vec<usize>>,
    accept_window: AcceptWindow,
    zone_routing: ZoneRouting,
    fenced_off: FencedOff,
    passed: Vec<f64>,
    retries: f64,
    room: f64,
    warm_up: WarmUpState,
    actions: Vec<Action>,
}

/// How many notes to all many gatekeepers may send a second together: a part of what each takes in.
fn rumor_rate(cfg: &Settings) -> f64 {
    if cfg.peer_messages { RUMORS_PART * cfg.peer_intake_per_second } else { 0.0 }
}

impl Control {
    /// A gatekeeper that has just started and knows nothing yet.
    ///
    /// # Errors
    /// When the settings hold a figure that cannot be acted on.
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        cfg.check()?;
        let (tier_of, tiers) = tiers(&cfg.classes, &cfg.plans);
        let many = cfg.gatekeepers > FEW;
        Ok(Control {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            started_at: None,
            customers: ExpiringMap::default(),
            servers: ServerIndex::default(),
            slow_start: SlowStartServers::default(),
            departed: Vec::new(),
            failure_gossip: FailureGossip::new(
                (cfg.own_index, cfg.gatekeepers),
                if many { rumor_rate(&cfg) } else { 0.0 },
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
            zone_routing: ZoneRouting::new(cfg.zone, tiers),
            fenced_off: FencedOff::default(),
            passed: vec![f64::NEG_INFINITY; tiers],
            retries: RETRY_MOST,
            room: ROOM * (1.5 - 0.5 * (MAX_SIMILAR_PEERS / f64::from(cfg.gatekeepers)).min(1.0)),
            warm_up: WarmUpState::default(),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Whether this is one of many gatekeepers, each of which sees little: then they act as some of many.
    fn has_many_gatekeepers(&self) -> bool {
        self.cfg.gatekeepers > FEW
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

    /// Takes one event and gives what is to be done, in that order.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        match event {
            Event::EndpointUpdate { kind, servers } => self.on_endpoint_update(kind, servers),
            Event::Request(request) => self.on_request(request, false),
            Event::Check(request) => self.on_request(request, true),
            Event::Unused(request) => self.on_unused(&request),
            Event::Plans(plans) => self.on_plans(plans),
            Event::Restore(levels) => self.on_restore(&levels),
            Event::RoutingSnapshot(guide) => self.zone_routing.apply_snapshot(self.now, guide),
            Event::FenceOff(shut) => self.fenced_off.apply_decision(self.now, &shut),
            Event::AttemptEnded(result) => self.on_attempt_ended(&result),
            Event::ClientDisconnected { id } => self.on_left(id),
            Event::PeerMessage { from, text } if self.fenced_off.accepts_messages_from(self.now, from) => {
                self.on_note(from, &text)
            }
            Event::PeerMessage { .. } => {}
            Event::Timer { token: RUMOR } => {}
            Event::Timer { token: TICK } => self.outbox.wakeup_at = None,
            Event::Timer { token } => self.on_waited(token.saturating_sub(TICK)),
            Event::Probed { .. } => {}
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Words of notes to all that could not be read or named no listed server, so far. They change nothing.
    #[must_use]
    pub fn gossip_entries_dropped(&self) -> u64 {
        self.failure_gossip.dropped_entries
    }

    // ---- a request: bucket, ceiling, throttle, server ----

    fn on_request(&mut self, request: Request, is_check: bool) {
        let (now, own_index, all) = (self.now, self.cfg.own_index, self.cfg.gatekeepers);
        let tier = self.tier_of.get(request.class).and_then(|row| row.get(request.plan)).copied();
        let Some(tier) = tier.filter(|_| !self.fenced_off.is_fenced_off(now)) else {
            return self.refuse(&request, is_check, RefusalReason::FencedOff);
        };
        if !is_check {
            self.retries = (self.retries + RETRY_PART).min(RETRY_MOST);
        }
        let key = customer_key(&request.customer);
        let plan = self.cfg.plans[request.plan].clone();
        let spread = if request.spread == 0 { all } else { request.spread.min(all) };
        let quota_owner = self.quota_owner_of(key, &request);
        let (target_ms, name, units) =
            (self.cfg.classes[request.class].target_ms, request.plan, request.units);
        let mean_latency_ms = self.fleet.mean_latency_ms.max(1.0);
        let (deal, many) = (self.limit_division(), self.has_many_gatekeepers());
        let (lot, n) = (if is_check { self.rng.random::<f64>() } else { 1.0 }, f64::from(spread));
        let c = self.customer_entry(key, name);
        let ms = now - c.local_shares_at;
        c.local_shares_at = now;
        c.local_demand *= (-ms / DEMAND_DECAY_MS).exp();
        c.local_ceiling.refill(deal.local_share(&plan, n), ms);
        c.local_quota = (c.local_quota + plan.rate / n * ms / 1000.0).min(plan.burst / n);
        if deal.is_local_only(&plan) && !c.local_ceiling.has(units) {
            return self.refuse(&request, is_check, RefusalReason::Ceiling);
        }
        // The throttle's own rule, on what was asked of the keeper and what it granted.
        let (at, demand, granted) =
            (c.owner_report.received_at, c.owner_report.demand, c.owner_report.granted);
        // Checks come to the keeper itself. Unthinned they would take each unit before others' requests can,
        // all thinned the keeper's own requests, which are not, would: so each is as one dealt out by lot.
        let kept = is_check && quota_owner == own_index;
        let (at, demand, granted) =
            if kept { (c.refilled_at, c.demand, c.granted) } else { (at, demand, granted) };
        let demand = demand * (-(now - at) / FADE_MS).exp();
        // What quota and places let through is asked for in any case: else grants would sink further.
        let limited = plan.max_in_flight > 0 && plan.max_in_flight < spread;
        // A check has nothing out, so it needs no place.
        let uses_shared_permit = limited && !is_check;
        c.local_permits =
            if plan.max_in_flight > 0 && !limited { plan.max_in_flight / spread } else { u32::MAX };
        let places = if uses_shared_permit {
            f64::from(plan.max_in_flight) * units * 1000.0 / mean_latency_ms
        } else {
            f64::INFINITY
        };
        let holds = places.min(if plan.rate > 0.0 { plan.rate } else { f64::INFINITY });
        let chance = 1.0 - ((demand - ASK_MORE * granted.max(holds)) / (demand + units)).max(0.0);
        let chance = if lot * n < 1.0 { 1.0 } else { chance };
        let weight = units / chance;
        c.local_demand += units * 1000.0 / DEMAND_DECAY_MS;
        let ample = !limited && c.prefetched_tokens >= units && c.local_ceiling.has(units);
        c.prefetched_tokens -= if ample { units } else { 0.0 };
        c.request_credit += chance;
        if (quota_owner != own_index || is_check) && !ample && c.request_credit < 1.0 {
            return self.refuse(&request, is_check, RefusalReason::Quota);
        }
        c.request_credit = (c.request_credit - 1.0).clamp(0.0, 1.0);
        c.unreported_demand += weight;
        let mut prefetch_units = c.local_demand * STOCK_MS / 1000.0 - c.prefetched_tokens;
        let held = many && plan.ceiling_rate > 0.0;
        if limited
            || held
            || quota_owner == own_index
            || prefetch_units < units
            || now - c.prefetched_at < STOCK_MS / 4.0
        {
            prefetch_units = 0.0;
        }
        // A repeat may have little of its client's time left: never wait past half of it.
        let most = (WAIT * target_ms).min((request.deadline - now).max(0.0) / 2.0);
        let number = self.quota_requests.next_number();
        let owner_holds_all = deal.owner_holds_all(&plan, n);
        // A question for a place may wait in its line; no other is of use once its asker has gone on.
        let asks =
            if many { (ASK_PART_MANY * target_ms).min(most) } else { (ASK_PART * target_ms).min(most / 2.0) };
        let until = now + if uses_shared_permit { most } else { asks };
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
        let (until, awaits_permit) = (now + most, true);
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
            return match self.asked(key, name, quota_request, if is_check { weight } else { units }).0 {
                QuotaReply::Grant => self.admit(state),
                QuotaReply::Deny => self.refuse(&state.request, is_check, RefusalReason::Quota),
                QuotaReply::Wait => self.wait(state),
            };
        }
        let weight = c.unreported_demand;
        if self.cfg.peer_messages && (!ample || prefetch_units > 0.0) {
            let quota_request =
                QuotaRequest { units: if ample { 0.0 } else { units }, prefetch_units, ..quota_request };
            c.unreported_demand = 0.0;
            c.prefetched_at = if prefetch_units > 0.0 { now } else { c.prefetched_at };
            state.retransmission = (many && !ample).then_some((quota_request, weight));
            self.quota_requests.record_sent();
            self.note(
                quota_owner,
                key,
                (0.0, quota_request.until),
                PeerMessageItem::Request { plan: name, quota_request, weight },
            );
        }
        if ample {
            state.permit = None;
            return self.admit(state);
        }
        state.until = match (self.cfg.peer_messages, many) {
            (false, _) => now,
            (true, true) => now + asks / 2.0,
            (true, false) => now + asks,
        };
        (state.awaits_permit, state.permit) = (false, None);
        self.wait(state);
    }

    /// One gatekeeper of a customer's set, found from its key, keeps its store.
    fn quota_owner_of(&self, key: u64, request: &Request) -> u32 {
        let which = key + u64::from(self.cfg.own_index % self.quota_owner_count(request.plan));
        quota_owner_at(which, (request.first, request.spread), self.cfg.gatekeepers)
    }

    /// Refuses. Where the store, as far as it is known here, won't hold the units before the aim, it
    /// says when it will; for less a client's own wait serves better than ours.
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

    /// How long until the store, as far as it is known here, holds a request's units.
    fn ms_until_room(&self, c: &Customer, request: &Request) -> f64 {
        let plan = &self.cfg.plans[c.plan as usize];
        let (at, level) = c.last_known_tokens();
        let until = |at: f64, level: f64, rate: f64| {
            if rate > 0.0 { 1000.0 * (request.units - level) / rate + at - self.now } else { 0.0 }
        };
        let slice = if self.limit_division().is_local_only(plan) {
            plan.ceiling_rate / f64::from(request.spread.max(1))
        } else {
            0.0
        };
        until(at, level, plan.rate).max(until(c.local_shares_at, c.local_ceiling.tokens(), slice))
    }

    // ---- a check: the same store and ceiling, and nothing is sent ----

    /// A check with room in its quota takes its units from the ceiling too.
    fn decide(&mut self, state: &RequestState) {
        let units = state.request.units;
        let covered = self
            .limit_division()
            .is_covered_by_owner(&self.cfg.plans[state.request.plan], state.permit.is_some());
        match self.customers.get_mut(&state.key) {
            Some(c) if covered || c.local_ceiling.has(units) => {
                c.local_ceiling.consume(if covered { 0.0 } else { units });
                self.push_check_decision(&state.request, true);
            }
            _ => {
                if state.permit.is_some() || state.awaits_permit {
                    self.spare(state.key, state.quota_owner, units, None);
                }
                self.push_check_decision(&state.request, false);
            }
        }
    }

    fn customer_entry(&mut self, key: u64, plan: usize) -> &mut Customer {
        let p = &self.cfg.plans[plan];
        let (now, request_credit) = (self.now, self.rng.random::<f64>());
        // Shares of a ceiling are empty at the start of a life, as a former one may have spent them, and
        // fill from then on: for a customer not seen since then too.
        let since = self.started_at.unwrap_or(now).max(now - IDLE_MS);
        let c = self.customers.entry(key, || Customer {
            plan: plan as u32,
            refilled_at: since,
            quota_tokens: p.burst,
            request_credit,
            prefetched_at: f64::NEG_INFINITY,
            local_permits: u32::MAX,
            local_quota: p.burst,
            local_shares_at: since,
            ..Customer::default()
        });
        c.last_seen = now;
        c
    }

    fn wait(&mut self, state: RequestState) {
        let after = (state.until - self.now).max(0.0);
        self.actions.push(Action::SetTimer { token: TICK + state.number, after });
        self.pending.insert(state);
    }

    /// A wait has come to its end. With a silent keeper the request goes on by what is known here.
    fn on_waited(&mut self, number: u64) {
        if self.pending.get(number).is_none_or(|w| self.now + 0.1 < w.until) {
            return;
        }
        let Some(mut w) = self.pending.remove(number) else { return };
        // Without a second question a longer wait would only make late what goes on all the same.
        if let Some((quota_request, weight)) =
            w.retransmission.take().filter(|_| self.quota_requests.try_resend(self.now, number))
        {
            self.note(
                w.quota_owner,
                w.key,
                (0.0, quota_request.until),
                PeerMessageItem::Request { plan: w.request.plan, quota_request, weight },
            );
            w.until += w.until - w.arrived_at;
            return self.wait(w);
        }
        let open =
            f64::from(self.cfg.plans[w.request.plan].max_in_flight) / f64::from(w.request.spread.max(1));
        let open = if w.is_check { 0.0 } else { open };
        let lot = self.rng.random::<f64>();
        let many = self.has_many_gatekeepers();
        let (now, units) = (self.now, w.request.units);
        let passes = !w.awaits_permit
            && self.customers.get_mut(&w.key).is_some_and(|c| {
                // Its word grows stale while demand changes: then this gatekeeper's slice of the quota holds.
                let heard = now - c.owner_report.received_at <= if many { BLIND_MS } else { FADE_MS };
                let fits = if heard {
                    lot * c.owner_report.demand <= c.owner_report.granted
                } else {
                    !many && c.local_quota > 0.0
                };
                let passes = fits && (open <= 0.0 || f64::from(c.in_flight) < open.max(1.0));
                c.local_quota = if passes { (c.local_quota - units).max(-units) } else { c.local_quota };
                passes
            });
        if passes {
            if w.is_check {
                // Its keeper may never have heard of it; a grant that still comes is given back.
                self.report_usage(w.key, w.quota_owner, w.request.plan, w.request.units, None);
            }
            return self.admit(w);
        }
        if w.awaits_permit && self.customers.get(&w.key).is_some_and(|c| c.local_permits < u32::MAX) {
            self.spare(w.key, w.quota_owner, w.request.units, w.permit);
        }
        let reason = if w.awaits_permit { RefusalReason::NoPermit } else { RefusalReason::OwnerSilent };
        self.refuse(&w.request, w.is_check, reason);
    }

    /// A request with room in its quota: a place of this gatekeeper's own, the throttle, then a server.
    fn admit(&mut self, mut state: RequestState) {
        if state.is_check {
            return self.decide(&state);
        }
        if self.customers.get(&state.key).is_some_and(|c| c.in_flight >= c.local_permits) {
            state.until = state.arrived_at + WAIT * self.cfg.classes[state.request.class].target_ms;
            state.until = state.until.min((state.arrived_at + state.request.deadline) / 2.0);
            state.awaits_permit = true;
            let before = self.pending.of_customer(state.key).filter(|w| w.awaits_permit).count();
            let slots = self.customers.get(&state.key).map_or(1, |c| c.local_permits);
            if self.now + self.fleet.mean_latency_ms * (before + 1) as f64 / f64::from(slots) <= state.until {
                return self.wait(state);
            }
            self.spare(state.key, state.quota_owner, state.request.units, state.permit);
            return self.refuse(&state.request, false, RefusalReason::NoPermit);
        }
        let (id, plan, units) = (state.request.id, state.request.plan, state.request.units);
        // Asked again here: others of its customer may have been sent on while it waited.
        let covered =
            self.limit_division().is_covered_by_owner(&self.cfg.plans[plan], state.permit.is_some());
        let above = !covered && self.customers.get(&state.key).is_none_or(|c| !c.local_ceiling.has(units));
        let max_latency_ms = self.room * self.cfg.classes[state.request.class].target_ms;
        let alone = self.fleet.class_service_time_ms[state.request.class];
        let away = self.zone_routing.should_refuse(
            self.now,
            (state.tier, state.request.class),
            alone,
            &mut self.rng,
        );
        let barred = if above {
            Some(RefusalReason::Ceiling)
        } else if away {
            Some(RefusalReason::ZoneNarrowed)
        } else {
            self.throttled(state.tier).then_some(RefusalReason::Overload)
        };
        let chosen = if barred.is_none() {
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
            // A client's own repeat that is refused here was counted with its first try.
            if !state.request.is_retry && !above {
                self.count(state.tier, false);
            }
            if state.permit.is_some() || state.awaits_permit {
                self.spare(state.key, state.quota_owner, units, state.permit);
            }
            return self.refuse(&state.request, false, barred.unwrap_or(RefusalReason::NoServer));
        };
        if let Some(c) = self.customers.get_mut(&state.key) {
            c.local_ceiling.consume(if covered { 0.0 } else { units });
            c.in_flight += 1;
        }
        let held = InFlightRequest {
            state,
            attempts: 0,
            client_gone: false,
            sent_at: self.now,
            sent_to: (0, 0),
            load_when_sent: 0.0,
            may_have_run: None,
        };
        self.in_flight.insert(held);
        self.send(id, server);
    }

    /// How many keepers a customer's units are parted between, each for its part of the gatekeepers.
    fn quota_owner_count(&self, plan: usize) -> u32 {
        let plan = &self.cfg.plans[plan];
        let requests = 2.0 * plan.rate / (1.0 + self.cfg.max_request_units.max(1.0));
        let many = ASK_MORE * requests / (KEEPER_PART * self.cfg.peer_intake_per_second.max(1.0));
        if plan.max_in_flight > 0 { 1 } else { (many.ceil() as u32).clamp(1, 1 + self.cfg.gatekeepers / FEW) }
    }

    /// Brings a kept store up to now.
    fn refill_bucket(&mut self, key: u64) {
        let Some(plan) = self.customers.get(&key).map(|c| c.plan as usize) else { return };
        let (parts, deal, many) =
            (f64::from(self.quota_owner_count(plan)), self.limit_division(), self.has_many_gatekeepers());
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        let ms = self.now - c.refilled_at;
        c.refilled_at = self.now;
        c.quota_tokens = (c.quota_tokens + plan.rate / parts * ms / 1000.0).min(plan.burst / parts);
        c.owner_ceiling.refill(deal.owner_share(plan, parts, c.owner_holds_all == Some(true)), ms);
        c.demand *= (-ms / DEMAND_DECAY_MS).exp();
        c.granted *= (-ms / DEMAND_DECAY_MS).exp();
        // Of many gatekeepers none knows how long the others' attempts take: as long as one may be out.
        let longest = self.cfg.classes.iter().fold(0.0, |most: f64, c| most.max(c.target_ms));
        let lease = if many { longest } else { LEASE * (self.fleet.mean_latency_ms + 20.0) };
        let now = self.now;
        if let Some(p) = &mut c.permits {
            while p.granted.front().is_some_and(|(_, at)| now - at > lease) {
                p.granted.pop_front();
            }
            p.waiting.retain(|quota_request| quota_request.until > now);
        }
    }

    /// Hands free places to those that wait in line for one; who has no units left for it is told so.
    fn hand_out(&mut self, key: u64) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        let Some(places) = &mut c.permits else { return };
        let mut words = Vec::new();
        while places.granted.len() < plan.max_in_flight as usize
            && let Some(quota_request) = places.waiting.pop_front()
        {
            if plan.rate > 0.0 && c.quota_tokens < quota_request.units {
                words.push((quota_request, QuotaReply::Deny, 0.0));
                continue;
            }
            c.quota_tokens -= quota_request.units;
            c.granted += quota_request.units * 1000.0 / DEMAND_DECAY_MS;
            places.granted.push_back(((quota_request.from, quota_request.number), now));
            words.push((quota_request, QuotaReply::Grant, quota_request.units));
        }
        words
            .iter()
            .for_each(|(quota_request, reply, units)| self.answer(key, quota_request, *reply, *units));
    }

    /// A gatekeeper asks for a request's units and place. Granted ones are taken at once.
    fn asked(
        &mut self,
        key: u64,
        plan: usize,
        quota_request: QuotaRequest,
        weight: f64,
    ) -> (QuotaReply, f64) {
        let c = self.customer_entry(key, plan);
        c.owner_holds_all = Some(quota_request.owner_holds_all && c.owner_holds_all != Some(false));
        self.refill_bucket(key);
        // Places whose return was lost come free by time alone: nobody else would tell the line of it.
        self.hand_out(key);
        let (now, mean_latency_ms) = (self.now, self.fleet.mean_latency_ms);
        let Some(c) = self.customers.get_mut(&key) else { return (QuotaReply::Deny, 0.0) };
        let plan = &self.cfg.plans[c.plan as usize];
        c.demand += weight * 1000.0 / DEMAND_DECAY_MS;
        let inside = (plan.rate <= 0.0 || c.quota_tokens >= quota_request.units)
            && c.owner_ceiling.has(quota_request.units);
        let (out, queued) = c.permits.as_ref().map_or((0, 0), |p| (p.granted.len(), p.waiting.len()));
        let free = !quota_request.uses_shared_permit || (out < plan.max_in_flight as usize && queued == 0);
        if inside && free {
            // Of what is left beside, half at the most: others ask too.
            let units = quota_request.units
                + quota_request.prefetch_units.min((c.quota_tokens - quota_request.units) / 2.0).max(0.0);
            c.quota_tokens -= units;
            c.granted += units * 1000.0 / DEMAND_DECAY_MS;
            // Extra units are sent on later, and then covered by their sender's slice.
            c.owner_ceiling.consume(quota_request.units);
            if quota_request.uses_shared_permit {
                c.permits
                    .get_or_insert_default()
                    .granted
                    .push_back(((quota_request.from, quota_request.number), now));
            }
            return (QuotaReply::Grant, units);
        }
        let wait = mean_latency_ms * (queued + 1) as f64 / f64::from(plan.max_in_flight.max(1));
        if inside && !free && now + wait <= quota_request.until {
            c.permits.get_or_insert_default().waiting.push_back(quota_request);
            return (QuotaReply::Wait, 0.0);
        }
        (QuotaReply::Deny, 0.0)
    }

    /// A gatekeeper tells of units sent on unasked, or given back, of demand and of places given back.
    fn told(&mut self, key: u64, plan: usize, units: f64, permit: Option<(u32, u64)>) {
        self.customer_entry(key, plan);
        self.refill_bucket(key);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        c.quota_tokens = (c.quota_tokens - units).clamp(-plan.burst, plan.burst);
        if let Some(p) = &mut c.permits {
            p.granted.retain(|(id, _)| Some(*id) != permit);
        }
        self.hand_out(key);
    }

    fn answer(&mut self, key: u64, quota_request: &QuotaRequest, reply: QuotaReply, units: f64) {
        if quota_request.from == self.cfg.own_index {
            return self.answered(key, quota_request.from, quota_request.number, reply, units);
        }
        let Some(c) = self.customers.get(&key) else { return };
        let (QuotaRequest { from, number, .. }, demand, granted, quota_tokens) =
            (*quota_request, c.demand, c.granted, c.quota_tokens);
        if self.has_many_gatekeepers() {
            self.quota_requests.record_reply(self.now, (key, from, number), reply, units);
        }
        // A refusal comes too late for nobody's good; a grant that does is given back.
        let until = if reply == QuotaReply::Deny { quota_request.until } else { f64::INFINITY };
        self.note(
            from,
            key,
            (0.0, until),
            PeerMessageItem::Reply { number, reply, units, demand, granted, quota_tokens },
        );
    }

    fn answered(&mut self, key: u64, quota_owner: u32, number: u64, reply: QuotaReply, units: f64) {
        if !self.quota_requests.is_new_reply(self.now, number, reply) {
            return;
        }
        match (self.pending.remove(number), reply) {
            (Some(w), QuotaReply::Grant) => {
                self.spare(key, quota_owner, units - w.request.units, None);
                self.admit(RequestState { permit: Some(number), ..w });
            }
            (Some(w), QuotaReply::Deny) => self.refuse(&w.request, w.is_check, RefusalReason::Quota),
            (Some(mut w), QuotaReply::Wait) => {
                let most = WAIT * self.cfg.classes[w.request.class].target_ms;
                w.until = w.arrived_at + most.min((w.request.deadline - w.arrived_at) / 2.0);
                w.awaits_permit = true;
                self.wait(w);
            }
            // Too late: what was not sent on meanwhile goes back.
            (None, QuotaReply::Grant) => {
                if let Some(h) = self.in_flight.by_number(number).filter(|h| h.state.permit.is_none()) {
                    h.state.permit = Some(number);
                } else {
                    self.spare(key, quota_owner, units, Some(number));
                }
            }
            _ => {}
        }
    }

    /// Units granted and not sent on: kept here where the next requests will want them, else given back.
    fn spare(&mut self, key: u64, quota_owner: u32, units: f64, permit: Option<u64>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let name = c.plan as usize;
        let plan = &self.cfg.plans[name];
        let uses_shared_permit = plan.max_in_flight > 0 && c.local_permits == u32::MAX;
        if !uses_shared_permit
            && quota_owner != self.cfg.own_index
            && c.local_demand * STOCK_MS / 500.0 >= units + c.prefetched_tokens
        {
            c.prefetched_tokens += units;
        } else if units > 0.0 || uses_shared_permit && permit.is_some() {
            self.report_usage(key, quota_owner, name, -units, permit);
        }
    }

    fn report_usage(&mut self, key: u64, quota_owner: u32, plan: usize, units: f64, permit: Option<u64>) {
        if quota_owner == self.cfg.own_index {
            self.told(key, plan, units, permit.map(|k| (quota_owner, k)));
        } else if permit.is_some() || (units != 0.0 && self.cfg.plans[plan].rate > 0.0) {
            let wait = if permit.is_some() { 0.0 } else { TELL_MS };
            self.note(
                quota_owner,
                key,
                (wait, f64::INFINITY),
                PeerMessageItem::Usage { plan, units, permit },
            );
        }
    }

    fn count(&mut self, tier: usize, accepted: bool) {
        self.accept_window.record(self.now, tier, accepted);
    }

    /// The chance that a request of this tier is refused.
    fn chance(&mut self, tier: usize) -> f64 {
        let (own, accepts, failures) = self.accept_window.sums(self.now, tier);
        ((own + failures - K * accepts) / (own + failures + 1.0)).max(0.0)
    }

    fn throttled(&mut self, tier: usize) -> bool {
        let chance = self.chance(tier);
        let rate = MIN_RATE * self.servers.len() as f64 / f64::from(self.cfg.gatekeepers);
        let refused = chance > 0.0 && self.rng.random::<f64>() < chance;
        if refused && self.now - self.passed[tier] < 1000.0 / rate {
            return true;
        }
        self.passed[tier] = self.now;
        false
    }

    fn send(&mut self, id: u64, server: Name) {
        let Some(s) = self.servers.get(&server) else { return };
        let (view, class) = (self.estimator(), self.in_flight.get(id).map_or(0, |h| h.state.request.class));
        let (mean_loads, usual) = (view.mean_loads(), view.mean_in_flight());
        let (load, expected) =
            (view.server_load(s, mean_loads), view.expected_latency_ms(s, class, mean_loads));
        (self.fleet.mean_in_flight, self.fleet.mean_updated_at) = (usual, self.now);
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
        // An answer past its aim earns nothing: it is not waited for, and silence is not taken for load.
        let end = if class.late_worth > 0.0 { f64::INFINITY } else { h.state.arrived_at + class.target_ms };
        let deadline = h.state.request.deadline.min(end);
        let start_deadline = match (class.effect, h.may_have_run) {
            (Effect::Keyed(_), Some((.., at))) => at + class.dedup_window_ms,
            _ => f64::INFINITY,
        };
        self.actions.push(Action::Send { id, server, deadline, start_deadline });
    }

    fn on_left(&mut self, id: u64) {
        self.pending.remove_id(id);
        let Some(h) = self.in_flight.get_mut(id) else { return };
        h.client_gone = true;
        let (tier, late) =
            (h.state.tier, self.now - h.state.arrived_at > self.cfg.classes[h.state.request.class].target_ms);
        if late {
            self.count(tier, false);
        }
    }

    fn on_attempt_ended(&mut self, o: &AttemptResult) {
        (self.fleet.mean_in_flight, self.fleet.mean_updated_at) =
            (self.estimator().mean_in_flight(), self.now);
        let (view, server) = (self.estimator(), self.servers.get(&o.server));
        let (service_time_ms, capacity_share) =
            server.map_or((0.0, 1.0), |s| (view.service_time_ms(s), view.capacity_share(s)));
        let many = self.has_many_gatekeepers();
        let Some(h) = self.in_flight.get_mut(o.id) else { return };
        let (key, quota_owner, class, load) =
            (h.state.key, h.state.quota_owner, h.state.request.class, h.load_when_sent);
        let (plan, units) = (h.state.request.plan, h.state.request.units);
        let well = match o.outcome {
            AttemptOutcome::Ok => Some(true),
            AttemptOutcome::Cancelled | AttemptOutcome::Moot => None,
            _ => Some(false),
        };
        self.failure_gossip.attempt_ended(self.now, o.id, &o.server, well);
        let ran =
            !matches!(o.outcome, AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Moot);
        if let Some(s) = self.servers.get_mut(&o.server)
            && s.in_flight.contains_key(&o.id)
        {
            s.update_mean(self.now);
            s.in_flight.remove(&o.id);
            self.fleet.in_flight = self.fleet.in_flight.saturating_sub(1);
            if ran && h.may_have_run.is_none() {
                h.may_have_run = Some((h.sent_to.0, h.sent_to.1, h.sent_at));
            }
            // How busy cores were a while back says less than the count of one that sends a good part of
            // it all.
            let report = o
                .load_report
                .map(|r| LoadReport { cpu_utilization: r.cpu_utilization.filter(|_| many), ..r });
            if let Some(report) = report {
                self.fleet.record_load_report(s, self.now, report);
            }
            let max_service_time_ms = self.room * self.cfg.classes[class].target_ms;
            let (now, outcome, latency) = (self.now, o.outcome, o.latency);
            let times = (self.fleet.class_service_time_ms[class], self.cfg.classes[class].target_ms);
            self.zone_routing.record_result(self.now, (s.zone, class, capacity_share), o, times);
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
        self.connection_released(&o.server);
        self.report_usage(key, quota_owner, plan, o.units.map_or(0.0, |all| all - units), None);
        let Some(h) = self.in_flight.get(o.id) else { return };
        if h.client_gone {
            self.finish(o.id);
            return;
        }
        let (tier, in_time) =
            (h.state.tier, self.now - h.state.arrived_at <= self.cfg.classes[class].target_ms);
        if o.is_final {
            self.finish(o.id);
            self.count(tier, o.outcome == AttemptOutcome::Ok && in_time);
            return;
        }
        if let Some(server) = self.again(o) {
            self.retries -= 1.0;
            self.send(o.id, server);
            return;
        }
        let Some(h) = self.finish(o.id) else { return };
        // An error is an answer: the server had room for it.
        self.count(tier, o.outcome == AttemptOutcome::Error && in_time);
        let effect = self.cfg.classes[class].effect;
        if h.may_have_run.is_none() || matches!(effect, Effect::Safe | Effect::Keyed(Group::All)) {
            self.refuse(&h.state.request, false, RefusalReason::AttemptsFailed);
        } else {
            self.actions.push(Action::Fail { id: o.id });
        }
    }

    /// Forgets a request whose last attempt has ended, and gives its place back.
    fn finish(&mut self, id: u64) -> Option<InFlightRequest> {
        let h = self.in_flight.remove(id)?;
        if let Some(c) = self.customers.get_mut(&h.state.key) {
            c.in_flight = c.in_flight.saturating_sub(1);
        }
        let own = self.customers.get(&h.state.key).is_some_and(|c| c.local_permits < u32::MAX);
        if own || h.state.permit.is_some() && self.cfg.plans[h.state.request.plan].max_in_flight > 0 {
            // Its next one here takes the place at once: each way to the keeper leaves it empty.
            let next =
                self.pending.of_customer(h.state.key).find(|w| !w.is_check && (w.awaits_permit || !own));
            match next.map(|w| w.number).and_then(|k| self.pending.remove(k)) {
                Some(w) if own => self.admit(w),
                Some(w) => {
                    self.report_usage(w.key, w.quota_owner, w.request.plan, w.request.units, None);
                    self.admit(RequestState { permit: h.state.permit, ..w });
                }
                None if own => {}
                None => {
                    let (RequestState { key, quota_owner, permit, .. }, plan) =
                        (&h.state, h.state.request.plan);
                    self.report_usage(*key, *quota_owner, plan, 0.0, *permit);
                    // Said twice, as a note that is lost would keep the place shut for the whole lease.
                    if self.has_many_gatekeepers() && *quota_owner != self.cfg.own_index {
                        let item = PeerMessageItem::Usage { plan, units: 0.0, permit: *permit };
                        self.outbox.schedule_repeat(
                            *quota_owner,
                            self.now + AGAIN_MS,
                            item.encode(*key, self.now),
                        );
                    }
                }
            }
        }
        Some(h)
    }

    /// The server for a further attempt, if one is allowed, affordable and still of use.
    fn again(&mut self, o: &AttemptResult) -> Option<Name> {
        let h = self.in_flight.get(o.id)?;
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
        let spent = self.cfg.max_attempts > 0 && h.attempts >= self.cfg.max_attempts;
        if spent
            || self.retries < 1.0
            || matches!(o.outcome, AttemptOutcome::Cancelled | AttemptOutcome::Moot)
        {
            return None;
        }
        let class = h.state.request.class;
        self.choose_server(ServerCriteria { class, max_latency_ms, group, avoid: Some(&o.server) })
    }

    /// Puts an item into the next note to a peer, which goes after `wait` ms at the latest; past `until` it
    /// is of no more use.
    fn note(&mut self, to: u32, key: u64, (wait, until): (f64, f64), item: PeerMessageItem) {
        if let Some(text) =
            self.outbox.enqueue(self.now, to, (self.now + wait, until), item.encode(key, self.now))
        {
            self.actions.push(Action::SendPeerMessage { to, text });
        }
    }

    /// Sends what is due, as far as the peers can take it in; the rest follows in fuller notes.
    fn flush(&mut self) {
        if let Some(text) = self.failure_gossip.take_due_message(self.now) {
            self.actions.push(Action::BroadcastPeerMessage { text });
        }
        if let Some(after) = self.failure_gossip.next_wakeup_ms(self.now) {
            self.actions.push(Action::SetTimer { token: RUMOR, after });
        }
        // A few may all write to one; what one of many writes goes to many, and answers that wait behind its
        // own pace come too late while nobody's intake is full.
        let peers = (f64::from(self.cfg.gatekeepers) / f64::from(FEW)).max(1.0);
        let rate = INTAKE_PART * self.cfg.peer_intake_per_second.max(1.0) * peers;
        while let Some((to, text)) = self.outbox.next_message(self.now, rate) {
            self.actions.push(Action::SendPeerMessage { to, text });
        }
        if let Some(after) = self.outbox.next_wakeup_ms(self.now, rate) {
            self.actions.push(Action::SetTimer { token: TICK, after });
        }
        let now = self.now;
        self.customers.evict_idle(now, IDLE_MS / 10.0, |c| {
            c.in_flight > 0
                || now - c.last_seen < IDLE_MS
                || c.permits
                    .as_ref()
                    .is_some_and(|p| p.waiting.iter().any(|quota_request| quota_request.until > now))
        });
    }

    fn on_note(&mut self, from: u32, text: &str) {
        let now = self.now;
        if text.starts_with(GOSSIP_MARK) {
            return self.failure_gossip.receive(now, from, text);
        }
        for (key, item) in text.split(';').filter_map(|t| PeerMessageItem::decode(t, from, now)) {
            match item {
                PeerMessageItem::Request { plan, quota_request, weight } if plan < self.cfg.plans.len() => {
                    let said = self.quota_requests.recorded_reply(now, (key, from, quota_request.number));
                    let (reply, units) = said.unwrap_or_else(|| self.asked(key, plan, quota_request, weight));
                    self.answer(key, &quota_request, reply, units);
                }
                PeerMessageItem::Usage { plan, units, permit } if plan < self.cfg.plans.len() => {
                    self.told(key, plan, units, permit.map(|k| (from, k)));
                }
                PeerMessageItem::Reply { number, reply, units, demand, granted, quota_tokens } => {
                    if let Some(c) = self.customers.get_mut(&key) {
                        c.owner_report = OwnerReport { received_at: self.now, demand, granted, quota_tokens };
                    }
                    self.answered(key, from, number, reply, units);
                }
                _ => {}
            }
        }
    }
}
