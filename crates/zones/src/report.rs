//! Reports: what the gatekeepers of one host observed since their last report. A report is accepted or
//! rejected as a whole.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The largest number of zones of one fleet.
pub const MAX_ZONES: usize = 64;
/// The number of request classes.
const MAX_CLASSES: u32 = 64;
/// The largest count of anything within one report.
const MAX_COUNT: u32 = 10_000_000;
/// The largest amount of demand or capacity.
const MAX_AMOUNT: f64 = 1e7;
/// The longest name of an agent or zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Attempts of one request class at the servers of one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The zone of the servers.
    pub to: String,
    /// The number of the class, below 64.
    pub class: u32,
    /// Attempts that ended.
    pub attempts: u32,
    /// The attempts that failed: errors, no answer, no connection, resets. Refusals for want of capacity do
    /// not count.
    pub bad: u32,
    /// Answers that took far longer than answers of this class usually do.
    pub late: u32,
}

/// The capacity of a zone by the endpoint list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneCapacity {
    /// The zone's name.
    pub zone: String,
    /// The number of servers that may be sent to.
    pub servers: u32,
    /// The number of requests that these servers work on at once when warm.
    pub size: f64,
    /// The same at their current progress of slow start.
    pub warm: f64,
}

/// The observations of the gatekeepers of one agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's name.
    pub agent: String,
    /// The incarnation of the agent's process; it tells the numbers of this process from those of its
    /// predecessor.
    pub life: u64,
    /// The number of the report within its incarnation, from 1.
    pub number: u64,
    /// The zone of the agent's gatekeepers.
    pub zone: String,
    /// The number of gatekeepers that the report covers.
    pub gatekeepers: u32,
    /// The demand of their requests, forwarded or not: the average number of requests worked on at once.
    pub need: f64,
    /// Attempts by zone and class.
    pub lines: Vec<AttemptCounts>,
    /// The capacity of each zone; it has to contain every zone of `lines`.
    pub places: Vec<ZoneCapacity>,
}

/// The reason why a report is rejected: the field, and its range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedReport(pub String);

/// Checks the length and characters of a name.
fn check_name(field: &str, text: &str) -> Result<(), RejectedReport> {
    let is_allowed = |c: char| !c.is_control() && c != '/';
    if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(RejectedReport(format!("{field}: 1 to {MAX_NAME_BYTES} bytes that can be printed, without a slash")))
}

/// Checks the range of an amount.
fn check_amount(field: &str, value: f64) -> Result<(), RejectedReport> {
    if value.is_finite() && (0.0..=MAX_AMOUNT).contains(&value) {
        return Ok(());
    }
    Err(RejectedReport(format!("{field}: {value}; 0 to {MAX_AMOUNT}")))
}

impl Report {
    /// Checks the content of the report.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), RejectedReport> {
        check_name("agent", &self.agent)?;
        check_name("zone", &self.zone)?;
        check_amount("need", self.need)?;
        if self.number == 0 {
            return Err(RejectedReport("number: from 1".into()));
        }
        if self.places.len() > MAX_ZONES {
            return Err(RejectedReport(format!("places: {}; {MAX_ZONES} at the most", self.places.len())));
        }
        let mut zones = BTreeSet::new();
        for p in &self.places {
            check_name("places.zone", &p.zone)?;
            check_amount("places.size", p.size)?;
            check_amount("places.warm", p.warm)?;
            if !zones.insert(p.zone.as_str()) {
                return Err(RejectedReport(format!("places: zone {} is there twice", p.zone)));
            }
            if p.warm > p.size * 1.001 || p.servers > MAX_COUNT || (p.servers == 0 && p.size > 0.0) {
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
                    truncated(&l.to)
                )));
            }
            if l.class >= MAX_CLASSES {
                return Err(RejectedReport(format!("lines.class: {}; below {MAX_CLASSES}", l.class)));
            }
            if !lines.insert((l.to.as_str(), l.class)) {
                return Err(RejectedReport(format!(
                    "lines: zone {}, class {} is there twice",
                    l.to, l.class
                )));
            }
            let failed_or_late = u64::from(l.bad) + u64::from(l.late);
            if l.attempts > MAX_COUNT || failed_or_late > u64::from(l.attempts) {
                return Err(RejectedReport(format!("lines: zone {}: more failed than were tried", l.to)));
            }
        }
        Ok(())
    }
}

/// Returns the first 40 characters without control characters, for error messages.
pub(crate) fn truncated(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(40).collect()
}

/// An operator's request to take a zone out of use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The zone to drain.
    pub zone: String,
    /// Whether the drain holds even if the other zones lack the capacity.
    pub force: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    pub(crate) fn valid_report() -> Report {
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
    fn check_rejects_invalid_report_and_names_field() {
        assert_eq!(valid_report().check(), Ok(()));
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
        for (expected, change) in bad {
            let mut report = valid_report();
            change(&mut report);
            assert!(
                report.check().is_err_and(|e| e.0.contains(expected)),
                "{expected}: {:?}",
                report.check()
            );
        }
    }
}
