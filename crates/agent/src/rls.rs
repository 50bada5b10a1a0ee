//! The rate limit service: Envoy's `envoy.service.ratelimit.v3.RateLimitService`, as its public API defines it.

use crate::config::Rls;
use crate::fleet::{CheckOutcome, Fleet, HeldGrant};
use frostvale_checks::answer::{CheckResult, build_response};
use frostvale_checks::read::{CheckRequest, EntryKeys, parse_request};
use frostvale_checks::{FailureMode, Plan};
use frostvale_proto::agent::Calls;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_server::RateLimitService;
use frostvale_proto::envoy::service::ratelimit::v3::{RateLimitRequest, RateLimitResponse};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tonic::metadata::MetadataMap;
use tonic::{Request, Response, Status};
use tracing::Instrument;

/// The part of a caller's time that is left for the answer's way back.
const MARGIN: Duration = Duration::from_millis(5);

/// What has happened since the start.
#[derive(Default)]
pub struct Counts {
    calls: AtomicU64,
    invalid: AtomicU64,
    unmatched: AtomicU64,
    granted: AtomicU64,
    over: AtomicU64,
    allowed: AtomicU64,
    denied: AtomicU64,
    given_back: AtomicU64,
    in_doubt: AtomicU64,
}

fn up(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

impl Counts {
    /// As operators see them.
    #[must_use]
    pub fn status(&self) -> Calls {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Calls {
            calls: get(&self.calls),
            invalid: get(&self.invalid),
            unmatched: get(&self.unmatched),
            granted: get(&self.granted),
            over: get(&self.over),
            undecided_allowed: get(&self.allowed),
            undecided_denied: get(&self.denied),
            given_back: get(&self.given_back),
            in_doubt: get(&self.in_doubt),
        }
    }
}

/// The service.
#[derive(Clone)]
pub struct Service {
    fleet: Arc<Fleet>,
    rls: Arc<Rls>,
    names: Arc<EntryKeys>,
    counts: Arc<Counts>,
}

impl Service {
    /// Over these gatekeepers.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, rls: Rls) -> Service {
        let names = Arc::new(rls.keys.entry_keys(&rls.domains));
        Service { fleet, rls: Arc::new(rls), names, counts: Arc::default() }
    }

    /// What has happened since the start.
    #[must_use]
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// What came of one descriptor.
    async fn one(
        &self,
        ask: &CheckRequest,
        plan: &Plan,
        hold: bool,
        until: Instant,
    ) -> Result<(CheckResult, Option<HeldGrant>), String> {
        let mode = plan.failure_mode(self.rls.mode(&ask.plan));
        let undecided = || {
            up(if mode == FailureMode::Deny { &self.counts.denied } else { &self.counts.allowed });
            Ok((CheckResult::Undecided(mode), None))
        };
        match self.fleet.decide(ask, plan, hold, until).await {
            CheckOutcome::Granted { remaining_milli, reset_ms, held } => {
                up(&self.counts.granted);
                Ok((CheckResult::Granted { remaining_milli, reset_ms }, held))
            }
            CheckOutcome::OverLimit { remaining_milli, reset_ms } => {
                up(&self.counts.over);
                Ok((CheckResult::OverLimit { remaining_milli, reset_ms }, None))
            }
            CheckOutcome::Invalid(what) => Err(what),
            CheckOutcome::NoGatekeeper => undecided(),
            CheckOutcome::InDoubt => {
                up(&self.counts.in_doubt);
                undecided()
            }
        }
    }

    async fn call(&self, call: &RateLimitRequest, until: Instant) -> Result<RateLimitResponse, Status> {
        let tier = self.fleet.tier();
        let invalid = |what: String| {
            up(&self.counts.invalid);
            Status::invalid_argument(what)
        };
        let asks = parse_request(call, &self.names, &tier).map_err(|e| invalid(e.0))?;
        let unknown = Plan::default();
        let of = |ask: &CheckRequest| tier.plans.get(&ask.plan).unwrap_or(&unknown).clone();
        let plans: Vec<Option<Plan>> = asks.iter().map(|ask| ask.as_ref().map(of)).collect();
        let matched = asks.iter().flatten().count();
        // One alone needs no second word; of several each is held until all are known.
        let hold = matched > 1;
        let mut found = Vec::with_capacity(asks.len());
        let mut held = Vec::new();
        let mut wrong = None;
        // One after the other, and none after a refusal: what is not asked for need not be given back.
        let mut over = false;
        for (ask, plan) in asks.iter().zip(&plans) {
            let (Some(ask), Some(plan)) = (ask, plan) else {
                up(&self.counts.unmatched);
                found.push(CheckResult::Unmatched);
                continue;
            };
            if over {
                found.push(CheckResult::NotAsked);
                continue;
            }
            match self.one(ask, plan, hold, until).await {
                Ok((one, grant)) => {
                    over |= one.is_over_limit();
                    found.push(one);
                    held.extend(grant);
                }
                Err(what) => {
                    wrong = Some(what);
                    break;
                }
            }
        }
        let keep = !over && wrong.is_none();
        if !keep {
            self.counts.given_back.fetch_add(held.len() as u64, Ordering::Relaxed);
        }
        held.into_iter().for_each(|grant| grant.settle(keep));
        if let Some(what) = wrong {
            return Err(invalid(what));
        }
        let of = asks.iter().zip(&plans).map(|(ask, plan)| ask.as_ref().zip(plan.as_ref()));
        Ok(build_response(found.into_iter().zip(of)))
    }
}

#[tonic::async_trait]
impl RateLimitService for Service {
    async fn should_rate_limit(
        &self,
        request: Request<RateLimitRequest>,
    ) -> Result<Response<RateLimitResponse>, Status> {
        up(&self.counts.calls);
        let most = self.rls.decide_within();
        let within = grpc_timeout(request.metadata()).map_or(most, |t| t.saturating_sub(MARGIN).min(most));
        let call = request.get_ref();
        let span = tracing::debug_span!("call", domain = call.domain, descriptors = call.descriptors.len());
        let answered = self.call(call, Instant::now() + within).instrument(span).await;
        if let Err(status) = &answered {
            tracing::debug!(reason = status.message(), "a call is not answered");
        }
        answered.map(Response::new)
    }
}

/// A caller's own limit: up to 8 digits and a unit (the gRPC protocol over HTTP/2, "Timeout").
fn grpc_timeout(metadata: &MetadataMap) -> Option<Duration> {
    let text = metadata.get("grpc-timeout")?.to_str().ok()?;
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let n: u64 = digits.parse().ok()?;
    match unit {
        "H" => Some(Duration::from_secs(n * 3600)),
        "M" => Some(Duration::from_secs(n * 60)),
        "S" => Some(Duration::from_secs(n)),
        "m" => Some(Duration::from_millis(n)),
        "u" => Some(Duration::from_micros(n)),
        "n" => Some(Duration::from_nanos(n)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_callers_limit_is_read_as_the_protocol_writes_it() {
        let read = |text: &str| {
            let mut metadata = MetadataMap::new();
            metadata.insert("grpc-timeout", text.parse().expect("ascii"));
            grpc_timeout(&metadata)
        };
        assert_eq!(read("100m"), Some(Duration::from_millis(100)));
        assert_eq!(read("99999999H"), Some(Duration::from_secs(99_999_999 * 3600)));
        assert_eq!(read("5u"), Some(Duration::from_micros(5)));
        for bad in ["", "m", "-1m", "123456789m", "1x", "1.5S"] {
            assert_eq!(read(bad), None, "{bad:?}");
        }
    }
}
