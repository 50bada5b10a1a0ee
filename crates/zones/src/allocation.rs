//! Allocates the demand of the zones to the capacity of the zones.
//!
//! Each zone's demand goes to the zone itself first, then to other zones by their spare capacity, then back
//! to zones that are impaired or drained but not out. The rest stays unassigned. No zone is assigned more
//! than its capacity, whatever the demand.

/// The demand and capacity of the zones, which are identified by their index. Amounts are in requests worked
/// on at once.
#[derive(Debug, Clone, Default)]
pub struct AllocationInput {
    /// The demand of each zone's gatekeepers.
    pub demand: Vec<f64>,
    /// The capacity of each zone's servers.
    pub capacity: Vec<f64>,
    /// The fraction of a zone's capacity that another zone may use by path health, 0 to 1:
    /// `usable[from][to]`.
    pub usable: Vec<Vec<f64>>,
    /// The fraction of each zone that operators' drains leave in use, 0 to 1.
    pub undrained: Vec<f64>,
    /// Whether the drain of a zone holds even if the other zones lack the capacity.
    pub drain_forced: Vec<bool>,
}

/// The result of [`allocate`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allocation {
    /// The demand assigned: `assigned[from][to]`.
    pub assigned: Vec<Vec<f64>>,
    /// The burst that may go elsewhere in addition while the home zone is briefly full: `burst[from][to]`.
    pub burst: Vec<Vec<f64>>,
    /// The demand that no zone has capacity for, by zone of origin.
    pub unassigned: Vec<f64>,
}

/// Amounts up to this count as zero.
const EPSILON: f64 = 1e-9;
/// The largest number of rounds in which unassigned demand is spread.
const MAX_ROUNDS: usize = 8;

/// Assigns the demand to the capacity.
#[must_use]
pub fn allocate(input: &AllocationInput) -> Allocation {
    let n = input.demand.len();
    let mut assigned = vec![vec![0.0; n]; n];
    let mut spare: Vec<f64> = input.capacity.iter().map(|b| b.max(0.0)).collect();
    let mut unassigned = input.demand.clone();
    for from in 0..n {
        let requested = input.demand[from] * input.usable[from][from] * input.undrained[from];
        let amount = requested.min(spare[from]).max(0.0);
        assigned[from][from] = amount;
        spare[from] -= amount;
        unassigned[from] -= amount;
    }
    // Other zones are used in proportion to their spare capacity, times the fraction that may be used.
    let usable = |from: usize, to: usize| input.usable[from][to] * input.undrained[to];
    spread_unassigned(&mut assigned, &mut spare, &mut unassigned, |from, to| {
        if from == to { 0.0 } else { usable(from, to) }
    });
    // Zones that are impaired or drained but not out take what no other zone can.
    let fallback = |from: usize, to: usize| {
        let open =
            input.usable[from][to] > EPSILON && (input.undrained[to] > EPSILON || !input.drain_forced[to]);
        if open { 1.0 } else { 0.0 }
    };
    spread_unassigned(&mut assigned, &mut spare, &mut unassigned, |from, to| {
        if from == to { fallback(from, to) } else { 0.0 }
    });
    spread_unassigned(&mut assigned, &mut spare, &mut unassigned, fallback);
    let other_zones = (n.max(2) - 1) as f64;
    let burst = (0..n)
        .map(|from| {
            (0..n)
                .map(|to| if from == to { 0.0 } else { spare[to].max(0.0) * usable(from, to) / other_zones })
                .collect()
        })
        .collect();
    Allocation { assigned, burst, unassigned: unassigned.into_iter().map(|amount| amount.max(0.0)).collect() }
}

/// Spreads the unassigned demand over the spare capacity that may be used. It takes several rounds, as
/// several zones may compete for the same capacity.
fn spread_unassigned(
    assigned: &mut [Vec<f64>],
    spare: &mut [f64],
    unassigned: &mut [f64],
    usable: impl Fn(usize, usize) -> f64,
) {
    let n = unassigned.len();
    // The total that one zone may use of another.
    let limit: Vec<Vec<f64>> =
        (0..n).map(|from| (0..n).map(|to| spare[to] * usable(from, to).clamp(0.0, 1.0)).collect()).collect();
    let mut used = vec![vec![0.0; n]; n];
    for _ in 0..MAX_ROUNDS {
        let mut requested = vec![vec![0.0; n]; n];
        for from in (0..n).filter(|from| unassigned[*from] > EPSILON) {
            let available: Vec<f64> =
                (0..n).map(|to| (limit[from][to] - used[from][to]).min(spare[to]).max(0.0)).collect();
            let total_available: f64 = available.iter().sum();
            if total_available > EPSILON {
                for to in 0..n {
                    requested[from][to] =
                        (unassigned[from] * available[to] / total_available).min(available[to]);
                }
            }
        }
        let mut moved = 0.0;
        for to in 0..n {
            let total_requested: f64 = requested.iter().map(|w| w[to]).sum();
            let scale = if total_requested > spare[to].max(EPSILON) {
                spare[to].max(0.0) / total_requested
            } else {
                1.0
            };
            for from in 0..n {
                let amount = requested[from][to] * scale;
                assigned[from][to] += amount;
                used[from][to] += amount;
                unassigned[from] -= amount;
                spare[to] -= amount;
                moved += amount;
            }
        }
        if moved <= EPSILON {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn open_zones(demand: &[f64], capacity: &[f64]) -> AllocationInput {
        let n = demand.len();
        AllocationInput {
            demand: demand.into(),
            capacity: capacity.into(),
            usable: vec![vec![1.0; n]; n],
            undrained: vec![1.0; n],
            drain_forced: vec![false; n],
        }
    }

    #[test]
    fn allocate_prefers_home_then_spare_capacity_and_fills_last_zone_no_further_than_capacity() {
        let allocation = allocate(&open_zones(&[3.0, 3.0, 3.0], &[5.0, 5.0, 5.0]));
        assert_eq!(allocation.assigned, [[3.0, 0.0, 0.0], [0.0, 3.0, 0.0], [0.0, 0.0, 3.0]]);
        assert_eq!(allocation.burst[0], [0.0, 1.0, 1.0]);

        // The first zone is lost: the others take over its demand in proportion to their spare capacity.
        let mut input = open_zones(&[3.0, 3.0, 1.0], &[5.0, 5.0, 5.0]);
        input.usable.iter_mut().for_each(|p| p[0] = 0.0);
        let allocation = allocate(&input);
        assert_eq!(allocation.assigned[0][0], 0.0);
        assert!(
            (allocation.assigned[0][1] - 1.0).abs() < 1e-6 && (allocation.assigned[0][2] - 2.0).abs() < 1e-6,
            "{allocation:?}"
        );

        // Two zones are lost: the last one is filled up to its capacity and no further.
        input.usable.iter_mut().for_each(|p| p[1] = 0.0);
        let allocation = allocate(&input);
        let to_last: f64 = allocation.assigned.iter().map(|s| s[2]).sum();
        assert!(
            (to_last - 5.0).abs() < 1e-6 && (allocation.unassigned.iter().sum::<f64>() - 2.0).abs() < 1e-6
        );
    }

    #[test]
    fn allocate_spills_to_several_zones_when_home_lacks_capacity() {
        let allocation = allocate(&open_zones(&[8.0, 2.0, 2.0], &[5.0, 5.0, 5.0]));
        assert!(
            allocation.assigned[0][0] == 5.0
                && allocation.assigned[0][1] > 1.0
                && allocation.assigned[0][2] > 1.0,
            "{allocation:?}"
        );
        assert!(allocation.unassigned.iter().all(|l| *l < 1e-6));
        let allocation = allocate(&open_zones(&[4.0, 1.0], &[0.0, 6.0]));
        assert!((allocation.assigned[0][1] - 4.0).abs() < 1e-6, "a zone with gatekeepers and no servers");
    }

    #[test]
    fn drain_yields_when_other_zones_lack_capacity_unless_forced() {
        let mut input = open_zones(&[4.0, 4.0], &[6.0, 6.0]);
        input.undrained[0] = 0.0;
        let allocation = allocate(&input);
        assert!(
            (allocation.assigned[0][1] - 2.0).abs() < 1e-6 && (allocation.assigned[0][0] - 2.0).abs() < 1e-6,
            "{allocation:?}"
        );
        input.drain_forced[0] = true;
        let allocation = allocate(&input);
        assert!(
            allocation.assigned[0][0] == 0.0 && (allocation.unassigned[0] - 2.0).abs() < 1e-6,
            "{allocation:?}"
        );
    }

    proptest! {
        /// For any input, no zone is assigned more than its capacity, bursts included. All demand is either
        /// assigned or unassigned. If the total capacity is sufficient and all zones are open, none is left
        /// unassigned.
        #[test]
        fn allocate_never_exceeds_capacity_of_a_zone(
            n in 1usize..6,
            figures in prop::collection::vec((0.0..100.0f64, 0.0..100.0f64, 0.0..=1.0f64, any::<bool>()), 6),
            parts in prop::collection::vec(0.0..=1.0f64, 36),
        ) {
            let input = AllocationInput {
                demand: figures[..n].iter().map(|f| f.0).collect(),
                capacity: figures[..n].iter().map(|f| f.1).collect(),
                usable: (0..n)
                    .map(|f| (0..n)
                        .map(|t| if parts[f * 6 + t] < 0.2 { 0.0 } else { parts[f * 6 + t] })
                        .collect())
                    .collect(),
                undrained: figures[..n].iter().map(|f| f.2).collect(),
                drain_forced: figures[..n].iter().map(|f| f.3).collect(),
            };
            let allocation = allocate(&input);
            for t in 0..n {
                let to: f64 = (0..n).map(|f| allocation.assigned[f][t] + allocation.burst[f][t]).sum();
                prop_assert!(to <= input.capacity[t] + 1e-6, "{to} to {t}");
            }
            for f in 0..n {
                let from: f64 = allocation.assigned[f].iter().sum::<f64>() + allocation.unassigned[f];
                prop_assert!((from - input.demand[f]).abs() < 1e-6);
                prop_assert!(allocation.assigned[f].iter().all(|x| *x >= -1e-9));
                for t in 0..n {
                    prop_assert!(
                        input.usable[f][t] > 0.0 || allocation.assigned[f][t].abs() < 1e-9,
                        "{f} to {t}"
                    );
                }
            }
            let open =
                AllocationInput { usable: vec![vec![1.0; n]; n], undrained: vec![1.0; n], ..input.clone() };
            let (demand, capacity): (f64, f64) = (input.demand.iter().sum(), input.capacity.iter().sum());
            let unassigned: f64 = allocate(&open).unassigned.iter().sum();
            prop_assert!(
                (unassigned - (demand - capacity).max(0.0)).abs() < 1e-3 * (1.0 + demand),
                "{unassigned} of {demand}, {capacity}"
            );
        }
    }
}
