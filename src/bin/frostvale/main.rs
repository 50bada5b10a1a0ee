//! The gatekeeper process: accepts clients, sends their requests on to workers, and asks the decision library
//! about each request. This file holds start, reload, signals and shutdown.

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
mod fair_share;
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
use fair_share::FairShare;
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

/// Time at the start after which the known endpoint list is used if discovery has not delivered one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the counts are logged if they have changed.
const METRICS_PERIOD: Duration = Duration::from_secs(60);
/// Interval at which summaries of merged log lines are written.
const LOG_SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the file descriptors, in percent, that clients may hold. What clients and workers leave is for
/// the listener, discovery, peer messages and connections that are being closed. Clients hold at most a third
/// of them for requests. A client at its own limit cannot open a connection before one of its idle
/// connections is closed, so idle ones are evicted from this share on.
const CLIENT_SOCKETS_PERCENT: usize = 33;
/// Share of the file descriptors, in percent, that connections to workers may hold.
const WORKER_SOCKETS_PERCENT: usize = 45;

/// Reads and checks both settings files. `reload` is false at the start of the process.
fn load_settings(reload: bool) -> Result<(Config, LocalSettings), String> {
    let config = if reload { Config::reload()? } else { Config::read()? };
    let local = LocalSettings::read(&config.conf)?;
    Ok((config, local))
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
            Err(error) => {
                eprintln!("frostvale: {error}");
                return ExitCode::FAILURE;
            }
        },
        _ => {
            eprintln!("frostvale: usage: frostvale [--check], with GW_CONFIG and optionally GW_EXTRA set");
            return ExitCode::FAILURE;
        }
    }
    let run_queue = Arc::new(RunQueue::open());
    let wakeups = run_queue.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_unpark(move || wakeups.record_wakeup())
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"));
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run(run_queue))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("frostvale: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(run_queue: Arc<RunQueue>) -> Result<(), String> {
    // Handlers are installed first: a signal without one ends the process.
    let mut sighup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let mut sigterm = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let (mut config, local) = load_settings(false)?;
    let (name, own_index) = (std::mem::take(&mut config.name), config.settings.own_index);
    frostvale_log::init("frostvale", ("instance", &name), local.log.format, &local.log.level)?;
    let listen = config.listen;
    let peers = match config.peer_listen {
        Some(at) => {
            let peers = Peers::bind(at, std::mem::take(&mut config.peers), config.peers_all).await;
            Some(peers.map_err(|e| format!("cannot listen for peer messages at {at}: {e}"))?)
        }
        None => None,
    };
    let link_listener =
        local.link.as_ref().map(|link| frostvale_link::node::bind(&link.socket)).transpose()?;
    let seed = config.seed;
    let known = config.known.take();
    let platform = config.digest();
    let (discovery_changed, discovery) = watch::channel(config.discovery);
    // Separate, so that discovery and peers never wait behind clients.
    let (clients_share, inputs_share) =
        (FairShare::new(run_queue.clone()), FairShare::new(run_queue.clone()));
    let clients = Clients::new(
        config.sockets * CLIENT_SOCKETS_PERCENT / 100,
        config.memory_budget(),
        run_queue.clone(),
        &clients_share,
    );
    let max_worker_connections = config.sockets * WORKER_SOCKETS_PERCENT / 100;
    let gatekeeper =
        Gatekeeper::new(config, peers.clone(), max_worker_connections).map_err(|e| e.to_string())?;
    let new_outside_policy = move |local: &LocalSettings| {
        let settings = local.outside.clone();
        settings.map(|s| OutsidePolicy::new(s, seed)).transpose().map_err(|e| format!("outside.{e}"))
    };
    gatekeeper.borrow_mut().set_outside(new_outside_policy(&local)?);
    let (agents, socket) = local.link.map_or((0, PathBuf::new()), |link| (link.agents, link.socket));
    let audit = local.audit.as_ref().map(|audit| (audit.report_interval(), audit.fault_keeps_plans));
    let digests = ConfigDigests { platform: platform.clone(), own: local.digest.clone() };
    let links = link_listener.map(|link_listener| {
        let zones = local.zones.is_some();
        let fault_keeps_plans = audit.is_some_and(|(_, fault_keeps_plans)| fault_keeps_plans);
        let links = Links::new(
            gatekeeper.clone(),
            name.clone(),
            socket,
            local.clock_ahead_ms,
            zones,
            fault_keeps_plans,
        );
        if let Some((interval, _)) = audit {
            spawn_local(links.clone().run_version_reporting(interval, digests));
        }
        if let Some(zones) = &local.zones {
            spawn_local(links.clone().run_zone_reporting(zones.report_interval()));
        }
        if let Some(usage) = &local.usage {
            gatekeeper.borrow_mut().enable_usage(local.clock_ahead_ms);
            spawn_local(links.clone().run_usage_reporting(usage.report_interval()));
        }
        spawn_local(frostvale_link::node::serve(link_listener, links.clone(), agents));
        links
    });
    if let Some(list) = known
        && let Err(error) = gatekeeper::apply_known(&gatekeeper, list.get().as_bytes())
    {
        tracing::warn!("cannot apply the known endpoint list: {error}");
    }
    // From here on the kernel accepts connections, and the deadlines of their requests run.
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let listen = listener.local_addr().unwrap_or(listen);
    run_queue.record_wakeup();
    let first_list = Rc::new(Notify::new());
    gatekeeper.borrow_mut().first_list = first_list.clone();
    if let Some(peers) = peers {
        let receiver = gatekeeper.clone();
        let intake = gatekeeper.borrow().settings.peer_intake_per_second;
        spawn_local(peers.listen(own_index, intake, inputs_share.add_source(), move |from, text| {
            receiver.borrow_mut().receive_peer_message(from, text)
        }));
    }
    spawn_local(Gatekeeper::keep_time(gatekeeper.clone()));
    spawn_local(clients.clone().run_timeout_checks());
    spawn_local(event_loop::watch(gatekeeper.clone()));
    spawn_local(log_metrics(gatekeeper.clone()));
    spawn_local(async {
        loop {
            sleep(LOG_SUMMARY_INTERVAL).await;
            frostvale_log::flush_summaries();
        }
    });
    // Several gatekeepers may have been given the same seed, so their index is mixed in.
    let backoff = backoff::Backoff::new(seed ^ u64::from(own_index) << 32);
    spawn_local(discovery::follow(gatekeeper.clone(), discovery, backoff, inputs_share.add_source()));
    let reloaded = gatekeeper.clone();
    let mut outside = local.outside;
    let (reporting, mut own) = (links.clone(), local.digest);
    spawn_local(async move {
        while sighup.recv().await.is_some() {
            let loaded = load_settings(true).and_then(|(config, mut local)| {
                local.renumber_outside_plans(&config.conf, &reloaded.borrow().conf);
                Ok((config, new_outside_policy(&local)?, local))
            });
            match loaded {
                // Sent even if the address is unchanged: the whole list is then fetched once more.
                Ok((config, policy, local)) => {
                    tracing::info!("configuration read again; discovery at {}", config.discovery);
                    let _ = discovery_changed.send(config.discovery);
                    // Only discovery's address and `outside` are applied by a reload; everything else needs a
                    // restart.
                    let discovery = config.discovery;
                    if local.outside != outside {
                        own = applied_versions::digest(format!("{own} {}", local.digest).as_bytes());
                    }
                    let platform = applied_versions::digest(format!("{platform} {discovery}").as_bytes());
                    if let Some(links) = &reporting {
                        links.set_config_digests(ConfigDigests { platform, own: own.clone() });
                    }
                    // Not replaced if unchanged, so that the circuit breaker keeps its state.
                    if local.outside != outside {
                        outside = local.outside;
                        reloaded.borrow_mut().set_outside(policy);
                    }
                }
                Err(error) => tracing::warn!("the configuration in use stays: {error}"),
            }
        }
    });
    let stop = async {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
    };
    serve_until(stop, &clients, &listener, &gatekeeper, &first_list, &format!("{name} serves at {listen}"))
        .await;
    tracing::info!("{name} stops");
    if let Some(links) = &links {
        links.announce_stop();
    }
    shutdown::graceful(&clients, listener, &gatekeeper).await;
    // Attempts of clients that have disconnected need no answer, but have to be settled. The kernel delivers
    // the last bytes to clients.
    while !gatekeeper.borrow().is_settled() {
        sleep(Duration::from_millis(5)).await;
    }
    // Nothing is sent to workers any more, so no further usage can be added to the final report.
    if let Some(links) = &links {
        links.send_final_report().await;
    }
    gatekeeper.borrow().metrics.log();
    frostvale_log::finish();
    Ok(())
}

/// Accepts clients until `stop` completes. No request goes to a server before the first endpoint list has
/// arrived or discovery has been silent for `FIRST_LIST_TIMEOUT`; `serving` is logged then.
async fn serve_until(
    stop: impl Future<Output = ()>,
    clients: &Rc<Clients>,
    listener: &TcpListener,
    gatekeeper: &Shared,
    first_list: &Notify,
    serving: &str,
) {
    let start_serving = async {
        let _ = timeout(FIRST_LIST_TIMEOUT, first_list.notified()).await;
        gatekeeper.borrow_mut().begin_serving();
        tracing::info!("{serving}");
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = stop => {}
        () = clients.clone().accept(listener, gatekeeper.clone()) => {}
        () = start_serving => {}
    }
    // Requests that still wait for a list are answered from the known endpoints before the end.
    gatekeeper.borrow_mut().begin_serving();
}

/// Logs the counts once per `METRICS_PERIOD` if they have changed.
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
