//! Clients: RESP2 requests through gatekeepers and rate limit calls through the agent.

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
pub fn unique_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let base = u64::from(std::process::id()) << 40 ^ crate::clock::unix_ms() << 20;
    format!("{:016x}", base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// One request on a connection. Keyed ones carry `key`.
///
/// # Errors
/// As the connection says.
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

/// One try of a request. A client's own repeat is marked as such.
///
/// # Errors
/// As the connection says.
pub async fn send_attempt(
    conn: &mut RespConnection,
    shop: &Shop,
    class: &str,
    key: Option<&str>,
    units: u32,
    wait: Duration,
    repeat: bool,
) -> io::Result<Answer> {
    let (id, d) = (unique_id(), wait.as_millis());
    let key = key.map_or(String::new(), |k| format!("k={k},"));
    let fields = format!(
        "c={class},t={},d={d},{key}units={units},spread={},first={}{}",
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

/// Connections to one gatekeeper that wait for their next request.
pub struct ClientPool {
    at: SocketAddr,
    idle: Mutex<Vec<RespConnection>>,
}

impl ClientPool {
    /// An empty one.
    #[must_use]
    pub fn new(at: SocketAddr) -> ClientPool {
        ClientPool { at, idle: Mutex::default() }
    }

    /// One request, on an idle connection or a new one. An idle one that has been closed meanwhile costs nothing.
    ///
    /// # Errors
    /// As the connection says.
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

    /// The same, where it may be a client's own repeat.
    ///
    /// # Errors
    /// As the connection says.
    pub async fn send_attempt(
        &self,
        shop: &Shop,
        class: &str,
        key: Option<&str>,
        units: u32,
        wait: Duration,
        repeat: bool,
    ) -> io::Result<Answer> {
        let idle = || self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let old = idle().pop();
        if let Some(mut conn) = old
            && let Ok(answer) = send_attempt(&mut conn, shop, class, key, units, wait, repeat).await
        {
            idle().push(conn);
            return Ok(answer);
        }
        let mut conn = RespConnection::connect(self.at).await?;
        let answer = send_attempt(&mut conn, shop, class, key, units, wait, repeat).await?;
        idle().push(conn);
        Ok(answer)
    }
}
