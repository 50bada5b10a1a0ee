//! Formats reports of runs: text for a terminal, and an HTML page with plots.

use crate::herd_detection::{Herd, HerdAction};
use crate::stats::{Report, Second};
use frostvale_charts::{self as charts, AMBER, BLUE, GREEN, PURPLE, RED};
use std::fmt::Write;

/// Formats a run as one line.
#[must_use]
pub fn line(r: &Report) -> String {
    let verdict = match (&r.broken, r.missed.first()) {
        (Some(b), _) => format!("BROKEN {}: {}", b.rule, b.what),
        (None, Some(m)) => format!("MISSED {m}"),
        _ => "held".into(),
    };
    format!(
        "{:<24} seed {:<6} served {:.4}  over {:.4}  notes {:.2}  attempts {:.3}  p99 {:.0} ms  {verdict}",
        r.scenario, r.seed, r.served, r.over, r.notes, r.attempts, r.ms.p99
    )
}

/// Formats a herd as one line.
fn herd(h: &Herd) -> String {
    let target = if h.act == HerdAction::List { String::new() } else { format!(" {}", h.target) };
    let (at, many) = (h.at_ms as f64 / 1000.0, h.gatekeepers);
    format!("{many} gatekeepers {}{target} ({} times) in the 100 ms from {at:.1} s", h.act.name(), h.times)
}

/// Formats a run as text of several lines.
#[must_use]
pub fn text(r: &Report) -> String {
    let mut out = line(r);
    out.push('\n');
    let _ = writeln!(
        out,
        "{:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>8}",
        "plan", "asked", "inside", "in time", "inside i.t.", "unserved", "units", "over", "worst"
    );
    for p in &r.plans {
        let _ = writeln!(
            out,
            "{:<16} {:>9} {:>9} {:>9} {:>11} {:>9} {:>10.0} {:>8.4} {:>8.4}",
            p.name,
            p.asked,
            p.inside,
            p.in_time,
            p.inside_in_time,
            p.unserved,
            p.units,
            if p.units > 0.0 { p.over / p.units } else { 0.0 },
            p.worst_shop
        );
    }
    let busy: Vec<f64> = r.servers.iter().filter(|s| s.attempts > 0).map(|s| s.busy).collect();
    let mean = busy.iter().sum::<f64>() / busy.len().max(1) as f64;
    let _ = writeln!(
        out,
        "servers: {} took attempts, {:.3} busy on average, {:.3} the busiest; notes: {:.0} bytes each, {:.4} lost, {} to \
         one gatekeeper in its worst second; ceiling's slack used {:.3}; {:.6} of attempts to sick servers; p50 {:.1} ms, longest {:.0} ms",
        busy.len(),
        mean,
        busy.iter().copied().fold(0.0, f64::max),
        r.note_bytes,
        r.notes_lost,
        r.notes_peak,
        r.ceiling_used,
        r.sick,
        r.ms.p50,
        r.ms.max
    );
    let cold = r.servers.iter().map(|s| s.cold_load).fold(0.0, f64::max);
    let _ = writeln!(
        out,
        "for a request: {:.3} handshakes, {:.4} connections turned away, {:.4} lists; a cold server was sent {:.2} of what \
         pushes it over at the most{}",
        r.handshakes,
        r.turned_away,
        r.lists,
        cold,
        r.back_s.map_or(String::new(), |s| format!("; as before the first fault after {s} s"))
    );
    if r.far > 0.0 {
        let _ = writeln!(
            out,
            "zones: {:.4} of the attempts left theirs; {} decisions{}",
            r.far,
            r.decisions.len(),
            r.agreed_ms.map_or(String::new(), |ms| format!(
                "; all that could be reached acted on one {ms:.0} ms after the first fault by place"
            ))
        );
    }
    for (at, what) in &r.decisions {
        let _ = writeln!(out, "decided at {:.1} s: {what}", at / 1000.0);
    }
    for h in &r.herds {
        let _ = writeln!(out, "at once: {}", herd(h));
    }
    for m in &r.missed {
        let _ = writeln!(out, "missed: {m}");
    }
    if let Some(b) = &r.broken {
        let _ = writeln!(out, "the rule `{}` is broken at {:.3} ms: {}\nbefore it:", b.rule, b.at, b.what);
        b.before.iter().for_each(|l| out.push_str(&format!("  {l}\n")));
    }
    out
}

/// Formats runs of any scenarios and seeds as an HTML page: all as text, and the first of each scenario with
/// plots.
///
/// # Errors
/// Returns an error if a plot can't be drawn.
pub fn html(reports: &[Report]) -> Result<String, String> {
    let mut body = String::new();
    let mut seen: Vec<&str> = Vec::new();
    for r in reports {
        if seen.contains(&r.scenario.as_str()) {
            continue;
        }
        seen.push(&r.scenario);
        let _ = write!(body, "<h2>{} (seed {})</h2>\n{}", charts::escape(&r.scenario), r.seed, plots(r)?);
        let herds: Vec<String> = r.herds.iter().map(herd).collect();
        if !herds.is_empty() {
            let _ = write!(body, "<h3>At once</h3>\n<pre>{}</pre>\n", charts::escape(&herds.join("\n")));
        }
    }
    let all: Vec<String> = reports.iter().map(line).collect();
    let json = serde_json::to_string(reports).map_err(|e| e.to_string())?;
    let text = format!("{}\n\n{}", all.join("\n"), reports.first().map(text).unwrap_or_default());
    Ok(charts::page("frostvale: simulated days", &text, &body, &json))
}

/// The plots of a run, as SVG.
fn plots(r: &Report) -> Result<String, String> {
    let of = |value: &dyn Fn(&Second) -> f64| charts::seconds(r.seconds.iter().map(value));
    let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
    let mut svg = charts::plot(
        "final answers",
        ("seconds", "a second"),
        &[
            ("served", GREEN, of(&|s| s.served as f64)),
            ("refused", AMBER, of(&|s| s.refused as f64)),
            ("failed", RED, of(&|s| s.failed as f64)),
            ("retries that came", PURPLE, of(&|s| s.retries as f64)),
        ],
    )?;
    svg += &charts::plot(
        "inside quotas: served in time",
        ("seconds", "part"),
        &[("part", GREEN, of(&|s| part(s.inside_in_time as f64, s.inside as f64)))],
    )?;
    svg += &charts::plot(
        "quota error: units beyond quotas, of units passed",
        ("seconds", "part"),
        &[("part", RED, of(&|s| part(s.over, s.units)))],
    )?;
    svg += &charts::plot(
        "cost: for each try that came",
        ("seconds", "for a try"),
        &[
            ("notes", BLUE, of(&|s| part(s.notes as f64, s.tries as f64))),
            ("attempts", PURPLE, of(&|s| part(s.attempts as f64, s.tries as f64))),
        ],
    )?;
    svg += &charts::plot(
        "the fleet: connections and lists",
        ("seconds", "a second"),
        &[
            ("handshakes", BLUE, of(&|s| s.handshakes as f64)),
            ("turned away", RED, of(&|s| s.turned_away as f64)),
            ("lists", AMBER, of(&|s| s.lists as f64)),
        ],
    )?;
    svg += &charts::plot(
        "the cold server that was sent most, as a part of what pushes it over",
        ("seconds", "part"),
        &[("sent", PURPLE, of(&|s| s.cold))],
    )?;
    svg += &zones(r)?;
    let mut busy: Vec<f64> = r.servers.iter().map(|s| s.busy).collect();
    busy.sort_by(|a, b| b.total_cmp(a));
    svg += &charts::plot(
        "load by server, the busiest first",
        ("server", "part of its cores' time"),
        &[("busy", BLUE, charts::seconds(busy))],
    )?;
    Ok(svg)
}

/// Plots of the attempts by zone, local and from other zones, and of the decisions as steps; empty without
/// other zones.
fn zones(r: &Report) -> Result<String, String> {
    let mut pairs: Vec<(u32, u32)> = r.ways.iter().flatten().map(|(f, t, _)| (*f, *t)).collect();
    pairs.sort_unstable();
    pairs.dedup();
    if pairs.iter().all(|(f, _)| *f == 0) && pairs.iter().all(|(_, t)| *t == 0) {
        return Ok(String::new());
    }
    let at = |second: &Vec<(u32, u32, u64)>, pick: &dyn Fn(u32, u32) -> bool| {
        second.iter().filter(|(f, t, _)| pick(*f, *t)).map(|(_, _, n)| *n as f64).sum::<f64>()
    };
    let colours = [BLUE, GREEN, AMBER, RED, PURPLE];
    let mut zones: Vec<u32> = pairs.iter().map(|(_, t)| *t).collect();
    zones.sort_unstable();
    zones.dedup();
    let names: Vec<String> = zones.iter().map(|z| format!("z{z}")).collect();
    let mut svg = String::new();
    for (title, near) in
        [("attempts that stayed in their zone", true), ("attempts that came from other zones", false)]
    {
        let lines: Vec<(&str, _, _)> = zones
            .iter()
            .zip(&names)
            .take(colours.len())
            .enumerate()
            .map(|(k, (zone, name))| {
                let pick = |f: u32, t: u32| t == *zone && (f == t) == near;
                (name.as_str(), colours[k], charts::seconds(r.ways.iter().map(|s| at(s, &pick))))
            })
            .collect();
        svg += &charts::plot(title, ("seconds", "a second"), &lines)?;
    }
    if !r.decisions.is_empty() {
        let version = |second: usize| {
            r.decisions.iter().filter(|(at, _)| *at <= 1000.0 * (second as f64 + 1.0)).count() as f64
        };
        let steps = charts::seconds((0..r.seconds.len()).map(version));
        svg += &charts::plot("decisions on zones", ("seconds", "version"), &[("version", PURPLE, steps)])?;
        let decisions: Vec<String> =
            r.decisions.iter().map(|(at, what)| format!("{:.1} s: {what}", at / 1000.0)).collect();
        svg += &format!("<pre>{}</pre>\n", charts::escape(&decisions.join("\n")));
    }
    Ok(svg)
}
