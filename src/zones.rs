//! The seam for zones: which zones may take a request, by a guide that was decided in common, and what is seen of each zone.
//!
//! Without a guide nothing here draws, counts or decides. One that is not renewed holds for its stated time and then fades:
//! by lot, more and more requests are decided as without. What may go where is dealt by credits that this gatekeeper's own
//! requests earn, so that shares hold whatever each gatekeeper's traffic is.

use crate::api::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Credits that are saved up for a zone, and how far below nothing further attempts may take them.
const CREDIT_MOST: f64 = 4.0;
const CREDIT_LEAST: f64 = -8.0;
/// How much one request moves what is known of the worth that is asked.
const LEARN_TIERS: f64 = 0.01;
/// An answer that took so many times what its class takes alone is late, where that is a good part of its aim.
const LATE_TIMES: f64 = 5.0;
const LATE_PART: f64 = 0.5;
/// A server with this part of its strength is warm.
const WARM: f64 = 0.95;
/// How much one attempt moves what is known of failures at home, and over which time they are forgotten, in ms; above this
/// part a decision that sends requests there is not held to by as much.
const LEARN_FAILS: f64 = 0.1;
const FORGET_FAILS_MS: f64 = 2000.0;
const FAILS_LEAST: f64 = 0.2;
/// Up to this part a zone is only tried: by first attempts alone, and not all gatekeepers at once.
const TRIAL: f64 = 0.04;
/// What a request of a class takes at a warm server is the lower tenth of what answers take: queues and busy hosts make
/// answers late, and must not make a fault look as if more were needed than is. How far one answer moves it.
const PACE_QUANTILE: f64 = 0.1;
const LEARN_PACE: f64 = 0.03;
/// Zones that are told apart in what was seen.
const ZONES_MOST: usize = 64;

/// A part of a gatekeeper's requests that moves from one value to another.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ZoneShare {
    /// At first.
    pub start: f64,
    /// At the end.
    pub end: f64,
}

/// What was decided for the gatekeepers of this one's zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutingSnapshot {
    /// What may stay in this gatekeeper's zone; 1 for all there is room for.
    pub local: ZoneShare,
    /// What may go to other zones.
    pub spill: Vec<(u32, ZoneShare)>,
    /// How long parts take from their first value to the last, and how much of that has passed, in ms.
    pub ramp_ms: f64,
    /// See `ramp_ms`.
    pub age_ms: f64,
    /// For how long it holds when it is not renewed, and then how long it takes to fade, in ms.
    pub hold_ms: f64,
    /// See `hold_ms`.
    pub fade_ms: f64,
}

impl RoutingSnapshot {
    /// Whether it can be acted on.
    ///
    /// # Errors
    /// With what can't.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |what: &str| Err(SettingsError(what.to_string()));
        let part = |p: &ZoneShare| [p.start, p.end].iter().all(|x| (0.0..=1.0).contains(x));
        let time = |x: f64| x.is_finite() && (0.0..=3.6e6).contains(&x);
        if !part(&self.local) || !self.spill.iter().all(|(_, p)| part(p)) {
            return bad("a part of a guide is not from 0 to 1");
        }
        if ![self.ramp_ms, self.age_ms, self.hold_ms, self.fade_ms].into_iter().all(time) {
            return bad("a time of a guide is not from 0 to 3,600,000 ms");
        }
        let mut zones: Vec<u32> = self.spill.iter().map(|(z, _)| *z).collect();
        zones.sort_unstable();
        zones.dedup();
        if zones.len() < self.spill.len() || zones.len() >= ZONES_MOST {
            return bad("a guide names a zone twice, or too many");
        }
        Ok(())
    }
}

/// What was seen since the last look.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneObservation {
    /// What requests needed, whether or not they were sent on: requests worked on at once, on average.
    pub required_concurrency: f64,
    /// By zone and class: attempts that ended, those that failed, those that came late.
    pub attempt_counts: Vec<(u32, usize, [u32; 3])>,
    /// By zone: servers that may be sent to, their size, and their size as warm as they are.
    pub capacity: Vec<(u32, u32, f64, f64)>,
}

struct Held {
    guide: RoutingSnapshot,
    /// When its ramp began and when it was last heard.
    since: f64,
    heard: f64,
    /// What is saved up for each zone, near first.
    credit: Vec<f64>,
    /// Whether the first credit of a trial was drawn.
    drawn: bool,
}

impl Held {
    fn strength(&self, now: f64) -> f64 {
        let over = now - self.heard - self.guide.hold_ms;
        if over <= 0.0 { 1.0 } else { (1.0 - over / self.guide.fade_ms.max(1.0)).max(0.0) }
    }

    fn parts(&self, now: f64) -> impl Iterator<Item = f64> {
        let gone = if self.guide.ramp_ms > 0.0 {
            ((now - self.since) / self.guide.ramp_ms).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let all = std::iter::once(&self.guide.local).chain(self.guide.spill.iter().map(|(_, p)| p));
        all.map(move |p| p.start + (p.end - p.start) * gone)
    }
}

/// What one gatekeeper knows of zones.
#[derive(Default)]
pub(crate) struct ZoneRouting {
    home: u32,
    watches: bool,
    held: Option<Held>,
    /// The worth that is asked, by tier.
    tiers: Vec<f64>,
    /// The part of attempts at home that failed of late, and as of when.
    fails: (f64, f64),
    seen: BTreeMap<(u32, usize), [u32; 3]>,
    wanted: f64,
    since: f64,
    /// What a request takes, by class, as far as it was seen.
    paces: Vec<f64>,
}

impl ZoneRouting {
    pub fn new(home: u32, tiers: usize) -> ZoneRouting {
        ZoneRouting { home, tiers: vec![0.0; tiers], ..ZoneRouting::default() }
    }

    /// Takes a guide in; one that can't be acted on changes nothing. The same one again renews it.
    pub fn apply_snapshot(&mut self, now: f64, guide: RoutingSnapshot) {
        if guide.check().is_err() || guide.spill.iter().any(|(zone, _)| *zone == self.home) {
            return;
        }
        let since = now - guide.age_ms;
        match &mut self.held {
            Some(held) if held.guide == (RoutingSnapshot { age_ms: held.guide.age_ms, ..guide.clone() }) => {
                held.heard = now
            }
            held => {
                let credit = vec![1.0; guide.spill.len() + 1];
                *held = Some(Held { guide, since, heard: now, credit, drawn: false });
            }
        }
    }

    /// A request wants a server. True if it is to be turned away, as all zones together can't bear what is asked and it is
    /// among what is worth least.
    pub fn should_refuse(
        &mut self,
        now: f64,
        (tier, class): (usize, usize),
        alone: f64,
        lots: &mut Pcg64Mcg,
    ) -> bool {
        if self.watches {
            self.wanted += self.paces.get(class).copied().filter(|p| *p > 0.0).unwrap_or(alone);
        }
        let Some(held) = &mut self.held else { return false };
        let strength = held.strength(now);
        if strength <= 0.0 {
            self.held = None;
            return false;
        }
        let parts: Vec<f64> = held.parts(now).collect();
        if !held.drawn {
            held.drawn = true;
            // Hundreds of gatekeepers that hear at once that a zone is out don't all try it with their next request.
            if parts[0] <= TRIAL {
                held.credit[0] = lots.random();
            }
        }
        for (credit, part) in held.credit.iter_mut().zip(&parts) {
            *credit = (*credit + part).min(CREDIT_MOST);
        }
        self.tiers.iter_mut().for_each(|t| *t *= 1.0 - LEARN_TIERS);
        self.tiers[tier] += LEARN_TIERS;
        let passes = parts.iter().sum::<f64>();
        if passes >= 0.999 {
            return false;
        }
        // What is worth more goes first; this tier has what is left of it.
        let better: f64 = self.tiers[..tier].iter().sum();
        let all: f64 = self.tiers.iter().sum();
        let chance = ((passes * all - better) / self.tiers[tier].max(1e-9)).clamp(0.0, 1.0);
        lots.random::<f64>() >= 1.0 - strength * (1.0 - chance)
    }

    /// The zones that may take a request, in the order in which they are to be tried; none where nothing was decided. After
    /// an attempt that failed in a zone the others come first.
    pub fn candidate_zones(
        &mut self,
        now: f64,
        failed: Option<u32>,
        lots: &mut Pcg64Mcg,
    ) -> Option<Vec<u32>> {
        let held = self.held.as_ref()?;
        let strength = held.strength(now);
        if strength <= 0.0 || strength < 1.0 && lots.random::<f64>() >= strength {
            return None;
        }
        let parts: Vec<f64> = held.parts(now).collect();
        // A decision may be older than what this gatekeeper sees: it goes by its own eyes then, as without.
        let fails = self.fails.0 * (-(now - self.fails.1) / FORGET_FAILS_MS).exp();
        if parts[0] > TRIAL && fails > FAILS_LEAST && lots.random::<f64>() < fails {
            return None;
        }
        let least = if failed.is_some() { CREDIT_LEAST } else { 1.0 };
        let zone = |k: usize| if k == 0 { self.home } else { held.guide.spill[k - 1].0 };
        let near = match parts[0] {
            // One that is only tried is no place for what failed elsewhere.
            part if part <= TRIAL => part > 0.0 && failed.is_none() && held.credit[0] >= 1.0,
            part => part >= 0.999 || held.credit[0] >= least,
        };
        let mut far: Vec<(f64, u32)> = (1..parts.len())
            .filter(|k| parts[*k] > 0.0 && held.credit[*k] >= least)
            // By weight: the least of these comes first.
            .map(|k| (-(1.0 - lots.random::<f64>()).ln() / parts[k], zone(k)))
            .collect();
        far.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut all: Vec<u32> =
            near.then_some(self.home).into_iter().chain(far.into_iter().map(|f| f.1)).collect();
        if let Some(failed) = failed {
            all.sort_by_key(|z| *z == failed);
        }
        Some(all)
    }

    /// An attempt goes to a zone.
    pub fn record_sent(&mut self, zone: u32) {
        let Some(held) = &mut self.held else { return };
        let at = if zone == self.home {
            Some(0)
        } else {
            held.guide.spill.iter().position(|(z, _)| *z == zone).map(|k| k + 1)
        };
        if let Some(credit) = at.and_then(|k| held.credit.get_mut(k)) {
            *credit = (*credit - 1.0).max(CREDIT_LEAST);
        }
    }

    /// An attempt at a server of a zone, as warm as it is, has ended; `alone` is what its class takes with nothing else to do.
    pub fn record_result(
        &mut self,
        now: f64,
        (zone, class, capacity_share): (u32, usize, f64),
        o: &AttemptResult,
        (alone, aim): (f64, f64),
    ) {
        if matches!(o.outcome, AttemptOutcome::Cancelled | AttemptOutcome::Moot)
            || self.held.is_none() && !self.watches
        {
            return;
        }
        if self.seen.len() >= ZONES_MOST * 64 && !self.seen.contains_key(&(zone, class)) {
            return;
        }
        // A cold one takes its time and is not ill.
        let long = o.latency > LATE_TIMES * alone / capacity_share.max(0.01);
        let bad = match o.outcome {
            AttemptOutcome::Timeout => capacity_share >= WARM || long,
            outcome => {
                matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Unreachable | AttemptOutcome::Reset)
            }
        };
        let late = o.outcome == AttemptOutcome::Ok && alone > 0.0 && long && o.latency > LATE_PART * aim;
        if zone == self.home {
            let known = self.fails.0 * (-(now - self.fails.1).max(0.0) / FORGET_FAILS_MS).exp();
            self.fails = (known + LEARN_FAILS * (f64::from(u8::from(bad)) - known), now);
        }
        if !self.watches {
            return;
        }
        if o.outcome == AttemptOutcome::Ok && capacity_share >= WARM && o.latency > 0.0 {
            if self.paces.len() <= class {
                self.paces.resize(class + 1, 0.0);
            }
            let pace = &mut self.paces[class];
            let below = f64::from(u8::from(o.latency < *pace));
            *pace =
                if *pace > 0.0 { *pace * (LEARN_PACE * (PACE_QUANTILE - below)).exp() } else { o.latency };
        }
        let seen = self.seen.entry((zone, class)).or_default();
        for (sum, one) in seen.iter_mut().zip([true, bad, late]) {
            *sum = sum.saturating_add(u32::from(one));
        }
    }

    /// From now on what is seen is counted, or not any more.
    pub fn set_observing(&mut self, now: f64, on: bool) {
        (self.watches, self.since, self.wanted) = (on, now, 0.0);
        self.seen.clear();
    }

    /// What was seen since the last look.
    pub fn take_observation(&mut self, now: f64) -> ZoneObservation {
        let ms = (now - self.since).max(1.0);
        let required_concurrency = std::mem::take(&mut self.wanted) / ms;
        self.since = now;
        let attempt_counts = std::mem::take(&mut self.seen)
            .into_iter()
            .map(|((zone, class), sums)| (zone, class, sums))
            .collect();
        ZoneObservation { required_concurrency, attempt_counts, capacity: Vec::new() }
    }
}

#[cfg(test)]
mod tests;
