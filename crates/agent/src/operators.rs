//! The gRPC service on the control socket, for operators.

use crate::clock::unix_ms;
use crate::council::CouncilSeat;
use crate::fleet::Fleet;
use crate::outside::Outside;
use crate::record::RecordKeeper;
use crate::rls::Counts;
use frostvale_council::MembershipChange;
use frostvale_council::member::MEMBERSHIP_CHANGE_TIMEOUT;
use frostvale_owner::Command;
use frostvale_owner::registry::Duty;
use frostvale_proto::agent::agent_server::Agent;
use frostvale_proto::agent::duty_change::What;
use frostvale_proto::agent::{
    AuditChange, AuditRequest, AuditResponse, CouncilChange, CouncilRequest, CouncilResponse, DutiesRequest,
    DutiesResponse, Duty as DutyMessage, DutyChange, HistoryRequest, HistoryResponse, Member,
    Outside as OutsideStatus, OwnerChange, Said, Session, StatusRequest, StatusResponse,
    UseByRevisionRequest, UseByRevisionResponse, ZonesChange, ZonesRequest, ZonesResponse,
};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tonic::{Request, Response, Status};

/// Implements the service.
pub struct Operators {
    /// Name of this agent.
    pub name: String,
    /// Name of the fleet, shown with the state of the consensus group.
    pub fleet_name: String,
    /// The gatekeepers of this agent's host.
    pub fleet: Arc<Fleet>,
    /// Counters of rate limit calls.
    pub counts: Arc<Counts>,
    /// The usage record; `None` if this agent has none.
    pub keeper: Option<Arc<RecordKeeper>>,
    /// The outside rate limit service; `None` if none is configured.
    pub outside: Option<Arc<Outside>>,
    /// This agent's place in the consensus group; `None` without a `[council]` section.
    pub seat: Option<Arc<CouncilSeat>>,
}

impl Operators {
    /// Returns the place in the consensus group, or the status for an agent that has none.
    fn seat(&self) -> Result<&Arc<CouncilSeat>, Status> {
        self.seat.as_ref().ok_or_else(|| {
            Status::failed_precondition("this agent is of no council: its file has no [council] section")
        })
    }
}

/// Converts the state of a duty; `heartbeat` is the number of its owner's last heartbeat.
fn duty_message(name: &str, duty: &Duty, heartbeat: u64) -> DutyMessage {
    let (state, why) = match (&duty.paused, &duty.aside, &duty.owner) {
        (Some((by, why)), ..) => ("paused", format!("{by}: {why}")),
        (_, Some(reason), _) => ("set aside", reason.clone()),
        (.., Some(_)) => ("owned", String::new()),
        _ => ("free", String::new()),
    };
    let step = duty.step.clone().filter(|s| s.epoch == duty.epoch);
    DutyMessage {
        name: name.to_string(),
        owner: duty.owner.as_ref().map_or(String::new(), ToString::to_string),
        epoch: duty.epoch,
        since_ms: duty.since_ms,
        state: state.into(),
        why,
        wanted: duty.wanted.clone().unwrap_or_default(),
        steps: step.as_ref().map_or(0, |s| s.count),
        step_ms: step.as_ref().map_or(0, |s| s.at_ms),
        next_ms: step.as_ref().map_or(0, |s| s.next_ms),
        note: step.map_or(String::new(), |s| s.note),
        beat: heartbeat,
    }
}

#[tonic::async_trait]
impl Agent for Operators {
    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusResponse>, Status> {
        let outside = self.outside.as_ref().map_or_else(OutsideStatus::default, |o| {
            let get = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
            OutsideStatus {
                configured: true,
                asked: get(&o.counts.asked),
                ok: get(&o.counts.ok),
                over: get(&o.counts.over),
                failed: get(&o.counts.failed),
                in_hand: o.in_hand(),
            }
        });
        Ok(Response::new(StatusResponse {
            name: self.name.clone(),
            gatekeepers: self.fleet.status(),
            calls: Some(self.counts.status()),
            outside: Some(outside),
            sets: self.fleet.sets(),
            record: self.keeper.as_ref().map(|k| k.status()),
        }))
    }

    async fn duties(&self, request: Request<DutiesRequest>) -> Result<Response<DutiesResponse>, Status> {
        let DutiesRequest { duty: only, history } = request.into_inner();
        let (agreed, current) = self.seat()?.current_state().await;
        let state = &agreed.owner;
        if !only.is_empty() && !state.duties.contains_key(&only) {
            return Err(Status::not_found(format!("there is no duty {only:?}")));
        }
        let matches_filter = |name: &str| only.is_empty() || only == name;
        let heartbeat =
            |d: &Duty| d.owner.as_ref().and_then(|o| state.sessions.get(o)).map_or(0, |s| s.number);
        let duties = state
            .duties
            .iter()
            .filter(|(n, _)| matches_filter(n))
            .map(|(n, d)| duty_message(n, d, heartbeat(d)))
            .collect();
        let change = |c: &frostvale_owner::registry::OwnershipChange| OwnerChange {
            duty: c.duty.clone(),
            epoch: c.epoch,
            who: c.who.clone(),
            what: c.what.clone(),
            at_ms: c.at_ms,
        };
        let history = match history {
            true => state.history.iter().filter(|c| matches_filter(&c.duty)).map(change).collect(),
            false => Vec::new(),
        };
        let session =
            |(owner, s): (&frostvale_owner::fence::Owner, &frostvale_owner::registry::Session)| Session {
                owner: owner.to_string(),
                zone: s.zone.clone(),
                beat: s.number,
                duties: state.owned_duties(owner) as u64,
            };
        let sessions = state.sessions.iter().map(session).collect();
        Ok(Response::new(DutiesResponse { duties, history, sessions, current }))
    }

    async fn change_duty(&self, request: Request<DutyChange>) -> Result<Response<Said>, Status> {
        let request = request.into_inner();
        let what = request.what();
        let DutyChange { duty, to, by, why, .. } = request;
        let at_ms = u64::try_from(unix_ms()).unwrap_or(0);
        let (command, text) = match what {
            What::Move => {
                let text = format!("{duty} goes to {to}");
                (Command::Move { duty, to, by, at_ms }, text)
            }
            What::Pause => {
                let text = format!("{duty} is paused");
                (Command::Pause { duty, by, why, at_ms }, text)
            }
            What::Resume => {
                let text = format!("{duty} goes on");
                (Command::Resume { duty, by, why, at_ms }, text)
            }
            What::None => return Err(Status::invalid_argument("what: move, pause or resume")),
        };
        self.seat()?.propose_change(command).await.map_err(Status::failed_precondition)?;
        Ok(Response::new(Said { text }))
    }

    async fn council(&self, _: Request<CouncilRequest>) -> Result<Response<CouncilResponse>, Status> {
        let s = self.seat()?.council.status();
        let member = |m: frostvale_council::member::MemberStatus| Member {
            id: m.id,
            name: m.name,
            at: m.at,
            votes: m.is_voter,
            matched: m.matched_index,
        };
        Ok(Response::new(CouncilResponse {
            id: s.id,
            state: s.state,
            problem: s.problem,
            leader: s.leader,
            term: s.term,
            last: s.last_index,
            applied: s.applied_index,
            members: s.members.into_iter().map(member).collect(),
            file_bytes: s.file_bytes,
            refused: s.rejected,
            refused_by: s.rejected_by.into_iter().map(|(cause, n)| (cause.to_string(), n)).collect(),
            generation: s.generation,
            fleet: self.fleet_name.clone(),
        }))
    }

    async fn zones(&self, _: Request<ZonesRequest>) -> Result<Response<ZonesResponse>, Status> {
        let seat = self.seat()?;
        let zones = seat.zones.as_ref().ok_or_else(crate::council::no_zones)?;
        let (agreed, current) = seat.current_state().await;
        Ok(Response::new(zones.response(&agreed, current).await))
    }

    async fn change_zones(&self, request: Request<ZonesChange>) -> Result<Response<Said>, Status> {
        let seat = self.seat()?;
        let zones = seat.zones.as_ref().ok_or_else(crate::council::no_zones)?;
        let (command, text) =
            zones.operator_change(request.into_inner()).await.map_err(Status::failed_precondition)?;
        seat.propose_change(command).await.map_err(Status::failed_precondition)?;
        Ok(Response::new(Said { text }))
    }

    async fn audit(&self, _: Request<AuditRequest>) -> Result<Response<AuditResponse>, Status> {
        let seat = self.seat()?;
        let audit = seat.audit.as_ref().ok_or_else(crate::council::no_audit)?;
        let (agreed, current) = seat.current_state().await;
        Ok(Response::new(audit.response(&agreed, current).await))
    }

    async fn change_audit(&self, request: Request<AuditChange>) -> Result<Response<Said>, Status> {
        let seat = self.seat()?;
        let audit = seat.audit.as_ref().ok_or_else(crate::council::no_audit)?;
        let (command, text) =
            audit.operator_change(request.into_inner()).await.map_err(Status::failed_precondition)?;
        seat.propose_change(command).await.map_err(Status::failed_precondition)?;
        Ok(Response::new(Said { text }))
    }

    async fn history(&self, request: Request<HistoryRequest>) -> Result<Response<HistoryResponse>, Status> {
        let audit = self.seat()?.audit.as_ref().ok_or_else(crate::council::no_audit)?;
        audit.history(&request.into_inner()).await.map(Response::new).map_err(Status::unavailable)
    }

    async fn use_by_revision(
        &self,
        _: Request<UseByRevisionRequest>,
    ) -> Result<Response<UseByRevisionResponse>, Status> {
        let audit = self.seat()?.audit.as_ref().ok_or_else(crate::council::no_audit)?;
        audit.use_by_revision().await.map(Response::new).map_err(Status::unavailable)
    }

    async fn change_council(&self, request: Request<CouncilChange>) -> Result<Response<Said>, Status> {
        let CouncilChange { add, remove, at } = request.into_inner();
        let admin = match (add.is_empty(), remove.is_empty()) {
            (false, true) => MembershipChange::Add { name: add, at },
            (true, false) => MembershipChange::Remove { name: remove },
            _ => return Err(Status::invalid_argument("add, remove: one of the two")),
        };
        let done = self.seat()?.council.change_members(admin, MEMBERSHIP_CHANGE_TIMEOUT).await;
        done.map(|text| Response::new(Said { text })).map_err(|e| Status::failed_precondition(e.to_string()))
    }
}
