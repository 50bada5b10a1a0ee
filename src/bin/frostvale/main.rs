//! A gatekeeper on real sockets: clients in front, workers behind, the decisions in the library.
//! Start, signals and shutdown.

mod budget;
mod clients;
mod config;
mod discovery;
mod gateway;
mod peers;
mod resp;
mod workers;

use clients::Clients;
use config::Config;
use gateway::Gateway;
use peers::Peers;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How long discovery may be silent at the start before the known list has to do.
const FIRST_LIST: Duration = Duration::from_secs(1);
/// New connections go on coming for up to 0.4 s after SIGTERM.
const FAREWELL: Duration = Duration::from_millis(500);
/// The parts of the descriptors, in hundredths, that clients and workers may hold: the rest is for the
/// listener, discovery, notes and what is about to be closed. Clients hold a third at most for requests, and one
/// at its own limit can't open a connection before an idle one of its is closed: so room is made from there on.
const CLIENT_PART: usize = 33;
const WORKER_PART: usize = 45;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"));
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("frostvale: {what}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    // Before all else: a signal that nobody awaits ends the process.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let mut config = Config::read()?;
    let (name, me) = (std::mem::take(&mut config.name), config.settings.me);
    let listen = config.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let listen = listener.local_addr().unwrap_or(listen);
    let peers = match config.peer_listen {
        Some(at) => {
            let peers = Peers::bind(at, std::mem::take(&mut config.peers)).await;
            Some(peers.map_err(|e| format!("cannot take notes at {at}: {e}"))?)
        }
        None => None,
    };
    let known = config.known.take();
    let (moved, discovery) = watch::channel(config.discovery);
    let clients = Clients::new(config.sockets * CLIENT_PART / 100, config.memory_part());
    let places = config.sockets * WORKER_PART / 100;
    let gateway = Gateway::new(config, peers.clone(), places).map_err(|e| e.to_string())?;
    let rev = known.as_ref().map(|list| list.rev);
    if let Some(list) = known {
        gateway.borrow_mut().listed(list);
    }
    let news = Rc::new(Notify::new());
    gateway.borrow_mut().news = news.clone();
    if let Some(peers) = peers {
        spawn_local(peers.listen(gateway.clone(), me));
    }
    spawn_local(Gateway::keep_time(gateway.clone()));
    spawn_local(clients.clone().keep_time());
    spawn_local(discovery::follow(gateway.clone(), discovery, rev));
    spawn_local(async move {
        while hup.recv().await.is_some() {
            match Config::read_again() {
                // Sent also where it is the same: the whole list is asked for once more.
                Ok(config) => {
                    eprintln!("frostvale: configuration read again; discovery at {}", config.discovery);
                    let _ = moved.send(config.discovery);
                }
                Err(what) => eprintln!("frostvale: the configuration in use stays: {what}"),
            }
        }
    });
    // Nothing is accepted before there is somebody to send it to.
    let _ = timeout(FIRST_LIST, news.notified()).await;
    eprintln!("frostvale: {name} serves at {listen}");

    tokio::select! {
        () = clients.clone().accept(&listener, gateway.clone()) => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    eprintln!("frostvale: {name} stops");
    let _ = timeout(FAREWELL, clients.clone().accept(&listener, gateway.clone())).await;
    drop(listener);
    clients.close_soon();
    while !clients.is_empty() {
        clients.one_left().await;
    }
    // The last attempts of clients that have left need no answer; the last bytes to clients are the kernel's.
    while !gateway.borrow().settled() {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
