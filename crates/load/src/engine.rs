//! Sends the requests of a schedule over sockets. Each first attempt is sent when it is due, regardless of
//! the outcome of earlier requests.

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

/// Maximum number of requests in flight; a request due above it is counted as not sent.
const MAX_IN_FLIGHT: usize = 10_000;
/// Number of connections to the rate limit service, since the number of concurrent calls per connection is
/// limited.
const CHANNELS: usize = 4;
/// Client timeouts in ms: reading a formula, recording a mix, and a rate limit call of a web shop.
const CLIENT_TIMEOUT_MS: [u64; 3] = [800, 2000, 1000];

/// Parameters of a load run.
pub struct LoadRun {
    /// Shops that send requests.
    pub shops: Vec<Shop>,
    /// Plans; [`Shop::plan`] is an index into them.
    pub plans: Vec<Plan>,
    /// Addresses of the gatekeepers' RESP2 ports, by gatekeeper number.
    pub gatekeepers: Vec<SocketAddr>,
    /// Address of the rate limit service; without it all requests are sent as RESP2.
    pub rls: Option<SocketAddr>,
    /// Fraction of requests that are sent as rate limit calls.
    pub grpc_fraction: f64,
    /// Seed of the schedule and of the clients' retry delays.
    pub seed: u64,
}

/// Statistics shared with the code that displays them.
pub type SharedStats = Arc<Mutex<LoadStats>>;

/// Locks the statistics, also after a panic of another holder.
pub fn lock_stats(stats: &SharedStats) -> MutexGuard<'_, LoadStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State shared by the tasks of a load run.
struct LoadClient {
    plans: Vec<String>,
    shops: Vec<Customer>,
    /// Index of the plan of each shop.
    shop_plans: Vec<usize>,
    pools: Vec<ClientPool>,
    rls: Vec<RateLimitServiceClient<Channel>>,
    in_flight: AtomicUsize,
    stats: SharedStats,
    seed: u64,
}

/// Sends requests for `duration` and returns once the last request in flight has ended.
///
/// # Errors
/// Returns an error if no gatekeeper is given, the shops have no demand, or an address cannot be used.
pub async fn run_load(run: LoadRun, duration: Duration, stats: SharedStats) -> Result<(), String> {
    if run.gatekeepers.is_empty() {
        return Err("cannot start load: no gatekeeper is given".into());
    }
    let grpc_fraction = if run.rls.is_some() { run.grpc_fraction } else { 0.0 };
    let schedule = Schedule::new(&run.shops, grpc_fraction, run.seed)?;
    let customer = |s: &Shop| Customer {
        id: s.id.clone(),
        plan: run.plans[s.plan].name.clone(),
        first: s.first,
        spread: s.spread,
    };
    let clients =
        run.rls.map(|address| (0..CHANNELS).map(|_| rls_client(address)).collect::<Result<Vec<_>, _>>());
    let client = Arc::new(LoadClient {
        plans: run.plans.iter().map(|p| p.name.clone()).collect(),
        shops: run.shops.iter().map(customer).collect(),
        shop_plans: run.shops.iter().map(|s| s.plan).collect(),
        pools: run.gatekeepers.iter().map(|address| ClientPool::new(*address)).collect(),
        rls: clients.transpose()?.unwrap_or_default(),
        in_flight: AtomicUsize::new(0),
        stats,
        seed: run.seed,
    });
    let start = tokio::time::Instant::now();
    for (number, arrival) in schedule.enumerate() {
        if arrival.at > duration.as_secs_f64() {
            break;
        }
        let due = start + Duration::from_secs_f64(arrival.at);
        if due > tokio::time::Instant::now() {
            sleep_until(due).await;
        }
        if client.in_flight.fetch_add(1, Ordering::Relaxed) >= MAX_IN_FLIGHT {
            client.in_flight.fetch_sub(1, Ordering::Relaxed);
            lock_stats(&client.stats).record_answer(
                client.shop_plans[arrival.shop],
                arrival.kind,
                AnswerKind::Unsent,
                0.0,
            );
            continue;
        }
        let client = client.clone();
        tokio::spawn(async move {
            let outcome = client.send_request(number, arrival, due.into_std()).await;
            lock_stats(&client.stats).record_answer(
                client.shop_plans[arrival.shop],
                arrival.kind,
                outcome,
                due.elapsed().as_secs_f64(),
            );
            client.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
    while client.in_flight.load(Ordering::Relaxed) > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

impl LoadClient {
    /// Sends one request with its retries, as an ordinary client does, and returns the final outcome.
    async fn send_request(&self, number: usize, arrival: Arrival, due: Instant) -> AnswerKind {
        let shop = &self.shops[arrival.shop];
        debug_assert!(self.plans.contains(&shop.plan));
        if arrival.kind == RequestKind::Check {
            return self.send_check(number, shop).await;
        }
        let is_mix = arrival.kind == RequestKind::Mix;
        let client_timeout = Duration::from_millis(CLIENT_TIMEOUT_MS[usize::from(is_mix)]);
        let (class, key) = if is_mix { ("mix-record", Some(unique_id())) } else { ("formula-read", None) };
        let mut rng = rand::rngs::StdRng::seed_from_u64(self.seed ^ number as u64);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let left = client_timeout.saturating_sub(due.elapsed());
            if left.is_zero() {
                return AnswerKind::Silent;
            }
            // A load balancer in front distributes a shop's attempts over its set.
            let gatekeeper = (u64::from(shop.first) + u64::from(arrival.turn) + u64::from(attempts) - 1)
                % u64::from(shop.spread)
                + u64::from(shop.first);
            let pool = &self.pools[gatekeeper as usize % self.pools.len()];
            let answer = pool.send_attempt(shop, class, key.as_deref(), 1, left, attempts > 1).await;
            let retry_after_ms = match answer {
                Ok(Answer::Served(_)) => return AnswerKind::Served,
                Ok(Answer::Failed(_)) => return AnswerKind::Failed,
                Ok(Answer::Busy(retry_after_ms)) => retry_after_ms,
                Err(_) => return AnswerKind::Silent,
            };
            let left = client_timeout.saturating_sub(due.elapsed()).as_secs_f64() * 1000.0;
            match retry_delay_ms(attempts, retry_after_ms, left, rng.random()) {
                Some(delay_ms) => sleep(Duration::from_secs_f64(delay_ms / 1000.0)).await,
                None if retry_after_ms.is_some() => return AnswerKind::Quota,
                None => return AnswerKind::Busy,
            }
            lock_stats(&self.stats).record_retry(arrival.kind);
        }
    }

    /// Sends one rate limit call. A web shop does not retry: it queues the order and shows when it can be
    /// sent.
    async fn send_check(&self, number: usize, shop: &Customer) -> AnswerKind {
        let mut client = self.rls[number % self.rls.len()].clone();
        let client_timeout = Duration::from_millis(CLIENT_TIMEOUT_MS[2]);
        match timeout(client_timeout, client.should_rate_limit(rate_limit_call(shop, true, 1))).await {
            Ok(Ok(answer)) if answer.get_ref().overall_code() == Code::Ok => AnswerKind::Served,
            Ok(Ok(_)) => AnswerKind::Over,
            Ok(Err(_)) => AnswerKind::Failed,
            Err(_) => AnswerKind::Silent,
        }
    }
}
