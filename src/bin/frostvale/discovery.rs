//! Discovery: the whole list, then a watch; and both again whenever that ends or falls silent.

use crate::backoff::Backoff;
use crate::gateway::Shared;
use crate::listing::listed;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// From the start of silence, or from when discovery can be reached again, to the list in effect: a change counts as told
/// after this, whatever failed, was refused or given up in between. All times below are parts of it.
#[cfg(test)]
const TOLD: Duration = Duration::from_secs(6);
/// The same after a reload has moved discovery.
#[cfg(test)]
const TOLD_MOVED: Duration = Duration::from_secs(4);
/// An empty line comes this often while nothing changes.
const PERIOD: Duration = Duration::from_secs(2);
/// With no whole line for this long the watch is dead, whatever TCP thinks and whatever pieces of one still come.
const SILENT: Duration = Duration::from_secs(3);
/// From connecting to the whole list: the agent answers at once with what it has.
const CALL: Duration = Duration::from_secs(1);
/// The longest line or list that is read: an endless one must not fill the memory.
const LIST_MOST: usize = 4 << 20;

/// Follows discovery for as long as the process lives. `rev` is the version of the list at hand. At a new
/// address all begins anew: versions are its own, and what is on its way from the old one is dropped.
pub async fn follow(
    gateway: Shared,
    mut at: watch::Receiver<SocketAddr>,
    mut rev: Option<u64>,
    mut backoff: Backoff,
) {
    loop {
        let address = *at.borrow_and_update();
        tokio::select! {
            biased;
            moved = at.changed() => {
                if moved.is_err() {
                    return;
                }
            }
            () = follow_one(&gateway, address, rev.take(), &mut backoff) => {}
        }
    }
}

/// Follows discovery at one address without end.
async fn follow_one(gateway: &Shared, address: SocketAddr, mut rev: Option<u64>, backoff: &mut Backoff) {
    backoff.reset();
    let mut complained = false;
    loop {
        let began = Instant::now();
        let ended = session(gateway, address, &mut rev).await;
        // One that ends as soon as it is there, each time, is not to be called without a pause.
        if began.elapsed() >= PERIOD {
            backoff.reset();
            complained = false;
        }
        if let Err(e) = ended
            && !std::mem::replace(&mut complained, true)
        {
            tracing::warn!("discovery at {address}: {e}; trying again");
        }
        sleep(Duration::from_secs_f64(backoff.pause() / 1000.0)).await;
    }
}

/// One connection: the whole list, which comes at once where anything does, then a watch until it ends or is silent. What
/// a former watch may have missed is in the list.
async fn session(gateway: &Shared, address: SocketAddr, rev: &mut Option<u64>) -> Result<(), String> {
    let mut driver = JoinSet::new();
    let fetched = timeout(CALL, fetch(gateway, address, rev, &mut driver)).await;
    let mut call = fetched.map_err(|_| "no list in time")??;
    let path = format!("/v1/servers?stream=1&index={}", rev.unwrap_or(0));
    let mut lines = Lines::default();
    let mut due = Instant::now() + SILENT;
    let mut body = silent_after(due, get(&mut call, address, &path)).await??.into_body();
    while let Some(frame) = silent_after(due, body.frame()).await? {
        let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
        lines.take(&data, |line| {
            due = Instant::now() + SILENT;
            if line.trim_ascii().is_empty() { Ok(()) } else { take(gateway, line, rev) }
        })?;
    }
    Err("the watch ended".into())
}

/// Connects and takes the whole list. The connection goes on in `driver`, which ends it when it is dropped.
async fn fetch(
    gateway: &Shared,
    address: SocketAddr,
    rev: &mut Option<u64>,
    driver: &mut JoinSet<()>,
) -> Result<SendRequest<Empty<Bytes>>, String> {
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
        text.extend_from_slice(&frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default());
        if text.len() > LIST_MOST {
            return Err("the list is too long".into());
        }
    }
    take(gateway, &text, rev)?;
    call.ready().await.map_err(|e| format!("the list: {e}"))?;
    Ok(call)
}

/// Takes one list, or what has changed in it, into effect.
fn take(gateway: &Shared, text: &[u8], rev: &mut Option<u64>) -> Result<(), String> {
    let value = serde_json::from_slice(text).map_err(|e| format!("a line is no JSON: {e}"))?;
    let list = listed(&value).ok_or("a line is no list")?;
    *rev = Some(list.rev);
    gateway.borrow_mut().listed(list);
    Ok(())
}

/// Bytes that come in pieces, as lines.
#[derive(Default)]
struct Lines {
    text: Vec<u8>,
}

impl Lines {
    /// Gives each line that is whole by now to `each`.
    fn take(&mut self, data: &[u8], mut each: impl FnMut(&[u8]) -> Result<(), String>) -> Result<(), String> {
        for piece in data.split_inclusive(|b| *b == b'\n') {
            self.text.extend_from_slice(piece);
            if self.text.len() > LIST_MOST {
                return Err("a line is too long".into());
            }
            if piece.ends_with(b"\n") {
                each(&self.text)?;
                self.text.clear();
            }
        }
        Ok(())
    }
}

/// A watch that says nothing by then is dead.
async fn silent_after<T>(due: Instant, said: impl Future<Output = T>) -> Result<T, String> {
    timeout_at(due, said).await.map_err(|_| "the watch is silent".to_string())
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
