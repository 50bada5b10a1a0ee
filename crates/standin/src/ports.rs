//! Allocates ports for programs that start later, and starts programs so that none keeps such a port by
//! accident.
//!
//! A port is probed by binding it. A program that another thread starts at that moment inherits the socket
//! until its `exec` and holds the port for some ms longer, so that the intended program cannot bind it.
//! Therefore no program is started while a port is probed.

use std::io;
use std::net::{IpAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use tokio::process::{Child, Command};

/// Locked while a port is probed and while a program is started.
static PROBE_OR_START: Mutex<()> = Mutex::new(());

/// Returns a port of this address that is free for TCP and UDP. All such ports are below 30,000, and those
/// that the system assigns for port 0 are above, so that the system does not assign one of them in between.
/// Successive calls in one process return different ports, until the 20,000 candidates repeat.
///
/// # Errors
/// When 1,000 candidates in a row cannot be bound.
pub(crate) fn free_port(ip: IpAddr) -> Result<u16, String> {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _start_guard = PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner);
    let mut last_error = None;
    for _ in 0..1000 {
        let n = std::process::id().wrapping_mul(331).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + n % PORT_COUNT) as u16;
        match TcpListener::bind((ip, port)).and_then(|_| UdpSocket::bind((ip, port))) {
            Ok(_) => return Ok(port),
            Err(e) => last_error = Some(e),
        }
    }
    Err(format!("cannot find a free port at {ip}: {}", last_error.map_or(String::new(), |e| e.to_string())))
}

/// Starts a program; its `exec` is done when this returns.
///
/// # Errors
/// When the program cannot be started.
pub(crate) fn start(command: &mut Command) -> io::Result<Child> {
    let _probe_guard = PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;
    use std::sync::atomic::AtomicBool;

    #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
    async fn free_port_returns_bindable_ports_while_programs_start() {
        let ip = Ipv4Addr::new(127, 63, 0, 1).into();
        let done = std::sync::Arc::new(AtomicBool::new(false));
        let start_programs = |_| {
            let done = done.clone();
            tokio::spawn(async move {
                while !done.load(Ordering::Relaxed) {
                    let mut child = start(&mut Command::new("true")).expect("started");
                    let _ = child.wait().await;
                }
            })
        };
        let starters: Vec<_> = (0..3).map(start_programs).collect();
        let probe_task = tokio::task::spawn_blocking(move || {
            (0..5000).filter(|_| UdpSocket::bind((ip, free_port(ip).expect("a port"))).is_err()).count()
        });
        let bind_failures = probe_task.await.expect("ran");
        done.store(true, Ordering::Relaxed);
        for starter in starters {
            starter.await.expect("ran");
        }
        assert_eq!(bind_failures, 0, "of 5000");
    }
}
