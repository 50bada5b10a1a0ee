//! Handles what the link to a gatekeeper reports: new and ended connections, and the messages of the process
//! at the other end, which are read by that process's own lists.

use super::{Fleet, Member, breaker_name, lock};
use crate::council::CouncilSeat;
use crate::outside::Outside;
use crate::process_tables::{plans_by_name, tier_of};
use crate::record::RecordKeeper;
use frostvale_checks::Tier;
use frostvale_link::agent::{GatekeeperMessage, LinkEvent};
use frostvale_link::proto::{PlansTaken, Welcome};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TryRecvError;

/// Those to whom a gatekeeper's messages are passed on.
pub(super) struct Receivers {
    pub(super) outside: Option<Arc<Outside>>,
    pub(super) keeper: Option<Arc<RecordKeeper>>,
    pub(super) seat: Option<Arc<CouncilSeat>>,
}

impl Fleet {
    /// Handles the events of gatekeeper `k`'s link.
    pub(super) async fn handle_events(
        self: Arc<Self>,
        k: usize,
        mut events: mpsc::Receiver<LinkEvent>,
        receivers: Receivers,
    ) {
        let member = self.members[k].clone();
        // The welcome of the connection that was last handled as new.
        let mut known: Option<Arc<Welcome>> = None;
        loop {
            let event = match events.try_recv() {
                Ok(event) => event,
                Err(TryRecvError::Disconnected) => return,
                Err(TryRecvError::Empty) => {
                    // The event that says that a gatekeeper is connected may have been dropped.
                    if let Some(welcome) = member.link.welcome() {
                        self.welcome_once(k, welcome, &mut known, &receivers).await;
                    }
                    match events.recv().await {
                        Some(event) => event,
                        None => return,
                    }
                }
            };
            match event {
                LinkEvent::Connected(welcome) => self.welcome_once(k, welcome, &mut known, &receivers).await,
                LinkEvent::Disconnected(why) => {
                    known = None;
                    self.handle_disconnect(k, why, &receivers).await;
                }
                LinkEvent::Message(welcome, message) => {
                    let is_current = member.link.welcome().is_some_and(|w| Arc::ptr_eq(&w, &welcome));
                    if is_current {
                        self.welcome_once(k, welcome.clone(), &mut known, &receivers).await;
                    }
                    // Of an earlier process only the usage still counts.
                    let is_outdated = known.as_ref().is_some_and(|known| !Arc::ptr_eq(known, &welcome));
                    if !is_outdated || matches!(message, GatekeeperMessage::UsageBatch(_)) {
                        self.handle_message(k, welcome, message, &receivers);
                    }
                }
            }
        }
    }

    /// Handles a new connection, unless it is `known` already.
    async fn welcome_once(
        &self,
        k: usize,
        welcome: Arc<Welcome>,
        known: &mut Option<Arc<Welcome>>,
        receivers: &Receivers,
    ) {
        if known.as_ref().is_some_and(|known| Arc::ptr_eq(known, &welcome)) {
            return;
        }
        *known = Some(welcome.clone());
        let member = &self.members[k];
        let name = &member.name;
        lock(&member.state).0.clear();
        self.update_tier(member, tier_of(&welcome));
        tracing::info!(instance = name, "gatekeeper {name} is linked, number {}", welcome.me);
        self.update_connected_count();
        if let Some(keeper) = &receivers.keeper {
            keeper.gatekeeper_connected(k, &welcome).await;
        }
        if let Some(seat) = &receivers.seat {
            let (link, keeper) = (member.link.clone(), receivers.keeper.clone());
            tokio::spawn(seat.clone().gatekeeper_connected(link, welcome, keeper));
        }
    }

    /// Handles the end of a connection, or a failure to connect.
    async fn handle_disconnect(&self, k: usize, why: String, receivers: &Receivers) {
        let member = &self.members[k];
        let name = &member.name;
        if let Some(keeper) = &receivers.keeper {
            keeper.gatekeeper_disconnected(k).await;
        }
        tracing::warn!(
            instance = name,
            reason = why,
            "gatekeeper {name} is not linked: {why}; checks go to the other gatekeepers of each \
             shop's set, or are answered by the failure mode; reconnecting"
        );
        *lock(&member.state) = (why, None);
        self.update_connected_count();
    }

    /// Handles a message that the process of this welcome has sent.
    fn handle_message(
        &self,
        k: usize,
        from: Arc<Welcome>,
        message: GatekeeperMessage,
        receivers: &Receivers,
    ) {
        let member = &self.members[k];
        let name = &member.name;
        let Receivers { outside, keeper, seat } = receivers;
        match message {
            GatekeeperMessage::ShopSet(seen) => {
                lock(&self.sets).record(&seen.shop, seen.first, seen.spread, from.gateways);
            }
            GatekeeperMessage::UsageBatch(batch) => {
                if let Some(keeper) = keeper {
                    keeper.receive_batch(k, from, batch);
                }
            }
            GatekeeperMessage::UsageReported(number) => {
                if let Some(keeper) = keeper {
                    keeper.usage_reported(k, &from, number);
                }
            }
            GatekeeperMessage::TokenLevels(levels) => {
                if let Some(keeper) = keeper {
                    keeper.receive_levels(k, &from, &levels);
                }
            }
            GatekeeperMessage::PlansTaken(taken) => self.handle_plans_taken(member, &from, &taken),
            GatekeeperMessage::FenceRefused(refused) => tracing::warn!(
                instance = name,
                duty = refused.duty,
                epoch = refused.epoch,
                stands = refused.stands,
                "gatekeeper {name} rejected a message of epoch {} of duty {}: epoch {} of owner {} \
                 is in effect",
                refused.epoch,
                refused.duty,
                refused.stands,
                refused.owner
            ),
            GatekeeperMessage::ZoneObservation(seen) => {
                if let Some(zones) = seat.as_ref().and_then(|s| s.zones.as_ref()) {
                    zones.record_observation(name, seen);
                }
            }
            GatekeeperMessage::AppliedVersions(versions) => {
                if let Some(audit) = seat.as_ref().and_then(|s| s.audit.as_ref()) {
                    audit.record_applied_versions(name, &from, versions);
                }
            }
            GatekeeperMessage::BreakerState(state) => {
                tracing::info!(
                    "gatekeeper {name}: the circuit breaker of the outside service is {}",
                    breaker_name(&state)
                );
                lock(&member.state).1 = Some(state);
            }
            GatekeeperMessage::OutsideRequest(request) => match outside {
                Some(outside) => outside.clone().send_request(request, member.link.clone(), from),
                None => member.link.send_verdict(&from, crate::outside::failed(request.id)),
            },
        }
    }

    /// Handles the result of sending plans: logs what was not applied and takes over the limits in effect.
    fn handle_plans_taken(&self, member: &Member, from: &Welcome, taken: &PlansTaken) {
        let name = &member.name;
        if !taken.error.is_empty() {
            tracing::warn!(
                instance = name,
                revision = taken.revision,
                reason = taken.error,
                "gatekeeper {name} rejected the plans and keeps those in effect"
            );
        }
        if !taken.unknown.is_empty() {
            let unknown = taken.unknown.join(", ");
            tracing::warn!("gatekeeper {name} ignores plans that are missing from its settings: {unknown}");
        }
        if !taken.plans.is_empty() {
            self.update_tier(member, Tier { plans: plans_by_name(&taken.plans), ..tier_of(from) });
        }
    }
}
