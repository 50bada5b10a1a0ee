//! One connection to a gatekeeper: the exchange of hello and welcome, frames both ways, and what becomes of
//! checks that are undecided when it ends.

use super::{CheckError, GatekeeperMessage, LinkEvent, LinkOptions, Outgoing, Shared, fail_unsent};
use crate::VERSION;
use crate::codec::{self, FrameReader};
use crate::proto::{Decision, FromNode, Hello, ToNode, Welcome};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How long the agent waits for a gatekeeper's welcome.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// Messages that go into one frame: such a frame stays far below the longest one.
const MAX_MESSAGES_PER_FRAME: usize = 1000;
/// While this many bytes are unsent, no more messages are taken from the queue.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// One connection.
pub(super) struct Session<'a> {
    pub(super) shared: &'a Shared,
    pub(super) events: &'a mpsc::Sender<LinkEvent>,
    /// The welcome of the process at the other end, once it has accepted the connection.
    pub(super) welcome: Option<Arc<Welcome>>,
    /// Undecided checks by id.
    pub(super) undecided: HashMap<u64, oneshot::Sender<Result<Decision, CheckError>>>,
    /// For each frame that the socket has not accepted whole: the bytes that remain, and the ids of its
    /// checks.
    pub(super) unwritten: VecDeque<(usize, Vec<u64>)>,
}

impl Session<'_> {
    /// Runs until the connection ends. An error holds the reason, and whether the gatekeeper had accepted the
    /// connection. `Ok` means that all handles are dropped.
    pub(super) async fn run(
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
    pub(super) fn fail_undecided(&mut self, outgoing: &mut mpsc::Receiver<Outgoing>) {
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
