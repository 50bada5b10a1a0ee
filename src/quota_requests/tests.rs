use super::*;
use proptest::prelude::*;

#[test]
fn second_reply_to_resent_request_is_ignored_unless_it_ends_a_wait() {
    let mut quota_requests = QuotaRequests::new(0);
    let are_new = |quota_requests: &mut QuotaRequests, number, replies: &[QuotaReply]| -> Vec<bool> {
        replies.iter().map(|reply| quota_requests.is_new_reply(100.0, number, *reply)).collect()
    };
    let number = quota_requests.next_number();
    assert!(quota_requests.try_resend(80.0, number));
    assert_eq!(are_new(&mut quota_requests, number, &[QuotaReply::Grant, QuotaReply::Grant]), [true, false]);
    let number = quota_requests.next_number();
    assert!(quota_requests.try_resend(80.0, number));
    // The second `Wait` arrives after the grant that ends the wait.
    let replies = [QuotaReply::Wait, QuotaReply::Grant, QuotaReply::Wait, QuotaReply::Grant];
    assert_eq!(are_new(&mut quota_requests, number, &replies), [true, true, false, false]);
    // Replies to a request that was not resent are all handled.
    let number = quota_requests.next_number();
    assert_eq!(are_new(&mut quota_requests, number, &[QuotaReply::Deny, QuotaReply::Grant]), [true, true]);
}

proptest! {
    /// At any time the resends are at most the maximum budget plus the share that the sent requests have
    /// earned.
    #[test]
    fn resends_stay_within_the_budget(seed: u64, tries in prop::collection::vec(any::<bool>(), 1..300)) {
        let mut quota_requests = QuotaRequests::new(seed);
        let (mut sent, mut resent) = (0.0, 0.0);
        for (k, unanswered) in tries.into_iter().enumerate() {
            let number = quota_requests.next_number();
            quota_requests.record_sent();
            sent += 1.0;
            resent += f64::from(u8::from(unanswered && quota_requests.try_resend(k as f64 * 10.0, number)));
            prop_assert!(resent <= MAX_RESEND_BUDGET + RESENDS_PER_REQUEST * sent + 1e-6);
        }
    }
}
