use super::*;

fn fence(duty: &str, epoch: u64) -> Fence {
    Fence { duty: duty.into(), epoch, owner: "a#1".into() }
}

fn epochs(nonce: u64, epoch: u64) -> Epochs {
    Epochs { nonce, given: vec![fence(PLANS_DUTY, epoch)] }
}

#[test]
fn decisions_are_refused_before_the_nonce_is_answered() {
    let mut fences = EpochFences::new(1);
    let refused =
        fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 5))).expect_err("the nonce is not answered");
    assert_eq!((refused.epoch, refused.stands, refused.count), (5, 0, 1));
    assert!(!fences.record_epochs(&epochs(fences.nonce() ^ 1, 4)), "the nonce of another process");
    assert!(!fences.record_epochs(&epochs(0, 4)));
    assert!(fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 5))).is_err());
    // A former owner connected first; the council's epoch is higher than its own.
    let nonce = fences.nonce();
    assert!(fences.record_epochs(&epochs(nonce, 6)));
    let refused = fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 5))).expect_err("stale epoch");
    assert_eq!(refused.stands, 6);
    assert!(fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 6))).is_ok());
    assert!(fences.admit(PLANS_DUTY, None).is_err(), "a decision without a fence is refused from now on");
}

#[test]
fn invalid_fences_change_nothing() {
    let mut fences = EpochFences::new(2);
    assert!(fences.admit(PLANS_DUTY, None).is_ok(), "no epoch has been received");
    let nonce = fences.nonce();
    for bad in [fence("", 1), fence("a b", 1), Fence { owner: "x".repeat(200), ..fence("a", 1) }] {
        assert!(!fences.record_epochs(&Epochs { nonce, given: vec![bad] }));
    }
    let many = (0..MAX_DUTIES + 1).map(|k| fence(&format!("d{k}"), 1)).collect();
    assert!(!fences.record_epochs(&Epochs { nonce, given: many }));
    assert!(fences.record_epochs(&epochs(nonce, 3)));
    assert!(fences.admit(PLANS_DUTY, Some(&fence("other", 9))).is_err(), "another duty's decision");
    assert!(fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 3))).is_ok());
}
