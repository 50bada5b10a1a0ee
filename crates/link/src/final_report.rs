//! The final usage report of a gatekeeper process that no agent acknowledged: a file beside the link's
//! socket, which the next agent reads.
//!
//! # Why
//!
//! A rebooting host stops its agent and gatekeepers in any order. Usage that a gatekeeper could not hand over
//! by then is billed to shops, and its bucket levels keep a restart from granting a fresh burst. The file is
//! written and fsynced under a temporary name and then renamed, so it exists whole or not at all. A disk can
//! still damage it, so each record has a checksum, and nothing after the first invalid record is used.
//!
//! A file may be read twice: batches carry the process's start time and a number, and each counts once. The
//! format is [`MAGIC`], then records of a length and a CRC-32 (4 bytes each, big endian) and a `FromNode`;
//! the first holds the process's welcome, the last a `bye`.

use crate::proto::{FromNode, Level, UseBatch, Welcome};
use prost::Message;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// The first bytes of the file.
pub const MAGIC: &[u8; 8] = b"FVLEFT1\n";
/// Final reports that may wait beside one socket; no further one is written.
pub const MAX_FILES: usize = 64;
/// The longest record, in bytes, that is written or read.
const MAX_RECORD_BYTES: usize = crate::codec::MAX_FRAME_BYTES;
/// The longest file, in bytes, that is read.
const MAX_FILE_BYTES: u64 = 128 << 20;
/// Levels in one record.
const LEVELS_PER_RECORD: usize = 4000;
/// The `bye` of the last record.
const END_MARKER: &str = "end";
const SUFFIX: &str = ".left";

/// A final report as it was read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FinalReport {
    /// The welcome of the process that wrote it, with its name and start time.
    pub welcome: Welcome,
    /// Usage that no agent had acknowledged.
    pub batches: Vec<UseBatch>,
    /// Levels of the token buckets.
    pub levels: Vec<Level>,
    /// Whether the file was valid to its end. If not, what followed is lost.
    pub is_complete: bool,
}

fn prefix(socket: &Path) -> OsString {
    let mut name = socket.file_name().unwrap_or_default().to_os_string();
    name.push(".");
    name
}

/// The path of the final report of the process that started at `started_ms`.
#[must_use]
pub fn path_of(socket: &Path, started_ms: u64) -> PathBuf {
    let mut name = prefix(socket);
    // Leading zeros make the order of names the order of start times.
    name.push(format!("{started_ms:020}{SUFFIX}"));
    socket.with_file_name(name)
}

/// The final reports beside a socket, the oldest first.
///
/// # Errors
/// If the folder cannot be read.
pub fn find_all(socket: &Path) -> io::Result<Vec<PathBuf>> {
    let folder = socket.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let prefix = prefix(socket);
    let mut all = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let (bytes, head) = (name.as_encoded_bytes(), prefix.as_encoded_bytes());
        let middle = bytes.strip_prefix(head).and_then(|rest| rest.strip_suffix(SUFFIX.as_bytes()));
        if middle.is_some_and(|m| m.len() == 20 && m.iter().all(u8::is_ascii_digit)) {
            all.push(socket.with_file_name(name));
        }
    }
    all.sort();
    Ok(all)
}

/// Writes one record.
fn write_record(out: &mut impl Write, message: &FromNode) -> io::Result<()> {
    let body = message.encode_to_vec();
    if body.len() > MAX_RECORD_BYTES {
        return Err(io::Error::other("a record is too long"));
    }
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    out.write_all(&len.to_be_bytes())?;
    out.write_all(&crc32fast::hash(&body).to_be_bytes())?;
    out.write_all(&body)
}

/// Writes a final report, durably or not at all. Returns its path.
///
/// # Errors
/// If [`MAX_FILES`] reports wait already or the file cannot be written; then there is no file.
pub fn write<'a>(
    socket: &Path,
    welcome: &Welcome,
    batches: impl Iterator<Item = &'a UseBatch>,
    levels: &[Level],
) -> io::Result<PathBuf> {
    if find_all(socket)?.len() >= MAX_FILES {
        return Err(io::Error::other(format!(
            "{MAX_FILES} final reports wait there already, and no agent reads them"
        )));
    }
    let path = path_of(socket, welcome.started_ms);
    let temporary = path.with_extension("part");
    let written =
        write_temporary(&temporary, welcome, batches, levels).and_then(|()| fs::rename(&temporary, &path));
    if let Err(e) = written {
        let _ = fs::remove_file(&temporary);
        return Err(e);
    }
    // The folder is synced as well: without this a power cut may lose the new name.
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()?;
    Ok(path)
}

fn write_temporary<'a>(
    temporary: &Path,
    welcome: &Welcome,
    batches: impl Iterator<Item = &'a UseBatch>,
    levels: &[Level],
) -> io::Result<()> {
    let file = OpenOptions::new().create(true).write(true).truncate(true).mode(0o600).open(temporary)?;
    let mut out = BufWriter::new(file);
    out.write_all(MAGIC)?;
    write_record(&mut out, &FromNode { welcome: Some(welcome.clone()), ..FromNode::default() })?;
    for batch in batches {
        write_record(&mut out, &FromNode { r#use: vec![batch.clone()], ..FromNode::default() })?;
    }
    for part in levels.chunks(LEVELS_PER_RECORD) {
        write_record(&mut out, &FromNode { levels: part.to_vec(), ..FromNode::default() })?;
    }
    write_record(&mut out, &FromNode { bye: END_MARKER.into(), ..FromNode::default() })?;
    out.into_inner().map_err(io::IntoInnerError::into_error)?.sync_all()
}

/// Reads a final report up to its first invalid record.
///
/// # Errors
/// If the file cannot be read, is too long, or its first record is invalid.
pub fn read(path: &Path) -> io::Result<FinalReport> {
    let file = File::open(path)?;
    if file.metadata()?.len() > MAX_FILE_BYTES {
        return Err(io::Error::other(format!("the file is longer than {MAX_FILE_BYTES} bytes")));
    }
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)?;
    parse(&bytes).ok_or_else(|| io::Error::other("its first record is not a valid welcome"))
}

/// Parses the bytes of a final report up to the first invalid record; `None` if the first record is invalid.
#[must_use]
pub fn parse(bytes: &[u8]) -> Option<FinalReport> {
    let mut rest = bytes.strip_prefix(MAGIC)?;
    let mut report = FinalReport { welcome: read_record(&mut rest)?.welcome?, ..FinalReport::default() };
    while let Some(message) = read_record(&mut rest) {
        report.batches.extend(message.r#use);
        report.levels.extend(message.levels);
        if message.bye == END_MARKER {
            report.is_complete = rest.is_empty();
            break;
        }
    }
    Some(report)
}

/// Reads one record and advances `rest` past it; `None` if it is incomplete or invalid.
fn read_record(rest: &mut &[u8]) -> Option<FromNode> {
    let (head, tail) = rest.split_first_chunk::<8>()?;
    let read_u32 = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let len = read_u32(0) as usize;
    let body = tail.get(..len).filter(|_| len <= MAX_RECORD_BYTES)?;
    if crc32fast::hash(body) != read_u32(4) {
        return None;
    }
    *rest = &tail[len..];
    FromNode::decode(body).ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::proto::UseLine;
    use proptest::prelude::*;

    fn sample(numbers: u64) -> (Welcome, Vec<UseBatch>, Vec<Level>) {
        let line = UseLine { shop: "00000000b4d65521".into(), passed_milli: 1000, ..UseLine::default() };
        let batch =
            |seq| UseBatch { seq, last: seq == numbers, lines: vec![line.clone()], ..UseBatch::default() };
        let level = |key| Level { key, plan: 1, store_milli: 7, ceiling_milli: -3 };
        let welcome = Welcome { name: "n1".into(), started_ms: 77, ..Welcome::default() };
        (welcome, (1..=numbers).map(batch).collect(), (0..9000).map(level).collect())
    }

    #[test]
    fn final_report_is_read_as_written_and_found_by_age() {
        let folder = tempfile::tempdir().expect("a folder");
        let socket = folder.path().join("n1.sock");
        let (welcome, batches, levels) = sample(5);
        let path = write(&socket, &welcome, batches.iter(), &levels).expect("written");
        let older = Welcome { started_ms: 9, ..welcome.clone() };
        let old = write(&socket, &older, batches.iter(), &[]).expect("written");
        std::fs::write(folder.path().join("n1.sock.7.left"), "x").expect("written");
        std::fs::write(folder.path().join("n11.sock.00000000000000000001.left"), "x").expect("written");
        assert_eq!(find_all(&socket).expect("found"), [old, path.clone()]);
        assert_eq!(
            read(&path).expect("sound"),
            FinalReport { welcome: welcome.clone(), batches, levels, is_complete: true }
        );
        for k in 100..98 + MAX_FILES as u64 {
            write(&socket, &Welcome { started_ms: k, ..welcome.clone() }, [].iter(), &[]).expect("written");
        }
        assert!(write(&socket, &welcome, [].iter(), &[]).is_err(), "the number of files is bounded");
    }

    proptest! {
        /// For any truncation and any flipped bit, the parsed batches are a prefix of what was written.
        #[test]
        fn parse_returns_a_prefix_when_file_is_damaged(cut in 0usize..3000, flip in 0usize..3000, bit in 0u8..8) {
            let folder = tempfile::tempdir().expect("a folder");
            let (welcome, batches, _) = sample(30);
            let path = write(&folder.path().join("s"), &welcome, batches.iter(), &[]).expect("written");
            let mut bytes = std::fs::read(path).expect("read");
            let whole = bytes.clone();
            let len = bytes.len();
            bytes[flip % len] ^= 1 << bit;
            bytes.truncate(if cut < len { len - cut } else { len });
            if let Some(report) = parse(&bytes) {
                prop_assert_eq!(&report.welcome, &welcome);
                prop_assert_eq!(&report.batches[..], &batches[..report.batches.len()]);
                prop_assert!(!report.is_complete || bytes == whole);
            }
        }
    }
}
