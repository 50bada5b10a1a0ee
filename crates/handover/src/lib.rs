//! Handover of usage between agent processes: which gatekeepers a stopping agent waits for and for how long,
//! and which state of a gatekeeper's previous process is current where several sources have one. This crate
//! does no input or output and reads no clock.
//!
//! # Why
//!
//! A rebooting host sends SIGTERM to all of its processes at once, and each takes its own time to stop. What
//! a gatekeeper passed in its last second is usage that some shop is billed for. If the agent exits first,
//! nobody records it; if the agent waits for ever, the host does not reboot; and if the next agent reads the
//! database alone, it finds no final report there (it is still in the spool, or in a file beside the socket)
//! and records a gap where nothing is missing.

/// How long a stopping agent waits for gatekeepers that go on serving, in ms: gatekeepers that were told to
/// stop at the same moment announce it within this time.
pub const LINGER_MS: f64 = 500.0;
/// How long it waits at most until such a gatekeeper has reported its usage so far, in ms.
pub const REPORT_TIMEOUT_MS: f64 = 1500.0;
/// How long it waits at most for the final report of a stopping gatekeeper, in ms: longer than the longest
/// deadline.
pub const FINAL_REPORT_TIMEOUT_MS: f64 = 8000.0;
/// How long it then waits at most until the spool is uploaded to the database, in ms; the next agent uploads
/// the rest.
pub const UPLOAD_TIMEOUT_MS: f64 = 2000.0;

/// What a stopping agent has received from a gatekeeper.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatekeeperStatus {
    /// Whether its link is connected.
    pub linked: bool,
    /// Whether it has announced that it stops.
    pub stopping: bool,
    /// Whether its final report is stored.
    pub ended: bool,
    /// The number of the last batch that it reported in reply to the agent's stop, if it has replied.
    pub reported: Option<i64>,
    /// The number of the last batch that is stored.
    pub kept: i64,
}

/// Whether an agent that began to stop `elapsed_ms` ms ago still has to wait for this gatekeeper.
///
/// A gatekeeper that is not connected has written its final report to a file, or will: nothing more comes
/// over the link.
#[must_use]
pub fn should_wait_for(status: &GatekeeperStatus, elapsed_ms: f64) -> bool {
    if !status.linked || status.ended {
        return false;
    }
    if status.stopping {
        return elapsed_ms < FINAL_REPORT_TIMEOUT_MS;
    }
    let reported = status.reported.is_some_and(|number| status.kept >= number);
    elapsed_ms < if reported { LINGER_MS } else { REPORT_TIMEOUT_MS }
}

/// How much of a gatekeeper process's usage a source has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watermark {
    /// When the process started, Unix time in ms by the gatekeeper's clock; this identifies the process.
    pub epoch_ms: i64,
    /// The number of its last batch.
    pub last_seq: i64,
    /// The end of that batch's period, Unix time in ms.
    pub to_ms: i64,
    /// Whether that batch was the process's last.
    pub ended: bool,
}

/// The state of a gatekeeper's latest process before the one that started at `now_epoch_ms`, merged from all
/// sources: the database, the spool, and files beside the socket. The latest process counts; of its marks,
/// the furthest.
#[must_use]
pub fn previous_incarnation(
    marks: impl IntoIterator<Item = Watermark>,
    now_epoch_ms: i64,
) -> Option<Watermark> {
    let mut known: Option<Watermark> = None;
    for mark in marks.into_iter().filter(|m| m.epoch_ms != now_epoch_ms && m.epoch_ms != 0) {
        known = Some(match known {
            Some(k) if k.epoch_ms > mark.epoch_ms => k,
            Some(k) if k.epoch_ms == mark.epoch_ms => Watermark {
                epoch_ms: k.epoch_ms,
                last_seq: k.last_seq.max(mark.last_seq),
                to_ms: k.to_ms.max(mark.to_ms),
                ended: k.ended || mark.ended,
            },
            _ => mark,
        });
    }
    known
}

/// What is done with a final report file that was found beside a gatekeeper's socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalReportAction {
    /// It is recorded and the file is removed.
    Accept,
    /// Its valid part is recorded, and the file stays under another name: what followed is a gap.
    AcceptPartial,
    /// It belongs to another instance: nothing is recorded, and the file stays under another name.
    Reject,
}

/// Decides what to do with a file that `writer` wrote, found by `instance`; `is_complete` says whether it is
/// complete.
#[must_use]
pub fn classify_final_report(is_complete: bool, writer: &str, instance: &str) -> FinalReportAction {
    match (writer == instance, is_complete) {
        (false, _) => FinalReportAction::Reject,
        (true, true) => FinalReportAction::Accept,
        (true, false) => FinalReportAction::AcceptPartial,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn linked() -> GatekeeperStatus {
        GatekeeperStatus { linked: true, ..GatekeeperStatus::default() }
    }

    #[test]
    fn stopping_gatekeeper_is_waited_for_until_its_final_report_or_timeout() {
        let stopping = GatekeeperStatus { stopping: true, reported: Some(3), kept: 3, ..linked() };
        assert!(should_wait_for(&stopping, LINGER_MS + 1.0), "its final report is still to come");
        assert!(!should_wait_for(&GatekeeperStatus { ended: true, ..stopping }, 0.0));
        assert!(!should_wait_for(&stopping, FINAL_REPORT_TIMEOUT_MS));
        assert!(
            !should_wait_for(&GatekeeperStatus { linked: false, ..stopping }, 0.0),
            "its final report is in a file"
        );
    }

    #[test]
    fn serving_gatekeeper_is_waited_for_until_its_report_and_the_linger_time() {
        let going = GatekeeperStatus { reported: Some(3), kept: 2, ..linked() };
        assert!(should_wait_for(&going, LINGER_MS), "its report is not stored");
        let kept = GatekeeperStatus { kept: 3, ..going };
        assert!(should_wait_for(&kept, LINGER_MS - 1.0) && !should_wait_for(&kept, LINGER_MS));
        assert!(
            !should_wait_for(&linked(), REPORT_TIMEOUT_MS),
            "a gatekeeper that sends no report is not waited for"
        );
    }

    proptest! {
        /// The result depends neither on the order of the sources nor on duplicates.
        #[test]
        fn previous_incarnation_does_not_depend_on_order_or_duplicates(
            marks in prop::collection::vec((0i64..4, 0i64..5, 0i64..5, any::<bool>()), 0..8), turn in 0usize..8, now in 0i64..5,
        ) {
            let mut all: Vec<Watermark> = marks
                .iter()
                .map(|(epoch_ms, last_seq, to_ms, ended)| Watermark { epoch_ms: *epoch_ms, last_seq: *last_seq, to_ms: *to_ms, ended: *ended })
                .collect();
            let one = previous_incarnation(all.iter().copied(), now);
            let len = all.len().max(1);
            all.rotate_left(turn % len);
            all.extend_from_within(..);
            prop_assert_eq!(previous_incarnation(all.iter().copied(), now), one);
            if let Some(mark) = one {
                prop_assert!(mark.epoch_ms != now && all.iter().all(|m| m.epoch_ms <= mark.epoch_ms || m.epoch_ms == now));
            }
        }
    }
}
