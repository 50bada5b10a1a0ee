//! This agent's seat in the council: the way to other members, its session and its duties, and what gatekeepers are told
//! of epochs. What is decided, `frostvale-owner` decides; what is agreed on, `frostvale-council`.

use crate::audit::{AUDIT_DUTY, Audit};
use crate::clock::{Clock, unix_ms};
use crate::config::{self, Tls};
use crate::duties::{self, Worker};
use crate::record::RecordKeeper;
use crate::step_markers::StepMarkers;
use crate::zones::{ZONES_DUTY, Zones};
use frostvale_council::wire::{MAX_BODY_BYTES, MESSAGE_KINDS};
use frostvale_council::{AgreedState, Council, Envelope, Rejection, Transport};
use frostvale_link::agent::Link;
use frostvale_link::proto::{Epochs, Fence, Welcome};
use frostvale_owner::host::Notice;
use frostvale_owner::registry::Step;
use frostvale_owner::{Action, Command, DutyController, Lease, Outcome};
use frostvale_proto::agent::council_client::CouncilClient;
use frostvale_proto::agent::council_server;
use frostvale_proto::agent::{
    AuditLook, AuditView, CouncilMessage, EvidenceMessage, EvidenceTaken, ZonesLook, ZonesView,
};
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Request, Response, Status};

/// A session and its duties are looked at this often, besides at each change.
const TURN: Duration = Duration::from_millis(30);
/// How long an orderly end waits for duties to be handed over.
const CLOSE: Duration = Duration::from_secs(3);
/// A connection to a member comes up within this time.
const CONNECT: Duration = Duration::from_secs(1);
/// A message around a body.
const AROUND: usize = 64 * 1024;
/// A gatekeeper that started is told what is current; while nobody can say so, it is tried again this often.
const CONFIRM: Duration = Duration::from_millis(200);
/// Duties whose decisions gatekeepers take.
pub(crate) const FOR_GATEKEEPERS: [&str; 3] = [duties::PUBLISH_DUTY, ZONES_DUTY, AUDIT_DUTY];

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The way to other members: gRPC, at the agents' own listeners.
pub(crate) struct MemberChannels {
    tls: Option<ClientTlsConfig>,
    /// By the member's own address: where this agent reaches it.
    via: BTreeMap<String, String>,
    channels: Mutex<HashMap<String, Channel>>,
}

impl MemberChannels {
    fn new(config: &config::Council, tls: Option<&Tls>) -> Result<MemberChannels, String> {
        let read = |field: &str, path: &std::path::Path| {
            std::fs::read(path).map_err(|e| format!("rls.tls.{field}: cannot read {}: {e}", path.display()))
        };
        let tls = tls.map(|tls| {
            let identity = Identity::from_pem(read("cert", &tls.cert)?, read("key", &tls.key)?);
            let ca = Certificate::from_pem(read("client_ca", &tls.client_ca)?);
            Ok::<_, String>(ClientTlsConfig::new().identity(identity).ca_certificate(ca))
        });
        let at = |name: &String| config.voters.iter().find(|v| v.name == *name).map(|v| v.at.clone());
        let via = config.via.iter().map(|(name, to)| (at(name).unwrap_or_else(|| name.clone()), to.clone()));
        Ok(MemberChannels { tls: tls.transpose()?, via: via.collect(), channels: Mutex::default() })
    }

    pub(crate) fn channel(&self, at: &str) -> Result<Channel, String> {
        let mut channels = lock(&self.channels);
        if let Some(known) = channels.get(at) {
            return Ok(known.clone());
        }
        let to = self.via.get(at).map_or(at, String::as_str);
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{to}"))
            .map_err(|e| format!("{to}: {e}"))?
            .connect_timeout(CONNECT)
            .tcp_nodelay(true);
        let endpoint = match &self.tls {
            Some(tls) => endpoint.tls_config(tls.clone()).map_err(|e| format!("{to}: {e}"))?,
            None => endpoint,
        };
        // Members come and go: those that are gone need no place.
        if channels.len() >= 64 {
            channels.clear();
        }
        let channel = endpoint.connect_lazy();
        channels.insert(at.to_string(), channel.clone());
        Ok(channel)
    }
}

fn message(envelope: Envelope) -> CouncilMessage {
    let Envelope { version, fleet, generation, from, to, writes, heard, kind, body } = envelope;
    let kind = MESSAGE_KINDS.iter().position(|k| *k == kind).map_or(0, |k| k as u32 + 1);
    CouncilMessage { version, fleet, generation, from, to, writes, heard, kind, body }
}

fn envelope(message: CouncilMessage) -> Result<Envelope, Rejection> {
    let CouncilMessage { version, fleet, generation, from, to, writes, heard, kind, body } = message;
    let known = usize::try_from(kind).ok().and_then(|k| MESSAGE_KINDS.get(k.wrapping_sub(1)).copied());
    let kind = known.ok_or_else(|| Rejection::Unreadable(format!("kind {kind}")))?;
    Ok(Envelope { version, fleet, generation, from, to, writes, heard, kind, body })
}

#[tonic::async_trait]
impl Transport for MemberChannels {
    async fn call(&self, at: &str, asked: Envelope) -> Result<Envelope, String> {
        let mut client = CouncilClient::new(self.channel(at)?)
            .max_decoding_message_size(MAX_BODY_BYTES + AROUND)
            .max_encoding_message_size(MAX_BODY_BYTES + AROUND);
        let answer = client.tell(message(asked)).await.map_err(|e| e.message().to_string())?;
        envelope(answer.into_inner()).map_err(|e| e.to_string())
    }
}

/// What other members ask.
pub struct CouncilService(pub Arc<CouncilSeat>);

impl CouncilService {
    /// The service, with its bounds.
    #[must_use]
    pub fn service(self) -> council_server::CouncilServer<CouncilService> {
        council_server::CouncilServer::new(self)
            .max_decoding_message_size(MAX_BODY_BYTES + AROUND)
            .max_encoding_message_size(MAX_BODY_BYTES + AROUND)
    }
}

#[tonic::async_trait]
impl council_server::Council for CouncilService {
    async fn tell(&self, asked: Request<CouncilMessage>) -> Result<Response<CouncilMessage>, Status> {
        let answer = match envelope(asked.into_inner()) {
            Ok(asked) => self.0.council.handle_message(asked).await,
            Err(e) => {
                self.0.council.count_rejected(&e);
                Err(e)
            }
        };
        match answer {
            Ok(answer) => Ok(Response::new(message(answer))),
            Err(e @ Rejection::Stopped(_)) => Err(Status::unavailable(e.to_string())),
            Err(e) => Err(Status::failed_precondition(e.to_string())),
        }
    }

    async fn evidence(&self, asked: Request<EvidenceMessage>) -> Result<Response<EvidenceTaken>, Status> {
        let asked = asked.into_inner();
        let taken = if asked.duty == AUDIT_DUTY {
            self.0.audit.as_ref().ok_or_else(no_audit)?.receive_evidence(asked)
        } else {
            self.0.zones.as_ref().ok_or_else(no_zones)?.receive_evidence(asked)
        };
        taken.map(Response::new).map_err(Status::failed_precondition)
    }

    async fn look_at_audit(&self, asked: Request<AuditLook>) -> Result<Response<AuditView>, Status> {
        let audit = self.0.audit.as_ref().ok_or_else(no_audit)?;
        audit.view(&asked.into_inner()).map(Response::new).map_err(Status::failed_precondition)
    }

    async fn look_at_zones(&self, asked: Request<ZonesLook>) -> Result<Response<ZonesView>, Status> {
        let zones = self.0.zones.as_ref().ok_or_else(no_zones)?;
        let view = zones.view(&asked.into_inner()).map_err(Status::failed_precondition)?;
        Ok(Response::new(view))
    }
}

pub(crate) fn no_zones() -> Status {
    Status::failed_precondition("this agent has no part in zones: its file has no [zones] section")
}

pub(crate) fn no_audit() -> Status {
    Status::failed_precondition("this agent has no part in the audit: its file has no [audit] section")
}

/// A runner of a duty: told to end by this.
type Ending = watch::Sender<bool>;

/// This agent's seat.
pub struct CouncilSeat {
    /// The council.
    pub council: Arc<Council>,
    host: Mutex<DutyController>,
    clock: Clock,
    patience: Duration,
    runners: Mutex<HashMap<(String, u64), Ending>>,
    worker: Arc<Worker>,
    hand: StepMarkers,
    wake: Notify,
    links: OnceLock<Vec<Link>>,
    /// Where zones are decided on in common.
    pub zones: Option<Arc<Zones>>,
    /// Where the fleet is audited.
    pub audit: Option<Arc<Audit>>,
}

impl CouncilSeat {
    /// Takes part, and does what duties come to it.
    ///
    /// # Errors
    /// With one line on what can't be used.
    pub fn start(
        config: &config::Config,
        part: &config::Council,
        at: &str,
        keeper: Option<Arc<RecordKeeper>>,
    ) -> Result<Arc<CouncilSeat>, String> {
        let tls = config.rls.as_ref().and_then(|r| r.tls.as_ref());
        let ways = Arc::new(MemberChannels::new(part, tls)?);
        let mut settings = part.member(&config.name, at);
        settings.read_only = config.drill.council_read_only;
        let council = Council::start(settings, ways.clone()).map_err(|e| format!("council: {e}"))?;
        if config.drill.council_pages > 0 && council.limit_file_size(config.drill.council_pages).is_err() {
            tracing::warn!("drill.council_pages: the file can't be limited");
        }
        let clock = Clock::new(config.drill.clock_rate_milli);
        let zones = config.zones.clone().map(|z| {
            Arc::new(Zones::new(z, &config.name, &part.fleet, clock, council.clone(), ways.clone()))
        });
        let audit = config.audit.clone().map(|a| {
            let (council, keeper) = (council.clone(), keeper.clone());
            Arc::new(Audit::new(a, &config.name, &part.fleet, clock, council, ways, keeper))
        });
        let worker = Worker::new(config, keeper, clock, zones.clone(), audit.clone());
        let drawn = RandomState::new();
        let (nonce, seed) = (drawn.hash_one(&config.name), drawn.hash_one((&config.name, 1)));
        let mut host =
            DutyController::new(&config.name, &part.zone, &worker.duties(), part.settings(), nonce, seed);
        let (hand, fell) = StepMarkers::open(&part.file);
        for (duty, epoch) in &fell {
            tracing::warn!(
                duty,
                epoch,
                "the process before this one died in a step of duty {duty}, epoch {epoch}"
            );
        }
        host.set_interrupted_steps(fell);
        let seat = Arc::new(CouncilSeat {
            council,
            host: Mutex::new(host),
            clock,
            patience: Duration::from_millis(part.lease_ms),
            runners: Mutex::default(),
            worker: Arc::new(worker),
            hand,
            wake: Notify::new(),
            links: OnceLock::new(),
            zones,
            audit,
        });
        if let Some(audit) = &seat.audit {
            tokio::spawn(audit.clone().run_reporting(Arc::downgrade(&seat)));
        }
        if let Some(zones) = &seat.zones {
            tokio::spawn(zones.clone().run_reporting());
        }
        tokio::spawn(seat.clone().go_on());
        Ok(seat)
    }

    async fn go_on(self: Arc<Self>) {
        let mut seen = self.council.watch();
        let mut told = 0;
        loop {
            tokio::select! {
                () = sleep(TURN) => {}
                () = self.wake.notified() => {}
                changed = seen.changed() => if changed.is_err() {
                    return;
                },
            }
            let whole = seen.borrow_and_update().clone();
            let now = self.clock.now();
            let actions = {
                let mut host = lock(&self.host);
                host.set_wall_offset_ms(unix_ms().saturating_sub_unsigned(now));
                host.tick(now, &whole.owner)
            };
            self.act(actions);
            let given = given(&whole);
            let newest = given.iter().map(|f| f.epoch).max().unwrap_or(0);
            if newest > told {
                told = newest;
                for link in self.links.get().into_iter().flatten() {
                    link.send_epochs(Epochs { nonce: 0, given: given.clone() });
                }
            }
            if let Some(links) = self.links.get() {
                // While this agent's session holds, what it knows is what stands, or was a lease ago.
                let holds = lock(&self.host).holds_session(self.clock.now());
                if let Some(zones) = &self.zones {
                    zones.push_to_gatekeepers(&whole, holds, links);
                }
                if let Some(audit) = &self.audit {
                    audit.push_to_gatekeepers(&whole, holds, links);
                }
            }
        }
    }

    fn act(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(command) => drop(tokio::spawn(self.clone().propose(command))),
                Action::Begin(lease) => self.begin(lease),
                Action::Stop { duty, epoch } => {
                    let ending = lock(&self.runners).get(&(duty.clone(), epoch)).cloned();
                    match ending {
                        Some(ending) => drop(ending.send(true)),
                        None => {
                            let more = lock(&self.host).step_stopped(self.clock.now(), &duty, epoch);
                            self.act(more);
                        }
                    }
                }
                Action::Notify(tell) => say(&tell),
            }
        }
    }

    async fn propose(self: Arc<Self>, command: Command) {
        let outcome = self.council.propose(command.clone(), self.patience).await.ok();
        let now = self.clock.now();
        let more = lock(&self.host).handle_outcome(now, &command, outcome.as_ref());
        self.act(more);
        self.wake.notify_one();
    }

    /// Does a duty for as long as its lease holds and nobody ends it.
    fn begin(self: &Arc<Self>, lease: Lease) {
        let (ending, ended) = watch::channel(false);
        let key = (lease.duty().to_string(), lease.epoch());
        // After a lapse the same epoch may come again while its last step still ends.
        if let Some(old) = lock(&self.runners).insert(key, ending) {
            let _ = old.send(true);
        }
        tokio::spawn(self.clone().run(lease, ended));
    }

    async fn run(self: Arc<Self>, lease: Lease, mut ended: watch::Receiver<bool>) {
        let (duty, epoch) = (lease.duty().to_string(), lease.epoch());
        let mut count = 0;
        let mut failures = 0;
        let memory = Arc::default();
        while !*ended.borrow() && lease.remaining_ms(self.clock.now()).is_ok() {
            self.hand.mark(&duty, epoch);
            let step = tokio::spawn(self.worker.clone().step(lease.clone(), Arc::clone(&memory))).await;
            self.hand.unmark(&duty);
            let pause = match step {
                Ok(Ok(done)) => {
                    (count, failures) = (count + 1, 0);
                    let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
                    let next_ms = at_ms + u64::try_from(done.again.as_millis()).unwrap_or(0);
                    let duty = duty.clone();
                    lock(&self.host).step_done(Step { duty, epoch, count, at_ms, next_ms, note: done.note });
                    done.again
                }
                Ok(Err(duties::StepError::LeaseExpired)) => TURN,
                Ok(Err(duties::StepError::Fenced { stands, by })) => {
                    tracing::warn!(
                        duty,
                        epoch,
                        stands,
                        "duty {duty}: epoch {epoch} was refused, {stands} of {by} stands"
                    );
                    let more = lock(&self.host).step_fenced(self.clock.now(), &duty, epoch, stands);
                    self.act(more);
                    self.patience
                }
                Ok(Err(duties::StepError::Failed(why))) => {
                    failures += 1;
                    // An owner that can say so has not died of the duty: a record that is away is not held against it.
                    let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
                    let (of, note) = (duty.clone(), format!("failed: {why}"));
                    lock(&self.host).step_done(Step { duty: of, epoch, count, at_ms, next_ms: at_ms, note });
                    tracing::warn!(
                        duty,
                        epoch,
                        reason = why,
                        "duty {duty}: a step failed: {why}; it is tried again"
                    );
                    (TURN * 10 * failures).min(Duration::from_secs(5))
                }
                Err(crash) => {
                    let said = what_panicked(crash);
                    tracing::error!(duty, epoch, reason = said, "duty {duty}: a step crashed: {said}");
                    self.over(&duty, epoch);
                    let more = lock(&self.host).step_crashed(self.clock.now(), &duty, epoch, &said);
                    return self.act(more);
                }
            };
            tokio::select! {
                () = sleep(pause) => {}
                _ = ended.wait_for(|e| *e) => {}
            }
        }
        self.over(&duty, epoch);
        let more = lock(&self.host).step_stopped(self.clock.now(), &duty, epoch);
        self.act(more);
        self.wake.notify_one();
    }

    fn over(&self, duty: &str, epoch: u64) {
        lock(&self.runners).remove(&(duty.to_string(), epoch));
    }

    /// These are the gatekeepers of this host.
    pub fn set_links(&self, links: Vec<Link>) {
        let _ = self.links.set(links);
    }

    /// A gatekeeper is here: it is told what is current, as of now or later, and then what was decided.
    pub async fn gatekeeper_connected(
        self: Arc<Self>,
        link: Link,
        welcome: Arc<Welcome>,
        keeper: Option<Arc<RecordKeeper>>,
    ) {
        loop {
            if link.welcome().is_none_or(|w| w.nonce != welcome.nonce) {
                return;
            }
            if let Ok(whole) = self.council.read_current(self.patience).await {
                link.send_epochs(Epochs { nonce: welcome.nonce, given: given(&whole) });
                if let Some(plans) = keeper.and_then(|k| k.current_plans()) {
                    link.send_plans(plans);
                }
                if let Some(zones) = &self.zones {
                    zones.force_push();
                }
                if let Some(audit) = &self.audit {
                    audit.force_push();
                }
                return;
            }
            sleep(CONFIRM).await;
        }
    }

    /// Ends in order: duties go to others before this agent does.
    pub async fn close(self: &Arc<Self>) {
        let until = tokio::time::Instant::now() + CLOSE;
        let mut seen = self.council.watch();
        while tokio::time::Instant::now() < until {
            let whole = seen.borrow_and_update().clone();
            let (done, actions) = lock(&self.host).close(self.clock.now(), &whole.owner);
            self.act(actions);
            if done {
                return;
            }
            tokio::select! {
                () = sleep(TURN) => {}
                _ = seen.changed() => {}
            }
        }
        self.hand.clear();
        tracing::warn!("ends with duties that nobody has taken: they are free once its session was silent");
    }

    /// Has an operator's wish carried out.
    ///
    /// # Errors
    /// With why it was not.
    pub async fn propose_change(&self, command: Command) -> Result<(), String> {
        match self.council.propose(command, self.patience).await.map_err(|e| e.to_string())? {
            Outcome::Refused(why) => Err(why.to_string()),
            _ => Ok(()),
        }
    }

    /// All that is agreed on: as it is now, or as this agent last heard.
    pub async fn current_state(&self) -> (Arc<AgreedState>, bool) {
        match self.council.read_current(Duration::from_millis(800)).await {
            Ok(whole) => (whole, true),
            Err(_) => (self.council.watch().borrow().clone(), false),
        }
    }
}

/// What gatekeepers are told.
fn given(whole: &AgreedState) -> Vec<Fence> {
    let of = |name: &&str| {
        let duty = whole.owner.duties.get(*name).filter(|d| d.epoch > 0)?;
        let owner = duty.owner.as_ref().map_or(String::new(), ToString::to_string);
        Some(Fence { duty: (*name).to_string(), epoch: duty.epoch, owner })
    };
    FOR_GATEKEEPERS.iter().filter_map(of).collect()
}

fn what_panicked(crash: tokio::task::JoinError) -> String {
    match crash.try_into_panic() {
        Ok(said) => match said.downcast::<String>() {
            Ok(text) => *text,
            Err(said) => said.downcast::<&str>().map_or("it panicked".into(), |t| (*t).to_string()),
        },
        Err(other) => other.to_string(),
    }
}

fn say(tell: &Notice) {
    match tell {
        Notice::Acquired { duty, epoch } => tracing::info!(duty, epoch, "owns duty {duty}, epoch {epoch}"),
        Notice::Released { duty, epoch, why } => {
            tracing::info!(duty, epoch, reason = why, "leaves duty {duty}, epoch {epoch}: {why}");
        }
        Notice::SessionExpired { duties } => tracing::warn!(
            duties,
            "this agent's lease ran out by its own clock: {duties} duties are stopped; was it stopped, or cut off from the \
             council?"
        ),
        Notice::SessionEnded => tracing::warn!("others have ended this agent's session: it begins another"),
        Notice::PeerExpired(owner) => {
            tracing::warn!(agent = %owner, "{owner} was silent for too long: its session is ended")
        }
        Notice::SetAside { duty, said } => tracing::error!(
            duty,
            reason = said,
            "duty {duty} is set aside ({said}): mend it, then frostctl duties resume {duty} --why ..."
        ),
    }
}
