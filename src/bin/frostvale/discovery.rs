//! Discovery: the whole list, then a watch; and both again whenever that ends or falls silent.
//!
//! A call that is not answered may be answered yet: an agent that is silent while discovery is down speaks at its return, and
//! what it says then counts at once. So whatever is silent stays open beside the calls that follow it, and goes once another
//! one has spoken.

mod call_clock;

use crate::backoff::Backoff;
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

/// From the start of silence, or from when discovery can be reached again, to the list in effect: a change counts as told
/// after this, whatever failed, was refused or given up in between. All times below are parts of it.
#[cfg(test)]
const TOLD: Duration = Duration::from_secs(6);
/// The same after a reload has moved discovery.
#[cfg(test)]
const TOLD_MOVED: Duration = Duration::from_secs(4);
/// An empty line comes this often while nothing changes.
#[cfg(test)]
const PERIOD: Duration = Duration::from_secs(2);
/// So many calls are kept open beside a watch that has fallen silent.
const CALLS_MOST: usize = 2;
/// One that ends sooner than this after its list, each time, is called with growing pauses.
const LASTED: Duration = Duration::from_millis(500);
/// The longest line or list that is read: an endless one must not fill the memory.
const LIST_MOST: usize = 4 << 20;
/// So much more of a list counts as progress: less of it may be a line that never ends.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Follows discovery for as long as the process lives. At a new address all begins anew: versions are its own, and what is
/// on its way from the old one is dropped.
pub async fn follow(gatekeeper: Shared, mut at: watch::Receiver<SocketAddr>, mut backoff: Backoff) {
    loop {
        let address = *at.borrow_and_update();
        tokio::select! {
            biased;
            moved = at.changed() => {
                if moved.is_err() {
                    return;
                }
            }
            () = follow_one(&gatekeeper, address, &mut backoff) => {}
        }
    }
}

/// What sessions have read: who spoke last, and when a list that is not whole yet last grew.
#[derive(Default)]
struct Heard {
    last: Cell<Option<(u64, Instant)>>,
    news: Notify,
    progress: Cell<Option<Instant>>,
    unmarked_bytes: Cell<usize>,
}

impl Heard {
    fn from(&self, session: u64) {
        self.last.set(Some((session, Instant::now())));
        self.news.notify_one();
    }

    /// So many bytes of a list have come.
    fn read(&self, bytes: usize) {
        let unmarked = self.unmarked_bytes.get() + bytes;
        if unmarked >= PROGRESS_BYTES {
            self.progress.set(Some(Instant::now()));
        }
        self.unmarked_bytes.set(unmarked % PROGRESS_BYTES);
    }
}

/// Follows discovery at one address without end.
async fn follow_one(gatekeeper: &Shared, address: SocketAddr, backoff: &mut Backoff) {
    backoff.reset();
    let heard = Rc::new(Heard::default());
    let mut sessions = JoinSet::new();
    // Those that are open, the oldest first.
    let mut open: Vec<(u64, AbortHandle)> = Vec::new();
    let (mut last, mut complained) = (0, false);
    let mut clock = CallClock::new(Instant::now());
    loop {
        tokio::select! {
            () = heard.news.notified() => {
                let Some((speaker, at)) = heard.last.get() else { continue };
                // Also where it has ended since: what others still bring is older.
                open.retain(|(session, task)| {
                    if *session != speaker {
                        task.abort();
                    }
                    *session == speaker
                });
                if !open.is_empty() {
                    clock.line_received(at);
                }
            }
            Some(ended) = sessions.join_next() => {
                let Ok((session, lasted, what)) = ended else { continue };
                open.retain(|(other, _)| *other != session);
                if lasted >= LASTED {
                    backoff.reset();
                    complained = false;
                }
                if !std::mem::replace(&mut complained, true) {
                    tracing::warn!("discovery at {address}: {what}; trying again");
                }
                clock.call_ended(Instant::now(), Duration::from_secs_f64(backoff.pause() / 1000.0));
            }
            () = sleep_until(clock.due()) => {
                // What has come while this process was held up is read first.
                yield_now().await;
                if clock.postpone(heard.progress.get()) {
                    tracing::debug!(open = open.len(), "a list is being read: discovery is not called yet");
                    continue;
                }
                if open.len() > CALLS_MOST {
                    // The one that was a watch may speak again, and of the calls the latest.
                    open.remove(1).1.abort();
                }
                last += 1;
                tracing::debug!(call = last, open = open.len(), "discovery is called");
                let task = sessions.spawn_local(session(last, gatekeeper.clone(), address, heard.clone()));
                open.push((last, task));
                clock.call_started(Instant::now());
            }
        }
    }
}

/// One connection, until it ends: which it was, how long after its list, and how.
async fn session(
    number: u64,
    gatekeeper: Shared,
    address: SocketAddr,
    heard: Rc<Heard>,
) -> (u64, Duration, String) {
    let mut driver = JoinSet::new();
    let (mut call, rev) = match fetch(&gatekeeper, address, &mut driver, &heard).await {
        Ok(fetched) => fetched,
        Err(what) => return (number, Duration::ZERO, what),
    };
    let began = Instant::now();
    heard.from(number);
    let ended = listen(&gatekeeper, &mut call, address, rev, (&heard, number)).await;
    (number, began.elapsed(), ended.err().unwrap_or_else(|| "the watch ended".to_string()))
}

/// A watch from this version on, until it ends.
async fn listen(
    gatekeeper: &Shared,
    call: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    rev: u64,
    (heard, session): (&Heard, u64),
) -> Result<(), String> {
    let mut body = get(call, address, &format!("/v1/servers?stream=1&index={rev}")).await?.into_body();
    let mut lines = Lines::default();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
        heard.read(data.len());
        for line in lines.take(&data)? {
            if !line.trim_ascii().is_empty() {
                take(gatekeeper, &line).await?;
            }
            heard.from(session);
        }
    }
    Ok(())
}

/// Connects and takes the whole list, which has this version. The connection goes on in `driver`, which ends it when it is dropped.
async fn fetch(
    gatekeeper: &Shared,
    address: SocketAddr,
    driver: &mut JoinSet<()>,
    heard: &Heard,
) -> Result<(SendRequest<Empty<Bytes>>, u64), String> {
    let connecting = |e: &dyn std::fmt::Display| format!("connecting: {e}");
    let stream = TcpStream::connect(address).await.map_err(|e| connecting(&e))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (mut call, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| connecting(&e))?;
    driver.spawn_local(async move {
        // How it ended shows in the call that waits on it.
        let _ = connection.await;
    });
    let mut body = get(&mut call, address, "/v1/servers").await?.into_body();
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
        heard.read(data.len());
        text.extend_from_slice(&data);
        if text.len() > LIST_MOST {
            return Err("the list is too long".into());
        }
    }
    let rev = take(gatekeeper, &text).await?;
    call.ready().await.map_err(|e| format!("the list: {e}"))?;
    Ok((call, rev))
}

/// Takes one list, or what has changed in it, into effect. Gives its version.
async fn take(gatekeeper: &Shared, text: &[u8]) -> Result<u64, String> {
    apply_update(gatekeeper, text).await.map_err(|e| e.to_string())
}

/// Bytes that come in pieces, as lines.
#[derive(Default)]
struct Lines {
    text: Vec<u8>,
}

impl Lines {
    /// Takes in a piece, and gives the lines that are whole by now.
    fn take(&mut self, data: &[u8]) -> Result<Vec<Vec<u8>>, String> {
        let mut whole = Vec::new();
        for piece in data.split_inclusive(|b| *b == b'\n') {
            self.text.extend_from_slice(piece);
            if self.text.len() > LIST_MOST {
                return Err("a line is too long".into());
            }
            if piece.ends_with(b"\n") {
                whole.push(std::mem::take(&mut self.text));
            }
        }
        Ok(whole)
    }
}

async fn get(
    call: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<Response<Incoming>, String> {
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = call.send_request(request).await.map_err(|e| format!("{path}: {e}"))?;
    if answer.status() == StatusCode::OK { Ok(answer) } else { Err(format!("{path}: {}", answer.status())) }
}

#[cfg(test)]
mod tests;
