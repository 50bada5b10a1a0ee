//! Client of the discovery agent: fetches the whole endpoint list, then watches it for changes, and starts
//! over whenever the watch ends or falls silent.
//!
//! A call without an answer may still be answered: an agent that is silent while discovery is down responds
//! when discovery returns, and that response has to take effect at once. So a silent call stays open beside
//! the calls that follow it, and is closed once another one has received data.

mod call_clock;

use crate::backoff::Backoff;
use crate::fair_share::Source;
use crate::gatekeeper::{Shared, apply_update};
use call_clock::CallClock;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{Instant, sleep_until};

/// Time limit from the start of silence, or from the moment discovery can be reached again, until the list is
/// in effect. A change counts as known to the gatekeeper after this time, whatever calls failed, were refused
/// or timed out in between. All times below are parts of it.
#[cfg(test)]
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// The same limit after a reload has changed discovery's address.
#[cfg(test)]
const MAX_UPDATE_DELAY_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Interval of the empty lines that discovery sends while nothing changes.
#[cfg(test)]
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of calls that are kept open beside a watch that has fallen silent.
const MAX_CALLS_BESIDE_WATCH: usize = 2;
/// A watch that ends sooner than this after its list counts as a failed call: the pauses between calls go on
/// growing.
const MIN_WATCH_DURATION: Duration = Duration::from_millis(500);
/// Size limit of a line or list: an endless one must not fill the memory.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Bytes of a list that count as progress. Fewer may belong to a line that never ends.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Follows discovery for as long as the process lives. When its address changes, everything starts over:
/// versions belong to one address, and responses of the old one that are still on their way are dropped.
///
/// All of discovery's input is work of `source`.
pub async fn follow(
    gatekeeper: Shared,
    mut at: watch::Receiver<SocketAddr>,
    mut backoff: Backoff,
    source: Source,
) {
    let source = Rc::new(source);
    loop {
        let address = *at.borrow_and_update();
        tokio::select! {
            biased;
            address_change = at.changed() => {
                if address_change.is_err() {
                    return;
                }
            }
            () = follow_address(&gatekeeper, address, &mut backoff, &source) => {}
        }
    }
}

/// Activity of all sessions: which one received a line last, and when a list that is still incomplete last
/// made progress.
#[derive(Default)]
struct SessionActivity {
    last_line: Cell<Option<(u64, Instant)>>,
    line_received: Notify,
    last_progress: Cell<Option<Instant>>,
    bytes_since_progress: Cell<usize>,
}

impl SessionActivity {
    /// Records that the session received a whole line or list now.
    fn record_line(&self, session: u64) {
        self.last_line.set(Some((session, Instant::now())));
        self.line_received.notify_one();
    }

    /// Counts received bytes of a list towards the next progress mark.
    fn record_bytes(&self, bytes: usize) {
        let bytes_since = self.bytes_since_progress.get() + bytes;
        if bytes_since >= PROGRESS_BYTES {
            self.last_progress.set(Some(Instant::now()));
        }
        self.bytes_since_progress.set(bytes_since % PROGRESS_BYTES);
    }
}

/// Follows discovery at one address and never returns.
async fn follow_address(
    gatekeeper: &Shared,
    address: SocketAddr,
    backoff: &mut Backoff,
    source: &Rc<Source>,
) {
    backoff.reset();
    let activity = Rc::new(SessionActivity::default());
    let mut sessions = JoinSet::new();
    // Open sessions, the oldest first.
    let mut open: Vec<(u64, AbortHandle)> = Vec::new();
    let (mut last_call, mut has_warned) = (0, false);
    let mut clock = CallClock::new(Instant::now());
    loop {
        tokio::select! {
            () = activity.line_received.notified() => {
                let Some((latest, at)) = activity.last_line.get() else { continue };
                // Also if the latest session has ended since: what the others still deliver is older.
                open.retain(|(session, task)| {
                    if *session != latest {
                        task.abort();
                    }
                    *session == latest
                });
                if !open.is_empty() {
                    clock.line_received(at);
                }
            }
            Some(end) = sessions.join_next() => {
                let Ok((session, duration, reason)) = end else { continue };
                open.retain(|(other, _)| *other != session);
                if duration >= MIN_WATCH_DURATION {
                    backoff.reset();
                    has_warned = false;
                }
                if !std::mem::replace(&mut has_warned, true) {
                    tracing::warn!("discovery at {address} failed: {reason}; trying again");
                }
                clock.call_ended(Instant::now(), Duration::from_secs_f64(backoff.next_pause_ms() / 1000.0));
            }
            () = sleep_until(clock.due()) => {
                // Data that arrived while this process was held up is read first.
                yield_now().await;
                if clock.postpone(activity.last_progress.get()) {
                    tracing::debug!(open = open.len(), "discovery call postponed: a list is still arriving");
                    continue;
                }
                if open.len() > MAX_CALLS_BESIDE_WATCH {
                    // Keeps the oldest, since a former watch may resume, and the latest of the calls.
                    open.remove(1).1.abort();
                }
                last_call += 1;
                tracing::debug!(call = last_call, open = open.len(), "calling discovery");
                let session = Session {
                    number: last_call,
                    address,
                    gatekeeper: gatekeeper.clone(),
                    activity: activity.clone(),
                    source: source.clone(),
                };
                let task = sessions.spawn_local(session.run());
                open.push((last_call, task));
                clock.call_started(Instant::now());
            }
        }
    }
}

/// One connection to discovery.
struct Session {
    /// Its number; later sessions have higher ones.
    number: u64,
    address: SocketAddr,
    gatekeeper: Shared,
    activity: Rc<SessionActivity>,
    source: Rc<Source>,
}

impl Session {
    /// Runs the connection until it ends. Returns its number, how long it lasted after its list, and why it
    /// ended.
    async fn run(self) -> (u64, Duration, String) {
        let mut driver = JoinSet::new();
        let (mut sender, rev) = match self.fetch(&mut driver).await {
            Ok(fetched) => fetched,
            Err(reason) => return (self.number, Duration::ZERO, reason),
        };
        let list_received_at = Instant::now();
        self.activity.record_line(self.number);
        let end = self.watch_changes(&mut sender, rev).await;
        let reason = end.err().unwrap_or_else(|| "the watch ended".to_string());
        (self.number, list_received_at.elapsed(), reason)
    }

    /// Watches for changes after version `rev` until the watch ends.
    async fn watch_changes(&self, sender: &mut SendRequest<Empty<Bytes>>, rev: u64) -> Result<(), String> {
        let path = format!("/v1/servers?stream=1&index={rev}");
        let mut body = get(sender, self.address, &path).await?.into_body();
        let mut lines = LineSplitter::default();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
            self.activity.record_bytes(data.len());
            let mut rest = &data[..];
            let mut started_at = Instant::now();
            while let Some(line) = lines.next_line(&mut rest)? {
                if !line.trim_ascii().is_empty() {
                    self.apply(&line).await?;
                }
                self.activity.record_line(self.number);
                self.source.pay_since(started_at.into_std()).await;
                started_at = Instant::now();
            }
        }
        Ok(())
    }

    /// Connects, fetches the whole list, applies it, and returns its version. The connection is driven by a
    /// task in `driver` and ends when `driver` is dropped.
    async fn fetch(&self, driver: &mut JoinSet<()>) -> Result<(SendRequest<Empty<Bytes>>, u64), String> {
        let connect_error = |e: &dyn std::fmt::Display| format!("cannot connect: {e}");
        let stream = TcpStream::connect(self.address).await.map_err(|e| connect_error(&e))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| connect_error(&e))?;
        driver.spawn_local(async move {
            // A failure of the connection also fails the call that waits on it.
            let _ = connection.await;
        });
        let mut body = get(&mut sender, self.address, "/v1/servers").await?.into_body();
        let mut text = Vec::new();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
            self.activity.record_bytes(data.len());
            text.extend_from_slice(&data);
            if text.len() > MAX_LIST_BYTES {
                return Err("the endpoint list is too long".into());
            }
        }
        let rev = self.apply(&text).await?;
        sender.ready().await.map_err(|e| format!("endpoint list: {e}"))?;
        Ok((sender, rev))
    }

    /// Applies one list, or the changes of one, and returns its version.
    async fn apply(&self, text: &[u8]) -> Result<u64, String> {
        apply_update(&self.gatekeeper, text).await.map_err(|e| e.to_string())
    }
}

/// Splits bytes that arrive in pieces into lines.
#[derive(Default)]
struct LineSplitter {
    /// The incomplete last line.
    text: Vec<u8>,
}

impl LineSplitter {
    /// Takes the next line, with its line end, from the piece that arrived; `None` where the rest of the piece
    /// is no whole line.
    fn next_line(&mut self, piece: &mut &[u8]) -> Result<Option<Vec<u8>>, String> {
        let end = piece.iter().position(|b| *b == b'\n').map(|at| at + 1);
        let (taken, rest) = piece.split_at(end.unwrap_or(piece.len()));
        *piece = rest;
        self.text.extend_from_slice(taken);
        if self.text.len() > MAX_LIST_BYTES {
            return Err("a line of the watch is too long".into());
        }
        Ok(end.map(|_| std::mem::take(&mut self.text)))
    }
}

/// Sends a GET request and returns the response if its status is 200.
async fn get(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<Response<Incoming>, String> {
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = sender.send_request(request).await.map_err(|e| format!("{path}: {e}"))?;
    if answer.status() == StatusCode::OK { Ok(answer) } else { Err(format!("{path}: {}", answer.status())) }
}

#[cfg(test)]
mod tests;
