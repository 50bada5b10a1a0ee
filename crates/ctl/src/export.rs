//! `frostctl export`: checks whether a folder of the export of use by day is complete, by the rule that
//! readers apply: of each part number the file with the highest epoch counts, and parts above a missing one
//! are not used.

use clap::Subcommand;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code: a part is missing.
const EXIT_INCOMPLETE: u8 = 3;

/// Arguments of `frostctl export`.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Reads the parts in a folder; of each number the file with the highest epoch counts. Exit code 3: a
    /// part is missing.
    Check {
        /// The folder that the export is written to.
        folder: PathBuf,
    },
}

/// Reads the folder and prints its parts, the units by day, superseded files and the first missing part.
pub fn run(args: Args) -> Result<ExitCode, String> {
    let Command::Check { folder } = args.command;
    let export = frostvale_export::read(&folder).map_err(|e| e.to_string())?;
    let mut days: BTreeMap<i64, [i64; 3]> = BTreeMap::new();
    println!("{:>8} {:>16} {:>9} sha256 of the Parquet file", "part", "epoch", "rows");
    for part in &export.parts {
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
    for file in &export.superseded {
        println!("{file}: written by a former owner, ignored");
    }
    match export.missing {
        Some(number) => {
            println!("part {number} is missing: do not use the parts above it until it is there");
            Ok(ExitCode::from(EXIT_INCOMPLETE))
        }
        None => Ok(ExitCode::SUCCESS),
    }
}
