//! One day on real processes: gatekeepers, servers, discovery with a release, and open-loop clients.
//!
//! Every size has the same load, limits and server cores for each gatekeeper. A release replaces a part of the servers each
//! second: they drain, and come back as new processes.

use crate::table::{Day, Figures, FleetSize};
use crate::usage::{self, Usage};
use frostvale_load::engine::{LoadRun, SharedStats, lock_stats, run_load};
use frostvale_load::schedule::{LoadProfile, example_plans, shops};
use frostvale_load::stats::LoadStats;
use frostvale_standin::clock::unix_ms;
use frostvale_standin::discovery::{Discovery, Target};
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at the processes.
const LOOK: Duration = Duration::from_millis(200);
/// Between two steps of a release.
const RELEASE_STEP: Duration = Duration::from_secs(1);
/// How long a server drains before it is replaced, in steps.
const DRAIN_STEPS: usize = 3;
/// Server cores for each gatekeeper.
const CORES_EACH: usize = 50;
/// Gatekeepers that a shop's requests come to.
const SPREAD: u32 = 2;

/// How a day is played.
#[derive(Debug, Clone, Copy)]
pub struct DayPlan {
    /// How long clients send, in seconds.
    pub seconds: u32,
    /// Requests a second for each gatekeeper.
    pub rate_each: f64,
    /// The part of the servers that a release replaces each second, 0 to 0.3.
    pub release_part: f64,
    /// Of the load and the release.
    pub seed: u64,
}

/// Plays a day at one size.
///
/// # Errors
/// With what did not start, or which gatekeeper ended.
pub async fn play_day(size: FleetSize, plan: DayPlan) -> Result<Day, String> {
    let cores = (CORES_EACH * size.gatekeepers / size.servers).max(1);
    let formula = ServerOptions { cores, ids: false, ..ServerOptions::default() };
    let (gatekeepers, servers) = (size.gatekeepers, size.servers);
    let town = ClusterOptions { gatekeepers, servers, formula, agent: false, ..ClusterOptions::default() };
    let mut town = LocalCluster::start(town).await?;
    let list_bytes_before = town.discovery.list_bytes();
    let pids: Vec<u32> = town.gatekeepers.iter().filter_map(|g| g.process.pid()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let watching = tokio::spawn(peak_descriptors(pids.clone(), stop.clone()));
    let tally = {
        let played = play_load(&town, plan);
        let released = release(&town.discovery, plan);
        tokio::select! {
            tally = played => tally?,
            () = released => return Err("the release ended before the load".into()),
        }
    };
    stop.store(true, Ordering::Relaxed);
    let descriptors = watching.await.map_err(|e| e.to_string())?;
    let list_bytes = town.discovery.list_bytes() - list_bytes_before;
    let connections: u64 = town.servers.iter().map(|server| server.connections()).sum();
    let usages: Vec<Usage> = pids.iter().filter_map(|pid| usage::read(*pid)).collect();
    if usages.len() != gatekeepers {
        return Err(format!("{} of {gatekeepers} gatekeepers have ended", gatekeepers - usages.len()));
    }
    let each = |sum: f64| sum / gatekeepers as f64;
    let figures = Figures {
        cpu_s: each(usages.iter().map(|u| u.cpu_s).sum()),
        memory_mb: each(usages.iter().map(|u| u.memory_mb).sum()),
        descriptors: each(descriptors as f64),
        connections: each(connections as f64),
        list_kb: each(list_bytes as f64 / 1024.0),
        served: lock_stats(&tally).served_fraction(),
    };
    town.stop().await;
    Ok(Day { size, figures })
}

async fn play_load(town: &LocalCluster, plan: DayPlan) -> Result<SharedStats, String> {
    let plans = example_plans();
    let count = u32::try_from(town.gatekeepers.len()).unwrap_or(u32::MAX);
    let shops =
        shops(plan.rate_each * f64::from(count), LoadProfile::WithinQuota, &plans, count, SPREAD.min(count))?;
    let tally: SharedStats = Arc::new(Mutex::new(LoadStats::new(plans.len())));
    let gatekeepers = town.gatekeepers.iter().map(|g| g.resp).collect();
    let load = LoadRun { shops, plans, gatekeepers, rls: None, grpc: 0.0, seed: plan.seed };
    run_load(load, Duration::from_secs(plan.seconds.into()), tally.clone()).await?;
    Ok(tally)
}

/// Replaces a part of the servers each second, without end.
async fn release(discovery: &Discovery, plan: DayPlan) {
    let mut lots = StdRng::seed_from_u64(plan.seed);
    let mut order: Vec<(String, Target)> = discovery.targets();
    order.shuffle(&mut lots);
    let step = ((order.len() as f64 * plan.release_part).round() as usize).min(order.len());
    let mut draining: Vec<usize> = Vec::new();
    let mut next = 0;
    loop {
        sleep(RELEASE_STEP.mul_f64(lots.random_range(0.9..1.1))).await;
        let mut changes = Vec::new();
        if draining.len() >= step * DRAIN_STEPS {
            for at in draining.drain(..step) {
                let (uid, target) = &order[at];
                changes.push((uid.clone(), Target { boot_ms: unix_ms(), ..target.clone() }));
            }
        }
        for _ in 0..step {
            let (uid, target) = &order[next];
            changes.push((uid.clone(), Target { state: "draining".into(), ..target.clone() }));
            draining.push(next);
            next = (next + 1) % order.len();
        }
        discovery.set_all(changes);
    }
}

/// The sum of each process's most open descriptors, until told to stop.
async fn peak_descriptors(pids: Vec<u32>, stop: Arc<AtomicBool>) -> usize {
    let mut peaks = vec![0; pids.len()];
    while !stop.load(Ordering::Relaxed) {
        for (peak, pid) in peaks.iter_mut().zip(&pids) {
            *peak = usage::read(*pid).map_or(*peak, |usage| usage.descriptors.max(*peak));
        }
        sleep(LOOK).await;
    }
    peaks.iter().sum()
}
