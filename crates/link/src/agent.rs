//! The agent's end: it connects to a gatekeeper's socket, and connects again whenever that ends.
//!
//! [`connect`] gives a [`Link`] to ask through and a future that does the work. Checks go out in batches, as many
//! as wait together. What a check that got no answer may have done is told apart: [`CheckError::Unsent`] never reached the
//! gatekeeper and may be asked elsewhere; [`CheckError::InDoubt`] may have been charged, and may not.

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

const BACKOFF_LEAST: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// A gatekeeper welcomes within this time.
const WELCOME: Duration = Duration::from_secs(2);
/// A gatekeeper that has checks in hand and says nothing for so long is not asked further until it speaks.
const SILENT: Duration = Duration::from_millis(500);
/// Orders that go into one frame: far below the longest frame.
const BATCH: usize = 1000;
/// Levels that go into one frame.
const LEVELS: usize = 4000;
/// While so many bytes wait to be taken, no more orders are.
const AHEAD: usize = 64 * 1024;

/// What the link is told.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// The gatekeeper's socket.
    pub socket: PathBuf,
    /// Who asks, for the gatekeeper's log.
    pub peer: String,
    /// Whether this agent asks an outside service.
    pub outside: bool,
    /// Whether it keeps use and levels.
    pub record: bool,
    /// Whether it takes what is seen of zones.
    pub zones: bool,
    /// Whether it takes what the gatekeeper acts on.
    pub audit: bool,
    /// Checks in hand at once.
    pub max_in_flight: usize,
}

/// Why a check has no decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckError {
    /// It never reached the gatekeeper: nothing is charged, another may be asked.
    Unsent,
    /// The gatekeeper may have had it, and may have charged it.
    InDoubt,
    /// Too many are in hand: nothing is charged.
    Busy,
}

/// What comes without being asked for.
#[derive(Debug)]
pub enum LinkEvent {
    /// Linked.
    Connected(Arc<Welcome>),
    /// The link has ended, with why.
    Disconnected(String),
    /// A shop's set as the gatekeeper saw it.
    ShopSet(Seen),
    /// An outside service is to be asked; the verdict goes to [`Link::send_verdict`].
    OutsideRequest(OutsideAsk),
    /// The breaker before the outside service.
    BreakerState(OutsideState),
    /// Use, to be kept and then acknowledged with [`Link::acknowledge_usage`].
    UsageBatch(UseBatch),
    /// What stores hold.
    TokenLevels(Vec<Level>),
    /// What came of plans.
    PlansTaken(PlansTaken),
    /// A decision on behalf of the fleet that was not taken.
    FenceRefused(Refused),
    /// What was seen of zones.
    ZoneObservation(ZonesSeen),
    /// What the gatekeeper acts on.
    AppliedVersions(Acts),
    /// After [`Link::announce_stop`]: use until then is in the batches up to this number.
    UsageReported(u64),
}

enum Order {
    Check(Check, oneshot::Sender<Result<Decision, CheckError>>),
    Settle(Settle),
    Verdict(OutsideVerdict),
    UseKept(UseKept),
    Plans(Plans),
    Epochs(Epochs),
    Zones(ZonesGuide),
    Shut(Shut),
    Levels(Vec<Level>),
    Bye,
}

struct Shared {
    welcome: RwLock<Option<Arc<Welcome>>>,
    stopping: AtomicBool,
    in_hand: AtomicUsize,
    most: usize,
    begun: Instant,
    /// Since when, in ms from `begun`, something is in hand and nothing was heard; 0 where that is not so.
    waits_since: AtomicU64,
    next: AtomicU64,
}

impl Shared {
    fn now(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX).max(1)
    }

    fn set_welcome(&self, welcome: Option<Arc<Welcome>>) {
        *self.welcome.write().unwrap_or_else(std::sync::PoisonError::into_inner) = welcome;
    }
}

/// A way to one gatekeeper.
#[derive(Clone)]
pub struct Link {
    orders: mpsc::Sender<Order>,
    shared: Arc<Shared>,
}

impl Link {
    /// What the gatekeeper said of itself, while it is linked.
    #[must_use]
    pub fn welcome(&self) -> Option<Arc<Welcome>> {
        self.shared.welcome.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Whether it is linked, does not stop and is not silent over what it has in hand.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let since = self.shared.waits_since.load(Ordering::Relaxed);
        let silent = since > 0 && self.shared.now().saturating_sub(since) > SILENT.as_millis() as u64;
        !silent && !self.shared.stopping.load(Ordering::Relaxed) && self.welcome().is_some()
    }

    /// Checks in hand.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_hand.load(Ordering::Relaxed)
    }

    /// Asks. Gives the check's number with the decision, so that a held grant can be settled. Who stops waiting
    /// must take it that the check was charged.
    ///
    /// # Errors
    /// When there is no decision; see [`CheckError`].
    pub async fn check(&self, mut check: Check) -> Result<(u64, Decision), CheckError> {
        if self.welcome().is_none() {
            return Err(CheckError::Unsent);
        }
        let shared = &self.shared;
        if shared.in_hand.fetch_add(1, Ordering::Relaxed) >= shared.most {
            shared.in_hand.fetch_sub(1, Ordering::Relaxed);
            return Err(CheckError::Busy);
        }
        let id = shared.next.fetch_add(1, Ordering::Relaxed);
        check.id = id;
        let (tell, told) = oneshot::channel();
        if self.orders.try_send(Order::Check(check, tell)).is_err() {
            shared.in_hand.fetch_sub(1, Ordering::Relaxed);
            return Err(CheckError::Busy);
        }
        told.await.unwrap_or(Err(CheckError::InDoubt)).map(|decision| (id, decision))
    }

    /// Settles a held grant: `keep` says whether it is used. One that is never settled counts as used.
    pub fn settle(&self, id: u64, keep: bool) {
        let _ = self.orders.try_send(Order::Settle(Settle { id, keep }));
    }

    /// Batches of use are kept durably. What is not acknowledged is sent again with the next connection.
    pub fn acknowledge_usage(&self, started_ms: u64, seqs: Vec<u64>) {
        let _ = self.orders.try_send(Order::UseKept(UseKept { started_ms, seqs }));
    }

    /// Sends the plans' figures.
    pub fn send_plans(&self, plans: Plans) {
        let _ = self.orders.try_send(Order::Plans(plans));
    }

    /// Sends what the council says of duties' epochs.
    pub fn send_epochs(&self, epochs: Epochs) {
        let _ = self.orders.try_send(Order::Epochs(epochs));
    }

    /// Sends what was decided on zones, or that it still stands.
    pub fn send_zone_decision(&self, guide: ZonesGuide) {
        let _ = self.orders.try_send(Order::Zones(guide));
    }

    /// Sends who is shut out, or that it still stands.
    pub fn send_fenced_off(&self, shut: Shut) {
        let _ = self.orders.try_send(Order::Shut(shut));
    }

    /// Sends what stores held in a former life.
    pub fn send_levels(&self, levels: &[Level]) {
        for part in levels.chunks(LEVELS) {
            let _ = self.orders.try_send(Order::Levels(part.to_vec()));
        }
    }

    /// Says that this agent stops. The gatekeeper reports its use so far; how far that goes comes as
    /// [`LinkEvent::UsageReported`].
    pub fn announce_stop(&self) {
        let _ = self.orders.try_send(Order::Bye);
    }

    /// Whether the gatekeeper has said that it stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shared.stopping.load(Ordering::Relaxed)
    }

    /// What an outside service said.
    pub fn send_verdict(&self, verdict: OutsideVerdict) {
        let _ = self.orders.try_send(Order::Verdict(verdict));
    }
}

/// A link and the future that keeps it up, which ends when the link is dropped. News that nobody takes are dropped,
/// but for questions to an outside service, which then count as failed.
pub fn connect(
    options: LinkOptions,
    news: mpsc::Sender<LinkEvent>,
) -> (Link, impl Future<Output = ()> + Send) {
    let (orders, taken) = mpsc::channel(options.max_in_flight * 2 + 64);
    let shared = Arc::new(Shared {
        welcome: RwLock::default(),
        stopping: AtomicBool::new(false),
        in_hand: AtomicUsize::new(0),
        most: options.max_in_flight,
        begun: Instant::now(),
        waits_since: AtomicU64::new(0),
        next: AtomicU64::new(1),
    });
    let link = Link { orders, shared: shared.clone() };
    (link, keep_up(options, taken, shared, news))
}

async fn keep_up(
    options: LinkOptions,
    mut orders: mpsc::Receiver<Order>,
    shared: Arc<Shared>,
    news: mpsc::Sender<LinkEvent>,
) {
    let mut backoff = BACKOFF_LEAST;
    let mut last = String::new();
    loop {
        let mut session =
            Session { shared: &shared, news: &news, waiting: HashMap::new(), sent: VecDeque::new() };
        let ended = session.run(&options, &mut orders).await;
        shared.set_welcome(None);
        shared.waits_since.store(0, Ordering::Relaxed);
        shared.stopping.store(false, Ordering::Relaxed);
        session.end(&mut orders);
        let Err((why, linked)) = ended else { return };
        if linked {
            backoff = BACKOFF_LEAST;
        }
        if linked || why != last {
            last.clone_from(&why);
            let _ = news.try_send(LinkEvent::Disconnected(why));
        }
        // Until it is up, whoever asks is told at once.
        let pause = sleep(backoff);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                order = orders.recv() => match order {
                    Some(order) => turn_away(&shared, order),
                    None => return,
                }
            }
        }
        backoff = (backoff * 2).min(BACKOFF_MOST);
    }
}

fn turn_away(shared: &Shared, order: Order) {
    if let Order::Check(_, tell) = order {
        shared.in_hand.fetch_sub(1, Ordering::Relaxed);
        let _ = tell.send(Err(CheckError::Unsent));
    }
}

/// One connection.
struct Session<'a> {
    shared: &'a Shared,
    news: &'a mpsc::Sender<LinkEvent>,
    waiting: HashMap<u64, oneshot::Sender<Result<Decision, CheckError>>>,
    /// For frames whose last byte is not taken yet: how many bytes are still to go, and their checks.
    sent: VecDeque<(usize, Vec<u64>)>,
}

impl Session<'_> {
    /// Runs until the connection ends; the error says why, and whether it was ever up. Ok: nobody asks any more.
    async fn run(
        &mut self,
        options: &LinkOptions,
        orders: &mut mpsc::Receiver<Order>,
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
        let first = timeout(WELCOME, welcome(&stream, &mut bytes, &mut frames)).await;
        let first = first.map_err(|_| ("it gave no welcome in time".to_string(), false))?;
        let mut first = first.map_err(|e| (e, false))?;
        let Some(welcome) = first.welcome.take().map(Arc::new) else {
            return Err((format!("it gave no welcome: {}", printable(&first.bye)), false));
        };
        self.shared.set_welcome(Some(welcome.clone()));
        let _ = self.news.try_send(LinkEvent::Connected(welcome));
        self.take(first);
        self.talk(&stream, bytes, frames, orders).await.map_err(|why| (why, true))
    }

    async fn talk(
        &mut self,
        stream: &UnixStream,
        mut bytes: Vec<u8>,
        mut frames: FrameReader,
        orders: &mut mpsc::Receiver<Order>,
    ) -> Result<(), String> {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            while let Some(frame) = frames.next_message::<FromNode>().map_err(|e| e.to_string())? {
                self.take(frame);
            }
            if !bytes.is_empty() {
                match stream.try_write(&bytes) {
                    Ok(n) => {
                        bytes.drain(..n);
                        self.taken(n);
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e.to_string()),
                }
            }
            tokio::select! {
                count = orders.recv_many(&mut batch, BATCH), if bytes.len() < AHEAD => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.put(&mut bytes, batch.drain(..))?;
                }
                ready = stream.readable() => {
                    ready.map_err(|e| e.to_string())?;
                    match stream.try_read_buf(frames.read_buffer()) {
                        Ok(0) => return Err("the gatekeeper ended it".into()),
                        Ok(_) => {}
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        Err(e) => return Err(e.to_string()),
                    }
                }
                _ = stream.writable(), if !bytes.is_empty() => {}
            }
        }
    }

    /// Makes a frame of orders.
    fn put(&mut self, bytes: &mut Vec<u8>, orders: impl Iterator<Item = Order>) -> Result<(), String> {
        let mut frame = ToNode::default();
        for order in orders {
            match order {
                // Its asker has given up already: nothing need be charged.
                Order::Check(_, tell) if tell.is_closed() => {
                    self.shared.in_hand.fetch_sub(1, Ordering::Relaxed);
                }
                Order::Check(check, tell) => {
                    self.waiting.insert(check.id, tell);
                    frame.checks.push(check);
                }
                Order::Settle(settle) => frame.settles.push(settle),
                Order::Verdict(verdict) => frame.outside.push(verdict),
                Order::UseKept(numbers) => frame.use_kept.push(numbers),
                Order::Plans(plans) => frame.plans = Some(plans),
                Order::Zones(guide) => frame.zones = Some(guide),
                Order::Shut(shut) => frame.shut = Some(shut),
                // One that answers a nonce is not made to give way to one that does not.
                Order::Epochs(epochs) => {
                    let before = frame.epochs.take().filter(|b| epochs.nonce == 0 && b.nonce != 0);
                    frame.epochs = Some(before.unwrap_or(epochs));
                }
                Order::Bye => frame.bye = "the agent stops".into(),
                // These fill a frame by themselves.
                Order::Levels(levels) => {
                    let alone = ToNode { levels, ..ToNode::default() };
                    let before = bytes.len();
                    codec::append_frame(bytes, &alone).map_err(|e| e.to_string())?;
                    self.sent.push_back((bytes.len() - before, Vec::new()));
                }
            }
        }
        if frame == ToNode::default() {
            return Ok(());
        }
        if !frame.checks.is_empty() && self.shared.waits_since.load(Ordering::Relaxed) == 0 {
            self.shared.waits_since.store(self.shared.now(), Ordering::Relaxed);
        }
        let before = bytes.len();
        codec::append_frame(bytes, &frame).map_err(|e| e.to_string())?;
        self.sent.push_back((bytes.len() - before, frame.checks.iter().map(|c| c.id).collect()));
        Ok(())
    }

    /// So many bytes were taken by the socket.
    fn taken(&mut self, mut n: usize) {
        while n > 0
            && let Some((left, _)) = self.sent.front_mut()
        {
            let part = n.min(*left);
            *left -= part;
            n -= part;
            if *left == 0 {
                self.sent.pop_front();
            }
        }
    }

    fn take(&mut self, frame: FromNode) {
        for decision in frame.decisions {
            if let Some(tell) = self.waiting.remove(&decision.id) {
                self.shared.in_hand.fetch_sub(1, Ordering::Relaxed);
                let _ = tell.send(Ok(decision));
            }
        }
        let since = if self.waiting.is_empty() { 0 } else { self.shared.now() };
        self.shared.waits_since.store(since, Ordering::Relaxed);
        if !frame.bye.is_empty() {
            self.shared.stopping.store(true, Ordering::Relaxed);
        }
        for seen in frame.seen {
            let _ = self.news.try_send(LinkEvent::ShopSet(seen));
        }
        for ask in frame.outside {
            // Unheard, it is late at the gatekeeper: that counts as failed there.
            let _ = self.news.try_send(LinkEvent::OutsideRequest(ask));
        }
        for state in frame.outside_states {
            let _ = self.news.try_send(LinkEvent::BreakerState(state));
        }
        for batch in frame.r#use {
            // Untaken it is not acknowledged, and comes again.
            let _ = self.news.try_send(LinkEvent::UsageBatch(batch));
        }
        if !frame.levels.is_empty() {
            let _ = self.news.try_send(LinkEvent::TokenLevels(frame.levels));
        }
        if let Some(taken) = frame.plans_taken {
            let _ = self.news.try_send(LinkEvent::PlansTaken(taken));
        }
        for refused in frame.refused {
            let _ = self.news.try_send(LinkEvent::FenceRefused(refused));
        }
        if let Some(seen) = frame.zones {
            let _ = self.news.try_send(LinkEvent::ZoneObservation(seen));
        }
        if let Some(acts) = frame.acts {
            let _ = self.news.try_send(LinkEvent::AppliedVersions(acts));
        }
        if let Some(number) = frame.reported {
            let _ = self.news.try_send(LinkEvent::UsageReported(number));
        }
    }

    /// Tells all that wait what became of theirs.
    fn end(&mut self, orders: &mut mpsc::Receiver<Order>) {
        let unsent: Vec<u64> = self.sent.drain(..).flat_map(|(_, ids)| ids).collect();
        for id in unsent {
            if let Some(tell) = self.waiting.remove(&id) {
                self.shared.in_hand.fetch_sub(1, Ordering::Relaxed);
                let _ = tell.send(Err(CheckError::Unsent));
            }
        }
        for (_, tell) in self.waiting.drain() {
            self.shared.in_hand.fetch_sub(1, Ordering::Relaxed);
            let _ = tell.send(Err(CheckError::InDoubt));
        }
        while let Ok(order) = orders.try_recv() {
            turn_away(self.shared, order);
        }
    }
}

/// Sends the hello and waits for the first frame.
async fn welcome(
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
            Ok(0) => return Err("the gatekeeper ended it before its welcome".into()),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// A peer's words as they may stand in a log.
fn printable(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(200).collect()
}
