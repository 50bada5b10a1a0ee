//! Stand-in for the shared counter: it adds an amount to a named total with a time to live, and returns the
//! total. On demand it rejects calls, counts without a response, or responds with garbage.

use crate::http;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// An injected fault of the counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum CounterFault {
    /// No fault.
    None,
    /// All calls are rejected with status 503.
    Unavailable,
    /// The amount is added, and there is no response.
    Silent,
    /// The amount is added, and the response is not a number.
    Noise,
}

#[derive(Default)]
struct State {
    /// Total and expiry time by name.
    totals: Mutex<HashMap<String, (f64, Instant)>>,
    fault: AtomicU8,
    calls: AtomicU64,
}

/// A running counter. It ends when dropped.
pub struct SharedCounter {
    /// Address where it listens.
    pub at: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl Drop for SharedCounter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SharedCounter {
    /// Starts a counter at a free port of `ip`, without any totals.
    ///
    /// # Errors
    /// When the listener cannot be bound.
    pub async fn start(ip: IpAddr) -> std::io::Result<SharedCounter> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, shared.clone()));
            }
        });
        Ok(SharedCounter { at, state, task })
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: CounterFault) {
        self.state.fault.store(fault as u8, Ordering::Relaxed);
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

impl State {
    /// Handles a call and returns the status and body of the response; `None` if there is no response.
    fn call(&self, method: &str, target: &str) -> Option<(u16, String)> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault.load(Ordering::Relaxed);
        if fault == CounterFault::Unavailable as u8 {
            return Some((503, String::new()));
        }
        let bad_request = || Some((400, String::new()));
        let Some((name, query)) = target.strip_prefix("/v1/count/").and_then(|t| t.split_once('?')) else {
            return Some((404, String::new()));
        };
        let value = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let add = value("add").and_then(|a| a.parse::<f64>().ok()).filter(|a| a.abs() <= 1e9);
        let ttl = value("ttl_ms").and_then(|t| t.parse::<u64>().ok()).filter(|t| *t >= 1);
        let (Some(add), Some(ttl)) = (add, ttl) else { return bad_request() };
        if method != "POST" || name.is_empty() || name.len() > 64 {
            return bad_request();
        }
        let now = Instant::now();
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.retain(|_, (_, expires_at)| *expires_at > now);
        let expires_at = now + Duration::from_millis(ttl.min(60_000));
        let (total, _) = totals.entry(name.to_string()).or_insert((0.0, expires_at));
        *total += add;
        let total = *total;
        match fault {
            f if f == CounterFault::Silent as u8 => None,
            f if f == CounterFault::Noise as u8 => Some((200, "#!".into())),
            _ => Some((200, total.to_string())),
        }
    }
}

/// Serves the calls of one connection.
async fn serve_connection(stream: TcpStream, state: Arc<State>) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut reader = BufReader::new(read);
    while let Ok(Some((method, target))) = http::request(&mut reader).await {
        if let Some((status, body)) = state.call(&method, &target)
            && write.write_all(http::response(status, &body).as_bytes()).await.is_err()
        {
            return;
        }
    }
}
