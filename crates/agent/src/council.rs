//! This agent's place in the consensus group: connections to the other members, the agent's session and its
//! duties, and the epochs that gatekeepers receive.
//!
//! `frostvale-owner` decides who owns a duty; `frostvale-council` stores what the group agrees on.

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

/// Interval at which the session and its duties are checked, besides at each change of the agreed state.
const TICK: Duration = Duration::from_millis(30);
/// Longest time that an orderly shutdown waits for the handover of duties.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of connecting to a member.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Allowance for the fields of a message besides its body, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 64 * 1024;
/// Interval at which the read of the current state for a newly connected gatekeeper is retried, while no leader
/// confirms that the state is current.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Duties whose decisions are sent to gatekeepers.
pub(crate) const FOR_GATEKEEPERS: [&str; 3] = [duties::PUBLISH_DUTY, ZONES_DUTY, AUDIT_DUTY];

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// gRPC channels to the other members, at the listeners of their rate limit services.
pub(crate) struct MemberChannels {
    tls: Option<ClientTlsConfig>,
    /// Addresses at which this agent reaches members, by the member's own address.
    via: BTreeMap<String, String>,
    /// Open channels, by the member's own address.
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

    /// Returns the channel to the member whose own address is `at`; it connects on first use.
    ///
    /// # Errors
    /// If the address or the TLS configuration is invalid.
    pub(crate) fn channel(&self, at: &str) -> Result<Channel, String> {
        let mut channels = lock(&self.channels);
        if let Some(known) = channels.get(at) {
            return Ok(known.clone());
        }
        let to = self.via.get(at).map_or(at, String::as_str);
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{to}"))
            .map_err(|e| format!("{to}: {e}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let endpoint = match &self.tls {
            Some(tls) => endpoint.tls_config(tls.clone()).map_err(|e| format!("{to}: {e}"))?,
            None => endpoint,
        };
        // Membership changes over time: clearing the map drops the channels of former members.
        if channels.len() >= 64 {
            channels.clear();
        }
        let channel = endpoint.connect_lazy();
        channels.insert(at.to_string(), channel.clone());
        Ok(channel)
    }
}

/// Converts an envelope to its gRPC message.
fn message(envelope: Envelope) -> CouncilMessage {
    let Envelope { version, fleet, generation, from, to, writes, heard, kind, body } = envelope;
    let kind = MESSAGE_KINDS.iter().position(|k| *k == kind).map_or(0, |k| k as u32 + 1);
    CouncilMessage { version, fleet, generation, from, to, writes, heard, kind, body }
}

/// Converts a gRPC message to an envelope; an unknown kind is rejected.
fn envelope(message: CouncilMessage) -> Result<Envelope, Rejection> {
    let CouncilMessage { version, fleet, generation, from, to, writes, heard, kind, body } = message;
    let known = usize::try_from(kind).ok().and_then(|k| MESSAGE_KINDS.get(k.wrapping_sub(1)).copied());
    let kind = known.ok_or_else(|| Rejection::Unreadable(format!("kind {kind}")))?;
    Ok(Envelope { version, fleet, generation, from, to, writes, heard, kind, body })
}

#[tonic::async_trait]
impl Transport for MemberChannels {
    async fn call(&self, at: &str, request: Envelope) -> Result<Envelope, String> {
        let mut client = CouncilClient::new(self.channel(at)?)
            .max_decoding_message_size(MAX_BODY_BYTES + MESSAGE_OVERHEAD_BYTES)
            .max_encoding_message_size(MAX_BODY_BYTES + MESSAGE_OVERHEAD_BYTES);
        let response = client.tell(message(request)).await.map_err(|e| e.message().to_string())?;
        envelope(response.into_inner()).map_err(|e| e.to_string())
    }
}

/// The gRPC service for the other members of the consensus group.
pub struct CouncilService(pub Arc<CouncilSeat>);

impl CouncilService {
    /// Returns the tonic service with its message size limits.
    #[must_use]
    pub fn service(self) -> council_server::CouncilServer<CouncilService> {
        council_server::CouncilServer::new(self)
            .max_decoding_message_size(MAX_BODY_BYTES + MESSAGE_OVERHEAD_BYTES)
            .max_encoding_message_size(MAX_BODY_BYTES + MESSAGE_OVERHEAD_BYTES)
    }
}

#[tonic::async_trait]
impl council_server::Council for CouncilService {
    async fn tell(&self, request: Request<CouncilMessage>) -> Result<Response<CouncilMessage>, Status> {
        let response = match envelope(request.into_inner()) {
            Ok(request) => self.0.council.handle_message(request).await,
            Err(e) => {
                self.0.council.count_rejected(&e);
                Err(e)
            }
        };
        match response {
            Ok(response) => Ok(Response::new(message(response))),
            Err(e @ Rejection::Stopped(_)) => Err(Status::unavailable(e.to_string())),
            Err(e) => Err(Status::failed_precondition(e.to_string())),
        }
    }

    async fn evidence(&self, request: Request<EvidenceMessage>) -> Result<Response<EvidenceTaken>, Status> {
        let request = request.into_inner();
        let taken = if request.duty == AUDIT_DUTY {
            self.0.audit.as_ref().ok_or_else(no_audit)?.receive_evidence(request)
        } else {
            self.0.zones.as_ref().ok_or_else(no_zones)?.receive_evidence(request)
        };
        taken.map(Response::new).map_err(Status::failed_precondition)
    }

    async fn look_at_audit(&self, request: Request<AuditLook>) -> Result<Response<AuditView>, Status> {
        let audit = self.0.audit.as_ref().ok_or_else(no_audit)?;
        audit.view(&request.into_inner()).map(Response::new).map_err(Status::failed_precondition)
    }

    async fn look_at_zones(&self, request: Request<ZonesLook>) -> Result<Response<ZonesView>, Status> {
        let zones = self.0.zones.as_ref().ok_or_else(no_zones)?;
        let view = zones.view(&request.into_inner()).map_err(Status::failed_precondition)?;
        Ok(Response::new(view))
    }
}

/// Status of a zones call to an agent without a `[zones]` section.
pub(crate) fn no_zones() -> Status {
    Status::failed_precondition("this agent has no part in zones: its file has no [zones] section")
}

/// Status of an audit call to an agent without an `[audit]` section.
pub(crate) fn no_audit() -> Status {
    Status::failed_precondition("this agent has no part in the audit: its file has no [audit] section")
}

/// Stops the task that runs a duty, by sending `true`.
type StopSender = watch::Sender<bool>;

/// This agent's place in the consensus group.
pub struct CouncilSeat {
    /// The consensus group member.
    pub council: Arc<Council>,
    controller: Mutex<DutyController>,
    clock: Clock,
    /// Timeout of a proposal or a confirmed read: the length of a lease.
    call_timeout: Duration,
    /// Running duties, by name and epoch.
    runners: Mutex<HashMap<(String, u64), StopSender>>,
    worker: Arc<Worker>,
    step_markers: StepMarkers,
    /// Wakes the main loop before the next tick.
    wake: Notify,
    /// Links to the gatekeepers of this host.
    links: OnceLock<Vec<Link>>,
    /// Zone failover; `None` without a `[zones]` section.
    pub zones: Option<Arc<Zones>>,
    /// The audit of the fleet; `None` without an `[audit]` section.
    pub audit: Option<Arc<Audit>>,
}

impl CouncilSeat {
    /// Joins the consensus group and starts the tasks that carry out the duties of this agent.
    ///
    /// # Errors
    /// One line that names what cannot be used.
    pub fn start(
        config: &config::Config,
        section: &config::Council,
        at: &str,
        keeper: Option<Arc<RecordKeeper>>,
    ) -> Result<Arc<CouncilSeat>, String> {
        let tls = config.rls.as_ref().and_then(|r| r.tls.as_ref());
        let channels = Arc::new(MemberChannels::new(section, tls)?);
        let mut settings = section.member(&config.name, at);
        settings.read_only = config.drill.council_read_only;
        let council = Council::start(settings, channels.clone()).map_err(|e| format!("council: {e}"))?;
        if config.drill.council_pages > 0 && council.limit_file_size(config.drill.council_pages).is_err() {
            tracing::warn!("cannot limit the size of the consensus file: drill.council_pages");
        }
        let clock = Clock::new(config.drill.clock_rate_milli);
        let zones = config.zones.clone().map(|z| {
            Arc::new(Zones::new(z, &config.name, &section.fleet, clock, council.clone(), channels.clone()))
        });
        let audit = config.audit.clone().map(|a| {
            let (council, keeper) = (council.clone(), keeper.clone());
            Arc::new(Audit::new(a, &config.name, &section.fleet, clock, council, channels, keeper))
        });
        let worker = Worker::new(config, keeper, clock, zones.clone(), audit.clone());
        let random = RandomState::new();
        let (nonce, seed) = (random.hash_one(&config.name), random.hash_one((&config.name, 1)));
        let mut controller = DutyController::new(
            &config.name,
            &section.zone,
            &worker.duties(),
            section.settings(),
            nonce,
            seed,
        );
        let (step_markers, interrupted) = StepMarkers::open(&section.file);
        for (duty, epoch) in &interrupted {
            tracing::warn!(duty, epoch, "previous process died in a step of duty {duty}, epoch {epoch}");
        }
        controller.set_interrupted_steps(interrupted);
        let seat = Arc::new(CouncilSeat {
            council,
            controller: Mutex::new(controller),
            clock,
            call_timeout: Duration::from_millis(section.lease_ms),
            runners: Mutex::default(),
            worker: Arc::new(worker),
            step_markers,
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
        tokio::spawn(seat.clone().run_loop());
        Ok(seat)
    }

    /// Main loop: advances the duty controller and pushes epochs and decisions to the gatekeepers.
    async fn run_loop(self: Arc<Self>) {
        let mut seen = self.council.watch();
        let mut sent_epoch = 0;
        loop {
            tokio::select! {
                () = sleep(TICK) => {}
                () = self.wake.notified() => {}
                changed = seen.changed() => if changed.is_err() {
                    return;
                },
            }
            let agreed = seen.borrow_and_update().clone();
            let now = self.clock.now();
            let actions = {
                let mut controller = lock(&self.controller);
                controller.set_wall_offset_ms(unix_ms().saturating_sub_unsigned(now));
                controller.tick(now, &agreed.owner)
            };
            self.execute(actions);
            let fences = current_fences(&agreed);
            let newest = fences.iter().map(|f| f.epoch).max().unwrap_or(0);
            if newest > sent_epoch {
                sent_epoch = newest;
                for link in self.links.get().into_iter().flatten() {
                    link.send_epochs(Epochs { nonce: 0, given: fences.clone() });
                }
            }
            if let Some(links) = self.links.get() {
                // While this agent's session holds, the state that it has is at most one lease old.
                let holds = lock(&self.controller).holds_session(self.clock.now());
                if let Some(zones) = &self.zones {
                    zones.push_to_gatekeepers(&agreed, holds, links);
                }
                if let Some(audit) = &self.audit {
                    audit.push_to_gatekeepers(&agreed, holds, links);
                }
            }
        }
    }

    /// Carries out the actions of the duty controller.
    fn execute(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(command) => drop(tokio::spawn(self.clone().propose(command))),
                Action::Begin(lease) => self.begin(lease),
                Action::Stop { duty, epoch } => {
                    let stop = lock(&self.runners).get(&(duty.clone(), epoch)).cloned();
                    match stop {
                        Some(stop) => drop(stop.send(true)),
                        None => {
                            let more = lock(&self.controller).step_stopped(self.clock.now(), &duty, epoch);
                            self.execute(more);
                        }
                    }
                }
                Action::Notify(notice) => log_notice(&notice),
            }
        }
    }

    /// Proposes a command to the consensus group and passes the outcome to the duty controller.
    async fn propose(self: Arc<Self>, command: Command) {
        let outcome = self.council.propose(command.clone(), self.call_timeout).await.ok();
        let now = self.clock.now();
        let more = lock(&self.controller).handle_outcome(now, &command, outcome.as_ref());
        self.execute(more);
        self.wake.notify_one();
    }

    /// Starts the task that carries out a duty until its lease expires or it is stopped.
    fn begin(self: &Arc<Self>, lease: Lease) {
        let (stop, stopped) = watch::channel(false);
        let key = (lease.duty().to_string(), lease.epoch());
        // After a session expired, the same epoch may start again while its last step is still ending.
        if let Some(old) = lock(&self.runners).insert(key, stop) {
            let _ = old.send(true);
        }
        tokio::spawn(self.clone().run(lease, stopped));
    }

    /// Carries out the steps of a duty until its lease expires, it is stopped or a step panics.
    async fn run(self: Arc<Self>, lease: Lease, mut stopped: watch::Receiver<bool>) {
        let (duty, epoch) = (lease.duty().to_string(), lease.epoch());
        let mut count = 0;
        let mut failures = 0;
        let memory = Arc::default();
        while !*stopped.borrow() && lease.remaining_ms(self.clock.now()).is_ok() {
            self.step_markers.mark(&duty, epoch);
            let step = tokio::spawn(self.worker.clone().step(lease.clone(), Arc::clone(&memory))).await;
            self.step_markers.unmark(&duty);
            let pause = match step {
                Ok(Ok(done)) => {
                    (count, failures) = (count + 1, 0);
                    let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
                    let next_ms = at_ms + u64::try_from(done.again.as_millis()).unwrap_or(0);
                    let duty = duty.clone();
                    lock(&self.controller).step_done(Step {
                        duty,
                        epoch,
                        count,
                        at_ms,
                        next_ms,
                        note: done.note,
                    });
                    done.again
                }
                Ok(Err(duties::StepError::LeaseExpired)) => TICK,
                Ok(Err(duties::StepError::Fenced { stands, by })) => {
                    tracing::warn!(
                        duty,
                        epoch,
                        stands,
                        "step of duty {duty} was refused: epoch {epoch} is superseded by {stands} of {by}"
                    );
                    let more = lock(&self.controller).step_fenced(self.clock.now(), &duty, epoch, stands);
                    self.execute(more);
                    self.call_timeout
                }
                Ok(Err(duties::StepError::Failed(why))) => {
                    failures += 1;
                    // An owner that can report a failure has not crashed in the duty: an unavailable record
                    // does not count against the owner.
                    let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
                    let (duty_name, note) = (duty.clone(), format!("failed: {why}"));
                    lock(&self.controller).step_done(Step {
                        duty: duty_name,
                        epoch,
                        count,
                        at_ms,
                        next_ms: at_ms,
                        note,
                    });
                    tracing::warn!(
                        duty,
                        epoch,
                        reason = why,
                        "step of duty {duty} failed, it is retried: {why}"
                    );
                    (TICK * 10 * failures).min(Duration::from_secs(5))
                }
                Err(crash) => {
                    let panic_message = panic_text(crash);
                    tracing::error!(
                        duty,
                        epoch,
                        reason = panic_message,
                        "step of duty {duty} panicked: {panic_message}"
                    );
                    self.remove_runner(&duty, epoch);
                    let more =
                        lock(&self.controller).step_crashed(self.clock.now(), &duty, epoch, &panic_message);
                    return self.execute(more);
                }
            };
            tokio::select! {
                () = sleep(pause) => {}
                _ = stopped.wait_for(|e| *e) => {}
            }
        }
        self.remove_runner(&duty, epoch);
        let more = lock(&self.controller).step_stopped(self.clock.now(), &duty, epoch);
        self.execute(more);
        self.wake.notify_one();
    }

    /// Removes a duty from the running ones.
    fn remove_runner(&self, duty: &str, epoch: u64) {
        lock(&self.runners).remove(&(duty.to_string(), epoch));
    }

    /// Sets the links to the gatekeepers of this host. Only the first call counts.
    pub fn set_links(&self, links: Vec<Link>) {
        let _ = self.links.set(links);
    }

    /// Sends a newly connected gatekeeper the current epochs, and then the plans and the decisions in force.
    /// Retries until a leader confirms the state, and ends when the gatekeeper connects anew.
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
            if let Ok(agreed) = self.council.read_current(self.call_timeout).await {
                link.send_epochs(Epochs { nonce: welcome.nonce, given: current_fences(&agreed) });
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
            sleep(READ_RETRY_INTERVAL).await;
        }
    }

    /// Shuts down in order: hands the duties over to other agents, for at most [`HANDOVER_TIMEOUT`].
    pub async fn close(self: &Arc<Self>) {
        let until = tokio::time::Instant::now() + HANDOVER_TIMEOUT;
        let mut seen = self.council.watch();
        while tokio::time::Instant::now() < until {
            let agreed = seen.borrow_and_update().clone();
            let (done, actions) = lock(&self.controller).close(self.clock.now(), &agreed.owner);
            self.execute(actions);
            if done {
                return;
            }
            tokio::select! {
                () = sleep(TICK) => {}
                _ = seen.changed() => {}
            }
        }
        self.step_markers.clear();
        tracing::warn!("cannot hand over all duties: they become free when the session expires");
    }

    /// Proposes an operator's change to the consensus group.
    ///
    /// # Errors
    /// The reason for which it was not carried out.
    pub async fn propose_change(&self, command: Command) -> Result<(), String> {
        match self.council.propose(command, self.call_timeout).await.map_err(|e| e.to_string())? {
            Outcome::Refused(why) => Err(why.to_string()),
            _ => Ok(()),
        }
    }

    /// Returns the agreed state and `true` if the leader confirmed that it is current, or else the last state
    /// that this agent received and `false`.
    pub async fn current_state(&self) -> (Arc<AgreedState>, bool) {
        match self.council.read_current(Duration::from_millis(800)).await {
            Ok(agreed) => (agreed, true),
            Err(_) => (self.council.watch().borrow().clone(), false),
        }
    }
}

/// Epochs and owners of the duties whose decisions gatekeepers receive.
fn current_fences(agreed: &AgreedState) -> Vec<Fence> {
    let of = |name: &&str| {
        let duty = agreed.owner.duties.get(*name).filter(|d| d.epoch > 0)?;
        let owner = duty.owner.as_ref().map_or(String::new(), ToString::to_string);
        Some(Fence { duty: (*name).to_string(), epoch: duty.epoch, owner })
    };
    FOR_GATEKEEPERS.iter().filter_map(of).collect()
}

/// Returns the message of a panic.
fn panic_text(crash: tokio::task::JoinError) -> String {
    match crash.try_into_panic() {
        Ok(payload) => match payload.downcast::<String>() {
            Ok(text) => *text,
            Err(payload) => payload.downcast::<&str>().map_or("it panicked".into(), |t| (*t).to_string()),
        },
        Err(other) => other.to_string(),
    }
}

/// Logs a notice of the duty controller.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::Acquired { duty, epoch } => tracing::info!(duty, epoch, "acquire duty {duty}: epoch {epoch}"),
        Notice::Released { duty, epoch, why } => {
            tracing::info!(duty, epoch, reason = why, "release duty {duty}, epoch {epoch}: {why}");
        }
        Notice::SessionExpired { duties } => tracing::warn!(
            duties,
            "this agent's lease ran out by its own clock: stop {duties} duties; was the process suspended, or \
             cut off from the consensus group?"
        ),
        Notice::SessionEnded => tracing::warn!("others have ended this agent's session: start another"),
        Notice::PeerExpired(owner) => {
            tracing::warn!(agent = %owner, "end session of {owner}: no heartbeat within the lease")
        }
        Notice::SetAside { duty, said } => tracing::error!(
            duty,
            reason = said,
            "set duty {duty} aside: {said}; correct the cause, then run frostctl duties resume {duty} \
             --why ..."
        ),
    }
}
