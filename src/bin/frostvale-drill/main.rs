//! Hosts many independent gatekeepers on the wire of a simulator: batches of events come in on
//! standard input, the gatekeepers' actions go out on standard output. Translation only.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) if host.between_batches() => return ExitCode::SUCCESS,
            Ok(0) => return complain(number, "input ended inside a batch"),
            Ok(_) => number += 1,
            Err(e) => return complain(number + 1, &e.to_string()),
        }
        if line.trim().is_empty() {
            continue;
        }
        match host.line(line.trim_end()) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(what) => return complain(number, &what),
        }
    }
}

fn complain(line: u64, what: &str) -> ExitCode {
    eprintln!("frostvale-drill: line {line}: {what}");
    ExitCode::FAILURE
}
