//! `frostctl duties`: lists the fleet's duties (leader-elected tasks) with their owners and history, and
//! moves, pauses and resumes them through any agent's control socket.

use clap::Subcommand;
use frostvale_agent::serve::control;
use frostvale_proto::agent::duty_change::What;
use frostvale_proto::agent::{DutiesRequest, DutiesResponse, Duty, DutyChange};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code: some duty has no owner, is paused or set aside, or the data shown may be stale.
const EXIT_INCOMPLETE: u8 = 3;
/// Exit code: the agent refused the change.
const EXIT_REFUSED: u8 = 4;

/// Arguments of `frostctl duties`.
#[derive(clap::Args)]
pub struct Args {
    /// The control socket of any agent of the council.
    #[arg(long, global = true, default_value = "/run/frostvale/agent.sock")]
    agent: PathBuf,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Output {
    Table,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Lists all duties: owner, epoch, start of ownership, last step and next step. Exit code 3: some duty is
    /// not owned, or the council could not be reached and the list is the last state that this agent
    /// received.
    List,
    /// Lists the changes of owner, oldest first.
    History {
        /// Name of the duty.
        duty: String,
    },
    /// Moves a duty to another agent. Exit code 4: refused.
    Move {
        /// Name of the duty.
        duty: String,
        /// Name of the agent that takes over the duty.
        #[arg(long)]
        to: String,
        #[command(flatten)]
        who: Operator,
    },
    /// Stops a duty until it is resumed. Exit code 4: refused.
    Pause {
        /// Name of the duty.
        duty: String,
        /// Reason for the pause, shown to other operators.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        who: Operator,
    },
    /// Resumes a duty that was paused or set aside. Exit code 4: refused.
    Resume {
        /// Name of the duty.
        duty: String,
        /// Reason for resuming it.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        who: Operator,
    },
}

/// The operator's name, shared by all commands that change a duty.
#[derive(clap::Args)]
struct Operator {
    /// Operator makes this change; stored with it.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,
}

/// Runs the command. An error of the connection or of a read is returned; a refused change is exit code 4.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut agent = control(&args.agent).await?;
    let (what, duty, to, by, why) = match args.command {
        Command::List => {
            let request = DutiesRequest { duty: String::new(), history: false };
            let response = agent.duties(request).await.map_err(|e| e.message().to_string())?.into_inner();
            list(&response, args.output);
            let all_owned = response.current && response.duties.iter().all(|d| d.state == "owned");
            return Ok(if all_owned { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) });
        }
        Command::History { duty } => {
            let request = DutiesRequest { duty, history: true };
            let response = agent.duties(request).await.map_err(|e| e.message().to_string())?.into_inner();
            history(&response, args.output);
            return Ok(ExitCode::SUCCESS);
        }
        Command::Move { duty, to, who } => (What::Move, duty, to, who.by, String::new()),
        Command::Pause { duty, why, who } => (What::Pause, duty, String::new(), who.by, why),
        Command::Resume { duty, why, who } => (What::Resume, duty, String::new(), who.by, why),
    };
    match agent.change_duty(DutyChange { what: what.into(), duty, to, by, why }).await {
        Ok(response) => {
            println!("{}", response.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: refused: {}; nothing was changed", e.message());
            Ok(ExitCode::from(EXIT_REFUSED))
        }
    }
}

/// Formats a Unix time in ms relative to now by this host's clock, from which agents' clocks may differ; "-"
/// for 0.
fn relative_time(ms: u64) -> String {
    if ms == 0 {
        return "-".into();
    }
    let elapsed_ms = frostvale_agent::clock::unix_ms() - i64::try_from(ms).unwrap_or(i64::MAX);
    let s = elapsed_ms as f64 / 1000.0;
    if s >= 0.0 { format!("{s:.1} s ago") } else { format!("in {:.1} s", -s) }
}

fn list(response: &DutiesResponse, output: Output) {
    if matches!(output, Output::Json) {
        let duty = |d: &Duty| {
            json!({
                "name": d.name, "owner": d.owner, "epoch": d.epoch, "since_ms": d.since_ms, "state": d.state,
                "why": d.why, "wanted": d.wanted, "steps": d.steps, "step_ms": d.step_ms, "note": d.note,
                "next_ms": d.next_ms, "beat": d.beat,
            })
        };
        let sessions: Vec<_> = response
            .sessions
            .iter()
            .map(|s| json!({"owner": s.owner, "zone": s.zone, "beat": s.beat, "duties": s.duties}))
            .collect();
        let duties: Vec<_> = response.duties.iter().map(duty).collect();
        println!("{}", json!({"current": response.current, "duties": duties, "sessions": sessions}));
        return;
    }
    if !response.current {
        println!("cannot reach the council: this is the last state that the agent received");
    }
    println!(
        "{:<12} {:<9} {:<14} {:>8} {:<12} {:>8} {:<12} {:<12} last step, or why",
        "duty", "state", "owner", "epoch", "since", "renewal", "last", "next"
    );
    for d in &response.duties {
        let owner = if d.owner.is_empty() { "-" } else { &d.owner };
        let detail = if d.why.is_empty() { &d.note } else { &d.why };
        println!(
            "{:<12} {:<9} {owner:<14} {:>8} {:<12} {:>8} {:<12} {:<12} {detail}",
            d.name,
            d.state,
            d.epoch,
            relative_time(d.since_ms),
            d.beat,
            relative_time(d.step_ms),
            relative_time(d.next_ms)
        );
    }
    for s in &response.sessions {
        println!("agent {:<14} zone {:<10} renewal {:>8}, {} duties", s.owner, s.zone, s.beat, s.duties);
    }
}

fn history(response: &DutiesResponse, output: Output) {
    if matches!(output, Output::Json) {
        let change = |c: &frostvale_proto::agent::OwnerChange| json!({"duty": c.duty, "epoch": c.epoch, "who": c.who, "what": c.what, "at_ms": c.at_ms});
        println!("{}", json!({"changes": response.history.iter().map(change).collect::<Vec<_>>()}));
        return;
    }
    println!("{:<14} {:>8} {:<14} what", "at", "epoch", "who");
    for c in &response.history {
        println!("{:<14} {:>8} {:<14} {}", relative_time(c.at_ms), c.epoch, c.who, c.what);
    }
}
