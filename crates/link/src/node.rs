//! The gatekeeper's end: it listens at a Unix socket, takes batches in and gives batches out. All on the thread of
//! the gatekeeper, which never waits here: what an agent does not take is held up to a bound, then it is cut off.

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

/// An agent says who it is within this time.
const HELLO: Duration = Duration::from_secs(2);
/// A frame once begun, and what is to be taken, may stand still this long.
const STALL: Duration = Duration::from_secs(5);
/// Bytes that an agent has not taken; past this it is cut off.
pub const MAX_UNREAD_BYTES: usize = 1 << 20;
/// So many items of a batch at one stroke, then others have their turn.
const STROKE: usize = 32;
/// About what one item takes once it is encoded, for those that are not yet.
const ITEM: usize = 40;
/// Items that go into one frame at the most: well below the longest frame.
const BATCH: usize = 2000;

/// What the gatekeeper does with what comes in. Called on its own thread, and never waited for.
pub trait LinkHandler {
    /// What this gatekeeper says of itself.
    fn welcome(&self) -> Welcome;
    /// An agent has come, and has been welcomed.
    fn agent_connected(&self, peer: &Rc<AgentConnection>, hello: Hello);
    /// May a shop have units? The answer goes to [`AgentConnection::send_decision`], now or later.
    fn handle_check(&self, peer: &Rc<AgentConnection>, check: Check);
    /// What became of a held grant.
    fn settle_grant(&self, peer: &Rc<AgentConnection>, settle: Settle);
    /// What an outside service said.
    fn outside_verdict(&self, peer: &Rc<AgentConnection>, verdict: OutsideVerdict);
    /// Batches of use that are kept durably.
    fn usage_acknowledged(&self, peer: &Rc<AgentConnection>, kept: &[UseKept]);
    /// The plans' figures have changed.
    fn apply_plans(&self, peer: &Rc<AgentConnection>, plans: Plans);
    /// What the council says of duties' epochs.
    fn apply_epochs(&self, peer: &Rc<AgentConnection>, epochs: Epochs);
    /// What was decided on zones.
    fn apply_zone_decision(&self, peer: &Rc<AgentConnection>, guide: ZonesGuide);
    /// Who is shut out.
    fn apply_fenced_off(&self, peer: &Rc<AgentConnection>, shut: Shut);
    /// What stores held in a former life.
    fn restore_levels(&self, peer: &Rc<AgentConnection>, levels: &[Level]);
    /// The agent stops: use so far is reported to it, and then [`AgentConnection::send_usage_reported`].
    fn agent_stopping(&self, peer: &Rc<AgentConnection>);
    /// The agent has gone, or was cut off. `why` is there where it is worth a line in the log.
    fn agent_disconnected(&self, peer: &Rc<AgentConnection>, why: Option<String>);
}

/// One agent's connection.
pub struct AgentConnection {
    /// Told apart from all others of this process.
    pub number: u64,
    next: RefCell<FromNode>,
    items: Cell<usize>,
    unread: Cell<usize>,
    wake: Notify,
    overfull: Cell<bool>,
    ending: Cell<bool>,
}

impl AgentConnection {
    fn new(number: u64) -> Rc<AgentConnection> {
        Rc::new(AgentConnection {
            number,
            next: RefCell::default(),
            items: Cell::new(0),
            unread: Cell::new(0),
            wake: Notify::new(),
            overfull: Cell::new(false),
            ending: Cell::new(false),
        })
    }

    /// Puts something into the next batch. False if the agent takes too little: then it is being cut off.
    fn push(&self, size: usize, put: impl FnOnce(&mut FromNode)) -> bool {
        let items = self.items.get();
        if self.unread.get() + items * ITEM + size > MAX_UNREAD_BYTES {
            self.overfull.set(true);
        }
        if !self.overfull.get() {
            put(&mut self.next.borrow_mut());
            self.items.set(items + 1);
        }
        if items == 0 || self.overfull.get() {
            self.wake.notify_one();
        }
        !self.overfull.get()
    }

    /// Answers a check.
    pub fn send_decision(&self, decision: Decision) {
        self.push(decision.error.len(), |next| next.decisions.push(decision));
    }

    /// Tells of a shop's set.
    pub fn send_shop_set(&self, seen: Seen) {
        self.push(0, |next| next.seen.push(seen));
    }

    /// Asks an outside service. False if the agent takes nothing.
    pub fn send_outside_request(&self, ask: OutsideAsk) -> bool {
        self.push(0, |next| next.outside.push(ask))
    }

    /// Tells of the breaker.
    pub fn send_breaker_state(&self, state: OutsideState) {
        self.push(0, |next| next.outside_states.push(state));
    }

    /// Reports use. What an agent does not take it does not acknowledge, so it is reported again.
    pub fn send_usage(&self, batch: UseBatch) {
        self.push(48 * batch.lines.len(), |next| next.r#use.push(batch));
    }

    /// Tells what a store holds.
    pub fn send_level(&self, level: Level) {
        self.push(0, |next| next.levels.push(level));
    }

    /// Says that a decision was not taken.
    pub fn send_refused(&self, refused: Refused) {
        self.push(refused.duty.len() + refused.owner.len(), |next| next.refused.push(refused));
    }

    /// Answers plans.
    pub fn send_plans_taken(&self, taken: PlansTaken) {
        self.push(64 * taken.plans.len() + taken.error.len(), |next| next.plans_taken = Some(taken));
    }

    /// Tells what was seen of zones. What an agent has not taken yet gives way to it: what it held is lost, which evidence may
    /// be.
    pub fn send_zone_observation(&self, seen: ZonesSeen) {
        let size = 64 * (seen.lines.len() + seen.places.len());
        self.push(size, |next| next.zones = Some(seen));
    }

    /// Tells what this gatekeeper acts on. What an agent has not taken yet gives way to it.
    pub fn send_applied_versions(&self, acts: Acts) {
        self.push(96 * acts.versions.len(), |next| next.acts = Some(acts));
    }

    /// Tells an agent that stops how far the batches go that were reported.
    pub fn send_usage_reported(&self, number: u64) {
        self.push(0, |next| next.reported = Some(number));
    }

    /// What the agent has not taken, in bytes, about.
    #[must_use]
    pub fn unread_bytes(&self) -> usize {
        self.unread.get() + self.items.get() * ITEM
    }

    /// Says that the gatekeeper stops; what is in hand is still answered.
    pub fn send_bye(&self, why: &str) {
        self.push(why.len(), |next| next.bye = why.to_string());
    }

    /// Cuts it off.
    pub fn disconnect(&self) {
        self.ending.set(true);
        self.wake.notify_one();
    }

    /// Encodes what has been put together. Long batches are parted.
    fn encode(&self, bytes: &mut Vec<u8>) -> Result<(), codec::FrameError> {
        let mut all = std::mem::take(&mut *self.next.borrow_mut());
        if self.items.replace(0) == 0 {
            return Ok(());
        }
        // A batch of use may fill a frame by itself.
        for batch in std::mem::take(&mut all.r#use) {
            codec::append_frame(bytes, &FromNode { r#use: vec![batch], ..FromNode::default() })?;
        }
        while [all.decisions.len(), all.seen.len(), all.outside.len(), all.levels.len()]
            .iter()
            .any(|n| *n > BATCH)
        {
            let part = FromNode {
                decisions: all.decisions.drain(..all.decisions.len().min(BATCH)).collect(),
                seen: all.seen.drain(..all.seen.len().min(BATCH)).collect(),
                outside: all.outside.drain(..all.outside.len().min(BATCH)).collect(),
                levels: all.levels.drain(..all.levels.len().min(BATCH)).collect(),
                ..FromNode::default()
            };
            codec::append_frame(bytes, &part)?;
        }
        if all == FromNode::default() { Ok(()) } else { codec::append_frame(bytes, &all) }
    }
}

/// The listening socket; its file goes with it.
#[derive(Debug)]
pub struct LinkListener {
    listener: UnixListener,
    path: PathBuf,
}

/// Opens the socket; see [`socket::listen`](crate::socket::listen).
///
/// # Errors
/// With what stands in the way.
pub fn bind(path: &Path) -> Result<LinkListener, String> {
    let listener = crate::socket::listen(path).map_err(|e| format!("link.{e}"))?;
    Ok(LinkListener { listener, path: path.to_path_buf() })
}

impl Drop for LinkListener {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Takes agents in until dropped, `most` of them at once; one more is told so and closed.
pub async fn serve(door: LinkListener, host: Rc<dyn LinkHandler>, most: usize) {
    let inside = Rc::new(Cell::new(0));
    let mut number = 0;
    loop {
        let Ok((stream, _)) = door.listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if inside.get() >= most {
            let mut bytes = Vec::new();
            let bye = format!("{most} agents are connected already");
            if codec::append_frame(&mut bytes, &FromNode { bye, ..FromNode::default() }).is_ok() {
                let _ = stream.try_write(&bytes);
            }
            continue;
        }
        inside.set(inside.get() + 1);
        number += 1;
        let (peer, host, inside) = (AgentConnection::new(number), host.clone(), inside.clone());
        spawn_local(async move {
            let mut welcomed = false;
            let ended = talk(&stream, &peer, &host, &mut welcomed).await;
            inside.set(inside.get() - 1);
            if welcomed || ended.is_err() {
                host.agent_disconnected(&peer, ended.err());
            }
        });
    }
}

/// The first frame: who speaks, and which version.
async fn greet(stream: &UnixStream, frames: &mut FrameReader) -> Result<Option<ToNode>, String> {
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

/// Serves one agent until either side ends it. An error says why the agent was cut off.
async fn talk(
    stream: &UnixStream,
    peer: &Rc<AgentConnection>,
    host: &Rc<dyn LinkHandler>,
    welcomed: &mut bool,
) -> Result<(), String> {
    let mut frames = FrameReader::default();
    let first = timeout(HELLO, greet(stream, &mut frames)).await;
    let Some(first) = first.map_err(|_| "it did not say who it is in time")?? else { return Ok(()) };
    let Some(hello) = first.hello.clone() else { return Err("its first frame is no hello".into()) };
    let mut bytes = Vec::new();
    let version = hello.version;
    if version != VERSION {
        let bye = format!("version {version} is not spoken here; {VERSION} is");
        codec::append_frame(&mut bytes, &FromNode { bye, ..FromNode::default() })
            .map_err(|e| e.to_string())?;
        let _ = stream.try_write(&bytes);
        return Err(format!("it speaks version {version}, this gatekeeper {VERSION}"));
    }
    *welcomed = true;
    let welcome = Some(host.welcome());
    codec::append_frame(&mut bytes, &FromNode { welcome, ..FromNode::default() })
        .map_err(|e| e.to_string())?;
    host.agent_connected(peer, hello);
    let mut work = Work::of(ToNode { hello: None, ..first });
    // Since when the agent has taken nothing of what it should; since when a frame is half here.
    let (mut stuck, mut half) = (None::<Instant>, None::<Instant>);
    loop {
        if peer.overfull.get() {
            return Err(format!("it left more than {MAX_UNREAD_BYTES} bytes unread"));
        }
        peer.encode(&mut bytes).map_err(|e| e.to_string())?;
        if !bytes.is_empty() {
            match stream.try_write(&bytes) {
                Ok(n) => {
                    bytes.drain(..n);
                    stuck = None;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Ok(()),
            }
            if bytes.is_empty() && bytes.capacity() > 64 * 1024 {
                bytes = Vec::new();
            }
        }
        peer.unread.set(bytes.len());
        stuck = if bytes.is_empty() { None } else { stuck.or_else(|| Some(Instant::now())) };
        if peer.ending.get() {
            return Ok(());
        }
        // One frame at a time, a few items at one stroke: clients and workers come in between.
        if work.stroke(peer, host) {
            yield_now().await;
            continue;
        }
        if let Some(next) = frames.next_message::<ToNode>().map_err(|e| e.to_string())? {
            if next.hello.is_some() {
                return Err("it said hello twice".into());
            }
            work = Work::of(next);
            half = None;
            continue;
        }
        half = if frames.has_partial_frame() { half.or_else(|| Some(Instant::now())) } else { None };
        let limit = [stuck, half].into_iter().flatten().min().map(|since| since + STALL);
        tokio::select! {
            ready = stream.readable() => {
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
            () = sleep_until(limit.unwrap_or_else(Instant::now)), if limit.is_some() => {
                return Err(if half.is_some() { "a frame stood half sent" } else { "it took nothing in time" }.into());
            }
        }
    }
}

/// What is left of a frame.
struct Work {
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

impl Work {
    fn of(frame: ToNode) -> Work {
        Work {
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

    /// Does some of it. False if there was none.
    fn stroke(&mut self, peer: &Rc<AgentConnection>, host: &Rc<dyn LinkHandler>) -> bool {
        let mut done = 0;
        if !self.use_kept.is_empty() {
            host.usage_acknowledged(peer, &std::mem::take(&mut self.use_kept));
            done += 1;
        }
        // Before what was decided under them.
        if let Some(epochs) = self.epochs.take() {
            host.apply_epochs(peer, epochs);
            done += 1;
        }
        if let Some(plans) = self.plans.take() {
            host.apply_plans(peer, plans);
            done += 1;
        }
        if let Some(guide) = self.zones.take() {
            host.apply_zone_decision(peer, guide);
            done += 1;
        }
        if let Some(shut) = self.shut.take() {
            host.apply_fenced_off(peer, shut);
            done += 1;
        }
        let levels: Vec<Level> = self.levels.by_ref().take(8 * STROKE).collect();
        if !levels.is_empty() {
            host.restore_levels(peer, &levels);
            return true;
        }
        // Verdicts first: requests wait for them.
        for verdict in self.outside.by_ref().take(STROKE) {
            host.outside_verdict(peer, verdict);
            done += 1;
        }
        for settle in self.settles.by_ref().take(STROKE.saturating_sub(done)) {
            host.settle_grant(peer, settle);
            done += 1;
        }
        for check in self.checks.by_ref().take(STROKE.saturating_sub(done)) {
            host.handle_check(peer, check);
            done += 1;
        }
        // After all else that came with it.
        if done == 0 && std::mem::take(&mut self.bye) {
            host.agent_stopping(peer);
            done += 1;
        }
        done > 0
    }
}
