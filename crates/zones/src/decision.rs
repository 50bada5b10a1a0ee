//! A failover decision: the shares of each zone's traffic that may go to each zone, as ramps over a stated
//! time.

use crate::report::MAX_ZONES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// The largest size of a decision in the council's log, in bytes.
pub const MAX_DECISION_BYTES: usize = 64 * 1024;
/// The longest ramp, in ms.
const MAX_RAMP_MS: u64 = 3_600_000;

/// The state of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone takes all its traffic.
    Serving,
    /// The zone is sent less traffic: its requests are impaired, it lacks capacity, or an operator drains it.
    Shedding,
    /// The zone is sent no traffic.
    Out,
    /// The zone is returning and its traffic grows.
    ComingBack,
    /// The zone serves its own traffic, but it and the other zones cannot reach each other.
    CutOff,
}

impl fmt::Display for ZoneState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ZoneState::Serving => "serving",
            ZoneState::Shedding => "shedding",
            ZoneState::Out => "out",
            ZoneState::ComingBack => "coming back",
            ZoneState::CutOff => "cut off",
        })
    }
}

/// A share of a zone's traffic in thousandths, which moves linearly from `start` to `end` over the ramp of
/// the decision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// The share at the start of the ramp.
    pub start: u32,
    /// The share from the end of the ramp on.
    pub end: u32,
}

impl Share {
    /// Returns a share that stays constant.
    #[must_use]
    pub fn flat(milli: u32) -> Share {
        Share { start: milli, end: milli }
    }

    /// The share `ms` after the start of a ramp of `ramp_ms`.
    #[must_use]
    pub fn at(&self, ms: u64, ramp_ms: u64) -> u32 {
        if ms >= ramp_ms {
            return self.end;
        }
        let (start, end) = (i64::from(self.start), i64::from(self.end));
        let (ms, ramp) = (i64::try_from(ms).unwrap_or(i64::MAX), i64::try_from(ramp_ms).unwrap_or(i64::MAX));
        u32::try_from(start + (end - start) * ms / ramp.max(1)).unwrap_or(0)
    }
}

/// The traffic that may go to another zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spill {
    /// The target zone.
    pub to: String,
    /// The largest share that may go there.
    pub share: Share,
}

/// The routing of the traffic of one zone's gatekeepers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRow {
    /// The zone of the gatekeepers.
    pub from: String,
    /// The share that may stay in the zone; 1000 sets no limit but the zone's capacity.
    pub near: Share,
    /// The shares that may go to other zones.
    pub spill: Vec<Spill>,
}

impl RoutingRow {
    /// The total share that may be forwarded, in thousandths, `ms` after the start of a ramp of `ramp_ms`.
    /// The rest is refused, with the requests of the lowest worth first.
    #[must_use]
    pub fn admitted_milli(&self, ms: u64, ramp_ms: u64) -> u32 {
        let spilled: u32 = self.spill.iter().map(|s| s.share.at(ms, ramp_ms)).sum();
        (self.near.at(ms, ramp_ms) + spilled).min(1000)
    }
}

/// The assessment of a zone, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAssessment {
    /// The zone's name.
    pub zone: String,
    /// The zone's state.
    pub state: ZoneState,
    /// The reason for the state, as a short text; empty where none is needed.
    pub why: String,
    /// The fraction of attempts that fail or are late there, in thousandths, combined over the agents whose
    /// reports count.
    pub suffers_milli: u32,
    /// The planned capacity, in thousandths of a request worked on at once.
    pub bears_milli: u64,
    /// The demand of the zone's own gatekeepers, in the same unit.
    pub needs_milli: u64,
}

/// A failover decision. Its version and epoch are stored beside it in the council's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The assessments of all zones.
    pub zones: Vec<ZoneAssessment>,
    /// The routing rows, one for each zone of origin.
    pub rows: Vec<RoutingRow>,
    /// How long shares take from their start value to their end value, in ms.
    pub ramp_ms: u64,
}

impl Decision {
    /// Checks that the decision can be applied.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), String> {
        if self.zones.len() > MAX_ZONES || self.rows.len() > MAX_ZONES {
            return Err(format!("zones, rows: more than {MAX_ZONES}"));
        }
        if self.ramp_ms > MAX_RAMP_MS {
            return Err(format!("ramp_ms: {} is out of range 0 to {MAX_RAMP_MS}", self.ramp_ms));
        }
        let known: BTreeSet<&str> = self.zones.iter().map(|z| z.zone.as_str()).collect();
        if known.len() < self.zones.len() {
            return Err("zones: duplicate zone".into());
        }
        let mut origins = BTreeSet::new();
        let in_range = |s: &Share| s.start <= 1000 && s.end <= 1000;
        for row in &self.rows {
            let unknown = |zone: &str| {
                format!("rows: zone {:?} is not among the zones", crate::report::truncated(zone))
            };
            if !known.contains(row.from.as_str()) {
                return Err(unknown(&row.from));
            }
            if !origins.insert(row.from.as_str()) {
                return Err(format!("rows: duplicate zone {}", row.from));
            }
            let mut targets = BTreeSet::from([row.from.as_str()]);
            for spill in &row.spill {
                if !known.contains(spill.to.as_str()) {
                    return Err(unknown(&spill.to));
                }
                if !targets.insert(spill.to.as_str()) {
                    return Err(format!("rows: duplicate spill from {} to {}", row.from, spill.to));
                }
            }
            if !in_range(&row.near) || !row.spill.iter().all(|s| in_range(&s.share)) {
                return Err(format!("rows: share of {} out of range 0 to 1000", row.from));
            }
            let total = |pick: fn(&Share) -> u32| {
                pick(&row.near) + row.spill.iter().map(|s| pick(&s.share)).sum::<u32>()
            };
            if total(|s| s.start) == 0 && total(|s| s.end) == 0 {
                return Err(format!("rows: all shares of {} are 0", row.from));
            }
        }
        Ok(())
    }

    /// Returns the routing row of a zone of origin.
    #[must_use]
    pub fn row(&self, from: &str) -> Option<&RoutingRow> {
        self.rows.iter().find(|r| r.from == from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn share_moves_linearly_and_stays_at_its_end() {
        let share = Share { start: 100, end: 900 };
        assert_eq!([0, 500, 1000, 5000].map(|ms| share.at(ms, 1000)), [100, 500, 900, 900]);
        assert_eq!(Share { start: 900, end: 100 }.at(250, 1000), 700);
        assert_eq!(share.at(0, 0), 900);
    }

    #[test]
    fn check_rejects_invalid_decisions() {
        let assessment = |zone: &str| ZoneAssessment {
            zone: zone.into(),
            state: ZoneState::Serving,
            why: String::new(),
            suffers_milli: 0,
            bears_milli: 1,
            needs_milli: 1,
        };
        let row = |from: &str, to: &str| RoutingRow {
            from: from.into(),
            near: Share::flat(1000),
            spill: vec![Spill { to: to.into(), share: Share::flat(300) }],
        };
        let valid = Decision {
            zones: vec![assessment("a"), assessment("b")],
            rows: vec![row("a", "b"), row("b", "a")],
            ramp_ms: 0,
        };
        assert_eq!(valid.check(), Ok(()));
        type Change = fn(&mut Decision);
        let bad: [(&str, Change); 7] = [
            ("zones: duplicate zone", |d| d.zones[1].zone = "a".into()),
            ("zone \"q\" is not among", |d| d.rows[0].from = "q".into()),
            ("zone \"q\" is not among", |d| d.rows[0].spill[0].to = "q".into()),
            ("duplicate spill from a to a", |d| d.rows[0].spill[0].to = "a".into()),
            ("rows: share of a out of range 0 to 1000", |d| d.rows[0].near = Share::flat(1001)),
            ("all shares of a are 0", |d| {
                d.rows[0].near = Share::flat(0);
                d.rows[0].spill.clear();
            }),
            ("ramp_ms", |d| d.ramp_ms = u64::MAX),
        ];
        for (expected, change) in bad {
            let mut decision = valid.clone();
            change(&mut decision);
            assert!(decision.check().is_err_and(|e| e.contains(expected)), "{expected}");
        }
    }
}
