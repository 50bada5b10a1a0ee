//! Combines the decisions on a call's descriptors into one response.

use crate::read::CheckRequest;
use crate::{FailureMode, Plan};
use frostvale_proto::envoy::config::core::v3::HeaderValue;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitResponse;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::rate_limit::Unit;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::{
    Code, DescriptorStatus, RateLimit,
};

/// The decision on one descriptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The descriptor matches no plan and has no limit.
    Unmatched,
    /// Not checked, because another descriptor of the call is over its limit.
    NotAsked,
    /// A gatekeeper granted the units.
    Granted {
        /// Units that the shop has left, in thousandths; `None` if no limit applies.
        remaining_milli: Option<u64>,
        /// Time until the token bucket is full, in ms.
        reset_ms: u64,
    },
    /// A gatekeeper refused the units.
    OverLimit {
        /// Units that the shop has left, in thousandths; `None` if unknown.
        remaining_milli: Option<u64>,
        /// Time until the requested units are available, in ms.
        reset_ms: u64,
    },
    /// No gatekeeper decided; the failure mode determines the answer.
    Undecided(FailureMode),
}

impl CheckResult {
    /// Whether this decision makes the whole call over limit.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        matches!(self, CheckResult::OverLimit { .. } | CheckResult::Undecided(FailureMode::Deny))
    }
}

/// Retry delay sent with a denied check that no gatekeeper decided.
const UNDECIDED_RETRY_MS: u64 = 1000;

/// Converts a rate to whole requests per second where it is a whole number, else per minute, rounded up.
/// Returns `None` for a rate of 0.
fn current_rate_limit(name: &str, rate_milli: u64) -> Option<RateLimit> {
    if rate_milli == 0 {
        return None;
    }
    let (requests, unit) = if rate_milli.is_multiple_of(1000) {
        (rate_milli / 1000, Unit::Second)
    } else {
        ((rate_milli * 60).div_ceil(1000), Unit::Minute)
    };
    Some(RateLimit {
        requests_per_unit: u32::try_from(requests).unwrap_or(u32::MAX),
        unit: unit.into(),
        name: name.to_string(),
    })
}

/// Builds the response to a call from its descriptors' decisions, in the order of the descriptors.
///
/// The call is over limit if any descriptor is. The `x-ratelimit-...` headers describe the descriptor with
/// the fewest units left.
pub fn build_response<'a>(
    results: impl IntoIterator<Item = (CheckResult, Option<(&'a CheckRequest, &'a Plan)>)>,
) -> RateLimitResponse {
    let mut statuses = Vec::new();
    let (mut is_over_limit, mut undecided_mode, mut retry_after_ms) = (false, None, 0);
    // Remaining units, limit and reset time in ms of the descriptor with the fewest units left.
    let mut tightest: Option<(u64, u64, u64)> = None;
    for (result, of) in results {
        let current_limit = of.and_then(|(check, plan)| current_rate_limit(&check.plan, plan.rate_milli));
        let (code, remaining, reset) = match result {
            CheckResult::Unmatched | CheckResult::NotAsked => (Code::Ok, None, None),
            CheckResult::Granted { remaining_milli, reset_ms } => (Code::Ok, remaining_milli, Some(reset_ms)),
            CheckResult::OverLimit { remaining_milli, reset_ms } => {
                (Code::OverLimit, remaining_milli, Some(reset_ms))
            }
            CheckResult::Undecided(mode) => {
                undecided_mode =
                    Some(undecided_mode.map_or(mode, |m| if m == FailureMode::Deny { m } else { mode }));
                match mode {
                    FailureMode::Allow => (Code::Ok, None, None),
                    FailureMode::Deny => (Code::OverLimit, Some(0), Some(UNDECIDED_RETRY_MS)),
                }
            }
        };
        if result.is_over_limit() {
            is_over_limit = true;
            retry_after_ms = retry_after_ms.max(reset.unwrap_or(0));
        }
        if let (Some((_, plan)), Some(left), Some(reset)) = (of, remaining, reset) {
            let max_units = plan.burst_milli.max(plan.rate_milli) / 1000;
            let candidate = (left / 1000, max_units, reset);
            if tightest.is_none_or(|known| candidate.0 < known.0) {
                tightest = Some(candidate);
            }
        }
        statuses.push(DescriptorStatus {
            code: code.into(),
            current_limit,
            limit_remaining: remaining.map_or(u32::MAX, |m| u32::try_from(m / 1000).unwrap_or(u32::MAX)),
            duration_until_reset: reset.map(|ms| prost_types::Duration {
                seconds: i64::try_from(ms / 1000).unwrap_or(i64::MAX),
                nanos: (ms % 1000) as i32 * 1_000_000,
            }),
            quota_specifier: None,
        });
    }
    let mut headers = Vec::new();
    let mut header = |key: &str, value: String| {
        headers.push(HeaderValue { key: key.into(), value, raw_value: Vec::new() });
    };
    if let Some((left, max_units, reset)) = tightest {
        header("x-ratelimit-limit", max_units.to_string());
        header("x-ratelimit-remaining", left.to_string());
        header("x-ratelimit-reset", reset.div_ceil(1000).to_string());
    }
    if is_over_limit {
        header("retry-after", retry_after_ms.div_ceil(1000).max(1).to_string());
    }
    if let Some(mode) = undecided_mode {
        header("x-frostvale-undecided", if mode == FailureMode::Deny { "deny" } else { "allow" }.into());
    }
    let overall = if is_over_limit { Code::OverLimit } else { Code::Ok };
    RateLimitResponse {
        overall_code: overall.into(),
        statuses,
        response_headers_to_add: headers,
        ..RateLimitResponse::default()
    }
}
