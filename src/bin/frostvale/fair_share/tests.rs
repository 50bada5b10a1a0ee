use super::*;

#[test]
fn allowance_refills_with_elapsed_time_up_to_its_maximum() {
    let start = Duration::from_secs(1);
    let mut allowance = Allowance::new(start);
    allowance.consume(NEW_ALLOWANCE);
    assert!(!allowance.refill(start, 0.1), "all of it is used");
    assert!(allowance.refill(start + Duration::from_millis(10), 0.1));
    allowance.refill(start + Duration::from_secs(60), 0.1);
    assert_eq!(allowance.left, MAX_ALLOWANCE.as_secs_f64());
}

#[test]
fn source_owes_one_allowance_at_most() {
    let start = Duration::from_secs(1);
    let mut allowance = Allowance::new(start);
    allowance.consume(Duration::from_secs(5));
    assert!(!allowance.refill(start + MAX_ALLOWANCE * 9, 0.1));
    assert!(allowance.refill(start + MAX_ALLOWANCE * 11, 0.1));
}

#[test]
fn slice_ends_after_its_items() {
    let source = FairShare::new(Arc::new(RunQueue::open())).add_source();
    let slice = source.try_begin().expect("a new source has an allowance");
    let items = (1..).take_while(|_| slice.record_item()).last();
    assert!(items.is_none_or(|items| items < SLICE_ITEMS), "{items:?}");
}

#[test]
fn sources_share_what_refills_for_all() {
    let share = FairShare::new(Arc::new(RunQueue::open()));
    let sources: Vec<Source> = (0..100).map(|_| share.add_source()).collect();
    assert_eq!(share.refill_share(), TOTAL_REFILL_SHARE / 100.0);
    drop(sources);
    let _source = share.add_source();
    assert_eq!(share.refill_share(), MAX_REFILL_SHARE);
}

#[tokio::test]
async fn queue_rests_after_each_round_and_serves_in_order() {
    let share = FairShare::new(Arc::new(RunQueue::open()));
    let (first, second) = (share.add_source(), share.add_source());
    for source in [&first, &second] {
        source.allowance.borrow_mut().consume(Duration::from_secs(1));
    }
    share.record_queued_slice(Instant::now(), ROUND_TIME);
    let rest = share.rest_until.get().saturating_duration_since(Instant::now());
    assert!(rest > ROUND_TIME * (REST_FACTOR - 1) && rest <= ROUND_TIME * REST_FACTOR, "{rest:?}");
    let order = RefCell::new(Vec::new());
    let run = async |source: &Source, name: u32| {
        let _slice = source.begin().await;
        order.borrow_mut().push(name);
    };
    tokio::join!(run(&first, 1), run(&second, 2));
    assert_eq!(*order.borrow(), [1, 2]);
}
