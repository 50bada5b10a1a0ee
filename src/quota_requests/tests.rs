use super::*;
use proptest::prelude::*;

#[test]
fn of_two_answers_the_first_is_news_and_the_end_of_a_wait_is() {
    let mut q = QuotaRequests::new(0);
    let words = |q: &mut QuotaRequests, number, all: &[QuotaReply]| -> Vec<bool> {
        all.iter().map(|word| q.is_new_reply(100.0, number, *word)).collect()
    };
    let number = q.next_number();
    assert!(q.try_resend(80.0, number));
    assert_eq!(words(&mut q, number, &[QuotaReply::Grant, QuotaReply::Grant]), [true, false]);
    let number = q.next_number();
    assert!(q.try_resend(80.0, number));
    // The copy of "wait" comes after the grant that ends it.
    let all = [QuotaReply::Wait, QuotaReply::Grant, QuotaReply::Wait, QuotaReply::Grant];
    assert_eq!(words(&mut q, number, &all), [true, true, false, false]);
    // One put once is none of its business.
    let number = q.next_number();
    assert_eq!(words(&mut q, number, &[QuotaReply::Deny, QuotaReply::Grant]), [true, true]);
}

proptest! {
    /// In any stretch no more go again than a part of those put, and what was saved up.
    #[test]
    fn again_stays_within_its_part(seed: u64, tries in prop::collection::vec(any::<bool>(), 1..300)) {
        let mut q = QuotaRequests::new(seed);
        let (mut put, mut again) = (0.0, 0.0);
        for (k, silent) in tries.into_iter().enumerate() {
            let number = q.next_number();
            q.record_sent();
            put += 1.0;
            again += f64::from(u8::from(silent && q.try_resend(k as f64 * 10.0, number)));
            prop_assert!(again <= AGAIN_MOST + AGAIN_PART * put + 1e-6);
        }
    }
}
