//! `frostctl audit`, `fleet` and `stragglers`: the versions that each gatekeeper applies, the history of them
//! with its verification, and the gatekeepers that are behind or fenced off.

use clap::Subcommand;
use frostvale_agent::clock::unix_ms;
use frostvale_agent::serve::control;
use frostvale_audit::replay::Replay;
use frostvale_audit::{ChainRow, Checkpoint, Decision, hash_chain::ChainVerifier};
use frostvale_proto::agent::agent_client::AgentClient;
use frostvale_proto::agent::audit_change::What;
use frostvale_proto::agent::{
    AuditChange, AuditRequest, AuditResponse, HistoryRequest, Instance, UseByRevisionRequest,
};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};
use tonic::transport::Channel;

/// Exit code: some gatekeeper is behind, unknown or fenced off, or the data shown may be stale.
const EXIT_INCOMPLETE: u8 = 3;
/// Exit code: the agent refused the change, or the gatekeeper is not known.
const EXIT_REFUSED: u8 = 4;
/// Exit code: the verification of the history found a fault.
const EXIT_VERIFY_FAILED: u8 = 6;
/// Rows of the history that are requested at once.
const HISTORY_BATCH_ROWS: u32 = 1000;

/// The agent to ask, and the output format.
#[derive(clap::Args)]
struct Target {
    /// The control socket of any agent of the council.
    #[arg(long, global = true, default_value = "/run/frostvale/agent.sock")]
    agent: PathBuf,
    /// Prints JSON.
    #[arg(long, global = true)]
    json: bool,
}

/// Arguments of `frostctl audit`.
#[derive(clap::Args)]
pub struct Args {
    #[command(flatten)]
    place: Target,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the versions that each gatekeeper applied at a time, from the history. Changes that may have
    /// taken effect before or after that time are listed as uncertain.
    At {
        /// The time: a duration before now such as `10m`, or a time such as `2026-12-24T06:00:00Z`.
        time: String,
    },
    /// Lists all rows of the history on one gatekeeper, oldest first.
    Instance {
        /// Name of the gatekeeper.
        name: String,
    },
    /// Shows by gatekeeper the units that were decided under a revision of the plans and the time range, and
    /// marks those that ended after the next revision was wanted.
    Version {
        /// Revision of the plans.
        revision: u64,
    },
    /// Verifies the whole history: detects rows that were changed, removed or inserted, and compares it with
    /// the council's checkpoints. Exit code 6: the verification failed; each fault is named.
    Verify,
    /// Writes the whole history to standard output, as CSV or JSON lines.
    Export {
        /// Output format: `csv` or `json`.
        #[arg(long, default_value = "csv")]
        format: String,
    },
}

/// Arguments of `frostctl fleet`.
#[derive(clap::Args)]
pub struct FleetArgs {
    #[command(flatten)]
    place: Target,
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Lists all known gatekeepers and the versions that each applies. Exit code 3: one is behind, unknown or
    /// fenced off, or the owner cannot be reached.
    List,
    /// Prints the same list repeatedly.
    Watch {
        /// Interval in seconds, 0.1 to 3600.
        #[arg(long, default_value_t = 2.0)]
        every: f64,
    },
}

/// Arguments of `frostctl stragglers`.
#[derive(clap::Args)]
pub struct StragglerArgs {
    #[command(flatten)]
    place: Target,
    #[command(subcommand)]
    command: StragglerCommand,
}

#[derive(Subcommand)]
enum StragglerCommand {
    /// Lists the gatekeepers that are behind, unknown or fenced off, with the escalation step of each, and
    /// alarms. Exit code 3: there is one.
    List,
    /// Fences a gatekeeper off until a given time, within the limits on fence-offs.
    /// Exit code 4: refused.
    Out(Override),
    /// Keeps a gatekeeper in service until a given time, whatever versions it applies. Exit code 4: refused.
    In(Override),
    /// Removes an operator override of a gatekeeper. Exit code 4: refused.
    Clear {
        /// Name of the gatekeeper.
        instance: String,
        /// Who makes this change; stored with it.
        #[arg(long, env = "USER", default_value = "operator")]
        by: String,
    },
}

/// An operator override of one gatekeeper.
#[derive(clap::Args)]
struct Override {
    /// Name of the gatekeeper.
    instance: String,
    /// Reason for the override, shown to other operators.
    #[arg(long)]
    why: String,
    /// End of the override: a duration such as `30m`, or a time such as `2026-12-24T06:00:00Z`.
    #[arg(long)]
    until: String,
    /// Who makes this change; stored with it.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,
}

fn now_ms() -> u64 {
    u64::try_from(unix_ms()).unwrap_or(0)
}

/// Parses an RFC 3339 time into Unix time in ms.
fn parse_time_ms(text: &str) -> Result<u64, String> {
    let at = humantime::parse_rfc3339(text).map_err(|_| {
        format!(
            "cannot parse {text}: expected a duration such as 30m, or a time such as 2026-12-24T06:00:00Z"
        )
    })?;
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Ok(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Parses a duration such as `30m` into ms; `None` if the text is not a duration.
fn duration_ms(text: &str) -> Option<u64> {
    humantime::parse_duration(text).ok().map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Formats a Unix time in ms as RFC 3339, at most the last second of the year 9999.
fn format_time(unix_ms: u64) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms.min(253_402_300_799_000));
    humantime::format_rfc3339_millis(at).to_string()
}

/// Reads the whole history in batches; returns its rows and the checkpoint that the first row follows.
async fn fetch_history(agent: &mut AgentClient<Channel>) -> Result<(Vec<ChainRow>, Checkpoint), String> {
    let mut all: Vec<ChainRow> = Vec::new();
    loop {
        let request = HistoryRequest { after: all.last().map_or(0, |r| r.number), most: HISTORY_BATCH_ROWS };
        let response = agent.history(request).await.map_err(|e| e.message().to_string())?.into_inner();
        let base = serde_json::from_str(&response.base)
            .map_err(|e| format!("cannot parse the base of the history: {e}"))?;
        let more = response.rows.len() == HISTORY_BATCH_ROWS as usize;
        for row in response.rows {
            all.push(
                serde_json::from_str(&row).map_err(|e| format!("cannot parse a row of the history: {e}"))?,
            );
        }
        if !more {
            return Ok((all, base));
        }
    }
}

async fn fetch_audit(agent: &mut AgentClient<Channel>) -> Result<AuditResponse, String> {
    Ok(agent.audit(AuditRequest {}).await.map_err(|e| e.message().to_string())?.into_inner())
}

/// Runs `frostctl audit`.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut agent = control(&args.place.agent).await?;
    let json = args.place.json;
    match args.command {
        Command::At { time } => {
            let at = match duration_ms(&time) {
                Some(span) => now_ms().saturating_sub(span),
                None => parse_time_ms(&time)?,
            };
            let mut replay = Replay::new(at, "");
            fetch_history(&mut agent).await?.0.iter().for_each(|r| replay.apply_row(r));
            let all = replay.finish();
            if json {
                println!("{}", json!({"at_ms": at, "instances": all}));
                return Ok(ExitCode::SUCCESS);
            }
            println!("at {}", format_time(at));
            for (name, then) in all {
                let reported = if then.heard { "" } else { ", no report received" };
                let out = if then.out { ", fenced off" } else { "" };
                println!("{name}: life {}{reported}{out}", then.life);
                for (kind, version) in &then.versions {
                    println!("  {kind:<20} {}", short_version(version));
                }
                for (row, what) in &then.between {
                    println!("  uncertain, before or after this time (row {row}): {what}");
                }
            }
        }
        Command::Instance { name } => {
            let all = fetch_history(&mut agent).await?.0;
            let own: Vec<&ChainRow> = all.iter().filter(|r| r.instance == name).collect();
            if own.is_empty() {
                eprintln!("frostctl: the history has no gatekeeper {name:?}; see frostctl fleet list");
                return Ok(ExitCode::from(EXIT_REFUSED));
            }
            for row in own {
                if json {
                    println!("{}", json!(row));
                } else {
                    println!(
                        "{:>8}  {}  life {:<14} {:<16} {} -> {}",
                        row.number,
                        format_time(row.at_ms),
                        row.life,
                        row.kind,
                        short_version(&row.was),
                        short_version(&row.now_is)
                    );
                }
            }
        }
        Command::Version { revision } => return version(&mut agent, revision, json).await,
        Command::Verify => return verify(&mut agent, json).await,
        Command::Export { format } => {
            let all = fetch_history(&mut agent).await?.0;
            match format.as_str() {
                "json" => all.iter().for_each(|r| println!("{}", json!(r))),
                "csv" => {
                    let mut csv = csv::Writer::from_writer(std::io::stdout());
                    for row in &all {
                        csv.serialize(row).map_err(|e| e.to_string())?;
                    }
                    csv.flush().map_err(|e| e.to_string())?;
                }
                _ => return Err(format!("unknown --format {format}: expected csv or json")),
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Shortens a version `revision:digest` to the first 8 hex digits of its digest.
fn short_version(text: &str) -> String {
    match text.split_once(':') {
        Some((revision, digest)) if digest.len() == 64 => format!("{revision}:{}", &digest[..8]),
        _ => text.to_string(),
    }
}

async fn version(agent: &mut AgentClient<Channel>, revision: u64, json: bool) -> Result<ExitCode, String> {
    let used = agent.use_by_revision(UseByRevisionRequest {}).await.map_err(|e| e.message().to_string())?;
    let all = fetch_history(agent).await?.0;
    // The time from which a later revision was wanted, as the owner recorded it.
    let later =
        |r: &&ChainRow| r.kind == "wanted.plans" && r.now_is.parse::<u64>().is_ok_and(|n| n > revision);
    let next = all.iter().find(later).map(|r| r.at_ms);
    let mut total = (0_u64, 0_u64);
    let mut shown = Vec::new();
    for u in used.into_inner().rows.into_iter().filter(|u| u.revision == revision) {
        total = (total.0 + u.passed_milli, total.1 + u.refused_milli);
        let after = next.is_some_and(|at| u.to_ms > at);
        shown.push((u, after));
    }
    if json {
        let row = |(u, after): &(frostvale_proto::agent::RevisionUse, bool)| {
            json!({"instance": u.instance, "life": u.life, "passed_milli": u.passed_milli, "refused_milli": u.refused_milli,
                "from_ms": u.from_ms, "to_ms": u.to_ms, "after_the_next": after})
        };
        println!(
            "{}",
            json!({"revision": revision, "passed_milli": total.0, "refused_milli": total.1, "next_wanted_ms": next,
                "instances": shown.iter().map(row).collect::<Vec<_>>()})
        );
        return Ok(ExitCode::SUCCESS);
    }
    let units = |milli: u64| milli as f64 / 1000.0;
    println!(
        "decided under plans of revision {revision}: {} units passed, {} refused",
        units(total.0),
        units(total.1)
    );
    if let Some(next) = next {
        println!("a later revision was wanted from {} on, by the owner's clock", format_time(next));
    }
    for (u, after) in &shown {
        let after = if *after { "  ended after the next revision was wanted" } else { "" };
        println!(
            "  {} life {}: {} passed, {} refused, {} to {} by its clock{after}",
            u.instance,
            u.life,
            units(u.passed_milli),
            units(u.refused_milli),
            format_time(u.from_ms),
            format_time(u.to_ms)
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn verify(agent: &mut AgentClient<Channel>, json: bool) -> Result<ExitCode, String> {
    // The checkpoints are read before the rows: rows continue to be added, so the history that is read later is
    // never shorter than the checkpoints require.
    let response = fetch_audit(agent).await?;
    let decision: Decision = serde_json::from_str(&response.decision).unwrap_or_default();
    let (all, base) = fetch_history(agent).await?;
    let checkpoint_count = decision.anchors.len();
    let mut verifier = ChainVerifier::new(base.clone(), decision.anchors);
    all.iter().for_each(|r| verifier.check_row(r));
    let (broken, count) = verifier.finish();
    if json {
        println!(
            "{}",
            json!({"rows": count, "from": base.number + 1, "anchors": checkpoint_count, "broken": broken})
        );
    } else {
        println!(
            "{count} rows from {} on, against {checkpoint_count} checkpoints of the council",
            base.number + 1
        );
        broken.iter().for_each(|b| println!("{b}"));
        if broken.is_empty() {
            println!("the history is intact");
        }
    }
    if checkpoint_count == 0 && !json {
        println!("there is no checkpoint yet: removed rows at the end of the history cannot be detected");
    }
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_VERIFY_FAILED) })
}

/// Whether the gatekeeper reports, is up to date and is not fenced off.
fn is_healthy(i: &Instance) -> bool {
    i.heard && i.behind.is_empty() && !i.out
}

/// Describes the state of a gatekeeper for the table.
fn state(i: &Instance) -> String {
    match (i.out, i.heard, i.behind.as_str()) {
        (true, _, "") => "out, up to date again".into(),
        (true, _, why) => format!("out: {why}"),
        (_, false, _) => format!("unknown for {:.1} s", i.age_ms as f64 / 1000.0),
        (_, _, "") => "up to date".into(),
        (.., why) => format!("behind ({}): {why}", i.step),
    }
}

fn as_json(response: &AuditResponse) -> serde_json::Value {
    let versions = |i: &Instance| -> serde_json::Map<String, serde_json::Value> {
        i.versions
            .iter()
            .map(|v| (v.kind.clone(), json!({"revision": v.revision, "digest": v.digest})))
            .collect()
    };
    let instance = |i: &Instance| {
        json!({"name": i.name, "agent": i.agent, "zone": i.zone, "life": i.life, "number": i.me, "age_ms": i.age_ms,
            "heard": i.heard, "behind": i.behind, "step": i.step, "out": i.out, "versions": versions(i)})
    };
    let view = response.view.as_ref().map(|v| {
        json!({"instances": v.instances.iter().map(instance).collect::<Vec<_>>(), "alarms": v.alarms,
            "words": {"taken": v.heard, "refused": v.refused},
            "wanted": v.wanted.iter().map(|w| json!({"kind": w.kind, "revision": w.revision, "digest": w.digest, "age_ms": w.age_ms})).collect::<Vec<_>>()})
    });
    let decision: serde_json::Value = serde_json::from_str(&response.decision).unwrap_or_default();
    json!({"version": response.version, "epoch": response.epoch, "owner": response.owner, "current": response.current, "view": view,
        "out": decision["out"],
        "by_hand": response.intents.iter().map(|i| json!({"instance": i.instance, "what": i.what, "by": i.by, "why": i.why, "until_ms": i.until_ms})).collect::<Vec<_>>()})
}

/// Prints the wanted versions, the gatekeepers that `only` selects, alarms and operator overrides.
fn list(response: &AuditResponse, only: impl Fn(&Instance) -> bool) {
    let Some(view) = &response.view else {
        println!(
            "cannot reach the owner of the audit: the versions that each gatekeeper applies are not known"
        );
        return;
    };
    for w in &view.wanted {
        println!("wanted for {:.0} s: {} {}", w.age_ms as f64 / 1000.0, w.kind, w.revision);
    }
    println!("{:<14} {:<10} {:<10} {:<18} {:<10} state", "gatekeeper", "agent", "zone", "plans", "zones");
    for i in view.instances.iter().filter(|i| only(i)) {
        let of = |kind: &str| {
            let v = i.versions.iter().find(|v| v.kind == kind);
            v.map_or("-".into(), |v| short_version(&format!("{}:{}", v.revision, v.digest)))
        };
        println!(
            "{:<14} {:<10} {:<10} {:<18} {:<10} {}",
            i.name,
            i.agent,
            i.zone,
            of("plans"),
            of("zones"),
            state(i)
        );
    }
    view.alarms.iter().for_each(|a| println!("alarm: {a}"));
    for i in &response.intents {
        println!(
            "by hand: {} {} until {} by {}: {}",
            i.instance,
            i.what,
            format_time(i.until_ms),
            i.by,
            i.why
        );
    }
    println!("words: {} taken, {} refused", view.heard, view.refused);
}

/// Returns success if the response is current and every gatekeeper is healthy, else exit code 3.
fn exit_code(response: &AuditResponse) -> ExitCode {
    let all_healthy =
        response.current && response.view.as_ref().is_some_and(|v| v.instances.iter().all(is_healthy));
    if all_healthy { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) }
}

/// Runs `frostctl fleet`.
pub async fn fleet(args: FleetArgs) -> Result<ExitCode, String> {
    let mut agent = control(&args.place.agent).await?;
    match args.command {
        FleetCommand::List => {
            let response = fetch_audit(&mut agent).await?;
            if args.place.json {
                println!("{}", as_json(&response))
            } else {
                list(&response, |_| true)
            }
            Ok(exit_code(&response))
        }
        FleetCommand::Watch { every } => {
            if !(0.1..=3600.0).contains(&every) {
                return Err(format!("--every {every} is out of range: 0.1 to 3600"));
            }
            loop {
                let response = fetch_audit(&mut agent).await?;
                println!("--- {}", format_time(now_ms()));
                if args.place.json {
                    println!("{}", as_json(&response))
                } else {
                    list(&response, |_| true)
                }
                tokio::time::sleep(Duration::from_secs_f64(every)).await;
            }
        }
    }
}

/// Runs `frostctl stragglers`.
pub async fn stragglers(args: StragglerArgs) -> Result<ExitCode, String> {
    let agent_socket: &Path = &args.place.agent;
    let mut agent = control(agent_socket).await?;
    let (what, operator_override) = match args.command {
        StragglerCommand::List => {
            let response = fetch_audit(&mut agent).await?;
            if args.place.json {
                println!("{}", as_json(&response))
            } else {
                list(&response, |i| !is_healthy(i))
            }
            return Ok(exit_code(&response));
        }
        StragglerCommand::Out(operator_override) => (What::Out, operator_override),
        StragglerCommand::In(operator_override) => (What::In, operator_override),
        StragglerCommand::Clear { instance, by } => {
            (What::Clear, Override { instance, by, why: "cleared".into(), until: "1s".into() })
        }
    };
    let until_ms = match duration_ms(&operator_override.until) {
        Some(span) => now_ms().saturating_add(span),
        None => parse_time_ms(&operator_override.until)?,
    };
    let Override { instance, why, by, .. } = operator_override;
    let change = AuditChange { what: what.into(), instance, by, why, until_ms };
    match agent.change_audit(change).await {
        Ok(response) => {
            println!("{}", response.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: {}; see frostctl fleet list", e.message());
            Ok(ExitCode::from(EXIT_REFUSED))
        }
    }
}
