//! Every decision of a gateway, in the order a request meets them: the customer's bucket and
//! ceiling, the throttle, the choice of server, further attempts. Types: `src/api.rs`.
//!
//! The mechanism: a request is refused at once with the chance
//! max(0, (requests - K accepts) / (requests + 1)), counted per tier over a sliding window, after
//! a bucket per customer that fills at the quota times this gateway's part of recent demand.

mod checks;
mod endpoints;
mod lives;
mod server_choice;
mod sight;
mod warm_up;

use crate::api::*;
use crate::ceiling::Dealing;
use crate::estimate::{ALIKE_PEERS, Seen, View};
use crate::hands::{Hands, Waits};
use crate::live::*;
use crate::note::{Item, keeper_at, key_of};
use crate::outs::Outs;
use crate::post::Post;
use crate::questions::Questions;
use crate::roster::Roster;
use crate::rumors::{MARK, Rumors};
use crate::state::*;
use crate::swept::Swept;
use crate::tiers::tiers;
use crate::warming::Warming;
use crate::window::Window;
use crate::zones::Zones;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use server_choice::Want;
use warm_up::Ramp;

/// How many times the accepts may be sent on: with success under 1/K all but the minimum is refused.
const K: f64 = 2.0;
/// A tier passes this many a second for each server, from all gateways together, whatever the
/// chance, so that recovery is seen: a minimum for each gateway would add up to an overload.
const MIN_RATE: f64 = 0.15;
/// The wait foreseen at a server may be this part of the aim, as answers scatter widely around it; with
/// many gateways, which can only guess at a server's load, half as much again.
const ROOM: f64 = 0.19;
/// A request whose customer has all its places taken may wait this part of its aim for one.
const WAIT: f64 = 0.5;
/// What a keeper told fades over this time, and is not gone by any more after it.
const FADE_MS: f64 = 2000.0;
/// A keeper's silence past this part of the request's aim means that it is stalled or gone.
const ASK_PART: f64 = 0.3;
/// The same at one of many gateways, which asks twice, at half of that time again: it hears of most customers
/// from nobody else, and a note each way is lost for one question in seven.
const ASK_PART_MANY: f64 = 0.4;
/// What a keeper said holds for so long at one of many gateways, which hears of a customer seldom. Of one
/// not heard of it sends nothing on past a silent keeper: each slice of a large set is too small for one
/// request, and all add up.
const BLIND_MS: f64 = 30_000.0;
/// So many times what the keeper granted, or can grant, is asked for; the rest is refused at once.
const ASK_MORE: f64 = 1.5;
/// Up to so many gateways fill their notes with many items, and one keeper can take them in.
const FEW: u32 = 16;
/// The part of a gateway's intake that the units of one customer may take; above, it has more keepers.
const KEEPER_PART: f64 = 0.35;
/// A gateway asks for its own demand of this time at once, so that most requests need not wait.
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

/// The decisions of one gateway.
pub struct Control {
    cfg: Settings,
    rng: Pcg64Mcg,
    now: f64,
    /// When this life began.
    born: Option<f64>,
    customers: Swept<Customer>,
    post: Post,
    servers: Roster,
    warming: Warming,
    /// Servers that are gone and may have something out.
    departed: Vec<u32>,
    rumors: Rumors,
    held: Hands,
    waits: Waits,
    questions: Questions,
    fleet: Fleet,
    tier_of: Vec<Vec<usize>>,
    window: Window,
    zones: Zones,
    outs: Outs,
    passed: Vec<f64>,
    retries: f64,
    room: f64,
    ramp: Ramp,
    actions: Vec<Action>,
}

/// How many notes to all many gateways may send a second together: a part of what each takes in.
fn rumor_rate(cfg: &Settings) -> f64 {
    if cfg.notes { RUMORS_PART * cfg.note_intake } else { 0.0 }
}

impl Control {
    /// A gateway that has just started and knows nothing yet.
    ///
    /// # Errors
    /// When the settings hold a figure that cannot be acted on.
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        cfg.check()?;
        let (tier_of, tiers) = tiers(&cfg.classes, &cfg.plans);
        let many = cfg.gateways > FEW;
        Ok(Control {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            born: None,
            customers: Swept::default(),
            servers: Roster::default(),
            warming: Warming::default(),
            departed: Vec::new(),
            rumors: Rumors::new((cfg.me, cfg.gateways), if many { rumor_rate(&cfg) } else { 0.0 }, seed),
            held: Hands::default(),
            waits: Waits::default(),
            questions: Questions::new(seed),
            post: Post::default(),
            fleet: Fleet { class_pace: vec![0.0; cfg.classes.len()], ..Fleet::default() },
            tier_of,
            window: Window::new(tiers, many),
            zones: Zones::new(cfg.zone, tiers),
            outs: Outs::default(),
            passed: vec![f64::NEG_INFINITY; tiers],
            retries: RETRY_MOST,
            room: ROOM * (1.5 - 0.5 * (ALIKE_PEERS / f64::from(cfg.gateways)).min(1.0)),
            ramp: Ramp::default(),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Whether this is one of many gateways, each of which sees little: then they act as some of many.
    fn many(&self) -> bool {
        self.cfg.gateways > FEW
    }

    fn view(&self) -> View<'_> {
        View { fleet: &self.fleet, cfg: &self.cfg, servers: self.servers.len(), now: self.now }
    }

    fn deal(&self) -> Dealing {
        Dealing { notes: self.cfg.notes, alone: self.cfg.gateways == 1, largest: self.cfg.largest }
    }

    /// Takes one event and gives what is to be done, in that order.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.born.get_or_insert(now);
        match event {
            Event::Servers { listing, servers } => self.on_servers(listing, servers),
            Event::Request(request) => self.on_request(request, false),
            Event::Check(request) => self.on_request(request, true),
            Event::Unused(request) => self.on_unused(&request),
            Event::Plans(plans) => self.on_plans(plans),
            Event::Restore(levels) => self.on_restore(&levels),
            Event::Guide(guide) => self.zones.heard(self.now, guide),
            Event::Shut(shut) => self.outs.heard(self.now, &shut),
            Event::Outcome(outcome) => self.on_outcome(&outcome),
            Event::Left { id } => self.on_left(id),
            Event::Note { from, text } if self.outs.hears(self.now, from) => self.on_note(from, &text),
            Event::Note { .. } => {}
            Event::Timer { token: RUMOR } => {}
            Event::Timer { token: TICK } => self.post.tick_at = None,
            Event::Timer { token } => self.on_waited(token.saturating_sub(TICK)),
            Event::Probed { .. } => {}
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Words of notes to all that could not be read or named no listed server, so far. They change nothing.
    #[must_use]
    pub fn words_dropped(&self) -> u64 {
        self.rumors.dropped
    }

    // ---- a request: bucket, ceiling, throttle, server ----

    fn on_request(&mut self, request: Request, check: bool) {
        let (now, me, all) = (self.now, self.cfg.me, self.cfg.gateways);
        let tier = self.tier_of.get(request.class).and_then(|row| row.get(request.plan)).copied();
        let Some(tier) = tier.filter(|_| !self.outs.away(now)) else {
            return self.refuse(&request, check, RefusalReason::FencedOff);
        };
        if !check {
            self.retries = (self.retries + RETRY_PART).min(RETRY_MOST);
        }
        let key = key_of(&request.customer);
        let plan = self.cfg.plans[request.plan].clone();
        let spread = if request.spread == 0 { all } else { request.spread.min(all) };
        let keeper = self.keeper(key, &request);
        let (aim, name, units) = (self.cfg.classes[request.class].aim, request.plan, request.units);
        let took = self.fleet.took.max(1.0);
        let (deal, many) = (self.deal(), self.many());
        let (lot, n) = (if check { self.rng.random::<f64>() } else { 1.0 }, f64::from(spread));
        let c = self.customer(key, name);
        let ms = now - c.slice_at;
        c.slice_at = now;
        c.own *= (-ms / DEMAND_MS).exp();
        c.ceiling.fill(deal.slice(&plan, n), ms);
        c.slice = (c.slice + plan.rate / n * ms / 1000.0).min(plan.burst / n);
        if deal.sliced(&plan) && !c.ceiling.holds(units) {
            return self.refuse(&request, check, RefusalReason::Ceiling);
        }
        // The throttle's own rule, on what was asked of the keeper and what it granted.
        let (at, demand, granted) = (c.told.at, c.told.demand, c.told.granted);
        // Checks come to the keeper itself. Unthinned they would take each unit before others' requests can,
        // all thinned the keeper's own requests, which are not, would: so each is as one dealt out by lot.
        let kept = check && keeper == me;
        let (at, demand, granted) = if kept { (c.at, c.demand, c.granted) } else { (at, demand, granted) };
        let demand = demand * (-(now - at) / FADE_MS).exp();
        // What quota and places let through is asked for in any case: else grants would sink further.
        let limited = plan.open > 0 && plan.open < spread;
        // A check has nothing out, so it needs no place.
        let shared = limited && !check;
        c.slots = if plan.open > 0 && !limited { plan.open / spread } else { u32::MAX };
        let places = if shared { f64::from(plan.open) * units * 1000.0 / took } else { f64::INFINITY };
        let holds = places.min(if plan.rate > 0.0 { plan.rate } else { f64::INFINITY });
        let chance = 1.0 - ((demand - ASK_MORE * granted.max(holds)) / (demand + units)).max(0.0);
        let chance = if lot * n < 1.0 { 1.0 } else { chance };
        let weight = units / chance;
        c.own += units * 1000.0 / DEMAND_MS;
        let ample = !limited && c.stock >= units && c.ceiling.holds(units);
        c.stock -= if ample { units } else { 0.0 };
        c.credit += chance;
        if (keeper != me || check) && !ample && c.credit < 1.0 {
            return self.refuse(&request, check, RefusalReason::Quota);
        }
        c.credit = (c.credit - 1.0).clamp(0.0, 1.0);
        c.untold += weight;
        let mut extra = c.own * STOCK_MS / 1000.0 - c.stock;
        let held = many && plan.ceiling_rate > 0.0;
        if limited || held || keeper == me || extra < units || now - c.asked_at < STOCK_MS / 4.0 {
            extra = 0.0;
        }
        // A repeat may have little of its client's time left: never wait past half of it.
        let most = (WAIT * aim).min((request.give_up - now).max(0.0) / 2.0);
        let number = self.questions.fresh();
        let whole = deal.whole(&plan, n);
        // A question for a place may wait in its line; no other is of use once its asker has gone on.
        let asks = if many { (ASK_PART_MANY * aim).min(most) } else { (ASK_PART * aim).min(most / 2.0) };
        let until = now + if shared { most } else { asks };
        let ask = Ask { from: me, number, units, extra: 0.0, shared, whole, until };
        let place = Some(number);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let (until, queued) = (now + most, true);
        let again = None;
        let mut job =
            Job { request, check, key, keeper, tier, arrived: now, number, place, until, queued, again };
        if keeper == me {
            return match self.asked(key, name, ask, if check { weight } else { units }).0 {
                Word::Grant => self.admit(job),
                Word::Deny => self.refuse(&job.request, check, RefusalReason::Quota),
                Word::Wait => self.wait(job),
            };
        }
        let weight = c.untold;
        if self.cfg.notes && (!ample || extra > 0.0) {
            let ask = Ask { units: if ample { 0.0 } else { units }, extra, ..ask };
            c.untold = 0.0;
            c.asked_at = if extra > 0.0 { now } else { c.asked_at };
            job.again = (many && !ample).then_some((ask, weight));
            self.questions.put();
            self.note(keeper, key, (0.0, ask.until), Item::Ask { plan: name, ask, weight });
        }
        if ample {
            job.place = None;
            return self.admit(job);
        }
        job.until = match (self.cfg.notes, many) {
            (false, _) => now,
            (true, true) => now + asks / 2.0,
            (true, false) => now + asks,
        };
        (job.queued, job.place) = (false, None);
        self.wait(job);
    }

    /// One gateway of a customer's set, found from its key, keeps its store.
    fn keeper(&self, key: u64, request: &Request) -> u32 {
        let which = key + u64::from(self.cfg.me % self.keepers(request.plan));
        keeper_at(which, (request.first, request.spread), self.cfg.gateways)
    }

    /// Refuses. Where the store, as far as it is known here, won't hold the units before the aim, it
    /// says when it will; for less a client's own wait serves better than ours.
    fn refuse(&mut self, request: &Request, check: bool, reason: RefusalReason) {
        if check {
            return self.verdict(request, false);
        }
        let aim = self.cfg.classes.get(request.class).map_or(0.0, |c| c.aim);
        let pause = self.customers.get(&key_of(&request.customer)).map(|c| self.room_in(c, request));
        let pause = pause.filter(|ms| *ms > aim).map_or(0.0, f64::ceil).max(self.outs.pause(self.now));
        self.actions.push(Action::Refuse { id: request.id, pause, reason });
    }

    /// How long until the store, as far as it is known here, holds a request's units.
    fn room_in(&self, c: &Customer, request: &Request) -> f64 {
        let plan = &self.cfg.plans[c.plan as usize];
        let (at, level) = c.known();
        let until = |at: f64, level: f64, rate: f64| {
            if rate > 0.0 { 1000.0 * (request.units - level) / rate + at - self.now } else { 0.0 }
        };
        let slice =
            if self.deal().sliced(plan) { plan.ceiling_rate / f64::from(request.spread.max(1)) } else { 0.0 };
        until(at, level, plan.rate).max(until(c.slice_at, c.ceiling.level(), slice))
    }

    // ---- a check: the same store and ceiling, and nothing is sent ----

    /// A check with room in its quota takes its units from the ceiling too.
    fn decide(&mut self, job: &Job) {
        let units = job.request.units;
        let covered = self.deal().covered(&self.cfg.plans[job.request.plan], job.place.is_some());
        match self.customers.get_mut(&job.key) {
            Some(c) if covered || c.ceiling.holds(units) => {
                c.ceiling.take(if covered { 0.0 } else { units });
                self.verdict(&job.request, true);
            }
            _ => {
                if job.place.is_some() || job.queued {
                    self.spare(job.key, job.keeper, units, None);
                }
                self.verdict(&job.request, false);
            }
        }
    }

    fn customer(&mut self, key: u64, plan: usize) -> &mut Customer {
        let p = &self.cfg.plans[plan];
        let (now, credit) = (self.now, self.rng.random::<f64>());
        // Shares of a ceiling are empty at the start of a life, as a former one may have spent them, and
        // fill from then on: for a customer not seen since then too.
        let since = self.born.unwrap_or(now).max(now - IDLE_MS);
        let c = self.customers.entry(key, || Customer {
            plan: plan as u32,
            at: since,
            level: p.burst,
            credit,
            asked_at: f64::NEG_INFINITY,
            slots: u32::MAX,
            slice: p.burst,
            slice_at: since,
            ..Customer::default()
        });
        c.seen = now;
        c
    }

    fn wait(&mut self, job: Job) {
        let after = (job.until - self.now).max(0.0);
        self.actions.push(Action::SetTimer { token: TICK + job.number, after });
        self.waits.insert(job);
    }

    /// A wait has come to its end. With a silent keeper the request goes on by what is known here.
    fn on_waited(&mut self, number: u64) {
        if self.waits.get(number).is_none_or(|w| self.now + 0.1 < w.until) {
            return;
        }
        let Some(mut w) = self.waits.remove(number) else { return };
        // Without a second question a longer wait would only make late what goes on all the same.
        if let Some((ask, weight)) = w.again.take().filter(|_| self.questions.again(self.now, number)) {
            self.note(w.keeper, w.key, (0.0, ask.until), Item::Ask { plan: w.request.plan, ask, weight });
            w.until += w.until - w.arrived;
            return self.wait(w);
        }
        let open = f64::from(self.cfg.plans[w.request.plan].open) / f64::from(w.request.spread.max(1));
        let open = if w.check { 0.0 } else { open };
        let lot = self.rng.random::<f64>();
        let many = self.many();
        let (now, units) = (self.now, w.request.units);
        let passes = !w.queued
            && self.customers.get_mut(&w.key).is_some_and(|c| {
                // Its word grows stale while demand changes: then this gateway's slice of the quota holds.
                let heard = now - c.told.at <= if many { BLIND_MS } else { FADE_MS };
                let fits = if heard { lot * c.told.demand <= c.told.granted } else { !many && c.slice > 0.0 };
                let passes = fits && (open <= 0.0 || f64::from(c.open) < open.max(1.0));
                c.slice = if passes { (c.slice - units).max(-units) } else { c.slice };
                passes
            });
        if passes {
            if w.check {
                // Its keeper may never have heard of it; a grant that still comes is given back.
                self.tell(w.key, w.keeper, w.request.plan, w.request.units, None);
            }
            return self.admit(w);
        }
        if w.queued && self.customers.get(&w.key).is_some_and(|c| c.slots < u32::MAX) {
            self.spare(w.key, w.keeper, w.request.units, w.place);
        }
        let reason = if w.queued { RefusalReason::NoPermit } else { RefusalReason::OwnerSilent };
        self.refuse(&w.request, w.check, reason);
    }

    /// A request with room in its quota: a place of this gateway's own, the throttle, then a server.
    fn admit(&mut self, mut job: Job) {
        if job.check {
            return self.decide(&job);
        }
        if self.customers.get(&job.key).is_some_and(|c| c.open >= c.slots) {
            job.until = job.arrived + WAIT * self.cfg.classes[job.request.class].aim;
            job.until = job.until.min((job.arrived + job.request.give_up) / 2.0);
            job.queued = true;
            let before = self.waits.of(job.key).filter(|w| w.queued).count();
            let slots = self.customers.get(&job.key).map_or(1, |c| c.slots);
            if self.now + self.fleet.took * (before + 1) as f64 / f64::from(slots) <= job.until {
                return self.wait(job);
            }
            self.spare(job.key, job.keeper, job.request.units, job.place);
            return self.refuse(&job.request, false, RefusalReason::NoPermit);
        }
        let (id, plan, units) = (job.request.id, job.request.plan, job.request.units);
        // Asked again here: others of its customer may have been sent on while it waited.
        let covered = self.deal().covered(&self.cfg.plans[plan], job.place.is_some());
        let above = !covered && self.customers.get(&job.key).is_none_or(|c| !c.ceiling.holds(units));
        let most = self.room * self.cfg.classes[job.request.class].aim;
        let alone = self.fleet.class_pace[job.request.class];
        let away = self.zones.wants(self.now, (job.tier, job.request.class), alone, &mut self.rng);
        let barred = if above {
            Some(RefusalReason::Ceiling)
        } else if away {
            Some(RefusalReason::ZoneNarrowed)
        } else {
            self.throttled(job.tier).then_some(RefusalReason::Overload)
        };
        let chosen = if barred.is_none() {
            self.choose(Want { class: job.request.class, most, group: None, avoid: None })
        } else {
            None
        };
        let Some(server) = chosen else {
            // A client's own repeat that is refused here was counted with its first try.
            if !job.request.repeat && !above {
                self.count(job.tier, false);
            }
            if job.place.is_some() || job.queued {
                self.spare(job.key, job.keeper, units, job.place);
            }
            return self.refuse(&job.request, false, barred.unwrap_or(RefusalReason::NoServer));
        };
        if let Some(c) = self.customers.get_mut(&job.key) {
            c.ceiling.take(if covered { 0.0 } else { units });
            c.open += 1;
        }
        let held = Held {
            job,
            attempts: 0,
            ended: false,
            sent_at: self.now,
            sent_to: (0, 0),
            load: 0.0,
            may_run: None,
        };
        self.held.insert(held);
        self.send(id, server);
    }

    /// How many keepers a customer's units are parted between, each for its part of the gateways.
    fn keepers(&self, plan: usize) -> u32 {
        let plan = &self.cfg.plans[plan];
        let requests = 2.0 * plan.rate / (1.0 + self.cfg.largest.max(1.0));
        let many = ASK_MORE * requests / (KEEPER_PART * self.cfg.note_intake.max(1.0));
        if plan.open > 0 { 1 } else { (many.ceil() as u32).clamp(1, 1 + self.cfg.gateways / FEW) }
    }

    /// Brings a kept store up to now.
    fn refill(&mut self, key: u64) {
        let Some(plan) = self.customers.get(&key).map(|c| c.plan as usize) else { return };
        let (parts, deal, many) = (f64::from(self.keepers(plan)), self.deal(), self.many());
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        let ms = self.now - c.at;
        c.at = self.now;
        c.level = (c.level + plan.rate / parts * ms / 1000.0).min(plan.burst / parts);
        c.kept.fill(deal.kept(plan, parts, c.whole == Some(true)), ms);
        c.demand *= (-ms / DEMAND_MS).exp();
        c.granted *= (-ms / DEMAND_MS).exp();
        // Of many gateways none knows how long the others' attempts take: as long as one may be out.
        let longest = self.cfg.classes.iter().fold(0.0, |most: f64, c| most.max(c.aim));
        let lease = if many { longest } else { LEASE * (self.fleet.took + 20.0) };
        let now = self.now;
        if let Some(p) = &mut c.places {
            while p.out.front().is_some_and(|(_, at)| now - at > lease) {
                p.out.pop_front();
            }
            p.queue.retain(|ask| ask.until > now);
        }
    }

    /// Hands free places to those that wait in line for one; who has no units left for it is told so.
    fn hand_out(&mut self, key: u64) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        let Some(places) = &mut c.places else { return };
        let mut words = Vec::new();
        while places.out.len() < plan.open as usize
            && let Some(ask) = places.queue.pop_front()
        {
            if plan.rate > 0.0 && c.level < ask.units {
                words.push((ask, Word::Deny, 0.0));
                continue;
            }
            c.level -= ask.units;
            c.granted += ask.units * 1000.0 / DEMAND_MS;
            places.out.push_back(((ask.from, ask.number), now));
            words.push((ask, Word::Grant, ask.units));
        }
        words.iter().for_each(|(ask, word, units)| self.answer(key, ask, *word, *units));
    }

    /// A gateway asks for a request's units and place. Granted ones are taken at once.
    fn asked(&mut self, key: u64, plan: usize, ask: Ask, weight: f64) -> (Word, f64) {
        let c = self.customer(key, plan);
        c.whole = Some(ask.whole && c.whole != Some(false));
        self.refill(key);
        // Places whose return was lost come free by time alone: nobody else would tell the line of it.
        self.hand_out(key);
        let (now, took) = (self.now, self.fleet.took);
        let Some(c) = self.customers.get_mut(&key) else { return (Word::Deny, 0.0) };
        let plan = &self.cfg.plans[c.plan as usize];
        c.demand += weight * 1000.0 / DEMAND_MS;
        let inside = (plan.rate <= 0.0 || c.level >= ask.units) && c.kept.holds(ask.units);
        let (out, queued) = c.places.as_ref().map_or((0, 0), |p| (p.out.len(), p.queue.len()));
        let free = !ask.shared || (out < plan.open as usize && queued == 0);
        if inside && free {
            // Of what is left beside, half at the most: others ask too.
            let units = ask.units + ask.extra.min((c.level - ask.units) / 2.0).max(0.0);
            c.level -= units;
            c.granted += units * 1000.0 / DEMAND_MS;
            // Extra units are sent on later, and then covered by their sender's slice.
            c.kept.take(ask.units);
            if ask.shared {
                c.places.get_or_insert_default().out.push_back(((ask.from, ask.number), now));
            }
            return (Word::Grant, units);
        }
        let wait = took * (queued + 1) as f64 / f64::from(plan.open.max(1));
        if inside && !free && now + wait <= ask.until {
            c.places.get_or_insert_default().queue.push_back(ask);
            return (Word::Wait, 0.0);
        }
        (Word::Deny, 0.0)
    }

    /// A gateway tells of units sent on unasked, or given back, of demand and of places given back.
    fn told(&mut self, key: u64, plan: usize, units: f64, place: Option<(u32, u64)>) {
        self.customer(key, plan);
        self.refill(key);
        let Some(c) = self.customers.get_mut(&key) else { return };
        let plan = &self.cfg.plans[c.plan as usize];
        c.level = (c.level - units).clamp(-plan.burst, plan.burst);
        if let Some(p) = &mut c.places {
            p.out.retain(|(id, _)| Some(*id) != place);
        }
        self.hand_out(key);
    }

    fn answer(&mut self, key: u64, ask: &Ask, word: Word, units: f64) {
        if ask.from == self.cfg.me {
            return self.answered(key, ask.from, ask.number, word, units);
        }
        let Some(c) = self.customers.get(&key) else { return };
        let (Ask { from, number, .. }, demand, granted, level) = (*ask, c.demand, c.granted, c.level);
        if self.many() {
            self.questions.say(self.now, (key, from, number), word, units);
        }
        // A refusal comes too late for nobody's good; a grant that does is given back.
        let until = if word == Word::Deny { ask.until } else { f64::INFINITY };
        self.note(from, key, (0.0, until), Item::Answer { number, word, units, demand, granted, level });
    }

    fn answered(&mut self, key: u64, keeper: u32, number: u64, word: Word, units: f64) {
        if !self.questions.news(self.now, number, word) {
            return;
        }
        match (self.waits.remove(number), word) {
            (Some(w), Word::Grant) => {
                self.spare(key, keeper, units - w.request.units, None);
                self.admit(Job { place: Some(number), ..w });
            }
            (Some(w), Word::Deny) => self.refuse(&w.request, w.check, RefusalReason::Quota),
            (Some(mut w), Word::Wait) => {
                let most = WAIT * self.cfg.classes[w.request.class].aim;
                w.until = w.arrived + most.min((w.request.give_up - w.arrived) / 2.0);
                w.queued = true;
                self.wait(w);
            }
            // Too late: what was not sent on meanwhile goes back.
            (None, Word::Grant) => {
                if let Some(h) = self.held.by_number(number).filter(|h| h.job.place.is_none()) {
                    h.job.place = Some(number);
                } else {
                    self.spare(key, keeper, units, Some(number));
                }
            }
            _ => {}
        }
    }

    /// Units granted and not sent on: kept here where the next requests will want them, else given back.
    fn spare(&mut self, key: u64, keeper: u32, units: f64, place: Option<u64>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let name = c.plan as usize;
        let plan = &self.cfg.plans[name];
        let shared = plan.open > 0 && c.slots == u32::MAX;
        if !shared && keeper != self.cfg.me && c.own * STOCK_MS / 500.0 >= units + c.stock {
            c.stock += units;
        } else if units > 0.0 || shared && place.is_some() {
            self.tell(key, keeper, name, -units, place);
        }
    }

    fn tell(&mut self, key: u64, keeper: u32, plan: usize, units: f64, place: Option<u64>) {
        if keeper == self.cfg.me {
            self.told(key, plan, units, place.map(|k| (keeper, k)));
        } else if place.is_some() || (units != 0.0 && self.cfg.plans[plan].rate > 0.0) {
            let wait = if place.is_some() { 0.0 } else { TELL_MS };
            self.note(keeper, key, (wait, f64::INFINITY), Item::Tell { plan, units, place });
        }
    }

    fn count(&mut self, tier: usize, accepted: bool) {
        self.window.count(self.now, tier, accepted);
    }

    /// The chance that a request of this tier is refused.
    fn chance(&mut self, tier: usize) -> f64 {
        let (own, accepts, failures) = self.window.sums(self.now, tier);
        ((own + failures - K * accepts) / (own + failures + 1.0)).max(0.0)
    }

    fn throttled(&mut self, tier: usize) -> bool {
        let chance = self.chance(tier);
        let rate = MIN_RATE * self.servers.len() as f64 / f64::from(self.cfg.gateways);
        let refused = chance > 0.0 && self.rng.random::<f64>() < chance;
        if refused && self.now - self.passed[tier] < 1000.0 / rate {
            return true;
        }
        self.passed[tier] = self.now;
        false
    }

    fn send(&mut self, id: u64, server: Name) {
        let Some(s) = self.servers.get(&server) else { return };
        let (view, class) = (self.view(), self.held.get(id).map_or(0, |h| h.job.request.class));
        let (means, usual) = (view.means(), view.mean_out());
        let (load, expected) = (view.load(s, means), view.foreseen(s, class, means));
        (self.fleet.usual, self.fleet.usual_at) = (usual, self.now);
        self.fleet.in_flight += 1;
        self.takes_connection(&server);
        let (Some(s), Some(h)) = (self.servers.get_mut(&server), self.held.get_mut(id)) else { return };
        s.average(self.now);
        s.out.insert(id, self.now);
        (s.sent_at, s.phase) = (self.now, 0.0);
        self.zones.sent(s.zone);
        h.attempts += 1;
        h.sent_at = self.now;
        h.sent_to = (s.zone, s.cell);
        h.load = load;
        self.rumors.sent(self.now, id, &server, expected);
        let class = &self.cfg.classes[h.job.request.class];
        // An answer past its aim earns nothing: it is not waited for, and silence is not taken for load.
        let end = if class.late_worth > 0.0 { f64::INFINITY } else { h.job.arrived + class.aim };
        let not_past = h.job.request.give_up.min(end);
        let begin_by = match (class.effect, h.may_run) {
            (Effect::Keyed(_), Some((.., at))) => at + class.window,
            _ => f64::INFINITY,
        };
        self.actions.push(Action::Send { id, server, not_past, begin_by });
    }

    fn on_left(&mut self, id: u64) {
        self.waits.remove_id(id);
        let Some(h) = self.held.get_mut(id) else { return };
        h.ended = true;
        let (tier, late) = (h.job.tier, self.now - h.job.arrived > self.cfg.classes[h.job.request.class].aim);
        if late {
            self.count(tier, false);
        }
    }

    fn on_outcome(&mut self, o: &Outcome) {
        (self.fleet.usual, self.fleet.usual_at) = (self.view().mean_out(), self.now);
        let (view, server) = (self.view(), self.servers.get(&o.server));
        let (pace, warmth) = server.map_or((0.0, 1.0), |s| (view.pace(s), view.warmth(s)));
        let many = self.many();
        let Some(h) = self.held.get_mut(o.id) else { return };
        let (key, keeper, class, load) = (h.job.key, h.job.keeper, h.job.request.class, h.load);
        let (plan, units) = (h.job.request.plan, h.job.request.units);
        let well = match o.ending {
            Ending::Ok => Some(true),
            Ending::Cancelled | Ending::Moot => None,
            _ => Some(false),
        };
        self.rumors.ended(self.now, o.id, &o.server, well);
        let ran = !matches!(o.ending, Ending::Full | Ending::Unreachable | Ending::Moot);
        if let Some(s) = self.servers.get_mut(&o.server)
            && s.out.contains_key(&o.id)
        {
            s.average(self.now);
            s.out.remove(&o.id);
            self.fleet.in_flight = self.fleet.in_flight.saturating_sub(1);
            if ran && h.may_run.is_none() {
                h.may_run = Some((h.sent_to.0, h.sent_to.1, h.sent_at));
            }
            // How busy cores were a while back says less than the count of one that sends a good part of
            // it all.
            let report = o.report.map(|r| Report { busy: r.busy.filter(|_| many), ..r });
            if let Some(report) = report {
                self.fleet.told(s, self.now, report);
            }
            let roomy = self.room * self.cfg.classes[class].aim;
            let (now, ending, latency) = (self.now, o.ending, o.latency);
            let times = (self.fleet.class_pace[class], self.cfg.classes[class].aim);
            self.zones.ended(self.now, (s.zone, class, warmth), o, times);
            self.fleet.learn(s, &Seen { now, ending, latency, class, load, pace, warmth, roomy });
        }
        self.leaves_connection(&o.server);
        self.tell(key, keeper, plan, o.units.map_or(0.0, |all| all - units), None);
        let Some(h) = self.held.get(o.id) else { return };
        if h.ended {
            self.finish(o.id);
            return;
        }
        let (tier, in_time) = (h.job.tier, self.now - h.job.arrived <= self.cfg.classes[class].aim);
        if o.last {
            self.finish(o.id);
            self.count(tier, o.ending == Ending::Ok && in_time);
            return;
        }
        if let Some(server) = self.again(o) {
            self.retries -= 1.0;
            self.send(o.id, server);
            return;
        }
        let Some(h) = self.finish(o.id) else { return };
        // An error is an answer: the server had room for it.
        self.count(tier, o.ending == Ending::Error && in_time);
        let effect = self.cfg.classes[class].effect;
        if h.may_run.is_none() || matches!(effect, Effect::Safe | Effect::Keyed(Group::All)) {
            self.refuse(&h.job.request, false, RefusalReason::AttemptsFailed);
        } else {
            self.actions.push(Action::Fail { id: o.id });
        }
    }

    /// Forgets a request whose last attempt has ended, and gives its place back.
    fn finish(&mut self, id: u64) -> Option<Held> {
        let h = self.held.remove(id)?;
        if let Some(c) = self.customers.get_mut(&h.job.key) {
            c.open = c.open.saturating_sub(1);
        }
        let own = self.customers.get(&h.job.key).is_some_and(|c| c.slots < u32::MAX);
        if own || h.job.place.is_some() && self.cfg.plans[h.job.request.plan].open > 0 {
            // Its next one here takes the place at once: each way to the keeper leaves it empty.
            let next = self.waits.of(h.job.key).find(|w| !w.check && (w.queued || !own));
            match next.map(|w| w.number).and_then(|k| self.waits.remove(k)) {
                Some(w) if own => self.admit(w),
                Some(w) => {
                    self.tell(w.key, w.keeper, w.request.plan, w.request.units, None);
                    self.admit(Job { place: h.job.place, ..w });
                }
                None if own => {}
                None => {
                    let (Job { key, keeper, place, .. }, plan) = (&h.job, h.job.request.plan);
                    self.tell(*key, *keeper, plan, 0.0, *place);
                    // Said twice, as a note that is lost would keep the place shut for the whole lease.
                    if self.many() && *keeper != self.cfg.me {
                        let item = Item::Tell { plan, units: 0.0, place: *place };
                        self.post.repeat(*keeper, self.now + AGAIN_MS, item.write(*key, self.now));
                    }
                }
            }
        }
        Some(h)
    }

    /// The server for a further attempt, if one is allowed, affordable and still of use.
    fn again(&mut self, o: &Outcome) -> Option<Name> {
        let h = self.held.get(o.id)?;
        let class = &self.cfg.classes[h.job.request.class];
        let most = (h.job.arrived + class.aim).min(h.job.request.give_up) - self.now;
        let group = match (class.effect, h.may_run) {
            (_, None) | (Effect::Safe, _) => None,
            (Effect::Unsafe, Some(_)) => return None,
            (Effect::Keyed(group), Some((zone, cell, at))) => {
                if self.now - at >= class.window {
                    return None;
                }
                Some((group, zone, cell))
            }
        };
        let spent = self.cfg.max_attempts > 0 && h.attempts >= self.cfg.max_attempts;
        if spent || self.retries < 1.0 || matches!(o.ending, Ending::Cancelled | Ending::Moot) {
            return None;
        }
        let class = h.job.request.class;
        self.choose(Want { class, most, group, avoid: Some(&o.server) })
    }

    /// Puts an item into the next note to a peer, which goes after `wait` ms at the latest; past `until` it
    /// is of no more use.
    fn note(&mut self, to: u32, key: u64, (wait, until): (f64, f64), item: Item) {
        if let Some(text) = self.post.put(self.now, to, (self.now + wait, until), item.write(key, self.now)) {
            self.actions.push(Action::Tell { to, text });
        }
    }

    /// Sends what is due, as far as the peers can take it in; the rest follows in fuller notes.
    fn flush(&mut self) {
        if let Some(text) = self.rumors.due(self.now) {
            self.actions.push(Action::TellAll { text });
        }
        if let Some(after) = self.rumors.wake(self.now) {
            self.actions.push(Action::SetTimer { token: RUMOR, after });
        }
        // A few may all write to one; what one of many writes goes to many, and answers that wait behind its
        // own pace come too late while nobody's intake is full.
        let peers = (f64::from(self.cfg.gateways) / f64::from(FEW)).max(1.0);
        let rate = INTAKE_PART * self.cfg.note_intake.max(1.0) * peers;
        while let Some((to, text)) = self.post.next(self.now, rate) {
            self.actions.push(Action::Tell { to, text });
        }
        if let Some(after) = self.post.wake(self.now, rate) {
            self.actions.push(Action::SetTimer { token: TICK, after });
        }
        let now = self.now;
        self.customers.sweep(now, IDLE_MS / 10.0, |c| {
            c.open > 0
                || now - c.seen < IDLE_MS
                || c.places.as_ref().is_some_and(|p| p.queue.iter().any(|ask| ask.until > now))
        });
    }

    fn on_note(&mut self, from: u32, text: &str) {
        let now = self.now;
        if text.starts_with(MARK) {
            return self.rumors.hear(now, from, text);
        }
        for (key, item) in text.split(';').filter_map(|t| Item::read(t, from, now)) {
            match item {
                Item::Ask { plan, ask, weight } if plan < self.cfg.plans.len() => {
                    let said = self.questions.said(now, (key, from, ask.number));
                    let (word, units) = said.unwrap_or_else(|| self.asked(key, plan, ask, weight));
                    self.answer(key, &ask, word, units);
                }
                Item::Tell { plan, units, place } if plan < self.cfg.plans.len() => {
                    self.told(key, plan, units, place.map(|k| (from, k)));
                }
                Item::Answer { number, word, units, demand, granted, level } => {
                    if let Some(c) = self.customers.get_mut(&key) {
                        c.told = Told { at: self.now, demand, granted, level };
                    }
                    self.answered(key, from, number, word, units);
                }
                _ => {}
            }
        }
    }
}
