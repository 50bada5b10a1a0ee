//! The wire's words, and nothing but their translation to and from the library's.

use frostvale::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

#[derive(Deserialize)]
#[serde(tag = "kind")]
enum Frame {
    BeginBatch {
        #[serde(rename = "Clock")]
        clock: f64,
        n: u64,
    },
    Eob,
    Directory {
        #[serde(rename = "Sheet")]
        sheet: u32,
        #[serde(rename = "Records")]
        records: Vec<Entry>,
    },
    #[serde(rename_all = "PascalCase")]
    Hello {
        gatekeeper_id: Name,
        prng: u64,
        conf: Box<RawSettings>,
    },
    #[serde(rename_all = "PascalCase")]
    Retire {
        gatekeeper_id: Name,
    },
    #[serde(rename_all = "PascalCase")]
    DirectoryUpdate {
        gatekeeper_id: Name,
        form: Form,
        #[serde(default)]
        sheet: u32,
    },
    #[serde(rename_all = "PascalCase")]
    Incoming {
        gatekeeper_id: Name,
        request_id: u64,
        #[serde(default)]
        first: f64,
        give_up_at: f64,
        #[serde(default)]
        weight: f64,
        #[serde(default)]
        band: usize,
        #[serde(default)]
        client_id: Option<Name>,
        #[serde(default)]
        state_bits: u64,
        #[serde(default)]
        tier: usize,
        #[serde(default)]
        doors: f64,
    },
    #[serde(rename_all = "PascalCase")]
    Accepted {
        gatekeeper_id: Name,
    },
    #[serde(rename_all = "PascalCase")]
    StatusBack {
        gatekeeper_id: Name,
        worker: Name,
        ending: Code,
        #[serde(default)]
        usage: Option<Usage>,
    },
    #[serde(rename_all = "PascalCase")]
    Done {
        gatekeeper_id: Name,
        request_id: u64,
        #[serde(default)]
        trial: u32,
        worker: Name,
        ending: Code,
        #[serde(default)]
        latency: f64,
        #[serde(default)]
        terminal: bool,
        #[serde(default)]
        seen_use: u32,
        #[serde(default)]
        actual: f64,
        #[serde(default)]
        usage: Option<Usage>,
    },
    #[serde(rename_all = "PascalCase")]
    Lapsed {
        gatekeeper_id: Name,
        request_id: u64,
    },
    #[serde(rename_all = "PascalCase")]
    FromPeer {
        gatekeeper_id: Name,
        #[serde(default)]
        src: u32,
        #[serde(default)]
        content: String,
    },
    #[serde(rename_all = "PascalCase")]
    TallyBack {
        gatekeeper_id: Name,
    },
    #[serde(rename_all = "PascalCase")]
    Fired {
        gatekeeper_id: Name,
        #[serde(default)]
        nonce: u64,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Form {
    Diff,
    Snapshot,
    Disk,
    Error,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    worker: Name,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    region_part: u32,
    #[serde(default)]
    pod: u32,
    #[serde(default)]
    family_type: u32,
    health: State,
    #[serde(default)]
    since: f64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum State {
    Up,
    Draining,
    Removed,
}

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

#[derive(Deserialize)]
struct Usage {
    outstanding: Option<f64>,
    utilization: Option<f64>,
    throughput: Option<f64>,
}

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

/// All instances of this process, and the batch being read.
#[derive(Default)]
pub struct Host {
    gatekeepers: HashMap<Name, Control>,
    sheets: BTreeMap<u32, Vec<Entry>>,
    batch: Option<(f64, u64)>,
    reply: Vec<u8>,
}

impl Host {
    /// Whether the last batch begun has been answered.
    pub fn between_batches(&self) -> bool {
        self.batch.is_none()
    }

    /// Takes one line; at the end of a batch gives the whole reply.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, String> {
        let frame: Frame = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if let Frame::BeginBatch { clock, n } = frame {
            if self.batch.is_some() {
                return Err("a batch begins inside a batch".into());
            }
            self.batch = Some((clock, n));
            return Ok(None);
        }
        let (now, n) = self.batch.ok_or("an event outside a batch")?;
        let (who, event) = match frame {
            Frame::BeginBatch { .. } => return Ok(None),
            Frame::Eob => {
                self.batch = None;
                let mut reply =
                    String::from_utf8(std::mem::take(&mut self.reply)).map_err(|e| e.to_string())?;
                reply.push_str(&format!("{{\"kind\":\"Ok\",\"n\":{n}}}\n"));
                return Ok(Some(reply));
            }
            Frame::Directory { sheet, records } => {
                self.sheets.insert(sheet, records);
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
                    Form::Error => return self.known(&gatekeeper_id).map(|()| None),
                    Form::Diff => EndpointUpdateKind::Changes,
                    Form::Snapshot | Form::Disk => EndpointUpdateKind::Complete,
                };
                let entries = self.sheets.get(&sheet).ok_or(format!("no list has the number {sheet}"))?;
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
                };
                (gatekeeper_id, Event::Request(request))
            }
            Frame::Accepted { gatekeeper_id } | Frame::TallyBack { gatekeeper_id } => {
                return self.known(&gatekeeper_id).map(|()| None);
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
        let gatekeeper = self.gatekeepers.get_mut(&who).ok_or_else(|| unknown(&who))?;
        for action in gatekeeper.handle(now, event) {
            let Some(reply) = spoken(&who, &action) else { continue };
            serde_json::to_writer(&mut self.reply, &reply).map_err(|e| e.to_string())?;
            self.reply.push(b'\n');
        }
        Ok(None)
    }

    fn known(&self, who: &Name) -> Result<(), String> {
        if self.gatekeepers.contains_key(who) { Ok(()) } else { Err(unknown(who)) }
    }
}

fn unknown(who: &str) -> String {
    format!("an event for {who}, which has not been started")
}

/// An action on the wire, where it has words for it.
fn spoken<'a>(who: &'a str, action: &'a Action) -> Option<Reply<'a>> {
    Some(match action {
        Action::Send { id, server, deadline, .. } => {
            Reply::Deliver { gatekeeper_id: who, request_id: *id, worker: server, not_past: *deadline }
        }
        Action::Refuse { id, retry_after_ms, .. } => {
            Reply::Busy { gatekeeper_id: who, request_id: *id, pause: *retry_after_ms }
        }
        Action::Fail { id } => Reply::Lose { gatekeeper_id: who, request_id: *id },
        Action::Cancel { id, attempt } => {
            Reply::Recall { gatekeeper_id: who, request_id: *id, trial: *attempt }
        }
        Action::Probe { server } => Reply::Test { gatekeeper_id: who, worker: server },
        Action::SendPeerMessage { to, text } => {
            Reply::Signal { gatekeeper_id: who, neighbour_id: i64::from(*to), content: text }
        }
        Action::BroadcastPeerMessage { text } => {
            Reply::Signal { gatekeeper_id: who, neighbour_id: -1, content: text }
        }
        Action::SetTimer { token, after } => {
            Reply::SetTimer { gatekeeper_id: who, nonce: *token, after: *after }
        }
        Action::Log { text } => Reply::Record { gatekeeper_id: who, msg: text },
        // The simulator asks for no checks.
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
