use super::*;
use frostvale_link::proto::ShutOne;

fn new_versions() -> AppliedVersions {
    AppliedVersions::new(ConfigDigests { platform: digest(b"p"), own: digest(b"o") })
}

#[test]
fn older_fence_off_decision_changes_nothing() {
    let mut versions = new_versions();
    let out = |name: &str, me| ShutOne { instance: name.into(), me };
    let decision =
        |version, out: Vec<ShutOne>| Shut { version, hold_ms: 1000, retry_ms: 5, out, ..Shut::default() };
    let applied =
        versions.apply_fenced_off("n1", 1, &decision(8, vec![out("n1", 1), out("n2", 2)])).expect("taken");
    assert_eq!(
        (applied.includes_self, applied.others, applied.retry_after_ms, applied.hold_ms),
        (true, vec![2], 5.0, 1000.0)
    );
    assert!(
        versions
            .apply_fenced_off("n1", 1, &decision(7, vec![]))
            .is_err_and(|e| e.contains("version 7 is older than version 8 in effect"))
    );
    assert!(versions.is_fenced_off);
    assert!(!versions.apply_fenced_off("n1", 1, &decision(9, vec![])).expect("taken").includes_self);
}

#[test]
fn digests_follow_the_plans_in_effect() {
    let versions = new_versions();
    let plan = |rate_milli| Plan { name: "basico".into(), rate_milli, ..Plan::default() };
    let of = |plans: &[Plan], revision| {
        versions.versions((revision, plans), (0, ""), [("publish", 4)].into_iter())
    };
    let (old, new) = (of(&[plan(1)], 41), of(&[plan(2)], 42));
    assert_eq!(new["epoch.publish"].revision, 4);
    assert_ne!(old[KIND_PLANS].digest, new[KIND_PLANS].digest);
    // A gatekeeper that reports the new revision but applies the old plans.
    assert_eq!(of(&[plan(1)], 42)[KIND_PLANS].digest, old[KIND_PLANS].digest);
    assert_eq!(new[KIND_BUILD].digest.len(), 64);
}
