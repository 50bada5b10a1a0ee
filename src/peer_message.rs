//! The words of notes between gatekeepers: items of text, nothing decided here.

use crate::state::{QuotaReply, QuotaRequest};

/// One item of a note, about the customer with this key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum PeerMessageItem {
    /// To a keeper: may this be sent on, and so much demand there was.
    Request { plan: usize, quota_request: QuotaRequest, weight: f64 },
    /// To a keeper: units to charge, or below nothing to give back, and the place given back.
    Usage { plan: usize, units: f64, permit: Option<u64> },
    /// From a keeper: its word on a question, the units granted, and demand, grants and store.
    Reply { number: u64, reply: QuotaReply, units: f64, demand: f64, granted: f64, quota_tokens: f64 },
}

/// A customer's key in notes: 40 bits of FNV-1a.
pub(crate) fn customer_key(name: &str) -> u64 {
    let hash =
        name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    (hash ^ (hash >> 40)) & 0xff_ffff_ffff
}

/// The gatekeeper of a set (`first`, `spread`, counted round among `gatekeepers`) that keeps a customer's store, where
/// the customer's plan has one keeper: with few gatekeepers, all have. The number of a gatekeeper; a hint for who asks,
/// since any gatekeeper of the set answers.
#[must_use]
pub fn quota_owner_of(customer: &str, first: u32, spread: u32, gatekeepers: u32) -> u32 {
    quota_owner_at(customer_key(customer), (first, spread), gatekeepers)
}

/// The same of a key.
pub(crate) fn quota_owner_at(key: u64, (first, spread): (u32, u32), gatekeepers: u32) -> u32 {
    let spread = u64::from(if spread == 0 { gatekeepers } else { spread.min(gatekeepers) }.max(1));
    (first + (key % spread) as u32) % gatekeepers.max(1)
}

impl PeerMessageItem {
    /// The item as text. The time a question is good for goes along in place of its end.
    pub(crate) fn encode(&self, key: u64, now: f64) -> String {
        match *self {
            PeerMessageItem::Request {
                plan,
                quota_request:
                    QuotaRequest {
                        number, units, prefetch_units, uses_shared_permit, owner_holds_all, until, ..
                    },
                weight,
            } => {
                let kind = if uses_shared_permit { 'p' } else { 'a' };
                let (most, owner_holds_all) = (until - now, if owner_holds_all { ",w" } else { "" });
                format!(
                    "{kind},{key:x},{plan},{number:x},{units:.1},{prefetch_units:.1},{weight:.1},{most:.0}{owner_holds_all};"
                )
            }
            PeerMessageItem::Usage { plan, units, permit } => {
                let permit = permit.map_or(String::new(), |k| format!("{k:x}"));
                format!("t,{key:x},{plan},{permit},{units:.1};")
            }
            PeerMessageItem::Reply { number, reply, units, demand, granted, quota_tokens } => {
                let code = reply as u8;
                format!("g,{key:x},{code},{number:x},{units:.1},{demand:.1},{granted:.1},{quota_tokens:.1};")
            }
        }
    }

    /// The item that a text holds, if it is one.
    pub(crate) fn decode(text: &str, from: u32, now: f64) -> Option<(u64, PeerMessageItem)> {
        let parts: Vec<&str> = text.split(',').collect();
        let hex = |k: usize| parts.get(k).and_then(|x| u64::from_str_radix(x, 16).ok());
        let number = |k: usize| parts.get(k)?.parse::<f64>().ok().filter(|x| x.abs() < 1e9);
        let least = |k: usize| number(k).filter(|x| *x >= 0.0);
        let (key, code) = (hex(1)?, parts.get(2)?.parse::<usize>().ok()?);
        let item = match parts[0] {
            kind @ ("a" | "p") => {
                let (units, prefetch_units, until) = (least(4)?, least(5)?, now + least(7)?);
                let (uses_shared_permit, owner_holds_all) = (kind == "p", parts.get(8) == Some(&"w"));
                let quota_request = QuotaRequest {
                    from,
                    number: hex(3)?,
                    units,
                    prefetch_units,
                    uses_shared_permit,
                    owner_holds_all,
                    until,
                };
                PeerMessageItem::Request { plan: code, quota_request, weight: least(6)? }
            }
            "t" => PeerMessageItem::Usage { plan: code, units: number(4)?, permit: hex(3) },
            "g" => PeerMessageItem::Reply {
                number: hex(3)?,
                reply: [QuotaReply::Deny, QuotaReply::Grant, QuotaReply::Wait].get(code).copied()?,
                units: least(4)?,
                demand: least(5)?,
                granted: least(6)?,
                quota_tokens: number(7)?,
            },
            _ => return None,
        };
        Some((key, item))
    }
}
