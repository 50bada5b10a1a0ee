//! `frostctl`: the operators' command line.

mod audit;
mod council;
mod dev;
mod duties;
mod export;
mod load;
mod manual_request;
mod record;
mod sim;
mod status;
mod zones;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Looks after frostvale's gatekeepers and agents.
#[derive(Parser)]
#[command(name = "frostctl", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// How log lines on standard error are written: `text`, or `json`, one object a line.
    #[arg(long, global = true, value_name = "FORMAT", default_value = "text")]
    log_format: frostvale_log::Format,
    /// Which are: a level, or levels by target.
    #[arg(long, global = true, value_name = "LEVELS", default_value = "info")]
    log_level: String,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a whole town on this machine: formula servers, discovery, counter, gatekeepers and an agent.
    Dev(dev::Args),
    /// Plays load on a running town by RESP2 and gRPC, and reports what came of it.
    Load(load::Args),
    /// Asks an agent how its gatekeepers, its calls and the outside service do.
    Status(status::Args),
    /// Asks the rate limit service whether a shop may have units, as a web store does. Exit code 5: over the limit.
    Check(manual_request::CheckArgs),
    /// Sends a request by RESP2, as a tinting station does. Exit code 5: refused.
    Ask(manual_request::RequestArgs),
    /// The store of record: plans, use, audit trail, backup.
    Record(record::Args),
    /// Duties of the fleet: who owns them, and wishes about them.
    Duties(duties::Args),
    /// The council of agents: its members, and coming back when the majority is gone for good.
    Council(council::Args),
    /// Zones: what was decided on them, who acts on which version, and drains.
    Zones(zones::Args),
    /// The audit: which gatekeeper acted on which version, and a history that can be verified.
    Audit(audit::Args),
    /// All gatekeepers, and what each acts on.
    Fleet(audit::FleetArgs),
    /// Gatekeepers that are behind, unknown or shut out.
    Stragglers(audit::StragglerArgs),
    /// The export of use by day.
    Export(export::Args),
    /// Simulates fleets of gatekeepers in virtual time, and watches the rules.
    Sim(sim::Args),
    /// Starts a program that ends with its parent.
    #[command(hide = true, name = "with-parent")]
    WithParent(dev::WithParent),
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Err(what) = frostvale_log::init("frostctl", ("host", ""), args.log_format, &args.log_level) {
        eprintln!("frostctl: {what}");
        return ExitCode::FAILURE;
    }
    let format = args.log_format;
    let ended = match args.command {
        Command::WithParent(args) => dev::with_parent(&args),
        Command::Dev(args) => block_on(dev::run(args, format)),
        Command::Load(args) => block_on(load::run(args)),
        Command::Sim(args) => sim::run(args),
        Command::Record(args) => block_on(record::run(args)),
        Command::Duties(args) => block_on(duties::run(args)),
        Command::Council(args) => block_on(council::run(args)),
        Command::Zones(args) => block_on(zones::run(args)),
        Command::Audit(args) => block_on(audit::run(args)),
        Command::Fleet(args) => block_on(audit::fleet(args)),
        Command::Stragglers(args) => block_on(audit::stragglers(args)),
        Command::Export(args) => export::run(args),
        Command::Status(args) => block_on(status::run(args)),
        Command::Check(args) => block_on(manual_request::check(args)),
        Command::Ask(args) => block_on(manual_request::request(args)),
    };
    frostvale_log::finish();
    ended.unwrap_or_else(|what| {
        tracing::error!("{what}");
        ExitCode::FAILURE
    })
}

fn block_on(work: impl Future<Output = Result<ExitCode, String>>) -> Result<ExitCode, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let ended = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?.block_on(work)?;
    Ok(ended)
}
