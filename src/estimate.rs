//! What is thought of servers' load and speed, and how answers change it. Which of them is taken for a request, and whether
//! one is, is decided elsewhere.

use crate::api::*;
use crate::live::*;
use crate::state::DEMAND_MS;

/// How much one answer moves what is known of a server's speed and of its failures.
const LEARN: f64 = 0.04;
/// The same for a server that is thought to have room for nothing: it is seldom asked.
const LEARN_SLOW: f64 = 0.3;
/// The same for what is known of all servers; the first answers count alike.
const LEARN_ALL: f64 = 0.02;
/// How much one report moves what is known of the load at all servers.
const LEARN_REPORT: f64 = 0.1;
/// What is known of a server's speed grows old over this time.
const PACE_MS: f64 = 20_000.0;
/// A load report is worth less and less over this time.
const REPORT_MS: f64 = 1000.0;
/// A server's failures are forgotten over this time, so that it is tried again.
const FAIL_MS: f64 = 4000.0;
/// The mean in flight over all servers is taken over this many times as long where gateways are many.
const FLEET_TIMES: f64 = 5.0;
/// The part of what this gateway has out at a server now that its peers are taken to have there.
const ALIKE: f64 = 0.5;
/// The most peers this is held of: what one of hundreds has out says nothing of the others' part.
pub(crate) const ALIKE_PEERS: f64 = 3.0;
/// Requests in flight at a server beside one's own that make its answer take twice as long.
pub(crate) const SIDE_BY_SIDE: f64 = 2.0;
/// Cores are never taken to be busier than this: reports are noisy, and a queue's length ends nowhere.
const BUSY_MOST: f64 = 0.95;

/// How much longer an answer takes with so many others in flight.
fn slowdown(others: f64) -> f64 {
    1.0 + others / SIDE_BY_SIDE
}

/// What a server's own word says of the requests it holds beside ours. Where it tells only how busy its cores are: so many
/// that a usual answer takes as much longer as in a queue before two cores that are so busy.
fn others(report: Report, ours: f64) -> Option<f64> {
    let queue = |busy: f64| {
        let square = busy.clamp(0.0, BUSY_MOST).powi(2);
        SIDE_BY_SIDE * square / (1.0 - square)
    };
    report.in_flight.map(|holds| (holds - ours).max(0.0)).or(report.busy.map(queue))
}

/// Moves a known time part of the way to a new one, by ratio: a few answers of many times the usual work must not make a
/// whole class or server look slow, as they would in a plain mean.
fn toward(known: f64, new: f64, part: f64) -> f64 {
    known * (new / known).powf(part)
}

/// What one gateway knows, as of now.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub fleet: &'a Fleet,
    pub cfg: &'a Settings,
    /// How many servers are known.
    pub servers: usize,
    pub now: f64,
}

impl View<'_> {
    /// The part of its capacity a server has by now at the least.
    pub fn warmth(&self, s: &Live) -> f64 {
        if s.since <= 0.0 || self.cfg.warm_within <= 0.0 {
            return 1.0;
        }
        let age = ((self.now - s.since) / self.cfg.warm_within).clamp(0.0, 1.0);
        self.cfg.cold_from + (1.0 - self.cfg.cold_from) * age
    }

    /// What this gateway has out at all servers on average over time: over longer the fewer it sees.
    pub fn mean_out(&self) -> f64 {
        let times = (f64::from(self.cfg.gateways) / 10.0).clamp(1.0, FLEET_TIMES);
        let kept = (-(self.now - self.fleet.usual_at) / (times * DEMAND_MS)).exp();
        self.fleet.usual * kept + self.fleet.in_flight as f64 * (1.0 - kept)
    }

    /// What this gateway has out at a server on average, and what the peers together have there: as this one
    /// on average, or as fresh reports from any server say.
    pub fn means(&self) -> (f64, f64) {
        let mean = self.mean_out() / self.servers.max(1) as f64;
        (mean, self.mixed(self.fleet.reported, mean * f64::from(self.cfg.gateways - 1)))
    }

    /// What is thought to be in flight at a server, from all gateways.
    pub fn load(&self, s: &Live, (mean, fleet): (f64, f64)) -> f64 {
        let peers = f64::from(self.cfg.gateways - 1);
        // Peers see much the same rush: the mean alone lags behind a queue that all build at once.
        let usual = s.usual_now(self.now).max(ALIKE * s.out.len() as f64);
        let usual = (fleet + (usual - mean) * peers.min(ALIKE_PEERS)).max(0.0);
        s.out.len() as f64 + self.mixed(s.reported, usual)
    }

    /// A report while it is fresh, the guess as it grows old.
    fn mixed(&self, report: Option<(f64, f64)>, guess: f64) -> f64 {
        report.map_or(guess, |(at, said)| {
            let kept = (-(self.now - at) / REPORT_MS).exp();
            said * kept + guess * (1.0 - kept)
        })
    }

    /// The time an answer takes from this server alone with nothing else to do, for a usual class.
    /// What was seen grows old and gives way to what is known of its kind.
    pub fn pace(&self, s: &Live) -> f64 {
        let kind =
            self.fleet.kind_pace.get(&s.kind).copied().or(self.fleet.pace).unwrap_or(0.0) / self.warmth(s);
        s.pace.map_or(kind, |p| toward(kind, p, (-(self.now - s.paced_at) / PACE_MS).exp()))
    }

    /// The time an answer should take from this server.
    pub fn foreseen(&self, s: &Live, class: usize, means: (f64, f64)) -> f64 {
        let weight = match (self.fleet.class_pace[class], self.fleet.pace) {
            (c, Some(fleet)) if c > 0.0 && fleet > 0.0 => c / fleet,
            _ => 1.0,
        };
        let oldest = s.out.values().copied().fold(self.now, f64::min);
        (weight * self.pace(s) * slowdown(self.load(s, means))).max(0.5 * (self.now - oldest))
    }

    /// How much of late a server has failed beyond what all do.
    pub fn failing(&self, s: &Live) -> f64 {
        (s.fail * (-(self.now - s.fail_at) / FAIL_MS).exp() - self.fleet.fail).max(0.0)
    }
}

/// An attempt that has ended, with what was known before it did.
pub(crate) struct Seen {
    pub now: f64,
    pub ending: Ending,
    pub latency: f64,
    pub class: usize,
    /// What was thought to be in flight at its server when it was sent.
    pub load: f64,
    /// Its server's pace and warmth.
    pub pace: f64,
    pub warmth: f64,
    /// A pace above this leaves no room for the class.
    pub roomy: f64,
}

impl Fleet {
    /// What a server said of its load, in an answer.
    pub fn told(&mut self, s: &mut Live, now: f64, report: Report) {
        if let Some(others) = others(report, s.out.len() as f64) {
            s.reported = Some((now, others));
            let so_far = self.reported.map_or(others, |(_, mean)| mean);
            self.reported = Some((now, so_far + LEARN_REPORT * (others - so_far)));
        }
    }

    /// Takes in how an attempt ended.
    pub fn learn(&mut self, s: &mut Live, seen: &Seen) {
        let failed = !matches!(seen.ending, Ending::Ok | Ending::Cancelled | Ending::Moot);
        let fail = f64::from(u8::from(failed));
        s.fail = s.fail * (-(seen.now - s.fail_at) / FAIL_MS).exp() * (1.0 - LEARN) + LEARN * 2.0 * fail;
        s.fail_at = seen.now;
        self.fail += LEARN_ALL * (fail - self.fail);
        if seen.ending == Ending::Ok {
            s.rested_at = seen.now;
        }
        if !matches!(seen.ending, Ending::Ok | Ending::Timeout) {
            return;
        }
        let pace = seen.latency.max(0.1) / slowdown(seen.load);
        self.took += LEARN * (seen.latency - self.took);
        self.answers += 1.0;
        let learn_all = LEARN_ALL.max(1.0 / self.answers);
        let fleet = self.pace.unwrap_or(pace);
        let c = &mut self.class_pace[seen.class];
        let weight = if *c > 0.0 { *c / fleet } else { 1.0 };
        *c = if *c > 0.0 { toward(*c, pace, learn_all) } else { pace };
        let own = if seen.pace > 0.0 { seen.pace } else { pace };
        let slow = own * weight > seen.roomy;
        s.pace = Some(toward(own, pace / weight, if slow { LEARN_SLOW } else { LEARN }));
        s.paced_at = seen.now;
        if seen.warmth >= 1.0 {
            let kind = self.kind_pace.entry(s.kind).or_insert(fleet);
            *kind = toward(*kind, pace / weight, learn_all);
        }
        self.pace = Some(toward(fleet, pace, learn_all));
    }
}

#[cfg(test)]
mod tests;
