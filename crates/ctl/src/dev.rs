//! `frostctl dev`: runs a local cluster on one machine until a signal arrives, with load if asked for.
//! Programs of the cluster that end are restarted; all of them end when this process ends, however it ends.

use crate::load::{LoadOptions, ReportOptions, RunningLoad};
use frostvale_load::report::StatusWords;
use frostvale_log::Format;
use frostvale_standin::formula_server::ServerOptions;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::postgres::{Login, Postgres};
use rustix::process::{Signal, getppid, set_parent_process_death_signal};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

/// Arguments of `frostctl dev`.
#[derive(clap::Args)]
pub struct Args {
    /// Number of gatekeepers, 1 to 100.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=100))]
    gatekeepers: u8,
    /// Number of formula servers, 1 to 100.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u8).range(1..=100))]
    servers: u8,
    /// Load in requests per second over RESP2 and gRPC together, up to 20000; without it no load is
    /// generated.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    load: Option<u32>,
    #[command(flatten)]
    shape: LoadOptions,
    #[command(flatten)]
    show: ReportOptions,
    /// File that is written once all parts serve, with their addresses as JSON.
    #[arg(long, value_name = "FILE")]
    ready_file: Option<PathBuf>,
    /// Where plans and use are stored: `sqlite`, in the cluster's folder, `stand-in`, a PostgreSQL stand-in,
    /// or a postgres:// URL.
    #[arg(long, value_name = "PLACE", default_value = "sqlite")]
    record: String,
    /// File that holds the password for the URL.
    #[arg(long, value_name = "FILE")]
    password_file: Option<PathBuf>,
    /// Folder for configurations, sockets and logs, which is kept. Without it a temporary folder is used and
    /// removed at the end.
    #[arg(long, value_name = "FOLDER")]
    folder: Option<PathBuf>,
}

/// Arguments of the hidden command `with-parent`: the parent's process id, and a program with its arguments.
#[derive(clap::Args)]
pub struct WithParent {
    parent: u32,
    #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
    command: Vec<String>,
}

/// Replaces this process by a program that the kernel kills when its parent ends, however the parent ends.
pub fn with_parent(args: &WithParent) -> Result<ExitCode, String> {
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|e| format!("cannot set the parent death signal: {e}"))?;
    // The parent may have ended before the signal was set, and then no signal is sent.
    if getppid().is_none_or(|pid| pid.as_raw_nonzero().get().unsigned_abs() != args.parent) {
        return Err("cannot start the program: its parent has ended".into());
    }
    let (program, rest) = args.command.split_first().ok_or("cannot start a program: none is given")?;
    let error = std::process::Command::new(program).args(rest).exec();
    Err(format!("cannot execute {program}: {error}"))
}

/// Runs the cluster until its duration is over or SIGTERM, SIGINT or SIGHUP arrives.
pub async fn run(args: Args, log_format: Format) -> Result<ExitCode, String> {
    let mut term =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot install the handler of SIGTERM: {e}"))?;
    let mut int =
        signal(SignalKind::interrupt()).map_err(|e| format!("cannot install the handler of SIGINT: {e}"))?;
    let mut hup =
        signal(SignalKind::hangup()).map_err(|e| format!("cannot install the handler of SIGHUP: {e}"))?;
    let frostctl = std::env::current_exe()
        .map_err(|e| format!("cannot find the path of the running executable: {e}"))?;
    let launcher = vec![frostctl.display().to_string(), "with-parent".into(), std::process::id().to_string()];
    let temporary;
    let folder = match &args.folder {
        Some(folder) => folder.clone(),
        None => {
            temporary =
                TemporaryFolder(std::env::temp_dir().join(format!("frostvale-dev-{}", std::process::id())));
            temporary.0.clone()
        }
    };
    std::fs::create_dir_all(&folder).map_err(|e| format!("cannot use --folder {}: {e}", folder.display()))?;
    let folder =
        folder.canonicalize().map_err(|e| format!("cannot use --folder {}: {e}", folder.display()))?;
    let (url, password_file, _stand_in) = prepare_record(&args, &folder).await?;
    let password = password_file.map_or(String::new(), |p| format!("password_file = {p:?}\n"));
    let spool = folder.join("spool.db");
    let options = ClusterOptions {
        gatekeeper_settings: "[usage]\n".into(),
        agent_settings: format!("[record]\nurl = {url:?}\n{password}spool = {spool:?}\n"),
        gatekeepers: usize::from(args.gatekeepers),
        servers: usize::from(args.servers),
        formula: ServerOptions { work: formula_duration(&args), ids: false, ..ServerOptions::default() },
        launcher,
        log_format: if log_format == Format::Json { "json" } else { "text" }.into(),
        folder: Some(folder),
        ..ClusterOptions::default()
    };
    if let Some(file) = &args.ready_file {
        // The file of an earlier cluster would name addresses that are no longer in use.
        let _ = std::fs::remove_file(file);
    }
    let mut cluster = tokio::select! {
        cluster = LocalCluster::start(options) => cluster?,
        _ = term.recv() => return Ok(ExitCode::SUCCESS),
        _ = int.recv() => return Ok(ExitCode::SUCCESS),
        _ = hup.recv() => return Ok(ExitCode::SUCCESS),
    };
    print_addresses(&cluster);
    println!("  {} record --record {url} status", frostctl.display());
    if let Some(file) = &args.ready_file {
        write_atomically(file, &cluster.ready_json().to_string())?;
    }
    let mut running_load = match args.load {
        Some(rate) => {
            let gatekeepers = cluster.gatekeepers.iter().map(|g| g.resp).collect();
            Some(RunningLoad::start(
                f64::from(rate),
                &args.shape,
                &args.show,
                gatekeepers,
                Some(cluster.rls),
            )?)
        }
        None => None,
    };
    let mut tick = interval(Duration::from_secs(1));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let started = tokio::time::Instant::now();
    let duration_over = async {
        match args.show.duration {
            Some(seconds) => tokio::time::sleep_until(started + Duration::from_secs(seconds.into())).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(duration_over);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => break,
            () = &mut duration_over => break,
            _ = tick.tick() => {
                frostvale_log::flush_summaries();
                // A signal ends the cluster also while a part of it is being restarted.
                tokio::select! {
                    _ = term.recv() => break,
                    _ = int.recv() => break,
                    _ = hup.recv() => break,
                    () = restart_ended(&mut cluster) => {}
                }
                if let Some(running_load) = &mut running_load {
                    let status = status_words(&cluster).await;
                    running_load.show_second(status);
                }
            }
        }
    }
    let report_result = match running_load {
        Some(running_load) => {
            let status = status_words(&cluster).await;
            running_load.finish(status).await
        }
        None => Ok(()),
    };
    println!("The cluster stops.");
    cluster.stop().await;
    if let Some(file) = &args.ready_file {
        let _ = std::fs::remove_file(file);
    }
    report_result.map(|()| ExitCode::SUCCESS)
}

/// Returns the time that a formula takes: such that the servers' capacity is 1.5 times the load, within 2 to
/// 20 ms.
fn formula_duration(args: &Args) -> Duration {
    let cores = ServerOptions::default().cores as f64 * f64::from(args.servers);
    let seconds = cores / (1.5 * f64::from(args.load.unwrap_or(1)));
    Duration::from_secs_f64(seconds.clamp(0.002, 0.020))
}

/// Returns the state of servers, links and the record as (name, text), for the live view.
async fn status_words(cluster: &LocalCluster) -> StatusWords {
    let work: Vec<(u64, u64)> =
        cluster.servers.iter().map(frostvale_standin::formula_server::FormulaServer::work_counts).collect();
    let (max_answered, min_answered) = (work.iter().map(|w| w.1).max(), work.iter().map(|w| w.1).min());
    let servers = format!(
        "{} ready, {} in work, answered {} to {} each",
        work.len(),
        work.iter().map(|w| w.0).sum::<u64>(),
        min_answered.unwrap_or(0),
        max_answered.unwrap_or(0)
    );
    let mut all = vec![("servers".to_string(), servers)];
    all.extend(crate::status::summary_lines(&cluster.control).await);
    all
}

/// A folder that is removed when this value is dropped.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Prepares the store of record: returns its URL, the file that holds its password, and the stand-in server
/// if used.
async fn prepare_record(
    args: &Args,
    folder: &Path,
) -> Result<(String, Option<PathBuf>, Option<Postgres>), String> {
    match args.record.as_str() {
        "sqlite" => Ok((format!("sqlite:{}", folder.join("record.db").display()), None, None)),
        "stand-in" => {
            let file = folder.join("password");
            std::fs::write(&file, "town").map_err(|e| format!("cannot write {}: {e}", file.display()))?;
            let ip = std::net::Ipv4Addr::LOCALHOST.into();
            let server = Postgres::start(ip, &folder.join("postgres.db"), "town", Login::Scram).await?;
            let url = format!("postgres://agent@{}/frostvale", server.at);
            Ok((url, Some(file), Some(server)))
        }
        url => Ok((url.to_string(), args.password_file.clone(), None)),
    }
}

/// Writes a file under another name and renames it, so that a reader never sees a part of it.
fn write_atomically(file: &Path, text: &str) -> Result<(), String> {
    let temporary = file.with_extension("part");
    let result = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, file));
    result.map_err(|e| format!("cannot write --ready-file {}: {e}", file.display()))
}

/// Restarts gatekeepers and the agent that have ended, so that any of them can be killed to try out the
/// failure.
async fn restart_ended(cluster: &mut LocalCluster) {
    for k in 0..cluster.gatekeepers.len() {
        if let Some(exit_status) = cluster.gatekeepers[k].process.has_ended() {
            let name = cluster.gatekeepers[k].name.clone();
            tracing::warn!(
                instance = name,
                "{name} has ended ({exit_status}): its requests were lost, restarting it"
            );
            if let Err(e) = cluster.restart_gatekeeper(k).await {
                tracing::error!("{e}");
            }
        }
    }
    if let Some(exit_status) =
        cluster.agent.as_mut().and_then(frostvale_standin::local_cluster::Process::has_ended)
    {
        tracing::warn!("the agent has ended ({exit_status}): RESP2 traffic continues, restarting it");
        if let Err(e) = cluster.start_agent().await {
            tracing::error!("{e}");
        }
    }
}

/// Prints the addresses of all parts, and commands to try them.
fn print_addresses(cluster: &LocalCluster) {
    let exe = std::env::current_exe().map_or("frostctl".into(), |e| e.display().to_string());
    println!("The cluster serves; its files are in {}. Ctrl-C stops all of it.", cluster.folder.display());
    for g in &cluster.gatekeepers {
        println!("  {:<12} RESP2 at {}, link at {}", g.name, g.resp, g.socket.display());
    }
    println!(
        "  {:<12} rate limits (gRPC) at {}, control at {}",
        "agent",
        cluster.rls,
        cluster.control.display()
    );
    println!("  {:<12} {} of them, from {}", "servers", cluster.servers.len(), cluster.servers[0].at);
    println!("  {:<12} at {}", "discovery", cluster.discovery.at);
    println!("  {:<12} at {}", "counter", cluster.counter.at);
    println!("To try them:");
    println!("  {exe} ask --gatekeeper {} --plan tienda", cluster.gatekeepers[0].resp);
    println!("  {exe} check --rls {} --plan tienda", cluster.rls);
    println!("  {exe} status --agent {}", cluster.control.display());
    println!("  curl -s http://{}/v1/servers", cluster.discovery.at);
    println!("  curl -s -X POST 'http://{}/v1/count/mixes?add=1&ttl_ms=4000'", cluster.counter.at);
}
