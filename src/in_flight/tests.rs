use super::*;
use crate::api::Request;

fn job(number: u64, id: u64, key: u64) -> RequestState {
    let request = Request {
        id,
        customer: "x".into(),
        class: 0,
        plan: 0,
        units: 1.0,
        first: 0,
        spread: 1,
        deadline: 0.0,
        is_retry: false,
    };
    RequestState {
        request,
        is_check: false,
        key,
        quota_owner: 0,
        tier: 0,
        arrived_at: 0.0,
        number,
        permit: None,
        until: 0.0,
        awaits_permit: false,
        retransmission: None,
    }
}

#[test]
fn waits_are_found_by_every_name_and_gone_from_all() {
    let mut waits = PendingRequests::default();
    for (number, id, key) in [(1, 10, 5), (2, 20, 6), (3, 30, 5)] {
        waits.insert(job(number, id, key));
    }
    let of = |w: &PendingRequests, key| w.of_customer(key).map(|j| j.number).collect::<Vec<_>>();
    assert_eq!((of(&waits, 5), of(&waits, 6), of(&waits, 7)), (vec![1, 3], vec![2], vec![]));
    assert_eq!(waits.remove_id(10).map(|j| j.number), Some(1));
    assert_eq!((of(&waits, 5), waits.remove_id(10).is_none(), waits.get(1).is_none()), (vec![3], true, true));
    // Put in again, as when it begins to wait for a place.
    let again = waits.remove(3).expect("there");
    waits.insert(again);
    assert_eq!(of(&waits, 5), [3]);
}

#[test]
fn what_is_sent_on_is_found_by_id_and_question() {
    let mut hands = InFlightRequests::default();
    let held = |state| InFlightRequest {
        state,
        attempts: 0,
        client_gone: false,
        sent_at: 0.0,
        sent_to: (0, 0),
        load_when_sent: 0.0,
        may_have_run: None,
    };
    hands.insert(held(job(7, 70, 1)));
    assert_eq!(hands.by_number(7).map(|h| h.state.request.id), Some(70));
    assert!(hands.remove(70).is_some() && hands.by_number(7).is_none() && hands.get(70).is_none());
}
