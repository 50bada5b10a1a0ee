//! Load on a town: played, shown while it goes on, and reported at the end.

use frostvale_load::engine::{LoadRun, SharedStats, lock_stats, run_load};
use frostvale_load::report::{self, StatusWords};
use frostvale_load::schedule::{GRPC_FRACTION, LoadProfile, Plan, example_plans, shops};
use frostvale_load::stats::LoadStats;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

/// Who asks.
#[derive(clap::Args, Clone)]
pub struct Shape {
    /// Every shop asks for this many times its quota. Without it about nine in ten requests fit.
    #[arg(long, value_name = "TIMES", value_parser = times)]
    overload: Option<f64>,
    /// How many gatekeepers a shop's requests come to, 1 to 100.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=100))]
    spread: u32,
    /// The part of requests that come as rate limit calls, 0 to 1.
    #[arg(long, default_value_t = GRPC_FRACTION, value_parser = part)]
    grpc_part: f64,
    /// Of arrivals, shops and clients' pauses: the same seed plays the same.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// What is told of it.
#[derive(clap::Args, Clone)]
pub struct Show {
    /// Ends after so many seconds, with a report.
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u32).range(1..=86_400))]
    pub duration: Option<u32>,
    /// Where the report goes as JSON.
    #[arg(long, value_name = "FILE")]
    report_json: Option<PathBuf>,
    /// Where it goes as one HTML page with plots.
    #[arg(long, value_name = "FILE")]
    report_html: Option<PathBuf>,
}

/// Load on a town that runs already.
#[derive(clap::Args)]
pub struct Args {
    /// A gatekeeper's RESP2 address; once for each, in the order of their numbers.
    #[arg(long = "target", value_name = "ADDR", required = true)]
    targets: Vec<SocketAddr>,
    /// The rate limit service; without it all is RESP2.
    #[arg(long, value_name = "ADDR")]
    rls: Option<SocketAddr>,
    /// The agent's control socket: the view then shows links and record.
    #[arg(long, value_name = "SOCKET")]
    agent: Option<PathBuf>,
    /// Requests a second, up to 20000.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    rate: u32,
    /// A plan of the town and the units a second that a shop of it may have; once for each. Without it the brief's four.
    #[arg(long = "plan", value_name = "NAME=RATE", value_parser = plan)]
    plans: Vec<Plan>,
    #[command(flatten)]
    shape: Shape,
    #[command(flatten)]
    show: Show,
}

fn within(text: &str, least: f64, most: f64) -> Result<f64, String> {
    let value = text.parse::<f64>().ok().filter(|v| (least..=most).contains(v));
    value.ok_or_else(|| format!("a number from {least} to {most}"))
}

fn times(text: &str) -> Result<f64, String> {
    within(text, 0.01, 1000.0)
}

fn part(text: &str) -> Result<f64, String> {
    within(text, 0.0, 1.0)
}

fn plan(text: &str) -> Result<Plan, String> {
    let (name, rate) = text.split_once('=').ok_or("NAME=RATE")?;
    if name.is_empty() || name.len() > 64 {
        return Err("the name has 1 to 64 bytes".into());
    }
    Ok(Plan { name: name.into(), rate: within(rate, 0.001, 1e9)?, part: 1 })
}

/// A load that is being played.
pub struct RunningLoad {
    task: JoinHandle<Result<(), String>>,
    tally: SharedStats,
    plans: Vec<String>,
    show: Show,
    title: String,
    drawn: usize,
    terminal: bool,
    seconds: usize,
}

impl RunningLoad {
    /// Begins to play.
    pub fn start(
        rate: f64,
        shape: &Shape,
        show: &Show,
        gatekeepers: Vec<SocketAddr>,
        rls: Option<SocketAddr>,
    ) -> Result<RunningLoad, String> {
        RunningLoad::of(rate, shape, show, gatekeepers, rls, example_plans())
    }

    fn of(
        rate: f64,
        shape: &Shape,
        show: &Show,
        gatekeepers: Vec<SocketAddr>,
        rls: Option<SocketAddr>,
        plans: Vec<Plan>,
    ) -> Result<RunningLoad, String> {
        for file in [&show.report_json, &show.report_html].into_iter().flatten() {
            writable(file)?;
        }
        let aim = shape.overload.map_or(LoadProfile::WithinQuota, LoadProfile::Overload);
        let count = u32::try_from(gatekeepers.len()).unwrap_or(u32::MAX);
        let shops = shops(rate, aim, &plans, count, shape.spread)?;
        println!("Load: {rate} requests a second of {} shops, seed {}", shops.len(), shape.seed);
        let tally: SharedStats = Arc::new(Mutex::new(LoadStats::new(plans.len())));
        let names = plans.iter().map(|p| p.name.clone()).collect();
        let most = Duration::from_secs(show.duration.map_or(u64::from(u32::MAX), u64::from));
        let played =
            LoadRun { shops, plans, gatekeepers, rls, grpc_fraction: shape.grpc_part, seed: shape.seed };
        Ok(RunningLoad {
            task: tokio::spawn(run_load(played, most, tally.clone())),
            tally,
            plans: names,
            show: show.clone(),
            title: format!("frostvale: {rate} requests a second, seed {}", shape.seed),
            drawn: 0,
            terminal: std::io::stdout().is_terminal(),
            seconds: 0,
        })
    }

    /// A second is over: shows it, over the one before on a terminal, as a line elsewhere.
    pub fn show(&mut self, around: StatusWords) {
        let mut tally = lock_stats(&self.tally);
        let second = tally.take_second();
        self.seconds += 1;
        let text = if self.terminal {
            let view = report::view(self.seconds, &second, &tally, &self.plans, &around);
            let back = if self.drawn > 0 { format!("\x1b[{}A\x1b[J", self.drawn) } else { String::new() };
            self.drawn = view.lines().count();
            back + &view
        } else {
            report::line(self.seconds, &second, &around) + "\n"
        };
        drop(tally);
        let mut out = std::io::stdout().lock();
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }

    /// Ends it and reports. What is in hand has a moment to be answered.
    pub async fn end(mut self, around: StatusWords) -> Result<(), String> {
        let played = tokio::time::timeout(Duration::from_secs(4), &mut self.task).await;
        self.task.abort();
        let tally = lock_stats(&self.tally);
        print!("{}", report::text(&tally, &self.plans, &around));
        if let Some(file) = &self.show.report_json {
            write(file, &tally.json(&self.plans).to_string())?;
        }
        if let Some(file) = &self.show.report_html {
            write(file, &report::html(&self.title, &tally, &self.plans, &around)?)?;
        }
        match played {
            Ok(Ok(ended)) => ended,
            // It was to go on until somebody ended it.
            _ => Ok(()),
        }
    }
}

fn writable(file: &Path) -> Result<(), String> {
    let opened = std::fs::OpenOptions::new().create(true).append(true).open(file);
    opened.map(drop).map_err(|e| format!("{}: {e}", file.display()))
}

fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Plays until it is over or a signal comes.
pub async fn run(args: Args) -> Result<ExitCode, String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("cannot await SIGINT: {e}"))?;
    let plans = if args.plans.is_empty() { example_plans() } else { args.plans.clone() };
    let rate = f64::from(args.rate);
    let mut playing = RunningLoad::of(rate, &args.shape, &args.show, args.targets, args.rls, plans)?;
    let around = async || match &args.agent {
        Some(socket) => crate::status::words(socket).await,
        None => Vec::new(),
    };
    let mut tick = interval(Duration::from_secs(1));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick.tick().await;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = tick.tick() => {
                frostvale_log::flush_summaries();
                playing.show(around().await);
                if playing.task.is_finished() {
                    break;
                }
            }
        }
    }
    let around = around().await;
    playing.end(around).await.map(|()| ExitCode::SUCCESS)
}
