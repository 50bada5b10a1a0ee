//! RESP2, as far as clients and workers speak it: bounded parsing that copies nothing, and encoding.

use std::ops::Range;

/// The longest value the protocol allows.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Parts of a command that are kept; a longer one is read to its end and known as unknown.
pub const MAX_PARTS: usize = 5;
/// A longer array is not read to its end.
const PARTS_MOST: usize = 64;
/// The bytes of all parts of a command: no useful one is longer.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + 8 * 1024;
/// The longest line with a length or an error.
const LINE_MOST: usize = 1024;

/// Bytes that are not RESP, or go past its bounds.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// A command: where its parts lie in the bytes read.
#[derive(Debug, PartialEq, Eq)]
pub struct Command {
    parts: [(usize, usize); MAX_PARTS],
    /// How many parts it has, also those past the kept ones.
    pub count: usize,
    /// How many bytes it takes.
    pub len: usize,
}

impl Command {
    /// The part's place in the bytes; empty where there is none.
    pub fn range(&self, k: usize) -> Range<usize> {
        if k < self.count.min(MAX_PARTS) { self.parts[k].0..self.parts[k].1 } else { 0..0 }
    }

    /// The part's bytes.
    pub fn part<'a>(&self, bytes: &'a [u8], k: usize) -> &'a [u8] {
        bytes.get(self.range(k)).unwrap_or_default()
    }
}

/// What a worker answered: places in the bytes read.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// Served: the whole bulk string of the value, head and end included, and the load report.
    Served { value: Range<usize>, report: Option<Range<usize>> },
    /// An error line, without its sign and end.
    Error(Range<usize>),
}

/// The line that starts at `at`: its end, and where the next begins. None while it is not whole.
fn line(bytes: &[u8], at: usize) -> Result<Option<(usize, usize)>, ProtocolError> {
    let rest = bytes.get(at..).unwrap_or_default();
    let seen = &rest[..rest.len().min(LINE_MOST)];
    match seen.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && seen[end - 1] == b'\r' => Ok(Some((at + end - 1, at + end + 1))),
        Some(_) => Err(ProtocolError("a line without CR LF")),
        None if rest.len() >= LINE_MOST => Err(ProtocolError("a line is too long")),
        None => Ok(None),
    }
}

/// A number that may be -1 at the least, as a line with this sign in front holds it.
fn number(bytes: &[u8], at: usize, sign: u8) -> Result<Option<(i64, usize)>, ProtocolError> {
    match bytes.get(at) {
        None => return Ok(None),
        Some(b) if *b != sign => return Err(ProtocolError("an unexpected type")),
        Some(_) => {}
    }
    let Some((end, next)) = line(bytes, at + 1)? else { return Ok(None) };
    let digits = &bytes[at + 1..end];
    if digits == b"-1" {
        return Ok(Some((-1, next)));
    }
    // Ten digits can't overflow, and a sign or a space is no digit.
    if digits.is_empty() || digits.len() > 10 || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError("a length is no number"));
    }
    Ok(Some((digits.iter().fold(0, |n, d| n * 10 + i64::from(d - b'0')), next)))
}

/// A bulk string: its bytes' place (None for null), and where the next value begins.
type Bulk = (Option<Range<usize>>, usize);

fn bulk(bytes: &[u8], at: usize) -> Result<Option<Bulk>, ProtocolError> {
    let Some((len, start)) = number(bytes, at, b'$')? else { return Ok(None) };
    let Ok(len) = usize::try_from(len) else { return Ok(Some((None, start))) };
    if len > MAX_VALUE_BYTES {
        return Err(ProtocolError("a value is too long"));
    }
    let end = start + len;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((Some(start..end), end + 2))),
        Some(_) => Err(ProtocolError("a value does not end where it should")),
        None => Ok(None),
    }
}

/// The command at the beginning of the bytes; none while it is not whole.
pub fn command(bytes: &[u8]) -> Result<Option<Command>, ProtocolError> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else { return Ok(None) };
    let count = usize::try_from(count).ok().filter(|n| (1..=PARTS_MOST).contains(n));
    let count = count.ok_or(ProtocolError("a command with no parts or too many"))?;
    let mut parts = [(0, 0); MAX_PARTS];
    for k in 0..count {
        let Some((place, next)) = bulk(bytes, at)? else {
            return if bytes.len() > MAX_COMMAND_BYTES {
                Err(ProtocolError("a command is too long"))
            } else {
                Ok(None)
            };
        };
        let place = place.ok_or(ProtocolError("a part is null"))?;
        if let Some(part) = parts.get_mut(k) {
            *part = (place.start, place.end);
        }
        at = next;
    }
    if at > MAX_COMMAND_BYTES {
        return Err(ProtocolError("a command is too long"));
    }
    Ok(Some(Command { parts, count, len: at }))
}

/// The worker's answer at the beginning of the bytes, and how long it is, 0 where that can't be told; none
/// while it is not whole.
pub fn reply(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'-') => Ok(line(bytes, 1)?.map(|(end, next)| (Reply::Error(1..end), next))),
        Some(_) => {
            let Some((count, start)) = number(bytes, 0, b'*')? else { return Ok(None) };
            if count != 3 {
                return Err(ProtocolError("an answer that has not three parts"));
            }
            let Some((value, used)) = bulk(bytes, start)? else { return Ok(None) };
            value.ok_or(ProtocolError("an answer without a value"))?;
            // The value stands whole. Where what comes with it can't be read, where the answer ends can't be
            // told, but the value is none the worse.
            let rest = || match bulk(bytes, used)? {
                Some((_, report)) => bulk(bytes, report),
                None => Ok(None),
            };
            Ok(match rest() {
                Ok(None) => None,
                Ok(Some((report, end))) => Some((Reply::Served { value: start..used, report }, end)),
                Err(ProtocolError(_)) => Some((Reply::Served { value: start..used, report: None }, 0)),
            })
        }
    }
}

/// Appends a bulk string.
pub fn put_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    put_number(out, b'$', bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a line with a number.
pub fn put_number(out: &mut Vec<u8>, sign: u8, number: usize) {
    out.push(sign);
    put_digits(out, number as u64);
    out.extend_from_slice(b"\r\n");
}

/// Appends a number's digits.
pub fn put_digits(out: &mut Vec<u8>, mut number: u64) {
    let mut digits = [0u8; 20];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    out.extend_from_slice(&digits[at..]);
}

#[cfg(test)]
mod tests;
