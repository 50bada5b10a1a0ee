//! `frostctl council`: shows and changes the members of the council (the agents' consensus group), and
//! recovers it from one member's file when the majority is permanently lost.

use clap::Subcommand;
use frostvale_agent::serve::control;
use frostvale_council::file::CouncilFile;
use frostvale_proto::agent::{CouncilChange, CouncilRequest, CouncilResponse};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code: there is no leader, or this agent is not a working member.
const EXIT_INCOMPLETE: u8 = 3;
/// Exit code: the change was refused.
const EXIT_REFUSED: u8 = 4;

/// Arguments of `frostctl council`.
#[derive(clap::Args)]
pub struct Args {
    /// The control socket of any agent of the council.
    #[arg(long, global = true, default_value = "/run/frostvale/agent.sock")]
    agent: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the members, the leader and the last index of the log. Exit code 3: no leader, or this agent
    /// takes no part.
    Status {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Adds an agent as a voter: one that follows already, or one whose council file is new. Exit code 4:
    /// refused.
    Add {
        /// Name of the agent.
        name: String,
        /// Address of the agent, as host and port; not needed for one that follows already.
        #[arg(long, default_value = "")]
        at: String,
    },
    /// Removes a member permanently: its number is never used again. Exit code 4: refused.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Recovers from the permanent loss of the majority: makes one member continue alone, from the contents
    /// of its file. Its agent must be stopped. Entries that the others committed without it are lost, and
    /// members that return are refused until they are added again.
    Recover {
        /// The member's council file: of the remaining members, the one whose log has the highest last index.
        #[arg(long)]
        file: PathBuf,
        /// Who makes this change; stored with it.
        #[arg(long, env = "USER", default_value = "operator")]
        by: String,
        /// Confirms that the others are permanently lost: if a majority of them still runs, there are two
        /// councils from now on.
        #[arg(long)]
        the_others_are_gone_for_good: bool,
    },
}

/// Runs the command. An error of the connection or of a read is returned; a refused change is exit code 4.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let change = match args.command {
        Command::Status { json } => {
            let mut agent = control(&args.agent).await?;
            let response =
                agent.council(CouncilRequest {}).await.map_err(|e| e.message().to_string())?.into_inner();
            if json {
                println!("{}", as_json(&response))
            } else {
                table(&response)
            }
            let healthy = response.problem.is_empty() && !response.leader.is_empty();
            return Ok(if healthy { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) });
        }
        Command::Recover { file, by, the_others_are_gone_for_good } => {
            return recover(&file, &by, the_others_are_gone_for_good);
        }
        Command::Add { name, at } => CouncilChange { add: name, remove: String::new(), at },
        Command::Remove { name } => CouncilChange { add: String::new(), remove: name, at: String::new() },
    };
    let mut agent = control(&args.agent).await?;
    let mut request = tonic::Request::new(change);
    request.set_timeout(
        frostvale_council::member::MEMBERSHIP_CHANGE_TIMEOUT + std::time::Duration::from_secs(1),
    );
    match agent.change_council(request).await {
        Ok(response) => {
            println!("{}", response.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: {}; see frostctl council status", e.message());
            Ok(ExitCode::from(EXIT_REFUSED))
        }
    }
}

fn recover(path: &std::path::Path, by: &str, confirmed: bool) -> Result<ExitCode, String> {
    if !path.is_file() {
        return Err(format!("cannot open {}: there is no such file", path.display()));
    }
    let file = CouncilFile::open(path).map_err(|e| e.to_string())?;
    let identity = file.identity().map_err(|e| e.to_string())?;
    let Some(identity) = identity else {
        return Err(format!(
            "cannot recover from {}: the file does not belong to a member yet",
            path.display()
        ));
    };
    if !confirmed {
        println!(
            "{} would continue alone for fleet {}. At risk: entries that the others committed and this file lacks are lost, and if \
             a majority of them still runs, there are two councils that both issue epochs. Those of this one jump far above \
             theirs, so the others' effects on the fleet are refused from this one's first effect on. Nothing was changed; \
             to continue, add --the-others-are-gone-for-good.",
            identity.name, identity.fleet
        );
        return Ok(ExitCode::from(EXIT_REFUSED));
    }
    let at_ms = u64::try_from(frostvale_agent::clock::unix_ms()).unwrap_or(0);
    let recovered = file.recover(by, at_ms).map_err(|e| e.to_string())?;
    println!(
        "{} continues alone for fleet {}, generation {}: start its agent, then add the others again, each with a new file",
        recovered.name, recovered.fleet, recovered.generation
    );
    Ok(ExitCode::SUCCESS)
}

fn table(response: &CouncilResponse) {
    let leader = if response.leader.is_empty() { "nobody" } else { &response.leader };
    println!(
        "fleet {}: this agent is member {} ({}); {leader} leads in term {}; log to {}, done to {}; file {} KB; {} messages \
         refused; generation {}",
        response.fleet,
        response.id,
        response.state,
        response.term,
        response.last,
        response.applied,
        response.file_bytes / 1024,
        response.refused,
        response.generation
    );
    if !response.problem.is_empty() {
        println!("  {}", response.problem);
    }
    if !response.refused_by.is_empty() {
        let mut by: Vec<String> =
            response.refused_by.iter().map(|(cause, n)| format!("{cause} {n}")).collect();
        by.sort();
        println!("  refused by cause: {}", by.join(", "));
    }
    println!("{:>6} {:<16} {:<24} {:<8} log to", "member", "name", "at", "votes");
    for m in &response.members {
        let matched = m.matched.map_or("-".into(), |n| n.to_string());
        println!(
            "{:>6} {:<16} {:<24} {:<8} {matched}",
            m.id,
            m.name,
            m.at,
            if m.votes { "yes" } else { "no" }
        );
    }
    let votes = response.members.iter().filter(|m| m.votes).count();
    if votes > 0 {
        println!("{votes} vote: {} may be gone", (votes - 1) / 2);
    }
}

fn as_json(response: &CouncilResponse) -> serde_json::Value {
    let member = |m: &frostvale_proto::agent::Member| json!({"id": m.id, "name": m.name, "at": m.at, "votes": m.votes, "matched": m.matched});
    json!({
        "fleet": response.fleet, "id": response.id, "state": response.state, "problem": response.problem, "leader": response.leader,
        "term": response.term, "last": response.last, "applied": response.applied, "file_bytes": response.file_bytes,
        "refused": response.refused, "refused_by": response.refused_by, "generation": response.generation,
        "members": response.members.iter().map(member).collect::<Vec<_>>(),
    })
}
