//! The way to an outside rate limit service. When to ask and what to do without an answer is decided at the
//! gatekeepers (`frostvale-outside`); here calls are made, bounded in number and in time.

use crate::config::{self, Keys};
use frostvale_checks::Tier;
use frostvale_link::agent::Link;
use frostvale_link::proto::outside_verdict::Code as Word;
use frostvale_link::proto::{OutsideAsk, OutsideVerdict};
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

/// A connection that is not up within this time is given up.
const CONNECT: Duration = Duration::from_millis(500);
/// A connection over which nothing comes is tested this often, and given up after as long again.
const ALIVE: Duration = Duration::from_secs(2);
/// The longest answer that is read, in bytes.
const ANSWER_MOST: usize = 64 * 1024;

/// What was asked and answered since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls.
    pub asked: AtomicU64,
    /// Answered OK.
    pub ok: AtomicU64,
    /// Answered over the limit.
    pub over: AtomicU64,
    /// With no answer that can be used.
    pub failed: AtomicU64,
}

/// An outside service.
pub struct Outside {
    client: RateLimitServiceClient<Channel>,
    domain: String,
    keys: Keys,
    places: Arc<Semaphore>,
    most: usize,
    /// Since the start.
    pub counts: Counts,
}

/// The verdict where there is none.
#[must_use]
pub fn failed(id: u64) -> OutsideVerdict {
    OutsideVerdict { id, code: Word::Failed.into(), ..OutsideVerdict::default() }
}

impl Outside {
    /// Prepares calls; nothing is connected before the first.
    ///
    /// # Errors
    /// When the endpoint or the CA can't be used.
    pub fn new(config: &config::Outside) -> Result<Arc<Outside>, String> {
        let mut endpoint = Endpoint::from_shared(config.endpoint.clone())
            .map_err(|e| format!("outside.endpoint: {e}"))?
            .connect_timeout(CONNECT)
            .http2_keep_alive_interval(ALIVE)
            .keep_alive_timeout(ALIVE)
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
                .max_decoding_message_size(ANSWER_MOST),
            domain: config.domain.clone(),
            keys: config.keys.clone(),
            places: Arc::new(Semaphore::new(config.in_hand)),
            most: config.in_hand,
            counts: Counts::default(),
        }))
    }

    /// Calls in hand.
    #[must_use]
    pub fn in_hand(&self) -> u64 {
        (self.most - self.places.available_permits()) as u64
    }

    /// Asks for a gatekeeper, and gives it the verdict.
    pub fn ask(self: Arc<Self>, ask: OutsideAsk, link: Link, tier: &Tier) {
        self.counts.asked.fetch_add(1, Ordering::Relaxed);
        let named = tier.plans.iter().find(|(_, plan)| plan.number == ask.plan).map(|(name, _)| name.clone());
        let (Ok(place), Some(plan)) = (self.places.clone().try_acquire_owned(), named) else {
            self.counts.failed.fetch_add(1, Ordering::Relaxed);
            return link.send_verdict(failed(ask.id));
        };
        let names = self.keys.entry_keys(&[]);
        let entry = |key: String, value: String| Entry { key, value };
        let mut entries = vec![entry(names.shop, ask.shop), entry(names.plan, plan)];
        if let Some(class) = tier.classes.get(ask.class as usize) {
            entries.push(entry(names.class, class.clone()));
        }
        let hits_addend = u32::try_from(ask.units_milli.div_ceil(1000)).unwrap_or(u32::MAX);
        let descriptors = vec![RateLimitDescriptor { entries, hits_addend: None }];
        let call = RateLimitRequest { domain: self.domain.clone(), descriptors, hits_addend };
        let within = Duration::from_millis(u64::from(ask.within_ms));
        tokio::spawn(async move {
            let mut request = tonic::Request::new(call);
            request.set_timeout(within);
            let mut client = self.client.clone();
            let answer = tokio::time::timeout(within, client.should_rate_limit(request)).await;
            let verdict = answer.ok().and_then(Result::ok).and_then(|a| said(ask.id, &a.into_inner()));
            let count = match verdict.as_ref().map(OutsideVerdict::code) {
                Some(Word::Ok) => &self.counts.ok,
                Some(Word::Over) => &self.counts.over,
                _ => &self.counts.failed,
            };
            count.fetch_add(1, Ordering::Relaxed);
            link.send_verdict(verdict.unwrap_or_else(|| failed(ask.id)));
            drop(place);
        });
    }
}

/// What an answer says, if it says anything.
fn said(id: u64, answer: &RateLimitResponse) -> Option<OutsideVerdict> {
    let status = answer.statuses.first();
    match answer.overall_code() {
        Code::Ok => {
            let own = status.and_then(|s| s.quota_specifier.as_ref()).map(|QuotaSpecifier::Quota(q)| q);
            let (units, ms) = own.or(answer.quota.as_ref()).map_or((0, 0), ahead);
            let (quota_milli, quota_ms) = if ms > 0 { (units, ms) } else { (0, 0) };
            Some(OutsideVerdict { id, code: Word::Ok.into(), quota_milli, quota_ms, reset_ms: 0 })
        }
        Code::OverLimit => {
            let reset = status.and_then(|s| s.duration_until_reset);
            let reset_ms = reset.map_or(0, |d| {
                let ms = d.seconds.saturating_mul(1000).saturating_add(i64::from(d.nanos) / 1_000_000);
                u64::try_from(ms).unwrap_or(0)
            });
            Some(OutsideVerdict { id, code: Word::Over.into(), reset_ms, ..OutsideVerdict::default() })
        }
        Code::Unknown => None,
    }
}

/// Requests granted ahead, in thousandths, and for how many ms from now.
fn ahead(quota: &Quota) -> (u64, u64) {
    let Some(ExpirationSpecifier::ValidUntil(until)) = &quota.expiration_specifier else { return (0, 0) };
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let now = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
    let until = until.seconds.saturating_mul(1000).saturating_add(i64::from(until.nanos) / 1_000_000);
    (u64::from(quota.requests) * 1000, u64::try_from(until.saturating_sub(now)).unwrap_or(0))
}
