//! The last word of a gatekeeper's life that no agent took: a file beside its socket, which the next agent takes up.
//!
//! # Why
//!
//! A host that reboots ends agent and gatekeepers in any order. What a gatekeeper has not had kept by then is use that
//! shops are billed for, and what its stores hold keeps a restart from being a fresh burst. The file is written whole
//! and with fsync under another name before it gets its own, so it is there or it is not; a disk can still spoil it,
//! so each record has a checksum, and what follows the first bad one is not believed.
//!
//! Whoever takes it up may do so twice: batches carry their life and number, and count once. The format: [`MAGIC`],
//! then records of a length and a CRC-32 (4 bytes each, big endian) and a `FromNode`; the first holds the welcome of
//! that life, the last a `bye`.

use crate::proto::{FromNode, Level, UseBatch, Welcome};
use prost::Message;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// How such a file begins.
pub const MAGIC: &[u8; 8] = b"FVLEFT1\n";
/// Words of so many lives wait at one socket at the most; a further one is not left.
pub const MAX_FILES: usize = 64;
/// The longest record and the longest file that are read, in bytes.
const RECORD_MOST: usize = crate::codec::MAX_FRAME_BYTES;
const FILE_MOST: u64 = 128 << 20;
/// Levels in one record.
const LEVELS: usize = 4000;
const END: &str = "end";
const SUFFIX: &str = ".left";

/// A last word as it was read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FinalReport {
    /// Whose it is, and of which life.
    pub welcome: Welcome,
    /// Use that no agent had kept.
    pub batches: Vec<UseBatch>,
    /// What stores held.
    pub levels: Vec<Level>,
    /// Whether it is there to its end. If not, what followed is not known.
    pub is_complete: bool,
}

fn prefix(socket: &Path) -> OsString {
    let mut name = socket.file_name().unwrap_or_default().to_os_string();
    name.push(".");
    name
}

/// Where the word of a life goes.
#[must_use]
pub fn path_of(socket: &Path, started_ms: u64) -> PathBuf {
    let mut name = prefix(socket);
    // Zeros in front: by name they stand in the order of the lives.
    name.push(format!("{started_ms:020}{SUFFIX}"));
    socket.with_file_name(name)
}

/// The words that wait beside a socket, the oldest life first.
///
/// # Errors
/// When the folder can't be read.
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

fn put(out: &mut impl Write, message: &FromNode) -> io::Result<()> {
    let body = message.encode_to_vec();
    if body.len() > RECORD_MOST {
        return Err(io::Error::other("a record is too long"));
    }
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    out.write_all(&len.to_be_bytes())?;
    out.write_all(&crc32fast::hash(&body).to_be_bytes())?;
    out.write_all(&body)
}

/// Leaves a last word: durably, or not at all.
///
/// # Errors
/// With what stands in the way; then there is no file.
pub fn write<'a>(
    socket: &Path,
    welcome: &Welcome,
    batches: impl Iterator<Item = &'a UseBatch>,
    levels: &[Level],
) -> io::Result<PathBuf> {
    if find_all(socket)?.len() >= MAX_FILES {
        return Err(io::Error::other(format!(
            "{MAX_FILES} last words wait there already, and no agent takes them up"
        )));
    }
    let path = path_of(socket, welcome.started_ms);
    let part = path.with_extension("part");
    let written = write_part(&part, welcome, batches, levels).and_then(|()| fs::rename(&part, &path));
    if let Err(e) = written {
        let _ = fs::remove_file(&part);
        return Err(e);
    }
    // The name as well: without this a power cut may leave none.
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()?;
    Ok(path)
}

fn write_part<'a>(
    part: &Path,
    welcome: &Welcome,
    batches: impl Iterator<Item = &'a UseBatch>,
    levels: &[Level],
) -> io::Result<()> {
    let file = OpenOptions::new().create(true).write(true).truncate(true).mode(0o600).open(part)?;
    let mut out = BufWriter::new(file);
    out.write_all(MAGIC)?;
    put(&mut out, &FromNode { welcome: Some(welcome.clone()), ..FromNode::default() })?;
    for batch in batches {
        put(&mut out, &FromNode { r#use: vec![batch.clone()], ..FromNode::default() })?;
    }
    for part in levels.chunks(LEVELS) {
        put(&mut out, &FromNode { levels: part.to_vec(), ..FromNode::default() })?;
    }
    put(&mut out, &FromNode { bye: END.into(), ..FromNode::default() })?;
    out.into_inner().map_err(io::IntoInnerError::into_error)?.sync_all()
}

/// Reads a last word as far as it is sound.
///
/// # Errors
/// When it can't be read, is too long, or not even says whose it is.
pub fn read(path: &Path) -> io::Result<FinalReport> {
    let file = File::open(path)?;
    if file.metadata()?.len() > FILE_MOST {
        return Err(io::Error::other(format!("it is longer than {FILE_MOST} bytes")));
    }
    let mut bytes = Vec::new();
    file.take(FILE_MOST).read_to_end(&mut bytes)?;
    parse(&bytes).ok_or_else(|| io::Error::other("it does not say whose it is"))
}

/// What bytes say, as far as they are sound; nothing where they do not even say whose they are.
#[must_use]
pub fn parse(bytes: &[u8]) -> Option<FinalReport> {
    let mut rest = bytes.strip_prefix(MAGIC)?;
    let mut left = FinalReport { welcome: next(&mut rest)?.welcome?, ..FinalReport::default() };
    while let Some(message) = next(&mut rest) {
        left.batches.extend(message.r#use);
        left.levels.extend(message.levels);
        if message.bye == END {
            left.is_complete = rest.is_empty();
            break;
        }
    }
    Some(left)
}

fn next(rest: &mut &[u8]) -> Option<FromNode> {
    let (head, tail) = rest.split_first_chunk::<8>()?;
    let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let len = word(0) as usize;
    let body = tail.get(..len).filter(|_| len <= RECORD_MOST)?;
    if crc32fast::hash(body) != word(4) {
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

    fn word(numbers: u64) -> (Welcome, Vec<UseBatch>, Vec<Level>) {
        let line = UseLine { shop: "00000000b4d65521".into(), passed_milli: 1000, ..UseLine::default() };
        let batch =
            |seq| UseBatch { seq, last: seq == numbers, lines: vec![line.clone()], ..UseBatch::default() };
        let level = |key| Level { key, plan: 1, store_milli: 7, ceiling_milli: -3 };
        let welcome = Welcome { name: "n1".into(), started_ms: 77, ..Welcome::default() };
        (welcome, (1..=numbers).map(batch).collect(), (0..9000).map(level).collect())
    }

    #[test]
    fn a_last_word_is_read_as_it_was_left_and_found_by_age() {
        let folder = tempfile::tempdir().expect("a folder");
        let socket = folder.path().join("n1.sock");
        let (welcome, batches, levels) = word(5);
        let path = write(&socket, &welcome, batches.iter(), &levels).expect("left");
        let older = Welcome { started_ms: 9, ..welcome.clone() };
        let old = write(&socket, &older, batches.iter(), &[]).expect("left");
        std::fs::write(folder.path().join("n1.sock.7.left"), "x").expect("written");
        std::fs::write(folder.path().join("n11.sock.00000000000000000001.left"), "x").expect("written");
        assert_eq!(find_all(&socket).expect("found"), [old, path.clone()]);
        assert_eq!(
            read(&path).expect("sound"),
            FinalReport { welcome: welcome.clone(), batches, levels, is_complete: true }
        );
        for k in 100..98 + MAX_FILES as u64 {
            write(&socket, &Welcome { started_ms: k, ..welcome.clone() }, [].iter(), &[]).expect("left");
        }
        assert!(write(&socket, &welcome, [].iter(), &[]).is_err(), "they do not pile up without bound");
    }

    proptest! {
        /// Whatever is cut off or spoilt, what is believed is a part of what was written, from its beginning.
        #[test]
        fn of_a_torn_word_only_what_is_sound_is_believed(cut in 0usize..3000, flip in 0usize..3000, bit in 0u8..8) {
            let folder = tempfile::tempdir().expect("a folder");
            let (welcome, batches, _) = word(30);
            let path = write(&folder.path().join("s"), &welcome, batches.iter(), &[]).expect("left");
            let mut bytes = std::fs::read(path).expect("read");
            let whole = bytes.clone();
            let len = bytes.len();
            bytes[flip % len] ^= 1 << bit;
            bytes.truncate(if cut < len { len - cut } else { len });
            if let Some(left) = parse(&bytes) {
                prop_assert_eq!(&left.welcome, &welcome);
                prop_assert_eq!(&left.batches[..], &batches[..left.batches.len()]);
                prop_assert!(!left.is_complete || bytes == whole);
            }
        }
    }
}
