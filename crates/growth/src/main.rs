//! Plays the same day at growing sizes and holds what a gatekeeper needs against the operators' bounds.

use clap::Parser;
use frostvale_growth::day::{DayPlan, play_day};
use frostvale_growth::report;
use frostvale_growth::table::{Day, FleetSize, broken};
use std::path::PathBuf;
use std::process::ExitCode;

/// A bound did not hold.
const EXIT_BROKEN: u8 = 6;

/// Days of growing fleets on real processes. The first size is the usual one that the others are held against.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Sizes, each as SERVERSxGATEKEEPERS: 1 to 12800 servers, 1 to 100 gatekeepers.
    #[arg(long, value_delimiter = ',', default_value = "200x8,800x8,3200x8,3200x24", value_parser = size)]
    sizes: Vec<FleetSize>,
    /// How long each day lasts, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=3600))]
    seconds: u32,
    /// Requests a second for each gatekeeper, 1 to 500.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(1..=500))]
    rate: u32,
    /// Of a hundred servers, how many a release replaces each second, 0 to 30.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(0..=30))]
    release: u32,
    /// Of the load and the release.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the report goes as one HTML page with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

fn size(text: &str) -> Result<FleetSize, String> {
    let (servers, gatekeepers) = text.split_once('x').ok_or("SERVERSxGATEKEEPERS")?;
    let number = |text: &str, most: usize| {
        let number = text.parse::<usize>().ok().filter(|n| (1..=most).contains(n));
        number.ok_or_else(|| format!("{text:?}: a number from 1 to {most}"))
    };
    Ok(FleetSize { servers: number(servers, 12_800)?, gatekeepers: number(gatekeepers, 100)? })
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BROKEN),
        Err(what) => {
            eprintln!("frostvale-growth: {what}");
            ExitCode::FAILURE
        }
    }
}

/// Whether all bounds held.
async fn run(args: Args) -> Result<bool, String> {
    let plan = DayPlan {
        seconds: args.seconds,
        rate_each: f64::from(args.rate),
        release_part: f64::from(args.release) / 100.0,
        seed: args.seed,
    };
    println!(
        "seed {}, {} s a day, {} of 100 servers replaced a second",
        args.seed, args.seconds, args.release
    );
    let mut days: Vec<Day> = Vec::new();
    for size in args.sizes {
        days.push(play_day(size, plan).await?);
    }
    print!("{}", report::text(&days));
    if let Some(file) = args.html {
        std::fs::write(&file, report::html(&days)?).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(days.iter().all(|day| broken(&days[0].figures, day).is_empty()))
}
