//! Parses and validates rate limit calls. An invalid call is rejected as a whole, with an error that names
//! the invalid field.

use crate::Tier;
use frostvale_proto::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitRequest;
use std::fmt;

/// Maximum number of descriptors in one call.
pub const MAX_DESCRIPTORS: usize = 16;
/// Maximum number of entries in one descriptor.
pub const MAX_ENTRIES: usize = 32;
/// Maximum length of an entry's key or value, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;
/// Exclusive upper bound of shop numbers (PROTOCOL: a number below 2^33 in 16 hex digits).
const SHOP_NUMBER_LIMIT: u64 = 1 << 33;

/// Configured keys of descriptor entries, and the domains that have limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryKeys {
    /// Domains with limits; calls of any other domain are answered OK.
    pub domains: Vec<String>,
    /// Key of the entry with the shop's id.
    pub shop: String,
    /// Key of the entry with the plan's name.
    pub plan: String,
    /// Key of the entry with the class's name.
    pub class: String,
    /// Key of the entry with the first gatekeeper of the shop's set.
    pub first: String,
    /// Key of the entry with the number of gatekeepers in the set.
    pub spread: String,
}

impl Default for EntryKeys {
    fn default() -> Self {
        let text = str::to_string;
        EntryKeys {
            domains: vec![text("frostvale")],
            shop: text("shop"),
            plan: text("plan"),
            class: text("class"),
            first: text("first"),
            spread: text("spread"),
        }
    }
}

/// A check parsed from one descriptor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckRequest {
    /// The shop's id: 16 hex digits, lower case.
    pub shop: String,
    /// The plan's name.
    pub plan: String,
    /// The class's name, if the descriptor names one.
    pub class: Option<String>,
    /// Requested units, in thousandths.
    pub units_milli: u64,
    /// The shop's set (`first`, `spread`), if the descriptor names it.
    pub set: Option<(u32, u32)>,
}

/// Error for an invalid call. The text names the invalid field and the accepted values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRequest(pub String);

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidRequest {}

/// Parses a call into one check for each descriptor, in order; `None` for a descriptor that matches no plan
/// and for every descriptor of a domain without limits.
///
/// # Errors
/// Returns the invalid field and its accepted values. No descriptor of the call may be checked in that case.
pub fn parse_request(
    call: &RateLimitRequest,
    names: &EntryKeys,
    tier: &Tier,
) -> Result<Vec<Option<CheckRequest>>, InvalidRequest> {
    let invalid = |text: String| Err(InvalidRequest(text));
    if call.domain.is_empty() {
        return invalid("domain: empty; it names whose limits are asked for".into());
    }
    if call.descriptors.is_empty() || call.descriptors.len() > MAX_DESCRIPTORS {
        return invalid(format!("descriptors: {} of them; 1 to {MAX_DESCRIPTORS}", call.descriptors.len()));
    }
    let has_limits = names.domains.contains(&call.domain);
    let mut checks = Vec::with_capacity(call.descriptors.len());
    for (k, descriptor) in call.descriptors.iter().enumerate() {
        let check = parse_descriptor(descriptor, call.hits_addend, names, tier)
            .map_err(|error| InvalidRequest(format!("descriptors[{k}].{error}")))?;
        checks.push(check.filter(|_| has_limits));
    }
    Ok(checks)
}

fn parse_descriptor(
    descriptor: &RateLimitDescriptor,
    call_addend: u32,
    names: &EntryKeys,
    tier: &Tier,
) -> Result<Option<CheckRequest>, String> {
    let entries = &descriptor.entries;
    if entries.is_empty() || entries.len() > MAX_ENTRIES {
        return Err(format!("entries: {} of them; 1 to {MAX_ENTRIES}", entries.len()));
    }
    let (mut shop, mut plan, mut class, mut first, mut spread) = (None, None, None, None, None);
    for (k, entry) in entries.iter().enumerate() {
        if entry.key.is_empty() || entry.key.len() > MAX_TEXT_BYTES {
            return Err(format!("entries[{k}].key: {} bytes; 1 to {MAX_TEXT_BYTES}", entry.key.len()));
        }
        if entry.value.len() > MAX_TEXT_BYTES {
            return Err(format!("entries[{k}].value: {} bytes; at most {MAX_TEXT_BYTES}", entry.value.len()));
        }
        let slot = match &entry.key {
            key if *key == names.shop => &mut shop,
            key if *key == names.plan => &mut plan,
            key if *key == names.class => &mut class,
            key if *key == names.first => &mut first,
            key if *key == names.spread => &mut spread,
            // Descriptors may carry other entries, which do not concern the limits.
            _ => continue,
        };
        if slot.replace((k, entry.value.as_str())).is_some() {
            return Err(format!("entries[{k}].key: {:?} stands twice", entry.key));
        }
    }
    let Some((plan_index, plan)) = plan else { return Ok(None) };
    if plan.is_empty() {
        return Err(format!("entries[{plan_index}].value: empty; a plan's name"));
    }
    if !tier.plans.contains_key(plan) && !tier.plans.is_empty() {
        return Ok(None);
    }
    let Some((at, text)) = shop else { return Err(format!("entries: a plan and no {:?}", names.shop)) };
    let is_valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_valid || u64::from_str_radix(text, 16).is_ok_and(|n| n >= SHOP_NUMBER_LIMIT) {
        return Err(format!("entries[{at}].value: no shop; 16 hex digits, a number below 2^33"));
    }
    if let Some((at, name)) = class
        && !tier.classes.is_empty()
        && !tier.classes.iter().any(|c| c == name)
    {
        let all = tier.classes.join(", ");
        return Err(format!("entries[{at}].value: no class of that name; {all}"));
    }
    let max_gatekeepers = if tier.gatekeepers > 0 { tier.gatekeepers } else { u32::MAX };
    let number = |(index, text): (usize, &str), low: u32, high: u32| {
        let value =
            text.parse::<u32>().ok().filter(|n| text.as_bytes()[0] != b'+' && (low..=high).contains(n));
        value.ok_or_else(|| format!("entries[{index}].value: no number from {low} to {high}"))
    };
    let set = match (first, spread) {
        (None, None) => None,
        (Some(first), Some(spread)) => {
            Some((number(first, 0, max_gatekeepers - 1)?, number(spread, 1, max_gatekeepers)?))
        }
        (Some((at, _)), None) | (None, Some((at, _))) => {
            let (first_key, spread_key) = (&names.first, &names.spread);
            return Err(format!("entries[{at}].key: {first_key:?} and {spread_key:?} go together"));
        }
    };
    let hits = descriptor.hits_addend.unwrap_or(u64::from(call_addend)).max(1);
    let max_units = if tier.largest_milli > 0 { tier.largest_milli / 1000 } else { 1_000_000 }.max(1);
    if hits > max_units {
        return Err(format!("hits_addend: {hits}; 0 to {max_units} (0 counts as 1)"));
    }
    Ok(Some(CheckRequest {
        shop: text.to_ascii_lowercase(),
        plan: plan.to_string(),
        class: class.map(|(_, name)| name.to_string()),
        units_milli: hits * 1000,
        set,
    }))
}
