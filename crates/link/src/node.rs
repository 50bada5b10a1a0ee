//! The gatekeeper's side of the link: listens at a Unix socket, reads frames from agents and writes frames to
//! them. Everything runs on the gatekeeper's thread, which never waits here. What an agent has not read is kept
//! up to a bound: past it nothing more is read from the agent, and messages that can be sent again later are
//! dropped. An agent that reads nothing for a time is disconnected.

use crate::VERSION;
use crate::codec::{self, FrameReader};
use crate::proto::{
    Acts, Epochs, Hello, Level, Plans, PlansTaken, Refused, Shut, UseBatch, UseKept, Welcome, ZonesGuide,
    ZonesSeen,
};
use crate::proto::{
    Check, Decision, FromNode, OutsideAsk, OutsideState, OutsideVerdict, Seen, Settle, ToNode,
};
use std::cell::{Cell, RefCell};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep_until, timeout};

/// How long an agent may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a partially received frame, or unsent output, may make no progress before the agent is
/// disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes kept for an agent that has not read them; past this nothing more is read from it.
pub const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Items of a frame that are handled in one turn, before other tasks of the thread run.
const MAX_ITEMS_PER_TURN: usize = 32;
/// The estimated encoded size, in bytes, of an item that is not encoded yet.
const ITEM_BYTES_ESTIMATE: usize = 40;
/// The estimated encoded size, in bytes, of a line of a usage batch.
const USAGE_LINE_BYTES_ESTIMATE: usize = 48;
/// Items of one kind that go into one frame: such a frame stays well below the longest one.
const MAX_ITEMS_PER_FRAME: usize = 2000;

/// Receives what agents send. Called on the gatekeeper's thread; no call may block.
pub trait LinkHandler {
    /// The welcome that this gatekeeper sends to each agent.
    fn welcome(&self) -> Welcome;
    /// An agent has connected and is sent the welcome.
    fn agent_connected(&self, peer: &Rc<AgentConnection>, hello: Hello);
    /// Handles a check. The answer goes to [`AgentConnection::send_decision`], now or later.
    fn handle_check(&self, peer: &Rc<AgentConnection>, check: Check);
    /// Settles a held grant.
    fn settle_grant(&self, peer: &Rc<AgentConnection>, settle: Settle);
    /// Handles the verdict of an outside service.
    fn outside_verdict(&self, peer: &Rc<AgentConnection>, verdict: OutsideVerdict);
    /// The agent has stored these usage batches durably.
    fn usage_acknowledged(&self, peer: &Rc<AgentConnection>, kept: &[UseKept]);
    /// Applies new limits of the plans.
    fn apply_plans(&self, peer: &Rc<AgentConnection>, plans: Plans);
    /// Records the current epochs of duties, as the council gave them.
    fn apply_epochs(&self, peer: &Rc<AgentConnection>, epochs: Epochs);
    /// Applies a zone decision.
    fn apply_zone_decision(&self, peer: &Rc<AgentConnection>, zone_decision: ZonesGuide);
    /// Applies a decision on which gatekeepers are fenced off.
    fn apply_fenced_off(&self, peer: &Rc<AgentConnection>, fenced_off: Shut);
    /// Restores the bucket levels of a previous process.
    fn restore_levels(&self, peer: &Rc<AgentConnection>, levels: &[Level]);
    /// The agent announces that it stops: the usage so far is to be reported to it, and then
    /// [`AgentConnection::send_usage_reported`] is to be called.
    fn agent_stopping(&self, peer: &Rc<AgentConnection>);
    /// The agent has disconnected (`why` is `None`), or was disconnected because of the given fault.
    fn agent_disconnected(&self, peer: &Rc<AgentConnection>, why: Option<String>);
}

/// One agent's connection.
pub struct AgentConnection {
    /// The number of the connection, unique in this process; later connections have higher numbers.
    pub number: u64,
    /// What goes into the next frame.
    queued: RefCell<FromNode>,
    /// The number of items in it.
    queued_items: Cell<usize>,
    /// The estimated size of those of them whose size differs much.
    queued_bytes: Cell<usize>,
    /// Encoded bytes that the socket has not accepted.
    unsent_bytes: Cell<usize>,
    /// Wakes the connection's task.
    wake: Notify,
    /// Whether [`AgentConnection::disconnect`] was called.
    is_disconnecting: Cell<bool>,
}

impl AgentConnection {
    fn new(number: u64) -> Rc<AgentConnection> {
        Rc::new(AgentConnection {
            number,
            queued: RefCell::default(),
            queued_items: Cell::new(0),
            queued_bytes: Cell::new(0),
            unsent_bytes: Cell::new(0),
            wake: Notify::new(),
            is_disconnecting: Cell::new(false),
        })
    }

    /// Adds an item to the next frame.
    fn push(&self, add: impl FnOnce(&mut FromNode)) {
        let items = self.queued_items.get();
        add(&mut self.queued.borrow_mut());
        self.queued_items.set(items + 1);
        if items == 0 {
            self.wake.notify_one();
        }
    }

    /// Adds an item of about `size` bytes to the next frame if there is room for it. Returns whether there
    /// was.
    fn push_if_room(&self, size: usize, add: impl FnOnce(&mut FromNode)) -> bool {
        let has_room = self.unread_bytes() + ITEM_BYTES_ESTIMATE.max(size) <= MAX_UNREAD_BYTES;
        if has_room {
            self.push(add);
            self.queued_bytes.set(self.queued_bytes.get() + size);
        }
        has_room
    }

    /// Answers a check.
    pub fn send_decision(&self, decision: Decision) {
        self.push(|frame| frame.decisions.push(decision));
    }

    /// Sends a shop's gatekeeper set. Dropped if there is no room: agents have a set for other shops.
    pub fn send_shop_set(&self, seen: Seen) {
        self.push_if_room(0, |frame| frame.seen.push(seen));
    }

    /// Asks for a check by an outside service. Returns false if the agent does not read.
    pub fn send_outside_request(&self, ask: OutsideAsk) -> bool {
        self.push_if_room(0, |frame| frame.outside.push(ask))
    }

    /// Sends the state of the outside service's circuit breaker.
    pub fn send_breaker_state(&self, state: OutsideState) {
        self.push(|frame| frame.outside_states.push(state));
    }

    /// Sends a usage batch. One for which there is no room, or that the agent does not read, is not
    /// acknowledged, so it is sent again.
    pub fn send_usage(&self, batch: UseBatch) {
        let size = USAGE_LINE_BYTES_ESTIMATE * batch.lines.len();
        self.push_if_room(size, |frame| frame.r#use.push(batch));
    }

    /// Sends the level of a token bucket. Dropped if there is no room; a newer level follows.
    pub fn send_level(&self, level: Level) {
        self.push_if_room(0, |frame| frame.levels.push(level));
    }

    /// Tells the agent that a fleet decision was refused by its fence.
    pub fn send_refused(&self, refused: Refused) {
        self.push(|frame| frame.refused.push(refused));
    }

    /// Sends the result of applying plans.
    pub fn send_plans_taken(&self, taken: PlansTaken) {
        self.push(|frame| frame.plans_taken = Some(taken));
    }

    /// Sends a zone observation. It replaces one that is still queued, which is then lost; observations may
    /// be lost.
    pub fn send_zone_observation(&self, seen: ZonesSeen) {
        let size = 64 * (seen.lines.len() + seen.places.len());
        self.push_if_room(size, |frame| frame.zones = Some(seen));
    }

    /// Sends the versions that this gatekeeper applies. It replaces a message that is still queued.
    pub fn send_applied_versions(&self, acts: Acts) {
        self.push_if_room(96 * acts.versions.len(), |frame| frame.acts = Some(acts));
    }

    /// Tells an agent that stops the number of the last batch that was reported.
    pub fn send_usage_reported(&self, number: u64) {
        self.push(|frame| frame.reported = Some(number));
    }

    /// The approximate number of bytes that the agent has not read.
    #[must_use]
    pub fn unread_bytes(&self) -> usize {
        self.unsent_bytes.get() + self.queued_items.get() * ITEM_BYTES_ESTIMATE + self.queued_bytes.get()
    }

    /// Announces that the gatekeeper stops; undecided checks are still answered.
    pub fn send_bye(&self, why: &str) {
        self.push(|frame| frame.bye = why.to_string());
    }

    /// Closes the connection.
    pub fn disconnect(&self) {
        self.is_disconnecting.set(true);
        self.wake.notify_one();
    }

    /// Encodes the queued items. Long lists are split over several frames.
    fn encode(&self, bytes: &mut Vec<u8>) -> Result<(), codec::FrameError> {
        let mut all = std::mem::take(&mut *self.queued.borrow_mut());
        self.queued_bytes.set(0);
        if self.queued_items.replace(0) == 0 {
            return Ok(());
        }
        // A usage batch may fill a frame by itself.
        for batch in std::mem::take(&mut all.r#use) {
            codec::append_frame(bytes, &FromNode { r#use: vec![batch], ..FromNode::default() })?;
        }
        while [all.decisions.len(), all.seen.len(), all.outside.len(), all.levels.len()]
            .iter()
            .any(|n| *n > MAX_ITEMS_PER_FRAME)
        {
            let part = FromNode {
                decisions: all.decisions.drain(..all.decisions.len().min(MAX_ITEMS_PER_FRAME)).collect(),
                seen: all.seen.drain(..all.seen.len().min(MAX_ITEMS_PER_FRAME)).collect(),
                outside: all.outside.drain(..all.outside.len().min(MAX_ITEMS_PER_FRAME)).collect(),
                levels: all.levels.drain(..all.levels.len().min(MAX_ITEMS_PER_FRAME)).collect(),
                ..FromNode::default()
            };
            codec::append_frame(bytes, &part)?;
        }
        if all == FromNode::default() { Ok(()) } else { codec::append_frame(bytes, &all) }
    }
}

/// The listening socket. Dropping it removes the socket's file.
#[derive(Debug)]
pub struct LinkListener {
    listener: UnixListener,
    path: PathBuf,
}

/// Opens the socket; see [`socket::listen`](crate::socket::listen).
///
/// # Errors
/// If the path is in use or cannot be listened at.
pub fn bind(path: &Path) -> Result<LinkListener, String> {
    let listener = crate::socket::listen(path).map_err(|e| format!("link.{e}"))?;
    Ok(LinkListener { listener, path: path.to_path_buf() })
}

impl Drop for LinkListener {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Accepts agents until dropped. At most `max_agents` are connected at once; a further one is sent a bye and
/// closed.
pub async fn serve(listener: LinkListener, handler: Rc<dyn LinkHandler>, max_agents: usize) {
    let connected = Rc::new(Cell::new(0));
    let mut number = 0;
    loop {
        let Ok((stream, _)) = listener.listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if connected.get() >= max_agents {
            let mut bytes = Vec::new();
            let bye = format!("{max_agents} agents are connected already");
            if codec::append_frame(&mut bytes, &FromNode { bye, ..FromNode::default() }).is_ok() {
                let _ = stream.try_write(&bytes);
            }
            continue;
        }
        connected.set(connected.get() + 1);
        number += 1;
        let (peer, handler, connected) = (AgentConnection::new(number), handler.clone(), connected.clone());
        spawn_local(async move {
            let mut welcomed = false;
            let ended = serve_connection(&stream, &peer, &handler, &mut welcomed).await;
            connected.set(connected.get() - 1);
            if welcomed || ended.is_err() {
                handler.agent_disconnected(&peer, ended.err());
            }
        });
    }
}

/// Reads the first frame, or `None` if the agent disconnects before it.
async fn read_hello(stream: &UnixStream, frames: &mut FrameReader) -> Result<Option<ToNode>, String> {
    loop {
        if let Some(first) = frames.next_message::<ToNode>().map_err(|e| e.to_string())? {
            return Ok(Some(first));
        }
        stream.readable().await.map_err(|e| e.to_string())?;
        match stream.try_read_buf(frames.read_buffer()) {
            Ok(0) => return Ok(None),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Ok(None),
        }
    }
}

/// Serves one agent until either side closes the connection. An error says why the agent was disconnected.
async fn serve_connection(
    stream: &UnixStream,
    peer: &Rc<AgentConnection>,
    handler: &Rc<dyn LinkHandler>,
    welcomed: &mut bool,
) -> Result<(), String> {
    let mut frames = FrameReader::default();
    let first = timeout(HELLO_TIMEOUT, read_hello(stream, &mut frames)).await;
    let Some(first) = first.map_err(|_| "it sent no hello in time")?? else { return Ok(()) };
    let Some(hello) = first.hello.clone() else { return Err("its first frame is not a hello".into()) };
    let mut bytes = Vec::new();
    let version = hello.version;
    if version != VERSION {
        let bye = format!("version {version} is not spoken here; {VERSION} is");
        codec::append_frame(&mut bytes, &FromNode { bye, ..FromNode::default() })
            .map_err(|e| e.to_string())?;
        let _ = stream.try_write(&bytes);
        return Err(format!("unsupported link version {version}; this gatekeeper uses {VERSION}"));
    }
    *welcomed = true;
    let welcome = Some(handler.welcome());
    codec::append_frame(&mut bytes, &FromNode { welcome, ..FromNode::default() })
        .map_err(|e| e.to_string())?;
    handler.agent_connected(peer, hello);
    let mut items = UnhandledItems::new(ToNode { hello: None, ..first });
    // Since when the agent has read none of the pending output, and since when a partial frame is buffered.
    let (mut stalled_since, mut partial_since) = (None::<Instant>, None::<Instant>);
    loop {
        peer.encode(&mut bytes).map_err(|e| e.to_string())?;
        if !bytes.is_empty() {
            match stream.try_write(&bytes) {
                Ok(n) => {
                    bytes.drain(..n);
                    stalled_since = None;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Ok(()),
            }
            if bytes.is_empty() && bytes.capacity() > 64 * 1024 {
                bytes = Vec::new();
            }
        }
        peer.unsent_bytes.set(bytes.len());
        stalled_since = if bytes.is_empty() { None } else { stalled_since.or_else(|| Some(Instant::now())) };
        if peer.is_disconnecting.get() {
            return Ok(());
        }
        // An agent that does not read is not read from either: its checks would only add unread decisions.
        let may_read = bytes.len() <= MAX_UNREAD_BYTES;
        if may_read {
            // One frame at a time and a few items per turn, so that clients and workers are served in between.
            if items.handle_some(peer, handler) {
                yield_now().await;
                continue;
            }
            if let Some(next) = frames.next_message::<ToNode>().map_err(|e| e.to_string())? {
                if next.hello.is_some() {
                    return Err("it sent a second hello".into());
                }
                items = UnhandledItems::new(next);
                partial_since = None;
                continue;
            }
        }
        // The agent has the time for the rest of a frame while it is read from.
        let is_partial = may_read && frames.has_partial_frame();
        partial_since = if is_partial { partial_since.or_else(|| Some(Instant::now())) } else { None };
        let deadline =
            [stalled_since, partial_since].into_iter().flatten().min().map(|since| since + STALL_TIMEOUT);
        tokio::select! {
            ready = stream.readable(), if may_read => {
                if ready.is_err() {
                    return Ok(());
                }
                match stream.try_read_buf(frames.read_buffer()) {
                    Ok(0) if frames.has_partial_frame() => return Err("it ended inside a frame".into()),
                    Ok(0) => return Ok(()),
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return Ok(()),
                }
            }
            _ = stream.writable(), if !bytes.is_empty() => {}
            () = peer.wake.notified() => {}
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                return Err(match partial_since {
                    Some(_) => "it did not complete a frame in time".into(),
                    None => format!("it read nothing in time and left {} bytes unread", bytes.len()),
                });
            }
        }
    }
}

/// The items of a frame that are not handled yet.
struct UnhandledItems {
    checks: std::vec::IntoIter<Check>,
    settles: std::vec::IntoIter<Settle>,
    outside: std::vec::IntoIter<OutsideVerdict>,
    use_kept: Vec<UseKept>,
    epochs: Option<Epochs>,
    plans: Option<Plans>,
    zones: Option<ZonesGuide>,
    shut: Option<Shut>,
    levels: std::vec::IntoIter<Level>,
    bye: bool,
}

impl UnhandledItems {
    fn new(frame: ToNode) -> UnhandledItems {
        UnhandledItems {
            checks: frame.checks.into_iter(),
            settles: frame.settles.into_iter(),
            outside: frame.outside.into_iter(),
            use_kept: frame.use_kept,
            epochs: frame.epochs,
            plans: frame.plans,
            zones: frame.zones,
            shut: frame.shut,
            levels: frame.levels.into_iter(),
            bye: !frame.bye.is_empty(),
        }
    }

    /// Handles some of the items. Returns false if there were none.
    fn handle_some(&mut self, peer: &Rc<AgentConnection>, handler: &Rc<dyn LinkHandler>) -> bool {
        let mut done = 0;
        if !self.use_kept.is_empty() {
            handler.usage_acknowledged(peer, &std::mem::take(&mut self.use_kept));
            done += 1;
        }
        // Epochs are applied before the decisions that are fenced by them.
        if let Some(epochs) = self.epochs.take() {
            handler.apply_epochs(peer, epochs);
            done += 1;
        }
        if let Some(plans) = self.plans.take() {
            handler.apply_plans(peer, plans);
            done += 1;
        }
        if let Some(zone_decision) = self.zones.take() {
            handler.apply_zone_decision(peer, zone_decision);
            done += 1;
        }
        if let Some(fenced_off) = self.shut.take() {
            handler.apply_fenced_off(peer, fenced_off);
            done += 1;
        }
        let levels: Vec<Level> = self.levels.by_ref().take(8 * MAX_ITEMS_PER_TURN).collect();
        if !levels.is_empty() {
            handler.restore_levels(peer, &levels);
            return true;
        }
        // Verdicts come before checks: requests wait for them.
        for verdict in self.outside.by_ref().take(MAX_ITEMS_PER_TURN) {
            handler.outside_verdict(peer, verdict);
            done += 1;
        }
        for settle in self.settles.by_ref().take(MAX_ITEMS_PER_TURN.saturating_sub(done)) {
            handler.settle_grant(peer, settle);
            done += 1;
        }
        for check in self.checks.by_ref().take(MAX_ITEMS_PER_TURN.saturating_sub(done)) {
            handler.handle_check(peer, check);
            done += 1;
        }
        // The bye is handled after everything else in its frame.
        if done == 0 && std::mem::take(&mut self.bye) {
            handler.agent_stopping(peer);
            done += 1;
        }
        done > 0
    }
}
