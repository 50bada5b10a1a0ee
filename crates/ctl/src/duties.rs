//! Duties of the fleet: who owns them, and operators' wishes.

use clap::Subcommand;
use frostvale_agent::serve::control;
use frostvale_proto::agent::duty_change::What;
use frostvale_proto::agent::{DutiesRequest, DutiesResponse, Duty, DutyChange};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Some duty has no owner, is paused or set aside, or what is shown may be old.
const PARTLY: u8 = 3;
/// It was refused.
const REFUSED: u8 = 4;

/// Which agent, and what.
#[derive(clap::Args)]
pub struct Args {
    /// The control socket of any agent of the council.
    #[arg(long, global = true, default_value = "/run/frostvale/agent.sock")]
    agent: PathBuf,
    /// How it is printed.
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
    /// All duties: owner, epoch, since when, last step, next. Exit code 3: some duty is not owned, or the council could not
    /// be asked, and what is shown is what this agent last heard.
    List,
    /// Changes of owner, oldest first.
    History {
        /// Which duty.
        duty: String,
    },
    /// Has a duty done elsewhere. Exit code 4: refused.
    Move {
        /// Which duty.
        duty: String,
        /// The agent's name.
        #[arg(long)]
        to: String,
        #[command(flatten)]
        who: Who,
    },
    /// Stops a duty until it is resumed. Exit code 4: refused.
    Pause {
        /// Which duty.
        duty: String,
        /// Why, for whoever finds it paused.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        who: Who,
    },
    /// Lets a duty go on that was paused or set aside. Exit code 4: refused.
    Resume {
        /// Which duty.
        duty: String,
        /// Why.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        who: Who,
    },
}

#[derive(clap::Args)]
struct Who {
    /// Who says so.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,
}

/// Does it.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut agent = control(&args.agent).await?;
    let (what, duty, to, by, why) = match args.command {
        Command::List => {
            let asked = DutiesRequest { duty: String::new(), history: false };
            let said = agent.duties(asked).await.map_err(|e| e.message().to_string())?.into_inner();
            list(&said, args.output);
            let all = said.current && said.duties.iter().all(|d| d.state == "owned");
            return Ok(if all { ExitCode::SUCCESS } else { ExitCode::from(PARTLY) });
        }
        Command::History { duty } => {
            let asked = DutiesRequest { duty, history: true };
            let said = agent.duties(asked).await.map_err(|e| e.message().to_string())?.into_inner();
            history(&said, args.output);
            return Ok(ExitCode::SUCCESS);
        }
        Command::Move { duty, to, who } => (What::Move, duty, to, who.by, String::new()),
        Command::Pause { duty, why, who } => (What::Pause, duty, String::new(), who.by, why),
        Command::Resume { duty, why, who } => (What::Resume, duty, String::new(), who.by, why),
    };
    match agent.change_duty(DutyChange { what: what.into(), duty, to, by, why }).await {
        Ok(said) => {
            println!("{}", said.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: refused: {}; nothing was changed", e.message());
            Ok(ExitCode::from(REFUSED))
        }
    }
}

/// How long ago, or how soon, by this host's clock: agents' clocks may differ.
fn when(ms: u64) -> String {
    if ms == 0 {
        return "-".into();
    }
    let diff = frostvale_agent::clock::unix_ms() - i64::try_from(ms).unwrap_or(i64::MAX);
    let s = diff as f64 / 1000.0;
    if s >= 0.0 { format!("{s:.1} s ago") } else { format!("in {:.1} s", -s) }
}

fn list(said: &DutiesResponse, output: Output) {
    if matches!(output, Output::Json) {
        let duty = |d: &Duty| {
            json!({
                "name": d.name, "owner": d.owner, "epoch": d.epoch, "since_ms": d.since_ms, "state": d.state,
                "why": d.why, "wanted": d.wanted, "steps": d.steps, "step_ms": d.step_ms, "note": d.note,
                "next_ms": d.next_ms, "beat": d.beat,
            })
        };
        let sessions: Vec<_> = said
            .sessions
            .iter()
            .map(|s| json!({"owner": s.owner, "zone": s.zone, "beat": s.beat, "duties": s.duties}))
            .collect();
        let duties: Vec<_> = said.duties.iter().map(duty).collect();
        println!("{}", json!({"current": said.current, "duties": duties, "sessions": sessions}));
        return;
    }
    if !said.current {
        println!("the council could not be asked: this is what the agent last heard");
    }
    println!(
        "{:<12} {:<9} {:<14} {:>8} {:<12} {:>8} {:<12} {:<12} last step, or why",
        "duty", "state", "owner", "epoch", "since", "renewal", "last", "next"
    );
    for d in &said.duties {
        let owner = if d.owner.is_empty() { "-" } else { &d.owner };
        let word = if d.why.is_empty() { &d.note } else { &d.why };
        println!(
            "{:<12} {:<9} {owner:<14} {:>8} {:<12} {:>8} {:<12} {:<12} {word}",
            d.name,
            d.state,
            d.epoch,
            when(d.since_ms),
            d.beat,
            when(d.step_ms),
            when(d.next_ms)
        );
    }
    for s in &said.sessions {
        println!("agent {:<14} zone {:<10} renewal {:>8}, {} duties", s.owner, s.zone, s.beat, s.duties);
    }
}

fn history(said: &DutiesResponse, output: Output) {
    if matches!(output, Output::Json) {
        let change = |c: &frostvale_proto::agent::OwnerChange| json!({"duty": c.duty, "epoch": c.epoch, "who": c.who, "what": c.what, "at_ms": c.at_ms});
        println!("{}", json!({"changes": said.history.iter().map(change).collect::<Vec<_>>()}));
        return;
    }
    println!("{:<14} {:>8} {:<14} what", "at", "epoch", "who");
    for c in &said.history {
        println!("{:<14} {:>8} {:<14} {}", when(c.at_ms), c.epoch, c.who, c.what);
    }
}
