use super::*;

fn welcome(plans: &[&str]) -> Welcome {
    let plan = |name: &&str| WirePlan { name: (*name).into(), ..WirePlan::default() };
    Welcome { plans: plans.iter().map(plan).collect(), ..Welcome::default() }
}

#[test]
fn plan_key_finds_its_plan_in_any_order_and_former_rows_hold_an_index() {
    let (before, after) = (welcome(&["wide", "ten"]), welcome(&["ten", "new", "wide"]));
    let key = plan_key_at(&before, 0).expect("a plan");
    assert!(key >= MIN_PLAN_KEY);
    assert_eq!(plan_index_of_key(&after, key), Some(2));
    assert_eq!(plan_index_of_key(&welcome(&["ten"]), key), None, "the plan is not there any more");
    assert_eq!(plan_index_of_key(&after, 1), Some(1), "an index from an earlier version");
    assert_eq!((plan_index_of_key(&after, 3), plan_index_of_key(&after, -1)), (None, None));
    assert_eq!(plan_key_at(&before, 2), None);
}

#[test]
fn merged_tier_has_the_plans_and_classes_of_all_and_prefers_the_latest() {
    let tier = |plan: &str, rate_milli, class: &str| Tier {
        plans: [
            (plan.to_string(), Plan { rate_milli, ..Plan::default() }),
            ("all".into(), Plan { rate_milli, ..Plan::default() }),
        ]
        .into(),
        classes: vec![class.into(), "common".into()],
        ..Tier::default()
    };
    let (first, latest) = (tier("a", 1, "x"), tier("b", 2, "y"));
    let merged = merge_tiers([&first, &latest].into_iter(), &latest);
    assert_eq!(merged.plans.keys().collect::<Vec<_>>(), ["a", "all", "b"]);
    assert_eq!(merged.plans["all"].rate_milli, 2);
    assert_eq!(merged.classes, ["y", "common", "x"]);
}
