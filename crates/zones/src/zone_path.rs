//! What is thought of a way from gatekeepers to a zone's servers, and for how long: one lane for each pair of zones, and one
//! for each zone as all see it together.

use crate::settings::Settings;

/// How it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// As it should be.
    Serving,
    /// This part of what would go is sent.
    Shedding(f64),
    /// Nothing is sent until then, at the least.
    Out {
        /// In ms of the judge's clock.
        until: u64,
    },
    /// More and more is sent.
    Coming {
        /// Since then.
        since: u64,
        /// Over so many ms.
        ramp: u64,
    },
}

/// Where a way back begins: enough to see something by, little enough to do no harm.
const FIRST: f64 = 0.05;
/// A zone that is nearly all grey is still sent this part, so that its mending is seen.
const TRICKLE: f64 = 0.05;
/// Parts are told apart in such steps.
const STEP: f64 = 0.15;

/// What is grey has to be so for so many times as long as what is lost.
const GREY_TIMES: u64 = 3;
const GREY_TIMES_BACK: u64 = 8;
/// Where so little is sent that nothing is seen for so many times the hold, the way back is tried.
const BLIND_TIMES: u64 = 4;
/// A trial that went badly has cost next to nothing: the next one comes after this part of the least hold.
const AGAIN_PART: u64 = 4;
/// The part of a zone's own traffic that goes on trying it while it is out, in thousandths: a failed trial takes no decision.
pub(crate) const TRIES_MILLI: u32 = 30;

/// What is seen of a lane.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathObservation {
    /// The part that suffers, over the window and of late, where enough was tried.
    pub suffers: Option<f64>,
    /// See `suffers`.
    pub quick: Option<f64>,
    /// While it is out: the part that suffers of what still tries it, over a long time.
    pub trial: Option<f64>,
    /// Whether anything tries it while it is out.
    pub tries: bool,
    /// Whether there are servers at all.
    pub there: bool,
}

/// One lane.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePath {
    phase: Phase,
    /// Since when what is seen speaks for another phase.
    bad_since: Option<u64>,
    grey_since: Option<u64>,
    fine_since: Option<u64>,
    clear_seen: bool,
    /// How long it was out the last time, and when it last was.
    hold: u64,
    last_out: Option<u64>,
    stepped: u64,
    /// Since when what tries it counts, while it is out.
    trying: Option<u64>,
}

impl Default for ZonePath {
    fn default() -> Self {
        ZonePath {
            phase: Phase::Serving,
            bad_since: None,
            grey_since: None,
            fine_since: None,
            clear_seen: false,
            hold: 0,
            last_out: None,
            stepped: 0,
            trying: None,
        }
    }
}

/// Since when something has been so without a break.
fn since(at: &mut Option<u64>, now: u64, so: bool) -> Option<u64> {
    if so {
        at.get_or_insert(now);
    } else {
        *at = None;
    }
    at.map(|at| now.saturating_sub(at))
}

impl ZonePath {
    /// One that a former owner's decision left out: this owner does not know since when, so it is held anew.
    #[must_use]
    pub fn out(now: u64, s: &Settings) -> ZonePath {
        let until = now + s.hold_ms;
        ZonePath { phase: Phase::Out { until }, hold: s.hold_ms, last_out: Some(now), ..ZonePath::default() }
    }

    /// How it is.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether nothing, or next to nothing, is sent.
    #[must_use]
    pub fn shut(&self) -> bool {
        match self.phase {
            Phase::Out { .. } => true,
            Phase::Shedding(part) => part <= TRICKLE,
            _ => false,
        }
    }

    /// The part that may go now, and at the end of a way back.
    #[must_use]
    pub fn part(&self, now: u64) -> (f64, f64) {
        match self.phase {
            Phase::Serving => (1.0, 1.0),
            Phase::Shedding(part) => (part, part),
            Phase::Out { .. } => (0.0, 0.0),
            Phase::Coming { since, ramp } => {
                let gone = now.saturating_sub(since) as f64 / ramp.max(1) as f64;
                (FIRST + (1.0 - FIRST) * gone.min(1.0), 1.0)
            }
        }
    }

    /// How long a way back still takes; 0 where none is made.
    #[must_use]
    pub fn left(&self, now: u64) -> u64 {
        match self.phase {
            Phase::Coming { since, ramp } => (since + ramp).saturating_sub(now),
            _ => 0,
        }
    }

    fn go_out(&mut self, now: u64, s: &Settings) {
        let soon = self.last_out.is_some_and(|at| now.saturating_sub(at) <= self.hold + s.flap_ms);
        self.hold = if soon { (self.hold * 2).clamp(s.hold_ms, s.hold_most_ms) } else { s.hold_ms };
        self.last_out = Some(now);
        self.phase = Phase::Out { until: now + self.hold };
        self.trying = None;
        (self.bad_since, self.grey_since, self.fine_since) = (None, None, None);
    }

    /// Whether a way back, or what tries it, has only now begun: what was seen before does not count.
    #[must_use]
    pub fn begins(&self, now: u64) -> bool {
        self.trying == Some(now) || matches!(self.phase, Phase::Coming { since, .. } if since == now)
    }

    /// Whether it goes back, by what tries it.
    fn tried(&mut self, now: u64, seen: PathObservation, s: &Settings) -> bool {
        if !seen.tries {
            return true;
        }
        let Some(since) = self.trying else {
            self.trying = Some(now);
            return false;
        };
        let milli = |m: u32| f64::from(m) / 1000.0;
        match seen.trial {
            Some(x) if x <= milli(s.clear_milli) => true,
            Some(x) if x >= milli(s.shed_milli) => {
                self.trying = None;
                self.phase = Phase::Out { until: now + s.hold_ms / AGAIN_PART };
                false
            }
            _ => now.saturating_sub(since) >= BLIND_TIMES * s.hold_ms,
        }
    }

    /// Takes in what is seen now. True if the phase is another one.
    pub fn look(&mut self, now: u64, seen: PathObservation, s: &Settings) -> bool {
        let PathObservation { suffers, quick, there, .. } = seen;
        let milli = |m: u32| f64::from(m) / 1000.0;
        let (grey_at, out_at) = (milli(s.grey_milli), milli(s.out_milli));
        let bad = [suffers, quick].into_iter().flatten().any(|x| x >= out_at);
        let grey = suffers.is_some_and(|x| x >= milli(s.shed_milli));
        // Where little is sent most looks see nothing: that speaks against nobody.
        let fine = suffers.is_none_or(|x| x <= milli(s.clear_milli));
        self.clear_seen = fine && (self.clear_seen || suffers.is_some());
        let bad_for = since(&mut self.bad_since, now, bad);
        let grey_for = since(&mut self.grey_since, now, grey);
        let fine_for = since(&mut self.fine_since, now, fine);
        let over = |for_ms: Option<u64>, ms: u64| for_ms.is_some_and(|x| x >= ms);
        // What is lost is grey on its way there: it is waited for a little, so that one decision is made and not two.
        // On its way back it is cold, and not all know that yet: it is given longer.
        let times = if matches!(self.phase, Phase::Coming { .. }) { GREY_TIMES_BACK } else { GREY_TIMES };
        let (lost, greyed) = (over(bad_for, s.sure_ms), over(grey_for, times * s.sure_ms));
        let before = self.phase;
        // What was lost may have been started anew, and not all know of that yet: it is taken for cold.
        let ramp = s.warm_ms.max(s.ramp_ms);
        let part = |x: f64| (1.0 - x / grey_at).max(TRICKLE);
        let now_part = suffers.map_or(TRICKLE, part);
        match self.phase {
            Phase::Out { until } => {
                // Judged anew, by what is seen from here on.
                (self.bad_since, self.grey_since, self.fine_since) = (None, None, None);
                if there && now >= until && self.tried(now, seen, s) {
                    self.trying = None;
                    self.phase = Phase::Coming { since: now, ramp };
                }
            }
            _ if !there || lost => self.go_out(now, s),
            // What fails on its way back is not well yet, however little of it does.
            Phase::Coming { .. } if greyed && suffers.is_some_and(|x| x >= grey_at) => self.go_out(now, s),
            Phase::Serving | Phase::Coming { .. } if greyed => {
                self.stepped = now;
                self.phase = Phase::Shedding(now_part);
            }
            Phase::Coming { since, ramp } if now >= since + ramp => self.phase = Phase::Serving,
            Phase::Shedding(_)
                if self.clear_seen && over(fine_for, s.hold_ms)
                    || over(fine_for, BLIND_TIMES * s.hold_ms) =>
            {
                self.phase = Phase::Coming { since: now, ramp: s.ramp_ms };
            }
            Phase::Shedding(old) => {
                // Less at once, more by the way back alone.
                if old - now_part >= STEP && suffers.is_some() && now >= self.stepped + s.hold_ms {
                    self.stepped = now;
                    self.phase = Phase::Shedding(now_part);
                }
            }
            Phase::Serving | Phase::Coming { .. } => {}
        }
        before != self.phase
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s() -> Settings {
        Settings::default()
    }

    fn tried(suffers: Option<f64>) -> PathObservation {
        PathObservation { suffers, quick: suffers, trial: None, tries: false, there: true }
    }

    fn play(
        lane: &mut ZonePath,
        from: u64,
        to: u64,
        suffers: impl Fn(u64) -> Option<f64>,
    ) -> Vec<(u64, Phase)> {
        let mut seen = Vec::new();
        for now in (from..to).step_by(100) {
            if lane.look(now, tried(suffers(now)), &s()) {
                seen.push((now, lane.phase()));
            }
        }
        seen
    }

    #[test]
    fn a_lost_zone_goes_out_once_and_comes_back_in_one_way() {
        let mut lane = ZonePath::default();
        let seen = play(&mut lane, 0, 27_000, |now| match now {
            1000..3500 => Some(1.0),
            3500..6000 => None,
            _ => Some(0.0),
        });
        let kinds: Vec<&str> = seen
            .iter()
            .map(|(_, p)| match p {
                Phase::Out { .. } => "out",
                Phase::Coming { .. } => "coming",
                Phase::Serving => "serving",
                Phase::Shedding(_) => "shedding",
            })
            .collect();
        assert_eq!(kinds, ["out", "coming", "serving"], "{seen:?}");
        assert_eq!(seen[0].0, 1300, "once it is sure");
    }

    /// Nothing is decided on while it is tried in vain: a loss and a way back are two changes, however long it takes.
    #[test]
    fn one_that_is_tried_in_vain_stays_out_and_comes_back_when_a_trial_goes_well() {
        let mut lane = ZonePath::default();
        let mut kinds = Vec::new();
        for now in (0..60_000).step_by(100) {
            let well = !(1000..20_000).contains(&now);
            let suffers = Some(if well { 0.0 } else { 1.0 });
            let looked =
                PathObservation { suffers, quick: suffers, trial: suffers, tries: true, there: true };
            let before = matches!(lane.phase(), Phase::Out { .. });
            lane.look(now, looked, &s());
            let out = matches!(lane.phase(), Phase::Out { .. });
            if before != out {
                kinds.push((now, out));
            }
        }
        assert_eq!(kinds.len(), 2, "{kinds:?}");
        assert!(kinds[0] == (1300, true) && (20_000..22_000).contains(&kinds[1].0), "{kinds:?}");
        // Where the trial shows nothing for long, the way back is tried all the same.
        let mut lane = ZonePath::out(0, &s());
        let blind = PathObservation { suffers: None, quick: None, trial: None, tries: true, there: true };
        let back = (0..60_000).step_by(100).find(|now| {
            lane.look(*now, blind, &s());
            !matches!(lane.phase(), Phase::Out { .. })
        });
        assert_eq!(back, Some(20_000));
    }

    #[test]
    fn one_bad_look_is_not_enough_and_few_attempts_say_nothing() {
        let mut lane = ZonePath::default();
        assert!(!lane.look(0, tried(Some(1.0)), &s()));
        assert!(!lane.look(200, tried(Some(0.0)), &s()));
        assert!(!lane.look(400, tried(None), &s()));
        assert_eq!(lane.phase(), Phase::Serving);
    }

    #[test]
    fn one_that_flaps_is_held_out_for_growing_times() {
        let mut lane = ZonePath::default();
        // Down for three seconds in every six, for a minute.
        let seen = play(&mut lane, 0, 60_000, |now| Some(if now % 6000 < 3000 { 1.0 } else { 0.0 }));
        let outs: Vec<u64> =
            seen.iter().filter(|(_, p)| matches!(p, Phase::Out { .. })).map(|(at, _)| *at).collect();
        assert!((2..=5).contains(&outs.len()), "{seen:?}");
        assert!(outs.windows(3).all(|w| w[2] - w[1] >= w[1] - w[0]), "{outs:?}");
    }

    #[test]
    fn one_that_is_shed_so_far_that_nothing_is_seen_is_tried_again() {
        let mut lane = ZonePath::default();
        play(&mut lane, 0, 2000, |_| Some(0.6));
        assert!(lane.shut());
        let after = play(&mut lane, 2000, 30_000, |_| None);
        assert!(matches!(after[0], (18_000, Phase::Coming { .. })), "{after:?}");
    }

    #[test]
    fn a_grey_zone_is_sent_less_and_one_without_servers_is_out() {
        let mut lane = ZonePath::default();
        play(&mut lane, 0, 1000, |_| Some(0.3));
        assert!(matches!(lane.phase(), Phase::Shedding(part) if (0.3..0.5).contains(&part)), "{lane:?}");
        play(&mut lane, 1000, 6000, |_| Some(0.6));
        assert_eq!(lane.phase(), Phase::Shedding(TRICKLE));
        assert!(lane.shut());
        play(&mut lane, 6000, 16_000, |_| Some(0.0));
        assert_eq!(lane.phase(), Phase::Serving);
        let none = PathObservation { there: false, ..tried(None) };
        assert!(lane.look(16_000, none, &s()));
        assert!(matches!(lane.phase(), Phase::Out { .. }));
        assert!(!lane.look(24_000, none, &s()), "as long as it has none");
        assert!(lane.look(24_100, tried(None), &s()));
        assert!(matches!(lane.phase(), Phase::Coming { ramp: 17_000, .. }), "a cold one comes back slowly");
    }
}
