//! How many agents the tests of one program run at once. Leases here last 600 ms: agents of other tests that take the processor
//! for so long would end them, and three owners lost in a row have a duty set aside until somebody lets it go on.

use std::cell::RefCell;
use std::sync::{Condvar, Mutex};
use std::thread::available_parallelism;

/// So many for each core.
const AGENTS_A_CORE: usize = 2;

static OUT: Mutex<usize> = Mutex::new(0);
static LESS: Condvar = Condvar::new();

/// What the test on this thread has taken; given back when its thread ends.
struct Turn(usize);

impl Drop for Turn {
    fn drop(&mut self) {
        if let Ok(mut out) = OUT.lock() {
            *out -= self.0;
        }
        LESS.notify_all();
    }
}

thread_local! {
    static TURN: RefCell<Option<Turn>> = const { RefCell::new(None) };
}

/// Waits until so many more may run, or none does. Each test has a thread and a runtime of its own, which it holds up alone.
pub fn take(agents: usize) {
    let most = AGENTS_A_CORE * available_parallelism().map_or(1, usize::from);
    TURN.with(|turn| {
        // One that starts another fleet has done with its last.
        turn.take();
        let out = OUT.lock().expect("whole");
        let mut out = LESS.wait_while(out, |out| *out > 0 && *out + agents > most).expect("whole");
        *out += agents;
        turn.replace(Some(Turn(agents)));
    });
}
