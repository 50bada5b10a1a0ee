//! What is told of a load: lines as it goes on, a text at the end, JSON, and one HTML page that needs nothing beside it.

use crate::stats::{AnswerKind, LoadStats, PROTOCOLS, SecondStats};
use frostvale_charts::{self as charts, AMBER, BLUE, GREEN, PURPLE, RED};
use serde_json::Value;
use std::fmt::Write;

/// What is known of the town beside the load, each as a name and a word on it.
pub type StatusWords = Vec<(String, String)>;

/// One line on the last second, for logs and pipes.
#[must_use]
pub fn line(at: usize, seconds: &[SecondStats; 2], around: &StatusWords) -> String {
    let mut text = format!("{at:>5} s");
    for (name, s) in PROTOCOLS.iter().zip(seconds) {
        let _ = write!(
            text,
            "  {name} {}/s served, {}/s refused, {}/s failed, p50 {:.1} ms, p99 {:.1} ms",
            s.served, s.refused, s.failed, s.p50, s.p99
        );
    }
    for (name, word) in around {
        let _ = write!(text, "  {name} {word}");
    }
    text
}

/// The view on a terminal: the last second, all so far, and what stands around it.
#[must_use]
pub fn view(
    at: usize,
    seconds: &[SecondStats; 2],
    tally: &LoadStats,
    plans: &[String],
    around: &StatusWords,
) -> String {
    let mut text = format!(
        "{at:>6} s     {:>9} {:>9} {:>9} {:>10} {:>10} {:>9}\n",
        "served/s", "refused/s", "failed/s", "p50 ms", "p99 ms", "retries"
    );
    for ((name, s), p) in PROTOCOLS.iter().zip(seconds).zip(&tally.protocols) {
        let _ = writeln!(
            text,
            "{name:<12} {:>9} {:>9} {:>9} {:>10.1} {:>10.1} {:>9}",
            s.served, s.refused, s.failed, s.p50, s.p99, p.retries
        );
    }
    let _ = writeln!(text, "{:<12} {:>9} {:>9} {:>9} {:>10}", "plan", "served", "refused", "granted", "over");
    for (name, p) in plans.iter().zip(&tally.plans) {
        let _ = writeln!(text, "{name:<12} {:>9} {:>9} {:>9} {:>10}", p.served, p.refused, p.granted, p.over);
    }
    text.push_str(&reasons(tally));
    for (name, word) in around {
        let _ = writeln!(text, "{name:<12} {word}");
    }
    text
}

fn reasons(tally: &LoadStats) -> String {
    let mut text = String::new();
    for (name, p) in PROTOCOLS.iter().zip(&tally.protocols) {
        let all: Vec<String> = p
            .answers
            .iter()
            .filter(|(end, _)| **end != AnswerKind::Served)
            .map(|(end, n)| format!("{} {n}", end.name()))
            .collect();
        if !all.is_empty() {
            let _ = writeln!(text, "{name:<12} {}", all.join("; "));
        }
    }
    text
}

/// The text at the end.
#[must_use]
pub fn text(tally: &LoadStats, plans: &[String], around: &StatusWords) -> String {
    let mut text = format!(
        "{} requests in {} s: {:.1} in 100 served or granted\n",
        tally.answers(0) + tally.answers(1),
        tally.seconds.len(),
        100.0 * tally.served_fraction()
    );
    let json = tally.json(plans);
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
    for (name, word) in around {
        let _ = writeln!(text, "{name:<12} {word}");
    }
    text
}

fn counts(value: &Value) -> String {
    let all = value.as_object().into_iter().flatten();
    all.map(|(name, n)| format!("{name} {n}")).collect::<Vec<_>>().join(", ")
}

/// One page with plots; it needs no other file and no network.
///
/// # Errors
/// When a plot can't be drawn.
pub fn html(
    title: &str,
    tally: &LoadStats,
    plans: &[String],
    around: &StatusWords,
) -> Result<String, String> {
    let of = |protocol: usize, value: fn(&SecondStats) -> f64| {
        charts::seconds(tally.seconds.iter().map(|s| value(&s[protocol])))
    };
    let mut body = String::new();
    for (k, name) in PROTOCOLS.iter().enumerate() {
        let curves = [
            ("served", GREEN, of(k, |s| s.served as f64)),
            ("refused", AMBER, of(k, |s| s.refused as f64)),
            ("failed", RED, of(k, |s| s.failed as f64)),
        ];
        body.push_str(&charts::plot(&format!("{name}: final answers"), ("seconds", "a second"), &curves)?);
        let curves = [("p50", BLUE, of(k, |s| s.p50)), ("p99", PURPLE, of(k, |s| s.p99))];
        body.push_str(&charts::plot(
            &format!("{name}: time from when it was due"),
            ("seconds", "ms"),
            &curves,
        )?);
    }
    Ok(charts::page(title, &text(tally, plans, around), &body, &tally.json(plans).to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::RequestKind;

    #[test]
    fn the_page_stands_alone_and_holds_the_figures() {
        let mut tally = LoadStats::new(1);
        for k in 0..50 {
            tally.record_answer(
                0,
                RequestKind::Read,
                if k % 5 == 0 { AnswerKind::Quota } else { AnswerKind::Served },
                0.002,
            );
            if k % 10 == 9 {
                tally.take_second();
            }
        }
        let around = vec![("servers".to_string(), "3 <ready>".to_string())];
        let page = html("a & b", &tally, &["tienda".into()], &around).expect("drawn");
        assert_eq!(page.matches("<svg").count(), 4);
        assert!(!page.contains("src=") && !page.contains("href=") && page.contains("3 &lt;ready&gt;"));
        let data =
            page.split("id=\"data\">").nth(1).and_then(|rest| rest.split("</script>").next()).expect("data");
        let data: Value = serde_json::from_str(data).expect("JSON");
        assert_eq!(data["plans"]["tienda"]["served"], 40);
        assert_eq!(data["seconds"]["resp2"].as_array().expect("a list").len(), 5);
        assert!(text(&tally, &["tienda".into()], &around).contains("80.0 in 100 served"));
    }
}
