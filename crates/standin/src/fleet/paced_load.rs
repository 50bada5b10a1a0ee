//! Open-loop load at a constant rate at every gatekeeper, independent of the responses, and the outcome of
//! each request by gatekeeper and time.

use crate::client::{ClientPool, Shop, unique_id};
use crate::local_cluster::LocalCluster;
use crate::resp::Answer;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Maximum number of outstanding requests at one gatekeeper.
const MAX_OUTSTANDING_REQUESTS: usize = 512;

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Served,
    /// The request was refused with `-BUSY`; it may be retried.
    Refused,
    /// The request failed or got no response.
    Failed,
}

/// Result of one request.
#[derive(Debug, Clone, Copy)]
pub struct PacedResult {
    /// Number of the gatekeeper.
    pub gatekeeper: usize,
    /// Whether the request was a keyed mix.
    pub mix: bool,
    /// Time of the request, in ms since the load started.
    pub at_ms: u64,
    /// Time until its outcome, in ms.
    pub took_ms: u64,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// A running load; it continues until [`stop`](PacedLoad::stop).
pub struct PacedLoad {
    started: Instant,
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Vec<PacedResult>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl PacedLoad {
    /// Starts the load. `rates` are requests per second by gatekeeper number, repeated if there are more
    /// gatekeepers. Every `mix`-th request is a keyed mix; 0 means none.
    #[must_use]
    pub fn start(cluster: &LocalCluster, rates: &[f64], mix: u64) -> PacedLoad {
        let started = Instant::now();
        let (stop, results) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let spawn_load = |k: usize| {
            let (at, rate) = (cluster.gatekeepers[k].resp, rates[k % rates.len()]);
            let (stop, results) = (stop.clone(), results.clone());
            tokio::spawn(async move {
                let pool = Arc::new(ClientPool::new(at));
                let first = u32::try_from(k).unwrap_or(0);
                let id = format!("{:016x}", 0xa000 + k);
                let shop = Arc::new(Shop { id, plan: "wide".into(), first, spread: 1 });
                let outstanding = Arc::new(tokio::sync::Semaphore::new(MAX_OUTSTANDING_REQUESTS));
                let mut ticker = interval(Duration::from_secs_f64(1.0 / rate.max(0.1)));
                ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
                let mut count = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    ticker.tick().await;
                    count += 1;
                    let is_mix = mix > 0 && count.is_multiple_of(mix);
                    let Ok(permit) = outstanding.clone().acquire_owned().await else { return };
                    let (pool, shop, results) = (pool.clone(), shop.clone(), results.clone());
                    tokio::spawn(async move {
                        let sent = Instant::now();
                        let key = unique_id();
                        let response = match is_mix {
                            true => {
                                pool.send_request(
                                    &shop,
                                    "mix-record",
                                    Some(&key),
                                    1,
                                    Duration::from_millis(1500),
                                )
                                .await
                            }
                            false => {
                                pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900))
                                    .await
                            }
                        };
                        let outcome = match response {
                            Ok(Answer::Served(_)) => RequestOutcome::Served,
                            Ok(Answer::Busy(_)) => RequestOutcome::Refused,
                            _ => RequestOutcome::Failed,
                        };
                        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
                        let (at_ms, took_ms) = (ms(sent - started), ms(sent.elapsed()));
                        let result = PacedResult { gatekeeper: k, mix: is_mix, at_ms, took_ms, outcome };
                        results.lock().unwrap_or_else(PoisonError::into_inner).push(result);
                        drop(permit);
                    });
                }
            })
        };
        let tasks = (0..cluster.gatekeepers.len()).map(spawn_load).collect();
        PacedLoad { started, stop, results, tasks }
    }

    /// Time since the start, in ms.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the results so far.
    #[must_use]
    pub fn results(&self) -> Vec<PacedResult> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts the requests that were sent at or after `from_ms` and before `to_ms` at the gatekeepers that
    /// `includes` accepts. Returns the number of all and the number of served requests.
    #[must_use]
    pub fn served(&self, from_ms: u64, to_ms: u64, includes: impl Fn(usize) -> bool) -> (usize, usize) {
        let results = self.results();
        let within = results.iter().filter(|o| (from_ms..to_ms).contains(&o.at_ms) && includes(o.gatekeeper));
        within.fold((0, 0), |(n, s), o| (n + 1, s + usize::from(o.outcome == RequestOutcome::Served)))
    }

    /// Stops the load, waits 1.7 s for outstanding requests and returns all results.
    pub async fn stop(self) -> Vec<PacedResult> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        tokio::time::sleep(Duration::from_millis(1700)).await;
        self.results.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
