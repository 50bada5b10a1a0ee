//! A gatekeeper on real sockets: clients in front, workers behind, the decisions in the library.
//! Start, signals and shutdown.

mod applied_versions;
mod backoff;
mod budget;
mod client;
mod client_request;
mod clients;
mod config;
mod discovery;
mod endpoint_update;
mod epoch_fences;
mod event_loop;
mod gatekeeper;
mod link;
mod local_settings;
mod metrics;
mod peers;
mod receive_time;
mod resp;
mod run_queue;
mod shutdown;
mod usage;
mod workers;
mod zones;

use applied_versions::ConfigDigests;
use clients::Clients;
use config::Config;
use frostvale_outside::OutsidePolicy;
use gatekeeper::{Gatekeeper, Shared};
use link::Links;
use local_settings::LocalSettings;
use metrics::Metrics;
use peers::Peers;
use run_queue::RunQueue;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How long discovery may be silent at the start before the known list has to do.
const FIRST_LIST: Duration = Duration::from_secs(1);
/// How often the counts are logged, where they have changed.
const METRICS_PERIOD: Duration = Duration::from_secs(60);
/// How often lines that were merged are told of.
const LOG_TURN: Duration = Duration::from_secs(1);
/// The parts of the descriptors, in hundredths, that clients and workers may hold: the rest is for the
/// listener, discovery, notes and what is about to be closed. Clients hold a third at most for requests, and one
/// at its own limit can't open a connection before an idle one of its is closed: so room is made from there on.
const CLIENT_PART: usize = 33;
const WORKER_PART: usize = 45;

/// Both files, as they are to be used.
fn load_settings(again: bool) -> Result<(Config, LocalSettings), String> {
    let config = if again { Config::read_again()? } else { Config::read()? };
    let extra = LocalSettings::read(&config.conf)?;
    Ok((config, extra))
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {}
        ["--check"] => match load_settings(false) {
            Ok((config, _)) => {
                println!("frostvale: the configuration of {} is sound", config.name);
                return ExitCode::SUCCESS;
            }
            Err(what) => {
                eprintln!("frostvale: {what}");
                return ExitCode::FAILURE;
            }
        },
        _ => {
            eprintln!("frostvale: usage: frostvale [--check], with GW_CONFIG and perhaps GW_EXTRA set");
            return ExitCode::FAILURE;
        }
    }
    let run_queue = Arc::new(RunQueue::open());
    let wakes = run_queue.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_unpark(move || wakes.record_wakeup())
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"));
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run(run_queue))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("frostvale: {what}");
            ExitCode::FAILURE
        }
    }
}

async fn run(run_queue: Arc<RunQueue>) -> Result<(), String> {
    // Before all else: a signal that nobody awaits ends the process.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let (mut config, extra) = load_settings(false)?;
    let (name, me) = (std::mem::take(&mut config.name), config.settings.own_index);
    frostvale_log::init("frostvale", ("instance", &name), extra.log.format, &extra.log.level)?;
    let listen = config.listen;
    let peers = match config.peer_listen {
        Some(at) => {
            let peers = Peers::bind(at, std::mem::take(&mut config.peers), config.peers_all).await;
            Some(peers.map_err(|e| format!("cannot take notes at {at}: {e}"))?)
        }
        None => None,
    };
    let door = extra.link.as_ref().map(|link| frostvale_link::node::bind(&link.socket)).transpose()?;
    let seed = config.seed;
    let known = config.known.take();
    let platform = config.digest();
    let (moved, discovery) = watch::channel(config.discovery);
    let clients = Clients::new(config.sockets * CLIENT_PART / 100, config.memory_part(), run_queue.clone());
    let places = config.sockets * WORKER_PART / 100;
    let gatekeeper = Gatekeeper::new(config, peers.clone(), places).map_err(|e| e.to_string())?;
    let consult = move |extra: &LocalSettings| {
        let settings = extra.outside.clone();
        settings.map(|s| OutsidePolicy::new(s, seed)).transpose().map_err(|e| format!("outside.{e}"))
    };
    gatekeeper.borrow_mut().set_outside(consult(&extra)?);
    let (agents, socket) = extra.link.map_or((0, PathBuf::new()), |link| (link.agents, link.socket));
    let audit = extra.audit.as_ref().map(|part| (part.report_interval(), part.fault_keeps_plans));
    let fixed = ConfigDigests { platform: platform.clone(), own: extra.digest.clone() };
    let links = door.map(|door| {
        let zones = extra.zones.is_some();
        let keeps = audit.is_some_and(|(_, keeps)| keeps);
        let links = Links::new(gatekeeper.clone(), name.clone(), socket, extra.clock_ahead_ms, zones, keeps);
        if let Some((every, _)) = audit {
            spawn_local(links.clone().run_version_reporting(every, fixed));
        }
        if let Some(zones) = &extra.zones {
            spawn_local(links.clone().run_zone_reporting(zones.report_interval()));
        }
        if let Some(usage) = &extra.usage {
            gatekeeper.borrow_mut().enable_usage(extra.clock_ahead_ms);
            spawn_local(links.clone().run_usage_reporting(usage.report_interval()));
        }
        spawn_local(frostvale_link::node::serve(door, links.clone(), agents));
        links
    });
    if let Some(list) = known
        && let Err(error) = gatekeeper::apply_known(&gatekeeper, list.get().as_bytes())
    {
        tracing::warn!("the known endpoints are passed over: {error}");
    }
    // From here on the kernel takes connections, and their requests' time runs.
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let listen = listener.local_addr().unwrap_or(listen);
    run_queue.record_wakeup();
    let news = Rc::new(Notify::new());
    gatekeeper.borrow_mut().first_list = news.clone();
    if let Some(peers) = peers {
        let heard = gatekeeper.clone();
        spawn_local(peers.listen(me, move |from, text| heard.borrow_mut().receive_peer_message(from, text)));
    }
    spawn_local(Gatekeeper::keep_time(gatekeeper.clone()));
    spawn_local(clients.clone().run_timeout_checks());
    spawn_local(event_loop::watch(gatekeeper.clone()));
    spawn_local(log_metrics(gatekeeper.clone()));
    spawn_local(async {
        loop {
            sleep(LOG_TURN).await;
            frostvale_log::flush_summaries();
        }
    });
    // Gatekeepers may have been given one seed.
    let backoff = backoff::Backoff::new(seed ^ u64::from(me) << 32);
    spawn_local(discovery::follow(gatekeeper.clone(), discovery, backoff));
    let reloaded = gatekeeper.clone();
    let mut outside = extra.outside;
    let (heard, mut own) = (links.clone(), extra.digest);
    spawn_local(async move {
        while hup.recv().await.is_some() {
            let fresh = load_settings(true).and_then(|(config, extra)| Ok((config, consult(&extra)?, extra)));
            match fresh {
                // Sent also where it is the same: the whole list is asked for once more.
                Ok((config, fresh, extra)) => {
                    tracing::info!("configuration read again; discovery at {}", config.discovery);
                    let _ = moved.send(config.discovery);
                    // All but these waits for a restart.
                    let discovery = config.discovery;
                    if extra.outside != outside {
                        own = applied_versions::digest(format!("{own} {}", extra.digest).as_bytes());
                    }
                    let platform = applied_versions::digest(format!("{platform} {discovery}").as_bytes());
                    if let Some(links) = &heard {
                        links.set_config_digests(ConfigDigests { platform, own: own.clone() });
                    }
                    // The breaker's state is kept where nothing has changed.
                    if extra.outside != outside {
                        outside = extra.outside;
                        reloaded.borrow_mut().set_outside(fresh);
                    }
                }
                Err(what) => tracing::warn!("the configuration in use stays: {what}"),
            }
        }
    });
    let stop = async {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    serve_until(stop, &clients, &listener, &gatekeeper, &news, &format!("{name} serves at {listen}")).await;
    tracing::info!("{name} stops");
    if let Some(links) = &links {
        links.announce_stop();
    }
    shutdown::graceful(&clients, listener, &gatekeeper).await;
    // The last attempts of clients that have left need no answer; the last bytes to clients are the kernel's.
    while !gatekeeper.borrow().is_settled() {
        sleep(Duration::from_millis(5)).await;
    }
    // Nothing is sent on any more, so nothing more can become use.
    if let Some(links) = &links {
        links.send_final_report().await;
    }
    gatekeeper.borrow().metrics.log();
    frostvale_log::finish();
    Ok(())
}

/// Takes in clients until `stop`. Nothing goes on to servers before the first list, or until discovery has been silent for
/// too long; `serving` is logged then.
async fn serve_until(
    stop: impl Future<Output = ()>,
    clients: &Rc<Clients>,
    listener: &TcpListener,
    gatekeeper: &Shared,
    first_list: &Notify,
    serving: &str,
) {
    let begin = async {
        let _ = timeout(FIRST_LIST, first_list.notified()).await;
        gatekeeper.borrow_mut().begin_serving();
        tracing::info!("{serving}");
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = stop => {}
        () = clients.clone().accept(listener, gatekeeper.clone()) => {}
        () = begin => {}
    }
    // What is held is answered before the end, by what is known.
    gatekeeper.borrow_mut().begin_serving();
}

/// Logs the counts now and then, where they have changed.
async fn log_metrics(gatekeeper: Shared) {
    let mut logged = Metrics::default();
    loop {
        sleep(METRICS_PERIOD).await;
        let metrics = gatekeeper.borrow().metrics.clone();
        if metrics != logged {
            metrics.log();
            logged = metrics;
        }
    }
}
