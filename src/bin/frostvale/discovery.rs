//! Discovery: the whole list once, then a watch that is opened again whenever it ends or falls silent.

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
use tokio::time::{sleep, timeout};

/// A machine that is cut off says nothing: no connection or list within this time is a failure.
const CALL: Duration = Duration::from_secs(1);
/// An empty line comes every 2 s. After two that are missing the watch is dead, whatever TCP thinks.
const QUIET: Duration = Duration::from_secs(5);
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
    let mut whole = false;
    let mut complained = false;
    loop {
        let mut heard = false;
        let ended = session(gateway, address, &mut rev, &mut whole, &mut heard).await;
        if heard {
            backoff.reset();
            complained = false;
        }
        if let Err(e) = ended
            && !complained
        {
            complained = true;
            tracing::warn!("discovery at {address}: {e}; trying again");
        }
        sleep(Duration::from_secs_f64(backoff.pause() / 1000.0)).await;
    }
}

/// One connection: the whole list if there has been none yet, then a watch until it ends.
async fn session(
    gateway: &Shared,
    address: SocketAddr,
    rev: &mut Option<u64>,
    whole: &mut bool,
    heard: &mut bool,
) -> Result<(), String> {
    let stream = within(CALL, "connecting", TcpStream::connect(address)).await?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (mut call, connection) = within(CALL, "connecting", handshake(TokioIo::new(stream))).await?;
    // Ended with this session, also where that is dropped half way.
    let mut driver = JoinSet::new();
    driver.spawn_local(async move {
        // How it ended shows in the call that waits on it.
        let _ = connection.await;
    });
    listen(gateway, &mut call, address, rev, whole, heard).await
}

async fn listen(
    gateway: &Shared,
    call: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    rev: &mut Option<u64>,
    whole: &mut bool,
    heard: &mut bool,
) -> Result<(), String> {
    let mut take = |text: &[u8], rev: &mut Option<u64>| {
        let value = serde_json::from_slice(text).map_err(|e| format!("a line is no JSON: {e}"))?;
        let list = listed(&value).ok_or("a line is no list")?;
        *rev = Some(list.rev);
        *heard = true;
        gateway.borrow_mut().listed(list);
        Ok::<(), String>(())
    };
    if !*whole {
        let mut body = get(call, address, "/v1/servers").await?.into_body();
        let mut text = Vec::new();
        while let Some(frame) = timeout(CALL, body.frame()).await.map_err(|_| "the list is silent")? {
            text.extend_from_slice(&frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default());
            if text.len() > LIST_MOST {
                return Err("the list is too long".into());
            }
        }
        take(&text, rev)?;
        *whole = true;
        within(CALL, "the list", call.ready()).await?;
    }
    let path = format!("/v1/servers?stream=1&index={}", rev.unwrap_or(0));
    let mut body = get(call, address, &path).await?.into_body();
    let mut text: Vec<u8> = Vec::new();
    while let Some(frame) = timeout(QUIET, body.frame()).await.map_err(|_| "the watch is silent")? {
        let data = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_default();
        for piece in data.split_inclusive(|b| *b == b'\n') {
            text.extend_from_slice(piece);
            if text.len() > LIST_MOST {
                return Err("a line is too long".into());
            }
            if piece.ends_with(b"\n") {
                if !text.trim_ascii().is_empty() {
                    take(&text, rev)?;
                }
                text.clear();
            }
        }
    }
    Err("the watch ended".into())
}

async fn get(
    call: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<Response<Incoming>, String> {
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = within(QUIET, path, call.send_request(request)).await?;
    if answer.status() == StatusCode::OK { Ok(answer) } else { Err(format!("{path}: {}", answer.status())) }
}

async fn within<T, E: std::fmt::Display>(
    most: Duration,
    what: &str,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    match timeout(most, call).await {
        Ok(ended) => ended.map_err(|e| format!("{what}: {e}")),
        Err(_) => Err(format!("{what}: no answer in time")),
    }
}
