//! Endpoint updates, applied in bounded steps.
//!
//! Lines are decoded and compared with what is known [`STEP_LINES`] at a time; between two steps the event loop does what
//! else is due. Only what differs is kept, and takes effect in one go: decisions see one whole version. An update of n
//! lines of which k differ costs O(n) to read and O(k) to apply.

use super::last_list::Digest;
use super::{Gatekeeper, Shared};
use crate::endpoint_update::{EndpointLine, Outline, UpdateError};
use crate::metrics::ListApplied;
use crate::workers::EndpointChange;
use frostvale::{AttemptOutcome, EndpointUpdateKind, Event, Health, Name, Server};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashSet;
use std::slice::Iter;
use std::time::{Duration, Instant};
use tokio::task::yield_now;

/// Lines that are decoded in one step.
const STEP_LINES: usize = 128;

/// An update of which nothing is in effect yet.
struct PendingUpdate<'a> {
    whole: bool,
    lines: Iter<'a, &'a RawValue>,
    named: HashSet<Cow<'a, str>>,
    changes: Vec<EndpointChange>,
    refused_lines: usize,
}

impl<'a> PendingUpdate<'a> {
    fn new(outline: &'a Outline<'a>) -> Self {
        PendingUpdate {
            whole: outline.is_full(),
            lines: outline.lines.iter(),
            named: HashSet::with_capacity(outline.lines.len()),
            changes: Vec::new(),
            refused_lines: 0,
        }
    }

    /// Compares the next lines with what is known. False once there are none left.
    fn compare_step(&mut self, gatekeeper: &Gatekeeper) -> bool {
        let Some(first) = self.lines.next() else { return false };
        let step: Vec<&'a RawValue> =
            std::iter::once(*first).chain(self.lines.by_ref().take(STEP_LINES - 1).copied()).collect();
        for line in step {
            let Some(EndpointLine { uid, state }) = EndpointLine::read(line, &gatekeeper.conf) else {
                self.refused_lines += 1;
                continue;
            };
            let differs = gatekeeper.workers.would_change(&uid, &state);
            // Of a server that is named twice the last line holds, also where it says what was known before.
            if differs || self.named.contains(&uid) {
                self.changes.push(EndpointChange { name: uid.as_ref().into(), state });
            }
            self.named.insert(uid);
        }
        true
    }
}

/// Reads and applies an update, and gives its version. Updates take turns: each is compared with what the one before it left.
/// Dropped half-way it changes nothing.
///
/// # Errors
/// When the text is no update; nothing has changed then.
pub async fn apply_update(gatekeeper: &Shared, text: &[u8]) -> Result<u64, UpdateError> {
    let update_lock = gatekeeper.borrow().update_lock.clone();
    let _turn = update_lock.lock().await;
    let digester = gatekeeper.borrow().last_list.digester();
    let digest = digester.digest(text).await;
    if let Some(version) = gatekeeper.borrow_mut().version_if_unchanged(digest) {
        return Ok(version);
    }
    let mut longest_step = Duration::ZERO;
    let mut began = Instant::now();
    let outline = read_outline(gatekeeper, text)?;
    let mut update = PendingUpdate::new(&outline);
    loop {
        let has_more = update.compare_step(&gatekeeper.borrow());
        longest_step = longest_step.max(began.elapsed());
        if !has_more {
            break;
        }
        yield_now().await;
        began = Instant::now();
    }
    began = Instant::now();
    let mut applied = gatekeeper.borrow_mut().apply(update);
    applied.longest_step = longest_step.max(began.elapsed());
    gatekeeper.borrow_mut().finish_update(&applied, &outline, digest, text.len());
    Ok(outline.version)
}

/// The same in one step, before anybody is served.
///
/// # Errors
/// When the text is no update; nothing has changed then.
pub fn apply_known(gatekeeper: &Shared, text: &[u8]) -> Result<(), UpdateError> {
    let outline = read_outline(gatekeeper, text)?;
    let mut update = PendingUpdate::new(&outline);
    while update.compare_step(&gatekeeper.borrow()) {}
    let mut gatekeeper = gatekeeper.borrow_mut();
    let applied = gatekeeper.apply(update);
    let digest = gatekeeper.last_list.digester().digest_blocking(text);
    gatekeeper.record_applied_list(&applied, outline.version, digest);
    applied.log(outline.version, text.len());
    Ok(())
}

fn read_outline<'a>(gatekeeper: &Shared, text: &'a [u8]) -> Result<Outline<'a>, UpdateError> {
    Outline::read(text).inspect_err(|_| gatekeeper.borrow_mut().metrics.list_refused())
}

impl Gatekeeper {
    /// The version of a list that is in effect already, which nothing is to be done for.
    fn version_if_unchanged(&mut self, digest: Option<Digest>) -> Option<u64> {
        let version = self.last_list.version_of(digest)?;
        tracing::debug!(version, "this whole endpoint list is in effect already");
        self.metrics.list_unchanged();
        self.first_list.notify_one();
        Some(version)
    }

    /// Remembers a whole list, until something else changes.
    fn record_applied_list(&mut self, applied: &ListApplied, version: u64, digest: Option<Digest>) {
        if applied.whole {
            self.last_list.set_full_list(digest, version);
        } else if applied.changed > 0 {
            self.last_list.clear();
        }
    }

    fn finish_update(
        &mut self,
        applied: &ListApplied,
        outline: &Outline,
        digest: Option<Digest>,
        bytes: usize,
    ) {
        self.record_applied_list(applied, outline.version, digest);
        applied.log(outline.version, bytes);
        self.metrics.list_applied(applied);
        self.first_list.notify_one();
    }

    /// Has what differs take effect.
    fn apply(&mut self, update: PendingUpdate) -> ListApplied {
        let PendingUpdate { whole, named, changes, refused_lines, .. } = update;
        let absent = if whole { self.workers.absent_from(&named) } else { Vec::new() };
        let changed = changes.len() + absent.len();
        let effect = self.workers.apply(&changes, &absent);
        let server = |change: &EndpointChange| {
            let state = &change.state;
            // Whose address has a new owner is gone, whether or not that has been told.
            let health = if effect.replaced.contains(&change.name) { Health::Gone } else { state.health };
            Server {
                name: change.name.clone(),
                zone: state.zone,
                cell: state.cell,
                kind: state.kind,
                size: state.size,
                health,
                started_at: state.boot_ms,
            }
        };
        let mut servers: Vec<Server> = changes.iter().map(server).collect();
        servers.extend(absent.iter().chain(&effect.replaced).map(removed_server));
        if !servers.is_empty() {
            self.dispatch(Event::EndpointUpdate { kind: EndpointUpdateKind::Changes, servers });
        }
        self.reset_attempts_at(&effect.restarted);
        ListApplied { whole, changed, refused_lines, longest_step: Duration::ZERO }
    }

    /// What was out at a server that has restarted since is never answered, and its connection is half open if the whole
    /// machine went.
    fn reset_attempts_at(&mut self, restarted: &HashSet<Name>) {
        if restarted.is_empty() {
            return;
        }
        let requests = self.requests.iter();
        let lost: Vec<u64> =
            requests.filter(|(_, r)| r.has_attempt_at(restarted)).map(|(id, _)| *id).collect();
        for id in lost {
            self.abort_attempt(id, AttemptOutcome::Reset);
        }
    }
}

/// The line of a server that is not listed any more.
fn removed_server(name: &Name) -> Server {
    Server { name: name.clone(), zone: 0, cell: 0, kind: 0, size: 1.0, health: Health::Gone, started_at: 0.0 }
}
