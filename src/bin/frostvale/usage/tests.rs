use super::*;

fn total(batches: &[UseBatch]) -> u64 {
    batches.iter().flat_map(|b| &b.lines).map(|l| l.passed_milli).sum()
}

#[test]
fn batches_stay_until_acknowledged_and_usage_merges_without_an_agent() {
    let mut usage = Usage::new(0);
    let shop: Name = "00000000b4d65521".into();
    usage.count(&shop, 0, 0, 1.5, UsageKind::Passed);
    usage.count(&shop, 0, 0, 1.0, UsageKind::Passed);
    usage.count(&shop, 0, 1, 1.0, UsageKind::Refused);
    let first = usage.close(1000, false);
    assert_eq!((first.len(), first[0].seq, first[0].lines.len(), total(&first)), (1, 1, 2, 2500));
    assert!(usage.close(2000, false).is_empty(), "nothing was used");
    for k in 0..1000u64 {
        usage.count(&shop, 0, 0, 1.0, UsageKind::Passed);
        usage.close(3000 + k, false);
    }
    assert_eq!(usage.pending().count(), MAX_PENDING_BATCHES, "the number of batches is bounded");
    let all: Vec<UseBatch> = usage.pending().cloned().collect();
    let numbers: Vec<u64> = all.iter().map(|b| b.seq).collect();
    assert_eq!(numbers, (1..=MAX_PENDING_BATCHES as u64).collect::<Vec<_>>());
    assert_eq!(usage.overdue(8).count(), 0, "their acknowledgement may be on its way");
    let overdue: Vec<u64> = usage.overdue(8).map(|b| b.seq).collect();
    assert_eq!(overdue, (1..=8).collect::<Vec<_>>(), "the oldest are sent again");
    usage.acknowledge(&numbers);
    let rest = usage.close(9000, true);
    assert_eq!(total(&all) + total(&rest), 1_002_500, "nothing is lost by merging");
    assert!(rest.last().is_some_and(|b| b.last));
    assert!(!usage.is_settled());
    usage.acknowledge(&rest.iter().map(|b| b.seq).collect::<Vec<_>>());
    assert!(usage.is_settled());
}

#[test]
fn shops_past_the_limit_are_counted_together() {
    let mut usage = Usage::new(0);
    for k in 0..MAX_OPEN_ENTRIES + 500 {
        usage.count(&format!("{k:016x}").as_str().into(), 0, 0, 1.0, UsageKind::Passed);
    }
    let batches = usage.close(1, true);
    assert_eq!(total(&batches), (MAX_OPEN_ENTRIES as u64 + 500) * 1000);
    let others =
        batches.iter().flat_map(|b| &b.lines).find(|l| l.shop == OTHER_SHOPS).expect("a line for them");
    assert_eq!(others.passed_milli, 500_000);
}
