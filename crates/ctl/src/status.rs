//! `frostctl status`: shows the state of one agent: its links to gatekeepers, its rate limit calls, the
//! record and the outside service.

use frostvale_agent::serve::control;
use frostvale_proto::agent::{StatusRequest, StatusResponse};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code: some gatekeeper is not linked.
const EXIT_INCOMPLETE: u8 = 3;

/// Arguments of `frostctl status`.
#[derive(clap::Args)]
pub struct Args {
    /// The agent's control socket.
    #[arg(long, default_value = "/run/frostvale/agent.sock")]
    agent: PathBuf,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Output {
    Table,
    Json,
}

/// Asks the agent for its status and prints it. Exit code 3: some gatekeeper is not linked.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut agent = control(&args.agent).await?;
    let response = agent
        .status(StatusRequest {})
        .await
        .map_err(|e| format!("cannot read the agent's status: {}", e.message()))?;
    let status = response.into_inner();
    match args.output {
        Output::Table => table(&status),
        Output::Json => println!("{}", as_json(&status)),
    }
    let all_linked = status.gatekeepers.iter().all(|g| g.state == "linked");
    Ok(if all_linked { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

/// Returns one line each on the links and on the record, as (name, text), for the live view.
pub async fn summary_lines(socket: &std::path::Path) -> Vec<(String, String)> {
    let status = async {
        let mut agent = control(socket).await?;
        agent.status(StatusRequest {}).await.map_err(|e| e.message().to_string())
    };
    // The timeout keeps the live view refreshing when the agent hangs.
    let status = match tokio::time::timeout(std::time::Duration::from_millis(300), status).await {
        Ok(Ok(status)) => status.into_inner(),
        Ok(Err(_)) => return vec![("link".into(), "no agent answers".into())],
        Err(_) => return vec![("link".into(), "the agent is silent".into())],
    };
    let linked = status.gatekeepers.iter().filter(|g| g.state == "linked").count();
    let calls = status.calls.unwrap_or_default();
    let mut lines = vec![(
        "link".to_string(),
        format!(
            "{linked} of {} gatekeepers; {} checks undecided",
            status.gatekeepers.len(),
            calls.undecided_allowed + calls.undecided_denied
        ),
    )];
    if let Some(r) = status.record {
        let summary = format!(
            "{} {}, {} batches landed, {} in the spool, {} gaps",
            r.kind, r.state, r.landed, r.spool_batches, r.gaps
        );
        lines.push(("record".into(), summary));
    }
    lines
}

fn table(status: &StatusResponse) {
    println!("agent {}: {} shops' sets known", status.name, status.sets);
    println!(
        "{:<12} {:<9} {:>6} {:>8}  {:<10} problem",
        "gatekeeper", "state", "number", "in hand", "breaker"
    );
    for g in &status.gatekeepers {
        let breaker = if g.breaker.is_empty() {
            "-".to_string()
        } else {
            format!("{} ({} failed, {} by mode)", g.breaker, g.outside_failed, g.outside_by_mode)
        };
        println!(
            "{:<12} {:<9} {:>6} {:>8}  {breaker:<10} {}",
            g.name, g.state, g.number, g.in_hand, g.problem
        );
    }
    let c = status.calls.unwrap_or_default();
    println!(
        "calls {}: {} invalid; checks: {} granted, {} over, {} unmatched, {} given back",
        c.calls, c.invalid, c.granted, c.over, c.unmatched, c.given_back
    );
    println!(
        "undecided: {} allowed, {} denied, of them {} that a gatekeeper may have charged",
        c.undecided_allowed, c.undecided_denied, c.in_doubt
    );
    if let Some(r) = &status.record {
        let age = if r.age_ms == u64::MAX {
            "never".into()
        } else {
            format!("{:.1} s ago", r.age_ms as f64 / 1000.0)
        };
        println!(
            "record ({}): {}, revision {} read {age}; spool {} batches, {} KB; {} batches landed, {} gaps",
            r.kind,
            r.state,
            r.revision,
            r.spool_batches,
            r.spool_bytes / 1024,
            r.landed,
            r.gaps
        );
        if !r.problem.is_empty() {
            println!("  {}", r.problem);
        }
    }
    if let Some(o) = status.outside.filter(|o| o.configured) {
        println!(
            "outside service: {} asked, {} ok, {} over, {} failed, {} in hand",
            o.asked, o.ok, o.over, o.failed, o.in_hand
        );
    }
}

fn as_json(status: &StatusResponse) -> serde_json::Value {
    let gatekeeper = |g: &frostvale_proto::agent::Gatekeeper| {
        json!({
            "name": g.name, "state": g.state, "number": g.number, "in_hand": g.in_hand, "problem": g.problem,
            "socket": g.socket, "started_ms": g.started_ms, "breaker": g.breaker,
            "outside_failed": g.outside_failed, "outside_by_mode": g.outside_by_mode,
        })
    };
    let record = status.record.as_ref().map(|r| {
        json!({
            "kind": r.kind, "state": r.state, "problem": r.problem, "revision": r.revision, "age_ms": r.age_ms,
            "spool_batches": r.spool_batches, "spool_bytes": r.spool_bytes, "away_ms": r.away_ms,
            "landed": r.landed, "gaps": r.gaps,
        })
    });
    let c = status.calls.unwrap_or_default();
    let o = status.outside.unwrap_or_default();
    json!({
        "name": status.name, "sets": status.sets, "record": record,
        "gatekeepers": status.gatekeepers.iter().map(gatekeeper).collect::<Vec<_>>(),
        "calls": {
            "calls": c.calls, "invalid": c.invalid, "unmatched": c.unmatched, "granted": c.granted, "over": c.over,
            "undecided_allowed": c.undecided_allowed, "undecided_denied": c.undecided_denied,
            "given_back": c.given_back, "in_doubt": c.in_doubt,
        },
        "outside": {
            "configured": o.configured, "asked": o.asked, "ok": o.ok, "over": o.over, "failed": o.failed,
            "in_hand": o.in_hand,
        },
    })
}
