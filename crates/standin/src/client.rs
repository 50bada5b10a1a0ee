//! Clients that send RESP2 requests through gatekeepers, and rate limit calls through the agent.

use crate::resp::{Answer, RespConnection, command};
use frostvale_proto::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor;
use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitRequest;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};

/// A shop, as its requests describe it.
#[derive(Debug, Clone)]
pub struct Shop {
    /// Id, 16 hexadecimal digits.
    pub id: String,
    /// Name of its plan.
    pub plan: String,
    /// Number of the first gatekeeper of its set.
    pub first: u32,
    /// Number of gatekeepers in the set.
    pub spread: u32,
}

/// Returns a request id that is unique in this process, and most likely among processes.
#[must_use]
pub fn unique_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let base = u64::from(std::process::id()) << 40 ^ crate::clock::unix_ms() << 20;
    format!("{:016x}", base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// Sends a request on a connection and reads the response. A request with a `key` is a keyed one (`Q.DO`).
///
/// # Errors
/// When the connection fails, or there is no valid response within 1 s after `wait`.
pub async fn send_request(
    conn: &mut RespConnection,
    shop: &Shop,
    class: &str,
    key: Option<&str>,
    units: u32,
    wait: Duration,
) -> io::Result<Answer> {
    send_attempt(conn, shop, class, key, units, wait, false).await
}

/// Sends one attempt of a request and reads the response. `repeat` marks it as the client's own retry
/// (`r=1`).
///
/// # Errors
/// When the connection fails, or there is no valid response within 1 s after `wait`.
pub async fn send_attempt(
    conn: &mut RespConnection,
    shop: &Shop,
    class: &str,
    key: Option<&str>,
    units: u32,
    wait: Duration,
    repeat: bool,
) -> io::Result<Answer> {
    let (id, wait_ms) = (unique_id(), wait.as_millis());
    let key = key.map_or(String::new(), |k| format!("k={k},"));
    let fields = format!(
        "c={class},t={},d={wait_ms},{key}units={units},spread={},first={}{}",
        shop.plan,
        shop.spread,
        shop.first,
        if repeat { ",r=1" } else { "" }
    );
    let name: &[u8] = if key.is_empty() { b"Q.ASK" } else { b"Q.DO" };
    let mut parts = vec![name, shop.id.as_bytes(), id.as_bytes(), fields.as_bytes()];
    if !key.is_empty() {
        parts.push(b"MIX");
    }
    conn.write.write_all(&command(&parts)).await?;
    timeout(wait + Duration::from_secs(1), conn.read_answer()).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// Creates a client of a rate limit service, which connects at its first call.
///
/// # Errors
/// When the address is not valid in a URI.
pub fn rls_client(at: SocketAddr) -> Result<RateLimitServiceClient<Channel>, String> {
    let endpoint = Endpoint::from_shared(format!("http://{at}")).map_err(|e| e.to_string())?;
    Ok(RateLimitServiceClient::new(endpoint.tcp_nodelay(true).connect_lazy()))
}

/// Returns a rate limit call with one descriptor. With `set` the descriptor has the set of the shop (`first`,
/// `spread`).
#[must_use]
pub fn rate_limit_call(shop: &Shop, set: bool, units: u32) -> RateLimitRequest {
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

/// A pool of idle connections to one gatekeeper.
pub struct ClientPool {
    at: SocketAddr,
    idle: Mutex<Vec<RespConnection>>,
}

impl ClientPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(at: SocketAddr) -> ClientPool {
        ClientPool { at, idle: Mutex::default() }
    }

    /// Sends a request on an idle connection or a new one. If the attempt on an idle connection fails, for
    /// example because it was closed meanwhile, the request is sent again on a new one.
    ///
    /// # Errors
    /// When the attempt on the new connection fails.
    pub async fn send_request(
        &self,
        shop: &Shop,
        class: &str,
        key: Option<&str>,
        units: u32,
        wait: Duration,
    ) -> io::Result<Answer> {
        self.send_attempt(shop, class, key, units, wait, false).await
    }

    /// Like `send_request`; `repeat` marks the request as the client's own retry.
    ///
    /// # Errors
    /// When the attempt on the new connection fails.
    pub async fn send_attempt(
        &self,
        shop: &Shop,
        class: &str,
        key: Option<&str>,
        units: u32,
        wait: Duration,
        repeat: bool,
    ) -> io::Result<Answer> {
        let idle_connections = || self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pooled = idle_connections().pop();
        if let Some(mut conn) = pooled
            && let Ok(answer) = send_attempt(&mut conn, shop, class, key, units, wait, repeat).await
        {
            idle_connections().push(conn);
            return Ok(answer);
        }
        let mut conn = RespConnection::connect(self.at).await?;
        let answer = send_attempt(&mut conn, shop, class, key, units, wait, repeat).await?;
        idle_connections().push(conn);
        Ok(answer)
    }
}
