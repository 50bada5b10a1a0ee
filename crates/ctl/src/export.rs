//! The export of use by day: looks whether a folder is whole, by the reader's rule.

use clap::Subcommand;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// A part is missing.
const PARTLY: u8 = 3;

/// What of it.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Reads a folder's parts: of each number the file with the highest epoch counts. Exit code 3: a number is missing.
    Check {
        /// The folder.
        folder: PathBuf,
    },
}

/// Does it.
pub fn run(args: Args) -> Result<ExitCode, String> {
    let Command::Check { folder } = args.command;
    let read = frostvale_export::read(&folder).map_err(|e| e.to_string())?;
    let mut days: BTreeMap<i64, [i64; 3]> = BTreeMap::new();
    println!("{:>8} {:>16} {:>9} sha256 of the Parquet file", "part", "epoch", "rows");
    for part in &read.parts {
        println!("{:>8} {:>16} {:>9} {}", part.name.number, part.name.epoch, part.rows.len(), part.digest);
        for row in &part.rows {
            let day = days.entry(row.day_ms).or_default();
            let units = [row.passed_milli, row.refused_milli, row.served_milli];
            day.iter_mut().zip(units).for_each(|(sum, units)| *sum += units);
        }
    }
    println!("{:>14} {:>16} {:>16} {:>16}", "day, UTC ms", "units passed", "refused", "served");
    for (day, units) in days {
        let [passed, refused, served] = units.map(|milli| milli as f64 / 1000.0);
        println!("{day:>14} {passed:>16.3} {refused:>16.3} {served:>16.3}");
    }
    for file in &read.superseded {
        println!("{file}: of a former owner, does not count");
    }
    match read.missing {
        Some(number) => {
            println!("part {number} is missing: those above it are not to be used before it has come");
            Ok(ExitCode::from(PARTLY))
        }
        None => Ok(ExitCode::SUCCESS),
    }
}
