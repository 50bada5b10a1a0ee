//! Tests of parsing calls and of building responses.

use frostvale_checks::answer::{CheckResult, build_response};
use frostvale_checks::read::{CheckRequest, EntryKeys, MAX_DESCRIPTORS, MAX_ENTRIES, parse_request};
use frostvale_checks::{FailureMode, Plan, Tier};
use frostvale_proto::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor;
use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::RateLimitRequest;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::{Code, rate_limit::Unit};
use proptest::prelude::*;

const SHOP: &str = "00000000b4d65521";

fn tier() -> Tier {
    let plan = |rate_milli, ceiling_rate_milli| Plan { rate_milli, burst_milli: 6000, ceiling_rate_milli };
    Tier {
        gatekeepers: 3,
        plans: [("basico".to_string(), plan(1400, 0)), ("ferreteria".to_string(), plan(10_000, 20_000))]
            .into(),
        classes: vec!["formula-read".into(), "mix-record".into()],
        largest_milli: 4000,
    }
}

fn descriptor(entries: &[(&str, &str)]) -> RateLimitDescriptor {
    let entries = entries.iter().map(|(k, v)| Entry { key: (*k).into(), value: (*v).into() }).collect();
    RateLimitDescriptor { entries, hits_addend: None }
}

fn call(descriptors: Vec<RateLimitDescriptor>) -> RateLimitRequest {
    RateLimitRequest { domain: "frostvale".into(), descriptors, hits_addend: 0 }
}

fn parse_one(entries: &[(&str, &str)]) -> Result<Vec<Option<CheckRequest>>, String> {
    parse_request(&call(vec![descriptor(entries)]), &EntryKeys::default(), &tier()).map_err(|e| e.0)
}

#[test]
fn parse_request_reads_shop_class_units_and_set() {
    let checks = parse_one(&[
        ("shop", SHOP),
        ("plan", "basico"),
        ("class", "mix-record"),
        ("first", "2"),
        ("spread", "2"),
    ]);
    let check = checks.expect("valid call")[0].clone().expect("the descriptor matches a plan");
    assert_eq!(
        (check.shop.as_str(), check.class.as_deref(), check.units_milli, check.set),
        (SHOP, Some("mix-record"), 1000, Some((2, 2)))
    );
    let mut own = call(vec![descriptor(&[("shop", SHOP), ("plan", "basico")]); 2]);
    own.hits_addend = 3;
    own.descriptors[1].hits_addend = Some(2);
    let checks = parse_request(&own, &EntryKeys::default(), &tier()).expect("valid call");
    let units: Vec<u64> = checks.into_iter().flatten().map(|check| check.units_milli).collect();
    assert_eq!(units, [3000, 2000], "a descriptor's own addend overrides the call's");
}

#[test]
fn parse_request_returns_none_when_no_plan_or_domain_matches() {
    for entries in
        [&[("shop", SHOP)][..], &[("remote_address", "10.0.0.1")], &[("shop", SHOP), ("plan", "gold")]]
    {
        assert_eq!(parse_one(entries), Ok(vec![None]), "{entries:?}");
    }
    let mut other_domain = call(vec![descriptor(&[("shop", SHOP), ("plan", "basico")])]);
    other_domain.domain = "another".into();
    assert_eq!(parse_request(&other_domain, &EntryKeys::default(), &tier()), Ok(vec![None]));
}

#[test]
fn parse_request_names_the_invalid_field_and_its_accepted_values() {
    let long = "x".repeat(257);
    let cases: &[(&[(&str, &str)], &str)] = &[
        (&[], "descriptors[0].entries: 0 of them; 1 to 32"),
        (&[("", "x")], "descriptors[0].entries[0].key: 0 bytes; 1 to 256"),
        (&[("other", &long)], "descriptors[0].entries[0].value: 257 bytes; at most 256"),
        (&[("plan", "basico")], "descriptors[0].entries: a plan and no \"shop\""),
        (&[("plan", ""), ("shop", SHOP)], "entries[0].value: empty"),
        (&[("plan", "basico"), ("shop", "b4d65521")], "entries[1].value: no shop"),
        (&[("plan", "basico"), ("shop", "00000002b4d65521")], "below 2^33"),
        (&[("plan", "basico"), ("plan", "basico"), ("shop", SHOP)], "entries[1].key: \"plan\" stands twice"),
        (&[("plan", "basico"), ("shop", SHOP), ("class", "x")], "entries[2].value: no class of that name"),
        (&[("plan", "basico"), ("shop", SHOP), ("first", "0")], "\"first\" and \"spread\" go together"),
        (&[("plan", "basico"), ("shop", SHOP), ("first", "3"), ("spread", "1")], "no number from 0 to 2"),
        (&[("plan", "basico"), ("shop", SHOP), ("first", "0"), ("spread", "0")], "no number from 1 to 3"),
        (&[("plan", "basico"), ("shop", SHOP), ("first", "+1"), ("spread", "1")], "no number from 0 to 2"),
        (&[("plan", "basico"), ("shop", SHOP), ("first", ""), ("spread", "1")], "no number from 0 to 2"),
    ];
    for (entries, expected) in cases {
        let error = parse_one(entries).expect_err("the call is invalid");
        assert!(error.contains(expected), "{entries:?}: {error}");
    }
    let error = |call: RateLimitRequest| {
        parse_request(&call, &EntryKeys::default(), &tier()).expect_err("the call is invalid").0
    };
    let valid = descriptor(&[("shop", SHOP), ("plan", "basico")]);
    assert!(
        error(RateLimitRequest { domain: String::new(), ..call(vec![valid.clone()]) }).contains("domain")
    );
    assert!(error(call(vec![])).contains("descriptors: 0 of them; 1 to 16"));
    assert!(error(call(vec![valid.clone(); MAX_DESCRIPTORS + 1])).contains("descriptors: 17"));
    let many = vec![("other", "x"); MAX_ENTRIES + 1];
    assert!(error(call(vec![descriptor(&many)])).contains("entries: 33"));
    let mut too_many_hits = call(vec![valid]);
    too_many_hits.hits_addend = 5;
    assert!(error(too_many_hits).contains("descriptors[0].hits_addend: 5; 0 to 4"));
}

#[test]
fn response_is_over_limit_when_any_descriptor_is_and_has_retry_after() {
    let (check, plan) = (
        CheckRequest { shop: SHOP.into(), plan: "basico".into(), class: None, units_milli: 1000, set: None },
        tier().plans["basico"].clone(),
    );
    let of = Some((&check, &plan));
    let granted = CheckResult::Granted { remaining_milli: Some(2500), reset_ms: 900 };
    let over = CheckResult::OverLimit { remaining_milli: Some(400), reset_ms: 1400 };
    let header = |a: &frostvale_proto::envoy::service::ratelimit::v3::RateLimitResponse, key: &str| {
        a.response_headers_to_add.iter().find(|h| h.key == key).map(|h| h.value.clone())
    };
    let good = build_response([(granted, of), (CheckResult::Unmatched, None)]);
    assert_eq!(good.overall_code(), Code::Ok);
    assert_eq!(good.statuses[0].limit_remaining, 2);
    let limit = good.statuses[0].current_limit.clone().expect("a limit");
    assert_eq!((limit.requests_per_unit, limit.unit()), (84, Unit::Minute), "1.4 per second");
    assert_eq!(header(&good, "retry-after"), None);
    let bad = build_response([(granted, of), (over, of)]);
    assert_eq!(bad.overall_code(), Code::OverLimit);
    assert_eq!(header(&bad, "retry-after").as_deref(), Some("2"));
    assert_eq!(header(&bad, "x-ratelimit-remaining").as_deref(), Some("0"));
    let reset = bad.statuses[1].duration_until_reset.expect("a time");
    assert_eq!((reset.seconds, reset.nanos), (1, 400_000_000));
    let denied = build_response([(CheckResult::Undecided(FailureMode::Deny), of)]);
    assert_eq!(denied.overall_code(), Code::OverLimit);
    assert_eq!(header(&denied, "x-frostvale-undecided").as_deref(), Some("deny"));
    assert!(header(&denied, "retry-after").is_some());
    assert_eq!(build_response([(CheckResult::Undecided(FailureMode::Allow), of)]).overall_code(), Code::Ok);
}

#[test]
fn failure_mode_is_deny_for_a_plan_with_a_ceiling() {
    assert_eq!(tier().plans["ferreteria"].failure_mode(FailureMode::Allow), FailureMode::Deny);
    assert_eq!(tier().plans["basico"].failure_mode(FailureMode::Allow), FailureMode::Allow);
}

proptest! {
    #[test]
    fn parse_request_returns_only_checks_in_range_for_any_call(
        domain in "[a-z]{0,10}",
        entries in prop::collection::vec(prop::collection::vec(
            (prop_oneof!["shop", "plan", "class", "first", "spread", "[a-z]{0,3}"],
             prop_oneof!["[0-9a-f]{16}", "basico", "ferreteria", "[0-9]{0,3}", ".{0,20}"]), 0..7), 0..5),
        addend in 0u32..8,
    ) {
        let descriptors = entries
            .iter()
            .map(|e| descriptor(&e.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect::<Vec<_>>()))
            .collect();
        let call = RateLimitRequest { domain, descriptors, hits_addend: addend };
        if let Ok(checks) = parse_request(&call, &EntryKeys::default(), &tier()) {
            prop_assert_eq!(checks.len(), call.descriptors.len());
            for check in checks.into_iter().flatten() {
                prop_assert!(tier().plans.contains_key(&check.plan));
                prop_assert!((1000..=4000).contains(&check.units_milli));
                prop_assert!(check.set.is_none_or(|(f, s)| f < 3 && (1..=3).contains(&s)));
                prop_assert!(u64::from_str_radix(&check.shop, 16).is_ok_and(|n| n < 1 << 33));
            }
        }
    }
}
