//! `frostctl`, the operators' command line: parses the arguments, sets up logging and runs one command.
//!
//! A command that fails with an error prints it on standard error and exits with code 1. Other exit codes are
//! documented with the command that uses them.

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

/// Operates frostvale's gatekeepers and agents.
#[derive(Parser)]
#[command(name = "frostctl", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// Format of log lines on standard error: `text`, or `json` with one object per line.
    #[arg(long, global = true, value_name = "FORMAT", default_value = "text")]
    log_format: frostvale_log::Format,
    /// Which log lines are written: a level, or levels by target.
    #[arg(long, global = true, value_name = "LEVELS", default_value = "info")]
    log_level: String,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a local cluster on this machine: formula servers, discovery, counter, gatekeepers and an agent.
    Dev(dev::Args),
    /// Generates load on a running cluster over RESP2 and gRPC, and reports the results.
    Load(load::Args),
    /// Shows the state of an agent: its gatekeepers, its rate limit calls and the outside service.
    Status(status::Args),
    /// Makes a rate limit call for a shop's units, as a web store does. Exit code 5: over the limit.
    Check(manual_request::CheckArgs),
    /// Sends a request over RESP2, as a tinting station does. Exit code 5: refused.
    Ask(manual_request::RequestArgs),
    /// The store of record: plans, use, audit trail, backup.
    Record(record::Args),
    /// Duties of the fleet: lists their owners, moves, pauses and resumes them.
    Duties(duties::Args),
    /// The council of agents: shows and changes its members, and recovers it when the majority is permanently
    /// lost.
    Council(council::Args),
    /// Zones: shows the current decision and the version that each gatekeeper applies, and drains and
    /// restores zones.
    Zones(zones::Args),
    /// The audit: which version each gatekeeper applied, from a history that can be verified.
    Audit(audit::Args),
    /// All gatekeepers, and the versions that each applies.
    Fleet(audit::FleetArgs),
    /// Gatekeepers that are behind, unknown or fenced off.
    Stragglers(audit::StragglerArgs),
    /// The export of use by day: checks a folder for missing parts.
    Export(export::Args),
    /// Simulates fleets of gatekeepers in virtual time and checks the invariants.
    Sim(sim::Args),
    /// Starts a program that is terminated when its parent ends.
    #[command(hide = true, name = "with-parent")]
    WithParent(dev::WithParent),
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Err(error) = frostvale_log::init("frostctl", ("host", ""), args.log_format, &args.log_level) {
        eprintln!("frostctl: {error}");
        return ExitCode::FAILURE;
    }
    let format = args.log_format;
    let outcome = match args.command {
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
    outcome.unwrap_or_else(|error| {
        tracing::error!("{error}");
        ExitCode::FAILURE
    })
}

fn block_on(command: impl Future<Output = Result<ExitCode, String>>) -> Result<ExitCode, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let outcome = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?.block_on(command)?;
    Ok(outcome)
}
