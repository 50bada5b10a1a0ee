//! Who may send how much where: home first, then elsewhere by the room that is left there, then back to where it was only
//! narrowed, and what no zone bears is left over. No zone is given more than it bears, whatever is asked.

/// What there is to share out. Zones by number.
#[derive(Debug, Clone, Default)]
pub struct AllocationInput {
    /// What each zone's gatekeepers need.
    pub need: Vec<f64>,
    /// What each zone's servers bear.
    pub bears: Vec<f64>,
    /// The part of that which one zone may use of another's, 0 to 1, by evidence: `part[from][to]`.
    pub part: Vec<Vec<f64>>,
    /// The part that operators leave of each zone, 0 to 1.
    pub drained: Vec<f64>,
    /// Whether that holds even where the others can't bear it.
    pub forced: Vec<bool>,
}

/// How it was shared out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allocation {
    /// What goes where: `sent[from][to]`.
    pub sent: Vec<Vec<f64>>,
    /// What more may go elsewhere while home has no room for a moment: `more[from][to]`.
    pub more: Vec<Vec<f64>>,
    /// What no zone bears, by zone of origin.
    pub left: Vec<f64>,
}

/// Below this there is nothing to share out.
const NONE: f64 = 1e-9;
const ROUNDS: usize = 8;

/// Shares it out.
#[must_use]
pub fn allocate(given: &AllocationInput) -> Allocation {
    let n = given.need.len();
    let mut sent = vec![vec![0.0; n]; n];
    let mut room: Vec<f64> = given.bears.iter().map(|b| b.max(0.0)).collect();
    let mut left = given.need.clone();
    for f in 0..n {
        let wants = given.need[f] * given.part[f][f] * given.drained[f];
        let goes = wants.min(room[f]).max(0.0);
        sent[f][f] = goes;
        room[f] -= goes;
        left[f] -= goes;
    }
    // By the room that is there, and by how much of it may be used.
    let usable = |f: usize, t: usize| given.part[f][t] * given.drained[t];
    spread(&mut sent, &mut room, &mut left, |f, t| if f == t { 0.0 } else { usable(f, t) });
    // The floor: what is narrowed and not out takes what nobody else can.
    let back = |f: usize, t: usize| {
        let open = given.part[f][t] > NONE && (given.drained[t] > NONE || !given.forced[t]);
        if open { 1.0 } else { 0.0 }
    };
    spread(&mut sent, &mut room, &mut left, |f, t| if f == t { back(f, t) } else { 0.0 });
    spread(&mut sent, &mut room, &mut left, back);
    let others = (n.max(2) - 1) as f64;
    let more = (0..n)
        .map(|f| {
            (0..n).map(|t| if f == t { 0.0 } else { room[t].max(0.0) * usable(f, t) / others }).collect()
        })
        .collect();
    Allocation { sent, more, left: left.into_iter().map(|l| l.max(0.0)).collect() }
}

/// Spreads what is left over room that may be used, in rounds, as several may want the same.
fn spread(sent: &mut [Vec<f64>], room: &mut [f64], left: &mut [f64], may: impl Fn(usize, usize) -> f64) {
    let n = left.len();
    // What one zone may use of another's in all.
    let most: Vec<Vec<f64>> =
        (0..n).map(|f| (0..n).map(|t| room[t] * may(f, t).clamp(0.0, 1.0)).collect()).collect();
    let mut used = vec![vec![0.0; n]; n];
    for _ in 0..ROUNDS {
        let mut wants = vec![vec![0.0; n]; n];
        for f in (0..n).filter(|f| left[*f] > NONE) {
            let open: Vec<f64> = (0..n).map(|t| (most[f][t] - used[f][t]).min(room[t]).max(0.0)).collect();
            let all: f64 = open.iter().sum();
            if all > NONE {
                for t in 0..n {
                    wants[f][t] = (left[f] * open[t] / all).min(open[t]);
                }
            }
        }
        let mut moved = 0.0;
        for t in 0..n {
            let asked: f64 = wants.iter().map(|w| w[t]).sum();
            let scale = if asked > room[t].max(NONE) { room[t].max(0.0) / asked } else { 1.0 };
            for f in 0..n {
                let goes = wants[f][t] * scale;
                sent[f][t] += goes;
                used[f][t] += goes;
                left[f] -= goes;
                room[t] -= goes;
                moved += goes;
            }
        }
        if moved <= NONE {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn open(need: &[f64], bears: &[f64]) -> AllocationInput {
        let n = need.len();
        AllocationInput {
            need: need.into(),
            bears: bears.into(),
            part: vec![vec![1.0; n]; n],
            drained: vec![1.0; n],
            forced: vec![false; n],
        }
    }

    #[test]
    fn near_first_then_by_room_and_the_last_zone_is_given_no_more_than_it_bears() {
        let flows = allocate(&open(&[3.0, 3.0, 3.0], &[5.0, 5.0, 5.0]));
        assert_eq!(flows.sent, [[3.0, 0.0, 0.0], [0.0, 3.0, 0.0], [0.0, 0.0, 3.0]]);
        assert_eq!(flows.more[0], [0.0, 1.0, 1.0]);

        // The first is lost: the others take it over by the room that they have.
        let mut given = open(&[3.0, 3.0, 1.0], &[5.0, 5.0, 5.0]);
        given.part.iter_mut().for_each(|p| p[0] = 0.0);
        let flows = allocate(&given);
        assert_eq!(flows.sent[0][0], 0.0);
        assert!((flows.sent[0][1] - 1.0).abs() < 1e-6 && (flows.sent[0][2] - 2.0).abs() < 1e-6, "{flows:?}");

        // Two are: the last is filled and goes on standing.
        given.part.iter_mut().for_each(|p| p[1] = 0.0);
        let flows = allocate(&given);
        let to_last: f64 = flows.sent.iter().map(|s| s[2]).sum();
        assert!((to_last - 5.0).abs() < 1e-6 && (flows.left.iter().sum::<f64>() - 2.0).abs() < 1e-6);
    }

    #[test]
    fn two_thirds_of_the_traffic_with_a_third_of_the_servers_spills_to_several() {
        let flows = allocate(&open(&[8.0, 2.0, 2.0], &[5.0, 5.0, 5.0]));
        assert!(flows.sent[0][0] == 5.0 && flows.sent[0][1] > 1.0 && flows.sent[0][2] > 1.0, "{flows:?}");
        assert!(flows.left.iter().all(|l| *l < 1e-6));
        let none = allocate(&open(&[4.0, 1.0], &[0.0, 6.0]));
        assert!((none.sent[0][1] - 4.0).abs() < 1e-6, "gatekeepers without servers");
    }

    #[test]
    fn a_drain_gives_way_where_the_others_cannot_bear_it_unless_it_is_forced() {
        let mut given = open(&[4.0, 4.0], &[6.0, 6.0]);
        given.drained[0] = 0.0;
        let flows = allocate(&given);
        assert!((flows.sent[0][1] - 2.0).abs() < 1e-6 && (flows.sent[0][0] - 2.0).abs() < 1e-6, "{flows:?}");
        given.forced[0] = true;
        let flows = allocate(&given);
        assert!(flows.sent[0][0] == 0.0 && (flows.left[0] - 2.0).abs() < 1e-6, "{flows:?}");
    }

    proptest! {
        /// Whatever is asked: no zone is given more than it bears, with what may come on top; nothing is lost or made up;
        /// where there is room for all, nothing is left.
        #[test]
        fn no_zone_is_given_more_than_it_bears(
            n in 1usize..6,
            figures in prop::collection::vec((0.0..100.0f64, 0.0..100.0f64, 0.0..=1.0f64, any::<bool>()), 6),
            parts in prop::collection::vec(0.0..=1.0f64, 36),
        ) {
            let given = AllocationInput {
                need: figures[..n].iter().map(|f| f.0).collect(),
                bears: figures[..n].iter().map(|f| f.1).collect(),
                part: (0..n).map(|f| (0..n).map(|t| if parts[f * 6 + t] < 0.2 { 0.0 } else { parts[f * 6 + t] }).collect()).collect(),
                drained: figures[..n].iter().map(|f| f.2).collect(),
                forced: figures[..n].iter().map(|f| f.3).collect(),
            };
            let flows = allocate(&given);
            for t in 0..n {
                let to: f64 = (0..n).map(|f| flows.sent[f][t] + flows.more[f][t]).sum();
                prop_assert!(to <= given.bears[t] + 1e-6, "{to} to {t}");
            }
            for f in 0..n {
                let from: f64 = flows.sent[f].iter().sum::<f64>() + flows.left[f];
                prop_assert!((from - given.need[f]).abs() < 1e-6);
                prop_assert!(flows.sent[f].iter().all(|x| *x >= -1e-9));
                for t in 0..n {
                    prop_assert!(given.part[f][t] > 0.0 || flows.sent[f][t].abs() < 1e-9, "{f} to {t}");
                }
            }
            let open = AllocationInput { part: vec![vec![1.0; n]; n], drained: vec![1.0; n], ..given.clone() };
            let (need, bears): (f64, f64) = (given.need.iter().sum(), given.bears.iter().sum());
            let left: f64 = allocate(&open).left.iter().sum();
            prop_assert!((left - (need - bears).max(0.0)).abs() < 1e-3 * (1.0 + need), "{left} of {need}, {bears}");
        }
    }
}
