//! Use that waits for the database: a bounded file, durable before anything is acknowledged. Torn writes are SQLite's
//! business, which keeps whole transactions only.

use crate::error::Error;
use crate::model::{UsageBatch, UsageLine};
use crate::sqlite::{Sqlite, meaning};
use rusqlite::{Connection, OptionalExtension};
use serde_json::{Value, json};
use std::path::Path;

/// A batch in the spool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpooledBatch {
    /// Its place.
    pub id: i64,
    /// Bytes that it takes.
    pub bytes: u64,
    /// The batch.
    pub batch: UsageBatch,
}

/// A spool in a file.
pub struct Spool {
    file: Sqlite,
}

fn write(batch: &UsageBatch) -> String {
    let lines: Vec<Value> = batch
        .lines
        .iter()
        .map(|l| json!([l.shop, l.plan, l.class, l.passed_milli, l.refused_milli, l.served_milli]))
        .collect();
    let UsageBatch { instance, epoch_ms, seq, from_ms, to_ms, last, revision, .. } = batch;
    json!([instance, epoch_ms, seq, from_ms, to_ms, last, lines, revision]).to_string()
}

fn read(text: &str) -> Option<UsageBatch> {
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
        // One that was spooled before these were told apart.
        revision: value[7].as_i64().unwrap_or(0),
    })
}

impl Spool {
    /// Opens a spool, or makes it; gives the batches and bytes in it.
    ///
    /// # Errors
    /// When the file can't be used.
    pub async fn open(path: &Path) -> Result<(Spool, usize, u64), Error> {
        let file = Sqlite::open(path).await?;
        let (count, bytes) = file
            .with(|c| {
                let made = || -> rusqlite::Result<(i64, i64)> {
                    c.execute_batch(
                        "CREATE TABLE IF NOT EXISTS spool (id INTEGER PRIMARY KEY, instance TEXT NOT NULL, \
                         epoch_ms INTEGER NOT NULL, seq INTEGER NOT NULL, bytes INTEGER NOT NULL, body TEXT NOT NULL, \
                         UNIQUE (instance, epoch_ms, seq))",
                    )?;
                    c.query_row("SELECT COUNT(*), COALESCE(SUM(bytes), 0) FROM spool", [], |r| {
                        Ok((r.get(0)?, r.get(1)?))
                    })
                };
                made().map_err(|e| meaning(&e))
            })
            .await?;
        Ok((Spool { file }, usize::try_from(count).unwrap_or(0), u64::try_from(bytes).unwrap_or(0)))
    }

    /// Bytes that a batch takes.
    #[must_use]
    pub fn size_bytes(batch: &UsageBatch) -> u64 {
        write(batch).len() as u64
    }

    /// Puts batches in, durably. For each whether it is new: one that is there already stays there once.
    ///
    /// # Errors
    /// When the file takes none; then none is in it.
    pub async fn append(&self, batches: Vec<UsageBatch>) -> Result<Vec<bool>, Error> {
        self.file
            .with(move |c| {
                let put = |c: &mut Connection| -> rusqlite::Result<Vec<bool>> {
                    let tx = c.transaction()?;
                    let mut new = Vec::with_capacity(batches.len());
                    for b in &batches {
                        let text = write(b);
                        let bytes = i64::try_from(text.len()).unwrap_or(i64::MAX);
                        let n = tx
                            .prepare_cached(
                                "INSERT INTO spool (instance, epoch_ms, seq, bytes, body) VALUES (?1, ?2, ?3, ?4, ?5) \
                                 ON CONFLICT (instance, epoch_ms, seq) DO NOTHING",
                            )?
                            .execute((&b.instance, b.epoch_ms, b.seq, bytes, text))?;
                        new.push(n == 1);
                    }
                    tx.commit()?;
                    Ok(new)
                };
                put(c).map_err(|e| meaning(&e))
            })
            .await
    }

    /// The oldest so many.
    ///
    /// # Errors
    /// When the file can't be read.
    pub async fn oldest(&self, most: usize) -> Result<Vec<SpooledBatch>, Error> {
        let most = i64::try_from(most).unwrap_or(i64::MAX);
        let rows = self
            .file
            .with(move |c| {
                let get = || -> rusqlite::Result<Vec<(i64, i64, String)>> {
                    let mut s = c.prepare_cached("SELECT id, bytes, body FROM spool ORDER BY id LIMIT ?1")?;
                    let rows = s.query_map([most], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?)))?;
                    rows.collect()
                };
                get().map_err(|e| meaning(&e))
            })
            .await?;
        let one = |(id, bytes, text): (i64, i64, String)| {
            let batch =
                read(&text).ok_or_else(|| Error::Corrupt(format!("spool: entry {id} can't be read")))?;
            Ok(SpooledBatch { id, bytes: u64::try_from(bytes).unwrap_or(0), batch })
        };
        rows.into_iter().map(one).collect()
    }

    /// The last batch of an instance's latest life that waits here.
    ///
    /// # Errors
    /// When the file can't be read.
    pub async fn latest(&self, instance: &str) -> Result<Option<UsageBatch>, Error> {
        let instance = instance.to_string();
        let text = self
            .file
            .with(move |c| {
                let sql =
                    "SELECT body FROM spool WHERE instance = ?1 ORDER BY epoch_ms DESC, seq DESC LIMIT 1";
                let get =
                    || c.prepare_cached(sql)?.query_row([instance], |r| r.get::<_, String>(0)).optional();
                get().map_err(|e| meaning(&e))
            })
            .await?;
        Ok(text.as_deref().and_then(read))
    }

    /// Takes out what has landed.
    ///
    /// # Errors
    /// When the file can't be written; what stays in it lands once more, and is known for the same.
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
                remove(c).map_err(|e| meaning(&e))
            })
            .await
    }
}
