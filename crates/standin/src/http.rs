//! The subset of HTTP/1.1 that the discovery and counter stand-ins need. Clients are trusted: no size limits.

use std::io;
use tokio::io::{AsyncBufRead, AsyncBufReadExt};

/// Reads a request head; returns its method and target, or `None` at the end of the connection.
///
/// # Errors
/// When reading fails.
pub async fn request(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<(String, String)>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line).await? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut words = request_line.split_whitespace().map(str::to_string);
    Ok(Some((words.next().unwrap_or_default(), words.next().unwrap_or_default())))
}

/// Returns a response with a body, as text to send.
#[must_use]
pub fn response(status: u16, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        _ => "Service Unavailable",
    };
    format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
