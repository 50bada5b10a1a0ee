//! The settings of the escalation (`[audit.ladder]`), each with its range.

use serde::{Deserialize, Serialize};

/// Times and limits of the escalation. Times are in ms, fractions in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// An instance without a report for this long is silent: its state is unknown.
    pub stale_ms: u64,
    /// An instance that was silent for this long is removed from the table, unless it is fenced off.
    pub forget_ms: u64,
    /// Time to catch up with a new target; after it the current state is sent again.
    pub tell_ms: u64,
    /// Time from that notification until a full snapshot is sent.
    pub snapshot_ms: u64,
    /// Time from the snapshot until the instance is fenced off, as far as the limits allow.
    pub out_ms: u64,
    /// An instance without a report for this long is fenced off, as far as the limits allow.
    pub unknown_ms: u64,
    /// A fenced-off instance is readmitted once it was up to date for this long.
    pub back_ms: u64,
    /// The largest fraction of a zone's gatekeepers that may be fenced off at once. Above 0 it allows at
    /// least one, in zones of two or more.
    pub out_milli: u32,
    /// The delay after which clients of a fenced-off gatekeeper should retry.
    pub retry_ms: u64,
    /// The longest interval between checkpoints of the history in the council's log, while the history grows.
    pub anchor_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            stale_ms: 3000,
            forget_ms: 86_400_000,
            tell_ms: 3000,
            snapshot_ms: 3000,
            out_ms: 10_000,
            unknown_ms: 15_000,
            back_ms: 2000,
            out_milli: 340,
            retry_ms: 1000,
            anchor_ms: 5000,
        }
    }
}

impl Settings {
    /// Checks that each setting is in its range.
    ///
    /// # Errors
    /// With the name of the first setting out of range, its value and the range.
    pub fn check(&self) -> Result<(), String> {
        let range = |name: &str, value: u64, min: u64, max: u64| {
            if (min..=max).contains(&value) {
                Ok(())
            } else {
                Err(format!("{name}: {value}; {min} to {max}"))
            }
        };
        range("stale_ms", self.stale_ms, 100, 600_000)?;
        range("forget_ms", self.forget_ms, self.stale_ms, 31 * 86_400_000)?;
        range("tell_ms", self.tell_ms, 100, 3_600_000)?;
        range("snapshot_ms", self.snapshot_ms, 100, 3_600_000)?;
        range("out_ms", self.out_ms, 100, 86_400_000)?;
        range("unknown_ms", self.unknown_ms, self.stale_ms, 86_400_000)?;
        range("back_ms", self.back_ms, 0, 3_600_000)?;
        range("out_milli", self.out_milli.into(), 0, 500)?;
        range("retry_ms", self.retry_ms, 1, 600_000)?;
        range("anchor_ms", self.anchor_ms, 100, 3_600_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn check_names_setting_value_and_range() {
        assert_eq!(Settings::default().check(), Ok(()));
        let bad: [(&str, Settings); 4] = [
            ("stale_ms: 1; 100 to 600000", Settings { stale_ms: 1, ..Settings::default() }),
            ("unknown_ms: 100; 3000 to", Settings { unknown_ms: 100, ..Settings::default() }),
            ("out_milli: 501; 0 to 500", Settings { out_milli: 501, ..Settings::default() }),
            ("anchor_ms: 0; 100 to", Settings { anchor_ms: 0, ..Settings::default() }),
        ];
        for (expected, settings) in bad {
            assert!(settings.check().is_err_and(|e| e.starts_with(expected)), "{expected}");
        }
    }
}
