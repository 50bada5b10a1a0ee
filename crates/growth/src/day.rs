//! Runs one day on real processes: gatekeepers, servers, discovery with a release in progress, and open-loop
//! clients.
//!
//! Every fleet size has the same load, limits and server cores per gatekeeper. A release replaces a fraction
//! of the servers each second: they drain, and are then announced as new processes.

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

/// Interval between two samples of the processes' open file descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Mean interval between two steps of a release.
const RELEASE_STEP: Duration = Duration::from_secs(1);
/// Number of steps for which a server drains before it is replaced.
const DRAIN_STEPS: usize = 3;
/// Total server cores per gatekeeper.
const CORES_PER_GATEKEEPER: usize = 50;
/// Number of gatekeepers in a shop's set.
const SPREAD: u32 = 2;

/// Parameters of a day.
#[derive(Debug, Clone, Copy)]
pub struct DayPlan {
    /// How long the clients send requests, in seconds.
    pub seconds: u32,
    /// Request rate per gatekeeper, in requests per second.
    pub rate_per_gatekeeper: f64,
    /// Fraction of the servers that the release replaces each second, 0 to 0.3.
    pub release_fraction: f64,
    /// Seed of the load and the release.
    pub seed: u64,
}

/// Runs a day at one fleet size and returns the resource use of a gatekeeper.
///
/// # Errors
/// Returns an error if the cluster does not start, the load cannot run, or a gatekeeper has ended.
pub async fn run_day(size: FleetSize, plan: DayPlan) -> Result<Day, String> {
    let cores = (CORES_PER_GATEKEEPER * size.gatekeepers / size.servers).max(1);
    let formula = ServerOptions { cores, ids: false, ..ServerOptions::default() };
    let (gatekeepers, servers) = (size.gatekeepers, size.servers);
    let options = ClusterOptions { gatekeepers, servers, formula, agent: false, ..ClusterOptions::default() };
    let mut cluster = LocalCluster::start(options).await?;
    let list_bytes_before = cluster.discovery.list_bytes();
    let pids: Vec<u32> = cluster.gatekeepers.iter().filter_map(|g| g.process.pid()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sampler = tokio::spawn(peak_descriptors(pids.clone(), stop.clone()));
    let stats = {
        let load = run_day_load(&cluster, plan);
        let release = replace_servers(&cluster.discovery, plan);
        tokio::select! {
            stats = load => stats?,
            () = release => return Err("the release ended before the load".into()),
        }
    };
    stop.store(true, Ordering::Relaxed);
    let descriptors = sampler.await.map_err(|e| e.to_string())?;
    let list_bytes = cluster.discovery.list_bytes() - list_bytes_before;
    let connections: u64 = cluster.servers.iter().map(|server| server.connections()).sum();
    let usages: Vec<Usage> = pids.iter().filter_map(|pid| usage::read(*pid)).collect();
    if usages.len() != gatekeepers {
        return Err(format!("{} of {gatekeepers} gatekeepers have ended", gatekeepers - usages.len()));
    }
    let per_gatekeeper = |sum: f64| sum / gatekeepers as f64;
    let figures = Figures {
        cpu_s: per_gatekeeper(usages.iter().map(|u| u.cpu_s).sum()),
        memory_mb: per_gatekeeper(usages.iter().map(|u| u.memory_mb).sum()),
        descriptors: per_gatekeeper(descriptors as f64),
        connections: per_gatekeeper(connections as f64),
        list_kb: per_gatekeeper(list_bytes as f64 / 1024.0),
        served: lock_stats(&stats).served_fraction(),
    };
    cluster.stop().await;
    Ok(Day { size, figures })
}

async fn run_day_load(cluster: &LocalCluster, plan: DayPlan) -> Result<SharedStats, String> {
    let plans = example_plans();
    let count = u32::try_from(cluster.gatekeepers.len()).unwrap_or(u32::MAX);
    let shops = shops(
        plan.rate_per_gatekeeper * f64::from(count),
        LoadProfile::WithinQuota,
        &plans,
        count,
        SPREAD.min(count),
    )?;
    let stats: SharedStats = Arc::new(Mutex::new(LoadStats::new(plans.len())));
    let gatekeepers = cluster.gatekeepers.iter().map(|g| g.resp).collect();
    let load = LoadRun { shops, plans, gatekeepers, rls: None, grpc_fraction: 0.0, seed: plan.seed };
    run_load(load, Duration::from_secs(plan.seconds.into()), stats.clone()).await?;
    Ok(stats)
}

/// Replaces a fraction of the servers each second and never returns.
async fn replace_servers(discovery: &Discovery, plan: DayPlan) {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut order: Vec<(String, Target)> = discovery.targets();
    order.shuffle(&mut rng);
    let step = ((order.len() as f64 * plan.release_fraction).round() as usize).min(order.len());
    let mut draining: Vec<usize> = Vec::new();
    let mut next = 0;
    loop {
        sleep(RELEASE_STEP.mul_f64(rng.random_range(0.9..1.1))).await;
        let mut changes = Vec::new();
        if draining.len() >= step * DRAIN_STEPS {
            for index in draining.drain(..step) {
                let (uid, target) = &order[index];
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

/// Samples the open file descriptors of the processes until `stop` is set, and returns the sum of their
/// maxima.
async fn peak_descriptors(pids: Vec<u32>, stop: Arc<AtomicBool>) -> usize {
    let mut peaks = vec![0; pids.len()];
    while !stop.load(Ordering::Relaxed) {
        for (peak, pid) in peaks.iter_mut().zip(&pids) {
            *peak = usage::read(*pid).map_or(*peak, |usage| usage.descriptors.max(*peak));
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    peaks.iter().sum()
}
