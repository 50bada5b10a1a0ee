//! Endpoint updates, applied in bounded steps.
//!
//! Lines are decoded and compared with the known state [`STEP_LINES`] at a time; between two steps the event
//! loop runs other tasks. Only changed lines are kept, and they take effect all at once, so that decisions
//! always see one complete version. An update of n lines of which k are changes costs O(n) to read and O(k)
//! to apply.

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

/// Number of lines decoded in one step.
const STEP_LINES: usize = 128;

/// An update that is being compared with the known state; nothing of it is in effect yet.
struct PendingUpdate<'a> {
    /// Whether it lists all servers, so that those it does not name are removed.
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

    /// Compares the next lines with the known state. Returns false once no lines are left.
    fn compare_step(&mut self, gatekeeper: &Gatekeeper) -> bool {
        let Some(first) = self.lines.next() else { return false };
        let step: Vec<&'a RawValue> =
            std::iter::once(*first).chain(self.lines.by_ref().take(STEP_LINES - 1).copied()).collect();
        for line in step {
            let Some(EndpointLine { uid, state }) = EndpointLine::read(line, &gatekeeper.conf) else {
                self.refused_lines += 1;
                continue;
            };
            if !gatekeeper.workers.has_room_for(&uid, self.named.len(), self.whole) {
                self.refused_lines += 1;
                continue;
            }
            let differs = gatekeeper.workers.would_change(&uid, &state);
            // If a server is listed twice its last line applies, even if that one equals the known state.
            if differs || self.named.contains(&uid) {
                self.changes.push(EndpointChange { name: uid.as_ref().into(), state });
            }
            self.named.insert(uid);
        }
        true
    }
}

/// Reads and applies an update and returns its version. Updates are applied one after another, since each is
/// compared with the result of the one before. If the future is dropped before it completes, nothing has
/// changed.
///
/// # Errors
/// When the text is not a valid update; nothing has changed then.
pub async fn apply_update(gatekeeper: &Shared, text: &[u8]) -> Result<u64, UpdateError> {
    let update_lock = gatekeeper.borrow().update_lock.clone();
    let _guard = update_lock.lock().await;
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

/// Reads and applies an update in a single step. Only for startup, before requests are served: it blocks the
/// event loop.
///
/// # Errors
/// When the text is not a valid update; nothing has changed then.
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
    /// Returns the version of the list with this digest if it is already in effect, so that nothing needs to
    /// be done.
    fn version_if_unchanged(&mut self, digest: Option<Digest>) -> Option<u64> {
        let version = self.last_list.version_of(digest)?;
        tracing::debug!(version, "skipped endpoint list: identical to the one in effect");
        self.metrics.list_unchanged();
        self.first_list.notify_one();
        Some(version)
    }

    /// Stores the digest of a full list that has been applied, or discards the stored one if an update has
    /// changed anything.
    fn record_applied_list(&mut self, applied: &ListApplied, version: u64, digest: Option<Digest>) {
        if applied.whole {
            self.last_list.set_full_list(digest, version);
        } else if applied.changed > 0 {
            self.last_list.clear();
        }
    }

    /// Records, logs and counts an update that has been applied.
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

    /// Applies the changes of an update to the workers and to `Control`.
    fn apply(&mut self, update: PendingUpdate) -> ListApplied {
        let PendingUpdate { whole, named, changes, refused_lines, .. } = update;
        let absent = if whole { self.workers.absent_from(&named) } else { Vec::new() };
        let changed = changes.len() + absent.len();
        let effect = self.workers.apply(&changes, &absent);
        let server = |change: &EndpointChange| {
            let state = &change.state;
            // A server whose address now belongs to another one is gone, even if no update has said so.
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

    /// Ends the attempts at servers that have restarted. They are never answered, and if the whole machine
    /// failed their connections stay half open.
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

/// The state reported to `Control` for a server that is no longer listed.
fn removed_server(name: &Name) -> Server {
    Server { name: name.clone(), zone: 0, cell: 0, kind: 0, size: 1.0, health: Health::Gone, started_at: 0.0 }
}
