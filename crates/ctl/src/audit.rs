//! The audit: what each gatekeeper acts on, its history, and those that are behind or shut out.

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

/// Not all is as it should be, or what is shown may be old.
const PARTLY: u8 = 3;
/// It was refused.
const REFUSED: u8 = 4;
/// The history does not hold together.
const BROKEN: u8 = 6;
/// Rows that are asked for at once.
const ROWS: u32 = 1000;

/// Which agent.
#[derive(clap::Args)]
struct Place {
    /// The control socket of any agent of the council.
    #[arg(long, global = true, default_value = "/run/frostvale/agent.sock")]
    agent: PathBuf,
    /// As JSON.
    #[arg(long, global = true)]
    json: bool,
}

/// Which agent, and what.
#[derive(clap::Args)]
pub struct Args {
    #[command(flatten)]
    place: Place,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// What each gatekeeper acted on at a time, by the history. What may have been either way is shown as such.
    At {
        /// So long ago, as `10m`, or a time, as `2026-12-24T06:00:00Z`.
        time: String,
    },
    /// Everything the history knows of one gatekeeper, oldest first.
    Instance {
        /// Which.
        name: String,
    },
    /// Units by gatekeeper that were decided under a revision of plans, and until when; with how much of it after the next
    /// one was out.
    Version {
        /// The revision.
        revision: u64,
    },
    /// Looks through the whole history for rows that were changed, removed or put in, and against the council's anchors.
    /// Exit code 6: it does not hold together, and each place is named.
    Verify,
    /// Writes the whole history, as CSV or as JSON lines, to standard output.
    Export {
        /// `csv` or `json`.
        #[arg(long, default_value = "csv")]
        format: String,
    },
}

/// Which agent, and what.
#[derive(clap::Args)]
pub struct FleetArgs {
    #[command(flatten)]
    place: Place,
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// All gatekeepers that are known, and what each acts on. Exit code 3: one is behind, unknown or shut out, or the owner
    /// can't be asked.
    List,
    /// The same, again and again.
    Watch {
        /// How often, in seconds.
        #[arg(long, default_value_t = 2.0)]
        every: f64,
    },
}

/// Which agent, and what.
#[derive(clap::Args)]
pub struct StragglerArgs {
    #[command(flatten)]
    place: Place,
    #[command(subcommand)]
    command: StragglerCommand,
}

#[derive(Subcommand)]
enum StragglerCommand {
    /// Those that are behind, unknown or shut out, how far each has come, and alarms. Exit code 3: there is one.
    List,
    /// Has one shut out, until a time, as far as the floors allow. Exit code 4: refused.
    Out(Wish),
    /// Keeps one in, until a time, whatever it acts on. Exit code 4: refused.
    In(Wish),
    /// Takes back what was said of one by hand. Exit code 4: refused.
    Clear {
        /// Which.
        instance: String,
        /// Who says so.
        #[arg(long, env = "USER", default_value = "operator")]
        by: String,
    },
}

/// An operator's word.
#[derive(clap::Args)]
struct Wish {
    /// Which.
    instance: String,
    /// Why, for whoever finds it so.
    #[arg(long)]
    why: String,
    /// Until when: for so long, as `30m`, or a time, as `2026-12-24T06:00:00Z`.
    #[arg(long)]
    until: String,
    /// Who says so.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,
}

fn now_ms() -> u64 {
    u64::try_from(unix_ms()).unwrap_or(0)
}

fn time_ms(text: &str) -> Result<u64, String> {
    let at = humantime::parse_rfc3339(text)
        .map_err(|_| format!("{text}: so long, as 30m, or a time, as 2026-12-24T06:00:00Z"))?;
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Ok(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn span_ms(text: &str) -> Option<u64> {
    humantime::parse_duration(text).ok().map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

fn when(unix_ms: u64) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms.min(253_402_300_799_000));
    humantime::format_rfc3339_millis(at).to_string()
}

/// A history, whole, and where it begins.
async fn rows(agent: &mut AgentClient<Channel>) -> Result<(Vec<ChainRow>, Checkpoint), String> {
    let mut all: Vec<ChainRow> = Vec::new();
    loop {
        let asked = HistoryRequest { after: all.last().map_or(0, |r| r.number), most: ROWS };
        let said = agent.history(asked).await.map_err(|e| e.message().to_string())?.into_inner();
        let base = serde_json::from_str(&said.base).map_err(|e| format!("the history's base: {e}"))?;
        let more = said.rows.len() == ROWS as usize;
        for row in said.rows {
            all.push(serde_json::from_str(&row).map_err(|e| format!("a row of the history: {e}"))?);
        }
        if !more {
            return Ok((all, base));
        }
    }
}

async fn ask(agent: &mut AgentClient<Channel>) -> Result<AuditResponse, String> {
    Ok(agent.audit(AuditRequest {}).await.map_err(|e| e.message().to_string())?.into_inner())
}

/// Answers about the history.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut agent = control(&args.place.agent).await?;
    let json = args.place.json;
    match args.command {
        Command::At { time } => {
            let at = match span_ms(&time) {
                Some(span) => now_ms().saturating_sub(span),
                None => time_ms(&time)?,
            };
            let mut replay = Replay::new(at, "");
            rows(&mut agent).await?.0.iter().for_each(|r| replay.apply_row(r));
            let all = replay.finish();
            if json {
                println!("{}", json!({"at_ms": at, "instances": all}));
                return Ok(ExitCode::SUCCESS);
            }
            println!("at {}", when(at));
            for (name, then) in all {
                let heard = if then.heard { "" } else { ", nothing heard of it" };
                let out = if then.out { ", shut out" } else { "" };
                println!("{name}: life {}{heard}{out}", then.life);
                for (kind, version) in &then.versions {
                    println!("  {kind:<20} {}", brief(version));
                }
                for (row, what) in &then.between {
                    println!("  may have been so already, or not yet (row {row}): {what}");
                }
            }
        }
        Command::Instance { name } => {
            let all = rows(&mut agent).await?.0;
            let own: Vec<&ChainRow> = all.iter().filter(|r| r.instance == name).collect();
            if own.is_empty() {
                eprintln!("frostctl: the history knows no gatekeeper {name:?}; look at frostctl fleet list");
                return Ok(ExitCode::from(REFUSED));
            }
            for row in own {
                if json {
                    println!("{}", json!(row));
                } else {
                    println!(
                        "{:>8}  {}  life {:<14} {:<16} {} -> {}",
                        row.number,
                        when(row.at_ms),
                        row.life,
                        row.kind,
                        brief(&row.was),
                        brief(&row.now_is)
                    );
                }
            }
        }
        Command::Version { revision } => return version(&mut agent, revision, json).await,
        Command::Verify => return verify(&mut agent, json).await,
        Command::Export { format } => {
            let all = rows(&mut agent).await?.0;
            match format.as_str() {
                "json" => all.iter().for_each(|r| println!("{}", json!(r))),
                "csv" => {
                    let mut csv = csv::Writer::from_writer(std::io::stdout());
                    for row in &all {
                        csv.serialize(row).map_err(|e| e.to_string())?;
                    }
                    csv.flush().map_err(|e| e.to_string())?;
                }
                _ => return Err(format!("--format {format}: csv or json")),
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// A version in short.
fn brief(text: &str) -> String {
    match text.split_once(':') {
        Some((revision, digest)) if digest.len() == 64 => format!("{revision}:{}", &digest[..8]),
        _ => text.to_string(),
    }
}

async fn version(agent: &mut AgentClient<Channel>, revision: u64, json: bool) -> Result<ExitCode, String> {
    let used = agent.use_by_revision(UseByRevisionRequest {}).await.map_err(|e| e.message().to_string())?;
    let all = rows(agent).await?.0;
    // When the next revision was wanted, as the owner entered it.
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
        println!("a later revision was wanted from {} on, by the owner's clock", when(next));
    }
    for (u, after) in &shown {
        let after = if *after { "  still after the next was wanted" } else { "" };
        println!(
            "  {} life {}: {} passed, {} refused, {} to {} by its clock{after}",
            u.instance,
            u.life,
            units(u.passed_milli),
            units(u.refused_milli),
            when(u.from_ms),
            when(u.to_ms)
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn verify(agent: &mut AgentClient<Channel>, json: bool) -> Result<ExitCode, String> {
    // The anchors first: rows go on being entered, and are never fewer than were anchored.
    let said = ask(agent).await?;
    let decision: Decision = serde_json::from_str(&said.decision).unwrap_or_default();
    let (all, base) = rows(agent).await?;
    let anchors = decision.anchors.len();
    let mut look = ChainVerifier::new(base.clone(), decision.anchors);
    all.iter().for_each(|r| look.check_row(r));
    let (broken, count) = look.finish();
    if json {
        println!("{}", json!({"rows": count, "from": base.number + 1, "anchors": anchors, "broken": broken}));
    } else {
        println!("{count} rows from {} on, against {anchors} anchors of the council", base.number + 1);
        broken.iter().for_each(|b| println!("{b}"));
        if broken.is_empty() {
            println!("the history holds together");
        }
    }
    if anchors == 0 && !json {
        println!("there is no anchor yet: a history that ends too early could not be told");
    }
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) })
}

fn sound(i: &Instance) -> bool {
    i.heard && i.behind.is_empty() && !i.out
}

fn state(i: &Instance) -> String {
    match (i.out, i.heard, i.behind.as_str()) {
        (true, _, "") => "out, up to date again".into(),
        (true, _, why) => format!("out: {why}"),
        (_, false, _) => format!("unknown for {:.1} s", i.age_ms as f64 / 1000.0),
        (_, _, "") => "up to date".into(),
        (.., why) => format!("behind ({}): {why}", i.step),
    }
}

fn as_json(said: &AuditResponse) -> serde_json::Value {
    let acting = |i: &Instance| -> serde_json::Map<String, serde_json::Value> {
        i.versions
            .iter()
            .map(|v| (v.kind.clone(), json!({"revision": v.revision, "digest": v.digest})))
            .collect()
    };
    let one = |i: &Instance| {
        json!({"name": i.name, "agent": i.agent, "zone": i.zone, "life": i.life, "number": i.me, "age_ms": i.age_ms,
            "heard": i.heard, "behind": i.behind, "step": i.step, "out": i.out, "versions": acting(i)})
    };
    let view = said.view.as_ref().map(|v| {
        json!({"instances": v.instances.iter().map(one).collect::<Vec<_>>(), "alarms": v.alarms,
            "words": {"taken": v.heard, "refused": v.refused},
            "wanted": v.wanted.iter().map(|w| json!({"kind": w.kind, "revision": w.revision, "digest": w.digest, "age_ms": w.age_ms})).collect::<Vec<_>>()})
    });
    let decision: serde_json::Value = serde_json::from_str(&said.decision).unwrap_or_default();
    json!({"version": said.version, "epoch": said.epoch, "owner": said.owner, "current": said.current, "view": view,
        "out": decision["out"],
        "by_hand": said.intents.iter().map(|i| json!({"instance": i.instance, "what": i.what, "by": i.by, "why": i.why, "until_ms": i.until_ms})).collect::<Vec<_>>()})
}

fn list(said: &AuditResponse, only: impl Fn(&Instance) -> bool) {
    let Some(view) = &said.view else {
        println!("the owner of the audit can't be asked: what each acts on is not known");
        return;
    };
    for w in &view.wanted {
        println!("wanted for {:.0} s: {} {}", w.age_ms as f64 / 1000.0, w.kind, w.revision);
    }
    println!("{:<14} {:<10} {:<10} {:<18} {:<10} state", "gatekeeper", "agent", "zone", "plans", "zones");
    for i in view.instances.iter().filter(|i| only(i)) {
        let of = |kind: &str| {
            let v = i.versions.iter().find(|v| v.kind == kind);
            v.map_or("-".into(), |v| brief(&format!("{}:{}", v.revision, v.digest)))
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
    for i in &said.intents {
        println!("by hand: {} {} until {} by {}: {}", i.instance, i.what, when(i.until_ms), i.by, i.why);
    }
    println!("words: {} taken, {} refused", view.heard, view.refused);
}

fn code(said: &AuditResponse) -> ExitCode {
    let well = said.current && said.view.as_ref().is_some_and(|v| v.instances.iter().all(sound));
    if well { ExitCode::SUCCESS } else { ExitCode::from(PARTLY) }
}

/// Lists the fleet.
pub async fn fleet(args: FleetArgs) -> Result<ExitCode, String> {
    let mut agent = control(&args.place.agent).await?;
    match args.command {
        FleetCommand::List => {
            let said = ask(&mut agent).await?;
            if args.place.json {
                println!("{}", as_json(&said))
            } else {
                list(&said, |_| true)
            }
            Ok(code(&said))
        }
        FleetCommand::Watch { every } => {
            if !(0.1..=3600.0).contains(&every) {
                return Err(format!("--every {every}: 0.1 to 3600"));
            }
            loop {
                let said = ask(&mut agent).await?;
                println!("--- {}", when(now_ms()));
                if args.place.json {
                    println!("{}", as_json(&said))
                } else {
                    list(&said, |_| true)
                }
                tokio::time::sleep(Duration::from_secs_f64(every)).await;
            }
        }
    }
}

/// Those that are behind.
pub async fn stragglers(args: StragglerArgs) -> Result<ExitCode, String> {
    let agent_at: &Path = &args.place.agent;
    let mut agent = control(agent_at).await?;
    let (what, wish) = match args.command {
        StragglerCommand::List => {
            let said = ask(&mut agent).await?;
            if args.place.json {
                println!("{}", as_json(&said))
            } else {
                list(&said, |i| !sound(i))
            }
            return Ok(code(&said));
        }
        StragglerCommand::Out(wish) => (What::Out, wish),
        StragglerCommand::In(wish) => (What::In, wish),
        StragglerCommand::Clear { instance, by } => {
            (What::Clear, Wish { instance, by, why: "cleared".into(), until: "1s".into() })
        }
    };
    let until_ms = match span_ms(&wish.until) {
        Some(span) => now_ms().saturating_add(span),
        None => time_ms(&wish.until)?,
    };
    let Wish { instance, why, by, .. } = wish;
    let change = AuditChange { what: what.into(), instance, by, why, until_ms };
    match agent.change_audit(change).await {
        Ok(said) => {
            println!("{}", said.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("frostctl: {}; look at frostctl fleet list", e.message());
            Ok(ExitCode::from(REFUSED))
        }
    }
}
