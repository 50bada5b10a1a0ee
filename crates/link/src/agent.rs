//! The agent's side of the link: connects to a gatekeeper's socket, and reconnects with backoff when it ends.
//!
//! [`connect`] returns a [`Link`] for sending and a future that runs the connection. Messages that are queued
//! together go out in one frame. A check without a decision has one of two outcomes: [`CheckError::Unsent`]
//! never reached the gatekeeper and may be sent to another; [`CheckError::InDoubt`] may or may not have been
//! charged.

mod session;

use self::session::Session;
use crate::proto::{
    Acts, Check, Decision, Epochs, Level, OutsideAsk, OutsideState, OutsideVerdict, Plans, PlansTaken,
    Refused, Seen, Settle, Shut, UseBatch, UseKept, Welcome, ZonesGuide, ZonesSeen,
};
use std::collections::{HashMap, VecDeque};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// The first pause before a reconnect; it doubles up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A gatekeeper that has undecided checks and sends nothing for this long gets no further checks until it
/// sends again.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Levels that go into one frame.
const MAX_LEVELS_PER_FRAME: usize = 4000;

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
