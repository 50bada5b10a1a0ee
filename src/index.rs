//! Servers that may be sent to, all of them and by group, kept up to date by events, so that a choice need not look at
//! the whole list. Nothing is decided here.

use crate::api::{Group, Name};
use std::collections::{BTreeMap, HashMap};

/// A set that gives its members by number, in no order, in constant time each.
#[derive(Debug, Default, Clone)]
struct Numbered {
    names: Vec<Name>,
    places: HashMap<Name, usize>,
}

impl Numbered {
    fn insert(&mut self, name: &Name) {
        if !self.places.contains_key(name) {
            self.places.insert(name.clone(), self.names.len());
            self.names.push(name.clone());
        }
    }

    fn remove(&mut self, name: &Name) {
        let Some(at) = self.places.remove(name) else { return };
        self.names.swap_remove(at);
        if let Some(moved) = self.names.get(at) {
            self.places.insert(moved.clone(), at);
        }
    }
}

/// The candidates of a gateway.
#[derive(Debug, Default, Clone)]
pub struct Index {
    all: Numbered,
    zones: BTreeMap<u32, Numbered>,
    cells: BTreeMap<u32, Numbered>,
    /// Where each of them stands: zone and cell.
    where_at: HashMap<Name, (u32, u32)>,
}

impl Index {
    /// A server is up, in this zone and cell. One that stood elsewhere has moved.
    pub fn up(&mut self, name: &Name, zone: u32, cell: u32) {
        if self.where_at.get(name) == Some(&(zone, cell)) {
            return;
        }
        self.down(name);
        self.where_at.insert(name.clone(), (zone, cell));
        self.all.insert(name);
        self.zones.entry(zone).or_default().insert(name);
        self.cells.entry(cell).or_default().insert(name);
    }

    /// A server is not to be sent to any more.
    pub fn down(&mut self, name: &Name) {
        let Some((zone, cell)) = self.where_at.remove(name) else { return };
        self.all.remove(name);
        for (groups, at) in [(&mut self.zones, zone), (&mut self.cells, cell)] {
            if let Some(group) = groups.get_mut(&at) {
                group.remove(name);
                if group.names.is_empty() {
                    groups.remove(&at);
                }
            }
        }
    }

    /// The candidates of a group, or all of them.
    #[must_use]
    pub fn of(&self, group: Option<(Group, u32, u32)>) -> &[Name] {
        let group = match group {
            Some((Group::Zone, zone, _)) => self.zones.get(&zone),
            Some((Group::Cell, _, cell)) => self.cells.get(&cell),
            _ => Some(&self.all),
        };
        group.map_or(&[], |g| &g.names)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever comes, goes and moves, each group holds just its own, once.
        #[test]
        fn each_group_holds_its_own(events in prop::collection::vec((0u8..20, 0u32..3, 0u32..4, any::<bool>()), 0..200)) {
            let (mut index, mut model) = (Index::default(), BTreeMap::new());
            for (k, zone, cell, up) in events {
                let name: Name = format!("s{k}").as_str().into();
                if up {
                    index.up(&name, zone, cell);
                    model.insert(name, (zone, cell));
                } else {
                    index.down(&name);
                    model.remove(&name);
                }
            }
            let sorted = |names: &[Name]| {
                let mut names = names.to_vec();
                names.sort();
                names
            };
            let of = |so: &dyn Fn(&(u32, u32)) -> bool| -> Vec<Name> {
                model.iter().filter(|(_, at)| so(at)).map(|(name, _)| name.clone()).collect()
            };
            prop_assert_eq!(sorted(index.of(None)), of(&|_| true));
            for k in 0..4 {
                prop_assert_eq!(sorted(index.of(Some((Group::Zone, k, 9)))), of(&|at| at.0 == k));
                prop_assert_eq!(sorted(index.of(Some((Group::Cell, 9, k)))), of(&|at| at.1 == k));
            }
        }
    }
}
