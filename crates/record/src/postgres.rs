//! The PostgreSQL backend, for a fleet. Each statement has a time limit, at the client and at the server; a
//! connection on which a statement timed out is discarded. Transactions that the server aborts because of a
//! concurrent one are retried. A transaction that may have been committed is reported as in doubt, and all
//! operations are safe to repeat.

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

/// The channel on which changes are notified.
const CHANNEL: &str = "frostvale";
/// Takes the advisory lock under which the schema is migrated.
const MIGRATION_LOCK: &str = "SELECT pg_advisory_xact_lock(727574)::TEXT AS locked";
/// The maximum number of attempts of a transaction that collides with others.
const MAX_ATTEMPTS: u32 = 8;

/// A record on a PostgreSQL server.
pub struct Postgres {
    pool: Pool,
    statement_timeout: Duration,
    changes: watch::Sender<u64>,
    listener: tokio::task::JoinHandle<()>,
}

impl Drop for Postgres {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

/// Converts a location to the client's configuration; also returns whether all hosts are on loopback.
///
/// # Errors
/// Names the field and the values that it accepts.
pub(crate) fn config(location: &RecordLocation) -> Result<(Config, bool), String> {
    let mut config: Config = location.url.parse().map_err(|_| {
        // The URL may contain a secret, so it is not shown.
        "record.url: must be sqlite:PATH or postgres://USER@HOST:PORT/DATABASE".to_string()
    })?;
    if !location.url.starts_with("postgres://") && !location.url.starts_with("postgresql://") {
        return Err("record.url: must be sqlite:PATH or postgres://USER@HOST:PORT/DATABASE".into());
    }
    if config.get_password().is_some() {
        return Err("record.url: must not contain a password; use record.password_file".into());
    }
    let is_local = |host: &Host| match host {
        Host::Unix(_) => true,
        Host::Tcp(name) => name == "localhost" || name.parse().is_ok_and(|ip: IpAddr| ip.is_loopback()),
    };
    let is_loopback = !config.get_hosts().is_empty() && config.get_hosts().iter().all(is_local);
    if config.get_hosts().is_empty() {
        return Err("record.url: must name a host".into());
    }
    if !is_loopback && location.ca.is_none() {
        return Err("record.ca: required unless the server is on loopback".into());
    }
    let range = Duration::from_millis(10)..=Duration::from_secs(600);
    if !range.contains(&location.connect_timeout) || !range.contains(&location.statement_timeout) {
        return Err("record.connect_ms, record.statement_ms: must be 10 to 600000".into());
    }
    if !(1..=100).contains(&location.connections) {
        return Err("record.connections: must be 1 to 100".into());
    }
    if let Some(file) = &location.password_file {
        let text = std::fs::read_to_string(file)
            .map_err(|e| format!("record.password_file: cannot read {}: {e}", file.display()))?;
        config.password(text.trim_end_matches(['\r', '\n']));
    }
    // An agent that is suspended in the middle of a transaction keeps its row locks and blocks the next owner
    // of the duty: the server therefore aborts a transaction that is idle for as long as a statement may
    // take.
    let timeout_ms = location.statement_timeout.as_millis();
    config.connect_timeout(location.connect_timeout).application_name("frostvale").options(format!(
        "-c statement_timeout={timeout_ms} -c lock_timeout={timeout_ms} \
             -c idle_in_transaction_session_timeout={timeout_ms}"
    ));
    if location.ca.is_some() {
        config.ssl_mode(tokio_postgres::config::SslMode::Require);
    }
    Ok((config, is_loopback))
}

/// A TLS connector that trusts only the certificates in the file `ca`.
fn tls(ca: &Path) -> Result<MakeRustlsConnect, String> {
    let mut roots = rustls::RootCertStore::empty();
    let certificates =
        CertificateDer::pem_file_iter(ca).map_err(|e| format!("record.ca: {}: {e}", ca.display()))?;
    for cert in certificates {
        let cert = cert.map_err(|e| format!("record.ca: {}: {e}", ca.display()))?;
        roots.add(cert).map_err(|e| format!("record.ca: {}: {e}", ca.display()))?;
    }
    if roots.is_empty() {
        return Err(format!("record.ca: {}: contains no certificate", ca.display()));
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| format!("record.ca: {e}"))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(MakeRustlsConnect::new(client))
}

/// Translates an error of PostgreSQL to an error of the record. `during_commit`: the `COMMIT` had been sent.
fn translate_error(e: &tokio_postgres::Error, during_commit: bool) -> Error {
    let text = match e.as_db_error() {
        Some(db) => format!("{} ({})", db.message(), db.code().code()),
        None => {
            use std::error::Error as _;
            e.source().map_or_else(|| e.to_string(), |source| format!("{e}: {source}"))
        }
    };
    let Some(code) = e.code() else {
        return if during_commit { Error::InDoubt(text) } else { Error::Unavailable(text) };
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
        _ if during_commit => Error::InDoubt(text),
        _ => Error::Unavailable(text),
    }
}

/// An open transaction.
struct OpenTransaction<'a> {
    client: &'a ClientWrapper,
    timeout: Duration,
}

/// Parameters as the client binds them.
fn bound(args: &[Value]) -> Vec<&(dyn ToSql + Sync)> {
    args.iter()
        .map(|value| match value {
            Value::Int(n) => n as &(dyn ToSql + Sync),
            Value::Text(text) => text as &(dyn ToSql + Sync),
        })
        .collect()
}

/// The error for a statement that timed out outside of a commit.
fn timed_out() -> Error {
    Error::Unavailable("no answer in time".into())
}

impl Tx for OpenTransaction<'_> {
    async fn query(&mut self, sql: &'static str, args: Vec<Value>) -> Result<Vec<Row>, Error> {
        let work = async {
            let statement = self.client.prepare_cached(sql).await?;
            self.client.query(&statement, &bound(&args)).await
        };
        let rows = timeout(self.timeout, work)
            .await
            .map_err(|_| timed_out())?
            .map_err(|e| translate_error(&e, false))?;
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
        timeout(self.timeout, work).await.map_err(|_| timed_out())?.map_err(|e| translate_error(&e, false))
    }
}

impl Postgres {
    /// Prepares the connection pool and starts the listener; connections of the pool are opened when needed.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(location: &RecordLocation) -> Result<Postgres, String> {
        let (config, _) = config(location)?;
        let manager = ManagerConfig { recycling_method: RecyclingMethod::Fast };
        let tls = location.ca.as_deref().map(tls).transpose()?;
        let manager = match tls.clone() {
            Some(tls) => Manager::from_config(config.clone(), tls, manager),
            None => Manager::from_config(config.clone(), NoTls, manager),
        };
        let pool = Pool::builder(manager)
            .max_size(location.connections)
            .wait_timeout(Some(location.connect_timeout))
            .create_timeout(Some(location.connect_timeout))
            .recycle_timeout(Some(location.connect_timeout))
            .runtime(deadpool_postgres::Runtime::Tokio1)
            .build()
            .map_err(|e| format!("record: cannot build the connection pool: {e}"))?;
        let changes = watch::Sender::new(0);
        let listener = tokio::spawn(listen(config, tls, location.connect_timeout, changes.clone()));
        Ok(Postgres { pool, statement_timeout: location.statement_timeout, changes, listener })
    }

    /// Takes a connection from the pool.
    async fn connection(&self) -> Result<Object, Error> {
        self.pool.get().await.map_err(|e| match e {
            deadpool_postgres::PoolError::Backend(e) => match translate_error(&e, false) {
                Error::Corrupt(text) => Error::Unavailable(text),
                other => other,
            },
            other => Error::Unavailable(other.to_string()),
        })
    }

    /// Runs `work` in a transaction. A connection whose transaction did not end properly is removed from the
    /// pool.
    async fn transaction(&self, work: &Work) -> Result<Done, Error> {
        let client = self.connection().await?;
        let done = self.run_transaction(&client, work).await;
        if let Err(Error::Unavailable(_) | Error::InDoubt(_) | Error::Contended(_)) = &done {
            // Closing the connection ends a transaction that is still open on it.
            drop(Object::take(client));
        }
        done
    }

    /// Runs `work` between `BEGIN` and `COMMIT` or `ROLLBACK`.
    async fn run_transaction(&self, client: &Object, work: &Work) -> Result<Done, Error> {
        execute_on(client, self.statement_timeout, "BEGIN ISOLATION LEVEL REPEATABLE READ", false).await?;
        let done = work.run(&mut OpenTransaction { client, timeout: self.statement_timeout }).await;
        match done {
            Ok(done) => {
                execute_on(client, self.statement_timeout, "COMMIT", true).await?;
                Ok(done)
            }
            Err(e @ (Error::Unavailable(_) | Error::InDoubt(_))) => Err(e),
            Err(e) => {
                execute_on(client, self.statement_timeout, "ROLLBACK", false).await?;
                Err(e)
            }
        }
    }

    /// Runs `work` and retries it with a growing pause while it collides with other transactions.
    async fn run_with_retries(&self, work: Work) -> Result<Done, Error> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.transaction(&work).await {
                Err(Error::Contended(_)) if attempts < MAX_ATTEMPTS => {
                    tokio::time::sleep(Duration::from_millis(2 << attempts)).await;
                }
                done => return done,
            }
        }
    }
}

/// The work of one transaction.
enum Work {
    Op(Op),
    Migrate,
    Check,
}

/// The result of [`Work`].
enum Done {
    Op(Reply),
    Migrated(i64, i64),
    Checked(String),
}

impl Work {
    async fn run(&self, tx: &mut OpenTransaction<'_>) -> Result<Done, Error> {
        match self {
            Work::Op(op) => {
                let reply = ops::apply(tx, op).await?;
                if op.notifies_others() {
                    execute_in(tx, &format!("NOTIFY {CHANNEL}")).await?;
                }
                Ok(Done::Op(reply))
            }
            Work::Migrate => migrate(tx).await.map(|(found, now)| Done::Migrated(found, now)),
            Work::Check => {
                let ledger = tx.query(sql::SUM_LEDGER, vec![]).await?;
                let totals = tx.query(sql::SUM_TOTALS, vec![]).await?;
                let sum = |rows: &[Row]| match rows.first().and_then(|row| row.0.first()) {
                    Some(Value::Int(sum)) => Ok(*sum),
                    other => Err(Error::Corrupt(format!("the sum is missing: {other:?}"))),
                };
                let (ledger, totals) = (sum(&ledger)?, sum(&totals)?);
                if ledger != totals {
                    return Err(Error::Corrupt(format!(
                        "the ledger has {ledger} thousandths, the totals have {totals}"
                    )));
                }
                Ok(Done::Checked(format!("ledger and totals agree at {ledger} thousandths")))
            }
        }
    }
}

/// Brings the schema to the newest version; returns the version found and the version it has now.
async fn migrate(tx: &mut OpenTransaction<'_>) -> Result<(i64, i64), Error> {
    // Two agents that migrate concurrently do it once: the second one waits here and then finds the new
    // version.
    tx.query(MIGRATION_LOCK, vec![]).await?;
    execute_in(tx, sql::VERSION_TABLE).await?;
    execute_in(tx, sql::VERSION_FIRST).await?;
    let rows = tx.query(sql::VERSION_GET, vec![]).await?;
    let found = match rows.first().and_then(|row| row.0.first()) {
        Some(Value::Int(found)) => *found,
        _ => return Err(Error::Corrupt("the schema version is missing".into())),
    };
    if found > sql::VERSION {
        return Err(Error::SchemaTooNew { found, known: sql::VERSION });
    }
    for version in sql::MIGRATIONS.iter().skip(usize::try_from(found).unwrap_or(usize::MAX)) {
        for statement in *version {
            execute_in(tx, statement).await?;
        }
    }
    if found < sql::VERSION {
        tx.execute(sql::VERSION_SET, vec![Value::Int(sql::VERSION)]).await?;
    }
    Ok((found, sql::VERSION))
}

/// Runs a statement without parameters on a connection.
async fn execute_on(
    client: &Object,
    time_limit: Duration,
    text: &str,
    during_commit: bool,
) -> Result<(), Error> {
    match timeout(time_limit, client.batch_execute(text)).await {
        Ok(done) => done.map_err(|e| translate_error(&e, during_commit)),
        Err(_) if during_commit => Err(Error::InDoubt("no answer in time".into())),
        Err(_) => Err(timed_out()),
    }
}

/// Signals notified changes for as long as the record is open. Changes that are missed while it is not
/// connected are found by reading the record.
async fn listen(
    config: Config,
    tls: Option<MakeRustlsConnect>,
    connect_timeout: Duration,
    changes: watch::Sender<u64>,
) {
    let mut pause = Duration::from_millis(100);
    loop {
        let was_listening = match tls.clone() {
            Some(tls) => listen_once(&config, tls, connect_timeout, &changes).await,
            None => listen_once(&config, NoTls, connect_timeout, &changes).await,
        };
        if was_listening {
            pause = Duration::from_millis(100);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_secs(5));
    }
}

/// Connects and listens until the connection ends; returns whether it was listening.
async fn listen_once<T>(
    config: &Config,
    tls: T,
    connect_timeout: Duration,
    changes: &watch::Sender<u64>,
) -> bool
where
    T: tokio_postgres::tls::MakeTlsConnect<tokio_postgres::Socket> + 'static,
{
    let Ok(Ok((client, mut connection))) = timeout(connect_timeout, config.connect(tls)).await else {
        return false;
    };
    let text = format!("LISTEN {CHANNEL}");
    let listen = client.batch_execute(&text);
    tokio::pin!(listen);
    let mut is_listening = false;
    loop {
        tokio::select! {
            done = &mut listen, if !is_listening => {
                if done.is_err() {
                    return false;
                }
                is_listening = true;
                // Changes may have been made before it was listening.
                changes.send_modify(|n| *n += 1);
            }
            message = futures::future::poll_fn(|cx| connection.poll_message(cx)) => match message {
                Some(Ok(AsyncMessage::Notification(_))) => changes.send_modify(|n| *n += 1),
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return is_listening,
            }
        }
    }
}

#[async_trait]
impl Backend for Postgres {
    async fn run(&self, op: Op) -> Result<Reply, Error> {
        match self.run_with_retries(Work::Op(op)).await? {
            Done::Op(reply) => Ok(reply),
            _ => Ok(Reply::Done),
        }
    }

    async fn migrate(&self) -> Result<(i64, i64), Error> {
        match self.run_with_retries(Work::Migrate).await? {
            Done::Migrated(found, now) => Ok((found, now)),
            _ => Ok((sql::VERSION, sql::VERSION)),
        }
    }

    async fn changed(&self, max_wait: Duration) {
        let mut changes = self.changes.subscribe();
        let _ = timeout(max_wait, changes.changed()).await;
    }

    fn kind(&self) -> &'static str {
        "postgres"
    }

    async fn check(&self) -> Result<String, Error> {
        match self.run_with_retries(Work::Check).await? {
            Done::Checked(result) => Ok(result),
            _ => Ok(String::new()),
        }
    }

    async fn backup(&self, _: &Path) -> Result<(), Error> {
        Err(Error::Invalid("backup: only SQLite is supported; use PostgreSQL's own tools (pg_dump)".into()))
    }
}

/// Runs a statement without parameters in a transaction.
async fn execute_in(tx: &mut OpenTransaction<'_>, text: &str) -> Result<(), Error> {
    let done = timeout(tx.timeout, tx.client.batch_execute(text)).await.map_err(|_| timed_out())?;
    done.map_err(|e| translate_error(&e, false))
}
