//! Ports for programs that start later, and starting programs so that none holds such a port by accident.
//!
//! Whether a port is free is found by binding it. A program that is started by another thread just then inherits the
//! socket until its `exec`, and holds the port for some ms longer: the program it was meant for can't bind it. So no
//! program is started while a port is probed.

use std::io;
use std::net::{IpAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use tokio::process::{Child, Command};

/// Held while a port is probed, and while a program is started.
static PROBE_OR_START: Mutex<()> = Mutex::new(());

/// A free port of this address, for TCP and for UDP. Those that the system deals out to whoever binds port 0 lie above
/// all of these, so that none of these is given away in between; no two calls in one process give the same.
pub(crate) fn free_port(ip: IpAddr) -> Result<u16, String> {
    const FROM: u32 = 10_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _nothing_starts = PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner);
    let mut last = None;
    for _ in 0..1000 {
        let n = std::process::id().wrapping_mul(331).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FROM + n % COUNT) as u16;
        match TcpListener::bind((ip, port)).and_then(|_| UdpSocket::bind((ip, port))) {
            Ok(_) => return Ok(port),
            Err(e) => last = Some(e),
        }
    }
    Err(format!("no free port at {ip}: {}", last.map_or(String::new(), |e| e.to_string())))
}

/// Starts a program; it has begun to run when this returns.
///
/// # Errors
/// As the system says.
pub(crate) fn start(command: &mut Command) -> io::Result<Child> {
    let _nothing_is_probed = PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;
    use std::sync::atomic::AtomicBool;

    #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
    async fn a_port_that_was_given_can_be_bound_at_once_while_programs_start() {
        let ip = Ipv4Addr::new(127, 63, 0, 1).into();
        let done = std::sync::Arc::new(AtomicBool::new(false));
        let starts = |_| {
            let done = done.clone();
            tokio::spawn(async move {
                while !done.load(Ordering::Relaxed) {
                    let mut child = start(&mut Command::new("true")).expect("started");
                    let _ = child.wait().await;
                }
            })
        };
        let starters: Vec<_> = (0..3).map(starts).collect();
        let probing = tokio::task::spawn_blocking(move || {
            (0..5000).filter(|_| UdpSocket::bind((ip, free_port(ip).expect("a port"))).is_err()).count()
        });
        let taken = probing.await.expect("ran");
        done.store(true, Ordering::Relaxed);
        for starter in starters {
            starter.await.expect("ran");
        }
        assert_eq!(taken, 0, "of 5000");
    }
}
