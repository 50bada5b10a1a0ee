//! Zone routing: which zones may take a request, by a routing snapshot that all gatekeepers of a zone share,
//! and per-zone counts of what this gatekeeper observes.
//!
//! Without a snapshot the module draws no random numbers, counts nothing unless asked to, and decides
//! nothing. A snapshot that is not renewed holds for its stated time and then fades: a growing random share
//! of requests is routed as without it. The shares of the zones are kept by credits that this gatekeeper's
//! own requests earn, so they hold for any amount of traffic per gatekeeper. An operation costs O(number of
//! zones of the snapshot).

use crate::api::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Upper bound of a zone's credit.
const MAX_CREDIT: f64 = 4.0;
/// Lower bound of a zone's credit. Attempts that follow a failed one may use a zone down to it.
const MIN_CREDIT: f64 = -8.0;
/// Weight of one request in the moving averages of the tiers' shares of demand.
const TIER_SHARE_GAIN: f64 = 0.01;
/// An answer is late if it took this multiple of the latency that its class has without load, and also more
/// than [`MIN_LATE_TARGET_SHARE`] of its target.
const LATE_LATENCY_FACTOR: f64 = 5.0;
/// See [`LATE_LATENCY_FACTOR`].
const MIN_LATE_TARGET_SHARE: f64 = 0.5;
/// Capacity share from which a server counts as warm.
const MIN_WARM_CAPACITY_SHARE: f64 = 0.95;
/// Weight of one attempt in the moving average of the failure rate in the local zone.
const FAILURE_RATE_GAIN: f64 = 0.1;
/// Time constant of the decay of that failure rate.
const FAILURE_RATE_DECAY_MS: f64 = 2000.0;
/// Above this failure rate a snapshot that sends requests to the local zone is ignored for a share of the
/// requests that equals the failure rate.
const MIN_OVERRIDE_FAILURE_RATE: f64 = 0.2;
/// A local share up to this only probes the zone: first attempts alone go there, and not those of all
/// gatekeepers at once.
const MAX_PROBE_SHARE: f64 = 0.04;
/// The service time of a class at a warm server is estimated as this quantile of the answers' latencies.
/// Queues and busy hosts delay answers; a higher quantile would make the required concurrency look larger
/// than it is during a fault.
const SERVICE_TIME_QUANTILE: f64 = 0.1;
/// Step by which one answer moves the estimate of the service time, as an exponent.
const SERVICE_TIME_GAIN: f64 = 0.03;
/// Upper bound of the zones that a snapshot and the observation counts distinguish.
const MAX_ZONES: usize = 64;

/// A share of a gatekeeper's requests, from 0 to 1, that ramps linearly from one value to another.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ZoneShare {
    /// Value at the start of the ramp.
    pub start: f64,
    /// Value at the end of the ramp.
    pub end: f64,
}

/// Routing decision for all gatekeepers of this one's zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutingSnapshot {
    /// Share of requests that may stay in this gatekeeper's zone; with 1 the zone takes all that it has
    /// capacity for.
    pub local: ZoneShare,
    /// Shares of requests that may go to other zones, by zone.
    pub spill: Vec<(u32, ZoneShare)>,
    /// Duration of the ramp from the shares' first value to their last, in ms.
    pub ramp_ms: f64,
    /// Part of the ramp that has passed when the snapshot is applied, in ms.
    pub age_ms: f64,
    /// Time for which the snapshot holds when it is not renewed, in ms.
    pub hold_ms: f64,
    /// Time over which the snapshot fades after `hold_ms`, in ms.
    pub fade_ms: f64,
}

impl RoutingSnapshot {
    /// Checks that the snapshot can be applied.
    ///
    /// # Errors
    /// If a share is not from 0 to 1, a time is not from 0 to 3,600,000 ms, a zone is listed twice, or 64 or
    /// more zones are listed.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |what: &str| Err(SettingsError(what.to_string()));
        let is_share = |p: &ZoneShare| [p.start, p.end].iter().all(|x| (0.0..=1.0).contains(x));
        let is_time = |x: f64| x.is_finite() && (0.0..=3.6e6).contains(&x);
        if !is_share(&self.local) || !self.spill.iter().all(|(_, p)| is_share(p)) {
            return invalid("invalid routing snapshot: a share is not from 0 to 1");
        }
        if ![self.ramp_ms, self.age_ms, self.hold_ms, self.fade_ms].into_iter().all(is_time) {
            return invalid("invalid routing snapshot: a time is not from 0 to 3,600,000 ms");
        }
        let mut zones: Vec<u32> = self.spill.iter().map(|(z, _)| *z).collect();
        zones.sort_unstable();
        zones.dedup();
        if zones.len() < self.spill.len() || zones.len() >= MAX_ZONES {
            return invalid(
                "invalid routing snapshot: a zone is listed twice, or 64 or more zones are listed",
            );
        }
        Ok(())
    }
}

/// What a gatekeeper has observed of the zones since the last observation was taken.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneObservation {
    /// Concurrency that the requests required, whether or not they were sent on: requests in service at once,
    /// on average.
    pub required_concurrency: f64,
    /// By zone and class: attempts that ended, those that failed, and those that were answered late.
    pub attempt_counts: Vec<(u32, usize, [u32; 3])>,
    /// By zone: the number of servers that requests may be sent to, their total size, and their total size
    /// weighted by each server's warm-up progress.
    pub capacity: Vec<(u32, u32, f64, f64)>,
}

/// The snapshot in effect, with the credits of its zones.
struct ActiveSnapshot {
    snapshot: RoutingSnapshot,
    /// When the ramp started.
    ramp_started_at: f64,
    /// When the snapshot was last received.
    renewed_at: f64,
    /// Credit of each zone, the local zone first, then the others in the order of `spill`. A request adds
    /// each zone's share to its credit, and an attempt at a zone costs 1.
    credits: Vec<f64>,
    /// Whether the initial credit of a probed local zone has been drawn at random.
    has_drawn_probe_credit: bool,
}

impl ActiveSnapshot {
    /// Probability that the snapshot applies to a request: 1 while it holds, then falling linearly to 0.
    fn strength(&self, now: f64) -> f64 {
        let expired_ms = now - self.renewed_at - self.snapshot.hold_ms;
        if expired_ms <= 0.0 { 1.0 } else { (1.0 - expired_ms / self.snapshot.fade_ms.max(1.0)).max(0.0) }
    }

    /// Shares at this point of the ramp, in the order of `credits`.
    fn current_shares(&self, now: f64) -> impl Iterator<Item = f64> {
        let progress = if self.snapshot.ramp_ms > 0.0 {
            ((now - self.ramp_started_at) / self.snapshot.ramp_ms).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let all = std::iter::once(&self.snapshot.local).chain(self.snapshot.spill.iter().map(|(_, p)| p));
        all.map(move |p| p.start + (p.end - p.start) * progress)
    }
}

/// Zone routing state of one gatekeeper.
#[derive(Default)]
pub(crate) struct ZoneRouting {
    local_zone: u32,
    is_observing: bool,
    active: Option<ActiveSnapshot>,
    /// Moving average of each priority tier's share of the requests.
    tier_shares: Vec<f64>,
    /// Recent failure rate of attempts in the local zone, and its time.
    failure_rate: (f64, f64),
    /// By zone and class: attempts that ended, failed, and were answered late, since `observing_since`.
    counts: BTreeMap<(u32, usize), [u32; 3]>,
    /// Total service time in ms that the requests since `observing_since` require.
    required_ms: f64,
    observing_since: f64,
    /// Estimated service time of a request by class, in ms; 0 before the first answer.
    service_times_ms: Vec<f64>,
}

impl ZoneRouting {
    /// Creates the state of a gatekeeper in zone `local_zone`, with this number of priority tiers.
    pub fn new(local_zone: u32, tiers: usize) -> ZoneRouting {
        ZoneRouting { local_zone, tier_shares: vec![0.0; tiers], ..ZoneRouting::default() }
    }

    /// Applies a routing snapshot, or renews the active one if it is the same but for its age. An invalid
    /// snapshot, or one that lists the local zone in `spill`, changes nothing.
    pub fn apply_snapshot(&mut self, now: f64, snapshot: RoutingSnapshot) {
        if snapshot.check().is_err() || snapshot.spill.iter().any(|(zone, _)| *zone == self.local_zone) {
            return;
        }
        let ramp_started_at = now - snapshot.age_ms;
        match &mut self.active {
            Some(active)
                if active.snapshot
                    == (RoutingSnapshot { age_ms: active.snapshot.age_ms, ..snapshot.clone() }) =>
            {
                active.renewed_at = now
            }
            active => {
                let credits = vec![1.0; snapshot.spill.len() + 1];
                *active = Some(ActiveSnapshot {
                    snapshot,
                    ramp_started_at,
                    renewed_at: now,
                    credits,
                    has_drawn_probe_credit: false,
                });
            }
        }
    }

    /// Accounts for a request that needs a server: adds to the observed demand and to the zones' credits.
    /// Returns true if the request is to be refused, because all zones together cannot take the demand and
    /// its tier is among the lowest. `unloaded_ms` is the latency that its class has without load.
    pub fn should_refuse(
        &mut self,
        now: f64,
        (tier, class): (usize, usize),
        unloaded_ms: f64,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        if self.is_observing {
            self.required_ms +=
                self.service_times_ms.get(class).copied().filter(|p| *p > 0.0).unwrap_or(unloaded_ms);
        }
        let Some(active) = &mut self.active else { return false };
        let strength = active.strength(now);
        if strength <= 0.0 {
            self.active = None;
            return false;
        }
        let current_shares: Vec<f64> = active.current_shares(now).collect();
        if !active.has_drawn_probe_credit {
            active.has_drawn_probe_credit = true;
            // Hundreds of gatekeepers receive at once that a zone is out; a random credit keeps them from
            // probing it all with their next request.
            if current_shares[0] <= MAX_PROBE_SHARE {
                active.credits[0] = rng.random();
            }
        }
        for (credit, share) in active.credits.iter_mut().zip(&current_shares) {
            *credit = (*credit + share).min(MAX_CREDIT);
        }
        self.tier_shares.iter_mut().for_each(|t| *t *= 1.0 - TIER_SHARE_GAIN);
        self.tier_shares[tier] += TIER_SHARE_GAIN;
        let accepted_share = current_shares.iter().sum::<f64>();
        if accepted_share >= 0.999 {
            return false;
        }
        // Higher tiers are accepted first; this tier gets what remains of the accepted share.
        let higher_tiers: f64 = self.tier_shares[..tier].iter().sum();
        let all: f64 = self.tier_shares.iter().sum();
        let accept_probability =
            ((accepted_share * all - higher_tiers) / self.tier_shares[tier].max(1e-9)).clamp(0.0, 1.0);
        rng.random::<f64>() >= 1.0 - strength * (1.0 - accept_probability)
    }

    /// Zones that may take a request, in the order in which they are to be tried; `None` where no snapshot
    /// applies to it. After an attempt that failed in the zone `failed`, that zone comes last.
    pub fn candidate_zones(&mut self, now: f64, failed: Option<u32>, rng: &mut Pcg64Mcg) -> Option<Vec<u32>> {
        let active = self.active.as_ref()?;
        let strength = active.strength(now);
        if strength <= 0.0 || strength < 1.0 && rng.random::<f64>() >= strength {
            return None;
        }
        let current_shares: Vec<f64> = active.current_shares(now).collect();
        // The snapshot may be older than this gatekeeper's own observations: where the local zone fails, some
        // requests are routed as without a snapshot.
        let failure_rate = self.failure_rate.0 * (-(now - self.failure_rate.1) / FAILURE_RATE_DECAY_MS).exp();
        if current_shares[0] > MAX_PROBE_SHARE
            && failure_rate > MIN_OVERRIDE_FAILURE_RATE
            && rng.random::<f64>() < failure_rate
        {
            return None;
        }
        let min_credit = if failed.is_some() { MIN_CREDIT } else { 1.0 };
        let zone = |k: usize| if k == 0 { self.local_zone } else { active.snapshot.spill[k - 1].0 };
        let is_local_allowed = match current_shares[0] {
            // A request that failed elsewhere is not used to probe the zone.
            share if share <= MAX_PROBE_SHARE => share > 0.0 && failed.is_none() && active.credits[0] >= 1.0,
            share => share >= 0.999 || active.credits[0] >= min_credit,
        };
        let mut remote: Vec<(f64, u32)> = (1..current_shares.len())
            .filter(|k| current_shares[*k] > 0.0 && active.credits[*k] >= min_credit)
            // Weighted random order: each zone draws an exponential variate with its share as rate; the least
            // comes first.
            .map(|k| (-(1.0 - rng.random::<f64>()).ln() / current_shares[k], zone(k)))
            .collect();
        remote.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut all: Vec<u32> = is_local_allowed
            .then_some(self.local_zone)
            .into_iter()
            .chain(remote.into_iter().map(|f| f.1))
            .collect();
        if let Some(failed) = failed {
            all.sort_by_key(|z| *z == failed);
        }
        Some(all)
    }

    /// Charges an attempt that is sent to a zone against its credit.
    pub fn record_sent(&mut self, zone: u32) {
        let Some(active) = &mut self.active else { return };
        let index = if zone == self.local_zone {
            Some(0)
        } else {
            active.snapshot.spill.iter().position(|(z, _)| *z == zone).map(|k| k + 1)
        };
        if let Some(credit) = index.and_then(|k| active.credits.get_mut(k)) {
            *credit = (*credit - 1.0).max(MIN_CREDIT);
        }
    }

    /// Records the end of an attempt at a server of this zone, with the server's capacity share while it
    /// warms up. `unloaded_ms` is the latency that the class has without load, `target_ms` its target.
    pub fn record_result(
        &mut self,
        now: f64,
        (zone, class, capacity_share): (u32, usize, f64),
        result: &AttemptResult,
        (unloaded_ms, target_ms): (f64, f64),
    ) {
        if matches!(result.outcome, AttemptOutcome::Cancelled | AttemptOutcome::Moot)
            || self.active.is_none() && !self.is_observing
        {
            return;
        }
        if self.counts.len() >= MAX_ZONES * 64 && !self.counts.contains_key(&(zone, class)) {
            return;
        }
        // A server that is warming up is slower without being faulty.
        let is_slow = result.latency > LATE_LATENCY_FACTOR * unloaded_ms / capacity_share.max(0.01);
        let is_failure = match result.outcome {
            AttemptOutcome::Timeout => capacity_share >= MIN_WARM_CAPACITY_SHARE || is_slow,
            outcome => {
                matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Unreachable | AttemptOutcome::Reset)
            }
        };
        let is_late = result.outcome == AttemptOutcome::Ok
            && unloaded_ms > 0.0
            && is_slow
            && result.latency > MIN_LATE_TARGET_SHARE * target_ms;
        if zone == self.local_zone {
            let rate =
                self.failure_rate.0 * (-(now - self.failure_rate.1).max(0.0) / FAILURE_RATE_DECAY_MS).exp();
            self.failure_rate = (rate + FAILURE_RATE_GAIN * (f64::from(u8::from(is_failure)) - rate), now);
        }
        if !self.is_observing {
            return;
        }
        if result.outcome == AttemptOutcome::Ok
            && capacity_share >= MIN_WARM_CAPACITY_SHARE
            && result.latency > 0.0
        {
            if self.service_times_ms.len() <= class {
                self.service_times_ms.resize(class + 1, 0.0);
            }
            let service_time_ms = &mut self.service_times_ms[class];
            let below = f64::from(u8::from(result.latency < *service_time_ms));
            *service_time_ms = if *service_time_ms > 0.0 {
                *service_time_ms * (SERVICE_TIME_GAIN * (SERVICE_TIME_QUANTILE - below)).exp()
            } else {
                result.latency
            };
        }
        let counts = self.counts.entry((zone, class)).or_default();
        for (sum, one) in counts.iter_mut().zip([true, is_failure, is_late]) {
            *sum = sum.saturating_add(u32::from(one));
        }
    }

    /// Starts or stops the counting of observations; either way the counts are reset.
    pub fn set_observing(&mut self, now: f64, is_observing: bool) {
        (self.is_observing, self.observing_since, self.required_ms) = (is_observing, now, 0.0);
        self.counts.clear();
    }

    /// Returns the observation since the last call and resets the counts. The caller fills in `capacity`.
    pub fn take_observation(&mut self, now: f64) -> ZoneObservation {
        let ms = (now - self.observing_since).max(1.0);
        let required_concurrency = std::mem::take(&mut self.required_ms) / ms;
        self.observing_since = now;
        let attempt_counts = std::mem::take(&mut self.counts)
            .into_iter()
            .map(|((zone, class), sums)| (zone, class, sums))
            .collect();
        ZoneObservation { required_concurrency, attempt_counts, capacity: Vec::new() }
    }
}

#[cfg(test)]
mod tests;
