//! Decision module of a gatekeeper: it enforces customers' quotas in front of a shared back end and chooses
//! servers.
//!
//! A [`Control`] holds the decision state of one gatekeeper. The host passes it [`Event`]s with the time at
//! which they happened and carries out the [`Action`]s that it returns. It does no input or output, reads no
//! clock and draws random numbers only from its seed, so the same events always result in the same actions.
//!
//! ```
//! use frostvale::{Action, Class, Control, Effect, Event, Health, EndpointUpdateKind, Plan, Request, Server, Settings};
//!
//! let settings = Settings {
//!     gatekeepers: 1,
//!     classes: vec![Class { effect: Effect::Safe, target_ms: 500.0, worth: 1.0, ..Class::default() }],
//!     plans: vec![Plan { rate: 10.0, burst: 20.0, price: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gatekeeper = Control::new(settings, 7)?;
//! let server = Server { name: "s1".into(), zone: 0, cell: 0, kind: 0, size: 1.0, health: Health::Up, started_at: 0.0 };
//! gatekeeper.handle(0.0, Event::EndpointUpdate { kind: EndpointUpdateKind::Complete, servers: vec![server] });
//! let actions = gatekeeper.handle(1.0, Event::Request(Request {
//!     id: 1, customer: "acme".into(), class: 0, plan: 0, units: 1.0,
//!     first: 0, spread: 1, deadline: 1000.0, is_retry: false, source: 0,
//! }));
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! # Ok::<(), frostvale::SettingsError>(())
//! ```

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

mod accept_window;
mod aggregate_limit;
mod api;
mod control;
mod estimate;
mod expiring_map;
mod failure_gossip;
mod fenced_off;
mod in_flight;
mod outbox;
mod peer_message;
mod quota_requests;
mod random_draw;
mod raw_settings;
mod recent_map;
mod server_index;
mod server_state;
mod slow_start;
mod source_shares;
mod state;
mod tiers;
mod zones;

pub use aggregate_limit::min_local_limit_share;
pub use api::*;
pub use control::Control;
pub use fenced_off::FenceOffDecision;
pub use peer_message::quota_owner_of;
pub use raw_settings::{Bounds, RawClass, RawEffect, RawPlan, RawSettings};
pub use zones::{RoutingSnapshot, ZoneObservation, ZoneShare};
