//! The whole town on one machine.

use crate::load::{RunningLoad, Shape, Show};
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

/// What the town is to be.
#[derive(clap::Args)]
pub struct Args {
    /// Gatekeepers, 1 to 100.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=100))]
    gatekeepers: u8,
    /// Formula servers, 1 to 100.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u8).range(1..=100))]
    servers: u8,
    /// Requests a second by RESP2 and gRPC together, up to 20000; without it nothing is played.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    load: Option<u32>,
    #[command(flatten)]
    shape: Shape,
    #[command(flatten)]
    show: Show,
    /// Written once all serve: where everything is, as JSON.
    #[arg(long, value_name = "FILE")]
    ready_file: Option<PathBuf>,
    /// Keeps plans and use: `sqlite`, in the town's folder, `stand-in`, a PostgreSQL stand-in, or a postgres:// URL.
    #[arg(long, value_name = "PLACE", default_value = "sqlite")]
    record: String,
    /// A file with the password for the URL.
    #[arg(long, value_name = "FILE")]
    password_file: Option<PathBuf>,
    /// Where configurations, sockets and logs go; kept. Without it they go to a folder that ends with the town.
    #[arg(long, value_name = "FOLDER")]
    folder: Option<PathBuf>,
}

/// A program and the process that it ends with.
#[derive(clap::Args)]
pub struct WithParent {
    parent: u32,
    #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
    command: Vec<String>,
}

/// Becomes a program that the kernel kills when its parent ends, however that ends.
pub fn with_parent(args: &WithParent) -> Result<ExitCode, String> {
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|e| format!("cannot be bound to its parent: {e}"))?;
    // It may have ended before that.
    if getppid().is_none_or(|pid| pid.as_raw_nonzero().get().unsigned_abs() != args.parent) {
        return Err("its parent has ended".into());
    }
    let (program, rest) = args.command.split_first().ok_or("no program")?;
    let e = std::process::Command::new(program).args(rest).exec();
    Err(format!("{program}: {e}"))
}

/// Runs the town until a signal comes.
pub async fn run(args: Args, log_format: Format) -> Result<ExitCode, String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let own = std::env::current_exe().map_err(|e| format!("this program's own place is not known: {e}"))?;
    let launcher = vec![own.display().to_string(), "with-parent".into(), std::process::id().to_string()];
    let temporary;
    let folder = match &args.folder {
        Some(folder) => folder.clone(),
        None => {
            temporary = Temporary(std::env::temp_dir().join(format!("frostvale-dev-{}", std::process::id())));
            temporary.0.clone()
        }
    };
    std::fs::create_dir_all(&folder).map_err(|e| format!("--folder {}: {e}", folder.display()))?;
    let folder = folder.canonicalize().map_err(|e| format!("--folder {}: {e}", folder.display()))?;
    let (url, password_file, _stand_in) = record(&args, &folder).await?;
    let password = password_file.map_or(String::new(), |p| format!("password_file = {p:?}\n"));
    let spool = folder.join("spool.db");
    let plan = ClusterOptions {
        gatekeeper_settings: "[usage]\n".into(),
        agent_settings: format!("[record]\nurl = {url:?}\n{password}spool = {spool:?}\n"),
        gatekeepers: usize::from(args.gatekeepers),
        servers: usize::from(args.servers),
        formula: ServerOptions { work: work(&args), ids: false, ..ServerOptions::default() },
        launcher,
        log_format: if log_format == Format::Json { "json" } else { "text" }.into(),
        folder: Some(folder),
        ..ClusterOptions::default()
    };
    if let Some(file) = &args.ready_file {
        // One of an earlier town would tell of addresses that are gone.
        let _ = std::fs::remove_file(file);
    }
    let mut town = tokio::select! {
        town = LocalCluster::start(plan) => town?,
        _ = term.recv() => return Ok(ExitCode::SUCCESS),
        _ = int.recv() => return Ok(ExitCode::SUCCESS),
        _ = hup.recv() => return Ok(ExitCode::SUCCESS),
    };
    tell(&town);
    println!("  {} record --record {url} status", own.display());
    if let Some(file) = &args.ready_file {
        write_whole(file, &town.ready_json().to_string())?;
    }
    let mut playing = match args.load {
        Some(rate) => {
            let gatekeepers = town.gatekeepers.iter().map(|g| g.resp).collect();
            Some(RunningLoad::start(f64::from(rate), &args.shape, &args.show, gatekeepers, Some(town.rls))?)
        }
        None => None,
    };
    let mut tick = interval(Duration::from_secs(1));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let begun = tokio::time::Instant::now();
    let done = async {
        match args.show.duration {
            Some(seconds) => tokio::time::sleep_until(begun + Duration::from_secs(seconds.into())).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(done);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => break,
            () = &mut done => break,
            _ = tick.tick() => {
                frostvale_log::flush_summaries();
                // A signal ends the town also while something of it is being started.
                tokio::select! {
                    _ = term.recv() => break,
                    _ = int.recv() => break,
                    _ = hup.recv() => break,
                    () = mend(&mut town) => {}
                }
                if let Some(playing) = &mut playing {
                    let around = around(&town).await;
                    playing.show(around);
                }
            }
        }
    }
    let reported = match playing {
        Some(playing) => {
            let around = around(&town).await;
            playing.end(around).await
        }
        None => Ok(()),
    };
    println!("The town stops.");
    town.stop().await;
    if let Some(file) = &args.ready_file {
        let _ = std::fs::remove_file(file);
    }
    reported.map(|()| ExitCode::SUCCESS)
}

/// How long a formula takes: the fleet has half as much room again as the load wants.
fn work(args: &Args) -> Duration {
    let cores = ServerOptions::default().cores as f64 * f64::from(args.servers);
    let room = cores / (1.5 * f64::from(args.load.unwrap_or(1)));
    Duration::from_secs_f64(room.clamp(0.002, 0.020))
}

/// The state of servers, links and the record.
async fn around(town: &LocalCluster) -> StatusWords {
    let work: Vec<(u64, u64)> =
        town.servers.iter().map(frostvale_standin::formula_server::FormulaServer::work_counts).collect();
    let (most, least) = (work.iter().map(|w| w.1).max(), work.iter().map(|w| w.1).min());
    let servers = format!(
        "{} ready, {} in work, answered {} to {} each",
        work.len(),
        work.iter().map(|w| w.0).sum::<u64>(),
        least.unwrap_or(0),
        most.unwrap_or(0)
    );
    let mut all = vec![("servers".to_string(), servers)];
    all.extend(crate::status::summary_lines(&town.control).await);
    all
}

/// A folder that ends with the town.
struct Temporary(PathBuf);

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Where the record is: its URL, the file with its password, and the stand-in if it is one.
async fn record(args: &Args, folder: &Path) -> Result<(String, Option<PathBuf>, Option<Postgres>), String> {
    match args.record.as_str() {
        "sqlite" => Ok((format!("sqlite:{}", folder.join("record.db").display()), None, None)),
        "stand-in" => {
            let file = folder.join("password");
            std::fs::write(&file, "town").map_err(|e| format!("{}: {e}", file.display()))?;
            let ip = std::net::Ipv4Addr::LOCALHOST.into();
            let server = Postgres::start(ip, &folder.join("postgres.db"), "town", Login::Scram).await?;
            let url = format!("postgres://agent@{}/frostvale", server.at);
            Ok((url, Some(file), Some(server)))
        }
        url => Ok((url.to_string(), args.password_file.clone(), None)),
    }
}

/// Writes a file so that whoever sees it sees all of it.
fn write_whole(file: &Path, text: &str) -> Result<(), String> {
    let fresh = file.with_extension("part");
    let written = std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, file));
    written.map_err(|e| format!("--ready-file {}: {e}", file.display()))
}

/// Starts again what has ended, so that any of it can be killed to see what comes of it.
async fn mend(town: &mut LocalCluster) {
    for k in 0..town.gatekeepers.len() {
        if let Some(how) = town.gatekeepers[k].process.has_ended() {
            let name = town.gatekeepers[k].name.clone();
            tracing::warn!(
                instance = name,
                "{name} has ended ({how}); its requests were lost, it is started again"
            );
            if let Err(e) = town.restart_gatekeeper(k).await {
                tracing::error!("{e}");
            }
        }
    }
    if let Some(how) = town.agent.as_mut().and_then(frostvale_standin::local_cluster::Process::has_ended) {
        tracing::warn!("the agent has ended ({how}); RESP2 traffic goes on, it is started again");
        if let Err(e) = town.start_agent().await {
            tracing::error!("{e}");
        }
    }
}

fn tell(town: &LocalCluster) {
    let exe = std::env::current_exe().map_or("frostctl".into(), |e| e.display().to_string());
    println!("The town serves; its files are in {}. Ctrl-C ends all of it.", town.folder.display());
    for g in &town.gatekeepers {
        println!("  {:<12} RESP2 at {}, link at {}", g.name, g.resp, g.socket.display());
    }
    println!("  {:<12} rate limits (gRPC) at {}, control at {}", "agent", town.rls, town.control.display());
    println!("  {:<12} {} of them, from {}", "servers", town.servers.len(), town.servers[0].at);
    println!("  {:<12} at {}", "discovery", town.discovery.at);
    println!("  {:<12} at {}", "counter", town.counter.at);
    println!("To try them:");
    println!("  {exe} ask --gatekeeper {} --plan tienda", town.gatekeepers[0].resp);
    println!("  {exe} check --rls {} --plan tienda", town.rls);
    println!("  {exe} status --agent {}", town.control.display());
    println!("  curl -s http://{}/v1/servers", town.discovery.at);
    println!("  curl -s -X POST 'http://{}/v1/count/mixes?add=1&ttl_ms=4000'", town.counter.at);
}
