//! One answer of all decisions.

use crate::read::CheckRequest;
use crate::{FailureMode, Plan};
use frostvale_proto::envoy::config::core::v3::HeaderValue;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitResponse;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::rate_limit::Unit;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::{
    Code, DescriptorStatus, RateLimit,
};

/// What came of one descriptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// It matches no plan.
    Unmatched,
    /// Another of its call is over, so it was not asked for.
    NotAsked,
    /// A gatekeeper granted the units.
    Granted {
        /// Left to the shop, in thousandths; none where nothing holds it.
        remaining_milli: Option<u64>,
        /// Until its store is full, in ms.
        reset_ms: u64,
    },
    /// A gatekeeper refused.
    OverLimit {
        /// Left to the shop, in thousandths.
        remaining_milli: Option<u64>,
        /// Until the units fit, in ms.
        reset_ms: u64,
    },
    /// Nobody decided: by the failure mode.
    Undecided(FailureMode),
}

impl CheckResult {
    /// Whether it stands in the way of the call.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        matches!(self, CheckResult::OverLimit { .. } | CheckResult::Undecided(FailureMode::Deny))
    }
}

/// When to come back where nobody decided.
const UNDECIDED_MS: u64 = 1000;

/// A rate as whole requests for the shortest unit in which it is one, else for a minute.
fn limit(name: &str, rate_milli: u64) -> Option<RateLimit> {
    if rate_milli == 0 {
        return None;
    }
    let (per, unit) = if rate_milli.is_multiple_of(1000) {
        (rate_milli / 1000, Unit::Second)
    } else {
        ((rate_milli * 60).div_ceil(1000), Unit::Minute)
    };
    Some(RateLimit {
        requests_per_unit: u32::try_from(per).unwrap_or(u32::MAX),
        unit: unit.into(),
        name: name.to_string(),
    })
}

/// Puts an answer together: over the limit if any descriptor is, with headers of the tightest one.
pub fn build_response<'a>(
    found: impl IntoIterator<Item = (CheckResult, Option<(&'a CheckRequest, &'a Plan)>)>,
) -> RateLimitResponse {
    let mut statuses = Vec::new();
    let (mut over, mut by_mode, mut back_ms) = (false, None, 0);
    // The descriptor with the least left: what its headers would say.
    let mut tightest: Option<(u64, u64, u64)> = None;
    for (found, of) in found {
        let current_limit = of.and_then(|(ask, plan)| limit(&ask.plan, plan.rate_milli));
        let (code, remaining, reset) = match found {
            CheckResult::Unmatched | CheckResult::NotAsked => (Code::Ok, None, None),
            CheckResult::Granted { remaining_milli, reset_ms } => (Code::Ok, remaining_milli, Some(reset_ms)),
            CheckResult::OverLimit { remaining_milli, reset_ms } => {
                (Code::OverLimit, remaining_milli, Some(reset_ms))
            }
            CheckResult::Undecided(mode) => {
                by_mode = Some(by_mode.map_or(mode, |m| if m == FailureMode::Deny { m } else { mode }));
                match mode {
                    FailureMode::Allow => (Code::Ok, None, None),
                    FailureMode::Deny => (Code::OverLimit, Some(0), Some(UNDECIDED_MS)),
                }
            }
        };
        if found.is_over_limit() {
            over = true;
            back_ms = back_ms.max(reset.unwrap_or(0));
        }
        if let (Some((_, plan)), Some(left), Some(reset)) = (of, remaining, reset) {
            let most = plan.burst_milli.max(plan.rate_milli) / 1000;
            let it = (left / 1000, most, reset);
            if tightest.is_none_or(|known| it.0 < known.0) {
                tightest = Some(it);
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
    if let Some((left, most, reset)) = tightest {
        header("x-ratelimit-limit", most.to_string());
        header("x-ratelimit-remaining", left.to_string());
        header("x-ratelimit-reset", reset.div_ceil(1000).to_string());
    }
    if over {
        header("retry-after", back_ms.div_ceil(1000).max(1).to_string());
    }
    if let Some(mode) = by_mode {
        header("x-frostvale-undecided", if mode == FailureMode::Deny { "deny" } else { "allow" }.into());
    }
    let overall = if over { Code::OverLimit } else { Code::Ok };
    RateLimitResponse {
        overall_code: overall.into(),
        statuses,
        response_headers_to_add: headers,
        ..RateLimitResponse::default()
    }
}
