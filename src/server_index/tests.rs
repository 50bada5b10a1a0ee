use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    /// Whatever comes, goes and moves, each group holds just its own, once, and a number means one server.
    #[test]
    fn each_group_holds_its_own(events in prop::collection::vec((0u8..20, 0u32..3, 0u32..4, 0u8..5), 0..200)) {
        let (mut roster, mut model) = (ServerIndex::default(), BTreeMap::new());
        let mut known: BTreeMap<Name, u32> = BTreeMap::new();
        let mut at_rest: BTreeSet<Name> = BTreeSet::new();
        for (k, zone, cell, what) in events {
            let name: Name = format!("s{k}").as_str().into();
            let (number, _) = roster.entry(&name, || ServerState { name: name.clone(), ..ServerState::default() });
            prop_assert_eq!(*known.entry(name.clone()).or_insert(number), number);
            match what {
                0 => {
                    roster.mark_up(number, zone, cell);
                    if model.insert(name.clone(), (zone, cell)) != Some((zone, cell)) {
                        at_rest.remove(&name);
                    }
                }
                1 => {
                    roster.mark_down(number);
                    model.remove(&name);
                    at_rest.remove(&name);
                }
                2 => {
                    roster.mark_idle_connection(number);
                    if model.contains_key(&name) {
                        at_rest.insert(name);
                    }
                }
                3 => {
                    roster.clear_idle_connection(number);
                    at_rest.remove(&name);
                }
                _ => {
                    if let Some(number) = roster.number(&name) {
                        roster.remove(number);
                    }
                    model.remove(&name);
                    at_rest.remove(&name);
                    known.remove(&name);
                }
            }
            prop_assert_eq!(roster.len(), known.len());
        }
        prop_assert!(known.iter().all(|(name, number)| roster.by_number(*number).is_some_and(|s| s.name == *name)));
        let sorted = |members: &[u32]| {
            let mut names: Vec<Name> =
                members.iter().filter_map(|k| roster.by_number(*k)).map(|s| s.name.clone()).collect();
            names.sort();
            names
        };
        let of = |so: &dyn Fn(&(u32, u32)) -> bool| -> Vec<Name> {
            model.iter().filter(|(_, at)| so(at)).map(|(name, _)| name.clone()).collect()
        };
        prop_assert_eq!(sorted(roster.candidates(None)), of(&|_| true));
        prop_assert_eq!(sorted(roster.with_idle_connection()), at_rest.into_iter().collect::<Vec<_>>());
        for k in 0..4 {
            prop_assert_eq!(sorted(roster.candidates(Some((Group::Zone, k, 9)))), of(&|at| at.0 == k));
            prop_assert_eq!(sorted(roster.candidates(Some((Group::Cell, 9, k)))), of(&|at| at.1 == k));
        }
    }
}
