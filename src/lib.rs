//! Decisions of a gateway that holds customers to quotas before a shared back end.
//!
//! A [`Control`] is one gateway's mind: the host hands it [`Event`]s with the time
//! they happened and carries out the [`Action`]s it answers with. It does no input or
//! output, reads no clock and draws random numbers only from the seed it was given, so
//! the same events always give the same actions.
//!
//! ```
//! use frostvale::{Action, Class, Control, Effect, Event, Health, Listing, Plan, Request, Server, Settings};
//!
//! let settings = Settings {
//!     gateways: 1,
//!     classes: vec![Class { effect: Effect::Safe, aim: 500.0, worth: 1.0, ..Class::default() }],
//!     plans: vec![Plan { rate: 10.0, burst: 20.0, price: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gateway = Control::new(settings, 7)?;
//! let server = Server { name: "s1".into(), zone: 0, cell: 0, kind: 0, size: 1.0, health: Health::Up, since: 0.0 };
//! gateway.handle(0.0, Event::Servers { listing: Listing::Complete, servers: vec![server] });
//! let actions = gateway.handle(1.0, Event::Request(Request {
//!     id: 1, customer: "acme".into(), class: 0, plan: 0, units: 1.0,
//!     first: 0, spread: 1, give_up: 1000.0, repeat: false,
//! }));
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! # Ok::<(), frostvale::SettingsError>(())
//! ```

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

mod api;
mod ceiling;
mod conf;
mod control;
mod estimate;
mod hands;
mod live;
mod lots;
mod note;
mod outs;
mod post;
mod questions;
mod recent;
mod roster;
mod rumors;
mod state;
mod swept;
mod tiers;
mod warming;
mod window;
mod zones;

pub use api::*;
pub use ceiling::least_sliced;
pub use conf::{Bounds, Conf, ConfClass, ConfPlan, EffectWord};
pub use control::Control;
pub use note::keeper_of;
pub use outs::Shut;
pub use zones::{Guide, Part, Sight};
