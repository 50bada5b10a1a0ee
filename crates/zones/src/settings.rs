//! Settings of the failover controller, each with its range.

use serde::{Deserialize, Serialize};

/// The thresholds and times of the failover controller. Times are in ms and fractions in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The window that attempts are summed over, as the time constant of an exponential decay.
    pub window_ms: u64,
    /// A report older than this no longer counts.
    pub stale_ms: u64,
    /// The last demand of a silent agent still counts for this long.
    pub forget_ms: u64,
    /// If this fraction of attempts fails or is late, the zone is sent less traffic.
    pub shed_milli: u32,
    /// If this fraction does, the zone is sent only the small remainder that shows its recovery.
    pub grey_milli: u32,
    /// If this fraction does, the zone is taken out.
    pub out_milli: u32,
    /// Up to this fraction the zone counts as healthy again.
    pub clear_milli: u32,
    /// A condition has to hold for this long before it takes effect.
    pub sure_ms: u64,
    /// The least number of attempts within the window that count as a measurement.
    pub least_attempts: u32,
    /// A zone that is out stays out for at least this long.
    pub hold_ms: u64,
    /// The hold time doubles each time the zone fails again within `flap_ms`, up to this limit.
    pub hold_most_ms: u64,
    /// The time after the end of a hold time within which a failure doubles the next one.
    pub flap_ms: u64,
    /// How long the return of a zone takes that was sent less traffic.
    pub ramp_ms: u64,
    /// How long servers take to warm up after their start; the return of a zone that was out takes as long.
    pub warm_ms: u64,
    /// The planned utilization of a zone, as a fraction of the requests that its servers work on at once.
    pub fill_milli: u32,
    /// The number of requests, in thousandths, that a server of listed size 1 works on at once.
    pub slots_milli: u32,
    /// The least time between decisions that change only shares and no state.
    pub least_ms: u64,
    /// How long an operator's drain takes.
    pub drain_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            window_ms: 1000,
            stale_ms: 2000,
            forget_ms: 60_000,
            shed_milli: 200,
            grey_milli: 500,
            out_milli: 850,
            clear_milli: 80,
            sure_ms: 300,
            least_attempts: 10,
            hold_ms: 4000,
            hold_most_ms: 60_000,
            flap_ms: 30_000,
            ramp_ms: 4000,
            warm_ms: 17_000,
            fill_milli: 800,
            slots_milli: 2000,
            least_ms: 5000,
            drain_ms: 8000,
        }
    }
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// Returns the first setting that is out of range, with its value and range.
    pub fn check(&self) -> Result<(), String> {
        let check_range = |name: &str, value: u64, min: u64, max: u64| {
            if (min..=max).contains(&value) {
                Ok(())
            } else {
                Err(format!("{name}: {value}; {min} to {max}"))
            }
        };
        check_range("window_ms", self.window_ms, 100, 60_000)?;
        check_range("stale_ms", self.stale_ms, self.window_ms, 600_000)?;
        check_range("forget_ms", self.forget_ms, self.stale_ms, 3_600_000)?;
        check_range("clear_milli", self.clear_milli.into(), 1, 998)?;
        check_range("shed_milli", self.shed_milli.into(), u64::from(self.clear_milli) + 1, 999)?;
        check_range("grey_milli", self.grey_milli.into(), self.shed_milli.into(), 1000)?;
        check_range("out_milli", self.out_milli.into(), self.grey_milli.into(), 1000)?;
        check_range("sure_ms", self.sure_ms, 0, 60_000)?;
        check_range("least_attempts", self.least_attempts.into(), 1, 1_000_000)?;
        check_range("hold_ms", self.hold_ms, 100, 600_000)?;
        check_range("hold_most_ms", self.hold_most_ms, self.hold_ms, 3_600_000)?;
        check_range("flap_ms", self.flap_ms, 0, 3_600_000)?;
        check_range("ramp_ms", self.ramp_ms, 100, 600_000)?;
        check_range("warm_ms", self.warm_ms, 100, 3_600_000)?;
        check_range("fill_milli", self.fill_milli.into(), 100, 1000)?;
        check_range("slots_milli", self.slots_milli.into(), 1, 1_000_000)?;
        check_range("least_ms", self.least_ms, 100, 600_000)?;
        check_range("drain_ms", self.drain_ms, 100, 3_600_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn check_rejects_out_of_range_setting_and_names_field_and_range() {
        assert_eq!(Settings::default().check(), Ok(()));
        let bad: [(&str, Settings); 6] = [
            ("window_ms: 1; 100 to 60000", Settings { window_ms: 1, ..Settings::default() }),
            ("stale_ms: 10; 1000 to", Settings { stale_ms: 10, ..Settings::default() }),
            ("shed_milli: 80; 81 to 999", Settings { shed_milli: 80, ..Settings::default() }),
            ("out_milli: 400; 500 to 1000", Settings { out_milli: 400, ..Settings::default() }),
            ("hold_most_ms: 1; 4000 to", Settings { hold_most_ms: 1, ..Settings::default() }),
            ("fill_milli: 1001; 100 to 1000", Settings { fill_milli: 1001, ..Settings::default() }),
        ];
        for (expected, settings) in bad {
            assert!(settings.check().is_err_and(|error| error.starts_with(expected)), "{expected}");
        }
    }
}
