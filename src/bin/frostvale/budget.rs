//! Memory: bounds on what all connections of a kind hold together, since each alone may be within its own.

use std::cell::Cell;
use std::rc::Rc;

/// What may be held of one kind by all together.
#[derive(Clone)]
pub struct MemoryBudget {
    used: Rc<Cell<usize>>,
    most: usize,
}

/// What one holder has of it; given back when it goes.
pub struct MemoryShare {
    budget: MemoryBudget,
    own: Cell<usize>,
}

impl MemoryBudget {
    pub fn new(most: usize) -> MemoryBudget {
        MemoryBudget { used: Rc::default(), most }
    }

    pub fn new_share(&self) -> MemoryShare {
        MemoryShare { budget: self.clone(), own: Cell::new(0) }
    }
}

impl MemoryShare {
    /// Tells what is held now. False if all together are past the bound, and this one holds more than `free`,
    /// which is left to everyone: then it is the one to give way.
    pub fn update(&self, bytes: usize, free: usize) -> bool {
        let used = &self.budget.used;
        used.set(used.get() - self.own.replace(bytes) + bytes);
        bytes <= free || used.get() <= self.budget.most
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.update(0, 0);
    }
}

#[cfg(test)]
mod tests;
