//! The health of a path from gatekeepers to the servers of a zone, as a state machine with hold times.
//!
//! The failover controller keeps one [`ZonePath`] for each pair of zones and one for each zone as all
//! gatekeepers together see it.

use crate::settings::Settings;

/// The state of a path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// The path is healthy and takes all traffic.
    Serving,
    /// The path is impaired: only this fraction (0 to 1) of the traffic that would take it is sent.
    Shedding(f64),
    /// No traffic is sent until `until` at the earliest.
    Out {
        /// In ms of the controller's clock.
        until: u64,
    },
    /// The path is returning: its traffic grows linearly from `INITIAL_FRACTION` to all.
    ComingBack {
        /// When the return began, in ms of the controller's clock.
        since: u64,
        /// How long the return takes, in ms.
        ramp_ms: u64,
    },
}

/// The fraction of traffic at which a return begins: enough to measure failures by, and too little to do
/// harm.
const INITIAL_FRACTION: f64 = 0.05;
/// The lowest fraction that an impaired path still gets, so that its recovery can be observed.
const MIN_FRACTION: f64 = 0.05;
/// The smallest further cut of the fraction of an impaired path; smaller ones are not applied.
const MIN_FRACTION_STEP: f64 = 0.15;

/// An impaired path is confirmed only after `sure_ms` times this factor, and a lost one after `sure_ms`.
const GREY_CONFIRM_FACTOR: u64 = 3;
/// The same factor while the path is returning.
const GREY_CONFIRM_FACTOR_RETURNING: u64 = 8;
/// If too few attempts are seen for `hold_ms` times this factor, the return begins without a measurement.
const NO_DATA_HOLD_FACTOR: u64 = 4;
/// A failed probe has cost almost no requests, so the next one follows after `hold_ms` divided by this.
const PROBE_RETRY_HOLD_DIVISOR: u64 = 4;
/// The share of a zone's own traffic, in thousandths, that probes the zone while it is out. A failed probe
/// therefore needs no decision.
pub(crate) const PROBE_SHARE_MILLI: u32 = 30;

/// What is observed of a path at one instant. Fractions are of attempts that failed or were late, 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathObservation {
    /// The impaired fraction over the window; `None` where too few attempts were made.
    pub impaired: Option<f64>,
    /// The impaired fraction over the recent, shorter window; `None` where too few attempts were made.
    pub impaired_recently: Option<f64>,
    /// The impaired fraction of the probes while the path is out, over the long probe window.
    pub impaired_probes: Option<f64>,
    /// Whether any traffic probes the path while it is out.
    pub has_probes: bool,
    /// Whether any server is listed at the far end.
    pub has_servers: bool,
}

/// The health of one path, updated by [`ZonePath::observe`].
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePath {
    phase: Phase,
    /// Since when the observations have been at or above `out_milli` without a break.
    lost_since: Option<u64>,
    /// Since when they have been at or above `shed_milli` without a break.
    grey_since: Option<u64>,
    /// Since when they have been at or below `clear_milli`, or missing, without a break.
    clear_since: Option<u64>,
    /// Whether at least one observation since `clear_since` had enough attempts.
    clear_seen: bool,
    /// How long the path was held out the last time, in ms.
    hold_ms: u64,
    /// When the path last went out.
    last_out_at: Option<u64>,
    /// When the fraction was last reduced.
    reduced_at: u64,
    /// Since when probes count, while the path is out.
    probing_since: Option<u64>,
}

impl Default for ZonePath {
    fn default() -> Self {
        ZonePath {
            phase: Phase::Serving,
            lost_since: None,
            grey_since: None,
            clear_since: None,
            clear_seen: false,
            hold_ms: 0,
            last_out_at: None,
            reduced_at: 0,
            probing_since: None,
        }
    }
}

/// Updates the start `at` of an uninterrupted condition and returns how long it has lasted, in ms; `None`
/// where it does not hold.
fn track_duration(at: &mut Option<u64>, now: u64, holds: bool) -> Option<u64> {
    if holds {
        at.get_or_insert(now);
    } else {
        *at = None;
    }
    at.map(|at| now.saturating_sub(at))
}

impl ZonePath {
    /// A path that the decision of a former leader took out. When it went out is unknown, so the hold time
    /// starts over.
    #[must_use]
    pub fn out(now: u64, settings: &Settings) -> ZonePath {
        let until = now + settings.hold_ms;
        ZonePath {
            phase: Phase::Out { until },
            hold_ms: settings.hold_ms,
            last_out_at: Some(now),
            ..ZonePath::default()
        }
    }

    /// The current state.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether no traffic is sent, or no more than the least fraction of an impaired path.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match self.phase {
            Phase::Out { .. } => true,
            Phase::Shedding(fraction) => fraction <= MIN_FRACTION,
            _ => false,
        }
    }

    /// The fraction of traffic allowed now, and the one at the end of a return.
    #[must_use]
    pub fn fraction(&self, now: u64) -> (f64, f64) {
        match self.phase {
            Phase::Serving => (1.0, 1.0),
            Phase::Shedding(fraction) => (fraction, fraction),
            Phase::Out { .. } => (0.0, 0.0),
            Phase::ComingBack { since, ramp_ms } => {
                let progress = now.saturating_sub(since) as f64 / ramp_ms.max(1) as f64;
                (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * progress.min(1.0), 1.0)
            }
        }
    }

    /// The remaining time of a return in ms; 0 where there is none.
    #[must_use]
    pub fn remaining_ms(&self, now: u64) -> u64 {
        match self.phase {
            Phase::ComingBack { since, ramp_ms } => (since + ramp_ms).saturating_sub(now),
            _ => 0,
        }
    }

    /// Takes the path out. The hold time doubles, up to `hold_most_ms`, if the path fails again within
    /// `flap_ms` after the previous hold time.
    fn go_out(&mut self, now: u64, settings: &Settings) {
        let is_flapping =
            self.last_out_at.is_some_and(|at| now.saturating_sub(at) <= self.hold_ms + settings.flap_ms);
        self.hold_ms = if is_flapping {
            (self.hold_ms * 2).clamp(settings.hold_ms, settings.hold_most_ms)
        } else {
            settings.hold_ms
        };
        self.last_out_at = Some(now);
        self.phase = Phase::Out { until: now + self.hold_ms };
        self.probing_since = None;
        (self.lost_since, self.grey_since, self.clear_since) = (None, None, None);
    }

    /// Whether a return or probing began at `now`: attempts from before do not count for it.
    #[must_use]
    pub fn just_started(&self, now: u64) -> bool {
        self.probing_since == Some(now)
            || matches!(self.phase, Phase::ComingBack { since, .. } if since == now)
    }

    /// Evaluates the probes of a path that is out; true where its return may begin.
    fn evaluate_probes(&mut self, now: u64, observed: PathObservation, settings: &Settings) -> bool {
        if !observed.has_probes {
            return true;
        }
        let Some(since) = self.probing_since else {
            self.probing_since = Some(now);
            return false;
        };
        let milli = |m: u32| f64::from(m) / 1000.0;
        match observed.impaired_probes {
            Some(x) if x <= milli(settings.clear_milli) => true,
            Some(x) if x >= milli(settings.shed_milli) => {
                self.probing_since = None;
                self.phase = Phase::Out { until: now + settings.hold_ms / PROBE_RETRY_HOLD_DIVISOR };
                false
            }
            _ => now.saturating_sub(since) >= NO_DATA_HOLD_FACTOR * settings.hold_ms,
        }
    }

    /// Applies an observation. Returns whether the state changed.
    pub fn observe(&mut self, now: u64, observed: PathObservation, settings: &Settings) -> bool {
        let PathObservation { impaired, impaired_recently, has_servers, .. } = observed;
        let milli = |m: u32| f64::from(m) / 1000.0;
        let (grey_at, out_at) = (milli(settings.grey_milli), milli(settings.out_milli));
        let lost = [impaired, impaired_recently].into_iter().flatten().any(|x| x >= out_at);
        let grey = impaired.is_some_and(|x| x >= milli(settings.shed_milli));
        // With little traffic most observations have no measurement, which does not count as a failure.
        let clear = impaired.is_none_or(|x| x <= milli(settings.clear_milli));
        self.clear_seen = clear && (self.clear_seen || impaired.is_some());
        let lost_for = track_duration(&mut self.lost_since, now, lost);
        let grey_for = track_duration(&mut self.grey_since, now, grey);
        let clear_for = track_duration(&mut self.clear_since, now, clear);
        let lasts = |lasted_ms: Option<u64>, ms: u64| lasted_ms.is_some_and(|x| x >= ms);
        // A path that is being lost passes through the impaired range first. The impaired state is confirmed
        // more slowly, so that one decision is made and not two. A returning zone has cold servers, and not
        // every gatekeeper has that information yet, so it gets more time.
        let confirm_factor = if matches!(self.phase, Phase::ComingBack { .. }) {
            GREY_CONFIRM_FACTOR_RETURNING
        } else {
            GREY_CONFIRM_FACTOR
        };
        let (is_lost, is_grey) =
            (lasts(lost_for, settings.sure_ms), lasts(grey_for, confirm_factor * settings.sure_ms));
        let before = self.phase;
        // The servers of a lost zone may have been restarted, which not every gatekeeper has observed yet, so
        // they are assumed to be cold.
        let ramp_ms = settings.warm_ms.max(settings.ramp_ms);
        let fraction = |x: f64| (1.0 - x / grey_at).max(MIN_FRACTION);
        let new_fraction = impaired.map_or(MIN_FRACTION, fraction);
        match self.phase {
            Phase::Out { until } => {
                // While the path is out, earlier observations are discarded.
                (self.lost_since, self.grey_since, self.clear_since) = (None, None, None);
                if has_servers && now >= until && self.evaluate_probes(now, observed, settings) {
                    self.probing_since = None;
                    self.phase = Phase::ComingBack { since: now, ramp_ms };
                }
            }
            _ if !has_servers || is_lost => self.go_out(now, settings),
            // A returning path that fails this often has not recovered, however little traffic it carries.
            Phase::ComingBack { .. } if is_grey && impaired.is_some_and(|x| x >= grey_at) => {
                self.go_out(now, settings)
            }
            Phase::Serving | Phase::ComingBack { .. } if is_grey => {
                self.reduced_at = now;
                self.phase = Phase::Shedding(new_fraction);
            }
            Phase::ComingBack { since, ramp_ms } if now >= since + ramp_ms => self.phase = Phase::Serving,
            Phase::Shedding(_)
                if self.clear_seen && lasts(clear_for, settings.hold_ms)
                    || lasts(clear_for, NO_DATA_HOLD_FACTOR * settings.hold_ms) =>
            {
                self.phase = Phase::ComingBack { since: now, ramp_ms: settings.ramp_ms };
            }
            Phase::Shedding(old_fraction) => {
                // The fraction is reduced at once and grows only through a return.
                if old_fraction - new_fraction >= MIN_FRACTION_STEP
                    && impaired.is_some()
                    && now >= self.reduced_at + settings.hold_ms
                {
                    self.reduced_at = now;
                    self.phase = Phase::Shedding(new_fraction);
                }
            }
            Phase::Serving | Phase::ComingBack { .. } => {}
        }
        before != self.phase
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        Settings::default()
    }

    fn observation(impaired: Option<f64>) -> PathObservation {
        PathObservation {
            impaired,
            impaired_recently: impaired,
            impaired_probes: None,
            has_probes: false,
            has_servers: true,
        }
    }

    fn observe_over(
        path: &mut ZonePath,
        from: u64,
        to: u64,
        impaired: impl Fn(u64) -> Option<f64>,
    ) -> Vec<(u64, Phase)> {
        let mut seen = Vec::new();
        for now in (from..to).step_by(100) {
            if path.observe(now, observation(impaired(now)), &settings()) {
                seen.push((now, path.phase()));
            }
        }
        seen
    }

    #[test]
    fn lost_path_goes_out_once_and_returns_in_one_ramp() {
        let mut path = ZonePath::default();
        let seen = observe_over(&mut path, 0, 27_000, |now| match now {
            1000..3500 => Some(1.0),
            3500..6000 => None,
            _ => Some(0.0),
        });
        let kinds: Vec<&str> = seen
            .iter()
            .map(|(_, p)| match p {
                Phase::Out { .. } => "out",
                Phase::ComingBack { .. } => "coming back",
                Phase::Serving => "serving",
                Phase::Shedding(_) => "shedding",
            })
            .collect();
        assert_eq!(kinds, ["out", "coming back", "serving"], "{seen:?}");
        assert_eq!(seen[0].0, 1300, "after sure_ms");
    }

    /// Failed probes must not cause decisions: a loss and a return are two state changes, however long the
    /// outage lasts.
    #[test]
    fn path_with_failing_probes_stays_out_and_returns_when_a_probe_succeeds() {
        let mut path = ZonePath::default();
        let mut kinds = Vec::new();
        for now in (0..60_000).step_by(100) {
            let is_healthy = !(1000..20_000).contains(&now);
            let impaired = Some(if is_healthy { 0.0 } else { 1.0 });
            let observed = PathObservation {
                impaired,
                impaired_recently: impaired,
                impaired_probes: impaired,
                has_probes: true,
                has_servers: true,
            };
            let before = matches!(path.phase(), Phase::Out { .. });
            path.observe(now, observed, &settings());
            let out = matches!(path.phase(), Phase::Out { .. });
            if before != out {
                kinds.push((now, out));
            }
        }
        assert_eq!(kinds.len(), 2, "{kinds:?}");
        assert!(kinds[0] == (1300, true) && (20_000..22_000).contains(&kinds[1].0), "{kinds:?}");
        // If the probes give no measurement for long, the return begins all the same.
        let mut path = ZonePath::out(0, &settings());
        let no_data = PathObservation {
            impaired: None,
            impaired_recently: None,
            impaired_probes: None,
            has_probes: true,
            has_servers: true,
        };
        let back = (0..60_000).step_by(100).find(|now| {
            path.observe(*now, no_data, &settings());
            !matches!(path.phase(), Phase::Out { .. })
        });
        assert_eq!(back, Some(20_000));
    }

    #[test]
    fn path_stays_serving_after_one_bad_observation_or_without_measurements() {
        let mut path = ZonePath::default();
        assert!(!path.observe(0, observation(Some(1.0)), &settings()));
        assert!(!path.observe(200, observation(Some(0.0)), &settings()));
        assert!(!path.observe(400, observation(None), &settings()));
        assert_eq!(path.phase(), Phase::Serving);
    }

    #[test]
    fn flapping_path_is_held_out_for_growing_times() {
        let mut path = ZonePath::default();
        // The path fails for three seconds in every six, for a minute.
        let seen = observe_over(&mut path, 0, 60_000, |now| Some(if now % 6000 < 3000 { 1.0 } else { 0.0 }));
        let outs: Vec<u64> =
            seen.iter().filter(|(_, p)| matches!(p, Phase::Out { .. })).map(|(at, _)| *at).collect();
        assert!((2..=5).contains(&outs.len()), "{seen:?}");
        assert!(outs.windows(3).all(|w| w[2] - w[1] >= w[1] - w[0]), "{outs:?}");
    }

    #[test]
    fn path_shed_until_nothing_is_measured_returns_after_a_while() {
        let mut path = ZonePath::default();
        observe_over(&mut path, 0, 2000, |_| Some(0.6));
        assert!(path.is_closed());
        let after = observe_over(&mut path, 2000, 30_000, |_| None);
        assert!(matches!(after[0], (18_000, Phase::ComingBack { .. })), "{after:?}");
    }

    #[test]
    fn impaired_path_gets_less_traffic_and_path_without_servers_goes_out() {
        let mut path = ZonePath::default();
        observe_over(&mut path, 0, 1000, |_| Some(0.3));
        assert!(
            matches!(path.phase(), Phase::Shedding(fraction) if (0.3..0.5).contains(&fraction)),
            "{path:?}"
        );
        observe_over(&mut path, 1000, 6000, |_| Some(0.6));
        assert_eq!(path.phase(), Phase::Shedding(MIN_FRACTION));
        assert!(path.is_closed());
        observe_over(&mut path, 6000, 16_000, |_| Some(0.0));
        assert_eq!(path.phase(), Phase::Serving);
        let no_servers = PathObservation { has_servers: false, ..observation(None) };
        assert!(path.observe(16_000, no_servers, &settings()));
        assert!(matches!(path.phase(), Phase::Out { .. }));
        assert!(!path.observe(24_000, no_servers, &settings()), "stays out while no server is listed");
        assert!(path.observe(24_100, observation(None), &settings()));
        assert!(
            matches!(path.phase(), Phase::ComingBack { ramp_ms: 17_000, .. }),
            "cold servers return over warm_ms"
        );
    }
}
