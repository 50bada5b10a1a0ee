//! Parsing and encoding of the part of RESP2 that clients and workers use. The parser limits every length and
//! copies nothing: it returns ranges of the bytes read.

use std::ops::Range;

/// Length limit of a value, set by the protocol.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Number of a command's parts whose positions are kept. A longer command is parsed to its end; no valid
/// request has more parts.
pub const MAX_PARTS: usize = 5;
/// Limit of a command's parts. A longer array is a protocol error.
const MAX_ARRAY_LENGTH: usize = 64;
/// Length limit of a whole command; no valid command is longer.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + 8 * 1024;
/// The end of a line and of a bulk string.
const LINE_END: &[u8] = b"\r\n";
/// Length limit of a line that holds a length or an error.
const MAX_LINE_BYTES: usize = 1024;

/// Bytes that are not RESP or exceed its limits. The text is the reason, as sent to clients after `-ERR
/// protocol error: `.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// A parsed command: the positions of its parts in the bytes read.
#[derive(Debug, PartialEq, Eq)]
pub struct Command {
    parts: [(usize, usize); MAX_PARTS],
    /// Number of parts, including those beyond `MAX_PARTS`.
    pub count: usize,
    /// Length in bytes of the whole command.
    pub len: usize,
}

impl Command {
    /// The range of part `k` in the bytes read; empty where the command has no such part.
    pub fn range(&self, k: usize) -> Range<usize> {
        if k < self.count.min(MAX_PARTS) { self.parts[k].0..self.parts[k].1 } else { 0..0 }
    }

    /// The bytes of part `k`; empty where the command has no such part.
    pub fn part<'a>(&self, bytes: &'a [u8], k: usize) -> &'a [u8] {
        bytes.get(self.range(k)).unwrap_or_default()
    }
}

/// A worker's reply, as ranges of the bytes read.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request was served. `value` is the whole bulk string of the value, with its length line and line
    /// end; `report` is the load report.
    Served { value: Range<usize>, report: Option<Range<usize>> },
    /// The text of an error line, without the leading `-` and the line end.
    Error(Range<usize>),
}

/// The line that starts at `at`: where its text ends and where the next one begins. None while it is
/// incomplete.
fn parse_line(bytes: &[u8], at: usize) -> Result<Option<(usize, usize)>, ProtocolError> {
    let rest = bytes.get(at..).unwrap_or_default();
    let searched = &rest[..rest.len().min(MAX_LINE_BYTES)];
    match searched.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && searched[end - 1] == b'\r' => Ok(Some((at + end - 1, at + end + 1))),
        Some(_) => Err(ProtocolError("a line without CR LF")),
        None if rest.len() >= MAX_LINE_BYTES => Err(ProtocolError("a line is too long")),
        None => Ok(None),
    }
}

/// Parses a line of the type byte `sign` and a number of at least -1. Returns the number and where the next
/// line begins.
fn parse_number(bytes: &[u8], at: usize, sign: u8) -> Result<Option<(i64, usize)>, ProtocolError> {
    match bytes.get(at) {
        None => return Ok(None),
        Some(b) if *b != sign => return Err(ProtocolError("an unexpected type")),
        Some(_) => {}
    }
    let Some((end, next)) = parse_line(bytes, at + 1)? else { return Ok(None) };
    let digits = &bytes[at + 1..end];
    if digits == b"-1" {
        return Ok(Some((-1, next)));
    }
    // Ten digits cannot overflow an i64. A sign or a space is not a digit.
    if digits.is_empty() || digits.len() > 10 || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError("a length is no number"));
    }
    Ok(Some((digits.iter().fold(0, |n, d| n * 10 + i64::from(d - b'0')), next)))
}

/// A bulk string: the range of its bytes (None for null), and where the next value begins.
type Bulk = (Option<Range<usize>>, usize);

/// Parses the bulk string at `at`. None while it is incomplete.
fn parse_bulk(bytes: &[u8], at: usize) -> Result<Option<Bulk>, ProtocolError> {
    let Some((len, start)) = parse_number(bytes, at, b'$')? else { return Ok(None) };
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

/// Parses the command at the start of `bytes`. None while it is incomplete.
pub fn command(bytes: &[u8]) -> Result<Option<Command>, ProtocolError> {
    let Some((count, mut at)) = parse_number(bytes, 0, b'*')? else { return Ok(None) };
    let count = usize::try_from(count).ok().filter(|n| (1..=MAX_ARRAY_LENGTH).contains(n));
    let count = count.ok_or(ProtocolError("a command with no parts or too many"))?;
    let mut parts = [(0, 0); MAX_PARTS];
    for k in 0..count {
        let Some((range, next)) = parse_bulk(bytes, at)? else {
            return if bytes.len() > MAX_COMMAND_BYTES {
                Err(ProtocolError("a command is too long"))
            } else {
                Ok(None)
            };
        };
        let range = range.ok_or(ProtocolError("a part is null"))?;
        if let Some(part) = parts.get_mut(k) {
            *part = (range.start, range.end);
        }
        at = next;
    }
    if at > MAX_COMMAND_BYTES {
        return Err(ProtocolError("a command is too long"));
    }
    Ok(Some(Command { parts, count, len: at }))
}

/// Discards the bytes of a command that has arrived in part, as they come.
pub struct CommandSkipper {
    /// Parts whose length has not been read.
    parts_left: usize,
    /// Bytes of the current part that have not arrived, with its line end.
    part_bytes_left: usize,
}

impl CommandSkipper {
    /// Starts with the command at the start of `bytes`, which has to hold the command's first line.
    pub fn start(bytes: &mut Vec<u8>) -> Result<Option<CommandSkipper>, ProtocolError> {
        let Some((count, start)) = parse_number(bytes, 0, b'*')? else { return Ok(None) };
        bytes.drain(..start);
        Ok(Some(CommandSkipper { parts_left: usize::try_from(count).unwrap_or(0), part_bytes_left: 0 }))
    }

    /// Removes what `bytes` holds of the command. Returns whether it is complete; then the rest of `bytes`
    /// belongs to the next command.
    pub fn skip(&mut self, bytes: &mut Vec<u8>) -> Result<bool, ProtocolError> {
        loop {
            let arrived = self.part_bytes_left.min(bytes.len());
            bytes.drain(..arrived);
            self.part_bytes_left -= arrived;
            if self.part_bytes_left > 0 {
                return Ok(false);
            }
            if self.parts_left == 0 {
                return Ok(true);
            }
            let Some((len, start)) = parse_number(bytes, 0, b'$')? else { return Ok(false) };
            let len = usize::try_from(len).map_err(|_| ProtocolError("a part is null"))?;
            if len > MAX_VALUE_BYTES {
                return Err(ProtocolError("a value is too long"));
            }
            bytes.drain(..start);
            self.parts_left -= 1;
            self.part_bytes_left = len + LINE_END.len();
        }
    }
}

/// Parses a worker's reply at the start of `bytes`. Returns it with its length, or with 0 where its end
/// cannot be determined; None while it is incomplete.
pub fn reply(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'-') => Ok(parse_line(bytes, 1)?.map(|(end, next)| (Reply::Error(1..end), next))),
        Some(_) => {
            let Some((count, start)) = parse_number(bytes, 0, b'*')? else { return Ok(None) };
            if count != 3 {
                return Err(ProtocolError("a reply is not an array of three parts"));
            }
            let Some((value, value_end)) = parse_bulk(bytes, start)? else { return Ok(None) };
            value.ok_or(ProtocolError("a reply has no value"))?;
            // The value is complete. If the rest cannot be parsed, the end of the reply is unknown, but the
            // value is still valid.
            let rest = || match parse_bulk(bytes, value_end)? {
                Some((_, report)) => parse_bulk(bytes, report),
                None => Ok(None),
            };
            Ok(match rest() {
                Ok(None) => None,
                Ok(Some((report, end))) => Some((Reply::Served { value: start..value_end, report }, end)),
                Err(ProtocolError(_)) => Some((Reply::Served { value: start..value_end, report: None }, 0)),
            })
        }
    }
}

/// Appends `bytes` as a bulk string.
pub fn put_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    put_number(out, b'$', bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a line of the type byte `sign` and a number.
pub fn put_number(out: &mut Vec<u8>, sign: u8, number: usize) {
    out.push(sign);
    put_digits(out, number as u64);
    out.extend_from_slice(b"\r\n");
}

/// Appends the number in decimal digits.
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
