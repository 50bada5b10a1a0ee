//! Shrinks a failing scenario while it still fails in the same way with one of a few seeds: a shorter time,
//! and fewer faults, shops, servers and gatekeepers.

use crate::scenario::Scenario;
use crate::stats::Report;
use crate::world::{ModuleFactory, run};

/// Maximum number of runs.
pub const MAX_RUNS: usize = 400;
/// Number of seeds tried for each candidate, from the failing one on.
const SEEDS_PER_CANDIDATE: u64 = 3;

/// How a run failed: the name of the violated rule, or the key of the missed expectation; `None` if it did
/// not fail.
#[must_use]
pub fn failure(report: &Report) -> Option<String> {
    let missed = || report.missed.first().and_then(|m| m.split(':').next()).map(String::from);
    report.broken.as_ref().map(|b| b.rule.clone()).or_else(missed)
}

/// The result of shrinking.
#[derive(Debug, Clone)]
pub struct Shrunk {
    /// The smaller scenario.
    pub scenario: Scenario,
    /// The seed with which it fails.
    pub seed: u64,
    /// The rule or expectation that fails; see [`failure`].
    pub failure: String,
    /// Number of runs made.
    pub runs: usize,
}

/// Shrinks a scenario that fails with this seed.
///
/// # Errors
/// Returns an error if the scenario does not fail with the seed, or can't be run.
pub fn shrink(scenario: &Scenario, seed: u64, make: ModuleFactory<'_>) -> Result<Shrunk, String> {
    let first = run(scenario, seed, make)?;
    let failure_ = failure(&first).ok_or_else(|| format!("nothing fails with seed {seed}"))?;
    let mut best = Shrunk { scenario: scenario.clone(), seed, failure: failure_, runs: 1 };
    if let Some(broken) = &first.broken {
        // What follows the violation has no influence; a simpler scenario may fail a little later.
        let end = 1.5 * broken.at / 1000.0 + 2.0;
        best.scenario.seconds = best.scenario.seconds.min(end);
    }
    let mut has_progress = true;
    while has_progress && best.runs < MAX_RUNS {
        has_progress = false;
        // A reduction that succeeds is repeated before the next one is tried.
        let mut which = 0;
        while let Some(candidate) = candidates(&best.scenario).into_iter().nth(which) {
            if best.runs >= MAX_RUNS {
                break;
            }
            match fails(&candidate, &mut best, make) {
                Some(seed) => (best.scenario, best.seed, has_progress) = (candidate, seed, true),
                None => which += 1,
            }
        }
    }
    Ok(best)
}

/// The seed with which a candidate fails in the same way, if there is one.
fn fails(candidate: &Scenario, best: &mut Shrunk, make: ModuleFactory<'_>) -> Option<u64> {
    if candidate.check().is_err() || *candidate == best.scenario {
        return None;
    }
    for seed in best.seed..best.seed + SEEDS_PER_CANDIDATE {
        best.runs += 1;
        let same = run(candidate, seed, make).is_ok_and(|r| failure(&r).as_ref() == Some(&best.failure));
        if same {
            return Some(seed);
        }
    }
    None
}

/// A copy of a scenario with a change.
fn changed(scenario: &Scenario, change: impl FnOnce(&mut Scenario)) -> Scenario {
    let mut s = scenario.clone();
    change(&mut s);
    s
}

/// Simpler scenarios, in descending order of the reduction.
fn candidates(s: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for k in 0..s.faults.len() {
        all.push(changed(s, |s| {
            s.faults.remove(k);
        }));
    }
    // A quarter of the shops may fail with none of the seeds where a half, or still fewer shops, do.
    for shops in [s.load.shops / 4, s.load.shops / 2, 4.min(s.load.shops), s.load.shops.saturating_sub(1)] {
        all.push(changed(s, |s| s.load.shops = shops.max(1)));
    }
    all.push(changed(s, |s| s.servers.count = (s.servers.count / 2).max(1)));
    all.push(changed(s, |s| {
        s.gatekeepers.count = (s.gatekeepers.count / 2).max(1);
        s.gatekeepers.spread = s.gatekeepers.spread.map(|n| n.min(s.gatekeepers.count));
    }));
    // Less time or load makes a failure less likely, so the large parts are reduced first.
    all.push(changed(s, |s| s.seconds = (s.seconds / 2.0).max(0.1)));
    all.push(changed(s, |s| s.load.rate /= 2.0));
    all.push(changed(s, |s| (s.load.once, s.load.top) = (0.0, 0.0)));
    all.push(changed(s, |s| s.load.retries = 0));
    all.push(changed(s, |s| s.load.uneven = 0.0));
    all.push(changed(s, |s| {
        s.servers.zones = 1;
        s.servers.cells = s.servers.cells.min(2);
    }));
    all.push(changed(s, |s| s.servers.kinds.truncate(1)));
    for k in 0..s.classes.len().min(if s.classes.len() > 1 { 8 } else { 0 }) {
        all.push(changed(s, |s| {
            s.classes.remove(k);
        }));
    }
    for k in 0..s.plans.len().min(if s.plans.len() > 1 { 8 } else { 0 }) {
        all.push(changed(s, |s| {
            let name = s.plans.remove(k).name;
            s.expect.over_most.remove(&name);
        }));
    }
    for k in 0..s.faults.len() {
        all.push(changed(s, |s| s.faults[k].for_s /= 2.0));
        all.push(changed(s, |s| s.faults[k].at_s = (s.faults[k].at_s / 2.0 * 10.0).floor() / 10.0));
        all.push(changed(s, |s| s.faults[k].count = (s.faults[k].count / 2).max(1)));
        all.push(changed(s, |s| s.faults[k].part /= 2.0));
    }
    all
}
