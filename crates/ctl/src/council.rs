//! The council: its members, and coming back when the majority is gone for good.

use clap::Subcommand;
use frostvale_agent::serve::control;
use frostvale_council::file::CouncilFile;
use frostvale_proto::agent::{CouncilChange, CouncilRequest, CouncilResponse};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// There is no leader, or this agent takes no part.
const PARTLY: u8 = 3;
/// It was refused.
const REFUSED: u8 = 4;

/// Which agent, and what.
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
    /// Members, leader and how far the log goes. Exit code 3: no leader, or this agent takes no part.
    Status {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Gives one more agent a vote: a follower, or one whose council file is new. Exit code 4: refused.
    Add {
        /// Its name.
        name: String,
        /// Where it is, as host and port; not wanted for one that follows already.
        #[arg(long, default_value = "")]
        at: String,
    },
    /// Takes a member out for good: its number never comes again. Exit code 4: refused.
    Remove {
        /// Its name.
        name: String,
    },
    /// The majority is gone for good: has one member go on alone, from what is in its file. Its agent must be stopped.
    /// What others agreed on without it is lost, and members that come back are refused until they are added anew.
    Recover {
        /// The member's council file: of all that are left, that of the member whose log goes furthest.
        #[arg(long)]
        file: PathBuf,
        /// Who says so.
        #[arg(long, env = "USER", default_value = "operator")]
        by: String,
        /// That the others are gone for good: if a majority of them still runs, there are two councils from now on.
        #[arg(long)]
        the_others_are_gone_for_good: bool,
    },
}

/// Does it.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let change = match args.command {
        Command::Status { json } => {
            let mut agent = control(&args.agent).await?;
            let said =
                agent.council(CouncilRequest {}).await.map_err(|e| e.message().to_string())?.into_inner();
            if json {
                println!("{}", as_json(&said))
            } else {
                table(&said)
            }
            let sound = said.problem.is_empty() && !said.leader.is_empty();
            return Ok(if sound { ExitCode::SUCCESS } else { ExitCode::from(PARTLY) });
        }
        Command::Recover { file, by, the_others_are_gone_for_good } => {
            return recover(&file, &by, the_others_are_gone_for_good);
        }
        Command::Add { name, at } => CouncilChange { add: name, remove: String::new(), at },
        Command::Remove { name } => CouncilChange { add: String::new(), remove: name, at: String::new() },
    };
    let mut agent = control(&args.agent).await?;
    let mut asked = tonic::Request::new(change);
    asked.set_timeout(
        frostvale_council::member::MEMBERSHIP_CHANGE_TIMEOUT + std::time::Duration::from_secs(1),
    );
    match agent.change_council(asked).await {
        Ok(said) => {
            println!("{}", said.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: {}; look at frostctl council status", e.message());
            Ok(ExitCode::from(REFUSED))
        }
    }
}

fn recover(path: &std::path::Path, by: &str, sure: bool) -> Result<ExitCode, String> {
    if !path.is_file() {
        return Err(format!("{}: there is no such file", path.display()));
    }
    let file = CouncilFile::open(path).map_err(|e| e.to_string())?;
    let known = file.identity().map_err(|e| e.to_string())?;
    let Some(known) = known else {
        return Err(format!("{}: it is of no member yet: there is nothing to go on from", path.display()));
    };
    if !sure {
        println!(
            "{} would go on alone for fleet {}. At risk: what the others agreed on and this file does not hold is lost, and if \
             a majority of them still runs, there are two councils that both give out epochs. Those of this one jump far above \
             theirs, so what the others do for the fleet is refused from its first effect on. Nothing was changed; to do it, \
             add --the-others-are-gone-for-good.",
            known.name, known.fleet
        );
        return Ok(ExitCode::from(REFUSED));
    }
    let at_ms = u64::try_from(frostvale_agent::clock::unix_ms()).unwrap_or(0);
    let now = file.recover(by, at_ms).map_err(|e| e.to_string())?;
    println!(
        "{} goes on alone for fleet {}, generation {}: start its agent, then add the others anew, each with a new file",
        now.name, now.fleet, now.generation
    );
    Ok(ExitCode::SUCCESS)
}

fn table(said: &CouncilResponse) {
    let leader = if said.leader.is_empty() { "nobody" } else { &said.leader };
    println!(
        "fleet {}: this agent is member {} ({}); {leader} leads in term {}; log to {}, done to {}; file {} KB; {} messages \
         refused; generation {}",
        said.fleet,
        said.id,
        said.state,
        said.term,
        said.last,
        said.applied,
        said.file_bytes / 1024,
        said.refused,
        said.generation
    );
    if !said.problem.is_empty() {
        println!("  {}", said.problem);
    }
    if !said.refused_by.is_empty() {
        let mut by: Vec<String> = said.refused_by.iter().map(|(cause, n)| format!("{cause} {n}")).collect();
        by.sort();
        println!("  refused by cause: {}", by.join(", "));
    }
    println!("{:>6} {:<16} {:<24} {:<8} log to", "member", "name", "at", "votes");
    for m in &said.members {
        let matched = m.matched.map_or("-".into(), |n| n.to_string());
        println!(
            "{:>6} {:<16} {:<24} {:<8} {matched}",
            m.id,
            m.name,
            m.at,
            if m.votes { "yes" } else { "no" }
        );
    }
    let votes = said.members.iter().filter(|m| m.votes).count();
    if votes > 0 {
        println!("{votes} vote: {} may be gone", (votes - 1) / 2);
    }
}

fn as_json(said: &CouncilResponse) -> serde_json::Value {
    let member = |m: &frostvale_proto::agent::Member| json!({"id": m.id, "name": m.name, "at": m.at, "votes": m.votes, "matched": m.matched});
    json!({
        "fleet": said.fleet, "id": said.id, "state": said.state, "problem": said.problem, "leader": said.leader,
        "term": said.term, "last": said.last, "applied": said.applied, "file_bytes": said.file_bytes,
        "refused": said.refused, "refused_by": said.refused_by, "generation": said.generation,
        "members": said.members.iter().map(member).collect::<Vec<_>>(),
    })
}
