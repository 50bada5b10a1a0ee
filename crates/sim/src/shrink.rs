//! Makes a scenario that fails as small as it will get while it still fails in the same way: shorter, with fewer faults,
//! shops, servers and gatekeepers, on any of a few seeds.

use crate::scenario::Scenario;
use crate::stats::Report;
use crate::world::{ModuleFactory, run};

/// So many runs at the most.
pub const MAX_RUNS: usize = 400;
/// Each candidate is tried on so many seeds from the failing one on.
const SEEDS: u64 = 3;

/// How a run failed: a rule's name, or the name of what was expected.
#[must_use]
pub fn failure(report: &Report) -> Option<String> {
    let missed = || report.missed.first().and_then(|m| m.split(':').next()).map(String::from);
    report.broken.as_ref().map(|b| b.rule.clone()).or_else(missed)
}

/// A smaller scenario and the seed with which it fails, and how many runs that took.
#[derive(Debug, Clone)]
pub struct Shrunk {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// What fails.
    pub failure: String,
    /// Runs that were made.
    pub runs: usize,
}

/// Shrinks a scenario that fails with this seed.
///
/// # Errors
/// When it does not fail with it, or can't be run.
pub fn shrink(scenario: &Scenario, seed: u64, make: ModuleFactory<'_>) -> Result<Shrunk, String> {
    let first = run(scenario, seed, make)?;
    let failure_ = failure(&first).ok_or_else(|| format!("nothing fails with seed {seed}"))?;
    let mut best = Shrunk { scenario: scenario.clone(), seed, failure: failure_, runs: 1 };
    if let Some(broken) = &first.broken {
        // What comes after the break can't matter; a simpler day may break a little later.
        let end = 1.5 * broken.at / 1000.0 + 2.0;
        best.scenario.seconds = best.scenario.seconds.min(end);
    }
    let mut again = true;
    while again && best.runs < MAX_RUNS {
        again = false;
        // Each step that works is taken again before the next kind is tried.
        let mut which = 0;
        while let Some(candidate) = candidates(&best.scenario).into_iter().nth(which) {
            if best.runs >= MAX_RUNS {
                break;
            }
            match fails(&candidate, &mut best, make) {
                Some(seed) => (best.scenario, best.seed, again) = (candidate, seed, true),
                None => which += 1,
            }
        }
    }
    Ok(best)
}

/// The seed with which a candidate fails in the same way.
fn fails(candidate: &Scenario, best: &mut Shrunk, make: ModuleFactory<'_>) -> Option<u64> {
    if candidate.check().is_err() || *candidate == best.scenario {
        return None;
    }
    for seed in best.seed..best.seed + SEEDS {
        best.runs += 1;
        let same = run(candidate, seed, make).is_ok_and(|r| failure(&r).as_ref() == Some(&best.failure));
        if same {
            return Some(seed);
        }
    }
    None
}

fn changed(scenario: &Scenario, change: impl FnOnce(&mut Scenario)) -> Scenario {
    let mut s = scenario.clone();
    change(&mut s);
    s
}

/// Simpler scenarios, the largest steps first.
fn candidates(s: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for k in 0..s.faults.len() {
        all.push(changed(s, |s| {
            s.faults.remove(k);
        }));
    }
    // A quarter may fail by none of the seeds where fewer still do, or half.
    for shops in [s.load.shops / 4, s.load.shops / 2, 4.min(s.load.shops), s.load.shops.saturating_sub(1)] {
        all.push(changed(s, |s| s.load.shops = shops.max(1)));
    }
    all.push(changed(s, |s| s.servers.count = (s.servers.count / 2).max(1)));
    all.push(changed(s, |s| {
        s.gatekeepers.count = (s.gatekeepers.count / 2).max(1);
        s.gatekeepers.spread = s.gatekeepers.spread.map(|n| n.min(s.gatekeepers.count));
    }));
    // Less time or load leaves a failure fewer chances: what is large goes first.
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
