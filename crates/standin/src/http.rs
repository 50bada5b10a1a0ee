//! As much of HTTP/1.1 as the town's discovery and counter speak, for callers that are trusted.

use std::io;
use tokio::io::{AsyncBufRead, AsyncBufReadExt};

/// The request line's method and target, once the whole head has come; none at the end.
///
/// # Errors
/// As the socket says.
pub async fn request(read: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<(String, String)>> {
    let mut first = String::new();
    if read.read_line(&mut first).await? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut words = first.split_whitespace().map(str::to_string);
    Ok(Some((words.next().unwrap_or_default(), words.next().unwrap_or_default())))
}

/// An answer with a body.
#[must_use]
pub fn response(status: u16, body: &str) -> String {
    let word = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        _ => "Service Unavailable",
    };
    format!("HTTP/1.1 {status} {word}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
