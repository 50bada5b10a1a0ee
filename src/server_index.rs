//! Index of the known servers. Each has a stable number; those that may be sent to are also indexed as a
//! whole, by zone and by cell, so that a choice does not scan the whole list. Updated by events; no decisions
//! are made here.

use crate::api::{Group, Name};
use crate::server_state::ServerState;
use std::collections::{BTreeMap, HashMap};

/// Set whose members can be accessed by position, in no particular order. All operations take constant time.
#[derive(Default)]
struct IndexedSet {
    members: Vec<u32>,
    positions: HashMap<u32, usize>,
}

impl IndexedSet {
    fn insert(&mut self, member: u32) {
        self.positions.entry(member).or_insert_with(|| {
            self.members.push(member);
            self.members.len() - 1
        });
    }

    fn remove(&mut self, member: u32) {
        let Some(at) = self.positions.remove(&member) else { return };
        self.members.swap_remove(at);
        if let Some(moved) = self.members.get(at) {
            self.positions.insert(*moved, at);
        }
    }
}

/// The known servers.
#[derive(Default)]
pub(crate) struct ServerIndex {
    by_name: HashMap<Name, u32>,
    servers: Vec<Option<ServerState>>,
    /// Numbers of removed servers, to be used again.
    free_numbers: Vec<u32>,
    /// Servers that may be sent to: all of them, by zone and by cell.
    all: IndexedSet,
    zones: BTreeMap<u32, IndexedSet>,
    cells: BTreeMap<u32, IndexedSet>,
    /// Servers that are up and, as far as is known, have an idle connection of this gatekeeper.
    idle_connections: IndexedSet,
    /// Zone and cell of each server that is up.
    locations: HashMap<u32, (u32, u32)>,
}

impl ServerIndex {
    /// Number of known servers.
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

    /// The server with this name and its number; created by `make` if it is not known.
    pub fn entry(&mut self, name: &Name, make: impl FnOnce() -> ServerState) -> (u32, &mut ServerState) {
        let number = self.number(name).unwrap_or_else(|| {
            let number = self.free_numbers.pop().unwrap_or_else(|| {
                self.servers.push(None);
                self.servers.len() as u32 - 1
            });
            self.by_name.insert(name.clone(), number);
            number
        });
        (number, self.servers[number as usize].get_or_insert_with(make))
    }

    /// All known servers, with their numbers.
    pub fn all_mut(&mut self) -> impl Iterator<Item = (u32, &mut ServerState)> {
        self.servers.iter_mut().enumerate().filter_map(|(k, s)| Some((k as u32, s.as_mut()?)))
    }

    /// Removes a server; its number is used again.
    pub fn remove(&mut self, number: u32) {
        self.mark_down(number);
        if let Some(s) = self.servers.get_mut(number as usize).and_then(Option::take) {
            self.by_name.remove(&s.name);
            self.free_numbers.push(number);
        }
    }

    /// Marks a server as up in a zone and cell, and moves it there if it was elsewhere.
    pub fn mark_up(&mut self, number: u32, zone: u32, cell: u32) {
        if self.locations.get(&number) == Some(&(zone, cell)) {
            return;
        }
        self.mark_down(number);
        self.locations.insert(number, (zone, cell));
        self.all.insert(number);
        self.zones.entry(zone).or_default().insert(number);
        self.cells.entry(cell).or_default().insert(number);
    }

    /// Marks a server as not to be sent to.
    pub fn mark_down(&mut self, number: u32) {
        let Some((zone, cell)) = self.locations.remove(&number) else { return };
        self.all.remove(number);
        self.idle_connections.remove(number);
        for (groups, at) in [(&mut self.zones, zone), (&mut self.cells, cell)] {
            if let Some(group) = groups.get_mut(&at) {
                group.remove(number);
                if group.members.is_empty() {
                    groups.remove(&at);
                }
            }
        }
    }

    /// Records an idle connection to a server, if the server is up.
    pub fn mark_idle_connection(&mut self, number: u32) {
        if self.locations.contains_key(&number) {
            self.idle_connections.insert(number);
        }
    }

    /// Records that there is no idle connection to a server.
    pub fn clear_idle_connection(&mut self, number: u32) {
        self.idle_connections.remove(number);
    }

    /// Numbers of the servers with an idle connection.
    pub fn with_idle_connection(&self) -> &[u32] {
        &self.idle_connections.members
    }

    /// Numbers of the servers of a group that may be sent to, or of all groups.
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
