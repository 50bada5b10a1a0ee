//! The link to the host's agent: checks come in, decisions go out, and what agents should know of shops.

use crate::ask::{self, CUSTOMERS, WAIT_MOST};
use crate::gateway::{Agents, Asker, Shared};
use frostvale::{Name, Request};
use frostvale_link::VERSION;
use frostvale_link::node::{Host, Peer};
use frostvale_link::proto::decision::Code;
use frostvale_link::proto::outside_state::Breaker as BreakerWord;
use frostvale_link::proto::outside_verdict::Code as VerdictWord;
use frostvale_link::proto::{
    Check, Decision, Hello, OutsideAsk, OutsideState, OutsideVerdict, Plan, Seen, Settle, Welcome,
};
use frostvale_outside::{Breaker, Counts, Verdict};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

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
    peer: Rc<Peer>,
    outside: bool,
    hands: RefCell<Hands>,
}

#[derive(Default)]
struct Hands {
    /// By the agent's numbers: the gatekeeper's own, and the request where a grant is to be held.
    waiting: HashMap<u64, (u64, Option<Request>)>,
    held: HashMap<u64, Request>,
    ages: VecDeque<(Instant, u64)>,
}

impl Hands {
    /// What was held for long counts as used.
    fn let_go(&mut self, now: Instant) {
        while let Some((at, id)) = self.ages.front().copied()
            && (now.saturating_duration_since(at) > HELD || !self.held.contains_key(&id))
        {
            self.ages.pop_front();
            self.held.remove(&id);
        }
    }
}

impl Asker for Line {
    fn verdict(&self, tag: u64, granted: bool, remaining: f64, reset: f64) {
        let mut hands = self.hands.borrow_mut();
        if let Some((_, Some(request))) = hands.waiting.remove(&tag)
            && granted
        {
            hands.held.insert(tag, request);
            hands.ages.push_back((Instant::now(), tag));
        }
        let code = if granted { Code::Granted } else { Code::Over };
        self.peer.decide(Decision {
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
    gateway: Shared,
    name: String,
    started_ms: u64,
    lines: RefCell<HashMap<u64, Rc<Line>>>,
    sets: RefCell<Sets>,
}

impl Links {
    pub fn new(gateway: Shared, name: String) -> Rc<Links> {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(unix.as_millis()).unwrap_or(0);
        let links =
            Rc::new(Links { gateway, name, started_ms, lines: RefCell::default(), sets: RefCell::default() });
        links.gateway.borrow_mut().set_agents(links.clone());
        links
    }

    /// Tells the agents that no new check is taken.
    pub fn stop(&self) {
        self.lines.borrow().values().for_each(|line| line.peer.bye("the gatekeeper stops"));
    }

    fn line(&self, peer: &Rc<Peer>) -> Option<Rc<Line>> {
        self.lines.borrow().get(&peer.number).cloned()
    }

    /// What a check asks for; the text names the field that is wrong and what it may be.
    fn read(&self, check: &Check) -> Result<Request, String> {
        let gateway = self.gateway.borrow();
        let settings = &gateway.settings;
        let below = |name: &str, value: u32, most: usize| {
            let at = usize::try_from(value).unwrap_or(usize::MAX);
            if at < most { Ok(at) } else { Err(format!("{name} {value}: below {most}")) }
        };
        if ask::hex(&check.shop).is_none_or(|number| number >= CUSTOMERS) {
            return Err("shop: 16 hex digits, a number below 2^33".into());
        }
        let most = milli(ask::largest(settings));
        if !(1..=most).contains(&check.units_milli) {
            return Err(format!("units: over 0 and at most {}", most as f64 / 1000.0));
        }
        if !(1..=settings.gateways).contains(&check.spread) {
            return Err(format!("spread {}: 1 to {}", check.spread, settings.gateways));
        }
        if !(1..=WAIT_MOST as u32).contains(&check.within_ms) {
            return Err(format!("within_ms: 1 to {WAIT_MOST}"));
        }
        Ok(Request {
            id: 0,
            customer: check.shop.as_str().into(),
            class: below("class", check.class, settings.classes.len())?,
            plan: below("plan", check.plan, settings.plans.len())?,
            units: check.units_milli as f64 / 1000.0,
            first: below("first", check.first, settings.gateways as usize).map(|_| check.first)?,
            spread: check.spread,
            give_up: 0.0,
            repeat: false,
        })
    }
}

impl Host for Links {
    fn welcome(&self) -> Welcome {
        let gateway = self.gateway.borrow();
        let (conf, settings) = (&gateway.conf, &gateway.settings);
        let plan = |(c, p): (&frostvale::ConfPlan, &frostvale::Plan)| Plan {
            name: c.name.clone(),
            rate_milli: milli(p.rate),
            burst_milli: milli(p.burst),
            ceiling_rate_milli: milli(p.ceiling_rate),
            ceiling_burst_milli: milli(p.ceiling_burst),
        };
        Welcome {
            version: VERSION,
            name: self.name.clone(),
            started_ms: self.started_ms,
            me: settings.me,
            gateways: settings.gateways,
            plans: conf.plans.iter().zip(&settings.plans).map(plan).collect(),
            classes: conf.classes.iter().map(|c| c.name.clone()).collect(),
            largest_milli: milli(settings.largest),
        }
    }

    fn joined(&self, peer: &Rc<Peer>, hello: Hello) {
        let line = Line { peer: peer.clone(), outside: hello.outside, hands: RefCell::default() };
        self.lines.borrow_mut().insert(peer.number, Rc::new(line));
        let sets = self.sets.borrow();
        for (shop, (first, spread)) in sets.young.iter().take(TOLD_MOST) {
            peer.seen(Seen { shop: shop.to_string(), first: *first, spread: *spread });
        }
        if let Some((breaker, counts)) = self.gateway.borrow().outside_state() {
            peer.outside_state(state(breaker, counts));
        }
        // A name comes from outside: what can't be printed would spoil the log.
        let name: String = hello.peer.chars().filter(|c| c.is_ascii_graphic()).take(64).collect();
        eprintln!("frostvale: agent {name} is linked");
    }

    fn check(&self, peer: &Rc<Peer>, check: Check) {
        let Some(line) = self.line(peer) else { return };
        let refuse = |code: Code, error: String| {
            peer.decide(Decision { id: check.id, code: code.into(), error, ..Decision::default() });
        };
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
        let held = check.hold.then(|| request.clone());
        line.hands.borrow_mut().waiting.insert(check.id, (0, held));
        let id = self.gateway.borrow_mut().check(request, f64::from(check.within_ms), check.id, line.clone());
        // Unless it is decided by now, its own number is needed to call it off.
        if let Some(entry) = line.hands.borrow_mut().waiting.get_mut(&check.id) {
            entry.0 = id;
        }
    }

    fn settle(&self, peer: &Rc<Peer>, settle: Settle) {
        let Some(line) = self.line(peer) else { return };
        let held = line.hands.borrow_mut().held.remove(&settle.id);
        if let Some(request) = held.filter(|_| !settle.keep) {
            self.gateway.borrow_mut().unused(request);
        }
    }

    fn outside(&self, _peer: &Rc<Peer>, verdict: OutsideVerdict) {
        let said = match verdict.code() {
            VerdictWord::Ok => {
                Verdict::Ok { ahead: verdict.quota_milli as f64 / 1000.0, ahead_ms: verdict.quota_ms as f64 }
            }
            VerdictWord::Over => Verdict::Over { reset_ms: verdict.reset_ms as f64 },
            VerdictWord::Failed | VerdictWord::Unknown => Verdict::Failed,
        };
        self.gateway.borrow_mut().outside_verdict(verdict.id, said);
    }

    fn left(&self, peer: &Rc<Peer>, why: Option<String>) {
        match why {
            Some(why) => {
                eprintln!("frostvale: an agent was cut off: {why}; RESP2 traffic goes on without it")
            }
            None => eprintln!("frostvale: an agent has left; RESP2 traffic goes on without it"),
        }
        let Some(line) = self.lines.borrow_mut().remove(&peer.number) else { return };
        let waiting = std::mem::take(&mut line.hands.borrow_mut().waiting);
        let mut gateway = self.gateway.borrow_mut();
        gateway.leave(waiting.into_values().map(|(id, _)| id));
        if line.outside && !self.linked() {
            gateway.unlinked();
        }
    }
}

fn state(breaker: Breaker, counts: Counts) -> OutsideState {
    let word = match breaker {
        Breaker::Closed => BreakerWord::Closed,
        Breaker::Open => BreakerWord::Open,
        Breaker::HalfOpen => BreakerWord::HalfOpen,
    };
    OutsideState { breaker: word.into(), failed: counts.failed, by_mode: counts.by_mode }
}

impl Agents for Links {
    fn seen(&self, customer: &Name, first: u32, spread: u32) {
        if self.sets.borrow_mut().see(customer, (first, spread)) {
            for line in self.lines.borrow().values() {
                line.peer.seen(Seen { shop: customer.to_string(), first, spread });
            }
        }
    }

    fn linked(&self) -> bool {
        self.lines.borrow().values().any(|line| line.outside)
    }

    fn ask_outside(&self, call: u64, request: &Request, within: f64) -> bool {
        // Not through `self.gateway`: it is in the middle of this call.
        let lines = self.lines.borrow();
        let Some(line) = lines.values().filter(|line| line.outside).min_by_key(|line| line.peer.number)
        else {
            return false;
        };
        line.peer.ask_outside(OutsideAsk {
            id: call,
            shop: request.customer.to_string(),
            plan: u32::try_from(request.plan).unwrap_or(u32::MAX),
            class: u32::try_from(request.class).unwrap_or(u32::MAX),
            units_milli: milli(request.units),
            within_ms: within.max(1.0) as u32,
        })
    }

    fn breaker(&self, breaker: Breaker, counts: Counts) {
        self.lines.borrow().values().for_each(|line| line.peer.outside_state(state(breaker, counts)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sets_are_told_when_they_change_and_bounded() {
        let mut sets = Sets::default();
        let shop: Name = "00000000b4d65521".into();
        assert!(sets.see(&shop, (0, 2)));
        assert!(!sets.see(&shop, (0, 2)));
        assert!(sets.see(&shop, (1, 2)));
        for k in 0..3 * SEEN_MOST {
            sets.see(&format!("{k:016x}").as_str().into(), (0, 1));
        }
        assert!(sets.young.len() + sets.old.len() <= 2 * SEEN_MOST);
    }
}
