//! Load at a steady pace at every gatekeeper, whatever comes of it, and what came of it by zone and time.

use crate::client::{ClientPool, Shop, unique_id};
use crate::local_cluster::LocalCluster;
use crate::resp::Answer;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Requests that wait for their answer at one gatekeeper at the most.
const OUT_MOST: usize = 512;

/// What came of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused, to be tried again.
    Refused,
    /// Failed, or no answer.
    Failed,
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct PacedResult {
    /// Of which gatekeeper.
    pub gatekeeper: usize,
    /// Whether it was a keyed mix.
    pub mix: bool,
    /// When it was asked, in ms from the start, and how long its answer took.
    pub at_ms: u64,
    /// See `at_ms`.
    pub took_ms: u64,
    /// What came of it.
    pub outcome: RequestOutcome,
}

/// Load until it is stopped.
pub struct PacedLoad {
    begun: Instant,
    stop: Arc<AtomicBool>,
    all: Arc<Mutex<Vec<PacedResult>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl PacedLoad {
    /// So many requests a second at each gatekeeper, by its number; every `mix`-th of them is a keyed mix.
    #[must_use]
    pub fn start(town: &LocalCluster, rates: &[f64], mix: u64) -> PacedLoad {
        let begun = Instant::now();
        let (stop, all) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let one = |k: usize| {
            let (at, rate) = (town.gatekeepers[k].resp, rates[k % rates.len()]);
            let (stop, all) = (stop.clone(), all.clone());
            tokio::spawn(async move {
                let pool = Arc::new(ClientPool::new(at));
                let first = u32::try_from(k).unwrap_or(0);
                let id = format!("{:016x}", 0xa000 + k);
                let shop = Arc::new(Shop { id, plan: "wide".into(), first, spread: 1 });
                let out = Arc::new(tokio::sync::Semaphore::new(OUT_MOST));
                let mut beat = interval(Duration::from_secs_f64(1.0 / rate.max(0.1)));
                beat.set_missed_tick_behavior(MissedTickBehavior::Burst);
                let mut count = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    beat.tick().await;
                    count += 1;
                    let is_mix = mix > 0 && count.is_multiple_of(mix);
                    let Ok(permit) = out.clone().acquire_owned().await else { return };
                    let (pool, shop, all) = (pool.clone(), shop.clone(), all.clone());
                    tokio::spawn(async move {
                        let asked = Instant::now();
                        let key = unique_id();
                        let answer = match is_mix {
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
                        let outcome = match answer {
                            Ok(Answer::Served(_)) => RequestOutcome::Served,
                            Ok(Answer::Busy(_)) => RequestOutcome::Refused,
                            _ => RequestOutcome::Failed,
                        };
                        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
                        let (at_ms, took_ms) = (ms(asked - begun), ms(asked.elapsed()));
                        let one = PacedResult { gatekeeper: k, mix: is_mix, at_ms, took_ms, outcome };
                        all.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                        drop(permit);
                    });
                }
            })
        };
        let tasks = (0..town.gatekeepers.len()).map(one).collect();
        PacedLoad { begun, stop, all, tasks }
    }

    /// Ms since the start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// What came so far.
    #[must_use]
    pub fn results(&self) -> Vec<PacedResult> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Of what was asked from one time on and before another by those gatekeepers: how many, and how many were served.
    #[must_use]
    pub fn served(&self, from_ms: u64, to_ms: u64, of: impl Fn(usize) -> bool) -> (usize, usize) {
        let all = self.results();
        let within = all.iter().filter(|o| (from_ms..to_ms).contains(&o.at_ms) && of(o.gatekeeper));
        within.fold((0, 0), |(n, s), o| (n + 1, s + usize::from(o.outcome == RequestOutcome::Served)))
    }

    /// Ends it, and waits for what is still out.
    pub async fn stop(self) -> Vec<PacedResult> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        tokio::time::sleep(Duration::from_millis(1700)).await;
        self.all.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
