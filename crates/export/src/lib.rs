//! Use by day, written to a folder for billing: numbered parts, each as Parquet and as CSV.
//!
//! # The reader's rule
//!
//! A part's file is named `use-NNNNNNNN-eEEEEEEEEEEEEEEEE.parquet` (and `.csv`): its number and the epoch of the owner that
//! wrote it. **Of each number the file with the highest epoch counts, and no other.** An owner that was stopped and woke up
//! late may still put a file there, under its old epoch; it changes nothing. Rows of a part are fixed in the record before
//! it is written, so files of one number say the same whoever wrote them. Numbers begin at 1 and none is left out: a
//! number that is missing is a part that has not come yet, and parts above it are not to be billed before it.
//! All rows of all parts added up are the use: a day whose use came late is in several parts.
//!
//! Files appear whole: they are written under another name, synced, and renamed.

use bytes::Bytes;
use parquet::basic::{LogicalType, Repetition, Type as Kind};
use parquet::column::writer::ColumnWriter;
use parquet::data_type::ByteArray;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::RowAccessor;
use parquet::schema::types::{Type, TypePtr};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Use of a shop on a day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The day's begin, UTC ms.
    pub day_ms: i64,
    /// 16 hex digits.
    pub shop: String,
    /// Its plan.
    pub plan: String,
    /// The class.
    pub class: String,
    /// Units sent on or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused.
    pub refused_milli: i64,
    /// Units served.
    pub served_milli: i64,
}

/// Which part a file is, and whose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartName {
    /// From 1.
    pub number: u64,
    /// Of its owner.
    pub epoch: u64,
}

impl PartName {
    /// The file's name, with an ending.
    #[must_use]
    pub fn file_name(&self, ending: &str) -> String {
        format!("use-{:08}-e{:016}.{ending}", self.number, self.epoch)
    }

    /// Reads a file's name with this ending.
    #[must_use]
    pub fn parse(file: &str, ending: &str) -> Option<PartName> {
        let rest = file.strip_prefix("use-")?.strip_suffix(ending)?.strip_suffix('.')?;
        let (number, epoch) = rest.split_once("-e")?;
        let int = |text: &str, len: usize| {
            (text.len() == len && text.bytes().all(|b| b.is_ascii_digit()))
                .then(|| text.parse().ok())
                .flatten()
        };
        Some(PartName { number: int(number, 8)?, epoch: int(epoch, 16)? })
    }
}

/// Why a part can't be written or read.
#[derive(Debug)]
pub enum Error {
    /// The folder or a file.
    Io(PathBuf, io::Error),
    /// A file is not what it should be.
    Malformed(PathBuf, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(path, e) => write!(f, "{}: {e}", path.display()),
            Error::Malformed(path, what) => write!(f, "{}: {what}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

/// The digest of what is written, as hex.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
}

fn schema() -> Result<TypePtr, parquet::errors::ParquetError> {
    let int = |name: &str| {
        Type::primitive_type_builder(name, Kind::INT64).with_repetition(Repetition::REQUIRED).build()
    };
    let text = |name: &str| {
        let builder =
            Type::primitive_type_builder(name, Kind::BYTE_ARRAY).with_repetition(Repetition::REQUIRED);
        builder.with_logical_type(Some(LogicalType::String)).build()
    };
    let fields = vec![
        Arc::new(int("day_ms")?),
        Arc::new(text("shop")?),
        Arc::new(text("plan")?),
        Arc::new(text("class")?),
        Arc::new(int("passed_milli")?),
        Arc::new(int("refused_milli")?),
        Arc::new(int("served_milli")?),
    ];
    Ok(Arc::new(Type::group_type_builder("use").with_fields(fields).build()?))
}

/// A part as Parquet.
///
/// # Errors
/// When the library can't write it.
pub fn parquet(name: PartName, rows: &[UsageRow]) -> Result<Vec<u8>, parquet::errors::ParquetError> {
    let told = |key: &str, value: u64| KeyValue::new(key.to_string(), value.to_string());
    let head = vec![told("frostvale.part", name.number), told("frostvale.epoch", name.epoch)];
    let properties = WriterProperties::builder().set_key_value_metadata(Some(head)).build();
    let mut writer = SerializedFileWriter::new(Vec::new(), schema()?, Arc::new(properties))?;
    let mut group = writer.next_row_group()?;
    let ints: [fn(&UsageRow) -> i64; 4] =
        [|r| r.day_ms, |r| r.passed_milli, |r| r.refused_milli, |r| r.served_milli];
    let texts: [fn(&UsageRow) -> &str; 3] = [|r| &r.shop, |r| &r.plan, |r| &r.class];
    let mut at = 0;
    while let Some(mut column) = group.next_column()? {
        match column.untyped() {
            ColumnWriter::Int64ColumnWriter(typed) => {
                let of = ints[if at == 0 { 0 } else { at - 3 }];
                let values: Vec<i64> = rows.iter().map(of).collect();
                typed.write_batch(&values, None, None)?;
            }
            ColumnWriter::ByteArrayColumnWriter(typed) => {
                let of = texts[at - 1];
                let values: Vec<ByteArray> = rows.iter().map(|r| ByteArray::from(of(r))).collect();
                typed.write_batch(&values, None, None)?;
            }
            _ => return Err(parquet::errors::ParquetError::General("a column of another kind".into())),
        }
        column.close()?;
        at += 1;
    }
    group.close()?;
    writer.into_inner()
}

/// A part as CSV.
///
/// # Errors
/// When the library can't write it.
pub fn csv(rows: &[UsageRow]) -> Result<Vec<u8>, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer.serialize(row)?;
    }
    writer.into_inner().map_err(|e| csv::Error::from(e.into_error()))
}

/// Reads a part back from Parquet, and whose it says it is.
///
/// # Errors
/// With what is wrong.
pub fn from_parquet(bytes: Vec<u8>) -> Result<(PartName, Vec<UsageRow>), String> {
    let said = |e: parquet::errors::ParquetError| e.to_string();
    let reader = SerializedFileReader::new(Bytes::from(bytes)).map_err(said)?;
    let meta = reader.metadata().file_metadata();
    let word = |key: &str| {
        let words = meta.key_value_metadata().map(Vec::as_slice).unwrap_or_default();
        words.iter().find(|k| k.key == key).and_then(|k| k.value.as_ref()?.parse().ok())
    };
    let (number, epoch) = (word("frostvale.part"), word("frostvale.epoch"));
    let name = number.zip(epoch).map(|(number, epoch)| PartName { number, epoch });
    let name = name.ok_or("its head names no part and epoch")?;
    let wanted = schema().map_err(said)?;
    if meta.schema() != &*wanted {
        return Err("its columns are others".into());
    }
    let mut rows = Vec::new();
    for row in reader.get_row_iter(None).map_err(said)? {
        let row = row.map_err(said)?;
        rows.push(UsageRow {
            day_ms: row.get_long(0).map_err(said)?,
            shop: row.get_string(1).map_err(said)?.clone(),
            plan: row.get_string(2).map_err(said)?.clone(),
            class: row.get_string(3).map_err(said)?.clone(),
            passed_milli: row.get_long(4).map_err(said)?,
            refused_milli: row.get_long(5).map_err(said)?,
            served_milli: row.get_long(6).map_err(said)?,
        });
    }
    Ok((name, rows))
}

/// Writes a part into a folder; gives the digest of the Parquet file. `may` is asked right before each file gets its name:
/// whether the lease still holds.
///
/// # Errors
/// When it can't be written, or may not any more.
pub fn write(
    folder: &Path,
    name: PartName,
    rows: &[UsageRow],
    with_csv: bool,
    may: impl Fn() -> Result<(), String>,
) -> Result<String, Error> {
    let bad = |e: &dyn fmt::Display| Error::Malformed(folder.join(name.file_name("parquet")), e.to_string());
    let bytes = parquet(name, rows).map_err(|e| bad(&e))?;
    let sum = digest(&bytes);
    fs::create_dir_all(folder).map_err(|e| Error::Io(folder.to_path_buf(), e))?;
    let mut files = vec![(name.file_name("parquet"), bytes)];
    if with_csv {
        // First, so that whoever sees the Parquet file finds the other.
        files.insert(0, (name.file_name("csv"), csv(rows).map_err(|e| bad(&e))?));
    }
    for (file, bytes) in files {
        let path = folder.join(&file);
        let half = folder.join(format!(".{file}.half"));
        let put = || -> io::Result<()> {
            let mut out = fs::File::create(&half)?;
            out.write_all(&bytes)?;
            out.sync_all()
        };
        put().map_err(|e| Error::Io(half.clone(), e))?;
        may().map_err(|why| Error::Malformed(path.clone(), why))?;
        fs::rename(&half, &path).map_err(|e| Error::Io(path.clone(), e))?;
    }
    fs::File::open(folder).and_then(|f| f.sync_all()).map_err(|e| Error::Io(folder.to_path_buf(), e))?;
    Ok(sum)
}

/// A part as it is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Which, and whose.
    pub name: PartName,
    /// The digest of its file.
    pub digest: String,
    /// Its rows.
    pub rows: Vec<UsageRow>,
}

/// What a folder holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExportContents {
    /// The parts that count, by number, up to the first that is missing.
    pub parts: Vec<Part>,
    /// Files of lower epochs: passed over.
    pub superseded: Vec<String>,
    /// The first number that is missing while higher ones are there.
    pub missing: Option<u64>,
}

/// Reads a folder by the rule.
///
/// # Errors
/// When the folder can't be read, or a file that counts is not whole.
pub fn read(folder: &Path) -> Result<ExportContents, Error> {
    let mut newest: BTreeMap<u64, PartName> = BTreeMap::new();
    let mut read = ExportContents::default();
    let all = fs::read_dir(folder).map_err(|e| Error::Io(folder.to_path_buf(), e))?;
    for entry in all {
        let entry = entry.map_err(|e| Error::Io(folder.to_path_buf(), e))?;
        let Some(name) = entry.file_name().to_str().and_then(|f| PartName::parse(f, "parquet")) else {
            continue;
        };
        let known = newest.entry(name.number).or_insert(name);
        if *known != name {
            let (old, new) = if known.epoch < name.epoch { (*known, name) } else { (name, *known) };
            *known = new;
            read.superseded.push(old.file_name("parquet"));
        }
    }
    read.superseded.sort();
    for (at, name) in (1..).zip(newest.values()) {
        if name.number != at {
            read.missing = Some(at);
            break;
        }
        let path = folder.join(name.file_name("parquet"));
        let bytes = fs::read(&path).map_err(|e| Error::Io(path.clone(), e))?;
        let digest = digest(&bytes);
        let (told, rows) = from_parquet(bytes).map_err(|what| Error::Malformed(path.clone(), what))?;
        if told != *name {
            return Err(Error::Malformed(
                path,
                format!("its head says part {} of epoch {}", told.number, told.epoch),
            ));
        }
        read.parts.push(Part { name: *name, digest, rows });
    }
    Ok(read)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(shop: u64, units: i64) -> UsageRow {
        UsageRow {
            day_ms: 86_400_000,
            shop: format!("{shop:016x}"),
            plan: "tienda".into(),
            class: "mix-record".into(),
            passed_milli: units,
            refused_milli: 1,
            served_milli: units - 1,
        }
    }

    #[test]
    fn of_each_number_the_highest_epoch_counts() {
        let folder = tempfile::tempdir().expect("a folder");
        let put = |number, epoch, units| {
            let name = PartName { number, epoch };
            write(folder.path(), name, &[row(1, units)], true, || Ok(())).expect("written")
        };
        put(1, 7, 10);
        let sum = put(2, 9, 20);
        // The old owner wakes up late, with a part that it had begun.
        put(2, 7, 21);
        put(4, 9, 40);
        fs::write(folder.path().join("use-00000003-e0000000000000009.parquet.half"), "half")
            .expect("written");
        let read = read(folder.path()).expect("read");
        let parts: Vec<(u64, u64, i64)> =
            read.parts.iter().map(|p| (p.name.number, p.name.epoch, p.rows[0].passed_milli)).collect();
        assert_eq!(parts, [(1, 7, 10), (2, 9, 20)], "4 waits for 3");
        assert_eq!((read.missing, read.parts[1].digest.as_str()), (Some(3), sum.as_str()));
        assert_eq!(read.superseded, [PartName { number: 2, epoch: 7 }.file_name("parquet")]);
        let text = fs::read_to_string(folder.path().join(PartName { number: 2, epoch: 9 }.file_name("csv")))
            .expect("read");
        assert_eq!(text.lines().count(), 2);
        assert!(text.starts_with("day_ms,shop,plan,class,passed_milli,refused_milli,served_milli\n"));
    }

    #[test]
    fn an_owner_that_may_no_longer_leaves_no_file_that_counts() {
        let folder = tempfile::tempdir().expect("a folder");
        let name = PartName { number: 1, epoch: 1 };
        let refused = write(folder.path(), name, &[row(1, 1)], true, || Err("the lease ran out".into()));
        assert!(refused.is_err_and(|e| e.to_string().contains("the lease ran out")));
        assert_eq!(read(folder.path()).expect("read"), ExportContents::default());
    }

    #[test]
    fn a_file_that_is_not_whole_is_named() {
        let folder = tempfile::tempdir().expect("a folder");
        let name = PartName { number: 1, epoch: 1 };
        write(folder.path(), name, &[row(1, 1)], false, || Ok(())).expect("written");
        let path = folder.path().join(name.file_name("parquet"));
        let bytes = fs::read(&path).expect("read");
        for torn in [&bytes[..bytes.len() / 2], b"", b"PAR1 and nothing else PAR1"] {
            fs::write(&path, torn).expect("written");
            let said = read(folder.path()).expect_err("torn").to_string();
            assert!(said.contains("use-00000001"), "{said}");
        }
        fs::write(folder.path().join(PartName { number: 1, epoch: 2 }.file_name("parquet")), &bytes)
            .expect("written");
        let said = read(folder.path()).expect_err("renamed").to_string();
        assert!(said.contains("its head says part 1 of epoch 1"), "{said}");
    }

    proptest::proptest! {
        #[test]
        fn what_is_written_is_read(units in proptest::collection::vec(0_i64..1 << 50, 0..50), number in 1_u64..1 << 20) {
            let rows: Vec<UsageRow> = units.iter().zip(0..).map(|(u, k)| row(k, *u)).collect();
            let name = PartName { number, epoch: number * 3 };
            let read = from_parquet(parquet(name, &rows).expect("written"));
            proptest::prop_assert_eq!(read, Ok((name, rows)));
            proptest::prop_assert_eq!(PartName::parse(&name.file_name("csv"), "csv"), Some(name));
        }
    }
}
