//! Plays a schedule over sockets. Each first try is sent when it is due, whatever became of those before it.

use crate::schedule::{Arrival, Plan, RequestKind, Schedule, Shop, retry_delay_ms};
use crate::stats::{AnswerKind, LoadStats};
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
use frostvale_standin::client::{ClientPool, Shop as Customer, rate_limit_call, rls_client, unique_id};
use frostvale_standin::resp::Answer;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};
use tonic::transport::Channel;

/// Requests in hand at the most; what is due beyond them is counted as not sent.
const IN_HAND: usize = 10_000;
/// Connections to the rate limit service: each carries so many calls at once.
const CHANNELS: usize = 4;
/// How long a reader waits for its formula, a mixer for its mix, and a web store for its check, in ms.
const PATIENCE: [u64; 3] = [800, 2000, 1000];

/// What is played, and against what.
pub struct LoadRun {
    /// Who asks.
    pub shops: Vec<Shop>,
    /// Their plans.
    pub plans: Vec<Plan>,
    /// The gatekeepers, by number.
    pub gatekeepers: Vec<SocketAddr>,
    /// The rate limit service; without it all is RESP2.
    pub rls: Option<SocketAddr>,
    /// The part that comes as rate limit calls.
    pub grpc: f64,
    /// Of the schedule and of clients' pauses.
    pub seed: u64,
}

/// The tally, shared with who shows it.
pub type SharedStats = Arc<Mutex<LoadStats>>;

/// Locks the tally.
pub fn lock_stats(tally: &SharedStats) -> MutexGuard<'_, LoadStats> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Town {
    plans: Vec<String>,
    shops: Vec<Customer>,
    kinds: Vec<usize>,
    pools: Vec<ClientPool>,
    rls: Vec<RateLimitServiceClient<Channel>>,
    in_hand: AtomicUsize,
    tally: SharedStats,
    seed: u64,
}

/// Plays for so long; ends once the last request has its answer.
///
/// # Errors
/// When there is nothing to play, or an address can't be used.
pub async fn run_load(play: LoadRun, most: Duration, tally: SharedStats) -> Result<(), String> {
    if play.gatekeepers.is_empty() {
        return Err("no gatekeeper is named".into());
    }
    let grpc = if play.rls.is_some() { play.grpc } else { 0.0 };
    let schedule = Schedule::new(&play.shops, grpc, play.seed)?;
    let customer = |s: &Shop| Customer {
        id: s.id.clone(),
        plan: play.plans[s.plan].name.clone(),
        first: s.first,
        spread: s.spread,
    };
    let clients = play.rls.map(|at| (0..CHANNELS).map(|_| rls_client(at)).collect::<Result<Vec<_>, _>>());
    let town = Arc::new(Town {
        plans: play.plans.iter().map(|p| p.name.clone()).collect(),
        shops: play.shops.iter().map(customer).collect(),
        kinds: play.shops.iter().map(|s| s.plan).collect(),
        pools: play.gatekeepers.iter().map(|at| ClientPool::new(*at)).collect(),
        rls: clients.transpose()?.unwrap_or_default(),
        in_hand: AtomicUsize::new(0),
        tally,
        seed: play.seed,
    });
    let begun = tokio::time::Instant::now();
    for (number, arrival) in schedule.enumerate() {
        if arrival.at > most.as_secs_f64() {
            break;
        }
        let due = begun + Duration::from_secs_f64(arrival.at);
        if due > tokio::time::Instant::now() {
            sleep_until(due).await;
        }
        if town.in_hand.fetch_add(1, Ordering::Relaxed) >= IN_HAND {
            town.in_hand.fetch_sub(1, Ordering::Relaxed);
            lock_stats(&town.tally).record_answer(
                town.kinds[arrival.shop],
                arrival.kind,
                AnswerKind::Unsent,
                0.0,
            );
            continue;
        }
        let town = town.clone();
        tokio::spawn(async move {
            let end = town.request(number, arrival, due.into_std()).await;
            lock_stats(&town.tally).record_answer(
                town.kinds[arrival.shop],
                arrival.kind,
                end,
                due.elapsed().as_secs_f64(),
            );
            town.in_hand.fetch_sub(1, Ordering::Relaxed);
        });
    }
    while town.in_hand.load(Ordering::Relaxed) > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

impl Town {
    /// One request as a plain client sends it, to its end.
    async fn request(&self, number: usize, arrival: Arrival, due: Instant) -> AnswerKind {
        let shop = &self.shops[arrival.shop];
        debug_assert!(self.plans.contains(&shop.plan));
        if arrival.kind == RequestKind::Check {
            return self.check(number, shop).await;
        }
        let mix = arrival.kind == RequestKind::Mix;
        let patience = Duration::from_millis(PATIENCE[usize::from(mix)]);
        let (class, key) = if mix { ("mix-record", Some(unique_id())) } else { ("formula-read", None) };
        let mut lots = rand::rngs::StdRng::seed_from_u64(self.seed ^ number as u64);
        let mut tries = 0;
        loop {
            tries += 1;
            let left = patience.saturating_sub(due.elapsed());
            if left.is_zero() {
                return AnswerKind::Silent;
            }
            // A front deals a shop's tries among its set.
            let at = (u64::from(shop.first) + u64::from(arrival.turn) + u64::from(tries) - 1)
                % u64::from(shop.spread)
                + u64::from(shop.first);
            let pool = &self.pools[at as usize % self.pools.len()];
            let answer = pool.send_attempt(shop, class, key.as_deref(), 1, left, tries > 1).await;
            let told = match answer {
                Ok(Answer::Served(_)) => return AnswerKind::Served,
                Ok(Answer::Failed(_)) => return AnswerKind::Failed,
                Ok(Answer::Busy(told)) => told,
                Err(_) => return AnswerKind::Silent,
            };
            let left = patience.saturating_sub(due.elapsed()).as_secs_f64() * 1000.0;
            match retry_delay_ms(tries, told, left, lots.random()) {
                Some(pause) => sleep(Duration::from_secs_f64(pause / 1000.0)).await,
                None if told.is_some() => return AnswerKind::Quota,
                None => return AnswerKind::Busy,
            }
            lock_stats(&self.tally).record_retry(arrival.kind);
        }
    }

    /// One rate limit call. A web store does not ask again: it queues the order and shows when it may.
    async fn check(&self, number: usize, shop: &Customer) -> AnswerKind {
        let mut client = self.rls[number % self.rls.len()].clone();
        let patience = Duration::from_millis(PATIENCE[2]);
        match timeout(patience, client.should_rate_limit(rate_limit_call(shop, true, 1))).await {
            Ok(Ok(answer)) if answer.get_ref().overall_code() == Code::Ok => AnswerKind::Served,
            Ok(Ok(_)) => AnswerKind::Over,
            Ok(Err(_)) => AnswerKind::Failed,
            Err(_) => AnswerKind::Silent,
        }
    }
}
