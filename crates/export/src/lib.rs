//! Exports usage by day to a folder for billing, as numbered parts. Each part is a Parquet file and
//! optionally a CSV file.
//!
//! # The rule for readers
//!
//! A part's file is named `use-NNNNNNNN-eEEEEEEEEEEEEEEEE.parquet` (and `.csv`), after the number of the part
//! and the epoch of the owner that wrote it. **Of each number only the file with the highest epoch counts.**
//! An owner that was paused and resumed after it had lost its lease may still write a file under its old
//! epoch; readers ignore it. The rows of a part are fixed in the record before it is written, so all files of
//! one number have the same rows, whichever owner wrote them.
//!
//! Numbers start at 1 without gaps. A missing number is a part that has not been written yet, and parts above
//! it must not be billed before it. The usage of a day is the sum of its rows over all parts: usage that is
//! recorded late is in a later part than the rest of its day.
//!
//! Files appear atomically: each is written under a temporary name, synced, and renamed.

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

/// Usage of a shop on one day, for one plan and class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The start of the day, Unix time in ms, UTC.
    pub day_ms: i64,
    /// The shop's id as 16 hex digits.
    pub shop: String,
    /// The shop's plan.
    pub plan: String,
    /// The class of the requests.
    pub class: String,
    /// Units passed on to servers or granted, in thousandths.
    pub passed_milli: i64,
    /// Units refused, in thousandths.
    pub refused_milli: i64,
    /// Units served, in thousandths.
    pub served_milli: i64,
}

/// The part that a file holds, and the owner that wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartName {
    /// The number of the part, from 1.
    pub number: u64,
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
}

impl PartName {
    /// The name of the part's file with this extension.
    #[must_use]
    pub fn file_name(&self, extension: &str) -> String {
        format!("use-{:08}-e{:016}.{extension}", self.number, self.epoch)
    }

    /// Parses the name of a part's file with this extension; `None` if it is not such a name.
    #[must_use]
    pub fn parse(file: &str, extension: &str) -> Option<PartName> {
        let rest = file.strip_prefix("use-")?.strip_suffix(extension)?.strip_suffix('.')?;
        let (number, epoch) = rest.split_once("-e")?;
        let int = |text: &str, len: usize| {
            (text.len() == len && text.bytes().all(|b| b.is_ascii_digit()))
                .then(|| text.parse().ok())
                .flatten()
        };
        Some(PartName { number: int(number, 8)?, epoch: int(epoch, 16)? })
    }
}

/// An error of writing or reading parts.
#[derive(Debug)]
pub enum Error {
    /// An I/O error of the folder or a file.
    Io(PathBuf, io::Error),
    /// A file that is malformed or can't be encoded, or that may no longer be written.
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

/// The SHA-256 digest of a file's content, as hex digits.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
}

/// The Parquet schema of a part; its columns are the fields of [`UsageRow`] in order.
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

/// Encodes a part as Parquet, with its number and epoch as key-value metadata.
///
/// # Errors
/// When the Parquet library fails.
pub fn parquet(name: PartName, rows: &[UsageRow]) -> Result<Vec<u8>, parquet::errors::ParquetError> {
    let entry = |key: &str, value: u64| KeyValue::new(key.to_string(), value.to_string());
    let metadata = vec![entry("frostvale.part", name.number), entry("frostvale.epoch", name.epoch)];
    let properties = WriterProperties::builder().set_key_value_metadata(Some(metadata)).build();
    let mut writer = SerializedFileWriter::new(Vec::new(), schema()?, Arc::new(properties))?;
    let mut group = writer.next_row_group()?;
    let ints: [fn(&UsageRow) -> i64; 4] =
        [|r| r.day_ms, |r| r.passed_milli, |r| r.refused_milli, |r| r.served_milli];
    let texts: [fn(&UsageRow) -> &str; 3] = [|r| &r.shop, |r| &r.plan, |r| &r.class];
    let mut column_index = 0;
    while let Some(mut column) = group.next_column()? {
        match column.untyped() {
            ColumnWriter::Int64ColumnWriter(typed) => {
                let field = ints[if column_index == 0 { 0 } else { column_index - 3 }];
                let values: Vec<i64> = rows.iter().map(field).collect();
                typed.write_batch(&values, None, None)?;
            }
            ColumnWriter::ByteArrayColumnWriter(typed) => {
                let field = texts[column_index - 1];
                let values: Vec<ByteArray> = rows.iter().map(|r| ByteArray::from(field(r))).collect();
                typed.write_batch(&values, None, None)?;
            }
            _ => return Err(parquet::errors::ParquetError::General("column has an unexpected type".into())),
        }
        column.close()?;
        column_index += 1;
    }
    group.close()?;
    writer.into_inner()
}

/// Encodes rows as CSV with a header line.
///
/// # Errors
/// When the CSV library fails.
pub fn csv(rows: &[UsageRow]) -> Result<Vec<u8>, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer.serialize(row)?;
    }
    writer.into_inner().map_err(|e| csv::Error::from(e.into_error()))
}

/// Decodes a part from Parquet, with the number and epoch from its metadata.
///
/// # Errors
/// With the reason when the file is not Parquet or lacks the metadata or columns of a part.
pub fn from_parquet(bytes: Vec<u8>) -> Result<(PartName, Vec<UsageRow>), String> {
    let error_text = |e: parquet::errors::ParquetError| e.to_string();
    let reader = SerializedFileReader::new(Bytes::from(bytes)).map_err(error_text)?;
    let metadata = reader.metadata().file_metadata();
    let metadata_value = |key: &str| {
        let entries = metadata.key_value_metadata().map(Vec::as_slice).unwrap_or_default();
        entries.iter().find(|k| k.key == key).and_then(|k| k.value.as_ref()?.parse().ok())
    };
    let (number, epoch) = (metadata_value("frostvale.part"), metadata_value("frostvale.epoch"));
    let name = number.zip(epoch).map(|(number, epoch)| PartName { number, epoch });
    let name = name.ok_or("metadata has no valid part number and epoch")?;
    let expected = schema().map_err(error_text)?;
    if metadata.schema() != &*expected {
        return Err("columns differ from those of a usage export".into());
    }
    let mut rows = Vec::new();
    for row in reader.get_row_iter(None).map_err(error_text)? {
        let row = row.map_err(error_text)?;
        rows.push(UsageRow {
            day_ms: row.get_long(0).map_err(error_text)?,
            shop: row.get_string(1).map_err(error_text)?.clone(),
            plan: row.get_string(2).map_err(error_text)?.clone(),
            class: row.get_string(3).map_err(error_text)?.clone(),
            passed_milli: row.get_long(4).map_err(error_text)?,
            refused_milli: row.get_long(5).map_err(error_text)?,
            served_milli: row.get_long(6).map_err(error_text)?,
        });
    }
    Ok((name, rows))
}

/// Writes a part into a folder and returns the digest of the Parquet file. `may_write` is called right before
/// each file is renamed to its final name, and fails if the lease no longer holds.
///
/// # Errors
/// When the part can't be encoded or written, or `may_write` fails.
pub fn write(
    folder: &Path,
    name: PartName,
    rows: &[UsageRow],
    with_csv: bool,
    may_write: impl Fn() -> Result<(), String>,
) -> Result<String, Error> {
    let encode_error =
        |e: &dyn fmt::Display| Error::Malformed(folder.join(name.file_name("parquet")), e.to_string());
    let bytes = parquet(name, rows).map_err(|e| encode_error(&e))?;
    let parquet_digest = digest(&bytes);
    fs::create_dir_all(folder).map_err(|e| Error::Io(folder.to_path_buf(), e))?;
    let mut files = vec![(name.file_name("parquet"), bytes)];
    if with_csv {
        // CSV first, so that it is there once the Parquet file appears.
        files.insert(0, (name.file_name("csv"), csv(rows).map_err(|e| encode_error(&e))?));
    }
    for (file, bytes) in files {
        let path = folder.join(&file);
        let temporary = folder.join(format!(".{file}.half"));
        let write_temporary = || -> io::Result<()> {
            let mut out = fs::File::create(&temporary)?;
            out.write_all(&bytes)?;
            out.sync_all()
        };
        write_temporary().map_err(|e| Error::Io(temporary.clone(), e))?;
        may_write().map_err(|why| Error::Malformed(path.clone(), why))?;
        fs::rename(&temporary, &path).map_err(|e| Error::Io(path.clone(), e))?;
    }
    fs::File::open(folder).and_then(|f| f.sync_all()).map_err(|e| Error::Io(folder.to_path_buf(), e))?;
    Ok(parquet_digest)
}

/// A part as read from a folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Its number and the epoch of its owner.
    pub name: PartName,
    /// The SHA-256 digest of its Parquet file, as hex digits.
    pub digest: String,
    /// Its rows.
    pub rows: Vec<UsageRow>,
}

/// The contents of an export folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExportContents {
    /// The parts that count, by number, up to the first missing number.
    pub parts: Vec<Part>,
    /// Names of Parquet files that are superseded by one of a higher epoch.
    pub superseded: Vec<String>,
    /// The first missing number, if there are parts with higher numbers.
    pub missing: Option<u64>,
}

/// Reads a folder by the rule for readers (see the crate's page).
///
/// # Errors
/// When the folder can't be read, or a file that counts is malformed or does not match its name.
pub fn read(folder: &Path) -> Result<ExportContents, Error> {
    let mut newest: BTreeMap<u64, PartName> = BTreeMap::new();
    let mut contents = ExportContents::default();
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
            contents.superseded.push(old.file_name("parquet"));
        }
    }
    contents.superseded.sort();
    for (expected, name) in (1..).zip(newest.values()) {
        if name.number != expected {
            contents.missing = Some(expected);
            break;
        }
        let path = folder.join(name.file_name("parquet"));
        let bytes = fs::read(&path).map_err(|e| Error::Io(path.clone(), e))?;
        let digest = digest(&bytes);
        let (stated, rows) = from_parquet(bytes).map_err(|what| Error::Malformed(path.clone(), what))?;
        if stated != *name {
            return Err(Error::Malformed(
                path,
                format!("metadata says part {} of epoch {}", stated.number, stated.epoch),
            ));
        }
        contents.parts.push(Part { name: *name, digest, rows });
    }
    Ok(contents)
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
    fn read_takes_highest_epoch_of_each_number() {
        let folder = tempfile::tempdir().expect("a folder");
        let write_part = |number, epoch, units| {
            let name = PartName { number, epoch };
            write(folder.path(), name, &[row(1, units)], true, || Ok(())).expect("written")
        };
        write_part(1, 7, 10);
        let sum = write_part(2, 9, 20);
        // The previous owner resumes late and writes a part that it had begun.
        write_part(2, 7, 21);
        write_part(4, 9, 40);
        fs::write(folder.path().join("use-00000003-e0000000000000009.parquet.half"), "half")
            .expect("written");
        let read = read(folder.path()).expect("read");
        let parts: Vec<(u64, u64, i64)> =
            read.parts.iter().map(|p| (p.name.number, p.name.epoch, p.rows[0].passed_milli)).collect();
        assert_eq!(parts, [(1, 7, 10), (2, 9, 20)], "part 4 does not count before part 3");
        assert_eq!((read.missing, read.parts[1].digest.as_str()), (Some(3), sum.as_str()));
        assert_eq!(read.superseded, [PartName { number: 2, epoch: 7 }.file_name("parquet")]);
        let csv_text =
            fs::read_to_string(folder.path().join(PartName { number: 2, epoch: 9 }.file_name("csv")))
                .expect("read");
        assert_eq!(csv_text.lines().count(), 2);
        assert!(csv_text.starts_with("day_ms,shop,plan,class,passed_milli,refused_milli,served_milli\n"));
    }

    #[test]
    fn write_leaves_no_part_when_lease_has_expired() {
        let folder = tempfile::tempdir().expect("a folder");
        let name = PartName { number: 1, epoch: 1 };
        let refused = write(folder.path(), name, &[row(1, 1)], true, || Err("the lease ran out".into()));
        assert!(refused.is_err_and(|e| e.to_string().contains("the lease ran out")));
        assert_eq!(read(folder.path()).expect("read"), ExportContents::default());
    }

    #[test]
    fn read_names_malformed_file() {
        let folder = tempfile::tempdir().expect("a folder");
        let name = PartName { number: 1, epoch: 1 };
        write(folder.path(), name, &[row(1, 1)], false, || Ok(())).expect("written");
        let path = folder.path().join(name.file_name("parquet"));
        let bytes = fs::read(&path).expect("read");
        for torn in [&bytes[..bytes.len() / 2], b"", b"PAR1 and nothing else PAR1"] {
            fs::write(&path, torn).expect("written");
            let error = read(folder.path()).expect_err("torn").to_string();
            assert!(error.contains("use-00000001"), "{error}");
        }
        fs::write(folder.path().join(PartName { number: 1, epoch: 2 }.file_name("parquet")), &bytes)
            .expect("written");
        let error = read(folder.path()).expect_err("renamed").to_string();
        assert!(error.contains("metadata says part 1 of epoch 1"), "{error}");
    }

    proptest::proptest! {
        #[test]
        fn parquet_round_trip_preserves_rows_and_name(
            units in proptest::collection::vec(0_i64..1 << 50, 0..50),
            number in 1_u64..1 << 20,
        ) {
            let rows: Vec<UsageRow> = units.iter().zip(0..).map(|(u, k)| row(k, *u)).collect();
            let name = PartName { number, epoch: number * 3 };
            let read = from_parquet(parquet(name, &rows).expect("written"));
            proptest::prop_assert_eq!(read, Ok((name, rows)));
            proptest::prop_assert_eq!(PartName::parse(&name.file_name("csv"), "csv"), Some(name));
        }
    }
}
