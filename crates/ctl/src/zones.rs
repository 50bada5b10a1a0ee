//! `frostctl zones`: shows the current decision on the zones and the version that each gatekeeper applies,
//! and drains and restores zones for operators.

use clap::Subcommand;
use frostvale_agent::clock::unix_ms;
use frostvale_agent::serve::control;
use frostvale_proto::agent::{ZoneActs, ZonesChange, ZonesRequest, ZonesResponse};
use frostvale_zones::{Decision, Share};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

/// Exit code: some gatekeeper does not apply the current decision, or the data shown may be stale.
const EXIT_INCOMPLETE: u8 = 3;
/// Exit code: the agent refused the change.
const EXIT_REFUSED: u8 = 4;

/// Arguments of `frostctl zones`.
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
    /// Shows the current decision, its owner, and the version that each gatekeeper applies. Exit code 3: some
    /// gatekeeper applies another version or none, or the owner cannot be reached.
    Status {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Lists the changes, oldest first.
    History,
    /// Takes a zone out of use in steps, until a given time. Exit code 4: refused, with the figures if the
    /// other zones lack the capacity.
    Drain {
        /// Name of the zone.
        zone: String,
        /// Reason for the drain, shown to other operators.
        #[arg(long)]
        why: String,
        /// End of the drain: a duration such as `30m` or `2h`, or a time such as `2026-12-24T06:00:00Z`.
        #[arg(long)]
        until: String,
        /// Drains the zone even if the others lack the capacity: the excess is refused, and the answer states
        /// its amount.
        #[arg(long)]
        force: bool,
        /// Who makes this change; stored with it.
        #[arg(long, env = "USER", default_value = "operator")]
        by: String,
    },
    /// Ends a drain early. Exit code 4: refused.
    Restore {
        /// Name of the zone.
        zone: String,
        /// Who makes this change; stored with it.
        #[arg(long, env = "USER", default_value = "operator")]
        by: String,
    },
}

/// Runs the command. An error of the connection or of a read is returned; a refused change is exit code 4.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut agent = control(&args.agent).await?;
    let change = match args.command {
        Command::Status { json } => {
            let response =
                agent.zones(ZonesRequest {}).await.map_err(|e| e.message().to_string())?.into_inner();
            if json {
                println!("{}", as_json(&response));
            } else {
                table(&response);
            }
            return Ok(if is_healthy(&response) {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_INCOMPLETE)
            });
        }
        Command::History => {
            let response =
                agent.zones(ZonesRequest {}).await.map_err(|e| e.message().to_string())?.into_inner();
            for c in response.history {
                println!("{}  epoch {:<8} {:<16} {}", format_time(c.at_ms), c.epoch, c.who, c.what);
            }
            return Ok(ExitCode::SUCCESS);
        }
        Command::Drain { zone, why, until, force, by } => {
            ZonesChange { drain: zone, why, until_ms: until_ms(&until)?, force, by, ..ZonesChange::default() }
        }
        Command::Restore { zone, by } => ZonesChange { restore: zone, by, ..ZonesChange::default() },
    };
    match agent.change_zones(change).await {
        Ok(response) => {
            println!("{}", response.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: {}; see frostctl zones status", e.message());
            Ok(ExitCode::from(EXIT_REFUSED))
        }
    }
}

/// Parses `--until` into a Unix time in ms: a duration from now by this host's clock, or an RFC 3339 time.
fn until_ms(text: &str) -> Result<u64, String> {
    let now = u64::try_from(unix_ms()).unwrap_or(0);
    if let Ok(span) = humantime::parse_duration(text) {
        return Ok(now.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)));
    }
    let at = humantime::parse_rfc3339(text)
        .map_err(|_| format!("cannot parse --until {text}: expected a duration such as 30m, or a time such as 2026-12-24T06:00:00Z"))?;
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Ok(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Formats a Unix time in ms as RFC 3339, at most the last second of the year 9999.
fn format_time(unix_ms: u64) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms.min(253_402_300_799_000));
    humantime::format_rfc3339_seconds(at).to_string()
}

/// Whether the response is current and every gatekeeper that reports applies the current version without a
/// problem.
fn is_healthy(response: &ZonesResponse) -> bool {
    let is_current = |a: &ZoneActs| a.version == response.version && a.problem.is_empty();
    response.current
        && response.view.as_ref().is_some_and(|v| !v.acts.is_empty() && v.acts.iter().all(is_current))
}

fn format_share(s: Share) -> String {
    let percent = |milli: u32| format!("{}%", milli / 10);
    if s.start == s.end { percent(s.end) } else { format!("{} to {}", percent(s.start), percent(s.end)) }
}

fn table(response: &ZonesResponse) {
    if response.version == 0 {
        println!("nothing is decided yet: each gatekeeper acts by itself");
    } else {
        let stale = if response.current { "" } else { " (last known: the council cannot be reached)" };
        println!(
            "version {} of {}, epoch {}, by {}{stale}",
            response.version,
            format_time(response.at_ms),
            response.epoch,
            response.owner
        );
    }
    if let Ok(decision) = serde_json::from_str::<Decision>(&response.decision) {
        println!("{:<16} {:<12} {:>8} {:>8} {:>8}  why", "zone", "state", "suffers", "needs", "bears");
        for z in &decision.zones {
            println!(
                "{:<16} {:<12} {:>7.1}% {:>8.1} {:>8.1}  {}",
                z.zone,
                z.state.to_string(),
                f64::from(z.suffers_milli) / 10.0,
                z.needs_milli as f64 / 1000.0,
                z.bears_milli as f64 / 1000.0,
                z.why
            );
        }
        for row in &decision.rows {
            let spilled: Vec<String> =
                row.spill.iter().map(|s| format!("{} {}", s.to, format_share(s.share))).collect();
            println!(
                "from {}: near {}, elsewhere at the most {}",
                row.from,
                format_share(row.near),
                spilled.join(", ")
            );
        }
        if decision.ramp_ms > 0 {
            println!("shares move over {:.1} s", decision.ramp_ms as f64 / 1000.0);
        }
    }
    for i in &response.intents {
        let force = if i.force { ", forced" } else { "" };
        println!("{} is drained until {} by {}{force}: {}", i.zone, format_time(i.until_ms), i.by, i.why);
    }
    let Some(view) = &response.view else {
        println!("cannot reach the owner: the version that each gatekeeper applies is not known");
        return;
    };
    println!("reports: {} taken, {} that can't be, {} too old", view.heard, view.refused, view.old);
    for a in &view.agents {
        let counts = if a.counts { "" } else { ", does not count any more" };
        println!("  {} in {}: {} ms ago{counts}", a.name, a.zone, a.age_ms);
    }
    for a in &view.acts {
        let acts = match a.version {
            0 => "acts by itself".to_string(),
            v => format!("acts on version {v}, epoch {}", a.epoch),
        };
        let problem = if a.problem.is_empty() { String::new() } else { format!("; {}", a.problem) };
        println!("  {} of {}: {acts} ({} ms ago){problem}", a.gatekeeper, a.agent, a.age_ms);
    }
}

fn as_json(response: &ZonesResponse) -> serde_json::Value {
    let decision: serde_json::Value = serde_json::from_str(&response.decision).unwrap_or_default();
    let acts = |a: &ZoneActs| json!({"gatekeeper": a.gatekeeper, "agent": a.agent, "version": a.version, "epoch": a.epoch, "problem": a.problem, "age_ms": a.age_ms});
    let view = response.view.as_ref().map(|v| {
        json!({
            "agents": v.agents.iter().map(|a| json!({"name": a.name, "zone": a.zone, "age_ms": a.age_ms, "counts": a.counts})).collect::<Vec<_>>(),
            "acts": v.acts.iter().map(acts).collect::<Vec<_>>(),
            "reports": {"taken": v.heard, "refused": v.refused, "old": v.old},
        })
    });
    json!({
        "version": response.version, "epoch": response.epoch, "owner": response.owner, "at_ms": response.at_ms, "current": response.current,
        "decision": decision, "view": view,
        "drains": response.intents.iter().map(|i| json!({"zone": i.zone, "force": i.force, "by": i.by, "why": i.why, "until_ms": i.until_ms})).collect::<Vec<_>>(),
    })
}
