//! A way that can be cut: it forwards connections, and on demand holds what passes, cuts all, cuts after so many
//! bytes, or answers noise. For TCP and for Unix sockets.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the way does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// It forwards.
    Forward,
    /// Connections come up and stay, and nothing passes in either direction.
    Hold,
    /// What is on its way toward the far end is held, and answers pass.
    HoldUpstream,
    /// Answers are held, and what is on its way toward the far end passes.
    HoldDownstream,
    /// Whatever passes takes so many ms more in each direction, a part at a time.
    Delay(u64),
    /// One part in so many that pass toward the far end is lost.
    DropOneIn(u64),
    /// Open connections are cut, new ones are cut at once.
    Cut,
    /// It answers what comes with bytes that mean nothing.
    Garbage,
}

struct Shared {
    way: watch::Sender<ProxyMode>,
    /// Bytes toward the far end after which all is cut; below 0 is without end.
    fuse: AtomicI64,
    passed: AtomicU64,
    came: AtomicU64,
}

/// A running gate. Ends when dropped.
pub struct Proxy {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
    at: Option<SocketAddr>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.way.send_replace(ProxyMode::Cut);
    }
}

impl Proxy {
    fn shared() -> Arc<Shared> {
        Arc::new(Shared {
            way: watch::Sender::new(ProxyMode::Forward),
            fuse: AtomicI64::new(-1),
            passed: AtomicU64::new(0),
            came: AtomicU64::new(0),
        })
    }

    /// Before a TCP address.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn tcp(ip: IpAddr, to: SocketAddr) -> std::io::Result<(Proxy, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let shared = Proxy::shared();
        let own = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let _ = near.set_nodelay(true);
                let shared = own.clone();
                tokio::spawn(async move {
                    let (read, write) = near.into_split();
                    pass(shared, read, write, || async move {
                        let far = TcpStream::connect(to).await.ok()?;
                        let _ = far.set_nodelay(true);
                        Some(far.into_split())
                    })
                    .await;
                });
            }
        });
        Ok((Proxy { shared, task, at: Some(at) }, at))
    }

    /// Before a Unix socket, at another path.
    ///
    /// # Errors
    /// When it can't listen.
    pub fn unix(at: &Path, to: PathBuf) -> std::io::Result<Proxy> {
        let listener = UnixListener::bind(at)?;
        let shared = Proxy::shared();
        let own = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let (shared, to) = (own.clone(), to.clone());
                tokio::spawn(async move {
                    let (read, write) = near.into_split();
                    pass(shared, read, write, || async move {
                        Some(UnixStream::connect(to).await.ok()?.into_split())
                    })
                    .await;
                });
            }
        });
        Ok(Proxy { shared, task, at: None })
    }

    /// Where it listens, as text for a configuration; empty where it is a file.
    #[must_use]
    pub fn address(&self) -> String {
        self.at.map_or(String::new(), |at| at.to_string())
    }

    /// Sets what it does.
    pub fn set_mode(&self, way: ProxyMode) {
        self.shared.way.send_replace(way);
    }

    /// Cuts all once so many more bytes have passed toward the far end.
    pub fn cut_after(&self, bytes: i64) {
        self.shared.fuse.store(bytes, Ordering::SeqCst);
    }

    /// Bytes that have passed toward the far end.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.passed.load(Ordering::SeqCst)
    }

    /// Connections that have come.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.came.load(Ordering::SeqCst)
    }
}

async fn pass<R, W, F, G, H>(shared: Arc<Shared>, mut near_read: R, mut near_write: W, connect: F)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
    F: FnOnce() -> G,
    G: Future<Output = Option<(H, <H as ReadHalf>::Write)>>,
    H: ReadHalf,
{
    shared.came.fetch_add(1, Ordering::SeqCst);
    let mut way = shared.way.subscribe();
    if *way.borrow() == ProxyMode::Garbage {
        let mut bytes = [0; 4096];
        while let Ok(n) = near_read.read(&mut bytes).await {
            if n == 0 || near_write.write_all(&[0xff; 64]).await.is_err() {
                return;
            }
        }
        return;
    }
    if *way.borrow() == ProxyMode::Cut {
        return;
    }
    let Some((mut far_read, mut far_write)) = connect().await else { return };
    let (mut up, mut down) = ([0; 16 * 1024], [0; 16 * 1024]);
    let mut parts = 0_u64;
    loop {
        let now = *way.borrow_and_update();
        match now {
            ProxyMode::Cut | ProxyMode::Garbage => return,
            ProxyMode::Hold => {
                if way.changed().await.is_err() {
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
            changed = way.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            n = near_read.read(&mut up), if now != ProxyMode::HoldUpstream => {
                let Ok(n) = n else { return };
                parts += 1;
                if let ProxyMode::DropOneIn(one_in) = now && n > 0 && parts.is_multiple_of(one_in.max(1)) {
                    continue;
                }
                let fuse = shared.fuse.load(Ordering::SeqCst);
                let part = if fuse >= 0 { n.min(usize::try_from(fuse).unwrap_or(0)) } else { n };
                if far_write.write_all(&up[..part]).await.is_err() {
                    return;
                }
                shared.passed.fetch_add(part as u64, Ordering::SeqCst);
                if fuse >= 0 {
                    shared.fuse.store(fuse - part as i64, Ordering::SeqCst);
                    if part < n || fuse == part as i64 {
                        shared.fuse.store(-1, Ordering::SeqCst);
                        shared.way.send_replace(ProxyMode::Cut);
                        return;
                    }
                }
                if n == 0 {
                    return;
                }
            }
            n = far_read.read(&mut down), if now != ProxyMode::HoldDownstream => {
                let Ok(n) = n else { return };
                if n == 0 || near_write.write_all(&down[..n]).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// The reading half of a connection, and what its writing half is.
pub trait ReadHalf: AsyncRead + Unpin {
    /// The writing half.
    type Write: AsyncWrite + Unpin;
}

impl ReadHalf for tokio::net::tcp::OwnedReadHalf {
    type Write = tokio::net::tcp::OwnedWriteHalf;
}

impl ReadHalf for tokio::net::unix::OwnedReadHalf {
    type Write = tokio::net::unix::OwnedWriteHalf;
}
