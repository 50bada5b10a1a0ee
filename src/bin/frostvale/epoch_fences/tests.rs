use super::*;

fn fence(duty: &str, epoch: u64) -> Fence {
    Fence { duty: duty.into(), epoch, owner: "a#1".into() }
}

fn epochs(nonce: u64, epoch: u64) -> Epochs {
    Epochs { nonce, given: vec![fence(PLANS_DUTY, epoch)] }
}

#[test]
fn nobody_is_believed_before_the_nonce_of_this_life_is_answered() {
    let mut fences = EpochFences::new(1);
    let refused = fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 5))).expect_err("not yet");
    assert_eq!((refused.epoch, refused.stands, refused.count), (5, 0, 1));
    assert!(!fences.record_epochs(&epochs(fences.nonce() ^ 1, 4)), "another life's nonce");
    assert!(!fences.record_epochs(&epochs(0, 4)));
    assert!(fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 5))).is_err());
    // An old owner was the first to reach it; the council knows better.
    let nonce = fences.nonce();
    assert!(fences.record_epochs(&epochs(nonce, 6)));
    let refused = fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 5))).expect_err("overtaken");
    assert_eq!(refused.stands, 6);
    assert!(fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 6))).is_ok());
    assert!(fences.admit(PLANS_DUTY, None).is_err(), "nor one of no council any more");
}

#[test]
fn what_cannot_be_a_fence_changes_nothing() {
    let mut fences = EpochFences::new(2);
    assert!(fences.admit(PLANS_DUTY, None).is_ok(), "no council is known of");
    let nonce = fences.nonce();
    for bad in [fence("", 1), fence("a b", 1), Fence { owner: "x".repeat(200), ..fence("a", 1) }] {
        assert!(!fences.record_epochs(&Epochs { nonce, given: vec![bad] }));
    }
    let many = (0..DUTIES + 1).map(|k| fence(&format!("d{k}"), 1)).collect();
    assert!(!fences.record_epochs(&Epochs { nonce, given: many }));
    assert!(fences.record_epochs(&epochs(nonce, 3)));
    assert!(fences.admit(PLANS_DUTY, Some(&fence("other", 9))).is_err(), "another duty's decision");
    assert!(fences.admit(PLANS_DUTY, Some(&fence(PLANS_DUTY, 3))).is_ok());
}
