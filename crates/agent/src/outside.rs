//! The client of an outside rate limit service. The gatekeepers decide when to call it and what to do without
//! an answer (`frostvale-outside`). This module makes the calls, with a limit on their number and their time.

use crate::config::{self, Keys};
use crate::process_tables::{class_name, plan_name};
use frostvale_link::agent::Link;
use frostvale_link::proto::outside_verdict::Code as VerdictCode;
use frostvale_link::proto::{OutsideAsk, OutsideVerdict, Welcome};
use frostvale_proto::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor;
use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::descriptor_status::QuotaSpecifier;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::quota::ExpirationSpecifier;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::{Code, Quota};
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
use frostvale_proto::envoy::service::ratelimit::v3::{RateLimitRequest, RateLimitResponse};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};
use tokio::sync::Semaphore;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of HTTP/2 keepalive pings while calls are in flight. The connection is closed if the answer takes
/// as long again.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Counters of calls to the outside service since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls requested by gatekeepers, including those that could not be made.
    pub asked: AtomicU64,
    /// Calls answered with OK.
    pub ok: AtomicU64,
    /// Calls answered with over the limit.
    pub over: AtomicU64,
    /// Calls without a usable answer, and those that could not be made.
    pub failed: AtomicU64,
}

/// A client of an outside rate limit service.
pub struct Outside {
    client: RateLimitServiceClient<Channel>,
    domain: String,
    keys: Keys,
    /// Limits the calls in flight.
    call_permits: Arc<Semaphore>,
    /// The limit of calls in flight.
    max_in_flight: usize,
    /// Counters since the start.
    pub counts: Counts,
}

/// The verdict for a call without a usable answer.
#[must_use]
pub fn failed(id: u64) -> OutsideVerdict {
    OutsideVerdict { id, code: VerdictCode::Failed.into(), ..OutsideVerdict::default() }
}

impl Outside {
    /// Creates the client. It connects at the first call.
    ///
    /// # Errors
    /// If the endpoint or the CA file cannot be used.
    pub fn new(config: &config::Outside) -> Result<Arc<Outside>, String> {
        let mut endpoint = Endpoint::from_shared(config.endpoint.clone())
            .map_err(|e| format!("outside.endpoint: {e}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_INTERVAL)
            .keep_alive_while_idle(false)
            .tcp_nodelay(true);
        if let Some(ca) = &config.ca {
            let pem =
                std::fs::read(ca).map_err(|e| format!("outside.ca: cannot read {}: {e}", ca.display()))?;
            endpoint = endpoint
                .tls_config(ClientTlsConfig::new().ca_certificate(Certificate::from_pem(pem)))
                .map_err(|e| format!("outside.ca: {e}"))?;
        }
        Ok(Arc::new(Outside {
            client: RateLimitServiceClient::new(endpoint.connect_lazy())
                .max_decoding_message_size(MAX_RESPONSE_BYTES),
            domain: config.domain.clone(),
            keys: config.keys.clone(),
            call_permits: Arc::new(Semaphore::new(config.in_hand)),
            max_in_flight: config.in_hand,
            counts: Counts::default(),
        }))
    }

    /// The number of calls in flight.
    #[must_use]
    pub fn in_hand(&self) -> u64 {
        (self.max_in_flight - self.call_permits.available_permits()) as u64
    }

    /// Calls the service on behalf of the gatekeeper process of this welcome and sends the verdict to that
    /// process. The verdict is "failed" at once if the limit of calls in flight is reached or the plan is
    /// unknown.
    pub fn send_request(self: Arc<Self>, check: OutsideAsk, link: Link, from: Arc<Welcome>) {
        self.counts.asked.fetch_add(1, Ordering::Relaxed);
        let plan = plan_name(&from, check.plan).map(str::to_string);
        let (Ok(permit), Some(plan)) = (self.call_permits.clone().try_acquire_owned(), plan) else {
            self.counts.failed.fetch_add(1, Ordering::Relaxed);
            return link.send_verdict(&from, failed(check.id));
        };
        let entry_keys = self.keys.entry_keys(&[]);
        let entry = |key: String, value: String| Entry { key, value };
        let mut entries = vec![entry(entry_keys.shop, check.shop), entry(entry_keys.plan, plan)];
        if let Some(class) = class_name(&from, check.class) {
            entries.push(entry(entry_keys.class, class.to_string()));
        }
        let hits_addend = u32::try_from(check.units_milli.div_ceil(1000)).unwrap_or(u32::MAX);
        let descriptors = vec![RateLimitDescriptor { entries, hits_addend: None }];
        let call = RateLimitRequest { domain: self.domain.clone(), descriptors, hits_addend };
        let within = Duration::from_millis(u64::from(check.within_ms));
        tokio::spawn(async move {
            let mut request = tonic::Request::new(call);
            request.set_timeout(within);
            let mut client = self.client.clone();
            let answer = tokio::time::timeout(within, client.should_rate_limit(request)).await;
            let verdict =
                answer.ok().and_then(Result::ok).and_then(|a| to_verdict(check.id, &a.into_inner()));
            let count = match verdict.as_ref().map(OutsideVerdict::code) {
                Some(VerdictCode::Ok) => &self.counts.ok,
                Some(VerdictCode::Over) => &self.counts.over,
                _ => &self.counts.failed,
            };
            count.fetch_add(1, Ordering::Relaxed);
            link.send_verdict(&from, verdict.unwrap_or_else(|| failed(check.id)));
            drop(permit);
        });
    }
}

/// Converts a response to a verdict. `None` if its code is unknown.
fn to_verdict(id: u64, answer: &RateLimitResponse) -> Option<OutsideVerdict> {
    let status = answer.statuses.first();
    match answer.overall_code() {
        Code::Ok => {
            let descriptor_quota =
                status.and_then(|s| s.quota_specifier.as_ref()).map(|QuotaSpecifier::Quota(q)| q);
            let (units, ms) = descriptor_quota.or(answer.quota.as_ref()).map_or((0, 0), advance_quota);
            let (quota_milli, quota_ms) = if ms > 0 { (units, ms) } else { (0, 0) };
            Some(OutsideVerdict { id, code: VerdictCode::Ok.into(), quota_milli, quota_ms, reset_ms: 0 })
        }
        Code::OverLimit => {
            let reset = status.and_then(|s| s.duration_until_reset);
            let reset_ms = reset.map_or(0, |d| {
                let ms = d.seconds.saturating_mul(1000).saturating_add(i64::from(d.nanos) / 1_000_000);
                u64::try_from(ms).unwrap_or(0)
            });
            Some(OutsideVerdict { id, code: VerdictCode::Over.into(), reset_ms, ..OutsideVerdict::default() })
        }
        Code::Unknown => None,
    }
}

/// The quota granted in advance: requests in thousandths, and how many milliseconds from now it is valid.
fn advance_quota(quota: &Quota) -> (u64, u64) {
    let Some(ExpirationSpecifier::ValidUntil(until)) = &quota.expiration_specifier else { return (0, 0) };
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let now = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
    let until = until.seconds.saturating_mul(1000).saturating_add(i64::from(until.nanos) / 1_000_000);
    (u64::from(quota.requests) * 1000, u64::try_from(until.saturating_sub(now)).unwrap_or(0))
}
