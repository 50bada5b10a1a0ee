//! Formats the days as a table for the terminal and as an HTML page with plots.

use crate::table::{Day, Row};
use frostvale_charts::{BLUE, RED, page, plot};
use std::fmt::Write;

/// Formats the table. The first day is the one at the usual size, without bounds; each further day has its
/// bounds.
#[must_use]
pub fn text(days: &[Day]) -> String {
    let Some((usual, others)) = days.split_first() else { return String::new() };
    let mut text =
        format!("usual size: {} servers, {} gatekeepers\n", usual.size.servers, usual.size.gatekeepers);
    for row in Row::ALL {
        let _ = writeln!(text, "  {:<24} {:>10.3}", row.name(), row.of(&usual.figures));
    }
    for day in others {
        let _ = writeln!(text, "{} servers, {} gatekeepers", day.size.servers, day.size.gatekeepers);
        for row in Row::ALL {
            let (figure, bound) = (row.of(&day.figures), row.bound(&usual.figures, day.size.servers));
            let verdict = if row.is_within(&day.figures, bound) { "" } else { "  BROKEN" };
            let _ = writeln!(text, "  {:<24} {figure:>10.3} of {bound:>10.3}{verdict}", row.name());
        }
    }
    text
}

/// Builds a page with one plot for each row: the figure and its bound against the number of servers.
///
/// # Errors
/// Returns an error if there is no day, or a plot cannot be drawn.
pub fn html(days: &[Day]) -> Result<String, String> {
    let Some((usual, _)) = days.split_first() else {
        return Err("no day was run".into());
    };
    let mut plots = String::new();
    for row in Row::ALL {
        let over_servers = |value: &dyn Fn(&Day) -> f64| {
            days.iter().map(|day| (day.size.servers as f64, value(day))).collect::<Vec<_>>()
        };
        let figures = over_servers(&|day| row.of(&day.figures));
        let bounds = over_servers(&|day| row.bound(&usual.figures, day.size.servers));
        let lines = [("measured", BLUE, figures), ("bound", RED, bounds)];
        plots += &plot(row.name(), ("servers", row.name()), &lines)?;
    }
    let json = serde_json::to_string(days).map_err(|e| e.to_string())?;
    Ok(page("Growth of a gatekeeper's resource use", &text(days), &plots, &json))
}
