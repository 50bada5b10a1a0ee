//! Compares a run with the expectations that its scenario states in addition to the rules.

use crate::scenario::Expect;
use crate::stats::Report;

/// Seconds with fewer requests within quotas are too small a sample for `second_least`.
const MIN_REQUESTS_PER_SECOND: u64 = 20;

/// The expectations that the run did not meet, one sentence each, beginning with the key. A run that violates
/// a rule is not compared.
pub(crate) fn missed(expect: &Expect, r: &Report) -> Vec<String> {
    let mut missed = Vec::new();
    if r.broken.is_some() {
        return missed;
    }
    if let Some(least) = expect.served_least.filter(|least| r.served < *least) {
        missed.push(format!("served_least: {:.4} of the worth inside quotas, {least} expected", r.served));
    }
    for (name, most) in &expect.over_most {
        for p in r.plans.iter().filter(|p| p.name == *name && p.over > most * p.units) {
            missed.push(format!(
                "over_most.{name}: {:.1} of {:.1} units beyond the quota ({:.4}), {most} at the most expected",
                p.over,
                p.units,
                p.over / p.units
            ));
        }
    }
    if let Some(most) = expect.notes_most.filter(|most| r.notes > *most) {
        missed.push(format!("notes_most: {:.3} notes for a request, {most} expected", r.notes));
    }
    if let Some(most) = expect.handshakes_most.filter(|most| r.handshakes > *most) {
        missed
            .push(format!("handshakes_most: {:.3} handshakes for a request, {most} expected", r.handshakes));
    }
    if let Some(most) = expect.turned_away_most.filter(|most| r.turned_away > *most) {
        let were = r.turned_away;
        missed.push(format!(
            "turned_away_most: {were:.4} connections turned away for a request, {most} expected"
        ));
    }
    if let Some(most) = expect.back_most_s.filter(|most| r.back_s.is_none_or(|s| s > *most)) {
        let was = r.back_s.map_or("not within the run".into(), |s| format!("after {s} s"));
        missed.push(format!("back_most_s: as before {was}, after {most} s expected"));
    }
    if let Some(most) = expect.far_most.filter(|most| r.far > *most) {
        missed.push(format!("far_most: {:.4} of the attempts left their zone, {most} expected", r.far));
    }
    if let Some(most) = expect.decisions_most.filter(|most| r.decisions.len() as f64 > *most) {
        missed.push(format!("decisions_most: {} on zones, {most} expected", r.decisions.len()));
    }
    if let Some(most) = expect.agreed_most_ms.filter(|most| r.agreed_ms.is_none_or(|ms| ms > *most)) {
        let was = r.agreed_ms.map_or("never".into(), |ms| format!("after {ms:.0} ms"));
        missed.push(format!("agreed_most_ms: all acted on a decision {was}, after {most} expected"));
    }
    if let Some(most) = expect.sick_most.filter(|most| r.sick > *most) {
        missed
            .push(format!("sick_most: {:.4} of the attempts went to sick servers, {most} expected", r.sick));
    }
    if let Some(least) = expect.second_least {
        let seconds = r.seconds.iter().enumerate().skip(expect.after_s.max(0.0) as usize);
        let part = |s: &crate::stats::Second| s.inside_in_time as f64 / s.inside as f64;
        let worst = seconds
            .filter(|(_, s)| s.inside >= MIN_REQUESTS_PER_SECOND)
            .min_by(|a, b| part(a.1).total_cmp(&part(b.1)));
        if let Some((at, s)) = worst.filter(|(_, s)| part(s) < least) {
            missed.push(format!("second_least: {:.3} served in second {at}, {least} expected", part(s)));
        }
    }
    missed
}
