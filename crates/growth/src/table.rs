//! The operators' growth table: what a gatekeeper needs in the mean over a day, and how far that may grow with the fleet
//! over the same day at the usual size.

use serde::Serialize;

/// How large a fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Servers that discovery lists.
    pub servers: usize,
    /// Gatekeeper processes.
    pub gatekeepers: usize,
}

/// What one gatekeeper needed in the mean over a day.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// The largest resident memory, in MB.
    pub memory_mb: f64,
    /// The most open descriptors.
    pub descriptors: f64,
    /// Connections made to servers.
    pub connections: f64,
    /// Bytes of lists from discovery while it tells changes, in KB.
    pub list_kb: f64,
    /// The part of all requests that was served.
    pub served: f64,
}

/// A row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Row {
    /// Processor time.
    Cpu,
    /// Peak memory.
    Memory,
    /// Descriptors.
    Descriptors,
    /// Connections made to servers.
    Connections,
    /// Bytes of lists.
    Lists,
    /// The share served.
    Served,
}

impl Row {
    /// All rows, in the table's order.
    pub const ALL: [Row; 6] =
        [Row::Cpu, Row::Memory, Row::Descriptors, Row::Connections, Row::Lists, Row::Served];

    /// What it counts, with its unit.
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

    /// Its figure.
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

    /// The most that a fleet with so many servers may need, or the least that it may serve.
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

    /// Whether a figure keeps its bound.
    #[must_use]
    pub fn holds(self, figures: &Figures, bound: f64) -> bool {
        match self {
            Row::Served => self.of(figures) >= bound,
            _ => self.of(figures) <= bound,
        }
    }
}

/// One day: a size and what was seen.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Day {
    /// The fleet.
    pub size: FleetSize,
    /// What one gatekeeper needed.
    pub figures: Figures,
}

/// The rows that a day breaks, against the day at the usual size.
#[must_use]
pub fn broken(usual: &Figures, day: &Day) -> Vec<Row> {
    let breaks = |row: &Row| !row.holds(&day.figures, row.bound(usual, day.size.servers));
    Row::ALL.into_iter().filter(breaks).collect()
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
    fn a_day_like_the_usual_one_breaks_nothing() {
        let size = FleetSize { servers: 200, gatekeepers: 8 };
        assert!(broken(&USUAL, &Day { size, figures: USUAL }).is_empty());
    }

    #[test]
    fn bounds_grow_with_the_servers_as_the_table_has_it() {
        let bounds = Row::ALL.map(|row| row.bound(&USUAL, 2000));
        let expected = [1.48, 31.0, 140.0, 290.0, 1464.0, 0.765];
        for (bound, expected) in bounds.iter().zip(expected) {
            assert!((bound - expected).abs() < 1e-9, "{bounds:?}");
        }
    }

    #[test]
    fn each_row_is_broken_by_its_own_figure() {
        let size = FleetSize { servers: 3200, gatekeepers: 8 };
        let over = Figures {
            cpu_s: 1.6,
            memory_mb: 40.0,
            descriptors: 141.0,
            connections: 291.0,
            list_kb: 2100.0,
            served: 0.7,
        };
        assert_eq!(broken(&USUAL, &Day { size, figures: over }), Row::ALL);
    }
}
