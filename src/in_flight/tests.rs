use super::*;
use crate::api::Request;

fn request_state(number: u64, id: u64, key: u64) -> RequestState {
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
        source: 0,
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
fn pending_requests_are_found_by_each_key_until_removed() {
    let mut pending = PendingRequests::default();
    for (number, id, key) in [(1, 10, 5), (2, 20, 6), (3, 30, 5)] {
        pending.insert(request_state(number, id, key));
    }
    let numbers_of = |pending: &PendingRequests, key| {
        pending.of_customer(key).map(|state| state.number).collect::<Vec<_>>()
    };
    assert_eq!(
        (numbers_of(&pending, 5), numbers_of(&pending, 6), numbers_of(&pending, 7)),
        (vec![1, 3], vec![2], vec![])
    );
    assert_eq!(pending.remove_id(10).map(|state| state.number), Some(1));
    assert_eq!(
        (numbers_of(&pending, 5), pending.remove_id(10).is_none(), pending.get(1).is_none()),
        (vec![3], true, true)
    );
    // Inserted again, as when it starts to wait for a permit.
    let moved = pending.remove(3).expect("there");
    pending.insert(moved);
    assert_eq!(numbers_of(&pending, 5), [3]);
}

#[test]
fn in_flight_requests_are_found_by_id_and_number_until_removed() {
    let mut in_flight = InFlightRequests::default();
    let in_flight_request = |state| InFlightRequest {
        state,
        attempts: 0,
        client_gone: false,
        sent_at: 0.0,
        sent_to: (0, 0),
        load_when_sent: 0.0,
        may_have_run: None,
    };
    in_flight.insert(in_flight_request(request_state(7, 70, 1)));
    assert_eq!(in_flight.by_number(7).map(|h| h.state.request.id), Some(70));
    assert!(
        in_flight.remove(70).is_some() && in_flight.by_number(7).is_none() && in_flight.get(70).is_none()
    );
}
