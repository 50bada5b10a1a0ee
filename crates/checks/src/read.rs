//! What a call asks for. A call that can't be read is turned away whole, with the entry that is wrong named.

use crate::Tier;
use frostvale_proto::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitRequest;
use std::fmt;

/// Descriptors in one call, at the most.
pub const MAX_DESCRIPTORS: usize = 16;
/// Entries in one descriptor, at the most.
pub const MAX_ENTRIES: usize = 32;
/// Bytes of a key or a value, at the most.
pub const MAX_TEXT_BYTES: usize = 256;
/// Customers are numbers below this (PROTOCOL: a number below 2^33 in 16 hex digits).
const SHOPS: u64 = 1 << 33;

/// The names that entries go by, and the domains that are answered for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryKeys {
    /// The domains with limits; any other is answered OK.
    pub domains: Vec<String>,
    /// The entry that names the shop.
    pub shop: String,
    /// The entry that names the plan.
    pub plan: String,
    /// The entry that names the class.
    pub class: String,
    /// The entry with the first gatekeeper of the shop's set.
    pub first: String,
    /// The entry with the number of gatekeepers in it.
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

/// What one descriptor asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckRequest {
    /// 16 hex digits, lower case.
    pub shop: String,
    /// The plan's name.
    pub plan: String,
    /// The class's number.
    pub class: u32,
    /// In thousandths.
    pub units_milli: u64,
    /// The set, where the descriptor names it: first and spread.
    pub set: Option<(u32, u32)>,
}

/// Why a call can't be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRequest(pub String);

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidRequest {}

/// Reads a call: for each descriptor what it asks for, or none where it matches no plan.
///
/// # Errors
/// With the field that is wrong and what it may be. Nothing of the call is to be asked for then.
pub fn parse_request(
    call: &RateLimitRequest,
    names: &EntryKeys,
    tier: &Tier,
) -> Result<Vec<Option<CheckRequest>>, InvalidRequest> {
    let bad = |text: String| Err(InvalidRequest(text));
    if call.domain.is_empty() {
        return bad("domain: empty; it names whose limits are asked for".into());
    }
    if call.descriptors.is_empty() || call.descriptors.len() > MAX_DESCRIPTORS {
        return bad(format!("descriptors: {} of them; 1 to {MAX_DESCRIPTORS}", call.descriptors.len()));
    }
    let known = names.domains.contains(&call.domain);
    let mut asks = Vec::with_capacity(call.descriptors.len());
    for (k, descriptor) in call.descriptors.iter().enumerate() {
        let ask = one(descriptor, call.hits_addend, names, tier)
            .map_err(|what| InvalidRequest(format!("descriptors[{k}].{what}")))?;
        asks.push(ask.filter(|_| known));
    }
    Ok(asks)
}

fn one(
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
        let place = match &entry.key {
            key if *key == names.shop => &mut shop,
            key if *key == names.plan => &mut plan,
            key if *key == names.class => &mut class,
            key if *key == names.first => &mut first,
            key if *key == names.spread => &mut spread,
            // Callers describe their requests in other ways too; these are not ours to judge.
            _ => continue,
        };
        if place.replace((k, entry.value.as_str())).is_some() {
            return Err(format!("entries[{k}].key: {:?} stands twice", entry.key));
        }
    }
    let Some((at_plan, plan)) = plan else { return Ok(None) };
    if plan.is_empty() {
        return Err(format!("entries[{at_plan}].value: empty; a plan's name"));
    }
    if !tier.plans.contains_key(plan) && !tier.plans.is_empty() {
        return Ok(None);
    }
    let Some((at, text)) = shop else { return Err(format!("entries: a plan and no {:?}", names.shop)) };
    let sound = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !sound || u64::from_str_radix(text, 16).is_ok_and(|n| n >= SHOPS) {
        return Err(format!("entries[{at}].value: no shop; 16 hex digits, a number below 2^33"));
    }
    let class = match class {
        None => 0,
        Some((at, name)) => match tier.classes.iter().position(|c| c == name) {
            Some(number) => u32::try_from(number).unwrap_or(0),
            None if tier.classes.is_empty() => 0,
            None => {
                let all = tier.classes.join(", ");
                return Err(format!("entries[{at}].value: no class of that name; {all}"));
            }
        },
    };
    let most = if tier.gatekeepers > 0 { tier.gatekeepers } else { u32::MAX };
    let number = |(at, text): (usize, &str), low: u32, high: u32| {
        let value =
            text.parse::<u32>().ok().filter(|n| text.as_bytes()[0] != b'+' && (low..=high).contains(n));
        value.ok_or_else(|| format!("entries[{at}].value: no number from {low} to {high}"))
    };
    let set = match (first, spread) {
        (None, None) => None,
        (Some(first), Some(spread)) => Some((number(first, 0, most - 1)?, number(spread, 1, most)?)),
        (Some((at, _)), None) | (None, Some((at, _))) => {
            let (one, other) = (&names.first, &names.spread);
            return Err(format!("entries[{at}].key: {one:?} and {other:?} go together"));
        }
    };
    let hits = descriptor.hits_addend.unwrap_or(u64::from(call_addend)).max(1);
    let largest = if tier.largest_milli > 0 { tier.largest_milli / 1000 } else { 1_000_000 }.max(1);
    if hits > largest {
        return Err(format!("hits_addend: {hits}; 0 to {largest} (0 counts as 1)"));
    }
    Ok(Some(CheckRequest {
        shop: text.to_ascii_lowercase(),
        plan: plan.to_string(),
        class,
        units_milli: hits * 1000,
        set,
    }))
}
