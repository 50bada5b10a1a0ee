use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    /// After any sequence of events each group has exactly its own servers, once each, and a number belongs
    /// to one server.
    #[test]
    fn candidates_match_a_model_after_any_events(events in prop::collection::vec((0u8..20, 0u32..3, 0u32..4, 0u8..5), 0..200)) {
        let (mut index, mut model) = (ServerIndex::default(), BTreeMap::new());
        let mut known: BTreeMap<Name, u32> = BTreeMap::new();
        let mut idle: BTreeSet<Name> = BTreeSet::new();
        for (k, zone, cell, event) in events {
            let name: Name = format!("s{k}").as_str().into();
            let (number, _) = index.entry(&name, || ServerState { name: name.clone(), ..ServerState::default() });
            prop_assert_eq!(*known.entry(name.clone()).or_insert(number), number);
            match event {
                0 => {
                    index.mark_up(number, zone, cell);
                    if model.insert(name.clone(), (zone, cell)) != Some((zone, cell)) {
                        idle.remove(&name);
                    }
                }
                1 => {
                    index.mark_down(number);
                    model.remove(&name);
                    idle.remove(&name);
                }
                2 => {
                    index.mark_idle_connection(number);
                    if model.contains_key(&name) {
                        idle.insert(name);
                    }
                }
                3 => {
                    index.clear_idle_connection(number);
                    idle.remove(&name);
                }
                _ => {
                    if let Some(number) = index.number(&name) {
                        index.remove(number);
                    }
                    model.remove(&name);
                    idle.remove(&name);
                    known.remove(&name);
                }
            }
            prop_assert_eq!(index.len(), known.len());
        }
        prop_assert!(known.iter().all(|(name, number)| index.by_number(*number).is_some_and(|s| s.name == *name)));
        let sorted = |members: &[u32]| {
            let mut names: Vec<Name> =
                members.iter().filter_map(|k| index.by_number(*k)).map(|s| s.name.clone()).collect();
            names.sort();
            names
        };
        let of = |is_member: &dyn Fn(&(u32, u32)) -> bool| -> Vec<Name> {
            model.iter().filter(|(_, at)| is_member(at)).map(|(name, _)| name.clone()).collect()
        };
        prop_assert_eq!(sorted(index.candidates(None)), of(&|_| true));
        prop_assert_eq!(sorted(index.with_idle_connection()), idle.into_iter().collect::<Vec<_>>());
        for k in 0..4 {
            prop_assert_eq!(sorted(index.candidates(Some((Group::Zone, k, 9)))), of(&|at| at.0 == k));
            prop_assert_eq!(sorted(index.candidates(Some((Group::Cell, 9, k)))), of(&|at| at.1 == k));
        }
    }
}
