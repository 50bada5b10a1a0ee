//! A decision: how much of each zone's traffic may go where, from now and over a stated time.

use crate::report::MAX_ZONES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Bytes of one as it is entered in the council's log.
pub const MAX_DECISION_BYTES: usize = 64 * 1024;
/// No way back takes longer.
const RAMP_MOST_MS: u64 = 3_600_000;

/// What is thought of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// It serves.
    Serving,
    /// It is sent less: it suffers, is short of room, or an operator drains it.
    Shedding,
    /// It is sent nothing.
    Out,
    /// It is sent more and more.
    ComingBack,
    /// It serves its own and is not reached by the others.
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

/// A part of a zone's traffic, in thousandths: at first, and at the end of the decision's ramp.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// At first.
    pub start: u32,
    /// At the end.
    pub end: u32,
}

impl Share {
    /// The same all the time.
    #[must_use]
    pub fn flat(milli: u32) -> Share {
        Share { start: milli, end: milli }
    }

    /// What it is so many ms into a ramp.
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

/// What may go to another zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spill {
    /// Which.
    pub to: String,
    /// How much at the most.
    pub share: Share,
}

/// The traffic of one zone's gatekeepers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRow {
    /// Which zone's.
    pub from: String,
    /// What may stay; 1000: all there is room for.
    pub near: Share,
    /// What may go elsewhere.
    pub spill: Vec<Spill>,
}

impl RoutingRow {
    /// All that may be sent on, in thousandths; the rest is refused, what is worth least first.
    #[must_use]
    pub fn admitted_milli(&self, ms: u64, ramp_ms: u64) -> u32 {
        let far: u32 = self.spill.iter().map(|s| s.share.at(ms, ramp_ms)).sum();
        (self.near.at(ms, ramp_ms) + far).min(1000)
    }
}

/// What was found of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAssessment {
    /// Its name.
    pub zone: String,
    /// What is thought of it.
    pub state: ZoneState,
    /// Why, in a few words.
    pub why: String,
    /// The part of requests that suffers there, in thousandths, over all who judge it.
    pub suffers_milli: u32,
    /// What it bears and what its own gatekeepers need, in thousandths of a request worked on at once.
    pub bears_milli: u64,
    /// See `bears_milli`.
    pub needs_milli: u64,
}

/// A decision. Its version and epoch stand beside it in the council's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Zones.
    pub zones: Vec<ZoneAssessment>,
    /// Rows by zone of origin.
    pub rows: Vec<RoutingRow>,
    /// How long shares take from their first value to the last, in ms.
    pub ramp_ms: u64,
}

impl Decision {
    /// Whether it can be acted on.
    ///
    /// # Errors
    /// With what can't be.
    pub fn check(&self) -> Result<(), String> {
        if self.zones.len() > MAX_ZONES || self.rows.len() > MAX_ZONES {
            return Err(format!("zones, rows: {MAX_ZONES} at the most"));
        }
        if self.ramp_ms > RAMP_MOST_MS {
            return Err(format!("ramp_ms: {}; 0 to {RAMP_MOST_MS}", self.ramp_ms));
        }
        let known: BTreeSet<&str> = self.zones.iter().map(|z| z.zone.as_str()).collect();
        if known.len() < self.zones.len() {
            return Err("zones: one is there twice".into());
        }
        let mut from = BTreeSet::new();
        let share = |s: &Share| s.start <= 1000 && s.end <= 1000;
        for row in &self.rows {
            let unknown =
                |zone: &str| format!("rows: zone {:?} is not among the zones", crate::report::short(zone));
            if !known.contains(row.from.as_str()) {
                return Err(unknown(&row.from));
            }
            if !from.insert(row.from.as_str()) {
                return Err(format!("rows: zone {} is there twice", row.from));
            }
            let mut to = BTreeSet::from([row.from.as_str()]);
            for spill in &row.spill {
                if !known.contains(spill.to.as_str()) {
                    return Err(unknown(&spill.to));
                }
                if !to.insert(spill.to.as_str()) {
                    return Err(format!("rows: {} to {} is there twice", row.from, spill.to));
                }
            }
            if !share(&row.near) || !row.spill.iter().all(|s| share(&s.share)) {
                return Err(format!("rows: a share of {}: 0 to 1000", row.from));
            }
            let all = |pick: fn(&Share) -> u32| {
                pick(&row.near) + row.spill.iter().map(|s| pick(&s.share)).sum::<u32>()
            };
            if all(|s| s.start) == 0 && all(|s| s.end) == 0 {
                return Err(format!("rows: the shares of {} come to nothing", row.from));
            }
        }
        Ok(())
    }

    /// The row of a zone.
    #[must_use]
    pub fn row(&self, from: &str) -> Option<&RoutingRow> {
        self.rows.iter().find(|r| r.from == from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_move_in_a_line_and_stay_at_their_end() {
        let share = Share { start: 100, end: 900 };
        assert_eq!([0, 500, 1000, 5000].map(|ms| share.at(ms, 1000)), [100, 500, 900, 900]);
        assert_eq!(Share { start: 900, end: 100 }.at(250, 1000), 700);
        assert_eq!(share.at(0, 0), 900);
    }

    #[test]
    fn bad_decisions_are_refused() {
        let word = |zone: &str| ZoneAssessment {
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
        let sound = Decision {
            zones: vec![word("a"), word("b")],
            rows: vec![row("a", "b"), row("b", "a")],
            ramp_ms: 0,
        };
        assert_eq!(sound.check(), Ok(()));
        type Change = fn(&mut Decision);
        let bad: [(&str, Change); 7] = [
            ("one is there twice", |d| d.zones[1].zone = "a".into()),
            ("zone \"q\" is not among", |d| d.rows[0].from = "q".into()),
            ("zone \"q\" is not among", |d| d.rows[0].spill[0].to = "q".into()),
            ("a to a is there twice", |d| d.rows[0].spill[0].to = "a".into()),
            ("0 to 1000", |d| d.rows[0].near = Share::flat(1001)),
            ("come to nothing", |d| {
                d.rows[0].near = Share::flat(0);
                d.rows[0].spill.clear();
            }),
            ("ramp_ms", |d| d.ramp_ms = u64::MAX),
        ];
        for (what, change) in bad {
            let mut decision = sound.clone();
            change(&mut decision);
            assert!(decision.check().is_err_and(|e| e.contains(what)), "{what}");
        }
    }
}
