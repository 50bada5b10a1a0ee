//! Stand-in for a PostgreSQL server: the v3 wire protocol (`pgwire`) over a database file that survives a
//! kill of the server. It supports login with SCRAM or md5, simple and extended queries, transactions, error
//! codes, LISTEN and NOTIFY. A front end, which parses protocol messages, injects faults on demand.
//!
//! SQLite runs the statements, so only SQL that both databases understand is supported. Parameters need casts
//! (`$1::BIGINT`, `$1::TEXT`), which give their types in both.

use async_trait::async_trait;
use pgwire::api::auth::md5pass::{Md5PasswordAuthStartupHandler, hash_md5_password};
use pgwire::api::auth::sasl::SASLAuthStartupHandler;
use pgwire::api::auth::sasl::scram::{ScramAuth, gen_salted_password};
use pgwire::api::auth::{AuthSource, DefaultServerParameterProvider, LoginInfo, Password, StartupHandler};
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::results::{
    DataRowEncoder, DescribePortalResponse, DescribeStatementResponse, FieldInfo, QueryResponse, Response,
    Tag,
};
use pgwire::api::stmt::{NoopQueryParser, StoredStatement};
use pgwire::api::{ClientInfo, PgWireServerHandlers, Type};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::tokio::server::process_socket_unix;
use rusqlite::types::{Value, ValueRef};
use rusqlite::{Connection, ErrorCode};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, UnixStream};
use tokio::sync::{broadcast, watch};
use tokio::task::JoinHandle;

/// Iterations of the SCRAM password hash.
const SCRAM_ITERATIONS: usize = 4096;

/// Authentication method of the clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Login {
    /// SCRAM-SHA-256.
    Scram,
    /// md5.
    Md5,
}

/// Creates a TLS acceptor for [`Postgres::start_at`] from a certificate and a PKCS #8 key, both in DER.
///
/// # Errors
/// When the certificate or the key is not valid.
pub fn tls_acceptor(cert: Vec<u8>, key: Vec<u8>) -> Result<tokio_rustls::TlsAcceptor, String> {
    use tokio_rustls::rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
    use tokio_rustls::rustls::{ServerConfig, crypto::ring};
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key));
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?
        .with_no_client_auth()
        .with_single_cert(vec![cert.into()], key)
        .map_err(|e| e.to_string())?;
    Ok(tokio_rustls::TlsAcceptor::from(Arc::new(config)))
}

/// Injected faults. Each may be changed at any time.
#[derive(Default)]
pub struct PostgresFaults {
    /// Delay of each statement of a client, in ms.
    pub slow_ms: AtomicU64,
    /// Whether the server hangs: messages of clients are no longer processed.
    pub hang: AtomicBool,
    /// Number of further client messages to process before the server hangs; negative: no limit.
    pub hang_after: AtomicI64,
    /// Number of further client messages to process before connections are cut; negative: no limit.
    pub cut_after: AtomicI64,
    /// Whether the next `COMMIT` is not run, and its connection is cut.
    pub die_before_commit: AtomicBool,
    /// Whether the next `COMMIT` is run, and its connection is cut before the response.
    pub die_after_commit: AtomicBool,
    /// Number of further transactions whose `COMMIT` fails with 40001.
    pub serialization_failures: AtomicI64,
    /// Whether only the first half of the next result row is sent, and its connection is cut.
    pub half_a_row: AtomicBool,
    /// Whether new connections are refused with 57P03.
    pub refuse: AtomicBool,
    /// Whether notifications are not delivered.
    pub deaf: AtomicBool,
}

struct Shared {
    file: PathBuf,
    faults: Arc<PostgresFaults>,
    notifications: broadcast::Sender<String>,
    statements: AtomicU64,
    password: String,
    login: Login,
}

/// A running server. It ends when dropped; its file stays.
pub struct Postgres {
    /// Address where it listens.
    pub at: SocketAddr,
    /// Injected faults.
    pub faults: Arc<PostgresFaults>,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for Postgres {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        self.task.abort();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Postgres {
    /// Starts a server at a free port of `ip`, with the database in `file`.
    ///
    /// # Errors
    /// When the listener cannot be bound or the file cannot be opened.
    pub async fn start(ip: IpAddr, file: &Path, password: &str, login: Login) -> Result<Postgres, String> {
        Postgres::start_at(SocketAddr::new(ip, 0), file, password, login, None).await
    }

    /// Starts a server at an address, with TLS if an acceptor is given.
    ///
    /// # Errors
    /// When the listener cannot be bound or the file cannot be opened.
    pub async fn start_at(
        at: SocketAddr,
        file: &Path,
        password: &str,
        login: Login,
        tls: Option<tokio_rustls::TlsAcceptor>,
    ) -> Result<Postgres, String> {
        let setup_connection = Connection::open(file).map_err(|e| format!("{}: {e}", file.display()))?;
        setup_connection
            .pragma_update(None, "journal_mode", "WAL")
            .map_err(|e| format!("{}: {e}", file.display()))?;
        setup_connection
            .execute_batch(
                "CREATE TABLE IF NOT EXISTS advisory_lock (id INTEGER PRIMARY KEY, n INTEGER); \
                 INSERT OR IGNORE INTO advisory_lock VALUES (1, 0)",
            )
            .map_err(|e| format!("{}: {e}", file.display()))?;
        drop(setup_connection);
        let listener = TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let faults = Arc::new(PostgresFaults::default());
        faults.hang_after.store(-1, Ordering::SeqCst);
        faults.cut_after.store(-1, Ordering::SeqCst);
        let shared = Arc::new(Shared {
            file: file.to_path_buf(),
            faults: faults.clone(),
            notifications: broadcast::Sender::new(256),
            statements: AtomicU64::new(0),
            password: password.to_string(),
            login,
        });
        let (stop, stopped) = watch::channel(false);
        let accept_shared = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (shared, mut stopped, tls) = (accept_shared.clone(), stopped.clone(), tls.clone());
                tokio::spawn(async move {
                    let served = async {
                        match tls {
                            Some(tls) => {
                                let mut stream = stream;
                                // SSLRequest: the length 8 and the request code.
                                let mut head = [0; 8];
                                stream.read_exact(&mut head).await.ok()?;
                                stream.write_all(b"S").await.ok()?;
                                let stream = tls.accept(stream).await.ok()?;
                                let (read, write) = tokio::io::split(stream);
                                serve_connection(shared, read, write).await;
                            }
                            None => {
                                let (read, write) = stream.into_split();
                                serve_connection(shared, read, write).await;
                            }
                        }
                        Some(())
                    };
                    tokio::select! {
                        _ = served => {}
                        _ = stopped.wait_for(|stop| *stop) => {}
                    }
                });
            }
        });
        Ok(Postgres { at, faults, shared, stop, task })
    }

    /// Returns the number of statements so far.
    #[must_use]
    pub fn statements(&self) -> u64 {
        self.shared.statements.load(Ordering::SeqCst)
    }

    /// Kills the server: all connections break at once. Returns when the port is free again. Committed data
    /// stays in the file.
    pub async fn kill(self) {
        self.stop.send_replace(true);
        self.task.abort();
        // Waits until the port is free.
        while tokio::net::TcpStream::connect(self.at).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

// ---- front end: injects faults at the level of protocol messages ----

/// Reads a message and returns its type byte and all its bytes. The first message of a connection has no type
/// byte; 0 is returned for it. `None`: the connection ended, or the length is invalid.
async fn read_message(read: &mut (impl AsyncRead + Unpin), first: bool) -> Option<(u8, Vec<u8>)> {
    let mut bytes = Vec::new();
    let kind = if first { 0 } else { read.read_u8().await.ok()? };
    if !first {
        bytes.push(kind);
    }
    let len = read.read_u32().await.ok()?;
    if !(4..=1 << 24).contains(&len) {
        return None;
    }
    bytes.extend_from_slice(&len.to_be_bytes());
    let at = bytes.len();
    bytes.resize(at + len as usize - 4, 0);
    read.read_exact(&mut bytes[at..]).await.ok()?;
    Some((kind, bytes))
}

/// Returns an ErrorResponse message of severity FATAL.
fn fatal_error(code: &str, text: &str) -> Vec<u8> {
    let mut body = Vec::new();
    for (field, value) in [(b'S', "FATAL"), (b'C', code), (b'M', text)] {
        body.push(field);
        body.extend_from_slice(value.as_bytes());
        body.push(0);
    }
    body.push(0);
    let mut out = vec![b'E'];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Counts down by one and returns whether the count was used up. A negative count is no limit.
fn count_down(remaining: &AtomicI64) -> bool {
    remaining.load(Ordering::SeqCst) >= 0 && remaining.fetch_sub(1, Ordering::SeqCst) <= 0
}

/// Serves one connection of a client: forwards messages to a backend of its own and back, and applies the
/// faults.
async fn serve_connection(
    shared: Arc<Shared>,
    mut read: impl AsyncRead + Unpin + Send,
    mut write: impl AsyncWrite + Unpin + Send,
) {
    let faults = shared.faults.clone();
    let Some((_, start)) = read_message(&mut read, true).await else { return };
    // Answers an SSLRequest with `N`, since this listener has no TLS.
    let start = if start.len() == 8 && start[4..] == 80_877_103u32.to_be_bytes() {
        if write.write_all(b"N").await.is_err() {
            return;
        }
        match read_message(&mut read, true).await {
            Some((_, start)) => start,
            None => return,
        }
    } else {
        start
    };
    if faults.refuse.load(Ordering::SeqCst) {
        let _ = write.write_all(&fatal_error("57P03", "the database system is starting up")).await;
        return;
    }
    let Ok((frontend_socket, backend_socket)) = UnixStream::pair() else { return };
    let session = Arc::new(Session::default());
    let handlers = Handlers::new(shared.clone(), session.clone());
    let Some(handlers) = handlers else { return };
    let server = tokio::spawn(async move { drop(process_socket_unix(backend_socket, handlers).await) });
    let (mut from_server, mut to_server) = frontend_socket.into_split();
    if to_server.write_all(&start).await.is_err() {
        return;
    }
    let mut notifications = shared.notifications.subscribe();
    let idle_timeout = idle_in_transaction_timeout(&start);
    let client_to_server = async {
        loop {
            let next = read_message(&mut read, false);
            let next = match idle_timeout.filter(|_| session.in_transaction.load(Ordering::SeqCst)) {
                // `idle_in_transaction_session_timeout`: the transaction of a silent client is rolled back,
                // which releases its locks.
                Some(timeout) => tokio::time::timeout(timeout, next).await.ok().flatten(),
                None => next.await,
            };
            let Some((kind, bytes)) = next else { return };
            let slow = faults.slow_ms.load(Ordering::SeqCst);
            // Only Query and Execute are delayed, so that a statement waits once and not for each of its
            // messages.
            if slow > 0 && (kind == b'Q' || kind == b'E') {
                tokio::time::sleep(Duration::from_millis(slow)).await;
            }
            if count_down(&faults.cut_after) {
                return;
            }
            if count_down(&faults.hang_after) {
                faults.hang.store(true, Ordering::SeqCst);
            }
            while faults.hang.load(Ordering::SeqCst) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            if session.is_broken.load(Ordering::SeqCst) || to_server.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    let server_to_client = async {
        loop {
            tokio::select! {
                biased;
                message = read_message(&mut from_server, false) => {
                    let Some((kind, bytes)) = message else { return };
                    if session.is_broken.load(Ordering::SeqCst) {
                        return;
                    }
                    if kind == b'D' && faults.half_a_row.swap(false, Ordering::SeqCst) {
                        let _ = write.write_all(&bytes[..bytes.len() / 2]).await;
                        return;
                    }
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                notification = notifications.recv() => {
                    let Ok(channel) = notification else { continue };
                    if !lock(&session.listened_channels).contains(&channel) || faults.deaf.load(Ordering::SeqCst) {
                        continue;
                    }
                    let mut body = 1u32.to_be_bytes().to_vec();
                    body.extend_from_slice(channel.as_bytes());
                    body.extend_from_slice(&[0, 0]);
                    let mut bytes = vec![b'A'];
                    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
                    bytes.extend(body);
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            }
        }
    };
    // `server_to_client` cancels a read when a notification arrives. No part of a message is lost by that:
    // the messages arrive whole, from a buffer in this process.
    tokio::select! {
        () = client_to_server => {}
        () = server_to_client => {}
    }
    server.abort();
    // Waits until the task is dropped, which rolls back its open transaction.
    let _ = server.await;
}

/// Returns the `idle_in_transaction_session_timeout` that the client's startup message sets, if it is over 0.
fn idle_in_transaction_timeout(start: &[u8]) -> Option<Duration> {
    let text = String::from_utf8_lossy(start);
    let (_, rest) = text.split_once("idle_in_transaction_session_timeout=")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().filter(|ms| *ms > 0).map(Duration::from_millis)
}

// ---- backend: runs the statements ----

/// State of one connection, shared by its front end and its backend.
#[derive(Default)]
struct Session {
    /// Channels that the connection listens on.
    listened_channels: Mutex<Vec<String>>,
    /// Channels to notify when the transaction commits.
    pending_notifications: Mutex<Vec<String>>,
    /// Whether the connection is to be cut.
    is_broken: AtomicBool,
    in_transaction: AtomicBool,
}

struct Backend {
    shared: Arc<Shared>,
    session: Arc<Session>,
    conn: Arc<Mutex<Connection>>,
    parser: Arc<NoopQueryParser>,
}

struct Handlers {
    backend: Arc<Backend>,
}

impl Handlers {
    fn new(shared: Arc<Shared>, session: Arc<Session>) -> Option<Handlers> {
        let conn = Connection::open(&shared.file).ok()?;
        conn.busy_timeout(Duration::from_millis(300)).ok()?;
        conn.pragma_update(None, "synchronous", "NORMAL").ok()?;
        let conn = Arc::new(Mutex::new(conn));
        let backend = Backend { shared, session, conn, parser: Arc::new(NoopQueryParser::new()) };
        Some(Handlers { backend: Arc::new(backend) })
    }
}

/// Translates a statement for SQLite: removes the casts and replaces `$1` by `?1`.
fn to_sqlite(text: &str) -> String {
    text.replace("::BIGINT", "").replace("::TEXT", "").replace('$', "?")
}

/// Returns the types of the parameters, from their casts.
fn parameter_types(text: &str) -> Vec<Type> {
    let mut types = Vec::new();
    for part in text.split('$').skip(1) {
        let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
        let Ok(number) = digits.parse::<usize>() else { continue };
        if types.len() < number {
            types.resize(number, Type::UNKNOWN);
        }
        let rest = &part[digits.len()..];
        if rest.starts_with("::BIGINT") {
            types[number - 1] = Type::INT8;
        } else if rest.starts_with("::TEXT") {
            types[number - 1] = Type::TEXT;
        }
    }
    types
}

fn sql_error(code: &str, text: &str) -> PgWireError {
    PgWireError::UserError(Box::new(ErrorInfo::new("ERROR".into(), code.into(), text.into())))
}

fn sql_error_from_sqlite(e: &rusqlite::Error) -> PgWireError {
    let code = match e {
        rusqlite::Error::SqliteFailure(f, _) => match f.code {
            // A transaction that does not get the lock in time fails like one in which PostgreSQL finds a
            // conflict.
            ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked => "40001",
            ErrorCode::ConstraintViolation => "23505",
            ErrorCode::DiskFull => "53100",
            ErrorCode::ReadOnly => "25006",
            _ => "42601",
        },
        _ => "42601",
    };
    sql_error(code, &e.to_string())
}

impl Backend {
    /// Returns the columns of a statement's result; none if it returns no rows.
    fn fields(&self, text: &str, format: &Format) -> PgWireResult<Vec<FieldInfo>> {
        if let Some(name) = text.trim_start().strip_prefix("SELECT pg_advisory_xact_lock") {
            let _ = name;
            return Ok(vec![FieldInfo::new("locked".into(), None, None, Type::TEXT, format.format_for(0))]);
        }
        let conn = lock(&self.conn);
        let statement = conn.prepare_cached(&to_sqlite(text)).map_err(|e| sql_error_from_sqlite(&e))?;
        let field = |(k, column): (usize, rusqlite::Column<'_>)| {
            let kind = match column.decl_type() {
                Some("TEXT") => Type::TEXT,
                _ => Type::INT8,
            };
            FieldInfo::new(column.name().to_string(), None, None, kind, format.format_for(k))
        };
        Ok(statement.columns().enumerate().map(field).collect())
    }

    /// Handles statements that SQLite does not know, and those with injected faults. `None`: the statement is
    /// none of these.
    fn run_special(&self, text: &str) -> Option<PgWireResult<Response>> {
        let text = text.trim().trim_end_matches(';');
        let upper = text.to_ascii_uppercase();
        let faults = &self.shared.faults;
        let run = |sql: &str| {
            let conn = lock(&self.conn);
            let result = conn.execute_batch(sql).map_err(|e| sql_error_from_sqlite(&e));
            self.session.in_transaction.store(!conn.is_autocommit(), Ordering::SeqCst);
            result
        };
        if upper.starts_with("BEGIN") {
            // A transaction sees the data committed at its first read. One that would overwrite a concurrent
            // change fails with 40001.
            lock(&self.session.pending_notifications).clear();
            return Some(run("BEGIN").map(|()| Response::TransactionStart(Tag::new("BEGIN"))));
        }
        if upper == "COMMIT" {
            if faults.die_before_commit.swap(false, Ordering::SeqCst) {
                self.session.is_broken.store(true, Ordering::SeqCst);
                let _ = run("ROLLBACK");
                return Some(Err(sql_error("57P01", "terminating connection")));
            }
            if faults.serialization_failures.load(Ordering::SeqCst) > 0 {
                faults.serialization_failures.fetch_sub(1, Ordering::SeqCst);
                let _ = run("ROLLBACK");
                return Some(Err(sql_error("40001", "could not serialize access due to concurrent update")));
            }
            let result = run("COMMIT");
            if result.is_ok() {
                for channel in lock(&self.session.pending_notifications).drain(..) {
                    let _ = self.shared.notifications.send(channel);
                }
            }
            if faults.die_after_commit.swap(false, Ordering::SeqCst) {
                self.session.is_broken.store(true, Ordering::SeqCst);
            }
            return Some(result.map(|()| Response::TransactionEnd(Tag::new("COMMIT"))));
        }
        if upper == "ROLLBACK" {
            let conn = lock(&self.conn);
            if !conn.is_autocommit() {
                let _ = conn.execute_batch("ROLLBACK");
            }
            self.session.in_transaction.store(false, Ordering::SeqCst);
            return Some(Ok(Response::TransactionEnd(Tag::new("ROLLBACK"))));
        }
        if let Some(channel) = upper.strip_prefix("LISTEN ") {
            lock(&self.session.listened_channels).push(channel.to_ascii_lowercase());
            return Some(Ok(Response::Execution(Tag::new("LISTEN"))));
        }
        if let Some(channel) = upper.strip_prefix("NOTIFY ") {
            let channel = channel.to_ascii_lowercase();
            if lock(&self.conn).is_autocommit() {
                let _ = self.shared.notifications.send(channel);
            } else {
                lock(&self.session.pending_notifications).push(channel);
            }
            return Some(Ok(Response::Execution(Tag::new("NOTIFY"))));
        }
        if upper.starts_with("SET ") || upper.starts_with("DISCARD") {
            return Some(Ok(Response::Execution(Tag::new("SET"))));
        }
        None
    }

    /// Runs a statement and returns its response.
    fn run(&self, text: &str, args: Vec<Value>, format: &Format) -> PgWireResult<Response> {
        self.shared.statements.fetch_add(1, Ordering::SeqCst);
        if let Some(response) = self.run_special(text) {
            return response;
        }
        let fields = Arc::new(self.fields(text, format)?);
        let mut encoder = DataRowEncoder::new(fields.clone());
        if text.trim_start().starts_with("SELECT pg_advisory_xact_lock") {
            lock(&self.conn)
                .execute_batch("UPDATE advisory_lock SET n = n + 1")
                .map_err(|e| sql_error_from_sqlite(&e))?;
            encoder.encode_field(&"")?;
            let rows = vec![Ok(encoder.take_row())];
            return Ok(Response::Query(QueryResponse::new(fields, futures::stream::iter(rows))));
        }
        let conn = lock(&self.conn);
        let mut statement = conn.prepare_cached(&to_sqlite(text)).map_err(|e| sql_error_from_sqlite(&e))?;
        if fields.is_empty() {
            let n =
                statement.execute(rusqlite::params_from_iter(args)).map_err(|e| sql_error_from_sqlite(&e))?;
            let verb = text.split_whitespace().next().unwrap_or("OK").to_ascii_uppercase();
            let tag = Tag::new(&verb);
            let tag = if verb == "INSERT" { tag.with_oid(0).with_rows(n) } else { tag.with_rows(n) };
            return Ok(Response::Execution(tag));
        }
        let mut encoded_rows = Vec::new();
        let mut rows =
            statement.query(rusqlite::params_from_iter(args)).map_err(|e| sql_error_from_sqlite(&e))?;
        while let Some(row) = rows.next().map_err(|e| sql_error_from_sqlite(&e))? {
            for (k, field) in fields.iter().enumerate() {
                match row.get_ref(k).map_err(|e| sql_error_from_sqlite(&e))? {
                    ValueRef::Integer(n) if *field.datatype() == Type::INT8 => encoder.encode_field(&n)?,
                    ValueRef::Integer(n) => encoder.encode_field(&n.to_string())?,
                    ValueRef::Text(text) => encoder.encode_field(&String::from_utf8_lossy(text).as_ref())?,
                    _ => encoder.encode_field(&None::<i64>)?,
                }
            }
            encoded_rows.push(Ok(encoder.take_row()));
        }
        Ok(Response::Query(QueryResponse::new(fields, futures::stream::iter(encoded_rows))))
    }
}

#[async_trait]
impl SimpleQueryHandler for Backend {
    async fn do_query<C>(&self, _: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        Ok(vec![self.run(query, Vec::new(), &Format::UnifiedText)?])
    }
}

#[async_trait]
impl ExtendedQueryHandler for Backend {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<NoopQueryParser> {
        self.parser.clone()
    }

    async fn do_query<C>(&self, _: &mut C, portal: &Portal<String>, _: usize) -> PgWireResult<Response>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let text = &portal.statement.statement;
        let mut args = Vec::new();
        for (k, kind) in parameter_types(text).iter().enumerate() {
            let missing = || sql_error("42P02", &format!("there is no parameter ${}", k + 1));
            args.push(match *kind {
                Type::INT8 => Value::Integer(portal.parameter::<i64>(k, &Type::INT8)?.ok_or_else(missing)?),
                _ => Value::Text(portal.parameter::<String>(k, &Type::TEXT)?.ok_or_else(missing)?),
            });
        }
        self.run(text, args, &portal.result_column_format)
    }

    async fn do_describe_statement<C>(
        &self,
        _: &mut C,
        statement: &StoredStatement<String>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let text = &statement.statement;
        Ok(DescribeStatementResponse::new(parameter_types(text), self.fields(text, &Format::UnifiedBinary)?))
    }

    async fn do_describe_portal<C>(
        &self,
        _: &mut C,
        portal: &Portal<String>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let fields = self.fields(&portal.statement.statement, &portal.result_column_format)?;
        Ok(DescribePortalResponse::new(fields))
    }
}

/// The password source of the login handlers.
struct Passwords {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Passwords {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Passwords")
    }
}

#[async_trait]
impl AuthSource for Passwords {
    async fn get_password(&self, login: &LoginInfo) -> PgWireResult<Password> {
        let password = &self.shared.password;
        match self.shared.login {
            Login::Scram => {
                let salt = vec![7; 16];
                let hash = gen_salted_password(password, &salt, SCRAM_ITERATIONS);
                Ok(Password::new(Some(salt), hash))
            }
            Login::Md5 => {
                let salt = vec![1, 2, 3, 4];
                let hash = hash_md5_password(login.user().unwrap_or_default(), password, &salt);
                Ok(Password::new(Some(salt), hash.as_bytes().to_vec()))
            }
        }
    }
}

/// Startup handler for either authentication method.
enum Startup {
    Scram(SASLAuthStartupHandler<DefaultServerParameterProvider>),
    Md5(Md5PasswordAuthStartupHandler<Passwords, DefaultServerParameterProvider>),
}

#[async_trait]
impl StartupHandler for Startup {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: pgwire::messages::PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + futures::Sink<pgwire::messages::PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: std::fmt::Debug,
        PgWireError: From<<C as futures::Sink<pgwire::messages::PgWireBackendMessage>>::Error>,
    {
        match self {
            Startup::Scram(handler) => handler.on_startup(client, message).await,
            Startup::Md5(handler) => handler.on_startup(client, message).await,
        }
    }
}

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.backend.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.backend.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        let shared = self.backend.shared.clone();
        let provider = Arc::new(DefaultServerParameterProvider::default());
        let passwords = Arc::new(Passwords { shared: shared.clone() });
        Arc::new(match shared.login {
            Login::Scram => {
                let mut scram = ScramAuth::new(passwords);
                scram.set_iterations(SCRAM_ITERATIONS);
                Startup::Scram(SASLAuthStartupHandler::new(provider).with_scram(scram))
            }
            Login::Md5 => Startup::Md5(Md5PasswordAuthStartupHandler::new(passwords, provider)),
        })
    }
}
