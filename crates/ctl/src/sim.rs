//! `frostctl sim`: runs simulated fleets on several threads, writes their reports and shrinks scenarios that
//! fail.

use clap::Subcommand;
use frostvale_sim::shrink::{self, shrink};
use frostvale_sim::{Report, Scenario, control_module, report_page};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Exit code: a scenario failed.
const EXIT_FAILED: u8 = 6;
/// Most seeds in one call.
const MAX_SEEDS: u64 = 100_000;

/// Arguments of `frostctl sim`.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs scenarios with each of the seeds. Exit code 6: an invariant was violated, or an expectation of a
    /// scenario did not hold.
    Run(Run),
    /// Checks scenario files and reports their errors; runs nothing.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Writes one self-contained HTML page with plots from the reports that `run --json` wrote.
    Report {
        /// File of reports, one JSON object per line.
        file: PathBuf,
        /// Path of the page.
        #[arg(long, value_name = "FILE")]
        html: PathBuf,
    },
    /// Shrinks a scenario that fails with the seed, as far as it still fails in the same way. Exit code 6: it
    /// was shrunk.
    Shrink {
        /// Scenario file.
        file: PathBuf,
        /// The seed with which it fails.
        #[arg(long)]
        seed: u64,
        /// Path of the shrunk scenario; default: standard output.
        #[arg(long, value_name = "FILE")]
        to: Option<PathBuf>,
    },
}

#[derive(clap::Args)]
struct Run {
    /// Scenario files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// One seed, or the range A..B, which excludes B.
    #[arg(long, value_name = "A..B", default_value = "1", value_parser = parse_seeds)]
    seeds: (u64, u64),
    /// Concurrent runs; default: the number of cores.
    #[arg(long, value_name = "N")]
    jobs: Option<usize>,
    /// Writes the report of every run, one JSON object per line, in the order of files and seeds.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Writes one HTML page with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Prints tables for every run; otherwise only for the first run of each scenario and for runs that fail.
    #[arg(long)]
    all: bool,
}

/// Parses `A..B` or one seed into a half-open range.
fn parse_seeds(text: &str) -> Result<(u64, u64), String> {
    let number = |t: &str| t.parse::<u64>().map_err(|_| format!("{t:?} is not a whole number of 0 or more"));
    let (from, to) = match text.split_once("..") {
        Some((a, b)) => (number(a)?, number(b)?),
        None => (number(text)?, number(text)?.saturating_add(1)),
    };
    if to <= from || to - from > MAX_SEEDS {
        return Err(format!("A must be less than B in A..B, with at most {MAX_SEEDS} seeds"));
    }
    Ok((from, to))
}

/// Runs the command.
pub fn run(args: Args) -> Result<ExitCode, String> {
    match args.command {
        Command::Run(args) => run_all(&args),
        Command::Check { files } => {
            for file in &files {
                Scenario::read(file)?;
            }
            println!("{} valid", files.len());
            Ok(ExitCode::SUCCESS)
        }
        Command::Report { file, html } => {
            let text =
                std::fs::read_to_string(&file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
            let reports = text
                .lines()
                .enumerate()
                .map(|(k, line)| {
                    serde_json::from_str(line)
                        .map_err(|e| format!("{}, line {}: not a report: {e}", file.display(), k + 1))
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
            Ok(ExitCode::from(EXIT_FAILED))
        }
    }
}

/// Index of the run, its result, and its duration in seconds.
type CompletedRun = (usize, Result<Report, String>, f64);

/// Writes `text` to the file; the error names the path.
fn write(path: &PathBuf, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}

/// Runs every scenario with every seed, prints the results in order and writes the reports.
fn run_all(args: &Run) -> Result<ExitCode, String> {
    let scenarios = args.files.iter().map(|f| Scenario::read(f)).collect::<Result<Vec<_>, _>>()?;
    let runs: Vec<(usize, u64)> =
        (0..scenarios.len()).flat_map(|k| (args.seeds.0..args.seeds.1).map(move |seed| (k, seed))).collect();
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = args.jobs.unwrap_or(cores).clamp(1, runs.len().max(1));
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<CompletedRun>> = Mutex::default();
    let shows_progress = std::io::stderr().is_terminal();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let k = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, seed)) = runs.get(k) else { return };
                    let started = Instant::now();
                    let report = frostvale_sim::run(&scenarios[*scenario], *seed, &control_module);
                    let mut done = done.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    done.push((k, report, started.elapsed().as_secs_f64()));
                    if shows_progress {
                        let parts = 30 * done.len() / runs.len();
                        let bar = "#".repeat(parts);
                        eprint!("\r[{bar:<30}] {} of {} runs", done.len(), runs.len());
                        let _ = std::io::stderr().flush();
                    }
                }
            });
        }
    });
    if shows_progress {
        eprintln!();
    }
    let mut done = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|(k, _, _)| *k);
    let mut reports = Vec::new();
    for (k, report, seconds_taken) in done {
        let report = report?;
        let (scenario, seed) = runs[k];
        if args.all || seed == args.seeds.0 || !report.held() {
            print!("{}", report_page::text(&report));
        } else {
            println!("{}", report_page::line(&report));
        }
        // Wall-clock times are kept out of the report, which is the same for each run of a seed.
        eprintln!(
            "{} seed {seed}: {:.2} s, {:.1} simulated seconds a second, {:.2} us an event",
            report.scenario,
            seconds_taken,
            scenarios[scenario].seconds / seconds_taken,
            1e6 * seconds_taken / report.events.max(1) as f64
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
        let failure = shrink::failure(r).unwrap_or_default();
        println!(
            "first: {failure} in {} with seed {}; `frostctl sim shrink FILE --seed {}` shrinks it",
            r.scenario, r.seed, r.seed
        );
        return Ok(ExitCode::from(EXIT_FAILED));
    }
    Ok(ExitCode::SUCCESS)
}
