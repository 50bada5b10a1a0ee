//! Memory: bounds on what all connections of a kind hold together, since each alone may be within its own.

use std::cell::Cell;
use std::rc::Rc;

/// What may be held of one kind by all together.
#[derive(Clone)]
pub struct Budget {
    used: Rc<Cell<usize>>,
    most: usize,
}

/// What one holder has of it; given back when it goes.
pub struct Share {
    budget: Budget,
    own: Cell<usize>,
}

impl Budget {
    pub fn new(most: usize) -> Budget {
        Budget { used: Rc::default(), most }
    }

    pub fn share(&self) -> Share {
        Share { budget: self.clone(), own: Cell::new(0) }
    }
}

impl Share {
    /// Tells what is held now. False if all together are past the bound, and this one holds more than `free`,
    /// which is left to everyone: then it is the one to give way.
    pub fn set(&self, bytes: usize, free: usize) -> bool {
        let used = &self.budget.used;
        used.set(used.get() - self.own.replace(bytes) + bytes);
        bytes <= free || used.get() <= self.budget.most
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0, 0);
    }
}

#[cfg(test)]
mod tests;
