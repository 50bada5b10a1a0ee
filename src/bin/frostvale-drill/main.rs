//! Runs many independent gatekeepers for an external simulator: reads batches of events, one JSON object per
//! line, from standard input and writes the gatekeepers' actions to standard output. It only translates.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    let mut line = String::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) if host.is_between_batches() => return ExitCode::SUCCESS,
            Ok(0) => return exit_with_error(line_number, "cannot read input: it ended inside a batch"),
            Ok(_) => line_number += 1,
            Err(e) => return exit_with_error(line_number + 1, &e.to_string()),
        }
        if line.trim().is_empty() {
            continue;
        }
        match host.handle_line(line.trim_end()) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(message) => return exit_with_error(line_number, &message),
        }
    }
}

/// Prints an error with the number of the input line, and returns the exit code for failure.
fn exit_with_error(line: u64, message: &str) -> ExitCode {
    eprintln!("frostvale-drill: line {line}: {message}");
    ExitCode::FAILURE
}
