//! Use that waits for the database: a bounded file, written durably before anything is acknowledged. SQLite
//! handles torn writes: it keeps whole transactions only.

use crate::error::Error;
use crate::model::{UsageBatch, UsageLine};
use crate::sqlite::{Sqlite, translate_error};
use rusqlite::{Connection, OptionalExtension};
use serde_json::{Value, json};
use std::path::Path;

/// A batch in the spool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpooledBatch {
    /// The row id; the spool is read in this order.
    pub id: i64,
    /// The size of the batch in the spool, in bytes.
    pub bytes: u64,
    /// The batch.
    pub batch: UsageBatch,
}

/// A spool in an SQLite file.
pub struct Spool {
    file: Sqlite,
}

/// Encodes a batch as the JSON text that the spool stores.
fn encode(batch: &UsageBatch) -> String {
    let lines: Vec<Value> = batch
        .lines
        .iter()
        .map(|l| json!([l.shop, l.plan, l.class, l.passed_milli, l.refused_milli, l.served_milli]))
        .collect();
    let UsageBatch { instance, epoch_ms, seq, from_ms, to_ms, last, revision, .. } = batch;
    json!([instance, epoch_ms, seq, from_ms, to_ms, last, lines, revision]).to_string()
}

/// Decodes a stored batch; `None` if the text is malformed.
fn decode(text: &str) -> Option<UsageBatch> {
    let value: Value = serde_json::from_str(text).ok()?;
    let line = |l: &Value| {
        Some(UsageLine {
            shop: l[0].as_str()?.into(),
            plan: l[1].as_str()?.into(),
            class: l[2].as_str()?.into(),
            passed_milli: l[3].as_i64()?,
            refused_milli: l[4].as_i64()?,
            served_milli: l[5].as_i64()?,
        })
    };
    Some(UsageBatch {
        instance: value[0].as_str()?.into(),
        epoch_ms: value[1].as_i64()?,
        seq: value[2].as_i64()?,
        from_ms: value[3].as_i64()?,
        to_ms: value[4].as_i64()?,
        last: value[5].as_bool()?,
        lines: value[6].as_array()?.iter().map(line).collect::<Option<_>>()?,
        // Missing in a batch that was spooled by a version without revisions.
        revision: value[7].as_i64().unwrap_or(0),
    })
}

impl Spool {
    /// Opens a spool or creates it; returns the number of batches in it and their size in bytes.
    ///
    /// # Errors
    /// The file cannot be used.
    pub async fn open(path: &Path) -> Result<(Spool, usize, u64), Error> {
        let file = Sqlite::open(path).await?;
        let (count, bytes) = file
            .with(|c| {
                let create = || -> rusqlite::Result<(i64, i64)> {
                    c.execute_batch(
                        "CREATE TABLE IF NOT EXISTS spool (id INTEGER PRIMARY KEY, instance TEXT NOT NULL, \
                         epoch_ms INTEGER NOT NULL, seq INTEGER NOT NULL, bytes INTEGER NOT NULL, body TEXT NOT NULL, \
                         UNIQUE (instance, epoch_ms, seq))",
                    )?;
                    c.query_row("SELECT COUNT(*), COALESCE(SUM(bytes), 0) FROM spool", [], |r| {
                        Ok((r.get(0)?, r.get(1)?))
                    })
                };
                create().map_err(|e| translate_error(&e))
            })
            .await?;
        Ok((Spool { file }, usize::try_from(count).unwrap_or(0), u64::try_from(bytes).unwrap_or(0)))
    }

    /// The size of a batch in the spool, in bytes.
    #[must_use]
    pub fn size_bytes(batch: &UsageBatch) -> u64 {
        encode(batch).len() as u64
    }

    /// Adds batches durably. Returns for each whether it is new: a batch that is there already is kept once.
    ///
    /// # Errors
    /// The file cannot be written; then none of the batches is added.
    pub async fn append(&self, batches: Vec<UsageBatch>) -> Result<Vec<bool>, Error> {
        self.file
            .with(move |c| {
                let insert = |c: &mut Connection| -> rusqlite::Result<Vec<bool>> {
                    let tx = c.transaction()?;
                    let mut is_new = Vec::with_capacity(batches.len());
                    for b in &batches {
                        let text = encode(b);
                        let bytes = i64::try_from(text.len()).unwrap_or(i64::MAX);
                        let n = tx
                            .prepare_cached(
                                "INSERT INTO spool (instance, epoch_ms, seq, bytes, body) VALUES (?1, ?2, ?3, ?4, ?5) \
                                 ON CONFLICT (instance, epoch_ms, seq) DO NOTHING",
                            )?
                            .execute((&b.instance, b.epoch_ms, b.seq, bytes, text))?;
                        is_new.push(n == 1);
                    }
                    tx.commit()?;
                    Ok(is_new)
                };
                insert(c).map_err(|e| translate_error(&e))
            })
            .await
    }

    /// The oldest batches, up to `limit`.
    ///
    /// # Errors
    /// The file cannot be read, or an entry is malformed.
    pub async fn oldest(&self, limit: usize) -> Result<Vec<SpooledBatch>, Error> {
        let limit = i64::try_from(limit).unwrap_or(i64::MAX);
        let rows = self
            .file
            .with(move |c| {
                let select = || -> rusqlite::Result<Vec<(i64, i64, String)>> {
                    let mut s = c.prepare_cached("SELECT id, bytes, body FROM spool ORDER BY id LIMIT ?1")?;
                    let rows = s.query_map([limit], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?)))?;
                    rows.collect()
                };
                select().map_err(|e| translate_error(&e))
            })
            .await?;
        let decode_row = |(id, bytes, text): (i64, i64, String)| {
            let batch =
                decode(&text).ok_or_else(|| Error::Corrupt(format!("spool: cannot decode entry {id}")))?;
            Ok(SpooledBatch { id, bytes: u64::try_from(bytes).unwrap_or(0), batch })
        };
        rows.into_iter().map(decode_row).collect()
    }

    /// The newest spooled batch of an instance's latest life.
    ///
    /// # Errors
    /// The file cannot be read.
    pub async fn latest(&self, instance: &str) -> Result<Option<UsageBatch>, Error> {
        let instance = instance.to_string();
        let text = self
            .file
            .with(move |c| {
                let sql =
                    "SELECT body FROM spool WHERE instance = ?1 ORDER BY epoch_ms DESC, seq DESC LIMIT 1";
                let select =
                    || c.prepare_cached(sql)?.query_row([instance], |r| r.get::<_, String>(0)).optional();
                select().map_err(|e| translate_error(&e))
            })
            .await?;
        Ok(text.as_deref().and_then(decode))
    }

    /// Removes batches that were stored in the database.
    ///
    /// # Errors
    /// The file cannot be written; batches that remain are sent again, and the database recognises them.
    pub async fn remove(&self, ids: Vec<i64>) -> Result<(), Error> {
        self.file
            .with(move |c| {
                let remove = |c: &mut Connection| -> rusqlite::Result<()> {
                    let tx = c.transaction()?;
                    for id in &ids {
                        tx.prepare_cached("DELETE FROM spool WHERE id = ?1")?.execute([id])?;
                    }
                    tx.commit()
                };
                remove(c).map_err(|e| translate_error(&e))
            })
            .await
    }
}
