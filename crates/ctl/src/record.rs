//! `frostctl record`: shows, checks, backs up and migrates the store of record, and changes plans with
//! optimistic concurrency: a change names the revision that it is based on.

use clap::Subcommand;
use frostvale_record::model::{Change, Plan, UsageTotal, Versioned};
use frostvale_record::{Backend, Error, Op, RecordLocation, Reply};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Exit code: a change conflicts with a later revision, or is invalid.
const EXIT_REFUSED: u8 = 4;
/// Most rows that one query of usage totals returns.
const MAX_TOTALS_ROWS: i64 = 100_000;

/// Arguments of `frostctl record`.
#[derive(clap::Args)]
pub struct Args {
    /// URL of the record: `sqlite:PATH` or `postgres://USER@HOST:PORT/DATABASE`.
    #[arg(long, env = "FROSTVALE_RECORD", default_value = "sqlite:/var/lib/frostvale/record.db")]
    record: String,
    /// File that holds the password.
    #[arg(long, value_name = "FILE")]
    password_file: Option<PathBuf>,
    /// PEM file with the certificate authorities that sign the server's certificate.
    #[arg(long, value_name = "FILE")]
    ca: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the newest revision, the instances and the gaps.
    Status,
    /// Lists, shows and sets plans.
    #[command(subcommand)]
    Plans(Plans),
    /// Shows use by shop, plan, class and hour.
    Use(UseArgs),
    /// Shows the audit trail of changes, newest first.
    Audit {
        /// Most entries to show.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(i64).range(1..=10_000))]
        most: i64,
    },
    /// Copies an SQLite record to a file while it is in use.
    Backup {
        /// Path of the copy.
        to: PathBuf,
    },
    /// Checks the integrity of the data, and that ledger and totals agree.
    Check,
    /// Migrates the schema to this program's version.
    Migrate,
}

#[derive(Subcommand)]
enum Plans {
    /// Lists all plans.
    List,
    /// Shows one plan.
    Show {
        /// Name of the plan.
        name: String,
    },
    /// Sets figures of a plan, or creates a plan. Figures that are not given stay unchanged.
    Set(SetArgs),
}

#[derive(clap::Args)]
struct SetArgs {
    /// Name of the plan, as in the gatekeepers' settings.
    name: String,
    /// The revision that this change is based on, as printed by `plans show`; 0 creates a plan.
    #[arg(long)]
    base: i64,
    /// Reason for the change, for the audit trail.
    #[arg(long)]
    why: String,
    /// Who makes the change; default: the environment variable USER.
    #[arg(long)]
    by: Option<String>,
    /// Units per second.
    #[arg(long, value_name = "UNITS")]
    rate: Option<f64>,
    /// Most units that a shop's token bucket holds.
    #[arg(long, value_name = "UNITS")]
    burst: Option<f64>,
    /// Most concurrent attempts; 0 is no limit.
    #[arg(long)]
    open: Option<i64>,
    /// Units per second of the hard ceiling; 0 is no ceiling.
    #[arg(long, value_name = "UNITS")]
    ceiling_rate: Option<f64>,
    /// Most units that the ceiling's token bucket holds.
    #[arg(long, value_name = "UNITS")]
    ceiling_burst: Option<f64>,
    /// How far the ceiling's token bucket may go below zero.
    #[arg(long, value_name = "UNITS")]
    ceiling_slack: Option<f64>,
    /// When the change takes effect, Unix time in ms; default: now.
    #[arg(long, value_name = "MS")]
    from_ms: Option<i64>,
}

#[derive(clap::Args)]
struct UseArgs {
    /// One shop, 16 hex digits; default: all shops.
    #[arg(long, default_value = "")]
    shop: String,
    /// Start of the range of hours, inclusive, Unix time in ms.
    #[arg(long, default_value_t = 0)]
    from_ms: i64,
    /// End of the range of hours, exclusive, Unix time in ms.
    #[arg(long, default_value_t = i64::MAX)]
    to_ms: i64,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Output {
    Table,
    Csv,
    Json,
}

/// Returns this host's Unix time in ms.
fn unix_ms() -> i64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    i64::try_from(unix.as_millis()).unwrap_or(i64::MAX)
}

/// Runs the command. Exit code 4: a change conflicts with a later revision, or is invalid.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let location = RecordLocation {
        password_file: args.password_file,
        ca: args.ca,
        ..RecordLocation::new(&args.record)
    };
    location.check()?;
    let backend = location.open().await.map_err(|e| e.to_string())?;
    let result = match args.command {
        Command::Migrate => backend.migrate().await.map(|(from, to)| {
            println!("schema version {to}{}", if from == to { ", as it was" } else { "" });
        }),
        Command::Check => backend.check().await.map(|summary| println!("{summary}")),
        Command::Backup { to } => backend.backup(&to).await.map(|()| println!("copied to {}", to.display())),
        Command::Status => status(&backend).await,
        Command::Audit { most } => audit(&backend, most).await,
        Command::Use(args) => totals(&backend, args).await,
        Command::Plans(Plans::List) => plans(&backend, None).await,
        Command::Plans(Plans::Show { name }) => plans(&backend, Some(name)).await,
        Command::Plans(Plans::Set(set)) => set_plan(&backend, set).await,
    };
    match result {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(e @ (Error::Conflict { .. } | Error::Invalid(_))) => {
            tracing::error!("{e}");
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        Err(e) => Err(e.to_string()),
    }
}

/// Reads all plans.
async fn load_plans(backend: &Arc<dyn Backend>) -> Result<Vec<Versioned<Plan>>, Error> {
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

/// Formats thousandths of a unit as units with three decimals.
fn units(milli: i64) -> String {
    format!("{}.{:03}", milli / 1000, (milli % 1000).abs())
}

async fn plans(backend: &Arc<dyn Backend>, name: Option<String>) -> Result<(), Error> {
    let all = load_plans(backend).await?;
    if let Some(name) = &name
        && !all.iter().any(|p| p.value.name == *name)
    {
        return Err(Error::Invalid(format!(
            "plan {name} does not exist; `plans set {name} --base 0` creates it"
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

async fn set_plan(backend: &Arc<dyn Backend>, set: SetArgs) -> Result<(), Error> {
    let existing = load_plans(backend).await?.into_iter().find(|p| p.value.name == set.name).map(|p| p.value);
    let mut plan = existing.unwrap_or(Plan { name: set.name, ..Plan::default() });
    let set_milli = |field: &str, units: Option<f64>, target: &mut i64| match units {
        None => Ok(()),
        Some(units) if units.is_finite() && (0.0..=1e9).contains(&units) => {
            *target = (units * 1000.0).round() as i64;
            Ok(())
        }
        Some(units) => Err(Error::Invalid(format!("--{field} {units} is out of range: 0 to 1000000000"))),
    };
    set_milli("rate", set.rate, &mut plan.rate_milli)?;
    set_milli("burst", set.burst, &mut plan.burst_milli)?;
    set_milli("ceiling-rate", set.ceiling_rate, &mut plan.ceiling_rate_milli)?;
    set_milli("ceiling-burst", set.ceiling_burst, &mut plan.ceiling_burst_milli)?;
    set_milli("ceiling-slack", set.ceiling_slack, &mut plan.ceiling_slack_milli)?;
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
    // The change is retried if its answer was lost: its id makes the retry idempotent.
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
    Err(Error::InDoubt("after three tries; see `plans show`".into()))
}

async fn totals(backend: &Arc<dyn Backend>, args: UseArgs) -> Result<(), Error> {
    let UseArgs { shop, from_ms, to_ms, output } = args;
    let Reply::Totals(all) = backend.run(Op::Totals { shop, from_ms, to_ms, limit: MAX_TOTALS_ROWS }).await?
    else {
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
    if all.len() as i64 == MAX_TOTALS_ROWS {
        tracing::warn!(
            "output limited to the first {MAX_TOTALS_ROWS} rows: narrow it with --shop, --from-ms and --to-ms"
        );
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
