//! Discovery: the list of formula servers, whole and as a watch. It can be silent.

use crate::http;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);

/// A line of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its room.
    pub zone: String,
    /// Its rack.
    pub rack: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// When it last started, Unix time in ms; 0 for long ago.
    pub boot_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct List {
    rev: u64,
    /// By uid, with the revision of the last change; a server that has gone stays as none.
    targets: BTreeMap<String, (u64, Option<Target>)>,
    silent: bool,
}

impl List {
    fn json(&self, after: Option<u64>) -> String {
        let line = |(uid, (_, target)): (&String, &(u64, Option<Target>))| match target {
            Some(t) => serde_json::json!({
                "uid": uid, "endpoint": t.endpoint.to_string(), "az": t.zone, "model": "std-2",
                "pod_group": t.rack, "state": t.state, "capacity_hint": 1.0, "boot_ms": t.boot_ms,
            }),
            None => serde_json::json!({
                "uid": uid, "endpoint": "127.0.0.1:1", "az": "", "model": "", "pod_group": 0, "state": "gone",
                "capacity_hint": 1.0, "boot_ms": 0,
            }),
        };
        let wanted = |(_, (rev, target)): &(&String, &(u64, Option<Target>))| match after {
            Some(after) => *rev > after,
            None => target.is_some(),
        };
        let targets: Vec<_> = self.targets.iter().filter(wanted).map(line).collect();
        serde_json::json!({"rev": self.rev, "all": after.is_none(), "targets": targets}).to_string()
    }
}

/// A running discovery. Ends when dropped.
pub struct Discovery {
    /// Where it listens.
    pub at: SocketAddr,
    list: Arc<watch::Sender<List>>,
    list_bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Starts one at a free port, with an empty list.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(ip: IpAddr) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let list = Arc::new(watch::Sender::new(List::default()));
        let list_bytes = Arc::new(AtomicU64::new(0));
        let (lists, bytes) = (list.clone(), list_bytes.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(talk(stream, lists.subscribe(), bytes.clone()));
            }
        });
        Ok(Discovery { at, list, list_bytes, task })
    }

    /// Lists a server, or lists it anew.
    pub fn set(&self, uid: &str, target: Target) {
        self.change(uid, Some(target));
    }

    /// Takes a server off the list.
    pub fn remove(&self, uid: &str) {
        self.change(uid, None);
    }

    /// Lists servers, or lists them anew, all in one version.
    pub fn set_all(&self, targets: Vec<(String, Target)>) {
        self.list.send_modify(|list| {
            list.rev += 1;
            for (uid, target) in targets {
                list.targets.insert(uid, (list.rev, Some(target)));
            }
        });
    }

    /// The servers that are listed.
    #[must_use]
    pub fn targets(&self) -> Vec<(String, Target)> {
        let list = self.list.borrow();
        let listed =
            list.targets.iter().filter_map(|(uid, (_, target))| Some((uid.clone(), target.clone()?)));
        listed.collect()
    }

    /// Bytes of lists and changes that were written so far.
    #[must_use]
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.load(Ordering::Relaxed)
    }

    fn change(&self, uid: &str, target: Option<Target>) {
        self.list.send_modify(|list| {
            list.rev += 1;
            list.targets.insert(uid.to_string(), (list.rev, target));
        });
    }

    /// Has it say nothing any more, or speak again.
    pub fn set_silent(&self, silent: bool) {
        self.list.send_modify(|list| list.silent = silent);
    }
}

async fn talk(stream: TcpStream, mut lists: watch::Receiver<List>, list_bytes: Arc<AtomicU64>) {
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    while let Ok(Some((_, target))) = http::request(&mut read).await {
        if lists.wait_for(|list| !list.silent).await.is_err() {
            return;
        }
        let Some((_, query)) = target.split_once('?') else {
            let body = lists.borrow().json(None);
            list_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
            if write.write_all(http::response(200, &body).as_bytes()).await.is_err() {
                return;
            }
            continue;
        };
        let mut known: u64 =
            query.split('&').find_map(|p| p.strip_prefix("index=")).and_then(|n| n.parse().ok()).unwrap_or(0);
        if write.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        loop {
            if lists.wait_for(|list| !list.silent).await.is_err() {
                return;
            }
            let text = {
                let list = lists.borrow_and_update();
                let text = if list.rev > known { list.json(Some(known)) } else { String::new() };
                known = list.rev;
                text
            };
            list_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            if write.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            match timeout(BEAT, lists.changed()).await {
                Ok(Err(_)) => return,
                // Several changes at once go in one line.
                Ok(Ok(())) => sleep(Duration::from_millis(1)).await,
                Err(_) => {}
            }
        }
    }
}
