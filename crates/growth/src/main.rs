//! Runs the same day at growing fleet sizes and checks the resource use of a gatekeeper against the
//! operators' bounds.

use clap::Parser;
use frostvale_growth::day::{DayPlan, run_day};
use frostvale_growth::report;
use frostvale_growth::table::{Day, FleetSize, exceeded_rows};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code if a figure exceeds its bound.
const EXIT_BOUND_EXCEEDED: u8 = 6;

/// Runs a day at several fleet sizes on real processes. The first size is the baseline for the bounds of the
/// others.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Sizes, each as SERVERSxGATEKEEPERS: 1 to 12800 servers, 1 to 100 gatekeepers.
    #[arg(long, value_delimiter = ',', default_value = "200x8,800x8,3200x8,3200x24",
        value_parser = parse_size)]
    sizes: Vec<FleetSize>,
    /// Length of each day, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=3600))]
    seconds: u32,
    /// Request rate per gatekeeper, in requests per second, 1 to 500.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(1..=500))]
    rate: u32,
    /// Percentage of the servers that the release replaces each second, 0 to 30.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(0..=30))]
    release: u32,
    /// Seed of the load and the release.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to which the report is written as an HTML page with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Parses a fleet size of the form `SERVERSxGATEKEEPERS`.
fn parse_size(text: &str) -> Result<FleetSize, String> {
    let (servers, gatekeepers) = text.split_once('x').ok_or("not of the form SERVERSxGATEKEEPERS")?;
    let number = |text: &str, max: usize| {
        let number = text.parse::<usize>().ok().filter(|n| (1..=max).contains(n));
        number.ok_or_else(|| format!("{text:?}: not a number from 1 to {max}"))
    };
    Ok(FleetSize { servers: number(servers, 12_800)?, gatekeepers: number(gatekeepers, 100)? })
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BOUND_EXCEEDED),
        Err(error) => {
            eprintln!("frostvale-growth: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the days, writes the reports, and returns whether all figures are within their bounds.
async fn run(args: Args) -> Result<bool, String> {
    let plan = DayPlan {
        seconds: args.seconds,
        rate_per_gatekeeper: f64::from(args.rate),
        release_fraction: f64::from(args.release) / 100.0,
        seed: args.seed,
    };
    println!(
        "seed {}, {} s per day, {} of 100 servers replaced per second",
        args.seed, args.seconds, args.release
    );
    let mut days: Vec<Day> = Vec::new();
    for size in args.sizes {
        days.push(run_day(size, plan).await?);
    }
    print!("{}", report::text(&days));
    if let Some(file) = args.html {
        std::fs::write(&file, report::html(&days)?)
            .map_err(|e| format!("cannot write {}: {e}", file.display()))?;
    }
    Ok(days.iter().all(|day| exceeded_rows(&days[0].figures, day).is_empty()))
}
