//! `frostagent`: the program of the agent of a host.

use clap::Parser;
use frostvale_agent::config::Config;
use frostvale_agent::serve;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Agent of a host: serves gRPC rate limits for the host's gatekeepers and forwards to an outside service.
#[derive(Parser)]
#[command(name = "frostagent", version)]
struct Args {
    /// Path of the configuration file; deploy/frostagent.toml is a commented sample.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Check the configuration and exit.
    #[arg(long)]
    check: bool,
    /// Format of log lines: `text`, or `json` with one object per line.
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    log_format: frostvale_log::Format,
    /// Log filter: a level, or levels by target, as in `info,frostvale_agent::rls=debug`.
    #[arg(long, value_name = "LEVELS", default_value = "info,openraft=off")]
    log_level: String,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let config = match Config::read(&args.config) {
        Ok(config) => config,
        Err(error) => return exit_with_error(&error),
    };
    if args.check {
        println!("frostagent: the configuration is valid");
        return ExitCode::SUCCESS;
    }
    let (who, format) = (("agent", config.name.as_str()), args.log_format);
    if let Err(error) = frostvale_log::init("frostagent", who, format, &args.log_level) {
        return exit_with_error(&error);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return exit_with_error(&format!("cannot start the runtime: {e}")),
    };
    let ended = runtime.block_on(run(config));
    frostvale_log::finish();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(&error),
    }
}

/// Prints an error and returns the exit code of a failure.
fn exit_with_error(error: &str) -> ExitCode {
    eprintln!("frostagent: {error}");
    ExitCode::FAILURE
}

/// Runs the agent until SIGTERM or SIGINT, then stops it in order; a second signal ends it at once.
async fn run(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let (stop, stopped) = watch::channel(false);
    let name = config.name.clone();
    let ready = |at: Option<std::net::SocketAddr>| match at {
        Some(at) => tracing::info!("{name} serves rate limits at {at}"),
        None => tracing::info!("{name} runs, with no rate limit service"),
    };
    tokio::spawn(async {
        loop {
            tokio::time::sleep(std::time::Duration::from_secs(1)).await;
            frostvale_log::flush_summaries();
        }
    });
    let served = serve::run(config, stopped, ready);
    tokio::pin!(served);
    tokio::select! {
        ended = &mut served => return ended,
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    tracing::info!(
        "stops: finish pending calls and take the final usage reports of gatekeepers; a second signal ends \
         it at once"
    );
    let _ = stop.send(true);
    tokio::select! {
        ended = served => ended,
        _ = term.recv() => Ok(()),
        _ = int.recv() => Ok(()),
    }
}
