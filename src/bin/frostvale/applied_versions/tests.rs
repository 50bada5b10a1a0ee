use super::*;
use frostvale_link::proto::ShutOne;

fn audit() -> AppliedVersions {
    AppliedVersions::new(ConfigDigests { platform: digest(b"p"), own: digest(b"o") })
}

#[test]
fn an_older_decision_on_who_is_shut_out_changes_nothing() {
    let mut audit = audit();
    let out = |name: &str, me| ShutOne { instance: name.into(), me };
    let word =
        |version, out: Vec<ShutOne>| Shut { version, hold_ms: 1000, retry_ms: 5, out, ..Shut::default() };
    let said = audit.apply_fenced_off("n1", 1, &word(8, vec![out("n1", 1), out("n2", 2)])).expect("taken");
    assert_eq!(
        (said.includes_self, said.others, said.retry_after_ms, said.hold_ms),
        (true, vec![2], 5.0, 1000.0)
    );
    assert!(audit.apply_fenced_off("n1", 1, &word(7, vec![])).is_err_and(|e| e.contains("7 came after 8")));
    assert!(audit.shut);
    assert!(!audit.apply_fenced_off("n1", 1, &word(9, vec![])).expect("taken").includes_self);
}

#[test]
fn what_is_told_goes_by_what_is_in_effect() {
    let audit = audit();
    let plan = |rate_milli| Plan { name: "basico".into(), rate_milli, ..Plan::default() };
    let of =
        |plans: &[Plan], revision| audit.versions((revision, plans), (0, ""), [("publish", 4)].into_iter());
    let (old, new) = (of(&[plan(1)], 41), of(&[plan(2)], 42));
    assert_eq!(new["epoch.publish"].revision, 4);
    assert_ne!(old[KIND_PLANS].digest, new[KIND_PLANS].digest);
    // It says the new revision and acts on the old.
    assert_eq!(of(&[plan(1)], 42)[KIND_PLANS].digest, old[KIND_PLANS].digest);
    assert_eq!(new[KIND_BUILD].digest.len(), 64);
}
