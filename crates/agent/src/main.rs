//! `frostagent`: the agent of a host.

use clap::Parser;
use frostvale_agent::config::Config;
use frostvale_agent::serve;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// The agent beside a host's gatekeepers: gRPC rate limits, and the way to an outside service.
#[derive(Parser)]
#[command(name = "frostagent", version)]
struct Args {
    /// The configuration; a commented sample is deploy/frostagent.toml.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Says whether the configuration is sound, and ends.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let config = match Config::read(&args.config) {
        Ok(config) => config,
        Err(what) => return failed(&what),
    };
    if args.check {
        println!("frostagent: the configuration is sound");
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return failed(&format!("cannot start the runtime: {e}")),
    };
    match runtime.block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => failed(&what),
    }
}

fn failed(what: &str) -> ExitCode {
    eprintln!("frostagent: {what}");
    ExitCode::FAILURE
}

async fn run(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let (stop, stopped) = watch::channel(false);
    let name = config.name.clone();
    let ready = |at: Option<std::net::SocketAddr>| match at {
        Some(at) => eprintln!("frostagent: {name} serves rate limits at {at}"),
        None => eprintln!("frostagent: {name} runs, with no rate limit service"),
    };
    let served = serve::run(config, stopped, ready);
    tokio::pin!(served);
    tokio::select! {
        ended = &mut served => return ended,
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    eprintln!("frostagent: stops; calls in hand are answered first");
    let _ = stop.send(true);
    // A caller that never closes its connection must not keep it here.
    let _ = tokio::time::timeout(std::time::Duration::from_secs(2), served).await;
    Ok(())
}
