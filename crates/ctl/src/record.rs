//! The store of record by hand: what is in it, and changes on top of what was seen.

use clap::Subcommand;
use frostvale_record::model::{Change, Plan, UsageTotal, Versioned};
use frostvale_record::{Backend, Error, Op, RecordLocation, Reply};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Exit code of a change that somebody else was faster than, or that can't be made.
const REFUSED: u8 = 4;
/// Rows of a listing at the most.
const ROWS: i64 = 100_000;

/// Which record, and what of it.
#[derive(clap::Args)]
pub struct Args {
    /// `sqlite:PATH` or `postgres://USER@HOST:PORT/DATABASE`.
    #[arg(long, env = "FROSTVALE_RECORD", default_value = "sqlite:/var/lib/frostvale/record.db")]
    record: String,
    /// A file with the password.
    #[arg(long, value_name = "FILE")]
    password_file: Option<PathBuf>,
    /// A PEM file with who signs the server's certificate.
    #[arg(long, value_name = "FILE")]
    ca: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The newest revision, the instances and the gaps.
    Status,
    /// Plans.
    #[command(subcommand)]
    Plans(Plans),
    /// Use by shop, plan, class and hour.
    Use(Use),
    /// Who changed what, newest first.
    Audit {
        /// So many entries.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(i64).range(1..=10_000))]
        most: i64,
    },
    /// Copies an SQLite record to a file while it is in use.
    Backup {
        /// Where to.
        to: PathBuf,
    },
    /// Looks whether the data is whole, and whether ledger and totals agree.
    Check,
    /// Brings the schema to this program's version.
    Migrate,
}

#[derive(Subcommand)]
enum Plans {
    /// All of them.
    List,
    /// One of them.
    Show {
        /// Its name.
        name: String,
    },
    /// Sets figures of one, or makes one. Those not named stay.
    Set(Set),
}

#[derive(clap::Args)]
struct Set {
    /// Its name, as in the gatekeepers' settings.
    name: String,
    /// The revision that this is based on, as `plans show` tells it; 0 makes a plan.
    #[arg(long)]
    base: i64,
    /// Why, for the audit trail.
    #[arg(long)]
    why: String,
    /// Who; the user of this shell if not told.
    #[arg(long)]
    by: Option<String>,
    /// Units a second.
    #[arg(long, value_name = "UNITS")]
    rate: Option<f64>,
    /// The most units that a shop's store holds.
    #[arg(long, value_name = "UNITS")]
    burst: Option<f64>,
    /// Attempts out at once; 0 is no limit.
    #[arg(long)]
    open: Option<i64>,
    /// The hard ceiling's units a second; 0 is none.
    #[arg(long, value_name = "UNITS")]
    ceiling_rate: Option<f64>,
    /// The most units that the ceiling's store holds.
    #[arg(long, value_name = "UNITS")]
    ceiling_burst: Option<f64>,
    /// How far the ceiling's store may go below nothing.
    #[arg(long, value_name = "UNITS")]
    ceiling_slack: Option<f64>,
    /// From when on, Unix time in ms; at once if not told.
    #[arg(long, value_name = "MS")]
    from_ms: Option<i64>,
}

#[derive(clap::Args)]
struct Use {
    /// One shop, 16 hex digits; all if not told.
    #[arg(long, default_value = "")]
    shop: String,
    /// From this hour on, Unix time in ms.
    #[arg(long, default_value_t = 0)]
    from_ms: i64,
    /// Before this one.
    #[arg(long, default_value_t = i64::MAX)]
    to_ms: i64,
    /// How it is printed.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Output {
    Table,
    Csv,
    Json,
}

fn unix_ms() -> i64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    i64::try_from(unix.as_millis()).unwrap_or(i64::MAX)
}

/// Does it. Exit code 4: refused.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let place = RecordLocation {
        password_file: args.password_file,
        ca: args.ca,
        ..RecordLocation::new(&args.record)
    };
    place.check()?;
    let backend = place.open().await.map_err(|e| e.to_string())?;
    let done = match args.command {
        Command::Migrate => backend.migrate().await.map(|(from, to)| {
            println!("schema version {to}{}", if from == to { ", as it was" } else { "" });
        }),
        Command::Check => backend.check().await.map(|said| println!("{said}")),
        Command::Backup { to } => backend.backup(&to).await.map(|()| println!("copied to {}", to.display())),
        Command::Status => status(&backend).await,
        Command::Audit { most } => audit(&backend, most).await,
        Command::Use(wanted) => totals(&backend, wanted).await,
        Command::Plans(Plans::List) => plans(&backend, None).await,
        Command::Plans(Plans::Show { name }) => plans(&backend, Some(name)).await,
        Command::Plans(Plans::Set(set)) => set_plan(&backend, set).await,
    };
    match done {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(e @ (Error::Conflict { .. } | Error::Invalid(_))) => {
            tracing::error!("{e}");
            Ok(ExitCode::from(REFUSED))
        }
        Err(e) => Err(e.to_string()),
    }
}

async fn load(backend: &Arc<dyn Backend>) -> Result<Vec<Versioned<Plan>>, Error> {
    match backend.run(Op::Load).await? {
        Reply::Snapshot(snapshot) => Ok(snapshot.plans),
        _ => Ok(Vec::new()),
    }
}

async fn status(backend: &Arc<dyn Backend>) -> Result<(), Error> {
    if let Reply::Snapshot(all) = backend.run(Op::Load).await? {
        let (plans, overrides) = (all.plans.len(), all.overrides.len());
        println!("{}: revision {}, {plans} plans, {overrides} overrides", backend.kind(), all.revision);
    }
    if let Reply::Instances(all) = backend.run(Op::Instances).await? {
        for (name, host, epoch_ms, seen_ms, revision) in all {
            let ago = (unix_ms() - seen_ms) as f64 / 1000.0;
            println!("{name} at {host}: life since {epoch_ms} ms, seen {ago:.1} s ago, revision {revision}");
        }
    }
    if let Reply::Gaps(gaps) = backend.run(Op::Gaps).await? {
        for g in gaps {
            println!(
                "gap: {} (life {}), after batch {}, {} to {} ms: {}",
                g.instance, g.epoch_ms, g.after_seq, g.from_ms, g.to_ms, g.why
            );
        }
    }
    Ok(())
}

/// Thousandths as units.
fn units(milli: i64) -> String {
    format!("{}.{:03}", milli / 1000, (milli % 1000).abs())
}

async fn plans(backend: &Arc<dyn Backend>, name: Option<String>) -> Result<(), Error> {
    let all = load(backend).await?;
    if let Some(name) = &name
        && !all.iter().any(|p| p.value.name == *name)
    {
        return Err(Error::Invalid(format!(
            "plan {name}: there is none; `plans set {name} --base 0` makes one"
        )));
    }
    println!(
        "{:<14} {:>12} {:>12} {:>6} {:>12} {:>12} {:>9}  set by",
        "plan", "rate", "burst", "open", "ceiling", "its burst", "revision"
    );
    for p in all.iter().filter(|p| name.as_ref().is_none_or(|n| *n == p.value.name)) {
        println!(
            "{:<14} {:>12} {:>12} {:>6} {:>12} {:>12} {:>9}  {}: {}",
            p.value.name,
            units(p.value.rate_milli),
            units(p.value.burst_milli),
            p.value.open,
            units(p.value.ceiling_rate_milli),
            units(p.value.ceiling_burst_milli),
            p.revision,
            p.by,
            p.why
        );
    }
    Ok(())
}

async fn set_plan(backend: &Arc<dyn Backend>, set: Set) -> Result<(), Error> {
    let known = load(backend).await?.into_iter().find(|p| p.value.name == set.name).map(|p| p.value);
    let mut plan = known.unwrap_or(Plan { name: set.name, ..Plan::default() });
    let milli = |field: &str, units: Option<f64>, place: &mut i64| match units {
        None => Ok(()),
        Some(units) if units.is_finite() && (0.0..=1e9).contains(&units) => {
            *place = (units * 1000.0).round() as i64;
            Ok(())
        }
        Some(units) => Err(Error::Invalid(format!("--{field}: {units}; 0 to 1000000000"))),
    };
    milli("rate", set.rate, &mut plan.rate_milli)?;
    milli("burst", set.burst, &mut plan.burst_milli)?;
    milli("ceiling-rate", set.ceiling_rate, &mut plan.ceiling_rate_milli)?;
    milli("ceiling-burst", set.ceiling_burst, &mut plan.ceiling_burst_milli)?;
    milli("ceiling-slack", set.ceiling_slack, &mut plan.ceiling_slack_milli)?;
    plan.open = set.open.unwrap_or(plan.open);
    let now = unix_ms();
    plan.from_ms = set.from_ms.unwrap_or(now);
    let user = || std::env::var("USER").ok().filter(|u| !u.is_empty()).unwrap_or_else(|| "unknown".into());
    let change = Change {
        id: format!("{}-{now}", std::process::id()),
        base: set.base,
        by: set.by.unwrap_or_else(user),
        source: "frostctl".into(),
        why: set.why,
        at_ms: now,
    };
    // An answer that was lost is asked for again: the change carries its own number.
    for _ in 0..3 {
        match backend.run(Op::SetPlan(plan.clone(), change.clone())).await {
            Ok(Reply::Revision(revision)) => {
                println!("plan {} is at revision {revision}; agents pass it on", plan.name);
                return Ok(());
            }
            Err(Error::InDoubt(_)) => tokio::time::sleep(Duration::from_millis(200)).await,
            Err(e) => return Err(e),
            Ok(_) => return Ok(()),
        }
    }
    Err(Error::InDoubt("three times; see `plans show`".into()))
}

async fn totals(backend: &Arc<dyn Backend>, wanted: Use) -> Result<(), Error> {
    let Use { shop, from_ms, to_ms, output } = wanted;
    let Reply::Totals(all) = backend.run(Op::Totals { shop, from_ms, to_ms, limit: ROWS }).await? else {
        return Ok(());
    };
    let figures = |t: &UsageTotal| [t.passed_milli, t.refused_milli, t.served_milli].map(units);
    match output {
        Output::Json => {
            let row = |t: &UsageTotal| {
                json!({
                    "shop": t.shop, "plan": t.plan, "class": t.class, "hour_ms": t.hour_ms,
                    "passed_milli": t.passed_milli, "refused_milli": t.refused_milli, "served_milli": t.served_milli,
                })
            };
            println!("{}", json!(all.iter().map(row).collect::<Vec<_>>()));
        }
        Output::Csv => {
            println!("shop,plan,class,hour_ms,passed,refused,served");
            for t in &all {
                let [passed, refused, served] = figures(t);
                println!("{},{},{},{},{passed},{refused},{served}", t.shop, t.plan, t.class, t.hour_ms);
            }
        }
        Output::Table => {
            println!(
                "{:<17} {:<14} {:<14} {:>14} {:>12} {:>12} {:>12}",
                "shop", "plan", "class", "hour (ms)", "passed", "refused", "served"
            );
            for t in &all {
                let [passed, refused, served] = figures(t);
                println!(
                    "{:<17} {:<14} {:<14} {:>14} {passed:>12} {refused:>12} {served:>12}",
                    t.shop, t.plan, t.class, t.hour_ms
                );
            }
        }
    }
    if all.len() as i64 == ROWS {
        tracing::warn!("these are the first {ROWS} rows; narrow it with --shop, --from-ms and --to-ms");
    }
    Ok(())
}

async fn audit(backend: &Arc<dyn Backend>, most: i64) -> Result<(), Error> {
    let Reply::Audit(all) = backend.run(Op::Audit(most)).await? else { return Ok(()) };
    for e in all {
        println!(
            "{} at {} ms, {} from {}: {} {}: {} -> {} ({})",
            e.revision, e.at_ms, e.by, e.source, e.what, e.subject, e.before, e.after, e.why
        );
    }
    Ok(())
}
