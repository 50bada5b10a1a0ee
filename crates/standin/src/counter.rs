//! The shared counter: adds an amount to a name that lives for a time, and gives the total. It can be down, turn
//! calls away, count and not answer, and answer noise.

use crate::http;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What it does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum CounterFault {
    /// Nothing.
    None,
    /// It turns all away.
    Unavailable,
    /// It adds and does not answer.
    Silent,
    /// It adds and answers with no number.
    Noise,
}

#[derive(Default)]
struct State {
    totals: Mutex<HashMap<String, (f64, Instant)>>,
    fault: AtomicU8,
    calls: AtomicU64,
}

/// A running counter. Ends when dropped.
pub struct SharedCounter {
    /// Where it listens.
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
    /// Starts one at a free port, with nothing counted.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(ip: IpAddr) -> std::io::Result<SharedCounter> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(talk(stream, shared.clone()));
            }
        });
        Ok(SharedCounter { at, state, task })
    }

    /// Sets what it does wrong.
    pub fn set_fault(&self, fault: CounterFault) {
        self.state.fault.store(fault as u8, Ordering::Relaxed);
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

impl State {
    /// The answer to a call: its status and body. `None`: none is given.
    fn call(&self, method: &str, target: &str) -> Option<(u16, String)> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault.load(Ordering::Relaxed);
        if fault == CounterFault::Unavailable as u8 {
            return Some((503, String::new()));
        }
        let bad = || Some((400, String::new()));
        let Some((name, query)) = target.strip_prefix("/v1/count/").and_then(|t| t.split_once('?')) else {
            return Some((404, String::new()));
        };
        let value = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let add = value("add").and_then(|a| a.parse::<f64>().ok()).filter(|a| a.abs() <= 1e9);
        let ttl = value("ttl_ms").and_then(|t| t.parse::<u64>().ok()).filter(|t| *t >= 1);
        let (Some(add), Some(ttl)) = (add, ttl) else { return bad() };
        if method != "POST" || name.is_empty() || name.len() > 64 {
            return bad();
        }
        let now = Instant::now();
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.retain(|_, (_, until)| *until > now);
        let life = now + Duration::from_millis(ttl.min(60_000));
        let (total, _) = totals.entry(name.to_string()).or_insert((0.0, life));
        *total += add;
        let total = *total;
        match fault {
            f if f == CounterFault::Silent as u8 => None,
            f if f == CounterFault::Noise as u8 => Some((200, "#!".into())),
            _ => Some((200, total.to_string())),
        }
    }
}

async fn talk(stream: TcpStream, state: Arc<State>) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    while let Ok(Some((method, target))) = http::request(&mut read).await {
        if let Some((status, body)) = state.call(&method, &target)
            && write.write_all(http::response(status, &body).as_bytes()).await.is_err()
        {
            return;
        }
    }
}
