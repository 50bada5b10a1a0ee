//! Memory budgets: limits on the memory that all connections of a kind hold together. Each connection has its
//! own limit as well, but many within theirs could still exhaust the memory.

use std::cell::Cell;
use std::rc::Rc;

/// A limit, in bytes, that is shared by all holders of one kind of buffer.
#[derive(Clone)]
pub struct MemoryBudget {
    used: Rc<Cell<usize>>,
    max_bytes: usize,
}

/// One holder's part of a budget, returned to it on drop.
pub struct MemoryShare {
    budget: MemoryBudget,
    /// Bytes that this holder has reported.
    held: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> MemoryBudget {
        MemoryBudget { used: Rc::default(), max_bytes }
    }

    /// Creates a share that holds nothing yet.
    pub fn new_share(&self) -> MemoryShare {
        MemoryShare { budget: self.clone(), held: Cell::new(0) }
    }
}

impl MemoryShare {
    /// Sets the number of bytes held now. Returns false if the budget is exceeded and this holder has more
    /// than `free` bytes, which every holder may always have: then this holder has to release its memory.
    pub fn update(&self, bytes: usize, free: usize) -> bool {
        let used = &self.budget.used;
        used.set(used.get() - self.held.replace(bytes) + bytes);
        bytes <= free || used.get() <= self.budget.max_bytes
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.update(0, 0);
    }
}

#[cfg(test)]
mod tests;
