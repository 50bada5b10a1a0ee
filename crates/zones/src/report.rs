//! Evidence: what the gatekeepers of one host saw since their last report. It is taken whole or not at all.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Zones of one fleet.
pub const MAX_ZONES: usize = 64;
/// Classes of requests.
const CLASSES_MOST: u32 = 64;
/// More of anything within one report can't be.
const COUNT_MOST: u32 = 10_000_000;
const AMOUNT_MOST: f64 = 1e7;
const NAME_MOST: usize = 64;

/// Attempts of one class at the servers of one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The servers' zone.
    pub to: String,
    /// The class's number.
    pub class: u32,
    /// Attempts that ended.
    pub attempts: u32,
    /// Those of them that failed: errors, no answer, no connection, resets. Who was turned away for want of room is none.
    pub bad: u32,
    /// Answers that came far later than such answers do.
    pub late: u32,
}

/// A zone as it is listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneCapacity {
    /// Its name.
    pub zone: String,
    /// Servers that may be sent to.
    pub servers: u32,
    /// Requests that they work on at once when warm.
    pub size: f64,
    /// The same as warm as they are now.
    pub warm: f64,
}

/// What one agent's gatekeepers saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: String,
    /// One process of it: a number within it is told apart from those of the one before.
    pub life: u64,
    /// Which, from 1.
    pub number: u64,
    /// Where its gatekeepers stand.
    pub zone: String,
    /// How many it speaks for.
    pub gatekeepers: u32,
    /// What their requests need, whether or not they were sent on: requests worked on at once, on average.
    pub need: f64,
    /// Attempts.
    pub lines: Vec<AttemptCounts>,
    /// Zones.
    pub places: Vec<ZoneCapacity>,
}

/// Why a report is not taken: the field, and what it may be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedReport(pub String);

fn name(field: &str, text: &str) -> Result<(), RejectedReport> {
    let fits = |c: char| !c.is_control() && c != '/';
    if (1..=NAME_MOST).contains(&text.len()) && text.chars().all(fits) {
        return Ok(());
    }
    Err(RejectedReport(format!("{field}: 1 to {NAME_MOST} bytes that can be printed, without a slash")))
}

fn amount(field: &str, value: f64) -> Result<(), RejectedReport> {
    if value.is_finite() && (0.0..=AMOUNT_MOST).contains(&value) {
        return Ok(());
    }
    Err(RejectedReport(format!("{field}: {value}; 0 to {AMOUNT_MOST}")))
}

impl Report {
    /// Whether it can be.
    ///
    /// # Errors
    /// With the first field that can't.
    pub fn check(&self) -> Result<(), RejectedReport> {
        name("agent", &self.agent)?;
        name("zone", &self.zone)?;
        amount("need", self.need)?;
        if self.number == 0 {
            return Err(RejectedReport("number: from 1".into()));
        }
        if self.places.len() > MAX_ZONES {
            return Err(RejectedReport(format!("places: {}; {MAX_ZONES} at the most", self.places.len())));
        }
        let mut zones = BTreeSet::new();
        for p in &self.places {
            name("places.zone", &p.zone)?;
            amount("places.size", p.size)?;
            amount("places.warm", p.warm)?;
            if !zones.insert(p.zone.as_str()) {
                return Err(RejectedReport(format!("places: zone {} is there twice", p.zone)));
            }
            if p.warm > p.size * 1.001 || p.servers > COUNT_MOST || (p.servers == 0 && p.size > 0.0) {
                return Err(RejectedReport(format!(
                    "places: zone {}: more warm than there is, or no servers",
                    p.zone
                )));
            }
        }
        let mut lines = BTreeSet::new();
        for l in &self.lines {
            if !zones.contains(l.to.as_str()) {
                return Err(RejectedReport(format!(
                    "lines.to: zone {:?} is not among the places",
                    short(&l.to)
                )));
            }
            if l.class >= CLASSES_MOST {
                return Err(RejectedReport(format!("lines.class: {}; below {CLASSES_MOST}", l.class)));
            }
            if !lines.insert((l.to.as_str(), l.class)) {
                return Err(RejectedReport(format!(
                    "lines: zone {}, class {} is there twice",
                    l.to, l.class
                )));
            }
            let sum = u64::from(l.bad) + u64::from(l.late);
            if l.attempts > COUNT_MOST || sum > u64::from(l.attempts) {
                return Err(RejectedReport(format!("lines: zone {}: more failed than were tried", l.to)));
            }
        }
        Ok(())
    }
}

pub(crate) fn short(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(40).collect()
}

/// An operator wants a zone to be used no more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Which.
    pub zone: String,
    /// Whether even where the others can't bear it.
    pub force: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    pub(crate) fn sound() -> Report {
        let place = |zone: &str| ZoneCapacity { zone: zone.into(), servers: 2, size: 4.0, warm: 4.0 };
        Report {
            agent: "a1".into(),
            life: 1,
            number: 1,
            zone: "a".into(),
            gatekeepers: 2,
            need: 3.0,
            lines: vec![AttemptCounts { to: "b".into(), class: 0, attempts: 10, bad: 3, late: 7 }],
            places: vec![place("a"), place("b")],
        }
    }

    #[test]
    fn what_cannot_be_is_refused_whole_with_the_field() {
        assert_eq!(sound().check(), Ok(()));
        type Change = fn(&mut Report);
        let bad: [(&str, Change); 13] = [
            ("agent", |r| r.agent.clear()),
            ("zone", |r| r.zone = "x/y".into()),
            ("zone", |r| r.zone = "z".repeat(65)),
            ("need", |r| r.need = f64::NAN),
            ("need", |r| r.need = -1.0),
            ("number", |r| r.number = 0),
            ("places.size", |r| r.places[0].size = f64::INFINITY),
            ("places: zone a is there twice", |r| r.places[1].zone = "a".into()),
            ("more warm", |r| r.places[0].warm = 9.0),
            ("lines.to: zone \"q\"", |r| r.lines[0].to = "q".into()),
            ("lines.class: 64", |r| r.lines[0].class = 64),
            ("more failed", |r| r.lines[0].bad = 4),
            ("lines: zone b, class 0 is there twice", |r| r.lines.push(r.lines[0].clone())),
        ];
        for (word, change) in bad {
            let mut report = sound();
            change(&mut report);
            assert!(report.check().is_err_and(|e| e.0.contains(word)), "{word}: {:?}", report.check());
        }
    }
}
