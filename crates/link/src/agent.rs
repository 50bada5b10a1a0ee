//! The agent's side of the link: connects to a gatekeeper's socket, and reconnects with backoff when it ends.
//!
//! [`connect`] returns a [`Link`] for sending and a future that runs the connection. Messages that are queued
//! together go out in one frame. A check without a decision has one of two outcomes: [`CheckError::Unsent`]
//! never reached the gatekeeper and may be sent to another; [`CheckError::InDoubt`] may or may not have been
//! charged.

use crate::VERSION;
use crate::codec::{self, FrameReader};
use crate::proto::{
    Acts, Check, Decision, Epochs, FromNode, Hello, Level, OutsideAsk, OutsideState, OutsideVerdict, Plans,
    PlansTaken, Refused, Seen, Settle, Shut, ToNode, UseBatch, UseKept, Welcome, ZonesGuide, ZonesSeen,
};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// The first pause before a reconnect; it doubles up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How long the agent waits for a gatekeeper's welcome.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// A gatekeeper that has undecided checks and sends nothing for this long gets no further checks until it
/// sends again.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages that go into one frame: such a frame stays far below the longest one.
const MAX_MESSAGES_PER_FRAME: usize = 1000;
/// Levels that go into one frame.
const MAX_LEVELS_PER_FRAME: usize = 4000;
/// While this many bytes are unsent, no more messages are taken from the queue.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// What the agent announces to the gatekeeper, and how it connects.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// The gatekeeper's socket.
    pub socket: PathBuf,
    /// The agent's name, for the gatekeeper's log.
    pub peer: String,
    /// Whether this agent consults an outside service.
    pub outside: bool,
    /// Whether it records usage and levels.
    pub record: bool,
    /// Whether it receives zone observations.
    pub zones: bool,
    /// Whether it receives the versions that the gatekeeper applies.
    pub audit: bool,
    /// Checks that may be undecided at once.
    pub max_in_flight: usize,
}

/// Why a check has no decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckError {
    /// It never reached the gatekeeper: nothing is charged, and another gatekeeper may be asked.
    Unsent,
    /// It may have reached the gatekeeper and may have been charged.
    InDoubt,
    /// Too many checks are undecided: nothing is charged.
    Busy,
}

/// What a link reports: changes of the connection, and messages of the gatekeeper.
#[derive(Debug)]
pub enum LinkEvent {
    /// The gatekeeper has accepted the connection. May be missing if the queue of events was full; what was
    /// received on the connection carries its welcome.
    Connected(Arc<Welcome>),
    /// The connection has ended, or cannot be made; with the reason.
    Disconnected(String),
    /// A message, with the welcome of the process that sent it. Indexes and numbers in the message are
    /// meaningful only together with that welcome: another process may have other lists of plans and classes,
    /// and numbers from 1 again.
    Message(Arc<Welcome>, GatekeeperMessage),
}

/// What a gatekeeper sends on its own.
#[derive(Debug)]
pub enum GatekeeperMessage {
    /// A shop's gatekeeper set as the gatekeeper saw it in a request.
    ShopSet(Seen),
    /// An outside service is to be asked; the verdict goes to [`Link::send_verdict`].
    OutsideRequest(OutsideAsk),
    /// The state of the circuit breaker in front of the outside service.
    BreakerState(OutsideState),
    /// Usage, to be stored durably and then acknowledged with [`Link::acknowledge_usage`].
    UsageBatch(UseBatch),
    /// Levels of token buckets.
    TokenLevels(Vec<Level>),
    /// The result of [`Link::send_plans`].
    PlansTaken(PlansTaken),
    /// A decision on behalf of the fleet that the gatekeeper's fence refused.
    FenceRefused(Refused),
    /// A zone observation.
    ZoneObservation(ZonesSeen),
    /// The versions that the gatekeeper applies.
    AppliedVersions(Acts),
    /// The reply to [`Link::announce_stop`]: the batches up to this number hold all usage until then.
    UsageReported(u64),
}

/// A message that waits to be sent to the gatekeeper. One with a welcome refers to lists or numbers of that
/// process and is sent on no other connection.
enum Outgoing {
    Check(Arc<Welcome>, Check, oneshot::Sender<Result<Decision, CheckError>>),
    Settle(Settle),
    Verdict(Arc<Welcome>, OutsideVerdict),
    UsageAcknowledged(UseKept),
    Plans(Plans),
    Epochs(Epochs),
    Zones(ZonesGuide),
    FencedOff(Shut),
    Levels(Arc<Welcome>, Vec<Level>),
    Bye,
}

/// State that [`Link`] and the connection's future share.
struct Shared {
    welcome: RwLock<Option<Arc<Welcome>>>,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
    max_in_flight: usize,
    created_at: Instant,
    /// Since when, in ms from `created_at`, checks are undecided and nothing was received; 0 where that is
    /// not the case.
    unanswered_since_ms: AtomicU64,
    next_id: AtomicU64,
}

impl Shared {
    fn now(&self) -> u64 {
        u64::try_from(self.created_at.elapsed().as_millis()).unwrap_or(u64::MAX).max(1)
    }

    fn set_welcome(&self, welcome: Option<Arc<Welcome>>) {
        *self.welcome.write().unwrap_or_else(std::sync::PoisonError::into_inner) = welcome;
    }
}

/// A handle for sending to one gatekeeper. No method waits for room in the queue: if it is full, a check
/// fails with [`CheckError::Busy`], and any other message is dropped.
#[derive(Clone)]
pub struct Link {
    outgoing: mpsc::Sender<Outgoing>,
    shared: Arc<Shared>,
}

impl Link {
    /// The gatekeeper's welcome, while it is connected.
    #[must_use]
    pub fn welcome(&self) -> Option<Arc<Welcome>> {
        self.shared.welcome.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Whether the gatekeeper is connected, is not stopping and is not silent over undecided checks.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let since = self.shared.unanswered_since_ms.load(Ordering::Relaxed);
        let silent =
            since > 0 && self.shared.now().saturating_sub(since) > SILENCE_TIMEOUT.as_millis() as u64;
        !silent && !self.shared.stopping.load(Ordering::Relaxed) && self.welcome().is_some()
    }

    /// The number of undecided checks.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Sends a check to the process of this welcome and waits for the decision. Returns the check's id with
    /// it, so that a held grant can be settled. A caller that stops waiting must assume that the check was
    /// charged.
    ///
    /// # Errors
    /// If there is no decision; see [`CheckError`].
    pub async fn check(&self, to: &Arc<Welcome>, mut check: Check) -> Result<(u64, Decision), CheckError> {
        if self.welcome().is_none_or(|welcome| !Arc::ptr_eq(&welcome, to)) {
            return Err(CheckError::Unsent);
        }
        let shared = &self.shared;
        if shared.in_flight.fetch_add(1, Ordering::Relaxed) >= shared.max_in_flight {
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
            return Err(CheckError::Busy);
        }
        let id = shared.next_id.fetch_add(1, Ordering::Relaxed);
        check.id = id;
        let (reply_sender, reply) = oneshot::channel();
        if self.outgoing.try_send(Outgoing::Check(to.clone(), check, reply_sender)).is_err() {
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
            return Err(CheckError::Busy);
        }
        reply.await.unwrap_or(Err(CheckError::InDoubt)).map(|decision| (id, decision))
    }

    /// Settles a held grant: `keep` says whether it is used. A grant that is never settled counts as used.
    pub fn settle(&self, id: u64, keep: bool) {
        let _ = self.outgoing.try_send(Outgoing::Settle(Settle { id, keep }));
    }

    /// Acknowledges usage batches that are stored durably. A batch without acknowledgement is sent again.
    pub fn acknowledge_usage(&self, started_ms: u64, seqs: Vec<u64>) {
        let _ = self.outgoing.try_send(Outgoing::UsageAcknowledged(UseKept { started_ms, seqs }));
    }

    /// Sends the limits of the plans.
    pub fn send_plans(&self, plans: Plans) {
        let _ = self.outgoing.try_send(Outgoing::Plans(plans));
    }

    /// Sends the current epochs of duties, as the council gave them.
    pub fn send_epochs(&self, epochs: Epochs) {
        let _ = self.outgoing.try_send(Outgoing::Epochs(epochs));
    }

    /// Sends the zone decision, or renews it.
    pub fn send_zone_decision(&self, zone_decision: ZonesGuide) {
        let _ = self.outgoing.try_send(Outgoing::Zones(zone_decision));
    }

    /// Sends which gatekeepers are fenced off, or renews that decision.
    pub fn send_fenced_off(&self, fenced_off: Shut) {
        let _ = self.outgoing.try_send(Outgoing::FencedOff(fenced_off));
    }

    /// Sends the bucket levels that the gatekeeper's previous process had, to be restored by the process of
    /// this welcome.
    pub fn send_levels(&self, to: &Arc<Welcome>, levels: &[Level]) {
        for part in levels.chunks(MAX_LEVELS_PER_FRAME) {
            let _ = self.outgoing.try_send(Outgoing::Levels(to.clone(), part.to_vec()));
        }
    }

    /// Announces that this agent stops. The gatekeeper reports its usage so far and then sends the number of
    /// the last batch, which arrives as [`GatekeeperMessage::UsageReported`].
    pub fn announce_stop(&self) {
        let _ = self.outgoing.try_send(Outgoing::Bye);
    }

    /// Whether the gatekeeper has announced that it stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shared.stopping.load(Ordering::Relaxed)
    }

    /// Sends the verdict of an outside service to the process of this welcome, which asked for it. It is
    /// dropped if the connection has ended: each process numbers its calls by itself.
    pub fn send_verdict(&self, to: &Arc<Welcome>, verdict: OutsideVerdict) {
        let _ = self.outgoing.try_send(Outgoing::Verdict(to.clone(), verdict));
    }
}

/// Creates a link and the future that keeps it connected, which ends when the link is dropped. Events are
/// dropped while the channel is full. A dropped usage batch is sent again; a dropped request to an outside
/// service counts as failed.
pub fn connect(
    options: LinkOptions,
    events: mpsc::Sender<LinkEvent>,
) -> (Link, impl Future<Output = ()> + Send) {
    let (outgoing, receiver) = mpsc::channel(options.max_in_flight * 2 + 64);
    let shared = Arc::new(Shared {
        welcome: RwLock::default(),
        stopping: AtomicBool::new(false),
        in_flight: AtomicUsize::new(0),
        max_in_flight: options.max_in_flight,
        created_at: Instant::now(),
        unanswered_since_ms: AtomicU64::new(0),
        next_id: AtomicU64::new(1),
    });
    let link = Link { outgoing, shared: shared.clone() };
    (link, run_link(options, receiver, shared, events))
}

/// Connects, runs the session and reconnects with backoff until all handles are dropped.
async fn run_link(
    options: LinkOptions,
    mut outgoing: mpsc::Receiver<Outgoing>,
    shared: Arc<Shared>,
    events: mpsc::Sender<LinkEvent>,
) {
    let mut backoff = MIN_BACKOFF;
    let mut last_error = String::new();
    loop {
        let mut session = Session {
            shared: &shared,
            events: &events,
            welcome: None,
            undecided: HashMap::new(),
            unwritten: VecDeque::new(),
        };
        let ended = session.run(&options, &mut outgoing).await;
        shared.set_welcome(None);
        shared.unanswered_since_ms.store(0, Ordering::Relaxed);
        shared.stopping.store(false, Ordering::Relaxed);
        session.fail_undecided(&mut outgoing);
        let Err((why, linked)) = ended else { return };
        if linked {
            backoff = MIN_BACKOFF;
        }
        if linked || why != last_error {
            last_error.clone_from(&why);
            let _ = events.try_send(LinkEvent::Disconnected(why));
        }
        // While there is no connection, checks fail at once.
        let pause = sleep(backoff);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                message = outgoing.recv() => match message {
                    Some(message) => fail_unsent(&shared, message),
                    None => return,
                }
            }
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Fails a check that was not sent; other messages are dropped.
fn fail_unsent(shared: &Shared, message: Outgoing) {
    if let Outgoing::Check(_, _, reply_sender) = message {
        shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        let _ = reply_sender.send(Err(CheckError::Unsent));
    }
}

/// One connection.
struct Session<'a> {
    shared: &'a Shared,
    events: &'a mpsc::Sender<LinkEvent>,
    /// The welcome of the process at the other end, once it has accepted the connection.
    welcome: Option<Arc<Welcome>>,
    /// Undecided checks by id.
    undecided: HashMap<u64, oneshot::Sender<Result<Decision, CheckError>>>,
    /// For each frame that the socket has not accepted whole: the bytes that remain, and the ids of its
    /// checks.
    unwritten: VecDeque<(usize, Vec<u64>)>,
}

impl Session<'_> {
    /// Runs until the connection ends. An error holds the reason, and whether the gatekeeper had accepted the
    /// connection. `Ok` means that all handles are dropped.
    async fn run(
        &mut self,
        options: &LinkOptions,
        outgoing: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), (String, bool)> {
        let stream = UnixStream::connect(&options.socket)
            .await
            .map_err(|e| (format!("cannot connect to {}: {e}", options.socket.display()), false))?;
        let mut bytes = Vec::new();
        let LinkOptions { outside, record, zones, audit, .. } = *options;
        let hello = Hello { version: VERSION, peer: options.peer.clone(), outside, record, zones, audit };
        codec::append_frame(&mut bytes, &ToNode { hello: Some(hello), ..ToNode::default() })
            .map_err(|e| (e.to_string(), false))?;
        let mut frames = FrameReader::default();
        let first = timeout(WELCOME_TIMEOUT, exchange_hello(&stream, &mut bytes, &mut frames)).await;
        let first = first.map_err(|_| ("the gatekeeper sent no welcome in time".to_string(), false))?;
        let mut first = first.map_err(|e| (e, false))?;
        let Some(welcome) = first.welcome.take().map(Arc::new) else {
            return Err((format!("the gatekeeper sent no welcome: {}", printable(&first.bye)), false));
        };
        self.welcome = Some(welcome.clone());
        self.shared.set_welcome(Some(welcome.clone()));
        let _ = self.events.try_send(LinkEvent::Connected(welcome));
        self.handle_frame(first);
        self.run_connected(&stream, bytes, frames, outgoing).await.map_err(|why| (why, true))
    }

    /// Exchanges frames after the welcome.
    async fn run_connected(
        &mut self,
        stream: &UnixStream,
        mut bytes: Vec<u8>,
        mut frames: FrameReader,
        outgoing: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), String> {
        let mut batch = Vec::with_capacity(MAX_MESSAGES_PER_FRAME);
        loop {
            while let Some(frame) = frames.next_message::<FromNode>().map_err(|e| e.to_string())? {
                self.handle_frame(frame);
            }
            if !bytes.is_empty() {
                match stream.try_write(&bytes) {
                    Ok(n) => {
                        bytes.drain(..n);
                        self.record_written(n);
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e.to_string()),
                }
            }
            tokio::select! {
                count = outgoing.recv_many(&mut batch, MAX_MESSAGES_PER_FRAME), if bytes.len() < MAX_UNSENT_BYTES => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.append_outgoing(&mut bytes, batch.drain(..))?;
                }
                ready = stream.readable() => {
                    ready.map_err(|e| e.to_string())?;
                    match stream.try_read_buf(frames.read_buffer()) {
                        Ok(0) => return Err("the gatekeeper closed the connection".into()),
                        Ok(_) => {}
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        Err(e) => return Err(e.to_string()),
                    }
                }
                _ = stream.writable(), if !bytes.is_empty() => {}
            }
        }
    }

    /// Encodes messages into one frame; levels go into frames of their own.
    fn append_outgoing(
        &mut self,
        bytes: &mut Vec<u8>,
        outgoing: impl Iterator<Item = Outgoing>,
    ) -> Result<(), String> {
        let mut frame = ToNode::default();
        for message in outgoing {
            match message {
                // The caller has stopped waiting before the check was sent: nothing need be charged.
                Outgoing::Check(_, _, reply_sender) if reply_sender.is_closed() => {
                    self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
                }
                // Made for a connection that has ended since.
                Outgoing::Check(ref to, ..) | Outgoing::Verdict(ref to, _) | Outgoing::Levels(ref to, _)
                    if !self.is_connected_to(to) =>
                {
                    fail_unsent(self.shared, message);
                }
                Outgoing::Check(_, check, reply_sender) => {
                    self.undecided.insert(check.id, reply_sender);
                    frame.checks.push(check);
                }
                Outgoing::Settle(settle) => frame.settles.push(settle),
                Outgoing::Verdict(_, verdict) => frame.outside.push(verdict),
                Outgoing::UsageAcknowledged(numbers) => frame.use_kept.push(numbers),
                Outgoing::Plans(plans) => frame.plans = Some(plans),
                Outgoing::Zones(zone_decision) => frame.zones = Some(zone_decision),
                Outgoing::FencedOff(fenced_off) => frame.shut = Some(fenced_off),
                // Epochs that answer a nonce are not replaced by epochs that do not.
                Outgoing::Epochs(epochs) => {
                    let before = frame.epochs.take().filter(|b| epochs.nonce == 0 && b.nonce != 0);
                    frame.epochs = Some(before.unwrap_or(epochs));
                }
                Outgoing::Bye => frame.bye = "the agent stops".into(),
                // Levels fill a frame by themselves.
                Outgoing::Levels(_, levels) => {
                    let alone = ToNode { levels, ..ToNode::default() };
                    let before = bytes.len();
                    codec::append_frame(bytes, &alone).map_err(|e| e.to_string())?;
                    self.unwritten.push_back((bytes.len() - before, Vec::new()));
                }
            }
        }
        if frame == ToNode::default() {
            return Ok(());
        }
        if !frame.checks.is_empty() && self.shared.unanswered_since_ms.load(Ordering::Relaxed) == 0 {
            self.shared.unanswered_since_ms.store(self.shared.now(), Ordering::Relaxed);
        }
        let before = bytes.len();
        codec::append_frame(bytes, &frame).map_err(|e| e.to_string())?;
        self.unwritten.push_back((bytes.len() - before, frame.checks.iter().map(|c| c.id).collect()));
        Ok(())
    }

    /// Whether the process at the other end sent this welcome, on this connection.
    fn is_connected_to(&self, welcome: &Arc<Welcome>) -> bool {
        self.welcome.as_ref().is_some_and(|own| Arc::ptr_eq(own, welcome))
    }

    /// Queues a message of the gatekeeper for the receiver of events. Dropped if the queue is full.
    fn pass_on(&self, message: GatekeeperMessage) {
        if let Some(welcome) = &self.welcome {
            let _ = self.events.try_send(LinkEvent::Message(welcome.clone(), message));
        }
    }

    /// Records that the socket accepted `n` bytes.
    fn record_written(&mut self, mut n: usize) {
        while n > 0
            && let Some((remaining, _)) = self.unwritten.front_mut()
        {
            let written = n.min(*remaining);
            *remaining -= written;
            n -= written;
            if *remaining == 0 {
                self.unwritten.pop_front();
            }
        }
    }

    /// Completes checks and passes on events.
    fn handle_frame(&mut self, frame: FromNode) {
        for decision in frame.decisions {
            if let Some(reply_sender) = self.undecided.remove(&decision.id) {
                self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
                let _ = reply_sender.send(Ok(decision));
            }
        }
        let since = if self.undecided.is_empty() { 0 } else { self.shared.now() };
        self.shared.unanswered_since_ms.store(since, Ordering::Relaxed);
        if !frame.bye.is_empty() {
            self.shared.stopping.store(true, Ordering::Relaxed);
        }
        for seen in frame.seen {
            self.pass_on(GatekeeperMessage::ShopSet(seen));
        }
        for ask in frame.outside {
            // If it is dropped, it times out at the gatekeeper and counts as failed there.
            self.pass_on(GatekeeperMessage::OutsideRequest(ask));
        }
        for state in frame.outside_states {
            self.pass_on(GatekeeperMessage::BreakerState(state));
        }
        for batch in frame.r#use {
            // If it is dropped, it is not acknowledged, and the gatekeeper sends it again.
            self.pass_on(GatekeeperMessage::UsageBatch(batch));
        }
        if !frame.levels.is_empty() {
            self.pass_on(GatekeeperMessage::TokenLevels(frame.levels));
        }
        if let Some(taken) = frame.plans_taken {
            self.pass_on(GatekeeperMessage::PlansTaken(taken));
        }
        for refused in frame.refused {
            self.pass_on(GatekeeperMessage::FenceRefused(refused));
        }
        if let Some(seen) = frame.zones {
            self.pass_on(GatekeeperMessage::ZoneObservation(seen));
        }
        if let Some(acts) = frame.acts {
            self.pass_on(GatekeeperMessage::AppliedVersions(acts));
        }
        if let Some(number) = frame.reported {
            self.pass_on(GatekeeperMessage::UsageReported(number));
        }
    }

    /// Fails all undecided checks: as unsent where the frame was not written whole, else as in doubt.
    fn fail_undecided(&mut self, outgoing: &mut mpsc::Receiver<Outgoing>) {
        let unsent: Vec<u64> = self.unwritten.drain(..).flat_map(|(_, ids)| ids).collect();
        for id in unsent {
            if let Some(reply_sender) = self.undecided.remove(&id) {
                self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
                let _ = reply_sender.send(Err(CheckError::Unsent));
            }
        }
        for (_, reply_sender) in self.undecided.drain() {
            self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = reply_sender.send(Err(CheckError::InDoubt));
        }
        while let Ok(message) = outgoing.try_recv() {
            fail_unsent(self.shared, message);
        }
    }
}

/// Writes the hello and waits for the first frame.
async fn exchange_hello(
    stream: &UnixStream,
    bytes: &mut Vec<u8>,
    frames: &mut FrameReader,
) -> Result<FromNode, String> {
    loop {
        if !bytes.is_empty() {
            stream.writable().await.map_err(|e| e.to_string())?;
            match stream.try_write(bytes) {
                Ok(n) => drop(bytes.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.to_string()),
            }
            continue;
        }
        if let Some(frame) = frames.next_message::<FromNode>().map_err(|e| e.to_string())? {
            return Ok(frame);
        }
        stream.readable().await.map_err(|e| e.to_string())?;
        match stream.try_read_buf(frames.read_buffer()) {
            Ok(0) => return Err("the gatekeeper closed the connection before its welcome".into()),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// A peer's text without control characters and at most 200 characters long, for the log.
fn printable(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(200).collect()
}
