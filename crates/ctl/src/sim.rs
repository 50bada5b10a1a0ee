//! `frostctl sim`: runs of simulated fleets, their reports, and the shrinking of those that fail.

use clap::Subcommand;
use frostvale_sim::shrink::{self, shrink};
use frostvale_sim::{Report, Scenario, control_module, report_page};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// A scenario failed.
const FAILED: u8 = 6;
/// The most seeds in one call.
const SEEDS_MOST: u64 = 100_000;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs scenarios with each of these seeds. Exit code 6: a rule was broken, or what a scenario expects did not hold.
    Run(Run),
    /// Reads scenario files and says what is wrong with them; runs nothing.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Writes one self-contained HTML page with plots from the reports that `run --json` wrote.
    Report {
        /// Reports, one JSON object a line.
        file: PathBuf,
        /// Where the page goes.
        #[arg(long, value_name = "FILE")]
        html: PathBuf,
    },
    /// Makes a scenario that fails with this seed as small as it gets while it fails in the same way.
    Shrink {
        /// The scenario.
        file: PathBuf,
        /// The seed with which it fails.
        #[arg(long)]
        seed: u64,
        /// Where the small one goes; standard output otherwise.
        #[arg(long, value_name = "FILE")]
        to: Option<PathBuf>,
    },
}

#[derive(clap::Args)]
struct Run {
    /// Scenario files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// One seed, or A..B without B.
    #[arg(long, value_name = "A..B", default_value = "1", value_parser = seeds)]
    seeds: (u64, u64),
    /// Runs at once; all cores by default.
    #[arg(long, value_name = "N")]
    jobs: Option<usize>,
    /// Every run's report, one JSON object a line, in the order of files and seeds.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// One page with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Tables for every run, not for the first of each scenario alone.
    #[arg(long)]
    all: bool,
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let number = |t: &str| t.parse::<u64>().map_err(|_| format!("{t:?} is no whole number from 0 on"));
    let (from, to) = match text.split_once("..") {
        Some((a, b)) => (number(a)?, number(b)?),
        None => (number(text)?, number(text)?.saturating_add(1)),
    };
    if to <= from || to - from > SEEDS_MOST {
        return Err(format!("A..B wants A below B, and {SEEDS_MOST} seeds at the most"));
    }
    Ok((from, to))
}

pub fn run(args: Args) -> Result<ExitCode, String> {
    match args.command {
        Command::Run(args) => run_all(&args),
        Command::Check { files } => {
            for file in &files {
                Scenario::read(file)?;
            }
            println!("{} sound", files.len());
            Ok(ExitCode::SUCCESS)
        }
        Command::Report { file, html } => {
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let reports = text
                .lines()
                .enumerate()
                .map(|(k, line)| {
                    serde_json::from_str(line)
                        .map_err(|e| format!("{}, line {}: no report: {e}", file.display(), k + 1))
                })
                .collect::<Result<Vec<Report>, String>>()?;
            write(&html, &report_page::html(&reports)?)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Shrink { file, seed, to } => {
            let scenario = Scenario::read(&file)?;
            let small = shrink(&scenario, seed, &control_module)?;
            let text = format!(
                "# Fails with seed {}: {}. Shrunk from {} in {} runs.\n{}",
                small.seed,
                small.failure,
                scenario.name,
                small.runs,
                small.scenario.write()?
            );
            match to {
                Some(path) => write(&path, &text)?,
                None => print!("{text}"),
            }
            Ok(ExitCode::from(FAILED))
        }
    }
}

/// Which run, what it came to, and the seconds it took.
type Done = (usize, Result<Report, String>, f64);

fn write(path: &PathBuf, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run_all(args: &Run) -> Result<ExitCode, String> {
    let scenarios = args.files.iter().map(|f| Scenario::read(f)).collect::<Result<Vec<_>, _>>()?;
    let work: Vec<(usize, u64)> =
        (0..scenarios.len()).flat_map(|k| (args.seeds.0..args.seeds.1).map(move |seed| (k, seed))).collect();
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = args.jobs.unwrap_or(cores).clamp(1, work.len().max(1));
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<Done>> = Mutex::default();
    let progress = std::io::stderr().is_terminal();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let k = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, seed)) = work.get(k) else { return };
                    let begun = Instant::now();
                    let report = frostvale_sim::run(&scenarios[*scenario], *seed, &control_module);
                    let mut done = done.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    done.push((k, report, begun.elapsed().as_secs_f64()));
                    if progress {
                        let parts = 30 * done.len() / work.len();
                        let bar = "#".repeat(parts);
                        eprint!("\r[{bar:<30}] {} of {} runs", done.len(), work.len());
                        let _ = std::io::stderr().flush();
                    }
                }
            });
        }
    });
    if progress {
        eprintln!();
    }
    let mut done = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|(k, _, _)| *k);
    let mut reports = Vec::new();
    for (k, report, took) in done {
        let report = report?;
        let (scenario, seed) = work[k];
        if args.all || seed == args.seeds.0 || !report.held() {
            print!("{}", report_page::text(&report));
        } else {
            println!("{}", report_page::line(&report));
        }
        // Not in the report, which is the same each time.
        eprintln!(
            "{} seed {seed}: {:.2} s, {:.1} simulated seconds a second, {:.2} us an event",
            report.scenario,
            took,
            scenarios[scenario].seconds / took,
            1e6 * took / report.events.max(1) as f64
        );
        reports.push(report);
    }
    if let Some(path) = &args.json {
        let lines = reports.iter().map(serde_json::to_string).collect::<Result<Vec<_>, _>>();
        write(path, &(lines.map_err(|e| e.to_string())?.join("\n") + "\n"))?;
    }
    if let Some(path) = &args.html {
        write(path, &report_page::html(&reports)?)?;
    }
    let failed: Vec<&Report> = reports.iter().filter(|r| !r.held()).collect();
    println!("{} runs, {} held, {} failed", reports.len(), reports.len() - failed.len(), failed.len());
    if let Some(r) = failed.first() {
        let what = shrink::failure(r).unwrap_or_default();
        println!(
            "first: {what} in {} with seed {}; `frostctl sim shrink FILE --seed {}` makes it small",
            r.scenario, r.seed, r.seed
        );
        return Ok(ExitCode::from(FAILED));
    }
    Ok(ExitCode::SUCCESS)
}
