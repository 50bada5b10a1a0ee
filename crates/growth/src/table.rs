//! The operators' growth table: the mean resource use of a gatekeeper over a day, and its bound for a larger
//! fleet relative to the same day at the usual size.

use serde::Serialize;

/// The size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Number of servers that discovery lists.
    pub servers: usize,
    /// Number of gatekeeper processes.
    pub gatekeepers: usize,
}

/// Resource use over a day, as the mean over the gatekeepers, and the served fraction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub memory_mb: f64,
    /// Peak number of open file descriptors.
    pub descriptors: f64,
    /// Number of connections opened to servers.
    pub connections: f64,
    /// Size of the endpoint lists that discovery sent during the day, in KB.
    pub list_kb: f64,
    /// Fraction of all requests that was served.
    pub served: f64,
}

/// A row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Row {
    /// CPU time.
    Cpu,
    /// Peak memory.
    Memory,
    /// Open file descriptors.
    Descriptors,
    /// Connections opened to servers.
    Connections,
    /// Size of the endpoint lists.
    Lists,
    /// Fraction of requests served.
    Served,
}

impl Row {
    /// All rows, in the table's order.
    pub const ALL: [Row; 6] =
        [Row::Cpu, Row::Memory, Row::Descriptors, Row::Connections, Row::Lists, Row::Served];

    /// Returns the row's name with its unit.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Row::Cpu => "CPU, s",
            Row::Memory => "peak memory, MB",
            Row::Descriptors => "descriptors",
            Row::Connections => "connections to servers",
            Row::Lists => "bytes of lists, KB",
            Row::Served => "share served",
        }
    }

    /// Returns the row's figure.
    #[must_use]
    pub fn of(self, figures: &Figures) -> f64 {
        match self {
            Row::Cpu => figures.cpu_s,
            Row::Memory => figures.memory_mb,
            Row::Descriptors => figures.descriptors,
            Row::Connections => figures.connections,
            Row::Lists => figures.list_kb,
            Row::Served => figures.served,
        }
    }

    /// Returns the bound for a fleet with `servers` servers: an upper bound of the resource use, or a lower
    /// bound of the served fraction.
    #[must_use]
    pub fn bound(self, usual: &Figures, servers: usize) -> f64 {
        let thousands = servers as f64 / 1000.0;
        let base = self.of(usual);
        match self {
            Row::Cpu => 1.4 * base + 0.02 + 0.03 * thousands,
            Row::Memory => 1.5 * base + 8.0 + 4.0 * thousands,
            Row::Descriptors => 2.0 * base + 40.0,
            Row::Connections => 2.5 * base + 40.0,
            Row::Lists => 2.0 * base + 64.0 + 500.0 * thousands,
            Row::Served => 0.85 * base,
        }
    }

    /// Returns whether the figure is within its bound.
    #[must_use]
    pub fn is_within(self, figures: &Figures, bound: f64) -> bool {
        match self {
            Row::Served => self.of(figures) >= bound,
            _ => self.of(figures) <= bound,
        }
    }
}

/// The result of one day.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Day {
    /// Size of the fleet.
    pub size: FleetSize,
    /// Measured figures.
    pub figures: Figures,
}

/// Returns the rows whose figures are outside their bounds, relative to the day at the usual size.
#[must_use]
pub fn exceeded_rows(usual: &Figures, day: &Day) -> Vec<Row> {
    let is_exceeded = |row: &Row| !row.is_within(&day.figures, row.bound(usual, day.size.servers));
    Row::ALL.into_iter().filter(is_exceeded).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const USUAL: Figures = Figures {
        cpu_s: 1.0,
        memory_mb: 10.0,
        descriptors: 50.0,
        connections: 100.0,
        list_kb: 200.0,
        served: 0.9,
    };

    #[test]
    fn exceeded_rows_is_empty_for_the_usual_figures() {
        let size = FleetSize { servers: 200, gatekeepers: 8 };
        assert!(exceeded_rows(&USUAL, &Day { size, figures: USUAL }).is_empty());
    }

    #[test]
    fn bound_grows_with_servers_as_in_the_operators_table() {
        let bounds = Row::ALL.map(|row| row.bound(&USUAL, 2000));
        let expected = [1.48, 31.0, 140.0, 290.0, 1464.0, 0.765];
        for (bound, expected) in bounds.iter().zip(expected) {
            assert!((bound - expected).abs() < 1e-9, "{bounds:?}");
        }
    }

    #[test]
    fn exceeded_rows_has_each_row_whose_figure_is_out_of_bounds() {
        let size = FleetSize { servers: 3200, gatekeepers: 8 };
        let over = Figures {
            cpu_s: 1.6,
            memory_mb: 40.0,
            descriptors: 141.0,
            connections: 291.0,
            list_kb: 2100.0,
            served: 0.7,
        };
        assert_eq!(exceeded_rows(&USUAL, &Day { size, figures: over }), Row::ALL);
    }
}
