//! Load: RESP2 requests through gatekeepers and rate limit calls through the agent, at a rate, booked by plan.

use crate::resp::{Answer, Conn, command};
use frostvale_proto::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor;
use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitRequest;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};

/// What a shop asks for.
#[derive(Debug, Clone)]
pub struct Shop {
    /// 16 hex digits.
    pub id: String,
    /// Its plan.
    pub plan: String,
    /// Its set.
    pub first: u32,
    /// How many gatekeepers the set has.
    pub spread: u32,
}

/// An id that was never used before, in this process or, most likely, another.
#[must_use]
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let base = u64::from(std::process::id()) << 40 ^ crate::town::unix_ms() << 20;
    format!("{:016x}", base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// One request on a connection. Keyed ones carry `key`.
///
/// # Errors
/// As the connection says.
pub async fn ask(
    conn: &mut Conn,
    shop: &Shop,
    class: &str,
    key: Option<&str>,
    units: u32,
    wait: Duration,
) -> io::Result<Answer> {
    let (id, d) = (fresh_id(), wait.as_millis());
    let key = key.map_or(String::new(), |k| format!("k={k},"));
    let fields = format!(
        "c={class},t={},d={d},{key}units={units},spread={},first={}",
        shop.plan, shop.spread, shop.first
    );
    let name: &[u8] = if key.is_empty() { b"Q.ASK" } else { b"Q.DO" };
    let mut parts = vec![name, shop.id.as_bytes(), id.as_bytes(), fields.as_bytes()];
    if !key.is_empty() {
        parts.push(b"MIX");
    }
    conn.write.write_all(&command(&parts)).await?;
    timeout(wait + Duration::from_secs(1), conn.answer()).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// A client of a rate limit service. Connects at the first call.
///
/// # Errors
/// When the address can't be used.
pub fn rls_client(at: SocketAddr) -> Result<RateLimitServiceClient<Channel>, String> {
    let endpoint = Endpoint::from_shared(format!("http://{at}")).map_err(|e| e.to_string())?;
    Ok(RateLimitServiceClient::new(endpoint.tcp_nodelay(true).connect_lazy()))
}

/// A call with one descriptor.
#[must_use]
pub fn call(shop: &Shop, set: bool, units: u32) -> RateLimitRequest {
    let entry = |key: &str, value: String| Entry { key: key.into(), value };
    let mut entries = vec![entry("shop", shop.id.clone()), entry("plan", shop.plan.clone())];
    if set {
        entries.push(entry("first", shop.first.to_string()));
        entries.push(entry("spread", shop.spread.to_string()));
    }
    RateLimitRequest {
        domain: "frostvale".into(),
        descriptors: vec![RateLimitDescriptor { entries, hits_addend: None }],
        hits_addend: units,
    }
}

/// What came of the requests of one plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// RESP2 requests served.
    pub served: u64,
    /// RESP2 requests refused.
    pub refused: u64,
    /// RESP2 requests failed.
    pub failed: u64,
    /// Calls granted.
    pub granted: u64,
    /// Calls over the limit.
    pub over: u64,
    /// Calls that failed.
    pub errors: u64,
    /// Units charged to the plan's shops, by both ways.
    pub units: u64,
}

/// Tallies by plan.
pub type Tallies = Arc<Mutex<BTreeMap<String, Tally>>>;

fn book(tallies: &Tallies, plan: &str, change: impl FnOnce(&mut Tally)) {
    change(tallies.lock().unwrap_or_else(PoisonError::into_inner).entry(plan.to_string()).or_default());
}

/// Plays `rate` requests a second for as long as it is polled: three in four by RESP2, one in four by gRPC, over
/// all shops in turn. Past `MOST` in hand requests are left out, so that a town that hangs does not pile them up.
pub async fn play(
    rate: f64,
    gatekeepers: Vec<(u32, SocketAddr)>,
    rls: Option<SocketAddr>,
    shops: Vec<Shop>,
    tallies: Tallies,
) {
    const MOST: usize = 2000;
    let pool: Arc<BTreeMap<u32, Pool>> =
        Arc::new(gatekeepers.iter().map(|(number, at)| (*number, Pool::new(*at))).collect());
    let client = rls.and_then(|at| rls_client(at).ok());
    let in_hand = Arc::new(AtomicU64::new(0));
    let all = u32::try_from(gatekeepers.len().max(1)).unwrap_or(1);
    let begun = Instant::now();
    let mut turn = 0u64;
    loop {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let due = (begun.elapsed().as_secs_f64() * rate) as u64;
        while turn < due {
            turn += 1;
            if in_hand.load(Ordering::Relaxed) >= MOST as u64 {
                continue;
            }
            let shop = shops[(turn / 4) as usize % shops.len()].clone();
            let (pool, tallies, in_hand) = (pool.clone(), tallies.clone(), in_hand.clone());
            in_hand.fetch_add(1, Ordering::Relaxed);
            match client.clone().filter(|_| turn.is_multiple_of(4)) {
                Some(mut client) => drop(tokio::spawn(async move {
                    let answer =
                        timeout(Duration::from_secs(2), client.should_rate_limit(call(&shop, false, 1)));
                    match answer.await {
                        Ok(Ok(a)) if a.get_ref().overall_code() == Code::Ok => {
                            book(&tallies, &shop.plan, |t| {
                                t.granted += 1;
                                t.units += 1;
                            })
                        }
                        Ok(Ok(_)) => book(&tallies, &shop.plan, |t| t.over += 1),
                        _ => book(&tallies, &shop.plan, |t| t.errors += 1),
                    }
                    in_hand.fetch_sub(1, Ordering::Relaxed);
                })),
                None => drop(tokio::spawn(async move {
                    let number = (shop.first + (turn % u64::from(shop.spread.max(1))) as u32) % all;
                    let key = fresh_id();
                    let (class, key, wait) = if turn.is_multiple_of(3) {
                        ("mix-record", Some(key.as_str()), 2000)
                    } else {
                        ("formula-read", None, 800)
                    };
                    let answer = match pool.get(&number) {
                        Some(pool) => pool.ask(&shop, class, key, 1, Duration::from_millis(wait)).await,
                        None => Err(io::ErrorKind::NotConnected.into()),
                    };
                    book(&tallies, &shop.plan, |t| match answer {
                        Ok(Answer::Served(_)) => {
                            t.served += 1;
                            t.units += 1;
                        }
                        Ok(Answer::Busy(_)) => t.refused += 1,
                        _ => t.failed += 1,
                    });
                    in_hand.fetch_sub(1, Ordering::Relaxed);
                })),
            }
        }
    }
}

/// Connections to one gatekeeper that wait for their next request.
pub struct Pool {
    at: SocketAddr,
    idle: Mutex<Vec<Conn>>,
}

impl Pool {
    /// An empty one.
    #[must_use]
    pub fn new(at: SocketAddr) -> Pool {
        Pool { at, idle: Mutex::default() }
    }

    /// One request, on an idle connection or a new one. An idle one that has been closed meanwhile costs nothing.
    ///
    /// # Errors
    /// As the connection says.
    pub async fn ask(
        &self,
        shop: &Shop,
        class: &str,
        key: Option<&str>,
        units: u32,
        wait: Duration,
    ) -> io::Result<Answer> {
        let idle = || self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let old = idle().pop();
        if let Some(mut conn) = old
            && let Ok(answer) = ask(&mut conn, shop, class, key, units, wait).await
        {
            idle().push(conn);
            return Ok(answer);
        }
        let mut conn = Conn::connect(self.at).await?;
        let answer = ask(&mut conn, shop, class, key, units, wait).await?;
        idle().push(conn);
        Ok(answer)
    }
}
