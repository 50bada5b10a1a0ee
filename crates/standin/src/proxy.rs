//! A fault-injecting proxy for TCP and Unix sockets. It forwards connections; on demand it holds, delays or
//! drops data, cuts connections at once or after a number of bytes, or answers with garbage.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the proxy does with its connections. Upstream is the direction toward the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards data in both directions.
    Forward,
    /// Accepts and keeps connections, but forwards nothing in either direction.
    Hold,
    /// Holds data upstream, and forwards it downstream.
    HoldUpstream,
    /// Holds data downstream, and forwards it upstream.
    HoldDownstream,
    /// Delays data: waits this many ms before each read, in either direction.
    Delay(u64),
    /// Drops every n-th read of upstream data.
    DropOneIn(u64),
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Answers whatever it receives on new connections with meaningless bytes, and closes open ones.
    Garbage,
}

struct Shared {
    mode: watch::Sender<ProxyMode>,
    /// Bytes upstream that remain until all connections are cut; negative: no limit.
    cut_after: AtomicI64,
    forwarded: AtomicU64,
    connections: AtomicU64,
}

/// A running proxy. It ends, and cuts its connections, when dropped.
pub struct Proxy {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
    at: Option<SocketAddr>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.mode.send_replace(ProxyMode::Cut);
    }
}

impl Proxy {
    fn shared() -> Arc<Shared> {
        Arc::new(Shared {
            mode: watch::Sender::new(ProxyMode::Forward),
            cut_after: AtomicI64::new(-1),
            forwarded: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        })
    }

    /// Starts a proxy in front of a TCP address, at a free port of `ip`; also returns its address.
    ///
    /// # Errors
    /// When the listener cannot be bound.
    pub async fn tcp(ip: IpAddr, target_address: SocketAddr) -> std::io::Result<(Proxy, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let shared = Proxy::shared();
        let accept_shared = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let _ = client.set_nodelay(true);
                let shared = accept_shared.clone();
                tokio::spawn(async move {
                    let (read, write) = client.into_split();
                    forward(shared, read, write, || async move {
                        let target = TcpStream::connect(target_address).await.ok()?;
                        let _ = target.set_nodelay(true);
                        Some(target.into_split())
                    })
                    .await;
                });
            }
        });
        Ok((Proxy { shared, task, at: Some(at) }, at))
    }

    /// Starts a proxy in front of a Unix socket, at the path `at`.
    ///
    /// # Errors
    /// When the listener cannot be bound.
    pub fn unix(at: &Path, target_path: PathBuf) -> std::io::Result<Proxy> {
        let listener = UnixListener::bind(at)?;
        let shared = Proxy::shared();
        let accept_shared = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (shared, target_path) = (accept_shared.clone(), target_path.clone());
                tokio::spawn(async move {
                    let (read, write) = client.into_split();
                    forward(shared, read, write, || async move {
                        Some(UnixStream::connect(target_path).await.ok()?.into_split())
                    })
                    .await;
                });
            }
        });
        Ok(Proxy { shared, task, at: None })
    }

    /// Returns the address where the proxy listens, as text for a settings file; empty for a Unix socket.
    #[must_use]
    pub fn address(&self) -> String {
        self.at.map_or(String::new(), |at| at.to_string())
    }

    /// Sets the mode for open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.shared.mode.send_replace(mode);
    }

    /// Cuts all connections once this many more bytes were forwarded upstream.
    pub fn cut_after(&self, bytes: i64) {
        self.shared.cut_after.store(bytes, Ordering::SeqCst);
    }

    /// Returns the bytes forwarded upstream so far.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.forwarded.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

/// Serves one accepted connection according to the mode until either side closes or the connection is cut.
async fn forward<R, W, F, G, H>(shared: Arc<Shared>, mut client_read: R, mut client_write: W, connect: F)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
    F: FnOnce() -> G,
    G: Future<Output = Option<(H, <H as ReadHalf>::Write)>>,
    H: ReadHalf,
{
    shared.connections.fetch_add(1, Ordering::SeqCst);
    let mut mode = shared.mode.subscribe();
    if *mode.borrow() == ProxyMode::Garbage {
        let mut bytes = [0; 4096];
        while let Ok(n) = client_read.read(&mut bytes).await {
            if n == 0 || client_write.write_all(&[0xff; 64]).await.is_err() {
                return;
            }
        }
        return;
    }
    if *mode.borrow() == ProxyMode::Cut {
        return;
    }
    let Some((mut target_read, mut target_write)) = connect().await else { return };
    let (mut upstream, mut downstream) = ([0; 16 * 1024], [0; 16 * 1024]);
    let mut reads = 0_u64;
    loop {
        let current_mode = *mode.borrow_and_update();
        match current_mode {
            ProxyMode::Cut | ProxyMode::Garbage => return,
            ProxyMode::Hold => {
                if mode.changed().await.is_err() {
                    return;
                }
                continue;
            }
            ProxyMode::Delay(ms) => tokio::time::sleep(std::time::Duration::from_millis(ms)).await,
            ProxyMode::Forward
            | ProxyMode::HoldUpstream
            | ProxyMode::HoldDownstream
            | ProxyMode::DropOneIn(_) => {}
        }
        tokio::select! {
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            n = client_read.read(&mut upstream), if current_mode != ProxyMode::HoldUpstream => {
                let Ok(n) = n else { return };
                reads += 1;
                if let ProxyMode::DropOneIn(one_in) = current_mode && n > 0 && reads.is_multiple_of(one_in.max(1)) {
                    continue;
                }
                let remaining = shared.cut_after.load(Ordering::SeqCst);
                let count = if remaining >= 0 { n.min(usize::try_from(remaining).unwrap_or(0)) } else { n };
                if target_write.write_all(&upstream[..count]).await.is_err() {
                    return;
                }
                shared.forwarded.fetch_add(count as u64, Ordering::SeqCst);
                if remaining >= 0 {
                    shared.cut_after.store(remaining - count as i64, Ordering::SeqCst);
                    if count < n || remaining == count as i64 {
                        shared.cut_after.store(-1, Ordering::SeqCst);
                        shared.mode.send_replace(ProxyMode::Cut);
                        return;
                    }
                }
                if n == 0 {
                    return;
                }
            }
            n = target_read.read(&mut downstream), if current_mode != ProxyMode::HoldDownstream => {
                let Ok(n) = n else { return };
                if n == 0 || client_write.write_all(&downstream[..n]).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// The read half of a connection, with the type of its write half.
pub trait ReadHalf: AsyncRead + Unpin {
    /// The write half.
    type Write: AsyncWrite + Unpin;
}

impl ReadHalf for tokio::net::tcp::OwnedReadHalf {
    type Write = tokio::net::tcp::OwnedWriteHalf;
}

impl ReadHalf for tokio::net::unix::OwnedReadHalf {
    type Write = tokio::net::unix::OwnedWriteHalf;
}
