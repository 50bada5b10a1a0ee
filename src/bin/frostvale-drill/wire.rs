//! Messages of the simulator's protocol, and their translation to the events and from the actions of the
//! library. The names of the messages' variants, fields and values are part of the protocol.

use frostvale::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A line of input: a batch delimiter, a server list, or an event for one gatekeeper.
#[derive(Deserialize)]
#[serde(tag = "kind")]
enum Frame {
    /// Starts a batch of events at the time `Clock`, in ms.
    BeginBatch {
        #[serde(rename = "Clock")]
        clock: f64,
        /// Number of the batch, repeated at the end of its reply.
        n: u64,
    },
    /// Ends the batch; the collected actions are written.
    Eob,
    /// Defines a server list that later directory updates refer to by its number.
    Directory {
        #[serde(rename = "Sheet")]
        sheet: u32,
        #[serde(rename = "Records")]
        records: Vec<Entry>,
    },
    /// Starts a gatekeeper with the given settings and random seed.
    #[serde(rename_all = "PascalCase")]
    Hello { gatekeeper_id: Name, prng: u64, conf: Box<RawSettings> },
    /// Stops a gatekeeper.
    #[serde(rename_all = "PascalCase")]
    Retire { gatekeeper_id: Name },
    /// The gatekeeper receives a server list.
    #[serde(rename_all = "PascalCase")]
    DirectoryUpdate {
        gatekeeper_id: Name,
        form: Form,
        #[serde(default)]
        sheet: u32,
    },
    /// The gatekeeper receives a client's request.
    #[serde(rename_all = "PascalCase")]
    Incoming {
        gatekeeper_id: Name,
        request_id: u64,
        /// Index of the first gatekeeper of the customer's set.
        #[serde(default)]
        first: f64,
        /// Deadline of the request, in ms.
        give_up_at: f64,
        /// Units of the request.
        #[serde(default)]
        weight: f64,
        /// Class of the request.
        #[serde(default)]
        band: usize,
        /// Name of the customer.
        #[serde(default)]
        client_id: Option<Name>,
        /// The bit of value 2 marks a retry.
        #[serde(default)]
        state_bits: u64,
        /// Plan of the customer.
        #[serde(default)]
        tier: usize,
        /// Number of gatekeepers in the customer's set.
        #[serde(default)]
        doors: f64,
    },
    /// Ignored, but for the check that the gatekeeper exists.
    #[serde(rename_all = "PascalCase")]
    Accepted { gatekeeper_id: Name },
    /// Result of a probe.
    #[serde(rename_all = "PascalCase")]
    StatusBack {
        gatekeeper_id: Name,
        worker: Name,
        ending: Code,
        #[serde(default)]
        usage: Option<Usage>,
    },
    /// Result of an attempt.
    #[serde(rename_all = "PascalCase")]
    Done {
        gatekeeper_id: Name,
        request_id: u64,
        /// Number of the attempt.
        #[serde(default)]
        trial: u32,
        worker: Name,
        ending: Code,
        #[serde(default)]
        latency: f64,
        /// Whether the request has ended, too.
        #[serde(default)]
        terminal: bool,
        /// The customer's metered use as a percentage of its rate or open cap, plus 1; 0 where it is unknown.
        #[serde(default)]
        seen_use: u32,
        /// True units, where the request's were an estimate; 0 for none.
        #[serde(default)]
        actual: f64,
        #[serde(default)]
        usage: Option<Usage>,
    },
    /// The client of a request has disconnected.
    #[serde(rename_all = "PascalCase")]
    Lapsed { gatekeeper_id: Name, request_id: u64 },
    /// A message from another gatekeeper.
    #[serde(rename_all = "PascalCase")]
    FromPeer {
        gatekeeper_id: Name,
        #[serde(default)]
        src: u32,
        #[serde(default)]
        content: String,
    },
    /// Ignored, but for the check that the gatekeeper exists.
    #[serde(rename_all = "PascalCase")]
    TallyBack { gatekeeper_id: Name },
    /// A timer of the gatekeeper has expired.
    #[serde(rename_all = "PascalCase")]
    Fired {
        gatekeeper_id: Name,
        #[serde(default)]
        nonce: u64,
    },
}

/// Content of a directory update: the changed servers, the complete list (also from disk), or an error of
/// discovery.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Form {
    Diff,
    Snapshot,
    Disk,
    Error,
}

/// A server in a list.
#[derive(Deserialize, Clone)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    worker: Name,
    /// Size of the server.
    #[serde(default)]
    share: f64,
    /// Zone.
    #[serde(default)]
    region_part: u32,
    /// Cell.
    #[serde(default)]
    pod: u32,
    /// Kind of the server.
    #[serde(default)]
    family_type: u32,
    health: State,
    /// When the server started, in ms.
    #[serde(default)]
    since: f64,
}

/// Health of a server.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum State {
    Up,
    Draining,
    Removed,
}

/// Outcome of an attempt or a probe.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Code {
    Ok,
    Internal,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Aborted,
    Cancelled,
    TooLate,
}

/// Load that a server reports: requests in flight, CPU utilization, requests per second.
#[derive(Deserialize)]
struct Usage {
    outstanding: Option<f64>,
    utilization: Option<f64>,
    throughput: Option<f64>,
}

/// A line of output: an action of a gatekeeper.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all_fields = "PascalCase")]
enum Reply<'a> {
    Deliver { gatekeeper_id: &'a str, request_id: u64, worker: &'a str, not_past: f64 },
    Busy { gatekeeper_id: &'a str, request_id: u64, pause: f64 },
    Lose { gatekeeper_id: &'a str, request_id: u64 },
    Recall { gatekeeper_id: &'a str, request_id: u64, trial: u32 },
    Test { gatekeeper_id: &'a str, worker: &'a str },
    Signal { gatekeeper_id: &'a str, neighbour_id: i64, content: &'a str },
    SetTimer { gatekeeper_id: &'a str, nonce: u64, after: f64 },
    Record { gatekeeper_id: &'a str, msg: &'a str },
}

/// All gatekeepers of this process, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    gatekeepers: HashMap<Name, Control>,
    server_lists: BTreeMap<u32, Vec<Entry>>,
    /// Time and number of the batch that is being read.
    batch: Option<(f64, u64)>,
    /// Actions of that batch, as lines of JSON.
    reply: Vec<u8>,
}

impl Host {
    /// Whether no batch is being read: the reply to the last one has been returned.
    pub fn is_between_batches(&self) -> bool {
        self.batch.is_none()
    }

    /// Handles one line of input. Returns the reply to the whole batch at its end, otherwise `None`.
    ///
    /// # Errors
    /// If the line is malformed, is not allowed at this point of a batch, refers to an unknown gatekeeper or
    /// server list, or carries settings that a gatekeeper cannot use.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>, String> {
        let frame: Frame = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if let Frame::BeginBatch { clock, n } = frame {
            if self.batch.is_some() {
                return Err("cannot begin a batch: the last one has not ended".into());
            }
            self.batch = Some((clock, n));
            return Ok(None);
        }
        let (now, n) = self.batch.ok_or("cannot handle an event: no batch has begun")?;
        let (name, event) = match frame {
            Frame::BeginBatch { .. } => return Ok(None),
            Frame::Eob => {
                self.batch = None;
                let mut reply =
                    String::from_utf8(std::mem::take(&mut self.reply)).map_err(|e| e.to_string())?;
                reply.push_str(&format!("{{\"kind\":\"Ok\",\"n\":{n}}}\n"));
                return Ok(Some(reply));
            }
            Frame::Directory { sheet, records } => {
                self.server_lists.insert(sheet, records);
                return Ok(None);
            }
            Frame::Hello { gatekeeper_id, prng, conf } => {
                let control = Control::new(conf.settings(), prng).map_err(|e| e.to_string())?;
                self.gatekeepers.insert(gatekeeper_id, control);
                return Ok(None);
            }
            Frame::Retire { gatekeeper_id } => {
                self.gatekeepers.remove(&gatekeeper_id);
                return Ok(None);
            }
            Frame::DirectoryUpdate { gatekeeper_id, form, sheet } => {
                let kind = match form {
                    Form::Error => return self.check_gatekeeper(&gatekeeper_id).map(|()| None),
                    Form::Diff => EndpointUpdateKind::Changes,
                    Form::Snapshot | Form::Disk => EndpointUpdateKind::Complete,
                };
                let entries = self
                    .server_lists
                    .get(&sheet)
                    .ok_or(format!("cannot apply a directory update: no list has the number {sheet}"))?;
                (gatekeeper_id, Event::EndpointUpdate { kind, servers: entries.iter().map(server).collect() })
            }
            Frame::Incoming {
                gatekeeper_id,
                request_id,
                first,
                give_up_at,
                weight,
                band,
                client_id,
                state_bits,
                tier,
                doors,
            } => {
                let request = Request {
                    id: request_id,
                    customer: client_id.unwrap_or_else(|| "".into()),
                    class: band,
                    plan: tier,
                    units: weight,
                    first: first as u32,
                    spread: doors as u32,
                    deadline: give_up_at,
                    is_retry: state_bits & 2 != 0,
                    source: 0,
                };
                (gatekeeper_id, Event::Request(request))
            }
            Frame::Accepted { gatekeeper_id } | Frame::TallyBack { gatekeeper_id } => {
                return self.check_gatekeeper(&gatekeeper_id).map(|()| None);
            }
            Frame::StatusBack { gatekeeper_id, worker, ending, usage } => {
                let ok = matches!(ending, Code::Ok);
                (gatekeeper_id, Event::Probed { server: worker, ok, load_report: usage.map(report) })
            }
            Frame::Done {
                gatekeeper_id,
                request_id,
                trial,
                worker,
                ending,
                latency,
                terminal,
                seen_use,
                actual,
                usage,
            } => {
                let result = AttemptResult {
                    id: request_id,
                    attempt: trial,
                    server: worker,
                    outcome: match ending {
                        Code::Ok => AttemptOutcome::Ok,
                        Code::Internal => AttemptOutcome::Error,
                        Code::ResourceExhausted => AttemptOutcome::Full,
                        Code::DeadlineExceeded => AttemptOutcome::Timeout,
                        Code::Unavailable => AttemptOutcome::Unreachable,
                        Code::Aborted => AttemptOutcome::Reset,
                        Code::Cancelled => AttemptOutcome::Cancelled,
                        Code::TooLate => AttemptOutcome::Moot,
                    },
                    latency,
                    is_final: terminal,
                    metered: (seen_use > 0).then(|| f64::from(seen_use - 1) / 100.0),
                    units: (actual > 0.0).then_some(actual),
                    load_report: usage.map(report),
                };
                (gatekeeper_id, Event::AttemptEnded(result))
            }
            Frame::Lapsed { gatekeeper_id, request_id } => {
                (gatekeeper_id, Event::ClientDisconnected { id: request_id })
            }
            Frame::FromPeer { gatekeeper_id, src, content } => {
                (gatekeeper_id, Event::PeerMessage { from: src, text: content })
            }
            Frame::Fired { gatekeeper_id, nonce } => (gatekeeper_id, Event::Timer { token: nonce }),
        };
        let gatekeeper = self.gatekeepers.get_mut(&name).ok_or_else(|| unknown_gatekeeper(&name))?;
        for action in gatekeeper.handle(now, event) {
            let Some(reply) = to_reply(&name, &action) else { continue };
            serde_json::to_writer(&mut self.reply, &reply).map_err(|e| e.to_string())?;
            self.reply.push(b'\n');
        }
        Ok(None)
    }

    /// Fails unless a gatekeeper of this name has been started.
    fn check_gatekeeper(&self, name: &Name) -> Result<(), String> {
        if self.gatekeepers.contains_key(name) { Ok(()) } else { Err(unknown_gatekeeper(name)) }
    }
}

fn unknown_gatekeeper(name: &str) -> String {
    format!("cannot handle an event for gatekeeper {name}: it has not been started")
}

/// Translates an action into a line of output; `None` for actions that the protocol does not have.
fn to_reply<'a>(name: &'a str, action: &'a Action) -> Option<Reply<'a>> {
    Some(match action {
        Action::Send { id, server, deadline, .. } => {
            Reply::Deliver { gatekeeper_id: name, request_id: *id, worker: server, not_past: *deadline }
        }
        Action::Refuse { id, retry_after_ms, .. } => {
            Reply::Busy { gatekeeper_id: name, request_id: *id, pause: *retry_after_ms }
        }
        Action::Fail { id } => Reply::Lose { gatekeeper_id: name, request_id: *id },
        Action::Cancel { id, attempt } => {
            Reply::Recall { gatekeeper_id: name, request_id: *id, trial: *attempt }
        }
        Action::Probe { server } => Reply::Test { gatekeeper_id: name, worker: server },
        Action::SendPeerMessage { to, text } => {
            Reply::Signal { gatekeeper_id: name, neighbour_id: i64::from(*to), content: text }
        }
        Action::BroadcastPeerMessage { text } => {
            Reply::Signal { gatekeeper_id: name, neighbour_id: -1, content: text }
        }
        Action::SetTimer { token, after } => {
            Reply::SetTimer { gatekeeper_id: name, nonce: *token, after: *after }
        }
        Action::Log { text } => Reply::Record { gatekeeper_id: name, msg: text },
        // The simulator sends no checks.
        Action::CheckDecision { .. } => return None,
    })
}

fn server(entry: &Entry) -> Server {
    Server {
        name: entry.worker.clone(),
        zone: entry.region_part,
        cell: entry.pod,
        kind: entry.family_type,
        size: entry.share,
        health: match entry.health {
            State::Up => Health::Up,
            State::Draining => Health::Draining,
            State::Removed => Health::Gone,
        },
        started_at: entry.since,
    }
}

fn report(usage: Usage) -> LoadReport {
    LoadReport {
        in_flight: usage.outstanding,
        cpu_utilization: usage.utilization,
        requests_per_second: usage.throughput,
    }
}
