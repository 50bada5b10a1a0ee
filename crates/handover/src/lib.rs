//! The end of a life and the beginning of the next: whom an agent that stops waits for, and for how long; and what is
//! believed of a gatekeeper's former life where several sources speak of it. No input or output, no clock.
//!
//! # Why
//!
//! A host that reboots sends SIGTERM to all of its processes at once, and each of them is done at a time of its own.
//! What a gatekeeper passed in its last second is use that somebody is billed for. If the agent leaves first, nobody
//! takes it; if the agent waits for ever, the host does not reboot; and if the next agent looks in the database alone,
//! it finds no last word there (it is still in the spool, or in a file beside the socket) and enters a gap where
//! nothing is missing.

/// How long an agent that stops stays for gatekeepers that go on serving, in ms: within this time those that were told
/// to stop at the same moment say so.
pub const LINGER_MS: f64 = 500.0;
/// How long it waits at the most until such a gatekeeper has reported what it used so far, in ms.
pub const REPORT_TIMEOUT_MS: f64 = 1500.0;
/// How long it waits at the most for the last word of a gatekeeper that stops, in ms: the longest deadline, and more.
pub const FINAL_REPORT_TIMEOUT_MS: f64 = 8000.0;
/// How long it then waits at the most until what is spooled is in the database, in ms; the rest is the next agent's.
pub const UPLOAD_TIMEOUT_MS: f64 = 2000.0;

/// A gatekeeper, as an agent that stops sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatekeeperStatus {
    /// Whether its link is up.
    pub linked: bool,
    /// Whether it has said that it stops.
    pub stopping: bool,
    /// Whether its last word is kept.
    pub ended: bool,
    /// How far its batches went when it had reported what it used until it was told of the stop.
    pub reported: Option<i64>,
    /// How far its batches are kept.
    pub kept: i64,
}

/// Whether an agent that began to stop `elapsed` ms ago still waits for this gatekeeper.
///
/// One that is not linked has left its word in a file, or leaves it there: nothing of it comes over the link any more.
#[must_use]
pub fn should_wait_for(seen: &GatekeeperStatus, elapsed: f64) -> bool {
    if !seen.linked || seen.ended {
        return false;
    }
    if seen.stopping {
        return elapsed < FINAL_REPORT_TIMEOUT_MS;
    }
    let reported = seen.reported.is_some_and(|number| seen.kept >= number);
    elapsed < if reported { LINGER_MS } else { REPORT_TIMEOUT_MS }
}

/// How far a life is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watermark {
    /// When it began, Unix time in ms by the gatekeeper's clock; this names the life.
    pub epoch_ms: i64,
    /// The last batch of it.
    pub last_seq: i64,
    /// Until when that batch tells of use, Unix time in ms.
    pub to_ms: i64,
    /// Whether it was its last word.
    pub ended: bool,
}

/// What is known of a gatekeeper's latest life before the one that began at `now_epoch_ms`, from all who know of any:
/// the database, the spool, files left beside the socket. The latest life counts; of one life, the furthest word.
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

/// What becomes of a last word that was found beside a gatekeeper's socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalReportAction {
    /// It is taken up and goes.
    Accept,
    /// It is taken up as far as it is sound, and stays under another name: what followed is a gap.
    AcceptPartial,
    /// It is another instance's: nothing of it is taken, and it stays under another name.
    Reject,
}

/// Decides on one.
#[must_use]
pub fn classify_final_report(whole: bool, whose: &str, instance: &str) -> FinalReportAction {
    match (whose == instance, whole) {
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
    fn one_that_stops_is_waited_for_until_its_last_word_and_not_for_ever() {
        let stopping = GatekeeperStatus { stopping: true, reported: Some(3), kept: 3, ..linked() };
        assert!(should_wait_for(&stopping, LINGER_MS + 1.0), "its last word is still to come");
        assert!(!should_wait_for(&GatekeeperStatus { ended: true, ..stopping }, 0.0));
        assert!(!should_wait_for(&stopping, FINAL_REPORT_TIMEOUT_MS));
        assert!(
            !should_wait_for(&GatekeeperStatus { linked: false, ..stopping }, 0.0),
            "what it has left is in a file"
        );
    }

    #[test]
    fn one_that_goes_on_reports_and_may_still_say_that_it_stops() {
        let going = GatekeeperStatus { reported: Some(3), kept: 2, ..linked() };
        assert!(should_wait_for(&going, LINGER_MS), "its report is not kept");
        let kept = GatekeeperStatus { kept: 3, ..going };
        assert!(should_wait_for(&kept, LINGER_MS - 1.0) && !should_wait_for(&kept, LINGER_MS));
        assert!(!should_wait_for(&linked(), REPORT_TIMEOUT_MS), "one that says nothing is not waited for");
    }

    proptest! {
        /// Who speaks first does not matter, and hearing the same twice changes nothing.
        #[test]
        fn what_is_believed_does_not_depend_on_who_speaks_first(
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
