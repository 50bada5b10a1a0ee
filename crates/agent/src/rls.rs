//! Implements Envoy's rate limit service, `envoy.service.ratelimit.v3.RateLimitService`, as its public API
//! defines it.

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

/// Time kept free within a client's deadline for the response to reach it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Counters of calls and descriptors since the start.
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

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

impl Counts {
    /// The counters for operators.
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

/// The rate limit service.
#[derive(Clone)]
pub struct Service {
    fleet: Arc<Fleet>,
    rls: Arc<Rls>,
    entry_keys: Arc<EntryKeys>,
    counts: Arc<Counts>,
}

impl Service {
    /// Creates the service for these gatekeepers.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, rls: Rls) -> Service {
        let entry_keys = Arc::new(rls.keys.entry_keys(&rls.domains));
        Service { fleet, rls: Arc::new(rls), entry_keys, counts: Arc::default() }
    }

    /// The counters since the start.
    #[must_use]
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// Checks one descriptor and counts the outcome. A grant is returned where `hold` is set.
    ///
    /// # Errors
    /// The gatekeeper's message if it rejects the check as malformed.
    async fn check_descriptor(
        &self,
        request: &CheckRequest,
        plan: &Plan,
        hold: bool,
        until: Instant,
    ) -> Result<(CheckResult, Option<HeldGrant>), String> {
        let mode = plan.failure_mode(self.rls.mode(&request.plan));
        let undecided = || {
            increment(if mode == FailureMode::Deny { &self.counts.denied } else { &self.counts.allowed });
            Ok((CheckResult::Undecided(mode), None))
        };
        match self.fleet.decide(request, plan, hold, until).await {
            CheckOutcome::Granted { remaining_milli, reset_ms, held } => {
                increment(&self.counts.granted);
                Ok((CheckResult::Granted { remaining_milli, reset_ms }, held))
            }
            CheckOutcome::OverLimit { remaining_milli, reset_ms } => {
                increment(&self.counts.over);
                Ok((CheckResult::OverLimit { remaining_milli, reset_ms }, None))
            }
            CheckOutcome::Invalid(what) => Err(what),
            CheckOutcome::NoGatekeeper => undecided(),
            CheckOutcome::InDoubt => {
                increment(&self.counts.in_doubt);
                undecided()
            }
        }
    }

    /// Checks all descriptors of a call before `until`. Either all granted units are used or none.
    async fn call(&self, call: &RateLimitRequest, until: Instant) -> Result<RateLimitResponse, Status> {
        let tier = self.fleet.tier();
        let invalid = |what: String| {
            increment(&self.counts.invalid);
            Status::invalid_argument(what)
        };
        let requests = parse_request(call, &self.entry_keys, &tier).map_err(|e| invalid(e.0))?;
        let unknown = Plan::default();
        let of = |request: &CheckRequest| tier.plans.get(&request.plan).unwrap_or(&unknown).clone();
        let plans: Vec<Option<Plan>> = requests.iter().map(|request| request.as_ref().map(of)).collect();
        let matched = requests.iter().flatten().count();
        // A single grant takes effect at once. Of several, each is held until all outcomes are known.
        let hold = matched > 1;
        let mut results = Vec::with_capacity(requests.len());
        let mut held = Vec::new();
        let mut error = None;
        // Checked one after the other and not beyond a refusal: units that were not requested need not be
        // returned.
        let mut is_over = false;
        for (request, plan) in requests.iter().zip(&plans) {
            let (Some(request), Some(plan)) = (request, plan) else {
                increment(&self.counts.unmatched);
                results.push(CheckResult::Unmatched);
                continue;
            };
            if is_over {
                results.push(CheckResult::NotAsked);
                continue;
            }
            match self.check_descriptor(request, plan, hold, until).await {
                Ok((result, grant)) => {
                    is_over |= result.is_over_limit();
                    results.push(result);
                    held.extend(grant);
                }
                Err(what) => {
                    error = Some(what);
                    break;
                }
            }
        }
        let keep = !is_over && error.is_none();
        if !keep {
            self.counts.given_back.fetch_add(held.len() as u64, Ordering::Relaxed);
        }
        held.into_iter().for_each(|grant| grant.settle(keep));
        if let Some(what) = error {
            return Err(invalid(what));
        }
        let of = requests.iter().zip(&plans).map(|(request, plan)| request.as_ref().zip(plan.as_ref()));
        Ok(build_response(results.into_iter().zip(of)))
    }
}

#[tonic::async_trait]
impl RateLimitService for Service {
    async fn should_rate_limit(
        &self,
        request: Request<RateLimitRequest>,
    ) -> Result<Response<RateLimitResponse>, Status> {
        increment(&self.counts.calls);
        let limit = self.rls.decide_within();
        let within =
            grpc_timeout(request.metadata()).map_or(limit, |t| t.saturating_sub(RESPONSE_MARGIN).min(limit));
        let call = request.get_ref();
        let span = tracing::debug_span!("call", domain = call.domain, descriptors = call.descriptors.len());
        let answered = self.call(call, Instant::now() + within).instrument(span).await;
        if let Err(status) = &answered {
            tracing::debug!(reason = status.message(), "rejected a call");
        }
        answered.map(Response::new)
    }
}

/// The client's deadline: up to 8 digits and a unit ("Timeout" in the gRPC protocol over HTTP/2).
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
    fn grpc_timeout_parses_digits_and_unit_and_rejects_other_values() {
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
