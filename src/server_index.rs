//! The servers that are known, each at a number of its own, and those among them that may be sent to, all and by group, so
//! that a choice need not look at the whole list. Kept up to date by events; nothing is decided here.

use crate::api::{Group, Name};
use crate::server_state::ServerState;
use std::collections::{BTreeMap, HashMap};

/// A set that gives its members by number, in no order, in constant time each.
#[derive(Default)]
struct Numbered {
    members: Vec<u32>,
    places: HashMap<u32, usize>,
}

impl Numbered {
    fn insert(&mut self, member: u32) {
        self.places.entry(member).or_insert_with(|| {
            self.members.push(member);
            self.members.len() - 1
        });
    }

    fn remove(&mut self, member: u32) {
        let Some(at) = self.places.remove(&member) else { return };
        self.members.swap_remove(at);
        if let Some(moved) = self.members.get(at) {
            self.places.insert(*moved, at);
        }
    }
}

/// The servers.
#[derive(Default)]
pub(crate) struct ServerIndex {
    by_name: HashMap<Name, u32>,
    servers: Vec<Option<ServerState>>,
    free: Vec<u32>,
    all: Numbered,
    zones: BTreeMap<u32, Numbered>,
    cells: BTreeMap<u32, Numbered>,
    /// Those that are up and have a connection of ours at rest, as far as is known.
    at_rest: Numbered,
    /// Where each of those that are up stands: zone and cell.
    where_at: HashMap<u32, (u32, u32)>,
}

impl ServerIndex {
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn number(&self, name: &Name) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub fn by_number(&self, number: u32) -> Option<&ServerState> {
        self.servers.get(number as usize)?.as_ref()
    }

    pub fn get(&self, name: &Name) -> Option<&ServerState> {
        self.by_number(self.number(name)?)
    }

    pub fn get_mut(&mut self, name: &Name) -> Option<&mut ServerState> {
        let number = self.number(name)?;
        self.servers.get_mut(number as usize)?.as_mut()
    }

    /// The server of this name and its number, made if it is not known.
    pub fn entry(&mut self, name: &Name, make: impl FnOnce() -> ServerState) -> (u32, &mut ServerState) {
        let number = self.number(name).unwrap_or_else(|| {
            let number = self.free.pop().unwrap_or_else(|| {
                self.servers.push(None);
                self.servers.len() as u32 - 1
            });
            self.by_name.insert(name.clone(), number);
            number
        });
        (number, self.servers[number as usize].get_or_insert_with(make))
    }

    /// Every known server.
    pub fn all_mut(&mut self) -> impl Iterator<Item = (u32, &mut ServerState)> {
        self.servers.iter_mut().enumerate().filter_map(|(k, s)| Some((k as u32, s.as_mut()?)))
    }

    /// Forgets a server.
    pub fn remove(&mut self, number: u32) {
        self.mark_down(number);
        if let Some(s) = self.servers.get_mut(number as usize).and_then(Option::take) {
            self.by_name.remove(&s.name);
            self.free.push(number);
        }
    }

    /// A server is up, in this zone and cell. One that stood elsewhere has moved.
    pub fn mark_up(&mut self, number: u32, zone: u32, cell: u32) {
        if self.where_at.get(&number) == Some(&(zone, cell)) {
            return;
        }
        self.mark_down(number);
        self.where_at.insert(number, (zone, cell));
        self.all.insert(number);
        self.zones.entry(zone).or_default().insert(number);
        self.cells.entry(cell).or_default().insert(number);
    }

    /// A server is not to be sent to any more.
    pub fn mark_down(&mut self, number: u32) {
        let Some((zone, cell)) = self.where_at.remove(&number) else { return };
        self.all.remove(number);
        self.at_rest.remove(number);
        for (groups, at) in [(&mut self.zones, zone), (&mut self.cells, cell)] {
            if let Some(group) = groups.get_mut(&at) {
                group.remove(number);
                if group.members.is_empty() {
                    groups.remove(&at);
                }
            }
        }
    }

    /// A connection to a server rests, if the server is up.
    pub fn mark_idle_connection(&mut self, number: u32) {
        if self.where_at.contains_key(&number) {
            self.at_rest.insert(number);
        }
    }

    /// No connection to a server rests any more.
    pub fn clear_idle_connection(&mut self, number: u32) {
        self.at_rest.remove(number);
    }

    /// Servers with a connection at rest.
    pub fn with_idle_connection(&self) -> &[u32] {
        &self.at_rest.members
    }

    /// The candidates of a group, or all of them.
    pub fn candidates(&self, group: Option<(Group, u32, u32)>) -> &[u32] {
        let group = match group {
            Some((Group::Zone, zone, _)) => self.zones.get(&zone),
            Some((Group::Cell, _, cell)) => self.cells.get(&cell),
            _ => Some(&self.all),
        };
        group.map_or(&[], |g| &g.members)
    }
}

#[cfg(test)]
mod tests;
