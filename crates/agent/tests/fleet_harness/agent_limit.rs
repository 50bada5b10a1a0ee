//! Limits the number of agents that the tests of one program run at once. Leases in these tests last 600 ms:
//! agents of other tests that keep the processor busy for that long would let them expire, and a duty that
//! loses three owners in a row is set aside until an operator resumes it.

use std::cell::RefCell;
use std::sync::{Condvar, Mutex};
use std::thread::available_parallelism;

/// Agents allowed per processor core.
const MAX_AGENTS_PER_CORE: usize = 2;

/// Agents that running tests hold at present.
static RUNNING_AGENTS: Mutex<usize> = Mutex::new(0);
/// Notified when a test gives agents back.
static AGENTS_RELEASED: Condvar = Condvar::new();

/// The number of agents that the test of this thread holds; given back when the thread ends.
struct Permit(usize);

impl Drop for Permit {
    fn drop(&mut self) {
        if let Ok(mut running) = RUNNING_AGENTS.lock() {
            *running -= self.0;
        }
        AGENTS_RELEASED.notify_all();
    }
}

thread_local! {
    static PERMIT: RefCell<Option<Permit>> = const { RefCell::new(None) };
}

/// Blocks until this many more agents may run, or until none runs, and takes them. Each test has its own
/// thread and runtime, so that it blocks no other test.
pub fn acquire(agents: usize) {
    let max_agents = MAX_AGENTS_PER_CORE * available_parallelism().map_or(1, usize::from);
    PERMIT.with(|permit| {
        // A test that starts another fleet no longer uses its former one.
        permit.take();
        let running = RUNNING_AGENTS.lock().expect("whole");
        let mut running = AGENTS_RELEASED
            .wait_while(running, |running| *running > 0 && *running + agents > max_agents)
            .expect("whole");
        *running += agents;
        permit.replace(Some(Permit(agents)));
    });
}
