//! PostgreSQL, for a fleet. Every step has a time limit, here and at the server; a connection that missed one is
//! thrown away. What the server gave up for another's sake is tried again; what may have been made final is said to be
//! in doubt, and the operations are such that doing them again is safe.

use crate::error::Error;
use crate::ops::{self, Op, Reply, Row, Tx, Value};
use crate::{Backend, RecordLocation, sql};
use async_trait::async_trait;
use deadpool_postgres::{ClientWrapper, Manager, ManagerConfig, Object, Pool, RecyclingMethod};
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_postgres::config::Host;
use tokio_postgres::error::SqlState;
use tokio_postgres::types::ToSql;
use tokio_postgres::{AsyncMessage, Config, NoTls};
use tokio_postgres_rustls::MakeRustlsConnect;

/// The channel on which changes are told.
const CHANNEL: &str = "frostvale";
/// The advisory lock under which the schema is changed.
const MIGRATION_LOCK: &str = "SELECT pg_advisory_xact_lock(727574)::TEXT AS locked";
/// What gave way to another transaction is tried so often in all.
const TRIES: u32 = 8;

/// A record in a server.
pub struct Postgres {
    pool: Pool,
    statement: Duration,
    changes: watch::Sender<u64>,
    listener: tokio::task::JoinHandle<()>,
}

impl Drop for Postgres {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

/// What a place says, as the client wants it; and whether it is on loopback.
///
/// # Errors
/// With the field and what it may be.
pub(crate) fn config(place: &RecordLocation) -> Result<(Config, bool), String> {
    let mut config: Config = place.url.parse().map_err(|_| {
        // The text may hold a secret: it is not shown.
        "record.url: sqlite:PATH or postgres://USER@HOST:PORT/DATABASE".to_string()
    })?;
    if !place.url.starts_with("postgres://") && !place.url.starts_with("postgresql://") {
        return Err("record.url: sqlite:PATH or postgres://USER@HOST:PORT/DATABASE".into());
    }
    if config.get_password().is_some() {
        return Err("record.url: a password stands in record.password_file, not in the URL".into());
    }
    let local = |host: &Host| match host {
        Host::Unix(_) => true,
        Host::Tcp(name) => name == "localhost" || name.parse().is_ok_and(|ip: IpAddr| ip.is_loopback()),
    };
    let loopback = !config.get_hosts().is_empty() && config.get_hosts().iter().all(local);
    if config.get_hosts().is_empty() {
        return Err("record.url: it names no host".into());
    }
    if !loopback && place.ca.is_none() {
        return Err("record.ca: wanted where the server is not on loopback".into());
    }
    let range = Duration::from_millis(10)..=Duration::from_secs(600);
    if !range.contains(&place.connect_timeout) || !range.contains(&place.statement_timeout) {
        return Err("record.connect_ms, record.statement_ms: 10 to 600000".into());
    }
    if !(1..=100).contains(&place.connections) {
        return Err("record.connections: 1 to 100".into());
    }
    if let Some(file) = &place.password_file {
        let text = std::fs::read_to_string(file)
            .map_err(|e| format!("record.password_file: cannot read {}: {e}", file.display()))?;
        config.password(text.trim_end_matches(['\r', '\n']));
    }
    // An agent that is stopped in the middle of a transaction holds its rows, and with them whoever owns the duty next:
    // the server gives up what lies idle as long as a statement may take.
    let most = place.statement_timeout.as_millis();
    config.connect_timeout(place.connect_timeout).application_name("frostvale").options(format!(
        "-c statement_timeout={most} -c lock_timeout={most} -c idle_in_transaction_session_timeout={most}"
    ));
    if place.ca.is_some() {
        config.ssl_mode(tokio_postgres::config::SslMode::Require);
    }
    Ok((config, loopback))
}

fn tls(ca: &Path) -> Result<MakeRustlsConnect, String> {
    let mut roots = rustls::RootCertStore::empty();
    let read = CertificateDer::pem_file_iter(ca).map_err(|e| format!("record.ca: {}: {e}", ca.display()))?;
    for cert in read {
        let cert = cert.map_err(|e| format!("record.ca: {}: {e}", ca.display()))?;
        roots.add(cert).map_err(|e| format!("record.ca: {}: {e}", ca.display()))?;
    }
    if roots.is_empty() {
        return Err(format!("record.ca: {}: no certificate in it", ca.display()));
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| format!("record.ca: {e}"))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(MakeRustlsConnect::new(client))
}

/// What an error means here. `making_final`: while the commit was out.
fn meaning(e: &tokio_postgres::Error, making_final: bool) -> Error {
    let text = match e.as_db_error() {
        Some(db) => format!("{} ({})", db.message(), db.code().code()),
        None => {
            use std::error::Error as _;
            e.source().map_or_else(|| e.to_string(), |source| format!("{e}: {source}"))
        }
    };
    let Some(code) = e.code() else {
        return if making_final { Error::InDoubt(text) } else { Error::Unavailable(text) };
    };
    match code {
        c if *c == SqlState::T_R_SERIALIZATION_FAILURE || *c == SqlState::T_R_DEADLOCK_DETECTED => {
            Error::Contended(text)
        }
        c if *c == SqlState::LOCK_NOT_AVAILABLE => Error::Contended(text),
        c if *c == SqlState::DISK_FULL => Error::Full(text),
        c if *c == SqlState::READ_ONLY_SQL_TRANSACTION => Error::ReadOnly(text),
        c if *c == SqlState::DATA_CORRUPTED || *c == SqlState::INDEX_CORRUPTED => Error::Corrupt(text),
        c if c.code().starts_with("42") || c.code().starts_with("22") => Error::Corrupt(text),
        _ if making_final => Error::InDoubt(text),
        _ => Error::Unavailable(text),
    }
}

struct Open<'a> {
    client: &'a ClientWrapper,
    most: Duration,
}

/// Values as the client binds them.
fn bound(args: &[Value]) -> Vec<&(dyn ToSql + Sync)> {
    args.iter()
        .map(|value| match value {
            Value::Int(n) => n as &(dyn ToSql + Sync),
            Value::Text(text) => text as &(dyn ToSql + Sync),
        })
        .collect()
}

fn late() -> Error {
    Error::Unavailable("no answer in time".into())
}

impl Tx for Open<'_> {
    async fn query(&mut self, sql: &'static str, args: Vec<Value>) -> Result<Vec<Row>, Error> {
        let work = async {
            let statement = self.client.prepare_cached(sql).await?;
            self.client.query(&statement, &bound(&args)).await
        };
        let rows = timeout(self.most, work).await.map_err(|_| late())?.map_err(|e| meaning(&e, false))?;
        let value = |row: &tokio_postgres::Row, k: usize| {
            row.try_get::<_, i64>(k)
                .map(Value::Int)
                .or_else(|_| row.try_get::<_, String>(k).map(Value::Text))
                .map_err(|e| Error::Corrupt(e.to_string()))
        };
        rows.iter()
            .map(|row| Ok(Row((0..row.len()).map(|k| value(row, k)).collect::<Result<_, _>>()?)))
            .collect()
    }

    async fn execute(&mut self, sql: &'static str, args: Vec<Value>) -> Result<u64, Error> {
        let work = async {
            let statement = self.client.prepare_cached(sql).await?;
            self.client.execute(&statement, &bound(&args)).await
        };
        timeout(self.most, work).await.map_err(|_| late())?.map_err(|e| meaning(&e, false))
    }
}

impl Postgres {
    /// Prepares connections; nothing is connected before it is needed.
    ///
    /// # Errors
    /// When the place can't be used.
    pub fn new(place: &RecordLocation) -> Result<Postgres, String> {
        let (config, _) = config(place)?;
        let manager = ManagerConfig { recycling_method: RecyclingMethod::Fast };
        let tls = place.ca.as_deref().map(tls).transpose()?;
        let manager = match tls.clone() {
            Some(tls) => Manager::from_config(config.clone(), tls, manager),
            None => Manager::from_config(config.clone(), NoTls, manager),
        };
        let pool = Pool::builder(manager)
            .max_size(place.connections)
            .wait_timeout(Some(place.connect_timeout))
            .create_timeout(Some(place.connect_timeout))
            .recycle_timeout(Some(place.connect_timeout))
            .runtime(deadpool_postgres::Runtime::Tokio1)
            .build()
            .map_err(|e| format!("record: {e}"))?;
        let changes = watch::Sender::new(0);
        let listener = tokio::spawn(listen(config, tls, place.connect_timeout, changes.clone()));
        Ok(Postgres { pool, statement: place.statement_timeout, changes, listener })
    }

    async fn connection(&self) -> Result<Object, Error> {
        self.pool.get().await.map_err(|e| match e {
            deadpool_postgres::PoolError::Backend(e) => match meaning(&e, false) {
                Error::Corrupt(text) => Error::Unavailable(text),
                other => other,
            },
            other => Error::Unavailable(other.to_string()),
        })
    }

    /// Does something in a transaction. One that is not ended in order leaves the pool with its connection.
    async fn transaction(&self, work: &Work) -> Result<Done, Error> {
        let client = self.connection().await?;
        let done = self.within(&client, work).await;
        if let Err(Error::Unavailable(_) | Error::InDoubt(_) | Error::Contended(_)) = &done {
            // Whatever it still holds open ends with it.
            drop(Object::take(client));
        }
        done
    }

    async fn within(&self, client: &Object, work: &Work) -> Result<Done, Error> {
        step(client, self.statement, "BEGIN ISOLATION LEVEL REPEATABLE READ", false).await?;
        let done = work.done(&mut Open { client, most: self.statement }).await;
        match done {
            Ok(done) => {
                step(client, self.statement, "COMMIT", true).await?;
                Ok(done)
            }
            Err(e @ (Error::Unavailable(_) | Error::InDoubt(_))) => Err(e),
            Err(e) => {
                step(client, self.statement, "ROLLBACK", false).await?;
                Err(e)
            }
        }
    }

    async fn again(&self, work: Work) -> Result<Done, Error> {
        let mut tries = 0;
        loop {
            tries += 1;
            match self.transaction(&work).await {
                Err(Error::Contended(_)) if tries < TRIES => {
                    tokio::time::sleep(Duration::from_millis(2 << tries)).await;
                }
                done => return done,
            }
        }
    }
}

/// What is done in one transaction.
enum Work {
    Op(Op),
    Migrate,
    Check,
}

/// What came of it.
enum Done {
    Op(Reply),
    Migrated(i64, i64),
    Checked(String),
}

impl Work {
    async fn done(&self, tx: &mut Open<'_>) -> Result<Done, Error> {
        match self {
            Work::Op(op) => {
                let reply = ops::apply(tx, op).await?;
                if op.notifies_others() {
                    step_in(tx, &format!("NOTIFY {CHANNEL}")).await?;
                }
                Ok(Done::Op(reply))
            }
            Work::Migrate => migrate(tx).await.map(|(found, now)| Done::Migrated(found, now)),
            Work::Check => {
                let ledger = tx.query(sql::SUM_LEDGER, vec![]).await?;
                let totals = tx.query(sql::SUM_TOTALS, vec![]).await?;
                let sum = |rows: &[Row]| match rows.first().and_then(|row| row.0.first()) {
                    Some(Value::Int(sum)) => Ok(*sum),
                    other => Err(Error::Corrupt(format!("no sum: {other:?}"))),
                };
                let (ledger, totals) = (sum(&ledger)?, sum(&totals)?);
                if ledger != totals {
                    return Err(Error::Corrupt(format!(
                        "the ledger has {ledger} thousandths, the totals {totals}"
                    )));
                }
                Ok(Done::Checked(format!("ledger and totals agree at {ledger} thousandths")))
            }
        }
    }
}

async fn migrate(tx: &mut Open<'_>) -> Result<(i64, i64), Error> {
    // Two agents that migrate at once do it once: the second one waits here, and finds it done.
    tx.query(MIGRATION_LOCK, vec![]).await?;
    step_in(tx, sql::VERSION_TABLE).await?;
    step_in(tx, sql::VERSION_FIRST).await?;
    let rows = tx.query(sql::VERSION_GET, vec![]).await?;
    let found = match rows.first().and_then(|row| row.0.first()) {
        Some(Value::Int(found)) => *found,
        _ => return Err(Error::Corrupt("no schema version".into())),
    };
    if found > sql::VERSION {
        return Err(Error::SchemaTooNew { found, known: sql::VERSION });
    }
    for version in sql::MIGRATIONS.iter().skip(usize::try_from(found).unwrap_or(usize::MAX)) {
        for statement in *version {
            step_in(tx, statement).await?;
        }
    }
    if found < sql::VERSION {
        tx.execute(sql::VERSION_SET, vec![Value::Int(sql::VERSION)]).await?;
    }
    Ok((found, sql::VERSION))
}

async fn step(client: &Object, most: Duration, text: &str, making_final: bool) -> Result<(), Error> {
    match timeout(most, client.batch_execute(text)).await {
        Ok(done) => done.map_err(|e| meaning(&e, making_final)),
        Err(_) if making_final => Err(Error::InDoubt("no answer in time".into())),
        Err(_) => Err(late()),
    }
}

/// Hears of changes for as long as the record lives. What is missed while it is not connected is found by looking.
async fn listen(config: Config, tls: Option<MakeRustlsConnect>, most: Duration, changes: watch::Sender<u64>) {
    let mut pause = Duration::from_millis(100);
    loop {
        let heard = match tls.clone() {
            Some(tls) => listen_once(&config, tls, most, &changes).await,
            None => listen_once(&config, NoTls, most, &changes).await,
        };
        if heard {
            pause = Duration::from_millis(100);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_secs(5));
    }
}

async fn listen_once<T>(config: &Config, tls: T, most: Duration, changes: &watch::Sender<u64>) -> bool
where
    T: tokio_postgres::tls::MakeTlsConnect<tokio_postgres::Socket> + 'static,
{
    let Ok(Ok((client, mut connection))) = timeout(most, config.connect(tls)).await else { return false };
    let text = format!("LISTEN {CHANNEL}");
    let ask = client.batch_execute(&text);
    tokio::pin!(ask);
    let mut asked = false;
    loop {
        tokio::select! {
            done = &mut ask, if !asked => {
                if done.is_err() {
                    return false;
                }
                asked = true;
                // What happened before it listened.
                changes.send_modify(|n| *n += 1);
            }
            message = futures::future::poll_fn(|cx| connection.poll_message(cx)) => match message {
                Some(Ok(AsyncMessage::Notification(_))) => changes.send_modify(|n| *n += 1),
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return asked,
            }
        }
    }
}

#[async_trait]
impl Backend for Postgres {
    async fn run(&self, op: Op) -> Result<Reply, Error> {
        match self.again(Work::Op(op)).await? {
            Done::Op(reply) => Ok(reply),
            _ => Ok(Reply::Done),
        }
    }

    async fn migrate(&self) -> Result<(i64, i64), Error> {
        match self.again(Work::Migrate).await? {
            Done::Migrated(found, now) => Ok((found, now)),
            _ => Ok((sql::VERSION, sql::VERSION)),
        }
    }

    async fn changed(&self, most: Duration) {
        let mut changes = self.changes.subscribe();
        let _ = timeout(most, changes.changed()).await;
    }

    fn kind(&self) -> &'static str {
        "postgres"
    }

    async fn check(&self) -> Result<String, Error> {
        match self.again(Work::Check).await? {
            Done::Checked(said) => Ok(said),
            _ => Ok(String::new()),
        }
    }

    async fn backup(&self, _: &Path) -> Result<(), Error> {
        Err(Error::Invalid(
            "backup: PostgreSQL has its own tools for that (pg_dump); this is for SQLite".into(),
        ))
    }
}

async fn step_in(tx: &mut Open<'_>, text: &str) -> Result<(), Error> {
    let done = timeout(tx.most, tx.client.batch_execute(text)).await.map_err(|_| late())?;
    done.map_err(|e| meaning(&e, false))
}
