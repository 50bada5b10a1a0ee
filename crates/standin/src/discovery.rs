//! Stand-in for discovery: serves the list of formula servers, in full and as a watch. It can be made silent.

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

/// Interval of the empty lines that a watch sends while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// An entry of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Address where the server listens.
    pub endpoint: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Number of its rack.
    pub rack: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// Last start, Unix time in ms; 0 for long ago.
    pub boot_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct List {
    rev: u64,
    /// Entries by uid, with the revision of their last change; a removed server stays as `None`.
    targets: BTreeMap<String, (u64, Option<Target>)>,
    silent: bool,
}

impl List {
    /// Returns the full list as JSON, or only the changes after revision `after`.
    fn json(&self, after: Option<u64>) -> String {
        let entry_json = |(uid, (_, target)): (&String, &(u64, Option<Target>))| match target {
            Some(t) => serde_json::json!({
                "uid": uid, "endpoint": t.endpoint.to_string(), "az": t.zone, "model": "std-2",
                "pod_group": t.rack, "state": t.state, "capacity_hint": 1.0, "boot_ms": t.boot_ms,
            }),
            None => serde_json::json!({
                "uid": uid, "endpoint": "127.0.0.1:1", "az": "", "model": "", "pod_group": 0, "state": "gone",
                "capacity_hint": 1.0, "boot_ms": 0,
            }),
        };
        let is_included = |(_, (rev, target)): &(&String, &(u64, Option<Target>))| match after {
            Some(after) => *rev > after,
            None => target.is_some(),
        };
        let targets: Vec<_> = self.targets.iter().filter(is_included).map(entry_json).collect();
        serde_json::json!({"rev": self.rev, "all": after.is_none(), "targets": targets}).to_string()
    }
}

/// A running discovery. It ends when dropped.
pub struct Discovery {
    /// Address where it listens.
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
    /// Starts a discovery at a free port of `ip`, with an empty list.
    ///
    /// # Errors
    /// When the listener cannot be bound.
    pub async fn start(ip: IpAddr) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let list = Arc::new(watch::Sender::new(List::default()));
        let list_bytes = Arc::new(AtomicU64::new(0));
        let (lists, bytes) = (list.clone(), list_bytes.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, lists.subscribe(), bytes.clone()));
            }
        });
        Ok(Discovery { at, list, list_bytes, task })
    }

    /// Adds a server to the list, or replaces its entry.
    pub fn set(&self, uid: &str, target: Target) {
        self.change(uid, Some(target));
    }

    /// Removes a server from the list.
    pub fn remove(&self, uid: &str) {
        self.change(uid, None);
    }

    /// Adds or replaces several servers in a single revision.
    pub fn set_all(&self, targets: Vec<(String, Target)>) {
        self.list.send_modify(|list| {
            list.rev += 1;
            for (uid, target) in targets {
                list.targets.insert(uid, (list.rev, Some(target)));
            }
        });
    }

    /// Returns the listed servers by uid.
    #[must_use]
    pub fn targets(&self) -> Vec<(String, Target)> {
        let list = self.list.borrow();
        let listed =
            list.targets.iter().filter_map(|(uid, (_, target))| Some((uid.clone(), target.clone()?)));
        listed.collect()
    }

    /// Returns the bytes of lists and changes written so far.
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

    /// Makes discovery stop responding (requests wait and watches send nothing), or respond again.
    pub fn set_silent(&self, silent: bool) {
        self.list.send_modify(|list| list.silent = silent);
    }
}

/// Serves the requests of one connection.
async fn serve_connection(stream: TcpStream, mut lists: watch::Receiver<List>, list_bytes: Arc<AtomicU64>) {
    let (read, mut write) = stream.into_split();
    let mut reader = BufReader::new(read);
    while let Ok(Some((_, target))) = http::request(&mut reader).await {
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
        let mut known_revision: u64 =
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
                let text =
                    if list.rev > known_revision { list.json(Some(known_revision)) } else { String::new() };
                known_revision = list.rev;
                text
            };
            list_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            if write.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            match timeout(KEEPALIVE_INTERVAL, lists.changed()).await {
                Ok(Err(_)) => return,
                // Changes within 1 ms are sent in one line.
                Ok(Ok(())) => sleep(Duration::from_millis(1)).await,
                Err(_) => {}
            }
        }
    }
}
