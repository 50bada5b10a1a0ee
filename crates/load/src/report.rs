//! Reports of a load run: lines and a terminal view during the run, a final text, and a self-contained HTML
//! page.

use crate::stats::{AnswerKind, LoadStats, PROTOCOLS, SecondStats};
use frostvale_charts::{self as charts, AMBER, BLUE, GREEN, PURPLE, RED};
use serde_json::Value;
use std::fmt::Write;

/// Further status of the system under test, as pairs of a name and a short text.
pub type StatusWords = Vec<(String, String)>;

/// Formats the last second as one line, for logs and pipes. `at` is the time since the start, in seconds.
#[must_use]
pub fn line(at: usize, seconds: &[SecondStats; 2], status: &StatusWords) -> String {
    let mut text = format!("{at:>5} s");
    for (name, s) in PROTOCOLS.iter().zip(seconds) {
        let _ = write!(
            text,
            "  {name} {}/s served, {}/s refused, {}/s failed, p50 {:.1} ms, p99 {:.1} ms",
            s.served, s.refused, s.failed, s.p50, s.p99
        );
    }
    for (name, detail) in status {
        let _ = write!(text, "  {name} {detail}");
    }
    text
}

/// Formats the view for a terminal: the last second, the totals so far, and the further status.
#[must_use]
pub fn view(
    at: usize,
    seconds: &[SecondStats; 2],
    stats: &LoadStats,
    plans: &[String],
    status: &StatusWords,
) -> String {
    let mut text = format!(
        "{at:>6} s     {:>9} {:>9} {:>9} {:>10} {:>10} {:>9}\n",
        "served/s", "refused/s", "failed/s", "p50 ms", "p99 ms", "retries"
    );
    for ((name, s), p) in PROTOCOLS.iter().zip(seconds).zip(&stats.protocols) {
        let _ = writeln!(
            text,
            "{name:<12} {:>9} {:>9} {:>9} {:>10.1} {:>10.1} {:>9}",
            s.served, s.refused, s.failed, s.p50, s.p99, p.retries
        );
    }
    let _ = writeln!(text, "{:<12} {:>9} {:>9} {:>9} {:>10}", "plan", "served", "refused", "granted", "over");
    for (name, p) in plans.iter().zip(&stats.plans) {
        let _ = writeln!(text, "{name:<12} {:>9} {:>9} {:>9} {:>10}", p.served, p.refused, p.granted, p.over);
    }
    text.push_str(&unserved_outcomes(stats));
    for (name, detail) in status {
        let _ = writeln!(text, "{name:<12} {detail}");
    }
    text
}

/// Formats the counts of all outcomes other than served, one line per protocol.
fn unserved_outcomes(stats: &LoadStats) -> String {
    let mut text = String::new();
    for (name, p) in PROTOCOLS.iter().zip(&stats.protocols) {
        let all: Vec<String> = p
            .answers
            .iter()
            .filter(|(outcome, _)| **outcome != AnswerKind::Served)
            .map(|(outcome, n)| format!("{} {n}", outcome.name()))
            .collect();
        if !all.is_empty() {
            let _ = writeln!(text, "{name:<12} {}", all.join("; "));
        }
    }
    text
}

/// Formats the final report as text.
#[must_use]
pub fn text(stats: &LoadStats, plans: &[String], status: &StatusWords) -> String {
    let mut text = format!(
        "{} requests in {} s: {:.1} in 100 served or granted\n",
        stats.answers(0) + stats.answers(1),
        stats.seconds.len(),
        100.0 * stats.served_fraction()
    );
    let json = stats.json(plans);
    for name in PROTOCOLS {
        let p = &json["protocols"][name];
        let ms = |q: &str| p["ms"][q].as_f64().unwrap_or(0.0);
        let _ = writeln!(
            text,
            "{name:<12} p50 {:.1} ms, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, longest {:.1}; {} retries; {}",
            ms("p50"),
            ms("p90"),
            ms("p99"),
            ms("p999"),
            ms("max"),
            p["retries"],
            counts(&p["answers"])
        );
    }
    for name in plans {
        let _ = writeln!(text, "{name:<12} {}", counts(&json["plans"][name]));
    }
    for (name, detail) in status {
        let _ = writeln!(text, "{name:<12} {detail}");
    }
    text
}

fn counts(value: &Value) -> String {
    let all = value.as_object().into_iter().flatten();
    all.map(|(name, n)| format!("{name} {n}")).collect::<Vec<_>>().join(", ")
}

/// Builds an HTML page with plots; it needs no other file and no network.
///
/// # Errors
/// Returns an error if a plot cannot be drawn.
pub fn html(
    title: &str,
    stats: &LoadStats,
    plans: &[String],
    status: &StatusWords,
) -> Result<String, String> {
    let points = |protocol: usize, value: fn(&SecondStats) -> f64| {
        charts::seconds(stats.seconds.iter().map(|s| value(&s[protocol])))
    };
    let mut body = String::new();
    for (k, name) in PROTOCOLS.iter().enumerate() {
        let curves = [
            ("served", GREEN, points(k, |s| s.served as f64)),
            ("refused", AMBER, points(k, |s| s.refused as f64)),
            ("failed", RED, points(k, |s| s.failed as f64)),
        ];
        body.push_str(&charts::plot(&format!("{name}: final answers"), ("seconds", "a second"), &curves)?);
        let curves = [("p50", BLUE, points(k, |s| s.p50)), ("p99", PURPLE, points(k, |s| s.p99))];
        body.push_str(&charts::plot(
            &format!("{name}: latency from the due time"),
            ("seconds", "ms"),
            &curves,
        )?);
    }
    Ok(charts::page(title, &text(stats, plans, status), &body, &stats.json(plans).to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::RequestKind;

    #[test]
    fn html_page_is_self_contained_and_holds_the_counts() {
        let mut stats = LoadStats::new(1);
        for k in 0..50 {
            stats.record_answer(
                0,
                RequestKind::Read,
                if k % 5 == 0 { AnswerKind::Quota } else { AnswerKind::Served },
                0.002,
            );
            if k % 10 == 9 {
                stats.take_second();
            }
        }
        let status = vec![("servers".to_string(), "3 <ready>".to_string())];
        let page = html("a & b", &stats, &["tienda".into()], &status).expect("drawn");
        assert_eq!(page.matches("<svg").count(), 4);
        assert!(!page.contains("src=") && !page.contains("href=") && page.contains("3 &lt;ready&gt;"));
        let data =
            page.split("id=\"data\">").nth(1).and_then(|rest| rest.split("</script>").next()).expect("data");
        let data: Value = serde_json::from_str(data).expect("JSON");
        assert_eq!(data["plans"]["tienda"]["served"], 40);
        assert_eq!(data["seconds"]["resp2"].as_array().expect("a list").len(), 5);
        assert!(text(&stats, &["tienda".into()], &status).contains("80.0 in 100 served"));
    }
}
